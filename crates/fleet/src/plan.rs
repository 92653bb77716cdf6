//! Placement: pure functions from what is free to where tasks go.

use bulrushlink_core::RackId;

use crate::model::{Resources, Step};

mod evict;
mod order;
#[cfg(test)]
mod tests;

pub(crate) use evict::{Eviction, evict};
pub(crate) use order::{Rank, Request, rank};

/// A run that could be stopped to make room.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Victim {
    /// What its end frees on this worker.
    pub(crate) need: Resources,
    /// Position of the run among all runs; members of a gang share it.
    pub(crate) group: usize,
    /// Work that would be lost with the whole group, in core-seconds.
    pub(crate) cost: f64,
}

/// A worker as placement sees it.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Room {
    /// What nothing uses.
    pub(crate) free: Resources,
    /// What gangs that wait for stops will take, which may be more than is free by now.
    pub(crate) claimed: Resources,
    /// All that the worker has.
    pub(crate) capacity: Resources,
    /// Rack, if it is known.
    pub(crate) rack: Option<RackId>,
    /// Has the label that the step wants, belongs to its endpoint and may get work.
    pub(crate) usable: bool,
    /// Tasks of the same step that are there already.
    pub(crate) siblings: u32,
    /// Reasons to avoid the worker; fewer are better.
    pub(crate) doubt: u32,
    /// Band of its learned speed; 0 is usual or unknown, and more is faster.
    pub(crate) band: i8,
    /// Runs that may be stopped for the step at hand.
    pub(crate) victims: Vec<Victim>,
}

impl Room {
    /// Returns what is free and not claimed.
    fn open(&self) -> Resources {
        self.free.minus(&self.claimed)
    }

    /// Returns how many tasks of a step go into the given free room.
    fn places(&self, step: &Step, free: &Resources) -> u64 {
        if !self.usable {
            return 0;
        }
        let most = step.per_worker.map_or(u64::MAX, |m| u64::from(m.saturating_sub(self.siblings)));
        free.count(&step.need).min(most)
    }

    /// Returns how many tasks of a step go into what is free.
    fn free_places(&self, step: &Step) -> u64 {
        self.places(step, &self.open())
    }

    /// Returns how many tasks of a step would go into the empty worker.
    fn all_places(&self, step: &Step) -> u64 {
        self.places(step, &self.capacity)
    }
}

/// Which workers a unit prefers by their speed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Haste {
    /// The fastest, as there is little time.
    Urgent,
    /// Those that urgent work doesn't want.
    Patient,
}

impl Haste {
    /// Returns the ranges of bands in which a gang is tried, best first. Its members are only as fast
    /// as the slowest of them, so that all should be alike.
    fn ranges(self, rooms: &[Room], step: &Step) -> Vec<std::ops::RangeInclusive<i8>> {
        let places = |r: &&Room| r.free_places(step) > 0;
        let mut bands: Vec<i8> = rooms.iter().filter(places).map(|r| r.band).collect();
        bands.sort_unstable();
        bands.dedup();
        let (Some(least), Some(most)) = (bands.first().copied(), bands.last().copied()) else {
            return Vec::new();
        };
        if self == Self::Urgent {
            return bands.into_iter().rev().map(|band| band..=most).collect();
        }
        // Usual workers first, then the slow ones, and the fast ones last.
        bands.sort_by_key(|band| (*band > 0, band.abs()));
        bands.into_iter().map(|band| band..=band).chain([least..=most]).collect()
    }

    /// Orders the workers for tasks that don't depend on each other.
    fn rank(self, band: i8) -> i8 {
        match self {
            Self::Urgent => -band,
            Self::Patient => band,
        }
    }
}

/// Order in which workers are filled: trusted ones first, then those with the least left over, so
/// that whole workers stay free for tasks that need one.
fn fill_order(rooms: &[Room], step: &Step, haste: Option<Haste>, among: &[usize]) -> Vec<usize> {
    let mut order: Vec<usize> = among.to_vec();
    let key = |i: &usize| {
        let room = &rooms[*i];
        let left = room.open().minus(&step.need);
        let speed = haste.map_or(0, |h| h.rank(room.band));
        (room.doubt, speed, left.accelerators, left.cpu, *i)
    };
    order.sort_by_key(key);
    order
}

