//! Speeds are learned from jobs whose lengths nobody knows.

use super::{StepPace, WorkerPace, rate};

#[test]
fn workers_are_told_apart_whatever_the_lengths_of_jobs() {
    let speeds = [0.8, 1.0, 1.25, 0.8, 1.0, 1.25];
    let mut workers = [WorkerPace::default(); 6];
    let mut random = fastrand::Rng::with_seed(3);
    for _ in 0..40 {
        let mut step = StepPace::default();
        let length = 1.0 + 9.0 * random.f64();
        for _ in 0..6 {
            let at = random.usize(..6);
            let uneven = 0.85 + 0.3 * random.f64();
            let percent = 30 + random.u32(..50);
            let elapsed = f64::from(percent) / 100.0 * length * uneven / speeds[at];
            if let Some(rate) = rate(percent, elapsed) {
                step.learn(&mut workers[at], rate);
            }
        }
    }
    let usual = WorkerPace::usual(workers.iter());
    let bands: Vec<i8> = workers.iter().map(|w| w.band(usual)).collect();
    assert_eq!(bands, [-1, 0, 1, -1, 0, 1]);
}

#[test]
fn a_run_at_its_beginning_or_waiting_for_others_tells_nothing() {
    assert_eq!(rate(4, 1.0), None);
    assert_eq!(rate(100, 3.0), None);
    assert_eq!(rate(50, 0.1), None);
    assert_eq!(rate(50, 2.0), Some(25.0));
}
