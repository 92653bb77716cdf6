//! Last known state of one other daemon.

use bulrushlink_core::{DaemonId, DomainId, Load, Moment, NoteVersion, Span};

use crate::peer::{Heartbeat, Phase};
use crate::settings::Member;

/// Another daemon, as described by its latest heartbeat.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) id: DaemonId,
    pub(super) domain: DomainId,
    /// 0 before the first heartbeat.
    pub(super) incarnation: u64,
    /// Send time of its latest heartbeat, on its own clock; `None` before the first heartbeat.
    pub(super) stamp: Option<Moment>,
    /// When its latest heartbeat arrived.
    pub(super) heard: Option<Moment>,
    /// The latest of this daemon's stamps that its current incarnation has echoed. The state
    /// below was taken at that moment or later.
    pub(super) echoed: Option<Moment>,
    pub(super) version: NoteVersion,
    /// When this daemon first received `version` from its current incarnation.
    pub(super) version_since: Moment,
    pub(super) phase: Phase,
    pub(super) placing: bool,
    /// The placer of its failure domain, according to its heartbeat.
    pub(super) placer: Option<DaemonId>,
    /// Load of its failure domain, according to its heartbeat.
    pub(super) load: Load,
    /// Its contact (see the module `permit`) converted to this daemon's clock; the conversion may
    /// make it earlier, never later. `None` while the peer has no contact.
    pub(super) contact: Option<Moment>,
}

impl Peer {
    pub(super) fn new(member: &Member) -> Self {
        Self {
            id: member.id.clone(),
            domain: member.domain.clone(),
            incarnation: 0,
            stamp: None,
            heard: None,
            echoed: None,
            version: NoteVersion::default(),
            version_since: Moment::default(),
            phase: Phase::Joining,
            placing: false,
            placer: None,
            load: Load::default(),
            contact: None,
        }
    }

    /// Applies a heartbeat that echoes this daemon's stamp `echoed`. Returns false, with no effect,
    /// if the heartbeat is older than the last one applied.
    pub(super) fn update(
        &mut self,
        heartbeat: &Heartbeat,
        echoed: Option<Moment>,
        now: Moment,
    ) -> bool {
        let latest = (self.incarnation, self.stamp);
        if (heartbeat.incarnation, Some(heartbeat.stamp)) < latest {
            return false;
        }
        if heartbeat.incarnation > self.incarnation {
            self.incarnation = heartbeat.incarnation;
            self.echoed = None;
            self.contact = None;
            self.version = heartbeat.version;
            self.version_since = now;
        }
        if heartbeat.version > self.version {
            self.version = heartbeat.version;
            self.version_since = now;
        }
        self.stamp = Some(heartbeat.stamp);
        self.heard = Some(now);
        self.echoed = self.echoed.max(echoed);
        self.phase = heartbeat.phase;
        self.placing = heartbeat.placing;
        self.placer.clone_from(&heartbeat.placer);
        self.load = heartbeat.load;
        // The sender computed the age of its contact after it received the echoed stamp, so this
        // is never later than the real contact.
        let contact = heartbeat.contact.zip(echoed).map(|(age, stamp)| stamp - age);
        self.contact = self.contact.max(contact);
        true
    }

    /// Returns true if a round trip between this daemon and the peer began within `timeout`.
    pub(super) fn is_live(&self, now: Moment, timeout: Span) -> bool {
        self.echoed.is_some_and(|echoed| now.since(echoed) <= timeout)
    }

    /// Returns true if the peer counts towards majorities: it has had a contact since its start.
    pub(super) fn has_contact(&self) -> bool {
        self.contact.is_some()
    }

    /// Returns true if the peer certainly had `version` or a higher one at `moment`.
    pub(super) fn had_version(&self, version: NoteVersion, moment: Moment) -> bool {
        let during = self.version_since <= moment && self.echoed >= Some(moment);
        self.version >= version && during
    }
}
