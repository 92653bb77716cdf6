//! Virtual time: events happen in the order of their moments, and of their making where those
//! are equal, so that a seed gives the same run every time.

use bulrushlink_core::{Moment, Span};
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// One event with its place in the order.
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

/// Events to come.
#[derive(Debug)]
pub(crate) struct Timeline<E> {
    /// Never goes back.
    now: Moment,
    seq: u64,
    /// Every entry's moment is at or after `now`.
    entries: BinaryHeap<Reverse<Entry<E>>>,
}

impl<E> Timeline<E> {
    pub(crate) fn open(now: Moment) -> Self {
        Self { now, seq: 0, entries: BinaryHeap::new() }
    }

    /// Returns the present moment.
    pub(crate) fn now(&self) -> Moment {
        self.now
    }

    /// Adds an event that happens after `delay`.
    pub(crate) fn after(&mut self, delay: Span, event: E) {
        self.seq += 1;
        self.entries.push(Reverse(Entry { at: self.now + delay, seq: self.seq, event }));
    }

    /// Moves on to the next event if it happens no later than `end`.
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
