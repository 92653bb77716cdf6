//! A job as its placer knows it: what the store holds of it, and where it is on the workers.

use bulrushlink_api::TaskId;
use bulrushlink_core::{
    Attempt, DaemonId, DomainId, Ending, JobKey, JobSpec, Moment, Span, WorkerId,
};
use serde::Serialize;

use crate::journal::{JobRecord, Kept, SpecDigest};
use crate::peer::JobStatus;
use crate::placer::gang::{Gang, Phase};

/// Time for which a follower hears of changes without asking again.
const FOLLOW_SPAN: Span = Span::from_secs(15);
/// Time for which an idempotent job with a waiting caller waits for the store.
pub(super) const STORE_PATIENCE: Span = Span(500);

/// What the store holds of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub(super) enum Claim {
    /// Nothing that this owner knows of.
    Memory,
    /// Looks whether an earlier submission left a trace, to refuse this one truthfully.
    Probing,
    /// The record is being created.
    Creating,
    /// The record of another owner is being taken over.
    Taking,
    /// The record is this owner's; it reads whether the job has ended before.
    Checking,
    /// The record is this owner's, and the job is open.
    Owned,
}

/// Where a job is.
#[derive(Clone, Debug, Serialize)]
pub(super) enum Place {
    /// The scheduler doesn't know it.
    Out,
    /// Can't start in this domain; from the moment on another one is looked for.
    Leaving(Moment),
    /// The scheduler has it.
    Waiting,
    /// On workers, or on its way there.
    Placed(Box<Gang>),
}

/// How far the end of a job is on its way into the store.
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
    /// How far it is.
    pub(super) step: EndStep,
    /// Moment of the end.
    pub(super) since: Moment,
    /// Whether the store couldn't be asked for earlier submissions.
    pub(super) unsure: bool,
    /// Whether it binds no later submission of the same request, so that nothing of it is kept.
    pub(super) loose: bool,
    /// Whether the record was written once more to make sure that this owner may say so.
    pub(super) claimed: bool,
}

impl End {
    pub(super) const fn open(ending: Ending, now: Moment) -> Self {
        let step = EndStep::Open;
        Self { ending, step, since: now, unsure: false, loose: false, claimed: false }
    }
}

/// A state of a job in short, to see whether it has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Said {
    Waiting(bool),
    Undecided,
    Running(bool),
    Ended,
}

/// A daemon that wants to hear of a job.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Follower {
    /// The daemon.
    pub(super) daemon: DaemonId,
    /// Moment up to which it hears of changes.
    pub(super) until: Moment,
    /// Its submissions, sorted.
    pub(super) seqs: Vec<u64>,
}

/// A job.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Job {
    /// The job.
    pub(super) spec: JobSpec,
    /// Digest of `spec`.
    pub(super) digest: SpecDigest,
    /// Moment of the submission, as far as it lies within this process.
    pub(super) submitted: Moment,
    /// Age at `submitted`.
    pub(super) age: Span,
    /// Whether a caller keeps waiting on a connection somewhere.
    pub(super) held: bool,
    /// Last attempt that may have started.
    pub(super) attempt: Attempt,
    /// What the store holds.
    pub(super) claim: Claim,
    /// The last settled record.
    #[serde(skip)]
    pub(super) kept: Option<Kept>,
    /// The record as it has to become.
    #[serde(skip)]
    pub(super) wanted: JobRecord,
    /// The record that is being written.
    #[serde(skip)]
    pub(super) writing: Option<JobRecord>,
    /// Whether it is certain that a task of it ran.
    pub(super) ran: bool,
    /// Whether another owner had it before, in this process or another.
    pub(super) taken: bool,
    /// Moment at which the store was asked whether the record is still this owner's.
    pub(super) verifying: Option<Moment>,
    /// Moment of the last such question whose answer was yes.
    pub(super) verified: Option<Moment>,
    /// Where it is.
    pub(super) place: Place,
    /// Whether a start of it was sent that no checkpoint has undone.
    pub(super) committed: bool,
    /// Whether a write of its record was sent that may or may not have had its effect.
    pub(super) doubtful: bool,
    /// Moment of a wish to cancel it that the scheduler hasn't heard of yet.
    pub(super) cancel: Option<Moment>,
    /// Moment at which it was last offered to other domains.
    pub(super) offered: Option<Moment>,
    /// Its end, if it has ended.
    pub(super) end: Option<End>,
    /// Whether this owner has nothing to do with it any more.
    pub(super) gone: bool,
    /// Sorted by daemon.
    pub(super) followers: Vec<Follower>,
    /// What the followers heard last.
    #[serde(skip)]
    pub(super) said: Option<Said>,
    /// Ended tasks that their workers still remember.
    pub(super) old: Vec<(WorkerId, TaskId)>,
}

