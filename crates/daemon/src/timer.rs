//! Schedules repeated calls with jitter and exponential backoff, so that daemons that started
//! together don't stay synchronized and an outage doesn't cause a storm of retries.

use bulrushlink_core::{Moment, Span};

use crate::edge::CallId;

/// Doublings after which a backoff stops growing, whatever its upper bound; keeps the shift from
/// overflowing.
const BACKOFF_MAX_DOUBLINGS: u32 = 16;

/// Returns a random span between 75 % and 125 % of `span`.
pub(crate) fn jitter(span: Span, rng: &mut fastrand::Rng) -> Span {
    let quarter = span.millis() / 4;
    Span(span.millis() - quarter + rng.u64(0..=2 * quarter))
}

/// Schedule of one repeated call, of which at most one is in flight.
#[derive(Debug)]
pub(crate) struct RepeatedCall {
    due: Moment,
    /// The call in flight and when it was sent.
    call: Option<(CallId, Moment)>,
    /// Faults since the last success.
    faults: u32,
}

impl RepeatedCall {
    /// Creates a schedule whose first call is due at `due`.
    pub(crate) const fn open(due: Moment) -> Self {
        Self { due, call: None, faults: 0 }
    }

    /// Returns true if the next call has to be made now. A call without a reply for `timeout` is
    /// abandoned, so that a lost reply can't end the repetition.
    pub(crate) fn is_due(&mut self, now: Moment, timeout: Span) -> bool {
        if self.call.is_some_and(|(_, sent)| now.since(sent) > timeout) {
            self.call = None;
        }
        self.call.is_none() && now >= self.due
    }

    /// Makes the next call due at once and ignores the reply to one in flight.
    pub(crate) fn restart(&mut self, now: Moment) {
        self.call = None;
        self.due = now;
    }

    /// Records that `call` was sent at `now`.
    pub(crate) fn on_sent(&mut self, call: CallId, now: Moment) {
        self.call = Some((call, now));
    }

    /// Records the reply to `call`; returns when the call was sent, or `None` if it isn't the call
    /// in flight.
    pub(crate) fn on_reply(&mut self, call: CallId) -> Option<Moment> {
        let (_, sent) = self.call.take_if(|(id, _)| *id == call)?;
        Some(sent)
    }

    /// Schedules the next call after a success, `span` from `now`.
    pub(crate) fn schedule(&mut self, span: Span, now: Moment) {
        self.faults = 0;
        self.due = now + span;
    }

    /// Schedules the next call after a fault with exponential backoff: the delay is `first` after
    /// the first fault, doubles with each further fault in a row up to `most`, and gets jitter.
    pub(crate) fn back_off(
        &mut self,
        (first, most): (Span, Span),
        now: Moment,
        rng: &mut fastrand::Rng,
    ) {
        let doubled = first.millis() << self.faults.min(BACKOFF_MAX_DOUBLINGS);
        self.faults = self.faults.saturating_add(1);
        self.due = now + jitter(Span(doubled).min(most.max(first)), rng);
    }

    /// Returns the number of faults in a row.
    pub(crate) const fn faults(&self) -> u32 {
        self.faults
    }
}
