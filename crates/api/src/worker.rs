//! Protocol of the platform's workers.
//!
//! `POST /workers/{id}/batch` at the worker's address takes a [`WorkerBatch`]; the worker carries
//! out the operations in order and returns a [`WorkerReply`]. One call carries all pending
//! operations of a daemon, so that a renewal of all leases of a worker costs one message.
//!
//! Lifecycle of a task: `reserve` reserves accelerators under a short lease; `commit` starts the
//! task while the reservation is valid, still under a short lease; `confirm` grants its full lease
//! once the whole gang is known to run; `renew_all` renews that lease. A worker stops a task whose
//! lease expires. An ended task is reported until the worker gets `forget`.

use bulrushlink_core::{AcceleratorSet, Attempt, DaemonId, JobKey, Span};
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// One task of one attempt.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{key}#{attempt}.{task}")]
pub struct TaskId {
    /// The job.
    pub key: JobKey,
    /// The attempt.
    pub attempt: Attempt,
    /// Index of the task within the gang, from 0.
    pub task: u16,
}

/// One operation of a batch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "snake_case")]
pub enum WorkerOp {
    /// Reserves `set` for the task until the lease expires. Repeating it renews the lease.
    Reserve {
        /// The task.
        id: TaskId,
        /// Positions of the reserved accelerators.
        set: AcceleratorSet,
        /// Duration of the reservation's lease.
        lease: Span,
    },
    /// Starts a reserved task under a short lease. Repeating it changes nothing.
    Commit {
        /// The task.
        id: TaskId,
        /// Input of the job.
        input: String,
        /// Kind of the job, for the worker's accounting.
        kind: String,
        /// Number of tasks of the gang.
        gang: u16,
        /// Duration of the lease until `Confirm`.
        lease: Span,
    },
    /// Grants a started task its full lease.
    Confirm {
        /// The task.
        id: TaskId,
        /// The full lease.
        lease: Span,
    },
    /// Renews the leases of all confirmed tasks of the worker.
    RenewAll {
        /// The full lease.
        lease: Span,
    },
    /// Drops a reservation. Has no effect on a task that has started.
    Release {
        /// The task.
        id: TaskId,
    },
    /// Takes a checkpoint, then stops the task; the report says whether the checkpoint was saved.
    Checkpoint {
        /// The task.
        id: TaskId,
    },
    /// Limits the task's speed.
    Throttle {
        /// The task.
        id: TaskId,
        /// Percentage of the full speed, 1 to 100.
        percent: u8,
    },
    /// Stops the task at once without a checkpoint, or drops its reservation.
    Stop {
        /// The task.
        id: TaskId,
    },
    /// Acknowledges the end of a task, so that the worker may forget it.
    Forget {
        /// The task.
        id: TaskId,
    },
}

/// Operations of a daemon for one worker. A batch without operations only requests a report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerBatch {
    /// Daemon that sends the batch.
    pub from: DaemonId,
    /// Operations, carried out in this order.
    pub ops: Vec<WorkerOp>,
    /// Whether to report all tasks, not only those that changed since the last report to this
    /// daemon.
    pub all: bool,
}

/// Result of one operation.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerResult {
    /// Carried out, now or earlier.
    #[display("done")]
    Done,
    /// Other tasks occupy the accelerators or all slots.
    #[display("busy")]
    Busy,
    /// The reservation has expired or never existed.
    #[display("no reservation")]
    Lapsed,
    /// There is no such task.
    #[display("unknown task")]
    Unknown,
}

/// State of a task on its worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// Accelerators are reserved; the task hasn't started.
    Reserved,
    /// Runs under a short lease, not confirmed yet.
    Started,
    /// Runs under its full lease.
    Confirmed,
    /// Ended on its own with an output.
    Completed {
        /// Output of the task.
        output: String,
    },
    /// Ended on its own with a failure.
    Failed {
        /// Human-readable reason.
        reason: String,
    },
    /// Stopped on request or because its lease expired.
    Stopped {
        /// Whether a checkpoint was saved.
        saved: bool,
        /// Whether the task was stopped because its lease expired.
        lapsed: bool,
    },
}

/// State of a task as reported by its worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// The task.
    pub id: TaskId,
    /// Its accelerators.
    pub set: AcceleratorSet,
    /// Number of tasks of its gang; 0 while the task is only reserved.
    pub gang: u16,
    /// Its state.
    pub state: TaskState,
    /// Run time since its start, until its end if it has ended.
    pub ran: Span,
}

/// Reply of a worker to a batch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReply {
    /// One result for each operation, in the same order.
    pub results: Vec<WorkerResult>,
    /// Tasks that changed since the last report to this daemon, or all tasks if the batch asked for
    /// them.
    pub tasks: Vec<TaskReport>,
    /// Whether the worker is about to leave the platform.
    pub leaving: bool,
    /// Accelerators that were busy at the time of the latest published observation.
    pub busy: AcceleratorSet,
    /// Age of that observation.
    pub busy_age: Span,
}
