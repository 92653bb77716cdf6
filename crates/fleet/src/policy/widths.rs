//! What stays usable on the workers for tasks of several widths.
//!
//! Load pattern: tasks that need 1, 2, 4 or 8 accelerators, on workers with 8. Narrow tasks that are spread
//! badly leave room on many workers and none for a wide task, which then waits or has runs stopped.

use bulrushlink_core::{Moment, Span};

/// Widths of tasks in accelerators; another need counts as the next larger one.
const WIDTHS: [u64; 4] = [1, 2, 4, 8];
/// Time after which half of what has been seen is forgotten, the period of demand that swings in 15 s.
const HALF_LIFE: Span = Span(15_000);

/// How many tasks of each width have waited lately: a maximum that decays.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Widths {
    tasks: [f64; WIDTHS.len()],
    at: Moment,
}

impl Widths {
    /// Updates the numbers with what waits now: pairs of a need in accelerators and a number of tasks.
    pub(crate) fn observe(&mut self, now: Moment, waiting: impl Iterator<Item = (u64, usize)>) {
        let factor = decay(now.since(self.at));
        self.at = now;
        let mut present = [0.0; WIDTHS.len()];
        for (need, tasks) in waiting.filter(|(need, _)| *need > 0) {
            let width = WIDTHS.iter().position(|w| need <= *w).unwrap_or(WIDTHS.len() - 1);
            present[width] += tasks as f64;
        }
        for (seen, present) in self.tasks.iter_mut().zip(present) {
            *seen = (*seen * factor).max(present);
        }
    }

    /// Returns how much less stays usable on a worker whose free accelerators shrink from `free` to
    /// `left`, in thousandths of an accelerator for each of the `tasks` that take them. Each width counts
    /// by the accelerators that its tasks have wanted.
    pub(crate) fn loss(&self, free: u64, left: u64, tasks: u64) -> u64 {
        let wanted = |(tasks, width): (&f64, &u64)| tasks * *width as f64;
        let all: f64 = self.tasks.iter().zip(&WIDTHS).map(wanted).sum();
        if all <= 0.0 || tasks == 0 {
            return 0;
        }
        let lost = |(seen, width): (&f64, &u64)| {
            let slots = (free / width).saturating_sub(left / width);
            wanted((seen, width)) * (slots * width) as f64
        };
        let sum: f64 = self.tasks.iter().zip(&WIDTHS).map(lost).sum();
        (sum / all / tasks as f64 * 1_000.0) as u64
    }
}

/// Returns the factor by which a quantity with the half-life has decayed after some time.
pub(crate) fn decay(elapsed: Span) -> f64 {
    (-elapsed.secs_f64() / HALF_LIFE.secs_f64()).exp2()
}

#[cfg(test)]
mod tests;
