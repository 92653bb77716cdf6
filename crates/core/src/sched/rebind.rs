//! Moves a guarantee to where its reclaim costs the least.
//!
//! A guarantee is bound long before it is wanted, and what borrows its block by then may be dear
//! to stop. Any block without firm work and without another guarantee will do as well, so a few
//! are weighed. The cost is a bounded search for each reclaim that finds no free block.

use crate::job::{Adjacency, Shape};
use crate::sched::Scheduler;
use crate::sched::fit::Place;
use crate::sched::fleet::{View, WorkerIx};
use crate::sched::guarantee::{InstanceIx, is_block};
use crate::sched::jobs::JobIx;
use crate::units::AcceleratorSet;

/// Workers that are weighed for one reclaim.
const WORKERS_MAX: usize = 64;

impl Scheduler {
    /// Binds an unused guarantee to the block that loses the least work when its borrowers are
    /// stopped for `ix`, if there is one that is cheaper than its own.
    pub(super) fn move_to_cheaper(&mut self, ix: JobIx, guarantee: InstanceIx) {
        let shape = self.guarantees.get(guarantee).shape;
        let old = self.guarantees.places(guarantee);
        let avoid = &self.jobs.get(ix).avoid;
        let avoided = old.iter().any(|place| avoid.contains(&place.worker));
        let limit = if avoided { u64::MAX } else { self.cost(&old) };
        self.guarantees.unbind(guarantee, &mut self.fleet);
        let found = self.cheapest_block(ix, shape).filter(|places| self.cost(places) < limit);
        self.guarantees.bind(guarantee, &found.unwrap_or(old), &mut self.fleet);
    }

    fn cheapest_block(&self, ix: JobIx, shape: Shape) -> Option<Vec<Place>> {
        let racks = self.fleet.racks.iter().map(|rack| rack.workers.as_slice());
        if is_block(shape) || shape.adjacency == Adjacency::Domain {
            let all: Vec<_> = racks.flatten().copied().take(WORKERS_MAX).collect();
            return self.cheapest_within(ix, shape, &all);
        }
        let mut left = WORKERS_MAX;
        let near = racks.take_while(|workers| {
            let begun = left > 0;
            left = left.saturating_sub(workers.len());
            begun
        });
        let blocks = near.filter_map(|workers| self.cheapest_within(ix, shape, workers));
        blocks.min_by_key(|places| self.cost(places))
    }

    /// Picks the cheapest place for each task; a gang that fills several of them is counted in
    /// each, which only makes the choice more careful.
    fn cheapest_within(&self, ix: JobIx, shape: Shape, workers: &[WorkerIx]) -> Option<Vec<Place>> {
        let count = if is_block(shape) { 1 } else { usize::from(shape.tasks) };
        let options = workers.iter().flat_map(|worker| self.options(ix, shape, *worker));
        let mut options: Vec<_> = options.map(|place| (self.cost(&[place]), place)).collect();
        options.sort_by_key(|(cost, place)| (*cost, place.worker, place.set));
        let places: Vec<_> = options.into_iter().map(|(_, place)| place).take(count).collect();
        (places.len() == count).then_some(places)
    }

    /// Lists the aligned parts of a worker that one task could be bound to, as many as its slots
    /// allow.
    fn options(&self, ix: JobIx, shape: Shape, at: WorkerIx) -> Vec<Place> {
        let worker = self.fleet.worker(at);
        let block = is_block(shape);
        let size = if block { shape.total() } else { u32::from(shape.accelerators) };
        let tasks = if block { shape.tasks } else { 1 };
        let total = u32::from(worker.info.accelerators);
        let struck = worker.shunned.0 > 0 || !worker.health.strikes.is_empty();
        let avoided = struck || self.jobs.get(ix).avoid.contains(&at);
        if !worker.is_usable() || avoided || size == 0 || size > total {
            return Vec::new();
        }
        let (mask, slots) = (worker.mask(View::Bind), worker.slots(View::Bind));
        let closed = worker.closed.with(worker.foreign);
        let starts = (0..=total - size).step_by(size as usize);
        let sets = starts.map(|first| AcceleratorSet::run(first as u8, size as u8));
        let open = sets.filter(|set| mask.contains(*set) && !closed.overlaps(*set));
        let most = usize::from(slots / tasks);
        open.take(most).map(|set| Place { worker: at, set, tasks }).collect()
    }
}
