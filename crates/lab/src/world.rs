//! The simulation itself: advances virtual time and dispatches each event to its handler.

use bulrushlink_api::{JobState, OperatorCall, Revision, StoreRequest, WorkerBatch};
use bulrushlink_core::{DaemonId, DomainId, Moment, Span, Urgency, WorkerId};
use bulrushlink_daemon::{
    CallId, Input, Output, Token, broken_gang_time_max, partial_gang_time_max,
};
use bulrushlink_standin::{
    CallCounts, Checkpoints, HostTable, PartialGang, Record, WorkerMode, WorkerSim,
};
use fastrand::Rng;
use std::collections::VecDeque;
use std::time::Instant;

use crate::callers::{Caller, JobPlan, Turn, Waiting};
use crate::checks::{Report, Violation, check_caller};
use crate::daemons::Process;
use crate::faults::{Fault, FaultPlan, StartPoint};
use crate::layout::{Layout, WORKSPACES};
use crate::links::{Links, Noise};
use crate::operators::Operator;
use crate::platform::PlatformStore;
use crate::timeline::Timeline;

mod edges;
mod faults;
mod many;
mod people;
mod promises;

use promises::Watcher;

/// Interval at which the timers of a daemon are run. It is a little more than the period of the
/// daemon's own tick, so that the tick is always due.
const TICK_INTERVAL: Span = Span(101);
/// Interval at which workers advance, the store replies to due watches and invariants are checked.
const HOUSEKEEPING_INTERVAL: Span = Span(50);
/// Interval at which the load balancer polls the readiness of the daemons.
const BALANCER_INTERVAL: Span = Span(1_000);
/// One-way latency between two parties.
const LATENCY: Span = Span(1);
/// Number of latest trace lines that are kept.
const TRACE_LINES_MAX: usize = 20_000;

/// An event of the simulation.
#[derive(Debug)]
pub(crate) enum Event {
    /// The timers of a daemon are run.
    Tick { daemon: usize, incarnation: u64 },
    /// An output leaves its daemon.
    Send { daemon: usize, incarnation: u64, output: Box<Output>, since: Moment },
    /// An input reaches a daemon; `incarnation` is `None` if any process of the daemon may take it.
    Arrive { daemon: usize, incarnation: Option<u64>, input: Box<Input> },
    /// A call reaches the store.
    Store { daemon: usize, incarnation: u64, call: CallId, request: StoreRequest },
    /// A call reaches a worker.
    Worker { daemon: usize, incarnation: u64, call: CallId, worker: usize, batch: WorkerBatch },
    /// A call reaches the host list.
    Hosts { daemon: usize, incarnation: u64, call: CallId, after: Option<Revision> },
    /// A caller takes its next action.
    Caller { caller: usize, turn: Turn },
    /// An operator sends its next request.
    Operator(usize),
    /// An operator stops waiting for the answer to this token.
    OperatorGivesUp(usize, Token),
    /// The next daemon of a rolling restart is stopped.
    StopNext(usize),
    /// A fault begins or ends.
    Fault(Fault),
    /// Workers advance, the store replies to due watches and invariants are checked.
    Housekeeping,
}

/// A fault that triggers at a point of the next gang start in a failure domain.
#[derive(Clone, Debug)]
struct Armed {
    domain: DomainId,
    point: StartPoint,
    kills: bool,
}

/// A worker that has announced that it leaves.
#[derive(Clone, Debug)]
struct Leaver {
    worker: WorkerId,
    since: Moment,
}

/// A simulated deployment with its callers and operators.
#[derive(Debug)]
pub struct Lab {
    layout: Layout,
    rng: Rng,
    timeline: Timeline<Event>,
    links: Links,
    store: PlatformStore,
    hosts: HostTable,
    /// Sorted by identifier.
    workers: Vec<WorkerSim>,
    record: Record,
    /// Sorted by identifier.
    daemons: Vec<Process>,
    /// Indices of the daemons that were ready at the balancer's latest poll.
    ready_daemons: Vec<usize>,
    /// Time of the balancer's next poll.
    next_poll: Moment,
    callers: Vec<Caller>,
    waiting: Vec<Waiting>,
    operators: Vec<Operator>,
    /// Faults that trigger at a point of the next gang start in a failure domain.
    armed: Vec<Armed>,
    /// The daemon that last started work in each failure domain; sorted by domain.
    placers: Vec<(DomainId, usize)>,
    watcher: Watcher,
    leavers: Vec<Leaver>,
    last_token: u64,
    /// Number of release notes named so far.
    note_count: u64,
    /// Number of runs of the record that have been checked.
    checked_runs: usize,
    events: u64,
    trace: VecDeque<String>,
    /// The trace up to the first violation.
    violation_trace: Vec<String>,
    violations: Vec<Violation>,
}

