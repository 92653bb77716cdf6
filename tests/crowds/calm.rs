//! A single request within the limits, however its body is split.

use crate::host::{Host, KEY, RequestLimits, chunks, head, large_job, open, read_status, send};

/// Size of the body, the largest that the configuration allows.
const BODY_BYTES: usize = 262_144;
/// Limits of the configuration.
const LIMITS: RequestLimits = RequestLimits { head: 16_384, body: BODY_BYTES, time: 3_000 };

/// Sends a chunked submission in pieces of the given size; returns the status of the answer.
fn submit_chunked(host: &Host, job: u64, body: &[u8], piece: usize) -> Option<u16> {
    let mut request = head(job, KEY, "Transfer-Encoding: chunked\r\n").into_bytes();
    request.extend_from_slice(body);
    submit(host, &request, piece)
}

fn submit(host: &Host, request: &[u8], piece: usize) -> Option<u16> {
    let stream = open(&host.daemon.callers)?;
    request.chunks(piece).for_each(|bytes| send(&stream, bytes));
    read_status(&stream)
}

/// Guards against a limit on the framing of a body that a request within the limits meets: one in small chunks
/// was never complete, as its framing counted as body.
#[test]
fn body_of_the_largest_size_is_served_in_chunks_of_any_size() {
    let host = Host::spawn(LIMITS);
    let body = large_job(BODY_BYTES);
    for (job, size) in [1, 2, 7, 1_000, 65_536, BODY_BYTES].into_iter().enumerate() {
        let mut chunked = chunks(&body, size);
        chunked.extend_from_slice(b"0\r\n\r\n");
        let status = submit_chunked(&host, job as u64, &chunked, chunked.len());
        assert_eq!(status, Some(200), "chunks of {size} bytes");
    }
}

/// Guards against a body that is only served if it arrives in large pieces.
#[test]
fn body_of_the_largest_size_is_served_in_pieces_of_any_size() {
    let host = Host::spawn(LIMITS);
    let body = large_job(BODY_BYTES);
    for (job, piece) in [64, 1_460, 65_537, 2 * BODY_BYTES].into_iter().enumerate() {
        let length = format!("Content-Length: {BODY_BYTES}\r\n");
        let mut request = head(job as u64, KEY, &length).into_bytes();
        request.extend_from_slice(&body);
        assert_eq!(submit(&host, &request, piece), Some(200), "pieces of {piece} bytes");
        let mut chunked = chunks(&body, 100);
        chunked.extend_from_slice(b"0\r\n\r\n");
        let status = submit_chunked(&host, 100 + job as u64, &chunked, piece);
        assert_eq!(status, Some(200), "chunks in pieces of {piece} bytes");
    }
}

/// Guards against a request that is refused for what HTTP allows in the framing of a body: extensions of
/// chunks, leading zeros and trailers.
#[test]
fn extensions_and_trailers_of_a_body_are_skipped() {
    let host = Host::spawn(LIMITS);
    let body = br#"{"spec":"ms=50","steps":[{"count":1,"cpu":1,"gpu":1}]}"#;
    let mut chunked = Vec::new();
    for byte in body {
        chunked.extend_from_slice(b"0001;name=\"value\"\r\n");
        chunked.extend_from_slice(&[*byte, b'\r', b'\n']);
    }
    chunked.extend_from_slice(b"0\r\nChecksum: 12\r\nOther: value\r\n\r\n");
    assert_eq!(submit_chunked(&host, 1, &chunked, chunked.len()), Some(200));
    assert_eq!(submit_chunked(&host, 2, &chunked, 1), Some(200));
}
