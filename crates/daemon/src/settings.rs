//! A daemon learns its addresses, its failure domain and its peers from a JSON file.

use bulrushlink_core::{DaemonId, DomainId, Span};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

mod check;
mod span;
#[cfg(test)]
mod tests;

/// A daemon of the deployment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// The daemon.
    pub id: DaemonId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Its address for peers, UDP and TCP.
    pub addr: SocketAddr,
}

/// Bounds of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Largest body of a request, in bytes.
    pub body: usize,
    /// Most requests that wait for their answer at the same time.
    pub waiting: usize,
    /// Threads that read callers' requests.
    pub readers: usize,
    /// Threads that call the store; the most store calls at the same time, without the watch.
    pub store_calls: usize,
    /// Threads that call workers.
    pub worker_calls: usize,
    /// Store calls a second that the daemon allows itself.
    pub store_rate: u32,
    /// Bytes a second for the renewals of leases; with more workers each is renewed less often,
    /// as far as its lease allows.
    pub control_rate: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body: 64 * 1024,
            waiting: 2048,
            readers: 4,
            store_calls: 8,
            worker_calls: 16,
            store_rate: 100,
            control_rate: 32 * 1024,
        }
    }
}

/// Periods and time-outs of a daemon: text with a unit, such as `8s`, or a number of milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// Between two heartbeats to each daemon of the own failure domain.
    #[serde(deserialize_with = "span::read")]
    pub heartbeat: Span,
    /// Silence after which a daemon is taken for dead.
    #[serde(deserialize_with = "span::read")]
    pub suspect: Span,
    /// Between two readings of the host list.
    #[serde(deserialize_with = "span::read")]
    pub hosts: Span,
    /// Between two renewals of a worker's leases.
    #[serde(deserialize_with = "span::read")]
    pub renew: Span,
    /// Lease of a confirmed task.
    #[serde(deserialize_with = "span::read")]
    pub lease: Span,
    /// Lease of a reservation, and of a task until its confirmation.
    #[serde(deserialize_with = "span::read")]
    pub reserve: Span,
    /// The longest wait of a store watch.
    #[serde(deserialize_with = "span::read")]
    pub watch: Span,
    /// Time-out of a store call.
    #[serde(deserialize_with = "span::read")]
    pub store: Span,
    /// Time-out of a worker call.
    #[serde(deserialize_with = "span::read")]
    pub worker: Span,
    /// Time for which a stopping daemon goes on answering although nobody waits, so that the
    /// balancer sees that it isn't ready before its listeners close.
    #[serde(deserialize_with = "span::read")]
    pub linger: Span,
    /// Longest time of a graceful stop.
    #[serde(deserialize_with = "span::read")]
    pub drain: Span,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat: Span(500),
            suspect: Span::from_secs(3),
            hosts: Span::from_secs(1),
            renew: Span::from_secs(1),
            lease: Span::from_secs(30),
            reserve: Span::from_secs(4),
            watch: Span::from_secs(20),
            store: Span::from_secs(2),
            worker: Span::from_secs(2),
            linger: Span::from_secs(2),
            drain: Span::from_secs(60),
        }
    }
}

/// The settings of one daemon.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of the daemon; one of `members`.
    pub daemon: DaemonId,
    /// Address of the listener for callers.
    pub callers: SocketAddr,
    /// Address of the listener for operators.
    pub operators: SocketAddr,
    /// URL of the platform's store, such as `http://127.0.0.1:7100`.
    pub store: String,
    /// URL of the platform's host list.
    pub hosts: String,
    /// Token that operators have to present.
    pub operator_token: String,
    /// Secret of the keyed MAC on every message between daemons.
    pub peer_key: String,
    /// All daemons of the deployment, this one too; sorted by id.
    pub members: Vec<Member>,
    /// Bounds.
    #[serde(default)]
    pub limits: Limits,
    /// Periods and time-outs.
    #[serde(default)]
    pub timing: Timing,
    /// Least level of a log line: `error`, `warn`, `info` or `debug`.
    #[serde(default = "Settings::default_log")]
    pub log: String,
}

impl Settings {
    fn default_log() -> String {
        "info".to_string()
    }

    /// Returns the member of that name.
    pub fn member(&self, id: &DaemonId) -> Option<&Member> {
        self.members.binary_search_by(|m| m.id.cmp(id)).ok().map(|i| &self.members[i])
    }

    /// Returns the daemon's own failure domain.
    ///
    /// # Panics
    ///
    /// When `daemon` is not one of `members`, which checked settings never allow.
    pub fn domain(&self) -> &DomainId {
        &self.member(&self.daemon).expect("checked settings name their own daemon").domain
    }
}
