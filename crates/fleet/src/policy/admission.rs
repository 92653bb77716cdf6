//! Admission of jobs: refuses at once what can't end in time to be of use.
//!
//! Load pattern: demand swings by half within 15 s on a fleet that is too small at times, or one workspace
//! sends many times its usual load, or wide gangs arrive in a burst. Jobs that wait for longer than three
//! times their allowed time are of no use to their callers, who learn that only at the end, and what they
//! ran for is lost. The placer forecasts the waits; each daemon decides by its latest copy of the forecast.
//!
//! The rules err on the side of accepting: without a row for a queue, with guaranteed work, and with work
//! that fits into idle room, nothing is refused.

use bulrushlink_core::{Span, WorkspaceId};
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::catalog::{Ceiling, Queue, Workspace};
use crate::ids::JobId;
use crate::model::{JobSpec, Resources, Step};

mod accuracy;
mod queueing;
mod rows;

pub(crate) use accuracy::Accuracy;
pub(crate) use queueing::{Demand, Entry, Pool, Probe, Supply, forecast_waits, share};
pub(crate) use rows::ROWS_MAX;

/// A job that ends after this multiple of its allowed time is of no use.
const USEFUL_FACTOR: u64 = 3;
/// Upper bounds of the cost classes of a step, in accelerator-seconds. Among the jobs of one priority the
/// placer prefers the cheaper ones, so the wait depends on the cost. A burst consists of jobs of about the
/// same cost, of which the latest goes last, so a class has the wait of its most expensive jobs.
pub(crate) const COSTS: [f64; 13] =
    [1.0, 2.0, 4.0, 8.0, 16.0, 32.0, 64.0, 128.0, 256.0, 512.0, 1_024.0, 2_048.0, 4_096.0];
/// Widths of a step for which there are waits, in thousandths of a worker.
pub(crate) const WIDTHS: [u64; 5] = [125, 1_000, 4_000, 16_000, 64_000];
/// Number of waits in a row: one for each cost and width.
pub(crate) const CLASSES: usize = COSTS.len() * WIDTHS.len();
/// Jobs of priority 0 may use this multiple of a guarantee before they can be refused. The forecast is
/// seconds old, and half of the jobs that use the guarantee may have ended since.
pub(crate) const GUARANTEE_MARGIN: u64 = 2;
/// Shortest time to come back; a second is also the unit of the answer's header.
const RETRY_MIN: Span = Span(1_000);
/// Shortest time over which those that come back are spread; the answer states whole seconds.
const RETRY_SPREAD_MIN: Span = Span(6_000);
/// Longest time to come back from a queue that drains; the load swings within 15 s.
const RETRY_MAX: Span = Span(15_000);
/// Time to come back for a job that doesn't fit the ceiling or the fleet until that is changed.
const RETRY_UNFIT: Span = Span(60_000);
/// Doublings of accelerator-seconds per allowed second between a job that loses little and one that loses
/// most; gangs of 64 accelerators are at 6.
const LOSS_DOUBLINGS: f64 = 6.0;

/// The forecast that the placer writes to the store.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct LoadForecast {
    /// Sorted by endpoint.
    pub(crate) fleets: Vec<FleetSize>,
    /// Sorted by queue and workspace; without those that need not wait.
    pub(crate) rows: Vec<Row>,
    /// Work waits that is wider than all workers.
    pub(crate) oversize: bool,
    /// Accelerators that the urgent jobs of a workspace may still use; sorted by workspace.
    pub(crate) spare: Vec<(WorkspaceId, u64)>,
}

/// The workers of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FleetSize {
    pub(crate) endpoint: String,
    /// Sum over the registered workers.
    pub(crate) total: Resources,
    /// Largest amount of each resource on one worker.
    pub(crate) worker: Resources,
}

/// Forecast for the jobs of a queue, or of one workspace in it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Row {
    pub(crate) queue: String,
    /// `None` for the workspaces without a row of their own.
    pub(crate) workspace: Option<WorkspaceId>,
    /// Room that is free now and that the ceiling allows to use.
    pub(crate) idle: Resources,
    /// Jobs that have not begun.
    pub(crate) waiting: u32,
    /// Jobs that begin, in a thousand seconds.
    pub(crate) drained: u32,
    /// Milliseconds until a step starts, by cost class and then by width class; empty while the forecast
    /// of the queue is not to be relied on.
    pub(crate) waits: Vec<u32>,
}

/// A job on which a daemon has to decide.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Submission<'a> {
    pub(crate) id: JobId,
    pub(crate) spec: &'a JobSpec,
    pub(crate) queue: &'a Queue,
    pub(crate) workspace: Option<&'a Workspace>,
    /// Time since the job was due.
    pub(crate) age: Span,
}

