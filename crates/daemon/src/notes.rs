//! Release notes: receiving them, applying them, and reporting which version is in force where.
//!
//! A release note is accepted only by a write of the head, a record in the store. A daemon receives
//! the head in three ways: by a long-polling watch, for speed; by a periodic read, because a watch
//! may be stale; and from its peers, while the store is down.

mod answer;
mod apply;
mod head;
#[cfg(test)]
mod tests;

use bulrushlink_api::{EdgeFault, Host, Record, Revision, StoreReply, StoreRequest};
use bulrushlink_core::{DaemonId, DesiredState, Moment, NoteVersion, Span};

use crate::edge::{CallId, Component, Context};
use crate::hash::rank;
use crate::members::Members;
use crate::peer::PeerMessage;
use crate::settings::Settings;
use crate::timer::{RepeatedCall, jitter};
use apply::{AcceptedApply, Apply};
pub use head::{Accepted, Head};

/// Store key of the head, which holds the desired state.
const HEAD_KEY: &str = "note/head";
/// Maximum time between two periodic reads of the head.
const READ_INTERVAL_MAX: Span = Span::from_secs(4);
/// Backoff after the first fault of a store call.
const BACKOFF_MIN: Span = Span(500);
/// Maximum backoff after a fault of a store call.
const BACKOFF_MAX: Span = Span::from_secs(4);
/// Minimum time between two requests to peers for their head.
const PEER_REQUEST_INTERVAL_MIN: Span = Span(200);

/// The desired state on this daemon, and the operators' release notes in progress.
#[derive(Debug)]
pub(crate) struct Notes {
    /// The head in force here; its version never decreases. `None` until the first one is received.
    head: Option<Head>,
    /// The highest store revision of the head received so far.
    revision: Revision,
    watch: RepeatedCall,
    read: RepeatedCall,
    /// When a peer was last asked for its head.
    last_request: Option<Moment>,
    /// Operators' notes being written to the store, at most `APPLIES_MAX`.
    applies: Vec<Apply>,
    /// Accepted notes whose operators are answered at the end of the current input.
    unanswered: Vec<AcceptedApply>,
    rng: fastrand::Rng,
}

