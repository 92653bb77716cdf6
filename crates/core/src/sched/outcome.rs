//! Carries jobs from their start to their end: what came of each attempt.
//!
//! An attempt that has ended is never spoken of again, so stale and repeated events fall through
//! the comparison of attempts. A job that isn't idempotent is started again only when it certainly
//! didn't run, or when this scheduler stopped it and all of its checkpoints were saved.

use crate::ids::{Attempt, JobKey, WorkerId};
use crate::job::Ending;
use crate::sched::Scheduler;
use crate::sched::event::{Action, StartFault, StopReason};
use crate::sched::fit::Place;
use crate::sched::fleet::{Seat, WorkerIx};
use crate::sched::jobs::{JobIx, Phase, Reason, part};
use crate::units::Span;

/// The most attempts of one job that may fail.
const FAILURES_MAX: u8 = 3;
/// The same for a gang that has to go back to a worker it failed on, as it needs that worker.
const FORCED_MAX: u8 = 6;
/// Wait before a job that had to go back to a worker it failed on is tried again.
const REPEAT_AFTER: Span = Span::from_secs(10);
/// The longest such wait.
const REPEAT_AFTER_MAX: Span = Span::from_secs(60);
/// Time for which nothing is started on a worker that refused a start.
const SHUN: Span = Span::from_secs(3);
/// Doublings of that time for a worker that stays silent.
const SHUN_DOUBLINGS_MAX: u8 = 5;
/// Wait after a start that wasn't permitted or couldn't be recorded.
const START_AGAIN: Span = Span(500);
/// The longest wait between two starts that don't come about.
const START_AGAIN_MAX: Span = Span::from_secs(4);
/// Starts of a job that don't come about before the next one is delayed.
const MISSTARTS_FREE: u8 = 2;

impl Scheduler {
    /// Starts a job that is on no list. A guarantee that it uses has the cells in use already.
    pub(super) fn start(&mut self, ix: JobIx, places: Vec<Place>, reason: Reason) {
        let now = self.now;
        let job = self.jobs.get_mut(ix);
        job.attempt = job.attempt.next();
        job.local = true;
        job.started = None;
        job.places = places;
        job.enter(Phase::Starting, reason, now);
        let (firm, space) = (job.firm, job.space);
        let (size, total) = (job.spec.shape.accelerators, job.spec.shape.total());
        let borrowed = job.guarantee.is_none();
        let job = self.jobs.get(ix);
        let mut task = 0;
        for place in &job.places {
            for i in 0..place.tasks {
                let set = if place.tasks == 1 { place.set } else { part(place.set, size, i) };
                self.fleet.seat(place.worker, Seat { job: ix, task, set, firm });
                task += 1;
            }
        }
        let placement = job.placement(&self.fleet);
        let (key, attempt) = (job.spec.key.clone(), job.attempt);
        self.actions.push(Action::Start { key, attempt, placement });
        let own = self.spaces.get_mut(space);
        own.note_start(now);
        if borrowed {
            own.borrowed += total;
        }
    }

    /// Returns the job if `attempt` is the one that may run now.
    fn live(&self, key: &JobKey, attempt: Attempt) -> Option<JobIx> {
        let ix = self.jobs.find(key)?;
        let job = self.jobs.get(ix);
        (job.phase.is_live() && job.attempt == attempt).then_some(ix)
    }

    /// Returns why the job is being stopped, if it is.
    fn stop_reason(&self, ix: JobIx) -> Option<StopReason> {
        match self.jobs.get(ix).phase {
            Phase::Stopping(reason, _) => Some(reason),
            _ => None,
        }
    }

