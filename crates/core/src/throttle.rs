//! Log lines about callers, of which there may be any number.

use crate::units::{Moment, Span};

/// Least time between two lines of one kind.
const LINE_INTERVAL: Span = Span(1_000);

/// Limits the lines of one kind, and counts what they leave out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Throttle {
    /// Time of the latest line.
    last: Option<Moment>,
    /// Cases since the latest line.
    skipped: u64,
}

impl Throttle {
    /// Records a case. Returns the number of cases that a line now stands for, or `None` if it is too early for
    /// a line.
    pub fn record(&mut self, now: Moment) -> Option<u64> {
        self.skipped += 1;
        if self.last.is_some_and(|last| now.since(last) < LINE_INTERVAL) {
            return None;
        }
        self.last = Some(now);
        Some(std::mem::take(&mut self.skipped))
    }
}
