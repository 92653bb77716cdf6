//! Feeds the learned run times, and uses them.
//!
//! What a run tells is the work of its task: the time that it took, corrected for the learned speed of its
//! worker and its distance from its data, with what an earlier run had done up to the checkpoint that it
//! resumed from. The members of a gang end together, at the pace of the slowest, and give one sample.

use bulrushlink_core::{Moment, Span};

use crate::edge::{EndCause, EndReport};
use crate::ids::{Run, TaskId};
use crate::model::Step;
use crate::policy::{Forecast, Model, Sample, Shape, StepKey};

use super::endpoints::Endpoints;
use super::job::Job;
use super::pace::WorkerPace;
use super::worker::{Phase, Slot};
use super::{Context, Placer};

/// Longest time without progress before a stop that counts as work. Progress is reported with a delay of
/// up to a hold, and a run that stood still for longer has not worked until it was stopped.
const REPORT_DELAY_MAX: Span = Span(3_000);

/// Most queues with a label of their own in the metrics; the rest share one.
const QUEUE_LABELS_MAX: usize = 16;

/// Work that stopped runs have saved in checkpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct SavedWork {
    /// The task; the first one of a gang.
    task: TaskId,
    /// The run that was stopped.
    run: Run,
    /// The checkpoint.
    saved: String,
    work: Span,
}

impl Job {
    /// Returns the key under which the run times of a step are learned.
    fn times_key(&self, step: &Step) -> StepKey<'_> {
        let (queue, workspace) = (&self.accepted_queue.name, self.state.workspace.as_ref());
        StepKey { queue, workspace, shape: Shape::of(step) }
    }

    /// Returns the work that was saved in the checkpoint from which a task resumes; `None` if that isn't
    /// known.
    pub(super) fn saved_work(&self, task: &TaskId) -> Option<Span> {
        let checkpoint = self.checkpoint(task)?;
        if checkpoint.is_empty() {
            return Some(Span::ZERO);
        }
        let key = self.saved_key(task);
        let at = self.saved_work.binary_search_by_key(&key, |s| s.task).ok()?;
        let known = &self.saved_work[at];
        (known.saved == checkpoint).then_some(known.work)
    }

    fn saved_key(&self, task: &TaskId) -> TaskId {
        let gang = self.step(task).is_some_and(|s| s.gang);
        TaskId { index: if gang { 0 } else { task.index }, ..*task }
    }

    /// Notes the work that a stopped run has saved. The members of a gang share the latest checkpoint of
    /// any of them.
    fn note_saved_work(&mut self, end: &EndReport, work: Span) {
        let (task, run, saved) = (self.saved_key(&end.task), end.run, end.saved.clone());
        match self.saved_work.binary_search_by_key(&task, |s| s.task) {
            Ok(at) if self.saved_work[at].run == run => self.saved_work[at].saved = saved,
            Ok(at) => self.saved_work[at] = SavedWork { task, run, saved, work },
            Err(at) => self.saved_work.insert(at, SavedWork { task, run, saved, work }),
        }
    }
}

impl Placer {
    /// Returns the forecast of the work of a step's tasks.
    pub(super) fn forecast(&self, ctx: &Context<'_>, job: &Job, step: &Step) -> Forecast {
        if !ctx.features.learned_times || step.endless {
            return Forecast::of_estimate(step.estimate);
        }
        self.times.forecast(ctx.clock.now, &job.times_key(step), step.estimate)
    }

    /// Returns the expected work of a task of a step.
    pub(super) fn expected_work(&self, ctx: &Context<'_>, job: &Job, step: &Step) -> Span {
        self.forecast(ctx, job, step).median
    }

    /// Sets the gauges of what is learned.
    pub(super) fn show_times(&self, ctx: &Context<'_>) {
        if !ctx.features.learned_times {
            return;
        }
        metrics::gauge!("bulrushlink_time_groups").set(self.times.len() as f64);
        for queue in ctx.catalog.into_iter().flat_map(|c| c.queues.iter().take(QUEUE_LABELS_MAX)) {
            if let Some(newest) = self.times.newest(&queue.name) {
                let age = ctx.clock.now.since(newest).secs_f64();
                metrics::gauge!("bulrushlink_time_age_s", "queue" => queue.name.clone()).set(age);
            }
        }
    }

