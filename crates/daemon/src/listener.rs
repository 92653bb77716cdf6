//! One HTTP listener over `tiny_http`, with bounds on all that the library leaves open to us.
//!
//! One thread takes requests from the library and hands them to a few readers; requests with
//! larger bodies go to readers of their own, so that slow senders hold up nobody but each other.
//! Requests that wait for the node are kept in a bounded table until their answer comes, and
//! answers are written by threads of their own, never by the node's loop.

use bulrushlink_api::poke;
use bulrushlink_core::{Code, Error, Span};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tiny_http::{Header, Method, Request, Response, Server};

use crate::answers::Answer;
use crate::calls::Results;
use crate::edge::{Input, Token};
use crate::pool::Pool;
use bind::open_server;

mod bind;
mod body;
mod headers;
#[cfg(test)]
mod tests;

pub(crate) use bind::bind;

/// Requests that wait for a reader, for each reader.
const QUEUE_PER_READER: usize = 64;
/// Threads that write answers.
const WRITERS: usize = 4;
/// Time to come back after an overload, in milliseconds.
const OVERLOAD_RETRY_MS: u64 = 1_000;
/// Period of poking the library, in milliseconds.
const POKE_MS: u64 = 100;
/// Pause before a listener whose accept failed is opened anew, in milliseconds.
const REOPEN_PAUSE_MS: u64 = 200;

/// A request as the listener's front sees it.
#[derive(Clone, Debug)]
pub(crate) struct Incoming {
    pub(crate) method: Method,
    /// Path without the query.
    pub(crate) path: String,
    /// Text after `?`, if any.
    pub(crate) query: String,
    pub(crate) body: String,
}

/// What becomes of a request.
pub(crate) enum Outcome {
    /// It is answered at once.
    Answer(Answer),
    /// The node answers it by the token.
    Ask(Box<dyn FnOnce(Token) -> Input>),
}

/// What differs between callers and operators.
pub(crate) trait Front: Send + Sync + 'static {
    /// Checks the headers, before the body is read.
    fn admit(&self, request: &Request) -> Result<(), Error>;

    /// Reads a request.
    fn read(&self, incoming: Incoming) -> Result<Outcome, Error>;

    /// Answers a request that can't be passed on.
    fn refuse(&self, error: &Error, retry: Option<Span>) -> Answer;
}

/// Bounds of one listener.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds {
    /// Largest body, in bytes.
    pub(crate) body: usize,
    /// Most requests that wait for their answer.
    pub(crate) waiting: usize,
    /// Threads of each kind of readers.
    pub(crate) readers: usize,
}

struct Waiting {
    token: Token,
    request: Request,
}

struct Written {
    request: Request,
    answer: Answer,
}

