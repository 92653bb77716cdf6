//! The simulation: nodes, a store, workers and callers, with faults on the calls between them.

use bulrushlink_core::{DomainId, Moment, Span, WorkerId, WorkspaceId};
use bulrushlink_fleet::{
    Allotment, Bounds, Catalog, Clock, Fault, Features, HostShare, Input, JobId, Limits, Node,
    NodeSettings, Output, Queue, RequestId, Resources, Rev, Run, ShownState, StoreOp, Tag, TaskId,
    WorkerCall, WorkerEntry, WorkerReply, WorkerState, Workspace,
};
use bulrushlink_standin::{CeilingLog, FleetWorker};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::record::{Breach, Record, SubmitOutcome};
use super::store::SimStore;

pub use deadly::DeadlyTasks;
use processor::EventLoop;
pub use processor::Processor;

mod calls;
mod ceilings;
mod deadly;
mod people;
mod processor;
mod troubles;
mod work;

/// Time of day at virtual time 0, in milliseconds since the Unix epoch.
const WALL_CLOCK_ORIGIN_MS: u64 = 1_800_000_000_000;
/// One-way latency to the store and to the workers.
const LATENCY_MS: u64 = 2;
/// Workspaces, sorted. Jobs belong to the first unless they are assigned to another.
const WORKSPACES: [&str; 4] = ["north", "south", "taiga", "west"];
/// Number of workers in a rack.
const RACK_WORKERS: usize = 4;
/// Time without a heartbeat after which the store drops a worker's entry.
const ENTRY_TTL_MS: u64 = 4_500;
/// Time after the answer to a cancellation during which a start may still reach a worker.
const CANCEL_GRACE_MS: u64 = 3_000;
/// Longest time by which a late call to a worker is delayed.
const CALL_DELAY_MAX_MS: u64 = 12_000;

/// Probabilities of faults on each call, from 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FleetNoise {
    /// A call to the store takes effect and its reply is lost.
    pub store_lost: f64,
    /// A call to the store takes effect 1 to 6 s late and gets no reply.
    pub store_late: f64,
    /// A call to a worker takes effect and its reply is lost.
    pub worker_lost: f64,
    /// A call to a worker takes effect 2 to 12 s late and gets no reply.
    pub worker_late: f64,
    /// A run fails at its start.
    pub run_fails: f64,
}

/// A fault that strikes at a planned time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    /// Kills a daemon and restarts it at once.
    Kill(usize),
    /// Kills the active placer, if there is one, and restarts its daemon at once.
    KillPlacer,
    /// Stops a daemon gracefully and restarts it after 5 s.
    Restart(usize),
    /// Pauses a daemon for a time in milliseconds.
    Freeze(usize, u64),
    /// Cuts a daemon off from the store for a time in milliseconds.
    CutStore(usize, u64),
    /// Cuts a worker off from all daemons and the store for a time in milliseconds.
    CutWorker(usize, u64),
    /// Crashes a worker, which boots again under the same identifier.
    Reboot(usize),
    /// Crashes a worker, which never comes back.
    Remove(usize),
    /// Drains a worker, which leaves after the time of its notice, in milliseconds.
    Drain(usize, u64),
    /// Takes the store down for a time in milliseconds; leases that expire meanwhile end with its return.
    StoreDown(u64),
    /// Takes the store down for a time in milliseconds, in which its leases pause.
    StorePaused(u64),
    /// Expires all leases of the store at once.
    LapseLeases,
    /// Compacts the store, which drops its history of changes.
    Compact,
    /// Slows the store down: the one-way latency and for how long, both in milliseconds.
    SlowStore(u64, u64),
    /// Keeps the store's watches from reporting anything for a time in milliseconds.
    SilenceWatches(u64),
    /// Makes a worker fail every run that it starts, or stops doing so.
    Failing(usize, bool),
    /// Halts the progress of all runs on a worker, or resumes it.
    Hanging(usize, bool),
    /// Slows a worker down by a factor.
    Slow(usize, u64),
    /// Changes the capacity of a worker, which its entry shows with the next heartbeat.
    Resize(usize, Resources),
    /// Kills all daemons and restarts them at once.
    KillAll,
    /// Sets the weight of a workspace, 0 for none, and its ceiling in accelerators, 0 for none.
    Allot(&'static str, u32, u64),
}

