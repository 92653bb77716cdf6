//! Callers: each request is carried by one or two calls to the store, at whichever daemon it came.
//!
//! A job is accepted by a single conditional commit, so that any daemon can take any repeat of it.
//! "Not accepted" is said only when no commit of the request can still be carried out.

use bulrushlink_core::{Moment, Span};

use crate::catalog::{Catalog, Denial, Grant};
use crate::edge::{
    Answer, CallerCall, CallerVerb, Clock, Commit, Fault, Output, RequestId, ShownState, StoreOp,
    StoreReply, Subject, Tag,
};
use crate::ids::{JobId, Rev};
use crate::record::{Item, JobRecord, Outcome, StateRecord, decode, encode, keys};
use crate::settings::Bounds;
use crate::view::View;

/// How long a caller waits who doesn't say.
const PATIENCE_DEFAULT: Span = Span(3_000);
/// Longest time kept for the answer to travel before the caller gives up.
const ANSWER_MARGIN: Span = Span(200);
/// The same as a part of the caller's patience.
const ANSWER_PART: u64 = 4;
/// Time for an answer of the store; a slow store takes about 400 ms.
const CALL_TIMEOUT: Span = Span(900);
/// Pause before a call is repeated.
const RETRY_PAUSE: Span = Span(80);
/// Calls that may fail without effect before the request is refused.
const FAULTS_MAX: u32 = 2;
/// When to come back if the store can't be reached: an outage lasts seconds.
const STORE_BACK: Span = Span(1_000);
/// When to come back if this daemon is too busy.
const BUSY_BACK: Span = Span(1_000);
/// Requests under way at a time; at 5 KB each they take 10 MB.
const REQUESTS_MAX: usize = 2_000;

/// The step of a request that waits for the store, with its ordinal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrontTag(u32);

#[derive(Clone, Debug, PartialEq, Eq)]
enum Stage {
    /// Waits for a view of the configuration that is fresher than the request.
    Recheck,
    /// Waits for a call, or for the time to repeat it.
    Submitting(JobId),
    Looking(JobId),
    Counting {
        so_far: usize,
    },
    Checking(JobId),
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
    /// When to go on, unless a call is under way.
    retry: Option<Moment>,
    /// A call may have been carried out, or may still be.
    unsure: bool,
    faults: u32,
}

/// The requests under way, sorted by their ordinal.
#[derive(Debug, Default)]
pub(crate) struct Front {
    requests: Vec<Request>,
}

/// What the rest of the node gives to a decision on a request.
pub(crate) struct Scene<'a> {
    pub(crate) clock: Clock,
    pub(crate) bounds: &'a Bounds,
    pub(crate) view: &'a mut View,
    pub(crate) out: &'a mut Vec<Output>,
}

impl Front {
    pub(crate) fn is_idle(&self) -> bool {
        self.requests.is_empty()
    }

    pub(crate) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Takes a new request.
    pub(crate) fn take(&mut self, scene: &mut Scene<'_>, id: RequestId, call: CallerCall) {
        let now = scene.clock.now;
        if self.requests.len() >= REQUESTS_MAX {
            return scene.answer(id, Answer::Busy(BUSY_BACK), "too many requests under way");
        }
        let patience = call.patience.unwrap_or(PATIENCE_DEFAULT);
        let margin = ANSWER_MARGIN.min(Span(patience.millis() / ANSWER_PART));
        let deadline = (now + patience) - margin;
        let mut request = Request {
            id,
            call,
            arrived: now,
            deadline,
            stage: Stage::Recheck,
            ordinal: 0,
            retry: None,
            unsure: false,
            faults: 0,
        };
        if request.begin(scene) {
            self.requests.push(request);
        }
    }

    /// Forgets a request whose caller is gone; what was asked for may still be done.
    pub(crate) fn forget(&mut self, id: RequestId) {
        self.requests.retain(|r| r.id != id);
    }

    /// Goes on with requests that have waited for the view, for a pause or too long.
    pub(crate) fn tick(&mut self, scene: &mut Scene<'_>) {
        self.requests.retain_mut(|r| r.tick(scene));
    }

    pub(crate) fn due(&self) -> Option<Moment> {
        self.requests.iter().map(|r| r.retry.unwrap_or(r.deadline).min(r.deadline)).min()
    }

    /// Goes on with requests that waited for a fresh view.
    pub(crate) fn view_read(&mut self, scene: &mut Scene<'_>) {
        self.requests.retain_mut(|r| r.stage != Stage::Recheck || r.begin(scene));
    }

