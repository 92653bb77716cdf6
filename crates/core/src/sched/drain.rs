//! Keeps a block free for a gang that has waited long, so that small jobs don't starve it.
//!
//! Nothing new starts in the block but jobs that can be stopped again with a checkpoint, and short
//! ones that are expected to end before it is free. Once nothing else is left in it, what runs
//! there is stopped and the gang starts. The cost is accelerators that idle when no such work
//! waits, so few blocks drain at the same time.

use serde::Serialize;
use std::cmp::Reverse;

use crate::job::{Adjacency, Shape, Urgency};
use crate::sched::Scheduler;
use crate::sched::event::StopReason;
use crate::sched::fit::{self, Place, pick};
use crate::sched::fleet::{View, WorkerIx};
use crate::sched::guarantee::is_block;
use crate::sched::jobs::{Job, JobIx, Phase, Reason};
use crate::units::{AcceleratorSet, Moment, Span};

/// Wait in expected run times after which a block is kept free for a job.
const DRAIN_STRETCH: u64 = 6;
/// The shortest such wait.
const DRAIN_AFTER_MIN: Span = Span::from_secs(300);
/// The longest such wait.
const DRAIN_AFTER_MAX: Span = Span::from_secs(3600);
/// The most blocks that drain at the same time.
const DRAINS_MAX: usize = 1;
/// The most waiting jobs that one search for a block looks at.
const OWNERS_MAX: usize = 4;
/// Time between two searches for a block.
const PLAN_INTERVAL: Span = Span::from_secs(3);
/// Time between two searches for batch work that leaves for an urgent job.
const OUST_INTERVAL: Span = Span::from_secs(2);
/// Run time that moving a job may lose.
const MOVE_LOSS_MAX: Span = Span::from_secs(20);
/// The most times that one job is moved.
const MOVES_MAX: u8 = 2;
/// Run time that a job with checkpoints gets before it is moved.
const QUANTUM: Span = Span::from_secs(120);
/// Time that moving a job takes.
const MOVE_TIME: Span = Span::from_secs(8);

/// A block that drains for its owner.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Drain {
    pub(super) owner: JobIx,
    /// The block is expected to be free then.
    ready: Moment,
}

/// A part of a worker and the time until it is free.
struct Window {
    wait: Span,
    place: Place,
}

impl Scheduler {
    /// Starts the owners whose blocks are free, moves work away, and begins new drains.
    pub(super) fn tend_drains(&mut self) {
        self.settle_drains();
        if !self.is_in() {
            return;
        }
        for drain in self.drains.clone() {
            self.tend_drain(drain.owner);
        }
        let due = self.now.0 / PLAN_INTERVAL.0 != self.planned.0 / PLAN_INTERVAL.0;
        if self.drains.len() < DRAINS_MAX && due {
            self.planned = self.now;
            self.begin_drain();
        }
    }

    /// Starts the owners of blocks that are free.
    pub(super) fn settle_drains(&mut self) {
        if !self.is_in() {
            return;
        }
        for drain in self.drains.clone() {
            let ix = drain.owner;
            let places = self.jobs.get(ix).places.clone();
            if !self.is_startable(ix, &places) {
                continue;
            }
            self.begin(ix, places, Reason::Unheld);
        }
    }

    /// Tells whether a job may start on `places` right now.
    pub(super) fn is_startable(&self, ix: JobIx, places: &[Place]) -> bool {
        let firm = !self.jobs.get(ix).preemptible();
        let clear = |place: &Place| {
            let worker = self.fleet.worker(place.worker);
            let closed = worker.closed_to(ix).0;
            let held = closed.overlaps(place.set) || firm && worker.reserved.overlaps(place.set);
            !held && worker.is_usable() && self.is_ready(place)
        };
        if !places.iter().all(clear) {
            return false;
        }
        places.iter().all(|place| {
            let wanted: u16 =
                places.iter().filter(|p| p.worker == place.worker).map(|p| p.tasks).sum();
            let worker = self.fleet.worker(place.worker);
            let bind = !firm || worker.slots(View::Bind) >= wanted;
            bind && worker.is_free(AcceleratorSet::EMPTY, wanted + worker.closed_to(ix).1)
        })
    }

    /// Lets the owner go elsewhere when that has become possible.
    fn tend_drain(&mut self, ix: JobIx) {
        let job = self.jobs.get(ix);
        let shape = job.spec.shape;
        if let Some(places) = fit::find(&self.fleet, job.view().max(View::Soft), shape, &job.avoid)
        {
            return self.begin(ix, places, Reason::Unheld);
        }
        let job = self.jobs.get(ix);
        let firm = !job.preemptible();
        let held = |place: &Place| {
            let closed = self.fleet.worker(place.worker).closed_to(ix).0;
            closed.overlaps(place.set) || firm && !self.held_back(place).is_empty()
        };
        let lost = job.places.iter().any(held);
        if lost || self.guarantee_is_open(ix) {
            return self.requeue(ix, Reason::Queued);
        }
        self.clear_block(ix);
    }

