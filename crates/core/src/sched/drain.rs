//! Drains a block for a gang that has waited long, so that small jobs do not starve it.
//!
//! While a block drains, only two kinds of jobs start in it: preemptible ones with checkpoints, and
//! short ones that are expected to end before the block is free. Once everything in the block can
//! be preempted cheaply, it is preempted and the gang starts. The cost is accelerators that idle
//! when no such work waits, so few blocks drain at the same time.

use serde::Serialize;
use std::cmp::Reverse;

use crate::job::{Adjacency, Shape, Urgency};
use crate::sched::Scheduler;
use crate::sched::event::StopReason;
use crate::sched::fit::{self, Place, pick_run};
use crate::sched::fleet::{View, WorkerIx};
use crate::sched::guarantee::is_single_worker;
use crate::sched::jobs::{Job, JobIx, Phase, Reason};
use crate::units::{AcceleratorSet, Moment, Span};

/// Multiple of a job's expected run time that it waits before a block is drained for it.
const DRAIN_AFTER_RUN_TIMES: u64 = 6;
/// Lower bound of that wait.
const DRAIN_AFTER_MIN: Span = Span::from_secs(300);
/// Upper bound of that wait.
const DRAIN_AFTER_MAX: Span = Span::from_secs(3600);
/// Maximum number of blocks that drain at the same time.
const DRAINS_MAX: usize = 1;
/// Maximum number of waiting jobs that one search for a block considers.
const DRAIN_CANDIDATES_MAX: usize = 4;
/// Interval between two searches for a block.
const DRAIN_PLAN_INTERVAL: Span = Span::from_secs(3);
/// Interval between two searches for batch work to preempt for an urgent job.
const BATCH_PREEMPTION_INTERVAL: Span = Span::from_secs(2);
/// Most run time that a preempted job without checkpoints may lose.
const PREEMPTION_LOSS_MAX: Span = Span::from_secs(20);
/// Preemptions after which a job is no longer preempted for a drain.
const DRAIN_PREEMPTIONS_MAX: u8 = 2;
/// Least run time since its start before a job with checkpoints is preempted.
const CHECKPOINTED_RUN_TIME_MIN: Span = Span::from_secs(120);
/// Time from a preemption until the accelerators are free.
const PREEMPTION_TIME: Span = Span::from_secs(8);

/// A block that is drained for its owner.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Drain {
    pub(super) owner: JobIx,
    /// When the block is expected to be free.
    ready: Moment,
}

/// Part of a worker and the time until it is free.
struct Window {
    wait: Span,
    place: Place,
}

impl Scheduler {
    /// Starts the owners of free blocks, updates the other drains, and starts a new one if allowed.
    pub(super) fn update_drains(&mut self) {
        self.start_drained();
        if !self.in_service() {
            return;
        }
        for drain in self.drains.clone() {
            self.update_drain(drain.owner);
        }
        let due = self.now.0 / DRAIN_PLAN_INTERVAL.0 != self.last_plan.0 / DRAIN_PLAN_INTERVAL.0;
        if self.drains.len() < DRAINS_MAX && due {
            self.last_plan = self.now;
            self.start_drain();
        }
    }

    /// Starts the owners whose blocks are free.
    pub(super) fn start_drained(&mut self) {
        if !self.in_service() {
            return;
        }
        for drain in self.drains.clone() {
            let ix = drain.owner;
            let places = self.jobs.get(ix).places.clone();
            if !self.is_startable(ix, &places) {
                continue;
            }
            self.dequeue_and_start(ix, places, Reason::Unheld);
        }
    }

