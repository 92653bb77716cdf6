//! Repeated calls with jitter and backoff, so that daemons that started together drift apart and
//! an outage isn't answered by a storm.

use bulrushlink_core::{Moment, Span};

use crate::edge::CallId;

/// Doublings after which a backoff grows no more, whatever its bound.
const BACKOFF_MAX_DOUBLINGS: u32 = 16;

/// Returns a span between three quarters and five quarters of `span`.
pub(crate) fn jitter(span: Span, rng: &mut fastrand::Rng) -> Span {
    let quarter = span.millis() / 4;
    Span(span.millis() - quarter + rng.u64(0..=2 * quarter))
}

/// One call that is made again and again, one at a time.
#[derive(Debug)]
pub(crate) struct Repeat {
    due: Moment,
    /// The call in progress and when it was sent.
    call: Option<(CallId, Moment)>,
    faults: u32,
}

impl Repeat {
    /// Makes a repeat whose first call is due at `due`.
    pub(crate) const fn open(due: Moment) -> Self {
        Self { due, call: None, faults: 0 }
    }

    /// Tells whether a call has to be made now. A call without an answer for `timeout` is given
    /// up, so that a lost answer can't end the repetition.
    pub(crate) fn is_due(&mut self, now: Moment, timeout: Span) -> bool {
        if self.call.is_some_and(|(_, sent)| now.since(sent) > timeout) {
            self.call = None;
        }
        self.call.is_none() && now >= self.due
    }

    /// Makes the next call due at once; one in progress is forgotten.
    pub(crate) fn restart(&mut self, now: Moment) {
        self.call = None;
        self.due = now;
    }

    /// Notes that `call` was made.
    pub(crate) fn sent(&mut self, call: CallId, now: Moment) {
        self.call = Some((call, now));
    }

    /// Takes the answer to `call`; returns when it was sent, or `None` for a call that isn't the
    /// one in progress.
    pub(crate) fn answered(&mut self, call: CallId) -> Option<Moment> {
        let (_, sent) = self.call.take_if(|(id, _)| *id == call)?;
        Some(sent)
    }

    /// Plans the next call after a success.
    pub(crate) fn after(&mut self, span: Span, now: Moment) {
        self.faults = 0;
        self.due = now + span;
    }

    /// Plans the next call after a fault: `first` later after the first one, and twice as late
    /// with each fault in a row, up to `most`.
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
