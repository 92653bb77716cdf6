//! Random load without failures: the bounds on waiting.

mod table;

use bulrushlink_core::{Adjacency, JobSpec, Moment, Shape, Span, Urgency};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use table::{Table, shape, spec, workspace};

/// Bound on the start of a job within its workspace's guarantee.
const START_MAX: Span = Span(8_300);
/// Bound on the wait of a large gang under a stream of small jobs of at most a minute.
const GANG_WAIT_MAX: Span = Span::from_secs(600);

fn runner(cases: u32) -> TestRunner {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

/// A job of another workspace: shape, run time in seconds, flags.
type Other = (usize, u64, bool, bool, u64);

fn others() -> impl Strategy<Value = Vec<Other>> {
    let other = (0..6usize, 1..900u64, any::<bool>(), any::<bool>(), 0..16_000u64);
    proptest::collection::vec(other, 1..120)
}

const SHAPES: [Shape; 6] = [
    Shape { tasks: 1, accelerators: 0, adjacency: Adjacency::Domain },
    Shape { tasks: 1, accelerators: 1, adjacency: Adjacency::Domain },
    Shape { tasks: 1, accelerators: 2, adjacency: Adjacency::Domain },
    Shape { tasks: 1, accelerators: 4, adjacency: Adjacency::Domain },
    Shape { tasks: 2, accelerators: 8, adjacency: Adjacency::Rack },
    Shape { tasks: 3, accelerators: 3, adjacency: Adjacency::Domain },
];

fn other_spec(other: &Other, i: usize) -> JobSpec {
    let mut job = spec("other", &format!("o{i}"), SHAPES[other.0]);
    job.idempotent = other.2;
    job.checkpoint = other.3;
    job
}

#[test]
fn guaranteed_jobs_start_in_time_under_any_load() {
    let result = runner(600).run(&(any::<u64>(), others()), |(seed, others)| {
        let gang = shape(2, 8, Adjacency::Rack);
        let small = shape(1, 4, Adjacency::Worker);
        let own = workspace("own", &[(gang, 1), (small, 2)]);
        let mut table = Table::open(seed, 8, 4, vec![own, workspace("other", &[])]);
        let mut asked: Vec<(String, Moment)> = Vec::new();
        for (i, other) in others.iter().enumerate() {
            table.submit(other_spec(other, i), Span::from_secs(other.1));
            table.advance(Span(other.4));
            let idle = |table: &Table, want: Shape| {
                let open = table.records.iter().filter(|r| r.spec.shape == want);
                open.filter(|r| r.spec.key.workspace.as_str() == "own" && r.ended.is_none()).count()
            };
            for (shape, count) in [(gang, 1), (small, 2)] {
                if idle(&table, shape) < count {
                    let name = format!("g{i}-{}", shape.tasks);
                    let mut job = spec("own", &name, shape);
                    job.urgency = if i % 2 == 0 { Urgency::Urgent } else { Urgency::Normal };
                    job.idempotent = i % 3 == 0;
                    asked.push((name, table.now));
                    table.submit(job, Span::from_secs(other.1 / 4 + 1));
                }
            }
        }
        table.advance(START_MAX);
        for (name, at) in asked {
            let key = table.named(&name).spec.key.clone();
            let why = table.sched.why(&key);
            let started = table.named(&name).started;
            prop_assert!(started.is_some(), "{name} waits: {why:?}, {:?}", table.sched.dump());
            let started = started.unwrap();
            prop_assert!(started.since(at) <= START_MAX, "{name} waited {}", started.since(at));
        }
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
}

#[test]
fn large_gangs_wait_for_a_bounded_time() {
    let result = runner(60).run(&(any::<u64>(), 1..60u64, any::<bool>()), |(seed, run, idem)| {
        let spaces = vec![workspace("own", &[]), workspace("other", &[])];
        let mut table = Table::open(seed, 8, 4, spaces);
        for i in 0..64 {
            let mut job = spec("other", &format!("s{i}"), shape(1, 1, Adjacency::Domain));
            job.idempotent = idem;
            table.submit(job, Span::from_secs(run));
        }
        table.advance(Span::from_secs(5));
        let mut gang = spec("own", "gang", shape(4, 8, Adjacency::Rack));
        gang.idempotent = false;
        table.submit(gang, Span::from_secs(100));
        for i in 64..700 {
            let mut job = spec("other", &format!("s{i}"), shape(1, 1, Adjacency::Domain));
            job.idempotent = idem;
            table.submit(job, Span::from_secs(run + 30));
            table.advance(Span::from_secs(1));
        }
        let asked = table.named("gang").submitted;
        let started = table.named("gang").started.expect("starts");
        prop_assert!(started.since(asked) <= GANG_WAIT_MAX, "{}", started.since(asked));
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
}
