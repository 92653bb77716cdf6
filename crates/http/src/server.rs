//! HTTP listener with limits on connections, message sizes and idle time.

use bulrushlink_core::{Moment, Span, Throttle};
use derive_more::Display;
use rustix::io::Errno;
use rustix::net::sockopt::{set_socket_recv_buffer_size, set_socket_send_buffer_size};
use stakker::Fwd;
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::{TcpListener, TcpStream};
use stakker_mio::{MioPoll, MioSource, Ready, TcpStreamBuf};
use std::io::ErrorKind;
use std::net::SocketAddr;

use crate::POLL_PRIORITY;
use crate::budget::{Budget, serving_charge};
use crate::conn::{Conn, State, Step};
use crate::message::{Request, Response};
use crate::parse::{Bounds, Malformed};

/// Retry-after of a request that is refused for want of memory, in seconds. Requests are handled in less.
const SHED_RETRY_AFTER_S: u64 = 1;
/// Reads of one connection in a row, after which the others get their turn.
const STEPS_MAX: usize = 64;
/// Connections closed in a row to free descriptors.
const FREED_MAX: usize = 8;

/// Identifier of a connection, unique within its listener.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);

/// Limits of a listener and its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerBounds {
    /// Size limits of a request.
    pub request: Bounds,
    /// Time for a head to arrive, from its first byte, for a further part of a body, and for a further part of a
    /// response to be read.
    pub request_timeout: Span,
    /// Time for a whole body to arrive.
    pub body_timeout: Span,
    /// Time after which a connection without a request is closed.
    pub idle_timeout: Span,
    /// Largest number of open connections.
    pub connections: usize,
    /// Memory that the messages of all connections may take, in bytes.
    pub messages: usize,
}

/// Sizes of the buffers that the system keeps for each connection, in bytes. It may use up to twice as much.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SocketBuffers {
    /// For what has arrived and wasn't read.
    pub receive: usize,
    /// For what was sent and hasn't arrived.
    pub send: usize,
}

/// A complete request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Received {
    /// Connection that the request arrived on.
    pub conn: ConnId,
    /// The request.
    pub request: Request,
}

/// Why a connection or a request was given up although it is within its own limits.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
enum Shed {
    /// The messages of all connections take too much memory.
    #[display("memory")]
    Memory,
    /// Too many connections are open.
    #[display("connections")]
    Connections,
}

/// Log lines about callers.
#[derive(Debug, Default)]
struct Lines {
    malformed: Throttle,
    memory: Throttle,
    connections: Throttle,
    accept: Throttle,
}

/// A listener with its connections.
pub struct Server {
    /// Name in the metrics and the log.
    name: &'static str,
    listener: MioSource<TcpListener>,
    bounds: ServerBounds,
    /// Sorted by `id`.
    conns: Vec<Conn>,
    /// Account of the charges of `conns`.
    budget: Budget,
    /// `id` of the latest connection.
    last_id: u64,
    /// Whether each connection is closed after its next response.
    draining: bool,
    /// Connections that closed while a request waited for its response.
    disconnected: Vec<ConnId>,
    /// Connections on which a further request may have arrived.
    resumable: Vec<u64>,
    lines: Lines,
}

