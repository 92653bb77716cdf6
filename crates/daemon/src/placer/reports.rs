//! Task reports of current attempts, of earlier attempts and of jobs unknown here.

use bulrushlink_api::{StoreRequest, TaskReport, TaskState, WorkerOp, WorkerReply};
use bulrushlink_core::{JobKey, Moment, Span, StartFault, WorkerId};
use serde::Serialize;

use super::calls::WorkerCall;
use super::gang::{Cause, MemberState, partial_gang_time_max};
use super::job::{EndStep, RecordState, Stage};
use super::records::Tag;
use super::{Mode, Placer};
use crate::edge::Context;
use crate::journal::{JobRecord, Outcome, RetryPolicy};

/// How long an orphaned task is left alone before its job is looked up or the task is stopped.
const ORPHAN_GRACE: Span = Span::from_secs(30);

/// A task that belongs to no current attempt of a job known here.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Orphan {
    pub(super) worker: WorkerId,
    pub(super) report: TaskReport,
    /// When it was first reported.
    pub(super) since: Moment,
    /// Whether the store has no such job in this domain.
    pub(super) jobless: bool,
}

/// What to do about an orphan.
enum OrphanAction {
    Keep,
    /// Drop it here without a call to the worker.
    Drop,
    /// Read first whether the job's record still belongs to this owner.
    Verify(usize),
    /// Read first whether the store has such a job.
    LookUp,
    Stop,
    /// Have the worker forget the ended task.
    Forget,
}

impl Placer {
    pub(super) fn on_task_reports(
        &mut self,
        worker: &WorkerId,
        tasks: &[TaskReport],
        cx: &mut Context<'_>,
    ) {
        for report in tasks {
            self.on_task_report(worker, report, cx);
        }
    }

    fn on_task_report(&mut self, worker: &WorkerId, report: &TaskReport, cx: &mut Context<'_>) {
        let Ok(i) = self.find(&report.id.key) else {
            return self.record_orphan(worker, report, cx.now);
        };
        let Stage::Placed(gang) = &mut self.jobs[i].stage else {
            return self.record_orphan(worker, report, cx.now);
        };
        let ours =
            gang.attempt == report.id.attempt && gang.member_mut(worker, report.id.task).is_some();
        if ours && !gang.committed && report.state != TaskState::Reserved {
            let cause = Cause::Start(Some(worker.clone()), StartFault::Busy);
            self.abort_attempt(i, cause, cx);
            return self.record_orphan(worker, report, cx.now);
        }
        if gang.apply_report(worker, report, cx.now) {
            self.advance_attempt(i, cx);
        } else {
            self.record_orphan(worker, report, cx.now);
        }
    }

    fn record_orphan(&mut self, worker: &WorkerId, report: &TaskReport, now: Moment) {
        let found =
            self.orphans.binary_search_by(|o| (&o.report.id, &o.worker).cmp(&(&report.id, worker)));
        match found {
            Ok(i) => self.orphans[i].report = report.clone(),
            Err(i) => {
                let (worker, report) = (worker.clone(), report.clone());
                self.orphans.insert(i, Orphan { worker, report, since: now, jobless: false });
            }
        }
    }

    /// Handles a full list of a worker's tasks: a task that was known to run there and is not
    /// listed no longer runs.
    pub(super) fn on_full_report(
        &mut self,
        call: &WorkerCall,
        reply: &WorkerReply,
        cx: &mut Context<'_>,
    ) {
        self.recovery.on_report(&call.worker);
        for i in 0..self.jobs.len() {
            let key = self.jobs[i].key().clone();
            let Stage::Placed(gang) = &mut self.jobs[i].stage else { continue };
            // A commit sent by an earlier owner may be in flight for up to this time.
            let commits_settled =
                cx.now.since(gang.since) > partial_gang_time_max(&cx.settings.timing);
            let (attempt, unknown_is_absent) = (gang.attempt, gang.taken_over && commits_settled);
            let mut any_absent = false;
            for member in gang.members.iter_mut().filter(|m| m.place.worker == call.worker) {
                let listed = reply.tasks.iter().any(|t| {
                    t.id.key == key && t.id.attempt == attempt && t.id.task == member.place.task
                });
                let expected =
                    matches!(member.state, MemberState::Started | MemberState::Confirmed)
                        || unknown_is_absent && member.state == MemberState::Unknown;
                if expected && !listed && member.heard < call.sent {
                    member.advance(MemberState::Absent);
                    any_absent = true;
                }
            }
            if any_absent {
                self.advance_attempt(i, cx);
            }
        }
    }

