//! The run itself: it moves virtual time on and hands each event to the party it is for.

use bulrushlink_api::{JobState, OperatorCall, Revision, StoreRequest, WorkerBatch};
use bulrushlink_core::{DaemonId, DomainId, Moment, Span, Urgency, WorkerId};
use bulrushlink_daemon::{CallId, Input, Output, Token, broken_gang_bound, partial_gang_bound};
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
use crate::platform::StoreHost;
use crate::timeline::Timeline;

mod edges;
mod faults;
mod many;
mod people;
mod promises;

use promises::Watcher;

/// Time between two looks at a daemon's timers; a little more than the period of its tick, so that
/// each look finds that one due.
const TICK: Span = Span(101);
/// Time between two looks at workers, watches and promises.
const HOUSEKEEPING: Span = Span(50);
/// Time between two looks of the balancer at the daemons' readiness.
const BALANCER_PERIOD: Span = Span(1_000);
/// Latency between two hosts.
const LATENCY: Span = Span(1);
/// Events that a report of a violation shows.
const TRACE_EVENTS: usize = 12_000;

/// An event of the run.
#[derive(Debug)]
pub(crate) enum Step {
    /// A daemon's timer.
    Tick { daemon: usize, incarnation: u64 },
    /// An output leaves its daemon.
    Send { daemon: usize, incarnation: u64, output: Box<Output>, since: Moment },
    /// An input reaches a daemon; `incarnation` is `None` for what any process may take.
    Arrive { daemon: usize, incarnation: Option<u64>, input: Box<Input> },
    /// A call reaches the store.
    Store { daemon: usize, incarnation: u64, call: CallId, request: StoreRequest },
    /// A call reaches a worker.
    Worker { daemon: usize, incarnation: u64, call: CallId, worker: usize, batch: WorkerBatch },
    /// A call reaches the host list.
    Hosts { daemon: usize, incarnation: u64, call: CallId, after: Option<Revision> },
    /// A caller's turn.
    Caller { caller: usize, turn: Turn },
    /// An operator's turn.
    Operator(usize),
    /// An operator waits no longer for the answer to that token.
    OperatorGivesUp(usize, Token),
    /// A daemon of a row of graceful stops is stopped.
    StopNext(usize),
    /// Something goes wrong.
    Fault(Fault),
    /// Workers, watches and promises are looked at.
    Housekeeping,
}

/// A strike that waits for the next start of a gang in a domain.
#[derive(Clone, Debug)]
struct Armed {
    domain: DomainId,
    point: StartPoint,
    kills: bool,
}

/// A worker that is about to leave.
#[derive(Clone, Debug)]
struct Leaver {
    worker: WorkerId,
    since: Moment,
}

/// A run.
#[derive(Debug)]
pub struct Lab {
    layout: Layout,
    rng: Rng,
    timeline: Timeline<Step>,
    links: Links,
    store: StoreHost,
    hosts: HostTable,
    /// Sorted by worker.
    workers: Vec<WorkerSim>,
    record: Record,
    /// Sorted by daemon.
    daemons: Vec<Process>,
    /// Daemons that the balancer sends to, by index, as of its latest look.
    balanced: Vec<usize>,
    /// When the balancer looks again.
    balance_at: Moment,
    callers: Vec<Caller>,
    waiting: Vec<Waiting>,
    operators: Vec<Operator>,
    /// Points in the next start of a domain's gang at which its placer is struck.
    armed: Vec<Armed>,
    /// The daemon that started work in a domain last; sorted by domain.
    placers: Vec<(DomainId, usize)>,
    watcher: Watcher,
    leavers: Vec<Leaver>,
    tokens: u64,
    notes: u64,
    /// Runs of the record that have been checked.
    checked: usize,
    events: u64,
    trace: VecDeque<String>,
    /// The trace at the first violation.
    snapshot: Vec<String>,
    violations: Vec<Violation>,
}

