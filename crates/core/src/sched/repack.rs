//! Binds all unused guarantees anew, as if none of them had been bound before.
//!
//! Blocks are bound one at a time and may come to lie scattered after failures. Packing them anew
//! costs a search for each and moves no work, so it is done when a guarantee finds no block, or
//! when firm work has waited long for room that scattered blocks take up.

use crate::sched::Scheduler;
use crate::sched::fit::{self, Place};
use crate::sched::fleet::View;
use crate::sched::guarantee::InstanceIx;
use crate::sched::jobs::{JobIx, Reason};
use crate::sched::share::bind_all;
use crate::units::{AcceleratorSet, Span};

/// Time between two packings of all guarantees.
const REPACK_INTERVAL: Span = Span::from_secs(10);

/// The most waiting jobs that one tick packs for.
const HEADS_MAX: usize = 4;

/// What a packing started from.
type Bindings = Vec<(InstanceIx, Vec<Place>)>;

impl Scheduler {
    /// Packs the unused guarantees anew while one of them has no block.
    pub(super) fn repack_broken(&mut self) {
        let due = self.now.since(self.repacked) >= REPACK_INTERVAL;
        if self.guarantees.broken.is_empty() || !due {
            return;
        }
        self.repacked = self.now;
        let before = self.guarantees.broken.len();
        let old = self.unbind_unused();
        let unused = old.iter().map(|(ix, _)| *ix).collect();
        bind_all(&mut self.guarantees, unused, &mut self.fleet);
        if self.guarantees.broken.len() >= before {
            self.restore(&old);
        }
        self.freed = true;
    }

    /// Starts work that can't be stopped where only the way that unused guarantees lie keeps it
    /// from free accelerators: they are packed around it, and all of them keep a block.
    pub(super) fn make_way(&mut self) {
        let due = self.now.since(self.repacked) >= REPACK_INTERVAL;
        if !due || !self.is_in() {
            return;
        }
        let firm = self.queue.lanes().iter().filter(|lane| lane.key.view == View::Hard);
        let mut heads: Vec<_> = firm
            .map(|lane| lane.entries[0].job)
            .filter(|ix| self.now.since(self.jobs.get(*ix).since) >= REPACK_INTERVAL)
            .collect();
        heads.sort_by_key(|ix| (self.jobs.get(*ix).submitted(), *ix));
        for ix in heads.into_iter().take(HEADS_MAX) {
            self.make_way_for(ix);
        }
    }

    fn make_way_for(&mut self, ix: JobIx) {
        let job = self.jobs.get(ix);
        let found = fit::find(&self.fleet, View::Soft, job.spec.shape, &job.avoid);
        let Some(places) = found else { return };
        self.repacked = self.now;
        if self.repack_around(&places) && self.is_startable(ix, &places) {
            self.begin(ix, places, Reason::Unheld);
        }
    }

    /// Packs the unused guarantees away from `places`; tells whether all found a block that had
    /// one before.
    pub(super) fn repack_around(&mut self, places: &[Place]) -> bool {
        let before = self.guarantees.broken.len();
        let old = self.unbind_unused();
        let held: Vec<_> = places
            .iter()
            .map(|place| {
                let worker = self.fleet.worker(place.worker);
                let taken = worker.firm.with(worker.reserved);
                let free = worker.info.slots.saturating_sub(worker.held_slots());
                let firm = worker.seats.iter().filter(|s| s.firm && s.set.overlaps(place.set));
                let slots = place.tasks.saturating_sub(firm.count() as u16).min(free);
                (place.worker, place.set.without(taken), slots)
            })
            .collect();
        for (worker, set, slots) in &held {
            self.fleet.reserve(*worker, *set, *slots);
        }
        let unused = old.iter().map(|(ix, _)| *ix).collect();
        bind_all(&mut self.guarantees, unused, &mut self.fleet);
        for (worker, set, slots) in &held {
            self.fleet.unreserve(*worker, *set, *slots);
        }
        let kept = self.guarantees.broken.len() <= before;
        if !kept {
            self.restore(&old);
        }
        kept
    }

    /// Gives up the blocks of all guarantees without a user.
    fn unbind_unused(&mut self) -> Bindings {
        let unused = self.guarantees.iter().filter(|(_, i)| i.is_unused()).map(|(ix, _)| ix);
        let old: Bindings = unused
            .collect::<Vec<_>>()
            .into_iter()
            .map(|ix| (ix, self.guarantees.places(ix)))
            .collect();
        for (ix, _) in &old {
            self.guarantees.unbind(*ix, &mut self.fleet);
        }
        old
    }

    fn restore(&mut self, old: &Bindings) {
        for (ix, _) in old {
            self.guarantees.unbind(*ix, &mut self.fleet);
        }
        for (ix, places) in old {
            self.guarantees.rebind(*ix, places, &mut self.fleet);
        }
    }

    /// Returns the accelerators of a place that unused guarantees hold back.
    pub(super) fn held_back(&self, place: &Place) -> AcceleratorSet {
        let worker = self.fleet.worker(place.worker);
        AcceleratorSet(worker.reserved.0 & place.set.0)
    }
}
