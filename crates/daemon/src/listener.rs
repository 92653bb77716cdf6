//! One HTTP listener over `tiny_http`, with bounds on all that the library leaves open to us.
//!
//! A thread takes requests from the library and hands them to a few readers; requests with larger
//! bodies go to readers of their own, so that slow senders hold up nobody but each other. Requests
//! that wait for the node are kept in a bounded table until their answer comes, and answers are
//! written by threads of their own, never by the node's loop.
//!
//! The library's accept loop ends for good when the process has no file descriptor left, with an
//! error or with a panic that only its own thread sees. The listener therefore asks itself for a
//! sign of life every two seconds, and opens anew on the same socket when none comes.

use bulrushlink_api::{Client, poke};
use bulrushlink_core::{Code, Error, Span};
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tiny_http::{Request, Server};

use crate::answers::Answer;
use crate::calls::Results;
use crate::edge::Token;
use crate::pool::Pool;
use bind::open_server;
use desk::Desk;

mod bind;
mod body;
mod desk;
mod headers;
#[cfg(test)]
mod tests;

pub(crate) use bind::bind;
pub(crate) use desk::{Bounds, Front, Incoming, Outcome};

/// Requests that wait for a reader, for each reader.
const QUEUE_PER_READER: usize = 64;
/// Path by which the listener asks itself for a sign of life; answered without a reader.
const ALIVE_PATH: &str = "/alive";
/// Time in which the sign of life has to come, in milliseconds.
const ALIVE_TIMEOUT_MS: u64 = 3_000;
/// Period of poking the library, in milliseconds.
const POKE_MS: u64 = 200;
/// Pokes between two signs of life.
const POKES_PER_PROBE: u32 = 10;
/// The most servers of the library behind one socket; the oldest ends when one more is opened.
const SERVERS_MAX: usize = 16;

struct Shared {
    name: &'static str,
    socket: TcpListener,
    desk: Arc<Desk>,
    readers: Pool<Request>,
    /// For bodies that may have to be waited for.
    slow_readers: Pool<Request>,
    /// Ends the threads.
    closed: AtomicBool,
    /// In the order of their opening. Only the last one accepts; the others have connections left.
    servers: Mutex<Vec<Arc<Server>>>,
}

/// A running listener.
pub(crate) struct Listener {
    shared: Arc<Shared>,
}

impl Listener {
    pub(crate) fn spawn(
        name: &'static str,
        socket: TcpListener,
        front: Box<dyn Front>,
        bounds: Bounds,
        tokens: Arc<AtomicU64>,
        results: Results,
    ) -> Result<Self, Error> {
        let desk = Arc::new(Desk::open(name, front, bounds, tokens, results));
        let pool = |name: &str| {
            let desk = desk.clone();
            let queue = bounds.readers * QUEUE_PER_READER;
            Pool::spawn(name, bounds.readers, queue, move |request| desk.serve(request))
        };
        let (readers, slow_readers) = (pool("reader"), pool("reader-large"));
        let shared = Arc::new(Shared {
            name,
            socket,
            desk,
            readers,
            slow_readers,
            closed: AtomicBool::new(false),
            servers: Mutex::new(Vec::new()),
        });
        Shared::open_one(&shared)?;
        let addr = reachable(bound_addr(&shared.socket)?);
        let watched = shared.clone();
        spawn_thread(format!("{name}-watch"), move || Shared::watch(&watched, addr));
        Ok(Self { shared })
    }

    /// Answers a waiting request.
    pub(crate) fn answer(&self, token: Token, answer: Answer) {
        self.shared.desk.answer(token, answer);
    }

    /// Refuses everything from now on; answers to waiting requests still go out.
    pub(crate) fn close(&self) {
        self.shared.desk.close();
    }

    /// Tells whether every request has its answer.
    pub(crate) fn is_flushed(&self) -> bool {
        self.shared.desk.is_flushed()
    }

