//! A job as seen by its placer: the state of its records in the store and of its tasks on the
//! workers.

use bulrushlink_api::TaskId;
use bulrushlink_core::{
    Attempt, DaemonId, DomainId, Ending, JobKey, JobSpec, Moment, Span, WorkerId,
};
use serde::Serialize;

use crate::journal::{JobRecord, SpecDigest, StoredRecord};
use crate::peer::JobStatus;
use crate::placer::gang::{Gang, Phase};

/// How long a follower receives updates without asking again.
const FOLLOW_TTL: Span = Span::from_secs(15);
/// How long the store may delay the start of an idempotent job whose caller waits, and the
/// publication of an end that no other owner can contradict.
pub(super) const STORE_WAIT: Span = Span(500);

/// State of the job's record in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub(super) enum RecordState {
    /// No record that this owner knows of.
    Memory,
    /// Reading whether an earlier submission left a record, so that the refusal states correctly
    /// whether the job can have run.
    Probing,
    /// The record is being created.
    Creating,
    /// The record of another owner is being taken over.
    Taking,
    /// The record belongs to this owner; reading whether the job has already ended.
    Checking,
    /// The record belongs to this owner and the job is open.
    Owned,
}

/// How far a job has come on its way to the workers.
#[derive(Clone, Debug, Serialize)]
pub(super) enum Stage {
    /// The scheduler does not have it.
    Out,
    /// Cannot start in this domain; from the given moment on it is routed to another one.
    Leaving(Moment),
    /// Waits in the scheduler.
    Waiting,
    /// Assigned to workers.
    Placed(Box<Gang>),
}

/// Progress of writing a job's end to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub(super) enum EndStep {
    /// Not written yet.
    Open,
    /// Being written.
    Writing,
    /// Durable; the open record is being removed.
    Removing,
    /// Nothing is left to do.
    Settled,
}

/// The end of a job.
#[derive(Clone, Debug, Serialize)]
pub(super) struct End {
    /// How it ended.
    pub(super) ending: Ending,
    /// Progress of writing it.
    pub(super) step: EndStep,
    /// When the job ended.
    pub(super) since: Moment,
    /// Whether the store could not be asked about earlier submissions.
    pub(super) unsure: bool,
    /// Whether the end does not bind later submissions of the same request and is
    /// therefore not stored.
    #[serde(rename = "loose")]
    pub(super) nonbinding: bool,
    /// Whether the record was written once more to prove that this owner may decide the end.
    #[serde(rename = "claimed")]
    pub(super) reconfirmed: bool,
}

impl End {
    pub(super) const fn new(ending: Ending, now: Moment) -> Self {
        let step = EndStep::Open;
        Self { ending, step, since: now, unsure: false, nonbinding: false, reconfirmed: false }
    }
}

/// Summary of what followers are told, compared to detect changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PublicState {
    /// Whether the job is durable.
    Waiting(bool),
    Undecided,
    /// Whether the job is durable.
    Running(bool),
    Ended,
}

/// A daemon that receives updates on a job.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Follower {
    /// The daemon.
    pub(super) daemon: DaemonId,
    /// Updates are sent until this moment.
    pub(super) until: Moment,
    /// Sequence numbers of its submissions, sorted.
    pub(super) seqs: Vec<u64>,
}

/// A job owned by this placer.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Job {
    /// Its specification.
    pub(super) spec: JobSpec,
    /// Digest of `spec`.
    pub(super) digest: SpecDigest,
    /// When this process first saw it.
    pub(super) submitted: Moment,
    /// Age of the job at `submitted`.
    pub(super) age: Span,
    /// Whether a caller waits for the end on an open connection to some daemon.
    pub(super) held: bool,
    /// Last attempt that may have started.
    pub(super) attempt: Attempt,
    /// State of its record in the store.
    #[serde(rename = "claim")]
    pub(super) record_state: RecordState,
    /// The last record known to be in the store.
    #[serde(skip)]
    pub(super) stored: Option<StoredRecord>,
    /// The record that the store should hold.
    #[serde(skip)]
    pub(super) desired: JobRecord,
    /// The record whose write is in flight.
    #[serde(skip)]
    pub(super) writing: Option<JobRecord>,
    /// Whether a task of it certainly ran.
    pub(super) ran: bool,
    /// Whether another owner had it before, in this process or another one.
    pub(super) taken: bool,
    /// When the read of the record's ownership that is in flight was sent.
    pub(super) verifying: Option<Moment>,
    /// When the last such read that confirmed the ownership was sent.
    pub(super) verified: Option<Moment>,
    /// How far it has come on its way to the workers.
    #[serde(rename = "place")]
    pub(super) stage: Stage,
    /// Whether a commit was sent that has not been undone, by a checkpoint or by proof that
    /// nothing started.
    pub(super) committed: bool,
    /// Whether a write of its record was sent whose effect is unknown.
    #[serde(rename = "doubtful")]
    pub(super) uncertain: bool,
    /// When a cancellation was requested that the scheduler has not received yet.
    pub(super) cancel: Option<Moment>,
    /// When the scheduler was last asked to give it up to another domain.
    pub(super) offered: Option<Moment>,
    /// Its end, if it has ended.
    pub(super) end: Option<End>,
    /// Whether this owner has given it up.
    #[serde(rename = "gone")]
    pub(super) abandoned: bool,
    /// Sorted by daemon.
    pub(super) followers: Vec<Follower>,
    /// The state last sent to the followers.
    #[serde(skip)]
    pub(super) published: Option<PublicState>,
    /// Tasks of finished attempts that their workers still remember.
    #[serde(rename = "old")]
    pub(super) ended_tasks: Vec<(WorkerId, TaskId)>,
}

