//! The placer's records in the store. They decide which owner may start a job; each record has at
//! most one write in flight.

use bulrushlink_api::{Expect, Record, Revision, StoreRequest};
use bulrushlink_core::{Ending, Event, JobKey, Span};

use super::Placer;
use super::gang::AttemptOutcome;
use super::job::{End, EndStep, PublicState, RecordState, Stage};
use crate::edge::Context;
use crate::journal::{DoneRecord, JobRecord, OPEN_PREFIX, Outcome, RetryPolicy, StoredRecord};
use crate::peer::JobStatus;

/// How long the store has to answer whether it knows a refused job.
const PROBE_TIMEOUT: Span = Span::from_secs(1);

/// Purpose of a store call of the placer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Tag {
    /// Writes the record of an open job.
    Record(JobKey),
    /// Reads whether a record still belongs to this owner.
    Verify(JobKey),
    /// Reads whether a job has already ended.
    Check(JobKey),
    /// Reads whether a refused job is open.
    ProbeOpen(JobKey),
    /// Reads whether a refused job has ended.
    ProbeDone(JobKey),
    /// Writes the end of a job.
    Done(JobKey),
    /// Removes the record of an ended job.
    Remove(JobKey),
    /// Reads whether the job of orphaned tasks is open.
    Orphan(JobKey),
    /// Lists open jobs.
    Sweep,
    /// Probes whether the store answers again.
    Health,
}

impl Tag {
    pub(super) const fn key(&self) -> Option<&JobKey> {
        match self {
            Self::Record(key)
            | Self::Verify(key)
            | Self::Check(key)
            | Self::ProbeOpen(key)
            | Self::ProbeDone(key)
            | Self::Done(key)
            | Self::Remove(key) => Some(key),
            Self::Orphan(_) | Self::Sweep | Self::Health => None,
        }
    }
}

impl Placer {
    pub(super) fn on_outcome(&mut self, tag: Tag, outcome: Outcome, cx: &mut Context<'_>) {
        match &tag {
            Tag::Sweep => return self.on_page(outcome, cx),
            Tag::Orphan(key) => return self.on_orphan_lookup(key, outcome, cx),
            _ => {}
        }
        let Some(i) = tag.key().and_then(|key| self.find(key).ok()) else { return };
        if self.jobs[i].abandoned {
            return;
        }
        match tag {
            Tag::Record(_) => self.on_record(i, outcome, cx),
            Tag::Verify(_) => self.on_verified(i, outcome, cx),
            Tag::Check(_) => self.on_done_checked(i, outcome, cx),
            Tag::ProbeOpen(_) => self.on_probe_open(i, outcome, cx),
            Tag::ProbeDone(_) => self.on_probe_done(i, outcome, cx),
            Tag::Done(_) => self.on_done_written(i, outcome, cx),
            Tag::Remove(_) => self.on_removed(i, cx),
            Tag::Orphan(_) | Tag::Sweep | Tag::Health => {}
        }
    }

    /// Probes whether the store answers again, unless a call is pending anyway.
    pub(super) fn tick_store(&mut self, cx: &mut Context<'_>) {
        if self.journal.is_down() && self.journal.pending_calls() == 0 {
            let request = StoreRequest::Get { key: OPEN_PREFIX.to_string() };
            self.journal.call(Tag::Health, request, RetryPolicy::Unlimited, cx);
        }
    }

    /// Starts to write the record of a job that has none.
    pub(super) fn create_record(&mut self, i: usize, policy: RetryPolicy, cx: &mut Context<'_>) {
        self.jobs[i].record_state = RecordState::Creating;
        self.write_record(i, policy, cx);
    }

    /// Writes the record if the stored one is out of date and no write is in flight.
    pub(super) fn sync_record(&mut self, i: usize, cx: &mut Context<'_>) {
        let job = &self.jobs[i];
        let stale = job.stored.as_ref().is_some_and(|stored| stored.record != job.desired);
        if job.writing.is_none() && job.record_state == RecordState::Owned && stale {
            self.write_record(i, RetryPolicy::Unlimited, cx);
        }
    }

    pub(super) fn write_record(&mut self, i: usize, policy: RetryPolicy, cx: &mut Context<'_>) {
        self.seq += 1;
        let job = &mut self.jobs[i];
        if job.desired.owner != self.owner {
            job.desired.owner = self.owner.clone();
            job.desired.epoch += 1;
        }
        job.desired.seq = self.seq;
        job.writing = Some(job.desired.clone());
        let expect = job.stored.as_ref().map_or(Expect::Absent, |stored| Expect::At(stored.at));
        let request = StoreRequest::Put {
            key: JobRecord::store_key(job.key()),
            value: job.desired.to_json(),
            expect,
            lease: None,
        };
        let tag = Tag::Record(job.key().clone());
        self.journal.call(tag, request, policy, cx);
    }