    pub(super) fn on_started(&mut self, key: &JobKey, attempt: Attempt) {
        let Some(ix) = self.live(key, attempt) else { return };
        let now = self.now;
        let job = self.jobs.get_mut(ix);
        job.ran = attempt;
        job.misstarts = 0;
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
        let Some(ix) = self.live(key, attempt) else { return };
        let worker = worker.and_then(|id| self.fleet.find(id));
        if self.stop_reason(ix) == Some(StopReason::Cancelled) {
            let ran = self.jobs.get(ix).ran > Attempt(0);
            return self.finish(ix, Ending::Cancelled { ran });
        }
        if let Some(worker) = worker {
            self.note_misstart(ix, worker, fault);
        }
        let job = self.jobs.get_mut(ix);
        job.misstarts = job.misstarts.saturating_add(1);
        let count = job.misstarts;
        let elsewhere =
            matches!(fault, StartFault::Busy | StartFault::Leaving | StartFault::Silent);
        if elsewhere && count <= MISSTARTS_FREE {
            return self.requeue(ix, Reason::StartFailed(fault));
        }
        let wait = Span(START_AGAIN.0 << count.min(4)).min(START_AGAIN_MAX);
        self.delay(ix, wait, Reason::StartFailed(fault));
    }

    /// Steers the next starts away from a worker that refused one.
    fn note_misstart(&mut self, ix: JobIx, worker: WorkerIx, fault: StartFault) {
        match fault {
            StartFault::Busy => {
                let places = self.jobs.get(ix).places.clone();
                let hit = places.iter().filter(|p| p.worker == worker);
                for place in hit {
                    self.fleet.avoid(worker, place.set, self.now);
                }
                self.fleet.shun(worker, self.now + SHUN);
            }
            StartFault::Leaving => {
                self.fleet.set_leaving(worker);
                self.give_up(worker);
            }
            StartFault::Silent => self.note_silence(worker),
            StartFault::Unrecorded | StartFault::NotPermitted => {}
        }
    }

    /// Leaves a silent worker alone for a while, and from the second time on for longer and
    /// without any guarantee bound to it.
    fn note_silence(&mut self, worker: WorkerIx) {
        let health = self.fleet.health_mut(worker);
        let before = health.misses;
        health.misses = before.saturating_add(1);
        self.fleet.shun(worker, self.now + Span(SHUN.0 << before.min(SHUN_DOUBLINGS_MAX)));
        if before > 0 {
            self.give_up(worker);
        }
    }

    pub(super) fn on_completed(&mut self, key: &JobKey, attempt: Attempt, output: Vec<String>) {
        let Some(ix) = self.live(key, attempt) else { return };
        let job = self.jobs.get(ix);
        let (space, kind) = (job.space, job.spec.kind.clone());
        if job.started.is_some() {
            let time = job.unsaved(self.now) + job.saved;
            self.kinds.learn(space, &kind, time);
        }
        self.spaces.get_mut(space).earn_token();
        self.note_success(ix);
        self.finish(ix, Ending::Completed { output });
    }

    pub(super) fn on_failed(
        &mut self,
        key: &JobKey,
        attempt: Attempt,
        worker: &WorkerId,
        reason: String,
    ) {
        let Some(ix) = self.live(key, attempt) else { return };
        self.jobs.get_mut(ix).ran = attempt;
        if self.stop_reason(ix) == Some(StopReason::Cancelled) {
            return self.finish(ix, Ending::Cancelled { ran: true });
        }
        let worker = self.fleet.find(worker);
        let probe = self.note_failure(ix, worker);
        let job = self.jobs.get_mut(ix);
        if !job.repeatable() {
            return self.finish(ix, Ending::Failed { reason });
        }
        if probe {
            let failures = job.failures;
            return self.requeue(ix, Reason::Retry(failures));
        }
        job.failures += 1;
        let (failures, space) = (job.failures, job.space);
        let workers = job.failed_on.len() as u8;
        let alone = job.places.iter().all(|p| p.worker == job.places[0].worker);
        let forced = !alone && job.avoid.len() < job.failed_on.len();
        let most = if forced { FORCED_MAX } else { FAILURES_MAX };
        if workers >= FAILURES_MAX || failures >= most {
            let reason = format!("failed {failures} times on {workers} workers, at last: {reason}");
            return self.finish(ix, Ending::Failed { reason });
        }
        if !self.spaces.get_mut(space).take_token() {
            let reason = format!("failed, and the workspace's retries are used up: {reason}");
            return self.finish(ix, Ending::Failed { reason });
        }
        let repeats = failures.saturating_sub(workers.max(1));
        if repeats == 0 || !forced {
            return self.requeue(ix, Reason::Retry(failures));
        }
        let wait = Span(REPEAT_AFTER.0 << (repeats - 1)).min(REPEAT_AFTER_MAX);
        self.delay(ix, wait, Reason::Retry(failures));
    }

