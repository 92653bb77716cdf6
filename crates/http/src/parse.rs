//! Parses messages from a buffer that may not hold a complete one yet.

use derive_more::Display;

use crate::message::{Method, Request, Response, find_header};

/// Largest number of headers of a message.
const HEADERS_MAX: usize = 64;

/// Size limits of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Largest head (start line and headers) in bytes.
    pub head: usize,
    /// Largest body in bytes.
    pub body: usize,
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
    /// The message is not valid HTTP/1.1.
    #[display("{_0}")]
    Syntax(String),
}

/// A complete message and its length in the buffer, or `None` if more bytes are needed.
pub(crate) type Parsed<T> = Result<Option<(T, usize)>, Malformed>;

/// Parses a request from the start of `bytes`.
pub(crate) fn parse_request(bytes: &[u8], bounds: &Bounds) -> Parsed<Request> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
    let mut head = httparse::Request::new(&mut headers);
    let length = match head.parse(bytes).map_err(head_error)? {
        httparse::Status::Complete(length) if length <= bounds.head => length,
        httparse::Status::Partial if bytes.len() <= bounds.head => return Ok(None),
        _ => return Err(Malformed::HeadTooLarge),
    };
    let method = match head.method {
        Some("GET") => Method::Get,
        Some("POST") => Method::Post,
        Some("DELETE") => Method::Delete,
        _ => Method::Other,
    };
    let target = head.path.unwrap_or("/").to_string();
    let headers = to_owned_headers(head.headers)?;
    let Some((body, end)) = parse_body(&bytes[length..], &headers, bounds, false)? else {
        return Ok(None);
    };
    Ok(Some((Request { method, target, headers, body }, length + end)))
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

/// Parses the body that follows a head; returns it with its encoded length. `eof` is true if the
/// peer sends nothing more.
fn parse_body(
    rest: &[u8],
    headers: &[(String, String)],
    bounds: &Bounds,
    eof: bool,
) -> Result<Option<(Vec<u8>, usize)>, Malformed> {
    if find_header(headers, "transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked"))
    {
        return parse_chunked(rest, bounds);
    }
    let Some(length) = find_header(headers, "content-length") else {
        // A response without a length extends to the end of the connection.
        return Ok(Some(if eof { (rest.to_vec(), rest.len()) } else { (Vec::new(), 0) }));
    };
    let invalid = || Malformed::Syntax(format!("{length:?} is not a length"));
    let length: usize = length.trim().parse().map_err(|_| invalid())?;
    if length > bounds.body {
        return Err(Malformed::BodyTooLarge);
    }
    Ok(rest.get(..length).map(|body| (body.to_vec(), length)))
}

fn parse_chunked(rest: &[u8], bounds: &Bounds) -> Result<Option<(Vec<u8>, usize)>, Malformed> {
    let (mut body, mut at) = (Vec::new(), 0);
    loop {
        let size = httparse::parse_chunk_size(&rest[at..]);
        let size = size.map_err(|_| Malformed::Syntax("invalid chunk size".to_string()))?;
        let httparse::Status::Complete((start, size)) = size else { return Ok(None) };
        let size = usize::try_from(size).map_err(|_| Malformed::BodyTooLarge)?;
        if body.len() + size > bounds.body {
            return Err(Malformed::BodyTooLarge);
        }
        let data = at + start;
        // Each chunk ends with CRLF. Trailers after the last chunk are not supported.
        let Some(chunk) = rest.get(data..data + size + 2) else { return Ok(None) };
        body.extend_from_slice(&chunk[..size]);
        at = data + size + 2;
        if size == 0 {
            return Ok(Some((body, at)));
        }
    }
}
