//! Scores workers by the outcome of their jobs, and quarantines and probes them.

use crate::sched::Scheduler;
use crate::sched::event::Action;
use crate::sched::fit;
use crate::sched::fit::{Place, pick_run};
use crate::sched::fleet::WorkerIx;
use crate::sched::health::{QUARANTINE_SCORE, Strike, Weight};
use crate::sched::jobs::{JobIx, Reason};
use crate::units::{AcceleratorSet, Moment};

/// At most one in this many workers, but at least one, may be quarantined at the same time.
const WORKERS_PER_QUARANTINE: usize = 8;
/// Maximum number of accelerators of a job that probes a worker.
pub(super) const PROBE_ACCELERATORS_MAX: u32 = 2;

impl Scheduler {
    /// Records that a job completed on its workers. The failures of the job or its kind on other
    /// workers count more from then on.
    pub(super) fn record_success(&mut self, ix: JobIx) {
        let job = self.jobs.get(ix);
        let (space, kind) = (job.space, job.spec.kind.clone());
        let mut workers: Vec<_> = job.places.iter().map(|p| p.worker).collect();
        workers.sort_unstable();
        workers.dedup();
        for worker in &workers {
            if self.fleet.worker(*worker).health.is_quarantined() {
                self.fleet.readmit(*worker);
                self.announce_readmission(*worker);
            }
            self.fleet.health_mut(*worker).reset();
        }
        let failing = std::mem::take(&mut self.kinds.entry(space, &kind).failing);
        for worker in failing.into_iter().filter(|worker| !workers.contains(worker)) {
            self.fleet.health_mut(worker).confirm(space, &kind);
            self.quarantine_if_bad(worker);
        }
        let failed_on = self.jobs.get(ix).failed_on.clone();
        for worker in failed_on.into_iter().filter(|worker| !workers.contains(worker)) {
            let strike = Strike { job: None, space, kind: kind.clone(), weight: Weight::Job };
            let health = self.fleet.health_mut(worker);
            health.detach_job(ix, false);
            health.add_strike(strike);
            self.quarantine_if_bad(worker);
        }
    }

    /// Records that a job failed on a worker. A job that fails on several workers counts against
    /// none of them. Returns true if it was a probe.
    pub(super) fn record_failure(&mut self, ix: JobIx, worker: Option<WorkerIx>) -> bool {
        let Some(worker) = worker else { return false };
        let job = self.jobs.get_mut(ix);
        if std::mem::take(&mut job.probe) {
            self.fleet.health_mut(worker).end_probe(true, self.now);
            return true;
        }
        if !job.failed_on.contains(&worker) {
            job.failed_on.push(worker);
        }
        let mut avoid = job.failed_on.clone();
        let shape = job.spec.shape;
        while !avoid.is_empty() && !fit::ever_fits(&self.fleet, shape, &avoid) {
            avoid.remove(0);
        }
        let job = self.jobs.get_mut(ix);
        job.avoid = avoid;
        let (space, kind) = (job.space, job.spec.kind.clone());
        let failing = &mut self.kinds.entry(space, &kind).failing;
        if !failing.contains(&worker) {
            failing.push(worker);
        }
        let failed_on = self.jobs.get(ix).failed_on.clone();
        if failed_on.len() > 1 {
            for other in failed_on {
                self.fleet.health_mut(other).detach_job(ix, false);
            }
            return false;
        }
        let strike = Strike { job: Some(ix), space, kind, weight: Weight::Alone };
        self.fleet.health_mut(worker).add_strike(strike);
        self.quarantine_if_bad(worker);
        false
    }

    /// Removes the references to a job that ends from its workers' strikes; the strikes stay.
    pub(super) fn detach_strikes(&mut self, ix: JobIx) {
        for worker in self.jobs.get(ix).failed_on.clone() {
            self.fleet.health_mut(worker).detach_job(ix, true);
        }
    }

    /// Quarantines a worker whose score is too high, unless too many are quarantined already.
    fn quarantine_if_bad(&mut self, worker: WorkerIx) {
        let state = self.fleet.worker(worker);
        if state.is_gone() || state.health.is_quarantined() {
            return;
        }
        let kinds = &self.kinds;
        let score = state.health.score(|space, kind| {
            kinds.get(space, kind).is_none_or(|k| k.failing.iter().all(|w| *w == worker))
        });
        let limit =
            (self.fleet.count() / WORKERS_PER_QUARANTINE).max(1).min(self.fleet.count() - 1);
        let bad = score >= QUARANTINE_SCORE || state.health.has_failed_trial();
        if !bad || self.fleet.quarantined().len() >= limit {
            return;
        }
        self.fleet.quarantine(worker, self.now);
        self.unbind_worker(worker);
        let id = self.fleet.worker(worker).info.id.clone();
        self.actions.push(Action::Quarantine(id));
    }

    /// Readmits on trial the quarantined workers whose probe is overdue, as long as a job waits or a
    /// guarantee has no block: the waiting jobs may be too large for a probe and need just these
    /// workers. The cost is that a job that is not idempotent may run on a worker that is still bad.
    /// The time to the next trial grows.
    pub(super) fn readmit_overdue(&mut self) {
        let lacking = self.waiting > 0 || !self.guarantees.degraded.is_empty();
        if !lacking || !self.in_service() {
            return;
        }
        let overdue = |ix: &WorkerIx| self.fleet.worker(*ix).health.is_probe_overdue(self.now);
        for worker in self.fleet.quarantined().iter().copied().filter(overdue).collect::<Vec<_>>() {
            self.fleet.readmit_on_trial(worker);
            self.announce_readmission(worker);
        }
    }

    fn announce_readmission(&mut self, worker: WorkerIx) {
        self.freed = true;
        let id = self.fleet.worker(worker).info.id.clone();
        self.actions.push(Action::Readmit(id));
    }

    /// Returns a quarantined worker that is due for a probe.
    pub(super) fn probe_due(&self) -> Option<WorkerIx> {
        self.fleet.quarantined().iter().copied().find(|worker| {
            let state = self.fleet.worker(*worker);
            let quarantine = state.health.quarantine();
            let due = quarantine.is_some_and(|q| q.prober.is_none() && q.probe <= self.now);
            due && !state.info.leaving && state.backoff_until == Moment(0)
        })
    }

    /// Starts a small idempotent job on a quarantined worker whose probe is due.
    pub(super) fn try_probe(&mut self, ix: JobIx) -> bool {
        if self.fleet.quarantined().is_empty() {
            return false;
        }
        let job = self.jobs.get(ix);
        let shape = job.spec.shape;
        let small = shape.tasks == 1 && shape.total() <= PROBE_ACCELERATORS_MAX;
        if !small || !job.retryable() || job.is_urgent() {
            return false;
        }
        let Some(worker) = self.probe_due() else { return false };
        let state = self.fleet.worker(worker);
        let free = AcceleratorSet::contiguous(0, state.info.accelerators).difference(state.busy);
        let Some(set) = pick_run(free, shape.accelerators) else { return false };
        if !state.is_free(set, 1) {
            return false;
        }
        self.fleet.health_mut(worker).begin_probe(ix);
        self.dequeue_and_start(ix, vec![Place { worker, set, tasks: 1 }], Reason::Probe);
        self.jobs.get_mut(ix).probe = true;
        true
    }
}
