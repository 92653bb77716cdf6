//! What callers say and hear.
//!
//! - `POST /v1/jobs` submits a [`SubmitBody`].
//! - `GET /v1/jobs/{workspace}/{request}` asks for the state, with `?wait=30s` until the end or
//!   the time is over, and `?why=1` with the reason.
//! - `DELETE /v1/jobs/{workspace}/{request}` cancels.
//! - `GET /v1/jobs/{workspace}` lists open jobs, `?after=` goes on.
//! - `GET /ready` tells the balancer whether the daemon takes new work.

use bulrushlink_core::{
    Code, DomainId, JobKey, JobSpec, KindId, RequestId, Shape, Span, Urgency, Why, WorkspaceId,
};
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// A job as its caller writes it, and whether the caller waits for the end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SubmitBody {
    /// Workspace that pays for the job.
    pub workspace: WorkspaceId,
    /// Request identifier, unique within the workspace.
    pub request: RequestId,
    /// Class of similar jobs.
    pub kind: KindId,
    /// Accelerators and adjacency.
    pub shape: Shape,
    /// How soon it has to start.
    #[serde(default)]
    pub urgency: Urgency,
    /// Run time that the caller expects, in milliseconds.
    pub declared: Span,
    /// Time from now within which the job has to complete, in milliseconds.
    #[serde(default)]
    pub deadline: Option<Span>,
    /// Whether a second run does no harm.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether the job can be checkpointed, stopped and resumed.
    #[serde(default)]
    pub checkpoint: bool,
    /// Failure domain that the job has to run in, if it matters.
    #[serde(default)]
    pub domain: Option<DomainId>,
    /// Input for the tasks.
    #[serde(default)]
    pub input: String,
    /// How long the caller waits for the end, in milliseconds; absent for just the acceptance.
    #[serde(default)]
    pub wait: Option<Span>,
}

impl SubmitBody {
    /// Returns the job without the caller's wait.
    pub fn spec(&self) -> JobSpec {
        JobSpec {
            key: JobKey { workspace: self.workspace.clone(), request: self.request.clone() },
            kind: self.kind.clone(),
            shape: self.shape,
            urgency: self.urgency,
            declared: self.declared,
            deadline: self.deadline,
            idempotent: self.idempotent,
            checkpoint: self.checkpoint,
            domain: self.domain.clone(),
            input: self.input.clone(),
        }
    }
}

/// Where a job is, in one word.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// Waits for its start.
    #[display("accepted")]
    Accepted,
    /// Runs.
    #[display("running")]
    Running,
    /// Completed; the result is attached.
    #[display("completed")]
    Completed,
    /// Ran and failed.
    #[display("failed")]
    Failed,
    /// Cancelled.
    #[display("cancelled")]
    Cancelled,
    /// This submission is not run, and never will be; `not_run` tells whether that is certain of
    /// every earlier one with the same request identifier too.
    #[display("refused")]
    Refused,
    /// Nothing can settle what happened.
    #[display("outcome unknown")]
    Unknown,
    /// The request itself was wrong; nothing was changed.
    #[display("error")]
    Error,
}

/// The answer to every request about one job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobAnswer {
    /// The job; absent when the request didn't name one that could be read.
    pub key: Option<JobKey>,
    /// The numbered code.
    pub code: Code,
    /// The state.
    pub state: JobState,
    /// Whether the job certainly hasn't run, under this submission or an earlier one.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub not_run: bool,
    /// Outputs of the tasks, in order; with `completed`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub output: Vec<String>,
    /// The reason, for people.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub reason: String,
    /// Path of the offending field; with `error`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub field: Option<String>,
    /// Time after which a new try makes sense.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry: Option<Span>,
    /// The reason that the job is where it is, if asked for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub why: Option<Why>,
}

/// A question about one job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusQuery {
    /// The job.
    pub key: JobKey,
    /// How long to wait for the end.
    pub wait: Option<Span>,
    /// Whether the reason is wanted.
    pub why: bool,
}

/// A question about the open jobs of a workspace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListQuery {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The request after which to go on.
    pub after: Option<RequestId>,
}

/// Open jobs of a workspace, in order of their request identifiers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobList {
    /// The jobs.
    pub jobs: Vec<JobAnswer>,
    /// Whether more follow after the last one.
    pub more: bool,
    /// Whether the store could be asked; if not, just this daemon's own jobs are listed.
    pub complete: bool,
}
