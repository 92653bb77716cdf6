//! Leases of running tasks: any daemon of a failure domain renews those of its share of workers
//! and passes what the workers report to the placer.
//!
//! Renewing starts nothing, so it needs no exclusive right: two daemons that renew the same worker
//! for a while do no harm, and running work outlives the daemon that started it.

mod reports;
#[cfg(test)]
mod tests;

use bulrushlink_api::{EdgeFault, WorkerBatch, WorkerOp, WorkerReply};
use bulrushlink_core::{DaemonId, Moment, Span, WorkerId};

use crate::edge::{CallId, Context, Duty};
use crate::hash::rank;
use crate::hosts::Hosts;
use crate::peer::PeerMessage;
use crate::settings::{Settings, Timing};
use crate::timer::{Repeat, jitter};
use reports::Reports;

/// Least time between two full reports of a worker.
const FULL_PERIOD: Span = Span::from_secs(10);
/// Full reports that come within a lease, where that takes longer than [`FULL_PERIOD`]. The placer
/// asks a worker itself of which it heard nothing for half a lease.
const FULLS_PER_LEASE: u64 = 4;
/// Renewals that fit into a lease however many workers there are: three may be missed, and a
/// period may be a quarter longer.
const RENEWALS_PER_LEASE: u64 = 4;
/// Bytes of a renewal and its answer, with the heads of both.
const RENEWAL_BYTES: u64 = 512;

/// The longest wait after a fault, in shortest renewal periods.
const FAULT_PERIODS_MAX: u64 = 4;
/// Tries that fit into a lease after a fault, where that allows longer waits.
const FAULTS_PER_LEASE: u64 = 8;

/// A worker of this daemon's share.
#[derive(Debug)]
struct Assignment {
    worker: WorkerId,
    renew: Repeat,
    /// When the next full report is due.
    full: Moment,
    /// Whether the call in progress asks for a full report.
    asked: bool,
    /// When it answered last, or came into the share.
    heard: Moment,
    /// Its latest word that it leaves; `None` before the first answer.
    leaving: Option<bool>,
}

/// What decides on a daemon's share of the workers.
#[derive(Debug, Default, PartialEq, Eq)]
struct Basis {
    live: Vec<DaemonId>,
    /// Generation of the set of workers.
    roster: u64,
}

