//! Workers whose capacity changes between the decision, the commit and the start.

use bulrushlink_core::{Moment, Span};

use super::job::Job;
use super::jobs::Jobs;
use super::worker::{HoldCall, Phase, Slot, Worker};
use super::{Context, Placer, Stage};
use crate::activity::Activity;
use crate::catalog::{Allotment, Catalog, Limits, Queue, Workspace};
use crate::edge::{
    Clock, Output, RunReport, StoreOp, StoreReply, WorkerEntry, WorkerOp, WorkerReply, WorkerState,
};
use crate::ids::{Boot, Epoch, JobId, Rev, Run, TaskId};
use crate::model::{JobSpec, Resources, Step};
use crate::record::{CrashEvidence, CrashRecord, Item, JobRecord, StateRecord, encode, keys};
use crate::settings::{Bounds, Features};

mod backlog;
mod begun;
mod ceilings;
mod endpoints;
mod forecasts;
mod held;
mod large_jobs;
mod odd_entries;
mod preemption;
mod reboots;
mod shares;
mod silent;
mod snapshot;
mod times;
mod withheld;

const BOUNDS: Bounds = Bounds {
    revoke_ms: 5_000,
    drain_ms: 2_000,
    lease_max_ms: 6_000,
    stop_ms: 900,
    gang_ms: 3_000,
    grace_s: 6,
    status_s: 120,
    remote_factor: 3.0,
    reclaim_ms: 3_400,
};

impl Jobs {
    fn push(&mut self, job: Job) {
        self.insert(self.len(), job);
    }

    fn clear(&mut self) {
        self.retain(|_| false);
    }
}

fn accelerators(accelerators: u64) -> Resources {
    Resources { cpu: 32_000, memory: 65_536, accelerators }
}

fn entry(number: u64, born: u64, capacity: Resources) -> WorkerEntry {
    WorkerEntry {
        id: format!("i-{number:02}").parse().expect("valid name"),
        born,
        endpoint: "dispatch".to_string(),
        addr: ([127, 0, 0, 1], 8_000).into(),
        domain: "east".parse().expect("valid name"),
        state: WorkerState::Ready,
        notice: None,
        capacity,
        labels: Vec::new(),
        rack: None,
    }
}

fn queue(priority: u32) -> Queue {
    Queue {
        name: format!("queue-{priority}"),
        host: "jobs.example".to_string(),
        prefix: format!("/queue-{priority}/"),
        endpoint: "dispatch".to_string(),
        priority,
        attempts: 2,
        stretch: 3.0,
        target: Span(1_000),
        anonymous: false,
        advised: false,
    }
}

fn step(tasks: u32, gang: bool, accelerators: u64) -> Step {
    Step {
        tasks,
        need: Resources { cpu: 1_000, memory: 1_024, accelerators },
        estimate: Span(60_000),
        after: Vec::new(),
        gang,
        one_rack: false,
        label: None,
        near: None,
        per_worker: None,
        saves: false,
        copies: false,
        endless: false,
    }
}

/// A placer with workers that have answered a hold, and without the rest of the node.
struct Bench {
    placer: Placer,
    catalog: Catalog,
    features: Features,
    extends_leases: bool,
    job_memory: u64,
    now: Moment,
    activity: Activity,
    out: Vec<Output>,
}

impl Bench {
    /// Opens a placer with one worker for each of the capacities.
    fn open(capacities: &[Resources]) -> Self {
        let now = Moment(10_000);
        let mut placer = Placer::open(Epoch(5), now);
        placer.stage = Stage::Active;
        for (number, capacity) in (0..).zip(capacities) {
            let entry = entry(number, 1, *capacity);
            let boot = Boot { worker: entry.id.clone(), born: 1 };
            let mut worker = Worker::new(boot, 1, Some(entry), now);
            (worker.fenced, worker.clock) = (true, Some((0, now)));
            placer.workers.push(worker);
        }
        let workspace = Workspace {
            name: "north".parse().expect("valid name"),
            keys: Vec::new(),
            guaranteed: 64,
            allotment: Some(Allotment::default()),
        };
        let limits = Limits { head: 1, body: 1, head_time: Span(1), idle_time: Span(1) };
        let (version, rev) = (1, Rev(1));
        let queues = vec![queue(0), queue(1)];
        let catalog =
            Catalog { version, rev, size: 500, queues, workspaces: vec![workspace], limits };
        let features = Features::default();
        let activity = Activity::default();
        let out = Vec::new();
        let (extends_leases, job_memory) = (true, u64::MAX);
        let mut bench =
            Self { placer, catalog, features, extends_leases, job_memory, now, activity, out };
        bench.show(capacities.iter().map(|c| (1, *c)).collect());
        bench
    }

