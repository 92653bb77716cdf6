//! The placer's records in the store: who may start what, settled one write at a time.

use bulrushlink_api::{Expect, Record, Revision, StoreRequest};
use bulrushlink_core::{Ending, Event, JobKey, Span};

use super::Placer;
use super::gang::Verdict;
use super::job::{Claim, End, EndStep, Place, Said};
use crate::edge::Context;
use crate::journal::{DoneRecord, JobRecord, Kept, OPEN_PREFIX, Outcome, Patience};
use crate::peer::JobStatus;

/// Time that the store has to say whether a refused job is known to it.
const PROBE_BOUND: Span = Span::from_secs(1);

/// What a store call of the placer is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Tag {
    /// Writes the record of an open job.
    Record(JobKey),
    /// Reads whether a record is still this owner's.
    Verify(JobKey),
    /// Reads whether a job has ended before.
    Check(JobKey),
    /// Reads whether a refused job is open.
    ProbeOpen(JobKey),
    /// Reads whether a refused job has ended.
    ProbeDone(JobKey),
    /// Writes the end of a job.
    Done(JobKey),
    /// Removes the record of a job that has ended.
    Remove(JobKey),
    /// Reads whether the job of tasks that nobody knows is open.
    Orphan(JobKey),
    /// Lists open jobs.
    Sweep,
    /// Finds out whether the store answers again.
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
            Tag::Orphan(key) => return self.on_orphan(key, outcome, cx),
            _ => {}
        }
        let Some(i) = tag.key().and_then(|key| self.find(key).ok()) else { return };
        if self.jobs[i].gone {
            return;
        }
        match tag {
            Tag::Record(_) => self.on_record(i, outcome, cx),
            Tag::Verify(_) => self.on_verified(i, outcome, cx),
            Tag::Check(_) => self.on_check(i, outcome, cx),
            Tag::ProbeOpen(_) => self.on_probe_open(i, outcome, cx),
            Tag::ProbeDone(_) => self.on_probe_done(i, outcome, cx),
            Tag::Done(_) => self.on_done(i, outcome, cx),
            Tag::Remove(_) => self.on_removed(i, cx),
            Tag::Orphan(_) | Tag::Sweep | Tag::Health => {}
        }
    }

    /// Finds out whether the store answers again, if nothing else does.
    pub(super) fn tick_store(&mut self, cx: &mut Context<'_>) {
        if self.journal.is_down() && self.journal.open_calls() == 0 {
            let request = StoreRequest::Get { key: OPEN_PREFIX.to_string() };
            self.journal.call(Tag::Health, request, Patience::Endless, cx);
        }
    }

    /// Begins to make a job durable.
    pub(super) fn create(&mut self, i: usize, patience: Patience, cx: &mut Context<'_>) {
        self.jobs[i].claim = Claim::Creating;
        self.put(i, patience, cx);
    }

    /// Writes the record if it isn't yet as wanted.
    pub(super) fn sync(&mut self, i: usize, cx: &mut Context<'_>) {
        let job = &self.jobs[i];
        let stale = job.kept.as_ref().is_some_and(|kept| kept.record != job.wanted);
        if job.writing.is_none() && job.claim == Claim::Owned && stale {
            self.put(i, Patience::Endless, cx);
        }
    }

    pub(super) fn put(&mut self, i: usize, patience: Patience, cx: &mut Context<'_>) {
        self.seq += 1;
        let job = &mut self.jobs[i];
        if job.wanted.owner != self.own {
            job.wanted.owner = self.own.clone();
            job.wanted.epoch += 1;
        }
        job.wanted.seq = self.seq;
        job.writing = Some(job.wanted.clone());
        let expect = job.kept.as_ref().map_or(Expect::Absent, |kept| Expect::At(kept.at));
        let request = StoreRequest::Put {
            key: JobRecord::path(job.key()),
            value: job.wanted.text(),
            expect,
            lease: None,
        };
        let tag = Tag::Record(job.key().clone());
        self.journal.call(tag, request, patience, cx);
    }

    fn on_record(&mut self, i: usize, outcome: Outcome, cx: &mut Context<'_>) {
        let writing = self.jobs[i].writing.take();
        match (outcome, writing) {
            (Outcome::Written(at), Some(record)) => self.on_kept(i, Kept { at, record }, cx),
            (Outcome::Conflict(record), _) => self.on_conflict(i, record, cx),
            (Outcome::GivenUp, _) if self.jobs[i].is_light() => self.jobs[i].claim = Claim::Memory,
            (Outcome::GivenUp, _) => self.refuse_undurable(i, cx),
            _ => {}
        }
    }

    fn on_kept(&mut self, i: usize, kept: Kept, cx: &mut Context<'_>) {
        let job = &mut self.jobs[i];
        job.kept = Some(kept);
        if matches!(job.claim, Claim::Creating | Claim::Taking) {
            let taken = job.claim == Claim::Taking;
            job.claim = Claim::Checking;
            self.check(i, if taken { Patience::Background } else { Patience::Endless }, cx);
            return;
        }
        self.sync(i, cx);
        self.press_cancel(i, cx);
        self.proceed(i, cx);
        self.drive_end(i, cx);
    }

    /// Asks whether a record is still this owner's, where another owner seems to run its job.
    pub(super) fn verify(&mut self, i: usize, cx: &mut Context<'_>) {
        let job = &mut self.jobs[i];
        if job.verifying.is_some() {
            return;
        }
        job.verifying = Some(cx.now);
        let key = job.key().clone();
        let request = StoreRequest::Get { key: JobRecord::path(&key) };
        self.journal.call(Tag::Verify(key), request, Patience::Endless, cx);
    }

    fn on_verified(&mut self, i: usize, outcome: Outcome, cx: &mut Context<'_>) {
        let job = &mut self.jobs[i];
        let asked = job.verifying.take();
        let Outcome::Found(found) = outcome else { return };
        let kept = job.kept.as_ref().map(|kept| kept.at);
        if job.writing.is_some() || job.end.is_some() || job.claim != Claim::Owned {
            return;
        }
        if found.as_ref().map(|record| record.at) == kept {
            job.verified = asked;
        } else {
            self.on_conflict(i, found, cx);
        }
    }

    /// Reads whether the job has ended before; it must not start until that is known.
    fn check(&mut self, i: usize, patience: Patience, cx: &mut Context<'_>) {
        let key = self.jobs[i].key().clone();
        let request = StoreRequest::Get { key: DoneRecord::path(&key) };
        self.journal.call(Tag::Check(key), request, patience, cx);
    }

    fn on_check(&mut self, i: usize, outcome: Outcome, cx: &mut Context<'_>) {
        let Outcome::Found(found) = outcome else { return };
        match found.and_then(|record| DoneRecord::read(&record.value)) {
            Some(done) => self.end_as_done(i, done, cx),
            None if self.jobs[i].kept.is_none() => self.abandon(i, JobStatus::NotPlacing, cx),
            None => {
                self.jobs[i].claim = Claim::Owned;
                let key = self.jobs[i].key().clone();
                self.enter(&key, cx);
                self.sync(i, cx);
                self.proceed(i, cx);
                self.drive_end(i, cx);
            }
        }
    }

    /// Takes an end that another owner, or this one in an earlier life, has written.
    fn end_as_done(&mut self, i: usize, done: DoneRecord, cx: &mut Context<'_>) {
        self.withdraw(i, cx);
        let same = self.jobs[i].digest == done.digest;
        let job = &mut self.jobs[i];
        job.claim = Claim::Owned;
        if job.end.is_none() || job.said != Some(Said::Ended) {
            job.end = Some(End::open(done.ending, cx.now));
        }
        if let Some(end) = &mut job.end {
            end.step = EndStep::Removing;
        }
        if !same {
            self.notify(i, &JobStatus::Conflict, cx);
        }
        self.remove(i, cx);
        self.jobs[i].gone = !same;
    }

    /// Somebody else has changed the record.
    fn on_conflict(&mut self, i: usize, found: Option<Record>, cx: &mut Context<'_>) {
        let Some((at, record)) = found.and_then(|r| Some((r.at, JobRecord::read(&r.value)?)))
        else {
            self.jobs[i].kept = None;
            self.jobs[i].claim = Claim::Checking;
            return self.check(i, Patience::Endless, cx);
        };
        let job = &self.jobs[i];
        if record.spec != job.spec {
            return self.abandon(i, JobStatus::Conflict, cx);
        }
        if record.domain != self.domain {
            return self.abandon(i, JobStatus::Elsewhere(record.domain), cx);
        }
        if job.claim == Claim::Creating || record.owner == self.own {
            return self.take(i, at, record, cx);
        }
        self.abandon(i, JobStatus::NotPlacing, cx);
    }

    /// Takes over the record of an earlier owner: from then on its writes fail, and so it can't
    /// settle the intent to start. That matters only for jobs that aren't idempotent; the record
    /// of another one is taken with its next change.
    pub(super) fn take(&mut self, i: usize, at: Revision, record: JobRecord, cx: &mut Context<'_>) {
        if record.intent.is_some() {
            self.withdraw(i, cx);
        }
        let job = &mut self.jobs[i];
        let cancelled = job.wanted.cancelled || record.cancelled;
        job.attempt = job.attempt.max(record.attempt);
        job.committed |= record.intent.is_some();
        job.taken = true;
        // A start that waits for its intent goes on: the intent is written with the takeover.
        let intent = record.intent.clone().or_else(|| job.wanted.intent.take());
        job.wanted = JobRecord { cancelled, intent, ..record.clone() };
        if cancelled && job.cancel.is_none() {
            job.cancel = Some(cx.now);
        }
        job.kept = Some(Kept { at, record });
        if job.spec.idempotent {
            job.claim = Claim::Checking;
            return self.check(i, Patience::Background, cx);
        }
        job.claim = Claim::Taking;
        self.put(i, Patience::Background, cx);
    }

    /// Gives a job up to another owner. What runs of it goes on for that one to find.
    pub(super) fn abandon(&mut self, i: usize, status: JobStatus, cx: &mut Context<'_>) {
        self.withdraw(i, cx);
        self.notify(i, &status, cx);
        self.jobs[i].gone = true;
        let key = self.jobs[i].key().clone();
        self.journal.remove_unsent(|tag| tag.key() == Some(&key));
    }

    /// Makes the scheduler forget a job, and drops what is reserved for it.
    pub(super) fn withdraw(&mut self, i: usize, cx: &mut Context<'_>) {
        let key = self.jobs[i].key().clone();
        self.hasten(&key);
        match std::mem::replace(&mut self.jobs[i].place, Place::Out) {
            Place::Out | Place::Leaving(_) => {}
            Place::Waiting => self.events.push_back(Event::Cancel(key)),
            Place::Placed(gang) if gang.committed => {
                self.events.push_back(Event::Unsettled(key.clone(), gang.attempt));
                self.events.push_back(Event::Cancel(key));
            }
            Place::Placed(gang) => {
                self.release(&key, &gang, cx);
                let fault = bulrushlink_core::StartFault::NotPermitted;
                self.report_verdict(&key, gang.attempt, Verdict::NotStarted(None, fault));
                self.events.push_back(Event::Cancel(key));
            }
        }
    }

    /// Looks whether an earlier submission left a trace, before "not run" may be said.
    pub(super) fn probe(&mut self, i: usize, cx: &mut Context<'_>) {
        let key = self.jobs[i].key().clone();
        if self.journal.is_down() {
            return self.settle_refusal(i, true);
        }
        self.jobs[i].claim = Claim::Probing;
        let request = StoreRequest::Get { key: JobRecord::path(&key) };
        let until = Patience::Until(cx.now + PROBE_BOUND);
        self.journal.call(Tag::ProbeOpen(key), request, until, cx);
    }

    fn on_probe_open(&mut self, i: usize, outcome: Outcome, cx: &mut Context<'_>) {
        match outcome {
            Outcome::Found(Some(record)) => {
                self.jobs[i].end = None;
                self.jobs[i].claim = Claim::Creating;
                self.on_conflict(i, Some(record), cx);
            }
            Outcome::Found(None) => {
                let key = self.jobs[i].key().clone();
                let request = StoreRequest::Get { key: DoneRecord::path(&key) };
                let until = Patience::Until(cx.now + PROBE_BOUND);
                self.journal.call(Tag::ProbeDone(key), request, until, cx);
            }
            _ => self.settle_refusal(i, true),
        }
    }

    fn on_probe_done(&mut self, i: usize, outcome: Outcome, cx: &mut Context<'_>) {
        match outcome {
            Outcome::Found(Some(record)) => match DoneRecord::read(&record.value) {
                Some(done) if done.digest == self.jobs[i].digest => {
                    let mut end = End::open(done.ending, cx.now);
                    end.step = EndStep::Settled;
                    self.jobs[i].end = Some(end);
                    self.jobs[i].claim = Claim::Owned;
                }
                _ => self.abandon(i, JobStatus::Conflict, cx),
            },
            Outcome::Found(None) => self.settle_refusal(i, false),
            _ => self.settle_refusal(i, true),
        }
    }

    fn settle_refusal(&mut self, i: usize, unsure: bool) {
        let job = &mut self.jobs[i];
        job.claim = Claim::Memory;
        if let Some(end) = &mut job.end {
            end.step = EndStep::Settled;
            end.unsure = unsure && matches!(end.ending, Ending::Refused(_));
        }
    }
}
