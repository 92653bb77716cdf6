//! Virtual time: what happens next, in order, ties in the order of their planning.

use bulrushlink_core::{Attempt, Event, Moment};
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// Something that happens at a planned moment.
#[derive(Debug)]
pub(crate) enum Happening {
    Arrive(usize),
    Route(usize),
    Cancel(usize),
    /// The domain is withdrawn, or returns.
    Serve(usize, bool),
    Lose(usize),
    Restore(usize),
    Begin(usize, Attempt),
    End {
        job: usize,
        attempt: Attempt,
        change: u32,
        failed: bool,
    },
    Vacate {
        job: usize,
        attempt: Attempt,
        saved: bool,
    },
    Deliver(usize, Box<Event>),
    Tick(usize),
    Announce,
    Observe,
    /// The placers look for room elsewhere.
    Look,
    Sample,
}

#[derive(Debug)]
struct Entry {
    at: Moment,
    order: u64,
    what: Happening,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// What is planned.
#[derive(Debug, Default)]
pub(crate) struct Agenda {
    heap: BinaryHeap<Reverse<Entry>>,
    order: u64,
}

impl Agenda {
    pub(crate) fn add(&mut self, at: Moment, what: Happening) {
        self.order += 1;
        self.heap.push(Reverse(Entry { at, order: self.order, what }));
    }

    pub(crate) fn next(&mut self) -> Option<(Moment, Happening)> {
        self.heap.pop().map(|Reverse(entry)| (entry.at, entry.what))
    }
}
