//! End-to-end tests of deployments whose programs run as separate processes on loopback.

mod processes;
mod sessions;
mod support;
