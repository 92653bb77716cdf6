//! Requests of callers. The daemon that receives a request serves it with one or two store calls.
//!
//! A job is accepted by a single conditional commit, so any daemon can serve a retry of the same
//! request. A request is refused as "not accepted" only when none of its commits can still take
//! effect.

use bulrushlink_core::{Moment, Span};

use crate::catalog::{Catalog, Denial, Grant};
use crate::edge::{
    Answer, CallerCall, CallerVerb, Clock, Commit, Fault, Output, RequestId, ShownState, StoreOp,
    StoreReply, Subject, Tag,
};
use crate::ids::{JobId, Rev};
use crate::load_view::LoadView;
use crate::record::{Item, JobRecord, Outcome, keys};
use crate::settings::Bounds;
use crate::view::View;

mod access;
mod admit;
mod commit;

use commit::{creation_commit, require_catalog};

/// Timeout of a caller that sends none.
const CALLER_TIMEOUT_DEFAULT: Span = Span(3_000);
/// Upper limit of the time reserved for the answer to reach the caller before its timeout.
const ANSWER_MARGIN_MAX: Span = Span(200);
/// For short timeouts, the margin is the timeout divided by this.
const ANSWER_MARGIN_DIVISOR: u64 = 4;
/// Timeout of a store call; a slow store takes about 400 ms.
const STORE_TIMEOUT: Span = Span(900);
/// Delay before a store call is retried.
const RETRY_DELAY: Span = Span(80);
/// Failed calls, none of which can have taken effect, after which a request is refused.
const FAULTS_MAX: u32 = 2;
/// Retry-after of a request refused because the store is unreachable; outages last seconds.
const UNAVAILABLE_RETRY_AFTER: Span = Span(1_000);
/// Retry-after of a request refused because this daemon has too many in flight.
const BUSY_RETRY_AFTER: Span = Span(1_000);
/// Maximum number of requests in flight; at 5 KB each they take 10 MB.
const REQUESTS_MAX: usize = 2_000;

/// Ordinal of a store call within its request; replies to earlier calls are ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrontTag(u32);

#[derive(Clone, Debug, PartialEq, Eq)]
enum Stage {
    /// Waits for a read of the configuration that began after the request arrived.
    AwaitingView,
    /// Waits for the reply to the commit that creates the job, or for the time of its retry.
    /// Each stage below waits in the same way for its own call.
    Submitting(JobId),
    ReadingState(JobId),
    /// Reads the job before it is created, under a large configuration.
    LookingUp(JobId),
    CountingPending {
        counted: usize,
    },
    /// Reads the state before a cancellation, to check that the caller may cancel the job.
    CheckingState(JobId),
    Cancelling(JobId),
}

#[derive(Debug)]
struct Request {
    id: RequestId,
    call: CallerCall,
    arrived: Moment,
    deadline: Moment,
    stage: Stage,
    ordinal: u32,
    /// Time of the next retry; `None` while a call is in flight or the view is awaited.
    retry: Option<Moment>,
    /// A commit of this request may have taken effect, or may still do so.
    outcome_unknown: bool,
    /// It waits for the view only because an earlier request does.
    follows: bool,
    /// The submitted job was not in the store when it was last looked up.
    absent: bool,
    faults: u32,
}

/// The requests in flight, sorted by identifier.
#[derive(Debug, Default)]
pub(crate) struct Front {
    requests: Vec<Request>,
}

/// State of the node that the handling of a request needs.
pub(crate) struct Context<'a> {
    pub(crate) clock: Clock,
    pub(crate) bounds: &'a Bounds,
    pub(crate) view: &'a mut View,
    /// Longest time for which a request is held, whatever its caller says.
    pub(crate) hold_max: Span,
    /// The forecast for admission; `None` if the settings leave admission off.
    pub(crate) load: Option<&'a LoadView>,
    pub(crate) out: &'a mut Vec<Output>,
}

