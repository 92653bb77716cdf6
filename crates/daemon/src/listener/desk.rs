//! Reads requests, keeps them until the node answers, and writes the answers.

use bulrushlink_core::{Code, Error, Span};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use tiny_http::{Header, Method, Request, Response};

use super::{body, headers};
use crate::answers::Answer;
use crate::calls::CallResults;
use crate::edge::{Input, Token};
use crate::pool::Pool;

/// Threads that write answers.
const WRITERS: usize = 4;
/// `Retry-After` of an answer to a request refused because of overload or a stop.
const RETRY_AFTER_MS: u64 = 1_000;

/// A request with its body, before the API parses it.
#[derive(Clone, Debug)]
pub(crate) struct Incoming {
    pub(crate) method: Method,
    /// Path without the query.
    pub(crate) path: String,
    /// Text after `?`; empty if there is none.
    pub(crate) query: String,
    pub(crate) body: String,
}

/// A parsed request, by the way it is handled.
pub(crate) enum ParsedRequest {
    /// It is answered at once.
    Answer(Answer),
    /// It is forwarded to the node, as the input made from its token.
    Forward(Box<dyn FnOnce(Token) -> Input>),
}

/// An HTTP API: that for callers or that for operators.
pub(crate) trait Api: Send + Sync + 'static {
    /// Checks the credentials in the headers, before the body is read.
    fn authorize(&self, request: &Request) -> Result<(), Error>;

    /// Parses a request.
    fn parse(&self, incoming: Incoming) -> Result<ParsedRequest, Error>;

    /// Returns the answer to a request that is refused with `error`.
    fn error_answer(&self, error: &Error, retry: Option<Span>) -> Answer;
}

/// Limits of one listener.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bounds {
    /// Largest body, in bytes.
    pub(crate) body: usize,
    /// Most requests that wait for their answer.
    pub(crate) waiting: usize,
    /// Threads for requests with small bodies, and again as many for large ones.
    pub(crate) readers: usize,
}

struct PendingRequest {
    token: Token,
    request: Request,
}

struct PendingWrite {
    request: Request,
    answer: Answer,
}

pub(super) struct RequestHandler {
    name: &'static str,
    api: Box<dyn Api>,
    bounds: Bounds,
    results: CallResults,
    /// Last token assigned; shared by all listeners of a daemon.
    last_token: Arc<AtomicU64>,
    /// Requests that wait for the node, sorted by token.
    pending: Mutex<Vec<PendingRequest>>,
    writers: Pool<PendingWrite>,
    /// Number of answers that are queued or being written.
    unwritten: Arc<AtomicUsize>,
    /// Whether all further requests are refused.
    closing: AtomicBool,
}

impl RequestHandler {
    pub(super) fn new(
        name: &'static str,
        api: Box<dyn Api>,
        bounds: Bounds,
        last_token: Arc<AtomicU64>,
        results: CallResults,
    ) -> Self {
        let unwritten = Arc::new(AtomicUsize::new(0));
        let counter = unwritten.clone();
        let write = move |pending: PendingWrite| {
            respond(pending.request, pending.answer);
            counter.fetch_sub(1, Ordering::SeqCst);
        };
        Self {
            name,
            api,
            bounds,
            results,
            last_token,
            pending: Mutex::new(Vec::new()),
            // The queue has room for the answers to all pending requests, so that none is lost.
            writers: Pool::spawn("writer", WRITERS, bounds.waiting, write),
            unwritten,
            closing: AtomicBool::new(false),
        }
    }

    pub(super) fn daemon(&self) -> String {
        self.results.daemon()
    }

    /// Reads a request, and answers it or forwards it to the node.
    pub(super) fn serve(&self, mut request: Request) {
        match self.read(&mut request) {
            Ok(ParsedRequest::Answer(answer)) => self.finish(request, answer),
            Ok(ParsedRequest::Forward(input)) => self.forward(request, input),
            Err(error) => self.refuse(request, &error),
        }
    }

    pub(super) fn refuse(&self, request: Request, error: &Error) {
        let retryable = matches!(error.code(), Code::Overloaded | Code::Stopping);
        let retry = retryable.then_some(Span(RETRY_AFTER_MS));
        metrics::counter!(
            "bulrushlink_requests_refused_total",
            "daemon" => self.daemon(),
            "listener" => self.name,
            "code" => error.code().number().to_string()
        )
        .increment(1);
        self.finish(request, self.api.error_answer(error, retry));
    }

