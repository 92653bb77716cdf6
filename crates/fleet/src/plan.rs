//! Placement: pure functions that choose workers for tasks from the free resources.

use bulrushlink_core::RackId;

use crate::model::{Resources, Step};
use crate::policy::Widths;

mod evict;
mod order;
#[cfg(test)]
mod tests;

pub(crate) use evict::{Eviction, evict};
pub(crate) use order::{Rank, RankInput, rank};

/// A run that may be stopped to free resources.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Victim {
    /// Resources that its end frees on this worker.
    pub(crate) need: Resources,
    /// Index of the group of runs that stop together: a gang or a single run.
    pub(crate) group: usize,
    /// Work lost if the whole group is stopped, in core-seconds.
    pub(crate) cost: f64,
    /// The group may have runs on other workers too.
    pub(crate) shared: bool,
}

/// Snapshot of a worker for placement.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Room {
    /// Resources that no run uses.
    pub(crate) free: Resources,
    /// What the runs take beyond the capacity; nothing of such a resource is free.
    pub(crate) excess: Resources,
    /// Resources claimed for gangs that wait for victims to stop; may exceed what is free so far.
    pub(crate) claimed: Resources,
    /// Total resources.
    pub(crate) capacity: Resources,
    /// Rack, if it is known.
    pub(crate) rack: Option<RackId>,
    /// The worker may get new runs and has the step's endpoint and label.
    pub(crate) usable: bool,
    /// Number of the step's tasks that are already on the worker.
    pub(crate) siblings: u32,
    /// Number of recent faults; workers with fewer are preferred.
    pub(crate) doubt: u32,
    /// Accelerators in use by long runs whose stop would lose much work.
    pub(crate) settled: u64,
    /// How near it is to where runs of the job failed or were lost; 0 is elsewhere.
    pub(crate) nearness: u8,
    /// Band of the learned speed; 0 is average or unknown, and higher is faster.
    pub(crate) band: i8,
    /// Runs that may be stopped for the step that is being placed.
    pub(crate) victims: Vec<Victim>,
}

impl Room {
    /// Returns the free resources that are not claimed.
    fn unclaimed(&self) -> Resources {
        self.free.minus(&self.claimed)
    }

    /// Returns how many tasks of a step fit into the given free resources of this worker.
    fn task_slots(&self, step: &Step, free: &Resources) -> u64 {
        if !self.usable {
            return 0;
        }
        let most = step.per_worker.map_or(u64::MAX, |m| u64::from(m.saturating_sub(self.siblings)));
        free.count(&step.need).min(most)
    }

    /// Returns true if the runs take more than the capacity of at least one resource.
    pub(crate) fn is_over(&self) -> bool {
        self.excess != Resources::default()
    }

    /// Returns how many tasks of a step fit into the unclaimed free resources. A worker that is over
    /// its capacity has no room for any task, not even for one that needs other resources.
    fn free_slots(&self, step: &Step) -> u64 {
        if self.is_over() {
            return 0;
        }
        self.task_slots(step, &self.unclaimed())
    }

    /// Returns how many tasks of a step would fit if the worker were empty.
    fn empty_slots(&self, step: &Step) -> u64 {
        self.task_slots(step, &self.capacity)
    }
}

/// Preference of a unit of work for the speed of workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SpeedPreference {
    /// Prefers the fastest workers.
    Fastest,
    /// Leaves the fast workers to urgent work.
    SpareFastest,
}

impl SpeedPreference {
    /// Returns the speed bands to which a gang may be limited, best first. A gang is as slow as its
    /// slowest member, so its workers should have about the same speed.
    fn band_ranges(self, rooms: &[Room], step: &Step) -> Vec<std::ops::RangeInclusive<i8>> {
        let fits = |r: &&Room| r.free_slots(step) > 0;
        let mut bands: Vec<i8> = rooms.iter().filter(fits).map(|r| r.band).collect();
        bands.sort_unstable();
        bands.dedup();
        let (Some(least), Some(most)) = (bands.first().copied(), bands.last().copied()) else {
            return Vec::new();
        };
        if self == Self::Fastest {
            return bands.into_iter().rev().map(|band| band..=most).collect();
        }
        // Workers of average speed come first, then slow ones, and fast ones last.
        bands.sort_by_key(|band| (*band > 0, band.abs()));
        bands.into_iter().map(|band| band..=band).chain([least..=most]).collect()
    }

