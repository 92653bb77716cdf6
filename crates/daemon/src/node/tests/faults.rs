//! Injects random faults from fixed seeds and checks one invariant: once a note was reported as
//! done, no daemon has a permit to start work on an older version.

use bulrushlink_api::{OperatorAnswer, OperatorCall};
use bulrushlink_core::{Code, NoteVersion, ReleaseNote, Service, Span};

use super::net::{Net, StoreMode};
use super::{THREE_DOMAINS, domain, note, service_note};
use crate::edge::Token;

const SEEDS: u64 = 60;
/// Steps per seed, of 50 ms each.
const STEPS: u64 = 3000;
const GRACES_S: [u64; 4] = [2, 6, 12, 25];
/// Modes to draw from; `Down` is listed twice, to be drawn as often as the others together.
const MODES: [StoreMode; 4] =
    [StoreMode::Up, StoreMode::Down, StoreMode::Down, StoreMode::ReplyLost];

struct Simulation {
    net: Net,
    rng: fastrand::Rng,
    /// The latest notes of operators, each with its latest call.
    notes: Vec<(ReleaseNote, Token)>,
    /// The highest version reported as done.
    done_version: NoteVersion,
    /// Number of answers that reported a note as done.
    done_answers: u64,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let net = Net::open(THREE_DOMAINS, seed);
        let rng = fastrand::Rng::with_seed(seed);
        Self { net, rng, notes: Vec::new(), done_version: NoteVersion::default(), done_answers: 0 }
    }

    fn random_node(&mut self) -> usize {
        self.rng.usize(0..self.net.nodes.len())
    }

    fn inject_fault(&mut self) {
        let i = self.random_node();
        match self.rng.u32(0..20) {
            0 => self.net.kill(i),
            1..=4 => self.net.start(i),
            5 => self.net.freeze(i, true),
            6 | 7 => (0..7).for_each(|i| self.net.freeze(i, false)),
            8..=11 => self.partition(),
            12 => {
                let j = self.random_node();
                self.net.cuts.push((i, j));
            }
            13 => self.net.cuts.clear(),
            14 => self.net.store.mode = self.rng.choice(MODES).unwrap(),
            15 | 16 => self.net.store.mode = StoreMode::Up,
            17 => self.net.store.cut_nodes.clear(),
            _ => {
                self.net.delay = Span(self.rng.u64(1..1500));
                self.net.store_delay = Span(self.rng.u64(1..800));
            }
        }
    }

    /// Cuts one to three daemons off from the others and, three times out of four, from the store.
    fn partition(&mut self) {
        let size = self.rng.usize(1..4);
        let group = self.rng.choose_multiple(0..7, size);
        self.net.cuts.clear();
        self.net.isolate(&group);
        self.net.store.cut_nodes = if self.rng.u32(0..4) > 0 { group } else { Vec::new() };
    }

    /// Applies a new note or, three times out of four, one of the latest notes again.
    fn apply_note(&mut self) {
        let i = self.random_node();
        if !self.net.is_running(i) {
            return;
        }
        let repeat = !self.notes.is_empty() && self.rng.u32(0..4) > 0;
        if repeat {
            let k = self.rng.usize(0..self.notes.len());
            let note = self.notes[k].0.clone();
            self.notes[k].1 = self.net.operator(i, OperatorCall::Apply(note));
            return;
        }
        let note = self.random_note(self.net.node(i).version().0);
        let token = self.net.operator(i, OperatorCall::Apply(note.clone()));
        self.notes.push((note, token));
        if self.notes.len() > 8 {
            self.notes.remove(0);
        }
    }

    fn random_note(&mut self, base: u64) -> ReleaseNote {
        let id = format!("note-{}", self.net.now);
        if base == 0 {
            let mut first = note(0, &id);
            first.added.domains =
                THREE_DOMAINS.iter().map(|(id, _)| domain(id, Service::In)).collect();
            return first;
        }
        let of = THREE_DOMAINS[self.rng.usize(0..THREE_DOMAINS.len())].0;
        let set_to = if self.rng.bool() { Service::In } else { Service::Out };
        let mut next = service_note(base, &id, of, set_to);
        next.changed.domains[0].grace = Span::from_secs(self.rng.choice(GRACES_S).unwrap());
        next
    }

    fn read_answers(&mut self) {
        for (_, answer) in std::mem::take(&mut self.net.answers) {
            if let OperatorAnswer::Apply(apply) = answer
                && apply.code == Code::Done
            {
                self.done_answers += 1;
                self.done_version = self.done_version.max(apply.version);
            }
        }
    }

    fn check_permits(&self, seed: u64) {
        for i in (0..self.net.nodes.len()).filter(|i| self.net.is_running(*i)) {
            let node = self.net.node(i);
            let spec = node.notes.state().and_then(|state| state.domain(node.settings.domain()));
            // A node starts work only while it handles an input.
            let Some(spec) = spec.filter(|_| node.last_input == self.net.now) else { continue };
            let permit = node.members.may_start(self.net.now, spec.grace);
            let (have, done) = (node.version(), self.done_version);
            assert!(
                !permit || have >= done,
                "seed {seed}: node {i} may start work on {have}, but {done} was reported as done"
            );
        }
    }
}

/// Guards against work started under an outdated note, such as in a domain that is out of service
/// already, when crashes, restarts, suspensions, partitions and store faults coincide.
#[test]
fn no_daemon_may_start_on_a_version_below_one_that_is_done() {
    let mut done_answers = 0;
    for seed in 0..SEEDS {
        let mut sim = Simulation::new(seed);
        for _ in 0..STEPS {
            if sim.rng.u32(0..50) == 0 {
                sim.inject_fault();
            }
            if sim.rng.u32(0..6) == 0 {
                sim.apply_note();
            }
            sim.net.step();
            sim.read_answers();
            sim.check_permits(seed);
        }
        done_answers += sim.done_answers;
    }
    assert!(
        done_answers > SEEDS,
        "only {done_answers} answers reported a note as done, expected more than {SEEDS}"
    );
    println!("{done_answers} answers reported a note as done");
}