impl Job {
    pub(super) const fn key(&self) -> &JobKey {
        &self.spec.key
    }

    /// Returns the time since the submission.
    pub(super) fn age(&self, now: Moment) -> Span {
        self.age + now.since(self.submitted)
    }

    /// Tells whether the job may run without a record in the store.
    pub(super) const fn is_light(&self) -> bool {
        self.spec.idempotent && self.held
    }

    pub(super) fn follow(&mut self, daemon: &DaemonId, seq: Option<u64>, now: Moment) {
        let until = now + FOLLOW_SPAN;
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

    /// Tells whether the job is in the store to stay until its end.
    fn is_kept(&self) -> bool {
        self.claim == Claim::Owned && !self.end.as_ref().is_some_and(|end| end.loose)
    }

    /// Returns in short what followers may hear.
    pub(super) fn said(&self, down: bool, now: Moment) -> Said {
        let durable = self.is_kept();
        if self.end.as_ref().is_some_and(|end| self.may_tell(end, down, now)) {
            return Said::Ended;
        }
        match &self.place {
            Place::Placed(gang) if gang.committed && !matches!(gang.phase, Phase::Committing) => {
                Said::Running(durable)
            }
            _ if self.doubtful && !durable => Said::Undecided,
            _ => Said::Waiting(durable),
        }
    }

    /// Returns what followers may hear.
    pub(super) fn status(&self, down: bool, now: Moment) -> JobStatus {
        let durable = self.is_kept();
        match (self.said(down, now), &self.end) {
            (Said::Ended, Some(end)) => match &end.ending {
                Ending::Refused(refusal) if end.unsure => JobStatus::Unsure(refusal.clone()),
                Ending::Refused(refusal) => JobStatus::Refused(refusal.clone()),
                ending => JobStatus::Ended(ending.clone()),
            },
            (Said::Running(_), _) => JobStatus::Running { durable },
            (Said::Undecided, _) => JobStatus::Undecided,
            _ => JobStatus::Waiting { durable },
        }
    }

    /// Tells whether the caller wants it no more, and no other domain has it or may get it.
    pub(super) fn is_cancelled_here(&self, domain: &DomainId) -> bool {
        let moved = self.kept.as_ref().is_some_and(|kept| kept.record.domain != *domain);
        self.wanted.cancelled && !moved && self.wanted.domain == *domain
    }

    /// Tells whether its end was told to anybody.
    pub(super) fn is_told(&self) -> bool {
        self.said == Some(Said::Ended)
    }

    /// Tells whether an end may be told: what no other owner can contradict doesn't wait for the
    /// store when that is down.
    fn may_tell(&self, end: &End, down: bool, now: Moment) -> bool {
        let alone = self.is_light() && matches!(self.claim, Claim::Memory | Claim::Creating);
        let firm = match end.ending {
            Ending::Completed { .. } => true,
            Ending::Failed { .. } | Ending::Unknown { .. } => alone,
            Ending::Cancelled { .. } | Ending::Refused(_) => false,
        };
        let late = down || now.since(end.since) > STORE_PATIENCE;
        let least = if end.loose { EndStep::Settled } else { EndStep::Removing };
        end.step >= least || firm && late
    }

    /// Tells whether tasks may start now as far as the store is concerned.
    pub(super) fn is_recorded(&self, attempt: Attempt, down: bool, now: Moment) -> bool {
        let intent = self.kept.as_ref().and_then(|kept| kept.record.intent.as_ref());
        let waited = down || now.since(self.submitted) > STORE_PATIENCE;
        match self.claim {
            Claim::Owned if self.spec.idempotent => true,
            Claim::Owned => intent.is_some_and(|intent| intent.attempt == attempt),
            _ => self.is_light() && waited,
        }
    }
}
