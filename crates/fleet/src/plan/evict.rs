//! Preemption: chooses the runs to stop so that a gang fits.

use crate::model::{Resources, Step};

use super::{Racks, Room, Victim, has_slots_for};

/// Lowest speed bands allowed, in the order in which they are tried: first without slow workers.
const BAND_MIN_STEPS: [i8; 2] = [0, i8::MIN];

/// Placement of a gang that requires other runs to be stopped first.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Eviction {
    /// The worker of each task.
    pub(crate) placed: Vec<usize>,
    /// Groups of runs to stop, sorted and without duplicates.
    pub(crate) groups: Vec<usize>,
    /// Work lost by the stops, in core-seconds.
    pub(crate) cost: f64,
}

/// A worker for the next task, with the groups that have to be evicted for it to fit.
#[derive(Clone, Debug)]
struct Fit {
    room: usize,
    groups: Vec<usize>,
    cost: f64,
}

/// State of a greedy search: the groups evicted and the tasks placed so far.
struct Search<'a> {
    rooms: &'a [Room],
    step: &'a Step,
    /// Workers in lower speed bands are excluded.
    band_min: i8,
    /// Groups evicted so far, sorted.
    evicted: Vec<usize>,
    /// Number of tasks placed on each worker so far.
    used: Vec<u64>,
    /// Work lost so far, in core-seconds.
    cost: f64,
}

impl Search<'_> {
    /// Returns the resources that must be free on a worker for one more task to fit.
    fn required(&self, room: usize) -> Resources {
        let tasks = self.used[room] + 1;
        (0..tasks).fold(taken_before(&self.rooms[room]), |sum, _| sum.plus(&self.step.need))
    }

    /// Returns what is free on a worker once the groups evicted so far have ended.
    fn free_after_evictions(&self, room: usize) -> Resources {
        let worker = &self.rooms[room];
        let ended = worker.victims.iter().filter(|v| self.is_evicted(v.group));
        ended.fold(worker.free, |sum, v| sum.plus(&v.need))
    }

    fn is_evicted(&self, group: usize) -> bool {
        self.evicted.binary_search(&group).is_ok()
    }

    /// Returns a cheap way to fit one more task on a worker: evicts victims in order of cost, then
    /// removes those that turn out not to be needed.
    fn find_fit(&self, room: usize) -> Option<Fit> {
        let worker = &self.rooms[room];
        let tasks_max = self.step.per_worker.map_or(u64::MAX, u64::from);
        if !worker.usable
            || worker.band < self.band_min
            || self.used[room] + u64::from(worker.siblings) >= tasks_max
        {
            return None;
        }
        let required = self.required(room);
        let mut free = self.free_after_evictions(room);
        let mut taken: Vec<&Victim> = Vec::new();
        if !free.fits(&required) {
            let mut left: Vec<&Victim> =
                worker.victims.iter().filter(|v| !self.is_evicted(v.group)).collect();
            left.sort_by(|a, b| a.cost.total_cmp(&b.cost).then(a.group.cmp(&b.group)));
            for victim in left {
                if free.fits(&required) {
                    break;
                }
                free = free.plus(&victim.need);
                taken.push(victim);
            }
        }
        if !free.fits(&required) {
            return None;
        }
        Some(prune_victims(room, taken, free, &required))
    }

    /// Places the next task on the worker of `fit` and evicts the groups of `fit`.
    fn apply(&mut self, fit: &Fit) {
        for group in &fit.groups {
            if let Err(at) = self.evicted.binary_search(group) {
                self.evicted.insert(at, *group);
            }
        }
        self.used[fit.room] += 1;
        self.cost += fit.cost;
    }
}

/// Returns what the resources that become free on a worker must cover before any task fits: the claims
/// of waiting gangs, and what the runs take beyond the capacity.
fn taken_before(room: &Room) -> Resources {
    room.claimed.plus(&room.excess)
}

/// Removes the victims that need not be evicted after all, the most costly first, and returns the
/// fit with the remaining ones.
fn prune_victims(
    room: usize,
    taken: Vec<&Victim>,
    mut free: Resources,
    required: &Resources,
) -> Fit {
    let mut fit = Fit { room, groups: Vec::new(), cost: 0.0 };
    // Members of a gang are adjacent here, as they have the same cost and group.
    let groups = taken.chunk_by(|a, b| a.group == b.group).rev();
    for group in groups {
        let need = group.iter().fold(Resources::default(), |sum, v| sum.plus(&v.need));
        let rest = free.minus(&need);
        if rest.fits(required) {
            free = rest;
        } else {
            fit.groups.push(group[0].group);
            fit.cost += group[0].cost;
        }
    }
    fit
}

/// Searches greedily for a placement of a whole gang that loses little work by stopping victims.
///
/// Slow workers are used only if the gang can't be placed without them, since it is as slow as its
/// slowest member.
pub(crate) fn evict(rooms: &[Room], racks: &Racks, step: &Step, count: usize) -> Option<Eviction> {
    BAND_MIN_STEPS
        .into_iter()
        .find_map(|band_min| evict_with_speed(rooms, racks, step, count, band_min))
}

fn evict_with_speed(
    rooms: &[Room],
    racks: &Racks,
    step: &Step,
    count: usize,
    band_min: i8,
) -> Option<Eviction> {
    // Skips the search if the gang would not fit even with all victims evicted.
    let slots = |room: &Room| {
        if room.band < band_min {
            return 0;
        }
        let all = room.victims.iter().fold(room.free, |sum, v| sum.plus(&v.need));
        let taken = taken_before(room);
        if all.fits(&taken) { room.task_slots(step, &all.minus(&taken)) } else { 0 }
    };
    if !has_slots_for(rooms, count, slots) {
        return None;
    }
    let sets = racks.candidate_sets(rooms, step, count, false);
    let found = sets.iter().filter_map(|set| evict_within(rooms, step, count, set, band_min));
    found.min_by(|a, b| a.cost.total_cmp(&b.cost))
}

fn evict_within(
    rooms: &[Room],
    step: &Step,
    count: usize,
    candidates: &[usize],
    band_min: i8,
) -> Option<Eviction> {
    let used = vec![0; rooms.len()];
    let mut search = Search { rooms, step, band_min, evicted: Vec::new(), used, cost: 0.0 };
    let mut fits: Vec<Option<Fit>> = candidates.iter().map(|room| search.find_fit(*room)).collect();
    let key = |f: &Fit| (f.cost, rooms[f.room].doubt, rooms[f.room].free.accelerators);
    let mut placed = Vec::new();
    while placed.len() < count {
        let cheapest = fits.iter().flatten().min_by(|a, b| {
            let (a, b) = (key(a), key(b));
            a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)).then(a.2.cmp(&b.2))
        })?;
        let chosen = cheapest.clone();
        search.apply(&chosen);
        placed.push(chosen.room);
        // Only the chosen worker and the workers of the evicted gangs have changed.
        for (fit, room) in fits.iter_mut().zip(candidates) {
            let shares = |v: &Victim| chosen.groups.contains(&v.group);
            if *room == chosen.room || rooms[*room].victims.iter().any(shares) {
                *fit = search.find_fit(*room);
            }
        }
    }
    Some(Eviction { placed, groups: search.evicted, cost: search.cost })
}
