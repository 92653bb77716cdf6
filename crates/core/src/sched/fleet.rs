//! Allocation of accelerators and slots: what each worker holds, and how much room is left.
//!
//! Decisions rest on these allocations alone. Reports of workers lag, so they can only take room
//! away. The room is summed per rack and domain for each [`View`], so that most questions about a
//! gang are answered without looking at a worker.

mod worker;

pub(super) use worker::{Allocation, SIZES, VIEWS, View, Worker};

use serde::Serialize;

use crate::ids::{RackId, WorkerId};
use crate::sched::event::WorkerInfo;
use crate::sched::fit::Place;
use crate::sched::health::Health;
use crate::sched::jobs::JobIx;
use crate::units::{AcceleratorSet, Moment, Span};
use worker::{Hold, RELEASE_TTL, Release, Room};

/// Maximum length of a run, that is, of consecutive accelerators on one worker.
const RUN_LEN_MAX: usize = 64;
/// Time for which foreign accelerators are avoided after the latest report or refused start that
/// showed them in use.
const FOREIGN_TTL: Span = Span::from_secs(30);

/// Index of a worker in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub(super) struct WorkerIx(pub(super) u16);

/// Workers that are adjacent to each other.
#[derive(Debug, Serialize)]
pub(super) struct Rack {
    pub(super) id: RackId,
    /// Sorted.
    pub(super) workers: Vec<WorkerIx>,
    /// Number of tasks that fit, by view and size; sums over the workers.
    tasks: [[u32; SIZES]; VIEWS],
    /// Accelerators of healthy workers, and how many of them are free.
    healthy: (u32, u32),
}

impl Rack {
    /// Returns the accelerators of healthy workers, and how many of them are free.
    pub(super) fn healthy(&self) -> (u32, u32) {
        self.healthy
    }

    /// Returns the number of tasks of `size` accelerators that fit under `view`.
    pub(super) fn task_capacity(&self, view: View, size: u8) -> u32 {
        self.tasks[view as usize][size as usize]
    }
}

/// All workers of one failure domain.
#[derive(Debug)]
pub(super) struct Fleet {
    pub(super) workers: Vec<Worker>,
    pub(super) racks: Vec<Rack>,
    /// Present workers, sorted by identifier.
    by_id: Vec<WorkerIx>,
    /// Number of tasks that fit, by view and size; sums over the racks.
    tasks: [[u32; SIZES]; VIEWS],
    /// Workers by view and longest run, each list sorted by rack.
    by_run: [Vec<Vec<RunEntry>>; VIEWS],
    /// Workers in backoff after a failed start.
    backing_off: Vec<WorkerIx>,
    quarantined: Vec<WorkerIx>,
    /// Accelerators of all present workers.
    accelerators: u32,
    /// Accelerators of healthy workers, and how many of them are free.
    healthy: (u32, u32),
    /// Workers that changed since they were last checked.
    dirty: Vec<WorkerIx>,
}

/// Sort key that orders the workers of one run length by rack, so that work gathers in few racks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RunEntry {
    rack: u16,
    pub(super) worker: WorkerIx,
}

impl Default for Fleet {
    fn default() -> Self {
        let lists = || vec![Vec::new(); RUN_LEN_MAX + 1];
        Self {
            workers: Vec::new(),
            racks: Vec::new(),
            by_id: Vec::new(),
            tasks: Default::default(),
            by_run: std::array::from_fn(|_| lists()),
            backing_off: Vec::new(),
            quarantined: Vec::new(),
            accelerators: 0,
            healthy: (0, 0),
            dirty: Vec::new(),
        }
    }
}

impl Fleet {
    pub(super) fn worker(&self, ix: WorkerIx) -> &Worker {
        &self.workers[ix.0 as usize]
    }

    fn worker_mut(&mut self, ix: WorkerIx) -> &mut Worker {
        &mut self.workers[ix.0 as usize]
    }

