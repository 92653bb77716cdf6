//! Binds all unused guarantees anew, as if none of them had been bound before.
//!
//! Blocks are bound one at a time and may come to lie scattered after failures. Packing them anew
//! costs a search for each and moves no work, so it is done when a guarantee finds no block, or
//! when firm work has waited long for room that scattered blocks take up.

use crate::sched::Scheduler;
use crate::sched::fit::Place;
use crate::sched::guarantee::InstanceIx;
use crate::sched::share::bind_all;
use crate::units::{AcceleratorSet, Span};

/// Time between two packings of all guarantees.
const REPACK_INTERVAL: Span = Span::from_secs(10);

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
