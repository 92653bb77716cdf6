//! Takes jobs from their start to their end, according to the outcome of each attempt.
//!
//! A job's attempt number only grows, so stale and repeated events are recognized by comparing
//! attempts. A job that is not idempotent is started again only if it certainly did not run, or if
//! this scheduler stopped it and all of its checkpoints were saved.

use crate::ids::{Attempt, JobKey, WorkerId};
use crate::job::Ending;
use crate::sched::Scheduler;
use crate::sched::event::{Action, StartFault, StopReason};
use crate::sched::fit::Place;
use crate::sched::fleet::{Allocation, WorkerIx};
use crate::sched::jobs::{JobIx, Phase, Reason, task_set};
use crate::units::Span;

/// Maximum number of failed attempts of a job, and of workers that it failed on.
const FAILURES_MAX: u8 = 3;
/// Maximum number of failed attempts of a gang that cannot avoid every worker it failed on, because
/// the other workers do not suffice for its shape.
const UNAVOIDABLE_FAILURES_MAX: u8 = 6;
/// Delay before a gang that cannot avoid a worker it failed on is tried again; doubled with each
/// further retry.
const SAME_WORKER_RETRY_DELAY: Span = Span::from_secs(10);
/// Upper bound of that delay.
const SAME_WORKER_RETRY_DELAY_MAX: Span = Span::from_secs(60);
/// Time for which nothing is started on a worker after a failed start.
const START_BACKOFF: Span = Span::from_secs(3);
/// Maximum number of doublings of that time for a worker that does not answer.
const START_BACKOFF_DOUBLINGS_MAX: u8 = 5;
/// Base of the delay after a failed start; each failed start in a row doubles it, the first one
/// included.
const START_RETRY_DELAY: Span = Span(500);
/// Upper bound of that delay.
const START_RETRY_DELAY_MAX: Span = Span::from_secs(4);
/// Failed starts in a row, each because of a worker, that are tried again without a delay.
const IMMEDIATE_START_RETRIES_MAX: u8 = 2;

impl Scheduler {
    /// Starts a job that is on no list. If it runs in a guarantee, its bindings must be in use
    /// already.
    pub(super) fn start(&mut self, ix: JobIx, places: Vec<Place>, reason: Reason) {
        let now = self.now;
        let job = self.jobs.get_mut(ix);
        job.attempt = job.attempt.next();
        job.local = true;
        job.started = None;
        job.places = places;
        job.set_phase(Phase::Starting, reason, now);
        let (pinned, space) = (job.pinned, job.space);
        let (size, total) = (job.spec.shape.accelerators, job.spec.shape.total());
        let borrowed = job.guarantee.is_none();
        let job = self.jobs.get(ix);
        let mut task = 0;
        for place in &job.places {
            for i in 0..place.tasks {
                let set = if place.tasks == 1 { place.set } else { task_set(place.set, size, i) };
                self.fleet.allocate(place.worker, Allocation { job: ix, task, set, pinned });
                task += 1;
            }
        }
        let placement = job.placement(&self.fleet);
        let (key, attempt) = (job.spec.key.clone(), job.attempt);
        self.actions.push(Action::Start { key, attempt, placement });
        let own = self.spaces.get_mut(space);
        own.record_start(now);
        if borrowed {
            own.borrowed += total;
        }
    }

    /// Returns the job if `attempt` is its current attempt and may be running.
    fn find_live(&self, key: &JobKey, attempt: Attempt) -> Option<JobIx> {
        let ix = self.jobs.find(key)?;
        let job = self.jobs.get(ix);
        (job.phase.is_live() && job.attempt == attempt).then_some(ix)
    }

    /// Returns the reason for which the job is being stopped, if it is.
    fn stop_reason(&self, ix: JobIx) -> Option<StopReason> {
        match self.jobs.get(ix).phase {
            Phase::Stopping(reason, _) => Some(reason),
            _ => None,
        }
    }

    pub(super) fn on_started(&mut self, key: &JobKey, attempt: Attempt) {
        let Some(ix) = self.find_live(key, attempt) else { return };
        let now = self.now;
        let job = self.jobs.get_mut(ix);
        job.ran_attempt = attempt;
        job.start_failures = 0;
        if job.started.is_none() {
            job.started = Some(now);
        }
        if job.phase == Phase::Starting {
            job.phase = Phase::Running;
            job.since = now;
        }
        for place in &job.places {
            self.fleet.health_mut(place.worker).misses = 0;
        }
    }

