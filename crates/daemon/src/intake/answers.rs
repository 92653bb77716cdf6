//! Answers to callers: each says exactly what is known.

use bulrushlink_api::{JobAnswer, JobState};
use bulrushlink_core::{Code, Ending, Error, JobKey, Refusal, Span, Why};

use crate::journal::JobRecord;
use crate::peer::JobStatus;

/// Reason of an answer about a job that waits without a record.
const WAITS_UNKEPT: &str =
    "the store could not make the job durable yet, so that it may be lost; ask for its status";
/// Reason of an answer about a job that runs without a record.
const RUNS_UNKEPT: &str = "the job runs, but the store could not make it durable yet, so that it may be lost; ask for \
     its status";
/// Time to come back for the state of an open job.
const OPEN_RETRY: Span = Span::from_secs(2);
/// Time to come back when nothing could be settled.
const UNSETTLED_RETRY: Span = Span::from_secs(5);

fn bare(key: Option<JobKey>, code: Code, state: JobState) -> JobAnswer {
    JobAnswer {
        key,
        code,
        state,
        not_run: false,
        output: Vec::new(),
        reason: String::new(),
        field: None,
        retry: None,
        why: None,
    }
}

/// Says that a request was wrong.
pub(super) fn error_answer(key: Option<JobKey>, error: &Error) -> JobAnswer {
    JobAnswer {
        reason: error.text().to_string(),
        field: error.field().map(str::to_string),
        ..bare(key, error.code(), JobState::Error)
    }
}

/// Says that a submission was refused; `sure` tells whether no earlier one can have run either.
pub(super) fn refusal_answer(key: Option<JobKey>, refusal: &Refusal, sure: bool) -> JobAnswer {
    let reason = if sure {
        refusal.reason.clone()
    } else {
        let text = "whether the identifier was used before could not be looked up";
        format!("{}; {text}", refusal.reason)
    };
    let state = JobState::Refused;
    // What isn't certain can be made so by coming back.
    let retry = if sure { refusal.retry } else { refusal.retry.or(Some(UNSETTLED_RETRY)) };
    JobAnswer { not_run: sure, reason, retry, ..bare(key, refusal.code, state) }
}

/// Says how a job ended.
pub(super) fn ended_answer(key: &JobKey, ending: &Ending) -> JobAnswer {
    let (state, reason, output) = match ending {
        Ending::Completed { output } => (JobState::Completed, String::new(), output.clone()),
        Ending::Failed { reason } => (JobState::Failed, reason.clone(), Vec::new()),
        Ending::Cancelled { ran } => {
            let reason = if *ran { "cancelled after its start" } else { "cancelled, not run" };
            (JobState::Cancelled, reason.to_string(), Vec::new())
        }
        Ending::Refused(refusal) => return refusal_answer(Some(key.clone()), refusal, true),
        Ending::Unknown { reason } => (JobState::Unknown, reason.clone(), Vec::new()),
    };
    JobAnswer { reason, output, ..bare(Some(key.clone()), ending.code(), state) }
}

/// Says where an open job is. What isn't durable may be lost, and is never called accepted.
pub(super) fn present_answer(key: &JobKey, status: &JobStatus, why: Option<Why>) -> JobAnswer {
    let retry = Some(OPEN_RETRY);
    let (code, state, reason) = match status {
        JobStatus::Running { durable: true } => (Code::Running, JobState::Running, ""),
        JobStatus::Waiting { durable: true } => (Code::Accepted, JobState::Accepted, ""),
        JobStatus::Running { .. } => (Code::TimedOut, JobState::Unknown, RUNS_UNKEPT),
        _ => (Code::TimedOut, JobState::Unknown, WAITS_UNKEPT),
    };
    let reason = reason.to_string();
    JobAnswer { reason, retry, why, ..bare(Some(key.clone()), code, state) }
}

/// Says where an open job is, as far as its record tells.
pub(super) fn record_answer(record: &JobRecord) -> JobAnswer {
    let status = match record.intent {
        Some(_) => JobStatus::Running { durable: true },
        None => JobStatus::Waiting { durable: true },
    };
    present_answer(&record.spec.key, &status, None)
}

/// Says that no answer came in time; `sent` tells whether the request may still have its effect.
pub(super) fn undelivered_answer(key: &JobKey, reason: &str, sent: bool) -> JobAnswer {
    let text = if sent { "ask for the status" } else { "this request has had no effect" };
    JobAnswer {
        reason: format!("{reason}; {text}"),
        retry: Some(UNSETTLED_RETRY),
        ..bare(Some(key.clone()), Code::TimedOut, JobState::Unknown)
    }
}

/// Says that the store couldn't be asked for a job that no placer knows.
pub(super) fn unread_answer(key: &JobKey) -> JobAnswer {
    JobAnswer {
        reason: "no placer that answers has the job, and the store can't be asked now".to_string(),
        retry: Some(UNSETTLED_RETRY),
        ..bare(Some(key.clone()), Code::StoreUnavailable, JobState::Unknown)
    }
}
