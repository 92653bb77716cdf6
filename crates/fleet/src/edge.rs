//! Inputs and outputs of the node, independent of any wire protocol.

use bulrushlink_core::{DomainId, RackId, Span, WorkerId};
use derive_more::Display;
use std::net::SocketAddr;

use crate::catalog::Catalog;
use crate::front::FrontTag;
use crate::ids::{Epoch, FencingToken, LeaseId, Rev, Run, TaskId};
use crate::lead::ElectionTag;
use crate::model::{JobSpec, Resources};
use crate::placer::PlacerTag;
use crate::record::Item;

/// Identifier of a caller's request within this process; identifiers ascend in order of arrival.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Subject of a commit's precondition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Subject {
    /// A key that the daemons write.
    Key(String),
    /// The operators' configuration.
    Catalog,
}

/// An atomic change of several keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Commit {
    /// Preconditions: each subject must have the given revision.
    pub expect: Vec<(Subject, Rev)>,
    /// Keys with their new values and the lease, if any, whose end deletes them.
    pub writes: Vec<(String, Vec<u8>, Option<LeaseId>)>,
    /// Keys to delete.
    pub removes: Vec<String>,
}

impl Commit {
    /// Returns the number of preconditions and changes, which the store limits.
    pub fn entries(&self) -> usize {
        self.expect.len() + self.writes.len() + self.removes.len()
    }
}

/// A call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreOp {
    /// Reads the newest configuration and the evacuated failure domains.
    Catalog,
    /// Checks that the configuration still has the given revision; the reply is that of a commit
    /// without changes, and contains the newest configuration if it has another one.
    CheckCatalog(Rev),
    /// Reads the evacuated failure domains.
    Evacuations,
    /// Reads the registered workers.
    Workers,
    /// Reads one key.
    Get(String),
    /// Reads one key from any replica of the store; the reply may be seconds old.
    GetStale(String),
    /// Reads a page of the keys under a prefix, after the given key.
    List(String, Option<String>),
    /// Waits for changes under a prefix after a revision, at most for the given time.
    Watch(String, Rev, Span),
    /// Changes several keys atomically.
    Commit(Commit),
    /// Opens a lease with the given time to live.
    OpenLease(Span),
    /// Extends a lease by its time to live.
    RenewLease(LeaseId),
    /// Ends a lease, which deletes its keys.
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

/// The state that a worker registers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerState {
    /// It accepts new runs.
    Ready,
    /// It is leaving and accepts no new runs.
    Draining,
}

/// A worker as registered in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerEntry {
    /// Identifier, which may be reused after a restart.
    pub id: WorkerId,
    /// Start of its current boot, in milliseconds since 1970.
    pub born: u64,
    /// Endpoint that it belongs to.
    pub endpoint: String,
    /// Address for calls to it.
    pub addr: SocketAddr,
    /// Failure domain.
    pub domain: DomainId,
    /// Whether it accepts new runs.
    pub state: WorkerState,
    /// Least time until it leaves, as it reported; `None` unless it is draining.
    pub notice: Option<Span>,
    /// Total resources.
    pub capacity: Resources,
    /// All of its labels.
    pub labels: Vec<String>,
    /// The label among them that names its rack.
    pub rack: Option<RackId>,
}

/// The operators' keys, as of one read.
#[derive(Clone, Debug, PartialEq)]
pub struct OperatorView {
    /// The newest readable configuration, if there is one.
    pub catalog: Option<Catalog>,
    /// Failure domains that must get no work, sorted.
    pub evacuated: Vec<DomainId>,
}

