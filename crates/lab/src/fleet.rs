//! Nodes of the fleet's scheduler with a store and workers under virtual time.
//!
//! The store and the workers behave as the platform promises, at its worst: answers are lost, orders
//! are carried out late, clocks of workers are slow, identifiers are used again after a crash. What
//! the workers saw is the record that the promises are checked against.

mod lab;
mod record;
mod store;

pub use lab::{FleetLab, FleetNoise, Trouble};
pub use record::{Breach, Told};
