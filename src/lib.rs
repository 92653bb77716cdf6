//! The programs of bulrushlink: the daemon `bulrushlinkd`, the command line `bulrushlink` and
//! `bulrushlink-standin`, which takes the platform's place in tests and examples.
//!
//! The library part runs whole deployments on loopback, for the examples and the tests.

mod local;

pub use local::{LOCAL_TOKEN, Local, LocalSettings};
