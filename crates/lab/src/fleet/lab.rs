//! The world: nodes, a store, workers and callers, with faults between them.

use bulrushlink_core::{DomainId, Moment, Span, WorkerId, WorkspaceId};
use bulrushlink_fleet::{
    Bounds, Catalog, Clock, Fault, HostShare, Input, JobId, JobSpec, Limits, Node, NodeSettings,
    Queue, RequestId, Resources, Rev, ShownState, StoreOp, Tag, WorkerCall, WorkerEntry,
    WorkerReply, WorkerState, Workspace,
};
use bulrushlink_standin::FleetWorker;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::record::{Breach, JobTrack, Record, Told};
use super::store::SimStore;

mod calls;
mod people;
mod troubles;
mod work;

/// Origin of the time of day.
const WALL_ORIGIN: u64 = 1_800_000_000_000;
/// One way to the store and to the workers, in milliseconds.
const LATENCY: u64 = 2;
/// Workers of a rack.
const RACK_WORKERS: usize = 4;
/// Silence after which the store drops a worker's entry, in milliseconds.
const ENTRY_LIFE: u64 = 4_500;
/// Time after a cancellation in which starts may still come, in milliseconds.
const CANCEL_GRACE: u64 = 3_000;

/// Chances of faults on each call, from 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FleetNoise {
    /// A call to the store is done and its answer lost.
    pub store_lost: f64,
    /// A call to the store is done seconds later and not answered.
    pub store_late: f64,
    /// A call to a worker is done and its answer lost.
    pub worker_lost: f64,
    /// A call to a worker is done seconds later and not answered.
    pub worker_late: f64,
    /// A run fails.
    pub run_fails: f64,
}

/// A fault at a moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// A daemon is killed and starts again at once.
    Kill(usize),
    /// The daemon that places is killed and starts again at once.
    KillPlacer,
    /// A daemon stops gracefully and starts again.
    Restart(usize),
    /// A daemon stands still for a time in milliseconds.
    Freeze(usize, u64),
    /// A daemon can't reach the store for a time in milliseconds.
    CutStore(usize, u64),
    /// No daemon can reach a worker for a time in milliseconds; it can't reach the store either.
    CutWorker(usize, u64),
    /// A worker crashes and starts again under the same identifier.
    Reboot(usize),
    /// A worker crashes for good.
    Remove(usize),
    /// A worker drains for a time in milliseconds and leaves.
    Drain(usize, u64),
    /// The store is down for a time in milliseconds.
    StoreDown(u64),
    /// Every lease of the store ends at once.
    LapseLeases,
    /// The store drops its history.
    Compact,
    /// A worker fails everything that it starts, or stops to.
    Failing(usize, bool),
    /// Nothing on a worker makes progress, or does again.
    Hanging(usize, bool),
    /// Work on a worker takes so many times as long.
    Slow(usize, u64),
    /// All daemons are killed and start again.
    KillAll,
}

struct Seat {
    node: Node,
    incarnation: u64,
    frozen: u64,
    held: Vec<Input>,
    cut: u64,
    gone: bool,
}

enum Event {
    Store {
        seat: usize,
        incarnation: u64,
        call: u64,
        tag: Tag,
        op: StoreOp,
        lost: bool,
    },
    StoreAnswer {
        seat: usize,
        incarnation: u64,
        call: u64,
        tag: Tag,
        result: Reply,
    },
    Worker {
        seat: usize,
        incarnation: u64,
        call: u64,
        tag: Tag,
        order: WorkerCall,
        lost: bool,
    },
    WorkerAnswer {
        seat: usize,
        incarnation: u64,
        call: u64,
        tag: Tag,
        clock: Option<u64>,
        result: Result<WorkerReply, Fault>,
    },
    Trouble(Trouble),
    Submit(usize, JobId),
    Cancel(usize, JobId),
    Leave(usize, u64),
}