/// Why a job is refused.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum Reason {
    /// A step is wider than the ceiling of its workspace.
    #[display("wider than the workspace's ceiling")]
    OverCeiling,
    /// A step is wider than all workers together.
    #[display("wider than all workers")]
    OverFleet,
    /// It would end too late to be of use.
    #[display("can't end in time")]
    TooLate,
}

/// A refusal, with the figures behind it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) reason: Reason,
    /// Forecast wait; zero if the job can't be served at all.
    pub(crate) wait: Span,
    /// Time from the job's due time up to which its end is of use.
    pub(crate) useful: Span,
    /// When the caller may come back.
    pub(crate) after: Span,
}

impl LoadForecast {
    /// Returns the row of a workspace in a queue.
    pub(crate) fn row(&self, queue: &str, workspace: Option<&WorkspaceId>) -> Option<&Row> {
        let find = |workspace: Option<&WorkspaceId>| {
            let key = (queue, workspace);
            let at = self.rows.binary_search_by(|r| r.key().cmp(&key)).ok()?;
            Some(&self.rows[at])
        };
        workspace.and_then(|w| find(Some(w))).or_else(|| find(None))
    }

    fn fleet(&self, endpoint: &str) -> Option<&FleetSize> {
        let at = self.fleets.binary_search_by(|f| f.endpoint.as_str().cmp(endpoint)).ok()?;
        Some(&self.fleets[at])
    }

    /// Returns true if it differs so much from `other` that decisions may differ.
    pub(crate) fn differs_notably(&self, other: &Self) -> bool {
        let keys = |f: &Self| {
            f.rows
                .iter()
                .map(|r| (r.key(), r.waits.len()))
                .ne(other.rows.iter().map(|r| (r.key(), r.waits.len())))
        };
        let moved = |a: &u32, b: &u32| a.abs_diff(*b) > NOTABLE_CHANGE_MS.max(a.max(b) / 4);
        let waits = |f: &Self| f.rows.iter().flat_map(|r| r.waits.clone()).collect::<Vec<_>>();
        self.oversize != other.oversize
            || keys(self)
            || waits(self).iter().zip(&waits(other)).any(|(a, b)| moved(a, b))
    }
}

/// Smallest change of a wait that is notable, in milliseconds: the shortest constant of an allowed time.
pub(crate) const NOTABLE_CHANGE_MS: u32 = 250;

impl Row {
    pub(crate) fn key(&self) -> (&str, Option<&WorkspaceId>) {
        (self.queue.as_str(), self.workspace.as_ref())
    }

    /// Returns the forecast wait of a step's first task, or of the whole gang.
    fn wait(&self, step: &Step, worker: &Resources) -> Span {
        let count = u64::from(step.tasks);
        let cost = run_time(step).secs_f64() * (count * step.need.accelerators) as f64;
        let width = share(&step.need, worker).saturating_mul(if step.gang { count } else { 1 });
        let class = COSTS.partition_point(|c| *c < cost).min(COSTS.len() - 1);
        let first = class * WIDTHS.len();
        let Some(waits) = self.waits.get(first..first + WIDTHS.len()) else { return Span::ZERO };
        let at = WIDTHS.partition_point(|w| *w < width);
        if at == 0 || at == WIDTHS.len() {
            return Span(u64::from(waits[at.min(WIDTHS.len() - 1)]));
        }
        let part = (width - WIDTHS[at - 1]) as f64 / (WIDTHS[at] - WIDTHS[at - 1]) as f64;
        let (low, high) = (f64::from(waits[at - 1]), f64::from(waits[at]));
        Span((low + (high - low) * part) as u64)
    }
}

/// Returns how long a task of a step runs. The only source today is the caller's estimate.
pub(crate) fn run_time(step: &Step) -> Span {
    step.estimate
}

/// Returns the time that a queue allows a job, by its caller's estimates.
pub(crate) fn allowed_time(spec: &JobSpec, queue: &Queue) -> Span {
    let chain = spec.longest_chain(|s| s.estimate);
    Span((chain.millis() as f64 * queue.stretch) as u64) + queue.target
}

