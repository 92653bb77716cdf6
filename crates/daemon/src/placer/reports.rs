//! Reports of tasks: of current attempts, of earlier ones, and of jobs nobody here knows.

use bulrushlink_api::{StoreRequest, TaskReport, TaskState, WorkerOp, WorkerReply};
use bulrushlink_core::{JobKey, Moment, Span, StartFault, WorkerId};
use serde::Serialize;

use super::calls::WorkerCall;
use super::gang::{Cause, PartState, partial_gang_bound};
use super::job::{Claim, EndStep, Place};
use super::records::Tag;
use super::{Placer, Standing};
use crate::edge::Context;
use crate::journal::{JobRecord, Outcome, Patience};

/// Time for which a task of a job that nobody knows is left alone.
const ORPHAN_GRACE: Span = Span::from_secs(30);

/// A task that belongs to no current attempt of a job known here.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Orphan {
    pub(super) worker: WorkerId,
    pub(super) report: TaskReport,
    /// Moment at which it was heard of first.
    pub(super) since: Moment,
    /// Whether the store has no such job in this domain.
    pub(super) jobless: bool,
}

/// What is done about an orphan.
enum Verdict {
    Keep,
    Drop,
    /// Ask the store first whether the job is still this owner's.
    Verify(usize),
    /// Ask the store first whether there is such a job.
    LookUp,
    Stop,
    Forget,
}

impl Placer {
    pub(super) fn on_tasks(
        &mut self,
        worker: &WorkerId,
        tasks: &[TaskReport],
        cx: &mut Context<'_>,
    ) {
        for report in tasks {
            self.on_task(worker, report, cx);
        }
    }

    fn on_task(&mut self, worker: &WorkerId, report: &TaskReport, cx: &mut Context<'_>) {
        let Ok(i) = self.find(&report.id.key) else {
            return self.keep_orphan(worker, report, cx.now);
        };
        let Place::Placed(gang) = &mut self.jobs[i].place else {
            return self.keep_orphan(worker, report, cx.now);
        };
        let ours = gang.attempt == report.id.attempt && gang.part(worker, report.id.task).is_some();
        if ours && !gang.committed && report.state != TaskState::Reserved {
            let cause = Cause::Start(Some(worker.clone()), StartFault::Busy);
            self.fail(i, cause, cx);
            return self.keep_orphan(worker, report, cx.now);
        }
        if gang.absorb(worker, report, cx.now) {
            self.proceed(i, cx);
        } else {
            self.keep_orphan(worker, report, cx.now);
        }
    }

