//! The workers as one placement sees them.
//!
//! Free capacity only shrinks during a placement, unless a claim is released. So a shape that found
//! no room need not be tried again in the same placement.

use bulrushlink_core::{RackId, Span};
use std::fmt;

use crate::ids::TaskId;
use crate::model::{Resources, Step};
use crate::plan::{Racks, Room, Victim};
use crate::policy::{Owner, Shares, Stake, Tolerance, Usage};

use super::endpoints::Endpoints;
use super::groups::{Claimant, Group, Preemptibility, RunKey};
use super::reserve::Stay;

/// Cost that is added for each workspace that is further over its share, in core-seconds: more than all
/// runs of a deployment can lose.
const POSITION_COST: f64 = 1e9;

/// What a unit requires of the workers, which decides whether there is room for it.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Shape {
    pub(super) endpoint: String,
    pub(super) step: Step,
    /// Only workers without recent faults may be used.
    pub(super) trusted: bool,
    /// Workers that may be used, by the state of their breakers.
    pub(super) tolerance: Tolerance,
    /// Only workers without runs may be used.
    pub(super) alone: bool,
    /// The tasks may run away from the rack of their data, and a gang on several racks.
    pub(super) anywhere: bool,
    /// Number of tasks that have to be placed together.
    pub(super) count: usize,
}

impl Shape {
    fn ignores_racks(&self) -> bool {
        !self.step.one_rack && self.step.near.is_none()
    }

    /// Returns true if this shape fits wherever `other` fits.
    fn fits_wherever(&self, other: &Self) -> bool {
        let (a, b) = (&self.step, &other.step);
        self.endpoint == other.endpoint
            && self.trusted == other.trusted
            && self.tolerance == other.tolerance
            && self.alone == other.alone
            && self.anywhere == other.anywhere
            && self.count <= other.count
            && other.step.need.fits(&self.step.need)
            && (a.gang, a.one_rack, &a.label, &a.near) == (b.gang, b.one_rack, &b.label, &b.near)
            // With a limit per worker, room also depends on where the job's other tasks are.
            && a.per_worker.is_none()
            && b.per_worker.is_none()
            // Whether a rack is large enough for the work at all depends on need and count.
            && (self.ignores_racks() || (a.need == b.need && self.count == other.count))
    }
}

/// State of a worker at the start of a placement.
pub(super) struct WorkerView<'a> {
    pub(super) free: Resources,
    /// What the runs take beyond the capacity.
    pub(super) excess: Resources,
    pub(super) capacity: Resources,
    /// Endpoint that it serves; empty if only a record names it.
    pub(super) endpoint: &'a str,
    pub(super) rack: Option<&'a RackId>,
    /// What its runs occupy, and the accelerators of those that can't be stopped cheaply.
    pub(super) usage: (Usage, u64),
    /// Number of recent faults, and more if its breaker isn't closed.
    pub(super) doubt: u32,
    /// Band of its learned speed; 0 is average or unknown, and higher is faster.
    pub(super) band: i8,
    /// It may get new runs.
    pub(super) open: bool,
}

/// Resources of some workers that may get new runs.
#[derive(Clone, Copy, Default)]
struct Load {
    /// What no run used at the start of the placement.
    free: Resources,
    capacity: Resources,
}

impl Load {
    fn add(&mut self, free: &Resources, capacity: &Resources) {
        self.free = self.free.plus(free);
        self.capacity = self.capacity.plus(capacity);
    }

    /// Returns true if less than half of the capacity is in use.
    fn is_mostly_idle(&self) -> bool {
        self.free.cpu > self.capacity.cpu / 2
            && self.free.accelerators >= self.capacity.accelerators / 2
    }
}

/// What a step requires of each of its workers.
#[derive(Clone, PartialEq)]
struct Kind {
    endpoint: String,
    label: Option<String>,
    need: Resources,
}

/// The workers that have an endpoint and a label.
#[derive(Clone)]
struct Eligible {
    endpoint: String,
    label: Option<String>,
    /// Whether each worker has them.
    workers: Vec<bool>,
}