    /// Returns true if a job may start on `places` right now.
    pub(super) fn is_startable(&self, ix: JobIx, places: &[Place]) -> bool {
        let pinned = !self.jobs.get(ix).preemptible();
        let is_clear = |place: &Place| {
            let worker = self.fleet.worker(place.worker);
            let held = worker.held_by_others(ix).0;
            let blocked = held.overlaps(place.set) || pinned && worker.reserved.overlaps(place.set);
            !blocked && worker.is_healthy() && self.is_ready(place)
        };
        if !places.iter().all(is_clear) {
            return false;
        }
        places.iter().all(|place| {
            let wanted: u16 =
                places.iter().filter(|p| p.worker == place.worker).map(|p| p.tasks).sum();
            let worker = self.fleet.worker(place.worker);
            let bindable = !pinned || worker.available_slots(View::Bindable) >= wanted;
            bindable && worker.is_free(AcceleratorSet::EMPTY, wanted + worker.held_by_others(ix).1)
        })
    }

    /// Starts the owner elsewhere if there is room by now, gives up the drain if its block was
    /// taken or a guarantee of the owner's shape became unused, or preempts what is left in the
    /// block.
    fn update_drain(&mut self, ix: JobIx) {
        let job = self.jobs.get(ix);
        let shape = job.spec.shape;
        if let Some(places) =
            fit::find(&self.fleet, job.view().max(View::Preemptible), shape, &job.avoid)
        {
            return self.dequeue_and_start(ix, places, Reason::Unheld);
        }
        let job = self.jobs.get(ix);
        let pinned = !job.preemptible();
        let is_blocked = |place: &Place| {
            let held = self.fleet.worker(place.worker).held_by_others(ix).0;
            held.overlaps(place.set) || pinned && !self.reserved_in(place).is_empty()
        };
        let block_lost = job.places.iter().any(is_blocked);
        if block_lost || self.has_unused_guarantee(ix) {
            return self.requeue(ix, Reason::Queued);
        }
        self.preempt_block(ix);
    }

    /// Drains a block for the largest, then oldest, of the jobs that have waited long enough.
    fn start_drain(&mut self) {
        let lanes = self.queue.lanes().iter();
        let heads = lanes.map(|lane| lane.entries[0].job).filter(|ix| {
            let job = self.jobs.get(*ix);
            job.age(self.now) >= self.drain_after(job) && job.spec.shape.total() > 1
        });
        let mut heads: Vec<_> = heads
            .map(|ix| {
                let job = self.jobs.get(ix);
                ((Reverse(job.spec.shape.total()), job.submitted()), ix)
            })
            .collect();
        heads.sort_unstable();
        for (_, ix) in heads.into_iter().take(DRAIN_CANDIDATES_MAX) {
            if self.try_larger_guarantee(ix) {
                continue;
            }
            let Some((ready, places)) = self.plan_drain(ix) else { continue };
            if self.drain_block(ix, ready, places) {
                return;
            }
        }
    }

    /// Preempts batch work for an urgent job that finds no room and whose workspace uses all of its
    /// guarantees here. The router may have sent it here although a guarantee is free in another
    /// domain.
    pub(super) fn try_preempt_batch(&mut self, ix: JobIx) -> bool {
        let due = self.now.since(self.last_preemption) >= BATCH_PREEMPTION_INTERVAL;
        if !self.jobs.get(ix).is_urgent() || !due {
            return false;
        }
        self.last_preemption = self.now;
        let Some((ready, places)) = self.plan_drain(ix) else { return false };
        ready.since(self.now) <= PREEMPTION_TIME && self.drain_block(ix, ready, places)
    }

    /// Starts to drain `places` for a waiting job. Returns false if that would leave a guarantee
    /// without a block.
    fn drain_block(&mut self, ix: JobIx, ready: Moment, places: Vec<Place>) -> bool {
        let pinned = !self.jobs.get(ix).preemptible();
        let reserved = pinned && places.iter().any(|place| !self.reserved_in(place).is_empty());
        if reserved && !self.repack_around(&places) {
            return false;
        }
        let shared = !self.jobs.get(ix).is_urgent();
        self.dequeue(ix);
        self.count_waiting(ix, true);
        for place in &places {
            self.fleet.hold(place, ix, shared);
        }
        let now = self.now;
        let job = self.jobs.get_mut(ix);
        job.places = places;
        job.set_phase(Phase::Claiming, Reason::Draining, now);
        self.drains.push(Drain { owner: ix, ready });
        self.preempt_block(ix);
        true
    }

