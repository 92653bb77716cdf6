//! What has to outlive every daemon: jobs, start intents and outcomes in the platform's store.
//!
//! - `jobs/{workspace}/{request}` is a [`JobRecord`] while the job is open. Its creation is the
//!   one point at which repeats are told apart, and each change of it is conditional on the last
//!   one, so that just one owner at a time has authority over the job.
//! - `done/{workspace}/{request}` is a [`DoneRecord`] for [`DONE_RETENTION`]. It is written before
//!   the open record is removed, so that at every moment at least one of them exists.

use bulrushlink_api::Revision;
use bulrushlink_core::{
    Attempt, DaemonId, DomainId, Ending, JobKey, JobSpec, Placement, RequestId, Span, WorkspaceId,
};
use derive_more::Display;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

mod writer;

pub(crate) use writer::{Journal, Outcome, Patience};

/// Time for which the end of a job can be asked for.
pub(crate) const DONE_RETENTION: Span = Span::from_secs(24 * 60 * 60);
/// Records of one page.
pub(crate) const PAGE_RECORDS: u32 = 200;
/// Beginning of the keys of open jobs.
pub(crate) const OPEN_PREFIX: &str = "jobs/";

/// Tells bodies of submissions apart.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SpecDigest(String);

impl SpecDigest {
    /// Returns the digest of a job's whole specification.
    pub fn of(spec: &JobSpec) -> Self {
        let text = serde_json::to_vec(spec).expect("a specification always serialises");
        let hash = Sha256::digest(text);
        Self(hash.iter().map(|byte| format!("{byte:02x}")).collect())
    }
}

/// One process that writes records.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Owner {
    /// The daemon.
    pub(crate) daemon: DaemonId,
    /// Its incarnation.
    pub(crate) incarnation: u64,
}

/// The durable decision to start a job; written before anything may start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Intent {
    /// The attempt that may have started.
    pub(crate) attempt: Attempt,
    /// Where.
    pub(crate) placement: Placement,
}

/// An open job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct JobRecord {
    /// The job.
    pub(crate) spec: JobSpec,
    /// The failure domain that has to run it.
    pub(crate) domain: DomainId,
    /// Who wrote this.
    pub(crate) owner: Owner,
    /// Grows with each change of the owner.
    pub(crate) epoch: u64,
    /// Differs for each write of the same owner, so that an owner knows its own write again.
    pub(crate) seq: u64,
    /// Last attempt known to have started.
    pub(crate) attempt: Attempt,
    /// Present from before the first start of a job that isn't idempotent, unless it is certain
    /// that nothing started.
    pub(crate) intent: Option<Intent>,
    /// Wall clock of the submission, in milliseconds.
    pub(crate) submitted: u64,
    /// Whether its caller wants it no more.
    pub(crate) cancelled: bool,
}

impl JobRecord {
    /// Returns the store's key of an open job.
    pub(crate) fn path(key: &JobKey) -> String {
        format!("{OPEN_PREFIX}{key}")
    }

    /// Returns the beginning of the keys of a workspace's open jobs.
    pub(crate) fn prefix(workspace: &WorkspaceId) -> String {
        format!("{OPEN_PREFIX}{workspace}/")
    }

    /// Returns the key after which a page of a workspace goes on.
    pub(crate) fn after(workspace: &WorkspaceId, request: Option<&RequestId>) -> String {
        request.map(|id| format!("{OPEN_PREFIX}{workspace}/{id}")).unwrap_or_default()
    }

    /// Reads a record; `None` when it isn't one.
    pub(crate) fn read(value: &str) -> Option<Self> {
        serde_json::from_str(value).ok()
    }

    /// Returns the value to store.
    pub(crate) fn text(&self) -> String {
        serde_json::to_string(self).expect("a record always serialises")
    }

    /// Returns the time since the submission, by wall clocks.
    pub(crate) fn age(&self, wall: u64) -> Span {
        Span(wall.saturating_sub(self.submitted))
    }
}

/// A settled change of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Kept {
    /// The change that set it.
    pub(crate) at: Revision,
    /// The record.
    pub(crate) record: JobRecord,
}

/// The end of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct DoneRecord {
    /// Digest of the job that ended.
    pub(crate) digest: SpecDigest,
    /// How it ended.
    pub(crate) ending: Ending,
    /// Who wrote this.
    pub(crate) owner: Owner,
    /// Differs for each write of the same owner.
    pub(crate) seq: u64,
}

impl DoneRecord {
    /// Returns the store's key of an ended job.
    pub(crate) fn path(key: &JobKey) -> String {
        format!("done/{key}")
    }

    /// Reads a record; `None` when it isn't one.
    pub(crate) fn read(value: &str) -> Option<Self> {
        serde_json::from_str(value).ok()
    }

    /// Returns the value to store.
    pub(crate) fn text(&self) -> String {
        serde_json::to_string(self).expect("a record always serialises")
    }
}
