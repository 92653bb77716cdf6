//! Blocking HTTP client shared by all edges, so that size limits and timeouts are set in one place.

use bulrushlink_core::{Code, Error, Span};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Largest response body that is read, in bytes.
const RESPONSE_MAX_BYTES: u64 = 8 * 1024 * 1024;
/// Timeout for opening a connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// Content type of a request body.
const JSON_MEDIA: &str = "application/json";

/// Idle connections kept in the pool.
const IDLE_CONNECTIONS_MAX: usize = 256;
/// Idle connections kept in the pool for one address.
const IDLE_PER_HOST_MAX: usize = 16;

/// Opens a connection to an HTTP listener of this process and closes it at once, so that
/// `tiny_http` serves connections that are stuck in its queue.
///
/// `tiny_http` gives each connection a thread, and counts a thread as idle until it has woken up.
/// In a burst it may therefore leave a connection in its queue while every thread serves another
/// connection that stays open. The next connection makes it start or wake a thread, which takes
/// the oldest connection out of the queue. Calling this several times a second bounds the time
/// that a connection can be stuck.
pub fn poke(listener: SocketAddr) {
    let timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
    // An unreachable listener has no queued connections, so a failure can be ignored.
    drop(TcpStream::connect_timeout(&listener, timeout));
}

/// HTTP response of any status; its meaning is left to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpReply {
    /// HTTP status code.
    pub status: u16,
    /// Body, decoded as text.
    pub body: String,
}

impl HttpReply {
    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// [`Code::BadAnswer`] if the body isn't JSON or doesn't match `T`.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Error> {
        serde_json::from_str(&self.body)
            .map_err(|error| Error::new(Code::BadAnswer, format!("{error}: {}", self.body)))
    }
}

/// JSON request body, serialized before the call so that its size can be counted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JsonBody(Vec<u8>);

impl JsonBody {
    /// Serializes `value`.
    ///
    /// # Panics
    ///
    /// If `value` can't be serialized as JSON; every message of this crate can.
    pub fn of<T: Serialize>(value: &T) -> Self {
        Self(serde_json::to_vec(value).expect("message could not be serialized to JSON"))
    }

    /// Returns the size of the serialized body in bytes.
    pub fn size(&self) -> usize {
        self.0.len()
    }
}

/// Blocking HTTP client with a connection pool.
#[derive(Clone, Debug)]
pub struct Client {
    agent: ureq::Agent,
    token: Option<String>,
}

impl Client {
    /// Creates a client whose calls take at most `timeout`; `token` is sent as a bearer token.
    pub fn open(timeout: Span, token: Option<String>) -> Self {
        let config = ureq::Agent::config_builder()
            .timeout_connect(Some(Duration::from_millis(CONNECT_TIMEOUT_MS)))
            .timeout_global(Some(Duration::from_millis(timeout.millis())))
            .http_status_as_error(false)
            .max_idle_connections(IDLE_CONNECTIONS_MAX)
            .max_idle_connections_per_host(IDLE_PER_HOST_MAX)
            .build();
        Self { agent: config.new_agent(), token }
    }

    /// Sends a GET request.
    ///
    /// # Errors
    ///
    /// [`Code::Unreachable`] if no connection could be opened, and [`Code::TimedOut`] if no
    /// complete response came: the request may or may not have had its effect.
    pub fn get(&self, url: &str) -> Result<HttpReply, Error> {
        let request = self.authorize(self.agent.get(url));
        Self::read(request.call())
    }

    /// Sends a DELETE request.
    ///
    /// # Errors
    ///
    /// As [`Self::get`].
    pub fn delete(&self, url: &str) -> Result<HttpReply, Error> {
        let request = self.authorize(self.agent.delete(url));
        Self::read(request.call())
    }

    /// Sends a POST request with a JSON body.
    ///
    /// # Errors
    ///
    /// As [`Self::get`].
    pub fn post<T: Serialize>(&self, url: &str, body: &T) -> Result<HttpReply, Error> {
        self.post_body(url, &JsonBody::of(body))
    }

    /// Sends a POST request with an already serialized body.
    ///
    /// # Errors
    ///
    /// As [`Self::get`].
    pub fn post_body(&self, url: &str, body: &JsonBody) -> Result<HttpReply, Error> {
        let request = self.authorize(self.agent.post(url));
        Self::read(request.content_type(JSON_MEDIA).send(&body.0))
    }

    /// Sends a POST request with a JSON body, with the connect timeout limited to `within`.
    ///
    /// The connection is opened, and the request handed to the operating system, within that time;
    /// how long the network then takes can't be bounded here.
    ///
    /// # Errors
    ///
    /// As [`Self::get`].
    pub fn post_within(
        &self,
        url: &str,
        body: &JsonBody,
        within: Span,
    ) -> Result<HttpReply, Error> {
        let connect = within.millis().min(CONNECT_TIMEOUT_MS);
        let request = self.agent.post(url).config();
        let request = request.timeout_connect(Some(Duration::from_millis(connect))).build();
        Self::read(self.authorize(request).content_type(JSON_MEDIA).send(&body.0))
    }

    fn authorize<B>(&self, request: ureq::RequestBuilder<B>) -> ureq::RequestBuilder<B> {
        match &self.token {
            Some(token) => request.header("authorization", format!("Bearer {token}")),
            None => request,
        }
    }

    fn read(
        result: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
    ) -> Result<HttpReply, Error> {
        let mut response = result.map_err(|error| Self::classify_error(&error))?;
        let status = response.status().as_u16();
        let body = response.body_mut().with_config().limit(RESPONSE_MAX_BYTES).read_to_string();
        let body = body.map_err(|error| Error::new(Code::TimedOut, error.to_string()))?;
        Ok(HttpReply { status, body })
    }

    fn classify_error(error: &ureq::Error) -> Error {
        let refused = |e: &std::io::Error| e.kind() == std::io::ErrorKind::ConnectionRefused;
        let code = match error {
            ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => Code::Unreachable,
            ureq::Error::Timeout(ureq::Timeout::Connect) => Code::Unreachable,
            ureq::Error::Io(e) if refused(e) => Code::Unreachable,
            _ => Code::TimedOut,
        };
        Error::new(code, error.to_string())
    }
}