    /// Returns the sort key of a band for single tasks, which need no workers of equal speed.
    fn speed_key(self, band: i8) -> i8 {
        match self {
            Self::Fastest => -band,
            Self::SpareFastest => band,
        }
    }
}

/// How the worker of a task is chosen among equally trusted and fast ones.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Packing {
    /// The fullest worker that fits.
    Fullest,
    /// The worker on which the least is lost of what the widths that are wanted can use.
    Usable(Widths),
    /// The same, but first workers that have long runs whose stop would lose much work: the workers
    /// without any are left to urgent work.
    Gathered(Widths),
}

impl Packing {
    /// Returns the sort key of a worker; lower is better.
    fn key(&self, room: &Room, step: &Step, count: usize) -> (bool, u64) {
        let (widths, apart) = match self {
            Self::Fullest => return (false, 0),
            Self::Usable(widths) => (widths, false),
            Self::Gathered(widths) => (widths, room.settled == 0),
        };
        let tasks = room.free_slots(step).min(count as u64);
        let free = room.unclaimed().accelerators;
        let left = free.saturating_sub(tasks.saturating_mul(step.need.accelerators));
        (apart, widths.loss(free, left, tasks))
    }
}

/// Returns the candidates in the order in which they are filled: by recent faults, then by the
/// distance from failed runs of the job, then by preferred speed, then best fit first, so that whole
/// workers stay free for tasks that need one.
fn fill_order(
    rooms: &[Room],
    step: &Step,
    count: usize,
    (preference, packing): (Option<SpeedPreference>, Packing),
    candidates: &[usize],
) -> Vec<usize> {
    let mut order: Vec<usize> = candidates.to_vec();
    let key = |i: &usize| {
        let room = &rooms[*i];
        let left = room.unclaimed().minus(&step.need);
        let speed = preference.map_or(0, |p| p.speed_key(room.band));
        let loss = packing.key(room, step, count);
        (room.doubt, room.nearness, speed, loss, left.accelerators, left.cpu, *i)
    };
    order.sort_by_cached_key(key);
    order
}

/// Places up to `count` tasks on the candidates and returns a worker for each placed task.
fn fill(
    rooms: &[Room],
    step: &Step,
    count: usize,
    choice: (Option<SpeedPreference>, Packing),
    candidates: &[usize],
) -> Vec<usize> {
    let mut placed = Vec::new();
    for i in fill_order(rooms, step, count, choice, candidates) {
        let slots = rooms[i].free_slots(step) as usize;
        let taken = slots.min(count - placed.len());
        placed.extend(std::iter::repeat_n(i, taken));
        if placed.len() == count {
            break;
        }
    }
    placed
}

/// Indices of the workers, grouped by rack.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Racks {
    /// Sorted by rack, without the workers whose rack is unknown.
    racks: Vec<(RackId, Vec<usize>)>,
    /// All workers.
    all: Vec<usize>,
}

impl Racks {
    /// Groups the workers by rack.
    pub(crate) fn of(rooms: &[Room]) -> Self {
        let mut racks: Vec<(RackId, Vec<usize>)> = Vec::new();
        for (i, room) in rooms.iter().enumerate() {
            let Some(rack) = &room.rack else { continue };
            match racks.binary_search_by(|(id, _)| id.cmp(rack)) {
                Ok(at) => racks[at].1.push(i),
                Err(at) => racks.insert(at, (rack.clone(), vec![i])),
            }
        }
        Self { racks, all: (0..rooms.len()).collect() }
    }

    fn workers(&self, rack: &RackId) -> &[usize] {
        match self.racks.binary_search_by(|(id, _)| id.cmp(rack)) {
            Ok(at) => &self.racks[at].1,
            Err(_) => &[],
        }
    }

