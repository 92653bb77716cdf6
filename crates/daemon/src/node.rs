//! The daemon's logic as one state machine without I/O: dispatches each input to the component it
//! belongs to, and propagates what one component learns to the others.

use bulrushlink_api::{Dump, DumpSection, OperatorAnswer, OperatorCall};
use bulrushlink_core::{
    Code, DaemonId, DesiredState, DomainId, DomainShare, Moment, NoteVersion, Service, Span,
};
use std::collections::VecDeque;

use crate::edge::{Component, Context, Input, Outbox, Output, Token};
use crate::hosts::Hosts;
use crate::intake::{DaemonView, Intake};
use crate::keeper::Keeper;
use crate::members::{Announcement, Members};
use crate::notes::Notes;
use crate::peer::{PeerMessage, Phase};
use crate::placer::Placer;
use crate::settings::Settings;

mod domains;
#[cfg(test)]
pub(crate) mod tests;

/// A longer gap between two inputs means that the process was suspended: a running process handles
/// ticks far more often.
const PAUSE_THRESHOLD: Span = Span(1500);

/// A daemon without its network I/O.
#[derive(Debug)]
pub struct Node {
    settings: Settings,
    started_at: Moment,
    /// When the last input was handled.
    last_input: Moment,
    /// Wall clock at `started_at`, in milliseconds since the Unix epoch.
    start_wall: u64,
    members: Members,
    notes: Notes,
    hosts: Hosts,
    keeper: Keeper,
    placer: Placer,
    intake: Intake,
    phase: Phase,
    /// When the graceful stop began, shifted by every later suspension of the process.
    drain_start: Option<Moment>,
    /// Version of the domain share last passed to the placer; never above the version in force.
    share_version: NoteVersion,
    /// Generation of the host list last passed to the placer.
    hosts_generation: u64,
    exit_sent: bool,
}

impl Node {
    /// Creates a node at `now`; `incarnation` must grow with every start of the same daemon, and
    /// `wall` is the wall clock at `now`, in milliseconds since the Unix epoch.
    pub fn open(settings: Settings, now: Moment, wall: u64, incarnation: u64) -> Self {
        Self {
            members: Members::open(&settings, now, incarnation),
            notes: Notes::open(&settings, now, incarnation),
            hosts: Hosts::open(&settings, now, incarnation),
            keeper: Keeper::open(&settings, incarnation),
            placer: Placer::open(&settings, now, incarnation),
            intake: Intake::open(now, incarnation),
            settings,
            started_at: now,
            last_input: now,
            start_wall: wall,
            phase: Phase::Joining,
            drain_start: None,
            share_version: NoteVersion::default(),
            hosts_generation: 0,
            exit_sent: false,
        }
    }