/// Puts up to `count` tasks on the given workers and returns a worker for each.
fn fill(
    rooms: &[Room],
    step: &Step,
    count: usize,
    haste: Option<Haste>,
    among: &[usize],
) -> Vec<usize> {
    let mut placed = Vec::new();
    for i in fill_order(rooms, step, haste, among) {
        let places = rooms[i].free_places(step) as usize;
        let take = places.min(count - placed.len());
        placed.extend(std::iter::repeat_n(i, take));
        if placed.len() == count {
            break;
        }
    }
    placed
}

/// The workers by rack.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Racks {
    /// Sorted by rack; workers without one are left out.
    racks: Vec<(RackId, Vec<usize>)>,
    /// Every worker.
    all: Vec<usize>,
}

impl Racks {
    /// Groups the workers.
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

    /// Returns the racks on which all of `count` tasks run at full speed, were they empty.
    fn good(&self, rooms: &[Room], step: &Step, count: usize) -> Vec<&[usize]> {
        let mut racks: Vec<&[usize]> = match &step.near {
            Some(near) => vec![self.workers(near)],
            None if step.one_rack => self.racks.iter().map(|(_, w)| w.as_slice()).collect(),
            None => Vec::new(),
        };
        let size =
            |workers: &[usize]| workers.iter().map(|i| rooms[*i].all_places(step)).sum::<u64>();
        racks.retain(|workers| size(workers) >= count as u64);
        racks
    }

    /// Where the members of a gang may go, best first: single racks where that matters, and the
    /// whole fleet where it doesn't, or where no rack is large enough.
    fn regions(&self, rooms: &[Room], step: &Step, count: usize) -> Vec<&[usize]> {
        let mut good = self.good(rooms, step, count);
        if good.is_empty() {
            return vec![&self.all];
        }
        let free =
            |workers: &[usize]| workers.iter().map(|i| rooms[*i].free_places(step)).sum::<u64>();
        // The rack with the least room to spare goes first; those that are too full come last.
        good.sort_by_cached_key(|workers| {
            let places = free(workers);
            (places < count as u64, places)
        });
        good
    }
}

/// Tells whether there are places for so many tasks, wherever they are.
fn is_enough(rooms: &[Room], count: usize, places: impl Fn(&Room) -> u64) -> bool {
    let mut left = count as u64;
    rooms.iter().any(|room| {
        left = left.saturating_sub(places(room));
        left == 0
    })
}

/// Places a whole gang into free room, or nothing.
pub(crate) fn place_gang(
    rooms: &[Room],
    racks: &Racks,
    step: &Step,
    count: usize,
    haste: Haste,
) -> Option<Vec<usize>> {
    if !is_enough(rooms, count, |room| room.free_places(step)) {
        return None;
    }
    let regions = racks.regions(rooms, step, count);
    haste.ranges(rooms, step).into_iter().find_map(|bands| {
        regions.iter().find_map(|region| {
            let alike = region.iter().copied().filter(|i| bands.contains(&rooms[*i].band));
            let placed = fill(rooms, step, count, None, &alike.collect::<Vec<usize>>());
            (placed.len() == count).then_some(placed)
        })
    })
}

/// Places as many of `count` single tasks as there is free room for.
///
/// Tasks with data on a rack go there; the others only if `anywhere` is set.
pub(crate) fn place_singles(
    rooms: &[Room],
    step: &Step,
    count: usize,
    anywhere: bool,
    haste: Haste,
) -> Vec<usize> {
    let all: Vec<usize> = (0..rooms.len()).collect();
    let haste = Some(haste);
    let Some(near) = &step.near else { return fill(rooms, step, count, haste, &all) };
    let (home, away): (Vec<usize>, Vec<usize>) =
        all.into_iter().partition(|i| rooms[*i].rack.as_ref() == Some(near));
    let mut placed = fill(rooms, step, count, haste, &home);
    let exists = home.iter().any(|i| rooms[*i].all_places(step) > 0);
    if placed.len() < count && (anywhere || !exists) {
        placed.extend(fill(rooms, step, count - placed.len(), haste, &away));
    }
    placed
}
