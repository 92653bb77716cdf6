//! A listener whose connections, heads, bodies and idle times are bounded.

use bulrushlink_core::{Moment, Span};
use derive_more::Display;
use stakker::Fwd;
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::{TcpListener, TcpStream};
use stakker_mio::{MioPoll, MioSource, ReadStatus, Ready, TcpStreamBuf};
use std::io::ErrorKind;
use std::net::SocketAddr;

use crate::message::{Request, Response};
use crate::parse::{Bounds, Malformed, request};

/// Priority of the listener and its connections in the poll loop.
const POLL_PRIORITY: u32 = 6;
/// Bytes read at a time.
const READ_BYTES: usize = 4 * 1024;

/// A connection of a listener.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);

/// Bounds on what comes over the connections of a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerBounds {
    /// Size of a request.
    pub request: Bounds,
    /// Time for a whole request to arrive, from its first byte.
    pub request_time: Span,
    /// Time that a connection stays open without a request.
    pub idle_time: Span,
    /// Connections at a time; more are closed at once.
    pub connections: usize,
}

/// A whole request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Received {
    /// The connection that it came over.
    pub conn: ConnId,
    /// The request.
    pub request: Request,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Nothing of the next request has come.
    Idle,
    /// A part of a request has come.
    Reading,
    /// A request waits for its answer.
    Serving,
    /// Closes once everything is sent.
    Closing,
}

struct Conn {
    id: u64,
    stream: TcpStreamBuf,
    state: State,
    /// When the state began.
    since: Moment,
    /// The peer wants the connection to end with the answer.
    last: bool,
    /// The peer sends nothing more.
    ended: bool,
}

/// A listener with its connections.
pub struct Server {
    listener: MioSource<TcpListener>,
    bounds: ServerBounds,
    /// Sorted by ordinal.
    conns: Vec<Conn>,
    accepted: u64,
    /// Connections end with their next answer.
    closing: bool,
    gone: Vec<ConnId>,
}

impl Server {
    /// Starts to listen on a bound socket.
    ///
    /// # Errors
    ///
    /// If the socket can't be polled.
    pub fn open(
        poll: &MioPoll,
        listener: std::net::TcpListener,
        bounds: ServerBounds,
        ready: Fwd<Ready>,
    ) -> std::io::Result<Self> {
        listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(listener);
        let listener = poll.add(listener, Interest::READABLE, POLL_PRIORITY, ready)?;
        let (conns, gone) = (Vec::new(), Vec::new());
        Ok(Self { listener, bounds, conns, accepted: 0, closing: false, gone })
    }

    /// Returns the address that it listens on.
    ///
    /// # Errors
    ///
    /// If the system doesn't tell.
    pub fn addr(&self) -> std::io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Changes the bounds for requests from now on.
    pub fn set_bounds(&mut self, bounds: ServerBounds) {
        self.bounds = bounds;
    }

    /// Returns the bounds in force.
    pub fn bounds(&self) -> ServerBounds {
        self.bounds
    }

