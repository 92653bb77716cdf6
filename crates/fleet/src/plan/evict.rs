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

/// A worker for the next task.
#[derive(Clone, Copy, Debug)]
struct Fit {
    room: usize,
    /// Work lost by the stops that it takes, in core-seconds.
    cost: f64,
    /// Recent faults of the worker.
    doubt: u32,
    /// Free accelerators.
    free: u64,
}

impl Fit {
    /// Compares which worker is to be preferred; the lowest goes first.
    fn compare(&self, other: &Self) -> std::cmp::Ordering {
        let costs = self.cost.total_cmp(&other.cost);
        costs.then(self.doubt.cmp(&other.doubt)).then(self.free.cmp(&other.free))
    }
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
    /// Victims of the worker looked at last that aren't evicted yet; kept to reuse its allocation.
    left: Vec<&'a Victim>,
    /// Groups that have to be evicted for one more task to fit on that worker.
    groups: Vec<usize>,
    /// Those of them that may have runs on other workers.
    shared: Vec<usize>,
}

impl<'a> Search<'a> {
    /// Returns the resources that must be free on a worker for one more task to fit.
    fn required(&self, room: usize) -> Resources {
        taken_before(&self.rooms[room]).plus(&self.step.need.times(self.used[room] + 1))
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

    /// Finds a cheap way to fit one more task on a worker: evicts victims in order of cost, then removes
    /// those that turn out not to be needed. The groups to evict are left in `groups`.
    ///
    /// Load pattern: this looks at each run of a thousand full workers for each urgent gang, so it
    /// allocates nothing for a worker.
    fn find_fit(&mut self, room: usize) -> Option<Fit> {
        let (rooms, step) = (self.rooms, self.step);
        let worker = &rooms[room];
        let tasks_max = step.per_worker.map_or(u64::MAX, u64::from);
        if !worker.usable
            || worker.band < self.band_min
            || self.used[room] + u64::from(worker.siblings) >= tasks_max
        {
            return None;
        }
        let required = self.required(room);
        let mut free = self.free_after_evictions(room);
        self.groups.clear();
        self.shared.clear();
        let mut cost = 0.0;
        if !free.fits(&required) {
            let evicted = &self.evicted;
            let stays = |v: &&'a Victim| evicted.binary_search(&v.group).is_err();
            self.left.clear();
            self.left.extend(worker.victims.iter().filter(stays));
            self.left.sort_by(|a, b| a.cost.total_cmp(&b.cost).then(a.group.cmp(&b.group)));
            let mut taken = 0;
            for victim in &self.left {
                if free.fits(&required) {
                    break;
                }
                free = free.plus(&victim.need);
                taken += 1;
            }
            if !free.fits(&required) {
                return None;
            }
            for victim in needed_victims(&self.left[..taken], free, &required) {
                cost += victim.cost;
                self.groups.push(victim.group);
                if victim.shared {
                    self.shared.push(victim.group);
                }
            }
        }
        Some(Fit { room, cost, doubt: worker.doubt, free: worker.free.accelerators })
    }

    /// Places the next task on the worker of `fit`, and evicts the groups in `groups`.
    fn apply(&mut self, fit: &Fit) {
        for group in &self.groups {
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

/// Removes the victims that need not be evicted after all, the most costly first, and returns one victim of
/// each remaining group.
fn needed_victims<'a>(
    taken: &[&'a Victim],
    mut free: Resources,
    required: &Resources,
) -> impl Iterator<Item = &'a Victim> {
    // Members of a gang are adjacent here, as they have the same cost and group.
    taken.chunk_by(|a, b| a.group == b.group).rev().filter_map(move |group| {
        let need = group.iter().fold(Resources::default(), |sum, v| sum.plus(&v.need));
        let rest = free.minus(&need);
        if !rest.fits(required) {
            return Some(group[0]);
        }
        free = rest;
        None
    })
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
    let mut search = Search {
        rooms,
        step,
        band_min,
        evicted: Vec::new(),
        used: vec![0; rooms.len()],
        cost: 0.0,
        left: Vec::new(),
        groups: Vec::new(),
        shared: Vec::new(),
    };
    let mut fits: Vec<Option<Fit>> = candidates.iter().map(|room| search.find_fit(*room)).collect();
    let mut placed = Vec::new();
    while placed.len() < count {
        let cheapest = *fits.iter().flatten().min_by(|a, b| a.compare(b))?;
        // Nothing on the worker has changed since, so this gives the same fit, with its groups.
        let chosen = search.find_fit(cheapest.room)?;
        search.apply(&chosen);
        placed.push(chosen.room);
        // Only the chosen worker and the workers of the evicted gangs have changed.
        let shared = search.shared.clone();
        let shares = |v: &Victim| shared.contains(&v.group);
        for (fit, room) in fits.iter_mut().zip(candidates) {
            let changed = || !shared.is_empty() && rooms[*room].victims.iter().any(shares);
            if *room == chosen.room || changed() {
                *fit = search.find_fit(*room);
            }
        }
    }
    Some(Eviction { placed, groups: search.evicted, cost: search.cost })
}