impl Front {
    pub(crate) fn is_idle(&self) -> bool {
        self.requests.is_empty()
    }

    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Starts a new request, or refuses it if too many are in flight.
    pub(crate) fn start(&mut self, ctx: &mut Context<'_>, id: RequestId, call: CallerCall) {
        let now = ctx.clock.now;
        if self.requests.len() >= REQUESTS_MAX {
            return ctx.answer(id, Answer::Busy(BUSY_RETRY_AFTER), "too many requests in flight");
        }
        let timeout = call.timeout.unwrap_or(CALLER_TIMEOUT_DEFAULT).min(ctx.hold_max);
        let margin = ANSWER_MARGIN_MAX.min(Span(timeout.millis() / ANSWER_MARGIN_DIVISOR));
        let deadline = (now + timeout) - margin;
        let mut request = Request {
            id,
            call,
            arrived: now,
            deadline,
            stage: Stage::AwaitingView,
            ordinal: 0,
            retry: None,
            outcome_unknown: false,
            follows: false,
            absent: false,
            faults: 0,
        };
        // A later request must not be handled under an older configuration than an earlier one. The
        // wait is short unless the configuration is large.
        let follows = ctx.view.is_large() && self.awaits_view();
        let keep = if follows { request.await_view(ctx) } else { request.begin(ctx) };
        request.follows = follows;
        if keep {
            self.requests.push(request);
        }
    }

    /// Returns true if a request waits for a fresh view.
    fn awaits_view(&self) -> bool {
        self.requests.iter().any(|r| r.stage == Stage::AwaitingView)
    }

    /// Drops a request whose caller has disconnected; its commit may still take effect.
    pub(crate) fn forget(&mut self, id: RequestId) {
        self.requests.retain(|r| r.id != id);
    }

    /// Sends due retries and ends requests whose deadline has passed.
    pub(crate) fn tick(&mut self, ctx: &mut Context<'_>) {
        self.requests.retain_mut(|r| r.tick(ctx));
    }

    pub(crate) fn due(&self) -> Option<Moment> {
        self.requests.iter().map(|r| r.retry.unwrap_or(r.deadline).min(r.deadline)).min()
    }

    /// Resumes the requests that waited for a fresh view, in the order of their arrival, up to one
    /// that needs a fresher one.
    pub(crate) fn view_refreshed(&mut self, ctx: &mut Context<'_>) {
        let mut waits = false;
        self.requests.retain_mut(|r| {
            let keep = waits || r.stage != Stage::AwaitingView || r.begin(ctx);
            waits |= keep && r.stage == Stage::AwaitingView;
            keep
        });
    }

    /// Refuses the requests that need a fresh view, because the read of it failed. Those that only
    /// waited for earlier ones are served.
    pub(crate) fn view_unavailable(&mut self, ctx: &mut Context<'_>) {
        self.requests.retain_mut(|r| match r.stage {
            Stage::AwaitingView if r.follows => r.begin(ctx),
            Stage::AwaitingView => r.refuse(ctx, "no fresh view"),
            _ => true,
        });
    }

    /// Passes a store reply to its request; a reply to an earlier call is ignored.
    pub(crate) fn answered(
        &mut self,
        ctx: &mut Context<'_>,
        id: RequestId,
        tag: FrontTag,
        result: Result<StoreReply, Fault>,
    ) {
        let Ok(at) = self.requests.binary_search_by_key(&id, |r| r.id) else { return };
        let request = &mut self.requests[at];
        if request.ordinal == tag.0 && !request.answered(ctx, result) {
            self.requests.remove(at);
        }
    }
}

impl Context<'_> {
    fn answer(&mut self, id: RequestId, answer: Answer, why: &str) {
        log::debug!(event = "answer", request:% = id; "{answer:?}: {why}");
        self.out.push(Output::Answer(id, answer));
    }
}

