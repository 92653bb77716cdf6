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
use std::collections::BTreeSet;
use std::net::SocketAddr;

use crate::message::{Request, Response};
use crate::parse::{Bounds, response};

/// Priority of the connections in the poll loop.
const POLL_PRIORITY: u32 = 5;
/// Bytes read at first: most responses are smaller, and each connection keeps twice as much.
const READ_MIN: usize = 2 * 1024;
/// Bytes read at a time once a response has turned out to be long.
const READ_MAX: usize = 64 * 1024;
/// Bounds on a response: a page of the store is up to 1 MB, a third more in base64.
const RESPONSE: Bounds = Bounds { head: 16 * 1024, body: 8 * 1024 * 1024 };
/// Idle time after which a connection is closed, below the usual limit of servers.
const IDLE_MAX: Span = Span(10_000);
/// Period of looking for connections that have been idle for long; all of them are looked at.
const IDLE_EVERY: Span = Span(1_000);

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
    /// Calls under way by the end of their time, with their connections.
    deadlines: BTreeSet<(Moment, u64)>,
    opened: u64,
    /// When idle connections were last looked for.
    swept: Moment,
}

impl<T> Default for Client<T> {
    fn default() -> Self {
        Self { links: Vec::new(), deadlines: BTreeSet::new(), opened: 0, swept: Moment::default() }
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
        self.deadlines.insert((deadline, link.id));
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
        let mut bytes = READ_MIN;
        let ended = loop {
            match self.links[at].stream.read(bytes) {
                ReadStatus::NewData => bytes = (bytes * 2).min(READ_MAX),
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
                let Pending { token, deadline } = link.pending.take()?;
                self.deadlines.remove(&(deadline, link.id));
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
        let Pending { token, deadline } = link.pending?;
        self.deadlines.remove(&(deadline, link.id));
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
        let mut finished = Vec::new();
        let mut silent = Vec::new();
        while let Some((deadline, id)) = self.deadlines.first().copied()
            && deadline <= now
        {
            self.deadlines.pop_first();
            let Ok(at) = self.links.binary_search_by_key(&id, |l| l.id) else { continue };
            let link = self.links.remove(at);
            silent.push(link.peer);
            let Some(Pending { token, .. }) = link.pending else { continue };
            let why = "no answer in time".to_string();
            let result =
                Err(if link.connected { Failure::Unknown(why) } else { Failure::NotSent(why) });
            finished.push(Finished { token, result, stale: false });
        }
        if !silent.is_empty() || now.since(self.swept) >= IDLE_EVERY {
            self.swept = now;
            let old = |l: &Link<T>| silent.contains(&l.peer) || now.since(l.idle) > IDLE_MAX;
            self.links.retain(|l| l.pending.is_some() || !old(l));
        }
        finished
    }

    /// Returns when the next call runs out of time.
    pub fn due(&self) -> Option<Moment> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
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
