//! The interface between the node and its environment: the inputs that it handles and the outputs
//! that it requests.
//!
//! Everything outside the node is reached through [`Input`] and [`Output`], so that the node runs
//! unchanged on real sockets and in tests with virtual time and injected faults.

use bulrushlink_api::{
    EdgeFault, HostList, JobAnswer, JobList, ListQuery, OperatorAnswer, OperatorCall, Revision,
    StatusQuery, StoreReply, StoreRequest, SubmitBody, WorkerBatch, WorkerReply,
};
use bulrushlink_core::{DaemonId, JobKey, Moment, Span, WorkerId};
use std::net::SocketAddr;

use crate::peer::PeerMessage;
use crate::settings::Settings;

/// The component of the node that made a call and gets its result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Component {
    /// Reads and applies release notes.
    Notes,
    /// Reads the host list.
    Hosts,
    /// Handles callers' requests.
    Intake,
    /// Places and runs jobs.
    Placer,
    /// Renews leases.
    Keeper,
}

/// Identifies a call to an external system; never reused within a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId {
    /// The component that made the call.
    pub component: Component,
    /// Sequence number of the call.
    pub seq: u64,
}

/// Identifies a pending request, one that waits for its answer; never reused within a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(pub u64);

/// A well-formed request of a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerCall {
    /// Submits a job.
    Submit(SubmitBody),
    /// Queries a job's state.
    Status(StatusQuery),
    /// Cancels a job.
    Cancel(JobKey),
    /// Lists open jobs.
    List(ListQuery),
}

/// An answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerAnswer {
    /// The state of one job.
    Job(JobAnswer),
    /// The open jobs of a workspace.
    List(JobList),
}

/// An event that the node handles.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// A caller's request.
    Caller(Token, CallerCall),
    /// An operator's request.
    Operator(Token, OperatorCall),
    /// A message from an authenticated peer.
    Peer(DaemonId, PeerMessage),
    /// Result of a store call.
    Store(CallId, Result<StoreReply, EdgeFault>),
    /// Result of a worker call.
    Worker(CallId, Result<WorkerReply, EdgeFault>),
    /// Result of reading the host list.
    Hosts(CallId, Result<HostList, EdgeFault>),
    /// Time has passed.
    Tick,
    /// A graceful stop of the process was requested.
    Stop,
}

/// An effect that the node requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Answers a caller; each token exactly once.
    Caller(Token, CallerAnswer),
    /// Answers an operator; each token exactly once.
    Operator(Token, OperatorAnswer),
    /// Sends a message to a peer, without guarantee of delivery or order.
    Peer(DaemonId, PeerMessage),
    /// Calls the store.
    Store(CallId, StoreRequest),
    /// Calls a worker. A call that hasn't been sent within `within` is not sent any more and
    /// ends as [`EdgeFault::Unreachable`].
    Worker {
        /// Identifies the call.
        call: CallId,
        /// The worker.
        worker: WorkerId,
        /// Its address.
        addr: SocketAddr,
        /// The operations.
        batch: WorkerBatch,
        /// Time after which the call must not be sent any more.
        within: Span,
    },
    /// Reads the full host list, or its changes since the given revision.
    Hosts(CallId, Option<Revision>),
    /// The graceful stop is complete.
    Exit,
}

/// Collects the outputs of the node while it handles an input.
#[derive(Debug, Default)]
pub struct Outbox {
    outputs: Vec<Output>,
    /// Sequence number of the latest call.
    last_call: u64,
}

impl Outbox {
    /// Removes and returns the collected outputs, in order.
    pub fn take(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// Adds one output.
    pub(crate) fn push(&mut self, output: Output) {
        self.outputs.push(output);
    }

    /// Sends a message to a daemon, which may be this one.
    pub(crate) fn peer(&mut self, to: &DaemonId, message: PeerMessage) {
        self.push(Output::Peer(to.clone(), message));
    }

    /// Calls the store.
    pub(crate) fn store(&mut self, component: Component, request: StoreRequest) -> CallId {
        let call = self.call(component);
        self.push(Output::Store(call, request));
        call
    }

    /// Calls a worker.
    pub(crate) fn worker(
        &mut self,
        component: Component,
        to: (&WorkerId, SocketAddr),
        batch: WorkerBatch,
        within: Span,
    ) -> CallId {
        let call = self.call(component);
        self.push(Output::Worker { call, worker: to.0.clone(), addr: to.1, batch, within });
        call
    }

    /// Reads the full host list, or its changes since `after`.
    pub(crate) fn hosts(&mut self, after: Option<Revision>) -> CallId {
        let call = self.call(Component::Hosts);
        self.push(Output::Hosts(call, after));
        call
    }

    fn call(&mut self, component: Component) -> CallId {
        self.last_call += 1;
        CallId { component, seq: self.last_call }
    }
}

/// Time, settings and outputs for a component that handles an input.
#[derive(Debug)]
pub(crate) struct Context<'a> {
    /// The monotonic time.
    pub(crate) now: Moment,
    /// Wall clock, in milliseconds since the Unix epoch; only for ages that outlive the process.
    pub(crate) wall: u64,
    /// Whether work may start in the daemon's failure domain now: the domain is in service, and
    /// this daemon has confirmed that recently enough.
    pub(crate) may_start: bool,
    /// The daemon's settings.
    pub(crate) settings: &'a Settings,
    /// Collects the outputs.
    pub(crate) out: &'a mut Outbox,
}
