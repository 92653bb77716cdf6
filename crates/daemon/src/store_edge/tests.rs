use super::*;
use crate::calls::tests::{Collector, settings};
use crate::edge::Component;
use bulrushlink_api::Revision;
use bulrushlink_standin::Platform;
use std::net::TcpListener;

/// Guards against a daemon that exceeds its rate, or that stays limited after the window.
#[test]
fn rate_limit_refuses_until_the_window_ends() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut rate = RateLimit { limit: 2, window_start: start, used: 0 };
    assert_eq!(rate.count_call(at(0)), None);
    assert_eq!(rate.count_call(at(300)), None);
    assert_eq!(rate.count_call(at(400)), Some(Span(600)));
    assert_eq!(rate.count_call(at(1_000)), None);
}

fn get(seq: u64) -> (CallId, StoreRequest) {
    (CallId { component: Component::Notes, seq }, StoreRequest::Get { key: "head".into() })
}

fn call(edge: &mut StoreEdge, seq: u64) {
    let (call, request) = get(seq);
    edge.call(call, request, Instant::now());
}

/// Guards against a call reported as not sent although the store may have received it.
#[test]
fn refused_connection_is_unreachable_and_missing_answer_is_silent() {
    let closed = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let cases =
        [(closed, EdgeFault::Unreachable), (silent.local_addr().unwrap(), EdgeFault::Silent)];
    for (addr, fault) in cases {
        let mut collector = Collector::open();
        let settings = settings(&format!("http://{addr}"));
        let mut edge = StoreEdge::spawn(&settings, collector.results.clone(), Instant::now());
        call(&mut edge, 1);
        assert_eq!(collector.next(), Input::Store(get(1).0, Err(fault)));
    }
}

/// Guards against a long-polling watch that occupies the only thread of the other calls.
#[test]
fn waiting_watch_does_not_delay_other_calls() {
    let platform = Platform::bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let mut collector = Collector::open();
    let settings = settings(&platform.url());
    let mut edge = StoreEdge::spawn(&settings, collector.results.clone(), Instant::now());
    let watch = CallId { component: Component::Notes, seq: 1 };
    let (key, after) = ("head".to_string(), Revision(0));
    let request = StoreRequest::Watch { key, after, wait: Span(300) };
    edge.call(watch, request, Instant::now());
    while platform.counts().watch == 0 {
        std::thread::yield_now();
    }
    call(&mut edge, 2);
    let empty = Ok(StoreReply::Found { record: None });
    assert_eq!(collector.next(), Input::Store(get(2).0, empty.clone()));
    assert_eq!(collector.next(), Input::Store(watch, empty));
}

/// Guards against sending a call that is reported as limited.
#[test]
fn calls_over_the_rate_limit_are_not_sent() {
    let platform = Platform::bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let mut collector = Collector::open();
    let mut settings = settings(&platform.url());
    settings.limits.store_rate = 1;
    let mut edge = StoreEdge::spawn(&settings, collector.results.clone(), Instant::now());
    let now = Instant::now();
    for seq in [1, 2] {
        let (call, request) = get(seq);
        edge.call(call, request, now);
    }
    let mut results = [collector.next(), collector.next()];
    results.sort_by_key(|input| matches!(input, Input::Store(call, _) if call.seq == 2));
    assert!(matches!(&results[0], Input::Store(_, Ok(StoreReply::Found { .. }))));
    assert!(matches!(&results[1], Input::Store(_, Ok(StoreReply::Limited { .. }))));
    assert_eq!(platform.counts().get, 1);
}
