//! An in-memory deployment under virtual time for tests of jobs: nodes, a network, a store and
//! workers, all with injectable faults. Tests read what ran from the workers' own record and what
//! callers were told from the answers, never from the daemons' state.

use bulrushlink_api::{
    EdgeFault, Host, HostList, JobAnswer, JobList, OperatorCall, StoreReply, StoreRequest,
    SubmitBody, WorkerBatch, WorkerReply,
};
use bulrushlink_core::{
    Attempt, DomainSpec, JobKey, Moment, ReleaseNote, Service, Span, WorkerId, WorkspaceSpec,
};
use bulrushlink_standin::{Checkpoints, Record, Store, WorkerMode, WorkerSim};

use crate::edge::{CallId, CallerAnswer, CallerCall, Input, Outbox, Output, Token};
use crate::node::Node;
use crate::node::tests::net::{host, settings};
use crate::peer::PeerMessage;
use crate::settings::Timing;

#[cfg(test)]
mod tests;

/// Virtual time per step.
const STEP: Span = Span(10);
/// Steps between two ticks of a node.
const TICK_STEPS: u64 = 5;
/// Wall clock in milliseconds at [`Moment`] 0.
const START_WALL_MS: u64 = 1_700_000_000_000;

/// What happens to a call to the store or to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fate {
    /// Carried out, and the reply arrives.
    Deliver,
    /// Not sent, and the node knows it: the connection is refused.
    Refuse,
    /// Lost on its way, so that the node's call times out.
    LoseRequest,
    /// Carried out, but the reply is lost, so that the node's call times out.
    LoseReply,
}

type StoreRule = Box<dyn FnMut(usize, &StoreRequest) -> Fate>;
type WorkerRule = Box<dyn FnMut(usize, &WorkerId, &WorkerBatch) -> Fate>;

/// A message between nodes in flight.
struct Packet {
    due: Moment,
    from: usize,
    to: usize,
    message: PeerMessage,
}

/// A call to the store or to a worker, or its result.
enum CallStep {
    Store(CallId, StoreRequest),
    StoreReply(CallId, Result<StoreReply, EdgeFault>),
    Worker { call: CallId, worker: WorkerId, batch: WorkerBatch, until: Moment },
    WorkerReply(CallId, Result<WorkerReply, EdgeFault>),
}

/// A [`CallStep`] in flight from or to a node.
struct EdgeCall {
    due: Moment,
    node: usize,
    incarnation: u64,
    step: CallStep,
}

/// One answer to a caller.
#[derive(Debug)]
pub(crate) struct ReceivedAnswer {
    pub(crate) at: Moment,
    pub(crate) token: Token,
    pub(crate) answer: JobAnswer,
}