impl Lab {
    /// Opens a deployment without a release note, whose daemons all start at once.
    pub fn open(layout: Layout, seed: u64) -> Self {
        let now = Moment(1_000_000);
        let checkpoints = Checkpoints::open();
        let record = Record::open();
        let mut hosts = HostTable::open(layout.lag);
        let mut workers = Vec::new();
        for (i, host) in layout.hosts().into_iter().enumerate() {
            hosts.add(host.clone(), Moment(0));
            workers.push(WorkerSim::open(host, &checkpoints, &record, seed + i as u64));
        }
        let members = layout.members();
        let origin = Instant::now();
        let settings = members.iter().map(|member| layout.settings(&member.id));
        let mut lab = Self {
            rng: Rng::with_seed(seed),
            timeline: Timeline::open(now),
            links: Links::open(LATENCY),
            store: PlatformStore::open(),
            hosts,
            workers,
            record,
            ready_daemons: Vec::new(),
            next_poll: now,
            daemons: settings.map(|settings| Process::new(settings, origin)).collect(),
            callers: Vec::new(),
            waiting: Vec::new(),
            operators: vec![Operator::default(), Operator::default()],
            armed: Vec::new(),
            placers: Vec::new(),
            watcher: Watcher::open(now),
            leavers: Vec::new(),
            last_token: 0,
            note_count: 0,
            checked_runs: 0,
            events: 0,
            trace: VecDeque::new(),
            violation_trace: Vec::new(),
            violations: Vec::new(),
            layout,
        };
        for daemon in 0..lab.daemons.len() {
            lab.start(daemon);
        }
        lab.timeline.schedule(HOUSEKEEPING_INTERVAL, Event::Housekeeping);
        lab
    }

    /// Returns the virtual time.
    pub fn now(&self) -> Moment {
        self.timeline.now()
    }

    /// Makes the operator apply the first release note.
    pub fn apply_first_note(&mut self) {
        let note = self.layout.first_note();
        self.operators[0].enqueue(note, None, self.timeline.now());
        self.timeline.schedule(Span(1), Event::Operator(0));
    }

    /// Sets the probabilities of message faults from now on.
    pub fn set_noise(&mut self, noise: Noise) {
        self.links.noise = noise;
    }

    /// Schedules the submission of a job, by a caller of its own, after `delay`.
    pub fn submit_after(&mut self, delay: Span, plan: JobPlan) {
        let caller = self.callers.len();
        if let Some(cancel) = plan.cancel {
            self.timeline.schedule(delay + cancel, Event::Caller { caller, turn: Turn::Cancel });
        }
        self.callers.push(Caller::new(plan));
        self.timeline.schedule(delay, Event::Caller { caller, turn: Turn::Submit });
    }

    /// Schedules the submission of `count` random jobs, spread over `length`.
    pub fn submit_random(&mut self, count: usize, length: Span) {
        for _ in 0..count {
            let plan = JobPlan::draw(self.callers.len(), &mut self.rng);
            let delay = Span(self.rng.u64(0..length.millis()));
            self.submit_after(delay, plan);
        }
    }

    /// Schedules the submission of `count` jobs of guaranteed shapes, spread over `length`.
    pub fn submit_guaranteed(&mut self, count: usize, length: Span) {
        for i in 0..count {
            let urgency = [Urgency::Urgent, Urgency::Normal, Urgency::Batch][i % 3];
            let run = Span(self.rng.u64(500..4_000));
            let workspace = i % WORKSPACES.len();
            let plan = JobPlan::guaranteed(self.callers.len(), workspace, urgency, run);
            let delay = Span(self.rng.u64(0..length.millis()));
            self.submit_after(delay, plan);
        }
    }

