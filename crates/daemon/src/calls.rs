//! What the edges to the platform and to the workers have in common.

use bulrushlink_api::{EdgeFault, HttpReply};
use bulrushlink_core::{Code, DaemonId, Error};
use serde::de::DeserializeOwned;
use stakker::sync::Channel;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use crate::edge::Input;

#[cfg(test)]
pub(crate) mod tests;

/// Status of a good answer.
const STATUS_OK: u16 = 200;

/// Where results of calls go, and whether calls may still be made.
#[derive(Clone)]
pub(crate) struct Results {
    daemon: DaemonId,
    inputs: Channel<Input>,
    closed: Arc<AtomicBool>,
}

impl Results {
    pub(crate) fn open(daemon: DaemonId, inputs: Channel<Input>) -> Self {
        Self { daemon, inputs, closed: Arc::new(AtomicBool::new(false)) }
    }

    /// Forbids every later call: a process that has stopped sends nothing that it had queued.
    pub(crate) fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }

    /// Returns the daemon's name, as a label of metrics.
    pub(crate) fn daemon(&self) -> String {
        self.daemon.to_string()
    }

    /// Counts a call that leaves the process, with a body of `bytes`.
    pub(crate) fn count(&self, edge: &'static str, bytes: usize) {
        metrics::counter!(
            "bulrushlink_edge_calls_total", "daemon" => self.daemon(), "edge" => edge
        )
        .increment(1);
        metrics::counter!(
            "bulrushlink_edge_sent_bytes_total", "daemon" => self.daemon(), "edge" => edge
        )
        .increment(bytes as u64);
    }

    pub(crate) fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }

    /// Passes a result to the node; one for a node that has stopped is dropped.
    pub(crate) fn send(&self, input: Input) {
        self.inputs.send(input);
    }

    /// Reads the answer of a call to `edge`, and counts and logs its fault.
    pub(crate) fn read<T: DeserializeOwned>(
        &self,
        edge: &'static str,
        result: Result<HttpReply, Error>,
    ) -> Result<T, EdgeFault> {
        let checked = result.and_then(|reply| {
            metrics::counter!(
                "bulrushlink_edge_received_bytes_total",
                "daemon" => self.daemon(), "edge" => edge
            )
            .increment(reply.body.len() as u64);
            if reply.status == STATUS_OK {
                return reply.json();
            }
            Err(Error::new(Code::BadAnswer, format!("status {}: {}", reply.status, reply.body)))
        });
        checked.map_err(|error| self.fault(edge, &error))
    }

    /// Only a connection that was never made is proof that nothing happened. Everything else,
    /// even a status that looks like a refusal, may come from a proxy after the effect.
    pub(crate) fn fault(&self, edge: &'static str, error: &Error) -> EdgeFault {
        let fault = match error.code() {
            Code::Unreachable => EdgeFault::Unreachable,
            _ => EdgeFault::Silent,
        };
        metrics::counter!(
            "bulrushlink_edge_faults_total",
            "daemon" => self.daemon(), "edge" => edge, "fault" => fault.to_string()
        )
        .increment(1);
        log::debug!(daemon:% = self.daemon, code = error.code().number(); "{edge}: {error}");
        fault
    }
}
