//! Callers' requests: checks, routes and forwards them, and keeps those whose callers wait.
//!
//! A submission is only reported as not run if every daemon that was handed the job has refused it
//! and the store has no record of an earlier submission of the same request.

use bulrushlink_api::{EdgeFault, JobAnswer, ListQuery, StoreReply, StoreRequest, SubmitBody};
use bulrushlink_core::{Code, DaemonId, DesiredState, Error, JobKey, Moment, Refusal, Span, route};

use crate::edge::{CallId, CallerAnswer, CallerCall, Component, Context, Output, Token};
use crate::journal::{JobRecord, PAGE_RECORDS, RetryPolicy, SpecDigest, StoreCalls};
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
use hold::{PendingRequest, RequestKind, Submission};
use lookup::Tag;
use recent::RecentSubmissions;

/// Intake's percentage of the daemon's rate of store calls.
const STORE_RATE_PERCENT: u64 = 20;
/// Interval before an unanswered message is sent again.
const RETRY_INTERVAL_MS: u64 = 1_000;
/// Interval between status requests for a job that is known to be open.
const FOLLOW_INTERVAL_MS: u64 = 5_000;
/// How long a job whose caller does not wait for its end may take to be accepted.
const ACCEPT_TIMEOUT: Span = Span::from_secs(10);
/// How long a status request may take to be answered.
const STATUS_TIMEOUT: Span = Span::from_secs(5);
/// How long the caller of a cancellation waits for the end of the job.
const CANCEL_TIMEOUT: Span = Span::from_secs(10);
/// Limit on the wait that a caller can ask for.
const WAIT_MAX: Span = Span::from_secs(3600);
/// Retry delay returned while the daemon is over its limits or stopping.
const BUSY_RETRY_AFTER: Span = Span::from_secs(2);
/// Time at the end of a graceful stop that is reserved for the final answers.
const FINAL_ANSWERS_RESERVE: Span = Span::from_secs(2);
/// How long the store has to return a page of open jobs.
const LIST_TIMEOUT: Span = Span::from_secs(3);

/// State of the rest of the daemon that intake and placer read.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DaemonView<'a> {
    /// The desired state in force here, if any is known.
    pub(crate) state: Option<&'a DesiredState>,
    /// The daemons of the deployment.
    pub(crate) members: &'a Members,
    /// Lifecycle phase of this daemon.
    pub(crate) phase: Phase,
}

/// Keeps the requests that wait for their answers.
#[derive(Debug)]
pub(crate) struct Intake {
    /// Sorted by token.
    requests: Vec<PendingRequest>,
    journal: StoreCalls<Tag>,
    /// When the graceful stop was noticed.
    draining_since: Option<Moment>,
    /// Submissions received so far.
    submissions: u64,
    recent: RecentSubmissions,
    rng: fastrand::Rng,
}