/// The methods that process an event return true while the request stays in flight.
impl Request {
    fn begin(&mut self, ctx: &mut Context<'_>) -> bool {
        if !ctx.view.is_no_older_than(ctx.clock.now, ctx.bounds.view_age_max()) {
            return self.refuse(ctx, "view of the configuration is too old");
        }
        let changes = !matches!(self.call.verb, CallerVerb::Get);
        if changes && ctx.view.is_store_lost() {
            // A commit sent now would most likely time out with an unknown outcome.
            return self.refuse(ctx, "the store can't be reached");
        }
        let Some(catalog) = ctx.view.catalog() else {
            return self.refuse(ctx, "no configuration yet");
        };
        let key = self.call.key.as_deref();
        match catalog.authorize(&self.call.host, &self.call.path, key) {
            // The store would refuse a submission under an outdated configuration with the whole new
            // one. Submissions that wait for the same check share the transfer.
            Ok(_)
                if self.submits()
                    && ctx.view.is_large()
                    && !ctx.view.is_fresh_since(self.arrived) =>
            {
                self.await_view(ctx)
            }
            Ok(grant) => match self.first_call(&grant, ctx.clock.wall) {
                // If the job exists, the store's refusal of the commit would hold the whole configuration,
                // and a refusal of the job would be untrue.
                Ok((Stage::Submitting(id), _))
                    if !self.absent
                        && (ctx.view.is_large() || self.refusal(ctx, &grant, id).is_some()) =>
                {
                    self.stage = Stage::LookingUp(id);
                    self.call_store(ctx, StoreOp::Get(keys::job(id)))
                }
                Ok((Stage::Submitting(id), _))
                    if let Some(refusal) = self.refusal(ctx, &grant, id) =>
                {
                    let queue = grant.queue.name.clone();
                    self.refuse_job(ctx, (id, queue), refusal)
                }
                Ok((stage, op)) => {
                    let op = require_catalog(op, catalog.rev, &stage);
                    self.stage = stage;
                    self.call_store(ctx, op)
                }
                Err(answer) => self.finish(ctx, answer, "the path or body is invalid"),
            },
            Err(denial) => self.deny(ctx, denial),
        }
    }

    /// Denies a request if the view was read after the request arrived; otherwise waits for such a
    /// view, as the queue or key may have been added since.
    fn deny(&mut self, ctx: &mut Context<'_>, denial: Denial) -> bool {
        if !ctx.view.is_fresh_since(self.arrived) {
            return self.await_view(ctx);
        }
        if self.outcome_unknown {
            return self.finish(ctx, Answer::Unknown, "denied after a commit with unknown outcome");
        }
        match denial {
            Denial::NoQueue => self.finish(ctx, Answer::NoQueue, "no queue has this host and path"),
            Denial::NoKey => self.finish(ctx, Answer::NoKey, "missing or unknown key"),
        }
    }

    fn submits(&self) -> bool {
        matches!(self.call.verb, CallerVerb::Submit(_))
    }

    /// Waits for a read of the configuration that begins from now on.
    fn await_view(&mut self, ctx: &mut Context<'_>) -> bool {
        self.follows = false;
        self.stage = Stage::AwaitingView;
        self.ordinal += 1;
        self.retry = None;
        ctx.view.request_read();
        true
    }

    /// Returns the first store call of a request that the configuration allows, or the answer that
    /// rejects its content.
    fn first_call(&self, grant: &Grant<'_>, wall: u64) -> Result<(Stage, StoreOp), Answer> {
        let id = || grant.path_rest.parse::<JobId>();
        match &self.call.verb {
            CallerVerb::Get if grant.path_rest.is_empty() => {
                let op = StoreOp::List(keys::pending(&grant.queue.name), None);
                Ok((Stage::CountingPending { counted: 0 }, op))
            }
            CallerVerb::Get => {
                let id = id().map_err(|_| Answer::NoJob)?;
                Ok((Stage::ReadingState(id), StoreOp::Get(keys::state(id))))
            }
            CallerVerb::Cancel => {
                let id = id().map_err(|_| Answer::NoJob)?;
                Ok((Stage::CheckingState(id), StoreOp::Get(keys::state(id))))
            }
            CallerVerb::Submit(spec) => {
                let id = id().map_err(|e| Answer::Bad(e.to_string()))?;
                let spec = spec.as_ref().map_err(|e| Answer::Bad(e.clone()))?;
                spec.check().map_err(|e| Answer::Bad(e.to_string()))?;
                if grant.queue.advised {
                    return Err(Answer::Bad(
                        "queues with placement advice are not supported".into(),
                    ));
                }
                let record = JobRecord {
                    spec: spec.clone(),
                    queue: grant.queue.clone(),
                    workspace: grant.workspace.map(|w| w.name.clone()),
                    accepted: wall,
                };
                let commit =
                    creation_commit(id, &record).map_err(|e| Answer::Bad(e.to_string()))?;
                Ok((Stage::Submitting(id), StoreOp::Commit(commit)))
            }
        }
    }

    fn call_store(&mut self, ctx: &mut Context<'_>, op: StoreOp) -> bool {
        let left = self.deadline.since(ctx.clock.now);
        if left == Span::ZERO {
            return self.refuse(ctx, "out of time");
        }
        self.ordinal += 1;
        self.retry = None;
        let tag = Tag::Front(self.id, FrontTag(self.ordinal));
        ctx.out.push(Output::Store(tag, op, STORE_TIMEOUT.min(left)));
        true
    }