    /// Takes the connections that wait; `ready` makes the handler for each one's readiness.
    pub fn accept(&mut self, poll: &MioPoll, ready: impl Fn(u64) -> Fwd<Ready>, now: Moment) {
        loop {
            match self.listener.accept() {
                Ok((stream, from)) if self.conns.len() >= self.bounds.connections => {
                    log::warn!(event = "connection_refused", from:% = from; "too many connections");
                    drop(stream);
                }
                Ok((stream, _)) => self.add(poll, &ready, stream, now),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => {
                    log::warn!(event = "accept_failed"; "{error}");
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
        self.accepted += 1;
        let id = self.accepted;
        let interest = Interest::READABLE | Interest::WRITABLE;
        match poll.add(stream, interest, POLL_PRIORITY, ready(id)) {
            Ok(source) => {
                let mut stream = TcpStreamBuf::new();
                stream.set_nodelay(true);
                stream.init(source);
                let conn =
                    Conn { id, stream, state: State::Idle, since: now, last: false, ended: false };
                self.conns.push(conn);
            }
            Err(error) => log::warn!(event = "accept_failed"; "{error}"),
        }
    }

    /// Takes the readiness of a connection and returns a request that is whole now.
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
            self.gone.push(ConnId(conn.id));
        }
    }

    fn read(&mut self, at: usize, now: Moment) -> Option<Received> {
        loop {
            let conn = &mut self.conns[at];
            let buffered = conn.stream.wr - conn.stream.rd;
            if buffered > self.bounds.request.head + self.bounds.request.body {
                // The parser tells what is too large; nothing more is read for it.
                break;
            }
            match conn.stream.read(READ_BYTES) {
                ReadStatus::NewData => {}
                ReadStatus::WouldBlock => break,
                ReadStatus::EndOfStream => {
                    conn.ended = true;
                    break;
                }
                ReadStatus::Error(_) => {
                    self.close(at);
                    return None;
                }
            }
        }
        self.next(at, now)
    }

    /// Takes the next request out of the buffer.
    fn next(&mut self, at: usize, now: Moment) -> Option<Received> {
        let bounds = self.bounds.request;
        let conn = &mut self.conns[at];
        if matches!(conn.state, State::Serving | State::Closing) {
            if conn.ended && conn.state == State::Serving {
                // A caller that shuts its side down is taken to be gone.
                self.close(at);
            }
            return None;
        }
        let unread = &conn.stream.inp[conn.stream.rd..conn.stream.wr];
        match request(unread, &bounds) {
            Ok(Some((request, length))) => {
                conn.stream.rd += length;
                conn.state = State::Serving;
                conn.since = now;
                let closes = |v: &str| v.eq_ignore_ascii_case("close");
                conn.last = request.header("connection").is_some_and(closes);
                Some(Received { conn: ConnId(conn.id), request })
            }
            Ok(None) if conn.ended => {
                self.close(at);
                None
            }
            Ok(None) => {
                if !unread.is_empty() && conn.state == State::Idle {
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
            Malformed::BodyTooLarge => 413,
            Malformed::Syntax(_) => 400,
        };
        log::info!(event = "malformed_request", status = status; "{error}");
        let response =
            Response::new(status).with_body("text/plain", error.to_string().into_bytes());
        self.finish(at, &response, true, now);
    }

    /// Answers the request of a connection; returns the next request if it has come already.
    pub fn respond(&mut self, conn: ConnId, response: &Response, now: Moment) -> Option<Received> {
        let at = self.conns.binary_search_by_key(&conn.0, |c| c.id).ok()?;
        let close = self.closing || self.conns[at].last;
        if self.finish(at, response, close, now) { self.next(at, now) } else { None }
    }

    fn finish(&mut self, at: usize, response: &Response, close: bool, now: Moment) -> bool {
        let conn = &mut self.conns[at];
        conn.stream.out.extend_from_slice(&response.encode(close));
        conn.state = if close { State::Closing } else { State::Idle };
        conn.since = now;
        self.flush(at)
    }

    /// Lets each connection end with its next answer, and closes the idle ones when they are idle
    /// for the given time.
    pub fn drain(&mut self) {
        self.closing = true;
    }

    /// Closes connections that take too long.
    pub fn expire(&mut self, now: Moment) {
        let mut at = 0;
        while at < self.conns.len() {
            let conn = &self.conns[at];
            let age = now.since(conn.since);
            let late = match conn.state {
                State::Idle => age > self.bounds.idle_time,
                State::Reading | State::Closing => age > self.bounds.request_time,
                State::Serving => false,
            };
            if !late {
                at += 1;
            } else if conn.state == State::Reading {
                let before = self.conns.len();
                self.finish(at, &Response::new(408), true, now);
                at += usize::from(self.conns.len() == before);
            } else {
                self.close(at);
            }
        }
    }

    /// Returns the connections that ended while a request waited for its answer.
    pub fn take_gone(&mut self) -> Vec<ConnId> {
        std::mem::take(&mut self.gone)
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.conns.len()
    }

    /// Tells whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.conns.is_empty()
    }
}
