//! HTTP client with a pool of kept-alive connections.
//!
//! A connection carries one call at a time. A call that times out closes its connection and all
//! idle connections to the same peer, because existing connections can stop responding for good
//! while new ones still work. A call doesn't time out while its messages are being transferred, nor
//! while its response lies in the socket's buffer: a process that reads late must not take that for
//! the silence of its peer.

use bulrushlink_core::{Moment, Span};
use derive_more::Display;
use stakker::Fwd;
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::TcpStream;
use stakker_mio::{MioPoll, ReadStatus, Ready, TcpStreamBuf};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use crate::POLL_PRIORITY;
use crate::deadline::Deadline;
use crate::message::{Request, Response};
use crate::parse::{Bounds, parse_response};

/// Size of the first read in bytes. Most responses are smaller, and each connection keeps a buffer
/// of twice this size.
const READ_MIN_BYTES: usize = 2 * 1024;
/// Largest size of one read in bytes, reached by doubling on long responses.
const READ_MAX_BYTES: usize = 64 * 1024;
/// Size limits of a response. A page of the store is up to 1 MB, and a third more in base64.
const RESPONSE_BOUNDS: Bounds =
    Bounds { head: 16 * 1024, body: 8 * 1024 * 1024, framing: 8 * 1024 * 1024 };
/// Idle time after which a connection is closed; shorter than the usual idle timeout of servers.
const IDLE_TIMEOUT: Span = Span(10_000);
/// Period of the sweep for idle connections, which visits every connection.
const IDLE_SWEEP_PERIOD: Span = Span(1_000);

/// Why a call has no response.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Failure {
    /// Nothing of the request was sent.
    #[display("not sent: {_0}")]
    NotSent(String),
    /// The server may have carried out the request.
    #[display("{_0}")]
    Unknown(String),
}

/// Outcome of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finished<T> {
    /// Value that was passed with the call.
    pub token: T,
    /// The response, or why there is none.
    pub result: Result<Response, Failure>,
    /// Whether the failure may only mean that the peer closed an idle connection: the connection
    /// had completed earlier calls, and no byte of a response arrived for this one.
    pub stale: bool,
}

struct Pending<T> {
    token: T,
    deadline: Deadline,
}

struct Connection<T> {
    peer: SocketAddr,
    stream: TcpStreamBuf,
    connected: bool,
    /// Number of completed calls.
    completed_calls: u32,
    pending: Option<Pending<T>>,
    /// Time of the latest response.
    idle_since: Moment,
}

impl<T> Connection<T> {
    /// Frees the buffers that long messages have left: a connection may be idle for long.
    fn release(&mut self) {
        let stream = &mut self.stream;
        if stream.rd == stream.wr && stream.inp.capacity() > 2 * READ_MIN_BYTES {
            (stream.inp, stream.rd, stream.wr) = (Vec::new(), 0, 0);
        }
        if stream.out.is_empty() && stream.out.capacity() > 2 * READ_MIN_BYTES {
            stream.out = Vec::new();
        }
    }
}

/// HTTP client of a process: the pooled connections to all peers.
pub struct Client<T> {
    /// By number, which rises with each connection.
    connections: BTreeMap<u64, Connection<T>>,
    /// The connections without a call, by peer; each is in `connections`. With thousands of
    /// connections, a search through all of them would cost more than the call itself.
    idle: BTreeSet<(SocketAddr, u64)>,
    /// Deadlines of the pending calls with the numbers of their connections.
    deadlines: BTreeSet<(Moment, u64)>,
    /// Number of the latest connection.
    last_id: u64,
    /// Time of the latest sweep for idle connections.
    last_sweep: Moment,
}

impl<T> Default for Client<T> {
    fn default() -> Self {
        Self {
            connections: BTreeMap::new(),
            idle: BTreeSet::new(),
            deadlines: BTreeSet::new(),
            last_id: 0,
            last_sweep: Moment::default(),
        }
    }
}

