//! Who is alive, who places, and what others see of it.

use bulrushlink_api::InForce;
use bulrushlink_core::{DaemonId, DomainId, DomainView, Load, Moment};

use super::Members;
use super::peer::Peer;
use crate::hash::rank;
use crate::peer::Phase;

impl Members {
    /// Lists the live daemons of a failure domain that serve, this one too, sorted.
    pub(crate) fn live(&self, domain: &DomainId, now: Moment) -> Vec<DaemonId> {
        let peers = self.serving(domain, now).map(|peer| peer.id.clone());
        let own = (*domain == self.domain && self.own.phase == Phase::Ready).then_some(&self.id);
        let mut live: Vec<_> = peers.chain(own.cloned()).collect();
        live.sort();
        live
    }

    /// Names the daemon that places work in a failure domain.
    pub(crate) fn placer(&self, domain: &DomainId, now: Moment) -> Option<DaemonId> {
        if *domain == self.domain {
            return self.choose(now);
        }
        let source = self.source(domain, now)?;
        source.placer.clone()
    }

    /// Chooses the placer of the own failure domain. Who places already goes on, so that a return
    /// or a new daemon moves nothing; among equals the rendezvous hash decides. A daemon that
    /// hasn't made sure of its version can't start work and comes last.
    fn choose(&self, now: Moment) -> Option<DaemonId> {
        let rank = |id: &DaemonId| rank(self.domain.as_str(), id.as_str());
        let peers = self.serving(&self.domain, now);
        let peers = peers.map(|p| ((p.vouches(), p.placing, rank(&p.id)), &p.id));
        let able = self.own.phase == Phase::Ready && self.may_claim(now);
        let own = ((self.vouches(), self.own.placing, rank(&self.id)), &self.id);
        peers.chain(able.then_some(own)).max().map(|(_, id)| id.clone())
    }

    /// Returns the daemon of another failure domain whose word about that domain is the latest.
    /// Any daemon of it knows the placer, so that one contact in turn with any tells enough.
    fn source<'a>(&'a self, domain: &'a DomainId, now: Moment) -> Option<&'a Peer> {
        let known = self.serving(domain, now).filter(|peer| peer.placer.is_some());
        known.max_by_key(|peer| (peer.echoed, peer.placing))
    }

    /// Lists the failure domains for routing.
    pub(crate) fn views(&self, now: Moment) -> Vec<DomainView> {
        self.domains.iter().map(|id| self.view(id, now)).collect()
    }

    fn view(&self, domain: &DomainId, now: Moment) -> DomainView {
        let load = if *domain == self.domain {
            self.choose(now).map(|id| self.load(&id))
        } else {
            self.source(domain, now).map(|peer| peer.load)
        };
        let reachable = self.placer(domain, now).is_some_and(|id| !self.is_silent(&id, now));
        DomainView { id: domain.clone(), load: load.unwrap_or_default(), reachable }
    }

    /// Tells whether a daemon that was live before isn't any more; one whose turn has not come
    /// yet isn't silent.
    fn is_silent(&self, id: &DaemonId, now: Moment) -> bool {
        let found = self.peers.binary_search_by(|peer| peer.id.cmp(id));
        let peer = found.ok().map(|i| &self.peers[i]).filter(|peer| peer.echoed.is_some());
        peer.is_some_and(|peer| !peer.is_live(now, self.timeout(peer)))
    }

    /// Returns the load of the own failure domain as its placer told it.
    pub(super) fn load(&self, placer: &DaemonId) -> Load {
        let peer = self.peers.binary_search_by(|peer| peer.id.cmp(placer));
        peer.map(|i| self.peers[i].load).unwrap_or(self.own.load)
    }

    /// Lists the versions in force, sorted by daemon.
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

    /// Returns the state for a dump.
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
                    "vouches": peer.vouches(),
                })
            })
            .collect();
        serde_json::json!({
            "incarnation": self.incarnation,
            "phase": format!("{:?}", self.own.phase),
            "placing": self.own.placing,
            "placer": self.placer(&self.domain, now),
            "contact_ms": age(self.contact),
            "woke_ms": age(self.woke),
            "quorum": self.quorum.map(|(version, _)| version),
            "peers": peers,
        })
    }

    fn serving<'a>(&'a self, domain: &'a DomainId, now: Moment) -> impl Iterator<Item = &'a Peer> {
        let live = move |peer: &&Peer| {
            let known = peer.domain == *domain && peer.phase == Phase::Ready;
            known && peer.is_live(now, self.timeout(peer))
        };
        self.peers.iter().filter(live)
    }

    /// Tells whether this daemon has listened long enough to know who else is there.
    fn may_claim(&self, now: Moment) -> bool {
        let mut own = self.peers.iter().filter(|peer| peer.domain == self.domain);
        now >= self.claim || own.all(|peer| peer.is_live(now, self.timeout(peer)))
    }
}