    /// Refuses requests that waited for a fresh view, as there is none.
    pub(crate) fn view_lost(&mut self, scene: &mut Scene<'_>) {
        self.requests.retain_mut(|r| r.stage != Stage::Recheck || r.refuse(scene, "no fresh view"));
    }

    /// Takes an answer of the store.
    pub(crate) fn answered(
        &mut self,
        scene: &mut Scene<'_>,
        id: RequestId,
        tag: FrontTag,
        result: Result<StoreReply, Fault>,
    ) {
        let Ok(at) = self.requests.binary_search_by_key(&id, |r| r.id) else { return };
        let request = &mut self.requests[at];
        if request.ordinal == tag.0 && !request.answered(scene, result) {
            self.requests.remove(at);
        }
    }
}

impl Scene<'_> {
    fn answer(&mut self, id: RequestId, answer: Answer, why: &str) {
        log::debug!(event = "answer", request:% = id; "{answer:?}: {why}");
        self.out.push(Output::Answer(id, answer));
    }
}

/// Each method tells whether the request goes on.
impl Request {
    fn begin(&mut self, scene: &mut Scene<'_>) -> bool {
        if !scene.view.is_within(scene.clock.now, scene.bounds.view_max()) {
            return self.refuse(scene, "view of the configuration is too old");
        }
        let changes = !matches!(self.call.verb, CallerVerb::Look);
        if changes && scene.view.is_lost() {
            // A commit would most likely stay unanswered, and its outcome unknown.
            return self.refuse(scene, "the store can't be reached");
        }
        let Some(catalog) = scene.view.catalog() else {
            return self.refuse(scene, "no configuration yet");
        };
        let key = self.call.key.as_deref();
        match catalog.grant(&self.call.host, &self.call.path, key) {
            Ok(grant) => match self.plan(&grant, scene.clock.wall) {
                Ok((stage, op)) => {
                    let op = with_catalog(op, catalog.rev, &stage);
                    self.stage = stage;
                    self.call_store(scene, op)
                }
                Err(answer) => self.finish(scene, answer, "by the text of the request"),
            },
            Err(denial) => self.deny(scene, denial),
        }
    }

    /// Denies a request if the view is fresher than the request, and waits for such a view if not.
    fn deny(&mut self, scene: &mut Scene<'_>, denial: Denial) -> bool {
        if !scene.view.is_fresh_since(self.arrived) {
            self.stage = Stage::Recheck;
            self.ordinal += 1;
            self.retry = None;
            scene.view.want();
            return true;
        }
        if self.unsure {
            return self.finish(scene, Answer::Unknown, "denied after a call without an answer");
        }
        match denial {
            Denial::NoQueue => self.finish(scene, Answer::NoQueue, "no queue has this path"),
            Denial::NoKey => self.finish(scene, Answer::NoKey, "the key belongs to nobody"),
        }
    }

    /// Works out the first call for a request that the configuration allows.
    fn plan(&self, grant: &Grant<'_>, wall: u64) -> Result<(Stage, StoreOp), Answer> {
        let id = || grant.rest.parse::<JobId>();
        match &self.call.verb {
            CallerVerb::Look if grant.rest.is_empty() => {
                let op = StoreOp::List(keys::pending(&grant.queue.name), None);
                Ok((Stage::Counting { so_far: 0 }, op))
            }
            CallerVerb::Look => {
                let id = id().map_err(|_| Answer::NoJob)?;
                Ok((Stage::Looking(id), StoreOp::Get(keys::state(id))))
            }
            CallerVerb::Cancel => {
                let id = id().map_err(|_| Answer::NoJob)?;
                Ok((Stage::Checking(id), StoreOp::Get(keys::state(id))))
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
                let commit = creation(id, &record).map_err(|e| Answer::Bad(e.to_string()))?;
                Ok((Stage::Submitting(id), StoreOp::Commit(commit)))
            }
        }
    }

    fn call_store(&mut self, scene: &mut Scene<'_>, op: StoreOp) -> bool {
        let left = self.deadline.since(scene.clock.now);
        if left == Span::ZERO {
            return self.refuse(scene, "out of time");
        }
        self.ordinal += 1;
        self.retry = None;
        let tag = Tag::Front(self.id, FrontTag(self.ordinal));
        scene.out.push(Output::Store(tag, op, CALL_TIMEOUT.min(left)));
        true
    }

    fn tick(&mut self, scene: &mut Scene<'_>) -> bool {
        let now = scene.clock.now;
        if now >= self.deadline {
            return self.give_up(scene);
        }
        if self.retry.is_some_and(|at| now >= at) {
            self.retry = None;
            return match self.stage {
                Stage::Cancelling(id) => self.cancel(scene, id),
                _ => self.begin(scene),
            };
        }
        true
    }

