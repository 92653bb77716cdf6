//! Learned run times.
//!
//! Load pattern: callers' estimates are wrong by 20% to 90%, by factors that differ between queues and
//! change over time, and 3% of the tasks take 7 times as long as the others. Placement that orders work
//! by such estimates starts long work first, and gives up work that would have ended in time.
//!
//! Two quantities are learned from the runs of a step: the work, and its ratio to the caller's estimate.
//! An estimate that is wrong by the same factor for all jobs is corrected by the ratio; one that is wrong
//! by another factor each time says little, and then the work of the earlier runs says more. Both are
//! combined by their spreads, so that neither has to be chosen in advance. The result counts only as far
//! as it has been closer to the true work than the estimates themselves.

use bulrushlink_core::{Moment, Span, WorkspaceId};
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::model::{Step, TASK_VALUE_MAX};
use window::Table;

mod groups;
mod snapshot;
mod window;

use groups::{Group, Level};
pub(crate) use snapshot::TimesRecord;

/// Samples of a group at which it counts as much as all coarser groups together.
const GROUP_SAMPLES_HALF: f32 = 8.0;
/// Most samples that the group of a workspace's whole queue counts for: half of the forecast comes from
/// the shape of the step, which says more about the absolute work.
const WHOLE_QUEUE_SAMPLES_MAX: u32 = 8;
/// Least spread of a learned quantity, as a logarithm; the sketches are not more accurate.
const SPREAD_MIN: f32 = 0.03;
/// Spreads by which a forecast from the estimate and one from earlier work may differ. Beyond this the
/// step is unlike the earlier ones, and the earlier work counts less.
const DISAGREEMENT_MAX: f32 = 3.0;
/// Ratio of work to estimate, as a logarithm, beyond which the estimate is absurd and is ignored: a
/// factor of 100.
const RATIO_LOG_MAX: f32 = 4.6;
/// Samples from which an absurd estimate is replaced by the learned work.
const SAMPLES_MIN: f32 = 8.0;
/// Forecasts of a workspace that must have been compared with its estimates before its own errors count.
/// With 8, chance made forecasts count that were no better than the estimates.
const ERRORS_MIN: u32 = 16;
/// The same of the median workspace, before the errors that the workspaces have in common count for one
/// with fewer of its own. At least three workspaces contribute, so that there are 18 comparisons.
const COMMON_ERRORS_MIN: u32 = 6;
/// Fraction by which the errors of learned forecasts have to be lower than those of the estimates before
/// the forecasts count at all. Differences below this are chance.
const ADVANTAGE_MIN: f32 = 0.1;
/// The same before they count in full.
const ADVANTAGE_FULL: f32 = 0.25;
/// Standard errors by which the difference of the errors has to exceed 0 before the forecasts count at
/// all. Over thousands of runs a smaller one is reached by chance.
const CERTAINTY_MIN: f32 = 4.0;
/// The same before they count in full.
const CERTAINTY_FULL: f32 = 5.0;
/// A stopped run gives a sample only if at least this fraction of runs is expected to take less time than
/// it has run: others say next to nothing.
const STOPPED_FRACTION_MIN: f32 = 0.25;
/// Step of the sequence that spreads the work of stopped runs evenly over what is possible: the golden
/// ratio's fractional part.
const SEQUENCE_STEP: f32 = 0.618_034;
/// Largest fraction below a run's time at which its remaining time is taken from the distribution.
const KNOWN_FRACTION_MAX: f32 = 0.99;

/// What kind of step a task belongs to, for grouping.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[display("need {need}, width {width}")]
pub(crate) struct Shape {
    /// Class of the accelerators that a task needs: 0, 1, 2 to 3, 4 to 7, and so on.
    need: u8,
    /// Class of the gang's width in the same way; 0 for independent tasks.
    width: u8,
}

impl Shape {
    pub(crate) fn of(step: &Step) -> Self {
        let class = |n: u64| (u64::BITS - n.leading_zeros()) as u8;
        let width = if step.gang { u64::from(step.tasks) } else { 0 };
        Self { need: class(step.need.accelerators), width: class(width) }
    }
}

/// Identifies the steps whose runs are alike.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StepKey<'a> {
    pub(crate) queue: &'a str,
    pub(crate) workspace: Option<&'a WorkspaceId>,
    pub(crate) shape: Shape,
}

/// What a forecast is based on.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum Source {
    /// The caller's estimate alone.
    #[display("estimate")]
    Estimate,
    /// Finished runs, and the estimate as far as it is useful.
    #[display("learned")]
    Learned,
}

/// Work of a task in the time that a worker of average speed takes near the task's data.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Forecast {
    pub(crate) median: Span,
    /// Quantile of 0.9.
    pub(crate) high: Span,
    /// Age of the newest sample; `None` if there is none.
    pub(crate) age: Option<Span>,
    /// Number of recent samples of the finest group.
    pub(crate) samples: u32,
    pub(crate) source: Source,
}

