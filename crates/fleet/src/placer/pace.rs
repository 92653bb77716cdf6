//! Learns the speeds of the workers.
//!
//! Estimates of run times are far off, but equally so for all tasks of a step. Workers are
//! therefore compared by how far tasks of the same step get in the same time. The logarithm of a
//! task's rate is modelled as the sum of a value for its step and a value for its worker.

/// Least progress of a run that gives a sample, in percent.
const SAMPLE_PERCENT_MIN: u32 = 10;
/// Most progress that gives a sample, in percent: near the end the members of a gang wait for each
/// other.
const SAMPLE_PERCENT_MAX: u32 = 97;
/// Least run time that gives a sample, in seconds; in shorter ones the delay of the start
/// dominates.
const SAMPLE_ELAPSED_MIN_S: f64 = 0.4;
/// Lower bound on the weight of a new sample; the lengths of equal tasks differ by about 15%.
const SAMPLE_WEIGHT_MIN: f64 = 0.15;
/// Samples below which the speed of a worker counts as unknown.
const SAMPLES_MIN: u32 = 2;
/// Width of a speed band, as a natural logarithm; adjacent bands differ by about a fifth.
const BAND_WIDTH: f64 = 0.2;
/// Most bands on either side of the average.
const BANDS_MAX: f64 = 3.0;

/// Largest speed relative to the average that counts; the fastest workers known are twice as fast as the
/// slowest.
const SPEED_MAX: f64 = 4.0;

/// Learned speed of a worker relative to the others, as a logarithm.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct WorkerPace {
    log: f64,
    samples: u32,
}

impl WorkerPace {
    /// Returns a speed that is known well.
    #[cfg(test)]
    pub(super) const fn known(log: f64) -> Self {
        Self { log, samples: SAMPLES_MIN }
    }

    /// Returns the mean of the known speeds, as a logarithm, from which the bands are counted.
    /// Samples only compare workers with each other, so the mean itself carries no information.
    pub(super) fn mean_log<'a>(paces: impl Iterator<Item = &'a Self>) -> f64 {
        let known = paces.filter_map(Self::known_log);
        let (sum, count) = known.fold((0.0, 0), |(sum, count), log| (sum + log, count + 1));
        if count == 0 { 0.0 } else { sum / f64::from(count) }
    }

    /// Returns the speed as a logarithm; `None` if it is unknown.
    pub(super) fn known_log(&self) -> Option<f64> {
        (self.samples >= SAMPLES_MIN).then_some(self.log)
    }

    /// Returns the speed relative to the average; 1 if it is unknown.
    pub(super) fn speed(&self, mean_log: f64) -> f64 {
        if self.samples < SAMPLES_MIN {
            return 1.0;
        }
        (self.log - mean_log).exp().clamp(1.0 / SPEED_MAX, SPEED_MAX)
    }

    /// Returns the speed band; 0 is average or unknown, and higher is faster.
    pub(super) fn band(&self, mean_log: f64) -> i8 {
        if self.samples < SAMPLES_MIN {
            return 0;
        }
        ((self.log - mean_log) / BAND_WIDTH).round().clamp(-BANDS_MAX, BANDS_MAX) as i8
    }
}

/// Rate of a step's tasks on a worker of average speed, as a logarithm.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct StepPace {
    log: f64,
    samples: u32,
}

impl StepPace {
    /// Updates both estimates with the rate of a run of this step on `worker`.
    pub(super) fn learn(&mut self, worker: &mut WorkerPace, rate: f64) {
        let rate = rate.ln();
        if self.samples > 0 {
            let weight = (1.0 / f64::from(worker.samples + 1)).max(SAMPLE_WEIGHT_MIN);
            worker.log += weight * (rate - self.log - worker.log);
            worker.samples += 1;
        }
        self.samples += 1;
        self.log += (rate - worker.log - self.log) / f64::from(self.samples);
    }
}

/// Returns the rate of a run in percent per second, or `None` if it is too early or too late in the
/// run for a sample.
pub(super) fn rate(percent: u32, elapsed_s: f64) -> Option<f64> {
    let gives_sample = (SAMPLE_PERCENT_MIN..=SAMPLE_PERCENT_MAX).contains(&percent)
        && elapsed_s >= SAMPLE_ELAPSED_MIN_S;
    gives_sample.then(|| f64::from(percent) / elapsed_s)
}

#[cfg(test)]
mod tests;
