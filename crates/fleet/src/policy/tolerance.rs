//! Which doubtful workers a unit of work may use.
//!
//! Load pattern: gangs wait while some free workers are known to be faulty. A worker that fails all that
//! it starts is always free, so on full workers it would get all that comes. Work keeps away from it as
//! long as that costs less than the loss of a run, and never so long that a job waits without need.

use bulrushlink_core::Span;

use super::BreakerState;

/// Doubt of a worker whose breaker is half open; recent faults of one that is closed count less.
const HALF_OPEN_DOUBT: u32 = 1_000;
/// Doubt of a worker whose breaker is open.
const OPEN_DOUBT: u32 = 1_000_000;
/// Longest wait for workers without doubt. A job may be without a run for 3 s while there is room; a
/// second is left for the delay of a restart and for the start.
const WAIT_MAX: Span = Span(2_000);
/// Time for which urgent work whose run has failed waits for workers without doubt: each attempt on a faulty
/// worker is lost, and the job fails with the last one.
const URGENT_RETRY_WAIT: Span = Span(1_000);
/// Probability that a doubtful worker loses a run.
const LOSS_PROBABILITY: f64 = 0.5;
/// Part of a run that is lost in spite of checkpoints.
const UNSAVED_FRACTION: f64 = 0.25;
/// Longest estimate of a task without checkpoints that runs as a trial, about the time for which a breaker
/// opens first.
const TRIAL_MAX: Span = Span(2_000);

/// Workers that a unit may use, by doubt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Tolerance {
    /// Workers without any recent fault.
    Clean,
    /// Workers whose breaker is closed.
    Closed,
    /// These, and workers without runs whose breaker is half open, for one task each.
    Trial,
    /// Workers whose breaker isn't open.
    HalfOpen,
    /// All workers.
    Any,
}

/// What a unit of work risks on a doubtful worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Risk {
    /// It is guaranteed, or its queue has priority 0.
    pub(crate) urgent: bool,
    pub(crate) guaranteed: bool,
    pub(crate) gang: bool,
    /// Number of waiting tasks.
    pub(crate) tasks: usize,
    /// Estimated run time.
    pub(crate) estimate: Span,
    /// Its tasks write checkpoints.
    pub(crate) saves: bool,
    /// A run of the step has failed.
    pub(crate) failed: bool,
}

/// Returns the doubt of a worker, by which workers are ordered.
pub(crate) fn doubt(state: BreakerState, recent_faults: u32) -> u32 {
    let faults = recent_faults.min(HALF_OPEN_DOUBT - 1);
    match state {
        BreakerState::Closed => faults,
        BreakerState::HalfOpen => HALF_OPEN_DOUBT + faults,
        BreakerState::Open => OPEN_DOUBT + faults,
    }
}

impl Tolerance {
    /// Returns true if a worker may be used; it is `vacant` if it has no runs.
    pub(crate) fn admits(self, doubt: u32, vacant: bool) -> bool {
        match self {
            Self::Clean => doubt == 0,
            Self::Closed => doubt < HALF_OPEN_DOUBT,
            Self::Trial => doubt < HALF_OPEN_DOUBT || (doubt < OPEN_DOUBT && vacant),
            Self::HalfOpen => doubt < OPEN_DOUBT,
            Self::Any => true,
        }
    }

    /// Returns true if a worker with this doubt may get a single task only.
    pub(crate) fn is_trial(self, doubt: u32) -> bool {
        self == Self::Trial && doubt >= HALF_OPEN_DOUBT
    }
}

impl Risk {
    /// Returns how long the unit waits for workers without doubt: as long as the loss that is to be
    /// expected on doubtful ones. The more tasks a gang has, the more likely it is to lose one.
    pub(crate) fn wait(&self) -> Span {
        if self.urgent {
            return if self.failed { URGENT_RETRY_WAIT } else { Span::ZERO };
        }
        let tasks = if self.gang { self.tasks.min(64) as i32 } else { 1 };
        let probability = 1.0 - (1.0 - LOSS_PROBABILITY).powi(tasks);
        let fraction = if self.saves { UNSAVED_FRACTION } else { 1.0 };
        let expected = self.estimate.millis() as f64 * fraction * probability;
        Span(expected as u64).min(WAIT_MAX)
    }

    /// Returns the tolerances to try, in their order. A guaranteed gang prefers to stop other runs to an
    /// open worker, for `stops_for` at most. `idle` is true if less than half of the capacity is in use.
    ///
    /// On full workers the open ones are always free, so that urgent work without a guarantee would spend
    /// all of its attempts there.
    pub(crate) fn tolerances(
        &self,
        waited: Span,
        stops_for: Span,
        idle: bool,
    ) -> &'static [Tolerance] {
        use Tolerance::{Any, Clean, Closed, HalfOpen, Trial};
        if self.urgent {
            let any = self.guaranteed || idle;
            return match (self.gang, any) {
                _ if waited < self.wait() => &[Clean],
                (true, true) if waited < stops_for => &[Clean, HalfOpen, Any],
                (true, true) => &[Clean, Any],
                (true, false) => &[Clean, HalfOpen],
                (false, true) => &[Any],
                (false, false) => &[HalfOpen],
            };
        }
        let patient = waited < self.wait();
        let trial = self.saves || self.estimate <= TRIAL_MAX;
        match (self.gang, patient, idle) {
            (true, true, _) => &[Clean],
            (true, false, false) => &[Clean, HalfOpen],
            (true, false, true) => &[Clean, Any],
            (false, true, _) if self.failed => &[Clean],
            (false, true, _) if trial => &[Trial],
            (false, true, _) => &[Closed],
            (false, false, false) => &[HalfOpen],
            (false, false, true) => &[Any],
        }
    }
}

#[cfg(test)]
mod tests;
