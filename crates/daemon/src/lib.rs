//! The daemon `bulrushlinkd`: one process per entry host, all of them peers.
//!
//! The [`Node`] contains all of the daemon's logic and does no I/O: it takes typed [`Input`]s and
//! appends typed [`Output`]s to an [`Outbox`]. In the daemon, a stakker actor connects it to the
//! edges, which do the network I/O; tests drive it under virtual time and inject faults. Inside the
//! node, each component is a module with its own state, messages and tests: `members`, `notes`,
//! `hosts`, `intake`, `placer`, `journal` and `keeper`.

mod answers;
mod caller_http;
mod calls;
mod command;
mod daemon;
mod edge;
mod edges;
#[cfg(test)]
mod harness;
mod hash;
mod hosts;
mod hosts_edge;
mod intake;
mod journal;

mod keeper;
mod listener;
mod members;

mod node;
mod notes;
mod operator_http;
mod peer;
mod peer_link;
mod placer;
mod pool;
mod runtime;
mod settings;
mod store_edge;
mod timer;
mod worker_edge;

pub use command::run;
pub use daemon::Daemon;
pub use edge::{CallId, CallerAnswer, CallerCall, Component, Input, Outbox, Output, Token};
pub use journal::SpecDigest;
pub use node::Node;
pub use notes::{Accepted, Head};
pub use peer::{Echo, Heartbeat, JobStatus, PeerMessage, Phase};
pub use placer::{broken_gang_time_max, partial_gang_time_max};
pub use runtime::{NodeActor, NodeView, moment};
pub use settings::{Limits, Member, Settings, Timing};
