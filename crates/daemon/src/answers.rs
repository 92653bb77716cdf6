//! The table from codes to HTTP statuses, and the HTTP answers built with it.

use bulrushlink_api::{JobAnswer, JobState, OperatorAnswer};
use bulrushlink_core::{Code, Error, Span};
use serde::Serialize;

use crate::edge::CallerAnswer;

#[cfg(test)]
mod tests;

/// Media type of all answers except the metrics page.
const JSON_MEDIA: &str = "application/json";
/// Media type of the metrics page: Prometheus text format.
const METRICS_MEDIA: &str = "text/plain; version=0.0.4";

/// An HTTP answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) media: &'static str,
    pub(crate) body: String,
    /// Value of `Retry-After`, which is rounded up to seconds.
    pub(crate) retry: Option<Span>,
}

impl Answer {
    pub(crate) fn json<T: Serialize>(code: Code, value: &T, retry: Option<Span>) -> Self {
        let body = serde_json::to_string(value).expect("answer could not be encoded as JSON");
        Self { status: http_status(code), media: JSON_MEDIA, body, retry }
    }

    pub(crate) fn metrics(body: String) -> Self {
        Self { status: http_status(Code::Done), media: METRICS_MEDIA, body, retry: None }
    }

    /// Encodes the node's answer to a caller.
    pub(crate) fn caller(answer: &CallerAnswer) -> Self {
        match answer {
            CallerAnswer::Job(job) => Self::json(job.code, job, job.retry),
            CallerAnswer::List(list) => Self::json(Code::Done, list, None),
        }
    }

    /// Encodes the node's answer to an operator.
    pub(crate) fn operator(answer: &OperatorAnswer) -> Self {
        match answer {
            OperatorAnswer::Check(check) => Self::json(check.code, answer, None),
            OperatorAnswer::Plan(plan) => Self::json(plan.code, answer, None),
            OperatorAnswer::Apply(apply) => Self::json(apply.code, answer, apply.settled_in),
            OperatorAnswer::Domains(domains) => Self::json(domains.code, answer, None),
            OperatorAnswer::Dump(_) => Self::json(Code::Done, answer, None),
            OperatorAnswer::Plain { code, retry, .. } => Self::json(*code, answer, *retry),
        }
    }

    /// Encodes the answer to a caller's request that was not forwarded to the node.
    pub(crate) fn caller_error(error: &Error, retry: Option<Span>) -> Self {
        let not_run = is_refusal(error.code());
        let job = JobAnswer {
            key: None,
            code: error.code(),
            state: if not_run { JobState::Refused } else { JobState::Error },
            not_run,
            output: Vec::new(),
            reason: error.text().to_string(),
            field: error.field().map(str::to_string),
            retry,
            why: None,
        };
        Self::json(error.code(), &job, retry)
    }

    /// Encodes the answer to an operator's request that was not forwarded to the node.
    pub(crate) fn operator_error(error: &Error, retry: Option<Span>) -> Self {
        Self::operator(&OperatorAnswer::Plain {
            code: error.code(),
            reason: error.text().to_string(),
            field: error.field().map(str::to_string),
            retry,
        })
    }
}

/// Returns true for the codes 200 to 299: the submission is refused and not run.
fn is_refusal(code: Code) -> bool {
    (Code::QueueFull..Code::Malformed).contains(&code)
}

/// Returns the HTTP status of a code; `docs/errors.md` documents the same table.
pub(crate) const fn http_status(code: Code) -> u16 {
    match code {
        Code::Accepted | Code::NotePending => 202,
        Code::Running
        | Code::Completed
        | Code::Failed
        | Code::Cancelled
        | Code::OutcomeUnknown
        | Code::Done => 200,
        Code::QueueFull => 429,
        Code::Overloaded
        | Code::StoreUnavailable
        | Code::NoDomain
        | Code::NoNote
        | Code::Stopping
        | Code::WaitedTooLong => 503,
        // A retry of the same request can't succeed.
        Code::NeverFits | Code::UnknownWorkspace | Code::DeadlinePassed => 422,
        Code::Malformed | Code::FieldInvalid | Code::Usage => 400,
        Code::Unauthorised => 401,
        Code::NoSuchPath | Code::NoSuchJob => 404,
        Code::RequestConflict | Code::NoteConflict => 409,
        Code::TooLarge => 413,
        Code::NoteInvalid | Code::NoteUnfit => 422,
        Code::SettingsInvalid => 500,
        Code::Unreachable | Code::PeerRejected | Code::BadAnswer => 502,
        Code::TimedOut => 504,
    }
}
