//! Guaranteed shapes, each bound to a concrete block of healthy hardware.
//!
//! Invariant: every unused guarantee can be provided by preempting borrowed work alone. Instead of
//! counting free capacity per rack and worker, each guarantee is bound to a block that proves it:
//! blocks are disjoint, and no pinned work is on them. A block moves if that spares borrowed work,
//! and returns to its guarantee when the job that used it ends, so the invariant holds by
//! construction and needs no search. The cost is that a block is chosen before it is needed, and
//! that a binding may fail although another packing of all guarantees would fit.

use serde::Serialize;

use crate::job::{Adjacency, Shape};
use crate::sched::fit::{self, Place};
use crate::sched::fleet::{Fleet, View, WorkerIx};
use crate::sched::jobs::JobIx;
use crate::sched::spaces::WorkspaceIx;
use crate::units::AcceleratorSet;

/// Index of a guaranteed shape in the table; reused after its guarantee was withdrawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub(super) struct GuaranteeIx(pub(super) u16);

/// The place bound for one task of a guaranteed shape, or for all tasks if they need one worker. The
/// places of all bindings make up the guarantee's block.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Binding {
    /// `None` while no healthy hardware is available.
    pub(super) worker: Option<WorkerIx>,
    pub(super) set: AcceleratorSet,
    pub(super) slots: u16,
    /// The job that uses or has claimed it.
    pub(super) user: Option<JobIx>,
    /// The part of `set` that its user occupies; empty until the user was started.
    pub(super) used: AcceleratorSet,
    pub(super) used_slots: u16,
}

impl Binding {
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
pub(super) struct Guarantee {
    pub(super) space: WorkspaceIx,
    pub(super) shape: Shape,
    /// One per task; a single one for shapes that need one worker. Empty after withdrawal.
    #[serde(rename = "cells")]
    pub(super) bindings: Vec<Binding>,
}

impl Guarantee {
    /// Returns true if every task is bound to healthy hardware.
    pub(super) fn is_bound(&self) -> bool {
        self.bindings.iter().all(|b| b.worker.is_some())
    }

    /// Returns true if no job uses or claims any part of it.
    pub(super) fn is_unused(&self) -> bool {
        self.bindings.iter().all(|b| b.user.is_none())
    }

    /// Returns true if a binding has all accelerators and slots that the shape needs there. It has
    /// less after [`Guarantees::shrink_binding`].
    fn is_whole(&self, i: usize) -> bool {
        let tasks = if is_single_worker(self.shape) { self.shape.tasks } else { 1 };
        let binding = &self.bindings[i];
        binding.slots == tasks
            && binding.set.len() == u32::from(tasks) * u32::from(self.shape.accelerators)
    }

    /// Returns true if it was withdrawn, so that its index may be reused.
    fn is_vacant(&self) -> bool {
        self.bindings.is_empty()
    }
}

/// The guaranteed shapes of one workspace that are equal.
#[derive(Debug, Serialize)]
pub(super) struct Group {
    pub(super) space: WorkspaceIx,
    pub(super) shape: Shape,
    pub(super) members: Vec<GuaranteeIx>,
}

/// All guarantees of the failure domain.
#[derive(Debug, Default)]
pub(super) struct Guarantees {
    table: Vec<Guarantee>,
    /// Sorted by workspace and shape.
    pub(super) groups: Vec<Group>,
    /// Guarantees with at least one unbound binding.
    pub(super) degraded: Vec<GuaranteeIx>,
}

/// Returns true if all tasks of a shape run on one worker.
pub(super) fn is_single_worker(shape: Shape) -> bool {
    shape.tasks == 1 || shape.adjacency == Adjacency::Worker
}

/// Returns true if a job of shape `job` can run inside one guaranteed `shape`.
pub(super) fn can_contain(shape: Shape, job: Shape) -> bool {
    if is_single_worker(shape) {
        let single = is_single_worker(job) || job.tasks == 1;
        return single && job.total() <= shape.total() && job.tasks <= shape.tasks;
    }
    if is_single_worker(job) && job.tasks > 1 {
        return false;
    }
    let close_enough = job.tasks == 1 || shape.adjacency >= job.adjacency;
    close_enough && job.tasks <= shape.tasks && job.accelerators <= shape.accelerators
}

impl Guarantees {
    pub(super) fn get(&self, ix: GuaranteeIx) -> &Guarantee {
        &self.table[ix.0 as usize]
    }

