//! What daemons ask for, carried to where it belongs, and the results back.

use bulrushlink_api::{EdgeFault, Revision, StoreRequest, WorkerBatch};
use bulrushlink_core::{Moment, Span};
use bulrushlink_daemon::{CallId, Input, Output, PeerMessage};
use bulrushlink_standin::WorkerMode;

use super::{Lab, Step};
use crate::daemons::Unsent;
use crate::links::Party;
use crate::platform::{StoreMode, Watch};

/// Time in which a process sends its last outputs before it ends.
const FLUSH: Span = Span(3);
/// Time that a slow store takes.
const SLOW_STORE: Span = Span(1_800);
/// Time after which a connection that can't be made is given up.
const CONNECT_TIMEOUT: Span = Span(1_000);

impl Lab {
    /// Hands an input to a daemon and carries its outputs on.
    pub(super) fn feed(&mut self, daemon: usize, input: Input) {
        let now = self.timeline.now();
        let incarnation = self.daemons[daemon].incarnation;
        for output in self.daemons[daemon].feed(input, now) {
            if let Some(call) = call_of(&output) {
                self.daemons[daemon].begin(call);
            }
            let flush = if output == Output::Exit { FLUSH } else { Span::ZERO };
            let delay = Span(self.rng.u64(0..=1)) + flush;
            let output = Box::new(output);
            self.timeline.after(delay, Step::Send { daemon, incarnation, output, since: now });
        }
    }

    /// Lets an output leave its process, unless the process is dead or frozen.
    pub(super) fn send(&mut self, daemon: usize, incarnation: u64, output: Output, since: Moment) {
        if self.daemons[daemon].incarnation != incarnation || !self.daemons[daemon].is_up() {
            return;
        }
        if self.daemons[daemon].frozen {
            self.daemons[daemon].unsent.push(Unsent { output, since });
            return;
        }
        match output {
            Output::Peer(to, message) => self.send_peer(daemon, &to, message),
            Output::Store(call, request) => self.call_store(daemon, call, request),
            Output::Worker { call, worker, batch, within, .. } => {
                let late = self.timeline.now().since(since) > within;
                if late {
                    let fault = Input::Worker(call, Err(EdgeFault::Unreachable));
                    self.result_after(daemon, Span::ZERO, fault);
                    return;
                }
                let worker = self.worker(&worker).expect("daemons call listed workers");
                self.call_worker(daemon, call, worker, batch);
            }
            Output::Hosts(call, after) => self.call_hosts(daemon, call, after),
            Output::Caller(token, reply) => self.answer_caller(token, reply),
            Output::Operator(token, answer) => self.answer_operator(token, &answer),
            Output::Exit => {
                self.exit(daemon);
            }
        }
    }

    /// A planned stop is complete: no request may wait any more.
    fn exit(&mut self, daemon: usize) {
        let id = self.daemons[daemon].id().clone();
        self.note(format!("{id} exits"));
        if let Some(cut) = self.waiting.iter().find(|w| w.daemon == daemon) {
            self.violate(format!("{id} stopped while {cut:?} waited"));
        }
        self.kill(daemon);
    }

    fn send_peer(&mut self, daemon: usize, to: &bulrushlink_core::DaemonId, message: PeerMessage) {
        let from = self.daemons[daemon].id().clone();
        let Some(target) = self.daemon(to) else { return };
        if let PeerMessage::Update { key, status, .. } = &message {
            self.note(format!("{from} to {to}: {key} {status:?}"));
        }
        if self.links.is_cut(&Party::Daemon(from.clone()), &Party::Daemon(to.clone())) {
            return;
        }
        let copies = if self.links.repeats(&mut self.rng) { 2 } else { 1 };
        for _ in 0..copies {
            let Some(delay) = self.links.delay(&mut self.rng) else { continue };
            let input = Box::new(Input::Peer(from.clone(), message.clone()));
            self.timeline.after(delay, Step::Arrive { daemon: target, incarnation: None, input });
        }
    }

    fn call_store(&mut self, daemon: usize, call: CallId, request: StoreRequest) {
        let timing = self.layout.timing;
        let wait = match &request {
            StoreRequest::Watch { wait, .. } => *wait,
            _ => Span::ZERO,
        };
        let down = self.store.mode == StoreMode::Down;
        let Some(delay) = self.reach(daemon, &Party::Store, down, call, timing.store + wait) else {
            return;
        };
        let incarnation = self.daemons[daemon].incarnation;
        self.timeline.after(delay, Step::Store { daemon, incarnation, call, request });
    }

    fn call_worker(&mut self, daemon: usize, call: CallId, worker: usize, batch: WorkerBatch) {
        let timing = self.layout.timing;
        let dead = self.workers[worker].mode() == WorkerMode::Dead;
        let party = Party::Worker(self.workers[worker].id().clone());
        let Some(delay) = self.reach(daemon, &party, dead, call, timing.worker) else { return };
        let incarnation = self.daemons[daemon].incarnation;
        self.timeline.after(delay, Step::Worker { daemon, incarnation, call, worker, batch });
    }

    fn call_hosts(&mut self, daemon: usize, call: CallId, after: Option<Revision>) {
        let timeout = self.layout.timing.store;
        let Some(delay) = self.reach(daemon, &Party::Hosts, false, call, timeout) else { return };
        let incarnation = self.daemons[daemon].incarnation;
        self.timeline.after(delay, Step::Hosts { daemon, incarnation, call, after });
    }

