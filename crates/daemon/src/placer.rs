//! Owns the jobs of one failure domain: carries out the scheduler's decisions on the workers.

use bulrushlink_api::{EdgeFault, Host, StoreReply, WorkerReply};
use bulrushlink_core::{DaemonId, DomainShare, Load, Moment};

use crate::edge::{CallId, Context};
use crate::intake::World;
use crate::peer::PeerMessage;
use crate::settings::Settings;

/// Places and owns the jobs of the own failure domain while this daemon is its placer.
#[derive(Debug)]
pub(crate) struct Placer {}

impl Placer {
    pub(crate) fn open(_settings: &Settings, _now: Moment, _incarnation: u64) -> Self {
        Self {}
    }

    /// Takes up or lays down placing. Taking up begins with recovery: open jobs from the store,
    /// running tasks from the workers.
    pub(crate) fn set_active(&mut self, _active: bool, _cx: &mut Context<'_>) {}

    /// Tells whether this daemon places, recovery included.
    pub(crate) fn is_active(&self) -> bool {
        false
    }

    /// Takes the share of the failure domain that came into force.
    pub(crate) fn on_share(&mut self, _share: DomainShare, _cx: &mut Context<'_>) {}

    /// Takes the workers of the failure domain, sorted by worker, after a change.
    pub(crate) fn on_hosts(&mut self, _hosts: &[Host], _cx: &mut Context<'_>) {}

    /// Takes `Submit`, `Follow`, `Cancel` or `Reports`.
    pub(crate) fn on_message(
        &mut self,
        _from: &DaemonId,
        _message: PeerMessage,
        _cx: &mut Context<'_>,
    ) {
    }

    /// Takes a store's answer.
    pub(crate) fn on_store(
        &mut self,
        _call: CallId,
        _result: Result<StoreReply, EdgeFault>,
        _cx: &mut Context<'_>,
    ) {
    }

    /// Takes a worker's answer.
    pub(crate) fn on_worker(
        &mut self,
        _call: CallId,
        _result: Result<WorkerReply, EdgeFault>,
        _cx: &mut Context<'_>,
    ) {
    }

    /// Lets time pass. Jobs that can't run here any more are handed to a failure domain of
    /// `world`.
    pub(crate) fn tick(&mut self, _world: World<'_>, _cx: &mut Context<'_>) {}

    /// Returns the load to announce.
    pub(crate) fn load(&self) -> Load {
        Load::default()
    }

    /// Tells whether laying down is complete: nothing is left that only this daemon knows.
    pub(crate) fn is_idle(&self) -> bool {
        true
    }

    /// Returns the state for a dump.
    pub(crate) fn dump(&self, _now: Moment) -> serde_json::Value {
        serde_json::Value::Null
    }
}