    /// Returns the means of the logarithms of the workers' speeds, for each endpoint.
    ///
    /// Speeds are compared by tasks of the same step, which all run on one endpoint, so they say nothing
    /// about the workers of another.
    pub(super) fn mean_speeds(&self) -> Endpoints<f64> {
        let mut sums: Endpoints<(f64, f64)> = Endpoints::default();
        for worker in &self.workers {
            if let Some(log) = worker.pace.known_log() {
                let (sum, count) = sums.entry(worker.endpoint());
                *sum += log;
                *count += 1.0;
            }
        }
        let mut means = Endpoints::default();
        for (endpoint, (sum, count)) in sums.iter_mut() {
            *means.entry(endpoint) = *sum / *count;
        }
        means
    }

    /// Returns the mean of the logarithms of the speeds of an endpoint's workers.
    fn mean_speed(&self, endpoint: &str) -> f64 {
        let workers = self.workers.iter().filter(|w| w.endpoint() == endpoint);
        WorkerPace::mean_log(workers.map(|w| &w.pace))
    }

    /// Returns the time that a run is expected to go on; `None` if that isn't learned or the start of the
    /// run isn't known. `mean_log` is the mean of the logarithms of the speeds of the endpoint's workers.
    pub(super) fn learned_remaining(
        &self,
        ctx: &Context<'_>,
        at: usize,
        slot: &Slot,
        mean_log: f64,
    ) -> Option<Span> {
        let job = &self.jobs[self.job_index(slot.task.job).ok()?];
        let step = job.step(&slot.task)?;
        let model = self.learned_work(ctx, job, step)?;
        self.remaining_by(ctx, (at, mean_log), (job, step, &model), slot)
    }

    /// Returns the learned distribution of a step's work; `None` if it has none that counts.
    pub(super) fn learned_work(&self, ctx: &Context<'_>, job: &Job, step: &Step) -> Option<Model> {
        if !ctx.features.learned_times || step.endless {
            return None;
        }
        self.times.model(&job.times_key(step), step.estimate)
    }

    /// Returns the time that a run of a step is expected to go on by the distribution of the step's work.
    pub(super) fn remaining_by(
        &self,
        ctx: &Context<'_>,
        (at, mean_log): (usize, f64),
        (job, step, model): (&Job, &Step, &Model),
        slot: &Slot,
    ) -> Option<Span> {
        if !slot.timed || slot.phase != Phase::Running {
            return None;
        }
        let saved_work = slot.saved_work?;
        let pace = self.run_pace(ctx, (at, mean_log), job, step, &slot.task);
        let ran = scale(ctx.clock.now.since(slot.started), pace) + saved_work;
        Some(scale(model.remaining(step.estimate, ran), 1.0 / pace))
    }

