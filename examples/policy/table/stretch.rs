//! Progress of an attempt, so that work is credited to the minutes in which it was done, once it is
//! known to be of use.

use bulrushlink_core::Moment;

/// Speed of an attempt that isn't throttled, in percent.
pub(super) const FULL_SPEED: u64 = 100;
const MINUTE_MS: u64 = 60_000;

/// A stretch of progress at one speed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Stretch {
    pub(super) from: Moment,
    pub(super) to: Moment,
    pub(super) percent: u64,
}

impl Stretch {
    pub(super) fn progress(&self) -> u64 {
        self.to.since(self.from).0 * self.percent / FULL_SPEED
    }

    /// Adds the stretch's work to the minutes that it covers.
    pub(super) fn credit(&self, accelerators: f64, minutes: &mut Vec<f64>) {
        let mut at = self.from.0;
        while at < self.to.0 {
            let minute = (at / MINUTE_MS) as usize;
            let until = self.to.0.min((at / MINUTE_MS + 1) * MINUTE_MS);
            if minutes.len() <= minute {
                minutes.resize(minute + 1, 0.0);
            }
            let speed = self.percent as f64 / FULL_SPEED as f64;
            minutes[minute] += (until - at) as f64 * accelerators * speed;
            at = until;
        }
    }
}
