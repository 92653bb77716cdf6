//! Commands of operators for release notes.

use bulrushlink_api::{ApplyAnswer, CheckAnswer, PlanAnswer};
use bulrushlink_core::{Code, Error, ReleaseNote};
use std::time::{Duration, Instant};

use crate::connect::OperatorClient;
use crate::options::{Parsed, read_file, read_json};
use crate::process::parse_answer;
use crate::status::Status;
use crate::{Streams, table};

/// Pause between two requests of `note apply`, in milliseconds.
const POLL_PAUSE_MS: u64 = 500;

/// Runs `bulrushlink note check`.
pub(crate) fn check(parsed: &Parsed, streams: &mut Streams<'_>) -> Result<Status, Error> {
    let reply = OperatorClient::open(parsed)?.post("/v1/note/check", &read_note(parsed)?)?;
    let answer: CheckAnswer = parse_answer(&reply)?;
    print_warning(answer.warning.as_deref(), streams);
    if parsed.json() {
        streams.line(&reply.body);
    } else {
        streams.line(&format!("the note is valid and would be version {}", answer.would_be));
    }
    Ok(Status::of(answer.code))
}

/// Runs `bulrushlink note diff`.
pub(crate) fn diff(parsed: &Parsed, streams: &mut Streams<'_>) -> Result<Status, Error> {
    let reply = OperatorClient::open(parsed)?.post("/v1/note/diff", &read_note(parsed)?)?;
    let answer: PlanAnswer = parse_answer(&reply)?;
    if parsed.json() {
        streams.line(&reply.body);
        return Ok(Status::of(answer.code));
    }
    for change in &answer.changes {
        streams.line(&change.to_string());
    }
    Ok(Status::of(answer.code))
}

/// Runs `bulrushlink note show`.
pub(crate) fn show(parsed: &Parsed, streams: &mut Streams<'_>) -> Result<Status, Error> {
    let reply = OperatorClient::open(parsed)?.get("/v1/note")?;
    let answer: PlanAnswer = parse_answer(&reply)?;
    if parsed.json() {
        streams.line(&reply.body);
    } else {
        streams.line(&table::desired(&answer.desired));
    }
    Ok(Status::of(answer.code))
}

/// Runs `bulrushlink note apply`: repeats the request while the note is pending. The daemon answers
/// a note that was accepted before with its progress and doesn't apply it twice.
pub(crate) fn apply(parsed: &Parsed, streams: &mut Streams<'_>) -> Result<Status, Error> {
    let client = OperatorClient::open(parsed)?;
    let note = read_note(parsed)?;
    let deadline = Instant::now() + Duration::from_millis(parsed.wait_timeout()?.millis());
    let mut last_line = String::new();
    loop {
        let reply = client.post("/v1/note", &note)?;
        let answer: ApplyAnswer = parse_answer(&reply)?;
        if last_line.is_empty() {
            print_warning(answer.warning.as_deref(), streams);
        }
        let line = table::apply_progress(&answer);
        let stop = parsed.flag("no-wait") || Instant::now() >= deadline;
        if answer.code != Code::NotePending || stop {
            streams.line(if parsed.json() { &reply.body } else { &line });
            return Ok(Status::of(answer.code));
        }
        if last_line != line {
            streams.progress(&line);
            last_line = line;
        }
        std::thread::sleep(Duration::from_millis(POLL_PAUSE_MS));
    }
}

fn print_warning(warning: Option<&str>, streams: &mut Streams<'_>) {
    if let Some(text) = warning {
        streams.progress(&format!("warning: {text}"));
    }
}

fn read_note(parsed: &Parsed) -> Result<ReleaseNote, Error> {
    let path = parsed.operand("NOTE.json")?;
    read_json(path, &read_file(path)?)
}