impl Notes {
    pub(crate) fn open(settings: &Settings, now: Moment, incarnation: u64) -> Self {
        let seed = rank(settings.daemon.as_str(), "notes") ^ incarnation;
        Self {
            head: None,
            revision: Revision::default(),
            watch: RepeatedCall::open(now),
            read: RepeatedCall::open(now),
            last_request: None,
            applies: Vec::new(),
            unanswered: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Returns the desired state in force here; `None` until the first one is received.
    pub(crate) fn state(&self) -> Option<&DesiredState> {
        self.head.as_ref().map(|head| &head.state)
    }

    /// Returns the version in force here, 0 for none.
    pub(crate) fn version(&self) -> NoteVersion {
        self.state().map(|state| state.version).unwrap_or_default()
    }

    /// Handles a pause of the process: the known head may be outdated, so it is read at once.
    pub(crate) fn on_pause(&mut self, now: Moment) {
        self.read.restart(now);
        self.watch.restart(now);
    }

    /// Sends the read and the watch of the head when they are due, and continues to apply the
    /// operators' notes.
    pub(crate) fn tick(&mut self, cx: &mut Context<'_>) {
        let timeout = cx.settings.timing.store + cx.settings.timing.store;
        if self.read.is_due(cx.now, timeout) {
            let call =
                cx.out.store(Component::Notes, StoreRequest::Get { key: HEAD_KEY.to_string() });
            self.read.on_sent(call, cx.now);
        }
        if self.watch.is_due(cx.now, cx.settings.timing.watch + timeout) {
            let request = StoreRequest::Watch {
                key: HEAD_KEY.to_string(),
                after: self.revision,
                wait: cx.settings.timing.watch,
            };
            let call = cx.out.store(Component::Notes, request);
            self.watch.on_sent(call, cx.now);
        }
        self.tick_applies(cx);
    }

    /// Handles the store's reply to `call`.
    pub(crate) fn on_store(
        &mut self,
        call: CallId,
        result: Result<StoreReply, EdgeFault>,
        members: &mut Members,
        hosts: &[Host],
        cx: &mut Context<'_>,
    ) {
        if let Some(sent) = self.read.on_reply(call) {
            self.on_read(sent, result, members, cx);
        } else if self.watch.on_reply(call).is_some() {
            self.on_watch(result, cx);
        } else {
            self.on_apply(call, result, members, hosts, cx);
        }
    }

    fn on_read(
        &mut self,
        sent: Moment,
        result: Result<StoreReply, EdgeFault>,
        members: &mut Members,
        cx: &mut Context<'_>,
    ) {
        let interval = self.read_interval(cx);
        match result {
            Ok(StoreReply::Found { record }) if self.adopt_record(record.as_ref()) => {
                members.on_store_contact(sent);
                self.read.schedule(jitter(interval, &mut self.rng), cx.now);
            }
            Ok(StoreReply::Limited { retry }) => {
                self.read.back_off((retry, BACKOFF_MAX), cx.now, &mut self.rng);
            }
            _ => self.read.back_off((BACKOFF_MIN, BACKOFF_MAX), cx.now, &mut self.rng),
        }
    }

    fn on_watch(&mut self, result: Result<StoreReply, EdgeFault>, cx: &mut Context<'_>) {
        match result {
            Ok(StoreReply::Found { record }) if self.adopt_record(record.as_ref()) => {
                let pause_ms = self.rng.u64(0..=100);
                self.watch.schedule(Span(pause_ms), cx.now);
            }
            Ok(StoreReply::Limited { retry }) => {
                self.watch.back_off((retry, BACKOFF_MAX), cx.now, &mut self.rng);
            }
            _ => self.watch.back_off((BACKOFF_MIN, BACKOFF_MAX), cx.now, &mut self.rng),
        }
    }

    /// Returns the time between two periodic reads: a quarter of the grace of this daemon's domain
    /// at most, so that the grace of a daemon that reaches the store never expires.
    fn read_interval(&self, cx: &Context<'_>) -> Span {
        let spec = self.state().and_then(|state| state.domain(cx.settings.domain()));
        let quarter = spec.map(|spec| spec.grace.millis() / 4).unwrap_or(u64::MAX);
        READ_INTERVAL_MAX.min(Span(quarter.max(BACKOFF_MIN.millis())))
    }

    /// Adopts the head in `record` if it is newer. Returns true if the record contains the version
    /// that is now in force. A store that returns a lower version lags or has lost the head, and
    /// does not prove that there is no newer version.
    fn adopt_record(&mut self, record: Option<&Record>) -> bool {
        let Some(record) = record else { return self.head.is_none() };
        match Head::try_from(record) {
            Ok(head) => {
                self.revision = self.revision.max(record.at);
                let version = head.state.version;
                self.adopt(head);
                version == self.version()
            }
            Err(error) => {
                log::error!(
                    "release note head at store revision {} does not parse: {error}",
                    record.at
                );
                false
            }
        }
    }

    /// Puts `head` in force if its version is higher than the one in force.
    fn adopt(&mut self, head: Head) {
        let version = self.version();
        if head.state.version == version && self.head.as_ref().is_some_and(|own| *own != head) {
            log::error!(
                "received a different desired state of version {version}; keeping the first one"
            );
        }
        if head.state.version > version {
            log::info!("desired state version {} is in force", head.state.version);
            self.head = Some(head);
        }
    }

    /// Handles the version that a peer announces: requests the peer's head if it is newer.
    pub(crate) fn on_version(
        &mut self,
        from: &DaemonId,
        version: NoteVersion,
        cx: &mut Context<'_>,
    ) {
        let have = self.version();
        let recently = self
            .last_request
            .is_some_and(|moment| cx.now.since(moment) < PEER_REQUEST_INTERVAL_MIN);
        if version > have && !recently {
            self.last_request = Some(cx.now);
            cx.out.peer(from, PeerMessage::NoteWanted { have });
        }
    }

    /// Handles a peer's request for the head: sends it if it is newer than the peer's version.
    pub(crate) fn on_note_wanted(&self, from: &DaemonId, have: NoteVersion, cx: &mut Context<'_>) {
        if let Some(head) = self.head.as_ref().filter(|head| head.state.version > have) {
            cx.out.peer(from, PeerMessage::Note(head.clone()));
        }
    }

    /// Handles the head of a peer.
    pub(crate) fn on_note(&mut self, head: Head) {
        self.adopt(head);
    }

    /// Returns the release notes section of the operators' state dump.
    pub(crate) fn dump(&self) -> serde_json::Value {
        serde_json::json!({
            "version": self.version(),
            "revision": self.revision,
            "read_faults": self.read.faults(),
            "watch_faults": self.watch.faults(),
            "applies": self.applies.len(),
            "head": self.head,
        })
    }
}
