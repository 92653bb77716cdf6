//! The typed edge of the scheduler: what it is told and what it asks for.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};

use crate::ids::{Attempt, DomainId, JobKey, RackId, WorkerId};
use crate::job::{Ending, JobSpec, Placement, Urgency};
use crate::note::DomainShare;
use crate::units::{AcceleratorSet, Moment, Span};

/// Buckets of urgent jobs in a load.
pub const URGENT_BUCKETS: usize = 8;

/// A worker as the platform describes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerInfo {
    /// The worker.
    pub id: WorkerId,
    /// Failure domain of the worker.
    pub domain: DomainId,
    /// Rack of the worker.
    pub rack: RackId,
    /// Number of accelerators, at positions from 0 upwards, at most 64.
    pub accelerators: u8,
    /// The most tasks that run there at the same time.
    pub slots: u16,
    /// Whether the worker is about to leave: it finishes what runs and gets nothing new.
    pub leaving: bool,
}

/// A lagging observation of one worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// The worker.
    pub worker: WorkerId,
    /// Positions that were busy then.
    pub busy: AcceleratorSet,
    /// Age of the observation.
    pub age: Span,
}

/// Why a start did not come about; no task of the attempt runs any more.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StartFault {
    /// The worker's positions were taken by somebody else.
    #[display("accelerators busy")]
    Busy,
    /// The worker is leaving.
    #[display("worker leaving")]
    Leaving,
    /// The worker didn't answer in time.
    #[display("worker silent")]
    Silent,
    /// The store couldn't record the start.
    #[display("start not recorded")]
    Unrecorded,
    /// Starts are not permitted now: the domain is out, or the daemon is cut off for too long.
    #[display("not permitted")]
    NotPermitted,
}

/// Why a running attempt is stopped.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StopReason {
    /// Its caller cancelled it.
    #[display("cancelled")]
    Cancelled,
    /// A guarantee is reclaimed.
    #[display("reclaimed")]
    Reclaimed,
    /// It makes room for a block that a larger gang waits for.
    #[display("defragmented")]
    Defragmented,
    /// Its failure domain leaves.
    #[display("domain leaves")]
    DomainLeaves,
    /// Another member of the gang is lost.
    #[display("gang incomplete")]
    GangIncomplete,
}

/// What the scheduler is told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A share came into force.
    Share(DomainShare),
    /// A worker joined, or its description changed.
    Worker(WorkerInfo),
    /// A worker is gone, with all that ran on it.
    WorkerLost(WorkerId),
    /// A new job, or one that another scheduler had before.
    Submit {
        /// The job.
        spec: JobSpec,
        /// Last attempt that may have run and left nothing to go on from, 0 for none.
        attempt: Attempt,
        /// Last attempt that was ever numbered; every later one gets a larger number.
        used: Attempt,
        /// Time since the submission.
        age: Span,
    },
    /// A job that runs already, found after a change of the placer.
    Adopt {
        /// The job.
        spec: JobSpec,
        /// The attempt that runs.
        attempt: Attempt,
        /// Where it runs.
        placement: Placement,
        /// Time since the submission.
        age: Span,
        /// Time since the start.
        ran: Span,
    },
    /// The caller wants the job no more.
    Cancel(JobKey),
    /// Another failure domain has room for the job now. It is handed over if it still waits and
    /// nothing is kept free for it here.
    Release(JobKey),
    /// All tasks of the attempt run.
    Started(JobKey, Attempt),
    /// No task of the attempt runs, none ever will; `worker` is at fault if there is one.
    StartFailed {
        /// The job.
        key: JobKey,
        /// The attempt.
        attempt: Attempt,
        /// The worker at fault.
        worker: Option<WorkerId>,
        /// What went wrong.
        fault: StartFault,
    },
    /// All tasks of the attempt completed.
    Completed(JobKey, Attempt, Vec<String>),
    /// A task of the attempt failed on `worker`; no other task of it runs any more.
    Failed {
        /// The job.
        key: JobKey,
        /// The attempt.
        attempt: Attempt,
        /// The worker that the task ran on.
        worker: WorkerId,
        /// Reason for people.
        reason: String,
    },
    /// The attempt was stopped on request and its accelerators are free; `saved` tells whether a
    /// checkpoint was taken.
    Vacated {
        /// The job.
        key: JobKey,
        /// The attempt.
        attempt: Attempt,
        /// Whether a checkpoint was taken.
        saved: bool,
    },
    /// The start was recorded, and nothing can settle what came of it.
    Unsettled(JobKey, Attempt),
    /// Observations of workers, late.
    Usage(Vec<UsageReport>),
    /// Time has passed.
    Tick,
}

