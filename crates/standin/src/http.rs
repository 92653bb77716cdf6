//! Small HTTP server for the stand-ins, with a fixed number of threads and support for delayed
//! answers.

use bulrushlink_core::{Code, Error, Moment};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io::Read;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tiny_http::{Header, Method, Request, Response, Server};

/// Largest request body, in bytes.
const BODY_MAX_BYTES: u64 = 4 * 1024 * 1024;
/// Largest number of requests that wait at the same time; further ones are answered with 503.
const WAITING_MAX: usize = 4_096;
/// Period at which the service's time is advanced and waiting requests are checked, in
/// milliseconds.
const TICK_MS: u64 = 5;
/// Period of the calls of [`bulrushlink_api::poke`], in milliseconds.
const POKE_MS: u64 = 50;

/// How a request is answered.
pub(crate) enum Reply {
    /// Answers at once with a status and a JSON body.
    Now(u16, String),
    /// Answers with a status and a JSON body, but not before the given time.
    Later(u16, String, Moment),
    /// Never answers.
    Lost,
    /// Calls [`Service::retry`] with this text on every tick, until that returns another reply.
    Wait(String),
}

impl Reply {
    pub(crate) fn json<T: Serialize>(value: &T) -> Self {
        Self::Now(
            200,
            serde_json::to_string(value).expect("messages of the stand-in serialize to JSON"),
        )
    }

    pub(crate) fn error(status: u16, text: impl std::fmt::Display) -> Self {
        Self::Now(status, serde_json::json!({ "error": text.to_string() }).to_string())
    }

    /// Delays an immediate answer until the given time, if any.
    pub(crate) fn delayed(self, until: Option<Moment>) -> Self {
        match (self, until) {
            (Self::Now(status, body), Some(until)) => Self::Later(status, body, until),
            (other, _) => other,
        }
    }
}

/// Parses a JSON body; an invalid one is answered with 400.
pub(crate) fn parse<T: DeserializeOwned>(body: &str) -> Result<T, Reply> {
    serde_json::from_str(body).map_err(|error| Reply::error(400, error))
}

/// Handler of the server's requests.
pub(crate) trait Service: Send + Sync + 'static {
    /// Answers a request.
    fn handle(&self, method: &Method, path: &str, body: String, now: Moment) -> Reply;

    /// Answers a waiting request; `body` is the text of its [`Reply::Wait`].
    fn retry(&self, body: &str, now: Moment) -> Reply;

    /// Advances the service to `now`; called on every tick.
    fn tick(&self, now: Moment);
}

enum Deferred {
    Until(Moment, Reply),
    Retry(String),
}

struct Waiting {
    request: Request,
    deferred: Deferred,
}

struct Inner {
    server: Server,
    service: Box<dyn Service>,
    origin: Instant,
    waiting: Mutex<Vec<Waiting>>,
    stopped: AtomicBool,
}

/// A running server.
pub(crate) struct HttpServer {
    addr: SocketAddr,
    inner: Arc<Inner>,
    threads: Vec<JoinHandle<()>>,
}

impl HttpServer {
    pub(crate) fn bind(
        addr: SocketAddr,
        threads: usize,
        service: Box<dyn Service>,
    ) -> Result<Self, Error> {
        let server = Server::http(addr);
        let server = server.map_err(|e| Error::new(Code::Unreachable, format!("{addr}: {e}")))?;
        let addr = server.server_addr().to_ip().expect("the server listens on an IP address");
        let inner = Arc::new(Inner {
            server,
            service,
            origin: Instant::now(),
            waiting: Mutex::new(Vec::new()),
            stopped: AtomicBool::new(false),
        });
        let spawn = |run: fn(&Inner)| {
            let inner = inner.clone();
            std::thread::spawn(move || run(&inner))
        };
        let mut handles: Vec<_> = (0..threads).map(|_| spawn(Inner::serve)).collect();
        handles.push(spawn(Inner::tick));
        handles.push(spawn(Inner::poke));
        Ok(Self { addr, inner, threads: handles })
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    pub(crate) fn now(&self) -> Moment {
        self.inner.now()
    }

    pub(crate) fn stop(mut self) {
        self.shut_down();
    }

    fn shut_down(&mut self) {
        self.inner.stopped.store(true, Ordering::SeqCst);
        for _ in &self.threads {
            self.inner.server.unblock();
        }
        for thread in self.threads.drain(..) {
            // A panic in a thread means a violated invariant, which must fail the caller too.
            if thread.join().is_err() && !std::thread::panicking() {
                panic!("a server thread of the stand-in panicked");
            }
        }
        self.inner.lock().clear();
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.shut_down();
    }
}

impl Inner {
    fn now(&self) -> Moment {
        Moment(self.origin.elapsed().as_millis() as u64)
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Waiting>> {
        self.waiting.lock().expect("no thread panics while holding the lock")
    }

    fn serve(&self) {
        while !self.stopped.load(Ordering::SeqCst) {
            let Ok(mut request) = self.server.recv() else { continue };
            let reply = self.answer(&mut request);
            self.finish(request, reply);
        }
    }

    fn answer(&self, request: &mut Request) -> Reply {
        let mut body = String::new();
        let read = request.as_reader().take(BODY_MAX_BYTES + 1).read_to_string(&mut body);
        if read.is_err() {
            return Reply::error(400, "the body can't be read");
        }
        if body.len() as u64 > BODY_MAX_BYTES {
            return Reply::error(413, "the body is too large");
        }
        self.service.handle(request.method(), request.url(), body, self.now())
    }

    fn finish(&self, request: Request, reply: Reply) {
        match reply {
            Reply::Now(status, body) => Self::send(request, status, body),
            // Nothing is written and the connection stays open, so that the client runs into its
            // timeout.
            Reply::Lost => drop(request.into_writer()),
            Reply::Later(status, body, until) => {
                self.defer(request, Deferred::Until(until, Reply::Now(status, body)));
            }
            Reply::Wait(body) => self.defer(request, Deferred::Retry(body)),
        }
    }

    fn defer(&self, request: Request, deferred: Deferred) {
        let mut waiting = self.lock();
        if waiting.len() < WAITING_MAX {
            waiting.push(Waiting { request, deferred });
            return;
        }
        drop(waiting);
        Self::send(request, 503, r#"{"error":"too many waiting requests"}"#.to_string());
    }

    fn send(request: Request, status: u16, body: String) {
        let header: Header = "content-type: application/json".parse().expect("a valid header");
        let response = Response::from_string(body).with_status_code(status).with_header(header);
        // The client may have disconnected, so an error is ignored.
        let _ = request.respond(response);
    }

    fn poke(&self) {
        let addr = self.server.server_addr().to_ip().expect("the server listens on an IP address");
        while !self.stopped.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(POKE_MS));
            bulrushlink_api::poke(addr);
        }
    }

    fn tick(&self) {
        while !self.stopped.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(TICK_MS));
            self.service.tick(self.now());
            let waiting = std::mem::take(&mut *self.lock());
            for Waiting { request, deferred } in waiting {
                let now = self.now();
                let reply = match deferred {
                    Deferred::Until(until, reply) if until <= now => reply,
                    Deferred::Until(until, reply) => {
                        self.defer(request, Deferred::Until(until, reply));
                        continue;
                    }
                    Deferred::Retry(body) => self.service.retry(&body, now),
                };
                self.finish(request, reply);
            }
        }
    }
}
