//! Suppression of repeated errors in the log.
//!
//! What other systems leave in the store is read about every half second, and each read reports what it
//! can't decode. The same line tells nothing new the second time.

/// Time within which the same line isn't written again, in milliseconds.
const INTERVAL_MS: u64 = 10_000;
/// Number of lines that are remembered; more than the different faults at a time.
const LINES_MAX: usize = 256;

/// A line that was written.
#[derive(Clone, Copy, Debug)]
struct Written {
    /// Hash of the line.
    hash: u64,
    at_ms: u64,
}

/// The lines that were written lately.
#[derive(Clone, Debug, Default)]
pub(crate) struct Repeats {
    /// In the order in which they were written.
    written: Vec<Written>,
}

impl Repeats {
    /// Returns true if a line with this hash was written less than [`INTERVAL_MS`] before `now_ms`;
    /// otherwise it counts as written now.
    pub(crate) fn is_repeated(&mut self, hash: u64, now_ms: u64) -> bool {
        self.written.retain(|w| now_ms.saturating_sub(w.at_ms) < INTERVAL_MS);
        if self.written.iter().any(|w| w.hash == hash) {
            return true;
        }
        if self.written.len() == LINES_MAX {
            self.written.remove(0);
        }
        self.written.push(Written { hash, at_ms: now_ms });
        false
    }
}
