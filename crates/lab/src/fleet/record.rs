//! Record of what the workers saw and the callers were told, checked against the scheduler's
//! invariants.

use bulrushlink_core::WorkspaceId;
use bulrushlink_fleet::{EndCause, JobId, JobSpec, Resources, Run, ShownState, TaskId};
use std::collections::{BTreeMap, BTreeSet};

use super::lab::DeadlyTasks;

/// Crashes of workers under a task after which it may be given up.
const CRASHES_TO_GIVE_UP: u32 = 2;
/// Crashes of workers under a deadly task after which it may be started only `STARTS_LEFT` times.
const CRASHES_MAX: u32 = 3;
const STARTS_LEFT: u32 = 2;
/// Time after the reply that lists an end at which the placer has taken note of it, by the platform's rules,
/// if no trouble is near.
const NOTING_MS: u64 = 100;

/// A violated invariant of the scheduler.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// Virtual time in milliseconds.
    pub at: u64,
    /// Names the tasks and runs involved and what went wrong.
    pub text: String,
}

/// Outcome of a job's submission as its caller knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// No answer that decides it yet.
    Pending,
    /// The job was accepted.
    Accepted,
    /// Every submission so far was refused as not run.
    Refused,
}

/// A submitted job with what its caller and the workers know of it.
pub(super) struct JobTrack {
    pub(super) id: JobId,
    pub(super) spec: JobSpec,
    pub(super) queue: String,
    pub(super) workspace: WorkspaceId,
    pub(super) outcome: SubmitOutcome,
    /// Submissions without an answer that rules out a later start.
    pub(super) open_submits: u32,
    /// The caller has sent a cancellation, whether or not it was answered.
    pub(super) cancel_requested: bool,
    /// Time at which a cancellation was first confirmed.
    pub(super) cancelled: Option<u64>,
    pub(super) shown_state: Option<ShownState>,
    /// Tasks with a run that has ended as done.
    pub(super) done: BTreeSet<TaskId>,
    /// Successful ends of runs that no placer has acknowledged.
    pub(super) unacked: Vec<UnackedEnd>,
    /// Runs that have failed, sorted; each run of a gang is listed under the task of index 0.
    pub(super) failed_runs: Vec<(TaskId, Run)>,
    pub(super) started: bool,
    /// Time at which the last task ended as done.
    pub(super) finished_at: Option<u64>,
    /// True run time of its tasks, in percent of the estimate.
    pub(super) length_percent: u64,
}

/// Whether a placer can still learn of an unacknowledged end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EndFate {
    /// The worker lists the end, and its leases have not expired since.
    Listed,
    /// The worker lists the end, but its leases have expired since.
    Lapsed,
    /// The worker has crashed, so that no placer will ever see the end.
    Lost,
}

/// The successful end of a run that no placer has acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct UnackedEnd {
    task: TaskId,
    worker: usize,
    fate: EndFate,
    /// When the worker first sent a reply that lists the end with no trouble near.
    listed: Option<u64>,
}

impl UnackedEnd {
    /// Returns true if the placer must have taken note of the end: a reply that it should have read lists it.
    fn is_noted(&self, now: u64) -> bool {
        self.listed.is_some_and(|at| now > at + NOTING_MS)
    }
}

impl JobTrack {
    pub(super) fn new(id: JobId, queue: &str, workspace: WorkspaceId, spec: JobSpec) -> Self {
        Self {
            id,
            spec,
            queue: queue.to_string(),
            workspace,
            outcome: SubmitOutcome::Pending,
            open_submits: 0,
            cancel_requested: false,
            cancelled: None,
            shown_state: None,
            done: BTreeSet::new(),
            unacked: Vec::new(),
            failed_runs: Vec::new(),
            started: false,
            finished_at: None,
            length_percent: 100,
        }
    }

    /// Returns true if every task of every round has ended as done.
    pub(super) fn is_done(&self) -> bool {
        let tasks: u32 = self.spec.steps.iter().map(|s| s.tasks).sum();
        self.done.len() as u32 == tasks * self.spec.rounds()
    }
}

/// A live run with its worker.
type LiveRun = (TaskId, Run, usize);

