//! Tasks that crash the workers that start them.

use bulrushlink_fleet::{JobId, ShownState, Step};
use bulrushlink_lab::{DeadlyTasks, FleetLab, Trouble};

use super::{WARM_UP_MS, assert_no_violations, job, step};

const DEADLY: JobId = JobId(100);
/// Crashes that a task may cause: two, as the first may have another cause.
const CRASHES_MIN: u64 = 2;

fn single(accelerators: u64, millis: u64) -> Step {
    Step { gang: false, saves: false, ..step(1, accelerators, millis, vec![]) }
}

fn deadly(index: Option<u32>, delay: u64) -> DeadlyTasks {
    DeadlyTasks { job: DEADLY, index, delay, downtime: 3_100, renamed: false }
}

fn open(workers: usize, seed: u64, tasks: DeadlyTasks) -> FleetLab {
    let mut lab = FleetLab::open(3, workers, seed);
    lab.add_deadly(tasks);
    lab.run(WARM_UP_MS);
    lab
}

/// Guards against a task that is started again and again, each time at the price of a worker with
/// all of its runs: it once crashed all workers of the deployment one after the other.
#[test]
fn task_that_crashes_its_workers_is_given_up() {
    for (delay, most) in [(2, CRASHES_MIN), (20, CRASHES_MIN), (600, CRASHES_MIN), (4_000, 3)] {
        let mut lab = open(8, 60, deadly(None, delay));
        lab.submit(1_000, 0, DEADLY, "roster", job(vec![single(1, 9_000)]));
        lab.run(40_000);
        assert_eq!(lab.state(DEADLY), Some(ShownState::Failed), "delay {delay}");
        assert!(lab.deadly_crashes() <= most, "delay {delay}: {}", lab.deadly_crashes());
        assert_no_violations(&mut lab);
    }
}

/// As above, but the worker doesn't answer the start, so that it isn't known whether it has started
/// the task.
#[test]
fn task_whose_starts_get_no_answer_is_given_up() {
    let mut lab = open(8, 61, deadly(None, 0));
    lab.submit(1_000, 0, DEADLY, "roster", job(vec![single(1, 9_000)]));
    lab.run(50_000);
    assert_eq!(lab.state(DEADLY), Some(ShownState::Failed));
    assert!(lab.deadly_crashes() <= 4, "{}", lab.deadly_crashes());
    assert_no_violations(&mut lab);
}

/// As above, but the worker is back under another identifier: its address then refuses the calls to
/// the boot that has crashed.
#[test]
fn crash_counts_if_the_worker_is_back_under_another_identifier() {
    for index in [None, Some(1)] {
        let mut lab = open(8, 68, DeadlyTasks { renamed: true, ..deadly(index, 20) });
        let work = Step { gang: index.is_some(), ..step(2, 8, 9_000, vec![]) };
        lab.submit(1_000, 0, DEADLY, "roster", job(vec![work]));
        lab.run(30_000);
        assert_eq!(lab.state(DEADLY), Some(ShownState::Failed));
        // Two for each deadly task.
        let most = if index.is_some() { CRASHES_MIN } else { 2 * CRASHES_MIN };
        assert!(lab.deadly_crashes() <= most, "{}", lab.deadly_crashes());
        assert_no_violations(&mut lab);
    }
}

/// As above, but its entry is gone long before a call to it times out: it once counted as one that may
/// have left as planned.
#[test]
fn crash_counts_if_the_worker_is_back_before_a_call_to_it_fails() {
    for (seed, downtime) in [(75, 500), (76, 790), (77, 1_200)] {
        let tasks = DeadlyTasks { renamed: true, downtime, ..deadly(None, 530) };
        let mut lab = open(8, seed, tasks);
        lab.submit(1_000, 0, DEADLY, "roster", job(vec![single(8, 9_000)]));
        lab.run(40_000);
        assert_eq!(lab.state(DEADLY), Some(ShownState::Failed), "downtime {downtime}");
        assert!(lab.deadly_crashes() <= 3, "downtime {downtime}: {}", lab.deadly_crashes());
        assert_no_violations(&mut lab);
    }
}

