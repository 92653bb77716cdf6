use bulrushlink_core::{Moment, Span};
use stakker::{Fwd, Stakker};
use stakker_mio::mio::{Events, Poll};
use stakker_mio::{MioPoll, Ready};
use std::cell::RefCell;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::client::{Client, Finished};
use crate::deadline::Deadline;
use crate::message::{Method, Request, Response};
use crate::parse::{Bounds, Malformed, Parsed, RequestParser, parse_response};
use crate::server::{Received, Server, ServerBounds, SocketBuffers};

const BOUNDS: Bounds = Bounds { head: 200, body: 20, framing: 200 };

/// Parses a request from its first bytes.
fn parse_request(bytes: &[u8], bounds: &Bounds) -> Parsed<Request> {
    let (used, request) = RequestParser::default().feed(bytes, bounds)?;
    Ok(request.map(|request| (request, used)))
}

/// A request can arrive in any number of pieces; a prefix must be neither parsed nor rejected.
#[test]
fn request_is_parsed_only_when_complete() {
    let sent =
        Request::new(Method::Post, "/a?b=1").with_header("Host", "h").with_json(b"{}".to_vec());
    let bytes = sent.encode();
    for length in 0..bytes.len() {
        assert_eq!(parse_request(&bytes[..length], &BOUNDS), Ok(None), "{length} bytes");
    }
    let (parsed, length) = parse_request(&bytes, &BOUNDS).expect("well formed").expect("complete");
    assert_eq!((parsed.path(), parsed.header("HOST"), length), ("/a", Some("h"), bytes.len()));
    assert_eq!(parsed.body, b"{}");
}

/// A head over the limit must be rejected even if it never ends, or a client could grow the buffer.
#[test]
fn oversized_and_invalid_requests_are_rejected() {
    let long = format!("GET / HTTP/1.1\r\nA: {}\r\n\r\n", "x".repeat(300));
    assert_eq!(parse_request(long.as_bytes(), &BOUNDS), Err(Malformed::HeadTooLarge));
    assert_eq!(parse_request(&long.as_bytes()[..250], &BOUNDS), Err(Malformed::HeadTooLarge));
    let body = b"POST / HTTP/1.1\r\nContent-Length: 21\r\n\r\n";
    assert_eq!(parse_request(body, &BOUNDS), Err(Malformed::BodyTooLarge));
    let length = b"POST / HTTP/1.1\r\nContent-Length: many\r\n\r\n";
    assert!(matches!(parse_request(length, &BOUNDS), Err(Malformed::Syntax(_))));
    assert!(matches!(
        parse_request(b"\x00\x01 / HTTP/1.1\r\n\r\n", &BOUNDS),
        Err(Malformed::Syntax(_))
    ));
}

