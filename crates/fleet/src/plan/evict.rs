//! Making room for work that may displace other work.

use crate::model::{Resources, Step};

use super::{Racks, Room, Victim, is_enough};

/// The slowest bands that are tried, one after the other.
const BAND_MINS: [i8; 2] = [0, i8::MIN];

/// Where a gang goes once the chosen runs have been stopped.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Eviction {
    /// A worker for each task.
    pub(crate) placed: Vec<usize>,
    /// Groups of runs to stop, sorted and without repeats.
    pub(crate) groups: Vec<usize>,
    /// Work that is lost, in core-seconds.
    pub(crate) cost: f64,
}

/// A worker with the groups that have to go for the next task to fit.
#[derive(Clone, Debug)]
struct Offer {
    room: usize,
    groups: Vec<usize>,
    cost: f64,
}

/// The state of one search: what is free once the groups chosen so far have gone.
struct Search<'a> {
    rooms: &'a [Room],
    step: &'a Step,
    /// Slower workers are left out.
    band_min: i8,
    /// Sorted.
    gone: Vec<usize>,
    /// Tasks placed on each worker so far.
    used: Vec<u64>,
    cost: f64,
}

impl Search<'_> {
    /// Returns what the worker needs free for one more task.
    fn wanted(&self, room: usize) -> Resources {
        // Claims are met out of the same stops.
        let tasks = self.used[room] + 1;
        (0..tasks).fold(self.rooms[room].claimed, |sum, _| sum.plus(&self.step.need))
    }

    /// Returns what is free on a worker without the groups that are gone already.
    fn freed(&self, room: usize) -> Resources {
        let place = &self.rooms[room];
        let gone = place.victims.iter().filter(|v| self.is_gone(v.group));
        gone.fold(place.free, |sum, v| sum.plus(&v.need))
    }

    fn is_gone(&self, group: usize) -> bool {
        self.gone.binary_search(&group).is_ok()
    }

    /// Returns the cheapest way to fit one more task on a worker.
    fn offer(&self, room: usize) -> Option<Offer> {
        let place = &self.rooms[room];
        let most = self.step.per_worker.map_or(u64::MAX, u64::from);
        if !place.usable
            || place.band < self.band_min
            || self.used[room] + u64::from(place.siblings) >= most
        {
            return None;
        }
        let wanted = self.wanted(room);
        let mut free = self.freed(room);
        let mut taken: Vec<&Victim> = Vec::new();
        if !free.holds(&wanted) {
            let mut left: Vec<&Victim> =
                place.victims.iter().filter(|v| !self.is_gone(v.group)).collect();
            left.sort_by(|a, b| a.cost.total_cmp(&b.cost).then(a.group.cmp(&b.group)));
            for victim in left {
                if free.holds(&wanted) {
                    break;
                }
                free = free.plus(&victim.need);
                taken.push(victim);
            }
        }
        if !free.holds(&wanted) {
            return None;
        }
        Some(prune(room, taken, free, &wanted))
    }

    /// Takes an offer; returns the groups that go with it and stayed until now.
    fn take(&mut self, offer: &Offer) {
        for group in &offer.groups {
            if let Err(at) = self.gone.binary_search(group) {
                self.gone.insert(at, *group);
            }
        }
        self.used[offer.room] += 1;
        self.cost += offer.cost;
    }
}

/// Drops victims that needn't go after all, the dearest first, and makes the offer.
fn prune(room: usize, taken: Vec<&Victim>, mut free: Resources, wanted: &Resources) -> Offer {
    let mut offer = Offer { room, groups: Vec::new(), cost: 0.0 };
    // The members of a gang on this worker come one after the other, as their cost is the same.
    let members = taken.chunk_by(|a, b| a.group == b.group).rev();
    for group in members {
        let part = group.iter().fold(Resources::default(), |sum, v| sum.plus(&v.need));
        let rest = free.minus(&part);
        if rest.holds(wanted) {
            free = rest;
        } else {
            offer.groups.push(group[0].group);
            offer.cost += group[0].cost;
        }
    }
    offer
}

/// Finds the cheapest way to place a whole gang, stopping runs where that is allowed; on workers that
/// aren't slow if it can be, since the gang is as fast as the slowest of them.
pub(crate) fn evict(rooms: &[Room], racks: &Racks, step: &Step, count: usize) -> Option<Eviction> {
    BAND_MINS.into_iter().find_map(|band_min| evict_from(rooms, racks, step, count, band_min))
}

fn evict_from(
    rooms: &[Room],
    racks: &Racks,
    step: &Step,
    count: usize,
    band_min: i8,
) -> Option<Eviction> {
    // All that may be stopped might not be enough.
    let places = |room: &Room| {
        if room.band < band_min {
            return 0;
        }
        let all = room.victims.iter().fold(room.free, |sum, v| sum.plus(&v.need));
        room.places(step, &all.minus(&room.claimed))
    };
    if !is_enough(rooms, count, places) {
        return None;
    }
    let regions = racks.regions(rooms, step, count);
    let found = regions.iter().filter_map(|among| evict_among(rooms, step, count, among, band_min));
    found.min_by(|a, b| a.cost.total_cmp(&b.cost))
}

fn evict_among(
    rooms: &[Room],
    step: &Step,
    count: usize,
    among: &[usize],
    band_min: i8,
) -> Option<Eviction> {
    let used = vec![0; rooms.len()];
    let mut search = Search { rooms, step, band_min, gone: Vec::new(), used, cost: 0.0 };
    let mut offers: Vec<Option<Offer>> = among.iter().map(|room| search.offer(*room)).collect();
    let key = |o: &Offer| (o.cost, rooms[o.room].doubt, rooms[o.room].free.accelerators);
    let mut placed = Vec::new();
    while placed.len() < count {
        let cheapest = offers.iter().flatten().min_by(|a, b| {
            let (a, b) = (key(a), key(b));
            a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)).then(a.2.cmp(&b.2))
        })?;
        let chosen = cheapest.clone();
        search.take(&chosen);
        placed.push(chosen.room);
        // Only the chosen worker and those where the same gangs run have changed.
        for (offer, room) in offers.iter_mut().zip(among) {
            let shares = |v: &Victim| chosen.groups.contains(&v.group);
            if *room == chosen.room || rooms[*room].victims.iter().any(shares) {
                *offer = search.offer(*room);
            }
        }
    }
    Some(Eviction { placed, groups: search.gone, cost: search.cost })
}