    pub(super) fn on_start_failed(
        &mut self,
        key: &JobKey,
        attempt: Attempt,
        worker: Option<&WorkerId>,
        fault: StartFault,
    ) {
        let Some(ix) = self.find_live(key, attempt) else { return };
        let worker = worker.and_then(|id| self.fleet.find(id));
        if self.stop_reason(ix) == Some(StopReason::Cancelled) {
            let ran = self.jobs.get(ix).ran_attempt > Attempt(0);
            return self.finish(ix, Ending::Cancelled { ran });
        }
        if let Some(worker) = worker {
            self.record_start_failure(ix, worker, fault);
        }
        let job = self.jobs.get_mut(ix);
        job.start_failures = job.start_failures.saturating_add(1);
        let count = job.start_failures;
        let worker_fault =
            matches!(fault, StartFault::Busy | StartFault::Leaving | StartFault::Silent);
        if worker_fault && count <= IMMEDIATE_START_RETRIES_MAX {
            return self.requeue(ix, Reason::StartFailed(fault));
        }
        let wait = Span(START_RETRY_DELAY.0 << count.min(4)).min(START_RETRY_DELAY_MAX);
        self.delay(ix, wait, Reason::StartFailed(fault));
    }

    /// Keeps the next starts away from a worker that a start failed on.
    fn record_start_failure(&mut self, ix: JobIx, worker: WorkerIx, fault: StartFault) {
        match fault {
            StartFault::Busy => {
                let places = self.jobs.get(ix).places.clone();
                let failed = places.iter().filter(|p| p.worker == worker);
                for place in failed {
                    self.fleet.mark_foreign(worker, place.set, self.now);
                }
                self.fleet.back_off(worker, self.now + START_BACKOFF);
            }
            StartFault::Leaving => {
                self.fleet.set_leaving(worker);
                self.unbind_worker(worker);
            }
            StartFault::Silent => self.record_unanswered_start(worker),
            StartFault::Unrecorded | StartFault::NotPermitted => {}
        }
    }

    /// Backs off from a worker that did not answer a start. From the second time in a row, the
    /// backoff doubles and no guarantee stays bound to the worker.
    fn record_unanswered_start(&mut self, worker: WorkerIx) {
        let health = self.fleet.health_mut(worker);
        let before = health.misses;
        health.misses = before.saturating_add(1);
        self.fleet.back_off(
            worker,
            self.now + Span(START_BACKOFF.0 << before.min(START_BACKOFF_DOUBLINGS_MAX)),
        );
        if before > 0 {
            self.unbind_worker(worker);
        }
    }

    pub(super) fn on_completed(&mut self, key: &JobKey, attempt: Attempt, output: Vec<String>) {
        let Some(ix) = self.find_live(key, attempt) else { return };
        let job = self.jobs.get(ix);
        let (space, kind) = (job.space, job.spec.kind.clone());
        if job.started.is_some() {
            let time = job.unsaved_time(self.now) + job.saved_time;
            self.kinds.record_run_time(space, &kind, time);
        }
        self.spaces.get_mut(space).earn_token();
        self.record_success(ix);
        self.finish(ix, Ending::Completed { output });
    }

    pub(super) fn on_failed(
        &mut self,
        key: &JobKey,
        attempt: Attempt,
        worker: &WorkerId,
        reason: String,
    ) {
        let Some(ix) = self.find_live(key, attempt) else { return };
        self.jobs.get_mut(ix).ran_attempt = attempt;
        if self.stop_reason(ix) == Some(StopReason::Cancelled) {
            return self.finish(ix, Ending::Cancelled { ran: true });
        }
        let worker = self.fleet.find(worker);
        let probe = self.record_failure(ix, worker);
        let job = self.jobs.get_mut(ix);
        if !job.retryable() {
            return self.finish(ix, Ending::Failed { reason });
        }
        if probe {
            let failures = job.failures;
            return self.requeue(ix, Reason::Retry(failures));
        }
        job.failures += 1;
        let (failures, space) = (job.failures, job.space);
        let workers = job.failed_on.len() as u8;
        let one_worker = job.places.iter().all(|p| p.worker == job.places[0].worker);
        let unavoidable = !one_worker && job.avoid.len() < job.failed_on.len();
        let limit = if unavoidable { UNAVOIDABLE_FAILURES_MAX } else { FAILURES_MAX };
        if workers >= FAILURES_MAX || failures >= limit {
            let reason = format!("failed {failures} times on {workers} workers, at last: {reason}");
            return self.finish(ix, Ending::Failed { reason });
        }
        if !self.spaces.get_mut(space).take_token() {
            let reason = format!("failed, and the workspace's retries are used up: {reason}");
            return self.finish(ix, Ending::Failed { reason });
        }
        let retries = failures.saturating_sub(workers.max(1));
        if retries == 0 || !unavoidable {
            return self.requeue(ix, Reason::Retry(failures));
        }
        let wait =
            Span(SAME_WORKER_RETRY_DELAY.0 << (retries - 1)).min(SAME_WORKER_RETRY_DELAY_MAX);
        self.delay(ix, wait, Reason::Retry(failures));
    }

