//! Many nodes, workers and a store under virtual time, with faulty edges between them.
//!
//! The nodes are the ones that `bulrushlinkd` runs; just their edges are replaced. Everything that
//! callers and operators are told is checked against the record that the stand-in workers keep, not
//! against what the nodes believe. A seed gives the same run every time.
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
pub use fleet::{Breach, FleetLab, FleetNoise, SubmitOutcome, Trouble};
pub use layout::Layout;
pub use links::{Noise, Party};
pub use platform::StoreMode;
pub use world::Lab;