    /// Ends the threads; connections are refused from then on.
    pub(crate) fn stop(&self) {
        self.close();
        self.shared.closed.store(true, Ordering::SeqCst);
        let servers = std::mem::take(&mut *self.shared.servers());
        servers.iter().for_each(|server| server.unblock());
        self.shared.desk.abandon_all();
        // The library connects to itself to end its accept loop, which blocks when it is deaf.
        spawn_thread(format!("{}-close", self.shared.name), move || drop(servers));
    }
}

impl Shared {
    fn servers(&self) -> MutexGuard<'_, Vec<Arc<Server>>> {
        self.servers.lock().expect("no holder of the list panics")
    }

    fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }

    fn is_open(&self, server: &Arc<Server>) -> bool {
        self.servers().iter().any(|other| Arc::ptr_eq(other, server))
    }

    /// Opens one more server of the library on the socket, with the thread that takes its requests.
    fn open_one(shared: &Arc<Self>) -> Result<(), Error> {
        let server = Arc::new(open_server(&shared.socket)?);
        let mut servers = shared.servers();
        if shared.is_closed() {
            return Ok(());
        }
        if servers.len() >= SERVERS_MAX {
            let oldest = servers.remove(0);
            oldest.unblock();
            spawn_thread(format!("{}-close", shared.name), move || drop(oldest));
        }
        servers.push(server.clone());
        drop(servers);
        let shared = shared.clone();
        spawn_thread(format!("{}-dispatch", shared.name), move || shared.dispatch(&server));
        Ok(())
    }

    /// A server whose accept loop has ended still brings the requests of its connections.
    fn dispatch(&self, server: &Arc<Server>) {
        while self.is_open(server) {
            match server.recv() {
                Ok(request) => self.pass_on(request),
                Err(error) => log::debug!("server of {} tells: {error}", self.name),
            }
        }
    }

    fn pass_on(&self, request: Request) {
        let fast = body::is_buffered(&request);
        if fast && request.url() == ALIVE_PATH {
            return desk::respond(request, Answer::json(Code::Done, &"alive", None));
        }
        let pool = if fast { &self.readers } else { &self.slow_readers };
        if let Err(request) = pool.submit(request) {
            let error = Error::new(Code::Overloaded, "too many requests wait to be read");
            self.desk.refuse(request, &error);
        }
    }

    fn watch(shared: &Arc<Self>, addr: SocketAddr) {
        for round in 1.. {
            std::thread::sleep(Duration::from_millis(POKE_MS));
            if shared.is_closed() {
                return;
            }
            poke(addr);
            if round % POKES_PER_PROBE == 0 && !is_alive(addr) && !shared.is_closed() {
                log::error!(daemon = shared.desk.daemon(); "{} is deaf, opening anew", shared.name);
                if let Err(error) = Self::open_one(shared) {
                    log::error!("{} can't be opened anew yet: {error}", shared.name);
                }
            }
        }
    }
}

/// Asks by a new connection, since those that exist may well be served by a deaf listener.
fn is_alive(addr: SocketAddr) -> bool {
    let client = Client::open(Span(ALIVE_TIMEOUT_MS), None);
    client.get(&format!("http://{addr}{ALIVE_PATH}")).is_ok()
}

/// Returns an address of this host by which a listener on all addresses is reached.
fn reachable(addr: SocketAddr) -> SocketAddr {
    let ip = match addr.ip() {
        ip if !ip.is_unspecified() => ip,
        IpAddr::V4(_) => IpAddr::V4(Ipv4Addr::LOCALHOST),
        IpAddr::V6(_) => IpAddr::V6(Ipv6Addr::LOCALHOST),
    };
    SocketAddr::new(ip, addr.port())
}

fn spawn_thread(name: String, run: impl FnOnce() + Send + 'static) {
    let thread = std::thread::Builder::new().name(name).spawn(run);
    thread.expect("the operating system allows a handful of threads");
}

/// Returns the address that a socket is bound to.
pub(crate) fn bound_addr(socket: &TcpListener) -> Result<SocketAddr, Error> {
    socket.local_addr().map_err(|e| Error::new(Code::Unreachable, e.to_string()))
}