    fn on_record(&mut self, i: usize, outcome: Outcome, cx: &mut Context<'_>) {
        let writing = self.jobs[i].writing.take();
        match (outcome, writing) {
            (Outcome::Written(at), Some(record)) => {
                self.on_record_written(i, StoredRecord { at, record }, cx)
            }
            (Outcome::Conflict(record), _) => self.on_conflict(i, record, cx),
            (Outcome::GivenUp, _) if self.jobs[i].may_run_unrecorded() => {
                self.jobs[i].record_state = RecordState::Memory
            }
            (Outcome::GivenUp, _) => self.refuse_undurable(i, cx),
            _ => {}
        }
    }

    fn on_record_written(&mut self, i: usize, stored: StoredRecord, cx: &mut Context<'_>) {
        let job = &mut self.jobs[i];
        job.stored = Some(stored);
        if matches!(job.record_state, RecordState::Creating | RecordState::Taking) {
            let taken = job.record_state == RecordState::Taking;
            job.record_state = RecordState::Checking;
            self.check_done(
                i,
                if taken { RetryPolicy::Background } else { RetryPolicy::Unlimited },
                cx,
            );
            return;
        }
        self.sync_record(i, cx);
        self.forward_cancel(i, cx);
        self.advance_attempt(i, cx);
        self.advance_end(i, cx);
    }

    /// Reads whether a record still belongs to this owner, after a sign that another owner runs
    /// the job.
    pub(super) fn verify_ownership(&mut self, i: usize, cx: &mut Context<'_>) {
        let job = &mut self.jobs[i];
        if job.verifying.is_some() {
            return;
        }
        job.verifying = Some(cx.now);
        let key = job.key().clone();
        let request = StoreRequest::Get { key: JobRecord::store_key(&key) };
        self.journal.call(Tag::Verify(key), request, RetryPolicy::Unlimited, cx);
    }

    fn on_verified(&mut self, i: usize, outcome: Outcome, cx: &mut Context<'_>) {
        let job = &mut self.jobs[i];
        let asked = job.verifying.take();
        let Outcome::Found(found) = outcome else { return };
        let stored = job.stored.as_ref().map(|stored| stored.at);
        if job.writing.is_some() || job.end.is_some() || job.record_state != RecordState::Owned {
            return;
        }
        if found.as_ref().map(|record| record.at) == stored {
            job.verified = asked;
        } else {
            self.on_conflict(i, found, cx);
        }
    }

    /// Reads whether the job has already ended; it must not start before that is known.
    fn check_done(&mut self, i: usize, policy: RetryPolicy, cx: &mut Context<'_>) {
        let key = self.jobs[i].key().clone();
        let request = StoreRequest::Get { key: DoneRecord::store_key(&key) };
        self.journal.call(Tag::Check(key), request, policy, cx);
    }

    fn on_done_checked(&mut self, i: usize, outcome: Outcome, cx: &mut Context<'_>) {
        let Outcome::Found(found) = outcome else { return };
        match found.and_then(|record| DoneRecord::from_json(&record.value)) {
            Some(done) => self.adopt_recorded_end(i, done, cx),
            None if self.jobs[i].stored.is_none() => self.abandon(i, JobStatus::NotPlacing, cx),
            None => {
                self.jobs[i].record_state = RecordState::Owned;
                let key = self.jobs[i].key().clone();
                self.hand_to_scheduler(&key, cx);
                self.sync_record(i, cx);
                self.advance_attempt(i, cx);
                self.advance_end(i, cx);
            }
        }
    }

    /// Adopts an end that was written by another owner or by an earlier incarnation of this one.
    fn adopt_recorded_end(&mut self, i: usize, done: DoneRecord, cx: &mut Context<'_>) {
        self.withdraw(i, cx);
        let same_spec = self.jobs[i].digest == done.digest;
        let job = &mut self.jobs[i];
        job.record_state = RecordState::Owned;
        if job.end.is_none() || job.published != Some(PublicState::Ended) {
            job.end = Some(End::new(done.ending, cx.now));
        }
        if let Some(end) = &mut job.end {
            end.step = EndStep::Removing;
        }
        if !same_spec {
            self.notify_followers(i, &JobStatus::Conflict, cx);
        }
        self.remove_record(i, cx);
        self.jobs[i].abandoned = !same_spec;
    }

    /// Handles a conditional write that failed because the record was changed by someone else.
    fn on_conflict(&mut self, i: usize, found: Option<Record>, cx: &mut Context<'_>) {
        let Some((at, record)) = found.and_then(|r| Some((r.at, JobRecord::from_json(&r.value)?)))
        else {
            self.jobs[i].stored = None;
            self.jobs[i].record_state = RecordState::Checking;
            return self.check_done(i, RetryPolicy::Unlimited, cx);
        };
        let job = &self.jobs[i];
        if record.spec != job.spec {
            return self.abandon(i, JobStatus::Conflict, cx);
        }
        if record.domain != self.domain {
            return self.abandon(i, JobStatus::Elsewhere(record.domain), cx);
        }
        if job.record_state == RecordState::Creating || record.owner == self.owner {
            return self.take_over(i, at, record, cx);
        }
        self.abandon(i, JobStatus::NotPlacing, cx);
    }

