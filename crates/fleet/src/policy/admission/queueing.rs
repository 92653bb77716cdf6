//! Forecast of waits: plays the waiting work in its order into the room that is free and becomes free.
//!
//! Jobs yet to come count as well: cheap and urgent ones go before those that wait, and a forecast without
//! them is far too short while demand exceeds the capacity. They are taken to be like those of the last
//! seconds.
//!
//! Room is a single figure, the share of a usual worker that a task takes in its scarcest resource. How it
//! is spread over the workers is left out; the measured error of the forecast corrects for that.

use bulrushlink_core::Span;

use crate::model::Resources;

use super::WIDTHS;

/// Length of an interval of the forecast; shorter than the least constant of an allowed time.
const INTERVAL_MS: u64 = 200;
/// Number of intervals, two minutes in all; jobs of 10 s may wait for 80 s in the least urgent queues.
/// Longer waits count as two minutes.
const INTERVALS: usize = 600;
/// Scale of the shares: a whole worker, or a whole ceiling.
const WHOLE: u64 = 1_000;
/// Scale of the shares of a ceiling, which may hold thousands of tasks.
const CEILING_WHOLE: u64 = 1_000_000;

/// Returns the share of a worker that a task takes in its scarcest resource, in thousandths.
pub(crate) fn share(need: &Resources, worker: &Resources) -> u64 {
    largest_part(need, worker, WHOLE).max(1)
}

fn largest_part(need: &Resources, whole: &Resources, scale: u64) -> u64 {
    let part = |need: u64, whole: u64| match whole {
        0 => 0,
        _ => (u128::from(need) * u128::from(scale) / u128::from(whole)) as u64,
    };
    let parts = [
        part(need.cpu, whole.cpu),
        part(need.memory, whole.memory),
        part(need.accelerators, whole.accelerators),
    ];
    parts.into_iter().max().unwrap_or(0)
}

/// The room of an endpoint or below a ceiling, by the time at which it becomes free.
#[derive(Clone, Debug)]
pub(crate) struct Pool {
    /// The amount of which shares are parts: a worker or a ceiling.
    whole: Resources,
    scale: u64,
    /// All room, free or not.
    total: u64,
    /// Room that becomes free in each interval and is not taken.
    free: Vec<u64>,
    /// Room that jobs yet to come take before the work that is placed next: per interval, and in all once
    /// the first of them have ended.
    coming: (f64, f64),
}

impl Pool {
    /// Returns the room of workers of a usual size, without any.
    pub(crate) fn workers(worker: Resources) -> Self {
        Self { whole: worker, scale: WHOLE, total: 0, free: vec![0; INTERVALS], coming: (0.0, 0.0) }
    }

    /// Returns the room below a ceiling of which nothing is in use.
    pub(crate) fn ceiling(ceiling: Resources) -> Self {
        let (total, mut free) = (CEILING_WHOLE, vec![0; INTERVALS]);
        free[0] = total;
        Self { whole: ceiling, scale: CEILING_WHOLE, total, free, coming: (0.0, 0.0) }
    }

    fn share(&self, need: &Resources) -> u64 {
        largest_part(need, &self.whole, self.scale).max(1)
    }

    /// Adds room that is free now.
    pub(crate) fn add(&mut self, room: &Resources) {
        let amount = self.share(room);
        self.total = self.total.saturating_add(amount);
        self.put(0, amount);
    }

    /// Moves room that is free now to the time at which a run that takes it ends.
    pub(crate) fn occupy(&mut self, need: &Resources, until: Span) {
        let amount = self.share(need).min(self.free[0]);
        self.free[0] -= amount;
        self.put(interval(until), amount);
    }

    fn put(&mut self, at: usize, amount: u64) {
        if let Some(free) = self.free.get_mut(at) {
            *free = free.saturating_add(amount);
        }
    }

    /// Counts tasks of jobs yet to come, a number of them in each second.
    fn expect(&mut self, need: &Resources, rate: f64, length: Span) {
        let amount = rate * self.share(need) as f64;
        self.coming.0 += amount * INTERVAL_MS as f64 / 1_000.0;
        self.coming.1 += amount * length.secs_f64();
    }

    /// Returns what jobs yet to come have taken by an interval.
    fn reserved(&self, at: usize) -> u64 {
        let (rate, most) = self.coming;
        (rate * at as f64).min(most) as u64
    }

    /// Returns the first interval by whose begin an amount is free.
    fn when(&self, amount: u64) -> Option<usize> {
        let mut sum = 0_u64;
        (0..INTERVALS).find(|at| {
            sum = sum.saturating_add(self.free[*at]);
            sum >= amount.saturating_add(self.reserved(*at))
        })
    }