/// The workers during one placement, and the shapes that were found to have no room. The placer's
/// dump shows it as `Field`, with `no_room` as `full` and `no_eviction` as `fixed`.
#[derive(Clone, Default)]
pub(super) struct FleetSnapshot {
    rooms: Vec<Room>,
    racks: Racks,
    /// Whether each worker may get new runs.
    open: Vec<bool>,
    /// Workers with the endpoints and labels of the shapes so far; a placement has few different ones.
    eligible: Vec<Eligible>,
    /// What was free on each worker at the start of the placement.
    start_free: Vec<Resources>,
    /// Load of the workers of each endpoint.
    loads: Endpoints<Load>,
    /// The kinds of workers that steps have required so far, and whether those of each are mostly idle.
    idle_kinds: Vec<(Kind, bool)>,
    /// What occupies the accelerators of each endpoint's workers, and the free ones of those that may get
    /// new runs.
    usage: Endpoints<Usage>,
    /// At least one worker is in doubt.
    doubtful: bool,
    /// Groups that could be stopped, sorted by task and run; none until they are needed.
    groups: Option<Vec<Group>>,
    /// Shapes for which there is no free capacity.
    no_room: Vec<Shape>,
    /// Shapes for which no room can be made by stopping runs, and on whose behalf that was tried.
    no_eviction: Vec<(Shape, Claimant)>,
    /// Shapes for which stopping runs costs more than their gangs gain, with their expected run times.
    too_costly: Vec<(Shape, Span)>,
}

impl fmt::Debug for FleetSnapshot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Field")
            .field("rooms", &self.rooms)
            .field("racks", &self.racks)
            .field("open", &self.open)
            .field("groups", &self.groups)
            .field("full", &self.no_room)
            .field("fixed", &self.no_eviction)
            .finish()
    }
}

