//! Members alone, under messages that are lost, late, repeated and out of order, with restarts
//! and a store that some reach: a version that is done for one is done for all.

use bulrushlink_core::{DaemonId, Moment, NoteVersion, Span};

use super::super::{Announcement, Members};
use crate::edge::{Context, Outbox, Output};
use crate::node::tests::net::settings;
use crate::peer::{Heartbeat, PeerMessage, Phase};
use crate::settings::Settings;

const SEEDS: u64 = 400;
const STEPS: u64 = 4000;
const GRACE: Span = Span(3000);
/// With the margin of the settlement this is exactly [`GRACE`].
const LAPSE: Span = Span(1000);
const DOMAINS: &[(&str, usize)] = &[("cuenca", 2), ("norte", 2), ("sur", 1)];
const COUNT: usize = 5;
const FLIGHT_MAX: usize = 60;

struct Daemon {
    settings: Settings,
    members: Members,
    starts: u64,
    version: u64,
    /// Its clock runs ahead of the others' by this.
    ahead: Span,
}

struct Read {
    reader: usize,
    start: u64,
    sent: Moment,
    found: u64,
}

struct Model {
    now: Moment,
    daemons: Vec<Daemon>,
    flight: Vec<(usize, usize, Heartbeat)>,
    reads: Vec<Read>,
    head: u64,
    /// Pairs that hear each other, and who reaches the store.
    links: Vec<bool>,
    store: Vec<bool>,
    done: u64,
    /// Highest versions done while some daemon was behind, for the run's worth.
    hard: u64,
    rng: fastrand::Rng,
}

impl Model {
    fn open(seed: u64) -> Self {
        let ids = settings("any", DOMAINS).members;
        let daemon = |i: usize| {
            let settings = settings(ids[i].id.as_str(), DOMAINS);
            let ahead = Span(1_000_000 * (i as u64 + 1));
            let members = Members::open(&settings, Moment(0) + ahead, 1);
            Daemon { settings, members, starts: 1, version: 0, ahead }
        };
        Self {
            now: Moment(0),
            daemons: (0..COUNT).map(daemon).collect(),
            flight: Vec::new(),
            reads: Vec::new(),
            head: 0,
            links: vec![true; COUNT * COUNT],
            store: vec![true; COUNT],
            done: 0,
            hard: 0,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    fn any(&mut self) -> usize {
        self.rng.usize(0..COUNT)
    }

    fn clock(&self, i: usize) -> Moment {
        self.now + self.daemons[i].ahead
    }

    fn act(&mut self) {
        match self.rng.u32(0..1000) {
            0..=9 => self.restart(),
            10..=14 => self.relink(),
            15..=49 => self.read(),
            50..=99 => self.finish_read(),
            100..=104 => self.write(),
            105..=249 => self.now += Span(self.rng.u64(1..300)),
            250..=599 => self.send(),
            _ => self.deliver(),
        }
    }

    fn restart(&mut self) {
        let (i, now) = (self.any(), self.now);
        let daemon = &mut self.daemons[i];
        daemon.starts += 1;
        daemon.version = 0;
        let (start, ahead) = (daemon.starts, daemon.ahead);
        daemon.members = Members::open(&daemon.settings, now + ahead, start);
    }

    /// Mostly parts the daemons into two groups, and lets few of them reach the store.
    fn relink(&mut self) {
        let whole = self.rng.u32(0..3) == 0;
        let side: Vec<_> = (0..COUNT).map(|_| self.rng.u32(0..3) == 0).collect();
        for i in 0..COUNT {
            for j in 0..COUNT {
                let odd = self.rng.u32(0..8) == 0;
                self.links[i * COUNT + j] = whole || odd || side[i] == side[j];
            }
            self.store[i] = self.rng.u32(0..3) == 0;
        }
    }

    fn read(&mut self) {
        let reader = self.any();
        if self.store[reader] {
            let (start, sent) = (self.daemons[reader].starts, self.clock(reader));
            self.reads.push(Read { reader, start, sent, found: self.head });
        }
    }

    fn finish_read(&mut self) {
        if self.reads.is_empty() {
            return;
        }
        let i = self.rng.usize(0..self.reads.len());
        let read = self.reads.swap_remove(i);
        if self.daemons[read.reader].starts == read.start {
            self.adopt(read.reader, read.found);
            self.daemons[read.reader].members.on_store_contact(read.sent);
        }
    }

    fn write(&mut self) {
        let i = self.any();
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
        let (from, to) = (self.any(), self.any());
        if from == to || !self.links[from * COUNT + to] {
            return;
        }
        let index = if to < from { to } else { to - 1 };
        let ask = self.rng.bool();
        self.with(from, |members, cx| members.send(index, ask, cx));
    }

    fn deliver(&mut self) {
        if self.flight.is_empty() {
            return;
        }
        let i = self.rng.usize(0..self.flight.len());
        let repeat = self.rng.u32(0..8) == 0;
        let packet = self.flight[i].clone();
        let (from, to, beat) = packet;
        if !repeat {
            self.flight.swap_remove(i);
        }
        if !self.links[from * COUNT + to] {
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
            let to = (0..COUNT).find(|j| self.id(*j) == to).unwrap();
            self.flight.push((i, to, beat));
        }
        if self.flight.len() > FLIGHT_MAX {
            let lost = self.rng.usize(0..self.flight.len());
            self.flight.swap_remove(lost);
        }
    }

    fn check(&mut self, seed: u64) {
        for i in 0..COUNT {
            let (now, members) = (self.clock(i), &self.daemons[i].members);
            let done = |n: &u64| members.settlement(NoteVersion(*n), LAPSE, now).done;
            let highest = (self.done + 1..=self.daemons[i].version).rev().find(done);
            if let Some(version) = highest {
                self.done = version;
                self.hard += u64::from(self.daemons.iter().any(|d| d.version < version));
            }
        }
        for i in 0..COUNT {
            let permit = self.daemons[i].members.permit(self.clock(i), GRACE);
            let (have, done) = (self.daemons[i].version, self.done);
            assert!(
                !permit || have >= done,
                "seed {seed}: {i} may start on {have}, done is {done}"
            );
        }
    }
}

#[test]
fn what_is_done_for_one_daemon_is_done_for_all() {
    let (mut done, mut hard) = (0, 0);
    for seed in 0..SEEDS {
        let mut model = Model::open(seed);
        for _ in 0..STEPS {
            model.act();
            model.check(seed);
        }
        done += model.done;
        hard += model.hard;
    }
    println!("{done} versions, {hard} done while a daemon was behind");
    assert!(hard > SEEDS, "only {hard}: the run shows nothing");
}
