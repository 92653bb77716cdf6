//! Tests of the stand-ins over HTTP.

use bulrushlink_api::{
    Client, Expect, HostList, Revision, StoreReply, StoreRequest, WorkerBatch, WorkerReply,
};
use bulrushlink_core::{Code, Span};
use bulrushlink_standin::{Deployment, Faults, Platform, PlatformOptions, Workers};
use serde::Serialize;

fn any() -> std::net::SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

fn client() -> Client {
    Client::open(Span::from_secs(20), None)
}

fn kv(url: &str, request: &StoreRequest) -> StoreReply {
    client().post(&format!("{url}/kv"), request).unwrap().json().unwrap()
}

fn put(key: &str, value: &str) -> StoreRequest {
    let (key, value) = (key.to_string(), value.to_string());
    StoreRequest::Put { key, value, expect: Expect::Absent, lease: None }
}

/// A waiting watch is retried on each tick, and these retries must not count as calls.
#[test]
fn watch_waits_for_a_write_and_counts_as_one_call() {
    let platform = Platform::bind(any()).unwrap();
    let url = platform.url();
    let watching = url.clone();
    let watch = std::thread::spawn(move || {
        let (key, after) = ("head".to_string(), Revision(0));
        kv(&watching, &StoreRequest::Watch { key, after, wait: Span::from_secs(15) })
    });
    while platform.counts().watch == 0 {
        std::thread::yield_now();
    }
    assert!(matches!(kv(&url, &put("head", "1")), StoreReply::Done { .. }));
    let StoreReply::Found { record: Some(record) } = watch.join().unwrap() else {
        panic!("the watch must be answered with the written record");
    };
    assert_eq!(record.value, "1");
    assert_eq!(platform.counts().watch, 1);
}

#[test]
fn faults_suppress_the_effect_or_the_answer() {
    let platform = Platform::bind(any()).unwrap();
    let (url, admin) = (platform.url(), format!("{}/admin/fault", platform.url()));
    let quick = Client::open(Span(300), None);
    let set = |faults: Faults| client().post(&admin, &faults).unwrap();
    assert_eq!(set(Faults { down: true, ..Faults::default() }).status, 200);
    assert_eq!(quick.post(&format!("{url}/kv"), &put("a", "1")).unwrap().status, 503);
    set(Faults { lose_replies: 100, ..Faults::default() });
    let lost = quick.post(&format!("{url}/kv"), &put("b", "1")).unwrap_err();
    assert_eq!(lost.code(), Code::TimedOut);
    set(Faults::default());
    let conflict = kv(&url, &put("b", "2"));
    assert!(matches!(conflict, StoreReply::Conflict { record: Some(r) } if r.value == "1"));
    assert!(matches!(kv(&url, &put("a", "2")), StoreReply::Done { .. }));
    let large = client().post(&format!("{url}/kv"), &put("c", &"x".repeat(1024 * 1024 + 1)));
    assert_eq!(large.unwrap().status, 413);
}

#[test]
fn workers_register_answer_batches_and_leave() {
    let options = PlatformOptions { hosts_lag: Span::ZERO, ..PlatformOptions::default() };
    let platform = Platform::with_options(any(), options).unwrap();
    let deployment = Deployment::read("guardavia").unwrap();
    let workers = Workers::bind(any(), &deployment, Some(&platform.url())).unwrap();
    let list = || -> HostList {
        client().get(&format!("{}/hosts", platform.url())).unwrap().json().unwrap()
    };
    let hosts = list().hosts;
    assert_eq!(hosts.len(), 50);
    let host = &hosts[0];
    assert_eq!(host.addr, workers.addr());
    #[derive(Serialize)]
    struct Leave {
        worker: String,
    }
    let leave = Leave { worker: host.id.to_string() };
    let left = client().post(&format!("http://{}/admin/leave", host.addr), &leave).unwrap();
    assert_eq!(left.status, 200);
    let batch = WorkerBatch { from: "d1".parse().unwrap(), ops: vec![], all: true };
    let url = format!("http://{}/workers/{}/batch", host.addr, host.id);
    let reply: WorkerReply = client().post(&url, &batch).unwrap().json().unwrap();
    assert!(reply.leaving);
    assert!(list().hosts[0].leaving);
    workers.stop();
    platform.stop();
}
