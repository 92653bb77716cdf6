//! Making room for work that may displace other work.

use crate::model::{Resources, Step};

use super::{Room, regions};

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
struct Offer {
    room: usize,
    groups: Vec<usize>,
    cost: f64,
}

/// The state of one search: what is free once the groups chosen so far have gone.
struct Search<'a> {
    rooms: &'a [Room],
    step: &'a Step,
    gone: Vec<usize>,
    used: Vec<u64>,
    cost: f64,
}

impl Search<'_> {
    /// Returns what is free on a worker without the given groups and the tasks placed so far.
    fn free(&self, room: usize, more: &[usize]) -> Resources {
        let place = &self.rooms[room];
        let gone = |g: usize| self.gone.binary_search(&g).is_ok() || more.contains(&g);
        let mut free = place.free;
        for victim in place.victims.iter().filter(|v| gone(v.group)) {
            free = free.plus(&victim.need);
        }
        // Claims are met out of the same stops, so that they come off last.
        free = free.minus(&place.claimed);
        for _ in 0..self.used[room] {
            free = free.minus(&self.step.need);
        }
        free
    }

    /// Returns the cheapest way to fit one more task on a worker.
    fn offer(&self, room: usize) -> Option<Offer> {
        let place = &self.rooms[room];
        let most = self.step.per_worker.map_or(u64::MAX, u64::from);
        if !place.usable || self.used[room] + u64::from(place.siblings) >= most {
            return None;
        }
        let mut groups = Vec::new();
        let mut cost = 0.0;
        let mut order: Vec<usize> = (0..place.victims.len()).collect();
        order.sort_by(|a, b| place.victims[*a].cost.total_cmp(&place.victims[*b].cost));
        for at in order {
            if self.free(room, &groups).holds(&self.step.need) {
                break;
            }
            let victim = &place.victims[at];
            if self.gone.binary_search(&victim.group).is_err() && !groups.contains(&victim.group) {
                groups.push(victim.group);
                cost += victim.cost;
            }
        }
        if !self.free(room, &groups).holds(&self.step.need) {
            return None;
        }
        self.prune(room, &mut groups, &mut cost);
        Some(Offer { room, groups, cost })
    }

    /// Drops groups that needn't go after all, the dearest first.
    fn prune(&self, room: usize, groups: &mut Vec<usize>, cost: &mut f64) {
        let mut at = groups.len();
        while at > 0 {
            at -= 1;
            let group = groups.remove(at);
            if self.free(room, groups).holds(&self.step.need) {
                let victims = &self.rooms[room].victims;
                *cost -= victims.iter().find(|v| v.group == group).map_or(0.0, |v| v.cost);
            } else {
                groups.insert(at, group);
            }
        }
    }

    fn take(&mut self, offer: Offer) {
        for group in offer.groups {
            if let Err(at) = self.gone.binary_search(&group) {
                self.gone.insert(at, group);
            }
        }
        self.used[offer.room] += 1;
        self.cost += offer.cost;
    }
}

/// Finds the cheapest way to place a whole gang, stopping runs where that is allowed.
pub(crate) fn evict(rooms: &[Room], step: &Step, count: usize) -> Option<Eviction> {
    let mut best: Option<Eviction> = None;
    for among in regions(rooms, step, count) {
        let Some(found) = evict_among(rooms, step, count, &among) else { continue };
        if best.as_ref().is_none_or(|b| found.cost < b.cost) {
            best = Some(found);
        }
    }
    best
}

fn evict_among(rooms: &[Room], step: &Step, count: usize, among: &[usize]) -> Option<Eviction> {
    let used = vec![0; rooms.len()];
    let mut search = Search { rooms, step, gone: Vec::new(), used, cost: 0.0 };
    let mut placed = Vec::new();
    while placed.len() < count {
        let offers = among.iter().filter_map(|i| search.offer(*i));
        let key = |o: &Offer| (o.cost, rooms[o.room].doubt, rooms[o.room].free.accelerators);
        let cheapest = offers.min_by(|a, b| {
            let (a, b) = (key(a), key(b));
            a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)).then(a.2.cmp(&b.2))
        })?;
        placed.push(cheapest.room);
        search.take(cheapest);
    }
    Some(Eviction { placed, groups: search.gone, cost: search.cost })
}
