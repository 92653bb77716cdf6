//! Lease renewal for running tasks: each daemon of a failure domain renews the leases of the
//! workers assigned to it and forwards their task reports to the placer.
//!
//! A renewal starts no work, so it needs no mutual exclusion: it does no harm if two daemons renew
//! the same worker for a while. Running tasks outlive the daemon that started them.

mod reports;
#[cfg(test)]
mod tests;

use bulrushlink_api::{EdgeFault, WorkerBatch, WorkerOp, WorkerReply};
use bulrushlink_core::{DaemonId, Moment, Span, WorkerId};

use crate::edge::{CallId, Component, Context};
use crate::hash::rank;
use crate::hosts::Hosts;
use crate::peer::PeerMessage;
use crate::settings::{Settings, Timing};
use crate::timer::{RepeatedCall, jitter};
use reports::Reports;

/// Minimum time between two full reports of a worker.
const FULL_REPORT_INTERVAL_MIN: Span = Span::from_secs(10);
/// Full reports of a worker per lease, unless [`FULL_REPORT_INTERVAL_MIN`] makes them rarer. The
/// placer itself polls a worker that it has not heard of for half a lease.
const FULL_REPORTS_PER_LEASE: u64 = 4;
/// Minimum number of renewals per lease, however many workers are assigned: allows for three missed
/// renewals and for jitter, which lengthens an interval by up to a quarter.
const RENEWALS_PER_LEASE: u64 = 4;
/// Bytes of a renewal and its reply, headers included.
const RENEWAL_BYTES: u64 = 512;

/// Maximum backoff after a fault, as a multiple of the shortest renewal interval.
const BACKOFF_MAX_RENEWALS: u64 = 4;
/// The maximum backoff is the lease divided by this, if that is longer than the backoff allowed by
/// [`BACKOFF_MAX_RENEWALS`].
const RETRIES_PER_LEASE: u64 = 8;

/// A worker assigned to this daemon.
#[derive(Debug)]
struct Assignment {
    worker: WorkerId,
    renew: RepeatedCall,
    /// When the next full report is due.
    full_due: Moment,
    /// Whether the call in flight requests a full report.
    full_requested: bool,
    /// Time of the last reply, or of the assignment if there was none yet.
    last_reply: Moment,
    /// Whether the last reply said that the worker is leaving; `None` before the first reply.
    leaving: Option<bool>,
}

/// The inputs that determine which workers are assigned to this daemon.
#[derive(Debug, Default, PartialEq, Eq)]
struct AssignmentInputs {
    live: Vec<DaemonId>,
    /// Generation of the set of known workers.
    generation: u64,
}

/// Renews leases and forwards reports.
#[derive(Debug)]
pub(crate) struct Keeper {
    id: DaemonId,
    /// The workers assigned to this daemon, sorted by worker.
    assigned: Vec<Assignment>,
    /// The inputs from which `assigned` was computed.
    inputs: AssignmentInputs,
    reports: Reports,
    placer: Option<DaemonId>,
    rng: fastrand::Rng,
}

