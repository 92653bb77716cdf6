//! Carries the outputs of daemons to their receivers, and the results back.

use bulrushlink_api::{EdgeFault, Revision, StoreRequest, WorkerBatch};
use bulrushlink_core::{Moment, Span};
use bulrushlink_daemon::{CallId, Input, Output, PeerMessage};
use bulrushlink_standin::WorkerMode;

use super::{Event, Lab};
use crate::daemons::Unsent;
use crate::links::Party;
use crate::platform::{StoreMode, Watch};

/// Time that a process has for its last outputs before it exits.
const FLUSH_TIME: Span = Span(3);
/// Extra time that a slow store takes.
const SLOW_STORE_DELAY: Span = Span(1_800);
/// Time after which an attempt to connect is given up.
const CONNECT_TIMEOUT: Span = Span(1_000);

impl Lab {
    /// Delivers an input to a daemon and schedules its outputs.
    pub(super) fn deliver(&mut self, daemon: usize, input: Input) {
        let now = self.timeline.now();
        let incarnation = self.daemons[daemon].incarnation;
        for output in self.daemons[daemon].deliver(input, now) {
            if let Some(call) = call_id(&output) {
                self.daemons[daemon].begin_call(call);
            }
            let flush = if output == Output::Exit { FLUSH_TIME } else { Span::ZERO };
            let delay = Span(self.rng.u64(0..=1)) + flush;
            let output = Box::new(output);
            self.timeline.schedule(delay, Event::Send { daemon, incarnation, output, since: now });
        }
    }