/// What the scheduler asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Start all tasks or none; answered by `Started` or `StartFailed`.
    Start {
        /// The job.
        key: JobKey,
        /// The attempt, larger than every earlier one of the job.
        attempt: Attempt,
        /// Where the tasks run.
        placement: Placement,
    },
    /// Checkpoint all tasks where the job allows it, then stop them; answered by `Vacated`, or by
    /// `Completed` or `Failed` when that came first.
    Stop {
        /// The job.
        key: JobKey,
        /// The attempt.
        attempt: Attempt,
        /// Time for the checkpoint; zero stops at once.
        grace: Span,
        /// Why.
        reason: StopReason,
    },
    /// Let the tasks of the attempt run at `percent` of their speed.
    Throttle {
        /// The job.
        key: JobKey,
        /// The attempt.
        attempt: Attempt,
        /// 1 to 100.
        percent: u8,
    },
    /// The job has ended, and the scheduler has forgotten it.
    Finish {
        /// The job.
        key: JobKey,
        /// How it ended.
        ending: Ending,
    },
    /// The job can't start here any more and runs nowhere; another domain may take it.
    HandOver {
        /// The job.
        key: JobKey,
        /// Last attempt that was started.
        attempt: Attempt,
    },
    /// The worker gets no work but probes.
    Quarantine(WorkerId),
    /// The worker is trusted again.
    Readmit(WorkerId),
}

/// What other daemons need to know to route a job to this domain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Healthy accelerators.
    pub total: u32,
    /// Healthy accelerators without a task.
    pub free: u32,
    /// Accelerators that waiting jobs ask for.
    pub queued: u32,
    /// Jobs that wait.
    pub waiting: u32,
    /// The largest number of free accelerators within one rack.
    pub block: u32,
    /// Urgent jobs that run or wait, in buckets by workspace and shape, see [`Self::bucket`].
    #[serde(default)]
    pub urgent: [u16; URGENT_BUCKETS],
}

impl Load {
    /// Returns the bucket that counts the urgent jobs of a workspace that have one shape. Few
    /// buckets keep the load small wherever it is sent; two pairs that share a bucket only make
    /// the router more careful with both.
    pub fn bucket(spec: &JobSpec) -> usize {
        let mut hasher = SipHasher13::new();
        (&spec.key.workspace, spec.shape).hash(&mut hasher);
        hasher.finish() as usize % URGENT_BUCKETS
    }

    /// Counts a job that was sent to the domain after the load was announced.
    pub fn add(&mut self, spec: &JobSpec) {
        let total = spec.shape.total();
        self.queued += total;
        self.waiting += 1;
        self.free = self.free.saturating_sub(total);
        self.block = self.block.saturating_sub(total);
        self.count_urgent(spec);
    }

    /// Counts the job in its bucket if it is urgent.
    pub(crate) fn count_urgent(&mut self, spec: &JobSpec) {
        if spec.urgency == Urgency::Urgent {
            let count = &mut self.urgent[Self::bucket(spec)];
            *count = count.saturating_add(1);
        }
    }
}

/// Why a job is where it is.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("{text}")]
pub struct Why {
    /// `waiting`, `starting`, `running` or `stopping`.
    pub phase: String,
    /// The reason, for people.
    pub text: String,
    /// Where it runs; empty while it waits.
    pub placement: Placement,
    /// Time in this phase.
    pub age: Span,
    /// Moment of the last decision about it, on the daemon's clock.
    pub decided: Moment,
}