impl Keeper {
    pub(crate) fn open(settings: &Settings, incarnation: u64) -> Self {
        let seed = rank(settings.daemon.as_str(), "keeper") ^ incarnation;
        Self {
            id: settings.daemon.clone(),
            assigned: Vec::new(),
            inputs: AssignmentInputs::default(),
            reports: Reports::open(incarnation),
            placer: None,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Renews the leases of the workers that are due. Each worker is assigned to the daemon of
    /// `live` with the highest rendezvous hash, or to this daemon if `live` is empty. Reports are
    /// resent to `placer` until it acknowledges them.
    pub(crate) fn tick(
        &mut self,
        hosts: &Hosts,
        live: &[DaemonId],
        placer: Option<&DaemonId>,
        cx: &mut Context<'_>,
    ) {
        if placer.is_some() && self.placer.as_ref() != placer {
            self.placer = placer.cloned();
            self.reports.clear();
            for assignment in &mut self.assigned {
                assignment.full_due = cx.now;
            }
        }
        let inputs = AssignmentInputs { live: live.to_vec(), generation: hosts.known_generation() };
        if self.inputs != inputs {
            self.inputs = inputs;
            self.reassign(hosts, live, cx);
        }
        for assignment in &mut self.assigned {
            assignment.renew(hosts, &self.id, cx);
        }
        if let Some(placer) = &self.placer {
            self.reports.resend_due(placer, cx);
        }
    }

    /// Recomputes the assigned workers; a worker that stays assigned keeps its state.
    fn reassign(&mut self, hosts: &Hosts, live: &[DaemonId], cx: &Context<'_>) {
        let mut old = std::mem::take(&mut self.assigned).into_iter().peekable();
        let assigned_hosts: Vec<_> =
            hosts.known().filter(|host| self.is_assigned(&host.id, live)).collect();
        // The previous daemon renewed a newly assigned worker at most one interval ago, and a lease
        // lasts for four intervals.
        let interval = renewal_interval(assigned_hosts.len(), cx.settings);
        for host in assigned_hosts {
            while old.next_if(|assignment| assignment.worker < host.id).is_some() {}
            let kept = old.next_if(|assignment| assignment.worker == host.id);
            let assignment = kept.unwrap_or_else(|| self.new_assignment(&host.id, interval, cx));
            self.assigned.push(assignment);
        }
    }

    fn is_assigned(&self, worker: &WorkerId, live: &[DaemonId]) -> bool {
        let keeper = live.iter().max_by_key(|id| rank(worker.as_str(), id.as_str()));
        keeper.is_none_or(|id| *id == self.id)
    }

    fn new_assignment(
        &mut self,
        worker: &WorkerId,
        interval: Span,
        cx: &Context<'_>,
    ) -> Assignment {
        let offset = Span(self.rng.u64(0..=interval.millis()));
        Assignment {
            worker: worker.clone(),
            renew: RepeatedCall::open(cx.now + offset),
            full_due: cx.now,
            full_requested: false,
            last_reply: cx.now,
            leaving: None,
        }
    }

    /// Handles the result of a renewal.
    pub(crate) fn on_worker(
        &mut self,
        call: CallId,
        result: Result<WorkerReply, EdgeFault>,
        hosts: &mut Hosts,
        cx: &mut Context<'_>,
    ) {
        let interval = renewal_interval(self.assigned.len(), cx.settings);
        let found = self.assigned.iter_mut().find_map(|assignment| {
            assignment.renew.on_reply(call)?;
            Some(assignment)
        });
        let Some(assignment) = found else { return };
        let timing = cx.settings.timing;
        let Ok(reply) = result else {
            // The worker may consider the report in its lost reply as delivered.
            assignment.full_due = cx.now;
            let longest = Span(timing.renew.millis() * BACKOFF_MAX_RENEWALS);
            let longest = longest.max(Span(timing.lease.millis() / RETRIES_PER_LEASE));
            return assignment.renew.back_off((timing.renew, longest), cx.now, &mut self.rng);
        };
        assignment.renew.schedule(jitter(interval, &mut self.rng), cx.now);
        assignment.last_reply = cx.now;
        let busy = reply.busy.len() as u8;
        hosts.on_worker_reply(&assignment.worker, reply.leaving, cx.now);
        hosts.on_worker_busy(&assignment.worker, busy);
        let notify_placer =
            assignment.leaving != Some(reply.leaving) || reply.leaving || assignment.full_requested;
        assignment.leaving = Some(reply.leaving);
        if assignment.full_requested {
            let full_interval =
                FULL_REPORT_INTERVAL_MIN.max(Span(timing.lease.millis() / FULL_REPORTS_PER_LEASE));
            assignment.full_due = cx.now + jitter(full_interval, &mut self.rng);
        }
        let Some(placer) = &self.placer else {
            assignment.full_due = cx.now;
            return;
        };
        if notify_placer && *placer != self.id {
            let worker = assignment.worker.clone();
            let seen = PeerMessage::WorkerSeen { worker, leaving: reply.leaving, busy };
            cx.out.peer(placer, seen);
        }
        if assignment.full_requested || !reply.tasks.is_empty() {
            let worker = assignment.worker.clone();
            self.reports.add(worker, assignment.full_requested, reply.tasks, placer, cx);
        }
    }

    /// Handles the placer's acknowledgement of the report `seq`.
    pub(crate) fn on_reports_taken(&mut self, seq: u64) {
        self.reports.acknowledge(seq);
    }

    /// Returns the time since the last reply of `worker`, or `None` if it is not assigned to this
    /// daemon.
    pub(crate) fn silence(&self, worker: &WorkerId, now: Moment) -> Option<Span> {
        let i = self.assigned.binary_search_by(|assignment| assignment.worker.cmp(worker)).ok()?;
        Some(now.since(self.assigned[i].last_reply))
    }

    /// Returns the leases section of the operators' state dump.
    pub(crate) fn dump(&self, now: Moment) -> serde_json::Value {
        let assigned: Vec<_> = self
            .assigned
            .iter()
            .map(|assignment| {
                serde_json::json!({
                    "worker": assignment.worker,
                    "silent_ms": self.silence(&assignment.worker, now).map(Span::millis),
                    "faults": assignment.renew.faults(),
                    "leaving": assignment.leaving,
                })
            })
            .collect();
        serde_json::json!({
            "placer": self.placer,
            "reports": self.reports.len(),
            "assigned": assigned,
        })
    }
}

/// Returns the renewal interval of each worker for a daemon with `workers` assigned. Together the
/// renewals stay within the daemon's control rate, unless the lease requires more.
fn renewal_interval(workers: usize, settings: &Settings) -> Span {
    let Timing { renew, lease, .. } = settings.timing;
    let bytes = workers as u64 * RENEWAL_BYTES;
    let at_rate = Span(bytes * 1_000 / u64::from(settings.limits.control_rate));
    at_rate.min(Span(lease.millis() / RENEWALS_PER_LEASE)).max(renew)
}

impl Assignment {
    /// Sends a renewal to the worker if one is due.
    fn renew(&mut self, hosts: &Hosts, from: &DaemonId, cx: &mut Context<'_>) {
        let timing = cx.settings.timing;
        if !self.renew.is_due(cx.now, timing.worker + timing.worker) {
            return;
        }
        let Some(host) = hosts.find(&self.worker) else { return };
        self.full_requested = cx.now >= self.full_due;
        let batch = WorkerBatch {
            from: from.clone(),
            ops: vec![WorkerOp::RenewAll { lease: timing.lease }],
            all: self.full_requested,
        };
        let to = (&host.id, host.addr);
        let call = cx.out.worker(Component::Keeper, to, batch, timing.worker);
        self.renew.on_sent(call, cx.now);
    }
}