    /// Sends an output of a daemon, or keeps it if the daemon is frozen. An output of a dead
    /// process is dropped, and a worker call that is older than its `within` fails as unreachable.
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
                    self.schedule_result(daemon, Span::ZERO, fault);
                    return;
                }
                let worker = self.worker(&worker).expect("daemons call workers of the layout");
                self.call_worker(daemon, call, worker, batch);
            }
            Output::Hosts(call, after) => self.call_hosts(daemon, call, after),
            Output::Caller(token, answer) => self.answer_caller(token, answer),
            Output::Operator(token, answer) => self.answer_operator(token, &answer),
            Output::Exit => {
                self.complete_stop(daemon);
            }
        }
    }

    /// Completes a graceful stop. Requests that still wait at the daemon are a violation.
    fn complete_stop(&mut self, daemon: usize) {
        let id = self.daemons[daemon].id().clone();
        self.add_trace(format!("{id} exits"));
        if let Some(open) = self.waiting.iter().find(|w| w.daemon == daemon) {
            self.add_violation(format!("{id} stopped while {open:?} waited"));
        }
        self.kill(daemon);
    }

    fn send_peer(&mut self, daemon: usize, to: &bulrushlink_core::DaemonId, message: PeerMessage) {
        let from = self.daemons[daemon].id().clone();
        let Some(target) = self.daemon(to) else { return };
        if let PeerMessage::Update { key, status, .. } = &message {
            self.add_trace(format!("{from} to {to}: {key} {status:?}"));
        }
        if self.links.is_cut(&Party::Daemon(from.clone()), &Party::Daemon(to.clone())) {
            return;
        }
        let copies = if self.links.draw_repeat(&mut self.rng) { 2 } else { 1 };
        for _ in 0..copies {
            let Some(delay) = self.links.delay(&mut self.rng) else { continue };
            let input = Box::new(Input::Peer(from.clone(), message.clone()));
            self.timeline
                .schedule(delay, Event::Arrive { daemon: target, incarnation: None, input });
        }
    }

    fn call_store(&mut self, daemon: usize, call: CallId, request: StoreRequest) {
        let timing = self.layout.timing;
        let wait = match &request {
            StoreRequest::Watch { wait, .. } => *wait,
            _ => Span::ZERO,
        };
        let down = self.store.mode == StoreMode::Down;
        let Some(delay) = self.start_call(daemon, &Party::Store, down, call, timing.store + wait)
        else {
            return;
        };
        let incarnation = self.daemons[daemon].incarnation;
        self.timeline.schedule(delay, Event::Store { daemon, incarnation, call, request });
    }

    fn call_worker(&mut self, daemon: usize, call: CallId, worker: usize, batch: WorkerBatch) {
        let timing = self.layout.timing;
        let dead = self.workers[worker].mode() == WorkerMode::Dead;
        let party = Party::Worker(self.workers[worker].id().clone());
        let Some(delay) = self.start_call(daemon, &party, dead, call, timing.worker) else {
            return;
        };
        let incarnation = self.daemons[daemon].incarnation;
        self.timeline.schedule(delay, Event::Worker { daemon, incarnation, call, worker, batch });
    }

    fn call_hosts(&mut self, daemon: usize, call: CallId, after: Option<Revision>) {
        let timeout = self.layout.timing.store;
        let Some(delay) = self.start_call(daemon, &Party::Hosts, false, call, timeout) else {
            return;
        };
        let incarnation = self.daemons[daemon].incarnation;
        self.timeline.schedule(delay, Event::Hosts { daemon, incarnation, call, after });
    }

    /// Draws the delay of a call to `party`, and schedules the result in case of failure. A
    /// connection that can't be made ends the call as unreachable; a lost request ends it as
    /// silent.
    fn start_call(
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
            self.schedule_result(daemon, wait, failed_result(party, call, EdgeFault::Unreachable));
            return None;
        }
        self.schedule_result(daemon, timeout, failed_result(party, call, EdgeFault::Silent));
        self.links.delay(&mut self.rng)
    }

    /// Delivers an input to a daemon, unless it is for an earlier process or is the second result
    /// of a call.
    pub(super) fn arrive(&mut self, daemon: usize, incarnation: Option<u64>, input: Input) {
        let current = self.daemons[daemon].incarnation;
        if incarnation.is_some_and(|incarnation| incarnation != current) {
            return;
        }
        let call = match &input {
            Input::Store(call, _) | Input::Worker(call, _) | Input::Hosts(call, _) => Some(*call),
            _ => None,
        };
        if call.is_some_and(|call| !self.daemons[daemon].finish_call(call)) {
            return;
        }
        self.deliver(daemon, input);
    }

    pub(super) fn schedule_result(&mut self, daemon: usize, delay: Span, input: Input) {
        let incarnation = Some(self.daemons[daemon].incarnation);
        let input = Box::new(input);
        self.timeline.schedule(delay, Event::Arrive { daemon, incarnation, input });
    }

    fn schedule_reply(&mut self, daemon: usize, incarnation: u64, extra: Span, input: Input) {
        if self.daemons[daemon].incarnation != incarnation {
            return;
        }
        if let Some(delay) = self.links.delay(&mut self.rng) {
            self.schedule_result(daemon, delay + extra, input);
        }
    }

    pub(super) fn handle_store_call(
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
            self.add_trace(format!("store: {request:?} -> {reply:?}"));
        }
        let slow = self.store.mode == StoreMode::Slow;
        if self.store.mode != StoreMode::LosesReplies && self.receives_from_store(daemon) {
            let extra = if slow { SLOW_STORE_DELAY } else { Span::ZERO };
            self.schedule_reply(daemon, incarnation, extra, Input::Store(call, Ok(reply)));
        }
    }

    /// Returns true if replies of the store reach a daemon now.
    fn receives_from_store(&self, daemon: usize) -> bool {
        let own = Party::Daemon(self.daemons[daemon].id().clone());
        !self.links.is_cut(&Party::Store, &own)
            && !self.links.are_replies_dropped(&own, &Party::Store)
    }

    /// Replies to the watches that have a change or have timed out.
    pub(super) fn answer_watches(&mut self) {
        if !matches!(self.store.mode, StoreMode::Up | StoreMode::StaleWatches) {
            return;
        }
        for (watch, reply) in self.store.take_due(self.timeline.now()) {
            if !self.receives_from_store(watch.daemon) {
                continue;
            }
            let input = Input::Store(watch.call, Ok(reply));
            self.schedule_reply(watch.daemon, watch.incarnation, Span::ZERO, input);
        }
    }

    pub(super) fn handle_worker_call(
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
            self.add_trace(format!("{own} to {id}: {:?} -> {:?}", batch.ops, reply.results));
        }
        let party = Party::Worker(self.workers[worker].id().clone());
        let caller = Party::Daemon(own);
        self.trigger_armed(daemon, batch);
        if !self.links.is_cut(&party, &caller) && !self.links.are_replies_dropped(&caller, &party) {
            self.schedule_reply(daemon, incarnation, Span::ZERO, Input::Worker(call, Ok(reply)));
        }
    }

    pub(super) fn handle_hosts_call(
        &mut self,
        daemon: usize,
        incarnation: u64,
        call: CallId,
        after: Option<Revision>,
    ) {
        let list = self.hosts.handle_after(after, self.timeline.now());
        self.schedule_reply(daemon, incarnation, Span::ZERO, Input::Hosts(call, Ok(list)));
    }
}

fn call_id(output: &Output) -> Option<CallId> {
    match output {
        Output::Store(call, _) | Output::Hosts(call, _) | Output::Worker { call, .. } => {
            Some(*call)
        }
        _ => None,
    }
}

/// Returns the failed result of a call to `party`.
fn failed_result(party: &Party, call: CallId, fault: EdgeFault) -> Input {
    match party {
        Party::Store => Input::Store(call, Err(fault)),
        Party::Hosts => Input::Hosts(call, Err(fault)),
        _ => Input::Worker(call, Err(fault)),
    }
}