/// As above, but the leases of the runs expire before the workers are back, under the same identifier
/// or at the same address.
#[test]
fn crash_counts_after_the_lease_has_lapsed() {
    for renamed in [false, true] {
        let tasks = DeadlyTasks { downtime: 9_000, renamed, ..deadly(None, 20) };
        let mut lab = open(4, 62, tasks);
        lab.submit(1_000, 0, DEADLY, "roster", job(vec![single(1, 9_000)]));
        lab.run(80_000);
        assert_eq!(lab.state(DEADLY), Some(ShownState::Failed), "renamed {renamed}");
        assert!(lab.deadly_crashes() <= 5, "renamed {renamed}: {}", lab.deadly_crashes());
        assert_no_violations(&mut lab);
    }
}

/// Guards against crashes that are forgotten with the placer, which is killed before or after each
/// crash is known.
#[test]
fn crashes_count_through_takeovers() {
    for (seed, downtime) in [(70, 3_100), (71, 3_100), (72, 3_100), (73, 9_000), (74, 9_000)] {
        for kills in [1_300, 2_100, 3_700, 6_100] {
            let mut lab = open(8, seed, DeadlyTasks { downtime, ..deadly(None, 20) });
            lab.submit(1_000, 0, DEADLY, "roster", job(vec![single(1, 9_000)]));
            (0..12).for_each(|n| lab.plan(1_030 + n * kills, Trouble::KillPlacer));
            lab.run(100_000);
            let label = format!("seed {seed}, killed each {kills} ms");
            assert_eq!(lab.state(DEADLY), Some(ShownState::Failed), "{label}");
            assert!(lab.deadly_crashes() <= 5, "{label}: {}", lab.deadly_crashes());
            assert_no_violations(&mut lab);
        }
    }
}

/// Guards against gangs that are started again and again because of one deadly member.
#[test]
fn gang_with_a_deadly_member_is_given_up() {
    for index in [None, Some(2)] {
        let mut lab = open(8, 63, deadly(index, 20));
        lab.submit(1_000, 0, DEADLY, "roster", job(vec![step(4, 8, 9_000, vec![])]));
        lab.run(40_000);
        assert_eq!(lab.state(DEADLY), Some(ShownState::Failed));
        let most = if index.is_some() { CRASHES_MIN } else { 8 };
        assert!(lab.deadly_crashes() <= most, "{}", lab.deadly_crashes());
        assert_no_violations(&mut lab);
    }
}

/// Guards against endless tasks, which have no limit of attempts, that crash workers for good.
#[test]
fn endless_task_that_crashes_its_workers_is_given_up() {
    let mut lab = open(8, 64, deadly(None, 20));
    let endless = Step { endless: true, ..single(1, 600_000) };
    lab.submit(1_000, 0, DEADLY, "roster", job(vec![endless]));
    lab.run(40_000);
    assert_eq!(lab.state(DEADLY), Some(ShownState::Failed));
    assert_eq!(lab.deadly_crashes(), CRASHES_MIN);
    assert_no_violations(&mut lab);
}

/// Guards against jobs that fail, or are restarted again and again, because a deadly task shared
/// their worker: they wait for the same crash and were once placed beside the deadly task again.
#[test]
fn innocent_neighbour_of_a_deadly_task_completes() {
    for seed in 80..86 {
        let mut lab = open(6, seed, deadly(None, 20));
        for n in 0..5 {
            let wide = Step { gang: n % 2 == 0, ..step(7, 1, 6_000 + n * 700, vec![]) };
            lab.submit(1_000 + n, 0, JobId(n), "roster", job(vec![wide]));
        }
        lab.submit(1_010, 1, DEADLY, "roster", job(vec![single(1, 9_000)]));
        // Starts at the same moment as the deadly task, so that both are suspected.
        lab.submit(1_010, 1, JobId(50), "roster", job(vec![single(1, 2_000)]));
        lab.run(40_000);
        assert_eq!(lab.state(DEADLY), Some(ShownState::Failed), "seed {seed}");
        assert!(lab.deadly_crashes() <= 3, "seed {seed}: {}", lab.deadly_crashes());
        for n in (0..5).chain([50]) {
            assert_eq!(lab.state(JobId(n)), Some(ShownState::Completed), "seed {seed} job {n}");
        }
        assert_no_violations(&mut lab);
    }
}

