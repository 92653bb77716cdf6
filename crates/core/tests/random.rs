//! Long runs of random events, with duplicates, delays and losses. The simulation checks every
//! action of the scheduler, and the scheduler asserts its own invariants after every decision.

mod table;

use bulrushlink_core::{
    AcceleratorSet, Adjacency, Event, JobSpec, Service, Shape, Span, Urgency, WorkspaceShare,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use table::{Faults, Simulation, shape, spec, workspace};

const WORKER_COUNT: usize = 12;
const WORKERS_PER_RACK: usize = 4;
/// Time within which all jobs end once no more faults are injected.
const SETTLE_TIME: Span = Span::from_secs(24 * 3600);

const SHAPES: [Shape; 8] = [
    shape_of(1, 1, Adjacency::Domain),
    shape_of(1, 2, Adjacency::Worker),
    shape_of(1, 4, Adjacency::Domain),
    shape_of(1, 8, Adjacency::Worker),
    shape_of(2, 8, Adjacency::Rack),
    shape_of(3, 4, Adjacency::Domain),
    shape_of(2, 3, Adjacency::Worker),
    shape_of(1, 0, Adjacency::Domain),
];

const fn shape_of(tasks: u16, accelerators: u8, adjacency: Adjacency) -> Shape {
    Shape { tasks, accelerators, adjacency }
}

/// A random job.
#[derive(Clone, Debug)]
struct Job {
    workspace: usize,
    /// Index into [`SHAPES`].
    shape: usize,
    /// Index into the urgencies of [`job_spec`].
    urgency: u8,
    idempotent: bool,
    checkpoint: bool,
    run_secs: u64,
    declared_secs: u64,
    deadline_secs: Option<u64>,
    always_fails: bool,
}

/// A random step of a run. Indexes are those of workers, or of jobs in order of submission.
#[derive(Clone, Debug)]
enum Op {
    Submit(Job),
    Cancel(usize),
    /// Delivers the submission of a job again.
    Resubmit(usize),
    /// Advances the time by this many milliseconds.
    Advance(u64),
    LoseWorker(usize),
    JoinWorker(usize),
    LeaveWorker(usize),
    SetService(bool),
    /// Variant of [`workspace_shares`].
    SetGuarantees(usize),
    /// Worker, further busy positions, age of the report in milliseconds.
    ReportUsage(usize, u8, u64),
    /// Makes all attempts on a worker fail, or ends that.
    SetBroken(usize, bool),
    /// Order of what the new scheduler learns, see [`Simulation::replace_scheduler`].
    ReplaceScheduler(u8),
}

fn any_job() -> impl Strategy<Value = Job> {
    (
        (0..3usize, 0..SHAPES.len(), 0..4u8, any::<bool>(), any::<bool>()),
        (1..400u64, 1..900u64, proptest::option::of(1..600u64), 0..20u8),
    )
        .prop_map(|((workspace, shape, urgency, idempotent, checkpoint), rest)| Job {
            workspace,
            shape,
            urgency,
            idempotent,
            checkpoint,
            run_secs: rest.0,
            declared_secs: rest.1,
            deadline_secs: rest.2,
            always_fails: rest.3 == 0,
        })
}

fn any_op() -> impl Strategy<Value = Op> {
    prop_oneof![
        12 => any_job().prop_map(Op::Submit),
        2 => (0..200usize).prop_map(Op::Cancel),
        1 => (0..200usize).prop_map(Op::Resubmit),
        10 => (1..30_000u64).prop_map(Op::Advance),
        1 => (1..600_000u64).prop_map(Op::Advance),
        1 => (0..WORKER_COUNT).prop_map(Op::LoseWorker),
        2 => (0..WORKER_COUNT).prop_map(Op::JoinWorker),
        1 => (0..WORKER_COUNT).prop_map(Op::LeaveWorker),
        1 => proptest::bool::weighted(0.8).prop_map(Op::SetService),
        1 => (0..4usize).prop_map(Op::SetGuarantees),
        2 => (0..WORKER_COUNT, any::<u8>(), 0..20_000u64)
            .prop_map(|(i, bits, age)| Op::ReportUsage(i, bits, age)),
        1 => (0..WORKER_COUNT, any::<bool>()).prop_map(|(i, broken)| Op::SetBroken(i, broken)),
        1 => (0..6u8).prop_map(Op::ReplaceScheduler),
    ]
}

fn workspace_shares(variant: usize) -> Vec<WorkspaceShare> {
    let eight = shape(1, 8, Adjacency::Worker);
    let gang = shape(2, 8, Adjacency::Rack);
    let four = shape(1, 4, Adjacency::Domain);
    match variant {
        0 => vec![workspace("s0", &[]), workspace("s1", &[]), workspace("s2", &[])],
        1 => vec![workspace("s0", &[(eight, 2)]), workspace("s1", &[(gang, 1)])],
        2 => vec![
            workspace("s0", &[(eight, 1), (gang, 1)]),
            workspace("s1", &[(four, 3), (shape(2, 3, Adjacency::Worker), 1)]),
            workspace("s2", &[]),
        ],
        _ => vec![
            workspace("s0", &[(shape(3, 4, Adjacency::Domain), 1)]),
            workspace("s1", &[(four, 2), (eight, 2)]),
            workspace("s2", &[(shape(1, 1, Adjacency::Domain), 4)]),
        ],
    }
}

fn job_spec(job: &Job, i: usize) -> JobSpec {
    let mut spec = spec(&format!("s{}", job.workspace), &format!("j{i}"), SHAPES[job.shape]);
    spec.kind = format!("k{}", job.shape % 3).parse().unwrap();
    spec.urgency = [Urgency::Normal, Urgency::Normal, Urgency::Batch, Urgency::Urgent]
        [usize::from(job.urgency)];
    spec.idempotent = job.idempotent;
    spec.checkpoint = job.checkpoint;
    spec.declared = Span::from_secs(job.declared_secs);
    spec.deadline = job.deadline_secs.map(Span::from_secs);
    spec
}

fn apply(sim: &mut Simulation, op: &Op, job_count: &mut usize) {
    match op {
        Op::Submit(job) => {
            *job_count += 1;
            let spec = job_spec(job, *job_count);
            sim.submit_with(spec, Span::from_secs(job.run_secs), job.always_fails);
        }
        Op::Cancel(i) => {
            if let Some(record) = sim.records.get(*i) {
                let key = record.spec.key.clone();
                sim.deliver(Event::Cancel(key));
            }
        }
        Op::Resubmit(i) => {
            let unfinished = |r: &&table::Record| r.ended.is_none() && !r.handed_over;
            if let Some(record) = sim.records.get(*i).filter(unfinished) {
                let (spec, attempt) = (record.spec.clone(), record.attempt);
                sim.deliver(Event::Submit { spec, attempt, used: attempt, age: Span::ZERO });
            }
        }
        Op::Advance(ms) => sim.advance(Span(*ms)),
        Op::LoseWorker(i) if sim.workers[*i].1 => sim.lose_worker(*i),
        Op::JoinWorker(i) => sim.join_worker(*i),
        Op::LeaveWorker(i) if sim.workers[*i].1 => sim.leave_worker(*i),
        Op::SetService(is_in) => {
            sim.set_service(if *is_in { Service::In } else { Service::Out });
        }
        Op::SetGuarantees(variant) => {
            sim.share.workspaces = workspace_shares(*variant);
            let service = sim.share.service;
            sim.set_service(service);
        }
        Op::ReportUsage(i, bits, age) if sim.workers[*i].1 => {
            let bits = if bits % 4 == 0 { u64::from(*bits) } else { 0 };
            sim.report_usage(*i, AcceleratorSet(bits), Span(*age));
        }
        Op::SetBroken(i, broken) => {
            let id = table::worker_id(*i);
            sim.broken.retain(|b| *b != id);
            if *broken && sim.broken.len() < 2 {
                sim.broken.push(id);
            }
        }
        Op::ReplaceScheduler(order) => sim.replace_scheduler(*order),
        Op::LoseWorker(_) | Op::LeaveWorker(_) | Op::ReportUsage(..) => {}
    }
}

/// Stops all faults, brings all workers back and checks that every job ends.
fn settle(sim: &mut Simulation) {
    sim.faults = Faults::default();
    sim.broken.clear();
    for i in 0..WORKER_COUNT {
        sim.join_worker(i);
    }
    sim.set_service(Service::In);
    sim.advance(SETTLE_TIME);
    for record in &sim.records {
        let ended = record.ended.is_some() || record.handed_over;
        let why = sim.sched.why(&record.spec.key);
        assert!(ended, "{:?} doesn't end within 24 h: {why:?}", record.spec);
    }
    assert!(sim.live.is_empty(), "attempts still run: {:?}", sim.live);
    assert_eq!(sim.sched.degraded(), Vec::new(), "guarantees fall short on healthy hardware");
    let load = sim.sched.load();
    assert_eq!((load.waiting, load.queued), (0, 0));
}

fn run(cases: u32, faults: Faults) {
    let config =
        Config { cases, failure_persistence: None, max_shrink_iters: 2000, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let input = (any::<u64>(), proptest::collection::vec(any_op(), 1..400));
    let result = runner.run(&input, |(seed, ops)| {
        let mut sim = Simulation::new(seed, WORKER_COUNT, WORKERS_PER_RACK, workspace_shares(2));
        sim.faults = faults;
        let mut job_count = 0;
        for op in &ops {
            apply(&mut sim, op, &mut job_count);
        }
        settle(&mut sim);
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

#[test]
fn jobs_end_when_only_workers_fail() {
    run(1000, Faults::default());
}

#[test]
fn jobs_end_when_events_are_delayed_and_duplicated() {
    run(1000, Faults { duplicated: 5, delay_ms: 8_000, ..Faults::default() });
}

#[test]
fn jobs_end_when_starts_attempts_and_stops_fail() {
    let faults =
        Faults { start_fails: 6, run_fails: 8, stop_lost: 4, duplicated: 10, delay_ms: 3_000 };
    run(1000, faults);
}
