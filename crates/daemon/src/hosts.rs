//! The workers of the own failure domain, from the platform's lagging list and from themselves.

use bulrushlink_api::{EdgeFault, Host, HostList};
use bulrushlink_core::{Moment, WorkerId};

use crate::edge::{CallId, Context};

/// Workers as the platform and they themselves describe them.
#[derive(Debug)]
pub(crate) struct Hosts {}

impl Hosts {
    pub(crate) fn open(_now: Moment) -> Self {
        Self {}
    }

    /// Reads the list when that is due.
    pub(crate) fn tick(&mut self, _cx: &mut Context<'_>) {}

    /// Takes a list.
    pub(crate) fn on_hosts(
        &mut self,
        _call: CallId,
        _result: Result<HostList, EdgeFault>,
        _cx: &mut Context<'_>,
    ) {
    }

    /// Takes a worker's own word that it leaves or not; it goes before the list's.
    pub(crate) fn on_leaving(&mut self, _worker: &WorkerId, _leaving: bool, _now: Moment) {}

    /// Lists the workers of the own failure domain, sorted by worker, with `leaving` as known.
    pub(crate) fn own(&self) -> &[Host] {
        &[]
    }

    /// Lists the workers of all failure domains, sorted by worker.
    pub(crate) fn all(&self) -> &[Host] {
        &[]
    }

    /// Grows with every change of what [`Self::own`] returns.
    pub(crate) fn generation(&self) -> u64 {
        0
    }

    /// Returns the state for a dump.
    pub(crate) fn dump(&self) -> serde_json::Value {
        serde_json::Value::Null
    }
}
