//! A deployment in memory: nodes, a network, a store, a host list and workers under virtual time.

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

const STEP: Span = Span(50);
const TICK_STEPS: u64 = 2;

/// Settings of `daemon` in a deployment of `domains`, each with its number of daemons.
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

/// A live worker with 8 accelerators.
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

/// What the store does to the calls that reach it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StoreMode {
    /// Answers.
    Up,
    /// Can't be reached.
    Down,
    /// Takes effect, but the answers are lost.
    Mute,
}

#[derive(Debug)]
pub(crate) struct Store {
    pub(crate) mode: StoreMode,
    /// Nodes that can't reach it.
    pub(crate) cut: Vec<usize>,
    /// Whether watches notice no change.
    pub(crate) stale: bool,
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
                let own = |r: &&Record| r.key.starts_with(&prefix) && r.key > after;
                let mut records: Vec<_> = self.records.iter().filter(own).cloned().collect();
                records.sort_by(|a, b| a.key.cmp(&b.key));
                StoreReply::Page { records, more: false }
            }
            other => panic!("the control slices don't send {other:?}"),
        }
    }

    fn put(&mut self, key: &str, value: String, expect: Expect) -> StoreReply {
        let found = self.find(key).cloned();
        let holds = match expect {
            Expect::Absent => found.is_none(),
            Expect::At(at) => found.as_ref().is_some_and(|record| record.at == at),
        };
        if !holds {
            return StoreReply::Conflict { record: found };
        }
        self.revision += 1;
        let at = Revision(self.revision);
        self.records.retain(|record| record.key != key);
        self.records.push(Record { key: key.to_string(), value, at });
        StoreReply::Done { at }
    }
}

/// Names one life of a node: its index and the number of its start.
type Life = (usize, u64);

struct Packet {
    due: Moment,
    from: usize,
    to: usize,
    message: PeerMessage,
}

/// A store call on its way there, and its answer on the way back.
struct StoreCall {
    due: Moment,
    life: Life,
    id: CallId,
    /// When the caller stops waiting for an answer.
    until: Moment,
    step: CallStep,
}

enum CallStep {
    Request(StoreRequest),
    Watch { key: String, after: Revision, until: Moment },
    Reply(Result<StoreReply, EdgeFault>),
}

