//! The actor that executes the outputs of a node.

use bulrushlink_core::Error;
use stakker::{Actor, ActorOwn, CX, StopCause, actor, after, call, fwd_to, ret_nop};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::answers::Answer;
use crate::caller_http::CallerApi;
use crate::calls::CallResults;
use crate::daemon::Sockets;
use crate::edge::{Input, Output};
use crate::hosts_edge::HostsEdge;
use crate::listener::{Bounds, Listener};
use crate::operator_http::OperatorApi;
use crate::peer_link::{PeerLink, PeerSockets, ReceivedMessage};
use crate::runtime::{NodeActor, NodeView};
use crate::settings::Settings;
use crate::store_edge::StoreEdge;
use crate::worker_edge::{WorkerCall, WorkerEdge};
use bulrushlink_telemetry::MetricsPage;

/// Largest body of an operator's request: a release note may be as large as a value of the store.
const OPERATOR_BODY_MAX_BYTES: usize = 1024 * 1024;
/// Most requests of operators that wait for their answer.
const OPERATOR_REQUESTS_MAX: usize = 64;
/// Threads that read operators' requests with small bodies, and again as many for large ones.
const OPERATOR_READERS: usize = 2;
/// Interval of checks whether all answers are written.
const FLUSH_POLL_INTERVAL_MS: u64 = 20;
/// Timeout for writing the last answers.
const FLUSH_TIMEOUT_MS: u64 = 5_000;
/// Time after the last answer for which late requests are still refused with an answer.
const REFUSE_BEFORE_EXIT_MS: u64 = 250;

/// The listeners of a daemon, its link to the peers, and its clients of the store, the workers and
/// the host list.
pub(crate) struct Edges {
    settings: Settings,
    incarnation: u64,
    store: StoreEdge,
    workers: WorkerEdge,
    hosts: HostsEdge,
    callers: Listener,
    operators: Listener,
    /// Absent once the link runs.
    sockets: Option<PeerSockets>,
    /// Absent until the actor runs.
    link: Option<ActorOwn<PeerLink>>,
    /// Absent until the actor runs.
    node: Option<Actor<NodeActor>>,
    ready: Arc<AtomicBool>,
    results: CallResults,
}

impl Edges {
    /// Starts the threads of the listeners and clients.
    pub(crate) fn open(
        settings: &Settings,
        sockets: Sockets,
        incarnation: u64,
        results: CallResults,
        now: Instant,
    ) -> Result<Self, Error> {
        let ready = Arc::new(AtomicBool::new(false));
        let last_token = Arc::new(AtomicU64::new(0));
        let limits = &settings.limits;
        let caller_bounds =
            Bounds { body: limits.body, waiting: limits.waiting, readers: limits.readers };
        let operator_bounds = Bounds {
            body: OPERATOR_BODY_MAX_BYTES,
            waiting: OPERATOR_REQUESTS_MAX,
            readers: OPERATOR_READERS,
        };
        let caller_api = Box::new(CallerApi::new(ready.clone()));
        let metrics = MetricsPage::open();
        let operator_api = Box::new(OperatorApi::new(&settings.operator_token, metrics));
        Ok(Self {
            store: StoreEdge::spawn(settings, results.clone(), now),
            workers: WorkerEdge::spawn(settings, results.clone()),
            hosts: HostsEdge::spawn(settings, results.clone()),
            callers: Listener::spawn(
                "callers",
                sockets.callers,
                caller_api,
                caller_bounds,
                last_token.clone(),
                results.clone(),
            )?,
            operators: Listener::spawn(
                "operators",
                sockets.operators,
                operator_api,
                operator_bounds,
                last_token,
                results.clone(),
            )?,
            settings: settings.clone(),
            incarnation,
            sockets: Some(sockets.peers),
            link: None,
            node: None,
            ready,
            results,
        })
    }

    /// Starts the link to the peers.
    pub(crate) fn init(cx: CX![], mut this: Self, node: Actor<NodeActor>) -> Option<Self> {
        let on_message = fwd_to!([cx], on_message() as (ReceivedMessage));
        let sockets = this.sockets.take()?;
        let (settings, incarnation) = (this.settings.clone(), this.incarnation);
        let link =
            actor!(cx, PeerLink::init(settings, incarnation, sockets, on_message), ret_nop!());
        this.link = Some(link);
        this.node = Some(node);
        Some(this)
    }

    /// Executes one output.
    pub(crate) fn output(&mut self, cx: CX![], output: Output) {
        match output {
            Output::Caller(token, answer) => self.callers.answer(token, Answer::caller(&answer)),
            Output::Operator(token, answer) => {
                self.operators.answer(token, Answer::operator(&answer));
            }
            Output::Peer(to, message) => {
                if let Some(link) = &self.link {
                    call!([link], send(to, message));
                }
            }
            Output::Store(call, request) => self.store.call(call, request, cx.now()),
            Output::Worker { call, worker, addr, batch, within } => {
                // The deadline counts from now, when the node decided, not from the time at which a
                // thread takes the call from the queue.
                let deadline = WorkerCall::deadline(cx.now(), within);
                self.workers.call(WorkerCall { call, worker, addr, batch, deadline });
            }
            Output::Hosts(call, after) => self.hosts.call(call, after),
            Output::Exit => self.exit(cx),
        }
    }

    /// Applies a change of the node's state to the readiness check and the gauges.
    pub(crate) fn view(&mut self, _: CX![], view: NodeView) {
        self.ready.store(view.ready, Ordering::SeqCst);
        let daemon = || self.settings.daemon.to_string();
        metrics::gauge!("bulrushlink_ready", "daemon" => daemon()).set(if view.ready {
            1.0
        } else {
            0.0
        });
        metrics::gauge!("bulrushlink_held_requests", "daemon" => daemon())
            .set(view.waiting_requests as f64);
        metrics::gauge!("bulrushlink_note_version", "daemon" => daemon())
            .set(view.version.0 as f64);
    }

    /// Shuts down at once, without writing the last answers.
    pub(crate) fn kill(&mut self, cx: CX![], _: ()) {
        self.shut_down(cx);
    }

    fn on_message(&mut self, _: CX![], received: ReceivedMessage) {
        if let Some(node) = &self.node {
            call!([node], input(Input::Peer(received.from, received.message)));
        }
    }

    fn exit(&mut self, cx: CX![]) {
        log::info!(daemon:% = self.settings.daemon; "writing the last answers");
        self.ready.store(false, Ordering::SeqCst);
        self.callers.close();
        self.operators.close();
        self.flush(cx, cx.now() + Duration::from_millis(FLUSH_TIMEOUT_MS));
    }

    fn flush(&mut self, cx: CX![], deadline: Instant) {
        let flushed = self.callers.is_flushed() && self.operators.is_flushed();
        if flushed || cx.now() >= deadline {
            after!(Duration::from_millis(REFUSE_BEFORE_EXIT_MS), [cx], shut_down());
        } else {
            after!(Duration::from_millis(FLUSH_POLL_INTERVAL_MS), [cx], flush(deadline));
        }
    }

    fn shut_down(&mut self, cx: CX![]) {
        self.results.close();
        self.callers.stop();
        self.operators.stop();
        cx.shutdown(StopCause::Stopped);
    }
}
