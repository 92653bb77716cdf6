//! Asserts what must hold after every decision.

use crate::sched::Scheduler;
use crate::sched::fleet::View;
use crate::sched::jobs::Phase;
use crate::units::AcceleratorSet;

impl Scheduler {
    /// Checks the workers that the decision changed.
    ///
    /// # Panics
    ///
    /// Panics when the decision broke an invariant.
    pub(super) fn check_touched(&mut self) {
        for ix in self.fleet.take_touched() {
            self.fleet.worker(ix).check();
        }
    }

    /// Checks the whole state.
    ///
    /// # Panics
    ///
    /// Panics when an invariant is broken.
    pub fn check(&self) {
        self.check_workers();
        self.check_guarantees();
        self.check_jobs();
    }

    fn check_workers(&self) {
        for ix in self.fleet.present() {
            let worker = self.fleet.worker(ix);
            worker.check();
            let cells = self.guarantees.iter().flat_map(|(_, instance)| &instance.cells);
            let mut reserved = AcceleratorSet::EMPTY;
            for cell in cells.filter(|c| c.worker == Some(ix)) {
                let rest = cell.set.without(cell.used);
                assert!(!reserved.overlaps(rest), "{}: {rest} is promised twice", worker.info.id);
                reserved = reserved.with(rest);
            }
            assert_eq!(reserved, worker.reserved, "{}: sum of guarantees", worker.info.id);
        }
    }

    /// Checks that every unused guarantee can be had by stopping borrowed work alone.
    fn check_guarantees(&self) {
        for (ix, instance) in self.guarantees.iter() {
            if !instance.is_bound() {
                assert!(self.guarantees.broken.contains(&ix), "a degraded guarantee is known");
                continue;
            }
            for cell in &instance.cells {
                let Some(at) = cell.worker else { continue };
                let worker = self.fleet.worker(at);
                let rest = cell.set.without(cell.used);
                assert!(!worker.firm.overlaps(rest), "firm work on a guarantee");
                assert!(cell.user.is_some() || worker.is_usable(), "a guarantee on bad hardware");
            }
        }
    }

    fn check_jobs(&self) {
        let mut waiting = 0;
        for (ix, job) in self.jobs.iter() {
            let seats = job.places.iter().map(|place| place.worker);
            let seated = |worker| self.fleet.worker(worker).seats.iter().any(|s| s.job == ix);
            if job.phase.is_live() {
                assert!(seats.clone().all(seated), "{}: a live job is in the ledger", job.spec.key);
                let tasks: u16 = job.places.iter().map(|p| p.tasks).sum();
                let whole = tasks == job.spec.shape.tasks;
                let partial = job.reason.is_partial() || !job.unseated.is_empty();
                assert!(whole || partial, "{}: a gang is whole", job.spec.key);
                continue;
            }
            waiting += 1;
            assert!(!seats.clone().any(seated), "{}: a waiting job holds nothing", job.spec.key);
            assert_eq!(job.phase == Phase::Waiting, job.ticket.is_some(), "a ticket for waiting");
            let claims = self.claims.contains(&ix) || self.drains.iter().any(|d| d.owner == ix);
            assert_eq!(job.phase == Phase::Claiming, claims, "{}: claims", job.spec.key);
        }
        assert_eq!(waiting, self.waiting, "count of waiting jobs");
        let rest = self.delayed.len() + self.claims.len() + self.drains.len();
        assert_eq!(self.queue.len() + rest, waiting as usize, "a waiting job is on one list");
        assert!(self.fleet.fit(View::Soft, 0) >= self.fleet.fit(View::Hard, 0));
    }
}
