//! Which daemons are alive, who places work in which failure domain, and whether this daemon may
//! start work now.

use bulrushlink_api::InForce;
use bulrushlink_core::{DaemonId, DomainId, DomainView, Load, Moment, NoteVersion, Span};

use crate::edge::Context;
use crate::peer::{Heartbeat, Phase};
use crate::settings::Settings;

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
pub(crate) struct Members {}

impl Members {
    pub(crate) fn open(_settings: &Settings, _now: Moment, _incarnation: u64) -> Self {
        Self {}
    }

    /// Sets what the next heartbeats say.
    pub(crate) fn announce(&mut self, _announcement: Announcement) {}

    /// Takes a heartbeat. Returns the sender's version when it is one to learn.
    pub(crate) fn on_heartbeat(
        &mut self,
        _from: &DaemonId,
        _heartbeat: Heartbeat,
        _cx: &mut Context<'_>,
    ) {
    }

    /// Takes an answer of the store to a read of the head that was sent at `sent` and showed no
    /// version above the one in force.
    pub(crate) fn on_store_contact(&mut self, _sent: Moment) {}

    /// Sends the heartbeats that are due.
    pub(crate) fn tick(&mut self, _cx: &mut Context<'_>) {}

    /// Tells whether this daemon has heard recently enough to start work under `grace`.
    pub(crate) fn permit(&self, _now: Moment, _grace: Span) -> bool {
        true
    }

    /// Lists the live daemons of a failure domain that serve, this one too, sorted.
    pub(crate) fn live(&self, _domain: &DomainId, _now: Moment) -> Vec<DaemonId> {
        Vec::new()
    }

    /// Names the daemon that places work in a failure domain.
    pub(crate) fn placer(&self, _domain: &DomainId, _now: Moment) -> Option<DaemonId> {
        None
    }

    /// Lists the failure domains for routing.
    pub(crate) fn views(&self, _now: Moment) -> Vec<DomainView> {
        Vec::new()
    }

    /// Lists the versions in force, sorted by daemon.
    pub(crate) fn in_force(&self, _now: Moment) -> Vec<InForce> {
        Vec::new()
    }

    /// Returns the state for a dump.
    pub(crate) fn dump(&self, _now: Moment) -> serde_json::Value {
        serde_json::Value::Null
    }
}
