//! Repacks all unused guarantees, as if none of them had been bound before.
//!
//! Blocks are bound one at a time and may be scattered after failures. Repacking costs a
//! search for each but moves no work, so it is done when a guarantee finds no block, or when
//! non-preemptible work has waited long for room that scattered blocks take up.

use crate::sched::Scheduler;
use crate::sched::fit::{self, Place};
use crate::sched::fleet::View;
use crate::sched::guarantee::GuaranteeIx;
use crate::sched::jobs::{JobIx, Reason};
use crate::sched::share::bind_all;
use crate::units::{AcceleratorSet, Span};

/// Minimum interval between two packings of all unused guarantees, and minimum wait of a job before
/// they are packed around it.
const REPACK_INTERVAL: Span = Span::from_secs(10);

/// Maximum number of waiting jobs for which one tick repacks the guarantees.
const REPACK_JOBS_MAX: usize = 4;

/// The blocks of the unused guarantees before a packing.
type BindingSnapshot = Vec<(GuaranteeIx, Vec<Place>)>;

impl Scheduler {
    /// Repacks the unused guarantees while a guarantee has no block.
    pub(super) fn repack_degraded(&mut self) {
        let due = self.now.since(self.last_repack) >= REPACK_INTERVAL;
        if self.guarantees.degraded.is_empty() || !due {
            return;
        }
        self.last_repack = self.now;
        let before = self.guarantees.degraded.len();
        let old = self.unbind_unused();
        let unused = old.iter().map(|(ix, _)| *ix).collect();
        bind_all(&mut self.guarantees, unused, &mut self.fleet);
        if self.guarantees.degraded.len() >= before {
            self.restore_bindings(&old);
        }
        self.freed = true;
    }

    /// Starts non-preemptible jobs for which accelerators are free but reserved for unused
    /// guarantees. The guarantees are packed around such a job, provided that all keep a block.
    pub(super) fn repack_for_waiting(&mut self) {
        let due = self.now.since(self.last_repack) >= REPACK_INTERVAL;
        if !due || !self.in_service() {
            return;
        }
        let pinned = self.queue.lanes().iter().filter(|lane| lane.key.view == View::NonPreemptible);
        let mut heads: Vec<_> = pinned
            .map(|lane| lane.entries[0].job)
            .filter(|ix| self.now.since(self.jobs.get(*ix).since) >= REPACK_INTERVAL)
            .collect();
        heads.sort_by_key(|ix| (self.jobs.get(*ix).submitted(), *ix));
        for ix in heads.into_iter().take(REPACK_JOBS_MAX) {
            self.repack_for(ix);
        }
    }

    fn repack_for(&mut self, ix: JobIx) {
        let job = self.jobs.get(ix);
        let found = fit::find(&self.fleet, View::Preemptible, job.spec.shape, &job.avoid);
        let Some(places) = found else { return };
        self.last_repack = self.now;
        if self.repack_around(&places) && self.is_startable(ix, &places) {
            self.dequeue_and_start(ix, places, Reason::Unheld);
        }
    }

    /// Repacks the unused guarantees so that none is on `places`. Returns false, with all bindings
    /// restored, if that would leave more guarantees degraded than before.
    pub(super) fn repack_around(&mut self, places: &[Place]) -> bool {
        let before = self.guarantees.degraded.len();
        let old = self.unbind_unused();
        let reserved: Vec<_> = places
            .iter()
            .map(|place| {
                let worker = self.fleet.worker(place.worker);
                let taken = worker.pinned.union(worker.reserved);
                let free = worker.info.slots.saturating_sub(worker.committed_slots());
                let pinned =
                    worker.allocations.iter().filter(|a| a.pinned && a.set.overlaps(place.set));
                let slots = place.tasks.saturating_sub(pinned.count() as u16).min(free);
                (place.worker, place.set.difference(taken), slots)
            })
            .collect();
        for (worker, set, slots) in &reserved {
            self.fleet.reserve(*worker, *set, *slots);
        }
        let unused = old.iter().map(|(ix, _)| *ix).collect();
        bind_all(&mut self.guarantees, unused, &mut self.fleet);
        for (worker, set, slots) in &reserved {
            self.fleet.unreserve(*worker, *set, *slots);
        }
        let all_bound = self.guarantees.degraded.len() <= before;
        if !all_bound {
            self.restore_bindings(&old);
        }
        all_bound
    }

    /// Releases the blocks of all unused guarantees.
    fn unbind_unused(&mut self) -> BindingSnapshot {
        let unused = self.guarantees.iter().filter(|(_, g)| g.is_unused()).map(|(ix, _)| ix);
        let old: BindingSnapshot = unused
            .collect::<Vec<_>>()
            .into_iter()
            .map(|ix| (ix, self.guarantees.places(ix)))
            .collect();
        for (ix, _) in &old {
            self.guarantees.unbind(*ix, &mut self.fleet);
        }
        old
    }

    fn restore_bindings(&mut self, old: &BindingSnapshot) {
        for (ix, _) in old {
            self.guarantees.unbind(*ix, &mut self.fleet);
        }
        for (ix, places) in old {
            self.guarantees.restore_places(*ix, places, &mut self.fleet);
        }
    }

    /// Returns the accelerators of a place that are reserved for guarantees.
    pub(super) fn reserved_in(&self, place: &Place) -> AcceleratorSet {
        let worker = self.fleet.worker(place.worker);
        AcceleratorSet(worker.reserved.0 & place.set.0)
    }
}
