//! Store calls that are retried until their outcome is certain, even if replies get lost.
//!
//! Each write is conditional, and its value is unique to its writer. A write whose reply is
//! missing can therefore simply be sent again. Either the retry takes effect, and the earlier write
//! no longer can, or it conflicts, and the record returned shows whether the value in the store is
//! this writer's or another's.

use bulrushlink_api::{EdgeFault, Record, Revision, StoreReply, StoreRequest};
use bulrushlink_core::{Moment, Span};

use crate::edge::{CallId, Component, Context};

/// Delay before the first retry of a call; it doubles with each further try.
const RETRY_DELAY_MIN_MS: u64 = 50;
/// Maximum delay before a retry of a call.
const RETRY_DELAY_MAX_MS: u64 = 2_000;
/// Maximum time that a call of [`RetryPolicy::Bounded`] waits for its first try.
const QUEUE_WAIT_MAX: Span = Span::from_secs(6);
/// Number of consecutive tries without a reply after which the store counts as down.
const DOWN_AFTER_FAULTS: u32 = 3;
/// Rate limit while the store counts as down, in tries per second.
const DOWN_CALLS_PER_S: u64 = 5;
/// Divisor that yields the maximum burst from the number of tries allowed per second.
const BURST_DIVISOR: u64 = 4;
/// Cost of a try in the token bucket; a rate of one try per second adds one millitoken per ms.
const MILLITOKENS_PER_TRY: u64 = 1_000;

/// The outcome of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// A write took effect.
    Written(Revision),
    /// The condition of a write does not hold, and the change was made by another writer.
    Conflict(Option<Record>),
    /// The reply to a read.
    Found(Option<Record>),
    /// A page of a list.
    Page {
        /// The records, in the order that the store returned them.
        records: Vec<Record>,
        /// Whether further pages follow.
        more: bool,
    },
    /// The call was given up; it certainly had no effect and will have none.
    GivenUp,
}

/// How long a call is retried, and its priority in the queue.
#[derive(Clone, Copy, Debug)]
pub(crate) enum RetryPolicy {
    /// Until its outcome is certain.
    Unlimited,
    /// For this time from its first try, after waiting in the queue for at most
    /// [`QUEUE_WAIT_MAX`]. `Unlimited` and `Until` calls go first.
    Bounded(Span),
    /// Until this moment.
    Until(Moment),
    /// Until its outcome is certain, but all other calls go first.
    Background,
}

impl RetryPolicy {
    /// Returns the queue class while calls are rate-limited; lower classes go first.
    const fn queue_class(self) -> u8 {
        match self {
            Self::Unlimited | Self::Until(_) => 0,
            Self::Bounded(_) => 1,
            Self::Background => 2,
        }
    }
}

/// A call without an outcome; it may take several tries.
#[derive(Debug)]
struct PendingCall<T> {
    tag: T,
    request: StoreRequest,
    /// The try in flight.
    call: Option<CallId>,
    /// When the next try may be sent.
    due: Moment,
    tries: u32,
    /// Whether an earlier try is a write that may have taken effect.
    uncertain: bool,
    /// Determines when the call is given up, unless `uncertain`.
    policy: RetryPolicy,
}

/// Queue of store calls of one component; each call has a tag that is returned with its outcome.
#[derive(Debug)]
pub(crate) struct StoreCalls<T> {
    component: Component,
    /// Percentage of the daemon's rate of store calls, which limits the tries.
    rate_percent: u64,
    pending: Vec<PendingCall<T>>,
    /// Consecutive tries without a reply.
    faults: u32,
    /// Content of the token bucket; a try costs [`MILLITOKENS_PER_TRY`].
    millitokens: u64,
    refilled_at: Moment,
    /// Tries sent so far.
    sent_tries: u64,
    rng: fastrand::Rng,
}