impl Lab {
    /// Opens a deployment whose daemons all start at once, without any release note.
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
            store: StoreHost::open(),
            hosts,
            workers,
            record,
            balanced: Vec::new(),
            balance_at: now,
            daemons: settings.map(|settings| Process::new(settings, origin)).collect(),
            callers: Vec::new(),
            waiting: Vec::new(),
            operators: vec![Operator::default(), Operator::default()],
            armed: Vec::new(),
            placers: Vec::new(),
            watcher: Watcher::open(now),
            leavers: Vec::new(),
            tokens: 0,
            notes: 0,
            checked: 0,
            events: 0,
            trace: VecDeque::new(),
            snapshot: Vec::new(),
            violations: Vec::new(),
            layout,
        };
        for daemon in 0..lab.daemons.len() {
            lab.start(daemon);
        }
        lab.timeline.after(HOUSEKEEPING, Step::Housekeeping);
        lab
    }

    /// Returns the present moment.
    pub fn now(&self) -> Moment {
        self.timeline.now()
    }

    /// Lets the operator apply the first release note.
    pub fn apply_first_note(&mut self) {
        let note = self.layout.first_note();
        self.operators[0].want(note, None, self.timeline.now());
        self.timeline.after(Span(1), Step::Operator(0));
    }

    /// Sets the probabilities of faults of single messages.
    pub fn set_noise(&mut self, noise: Noise) {
        self.links.noise = noise;
    }

    /// Lets a caller submit a job after `delay`.
    pub fn submit_after(&mut self, delay: Span, plan: JobPlan) {
        let caller = self.callers.len();
        if let Some(cancel) = plan.cancel {
            self.timeline.after(delay + cancel, Step::Caller { caller, turn: Turn::Cancel });
        }
        self.callers.push(Caller::new(plan));
        self.timeline.after(delay, Step::Caller { caller, turn: Turn::Submit });
    }

    /// Lets callers submit `count` drawn jobs, spread over `length`.
    pub fn submit_drawn(&mut self, count: usize, length: Span) {
        for _ in 0..count {
            let plan = JobPlan::draw(self.callers.len(), &mut self.rng);
            let delay = Span(self.rng.u64(0..length.millis()));
            self.submit_after(delay, plan);
        }
    }

    /// Lets callers submit `count` jobs of guaranteed shapes, spread over `length`.
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

    /// Lets a fault strike after `delay`.
    pub fn fault_after(&mut self, delay: Span, fault: Fault) {
        self.timeline.after(delay, Step::Fault(fault));
    }

    /// Draws faults for the next `length`, each mended within it.
    pub fn draw_faults(&mut self, length: Span) {
        let plan = FaultPlan::draw(&self.layout, length, &mut self.rng);
        for (delay, fault) in plan.faults {
            self.fault_after(delay, fault);
        }
    }

    /// Mends everything: cuts, noise, store, daemons and workers.
    pub fn mend_all(&mut self) {
        self.links.mend();
        self.armed.clear();
        self.links.noise = Noise::default();
        self.strike(Fault::Store(crate::StoreMode::Up));
        for daemon in 0..self.daemons.len() {
            let id = self.daemons[daemon].id().clone();
            self.strike(Fault::Wake(id.clone()));
            self.strike(Fault::Start(id));
        }
        for worker in 0..self.workers.len() {
            let id = self.workers[worker].id().clone();
            self.strike(Fault::MendWorker(id.clone()));
            self.strike(Fault::KeepWorker(id));
        }
        for domain in self.layout.domain_ids() {
            self.strike(Fault::TakeBack(domain));
        }
    }

    /// Lets virtual time pass.
    pub fn run(&mut self, length: Span) {
        let end = self.timeline.now() + length;
        while let Some(step) = self.timeline.next(end) {
            self.events += 1;
            self.take(step);
        }
    }

    /// Checks what callers were told and returns the result of the run.
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
        let ended = |code| {
            let last = |c: &&Caller| c.told.last().is_some_and(|t| t.answer.state == code);
            self.callers.iter().filter(last).count()
        };
        Report {
            events: self.events,
            jobs: self.callers.len(),
            completed: ended(JobState::Completed),
            unknown: ended(JobState::Unknown),
            refused: ended(JobState::Refused),
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

    /// Returns the latest events up to the first violation, or up to now if there was none that
    /// was seen during the run, one line each.
    pub fn trace(&self) -> impl Iterator<Item = &str> {
        let latest = self.trace.iter().filter(|_| self.snapshot.is_empty());
        self.snapshot.iter().chain(latest).map(String::as_str)
    }

    /// Lets every daemon that is up add its dump to the trace.
    pub fn dump(&mut self) {
        for daemon in 0..self.daemons.len() {
            let token = self.token();
            self.feed(daemon, Input::Operator(token, OperatorCall::Dump));
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

    /// Returns the states that a caller was told of its job, in order.
    pub fn told(&self, caller: usize) -> Vec<JobState> {
        self.callers[caller].told.iter().map(|told| told.answer.state).collect()
    }

    /// Returns how long each settled release note took.
    pub fn settled(&self) -> &[Span] {
        &self.operators[0].settled
    }

    /// Returns the calls of the store that were counted.
    pub fn store_counts(&self) -> CallCounts {
        self.store.store.counts()
    }

    /// Returns how long a gang may run partially: a gang that was never whole ends sooner.
    fn partial_bound(&self, partial: &PartialGang) -> Span {
        let runs = self.record.runs_of(&partial.key);
        let own = runs.iter().filter(|run| run.task.attempt == partial.attempt);
        match own.count() < usize::from(partial.gang) {
            true => partial_gang_bound(&self.layout.timing),
            false => broken_gang_bound(&self.layout.timing),
        }
    }

    fn restarted(&self) -> usize {
        let twice = |c: &&Caller| self.record.attempts(&c.key()).len() > 1;
        self.callers.iter().filter(twice).count()
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Tick { daemon, incarnation } => self.tick(daemon, incarnation),
            Step::Send { daemon, incarnation, output, since } => {
                self.send(daemon, incarnation, *output, since);
            }
            Step::Arrive { daemon, incarnation, input } => {
                self.arrive(daemon, incarnation, *input);
            }
            Step::Store { daemon, incarnation, call, request } => {
                self.at_store(daemon, incarnation, call, &request);
            }
            Step::Worker { daemon, incarnation, call, worker, batch } => {
                self.at_worker(daemon, incarnation, call, worker, &batch);
            }
            Step::Hosts { daemon, incarnation, call, after } => {
                self.at_hosts(daemon, incarnation, call, after);
            }
            Step::Caller { caller, turn } => self.caller_turn(caller, turn),
            Step::Operator(i) => self.operator_turn(i),
            Step::OperatorGivesUp(i, token) => self.operator_gives_up(i, token),
            Step::StopNext(daemon) => self.stop_next(daemon),
            Step::Fault(fault) => self.strike(fault),
            Step::Housekeeping => self.housekeeping(),
        }
    }

    fn tick(&mut self, daemon: usize, incarnation: u64) {
        if self.daemons[daemon].incarnation != incarnation || !self.daemons[daemon].is_up() {
            return;
        }
        self.feed(daemon, Input::Tick);
        self.timeline.after(TICK, Step::Tick { daemon, incarnation });
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
        self.look_at_readiness();
        self.timeline.after(HOUSEKEEPING, Step::Housekeeping);
    }

    /// The platform's balancer sees a change of readiness late.
    fn look_at_readiness(&mut self) {
        let now = self.timeline.now();
        if now < self.balance_at {
            return;
        }
        self.balance_at = now + BALANCER_PERIOD;
        self.balanced = (0..self.daemons.len()).filter(|i| self.daemons[*i].is_ready()).collect();
    }

    fn domain_of(&self, worker: &WorkerId) -> DomainId {
        let index = self.worker(worker).expect("runs happen on known workers");
        self.workers[index].host().domain.clone()
    }

    fn worker(&self, id: &WorkerId) -> Option<usize> {
        self.workers.binary_search_by(|w| w.id().cmp(id)).ok()
    }

    fn daemon(&self, id: &DaemonId) -> Option<usize> {
        self.daemons.binary_search_by(|d| d.id().cmp(id)).ok()
    }

    fn note(&mut self, text: String) {
        if self.trace.len() == TRACE_EVENTS {
            self.trace.pop_front();
        }
        let at = self.timeline.now();
        self.trace.push_back(format!("{at} {text}"));
    }

    fn violate(&mut self, text: String) {
        self.note(format!("VIOLATION {text}"));
        if self.snapshot.is_empty() {
            self.snapshot = self.trace.iter().cloned().collect();
        }
        self.violations.push(Violation { at: self.timeline.now(), text });
    }
}