    /// Returns the racks on which the tasks run at full speed and which, if empty, have slots for
    /// all `count` of them. There are none if the step does not depend on racks.
    fn suitable_racks(&self, rooms: &[Room], step: &Step, count: usize) -> Vec<&[usize]> {
        let mut racks: Vec<&[usize]> = match &step.near {
            Some(near) => vec![self.workers(near)],
            None if step.one_rack => self.racks.iter().map(|(_, w)| w.as_slice()).collect(),
            None => Vec::new(),
        };
        let slots = |workers: &[usize]| sum_slots(workers, |i| rooms[i].empty_slots(step));
        racks.retain(|workers| slots(workers) >= count as u64);
        racks
    }

    /// Returns the sets of workers within which a gang may be placed, best first: the suitable
    /// racks if the step depends on racks, or all workers if it doesn't or no rack is large enough.
    /// If `anywhere` is set, all workers are the last resort in any case.
    fn candidate_sets(
        &self,
        rooms: &[Room],
        step: &Step,
        count: usize,
        anywhere: bool,
    ) -> Vec<&[usize]> {
        let mut racks = self.suitable_racks(rooms, step, count);
        if racks.is_empty() {
            return vec![&self.all];
        }
        let free = |workers: &[usize]| sum_slots(workers, |i| rooms[i].free_slots(step));
        // Best fit: the rack with the fewest free slots comes first, racks that are too full last.
        racks.sort_by_cached_key(|workers| {
            let slots = free(workers);
            (slots < count as u64, slots)
        });
        if anywhere {
            racks.push(&self.all);
        }
        racks
    }
}

/// Returns the sum of the slots of some workers. A task that needs nothing fits any number of times.
fn sum_slots(workers: &[usize], slots: impl Fn(usize) -> u64) -> u64 {
    workers.iter().fold(0, |sum, i| sum.saturating_add(slots(*i)))
}

/// Returns true if the workers together have slots for `count` tasks; a cheap necessary condition
/// that spares a search.
fn has_slots_for(rooms: &[Room], count: usize, slots: impl Fn(&Room) -> u64) -> bool {
    let mut left = count as u64;
    rooms.iter().any(|room| {
        left = left.saturating_sub(slots(room));
        left == 0
    })
}

/// Places a whole gang on free resources and returns a worker for each member, or `None`.
///
/// A gang that belongs on one rack is spread over several only if `anywhere` is set or no rack
/// could hold it even if empty.
pub(crate) fn place_gang(
    rooms: &[Room],
    racks: &Racks,
    step: &Step,
    count: usize,
    anywhere: bool,
    (preference, packing): (SpeedPreference, Packing),
) -> Option<Vec<usize>> {
    if !has_slots_for(rooms, count, |room| room.free_slots(step)) {
        return None;
    }
    let sets = racks.candidate_sets(rooms, step, count, anywhere);
    preference.band_ranges(rooms, step).into_iter().find_map(|bands| {
        sets.iter().find_map(|set| {
            let candidates = set.iter().copied().filter(|i| bands.contains(&rooms[*i].band));
            let placed =
                fill(rooms, step, count, (None, packing), &candidates.collect::<Vec<usize>>());
            (placed.len() == count).then_some(placed)
        })
    })
}

/// Places as many of `count` independent tasks as fit, and returns a worker for each of these.
///
/// Tasks with data on a rack go to that rack. They go elsewhere only if `anywhere` is set or the
/// rack could not run them even if empty.
pub(crate) fn place_singles(
    rooms: &[Room],
    step: &Step,
    count: usize,
    anywhere: bool,
    (preference, packing): (SpeedPreference, Packing),
) -> Vec<usize> {
    let all: Vec<usize> = (0..rooms.len()).collect();
    let choice = (Some(preference), packing);
    let Some(near) = &step.near else { return fill(rooms, step, count, choice, &all) };
    let (home, away): (Vec<usize>, Vec<usize>) =
        all.into_iter().partition(|i| rooms[*i].rack.as_ref() == Some(near));
    let mut placed = fill(rooms, step, count, choice, &home);
    let home_usable = home.iter().any(|i| rooms[*i].empty_slots(step) > 0);
    if placed.len() < count && (anywhere || !home_usable) {
        placed.extend(fill(rooms, step, count - placed.len(), choice, &away));
    }
    placed
}
