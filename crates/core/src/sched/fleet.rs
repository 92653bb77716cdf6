//! The ledger of accelerators and slots: which worker holds what, and how much room is left.
//!
//! The ledger is the truth that decisions rest on; reports of workers lag and only ever make it
//! more careful. Room is counted under three views at once, so that most questions about a gang
//! are answered from sums without looking at a worker.

mod worker;

pub(super) use worker::{SIZES, Seat, VIEWS, View, Worker};

use serde::Serialize;

use crate::ids::{RackId, WorkerId};
use crate::sched::event::WorkerInfo;
use crate::sched::fit::Place;
use crate::sched::health::Health;
use crate::sched::jobs::JobIx;
use crate::units::{AcceleratorSet, Moment, Span};
use worker::{Closure, RELEASE_KEPT, Release, Room};

/// The longest run of accelerators on one worker.
const RUN_MAX: usize = 64;
/// Time for which accelerators that refused a start are avoided when no report comes.
const FOREIGN_KEPT: Span = Span::from_secs(30);

/// Place of a worker in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub(super) struct WorkerIx(pub(super) u16);

/// Workers that are adjacent to each other.
#[derive(Debug, Serialize)]
pub(super) struct Rack {
    pub(super) id: RackId,
    /// Sorted.
    pub(super) workers: Vec<WorkerIx>,
    /// Sums over the workers, by view and size.
    tasks: [[u32; SIZES]; VIEWS],
    healthy: (u32, u32),
}

impl Rack {
    /// Returns the accelerators of healthy workers, and those of them that are free.
    pub(super) fn healthy(&self) -> (u32, u32) {
        self.healthy
    }

    /// Number of tasks of `size` accelerators that fit under `view`.
    pub(super) fn fit(&self, view: View, size: u8) -> u32 {
        self.tasks[view as usize][size as usize]
    }
}

/// All workers of one failure domain.
#[derive(Debug)]
pub(super) struct Fleet {
    pub(super) workers: Vec<Worker>,
    pub(super) racks: Vec<Rack>,
    /// Sorted by identifier; gone workers are not in it.
    names: Vec<WorkerIx>,
    /// Sums over the racks, by view and size.
    tasks: [[u32; SIZES]; VIEWS],
    /// Workers by view and longest run, each list sorted by rack.
    by_run: [Vec<Vec<RunEntry>>; VIEWS],
    /// Workers with a `shunned` moment ahead.
    shunned: Vec<WorkerIx>,
    quarantined: Vec<WorkerIx>,
    /// Accelerators of all present workers.
    accelerators: u32,
    healthy: (u32, u32),
    /// Workers that changed since they were checked.
    touched: Vec<WorkerIx>,
}

/// Orders the workers of one run length by rack, so that work gathers in few racks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RunEntry {
    rack: u16,
    pub(super) worker: WorkerIx,
}

