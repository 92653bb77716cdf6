//! The programs of bulrushlink: the daemon `bulrushlinkd`, the command line `bulrushlink` and
//! `bulrushlink-standin`, which simulates the platform in tests and examples.
//!
//! The library runs complete deployments on loopback addresses for examples and tests.

mod local;

pub use local::{LOCAL_TOKEN, Local, LocalSettings};