impl Forecast {
    /// Returns the caller's estimate as a forecast.
    pub(crate) fn of_estimate(estimate: Span) -> Self {
        let source = Source::Estimate;
        Self { median: estimate, high: estimate, age: None, samples: 0, source }
    }
}

/// Work of a run, corrected for its worker's speed and its distance from its data.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Sample {
    /// The run finished after this work.
    Finished(Span),
    /// The run was stopped after this work, so its task takes more.
    Stopped(Span),
}

/// Run times learned from earlier runs.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunTimes {
    /// Sorted by queue, shape and workspace.
    groups: Vec<Group>,
    /// What the workspaces of a queue have in common; sorted by queue and shape.
    levels: Vec<Level>,
    /// Number of stopped runs that gave a sample.
    stopped: u32,
    /// Grows with each change.
    version: u64,
}

/// The distribution of a step's work by all that is known.
pub(crate) struct Model {
    /// Quantiles of the work in milliseconds.
    work: Table,
    /// Weight of what is learned against the estimate, from 0 to 1.
    trust: f32,
}

impl RunTimes {
    /// Learns from a run of a step with the caller's estimate.
    pub(crate) fn observe(
        &mut self,
        now: Moment,
        key: &StepKey<'_>,
        estimate: Span,
        sample: Sample,
    ) {
        let model = self.known(key).model(estimate);
        let work = match sample {
            Sample::Finished(work) => log(work),
            Sample::Stopped(bound) => match self.work_of_stopped(&model, log(bound)) {
                Some(work) => work,
                None => return,
            },
        };
        self.version += 1;
        if let (Some(model), Sample::Finished(_)) = (&model, sample) {
            let errors = (work - log(estimate), work - model.work.median());
            self.score(key, errors);
        }
        let ratio = work - log(estimate);
        let ratio = (ratio.abs() <= RATIO_LOG_MAX).then_some(ratio);
        for shape in [None, Some(key.shape)] {
            self.add(now, key, shape, ratio, work);
        }
    }

    /// Returns the forecast of a step's work.
    pub(crate) fn forecast(&self, now: Moment, key: &StepKey<'_>, estimate: Span) -> Forecast {
        let known = self.known(key);
        let age = known.newest().map(|at| now.since(at));
        let samples = known.fine.map_or(0, |g| g.work.len());
        let guess = Forecast { age, samples, ..Forecast::of_estimate(estimate) };
        // Most lookups end here while the estimates are good.
        if known.trust == 0.0 {
            return guess;
        }
        let Some(model) = known.model(estimate) else { return guess };
        let by_estimate = log(estimate);
        let median = by_estimate + model.trust * (model.work.median() - by_estimate);
        let high = median + model.trust * model.work.high_offset();
        Forecast { median: span(median), high: span(high), source: Source::Learned, ..guess }
    }

    /// Returns the distribution of a step's work; `None` unless it counts against the estimate.
    pub(crate) fn model(&self, key: &StepKey<'_>, estimate: Span) -> Option<Model> {
        let known = self.known(key);
        // Most lookups end here while the estimates are good.
        if known.trust > 0.0 { known.model(estimate) } else { None }
    }

    /// Returns the number of groups.
    pub(crate) fn len(&self) -> usize {
        self.groups.len()
    }

    /// Returns when the newest sample of a queue was taken.
    pub(crate) fn newest(&self, queue: &str) -> Option<Moment> {
        let whole = self.groups.iter().filter(|g| g.shape.is_none() && g.queue == queue);
        whole.map(|g| g.newest).max()
    }

    /// Returns the version, which grows with each change.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    /// Finds what is known of a step.
    fn known(&self, key: &StepKey<'_>) -> Known<'_> {
        let queue = self.level(key.queue, None);
        let whole = self.group(key.queue, None, key.workspace);
        let common = || queue.map(|l| l.errors).filter(|e| e.samples >= COMMON_ERRORS_MIN);
        let errors = whole.map(|g| g.errors).filter(|e| e.samples >= ERRORS_MIN);
        let errors = errors.or_else(common).unwrap_or_default();
        Known {
            queue,
            common: self.level(key.queue, Some(key.shape)),
            whole,
            fine: self.group(key.queue, Some(key.shape), key.workspace),
            trust: errors.trust(),
        }
    }

    /// Returns the work that a stopped run is taken to have had in all, given that it is more than
    /// `bound`; `None` if the run says too little.
    ///
    /// The samples are spread over the part of the known distribution above the bound, so that the
    /// distribution stays as it is unless runs were stopped later than it allows.
    fn work_of_stopped(&mut self, model: &Option<Model>, bound: f32) -> Option<f32> {
        let Some(model) = model else { return None };
        let below = model.work.fraction_below(bound);
        if below < STOPPED_FRACTION_MIN {
            return None;
        }
        self.stopped = self.stopped.wrapping_add(1);
        let part = (self.stopped as f32 * SEQUENCE_STEP).fract();
        Some(model.work.quantile(below + (1.0 - below) * part).max(bound))
    }
}

impl Model {
    /// Returns the work that is expected to remain of a run that has done `ran`, of a step with the caller's
    /// estimate.
    pub(crate) fn remaining(&self, estimate: Span, ran: Span) -> Span {
        let below = self.work.fraction_below(log(ran));
        let beyond = |work: Span| Span(work.millis().saturating_sub(ran.millis()));
        let learned = if below > KNOWN_FRACTION_MAX {
            // Nothing is known of such runs. In long-tailed distributions, half of the runs that have
            // come this far take as long again.
            ran
        } else {
            beyond(span(self.work.quantile((1.0 + below) / 2.0)))
        };
        // A run that has outlasted the estimate has shown that it was wrong.
        let trust = if estimate > ran { f64::from(self.trust) } else { 1.0 };
        let (learned, estimated) = (learned.millis() as f64, beyond(estimate).millis() as f64);
        Span((learned * trust + estimated * (1.0 - trust)) as u64)
    }
}

/// What is known of a step, from coarse to fine.
struct Known<'a> {
    /// What the workspaces of the queue have in common.
    queue: Option<&'a Level>,
    /// The same for steps of the shape.
    common: Option<&'a Level>,
    /// All runs of the workspace in the queue.
    whole: Option<&'a Group>,
    /// Those of the shape.
    fine: Option<&'a Group>,
    /// Weight of what is learned against the estimate, from 0 to 1, by the errors so far.
    trust: f32,
}

