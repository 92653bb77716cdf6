//! What the node takes in and gives out; everything here is typed and free of any protocol.

use bulrushlink_core::{DomainId, RackId, Span, WorkerId};
use derive_more::Display;
use std::net::SocketAddr;

use crate::catalog::Catalog;
use crate::front::FrontTag;
use crate::ids::{Epoch, FencingToken, LeaseId, Rev, Run, TaskId};
use crate::lead::LeadTag;
use crate::model::{JobSpec, Resources};
use crate::placer::PlacerTag;
use crate::record::Item;

/// A caller's request at this daemon.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A key of the store that a commit may depend on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Subject {
    /// A key of this program.
    Key(String),
    /// The operators' configuration.
    Catalog,
}

/// A change of several keys, carried out whole or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Commit {
    /// Each subject must still have this revision.
    pub expect: Vec<(Subject, Rev)>,
    /// Keys with their new values, and the lease that they depend on.
    pub writes: Vec<(String, Vec<u8>, Option<LeaseId>)>,
    /// Keys that go.
    pub removes: Vec<String>,
}

impl Commit {
    /// Returns the number of entries, which the store limits.
    pub fn entries(&self) -> usize {
        self.expect.len() + self.writes.len() + self.removes.len()
    }
}

/// A call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreOp {
    /// Reads the newest configuration and the evacuated failure domains.
    Catalog,
    /// Reads the registered workers.
    Workers,
    /// Reads one key.
    Get(String),
    /// Reads a page of the keys under a prefix, after the given key.
    List(String, Option<String>),
    /// Waits for changes under a prefix after a revision.
    Watch(String, Rev, Span),
    /// Changes several keys.
    Commit(Commit),
    /// Opens a lease.
    OpenLease(Span),
    /// Renews a lease.
    RenewLease(LeaseId),
    /// Ends a lease.
    EndLease(LeaseId),
}

/// A change under a watched prefix.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreEvent {
    /// A key was written.
    Written(Item),
    /// A key was removed.
    Removed(String),
}

/// The state that a worker reports of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerState {
    /// It takes work.
    Ready,
    /// It is leaving.
    Draining,
}

/// A registered worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerEntry {
    /// Its identifier.
    pub id: WorkerId,
    /// Start of its present life, in milliseconds since 1970.
    pub born: u64,
    /// Endpoint that it belongs to.
    pub endpoint: String,
    /// Where it takes calls.
    pub addr: SocketAddr,
    /// Failure domain.
    pub domain: DomainId,
    /// Whether it takes work.
    pub state: WorkerState,
    /// What it has in all.
    pub capacity: Resources,
    /// All of its labels.
    pub labels: Vec<String>,
    /// The label among them that names its rack.
    pub rack: Option<RackId>,
}

/// What the operators and workers have written, as of one read.
#[derive(Clone, Debug, PartialEq)]
pub struct OperatorView {
    /// The newest configuration, if there is one that can be read.
    pub catalog: Option<Catalog>,
    /// Failure domains that must get no work, sorted.
    pub evacuated: Vec<DomainId>,
}

/// The store's answer.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreReply {
    /// To [`StoreOp::Catalog`].
    Operator(OperatorView),
    /// To [`StoreOp::Workers`]: sorted by identifier, and the number of entries that can't be read.
    Workers(Vec<WorkerEntry>, usize),
    /// To [`StoreOp::Get`], with the revision of the store.
    Item(Option<Item>, Rev),
    /// To [`StoreOp::List`]: the items, whether there are more, and the revision of the store.
    Page(Vec<Item>, bool, Rev),
    /// To [`StoreOp::Watch`], with the revision to go on from.
    Events(Vec<StoreEvent>, Rev),
    /// The watched history is no longer there.
    HistoryGone,
    /// The commit is done, at this revision.
    Committed(Rev),
    /// The commit is not done: the expected subjects as they are. A key that isn't named is absent.
    Conflict(Vec<Item>, Option<Catalog>),
    /// A lease was opened or renewed.
    Lease(LeaseId, Span),
    /// The lease has ended.
    LeaseGone,
}

/// Why a call has no answer.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Fault {
    /// Nothing was done, for the reason given.
    #[display("not done: {_0}")]
    NotDone(String),
    /// It may have been done, or may still be.
    #[display("unknown: {_0}")]
    Unknown(String),
}

/// A call to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerOp {
    /// Starts a run.
    Start {
        /// The task.
        task: TaskId,
        /// The run.
        run: Run,
        /// The text of the job.
        text: String,
        /// Progress to resume from; empty without any.
        saved: String,
        /// End of the lease on the worker's clock, in milliseconds.
        lease_end: u64,
    },
    /// Stops a run, and bars it if it isn't there.
    Stop {
        /// The task.
        task: TaskId,
        /// The run.
        run: Run,
    },
    /// Extends the lease of all runs, forgets ends and lists what runs and what has ended.
    Hold {
        /// End of the lease on the worker's clock, in milliseconds.
        lease_end: Option<u64>,
        /// The last end that needs no repeating.
        acked: u64,
        /// Time to wait for an end.
        wait: Span,
    },
}

