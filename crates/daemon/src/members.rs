//! Membership: which daemons are live, which one is the placer of each failure domain, and whether
//! this daemon is currently permitted to start work.
//!
//! In each round a daemon sends heartbeats to all daemons of its own failure domain and, in turn,
//! to a fixed number of the others, so that control traffic does not grow with the deployment. The
//! state of a peer is dated by this daemon's own timestamp that the peer echoes, never by the
//! arrival of a message, which may be delayed.

mod peer;
mod permit;
mod roles;
#[cfg(test)]
mod tests;

use bulrushlink_core::{DaemonId, DomainId, Load, Moment, NoteVersion, Span};

use crate::edge::Context;
use crate::hash::rank;
use crate::peer::{Echo, Heartbeat, PeerMessage, Phase};
use crate::settings::{Settings, Timing};
use crate::timer::jitter;
use peer::Peer;

/// Daemons of other failure domains that get a heartbeat in each round.
const REMOTE_FANOUT: usize = 2;
/// Heartbeat intervals for which a starting daemon listens before it may become placer without
/// having heard from every daemon of its failure domain.
const PLACER_DELAY_ROUNDS: u64 = 3;

/// State of this daemon that its heartbeats carry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Announcement {
    /// Version of the desired state in force on this daemon.
    pub(crate) version: NoteVersion,
    /// Lifecycle phase; only a daemon that is `Ready` counts as live for roles.
    pub(crate) phase: Phase,
    /// Whether this daemon is the placer of its failure domain.
    pub(crate) placing: bool,
    /// Load of the failure domain; only meaningful if `placing`.
    pub(crate) load: Load,
}

/// Last known state of all daemons of the deployment.
#[derive(Debug)]
pub(crate) struct Members {
    id: DaemonId,
    domain: DomainId,
    incarnation: u64,
    timing: Timing,
    /// All failure domains of the deployment, sorted.
    domains: Vec<DomainId>,
    /// All other daemons, sorted by id.
    peers: Vec<Peer>,
    /// Indices into `peers` of the daemons of other failure domains, in an order that differs from
    /// daemon to daemon.
    remote_order: Vec<usize>,
    /// Position in `remote_order` of the next daemon to contact.
    next_remote: usize,
    /// When the next round of heartbeats is due.
    next_round: Moment,
    /// When this daemon may become placer without having heard from all of its failure domain.
    placer_after: Moment,
    /// The state that the next heartbeats announce.
    own: Announcement,
    /// When `own.version` came into force on this daemon.
    version_since: Moment,
    /// Latest contact: at no moment up to it did a majority have a version above `own.version`.
    /// `None` until one is established after a start. The module `permit` defines contacts.
    contact: Option<Moment>,
    /// When the process last resumed after a pause; starts are then withheld until a new contact.
    resumed: Option<Moment>,
    /// The highest version known to have been on a majority at one and the same moment, and that
    /// moment.
    quorum: Option<(NoteVersion, Moment)>,
    rng: fastrand::Rng,
}

impl Members {
    pub(crate) fn open(settings: &Settings, now: Moment, incarnation: u64) -> Self {
        let id = settings.daemon.clone();
        let domain = settings.domain().clone();
        let mut domains: Vec<_> = settings.members.iter().map(|m| m.domain.clone()).collect();
        domains.sort();
        domains.dedup();
        let others = settings.members.iter().filter(|m| m.id != id);
        let peers: Vec<_> = others.map(Peer::new).collect();
        let mut remote_order: Vec<_> =
            (0..peers.len()).filter(|i| peers[*i].domain != domain).collect();
        remote_order.sort_by_key(|i| rank(id.as_str(), peers[*i].id.as_str()));
        let mut rng = fastrand::Rng::with_seed(rank(id.as_str(), "members") ^ incarnation);
        let timing = settings.timing;
        Self {
            next_round: now + Span(rng.u64(0..=timing.heartbeat.millis())),
            placer_after: now + Span(timing.heartbeat.millis() * PLACER_DELAY_ROUNDS),
            id,
            domain,
            incarnation,
            timing,
            domains,
            peers,
            remote_order,
            next_remote: 0,
            own: Announcement::default(),
            version_since: now,
            contact: None,
            resumed: None,
            quorum: None,
            rng,
        }
    }