    /// Returns the amount that is free by an interval.
    fn by(&self, at: usize) -> u64 {
        let sum = self.free[..=at].iter().fold(0_u64, |sum, free| sum.saturating_add(*free));
        sum.saturating_sub(self.reserved(at))
    }

    /// Takes an amount that is free by interval `at`, and returns it after a time. What became free last is
    /// taken first: earlier room stays for tasks that fit before.
    fn take(&mut self, mut amount: u64, at: usize, length: usize) {
        self.put(at.saturating_add(length), amount);
        for free in self.free[..=at].iter_mut().rev() {
            let part = amount.min(*free);
            *free -= part;
            amount -= part;
        }
    }
}

fn interval(after: Span) -> usize {
    usize::try_from(after.millis().div_ceil(INTERVAL_MS)).unwrap_or(usize::MAX)
}

/// The room for which work waits.
#[derive(Clone, Debug, Default)]
pub(crate) struct Supply {
    /// One for each endpoint.
    pub(crate) pools: Vec<Pool>,
    /// One for each workspace with a ceiling.
    pub(crate) ceilings: Vec<Pool>,
}

/// Waiting tasks of one step.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Demand {
    pub(crate) pool: usize,
    pub(crate) ceiling: Option<usize>,
    pub(crate) need: Resources,
    pub(crate) tasks: u64,
    pub(crate) gang: bool,
    pub(crate) length: Span,
}

/// A place in the order of the waiting work at which a job would be handed in now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Probe {
    pub(crate) pool: usize,
    pub(crate) ceiling: Option<usize>,
    /// Returned with the result.
    pub(crate) tag: usize,
}

/// Waiting work, jobs yet to come, or a question about the wait at its place.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Entry {
    Work(Demand),
    /// Work like that which has come lately, with how often it comes in a second. It goes before all that
    /// follows, whenever it comes.
    Coming(Demand, f64),
    Probe(Probe),
}

/// Returns the wait of each probe by width class. The entries are in the order in which they are placed.
pub(crate) fn forecast_waits(
    mut supply: Supply,
    entries: impl Iterator<Item = Entry>,
) -> Vec<(usize, [Span; WIDTHS.len()])> {
    let mut waits = Vec::new();
    for entry in entries {
        match entry {
            Entry::Work(demand) => supply.place(&demand),
            Entry::Coming(demand, rate) => supply.expect(&demand, rate),
            Entry::Probe(probe) => waits.push((probe.tag, supply.waits(&probe))),
        }
    }
    waits
}

impl Supply {
    /// Plays a step in. What doesn't fit within the time of the forecast takes no room.
    fn place(&mut self, demand: &Demand) {
        let Self { pools, ceilings } = self;
        let pool = &mut pools[demand.pool];
        let mut ceiling = demand.ceiling.map(|c| &mut ceilings[c]);
        let group = if demand.gang { demand.tasks } else { 1 };
        let room = pool.share(&demand.need).saturating_mul(group);
        let below = ceiling.as_ref().map_or(0, |c| c.share(&demand.need).saturating_mul(group));
        let length = interval(demand.length).max(1);
        let mut left = demand.tasks / group.max(1);
        while left > 0 {
            let Some(mut at) = pool.when(room) else { return };
            if let Some(ceiling) = &ceiling {
                let Some(allowed) = ceiling.when(below) else { return };
                at = at.max(allowed);
            }
            let mut count = left.min(pool.by(at) / room);
            if let Some(ceiling) = &ceiling {
                count = count.min(ceiling.by(at) / below);
            }
            if count == 0 {
                // Jobs yet to come have taken by then what is free in one of the two.
                return;
            }
            if let Some(ceiling) = &mut ceiling {
                ceiling.take(below * count, at, length);
            }
            pool.take(room * count, at, length);
            left -= count;
        }
    }

    fn expect(&mut self, demand: &Demand, rate: f64) {
        let rate = rate * demand.tasks as f64;
        self.pools[demand.pool].expect(&demand.need, rate, demand.length);
        if let Some(ceiling) = demand.ceiling {
            self.ceilings[ceiling].expect(&demand.need, rate, demand.length);
        }
    }

    fn waits(&self, probe: &Probe) -> [Span; WIDTHS.len()] {
        let pool = &self.pools[probe.pool];
        WIDTHS.map(|width| {
            // Wider jobs than the fleet or the ceiling holds are refused by their width.
            let mut at = pool.when(width.min(pool.total)).unwrap_or(INTERVALS);
            if let Some(ceiling) = probe.ceiling.map(|c| &self.ceilings[c]) {
                let below = ceiling.share(&pool.whole).saturating_mul(width) / WHOLE;
                at = at.max(ceiling.when(below.min(ceiling.total)).unwrap_or(INTERVALS));
            }
            Span(at as u64 * INTERVAL_MS)
        })
    }
}