pub(crate) struct Net {
    pub(crate) now: Moment,
    pub(crate) nodes: Vec<Option<Node>>,
    pub(crate) store: Store,
    pub(crate) hosts: Vec<Host>,
    /// One-way cuts, from and to.
    pub(crate) cuts: Vec<(usize, usize)>,
    /// The longest delay of a message.
    pub(crate) delay: Span,
    pub(crate) answers: Vec<(Token, OperatorAnswer)>,
    /// Number of messages that each node has sent.
    pub(crate) sent: Vec<u64>,
    /// Bytes of them in `postcard` form.
    pub(crate) bytes: Vec<u64>,
    /// All calls to workers.
    pub(crate) calls: Vec<(Moment, DaemonId, WorkerId, WorkerBatch)>,
    /// The longest delay of a store call, and of its answer.
    pub(crate) store_delay: Span,
    outs: Vec<Outbox>,
    frozen: Vec<bool>,
    starts: Vec<u64>,
    ids: Vec<DaemonId>,
    domains: Vec<(&'static str, usize)>,
    packets: Vec<Packet>,
    requests: Vec<StoreCall>,
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
                cut: Vec::new(),
                stale: false,
                records: Vec::new(),
                revision: 0,
            },
            hosts: Vec::new(),
            cuts: Vec::new(),
            delay: Span(10),
            answers: Vec::new(),
            sent: vec![0; count],
            bytes: vec![0; count],
            calls: Vec::new(),
            store_delay: Span(10),
            outs: (0..count).map(|_| Outbox::default()).collect(),
            frozen: vec![false; count],
            starts: vec![0; count],
            ids: members.into_iter().map(|member| member.id).collect(),
            domains: domains.to_vec(),
            packets: Vec::new(),
            requests: Vec::new(),
            tokens: 0,
            steps: 0,
            rng: fastrand::Rng::with_seed(seed),
        };
        for i in 0..count {
            net.start(i);
        }
        net
    }

    pub(crate) fn id(&self, i: usize) -> DaemonId {
        self.ids[i].clone()
    }

    /// Starts node `i` with an empty memory.
    pub(crate) fn start(&mut self, i: usize) {
        self.starts[i] += 1;
        let settings = settings(self.id(i).as_str(), &self.domains);
        self.nodes[i] = Some(Node::open(settings, self.now, 0, self.starts[i]));
        self.frozen[i] = false;
    }

    pub(crate) fn kill(&mut self, i: usize) {
        self.nodes[i] = None;
    }

    pub(crate) fn freeze(&mut self, i: usize, frozen: bool) {
        self.frozen[i] = frozen;
    }

    pub(crate) fn runs(&self, i: usize) -> bool {
        self.nodes[i].is_some() && !self.frozen[i]
    }

    /// Cuts the nodes of `group` off from all others, both ways.
    pub(crate) fn isolate(&mut self, group: &[usize]) {
        for a in 0..self.nodes.len() {
            for b in 0..self.nodes.len() {
                if group.contains(&a) != group.contains(&b) {
                    self.cuts.push((a, b));
                }
            }
        }
    }

    /// Tells whether a write of node `i` is on its way.
    pub(crate) fn writing(&self, i: usize) -> bool {
        let write = |step: &CallStep| matches!(step, CallStep::Request(StoreRequest::Put { .. }));
        self.requests.iter().any(|call| call.life.0 == i && write(&call.step))
    }

    pub(crate) fn node(&self, i: usize) -> &Node {
        self.nodes[i].as_ref().expect("the node runs")
    }

    pub(crate) fn members(&self, i: usize) -> &Members {
        &self.node(i).members
    }

    pub(crate) fn may_start(&self, i: usize) -> bool {
        self.node(i).may_start(self.now)
    }

    /// Hands an operator's call to node `i`.
    pub(crate) fn operator(&mut self, i: usize, call: OperatorCall) -> Token {
        self.tokens += 1;
        let token = Token(self.tokens);
        self.input(i, Input::Operator(token, call));
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
            let from = self.id(packet.from);
            self.input(packet.to, Input::Peer(from, packet.message));
        }
        for call in self.due_calls() {
            self.carry(call);
        }
        for i in 0..self.nodes.len() {
            if (self.steps + i as u64).is_multiple_of(TICK_STEPS) {
                self.input(i, Input::Tick);
            }
        }
    }

    /// What comes for a frozen node waits in its sockets.
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
            let held = matches!(call.step, CallStep::Reply(_)) && frozen[call.life.0];
            call.due <= now && !held
        };
        let (due, later) = std::mem::take(&mut self.requests).into_iter().partition(due);
        self.requests = later;
        due
    }

    fn carry(&mut self, mut call: StoreCall) {
        let (now, node) = (self.now, call.life.0);
        let cut = self.store.mode == StoreMode::Down || self.store.cut.contains(&node);
        let reply = match call.step {
            CallStep::Reply(result) => {
                if self.starts[node] == call.life.1 {
                    self.input(node, Input::Store(call.id, result));
                }
                return;
            }
            _ if cut => Err(EdgeFault::Silent),
            CallStep::Watch { ref key, after, until } => {
                let record = self.store.find(key).cloned();
                let newer = record.as_ref().is_some_and(|record| record.at > after);
                let changed = newer && !self.store.stale;
                if !changed && now < until {
                    call.due = now + STEP;
                    return self.requests.push(call);
                }
                Ok(StoreReply::Found { record })
            }
            CallStep::Request(request) => Ok(self.store.execute(request)),
        };
        let mute = self.store.mode == StoreMode::Mute;
        let reply = if mute { Err(EdgeFault::Silent) } else { reply };
        let back = now + self.store_trip();
        let (due, result) = match reply {
            Ok(reply) if back <= call.until => (back, Ok(reply)),
            _ => (call.until.max(now), Err(EdgeFault::Silent)),
        };
        call.due = due;
        call.step = CallStep::Reply(result);
        self.requests.push(call);
    }

    fn store_trip(&mut self) -> Span {
        Span(self.rng.u64(0..=self.store_delay.millis()))
    }

    fn input(&mut self, i: usize, input: Input) {
        if !self.runs(i) {
            return;
        }
        let node = self.nodes[i].as_mut().expect("the node runs");
        let before = node.version();
        node.handle(input, self.now, &mut self.outs[i]);
        assert!(node.version() >= before, "a version in force never reverts");
        for output in self.outs[i].take() {
            self.output(i, output);
        }
    }

    fn output(&mut self, i: usize, output: Output) {
        match output {
            Output::Peer(to, message) => self.post(i, &to, message),
            Output::Store(call, request) => self.call_store(i, call, request),
            Output::Hosts(call, _) => {
                let hosts = HostList::whole(self.hosts.clone());
                let up = self.store.mode == StoreMode::Up && !self.store.cut.contains(&i);
                let result = if up { Ok(hosts) } else { Err(EdgeFault::Unreachable) };
                self.input(i, Input::Hosts(call, result));
            }
            Output::Worker { call, worker, batch, .. } => {
                self.calls.push((self.now, self.id(i), worker, batch));
                self.input(i, Input::Worker(call, Ok(WorkerReply::default())));
            }
            Output::Operator(token, answer) => self.answers.push((token, answer)),
            Output::Caller(..) | Output::Exit => {}
        }
    }

    fn post(&mut self, from: usize, to: &DaemonId, message: PeerMessage) {
        self.sent[from] += 1;
        self.bytes[from] += postcard::to_stdvec(&message).expect("messages encode").len() as u64;
        let Some(to) = self.ids.iter().position(|id| id == to) else { return };
        if !self.cuts.contains(&(from, to)) {
            let due = self.now + Span(self.rng.u64(0..=self.delay.millis()));
            self.packets.push(Packet { due, from, to, message });
        }
    }

    fn call_store(&mut self, i: usize, call: CallId, request: StoreRequest) {
        let life = (i, self.starts[i]);
        if self.store.mode == StoreMode::Down || self.store.cut.contains(&i) {
            let step = CallStep::Reply(Err(EdgeFault::Unreachable));
            let due = self.now + STEP;
            return self.requests.push(StoreCall { due, life, id: call, until: due, step });
        }
        let mut until = self.now + Timing::default().store;
        let due = self.now + self.store_trip();
        let step = match request {
            StoreRequest::Watch { key, after, wait } => {
                until += wait;
                CallStep::Watch { key, after, until: self.now + wait }
            }
            request => CallStep::Request(request),
        };
        self.requests.push(StoreCall { due, life, id: call, until, step });
    }
}