impl Server {
    /// Registers a bound socket with the poll loop and starts to listen. `name` stands for the listener in
    /// the metrics and the log.
    ///
    /// # Errors
    ///
    /// If the socket can't be registered for polling.
    pub fn open(
        poll: &MioPoll,
        name: &'static str,
        listener: std::net::TcpListener,
        bounds: ServerBounds,
        buffers: SocketBuffers,
        ready: Fwd<Ready>,
    ) -> std::io::Result<Self> {
        listener.set_nonblocking(true)?;
        // Connections inherit the sizes. Without them the system lets each grow to megabytes.
        let sizes = set_socket_recv_buffer_size(&listener, buffers.receive)
            .and_then(|()| set_socket_send_buffer_size(&listener, buffers.send));
        if let Err(error) = sizes {
            log::warn!(
                event = "socket_buffers", listener = name;
                "the sizes of the socket buffers can't be set: {error}"
            );
        }
        let listener = TcpListener::from_std(listener);
        let listener = poll.add(listener, Interest::READABLE, POLL_PRIORITY, ready)?;
        Ok(Self {
            name,
            listener,
            bounds,
            conns: Vec::new(),
            budget: Budget::default(),
            last_id: 0,
            draining: false,
            disconnected: Vec::new(),
            resumable: Vec::new(),
            lines: Lines::default(),
        })
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

    /// Returns the memory that the messages of all connections take, in bytes.
    pub fn messages(&self) -> usize {
        self.budget.held()
    }

    /// Accepts pending connections; `ready` creates the handler of readiness events for each.
    ///
    /// Load pattern: callers open connections and send no request, or never end it. At the limit, the connection
    /// on which nothing has happened for longest makes room, unless its request is being handled.
    pub fn accept(&mut self, poll: &MioPoll, ready: impl Fn(u64) -> Fwd<Ready>, now: Moment) {
        let mut freed = 0;
        loop {
            match self.listener.accept() {
                Ok((stream, _)) => {
                    if self.make_room(now) {
                        self.add(poll, &ready, stream, now);
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error)
                    if matches!(
                        error.kind(),
                        ErrorKind::Interrupted | ErrorKind::ConnectionAborted
                    ) => {}
                Err(error) => {
                    if let Some(cases) = self.lines.accept.record(now) {
                        log::warn!(
                            event = "accept_failed", listener = self.name, cases = cases;
                            "can't accept connections: {error}"
                        );
                    }
                    freed += 1;
                    let out_of_descriptors = [Errno::MFILE, Errno::NFILE]
                        .iter()
                        .any(|e| error.raw_os_error() == Some(e.raw_os_error()));
                    if !out_of_descriptors || freed > FREED_MAX || !self.close_inactive(now) {
                        break;
                    }
                }
            }
        }
    }

    /// Closes connections until one more may be open; false if the requests of all are being handled.
    fn make_room(&mut self, now: Moment) -> bool {
        while self.conns.len() >= self.bounds.connections {
            if !self.close_inactive(now) {
                self.report_shed(Shed::Connections, now);
                return false;
            }
        }
        true
    }

    /// Closes the connection on which nothing has happened for longest; false if the requests of all are being
    /// handled.
    fn close_inactive(&mut self, now: Moment) -> bool {
        let candidates = self.conns.iter().enumerate().filter(|(_, c)| c.state != State::Serving);
        let Some((at, _)) = candidates.min_by_key(|(_, c)| c.active) else { return false };
        self.report_shed(Shed::Connections, now);
        self.close(at);
        true
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
                self.conns.push(Conn::new(id, stream, now));
            }
            Err(error) => {
                log::warn!(event = "accept_failed"; "can't register a connection: {error}");
            }
        }
    }

    /// Handles a readiness event of a connection; returns a request if one is complete.
    pub fn ready(&mut self, id: u64, ready: Ready, now: Moment) -> Option<Received> {
        let at = self.position(id)?;
        if ready.is_readable() || ready.is_read_closed() || ready.is_error() {
            self.conns[at].set_readable();
        }
        if ready.is_writable() && !self.flush(at, now) {
            return None;
        }
        self.advance(id, now)
    }

    fn position(&self, id: u64) -> Option<usize> {
        self.conns.binary_search_by_key(&id, |c| c.id).ok()
    }

    /// Sends what the socket takes; false if the connection is closed.
    fn flush(&mut self, at: usize, now: Moment) -> bool {
        let conn = &mut self.conns[at];
        let unsent = conn.stream.out.len();
        let sent = conn.stream.flush().is_ok();
        if conn.stream.out.len() < unsent {
            conn.active = now;
        }
        let done = conn.stream.out.is_empty();
        if !sent || (done && conn.state == State::Closing) {
            self.close(at);
            return false;
        }
        if done && conn.state == State::Sending {
            conn.set_state(State::Idle, now);
            conn.release();
        }
        self.update_charge(at);
        true
    }

