//! A small HTTP server for the stand-ins: a fixed number of threads, and answers that may wait.

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

/// The largest body that is read, in bytes.
const BODY_MAX_BYTES: u64 = 4 * 1024 * 1024;
/// The most answers that wait at the same time.
const WAITING_MAX: usize = 4_096;
/// Period at which waiting answers are looked at, in milliseconds.
const TICK_MS: u64 = 5;
/// Period of poking the library, in milliseconds.
const POKE_MS: u64 = 50;

/// What becomes of a request.
pub(crate) enum Reply {
    /// A status and a JSON body.
    Now(u16, String),
    /// The same, not before that moment.
    Later(u16, String, Moment),
    /// No answer at all.
    Lost,
    /// Asked again through [`Service::retry`] at every change until it is something else.
    Wait(String),
}

impl Reply {
    pub(crate) fn json<T: Serialize>(value: &T) -> Self {
        Self::Now(200, serde_json::to_string(value).expect("the stand-in's messages are JSON"))
    }

    pub(crate) fn error(status: u16, text: impl std::fmt::Display) -> Self {
        Self::Now(status, serde_json::json!({ "error": text.to_string() }).to_string())
    }

    pub(crate) fn delayed(self, until: Option<Moment>) -> Self {
        match (self, until) {
            (Self::Now(status, body), Some(until)) => Self::Later(status, body, until),
            (other, _) => other,
        }
    }
}

/// Reads a JSON body.
pub(crate) fn parse<T: DeserializeOwned>(body: &str) -> Result<T, Reply> {
    serde_json::from_str(body).map_err(|error| Reply::error(400, error))
}

/// What the server asks to answer its requests.
pub(crate) trait Service: Send + Sync + 'static {
    /// Answers a request.
    fn handle(&self, method: &Method, path: &str, body: String, now: Moment) -> Reply;

    /// Answers a request that waits, whose body is `body`.
    fn retry(&self, body: &str, now: Moment) -> Reply;

    /// Lets time pass.
    fn tick(&self, now: Moment);
}

enum Held {
    Until(Moment, Reply),
    Waits(String),
}

struct Waiting {
    request: Request,
    held: Held,
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
        self.halt();
    }

    fn halt(&mut self) {
        self.inner.stopped.store(true, Ordering::SeqCst);
        for _ in &self.threads {
            self.inner.server.unblock();
        }
        for thread in self.threads.drain(..) {
            // A thread that panicked has broken an invariant: the caller must hear of it.
            if thread.join().is_err() && !std::thread::panicking() {
                panic!("a thread of the stand-in panicked");
            }
        }
        self.inner.lock().clear();
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.halt();
    }
}

impl Inner {
    fn now(&self) -> Moment {
        Moment(self.origin.elapsed().as_millis() as u64)
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Waiting>> {
        self.waiting.lock().expect("no holder of the list panics")
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
            // The client waits for its own time-out: nothing is written and the connection stays.
            Reply::Lost => drop(request.into_writer()),
            Reply::Later(status, body, until) => {
                self.hold(request, Held::Until(until, Reply::Now(status, body)));
            }
            Reply::Wait(body) => self.hold(request, Held::Waits(body)),
        }
    }

    fn hold(&self, request: Request, held: Held) {
        let mut waiting = self.lock();
        if waiting.len() < WAITING_MAX {
            waiting.push(Waiting { request, held });
            return;
        }
        drop(waiting);
        Self::send(request, 503, r#"{"error":"too many waiting requests"}"#.to_string());
    }

    fn send(request: Request, status: u16, body: String) {
        let header: Header = "content-type: application/json".parse().expect("a valid header");
        let response = Response::from_string(body).with_status_code(status).with_header(header);
        // A client that has gone away needs no answer.
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
            let held = std::mem::take(&mut *self.lock());
            for Waiting { request, held } in held {
                let now = self.now();
                let reply = match held {
                    Held::Until(until, reply) if until <= now => reply,
                    Held::Until(until, reply) => {
                        self.hold(request, Held::Until(until, reply));
                        continue;
                    }
                    Held::Waits(body) => self.service.retry(&body, now),
                };
                self.finish(request, reply);
            }
        }
    }
}
