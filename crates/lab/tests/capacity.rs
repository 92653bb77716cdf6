//! Workers whose capacity shrinks and grows while it is in use.

use bulrushlink_core::Span;
use bulrushlink_fleet::{JobId, JobSpec, Resources, ShownState, Step};
use bulrushlink_lab::{FleetLab, Trouble};

/// Time for the daemons to elect a placer and load their state.
const WARM_UP_MS: u64 = 1_000;
/// Longest time until the placer sees a change: a heartbeat of the worker, half a second until the
/// lab writes the entries, and half a second until the placer reads them.
const SEEN_WITHIN_MS: u64 = 1_500 + 500 + 500;

fn step(tasks: u32, gang: bool, accelerators: u64, millis: u64) -> Step {
    Step {
        tasks,
        need: Resources { cpu: 3_000, memory: 8_192, accelerators },
        estimate: Span(millis),
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

fn submit(lab: &mut FleetLab, at: u64, id: u64, queue: &str, step: Step) {
    let spec = JobSpec { text: "replay".to_string(), steps: vec![step], schedule: None };
    lab.submit(at, (id % 3) as usize, JobId(id), queue, spec);
}

fn resize(lab: &mut FleetLab, at: u64, worker: usize, accelerators: u64) {
    let capacity = Resources { accelerators, ..lab.capacity(worker) };
    lab.plan(at, Trouble::Resize(worker, capacity));
}

fn assert_no_violations(lab: &mut FleetLab) {
    lab.check_ends();
    assert_eq!(lab.violations(), []);
}

/// A worker that has grown must be used with the next read of its entry.
#[test]
fn grown_worker_is_used_promptly() {
    let mut lab = FleetLab::open(3, 1, 1);
    lab.run(WARM_UP_MS);
    resize(&mut lab, 1_000, 0, 0);
    lab.run(SEEN_WITHIN_MS);
    submit(&mut lab, 4_000, 1, "batch", step(1, true, 12, 1_000));
    submit(&mut lab, 4_000, 2, "batch", step(1, false, 2, 1_000));
    lab.run(3_000);
    assert_eq!(lab.starts(), 0);
    resize(&mut lab, 7_000, 0, 16);
    lab.run(500 + SEEN_WITHIN_MS + 50);
    assert_eq!(lab.starts(), 2);
    lab.run(5_000);
    assert_eq!(lab.state(JobId(1)), Some(ShownState::Completed));
    assert_no_violations(&mut lab);
}

/// What runs on a worker that shrinks must go on, and what waits must start elsewhere.
#[test]
fn runs_go_on_while_their_worker_shrinks() {
    let mut lab = FleetLab::open(3, 2, 2);
    lab.run(WARM_UP_MS);
    submit(&mut lab, 1_000, 1, "batch", step(2, true, 8, 8_000));
    resize(&mut lab, 2_000, 0, 1);
    submit(&mut lab, 5_000, 2, "batch", step(3, false, 4, 1_000));
    lab.run(13_000);
    assert_eq!(lab.state(JobId(1)), Some(ShownState::Completed));
    assert_eq!(lab.state(JobId(2)), Some(ShownState::Completed));
    assert_eq!(lab.starts(), 5);
    assert_no_violations(&mut lab);
}

/// A worker over its capacity in one resource once got tasks that need only the others.
#[test]
fn worker_that_has_shrunk_below_its_runs_gets_no_start() {
    let mut lab = FleetLab::open(3, 1, 3);
    lab.run(WARM_UP_MS);
    submit(&mut lab, 1_000, 1, "batch", step(2, false, 4, 10_000));
    resize(&mut lab, 2_000, 0, 4);
    submit(&mut lab, 2_000 + SEEN_WITHIN_MS + 3_000, 2, "batch", step(1, false, 0, 1_000));
    lab.run(9_000);
    assert_eq!(lab.starts(), 2);
    lab.run(6_000);
    assert_eq!(lab.state(JobId(2)), Some(ShownState::Completed));
    assert_no_violations(&mut lab);
}

/// A guaranteed job must start within the bound although half of the workers shrink just before it
/// arrives, or while runs are being stopped for it.
#[test]
fn guaranteed_job_starts_in_time_while_workers_shrink() {
    for (seed, delay) in (0..24).map(|n| (n, n * 100)) {
        let mut lab = FleetLab::open(3, 8, seed);
        lab.run(WARM_UP_MS);
        submit(&mut lab, 1_000, 1, "batch", step(64, false, 1, 60_000));
        lab.run(1_000);
        (0..4).for_each(|worker| resize(&mut lab, 2_000 + delay, worker * 2, 3));
        submit(&mut lab, 3_500, 10, "roster", step(2, true, 8, 4_000));
        submit(&mut lab, 3_520, 11, "roster", step(4, true, 2, 4_000));
        // The bound is `reclaim_ms` of the simulated daemons.
        lab.run(1_520 + 3_400);
        for id in [10, 11] {
            assert!(lab.has_started(JobId(id)), "seed {seed}: job {id} has not started");
        }
        assert_eq!(lab.violations(), [], "seed {seed}");
    }
}

/// No start may bring a worker over its capacity while all workers shrink and grow, the store is slow
/// and placers change.
#[test]
fn no_start_exceeds_a_capacity_that_changes_all_the_time() {
    for seed in 0..12 {
        let mut random = fastrand::Rng::with_seed(seed);
        let mut lab = FleetLab::open(3, 6, seed);
        lab.run(WARM_UP_MS);
        for id in 0..120 {
            let (tasks, gang) = (random.u32(1..5), random.bool());
            let work = step(tasks, gang, random.u64(0..5), random.u64(200..4_000));
            let queue = ["roster", "replay", "batch"][random.usize(..3)];
            submit(&mut lab, random.u64(1_000..20_000), id, queue, work);
        }
        // Every other seed leaves time for the earlier capacities to stop counting.
        let interval = if seed % 2 == 0 { 250 } else { 1_500 };
        for at in (1_000..20_000).step_by(interval) {
            let worker = random.usize(..6);
            let full = lab.capacity(worker);
            let capacity = Resources {
                cpu: random.u64(..full.cpu),
                memory: random.u64(..full.memory),
                accelerators: random.u64(..12),
            };
            lab.plan(at, Trouble::Resize(worker, capacity));
        }
        let full = lab.capacity(0);
        (0..6).for_each(|worker| lab.plan(20_000, Trouble::Resize(worker, full)));
        lab.plan(random.u64(3_000..6_000), Trouble::SlowStore(random.u64(100..400), 8_000));
        lab.plan(random.u64(6_000..18_000), Trouble::KillPlacer);
        lab.plan(random.u64(6_000..18_000), Trouble::CutWorker(random.usize(..6), 3_000));
        lab.run(60_000);
        assert_no_violations(&mut lab);
    }
}