pub(crate) struct Net {
    pub(crate) now: Moment,
    pub(crate) nodes: Vec<Option<Node>>,
    pub(crate) store: Store,
    pub(crate) workers: Vec<WorkerSim>,
    /// What the workers have run.
    pub(crate) record: Record,
    pub(crate) answers: Vec<ReceivedAnswer>,
    pub(crate) lists: Vec<(Token, JobList)>,
    /// Nodes that have asked for their process to exit.
    pub(crate) exited: Vec<usize>,
    /// Decides the fate of a store call, given the calling node and the request.
    pub(crate) store_rule: StoreRule,
    /// Decides the fate of a worker call, given the calling node, the worker and the batch.
    pub(crate) worker_rule: WorkerRule,
    /// Broken links between nodes, each in one direction, as (from, to).
    pub(crate) cuts: Vec<(usize, usize)>,
    /// Percentage of messages between nodes that are lost.
    pub(crate) loss: u8,
    /// Percentage of messages between nodes that arrive twice.
    pub(crate) repeats: u8,
    /// The longest delay of a message between nodes.
    pub(crate) delay: Span,
    /// The longest delay of a call to the store or a worker, and of its reply.
    pub(crate) call_delay: Span,
    pub(crate) rng: fastrand::Rng,
    domains: Vec<(&'static str, usize)>,
    outboxes: Vec<Outbox>,
    frozen: Vec<bool>,
    /// Number of times that each node was started.
    incarnations: Vec<u64>,
    packets: Vec<Packet>,
    edge_calls: Vec<EdgeCall>,
    tokens: u64,
    steps: u64,
}

impl Net {
    /// Opens a deployment with four workers in each domain, applies its first release note, and
    /// runs it for 12 s, in which the note comes into force on all daemons.
    pub(crate) fn open(domains: &[(&'static str, usize)], seed: u64) -> Self {
        let (checkpoints, record) = (Checkpoints::open(), Record::open());
        let mut workers = Vec::new();
        for (domain, _) in domains {
            for i in 0..4 {
                let host = host(&format!("{domain}-w{i}"), domain, &format!("{domain}-r0"));
                workers.push(WorkerSim::open(host, &checkpoints, &record, seed + i));
            }
        }
        workers.sort_by(|a, b| a.host().id.cmp(&b.host().id));
        let count = domains.iter().map(|(_, n)| n).sum();
        let mut net = Self {
            now: Moment(1_000_000),
            nodes: (0..count).map(|_| None).collect(),
            store: Store::open(),
            workers,
            record,
            answers: Vec::new(),
            lists: Vec::new(),
            exited: Vec::new(),
            store_rule: Box::new(|_, _| Fate::Deliver),
            worker_rule: Box::new(|_, _, _| Fate::Deliver),
            cuts: Vec::new(),
            loss: 0,
            repeats: 0,
            delay: Span(10),
            call_delay: Span(10),
            rng: fastrand::Rng::with_seed(seed),
            domains: domains.to_vec(),
            outboxes: (0..count).map(|_| Outbox::default()).collect(),
            frozen: vec![false; count],
            incarnations: vec![0; count],
            packets: Vec::new(),
            edge_calls: Vec::new(),
            tokens: 0,
            steps: 0,
        };
        (0..count).for_each(|i| net.start(i));
        net.run(Span::from_secs(2));
        net.deliver(0, Input::Operator(Token(0), OperatorCall::Apply(net.first_note())));
        net.run(Span::from_secs(12));
        net
    }

    fn first_note(&self) -> ReleaseNote {
        let mut note: ReleaseNote =
            serde_json::from_value(serde_json::json!({ "base": 0, "id": "first" })).unwrap();
        let domain = |(id, _): &(&str, usize)| DomainSpec {
            id: id.parse().unwrap(),
            region: "ec-sierra".parse().unwrap(),
            service: Service::In,
            grace: Span::from_secs(120),
        };
        note.added.domains = self.domains.iter().map(domain).collect();
        note.added.workspaces =
            vec![WorkspaceSpec { id: "patrol".parse().unwrap(), guarantees: vec![], queue: 5_000 }];
        note
    }

    /// Applies a note that takes a domain out of service or puts it back in.
    pub(crate) fn set_service(&mut self, id: &str, service: Service) {
        let running_version =
            |i: usize| self.nodes[i].as_ref().filter(|_| self.is_running(i)).map(|n| n.version().0);
        let base = (0..self.nodes.len()).filter_map(running_version).max().unwrap_or_default();
        let mut note = self.first_note();
        note.added.workspaces.clear();
        note.id = format!("{id}-{base}");
        note.base.0 = base;
        let mut specs = std::mem::take(&mut note.added.domains);
        specs.retain(|spec| spec.id.as_str() == id);
        specs[0].service = service;
        note.changed.domains = specs;
        let node = (0..self.nodes.len()).find(|i| self.is_running(*i)).unwrap();
        self.deliver(node, Input::Operator(Token(0), OperatorCall::Apply(note)));
    }

    /// Applies a note with a workspace that is guaranteed one gang of `tasks` whole workers.
    pub(crate) fn guarantee(&mut self, workspace: &str, tasks: u16) {
        let note = serde_json::json!({ "base": 1, "id": workspace, "added": { "workspaces": [{
            "id": workspace,
            "guarantees": [{ "shape": { "tasks": tasks, "accelerators": 8 }, "count": 1 }],
        }] } });
        let note = serde_json::from_value(note).expect("note could not be parsed");
        self.deliver(0, Input::Operator(Token(0), OperatorCall::Apply(note)));
        self.run(Span::from_secs(3));
    }

    pub(crate) fn daemon_id(&self, i: usize) -> bulrushlink_core::DaemonId {
        settings("x", &self.domains).members[i].id.clone()
    }

    pub(crate) fn start(&mut self, i: usize) {
        self.incarnations[i] += 1;
        let settings = settings(self.daemon_id(i).as_str(), &self.domains);
        let wall = START_WALL_MS + self.now.0;
        self.nodes[i] = Some(Node::open(settings, self.now, wall, self.incarnations[i]));
        self.frozen[i] = false;
    }

    pub(crate) fn kill(&mut self, i: usize) {
        self.nodes[i] = None;
    }

    /// Suspends a node, as SIGSTOP does, or resumes it.
    pub(crate) fn freeze(&mut self, i: usize, frozen: bool) {
        self.frozen[i] = frozen;
    }

    /// Breaks the links between a node and all others, or restores them.
    pub(crate) fn isolate(&mut self, i: usize, cut: bool) {
        self.cuts.retain(|(a, b)| *a != i && *b != i);
        let others = (0..self.nodes.len()).filter(|other| cut && *other != i);
        self.cuts.extend(others.flat_map(|other| [(i, other), (other, i)]));
    }

    pub(crate) fn is_running(&self, i: usize) -> bool {
        self.nodes[i].is_some() && !self.frozen[i]
    }

    /// Returns the running node that is the active placer of a domain.
    pub(crate) fn placer(&self, domain: &str) -> Option<usize> {
        (0..self.nodes.len()).find(|i| {
            let dump = || self.dump(*i, "placer");
            self.daemon_id(*i).as_str().starts_with(domain)
                && self.is_running(*i)
                && dump()["standing"] == "active"
        })
    }

    /// Returns a section of a node's dump.
    pub(crate) fn dump(&self, i: usize, section: &str) -> serde_json::Value {
        let node = self.nodes[i].as_ref().expect("node is not running");
        let dump = node.dump(self.now);
        let found = dump.sections.into_iter().find(|s| s.name == section);
        found.expect("unknown section of the dump").state
    }

    pub(crate) fn caller(&mut self, i: usize, call: CallerCall) -> Token {
        self.tokens += 1;
        let token = Token(self.tokens);
        self.deliver(i, Input::Caller(token, call));
        token
    }

    pub(crate) fn submit(&mut self, i: usize, body: &SubmitBody) -> Token {
        self.caller(i, CallerCall::Submit(body.clone()))
    }

    pub(crate) fn status(&mut self, i: usize, key: &JobKey, wait: Option<Span>) -> Token {
        let query = bulrushlink_api::StatusQuery { key: key.clone(), wait, why: false };
        self.caller(i, CallerCall::Status(query))
    }

    /// Returns the answer to a caller's request, which must not be answered more than once.
    pub(crate) fn answer(&self, token: Token) -> Option<&JobAnswer> {
        let found: Vec<_> = self.answers.iter().filter(|a| a.token == token).collect();
        assert!(found.len() <= 1, "{token:?} was answered more than once: {found:?}");
        found.first().map(|found| &found.answer)
    }

    /// Steps until a caller's request is answered; panics after `timeout`.
    pub(crate) fn wait(&mut self, token: Token, timeout: Span) -> JobAnswer {
        let end = self.now + timeout;
        while self.now < end && self.answer(token).is_none() {
            self.step();
        }
        let answer = self.answer(token).cloned();
        answer.unwrap_or_else(|| panic!("{token:?} has no answer after {timeout}"))
    }

    /// Steps until a condition is met; panics after `timeout`.
    pub(crate) fn run_until(&mut self, timeout: Span, mut condition: impl FnMut(&Self) -> bool) {
        let end = self.now + timeout;
        while !condition(self) {
            assert!(self.now < end, "condition not met within {timeout}");
            self.step();
        }
    }

    pub(crate) fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.step();
        }
    }

