//! Deadline of a call, which moves while a long message is being transferred.
//!
//! A fixed timeout fails every call whose answer takes longer than that to transfer, however often
//! it is repeated.

use bulrushlink_core::{Moment, Span};

/// Time that a call gets beyond each [`PROGRESS_BYTES`] that were transferred.
const PROGRESS_TIMEOUT: Span = Span(800);
/// Bytes that have to be transferred for the deadline to move. Together with [`PROGRESS_TIMEOUT`]
/// this is the least rate, 20 KB/s, at which a transfer goes on.
const PROGRESS_BYTES: usize = 16 * 1024;

/// Deadline of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Deadline {
    at: Moment,
    /// Bytes transferred since the deadline last moved.
    moved: usize,
}

impl Deadline {
    pub(crate) fn new(at: Moment) -> Self {
        Self { at, moved: 0 }
    }

    pub(crate) fn at(&self) -> Moment {
        self.at
    }

    /// Records the transfer of so many bytes, and moves the deadline if they are enough.
    pub(crate) fn record(&mut self, bytes: usize, now: Moment) {
        self.moved = self.moved.saturating_add(bytes);
        if self.moved >= PROGRESS_BYTES {
            self.moved = 0;
            self.at = self.at.max(now + PROGRESS_TIMEOUT);
        }
    }
}