    fn with<T>(&mut self, f: impl FnOnce(&mut Placer, &mut Context<'_>) -> T) -> T {
        let mut ctx = Context {
            clock: Clock { now: self.now, wall: 1_800_000_000_000 + self.now.0 },
            bounds: &BOUNDS,
            features: self.features,
            catalog: Some(&self.catalog),
            view_fresh: true,
            evacuated: &[],
            holds_lease: true,
            extends_leases: self.extends_leases,
            lease: None,
            job_memory: self.job_memory,
            strong_host: true,
            activity: &self.activity,
            out: &mut self.out,
        };
        f(&mut self.placer, &mut ctx)
    }

    fn add_job(&mut self, id: u64, priority: u32, step: Step) {
        self.add_spec(
            id,
            priority,
            JobSpec { text: String::new(), steps: vec![step], schedule: None },
        );
    }

    fn add_spec(&mut self, id: u64, priority: u32, spec: JobSpec) {
        let workspace = Some("north".parse().expect("valid name"));
        let record =
            JobRecord { spec, queue: queue(priority), workspace: workspace.clone(), accepted: 0 };
        let state = StateRecord { workspace, ..StateRecord::default() };
        self.placer.jobs.push(Job::new(JobId(id), record, state, Rev(1), self.now));
        self.placer.stale = true;
    }

    /// Lets the placer read the entries of all workers: the boot and the capacity of each.
    fn show(&mut self, workers: Vec<(u64, Resources)>) {
        let entries = (0..).zip(workers).map(|(n, (born, capacity))| entry(n, born, capacity));
        self.list(entries.collect());
    }

    /// Lets the placer read these entries.
    fn list(&mut self, entries: Vec<WorkerEntry>) {
        let reply = Ok(StoreReply::Workers(entries, 0));
        let now = self.now;
        self.placer.reading.under_way = Some((now.0, now));
        self.with(|p, ctx| p.workers_read(ctx, now.0, reply));
    }

    /// Lets a worker answer a hold that was sent at `sent`, at `clock` on its clock.
    fn report(&mut self, worker: usize, sent: Moment, clock: u64, running: Vec<RunReport>) {
        let lists = WorkerReply::Lists { born: Some(1), running, ended: Vec::new() };
        self.answer_hold(worker, sent, Some(clock), lists);
    }

    fn answer_hold(&mut self, at: usize, sent: Moment, clock: Option<u64>, reply: WorkerReply) {
        let id = self.placer.workers[at].id().clone();
        let hold = HoldCall { ordinal: 1, sent, wait: Span::ZERO, acked: 0, earlier: 0, grant: 0 };
        self.placer.workers[at].hold = Some(hold);
        self.with(|p, ctx| p.hold_answered(ctx, &id, 1, clock, Ok(reply)));
    }

    /// Lets the placer decide.
    fn pass(&mut self) {
        self.now += Span(10);
        self.placer.stale = true;
        self.with(|p, ctx| p.pass(ctx));
    }

    /// Lets all commits in flight succeed, in order, and returns the starts that were sent then.
    fn commit(&mut self) -> Vec<TaskId> {
        let flights: Vec<u64> = self.placer.flights.iter().map(|f| f.ordinal).collect();
        self.out.clear();
        for ordinal in flights {
            let reply = Ok(StoreReply::Committed(Rev(2)));
            let sent = self.sent_starts().len();
            self.with(|p, ctx| p.commit_answered(ctx, ordinal, reply));
            for task in &self.sent_starts()[sent..] {
                self.assert_room_for(task);
            }
        }
        self.sent_starts()
    }

    /// Asserts that a start that was just sent has not brought its worker over its capacity.
    fn assert_room_for(&self, task: &TaskId) {
        let here = |w: &&Worker| w.slots.iter().any(|s| s.task == *task);
        let worker = self.placer.workers.iter().find(here).expect("the start has a slot");
        let sent = worker.slots.iter().filter(|s| !matches!(s.phase, Phase::Planned(_)));
        let used = sent.fold(Resources::default(), |sum, s| sum.plus(&s.need));
        assert!(worker.capacity().fits(&used), "{task}: {used:?} of {:?}", worker.capacity());
    }

    fn sent_starts(&self) -> Vec<TaskId> {
        let start = |output: &Output| match output {
            Output::Worker(_, call, _) => match call.op {
                WorkerOp::Start { task, .. } => Some(task),
                _ => None,
            },
            _ => None,
        };
        self.out.iter().filter_map(start).collect()
    }

    fn sent_commits(&self) -> usize {
        let commit = |o: &&Output| matches!(o, Output::Store(_, StoreOp::Commit(_), _));
        self.out.iter().filter(commit).count()
    }

    /// Returns how many runs are being stopped.
    fn closing(&self) -> usize {
        let closing = |s: &&Slot| matches!(s.phase, Phase::Closing { .. });
        self.placer.workers.iter().map(|w| w.slots.iter().filter(closing).count()).sum()
    }
}

fn task(job: u64, index: u32) -> TaskId {
    TaskId { job: JobId(job), round: 0, step: 0, index }
}

/// A worker shrank while the commit of a start was in flight, and the start was sent nevertheless.
#[test]
fn recorded_start_is_not_sent_to_a_worker_that_has_shrunk() {
    let full = accelerators(8);
    let smaller = [
        accelerators(2),
        accelerators(0),
        Resources { cpu: 999, ..full },
        Resources { memory: 1_023, ..full },
        Resources::default(),
    ];
    for shrunk in smaller {
        let mut bench = Bench::open(&[full]);
        bench.add_job(1, 1, step(1, false, 4));
        bench.pass();
        assert_eq!(bench.sent_commits(), 1);
        bench.show(vec![(1, shrunk)]);
        assert_eq!(bench.commit(), [], "{shrunk:?}");
        assert_eq!(bench.placer.workers[0].slots.len(), 0);
        // It starts once the worker has grown again.
        bench.pass();
        bench.commit();
        bench.show(vec![(1, full)]);
        bench.pass();
        assert_eq!(bench.commit(), [task(1, 0)], "{shrunk:?}");
    }
}

/// All members of a gang must be withheld if one of them has no room any more.
#[test]
fn gang_is_withheld_if_the_worker_of_one_member_has_shrunk() {
    let mut bench = Bench::open(&[accelerators(8), accelerators(8)]);
    bench.add_job(1, 1, step(2, true, 8));
    bench.pass();
    bench.show(vec![(1, accelerators(8)), (1, accelerators(7))]);
    assert_eq!(bench.commit(), []);
    assert!(bench.placer.workers.iter().all(|w| w.slots.is_empty()));
}

/// Of several recorded starts on a worker that has shrunk, those that still fit must be sent.
#[test]
fn recorded_starts_that_still_fit_are_sent() {
    let mut bench = Bench::open(&[accelerators(8)]);
    bench.add_job(1, 1, step(4, false, 2));
    bench.pass();
    bench.show(vec![(1, accelerators(5))]);
    assert_eq!(bench.commit(), [task(1, 0), task(1, 1)]);
    // The worker may have both, so nothing else may be sent although one accelerator is free.
    bench.pass();
    assert_eq!(bench.commit(), []);
}

/// What runs on a worker that has shrunk goes on, and nothing new starts there, whatever it needs,
/// until the runs fit again.
#[test]
fn worker_over_its_capacity_gets_no_start() {
    let mut bench = Bench::open(&[accelerators(8)]);
    bench.add_job(1, 1, step(1, false, 8));
    bench.pass();
    assert_eq!(bench.commit(), [task(1, 0)]);
    bench.show(vec![(1, accelerators(4))]);
    bench.add_job(2, 1, step(1, false, 0));
    bench.pass();
    // It must not even be planned, or it would be recorded and withheld again and again.
    assert_eq!(bench.sent_commits(), 0);
    assert_eq!((bench.commit(), bench.closing()), (vec![], 0));
    bench.show(vec![(1, accelerators(8))]);
    bench.pass();
    assert_eq!(bench.commit(), [task(2, 0)]);
}

/// Runs were stopped for a gang that still didn't fit on a worker that had shrunk: what the runs
/// took beyond its capacity counted as if it became free.
#[test]
fn runs_are_not_stopped_in_vain_on_a_worker_that_has_shrunk() {
    let mut bench = Bench::open(&[accelerators(8)]);
    bench.add_job(1, 1, step(2, false, 4));
    bench.pass();
    assert_eq!(bench.commit().len(), 2);
    bench.show(vec![(1, accelerators(3))]);
    // A job of priority 0 for which even an empty worker is too small.
    bench.add_job(2, 0, step(1, true, 4));
    bench.pass();
    assert_eq!(bench.closing(), 0);
    // One for which both runs have to go.
    bench.add_job(3, 0, step(1, true, 3));
    bench.pass();
    assert_eq!(bench.closing(), 2);
}

/// A claim kept its gang waiting although the worker had shrunk below it; the gang must get another
/// place at once.
#[test]
fn claim_on_a_worker_that_has_shrunk_is_dropped() {
    let mut bench = Bench::open(&[accelerators(8), accelerators(8)]);
    bench.add_job(1, 1, step(2, false, 8));
    bench.pass();
    assert_eq!(bench.commit().len(), 2);
    bench.add_job(2, 0, step(1, true, 6));
    bench.pass();
    assert_eq!(bench.placer.claims.len(), 1);
    let claimed = bench.placer.claims[0].workers().next().cloned();
    let shown = |b: &Bench, n: usize| match claimed.as_ref() == Some(b.placer.workers[n].id()) {
        true => (1, accelerators(4)),
        false => (1, accelerators(8)),
    };
    bench.show(vec![shown(&bench, 0), shown(&bench, 1)]);
    assert_eq!(bench.placer.claims, []);
    bench.pass();
    let moved = bench.placer.claims[0].workers().next().cloned();
    assert!(moved.is_some() && moved != claimed, "{moved:?}");
}

/// A claim must survive a change of the capacity that leaves room for it.
#[test]
fn claim_survives_a_change_that_leaves_room_for_it() {
    let mut bench = Bench::open(&[accelerators(8)]);
    bench.add_job(1, 1, step(1, false, 8));
    bench.pass();
    bench.commit();
    bench.add_job(2, 0, step(1, true, 6));
    bench.pass();
    for accelerators in [accelerators(6), accelerators(7), accelerators(9)] {
        bench.show(vec![(1, accelerators)]);
        bench.pass();
        assert_eq!(bench.placer.claims.len(), 1);
    }
}

/// The first boot's entry counted for a later boot that had been learned from a reply, and that may
/// be of another kind, until the entries were read again.
#[test]
fn new_boot_gets_no_start_before_its_own_entry() {
    let mut bench = Bench::open(&[accelerators(8)]);
    bench.with(|p, ctx| p.handle_reboot(ctx, 0, 2));
    bench.placer.workers[0].fenced = true;
    bench.placer.workers[0].clock = Some((0, bench.now));
    bench.add_job(1, 1, step(1, false, 8));
    bench.pass();
    bench.show(vec![(1, accelerators(8))]);
    bench.pass();
    assert_eq!(bench.commit(), []);
    bench.show(vec![(2, accelerators(4))]);
    bench.add_job(2, 1, step(1, false, 4));
    bench.pass();
    assert_eq!(bench.commit(), [task(2, 0)]);
}

/// Capacities that change all the time, to nothing and to absurd values, with claims and gangs under
/// way, must not take the placer down.
#[test]
fn capacities_that_change_all_the_time_do_no_harm() {
    let mut random = fastrand::Rng::with_seed(26);
    let mut bench = Bench::open(&[accelerators(8); 4]);
    for id in 1..200 {
        let tasks = random.u32(1..5);
        bench.add_job(id, random.u32(0..2), step(tasks, random.bool(), random.u64(0..9)));
        bench.pass();
        if random.bool() {
            bench.commit();
        }
        let mut draw = |_| match random.u8(..8) {
            0 => (1, Resources::default()),
            1 => (1, Resources { cpu: u64::MAX, memory: u64::MAX, accelerators: u64::MAX }),
            _ => (1, accelerators(random.u64(0..12))),
        };
        let shown: Vec<(u64, Resources)> = (0..4).map(&mut draw).collect();
        bench.show(shown);
        for worker in &mut bench.placer.workers {
            if random.u8(..8) == 0 {
                // All runs end at once.
                worker.slots.take();
            }
            let slots = worker.slots.iter().fold(Resources::default(), |s, r| s.plus(&r.need));
            assert_eq!(worker.slots.used(), slots);
        }
    }
}

/// Returns what is recorded of a task under which workers have crashed at the given ages.
fn crash_record(ages: &[u64], early: bool) -> CrashRecord {
    let crash = |age: &u64| CrashEvidence {
        confirmed: true,
        early,
        unambiguous: false,
        age: Some((*age, *age)),
    };
    let crashes = ages.iter().map(crash).collect();
    CrashRecord { crashes, counted: Run(1), ..CrashRecord::new(0, 0, 0) }
}

/// A new placer gave up a job while it restored the runs, and put the job's later runs on their
/// workers afterwards. They were never stopped, and endless ones held their capacity for good. The crash counts once
/// the next boot of the worker has reported that it doesn't have the run.
#[test]
fn runs_of_a_job_that_is_given_up_at_a_takeover_are_stopped() {
    let mut bench = Bench::open(&[accelerators(8), accelerators(8)]);
    bench.add_job(1, 1, Step { endless: true, ..step(2, false, 4) });
    let mut job = bench.placer.jobs[0].clone();
    job.open_rounds(1_800_000_000_000, u64::MAX);
    let boot = |number: u64, born| Boot { worker: entry(number, 1, accelerators(8)).id, born };
    // The first worker has crashed and booted again under the third run of the deadly task.
    job.plan_start(&task(1, 0), Run(3), boot(0, 0));
    job.plan_start(&task(1, 1), Run(1), boot(1, 1));
    job.state.crashes = vec![crash_record(&[1_500, 1_500], false)];
    let value = encode(&job.state).expect("the state can be encoded");
    let item = Item { key: keys::state(JobId(1)), value, rev: Rev(2) };
    bench.placer.stage = Stage::States;
    bench.with(|p, ctx| p.states_page_read(ctx, Ok(StoreReply::Page(vec![item], false, Rev(2)))));
    assert!(!bench.placer.jobs[0].is_over());
    bench.now += Span(10);
    let now = bench.now;
    bench.report(0, now, 10, Vec::new());
    assert!(bench.placer.jobs[0].is_over());

    let report = RunReport { task: task(1, 1), run: Run(1), saved: String::new(), percent: 100 };
    bench.now += Span(10);
    let now = bench.now;
    bench.report(1, now, 10, vec![report]);
    bench.pass();
    assert_eq!(bench.closing(), 1);
    let slots = bench.placer.workers.iter().map(|w| w.slots.len());
    assert_eq!(slots.collect::<Vec<_>>(), [0, 1]);
}

/// A suspected task got a worker without other runs, and the same placement put other jobs' runs
/// beside it, which the next crash took along.
#[test]
fn suspected_task_gets_no_neighbours_from_the_same_placement() {
    let mut bench = Bench::open(&[accelerators(8)]);
    bench.add_job(1, 0, step(1, false, 1));
    bench.add_job(2, 1, step(1, false, 1));
    bench.placer.jobs[0].state.crashes = vec![crash_record(&[20], true)];
    bench.placer.jobs[0].isolate_until = bench.now + Span(2_000);
    bench.pass();
    assert_eq!(bench.commit(), [task(1, 0)]);
}

/// Crashes weren't counted if a read of the registered workers took longer than half a second: the
/// latest one that showed the worker as ready was then too old.
#[test]
fn crash_counts_if_reads_of_the_workers_are_slow() {
    let mut bench = Bench::open(&[accelerators(8)]);
    bench.add_job(1, 1, step(1, false, 1));
    // The read that lists the worker took 600 ms, and the next one is under way for 500 ms.
    bench.now += Span(1_100);
    bench.placer.reading.under_way = Some((1, bench.now - Span(500)));
    bench.pass();
    assert_eq!(bench.commit(), [task(1, 0)]);
    bench.now += Span(20);
    let at = bench.now;
    bench.with(|p, ctx| {
        p.record_loss(0, at, true);
        p.count_worker_crash(ctx, 0);
    });
    assert_eq!(bench.placer.jobs[0].state.crashes.len(), 1);
}
