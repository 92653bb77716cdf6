//! The whole logic of a daemon as one state machine: it passes each input to the duty it is for,
//! and what one duty learns to the others.

use bulrushlink_api::{Dump, DumpSection, OperatorAnswer, OperatorCall};
use bulrushlink_core::{
    Code, DaemonId, DesiredState, DomainId, DomainShare, Moment, NoteVersion, Service, Span,
};
use std::collections::VecDeque;

use crate::edge::{Context, Duty, Input, Outbox, Output, Token};
use crate::hosts::Hosts;
use crate::intake::{Intake, World};
use crate::keeper::Keeper;
use crate::members::{Announcement, Members};
use crate::notes::Notes;
use crate::peer::{PeerMessage, Phase};
use crate::placer::Placer;
use crate::settings::Settings;

mod domains;
#[cfg(test)]
pub(crate) mod tests;

/// The longest time between two inputs of a process that runs; ticks come far more often.
const PAUSE_LIMIT: Span = Span(1500);

/// A daemon without its edges.
#[derive(Debug)]
pub struct Node {
    settings: Settings,
    opened: Moment,
    /// When the last input was handled.
    handled: Moment,
    /// Wall clock in milliseconds at `opened`.
    wall: u64,
    members: Members,
    notes: Notes,
    hosts: Hosts,
    keeper: Keeper,
    placer: Placer,
    intake: Intake,
    phase: Phase,
    /// Moment at which the graceful stop began.
    draining: Option<Moment>,
    /// Version that the placer has its share of; never above the version in force.
    shared: NoteVersion,
    /// Generation of the host list that the placer has.
    listed: u64,
    exited: bool,
}

impl Node {
    /// Starts a node at `now`; `incarnation` must grow with every start of the same daemon, and
    /// `wall` is the wall clock in milliseconds at `now`.
    pub fn open(settings: Settings, now: Moment, wall: u64, incarnation: u64) -> Self {
        Self {
            members: Members::open(&settings, now, incarnation),
            notes: Notes::open(&settings, now, incarnation),
            hosts: Hosts::open(&settings, now, incarnation),
            keeper: Keeper::open(&settings, incarnation),
            placer: Placer::open(&settings, now, incarnation),
            intake: Intake::open(now, incarnation),
            settings,
            opened: now,
            handled: now,
            wall,
            phase: Phase::Joining,
            draining: None,
            shared: NoteVersion::default(),
            listed: 0,
            exited: false,
        }
    }

    /// Handles one input and leaves in `out` what it asks for.
    ///
    /// Messages of the node to itself are handled before this returns, so that a deployment of one
    /// daemon needs no network.
    pub fn handle(&mut self, input: Input, now: Moment, out: &mut Outbox) {
        self.note_pause(now);
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            self.dispatch(input, now, out);
            self.settle(now, out);
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

    /// Tells whether the balancer may send new work here.
    pub fn is_ready(&self) -> bool {
        self.phase == Phase::Ready
    }

    /// Returns the settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the number of callers' requests that wait for their answer.
    pub fn held(&self) -> usize {
        self.intake.held()
    }

    /// Returns the version of the release notes in force here, 0 for none.
    pub fn version(&self) -> NoteVersion {
        self.notes.version()
    }

    fn dispatch(&mut self, input: Input, now: Moment, out: &mut Outbox) {
        let mut cx = self.clock(now).context(&self.settings, out);
        let world = World { state: self.notes.state(), members: &self.members, phase: self.phase };
        match input {
            Input::Caller(token, call) => self.intake.on_caller(token, call, world, &mut cx),
            Input::Operator(token, call) => self.on_operator(token, call, now, out),
            Input::Peer(from, message) => self.on_peer(&from, message, now, out),
            Input::Store(call, result) => match call.duty {
                Duty::Notes => {
                    let (members, hosts) = (&mut self.members, self.hosts.all());
                    self.notes.on_store(call, result, members, hosts, &mut cx);
                }
                Duty::Intake => self.intake.on_store(call, result, world, &mut cx),
                _ => self.placer.on_store(call, result, &mut cx),
            },
            Input::Worker(call, result) => match call.duty {
                Duty::Keeper => self.keeper.on_worker(call, result, &mut self.hosts, &mut cx),
                _ => self.placer.on_worker(call, result, &mut cx),
            },
            Input::Hosts(call, result) => self.hosts.on_hosts(call, result, &mut cx),
            Input::Tick => self.tick(now, out),
            Input::Stop => self.drain(now),
        }
    }

    fn on_peer(&mut self, from: &DaemonId, message: PeerMessage, now: Moment, out: &mut Outbox) {
        let mut cx = self.clock(now).context(&self.settings, out);
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
                self.hosts.on_leaving(&worker, leaving, now);
                self.hosts.on_busy(&worker, busy);
            }
            PeerMessage::Update { .. } => {
                let world =
                    World { state: self.notes.state(), members: &self.members, phase: self.phase };
                self.intake.on_message(from, message, world, &mut cx);
            }
            message => {
                if let PeerMessage::Reports { worker, .. } = &message {
                    self.hosts.on_alive(worker, now);
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
                let mut cx = self.clock(now).context(&self.settings, out);
                return self.notes.on_operator(token, call, self.hosts.all(), &mut cx);
            }
        };
        out.push(Output::Operator(token, answer));
    }

