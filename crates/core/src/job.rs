//! Jobs as callers submit them: gangs of identical tasks that start together or not at all.

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

use crate::error::{Code, Error};
use crate::ids::{DomainId, JobKey, KindId, WorkerId};
use crate::units::{AcceleratorSet, Span};

/// Maximum number of tasks in a gang.
pub const GANG_MAX_TASKS: u16 = 64;
/// Maximum number of accelerators of one task; a task never spans workers.
pub const TASK_MAX_ACCELERATORS: u8 = 8;
/// Maximum size of a job's input, in bytes.
pub const INPUT_MAX_BYTES: usize = 16 * 1024;

/// How close to each other the tasks of a gang must be placed.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    FromStr,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Adjacency {
    /// Anywhere within one failure domain.
    #[default]
    #[display("domain")]
    Domain,
    /// All tasks within one rack.
    #[display("rack")]
    Rack,
    /// All tasks on one worker, on consecutive accelerator positions.
    #[display("worker")]
    Worker,
}

/// The accelerators that a job needs: the number and size of its tasks, and their adjacency.
///
/// The accelerators of one task always have consecutive positions on one worker. A task without
/// accelerators takes only one of the worker's slots.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{tasks}x{accelerators}/{adjacency}")]
#[serde(deny_unknown_fields)]
pub struct Shape {
    /// Number of tasks, 1 to [`GANG_MAX_TASKS`].
    pub tasks: u16,
    /// Accelerators of each task, at most [`TASK_MAX_ACCELERATORS`].
    pub accelerators: u8,
    /// Required adjacency of the tasks.
    #[serde(default)]
    pub adjacency: Adjacency,
}

impl Shape {
    /// Returns the number of accelerators of the whole gang.
    pub const fn total(self) -> u32 {
        self.tasks as u32 * self.accelerators as u32
    }

    /// Checks that all fields are in range.
    ///
    /// # Errors
    ///
    /// [`Code::FieldInvalid`] with the path of the field that is out of range.
    pub fn check(self) -> Result<(), Error> {
        if self.tasks == 0 || self.tasks > GANG_MAX_TASKS {
            return Err(Error::at(Code::FieldInvalid, "/tasks", "must be 1 to 64"));
        }
        if self.accelerators > TASK_MAX_ACCELERATORS {
            return Err(Error::at(Code::FieldInvalid, "/accelerators", "must be 0 to 8"));
        }
        Ok(())
    }
}

/// How soon a job has to start.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    FromStr,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Urgency {
    /// Starts within 8.3 s if its workspace's guarantee has room for it.
    #[display("urgent")]
    Urgent,
    /// Starts in order of deadline and age.
    #[default]
    #[display("normal")]
    Normal,
    /// May wait for as long as other work can use the accelerators.
    #[display("batch")]
    Batch,
}

/// A job as submitted by a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// Workspace and request id.
    pub key: JobKey,
    /// Kind of the job, by which run times are estimated.
    pub kind: KindId,
    /// Tasks, accelerators and adjacency.
    pub shape: Shape,
    /// How soon the job has to start.
    #[serde(default)]
    pub urgency: Urgency,
    /// Run time that the caller estimates.
    pub declared: Span,
    /// Time from submission within which the job has to complete, if there is one.
    #[serde(default)]
    pub deadline: Option<Span>,
    /// Whether the job may safely run more than once. A job that isn't idempotent runs at most
    /// once.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether the job can be checkpointed, stopped and resumed.
    #[serde(default)]
    pub checkpoint: bool,
    /// Failure domain that the job has to run in; `None` for any.
    #[serde(default)]
    pub domain: Option<DomainId>,
    /// Input for the tasks, opaque to bulrushlink.
    #[serde(default)]
    pub input: String,
}

impl JobSpec {
    /// Checks that all fields are in range.
    ///
    /// # Errors
    ///
    /// [`Code::FieldInvalid`] with the path of the first field that is out of range.
    pub fn check(&self) -> Result<(), Error> {
        self.shape.check().map_err(|error| error.with_prefix("/shape"))?;
        if self.declared == Span::ZERO {
            return Err(Error::at(Code::FieldInvalid, "/declared", "must be at least 1"));
        }
        if self.deadline == Some(Span::ZERO) {
            return Err(Error::at(Code::FieldInvalid, "/deadline", "must be at least 1"));
        }
        if self.input.len() > INPUT_MAX_BYTES {
            return Err(Error::at(Code::FieldInvalid, "/input", "must be at most 16384 bytes"));
        }
        Ok(())
    }
}

/// Placement of one task of a gang.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskPlace {
    /// Index of the task within its gang, from 0.
    pub task: u16,
    /// Worker that runs the task.
    pub worker: WorkerId,
    /// Accelerators that the task uses.
    pub set: AcceleratorSet,
}

/// Placement of a whole gang: one entry per task, sorted by task.
pub type Placement = Vec<TaskPlace>;

/// Refusal of a job, which is certain not to have run and will not run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// A code from 200 to 299.
    pub code: Code,
    /// Human-readable reason.
    pub reason: String,
    /// Time after which to retry; `None` if a retry can't succeed.
    pub retry: Option<Span>,
}

/// Final outcome of a job; every accepted job gets exactly one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// All tasks completed.
    Completed {
        /// Outputs of the tasks, in task order.
        output: Vec<String>,
    },
    /// The job ran and failed, and is not retried.
    Failed {
        /// Human-readable reason.
        reason: String,
    },
    /// The job was cancelled by its caller.
    Cancelled {
        /// Whether any task had started.
        ran: bool,
    },
    /// The job was never started.
    Refused(Refusal),
    /// Whether the job completed can't be determined; it is not started again.
    Unknown {
        /// Human-readable reason.
        reason: String,
    },
}

impl Ending {
    /// Returns the numbered code that callers see.
    pub const fn code(&self) -> Code {
        match self {
            Self::Completed { .. } => Code::Completed,
            Self::Failed { .. } => Code::Failed,
            Self::Cancelled { .. } => Code::Cancelled,
            Self::Refused(refusal) => refusal.code,
            Self::Unknown { .. } => Code::OutcomeUnknown,
        }
    }
}
