//! Crowds whose requests are within the limits of a single request, and most of which never end.

use std::net::TcpStream;

use crate::host::{Host, KEY, RequestLimits, chunks, head, large_job, open, read_status, send};
use crate::proxy::LinkState;

/// Callers of a crowd. Their bodies alone take more than the memory of the host.
const CROWD: usize = 300;
/// Size of a body, the largest that the configuration allows.
const BODY_BYTES: usize = 262_144;
/// Limits of the configuration; no time-out ends a request of a crowd during a test.
const LIMITS: RequestLimits = RequestLimits { head: 16_384, body: BODY_BYTES, time: 300_000 };
/// Bytes in which a body is sent piece by piece.
const PIECE_BYTES: usize = 4_096;
/// Each caller of this number ends its request; the others stop just short of the end.
const ENDING: usize = 50;

/// Sends one request per connection, each in pieces of the given size in turn with the others, but leaves out
/// the last bytes of most.
fn send_short(crowd: &[TcpStream], request: &[u8], piece: usize, left_out: usize) {
    for start in (0..request.len()).step_by(piece) {
        for (number, stream) in crowd.iter().enumerate() {
            let ends = number % ENDING == 0;
            let end = if ends { request.len() } else { request.len() - left_out };
            if start < end {
                send(stream, &request[start..(start + piece).min(end)]);
            }
        }
    }
}

/// Returns a request without a key whose body has a length.
fn sized_request() -> Vec<u8> {
    let mut request = head(1, "", &format!("Content-Length: {BODY_BYTES}\r\n")).into_bytes();
    request.extend_from_slice(&large_job(BODY_BYTES));
    request
}

/// Returns a request without a key whose body comes in chunks of the given size.
fn chunked_request(size: usize) -> Vec<u8> {
    let mut request = head(1, "", "Transfer-Encoding: chunked\r\n").into_bytes();
    request.extend_from_slice(&chunks(&large_job(BODY_BYTES), size));
    request.extend_from_slice(b"0\r\n\r\n");
    request
}

/// Guards against memory in proportion to the bodies under way: each was kept until it was complete, in a
/// buffer of twice its size, without a bound on all of them.
#[test]
fn bodies_that_stop_short_of_their_end_stay_within_memory() {
    let mut host = Host::spawn(LIMITS);
    let crowd = host.open_crowd(CROWD);
    let request = sized_request();
    send_short(&crowd, &request, request.len(), 1);
    host.check(&crowd);
}

/// Guards against the same as the test before when the bodies arrive in pieces, all at the same time.
#[test]
fn bodies_sent_piece_by_piece_stay_within_memory() {
    let mut host = Host::spawn(LIMITS);
    let crowd = host.open_crowd(CROWD);
    send_short(&crowd, &sized_request(), PIECE_BYTES, 1);
    host.check(&crowd);
}

/// Guards against memory in proportion to the complete bodies that arrive at once: they were decoded before
/// the first was answered, and their buffers were kept while the connections were idle.
#[test]
fn whole_bodies_at_once_stay_within_memory() {
    let mut host = Host::spawn(LIMITS);
    let crowd = host.open_crowd(CROWD);
    let request = sized_request();
    crowd.iter().for_each(|stream| send(stream, &request));
    host.check(&crowd);
}

/// Guards against memory in proportion to chunked bodies in one large chunk each.
#[test]
fn bodies_in_large_chunks_stay_within_memory() {
    let mut host = Host::spawn(LIMITS);
    let crowd = host.open_crowd(CROWD);
    let request = chunked_request(BODY_BYTES);
    // Without the last byte of the chunk and what follows it.
    send_short(&crowd, &request, request.len(), 8);
    host.check(&crowd);
}

/// Guards against memory in proportion to chunked bodies with their framing: that of small chunks is larger
/// than the body, and was kept with it and decoded into a second copy at each read.
#[test]
fn bodies_in_small_chunks_stay_within_memory() {
    let mut host = Host::spawn(LIMITS);
    let crowd = host.open_crowd(CROWD);
    let request = chunked_request(4);
    send_short(&crowd, &request, request.len().div_ceil(8), 5);
    host.check(&crowd);
}

/// Guards against memory in proportion to the heads under way, here as large as the bodies elsewhere.
#[test]
fn heads_that_stop_short_of_their_end_stay_within_memory() {
    let mut host = Host::spawn(RequestLimits { head: BODY_BYTES, ..LIMITS });
    let crowd = host.open_crowd(CROWD);
    let mut request = format!("{}X: ", head(1, "", "").trim_end()).into_bytes();
    request.resize(BODY_BYTES - 4, b'x');
    request.extend_from_slice(b"\r\n\r\n");
    send_short(&crowd, &request, PIECE_BYTES, 1);
    host.check(&crowd);
}

