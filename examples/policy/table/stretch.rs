//! Segments of the progress of an attempt. They are kept until the work is known to be useful, and
//! it is then credited to the minutes in which it was done.

use bulrushlink_core::Moment;

/// Speed of an attempt that is not throttled, in percent.
pub(super) const FULL_SPEED: u64 = 100;
const MINUTE_MS: u64 = 60_000;

/// Progress over a time with constant speed.
#[derive(Clone, Copy, Debug)]
pub(super) struct Segment {
    pub(super) from: Moment,
    pub(super) to: Moment,
    pub(super) percent: u64,
}

impl Segment {
    /// Returns the time at full speed that gives the same progress, in milliseconds.
    pub(super) fn progress(&self) -> u64 {
        self.to.since(self.from).0 * self.percent / FULL_SPEED
    }

    /// Adds the work in accelerator-milliseconds to the minutes that the segment covers.
    pub(super) fn credit(&self, accelerators: f64, minutes: &mut Vec<f64>) {
        let mut at = self.from.0;
        while at < self.to.0 {
            let minute = (at / MINUTE_MS) as usize;
            let end = self.to.0.min((at / MINUTE_MS + 1) * MINUTE_MS);
            if minutes.len() <= minute {
                minutes.resize(minute + 1, 0.0);
            }
            let speed = self.percent as f64 / FULL_SPEED as f64;
            minutes[minute] += (end - at) as f64 * accelerators * speed;
            at = end;
        }
    }
}
