//! The world: nodes, a store, workers and callers, with faults between them.

use bulrushlink_core::{DomainId, Moment, Span, WorkerId, WorkspaceId};
use bulrushlink_fleet::{
    Answer, Bounds, CallerCall, CallerVerb, Catalog, Clock, EndCause, Fault, Input, JobId, JobSpec,
    Limits, Node, NodeSettings, Output, Queue, RequestId, Resources, Rev, Run, ShownState, StoreOp,
    Tag, TaskId, WorkerCall, WorkerEntry, WorkerOp, WorkerReply, WorkerState, Workspace,
};
use bulrushlink_standin::{FleetRun, FleetWorker, FleetWorkerBounds};
use std::collections::BTreeMap;

use super::record::{Breach, JobTrack, Record, Told};
use super::store::SimStore;

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
        addr: ([10, 128, 0, number as u8], 8080).into(),
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
            domain: "east".parse().expect("a valid name"),
            incarnation: incarnation * 1_000 + seat as u64,
            bounds: self.bounds,
        })
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
        for output in s.node.take(clock, input) {
            self.carry_out(seat, incarnation, output);
        }
    }

    fn carry_out(&mut self, seat: usize, incarnation: u64, output: Output) {
        let now = self.now;
        self.ordinal += 1;
        let call = self.ordinal;
        match output {
            Output::Store(tag, op, timeout) => {
                self.open.push(call);
                let result = Err(Fault::Unknown("no answer in time".to_string()));
                let answer =
                    Event::StoreAnswer { seat, incarnation, call, tag: tag.clone(), result };
                self.push(now + timeout.millis(), answer);
                let lost = self.random.f64() < self.noise.store_lost;
                let late = self.random.f64() < self.noise.store_late;
                let at = if late { now + self.random.u64(1_000..6_000) } else { now + LATENCY };
                if now >= self.seats[seat].cut && now >= self.down {
                    let lost = lost || late;
                    self.push(at, Event::Store { seat, incarnation, call, tag, op, lost });
                }
            }
            Output::Worker(tag, order, timeout) => {
                self.open.push(call);
                let result = Err(Fault::Unknown("no answer in time".to_string()));
                let clock = None;
                let answer = Event::WorkerAnswer {
                    seat,
                    incarnation,
                    call,
                    tag: tag.clone(),
                    clock,
                    result,
                };
                self.push(now + timeout.millis(), answer);
                let lost = self.random.f64() < self.noise.worker_lost;
                let late = self.random.f64() < self.noise.worker_late;
                let at = if late { now + self.random.u64(2_000..12_000) } else { now + LATENCY };
                let lost = lost || late;
                self.push(at, Event::Worker { seat, incarnation, call, tag, order, lost });
            }
            Output::Answer(id, answer) => self.told_caller(id, &answer),
            Output::Exit => self.seats[seat].gone = true,
        }
    }

    fn close(&mut self, call: u64) -> bool {
        match self.open.iter().position(|c| *c == call) {
            Some(at) => {
                self.open.swap_remove(at);
                true
            }
            None => false,
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

    fn store_call(&mut self, waiting: Waiting, op: StoreOp, lost: bool) {
        let Waiting { seat, incarnation, call, tag, .. } = waiting;
        if let StoreOp::Watch(prefix, after, wait) = &op
            && !self.store.has_events(prefix, after.0)
        {
            let until = self.now + wait.millis();
            let waiting = Waiting { until, seat, incarnation, call, tag };
            self.watches.push((waiting, prefix.clone(), after.0));
            return;
        }
        let reply = self.store.call(self.now, &op);
        if !lost && self.now >= self.seats[seat].cut {
            let result = Ok(reply);
            let answer = Event::StoreAnswer { seat, incarnation, call, tag, result };
            self.push(self.now + LATENCY, answer);
        }
    }

    fn worker_call(&mut self, waiting: Waiting, order: WorkerCall, lost: bool) {
        let now = self.now;
        let Some(at) = self.workers.iter().position(|w| w.entry.id == order.worker) else { return };
        if now < self.cut[at] || !self.workers[at].up {
            return;
        }
        let limits = FleetWorkerBounds {
            lease_max: self.bounds.lease_max_ms,
            stop: self.bounds.stop_ms / 2,
        };
        if !matches!(order.op, WorkerOp::Hold { .. }) {
            let text = describe(at, &order, lost);
            self.record.note(now, text);
        }
        let fenced = order.token < self.workers[at].token;
        if let (WorkerOp::Hold { acked, .. }, false) = (&order.op, fenced) {
            for end in self.workers[at].ends.iter().filter(|e| e.number <= *acked) {
                self.record.noted(end.task, at);
            }
        }
        let jobs = &self.record.jobs;
        let make = |task: TaskId, run: Run, saved: &str| {
            let job = jobs.iter().find(|j| j.id == task.job);
            let step = job.map(|j| &j.spec.steps[usize::from(task.step)]);
            let length = step.map_or(1_000, |s| s.estimate.millis());
            let worked = saved.parse().unwrap_or(0);
            let (need, gang) = step.map_or((Resources::default(), false), |s| (s.need, s.gang));
            FleetRun { task, run, need, began: now, worked, length, gang, stops: None }
        };
        let worker = &mut self.workers[at];
        let (reply, started) = worker.call(now, order.token, &order.op, make, &limits);
        let clock = Some(worker.clock(now));
        if let Some((task, run)) = started {
            let capacity = worker.entry.capacity;
            if !capacity.holds(&worker.used()) {
                self.record.breach(now, format!("{task} brings worker {at} over its capacity"));
            }
            self.record.started(now, (task, run, at), CANCEL_GRACE);
            let fails = self.random.f64() < self.noise.run_fails;
            if fails || self.workers[at].failing {
                let last = self.workers[at].runs.len() - 1;
                self.end(at, last, EndCause::Failed);
            }
        }
        if lost {
            return;
        }
        let Waiting { seat, incarnation, call, tag, .. } = waiting;
        if let WorkerOp::Hold { wait, .. } = order.op
            && wait.millis() > 0
            && self.workers[at].ends.is_empty()
            && matches!(reply, WorkerReply::Lists { .. })
        {
            let until = now + wait.millis();
            let waiting = Waiting { until, seat, incarnation, call, tag };
            self.holds.push((waiting, at, self.workers[at].entry.born));
            return;
        }
        let result = Ok(reply);
        let answer = Event::WorkerAnswer { seat, incarnation, call, tag, clock, result };
        self.push(now + LATENCY, answer);
    }

    fn end(&mut self, at: usize, run: usize, cause: EndCause) {
        let ended = self.workers[at].end(run, cause);
        self.record.ended(self.now, (ended.task, ended.run, at), cause);
        if cause != EndCause::Done && ended.gang {
            self.break_gang(ended.task, ended.run);
        }
    }

    fn break_gang(&mut self, task: TaskId, run: Run) {
        let same = |r: &FleetRun| {
            (r.task.job, r.task.round, r.task.step, r.run) == (task.job, task.round, task.step, run)
        };
        for at in 0..self.workers.len() {
            while let Some(found) = self.workers[at].runs.iter().position(same) {
                let ended = self.workers[at].end(found, EndCause::Broken);
                let run = (ended.task, ended.run, at);
                self.record.ended(self.now, run, EndCause::Broken);
            }
        }
    }

    /// Tells how many members of a gang's run are present.
    fn present(&self, task: TaskId, run: Run) -> u32 {
        let same = |r: &&FleetRun| {
            (r.task.job, r.task.round, r.task.step, r.run) == (task.job, task.round, task.step, run)
        };
        self.workers.iter().map(|w| w.runs.iter().filter(same).count() as u32).sum()
    }

    /// Lets the workers go on for a millisecond.
    fn work(&mut self) {
        for at in 0..self.workers.len() {
            if !self.workers[at].up {
                continue;
            }
            if self.workers[at].clock(self.now) > self.workers[at].lease_end {
                self.record.lapsed(at);
                while !self.workers[at].runs.is_empty() {
                    self.end(at, 0, EndCause::Lapsed);
                }
            }
            let mut run = 0;
            while run < self.workers[at].runs.len() {
                match self.progress(at, run) {
                    Some(cause) => self.end(at, run, cause),
                    None => run += 1,
                }
            }
        }
        if self.now.is_multiple_of(500) {
            self.publish();
        }
    }

    /// Lets a run go on, and tells how it ends if it does.
    fn progress(&mut self, at: usize, run: usize) -> Option<EndCause> {
        let live = self.workers[at].runs[run].clone();
        if live.stops.is_some_and(|s| s <= self.now) {
            return Some(EndCause::Stopped);
        }
        if live.gang {
            let members = self.record.jobs.iter().find(|j| j.id == live.task.job);
            let all = members.map_or(1, |j| j.spec.steps[usize::from(live.task.step)].tasks);
            let step = (TaskId { index: 0, ..live.task }, live.run);
            let others_done = self.record.finished.contains(&step);
            if others_done {
                return Some(EndCause::Done);
            }
            if self.present(live.task, live.run) < all {
                let waited = self.now - live.began;
                return (live.worked == 0 && waited > self.bounds.gang_ms)
                    .then_some(EndCause::Alone);
            }
        }
        let worker = &mut self.workers[at];
        let moves = !worker.hanging && self.now.is_multiple_of(worker.slowness);
        if moves && live.worked < live.length {
            worker.runs[run].worked += 1;
        }
        let done = worker.runs[run].worked >= live.length;
        (done && (!live.gang || self.all_worked(&live))).then_some(EndCause::Done)
    }

    /// Tells whether all members of a gang's run have done their work.
    fn all_worked(&self, run: &FleetRun) -> bool {
        let step = |t: &TaskId| (t.job, t.round, t.step);
        let same = |r: &&FleetRun| step(&r.task) == step(&run.task) && r.run == run.run;
        self.workers.iter().flat_map(|w| &w.runs).filter(same).all(|r| r.worked >= r.length)
    }

    /// Tells the store which workers live.
    fn publish(&mut self) {
        let now = self.now;
        if now < self.down {
            return;
        }
        let mut entries = Vec::new();
        for (at, worker) in self.workers.iter().enumerate() {
            if worker.up && now >= self.cut[at] {
                self.beaten[at] = now;
            }
            if now.saturating_sub(self.beaten[at]) < ENTRY_LIFE && worker.booted <= now {
                entries.push(worker.entry.clone());
            }
        }
        self.store.workers = entries;
    }

    fn answer_waiting(&mut self) {
        let now = self.now;
        let mut ready = Vec::new();
        let store = &self.store;
        let down = now < self.down;
        self.watches.retain_mut(|(waiting, prefix, after)| {
            let due = !down && (store.has_events(prefix, *after) || now >= waiting.until);
            if due {
                let op = StoreOp::Watch(prefix.clone(), Rev(*after), Span::ZERO);
                ready.push((
                    waiting.seat,
                    waiting.incarnation,
                    waiting.call,
                    waiting.tag.clone(),
                    op,
                ));
            }
            !due
        });
        for (seat, incarnation, call, tag, op) in ready {
            if now >= self.seats[seat].cut {
                let result = Ok(self.store.call(now, &op));
                self.push(
                    now + LATENCY,
                    Event::StoreAnswer { seat, incarnation, call, tag, result },
                );
            }
        }
        let mut heard = Vec::new();
        let workers = &self.workers;
        let cut = &self.cut;
        self.holds.retain(|(waiting, at, born)| {
            let worker = &workers[*at];
            let gone = worker.entry.born != *born || !worker.up || now < cut[*at];
            let due = !worker.ends.is_empty() || now >= waiting.until;
            if due && !gone {
                let (seat, inc) = (waiting.seat, waiting.incarnation);
                heard.push((seat, inc, waiting.call, waiting.tag.clone(), *at));
            }
            !due && !gone
        });
        for (seat, incarnation, call, tag, at) in heard {
            let clock = Some(self.workers[at].clock(now));
            let result = Ok(self.workers[at].lists());
            self.push(
                now + LATENCY,
                Event::WorkerAnswer { seat, incarnation, call, tag, clock, result },
            );
        }
    }

    fn call_caller(&mut self, seat: usize, id: JobId, cancels: bool) {
        self.ordinal += 1;
        let request = RequestId(self.ordinal);
        let Some(job) = self.record.job(id) else { return };
        let verb = if cancels {
            job.unwanted = true;
            CallerVerb::Cancel
        } else {
            job.open += 1;
            CallerVerb::Submit(Ok(job.spec.clone()))
        };
        let call = caller(&job.queue, id, verb);
        self.requests.push((request, id, cancels));
        self.give(seat, Input::Caller(request, call));
    }

    /// Asks some daemon for the state of a job.
    fn ask(&mut self, id: JobId) {
        self.ordinal += 1;
        let request = RequestId(self.ordinal);
        let Some(job) = self.record.job(id) else { return };
        job.shown = None;
        let call = caller(&job.queue, id, CallerVerb::Look);
        self.requests.push((request, id, false));
        let seat = self.seats.iter().position(|s| !s.gone).unwrap_or(0);
        self.give(seat, Input::Caller(request, call));
    }

    fn told_caller(&mut self, request: RequestId, answer: &Answer) {
        let Some(at) = self.requests.iter().position(|r| r.0 == request) else { return };
        let (_, id, cancels) = self.requests.remove(at);
        let now = self.now;
        let Some(job) = self.record.job(id) else { return };
        match answer {
            Answer::Accepted => {
                job.told = Told::Accepted;
            }
            Answer::State(state) => job.shown = Some(*state),
            Answer::Cancelled if cancels => job.cancelled = job.cancelled.or(Some(now)),
            Answer::Unavailable(..) | Answer::Busy(_) if !cancels => {
                job.open -= 1;
                if job.told == Told::Nothing {
                    job.told = Told::Refused;
                }
            }
            _ => {}
        }
    }

    fn trouble(&mut self, trouble: Trouble) {
        let now = self.now;
        self.record.note(now, format!("trouble: {trouble:?}"));
        match trouble {
            Trouble::Kill(seat) => self.restart(seat),
            Trouble::KillPlacer => {
                let places = |s: &Seat| !s.node.dump(Moment(now)).contains("placer: another");
                if let Some(seat) = self.seats.iter().position(places) {
                    self.restart(seat);
                }
            }
            Trouble::Restart(seat) => {
                self.give(seat, Input::Stop);
                self.push(now + 5_000, Event::Trouble(Trouble::Kill(seat)));
            }
            Trouble::Freeze(seat, millis) => self.seats[seat].frozen = now + millis,
            Trouble::CutStore(seat, millis) => self.seats[seat].cut = now + millis,
            Trouble::CutWorker(worker, millis) => self.cut[worker] = now + millis,
            Trouble::Reboot(worker) => {
                self.crash(worker);
                self.workers[worker].reboot(now);
                self.publish();
            }
            Trouble::Remove(worker) => self.remove(worker),
            Trouble::Drain(worker, millis) => {
                self.workers[worker].entry.state = WorkerState::Draining;
                self.publish();
                let born = self.workers[worker].entry.born;
                self.push(now + millis, Event::Leave(worker, born));
            }
            Trouble::StoreDown(millis) => {
                self.down = now + millis;
                self.watches.clear();
            }
            Trouble::LapseLeases => self.store.keys.lapse_all(),
            Trouble::Compact => self.store.keys.compact(),
            Trouble::Failing(worker, on) => self.workers[worker].failing = on,
            Trouble::Hanging(worker, on) => self.workers[worker].hanging = on,
            Trouble::Slow(worker, times) => self.workers[worker].slowness = times,
            Trouble::KillAll => (0..self.seats.len()).for_each(|seat| self.restart(seat)),
        }
    }

    fn crash(&mut self, worker: usize) {
        let gangs: Vec<(TaskId, Run)> =
            self.workers[worker].runs.iter().filter(|r| r.gang).map(|r| (r.task, r.run)).collect();
        self.workers[worker].runs.clear();
        self.record.crashed(worker);
        gangs.into_iter().for_each(|(task, run)| self.break_gang(task, run));
    }

    fn remove(&mut self, worker: usize) {
        self.crash(worker);
        self.workers[worker].up = false;
    }

    fn restart(&mut self, seat: usize) {
        let incarnation = self.seats[seat].incarnation + 1;
        let node = self.new_node(seat, incarnation);
        let cut = self.seats[seat].cut;
        self.seats[seat] =
            Seat { node, incarnation, frozen: 0, held: Vec::new(), cut, gone: false };
    }

    /// Checks, long after the last fault, that every accepted job has ended.
    pub fn check_ends(&mut self) {
        let ids: Vec<JobId> = self.record.jobs.iter().map(|j| j.id).collect();
        for id in ids {
            let shown = self.state(id);
            let now = self.now;
            let Some(job) = self.record.job(id) else { continue };
            let cancelled = job.unwanted;
            let ended = matches!(shown, Some(ShownState::Completed | ShownState::Failed))
                || (cancelled && shown == Some(ShownState::Cancelled));
            let text = match (job.told, shown) {
                (Told::Accepted, _) if !ended => {
                    format!("{id} was accepted and is shown as {shown:?}")
                }
                (_, Some(ShownState::Completed)) if !job.is_done() => {
                    format!("{id} is shown as completed, and a task is not done")
                }
                _ => continue,
            };
            self.record.breach(now, text);
        }
    }
}

/// Makes the call of a caller of the workspace `north`.
fn caller(queue: &str, id: JobId, verb: CallerVerb) -> CallerCall {
    CallerCall {
        host: "jobs.example".to_string(),
        path: format!("/{queue}/{id}"),
        key: Some("key-north".to_string()),
        patience: Some(Span(3_000)),
        verb,
    }
}

fn describe(worker: usize, order: &WorkerCall, lost: bool) -> String {
    let what = match &order.op {
        WorkerOp::Start { task, run, lease_end, .. } => {
            format!("start of {task} run {run} until {lease_end}")
        }
        WorkerOp::Stop { task, run } => format!("stop of {task} run {run}"),
        WorkerOp::Hold { .. } => "hold".to_string(),
    };
    format!("{worker} gets a {what} of token {}, answer lost: {lost}", order.token)
}