    /// Returns the wait after which a block is drained for a job.
    fn drain_after(&self, job: &Job) -> Span {
        let estimate = self.kinds.estimate(job.space, &job.spec.kind, job.spec.declared);
        let wait = Span(estimate.median.0.saturating_mul(DRAIN_AFTER_RUN_TIMES));
        wait.clamp(DRAIN_AFTER_MIN, DRAIN_AFTER_MAX)
    }

    /// Finds the block that is expected to be free first.
    fn plan_drain(&self, ix: JobIx) -> Option<(Moment, Vec<Place>)> {
        let shape = self.jobs.get(ix).spec.shape;
        let racks = self.fleet.racks.iter().map(|rack| rack.workers.as_slice());
        if is_single_worker(shape) || shape.adjacency == Adjacency::Domain {
            let all: Vec<_> = self.fleet.present().collect();
            return self.plan_drain_within(ix, &all);
        }
        racks.filter_map(|workers| self.plan_drain_within(ix, workers)).min_by_key(|plan| plan.0)
    }

    fn plan_drain_within(&self, ix: JobIx, workers: &[WorkerIx]) -> Option<(Moment, Vec<Place>)> {
        let shape = self.jobs.get(ix).spec.shape;
        let single = is_single_worker(shape);
        let count = if single { 1 } else { shape.tasks as usize };
        let mut windows: Vec<_> =
            workers.iter().flat_map(|worker| self.candidate_windows(ix, *worker)).collect();
        windows.sort_by_key(|w| (w.wait, w.place.worker, w.place.set));
        let mut places: Vec<Place> = Vec::with_capacity(count);
        for window in windows {
            let clash = places
                .iter()
                .any(|p| p.worker == window.place.worker && p.set.overlaps(window.place.set));
            if clash {
                continue;
            }
            places.push(window.place);
            if places.len() == count {
                return Some((self.now + window.wait, places));
            }
        }
        None
    }

    /// Returns the aligned parts of a worker that a task of the job could use, and when each is
    /// free.
    fn candidate_windows(&self, ix: JobIx, at: WorkerIx) -> Vec<Window> {
        let job = self.jobs.get(ix);
        let Shape { tasks, accelerators, .. } = job.spec.shape;
        let single = is_single_worker(job.spec.shape);
        let (size, tasks) = match single {
            true => (job.spec.shape.total() as u8, tasks),
            false => (accelerators, 1),
        };
        let worker = self.fleet.worker(at);
        if !worker.is_healthy() || size > worker.info.accelerators || job.avoid.contains(&at) {
            return Vec::new();
        }
        let mut usable =
            worker.all_accelerators().difference(worker.held).difference(worker.foreign);
        if !job.preemptible() {
            usable = usable.difference(self.guaranteed_use(at));
        }
        let starts = (0..=worker.info.accelerators - size).step_by(size as usize);
        let sets = starts.map(|first| AcceleratorSet::contiguous(first, size));
        let sets = sets.filter(|set| usable.contains(*set));
        sets.map(|set| Window {
            wait: self.time_until_free(ix, at, set),
            place: Place { worker: at, set, tasks },
        })
        .collect()
    }

    /// Returns the accelerators of a worker that jobs use within guarantees.
    fn guaranteed_use(&self, at: WorkerIx) -> AcceleratorSet {
        let allocations = self.fleet.worker(at).allocations.iter();
        let guaranteed = allocations.filter(|a| self.jobs.get(a.job).guarantee.is_some());
        guaranteed.fold(AcceleratorSet::EMPTY, |sum, a| sum.union(a.set))
    }

    /// Returns the time until `set` is free.
    fn time_until_free(&self, owner: JobIx, at: WorkerIx, set: AcceleratorSet) -> Span {
        let allocations = self.fleet.worker(at).allocations.iter().filter(|a| a.set.overlaps(set));
        let waits =
            allocations.map(|allocation| match self.is_preemptible_for(owner, allocation.job) {
                true => PREEMPTION_TIME.min(self.remaining_time(allocation.job)),
                false => self.remaining_time(allocation.job),
            });
        waits.max().unwrap_or_default()
    }

