use bulrushlink_core::Moment;
use stakker::{Fwd, Stakker};
use stakker_mio::mio::{Events, Poll};
use stakker_mio::{MioPoll, Ready};
use std::cell::RefCell;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::client::{Client, Finished};
use crate::deadline::Deadline;
use crate::message::{Method, Request, Response};
use crate::parse::{Bounds, Malformed, parse_request, parse_response};

const BOUNDS: Bounds = Bounds { head: 200, body: 20 };

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