    pub(super) fn get_mut(&mut self, ix: GuaranteeIx) -> &mut Guarantee {
        &mut self.table[ix.0 as usize]
    }

    /// Returns all guarantees in force.
    pub(super) fn iter(&self) -> impl Iterator<Item = (GuaranteeIx, &Guarantee)> {
        let all = self.table.iter().enumerate();
        all.filter(|(_, g)| !g.is_vacant()).map(|(i, guarantee)| (GuaranteeIx(i as u16), guarantee))
    }

    pub(super) fn group(&self, space: WorkspaceIx, shape: Shape) -> Option<&Group> {
        let found = self.groups.binary_search_by_key(&(space, shape), |g| (g.space, g.shape));
        found.ok().map(|i| &self.groups[i])
    }

    /// Returns the groups of a workspace.
    pub(super) fn of_workspace(&self, space: WorkspaceIx) -> &[Group] {
        let first = self.groups.partition_point(|g| g.space < space);
        let last = self.groups.partition_point(|g| g.space <= space);
        &self.groups[first..last]
    }

    /// Adds an unbound guarantee.
    pub(super) fn add(&mut self, space: WorkspaceIx, shape: Shape) -> GuaranteeIx {
        let count = if is_single_worker(shape) { 1 } else { shape.tasks as usize };
        let guarantee = Guarantee { space, shape, bindings: vec![Binding::UNBOUND; count] };
        let ix = match self.table.iter().position(Guarantee::is_vacant) {
            Some(i) => {
                self.table[i] = guarantee;
                GuaranteeIx(i as u16)
            }
            None => {
                self.table.push(guarantee);
                GuaranteeIx((self.table.len() - 1) as u16)
            }
        };
        match self.groups.binary_search_by_key(&(space, shape), |g| (g.space, g.shape)) {
            Ok(i) => self.groups[i].members.push(ix),
            Err(i) => self.groups.insert(i, Group { space, shape, members: vec![ix] }),
        }
        self.degraded.push(ix);
        ix
    }

    /// Removes a guarantee that no job uses.
    pub(super) fn remove(&mut self, ix: GuaranteeIx, fleet: &mut Fleet) {
        assert!(self.get(ix).is_unused(), "cannot remove a guarantee in use");
        self.unbind(ix, fleet);
        self.degraded.retain(|other| *other != ix);
        let guarantee = self.get_mut(ix);
        guarantee.bindings.clear();
        let key = (guarantee.space, guarantee.shape);
        let i = self.groups.binary_search_by_key(&key, |g| (g.space, g.shape));
        let i = i.expect("each guarantee is in a group");
        self.groups[i].members.retain(|other| *other != ix);
        if self.groups[i].members.is_empty() {
            self.groups.remove(i);
        }
    }

    /// Releases the places of all bindings that have no user.
    pub(super) fn unbind(&mut self, ix: GuaranteeIx, fleet: &mut Fleet) {
        for i in 0..self.get(ix).bindings.len() {
            self.unbind_task(ix, i, fleet);
        }
    }

    /// Releases the place of one binding, unless it has a user.
    pub(super) fn unbind_task(&mut self, ix: GuaranteeIx, i: usize, fleet: &mut Fleet) {
        let binding = &mut self.get_mut(ix).bindings[i];
        if binding.user.is_some() {
            return;
        }
        let Some(worker) = binding.worker.take() else { return };
        let (set, slots) = (binding.set, binding.slots);
        *binding = Binding::UNBOUND;
        fleet.unreserve(worker, set, slots);
        self.mark_degraded(ix);
    }

