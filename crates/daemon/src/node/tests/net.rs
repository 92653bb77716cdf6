//! An in-memory deployment under virtual time: nodes, their network, a store, a host list and
//! workers. Tests can kill or freeze nodes, break links, and make the store fail.

use bulrushlink_api::{
    EdgeFault, Expect, Host, HostList, OperatorAnswer, OperatorCall, Record, Revision, StoreReply,
    StoreRequest, WorkerBatch, WorkerReply,
};
use bulrushlink_core::{DaemonId, Moment, Span, WorkerId};

use crate::edge::{CallId, Input, Outbox, Output, Token};
use crate::members::Members;
use crate::node::Node;
use crate::peer::PeerMessage;
use crate::settings::{Limits, Member, Settings, Timing};

/// Virtual time per step.
const STEP: Span = Span(50);
/// Steps between two ticks of a node.
const TICK_STEPS: u64 = 2;

/// Returns the settings of `daemon` in a deployment of `domains`, each with its number of daemons.
pub(crate) fn settings(daemon: &str, domains: &[(&str, usize)]) -> Settings {
    let mut members = Vec::new();
    for (domain, count) in domains {
        for i in 0..*count {
            let id = format!("{domain}-{i}").parse().unwrap();
            let addr = "127.0.0.1:1".parse().unwrap();
            members.push(Member { id, domain: domain.parse().unwrap(), addr });
        }
    }
    members.sort_by(|a, b| a.id.cmp(&b.id));
    Settings {
        daemon: daemon.parse().unwrap(),
        callers: "127.0.0.1:1".parse().unwrap(),
        operators: "127.0.0.1:2".parse().unwrap(),
        store: "http://127.0.0.1:3".to_string(),
        hosts: "http://127.0.0.1:4".to_string(),
        operator_token: "token".to_string(),
        peer_key: "key".to_string(),
        members,
        limits: Limits::default(),
        timing: Timing::default(),
        log: "info".to_string(),
    }
}

/// Returns a host list entry of a worker that is not leaving and has 8 accelerators.
pub(crate) fn host(id: &str, domain: &str, rack: &str) -> Host {
    Host {
        id: id.parse().unwrap(),
        region: "ec-sierra".parse().unwrap(),
        domain: domain.parse().unwrap(),
        rack: rack.parse().unwrap(),
        addr: "127.0.0.1:5".parse().unwrap(),
        accelerators: 8,
        slots: 8,
        leaving: false,
    }
}

/// How the store handles calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StoreMode {
    /// Calls are carried out and get a reply.
    Up,
    /// No call reaches the store.
    Down,
    /// Calls are carried out, but the replies are lost.
    ReplyLost,
}

#[derive(Debug)]
pub(crate) struct Store {
    pub(crate) mode: StoreMode,
    /// Nodes that can't reach the store.
    pub(crate) cut_nodes: Vec<usize>,
    /// Whether watches miss every change.
    pub(crate) stale_watches: bool,
    pub(crate) records: Vec<Record>,
    revision: u64,
}

impl Store {
    fn find(&self, key: &str) -> Option<&Record> {
        self.records.iter().find(|record| record.key == key)
    }

    fn execute(&mut self, request: StoreRequest) -> StoreReply {
        match request {
            StoreRequest::Get { key } => StoreReply::Found { record: self.find(&key).cloned() },
            StoreRequest::Put { key, value, expect, .. } => self.put(&key, value, expect),
            StoreRequest::List { prefix, after, .. } => {
                let matches = |r: &&Record| r.key.starts_with(&prefix) && r.key > after;
                let mut records: Vec<_> = self.records.iter().filter(matches).cloned().collect();
                records.sort_by(|a, b| a.key.cmp(&b.key));
                StoreReply::Page { records, more: false }
            }
            other => panic!("the simulated store does not implement {other:?}"),
        }
    }

