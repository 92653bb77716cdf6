//! Virtual time: a queue of events ordered by time, then by insertion, so that a seed always gives
//! the same run.

use bulrushlink_core::{Moment, Span};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// An event with its time and insertion number.
#[derive(Debug)]
struct Entry<E> {
    at: Moment,
    seq: u64,
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.seq) == (other.at, other.seq)
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.seq).cmp(&(other.at, other.seq))
    }
}

/// Queue of future events with the virtual clock.
#[derive(Debug)]
pub(crate) struct Timeline<E> {
    /// Never decreases.
    now: Moment,
    seq: u64,
    /// The time of each entry is `now` or later.
    entries: BinaryHeap<Reverse<Entry<E>>>,
}

impl<E> Timeline<E> {
    pub(crate) fn open(now: Moment) -> Self {
        Self { now, seq: 0, entries: BinaryHeap::new() }
    }

    /// Returns the virtual time.
    pub(crate) fn now(&self) -> Moment {
        self.now
    }

    /// Schedules an event after `delay`.
    pub(crate) fn schedule(&mut self, delay: Span, event: E) {
        self.seq += 1;
        self.entries.push(Reverse(Entry { at: self.now + delay, seq: self.seq, event }));
    }

    /// Advances the clock to the next event due by `end` and returns it, or advances it to `end`.
    pub(crate) fn next(&mut self, end: Moment) -> Option<E> {
        if self.entries.peek()?.0.at > end {
            self.now = end;
            return None;
        }
        let Reverse(entry) = self.entries.pop()?;
        self.now = entry.at;
        Some(entry.event)
    }
}
