//! What the store keeps of a job.
//!
//! A job is two records. The daemon that accepts the job creates both at once; from then on
//! [`JobRecord`] never changes, and just the placer writes [`StateRecord`].

use bulrushlink_core::{Code, Error, WorkspaceId};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::catalog::Queue;
use crate::ids::{Boot, JobId, Rev, Run};
use crate::model::JobSpec;

/// First byte of each record, so that a later layout can be told apart.
const LAYOUT: u8 = 1;

/// The accepted job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct JobRecord {
    /// What the caller asked for.
    pub(crate) spec: JobSpec,
    /// The queue as it was; the job is kept though the operators may remove the queue.
    pub(crate) queue: Queue,
    /// Workspace whose key came with the job.
    pub(crate) workspace: Option<WorkspaceId>,
    /// When the job was accepted, in milliseconds since 1970.
    pub(crate) accepted: u64,
}

/// How a job has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Outcome {
    /// All tasks are done.
    Completed,
    /// A task, or a gang, has failed as often as it may.
    Failed,
    /// The caller cancelled it.
    Cancelled,
}

/// Where a run of a task is, from just before its start is sent to its end.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TaskRecord {
    /// The latest run; 0 before the first one.
    pub(crate) run: Run,
    /// A run has ended well; no other run may start.
    pub(crate) done: bool,
    /// Runs that ended with a failure.
    pub(crate) failures: u32,
    /// The latest run that ended with a failure; not used for the members of gangs.
    pub(crate) failed_run: Run,
    /// The latest saved progress; empty without any.
    pub(crate) saved: String,
    /// The worker of the latest run while that run isn't known to have ended.
    pub(crate) place: Option<Boot>,
}

/// The tasks of a step.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StepRecord {
    /// Runs of the gang that ended with a failure.
    pub(crate) failures: u32,
    /// The latest run of the gang that ended with a failure.
    pub(crate) failed_run: Run,
    /// One for each task, in order.
    pub(crate) tasks: Vec<TaskRecord>,
}

impl StepRecord {
    /// Tells whether all tasks are done.
    pub(crate) fn is_done(&self) -> bool {
        self.tasks.iter().all(|t| t.done)
    }
}

/// A round that has begun and is not done.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RoundRecord {
    /// Number of the round.
    pub(crate) round: u32,
    /// One for each step, in order.
    pub(crate) steps: Vec<StepRecord>,
}

/// The progress of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StateRecord {
    /// Workspace, repeated here so that a look at the state can check the caller's key.
    pub(crate) workspace: Option<WorkspaceId>,
    /// How the job has ended, if it has.
    pub(crate) outcome: Option<Outcome>,
    /// When it ended, in milliseconds since 1970.
    pub(crate) ended: u64,
    /// A task has been started.
    pub(crate) begun: bool,
    /// Rounds that have begun and aren't done, sorted by number.
    pub(crate) rounds: Vec<RoundRecord>,
    /// Numbers of the rounds that are done, sorted.
    pub(crate) finished: Vec<u32>,
}

impl RoundRecord {
    /// Makes the record of a round in which nothing has run.
    pub(crate) fn new(round: u32, spec: &JobSpec) -> Self {
        let step = |tasks: u32| StepRecord {
            failures: 0,
            failed_run: Run::default(),
            tasks: vec![TaskRecord::default(); tasks as usize],
        };
        Self { round, steps: spec.steps.iter().map(|s| step(s.tasks)).collect() }
    }
}

/// Encodes a record.
///
/// # Errors
///
/// [`Code::FieldInvalid`] if the record can't be encoded, which no record of this module causes.
pub(crate) fn encode<T: Serialize>(record: &T) -> Result<Vec<u8>, Error> {
    let start = vec![LAYOUT];
    postcard::to_extend(record, start).map_err(|e| Error::new(Code::FieldInvalid, e.to_string()))
}

/// Decodes a record.
///
/// # Errors
///
/// [`Code::FieldInvalid`] if the bytes are not such a record.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    let bad = |text: String| Error::new(Code::FieldInvalid, text);
    match bytes.split_first() {
        Some((&LAYOUT, rest)) => postcard::from_bytes(rest).map_err(|e| bad(e.to_string())),
        Some((other, _)) => Err(bad(format!("unknown layout {other} of a record"))),
        None => Err(bad("empty record".to_string())),
    }
}

/// The keys under which records are kept.
pub(crate) mod keys {
    use super::JobId;

    /// The placer's leased key.
    pub(crate) const LEADER: &str = "bulrushlink/leader";
    /// Written by a strong host to ask a weak one to hand placing over.
    pub(crate) const HANDOVER: &str = "bulrushlink/handover";
    /// Prefix of all that callers send in: jobs and cancellations.
    pub(crate) const INBOX: &str = "bulrushlink/in/";
    /// Prefix of the accepted jobs.
    pub(crate) const JOBS: &str = "bulrushlink/in/job/";
    /// Prefix of the cancellations.
    pub(crate) const CANCELS: &str = "bulrushlink/in/cancel/";
    /// Prefix of the states.
    pub(crate) const STATES: &str = "bulrushlink/state/";
    /// Prefix of the markers of jobs that haven't begun.
    pub(crate) const PENDING: &str = "bulrushlink/pending/";

    /// Returns the key of an accepted job.
    pub(crate) fn job(id: JobId) -> String {
        format!("{JOBS}{id}")
    }

    /// Returns the key of a cancellation.
    pub(crate) fn cancel(id: JobId) -> String {
        format!("{CANCELS}{id}")
    }

    /// Returns the key of a job's state.
    pub(crate) fn state(id: JobId) -> String {
        format!("{STATES}{id}")
    }

    /// Returns the prefix of the markers of a queue.
    pub(crate) fn pending(queue: &str) -> String {
        format!("{PENDING}{queue}/")
    }

    /// Returns the key of the marker of a job that hasn't begun.
    pub(crate) fn marker(queue: &str, id: JobId) -> String {
        format!("{PENDING}{queue}/{id}")
    }
}

/// An item of the store under a key of this program.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The bytes.
    pub value: Vec<u8>,
    /// Revision of its latest change.
    pub rev: Rev,
}
