use super::bind::bind_with;
use super::*;
use crate::caller_http::CallerApi;
use crate::calls::tests::Collector;
use crate::edge::Input;
use bulrushlink_api::{HttpReply, JobAnswer, JobState};
use std::io::{Read, Write};
use std::net::TcpStream;

/// Connections opened in one burst.
const CONNECTIONS_PER_BURST: usize = 8;
/// Number of bursts.
const BURSTS: usize = 50;
/// Write timeout of the listeners.
const WRITE_TIMEOUT: Duration = Duration::from_millis(300);
/// Size of an answer that exceeds all buffers of a connection.
const LARGE_BYTES: usize = 64 * 1024 * 1024;
/// Time within which an answer has to arrive, else the test fails.
const TIMEOUT: Duration = Duration::from_secs(10);

struct TestListener {
    collector: Collector,
    listener: Listener,
    url: String,
}

impl TestListener {
    fn open(waiting: usize) -> Self {
        let collector = Collector::open();
        let socket = bind_with("127.0.0.1:0".parse().unwrap(), WRITE_TIMEOUT).unwrap();
        let url = format!("http://{}/v1/jobs/rosters/r-1", bound_addr(&socket).unwrap());
        let api = Box::new(CallerApi::new(Arc::new(AtomicBool::new(true))));
        let bounds = Bounds { body: 1_000, waiting, readers: 2 };
        let (last_token, results) = (Arc::new(AtomicU64::new(0)), collector.results.clone());
        let listener = Listener::spawn("test", socket, api, bounds, last_token, results).unwrap();
        Self { collector, listener, url }
    }

    fn send_request(&self) -> std::thread::JoinHandle<HttpReply> {
        let url = self.url.clone();
        std::thread::spawn(move || Client::open(Span::from_secs(20), None).get(&url).unwrap())
    }

    fn token(&mut self) -> Token {
        match self.collector.next() {
            Input::Caller(token, _) => token,
            other => panic!("expected a caller's request, got {other:?}"),
        }
    }

    fn refusal(&self) -> (u16, Code, JobState) {
        let reply = self.send_request().join().unwrap();
        let answer: JobAnswer = reply.json().unwrap();
        assert!(answer.not_run && answer.retry.is_some());
        (reply.status, answer.code, answer.state)
    }
}

fn done(text: &str) -> Answer {
    Answer::json(Code::Done, &text, None)
}

/// Guards against an answer that goes to the wrong connection.
#[test]
fn requests_get_their_own_answers_in_any_order() {
    let mut test = TestListener::open(8);
    let first = test.send_request();
    let first_token = test.token();
    let second = test.send_request();
    let second_token = test.token();
    test.listener.answer(second_token, done("second"));
    assert_eq!(second.join().unwrap().body, "\"second\"");
    test.listener.answer(first_token, done("first"));
    assert_eq!(first.join().unwrap().body, "\"first\"");
    test.listener.stop();
}

/// Guards against unbounded pending requests, and against a stop that drops the pending ones.
#[test]
fn requests_over_the_limit_or_while_closing_are_refused_at_once() {
    let mut test = TestListener::open(1);
    let held = test.send_request();
    let token = test.token();
    assert_eq!(test.refusal(), (503, Code::Overloaded, JobState::Refused));
    test.listener.close();
    assert_eq!(test.refusal(), (503, Code::Stopping, JobState::Refused));
    assert!(!test.listener.is_flushed());
    test.listener.answer(token, done("held"));
    assert_eq!(held.join().unwrap().body, "\"held\"");
    test.listener.stop();
}

/// The library may leave a connection in its queue for good while all its threads serve other
/// connections that stay open. `poke` prevents that; see its documentation.
#[test]
fn burst_of_connections_that_stay_open_is_answered() {
    for _ in 0..BURSTS {
        let test = TestListener::open(8);
        let addr = test.url.split('/').nth(2).unwrap();
        let connect = |_| TcpStream::connect(addr).unwrap();
        let mut streams: Vec<TcpStream> = (0..CONNECTIONS_PER_BURST).map(connect).collect();
        for stream in &mut streams {
            stream.set_read_timeout(Some(TIMEOUT)).unwrap();
            stream.write_all(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
        }
        let answered = streams.iter_mut().all(|stream| stream.read(&mut [0; 64]).is_ok());
        assert!(answered, "a connection got no answer within {TIMEOUT:?}");
        test.listener.stop();
    }
}

/// A client that never reads its answer must not block a writer thread forever.
#[test]
fn client_that_reads_nothing_is_disconnected() {
    let mut test = TestListener::open(8);
    let addr = test.url.split('/').nth(2).unwrap();
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.write_all(b"GET /v1/jobs/rosters/r-1 HTTP/1.1\r\nHost: x\r\n\r\n").unwrap();
    let token = test.token();
    test.listener.answer(token, done(&"x".repeat(LARGE_BYTES)));
    let deadline = std::time::Instant::now() + TIMEOUT;
    while !test.listener.is_flushed() {
        assert!(std::time::Instant::now() < deadline, "answer still unwritten after {TIMEOUT:?}");
        std::thread::sleep(Duration::from_millis(10));
    }
    test.listener.stop();
}
