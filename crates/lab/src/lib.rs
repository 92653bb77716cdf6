//! Deterministic simulation of daemons, workers and the platform under virtual time, with faults.
//!
//! The nodes are those of `bulrushlinkd`; only their network edges are replaced. All answers to
//! callers and operators are checked against the record that the stand-in workers keep, not against
//! the state of the nodes. The same seed always gives the same run.
//!
//! # Example
//!
//! ```
//! use bulrushlink_core::Span;
//! use bulrushlink_lab::{Lab, Layout};
//!
//! let mut lab = Lab::open(Layout::small(), 7);
//! lab.apply_first_note();
//! lab.run(Span::from_secs(10));
//! assert!(lab.report().violations.is_empty());
//! ```

mod callers;
mod checks;
mod daemons;
mod faults;
mod fleet;
mod layout;
mod links;
mod operators;
mod platform;
mod timeline;
mod world;

pub use callers::JobPlan;
pub use checks::{Report, Violation};
pub use faults::{Fault, FaultPlan, StartPoint};
pub use fleet::{Breach, DeadlyTasks, FleetLab, FleetNoise, Processor, SubmitOutcome, Trouble};
pub use layout::Layout;
pub use links::{Noise, Party};
pub use platform::StoreMode;
pub use world::Lab;
