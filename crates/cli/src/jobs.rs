//! Commands of callers: `submit`, `status`, `wait`, `cancel` and `list`.

use bulrushlink_api::{JobAnswer, JobList, JobState};
use bulrushlink_core::{Code, Error, Span};
use std::time::{Duration, Instant};

use crate::connect::CallerClient;
use crate::options::Parsed;
use crate::status::Status;
use crate::{Streams, table};

/// Longest time for which one request of `wait` asks the daemon to delay its answer.
const LONG_POLL_MAX: Span = Span::from_secs(20);
/// Pause between two requests of `wait` in milliseconds, in case the daemon answers at once.
const POLL_PAUSE_MS: u64 = 500;

/// Runs `bulrushlink submit`.
pub(crate) fn submit(parsed: &Parsed, streams: &mut Streams<'_>) -> Result<Status, Error> {
    let mut status = Status::Done;
    for body in parsed.bodies()? {
        let client = CallerClient::open(parsed, body.wait.unwrap_or_default())?;
        let answer: JobAnswer = client.post("/v1/jobs", &body)?;
        status = status.worse(print(&answer, parsed, streams)?);
    }
    Ok(status)
}

/// Runs `bulrushlink status`.
pub(crate) fn status(parsed: &Parsed, streams: &mut Streams<'_>) -> Result<Status, Error> {
    let client = CallerClient::open(parsed, Span::ZERO)?;
    let why = if parsed.flag("why") { "?why=1" } else { "" };
    let answer = client.get(&format!("/v1/jobs/{}{why}", parsed.job()?))?;
    print(&answer, parsed, streams)
}

/// Runs `bulrushlink wait`.
pub(crate) fn wait(parsed: &Parsed, streams: &mut Streams<'_>) -> Result<Status, Error> {
    let client = CallerClient::open(parsed, LONG_POLL_MAX)?;
    let key = parsed.job()?;
    let deadline = Instant::now() + Duration::from_millis(parsed.wait_timeout()?.millis());
    let mut last_state = None;
    loop {
        let remaining = deadline.saturating_duration_since(Instant::now()).as_millis() as u64;
        let poll = LONG_POLL_MAX.min(Span(remaining));
        let path = format!("/v1/jobs/{key}?wait={}ms", poll.millis());
        let answer: JobAnswer = client.get(&path)?;
        let open = matches!(answer.state, JobState::Accepted | JobState::Running);
        let retryable = answer.state == JobState::Error && answer.retry.is_some();
        if !(open || retryable) || remaining == 0 {
            return print(&answer, parsed, streams);
        }
        if last_state != Some(answer.state) {
            last_state = Some(answer.state);
            streams.progress(&format!("{key}: {}", table::job_line(&answer)));
        }
        std::thread::sleep(Duration::from_millis(POLL_PAUSE_MS.min(remaining)));
    }
}

/// Runs `bulrushlink cancel`.
pub(crate) fn cancel(parsed: &Parsed, streams: &mut Streams<'_>) -> Result<Status, Error> {
    let client = CallerClient::open(parsed, Span::ZERO)?;
    let answer: JobAnswer = client.delete(&format!("/v1/jobs/{}", parsed.job()?))?;
    match print(&answer, parsed, streams)? {
        Status::Cancelled => Ok(Status::Done),
        status => Ok(status),
    }
}

/// Runs `bulrushlink list`.
pub(crate) fn list(parsed: &Parsed, streams: &mut Streams<'_>) -> Result<Status, Error> {
    let client = CallerClient::open(parsed, Span::ZERO)?;
    let workspace = parsed.operand("WORKSPACE")?;
    let mut after = String::new();
    loop {
        let page: JobList = client.get(&format!("/v1/jobs/{workspace}{after}"))?;
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
