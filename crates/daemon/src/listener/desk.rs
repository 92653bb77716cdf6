//! Where requests are read, kept until their answer comes, and answered.

use bulrushlink_core::{Code, Error, Span};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use tiny_http::{Header, Method, Request, Response};

use super::{body, headers};
use crate::answers::Answer;
use crate::calls::Results;
use crate::edge::{Input, Token};
use crate::pool::Pool;

/// Threads that write answers.
const WRITERS: usize = 4;
/// Time to come back after an overload, in milliseconds.
const OVERLOAD_RETRY_MS: u64 = 1_000;

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

pub(super) struct Desk {
    name: &'static str,
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
}

impl Desk {
    pub(super) fn open(
        name: &'static str,
        front: Box<dyn Front>,
        bounds: Bounds,
        tokens: Arc<AtomicU64>,
        results: Results,
    ) -> Self {
        let unwritten = Arc::new(AtomicUsize::new(0));
        let counter = unwritten.clone();
        let write = move |written: Written| {
            respond(written.request, written.answer);
            counter.fetch_sub(1, Ordering::SeqCst);
        };
        Self {
            name,
            front,
            bounds,
            results,
            tokens,
            waiting: Mutex::new(Vec::new()),
            // There is room for every waiting request, so that no answer is ever lost here.
            writers: Pool::spawn("writer", WRITERS, bounds.waiting, write),
            unwritten,
            closing: AtomicBool::new(false),
        }
    }

    pub(super) fn daemon(&self) -> String {
        self.results.daemon()
    }

    /// Reads a request, and answers it or passes it to the node.
    pub(super) fn serve(&self, mut request: Request) {
        match self.read(&mut request) {
            Ok(Outcome::Answer(answer)) => self.finish(request, answer),
            Ok(Outcome::Ask(input)) => self.ask(request, input),
            Err(error) => self.refuse(request, &error),
        }
    }

    pub(super) fn refuse(&self, request: Request, error: &Error) {
        let overload = matches!(error.code(), Code::Overloaded | Code::Stopping);
        let retry = overload.then_some(Span(OVERLOAD_RETRY_MS));
        metrics::counter!(
            "bulrushlink_requests_refused_total",
            "daemon" => self.daemon(),
            "listener" => self.name,
            "code" => error.code().number().to_string()
        )
        .increment(1);
        self.finish(request, self.front.refuse(error, retry));
    }

    /// Answers a waiting request.
    pub(super) fn answer(&self, token: Token, answer: Answer) {
        let mut waiting = self.lock();
        let found = waiting.binary_search_by(|w| w.token.cmp(&token));
        let found = found.ok().map(|i| waiting.remove(i).request);
        self.count(waiting.len());
        // Counted while the table is locked, so that no request is in neither.
        self.unwritten.fetch_add(usize::from(found.is_some()), Ordering::SeqCst);
        drop(waiting);
        let Some(request) = found else {
            log::error!(daemon = self.daemon(), token = token.0; "answer without a request");
            return;
        };
        if let Err(Written { request, answer }) = self.writers.submit(Written { request, answer }) {
            respond(request, answer);
            self.unwritten.fetch_sub(1, Ordering::SeqCst);
        }
    }

    /// Refuses everything from now on.
    pub(super) fn close(&self) {
        self.closing.store(true, Ordering::SeqCst);
    }

    /// Tells whether every request has its answer.
    pub(super) fn is_flushed(&self) -> bool {
        self.lock().is_empty() && self.unwritten.load(Ordering::SeqCst) == 0
    }

    /// Drops all waiting requests; the library answers them with status 500.
    pub(super) fn abandon_all(&self) {
        self.lock().clear();
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Waiting>> {
        self.waiting.lock().expect("no holder of the table panics")
    }

    fn count(&self, waiting: usize) {
        metrics::gauge!(
            "bulrushlink_waiting_requests", "daemon" => self.daemon(), "listener" => self.name
        )
        .set(waiting as f64);
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

    fn finish(&self, request: Request, answer: Answer) {
        if body::is_abandoned(&request, self.bounds.body) {
            log::warn!(daemon = self.daemon(); "abandoned a connection that announces a huge body");
            body::abandon(request, &answer);
        } else {
            respond(request, answer);
        }
    }
}

/// Writes an answer; a client that has gone away needs none.
pub(super) fn respond(request: Request, answer: Answer) {
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