struct Daemon {
    node: Node,
    incarnation: u64,
    /// The daemon is paused until this time.
    frozen_until: u64,
    /// Inputs that arrived during a pause.
    queued_inputs: Vec<Input>,
    /// Used only if the simulation has a processor model.
    event_loop: EventLoop,
    /// The daemon can't reach the store until this time.
    cut_until: u64,
    exited: bool,
}

enum Event {
    /// A daemon whose processor was busy sends a call or an answer.
    Output {
        daemon: usize,
        incarnation: u64,
        output: Output,
    },
    Store {
        daemon: usize,
        incarnation: u64,
        call: u64,
        tag: Tag,
        op: StoreOp,
        lost: bool,
    },
    StoreReply {
        daemon: usize,
        incarnation: u64,
        call: u64,
        tag: Tag,
        result: Reply,
    },
    Worker {
        daemon: usize,
        incarnation: u64,
        call: u64,
        tag: Tag,
        request: WorkerCall,
        sent: u64,
        lost: bool,
    },
    WorkerReply {
        daemon: usize,
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
    /// A deadly task crashes its worker.
    Crash {
        worker: usize,
        born: u64,
        task: TaskId,
        deadly: DeadlyTasks,
    },
    /// A worker boots after the crash of an earlier boot.
    Boot {
        worker: usize,
        born: u64,
        renamed: bool,
    },
}

type Reply = Result<bulrushlink_fleet::StoreReply, Fault>;

struct PendingCall {
    until: u64,
    daemon: usize,
    incarnation: u64,
    call: u64,
    tag: Tag,
}

/// A run of a gang, with the workers that have or had members of it.
#[derive(Default)]
struct Gang {
    /// Number of members of a complete gang.
    size: u32,
    /// Sorted; may include workers whose members have ended.
    workers: Vec<usize>,
}

/// Identifies the run of a gang: any member's task with index 0, and the number of the run.
type GangKey = (TaskId, Run);

fn gang_key(task: TaskId, run: Run) -> GangKey {
    (TaskId { index: 0, ..task }, run)
}

/// A simulated fleet of daemons and workers with their store.
pub struct FleetLab {
    now: u64,
    daemons: Vec<Daemon>,
    /// Daemons on hosts with a tenth of a core.
    weak: Vec<usize>,
    store: SimStore,
    /// Sorted by identifier.
    workers: Vec<FleetWorker>,
    gangs: BTreeMap<GangKey, Gang>,
    /// Time at which each worker can be reached again.
    cut_until: Vec<u64>,
    /// Time at which each worker last reached the store.
    last_contact: Vec<u64>,
    events: BTreeMap<(u64, u64), Event>,
    /// Last number given to an event, a call or a request.
    sequence: u64,
    /// Identifiers of calls whose node still waits for the reply.
    open_calls: Vec<u64>,
    /// Watches without a change yet: the call, the prefix and the revision to watch from.
    watches: Vec<(PendingCall, String, u64)>,
    /// Holds (long polls for ended runs) that wait at workers: the call, the worker and its boot time.
    holds: Vec<(PendingCall, usize, u64)>,
    /// Open requests of callers; true if the request cancels the job.
    requests: Vec<(RequestId, JobId, bool)>,
    /// The store is down until this time.
    down_until: u64,
    /// Watches report nothing until this time.
    silent_until: u64,
    /// One-way latency to the store, and until when it is longer than usual.
    store_latency: (u64, u64),
    noise: FleetNoise,
    /// When each planned trouble begins and ends.
    troubles: Vec<(u64, u64)>,
    ceilings: CeilingLog,
    random: fastrand::Rng,
    record: Record,
    bounds: Bounds,
    features: Features,
    /// Processor of each daemon; without it, inputs are handled in no time.
    processor: Option<Processor>,
    quiet: bool,
    /// Percentage of the estimate over which the run times of a step's tasks are spread.
    length_spread: u64,
    /// Wall-clock time spent in the nodes.
    node_time: Duration,
    /// Longest of them for one input.
    longest_input: Duration,
}

fn test_bounds() -> Bounds {
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

fn test_queue(name: &str, priority: u32, attempts: u32) -> Queue {
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

fn test_catalog() -> Catalog {
    let workspace = |name: &str, guaranteed| Workspace {
        name: name.parse::<WorkspaceId>().expect("a valid name"),
        keys: vec![format!("key-{name}")],
        guaranteed,
        allotment: Some(Allotment::default()),
    };
    Catalog {
        version: 1,
        rev: Rev(1),
        size: 1_000,
        queues: vec![
            test_queue("batch", 2, 4),
            test_queue("replay", 1, 3),
            test_queue("roster", 0, 4),
        ],
        workspaces: WORKSPACES.map(|name| workspace(name, 24)).to_vec(),
        limits: Limits {
            head: 16_384,
            body: 262_144,
            head_time: Span(3_000),
            idle_time: Span(15_000),
        },
    }
}

fn worker_entry(number: usize) -> WorkerEntry {
    let rack = format!("r1-{}", number / RACK_WORKERS);
    WorkerEntry {
        id: format!("i-{number:04}").parse::<WorkerId>().expect("a valid name"),
        born: WALL_CLOCK_ORIGIN_MS,
        endpoint: "dispatch".to_string(),
        addr: ([10, 128, (number >> 8) as u8, number as u8], 8080).into(),
        domain: ["east", "west"][number % 2].parse::<DomainId>().expect("a valid name"),
        state: WorkerState::Ready,
        notice: None,
        capacity: Resources { cpu: 32_000, memory: 131_072, accelerators: 8 },
        rack: rack.parse().ok(),
        labels: vec!["a".to_string(), rack],
    }
}

impl FleetLab {
    /// Opens a simulation whose daemons and workers all start at virtual time 0.
    pub fn open(daemons: usize, workers: usize, seed: u64) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut lab = Self {
            now: 0,
            daemons: Vec::new(),
            weak: Vec::new(),
            store: SimStore::new(test_catalog()),
            workers: Vec::new(),
            gangs: BTreeMap::new(),
            cut_until: vec![0; workers],
            last_contact: vec![0; workers],
            events: BTreeMap::new(),
            sequence: 0,
            open_calls: Vec::new(),
            watches: Vec::new(),
            holds: Vec::new(),
            requests: Vec::new(),
            down_until: 0,
            silent_until: 0,
            store_latency: (LATENCY_MS, 0),
            noise: FleetNoise::default(),
            troubles: Vec::new(),
            ceilings: CeilingLog::default(),
            record: Record::default(),
            bounds: test_bounds(),
            features: Features::default(),
            processor: None,
            quiet: true,
            length_spread: 0,
            node_time: Duration::ZERO,
            longest_input: Duration::ZERO,
            random: random.fork(),
        };
        for number in 0..workers {
            // The platform allows clocks of workers to be 2% slow.
            let pace = random.u64(980..=1_000);
            lab.workers.push(FleetWorker::new(worker_entry(number), 0, pace));
        }
        lab.publish_workers();
        lab.ceilings.record(0, Vec::new());
        for daemon in 0..daemons {
            let node = lab.new_node(daemon, 0);
            lab.daemons.push(Daemon {
                node,
                incarnation: 0,
                frozen_until: 0,
                queued_inputs: Vec::new(),
                event_loop: EventLoop::default(),
                cut_until: 0,
                exited: false,
            });
        }
        lab
    }

    fn new_node(&self, daemon: usize, incarnation: u64) -> Node {
        Node::open(NodeSettings {
            daemon: format!("d{daemon}").parse().expect("a valid name"),
            incarnation: incarnation * 1_000 + daemon as u64,
            host: HostShare {
                core_share: if self.weak.contains(&daemon) { 0.1 } else { 1.0 },
                core_speed: 1.0,
            },
            bounds: self.bounds,
            features: self.features,
        })
    }

    /// Turns optional behaviour of all daemons on or off.
    pub fn use_features(&mut self, features: Features) {
        self.features = features;
        self.daemons.iter_mut().for_each(|d| d.node.set_features(features));
    }

    /// Moves a daemon to a weak host (a tenth of a core), before anything runs.
    pub fn use_weak_host(&mut self, daemon: usize) {
        self.weak.push(daemon);
        self.daemons[daemon].node = self.new_node(daemon, 0);
    }

    /// Lets the daemons' handling of inputs take processor time, before anything runs.
    pub fn use_processor(&mut self, processor: Processor) {
        self.processor = Some(processor);
    }

    /// Sets the probabilities of faults from now on.
    pub fn set_noise(&mut self, noise: FleetNoise) {
        // Calls that are late now are carried out when the noise has ended.
        self.troubles.push((self.now, self.now + CALL_DELAY_MAX_MS));
        self.noise = noise;
        self.quiet = noise == FleetNoise::default();
    }

    /// Schedules a fault.
    pub fn plan(&mut self, at: u64, trouble: Trouble) {
        self.troubles.push((at, at + trouble.length()));
        self.schedule(at, Event::Trouble(trouble));
    }

    /// Takes a failure domain out of service now.
    pub fn evacuate(&mut self, domain: &str) {
        self.store.evacuated = vec![domain.parse().expect("a valid name")];
    }

    /// Returns the virtual time in milliseconds.
    pub fn now(&self) -> u64 {
        self.now
    }

    /// Returns the violated invariants in the order in which they were found.
    pub fn violations(&self) -> &[Breach] {
        &self.record.violations
    }

    /// Returns the trace lines that contain the given text, and those of all faults.
    pub fn trace(&self, about: &str) -> Vec<String> {
        let matches = |text: &str| text.starts_with("trouble") || text.contains(about);
        let line = |(at, text): &(u64, String)| format!("{at} {text}");
        self.record.trace.iter().filter(|(_, t)| matches(t)).map(line).collect()
    }

    /// Returns the number of runs that workers have started.
    pub fn starts(&self) -> u64 {
        self.record.starts
    }

    /// Returns the wall-clock time spent in the nodes so far.
    pub fn node_time(&self) -> Duration {
        self.node_time
    }

    /// Returns the longest wall-clock time that a node has taken for one input so far.
    pub fn longest_input(&self) -> Duration {
        self.longest_input
    }

    /// Returns the daemon that is the active placer, if any.
    pub fn placer(&self) -> Option<usize> {
        self.daemons.iter().position(|s| s.node.is_placer())
    }

    /// Returns the number of gang members that ended because their gang was not complete in time.
    pub fn gang_timeouts(&self) -> u64 {
        self.record.gang_timeouts
    }

    /// Returns the outcome of a job's submission as its caller knows it.
    pub fn submit_outcome(&self, id: JobId) -> Option<SubmitOutcome> {
        self.record.jobs.iter().find(|j| j.id == id).map(|j| j.outcome)
    }

    /// Returns true if a task of the job has started.
    pub fn has_started(&self, id: JobId) -> bool {
        self.record.jobs.iter().any(|j| j.id == id && j.started)
    }

    /// Returns when the last task of a job ended as done.
    pub fn finished_at(&self, id: JobId) -> Option<u64> {
        self.record.jobs.iter().find(|j| j.id == id).and_then(|j| j.finished_at)
    }

    /// Returns the workers with live runs of a job, sorted.
    pub fn places(&self, id: JobId) -> Vec<usize> {
        let live = self.record.live.iter().filter(|(t, ..)| t.job == id);
        let mut places: Vec<usize> = live.map(|(_, _, worker)| *worker).collect();
        places.sort_unstable();
        places
    }

    /// Asks a daemon for the state of a job and lets 1.5 s pass for the answer.
    pub fn state(&mut self, id: JobId) -> Option<ShownState> {
        self.request_state(id);
        self.run(1_500);
        self.record.job(id).and_then(|j| j.shown_state)
    }

    /// Returns a daemon's dump of its state.
    pub fn dump(&self, daemon: usize) -> String {
        self.daemons[daemon].node.dump(Moment(self.now))
    }

    /// Returns the present capacity of a worker.
    pub fn capacity(&self, worker: usize) -> Resources {
        self.workers[worker].entry.capacity
    }

    /// Returns the present one-way latency to the store.
    fn store_latency(&self) -> u64 {
        let (latency, until) = self.store_latency;
        if self.now < until { latency } else { LATENCY_MS }
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.events.insert((at.max(self.now), self.sequence), event);
    }

    /// Advances virtual time.
    pub fn run(&mut self, millis: u64) {
        let end = self.now + millis;
        while self.now < end {
            self.now += 1;
            while let Some(entry) = self.events.first_entry()
                && entry.key().0 <= self.now
            {
                let event = entry.remove();
                self.handle_event(event);
            }
            self.advance_workers();
            if self.now >= self.down_until {
                self.store.keys.expire(self.now);
            }
            self.answer_waiting_calls();
            for daemon in 0..self.daemons.len() {
                self.tick(daemon);
            }
        }
    }

    fn tick(&mut self, daemon: usize) {
        if self.processor.is_some() {
            return self.run_event_loop(daemon);
        }
        let state = &mut self.daemons[daemon];
        if state.exited || self.now < state.frozen_until {
            return;
        }
        for input in std::mem::take(&mut state.queued_inputs) {
            self.deliver(daemon, input);
        }
        if self.daemons[daemon].node.due(Moment(self.now)).0 <= self.now {
            self.deliver(daemon, Input::Tick);
        }
    }

    fn deliver(&mut self, daemon: usize, input: Input) {
        let now = self.now;
        if self.processor.is_some() {
            return self.daemons[daemon].event_loop.push_request(input);
        }
        let state = &mut self.daemons[daemon];
        if state.exited {
            return;
        }
        if now < state.frozen_until {
            state.queued_inputs.push(input);
            return;
        }
        let incarnation = state.incarnation;
        for output in self.handle_input(daemon, input) {
            self.dispatch_output(daemon, incarnation, output);
        }
    }

    fn handle_input(&mut self, daemon: usize, input: Input) -> Vec<Output> {
        let clock = Clock { now: Moment(self.now), wall: WALL_CLOCK_ORIGIN_MS + self.now };
        let began = Instant::now();
        let node = &mut self.daemons[daemon].node;
        // With a processor model, a tick follows the last of the inputs that are handled together.
        let outputs = match input {
            Input::Tick => node.tick(clock),
            input if self.processor.is_some() => node.receive(clock, input),
            input => node.handle(clock, input),
        };
        let took = began.elapsed();
        self.node_time += took;
        self.longest_input = self.longest_input.max(took);
        outputs
    }

    /// Delivers the reply to a call, or its time-out, to the daemon that has sent it.
    fn deliver_reply(&mut self, daemon: usize, incarnation: u64, call: u64, input: Input) {
        let current = self.daemons[daemon].incarnation == incarnation;
        if self.processor.is_some() && current {
            self.daemons[daemon].event_loop.push_reply(call, input);
        } else if self.close_call(call) && current {
            self.deliver(daemon, input);
        }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Output { daemon, incarnation, output } => {
                if self.daemons[daemon].incarnation == incarnation {
                    self.dispatch_output(daemon, incarnation, output);
                }
            }
            Event::Store { daemon, incarnation, call, tag, op, lost } => {
                self.handle_store_call(
                    PendingCall { until: 0, daemon, incarnation, call, tag },
                    op,
                    lost,
                );
            }
            Event::StoreReply { daemon, incarnation, call, tag, result } => {
                self.deliver_reply(daemon, incarnation, call, Input::Store(tag, result));
            }
            Event::Worker { daemon, incarnation, call, tag, request, sent, lost } => {
                self.handle_worker_call(
                    PendingCall { until: 0, daemon, incarnation, call, tag },
                    (request, sent),
                    lost,
                );
            }
            Event::WorkerReply { daemon, incarnation, call, tag, clock, result } => {
                self.deliver_reply(daemon, incarnation, call, Input::Worker(tag, clock, result));
            }
            Event::Trouble(trouble) => self.apply_trouble(trouble),
            Event::Submit(daemon, id) => self.send_request(daemon, id, false),
            Event::Cancel(daemon, id) => self.send_request(daemon, id, true),
            Event::Leave(worker, born) => {
                if self.workers[worker].entry.born == born {
                    self.depart(worker);
                }
            }
            Event::Crash { worker, born, task, deadly } => {
                self.crash_for(worker, born, &task, &deadly);
            }
            Event::Boot { worker, born, renamed } => self.boot(worker, born, renamed),
        }
    }
}
