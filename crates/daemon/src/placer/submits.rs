//! Requests of other daemons: to accept a job, to report on it, to cancel it.

use bulrushlink_core::{
    Attempt, Code, DaemonId, DomainId, Ending, Event, JobKey, JobSpec, Moment, Refusal, Span, Why,
};

use super::job::{End, EndStep, Job, RecordState, Stage};
use super::{Mode, Placer};
use crate::edge::Context;
use crate::journal::{JobRecord, RetryPolicy, SpecDigest};
use crate::peer::{JobStatus, PeerMessage};

/// How long a refused submission is remembered.
const REFUSAL_RETENTION: Span = Span::from_secs(600);
/// Limit on remembered refused submissions.
const REFUSALS_MAX: usize = 20_000;
/// Retry delay returned while the store does not answer or has too many calls pending.
const STORE_RETRY_AFTER: Span = Span::from_secs(5);
/// How long the store has to make a job durable before the job is refused.
const CREATE_TIMEOUT: Span = Span::from_secs(1);
/// How long a cancellation waits to be durable before it is acted on anyway.
const CANCEL_DURABLE_TIMEOUT: Span = Span::from_secs(1);

/// A job submitted or handed over by another daemon.
#[derive(Clone, Debug)]
pub(super) struct Submission {
    pub(super) domain: DomainId,
    pub(super) spec: JobSpec,
    pub(super) held: bool,
    pub(super) attempt: Attempt,
    pub(super) age: Span,
    pub(super) seq: u64,
}

/// A refused submission, kept so that its repeats get the same answer.
#[derive(Debug)]
pub(super) struct RefusedSubmission {
    daemon: DaemonId,
    seq: u64,
    status: JobStatus,
    since: Moment,
}

impl Placer {
    pub(super) fn on_submit(&mut self, from: &DaemonId, submit: Submission, cx: &mut Context<'_>) {
        let key = submit.spec.key.clone();
        if submit.domain != self.domain {
            return self.send_answer(from, &key, JobStatus::NotHere, Some(submit.seq), cx);
        }
        if let Ok(i) = self.find_refusal(from, submit.seq) {
            let status = self.refusals[i].status.clone();
            return self.send_answer(from, &key, status, Some(submit.seq), cx);
        }
        match self.find(&key) {
            Ok(i) if self.jobs[i].abandoned => {
                self.send_answer(from, &key, JobStatus::NotPlacing, None, cx);
            }
            Ok(i) => self.join_job(i, from, &submit, cx),
            Err(_) if !self.is_placer() => {
                self.send_answer(from, &key, JobStatus::NotPlacing, None, cx);
            }
            Err(i) => self.accept_submission(i, from, submit, cx),
        }
    }

    pub(super) fn on_follow(
        &mut self,
        from: &DaemonId,
        domain: &DomainId,
        key: &JobKey,
        why: bool,
        cx: &mut Context<'_>,
    ) {
        match self.find(key) {
            Ok(i) if *domain == self.domain && !self.jobs[i].abandoned => {
                self.jobs[i].follow(from, None, cx.now);
                self.send_status(i, from, why, cx);
            }
            _ => self.answer_unknown(from, domain, key, cx),
        }
    }

    pub(super) fn on_cancel(
        &mut self,
        from: &DaemonId,
        domain: &DomainId,
        key: &JobKey,
        cx: &mut Context<'_>,
    ) {
        match self.find(key) {
            Ok(i) if *domain == self.domain && !self.jobs[i].abandoned => {
                self.jobs[i].follow(from, None, cx.now);
                self.cancel_job(i, cx);
                self.send_status(i, from, false, cx);
            }
            _ => self.answer_unknown(from, domain, key, cx),
        }
    }

    fn answer_unknown(&self, to: &DaemonId, domain: &DomainId, key: &JobKey, cx: &mut Context<'_>) {
        let sure = matches!(self.mode, Mode::Active) || *domain != self.domain;
        let status = if sure { JobStatus::NotHere } else { JobStatus::NotPlacing };
        self.send_answer(to, key, status, None, cx);
    }

    /// Adds a repeated submission, or one through another daemon, to a known job.
    fn join_job(&mut self, i: usize, from: &DaemonId, submit: &Submission, cx: &mut Context<'_>) {
        let job = &mut self.jobs[i];
        if job.digest != SpecDigest::of(&submit.spec) {
            let key = submit.spec.key.clone();
            return self.send_answer(from, &key, JobStatus::Conflict, Some(submit.seq), cx);
        }
        job.held |= submit.held;
        job.follow(from, Some(submit.seq), cx.now);
        let status = job.status(self.journal.is_down(), cx.now);
        self.send_update(i, from, status, Some(submit.seq), cx);
    }

