//! Which daemons are alive, who places work in which failure domain, and whether this daemon may
//! start work now.
//!
//! A daemon heartbeats every daemon of its own failure domain, and a fixed number of the others in
//! turn, so that the cost of control doesn't grow with the deployment. Whatever is learned from a
//! peer counts from the moment at which this daemon sent the stamp that the peer echoes, never
//! from the arrival of a message that may be late.

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
const FAN_OUT: usize = 2;
/// Rounds that a daemon listens before it claims a role in its failure domain.
const CLAIM_ROUNDS: u64 = 3;

/// What this daemon tells about itself in its heartbeats.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Announcement {
    /// Version in force here.
    pub(crate) version: NoteVersion,
    /// Life cycle.
    pub(crate) phase: Phase,
    /// Whether this daemon places work in its failure domain.
    pub(crate) placing: bool,
    /// Load of the failure domain, if it places there.
    pub(crate) load: Load,
}

/// What is known of the daemons of the deployment.
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
    /// Indices of the peers in other failure domains, in this daemon's own order.
    order: Vec<usize>,
    /// Position in `order` that is next.
    turn: usize,
    /// When the next round is due.
    due: Moment,
    /// From when on this daemon may claim a role without having heard from all of its domain.
    claim: Moment,
    own: Announcement,
    /// When `own.version` came into force.
    since: Moment,
    /// The latest moment that surely comes before a majority holds a version above the one in
    /// force here; `None` before the first one since the start.
    contact: Option<Moment>,
    /// When this daemon woke from a pause, until a contact or a hold has followed.
    woke: Option<Moment>,
    /// The highest version that a majority held all at the same time, and when they did.
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
        let mut order: Vec<_> = (0..peers.len()).filter(|i| peers[*i].domain != domain).collect();
        order.sort_by_key(|i| rank(id.as_str(), peers[*i].id.as_str()));
        let mut rng = fastrand::Rng::with_seed(rank(id.as_str(), "members") ^ incarnation);
        let timing = settings.timing;
        Self {
            due: now + Span(rng.u64(0..=timing.heartbeat.millis())),
            claim: now + Span(timing.heartbeat.millis() * CLAIM_ROUNDS),
            id,
            domain,
            incarnation,
            timing,
            domains,
            peers,
            order,
            turn: 0,
            own: Announcement::default(),
            since: now,
            contact: None,
            woke: None,
            quorum: None,
            rng,
        }
    }

    /// Sets what the next heartbeats say. A new version or role is told in a round of its own.
    pub(crate) fn announce(&mut self, announcement: Announcement, now: Moment) {
        assert!(announcement.version >= self.own.version, "a version in force never reverts");
        let newer = announcement.version > self.own.version;
        let news = (announcement.phase, announcement.placing) != (self.own.phase, self.own.placing);
        self.own = announcement;
        if newer {
            self.since = now;
            self.learn(now);
        }
        if newer || news {
            self.due = self.due.min(now);
        }
    }

    /// Takes a heartbeat. One of an older incarnation, or older than one heard before, is of no
    /// use and has no effect.
    pub(crate) fn on_heartbeat(
        &mut self,
        from: &DaemonId,
        heartbeat: Heartbeat,
        cx: &mut Context<'_>,
    ) {
        let Ok(i) = self.peers.binary_search_by(|peer| peer.id.cmp(from)) else { return };
        let echo = heartbeat.echo.filter(|echo| echo.incarnation == self.incarnation);
        let stamp = echo.map(|echo| echo.stamp).filter(|stamp| *stamp <= cx.now);
        if !self.peers[i].take(&heartbeat, stamp, cx.now) {
            return;
        }
        self.learn(cx.now);
        if heartbeat.ask {
            self.send(i, false, cx);
        }
    }

    /// Sends the heartbeats that are due.
    pub(crate) fn tick(&mut self, cx: &mut Context<'_>) {
        if cx.now < self.due {
            return;
        }
        let heartbeat = self.timing.heartbeat;
        self.due = cx.now + jitter(heartbeat, &mut self.rng);
        self.learn(cx.now);
        for i in 0..self.peers.len() {
            if self.peers[i].domain == self.domain {
                let ask = !self.peers[i].is_live(cx.now, heartbeat + heartbeat);
                self.send(i, ask, cx);
            }
        }
        for _ in 0..FAN_OUT.min(self.order.len()) {
            let i = self.order[self.turn % self.order.len()];
            self.turn = (self.turn + 1) % self.order.len();
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

    /// Returns the time in which every daemon of the other failure domains has its turn.
    fn round(&self) -> Span {
        Span(self.timing.heartbeat.millis() * self.order.len().div_ceil(FAN_OUT) as u64)
    }

    /// Returns the silence after which `peer` is taken for dead. Daemons of other failure domains
    /// are heard from just once in a round.
    fn timeout(&self, peer: &Peer) -> Span {
        if peer.domain == self.domain {
            return self.timing.suspect;
        }
        self.timing.suspect + self.round() + self.round()
    }
}
