//! The network between all parties: latency, loss, repeats, reordering and one-way cuts.

use bulrushlink_core::{DaemonId, Span, WorkerId};
use fastrand::Rng;

/// Extra delay of a message that is late, in milliseconds.
const LATE_MAX_MS: u64 = 6_000;

/// A party of the network.
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

/// Probabilities of faults of one message, in units of a thousandth.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Noise {
    /// Lost.
    pub lost: u16,
    /// Delivered twice; only between daemons.
    pub repeated: u16,
    /// Delivered late, by up to six seconds.
    pub late: u16,
}

/// A one-way cut.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Cut {
    from: Party,
    to: Party,
}

/// The state of the network.
#[derive(Debug)]
pub(crate) struct Links {
    pub(crate) noise: Noise,
    /// Sorted, without repeats.
    cuts: Vec<Cut>,
    /// Calls from the first party to the second one have their effect and lose their answer.
    /// Sorted, without repeats.
    mutes: Vec<Cut>,
    /// One-way latency between two parties of the platform.
    base: Span,
}

impl Links {
    pub(crate) fn open(base: Span) -> Self {
        Self { noise: Noise::default(), cuts: Vec::new(), mutes: Vec::new(), base }
    }

    /// Cuts one direction.
    pub(crate) fn cut(&mut self, from: &Party, to: &Party) {
        let cut = Cut { from: from.clone(), to: to.clone() };
        if let Err(i) = self.cuts.binary_search(&cut) {
            self.cuts.insert(i, cut);
        }
    }

    /// Lets the answers to calls from `from` to `to` get lost.
    pub(crate) fn mute(&mut self, from: &Party, to: &Party) {
        let mute = Cut { from: from.clone(), to: to.clone() };
        if let Err(i) = self.mutes.binary_search(&mute) {
            self.mutes.insert(i, mute);
        }
    }

    /// Tells whether answers to calls from `from` to `to` get lost.
    pub(crate) fn is_mute(&self, from: &Party, to: &Party) -> bool {
        let mute = Cut { from: from.clone(), to: to.clone() };
        self.mutes.binary_search(&mute).is_ok()
    }

    /// Tells whether every message arrives, once and soon.
    pub(crate) fn is_clean(&self) -> bool {
        self.cuts.is_empty() && self.mutes.is_empty() && self.noise == Noise::default()
    }

    /// Mends all cuts.
    pub(crate) fn mend(&mut self) {
        self.cuts.clear();
        self.mutes.clear();
    }

    /// Tells whether a direction is cut.
    pub(crate) fn is_cut(&self, from: &Party, to: &Party) -> bool {
        let cut = Cut { from: from.clone(), to: to.clone() };
        self.cuts.binary_search(&cut).is_ok()
    }

    /// Draws the delay of one message; `None` when it is lost.
    pub(crate) fn delay(&self, rng: &mut Rng) -> Option<Span> {
        if rng.u16(0..1000) < self.noise.lost {
            return None;
        }
        let late = rng.u16(0..1000) < self.noise.late;
        let extra = if late { rng.u64(0..LATE_MAX_MS) } else { 0 };
        Some(Span(self.base.millis() + rng.u64(0..=1) + extra))
    }

    /// Draws whether a message is delivered twice.
    pub(crate) fn repeats(&self, rng: &mut Rng) -> bool {
        rng.u16(0..1000) < self.noise.repeated
    }
}
