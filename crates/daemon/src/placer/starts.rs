//! Start and stop of gangs: reserve on all workers, record the authority to start, commit on all
//! workers, confirm on all workers. A failure or an unknown result at any step stops the whole
//! gang.

use bulrushlink_api::{TaskId, WorkerBatch, WorkerOp};
use bulrushlink_core::{Attempt, Event, JobKey, Span, StartFault, StopReason, WorkerId};

use super::Placer;
use super::calls::{CallKind, Target};
use super::gang::{AttemptOutcome, Cause, Gang, MemberState, Phase};
use super::job::Stage;
use crate::edge::Context;
use crate::journal::Intent;

/// Time allowed after a worker call's timeout before its reply counts as lost.
const REPLY_MARGIN: Span = Span(500);
/// A reservation is only committed if at least this much of its lease is left.
const RESERVATION_MARGIN: Span = Span(500);
/// How long the store has to record the authority to start.
const RECORD_TIMEOUT: Span = Span::from_secs(10);
/// Interval between retries of reservations, confirmations and stops.
const RETRY_INTERVAL: Span = Span::from_secs(1);
/// A worker that was silent for the lease divided by this is asked for a report.
const SILENCE_LEASE_DIVISOR: u64 = 2;

impl Placer {
    /// Starts an attempt.
    pub(super) fn start_attempt(&mut self, key: &JobKey, gang: Gang, cx: &mut Context<'_>) {
        let attempt = gang.attempt;
        let known = self.find(key).ok().filter(|i| {
            let job = &self.jobs[*i];
            !job.abandoned && job.end.is_none() && matches!(job.stage, Stage::Waiting)
        });
        let Some(i) = known else {
            let fault = StartFault::NotPermitted;
            self.report_outcome(key, attempt, AttemptOutcome::NotStarted(None, fault));
            return self.events.push_back(Event::Cancel(key.clone()));
        };
        if self.jobs[i].committed && !self.jobs[i].spec.idempotent {
            log::error!(
                "refused attempt {attempt} of job {key}: not idempotent and already started"
            );
            return self.report_outcome(key, attempt, AttemptOutcome::OutcomeUnknown);
        }
        let fault = if !cx.may_start {
            Some(StartFault::NotPermitted)
        } else if self.journal.is_down() && !self.jobs[i].spec.idempotent {
            Some(StartFault::Unrecorded)
        } else {
            None
        };
        if let Some(fault) = fault {
            let outcome = AttemptOutcome::NotStarted(None, fault);
            return self.delay_event(outcome_event(key, attempt, outcome), cx.now);
        }
        self.forget_earlier_attempts(i, cx);
        self.jobs[i].stage = Stage::Placed(Box::new(gang));
        self.send_reservations(i, cx);
    }

    /// Tells workers to forget earlier attempts of an idempotent job; their results are not needed.
    fn forget_earlier_attempts(&mut self, i: usize, cx: &mut Context<'_>) {
        if self.jobs[i].spec.idempotent {
            self.forget_ended_tasks(i, cx);
        }
    }

    fn send_reservations(&mut self, i: usize, cx: &mut Context<'_>) {
        let lease = cx.settings.timing.reserve;
        let make_op = |gang: &Gang, id: TaskId, task: u16| {
            let member = gang.members.iter().find(|member| member.place.task == task)?;
            Some(WorkerOp::Reserve { id, set: member.set(), lease })
        };
        if let Some(worker) =
            self.send_to_gang(i, CallKind::Reserve, cx.settings.timing.worker, make_op, cx)
        {
            self.abort_attempt(i, Cause::Start(Some(worker), StartFault::Silent), cx);
        }
    }

