//! What daemons say to each other, in `postcard` form.
//!
//! Messages may be lost, late, repeated or out of order. Every exchange is repeated by the side
//! that wants something until it has its answer, and every handler takes a repeat for the same.

use bulrushlink_api::TaskReport;
use bulrushlink_core::{
    Attempt, DaemonId, DomainId, Ending, JobKey, JobSpec, Load, Moment, NoteVersion, Refusal, Span,
    Why, WorkerId,
};
use serde::{Deserialize, Serialize};

use crate::journal::SpecDigest;
use crate::notes::Head;

/// Life cycle of a daemon, as it tells others.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum Phase {
    /// Has no release note yet and serves nothing.
    #[default]
    Joining,
    /// Serves.
    Ready,
    /// Stops gracefully and takes nothing new.
    Draining,
}

/// A stamp of the receiver's own clock that comes back to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// Incarnation of the receiver that stamped it.
    pub incarnation: u64,
    /// The stamp.
    pub stamp: Moment,
}

/// Sent to each daemon of the own failure domain and to a few others in turn.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Differs for every start of the daemon and grows.
    pub incarnation: u64,
    /// The sender's clock.
    pub stamp: Moment,
    /// The latest stamp heard from the receiver.
    pub echo: Option<Echo>,
    /// Whether the receiver is to answer at once.
    pub ask: bool,
    /// Version in force on the sender.
    pub version: NoteVersion,
    /// Life cycle of the sender.
    pub phase: Phase,
    /// Whether the sender places work in its failure domain.
    pub placing: bool,
    /// Who places work in the sender's failure domain, as the sender knows it.
    pub placer: Option<DaemonId>,
    /// Load of the sender's failure domain, as the sender knows it.
    pub load: Load,
    /// Age of the sender's latest contact: then, surely, there was no version above `version`.
    /// `None` while the sender hasn't made sure of its version since its start.
    pub contact: Option<Span>,
}

/// Where a job is, as its placer tells.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobStatus {
    /// Waits; `durable` tells whether it is in the store.
    Waiting {
        /// Whether it is in the store.
        durable: bool,
    },
    /// Runs.
    Running {
        /// Whether it is in the store.
        durable: bool,
    },
    /// Has ended.
    Ended(Ending),
    /// The request identifier was used before with another body.
    Conflict,
    /// Another failure domain has the job.
    Elsewhere(DomainId),
    /// The placer doesn't know the job.
    NotHere,
    /// The daemon doesn't place in this domain; ask the one that does.
    NotPlacing,
    /// Refused for now, not run; the store has no trace of an earlier submission either.
    Refused(Refusal),
    /// This submission is refused and won't run, but the store couldn't be asked whether an
    /// earlier one with the same identifier was taken.
    Unsure(Refusal),
    /// Waits; the store was asked to keep it and hasn't answered in time.
    Undecided,
}

/// A message between daemons.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Liveness, versions and load.
    Heartbeat(Heartbeat),
    /// Asks for the desired state if it is newer than `have`.
    NoteWanted {
        /// Version that the sender has.
        have: NoteVersion,
    },
    /// The desired state of the sender, as the store holds it.
    Note(Head),
    /// Hands a job to the placer of a failure domain; answered by `Update`. Repeated until then.
    Submit {
        /// The failure domain that has to run it.
        domain: DomainId,
        /// The job.
        spec: JobSpec,
        /// Whether its caller keeps waiting on a connection.
        held: bool,
        /// Last attempt that was started.
        attempt: Attempt,
        /// Time since the submission.
        age: Span,
        /// Names this submission in a refusal; the same in each repeat.
        seq: u64,
    },
    /// Asks for the state of a job, now and on every change; answered by `Update`.
    Follow {
        /// The failure domain asked.
        domain: DomainId,
        /// The job.
        key: JobKey,
        /// Whether the reason is wanted.
        why: bool,
    },
    /// Asks for the end of a job; answered by `Update`.
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
        /// The reason, if it was asked for.
        why: Option<Why>,
        /// Digest of the job that the state is of; `None` when the state is of no job.
        digest: Option<SpecDigest>,
        /// The submission that is refused.
        seq: Option<u64>,
    },
    /// Reports of tasks from a keeper of leases to the placer; answered by `ReportsTaken`.
    Reports {
        /// The worker that the reports are of.
        worker: WorkerId,
        /// Whether these are all of its tasks.
        all: bool,
        /// The reports.
        tasks: Vec<TaskReport>,
        /// Names this message for its answer.
        seq: u64,
    },
    /// The placer has what `Reports` said.
    ReportsTaken {
        /// The message.
        seq: u64,
    },
    /// A keeper of leases heard from a worker; tells the placer that the worker lives.
    WorkerSeen {
        /// The worker.
        worker: WorkerId,
        /// Whether the worker is about to leave.
        leaving: bool,
        /// Accelerators that were busy some time ago.
        busy: u8,
    },
}