    fn answered(&mut self, scene: &mut Scene<'_>, result: Result<StoreReply, Fault>) -> bool {
        let reply = match result {
            Ok(reply) => reply,
            Err(fault) => return self.failed(scene, &fault),
        };
        match (self.stage.clone(), reply) {
            (Stage::Submitting(_), StoreReply::Committed(_)) => {
                self.finish(scene, Answer::Accepted, "stored")
            }
            (Stage::Submitting(id), StoreReply::Conflict(items, catalog)) => {
                self.conflicted(scene, id, &items, catalog)
            }
            (Stage::Looking(_), StoreReply::Item(item, _)) => self.looked(scene, item),
            (Stage::Counting { so_far }, StoreReply::Page(items, more, _)) => {
                self.counted(scene, so_far, &items, more)
            }
            (Stage::Checking(id), StoreReply::Item(item, _)) => self.checked(scene, id, item),
            (Stage::Cancelling(_), StoreReply::Committed(_) | StoreReply::Conflict(..)) => {
                self.finish(scene, Answer::Cancelled, "cancellation stored")
            }
            (stage, other) => {
                log::error!(event = "store_answer"; "unexpected answer in {stage:?}: {other:?}");
                self.refuse(scene, "unexpected answer of the store")
            }
        }
    }

    fn failed(&mut self, scene: &mut Scene<'_>, fault: &Fault) -> bool {
        let changes = matches!(self.stage, Stage::Submitting(_) | Stage::Cancelling(_));
        if changes && matches!(fault, Fault::Unknown(_)) {
            self.unsure = true;
        }
        self.faults += 1;
        log::debug!(event = "request_fault", request:% = self.id, cause:% = fault; "no answer of the store");
        if !self.unsure && self.faults >= FAULTS_MAX {
            return self.refuse(scene, "the store can't be reached");
        }
        self.ordinal += 1;
        self.retry = Some(scene.clock.now + RETRY_PAUSE);
        true
    }

    fn conflicted(
        &mut self,
        scene: &mut Scene<'_>,
        id: JobId,
        items: &[Item],
        catalog: Option<Catalog>,
    ) -> bool {
        if let Some(catalog) = catalog {
            scene.view.adopt(catalog);
        }
        let key = keys::job(id);
        let Some(item) = items.iter().find(|i| i.key == key && i.rev != Rev::ABSENT) else {
            // The configuration has changed between the view and the commit.
            return self.begin(scene);
        };
        let CallerVerb::Submit(Ok(spec)) = &self.call.verb else { return false };
        match decode::<JobRecord>(&item.value) {
            Ok(record) if record.spec == *spec => {
                self.finish(scene, Answer::Accepted, "stored before")
            }
            Ok(_) => self.finish(scene, Answer::Taken, "another job has this identifier"),
            Err(error) => {
                log::error!(event = "bad_record", job:% = id; "{error}");
                self.finish(scene, Answer::Taken, "an unreadable job has this identifier")
            }
        }
    }

    fn looked(&mut self, scene: &mut Scene<'_>, item: Option<Item>) -> bool {
        let Some(state) = self.open_state(scene, item) else { return false };
        let shown = match (state.outcome, state.begun) {
            (Some(Outcome::Completed), _) => ShownState::Completed,
            (Some(Outcome::Failed), _) => ShownState::Failed,
            (Some(Outcome::Cancelled), _) => ShownState::Cancelled,
            (None, true) => ShownState::Running,
            (None, false) => ShownState::Queued,
        };
        self.finish(scene, Answer::State(shown), "as stored")
    }

    fn counted(
        &mut self,
        scene: &mut Scene<'_>,
        so_far: usize,
        items: &[Item],
        more: bool,
    ) -> bool {
        let count = so_far + items.len();
        match items.last() {
            Some(last) if more => {
                self.stage = Stage::Counting { so_far: count };
                let prefix = last.key.rsplit_once('/').map_or("", |(queue, _)| queue);
                let op = StoreOp::List(format!("{prefix}/"), Some(last.key.clone()));
                self.call_store(scene, op)
            }
            _ => self.finish(scene, Answer::Pending(count), "as stored"),
        }
    }

    fn checked(&mut self, scene: &mut Scene<'_>, id: JobId, item: Option<Item>) -> bool {
        let Some(state) = self.open_state(scene, item) else { return false };
        if state.outcome.is_some() {
            return self.finish(scene, Answer::Cancelled, "the job had ended");
        }
        self.cancel(scene, id)
    }