impl<T> Client<T> {
    /// Starts a call with the given token and deadline, which moves while a long message is being
    /// transferred; `ready` creates the handler of readiness events for a new connection.
    ///
    /// Returns the outcome at once if the request can't be sent.
    pub fn call(
        &mut self,
        poll: &MioPoll,
        ready: impl FnOnce(u64) -> Fwd<Ready>,
        peer: SocketAddr,
        request: &Request,
        pending: (T, Moment),
    ) -> Option<Finished<T>> {
        let (token, deadline) = pending;
        let deadline = Deadline::new(deadline);
        // The newest idle connection is the least likely to have gone silent.
        let newest = self.idle.range((peer, 0)..=(peer, u64::MAX)).next_back().map(|(_, id)| *id);
        let id = match newest {
            Some(id) => id,
            None => match self.open(poll, ready, peer) {
                Ok(id) => id,
                Err(error) => {
                    let result = Err(Failure::NotSent(error.to_string()));
                    return Some(Finished { token, result, stale: false });
                }
            },
        };
        self.idle.remove(&(peer, id));
        let Some(conn) = self.connections.get_mut(&id) else {
            let result = Err(Failure::NotSent("the connection is closed".to_string()));
            return Some(Finished { token, result, stale: false });
        };
        self.deadlines.insert((deadline.at(), id));
        conn.pending = Some(Pending { token, deadline });
        conn.stream.out.extend_from_slice(&request.encode());
        if conn.connected && conn.stream.flush().is_err() {
            return self.fail(id, "the connection is broken");
        }
        None
    }

    fn open(
        &mut self,
        poll: &MioPoll,
        ready: impl FnOnce(u64) -> Fwd<Ready>,
        peer: SocketAddr,
    ) -> std::io::Result<u64> {
        self.last_id += 1;
        let id = self.last_id;
        let stream = TcpStream::connect(peer)?;
        let interest = Interest::READABLE | Interest::WRITABLE;
        let source = poll.add(stream, interest, POLL_PRIORITY, ready(id))?;
        let mut stream = TcpStreamBuf::new();
        stream.set_nodelay(true);
        stream.init(source);
        metrics::counter!("bulrushlink_connections_opened_total").increment(1);
        let idle_since = Moment::default();
        let pending = None;
        let connection =
            Connection { peer, stream, connected: false, completed_calls: 0, pending, idle_since };
        self.connections.insert(id, connection);
        Ok(id)
    }

    /// Handles a readiness event of a connection; returns the outcome of its call if the
    /// event ended it.
    pub fn ready(&mut self, id: u64, ready: Ready, now: Moment) -> Option<Finished<T>> {
        let conn = self.connections.get_mut(&id)?;
        if ready.is_error() && !conn.connected {
            return self.fail(id, "the connection can't be opened");
        }
        if ready.is_writable() {
            conn.connected = true;
            let unsent = conn.stream.out.len();
            if conn.stream.flush().is_err() {
                return self.fail(id, "the connection is broken");
            }
            let sent = unsent - conn.stream.out.len();
            self.record_progress(id, sent, now);
        }
        if ready.is_readable() || ready.is_read_closed() || ready.is_error() {
            return self.read(id, now);
        }
        None
    }

    fn read(&mut self, id: u64, now: Moment) -> Option<Finished<T>> {
        let conn = self.connections.get_mut(&id)?;
        let known = conn.stream.wr - conn.stream.rd;
        let mut bytes = READ_MIN_BYTES;
        let eof = loop {
            match conn.stream.read(bytes) {
                ReadStatus::NewData => bytes = (bytes * 2).min(READ_MAX_BYTES),
                ReadStatus::WouldBlock => break false,
                ReadStatus::EndOfStream => break true,
                ReadStatus::Error(error) => return self.fail(id, &error.to_string()),
            }
        };
        let unread = &conn.stream.inp[conn.stream.rd..conn.stream.wr];
        if conn.pending.is_none() {
            // An idle connection may only be closed by the peer; unsolicited bytes close it too.
            if eof || !unread.is_empty() {
                self.remove(id);
            }
            return None;
        }
        match parse_response(unread, &RESPONSE_BOUNDS, eof) {
            Ok(Some((response, length))) => {
                conn.stream.rd += length;
                let closes = |v: &str| v.eq_ignore_ascii_case("close");
                let close = eof || response.header("connection").is_some_and(closes);
                let Pending { token, deadline } = conn.pending.take()?;
                conn.completed_calls += 1;
                conn.idle_since = now;
                conn.release();
                self.idle.insert((conn.peer, id));
                self.deadlines.remove(&(deadline.at(), id));
                if close {
                    self.remove(id);
                }
                Some(Finished { token, result: Ok(response), stale: false })
            }
            Ok(None) if eof => self.fail(id, "the connection has ended"),
            Ok(None) => {
                let received = unread.len() - known;
                self.record_progress(id, received, now);
                None
            }
            Err(error) => self.fail(id, &error.to_string()),
        }
    }