impl<T: Clone> StoreCalls<T> {
    pub(crate) fn open(component: Component, rate_percent: u64, now: Moment, seed: u64) -> Self {
        Self {
            component,
            rate_percent,
            pending: Vec::new(),
            faults: 0,
            millitokens: MILLITOKENS_PER_TRY,
            refilled_at: now,
            sent_tries: 0,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Returns true if the store counts as down: the last [`DOWN_AFTER_FAULTS`] tries had no reply.
    pub(crate) fn is_down(&self) -> bool {
        self.faults >= DOWN_AFTER_FAULTS
    }

    /// Returns the number of tries sent so far.
    pub(crate) fn tries(&self) -> u64 {
        self.sent_tries
    }

    /// Returns true if a new call would wait in the queue for too long.
    pub(crate) fn is_overloaded(&self, cx: &Context<'_>) -> bool {
        let goes_first = |entry: &&PendingCall<T>| {
            entry.call.is_none() && !matches!(entry.policy, RetryPolicy::Background)
        };
        let waiting = self.pending.iter().filter(goes_first).count() as u64;
        let rate = u64::from(cx.settings.limits.store_rate) * self.rate_percent / 100;
        // Each creation of a record is followed by at least one more call.
        waiting * 2 * 1_000 >= rate * QUEUE_WAIT_MAX.0
    }

    /// Returns the number of calls without an outcome.
    pub(crate) fn pending_calls(&self) -> usize {
        self.pending.len()
    }

    /// Returns the number of calls without an outcome whose tag satisfies `wanted`.
    pub(crate) fn pending_calls_with(&self, wanted: impl Fn(&T) -> bool) -> usize {
        self.pending.iter().filter(|entry| wanted(&entry.tag)).count()
    }

    /// Returns true if a call without an outcome has a tag that satisfies `wanted`.
    pub(crate) fn has_pending(&self, wanted: impl Fn(&T) -> bool) -> bool {
        self.pending.iter().any(|entry| wanted(&entry.tag))
    }

    /// Returns true if a write whose tag satisfies `wanted` may or may not have taken effect.
    pub(crate) fn is_uncertain(&self, wanted: impl Fn(&T) -> bool) -> bool {
        self.pending.iter().any(|entry| entry.uncertain && wanted(&entry.tag))
    }

    /// Removes the calls whose tag satisfies `wanted` and that certainly had no effect. Returns
    /// true if no call with such a tag is left.
    pub(crate) fn remove_unsent(&mut self, wanted: impl Fn(&T) -> bool) -> bool {
        self.pending.retain(|entry| !wanted(&entry.tag) || entry.call.is_some() || entry.uncertain);
        !self.has_pending(wanted)
    }

    /// Queues a call; it is sent as soon as the rate and the number of tries in flight allow.
    pub(crate) fn call(
        &mut self,
        tag: T,
        request: StoreRequest,
        policy: RetryPolicy,
        cx: &mut Context<'_>,
    ) {
        let entry = PendingCall {
            tag,
            request,
            call: None,
            due: cx.now,
            tries: 0,
            uncertain: false,
            policy,
        };
        self.pending.push(entry);
        self.send_due(cx);
    }

    /// Handles the reply to `call`. Returns `None` if the call is unknown or will be retried.
    pub(crate) fn on_store(
        &mut self,
        call: CallId,
        result: Result<StoreReply, EdgeFault>,
        cx: &mut Context<'_>,
    ) -> Option<(T, Outcome)> {
        let i = self.pending.iter().position(|entry| entry.call == Some(call))?;
        self.pending[i].call = None;
        let outcome = match result {
            Ok(StoreReply::Limited { retry }) => {
                self.pending[i].due = cx.now + retry + Span(self.rng.u64(..=RETRY_DELAY_MIN_MS));
                return self.give_up_if_expired(i, cx);
            }
            Ok(reply) => {
                self.faults = 0;
                self.pending[i].outcome(reply)
            }
            Err(fault) => {
                self.faults = self.faults.saturating_add(1);
                let delay = self.retry_delay(self.pending[i].tries);
                self.pending[i].due = cx.now + delay;
                self.pending[i].uncertain |=
                    fault == EdgeFault::Silent && self.pending[i].is_write();
                return self.give_up_if_expired(i, cx);
            }
        };
        let entry = self.pending.remove(i);
        self.send_due(cx);
        Some((entry.tag, outcome))
    }

    /// Sends the calls that are due, and returns those that are given up.
    pub(crate) fn tick(&mut self, cx: &mut Context<'_>) -> Vec<(T, Outcome)> {
        let mut given_up = Vec::new();
        self.pending.retain(|entry| {
            let expired = entry.call.is_none() && entry.has_expired(cx.now);
            if expired {
                given_up.push((entry.tag.clone(), Outcome::GivenUp));
            }
            !expired
        });
        self.send_due(cx);
        given_up
    }

    /// Removes the call at `i` and returns its outcome if its time is over.
    fn give_up_if_expired(&mut self, i: usize, cx: &Context<'_>) -> Option<(T, Outcome)> {
        if !self.pending[i].has_expired(cx.now) {
            return None;
        }
        let entry = self.pending.remove(i);
        Some((entry.tag, Outcome::GivenUp))
    }

    fn retry_delay(&mut self, tries: u32) -> Span {
        let base = (RETRY_DELAY_MIN_MS << tries.min(8)).min(RETRY_DELAY_MAX_MS);
        Span(base / 2 + self.rng.u64(..=base / 2))
    }

    fn refill(&mut self, cx: &Context<'_>) {
        let full_rate = u64::from(cx.settings.limits.store_rate) * self.rate_percent / 100;
        let rate = if self.is_down() { full_rate.min(DOWN_CALLS_PER_S) } else { full_rate };
        let earned = cx.now.since(self.refilled_at).millis() * rate;
        let burst = (rate / BURST_DIVISOR).max(1) * MILLITOKENS_PER_TRY;
        self.millitokens = (self.millitokens + earned).min(burst);
        self.refilled_at = cx.now;
    }

    fn send_due(&mut self, cx: &mut Context<'_>) {
        self.refill(cx);
        let mut inflight = self.pending.iter().filter(|entry| entry.call.is_some()).count();
        let mut waiting: Vec<_> =
            self.pending.iter_mut().filter(|entry| entry.call.is_none()).collect();
        waiting.sort_by_key(|entry| entry.policy.queue_class());
        for entry in waiting {
            let may_send = inflight < cx.settings.limits.store_calls
                && self.millitokens >= MILLITOKENS_PER_TRY;
            if !may_send {
                return;
            }
            if entry.due > cx.now {
                continue;
            }
            if let RetryPolicy::Bounded(span) = entry.policy {
                entry.policy = RetryPolicy::Until(cx.now + span);
            }
            entry.call = Some(cx.out.store(self.component, entry.request.clone()));
            entry.tries += 1;
            inflight += 1;
            self.millitokens -= MILLITOKENS_PER_TRY;
            self.sent_tries += 1;
        }
    }
}

impl<T> PendingCall<T> {
    const fn is_write(&self) -> bool {
        matches!(
            self.request,
            StoreRequest::Put { .. } | StoreRequest::Delete { .. } | StoreRequest::KeepAlive { .. }
        )
    }

    fn has_expired(&self, now: Moment) -> bool {
        let until = match self.policy {
            RetryPolicy::Unlimited | RetryPolicy::Background => return false,
            RetryPolicy::Until(until) => until,
            RetryPolicy::Bounded(_) => self.due + QUEUE_WAIT_MAX,
        };
        !self.uncertain && now >= until
    }

    /// Returns the outcome of the call that `reply` answers.
    fn outcome(&self, reply: StoreReply) -> Outcome {
        match reply {
            StoreReply::Found { record } => Outcome::Found(record),
            StoreReply::Page { records, more } => Outcome::Page { records, more },
            StoreReply::Done { at } => Outcome::Written(at),
            StoreReply::Conflict { record } => self.conflict_outcome(record),
            StoreReply::Limited { .. } => {
                unreachable!("rate-limited calls are retried by the caller")
            }
        }
    }

    /// Returns the outcome of a write that conflicted with `record`. It took effect after all if
    /// the record has its value, or if the key that it deletes is gone.
    fn conflict_outcome(&self, record: Option<Record>) -> Outcome {
        match (&self.request, &record) {
            (StoreRequest::Put { value, .. }, Some(found)) if found.value == *value => {
                Outcome::Written(found.at)
            }
            (StoreRequest::Delete { at, .. }, None) => Outcome::Written(*at),
            _ => Outcome::Conflict(record),
        }
    }
}
