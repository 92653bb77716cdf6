//! Parses messages that arrive in parts.

use derive_more::Display;

use crate::body::BodyDecoder;
use crate::message::{Method, Request, Response, find_header};

/// Largest number of headers of a message.
const HEADERS_MAX: usize = 64;

/// Size limits of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Largest head (start line and headers) in bytes.
    pub head: usize,
    /// Largest body in bytes, without its framing.
    pub body: usize,
    /// Most bytes of the framing of a chunked body: sizes and extensions of chunks, line ends, trailers.
    pub framing: usize,
}

/// Why a message was rejected.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Malformed {
    /// The head exceeds [`Bounds::head`] or has too many headers.
    #[display("the head is too large")]
    HeadTooLarge,
    /// The body exceeds [`Bounds::body`].
    #[display("the body is too large")]
    BodyTooLarge,
    /// The framing of the body exceeds [`Bounds::framing`].
    #[display("the framing of the body is too large")]
    FramingTooLarge,
    /// The message is not valid HTTP/1.1.
    #[display("{_0}")]
    Syntax(String),
}

/// A complete message and its length in the buffer, or `None` if more bytes are needed.
pub(crate) type Parsed<T> = Result<Option<(T, usize)>, Malformed>;

/// Parser of the requests of a connection, one after another, each as it arrives.
#[derive(Debug, Default)]
pub(crate) struct RequestParser {
    /// Bytes of the head in which no end of it was found.
    scanned: usize,
    /// Bytes of the head that were parsed last, without its end among them.
    attempted: usize,
    /// The request and the part of its body that has arrived, once its head is complete.
    body: Option<(Request, BodyDecoder)>,
}

impl RequestParser {
    /// Returns the memory that a head and the part of its body that has arrived take, in bytes.
    pub(crate) fn memory(&self) -> usize {
        self.body.as_ref().map_or(0, |(request, body)| request.size() + body.memory())
    }

    /// Returns the length of the part of a head that was parsed last, in bytes.
    #[cfg(test)]
    pub(crate) fn attempted(&self) -> usize {
        self.attempted
    }

    /// Returns true if the head of a request is complete and its body isn't.
    pub(crate) fn is_in_body(&self) -> bool {
        self.body.is_some()
    }

    /// Parses the bytes that follow those that earlier calls have used. Returns how many it has used, and the
    /// request if it is complete; the bytes of an incomplete head aren't used.
    ///
    /// # Errors
    ///
    /// If the request is malformed, or exceeds the bounds.
    pub(crate) fn feed(
        &mut self,
        bytes: &[u8],
        bounds: &Bounds,
    ) -> Result<(usize, Option<Request>), Malformed> {
        let mut used = 0;
        let (request, mut body) = match self.body.take() {
            Some(begun) => begun,
            None => {
                // Empty lines before a request are ignored.
                let is_blank = |b: &u8| matches!(b, b'\r' | b'\n');
                if self.scanned == 0 {
                    used = bytes.iter().take_while(|b| is_blank(b)).count();
                }
                let Some((request, body, length)) = self.parse_head(&bytes[used..], bounds)? else {
                    return Ok((used, None));
                };
                used += length;
                (request, body)
            }
        };
        let progress = body.feed(&bytes[used..], bounds)?;
        used += progress.used;
        if !progress.complete {
            self.body = Some((request, body));
            return Ok((used, None));
        }
        Ok((used, Some(Request { body: body.into_body(), ..request })))
    }

    /// Parses a head once its end has arrived, and before that each time it has doubled, so that what is no
    /// request is rejected early.
    fn parse_head(
        &mut self,
        bytes: &[u8],
        bounds: &Bounds,
    ) -> Result<Option<(Request, BodyDecoder, usize)>, Malformed> {
        let complete = find_head_end(bytes, self.scanned);
        self.scanned = bytes.len();
        if complete.is_none() && bytes.len() <= bounds.head && bytes.len() / 2 < self.attempted {
            return Ok(None);
        }
        self.attempted = bytes.len();
        let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
        let mut head = httparse::Request::new(&mut headers);
        let length = match head.parse(bytes).map_err(head_error)? {
            httparse::Status::Complete(length) if length <= bounds.head => length,
            httparse::Status::Partial if complete.is_some() => {
                return Err(Malformed::Syntax("the head has no end".to_string()));
            }
            httparse::Status::Partial if bytes.len() <= bounds.head => return Ok(None),
            _ => return Err(Malformed::HeadTooLarge),
        };
        (self.scanned, self.attempted) = (0, 0);
        let method = match head.method {
            Some("GET") => Method::Get,
            Some("POST") => Method::Post,
            Some("DELETE") => Method::Delete,
            _ => Method::Other,
        };
        let target = head.path.unwrap_or("/").to_string();
        let headers = to_owned_headers(head.headers)?;
        let body = match body_length(&headers)? {
            BodyLength::Chunked => BodyDecoder::chunked(),
            BodyLength::Sized(length) => BodyDecoder::sized(length, bounds)?,
            BodyLength::Unknown => BodyDecoder::sized(0, bounds)?,
        };
        Ok(Some((Request { method, target, headers, body: Vec::new() }, body, length)))
    }
}

