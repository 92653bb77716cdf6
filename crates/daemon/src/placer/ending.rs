//! The end of a job: it is written to the store, then published, then the workers drop the tasks.

use bulrushlink_api::{Expect, Revision, StoreRequest, WorkerOp};
use bulrushlink_core::{Attempt, Code, Ending, JobKey, Moment, Refusal, Span};

use super::Placer;
use super::job::{End, EndStep, PublicState, RecordState, Stage};
use crate::edge::Context;
use crate::journal::{DONE_RETENTION, DoneRecord, JobRecord, Outcome, RetryPolicy};
use crate::placer::records::Tag;

/// Limit on the total size of a job's outputs; JSON escaping can double it within a store value.
const OUTPUT_MAX_BYTES: usize = 450_000;
/// Job age below which a job that fits on no set of workers keeps waiting for workers to return.
const NEVER_FITS_WAIT: Span = Span::from_secs(60);
/// Delay before an accepted job that was refused for lack of room is routed again.
const REROUTE_DELAY: Span = Span::from_secs(5);
/// How long an ended job is kept in memory.
const ENDED_RETENTION: Span = Span::from_secs(60);

impl Placer {
    /// Handles the scheduler's decision that a job has ended.
    pub(super) fn finish(&mut self, key: &JobKey, ending: Ending, cx: &mut Context<'_>) {
        let Ok(i) = self.find(key) else { return };
        let job = &mut self.jobs[i];
        if job.abandoned || job.end.is_some() || matches!(job.stage, Stage::Out) {
            return;
        }
        job.stage = Stage::Out;
        job.cancel = None;
        let transient = matches!(&ending, Ending::Refused(refusal) if is_transient(refusal.code));
        let never_fits =
            matches!(&ending, Ending::Refused(refusal) if refusal.code == Code::NeverFits);
        let may_wait = !never_fits || job.age(cx.now) < NEVER_FITS_WAIT;
        let accepted = job.record_state == RecordState::Owned || job.taken;
        if transient && accepted && may_wait {
            // An accepted job is not given up for lack of room.
            job.stage = Stage::Leaving(cx.now + REROUTE_DELAY);
            return;
        }
        // A job taken over from another owner may have run there, whatever its record says.
        let min_started = Attempt(u32::from(job.taken && job.spec.idempotent));
        let started = job.attempt.max(min_started);
        let mut end =
            End::new(limit_output(account_for_earlier_starts(ending, started, job.ran)), cx.now);
        end.nonbinding = transient && !accepted;
        job.end = Some(end);
        self.advance_end(i, cx);
    }

    /// Takes the next step of writing a job's end to the store.
    pub(super) fn advance_end(&mut self, i: usize, cx: &mut Context<'_>) {
        let job = &mut self.jobs[i];
        let Some(end) = &mut job.end else { return };
        if end.step != EndStep::Open {
            return;
        }
        match job.record_state {
            // Settled by the store reads of `probe_earlier`.
            RecordState::Memory if matches!(end.ending, Ending::Refused(_)) => {}
            RecordState::Memory if says_never_ran(&end.ending) => {
                end.step = EndStep::Settled;
                self.forget_ended_tasks(i, cx);
            }
            // The job ran without a record, and another owner may have one. The end must be
            // durable before the workers forget the tasks, or that owner would report a different
            // end.
            RecordState::Memory => self.create_record(i, RetryPolicy::Unlimited, cx),
            RecordState::Creating if says_never_ran(&end.ending) => self.cancel_record_write(i, cx),
            RecordState::Owned if job.writing.is_some() => {}
            // Other daemons may have seen the record and reported the job as accepted.
            RecordState::Owned if end.nonbinding => {
                end.nonbinding = false;
                self.advance_end(i, cx);
            }
            // Another owner may have seen the job complete although this one did not.
            RecordState::Owned
                if !end.reconfirmed && !matches!(end.ending, Ending::Completed { .. }) =>
            {
                end.reconfirmed = true;
                self.write_record(i, RetryPolicy::Unlimited, cx);
            }
            RecordState::Owned => self.write_done(i, cx),
            _ => {}
        }
    }

    /// Cancels the creation of a record that has not been sent, for a job that did not run.
    fn cancel_record_write(&mut self, i: usize, cx: &mut Context<'_>) {
        let tag = Tag::Record(self.jobs[i].key().clone());
        if !self.journal.remove_unsent(|other| *other == tag) {
            return;
        }
        let job = &mut self.jobs[i];
        job.writing = None;
        job.record_state = RecordState::Memory;
        if matches!(job.end.as_ref().map(|end| &end.ending), Some(Ending::Refused(_))) {
            self.probe_earlier(i, cx);
        } else {
            self.advance_end(i, cx);
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
            owner: self.owner.clone(),
            seq: self.seq,
        };
        let key = job.key().clone();
        let request = StoreRequest::Put {
            key: DoneRecord::store_key(&key),
            value: record.to_json(),
            expect: Expect::Absent,
            lease: Some(DONE_RETENTION),
        };
        self.journal.call(Tag::Done(key), request, RetryPolicy::Unlimited, cx);
    }