/// The record of a simulation.
#[derive(Default)]
pub(super) struct Record {
    pub(super) jobs: Vec<JobTrack>,
    /// Live runs with their workers.
    pub(super) live: Vec<LiveRun>,
    /// What the live runs of each workspace occupy.
    used: BTreeMap<WorkspaceId, Resources>,
    pub(super) violations: Vec<Breach>,
    pub(super) starts: u64,
    /// Work of runs that ended early without a checkpoint, in core-seconds; an accelerator counts as 8 cores.
    pub(super) thrown_away: f64,
    /// Submissions that were refused as they can't be served in time: when, which job, and the time to come
    /// back in milliseconds.
    pub(super) refusals: Vec<(u64, JobId, u64)>,
    /// Ends of gang members whose gang was not complete in time.
    pub(super) gang_timeouts: u64,
    /// Runs of a step in which a task has ended as done, each listed under the task of index 0.
    pub(super) finished: BTreeSet<(TaskId, Run)>,
    /// Times and descriptions of events, to explain a violation.
    pub(super) trace: Vec<(u64, String)>,
    pub(super) deadly: Vec<DeadlyTasks>,
    /// Number of workers that crashed because they started a deadly task.
    pub(super) deadly_crashes: u64,
    /// For each task, how many workers have crashed while it ran there, and how often it has been
    /// started since there were `CRASHES_MAX`.
    pub(super) crashes: BTreeMap<TaskId, (u32, u32)>,
}

impl Record {
    pub(super) fn add_trace(&mut self, at: u64, text: String) {
        self.trace.push((at, text));
    }

    pub(super) fn record_violation(&mut self, at: u64, text: String) {
        self.violations.push(Breach { at, text });
    }

    /// Returns what the live runs of a workspace occupy.
    pub(super) fn used_by(&self, workspace: &WorkspaceId) -> Resources {
        self.used.get(workspace).copied().unwrap_or_default()
    }

    /// Returns the workspace of a task and what it occupies, unless its job is unknown.
    fn usage_of(&self, task: &TaskId) -> Option<(WorkspaceId, Resources)> {
        let job = self.jobs.iter().find(|j| j.id == task.job)?;
        Some((job.workspace.clone(), job.spec.steps[usize::from(task.step)].need))
    }

    fn add_live(&mut self, run: LiveRun) {
        if let Some((workspace, need)) = self.usage_of(&run.0) {
            let used = self.used.entry(workspace).or_default();
            *used = used.plus(&need);
        }
        self.live.push(run);
    }

    fn remove_live(&mut self, is_gone: impl Fn(&LiveRun) -> bool) {
        let gone: Vec<LiveRun> = self.live.extract_if(.., |run| is_gone(run)).collect();
        for (task, ..) in gone {
            if let Some((workspace, need)) = self.usage_of(&task) {
                let used = self.used.entry(workspace).or_default();
                *used = used.minus(&need);
            }
        }
    }

    pub(super) fn job(&mut self, id: JobId) -> Option<&mut JobTrack> {
        self.jobs.iter_mut().find(|j| j.id == id)
    }

    /// Records a start that a worker has carried out, with a violation for each invariant it
    /// violates.
    pub(super) fn record_start(
        &mut self,
        now: u64,
        (task, run, worker): (TaskId, Run, usize),
        grace: u64,
    ) {
        self.starts += 1;
        self.add_trace(now, format!("{task} run {run} starts on {worker}"));
        if let Some(other) = self.live.iter().find(|(t, ..)| *t == task) {
            let text = format!("{task} run {run} starts on {worker} while {other:?} lives");
            self.record_violation(now, text);
        }
        self.add_live((task, run, worker));
        self.check_starts_after_crashes(now, &task);
        let Some(job) = self.jobs.iter_mut().find(|j| j.id == task.job) else {
            return self.record_violation(now, format!("{task} belongs to no job"));
        };
        job.started = true;
        // A task may run again if its end was neither acknowledged nor taken note of, and its worker's
        // leases have expired or the worker has crashed.
        let noted = job.unacked.iter().any(|u| u.task == task && u.is_noted(now));
        let unreachable = |u: &UnackedEnd| u.task == task && u.fate != EndFate::Listed;
        if !noted && job.unacked.iter().any(unreachable) {
            job.done.remove(&task);
            job.unacked.retain(|u| u.task != task || u.fate != EndFate::Lost);
        }
        let step = &job.spec.steps[usize::from(task.step)];
        let mut texts = Vec::new();
        if noted || job.done.contains(&task) {
            texts.push(format!("{task} run {run} starts after it was done"));
        }
        let before: BTreeSet<u16> = step.after.iter().copied().collect();
        for before in &before {
            let tasks = job.spec.steps[usize::from(*before)].tasks;
            let earlier = |index| TaskId { step: *before, index, ..task };
            // The placer may have seen an end that it has not acknowledged yet.
            let unacked = |t: &TaskId| job.unacked.iter().any(|u| u.task == *t);
            let ended = |t: &TaskId| job.done.contains(t) || unacked(t);
            if !(0..tasks).all(|i| ended(&earlier(i))) {
                texts.push(format!("{task} starts before step {before} is done"));
            }
        }
        if job.outcome == SubmitOutcome::Refused && job.open_submits == 0 {
            texts.push(format!("{task} starts though the job was refused as not run"));
        }
        if job.cancelled.is_some_and(|at| now > at + grace) {
            texts.push(format!("{task} starts after the job's cancellation"));
        }
        texts.into_iter().for_each(|text| self.record_violation(now, text));
    }

