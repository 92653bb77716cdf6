//! Starts and stops of gangs: reserve everywhere, settle the right to start, commit everywhere,
//! confirm everywhere; any doubt on the way stops the whole gang.

use bulrushlink_api::{TaskId, WorkerBatch, WorkerOp};
use bulrushlink_core::{Attempt, Event, JobKey, Span, StartFault, StopReason, WorkerId};

use super::Placer;
use super::calls::{Step, Target};
use super::gang::{Cause, Gang, PartState, Phase, Verdict};
use super::job::Place;
use crate::edge::Context;
use crate::journal::Intent;

/// Allowance beyond a worker call's time-out before its answer is taken for lost.
const ANSWER_MARGIN: Span = Span(500);
/// Time that has to be left of a reservation to use it.
const RESERVE_MARGIN: Span = Span(500);
/// Time in which the store has to settle the right to start.
const RECORD_BOUND: Span = Span::from_secs(10);
/// Pause between two repeats of confirmations and stops.
const PRESS_PAUSE: Span = Span::from_secs(1);
/// Fraction of the lease after which a silent worker is asked.
const ASK_DIVISOR: u64 = 2;

impl Placer {
    /// Begins an attempt.
    pub(super) fn start(&mut self, key: &JobKey, gang: Gang, cx: &mut Context<'_>) {
        let attempt = gang.attempt;
        let known = self.find(key).ok().filter(|i| {
            let job = &self.jobs[*i];
            !job.gone && job.end.is_none() && matches!(job.place, Place::Waiting)
        });
        let Some(i) = known else {
            let fault = StartFault::NotPermitted;
            self.report_verdict(key, attempt, Verdict::NotStarted(None, fault));
            return self.events.push_back(Event::Cancel(key.clone()));
        };
        if self.jobs[i].committed && !self.jobs[i].spec.idempotent {
            log::error!("second start of {key} was asked for and refused");
            return self.report_verdict(key, attempt, Verdict::Unsettled);
        }
        let fault = if !cx.may_start {
            Some(StartFault::NotPermitted)
        } else if self.journal.is_down() && !self.jobs[i].spec.idempotent {
            Some(StartFault::Unrecorded)
        } else {
            None
        };
        if let Some(fault) = fault {
            let verdict = Verdict::NotStarted(None, fault);
            return self.delay(verdict_event(key, attempt, verdict), cx.now);
        }
        self.forget_earlier(i, cx);
        self.jobs[i].place = Place::Placed(Box::new(gang));
        self.reserve(i, cx);
    }

    /// Lets workers forget earlier attempts, whose results nobody will ask for.
    fn forget_earlier(&mut self, i: usize, cx: &mut Context<'_>) {
        if self.jobs[i].spec.idempotent {
            self.forget_old(i, cx);
        }
    }

    fn reserve(&mut self, i: usize, cx: &mut Context<'_>) {
        let lease = cx.settings.timing.reserve;
        let make = |gang: &Gang, id: TaskId, task: u16| {
            let part = gang.parts.iter().find(|part| part.place.task == task)?;
            Some(WorkerOp::Reserve { id, set: part.set(), lease })
        };
        if let Some(worker) = self.send_all(i, Step::Reserve, cx.settings.timing.worker, make, cx) {
            self.fail(i, Cause::Start(Some(worker), StartFault::Silent), cx);
        }
    }

    /// Takes the next step of an attempt, if what it waits for is there.
    pub(super) fn proceed(&mut self, i: usize, cx: &mut Context<'_>) {
        let down = self.journal.is_down();
        let job = &mut self.jobs[i];
        if job.gone {
            return;
        }
        let Place::Placed(gang) = &mut job.place else { return };
        match &gang.phase {
            Phase::Reserving if gang.all(|state| *state == PartState::Reserved) => {
                gang.enter(Phase::Recording, cx.now);
                if !job.spec.idempotent {
                    let (attempt, placement) = (gang.attempt, gang.placement());
                    job.wanted.intent = Some(Intent { attempt, placement });
                    self.sync(i, cx);
                }
                self.proceed(i, cx);
            }
            Phase::Recording => {
                let attempt = gang.attempt;
                if job.is_recorded(attempt, down, cx.now) {
                    self.commit(i, cx);
                }
            }
            Phase::Committing => self.proceed_committed(i, cx),
            Phase::Confirming | Phase::Running => self.proceed_running(i, cx),
            Phase::Failing(_) if gang.is_quiet() => self.conclude(i, cx),
            Phase::Reserving | Phase::Failing(_) => {}
        }
    }

