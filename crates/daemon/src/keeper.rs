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
use crate::settings::Settings;
use crate::timer::{Repeat, jitter};
use reports::Reports;

/// Time between two full reports of a worker.
const FULL_PERIOD: Span = Span::from_secs(10);

/// The longest wait after a fault, in renewal periods: several tries have to fit into a lease.
const FAULT_PERIODS_MAX: u64 = 4;

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
        for host in hosts.known() {
            if !self.is_mine(&host.id, live) {
                continue;
            }
            while old.next_if(|assignment| assignment.worker < host.id).is_some() {}
            let kept = old.next_if(|assignment| assignment.worker == host.id);
            let assignment = kept.unwrap_or_else(|| self.assignment(&host.id, cx));
            self.assigned.push(assignment);
        }
    }

    fn is_mine(&self, worker: &WorkerId, live: &[DaemonId]) -> bool {
        let keeper = live.iter().max_by_key(|id| rank(worker.as_str(), id.as_str()));
        keeper.is_none_or(|id| *id == self.id)
    }

    fn assignment(&mut self, worker: &WorkerId, cx: &Context<'_>) -> Assignment {
        let offset = Span(self.rng.u64(0..=cx.settings.timing.renew.millis()));
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
        let found = self.assigned.iter_mut().find_map(|assignment| {
            assignment.renew.answered(call)?;
            Some(assignment)
        });
        let Some(assignment) = found else { return };
        let period = cx.settings.timing.renew;
        let Ok(reply) = result else {
            // The worker may have taken its report for delivered.
            assignment.full = cx.now;
            let most = Span(period.millis() * FAULT_PERIODS_MAX);
            return assignment.renew.back_off((period, most), cx.now, &mut self.rng);
        };
        assignment.renew.after(jitter(period, &mut self.rng), cx.now);
        assignment.heard = cx.now;
        let busy = reply.busy.len() as u8;
        hosts.on_leaving(&assignment.worker, reply.leaving, cx.now);
        hosts.on_busy(&assignment.worker, busy);
        let news = assignment.leaving != Some(reply.leaving) || reply.leaving || assignment.asked;
        assignment.leaving = Some(reply.leaving);
        if assignment.asked {
            assignment.full = cx.now + jitter(FULL_PERIOD, &mut self.rng);
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
