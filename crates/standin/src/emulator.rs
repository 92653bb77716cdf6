//! Emulator of the users' platform: its store and its workers, in memory and over its wire
//! protocol.
//!
//! [`KeyValues`] and [`FleetWorker`] take the time as an argument, for tests under virtual time;
//! [`Emulator`] serves them over HTTP.

mod ceilings;
mod crashes;
mod keys;
mod rooms;
mod texts;
mod wire;
mod worker;

pub use ceilings::{Addition, CeilingLog};
pub use keys::{CommitRefusal, KeyChange, KeyValue, KeyValues};
pub use texts::{JobText, pending_text, state_text};
pub use wire::{Emulator, EmulatorOptions};
pub use worker::{FleetRun, FleetWorker, FleetWorkerBounds};