    /// Answers a pending request.
    pub(super) fn answer(&self, token: Token, answer: Answer) {
        let mut pending = self.lock();
        let found = pending.binary_search_by(|p| p.token.cmp(&token));
        let found = found.ok().map(|i| pending.remove(i).request);
        self.set_gauge(pending.len());
        // Incremented while the table is locked, so that `is_flushed` never misses the request
        // between the table and the count.
        self.unwritten.fetch_add(usize::from(found.is_some()), Ordering::SeqCst);
        drop(pending);
        let Some(request) = found else {
            log::error!(
                daemon = self.daemon(), token = token.0;
                "answer dropped: no pending request has this token"
            );
            return;
        };
        if let Err(PendingWrite { request, answer }) =
            self.writers.submit(PendingWrite { request, answer })
        {
            respond(request, answer);
            self.unwritten.fetch_sub(1, Ordering::SeqCst);
        }
    }

    /// Refuses all further requests.
    pub(super) fn close(&self) {
        self.closing.store(true, Ordering::SeqCst);
    }

    /// Returns true if the answers to all requests have been written.
    pub(super) fn is_flushed(&self) -> bool {
        self.lock().is_empty() && self.unwritten.load(Ordering::SeqCst) == 0
    }

    /// Drops all pending requests; the library answers them with status 500.
    pub(super) fn abandon_all(&self) {
        self.lock().clear();
    }

    fn lock(&self) -> MutexGuard<'_, Vec<PendingRequest>> {
        self.pending
            .lock()
            .expect("a thread panicked while it held the lock of the pending requests")
    }

    fn set_gauge(&self, pending: usize) {
        metrics::gauge!(
            "bulrushlink_waiting_requests", "daemon" => self.daemon(), "listener" => self.name
        )
        .set(pending as f64);
    }

    fn read(&self, request: &mut Request) -> Result<ParsedRequest, Error> {
        headers::check(request)?;
        self.api.authorize(request)?;
        let body = body::read(request, self.bounds.body)?;
        let url = request.url();
        let (path, query) = url.split_once('?').unwrap_or((url, ""));
        let (path, query) = (path.to_string(), query.to_string());
        self.api.parse(Incoming { method: request.method().clone(), path, query, body })
    }

    /// Forwards a request to the node, after adding it to the table: the answer may come at once.
    fn forward(&self, request: Request, input: Box<dyn FnOnce(Token) -> Input>) {
        let mut pending = self.lock();
        let refused = if self.closing.load(Ordering::SeqCst) {
            Some(Error::new(Code::Stopping, "the daemon is stopping"))
        } else if pending.len() >= self.bounds.waiting {
            Some(Error::new(Code::Overloaded, "too many requests wait for their answer"))
        } else {
            None
        };
        if let Some(error) = refused {
            drop(pending);
            return self.refuse(request, &error);
        }
        let token = Token(self.last_token.fetch_add(1, Ordering::SeqCst) + 1);
        pending.push(PendingRequest { token, request });
        self.set_gauge(pending.len());
        drop(pending);
        self.results.send(input(token));
    }

    fn finish(&self, request: Request, answer: Answer) {
        if body::must_abandon(&request, self.bounds.body) {
            log::warn!(
                daemon = self.daemon();
                "connection abandoned: announced body of {} bytes is too large to discard",
                request.body_length().unwrap_or_default()
            );
            body::abandon(request, &answer);
        } else {
            respond(request, answer);
        }
    }
}

/// Writes an answer. A failure is only logged: a client that has closed its connection or doesn't
/// read needs no answer.
pub(super) fn respond(request: Request, answer: Answer) {
    let media =
        Header::from_bytes("Content-Type", answer.media).expect("invalid Content-Type header");
    let mut response =
        Response::from_string(answer.body).with_status_code(answer.status).with_header(media);
    if let Some(retry) = answer.retry {
        let secs = retry.millis().div_ceil(1_000).max(1).to_string();
        response.add_header(
            Header::from_bytes("Retry-After", secs).expect("invalid Retry-After header"),
        );
    }
    if let Err(error) = request.respond(response) {
        log::debug!("write of an answer failed: {error}");
    }
}
