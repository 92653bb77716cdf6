//! Message types of the edges of bulrushlink: the platform's store and host list, the workers, the
//! callers and the operators.
//!
//! Every edge is JSON over HTTP. Both sides of an edge share only these types, so that an edge can
//! be replaced without changing the scheduling code.

mod caller;
mod http;
mod json;
mod operator;
mod platform;
mod worker;

pub use caller::{JobAnswer, JobList, JobState, ListQuery, StatusQuery, SubmitBody};
pub use http::{Client, HttpReply, JsonBody, poke};
pub use json::from_json;
pub use operator::{
    ApplyAnswer, CheckAnswer, DomainRow, DomainsAnswer, Dump, DumpSection, InForce, OperatorAnswer,
    OperatorCall, PlanAnswer, WorkerRow,
};
pub use platform::{EdgeFault, Expect, Host, HostList, Record, Revision, StoreReply, StoreRequest};
pub use worker::{TaskId, TaskReport, TaskState, WorkerBatch, WorkerOp, WorkerReply, WorkerResult};
