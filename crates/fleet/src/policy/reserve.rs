//! Room that urgent work can get quickly: how much of it there has to be, and who may use it meanwhile.
//!
//! Load pattern: bursts of urgent gangs, again and again, on workers that are full of other work. A burst
//! that finds only long runs without checkpoints either waits and is late, or loses their work. Room that is
//! kept empty for it is lost itself. So the room is lent to work that can be stopped cheaply.

use bulrushlink_core::{Moment, Span};

use super::widths::decay;

/// Longest time for which a job waits because of the reserve. A job may be without a run for 3 s while there
/// is room for it.
const WAIT_MAX: Span = Span(2_000);
/// Weight of an urgent gang in the mean of the delays that urgent gangs allow.
const DELAY_WEIGHT: f64 = 0.1;
/// Largest part of the accelerators that is reserved, whatever urgent work has asked for.
const PART_MAX: f64 = 0.5;

/// Accelerators by what occupies them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Usage {
    pub(crate) capacity: u64,
    /// Neither in use nor claimed.
    pub(crate) free: u64,
    /// In use by urgent work.
    pub(crate) urgent: u64,
    /// In use by work that can be stopped cheaply, or ends soon.
    pub(crate) lent: u64,
}

/// What urgent work has needed lately.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Reserve {
    /// Most accelerators that urgent work ran on and waited for at a time; it decays.
    peak: f64,
    /// Mean of the delays that urgent gangs allow, in milliseconds.
    delay_ms: f64,
    at: Moment,
}

impl Reserve {
    /// Updates the peak with the accelerators that urgent work runs on and waits for now.
    pub(crate) fn observe(&mut self, now: Moment, wanted: u64) {
        self.peak = (self.peak * decay(now.since(self.at))).max(wanted as f64);
        self.at = now;
    }

    /// Updates the mean delay with that of an urgent gang.
    pub(crate) fn observe_delay(&mut self, delay: Span) {
        self.delay_ms += DELAY_WEIGHT * (delay.millis() as f64 - self.delay_ms);
    }

    /// Returns true if an urgent gang can be in time if it waits for a run to end that takes this long.
    pub(crate) fn is_short(&self, run_time: Span) -> bool {
        run_time.millis() as f64 <= self.delay_ms
    }

    /// Returns how many accelerators work that can't be stopped cheaply may take now. What urgent work has
    /// lately had at its peak, beyond what it has now, has to stay free or lent. Steady urgent work reserves
    /// nothing.
    pub(crate) fn left(&self, usage: &Usage, waited: Span) -> u64 {
        if waited >= WAIT_MAX {
            return u64::MAX;
        }
        let most = usage.capacity as f64 * PART_MAX;
        let reserved = (self.peak - usage.urgent as f64).clamp(0.0, most) as u64;
        (usage.free + usage.lent).saturating_sub(reserved)
    }
}

#[cfg(test)]
mod tests;
