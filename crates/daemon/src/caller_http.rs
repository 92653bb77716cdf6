//! The HTTP API for callers.

use bulrushlink_api::{ListQuery, StatusQuery, SubmitBody, from_json};
use bulrushlink_core::{Code, Error, JobKey, Span};
use serde::Serialize;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tiny_http::{Method, Request};

use crate::answers::Answer;
use crate::edge::{CallerCall, Input};
use crate::listener::{Api, Incoming, ParsedRequest};

/// Answer of `GET /ready`.
#[derive(Debug, Serialize)]
struct ReadyAnswer {
    ready: bool,
}

/// Parses callers' requests and answers readiness checks.
pub(crate) struct CallerApi {
    ready: Arc<AtomicBool>,
}

impl CallerApi {
    /// Creates the API; `ready` is true while the load balancer may send new requests here.
    pub(crate) fn new(ready: Arc<AtomicBool>) -> Self {
        Self { ready }
    }

    fn readiness(&self) -> Answer {
        let ready = self.ready.load(Ordering::SeqCst);
        let code = if ready { Code::Done } else { Code::Stopping };
        Answer::json(code, &ReadyAnswer { ready }, None)
    }
}

impl Api for CallerApi {
    fn authorize(&self, _request: &Request) -> Result<(), Error> {
        Ok(())
    }

    fn parse(&self, incoming: Incoming) -> Result<ParsedRequest, Error> {
        if incoming.method == Method::Get && incoming.path == "/ready" {
            return Ok(ParsedRequest::Answer(self.readiness()));
        }
        let call = parse_call(&incoming)?;
        Ok(ParsedRequest::Forward(Box::new(move |token| Input::Caller(token, call))))
    }

    fn error_answer(&self, error: &Error, retry: Option<Span>) -> Answer {
        Answer::caller_error(error, retry)
    }
}

fn parse_call(incoming: &Incoming) -> Result<CallerCall, Error> {
    let no_path = || no_such_path(incoming);
    let rest = incoming.path.strip_prefix("/v1/jobs").ok_or_else(no_path)?;
    let parts: Vec<&str> = rest.split('/').skip(1).collect();
    match (&incoming.method, parts.as_slice()) {
        (Method::Post, []) if rest.is_empty() => parse_submit(incoming),
        (Method::Get, [workspace]) => parse_list(workspace, incoming),
        (Method::Get, [workspace, request]) => {
            parse_status(parse_key(workspace, request)?, incoming)
        }
        (Method::Delete, [workspace, request]) => {
            Ok(CallerCall::Cancel(parse_key(workspace, request)?))
        }
        _ => Err(no_path()),
    }
}

fn parse_submit(incoming: &Incoming) -> Result<CallerCall, Error> {
    let body: SubmitBody = from_json(&incoming.body)?;
    body.spec().check()?;
    Ok(CallerCall::Submit(body))
}

fn parse_list(workspace: &str, incoming: &Incoming) -> Result<CallerCall, Error> {
    let mut query =
        ListQuery { workspace: at_field("/workspace", workspace.parse())?, after: None };
    for (name, value) in query_pairs(&incoming.query) {
        match name {
            "after" => query.after = Some(at_field("?after", value.parse())?),
            _ => return Err(unknown_parameter(name)),
        }
    }
    Ok(CallerCall::List(query))
}

fn parse_status(key: JobKey, incoming: &Incoming) -> Result<CallerCall, Error> {
    let mut query = StatusQuery { key, wait: None, why: false };
    for (name, value) in query_pairs(&incoming.query) {
        match (name, value) {
            ("wait", value) => query.wait = Some(at_field("?wait", value.parse())?),
            ("why", "1") => query.why = true,
            ("why", "0") => query.why = false,
            ("why", _) => return Err(Error::at(Code::FieldInvalid, "?why", "must be 0 or 1")),
            _ => return Err(unknown_parameter(name)),
        }
    }
    Ok(CallerCall::Status(query))
}

fn parse_key(workspace: &str, request: &str) -> Result<JobKey, Error> {
    Ok(JobKey {
        workspace: at_field("/workspace", workspace.parse())?,
        request: at_field("/request", request.parse())?,
    })
}

/// Adds the path of the field to an error.
fn at_field<T>(path: &str, parsed: Result<T, Error>) -> Result<T, Error> {
    parsed.map_err(|error| error.with_prefix(path))
}

/// Splits a query into names and values. Escapes are not decoded: identifiers and times need none.
fn query_pairs(query: &str) -> impl Iterator<Item = (&str, &str)> {
    let parts = query.split('&').filter(|part| !part.is_empty());
    parts.map(|part| part.split_once('=').unwrap_or((part, "")))
}

fn unknown_parameter(name: &str) -> Error {
    Error::at(Code::FieldInvalid, format!("?{name}"), "unknown parameter")
}

/// Returns the error for an unknown path or method.
pub(crate) fn no_such_path(incoming: &Incoming) -> Error {
    Error::new(Code::NoSuchPath, format!("there is no {} {}", incoming.method, incoming.path))
}
