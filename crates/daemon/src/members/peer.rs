//! What is known of one other daemon.

use bulrushlink_core::{DaemonId, DomainId, Load, Moment, NoteVersion, Span};

use crate::peer::{Heartbeat, Phase};
use crate::settings::Member;

/// Another daemon, as its latest heartbeat tells.
#[derive(Debug)]
pub(super) struct Peer {
    pub(super) id: DaemonId,
    pub(super) domain: DomainId,
    /// 0 before the first heartbeat.
    pub(super) incarnation: u64,
    /// The latest stamp on its own clock; `None` before the first heartbeat.
    pub(super) stamp: Option<Moment>,
    /// When its latest heartbeat came in.
    pub(super) heard: Option<Moment>,
    /// The latest of this daemon's stamps that its present incarnation has echoed: at that
    /// moment or later, it was as described here.
    pub(super) echoed: Option<Moment>,
    pub(super) version: NoteVersion,
    /// When its present incarnation was first heard to have `version`.
    pub(super) since: Moment,
    pub(super) phase: Phase,
    pub(super) placing: bool,
    /// Who places in its failure domain, as it knows.
    pub(super) placer: Option<DaemonId>,
    /// Load of its failure domain, as it knows.
    pub(super) load: Load,
    /// The contact that it vouches with, on this daemon's clock or earlier; `None` while it
    /// vouches for nothing.
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
            since: Moment::default(),
            phase: Phase::Joining,
            placing: false,
            placer: None,
            load: Load::default(),
            contact: None,
        }
    }

    /// Takes a heartbeat that echoes this daemon's stamp `echoed`. Returns whether it was news.
    pub(super) fn take(&mut self, beat: &Heartbeat, echoed: Option<Moment>, now: Moment) -> bool {
        let known = (self.incarnation, self.stamp);
        if (beat.incarnation, Some(beat.stamp)) < known {
            return false;
        }
        if beat.incarnation > self.incarnation {
            self.incarnation = beat.incarnation;
            self.echoed = None;
            self.contact = None;
            self.version = beat.version;
            self.since = now;
        }
        if beat.version > self.version {
            self.version = beat.version;
            self.since = now;
        }
        self.stamp = Some(beat.stamp);
        self.heard = Some(now);
        self.echoed = self.echoed.max(echoed);
        self.phase = beat.phase;
        self.placing = beat.placing;
        self.placer.clone_from(&beat.placer);
        self.load = beat.load;
        // The sender's age of its contact was taken after it had the echoed stamp.
        let contact = beat.contact.zip(echoed).map(|(age, stamp)| stamp - age);
        self.contact = self.contact.max(contact);
        true
    }

    /// Tells whether the daemon and this one have heard each other within `timeout`.
    pub(super) fn is_live(&self, now: Moment, timeout: Span) -> bool {
        self.echoed.is_some_and(|echoed| now.since(echoed) <= timeout)
    }

    /// Tells whether its word about versions counts: it has made sure of its own since its start.
    pub(super) fn vouches(&self) -> bool {
        self.contact.is_some()
    }

    /// Tells whether it surely had `version` or a higher one at `moment`.
    pub(super) fn held(&self, version: NoteVersion, moment: Moment) -> bool {
        let during = self.since <= moment && self.echoed >= Some(moment);
        self.version >= version && during
    }
}
