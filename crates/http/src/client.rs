//! Calls over connections that are kept open between them.
//!
//! One call at a time goes over a connection. A call that runs out of time closes its connection
//! and the idle ones to the same peer, since connections can fall silent for good while new ones
//! work.

use bulrushlink_core::{Moment, Span};
use derive_more::Display;
use stakker::Fwd;
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::TcpStream;
use stakker_mio::{MioPoll, ReadStatus, Ready, TcpStreamBuf};
use std::net::SocketAddr;

use crate::message::{Request, Response};
use crate::parse::{Bounds, response};

/// Priority of the connections in the poll loop.
const POLL_PRIORITY: u32 = 5;
/// Bytes read at a time.
const READ_BYTES: usize = 64 * 1024;
/// Bounds on a response: a page of the store is up to 1 MB, a third more in base64.
const RESPONSE: Bounds = Bounds { head: 16 * 1024, body: 8 * 1024 * 1024 };
/// Idle time after which a connection is closed, below the usual limit of servers.
const IDLE_MAX: Span = Span(10_000);

/// Why a call has no response.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Failure {
    /// Nothing of the request was sent.
    #[display("not sent: {_0}")]
    NotSent(String),
    /// The request may have been carried out.
    #[display("{_0}")]
    Unknown(String),
}

/// The end of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finished<T> {
    /// What the caller of the call gave along.
    pub token: T,
    /// The response.
    pub result: Result<Response, Failure>,
    /// The connection had carried calls before and gave no byte for this one, so that the peer
    /// may just have closed it.
    pub stale: bool,
}

struct Pending<T> {
    token: T,
    deadline: Moment,
}

struct Link<T> {
    id: u64,
    peer: SocketAddr,
    stream: TcpStreamBuf,
    connected: bool,
    /// Calls that it has carried.
    carried: u32,
    pending: Option<Pending<T>>,
    /// When it became idle.
    idle: Moment,
}

/// The connections of a process to its peers.
pub struct Client<T> {
    /// Sorted by ordinal.
    links: Vec<Link<T>>,
    opened: u64,
}

impl<T> Default for Client<T> {
    fn default() -> Self {
        Self { links: Vec::new(), opened: 0 }
    }
}

impl<T> Client<T> {
    /// Sends a request; `ready` makes the handler for the readiness of a new connection.
    ///
    /// Returns the call's end if the request can't be sent at all.
    pub fn call(
        &mut self,
        poll: &MioPoll,
        ready: impl FnOnce(u64) -> Fwd<Ready>,
        peer: SocketAddr,
        request: &Request,
        pending: (T, Moment),
    ) -> Option<Finished<T>> {
        let (token, deadline) = pending;
        let idle = self.links.iter().rposition(|l| l.peer == peer && l.pending.is_none());
        let at = match idle {
            Some(at) => at,
            None => match self.open(poll, ready, peer) {
                Ok(at) => at,
                Err(error) => {
                    let result = Err(Failure::NotSent(error.to_string()));
                    return Some(Finished { token, result, stale: false });
                }
            },
        };
        let link = &mut self.links[at];
        link.pending = Some(Pending { token, deadline });
        link.stream.out.extend_from_slice(&request.encode());
        if link.connected && link.stream.flush().is_err() {
            return self.fail(at, "the connection is broken");
        }
        None
    }

    fn open(
        &mut self,
        poll: &MioPoll,
        ready: impl FnOnce(u64) -> Fwd<Ready>,
        peer: SocketAddr,
    ) -> std::io::Result<usize> {
        self.opened += 1;
        let id = self.opened;
        let stream = TcpStream::connect(peer)?;
        let interest = Interest::READABLE | Interest::WRITABLE;
        let source = poll.add(stream, interest, POLL_PRIORITY, ready(id))?;
        let mut stream = TcpStreamBuf::new();
        stream.set_nodelay(true);
        stream.init(source);
        metrics::counter!("bulrushlink_connections_opened_total").increment(1);
        let idle = Moment::default();
        let pending = None;
        self.links.push(Link { id, peer, stream, connected: false, carried: 0, pending, idle });
        Ok(self.links.len() - 1)
    }