    /// Schedules a fault after `delay`.
    pub fn fault_after(&mut self, delay: Span, fault: Fault) {
        self.timeline.schedule(delay, Event::Fault(fault));
    }

    /// Schedules random faults within the next `length`, each of which is also cleared within it.
    pub fn schedule_random_faults(&mut self, length: Span) {
        let plan = FaultPlan::draw(&self.layout, length, &mut self.rng);
        for (delay, fault) in plan.faults {
            self.fault_after(delay, fault);
        }
    }

    /// Clears all faults of links, store, daemons and workers, and takes all failure domains back
    /// into service.
    pub fn clear_faults(&mut self) {
        self.links.restore();
        self.armed.clear();
        self.links.noise = Noise::default();
        self.apply_fault(Fault::Store(crate::StoreMode::Up));
        for daemon in 0..self.daemons.len() {
            let id = self.daemons[daemon].id().clone();
            self.apply_fault(Fault::Wake(id.clone()));
            self.apply_fault(Fault::Start(id));
        }
        for worker in 0..self.workers.len() {
            let id = self.workers[worker].id().clone();
            self.apply_fault(Fault::MendWorker(id.clone()));
            self.apply_fault(Fault::KeepWorker(id));
        }
        for domain in self.layout.domain_ids() {
            self.apply_fault(Fault::TakeBack(domain));
        }
    }

    /// Advances virtual time.
    pub fn run(&mut self, length: Span) {
        let end = self.timeline.now() + length;
        while let Some(event) = self.timeline.next(end) {
            self.events += 1;
            self.handle_event(event);
        }
    }

    /// Checks the answers to callers and operators, and returns the result of the run.
    pub fn report(&self) -> Report {
        let mut violations = self.violations.clone();
        let at = self.timeline.now();
        for caller in &self.callers {
            let broken = check_caller(caller, &self.record);
            violations.extend(broken.into_iter().map(|text| Violation { at, text }));
        }
        let broken = self.check_notes().into_iter().map(|text| Violation { at, text });
        violations.extend(broken);
        let partials = self.record.partials(at);
        let longest = partials.iter().max_by_key(|partial| partial.length());
        let partial = longest.map(|partial| partial.length()).unwrap_or_default();
        for late in partials.iter().filter(|partial| partial.length() > self.partial_bound(partial))
        {
            let text = format!("a gang ran partially for {}: {late:?}", late.length());
            violations.push(Violation { at, text });
        }
        let count_last = |state| {
            let last = |c: &&Caller| c.answers.last().is_some_and(|t| t.answer.state == state);
            self.callers.iter().filter(last).count()
        };
        Report {
            events: self.events,
            jobs: self.callers.len(),
            completed: count_last(JobState::Completed),
            unknown: count_last(JobState::Unknown),
            refused: count_last(JobState::Refused),
            restarted: self.restarted(),
            prompt_starts: self.watcher.starts,
            prompt_notes: self.watcher.notes,
            prompt_answers: self.watcher.answers,
            races: self.races(),
            store_calls: self.store.calls(),
            partial,
            violations,
        }
    }

    /// Returns the latest trace lines up to the first violation found during the run, or up to now
    /// if there was none.
    pub fn trace(&self) -> impl Iterator<Item = &str> {
        let latest = self.trace.iter().filter(|_| self.violation_trace.is_empty());
        self.violation_trace.iter().chain(latest).map(String::as_str)
    }

    /// Adds a dump of each daemon that is up to the trace.
    pub fn dump(&mut self) {
        for daemon in 0..self.daemons.len() {
            let token = self.next_token();
            self.deliver(daemon, Input::Operator(token, OperatorCall::Dump));
        }
        self.run(Span(10));
    }

    /// Returns the record that the workers keep.
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// Returns the version in force on each daemon, sorted by daemon.
    pub fn versions(&self) -> Vec<(DaemonId, u64)> {
        self.daemons.iter().map(|d| (d.id().clone(), d.version().0)).collect()
    }

    /// Returns the states in the answers to a caller, in order.
    pub fn answered_states(&self, caller: usize) -> Vec<JobState> {
        self.callers[caller].answers.iter().map(|received| received.answer.state).collect()
    }

