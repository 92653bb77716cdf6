//! HTTP requests and responses, and their encoding.

use derive_more::Display;

/// Method of a request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Method {
    /// `GET`.
    #[display("GET")]
    Get,
    /// `POST`.
    #[display("POST")]
    Post,
    /// `DELETE`.
    #[display("DELETE")]
    Delete,
    /// Any other method; no listener supports one.
    #[display("OTHER")]
    Other,
}

/// An HTTP request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The method.
    pub method: Method,
    /// Request target: path and query, still percent-encoded.
    pub target: String,
    /// Names and values of the headers; names keep their case.
    pub headers: Vec<(String, String)>,
    /// Body, without any transfer encoding.
    pub body: Vec<u8>,
}

/// An HTTP response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Names and values of the headers; names keep their case.
    pub headers: Vec<(String, String)>,
    /// Body, without any transfer encoding.
    pub body: Vec<u8>,
}

/// Returns the value of the first header of that name, ignoring case.
pub(crate) fn find_header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

impl Request {
    /// Creates a request without headers and body.
    pub fn new(method: Method, target: impl Into<String>) -> Self {
        Self { method, target: target.into(), headers: Vec::new(), body: Vec::new() }
    }

    /// Adds a header.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: impl Into<String>) -> Self {
        self.headers.push((name.to_string(), value.into()));
        self
    }

    /// Sets a JSON body and its content type.
    #[must_use]
    pub fn with_json(self, body: Vec<u8>) -> Self {
        let mut request = self.with_header("Content-Type", "application/json");
        request.body = body;
        request
    }

    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }

    /// Returns the memory that the request takes, in bytes: its target, headers and body.
    pub fn size(&self) -> usize {
        let header = size_of::<(String, String)>();
        let headers = self.headers.iter().map(|(name, value)| header + name.len() + value.len());
        self.target.len() + headers.sum::<usize>() + self.body.len()
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split_once('?').map_or(&self.target, |(path, _)| path)
    }

    /// Encodes the request for the wire.
    pub fn encode(&self) -> Vec<u8> {
        let mut text = format!("{} {} HTTP/1.1\r\n", self.method, self.target);
        encode_headers(&mut text, &self.headers, self.body.len());
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

impl Response {
    /// Creates a response without headers and body.
    pub const fn new(status: u16) -> Self {
        Self { status, headers: Vec::new(), body: Vec::new() }
    }

    /// Adds a header.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: impl Into<String>) -> Self {
        self.headers.push((name.to_string(), value.into()));
        self
    }

    /// Sets a body of the given content type.
    #[must_use]
    pub fn with_body(self, kind: &str, body: Vec<u8>) -> Self {
        let mut response = self.with_header("Content-Type", kind);
        response.body = body;
        response
    }

    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        find_header(&self.headers, name)
    }

    /// Encodes the response for the wire; `close` adds `Connection: close`.
    pub fn encode(&self, close: bool) -> Vec<u8> {
        let mut text = format!("HTTP/1.1 {} {}\r\n", self.status, reason(self.status));
        if close {
            text.push_str("Connection: close\r\n");
        }
        encode_headers(&mut text, &self.headers, self.body.len());
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

fn encode_headers(text: &mut String, headers: &[(String, String)], body: usize) {
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
