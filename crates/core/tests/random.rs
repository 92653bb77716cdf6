//! Long runs of random events, with duplicates, delays and losses. The table of workers checks
//! every action; the scheduler asserts its own invariants after every decision.

mod table;

use bulrushlink_core::{
    AcceleratorSet, Adjacency, Event, JobSpec, Service, Shape, Span, Urgency, WorkspaceShare,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use table::{Faults, Table, shape, spec, workspace};

const WORKERS: usize = 12;
const RACK: usize = 4;
/// Time in which everything ends once nothing fails any more.
const SETTLE: Span = Span::from_secs(24 * 3600);

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

#[derive(Clone, Debug)]
struct Job {
    space: usize,
    shape: usize,
    urgency: u8,
    idempotent: bool,
    checkpoint: bool,
    run: u64,
    declared: u64,
    deadline: Option<u64>,
    bad: bool,
}

#[derive(Clone, Debug)]
enum Op {
    Submit(Job),
    Cancel(usize),
    Repeat(usize),
    Pass(u64),
    Lose(usize),
    Join(usize),
    Leave(usize),
    Service(bool),
    Guarantees(usize),
    Report(usize, u8, u64),
    Break(usize, bool),
    Replace(u8),
}

fn job() -> impl Strategy<Value = Job> {
    (
        (0..3usize, 0..SHAPES.len(), 0..4u8, any::<bool>(), any::<bool>()),
        (1..400u64, 1..900u64, proptest::option::of(1..600u64), 0..20u8),
    )
        .prop_map(|((space, shape, urgency, idempotent, checkpoint), rest)| Job {
            space,
            shape,
            urgency,
            idempotent,
            checkpoint,
            run: rest.0,
            declared: rest.1,
            deadline: rest.2,
            bad: rest.3 == 0,
        })
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        12 => job().prop_map(Op::Submit),
        2 => (0..200usize).prop_map(Op::Cancel),
        1 => (0..200usize).prop_map(Op::Repeat),
        10 => (1..30_000u64).prop_map(Op::Pass),
        1 => (1..600_000u64).prop_map(Op::Pass),
        1 => (0..WORKERS).prop_map(Op::Lose),
        2 => (0..WORKERS).prop_map(Op::Join),
        1 => (0..WORKERS).prop_map(Op::Leave),
        1 => proptest::bool::weighted(0.8).prop_map(Op::Service),
        1 => (0..4usize).prop_map(Op::Guarantees),
        2 => (0..WORKERS, any::<u8>(), 0..20_000u64).prop_map(|(i, b, age)| Op::Report(i, b, age)),
        1 => (0..WORKERS, any::<bool>()).prop_map(|(i, b)| Op::Break(i, b)),
        1 => (0..6u8).prop_map(Op::Replace),
    ]
}

fn guarantees(variant: usize) -> Vec<WorkspaceShare> {
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
    let mut spec = spec(&format!("s{}", job.space), &format!("j{i}"), SHAPES[job.shape]);
    spec.kind = format!("k{}", job.shape % 3).parse().unwrap();
    spec.urgency = [Urgency::Normal, Urgency::Normal, Urgency::Batch, Urgency::Urgent]
        [usize::from(job.urgency)];
    spec.idempotent = job.idempotent;
    spec.checkpoint = job.checkpoint;
    spec.declared = Span::from_secs(job.declared);
    spec.deadline = job.deadline.map(Span::from_secs);
    spec
}

fn apply(table: &mut Table, op: &Op, jobs: &mut usize) {
    match op {
        Op::Submit(job) => {
            *jobs += 1;
            let spec = job_spec(job, *jobs);
            table.submit_as(spec, Span::from_secs(job.run), job.bad);
        }
        Op::Cancel(i) => {
            if let Some(record) = table.records.get(*i) {
                let key = record.spec.key.clone();
                table.tell(Event::Cancel(key));
            }
        }
        Op::Repeat(i) => {
            let open = |r: &&table::Record| r.ended.is_none() && !r.handed;
            if let Some(record) = table.records.get(*i).filter(open) {
                let (spec, attempt) = (record.spec.clone(), record.attempt);
                table.tell(Event::Submit { spec, attempt, used: attempt, age: Span::ZERO });
            }
        }
        Op::Pass(ms) => table.advance(Span(*ms)),
        Op::Lose(i) if table.workers[*i].1 => table.lose(*i),
        Op::Join(i) => table.join(*i),
        Op::Leave(i) if table.workers[*i].1 => table.leave(*i),
        Op::Service(is_in) => {
            table.service(if *is_in { Service::In } else { Service::Out });
        }
        Op::Guarantees(variant) => {
            table.share.workspaces = guarantees(*variant);
            let service = table.share.service;
            table.service(service);
        }
        Op::Report(i, bits, age) if table.workers[*i].1 => {
            let bits = if bits % 4 == 0 { u64::from(*bits) } else { 0 };
            table.report(*i, AcceleratorSet(bits), Span(*age));
        }
        Op::Break(i, broken) => {
            let id = table::worker_id(*i);
            table.broken.retain(|b| *b != id);
            if *broken && table.broken.len() < 2 {
                table.broken.push(id);
            }
        }
        Op::Replace(order) => table.replace(*order),
        Op::Lose(_) | Op::Leave(_) | Op::Report(..) => {}
    }
}

/// Ends all faults and lets everything come to its end.
fn settle(table: &mut Table) {
    table.faults = Faults::default();
    table.broken.clear();
    for i in 0..WORKERS {
        table.join(i);
    }
    table.service(Service::In);
    table.advance(SETTLE);
    for record in &table.records {
        let ended = record.ended.is_some() || record.handed;
        let why = table.sched.why(&record.spec.key);
        assert!(ended, "{:?} never ends: {why:?}", record.spec);
    }
    assert!(table.live.is_empty(), "{:?}", table.live);
    assert_eq!(table.sched.degraded(), Vec::new(), "all hardware is healthy");
    let load = table.sched.load();
    assert_eq!((load.waiting, load.queued), (0, 0));
}

fn run(cases: u32, faults: Faults) {
    let config =
        Config { cases, failure_persistence: None, max_shrink_iters: 2000, ..Config::default() };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let input = (any::<u64>(), proptest::collection::vec(op(), 1..400));
    let result = runner.run(&input, |(seed, ops)| {
        let mut table = Table::open(seed, WORKERS, RACK, guarantees(2));
        table.faults = faults;
        let mut jobs = 0;
        for op in &ops {
            apply(&mut table, op, &mut jobs);
        }
        settle(&mut table);
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}

#[test]
fn nothing_fails_but_workers() {
    run(1000, Faults::default());
}

#[test]
fn events_come_late_and_twice() {
    run(1000, Faults { twice: 5, delay_ms: 8_000, ..Faults::default() });
}

#[test]
fn starts_attempts_and_stops_fail() {
    let faults = Faults { start_fails: 6, run_fails: 8, stop_lost: 4, twice: 10, delay_ms: 3_000 };
    run(1000, faults);
}
