//! Small stand-ins for the platform: key-value store, host list and workers.
//!
//! Tests and examples need the outside systems without running any of them. Each stand-in is a
//! state machine that takes the time as an argument, so that a test under virtual time uses it
//! directly; [`Platform`] and [`Workers`] put the same state machines behind HTTP.

mod checkpoints;
mod hosts;
mod program;
mod record;
mod store;
mod worker;

pub use checkpoints::Checkpoints;
pub use hosts::HostTable;
pub use program::Program;
pub use record::{PartialGang, Record, Run, RunEnd};
pub use store::{CallCounts, Store, StoreRates, VALUE_MAX_BYTES};
pub use worker::{WorkerMode, WorkerSim, WorkerTiming};