    fn close(&mut self, at: usize) {
        let conn = self.conns.remove(at);
        self.budget.replace(conn.charge, 0);
        if conn.state == State::Serving {
            self.disconnected.push(ConnId(conn.id));
        }
    }

    /// Sets the charge of a connection to what its buffers take, unless its request is being handled.
    fn update_charge(&mut self, at: usize) {
        let conn = &mut self.conns[at];
        if conn.state != State::Serving {
            let memory = conn.memory();
            self.budget.replace(conn.charge, memory);
            conn.charge = memory;
        }
    }

    /// Reads and parses what a connection has received, until a request is complete or nothing more has
    /// arrived.
    fn advance(&mut self, id: u64, now: Moment) -> Option<Received> {
        for _ in 0..STEPS_MAX {
            let at = self.position(id)?;
            let conn = &mut self.conns[at];
            match conn.state {
                State::Idle | State::Reading => {}
                State::Serving => {
                    if !conn.look_ahead() || conn.eof {
                        // A client that shuts down its sending side is treated as disconnected.
                        self.close(at);
                    }
                    return None;
                }
                State::Sending | State::Closing => return None,
            }
            match conn.step(&self.bounds.request, now) {
                Step::Complete(request) => return self.serve(at, request, now),
                Step::Read => self.reserve_buffers(at, now),
                Step::Wait => {
                    self.update_charge(at);
                    return None;
                }
                Step::Ended => {
                    self.close(at);
                    return None;
                }
                Step::Malformed(error) => {
                    self.reject(at, &error, now);
                    return None;
                }
            }
        }
        // The others are served first.
        self.resumable.push(id);
        None
    }

    /// Accounts for what a connection has read, at the expense of others if need be. A connection that doesn't fit
    /// in all the same is refused.
    fn reserve_buffers(&mut self, at: usize, now: Moment) {
        let conn = &self.conns[at];
        let (id, old, new) = (conn.id, conn.charge, conn.memory());
        match self.shed_for(id, old, new, now) {
            true => {
                if let Some(at) = self.position(id) {
                    self.update_charge(at);
                }
            }
            false => self.refuse(id, now),
        }
    }

    /// Closes connections with part of a request, that on which nothing has happened for longest first, until
    /// connection `id` may hold `new` bytes; false if it may not even so.
    fn shed_for(&mut self, id: u64, old: usize, new: usize, now: Moment) -> bool {
        while !self.budget.fits(old, new, self.bounds.messages) {
            let others = self.conns.iter().filter(|c| c.id != id && c.state == State::Reading);
            let Some(victim) = others.min_by_key(|c| c.active).map(|c| c.id) else { return false };
            self.refuse(victim, now);
        }
        true
    }

    /// Refuses a request that isn't complete, or that isn't handled. Nothing of it has been carried out.
    fn refuse(&mut self, id: u64, now: Moment) {
        let Some(at) = self.position(id) else { return };
        self.report_shed(Shed::Memory, now);
        // The rest of an incomplete request can't be told from the next one.
        self.send(at, &shed_response(), true, now);
    }

    fn report_shed(&mut self, reason: Shed, now: Moment) {
        metrics::counter!(
            "bulrushlink_connections_shed_total", "listener" => self.name, "reason" => reason.to_string()
        )
        .increment(1);
        let line = match reason {
            Shed::Memory => &mut self.lines.memory,
            Shed::Connections => &mut self.lines.connections,
        };
        if let Some(cases) = line.record(now) {
            log::warn!(
                event = "load_shed", listener = self.name, reason:% = reason, cases = cases,
                connections = self.conns.len(), connections_max = self.bounds.connections,
                message_bytes = self.budget.held(), message_bytes_max = self.bounds.messages;
                "callers take too much: requests were refused or connections closed"
            );
        }
    }