impl FleetSnapshot {
    /// Starts a placement with the given workers, reusing earlier allocations.
    pub(super) fn start_placement<'a>(&mut self, workers: impl Iterator<Item = WorkerView<'a>>) {
        self.groups = None;
        self.no_room.clear();
        self.no_eviction.clear();
        self.too_costly.clear();
        self.open.clear();
        self.eligible.clear();
        self.start_free.clear();
        self.loads.clear();
        self.idle_kinds.clear();
        self.usage.clear();
        self.doubtful = false;
        let (mut count, mut racks_changed) = (0, false);
        for worker in workers {
            if self.rooms.len() == count {
                self.rooms.push(Room::default());
                racks_changed = true;
            }
            let room = &mut self.rooms[count];
            room.free = worker.free;
            room.excess = worker.excess;
            room.claimed = Resources::default();
            room.capacity = worker.capacity;
            if room.rack.as_ref() != worker.rack {
                room.rack = worker.rack.cloned();
                racks_changed = true;
            }
            room.settled = worker.usage.1;
            room.doubt = worker.doubt;
            self.doubtful |= worker.doubt > 0;
            let usage = self.usage.entry(worker.endpoint);
            usage.urgent += worker.usage.0.urgent;
            usage.lent += worker.usage.0.lent;
            self.start_free.push(worker.free);
            if worker.open {
                usage.free = usage.free.saturating_add(worker.free.accelerators);
                usage.capacity = usage.capacity.saturating_add(worker.capacity.accelerators);
                let load = self.loads.entry(worker.endpoint);
                load.add(&worker.free, &worker.capacity);
            }
            room.band = worker.band;
            self.open.push(worker.open);
            count += 1;
        }
        if racks_changed || self.rooms.len() > count {
            self.rooms.truncate(count);
            self.racks = Racks::of(&self.rooms);
        }
    }

    /// Returns what occupies the accelerators of an endpoint's workers.
    pub(super) fn usage(&self, endpoint: &str) -> Usage {
        self.usage.get(endpoint).copied().unwrap_or_default()
    }

    /// Counts accelerators as in use by a unit.
    pub(super) fn count_use(&mut self, endpoint: &str, stay: Stay, accelerators: u64) {
        let usage = self.usage.entry(endpoint);
        usage.free = usage.free.saturating_sub(accelerators);
        match stay {
            Stay::Urgent => usage.urgent += accelerators,
            Stay::Lent => usage.lent += accelerators,
            Stay::Settled => {}
        }
    }

    /// Returns true if less than half of the capacity was in use at the start of the placement, either of
    /// the endpoint or of its workers that may run the step; `eligible` returns true if the worker at a
    /// position has the endpoint and the label of the step.
    ///
    /// Other endpoints don't matter. Nor does it matter that other workers of the endpoint are full if
    /// those for the step are idle; and while the endpoint is mostly idle, a job may not wait for long
    /// although those for the step are busy.
    pub(super) fn is_mostly_idle(
        &mut self,
        endpoint: &str,
        step: &Step,
        eligible: impl Fn(usize) -> bool,
    ) -> bool {
        let Some(load) = self.loads.get(endpoint) else { return false };
        load.is_mostly_idle() || self.is_kind_idle(endpoint, step, eligible)
    }

    /// Returns true if less than half of the capacity of the workers that may run a step is in use.
    fn is_kind_idle(
        &mut self,
        endpoint: &str,
        step: &Step,
        eligible: impl Fn(usize) -> bool,
    ) -> bool {
        let (label, need) = (&step.label, step.need);
        let same = |k: &Kind| k.endpoint == endpoint && k.label == *label && k.need == need;
        if let Some((_, idle)) = self.idle_kinds.iter().find(|(kind, _)| same(kind)) {
            return *idle;
        }
        let known = self.known_eligible(endpoint, label.as_ref(), eligible);
        let mut load = Load::default();
        for (at, room) in self.rooms.iter().enumerate() {
            let suits = self.eligible[known].workers[at] && room.capacity.fits(&need);
            if self.open[at] && suits {
                load.add(&self.start_free[at], &room.capacity);
            }
        }
        let idle = load.is_mostly_idle();
        let kind = Kind { endpoint: endpoint.to_string(), label: label.clone(), need };
        self.idle_kinds.push((kind, idle));
        idle
    }

    /// Returns the free accelerators of an endpoint at the start of the placement, and all of them.
    pub(super) fn accelerators(&self, endpoint: &str) -> (u64, u64) {
        let load = self.loads.get(endpoint).copied().unwrap_or_default();
        (load.free.accelerators, load.capacity.accelerators)
    }

    /// Returns true if a worker has recent faults, or a breaker that isn't closed.
    pub(super) fn is_doubtful(&self) -> bool {
        self.doubtful
    }

    /// Leaves one of the placed tasks on each worker that is on trial.
    pub(super) fn limit_trials(&self, shape: &Shape, placed: &mut Vec<usize>) {
        placed.dedup_by(|b, a| a == b && shape.tolerance.is_trial(self.rooms[*a].doubt));
    }

    /// Returns true if an assignment fits into capacity that is free and not claimed.
    pub(super) fn has_room(&self, assignment: &[(u32, usize)], need: &Resources) -> bool {
        let mut workers: Vec<usize> = assignment.iter().map(|(_, at)| *at).collect();
        workers.sort_unstable();
        workers.chunk_by(|a, b| a == b).all(|tasks| {
            let room = &self.rooms[tasks[0]];
            let slots = room.free.minus(&room.claimed).count(need);
            !room.is_over() && slots >= tasks.len() as u64
        })
    }

    /// Subtracts the capacity of an assignment.
    pub(super) fn take_room(&mut self, assignment: &[(u32, usize)], need: &Resources) {
        for (_, at) in assignment {
            self.rooms[*at].free = self.rooms[*at].free.minus(need);
        }
    }

    /// Keeps further runs away from a worker.
    pub(super) fn close(&mut self, at: usize) {
        self.open[at] = false;
    }

    /// Reserves capacity, one `need` on each of the given workers, as it becomes free.
    pub(super) fn add_claim(&mut self, workers: impl Iterator<Item = usize>, need: &Resources) {
        for at in workers {
            self.rooms[at].claimed = self.rooms[at].claimed.plus(need);
        }
    }

    /// Releases a claim.
    pub(super) fn release_claim(&mut self, workers: impl Iterator<Item = usize>, need: &Resources) {
        for at in workers {
            self.rooms[at].claimed = self.rooms[at].claimed.minus(need);
        }
        // Shapes without room may fit again.
        self.no_room.clear();
        self.no_eviction.clear();
    }

    /// Returns true if it is known that no free capacity fits the shape.
    pub(super) fn lacks_room(&self, shape: &Shape) -> bool {
        self.no_room.iter().any(|f| f.fits_wherever(shape))
    }

    /// Records that no free capacity fits the shape.
    pub(super) fn record_no_room(&mut self, shape: &Shape) {
        self.no_room.push(shape.clone());
    }

    /// Returns true if it is known that no room can be made for the shape by stopping runs.
    pub(super) fn lacks_eviction(&self, shape: &Shape, claimant: Claimant) -> bool {
        self.no_eviction
            .iter()
            .any(|(f, c)| claimant.preempts_no_more_than(*c) && f.fits_wherever(shape))
    }

    /// Records that no room can be made for the shape by stopping runs.
    pub(super) fn record_no_eviction(&mut self, shape: &Shape, claimant: Claimant) {
        self.no_eviction.push((shape.clone(), claimant));
    }

    /// Returns true if stopping runs was found too costly for a gang that needs no more than the shape and
    /// does at least as much work in it.
    pub(super) fn is_too_costly(&self, shape: &Shape, expected: Span) -> bool {
        self.too_costly.iter().any(|(f, known)| f.fits_wherever(shape) && *known >= expected)
    }

    /// Records that stopping runs for the shape costs more than its gang gains.
    pub(super) fn record_too_costly(&mut self, shape: &Shape, expected: Span) {
        self.too_costly.push((shape.clone(), expected));
    }

    /// Returns those of the chosen groups that would have to be stopped.
    fn stopped<'a>(&'a self, chosen: &'a [usize]) -> impl Iterator<Item = &'a Group> + Clone {
        let listed = self.groups.as_deref().unwrap_or_default();
        let stays = |g: &&Group| !g.ending && g.members.iter().any(|m| !m.leaving);
        chosen.iter().map(|number| &listed[*number]).filter(stays)
    }

    /// Returns what is at stake in those of the groups that would have to be stopped.
    pub(super) fn stakes<'a>(
        &'a self,
        chosen: &'a [usize],
    ) -> impl Iterator<Item = Stake> + Clone + 'a {
        self.stopped(chosen).filter_map(|g| g.stake)
    }

    /// Returns true if the groups that could be stopped have been listed.
    pub(super) fn has_groups(&self) -> bool {
        self.groups.is_some()
    }

    /// Stores the groups that could be stopped, sorted by task and run.
    pub(super) fn set_groups(&mut self, groups: Vec<Group>) {
        self.groups = Some(groups);
    }

    /// Records the workspace of each group, and which groups are spare: those that write checkpoints, in the
    /// order of their cost, as long as their workspace is over its share. The last group of a workspace is spare only if the workspace
    /// isn't left under its share, so that a gang wider than the share is not stopped again and again.
    pub(super) fn mark_owners(&mut self, shares: &Shares, owner: impl Fn(&TaskId) -> Owner) {
        let (groups, positions) = (self.groups.get_or_insert_default(), shares.positions());
        let mut left = vec![0_usize; positions.len()];
        for group in groups.iter_mut() {
            group.owner = owner(&group.key.0);
            group.position = positions[group.owner.index()];
            left[group.owner.index()] += usize::from(group.staying() != Resources::default());
        }
        let may_end = |g: &&mut Group| {
            matches!(g.preemptibility, Preemptibility::ForMoreUrgent(_)) && !g.ending && g.saves
        };
        let mut groups: Vec<&mut Group> = groups.iter_mut().filter(may_end).collect();
        groups.sort_by(|a, b| a.cost.total_cmp(&b.cost));
        let mut spare = vec![Resources::default(); positions.len()];
        for group in groups {
            let (owner, staying) = (group.owner, group.staying());
            let before = spare[owner.index()];
            if staying == Resources::default() || !shares.is_over(owner, &before) {
                continue;
            }
            let less = before.plus(&staying);
            if left[owner.index()] > 1 || shares.keeps_share(owner, &less) {
                group.spare = true;
                spare[owner.index()] = less;
                left[owner.index()] -= 1;
            }
        }
    }

    /// Returns the work that is lost if some groups are stopped, in core-seconds.
    pub(super) fn cost_of(&self, chosen: &[usize]) -> f64 {
        self.stopped(chosen).map(|g| g.cost).sum()
    }

    /// Marks a group as being stopped. Returns the run to stop and what its members occupy that aren't
    /// being stopped yet, or `None` if the group is about to end by itself. Its capacity stays in use
    /// until it has ended.
    pub(super) fn mark_stopping(&mut self, group: usize) -> Option<(RunKey, Vec<Resources>)> {
        let group = &mut self.groups.get_or_insert_default()[group];
        if group.ending {
            return None;
        }
        let staying = group.members.iter_mut().filter(|m| !m.leaving);
        let needs = staying.map(|m| {
            m.leaving = true;
            m.need
        });
        Some((group.key, needs.collect()))
    }

    /// Lists the groups that may be stopped for a claimant and belong to it, the cheapest first, each
    /// with what its end frees.
    pub(super) fn cheapest_groups(
        &self,
        claimant: Claimant,
        belongs: impl Fn(&TaskId) -> bool,
    ) -> Vec<(usize, Resources)> {
        let groups = self.groups.iter().flatten().enumerate();
        let mut found: Vec<(usize, &Group)> = groups
            .filter(|(_, g)| g.yields_to(claimant) && !g.ending)
            .filter(|(_, g)| belongs(&g.key.0) && g.members.iter().any(|m| !m.leaving))
            .collect();
        found.sort_by(|(_, a), (_, b)| a.cost.total_cmp(&b.cost));
        found.into_iter().map(|(number, group)| (number, group.staying())).collect()
    }

    /// Returns the position in `eligible` of the workers with an endpoint and a label.
    fn known_eligible(
        &mut self,
        endpoint: &str,
        label: Option<&String>,
        eligible: impl Fn(usize) -> bool,
    ) -> usize {
        let same = |e: &Eligible| e.endpoint == endpoint && e.label.as_ref() == label;
        self.eligible.iter().position(same).unwrap_or_else(|| {
            let workers = (0..self.rooms.len()).map(eligible).collect();
            let (endpoint, label) = (endpoint.to_string(), label.cloned());
            self.eligible.push(Eligible { endpoint, label, workers });
            self.eligible.len() - 1
        })
    }

    /// Returns the workers, with those marked as usable that may run the shape; `eligible` returns
    /// true if the worker at a position has the endpoint and the label that the shape requires.
    pub(super) fn rooms_for(
        &mut self,
        shape: &Shape,
        eligible: impl Fn(usize) -> bool,
    ) -> (&mut [Room], &Racks) {
        let known = self.known_eligible(&shape.endpoint, shape.step.label.as_ref(), eligible);
        let eligible = &self.eligible[known].workers;
        for (at, room) in self.rooms.iter_mut().enumerate() {
            let trusted = !shape.trusted || room.doubt == 0;
            let vacant = room.free == room.capacity && room.claimed == Resources::default();
            let trusted = trusted && shape.tolerance.admits(room.doubt, vacant);
            room.usable = self.open[at] && trusted && (vacant || !shape.alone) && eligible[at];
            (room.siblings, room.nearness) = (0, 0);
            room.victims.clear();
        }
        (&mut self.rooms, &self.racks)
    }

    /// Returns the workers together with the runs on them that are expected to end within a time; the cost
    /// of each is the time in seconds that it still takes.
    pub(super) fn rooms_with_ends(
        &mut self,
        shape: &Shape,
        within: Span,
        eligible: impl Fn(usize) -> bool,
    ) -> (&mut [Room], &Racks) {
        self.rooms_for(shape, eligible);
        let groups = self.groups.iter().flatten().enumerate();
        for (number, group) in groups.filter(|(_, g)| g.ends_in <= within) {
            let shared = group.members.len() > 1;
            for member in &group.members {
                let cost = group.ends_in.secs_f64();
                let victim = Victim { need: member.need, group: number, cost, shared };
                self.rooms[member.worker].victims.push(victim);
            }
        }
        (&mut self.rooms, &self.racks)
    }

    /// Returns the workers together with the runs on them that may be stopped for the shape.
    pub(super) fn rooms_with_victims(
        &mut self,
        shape: &Shape,
        claimant: Claimant,
        eligible: impl Fn(usize) -> bool,
    ) -> (&mut [Room], &Racks) {
        self.rooms_for(shape, eligible);
        for (number, group) in self.groups.iter().flatten().enumerate() {
            let yields = group.yields_to(claimant);
            let shared = group.members.len() > 1;
            let group_cost = group.cost + group.position as f64 * POSITION_COST;
            for member in &group.members {
                let leaving = member.leaving || group.ending;
                let cost = if leaving { 0.0 } else { group_cost };
                if yields || leaving {
                    let victim = Victim { need: member.need, group: number, cost, shared };
                    self.rooms[member.worker].victims.push(victim);
                }
            }
        }
        (&mut self.rooms, &self.racks)
    }
}

#[cfg(test)]
mod tests;
