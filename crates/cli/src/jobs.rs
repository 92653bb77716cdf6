//! What callers do: submit, ask, wait, cancel and list.

use bulrushlink_api::{JobAnswer, JobList, JobState};
use bulrushlink_core::{Code, Error, Span};
use std::time::{Duration, Instant};

use crate::connect::Callers;
use crate::options::Parsed;
use crate::status::Status;
use crate::{Streams, table};

/// Longest time that one call of `wait` stays open.
const POLL: Span = Span::from_secs(20);
/// Pause between two calls of `wait` when the daemon answers at once, in milliseconds.
const POLL_PAUSE_MS: u64 = 500;

/// `bulrushlink submit`.
pub(crate) fn submit(parsed: &Parsed, streams: &mut Streams<'_>) -> Result<Status, Error> {
    let mut status = Status::Done;
    for body in parsed.bodies()? {
        let callers = Callers::open(parsed, body.wait.unwrap_or_default())?;
        let answer: JobAnswer = callers.post("/v1/jobs", &body)?;
        status = status.worse(print(&answer, parsed, streams)?);
    }
    Ok(status)
}

/// `bulrushlink status`.
pub(crate) fn status(parsed: &Parsed, streams: &mut Streams<'_>) -> Result<Status, Error> {
    let callers = Callers::open(parsed, Span::ZERO)?;
    let why = if parsed.flag("why") { "?why=1" } else { "" };
    let answer = callers.get(&format!("/v1/jobs/{}{why}", parsed.job()?))?;
    print(&answer, parsed, streams)
}

/// `bulrushlink wait`.
pub(crate) fn wait(parsed: &Parsed, streams: &mut Streams<'_>) -> Result<Status, Error> {
    let callers = Callers::open(parsed, POLL)?;
    let key = parsed.job()?;
    let end = Instant::now() + Duration::from_millis(parsed.patience()?.millis());
    let mut shown = None;
    loop {
        let left = end.saturating_duration_since(Instant::now()).as_millis() as u64;
        let poll = POLL.min(Span(left));
        let path = format!("/v1/jobs/{key}?wait={}ms", poll.millis());
        let answer: JobAnswer = callers.get(&path)?;
        let open = matches!(answer.state, JobState::Accepted | JobState::Running);
        let later = answer.state == JobState::Error && answer.retry.is_some();
        if !(open || later) || left == 0 {
            return print(&answer, parsed, streams);
        }
        if shown != Some(answer.state) {
            shown = Some(answer.state);
            streams.progress(&format!("{key}: {}", table::job_line(&answer)));
        }
        std::thread::sleep(Duration::from_millis(POLL_PAUSE_MS.min(left)));
    }
}

/// `bulrushlink cancel`.
pub(crate) fn cancel(parsed: &Parsed, streams: &mut Streams<'_>) -> Result<Status, Error> {
    let callers = Callers::open(parsed, Span::ZERO)?;
    let answer: JobAnswer = callers.delete(&format!("/v1/jobs/{}", parsed.job()?))?;
    match print(&answer, parsed, streams)? {
        Status::Cancelled => Ok(Status::Done),
        status => Ok(status),
    }
}

/// `bulrushlink list`.
pub(crate) fn list(parsed: &Parsed, streams: &mut Streams<'_>) -> Result<Status, Error> {
    let callers = Callers::open(parsed, Span::ZERO)?;
    let workspace = parsed.operand("WORKSPACE")?;
    let mut after = String::new();
    loop {
        let page: JobList = callers.get(&format!("/v1/jobs/{workspace}{after}"))?;
        for answer in &page.jobs {
            print(answer, parsed, streams)?;
        }
        if !page.complete {
            streams.progress("the store can't be asked now: this list may lack jobs");
        }
        match page.jobs.last().and_then(|answer| answer.key.as_ref()) {
            Some(key) if page.more => after = format!("?after={}", key.request),
            _ => return Ok(Status::Done),
        }
    }
}

fn print(answer: &JobAnswer, parsed: &Parsed, streams: &mut Streams<'_>) -> Result<Status, Error> {
    if parsed.json() {
        streams.line(&table::json(answer)?);
    } else {
        streams.line(&table::job(answer));
    }
    match answer.state {
        JobState::Error if answer.code == Code::StoreUnavailable => Ok(Status::NoAnswer),
        _ => Ok(Status::of(answer.code)),
    }
}
