//! Guaranteed shapes, each bound to a concrete block of healthy hardware.
//!
//! The promise is that every unused guarantee can be had by stopping borrowed work alone. Instead
//! of counting cells level by level, each guarantee holds a block that shows it: blocks are
//! disjoint, and no firm work is on them. A block moves when that spares borrowed work, and comes
//! back to its guarantee when the job that used it ends, so the promise holds by construction and
//! costs no search. The price is that a block is chosen before it is needed, and that a binding may
//! fail although another packing of all guarantees would fit.

use serde::Serialize;

use crate::job::{Adjacency, Shape};
use crate::sched::fit::{self, Place};
use crate::sched::fleet::{Fleet, View, WorkerIx};
use crate::sched::jobs::JobIx;
use crate::sched::spaces::SpaceIx;
use crate::units::AcceleratorSet;

/// Place of one guaranteed shape in the table; used again after its guarantee was withdrawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub(super) struct InstanceIx(pub(super) u16);

/// Where one task of a guaranteed shape is bound, or all of them when they need one worker.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Cell {
    /// `None` while no healthy hardware can be had.
    pub(super) worker: Option<WorkerIx>,
    pub(super) set: AcceleratorSet,
    pub(super) slots: u16,
    /// The job that uses or has claimed it.
    pub(super) user: Option<JobIx>,
    /// What its user holds, part of `set`; empty until the user was started.
    pub(super) used: AcceleratorSet,
    pub(super) used_slots: u16,
}

impl Cell {
    const UNBOUND: Self = Self {
        worker: None,
        set: AcceleratorSet::EMPTY,
        slots: 0,
        user: None,
        used: AcceleratorSet::EMPTY,
        used_slots: 0,
    };
}

/// One guaranteed shape.
#[derive(Debug, Serialize)]
pub(super) struct Instance {
    pub(super) space: SpaceIx,
    pub(super) shape: Shape,
    /// One a task; a single one for shapes that need one worker. Empty after a withdrawal.
    pub(super) cells: Vec<Cell>,
}

impl Instance {
    /// Tells whether all of it is bound to healthy hardware.
    pub(super) fn is_bound(&self) -> bool {
        self.cells.iter().all(|c| c.worker.is_some())
    }

    /// Tells whether no job uses or claims any of it.
    pub(super) fn is_unused(&self) -> bool {
        self.cells.iter().all(|c| c.user.is_none())
    }

    /// Tells whether a cell holds all that its part of the shape asks for.
    fn is_whole(&self, i: usize) -> bool {
        let tasks = if is_block(self.shape) { self.shape.tasks } else { 1 };
        let cell = &self.cells[i];
        cell.slots == tasks
            && cell.set.len() == u32::from(tasks) * u32::from(self.shape.accelerators)
    }

    fn is_vacant(&self) -> bool {
        self.cells.is_empty()
    }
}

/// The guaranteed shapes of one workspace that are alike.
#[derive(Debug, Serialize)]
pub(super) struct Group {
    pub(super) space: SpaceIx,
    pub(super) shape: Shape,
    pub(super) members: Vec<InstanceIx>,
}

/// All guarantees of the failure domain.
#[derive(Debug, Default)]
pub(super) struct Guarantees {
    table: Vec<Instance>,
    /// Sorted by workspace and shape.
    pub(super) groups: Vec<Group>,
    /// Not wholly bound.
    pub(super) broken: Vec<InstanceIx>,
}

/// Tells whether all tasks of a shape share one block.
pub(super) fn is_block(shape: Shape) -> bool {
    shape.tasks == 1 || shape.adjacency == Adjacency::Worker
}

/// Tells whether a job of shape `job` can run inside one guaranteed `shape`.
pub(super) fn holds(shape: Shape, job: Shape) -> bool {
    if is_block(shape) {
        let one = is_block(job) || job.tasks == 1;
        return one && job.total() <= shape.total() && job.tasks <= shape.tasks;
    }
    if is_block(job) && job.tasks > 1 {
        return false;
    }
    let near = job.tasks == 1 || shape.adjacency >= job.adjacency;
    near && job.tasks <= shape.tasks && job.accelerators <= shape.accelerators
}

impl Guarantees {
    pub(super) fn get(&self, ix: InstanceIx) -> &Instance {
        &self.table[ix.0 as usize]
    }

    pub(super) fn get_mut(&mut self, ix: InstanceIx) -> &mut Instance {
        &mut self.table[ix.0 as usize]
    }

    /// Returns all guarantees in force.
    pub(super) fn iter(&self) -> impl Iterator<Item = (InstanceIx, &Instance)> {
        let all = self.table.iter().enumerate();
        all.filter(|(_, i)| !i.is_vacant()).map(|(i, instance)| (InstanceIx(i as u16), instance))
    }

    pub(super) fn group(&self, space: SpaceIx, shape: Shape) -> Option<&Group> {
        let found = self.groups.binary_search_by_key(&(space, shape), |g| (g.space, g.shape));
        found.ok().map(|i| &self.groups[i])
    }