    /// Starts all tasks. From here on the attempt counts as started.
    fn commit(&mut self, i: usize, cx: &mut Context<'_>) {
        let Place::Placed(gang) = &self.jobs[i].place else { return };
        let left = cx.settings.timing.reserve.0.saturating_sub(cx.now.since(gang.reserved()).0);
        let refusal = if !cx.may_start {
            Some((None, StartFault::NotPermitted))
        } else if left <= RESERVE_MARGIN.0 {
            // The reservations are asked for anew, or the attempt is given up with time.
            return;
        } else {
            let leaving = gang.workers().into_iter().find(|worker| self.is_leaving(worker));
            leaving.map(|worker| (Some(worker), StartFault::Leaving))
        };
        if let Some((worker, fault)) = refusal {
            return self.fail(i, Cause::Start(worker, fault), cx);
        }
        let down = self.journal.is_down();
        let job = &mut self.jobs[i];
        let Place::Placed(gang) = &job.place else { return };
        let recorded = job.is_recorded(gang.attempt, down, cx.now);
        let Place::Placed(gang) = &mut job.place else { return };
        assert!(recorded, "{} starts without authority", job.spec.key);
        assert!(job.spec.idempotent || !job.committed, "{} starts twice", job.spec.key);
        gang.committed = true;
        gang.enter(Phase::Committing, cx.now);
        job.committed = true;
        job.attempt = gang.attempt;
        job.wanted.attempt = gang.attempt;
        let (input, kind) = (job.spec.input.clone(), job.spec.kind.to_string());
        let (tasks, lease) = (job.spec.shape.tasks, cx.settings.timing.reserve);
        let make = |_: &Gang, id: TaskId, _: u16| {
            let (input, kind) = (input.clone(), kind.clone());
            Some(WorkerOp::Commit { id, input, kind, gang: tasks, lease })
        };
        if let Some(worker) = self.send_all(i, Step::Commit, Span(left), make, cx) {
            self.fail(i, Cause::Start(Some(worker), StartFault::Silent), cx);
        }
    }

    fn is_leaving(&self, worker: &WorkerId) -> bool {
        let host = self.hosts.binary_search_by(|host| host.id.cmp(worker));
        host.is_ok_and(|h| self.hosts[h].leaving)
    }

    fn proceed_committed(&mut self, i: usize, cx: &mut Context<'_>) {
        let Place::Placed(gang) = &mut self.jobs[i].place else { return };
        let own_end = |state: &PartState| matches!(state, PartState::Ended(_));
        match gang.broken() {
            Some(cause) if gang.parts.iter().any(|p| own_end(&p.state)) => {
                return self.fail(i, cause, cx);
            }
            Some(Cause::Member(worker, _) | Cause::Lost(worker, _)) => {
                return self.fail(i, Cause::Start(Some(worker), StartFault::Silent), cx);
            }
            _ => {}
        }
        if gang.is_up() {
            let attempt = gang.attempt;
            gang.enter(Phase::Confirming, cx.now);
            gang.announced = true;
            let key = self.jobs[i].key().clone();
            self.events.push_back(Event::Started(key, attempt));
            self.confirm(i, cx);
            self.proceed(i, cx);
        }
    }

    fn confirm(&mut self, i: usize, cx: &mut Context<'_>) {
        let lease = cx.settings.timing.lease;
        let make = |gang: &Gang, id: TaskId, task: u16| {
            let part = gang.parts.iter().find(|part| part.place.task == task)?;
            let open = part.state == PartState::Started;
            open.then_some(WorkerOp::Confirm { id, lease })
        };
        self.send_all(i, Step::Confirm, cx.settings.timing.worker, make, cx);
    }

    fn proceed_running(&mut self, i: usize, cx: &mut Context<'_>) {
        let Place::Placed(gang) = &mut self.jobs[i].place else { return };
        if gang.is_completed() {
            return self.conclude(i, cx);
        }
        if let Some(cause) = gang.broken() {
            return self.fail(i, cause, cx);
        }
        if matches!(gang.phase, Phase::Confirming) && gang.is_confirmed() {
            gang.enter(Phase::Running, cx.now);
        }
    }

