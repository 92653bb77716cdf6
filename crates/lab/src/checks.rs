//! Checks of the answers to callers against the record of the workers, at the end of a run.

use bulrushlink_api::JobState;
use bulrushlink_core::{Moment, Span};
use bulrushlink_standin::{Program, Record, Run, RunEnd};

use crate::callers::{Caller, ReceivedAnswer};

/// Time after the confirmed withdrawal of a failure domain, or the announcement that a worker
/// leaves, from which no run may start there.
pub(crate) const NO_START_AFTER: Span = Span::from_secs(5);

/// A violated invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Virtual time at which it was found.
    pub at: Moment,
    /// Names the job, run or daemon involved and what went wrong.
    pub text: String,
}

/// The result of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Simulation events handled.
    pub events: u64,
    /// Jobs submitted.
    pub jobs: usize,
    /// Jobs whose last answer is `completed`.
    pub completed: usize,
    /// Jobs whose last answer is that the outcome can't be determined.
    pub unknown: usize,
    /// Jobs whose last answer is a refusal.
    pub refused: usize,
    /// Jobs that were started more than once, as idempotent or checkpointed jobs may be.
    pub restarted: usize,
    /// Guaranteed jobs whose time to start was checked against the bound, with no fault active.
    pub prompt_starts: usize,
    /// Release notes whose time to be in force everywhere was checked, with no fault active.
    pub prompt_notes: usize,
    /// Submissions whose time to an answer was checked, in any mode of the store.
    pub prompt_answers: usize,
    /// Races of two operators in which both got an outcome.
    pub races: usize,
    /// Calls that the store counted.
    pub store_calls: u64,
    /// Longest time for which only a part of a gang was running.
    pub partial: Span,
    /// Violated invariants.
    pub violations: Vec<Violation>,
}

/// Returns the violations in the answers that one caller got, judged by the workers' record.
pub(crate) fn check_caller(caller: &Caller, record: &Record) -> Vec<String> {
    let key = caller.key();
    let runs = record.runs_of(&key);
    let attempts = record.attempts(&key);
    let mut violations = Vec::new();
    if !caller.done {
        violations.push(format!("{key} has no end; its caller was told {:?}", last_state(caller)));
    }
    if !caller.plan.body.idempotent && attempts.len() > 1 && !resumed(&runs) {
        violations.push(format!("{key} is not idempotent and was started as {attempts:?}"));
    }
    for received in &caller.answers {
        violations.extend(check_answer(caller, received, &runs));
    }
    violations.extend(check_final_answers(caller));
    violations
}

/// Returns true if each attempt before the latest was stopped with a checkpoint. A job that is not
/// idempotent may continue from a checkpoint, which is no second run.
fn resumed(runs: &[Run]) -> bool {
    let latest = runs.iter().map(|run| run.task.attempt).max();
    let earlier = runs.iter().filter(|run| Some(run.task.attempt) < latest);
    earlier.into_iter().all(|run| matches!(run.end, Some(RunEnd::Stopped { saved: true, .. })))
}

fn last_state(caller: &Caller) -> Option<JobState> {
    caller.answers.last().map(|received| received.answer.state)
}

fn check_answer(caller: &Caller, received: &ReceivedAnswer, runs: &[Run]) -> Option<String> {
    let key = caller.key();
    let answer = &received.answer;
    match answer.state {
        JobState::Refused if !answer.not_run => {
            let retryable = answer.retry.is_some() && !answer.reason.is_empty();
            (!retryable)
                .then(|| format!("{key} was refused for good without a word on whether it ran"))
        }
        JobState::Refused => {
            // A run that started before the answer contradicts it. One that started later does too,
            // unless the caller has submitted the job again since.
            let before = runs.iter().find(|run| run.started <= received.at);
            let any = runs.iter().find(|_| caller.last_submit <= received.at);
            let run = before.or(any)?;
            Some(format!("{key} was refused as not run at {}, and {run:?}", received.at))
        }
        JobState::Completed => check_output(caller, received, runs),
        JobState::Failed if runs.is_empty() => {
            Some(format!("{key} was told to have failed and never started"))
        }
        _ => None,
    }
}

fn check_output(caller: &Caller, received: &ReceivedAnswer, runs: &[Run]) -> Option<String> {
    let body = &caller.plan.body;
    let program = Program::parse(&body.input);
    let expected: Vec<_> = (0..body.shape.tasks).map(|task| program.output(task)).collect();
    if received.answer.output != expected {
        return Some(format!("{} got the output {:?}", caller.key(), received.answer.output));
    }
    let completed = runs
        .iter()
        .filter(|run| run.end == Some(RunEnd::Completed))
        .filter(|run| run.ended.is_some_and(|ended| ended <= received.at))
        .count();
    (completed < usize::from(body.shape.tasks))
        .then(|| format!("{} was told to have completed after {completed} tasks", caller.key()))
}

/// Returns a violation if two final answers to a caller differ.
fn check_final_answers(caller: &Caller) -> Option<String> {
    let is_final = |received: &&ReceivedAnswer| {
        let retryable = received.answer.retry.is_some();
        !retryable
            && matches!(
                received.answer.state,
                JobState::Completed | JobState::Failed | JobState::Cancelled | JobState::Unknown
            )
    };
    let mut ends = caller.answers.iter().filter(is_final).map(|received| received.answer.state);
    let first = ends.next()?;
    let other = ends.find(|state| *state != first)?;
    Some(format!("{} was told {first}, and later {other}", caller.key()))
}