impl Known<'_> {
    /// Returns when the newest sample was taken.
    fn newest(&self) -> Option<Moment> {
        let own = self.fine.or(self.whole).map(|g| g.newest);
        own.or(self.common.or(self.queue).map(|l| l.newest))
    }

    /// Returns the distribution of the work, or `None` without any samples.
    fn model(&self, estimate: Span) -> Option<Model> {
        let mut blend = Blend::default();
        for level in [self.queue, self.common].into_iter().flatten() {
            blend.add((&level.ratio, level.ratios), (&level.work, level.samples), u32::MAX);
        }
        for (group, most) in [(self.whole, WHOLE_QUEUE_SAMPLES_MAX), (self.fine, u32::MAX)] {
            let Some(group) = group else { continue };
            let (ratio, work) = (&group.ratio, &group.work);
            blend.add((ratio.table(), ratio.len()), (work.table(), work.len()), most);
        }
        let known = blend.work_weight > 0.0;
        known.then(|| Model { work: blend.work(log(estimate)), trust: self.trust })
    }
}

/// The distributions of several groups, from coarse to fine.
#[derive(Default)]
struct Blend {
    /// Quantiles of the ratio of the work to the estimate.
    ratio: Table,
    /// Weight of `ratio`, from 0 without samples to almost 1.
    ratio_weight: f32,
    work: Table,
    /// Weight of `work` in the same way.
    work_weight: f32,
    /// Samples of `work` in the group that has the most.
    samples: u32,
}

impl Blend {
    /// Adds a finer group: its ratios and its work, each with the number of samples, of which at most
    /// `most` count.
    fn add(&mut self, ratio: (&Table, u32), work: (&Table, u32), most: u32) {
        self.samples = self.samples.max(work.1);
        for ((table, total), (fine, samples)) in
            [(&mut self.ratio, &mut self.ratio_weight), (&mut self.work, &mut self.work_weight)]
                .into_iter()
                .zip([ratio, work])
        {
            let samples = samples.min(most) as f32;
            let weight = samples / (samples + GROUP_SAMPLES_HALF);
            // Without coarser groups there is nothing to weigh against: whether the result is of use
            // shows in its errors.
            *table = if *total == 0.0 { *fine } else { table.blend(fine, weight) };
            *total = 1.0 - (1.0 - *total) * (1.0 - weight);
        }
    }

    /// Returns the quantiles of the work of a step with an estimate.
    fn work(&self, estimate: f32) -> Table {
        let (corrected, earlier) = (estimate + self.ratio.median(), self.work.median());
        let distance = (corrected - earlier).abs();
        if distance > RATIO_LOG_MAX && self.samples as f32 >= SAMPLES_MIN {
            return self.work;
        }
        let (ratio_spread, work_spread) =
            (self.ratio.spread().max(SPREAD_MIN), self.work.spread().max(SPREAD_MIN));
        let expected = DISAGREEMENT_MAX * ratio_spread.hypot(work_spread);
        let work_spread = work_spread + (distance - expected).max(0.0);
        let by_ratio = ratio_spread.powi(-2) * self.ratio_weight;
        let by_work = work_spread.powi(-2) * self.work_weight;
        let weight = by_work / (by_ratio + by_work);
        let median = corrected + weight * (earlier - corrected);
        self.ratio.blend(&self.work.centred(self.ratio.median()), weight).centred(median)
    }
}

/// Returns the natural logarithm of a time in milliseconds, of which 1 ms is the least.
fn log(span: Span) -> f32 {
    (span.millis().clamp(1, TASK_VALUE_MAX) as f64).ln() as f32
}

/// Returns the time of a logarithm.
fn span(log: f32) -> Span {
    Span((f64::from(log).exp().round() as u64).min(TASK_VALUE_MAX))
}

#[cfg(test)]
mod tests;
