//! Checks the invariants that hold after every decision.

use crate::sched::Scheduler;
use crate::sched::fleet::View;
use crate::sched::jobs::Phase;
use crate::units::AcceleratorSet;

impl Scheduler {
    /// Checks the workers that the decision changed.
    ///
    /// # Panics
    ///
    /// Panics if the decision broke an invariant.
    pub(super) fn check_dirty(&mut self) {
        for ix in self.fleet.take_dirty() {
            self.fleet.worker(ix).check();
        }
    }

    /// Checks the whole state.
    ///
    /// # Panics
    ///
    /// Panics if an invariant is broken.
    pub fn check(&self) {
        self.check_workers();
        self.check_guarantees();
        self.check_jobs();
    }

    fn check_workers(&self) {
        for ix in self.fleet.present() {
            let worker = self.fleet.worker(ix);
            worker.check();
            let bindings = self.guarantees.iter().flat_map(|(_, guarantee)| &guarantee.bindings);
            let mut reserved = AcceleratorSet::EMPTY;
            for binding in bindings.filter(|b| b.worker == Some(ix)) {
                let rest = binding.set.difference(binding.used);
                assert!(
                    !reserved.overlaps(rest),
                    "{}: {rest} is reserved for two guarantees",
                    worker.info.id
                );
                reserved = reserved.union(rest);
            }
            assert_eq!(
                reserved, worker.reserved,
                "{}: reserved set differs from the guarantees",
                worker.info.id
            );
        }
    }

    /// Checks that every unused guarantee can be provided by preempting borrowed work alone.
    fn check_guarantees(&self) {
        for (ix, guarantee) in self.guarantees.iter() {
            if !guarantee.is_bound() {
                assert!(
                    self.guarantees.degraded.contains(&ix),
                    "guarantee {} is unbound, but missing from the degraded list",
                    guarantee.shape
                );
                continue;
            }
            for binding in &guarantee.bindings {
                let Some(at) = binding.worker else { continue };
                let worker = self.fleet.worker(at);
                let rest = binding.set.difference(binding.used);
                assert!(
                    !worker.pinned.overlaps(rest),
                    "{}: pinned {} overlaps {rest}, which belongs to a guarantee",
                    worker.info.id,
                    worker.pinned
                );
                assert!(
                    binding.user.is_some() || worker.is_healthy(),
                    "unused guarantee {} is bound to {}, which is unhealthy",
                    guarantee.shape,
                    worker.info.id
                );
            }
        }
    }

    fn check_jobs(&self) {
        let mut waiting = 0;
        for (ix, job) in self.jobs.iter() {
            let workers = job.places.iter().map(|place| place.worker);
            let has_allocation =
                |worker| self.fleet.worker(worker).allocations.iter().any(|a| a.job == ix);
            if job.phase.is_live() {
                assert!(
                    workers.clone().all(has_allocation),
                    "{}: a live job lacks allocations",
                    job.spec.key
                );
                let tasks: u16 = job.places.iter().map(|p| p.tasks).sum();
                let whole = tasks == job.spec.shape.tasks;
                let partial = job.reason.is_partial() || !job.unresolved.is_empty();
                assert!(
                    whole || partial,
                    "{}: {tasks} of {} tasks are placed",
                    job.spec.key,
                    job.spec.shape.tasks
                );
                continue;
            }
            waiting += 1;
            assert!(
                !workers.clone().any(has_allocation),
                "{}: a waiting job has allocations",
                job.spec.key
            );
            assert_eq!(
                job.phase == Phase::Waiting,
                job.position.is_some(),
                "{}: queue position and phase disagree",
                job.spec.key
            );
            let claims = self.claims.contains(&ix) || self.drains.iter().any(|d| d.owner == ix);
            assert_eq!(
                job.phase == Phase::Claiming,
                claims,
                "{}: claims or drains disagree with the phase",
                job.spec.key
            );
        }
        assert_eq!(waiting, self.waiting, "count of waiting jobs is wrong");
        let rest = self.delayed.len() + self.claims.len() + self.drains.len();
        assert_eq!(
            self.queue.len() + rest,
            waiting as usize,
            "a waiting job is on no list, or on several: {} queued, {rest} on other lists",
            self.queue.len()
        );
        assert!(
            self.fleet.task_capacity(View::Preemptible, 0)
                >= self.fleet.task_capacity(View::NonPreemptible, 0),
            "preemptible jobs have fewer slots than non-preemptible ones"
        );
    }
}
