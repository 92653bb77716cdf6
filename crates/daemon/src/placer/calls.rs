//! Calls to workers and the effect of their results on attempts.

use bulrushlink_api::{EdgeFault, WorkerBatch, WorkerOp, WorkerReply, WorkerResult};
use bulrushlink_core::{Attempt, Event, JobKey, Moment, Span, StartFault, UsageReport, WorkerId};
use std::net::SocketAddr;

use super::Placer;
use super::gang::{Cause, MemberState, Phase};
use super::job::Stage;
use crate::edge::{CallId, Component, Context};
use bulrushlink_api::TaskState;

/// The operation that a call performs on its tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallKind {
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
    pub(super) kind: CallKind,
    /// Task numbers, one per operation of the batch, in its order.
    pub(super) tasks: Vec<u16>,
}

/// A call in flight.
#[derive(Debug)]
pub(super) struct WorkerCall {
    pub(super) call: CallId,
    pub(super) worker: WorkerId,
    pub(super) sent: Moment,
    /// Whether the worker was asked to report all its tasks.
    pub(super) full_report: bool,
    /// The operations, if the call is about an attempt.
    pub(super) target: Option<Target>,
}

impl Placer {
    pub(super) fn worker_addr(&self, worker: &WorkerId) -> Option<SocketAddr> {
        match self.hosts.binary_search_by(|host| host.id.cmp(worker)) {
            Ok(i) => Some(self.hosts[i].addr),
            Err(_) => {
                self.removed_hosts.iter().find(|host| host.id == *worker).map(|host| host.addr)
            }
        }
    }

    /// Sends operations; returns false if the worker has no known address.
    pub(super) fn send_batch(
        &mut self,
        worker: &WorkerId,
        batch: WorkerBatch,
        target: Option<Target>,
        timeout: Span,
        cx: &mut Context<'_>,
    ) -> bool {
        let Some(addr) = self.worker_addr(worker) else { return false };
        let full_report = batch.all;
        let call = cx.out.worker(Component::Placer, (worker, addr), batch, timeout);
        let worker = worker.clone();
        self.calls.push(WorkerCall { call, worker, sent: cx.now, full_report, target });
        true
    }

    /// Sends operations whose results are ignored.
    pub(super) fn send_best_effort(
        &mut self,
        worker: &WorkerId,
        ops: Vec<WorkerOp>,
        cx: &mut Context<'_>,
    ) {
        let batch = WorkerBatch { from: self.owner.daemon.clone(), ops, all: false };
        self.send_batch(worker, batch, None, cx.settings.timing.worker, cx);
    }

    /// Asks a worker to report all its tasks, unless such a call is in flight.
    pub(super) fn request_report(&mut self, worker: WorkerId, cx: &mut Context<'_>) {
        if self
            .calls
            .iter()
            .any(|other| other.worker == worker && other.full_report && other.target.is_none())
        {
            return;
        }
        let batch = WorkerBatch { from: self.owner.daemon.clone(), ops: Vec::new(), all: true };
        self.send_batch(&worker, batch, None, cx.settings.timing.worker, cx);
    }

    pub(super) fn on_call_result(
        &mut self,
        call: CallId,
        result: Result<WorkerReply, EdgeFault>,
        cx: &mut Context<'_>,
    ) {
        let Ok(at) = self.calls.binary_search_by_key(&call.seq, |other| other.call.seq) else {
            return;
        };
        let call = self.calls.remove(at);
        match result {
            Ok(reply) => self.on_reply(&call, &reply, cx),
            Err(fault) => self.on_call_fault(&call, fault, cx),
        }
        if let Some(i) = call.target.as_ref().and_then(|t| self.find(&t.key).ok()) {
            self.advance_attempt(i, cx);
        }
    }

    fn on_reply(&mut self, call: &WorkerCall, reply: &WorkerReply, cx: &mut Context<'_>) {
        self.on_task_reports(&call.worker, &reply.tasks, cx);
        if let Some(target) = &call.target {
            for (task, result) in target.tasks.iter().zip(&reply.results) {
                self.on_op_result(call, target, *task, *result, cx);
            }
            if target.kind == CallKind::Reserve && reply.leaving {
                self.fail_start(call, StartFault::Leaving, cx);
            }
        }
        if call.full_report {
            self.on_full_report(call, reply, cx);
        }
        if self.is_placer() {
            self.events.push_back(Event::Usage(vec![UsageReport {
                worker: call.worker.clone(),
                busy: reply.busy,
                age: reply.busy_age,
            }]));
        }
    }

