//! HTTP listener with limits on connections, message sizes and idle time.

use bulrushlink_core::{Moment, Span};
use derive_more::Display;
use stakker::Fwd;
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::{TcpListener, TcpStream};
use stakker_mio::{MioPoll, MioSource, ReadStatus, Ready, TcpStreamBuf};
use std::io::ErrorKind;
use std::net::SocketAddr;

use crate::POLL_PRIORITY;
use crate::message::{Request, Response};
use crate::parse::{Bounds, Malformed, RequestParser};

/// Size of one read in bytes.
const READ_BYTES: usize = 4 * 1024;

/// Identifier of a connection, unique within its listener.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);

/// Limits of a listener and its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerBounds {
    /// Size limits of a request.
    pub request: Bounds,
    /// Time for a complete request to arrive, from its first byte; also the time that a closing
    /// connection gets to send its last response.
    pub request_timeout: Span,
    /// Time after which a connection without a request is closed.
    pub idle_timeout: Span,
    /// Largest number of open connections; further ones are closed at once.
    pub connections: usize,
}

/// A complete request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Received {
    /// Connection that the request arrived on.
    pub conn: ConnId,
    /// The request.
    pub request: Request,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// No byte of the next request has arrived.
    Idle,
    /// Part of a request has arrived.
    Reading,
    /// A request waits for its response.
    Serving,
    /// Closes once the output buffer is sent.
    Closing,
}

struct Conn {
    id: u64,
    stream: TcpStreamBuf,
    state: State,
    /// Time of the latest change of `state`.
    since: Moment,
    /// Whether the peer asked to close the connection after the response.
    close_after: bool,
    /// Whether the peer has shut down its sending side.
    eof: bool,
    parser: RequestParser,
}

/// A listener with its connections.
pub struct Server {
    listener: MioSource<TcpListener>,
    bounds: ServerBounds,
    /// Sorted by `id`.
    conns: Vec<Conn>,
    /// `id` of the latest connection.
    last_id: u64,
    /// Whether each connection is closed after its next response.
    draining: bool,
    /// Connections that closed while a request waited for its response.
    disconnected: Vec<ConnId>,
}