    fn accept_submission(
        &mut self,
        i: usize,
        from: &DaemonId,
        submit: Submission,
        cx: &mut Context<'_>,
    ) {
        let may_run_unrecorded = submit.held && submit.spec.idempotent;
        let refusal = if may_run_unrecorded {
            None
        } else if self.journal.is_down() {
            Some(store_refusal())
        } else {
            self.journal.is_overloaded(cx).then(overload_refusal)
        };
        if let Some(refusal) = refusal {
            let key = submit.spec.key.clone();
            let status = JobStatus::Unsure(refusal);
            self.remember_refusal(from, submit.seq, &status, cx.now);
            return self.send_answer(from, &key, status, Some(submit.seq), cx);
        }
        let mut job = self.new_job(submit.spec, submit.age, submit.held, cx);
        job.taken = submit.attempt > Attempt(0);
        job.follow(from, Some(submit.seq), cx.now);
        let key = job.key().clone();
        self.jobs.insert(i, job);
        if matches!(self.mode, Mode::Active) {
            self.hand_to_scheduler(&key, cx);
            self.process_events(cx);
        }
        let Ok(i) = self.find(&key) else { return };
        let (ended, record_state) = (self.jobs[i].end.is_some(), self.jobs[i].record_state);
        if ended && record_state == RecordState::Memory {
            self.probe_earlier(i, cx);
        } else if !ended {
            let bounded = RetryPolicy::Bounded(CREATE_TIMEOUT);
            self.create_record(
                i,
                if may_run_unrecorded { RetryPolicy::Unlimited } else { bounded },
                cx,
            );
        }
    }

    pub(super) fn new_job(&self, spec: JobSpec, age: Span, held: bool, cx: &Context<'_>) -> Job {
        let desired = JobRecord {
            spec: spec.clone(),
            domain: self.domain.clone(),
            owner: self.owner.clone(),
            epoch: 1,
            seq: 0,
            attempt: Attempt::default(),
            intent: None,
            submitted: cx.wall.saturating_sub(age.0),
            cancelled: false,
        };
        Job {
            digest: SpecDigest::of(&spec),
            spec,
            submitted: cx.now,
            age,
            held,
            attempt: Attempt::default(),
            record_state: RecordState::Memory,
            stored: None,
            desired,
            writing: None,
            ran: false,
            taken: false,
            verifying: None,
            verified: None,
            stage: Stage::Out,
            committed: false,
            uncertain: false,
            cancel: None,
            offered: None,
            end: None,
            abandoned: false,
            followers: Vec::new(),
            published: None,
            ended_tasks: Vec::new(),
        }
    }

    fn cancel_job(&mut self, i: usize, cx: &mut Context<'_>) {
        let job = &mut self.jobs[i];
        if job.end.is_some() || job.cancel.is_some() || job.desired.cancelled {
            return;
        }
        job.desired.cancelled = true;
        job.cancel = Some(cx.now);
        self.sync_record(i, cx);
        self.forward_cancel(i, cx);
    }

    /// Passes a cancellation to the scheduler once it is durable or cannot be made durable.
    pub(super) fn forward_cancel(&mut self, i: usize, cx: &Context<'_>) {
        let job = &self.jobs[i];
        let Some(since) = job.cancel else { return };
        let stored = job.stored.as_ref().is_some_and(|stored| stored.record.cancelled);
        let late = self.journal.is_down() || cx.now.since(since) > CANCEL_DURABLE_TIMEOUT;
        let known = matches!(job.stage, Stage::Waiting | Stage::Placed(_));
        if known && (stored || late || job.record_state == RecordState::Memory) {
            let key = job.key().clone();
            self.jobs[i].cancel = None;
            self.events.push_back(Event::Cancel(key));
        }
    }

    /// Refuses a job that the store could not make durable; its record certainly does not exist.
    pub(super) fn refuse_undurable(&mut self, i: usize, cx: &mut Context<'_>) {
        self.withdraw(i, cx);
        let down = self.journal.is_down();
        let refusal = if down { store_refusal() } else { overload_refusal() };
        let mut end = End::new(Ending::Refused(refusal), cx.now);
        (end.step, end.unsure) = (EndStep::Settled, true);
        self.jobs[i].end = Some(end);
        self.jobs[i].record_state = RecordState::Memory;
    }