/// Decides on a job; returns `None` to accept it.
pub(crate) fn refusal(job: &Submission<'_>, forecast: Option<&LoadForecast>) -> Option<Refusal> {
    let Submission { spec, queue, workspace, .. } = job;
    if spec.schedule.is_some() || spec.steps.iter().any(|s| s.endless) {
        return None;
    }
    let allowed = allowed_time(spec, queue);
    let useful = Span(allowed.millis().saturating_mul(USEFUL_FACTOR));
    let unfit = |reason| Refusal { reason, wait: Span::ZERO, useful, after: RETRY_UNFIT };
    let ceiling = workspace.and_then(|w| w.allotment).unwrap_or_default().ceiling;
    if spec.steps.iter().any(|s| !fits_ceiling(s, ceiling)) {
        return Some(unfit(Reason::OverCeiling));
    }
    let forecast = forecast?;
    let fleet = forecast.fleet(&queue.endpoint)?;
    if spec.steps.iter().any(|s| fleet.total.count(&s.need) < at_once(s)) {
        return Some(unfit(Reason::OverFleet));
    }
    let row = forecast.row(&queue.name, workspace.map(|w| &w.name))?;
    let wait = forecast_wait(job, forecast)?;
    let chain = spec.longest_chain(run_time);
    if job.age + wait + chain <= useful {
        return None;
    }
    // The wait at which it would just be accepted.
    let bearable = Span(useful.millis().saturating_sub((chain + job.age).millis()));
    let after = time_to_return(job, row, (wait, bearable), allowed);
    Some(Refusal { reason: Reason::TooLate, wait, useful, after })
}

/// Returns the wait of a job that is handed in now, or `None` if it is guaranteed. The later steps are left
/// out: what waits then is not known yet.
pub(crate) fn forecast_wait(job: &Submission<'_>, forecast: &LoadForecast) -> Option<Span> {
    if is_guaranteed(job, forecast) {
        return None;
    }
    let fleet = forecast.fleet(&job.queue.endpoint);
    let row = forecast.row(&job.queue.name, job.workspace.map(|w| &w.name));
    let (Some(fleet), Some(row)) = (fleet, row) else { return Some(Span::ZERO) };
    if fits_idle(job.spec, &row.idle) {
        return Some(Span::ZERO);
    }
    let first = job.spec.steps.iter().filter(|s| s.after.is_empty());
    Some(first.map(|s| row.wait(s, &fleet.worker)).max().unwrap_or_default())
}

/// Returns how many tasks of a step must run at the same time.
fn at_once(step: &Step) -> u64 {
    if step.gang { u64::from(step.tasks) } else { 1 }
}

fn fits_ceiling(step: &Step, ceiling: Ceiling) -> bool {
    let room = ceiling.room(&Resources::default()).unwrap_or_default();
    room.count(&step.need) >= at_once(step)
}

/// Returns true if the job is of priority 0 and may be within the guarantee of its workspace.
fn is_guaranteed(job: &Submission<'_>, forecast: &LoadForecast) -> bool {
    let Some(workspace) = job.workspace.filter(|_| job.queue.priority == 0) else { return false };
    let need = |s: &Step| u64::from(s.tasks) * s.need.accelerators;
    let width: u64 = job.spec.steps.iter().map(need).sum();
    if width > workspace.guaranteed {
        return false;
    }
    let found = forecast.spare.binary_search_by(|(name, _)| name.cmp(&workspace.name));
    // A workspace that the forecast doesn't name has no urgent jobs.
    found.map_or(true, |at| width <= forecast.spare[at].1)
}

/// Returns true if all first steps fit into the idle room.
fn fits_idle(spec: &JobSpec, idle: &Resources) -> bool {
    let first = spec.steps.iter().filter(|s| s.after.is_empty());
    let sum = first.fold(Resources::default(), |sum, step| {
        let times = |amount: u64| amount.saturating_mul(u64::from(step.tasks));
        let Resources { cpu, memory, accelerators } = step.need;
        sum.plus(&Resources {
            cpu: times(cpu),
            memory: times(memory),
            accelerators: times(accelerators),
        })
    });
    idle.fits(&sum)
}

/// Returns when the caller of a refused job may come back: once the queue has drained to a wait that the
/// job can bear, and spread over as much time again.
///
/// Jobs that lose most by waiting come back first, and equal ones at different times; the place depends on
/// the job alone, so that all daemons agree.
fn time_to_return(
    job: &Submission<'_>,
    row: &Row,
    (wait, bearable): (Span, Span),
    allowed: Span,
) -> Span {
    let excess = wait.millis().saturating_sub(bearable.millis());
    let base = match row.drained {
        0 => excess,
        drained => {
            let jobs = f64::from(row.waiting) * excess as f64 / wait.millis().max(1) as f64;
            (jobs * 1e6 / f64::from(drained)) as u64
        }
    };
    let base = base.clamp(RETRY_MIN.millis(), RETRY_MAX.millis());
    let work = |s: &Step| s.estimate.secs_f64() * (u64::from(s.tasks) * s.need.accelerators) as f64;
    let work: f64 = job.spec.steps.iter().map(work).sum();
    let rate = work / allowed.secs_f64().max(0.001);
    let loss = ((1.0 + rate).log2() / LOSS_DOUBLINGS).clamp(0.0, 1.0);
    let place = (1.0 - loss + fastrand::Rng::with_seed(job.id.0).f64()) / 2.0;
    let spread = base.max(RETRY_SPREAD_MIN.millis());
    Span(base + (spread as f64 * place) as u64)
}

#[cfg(test)]
mod tests;