    /// Passes on a complete request, or refuses it if those that are being handled take too much memory.
    fn serve(&mut self, at: usize, request: Request, now: Moment) -> Option<Received> {
        let conn = &mut self.conns[at];
        let closes = |v: &str| v.eq_ignore_ascii_case("close");
        conn.close_after = request.header("connection").is_some_and(closes);
        let id = conn.id;
        let charge = serving_charge(request.size()).saturating_add(conn.memory());
        let old = conn.charge;
        if !self.shed_for(id, old, charge, now) {
            // A complete request that doesn't fit leaves the connection usable.
            self.report_shed(Shed::Memory, now);
            let at = self.position(id)?;
            let close = self.draining || self.conns[at].close_after;
            if self.send(at, &shed_response(), close, now) {
                self.mark_resumable(id);
            }
            return None;
        }
        let at = self.position(id)?;
        let conn = &mut self.conns[at];
        self.budget.replace(conn.charge, charge);
        conn.charge = charge;
        conn.set_state(State::Serving, now);
        if !conn.look_ahead() {
            self.conns[at].state = State::Idle;
            self.close(at);
            return None;
        }
        Some(Received { conn: ConnId(id), request })
    }

    fn reject(&mut self, at: usize, error: &Malformed, now: Moment) {
        let status = match error {
            Malformed::HeadTooLarge => 431,
            Malformed::BodyTooLarge | Malformed::FramingTooLarge => 413,
            Malformed::Syntax(_) => 400,
        };
        metrics::counter!(
            "bulrushlink_malformed_requests_total",
            "listener" => self.name, "status" => status.to_string()
        )
        .increment(1);
        if let Some(cases) = self.lines.malformed.record(now) {
            log::info!(
                event = "malformed_request", listener = self.name, status = status, cases = cases;
                "rejected a request: {error}"
            );
        }
        let response =
            Response::new(status).with_body("text/plain", error.to_string().into_bytes());
        self.send(at, &response, true, now);
    }

    /// Sends the response to a connection's request. A further request that has already arrived is returned by
    /// [`resume`](Self::resume).
    pub fn respond(&mut self, conn: ConnId, response: &Response, now: Moment) {
        let Some(at) = self.position(conn.0) else { return };
        let close = self.draining || self.conns[at].close_after;
        if self.send(at, response, close, now) {
            self.mark_resumable(conn.0);
        }
    }

    fn mark_resumable(&mut self, id: u64) {
        let Some(at) = self.position(id) else { return };
        if self.conns[at].may_have_request() {
            self.resumable.push(id);
        }
    }

    /// Returns the next request of each connection on which one has arrived behind that before it.
    ///
    /// Load pattern: a caller sends thousands of requests without waiting for responses. One of each connection is
    /// handled at a time, so that the others are served between them.
    pub fn resume(&mut self, now: Moment) -> Vec<Received> {
        let ids = std::mem::take(&mut self.resumable);
        ids.into_iter().filter_map(|id| self.advance(id, now)).collect()
    }

    /// Returns true if [`resume`](Self::resume) may return a request.
    pub fn is_resumable(&self) -> bool {
        !self.resumable.is_empty()
    }

    /// Sends a response; false if the connection is closed.
    fn send(&mut self, at: usize, response: &Response, close: bool, now: Moment) -> bool {
        let conn = &mut self.conns[at];
        conn.stream.out.extend_from_slice(&response.encode(close));
        conn.set_state(if close { State::Closing } else { State::Sending }, now);
        self.flush(at, now)
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
            let (age, inactive) = (now.since(conn.since), now.since(conn.active));
            let timed_out = match conn.state {
                State::Idle => age > self.bounds.idle_timeout,
                State::Reading if conn.is_in_body() => {
                    inactive > self.bounds.request_timeout || age > self.bounds.body_timeout
                }
                State::Reading => age > self.bounds.request_timeout,
                State::Sending | State::Closing => inactive > self.bounds.request_timeout,
                State::Serving => false,
            };
            if !timed_out {
                at += 1;
            } else if conn.state == State::Reading {
                metrics::counter!("bulrushlink_request_timeouts_total", "listener" => self.name)
                    .increment(1);
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

/// Returns the answer to a request that was not handled for want of memory.
fn shed_response() -> Response {
    Response::new(503)
        .with_header("Retry-After", SHED_RETRY_AFTER_S.to_string())
        .with_body("text/plain", b"too many large requests at once; not accepted".to_vec())
}