    /// Returns the groups of a workspace.
    pub(super) fn of_space(&self, space: SpaceIx) -> &[Group] {
        let first = self.groups.partition_point(|g| g.space < space);
        let last = self.groups.partition_point(|g| g.space <= space);
        &self.groups[first..last]
    }

    /// Adds an unbound guarantee.
    pub(super) fn add(&mut self, space: SpaceIx, shape: Shape) -> InstanceIx {
        let count = if is_block(shape) { 1 } else { shape.tasks as usize };
        let instance = Instance { space, shape, cells: vec![Cell::UNBOUND; count] };
        let ix = match self.table.iter().position(Instance::is_vacant) {
            Some(i) => {
                self.table[i] = instance;
                InstanceIx(i as u16)
            }
            None => {
                self.table.push(instance);
                InstanceIx((self.table.len() - 1) as u16)
            }
        };
        match self.groups.binary_search_by_key(&(space, shape), |g| (g.space, g.shape)) {
            Ok(i) => self.groups[i].members.push(ix),
            Err(i) => self.groups.insert(i, Group { space, shape, members: vec![ix] }),
        }
        self.broken.push(ix);
        ix
    }

    /// Removes a guarantee that no job uses.
    pub(super) fn remove(&mut self, ix: InstanceIx, fleet: &mut Fleet) {
        assert!(self.get(ix).is_unused(), "a guarantee in use is withdrawn");
        self.unbind(ix, fleet);
        self.broken.retain(|other| *other != ix);
        let instance = self.get_mut(ix);
        instance.cells.clear();
        let key = (instance.space, instance.shape);
        let i = self.groups.binary_search_by_key(&key, |g| (g.space, g.shape));
        let i = i.expect("each guarantee is in a group");
        self.groups[i].members.retain(|other| *other != ix);
        if self.groups[i].members.is_empty() {
            self.groups.remove(i);
        }
    }

    /// Gives up the blocks of all cells without a user.
    pub(super) fn unbind(&mut self, ix: InstanceIx, fleet: &mut Fleet) {
        for i in 0..self.get(ix).cells.len() {
            self.unbind_cell(ix, i, fleet);
        }
    }

    /// Gives up the block of a cell without a user.
    pub(super) fn unbind_cell(&mut self, ix: InstanceIx, i: usize, fleet: &mut Fleet) {
        let cell = &mut self.get_mut(ix).cells[i];
        if cell.user.is_some() {
            return;
        }
        let Some(worker) = cell.worker.take() else { return };
        let (set, slots) = (cell.set, cell.slots);
        *cell = Cell::UNBOUND;
        fleet.unreserve(worker, set, slots);
        self.mark_broken(ix);
    }

    fn mark_broken(&mut self, ix: InstanceIx) {
        if !self.broken.contains(&ix) {
            self.broken.push(ix);
        }
    }

    /// Binds all cells, which are unbound, to `places`.
    pub(super) fn bind(&mut self, ix: InstanceIx, places: &[Place], fleet: &mut Fleet) {
        let instance = self.get_mut(ix);
        assert_eq!(instance.cells.len(), places.len(), "a place for each cell");
        for (cell, place) in instance.cells.iter_mut().zip(places) {
            assert!(cell.worker.is_none(), "a bound cell is bound again");
            *cell = Cell {
                worker: Some(place.worker),
                set: place.set,
                slots: place.tasks,
                ..Cell::UNBOUND
            };
            fleet.reserve(place.worker, place.set, place.tasks);
        }
        self.broken.retain(|other| *other != ix);
    }

    /// Returns the blocks of a guarantee that is bound.
    pub(super) fn places(&self, ix: InstanceIx) -> Vec<Place> {
        let cells = self.get(ix).cells.iter();
        cells
            .filter_map(|c| c.worker.map(|worker| Place { worker, set: c.set, tasks: c.slots }))
            .collect()
    }

    /// Tries to bind a broken guarantee on what firm work and other guarantees leave.
    pub(super) fn repair(&mut self, ix: InstanceIx, fleet: &mut Fleet) -> bool {
        let instance = self.get(ix);
        if instance.is_unused() {
            let shape = instance.shape;
            let old = self.places(ix);
            self.unbind(ix, fleet);
            if let Some(places) = fit::find_apart(fleet, View::Bind, shape, &[], false) {
                self.bind(ix, &places, fleet);
                return true;
            }
            self.rebind(ix, &old, fleet);
            return false;
        }
        self.repair_cells(ix, fleet)
    }

    /// Takes back what a guarantee had given up; it may have been part of its shape only.
    pub(super) fn rebind(&mut self, ix: InstanceIx, old: &[Place], fleet: &mut Fleet) {
        for (i, place) in old.iter().enumerate() {
            self.bind_cell(ix, i, *place, fleet);
        }
        if self.get(ix).is_bound() {
            self.broken.retain(|other| *other != ix);
        }
    }

    fn bind_cell(&mut self, ix: InstanceIx, i: usize, place: Place, fleet: &mut Fleet) {
        let cell = &mut self.get_mut(ix).cells[i];
        cell.worker = Some(place.worker);
        cell.set = place.set;
        cell.slots = place.tasks;
        fleet.reserve(place.worker, place.set, place.tasks);
    }

