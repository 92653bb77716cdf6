//! Scheduling and routing decisions of bulrushlink, free of clocks, sockets and threads.
//!
//! Every decision depends only on its inputs (state, event, time and seed), so that it can be
//! explained, replayed from a seed and measured.
//!
//! # Example
//!
//! Applying a release note to a desired state gives the next version of it:
//!
//! ```
//! use bulrushlink_core::{DesiredState, NoteVersion, ReleaseNote};
//!
//! let text = r#"{
//!     "base": 0,
//!     "id": "first",
//!     "added": { "domains": [{ "id": "cuenca", "region": "ec-sierra" }] }
//! }"#;
//! let note: ReleaseNote = serde_json::from_str(text)?;
//! let state = DesiredState::default().try_apply(&note)?;
//! assert_eq!(state.version, NoteVersion(1));
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod error;
mod ids;
mod job;
mod note;
mod route;
mod sched;
mod throttle;
mod units;

pub use error::{Code, Error};
pub use ids::{
    Attempt, DaemonId, DomainId, ID_MAX_CHARS, JobKey, KindId, NoteVersion, RackId, RegionId,
    RequestId, WorkerId, WorkspaceId,
};
pub use job::{
    Adjacency, Ending, GANG_MAX_TASKS, INPUT_MAX_BYTES, JobSpec, Placement, Refusal, Shape,
    TASK_MAX_ACCELERATORS, TaskPlace, Urgency,
};
pub use note::{
    Change, DesiredState, DomainShare, DomainSpec, Entries, Guarantee, RackCapacity, ReleaseNote,
    Removals, Service, WorkspaceShare, WorkspaceSpec,
};
pub use route::{DomainView, reroute, route};
pub use sched::{
    Action, Event, JobState, KindState, Load, Scheduler, Shortfall, StartFault, State, StopReason,
    URGENT_BUCKETS, UsageReport, Why, WorkerInfo, WorkerState, WorkspaceState,
};
pub use throttle::Throttle;
pub use units::{AcceleratorSet, Moment, Span};
