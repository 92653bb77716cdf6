//! Randomised model of `Members` with lost, delayed, duplicated and reordered messages, restarts,
//! partitions, and a store that only some daemons reach. Checked after each step: once any daemon
//! reports a version's rollout as done, no daemon may start work on an older version.

use bulrushlink_core::{DaemonId, Moment, NoteVersion, Span};

use super::super::{Announcement, Members};
use crate::edge::{Context, Outbox, Output};
use crate::node::tests::net::settings;
use crate::peer::{Heartbeat, PeerMessage, Phase};
use crate::settings::Settings;

const SEEDS: u64 = 400;
const STEPS: u64 = 4000;
const GRACE: Span = Span(3000);
/// Passed to rollouts; together with the margin that they add, this is exactly [`GRACE`].
const LONGEST_GRACE: Span = Span(1000);
const DOMAINS: &[(&str, usize)] = &[("cuenca", 2), ("norte", 2), ("sur", 1)];
const DAEMONS: usize = 5;
const INFLIGHT_MAX: usize = 60;

struct Daemon {
    settings: Settings,
    members: Members,
    /// Starts so far; the latest one is its incarnation.
    starts: u64,
    version: u64,
    /// Offset of its clock from the model's.
    clock_offset: Span,
}

/// A read of the head in flight.
struct Read {
    reader: usize,
    /// Incarnation of the reader when it sent the read.
    incarnation: u64,
    sent: Moment,
    found: u64,
}

struct Model {
    now: Moment,
    daemons: Vec<Daemon>,
    /// Sender, receiver and content of the messages in flight.
    inflight: Vec<(usize, usize, Heartbeat)>,
    reads: Vec<Read>,
    /// Version of the head in the store.
    head: u64,
    /// Whether messages pass, by sender and receiver.
    links: Vec<bool>,
    /// Whether each daemon reaches the store.
    store: Vec<bool>,
    /// Highest version reported as done so far.
    done: u64,
    /// Versions reported as done while some daemon was behind: only these exercise the check.
    done_while_behind: u64,
    rng: fastrand::Rng,
}