    pub(super) fn on_done_written(&mut self, i: usize, outcome: Outcome, cx: &mut Context<'_>) {
        let earlier = match outcome {
            Outcome::Conflict(Some(record)) => DoneRecord::from_json(&record.value),
            Outcome::Written(_) | Outcome::Conflict(None) => None,
            _ => return,
        };
        let job = &mut self.jobs[i];
        let Some(end) = &mut job.end else { return };
        end.step = EndStep::Removing;
        let unpublished = job.published != Some(PublicState::Ended);
        if let Some(done) = earlier.filter(|done| unpublished && done.digest == job.digest) {
            end.ending = done.ending;
        }
        self.remove_record(i, cx);
    }

    pub(super) fn remove_record(&mut self, i: usize, cx: &mut Context<'_>) {
        let job = &self.jobs[i];
        let key = job.key().clone();
        let Some(stored) = &job.stored else { return self.on_removed(i, cx) };
        let request = StoreRequest::Delete { key: JobRecord::store_key(&key), at: stored.at };
        self.journal.call(Tag::Remove(key), request, RetryPolicy::Unlimited, cx);
    }

    /// Removes the record that an interim owner left behind for a job whose end is durable.
    pub(super) fn remove_stale_record(&mut self, i: usize, at: Revision, cx: &mut Context<'_>) {
        let job = &self.jobs[i];
        let durable = job.record_state == RecordState::Owned && !job.abandoned;
        let settled = job.end.as_ref().is_some_and(|end| end.step == EndStep::Settled);
        if durable && settled {
            let key = job.key().clone();
            let request = StoreRequest::Delete { key: JobRecord::store_key(&key), at };
            self.journal.call(Tag::Remove(key), request, RetryPolicy::Unlimited, cx);
        }
    }

    pub(super) fn on_removed(&mut self, i: usize, cx: &mut Context<'_>) {
        if let Some(end) = &mut self.jobs[i].end {
            end.step = EndStep::Settled;
        }
        self.forget_ended_tasks(i, cx);
    }

    /// Tells the workers to forget the tasks of finished attempts.
    pub(super) fn forget_ended_tasks(&mut self, i: usize, cx: &mut Context<'_>) {
        let mut tasks = std::mem::take(&mut self.jobs[i].ended_tasks);
        tasks.sort();
        for chunk in tasks.chunk_by(|a, b| a.0 == b.0) {
            let ops = chunk.iter().map(|(_, id)| WorkerOp::Forget { id: id.clone() }).collect();
            self.send_best_effort(&chunk[0].0, ops, cx);
        }
    }

    /// Drops jobs that need no further work here.
    pub(super) fn drop_finished_jobs(&mut self, cx: &Context<'_>) {
        let (journal, active) = (&self.journal, self.is_placer());
        let now = cx.now;
        self.jobs.retain(|job| {
            let finished = job.abandoned
                || job.end.as_ref().is_some_and(|e| is_droppable(e, job.record_state, active, now));
            !finished || journal.has_pending(|tag| tag.key() == Some(job.key()))
        });
    }
}

/// Returns true if an ended job may be dropped. A refusal that left no record does not bind a
/// later submission of the same request.
fn is_droppable(end: &End, record_state: RecordState, active: bool, now: Moment) -> bool {
    let nonbinding = end.nonbinding
        || record_state == RecordState::Memory && matches!(end.ending, Ending::Refused(_));
    end.step == EndStep::Settled
        && (nonbinding || !active || now.since(end.since) > ENDED_RETENTION)
}

/// Returns true if a refusal reflects a temporary condition, which is no reason to give up an
/// accepted job.
const fn is_transient(code: Code) -> bool {
    matches!(code, Code::QueueFull | Code::Overloaded | Code::NeverFits)
}

/// Returns true if an ending asserts that nothing ran.
const fn says_never_ran(ending: &Ending) -> bool {
    matches!(ending, Ending::Refused(_) | Ending::Cancelled { ran: false })
}

/// Turns a completion whose outputs are too large to store into a failure, so that every caller
/// gets the same answer.
fn limit_output(ending: Ending) -> Ending {
    let Ending::Completed { output } = &ending else { return ending };
    let size: usize = output.iter().map(String::len).sum();
    if size <= OUTPUT_MAX_BYTES {
        return ending;
    }
    let reason = format!("completed, but its outputs of {size} bytes are too large to be kept");
    Ending::Failed { reason }
}

/// Makes an ending agree with what is known about starts: it must not assert "not run" if an
/// earlier attempt may have run, and the failure of a job that certainly never started becomes a
/// refusal.
fn account_for_earlier_starts(ending: Ending, attempt: Attempt, ran: bool) -> Ending {
    match ending {
        // No start is known here, but a previous owner may have started the job.
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