    /// Stops or forgets tasks that belong to no current attempt.
    pub(super) fn tick_orphans(&mut self, cx: &mut Context<'_>) {
        if !matches!(self.mode, Mode::Active) {
            return;
        }
        for orphan in std::mem::take(&mut self.orphans) {
            let id = orphan.report.id.clone();
            match self.classify_orphan(&orphan, cx.now) {
                OrphanAction::Keep => self.orphans.push(orphan),
                OrphanAction::Drop => {}
                OrphanAction::Verify(i) => {
                    self.verify_ownership(i, cx);
                    self.orphans.push(orphan);
                }
                OrphanAction::LookUp => {
                    self.look_up_orphan(&orphan.report.id.key, cx);
                    self.orphans.push(orphan);
                }
                OrphanAction::Stop => {
                    self.send_best_effort(&orphan.worker, vec![WorkerOp::Stop { id }], cx);
                }
                OrphanAction::Forget => {
                    self.send_best_effort(&orphan.worker, vec![WorkerOp::Forget { id }], cx);
                }
            }
        }
    }

    fn classify_orphan(&self, orphan: &Orphan, now: Moment) -> OrphanAction {
        let ended = matches!(
            orphan.report.state,
            TaskState::Completed { .. } | TaskState::Failed { .. } | TaskState::Stopped { .. }
        );
        // The lease of a reservation expires soon without a call.
        if orphan.report.state == TaskState::Reserved {
            return OrphanAction::Drop;
        }
        let cleanup = if ended { OrphanAction::Forget } else { OrphanAction::Stop };
        let Ok(i) = self.find(&orphan.report.id.key) else {
            return match now.since(orphan.since) > ORPHAN_GRACE {
                true if orphan.jobless => cleanup,
                true => OrphanAction::LookUp,
                false => OrphanAction::Keep,
            };
        };
        let job = &self.jobs[i];
        let task = (orphan.worker.clone(), orphan.report.id.clone());
        let settled = job.end.as_ref().is_some_and(|end| end.step == EndStep::Settled);
        match &job.stage {
            _ if job.abandoned => OrphanAction::Keep,
            _ if ended && job.ended_tasks.contains(&task) => OrphanAction::Drop,
            _ if ended && !settled && !job.spec.idempotent => OrphanAction::Keep,
            Stage::Out | Stage::Leaving(_) if job.end.is_none() => OrphanAction::Keep,
            _ if ended || settled => cleanup,
            _ if job.record_state == RecordState::Owned
                && job.verified.is_none_or(|at| at <= orphan.since) =>
            {
                OrphanAction::Verify(i)
            }
            _ if job.record_state == RecordState::Owned => cleanup,
            _ if now.since(orphan.since) > ORPHAN_GRACE => cleanup,
            _ => OrphanAction::Keep,
        }
    }

    fn look_up_orphan(&mut self, key: &JobKey, cx: &mut Context<'_>) {
        let tag = Tag::Orphan(key.clone());
        if !self.journal.has_pending(|other| *other == tag) {
            let request = StoreRequest::Get { key: JobRecord::store_key(key) };
            self.journal.call(tag, request, RetryPolicy::Unlimited, cx);
        }
    }

    /// Takes over the job of orphaned tasks, or marks the tasks as having no job.
    pub(super) fn on_orphan_lookup(
        &mut self,
        key: &JobKey,
        outcome: Outcome,
        cx: &mut Context<'_>,
    ) {
        let Outcome::Found(found) = outcome else { return };
        if !self.is_placer() {
            return;
        }
        if let Some(record) = found {
            self.take_over_record(&record, cx);
        }
        if self.find(key).is_err() {
            let matching = self.orphans.iter_mut().filter(|o| o.report.id.key == *key);
            matching.for_each(|orphan| orphan.jobless = true);
        }
    }

    /// Lists the reported tasks of a job that belong to no attempt known here.
    pub(super) fn orphans_of(&self, key: &bulrushlink_core::JobKey) -> Vec<(WorkerId, TaskReport)> {
        let first = self.orphans.partition_point(|o| o.report.id.key < *key);
        let matching = self.orphans[first..].iter().take_while(|o| o.report.id.key == *key);
        matching.map(|o| (o.worker.clone(), o.report.clone())).collect()
    }
}
