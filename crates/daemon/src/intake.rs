//! Callers' requests: checks, routes and forwards them, and holds the callers who wait.
//!
//! Nothing is ever said not to have run unless every daemon that was handed the job has refused
//! it, and the store has no trace of an earlier submission of the same request.

use bulrushlink_api::{EdgeFault, JobAnswer, ListQuery, StoreReply, StoreRequest, SubmitBody};
use bulrushlink_core::{Code, DaemonId, DesiredState, Error, JobKey, Moment, Refusal, Span, route};

use crate::edge::{CallId, CallerCall, CallerReply, Context, Duty, Output, Token};
use crate::journal::{JobRecord, Journal, PAGE_RECORDS, Patience, SpecDigest};
use crate::members::Members;
use crate::peer::{PeerMessage, Phase};

mod answers;
mod dump;
mod hold;
mod lookup;
mod recent;
mod updates;

#[cfg(test)]
mod tests;

use answers::{error_answer, refusal_answer};
use hold::{Ask, Hold, Submission};
use lookup::Tag;
use recent::Recent;

/// Intake's part of the daemon's rate of store calls.
const STORE_PERCENT: u64 = 20;
/// Pause before an unanswered message is repeated.
const REPEAT_MS: u64 = 1_000;
/// Pause between two questions for the state of a job that is known to be open.
const FOLLOW_MS: u64 = 5_000;
/// Time for a job without a waiting caller to be accepted.
const ACCEPT_BOUND: Span = Span::from_secs(10);
/// Time for a question about a job to be answered.
const STATUS_BOUND: Span = Span::from_secs(5);
/// Time for a cancellation to come to its end while its caller waits.
const CANCEL_BOUND: Span = Span::from_secs(10);
/// Longest wait of a caller.
const WAIT_MAX: Span = Span::from_secs(3600);
/// Time to come back when the daemon is over its limits or stops.
const BUSY_RETRY: Span = Span::from_secs(2);
/// Part of a graceful stop that is kept for the last answers.
const LAST_ANSWERS: Span = Span::from_secs(2);
/// Time that the store has for a page of open jobs.
const LIST_BOUND: Span = Span::from_secs(3);

/// What intake needs to know of the rest of the daemon.
#[derive(Clone, Copy, Debug)]
pub(crate) struct World<'a> {
    /// What is in force here.
    pub(crate) state: Option<&'a DesiredState>,
    /// The daemons of the deployment.
    pub(crate) members: &'a Members,
    /// Life cycle of this daemon.
    pub(crate) phase: Phase,
}

/// Holds the requests that wait for their answer.
#[derive(Debug)]
pub(crate) struct Intake {
    /// Sorted by token.
    holds: Vec<Hold>,
    journal: Journal<Tag>,
    /// Moment at which the graceful stop was noticed.
    draining: Option<Moment>,
    /// Submissions so far.
    submissions: u64,
    recent: Recent,
    rng: fastrand::Rng,
}