    /// Records a violation if a deadly task is started too often.
    fn check_starts_after_crashes(&mut self, now: u64, task: &TaskId) {
        let deadly = self.deadly.iter().any(|d| d.contains(task));
        let Some((crashes, starts)) = self.crashes.get_mut(task) else { return };
        if !deadly || *crashes < CRASHES_MAX {
            return;
        }
        *starts += 1;
        if *starts > STARTS_LEFT {
            let text = format!("{task} is started again after {crashes} workers crashed under it");
            self.record_violation(now, text);
        }
    }

    /// Returns true if a job may be shown as failed: a task has failed so many times, or workers
    /// have crashed under it.
    pub(super) fn may_fail(&self, job: &JobTrack, attempts: u32) -> bool {
        let used_up = job
            .failed_runs
            .chunk_by(|a, b| a.0 == b.0)
            .any(|failures| failures.len() as u32 >= attempts);
        let crashed = |(task, (crashes, _)): (&TaskId, &(u32, u32))| {
            task.job == job.id && *crashes >= CRASHES_TO_GIVE_UP
        };
        used_up || self.crashes.iter().any(crashed)
    }

    /// Records the end of a run.
    pub(super) fn record_end(
        &mut self,
        now: u64,
        (task, run, worker): (TaskId, Run, usize),
        cause: EndCause,
    ) {
        self.add_trace(now, format!("{task} run {run} ends on {worker}: {cause}"));
        self.remove_live(|l| *l == (task, run, worker));
        if cause == EndCause::Alone {
            self.gang_timeouts += 1;
        }
        if cause == EndCause::Failed
            && let Some(job) = self.job(task.job)
        {
            let gang = job.spec.steps[usize::from(task.step)].gang;
            let failed = (TaskId { index: if gang { 0 } else { task.index }, ..task }, run);
            if let Err(at) = job.failed_runs.binary_search(&failed) {
                job.failed_runs.insert(at, failed);
            }
        }
        if cause == EndCause::Done {
            self.finished.insert((TaskId { index: 0, ..task }, run));
        }
        if cause == EndCause::Done
            && let Some(job) = self.job(task.job)
            && !job.done.contains(&task)
        {
            job.done.insert(task);
            job.unacked.push(UnackedEnd { task, worker, fate: EndFate::Listed, listed: None });
            if job.is_done() {
                job.finished_at = Some(now);
            }
        }
    }

    /// Records that a placer has acknowledged an end. The end counts even if the task has been
    /// started again since.
    pub(super) fn record_ack(&mut self, task: TaskId, worker: usize) {
        let Some(job) = self.job(task.job) else { return };
        let same = |u: &UnackedEnd| u.task == task && u.worker == worker;
        if !job.unacked.iter().any(same) {
            return;
        }
        job.unacked.retain(|u| !same(u));
        job.done.insert(task);
    }

    /// Records that a worker has sent a reply that lists its ends, with no trouble near.
    pub(super) fn record_listing(&mut self, now: u64, worker: usize) {
        let unacked = self.jobs.iter_mut().flat_map(|j| &mut j.unacked);
        let there = |u: &&mut UnackedEnd| u.worker == worker && u.fate != EndFate::Lost;
        unacked.filter(there).for_each(|u| u.listed = u.listed.or(Some(now)));
    }

    /// Records that the leases of a worker have expired.
    pub(super) fn record_lapse(&mut self, worker: usize) {
        let unacked = self.jobs.iter_mut().flat_map(|j| &mut j.unacked);
        let listed = |u: &&mut UnackedEnd| u.worker == worker && u.fate == EndFate::Listed;
        unacked.filter(listed).for_each(|u| u.fate = EndFate::Lapsed);
    }

    /// Records the crash of a worker under the tasks that run there.
    pub(super) fn record_crash(&mut self, worker: usize) {
        for (task, ..) in self.live.iter().filter(|(_, _, w)| *w == worker) {
            self.crashes.entry(*task).or_default().0 += 1;
        }
    }

    /// Records the loss of a worker's runs and of its list of ends.
    pub(super) fn record_loss(&mut self, now: u64, worker: usize) {
        self.remove_live(|(_, _, w)| *w == worker);
        for job in &mut self.jobs {
            // A task that was started again since its end no longer counts as done by that end.
            let done = &job.done;
            job.unacked.retain(|u| u.worker != worker || done.contains(&u.task));
            for end in job.unacked.iter_mut().filter(|u| u.worker == worker) {
                end.fate = EndFate::Lost;
                // The crash itself is a trouble near the reply.
                end.listed = end.listed.filter(|_| end.is_noted(now));
            }
        }
    }
}
