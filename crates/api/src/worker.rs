//! The workers of the platform.
//!
//! A worker is reached by `POST /workers/{id}/batch` at its address, with a [`WorkerBatch`]; it
//! carries the operations out in order and answers a [`WorkerReply`]. One call carries all that a
//! daemon has to say, so that a renewal of all leases of a worker costs one message.
//!
//! A task's life: `reserve` holds accelerators for a short lease; `commit` starts the task while
//! the reservation holds, still on a short lease; `confirm` gives it its full lease once the
//! whole gang is known to run; `renew` starts that lease anew. A task whose lease lapses is stopped
//! by its worker. An ended task is reported until `forget` has come.

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
    /// Ordinal of the task within the gang, from 0.
    pub task: u16,
}

/// One operation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "snake_case")]
pub enum WorkerOp {
    /// Holds `set` for the task until the lease lapses. Repeating it starts the lease anew.
    Reserve {
        /// The task.
        id: TaskId,
        /// Positions of the accelerators.
        set: AcceleratorSet,
        /// Lease of the reservation.
        lease: Span,
    },
    /// Starts a reserved task on a lease. Repeating it changes nothing.
    Commit {
        /// The task.
        id: TaskId,
        /// Input of the job.
        input: String,
        /// Kind of the job, for the worker's accounting.
        kind: String,
        /// Number of tasks of the gang.
        gang: u16,
        /// Lease until the confirmation.
        lease: Span,
    },
    /// Gives a started task its full lease.
    Confirm {
        /// The task.
        id: TaskId,
        /// The full lease.
        lease: Span,
    },
    /// Starts the lease of every confirmed task of the worker anew.
    RenewAll {
        /// The full lease.
        lease: Span,
    },
    /// Drops a reservation. Has no effect on a task that has started.
    Release {
        /// The task.
        id: TaskId,
    },
    /// Takes a checkpoint and then stops the task; the report says whether it was saved.
    Checkpoint {
        /// The task.
        id: TaskId,
    },
    /// Limits the task's speed.
    Throttle {
        /// The task.
        id: TaskId,
        /// 1 to 100.
        percent: u8,
    },
    /// Stops the task at once, or drops its reservation.
    Stop {
        /// The task.
        id: TaskId,
    },
    /// Allows the worker to forget an ended task.
    Forget {
        /// The task.
        id: TaskId,
    },
}

/// All that a daemon has to say to a worker at a time. An empty batch asks for the report alone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerBatch {
    /// The daemon that speaks.
    pub from: DaemonId,
    /// Operations, carried out in order.
    pub ops: Vec<WorkerOp>,
    /// Whether all tasks are to be reported, not just those that changed since the last report to
    /// this daemon.
    pub all: bool,
}

/// What came of one operation.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerResult {
    /// Done, or done before.
    #[display("done")]
    Done,
    /// The accelerators or all slots are taken by other tasks.
    #[display("busy")]
    Busy,
    /// The reservation has lapsed or never was.
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
    /// Accelerators are held, nothing runs.
    Reserved,
    /// Runs on a short lease.
    Started,
    /// Runs on its full lease.
    Confirmed,
    /// Ended by itself with a result.
    Completed {
        /// The task's output.
        output: String,
    },
    /// Ended by itself with a failure.
    Failed {
        /// Reason for people.
        reason: String,
    },
    /// Stopped on request or because its lease lapsed.
    Stopped {
        /// Whether a checkpoint was saved.
        saved: bool,
        /// Whether it was the lease.
        lapsed: bool,
    },
}

/// A task as its worker sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// The task.
    pub id: TaskId,
    /// Its accelerators.
    pub set: AcceleratorSet,
    /// Number of tasks of its gang; 0 while it is only reserved.
    pub gang: u16,
    /// Its state.
    pub state: TaskState,
    /// Time since it started.
    pub ran: Span,
}

/// A worker's answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReply {
    /// One result an operation, in the same order.
    pub results: Vec<WorkerResult>,
    /// Tasks that changed since the last report to this daemon, or all tasks if asked for.
    pub tasks: Vec<TaskReport>,
    /// Whether the worker is about to leave.
    pub leaving: bool,
    /// Accelerators that were busy some time ago.
    pub busy: AcceleratorSet,
    /// Age of that observation.
    pub busy_age: Span,
}