    pub(super) fn on_vacated(&mut self, key: &JobKey, attempt: Attempt, saved: bool) {
        let Some(ix) = self.live(key, attempt) else { return };
        let reason = self.stop_reason(ix);
        let job = self.jobs.get_mut(ix);
        job.ran = attempt;
        if saved && job.started.is_some() {
            job.saved = job.saved + job.unsaved(self.now);
        }
        let again = job.repeatable()
            || (saved && job.spec.checkpoint && reason != Some(StopReason::GangIncomplete));
        match reason {
            Some(StopReason::Cancelled) => self.finish(ix, Ending::Cancelled { ran: true }),
            Some(StopReason::GangIncomplete) if again => self.requeue(ix, Reason::WorkerLost),
            Some(reason) if again => {
                self.jobs.get_mut(ix).moves += 1;
                self.requeue(ix, Reason::Stopped(reason));
            }
            None if again => self.requeue(ix, Reason::WorkerLost),
            Some(StopReason::GangIncomplete) | None => self.end_unknown(ix),
            Some(reason) => {
                let reason = format!("stopped ({reason}) and its checkpoint wasn't saved");
                self.finish(ix, Ending::Failed { reason });
            }
        }
    }

    pub(super) fn on_unsettled(&mut self, key: &JobKey, attempt: Attempt) {
        let Some(ix) = self.live(key, attempt) else { return };
        self.jobs.get_mut(ix).ran = attempt;
        if !self.jobs.get(ix).repeatable() {
            return self.end_unknown(ix);
        }
        if self.stop_reason(ix) == Some(StopReason::Cancelled) {
            return self.finish(ix, Ending::Cancelled { ran: true });
        }
        self.requeue(ix, Reason::WorkerLost);
    }

    fn end_unknown(&mut self, ix: JobIx) {
        let attempt = self.jobs.get(ix).attempt;
        let reason = format!("attempt {attempt} was started and nothing tells its outcome");
        self.finish(ix, Ending::Unknown { reason });
    }

    /// Handles a live job whose worker is gone: a gang's other tasks are stopped first.
    pub(super) fn lose_member(&mut self, ix: JobIx, worker: WorkerIx) {
        let job = self.jobs.get(ix);
        let alone = job.unseated.is_empty() && job.places.iter().all(|p| p.worker == worker);
        if !alone {
            self.drop_member(ix, worker);
        }
        self.lose_part(ix, alone);
    }

    /// Goes on with a live job that has lost tasks; `alone` tells whether those were all.
    pub(super) fn lose_part(&mut self, ix: JobIx, alone: bool) {
        let now = self.now;
        let job = self.jobs.get_mut(ix);
        let cancelled = matches!(job.phase, Phase::Stopping(StopReason::Cancelled, _));
        if alone {
            job.ran = job.attempt;
            match (cancelled, job.repeatable()) {
                (true, _) => self.finish(ix, Ending::Cancelled { ran: true }),
                (false, true) => self.requeue(ix, Reason::WorkerLost),
                (false, false) => self.end_unknown(ix),
            }
            return;
        }
        if cancelled {
            return;
        }
        if let Phase::Stopping(_, until) = job.phase {
            let reason = StopReason::GangIncomplete;
            job.enter(Phase::Stopping(reason, until), Reason::Stopping(reason), now);
            return;
        }
        self.stop(ix, StopReason::GangIncomplete);
    }

    /// Takes the tasks on a lost worker off the ledger. The job leaves its guarantee at once, so
    /// that the guarantee can be bound to healthy hardware.
    fn drop_member(&mut self, ix: JobIx, worker: WorkerIx) {
        if self.jobs.get(ix).guarantee.is_some() {
            self.demote(ix);
        }
        self.fleet.unseat(worker, ix, self.now);
        let job = self.jobs.get_mut(ix);
        job.places.retain(|p| p.worker != worker);
        if job.places.is_empty() {
            let (space, total) = (job.space, job.spec.shape.total());
            self.spaces.get_mut(space).borrowed -= total;
        }
        self.freed = true;
    }
}
