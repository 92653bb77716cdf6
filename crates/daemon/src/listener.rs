//! An HTTP listener over `tiny_http`, with the limits that the library doesn't set itself.
//!
//! A thread takes requests from the library and passes them to a few reader threads. Requests with
//! larger bodies go to separate readers, so that slow senders delay only each other. Requests that
//! wait for the node are kept in a bounded table, and separate threads write the answers, so that
//! the node's loop never blocks on a client.
//!
//! The library's accept loop ends permanently when the process runs out of file descriptors, with
//! an error or a panic that only its own thread sees. The listener therefore probes itself every
//! two seconds, and opens a new server on the same socket when the probe fails.

use bulrushlink_api::{Client, poke};
use bulrushlink_core::{Code, Error, Span};
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tiny_http::{Request, Server};

use crate::answers::Answer;
use crate::calls::CallResults;
use crate::edge::Token;
use crate::pool::Pool;
use bind::open_server;
use desk::RequestHandler;

mod bind;
mod body;
mod desk;
mod headers;
#[cfg(test)]
mod tests;

pub(crate) use bind::bind;
pub(crate) use desk::{Api, Bounds, Incoming, ParsedRequest};

/// Requests that wait for a reader, for each reader.
const QUEUE_PER_READER: usize = 64;
/// Path of the listener's probe of itself; answered without a reader.
const ALIVE_PATH: &str = "/alive";
/// Timeout of a probe.
const PROBE_TIMEOUT_MS: u64 = 3_000;
/// Interval of calls to `poke`, which makes the library serve connections left in its queue.
const POKE_INTERVAL_MS: u64 = 200;
/// Calls to `poke` between two probes.
const POKES_PER_PROBE: u32 = 10;
/// The most servers of the library on one socket; when one more is opened, the oldest is closed.
const SERVERS_MAX: usize = 16;

struct Shared {
    name: &'static str,
    socket: TcpListener,
    handler: Arc<RequestHandler>,
    readers: Pool<Request>,
    /// For requests whose body has not been received yet: larger ones and chunked ones.
    large_readers: Pool<Request>,
    /// Tells the threads to end.
    stopped: AtomicBool,
    /// Oldest first. Only the last one accepts; the others still have open connections.
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
        api: Box<dyn Api>,
        bounds: Bounds,
        last_token: Arc<AtomicU64>,
        results: CallResults,
    ) -> Result<Self, Error> {
        let handler = Arc::new(RequestHandler::new(name, api, bounds, last_token, results));
        let pool = |name: &str| {
            let handler = handler.clone();
            let queue = bounds.readers * QUEUE_PER_READER;
            Pool::spawn(name, bounds.readers, queue, move |request| handler.serve(request))
        };
        let (readers, large_readers) = (pool("reader"), pool("reader-large"));
        let shared = Arc::new(Shared {
            name,
            socket,
            handler,
            readers,
            large_readers,
            stopped: AtomicBool::new(false),
            servers: Mutex::new(Vec::new()),
        });
        Shared::add_server(&shared)?;
        let addr = probe_addr(bound_addr(&shared.socket)?);
        let probed = shared.clone();
        spawn_thread(format!("{name}-watch"), move || Shared::poke_and_probe(&probed, addr));
        Ok(Self { shared })
    }

    /// Answers a pending request.
    pub(crate) fn answer(&self, token: Token, answer: Answer) {
        self.shared.handler.answer(token, answer);
    }

    /// Refuses all further requests; pending requests are still answered.
    pub(crate) fn close(&self) {
        self.shared.handler.close();
    }

    /// Returns true if the answers to all requests have been written.
    pub(crate) fn is_flushed(&self) -> bool {
        self.shared.handler.is_flushed()
    }

    /// Ends the threads; further connections are refused.
    pub(crate) fn stop(&self) {
        self.close();
        self.shared.stopped.store(true, Ordering::SeqCst);
        let servers = std::mem::take(&mut *self.shared.servers());
        servers.iter().for_each(|server| server.unblock());
        self.shared.handler.abandon_all();
        // On drop, the library connects to itself to end its accept loop, which blocks if the loop
        // has ended already.
        spawn_thread(format!("{}-close", self.shared.name), move || drop(servers));
    }
}

