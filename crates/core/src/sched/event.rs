//! Input and output of the scheduler: the events that it is given and the actions that it requests.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};

use crate::ids::{Attempt, DomainId, JobKey, RackId, WorkerId};
use crate::job::{Ending, JobSpec, Placement, Urgency};
use crate::note::DomainShare;
use crate::units::{AcceleratorSet, Moment, Span};

/// Number of counters of urgent jobs in a [`Load`].
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
    /// Maximum number of tasks that run there at the same time.
    pub slots: u16,
    /// Whether the worker is about to leave: running tasks may complete, but it gets no new ones.
    pub leaving: bool,
}

/// A delayed observation of one worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    /// The worker.
    pub worker: WorkerId,
    /// Positions that were busy at the time of the observation.
    pub busy: AcceleratorSet,
    /// Age of the observation.
    pub age: Span,
}

/// Why a start failed; no task of the attempt is running.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StartFault {
    /// The accelerators are used by somebody else.
    #[display("accelerators busy")]
    Busy,
    /// The worker is leaving.
    #[display("worker leaving")]
    Leaving,
    /// The worker did not answer in time.
    #[display("worker silent")]
    Silent,
    /// The store could not record the start.
    #[display("start not recorded")]
    Unrecorded,
    /// Starts are not permitted now: the domain is out of service, or the daemon has been cut off
    /// for too long.
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
    /// The guaranteed accelerators that it borrows are reclaimed.
    #[display("reclaimed")]
    Reclaimed,
    /// It is preempted to free a block for another job: a larger gang, or an urgent job.
    #[display("defragmented")]
    Defragmented,
    /// Its failure domain goes out of service.
    #[display("domain leaves")]
    DomainLeaves,
    /// The gang has lost another of its tasks.
    #[display("gang incomplete")]
    GangIncomplete,
}

/// Input of the scheduler.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A share of the release note came into force.
    Share(DomainShare),
    /// A worker joined, or its description changed.
    Worker(WorkerInfo),
    /// A worker is lost, with everything that ran on it.
    WorkerLost(WorkerId),
    /// A job was submitted, or another scheduler handed it over.
    Submit {
        /// The job.
        spec: JobSpec,
        /// Latest attempt that may have run and left nothing to resume from; 0 if there is none.
        attempt: Attempt,
        /// Latest attempt number in use; every later attempt gets a larger one.
        used: Attempt,
        /// Time since the submission.
        age: Span,
    },
    /// A running job was found after a change of the placer.
    Adopt {
        /// The job.
        spec: JobSpec,
        /// The running attempt.
        attempt: Attempt,
        /// Where it runs.
        placement: Placement,
        /// Time since the submission.
        age: Span,
        /// Time since the start.
        ran: Span,
    },
    /// The caller cancelled the job.
    Cancel(JobKey),
    /// Another failure domain has room for the job now. The job is handed over if it still waits
    /// in the queue and may run there.
    Reroute(JobKey),
    /// All tasks of the attempt are running.
    Started(JobKey, Attempt),
    /// The start failed: no task of the attempt is running or will run. `worker` caused the failure
    /// if it is set.
    StartFailed {
        /// The job.
        key: JobKey,
        /// The attempt.
        attempt: Attempt,
        /// The worker that caused the failure.
        worker: Option<WorkerId>,
        /// The cause.
        fault: StartFault,
    },
    /// All tasks of the attempt completed.
    Completed(JobKey, Attempt, Vec<String>),
    /// A task of the attempt failed on `worker`; no other task of it is running.
    Failed {
        /// The job.
        key: JobKey,
        /// The attempt.
        attempt: Attempt,
        /// The worker that the task ran on.
        worker: WorkerId,
        /// Human-readable reason.
        reason: String,
    },
    /// The attempt was stopped on request and its accelerators are free.
    StopCompleted {
        /// The job.
        key: JobKey,
        /// The attempt.
        attempt: Attempt,
        /// Whether a checkpoint was saved.
        saved: bool,
    },
    /// The start was recorded, but the outcome of the attempt cannot be determined.
    OutcomeUnknown(JobKey, Attempt),
    /// Delayed observations of workers.
    Usage(Vec<UsageReport>),
    /// Time has passed; see [`Scheduler::next_tick`](crate::Scheduler::next_tick).
    Tick,
}

/// Output of the scheduler.
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
    /// Checkpoint all tasks if the job supports it, then stop them; answered by `StopCompleted`, or
    /// by `Completed` or `Failed` if that came first.
    Stop {
        /// The job.
        key: JobKey,
        /// The attempt.
        attempt: Attempt,
        /// Time for the checkpoint; zero stops the tasks at once.
        grace: Span,
        /// Why the attempt is stopped.
        reason: StopReason,
    },
    /// Limit the tasks of the attempt to `percent` of their speed.
    Throttle {
        /// The job.
        key: JobKey,
        /// The attempt.
        attempt: Attempt,
        /// From 1 to 100.
        percent: u8,
    },
    /// The job has ended and is removed from the scheduler.
    Finish {
        /// The job.
        key: JobKey,
        /// How it ended.
        ending: Ending,
    },
    /// The job cannot start here any more and is not running; another domain may take it.
    HandOver {
        /// The job.
        key: JobKey,
        /// Latest attempt number in use, or, if the job is not idempotent, the latest attempt that
        /// may have run.
        attempt: Attempt,
    },
    /// The worker gets no work except probes.
    Quarantine(WorkerId),
    /// The worker is no longer quarantined.
    Readmit(WorkerId),
}

/// What other daemons need to know to route a job to this domain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Healthy accelerators.
    pub total: u32,
    /// Healthy accelerators without a task.
    pub free: u32,
    /// Accelerators requested by waiting jobs.
    pub queued: u32,
    /// Number of waiting jobs.
    pub waiting: u32,
    /// The largest number of free accelerators within one rack.
    pub block: u32,
    /// Number of urgent jobs that run or wait, by [`Self::bucket`].
    #[serde(default)]
    pub urgent: [u16; URGENT_BUCKETS],
}

impl Load {
    /// Returns the index in `urgent` for a job's workspace and shape. Few buckets keep the load
    /// small when it is sent; a collision of two pairs only makes the router more careful with
    /// both.
    pub fn bucket(spec: &JobSpec) -> usize {
        let mut hasher = SipHasher13::new();
        (&spec.key.workspace, spec.shape).hash(&mut hasher);
        hasher.finish() as usize % URGENT_BUCKETS
    }

    /// Adds a job that was sent to the domain after the load was announced.
    pub fn add_waiting(&mut self, spec: &JobSpec) {
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

/// Explains the current state of a job.
#[derive(Clone, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[display("{text}")]
pub struct Why {
    /// `waiting`, `starting`, `running` or `stopping`.
    pub phase: String,
    /// Human-readable reason.
    pub text: String,
    /// Where it runs; empty while it waits.
    pub placement: Placement,
    /// Time in this phase.
    pub age: Span,
    /// Time of the latest decision about the job, on the daemon's clock.
    pub decided: Moment,
}
