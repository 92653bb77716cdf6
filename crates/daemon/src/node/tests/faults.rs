//! Random faults from fixed seeds against one invariant: once a note was answered as done, no
//! daemon has a permit on an older version.

use bulrushlink_api::{OperatorAnswer, OperatorCall};
use bulrushlink_core::{Code, NoteVersion, ReleaseNote, Service, Span};

use super::net::{Net, StoreMode};
use super::{THREE, domain, note, service};
use crate::edge::Token;

const SEEDS: u64 = 60;
const STEPS: u64 = 3000;
const GRACES_S: [u64; 4] = [2, 6, 12, 25];
const MODES: [StoreMode; 4] = [StoreMode::Up, StoreMode::Down, StoreMode::Down, StoreMode::Mute];

struct Run {
    net: Net,
    rng: fastrand::Rng,
    /// Notes that operators wait for, each with their latest call.
    open: Vec<(ReleaseNote, Token)>,
    /// The highest version answered as done.
    done: NoteVersion,
    dones: u64,
}

impl Run {
    fn open(seed: u64) -> Self {
        let net = Net::open(THREE, seed);
        let rng = fastrand::Rng::with_seed(seed);
        Self { net, rng, open: Vec::new(), done: NoteVersion::default(), dones: 0 }
    }

    fn node(&mut self) -> usize {
        self.rng.usize(0..self.net.nodes.len())
    }

    fn fault(&mut self) {
        let i = self.node();
        match self.rng.u32(0..20) {
            0 => self.net.kill(i),
            1..=4 => self.net.start(i),
            5 => self.net.freeze(i, true),
            6 | 7 => (0..7).for_each(|i| self.net.freeze(i, false)),
            8..=11 => self.part(),
            12 => {
                let j = self.node();
                self.net.cuts.push((i, j));
            }
            13 => self.net.cuts.clear(),
            14 => self.net.store.mode = self.rng.choice(MODES).unwrap(),
            15 | 16 => self.net.store.mode = StoreMode::Up,
            17 => self.net.store.cut.clear(),
            _ => {
                self.net.delay = Span(self.rng.u64(1..1500));
                self.net.store_delay = Span(self.rng.u64(1..800));
            }
        }
    }

    /// Cuts a few daemons off from the others, and mostly from the store.
    fn part(&mut self) {
        let size = self.rng.usize(1..4);
        let group = self.rng.choose_multiple(0..7, size);
        self.net.cuts.clear();
        self.net.isolate(&group);
        self.net.store.cut = if self.rng.u32(0..4) > 0 { group } else { Vec::new() };
    }

    fn operate(&mut self) {
        let i = self.node();
        if !self.net.runs(i) {
            return;
        }
        let repeat = !self.open.is_empty() && self.rng.u32(0..4) > 0;
        if repeat {
            let k = self.rng.usize(0..self.open.len());
            let note = self.open[k].0.clone();
            self.open[k].1 = self.net.operator(i, OperatorCall::Apply(note));
            return;
        }
        let note = self.note(self.net.node(i).version().0);
        let token = self.net.operator(i, OperatorCall::Apply(note.clone()));
        self.open.push((note, token));
        if self.open.len() > 8 {
            self.open.remove(0);
        }
    }

    fn note(&mut self, base: u64) -> ReleaseNote {
        let id = format!("note-{}", self.net.now);
        if base == 0 {
            let mut first = note(0, &id);
            first.added.domains = THREE.iter().map(|(id, _)| domain(id, Service::In)).collect();
            return first;
        }
        let of = THREE[self.rng.usize(0..THREE.len())].0;
        let way = if self.rng.bool() { Service::In } else { Service::Out };
        let mut next = service(base, &id, of, way);
        next.changed.domains[0].grace = Span::from_secs(self.rng.choice(GRACES_S).unwrap());
        next
    }

    fn read_answers(&mut self) {
        for (_, answer) in std::mem::take(&mut self.net.answers) {
            if let OperatorAnswer::Apply(apply) = answer
                && apply.code == Code::Done
            {
                self.dones += 1;
                self.done = self.done.max(apply.version);
            }
        }
    }

    fn check(&self, seed: u64) {
        for i in (0..self.net.nodes.len()).filter(|i| self.net.runs(*i)) {
            let node = self.net.node(i);
            let spec = node.notes.state().and_then(|state| state.domain(node.settings.domain()));
            let Some(spec) = spec.filter(|_| node.handled == self.net.now) else { continue };
            let permit = node.members.may_start(self.net.now, spec.grace);
            let (have, done) = (node.version(), self.done);
            assert!(
                !permit || have >= done,
                "seed {seed}: {i} may start on {have}, done is {done}"
            );
        }
    }
}

#[test]
fn no_daemon_may_start_on_a_version_below_one_that_is_done() {
    let mut dones = 0;
    for seed in 0..SEEDS {
        let mut run = Run::open(seed);
        for _ in 0..STEPS {
            if run.rng.u32(0..50) == 0 {
                run.fault();
            }
            if run.rng.u32(0..6) == 0 {
                run.operate();
            }
            run.net.step();
            run.read_answers();
            run.check(seed);
        }
        dones += run.dones;
    }
    assert!(dones > SEEDS, "only {dones} notes were done; the run shows nothing");
    println!("{dones} answers said done");
}
