use bulrushlink_core::Moment;

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