    /// Takes the readiness of a connection.
    pub fn ready(&mut self, id: u64, ready: Ready, now: Moment) -> Option<Finished<T>> {
        let at = self.links.binary_search_by_key(&id, |l| l.id).ok()?;
        let link = &mut self.links[at];
        if ready.is_error() && !link.connected {
            return self.fail(at, "the connection can't be opened");
        }
        if ready.is_writable() {
            link.connected = true;
            if link.stream.flush().is_err() {
                return self.fail(at, "the connection is broken");
            }
        }
        if ready.is_readable() || ready.is_read_closed() || ready.is_error() {
            return self.read(at, now);
        }
        None
    }

    fn read(&mut self, at: usize, now: Moment) -> Option<Finished<T>> {
        let ended = loop {
            match self.links[at].stream.read(READ_BYTES) {
                ReadStatus::NewData => {}
                ReadStatus::WouldBlock => break false,
                ReadStatus::EndOfStream => break true,
                ReadStatus::Error(error) => return self.fail(at, &error.to_string()),
            }
        };
        let link = &mut self.links[at];
        let unread = &link.stream.inp[link.stream.rd..link.stream.wr];
        if link.pending.is_none() {
            // Nothing may come while no call is under way, but the end.
            if ended || !unread.is_empty() {
                self.links.remove(at);
            }
            return None;
        }
        match response(unread, &RESPONSE, ended) {
            Ok(Some((response, length))) => {
                link.stream.rd += length;
                let closes = |v: &str| v.eq_ignore_ascii_case("close");
                let close = ended || response.header("connection").is_some_and(closes);
                let Pending { token, .. } = link.pending.take()?;
                link.carried += 1;
                link.idle = now;
                if close {
                    self.links.remove(at);
                }
                Some(Finished { token, result: Ok(response), stale: false })
            }
            Ok(None) if ended => self.fail(at, "the connection has ended"),
            Ok(None) => None,
            Err(error) => self.fail(at, &error.to_string()),
        }
    }

    fn fail(&mut self, at: usize, why: &str) -> Option<Finished<T>> {
        let link = self.links.remove(at);
        let Pending { token, .. } = link.pending?;
        let silent = link.stream.rd == link.stream.wr;
        let result = if link.connected {
            Err(Failure::Unknown(why.to_string()))
        } else {
            Err(Failure::NotSent(why.to_string()))
        };
        Some(Finished { token, result, stale: silent && link.carried > 0 })
    }

    /// Ends the calls that are out of time, and closes connections that have been idle for long.
    pub fn expire(&mut self, now: Moment) -> Vec<Finished<T>> {
        let late = |l: &Link<T>| l.pending.as_ref().is_some_and(|p| p.deadline <= now);
        let silent: Vec<SocketAddr> =
            self.links.iter().filter(|l| late(l)).map(|l| l.peer).collect();
        let mut finished = Vec::new();
        let mut kept = Vec::new();
        for mut link in self.links.drain(..) {
            match link.pending.take() {
                Some(pending) if pending.deadline <= now => {
                    let why = "no answer in time".to_string();
                    let result = Err(if link.connected {
                        Failure::Unknown(why)
                    } else {
                        Failure::NotSent(why)
                    });
                    finished.push(Finished { token: pending.token, result, stale: false });
                }
                Some(pending) => {
                    link.pending = Some(pending);
                    kept.push(link);
                }
                None if silent.contains(&link.peer) || now.since(link.idle) > IDLE_MAX => {}
                None => kept.push(link),
            }
        }
        self.links = kept;
        finished
    }

    /// Returns when the next call runs out of time.
    pub fn due(&self) -> Option<Moment> {
        self.links.iter().filter_map(|l| l.pending.as_ref().map(|p| p.deadline)).min()
    }

    /// Returns the number of open connections.
    pub fn len(&self) -> usize {
        self.links.len()
    }

    /// Tells whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.links.is_empty()
    }
}