    /// Takes over the record of an earlier owner. From then on the earlier owner's writes fail, so
    /// it cannot record an intent to start. Only jobs that are not idempotent need that; the
    /// record of an idempotent job changes owner with its next write.
    pub(super) fn take_over(
        &mut self,
        i: usize,
        at: Revision,
        record: JobRecord,
        cx: &mut Context<'_>,
    ) {
        if record.intent.is_some() {
            self.withdraw(i, cx);
        }
        let job = &mut self.jobs[i];
        let cancelled = job.desired.cancelled || record.cancelled;
        job.attempt = job.attempt.max(record.attempt);
        job.committed |= record.intent.is_some();
        job.taken = true;
        // A start that waits for its intent continues: the intent is written with the takeover.
        let intent = record.intent.clone().or_else(|| job.desired.intent.take());
        job.desired = JobRecord { cancelled, intent, ..record.clone() };
        if cancelled && job.cancel.is_none() {
            job.cancel = Some(cx.now);
        }
        job.stored = Some(StoredRecord { at, record });
        if job.spec.idempotent {
            job.record_state = RecordState::Checking;
            return self.check_done(i, RetryPolicy::Background, cx);
        }
        job.record_state = RecordState::Taking;
        self.write_record(i, RetryPolicy::Background, cx);
    }

    /// Gives a job up to another owner, which finds and adopts whatever still runs.
    pub(super) fn abandon(&mut self, i: usize, status: JobStatus, cx: &mut Context<'_>) {
        self.withdraw(i, cx);
        self.notify_followers(i, &status, cx);
        self.jobs[i].abandoned = true;
        let key = self.jobs[i].key().clone();
        self.journal.remove_unsent(|tag| tag.key() == Some(&key));
    }

    /// Removes a job from the scheduler and releases its reservations.
    pub(super) fn withdraw(&mut self, i: usize, cx: &mut Context<'_>) {
        let key = self.jobs[i].key().clone();
        self.flush_delayed(&key);
        match std::mem::replace(&mut self.jobs[i].stage, Stage::Out) {
            Stage::Out | Stage::Leaving(_) => {}
            Stage::Waiting => self.events.push_back(Event::Cancel(key)),
            Stage::Placed(gang) if gang.committed => {
                self.events.push_back(Event::OutcomeUnknown(key.clone(), gang.attempt));
                self.events.push_back(Event::Cancel(key));
            }
            Stage::Placed(gang) => {
                self.release_reservations(&key, &gang, cx);
                let fault = bulrushlink_core::StartFault::NotPermitted;
                self.report_outcome(&key, gang.attempt, AttemptOutcome::NotStarted(None, fault));
                self.events.push_back(Event::Cancel(key));
            }
        }
    }

    /// Reads whether an earlier submission left a record; until then the answer must not be "not
    /// run".
    pub(super) fn probe_earlier(&mut self, i: usize, cx: &mut Context<'_>) {
        let key = self.jobs[i].key().clone();
        if self.journal.is_down() {
            return self.settle_refusal(i, true);
        }
        self.jobs[i].record_state = RecordState::Probing;
        let request = StoreRequest::Get { key: JobRecord::store_key(&key) };
        let until = RetryPolicy::Until(cx.now + PROBE_TIMEOUT);
        self.journal.call(Tag::ProbeOpen(key), request, until, cx);
    }

    fn on_probe_open(&mut self, i: usize, outcome: Outcome, cx: &mut Context<'_>) {
        match outcome {
            Outcome::Found(Some(record)) => {
                self.jobs[i].end = None;
                self.jobs[i].record_state = RecordState::Creating;
                self.on_conflict(i, Some(record), cx);
            }
            Outcome::Found(None) => {
                let key = self.jobs[i].key().clone();
                let request = StoreRequest::Get { key: DoneRecord::store_key(&key) };
                let until = RetryPolicy::Until(cx.now + PROBE_TIMEOUT);
                self.journal.call(Tag::ProbeDone(key), request, until, cx);
            }
            _ => self.settle_refusal(i, true),
        }
    }

    fn on_probe_done(&mut self, i: usize, outcome: Outcome, cx: &mut Context<'_>) {
        match outcome {
            Outcome::Found(Some(record)) => match DoneRecord::from_json(&record.value) {
                Some(done) if done.digest == self.jobs[i].digest => {
                    let mut end = End::new(done.ending, cx.now);
                    end.step = EndStep::Settled;
                    self.jobs[i].end = Some(end);
                    self.jobs[i].record_state = RecordState::Owned;
                }
                _ => self.abandon(i, JobStatus::Conflict, cx),
            },
            Outcome::Found(None) => self.settle_refusal(i, false),
            _ => self.settle_refusal(i, true),
        }
    }

    fn settle_refusal(&mut self, i: usize, unsure: bool) {
        let job = &mut self.jobs[i];
        job.record_state = RecordState::Memory;
        if let Some(end) = &mut job.end {
            end.step = EndStep::Settled;
            end.unsure = unsure && matches!(end.ending, Ending::Refused(_));
        }
    }
}
