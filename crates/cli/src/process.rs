//! Commands of operators for daemons: `domains`, `dump`, `drain` and `settings check`.

use bulrushlink_api::{DomainsAnswer, Dump, HttpReply, OperatorAnswer};
use bulrushlink_core::{Code, Error};
use bulrushlink_daemon::Settings;
use serde::de::DeserializeOwned;

use crate::connect::OperatorClient;
use crate::options::{Parsed, read_file};
use crate::status::Status;
use crate::{Streams, table};

/// Runs `bulrushlink domains`.
pub(crate) fn domains(parsed: &Parsed, streams: &mut Streams<'_>) -> Result<Status, Error> {
    let reply = OperatorClient::open(parsed)?.get("/v1/domains")?;
    let answer: DomainsAnswer = parse_answer(&reply)?;
    if parsed.json() {
        streams.line(&reply.body);
    } else {
        streams.line(table::domains(&answer).trim_end());
    }
    Ok(Status::of(answer.code))
}

/// Runs `bulrushlink dump`.
pub(crate) fn dump(parsed: &Parsed, streams: &mut Streams<'_>) -> Result<Status, Error> {
    let reply = OperatorClient::open(parsed)?.get("/v1/dump")?;
    let dump: Dump = parse_answer(&reply)?;
    if parsed.json() {
        streams.line(&reply.body);
        return Ok(Status::Done);
    }
    let heading = format!("daemon {} in {}, up {}", dump.daemon, dump.domain, dump.age);
    streams.line(&heading);
    for section in &dump.sections {
        streams.line(&format!("\n[{}]", section.name));
        streams.line(&table::pretty(&section.state)?);
    }
    Ok(Status::Done)
}

/// Runs `bulrushlink drain`.
pub(crate) fn drain(parsed: &Parsed, streams: &mut Streams<'_>) -> Result<Status, Error> {
    let reply = OperatorClient::open(parsed)?.post("/v1/drain", &())?;
    let answer: OperatorAnswer = reply.json()?;
    let OperatorAnswer::Plain { code, reason, .. } = answer else {
        return Err(Error::new(Code::BadAnswer, reply.body));
    };
    streams.line(if parsed.json() { &reply.body } else { &reason });
    Ok(Status::of(code))
}

/// Runs `bulrushlink settings check`.
pub(crate) fn settings(parsed: &Parsed, streams: &mut Streams<'_>) -> Result<Status, Error> {
    let path = parsed.operand("SETTINGS.json")?;
    let settings = Settings::parse(&read_file(path)?)?;
    streams.line(&format!("the settings of daemon {} are valid", settings.daemon));
    Ok(Status::Done)
}

/// Parses a reply as the answer that a command expects. An error answer of the daemon is returned
/// as an error.
///
/// # Errors
///
/// The daemon's code, field and reason, or [`Code::BadAnswer`] if the reply is neither.
pub(crate) fn parse_answer<T: DeserializeOwned>(reply: &HttpReply) -> Result<T, Error> {
    if let Ok(answer) = reply.json() {
        return Ok(answer);
    }
    match reply.json()? {
        OperatorAnswer::Plain { code, reason, field, .. } => {
            let error = Error::new(code, reason);
            Err(field.map_or(error.clone(), |path| error.with_prefix(&path)))
        }
        _ => Err(Error::new(Code::BadAnswer, reply.body.clone())),
    }
}
