//! The event queue of the simulation, ordered by virtual time; ties keep the order of insertion.

use bulrushlink_core::{Attempt, Event, Moment};
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// An event of the simulation.
#[derive(Debug)]
pub(crate) enum SimEvent {
    /// A job arrives at its entry host.
    Arrive(usize),
    /// A job that no domain holds is routed again.
    Route(usize),
    Cancel(usize),
    /// The domain is withdrawn from service, or returns to it if true.
    SetService(usize, bool),
    LoseWorker(usize),
    RestoreWorker(usize),
    /// All tasks of an attempt begin to run.
    Begin(usize, Attempt),
    End {
        job: usize,
        attempt: Attempt,
        /// Generation of the attempt when its end was scheduled; a later one makes it stale.
        generation: u32,
        failed: bool,
    },
    /// A stopped attempt releases its accelerators.
    Vacate {
        job: usize,
        attempt: Attempt,
        saved: bool,
    },
    /// An event reaches the policy of a domain.
    Deliver(usize, Box<Event>),
    Tick(usize),
    /// The domains publish their loads to the entry hosts.
    PublishLoads,
    /// The workers report their usage.
    ReportUsage,
    /// Waiting jobs are offered to domains that have room for them.
    Rebalance,
    Sample,
}

#[derive(Debug)]
struct Entry {
    at: Moment,
    order: u64,
    event: SimEvent,
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

/// The scheduled events.
#[derive(Debug, Default)]
pub(crate) struct EventQueue {
    heap: BinaryHeap<Reverse<Entry>>,
    order: u64,
}

impl EventQueue {
    pub(crate) fn schedule(&mut self, at: Moment, event: SimEvent) {
        self.order += 1;
        self.heap.push(Reverse(Entry { at, order: self.order, event }));
    }

    pub(crate) fn next(&mut self) -> Option<(Moment, SimEvent)> {
        self.heap.pop().map(|Reverse(entry)| (entry.at, entry.event))
    }
}
