//! Settles store calls whose answers get lost.
//!
//! Each write is conditional and carries a value that only its writer can have made. So a write
//! whose answer is missing is just sent again: either it now takes effect, and the late one can't
//! any more, or the conflict shows the record, and that is ours or somebody else's.

use bulrushlink_api::{EdgeFault, Record, Revision, StoreReply, StoreRequest};
use bulrushlink_core::{Moment, Span};

use crate::edge::{CallId, Context, Duty};

/// First pause before a call is repeated; it doubles with each try.
const RETRY_FIRST_MS: u64 = 50;
/// Longest pause before a call is repeated.
const RETRY_MAX_MS: u64 = 2_000;
/// Longest time that a call of [`Patience::Brief`] waits for its first try.
const QUEUE_BOUND: Span = Span::from_secs(6);
/// Calls in a row without an answer from which on the store is taken for down.
const DOWN_FAULTS: u32 = 3;
/// Calls a second while the store doesn't answer.
const DOWN_RATE: u64 = 5;
/// Calls that may go out in a burst, as a part of the rate of a second.
const BURST_DIVISOR: u64 = 4;
/// Fractions of a call that the rate is counted in.
const CALL_COST: u64 = 1_000;

/// What came of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// A write took effect.
    Written(Revision),
    /// A write's condition doesn't hold, and it was not ours that changed the key.
    Conflict(Option<Record>),
    /// A read's answer.
    Found(Option<Record>),
    /// A page of a list.
    Page {
        /// The records in order.
        records: Vec<Record>,
        /// Whether more follow.
        more: bool,
    },
    /// Given up; it certainly had no effect and will have none.
    Lost,
}

/// How long a call is worth its while.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Patience {
    /// Until it is settled.
    Endless,
    /// For this time from its first try, and for [`QUEUE_BOUND`] before that; others go first.
    Brief(Span),
    /// Until this moment.
    Until(Moment),
    /// Until it is settled, but after all others.
    Idle,
}

impl Patience {
    /// Returns the place in the order of calls that wait for the rate.
    const fn rank(self) -> u8 {
        match self {
            Self::Endless | Self::Until(_) => 0,
            Self::Brief(_) => 1,
            Self::Idle => 2,
        }
    }
}

#[derive(Debug)]
struct Op<T> {
    tag: T,
    request: StoreRequest,
    /// The call that waits for its answer.
    call: Option<CallId>,
    due: Moment,
    tries: u32,
    /// Whether an earlier try may have had its effect.
    unsure: bool,
    /// When the call is given up, unless `unsure`.
    patience: Patience,
}

/// Store calls of one duty, each with a tag that comes back with its outcome.
#[derive(Debug)]
pub(crate) struct Journal<T> {
    duty: Duty,
    /// Part of the daemon's rate of store calls.
    percent: u64,
    ops: Vec<Op<T>>,
    /// Calls without an answer since the last one that had one.
    faults: u32,
    /// Calls that may be sent now, times [`CALL_COST`].
    credit: u64,
    refilled: Moment,
    calls: u64,
    rng: fastrand::Rng,
}

