//! Durable state in the platform's store: open jobs, start intents and the outcomes of jobs.
//!
//! - `jobs/{workspace}/{request}` is a [`JobRecord`] while the job is open. Its creation is the
//!   only point at which repeated submissions are deduplicated. Each change of it is conditional
//!   on the previous one, so that only one owner at a time has authority over the job.
//! - `done/{workspace}/{request}` is a [`DoneRecord`], kept for [`DONE_RETENTION`]. It is written
//!   before the open record is removed, so that at every moment at least one of the two exists.

use bulrushlink_api::Revision;
use bulrushlink_core::{
    Attempt, DaemonId, DomainId, Ending, JobKey, JobSpec, Placement, RequestId, Span, WorkspaceId,
};
use derive_more::Display;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

mod writer;

pub(crate) use writer::{Outcome, RetryPolicy, StoreCalls};

/// Time for which the outcome of a job can be looked up after its end.
pub(crate) const DONE_RETENTION: Span = Span::from_secs(24 * 60 * 60);
/// Maximum number of records per page of a list.
pub(crate) const PAGE_RECORDS: u32 = 200;
/// Prefix of the store keys of open jobs.
pub(crate) const OPEN_PREFIX: &str = "jobs/";

/// Digest of a job's specification; shows whether a repeated submission has the same content.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SpecDigest(String);

impl SpecDigest {
    /// Returns the digest of all fields of `spec`.
    pub fn of(spec: &JobSpec) -> Self {
        let text = serde_json::to_vec(spec).expect("a job specification serializes to JSON");
        let hash = Sha256::digest(text);
        Self(hash.iter().map(|byte| format!("{byte:02x}")).collect())
    }
}

/// The daemon process that wrote a record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Owner {
    /// Id of the daemon.
    pub(crate) daemon: DaemonId,
    /// The daemon's incarnation, which differs with each start of the process.
    pub(crate) incarnation: u64,
}

/// The decision to start a job, recorded durably before any of its tasks may start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Intent {
    /// The attempt that may have started.
    pub(crate) attempt: Attempt,
    /// The workers and accelerators that it was placed on.
    pub(crate) placement: Placement,
}

/// The stored record of an open job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct JobRecord {
    /// The job as submitted.
    pub(crate) spec: JobSpec,
    /// The failure domain that has to run it.
    pub(crate) domain: DomainId,
    /// The process that wrote this record and has authority over the job.
    pub(crate) owner: Owner,
    /// Incremented with each change of the owner.
    pub(crate) epoch: u64,
    /// Differs for each write of the same owner, so that an owner recognises its own write.
    pub(crate) seq: u64,
    /// Attempt of the last commit sent before this write, by this owner or an earlier one; 0 if
    /// none, or if nothing started. May lag: a commit alone causes no write.
    pub(crate) attempt: Attempt,
    /// The start of a job that is not idempotent; `None` for an idempotent one. Written before the
    /// start, and removed only if nothing started or every task was stopped with a saved
    /// checkpoint.
    pub(crate) intent: Option<Intent>,
    /// Wall clock of the submission, in milliseconds.
    pub(crate) submitted: u64,
    /// Whether its caller has cancelled it.
    pub(crate) cancelled: bool,
}

impl JobRecord {
    /// Returns the store key of an open job.
    pub(crate) fn store_key(key: &JobKey) -> String {
        format!("{OPEN_PREFIX}{key}")
    }

    /// Returns the prefix of the store keys of a workspace's open jobs.
    pub(crate) fn prefix(workspace: &WorkspaceId) -> String {
        format!("{OPEN_PREFIX}{workspace}/")
    }

    /// Returns the store key after which the next page of a workspace's open jobs starts; empty for
    /// the first page.
    pub(crate) fn page_start(workspace: &WorkspaceId, request: Option<&RequestId>) -> String {
        request.map(|id| format!("{OPEN_PREFIX}{workspace}/{id}")).unwrap_or_default()
    }

    /// Parses a stored value; returns `None` if it is malformed.
    pub(crate) fn from_json(value: &str) -> Option<Self> {
        serde_json::from_str(value).ok()
    }

    /// Returns the record as the JSON text to store.
    pub(crate) fn to_json(&self) -> String {
        serde_json::to_string(self).expect("a record serializes to JSON")
    }

    /// Returns the time since the submission, by the wall clocks of the daemons involved.
    pub(crate) fn age(&self, wall: u64) -> Span {
        Span(wall.saturating_sub(self.submitted))
    }
}

/// The record of an open job as the store has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct StoredRecord {
    /// Revision of the write that produced it.
    pub(crate) at: Revision,
    /// Content of the record.
    pub(crate) record: JobRecord,
}

/// The stored record of an ended job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct DoneRecord {
    /// Digest of the job that ended.
    pub(crate) digest: SpecDigest,
    /// The outcome of the job.
    pub(crate) ending: Ending,
    /// The process that wrote this record.
    pub(crate) owner: Owner,
    /// Differs for each write of the same owner.
    pub(crate) seq: u64,
}

impl DoneRecord {
    /// Returns the store key of an ended job.
    pub(crate) fn store_key(key: &JobKey) -> String {
        format!("done/{key}")
    }

    /// Parses a stored value; returns `None` if it is malformed.
    pub(crate) fn from_json(value: &str) -> Option<Self> {
        serde_json::from_str(value).ok()
    }

    /// Returns the record as the JSON text to store.
    pub(crate) fn to_json(&self) -> String {
        serde_json::to_string(self).expect("a record serializes to JSON")
    }
}
