//! Upper bounds on the waiting time of jobs, under random load without failures.

mod table;

use bulrushlink_core::{Adjacency, JobSpec, Moment, Shape, Span, Urgency};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use table::{Simulation, shape, spec, workspace};

/// Maximum time until a job within its workspace's guarantee starts.
const START_MAX: Span = Span(8_300);
/// Maximum waiting time of a large gang under a stream of small jobs that run for at most 90 s.
const GANG_WAIT_MAX: Span = Span::from_secs(600);

fn runner(cases: u32) -> TestRunner {
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

/// A job of another workspace: index into [`SHAPES`], run time in seconds, whether it is idempotent
/// and can be checkpointed, and milliseconds until the next one.
type OtherJob = (usize, u64, bool, bool, u64);

fn other_jobs() -> impl Strategy<Value = Vec<OtherJob>> {
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

fn other_spec(other: &OtherJob, i: usize) -> JobSpec {
    let mut job = spec("other", &format!("o{i}"), SHAPES[other.0]);
    job.idempotent = other.2;
    job.checkpoint = other.3;
    job
}

/// A workspace submits no more than its guarantee while others fill the domain, with jobs that can
/// and can't be stopped. Its jobs start late if borrowed accelerators aren't reclaimed in time.
#[test]
fn guaranteed_jobs_start_in_time_under_any_load() {
    let result = runner(600).run(&(any::<u64>(), other_jobs()), |(seed, others)| {
        let gang = shape(2, 8, Adjacency::Rack);
        let small = shape(1, 4, Adjacency::Worker);
        let own = workspace("own", &[(gang, 1), (small, 2)]);
        let mut sim = Simulation::new(seed, 8, 4, vec![own, workspace("other", &[])]);
        let mut submitted: Vec<(String, Moment)> = Vec::new();
        for (i, other) in others.iter().enumerate() {
            sim.submit(other_spec(other, i), Span::from_secs(other.1));
            sim.advance(Span(other.4));
            let unfinished = |sim: &Simulation, want: Shape| {
                let matching = sim.records.iter().filter(|r| r.spec.shape == want);
                matching
                    .filter(|r| r.spec.key.workspace.as_str() == "own" && r.ended.is_none())
                    .count()
            };
            for (shape, count) in [(gang, 1), (small, 2)] {
                if unfinished(&sim, shape) < count {
                    let name = format!("g{i}-{}", shape.tasks);
                    let mut job = spec("own", &name, shape);
                    job.urgency = if i % 2 == 0 { Urgency::Urgent } else { Urgency::Normal };
                    job.idempotent = i % 3 == 0;
                    submitted.push((name, sim.now));
                    sim.submit(job, Span::from_secs(other.1 / 4 + 1));
                }
            }
        }
        sim.advance(START_MAX);
        for (name, at) in submitted {
            let key = sim.by_request(&name).spec.key.clone();
            let why = sim.sched.why(&key);
            let started = sim.by_request(&name).started_at;
            prop_assert!(started.is_some(), "{name} waits: {why:?}, {:?}", sim.sched.dump());
            let started = started.unwrap();
            prop_assert!(started.since(at) <= START_MAX, "{name} waited {}", started.since(at));
        }
        Ok(())
    });
    result.unwrap_or_else(|error| panic!("{error}"));
}

/// A stream of small jobs keeps the workers of a rack from being free at the same time. A gang that
/// needs a whole rack starves unless the scheduler drains a block for it.
#[test]
fn large_gangs_wait_for_a_bounded_time() {
    let result =
        runner(60).run(&(any::<u64>(), 1..60u64, any::<bool>()), |(seed, run_secs, idempotent)| {
            let spaces = vec![workspace("own", &[]), workspace("other", &[])];
            let mut sim = Simulation::new(seed, 8, 4, spaces);
            for i in 0..64 {
                let mut job = spec("other", &format!("s{i}"), shape(1, 1, Adjacency::Domain));
                job.idempotent = idempotent;
                sim.submit(job, Span::from_secs(run_secs));
            }
            sim.advance(Span::from_secs(5));
            let mut gang = spec("own", "gang", shape(4, 8, Adjacency::Rack));
            gang.idempotent = false;
            sim.submit(gang, Span::from_secs(100));
            for i in 64..700 {
                let mut job = spec("other", &format!("s{i}"), shape(1, 1, Adjacency::Domain));
                job.idempotent = idempotent;
                sim.submit(job, Span::from_secs(run_secs + 30));
                sim.advance(Span::from_secs(1));
            }
            let submitted = sim.by_request("gang").submitted_at;
            let started = sim.by_request("gang").started_at.expect("the gang starts");
            prop_assert!(
                started.since(submitted) <= GANG_WAIT_MAX,
                "gang waited {}",
                started.since(submitted)
            );
            Ok(())
        });
    result.unwrap_or_else(|error| panic!("{error}"));
}
