//! Policies: decisions about competing work, apart from the placer that carries them out. Nothing here
//! performs I/O or refers to the placer.

use bulrushlink_core::WorkspaceId;

use crate::catalog::Ceiling;
use crate::model::Resources;

pub(crate) mod admission;
mod breaker;
mod preemption;
mod quota;
mod reserve;
mod retry;
mod run_time;
mod share;
mod tolerance;
mod widths;

pub(crate) use breaker::{BreakerState, Breakers, Change, FailedRun, Incident};
pub(crate) use preemption::{Demand, Stake, Verdict, is_in_time, judge, leeway};
pub(crate) use quota::Quotas;
pub(crate) use reserve::{Reserve, Usage};
pub(crate) use retry::{LostWork, Place, Retries};
pub(crate) use run_time::{Forecast, Model, RunTimes, Sample, Shape, StepKey, TimesRecord};
pub(crate) use share::{Owner, Shares};
pub(crate) use tolerance::{Risk, Tolerance, doubt};
pub(crate) use widths::Widths;

/// What a workspace uses and is entitled to, for the metrics and the dump.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Standing {
    /// `None` for all jobs without a workspace.
    pub(crate) workspace: Option<WorkspaceId>,
    pub(crate) used: Resources,
    pub(crate) ceiling: Ceiling,
    /// Its fair share, as a fraction of the workers in its dominant resource; 0 without weights.
    pub(crate) share: f64,
    /// What it lacks of its share; negative if it is over it.
    pub(crate) debt: f64,
}
