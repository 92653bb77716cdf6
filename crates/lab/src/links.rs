//! The network between all parties: latency, loss, duplication, reordering and one-way cuts.

use bulrushlink_core::{DaemonId, Span, WorkerId};
use fastrand::Rng;

/// Largest extra delay of a late message.
const EXTRA_DELAY_MAX_MS: u64 = 6_000;

/// A communicating party.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Party {
    /// A daemon.
    Daemon(DaemonId),
    /// A worker.
    Worker(WorkerId),
    /// The platform's store.
    Store,
    /// The platform's host list.
    Hosts,
}

/// Probabilities of faults of a message, in thousandths.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Noise {
    /// The message is lost.
    pub lost: u16,
    /// The message is delivered twice; applies only between daemons.
    pub repeated: u16,
    /// The message is delivered up to 6 s late.
    pub late: u16,
}

/// One direction of a link.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Direction {
    from: Party,
    to: Party,
}

/// The state of the network.
#[derive(Debug)]
pub(crate) struct Links {
    pub(crate) noise: Noise,
    /// Directions that lose all messages; sorted, without duplicates.
    cuts: Vec<Direction>,
    /// Directions in which calls take effect and lose their replies; sorted, without duplicates.
    dropped_replies: Vec<Direction>,
    /// One-way latency between two parties.
    base: Span,
}

impl Links {
    pub(crate) fn open(base: Span) -> Self {
        Self { noise: Noise::default(), cuts: Vec::new(), dropped_replies: Vec::new(), base }
    }

    /// Cuts the direction from `from` to `to`.
    pub(crate) fn cut(&mut self, from: &Party, to: &Party) {
        let direction = Direction { from: from.clone(), to: to.clone() };
        if let Err(i) = self.cuts.binary_search(&direction) {
            self.cuts.insert(i, direction);
        }
    }

    /// Drops the replies to calls from `from` to `to` from now on.
    pub(crate) fn drop_replies(&mut self, from: &Party, to: &Party) {
        let direction = Direction { from: from.clone(), to: to.clone() };
        if let Err(i) = self.dropped_replies.binary_search(&direction) {
            self.dropped_replies.insert(i, direction);
        }
    }

    /// Returns true if replies to calls from `from` to `to` are dropped.
    pub(crate) fn are_replies_dropped(&self, from: &Party, to: &Party) -> bool {
        let direction = Direction { from: from.clone(), to: to.clone() };
        self.dropped_replies.binary_search(&direction).is_ok()
    }

    /// Returns true if no fault is active: every message arrives once and without extra delay.
    pub(crate) fn is_clean(&self) -> bool {
        self.cuts.is_empty() && self.dropped_replies.is_empty() && self.noise == Noise::default()
    }

    /// Restores all cut directions and stops dropping replies; the noise stays.
    pub(crate) fn restore(&mut self) {
        self.cuts.clear();
        self.dropped_replies.clear();
    }

    /// Returns true if the direction from `from` to `to` is cut.
    pub(crate) fn is_cut(&self, from: &Party, to: &Party) -> bool {
        let direction = Direction { from: from.clone(), to: to.clone() };
        self.cuts.binary_search(&direction).is_ok()
    }

    /// Draws the delay of a message; `None` if it is lost.
    pub(crate) fn delay(&self, rng: &mut Rng) -> Option<Span> {
        if rng.u16(0..1000) < self.noise.lost {
            return None;
        }
        let late = rng.u16(0..1000) < self.noise.late;
        let extra = if late { rng.u64(0..EXTRA_DELAY_MAX_MS) } else { 0 };
        Some(Span(self.base.millis() + rng.u64(0..=1) + extra))
    }

    /// Draws whether a message is delivered twice.
    pub(crate) fn draw_repeat(&self, rng: &mut Rng) -> bool {
        rng.u16(0..1000) < self.noise.repeated
    }
}
