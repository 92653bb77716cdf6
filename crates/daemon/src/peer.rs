//! Messages between daemons, encoded with `postcard`.
//!
//! Messages may be lost, delayed, duplicated or reordered. The side that wants something repeats
//! its message until it has the answer, and every handler is idempotent.

use bulrushlink_api::TaskReport;
use bulrushlink_core::{
    Attempt, DaemonId, DomainId, Ending, JobKey, JobSpec, Load, Moment, NoteVersion, Refusal, Span,
    Why, WorkerId,
};
use serde::{Deserialize, Serialize};

use crate::journal::SpecDigest;
use crate::notes::Head;

/// Lifecycle of a daemon, as reported to its peers.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum Phase {
    /// Has no release note yet and serves no requests.
    #[default]
    Joining,
    /// Serves requests.
    Ready,
    /// Stops gracefully and accepts no new jobs.
    Draining,
}

/// A timestamp of the receiver's own clock, returned to it by a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// Incarnation of the receiver that took the timestamp.
    pub incarnation: u64,
    /// The timestamp, from the heartbeat that the sender received last.
    pub stamp: Moment,
}

/// Sent to each daemon of the sender's failure domain, and to a few others in rotation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Identifies the sender's process; higher after each restart.
    pub incarnation: u64,
    /// The sender's clock.
    pub stamp: Moment,
    /// The latest timestamp received from the receiver.
    pub echo: Option<Echo>,
    /// Whether the receiver should answer at once.
    pub ask: bool,
    /// Version of the release note in force on the sender.
    pub version: NoteVersion,
    /// Lifecycle of the sender.
    pub phase: Phase,
    /// Whether the sender is the placer of its failure domain.
    pub placing: bool,
    /// The placer of the sender's failure domain, as far as the sender knows.
    pub placer: Option<DaemonId>,
    /// Load of the sender's failure domain, as far as the sender knows.
    pub load: Load,
    /// Time since the sender's latest contact. At that moment there was certainly no version above
    /// `version`. `None` while the sender hasn't confirmed its version since its start.
    pub contact: Option<Span>,
}

/// State of a job, as reported by a placer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobStatus {
    /// Waits to be placed.
    Waiting {
        /// Whether the job is recorded in the store.
        durable: bool,
    },
    /// Runs.
    Running {
        /// Whether the job is recorded in the store.
        durable: bool,
    },
    /// Has ended.
    Ended(Ending),
    /// The request id was used before with a different body.
    Conflict,
    /// The job is in another failure domain.
    Elsewhere(DomainId),
    /// The placer doesn't know the job.
    NotHere,
    /// The daemon has no authority over the job: it is not the placer of this failure domain, or is
    /// still recovering. The current placer has to be asked, or asked again.
    NotPlacing,
    /// Refused for now and not run; the store has no record of an earlier submission either.
    Refused(Refusal),
    /// This submission is refused and won't run, but the store couldn't be asked whether an
    /// earlier one with the same request id was accepted.
    Unsure(Refusal),
    /// Waits; the write of its record was sent to the store, which hasn't replied in time.
    Undecided,
}

/// A message between daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Reports liveness, versions and load.
    Heartbeat(Heartbeat),
    /// Asks for the desired state if it is newer than `have`.
    NoteWanted {
        /// Version that the sender has.
        have: NoteVersion,
    },
    /// The sender's desired state, as stored in the store.
    Note(Head),
    /// Submits a job to the placer of a failure domain; repeated until answered by `Update`.
    Submit {
        /// The failure domain that should run the job.
        domain: DomainId,
        /// The job.
        spec: JobSpec,
        /// Whether its caller still waits on an open connection.
        held: bool,
        /// Last attempt that may have been started; 0 if none or unknown.
        attempt: Attempt,
        /// Time since the submission.
        age: Span,
        /// Identifies this submission in the answers to it; the same in each repeat.
        seq: u64,
    },
    /// Asks for the state of a job, now and on every change; answered by `Update`.
    Follow {
        /// The failure domain asked.
        domain: DomainId,
        /// The job.
        key: JobKey,
        /// Whether the reason for the state is requested too.
        why: bool,
    },
    /// Cancels a job; answered by `Update`.
    Cancel {
        /// The failure domain asked.
        domain: DomainId,
        /// The job.
        key: JobKey,
    },
    /// The state of a job.
    Update {
        /// The failure domain that answers.
        domain: DomainId,
        /// The job.
        key: JobKey,
        /// Its state.
        status: JobStatus,
        /// The reason, if it was requested.
        why: Option<Why>,
        /// Digest of the job's specification; `None` if the status describes no known job.
        digest: Option<SpecDigest>,
        /// `seq` of the submission that this answers. The submitter ignores a refusal without it.
        seq: Option<u64>,
    },
    /// Forwards task reports of a worker from the keeper of its leases to the placer; answered by
    /// `ReportsTaken`.
    Reports {
        /// The worker that runs the tasks.
        worker: WorkerId,
        /// Whether these are all of its tasks.
        all: bool,
        /// The reports.
        tasks: Vec<TaskReport>,
        /// Identifies this message in its acknowledgement.
        seq: u64,
    },
    /// Acknowledges `Reports`.
    ReportsTaken {
        /// `seq` of the acknowledged message.
        seq: u64,
    },
    /// Tells the placer that the keeper of a worker's leases had a reply from the worker.
    WorkerSeen {
        /// The worker.
        worker: WorkerId,
        /// Whether the worker is about to leave.
        leaving: bool,
        /// Number of busy accelerators, as of some time ago.
        busy: u8,
    },
}