    fn tick(&mut self, ctx: &mut Context<'_>) -> bool {
        let now = ctx.clock.now;
        if now >= self.deadline {
            return self.time_out(ctx);
        }
        if self.retry.is_some_and(|at| now >= at) {
            self.retry = None;
            return match self.stage {
                Stage::Cancelling(id) => self.cancel(ctx, id),
                _ => self.begin(ctx),
            };
        }
        true
    }

    fn answered(&mut self, ctx: &mut Context<'_>, result: Result<StoreReply, Fault>) -> bool {
        let reply = match result {
            Ok(reply) => reply,
            Err(fault) => return self.call_failed(ctx, &fault),
        };
        match (self.stage.clone(), reply) {
            (Stage::Submitting(_), StoreReply::Committed(_)) => {
                self.finish(ctx, Answer::Accepted, "stored")
            }
            (Stage::Submitting(id), StoreReply::Conflict(items, catalog)) => {
                self.commit_conflicted(ctx, id, &items, catalog)
            }
            (Stage::ReadingState(_), StoreReply::Item(item, _)) => self.state_read(ctx, item),
            (Stage::LookingUp(id), StoreReply::Item(Some(item), _)) => {
                self.job_exists(ctx, id, &item)
            }
            (Stage::LookingUp(_), StoreReply::Item(None, _)) => {
                self.absent = true;
                self.begin(ctx)
            }
            (Stage::CountingPending { counted }, StoreReply::Page(items, more, _)) => {
                self.page_counted(ctx, counted, &items, more)
            }
            (Stage::CheckingState(id), StoreReply::Item(item, _)) => {
                self.cancel_checked(ctx, id, item)
            }
            (Stage::Cancelling(_), StoreReply::Committed(_) | StoreReply::Conflict(..)) => {
                self.finish(ctx, Answer::Cancelled, "cancellation stored")
            }
            (stage, other) => {
                log::error!(event = "store_answer"; "unexpected store reply in {stage:?}: {other:?}");
                self.refuse(ctx, "unexpected answer of the store")
            }
        }
    }

    fn call_failed(&mut self, ctx: &mut Context<'_>, fault: &Fault) -> bool {
        let changes = matches!(self.stage, Stage::Submitting(_) | Stage::Cancelling(_));
        if changes && matches!(fault, Fault::Unknown(_)) {
            self.outcome_unknown = true;
            self.absent = false;
        }
        self.faults += 1;
        log::debug!(event = "request_fault", request:% = self.id, cause:% = fault; "store call failed");
        if !self.outcome_unknown && self.faults >= FAULTS_MAX {
            return self.refuse(ctx, "the store can't be reached");
        }
        self.ordinal += 1;
        self.retry = Some(ctx.clock.now + RETRY_DELAY);
        true
    }

    fn commit_conflicted(
        &mut self,
        ctx: &mut Context<'_>,
        id: JobId,
        items: &[Item],
        catalog: Option<Catalog>,
    ) -> bool {
        if let Some(catalog) = catalog {
            ctx.view.adopt(catalog);
        }
        let key = keys::job(id);
        let Some(item) = items.iter().find(|i| i.key == key && i.rev != Rev::ABSENT) else {
            let full = [keys::FULL, keys::FULL_LARGE];
            if items.iter().any(|i| full.contains(&i.key.as_str()) && i.rev != Rev::ABSENT) {
                metrics::counter!("bulrushlink_full_refusals_total").increment(1);
                return self.refuse(ctx, "accepted jobs take all memory for them; not accepted");
            }
            // The configuration changed after the view was read.
            return self.begin(ctx);
        };
        self.job_exists(ctx, id, item)
    }

    fn state_read(&mut self, ctx: &mut Context<'_>, item: Option<Item>) -> bool {
        let Some(state) = self.accessible_state(ctx, item) else { return false };
        let shown = match (state.outcome, state.begun) {
            (Some(Outcome::Completed), _) => ShownState::Completed,
            (Some(Outcome::Failed), _) => ShownState::Failed,
            (Some(Outcome::Cancelled), _) => ShownState::Cancelled,
            (None, true) => ShownState::Running,
            (None, false) => ShownState::Queued,
        };
        self.finish(ctx, Answer::State(shown), "state read")
    }