    /// Chooses a block for the job that has waited beyond the bound and is first in order.
    fn begin_drain(&mut self) {
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
        for (_, ix) in heads.into_iter().take(OWNERS_MAX) {
            if self.try_part(ix) {
                continue;
            }
            let Some((ready, places)) = self.plan(ix) else { continue };
            if self.drain(ix, ready, places) {
                return;
            }
        }
    }

    /// Makes batch work leave for an urgent job that finds no room and whose workspace has used up
    /// its guarantee here; the router sends it here when the guarantee has room elsewhere too.
    pub(super) fn try_oust(&mut self, ix: JobIx) -> bool {
        let due = self.now.since(self.ousted) >= OUST_INTERVAL;
        if !self.jobs.get(ix).is_urgent() || !due {
            return false;
        }
        self.ousted = self.now;
        let Some((ready, places)) = self.plan(ix) else { return false };
        ready.since(self.now) <= MOVE_TIME && self.drain(ix, ready, places)
    }

    /// Keeps `places` free for a waiting job; tells whether that keeps all guarantees.
    fn drain(&mut self, ix: JobIx, ready: Moment, places: Vec<Place>) -> bool {
        let firm = !self.jobs.get(ix).preemptible();
        let held = firm && places.iter().any(|place| !self.held_back(place).is_empty());
        if held && !self.repack_around(&places) {
            return false;
        }
        let lent = !self.jobs.get(ix).is_urgent();
        self.unlist(ix);
        self.count_waiting(ix, true);
        for place in &places {
            self.fleet.close(place, ix, lent);
        }
        let now = self.now;
        let job = self.jobs.get_mut(ix);
        job.places = places;
        job.enter(Phase::Claiming, Reason::Draining, now);
        self.drains.push(Drain { owner: ix, ready });
        self.clear_block(ix);
        true
    }

    /// Returns the wait after which a block is kept free for a job.
    fn drain_after(&self, job: &Job) -> Span {
        let expected = self.kinds.expect(job.space, &job.spec.kind, job.spec.declared);
        let wait = Span(expected.median.0.saturating_mul(DRAIN_STRETCH));
        wait.clamp(DRAIN_AFTER_MIN, DRAIN_AFTER_MAX)
    }

    /// Finds the block that is free first.
    fn plan(&self, ix: JobIx) -> Option<(Moment, Vec<Place>)> {
        let shape = self.jobs.get(ix).spec.shape;
        let racks = self.fleet.racks.iter().map(|rack| rack.workers.as_slice());
        if is_block(shape) || shape.adjacency == Adjacency::Domain {
            let all: Vec<_> = self.fleet.present().collect();
            return self.plan_within(ix, &all);
        }
        racks.filter_map(|workers| self.plan_within(ix, workers)).min_by_key(|plan| plan.0)
    }

