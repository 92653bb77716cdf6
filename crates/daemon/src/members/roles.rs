//! Live daemons, the election of placers, and what routing and operators see of both.

use bulrushlink_api::InForce;
use bulrushlink_core::{DaemonId, DomainId, DomainView, Load, Moment};

use super::Members;
use super::peer::Peer;
use crate::hash::rank;
use crate::peer::Phase;

impl Members {
    /// Returns the live and ready daemons of a failure domain, sorted; includes this daemon if it
    /// is one of them.
    pub(crate) fn live(&self, domain: &DomainId, now: Moment) -> Vec<DaemonId> {
        let peers = self.ready_peers(domain, now).map(|peer| peer.id.clone());
        let own = (*domain == self.domain && self.own.phase == Phase::Ready).then_some(&self.id);
        let mut live: Vec<_> = peers.chain(own.cloned()).collect();
        live.sort();
        live
    }

    /// Returns the placer of a failure domain, as far as it is known.
    pub(crate) fn placer(&self, domain: &DomainId, now: Moment) -> Option<DaemonId> {
        if *domain == self.domain {
            return self.elect_placer(now);
        }
        let peer = self.latest_peer(domain, now)?;
        peer.placer.clone()
    }

    /// Elects the placer of this daemon's own failure domain. A daemon without a contact ranks
    /// last, because it is not permitted to start work. The current placer is preferred, so that a
    /// daemon that joins or returns does not move the role. Ties are broken by rendezvous hash.
    fn elect_placer(&self, now: Moment) -> Option<DaemonId> {
        let rank = |id: &DaemonId| rank(self.domain.as_str(), id.as_str());
        let peers = self.ready_peers(&self.domain, now);
        let peers = peers.map(|p| ((p.has_contact(), p.placing, rank(&p.id)), &p.id));
        let eligible = self.own.phase == Phase::Ready && self.may_become_placer(now);
        let own = ((self.has_contact(), self.own.placing, rank(&self.id)), &self.id);
        peers.chain(eligible.then_some(own)).max().map(|(_, id)| id.clone())
    }

    /// Returns the daemon of another failure domain with the most recent information about that
    /// domain. Each of its daemons knows its placer, so a heartbeat from any one of them suffices.
    fn latest_peer<'a>(&'a self, domain: &'a DomainId, now: Moment) -> Option<&'a Peer> {
        let informed = self.ready_peers(domain, now).filter(|peer| peer.placer.is_some());
        informed.max_by_key(|peer| (peer.echoed, peer.placing))
    }

    /// Returns the load and reachability of every failure domain, for routing.
    pub(crate) fn views(&self, now: Moment) -> Vec<DomainView> {
        self.domains.iter().map(|id| self.view(id, now)).collect()
    }

    fn view(&self, domain: &DomainId, now: Moment) -> DomainView {
        let load = if *domain == self.domain {
            self.elect_placer(now).map(|id| self.load(&id))
        } else {
            self.latest_peer(domain, now).map(|peer| peer.load)
        };
        let reachable = self.placer(domain, now).is_some_and(|id| !self.is_silent(&id, now));
        DomainView { id: domain.clone(), load: load.unwrap_or_default(), reachable }
    }

    /// Returns true if a daemon was live before and no longer is. One that has not been contacted
    /// yet does not count as silent.
    fn is_silent(&self, id: &DaemonId, now: Moment) -> bool {
        let found = self.peers.binary_search_by(|peer| peer.id.cmp(id));
        let peer = found.ok().map(|i| &self.peers[i]).filter(|peer| peer.echoed.is_some());
        peer.is_some_and(|peer| !peer.is_live(now, self.timeout(peer)))
    }

    /// Returns the load of this daemon's own failure domain, as announced by its placer.
    pub(super) fn load(&self, placer: &DaemonId) -> Load {
        let peer = self.peers.binary_search_by(|peer| peer.id.cmp(placer));
        peer.map(|i| self.peers[i].load).unwrap_or(self.own.load)
    }

    /// Returns the version in force on each daemon, sorted by daemon.
    pub(crate) fn in_force(&self, now: Moment) -> Vec<InForce> {
        let own = InForce {
            daemon: self.id.clone(),
            domain: self.domain.clone(),
            version: Some(self.own.version),
            heard: Some(bulrushlink_core::Span::ZERO),
        };
        let peers = self.peers.iter().map(|peer| InForce {
            daemon: peer.id.clone(),
            domain: peer.domain.clone(),
            version: peer.heard.map(|_| peer.version),
            heard: peer.heard.map(|heard| now.since(heard)),
        });
        let mut rows: Vec<_> = peers.chain([own]).collect();
        rows.sort_by(|a, b| a.daemon.cmp(&b.daemon));
        rows
    }

    /// Returns the membership section of the operators' state dump.
    pub(crate) fn dump(&self, now: Moment) -> serde_json::Value {
        let age = |moment: Option<Moment>| moment.map(|m| now.since(m).millis());
        let peers: Vec<_> = self
            .peers
            .iter()
            .map(|peer| {
                serde_json::json!({
                    "id": peer.id,
                    "incarnation": peer.incarnation,
                    "live": peer.is_live(now, self.timeout(peer)),
                    "phase": format!("{:?}", peer.phase),
                    "placing": peer.placing,
                    "version": peer.version,
                    "heard_ms": age(peer.heard),
                    "echoed_ms": age(peer.echoed),
                    "vouches": peer.has_contact(),
                })
            })
            .collect();
        serde_json::json!({
            "incarnation": self.incarnation,
            "phase": format!("{:?}", self.own.phase),
            "placing": self.own.placing,
            "placer": self.placer(&self.domain, now),
            "contact_ms": age(self.contact),
            "woke_ms": age(self.resumed),
            "quorum": self.quorum.map(|(version, _)| version),
            "peers": peers,
        })
    }

    fn ready_peers<'a>(
        &'a self,
        domain: &'a DomainId,
        now: Moment,
    ) -> impl Iterator<Item = &'a Peer> {
        let live = move |peer: &&Peer| {
            let ready = peer.domain == *domain && peer.phase == Phase::Ready;
            ready && peer.is_live(now, self.timeout(peer))
        };
        self.peers.iter().filter(live)
    }

    /// Returns true if this daemon has heard from all daemons of its failure domain, or has
    /// listened for long enough to know which of them are live.
    fn may_become_placer(&self, now: Moment) -> bool {
        let mut domain_peers = self.peers.iter().filter(|peer| peer.domain == self.domain);
        now >= self.placer_after || domain_peers.all(|peer| peer.is_live(now, self.timeout(peer)))
    }
}
