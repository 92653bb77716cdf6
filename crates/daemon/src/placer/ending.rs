//! The end of a job: durable first, then told, then forgotten by the workers.

use bulrushlink_api::{Expect, Revision, StoreRequest, WorkerOp};
use bulrushlink_core::{Attempt, Code, Ending, JobKey, Moment, Refusal, Span};

use super::Placer;
use super::job::{Claim, End, EndStep, Place, Said};
use crate::edge::Context;
use crate::journal::{DONE_RETENTION, DoneRecord, JobRecord, Outcome, Patience};
use crate::placer::records::Tag;

/// Most bytes of all outputs of a job; JSON may double them within a value of the store.
const OUTPUT_MAX_BYTES: usize = 450_000;
/// Age up to which a job that fits nowhere waits for workers to come back.
const NEVER_FITS_BOUND: Span = Span::from_secs(60);
/// Pause before room is looked for again for an accepted job that was refused.
const REFUSED_PAUSE: Span = Span::from_secs(5);
/// Time for which an ended job is remembered here.
const ENDED_KEEP: Span = Span::from_secs(60);

impl Placer {
    /// Takes the scheduler's word that a job has ended.
    pub(super) fn finish(&mut self, key: &JobKey, ending: Ending, cx: &mut Context<'_>) {
        let Ok(i) = self.find(key) else { return };
        let job = &mut self.jobs[i];
        if job.gone || job.end.is_some() || matches!(job.place, Place::Out) {
            return;
        }
        job.place = Place::Out;
        job.cancel = None;
        let refused = matches!(&ending, Ending::Refused(refusal) if is_passing(refusal.code));
        let never = matches!(&ending, Ending::Refused(refusal) if refusal.code == Code::NeverFits);
        let patient = !never || job.age(cx.now) < NEVER_FITS_BOUND;
        let accepted = job.claim == Claim::Owned || job.taken;
        if refused && accepted && patient {
            // What was accepted isn't given up for want of room.
            job.place = Place::Leaving(cx.now + REFUSED_PAUSE);
            return;
        }
        // A job that others had before may have run there, whatever the record says.
        let least = Attempt(u32::from(job.taken && job.spec.idempotent));
        let started = job.attempt.max(least);
        let mut end = End::open(bounded(truthful(ending, started, job.ran)), cx.now);
        end.loose = refused && !accepted;
        job.end = Some(end);
        self.drive_end(i, cx);
    }

    /// Takes the next step of a job's end into the store.
    pub(super) fn drive_end(&mut self, i: usize, cx: &mut Context<'_>) {
        let job = &mut self.jobs[i];
        let Some(end) = &mut job.end else { return };
        if end.step != EndStep::Open {
            return;
        }
        match job.claim {
            Claim::Memory if matches!(end.ending, Ending::Refused(_)) => {}
            Claim::Memory if is_unrun(&end.ending) => {
                end.step = EndStep::Settled;
                self.forget_old(i, cx);
            }
            // It ran without a record, and another owner may have one: the end has to be durable
            // before its workers forget it, or that one would tell another end.
            Claim::Memory => self.create(i, Patience::Endless, cx),
            Claim::Creating if is_unrun(&end.ending) => self.take_back_record(i, cx),
            Claim::Owned if job.writing.is_some() => {}
            // Others may have seen the record, and told that the job is accepted.
            Claim::Owned if end.loose => {
                end.loose = false;
                self.drive_end(i, cx);
            }
            // Another owner may see the job completed where this one doesn't.
            Claim::Owned if !end.claimed && !matches!(end.ending, Ending::Completed { .. }) => {
                end.claimed = true;
                self.put(i, Patience::Endless, cx);
            }
            Claim::Owned => self.write_done(i, cx),
            _ => {}
        }
    }

    /// Drops a record that was not sent yet, of a job that came to nothing.
    fn take_back_record(&mut self, i: usize, cx: &mut Context<'_>) {
        let tag = Tag::Record(self.jobs[i].key().clone());
        if !self.journal.remove_unsent(|other| *other == tag) {
            return;
        }
        let job = &mut self.jobs[i];
        job.writing = None;
        job.claim = Claim::Memory;
        if matches!(job.end.as_ref().map(|end| &end.ending), Some(Ending::Refused(_))) {
            self.probe(i, cx);
        } else {
            self.drive_end(i, cx);
        }
    }

    fn write_done(&mut self, i: usize, cx: &mut Context<'_>) {
        self.seq += 1;
        let job = &mut self.jobs[i];
        let Some(end) = &mut job.end else { return };
        end.step = EndStep::Writing;
        let record = DoneRecord {
            digest: job.digest.clone(),
            ending: end.ending.clone(),
            owner: self.own.clone(),
            seq: self.seq,
        };
        let key = job.key().clone();
        let request = StoreRequest::Put {
            key: DoneRecord::path(&key),
            value: record.text(),
            expect: Expect::Absent,
            lease: Some(DONE_RETENTION),
        };
        self.journal.call(Tag::Done(key), request, Patience::Endless, cx);
    }