    /// Takes the next step of an attempt if its condition is met.
    pub(super) fn advance_attempt(&mut self, i: usize, cx: &mut Context<'_>) {
        let down = self.journal.is_down();
        let job = &mut self.jobs[i];
        if job.abandoned {
            return;
        }
        let Stage::Placed(gang) = &mut job.stage else { return };
        match &gang.phase {
            Phase::Reserving if gang.all(|state| *state == MemberState::Reserved) => {
                gang.enter_phase(Phase::Recording, cx.now);
                if !job.spec.idempotent {
                    let (attempt, placement) = (gang.attempt, gang.placement());
                    job.desired.intent = Some(Intent { attempt, placement });
                    self.sync_record(i, cx);
                }
                self.advance_attempt(i, cx);
            }
            Phase::Recording => {
                let attempt = gang.attempt;
                if job.is_start_authorized(attempt, down, cx.now) {
                    self.commit(i, cx);
                }
            }
            Phase::Committing => self.advance_committing(i, cx),
            Phase::Confirming | Phase::Running => self.advance_running(i, cx),
            Phase::Failing(_) if gang.is_terminal() => self.finish_attempt(i, cx),
            Phase::Reserving | Phase::Failing(_) => {}
        }
    }

    /// Sends the commits of all tasks. From here on the attempt counts as started.
    fn commit(&mut self, i: usize, cx: &mut Context<'_>) {
        let Stage::Placed(gang) = &self.jobs[i].stage else { return };
        let lease_left =
            cx.settings.timing.reserve.0.saturating_sub(cx.now.since(gang.oldest_reservation()).0);
        let refusal = if !cx.may_start {
            Some((None, StartFault::NotPermitted))
        } else if lease_left <= RESERVATION_MARGIN.0 {
            // `tick_gang` renews the reservations, or aborts the attempt after its time limit.
            return;
        } else {
            let leaving = gang.workers().into_iter().find(|worker| self.is_leaving(worker));
            leaving.map(|worker| (Some(worker), StartFault::Leaving))
        };
        if let Some((worker, fault)) = refusal {
            return self.abort_attempt(i, Cause::Start(worker, fault), cx);
        }
        let down = self.journal.is_down();
        let job = &mut self.jobs[i];
        let Stage::Placed(gang) = &job.stage else { return };
        let recorded = job.is_start_authorized(gang.attempt, down, cx.now);
        let Stage::Placed(gang) = &mut job.stage else { return };
        assert!(recorded, "job {} would start without a recorded authority", job.spec.key);
        assert!(
            job.spec.idempotent || !job.committed,
            "job {} is not idempotent and would start twice",
            job.spec.key
        );
        gang.committed = true;
        gang.enter_phase(Phase::Committing, cx.now);
        job.committed = true;
        job.attempt = gang.attempt;
        job.desired.attempt = gang.attempt;
        let (input, kind) = (job.spec.input.clone(), job.spec.kind.to_string());
        let (tasks, lease) = (job.spec.shape.tasks, cx.settings.timing.reserve);
        let make_op = |_: &Gang, id: TaskId, _: u16| {
            let (input, kind) = (input.clone(), kind.clone());
            Some(WorkerOp::Commit { id, input, kind, gang: tasks, lease })
        };
        if let Some(worker) = self.send_to_gang(i, CallKind::Commit, Span(lease_left), make_op, cx)
        {
            self.abort_attempt(i, Cause::Start(Some(worker), StartFault::Silent), cx);
        }
    }

    fn is_leaving(&self, worker: &WorkerId) -> bool {
        let host = self.hosts.binary_search_by(|host| host.id.cmp(worker));
        host.is_ok_and(|h| self.hosts[h].leaving)
    }

    fn advance_committing(&mut self, i: usize, cx: &mut Context<'_>) {
        let Stage::Placed(gang) = &mut self.jobs[i].stage else { return };
        let has_ended = |state: &MemberState| matches!(state, MemberState::Ended(_));
        match gang.first_failure() {
            Some(cause) if gang.members.iter().any(|m| has_ended(&m.state)) => {
                return self.abort_attempt(i, cause, cx);
            }
            Some(Cause::Member(worker, _) | Cause::Lost(worker, _)) => {
                return self.abort_attempt(i, Cause::Start(Some(worker), StartFault::Silent), cx);
            }
            _ => {}
        }
        if gang.is_up() {
            let attempt = gang.attempt;
            gang.enter_phase(Phase::Confirming, cx.now);
            gang.announced = true;
            let key = self.jobs[i].key().clone();
            self.events.push_back(Event::Started(key, attempt));
            self.send_confirmations(i, cx);
            self.advance_attempt(i, cx);
        }
    }

