//! A bound on the volume of the log.

/// Lines a second over any longer time; at 300 bytes a line that is 60 KB/s.
const LINES_PER_S: u64 = 200;
/// Lines that may come at once, enough for the start of a few large gangs.
const BURST_LINES: u64 = 1_000;
/// Parts of a line that the count is kept in, so that short times earn their share.
const PARTS: u64 = 1_000;

/// Counts lines against a token bucket.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Budget {
    /// Thousandths of lines that may still be written.
    left: u64,
    /// Time of the latest line in milliseconds of any steady clock; none before the first line.
    at: Option<u64>,
    /// Lines dropped since the latest one that was written.
    dropped: u64,
}

impl Budget {
    /// Takes a line at a time in milliseconds; returns the number of lines dropped before it, or
    /// nothing if this one is dropped too.
    pub(crate) fn take(&mut self, now: u64) -> Option<u64> {
        let earned = match self.at {
            Some(at) => now.saturating_sub(at).saturating_mul(LINES_PER_S),
            None => BURST_LINES * PARTS,
        };
        self.at = Some(self.at.map_or(now, |at| at.max(now)));
        self.left = self.left.saturating_add(earned).min(BURST_LINES * PARTS);
        if self.left < PARTS {
            self.dropped += 1;
            return None;
        }
        self.left -= PARTS;
        Some(std::mem::take(&mut self.dropped))
    }

    /// Counts a line that could not be written after all.
    pub(crate) fn drop_line(&mut self, dropped: u64) {
        self.dropped += dropped + 1;
    }
}