    /// Returns the remaining run time that is expected of a live job.
    fn remaining_time(&self, ix: JobIx) -> Span {
        let job = self.jobs.get(ix);
        let estimate = self.kinds.estimate(job.space, &job.spec.kind, job.spec.declared);
        let ran = job.unsaved_time(self.now) + job.saved_time;
        match estimate.median.0.checked_sub(ran.0) {
            Some(rest) if rest > 0 => Span(rest),
            _ => Span(estimate.high.0.saturating_sub(ran.0).max(ran.0 / 4)),
        }
    }

    /// Returns true if a live job may be preempted for `owner` and started again elsewhere.
    fn is_preemptible_for(&self, owner: JobIx, ix: JobIx) -> bool {
        let job = self.jobs.get(ix);
        let owner = self.jobs.get(owner);
        let runs = matches!(job.phase, Phase::Starting | Phase::Running);
        if !runs || job.pinned || !job.preemptible() {
            return false;
        }
        if owner.is_urgent() {
            return job.spec.urgency == Urgency::Batch;
        }
        let smaller = job.spec.shape.total() < owner.spec.shape.total();
        let cheap = match job.spec.checkpoint {
            true => job.unsaved_time(self.now) >= CHECKPOINTED_RUN_TIME_MIN,
            false => job.unsaved_time(self.now) <= PREEMPTION_LOSS_MAX,
        };
        smaller && cheap && job.preemptions < DRAIN_PREEMPTIONS_MAX
    }

    /// Preempts the work in a draining block once all of it can be preempted cheaply. Until then
    /// that work continues, and checkpointable jobs may start on what is free.
    fn preempt_block(&mut self, owner: JobIx) {
        let places = self.jobs.get(owner).places.clone();
        let victims = self.victims(&places);
        let stopping = |ix: &JobIx| matches!(self.jobs.get(*ix).phase, Phase::Stopping(..));
        if !victims.iter().all(|ix| stopping(ix) || self.is_preemptible_for(owner, *ix)) {
            return;
        }
        for place in &places {
            self.fleet.make_exclusive(place.worker, owner);
        }
        for victim in victims {
            self.stop(victim, StopReason::Defragmented);
        }
    }

    /// Returns the most accelerators that are free in one place of a draining block.
    pub(super) fn max_draining_free(&self) -> Option<u8> {
        let places = self.drains.iter().flat_map(|d| &self.jobs.get(d.owner).places);
        places.map(|p| p.set.difference(self.fleet.worker(p.worker).busy).len() as u8).max()
    }

    /// Starts a small job in a draining block if it is expected to end before the block is free.
    pub(super) fn try_backfill(&mut self, ix: JobIx) -> bool {
        if self.drains.is_empty() {
            return false;
        }
        let job = self.jobs.get(ix);
        let shape = job.spec.shape;
        let estimate = self.kinds.estimate(job.space, &job.spec.kind, job.spec.declared);
        if shape.tasks != 1 || shape.accelerators == 0 || !job.preemptible() {
            return false;
        }
        let fitting = self.drains.iter().filter(|d| self.now + estimate.high <= d.ready);
        let places = fitting
            .flat_map(|d| self.jobs.get(d.owner).places.iter().map(|place| (d.owner, *place)));
        let found = places.into_iter().find_map(|(owner, place)| {
            let worker = self.fleet.worker(place.worker);
            let held = worker.held_by_others(owner).0.union(worker.foreign);
            let free = place.set.difference(worker.busy).difference(held);
            let set = pick_run(free, shape.accelerators)?;
            let place = Place { worker: place.worker, set, tasks: 1 };
            let avoided = job.avoid.contains(&place.worker) || !worker.is_healthy();
            let slots = 1 + worker.held_by_others(owner).1;
            let ready = self.is_ready(&place) && worker.is_free(set, slots);
            (!avoided && ready).then_some(place)
        });
        let Some(place) = found else { return false };
        self.dequeue_and_start(ix, vec![place], Reason::Backfill);
        true
    }
}