    fn send_confirmations(&mut self, i: usize, cx: &mut Context<'_>) {
        let lease = cx.settings.timing.lease;
        let make_op = |gang: &Gang, id: TaskId, task: u16| {
            let member = gang.members.iter().find(|member| member.place.task == task)?;
            let unconfirmed = member.state == MemberState::Started;
            unconfirmed.then_some(WorkerOp::Confirm { id, lease })
        };
        self.send_to_gang(i, CallKind::Confirm, cx.settings.timing.worker, make_op, cx);
    }

    fn advance_running(&mut self, i: usize, cx: &mut Context<'_>) {
        let Stage::Placed(gang) = &mut self.jobs[i].stage else { return };
        if gang.is_completed() {
            return self.finish_attempt(i, cx);
        }
        if let Some(cause) = gang.first_failure() {
            return self.abort_attempt(i, cause, cx);
        }
        if matches!(gang.phase, Phase::Confirming) && gang.is_confirmed() {
            gang.enter_phase(Phase::Running, cx.now);
        }
    }

    /// Stops an attempt at the scheduler's request.
    pub(super) fn stop_attempt(
        &mut self,
        key: &JobKey,
        attempt: Attempt,
        grace: Span,
        reason: StopReason,
        cx: &mut Context<'_>,
    ) {
        let Ok(i) = self.find(key) else { return };
        let saves = self.jobs[i].spec.checkpoint && grace > Span::ZERO;
        let until = if saves { cx.now + grace } else { cx.now };
        let Stage::Placed(gang) = &mut self.jobs[i].stage else { return };
        if gang.attempt != attempt {
            return;
        }
        match &mut gang.phase {
            Phase::Failing(Cause::Stop(_, earlier)) => *earlier = until.min(*earlier),
            Phase::Failing(_) => {}
            _ => self.abort_attempt(i, Cause::Stop(reason, until), cx),
        }
    }

    pub(super) fn throttle(
        &mut self,
        key: &JobKey,
        attempt: Attempt,
        percent: u8,
        cx: &mut Context<'_>,
    ) {
        let Ok(i) = self.find(key) else { return };
        let Stage::Placed(gang) = &self.jobs[i].stage else { return };
        if gang.attempt != attempt {
            return;
        }
        for (worker, id) in gang.ids(key) {
            self.send_best_effort(&worker, vec![WorkerOp::Throttle { id, percent }], cx);
        }
    }

    /// Aborts an attempt. Before the first commit that ends it at once; after it, every task has
    /// to be stopped or its lease has to expire.
    pub(super) fn abort_attempt(&mut self, i: usize, cause: Cause, cx: &mut Context<'_>) {
        let Stage::Placed(gang) = &mut self.jobs[i].stage else { return };
        let committed = gang.committed;
        gang.enter_phase(Phase::Failing(cause), cx.now);
        if committed {
            self.send_stops(i, cx);
            return self.advance_attempt(i, cx);
        }
        let gang = gang.clone();
        let key = self.jobs[i].key().clone();
        self.release_reservations(&key, &gang, cx);
        self.finish_attempt(i, cx);
    }

    pub(super) fn release_reservations(&mut self, key: &JobKey, gang: &Gang, cx: &mut Context<'_>) {
        let mut ids = gang.ids(key);
        ids.sort();
        for chunk in ids.chunk_by(|a, b| a.0 == b.0) {
            let ops = chunk.iter().map(|(_, id)| WorkerOp::Release { id: id.clone() }).collect();
            self.send_best_effort(&chunk[0].0, ops, cx);
        }
    }

