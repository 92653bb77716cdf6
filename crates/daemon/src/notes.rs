//! Release notes: learning them, applying them, and telling truthfully what is in force where.

use bulrushlink_api::{EdgeFault, OperatorCall, StoreReply};
use bulrushlink_core::{DaemonId, DesiredState, Moment, NoteVersion};

use crate::edge::{CallId, Context, Token};
use crate::members::Members;
use crate::settings::Settings;

/// The desired state as this daemon knows it.
#[derive(Debug)]
pub(crate) struct Notes {
    /// Never goes back to a lower version.
    state: Option<DesiredState>,
}

impl Notes {
    pub(crate) fn open(_settings: &Settings, _now: Moment) -> Self {
        Self { state: None }
    }

    /// Returns what is in force here; `None` until the first version is learned.
    pub(crate) fn state(&self) -> Option<&DesiredState> {
        self.state.as_ref()
    }

    /// Returns the version in force here, 0 for none.
    pub(crate) fn version(&self) -> NoteVersion {
        self.state.as_ref().map(|state| state.version).unwrap_or_default()
    }

    /// Reads or watches the head when that is due, and answers operators who wait.
    pub(crate) fn tick(&mut self, _members: &Members, _cx: &mut Context<'_>) {}

    /// Takes a store's answer.
    pub(crate) fn on_store(
        &mut self,
        _call: CallId,
        _result: Result<StoreReply, EdgeFault>,
        _members: &mut Members,
        _cx: &mut Context<'_>,
    ) {
    }

    /// Learns that a peer has a version, and asks for it if it is newer.
    pub(crate) fn on_version(
        &mut self,
        _from: &DaemonId,
        _version: NoteVersion,
        _cx: &mut Context<'_>,
    ) {
    }

    /// Sends the desired state to a peer that wants it.
    pub(crate) fn on_wanted(
        &mut self,
        _from: &DaemonId,
        _have: NoteVersion,
        _cx: &mut Context<'_>,
    ) {
    }

    /// Takes a peer's desired state.
    pub(crate) fn on_note(&mut self, _state: DesiredState, _cx: &mut Context<'_>) {}

    /// Handles `Check`, `Diff`, `Apply` and `Show`.
    pub(crate) fn on_operator(
        &mut self,
        _token: Token,
        _call: OperatorCall,
        _members: &Members,
        _cx: &mut Context<'_>,
    ) {
    }

    /// Returns the state for a dump.
    pub(crate) fn dump(&self) -> serde_json::Value {
        serde_json::Value::Null
    }
}