impl Server {
    /// Registers a bound socket with the poll loop and starts to listen.
    ///
    /// # Errors
    ///
    /// If the socket can't be registered for polling.
    pub fn open(
        poll: &MioPoll,
        listener: std::net::TcpListener,
        bounds: ServerBounds,
        ready: Fwd<Ready>,
    ) -> std::io::Result<Self> {
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener);
        let listener = poll.add(listener, Interest::READABLE, POLL_PRIORITY, ready)?;
        let (conns, disconnected) = (Vec::new(), Vec::new());
        Ok(Self { listener, bounds, conns, last_id: 0, draining: false, disconnected })
    }

    /// Returns the address that it listens on.
    ///
    /// # Errors
    ///
    /// If the operating system reports no address.
    pub fn addr(&self) -> std::io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Replaces the limits; they apply to open connections too.
    pub fn set_bounds(&mut self, bounds: ServerBounds) {
        self.bounds = bounds;
    }

    /// Returns the current limits.
    pub fn bounds(&self) -> ServerBounds {
        self.bounds
    }

    /// Accepts pending connections; `ready` creates the handler of readiness events for each.
    pub fn accept(&mut self, poll: &MioPoll, ready: impl Fn(u64) -> Fwd<Ready>, now: Moment) {
        loop {
            match self.listener.accept() {
                Ok((stream, from)) if self.conns.len() >= self.bounds.connections => {
                    log::warn!(
                        event = "connection_refused", from:% = from;
                        "the limit of {} open connections is reached", self.bounds.connections
                    );
                    drop(stream);
                }
                Ok((stream, _)) => self.add(poll, &ready, stream, now),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => {
                    log::warn!(event = "accept_failed"; "can't accept connections: {error}");
                    break;
                }
            }
        }
    }

    fn add(
        &mut self,
        poll: &MioPoll,
        ready: &impl Fn(u64) -> Fwd<Ready>,
        stream: TcpStream,
        now: Moment,
    ) {
        self.last_id += 1;
        let id = self.last_id;
        let interest = Interest::READABLE | Interest::WRITABLE;
        match poll.add(stream, interest, POLL_PRIORITY, ready(id)) {
            Ok(source) => {
                let mut stream = TcpStreamBuf::new();
                stream.set_nodelay(true);
                stream.init(source);
                let conn = Conn {
                    id,
                    stream,
                    state: State::Idle,
                    since: now,
                    close_after: false,
                    eof: false,
                    parser: RequestParser::default(),
                };
                self.conns.push(conn);
            }
            Err(error) => {
                log::warn!(event = "accept_failed"; "can't register a connection: {error}");
            }
        }
    }

    /// Handles a readiness event of a connection; returns a request if one is complete.
    pub fn ready(&mut self, id: u64, ready: Ready, now: Moment) -> Option<Received> {
        let at = self.conns.binary_search_by_key(&id, |c| c.id).ok()?;
        if ready.is_writable() && !self.flush(at) {
            return None;
        }
        if ready.is_readable() || ready.is_read_closed() || ready.is_error() {
            return self.read(at, now);
        }
        None
    }

    fn flush(&mut self, at: usize) -> bool {
        let conn = &mut self.conns[at];
        let sent = conn.stream.flush().is_ok();
        let done = conn.state == State::Closing && conn.stream.out.is_empty();
        if !sent || done {
            self.close(at);
            return false;
        }
        true
    }

    fn close(&mut self, at: usize) {
        let conn = self.conns.remove(at);
        if conn.state == State::Serving {
            self.disconnected.push(ConnId(conn.id));
        }
    }

    fn read(&mut self, at: usize, now: Moment) -> Option<Received> {
        let id = self.conns[at].id;
        let mut received = None;
        loop {
            let conn = &mut self.conns[at];
            let buffered = conn.stream.wr - conn.stream.rd;
            if buffered > self.bounds.request.head + self.bounds.request.body {
                // The limit is exceeded: reading stops.
                break;
            }
            match conn.stream.read(READ_BYTES) {
                // What is read of a request is parsed at once, and only its body is kept.
                ReadStatus::NewData if matches!(conn.state, State::Idle | State::Reading) => {
                    received = self.next_request(at, now);
                    if received.is_none() && self.conns.get(at).is_none_or(|c| c.id != id) {
                        return None;
                    }
                }
                ReadStatus::NewData => {}
                ReadStatus::WouldBlock => break,
                ReadStatus::EndOfStream => {
                    conn.eof = true;
                    break;
                }
                ReadStatus::Error(_) => {
                    self.close(at);
                    return None;
                }
            }
        }
        if received.is_some() { received } else { self.next_request(at, now) }
    }

    /// Parses the next request from the buffer.
    fn next_request(&mut self, at: usize, now: Moment) -> Option<Received> {
        let bounds = self.bounds.request;
        let conn = &mut self.conns[at];
        if matches!(conn.state, State::Serving | State::Closing) {
            if conn.eof && conn.state == State::Serving {
                // A client that shuts down its sending side is treated as disconnected.
                self.close(at);
            }
            return None;
        }
        let unread = &conn.stream.inp[conn.stream.rd..conn.stream.wr];
        match conn.parser.feed(unread, &bounds) {
            Ok((used, Some(request))) => {
                conn.stream.rd += used;
                conn.state = State::Serving;
                conn.since = now;
                let closes = |v: &str| v.eq_ignore_ascii_case("close");
                conn.close_after = request.header("connection").is_some_and(closes);
                Some(Received { conn: ConnId(conn.id), request })
            }
            Ok(_) if conn.eof => {
                self.close(at);
                None
            }
            Ok((used, None)) => {
                conn.stream.rd += used;
                let begun = conn.parser.is_in_body() || conn.stream.rd < conn.stream.wr;
                if begun && conn.state == State::Idle {
                    conn.state = State::Reading;
                    conn.since = now;
                }
                None
            }
            Err(error) => {
                self.reject(at, &error, now);
                None
            }
        }
    }

    fn reject(&mut self, at: usize, error: &Malformed, now: Moment) {
        let status = match error {
            Malformed::HeadTooLarge => 431,
            Malformed::BodyTooLarge | Malformed::FramingTooLarge => 413,
            Malformed::Syntax(_) => 400,
        };
        log::info!(event = "malformed_request", status = status; "rejected a request: {error}");
        let response =
            Response::new(status).with_body("text/plain", error.to_string().into_bytes());
        self.send(at, &response, true, now);
    }

    /// Sends the response to a connection's request; returns the next request if it has already
    /// arrived.
    pub fn respond(&mut self, conn: ConnId, response: &Response, now: Moment) -> Option<Received> {
        let at = self.conns.binary_search_by_key(&conn.0, |c| c.id).ok()?;
        let close = self.draining || self.conns[at].close_after;
        if self.send(at, response, close, now) { self.next_request(at, now) } else { None }
    }

    fn send(&mut self, at: usize, response: &Response, close: bool, now: Moment) -> bool {
        let conn = &mut self.conns[at];
        conn.stream.out.extend_from_slice(&response.encode(close));
        conn.state = if close { State::Closing } else { State::Idle };
        conn.since = now;
        self.flush(at)
    }

    /// Starts a graceful stop: each connection is closed after its next response, idle ones
    /// after the idle timeout.
    pub fn drain(&mut self) {
        self.draining = true;
    }

    /// Closes connections that have exceeded a timeout.
    pub fn expire(&mut self, now: Moment) {
        let mut at = 0;
        while at < self.conns.len() {
            let conn = &self.conns[at];
            let age = now.since(conn.since);
            let timed_out = match conn.state {
                State::Idle => age > self.bounds.idle_timeout,
                State::Reading | State::Closing => age > self.bounds.request_timeout,
                State::Serving => false,
            };
            if !timed_out {
                at += 1;
            } else if conn.state == State::Reading {
                let before = self.conns.len();
                self.send(at, &Response::new(408), true, now);
                at += usize::from(self.conns.len() == before);
            } else {
                self.close(at);
            }
        }
    }

    /// Returns the connections that closed while a request waited for its response, and forgets
    /// them.
    pub fn take_disconnected(&mut self) -> Vec<ConnId> {
        std::mem::take(&mut self.disconnected)
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.conns.len()
    }

    /// Returns true if no connection is open.
    pub fn is_empty(&self) -> bool {
        self.conns.is_empty()
    }
}
