//! What other daemons ask of the placer: to take a job, to tell of it, to cancel it.

use bulrushlink_core::{
    Attempt, Code, DaemonId, DomainId, Ending, Event, JobKey, JobSpec, Moment, Refusal, Span, Why,
};

use super::job::{Claim, End, EndStep, Job, Place};
use super::{Placer, Standing};
use crate::edge::Context;
use crate::journal::{JobRecord, Patience, SpecDigest};
use crate::peer::{JobStatus, PeerMessage};

/// Time for which a refused submission is remembered.
const REFUSED_KEEP: Span = Span::from_secs(600);
/// Most refused submissions that are remembered.
const REFUSED_MAX: usize = 20_000;
/// Time to come back when the store doesn't answer.
const STORE_RETRY: Span = Span::from_secs(5);
/// Time that the store has to make a job durable before it is refused.
const CREATE_BOUND: Span = Span::from_secs(1);
/// Time that a cancellation waits to be durable before it is acted on without.
const CANCEL_BOUND: Span = Span::from_secs(1);

/// A job that another daemon hands over.
#[derive(Clone, Debug)]
pub(super) struct Submission {
    pub(super) domain: DomainId,
    pub(super) spec: JobSpec,
    pub(super) held: bool,
    pub(super) attempt: Attempt,
    pub(super) age: Span,
    pub(super) seq: u64,
}

/// A submission that was refused.
#[derive(Debug)]
pub(super) struct Tombstone {
    daemon: DaemonId,
    seq: u64,
    status: JobStatus,
    since: Moment,
}