impl Model {
    fn open(seed: u64) -> Self {
        let ids = settings("any", DOMAINS).members;
        let daemon = |i: usize| {
            let settings = settings(ids[i].id.as_str(), DOMAINS);
            let clock_offset = Span(1_000_000 * (i as u64 + 1));
            let members = Members::open(&settings, Moment(0) + clock_offset, 1);
            Daemon { settings, members, starts: 1, version: 0, clock_offset }
        };
        Self {
            now: Moment(0),
            daemons: (0..DAEMONS).map(daemon).collect(),
            inflight: Vec::new(),
            reads: Vec::new(),
            head: 0,
            links: vec![true; DAEMONS * DAEMONS],
            store: vec![true; DAEMONS],
            done: 0,
            done_while_behind: 0,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    fn random_daemon(&mut self) -> usize {
        self.rng.usize(0..DAEMONS)
    }

    fn clock(&self, i: usize) -> Moment {
        self.now + self.daemons[i].clock_offset
    }

    fn step(&mut self) {
        match self.rng.u32(0..1000) {
            0..=9 => self.restart(),
            10..=14 => self.partition(),
            15..=49 => self.read(),
            50..=99 => self.finish_read(),
            100..=104 => self.write(),
            105..=249 => self.now += Span(self.rng.u64(1..300)),
            250..=599 => self.send(),
            _ => self.deliver(),
        }
    }

    fn restart(&mut self) {
        let (i, now) = (self.random_daemon(), self.now);
        let daemon = &mut self.daemons[i];
        daemon.starts += 1;
        daemon.version = 0;
        let (incarnation, clock_offset) = (daemon.starts, daemon.clock_offset);
        daemon.members = Members::open(&daemon.settings, now + clock_offset, incarnation);
    }

    /// Usually partitions the daemons into two groups, and lets only some of them reach the store.
    fn partition(&mut self) {
        let connected = self.rng.u32(0..3) == 0;
        let side: Vec<_> = (0..DAEMONS).map(|_| self.rng.u32(0..3) == 0).collect();
        for i in 0..DAEMONS {
            for j in 0..DAEMONS {
                let crossing = self.rng.u32(0..8) == 0;
                self.links[i * DAEMONS + j] = connected || crossing || side[i] == side[j];
            }
            self.store[i] = self.rng.u32(0..3) == 0;
        }
    }

    fn read(&mut self) {
        let reader = self.random_daemon();
        if self.store[reader] {
            let (incarnation, sent) = (self.daemons[reader].starts, self.clock(reader));
            self.reads.push(Read { reader, incarnation, sent, found: self.head });
        }
    }

    fn finish_read(&mut self) {
        if self.reads.is_empty() {
            return;
        }
        let i = self.rng.usize(0..self.reads.len());
        let read = self.reads.swap_remove(i);
        if self.daemons[read.reader].starts == read.incarnation {
            self.adopt(read.reader, read.found);
            self.daemons[read.reader].members.on_store_contact(read.sent);
        }
    }

    fn write(&mut self) {
        let i = self.random_daemon();
        if self.store[i] && self.daemons[i].version == self.head {
            self.head += 1;
            self.adopt(i, self.head);
        }
    }

    fn adopt(&mut self, i: usize, version: u64) {
        let now = self.clock(i);
        let daemon = &mut self.daemons[i];
        daemon.version = daemon.version.max(version);
        let announcement = Announcement {
            version: NoteVersion(daemon.version),
            phase: Phase::Ready,
            ..Announcement::default()
        };
        daemon.members.announce(announcement, now);
    }

    fn send(&mut self) {
        let (from, to) = (self.random_daemon(), self.random_daemon());
        if from == to || !self.links[from * DAEMONS + to] {
            return;
        }
        let index = if to < from { to } else { to - 1 };
        let ask = self.rng.bool();
        self.with(from, |members, cx| members.send(index, ask, cx));
    }

    fn deliver(&mut self) {
        if self.inflight.is_empty() {
            return;
        }
        let i = self.rng.usize(0..self.inflight.len());
        let duplicate = self.rng.u32(0..8) == 0;
        let packet = self.inflight[i].clone();
        let (from, to, beat) = packet;
        if !duplicate {
            self.inflight.swap_remove(i);
        }
        if !self.links[from * DAEMONS + to] {
            return;
        }
        let (sender, version) = (self.id(from), beat.version.0);
        self.with(to, |members, cx| members.on_heartbeat(&sender, beat, cx));
        if self.rng.bool() {
            self.adopt(to, version);
        }
    }

    fn id(&self, i: usize) -> DaemonId {
        self.daemons[i].settings.daemon.clone()
    }

    fn with(&mut self, i: usize, act: impl FnOnce(&mut Members, &mut Context<'_>)) {
        let mut out = Outbox::default();
        let now = self.clock(i);
        let Daemon { settings, members, .. } = &mut self.daemons[i];
        let mut cx = Context { now, wall: 0, may_start: true, settings, out: &mut out };
        act(members, &mut cx);
        for output in out.take() {
            let Output::Peer(to, PeerMessage::Heartbeat(beat)) = output else { continue };
            let to = (0..DAEMONS).find(|j| self.id(*j) == to).unwrap();
            self.inflight.push((i, to, beat));
        }
        if self.inflight.len() > INFLIGHT_MAX {
            let dropped = self.rng.usize(0..self.inflight.len());
            self.inflight.swap_remove(dropped);
        }
    }

    fn check(&mut self, seed: u64) {
        for i in 0..DAEMONS {
            let (now, members) = (self.clock(i), &self.daemons[i].members);
            let done = |n: &u64| members.rollout(NoteVersion(*n), LONGEST_GRACE, now).done;
            let highest = (self.done + 1..=self.daemons[i].version).rev().find(done);
            if let Some(version) = highest {
                self.done = version;
                self.done_while_behind +=
                    u64::from(self.daemons.iter().any(|d| d.version < version));
            }
        }
        for i in 0..DAEMONS {
            let permit = self.daemons[i].members.may_start(self.clock(i), GRACE);
            let (have, done) = (self.daemons[i].version, self.done);
            assert!(
                !permit || have >= done,
                "seed {seed}: daemon {i} may start on version {have}, but version {done} is done"
            );
        }
    }
}

/// Guards against starts on a version that an operator was told is no longer in force anywhere.
#[test]
fn version_done_for_one_daemon_is_done_for_all() {
    let (mut done, mut done_while_behind) = (0, 0);
    for seed in 0..SEEDS {
        let mut model = Model::open(seed);
        for _ in 0..STEPS {
            model.step();
            model.check(seed);
        }
        done += model.done;
        done_while_behind += model.done_while_behind;
    }
    println!("{done} versions done, {done_while_behind} of them while a daemon was behind");
    assert!(done_while_behind > SEEDS, "only {done_while_behind} versions exercise the check");
}
