use crate::message::{Method, Request, Response};
use crate::parse::{Bounds, Malformed, request, response};

const BOUNDS: Bounds = Bounds { head: 200, body: 20 };

#[test]
fn a_request_is_taken_only_when_it_is_whole() {
    let sent =
        Request::new(Method::Post, "/a?b=1").with_header("Host", "h").with_json(b"{}".to_vec());
    let bytes = sent.encode();
    for length in 0..bytes.len() {
        assert_eq!(request(&bytes[..length], &BOUNDS), Ok(None), "{length} bytes");
    }
    let (taken, length) = request(&bytes, &BOUNDS).expect("well formed").expect("whole");
    assert_eq!((taken.path(), taken.header("HOST"), length), ("/a", Some("h"), bytes.len()));
    assert_eq!(taken.body, b"{}");
}

#[test]
fn what_is_too_large_or_malformed_is_told() {
    let long = format!("GET / HTTP/1.1\r\nA: {}\r\n\r\n", "x".repeat(300));
    assert_eq!(request(long.as_bytes(), &BOUNDS), Err(Malformed::HeadTooLarge));
    assert_eq!(request(&long.as_bytes()[..250], &BOUNDS), Err(Malformed::HeadTooLarge));
    let body = b"POST / HTTP/1.1\r\nContent-Length: 21\r\n\r\n";
    assert_eq!(request(body, &BOUNDS), Err(Malformed::BodyTooLarge));
    let length = b"POST / HTTP/1.1\r\nContent-Length: many\r\n\r\n";
    assert!(matches!(request(length, &BOUNDS), Err(Malformed::Syntax(_))));
    assert!(matches!(request(b"\x00\x01 / HTTP/1.1\r\n\r\n", &BOUNDS), Err(Malformed::Syntax(_))));
}

#[test]
fn chunks_are_put_together_and_bounded() {
    let head = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    let whole = format!("{head}3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    let (taken, length) = request(whole.as_bytes(), &BOUNDS).expect("well formed").expect("whole");
    assert_eq!((taken.body.as_slice(), length), (b"abcde".as_slice(), whole.len()));
    assert_eq!(request(&whole.as_bytes()[..whole.len() - 3], &BOUNDS), Ok(None));
    let large = format!("{head}ffffff\r\n");
    assert_eq!(request(large.as_bytes(), &BOUNDS), Err(Malformed::BodyTooLarge));
}

#[test]
fn a_response_without_a_length_lasts_until_the_end() {
    let bytes = b"HTTP/1.1 200 OK\r\n\r\nrest";
    let (taken, _) = response(bytes, &BOUNDS, true).expect("well formed").expect("whole");
    assert_eq!(taken.body, b"rest");
    let sent = Response::new(503).with_header("Retry-After", "1").encode(true);
    let (taken, _) = response(&sent, &BOUNDS, false).expect("well formed").expect("whole");
    assert_eq!((taken.status, taken.header("connection")), (503, Some("close")));
}