impl Shared {
    fn servers(&self) -> MutexGuard<'_, Vec<Arc<Server>>> {
        self.servers.lock().expect("a thread panicked while it held the lock of the servers")
    }

    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }

    fn is_listed(&self, server: &Arc<Server>) -> bool {
        self.servers().iter().any(|other| Arc::ptr_eq(other, server))
    }

    /// Opens a further server of the library on the socket, and starts the thread that receives its
    /// requests.
    fn add_server(shared: &Arc<Self>) -> Result<(), Error> {
        let server = Arc::new(open_server(&shared.socket)?);
        let mut servers = shared.servers();
        if shared.is_stopped() {
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

    /// Receives requests until the server is closed. A server whose accept loop has ended still
    /// delivers the requests of its open connections.
    fn dispatch(&self, server: &Arc<Server>) {
        while self.is_listed(server) {
            match server.recv() {
                Ok(request) => self.queue_request(request),
                Err(error) => log::debug!("receive of a {} request failed: {error}", self.name),
            }
        }
    }

    fn queue_request(&self, request: Request) {
        let buffered = body::is_buffered(&request);
        if buffered && request.url() == ALIVE_PATH {
            return desk::respond(request, Answer::json(Code::Done, &"alive", None));
        }
        let pool = if buffered { &self.readers } else { &self.large_readers };
        if let Err(request) = pool.submit(request) {
            let error = Error::new(Code::Overloaded, "too many requests wait to be read");
            self.handler.refuse(request, &error);
        }
    }

    /// Pokes the listener and probes it, at the intervals above, until it is stopped.
    fn poke_and_probe(shared: &Arc<Self>, addr: SocketAddr) {
        for round in 1.. {
            std::thread::sleep(Duration::from_millis(POKE_INTERVAL_MS));
            if shared.is_stopped() {
                return;
            }
            poke(addr);
            if round % POKES_PER_PROBE == 0 && !is_alive(addr) && !shared.is_stopped() {
                log::error!(
                    daemon = shared.handler.daemon();
                    "listener {} failed its probe (timeout {PROBE_TIMEOUT_MS} ms), reopening",
                    shared.name
                );
                if let Err(error) = Self::add_server(shared) {
                    log::error!("reopening listener {} failed: {error}", shared.name);
                }
            }
        }
    }
}

/// Probes the listener over a new connection: existing ones may still be served after the accept
/// loop has ended.
fn is_alive(addr: SocketAddr) -> bool {
    let client = Client::open(Span(PROBE_TIMEOUT_MS), None);
    client.get(&format!("http://{addr}{ALIVE_PATH}")).is_ok()
}

/// Returns the address to probe: the loopback address for a listener on all addresses.
fn probe_addr(addr: SocketAddr) -> SocketAddr {
    let ip = match addr.ip() {
        ip if !ip.is_unspecified() => ip,
        IpAddr::V4(_) => IpAddr::V4(Ipv4Addr::LOCALHOST),
        IpAddr::V6(_) => IpAddr::V6(Ipv6Addr::LOCALHOST),
    };
    SocketAddr::new(ip, addr.port())
}

fn spawn_thread(name: String, run: impl FnOnce() + Send + 'static) {
    let thread = std::thread::Builder::new().name(name).spawn(run);
    thread.expect("could not start a thread of a listener");
}

/// Returns the address that a socket is bound to.
pub(crate) fn bound_addr(socket: &TcpListener) -> Result<SocketAddr, Error> {
    socket.local_addr().map_err(|e| Error::new(Code::Unreachable, e.to_string()))
}
