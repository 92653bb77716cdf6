//! The permit to start work, and the rollout of a new version of the desired state.
//!
//! A *contact* of a daemon with version `v` is a moment that is certain to precede every moment at
//! which a majority of the daemons simultaneously have a version above `v`. It is established by a
//! read of the head in the store, by a majority of daemons with no version above `v` that echo
//! later stamps, or by the contact of a peer. A daemon may start work while its latest contact is
//! no older than the grace.
//!
//! A daemon loses all state when it restarts. Until it has read the head or heard from a majority
//! of the other daemons it has no contact, passes none on and counts towards no majority.
//! Therefore, once a majority has had version `n` at one moment, a daemon with a version below `n`
//! can never get a contact later than that moment.

use bulrushlink_core::{DaemonId, Moment, NoteVersion, Span};

use super::Members;

/// Allowance for differing clock rates and for calls in flight.
const PERMIT_EXPIRY_MARGIN: Span = Span::from_secs(2);
/// Maximum time for which a daemon that resumes after a pause withholds starts until it gets a new
/// contact. If none comes, it continues within its grace.
const RESUME_WAIT_MAX: Span = Span::from_secs(3);

/// Progress of a version's rollout to all daemons.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Rollout {
    /// Whether no daemon can start work on an older version any more.
    pub(crate) done: bool,
    /// Daemons that may still start work on an older version, sorted.
    pub(crate) pending: Vec<DaemonId>,
    /// Time until the permits of the pending daemons have certainly expired; `None` if there are
    /// none, or while no majority is known to have the version.
    pub(crate) done_within: Option<Span>,
}

impl Members {
    /// Records a contact: a read of the head that was sent to the store at `sent` returned no
    /// version above the one in force.
    pub(crate) fn on_store_contact(&mut self, sent: Moment) {
        self.contact = self.contact.max(Some(sent));
    }

    /// Handles a pause of the process that lasted for `gap` until `now`.
    pub(crate) fn on_pause(&mut self, gap: Span, now: Moment) {
        self.resumed = Some(now);
        self.next_round = now;
        if gap >= self.timing.suspect {
            self.placer_after = now + self.timing.suspect;
        }
    }

    /// Returns true if this daemon may start work: its latest contact is no older than `grace`, and
    /// it is not waiting for a new contact after a pause.
    pub(crate) fn may_start(&self, now: Moment, grace: Span) -> bool {
        let Some(contact) = self.contact else { return false };
        let withheld = self
            .resumed
            .is_some_and(|resumed| contact < resumed && now.since(resumed) < RESUME_WAIT_MAX);
        !withheld && now.since(contact) <= grace
    }

    /// Returns true if this daemon has had a contact since its start.
    pub(crate) fn has_contact(&self) -> bool {
        self.contact.is_some()
    }

    /// Returns the progress of the rollout of `version`. `longest_grace` is an upper bound on
    /// the grace of every older version that a daemon may still have.
    pub(crate) fn rollout(
        &self,
        version: NoteVersion,
        longest_grace: Span,
        now: Moment,
    ) -> Rollout {
        let Some((_, moment)) = self.quorum.filter(|(quorum, _)| *quorum >= version) else {
            let pending = self.peers.iter().filter(|peer| peer.version < version);
            let pending = pending.map(|peer| peer.id.clone()).collect();
            return Rollout { done: false, pending, done_within: None };
        };
        let end = moment + longest_grace + PERMIT_EXPIRY_MARGIN;
        if now >= end {
            return Rollout { done: true, pending: Vec::new(), done_within: None };
        }
        let unconfirmed =
            |peer: &&super::Peer| peer.version < version || peer.echoed < Some(moment);
        let pending: Vec<_> = self.peers.iter().filter(unconfirmed).map(|p| p.id.clone()).collect();
        let done = pending.is_empty();
        Rollout { done, pending, done_within: (!done).then(|| end.since(now)) }
    }

    /// Recomputes `contact` and `quorum` from the latest heartbeats.
    pub(super) fn refresh_quorum(&mut self, now: Moment) {
        self.contact = self.contact.max(self.majority_contact(now));
        if self.contact.is_some() {
            self.contact = self.contact.max(self.peer_contact());
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

    /// Returns the latest moment at or after which a majority of the daemons had no version above
    /// this daemon's. This daemon itself counts only if it has had a contact since its start.
    fn majority_contact(&self, now: Moment) -> Option<Moment> {
        let agrees = |peer: &&super::Peer| peer.has_contact() && peer.version <= self.own.version;
        let mut stamps: Vec<_> =
            self.peers.iter().filter(agrees).filter_map(|peer| peer.echoed).collect();
        if self.contact.is_some() {
            stamps.push(now);
        }
        stamps.sort_unstable_by(|a, b| b.cmp(a));
        stamps.get(self.majority() - 1).copied()
    }

    fn peer_contact(&self) -> Option<Moment> {
        let agrees = |peer: &&super::Peer| peer.version <= self.own.version;
        self.peers.iter().filter(agrees).filter_map(|peer| peer.contact).max()
    }

    /// Returns the earliest known moment at which a majority had `version` simultaneously.
    fn quorum_moment(&self, version: NoteVersion) -> Option<Moment> {
        let holders = self.peers.iter().filter(|peer| peer.version >= version);
        let mut starts: Vec<_> =
            holders.map(|peer| peer.version_since.max(self.version_since)).collect();
        starts.push(self.version_since);
        starts.sort_unstable();
        let count_at = |moment: Moment| {
            1 + self.peers.iter().filter(|peer| peer.had_version(version, moment)).count()
        };
        starts.into_iter().find(|moment| count_at(*moment) >= self.majority())
    }
}
