//! Stand-ins that simulate the platform: key-value store, host list and workers.
//!
//! Tests and examples need these outside systems without running them. Each stand-in is a state
//! machine that takes the time as an argument, so that tests under virtual time can drive it
//! directly; [`Platform`] and [`Workers`] serve the same state machines over HTTP.
//!
//! [`Emulator`] is the counterpart of `bulrushlinkd platform`: it serves [`KeyValues`] and
//! [`FleetWorker`]s with the wire protocol of the users' platform.

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
    Addition, CeilingLog, CommitRefusal, Emulator, EmulatorOptions, FleetRun, FleetWorker,
    FleetWorkerBounds, JobText, KeyChange, KeyValue, KeyValues, pending_text, state_text,
};
pub use fault::Faults;
pub use hosts::HostTable;
pub use platform::{AdminHosts, AdminWorker, Platform, PlatformOptions};
pub use program::Program;
pub use record::{PartialGang, Record, Run, RunEnd};
pub use store::{CallCounts, Store, StoreRates, VALUE_MAX_BYTES};
pub use worker::{WorkerMode, WorkerSim, WorkerTiming};
pub use workers::{AdminMode, RecordPage, Workers};