    fn mark_degraded(&mut self, ix: GuaranteeIx) {
        if !self.degraded.contains(&ix) {
            self.degraded.push(ix);
        }
    }

    /// Binds a guarantee without any block to `places`.
    pub(super) fn bind(&mut self, ix: GuaranteeIx, places: &[Place], fleet: &mut Fleet) {
        let guarantee = self.get_mut(ix);
        assert_eq!(guarantee.bindings.len(), places.len(), "one place for each binding");
        for (binding, place) in guarantee.bindings.iter_mut().zip(places) {
            assert!(binding.worker.is_none(), "binding is bound already");
            *binding = Binding {
                worker: Some(place.worker),
                set: place.set,
                slots: place.tasks,
                ..Binding::UNBOUND
            };
            fleet.reserve(place.worker, place.set, place.tasks);
        }
        self.degraded.retain(|other| *other != ix);
    }

    /// Returns the places that a guarantee is bound to.
    pub(super) fn places(&self, ix: GuaranteeIx) -> Vec<Place> {
        let bindings = self.get(ix).bindings.iter();
        bindings
            .filter_map(|b| b.worker.map(|worker| Place { worker, set: b.set, tasks: b.slots }))
            .collect()
    }

    /// Tries to bind a degraded guarantee to accelerators without pinned work or other guarantees.
    pub(super) fn repair(&mut self, ix: GuaranteeIx, fleet: &mut Fleet) -> bool {
        let guarantee = self.get(ix);
        if guarantee.is_unused() {
            let shape = guarantee.shape;
            let old = self.places(ix);
            self.unbind(ix, fleet);
            if let Some(places) = fit::find_segregated(fleet, View::Bindable, shape, &[], false) {
                self.bind(ix, &places, fleet);
                return true;
            }
            self.restore_places(ix, &old, fleet);
            return false;
        }
        self.repair_bindings(ix, fleet)
    }

    /// Binds a guarantee to its former places, which may provide only part of its shape.
    pub(super) fn restore_places(&mut self, ix: GuaranteeIx, old: &[Place], fleet: &mut Fleet) {
        for (i, place) in old.iter().enumerate() {
            self.bind_task(ix, i, *place, fleet);
        }
        if self.get(ix).is_bound() {
            self.degraded.retain(|other| *other != ix);
        }
    }

    fn bind_task(&mut self, ix: GuaranteeIx, i: usize, place: Place, fleet: &mut Fleet) {
        let binding = &mut self.get_mut(ix).bindings[i];
        binding.worker = Some(place.worker);
        binding.set = place.set;
        binding.slots = place.tasks;
        fleet.reserve(place.worker, place.set, place.tasks);
    }

    /// Binds the unbound bindings, in the rack of the bound ones if the shape requires that.
    fn repair_bindings(&mut self, ix: GuaranteeIx, fleet: &mut Fleet) -> bool {
        let guarantee = self.get(ix);
        let size = guarantee.shape.accelerators;
        let bound = guarantee.bindings.iter().find_map(|b| b.worker);
        let rack = match guarantee.shape.adjacency {
            Adjacency::Domain => None,
            Adjacency::Rack | Adjacency::Worker => bound.map(|ix| fleet.worker(ix).rack),
        };
        let unbound: Vec<_> = (0..guarantee.bindings.len())
            .filter(|i| guarantee.bindings[*i].worker.is_none())
            .collect();
        for i in unbound {
            let Some(place) = fit::find_one(fleet, View::Bindable, size, rack) else {
                return false;
            };
            self.bind_task(ix, i, place, fleet);
        }
        self.degraded.retain(|other| *other != ix);
        true
    }