/// A reply of the store.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreReply {
    /// Reply to [`StoreOp::Catalog`].
    Operator(OperatorView),
    /// The evacuated failure domains, sorted.
    Evacuated(Vec<DomainId>),
    /// Reply to [`StoreOp::Workers`]: entries sorted by identifier, and the number of unreadable
    /// ones.
    Workers(Vec<WorkerEntry>, usize),
    /// Reply to [`StoreOp::Get`] or [`StoreOp::GetStale`], with the revision of the store.
    Item(Option<Item>, Rev),
    /// Reply to [`StoreOp::List`]: the items, whether there are more, and the revision of the
    /// store.
    Page(Vec<Item>, bool, Rev),
    /// Reply to [`StoreOp::Watch`], with the revision at which the next watch begins.
    Events(Vec<StoreEvent>, Rev),
    /// The store no longer has the history after the requested revision.
    HistoryGone,
    /// The commit was applied at this revision.
    Committed(Rev),
    /// A precondition of the commit failed and nothing was changed. Holds the current items of the
    /// keys among its subjects, where a missing key doesn't exist, and the current configuration if
    /// it is a subject and readable.
    Conflict(Vec<Item>, Option<Catalog>),
    /// A lease was opened or renewed, with its time to live.
    Lease(LeaseId, Span),
    /// The lease has ended.
    LeaseGone,
}

/// Why a call failed without a reply.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Fault {
    /// The call had no effect, for the given reason.
    #[display("not done: {_0}")]
    NotDone(String),
    /// The outcome is unknown: the call may have taken effect, or may still do so.
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
        /// Checkpoint to resume from; empty if there is none.
        saved: String,
        /// End of the lease on the worker's clock, in milliseconds.
        lease_end: u64,
    },
    /// Stops a run, or prevents its later start if it isn't on the worker.
    Stop {
        /// The task.
        task: TaskId,
        /// The run.
        run: Run,
    },
    /// Extends the leases of all runs, acknowledges ends, and lists the runs and the other ends.
    Hold {
        /// End of the lease on the worker's clock, in milliseconds; `None` leaves it unchanged.
        lease_end: Option<u64>,
        /// Number of the last acknowledged end; the worker lists only later ones.
        acked: u64,
        /// Longest time that the worker delays its reply to wait for an end.
        wait: Span,
    },
}

/// Why a worker refused to start a run.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum StartRefusal {
    /// The worker has seen a higher fencing token.
    #[display("fenced")]
    Fenced,
    /// The worker has already seen this run or a later one of the task.
    #[display("old run")]
    OldRun,
    /// The lease had expired before the run could start.
    #[display("lease over")]
    LeaseOver,
    /// The worker lacks free resources.
    #[display("no room")]
    NoRoom,
    /// The worker is unhealthy.
    #[display("unhealthy")]
    Unhealthy,
    /// Another boot of a worker replies at this address.
    #[display("another boot")]
    OtherBoot,
    /// The worker could not parse the call.
    #[display("bad call")]
    BadCall,
}

/// A run that a worker lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunReport {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: Run,
    /// The latest checkpoint; empty if there is none.
    pub saved: String,
    /// Progress in percent.
    pub percent: u32,
}

/// How a run has ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum EndCause {
    /// The run completed its task.
    #[display("done")]
    Done,
    /// The run failed, through its own fault or the worker's.
    #[display("failed")]
    Failed,
    /// The run was stopped by a call.
    #[display("stopped")]
    Stopped,
    /// The lease of the run expired.
    #[display("lapsed")]
    Lapsed,
    /// Another member of the gang ended.
    #[display("broken")]
    Broken,
    /// The other members of the gang did not start in time.
    #[display("alone")]
    Alone,
}

/// The end of a run, which a worker lists until it is acknowledged.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndReport {
    /// Number of the end within the worker's boot, counted from 1.
    pub number: u64,
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: Run,
    /// Why the run ended.
    pub cause: EndCause,
    /// The latest checkpoint; empty if there is none.
    pub saved: String,
}

/// A reply of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WorkerReply {
    /// The call was carried out.
    Done,
    /// The run was not started.
    Refused(StartRefusal),
    /// Reply to [`WorkerOp::Hold`].
    Lists {
        /// Start of the boot that replies, if the worker sends it.
        born: Option<u64>,
        /// All current runs.
        running: Vec<RunReport>,
        /// Unacknowledged ends, in order of their numbers.
        ended: Vec<EndReport>,
    },
}