    pub(super) fn on_stop_completed(&mut self, key: &JobKey, attempt: Attempt, saved: bool) {
        let Some(ix) = self.find_live(key, attempt) else { return };
        let reason = self.stop_reason(ix);
        let job = self.jobs.get_mut(ix);
        job.ran_attempt = attempt;
        if saved && job.started.is_some() {
            job.saved_time = job.saved_time + job.unsaved_time(self.now);
        }
        let restartable = job.retryable()
            || (saved && job.spec.checkpoint && reason != Some(StopReason::GangIncomplete));
        match reason {
            Some(StopReason::Cancelled) => self.finish(ix, Ending::Cancelled { ran: true }),
            Some(StopReason::GangIncomplete) if restartable => self.requeue(ix, Reason::WorkerLost),
            Some(reason) if restartable => {
                self.jobs.get_mut(ix).preemptions += 1;
                self.requeue(ix, Reason::Stopped(reason));
            }
            None if restartable => self.requeue(ix, Reason::WorkerLost),
            Some(StopReason::GangIncomplete) | None => self.finish_unknown(ix),
            Some(reason) => {
                let reason = format!("stopped ({reason}) and its checkpoint wasn't saved");
                self.finish(ix, Ending::Failed { reason });
            }
        }
    }

    pub(super) fn on_outcome_unknown(&mut self, key: &JobKey, attempt: Attempt) {
        let Some(ix) = self.find_live(key, attempt) else { return };
        self.jobs.get_mut(ix).ran_attempt = attempt;
        if !self.jobs.get(ix).retryable() {
            return self.finish_unknown(ix);
        }
        if self.stop_reason(ix) == Some(StopReason::Cancelled) {
            return self.finish(ix, Ending::Cancelled { ran: true });
        }
        self.requeue(ix, Reason::WorkerLost);
    }

    fn finish_unknown(&mut self, ix: JobIx) {
        let attempt = self.jobs.get(ix).attempt;
        let reason = format!("attempt {attempt} was started and nothing tells its outcome");
        self.finish(ix, Ending::Unknown { reason });
    }

    /// Handles a live job that has lost a worker. The remaining tasks of a gang are stopped first.
    pub(super) fn handle_lost_worker(&mut self, ix: JobIx, worker: WorkerIx) {
        let job = self.jobs.get(ix);
        let all_lost = job.unresolved.is_empty() && job.places.iter().all(|p| p.worker == worker);
        if !all_lost {
            self.release_lost_tasks(ix, worker);
        }
        self.handle_lost_tasks(ix, all_lost);
    }

    /// Ends, requeues or stops a live job that has lost tasks; `all_lost` is true if it has none
    /// left.
    pub(super) fn handle_lost_tasks(&mut self, ix: JobIx, all_lost: bool) {
        let now = self.now;
        let job = self.jobs.get_mut(ix);
        let cancelled = matches!(job.phase, Phase::Stopping(StopReason::Cancelled, _));
        if all_lost {
            job.ran_attempt = job.attempt;
            match (cancelled, job.retryable()) {
                (true, _) => self.finish(ix, Ending::Cancelled { ran: true }),
                (false, true) => self.requeue(ix, Reason::WorkerLost),
                (false, false) => self.finish_unknown(ix),
            }
            return;
        }
        if cancelled {
            return;
        }
        if let Phase::Stopping(_, retry_at) = job.phase {
            let reason = StopReason::GangIncomplete;
            job.set_phase(Phase::Stopping(reason, retry_at), Reason::Stopping(reason), now);
            return;
        }
        self.stop(ix, StopReason::GangIncomplete);
    }

    /// Deallocates the tasks of a job on a lost worker. The job leaves its guarantee at once, so
    /// that the guarantee can be bound to healthy hardware.
    fn release_lost_tasks(&mut self, ix: JobIx, worker: WorkerIx) {
        if self.jobs.get(ix).guarantee.is_some() {
            self.demote_to_borrower(ix);
        }
        self.fleet.deallocate(worker, ix, self.now);
        let job = self.jobs.get_mut(ix);
        job.places.retain(|p| p.worker != worker);
        if job.places.is_empty() {
            let (space, total) = (job.space, job.spec.shape.total());
            self.spaces.get_mut(space).borrowed -= total;
        }
        self.freed = true;
    }
}