    fn tick(&mut self, now: Moment, out: &mut Outbox) {
        let mut cx = self.clock(now).context(&self.settings, out);
        let domain = self.settings.domain();
        self.members.tick(&mut cx);
        self.notes.tick(&mut cx);
        self.hosts.tick(&mut cx);
        let live = self.members.live(domain, now);
        let placer = self.members.placer(domain, now);
        self.keeper.tick(&self.hosts, &live, placer.as_ref(), &mut cx);
        let world = World { state: self.notes.state(), members: &self.members, phase: self.phase };
        self.placer.tick(world, &mut cx);
        self.intake.tick(world, &mut cx);
    }

    /// Passes on what one duty learned to the others, after every input.
    fn settle(&mut self, now: Moment, out: &mut Outbox) {
        let mut cx = self.clock(now).context(&self.settings, out);
        let domain = self.settings.domain();
        if self.phase == Phase::Joining && self.notes.state().is_some() {
            self.phase = Phase::Ready;
        }
        let chosen = self.members.placer(domain, now).as_ref() == Some(&self.settings.daemon);
        self.placer.set_active(chosen && self.phase == Phase::Ready, &mut cx);
        if self.shared < self.notes.version()
            && let Some(state) = self.notes.state()
        {
            self.shared = state.version;
            self.placer.on_share(share(state, domain), &mut cx);
        }
        self.hosts.set_hears_all(chosen, now);
        if self.listed != self.hosts.generation() {
            self.listed = self.hosts.generation();
            self.placer.on_hosts(self.hosts.own(), &mut cx);
        }
        let announcement = Announcement {
            version: self.notes.version(),
            phase: self.phase,
            placing: self.placer.is_active(),
            load: self.placer.load(),
        };
        self.members.announce(announcement, now);
        self.notes.answer_accepted(&self.members, &mut cx);
        self.exit_when_drained(now, out);
    }

    /// Notes a pause of the whole process, such as a stop signal: what it knows may be old.
    fn note_pause(&mut self, now: Moment) {
        let gap = now.since(self.handled);
        self.handled = now;
        if gap > PAUSE_LIMIT {
            // What arrived meanwhile has yet to be read, and the balancer's looks went unanswered.
            self.draining = self.draining.map(|since| since + gap);
            self.members.on_pause(gap, now);
            self.notes.on_pause(now);
        }
    }

    fn clock(&self, now: Moment) -> Clock {
        let wall = self.wall + now.since(self.opened).millis();
        Clock { now, wall, may_start: self.may_start(now) }
    }

    fn may_start(&self, now: Moment) -> bool {
        let spec = self.notes.state().and_then(|state| state.domain(self.settings.domain()));
        spec.is_some_and(|spec| {
            spec.service == Service::In && self.members.may_start(now, spec.grace)
        })
    }

    fn drain(&mut self, now: Moment) {
        self.phase = Phase::Draining;
        self.draining.get_or_insert(now);
    }

    fn exit_when_drained(&mut self, now: Moment, out: &mut Outbox) {
        let Some(since) = self.draining else { return };
        let idle = self.intake.held() == 0 && self.placer.is_idle();
        let seen = now.since(since) >= self.settings.timing.linger;
        let late = now.since(since) >= self.settings.timing.drain;
        if !self.exited && (idle && seen || late) {
            self.exited = true;
            out.push(Output::Exit);
        }
    }

    pub(crate) fn dump(&self, now: Moment) -> Dump {
        let section = |name: &str, state| DumpSection { name: name.to_string(), state };
        Dump {
            daemon: self.settings.daemon.clone(),
            domain: self.settings.domain().clone(),
            age: now.since(self.opened),
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

/// Returns the share of `domain`; one that is in the state no more is out of service.
fn share(state: &DesiredState, domain: &DomainId) -> DomainShare {
    state.share(domain).unwrap_or_else(|| DomainShare {
        version: state.version,
        domain: domain.clone(),
        service: Service::Out,
        workspaces: Vec::new(),
    })
}

/// What every [`Context`] of one input has in common.
#[derive(Clone, Copy)]
struct Clock {
    now: Moment,
    wall: u64,
    may_start: bool,
}

impl Clock {
    fn context<'a>(self, settings: &'a Settings, out: &'a mut Outbox) -> Context<'a> {
        let Self { now, wall, may_start } = self;
        Context { now, wall, may_start, settings, out }
    }
}
