//! A graceful stop over real sockets: waiting requests are answered, and the work continues on
//! another daemon.

use bulrushlink_api::{Client, JobAnswer, JobState};
use bulrushlink_core::{Code, Span};
use bulrushlink_daemon::{Daemon, Member, Settings};
use bulrushlink_standin::{Deployment, Platform, PlatformOptions, Workers};
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

/// Time after which a test that waits for a condition fails.
const WAIT_MAX: Duration = Duration::from_secs(30);
const TOKEN: &str = "token";
const NOTE: &str = r#"{
    "base": 0, "id": "first",
    "added": {
        "domains": [{ "id": "cuenca", "region": "ec-sierra" }],
        "workspaces": [{ "id": "rosters" }]
    }
}"#;

fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

fn members() -> Vec<Member> {
    let sockets: Vec<_> = (0..2).map(|_| TcpListener::bind(any_port()).unwrap()).collect();
    let member = |(i, socket): (usize, &TcpListener)| Member {
        id: format!("cu-{i}").parse().unwrap(),
        domain: "cuenca".parse().unwrap(),
        addr: socket.local_addr().unwrap(),
    };
    sockets.iter().enumerate().map(member).collect()
}

fn settings(members: &[Member], own: usize, platform: &str) -> Settings {
    let text = serde_json::json!({
        "daemon": members[own].id, "members": members,
        "callers": any_port(), "operators": any_port(),
        "store": platform, "hosts": platform,
        "operator_token": TOKEN, "peer_key": "0123456789abcdef"
    });
    Settings::parse(&text.to_string()).unwrap()
}

fn client(token: Option<&str>) -> Client {
    Client::open(Span::from_secs(60), token.map(str::to_string))
}

fn wait_until(failure: &str, condition: impl Fn() -> bool) {
    let end = Instant::now() + WAIT_MAX;
    while !condition() {
        assert!(Instant::now() < end, "{failure}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Repeats a submission that is refused and not run, as callers do: a placer that has just become
/// active isn't known to all daemons yet.
fn submit_until_accepted(url: &str, job: &serde_json::Value) -> JobAnswer {
    let end = Instant::now() + WAIT_MAX;
    loop {
        let answer: JobAnswer = client(None).post(url, job).unwrap().json().unwrap();
        if answer.state != JobState::Refused {
            return answer;
        }
        assert!(answer.not_run && Instant::now() < end, "{answer:?}");
        std::thread::sleep(Duration::from_millis(100));
    }
}

/// Guards against a graceful stop that drops the connection of a waiting caller, or after which the
/// handed-over job never ends or runs twice.
#[test]
fn graceful_stop_answers_the_waiting_caller_and_the_job_runs_once() {
    let options = PlatformOptions { hosts_lag: Span::ZERO, ..PlatformOptions::default() };
    let platform = Platform::with_options(any_port(), options).unwrap();
    let deployment = Deployment::read("guardavia").unwrap();
    let workers = Workers::bind(any_port(), &deployment, Some(&platform.url())).unwrap();
    let members = members();
    let spawn = |own| Daemon::spawn(settings(&members, own, &platform.url())).unwrap();
    let (first, second) = (spawn(0), spawn(1));
    let note: serde_json::Value = serde_json::from_str(NOTE).unwrap();
    let apply = format!("http://{}/v1/note", first.operators());
    assert!(client(Some(TOKEN)).post(&apply, &note).unwrap().status < 300);
    for daemon in [&first, &second] {
        let ready = format!("http://{}/ready", daemon.callers());
        wait_until("daemon did not become ready", || {
            client(None).get(&ready).unwrap().status == 200
        });
    }
    let job = serde_json::json!({
        "workspace": "rosters", "request": "r-1", "kind": "roster", "declared": 3000,
        "shape": { "tasks": 2, "accelerators": 4 }, "input": "sleep 3000", "wait": 30000
    });
    let submit = format!("http://{}/v1/jobs", first.callers());
    let waiting = std::thread::spawn(move || submit_until_accepted(&submit, &job));
    let running = || workers.record().runs().len() == 2;
    wait_until("the gang did not start", running);
    first.stop().unwrap();
    let answer = waiting.join().unwrap();
    assert!(matches!(answer.state, JobState::Running | JobState::Completed), "{answer:?}");
    let status = format!("http://{}/v1/jobs/rosters/r-1?wait=30s", second.callers());
    let completed = || {
        let answer: JobAnswer = client(None).get(&status).unwrap().json().unwrap();
        answer.code == Code::Completed
    };
    wait_until("the job did not complete", completed);
    assert_eq!(workers.record().runs().len(), 2, "each task must run exactly once");
    second.stop().unwrap();
    workers.stop();
    platform.stop();
}
