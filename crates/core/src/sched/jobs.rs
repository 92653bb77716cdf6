//! The jobs that the scheduler knows: what was asked for and how far each has come.

use derive_more::Display;
use serde::Serialize;

use crate::ids::{Attempt, JobKey};
use crate::job::{JobSpec, Placement, Refusal, TaskPlace, Urgency};
use crate::sched::event::{StartFault, StopReason};
use crate::sched::fit::Place;
use crate::sched::fleet::{Fleet, View, WorkerIx};
use crate::sched::guarantee::InstanceIx;
use crate::sched::queue::Ticket;
use crate::sched::spaces::SpaceIx;
use crate::units::{AcceleratorSet, Moment, Span};

/// Place of a job in the table; used again after the job has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub(super) struct JobIx(pub(super) u32);

/// How far a job has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub(super) enum Phase {
    /// In its lane.
    Waiting,
    /// Waits for a moment before it is queued again.
    Delayed(Moment),
    /// Waits until its block is vacated.
    Claiming,
    /// Its start was asked for.
    Starting,
    /// All of its tasks run.
    Running,
    /// Its stop was asked for, and is asked for again at the moment.
    Stopping(StopReason, Moment),
}

impl Phase {
    /// Tells whether an attempt may run.
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

/// The last thing decided about a job.
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
    /// Tells whether part of a live gang may be gone already.
    pub(super) const fn is_partial(&self) -> bool {
        matches!(self, Self::Stopping(StopReason::GangIncomplete | StopReason::Cancelled))
    }
}

/// One job.
#[derive(Debug, Serialize)]
pub(super) struct Job {
    pub(super) spec: JobSpec,
    pub(super) space: SpaceIx,
    pub(super) phase: Phase,
    /// The last attempt that was asked for or reported; never goes back.
    pub(super) attempt: Attempt,
    /// The last attempt that may have run a task.
    pub(super) ran: Attempt,
    /// Whether `attempt` was started by this scheduler.
    pub(super) local: bool,
    pub(super) arrived: Moment,
    /// Time between the submission and `arrived`.
    pub(super) before: Span,
    pub(super) since: Moment,
    pub(super) decided: Moment,
    pub(super) started: Option<Moment>,
    /// Run time that checkpoints have saved.
    pub(super) saved: Span,
    pub(super) failures: u8,
    pub(super) misstarts: u8,
    /// Times it was stopped for somebody else's sake.
    pub(super) moves: u8,
    /// Workers that it failed on.
    pub(super) failed_on: Vec<WorkerIx>,
    /// Those of them that the next attempt avoids; the others suffice for its shape.
    pub(super) avoid: Vec<WorkerIx>,
    /// The block that it holds or has claimed; empty while it has none.
    pub(super) places: Vec<Place>,
    /// Tasks adopted on workers that aren't known yet.
    pub(super) unseated: Vec<TaskPlace>,
    /// Whether its tasks are firm while it holds a block.
    pub(super) firm: bool,
    /// The guarantee that it uses or has claimed.
    pub(super) guarantee: Option<InstanceIx>,
    /// Whether it tests a quarantined worker.
    pub(super) probe: bool,
    /// Its entry in a lane; only while it waits.
    pub(super) ticket: Option<Ticket>,
    pub(super) reason: Reason,
}

impl Job {
    /// Tells whether it may be stopped and started again.
    pub(super) const fn preemptible(&self) -> bool {
        self.spec.idempotent || self.spec.checkpoint
    }

    /// Returns the room that it may start in.
    pub(super) const fn view(&self) -> View {
        match (self.spec.checkpoint, self.spec.idempotent) {
            (true, _) => View::Lent,
            (false, true) => View::Soft,
            (false, false) => View::Hard,
        }
    }

    /// Tells whether another start is allowed, after an attempt that may have run.
    pub(super) const fn repeatable(&self) -> bool {
        self.spec.idempotent
    }

