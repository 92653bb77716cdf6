//! Order in which units of work are placed.
//!
//! Under bursts, work exceeds the capacity of the workers for seconds at a time, and first-come,
//! first-served order would make every job late. Jobs that can still meet their deadline therefore
//! go before those that can't, and among equals the ones that take the least capacity go first.

use bulrushlink_core::{Moment, Span};

/// A job that ends after this multiple of its allowed time is of no more use to its caller.
const EXPIRED_FACTOR: u64 = 3;

/// Expected end of a unit of work relative to the time allowed for its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Lateness {
    /// It can still end within the allowed time.
    OnTime,
    /// It will be late but still be of use.
    Late,
    /// It will end too late to be of use; it gets only what the others leave.
    Expired,
}

/// Properties of a unit of work that determine its position in the queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct RankInput {
    /// The job is covered by its workspace's guarantee.
    pub(crate) guaranteed: bool,
    /// Priority of the queue; 0 is the highest.
    pub(crate) priority: u32,
    /// When the round was due, or the job was accepted.
    pub(crate) due: Moment,
    /// Time allowed for the job, counted from `due`.
    pub(crate) allowed: Span,
    /// Estimated time until the job ends if the unit starts now.
    pub(crate) needed: Span,
    /// Estimated cost of the unit's tasks, in accelerator-seconds.
    pub(crate) cost: f64,
}

/// Position of a unit of work in the queue; the lowest goes first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Rank {
    lateness: Lateness,
    /// The job is not covered by its workspace's guarantee.
    unguaranteed: bool,
    /// The workspace uses its share of the workers already.
    over_share: bool,
    priority: u32,
    cost: f64,
    due: Moment,
}

impl Rank {
    /// Sets whether the work goes behind that of workspaces which use less than their shares.
    pub(crate) fn set_over_share(&mut self, over_share: bool) {
        self.over_share = over_share;
    }

    /// Returns true if the work goes behind that of workspaces which use less than their shares.
    pub(crate) fn is_over_share(&self) -> bool {
        self.over_share
    }

    /// Returns true if the work will end too late to be of use, and isn't guaranteed.
    pub(crate) fn is_expired(&self) -> bool {
        self.unguaranteed && self.lateness == Lateness::Expired
    }

    /// Compares two positions.
    pub(crate) fn compare(&self, other: &Self) -> std::cmp::Ordering {
        // Guaranteed work keeps its position even if it will end too late to be of use.
        self.is_expired()
            .cmp(&other.is_expired())
            .then(self.unguaranteed.cmp(&other.unguaranteed))
            .then(self.over_share.cmp(&other.over_share))
            .then(self.priority.cmp(&other.priority))
            .then(self.lateness.cmp(&other.lateness))
            .then(self.cost.total_cmp(&other.cost))
            .then(self.due.cmp(&other.due))
    }
}

/// Returns the expected lateness of a unit of work that starts now.
pub(crate) fn lateness(input: &RankInput, now: Moment) -> Lateness {
    let end = now + input.needed;
    if end <= input.due + input.allowed {
        Lateness::OnTime
    } else if end <= input.due + Span(input.allowed.millis() * EXPIRED_FACTOR) {
        Lateness::Late
    } else {
        Lateness::Expired
    }
}

/// Returns the position of a unit of work in the queue.
pub(crate) fn rank(input: &RankInput, now: Moment) -> Rank {
    Rank {
        lateness: lateness(input, now),
        unguaranteed: !input.guaranteed,
        over_share: false,
        priority: input.priority,
        cost: input.cost,
        due: input.due,
    }
}
