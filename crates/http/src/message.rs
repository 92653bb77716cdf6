//! Whole messages.

use derive_more::Display;

/// A method of a request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Method {
    /// Reads.
    #[display("GET")]
    Get,
    /// Submits.
    #[display("POST")]
    Post,
    /// Removes.
    #[display("DELETE")]
    Delete,
    /// Any other method, which nothing here serves.
    #[display("OTHER")]
    Other,
}

/// A request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// Path and query as they are on the wire.
    pub target: String,
    /// Names as they came, with their values.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

/// A response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The status.
    pub status: u16,
    /// Names as they came, with their values.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

/// Finds a header, whatever the case of its name.
pub(crate) fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

impl Request {
    /// Makes a request without a body.
    pub fn new(method: Method, target: impl Into<String>) -> Self {
        Self { method, target: target.into(), headers: Vec::new(), body: Vec::new() }
    }

    /// Adds a header.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: impl Into<String>) -> Self {
        self.headers.push((name.to_string(), value.into()));
        self
    }

    /// Adds a JSON body.
    #[must_use]
    pub fn with_json(self, body: Vec<u8>) -> Self {
        let mut request = self.with_header("Content-Type", "application/json");
        request.body = body;
        request
    }

    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split_once('?').map_or(&self.target, |(path, _)| path)
    }

    /// Returns the bytes on the wire.
    pub fn encode(&self) -> Vec<u8> {
        let mut text = format!("{} {} HTTP/1.1\r\n", self.method, self.target);
        encode_rest(&mut text, &self.headers, self.body.len());
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

impl Response {
    /// Makes a response without a body.
    pub const fn new(status: u16) -> Self {
        Self { status, headers: Vec::new(), body: Vec::new() }
    }

    /// Adds a header.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: impl Into<String>) -> Self {
        self.headers.push((name.to_string(), value.into()));
        self
    }

    /// Adds a body of the given type.
    #[must_use]
    pub fn with_body(self, kind: &str, body: Vec<u8>) -> Self {
        let mut response = self.with_header("Content-Type", kind);
        response.body = body;
        response
    }

    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    /// Returns the bytes on the wire; `close` announces the end of the connection.
    pub fn encode(&self, close: bool) -> Vec<u8> {
        let mut text = format!("HTTP/1.1 {} {}\r\n", self.status, reason(self.status));
        if close {
            text.push_str("Connection: close\r\n");
        }
        encode_rest(&mut text, &self.headers, self.body.len());
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

fn encode_rest(text: &mut String, headers: &[(String, String)], body: usize) {
    for (name, value) in headers {
        text.push_str(name);
        text.push_str(": ");
        text.push_str(value);
        text.push_str("\r\n");
    }
    text.push_str(&format!("Content-Length: {body}\r\n\r\n"));
}

const fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        410 => "Gone",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
