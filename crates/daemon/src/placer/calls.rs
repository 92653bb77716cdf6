//! Calls to workers, and what their answers mean for the attempts they are about.

use bulrushlink_api::{EdgeFault, WorkerBatch, WorkerOp, WorkerReply, WorkerResult};
use bulrushlink_core::{Attempt, Event, JobKey, Moment, Span, StartFault, UsageReport, WorkerId};
use std::net::SocketAddr;

use super::Placer;
use super::gang::{Cause, PartState, Phase};
use super::job::Place;
use crate::edge::{CallId, Context, Duty};
use bulrushlink_api::TaskState;

/// What a call about an attempt asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Step {
    Reserve,
    Commit,
    Confirm,
    Checkpoint,
    Stop,
}

/// Operations on some tasks of one attempt on one worker.
#[derive(Clone, Debug)]
pub(super) struct Target {
    pub(super) key: JobKey,
    pub(super) attempt: Attempt,
    pub(super) step: Step,
    /// Tasks, one an operation.
    pub(super) tasks: Vec<u16>,
}

/// A call without an answer.
#[derive(Debug)]
pub(super) struct WorkerCall {
    pub(super) call: CallId,
    pub(super) worker: WorkerId,
    pub(super) sent: Moment,
    /// Whether all tasks of the worker are to be reported.
    pub(super) all: bool,
    /// The attempt, if the call is about one.
    pub(super) target: Option<Target>,
}

impl Placer {
    pub(super) fn addr(&self, worker: &WorkerId) -> Option<SocketAddr> {
        match self.hosts.binary_search_by(|host| host.id.cmp(worker)) {
            Ok(i) => Some(self.hosts[i].addr),
            Err(_) => self.former.iter().find(|host| host.id == *worker).map(|host| host.addr),
        }
    }

    /// Sends operations; tells whether the worker has an address at all.
    pub(super) fn send(
        &mut self,
        worker: &WorkerId,
        batch: WorkerBatch,
        target: Option<Target>,
        within: Span,
        cx: &mut Context<'_>,
    ) -> bool {
        let Some(addr) = self.addr(worker) else { return false };
        let all = batch.all;
        let call = cx.out.worker(Duty::Placer, (worker, addr), batch, within);
        let worker = worker.clone();
        self.calls.push(WorkerCall { call, worker, sent: cx.now, all, target });
        true
    }

    /// Sends operations whose results don't matter.
    pub(super) fn send_plain(
        &mut self,
        worker: &WorkerId,
        ops: Vec<WorkerOp>,
        cx: &mut Context<'_>,
    ) {
        let batch = WorkerBatch { from: self.own.daemon.clone(), ops, all: false };
        self.send(worker, batch, None, cx.settings.timing.worker, cx);
    }

    /// Asks a worker for all of its tasks, unless that is under way.
    pub(super) fn ask_worker(&mut self, worker: WorkerId, cx: &mut Context<'_>) {
        if self.calls.iter().any(|c| c.worker == worker && c.all && c.target.is_none()) {
            return;
        }
        let batch = WorkerBatch { from: self.own.daemon.clone(), ops: Vec::new(), all: true };
        self.send(&worker, batch, None, cx.settings.timing.worker, cx);
    }

    pub(super) fn on_reply(
        &mut self,
        call: CallId,
        result: Result<WorkerReply, EdgeFault>,
        cx: &mut Context<'_>,
    ) {
        let Ok(c) = self.calls.binary_search_by_key(&call.seq, |c| c.call.seq) else { return };
        let call = self.calls.remove(c);
        match result {
            Ok(reply) => self.on_answer(&call, &reply, cx),
            Err(fault) => self.on_fault(&call, fault, cx),
        }
        if let Some(i) = call.target.as_ref().and_then(|t| self.find(&t.key).ok()) {
            self.proceed(i, cx);
        }
    }

    fn on_answer(&mut self, call: &WorkerCall, reply: &WorkerReply, cx: &mut Context<'_>) {
        self.on_tasks(&call.worker, &reply.tasks, cx);
        if let Some(target) = &call.target {
            for (task, result) in target.tasks.iter().zip(&reply.results) {
                self.on_result(call, target, *task, *result, cx);
            }
            if target.step == Step::Reserve && reply.leaving {
                self.fault_gang(call, StartFault::Leaving, cx);
            }
        }
        if call.all {
            self.on_full_report(call, reply, cx);
        }
        if self.is_active() {
            self.events.push_back(Event::Usage(vec![UsageReport {
                worker: call.worker.clone(),
                busy: reply.busy,
                age: reply.busy_age,
            }]));
        }
    }