    /// Records that a user was started on `used`, part of a binding that it has claimed.
    pub(super) fn begin_use(
        &mut self,
        ix: GuaranteeIx,
        i: usize,
        used: AcceleratorSet,
        slots: u16,
        fleet: &mut Fleet,
    ) {
        let binding = &mut self.get_mut(ix).bindings[i];
        assert!(
            binding.user.is_some() && binding.used_slots == 0,
            "binding is not claimed or already in use"
        );
        assert!(binding.set.contains(used) && slots <= binding.slots, "user exceeds its binding");
        binding.used = used;
        binding.used_slots = slots;
        let worker = binding.worker.expect("a claimed binding is bound");
        fleet.unreserve(worker, used, slots);
    }

    /// Ends the use or claim of `job`, whose tasks are no longer pinned. What it used is reserved
    /// for the guarantee again. Bindings on unhealthy workers are released.
    pub(super) fn end_use(&mut self, ix: GuaranteeIx, job: JobIx, fleet: &mut Fleet) {
        for i in 0..self.get(ix).bindings.len() {
            let binding = &mut self.get_mut(ix).bindings[i];
            if binding.user != Some(job) {
                continue;
            }
            let (used, slots) = (binding.used, binding.used_slots);
            binding.user = None;
            binding.used = AcceleratorSet::EMPTY;
            binding.used_slots = 0;
            let Some(worker) = binding.worker else { continue };
            fleet.reserve(worker, used, slots);
            let whole = self.get(ix).is_whole(i);
            if !whole || !fleet.worker(worker).is_healthy() {
                self.unbind_task(ix, i, fleet);
            }
        }
    }

    /// Releases everything on a worker that is not in use.
    pub(super) fn unbind_worker(&mut self, worker: WorkerIx, fleet: &mut Fleet) {
        for i in 0..self.table.len() {
            let ix = GuaranteeIx(i as u16);
            for b in 0..self.get(ix).bindings.len() {
                let binding = &self.get(ix).bindings[b];
                if binding.worker != Some(worker) {
                    continue;
                }
                match binding.user {
                    None => self.unbind_task(ix, b, fleet),
                    Some(_) => self.shrink_binding(ix, b, fleet),
                }
            }
        }
    }

    /// Releases the bindings on a worker that overlap `set`, except for what is in use, because
    /// pinned work was found there. Also releases others until the worker has a slot left.
    pub(super) fn unbind_overlapping(
        &mut self,
        worker: WorkerIx,
        set: AcceleratorSet,
        fleet: &mut Fleet,
    ) {
        for i in 0..self.table.len() {
            let ix = GuaranteeIx(i as u16);
            for b in 0..self.get(ix).bindings.len() {
                let binding = self.get(ix).bindings[b];
                if binding.worker != Some(worker) {
                    continue;
                }
                let full =
                    fleet.worker(worker).committed_slots() >= fleet.worker(worker).info.slots;
                if !binding.set.difference(binding.used).overlaps(set) && !full {
                    continue;
                }
                match binding.user {
                    None => self.unbind_task(ix, b, fleet),
                    Some(_) => self.shrink_binding(ix, b, fleet),
                }
            }
        }
    }

    /// Reduces a binding to what its user occupies.
    fn shrink_binding(&mut self, ix: GuaranteeIx, i: usize, fleet: &mut Fleet) {
        let binding = &mut self.get_mut(ix).bindings[i];
        let Some(worker) = binding.worker else { return };
        let (set, slots) =
            (binding.set.difference(binding.used), binding.slots - binding.used_slots);
        binding.set = binding.used;
        binding.slots = binding.used_slots;
        fleet.unreserve(worker, set, slots);
    }

    /// Swaps the blocks of two unused and bound guarantees of the same shape.
    pub(super) fn swap(&mut self, a: GuaranteeIx, b: GuaranteeIx) {
        assert!(
            self.get(a).is_unused() && self.get(b).is_unused(),
            "only unused guarantees swap their blocks"
        );
        assert_eq!(
            self.get(a).shape,
            self.get(b).shape,
            "only guarantees of one shape swap their blocks"
        );
        let bindings = std::mem::take(&mut self.get_mut(a).bindings);
        let bindings = std::mem::replace(&mut self.get_mut(b).bindings, bindings);
        self.get_mut(a).bindings = bindings;
    }
}
