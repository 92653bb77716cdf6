//! The jobs that the scheduler knows: their specifications and their progress.

use derive_more::Display;
use serde::Serialize;

use crate::ids::{Attempt, JobKey};
use crate::job::{JobSpec, Placement, Refusal, TaskPlace, Urgency};
use crate::sched::event::{StartFault, StopReason};
use crate::sched::fit::Place;
use crate::sched::fleet::{Fleet, View, WorkerIx};
use crate::sched::guarantee::GuaranteeIx;
use crate::sched::queue::QueuePosition;
use crate::sched::spaces::WorkspaceIx;
use crate::units::{AcceleratorSet, Moment, Span};

/// Index of a job in the table; reused after the job has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub(super) struct JobIx(pub(super) u32);

/// Progress of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub(super) enum Phase {
    /// In its lane.
    Waiting,
    /// Waits until the given time before it is queued again.
    Delayed(Moment),
    /// Waits until the block that is held for it is free: that of a guarantee, or one that drains.
    Claiming,
    /// Its start was requested. Also set while a job is on no list, between two phases.
    Starting,
    /// All of its tasks run.
    Running,
    /// Its stop was requested, and is requested again at the given time.
    Stopping(StopReason, Moment),
}

impl Phase {
    /// Returns true if an attempt may be running.
    pub(super) fn is_live(self) -> bool {
        matches!(self, Self::Starting | Self::Running | Self::Stopping(..))
    }

    pub(super) const fn text(self) -> &'static str {
        match self {
            Self::Waiting | Self::Delayed(_) | Self::Claiming => "waiting",
            Self::Starting => "starting",
            Self::Running => "running",
            Self::Stopping(..) => "stopping",
        }
    }
}

/// The latest decision about a job.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize)]
pub(super) enum Reason {
    #[display("queued")]
    Queued,
    #[display("no room for {tasks} tasks of {size}: there is room for {room}")]
    NoRoom { tasks: u16, size: u8, room: u32 },
    #[display("there is room for its tasks, but not as close together as it asks for")]
    NotAdjacent,
    #[display(
        "the accelerators that are free are held back for guarantees, and it can't be stopped for them"
    )]
    HeldBack,
    #[display("waits for {victims} borrowing jobs to leave its guaranteed block")]
    Reclaiming { victims: usize },
    #[display("waited long: a block is kept free for it and drains")]
    Draining,
    #[display("runs within its workspace's guarantee")]
    Guaranteed,
    #[display("runs on accelerators that no guarantee holds")]
    Unheld,
    #[display("was stopped often; isn't stopped again on accelerators that no guarantee holds")]
    Protected,
    #[display("borrows accelerators of an unused guarantee and can be stopped for it")]
    Borrowing,
    #[display("is short enough to run in a block that drains for a larger gang")]
    Backfill,
    #[display("tests whether a quarantined worker can be trusted again")]
    Probe,
    #[display("found running")]
    Adopted,
    #[display("start failed: {_0}; is tried again")]
    StartFailed(StartFault),
    #[display("failed {_0} times; is tried again")]
    Retry(u8),
    #[display("is being stopped: {_0}")]
    Stopping(StopReason),
    #[display("was stopped: {_0}; waits to go on")]
    Stopped(StopReason),
    #[display("its worker is lost; is tried again")]
    WorkerLost,
    #[display("its failure domain is out of service")]
    DomainOut,
}

impl Reason {
    /// Returns true if some tasks of a live gang may be gone already.
    pub(super) const fn is_partial(&self) -> bool {
        matches!(self, Self::Stopping(StopReason::GangIncomplete | StopReason::Cancelled))
    }
}

/// One job.
#[derive(Debug, Serialize)]
pub(super) struct Job {
    pub(super) spec: JobSpec,
    pub(super) space: WorkspaceIx,
    pub(super) phase: Phase,
    /// The latest attempt that was requested or reported; never decreases.
    pub(super) attempt: Attempt,
    /// The latest attempt that may have run a task.
    #[serde(rename = "ran")]
    pub(super) ran_attempt: Attempt,
    /// Whether `attempt` was started by this scheduler.
    pub(super) local: bool,
    /// When this scheduler was given the job.
    pub(super) arrived: Moment,
    /// Its age when it arrived: the time between the submission and `arrived`.
    #[serde(rename = "before")]
    pub(super) prior_age: Span,
    /// When it entered its phase.
    pub(super) since: Moment,
    /// When something was last decided about it.
    pub(super) decided: Moment,
    /// When all tasks of the current attempt were started.
    pub(super) started: Option<Moment>,
    /// Run time that checkpoints have saved.
    #[serde(rename = "saved")]
    pub(super) saved_time: Span,
    pub(super) failures: u8,
    /// Number of consecutive starts that failed.
    #[serde(rename = "misstarts")]
    pub(super) start_failures: u8,
    /// Number of times that it was preempted.
    #[serde(rename = "moves")]
    pub(super) preemptions: u8,
    /// Workers that it failed on.
    pub(super) failed_on: Vec<WorkerIx>,
    /// Workers of `failed_on` that the next attempt avoids; the remaining workers suffice for its
    /// shape.
    pub(super) avoid: Vec<WorkerIx>,
    /// The block that it uses or has claimed; empty while it has none.
    pub(super) places: Vec<Place>,
    /// Adopted tasks on workers that are not known yet.
    #[serde(rename = "unseated")]
    pub(super) unresolved: Vec<TaskPlace>,
    /// Whether its tasks are pinned, that is, never preempted, while it has a block.
    #[serde(rename = "firm")]
    pub(super) pinned: bool,
    /// The guarantee that it uses or has claimed.
    pub(super) guarantee: Option<GuaranteeIx>,
    /// Whether it probes a quarantined worker.
    pub(super) probe: bool,
    /// Its position in a lane; only while it waits.
    #[serde(rename = "ticket")]
    pub(super) position: Option<QueuePosition>,
    pub(super) reason: Reason,
}