    /// Draws the way of a call to `party`. A connection that can't be made ends the call as
    /// unreachable; a request that is lost ends it as silent.
    fn reach(
        &mut self,
        daemon: usize,
        party: &Party,
        refused: bool,
        call: CallId,
        timeout: Span,
    ) -> Option<Span> {
        let own = Party::Daemon(self.daemons[daemon].id().clone());
        let cut = self.links.is_cut(&own, party) || self.links.is_cut(party, &own);
        if refused || cut {
            let wait = if refused { Span(1) } else { CONNECT_TIMEOUT.min(timeout) };
            self.result_after(daemon, wait, fault_of(party, call, EdgeFault::Unreachable));
            return None;
        }
        self.result_after(daemon, timeout, fault_of(party, call, EdgeFault::Silent));
        self.links.delay(&mut self.rng)
    }

    /// Hands an input to a daemon, unless it is the second result of a call.
    pub(super) fn arrive(&mut self, daemon: usize, incarnation: Option<u64>, input: Input) {
        let current = self.daemons[daemon].incarnation;
        if incarnation.is_some_and(|incarnation| incarnation != current) {
            return;
        }
        let call = match &input {
            Input::Store(call, _) | Input::Worker(call, _) | Input::Hosts(call, _) => Some(*call),
            _ => None,
        };
        if call.is_some_and(|call| !self.daemons[daemon].finish(call)) {
            return;
        }
        self.feed(daemon, input);
    }

    pub(super) fn result_after(&mut self, daemon: usize, delay: Span, input: Input) {
        let incarnation = Some(self.daemons[daemon].incarnation);
        let input = Box::new(input);
        self.timeline.after(delay, Step::Arrive { daemon, incarnation, input });
    }

    fn reply_after(&mut self, daemon: usize, incarnation: u64, extra: Span, input: Input) {
        if self.daemons[daemon].incarnation != incarnation {
            return;
        }
        if let Some(delay) = self.links.delay(&mut self.rng) {
            self.result_after(daemon, delay + extra, input);
        }
    }

    pub(super) fn at_store(
        &mut self,
        daemon: usize,
        incarnation: u64,
        call: CallId,
        request: &StoreRequest,
    ) {
        if matches!(self.store.mode, StoreMode::Down | StoreMode::Silent) {
            return;
        }
        let now = self.timeline.now();
        let watch = |key: &str, after, until| Watch {
            daemon,
            incarnation,
            call,
            key: key.to_string(),
            after,
            until,
        };
        let Some(reply) = self.store.handle(request, watch, now) else { return };
        if !matches!(request, StoreRequest::Watch { .. } | StoreRequest::Get { .. }) {
            self.note(format!("store: {request:?} -> {reply:?}"));
        }
        let slow = self.store.mode == StoreMode::Slow;
        if self.store.mode != StoreMode::LosesReplies && self.hears_store(daemon) {
            let extra = if slow { SLOW_STORE } else { Span::ZERO };
            self.reply_after(daemon, incarnation, extra, Input::Store(call, Ok(reply)));
        }
    }

    /// Tells whether answers of the store reach a daemon now.
    fn hears_store(&self, daemon: usize) -> bool {
        let own = Party::Daemon(self.daemons[daemon].id().clone());
        !self.links.is_cut(&Party::Store, &own) && !self.links.is_mute(&own, &Party::Store)
    }

    /// Answers the watches that have something to hear.
    pub(super) fn answer_watches(&mut self) {
        if !matches!(self.store.mode, StoreMode::Up | StoreMode::StaleWatches) {
            return;
        }
        for (watch, reply) in self.store.due(self.timeline.now()) {
            if !self.hears_store(watch.daemon) {
                continue;
            }
            let input = Input::Store(watch.call, Ok(reply));
            self.reply_after(watch.daemon, watch.incarnation, Span::ZERO, input);
        }
    }

    pub(super) fn at_worker(
        &mut self,
        daemon: usize,
        incarnation: u64,
        call: CallId,
        worker: usize,
        batch: &WorkerBatch,
    ) {
        if self.workers[worker].mode() == WorkerMode::Dead {
            return;
        }
        let now = self.timeline.now();
        let reply = self.workers[worker].handle(batch, now);
        let own = self.daemons[daemon].id().clone();
        if batch.ops.iter().any(|op| !matches!(op, bulrushlink_api::WorkerOp::RenewAll { .. })) {
            let id = self.workers[worker].id();
            self.note(format!("{own} to {id}: {:?} -> {:?}", batch.ops, reply.results));
        }
        let party = Party::Worker(self.workers[worker].id().clone());
        let caller = Party::Daemon(own);
        self.strike_armed(daemon, batch);
        if !self.links.is_cut(&party, &caller) && !self.links.is_mute(&caller, &party) {
            self.reply_after(daemon, incarnation, Span::ZERO, Input::Worker(call, Ok(reply)));
        }
    }

    pub(super) fn at_hosts(
        &mut self,
        daemon: usize,
        incarnation: u64,
        call: CallId,
        after: Option<Revision>,
    ) {
        let list = self.hosts.handle_after(after, self.timeline.now());
        self.reply_after(daemon, incarnation, Span::ZERO, Input::Hosts(call, Ok(list)));
    }
}

fn call_of(output: &Output) -> Option<CallId> {
    match output {
        Output::Store(call, _) | Output::Hosts(call, _) | Output::Worker { call, .. } => {
            Some(*call)
        }
        _ => None,
    }
}

/// Returns the failed result of a call to `party`.
fn fault_of(party: &Party, call: CallId, fault: EdgeFault) -> Input {
    match party {
        Party::Store => Input::Store(call, Err(fault)),
        Party::Hosts => Input::Hosts(call, Err(fault)),
        _ => Input::Worker(call, Err(fault)),
    }
}
