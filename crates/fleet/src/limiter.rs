//! Limits how many calls of a kind are in flight, and keeps the others in order.
//!
//! Load pattern: the store is slow or cut off while hundreds of callers send requests. A connection to it for
//! each of them takes as many descriptors again as the callers' own, and the memory of as many replies.

use bulrushlink_core::Moment;
use std::collections::VecDeque;

/// Calls in flight and waiting ones.
///
/// `open` is at most `limit`.
#[derive(Debug)]
pub struct CallLimiter<T> {
    limit: usize,
    open: usize,
    /// With the time until which each may wait, in order of arrival.
    waiting: VecDeque<(Moment, T)>,
}

impl<T> CallLimiter<T> {
    /// Returns a limiter for so many calls at a time.
    pub fn new(limit: usize) -> Self {
        Self { limit, open: 0, waiting: VecDeque::new() }
    }

    /// Adds a call that may wait until `deadline`. Those that may start are returned by [`start`](Self::start).
    pub fn push(&mut self, call: T, deadline: Moment) {
        self.waiting.push_back((deadline, call));
    }

    /// Returns the next call that may start; it is in flight until [`finish`](Self::finish).
    pub fn start(&mut self) -> Option<T> {
        if self.open >= self.limit {
            return None;
        }
        let (_, call) = self.waiting.pop_front()?;
        self.open += 1;
        Some(call)
    }

    /// Records the end of a call in flight.
    pub fn finish(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Returns the calls that have waited for too long. They had no effect.
    pub fn expire(&mut self, now: Moment) -> Vec<T> {
        if self.due().is_none_or(|due| due > now) {
            return Vec::new();
        }
        let all = std::mem::take(&mut self.waiting).into_iter();
        let (expired, waiting): (VecDeque<_>, VecDeque<_>) =
            all.partition(|(deadline, _)| *deadline <= now);
        self.waiting = waiting;
        expired.into_iter().map(|(_, call)| call).collect()
    }

    /// Drops the waiting calls for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&T) -> bool) {
        self.waiting.retain(|(_, call)| keep(call));
    }

    /// Returns the earliest time until which a call may wait.
    pub fn due(&self) -> Option<Moment> {
        self.waiting.iter().map(|(deadline, _)| *deadline).min()
    }

    /// Returns the number of calls in flight.
    pub fn open(&self) -> usize {
        self.open
    }

    /// Returns the number of waiting calls.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }
}

#[cfg(test)]
mod tests;
