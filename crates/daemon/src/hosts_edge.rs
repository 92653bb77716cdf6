//! Reads the platform's host list from a thread of its own.

use bulrushlink_api::{Client, EdgeFault, Revision};

use crate::calls::Results;
use crate::edge::{CallId, Input};
use crate::pool::Pool;
use crate::settings::Settings;

/// Readings that wait for the one thread.
const QUEUE_CALLS: usize = 2;

struct HostsCall {
    call: CallId,
    /// The list after which changes are enough.
    after: Option<Revision>,
}

/// The edge to the host list.
pub(crate) struct HostsEdge {
    calls: Pool<HostsCall>,
    results: Results,
}

impl HostsEdge {
    pub(crate) fn spawn(settings: &Settings, results: Results) -> Self {
        let url = format!("{}/hosts", settings.hosts.trim_end_matches('/'));
        let client = Client::open(settings.timing.store, None);
        let reader = results.clone();
        let run = move |HostsCall { call, after }| {
            if !reader.is_closed() {
                reader.count_call("hosts", 0);
                let url = match after {
                    Some(after) => format!("{url}?after={after}"),
                    None => url.clone(),
                };
                let list = reader.parse_reply("hosts", client.get(&url));
                reader.send(Input::Hosts(call, list));
            }
        };
        Self { calls: Pool::spawn("hosts", 1, QUEUE_CALLS, run), results }
    }

    /// Reads the list, or what has changed after `after`. With a full queue it ends at once,
    /// certainly unsent.
    pub(crate) fn call(&self, call: CallId, after: Option<Revision>) {
        if let Err(HostsCall { call, .. }) = self.calls.submit(HostsCall { call, after }) {
            self.results.send(Input::Hosts(call, Err(EdgeFault::Unreachable)));
        }
    }
}
