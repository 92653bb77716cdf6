use super::bind::bind_with;
use super::*;
use crate::caller_http::CallerFront;
use crate::calls::tests::Collector;
use crate::edge::Input;
use bulrushlink_api::{HttpReply, JobAnswer, JobState};
use std::io::{Read, Write};
use std::net::TcpStream;

/// Connections of one burst.
const CONNECTIONS: usize = 8;
/// Bursts one after the other.
const BURSTS: usize = 50;
/// Write time-out of the listeners.
const WRITE_TIMEOUT: Duration = Duration::from_millis(300);
/// Larger than all buffers of a connection, in bytes.
const LARGE_BYTES: usize = 64 * 1024 * 1024;
/// The longest wait for an answer; a test that gets here has failed.
const WAIT_MAX: Duration = Duration::from_secs(10);

struct Bench {
    collector: Collector,
    listener: Listener,
    url: String,
}

impl Bench {
    fn open(waiting: usize) -> Self {
        let collector = Collector::open();
        let socket = bind_with("127.0.0.1:0".parse().unwrap(), WRITE_TIMEOUT).unwrap();
        let url = format!("http://{}/v1/jobs/rosters/r-1", bound_addr(&socket).unwrap());
        let front = Box::new(CallerFront::open(Arc::new(AtomicBool::new(true))));
        let bounds = Bounds { body: 1_000, waiting, readers: 2 };
        let (tokens, results) = (Arc::new(AtomicU64::new(0)), collector.results.clone());
        let listener = Listener::spawn("test", socket, front, bounds, tokens, results).unwrap();
        Self { collector, listener, url }
    }

    fn ask(&self) -> std::thread::JoinHandle<HttpReply> {
        let url = self.url.clone();
        std::thread::spawn(move || Client::open(Span::from_secs(20), None).get(&url).unwrap())
    }

    fn token(&mut self) -> Token {
        match self.collector.next() {
            Input::Caller(token, _) => token,
            other => panic!("expected a caller's request, got {other:?}"),
        }
    }

    fn refused(&self) -> (u16, Code, JobState) {
        let reply = self.ask().join().unwrap();
        let answer: JobAnswer = reply.json().unwrap();
        assert!(answer.not_run && answer.retry.is_some());
        (reply.status, answer.code, answer.state)
    }
}

fn done(text: &str) -> Answer {
    Answer::json(Code::Done, &text, None)
}

#[test]
fn each_request_gets_its_own_answer_whatever_their_order() {
    let mut bench = Bench::open(8);
    let first = bench.ask();
    let first_token = bench.token();
    let second = bench.ask();
    let second_token = bench.token();
    bench.listener.answer(second_token, done("second"));
    assert_eq!(second.join().unwrap().body, "\"second\"");
    bench.listener.answer(first_token, done("first"));
    assert_eq!(first.join().unwrap().body, "\"first\"");
    bench.listener.stop();
}

#[test]
fn over_the_bound_and_while_closing_requests_are_refused_at_once() {
    let mut bench = Bench::open(1);
    let held = bench.ask();
    let token = bench.token();
    assert_eq!(bench.refused(), (503, Code::Overloaded, JobState::Refused));
    bench.listener.close();
    assert_eq!(bench.refused(), (503, Code::Stopping, JobState::Refused));
    assert!(!bench.listener.is_flushed());
    bench.listener.answer(token, done("held"));
    assert_eq!(held.join().unwrap().body, "\"held\"");
    bench.listener.stop();
}

/// The library may forget a connection while all its threads hold others; see `poke`.
#[test]
fn a_burst_of_connections_is_answered_while_all_of_them_stay_open() {
    for _ in 0..BURSTS {
        let bench = Bench::open(8);
        let addr = bench.url.split('/').nth(2).unwrap();
        let connect = |_| TcpStream::connect(addr).unwrap();
        let mut streams: Vec<TcpStream> = (0..CONNECTIONS).map(connect).collect();
        for stream in &mut streams {
            stream.set_read_timeout(Some(WAIT_MAX)).unwrap();
            stream.write_all(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
        }
        let answered = streams.iter_mut().all(|stream| stream.read(&mut [0; 64]).is_ok());
        assert!(answered, "a connection was forgotten");
        bench.listener.stop();
    }
}

#[test]
fn a_client_that_reads_nothing_is_given_up() {
    let mut bench = Bench::open(8);
    let addr = bench.url.split('/').nth(2).unwrap();
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.write_all(b"GET /v1/jobs/rosters/r-1 HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
    let token = bench.token();
    bench.listener.answer(token, done(&"x".repeat(LARGE_BYTES)));
    let end = std::time::Instant::now() + WAIT_MAX;
    while !bench.listener.is_flushed() {
        assert!(std::time::Instant::now() < end, "the answer is still being written");
        std::thread::sleep(Duration::from_millis(10));
    }
    bench.listener.stop();
}
