//! Moves a guarantee to the block that costs the least to reclaim.
//!
//! A guarantee is bound long before it is needed, and the jobs that borrow its block by then may be
//! expensive to preempt. Any block without pinned work and without another guarantee will do as
//! well, so a few are compared. The cost is a bounded search for each reclaim that finds no free
//! block.

use crate::job::{Adjacency, Shape};
use crate::sched::Scheduler;
use crate::sched::fit::Place;
use crate::sched::fleet::{View, WorkerIx};
use crate::sched::guarantee::{GuaranteeIx, is_single_worker};
use crate::sched::jobs::JobIx;
use crate::units::AcceleratorSet;

/// Maximum number of workers that are compared for one reclaim.
const REBIND_WORKERS_MAX: usize = 64;

impl Scheduler {
    /// Moves an unused guarantee to the block whose borrowers lose the least work when they are
    /// preempted for `ix`, if that is less than on its own block.
    pub(super) fn move_to_cheaper(&mut self, ix: JobIx, guarantee: GuaranteeIx) {
        let shape = self.guarantees.get(guarantee).shape;
        let old = self.guarantees.places(guarantee);
        let avoid = &self.jobs.get(ix).avoid;
        let avoided = old.iter().any(|place| avoid.contains(&place.worker));
        let limit = if avoided { u64::MAX } else { self.preemption_cost(&old) };
        self.guarantees.unbind(guarantee, &mut self.fleet);
        let found =
            self.cheapest_block(ix, shape).filter(|places| self.preemption_cost(places) < limit);
        self.guarantees.bind(guarantee, &found.unwrap_or(old), &mut self.fleet);
    }

    fn cheapest_block(&self, ix: JobIx, shape: Shape) -> Option<Vec<Place>> {
        let racks = self.fleet.racks.iter().map(|rack| rack.workers.as_slice());
        if is_single_worker(shape) || shape.adjacency == Adjacency::Domain {
            let all: Vec<_> = racks.flatten().copied().take(REBIND_WORKERS_MAX).collect();
            return self.cheapest_within(ix, shape, &all);
        }
        let mut left = REBIND_WORKERS_MAX;
        let considered = racks.take_while(|workers| {
            let begun = left > 0;
            left = left.saturating_sub(workers.len());
            begun
        });
        let blocks = considered.filter_map(|workers| self.cheapest_within(ix, shape, workers));
        blocks.min_by_key(|places| self.preemption_cost(places))
    }

    /// Picks the cheapest place for each task. A gang that would be preempted in several places is
    /// counted in each, so the cost may be overestimated but not underestimated.
    fn cheapest_within(&self, ix: JobIx, shape: Shape, workers: &[WorkerIx]) -> Option<Vec<Place>> {
        let count = if is_single_worker(shape) { 1 } else { usize::from(shape.tasks) };
        let options = workers.iter().flat_map(|worker| self.candidate_places(ix, shape, *worker));
        let mut options: Vec<_> =
            options.map(|place| (self.preemption_cost(&[place]), place)).collect();
        options.sort_by_key(|(cost, place)| (*cost, place.worker, place.set));
        let places: Vec<_> = options.into_iter().map(|(_, place)| place).take(count).collect();
        (places.len() == count).then_some(places)
    }

    /// Returns the aligned parts of a worker that one task could be bound to, as many as its slots
    /// allow.
    fn candidate_places(&self, ix: JobIx, shape: Shape, at: WorkerIx) -> Vec<Place> {
        let worker = self.fleet.worker(at);
        let single = is_single_worker(shape);
        let size = if single { shape.total() } else { u32::from(shape.accelerators) };
        let tasks = if single { shape.tasks } else { 1 };
        let total = u32::from(worker.info.accelerators);
        let suspect = worker.backoff_until.0 > 0 || !worker.health.strikes.is_empty();
        let avoided = suspect || self.jobs.get(ix).avoid.contains(&at);
        if !worker.is_healthy() || avoided || size == 0 || size > total {
            return Vec::new();
        }
        let (mask, slots) =
            (worker.available(View::Bindable), worker.available_slots(View::Bindable));
        let held = worker.held.union(worker.foreign);
        let starts = (0..=total - size).step_by(size as usize);
        let sets = starts.map(|first| AcceleratorSet::contiguous(first as u8, size as u8));
        let candidates = sets.filter(|set| mask.contains(*set) && !held.overlaps(*set));
        let limit = usize::from(slots / tasks);
        candidates.take(limit).map(|set| Place { worker: at, set, tasks }).collect()
    }
}
