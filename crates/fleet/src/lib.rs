//! Scheduler for multi-step jobs on the workers of a platform.
//!
//! Every daemon serves callers' requests. One of them, elected through the store, places the tasks.
//! The daemons share state only through the store and have no protocol among themselves.
//!
//! A [`Node`] is the complete logic of a daemon, free of I/O: it processes [`Input`]s and returns
//! [`Output`]s, so the same code runs on real sockets and in simulations with virtual time.
//!
//! # Example
//!
//! A job whose second step runs once the first one is done:
//!
//! ```
//! use bulrushlink_fleet::{JobSpec, Resources, Step};
//! use bulrushlink_core::Span;
//!
//! let step = |tasks, after| Step {
//!     tasks,
//!     need: Resources { cpu: 4_000, memory: 8_192, accelerators: 1 },
//!     estimate: Span::from_secs(3),
//!     after,
//!     gang: true,
//!     one_rack: false,
//!     label: None,
//!     near: None,
//!     per_worker: None,
//!     saves: false,
//!     copies: false,
//!     endless: false,
//! };
//! let steps = vec![step(4, vec![]), step(1, vec![0])];
//! let job = JobSpec { text: "replay 4410".into(), steps, schedule: None };
//! assert!(job.check().is_ok());
//! ```

mod activity;
mod catalog;
mod edge;
mod front;
mod ids;
mod intake;
mod lead;
mod limiter;
mod load_view;
mod model;
mod node;
mod placer;
mod plan;
mod policy;
mod record;
mod settings;
mod view;

pub use activity::{Activity, Part};
pub use catalog::{
    Allotment, BadAllotment, Catalog, Ceiling, Denial, Grant, Limits, Queue, Workspace,
};
pub use edge::{
    Answer, CallerCall, CallerVerb, Clock, Commit, EndCause, EndReport, Fault, Input, OperatorView,
    Output, RequestId, RunReport, ShownState, StartRefusal, StoreEvent, StoreOp, StoreReply,
    Subject, Tag, WorkerCall, WorkerEntry, WorkerOp, WorkerReply, WorkerState,
};
pub use front::FrontTag;
pub use ids::{Boot, Epoch, FencingToken, JobId, LeaseId, Rev, Run, TaskId};
pub use intake::{Intake, IntakeSettings, ProcessLimits};
pub use lead::ElectionTag;
pub use limiter::CallLimiter;
pub use model::{
    BadSpec, JOB_ROUNDS_MAX, JOB_STEPS_MAX, JOB_TASKS_MAX, JOB_TEXT_BYTES, JobSpec, Resources,
    Schedule, Step, TASK_VALUE_MAX,
};
pub use node::Node;
pub use placer::{PassStats, PlacerTag};
pub use record::Item;
pub use settings::{Bounds, Features, HostShare, NodeSettings};
