//! Handling of replies and faults, shared by the edges to the platform and to the workers.

use bulrushlink_api::{EdgeFault, HttpReply};
use bulrushlink_core::{Code, DaemonId, Error};
use serde::de::DeserializeOwned;
use stakker::sync::Channel;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use crate::edge::Input;

#[cfg(test)]
pub(crate) mod tests;

/// HTTP status of a successful reply.
const STATUS_OK: u16 = 200;

/// Passes results of calls, and requests from the listeners, to the node; counts calls in the
/// metrics, and knows whether calls may still be made.
#[derive(Clone)]
pub(crate) struct CallResults {
    daemon: DaemonId,
    inputs: Channel<Input>,
    closed: Arc<AtomicBool>,
}

impl CallResults {
    pub(crate) fn open(daemon: DaemonId, inputs: Channel<Input>) -> Self {
        Self { daemon, inputs, closed: Arc::new(AtomicBool::new(false)) }
    }

    /// Forbids all further calls, so that a daemon that has stopped sends nothing that is still
    /// queued.
    pub(crate) fn close(&self) {
        self.closed.store(true, Ordering::SeqCst);
    }

    /// Returns the daemon's id as a metrics label.
    pub(crate) fn daemon(&self) -> String {
        self.daemon.to_string()
    }

    /// Counts a call that leaves the process, and the `bytes` of its body.
    pub(crate) fn count_call(&self, edge: &'static str, bytes: usize) {
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

    /// Passes a result or a request to the node; it is dropped if the node has stopped.
    pub(crate) fn send(&self, input: Input) {
        self.inputs.send(input);
    }

    /// Parses the reply to a call to `edge`; counts and logs a fault.
    pub(crate) fn parse_reply<T: DeserializeOwned>(
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
        checked.map_err(|error| self.record_fault(edge, &error))
    }

    /// Classifies, counts and logs the fault of a call to `edge`.
    ///
    /// Only a connection that was never established proves that the call had no effect. Anything
    /// else, even a status that looks like a refusal, may come from a proxy after the call took
    /// effect.
    pub(crate) fn record_fault(&self, edge: &'static str, error: &Error) -> EdgeFault {
        let fault = match error.code() {
            Code::Unreachable => EdgeFault::Unreachable,
            _ => EdgeFault::Silent,
        };
        metrics::counter!(
            "bulrushlink_edge_faults_total",
            "daemon" => self.daemon(), "edge" => edge, "fault" => fault.to_string()
        )
        .increment(1);
        log::debug!(
            daemon:% = self.daemon, code = error.code().number();
            "call to {edge} failed: {error}"
        );
        fault
    }
}