    fn on_fault(&mut self, call: &WorkerCall, fault: EdgeFault, cx: &mut Context<'_>) {
        if call.target.is_none() && call.all {
            return self.on_no_report(&call.worker, cx);
        }
        let Some(target) = &call.target else { return };
        if target.step == Step::Commit && fault == EdgeFault::Unreachable {
            for task in &target.tasks {
                self.raise(&call.worker, target, *task, PartState::Absent, cx.now);
            }
        }
        if matches!(target.step, Step::Reserve | Step::Commit) {
            self.fault_gang(call, StartFault::Silent, cx);
        }
    }

    fn on_result(
        &mut self,
        call: &WorkerCall,
        target: &Target,
        task: u16,
        result: WorkerResult,
        cx: &mut Context<'_>,
    ) {
        let worker = &call.worker;
        if target.step == Step::Reserve {
            return self.on_reserved(call, target, task, result, cx);
        }
        let state = match (target.step, result) {
            (Step::Commit, WorkerResult::Done) => PartState::Started,
            (Step::Confirm, WorkerResult::Done) => PartState::Confirmed,
            (Step::Stop, WorkerResult::Done) => self.stopped_state(worker, target, task),
            (Step::Checkpoint, WorkerResult::Done) => return,
            _ => PartState::Absent,
        };
        self.raise(worker, target, task, state, cx.now);
    }

    /// Takes the answer to a reservation, the first one or one that starts the lease anew.
    fn on_reserved(
        &mut self,
        call: &WorkerCall,
        target: &Target,
        task: u16,
        result: WorkerResult,
        cx: &mut Context<'_>,
    ) {
        let Ok(i) = self.find(&target.key) else { return };
        let Place::Placed(gang) = &mut self.jobs[i].place else { return };
        if gang.attempt != target.attempt || gang.committed {
            return;
        }
        if result != WorkerResult::Done {
            let cause = Cause::Start(Some(call.worker.clone()), StartFault::Busy);
            return self.fail_attempt(target, cause, cx);
        }
        if let Some(part) = gang.part(&call.worker, task) {
            part.reserved = part.reserved.max(call.sent);
            part.heard = cx.now;
            part.raise(PartState::Reserved);
        }
    }

    /// Returns what a task is after its stop was carried out and no report of it came along.
    fn stopped_state(&mut self, worker: &WorkerId, target: &Target, task: u16) -> PartState {
        let stopped = PartState::Ended(TaskState::Stopped { saved: false, lapsed: false });
        let Ok(i) = self.find(&target.key) else { return stopped };
        let Place::Placed(gang) = &mut self.jobs[i].place else { return stopped };
        match gang.part(worker, task).map(|part| &part.state) {
            Some(PartState::Unknown | PartState::Reserved) => PartState::Absent,
            _ => stopped,
        }
    }

    fn raise(
        &mut self,
        worker: &WorkerId,
        target: &Target,
        task: u16,
        state: PartState,
        now: Moment,
    ) {
        let Ok(i) = self.find(&target.key) else { return };
        let Place::Placed(gang) = &mut self.jobs[i].place else { return };
        if gang.attempt != target.attempt {
            return;
        }
        if let Some(part) = gang.part(worker, task) {
            part.heard = now;
            part.raise(state);
        }
    }

    /// Fails a start for a call about it, if the start is still at that step.
    fn fault_gang(&mut self, call: &WorkerCall, fault: StartFault, cx: &mut Context<'_>) {
        let Some(target) = &call.target else { return };
        let Ok(i) = self.find(&target.key) else { return };
        let Place::Placed(gang) = &self.jobs[i].place else { return };
        let current = match target.step {
            Step::Reserve => matches!(gang.phase, Phase::Reserving),
            Step::Commit => matches!(gang.phase, Phase::Committing),
            Step::Confirm | Step::Checkpoint | Step::Stop => false,
        };
        if current {
            let cause = Cause::Start(Some(call.worker.clone()), fault);
            self.fail_attempt(target, cause, cx);
        }
    }

    fn fail_attempt(&mut self, target: &Target, cause: Cause, cx: &mut Context<'_>) {
        let Ok(i) = self.find(&target.key) else { return };
        let Place::Placed(gang) = &self.jobs[i].place else { return };
        if gang.attempt == target.attempt && !matches!(gang.phase, Phase::Failing(_)) {
            self.fail(i, cause, cx);
        }
    }
}