    /// Sends the stops of an aborted attempt. One that has time to save gets its checkpoints first,
    /// and its workers are polled until that time is over.
    fn send_stops(&mut self, i: usize, cx: &mut Context<'_>) {
        let Stage::Placed(gang) = &mut self.jobs[i].stage else { return };
        gang.last_retry = cx.now;
        let Phase::Failing(cause) = &gang.phase else { return };
        let saving = matches!(cause, Cause::Stop(_, until) if *until > cx.now);
        let first = gang.since == cx.now;
        if saving && !first {
            for worker in gang.workers() {
                self.request_report(worker, cx);
            }
            return;
        }
        let make_op = |gang: &Gang, id: TaskId, task: u16| {
            let member = gang.members.iter().find(|member| member.place.task == task)?;
            let op = if saving { WorkerOp::Checkpoint { id } } else { WorkerOp::Stop { id } };
            (!member.state.is_terminal()).then_some(op)
        };
        let kind = if saving { CallKind::Checkpoint } else { CallKind::Stop };
        self.send_to_gang(i, kind, cx.settings.timing.worker, make_op, cx);
    }

    /// Ends an attempt whose tasks have all stopped.
    fn finish_attempt(&mut self, i: usize, cx: &mut Context<'_>) {
        let job = &mut self.jobs[i];
        let Stage::Placed(gang) = std::mem::replace(&mut job.stage, Stage::Waiting) else { return };
        let cause = match &gang.phase {
            Phase::Failing(cause) => cause.clone(),
            _ => Cause::Start(None, StartFault::Silent),
        };
        let outcome = gang.outcome(&cause, job.spec.idempotent);
        job.ran |= gang.members.iter().any(|member| member.ran);
        let key = job.key().clone();
        if gang.committed {
            job.ended_tasks.extend(gang.ids(&key));
        }
        let undone = matches!(
            outcome,
            AttemptOutcome::NotStarted(..) | AttemptOutcome::StopCompleted { saved: true }
        ) || !gang.committed;
        if undone {
            job.committed = false;
        }
        if matches!(outcome, AttemptOutcome::NotStarted(..)) && !job.spec.idempotent {
            job.attempt = Attempt(0);
            job.desired.attempt = Attempt(0);
        }
        if undone && job.desired.intent.is_some() {
            job.desired.intent = None;
            self.sync_record(i, cx);
        }
        match outcome {
            AttemptOutcome::NotStarted(..) if matches!(cause, Cause::Start(..)) => {
                let event = outcome_event(&key, gang.attempt, outcome);
                self.delay_event(event, cx.now);
            }
            outcome => self.report_outcome(&key, gang.attempt, outcome),
        }
    }

    /// Queues the outcome of an attempt for the scheduler.
    pub(super) fn report_outcome(
        &mut self,
        key: &JobKey,
        attempt: Attempt,
        outcome: AttemptOutcome,
    ) {
        self.events.push_back(outcome_event(key, attempt, outcome));
    }

    /// Runs the timers of an attempt.
    pub(super) fn tick_gang(&mut self, i: usize, cx: &mut Context<'_>) {
        let timing = cx.settings.timing;
        let Stage::Placed(gang) = &mut self.jobs[i].stage else { return };
        let in_phase = cx.now.since(gang.since);
        let late = in_phase > timing.worker + REPLY_MARGIN;
        match &gang.phase {
            Phase::Reserving if late => {
                let worker = first_worker_in(gang, |s| *s == MemberState::Unknown);
                self.abort_attempt(i, Cause::Start(worker, StartFault::Silent), cx);
            }
            Phase::Recording => self.tick_recording(i, in_phase, cx),
            Phase::Committing if late => {
                let worker = first_worker_in(gang, |s| *s == MemberState::Reserved);
                self.abort_attempt(i, Cause::Start(worker, StartFault::Silent), cx);
            }
            Phase::Confirming | Phase::Running => self.tick_running(i, cx),
            Phase::Failing(_) => {
                gang.expire_leases(&timing, cx.now);
                if cx.now.since(gang.last_retry) >= RETRY_INTERVAL {
                    self.send_stops(i, cx);
                }
            }
            _ => {}
        }
        self.advance_attempt(i, cx);
    }

