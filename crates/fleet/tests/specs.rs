//! Checks of submitted jobs.

use bulrushlink_core::Span;
use bulrushlink_fleet::{BadSpec, JOB_ROUNDS_MAX, JobSpec, Schedule, Step, TASK_VALUE_MAX};

use support::step;

mod support;

fn job() -> JobSpec {
    JobSpec { text: String::new(), steps: vec![step(4_096)], schedule: None }
}

/// Guards against values whose sums and products overflow in the placer, which would take it and
/// each successor down: a job that can never run is refused when it is submitted.
#[test]
fn excessive_values_are_refused() {
    assert_eq!(job().check(), Ok(()));
    let changes: [fn(&mut Step); 4] = [
        |s| s.need.cpu = u64::MAX,
        |s| s.need.memory = TASK_VALUE_MAX + 1,
        |s| s.need.accelerators = 1 << 63,
        |s| s.estimate = Span(u64::MAX),
    ];
    for change in changes {
        let mut job = job();
        change(&mut job.steps[0]);
        assert_eq!(job.check(), Err(BadSpec::Excessive));
    }
}

#[test]
fn too_many_rounds_are_refused() {
    let schedule = |rounds| Schedule { first: 0, every: Span::ZERO, rounds };
    let with_rounds = |rounds| JobSpec { schedule: Some(schedule(rounds)), ..job() };
    assert_eq!(with_rounds(JOB_ROUNDS_MAX).check(), Ok(()));
    assert_eq!(with_rounds(JOB_ROUNDS_MAX + 1).check(), Err(BadSpec::TooLarge));
}
