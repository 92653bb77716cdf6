//! The promises, checked against the workers' own record and what callers were told.

use bulrushlink_api::JobState;
use bulrushlink_core::{Moment, Span};
use bulrushlink_standin::{Program, Record, Run, RunEnd};

use crate::callers::{Caller, Told};

/// Time after which a withdrawn domain or a leaving worker gets no start.
pub(crate) const NO_START_AFTER: Span = Span::from_secs(5);

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// When it was seen.
    pub at: Moment,
    /// What was seen.
    pub text: String,
}

/// The result of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Events handled.
    pub events: u64,
    /// Jobs submitted.
    pub jobs: usize,
    /// Jobs whose caller was told that they completed.
    pub completed: usize,
    /// Jobs whose caller was told that nothing can settle the outcome.
    pub unknown: usize,
    /// Jobs whose caller was told finally that they have not run.
    pub refused: usize,
    /// Idempotent jobs that were started more than once.
    pub restarted: usize,
    /// Guaranteed jobs whose start was due within the bound, with no fault active.
    pub prompt_starts: usize,
    /// Release notes that were due in force within the bound, with no fault active.
    pub prompt_notes: usize,
    /// Submissions that were due an answer within the bound, whatever the store did.
    pub prompt_answers: usize,
    /// Races of two operators in which both were told the outcome.
    pub races: usize,
    /// Calls of the store that were counted.
    pub store_calls: u64,
    /// Longest time for which a gang ran partially.
    pub partial: Span,
    /// Broken promises.
    pub violations: Vec<Violation>,
}

/// Checks all that one caller was told against the record, at the end of a run.
pub(crate) fn check_caller(caller: &Caller, record: &Record) -> Vec<String> {
    let key = caller.key();
    let runs = record.runs_of(&key);
    let attempts = record.attempts(&key);
    let mut broken = Vec::new();
    if !caller.done {
        broken.push(format!("{key} has no end; its caller was told {:?}", last(caller)));
    }
    if !caller.plan.body.idempotent && attempts.len() > 1 && !resumed(&runs) {
        broken.push(format!("{key} is not idempotent and was started as {attempts:?}"));
    }
    for told in &caller.told {
        broken.extend(check_told(caller, told, &runs));
    }
    broken.extend(check_ends_agree(caller));
    broken
}

/// A job that isn't idempotent may go on from a checkpoint: that is no second run.
fn resumed(runs: &[Run]) -> bool {
    let latest = runs.iter().map(|run| run.task.attempt).max();
    let earlier = runs.iter().filter(|run| Some(run.task.attempt) < latest);
    earlier.into_iter().all(|run| matches!(run.end, Some(RunEnd::Stopped { saved: true, .. })))
}

fn last(caller: &Caller) -> Option<JobState> {
    caller.told.last().map(|told| told.answer.state)
}

fn check_told(caller: &Caller, told: &Told, runs: &[Run]) -> Option<String> {
    let key = caller.key();
    let answer = &told.answer;
    match answer.state {
        JobState::Refused if !answer.not_run => {
            let open = answer.retry.is_some() && !answer.reason.is_empty();
            (!open).then(|| format!("{key} was refused for good without a word on whether it ran"))
        }
        JobState::Refused => {
            let before = runs.iter().find(|run| run.started <= told.at);
            let after = runs.iter().find(|_| caller.last_submit <= told.at);
            let run = before.or(after)?;
            Some(format!("{key} was refused as not run at {}, and {run:?}", told.at))
        }
        JobState::Completed => check_output(caller, told, runs),
        JobState::Failed if runs.is_empty() => {
            Some(format!("{key} was told to have failed and never started"))
        }
        _ => None,
    }
}

fn check_output(caller: &Caller, told: &Told, runs: &[Run]) -> Option<String> {
    let body = &caller.plan.body;
    let program = Program::parse(&body.input);
    let expected: Vec<_> = (0..body.shape.tasks).map(|task| program.output(task)).collect();
    if told.answer.output != expected {
        return Some(format!("{} got the output {:?}", caller.key(), told.answer.output));
    }
    let completed = runs
        .iter()
        .filter(|run| run.end == Some(RunEnd::Completed))
        .filter(|run| run.ended.is_some_and(|ended| ended <= told.at))
        .count();
    (completed < usize::from(body.shape.tasks))
        .then(|| format!("{} was told to have completed after {completed} tasks", caller.key()))
}

/// An end that was told once must be told the same ever after.
fn check_ends_agree(caller: &Caller) -> Option<String> {
    let is_end = |told: &&Told| {
        let open = told.answer.retry.is_some();
        !open
            && matches!(
                told.answer.state,
                JobState::Completed | JobState::Failed | JobState::Cancelled | JobState::Unknown
            )
    };
    let mut ends = caller.told.iter().filter(is_end).map(|told| told.answer.state);
    let first = ends.next()?;
    let other = ends.find(|state| *state != first)?;
    Some(format!("{} was told {first}, and later {other}", caller.key()))
}