    /// Renews reservations, for a bounded time, while the authority to start is being recorded.
    fn tick_recording(&mut self, i: usize, in_phase: Span, cx: &mut Context<'_>) {
        let half = Span(cx.settings.timing.reserve.0 / 2);
        let job = &mut self.jobs[i];
        let Stage::Placed(gang) = &mut job.stage else { return };
        if in_phase > RECORD_TIMEOUT || self.journal.is_down() && !job.spec.idempotent {
            return self.abort_attempt(i, Cause::Start(None, StartFault::Unrecorded), cx);
        }
        if cx.now.since(gang.oldest_reservation()) >= half
            && cx.now.since(gang.last_retry) >= RETRY_INTERVAL
        {
            gang.last_retry = cx.now;
            self.send_reservations(i, cx);
        }
    }

    fn tick_running(&mut self, i: usize, cx: &mut Context<'_>) {
        let timing = cx.settings.timing;
        let Stage::Placed(gang) = &mut self.jobs[i].stage else { return };
        gang.expire_leases(&timing, cx.now);
        if cx.now.since(gang.last_retry) < RETRY_INTERVAL {
            return;
        }
        gang.last_retry = cx.now;
        if matches!(gang.phase, Phase::Confirming) {
            return self.send_confirmations(i, cx);
        }
        let silence_limit = Span(timing.lease.0 / SILENCE_LEASE_DIVISOR);
        let silent = |member: &&super::gang::GangMember| {
            member.state == MemberState::Unknown
                || !member.state.is_terminal() && cx.now.since(member.heard) > silence_limit
        };
        let mut workers: Vec<WorkerId> =
            gang.members.iter().filter(silent).map(|m| m.place.worker.clone()).collect();
        workers.sort();
        workers.dedup();
        for worker in workers {
            self.request_report(worker, cx);
        }
    }

    /// Sends one batch to each worker of an attempt; returns the first worker without an address.
    fn send_to_gang(
        &mut self,
        i: usize,
        kind: CallKind,
        timeout: Span,
        make_op: impl Fn(&Gang, TaskId, u16) -> Option<WorkerOp>,
        cx: &mut Context<'_>,
    ) -> Option<WorkerId> {
        let key = self.jobs[i].key().clone();
        let Stage::Placed(gang) = &self.jobs[i].stage else { return None };
        let gang = gang.clone();
        let mut missing = None;
        for worker in gang.workers() {
            let on_worker = gang.members.iter().filter(|member| member.place.worker == worker);
            let (mut ops, mut tasks) = (Vec::new(), Vec::new());
            for task in on_worker.map(|member| member.place.task) {
                let id = TaskId { key: key.clone(), attempt: gang.attempt, task };
                if let Some(op) = make_op(&gang, id, task) {
                    ops.push(op);
                    tasks.push(task);
                }
            }
            if ops.is_empty() {
                continue;
            }
            let batch =
                WorkerBatch { from: self.owner.daemon.clone(), ops, all: kind == CallKind::Stop };
            let target = Target { key: key.clone(), attempt: gang.attempt, kind, tasks };
            if !self.send_batch(&worker, batch, Some(target), timeout, cx) {
                missing.get_or_insert(worker);
            }
        }
        missing
    }
}

fn first_worker_in(gang: &Gang, test: impl Fn(&MemberState) -> bool) -> Option<WorkerId> {
    let member = gang.members.iter().find(|member| test(&member.state))?;
    Some(member.place.worker.clone())
}

fn outcome_event(key: &JobKey, attempt: Attempt, outcome: AttemptOutcome) -> Event {
    let key = key.clone();
    match outcome {
        AttemptOutcome::Completed(outputs) => Event::Completed(key, attempt, outputs),
        AttemptOutcome::NotStarted(worker, fault) => {
            Event::StartFailed { key, attempt, worker, fault }
        }
        AttemptOutcome::Failed(worker, reason) => Event::Failed { key, attempt, worker, reason },
        AttemptOutcome::StopCompleted { saved } => Event::StopCompleted { key, attempt, saved },
        AttemptOutcome::OutcomeUnknown => Event::OutcomeUnknown(key, attempt),
    }
}