    /// Moves the deadline of a connection's call if enough of its messages has been transferred.
    fn record_progress(&mut self, id: u64, bytes: usize, now: Moment) {
        let Some(conn) = self.connections.get_mut(&id) else { return };
        let Some(Pending { deadline, .. }) = &mut conn.pending else { return };
        let before = deadline.at();
        deadline.record(bytes, now);
        if deadline.at() != before {
            self.deadlines.remove(&(before, id));
            self.deadlines.insert((deadline.at(), id));
        }
    }

    /// Closes a connection.
    fn remove(&mut self, id: u64) -> Option<Connection<T>> {
        let conn = self.connections.remove(&id)?;
        self.idle.remove(&(conn.peer, id));
        Some(conn)
    }

    fn fail(&mut self, id: u64, reason: &str) -> Option<Finished<T>> {
        let conn = self.remove(id)?;
        let Pending { token, deadline } = conn.pending?;
        self.deadlines.remove(&(deadline.at(), id));
        let no_bytes = conn.stream.rd == conn.stream.wr;
        let result = if conn.connected {
            Err(Failure::Unknown(reason.to_string()))
        } else {
            Err(Failure::NotSent(reason.to_string()))
        };
        Some(Finished { token, result, stale: no_bytes && conn.completed_calls > 0 })
    }

    /// Ends the calls whose deadline has passed, and closes connections that were idle too long.
    ///
    /// Load pattern: more responses arrive while the process is busy than one poll reports. So each
    /// of these connections is read first, and only a call without a complete response times out.
    pub fn expire(&mut self, now: Moment) -> Vec<Finished<T>> {
        let mut finished = Vec::new();
        let mut timed_out_peers = Vec::new();
        while let Some((deadline, id)) = self.deadlines.first().copied()
            && deadline <= now
        {
            if self.connections.get(&id).is_some_and(|c| c.connected && c.pending.is_some()) {
                if let Some(ended) = self.read(id, now) {
                    // No time is left to repeat the call.
                    finished.push(Finished { stale: false, ..ended });
                    continue;
                }
                if self.deadlines.first() != Some(&(deadline, id)) {
                    // What has arrived has moved the deadline.
                    continue;
                }
            }
            self.deadlines.pop_first();
            let Some(conn) = self.remove(id) else { continue };
            timed_out_peers.push(conn.peer);
            let Some(Pending { token, .. }) = conn.pending else { continue };
            let received = conn.stream.wr - conn.stream.rd;
            let reason = format!("no complete answer in time, {received} bytes received");
            let result = Err(if conn.connected {
                Failure::Unknown(reason)
            } else {
                Failure::NotSent(reason)
            });
            finished.push(Finished { token, result, stale: false });
        }
        for peer in timed_out_peers {
            let silent: Vec<u64> =
                self.idle.range((peer, 0)..=(peer, u64::MAX)).map(|(_, id)| *id).collect();
            silent.into_iter().for_each(|id| drop(self.remove(id)));
        }
        if now.since(self.last_sweep) >= IDLE_SWEEP_PERIOD {
            self.last_sweep = now;
            let expired = |id: &u64| {
                let conn = self.connections.get(id);
                conn.is_some_and(|c| now.since(c.idle_since) > IDLE_TIMEOUT)
            };
            let expired: Vec<u64> = self.idle.iter().map(|(_, id)| *id).filter(expired).collect();
            expired.into_iter().for_each(|id| drop(self.remove(id)));
        }
        finished
    }

    /// Returns the earliest deadline of the pending calls.
    pub fn next_deadline(&self) -> Option<Moment> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns true if no connection is open.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }
}