    /// Sets the state that the next heartbeats carry. A new version, phase or role makes the next
    /// round due at once.
    pub(crate) fn announce(&mut self, announcement: Announcement, now: Moment) {
        assert!(announcement.version >= self.own.version, "the version in force never decreases");
        let newer = announcement.version > self.own.version;
        let role_changed =
            (announcement.phase, announcement.placing) != (self.own.phase, self.own.placing);
        self.own = announcement;
        if newer {
            self.version_since = now;
            self.refresh_quorum(now);
        }
        if newer || role_changed {
            self.next_round = self.next_round.min(now);
        }
    }

    /// Handles a heartbeat. One of an earlier incarnation, or older than one received before, has
    /// no effect.
    pub(crate) fn on_heartbeat(
        &mut self,
        from: &DaemonId,
        heartbeat: Heartbeat,
        cx: &mut Context<'_>,
    ) {
        let Ok(i) = self.peers.binary_search_by(|peer| peer.id.cmp(from)) else { return };
        let echo = heartbeat.echo.filter(|echo| echo.incarnation == self.incarnation);
        let stamp = echo.map(|echo| echo.stamp).filter(|stamp| *stamp <= cx.now);
        if !self.peers[i].update(&heartbeat, stamp, cx.now) {
            return;
        }
        self.refresh_quorum(cx.now);
        if heartbeat.ask {
            self.send(i, false, cx);
        }
    }

    /// Sends a round of heartbeats if one is due.
    pub(crate) fn tick(&mut self, cx: &mut Context<'_>) {
        if cx.now < self.next_round {
            return;
        }
        let heartbeat = self.timing.heartbeat;
        self.next_round = cx.now + jitter(heartbeat, &mut self.rng);
        self.refresh_quorum(cx.now);
        for i in 0..self.peers.len() {
            if self.peers[i].domain == self.domain {
                let ask = !self.peers[i].is_live(cx.now, heartbeat + heartbeat);
                self.send(i, ask, cx);
            }
        }
        for _ in 0..REMOTE_FANOUT.min(self.remote_order.len()) {
            let i = self.remote_order[self.next_remote % self.remote_order.len()];
            self.next_remote = (self.next_remote + 1) % self.remote_order.len();
            self.send(i, true, cx);
        }
    }

    fn send(&self, i: usize, ask: bool, cx: &mut Context<'_>) {
        let peer = &self.peers[i];
        let placer = self.placer(&self.domain, cx.now);
        let echo = peer.stamp.map(|stamp| Echo { incarnation: peer.incarnation, stamp });
        let heartbeat = Heartbeat {
            incarnation: self.incarnation,
            stamp: cx.now,
            echo,
            ask,
            version: self.own.version,
            phase: self.own.phase,
            placing: self.own.placing,
            load: placer.as_ref().map(|id| self.load(id)).unwrap_or_default(),
            placer,
            contact: self.contact.map(|contact| cx.now.since(contact)),
        };
        cx.out.peer(&peer.id, PeerMessage::Heartbeat(heartbeat));
    }

    /// Returns the time in which every daemon of other failure domains gets one heartbeat.
    fn remote_cycle(&self) -> Span {
        Span(
            self.timing.heartbeat.millis() * self.remote_order.len().div_ceil(REMOTE_FANOUT) as u64,
        )
    }

    /// Returns the silence after which `peer` is considered dead. A daemon of another failure
    /// domain is contacted only once per [`Self::remote_cycle`], so its timeout is longer.
    fn timeout(&self, peer: &Peer) -> Span {
        if peer.domain == self.domain {
            return self.timing.suspect;
        }
        self.timing.suspect + self.remote_cycle() + self.remote_cycle()
    }
}
