//! Keeps the score of workers from what came of their jobs, quarantines and probes them.

use crate::sched::Scheduler;
use crate::sched::event::Action;
use crate::sched::fit;
use crate::sched::fit::{Place, pick};
use crate::sched::fleet::WorkerIx;
use crate::sched::health::{SCORE_MAX, Strike, Weight};
use crate::sched::jobs::{JobIx, Reason};
use crate::units::{AcceleratorSet, Moment};

/// One worker in this many may be quarantined at the same time.
const QUARANTINE_PART: usize = 8;
/// The largest job that probes a worker, in accelerators.
pub(super) const PROBE_ACCELERATORS_MAX: u32 = 2;

impl Scheduler {
    /// Notes that a job completed on its workers. Those that failed it before are to blame.
    pub(super) fn note_success(&mut self, ix: JobIx) {
        let job = self.jobs.get(ix);
        let (space, kind) = (job.space, job.spec.kind.clone());
        let mut workers: Vec<_> = job.places.iter().map(|p| p.worker).collect();
        workers.sort_unstable();
        workers.dedup();
        for worker in &workers {
            if self.fleet.worker(*worker).health.is_quarantined() {
                self.fleet.readmit(*worker);
                self.note_readmitted(*worker);
            }
            self.fleet.health_mut(*worker).trust();
        }
        let failing = std::mem::take(&mut self.kinds.entry(space, &kind).failing);
        for worker in failing.into_iter().filter(|worker| !workers.contains(worker)) {
            self.fleet.health_mut(worker).confirm(space, &kind);
            self.judge(worker);
        }
        let failed_on = self.jobs.get(ix).failed_on.clone();
        for worker in failed_on.into_iter().filter(|worker| !workers.contains(worker)) {
            let strike = Strike { job: None, space, kind: kind.clone(), weight: Weight::Job };
            let health = self.fleet.health_mut(worker);
            health.release(ix, false);
            health.strike(strike);
            self.judge(worker);
        }
    }

    /// Notes that a job failed on a worker; one that fails on several is to blame itself. Returns
    /// whether it was a probe.
    pub(super) fn note_failure(&mut self, ix: JobIx, worker: Option<WorkerIx>) -> bool {
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
                self.fleet.health_mut(other).release(ix, false);
            }
            return false;
        }
        let strike = Strike { job: Some(ix), space, kind, weight: Weight::Alone };
        self.fleet.health_mut(worker).strike(strike);
        self.judge(worker);
        false
    }

    /// Lets go of a job that ends; what it said about workers stays.
    pub(super) fn let_go(&mut self, ix: JobIx) {
        for worker in self.jobs.get(ix).failed_on.clone() {
            self.fleet.health_mut(worker).release(ix, true);
        }
    }

    /// Quarantines a worker whose score says so, within the bound.
    fn judge(&mut self, worker: WorkerIx) {
        let state = self.fleet.worker(worker);
        if state.is_gone() || state.health.is_quarantined() {
            return;
        }
        let kinds = &self.kinds;
        let score = state.health.score(|space, kind| {
            kinds.get(space, kind).is_none_or(|k| k.failing.iter().all(|w| *w == worker))
        });
        let most = (self.fleet.count() / QUARANTINE_PART).max(1).min(self.fleet.count() - 1);
        let bad = score >= SCORE_MAX || state.health.has_relapsed();
        if !bad || self.fleet.quarantined().len() >= most {
            return;
        }
        self.fleet.quarantine(worker, self.now);
        self.give_up(worker);
        let id = self.fleet.worker(worker).info.id.clone();
        self.actions.push(Action::Quarantine(id));
    }

    /// Readmits workers on trial that no job came to probe, while work or a guarantee lacks room:
    /// what waits may be too large for a probe and need just these workers. The cost is that a job
    /// that isn't idempotent may meet a worker that is still bad; the time to the next trial grows.
    pub(super) fn try_out_overdue(&mut self) {
        let lacking = self.waiting > 0 || !self.guarantees.broken.is_empty();
        if !lacking || !self.is_in() {
            return;
        }
        let overdue = |ix: &WorkerIx| self.fleet.worker(*ix).health.is_overdue(self.now);
        for worker in self.fleet.quarantined().iter().copied().filter(overdue).collect::<Vec<_>>() {
            self.fleet.try_out(worker);
            self.note_readmitted(worker);
        }
    }

    fn note_readmitted(&mut self, worker: WorkerIx) {
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
            due && !state.info.leaving && state.shunned == Moment(0)
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
        if !small || !job.repeatable() || job.is_urgent() {
            return false;
        }
        let Some(worker) = self.probe_due() else { return false };
        let state = self.fleet.worker(worker);
        let free = AcceleratorSet::run(0, state.info.accelerators).without(state.busy);
        let Some(set) = pick(free, shape.accelerators) else { return false };
        if !state.is_free(set, 1) {
            return false;
        }
        self.fleet.health_mut(worker).begin_probe(ix);
        self.begin(ix, vec![Place { worker, set, tasks: 1 }], Reason::Probe);
        self.jobs.get_mut(ix).probe = true;
        true
    }
}
