//! Ends that are heard after their runs were given up.

use bulrushlink_core::{Moment, Span};

use super::{Effect, Job};
use crate::catalog::Queue;
use crate::edge::EndCause;
use crate::ids::{Boot, JobId, Rev, Run, TaskId};
use crate::model::{JobSpec, Resources, Step};
use crate::record::{JobRecord, Outcome, StateRecord};

/// Failed runs after which the job has failed.
const ATTEMPTS: u32 = 2;
const TASK: TaskId = TaskId { job: JobId(1), round: 0, step: 0, index: 0 };

fn job(gang: bool) -> Job {
    let step = Step {
        tasks: 2,
        need: Resources { cpu: 1_000, memory: 1_024, accelerators: 1 },
        estimate: Span(1_000),
        after: Vec::new(),
        gang,
        one_rack: false,
        label: None,
        near: None,
        per_worker: None,
        saves: false,
        copies: false,
        endless: false,
    };
    let queue = Queue {
        name: "replay".to_string(),
        host: "jobs.example".to_string(),
        prefix: "/replay/".to_string(),
        endpoint: "dispatch".to_string(),
        priority: 1,
        attempts: ATTEMPTS,
        stretch: 3.0,
        target: Span(1_000),
        anonymous: false,
        advised: false,
    };
    let spec = JobSpec { text: String::new(), steps: vec![step], schedule: None };
    let record = JobRecord { spec, queue, workspace: None, accepted: 0 };
    let mut job = Job::new(TASK.job, record, StateRecord::default(), Rev(1), Moment(0));
    job.open_rounds(0);
    job
}

/// Starts a run of both tasks and gives it up.
fn lose(job: &mut Job, run: Run) {
    let boot = Boot { worker: "i-1".parse().expect("a valid name"), born: 1 };
    for index in 0..2 {
        let task = TaskId { index, ..TASK };
        job.plan(&task, run, boot.clone());
        assert!(job.unplace(&task, run));
    }
}

fn hear(job: &mut Job, index: u32, run: u32, cause: EndCause) -> Effect {
    job.late_end(&TaskId { index, ..TASK }, Run(run), cause, ATTEMPTS, 0)
}

#[test]
fn a_late_failure_is_an_attempt_and_counts_once() {
    for gang in [true, false] {
        let mut job = job(gang);
        lose(&mut job, Run(1));
        assert_eq!(hear(&mut job, 0, 1, EndCause::Failed), Effect::Stale);
        assert_eq!(hear(&mut job, 0, 1, EndCause::Failed), Effect::Stale);
        assert!(!job.is_over(), "gang {gang}");
        lose(&mut job, Run(2));
        assert_eq!(hear(&mut job, 0, 2, EndCause::Failed), Effect::JobFailed);
        assert_eq!(job.state.outcome, Some(Outcome::Failed));
    }
}

#[test]
fn a_late_good_end_is_the_tasks_and_the_whole_gangs() {
    let mut gang = job(true);
    lose(&mut gang, Run(1));
    lose(&mut gang, Run(2));
    assert_eq!(hear(&mut gang, 1, 1, EndCause::Done), Effect::DoneLate);
    assert_eq!(gang.state.outcome, Some(Outcome::Completed));
    let mut singles = job(false);
    lose(&mut singles, Run(1));
    assert_eq!(hear(&mut singles, 1, 1, EndCause::Done), Effect::DoneLate);
    assert!(!singles.is_over());
    assert_eq!(hear(&mut singles, 1, 1, EndCause::Done), Effect::Stale);
    assert_eq!(hear(&mut singles, 0, 1, EndCause::Done), Effect::DoneLate);
    assert_eq!(singles.state.outcome, Some(Outcome::Completed));
}

#[test]
fn a_run_that_was_never_on_record_tells_nothing() {
    let mut job = job(false);
    lose(&mut job, Run(1));
    assert_eq!(hear(&mut job, 0, 2, EndCause::Done), Effect::Stale);
    assert_eq!(hear(&mut job, 0, 1, EndCause::Stopped), Effect::Stale);
}
