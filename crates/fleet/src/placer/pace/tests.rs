//! Tests that speeds are learned from jobs whose lengths are unknown.

use super::{StepPace, WorkerPace, rate};

/// Guards against taking the length of a job for the speed of its worker: estimates don't tell
/// lengths, so a long job on a fast worker progresses like a short job on a slow one.
#[test]
fn workers_are_banded_by_speed_whatever_the_job_lengths() {
    let speeds = [0.8, 1.0, 1.25, 0.8, 1.0, 1.25];
    let mut workers = [WorkerPace::default(); 6];
    let mut random = fastrand::Rng::with_seed(3);
    for _ in 0..40 {
        let mut step = StepPace::default();
        let length = 1.0 + 9.0 * random.f64();
        for _ in 0..6 {
            let at = random.usize(..6);
            let length_factor = 0.85 + 0.3 * random.f64();
            let percent = 30 + random.u32(..50);
            let elapsed = f64::from(percent) / 100.0 * length * length_factor / speeds[at];
            if let Some(rate) = rate(percent, elapsed) {
                step.learn(&mut workers[at], rate);
            }
        }
    }
    let mean_log = WorkerPace::mean_log(workers.iter());
    let bands: Vec<i8> = workers.iter().map(|w| w.band(mean_log)).collect();
    assert_eq!(bands, [-1, 0, 1, -1, 0, 1]);
}

/// Guards against samples that don't show the worker's speed: just after the start its delay
/// dominates, and near the end the members of a gang wait for each other.
#[test]
fn early_short_and_nearly_done_runs_give_no_rate() {
    assert_eq!(rate(4, 1.0), None);
    assert_eq!(rate(100, 3.0), None);
    assert_eq!(rate(50, 0.1), None);
    assert_eq!(rate(50, 2.0), Some(25.0));
}
