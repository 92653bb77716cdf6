//! Answers to callers; each states only what is certain.

use bulrushlink_api::{JobAnswer, JobState};
use bulrushlink_core::{Code, Ending, Error, JobKey, Refusal, Span, Why};

use crate::journal::JobRecord;
use crate::peer::JobStatus;

/// Reason in the answer about a job that waits without a record in the store.
const WAITS_UNRECORDED: &str =
    "the store could not make the job durable yet, so that it may be lost; ask for its status";
/// Reason in the answer about a job that runs without a record in the store.
const RUNS_UNRECORDED: &str = "the job runs, but the store could not make it durable yet, so that it may be lost; ask for \
     its status";
/// Retry delay returned for the status of an open job.
const OPEN_RETRY_AFTER: Span = Span::from_secs(2);
/// Retry delay returned when the state of the request is not known.
const UNKNOWN_RETRY_AFTER: Span = Span::from_secs(5);

fn empty_answer(key: Option<JobKey>, code: Code, state: JobState) -> JobAnswer {
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

/// Returns the answer to an invalid request.
pub(super) fn error_answer(key: Option<JobKey>, error: &Error) -> JobAnswer {
    JobAnswer {
        reason: error.text().to_string(),
        field: error.field().map(str::to_string),
        ..empty_answer(key, error.code(), JobState::Error)
    }
}

/// Returns the answer to a refused submission; `sure` is true if no earlier submission of the
/// request can have run either.
pub(super) fn refusal_answer(key: Option<JobKey>, refusal: &Refusal, sure: bool) -> JobAnswer {
    let reason = if sure {
        refusal.reason.clone()
    } else {
        let text = "whether the identifier was used before could not be looked up";
        format!("{}; {text}", refusal.reason)
    };
    let state = JobState::Refused;
    // An uncertain refusal can be settled by a later retry.
    let retry = if sure { refusal.retry } else { refusal.retry.or(Some(UNKNOWN_RETRY_AFTER)) };
    JobAnswer { not_run: sure, reason, retry, ..empty_answer(key, refusal.code, state) }
}

/// Returns the answer for an ended job.
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
    JobAnswer { reason, output, ..empty_answer(Some(key.clone()), ending.code(), state) }
}

/// Returns the answer for an open job. A job that is not durable may be lost, so it is never
/// reported as accepted.
pub(super) fn open_answer(key: &JobKey, status: &JobStatus, why: Option<Why>) -> JobAnswer {
    let retry = Some(OPEN_RETRY_AFTER);
    let (code, state, reason) = match status {
        JobStatus::Running { durable: true } => (Code::Running, JobState::Running, ""),
        JobStatus::Waiting { durable: true } => (Code::Accepted, JobState::Accepted, ""),
        JobStatus::Running { .. } => (Code::TimedOut, JobState::Unknown, RUNS_UNRECORDED),
        _ => (Code::TimedOut, JobState::Unknown, WAITS_UNRECORDED),
    };
    let reason = reason.to_string();
    JobAnswer { reason, retry, why, ..empty_answer(Some(key.clone()), code, state) }
}

/// Returns the answer for an open job from its record alone.
pub(super) fn record_answer(record: &JobRecord) -> JobAnswer {
    let status = match record.intent {
        Some(_) => JobStatus::Running { durable: true },
        None => JobStatus::Waiting { durable: true },
    };
    open_answer(&record.spec.key, &status, None)
}

/// Returns the answer for a request that timed out; `sent` is true if the request may still take
/// effect.
pub(super) fn timeout_answer(key: &JobKey, reason: &str, sent: bool) -> JobAnswer {
    let text = if sent { "ask for the status" } else { "this request has had no effect" };
    JobAnswer {
        reason: format!("{reason}; {text}"),
        retry: Some(UNKNOWN_RETRY_AFTER),
        ..empty_answer(Some(key.clone()), Code::TimedOut, JobState::Unknown)
    }
}

/// Returns the answer for a job that no placer knows while the store cannot be read.
pub(super) fn lookup_failed_answer(key: &JobKey) -> JobAnswer {
    JobAnswer {
        reason: "no placer that answers has the job, and the store can't be asked now".to_string(),
        retry: Some(UNKNOWN_RETRY_AFTER),
        ..empty_answer(Some(key.clone()), Code::StoreUnavailable, JobState::Unknown)
    }
}