/// Why a worker did not start a run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum StartRefusal {
    /// It has seen a higher epoch.
    #[display("fenced")]
    Fenced,
    /// This run or a later one has been there before.
    #[display("old run")]
    Old,
    /// The lease was over before it began.
    #[display("lease over")]
    Late,
    /// It has no room.
    #[display("no room")]
    Room,
    /// It is unhealthy.
    #[display("unhealthy")]
    Unhealthy,
    /// Another boot answers at this address.
    #[display("another boot")]
    OtherBoot,
    /// It can't make sense of the call.
    #[display("bad call")]
    Bad,
}

/// A run on a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunReport {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: Run,
    /// The latest saved progress; empty without any.
    pub saved: String,
    /// Progress in percent.
    pub percent: u32,
}

/// How a run has ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum EndCause {
    /// It is done.
    #[display("done")]
    Done,
    /// It failed, by its own fault or the worker's.
    #[display("failed")]
    Failed,
    /// It was stopped.
    #[display("stopped")]
    Stopped,
    /// Its lease lapsed.
    #[display("lapsed")]
    Lapsed,
    /// Another member of its gang ended.
    #[display("broken")]
    Broken,
    /// The other members of its gang did not come.
    #[display("alone")]
    Alone,
}

/// An end that a worker lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndReport {
    /// Its number in this boot, from 1.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: Run,
    /// How it ended.
    pub cause: EndCause,
    /// The latest saved progress; empty without any.
    pub saved: String,
}

/// A worker's answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerReply {
    /// The call was carried out.
    Done,
    /// The run was not started.
    Refused(StartRefusal),
    /// To [`WorkerOp::Hold`].
    Lists {
        /// Start of the boot that answers, where it says so.
        born: Option<u64>,
        /// Everything that runs.
        running: Vec<RunReport>,
        /// Ends that haven't been acknowledged, in order.
        ended: Vec<EndReport>,
    },
}

/// What a caller wants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerVerb {
    /// Submits a job, or what is wrong with its text.
    Submit(Result<JobSpec, String>),
    /// Asks for the state of a job, or for the length of a queue.
    Look,
    /// Cancels a job.
    Cancel,
}

/// A caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerCall {
    /// The host that the caller names, in lower case without a port.
    pub host: String,
    /// The path.
    pub path: String,
    /// The key that came with it.
    pub key: Option<String>,
    /// The time that the caller waits.
    pub patience: Option<Span>,
    /// What it wants.
    pub verb: CallerVerb,
}

/// The state of a job as callers see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShownState {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// It failed for good.
    Failed,
    /// It was cancelled.
    Cancelled,
}

/// The answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The job is stored.
    Accepted,
    /// The state of the job.
    State(ShownState),
    /// Jobs of the queue that haven't begun.
    Pending(usize),
    /// The cancellation is stored, or the job had ended.
    Cancelled,
    /// There is no such job.
    NoJob,
    /// There is no such queue.
    NoQueue,
    /// The key is missing or belongs to nobody.
    NoKey,
    /// The job belongs to another workspace.
    OtherWorkspace,
    /// The identifier is used by another job.
    Taken,
    /// The request can't be understood.
    Bad(String),
    /// Not done, and it never will be; worth another try after the given time.
    Unavailable(String, Span),
    /// Refused under load: not accepted, and never will be; come back after the given time.
    Busy(Span),
    /// It may have been done.
    Unknown,
}

/// Which part of the node waits for an answer; edges hand it back untouched.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Tag {
    /// The view of the operators' keys, with its ordinal.
    Catalog(u64),
    /// A caller's request.
    Front(RequestId, FrontTag),
    /// The election.
    Lead(LeadTag),
    /// The placer of this epoch.
    Placer(Epoch, PlacerTag),
}

/// What the node takes in.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A caller's request.
    Caller(RequestId, CallerCall),
    /// The caller of a request has gone away.
    CallerGone(RequestId),
    /// An answer of the store.
    Store(Tag, Result<StoreReply, Fault>),
    /// An answer of a worker, with its clock if it told.
    Worker(Tag, Option<u64>, Result<WorkerReply, Fault>),
    /// The process is to stop.
    Stop,
}

/// What the node gives out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// A call to the store that is given up after the span.
    Store(Tag, StoreOp, Span),
    /// A call to a worker that is given up after the span.
    Worker(Tag, WorkerCall, Span),
    /// The answer to a caller.
    Answer(RequestId, Answer),
    /// Everything is settled; the process may end.
    Exit,
}

/// A call to one boot of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerCall {
    /// The worker that is meant.
    pub worker: WorkerId,
    /// Its address.
    pub addr: SocketAddr,
    /// What bars the call if the worker has seen a higher one.
    pub token: FencingToken,
    /// The call.
    pub op: WorkerOp,
}

/// The time as an input sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Clock {
    /// Time since the host started, suspension included.
    pub now: bulrushlink_core::Moment,
    /// Time of day, in milliseconds since 1970.
    pub wall: u64,
}