    fn keep_orphan(&mut self, worker: &WorkerId, report: &TaskReport, now: Moment) {
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

    /// Takes a list of all tasks of a worker: what was known to run there and isn't in the list
    /// doesn't run any more.
    pub(super) fn on_full_report(
        &mut self,
        call: &WorkerCall,
        reply: &WorkerReply,
        cx: &mut Context<'_>,
    ) {
        self.recovery.on_answered(&call.worker);
        for i in 0..self.jobs.len() {
            let key = self.jobs[i].key().clone();
            let Place::Placed(gang) = &mut self.jobs[i].place else { continue };
            // A start that an earlier owner sent may be on its way until then.
            let late = cx.now.since(gang.since) > partial_gang_bound(&cx.settings.timing);
            let (attempt, missing) = (gang.attempt, gang.found && late);
            let mut lost = false;
            for part in gang.parts.iter_mut().filter(|p| p.place.worker == call.worker) {
                let listed = reply.tasks.iter().any(|t| {
                    t.id.key == key && t.id.attempt == attempt && t.id.task == part.place.task
                });
                let ran = matches!(part.state, PartState::Started | PartState::Confirmed)
                    || missing && part.state == PartState::Unknown;
                if ran && !listed && part.heard < call.sent {
                    part.raise(PartState::Absent);
                    lost = true;
                }
            }
            if lost {
                self.proceed(i, cx);
            }
        }
    }

    /// Stops or forgets tasks that belong to no current attempt.
    pub(super) fn tick_orphans(&mut self, cx: &mut Context<'_>) {
        if !matches!(self.standing, Standing::Active) {
            return;
        }
        for orphan in std::mem::take(&mut self.orphans) {
            let id = orphan.report.id.clone();
            match self.judge_orphan(&orphan, cx.now) {
                Verdict::Keep => self.orphans.push(orphan),
                Verdict::Drop => {}
                Verdict::Verify(i) => {
                    self.verify(i, cx);
                    self.orphans.push(orphan);
                }
                Verdict::LookUp => {
                    self.look_up_orphan(&orphan.report.id.key, cx);
                    self.orphans.push(orphan);
                }
                Verdict::Stop => {
                    self.send_plain(&orphan.worker, vec![WorkerOp::Stop { id }], cx);
                }
                Verdict::Forget => {
                    self.send_plain(&orphan.worker, vec![WorkerOp::Forget { id }], cx);
                }
            }
        }
    }

    fn judge_orphan(&self, orphan: &Orphan, now: Moment) -> Verdict {
        let ended = matches!(
            orphan.report.state,
            TaskState::Completed { .. } | TaskState::Failed { .. } | TaskState::Stopped { .. }
        );
        if orphan.report.state == TaskState::Reserved {
            return Verdict::Drop;
        }
        let away = if ended { Verdict::Forget } else { Verdict::Stop };
        let Ok(i) = self.find(&orphan.report.id.key) else {
            return match now.since(orphan.since) > ORPHAN_GRACE {
                true if orphan.jobless => away,
                true => Verdict::LookUp,
                false => Verdict::Keep,
            };
        };
        let job = &self.jobs[i];
        let old = (orphan.worker.clone(), orphan.report.id.clone());
        let settled = job.end.as_ref().is_some_and(|end| end.step == EndStep::Settled);
        match &job.place {
            _ if job.gone => Verdict::Keep,
            _ if ended && job.old.contains(&old) => Verdict::Drop,
            _ if ended && !settled && !job.spec.idempotent => Verdict::Keep,
            Place::Out | Place::Leaving(_) if job.end.is_none() => Verdict::Keep,
            _ if ended || settled => away,
            _ if job.claim == Claim::Owned && job.verified.is_none_or(|at| at <= orphan.since) => {
                Verdict::Verify(i)
            }
            _ if job.claim == Claim::Owned => away,
            _ if now.since(orphan.since) > ORPHAN_GRACE => away,
            _ => Verdict::Keep,
        }
    }

    fn look_up_orphan(&mut self, key: &JobKey, cx: &mut Context<'_>) {
        let tag = Tag::Orphan(key.clone());
        if !self.journal.has(|other| *other == tag) {
            let request = StoreRequest::Get { key: JobRecord::path(key) };
            self.journal.call(tag, request, Patience::Endless, cx);
        }
    }

    /// Takes the job of tasks that nobody knew, or lets them go.
    pub(super) fn on_orphan(&mut self, key: &JobKey, outcome: Outcome, cx: &mut Context<'_>) {
        let Outcome::Found(found) = outcome else { return };
        if !self.is_active() {
            return;
        }
        if let Some(record) = found {
            self.take_found(&record, cx);
        }
        if self.find(key).is_err() {
            let own = self.orphans.iter_mut().filter(|o| o.report.id.key == *key);
            own.for_each(|orphan| orphan.jobless = true);
        }
    }

    /// Lists the tasks of a job that belong to no attempt known here.
    pub(super) fn orphans_of(&self, key: &bulrushlink_core::JobKey) -> Vec<(WorkerId, TaskReport)> {
        let first = self.orphans.partition_point(|o| o.report.id.key < *key);
        let own = self.orphans[first..].iter().take_while(|o| o.report.id.key == *key);
        own.map(|o| (o.worker.clone(), o.report.clone())).collect()
    }
}
