//! Release notes: learning them, applying them, and telling truthfully what is in force where.
//!
//! The head in the store is the only place where notes are accepted. It is learned from three
//! sides: a waiting watch for speed, a plain read now and then because a watch may be stale, and
//! the peers for the time in which the store is down.

mod answer;
mod apply;
mod head;
#[cfg(test)]
mod tests;

use bulrushlink_api::{EdgeFault, Host, Record, Revision, StoreReply, StoreRequest};
use bulrushlink_core::{DaemonId, DesiredState, Moment, NoteVersion, Span};

use crate::edge::{CallId, Context, Duty};
use crate::hash::rank;
use crate::members::Members;
use crate::peer::PeerMessage;
use crate::settings::Settings;
use crate::timer::{Repeat, jitter};
use apply::{Acceptance, Apply};
pub use head::{Accepted, Head};

/// Key of the head.
const HEAD_KEY: &str = "note/head";
/// The longest time between two plain reads of the head.
const READ_PERIOD: Span = Span::from_secs(4);
/// Wait after the first fault of a store call.
const FAULT_WAIT: Span = Span(500);
/// The longest wait after a fault of a store call.
const FAULT_WAIT_MAX: Span = Span::from_secs(4);
/// Least time between two requests for a peer's note.
const WANTED_PERIOD: Span = Span(200);

/// The desired state as this daemon knows it.
#[derive(Debug)]
pub(crate) struct Notes {
    /// Never goes back to a lower version; `None` until the first one is learned.
    head: Option<Head>,
    /// The store's last change of the head, as far as it was read.
    revision: Revision,
    watch: Repeat,
    read: Repeat,
    /// When a peer was asked for its note last.
    wanted: Option<Moment>,
    /// Operators' notes on their way to the store, bounded.
    applies: Vec<Apply>,
    /// Operators who get the acceptance of a version at the end of the present input.
    accepted: Vec<Acceptance>,
    rng: fastrand::Rng,
}

