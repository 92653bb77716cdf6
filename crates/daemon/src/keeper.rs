//! Leases of running tasks: any daemon of a failure domain renews those of its share of workers
//! and passes what the workers report to the placer.

use bulrushlink_api::{EdgeFault, WorkerReply};
use bulrushlink_core::{DaemonId, Moment};

use crate::edge::{CallId, Context};
use crate::hosts::Hosts;

/// Renews leases and passes reports on.
#[derive(Debug)]
pub(crate) struct Keeper {}

impl Keeper {
    pub(crate) fn open(_now: Moment) -> Self {
        Self {}
    }

    /// Calls the workers whose renewal is due. Each worker belongs to the highest of `live` by
    /// rendezvous hash. Reports go to `placer` until it has taken them.
    pub(crate) fn tick(
        &mut self,
        _hosts: &Hosts,
        _live: &[DaemonId],
        _placer: Option<&DaemonId>,
        _cx: &mut Context<'_>,
    ) {
    }

    /// Takes a worker's answer.
    pub(crate) fn on_worker(
        &mut self,
        _call: CallId,
        _result: Result<WorkerReply, EdgeFault>,
        _hosts: &mut Hosts,
        _cx: &mut Context<'_>,
    ) {
    }

    /// Takes the placer's word that it has a report.
    pub(crate) fn on_taken(&mut self, _seq: u64) {}

    /// Returns the state for a dump.
    pub(crate) fn dump(&self) -> serde_json::Value {
        serde_json::Value::Null
    }
}