    pub(super) fn on_done(&mut self, i: usize, outcome: Outcome, cx: &mut Context<'_>) {
        let earlier = match outcome {
            Outcome::Conflict(Some(record)) => DoneRecord::read(&record.value),
            Outcome::Written(_) | Outcome::Conflict(None) => None,
            _ => return,
        };
        let job = &mut self.jobs[i];
        let Some(end) = &mut job.end else { return };
        end.step = EndStep::Removing;
        let silent = job.said != Some(Said::Ended);
        if let Some(done) = earlier.filter(|done| silent && done.digest == job.digest) {
            end.ending = done.ending;
        }
        self.remove(i, cx);
    }

    pub(super) fn remove(&mut self, i: usize, cx: &mut Context<'_>) {
        let job = &self.jobs[i];
        let key = job.key().clone();
        let Some(kept) = &job.kept else { return self.on_removed(i, cx) };
        let request = StoreRequest::Delete { key: JobRecord::path(&key), at: kept.at };
        self.journal.call(Tag::Remove(key), request, Patience::Endless, cx);
    }

    /// Removes a record of a job whose end is durable, left by an owner that had it in between.
    pub(super) fn remove_again(&mut self, i: usize, at: Revision, cx: &mut Context<'_>) {
        let job = &self.jobs[i];
        let durable = job.claim == Claim::Owned && !job.gone;
        let settled = job.end.as_ref().is_some_and(|end| end.step == EndStep::Settled);
        if durable && settled {
            let key = job.key().clone();
            let request = StoreRequest::Delete { key: JobRecord::path(&key), at };
            self.journal.call(Tag::Remove(key), request, Patience::Endless, cx);
        }
    }

    pub(super) fn on_removed(&mut self, i: usize, cx: &mut Context<'_>) {
        if let Some(end) = &mut self.jobs[i].end {
            end.step = EndStep::Settled;
        }
        self.forget_old(i, cx);
    }

    /// Lets the workers forget the tasks of attempts that are over.
    pub(super) fn forget_old(&mut self, i: usize, cx: &mut Context<'_>) {
        let mut old = std::mem::take(&mut self.jobs[i].old);
        old.sort();
        for chunk in old.chunk_by(|a, b| a.0 == b.0) {
            let ops = chunk.iter().map(|(_, id)| WorkerOp::Forget { id: id.clone() }).collect();
            self.send_plain(&chunk[0].0, ops, cx);
        }
    }

    /// Drops jobs that nothing is left of here.
    pub(super) fn drop_gone(&mut self, cx: &Context<'_>) {
        let (journal, active) = (&self.journal, self.is_active());
        let now = cx.now;
        self.jobs.retain(|job| {
            let over =
                job.gone || job.end.as_ref().is_some_and(|e| is_over(e, job.claim, active, now));
            !over || journal.has(|tag| tag.key() == Some(job.key()))
        });
    }
}

/// Tells whether an ended job may be dropped. A refusal that left no record doesn't bind a later
/// submission of the same request.
fn is_over(end: &End, claim: Claim, active: bool, now: Moment) -> bool {
    let loose = end.loose || claim == Claim::Memory && matches!(end.ending, Ending::Refused(_));
    end.step == EndStep::Settled && (loose || !active || now.since(end.since) > ENDED_KEEP)
}

/// Tells whether a refusal is of the moment, and no reason to give up what was accepted.
const fn is_passing(code: Code) -> bool {
    matches!(code, Code::QueueFull | Code::Overloaded | Code::NeverFits)
}

/// Tells whether an ending says that nothing ran.
const fn is_unrun(ending: &Ending) -> bool {
    matches!(ending, Ending::Refused(_) | Ending::Cancelled { ran: false })
}

/// Ends a job whose outputs can't be kept whole in a way that tells so to everybody alike.
fn bounded(ending: Ending) -> Ending {
    let Ending::Completed { output } = &ending else { return ending };
    let size: usize = output.iter().map(String::len).sum();
    if size <= OUTPUT_MAX_BYTES {
        return ending;
    }
    let reason = format!("completed, but its outputs of {size} bytes are too large to be kept");
    Ending::Failed { reason }
}

/// Never says "not run" of a job of which an earlier attempt may have run.
fn truthful(ending: Ending, attempt: Attempt, ran: bool) -> Ending {
    match ending {
        // Nothing tells of a start; whoever had the job before may have started it.
        Ending::Failed { reason } if !ran && attempt > Attempt(0) => Ending::Unknown { reason },
        Ending::Failed { reason } if !ran => {
            Ending::Refused(Refusal { code: Code::NeverFits, reason, retry: None })
        }
        Ending::Cancelled { ran } => Ending::Cancelled { ran: ran || attempt > Attempt(0) },
        Ending::Refused(refusal) if attempt > Attempt(0) => {
            let reason = format!("an earlier start may have run; given up: {}", refusal.reason);
            Ending::Unknown { reason }
        }
        ending => ending,
    }
}