impl Job {
    /// Returns true if it may be stopped and started again.
    pub(super) const fn preemptible(&self) -> bool {
        self.spec.idempotent || self.spec.checkpoint
    }

    /// Returns the capacity that it may start on.
    pub(super) const fn view(&self) -> View {
        match (self.spec.checkpoint, self.spec.idempotent) {
            (true, _) => View::Checkpointable,
            (false, true) => View::Preemptible,
            (false, false) => View::NonPreemptible,
        }
    }

    /// Returns true if it may be started again after an attempt that may have run.
    pub(super) const fn retryable(&self) -> bool {
        self.spec.idempotent
    }

    pub(super) fn age(&self, now: Moment) -> Span {
        self.prior_age + now.since(self.arrived)
    }

    /// Returns the time of submission in milliseconds; negative if that was before the clock's
    /// zero.
    pub(super) fn submitted(&self) -> i64 {
        self.arrived.0 as i64 - self.prior_age.0 as i64
    }

    pub(super) fn is_urgent(&self) -> bool {
        self.spec.urgency == Urgency::Urgent
    }

    /// Returns the run time of the current attempt, which is lost if it stops without a checkpoint.
    pub(super) fn unsaved_time(&self, now: Moment) -> Span {
        self.started.map(|at| now.since(at)).unwrap_or_default()
    }

    pub(super) fn set_phase(&mut self, phase: Phase, reason: Reason, now: Moment) {
        self.phase = phase;
        self.reason = reason;
        self.since = now;
        self.decided = now;
    }

    /// Returns its block with one entry per task.
    pub(super) fn placement(&self, fleet: &Fleet) -> Placement {
        let size = self.spec.shape.accelerators;
        let mut placement = Vec::with_capacity(self.spec.shape.tasks as usize);
        for place in &self.places {
            let worker = &fleet.worker(place.worker).info.id;
            for i in 0..place.tasks {
                let task = placement.len() as u16;
                let set = if place.tasks == 1 { place.set } else { task_set(place.set, size, i) };
                placement.push(TaskPlace { task, worker: worker.clone(), set });
            }
        }
        placement
    }
}

/// Returns the accelerators of the `i`th task of a gang that shares one block.
pub(super) fn task_set(set: AcceleratorSet, size: u8, i: u16) -> AcceleratorSet {
    if size == 0 {
        return AcceleratorSet::EMPTY;
    }
    let first = set.0.trailing_zeros() as u8 + size * i as u8;
    AcceleratorSet::contiguous(first, size)
}

/// All jobs.
#[derive(Debug, Default)]
pub(super) struct Jobs {
    table: Vec<Option<Job>>,
    /// Unused entries of the table.
    free: Vec<JobIx>,
    /// Sorted by key.
    by_key: Vec<JobIx>,
}

impl Jobs {
    pub(super) fn get(&self, ix: JobIx) -> &Job {
        self.table[ix.0 as usize].as_ref().expect("an index is not used after its job was removed")
    }

    pub(super) fn get_mut(&mut self, ix: JobIx) -> &mut Job {
        self.table[ix.0 as usize].as_mut().expect("an index is not used after its job was removed")
    }

    fn search(&self, key: &JobKey) -> Result<usize, usize> {
        self.by_key.binary_search_by(|ix| self.get(*ix).spec.key.cmp(key))
    }

    pub(super) fn find(&self, key: &JobKey) -> Option<JobIx> {
        self.search(key).ok().map(|i| self.by_key[i])
    }

    /// Adds a job whose key is not in the table yet.
    pub(super) fn add(&mut self, job: Job) -> JobIx {
        let i = self.search(&job.spec.key).expect_err("the caller has checked that the key is new");
        let ix = match self.free.pop() {
            Some(ix) => {
                self.table[ix.0 as usize] = Some(job);
                ix
            }
            None => {
                self.table.push(Some(job));
                JobIx((self.table.len() - 1) as u32)
            }
        };
        self.by_key.insert(i, ix);
        ix
    }

    /// Removes a job.
    pub(super) fn remove(&mut self, ix: JobIx) -> Job {
        let i = self.search(&self.get(ix).spec.key).expect("each job is in the key index");
        self.by_key.remove(i);
        self.free.push(ix);
        self.table[ix.0 as usize].take().expect("an index is not used after its job was removed")
    }

    /// Returns all jobs in the order of their keys.
    pub(super) fn iter(&self) -> impl Iterator<Item = (JobIx, &Job)> + '_ {
        self.by_key.iter().map(|ix| (*ix, self.get(*ix)))
    }
}

pub(super) fn refusal(
    code: crate::error::Code,
    reason: impl Into<String>,
    retry: Option<Span>,
) -> Refusal {
    Refusal { code, reason: reason.into(), retry }
}