/// Returns the end of the first empty line, if it is beyond the bytes that were scanned before.
fn find_head_end(bytes: &[u8], scanned: usize) -> Option<usize> {
    // The line end before the empty line may have been scanned before.
    let start = scanned.saturating_sub(2);
    let line_feeds = bytes.iter().enumerate().skip(start).filter(|(_, b)| **b == b'\n');
    line_feeds.map(|(at, _)| at).find_map(|at| match bytes.get(at + 1..) {
        Some([b'\n', ..]) => Some(at + 2),
        Some([b'\r', b'\n', ..]) => Some(at + 3),
        _ => None,
    })
}

/// Parses a response from the start of `bytes`; `eof` is true if the peer sends nothing more.
pub(crate) fn parse_response(bytes: &[u8], bounds: &Bounds, eof: bool) -> Parsed<Response> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut head = httparse::Response::new(&mut headers);
    let length = match head.parse(bytes).map_err(head_error)? {
        httparse::Status::Complete(length) => length,
        httparse::Status::Partial if bytes.len() <= bounds.head => return Ok(None),
        httparse::Status::Partial => return Err(Malformed::HeadTooLarge),
    };
    let status = head.code.unwrap_or(0);
    let headers = to_owned_headers(head.headers)?;
    let Some((body, end)) = parse_body(&bytes[length..], &headers, bounds, eof)? else {
        return Ok(None);
    };
    Ok(Some((Response { status, headers, body }, length + end)))
}

fn head_error(error: httparse::Error) -> Malformed {
    match error {
        httparse::Error::TooManyHeaders => Malformed::HeadTooLarge,
        other => Malformed::Syntax(other.to_string()),
    }
}

fn to_owned_headers(headers: &[httparse::Header<'_>]) -> Result<Vec<(String, String)>, Malformed> {
    let text = |bytes: &[u8]| {
        String::from_utf8(bytes.to_vec())
            .map_err(|_| Malformed::Syntax("a header is not UTF-8".to_string()))
    };
    headers.iter().map(|h| Ok((h.name.to_string(), text(h.value)?))).collect()
}

/// How the end of a body is found.
enum BodyLength {
    /// By its last chunk.
    Chunked,
    /// By its length in bytes.
    Sized(usize),
    /// The head doesn't say.
    Unknown,
}

fn body_length(headers: &[(String, String)]) -> Result<BodyLength, Malformed> {
    if let Some(encoding) = find_header(headers, "transfer-encoding") {
        return match encoding.trim().eq_ignore_ascii_case("chunked") {
            true => Ok(BodyLength::Chunked),
            // The end of such a body can't be found.
            false => Err(Malformed::Syntax("this transfer encoding is not supported".to_string())),
        };
    }
    let Some(length) = find_header(headers, "content-length") else {
        return Ok(BodyLength::Unknown);
    };
    let digits = length.trim();
    let invalid = || Malformed::Syntax("the content length is not a number".to_string());
    if digits.is_empty() || !digits.bytes().all(|b| b.is_ascii_digit()) {
        return Err(invalid());
    }
    // Digits only: a number that can't be represented is too large.
    digits.parse().map(BodyLength::Sized).map_err(|_| Malformed::BodyTooLarge)
}

/// Parses the body that follows the head of a response; returns it with its encoded length. `eof` is true if
/// the peer sends nothing more.
fn parse_body(
    rest: &[u8],
    headers: &[(String, String)],
    bounds: &Bounds,
    eof: bool,
) -> Result<Option<(Vec<u8>, usize)>, Malformed> {
    let mut decoder = match body_length(headers)? {
        BodyLength::Chunked => BodyDecoder::chunked(),
        BodyLength::Sized(length) => BodyDecoder::sized(length, bounds)?,
        // A response without a length extends to the end of the connection.
        BodyLength::Unknown if eof => return Ok(Some((rest.to_vec(), rest.len()))),
        BodyLength::Unknown => return Ok(Some((Vec::new(), 0))),
    };
    // Copies nothing before a body with a length is complete: this is called for each part of it.
    if !decoder.may_complete(rest.len()) {
        return Ok(None);
    }
    let progress = decoder.feed(rest, bounds)?;
    Ok(progress.complete.then(|| (decoder.into_body(), progress.used)))
}