impl<T: Clone> Journal<T> {
    pub(crate) fn open(duty: Duty, percent: u64, now: Moment, seed: u64) -> Self {
        Self {
            duty,
            percent,
            ops: Vec::new(),
            faults: 0,
            credit: CALL_COST,
            refilled: now,
            calls: 0,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Tells whether the last calls had no answer.
    pub(crate) fn is_down(&self) -> bool {
        self.faults >= DOWN_FAULTS
    }

    /// Returns the number of calls sent so far.
    pub(crate) fn calls(&self) -> u64 {
        self.calls
    }

    /// Tells whether a new call would wait too long for its turn.
    pub(crate) fn is_crowded(&self, cx: &Context<'_>) -> bool {
        let ahead = |op: &&Op<T>| op.call.is_none() && !matches!(op.patience, Patience::Idle);
        let waiting = self.ops.iter().filter(ahead).count() as u64;
        let rate = u64::from(cx.settings.limits.store_rate) * self.percent / 100;
        // Each create is followed by one more call at least.
        waiting * 2 * 1_000 >= rate * QUEUE_BOUND.0
    }

    /// Returns the number of calls without an outcome.
    pub(crate) fn open_calls(&self) -> usize {
        self.ops.len()
    }

    /// Returns the number of calls with such a tag that have no outcome.
    pub(crate) fn open_calls_of(&self, wanted: impl Fn(&T) -> bool) -> usize {
        self.ops.iter().filter(|op| wanted(&op.tag)).count()
    }

    /// Tells whether a call with such a tag has no outcome yet.
    pub(crate) fn has(&self, wanted: impl Fn(&T) -> bool) -> bool {
        self.ops.iter().any(|op| wanted(&op.tag))
    }

    /// Tells whether a write with such a tag may or may not have had its effect.
    pub(crate) fn is_doubtful(&self, wanted: impl Fn(&T) -> bool) -> bool {
        self.ops.iter().any(|op| op.unsure && wanted(&op.tag))
    }

    /// Takes calls back that certainly have had no effect; tells whether none is left.
    pub(crate) fn take_back(&mut self, wanted: impl Fn(&T) -> bool) -> bool {
        self.ops.retain(|op| !wanted(&op.tag) || op.call.is_some() || op.unsure);
        !self.has(wanted)
    }

    /// Makes a call, now or as soon as the rate allows.
    pub(crate) fn call(
        &mut self,
        tag: T,
        request: StoreRequest,
        patience: Patience,
        cx: &mut Context<'_>,
    ) {
        let op = Op { tag, request, call: None, due: cx.now, tries: 0, unsure: false, patience };
        self.ops.push(op);
        self.send_due(cx);
    }

    /// Takes an answer; `None` when the call goes on.
    pub(crate) fn on_store(
        &mut self,
        call: CallId,
        result: Result<StoreReply, EdgeFault>,
        cx: &mut Context<'_>,
    ) -> Option<(T, Outcome)> {
        let i = self.ops.iter().position(|op| op.call == Some(call))?;
        self.ops[i].call = None;
        let outcome = match result {
            Ok(StoreReply::Limited { retry }) => {
                self.ops[i].due = cx.now + retry + Span(self.rng.u64(..=RETRY_FIRST_MS));
                return self.give_up(i, cx);
            }
            Ok(reply) => {
                self.faults = 0;
                self.ops[i].settle(reply)
            }
            Err(fault) => {
                self.faults = self.faults.saturating_add(1);
                let pause = self.pause(self.ops[i].tries);
                self.ops[i].due = cx.now + pause;
                self.ops[i].unsure |= fault == EdgeFault::Silent && self.ops[i].is_write();
                return self.give_up(i, cx);
            }
        };
        let op = self.ops.remove(i);
        self.send_due(cx);
        Some((op.tag, outcome))
    }

    /// Sends what is due and returns what is given up.
    pub(crate) fn tick(&mut self, cx: &mut Context<'_>) -> Vec<(T, Outcome)> {
        let mut lost = Vec::new();
        self.ops.retain(|op| {
            let gone = op.call.is_none() && op.is_over(cx.now);
            if gone {
                lost.push((op.tag.clone(), Outcome::Lost));
            }
            !gone
        });
        self.send_due(cx);
        lost
    }

    fn give_up(&mut self, i: usize, cx: &Context<'_>) -> Option<(T, Outcome)> {
        if !self.ops[i].is_over(cx.now) {
            return None;
        }
        let op = self.ops.remove(i);
        Some((op.tag, Outcome::Lost))
    }

    fn pause(&mut self, tries: u32) -> Span {
        let base = (RETRY_FIRST_MS << tries.min(8)).min(RETRY_MAX_MS);
        Span(base / 2 + self.rng.u64(..=base / 2))
    }

    fn refill(&mut self, cx: &Context<'_>) {
        let full = u64::from(cx.settings.limits.store_rate) * self.percent / 100;
        let rate = if self.is_down() { full.min(DOWN_RATE) } else { full };
        let earned = cx.now.since(self.refilled).millis() * rate;
        let most = (rate / BURST_DIVISOR).max(1) * CALL_COST;
        self.credit = (self.credit + earned).min(most);
        self.refilled = cx.now;
    }

    fn send_due(&mut self, cx: &mut Context<'_>) {
        self.refill(cx);
        let mut flying = self.ops.iter().filter(|op| op.call.is_some()).count();
        let mut waiting: Vec<_> = self.ops.iter_mut().filter(|op| op.call.is_none()).collect();
        waiting.sort_by_key(|op| op.patience.rank());
        for op in waiting {
            let free = flying < cx.settings.limits.store_calls && self.credit >= CALL_COST;
            if !free {
                return;
            }
            if op.due > cx.now {
                continue;
            }
            if let Patience::Brief(span) = op.patience {
                op.patience = Patience::Until(cx.now + span);
            }
            op.call = Some(cx.out.store(self.duty, op.request.clone()));
            op.tries += 1;
            flying += 1;
            self.credit -= CALL_COST;
            self.calls += 1;
        }
    }
}

impl<T> Op<T> {
    const fn is_write(&self) -> bool {
        matches!(
            self.request,
            StoreRequest::Put { .. } | StoreRequest::Delete { .. } | StoreRequest::KeepAlive { .. }
        )
    }

    fn is_over(&self, now: Moment) -> bool {
        let until = match self.patience {
            Patience::Endless | Patience::Idle => return false,
            Patience::Until(until) => until,
            Patience::Brief(_) => self.due + QUEUE_BOUND,
        };
        !self.unsure && now >= until
    }

    fn settle(&self, reply: StoreReply) -> Outcome {
        match reply {
            StoreReply::Found { record } => Outcome::Found(record),
            StoreReply::Page { records, more } => Outcome::Page { records, more },
            StoreReply::Done { at } => Outcome::Written(at),
            StoreReply::Conflict { record } => self.settle_conflict(record),
            StoreReply::Limited { .. } => unreachable!("handled before"),
        }
    }

    fn settle_conflict(&self, record: Option<Record>) -> Outcome {
        match (&self.request, &record) {
            (StoreRequest::Put { value, .. }, Some(found)) if found.value == *value => {
                Outcome::Written(found.at)
            }
            (StoreRequest::Delete { at, .. }, None) => Outcome::Written(*at),
            _ => Outcome::Conflict(record),
        }
    }
}