impl Placer {
    pub(super) fn on_submit(&mut self, from: &DaemonId, submit: Submission, cx: &mut Context<'_>) {
        let key = submit.spec.key.clone();
        if submit.domain != self.domain {
            return self.answer(from, &key, JobStatus::NotHere, Some(submit.seq), cx);
        }
        if let Ok(i) = self.find_refusal(from, submit.seq) {
            let status = self.refused[i].status.clone();
            return self.answer(from, &key, status, Some(submit.seq), cx);
        }
        match self.find(&key) {
            Ok(i) if self.jobs[i].gone => {
                self.answer(from, &key, JobStatus::NotPlacing, None, cx);
            }
            Ok(i) => self.join(i, from, &submit, cx),
            Err(_) if !self.is_active() => {
                self.answer(from, &key, JobStatus::NotPlacing, None, cx);
            }
            Err(i) => self.take_submission(i, from, submit, cx),
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
            Ok(i) if *domain == self.domain && !self.jobs[i].gone => {
                self.jobs[i].follow(from, None, cx.now);
                self.tell(i, from, why, cx);
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
            Ok(i) if *domain == self.domain && !self.jobs[i].gone => {
                self.jobs[i].follow(from, None, cx.now);
                self.cancel(i, cx);
                self.tell(i, from, false, cx);
            }
            _ => self.answer_unknown(from, domain, key, cx),
        }
    }

    fn answer_unknown(&self, to: &DaemonId, domain: &DomainId, key: &JobKey, cx: &mut Context<'_>) {
        let sure = matches!(self.standing, Standing::Active) || *domain != self.domain;
        let status = if sure { JobStatus::NotHere } else { JobStatus::NotPlacing };
        self.answer(to, key, status, None, cx);
    }

    /// Adds a repeat, or a submission through another daemon, to a job that is known.
    fn join(&mut self, i: usize, from: &DaemonId, submit: &Submission, cx: &mut Context<'_>) {
        let job = &mut self.jobs[i];
        if job.digest != SpecDigest::of(&submit.spec) {
            let key = submit.spec.key.clone();
            return self.answer(from, &key, JobStatus::Conflict, Some(submit.seq), cx);
        }
        job.held |= submit.held;
        job.follow(from, Some(submit.seq), cx.now);
        let status = job.status(self.journal.is_down(), cx.now);
        self.update(i, from, status, Some(submit.seq), cx);
    }

    fn take_submission(
        &mut self,
        i: usize,
        from: &DaemonId,
        submit: Submission,
        cx: &mut Context<'_>,
    ) {
        let light = submit.held && submit.spec.idempotent;
        let refusal = if light {
            None
        } else if self.journal.is_down() {
            Some(store_refusal())
        } else {
            self.journal.is_overloaded(cx).then(crowded_refusal)
        };
        if let Some(refusal) = refusal {
            let key = submit.spec.key.clone();
            let status = JobStatus::Unsure(refusal);
            self.remember_refusal(from, submit.seq, &status, cx.now);
            return self.answer(from, &key, status, Some(submit.seq), cx);
        }
        let mut job = self.new_job(submit.spec, submit.age, submit.held, cx);
        job.taken = submit.attempt > Attempt(0);
        job.follow(from, Some(submit.seq), cx.now);
        let key = job.key().clone();
        self.jobs.insert(i, job);
        if matches!(self.standing, Standing::Active) {
            self.enter(&key, cx);
            self.drain(cx);
        }
        let Ok(i) = self.find(&key) else { return };
        let (ended, claim) = (self.jobs[i].end.is_some(), self.jobs[i].claim);
        if ended && claim == Claim::Memory {
            self.probe(i, cx);
        } else if !ended {
            let brief = Patience::Bounded(CREATE_BOUND);
            self.create(i, if light { Patience::Endless } else { brief }, cx);
        }
    }

    pub(super) fn new_job(&self, spec: JobSpec, age: Span, held: bool, cx: &Context<'_>) -> Job {
        let wanted = JobRecord {
            spec: spec.clone(),
            domain: self.domain.clone(),
            owner: self.own.clone(),
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
            claim: Claim::Memory,
            kept: None,
            wanted,
            writing: None,
            ran: false,
            taken: false,
            verifying: None,
            verified: None,
            place: Place::Out,
            committed: false,
            doubtful: false,
            cancel: None,
            offered: None,
            end: None,
            gone: false,
            followers: Vec::new(),
            said: None,
            old: Vec::new(),
        }
    }

    fn cancel(&mut self, i: usize, cx: &mut Context<'_>) {
        let job = &mut self.jobs[i];
        if job.end.is_some() || job.cancel.is_some() || job.wanted.cancelled {
            return;
        }
        job.wanted.cancelled = true;
        job.cancel = Some(cx.now);
        self.sync(i, cx);
        self.press_cancel(i, cx);
    }

    /// Lets the scheduler hear of a cancellation once it is durable, or can't be made so.
    pub(super) fn press_cancel(&mut self, i: usize, cx: &Context<'_>) {
        let job = &self.jobs[i];
        let Some(since) = job.cancel else { return };
        let kept = job.kept.as_ref().is_some_and(|kept| kept.record.cancelled);
        let late = self.journal.is_down() || cx.now.since(since) > CANCEL_BOUND;
        let known = matches!(job.place, Place::Waiting | Place::Placed(_));
        if known && (kept || late || job.claim == Claim::Memory) {
            let key = job.key().clone();
            self.jobs[i].cancel = None;
            self.events.push_back(Event::Cancel(key));
        }
    }

    /// Refuses a job that the store couldn't make durable; it certainly isn't there.
    pub(super) fn refuse_undurable(&mut self, i: usize, cx: &mut Context<'_>) {
        self.withdraw(i, cx);
        let down = self.journal.is_down();
        let refusal = if down { store_refusal() } else { crowded_refusal() };
        let mut end = End::open(Ending::Refused(refusal), cx.now);
        (end.step, end.unsure) = (EndStep::Settled, true);
        self.jobs[i].end = Some(end);
        self.jobs[i].claim = Claim::Memory;
    }

    fn remember_refusal(&mut self, daemon: &DaemonId, seq: u64, status: &JobStatus, now: Moment) {
        let Err(i) = self.find_refusal(daemon, seq) else { return };
        let (daemon, status) = (daemon.clone(), status.clone());
        self.refused.insert(i, Tombstone { daemon, seq, status, since: now });
        if self.refused.len() > REFUSED_MAX {
            let mut ages: Vec<_> = self.refused.iter().map(|t| t.since).collect();
            ages.sort();
            let middle = ages[REFUSED_MAX / 2];
            self.refused.retain(|t| t.since > middle);
        }
    }

    fn find_refusal(&self, daemon: &DaemonId, seq: u64) -> Result<usize, usize> {
        self.refused.binary_search_by(|t| (&t.daemon, t.seq).cmp(&(daemon, seq)))
    }

    /// Forgets refusals whose repeats can't come any more.
    pub(super) fn tick_refused(&mut self, now: Moment) {
        self.refused.retain(|t| now.since(t.since) <= REFUSED_KEEP);
    }

    /// Tells all followers what has changed.
    pub(super) fn publish(&mut self, cx: &mut Context<'_>) {
        let down = self.journal.is_down();
        for i in 0..self.jobs.len() {
            let said = Some(self.jobs[i].said(down, cx.now));
            if self.jobs[i].gone || self.jobs[i].said == said {
                continue;
            }
            self.jobs[i].said = said;
            let status = self.jobs[i].status(down, cx.now);
            self.notify(i, &status, cx);
        }
    }

    /// Sends a state to all followers, and remembers what is refused.
    pub(super) fn notify(&mut self, i: usize, status: &JobStatus, cx: &mut Context<'_>) {
        let followers = self.jobs[i].followers.clone();
        let now = cx.now;
        let is_refusal = matches!(status, JobStatus::Refused(_) | JobStatus::Unsure(_));
        for follower in followers.iter().filter(|f| f.until >= now) {
            if !is_refusal {
                self.update(i, &follower.daemon, status.clone(), None, cx);
                continue;
            }
            for seq in &follower.seqs {
                self.remember_refusal(&follower.daemon, *seq, status, now);
                self.update(i, &follower.daemon, status.clone(), Some(*seq), cx);
            }
        }
    }

    fn update(
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

    fn tell(&self, i: usize, to: &DaemonId, why: bool, cx: &mut Context<'_>) {
        let job = &self.jobs[i];
        let why =
            why.then(|| self.scheduler.why(job.key()).unwrap_or_else(|| unplaced(job, cx.now)));
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

    fn answer(
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

/// Explains a job that the scheduler doesn't have.
fn unplaced(job: &Job, now: Moment) -> Why {
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

fn crowded_refusal() -> Refusal {
    Refusal {
        code: Code::Overloaded,
        reason: "more jobs come than may be written to the store; this submission is not run"
            .to_string(),
        retry: Some(STORE_RETRY),
    }
}

fn store_refusal() -> Refusal {
    Refusal {
        code: Code::StoreUnavailable,
        reason: "the store can't make the job durable now; this submission is not run".to_string(),
        retry: Some(STORE_RETRY),
    }
}
