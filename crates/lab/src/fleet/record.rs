//! What the workers saw and the callers were told, and the promises that it has to keep.

use bulrushlink_fleet::{EndCause, JobId, JobSpec, Run, ShownState, TaskId};

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Breach {
    /// Virtual time in milliseconds.
    pub at: u64,
    /// What was broken.
    pub text: String,
}

/// What a caller knows of its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Told {
    /// No answer that settles it yet.
    Nothing,
    /// The job was accepted.
    Accepted,
    /// Every attempt was refused as not run.
    Refused,
}

/// A job from outside.
pub(super) struct JobTrack {
    pub(super) id: JobId,
    pub(super) spec: JobSpec,
    pub(super) queue: String,
    pub(super) told: Told,
    /// Attempts without an answer that excludes a later start.
    pub(super) open: u32,
    /// Its caller wanted it cancelled.
    pub(super) unwanted: bool,
    pub(super) cancelled: Option<u64>,
    pub(super) shown: Option<ShownState>,
    /// Tasks with a run that has ended well.
    pub(super) done: Vec<TaskId>,
    /// Good ends that no placer has acknowledged.
    pub(super) unnoted: Vec<Unnoted>,
    pub(super) started: bool,
}

/// What has become of an end that no placer has acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum EndFate {
    /// The worker lists it, and its leases have run on.
    Listed,
    /// The worker lists it; its leases have been over since.
    Lapsed,
    /// The worker has crashed, so that nobody will hear of it.
    Lost,
}

/// A good end that no placer has acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Unnoted {
    task: TaskId,
    worker: usize,
    fate: EndFate,
}

impl JobTrack {
    /// Tells whether every task of every round has ended well.
    pub(super) fn is_done(&self) -> bool {
        let tasks: u32 = self.spec.steps.iter().map(|s| s.tasks).sum();
        self.done.len() as u32 == tasks * self.spec.rounds()
    }
}

/// The record of a run of the lab.
#[derive(Default)]
pub(super) struct Record {
    pub(super) jobs: Vec<JobTrack>,
    /// Runs that are live, with their workers.
    pub(super) live: Vec<(TaskId, Run, usize)>,
    pub(super) breaches: Vec<Breach>,
    pub(super) starts: u64,
    pub(super) alone: u64,
    /// Runs of steps of which a member has ended well.
    pub(super) finished: Vec<(TaskId, Run)>,
    /// What happened, for the explanation of a breach.
    pub(super) trace: Vec<(u64, String)>,
}

impl Record {
    pub(super) fn note(&mut self, at: u64, text: String) {
        self.trace.push((at, text));
    }

    pub(super) fn breach(&mut self, at: u64, text: String) {
        self.breaches.push(Breach { at, text });
    }

    pub(super) fn job(&mut self, id: JobId) -> Option<&mut JobTrack> {
        self.jobs.iter_mut().find(|j| j.id == id)
    }

    /// Checks a start as a worker saw it.
    pub(super) fn started(
        &mut self,
        now: u64,
        (task, run, worker): (TaskId, Run, usize),
        grace: u64,
    ) {
        self.starts += 1;
        self.note(now, format!("{task} run {run} starts on {worker}"));
        if let Some(other) = self.live.iter().find(|(t, ..)| *t == task) {
            let text = format!("{task} run {run} starts on {worker} while {other:?} lives");
            self.breach(now, text);
        }
        self.live.push((task, run, worker));
        let Some(job) = self.jobs.iter_mut().find(|j| j.id == task.job) else {
            return self.breach(now, format!("{task} belongs to no job"));
        };
        job.started = true;
        // An end that nobody has noted may be done over once its worker can't be heard any more.
        let late = |u: &Unnoted| u.task == task && u.fate != EndFate::Listed;
        if job.unnoted.iter().any(late) {
            job.done.retain(|t| *t != task);
            job.unnoted.retain(|u| u.task != task || u.fate != EndFate::Lost);
        }
        let step = &job.spec.steps[usize::from(task.step)];
        let mut wrong = Vec::new();
        if job.done.contains(&task) {
            wrong.push(format!("{task} run {run} starts after it was done"));
        }
        for before in &step.after {
            let tasks = job.spec.steps[usize::from(*before)].tasks;
            let earlier = |index| TaskId { step: *before, index, ..task };
            // The placer may know of an end that it hasn't acknowledged yet.
            let listed = |t: &TaskId| job.unnoted.iter().any(|u| u.task == *t);
            let ended = |t: &TaskId| job.done.contains(t) || listed(t);
            if !(0..tasks).all(|i| ended(&earlier(i))) {
                wrong.push(format!("{task} starts before step {before} is done"));
            }
        }
        if job.told == Told::Refused && job.open == 0 {
            wrong.push(format!("{task} starts though the job was refused as not run"));
        }
        if job.cancelled.is_some_and(|at| now > at + grace) {
            wrong.push(format!("{task} starts after the job's cancellation"));
        }
        wrong.into_iter().for_each(|text| self.breach(now, text));
    }

    /// Notes the end of a run.
    pub(super) fn ended(
        &mut self,
        now: u64,
        (task, run, worker): (TaskId, Run, usize),
        cause: EndCause,
    ) {
        self.note(now, format!("{task} run {run} ends on {worker}: {cause}"));
        self.live.retain(|l| *l != (task, run, worker));
        if cause == EndCause::Alone {
            self.alone += 1;
        }
        if cause == EndCause::Done {
            self.finished.push((TaskId { index: 0, ..task }, run));
        }
        if cause == EndCause::Done
            && let Some(job) = self.job(task.job)
            && !job.done.contains(&task)
        {
            job.done.push(task);
            job.unnoted.push(Unnoted { task, worker, fate: EndFate::Listed });
        }
    }

    /// Notes that a placer has acknowledged an end, which counts even if it was heard late.
    pub(super) fn noted(&mut self, task: TaskId, worker: usize) {
        let Some(job) = self.job(task.job) else { return };
        let of = |u: &Unnoted| u.task == task && u.worker == worker;
        if !job.unnoted.iter().any(of) {
            return;
        }
        job.unnoted.retain(|u| !of(u));
        if !job.done.contains(&task) {
            job.done.push(task);
        }
    }

    /// Notes that the leases of a worker are over.
    pub(super) fn lapsed(&mut self, worker: usize) {
        let unnoted = self.jobs.iter_mut().flat_map(|j| &mut j.unnoted);
        let listed = |u: &&mut Unnoted| u.worker == worker && u.fate == EndFate::Listed;
        unnoted.filter(listed).for_each(|u| u.fate = EndFate::Lapsed);
    }

    /// Forgets everything that ran on a worker that has crashed.
    pub(super) fn crashed(&mut self, worker: usize) {
        self.live.retain(|(_, _, w)| *w != worker);
        for job in &mut self.jobs {
            // What has been started again since isn't done by the lost run.
            let done = &job.done;
            job.unnoted.retain(|u| u.worker != worker || done.contains(&u.task));
            let lost = job.unnoted.iter_mut().filter(|u| u.worker == worker);
            lost.for_each(|u| u.fate = EndFate::Lost);
        }
    }
}
