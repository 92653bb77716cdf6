use super::*;
use crate::calls::tests::{Collector, settings};
use crate::edge::Component;
use std::io::ErrorKind;
use std::net::TcpListener;
use std::time::Duration;

fn call(seq: u64, worker: &str, addr: SocketAddr, deadline: Instant) -> WorkerCall {
    let batch = WorkerBatch { from: "qn-1".parse().unwrap(), ops: vec![], all: false };
    let call = CallId { component: Component::Placer, seq };
    WorkerCall { call, worker: worker.parse().unwrap(), addr, batch, deadline }
}

fn far_deadline() -> Instant {
    Instant::now() + Duration::from_secs(60)
}

fn failed_call(seq: u64, fault: EdgeFault) -> Input {
    Input::Worker(CallId { component: Component::Placer, seq }, Err(fault))
}

/// Guards against sending a call that has waited too long for its thread.
#[test]
fn call_past_its_deadline_is_not_sent() {
    let worker = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = worker.local_addr().unwrap();
    let mut collector = Collector::open();
    let settings = settings("http://127.0.0.1:9");
    let edge = WorkerEdge::spawn(&settings, collector.results.clone());
    let past = Instant::now();
    edge.call(call(1, "w1", addr, past));
    assert_eq!(collector.next(), failed_call(1, EdgeFault::Unreachable));
    worker.set_nonblocking(true).unwrap();
    assert_eq!(worker.accept().unwrap_err().kind(), ErrorKind::WouldBlock);
}

/// Guards against a call reported as not sent although the worker may have received it.
#[test]
fn worker_without_answer_is_reported_silent_and_marked_slow() {
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = silent.local_addr().unwrap();
    let mut collector = Collector::open();
    let edge = WorkerEdge::spawn(&settings("http://127.0.0.1:9"), collector.results.clone());
    edge.call(call(1, "w1", addr, far_deadline()));
    assert_eq!(collector.next(), failed_call(1, EdgeFault::Silent));
    assert!(edge.slow.contains(&"w1".parse().unwrap()));
}

/// Guards against a dead rack that delays the calls to healthy workers.
#[test]
fn slow_workers_do_not_delay_others() {
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut collector = Collector::open();
    let mut settings = settings("http://127.0.0.1:9");
    settings.timing.worker = Span::from_secs(3);
    let edge = WorkerEdge::spawn(&settings, collector.results.clone());
    edge.slow.set(&"w1".parse().unwrap(), true);
    edge.call(call(1, "w1", silent.local_addr().unwrap(), far_deadline()));
    let closed = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    edge.call(call(2, "w2", closed, far_deadline()));
    assert_eq!(collector.next(), failed_call(2, EdgeFault::Unreachable));
    assert_eq!(collector.next(), failed_call(1, EdgeFault::Silent));
}