impl Notes {
    pub(crate) fn open(settings: &Settings, now: Moment, incarnation: u64) -> Self {
        let seed = rank(settings.daemon.as_str(), "notes") ^ incarnation;
        Self {
            head: None,
            revision: Revision::default(),
            watch: Repeat::open(now),
            read: Repeat::open(now),
            wanted: None,
            applies: Vec::new(),
            accepted: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Returns what is in force here; `None` until the first version is learned.
    pub(crate) fn state(&self) -> Option<&DesiredState> {
        self.head.as_ref().map(|head| &head.state)
    }

    /// Returns the version in force here, 0 for none.
    pub(crate) fn version(&self) -> NoteVersion {
        self.state().map(|state| state.version).unwrap_or_default()
    }

    /// Notes that the process stood still: what it knows may be old.
    pub(crate) fn on_pause(&mut self, now: Moment) {
        self.read.restart(now);
        self.watch.restart(now);
    }

    /// Reads or watches the head when that is due, and answers operators who wait.
    pub(crate) fn tick(&mut self, cx: &mut Context<'_>) {
        let timeout = cx.settings.timing.store + cx.settings.timing.store;
        if self.read.is_due(cx.now, timeout) {
            let call = cx.out.store(Duty::Notes, StoreRequest::Get { key: HEAD_KEY.to_string() });
            self.read.sent(call, cx.now);
        }
        if self.watch.is_due(cx.now, cx.settings.timing.watch + timeout) {
            let request = StoreRequest::Watch {
                key: HEAD_KEY.to_string(),
                after: self.revision,
                wait: cx.settings.timing.watch,
            };
            let call = cx.out.store(Duty::Notes, request);
            self.watch.sent(call, cx.now);
        }
        self.tick_applies(cx);
    }

    /// Takes a store's answer.
    pub(crate) fn on_store(
        &mut self,
        call: CallId,
        result: Result<StoreReply, EdgeFault>,
        members: &mut Members,
        hosts: &[Host],
        cx: &mut Context<'_>,
    ) {
        if let Some(sent) = self.read.answered(call) {
            self.on_read(sent, result, members, cx);
        } else if self.watch.answered(call).is_some() {
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
        let period = self.read_period(cx);
        match result {
            Ok(StoreReply::Found { record }) if self.learn_record(record.as_ref()) => {
                members.on_store_contact(sent);
                self.read.after(jitter(period, &mut self.rng), cx.now);
            }
            Ok(StoreReply::Limited { retry }) => {
                self.read.back_off((retry, FAULT_WAIT_MAX), cx.now, &mut self.rng);
            }
            _ => self.read.back_off((FAULT_WAIT, FAULT_WAIT_MAX), cx.now, &mut self.rng),
        }
    }

    fn on_watch(&mut self, result: Result<StoreReply, EdgeFault>, cx: &mut Context<'_>) {
        match result {
            Ok(StoreReply::Found { record }) if self.learn_record(record.as_ref()) => {
                let pause = self.rng.u64(0..=100);
                self.watch.after(Span(pause), cx.now);
            }
            Ok(StoreReply::Limited { retry }) => {
                self.watch.back_off((retry, FAULT_WAIT_MAX), cx.now, &mut self.rng);
            }
            _ => self.watch.back_off((FAULT_WAIT, FAULT_WAIT_MAX), cx.now, &mut self.rng),
        }
    }

    /// Returns the time between two plain reads: several fit into the grace of the own domain,
    /// so that a daemon that can reach the store never runs out of it.
    fn read_period(&self, cx: &Context<'_>) -> Span {
        let spec = self.state().and_then(|state| state.domain(cx.settings.domain()));
        let grace = spec.map(|spec| spec.grace.millis() / 4).unwrap_or(u64::MAX);
        READ_PERIOD.min(Span(grace.max(FAULT_WAIT.millis())))
    }

    /// Learns from a record of the head; returns whether it shows what is in force now. A store
    /// that shows a lower version lags or has lost the head, and says nothing about newer ones.
    fn learn_record(&mut self, record: Option<&Record>) -> bool {
        let Some(record) = record else { return self.head.is_none() };
        match Head::try_from(record) {
            Ok(head) => {
                self.revision = self.revision.max(record.at);
                let version = head.state.version;
                self.learn(head);
                version == self.version()
            }
            Err(error) => {
                log::error!("the head at revision {} can't be read: {error}", record.at);
                false
            }
        }
    }

    /// Puts `head` in force unless a version as high is in force already.
    fn learn(&mut self, head: Head) {
        let version = self.version();
        if head.state.version == version && self.head.as_ref().is_some_and(|own| *own != head) {
            log::error!("version {version} has two contents; the first one stays in force");
        }
        if head.state.version > version {
            log::info!("release note {} is in force", head.state.version);
            self.head = Some(head);
        }
    }

    /// Learns that a peer has a version, and asks for it if it is newer.
    pub(crate) fn on_version(
        &mut self,
        from: &DaemonId,
        version: NoteVersion,
        cx: &mut Context<'_>,
    ) {
        let have = self.version();
        let asked = self.wanted.is_some_and(|moment| cx.now.since(moment) < WANTED_PERIOD);
        if version > have && !asked {
            self.wanted = Some(cx.now);
            cx.out.peer(from, PeerMessage::NoteWanted { have });
        }
    }

    /// Sends the desired state to a peer that wants it.
    pub(crate) fn on_wanted(&self, from: &DaemonId, have: NoteVersion, cx: &mut Context<'_>) {
        if let Some(head) = self.head.as_ref().filter(|head| head.state.version > have) {
            cx.out.peer(from, PeerMessage::Note(head.clone()));
        }
    }

    /// Takes a peer's desired state.
    pub(crate) fn on_note(&mut self, head: Head) {
        self.learn(head);
    }

    /// Returns the state for a dump.
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