type Reply = Result<bulrushlink_fleet::StoreReply, Fault>;

struct Waiting {
    until: u64,
    seat: usize,
    incarnation: u64,
    call: u64,
    tag: Tag,
}

/// The world.
pub struct FleetLab {
    now: u64,
    seats: Vec<Seat>,
    /// Daemons on weak hosts.
    weak: Vec<usize>,
    store: SimStore,
    workers: Vec<FleetWorker>,
    /// When each worker can be reached again.
    cut: Vec<u64>,
    /// When the store was last told of each worker.
    beaten: Vec<u64>,
    events: BTreeMap<(u64, u64), Event>,
    ordinal: u64,
    /// Calls without an answer.
    open: Vec<u64>,
    watches: Vec<(Waiting, String, u64)>,
    holds: Vec<(Waiting, usize, u64)>,
    requests: Vec<(RequestId, JobId, bool)>,
    down: u64,
    noise: FleetNoise,
    random: fastrand::Rng,
    record: Record,
    bounds: Bounds,
    quiet: bool,
    /// Real time that the nodes have taken.
    busy: Duration,
}

fn bounds() -> Bounds {
    Bounds {
        revoke_ms: 5_000,
        drain_ms: 2_000,
        lease_max_ms: 6_000,
        stop_ms: 900,
        gang_ms: 3_000,
        grace_s: 6,
        status_s: 120,
        remote_factor: 3.0,
        reclaim_ms: 3_400,
    }
}

fn queue(name: &str, priority: u32, attempts: u32) -> Queue {
    Queue {
        name: name.to_string(),
        host: "jobs.example".to_string(),
        prefix: format!("/{name}/"),
        endpoint: "dispatch".to_string(),
        priority,
        attempts,
        stretch: 3.0,
        target: Span(1_000),
        anonymous: false,
        advised: false,
    }
}

fn catalog() -> Catalog {
    let workspace = |name: &str, guaranteed| Workspace {
        name: name.parse::<WorkspaceId>().expect("a valid name"),
        keys: vec![format!("key-{name}")],
        guaranteed,
    };
    Catalog {
        version: 1,
        rev: Rev(1),
        queues: vec![queue("batch", 2, 4), queue("replay", 1, 3), queue("roster", 0, 4)],
        workspaces: vec![workspace("north", 24), workspace("south", 24)],
        limits: Limits {
            head: 16_384,
            body: 262_144,
            head_time: Span(3_000),
            idle_time: Span(15_000),
        },
    }
}

fn entry(number: usize) -> WorkerEntry {
    let rack = format!("r1-{}", number / RACK_WORKERS);
    WorkerEntry {
        id: format!("i-{number:04}").parse::<WorkerId>().expect("a valid name"),
        born: WALL_ORIGIN,
        endpoint: "dispatch".to_string(),
        addr: ([10, 128, (number >> 8) as u8, number as u8], 8080).into(),
        domain: ["east", "west"][number % 2].parse::<DomainId>().expect("a valid name"),
        state: WorkerState::Ready,
        capacity: Resources { cpu: 32_000, memory: 131_072, accelerators: 8 },
        rack: rack.parse().ok(),
        labels: vec!["a".to_string(), rack],
    }
}

