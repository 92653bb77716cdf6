//! Chains of steps.

use bulrushlink_core::Span;
use proptest::prelude::*;
use std::cell::Cell;

use super::{JOB_STEPS_MAX, JobSpec, Resources, Step};

fn step(estimate: u64, after: Vec<u16>) -> Step {
    Step {
        tasks: 1,
        need: Resources::default(),
        estimate: Span(estimate),
        after,
        gang: false,
        one_rack: false,
        label: None,
        near: None,
        per_worker: None,
        saves: false,
        copies: false,
        endless: false,
    }
}

fn job(steps: Vec<Step>) -> JobSpec {
    JobSpec { text: String::new(), steps, schedule: None }
}

/// Returns the duration of the longest chain that begins with a step, by visiting every path.
fn longest_path(job: &JobSpec, from: usize) -> Span {
    let follows = |n: &usize| job.steps[*n].after.iter().any(|a| usize::from(*a) == from);
    let paths = (from + 1..job.steps.len()).filter(follows).map(|n| longest_path(job, n));
    job.steps[from].estimate + paths.max().unwrap_or_default()
}

/// Guards against work that grows with the number of paths (review case 1): the duration of each step of
/// the largest job is asked for once.
#[test]
fn chains_look_at_each_step_once() {
    let steps = (0..JOB_STEPS_MAX as u16).map(|n| step(1, (0..n).collect()));
    let job = job(steps.collect());
    let calls = Cell::new(0);
    let chains = job.chains(|s| {
        calls.set(calls.get() + 1);
        s.estimate
    });
    assert_eq!(calls.get(), JOB_STEPS_MAX);
    assert_eq!(chains[0], Span(JOB_STEPS_MAX as u64));
    assert_eq!(job.longest_chain(|s| s.estimate), chains[0]);
}

proptest! {
    /// Guards against other durations than those of the longest paths.
    #[test]
    fn chains_are_the_longest_paths(
        steps in prop::collection::vec((1_u64..100, any::<u16>()), 1..10),
    ) {
        let step = |(n, (estimate, bits)): (usize, &(u64, u16))| {
            step(*estimate, (0..n as u16).filter(|a| bits >> a & 1 == 1).collect())
        };
        let job = job(steps.iter().enumerate().map(step).collect());
        let chains = job.chains(|s| s.estimate);
        let paths: Vec<Span> = (0..steps.len()).map(|n| longest_path(&job, n)).collect();
        prop_assert_eq!(chains, paths);
    }
}
