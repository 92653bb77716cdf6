//! The permit to start work, and when a version is surely in force everywhere.
//!
//! A *contact* of a daemon with version `v` is a moment that surely comes before every moment at
//! which a majority of the daemons, all together, hold a version above `v`. It comes from a read of
//! the head, or from a majority that echo later stamps and have no version above `v`, or from a
//! peer's own contact. Work may start while the latest contact is not older than the grace.
//!
//! A daemon forgets everything when it restarts. Until it has read the head, or heard from a
//! majority of the others, it vouches for nothing: it has no contact, passes none on and counts
//! for no majority. So once a majority has held `n` at one moment, no contact after that moment
//! can ever come about below `n`.

use bulrushlink_core::{DaemonId, Moment, NoteVersion, Span};

use super::Members;

/// Allowance for clocks that run at different speeds and for calls on their way.
const LAPSE_MARGIN: Span = Span::from_secs(2);
/// The longest time for which a daemon that was paused waits for a contact; one that nobody
/// answers goes on after it, within its grace.
const WAKE_HOLD: Span = Span::from_secs(3);

/// How far a version has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Settlement {
    /// Whether no daemon can start anything on an older version any more.
    pub(crate) done: bool,
    /// Daemons that may still act on an older version, sorted.
    pub(crate) pending: Vec<DaemonId>,
    /// Time after which the pending ones surely don't; `None` while no majority is known to have
    /// the version.
    pub(crate) within: Option<Span>,
}

impl Members {
    /// Takes an answer of the store to a read of the head that was sent at `sent` and showed no
    /// version above the one in force.
    pub(crate) fn on_store_contact(&mut self, sent: Moment) {
        self.contact = self.contact.max(Some(sent));
    }

    /// Notes that the process stood still for `gap` until `now`.
    pub(crate) fn on_pause(&mut self, gap: Span, now: Moment) {
        self.woke = Some(now);
        self.due = now;
        if gap >= self.timing.suspect {
            self.claim = now + self.timing.suspect;
        }
    }

    /// Tells whether this daemon has heard recently enough to start work under `grace`.
    pub(crate) fn permit(&self, now: Moment, grace: Span) -> bool {
        let Some(contact) = self.contact else { return false };
        let held = self.woke.is_some_and(|woke| contact < woke && now.since(woke) < WAKE_HOLD);
        !held && now.since(contact) <= grace
    }

    /// Tells whether this daemon has made sure of its version since its start.
    pub(crate) fn vouches(&self) -> bool {
        self.contact.is_some()
    }

    /// Tells how far `version` has come; `lapse` bounds the grace of every older version that a
    /// daemon may still have.
    pub(crate) fn settlement(&self, version: NoteVersion, lapse: Span, now: Moment) -> Settlement {
        let Some((_, moment)) = self.quorum.filter(|(held, _)| *held >= version) else {
            let pending = self.peers.iter().filter(|peer| peer.version < version);
            let pending = pending.map(|peer| peer.id.clone()).collect();
            return Settlement { done: false, pending, within: None };
        };
        let end = moment + lapse + LAPSE_MARGIN;
        if now >= end {
            return Settlement { done: true, pending: Vec::new(), within: None };
        }
        let open = |peer: &&super::Peer| peer.version < version || peer.echoed < Some(moment);
        let pending: Vec<_> = self.peers.iter().filter(open).map(|p| p.id.clone()).collect();
        let done = pending.is_empty();
        Settlement { done, pending, within: (!done).then(|| end.since(now)) }
    }

    /// Draws the conclusions from what the peers said last.
    pub(super) fn learn(&mut self, now: Moment) {
        self.contact = self.contact.max(self.majority_contact(now));
        if self.contact.is_some() {
            self.contact = self.contact.max(self.shared_contact());
        }
        if self.quorum.is_none_or(|(version, _)| version < self.own.version) {
            let moment = self.quorum_moment(self.own.version);
            self.quorum = moment.map(|m| (self.own.version, m)).or(self.quorum);
        }
    }

    const fn majority(&self) -> usize {
        let all = self.peers.len() + 1;
        all / 2 + 1
    }

    /// Returns the latest moment after which a majority had no version above the one here. This
    /// daemon is one of them, unless it has forgotten what it knew.
    fn majority_contact(&self, now: Moment) -> Option<Moment> {
        let agrees = |peer: &&super::Peer| peer.vouches() && peer.version <= self.own.version;
        let mut stamps: Vec<_> =
            self.peers.iter().filter(agrees).filter_map(|peer| peer.echoed).collect();
        if self.contact.is_some() {
            stamps.push(now);
        }
        stamps.sort_unstable_by(|a, b| b.cmp(a));
        stamps.get(self.majority() - 1).copied()
    }

    fn shared_contact(&self) -> Option<Moment> {
        let agrees = |peer: &&super::Peer| peer.version <= self.own.version;
        self.peers.iter().filter(agrees).filter_map(|peer| peer.contact).max()
    }

    /// Returns the earliest moment known at which a majority held `version` all together.
    fn quorum_moment(&self, version: NoteVersion) -> Option<Moment> {
        let holders = self.peers.iter().filter(|peer| peer.version >= version);
        let mut starts: Vec<_> = holders.map(|peer| peer.since.max(self.since)).collect();
        starts.push(self.since);
        starts.sort_unstable();
        let held = |moment: Moment| {
            1 + self.peers.iter().filter(|peer| peer.held(version, moment)).count()
        };
        starts.into_iter().find(|moment| held(*moment) >= self.majority())
    }
}