impl FleetLab {
    /// Opens a world of daemons and workers that all start now.
    pub fn open(daemons: usize, workers: usize, seed: u64) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut lab = Self {
            now: 0,
            seats: Vec::new(),
            weak: Vec::new(),
            store: SimStore::new(catalog()),
            workers: Vec::new(),
            cut: vec![0; workers],
            beaten: vec![0; workers],
            events: BTreeMap::new(),
            ordinal: 0,
            open: Vec::new(),
            watches: Vec::new(),
            holds: Vec::new(),
            requests: Vec::new(),
            down: 0,
            noise: FleetNoise::default(),
            record: Record::default(),
            bounds: bounds(),
            quiet: true,
            busy: Duration::ZERO,
            random: random.fork(),
        };
        for number in 0..workers {
            // Clocks of workers may be 2% slow.
            let pace = random.u64(980..=1_000);
            lab.workers.push(FleetWorker::new(entry(number), 0, pace));
        }
        lab.publish();
        for seat in 0..daemons {
            let node = lab.new_node(seat, 0);
            lab.seats.push(Seat {
                node,
                incarnation: 0,
                frozen: 0,
                held: Vec::new(),
                cut: 0,
                gone: false,
            });
        }
        lab
    }

    fn new_node(&self, seat: usize, incarnation: u64) -> Node {
        Node::open(NodeSettings {
            daemon: format!("d{seat}").parse().expect("a valid name"),
            incarnation: incarnation * 1_000 + seat as u64,
            host: HostShare {
                core_share: if self.weak.contains(&seat) { 0.1 } else { 1.0 },
                core_speed: 1.0,
            },
            bounds: self.bounds,
        })
    }

    /// Puts a daemon onto a weak host, before anything runs.
    pub fn weaken(&mut self, seat: usize) {
        self.weak.push(seat);
        self.seats[seat].node = self.new_node(seat, 0);
    }

    /// Sets the chances of faults from now on.
    pub fn set_noise(&mut self, noise: FleetNoise) {
        self.noise = noise;
        self.quiet = noise == FleetNoise::default();
    }

    /// Plans a fault.
    pub fn plan(&mut self, at: u64, trouble: Trouble) {
        self.push(at, Event::Trouble(trouble));
    }

    /// Plans the submission of a job at a daemon.
    pub fn submit(&mut self, at: u64, seat: usize, id: JobId, queue: &str, spec: JobSpec) {
        self.record.jobs.push(JobTrack {
            id,
            spec,
            queue: queue.to_string(),
            told: Told::Nothing,
            open: 0,
            unwanted: false,
            cancelled: None,
            shown: None,
            done: Vec::new(),
            unnoted: Vec::new(),
            started: false,
        });
        self.push(at, Event::Submit(seat, id));
    }

    /// Plans a repeat of a submission at another daemon.
    pub fn submit_again(&mut self, at: u64, seat: usize, id: JobId) {
        self.push(at, Event::Submit(seat, id));
    }

    /// Plans the cancellation of a job at a daemon.
    pub fn cancel(&mut self, at: u64, seat: usize, id: JobId) {
        self.push(at, Event::Cancel(seat, id));
    }

    /// Changes the configuration now.
    pub fn change_catalog(&mut self, change: impl FnOnce(&mut Catalog)) {
        let mut catalog = self.store.catalog().clone();
        change(&mut catalog);
        self.store.set_catalog(catalog);
    }

    /// Takes a failure domain out of service now.
    pub fn evacuate(&mut self, domain: &str) {
        self.store.evacuated = vec![domain.parse().expect("a valid name")];
    }

    /// Returns the virtual time in milliseconds.
    pub fn now(&self) -> u64 {
        self.now
    }

    /// Returns the broken promises.
    pub fn breaches(&self) -> &[Breach] {
        &self.record.breaches
    }

    /// Returns what happened that concerns everything or names the given text.
    pub fn trace(&self, about: &str) -> Vec<String> {
        let concerns = |text: &str| text.starts_with("trouble") || text.contains(about);
        let line = |(at, text): &(u64, String)| format!("{at} {text}");
        self.record.trace.iter().filter(|(_, t)| concerns(t)).map(line).collect()
    }

    /// Returns how many runs have started.
    pub fn starts(&self) -> u64 {
        self.record.starts
    }

    /// Returns the real time that the nodes have taken so far.
    pub fn busy(&self) -> Duration {
        self.busy
    }

    /// Returns the daemon that places, if any does.
    pub fn placer(&self) -> Option<usize> {
        self.seats.iter().position(|s| s.node.is_placer())
    }

    /// Returns how many members of gangs waited for the others in vain.
    pub fn alone(&self) -> u64 {
        self.record.alone
    }

    /// Returns what the caller of a job was told.
    pub fn told(&self, id: JobId) -> Option<Told> {
        self.record.jobs.iter().find(|j| j.id == id).map(|j| j.told)
    }

    /// Tells whether a task of the job has started.
    pub fn has_started(&self, id: JobId) -> bool {
        self.record.jobs.iter().any(|j| j.id == id && j.started)
    }

    /// Returns the workers on which the runs of a job are, sorted.
    pub fn places(&self, id: JobId) -> Vec<usize> {
        let live = self.record.live.iter().filter(|(t, ..)| t.job == id);
        let mut places: Vec<usize> = live.map(|(_, _, worker)| *worker).collect();
        places.sort_unstable();
        places
    }

    /// Returns the state that the store has of a job.
    pub fn state(&mut self, id: JobId) -> Option<ShownState> {
        self.ask(id);
        self.run(1_500);
        self.record.job(id).and_then(|j| j.shown)
    }

    /// Describes what a daemon believes.
    pub fn dump(&self, seat: usize) -> String {
        self.seats[seat].node.dump(Moment(self.now))
    }

    fn push(&mut self, at: u64, event: Event) {
        self.ordinal += 1;
        self.events.insert((at.max(self.now), self.ordinal), event);
    }

    /// Lets time pass.
    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.now += 1;
            while let Some(entry) = self.events.first_entry()
                && entry.key().0 <= self.now
            {
                let event = entry.remove();
                self.happen(event);
            }
            self.work();
            if self.now >= self.down {
                self.store.keys.expire(self.now);
            }
            self.answer_waiting();
            for seat in 0..self.seats.len() {
                self.tick(seat);
            }
        }
    }

    fn tick(&mut self, seat: usize) {
        let s = &mut self.seats[seat];
        if s.gone || self.now < s.frozen {
            return;
        }
        for input in std::mem::take(&mut s.held) {
            self.give(seat, input);
        }
        if self.seats[seat].node.due(Moment(self.now)).0 <= self.now {
            self.give(seat, Input::Tick);
        }
    }

    fn give(&mut self, seat: usize, input: Input) {
        let now = self.now;
        let s = &mut self.seats[seat];
        if s.gone {
            return;
        }
        if now < s.frozen {
            s.held.push(input);
            return;
        }
        let clock = Clock { now: Moment(now), wall: WALL_ORIGIN + now };
        let incarnation = s.incarnation;
        let began = Instant::now();
        let outputs = s.node.take(clock, input);
        self.busy += began.elapsed();
        for output in outputs {
            self.carry_out(seat, incarnation, output);
        }
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Store { seat, incarnation, call, tag, op, lost } => {
                self.store_call(Waiting { until: 0, seat, incarnation, call, tag }, op, lost);
            }
            Event::StoreAnswer { seat, incarnation, call, tag, result } => {
                if self.close(call) && self.seats[seat].incarnation == incarnation {
                    self.give(seat, Input::Store(tag, result));
                }
            }
            Event::Worker { seat, incarnation, call, tag, order, lost } => {
                self.worker_call(Waiting { until: 0, seat, incarnation, call, tag }, order, lost);
            }
            Event::WorkerAnswer { seat, incarnation, call, tag, clock, result } => {
                if self.close(call) && self.seats[seat].incarnation == incarnation {
                    self.give(seat, Input::Worker(tag, clock, result));
                }
            }
            Event::Trouble(trouble) => self.trouble(trouble),
            Event::Submit(seat, id) => self.call_caller(seat, id, false),
            Event::Cancel(seat, id) => self.call_caller(seat, id, true),
            Event::Leave(worker, born) => {
                if self.workers[worker].entry.born == born {
                    self.remove(worker);
                }
            }
        }
    }
}
