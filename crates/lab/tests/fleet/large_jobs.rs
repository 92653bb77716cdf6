//! Jobs of the largest sizes, many at once, while placers are lost.

use bulrushlink_core::Span;
use bulrushlink_fleet::{JOB_STEPS_MAX, JOB_TASKS_MAX, JobId, JobSpec, Resources, Step};
use bulrushlink_lab::{FleetLab, Trouble};

use super::{WARM_UP_MS, assert_no_violations, job, step};

const WORKERS: usize = 48;
/// Times at which the placer is lost: while the jobs begin, and while they run.
const TAKEOVERS_MS: [u64; 3] = [1_010, 1_600, 4_000];
/// The stages take 4 s in all.
const LENGTH_MS: u64 = 30_000;

fn small(tasks: u32, millis: u64, after: Vec<u16>) -> Step {
    let need = Resources { cpu: 100, memory: 16, accelerators: 0 };
    Step { need, gang: false, estimate: Span(millis), ..step(tasks, 0, millis, after) }
}

/// Returns a job of as many steps as possible, in stages of 16 that wait for all of the stage before.
fn stages() -> JobSpec {
    let before = |n: u16| (n / 16 * 16).saturating_sub(16)..n / 16 * 16;
    let steps = 0..JOB_STEPS_MAX as u16;
    job(steps.map(|n| small(1, 250, before(n).collect())).collect())
}

/// Returns a job of a large step, and steps that name it again and again.
fn repeated() -> JobSpec {
    let tasks = (JOB_TASKS_MAX - JOB_STEPS_MAX as u64) as u32;
    let steps = (0..JOB_STEPS_MAX as u16).map(|n| match n {
        0 => small(tasks, 500, Vec::new()),
        _ => small(1, 500, vec![0; 470]),
    });
    job(steps.collect())
}

/// Guards against daemons that hang, one after the other, on jobs whose work grows faster than their size
/// (review case 1, LOST), also if they are read after a takeover, and against other jobs that are lost or
/// run twice meanwhile.
#[test]
fn largest_jobs_complete_across_takeovers() {
    let mut lab = FleetLab::open(3, WORKERS, 40);
    lab.run(WARM_UP_MS);
    let wide = || job(vec![small(JOB_TASKS_MAX as u32, 500, Vec::new())]);
    let gang = || job(vec![Step { gang: true, ..small(512, 2_000, Vec::new()) }]);
    let specs =
        [stages(), repeated(), wide(), gang(), stages(), job(vec![step(4, 8, 1_500, vec![])])];
    let jobs = specs.len() as u64;
    for (n, spec) in (0..).zip(specs) {
        assert_eq!(spec.check(), Ok(()));
        lab.submit(WARM_UP_MS + n, (n % 3) as usize, JobId(n + 1), "replay", spec);
    }
    for at in TAKEOVERS_MS {
        lab.plan(at, Trouble::KillPlacer);
    }
    lab.run(LENGTH_MS);
    let unfinished: Vec<u64> = (1..=jobs).filter(|n| !lab.is_done(JobId(*n))).collect();
    assert!(unfinished.is_empty(), "not ended: {unfinished:?}");
    assert_no_violations(&mut lab);
}