    pub(crate) fn attempts(&self, key: &JobKey) -> Vec<Attempt> {
        self.record.attempts(key)
    }

    pub(crate) fn step(&mut self) {
        self.now += STEP;
        self.steps += 1;
        for worker in &mut self.workers {
            worker.advance(self.now);
        }
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

    /// Takes the calls and results that are due. Unsent calls of a frozen process stay in it, and
    /// results for it wait.
    fn due_calls(&mut self) -> Vec<EdgeCall> {
        let (now, frozen) = (self.now, &self.frozen);
        let due = |call: &EdgeCall| call.due <= now && !frozen[call.node];
        let (due, later) = std::mem::take(&mut self.edge_calls).into_iter().partition(due);
        self.edge_calls = later;
        due
    }

    /// Carries out a call that is due, or passes its result to the node that made it. Drops both if
    /// the node has been killed or restarted since.
    fn advance_call(&mut self, call: EdgeCall) {
        let EdgeCall { node, incarnation, step, .. } = call;
        if self.incarnations[node] != incarnation || self.nodes[node].is_none() {
            return;
        }
        match step {
            CallStep::Store(call, request) => self.reach_store(node, call, &request),
            CallStep::StoreReply(call, result) => self.deliver(node, Input::Store(call, result)),
            CallStep::WorkerReply(call, result) => self.deliver(node, Input::Worker(call, result)),
            CallStep::Worker { call, worker, batch, until } => {
                self.reach_worker(node, call, &worker, &batch, until);
            }
        }
    }

    fn reach_store(&mut self, node: usize, call: CallId, request: &StoreRequest) {
        let fate = (self.store_rule)(node, request);
        let result = match fate {
            Fate::Deliver => Ok(self.store.handle(request, self.now)),
            Fate::Refuse => Err(EdgeFault::Unreachable),
            Fate::LoseRequest => Err(EdgeFault::Silent),
            Fate::LoseReply => {
                self.store.handle(request, self.now);
                Err(EdgeFault::Silent)
            }
        };
        let latency = match (&result, request) {
            (Err(EdgeFault::Silent), _) => Timing::default().store,
            (_, StoreRequest::Watch { .. }) => Span::from_secs(1),
            _ => STEP,
        };
        self.schedule_call(node, latency, CallStep::StoreReply(call, result));
    }

    fn reach_worker(
        &mut self,
        node: usize,
        call: CallId,
        worker: &WorkerId,
        batch: &WorkerBatch,
        until: Moment,
    ) {
        let fate = (self.worker_rule)(node, worker, batch);
        let sim = self.workers.iter_mut().find(|sim| sim.host().id == *worker);
        let sim = sim.filter(|sim| sim.mode() != WorkerMode::Dead);
        let result = match (sim, fate) {
            _ if self.now > until => Err(EdgeFault::Unreachable),
            (_, Fate::Refuse) => Err(EdgeFault::Unreachable),
            (None, _) | (_, Fate::LoseRequest) => Err(EdgeFault::Silent),
            (Some(sim), Fate::Deliver) => Ok(sim.handle(batch, self.now)),
            (Some(sim), Fate::LoseReply) => {
                sim.handle(batch, self.now);
                Err(EdgeFault::Silent)
            }
        };
        let timed_out = result == Err(EdgeFault::Silent);
        let latency = if timed_out { Timing::default().worker } else { STEP };
        self.schedule_call(node, latency, CallStep::WorkerReply(call, result));
    }

    fn schedule_call(&mut self, node: usize, latency: Span, step: CallStep) {
        let due = self.now + latency + Span(self.rng.u64(0..=self.call_delay.0));
        let incarnation = self.incarnations[node];
        self.edge_calls.push(EdgeCall { due, node, incarnation, step });
    }

    /// Asks a node to stop gracefully.
    pub(crate) fn stop(&mut self, i: usize) {
        self.deliver(i, Input::Stop);
    }

    /// Passes an input to a node and carries out its outputs; dropped unless the node is running.
    pub(crate) fn deliver(&mut self, i: usize, input: Input) {
        if !self.is_running(i) {
            return;
        }
        let node = self.nodes[i].as_mut().expect("node is not running");
        node.handle(input, self.now, &mut self.outboxes[i]);
        for output in self.outboxes[i].take() {
            self.handle_output(i, output);
        }
    }

    fn handle_output(&mut self, i: usize, output: Output) {
        match output {
            Output::Peer(to, message) => self.send_peer(i, &to, &message),
            Output::Store(call, request) => {
                self.schedule_call(i, Span::ZERO, CallStep::Store(call, request));
            }
            Output::Worker { call, worker, batch, within, .. } => {
                let until = self.now + within;
                self.schedule_call(i, Span::ZERO, CallStep::Worker { call, worker, batch, until });
            }
            Output::Hosts(call, _) => {
                let hosts: Vec<Host> = self.workers.iter().map(|w| w.host().clone()).collect();
                self.deliver(i, Input::Hosts(call, Ok(HostList::full(hosts))));
            }
            Output::Caller(token, CallerAnswer::Job(answer)) => {
                self.answers.push(ReceivedAnswer { at: self.now, token, answer });
            }
            Output::Exit => self.exited.push(i),
            Output::Caller(token, CallerAnswer::List(list)) => self.lists.push((token, list)),
            Output::Operator(..) => {}
        }
    }

    fn send_peer(&mut self, from: usize, to: &bulrushlink_core::DaemonId, message: &PeerMessage) {
        let Some(to) = (0..self.nodes.len()).find(|i| self.daemon_id(*i) == *to) else { return };
        if self.cuts.contains(&(from, to)) || self.rng.u8(0..100) < self.loss {
            return;
        }
        let copies = 1 + u8::from(self.rng.u8(0..100) < self.repeats);
        for _ in 0..copies {
            let due = self.now + Span(self.rng.u64(0..=self.delay.0));
            self.packets.push(Packet { due, from, to, message: message.clone() });
        }
    }
}

/// Returns a job of workspace `patrol` that runs for `duration`.
pub(crate) fn long_job(request: &str, tasks: u16, idempotent: bool, duration: Span) -> SubmitBody {
    let input = format!("sleep {}", duration.0);
    SubmitBody { input, ..job(request, tasks, idempotent, None) }
}

/// Returns a job of workspace `patrol` that runs for one second.
pub(crate) fn job(request: &str, tasks: u16, idempotent: bool, wait: Option<Span>) -> SubmitBody {
    let body = serde_json::json!({
        "workspace": "patrol",
        "request": request,
        "kind": "roster",
        "shape": { "tasks": tasks, "accelerators": 8 },
        "declared": 1000,
        "idempotent": idempotent,
        "wait": wait.map(Span::millis),
    });
    serde_json::from_value(body).expect("body could not be parsed")
}
