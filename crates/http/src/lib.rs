//! Non-blocking HTTP/1.1 connections on the poll loop of `stakker_mio`.
//!
//! A placer waits on one call to each of its workers, which would take a thread for each of them
//! with a blocking client; and a listener has to bound its connections, their heads and their idle
//! time. Parsing is left to `httparse`.
//!
//! [`Client`] and [`Server`] are plain state that an actor owns: the actor passes readiness in, and
//! gets whole messages out.
//!
//! # Example
//!
//! ```
//! use bulrushlink_http::{Method, Request};
//!
//! let request = Request::new(Method::Get, "/api/ready").with_header("Host", "10.0.0.1:80");
//! assert!(request.encode().starts_with(b"GET /api/ready HTTP/1.1\r\n"));
//! ```

mod client;
mod message;
mod parse;
mod server;
#[cfg(test)]
mod tests;

pub use client::{Client, Failure, Finished};
pub use message::{Method, Request, Response};
pub use parse::{Bounds, Malformed};
pub use server::{ConnId, Received, Server, ServerBounds};
