//! The daemon `bulrushlinkd`: one process per entry host, all of them peers.
//!
//! The [`Node`] is the whole of the daemon's logic without any input or output: it takes typed
//! [`Input`]s and leaves typed [`Output`]s in an [`Outbox`]. A stakker actor feeds it from real
//! edges, and tests feed it under virtual time from faulty ones. Inside the node, each duty is a
//! vertical slice with its state, messages and tests: `members`, `notes`, `hosts`,
//! `intake`, `placer`, `journal` and `keeper`.

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
pub use edge::{CallId, CallerCall, CallerReply, Duty, Input, Outbox, Output, Token};
pub use journal::SpecDigest;
pub use node::Node;
pub use notes::{Accepted, Head};
pub use peer::{Echo, Heartbeat, JobStatus, PeerMessage, Phase};
pub use placer::{broken_gang_bound, partial_gang_bound};
pub use runtime::{NodeActor, NodeView, moment};
pub use settings::{Limits, Member, Settings, Timing};
