//! Callers' requests: checks, routes and forwards them, and holds the callers who wait.

use bulrushlink_api::{EdgeFault, StoreReply};
use bulrushlink_core::{DaemonId, DesiredState, Moment};

use crate::edge::{CallId, CallerCall, Context, Token};
use crate::members::Members;
use crate::peer::{PeerMessage, Phase};

/// What intake needs to know of the rest of the daemon.
#[derive(Clone, Copy, Debug)]
pub(crate) struct World<'a> {
    /// What is in force here.
    pub(crate) state: Option<&'a DesiredState>,
    /// The daemons of the deployment.
    pub(crate) members: &'a Members,
    /// Life cycle of this daemon.
    pub(crate) phase: Phase,
}

/// Holds the requests that wait for their answer.
#[derive(Debug)]
pub(crate) struct Intake {}

impl Intake {
    pub(crate) fn open(_now: Moment) -> Self {
        Self {}
    }

    /// Takes a caller's request.
    pub(crate) fn on_caller(
        &mut self,
        _token: Token,
        _call: CallerCall,
        _world: World<'_>,
        _cx: &mut Context<'_>,
    ) {
    }

    /// Takes `Update`.
    pub(crate) fn on_message(
        &mut self,
        _from: &DaemonId,
        _message: PeerMessage,
        _world: World<'_>,
        _cx: &mut Context<'_>,
    ) {
    }

    /// Takes a store's answer.
    pub(crate) fn on_store(
        &mut self,
        _call: CallId,
        _result: Result<StoreReply, EdgeFault>,
        _world: World<'_>,
        _cx: &mut Context<'_>,
    ) {
    }

    /// Repeats what has no answer yet, and answers those whose wait is over.
    pub(crate) fn tick(&mut self, _world: World<'_>, _cx: &mut Context<'_>) {}

    /// Returns the number of requests that wait.
    pub(crate) fn held(&self) -> usize {
        0
    }

    /// Returns the state for a dump.
    pub(crate) fn dump(&self) -> serde_json::Value {
        serde_json::Value::Null
    }
}