/// Renews leases and passes reports on.
#[derive(Debug)]
pub(crate) struct Keeper {
    id: DaemonId,
    /// The workers of this daemon's share, sorted.
    assigned: Vec<Assignment>,
    /// What `assigned` was chosen from.
    basis: Basis,
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
            basis: Basis::default(),
            reports: Reports::open(incarnation),
            placer: None,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Calls the workers whose renewal is due. Each worker belongs to the highest of `live` by
    /// rendezvous hash; without any, to this daemon. Reports go to `placer` until it has taken
    /// them.
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
                assignment.full = cx.now;
            }
        }
        let basis = Basis { live: live.to_vec(), roster: hosts.roster() };
        if self.basis != basis {
            self.basis = basis;
            self.share(hosts, live, cx);
        }
        for assignment in &mut self.assigned {
            assignment.renew(hosts, &self.id, cx);
        }
        if let Some(placer) = &self.placer {
            self.reports.repeat(placer, cx);
        }
    }

    /// Takes up the workers that came into this daemon's share, and drops those that left it.
    fn share(&mut self, hosts: &Hosts, live: &[DaemonId], cx: &Context<'_>) {
        let mut old = std::mem::take(&mut self.assigned).into_iter().peekable();
        let mine: Vec<_> = hosts.known().filter(|host| self.is_mine(&host.id, live)).collect();
        // What is taken up was renewed a period ago at the longest, and its lease has four.
        let period = renewal_period(mine.len(), cx.settings);
        for host in mine {
            while old.next_if(|assignment| assignment.worker < host.id).is_some() {}
            let kept = old.next_if(|assignment| assignment.worker == host.id);
            let assignment = kept.unwrap_or_else(|| self.assignment(&host.id, period, cx));
            self.assigned.push(assignment);
        }
    }

    fn is_mine(&self, worker: &WorkerId, live: &[DaemonId]) -> bool {
        let keeper = live.iter().max_by_key(|id| rank(worker.as_str(), id.as_str()));
        keeper.is_none_or(|id| *id == self.id)
    }

    fn assignment(&mut self, worker: &WorkerId, period: Span, cx: &Context<'_>) -> Assignment {
        let offset = Span(self.rng.u64(0..=period.millis()));
        Assignment {
            worker: worker.clone(),
            renew: Repeat::open(cx.now + offset),
            full: cx.now,
            asked: false,
            heard: cx.now,
            leaving: None,
        }
    }

    /// Takes a worker's answer.
    pub(crate) fn on_worker(
        &mut self,
        call: CallId,
        result: Result<WorkerReply, EdgeFault>,
        hosts: &mut Hosts,
        cx: &mut Context<'_>,
    ) {
        let period = renewal_period(self.assigned.len(), cx.settings);
        let found = self.assigned.iter_mut().find_map(|assignment| {
            assignment.renew.answered(call)?;
            Some(assignment)
        });
        let Some(assignment) = found else { return };
        let timing = cx.settings.timing;
        let Ok(reply) = result else {
            // The worker may have taken its report for delivered.
            assignment.full = cx.now;
            let most = Span(timing.renew.millis() * FAULT_PERIODS_MAX);
            let most = most.max(Span(timing.lease.millis() / FAULTS_PER_LEASE));
            return assignment.renew.back_off((timing.renew, most), cx.now, &mut self.rng);
        };
        assignment.renew.after(jitter(period, &mut self.rng), cx.now);
        assignment.heard = cx.now;
        let busy = reply.busy.len() as u8;
        hosts.on_leaving(&assignment.worker, reply.leaving, cx.now);
        hosts.on_busy(&assignment.worker, busy);
        let news = assignment.leaving != Some(reply.leaving) || reply.leaving || assignment.asked;
        assignment.leaving = Some(reply.leaving);
        if assignment.asked {
            let full = FULL_PERIOD.max(Span(timing.lease.millis() / FULLS_PER_LEASE));
            assignment.full = cx.now + jitter(full, &mut self.rng);
        }
        let Some(placer) = &self.placer else {
            assignment.full = cx.now;
            return;
        };
        if news && *placer != self.id {
            let worker = assignment.worker.clone();
            let seen = PeerMessage::WorkerSeen { worker, leaving: reply.leaving, busy };
            cx.out.peer(placer, seen);
        }
        if assignment.asked || !reply.tasks.is_empty() {
            let worker = assignment.worker.clone();
            self.reports.add(worker, assignment.asked, reply.tasks, placer, cx);
        }
    }

    /// Takes the placer's word that it has a report.
    pub(crate) fn on_taken(&mut self, seq: u64) {
        self.reports.on_taken(seq);
    }

    /// Returns for how long a worker of this daemon's share has been silent.
    pub(crate) fn silent(&self, worker: &WorkerId, now: Moment) -> Option<Span> {
        let i = self.assigned.binary_search_by(|assignment| assignment.worker.cmp(worker)).ok()?;
        Some(now.since(self.assigned[i].heard))
    }

    /// Returns the state for a dump.
    pub(crate) fn dump(&self, now: Moment) -> serde_json::Value {
        let assigned: Vec<_> = self
            .assigned
            .iter()
            .map(|assignment| {
                serde_json::json!({
                    "worker": assignment.worker,
                    "silent_ms": self.silent(&assignment.worker, now).map(Span::millis),
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

/// Returns the time between two renewals of a worker by a daemon that keeps `workers`: all of them
/// together stay within the daemon's control rate, as far as the lease allows.
fn renewal_period(workers: usize, settings: &Settings) -> Span {
    let Timing { renew, lease, .. } = settings.timing;
    let bytes = workers as u64 * RENEWAL_BYTES;
    let within = Span(bytes * 1_000 / u64::from(settings.limits.control_rate));
    within.min(Span(lease.millis() / RENEWALS_PER_LEASE)).max(renew)
}

impl Assignment {
    /// Renews the leases of the worker if that is due.
    fn renew(&mut self, hosts: &Hosts, from: &DaemonId, cx: &mut Context<'_>) {
        let timing = cx.settings.timing;
        if !self.renew.is_due(cx.now, timing.worker + timing.worker) {
            return;
        }
        let Some(host) = hosts.find(&self.worker) else { return };
        self.asked = cx.now >= self.full;
        let batch = WorkerBatch {
            from: from.clone(),
            ops: vec![WorkerOp::RenewAll { lease: timing.lease }],
            all: self.asked,
        };
        let to = (&host.id, host.addr);
        let call = cx.out.worker(Duty::Keeper, to, batch, timing.worker);
        self.renew.sent(call, cx.now);
    }
}
