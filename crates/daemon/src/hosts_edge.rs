//! Reads the platform's host list from a thread of its own.

use bulrushlink_api::{Client, EdgeFault};

use crate::calls::Results;
use crate::edge::{CallId, Input};
use crate::pool::Pool;
use crate::settings::Settings;

/// Readings that wait for the one thread.
const QUEUE_CALLS: usize = 2;

/// The edge to the host list.
pub(crate) struct HostsEdge {
    calls: Pool<CallId>,
    results: Results,
}

impl HostsEdge {
    pub(crate) fn spawn(settings: &Settings, results: Results) -> Self {
        let url = format!("{}/hosts", settings.hosts.trim_end_matches('/'));
        let client = Client::open(settings.timing.store, None);
        let reader = results.clone();
        let run = move |call: CallId| {
            if !reader.is_closed() {
                reader.count("hosts", 0);
                let list = reader.read("hosts", client.get(&url));
                reader.send(Input::Hosts(call, list));
            }
        };
        Self { calls: Pool::spawn("hosts", 1, QUEUE_CALLS, run), results }
    }

    /// Reads the list. With a full queue it ends at once, certainly unsent.
    pub(crate) fn call(&self, call: CallId) {
        if let Err(call) = self.calls.submit(call) {
            self.results.send(Input::Hosts(call, Err(EdgeFault::Unreachable)));
        }
    }
}
