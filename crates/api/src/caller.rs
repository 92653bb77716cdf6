//! Requests of callers and the answers to them.
//!
//! - `POST /v1/jobs` submits a [`SubmitBody`].
//! - `GET /v1/jobs/{workspace}/{request}` returns the state of a job; `?wait=30s` delays the
//!   answer until the job has ended or 30 s have passed, and `?why=1` adds the reason.
//! - `DELETE /v1/jobs/{workspace}/{request}` cancels a job.
//! - `GET /v1/jobs/{workspace}` lists the open jobs; `?after=` requests the next page.
//! - `GET /ready` tells a load balancer whether the daemon accepts new jobs.

use bulrushlink_core::{
    Code, DomainId, JobKey, JobSpec, KindId, RequestId, Shape, Span, Urgency, Why, WorkspaceId,
};
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Body of a submission: the job, and how long the caller waits for its end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SubmitBody {
    /// Workspace that the job is charged to.
    pub workspace: WorkspaceId,
    /// Request id, unique within the workspace.
    pub request: RequestId,
    /// Kind of job; jobs of one kind are expected to behave alike.
    pub kind: KindId,
    /// Number of tasks, accelerators of each, and required adjacency.
    pub shape: Shape,
    /// Urgency class, which decides how soon the job starts.
    #[serde(default)]
    pub urgency: Urgency,
    /// Run time that the caller declares, in milliseconds.
    pub declared: Span,
    /// Deadline for completion, in milliseconds from the submission.
    #[serde(default)]
    pub deadline: Option<Span>,
    /// Whether the job may safely run more than once.
    #[serde(default)]
    pub idempotent: bool,
    /// Whether the job can be checkpointed, stopped and resumed.
    #[serde(default)]
    pub checkpoint: bool,
    /// Failure domain that the job has to run in; `None` allows any.
    #[serde(default)]
    pub domain: Option<DomainId>,
    /// Input that is passed to every task.
    #[serde(default)]
    pub input: String,
    /// How long the answer may wait for the end of the job, in milliseconds; if absent, the
    /// request is answered as soon as the job is accepted.
    #[serde(default)]
    pub wait: Option<Span>,
}

impl SubmitBody {
    /// Returns the specification of the job, which leaves out `wait`.
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

/// State of a job as callers see it.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// Accepted, not started yet.
    #[display("accepted")]
    Accepted,
    /// Started and not ended.
    #[display("running")]
    Running,
    /// Completed; the answer carries the output.
    #[display("completed")]
    Completed,
    /// Started and failed.
    #[display("failed")]
    Failed,
    /// Cancelled before it completed.
    #[display("cancelled")]
    Cancelled,
    /// This submission has not run and never will; [`JobAnswer::not_run`] says whether that is also
    /// certain for every earlier submission with the same request id.
    #[display("refused")]
    Refused,
    /// Whether the job ran can't be determined.
    #[display("outcome unknown")]
    Unknown,
    /// The request was invalid and had no effect.
    #[display("error")]
    Error,
}

/// Answer to a request about one job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobAnswer {
    /// The job; absent if the request named none or its name was invalid.
    pub key: Option<JobKey>,
    /// Code of the outcome, sent as a number.
    pub code: Code,
    /// State of the job.
    pub state: JobState,
    /// Whether it is certain that the job hasn't run, under this submission or an earlier one.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub not_run: bool,
    /// Outputs of the tasks, in task order; only if `state` is `completed`.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub output: Vec<String>,
    /// Human-readable reason.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub reason: String,
    /// Path of the invalid field; only if `state` is `error`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub field: Option<String>,
    /// Time after which the request may be retried.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry: Option<Span>,
    /// Why the job is in its state; only if the request asked for it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub why: Option<Why>,
}

/// Query for the state of one job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusQuery {
    /// The job.
    pub key: JobKey,
    /// Longest time to wait for the end of the job before answering.
    pub wait: Option<Span>,
    /// Whether the answer is to explain the state.
    pub why: bool,
}

/// Query for the open jobs of a workspace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListQuery {
    /// Workspace whose jobs are listed.
    pub workspace: WorkspaceId,
    /// Last request id of the previous page; `None` for the first page.
    pub after: Option<RequestId>,
}

/// One page of the open jobs of a workspace, sorted by request id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobList {
    /// Jobs of this page.
    pub jobs: Vec<JobAnswer>,
    /// Whether another page follows.
    pub more: bool,
    /// Whether the store was reachable; if not, only this daemon's own jobs are listed.
    pub complete: bool,
}