struct Shared {
    name: &'static str,
    socket: TcpListener,
    front: Box<dyn Front>,
    bounds: Bounds,
    results: Results,
    /// Last token given out; shared by all listeners of a daemon.
    tokens: Arc<AtomicU64>,
    /// Sorted by token.
    waiting: Mutex<Vec<Waiting>>,
    writers: Pool<Written>,
    /// Answers that are being written or queued for it.
    unwritten: Arc<AtomicUsize>,
    /// Refuses everything from now on.
    closing: AtomicBool,
    /// Ends the threads.
    closed: AtomicBool,
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
        let unwritten = Arc::new(AtomicUsize::new(0));
        let counter = unwritten.clone();
        let write = move |written: Written| {
            respond(written.request, written.answer);
            counter.fetch_sub(1, Ordering::SeqCst);
        };
        let shared = Arc::new(Shared {
            name,
            socket,
            front,
            bounds,
            results,
            tokens,
            waiting: Mutex::new(Vec::new()),
            // There is room for every waiting request, so that no answer is ever lost here.
            writers: Pool::spawn("writer", WRITERS, bounds.waiting, write),
            unwritten,
            closing: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            servers: Mutex::new(Vec::new()),
        });
        let server = Arc::new(open_server(&shared.socket)?);
        Shared::dispatch(&shared, server);
        let poked = shared.clone();
        let addr = bound_addr(&shared.socket)?;
        spawn_thread(format!("{name}-poke"), move || poked.poke(addr));
        Ok(Self { shared })
    }

    /// Answers a waiting request.
    pub(crate) fn answer(&self, token: Token, answer: Answer) {
        let mut waiting = self.shared.lock();
        let found = waiting.binary_search_by(|w| w.token.cmp(&token));
        let found = found.ok().map(|i| waiting.remove(i).request);
        self.shared.count(waiting.len());
        drop(waiting);
        let Some(request) = found else {
            log::error!(token = token.0; "answer without a request on {}", self.shared.name);
            return;
        };
        self.shared.unwritten.fetch_add(1, Ordering::SeqCst);
        if let Err(Written { request, answer }) =
            self.shared.writers.submit(Written { request, answer })
        {
            respond(request, answer);
            self.shared.unwritten.fetch_sub(1, Ordering::SeqCst);
        }
    }

    /// Refuses everything from now on; answers to waiting requests still go out.
    pub(crate) fn close(&self) {
        self.shared.closing.store(true, Ordering::SeqCst);
    }

    /// Tells whether every request has its answer.
    pub(crate) fn is_flushed(&self) -> bool {
        self.shared.lock().is_empty() && self.shared.unwritten.load(Ordering::SeqCst) == 0
    }

    /// Ends the threads; connections are refused from then on.
    pub(crate) fn stop(&self) {
        self.close();
        self.shared.closed.store(true, Ordering::SeqCst);
        let servers = std::mem::take(&mut *self.shared.servers());
        servers.iter().for_each(|server| server.unblock());
        self.shared.lock().clear();
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, Vec<Waiting>> {
        self.waiting.lock().expect("no holder of the table panics")
    }

    fn servers(&self) -> MutexGuard<'_, Vec<Arc<Server>>> {
        self.servers.lock().expect("no holder of the list panics")
    }

    fn is_closed(&self) -> bool {
        self.closed.load(Ordering::SeqCst)
    }

    fn count(&self, waiting: usize) {
        let daemon = self.results.daemon();
        metrics::gauge!(
            "bulrushlink_waiting_requests", "daemon" => daemon, "listener" => self.name
        )
        .set(waiting as f64);
    }

    /// Starts the thread that takes requests from the library.
    fn dispatch(shared: &Arc<Self>, server: Arc<Server>) {
        shared.servers().push(server.clone());
        let pool = |name: &str| {
            let reader = shared.clone();
            let (threads, queue) =
                (shared.bounds.readers, shared.bounds.readers * QUEUE_PER_READER);
            Pool::spawn(name, threads, queue, move |request| reader.serve(request))
        };
        let (readers, slow) = (pool("reader"), pool("reader-large"));
        let shared = shared.clone();
        spawn_thread(format!("{}-dispatch", shared.name), move || {
            while !shared.is_closed() {
                match server.recv() {
                    Ok(request) => shared.pass_on(&readers, &slow, request),
                    Err(_) if shared.is_closed() => return,
                    Err(error) => Self::reopen(&shared, &error),
                }
            }
        });
    }

    fn poke(&self, addr: SocketAddr) {
        while !self.is_closed() {
            std::thread::sleep(Duration::from_millis(POKE_MS));
            poke(addr);
        }
    }

    /// The library ends its accept loop at the first error, such as a lack of file descriptors.
    /// The listener opens anew on the same socket, and this thread goes on with the connections
    /// that there are.
    fn reopen(shared: &Arc<Self>, error: &std::io::Error) {
        log::error!("accept failed on {}, opening anew: {error}", shared.name);
        std::thread::sleep(Duration::from_millis(REOPEN_PAUSE_MS));
        match open_server(&shared.socket) {
            Ok(server) if !shared.is_closed() => Self::dispatch(shared, Arc::new(server)),
            Ok(_) => {}
            Err(error) => log::error!("{} can't be opened anew: {error}", shared.name),
        }
    }

    fn pass_on(&self, readers: &Pool<Request>, slow: &Pool<Request>, request: Request) {
        let pool = if body::is_buffered(&request) { readers } else { slow };
        if let Err(request) = pool.submit(request) {
            let error = Error::new(Code::Overloaded, "too many requests wait to be read");
            self.refuse(request, &error);
        }
    }

    fn serve(&self, mut request: Request) {
        match self.read(&mut request) {
            Ok(Outcome::Answer(answer)) => self.finish(request, answer),
            Ok(Outcome::Ask(input)) => self.ask(request, input),
            Err(error) => self.refuse(request, &error),
        }
    }

    fn read(&self, request: &mut Request) -> Result<Outcome, Error> {
        headers::check(request)?;
        self.front.admit(request)?;
        let body = body::read(request, self.bounds.body)?;
        let url = request.url();
        let (path, query) = url.split_once('?').unwrap_or((url, ""));
        let (path, query) = (path.to_string(), query.to_string());
        self.front.read(Incoming { method: request.method().clone(), path, query, body })
    }

    /// The request is in the table before the node hears of it, so that no answer comes too early.
    fn ask(&self, request: Request, input: Box<dyn FnOnce(Token) -> Input>) {
        let mut waiting = self.lock();
        let refused = if self.closing.load(Ordering::SeqCst) {
            Some(Error::new(Code::Stopping, "the daemon is stopping"))
        } else if waiting.len() >= self.bounds.waiting {
            Some(Error::new(Code::Overloaded, "too many requests wait for their answer"))
        } else {
            None
        };
        if let Some(error) = refused {
            drop(waiting);
            return self.refuse(request, &error);
        }
        let token = Token(self.tokens.fetch_add(1, Ordering::SeqCst) + 1);
        waiting.push(Waiting { token, request });
        self.count(waiting.len());
        drop(waiting);
        self.results.send(input(token));
    }

    fn refuse(&self, request: Request, error: &Error) {
        let overload = matches!(error.code(), Code::Overloaded | Code::Stopping);
        let retry = overload.then_some(Span(OVERLOAD_RETRY_MS));
        metrics::counter!(
            "bulrushlink_requests_refused_total",
            "daemon" => self.results.daemon(), "listener" => self.name, "code" => error.code().number().to_string()
        )
        .increment(1);
        self.finish(request, self.front.refuse(error, retry));
    }

    fn finish(&self, request: Request, answer: Answer) {
        if body::is_abandoned(&request, self.bounds.body) {
            log::warn!("abandoned a connection on {} that announces a huge body", self.name);
            body::abandon(request, &answer);
        } else {
            respond(request, answer);
        }
    }
}

fn spawn_thread(name: String, run: impl FnOnce() + Send + 'static) {
    let thread = std::thread::Builder::new().name(name).spawn(run);
    thread.expect("the operating system allows a handful of threads");
}

/// Writes an answer; a client that has gone away needs none.
fn respond(request: Request, answer: Answer) {
    let media = Header::from_bytes("Content-Type", answer.media).expect("a valid header");
    let mut response =
        Response::from_string(answer.body).with_status_code(answer.status).with_header(media);
    if let Some(retry) = answer.retry {
        let secs = retry.millis().div_ceil(1_000).max(1).to_string();
        response.add_header(Header::from_bytes("Retry-After", secs).expect("a valid header"));
    }
    if let Err(error) = request.respond(response) {
        log::debug!("an answer could not be written: {error}");
    }
}

/// Returns the address that a socket is bound to.
pub(crate) fn bound_addr(socket: &TcpListener) -> Result<SocketAddr, Error> {
    socket.local_addr().map_err(|e| Error::new(Code::Unreachable, e.to_string()))
}