impl Default for Fleet {
    fn default() -> Self {
        let lists = || vec![Vec::new(); RUN_MAX + 1];
        Self {
            workers: Vec::new(),
            racks: Vec::new(),
            names: Vec::new(),
            tasks: Default::default(),
            by_run: std::array::from_fn(|_| lists()),
            shunned: Vec::new(),
            quarantined: Vec::new(),
            accelerators: 0,
            healthy: (0, 0),
            touched: Vec::new(),
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
        self.names.iter().copied()
    }

    pub(super) fn count(&self) -> usize {
        self.names.len()
    }

    /// Accelerators of all present workers.
    pub(super) fn total_accelerators(&self) -> u32 {
        self.accelerators
    }

    /// Returns the accelerators of healthy workers, and those of them that are free.
    pub(super) fn healthy(&self) -> (u32, u32) {
        self.healthy
    }

    pub(super) fn quarantined(&self) -> &[WorkerIx] {
        &self.quarantined
    }

    /// Takes the workers that changed since the last call.
    pub(super) fn take_touched(&mut self) -> Vec<WorkerIx> {
        std::mem::take(&mut self.touched)
    }

    fn search(&self, id: &WorkerId) -> Result<usize, usize> {
        self.names.binary_search_by(|ix| self.worker(*ix).info.id.cmp(id))
    }

    /// Returns the place of a present worker.
    pub(super) fn find(&self, id: &WorkerId) -> Option<WorkerIx> {
        self.search(id).ok().map(|i| self.names[i])
    }

    /// Number of tasks of `size` accelerators that fit under `view`.
    pub(super) fn fit(&self, view: View, size: u8) -> u32 {
        self.tasks[view as usize][size as usize]
    }

    /// Returns the workers with a slot whose longest run under `view` is `run`.
    pub(super) fn with_run(&self, view: View, run: usize) -> &[RunEntry] {
        &self.by_run[view as usize][run]
    }

    /// Adds a worker or takes its new description.
    pub(super) fn put(&mut self, info: WorkerInfo) -> WorkerIx {
        let info = WorkerInfo { accelerators: info.accelerators.min(RUN_MAX as u8), ..info };
        let rack = self.rack_of(&info.rack);
        match self.search(&info.id) {
            Ok(i) => {
                let ix = self.names[i];
                self.detach(ix);
                let worker = self.worker_mut(ix);
                worker.info = info;
                worker.rack = rack;
                self.attach(ix);
                ix
            }
            Err(i) => {
                let ix = self.vacancy(info, rack);
                self.names.insert(i, ix);
                self.attach(ix);
                ix
            }
        }
    }

    /// Removes a worker that nothing holds any more.
    pub(super) fn remove(&mut self, ix: WorkerIx) {
        let id = self.worker(ix).info.id.clone();
        let Ok(i) = self.search(&id) else { return };
        self.names.remove(i);
        self.detach(ix);
        self.shunned.retain(|other| *other != ix);
        self.quarantined.retain(|other| *other != ix);
        let worker = self.worker_mut(ix);
        assert!(worker.seats.is_empty() && worker.reserved.is_empty(), "{id} is still held");
        worker.gone = true;
        worker.room = Default::default();
        worker.closures.clear();
    }

    fn vacancy(&mut self, info: WorkerInfo, rack: u16) -> WorkerIx {
        let worker = Worker::open(info, rack);
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

    fn rack_of(&mut self, id: &RackId) -> u16 {
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
        self.refresh(ix);
    }

    fn detach(&mut self, ix: WorkerIx) {
        self.set_room(ix, Default::default());
        self.set_healthy(ix, (0, 0));
        let rack = self.worker(ix).rack as usize;
        self.racks[rack].workers.retain(|other| *other != ix);
        self.accelerators -= u32::from(self.worker(ix).info.accelerators);
    }

    /// Counts the room of a worker anew.
    pub(super) fn refresh(&mut self, ix: WorkerIx) {
        if self.touched.last() != Some(&ix) {
            self.touched.push(ix);
        }
        let worker = self.worker(ix);
        let room = View::ALL.map(|view| worker.count_room(view));
        let healthy = match worker.is_usable() {
            true => (u32::from(worker.info.accelerators), worker.mask(View::Soft).len()),
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
                let i = list.binary_search(&entry).expect("each worker with room is listed");
                list.remove(i);
            }
            if let Some(run) = room[view].run {
                let list = &mut self.by_run[view][run as usize];
                let i = list.binary_search(&entry).expect_err("each worker is listed once");
                list.insert(i, entry);
            }
        }
    }

    /// Puts a task on a worker.
    ///
    /// # Panics
    ///
    /// Panics when another task holds one of its accelerators, or when it is firm on accelerators
    /// that are held back for a guarantee.
    pub(super) fn seat(&mut self, ix: WorkerIx, seat: Seat) {
        let worker = self.worker_mut(ix);
        assert!(!worker.busy.overlaps(seat.set), "{} is given away twice", worker.info.id);
        worker.busy = worker.busy.with(seat.set);
        worker.seats.push(seat);
        if seat.firm {
            worker.hold_firm(seat.set);
        }
        self.refresh(ix);
    }

    /// Takes all tasks of a job off a worker.
    pub(super) fn unseat(&mut self, ix: WorkerIx, job: JobIx, now: Moment) {
        let worker = self.worker_mut(ix);
        let mut set = AcceleratorSet::EMPTY;
        for seat in worker.seats.iter().filter(|s| s.job == job) {
            set = set.with(seat.set);
            if seat.firm {
                worker.firm = worker.firm.without(seat.set);
                worker.firm_slots -= 1;
            }
        }
        worker.seats.retain(|s| s.job != job);
        worker.busy = worker.busy.without(set);
        worker.releases.retain(|r| now.since(r.at) < RELEASE_KEPT);
        worker.releases.push(Release { at: now, set });
        self.refresh(ix);
    }

    /// Makes the tasks of a job on a worker firm, or no longer so.
    pub(super) fn set_firm(&mut self, ix: WorkerIx, job: JobIx, firm: bool) {
        let worker = self.worker_mut(ix);
        for i in 0..worker.seats.len() {
            let seat = &mut worker.seats[i];
            if seat.job != job || seat.firm == firm {
                continue;
            }
            seat.firm = firm;
            let set = seat.set;
            if firm {
                worker.hold_firm(set);
            } else {
                worker.firm = worker.firm.without(set);
                worker.firm_slots -= 1;
            }
        }
        self.refresh(ix);
    }

    /// Holds accelerators and slots back for a guarantee.
    ///
    /// # Panics
    ///
    /// Panics when firm work or another guarantee holds them.
    pub(super) fn reserve(&mut self, ix: WorkerIx, set: AcceleratorSet, slots: u16) {
        let worker = self.worker_mut(ix);
        let held = worker.firm.with(worker.reserved);
        assert!(!held.overlaps(set), "{}: {set} is promised twice", worker.info.id);
        worker.reserved = worker.reserved.with(set);
        worker.reserved_slots += slots;
        self.refresh(ix);
    }

    /// Gives up what [`Self::reserve`] held back.
    pub(super) fn unreserve(&mut self, ix: WorkerIx, set: AcceleratorSet, slots: u16) {
        let worker = self.worker_mut(ix);
        assert!(worker.reserved.contains(set) && worker.reserved_slots >= slots);
        worker.reserved = worker.reserved.without(set);
        worker.reserved_slots -= slots;
        self.refresh(ix);
    }

    /// Lets nobody but `owner` start on the place from now on; work that can be stopped again with
    /// a checkpoint still may when it is `lent`.
    pub(super) fn close(&mut self, place: &Place, owner: JobIx, lent: bool) {
        let worker = self.worker_mut(place.worker);
        worker.closures.push(Closure { owner, set: place.set, slots: place.tasks, lent });
        worker.sum_closures();
        self.refresh(place.worker);
    }

    /// Lends the owner's places on a worker no more.
    pub(super) fn bar(&mut self, ix: WorkerIx, owner: JobIx) {
        let worker = self.worker_mut(ix);
        for closure in worker.closures.iter_mut().filter(|c| c.owner == owner) {
            closure.lent = false;
        }
        worker.sum_closures();
        self.refresh(ix);
    }

    /// Undoes [`Self::close`].
    pub(super) fn reopen(&mut self, ix: WorkerIx, owner: JobIx) {
        let worker = self.worker_mut(ix);
        worker.closures.retain(|c| c.owner != owner);
        worker.sum_closures();
        self.refresh(ix);
    }

    /// Starts nothing on the worker until `until`.
    pub(super) fn shun(&mut self, ix: WorkerIx, until: Moment) {
        let worker = self.worker_mut(ix);
        worker.shunned = worker.shunned.max(until);
        if !self.shunned.contains(&ix) {
            self.shunned.push(ix);
        }
        self.refresh(ix);
    }

    /// Ends what has lasted long enough; tells whether anything became free.
    pub(super) fn expire(&mut self, now: Moment) -> bool {
        let due: Vec<_> =
            self.shunned.iter().copied().filter(|ix| self.worker(*ix).shunned <= now).collect();
        self.shunned.retain(|ix| !due.contains(ix));
        for ix in &due {
            self.worker_mut(*ix).shunned = Moment(0);
            self.refresh(*ix);
        }
        !due.is_empty()
    }

    /// Avoids accelerators that refused a start, until a fresher report comes.
    pub(super) fn avoid(&mut self, ix: WorkerIx, set: AcceleratorSet, now: Moment) {
        let worker = self.worker_mut(ix);
        worker.foreign = worker.foreign.with(set);
        worker.foreign_at = now;
        self.refresh(ix);
    }

    /// Takes a report: what it shows busy though the ledger holds it free is avoided, unless a
    /// release since then explains it. Returns whether anything became free.
    pub(super) fn observe(&mut self, ix: WorkerIx, busy: AcceleratorSet, seen: Moment) -> bool {
        let worker = self.worker_mut(ix);
        if seen < worker.foreign_at {
            return false;
        }
        let recent = worker.releases.iter().filter(|r| r.at >= seen);
        let explained = recent.fold(AcceleratorSet::EMPTY, |sum, r| sum.with(r.set));
        let foreign = busy.without(worker.busy).without(explained);
        worker.foreign_at = seen;
        if worker.foreign == foreign {
            return false;
        }
        let freed = !worker.foreign.without(foreign).is_empty();
        worker.foreign = foreign;
        self.refresh(ix);
        freed
    }

    /// Forgets suspicions that no report has confirmed for long.
    pub(super) fn forget_foreign(&mut self, now: Moment) {
        for i in 0..self.workers.len() {
            let worker = &mut self.workers[i];
            if !worker.foreign.is_empty() && now.since(worker.foreign_at) >= FOREIGN_KEPT {
                worker.foreign = AcceleratorSet::EMPTY;
                self.refresh(WorkerIx(i as u16));
            }
        }
    }

    /// Changes what is known of a worker's health.
    pub(super) fn health_mut(&mut self, ix: WorkerIx) -> &mut Health {
        &mut self.worker_mut(ix).health
    }

    /// Lets a worker have nothing but probes.
    pub(super) fn quarantine(&mut self, ix: WorkerIx, now: Moment) {
        self.worker_mut(ix).health.enter(now);
        self.quarantined.push(ix);
        self.refresh(ix);
    }

    /// Trusts a worker again.
    pub(super) fn readmit(&mut self, ix: WorkerIx) {
        self.worker_mut(ix).health.trust();
        self.quarantined.retain(|other| *other != ix);
        self.refresh(ix);
    }

    /// Lets a worker have work again until it fails some.
    pub(super) fn try_out(&mut self, ix: WorkerIx) {
        self.worker_mut(ix).health.try_out();
        self.quarantined.retain(|other| *other != ix);
        self.refresh(ix);
    }

    /// Marks a worker as leaving before its description says so.
    pub(super) fn set_leaving(&mut self, ix: WorkerIx) {
        self.worker_mut(ix).info.leaving = true;
        self.refresh(ix);
    }
}