/// Guards against a suspected task that waits for a worker without other runs for good.
#[test]
fn suspected_task_starts_on_a_full_fleet() {
    let mut lab = open(3, 65, deadly(None, 20));
    for n in 0..3 {
        lab.submit(1_000 + n, 0, JobId(n), "batch", job(vec![single(6, 60_000)]));
    }
    lab.submit(1_500, 0, DEADLY, "roster", job(vec![single(1, 9_000)]));
    lab.submit(1_500, 0, JobId(50), "roster", job(vec![single(1, 2_000)]));
    lab.run(40_000);
    assert_eq!(lab.state(DEADLY), Some(ShownState::Failed));
    assert_eq!(lab.state(JobId(50)), Some(ShownState::Completed));
    assert_eq!(lab.violations(), []);
}

/// Guards against cuts that are counted as crashes: the workers are back with the same boots.
#[test]
fn cut_workers_are_not_counted_as_crashed() {
    let mut lab = FleetLab::open(3, 4, 66);
    lab.run(WARM_UP_MS);
    for n in 0..4 {
        lab.submit(1_000 + n, 0, JobId(n), "batch", job(vec![single(4, 9_000)]));
    }
    for at in [1_200, 11_000, 21_000, 31_000, 41_000] {
        (0..4).for_each(|w| lab.plan(at + w as u64 * 10, Trouble::CutWorker(w, 7_500)));
    }
    lab.run(90_000);
    for n in 0..4 {
        assert_eq!(lab.state(JobId(n)), Some(ShownState::Completed), "job {n}");
    }
    assert_no_violations(&mut lab);
}

/// Guards against planned departures that are counted as crashes: the runs are lost with workers
/// that had announced that they leave.
#[test]
fn departures_are_not_counted_as_crashes() {
    let mut lab = FleetLab::open(3, 8, 67);
    lab.run(WARM_UP_MS);
    lab.submit(1_000, 0, JobId(1), "batch", job(vec![single(1, 7_000)]));
    for round in 0..6 {
        lab.run(1_500);
        let Some(place) = lab.places(JobId(1)).first().copied() else { break };
        lab.plan(lab.now() + 1, Trouble::Drain(place, 2_000));
        lab.plan(lab.now() + 2_500, Trouble::Reboot(place));
        lab.run(if round < 4 { 4_000 } else { 12_000 });
    }
    assert_ne!(lab.state(JobId(1)), Some(ShownState::Failed));
    lab.run(30_000);
    assert_eq!(lab.state(JobId(1)), Some(ShownState::Completed));
}

/// Guards against jobs that fail because many workers crash for another reason, such as a power
/// failure, again and again.
#[test]
fn mass_crashes_do_not_fail_jobs() {
    for seed in 90..94 {
        let mut lab = FleetLab::open(3, 12, seed);
        lab.run(WARM_UP_MS);
        for n in 0..24 {
            let work = Step { gang: n % 3 == 0, ..step(3, 1, 2_500, vec![]) };
            lab.submit(1_000 + n * 130, 0, JobId(n), "batch", job(vec![work]));
        }
        for at in [2_500, 3_900] {
            (0..9).for_each(|w| lab.plan(at + w as u64, Trouble::Reboot(w)));
        }
        lab.run(60_000);
        for n in 0..24 {
            assert_eq!(lab.state(JobId(n)), Some(ShownState::Completed), "seed {seed} job {n}");
        }
        assert_no_violations(&mut lab);
    }
}