    /// Stops an attempt at the scheduler's wish.
    pub(super) fn stop(
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
        let Place::Placed(gang) = &mut self.jobs[i].place else { return };
        if gang.attempt != attempt {
            return;
        }
        match &mut gang.phase {
            Phase::Failing(Cause::Stop(_, earlier)) => *earlier = until.min(*earlier),
            Phase::Failing(_) => {}
            _ => self.fail(i, Cause::Stop(reason, until), cx),
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
        let Place::Placed(gang) = &self.jobs[i].place else { return };
        if gang.attempt != attempt {
            return;
        }
        for (worker, id) in gang.ids(key) {
            self.send_plain(&worker, vec![WorkerOp::Throttle { id, percent }], cx);
        }
    }

    /// Gives an attempt up. Before the first start that is done at once; after it, every task has
    /// to be stopped, or its lease has to lapse.
    pub(super) fn fail(&mut self, i: usize, cause: Cause, cx: &mut Context<'_>) {
        let Place::Placed(gang) = &mut self.jobs[i].place else { return };
        let committed = gang.committed;
        gang.enter(Phase::Failing(cause), cx.now);
        if committed {
            self.press_stop(i, cx);
            return self.proceed(i, cx);
        }
        let gang = gang.clone();
        let key = self.jobs[i].key().clone();
        self.release(&key, &gang, cx);
        self.conclude(i, cx);
    }

    pub(super) fn release(&mut self, key: &JobKey, gang: &Gang, cx: &mut Context<'_>) {
        let mut ids = gang.ids(key);
        ids.sort();
        for chunk in ids.chunk_by(|a, b| a.0 == b.0) {
            let ops = chunk.iter().map(|(_, id)| WorkerOp::Release { id: id.clone() }).collect();
            self.send_plain(&chunk[0].0, ops, cx);
        }
    }

    /// Sends the stops, or first the checkpoints, of an attempt that is given up.
    fn press_stop(&mut self, i: usize, cx: &mut Context<'_>) {
        let Place::Placed(gang) = &mut self.jobs[i].place else { return };
        gang.pressed = cx.now;
        let Phase::Failing(cause) = &gang.phase else { return };
        let saving = matches!(cause, Cause::Stop(_, until) if *until > cx.now);
        let first = gang.since == cx.now;
        if saving && !first {
            for worker in gang.workers() {
                self.ask_worker(worker, cx);
            }
            return;
        }
        let make = |gang: &Gang, id: TaskId, task: u16| {
            let part = gang.parts.iter().find(|part| part.place.task == task)?;
            let op = if saving { WorkerOp::Checkpoint { id } } else { WorkerOp::Stop { id } };
            (!part.state.is_quiet()).then_some(op)
        };
        let step = if saving { Step::Checkpoint } else { Step::Stop };
        self.send_all(i, step, cx.settings.timing.worker, make, cx);
    }

    /// Takes an attempt off of which nothing runs any more.
    fn conclude(&mut self, i: usize, cx: &mut Context<'_>) {
        let job = &mut self.jobs[i];
        let Place::Placed(gang) = std::mem::replace(&mut job.place, Place::Waiting) else { return };
        let cause = match &gang.phase {
            Phase::Failing(cause) => cause.clone(),
            _ => Cause::Start(None, StartFault::Silent),
        };
        let verdict = gang.verdict(&cause, job.spec.idempotent);
        job.ran |= gang.parts.iter().any(|part| part.ran);
        let key = job.key().clone();
        if gang.committed {
            job.old.extend(gang.ids(&key));
        }
        let undone = matches!(verdict, Verdict::NotStarted(..) | Verdict::Vacated { saved: true })
            || !gang.committed;
        if undone {
            job.committed = false;
        }
        if matches!(verdict, Verdict::NotStarted(..)) && !job.spec.idempotent {
            job.attempt = Attempt(0);
            job.wanted.attempt = Attempt(0);
        }
        if undone && job.wanted.intent.is_some() {
            job.wanted.intent = None;
            self.sync(i, cx);
        }
        match verdict {
            Verdict::NotStarted(..) if matches!(cause, Cause::Start(..)) => {
                let event = verdict_event(&key, gang.attempt, verdict);
                self.delay(event, cx.now);
            }
            verdict => self.report_verdict(&key, gang.attempt, verdict),
        }
    }

    /// Tells the scheduler what came of an attempt.
    pub(super) fn report_verdict(&mut self, key: &JobKey, attempt: Attempt, verdict: Verdict) {
        self.events.push_back(verdict_event(key, attempt, verdict));
    }

    /// Lets time pass for an attempt.
    pub(super) fn tick_gang(&mut self, i: usize, cx: &mut Context<'_>) {
        let timing = cx.settings.timing;
        let Place::Placed(gang) = &mut self.jobs[i].place else { return };
        let stayed = cx.now.since(gang.since);
        let late = stayed > timing.worker + ANSWER_MARGIN;
        match &gang.phase {
            Phase::Reserving if late => {
                let worker = waited_for(gang, |s| *s == PartState::Unknown);
                self.fail(i, Cause::Start(worker, StartFault::Silent), cx);
            }
            Phase::Recording => self.tick_recording(i, stayed, cx),
            Phase::Committing if late => {
                let worker = waited_for(gang, |s| *s == PartState::Reserved);
                self.fail(i, Cause::Start(worker, StartFault::Silent), cx);
            }
            Phase::Confirming | Phase::Running => self.tick_running(i, cx),
            Phase::Failing(_) => {
                gang.lapse(&timing, cx.now);
                if cx.now.since(gang.pressed) >= PRESS_PAUSE {
                    self.press_stop(i, cx);
                }
            }
            _ => {}
        }
        self.proceed(i, cx);
    }

    /// Keeps reservations while the right to start is being settled, for a bounded time.
    fn tick_recording(&mut self, i: usize, stayed: Span, cx: &mut Context<'_>) {
        let half = Span(cx.settings.timing.reserve.0 / 2);
        let job = &mut self.jobs[i];
        let Place::Placed(gang) = &mut job.place else { return };
        if stayed > RECORD_BOUND || self.journal.is_down() && !job.spec.idempotent {
            return self.fail(i, Cause::Start(None, StartFault::Unrecorded), cx);
        }
        if cx.now.since(gang.reserved()) >= half && cx.now.since(gang.pressed) >= PRESS_PAUSE {
            gang.pressed = cx.now;
            self.reserve(i, cx);
        }
    }

    fn tick_running(&mut self, i: usize, cx: &mut Context<'_>) {
        let timing = cx.settings.timing;
        let Place::Placed(gang) = &mut self.jobs[i].place else { return };
        gang.lapse(&timing, cx.now);
        if cx.now.since(gang.pressed) < PRESS_PAUSE {
            return;
        }
        gang.pressed = cx.now;
        if matches!(gang.phase, Phase::Confirming) {
            return self.confirm(i, cx);
        }
        let quiet = Span(timing.lease.0 / ASK_DIVISOR);
        let silent = |part: &&super::gang::Part| {
            part.state == PartState::Unknown
                || !part.state.is_quiet() && cx.now.since(part.heard) > quiet
        };
        let mut workers: Vec<WorkerId> =
            gang.parts.iter().filter(silent).map(|p| p.place.worker.clone()).collect();
        workers.sort();
        workers.dedup();
        for worker in workers {
            self.ask_worker(worker, cx);
        }
    }

    /// Sends one batch to each worker of an attempt; names the first that has no address.
    fn send_all(
        &mut self,
        i: usize,
        step: Step,
        within: Span,
        make: impl Fn(&Gang, TaskId, u16) -> Option<WorkerOp>,
        cx: &mut Context<'_>,
    ) -> Option<WorkerId> {
        let key = self.jobs[i].key().clone();
        let Place::Placed(gang) = &self.jobs[i].place else { return None };
        let gang = gang.clone();
        let mut missing = None;
        for worker in gang.workers() {
            let own = gang.parts.iter().filter(|part| part.place.worker == worker);
            let (mut ops, mut tasks) = (Vec::new(), Vec::new());
            for task in own.map(|part| part.place.task) {
                let id = TaskId { key: key.clone(), attempt: gang.attempt, task };
                if let Some(op) = make(&gang, id, task) {
                    ops.push(op);
                    tasks.push(task);
                }
            }
            if ops.is_empty() {
                continue;
            }
            let batch = WorkerBatch { from: self.own.daemon.clone(), ops, all: step == Step::Stop };
            let target = Target { key: key.clone(), attempt: gang.attempt, step, tasks };
            if !self.send(&worker, batch, Some(target), within, cx) {
                missing.get_or_insert(worker);
            }
        }
        missing
    }
}

fn waited_for(gang: &Gang, wanted: impl Fn(&PartState) -> bool) -> Option<WorkerId> {
    let part = gang.parts.iter().find(|part| wanted(&part.state))?;
    Some(part.place.worker.clone())
}

fn verdict_event(key: &JobKey, attempt: Attempt, verdict: Verdict) -> Event {
    let key = key.clone();
    match verdict {
        Verdict::Completed(outputs) => Event::Completed(key, attempt, outputs),
        Verdict::NotStarted(worker, fault) => Event::StartFailed { key, attempt, worker, fault },
        Verdict::Failed(worker, reason) => Event::Failed { key, attempt, worker, reason },
        Verdict::Vacated { saved } => Event::Vacated { key, attempt, saved },
        Verdict::Unsettled => Event::Unsettled(key, attempt),
    }
}