/// A chunk over the limit must be rejected by its announced size, before its data arrives.
#[test]
fn chunked_body_is_joined_and_limited() {
    let head = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    let complete = format!("{head}3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    let (parsed, length) =
        parse_request(complete.as_bytes(), &BOUNDS).expect("well formed").expect("complete");
    assert_eq!((parsed.body.as_slice(), length), (b"abcde".as_slice(), complete.len()));
    assert_eq!(parse_request(&complete.as_bytes()[..complete.len() - 3], &BOUNDS), Ok(None));
    let large = format!("{head}ffffff\r\n");
    assert_eq!(parse_request(large.as_bytes(), &BOUNDS), Err(Malformed::BodyTooLarge));
}

/// Returns a chunked request whose body comes in chunks of the given size.
fn chunked(body: &[u8], size: usize) -> Vec<u8> {
    let mut bytes = b"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
    for chunk in body.chunks(size) {
        bytes.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        bytes.extend_from_slice(chunk);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\n\r\n");
    bytes
}

/// Guards against a body that depends on where its parts are split, or whose framing counts as body.
#[test]
fn request_in_any_parts_is_the_same() {
    let bounds = Bounds { head: 200, body: 300, framing: 300 * 5 + 5 };
    let body: Vec<u8> = (0..=255).collect();
    let sized = Request::new(Method::Post, "/").with_json(body.clone()).encode();
    let requests = [1, 3, 16, 256].map(|size| chunked(&body, size)).into_iter().chain([sized]);
    for (number, request) in requests.enumerate() {
        for part in [1, 2, 5, 64, request.len()] {
            let (mut parser, mut buffer, mut parsed) = (RequestParser::default(), Vec::new(), None);
            for bytes in request.chunks(part) {
                assert_eq!(parsed, None, "request {number} in parts of {part}");
                buffer.extend_from_slice(bytes);
                let (used, request) = parser.feed(&buffer, &bounds).expect("well formed");
                buffer.drain(..used);
                parsed = request;
            }
            let parsed = parsed.expect("complete");
            assert_eq!((parsed.body, buffer.len()), (body.clone(), 0), "request {number}");
        }
    }
}

/// Guards against work and memory in proportion to the framing, which a caller may make as long as it likes.
#[test]
fn framing_has_a_bound_of_its_own() {
    let head = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    for framing in [
        format!("1;{}\r\n", "x".repeat(300)),
        "0".repeat(300),
        format!("0\r\nA: {}", "x".repeat(300)),
        format!("0\r\n{}", "A: b\r\n".repeat(50)),
    ] {
        let request = format!("{head}{framing}");
        assert_eq!(parse_request(request.as_bytes(), &BOUNDS), Err(Malformed::FramingTooLarge));
    }
    let trailers = format!("{head}1;a=b\r\nx\r\n0\r\nA: b\r\nC: d\r\n\r\nGET");
    let (parsed, length) =
        parse_request(trailers.as_bytes(), &BOUNDS).expect("well formed").expect("complete");
    assert_eq!((parsed.body.as_slice(), length), (b"x".as_slice(), trailers.len() - 3));
}

/// Guards against parsing the same bytes again at each read: heads and bodies that arrive byte by byte took time in
/// proportion to the square of their size.
#[test]
fn head_is_parsed_again_only_when_it_has_doubled() {
    let bounds = Bounds { head: 1 << 20, body: 0, framing: 0 };
    let mut parser = RequestParser::default();
    let mut head = b"GET / HTTP/1.1\r\nA: ".to_vec();
    head.resize(1 << 18, b'x');
    let mut parsed_bytes = 0;
    for length in 1..head.len() {
        let before = parser.attempted();
        assert_eq!(parser.feed(&head[..length], &bounds), Ok((0, None)));
        if parser.attempted() != before {
            parsed_bytes += length;
        }
    }
    assert!(parsed_bytes <= 2 * head.len(), "{parsed_bytes} bytes parsed");
}

#[test]
fn response_without_length_extends_to_eof() {
    let bytes = b"HTTP/1.1 200 OK\r\n\r\nrest";
    let (parsed, _) = parse_response(bytes, &BOUNDS, true).expect("well formed").expect("complete");
    assert_eq!(parsed.body, b"rest");
    let sent = Response::new(503).with_header("Retry-After", "1").encode(true);
    let (parsed, _) =
        parse_response(&sent, &BOUNDS, false).expect("well formed").expect("complete");
    assert_eq!((parsed.status, parsed.header("connection")), (503, Some("close")));
}

/// A long answer on a narrow link must not time out while it arrives, but a few bytes now and then
/// must not keep a call open.
#[test]
fn deadline_moves_only_while_a_transfer_makes_progress() {
    let mut deadline = Deadline::new(Moment(800));
    for step in 1..=20 {
        deadline.record(20_000, Moment(step * 200));
    }
    assert_eq!(deadline.at(), Moment(20 * 200 + 800));
    let mut trickle = Deadline::new(Moment(800));
    (1..=7).for_each(|step| trickle.record(1_000, Moment(step * 100)));
    assert_eq!(trickle.at(), Moment(800));
}

/// A client whose poll loop stands still unless a test lets it go on.
struct Caller {
    poll: MioPoll,
    client: Client<u32>,
    events: Rc<RefCell<Vec<(u64, Ready)>>>,
}

impl Caller {
    fn open() -> Self {
        let mut stakker = Stakker::new(Instant::now());
        let poll = Poll::new().expect("a poll");
        let poll =
            MioPoll::new(&mut stakker, poll, Events::with_capacity(16), crate::POLL_PRIORITY)
                .expect("a poll loop");
        Self { poll, client: Client::default(), events: Rc::default() }
    }

    /// Sends a call to a new peer; returns the peer's end once the request has arrived there.
    fn call(&mut self, token: u32, deadline: Moment) -> TcpStream {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let peer = listener.local_addr().expect("an address");
        let events = self.events.clone();
        let ready = |id| Fwd::new(move |ready| events.borrow_mut().push((id, ready)));
        let request = Request::new(Method::Get, "/").with_header("Host", "h");
        let failed = self.client.call(&self.poll, ready, peer, &request, (token, deadline));
        assert_eq!(failed, None);
        let (mut stream, _) = listener.accept().expect("a connection");
        stream.set_nonblocking(false).expect("a blocking stream");
        stream.set_read_timeout(Some(Duration::from_secs(10))).expect("a valid timeout");
        self.poll.poll(Duration::from_secs(10)).expect("events");
        for (id, ready) in self.events.take() {
            assert_eq!(self.client.ready(id, ready, Moment(0)), None);
        }
        assert!(stream.read(&mut [0; 512]).expect("the request arrives") > 0);
        stream
    }
}

/// Guards against timing out calls whose responses have arrived and were not read: while the process was
/// busy, more connections became ready than one poll reports, or the poll reported only a signal. Peers
/// that had answered counted as silent (issue 34).
#[test]
fn call_does_not_time_out_while_its_response_lies_unread() {
    let mut caller = Caller::open();
    let mut answering = caller.call(1, Moment(500));
    let mut slow = caller.call(2, Moment(500));
    let mut closing = caller.call(3, Moment(500));
    let _silent = caller.call(4, Moment(500));
    let body = vec![b' '; 20_000];
    let response = Response::new(200).with_body("text/plain", body).encode(false);
    answering.write_all(&response).expect("the response is sent");
    slow.write_all(&response[..17_000]).expect("a part of the response is sent");
    closing.write_all(b"HTTP/1.1 200 OK\r\n\r\n").expect("the response is sent");
    drop(closing);
    let outcomes = |finished: Vec<Finished<u32>>| {
        let outcome = |f: Finished<u32>| (f.token, f.result.map(|r| r.status).ok());
        finished.into_iter().map(outcome).collect::<Vec<_>>()
    };
    let ended = outcomes(caller.client.expire(Moment(700)));
    assert_eq!(ended, [(1, Some(200)), (3, Some(200)), (4, None)]);
    assert_eq!(caller.client.next_deadline(), Some(Moment(700 + 800)));
    assert_eq!(outcomes(caller.client.expire(Moment(1_500))), [(2, None)]);
    assert_eq!((caller.client.next_deadline(), caller.client.len()), (None, 1));
}

/// A server with one connection whose poll loop stands still unless a test lets it go on.
struct Listener {
    poll: MioPoll,
    server: Server,
    events: Rc<RefCell<Vec<(u64, Ready)>>>,
    addr: SocketAddr,
}

impl Listener {
    fn open(bounds: ServerBounds) -> Self {
        let mut stakker = Stakker::new(Instant::now());
        let poll = Poll::new().expect("a poll");
        let poll =
            MioPoll::new(&mut stakker, poll, Events::with_capacity(16), crate::POLL_PRIORITY)
                .expect("a poll loop");
        let socket = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = socket.local_addr().expect("an address");
        let buffers = SocketBuffers { receive: 4_096, send: 4_096 };
        let accept = Fwd::new(|_: Ready| {});
        let server =
            Server::open(&poll, "test", socket, bounds, buffers, accept).expect("registered");
        Self { poll, server, events: Rc::default(), addr }
    }

    fn connect(&mut self) -> TcpStream {
        let stream = TcpStream::connect(self.addr).expect("a connection");
        stream.set_nonblocking(true).expect("a non-blocking stream");
        self.accept();
        stream
    }

    fn accept(&mut self) {
        let events = self.events.clone();
        let ready = |id| {
            let events = events.clone();
            Fwd::new(move |ready| events.borrow_mut().push((id, ready)))
        };
        self.server.accept(&self.poll, ready, Moment(0));
    }

    /// Handles the events of one poll; returns the complete requests.
    fn poll(&mut self, now: Moment) -> Vec<Received> {
        self.poll.poll(Duration::from_millis(100)).expect("events");
        let events = self.events.take();
        events.into_iter().filter_map(|(id, ready)| self.server.ready(id, ready, now)).collect()
    }
}

const SERVER_BOUNDS: ServerBounds = ServerBounds {
    request: Bounds { head: 1_000, body: 100_000, framing: 1_000 },
    request_timeout: Span(1_000),
    body_timeout: Span(5_000),
    idle_timeout: Span(5_000),
    connections: 3,
    messages: 1_000_000,
};

/// Guards against responses that add up while their caller doesn't read them.
#[test]
fn responses_wait_until_those_before_them_are_read() {
    let mut listener = Listener::open(SERVER_BOUNDS);
    let mut caller = listener.connect();
    caller.write_all("GET / HTTP/1.1\r\n\r\n".repeat(40).as_bytes()).expect("sent");
    let response = Response::new(200).with_body("text/plain", vec![b'x'; 500_000]);
    let mut received = listener.poll(Moment(0));
    let mut answered = 0;
    while let Some(Received { conn, .. }) = received.pop() {
        answered += 1;
        listener.server.respond(conn, &response, Moment(0));
        received.extend(listener.server.resume(Moment(0)));
    }
    assert!(answered < 40, "all of {answered} requests were answered");
    assert!(listener.server.messages() <= 1_500_000, "{} bytes", listener.server.messages());
    listener.server.expire(Moment(1_001));
    assert_eq!((listener.server.len(), listener.server.messages()), (0, 0));
}

/// Guards against a connection that is refused although others do nothing, and against one that is closed while its
/// request is being handled.
#[test]
fn least_active_connection_makes_room_for_a_new_one() {
    let mut listener = Listener::open(SERVER_BOUNDS);
    let mut serving = listener.connect();
    serving.write_all(b"GET / HTTP/1.1\r\n\r\n").expect("sent");
    let received = listener.poll(Moment(0));
    assert_eq!(received.len(), 1);
    let mut callers: Vec<TcpStream> = (0..5).map(|_| listener.connect()).collect();
    assert_eq!((listener.server.len(), listener.server.take_disconnected()), (3, Vec::new()));
    let newest = callers.last_mut().expect("a caller");
    newest.write_all(b"GET /new HTTP/1.1\r\n\r\n").expect("sent");
    assert_eq!(listener.poll(Moment(1)).len(), 1);
    listener.server.respond(received[0].conn, &Response::new(200), Moment(2));
    assert_eq!(listener.server.len(), 3);
}

/// Guards against a body that stops short of its end and keeps its memory for ever, and against one that is cut
/// off while it arrives.
#[test]
fn body_ends_with_its_progress() {
    let mut listener = Listener::open(SERVER_BOUNDS);
    let mut slow = listener.connect();
    slow.write_all(b"POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\n").expect("sent");
    assert_eq!(listener.poll(Moment(0)).len(), 0);
    for now in [900, 1_800, 2_700] {
        slow.write_all(b"x").expect("sent");
        assert_eq!(listener.poll(Moment(now)).len(), 0);
        listener.server.expire(Moment(now + 900));
        assert_eq!(listener.server.len(), 1, "at {now}");
    }
    listener.server.expire(Moment(2_700 + 1_001));
    assert_eq!((listener.server.len(), listener.server.messages()), (0, 0));
}