    /// Binds the cells that are unbound, next to those in use where the shape asks for it.
    fn repair_cells(&mut self, ix: InstanceIx, fleet: &mut Fleet) -> bool {
        let instance = self.get(ix);
        let size = instance.shape.accelerators;
        let bound = instance.cells.iter().find_map(|c| c.worker);
        let rack = match instance.shape.adjacency {
            Adjacency::Domain => None,
            Adjacency::Rack | Adjacency::Worker => bound.map(|ix| fleet.worker(ix).rack),
        };
        let open: Vec<_> =
            (0..instance.cells.len()).filter(|i| instance.cells[*i].worker.is_none()).collect();
        for i in open {
            let Some(place) = fit::find_one(fleet, View::Bind, size, rack) else { return false };
            self.bind_cell(ix, i, place, fleet);
        }
        self.broken.retain(|other| *other != ix);
        true
    }

    /// Notes that a user was started on `used`, part of a cell that it has claimed.
    pub(super) fn begin_use(
        &mut self,
        ix: InstanceIx,
        i: usize,
        used: AcceleratorSet,
        slots: u16,
        fleet: &mut Fleet,
    ) {
        let cell = &mut self.get_mut(ix).cells[i];
        assert!(cell.user.is_some() && cell.used_slots == 0, "a cell has one user");
        assert!(cell.set.contains(used) && slots <= cell.slots, "a user stays in its cell");
        cell.used = used;
        cell.used_slots = slots;
        let worker = cell.worker.expect("a claimed cell is bound");
        fleet.unreserve(worker, used, slots);
    }

    /// Ends the use or claim of `job`, whose tasks no longer are firm; what it held is held back
    /// for the guarantee again. Cells on unhealthy workers are given up.
    pub(super) fn end_use(&mut self, ix: InstanceIx, job: JobIx, fleet: &mut Fleet) {
        for i in 0..self.get(ix).cells.len() {
            let cell = &mut self.get_mut(ix).cells[i];
            if cell.user != Some(job) {
                continue;
            }
            let (used, slots) = (cell.used, cell.used_slots);
            cell.user = None;
            cell.used = AcceleratorSet::EMPTY;
            cell.used_slots = 0;
            let Some(worker) = cell.worker else { continue };
            fleet.reserve(worker, used, slots);
            let whole = self.get(ix).is_whole(i);
            if !whole || !fleet.worker(worker).is_usable() {
                self.unbind_cell(ix, i, fleet);
            }
        }
    }

    /// Gives up all that isn't in use on a worker.
    pub(super) fn leave_worker(&mut self, worker: WorkerIx, fleet: &mut Fleet) {
        for i in 0..self.table.len() {
            let ix = InstanceIx(i as u16);
            for c in 0..self.get(ix).cells.len() {
                let cell = &self.get(ix).cells[c];
                if cell.worker != Some(worker) {
                    continue;
                }
                match cell.user {
                    None => self.unbind_cell(ix, c, fleet),
                    Some(_) => self.shrink_cell(ix, c, fleet),
                }
            }
        }
    }

    /// Gives up what is held back of `set` on a worker, and of its slots until one is left, since
    /// firm work was found there.
    pub(super) fn displace(&mut self, worker: WorkerIx, set: AcceleratorSet, fleet: &mut Fleet) {
        for i in 0..self.table.len() {
            let ix = InstanceIx(i as u16);
            for c in 0..self.get(ix).cells.len() {
                let cell = self.get(ix).cells[c];
                if cell.worker != Some(worker) {
                    continue;
                }
                let full = fleet.worker(worker).held_slots() >= fleet.worker(worker).info.slots;
                if !cell.set.without(cell.used).overlaps(set) && !full {
                    continue;
                }
                match cell.user {
                    None => self.unbind_cell(ix, c, fleet),
                    Some(_) => self.shrink_cell(ix, c, fleet),
                }
            }
        }
    }

    /// Leaves a cell just what its user holds.
    fn shrink_cell(&mut self, ix: InstanceIx, i: usize, fleet: &mut Fleet) {
        let cell = &mut self.get_mut(ix).cells[i];
        let Some(worker) = cell.worker else { return };
        let (set, slots) = (cell.set.without(cell.used), cell.slots - cell.used_slots);
        cell.set = cell.used;
        cell.slots = cell.used_slots;
        fleet.unreserve(worker, set, slots);
    }

    /// Swaps the blocks of two unused and bound guarantees of the same shape.
    pub(super) fn swap(&mut self, a: InstanceIx, b: InstanceIx) {
        assert!(self.get(a).is_unused() && self.get(b).is_unused());
        assert_eq!(self.get(a).shape, self.get(b).shape);
        let cells = std::mem::take(&mut self.get_mut(a).cells);
        let cells = std::mem::replace(&mut self.get_mut(b).cells, cells);
        self.get_mut(a).cells = cells;
    }
}