    fn remember_refusal(&mut self, daemon: &DaemonId, seq: u64, status: &JobStatus, now: Moment) {
        let Err(i) = self.find_refusal(daemon, seq) else { return };
        let (daemon, status) = (daemon.clone(), status.clone());
        self.refusals.insert(i, RefusedSubmission { daemon, seq, status, since: now });
        // Drops the older half.
        if self.refusals.len() > REFUSALS_MAX {
            let mut times: Vec<_> = self.refusals.iter().map(|r| r.since).collect();
            times.sort();
            let middle = times[REFUSALS_MAX / 2];
            self.refusals.retain(|r| r.since > middle);
        }
    }

    fn find_refusal(&self, daemon: &DaemonId, seq: u64) -> Result<usize, usize> {
        self.refusals.binary_search_by(|r| (&r.daemon, r.seq).cmp(&(daemon, seq)))
    }

    /// Drops refusals whose repeats can no longer arrive.
    pub(super) fn tick_refusals(&mut self, now: Moment) {
        self.refusals.retain(|r| now.since(r.since) <= REFUSAL_RETENTION);
    }

    /// Sends changed states to the followers.
    pub(super) fn publish(&mut self, cx: &mut Context<'_>) {
        let down = self.journal.is_down();
        for i in 0..self.jobs.len() {
            let state = Some(self.jobs[i].public_state(down, cx.now));
            if self.jobs[i].abandoned || self.jobs[i].published == state {
                continue;
            }
            self.jobs[i].published = state;
            let status = self.jobs[i].status(down, cx.now);
            self.notify_followers(i, &status, cx);
        }
    }

    /// Sends a status to all followers, and remembers it if it is a refusal.
    pub(super) fn notify_followers(&mut self, i: usize, status: &JobStatus, cx: &mut Context<'_>) {
        let followers = self.jobs[i].followers.clone();
        let now = cx.now;
        let is_refusal = matches!(status, JobStatus::Refused(_) | JobStatus::Unsure(_));
        for follower in followers.iter().filter(|f| f.until >= now) {
            if !is_refusal {
                self.send_update(i, &follower.daemon, status.clone(), None, cx);
                continue;
            }
            for seq in &follower.seqs {
                self.remember_refusal(&follower.daemon, *seq, status, now);
                self.send_update(i, &follower.daemon, status.clone(), Some(*seq), cx);
            }
        }
    }

    /// Sends a status of a known job; `seq` names the submission that it answers, if any.
    fn send_update(
        &self,
        i: usize,
        to: &DaemonId,
        status: JobStatus,
        seq: Option<u64>,
        cx: &mut Context<'_>,
    ) {
        let job = &self.jobs[i];
        let update = PeerMessage::Update {
            domain: self.domain.clone(),
            key: job.key().clone(),
            status,
            why: None,
            digest: Some(job.digest.clone()),
            seq,
        };
        cx.out.peer(to, update);
    }

    /// Sends the current status of a known job, with the reason for it if `why` is true.
    fn send_status(&self, i: usize, to: &DaemonId, why: bool, cx: &mut Context<'_>) {
        let job = &self.jobs[i];
        let why = why.then(|| {
            self.scheduler.why(job.key()).unwrap_or_else(|| explain_unscheduled(job, cx.now))
        });
        let update = PeerMessage::Update {
            domain: self.domain.clone(),
            key: job.key().clone(),
            status: job.status(self.journal.is_down(), cx.now),
            why,
            digest: Some(job.digest.clone()),
            seq: None,
        };
        cx.out.peer(to, update);
    }

    /// Sends a status that describes no job known here, and therefore carries no digest.
    fn send_answer(
        &self,
        to: &DaemonId,
        key: &JobKey,
        status: JobStatus,
        seq: Option<u64>,
        cx: &mut Context<'_>,
    ) {
        let update = PeerMessage::Update {
            domain: self.domain.clone(),
            key: key.clone(),
            status,
            why: None,
            digest: None,
            seq,
        };
        cx.out.peer(to, update);
    }
}

/// Explains the state of a job that the scheduler does not have.
fn explain_unscheduled(job: &Job, now: Moment) -> Why {
    let text = match job.end {
        Some(_) => "has ended; the end is being written to the store",
        None => "the record in the store is being settled",
    };
    Why {
        phase: "waiting".to_string(),
        text: text.to_string(),
        placement: Vec::new(),
        age: job.age(now),
        decided: now,
    }
}

fn overload_refusal() -> Refusal {
    Refusal {
        code: Code::Overloaded,
        reason: "more jobs come than may be written to the store; this submission is not run"
            .to_string(),
        retry: Some(STORE_RETRY_AFTER),
    }
}

fn store_refusal() -> Refusal {
    Refusal {
        code: Code::StoreUnavailable,
        reason: "the store can't make the job durable now; this submission is not run".to_string(),
        retry: Some(STORE_RETRY_AFTER),
    }
}
