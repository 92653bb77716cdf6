//! Learned speeds of the workers.
//!
//! Estimates of run times are far off, but equal for all tasks of a step: what tells workers apart is
//! how far the tasks of one step have come in the same time. The logarithm of a task's rate is taken
//! as that of its step plus that of its worker.

/// Least progress of a run that tells something, in percent.
const PERCENT_MIN: u32 = 10;
/// Most progress that does: at the end the members of a gang wait for each other.
const PERCENT_MAX: u32 = 97;
/// Least time that a run must have taken, in seconds, against the delays of its start.
const ELAPSED_MIN_S: f64 = 0.4;
/// Weight of a new sample once there are many; the lengths of equal tasks differ by about 15%.
const WEIGHT_MIN: f64 = 0.15;
/// Samples without which a worker's speed counts as unknown.
const SAMPLES_MIN: u32 = 2;
/// Width of a band of speeds, as a logarithm: a fifth more or less.
const BAND: f64 = 0.2;
/// The most bands on either side.
const BANDS_MAX: f64 = 3.0;

/// The speed of a worker against the others.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct WorkerPace {
    log: f64,
    samples: u32,
}

impl WorkerPace {
    /// Returns the logarithm of the usual speed, against which the bands are counted: what is learned
    /// tells workers apart, and says nothing of all of them together.
    pub(super) fn usual<'a>(paces: impl Iterator<Item = &'a Self>) -> f64 {
        let known = paces.filter(|p| p.samples >= SAMPLES_MIN);
        let (sum, count) = known.fold((0.0, 0), |(sum, count), p| (sum + p.log, count + 1));
        if count == 0 { 0.0 } else { sum / f64::from(count) }
    }

    /// Returns the band; 0 is usual or unknown, and more is faster.
    pub(super) fn band(&self, usual: f64) -> i8 {
        if self.samples < SAMPLES_MIN {
            return 0;
        }
        ((self.log - usual) / BAND).round().clamp(-BANDS_MAX, BANDS_MAX) as i8
    }
}

/// The rate of a step's tasks on a worker of usual speed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct StepPace {
    log: f64,
    samples: u32,
}

impl StepPace {
    /// Learns from a run that has come so far in a time on a worker.
    pub(super) fn learn(&mut self, worker: &mut WorkerPace, rate: f64) {
        let rate = rate.ln();
        if self.samples > 0 {
            let weight = (1.0 / f64::from(worker.samples + 1)).max(WEIGHT_MIN);
            worker.log += weight * (rate - self.log - worker.log);
            worker.samples += 1;
        }
        self.samples += 1;
        self.log += (rate - worker.log - self.log) / f64::from(self.samples);
    }
}

/// Returns the rate of a run, if it tells something.
pub(super) fn rate(percent: u32, elapsed_s: f64) -> Option<f64> {
    let told = (PERCENT_MIN..=PERCENT_MAX).contains(&percent) && elapsed_s >= ELAPSED_MIN_S;
    told.then(|| f64::from(percent) / elapsed_s)
}

#[cfg(test)]
mod tests;
