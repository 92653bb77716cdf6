//! Small stand-ins for the platform: key-value store, host list and workers.
//!
//! Tests and examples need the outside systems without running any of them. Each stand-in is a
//! state machine that takes the time as an argument, so that a test under virtual time uses it
//! directly; [`Platform`] and [`Workers`] put the same state machines behind HTTP.

mod checkpoints;
mod command;
mod deployment;
mod emulator;
mod fault;
mod hosts;
mod http;
mod platform;
mod program;
mod record;
mod store;
mod worker;
mod workers;

pub use checkpoints::Checkpoints;
pub use command::Running;
pub use deployment::{DeployedDomain, Deployment};
pub use emulator::{
    CommitRefusal, Emulator, EmulatorOptions, FleetRun, FleetWorker, FleetWorkerBounds, JobText,
    KeyChange, KeyValue, KeyValues, pending_text, state_text,
};
pub use fault::Faults;
pub use hosts::HostTable;
pub use platform::{AdminHosts, AdminWorker, Platform, PlatformOptions};
pub use program::Program;
pub use record::{PartialGang, Record, Run, RunEnd};
pub use store::{CallCounts, Store, StoreRates, VALUE_MAX_BYTES};
pub use worker::{WorkerMode, WorkerSim, WorkerTiming};
pub use workers::{AdminMode, RecordPage, Workers};
