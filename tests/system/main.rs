//! Whole deployments of separate processes on loopback.

mod processes;
mod sessions;
mod support;