    /// Learns from the end of a run, before the end is applied to its job. The report is `timely` if the
    /// run has ended just now.
    pub(super) fn learn_run_time(
        &mut self,
        ctx: &Context<'_>,
        at: usize,
        slot: &Slot,
        end: &EndReport,
        timely: bool,
    ) {
        if !ctx.features.learned_times || !slot.timed {
            return;
        }
        let Ok(j) = self.job_index(end.task.job) else { return };
        let job = &self.jobs[j];
        let (Some(step), Some(record)) = (job.step(&end.task), job.task(&end.task)) else { return };
        let failed = job.step_record(&end.task).is_some_and(|s| s.failed_run == end.run);
        // The first member of a gang that ends ends all others.
        if step.endless || record.done || record.run != end.run || failed {
            return;
        }
        let now = ctx.clock.now;
        let mean_log = self.mean_speed(self.workers[at].endpoint());
        let pace = self.run_pace(ctx, (at, mean_log), job, step, &end.task);
        let work = |until: Moment| {
            let own = scale(until.since(slot.started), pace);
            own + slot.saved_work.unwrap_or(Span::ZERO)
        };
        let sample = match end.cause {
            EndCause::Done if !timely => return,
            // What earlier runs had done isn't known, so the work is more than this.
            EndCause::Done if slot.saved_work.is_none() => Sample::Stopped(work(now)),
            EndCause::Done => Sample::Finished(work(now)),
            EndCause::Stopped => Sample::Stopped(work(slot.moved)),
            EndCause::Failed | EndCause::Lapsed | EndCause::Broken | EndCause::Alone => return,
        };
        let stopped = end.cause == EndCause::Stopped;
        if !stopped || !step.gang || end.task.index == 0 {
            let (key, estimate) = (job.times_key(step), step.estimate);
            let before = self.times.forecast(now, &key, estimate);
            self.times.observe(now, &key, estimate, sample);
            let after = self.times.forecast(now, &key, estimate);
            log::debug!(
                event = "time_learned", task:% = end.task, queue:% = key.queue, sample:? = sample,
                estimate_ms = estimate.millis(), forecast_ms = before.median.millis(),
                source:% = before.source, samples = after.samples, pace = pace; "learned from a run"
            );
            if after.source != before.source {
                log::info!(
                    event = "times_source", job:% = job.id, queue:% = key.queue, step = end.task.step,
                    source:% = after.source, estimate_ms = estimate.millis(),
                    forecast_ms = after.median.millis(), high_ms = after.high.millis(),
                    samples = after.samples; "run times of such steps have another source from now on"
                );
            }
            if let Sample::Finished(work) = sample {
                record_errors(queue_label(ctx, key.queue), work, estimate, before.median);
            }
        }
        if stopped && step.saves && !end.saved.is_empty() && slot.saved_work.is_some() {
            let worked = slot.since.since(slot.moved) <= REPORT_DELAY_MAX;
            let work = work(if worked { slot.since } else { slot.moved });
            self.jobs[j].note_saved_work(end, work);
        }
    }

    /// Returns the work that a run does per time: 1 on a worker of average speed near the task's data.
    fn run_pace(
        &self,
        ctx: &Context<'_>,
        (at, mean_log): (usize, f64),
        job: &Job,
        step: &Step,
        task: &TaskId,
    ) -> f64 {
        let (mut speed, mut spread) = (self.workers[at].pace.speed(mean_log), false);
        let rack = |at: usize| self.workers[at].entry.as_ref().and_then(|e| e.rack.as_ref());
        let away = |at: usize| step.near.is_some() && rack(at) != step.near.as_ref();
        let mut slowed = away(at);
        if step.gang {
            let tasks = job.step_record(task).into_iter().flat_map(|s| &s.tasks);
            for place in tasks.filter_map(|t| t.place.as_ref()) {
                let Ok(other) = self.worker_index(&place.worker) else { continue };
                speed = speed.min(self.workers[other].pace.speed(mean_log));
                spread |= rack(other) != rack(at);
                slowed |= away(other);
            }
        }
        slowed |= step.one_rack && spread;
        if slowed { speed / ctx.bounds.remote_factor.max(1.0) } else { speed }
    }
}

/// Returns the label of a queue in the metrics: its name if it is one of the first of the configuration.
fn queue_label(ctx: &Context<'_>, queue: &str) -> String {
    let queues = ctx.catalog.into_iter().flat_map(|c| c.queues.iter().take(QUEUE_LABELS_MAX));
    let known = queues.map(|q| &q.name).find(|name| *name == queue);
    known.map_or("other", |name| name).to_string()
}

/// Records the errors of the estimate and of the forecast of a task's work, as absolute natural
/// logarithms of the factors.
fn record_errors(queue: String, work: Span, estimate: Span, forecast: Span) {
    let error = |guess: Span| {
        let ratio = guess.millis().max(1) as f64 / work.millis().max(1) as f64;
        ratio.ln().abs()
    };
    for (of, guess) in [("estimate", estimate), ("forecast", forecast)] {
        metrics::histogram!("bulrushlink_time_error", "queue" => queue.clone(), "of" => of)
            .record(error(guess));
    }
}

/// Returns a multiple of a span.
fn scale(span: Span, factor: f64) -> Span {
    Span((span.millis() as f64 * factor) as u64)
}