    /// Returns the time that each release note of the first operator took to be in force.
    pub fn settle_times(&self) -> &[Span] {
        &self.operators[0].settle_times
    }

    /// Returns the calls that the store has counted.
    pub fn store_counts(&self) -> CallCounts {
        self.store.store.counts()
    }

    /// Returns the time for which a gang may run partially. The bound is lower for a gang that was
    /// never complete.
    fn partial_bound(&self, partial: &PartialGang) -> Span {
        let runs = self.record.runs_of(&partial.key);
        let own = runs.iter().filter(|run| run.task.attempt == partial.attempt);
        match own.count() < usize::from(partial.gang) {
            true => partial_gang_time_max(&self.layout.timing),
            false => broken_gang_time_max(&self.layout.timing),
        }
    }

    fn restarted(&self) -> usize {
        let twice = |c: &&Caller| self.record.attempts(&c.key()).len() > 1;
        self.callers.iter().filter(twice).count()
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Tick { daemon, incarnation } => self.tick(daemon, incarnation),
            Event::Send { daemon, incarnation, output, since } => {
                self.send(daemon, incarnation, *output, since);
            }
            Event::Arrive { daemon, incarnation, input } => {
                self.arrive(daemon, incarnation, *input);
            }
            Event::Store { daemon, incarnation, call, request } => {
                self.handle_store_call(daemon, incarnation, call, &request);
            }
            Event::Worker { daemon, incarnation, call, worker, batch } => {
                self.handle_worker_call(daemon, incarnation, call, worker, &batch);
            }
            Event::Hosts { daemon, incarnation, call, after } => {
                self.handle_hosts_call(daemon, incarnation, call, after);
            }
            Event::Caller { caller, turn } => self.caller_turn(caller, turn),
            Event::Operator(i) => self.operator_turn(i),
            Event::OperatorGivesUp(i, token) => self.operator_gives_up(i, token),
            Event::StopNext(daemon) => self.stop_next(daemon),
            Event::Fault(fault) => self.apply_fault(fault),
            Event::Housekeeping => self.housekeeping(),
        }
    }

    fn tick(&mut self, daemon: usize, incarnation: u64) {
        if self.daemons[daemon].incarnation != incarnation || !self.daemons[daemon].is_up() {
            return;
        }
        self.deliver(daemon, Input::Tick);
        self.timeline.schedule(TICK_INTERVAL, Event::Tick { daemon, incarnation });
    }

    fn housekeeping(&mut self) {
        let now = self.timeline.now();
        for worker in &mut self.workers {
            if worker.mode() != WorkerMode::Dead {
                worker.advance(now);
            }
        }
        self.answer_watches();
        self.check_starts();
        self.check_bounds();
        self.poll_readiness();
        self.timeline.schedule(HOUSEKEEPING_INTERVAL, Event::Housekeeping);
    }

    /// Updates the balancer's list of ready daemons, which lags by up to its poll interval.
    fn poll_readiness(&mut self) {
        let now = self.timeline.now();
        if now < self.next_poll {
            return;
        }
        self.next_poll = now + BALANCER_INTERVAL;
        self.ready_daemons =
            (0..self.daemons.len()).filter(|i| self.daemons[*i].is_ready()).collect();
    }

    fn domain_of(&self, worker: &WorkerId) -> DomainId {
        let index = self.worker(worker).expect("a run is on a worker of the layout");
        self.workers[index].host().domain.clone()
    }

    fn worker(&self, id: &WorkerId) -> Option<usize> {
        self.workers.binary_search_by(|w| w.id().cmp(id)).ok()
    }

    fn daemon(&self, id: &DaemonId) -> Option<usize> {
        self.daemons.binary_search_by(|d| d.id().cmp(id)).ok()
    }

    fn add_trace(&mut self, text: String) {
        if self.trace.len() == TRACE_LINES_MAX {
            self.trace.pop_front();
        }
        let at = self.timeline.now();
        self.trace.push_back(format!("{at} {text}"));
    }

    fn add_violation(&mut self, text: String) {
        self.add_trace(format!("VIOLATION {text}"));
        if self.violation_trace.is_empty() {
            self.violation_trace = self.trace.iter().cloned().collect();
        }
        self.violations.push(Violation { at: self.timeline.now(), text });
    }
}