/// Guards against memory in proportion to the requests that wait for the store, with their decoded jobs,
/// their encoded records and the calls that hold them.
#[test]
fn requests_that_wait_for_the_store_stay_within_memory() {
    let mut host = Host::spawn(LIMITS);
    let crowd = host.open_crowd(CROWD);
    host.store.set(LinkState::BlockedToServer);
    let body = large_job(BODY_BYTES);
    for (number, stream) in crowd.iter().enumerate() {
        let length = format!("Content-Length: {BODY_BYTES}\r\n");
        send(stream, head(number as u64, KEY, &length).as_bytes());
        send(stream, &body);
    }
    host.check_usage();
    host.store.set(LinkState::Open);
    host.check(&crowd);
}

/// Guards against a connection to the store for each caller: together they took more descriptors than the
/// process has, and no further caller was accepted.
#[test]
fn callers_that_wait_for_the_store_stay_within_descriptors() {
    const DESCRIPTORS: u64 = 256;
    let mut host = Host::spawn_with(LIMITS, DESCRIPTORS);
    host.store.set(LinkState::BlockedToServer);
    let crowd = host.open_crowd(DESCRIPTORS as usize * 3 / 4);
    let request = format!(
        "GET /replay/{:016x} HTTP/1.1\r\nHost: jobs.example\r\nDeadline-Ms: 30000\r\nAuthorization: Token \
         {KEY}\r\n\r\n",
        1
    );
    crowd.iter().for_each(|stream| send(stream, request.as_bytes()));
    // The answer to the readiness check comes after the requests have been read.
    let ready = open(&host.daemon.ready).expect("the load balancer gets a connection");
    send(&ready, b"GET /api/ready HTTP/1.1\r\nHost: h\r\n\r\n");
    assert!(read_status(&ready).is_some(), "the readiness check is answered");
    host.check_usage();
    // Some are left for the files of the process, for its workers and for its peers.
    let open = host.descriptors();
    assert!(open <= DESCRIPTORS * 3 / 4, "{open} of {DESCRIPTORS} descriptors are open");
    host.store.set(LinkState::Open);
    host.check(&crowd);
}

/// Guards against callers that keep all connections without a request: ordinary ones were refused until the
/// idle timeout.
#[test]
fn idle_connections_leave_room_for_ordinary_callers() {
    const DESCRIPTORS: u64 = 256;
    let mut host = Host::spawn_with(LIMITS, DESCRIPTORS);
    let crowd = host.open_crowd(DESCRIPTORS as usize * 2);
    host.check(&crowd);
}

/// Guards against callers that keep all connections with the first bytes of a request.
#[test]
fn begun_requests_leave_room_for_ordinary_callers() {
    const DESCRIPTORS: u64 = 256;
    let mut host = Host::spawn_with(LIMITS, DESCRIPTORS);
    let crowd = host.open_crowd(DESCRIPTORS as usize * 2);
    crowd.iter().for_each(|stream| send(stream, b"POST /replay/"));
    host.check(&crowd);
}

/// Guards against memory in proportion to the jobs of the largest size that are accepted one after the other and
/// aren't due for decades: the placer keeps them.
#[test]
fn accepted_jobs_of_the_largest_size_stay_within_memory() {
    const JOBS: u64 = 800;
    let mut host = Host::spawn(LIMITS);
    let body = large_job(BODY_BYTES);
    let mut crowd = Vec::new();
    for job in 0..JOBS {
        let stream = open(&host.daemon.callers).expect("a connection");
        let length = format!("Content-Length: {BODY_BYTES}\r\n");
        send(&stream, head(job, KEY, &length).as_bytes());
        send(&stream, &body);
        read_status(&stream);
        crowd.push(stream);
    }
    host.check(&crowd);
}

/// Guards against memory in proportion to the heads of requests whose bodies have begun: the decoded heads weren't
/// part of the account.
#[test]
fn heads_of_begun_bodies_stay_within_memory() {
    let mut host = Host::spawn(RequestLimits { head: BODY_BYTES, ..LIMITS });
    let crowd = host.open_crowd(CROWD);
    let head = head(1, "", "Content-Length: 9\r\n");
    let mut request = format!("{}\r\nX: ", head.trim_end()).into_bytes();
    request.resize(BODY_BYTES - 4, b'x');
    request.extend_from_slice(b"\r\n\r\n12345678");
    for stream in &crowd {
        send(stream, &request);
        // One at a time, so that no head is refused for those that arrive with it.
        let ready = open(&host.daemon.ready).expect("the load balancer gets a connection");
        for _ in 0..4 {
            send(&ready, b"GET /api/ready HTTP/1.1\r\nHost: h\r\n\r\n");
            assert!(read_status(&ready).is_some(), "the readiness check is answered");
        }
    }
    host.check(&crowd);
}