    fn put(&mut self, key: &str, value: String, expect: Expect) -> StoreReply {
        let found = self.find(key).cloned();
        let as_expected = match expect {
            Expect::Absent => found.is_none(),
            Expect::At(at) => found.as_ref().is_some_and(|record| record.at == at),
        };
        if !as_expected {
            return StoreReply::Conflict { record: found };
        }
        self.revision += 1;
        let at = Revision(self.revision);
        self.records.retain(|record| record.key != key);
        self.records.push(Record { key: key.to_string(), value, at });
        StoreReply::Done { at }
    }
}

/// Identifies one incarnation of a node: the node's index and the ordinal of its start.
type Incarnation = (usize, u64);

struct Packet {
    due: Moment,
    from: usize,
    to: usize,
    message: PeerMessage,
}

/// A store call in flight, or its reply on the way back.
struct StoreCall {
    due: Moment,
    incarnation: Incarnation,
    id: CallId,
    /// When the node's call times out.
    timeout_at: Moment,
    step: CallStep,
}

enum CallStep {
    Request(StoreRequest),
    Watch { key: String, after: Revision, end: Moment },
    Reply(Result<StoreReply, EdgeFault>),
}

pub(crate) struct Net {
    pub(crate) now: Moment,
    pub(crate) nodes: Vec<Option<Node>>,
    pub(crate) store: Store,
    pub(crate) hosts: Vec<Host>,
    /// Broken network links, each in one direction, as (from, to).
    pub(crate) cuts: Vec<(usize, usize)>,
    /// The longest delay of a message between nodes.
    pub(crate) delay: Span,
    pub(crate) answers: Vec<(Token, OperatorAnswer)>,
    /// Number of messages that each node has sent.
    pub(crate) sent: Vec<u64>,
    /// Size in bytes of these messages, encoded with `postcard`.
    pub(crate) bytes: Vec<u64>,
    /// All calls to workers: when, from which daemon, to which worker, and the batch.
    pub(crate) worker_calls: Vec<(Moment, DaemonId, WorkerId, WorkerBatch)>,
    /// The longest delay of a store call, and of its reply.
    pub(crate) store_delay: Span,
    outboxes: Vec<Outbox>,
    frozen: Vec<bool>,
    /// Number of times that each node was started.
    incarnations: Vec<u64>,
    ids: Vec<DaemonId>,
    domains: Vec<(&'static str, usize)>,
    packets: Vec<Packet>,
    store_calls: Vec<StoreCall>,
    tokens: u64,
    steps: u64,
    rng: fastrand::Rng,
}

impl Net {
    pub(crate) fn open(domains: &[(&'static str, usize)], seed: u64) -> Self {
        let count = domains.iter().map(|(_, n)| n).sum();
        let members = settings("any", domains).members;
        let mut net = Self {
            now: Moment(1_000_000),
            nodes: (0..count).map(|_| None).collect(),
            store: Store {
                mode: StoreMode::Up,
                cut_nodes: Vec::new(),
                stale_watches: false,
                records: Vec::new(),
                revision: 0,
            },
            hosts: Vec::new(),
            cuts: Vec::new(),
            delay: Span(10),
            answers: Vec::new(),
            sent: vec![0; count],
            bytes: vec![0; count],
            worker_calls: Vec::new(),
            store_delay: Span(10),
            outboxes: (0..count).map(|_| Outbox::default()).collect(),
            frozen: vec![false; count],
            incarnations: vec![0; count],
            ids: members.into_iter().map(|member| member.id).collect(),
            domains: domains.to_vec(),
            packets: Vec::new(),
            store_calls: Vec::new(),
            tokens: 0,
            steps: 0,
            rng: fastrand::Rng::with_seed(seed),
        };
        for i in 0..count {
            net.start(i);
        }
        net
    }

    pub(crate) fn daemon_id(&self, i: usize) -> DaemonId {
        self.ids[i].clone()
    }

    /// Starts node `i` afresh, with no state from before.
    pub(crate) fn start(&mut self, i: usize) {
        self.incarnations[i] += 1;
        let settings = settings(self.daemon_id(i).as_str(), &self.domains);
        self.nodes[i] = Some(Node::open(settings, self.now, 0, self.incarnations[i]));
        self.frozen[i] = false;
    }

    pub(crate) fn kill(&mut self, i: usize) {
        self.nodes[i] = None;
    }

    /// Suspends node `i`, as SIGSTOP does, or resumes it.
    pub(crate) fn freeze(&mut self, i: usize, frozen: bool) {
        self.frozen[i] = frozen;
    }

    pub(crate) fn is_running(&self, i: usize) -> bool {
        self.nodes[i].is_some() && !self.frozen[i]
    }

    /// Breaks the links between the nodes of `group` and all others, in both directions.
    pub(crate) fn isolate(&mut self, group: &[usize]) {
        for a in 0..self.nodes.len() {
            for b in 0..self.nodes.len() {
                if group.contains(&a) != group.contains(&b) {
                    self.cuts.push((a, b));
                }
            }
        }
    }

    /// Returns true if a store write of node `i` is in flight.
    pub(crate) fn is_writing(&self, i: usize) -> bool {
        let write = |step: &CallStep| matches!(step, CallStep::Request(StoreRequest::Put { .. }));
        self.store_calls.iter().any(|call| call.incarnation.0 == i && write(&call.step))
    }

    pub(crate) fn node(&self, i: usize) -> &Node {
        self.nodes[i].as_ref().expect("node is not running")
    }

    pub(crate) fn members(&self, i: usize) -> &Members {
        &self.node(i).members
    }

    pub(crate) fn may_start(&self, i: usize) -> bool {
        self.node(i).may_start(self.now)
    }

    /// Passes an operator's call to node `i`.
    pub(crate) fn operator(&mut self, i: usize, call: OperatorCall) -> Token {
        self.tokens += 1;
        let token = Token(self.tokens);
        self.deliver(i, Input::Operator(token, call));
        token
    }

    pub(crate) fn answer(&self, token: Token) -> Option<&OperatorAnswer> {
        self.answers.iter().find(|(t, _)| *t == token).map(|(_, answer)| answer)
    }

    pub(crate) fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    pub(crate) fn step(&mut self) {
        self.now += STEP;
        self.steps += 1;
        for packet in self.due_packets() {
            let from = self.daemon_id(packet.from);
            self.deliver(packet.to, Input::Peer(from, packet.message));
        }
        for call in self.due_calls() {
            self.advance_call(call);
        }
        for i in 0..self.nodes.len() {
            if (self.steps + i as u64).is_multiple_of(TICK_STEPS) {
                self.deliver(i, Input::Tick);
            }
        }
    }

    /// Takes the packets that are due; those for a frozen node wait, as in its socket buffers.
    fn due_packets(&mut self) -> Vec<Packet> {
        let (now, frozen) = (self.now, &self.frozen);
        let due = |packet: &Packet| packet.due <= now && !frozen[packet.to];
        let (due, later) = std::mem::take(&mut self.packets).into_iter().partition(due);
        self.packets = later;
        due
    }

    fn due_calls(&mut self) -> Vec<StoreCall> {
        let (now, frozen) = (self.now, &self.frozen);
        let due = |call: &StoreCall| {
            let blocked = matches!(call.step, CallStep::Reply(_)) && frozen[call.incarnation.0];
            call.due <= now && !blocked
        };
        let (due, later) = std::mem::take(&mut self.store_calls).into_iter().partition(due);
        self.store_calls = later;
        due
    }

    /// Carries out a call that has reached the store, or passes its reply to the node.
    fn advance_call(&mut self, mut call: StoreCall) {
        let (now, node) = (self.now, call.incarnation.0);
        let cut = self.store.mode == StoreMode::Down || self.store.cut_nodes.contains(&node);
        let reply = match call.step {
            CallStep::Reply(result) => {
                if self.incarnations[node] == call.incarnation.1 {
                    self.deliver(node, Input::Store(call.id, result));
                }
                return;
            }
            _ if cut => Err(EdgeFault::Silent),
            CallStep::Watch { ref key, after, end } => {
                let record = self.store.find(key).cloned();
                let newer = record.as_ref().is_some_and(|record| record.at > after);
                let changed = newer && !self.store.stale_watches;
                if !changed && now < end {
                    call.due = now + STEP;
                    return self.store_calls.push(call);
                }
                Ok(StoreReply::Found { record })
            }
            CallStep::Request(request) => Ok(self.store.execute(request)),
        };
        let reply_lost = self.store.mode == StoreMode::ReplyLost;
        let reply = if reply_lost { Err(EdgeFault::Silent) } else { reply };
        let arrival = now + self.random_store_delay();
        let (due, result) = match reply {
            Ok(reply) if arrival <= call.timeout_at => (arrival, Ok(reply)),
            _ => (call.timeout_at.max(now), Err(EdgeFault::Silent)),
        };
        call.due = due;
        call.step = CallStep::Reply(result);
        self.store_calls.push(call);
    }

    fn random_store_delay(&mut self) -> Span {
        Span(self.rng.u64(0..=self.store_delay.millis()))
    }

    fn deliver(&mut self, i: usize, input: Input) {
        if !self.is_running(i) {
            return;
        }
        let node = self.nodes[i].as_mut().expect("node is not running");
        let before = node.version();
        node.handle(input, self.now, &mut self.outboxes[i]);
        assert!(node.version() >= before, "the version in force must never decrease");
        for output in self.outboxes[i].take() {
            self.handle_output(i, output);
        }
    }

    fn handle_output(&mut self, i: usize, output: Output) {
        match output {
            Output::Peer(to, message) => self.send_peer(i, &to, message),
            Output::Store(call, request) => self.call_store(i, call, request),
            Output::Hosts(call, _) => {
                let hosts = HostList::full(self.hosts.clone());
                let up = self.store.mode == StoreMode::Up && !self.store.cut_nodes.contains(&i);
                let result = if up { Ok(hosts) } else { Err(EdgeFault::Unreachable) };
                self.deliver(i, Input::Hosts(call, result));
            }
            Output::Worker { call, worker, batch, .. } => {
                self.worker_calls.push((self.now, self.daemon_id(i), worker, batch));
                self.deliver(i, Input::Worker(call, Ok(WorkerReply::default())));
            }
            Output::Operator(token, answer) => self.answers.push((token, answer)),
            Output::Caller(..) | Output::Exit => {}
        }
    }

    fn send_peer(&mut self, from: usize, to: &DaemonId, message: PeerMessage) {
        self.sent[from] += 1;
        self.bytes[from] +=
            postcard::to_stdvec(&message).expect("peer message could not be encoded").len() as u64;
        let Some(to) = self.ids.iter().position(|id| id == to) else { return };
        if !self.cuts.contains(&(from, to)) {
            let due = self.now + Span(self.rng.u64(0..=self.delay.millis()));
            self.packets.push(Packet { due, from, to, message });
        }
    }

    fn call_store(&mut self, i: usize, call: CallId, request: StoreRequest) {
        let incarnation = (i, self.incarnations[i]);
        if self.store.mode == StoreMode::Down || self.store.cut_nodes.contains(&i) {
            let step = CallStep::Reply(Err(EdgeFault::Unreachable));
            let due = self.now + STEP;
            return self.store_calls.push(StoreCall {
                due,
                incarnation,
                id: call,
                timeout_at: due,
                step,
            });
        }
        let mut timeout_at = self.now + Timing::default().store;
        let due = self.now + self.random_store_delay();
        let step = match request {
            StoreRequest::Watch { key, after, wait } => {
                timeout_at += wait;
                CallStep::Watch { key, after, end: self.now + wait }
            }
            request => CallStep::Request(request),
        };
        self.store_calls.push(StoreCall { due, incarnation, id: call, timeout_at, step });
    }
}