impl Intake {
    /// Opens without any request; `seed` has to differ between daemons, so that their retries
    /// spread.
    pub(crate) fn open(now: Moment, seed: u64) -> Self {
        Self {
            holds: Vec::new(),
            journal: Journal::open(Duty::Intake, STORE_PERCENT, now, seed),
            draining: None,
            submissions: 0,
            recent: Recent::default(),
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Takes a caller's request.
    pub(crate) fn on_caller(
        &mut self,
        token: Token,
        call: CallerCall,
        world: World<'_>,
        cx: &mut Context<'_>,
    ) {
        if self.held() >= cx.settings.limits.waiting {
            return Self::answer_overloaded(token, &call, cx);
        }
        match call {
            CallerCall::Submit(body) => self.on_submit(token, body, world, cx),
            CallerCall::Status(query) => {
                let wait = query.wait.unwrap_or_default().min(WAIT_MAX);
                let until = cx.now + wait.max(STATUS_BOUND);
                let ask = Ask::Status { waits: query.wait.is_some(), why: query.why };
                self.hold(Hold::open(token, query.key, ask, until, cx.now), world, cx);
            }
            CallerCall::Cancel(key) => {
                let until = cx.now + CANCEL_BOUND;
                self.hold(Hold::open(token, key, Ask::Cancel, until, cx.now), world, cx);
            }
            CallerCall::List(query) => self.on_list(token, &query, cx),
        }
    }

    fn on_submit(
        &mut self,
        token: Token,
        body: SubmitBody,
        world: World<'_>,
        cx: &mut Context<'_>,
    ) {
        let spec = body.spec();
        let key = spec.key.clone();
        if let Err(error) = spec.check() {
            return reply(token, error_answer(Some(key), &error), cx);
        }
        let wait = body.wait.map(|wait| wait.min(WAIT_MAX));
        self.submissions += 1;
        let digest = SpecDigest::of(&spec);
        let refusal = refuse(&spec, world, cx.now).err();
        let seq = cx.wall << 20 | self.submissions & 0xf_ffff;
        let held = wait.is_some();
        let submission = Submission { spec, digest, held, seq, refusal };
        let until = cx.now + wait.unwrap_or(ACCEPT_BOUND);
        let ask = Ask::Submit(Box::new(submission));
        self.hold(Hold::open(token, key, ask, until, cx.now), world, cx);
    }

    fn hold(&mut self, hold: Hold, world: World<'_>, cx: &mut Context<'_>) {
        let token = hold.token;
        let i = self.holds.partition_point(|other| other.token < token);
        self.holds.insert(i, hold);
        let refused = matches!(&self.holds[i].ask, Ask::Submit(s) if s.refusal.is_some());
        if refused {
            self.look_up(i, cx);
        } else {
            self.press(i, world, cx);
        }
    }

    fn on_list(&mut self, token: Token, query: &ListQuery, cx: &mut Context<'_>) {
        let request = StoreRequest::List {
            prefix: JobRecord::prefix(&query.workspace),
            after: JobRecord::after(&query.workspace, query.after.as_ref()),
            limit: PAGE_RECORDS,
        };
        let tag = Tag::List(token, query.workspace.clone());
        self.journal.call(tag, request, Patience::Until(cx.now + LIST_BOUND), cx);
    }

    fn answer_overloaded(token: Token, call: &CallerCall, cx: &mut Context<'_>) {
        let key = match call {
            CallerCall::Submit(body) => Some(body.spec().key),
            CallerCall::Status(query) => Some(query.key.clone()),
            CallerCall::Cancel(key) => Some(key.clone()),
            CallerCall::List(_) => None,
        };
        let refusal = Refusal {
            code: Code::Overloaded,
            reason: "the daemon holds as many requests as it may; this one was not taken"
                .to_string(),
            retry: Some(BUSY_RETRY),
        };
        let mut answer = refusal_answer(key, &refusal, false);
        if !matches!(call, CallerCall::Submit(_)) {
            answer.state = bulrushlink_api::JobState::Error;
        }
        reply(token, answer, cx);
    }

    /// Takes `Update`.
    pub(crate) fn on_message(
        &mut self,
        from: &DaemonId,
        message: PeerMessage,
        world: World<'_>,
        cx: &mut Context<'_>,
    ) {
        let PeerMessage::Update { domain, key, status, why, digest, seq } = message else { return };
        let update = updates::Update { from: from.clone(), domain, status, why, digest, seq };
        let own = |hold: &Hold| hold.key == key;
        let tokens: Vec<_> = self.holds.iter().filter(|h| own(h)).map(|h| h.token).collect();
        for token in tokens {
            self.on_update(token, &update, world, cx);
        }
    }

    /// Takes a store's answer.
    pub(crate) fn on_store(
        &mut self,
        call: CallId,
        result: Result<StoreReply, EdgeFault>,
        world: World<'_>,
        cx: &mut Context<'_>,
    ) {
        if let Some((tag, outcome)) = self.journal.on_store(call, result, cx) {
            self.on_outcome(tag, outcome, world, cx);
        }
    }

    /// Repeats what has no answer yet, and answers those whose wait is over.
    pub(crate) fn tick(&mut self, world: World<'_>, cx: &mut Context<'_>) {
        for (tag, outcome) in self.journal.tick(cx) {
            self.on_outcome(tag, outcome, world, cx);
        }
        if world.phase == Phase::Draining {
            self.draining.get_or_insert(cx.now);
        }
        let tokens: Vec<_> = self.holds.iter().map(|hold| hold.token).collect();
        for token in tokens {
            self.tick_hold(token, world, cx);
        }
    }

    fn tick_hold(&mut self, token: Token, world: World<'_>, cx: &mut Context<'_>) {
        let Some(i) = self.find(token) else { return };
        let last = self
            .draining
            .is_some_and(|since| cx.now.since(since) + LAST_ANSWERS >= cx.settings.timing.drain);
        let hold = &self.holds[i];
        let leaves = self.draining.is_some() && hold.is_durable();
        if last || leaves || hold.until <= cx.now {
            let answer = hold.present();
            return self.answer(token, answer, cx);
        }
        if hold.due <= cx.now {
            self.press(i, world, cx);
        }
    }

    /// Returns the number of requests that wait.
    pub(crate) fn held(&self) -> usize {
        self.holds.len() + self.journal.open_calls_of(|tag| matches!(tag, Tag::List(..)))
    }

    fn find(&self, token: Token) -> Option<usize> {
        self.holds.binary_search_by_key(&token, |hold| hold.token).ok()
    }

    /// Answers a request that is held, and lets go of it.
    fn answer(&mut self, token: Token, answer: JobAnswer, cx: &mut Context<'_>) {
        if let Some(i) = self.find(token) {
            self.holds.remove(i);
            reply(token, answer, cx);
        }
    }
}

fn reply(token: Token, answer: JobAnswer, cx: &mut Context<'_>) {
    cx.out.push(Output::Caller(token, CallerReply::Job(answer)));
}

/// Checks whether any failure domain could be asked at all.
fn refuse(spec: &bulrushlink_core::JobSpec, world: World<'_>, now: Moment) -> Result<(), Refusal> {
    let Some(state) = world.state else {
        return Err(Refusal {
            code: Code::NoNote,
            reason: "this daemon has not learned any release note yet".to_string(),
            retry: Some(BUSY_RETRY),
        });
    };
    let refusal = match route(spec, state, &world.members.views(now)) {
        Ok(_) => return Ok(()),
        Err(refusal) => refusal,
    };
    if world.phase == Phase::Draining && refusal.code == Code::NoDomain {
        let reason = "the daemon is stopping, and no peer can take the job".to_string();
        return Err(Refusal { code: Code::Stopping, reason, retry: Some(BUSY_RETRY) });
    }
    Err(refusal)
}

/// Names a request whose job the store doesn't have.
fn no_such_job(key: &JobKey) -> Error {
    Error::new(Code::NoSuchJob, format!("there is no job {key}, neither open nor ended"))
}