/// The operation that a caller requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerVerb {
    /// Submits a job. `Err` holds the parse error of an invalid body.
    Submit(Result<JobSpec, String>),
    /// Reads the state of a job, or the number of pending jobs of a queue.
    Get,
    /// Cancels a job.
    Cancel,
}

/// A caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallerCall {
    /// Host that the caller addresses, in lower case without a port.
    pub host: String,
    /// Path: the prefix of a queue, followed by a job's identifier.
    pub path: String,
    /// API key, if the caller sent one.
    pub key: Option<String>,
    /// Time after which the caller gives up waiting, if it sent one.
    pub timeout: Option<Span>,
    /// The requested operation.
    pub verb: CallerVerb,
}

/// The state of a job as shown to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShownState {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks are done.
    Completed,
    /// The job failed; it isn't retried.
    Failed,
    /// The job was cancelled.
    Cancelled,
}

/// The answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The job is stored.
    Accepted,
    /// The state of the job.
    State(ShownState),
    /// Number of the queue's jobs without a started task.
    Pending(usize),
    /// The cancellation is stored, or the job had already ended.
    Cancelled,
    /// There is no such job.
    NoJob,
    /// There is no such queue.
    NoQueue,
    /// The key is missing or unknown.
    NoKey,
    /// The job belongs to another workspace.
    OtherWorkspace,
    /// Another job has this identifier.
    Taken,
    /// The request is invalid, for the given reason.
    Bad(String),
    /// The request had no effect and will have none; the caller may retry after the given time.
    Unavailable(String, Span),
    /// The daemon is overloaded. The request had no effect and will have none; the caller may retry
    /// after the given time.
    Busy(Span),
    /// The job can't be served in time, for the given reason. It had no effect and will have none; the
    /// caller may come back after the given time.
    Refused(String, Span),
    /// The outcome is unknown: the request may have taken effect, or may still do so.
    Unknown,
}

/// The component of the node that made a call. The I/O layer returns the tag with the reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Tag {
    /// The view of the operators' keys, with the ordinal of the read.
    Catalog(u64),
    /// The view of the forecast for admission, with the ordinal of the read.
    Load(u64),
    /// A caller's request.
    Front(RequestId, FrontTag),
    /// The election of the leader.
    Election(ElectionTag),
    /// The placer of this epoch.
    Placer(Epoch, PlacerTag),
}

/// An input of the node.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A timer has fired.
    Tick,
    /// A caller's request.
    Caller(RequestId, CallerCall),
    /// The caller of a request has disconnected.
    CallerGone(RequestId),
    /// The result of a call to the store.
    Store(Tag, Result<StoreReply, Fault>),
    /// The result of a call to a worker, with the worker's clock in milliseconds if it sent one.
    Worker(Tag, Option<u64>, Result<WorkerReply, Fault>),
    /// The process has been asked to stop gracefully.
    Stop,
}

/// An output of the node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// A call to the store, with its timeout.
    Store(Tag, StoreOp, Span),
    /// A call to a worker, with its timeout.
    Worker(Tag, WorkerCall, Span),
    /// The answer to a caller.
    Answer(RequestId, Answer),
    /// The graceful stop is complete; the process may end.
    Exit,
}

/// A call to one boot of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WorkerCall {
    /// Identifier of the worker.
    pub worker: WorkerId,
    /// Address of the worker.
    pub addr: SocketAddr,
    /// The worker refuses the call if it has seen a higher token.
    pub token: FencingToken,
    /// The requested operation.
    pub op: WorkerOp,
}

/// The current time at an input.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Clock {
    /// Time since the host booted, including time suspended.
    pub now: bulrushlink_core::Moment,
    /// Wall clock, in milliseconds since the Unix epoch.
    pub wall: u64,
}
