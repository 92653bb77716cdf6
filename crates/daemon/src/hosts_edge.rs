//! Reads the platform's host list from a separate thread.

use bulrushlink_api::{Client, EdgeFault, Revision};

use crate::calls::CallResults;
use crate::edge::{CallId, Input};
use crate::pool::Pool;
use crate::settings::Settings;

/// Most calls that wait for the single thread.
const CALL_QUEUE_MAX: usize = 2;

struct HostsCall {
    call: CallId,
    /// Requests only the changes since this revision.
    after: Option<Revision>,
}

/// The client of the host list.
pub(crate) struct HostsEdge {
    calls: Pool<HostsCall>,
    results: CallResults,
}

impl HostsEdge {
    pub(crate) fn spawn(settings: &Settings, results: CallResults) -> Self {
        let url = format!("{}/hosts", settings.hosts.trim_end_matches('/'));
        let client = Client::open(settings.timing.store, None);
        let call_results = results.clone();
        let run = move |HostsCall { call, after }| {
            if !call_results.is_closed() {
                call_results.count_call("hosts", 0);
                let url = match after {
                    Some(after) => format!("{url}?after={after}"),
                    None => url.clone(),
                };
                let list = call_results.parse_reply("hosts", client.get(&url));
                call_results.send(Input::Hosts(call, list));
            }
        };
        Self { calls: Pool::spawn("hosts", 1, CALL_QUEUE_MAX, run), results }
    }

    /// Reads the full list, or its changes since `after`. With a full queue the call ends at once,
    /// unsent.
    pub(crate) fn call(&self, call: CallId, after: Option<Revision>) {
        if let Err(HostsCall { call, .. }) = self.calls.submit(HostsCall { call, after }) {
            self.results.send(Input::Hosts(call, Err(EdgeFault::Unreachable)));
        }
    }
}
