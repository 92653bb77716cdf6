//! Simulation of the fleet's scheduler nodes with a store and workers under virtual time.
//!
//! The store and the workers stay within what the platform guarantees, at its worst: replies are
//! lost, calls take effect late, clocks of workers run slow, and worker identifiers are reused
//! after a crash. The invariants of the scheduler are checked against the record of what the
//! workers saw.

mod lab;
mod record;
mod store;

pub use lab::{DeadlyTasks, FleetLab, FleetNoise, Processor, Trouble};
pub use record::{Breach, SubmitOutcome};
