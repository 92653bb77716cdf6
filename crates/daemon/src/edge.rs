//! The typed edge of the node: all that it hears and all that it asks for.
//!
//! Everything outside a daemon is reached through these two enums, so that real edges and faulty
//! ones under virtual time are the same to the node.

use bulrushlink_api::{
    EdgeFault, HostList, JobAnswer, JobList, ListQuery, OperatorAnswer, OperatorCall, Revision,
    StatusQuery, StoreReply, StoreRequest, SubmitBody, WorkerBatch, WorkerReply,
};
use bulrushlink_core::{DaemonId, JobKey, Moment, Span, WorkerId};
use std::net::SocketAddr;

use crate::peer::PeerMessage;
use crate::settings::Settings;

/// The duty that made a call and gets its result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Duty {
    /// Release notes.
    Notes,
    /// Host list.
    Hosts,
    /// Callers' requests.
    Intake,
    /// Placing and running jobs.
    Placer,
    /// Leases.
    Keeper,
}

/// Names one call to an outside system; never reused within a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId {
    /// The duty that made the call.
    pub duty: Duty,
    /// Ordinal of the call.
    pub seq: u64,
}

/// Names one request that waits for its answer; never reused within a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(pub u64);

/// A request of a caller, checked for its form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerCall {
    /// Submits a job.
    Submit(SubmitBody),
    /// Asks for a job's state.
    Status(StatusQuery),
    /// Cancels a job.
    Cancel(JobKey),
    /// Lists open jobs.
    List(ListQuery),
}

/// An answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerReply {
    /// About one job.
    Job(JobAnswer),
    /// About a workspace.
    List(JobList),
}

/// What a node hears.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A caller's request.
    Caller(Token, CallerCall),
    /// An operator's request.
    Operator(Token, OperatorCall),
    /// A message of an authenticated peer.
    Peer(DaemonId, PeerMessage),
    /// Result of a store call.
    Store(CallId, Result<StoreReply, EdgeFault>),
    /// Result of a worker call.
    Worker(CallId, Result<WorkerReply, EdgeFault>),
    /// Result of reading the host list.
    Hosts(CallId, Result<HostList, EdgeFault>),
    /// Time has passed.
    Tick,
    /// The process was asked to stop gracefully.
    Stop,
}

/// What a node asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Answers a caller; each token exactly once.
    Caller(Token, CallerReply),
    /// Answers an operator; each token exactly once.
    Operator(Token, OperatorAnswer),
    /// Sends to a peer, without any promise of delivery or order.
    Peer(DaemonId, PeerMessage),
    /// Calls the store.
    Store(CallId, StoreRequest),
    /// Calls a worker. A call that hasn't been sent within `within` is not sent any more and
    /// ends as [`EdgeFault::Unreachable`].
    Worker {
        /// Names the call.
        call: CallId,
        /// The worker.
        worker: WorkerId,
        /// Its address.
        addr: SocketAddr,
        /// What to say.
        batch: WorkerBatch,
        /// Time after which the call must not leave the process.
        within: Span,
    },
    /// Reads the host list, or what has changed after the given one.
    Hosts(CallId, Option<Revision>),
    /// The graceful stop is complete.
    Exit,
}

/// Collects what a node asks for while it handles one input.
#[derive(Debug, Default)]
pub struct Outbox {
    outputs: Vec<Output>,
    calls: u64,
}

impl Outbox {
    /// Takes everything collected so far, in order.
    pub fn take(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Adds one output.
    pub(crate) fn push(&mut self, output: Output) {
        self.outputs.push(output);
    }

    /// Sends a message to a peer; to the node itself too.
    pub(crate) fn peer(&mut self, to: &DaemonId, message: PeerMessage) {
        self.push(Output::Peer(to.clone(), message));
    }

    /// Calls the store.
    pub(crate) fn store(&mut self, duty: Duty, request: StoreRequest) -> CallId {
        let call = self.call(duty);
        self.push(Output::Store(call, request));
        call
    }

    /// Calls a worker.
    pub(crate) fn worker(
        &mut self,
        duty: Duty,
        to: (&WorkerId, SocketAddr),
        batch: WorkerBatch,
        within: Span,
    ) -> CallId {
        let call = self.call(duty);
        self.push(Output::Worker { call, worker: to.0.clone(), addr: to.1, batch, within });
        call
    }

    /// Reads the host list, or what has changed after `after`.
    pub(crate) fn hosts(&mut self, after: Option<Revision>) -> CallId {
        let call = self.call(Duty::Hosts);
        self.push(Output::Hosts(call, after));
        call
    }

    fn call(&mut self, duty: Duty) -> CallId {
        self.calls += 1;
        CallId { duty, seq: self.calls }
    }
}

/// What a duty may use while it handles an input.
#[derive(Debug)]
pub(crate) struct Context<'a> {
    /// The time.
    pub(crate) now: Moment,
    /// Milliseconds of the wall clock; only for ages that outlive the process.
    pub(crate) wall: u64,
    /// Whether work may start in the own failure domain now: it is in service, and this daemon
    /// has heard recently enough that this is still so.
    pub(crate) may_start: bool,
    /// The daemon's settings.
    pub(crate) settings: &'a Settings,
    /// Where outputs go.
    pub(crate) out: &'a mut Outbox,
}