    fn plan_within(&self, ix: JobIx, workers: &[WorkerIx]) -> Option<(Moment, Vec<Place>)> {
        let shape = self.jobs.get(ix).spec.shape;
        let block = is_block(shape);
        let count = if block { 1 } else { shape.tasks as usize };
        let mut windows: Vec<_> =
            workers.iter().flat_map(|worker| self.windows(ix, *worker)).collect();
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

    /// Lists the aligned parts of a worker that a task of the job could get, and when.
    fn windows(&self, ix: JobIx, at: WorkerIx) -> Vec<Window> {
        let job = self.jobs.get(ix);
        let Shape { tasks, accelerators, .. } = job.spec.shape;
        let block = is_block(job.spec.shape);
        let (size, tasks) = match block {
            true => (job.spec.shape.total() as u8, tasks),
            false => (accelerators, 1),
        };
        let worker = self.fleet.worker(at);
        if !worker.is_usable() || size > worker.info.accelerators || job.avoid.contains(&at) {
            return Vec::new();
        }
        let mut open = worker.total().without(worker.closed).without(worker.foreign);
        if !job.preemptible() {
            open = open.without(self.guaranteed_use(at));
        }
        let starts = (0..=worker.info.accelerators - size).step_by(size as usize);
        let sets = starts.map(|first| AcceleratorSet::run(first, size));
        let sets = sets.filter(|set| open.contains(*set));
        sets.map(|set| Window {
            wait: self.wait(ix, at, set),
            place: Place { worker: at, set, tasks },
        })
        .collect()
    }

    /// Returns the accelerators of a worker that jobs use within guarantees.
    fn guaranteed_use(&self, at: WorkerIx) -> AcceleratorSet {
        let seats = self.fleet.worker(at).seats.iter();
        let held = seats.filter(|s| self.jobs.get(s.job).guarantee.is_some());
        held.fold(AcceleratorSet::EMPTY, |sum, s| sum.with(s.set))
    }

    /// Returns the time until `set` is free.
    fn wait(&self, owner: JobIx, at: WorkerIx, set: AcceleratorSet) -> Span {
        let seats = self.fleet.worker(at).seats.iter().filter(|s| s.set.overlaps(set));
        let waits = seats.map(|seat| match self.is_movable(owner, seat.job) {
            true => MOVE_TIME.min(self.remaining(seat.job)),
            false => self.remaining(seat.job),
        });
        waits.max().unwrap_or_default()
    }

    /// Returns the run time that a live job is expected to need yet.
    fn remaining(&self, ix: JobIx) -> Span {
        let job = self.jobs.get(ix);
        let expected = self.kinds.expect(job.space, &job.spec.kind, job.spec.declared);
        let ran = job.unsaved(self.now) + job.saved;
        match expected.median.0.checked_sub(ran.0) {
            Some(rest) if rest > 0 => Span(rest),
            _ => Span(expected.high.0.saturating_sub(ran.0).max(ran.0 / 4)),
        }
    }

    /// Tells whether a live job may be stopped for `owner` and started again elsewhere.
    fn is_movable(&self, owner: JobIx, ix: JobIx) -> bool {
        let job = self.jobs.get(ix);
        let owner = self.jobs.get(owner);
        let runs = matches!(job.phase, Phase::Starting | Phase::Running);
        if !runs || job.firm || !job.preemptible() {
            return false;
        }
        if owner.is_urgent() {
            return job.spec.urgency == Urgency::Batch;
        }
        let smaller = job.spec.shape.total() < owner.spec.shape.total();
        let cheap = match job.spec.checkpoint {
            true => job.unsaved(self.now) >= QUANTUM,
            false => job.unsaved(self.now) <= MOVE_LOSS_MAX,
        };
        smaller && cheap && job.moves < MOVES_MAX
    }

    /// Stops the work in a draining block once all of it can be moved cheaply; until then it runs
    /// on, and what is free is lent.
    fn clear_block(&mut self, owner: JobIx) {
        let places = self.jobs.get(owner).places.clone();
        let victims = self.victims(&places);
        let leaving = |ix: &JobIx| matches!(self.jobs.get(*ix).phase, Phase::Stopping(..));
        if !victims.iter().all(|ix| leaving(ix) || self.is_movable(owner, *ix)) {
            return;
        }
        for place in &places {
            self.fleet.bar(place.worker, owner);
        }
        for victim in victims {
            self.stop(victim, StopReason::Defragmented);
        }
    }

    /// Returns the most accelerators that are free in one place of a block that drains.
    pub(super) fn draining_run(&self) -> Option<u8> {
        let places = self.drains.iter().flat_map(|d| &self.jobs.get(d.owner).places);
        places.map(|p| p.set.without(self.fleet.worker(p.worker).busy).len() as u8).max()
    }

    /// Starts a small job inside a block that drains, when it is expected to end before the block
    /// is free.
    pub(super) fn try_backfill(&mut self, ix: JobIx) -> bool {
        if self.drains.is_empty() {
            return false;
        }
        let job = self.jobs.get(ix);
        let shape = job.spec.shape;
        let expected = self.kinds.expect(job.space, &job.spec.kind, job.spec.declared);
        if shape.tasks != 1 || shape.accelerators == 0 || !job.preemptible() {
            return false;
        }
        let fitting = self.drains.iter().filter(|d| self.now + expected.high <= d.ready);
        let places = fitting
            .flat_map(|d| self.jobs.get(d.owner).places.iter().map(|place| (d.owner, *place)));
        let found = places.into_iter().find_map(|(owner, place)| {
            let worker = self.fleet.worker(place.worker);
            let closed = worker.closed_to(owner).0.with(worker.foreign);
            let free = place.set.without(worker.busy).without(closed);
            let set = pick(free, shape.accelerators)?;
            let place = Place { worker: place.worker, set, tasks: 1 };
            let avoided = job.avoid.contains(&place.worker) || !worker.is_usable();
            let slots = 1 + worker.closed_to(owner).1;
            let ready = self.is_ready(&place) && worker.is_free(set, slots);
            (!avoided && ready).then_some(place)
        });
        let Some(place) = found else { return false };
        self.begin(ix, vec![place], Reason::Backfill);
        true
    }
}
