//! Reads the bodies of requests within limits, which the library doesn't have.

use bulrushlink_core::{Code, Error};
use std::io::{Read, Write};
use tiny_http::{Request, Response};

use crate::answers::Answer;

/// The library reads bodies up to this size before it delivers a request.
const BUFFERED_MAX_BYTES: usize = 1_024;
/// Status of an interim answer.
const INTERIM_STATUS: u16 = 100;
/// The largest announced body that the library may discard.
const DISCARD_MAX_BYTES: usize = 16 * 1024 * 1024;

/// Returns true if the body has been received already, so that reading it doesn't block.
pub(super) fn is_buffered(request: &Request) -> bool {
    let chunked = request.headers().iter().any(|h| h.field.equiv("Transfer-Encoding"));
    !chunked && request.body_length().is_none_or(|length| length <= BUFFERED_MAX_BYTES)
}

/// Reads the body as text.
pub(super) fn read(request: &mut Request, limit: usize) -> Result<String, Error> {
    let too_large = || Error::new(Code::TooLarge, format!("the body is over {limit} bytes"));
    if request.body_length().is_some_and(|length| length > limit) {
        return Err(too_large());
    }
    let mut bytes = Vec::new();
    let read = request.as_reader().take(limit as u64 + 1).read_to_end(&mut bytes);
    read.map_err(|error| Error::new(Code::Malformed, format!("the body broke off: {error}")))?;
    if bytes.len() > limit {
        return Err(too_large());
    }
    String::from_utf8(bytes).map_err(|_| Error::new(Code::Malformed, "the body is not UTF-8"))
}

/// Returns true if the announced body is too large for the library to discard.
pub(super) fn must_abandon(request: &Request, limit: usize) -> bool {
    request.body_length().is_some_and(|length| length > limit.max(DISCARD_MAX_BYTES))
}

/// Answers a request and leaks its connection.
///
/// The library discards an unread body through a buffer of the announced length, so that a single
/// header could make the process run out of memory. The connection's reader is leaked instead,
/// which costs the connection and its thread, as an idle connection does. The library releases its
/// reader only together with an answer without a body, so an interim answer is sent first, and the
/// real one is written directly.
pub(super) fn abandon(request: Request, answer: &Answer) {
    let mut stream = request.upgrade("none", Response::empty(INTERIM_STATUS));
    let Answer { status, media, body, .. } = answer;
    let head = format!(
        "HTTP/1.1 {status} Refused\r\nConnection: close\r\nContent-Type: {media}\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    );
    // Errors are ignored: a client that has closed its connection needs no answer.
    let _ = stream.write_all(format!("{head}{body}").as_bytes());
    let _ = stream.flush();
    std::mem::forget(stream);
}
