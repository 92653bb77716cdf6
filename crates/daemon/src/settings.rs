//! Settings of a daemon, read from a JSON file: its addresses, its failure domain and its peers.

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
    /// Its address for messages from peers, over UDP and TCP.
    pub addr: SocketAddr,
}

/// Limits of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Largest body of a request, in bytes.
    pub body: usize,
    /// Most requests that wait for their answer at a time.
    pub waiting: usize,
    /// Threads that read callers' requests with small bodies, and again as many for large ones.
    pub readers: usize,
    /// Threads that call the store, and so the most concurrent store calls besides the watch.
    pub store_calls: usize,
    /// Threads that call workers, and so the most concurrent worker calls, besides a few more
    /// threads for workers that don't reply.
    pub worker_calls: usize,
    /// Most store calls per second of this daemon.
    pub store_rate: u32,
    /// Bytes per second for the renewals of leases. With more workers each is renewed less often,
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

/// Intervals and timeouts of a daemon: text with a unit, such as `8s`, or a number of milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// Interval of the heartbeats to each daemon of the same failure domain.
    #[serde(deserialize_with = "span::read")]
    pub heartbeat: Span,
    /// Time without hearing from a daemon after which it counts as dead.
    #[serde(deserialize_with = "span::read")]
    pub suspect: Span,
    /// Interval of reads of the host list.
    #[serde(deserialize_with = "span::read")]
    pub hosts: Span,
    /// Interval of renewals of a worker's leases.
    #[serde(deserialize_with = "span::read")]
    pub renew: Span,
    /// Duration of the lease of a confirmed task.
    #[serde(deserialize_with = "span::read")]
    pub lease: Span,
    /// Duration of the lease of a reservation, and of a task until it is confirmed.
    #[serde(deserialize_with = "span::read")]
    pub reserve: Span,
    /// Longest time that a watch of the store waits for a change.
    #[serde(deserialize_with = "span::read")]
    pub watch: Span,
    /// Timeout of a store call.
    #[serde(deserialize_with = "span::read")]
    pub store: Span,
    /// Timeout of a worker call.
    #[serde(deserialize_with = "span::read")]
    pub worker: Span,
    /// Time for which a stopping daemon keeps its listeners open even if no request is pending, so
    /// that the load balancer sees that it isn't ready before they close.
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
    /// Token that authorizes operators' requests.
    pub operator_token: String,
    /// Secret key of the MAC of all messages between daemons.
    pub peer_key: String,
    /// All daemons of the deployment, including this one; sorted by id.
    pub members: Vec<Member>,
    /// Limits on requests, threads and rates.
    #[serde(default)]
    pub limits: Limits,
    /// Intervals and timeouts.
    #[serde(default)]
    pub timing: Timing,
    /// Lowest level of the lines that are logged: `error`, `warn`, `info` or `debug`.
    #[serde(default = "Settings::default_log")]
    pub log: String,
}

impl Settings {
    fn default_log() -> String {
        "info".to_string()
    }

    /// Returns the member with the given id.
    pub fn member(&self, id: &DaemonId) -> Option<&Member> {
        self.members.binary_search_by(|m| m.id.cmp(id)).ok().map(|i| &self.members[i])
    }

    /// Returns the daemon's own failure domain.
    ///
    /// # Panics
    ///
    /// If `daemon` is not one of `members`, which [`Settings::check`] rules out.
    pub fn domain(&self) -> &DomainId {
        &self.member(&self.daemon).expect("daemon is not one of the members").domain
    }
}
