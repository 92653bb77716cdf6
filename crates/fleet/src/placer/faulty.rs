//! Faulty workers: tells the breakers of workers what happens, and reports their changes.

use bulrushlink_core::{Moment, Span};
use std::net::SocketAddr;

use crate::edge::{EndCause, EndReport};
use crate::ids::{Boot, JobId, Run, TaskId};
use crate::plan::Room;
use crate::policy::{Breakers, Change, FailedRun, Incident, LostWork, Place};

use super::{Context, Placer};

/// Contact that was lost for less than this isn't counted: a single reply may get lost.
const CONTACT_LOSS_MIN: Span = Span(1_000);
/// Most log lines about breakers in a second.
const LOG_LINES_MAX: u32 = 40;

/// Limits the log lines about breakers.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LogLimit {
    /// When the present second began.
    since: Moment,
    lines: u32,
    /// Lines that were left out in that second.
    omitted: u32,
}

impl LogLimit {
    /// Returns true if a line may be written; reports how many were left out.
    fn allows(&mut self, now: Moment) -> bool {
        if now.since(self.since) >= Span(1_000) {
            if self.omitted > 0 {
                log::info!(event = "breaker_lines_omitted", lines = self.omitted; "too many changes of breakers for a line each");
            }
            *self = Self { since: now, lines: 0, omitted: 0 };
        }
        let allowed = self.lines < LOG_LINES_MAX;
        self.lines += u32::from(allowed);
        self.omitted += u32::from(!allowed);
        allowed
    }
}

impl Placer {
    fn addr(&self, at: usize) -> Option<SocketAddr> {
        self.workers[at].entry.as_ref().map(|e| e.addr)
    }

    /// Counts the loss of a worker once it is known whether it has crashed. Workers that may have left
    /// as planned don't count.
    pub(super) fn judge_loss(&mut self, ctx: &Context<'_>, at: usize, crashed: bool) {
        let worker = &self.workers[at];
        let (Some(loss), Some(entry)) = (worker.loss, worker.entry.as_ref()) else { return };
        if !ctx.features.breaker || !worker.was_ready(loss.at) {
            return;
        }
        let now = ctx.clock.now;
        if !crashed && (worker.slots.is_empty() || now.since(loss.at) < CONTACT_LOSS_MIN) {
            return;
        }
        let watched = self.workers.iter().filter(|w| {
            let noticed = !w.slots.is_empty() || w.loss.is_some();
            noticed && w.entry.as_ref().is_some_and(|e| e.domain == entry.domain)
        });
        let (addr, domain, watched) = (entry.addr, &entry.domain, watched.count());
        let incident = Incident { addr, domain, at: loss.at, crashed, watched };
        let change = self.breakers.record_loss(now, &incident);
        self.report_changes(now, change);
    }

    /// Counts the end of a run that started at `began`.
    pub(super) fn judge_end(
        &mut self,
        ctx: &Context<'_>,
        at: usize,
        end: &EndReport,
        began: Moment,
    ) {
        match end.cause {
            EndCause::Failed => {
                self.judge_failure(ctx, at, end.task.job, began);
                let boot = self.workers[at].boot.clone();
                self.record_retry(ctx, (&end.task, end.run), &boot, true);
            }
            EndCause::Done if ctx.features.breaker => {
                let now = ctx.clock.now;
                if let Ok(j) = self.job_index(end.task.job) {
                    self.jobs[j].retries.record_success();
                }
                let Some(addr) = self.addr(at) else { return };
                let change = self.breakers.record_success(now, addr, began);
                self.report_changes(now, change);
            }
            _ => {}
        }
    }

    /// Counts a run that has failed or makes no progress.
    pub(super) fn judge_failure(
        &mut self,
        ctx: &Context<'_>,
        at: usize,
        job: JobId,
        began: Moment,
    ) {
        let Some(addr) = self.addr(at).filter(|_| ctx.features.breaker) else { return };
        let tasks = self
            .job_index(job)
            .map_or(1, |j| self.jobs[j].spec.steps.iter().map(|s| s.tasks).max().unwrap_or(1));
        let on_sound = self.workers[at].is_sound(ctx.clock.now, job);
        let run = FailedRun { job, tasks, began, on_sound };
        let changes = self.breakers.record_failure(ctx.clock.now, addr, &run);
        self.report_changes(ctx.clock.now, changes);
    }

    /// Counts a start that the worker has refused as unhealthy.
    pub(super) fn judge_refusal(&mut self, ctx: &Context<'_>, at: usize, began: Moment) {
        let Some(addr) = self.addr(at).filter(|_| ctx.features.breaker) else { return };
        let change = self.breakers.record_refusal(ctx.clock.now, addr, began);
        self.report_changes(ctx.clock.now, change);
    }

    /// Counts a run that failed or was lost on a worker, so that its task is started again later and
    /// elsewhere.
    pub(super) fn record_retry(
        &mut self,
        ctx: &Context<'_>,
        (task, run): (&TaskId, Run),
        boot: &Boot,
        failed: bool,
    ) {
        if !ctx.features.breaker {
            return;
        }
        let entry = self.worker_index(&boot.worker).ok();
        let entry = entry.and_then(|at| self.workers[at].entry.as_ref());
        let place = entry.map(|e| Place { domain: e.domain.clone(), rack: e.rack.clone() });
        let Ok(j) = self.job_index(task.job) else { return };
        let job = &mut self.jobs[j];
        let Some(step) = job.step(task) else { return };
        let (gang, tasks, priority) = (step.gang, step.tasks, job.queue(ctx.catalog).priority);
        let work = LostWork { task: *task, run, gang, failed, tasks, priority };
        job.retries.record(ctx.clock.now, &work, place);
    }

    /// Marks the workers near to those on which runs of a job failed or were lost.
    pub(super) fn mark_failed_places(&self, job: JobId, rooms: &mut [Room]) {
        let Ok(j) = self.job_index(job) else { return };
        let retries = &self.jobs[j].retries;
        if retries.is_empty() {
            return;
        }
        for (room, worker) in rooms.iter_mut().zip(&self.workers) {
            let Some(entry) = &worker.entry else { continue };
            room.nearness = retries.nearness(&entry.domain, entry.rack.as_ref());
        }
    }

    /// Advances the breakers, and updates the metrics.
    pub(super) fn review_breakers(&mut self, ctx: &Context<'_>) {
        let before = self.breakers.counts();
        if !ctx.features.breaker && before != (0, 0) {
            log::info!(event = "breakers_dropped", open = before.0, half_open = before.1; "the settings have turned breakers off");
            self.breakers = Breakers::default();
        }
        let changes = self.breakers.review(ctx.clock.now);
        self.report_changes(ctx.clock.now, changes);
        let (open, half_open) = self.breakers.counts();
        if ctx.features.breaker || before != (open, half_open) {
            metrics::gauge!("bulrushlink_breakers", "state" => "open").set(open as f64);
            metrics::gauge!("bulrushlink_breakers", "state" => "half_open").set(half_open as f64);
        }
    }

    fn report_changes(&mut self, now: Moment, changes: impl IntoIterator<Item = Change>) {
        for change in changes {
            self.stale = true;
            if self.breaker_log.allows(now) {
                log::info!(
                    event = "breaker", addr:% = change.addr, state:? = change.state,
                    relapses = change.relapses; "{}", change.reason
                );
            }
        }
    }
}
