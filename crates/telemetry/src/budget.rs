//! Rate limit of the log.

/// Sustained rate in lines per second; at 300 bytes a line that is 60 KB/s.
const LINES_PER_S: u64 = 200;
/// Capacity of the token bucket in lines, enough for the start of a few large gangs.
const BURST_LINES: u64 = 1_000;
/// Units per line in which tokens are counted, so that a single millisecond adds whole units.
const UNITS_PER_LINE: u64 = 1_000;

/// Token bucket that limits log lines and counts the dropped ones.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Budget {
    /// Available tokens, in thousandths of a line.
    tokens: u64,
    /// Time of the latest call of [`Self::take`] on a monotonic clock; `None` before the first one.
    updated_ms: Option<u64>,
    /// Lines dropped since the latest written line.
    dropped: u64,
}

impl Budget {
    /// Takes the tokens for one line at `now_ms` of that clock. Returns the number of lines dropped
    /// before it, or `None` if this line is to be dropped too.
    pub(crate) fn take(&mut self, now_ms: u64) -> Option<u64> {
        let refill = match self.updated_ms {
            Some(updated_ms) => now_ms.saturating_sub(updated_ms).saturating_mul(LINES_PER_S),
            None => BURST_LINES * UNITS_PER_LINE,
        };
        self.updated_ms = Some(self.updated_ms.map_or(now_ms, |updated_ms| updated_ms.max(now_ms)));
        self.tokens = self.tokens.saturating_add(refill).min(BURST_LINES * UNITS_PER_LINE);
        if self.tokens < UNITS_PER_LINE {
            self.dropped += 1;
            return None;
        }
        self.tokens -= UNITS_PER_LINE;
        Some(std::mem::take(&mut self.dropped))
    }

    /// Records that a line couldn't be written after its tokens were taken; `dropped` is the count
    /// that [`Self::take`] returned for it.
    pub(crate) fn drop_line(&mut self, dropped: u64) {
        self.dropped += dropped + 1;
    }
}
