//! Tests ends that are reported after the placer had given up their runs, and crashes of workers.

use bulrushlink_core::{Moment, Span};

use super::{Effect, Job};
use crate::catalog::Queue;
use crate::edge::EndCause;
use crate::ids::{Boot, JobId, Rev, Run, TaskId};
use crate::model::{JOB_TASKS_MAX, JobSpec, Resources, Schedule, Step};
use crate::record::{CrashEvidence, JobRecord, Outcome, StateRecord};

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
    job.open_rounds(0, u64::MAX);
    job
}

/// Starts a run of both tasks and then gives it up.
fn start_and_lose(job: &mut Job, run: Run) {
    let boot = Boot { worker: "i-1".parse().expect("a valid name"), born: 1 };
    for index in 0..2 {
        let task = TaskId { index, ..TASK };
        job.plan_start(&task, run, boot.clone());
        assert!(job.clear_place(&task, run));
    }
}

fn report_end(job: &mut Job, index: u32, run: u32, cause: EndCause) -> Effect {
    job.apply_late_end(&TaskId { index, ..TASK }, Run(run), cause, ATTEMPTS, 0)
}

/// Guards against counting a failure twice, or not at all, when it is reported after the run was
/// given up. A worker repeats such an end until it is acknowledged.
#[test]
fn late_failure_counts_as_one_attempt() {
    for gang in [true, false] {
        let mut job = job(gang);
        start_and_lose(&mut job, Run(1));
        assert_eq!(report_end(&mut job, 0, 1, EndCause::Failed), Effect::Stale);
        assert_eq!(report_end(&mut job, 0, 1, EndCause::Failed), Effect::Stale);
        assert!(!job.is_over(), "gang {gang}");
        start_and_lose(&mut job, Run(2));
        assert_eq!(report_end(&mut job, 0, 2, EndCause::Failed), Effect::JobFailed);
        assert_eq!(job.state.outcome, Some(Outcome::Failed));
    }
}

/// Guards against repeating work that is done. A worker that was silent until its leases expired
/// can report a completed run after later runs of the task or gang have been started.
#[test]
fn late_success_completes_the_task_or_the_whole_gang() {
    let mut gang = job(true);
    start_and_lose(&mut gang, Run(1));
    start_and_lose(&mut gang, Run(2));
    assert_eq!(report_end(&mut gang, 1, 1, EndCause::Done), Effect::DoneLate);
    assert_eq!(gang.state.outcome, Some(Outcome::Completed));
    let mut singles = job(false);
    start_and_lose(&mut singles, Run(1));
    assert_eq!(report_end(&mut singles, 1, 1, EndCause::Done), Effect::DoneLate);
    assert!(!singles.is_over());
    assert_eq!(report_end(&mut singles, 1, 1, EndCause::Done), Effect::Stale);
    assert_eq!(report_end(&mut singles, 0, 1, EndCause::Done), Effect::DoneLate);
    assert_eq!(singles.state.outcome, Some(Outcome::Completed));
}

/// Guards against applying a late end that proves nothing: that of a run with a higher number than
/// any on record, and that of a run that was stopped.
#[test]
fn late_end_of_unrecorded_or_stopped_run_is_ignored() {
    let mut job = job(false);
    start_and_lose(&mut job, Run(1));
    assert_eq!(report_end(&mut job, 0, 2, EndCause::Done), Effect::Stale);
    assert_eq!(report_end(&mut job, 0, 1, EndCause::Stopped), Effect::Stale);
}

/// Guards against a job that takes the placer down, and each successor: with an interval of 0 all
/// of its rounds are due at once, and their records would fill the memory.
#[test]
fn rounds_that_are_due_at_once_are_opened_a_few_at_a_time() {
    let mut job = job(false);
    job.spec.schedule = Some(Schedule { first: 0, every: Span::ZERO, rounds: u32::MAX });
    job.spec.steps[0].tasks = 1_000;
    job.open_rounds(1, u64::MAX);
    let open: usize = job.state.rounds.iter().map(|r| r.steps[0].tasks.len()).sum();
    assert!(open as u64 <= JOB_TASKS_MAX, "{open} tasks are open");
    job.state.rounds.clear();
    job.state.finished = vec![0, 1, 2];
    job.open_rounds(1, u64::MAX);
    assert_eq!(job.state.rounds.first().map(|r| r.round), Some(3));
}

/// Counts the crash of a worker under a run of task 0 at an age in milliseconds. Returns true if the
/// task has to be given up.
fn count_crash(job: &mut Job, run: u32, age: u64) -> bool {
    job.plan_start(&TASK, Run(run), Boot { worker: "i-1".parse().expect("a valid name"), born: 1 });
    let early = age < 1_000;
    let evidence =
        CrashEvidence { confirmed: true, early, unambiguous: early, age: Some((age, age)) };
    job.count_crash(&TASK, Run(run), &evidence, false).is_some_and(|c| c.must_give_up())
}

/// Guards against a job that fails because its workers crashed three times for other reasons: a task
/// that crashes its workers does so at about the same age (a day with deadly tasks on the grown second
/// site).
#[test]
fn crashes_at_different_ages_are_not_counted_together() {
    let mut job = job(false);
    let ages = [2_903, 13, 2_818, 9_000, 25_000];
    assert!((1..).zip(ages).all(|(run, age)| !count_crash(&mut job, run, age)));
}

/// Guards against a deadly task that is never given up, also if a crash of another cause came first.
#[test]
fn crashes_at_similar_ages_are_counted_together() {
    for ages in [vec![13, 22], vec![2_903, 2_500, 3_400], vec![5_000, 13, 11]] {
        let mut job = job(false);
        let given_up: Vec<bool> =
            (1..).zip(&ages).map(|(run, age)| count_crash(&mut job, run, *age)).collect();
        assert_eq!(given_up.iter().position(|g| *g), Some(ages.len() - 1), "{ages:?}");
    }
}

/// Guards against members of a gang that start from different checkpoints, and against a stored state that
/// lacks the latest one.
#[test]
fn members_of_a_gang_share_the_latest_checkpoint() {
    let mut job = job(true);
    let boot = Boot { worker: "i-1".parse().expect("a valid name"), born: 1 };
    let tasks = [0, 1].map(|index| TaskId { index, ..TASK });
    tasks.iter().for_each(|t| job.plan_start(t, Run(1), boot.clone()));
    job.record_checkpoint(&tasks[0], Run(1), "a");
    job.record_checkpoint(&tasks[1], Run(1), "b");
    // An earlier run, and a report without a checkpoint, change nothing.
    job.record_checkpoint(&tasks[0], Run(0), "c");
    job.record_checkpoint(&tasks[0], Run(1), "");
    assert_eq!(
        tasks.map(|t| job.checkpoint(&t).map(str::to_string)),
        [Some("b".into()), Some("b".into())]
    );
    job.prepare_state();
    let stored: Vec<&str> =
        job.state.rounds[0].steps[0].tasks.iter().map(|t| t.saved.as_str()).collect();
    assert_eq!(stored, ["b", "b"]);
}