    /// Returns the present workers in the order of their identifiers.
    pub(super) fn present(&self) -> impl Iterator<Item = WorkerIx> + '_ {
        self.by_id.iter().copied()
    }

    pub(super) fn count(&self) -> usize {
        self.by_id.len()
    }

    /// Returns the number of accelerators of all present workers.
    pub(super) fn total_accelerators(&self) -> u32 {
        self.accelerators
    }

    /// Returns the accelerators of healthy workers, and how many of them are free.
    pub(super) fn healthy(&self) -> (u32, u32) {
        self.healthy
    }

    pub(super) fn quarantined(&self) -> &[WorkerIx] {
        &self.quarantined
    }

    /// Returns the workers that changed since the last call.
    pub(super) fn take_dirty(&mut self) -> Vec<WorkerIx> {
        std::mem::take(&mut self.dirty)
    }

    fn search(&self, id: &WorkerId) -> Result<usize, usize> {
        self.by_id.binary_search_by(|ix| self.worker(*ix).info.id.cmp(id))
    }

    /// Returns the index of a present worker.
    pub(super) fn find(&self, id: &WorkerId) -> Option<WorkerIx> {
        self.search(id).ok().map(|i| self.by_id[i])
    }

    /// Returns the number of tasks of `size` accelerators that fit under `view`.
    pub(super) fn task_capacity(&self, view: View, size: u8) -> u32 {
        self.tasks[view as usize][size as usize]
    }

    /// Returns the workers with a free slot whose longest run under `view` is `run`.
    pub(super) fn workers_with_run(&self, view: View, run: usize) -> &[RunEntry] {
        &self.by_run[view as usize][run]
    }

    /// Adds a worker or updates its description.
    pub(super) fn upsert(&mut self, info: WorkerInfo) -> WorkerIx {
        let info = WorkerInfo { accelerators: info.accelerators.min(RUN_LEN_MAX as u8), ..info };
        let rack = self.rack_index(&info.rack);
        match self.search(&info.id) {
            Ok(i) => {
                let ix = self.by_id[i];
                self.detach(ix);
                let worker = self.worker_mut(ix);
                worker.info = info;
                worker.rack = rack;
                self.attach(ix);
                ix
            }
            Err(i) => {
                let ix = self.insert(info, rack);
                self.by_id.insert(i, ix);
                self.attach(ix);
                ix
            }
        }
    }

    /// Removes a worker without allocations and reservations.
    pub(super) fn remove(&mut self, ix: WorkerIx) {
        let id = self.worker(ix).info.id.clone();
        let Ok(i) = self.search(&id) else { return };
        self.by_id.remove(i);
        self.detach(ix);
        self.backing_off.retain(|other| *other != ix);
        self.quarantined.retain(|other| *other != ix);
        let worker = self.worker_mut(ix);
        assert!(
            worker.allocations.is_empty() && worker.reserved.is_empty(),
            "{id} still has allocations or reservations"
        );
        worker.gone = true;
        worker.room = Default::default();
        worker.holds.clear();
    }

    fn insert(&mut self, info: WorkerInfo, rack: u16) -> WorkerIx {
        let worker = Worker::new(info, rack);
        match self.workers.iter().position(|w| w.gone) {
            Some(i) => {
                self.workers[i] = worker;
                WorkerIx(i as u16)
            }
            None => {
                self.workers.push(worker);
                WorkerIx((self.workers.len() - 1) as u16)
            }
        }
    }

    fn rack_index(&mut self, id: &RackId) -> u16 {
        if let Some(i) = self.racks.iter().position(|r| r.id == *id) {
            return i as u16;
        }
        self.racks.push(Rack {
            id: id.clone(),
            workers: Vec::new(),
            tasks: Default::default(),
            healthy: (0, 0),
        });
        (self.racks.len() - 1) as u16
    }

    fn attach(&mut self, ix: WorkerIx) {
        let rack = self.worker(ix).rack as usize;
        let list = &mut self.racks[rack].workers;
        if let Err(i) = list.binary_search(&ix) {
            list.insert(i, ix);
        }
        self.accelerators += u32::from(self.worker(ix).info.accelerators);
        self.recount(ix);
    }

    fn detach(&mut self, ix: WorkerIx) {
        self.set_room(ix, Default::default());
        self.set_healthy(ix, (0, 0));
        let rack = self.worker(ix).rack as usize;
        self.racks[rack].workers.retain(|other| *other != ix);
        self.accelerators -= u32::from(self.worker(ix).info.accelerators);
    }

    /// Recomputes the room of a worker and the sums that it is part of.
    pub(super) fn recount(&mut self, ix: WorkerIx) {
        if self.dirty.last() != Some(&ix) {
            self.dirty.push(ix);
        }
        let worker = self.worker(ix);
        let room = View::ALL.map(|view| worker.count_room(view));
        let healthy = match worker.is_healthy() {
            true => {
                (u32::from(worker.info.accelerators), worker.available(View::Preemptible).len())
            }
            false => (0, 0),
        };
        self.set_room(ix, room);
        self.set_healthy(ix, healthy);
    }

    fn set_healthy(&mut self, ix: WorkerIx, healthy: (u32, u32)) {
        let worker = self.worker_mut(ix);
        let old = std::mem::replace(&mut worker.healthy, healthy);
        let rack = worker.rack as usize;
        for sum in [&mut self.racks[rack].healthy, &mut self.healthy] {
            sum.0 = sum.0 + healthy.0 - old.0;
            sum.1 = sum.1 + healthy.1 - old.1;
        }
    }

    fn set_room(&mut self, ix: WorkerIx, room: [Room; VIEWS]) {
        let rack = self.worker(ix).rack;
        let old = std::mem::replace(&mut self.worker_mut(ix).room, room);
        let entry = RunEntry { rack, worker: ix };
        for view in 0..VIEWS {
            if old[view] == room[view] {
                continue;
            }
            for size in 0..SIZES {
                let (was, is) = (old[view].tasks[size], room[view].tasks[size]);
                let sum = &mut self.racks[rack as usize].tasks[view][size];
                *sum = *sum + u32::from(is) - u32::from(was);
                let sum = &mut self.tasks[view][size];
                *sum = *sum + u32::from(is) - u32::from(was);
            }
            if old[view].run == room[view].run {
                continue;
            }
            if let Some(run) = old[view].run {
                let list = &mut self.by_run[view][run as usize];
                let i = list
                    .binary_search(&entry)
                    .expect("each worker with room is in the list of its run");
                list.remove(i);
            }
            if let Some(run) = room[view].run {
                let list = &mut self.by_run[view][run as usize];
                let i =
                    list.binary_search(&entry).expect_err("each worker is in one list per view");
                list.insert(i, entry);
            }
        }
    }

    /// Allocates accelerators and a slot of a worker to a task.
    ///
    /// # Panics
    ///
    /// Panics if another task uses one of the accelerators, or if the task is pinned and one of them
    /// is reserved for a guarantee.
    pub(super) fn allocate(&mut self, ix: WorkerIx, allocation: Allocation) {
        let worker = self.worker_mut(ix);
        assert!(
            !worker.busy.overlaps(allocation.set),
            "{}: {} overlaps {}, which is allocated already",
            worker.info.id,
            allocation.set,
            worker.busy
        );
        worker.busy = worker.busy.union(allocation.set);
        worker.allocations.push(allocation);
        if allocation.pinned {
            worker.pin(allocation.set);
        }
        self.recount(ix);
    }

    /// Frees all allocations of a job on a worker.
    pub(super) fn deallocate(&mut self, ix: WorkerIx, job: JobIx, now: Moment) {
        let worker = self.worker_mut(ix);
        let mut set = AcceleratorSet::EMPTY;
        for allocation in worker.allocations.iter().filter(|a| a.job == job) {
            set = set.union(allocation.set);
            if allocation.pinned {
                worker.pinned = worker.pinned.difference(allocation.set);
                worker.pinned_slots -= 1;
            }
        }
        worker.allocations.retain(|a| a.job != job);
        worker.busy = worker.busy.difference(set);
        worker.releases.retain(|r| now.since(r.at) < RELEASE_TTL);
        worker.releases.push(Release { at: now, set });
        self.recount(ix);
    }

    /// Pins or unpins the tasks of a job on a worker.
    pub(super) fn set_pinned(&mut self, ix: WorkerIx, job: JobIx, pinned: bool) {
        let worker = self.worker_mut(ix);
        for i in 0..worker.allocations.len() {
            let allocation = &mut worker.allocations[i];
            if allocation.job != job || allocation.pinned == pinned {
                continue;
            }
            allocation.pinned = pinned;
            let set = allocation.set;
            if pinned {
                worker.pin(set);
            } else {
                worker.pinned = worker.pinned.difference(set);
                worker.pinned_slots -= 1;
            }
        }
        self.recount(ix);
    }

    /// Reserves accelerators and slots for a guarantee.
    ///
    /// # Panics
    ///
    /// Panics if pinned work or another guarantee has them.
    pub(super) fn reserve(&mut self, ix: WorkerIx, set: AcceleratorSet, slots: u16) {
        let worker = self.worker_mut(ix);
        let committed = worker.pinned.union(worker.reserved);
        assert!(
            !committed.overlaps(set),
            "{}: {set} is pinned or reserved already",
            worker.info.id
        );
        worker.reserved = worker.reserved.union(set);
        worker.reserved_slots += slots;
        self.recount(ix);
    }

    /// Undoes [`Self::reserve`].
    pub(super) fn unreserve(&mut self, ix: WorkerIx, set: AcceleratorSet, slots: u16) {
        let worker = self.worker_mut(ix);
        assert!(
            worker.reserved.contains(set) && worker.reserved_slots >= slots,
            "{}: {set} and {slots} slots are not reserved",
            worker.info.id
        );
        worker.reserved = worker.reserved.difference(set);
        worker.reserved_slots -= slots;
        self.recount(ix);
    }

    /// Keeps all jobs but `owner` from starting on a place. If `shared`, jobs that can be stopped
    /// with a checkpoint may still start there.
    pub(super) fn hold(&mut self, place: &Place, owner: JobIx, shared: bool) {
        let worker = self.worker_mut(place.worker);
        worker.holds.push(Hold { owner, set: place.set, slots: place.tasks, shared });
        worker.update_hold_sums();
        self.recount(place.worker);
    }

    /// Ends the sharing of the owner's holds on a worker.
    pub(super) fn make_exclusive(&mut self, ix: WorkerIx, owner: JobIx) {
        let worker = self.worker_mut(ix);
        for hold in worker.holds.iter_mut().filter(|h| h.owner == owner) {
            hold.shared = false;
        }
        worker.update_hold_sums();
        self.recount(ix);
    }

    /// Undoes [`Self::hold`].
    pub(super) fn release_hold(&mut self, ix: WorkerIx, owner: JobIx) {
        let worker = self.worker_mut(ix);
        worker.holds.retain(|h| h.owner != owner);
        worker.update_hold_sums();
        self.recount(ix);
    }

    /// Starts nothing on the worker until `until`.
    pub(super) fn back_off(&mut self, ix: WorkerIx, until: Moment) {
        let worker = self.worker_mut(ix);
        worker.backoff_until = worker.backoff_until.max(until);
        if !self.backing_off.contains(&ix) {
            self.backing_off.push(ix);
        }
        self.recount(ix);
    }

    /// Ends the backoffs that are over. Returns true if there were any.
    pub(super) fn end_backoffs(&mut self, now: Moment) -> bool {
        let due: Vec<_> = self
            .backing_off
            .iter()
            .copied()
            .filter(|ix| self.worker(*ix).backoff_until <= now)
            .collect();
        self.backing_off.retain(|ix| !due.contains(ix));
        for ix in &due {
            self.worker_mut(*ix).backoff_until = Moment(0);
            self.recount(*ix);
        }
        !due.is_empty()
    }

    /// Avoids accelerators that a start was refused on, until a newer report arrives.
    pub(super) fn mark_foreign(&mut self, ix: WorkerIx, set: AcceleratorSet, now: Moment) {
        let worker = self.worker_mut(ix);
        worker.foreign = worker.foreign.union(set);
        worker.foreign_at = now;
        self.recount(ix);
    }

    /// Applies a report. Accelerators that it shows as busy but that are not allocated are avoided,
    /// unless a release since the observation explains them. Returns true if any accelerator is no
    /// longer avoided.
    pub(super) fn apply_report(
        &mut self,
        ix: WorkerIx,
        busy: AcceleratorSet,
        observed: Moment,
    ) -> bool {
        let worker = self.worker_mut(ix);
        if observed < worker.foreign_at {
            return false;
        }
        let recent = worker.releases.iter().filter(|r| r.at >= observed);
        let explained = recent.fold(AcceleratorSet::EMPTY, |sum, r| sum.union(r.set));
        let foreign = busy.difference(worker.busy).difference(explained);
        worker.foreign_at = observed;
        if worker.foreign == foreign {
            return false;
        }
        let freed = !worker.foreign.difference(foreign).is_empty();
        worker.foreign = foreign;
        self.recount(ix);
        freed
    }

    /// Ends the avoidance of accelerators that no report has confirmed for [`FOREIGN_TTL`].
    pub(super) fn expire_foreign(&mut self, now: Moment) {
        for i in 0..self.workers.len() {
            let worker = &mut self.workers[i];
            if !worker.foreign.is_empty() && now.since(worker.foreign_at) >= FOREIGN_TTL {
                worker.foreign = AcceleratorSet::EMPTY;
                self.recount(WorkerIx(i as u16));
            }
        }
    }

    /// Returns the health record of a worker for changes that do not affect its room.
    pub(super) fn health_mut(&mut self, ix: WorkerIx) -> &mut Health {
        &mut self.worker_mut(ix).health
    }

    /// Quarantines a worker: it gets no work except probes.
    pub(super) fn quarantine(&mut self, ix: WorkerIx, now: Moment) {
        self.worker_mut(ix).health.quarantine_from(now);
        self.quarantined.push(ix);
        self.recount(ix);
    }

    /// Ends the quarantine of a worker.
    pub(super) fn readmit(&mut self, ix: WorkerIx) {
        self.worker_mut(ix).health.reset();
        self.quarantined.retain(|other| *other != ix);
        self.recount(ix);
    }

    /// Ends the quarantine of a worker until the next failure.
    pub(super) fn readmit_on_trial(&mut self, ix: WorkerIx) {
        self.worker_mut(ix).health.readmit_on_trial();
        self.quarantined.retain(|other| *other != ix);
        self.recount(ix);
    }

    /// Marks a worker as leaving before its description says so.
    pub(super) fn set_leaving(&mut self, ix: WorkerIx) {
        self.worker_mut(ix).info.leaving = true;
        self.recount(ix);
    }
}
