//! The actor that carries out what a node asks for.

use bulrushlink_core::Error;
use stakker::{Actor, ActorOwn, CX, StopCause, actor, after, call, fwd_to, ret_nop};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use crate::answers::Answer;
use crate::caller_http::CallerFront;
use crate::calls::Results;
use crate::daemon::Sockets;
use crate::edge::{Input, Output};
use crate::hosts_edge::HostsEdge;
use crate::listener::{Bounds, Listener};
use crate::operator_http::OperatorFront;
use crate::peer_link::{Heard, PeerLink, PeerSockets};
use crate::runtime::{NodeActor, NodeView};
use crate::settings::Settings;
use crate::store_edge::StoreEdge;
use crate::worker_edge::{WorkerCall, WorkerEdge};
use bulrushlink_telemetry::MetricsPage;

/// Largest body of an operator's request, in bytes: a release note may fill a store value.
const OPERATOR_BODY_MAX_BYTES: usize = 1024 * 1024;
/// Most operators' requests that wait for their answer.
const OPERATORS_WAITING_MAX: usize = 64;
/// Threads of each kind that read operators' requests.
const OPERATOR_READERS: usize = 2;
/// Period of looking whether all answers are written, in milliseconds.
const FLUSH_POLL_MS: u64 = 20;
/// The longest time to write the last answers, in milliseconds.
const FLUSH_MAX_MS: u64 = 5_000;
/// Time for which late requests still get their refusal, in milliseconds.
const LINGER_MS: u64 = 250;

/// All edges of a daemon.
pub(crate) struct Edges {
    settings: Settings,
    incarnation: u64,
    store: StoreEdge,
    workers: WorkerEdge,
    hosts: HostsEdge,
    callers: Listener,
    operators: Listener,
    /// Taken when the link starts.
    sockets: Option<PeerSockets>,
    /// Absent until the actor runs.
    link: Option<ActorOwn<PeerLink>>,
    /// Absent until the actor runs.
    node: Option<Actor<NodeActor>>,
    ready: Arc<AtomicBool>,
    results: Results,
}

impl Edges {
    /// Starts the threads of all edges.
    pub(crate) fn open(
        settings: &Settings,
        sockets: Sockets,
        incarnation: u64,
        results: Results,
        now: Instant,
    ) -> Result<Self, Error> {
        let ready = Arc::new(AtomicBool::new(false));
        let tokens = Arc::new(AtomicU64::new(0));
        let limits = &settings.limits;
        let callers =
            Bounds { body: limits.body, waiting: limits.waiting, readers: limits.readers };
        let operators = Bounds {
            body: OPERATOR_BODY_MAX_BYTES,
            waiting: OPERATORS_WAITING_MAX,
            readers: OPERATOR_READERS,
        };
        let caller_front = Box::new(CallerFront::open(ready.clone()));
        let metrics = MetricsPage::open();
        let operator_front = Box::new(OperatorFront::open(&settings.operator_token, metrics));
        Ok(Self {
            store: StoreEdge::spawn(settings, results.clone(), now),
            workers: WorkerEdge::spawn(settings, results.clone()),
            hosts: HostsEdge::spawn(settings, results.clone()),
            callers: Listener::spawn(
                "callers",
                sockets.callers,
                caller_front,
                callers,
                tokens.clone(),
                results.clone(),
            )?,
            operators: Listener::spawn(
                "operators",
                sockets.operators,
                operator_front,
                operators,
                tokens,
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
        let heard = fwd_to!([cx], heard() as (Heard));
        let sockets = this.sockets.take()?;
        let (settings, incarnation) = (this.settings.clone(), this.incarnation);
        let link = actor!(cx, PeerLink::init(settings, incarnation, sockets, heard), ret_nop!());
        this.link = Some(link);
        this.node = Some(node);
        Some(this)
    }

    /// Carries out one output.
    pub(crate) fn output(&mut self, cx: CX![], output: Output) {
        match output {
            Output::Caller(token, reply) => self.callers.answer(token, Answer::caller(&reply)),
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
                // The time of the decision counts, not that of the queue's turn.
                let deadline = WorkerCall::deadline(cx.now(), within);
                self.workers.call(WorkerCall { call, worker, addr, batch, deadline });
            }
            Output::Hosts(call, after) => self.hosts.call(call, after),
            Output::Exit => self.exit(cx),
        }
    }

    /// Learns of a change of the node.
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

    /// Ends at once, without answers.
    pub(crate) fn kill(&mut self, cx: CX![], _: ()) {
        self.shut(cx);
    }

    fn heard(&mut self, _: CX![], heard: Heard) {
        if let Some(node) = &self.node {
            call!([node], input(Input::Peer(heard.from, heard.message)));
        }
    }

    fn exit(&mut self, cx: CX![]) {
        log::info!(daemon:% = self.settings.daemon; "writing the last answers");
        self.ready.store(false, Ordering::SeqCst);
        self.callers.close();
        self.operators.close();
        self.flush(cx, cx.now() + Duration::from_millis(FLUSH_MAX_MS));
    }

    fn flush(&mut self, cx: CX![], until: Instant) {
        let flushed = self.callers.is_flushed() && self.operators.is_flushed();
        if flushed || cx.now() >= until {
            after!(Duration::from_millis(LINGER_MS), [cx], shut());
        } else {
            after!(Duration::from_millis(FLUSH_POLL_MS), [cx], flush(until));
        }
    }

    fn shut(&mut self, cx: CX![]) {
        self.results.close();
        self.callers.stop();
        self.operators.stop();
        cx.shutdown(StopCause::Stopped);
    }
}