    /// Handles one input and appends the resulting outputs to `out`.
    ///
    /// Messages of the node to itself are handled before this returns, so that a deployment of one
    /// daemon needs no network.
    pub fn handle(&mut self, input: Input, now: Moment, out: &mut Outbox) {
        self.detect_pause(now);
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            self.dispatch(input, now, out);
            self.propagate(now, out);
            for output in out.take() {
                match output {
                    Output::Peer(to, message) if to == self.settings.daemon => {
                        inputs.push_back(Input::Peer(to, message));
                    }
                    output => out.push(output),
                }
            }
        }
    }

    /// Returns true if the load balancer may send new work here.
    pub fn is_ready(&self) -> bool {
        self.phase == Phase::Ready
    }

    /// Returns the settings that the node was created with.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the number of pending requests of callers.
    pub fn waiting_requests(&self) -> usize {
        self.intake.waiting_requests()
    }

    /// Returns the version of the release notes in force here, 0 for none.
    pub fn version(&self) -> NoteVersion {
        self.notes.version()
    }

    fn dispatch(&mut self, input: Input, now: Moment, out: &mut Outbox) {
        let mut cx = self.context_base(now).context(&self.settings, out);
        let view =
            DaemonView { state: self.notes.state(), members: &self.members, phase: self.phase };
        match input {
            Input::Caller(token, call) => self.intake.on_caller(token, call, view, &mut cx),
            Input::Operator(token, call) => self.on_operator(token, call, now, out),
            Input::Peer(from, message) => self.on_peer(&from, message, now, out),
            Input::Store(call, result) => match call.component {
                Component::Notes => {
                    let (members, hosts) = (&mut self.members, self.hosts.all());
                    self.notes.on_store(call, result, members, hosts, &mut cx);
                }
                Component::Intake => self.intake.on_store(call, result, view, &mut cx),
                _ => self.placer.on_store(call, result, &mut cx),
            },
            Input::Worker(call, result) => match call.component {
                Component::Keeper => self.keeper.on_worker(call, result, &mut self.hosts, &mut cx),
                _ => self.placer.on_worker(call, result, &mut cx),
            },
            Input::Hosts(call, result) => self.hosts.on_hosts(call, result, &mut cx),
            Input::Tick => self.tick(now, out),
            Input::Stop => self.drain(now),
        }
    }

    fn on_peer(&mut self, from: &DaemonId, message: PeerMessage, now: Moment, out: &mut Outbox) {
        let mut cx = self.context_base(now).context(&self.settings, out);
        match message {
            PeerMessage::Heartbeat(heartbeat) => {
                let version = heartbeat.version;
                self.members.on_heartbeat(from, heartbeat, &mut cx);
                self.notes.on_version(from, version, &mut cx);
            }
            PeerMessage::NoteWanted { have } => self.notes.on_note_wanted(from, have, &mut cx),
            PeerMessage::Note(head) => self.notes.on_note(head),
            PeerMessage::ReportsTaken { seq } => self.keeper.on_reports_taken(seq),
            PeerMessage::WorkerSeen { worker, leaving, busy } => {
                self.hosts.on_worker_reply(&worker, leaving, now);
                self.hosts.on_worker_busy(&worker, busy);
            }
            PeerMessage::Update { .. } => {
                let view = DaemonView {
                    state: self.notes.state(),
                    members: &self.members,
                    phase: self.phase,
                };
                self.intake.on_message(from, message, view, &mut cx);
            }
            message => {
                if let PeerMessage::Reports { worker, .. } = &message {
                    self.hosts.on_worker_seen(worker, now);
                }
                self.placer.on_message(from, message, &mut cx);
            }
        }
    }

    fn on_operator(&mut self, token: Token, call: OperatorCall, now: Moment, out: &mut Outbox) {
        let answer = match call {
            OperatorCall::Domains => OperatorAnswer::Domains(self.domains(now)),
            OperatorCall::Dump => OperatorAnswer::Dump(self.dump(now)),
            OperatorCall::Drain => {
                self.drain(now);
                let reason = "graceful stop has begun".to_string();
                OperatorAnswer::Plain { code: Code::Done, reason, field: None, retry: None }
            }
            call => {
                let mut cx = self.context_base(now).context(&self.settings, out);
                return self.notes.on_operator(token, call, self.hosts.all(), &mut cx);
            }
        };
        out.push(Output::Operator(token, answer));
    }

    fn tick(&mut self, now: Moment, out: &mut Outbox) {
        let mut cx = self.context_base(now).context(&self.settings, out);
        let domain = self.settings.domain();
        self.members.tick(&mut cx);
        self.notes.tick(&mut cx);
        self.hosts.tick(&mut cx);
        let live = self.members.live(domain, now);
        let placer = self.members.placer(domain, now);
        self.keeper.tick(&self.hosts, &live, placer.as_ref(), &mut cx);
        let view =
            DaemonView { state: self.notes.state(), members: &self.members, phase: self.phase };
        self.placer.tick(view, &mut cx);
        self.intake.tick(view, &mut cx);
    }

    /// Propagates what one component learned to the others; runs after every input.
    fn propagate(&mut self, now: Moment, out: &mut Outbox) {
        let mut cx = self.context_base(now).context(&self.settings, out);
        let domain = self.settings.domain();
        if self.phase == Phase::Joining && self.notes.state().is_some() {
            self.phase = Phase::Ready;
        }
        let is_placer = self.members.placer(domain, now).as_ref() == Some(&self.settings.daemon);
        self.placer.set_placing(is_placer && self.phase == Phase::Ready, &mut cx);
        if self.share_version < self.notes.version()
            && let Some(state) = self.notes.state()
        {
            self.share_version = state.version;
            self.placer.on_share(domain_share(state, domain), &mut cx);
        }
        self.hosts.set_receives_all(is_placer, now);
        if self.hosts_generation != self.hosts.generation() {
            self.hosts_generation = self.hosts.generation();
            self.placer.on_hosts(self.hosts.own(), &mut cx);
        }
        let announcement = Announcement {
            version: self.notes.version(),
            phase: self.phase,
            placing: self.placer.is_placer(),
            load: self.placer.load(),
        };
        self.members.announce(announcement, now);
        self.notes.answer_accepted(&self.members, &mut cx);
        self.exit_when_drained(now, out);
    }

    /// Detects that the whole process was suspended, as by SIGSTOP: its view of the deployment may
    /// be stale.
    fn detect_pause(&mut self, now: Moment) {
        let gap = now.since(self.last_input);
        self.last_input = now;
        if gap > PAUSE_THRESHOLD {
            // Input that arrived meanwhile is still unread, and the load balancer's readiness
            // checks got no answer, so the suspended time doesn't count towards the drain.
            self.drain_start = self.drain_start.map(|since| since + gap);
            self.members.on_pause(gap, now);
            self.notes.on_pause(now);
        }
    }

    fn context_base(&self, now: Moment) -> ContextBase {
        let wall = self.start_wall + now.since(self.started_at).millis();
        ContextBase { now, wall, may_start: self.may_start(now) }
    }

    fn may_start(&self, now: Moment) -> bool {
        let spec = self.notes.state().and_then(|state| state.domain(self.settings.domain()));
        spec.is_some_and(|spec| {
            spec.service == Service::In && self.members.may_start(now, spec.grace)
        })
    }

    fn drain(&mut self, now: Moment) {
        self.phase = Phase::Draining;
        self.drain_start.get_or_insert(now);
    }

    fn exit_when_drained(&mut self, now: Moment, out: &mut Outbox) {
        let Some(since) = self.drain_start else { return };
        let idle = self.intake.waiting_requests() == 0 && self.placer.has_released_jobs();
        // The load balancer needs the linger time to see that this daemon is no longer ready.
        let lingered = now.since(since) >= self.settings.timing.linger;
        let overdue = now.since(since) >= self.settings.timing.drain;
        if !self.exit_sent && (idle && lingered || overdue) {
            self.exit_sent = true;
            out.push(Output::Exit);
        }
    }

    pub(crate) fn dump(&self, now: Moment) -> Dump {
        let section = |name: &str, state| DumpSection { name: name.to_string(), state };
        Dump {
            daemon: self.settings.daemon.clone(),
            domain: self.settings.domain().clone(),
            age: now.since(self.started_at),
            sections: vec![
                section("hosts", self.hosts.dump()),
                section("intake", self.intake.dump()),
                section("keeper", self.keeper.dump(now)),
                section("members", self.members.dump(now)),
                section("notes", self.notes.dump()),
                section("placer", self.placer.dump(now)),
            ],
        }
    }
}

/// Returns the share of `domain`; a domain that the state no longer contains is out of service.
fn domain_share(state: &DesiredState, domain: &DomainId) -> DomainShare {
    state.share(domain).unwrap_or_else(|| DomainShare {
        version: state.version,
        domain: domain.clone(),
        service: Service::Out,
        workspaces: Vec::new(),
    })
}

/// The fields that every [`Context`] of one input has in common.
#[derive(Clone, Copy)]
struct ContextBase {
    now: Moment,
    wall: u64,
    may_start: bool,
}

impl ContextBase {
    fn context<'a>(self, settings: &'a Settings, out: &'a mut Outbox) -> Context<'a> {
        let Self { now, wall, may_start } = self;
        Context { now, wall, may_start, settings, out }
    }
}
