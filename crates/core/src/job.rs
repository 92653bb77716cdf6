//! A job is what a caller asks for: a gang of equal tasks that start together or not at all.

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};

use crate::error::{Code, Error};
use crate::ids::{DomainId, JobKey, KindId, WorkerId};
use crate::units::{AcceleratorSet, Span};

/// The largest gang, in tasks.
pub const GANG_MAX_TASKS: u16 = 64;
/// The most accelerators of one task; one task never spans workers.
pub const TASK_MAX_ACCELERATORS: u8 = 8;
/// The longest input of a job, in bytes.
pub const INPUT_MAX_BYTES: usize = 16 * 1024;

/// How close the tasks of a gang have to be to each other.
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
    /// All tasks on one worker, on neighbouring accelerators.
    #[display("worker")]
    Worker,
}

/// The accelerators that a job needs, as equal tasks and their adjacency.
///
/// The accelerators of one task are always neighbours on one worker. A task without accelerators
/// takes just one of the worker's slots.
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
    /// Adjacency of the tasks.
    #[serde(default)]
    pub adjacency: Adjacency,
}

impl Shape {
    /// Returns the accelerators of the whole gang.
    pub const fn total(self) -> u32 {
        self.tasks as u32 * self.accelerators as u32
    }

    /// Checks the shape's ranges.
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
    /// Starts within 8.3 s when its workspace's guarantee has room for it.
    #[display("urgent")]
    Urgent,
    /// Starts in order of deadline and age.
    #[default]
    #[display("normal")]
    Normal,
    /// Can wait for as long as other work has a use for the accelerators.
    #[display("batch")]
    Batch,
}

/// What a caller asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// Workspace and request identifier.
    pub key: JobKey,
    /// Class of similar jobs.
    pub kind: KindId,
    /// Accelerators and adjacency.
    pub shape: Shape,
    /// How soon it has to start.
    #[serde(default)]
    pub urgency: Urgency,
    /// Run time that the caller expects.
    pub declared: Span,
    /// Time from submission within which the job has to complete, if there is one.
    #[serde(default)]
    pub deadline: Option<Span>,
    /// Whether a second run does no harm. A job that isn't idempotent runs at most once.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether the job can be checkpointed, stopped and resumed.
    #[serde(default)]
    pub checkpoint: bool,
    /// Failure domain that the job has to run in, if it matters.
    #[serde(default)]
    pub domain: Option<DomainId>,
    /// Input for the tasks, opaque to bulrushlink.
    #[serde(default)]
    pub input: String,
}

impl JobSpec {
    /// Checks the ranges of all fields.
    ///
    /// # Errors
    ///
    /// [`Code::FieldInvalid`] with the path of the first field that is out of range.
    pub fn check(&self) -> Result<(), Error> {
        self.shape.check().map_err(|error| error.under("/shape"))?;
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

/// The part of a gang that runs on one worker as one task.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TaskPlace {
    /// Ordinal of the task within its gang, from 0.
    pub task: u16,
    /// Worker that runs the task.
    pub worker: WorkerId,
    /// Accelerators of the task.
    pub set: AcceleratorSet,
}

/// Where a whole gang runs, one entry a task, sorted by task.
pub type Placement = Vec<TaskPlace>;

/// Why a job got no start. It certainly has not run and will not run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// A code from 200 to 299.
    pub code: Code,
    /// Reason for people.
    pub reason: String,
    /// Time after which a new try makes sense; `None` where it never does.
    pub retry: Option<Span>,
}

/// How a job ended. Every accepted job gets exactly one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ending {
    /// All tasks completed; `output` joins their outputs in task order.
    Completed {
        /// Outputs of the tasks.
        output: Vec<String>,
    },
    /// The job ran and failed for good.
    Failed {
        /// Reason for people.
        reason: String,
    },
    /// Cancelled by its caller; `ran` tells whether any task had started.
    Cancelled {
        /// Whether any task had started.
        ran: bool,
    },
    /// Never started.
    Refused(Refusal),
    /// Nothing can settle whether it ran to its end; it is not started again.
    Unknown {
        /// Reason for people.
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
