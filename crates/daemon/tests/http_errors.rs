//! Compares the answers to every kind of bad input with a snapshot.

use bulrushlink_daemon::{Daemon, Settings};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};

fn settings() -> Settings {
    let peers = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let closed = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    let text = serde_json::json!({
        "daemon": "qn-1",
        "callers": "127.0.0.1:0", "operators": "127.0.0.1:0",
        "store": format!("http://{closed}"), "hosts": format!("http://{closed}"),
        "operator_token": "token", "peer_key": "0123456789abcdef",
        "members": [{ "id": "qn-1", "domain": "quito-norte", "addr": peers }],
        "limits": { "body": 2000 }
    });
    Settings::parse(&text.to_string()).unwrap()
}

/// Sends raw bytes and returns the answer without the headers that change between runs.
fn exchange(addr: SocketAddr, request: &[u8]) -> String {
    let mut stream = TcpStream::connect(addr).unwrap();
    stream.write_all(request).unwrap();
    let mut answer = Vec::new();
    while !is_complete(&answer) {
        let mut chunk = [0; 4_096];
        let len = stream.read(&mut chunk).unwrap();
        assert!(
            len > 0,
            "connection closed before the end of the answer: {}",
            String::from_utf8_lossy(&answer)
        );
        answer.extend_from_slice(&chunk[..len]);
    }
    let text = String::from_utf8(answer).unwrap().replace("\r\n", "\n");
    let is_stable = |line: &&str| !line.starts_with("Date:") && !line.starts_with("Server:");
    text.lines().filter(is_stable).collect::<Vec<_>>().join("\n")
}

/// Returns true if `answer` contains the headers and as many bytes of body as they announce.
fn is_complete(answer: &[u8]) -> bool {
    let text = String::from_utf8_lossy(answer);
    let Some(at) = text.find("Content-Length: ") else { return false };
    let length = text[at..].lines().next().unwrap().split(' ').nth(1).unwrap();
    let Ok(length) = length.parse::<usize>() else { return false };
    text[at..].split_once("\r\n\r\n").is_some_and(|(_, body)| body.len() >= length)
}

fn request(line: &str, headers: &str, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("{line} HTTP/1.1\r\nHost: x\r\nContent-Length: {length}\r\n{headers}\r\n{body}")
        .into_bytes()
}

/// Guards against a change of the status, headers, error number or text that callers and operators
/// get for bad input, and against input that is not rejected.
#[test]
fn bad_input_of_every_kind_gets_its_numbered_error() {
    let daemon = Daemon::spawn(settings()).unwrap();
    let token = "Authorization: Bearer token\r\n";
    let job = |from: &str, to: &str| {
        r#"{"workspace": "rosters", "request": "r-1", "kind": "roster", "declared": 60000,
            "shape": {"tasks": 1, "accelerators": 1}}"#
            .replace(from, to)
    };
    let callers = [
        ("not JSON", "POST /v1/jobs", "{\"workspace\"".to_string()),
        ("empty", "POST /v1/jobs", String::new()),
        ("wrong type", "POST /v1/jobs", job("\"r-1\"", "5")),
        ("bad identifier", "POST /v1/jobs", job("\"r-1\"", "\"r 1\"")),
        ("missing field", "POST /v1/jobs", job("\"kind\": \"roster\",", "")),
        ("unknown field", "POST /v1/jobs", job("\"tasks\": 1", "\"tasks\": 1, \"size\": 2")),
        ("out of range", "POST /v1/jobs", job("\"tasks\": 1", "\"tasks\": 65")),
        ("too large", "POST /v1/jobs", job("roster", &"x".repeat(3_000))),
        ("unknown path", "GET /v2/jobs", String::new()),
        ("unknown method", "PUT /v1/jobs", String::new()),
        ("bad wait", "GET /v1/jobs/rosters/r-1?wait=soon", String::new()),
        ("bad parameter", "GET /v1/jobs/rosters/r-1?until=now", String::new()),
        ("bad workspace", "GET /v1/jobs/-/r-1", String::new()),
        ("bad start", "GET /v1/jobs/rosters?after=-", String::new()),
    ];
    let operators = [
        ("no token", "GET /v1/domains", "", String::new()),
        ("wrong token", "GET /v1/domains", "Authorization: Bearer tokem\r\n", String::new()),
        ("unknown path", "GET /v1/jobs", token, String::new()),
        ("note not JSON", "POST /v1/note", token, "added".to_string()),
        (
            "note with a wrong field",
            "POST /v1/note/check",
            token,
            r#"{"base": 0, "id": "n1", "added": {"domains": [{"id": "cuenca", "regio": "x"}]}}"#
                .to_string(),
        ),
    ];
    let mut session = String::new();
    let mut record = |name: &str, line: &str, answer: String| {
        session.push_str(&format!("# {name}\n> {line}\n{answer}\n\n"));
    };
    for (name, line, body) in callers {
        record(name, line, exchange(daemon.callers(), &request(line, "", &body)));
    }
    let utf8 = b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n\xff\xff";
    record("not UTF-8", "POST /v1/jobs", exchange(daemon.callers(), utf8));
    let huge = b"POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999999\r\n\r\n";
    record("huge announced", "POST /v1/jobs", exchange(daemon.callers(), huge));
    let long = format!("GET /v1/jobs/{}", "x".repeat(3_000));
    record("long URL", "GET /v1/jobs/x…", exchange(daemon.callers(), &request(&long, "", "")));
    let many = (0..70).map(|i| format!("X-{i}: 1\r\n")).collect::<String>();
    let many = request("GET /v1/jobs/rosters", &many, "");
    record("many headers", "GET /v1/jobs/rosters", exchange(daemon.callers(), &many));
    for (name, line, headers, body) in operators {
        record(name, line, exchange(daemon.operators(), &request(line, headers, &body)));
    }
    insta::assert_snapshot!(session);
    daemon.stop().unwrap();
}
