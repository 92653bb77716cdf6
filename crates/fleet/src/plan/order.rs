//! Which work goes first.
//!
//! Load pattern: more work than the workers can do for seconds at a time. In order of arrival every
//! job would then be late. Here jobs that can still be in time go before those that can't, and among
//! equals those that take the least of the workers.

use bulrushlink_core::{Moment, Span};

/// A job that has taken so many times its allowed length is of no use to its caller any more.
const USELESS_FACTOR: u64 = 3;

/// How a unit of work stands against the time that its job is allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Outlook {
    /// It can still be in time.
    InTime,
    /// It will be late, and still of use.
    Late,
    /// Its caller has no use for it any more; it runs in what the others leave.
    Useless,
}

/// What the order depends on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Request {
    /// The job is inside its workspace's guarantee.
    pub(crate) guaranteed: bool,
    /// Priority of the queue; 0 goes first.
    pub(crate) priority: u32,
    /// When the round was due, or the job accepted.
    pub(crate) due: Moment,
    /// Time that the job is allowed.
    pub(crate) allowed: Span,
    /// Estimate of what its work still takes if it starts now.
    pub(crate) needed: Span,
    /// Accelerator-seconds that its tasks take.
    pub(crate) cost: f64,
}

/// Position of a unit of work in the queue; the least goes first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Rank {
    outlook: Outlook,
    borrowed: bool,
    priority: u32,
    cost: f64,
    due: Moment,
}

impl Rank {
    /// Compares two positions.
    pub(crate) fn order(&self, other: &Self) -> std::cmp::Ordering {
        // Guaranteed work is promised whatever the caller may still do with it.
        let useless = |r: &Self| r.borrowed && r.outlook == Outlook::Useless;
        useless(self)
            .cmp(&useless(other))
            .then(self.borrowed.cmp(&other.borrowed))
            .then(self.priority.cmp(&other.priority))
            .then(self.outlook.cmp(&other.outlook))
            .then(self.cost.total_cmp(&other.cost))
            .then(self.due.cmp(&other.due))
    }
}

/// Tells how a unit of work stands.
pub(crate) fn outlook(request: &Request, now: Moment) -> Outlook {
    let end = now + request.needed;
    if end <= request.due + request.allowed {
        Outlook::InTime
    } else if end <= request.due + Span(request.allowed.millis() * USELESS_FACTOR) {
        Outlook::Late
    } else {
        Outlook::Useless
    }
}

/// Ranks a unit of work.
pub(crate) fn rank(request: &Request, now: Moment) -> Rank {
    Rank {
        outlook: outlook(request, now),
        borrowed: !request.guaranteed,
        priority: request.priority,
        cost: request.cost,
        due: request.due,
    }
}