    fn cancel(&mut self, scene: &mut Scene<'_>, id: JobId) -> bool {
        self.stage = Stage::Cancelling(id);
        let key = keys::cancel(id);
        let commit = Commit {
            expect: vec![(Subject::Key(key.clone()), Rev::ABSENT)],
            writes: vec![(key, scene.clock.wall.to_string().into_bytes(), None)],
            removes: Vec::new(),
        };
        self.call_store(scene, StoreOp::Commit(commit))
    }

    /// Reads the state of a job, or answers why the caller can't have it.
    fn open_state(&mut self, scene: &mut Scene<'_>, item: Option<Item>) -> Option<StateRecord> {
        let Some(item) = item else {
            self.finish(scene, Answer::NoJob, "no such job in the store");
            return None;
        };
        let state = match decode::<StateRecord>(&item.value) {
            Ok(state) => state,
            Err(error) => {
                log::error!(event = "bad_record", key:% = item.key; "{error}");
                self.refuse(scene, "the state can't be read");
                return None;
            }
        };
        if !self.owns(scene.view.catalog(), &state) {
            self.finish(scene, Answer::OtherWorkspace, "the key is another workspace's");
            return None;
        }
        Some(state)
    }

    /// Tells whether the caller's key may see a job.
    fn owns(&self, catalog: Option<&Catalog>, state: &StateRecord) -> bool {
        let Some(owner) = &state.workspace else { return true };
        let key = self.call.key.as_deref();
        let grant = catalog.and_then(|c| c.grant(&self.call.host, &self.call.path, key).ok());
        grant.is_some_and(|g| g.queue.anonymous || g.workspace.is_some_and(|w| w.name == *owner))
    }

    /// Ends a request whose time is over.
    fn give_up(&mut self, scene: &mut Scene<'_>) -> bool {
        if self.unsure {
            return self.finish(scene, Answer::Unknown, "the store did not settle it in time");
        }
        // A call under way can still be carried out.
        if matches!(self.stage, Stage::Submitting(_) | Stage::Cancelling(_)) && self.retry.is_none()
        {
            return self.finish(scene, Answer::Unknown, "no answer of the store in time");
        }
        self.refuse(scene, "out of time")
    }

    /// Refuses the request as not done. That isn't certain of an unsure one, which goes on until its
    /// time is over.
    fn refuse(&mut self, scene: &mut Scene<'_>, why: &str) -> bool {
        if !self.unsure {
            return self.finish(scene, Answer::Unavailable(why.to_string(), STORE_BACK), why);
        }
        if scene.clock.now >= self.deadline {
            return self.finish(scene, Answer::Unknown, why);
        }
        self.retry = Some(scene.clock.now + RETRY_PAUSE);
        true
    }

    fn finish(&mut self, scene: &mut Scene<'_>, answer: Answer, why: &str) -> bool {
        let took = scene.clock.now.since(self.arrived);
        let age = scene.view.age(scene.clock.now).map_or(-1, |a| a.millis() as i64);
        let version = scene.view.catalog().map_or(0, |c| c.version);
        let quiet = matches!(answer, Answer::State(_) | Answer::Pending(_));
        let level = if quiet { log::Level::Debug } else { log::Level::Info };
        log::log!(
            level, event = "answer", path:% = self.call.path, took_ms = took.millis(),
            version = version, view_age_ms = age; "{answer:?}: {why}"
        );
        metrics::counter!("bulrushlink_answers_total", "answer" => label(&answer)).increment(1);
        metrics::histogram!("bulrushlink_answer_ms").record(took.millis() as f64);
        scene.out.push(Output::Answer(self.id, answer));
        false
    }
}

/// Returns the name of an answer in the metrics.
fn label(answer: &Answer) -> &'static str {
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
        Answer::Unknown => "unknown",
    }
}

/// Makes the commit that creates a job.
fn creation(id: JobId, record: &JobRecord) -> Result<Commit, bulrushlink_core::Error> {
    let state = StateRecord { workspace: record.workspace.clone(), ..StateRecord::default() };
    let mut writes =
        vec![(keys::job(id), encode(record)?, None), (keys::state(id), encode(&state)?, None)];
    if record.spec.schedule.is_none() {
        writes.push((keys::marker(&record.queue.name, id), Vec::new(), None));
    }
    let expect = vec![(Subject::Key(keys::job(id)), Rev::ABSENT)];
    Ok(Commit { expect, writes, removes: Vec::new() })
}

/// Makes the creation of a job depend on the configuration under which it was allowed.
fn with_catalog(op: StoreOp, rev: Rev, stage: &Stage) -> StoreOp {
    match (op, stage) {
        (StoreOp::Commit(mut commit), Stage::Submitting(_)) => {
            commit.expect.push((Subject::Catalog, rev));
            StoreOp::Commit(commit)
        }
        (op, _) => op,
    }
}
