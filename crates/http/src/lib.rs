//! Non-blocking HTTP/1.1 connections on the poll loop of `stakker_mio`.
//!
//! A placer has an open call to each of its workers; with a blocking client, each would need a
//! thread. A listener has to limit its number of connections, the size of message heads, and idle
//! time. `httparse` parses the heads.
//!
//! [`Client`] and [`Server`] are plain state owned by an actor, which passes in readiness events
//! and gets complete messages back.
//!
//! # Example
//!
//! ```
//! use bulrushlink_http::{Method, Request};
//!
//! let request = Request::new(Method::Get, "/api/ready").with_header("Host", "10.0.0.1:80");
//! assert!(request.encode().starts_with(b"GET /api/ready HTTP/1.1\r\n"));
//! ```

mod body;
mod budget;
mod client;
mod conn;
mod deadline;
mod message;
mod parse;
mod server;
#[cfg(test)]
mod tests;

pub use client::{Client, Failure, Finished};
pub use message::{Method, Request, Response};
pub use parse::{Bounds, Malformed};
pub use server::{ConnId, Received, Server, ServerBounds, SocketBuffers};

/// Priority in the poll loop of all connections, and of everything else that a program with them polls.
///
/// One poll passes on the events of one priority only. Calls must not time out before the replies that have
/// arrived are read, so all of these come with one poll.
pub const POLL_PRIORITY: u32 = 5;
