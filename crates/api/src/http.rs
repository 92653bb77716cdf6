//! One blocking HTTP client for every edge, so that limits and time-outs are set in one place.

use bulrushlink_core::{Code, Error, Span};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The largest answer that is read, in bytes.
const ANSWER_MAX_BYTES: u64 = 8 * 1024 * 1024;
/// Time to make a connection, in milliseconds.
const CONNECT_TIMEOUT_MS: u64 = 1_000;
/// Media type of a body.
const JSON_MEDIA: &str = "application/json";

/// Connections kept open between calls.
const IDLE_CONNECTIONS_MAX: usize = 256;
/// Connections kept open to one address.
const IDLE_PER_HOST_MAX: usize = 16;

/// Makes a connection to one of our own HTTP listeners and closes it at once.
///
/// `tiny_http` gives each connection a thread, and counts a thread as idle until it has woken up.
/// In a burst it may so leave a connection in its queue while every thread holds another one that
/// stays open. The next connection makes it start or wake a thread, which then takes the oldest
/// one out of the queue: a listener that is poked several times a second forgets nobody.
pub fn poke(listener: SocketAddr) {
    let timeout = Duration::from_millis(CONNECT_TIMEOUT_MS);
    // A listener that can't be reached has no connections to forget.
    drop(TcpStream::connect_timeout(&listener, timeout));
}

/// An answer whose status is not looked at.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpReply {
    /// HTTP status.
    pub status: u16,
    /// Body as text.
    pub body: String,
}

impl HttpReply {
    /// Reads the body as JSON.
    ///
    /// # Errors
    ///
    /// [`Code::BadAnswer`] when it isn't the JSON form of `T`.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Error> {
        serde_json::from_str(&self.body)
            .map_err(|error| Error::new(Code::BadAnswer, format!("{error}: {}", self.body)))
    }
}

/// A JSON body, serialised before its call so that its size can be counted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JsonBody(Vec<u8>);

impl JsonBody {
    /// Serialises `value`.
    ///
    /// # Panics
    ///
    /// When `value` has no JSON form, which no message of this crate is.
    pub fn of<T: Serialize>(value: &T) -> Self {
        Self(serde_json::to_vec(value).expect("a message has a JSON form"))
    }

    /// Returns the size in bytes.
    pub fn size(&self) -> usize {
        self.0.len()
    }
}

/// A client that keeps connections open between calls.
#[derive(Clone, Debug)]
pub struct Client {
    agent: ureq::Agent,
    token: Option<String>,
}

impl Client {
    /// Makes a client whose calls take at most `timeout`.
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

    /// Sends a GET.
    ///
    /// # Errors
    ///
    /// [`Code::Unreachable`] when no connection could be made, and [`Code::TimedOut`] when the
    /// answer is missing: the effect is then not known.
    pub fn get(&self, url: &str) -> Result<HttpReply, Error> {
        let request = self.authorise(self.agent.get(url));
        Self::read(request.call())
    }

    /// Sends a DELETE.
    ///
    /// # Errors
    ///
    /// As [`Self::get`].
    pub fn delete(&self, url: &str) -> Result<HttpReply, Error> {
        let request = self.authorise(self.agent.delete(url));
        Self::read(request.call())
    }

    /// Sends a POST with a JSON body.
    ///
    /// # Errors
    ///
    /// As [`Self::get`].
    pub fn post<T: Serialize>(&self, url: &str, body: &T) -> Result<HttpReply, Error> {
        self.post_body(url, &JsonBody::of(body))
    }

    /// Sends a POST with a body that is serialised already.
    ///
    /// # Errors
    ///
    /// As [`Self::get`].
    pub fn post_body(&self, url: &str, body: &JsonBody) -> Result<HttpReply, Error> {
        let request = self.authorise(self.agent.post(url));
        Self::read(request.content_type(JSON_MEDIA).send(&body.0))
    }

    /// Sends a POST with a JSON body that has to be on its way within `within`.
    ///
    /// The connection is made, and the request handed to the operating system, within that time;
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
        Self::read(self.authorise(request).content_type(JSON_MEDIA).send(&body.0))
    }

    fn authorise<B>(&self, request: ureq::RequestBuilder<B>) -> ureq::RequestBuilder<B> {
        match &self.token {
            Some(token) => request.header("authorization", format!("Bearer {token}")),
            None => request,
        }
    }

    fn read(
        result: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
    ) -> Result<HttpReply, Error> {
        let mut response = result.map_err(|error| Self::fault(&error))?;
        let status = response.status().as_u16();
        let body = response.body_mut().with_config().limit(ANSWER_MAX_BYTES).read_to_string();
        let body = body.map_err(|error| Error::new(Code::TimedOut, error.to_string()))?;
        Ok(HttpReply { status, body })
    }

    fn fault(error: &ureq::Error) -> Error {
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