    fn page_counted(
        &mut self,
        ctx: &mut Context<'_>,
        counted: usize,
        items: &[Item],
        more: bool,
    ) -> bool {
        let count = counted + items.len();
        match items.last() {
            Some(last) if more => {
                self.stage = Stage::CountingPending { counted: count };
                let prefix = last.key.rsplit_once('/').map_or("", |(queue, _)| queue);
                let op = StoreOp::List(format!("{prefix}/"), Some(last.key.clone()));
                self.call_store(ctx, op)
            }
            _ => self.finish(ctx, Answer::Pending(count), "pending markers counted"),
        }
    }

    fn cancel_checked(&mut self, ctx: &mut Context<'_>, id: JobId, item: Option<Item>) -> bool {
        let Some(state) = self.accessible_state(ctx, item) else { return false };
        if state.outcome.is_some() {
            return self.finish(ctx, Answer::Cancelled, "the job had already ended");
        }
        self.cancel(ctx, id)
    }

    fn cancel(&mut self, ctx: &mut Context<'_>, id: JobId) -> bool {
        self.stage = Stage::Cancelling(id);
        let key = keys::cancel(id);
        let commit = Commit {
            expect: vec![(Subject::Key(key.clone()), Rev::ABSENT)],
            writes: vec![(key, ctx.clock.wall.to_string().into_bytes(), None)],
            removes: Vec::new(),
        };
        self.call_store(ctx, StoreOp::Commit(commit))
    }

    /// Ends a request whose deadline has passed.
    fn time_out(&mut self, ctx: &mut Context<'_>) -> bool {
        if self.outcome_unknown {
            return self.finish(ctx, Answer::Unknown, "commit outcome unknown at the deadline");
        }
        // A commit in flight can still take effect.
        if matches!(self.stage, Stage::Submitting(_) | Stage::Cancelling(_)) && self.retry.is_none()
        {
            return self.finish(ctx, Answer::Unknown, "commit unanswered at the deadline");
        }
        self.refuse(ctx, "out of time")
    }

    /// Answers that the request had no effect. If one of its commits may have taken effect, it is
    /// retried until its deadline instead, and then answered as unknown.
    fn refuse(&mut self, ctx: &mut Context<'_>, why: &str) -> bool {
        if !self.outcome_unknown {
            return self.finish(
                ctx,
                Answer::Unavailable(why.to_string(), UNAVAILABLE_RETRY_AFTER),
                why,
            );
        }
        if ctx.clock.now >= self.deadline {
            return self.finish(ctx, Answer::Unknown, why);
        }
        self.retry = Some(ctx.clock.now + RETRY_DELAY);
        true
    }

    fn finish(&mut self, ctx: &mut Context<'_>, answer: Answer, why: &str) -> bool {
        let took = ctx.clock.now.since(self.arrived);
        let age = ctx.view.age(ctx.clock.now).map_or(-1, |a| a.millis() as i64);
        let version = ctx.view.catalog().map_or(0, |c| c.version);
        let quiet = matches!(answer, Answer::State(_) | Answer::Pending(_));
        let level = if quiet { log::Level::Debug } else { log::Level::Info };
        log::log!(
            level, event = "answer", path:% = self.call.path, took_ms = took.millis(),
            version = version, view_age_ms = age; "{answer:?}: {why}"
        );
        metrics::counter!("bulrushlink_answers_total", "answer" => metric_label(&answer))
            .increment(1);
        metrics::histogram!("bulrushlink_answer_ms").record(took.millis() as f64);
        ctx.out.push(Output::Answer(self.id, answer));
        false
    }
}

/// Returns the metric label of an answer.
fn metric_label(answer: &Answer) -> &'static str {
    match answer {
        Answer::Accepted => "accepted",
        Answer::State(_) => "state",
        Answer::Pending(_) => "pending",
        Answer::Cancelled => "cancelled",
        Answer::NoJob => "no_job",
        Answer::NoQueue => "no_queue",
        Answer::NoKey => "no_key",
        Answer::OtherWorkspace => "other_workspace",
        Answer::Taken => "taken",
        Answer::Bad(_) => "bad",
        Answer::Unavailable(..) => "unavailable",
        Answer::Busy(_) => "busy",
        Answer::Refused(..) => "refused",
        Answer::Unknown => "unknown",
    }
}