    fn on_call_fault(&mut self, call: &WorkerCall, fault: EdgeFault, cx: &mut Context<'_>) {
        if call.target.is_none() && call.full_report {
            return self.on_report_failed(&call.worker, cx);
        }
        let Some(target) = &call.target else { return };
        // A call to an unreachable worker certainly had no effect, so its tasks never started.
        if target.kind == CallKind::Commit && fault == EdgeFault::Unreachable {
            for task in &target.tasks {
                self.update_member(&call.worker, target, *task, MemberState::Absent, cx.now);
            }
        }
        if matches!(target.kind, CallKind::Reserve | CallKind::Commit) {
            self.fail_start(call, StartFault::Silent, cx);
        }
    }

    fn on_op_result(
        &mut self,
        call: &WorkerCall,
        target: &Target,
        task: u16,
        result: WorkerResult,
        cx: &mut Context<'_>,
    ) {
        let worker = &call.worker;
        if target.kind == CallKind::Reserve {
            return self.on_reserved(call, target, task, result, cx);
        }
        let state = match (target.kind, result) {
            (CallKind::Commit, WorkerResult::Done) => MemberState::Started,
            (CallKind::Confirm, WorkerResult::Done) => MemberState::Confirmed,
            (CallKind::Stop, WorkerResult::Done) => self.stopped_state(worker, target, task),
            (CallKind::Checkpoint, WorkerResult::Done) => return,
            _ => MemberState::Absent,
        };
        self.update_member(worker, target, task, state, cx.now);
    }

    /// Handles the result of a reservation, both the first one and one that renews the lease.
    fn on_reserved(
        &mut self,
        call: &WorkerCall,
        target: &Target,
        task: u16,
        result: WorkerResult,
        cx: &mut Context<'_>,
    ) {
        let Ok(i) = self.find(&target.key) else { return };
        let Stage::Placed(gang) = &mut self.jobs[i].stage else { return };
        if gang.attempt != target.attempt || gang.committed {
            return;
        }
        if result != WorkerResult::Done {
            let cause = Cause::Start(Some(call.worker.clone()), StartFault::Busy);
            return self.abort_if_current(target, cause, cx);
        }
        if let Some(member) = gang.member_mut(&call.worker, task) {
            member.reserved = member.reserved.max(call.sent);
            member.heard = cx.now;
            member.advance(MemberState::Reserved);
        }
    }

    /// Returns the state of a task after a successful stop, where no report of the task came with
    /// the reply.
    fn stopped_state(&mut self, worker: &WorkerId, target: &Target, task: u16) -> MemberState {
        let stopped = MemberState::Ended(TaskState::Stopped { saved: false, lapsed: false });
        let Ok(i) = self.find(&target.key) else { return stopped };
        let Stage::Placed(gang) = &mut self.jobs[i].stage else { return stopped };
        match gang.member_mut(worker, task).map(|member| &member.state) {
            Some(MemberState::Unknown | MemberState::Reserved) => MemberState::Absent,
            _ => stopped,
        }
    }

    fn update_member(
        &mut self,
        worker: &WorkerId,
        target: &Target,
        task: u16,
        state: MemberState,
        now: Moment,
    ) {
        let Ok(i) = self.find(&target.key) else { return };
        let Stage::Placed(gang) = &mut self.jobs[i].stage else { return };
        if gang.attempt != target.attempt {
            return;
        }
        if let Some(member) = gang.member_mut(worker, task) {
            member.heard = now;
            member.advance(state);
        }
    }

    /// Fails a start because of a call, if the start is still in the phase that made the call.
    fn fail_start(&mut self, call: &WorkerCall, fault: StartFault, cx: &mut Context<'_>) {
        let Some(target) = &call.target else { return };
        let Ok(i) = self.find(&target.key) else { return };
        let Stage::Placed(gang) = &self.jobs[i].stage else { return };
        let current = match target.kind {
            CallKind::Reserve => matches!(gang.phase, Phase::Reserving),
            CallKind::Commit => matches!(gang.phase, Phase::Committing),
            CallKind::Confirm | CallKind::Checkpoint | CallKind::Stop => false,
        };
        if current {
            let cause = Cause::Start(Some(call.worker.clone()), fault);
            self.abort_if_current(target, cause, cx);
        }
    }

    /// Aborts the attempt of a call unless it is over or being aborted already.
    fn abort_if_current(&mut self, target: &Target, cause: Cause, cx: &mut Context<'_>) {
        let Ok(i) = self.find(&target.key) else { return };
        let Stage::Placed(gang) = &self.jobs[i].stage else { return };
        if gang.attempt == target.attempt && !matches!(gang.phase, Phase::Failing(_)) {
            self.abort_attempt(i, cause, cx);
        }
    }
}