    pub(super) fn age(&self, now: Moment) -> Span {
        self.before + now.since(self.arrived)
    }

    /// Submission on a scale that may begin before the clock did, in milliseconds.
    pub(super) fn submitted(&self) -> i64 {
        self.arrived.0 as i64 - self.before.0 as i64
    }

    pub(super) fn is_urgent(&self) -> bool {
        self.spec.urgency == Urgency::Urgent
    }

    /// Run time of the current attempt so far, which a stop without a checkpoint would lose.
    pub(super) fn unsaved(&self, now: Moment) -> Span {
        self.started.map(|at| now.since(at)).unwrap_or_default()
    }

    pub(super) fn enter(&mut self, phase: Phase, reason: Reason, now: Moment) {
        self.phase = phase;
        self.reason = reason;
        self.since = now;
        self.decided = now;
    }

    /// Returns its block as one entry a task.
    pub(super) fn placement(&self, fleet: &Fleet) -> Placement {
        let size = self.spec.shape.accelerators;
        let mut placement = Vec::with_capacity(self.spec.shape.tasks as usize);
        for place in &self.places {
            let worker = &fleet.worker(place.worker).info.id;
            for i in 0..place.tasks {
                let task = placement.len() as u16;
                let set = if place.tasks == 1 { place.set } else { part(place.set, size, i) };
                placement.push(TaskPlace { task, worker: worker.clone(), set });
            }
        }
        placement
    }
}

/// Returns the positions of the `i`th task of a gang that shares one block.
pub(super) fn part(set: AcceleratorSet, size: u8, i: u16) -> AcceleratorSet {
    if size == 0 {
        return AcceleratorSet::EMPTY;
    }
    let first = set.0.trailing_zeros() as u8 + size * i as u8;
    AcceleratorSet::run(first, size)
}

/// All jobs.
#[derive(Debug, Default)]
pub(super) struct Jobs {
    table: Vec<Option<Job>>,
    vacant: Vec<JobIx>,
    /// Sorted by key.
    index: Vec<JobIx>,
}

impl Jobs {
    pub(super) fn get(&self, ix: JobIx) -> &Job {
        self.table[ix.0 as usize].as_ref().expect("references end with their job")
    }

    pub(super) fn get_mut(&mut self, ix: JobIx) -> &mut Job {
        self.table[ix.0 as usize].as_mut().expect("references end with their job")
    }

    fn search(&self, key: &JobKey) -> Result<usize, usize> {
        self.index.binary_search_by(|ix| self.get(*ix).spec.key.cmp(key))
    }

    pub(super) fn find(&self, key: &JobKey) -> Option<JobIx> {
        self.search(key).ok().map(|i| self.index[i])
    }

    /// Adds a job whose key isn't known.
    pub(super) fn add(&mut self, job: Job) -> JobIx {
        let i = self.search(&job.spec.key).expect_err("repeats are ignored before");
        let ix = match self.vacant.pop() {
            Some(ix) => {
                self.table[ix.0 as usize] = Some(job);
                ix
            }
            None => {
                self.table.push(Some(job));
                JobIx((self.table.len() - 1) as u32)
            }
        };
        self.index.insert(i, ix);
        ix
    }

    /// Forgets a job.
    pub(super) fn remove(&mut self, ix: JobIx) -> Job {
        let i = self.search(&self.get(ix).spec.key).expect("each job is listed");
        self.index.remove(i);
        self.vacant.push(ix);
        self.table[ix.0 as usize].take().expect("references end with their job")
    }

    /// Returns all jobs in the order of their keys.
    pub(super) fn iter(&self) -> impl Iterator<Item = (JobIx, &Job)> + '_ {
        self.index.iter().map(|ix| (*ix, self.get(*ix)))
    }
}

/// Makes a refusal.
pub(super) fn refusal(
    code: crate::error::Code,
    reason: impl Into<String>,
    retry: Option<Span>,
) -> Refusal {
    Refusal { code, reason: reason.into(), retry }
}