impl Intake {
    /// Creates an intake without requests; `seed` has to differ between daemons so that their
    /// retries are spread.
    pub(crate) fn open(now: Moment, seed: u64) -> Self {
        Self {
            requests: Vec::new(),
            journal: StoreCalls::open(Component::Intake, STORE_RATE_PERCENT, now, seed),
            draining_since: None,
            submissions: 0,
            recent: RecentSubmissions::default(),
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Handles a caller's request.
    pub(crate) fn on_caller(
        &mut self,
        token: Token,
        call: CallerCall,
        view: DaemonView<'_>,
        cx: &mut Context<'_>,
    ) {
        if self.waiting_requests() >= cx.settings.limits.waiting {
            return Self::answer_overloaded(token, &call, cx);
        }
        match call {
            CallerCall::Submit(body) => self.on_submit(token, body, view, cx),
            CallerCall::Status(query) => {
                let wait = query.wait.unwrap_or_default().min(WAIT_MAX);
                let until = cx.now + wait.max(STATUS_TIMEOUT);
                let kind = RequestKind::Status { waits: query.wait.is_some(), why: query.why };
                self.add_pending(
                    PendingRequest::new(token, query.key, kind, until, cx.now),
                    view,
                    cx,
                );
            }
            CallerCall::Cancel(key) => {
                let until = cx.now + CANCEL_TIMEOUT;
                self.add_pending(
                    PendingRequest::new(token, key, RequestKind::Cancel, until, cx.now),
                    view,
                    cx,
                );
            }
            CallerCall::List(query) => self.on_list(token, &query, cx),
        }
    }

    fn on_submit(
        &mut self,
        token: Token,
        body: SubmitBody,
        view: DaemonView<'_>,
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
        let refusal = check_routable(&spec, view, cx.now).err();
        // The wall clock keeps a restarted daemon from repeating a number.
        let seq = cx.wall << 20 | self.submissions & 0xf_ffff;
        let held = wait.is_some();
        let submission = Submission { spec, digest, held, seq, refusal };
        let until = cx.now + wait.unwrap_or(ACCEPT_TIMEOUT);
        let kind = RequestKind::Submit(Box::new(submission));
        self.add_pending(PendingRequest::new(token, key, kind, until, cx.now), view, cx);
    }

    fn add_pending(&mut self, request: PendingRequest, view: DaemonView<'_>, cx: &mut Context<'_>) {
        let token = request.token;
        let i = self.requests.partition_point(|other| other.token < token);
        self.requests.insert(i, request);
        let refused =
            matches!(&self.requests[i].kind, RequestKind::Submit(s) if s.refusal.is_some());
        if refused {
            self.look_up(i, cx);
        } else {
            self.send_messages(i, view, cx);
        }
    }

    fn on_list(&mut self, token: Token, query: &ListQuery, cx: &mut Context<'_>) {
        let request = StoreRequest::List {
            prefix: JobRecord::prefix(&query.workspace),
            after: JobRecord::page_start(&query.workspace, query.after.as_ref()),
            limit: PAGE_RECORDS,
        };
        let tag = Tag::List(token, query.workspace.clone());
        self.journal.call(tag, request, RetryPolicy::Until(cx.now + LIST_TIMEOUT), cx);
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
            retry: Some(BUSY_RETRY_AFTER),
        };
        let mut answer = refusal_answer(key, &refusal, false);
        if !matches!(call, CallerCall::Submit(_)) {
            answer.state = bulrushlink_api::JobState::Error;
        }
        reply(token, answer, cx);
    }

    /// Handles `Update`.
    pub(crate) fn on_message(
        &mut self,
        from: &DaemonId,
        message: PeerMessage,
        view: DaemonView<'_>,
        cx: &mut Context<'_>,
    ) {
        let PeerMessage::Update { domain, key, status, why, digest, seq } = message else { return };
        let update = updates::Update { from: from.clone(), domain, status, why, digest, seq };
        let matches_key = |request: &PendingRequest| request.key == key;
        let tokens: Vec<_> =
            self.requests.iter().filter(|r| matches_key(r)).map(|r| r.token).collect();
        for token in tokens {
            self.on_update(token, &update, view, cx);
        }
    }

    /// Handles the result of a store call.
    pub(crate) fn on_store(
        &mut self,
        call: CallId,
        result: Result<StoreReply, EdgeFault>,
        view: DaemonView<'_>,
        cx: &mut Context<'_>,
    ) {
        if let Some((tag, outcome)) = self.journal.on_store(call, result, cx) {
            self.on_outcome(tag, outcome, view, cx);
        }
    }

    /// Sends unanswered messages again and answers requests whose wait is over.
    pub(crate) fn tick(&mut self, view: DaemonView<'_>, cx: &mut Context<'_>) {
        for (tag, outcome) in self.journal.tick(cx) {
            self.on_outcome(tag, outcome, view, cx);
        }
        if view.phase == Phase::Draining {
            self.draining_since.get_or_insert(cx.now);
        }
        let tokens: Vec<_> = self.requests.iter().map(|request| request.token).collect();
        for token in tokens {
            self.tick_request(token, view, cx);
        }
    }

    fn tick_request(&mut self, token: Token, view: DaemonView<'_>, cx: &mut Context<'_>) {
        let Some(i) = self.find(token) else { return };
        let must_finish = self.draining_since.is_some_and(|since| {
            cx.now.since(since) + FINAL_ANSWERS_RESERVE >= cx.settings.timing.drain
        });
        let request = &self.requests[i];
        let can_ask_elsewhere = self.draining_since.is_some() && request.is_durable();
        if must_finish || can_ask_elsewhere || request.until <= cx.now {
            let answer = request.current_answer();
            return self.answer(token, answer, cx);
        }
        if request.due <= cx.now {
            self.send_messages(i, view, cx);
        }
    }

    /// Returns the number of pending requests, pages of open jobs included.
    pub(crate) fn waiting_requests(&self) -> usize {
        self.requests.len() + self.journal.pending_calls_with(|tag| matches!(tag, Tag::List(..)))
    }

    fn find(&self, token: Token) -> Option<usize> {
        self.requests.binary_search_by_key(&token, |request| request.token).ok()
    }

    /// Answers a pending request and drops it.
    fn answer(&mut self, token: Token, answer: JobAnswer, cx: &mut Context<'_>) {
        if let Some(i) = self.find(token) {
            self.requests.remove(i);
            reply(token, answer, cx);
        }
    }
}

fn reply(token: Token, answer: JobAnswer, cx: &mut Context<'_>) {
    cx.out.push(Output::Caller(token, CallerAnswer::Job(answer)));
}

/// Checks that the job can be routed to some failure domain.
fn check_routable(
    spec: &bulrushlink_core::JobSpec,
    view: DaemonView<'_>,
    now: Moment,
) -> Result<(), Refusal> {
    let Some(state) = view.state else {
        return Err(Refusal {
            code: Code::NoNote,
            reason: "this daemon has not learned any release note yet".to_string(),
            retry: Some(BUSY_RETRY_AFTER),
        });
    };
    let refusal = match route(spec, state, &view.members.views(now)) {
        Ok(_) => return Ok(()),
        Err(refusal) => refusal,
    };
    if view.phase == Phase::Draining && refusal.code == Code::NoDomain {
        let reason = "the daemon is stopping, and no peer can take the job".to_string();
        return Err(Refusal { code: Code::Stopping, reason, retry: Some(BUSY_RETRY_AFTER) });
    }
    Err(refusal)
}

/// Returns the error for a request whose job is not in the store.
fn no_such_job(key: &JobKey) -> Error {
    Error::new(Code::NoSuchJob, format!("there is no job {key}, neither open nor ended"))
}
