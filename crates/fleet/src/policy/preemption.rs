//! Whether runs are stopped for an urgent gang that its workspace's guarantee doesn't cover.
//!
//! Load pattern: bursts of urgent gangs on full workers, whose callers allow them half of their run time
//! for waiting. On such a day hundreds of runs were stopped for gangs that ended too late all the same,
//! and the work of the stopped runs was lost for nothing.

use bulrushlink_core::Span;

/// Factor on the time that runs are expected to go on, as estimates are wrong by up to a half.
const ESTIMATE_ERROR_FACTOR: f64 = 1.5;

/// What a gang needs, and what its caller allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Demand {
    /// Time until the job's allowed time is over.
    pub(crate) left: Span,
    /// Time until the job ends if the gang starts now.
    pub(crate) needed: Span,
    /// Work of the gang, in core-seconds.
    pub(crate) work: f64,
    /// See [`leeway`].
    pub(crate) leeway: f64,
}

/// What is lost if a group of runs is stopped.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Stake {
    /// Work since the last checkpoint, and what the restart costs, in core-seconds.
    pub(crate) lost: f64,
    /// See [`leeway`].
    pub(crate) leeway: f64,
    /// Time for which the runs are expected to go on.
    pub(crate) left: Span,
}

/// Whether to stop runs for a gang.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// The gang ends in time, and loses the others less than it gains.
    Worth,
    /// The gang would end after its allowed time all the same.
    TooLate,
    /// The work lost is out of proportion to the work of the gang.
    TooCostly,
    /// The runs end early enough by themselves.
    CanWait,
}

impl Verdict {
    /// Returns the label of the verdict in logs and metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::Worth => "worth",
            Self::TooLate => "too_late",
            Self::TooCostly => "too_costly",
            Self::CanWait => "can_wait",
        }
    }
}

/// Returns how much delay a caller allows for each second of a job's run time.
pub(crate) fn leeway(allowed: Span, run_time: Span) -> f64 {
    let delay_ms = allowed.millis().saturating_sub(run_time.millis()).max(1);
    delay_ms as f64 / run_time.millis().max(1) as f64
}

/// Returns true if a gang that starts after `delay` ends within its allowed time.
pub(crate) fn is_in_time(demand: &Demand, delay: Span) -> bool {
    delay + demand.needed <= demand.left
}

/// Decides whether the runs of `victims` are stopped for a gang, which starts `delay` later.
///
/// Work that is lost is done again, which delays other jobs by as much. A caller that allows more delay
/// for each second of run time is hurt less by it: the work lost counts by the gang's leeway divided by
/// that of the stopped job, and may be at most the work of the gang. At equal terms a gang may thus cost
/// the others as much work as it does itself, and at three times its leeway three times as much.
pub(crate) fn judge(
    demand: &Demand,
    victims: impl Iterator<Item = Stake> + Clone,
    delay: Span,
) -> Verdict {
    if !is_in_time(demand, delay) {
        return Verdict::TooLate;
    }
    let Some(longest) = victims.clone().map(|v| v.left).max() else { return Verdict::Worth };
    let spare_ms = demand.left.millis() - (delay + demand.needed).millis();
    if longest.millis() as f64 * ESTIMATE_ERROR_FACTOR <= spare_ms as f64 {
        return Verdict::CanWait;
    }
    let weighted: f64 = victims.map(|v| v.lost * demand.leeway / v.leeway).sum();
    if weighted <= demand.work { Verdict::Worth } else { Verdict::TooCostly }
}

#[cfg(test)]
mod tests;
