//! Crowds that don't read their responses.

use rustix::net::sockopt::set_socket_recv_buffer_size;

use crate::host::{Host, RequestLimits, open, send};

/// Limits of the configuration; no time-out ends a request of a crowd during a test.
const LIMITS: RequestLimits = RequestLimits { head: 16_384, body: 65_536, time: 300_000 };
/// Callers of a crowd.
const CROWD: usize = 40;
/// Requests that each of them sends at once.
const REQUESTS: usize = 2_000;
/// Size of their receive buffers, so that the daemon holds what they don't read.
const RECEIVE_BYTES: usize = 4_096;

/// Guards against memory in proportion to the responses that a caller doesn't read: each further request on the
/// connection was answered into the buffer of those before it.
#[test]
fn unread_responses_stay_within_memory() {
    let mut host = Host::spawn(LIMITS);
    let addr = host.daemon.metrics.clone();
    let crowd: Vec<_> = (0..CROWD).filter_map(|_| open(&addr)).collect();
    for stream in &crowd {
        set_socket_recv_buffer_size(stream, RECEIVE_BYTES).expect("a socket option");
    }
    let requests = "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n".repeat(REQUESTS);
    crowd.iter().for_each(|stream| send(stream, requests.as_bytes()));
    host.check(&crowd);
}

/// Guards against a stack that grows with the requests of one connection that are answered at once: some
/// thousands of an unknown method ended the daemon.
#[test]
fn pipelined_requests_of_an_unknown_method_end_nothing() {
    const PIPELINED: usize = 20_000;
    let mut host = Host::spawn(RequestLimits { body: 262_144, ..LIMITS });
    let crowd = host.open_crowd(4);
    let requests = "X / HTTP/1.1\r\n\r\n".repeat(PIPELINED);
    crowd.iter().for_each(|stream| send(stream, requests.as_bytes()));
    host.check(&crowd);
}

/// Guards against arithmetic on the size of a chunk that a caller names: the end of the largest one overflowed,
/// and ended the daemon.
#[test]
fn excessive_figures_of_a_caller_end_nothing() {
    let mut host = Host::spawn(LIMITS);
    let post = "POST /replay/0000000000000001 HTTP/1.1\r\nHost: jobs.example\r\n";
    let most = u64::MAX;
    let figures = [
        format!("{post}Transfer-Encoding: chunked\r\n\r\n1\r\n{{\r\n{most:x}\r\n}}\r\n0\r\n\r\n"),
        format!("{post}Transfer-Encoding: chunked\r\n\r\n{most:x}\r\n}}\r\n0\r\n\r\n"),
        format!("{post}Transfer-Encoding: chunked\r\n\r\n1{most:x}\r\n}}\r\n0\r\n\r\n"),
        format!("{post}Transfer-Encoding: chunked\r\n\r\n{}\r\n", "0".repeat(100)),
        format!("{post}Content-Length: {most}\r\n\r\n}}"),
        format!("{post}Content-Length: {most}0\r\n\r\n}}"),
        format!("{post}Content-Length: -1\r\n\r\n}}"),
        format!("{post}Deadline-Ms: {most}\r\nContent-Length: 2\r\n\r\n{{}}"),
    ];
    let crowd = host.open_crowd(figures.len());
    crowd.iter().zip(&figures).for_each(|(stream, figure)| send(stream, figure.as_bytes()));
    host.check(&crowd);
}