impl Job {
    pub(super) const fn key(&self) -> &JobKey {
        &self.spec.key
    }

    /// Returns the time since the submission.
    pub(super) fn age(&self, now: Moment) -> Span {
        self.age + now.since(self.submitted)
    }

    /// Returns true if the job may run without a record in the store.
    pub(super) const fn may_run_unrecorded(&self) -> bool {
        self.spec.idempotent && self.held
    }

    pub(super) fn follow(&mut self, daemon: &DaemonId, seq: Option<u64>, now: Moment) {
        let until = now + FOLLOW_TTL;
        let found = self.followers.binary_search_by(|f| f.daemon.cmp(daemon));
        let i = found.unwrap_or_else(|i| {
            let seqs = Vec::new();
            self.followers.insert(i, Follower { daemon: daemon.clone(), until, seqs });
            i
        });
        let follower = &mut self.followers[i];
        follower.until = until;
        if let Some(seq) = seq
            && let Err(at) = follower.seqs.binary_search(&seq)
        {
            follower.seqs.insert(at, seq);
        }
    }

    /// Returns true if the store holds the job's record until its end.
    fn is_durable(&self) -> bool {
        self.record_state == RecordState::Owned
            && !self.end.as_ref().is_some_and(|end| end.nonbinding)
    }

    /// Returns a summary of what followers may be told.
    pub(super) fn public_state(&self, store_down: bool, now: Moment) -> PublicState {
        let durable = self.is_durable();
        if self.end.as_ref().is_some_and(|end| self.may_publish_end(end, store_down, now)) {
            return PublicState::Ended;
        }
        match &self.stage {
            Stage::Placed(gang) if gang.committed && !matches!(gang.phase, Phase::Committing) => {
                PublicState::Running(durable)
            }
            _ if self.uncertain && !durable => PublicState::Undecided,
            _ => PublicState::Waiting(durable),
        }
    }

    /// Returns the status that followers may be told.
    pub(super) fn status(&self, store_down: bool, now: Moment) -> JobStatus {
        let durable = self.is_durable();
        match (self.public_state(store_down, now), &self.end) {
            (PublicState::Ended, Some(end)) => match &end.ending {
                Ending::Refused(refusal) if end.unsure => JobStatus::Unsure(refusal.clone()),
                Ending::Refused(refusal) => JobStatus::Refused(refusal.clone()),
                ending => JobStatus::Ended(ending.clone()),
            },
            (PublicState::Running(_), _) => JobStatus::Running { durable },
            (PublicState::Undecided, _) => JobStatus::Undecided,
            _ => JobStatus::Waiting { durable },
        }
    }

    /// Returns true if the caller has cancelled the job and no other domain has it or may get it.
    pub(super) fn is_cancelled_here(&self, domain: &DomainId) -> bool {
        let moved = self.stored.as_ref().is_some_and(|stored| stored.record.domain != *domain);
        self.desired.cancelled && !moved && self.desired.domain == *domain
    }

    /// Returns true if its end was sent to followers.
    pub(super) fn is_end_published(&self) -> bool {
        self.published == Some(PublicState::Ended)
    }

    /// Returns true if an end may be published. An end that no other owner can contradict waits for
    /// the store for at most [`STORE_WAIT`], and not at all while the store is down.
    fn may_publish_end(&self, end: &End, store_down: bool, now: Moment) -> bool {
        let uncontested = self.may_run_unrecorded()
            && matches!(self.record_state, RecordState::Memory | RecordState::Creating);
        let final_without_store = match end.ending {
            Ending::Completed { .. } => true,
            Ending::Failed { .. } | Ending::Unknown { .. } => uncontested,
            Ending::Cancelled { .. } | Ending::Refused(_) => false,
        };
        let late = store_down || now.since(end.since) > STORE_WAIT;
        let required_step = if end.nonbinding { EndStep::Settled } else { EndStep::Removing };
        end.step >= required_step || final_without_store && late
    }

    /// Returns true if tasks may start now as far as the store is concerned.
    pub(super) fn is_start_authorized(
        &self,
        attempt: Attempt,
        store_down: bool,
        now: Moment,
    ) -> bool {
        let intent = self.stored.as_ref().and_then(|stored| stored.record.intent.as_ref());
        let waited = store_down || now.since(self.submitted) > STORE_WAIT;
        match self.record_state {
            RecordState::Owned if self.spec.idempotent => true,
            RecordState::Owned => intent.is_some_and(|intent| intent.attempt == attempt),
            _ => self.may_run_unrecorded() && waited,
        }
    }
}
