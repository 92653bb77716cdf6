//! Entries that other writers leave among those of the workers and the operators.

use bulrushlink_fleet::Resources;
use bulrushlink_standin::JobText;
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use crate::fleet::Fleet;

/// Levels of a deeply nested value, far beyond what a parser that recurses without a limit survives.
const NESTING: usize = 100_000;
/// Size of a value that fills a page of the store by itself.
const PAGE_BYTES: usize = 1_000_000;
/// Time after which an evacuation has to be obeyed, with a margin.
const EVACUATION_TIME: Duration = Duration::from_secs(3);
/// Time for which a daemon is watched.
const WATCH_TIME: Duration = Duration::from_secs(3);
/// Most calls a second to an address that answers oddly: twice those of a retry each 250 ms.
const CALLS_PER_S: f64 = 8.0;
/// Most log lines a second of a daemon that has nothing to do.
const LINES_PER_S: f64 = 2.0;
/// Resources of the worker that registers last.
const CAPACITY: Resources = Resources { cpu: 8_000, memory: 65_536, accelerators: 8 };

fn id(n: u64) -> String {
    format!("{n:016x}")
}

/// Returns an entry of a worker with one field replaced by a JSON text.
fn entry_with(field: &str, value: &str) -> Vec<u8> {
    let entry = json!({
        "service": "dispatch", "address": "127.0.0.1:9", "zone": "east", "version": "v1",
        "slots": 8, "state": "ready", "coldRemainingMs": 0, "labels": ["a", "r1-0"], "born": 1,
        "seq": 1, "capacity": { "cpu": 8_000, "memMb": 65_536, "gpu": 8 },
    });
    let Value::Object(fields) = entry else { panic!("an entry is an object") };
    let others = fields.iter().filter(|(name, _)| *name != field);
    let others = others.map(|(name, value)| format!("{name:?}:{value},"));
    format!("{{{}{field:?}:{value}}}", others.collect::<String>()).into_bytes()
}

/// Returns an entry of each odd kind, with its key.
fn odd_entries() -> Vec<(String, Vec<u8>)> {
    let nested = format!("{}{}", "[".repeat(NESTING), "]".repeat(NESTING));
    let objects = format!("{}1{}", r#"{"a":"#.repeat(NESTING), "}".repeat(NESTING));
    let values = [
        ("nested-value", nested.clone().into_bytes()),
        ("nested-open", "[".repeat(NESTING).into_bytes()),
        ("nested-field", entry_with("labels", &nested)),
        ("nested-object", entry_with("capacity", &objects)),
        ("nested-unknown", entry_with("extra", &objects)),
        ("number-exponent", entry_with("born", "1e400")),
        ("number-digits", entry_with("born", &"9".repeat(400))),
        ("number-largest", entry_with("capacity", &largest_capacity())),
        ("number-negative", entry_with("coldRemainingMs", "-1")),
        ("number-fraction", entry_with("drainRemainingMs", "1.5")),
        ("port-out-of-range", entry_with("address", r#""127.0.0.1:70000""#)),
        ("port-zero", entry_with("address", r#""127.0.0.1:0""#)),
        ("address-empty", entry_with("address", r#""""#)),
        ("address-name", entry_with("address", r#""worker.example:80""#)),
        ("address-multicast", entry_with("address", r#""224.0.0.1:80""#)),
        ("address-broadcast", entry_with("address", r#""255.255.255.255:80""#)),
        ("address-ipv6", entry_with("address", r#""[::1]:9""#)),
        ("bytes", vec![0xff, 0x00, 0x7b]),
        ("empty", Vec::new()),
    ];
    let mut entries: Vec<(String, Vec<u8>)> =
        values.into_iter().map(|(name, value)| (format!("servers/{name}"), value)).collect();
    // Each fills a page by itself, before and after the keys of the workers.
    entries.push(("servers/a".to_string(), vec![b'x'; PAGE_BYTES]));
    entries.push(("servers/z".to_string(), vec![b'x'; PAGE_BYTES]));
    // Keys that are no identifiers.
    for key in ["servers/", "servers/a/b", "servers/i-0000 ", "servers/%00&after=\u{e9}\u{1f600}"] {
        entries.push((key.to_string(), vec![b'x'; PAGE_BYTES]));
    }
    let long = format!("servers/{}", "k".repeat(190));
    entries.push((long, entry_with("seq", "2")));
    entries
}

fn largest_capacity() -> String {
    json!({ "cpu": u64::MAX, "memMb": u64::MAX, "gpu": u64::MAX }).to_string()
}

/// One odd entry among those of the workers ended the machines that read the list again and again, or
/// stopped them from following it. Here a page of unreadable entries was read again and again: the
/// placer learned of no worker any more.
#[test]
fn daemons_follow_workers_past_odd_entries() {
    let mut fleet = Fleet::spawn(2, 1);
    for (key, value) in odd_entries() {
        fleet.emulator.write(&key, value);
    }
    // Both what a running placer reads and what a new one reads first.
    for round in 1..=2 {
        fleet.emulator.add_worker(CAPACITY).expect("a worker starts");
        let gang = JobText::new(300).step(8 * (round + 1), true).text();
        assert_eq!(fleet.submit(0, &id(round), &gang).status, 200);
        fleet.wait_state(1, &id(round), "completed");
        let placer = fleet.placer();
        assert!(fleet.daemons.iter_mut().all(|d| d.is_running()));
        fleet.daemons[placer].restart();
        fleet.wait_ready();
    }
    assert_eq!(fleet.emulator.violations(), Vec::<String>::new());
}

/// An evacuation was ignored if a large key of another writer came between it and the configuration: only
/// the first page of the operators' keys was read.
#[test]
fn evacuation_is_obeyed_behind_an_odd_key() {
    let fleet = Fleet::spawn(1, 1);
    fleet.emulator.write("op/d", vec![b'x'; PAGE_BYTES]);
    fleet.emulator.write("op/evacuate/east", b"{}".to_vec());
    std::thread::sleep(EVACUATION_TIME);
    let job = JobText::new(50).step(1, false).text();
    assert_eq!(fleet.submit(0, &id(1), &job).status, 200);
    std::thread::sleep(EVACUATION_TIME);
    assert_eq!(fleet.emulator.starts(), Vec::new());
    fleet.emulator.remove("op/evacuate/east");
    fleet.wait_state(0, &id(1), "completed");
}

/// A server that is no worker, gives each request the same answer, and counts the requests.
struct OddServer {
    addr: SocketAddr,
    requests: Arc<AtomicUsize>,
}

impl OddServer {
    fn open(status: u16, body: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        let addr = listener.local_addr().expect("a bound listener has an address");
        let requests = Arc::new(AtomicUsize::new(0));
        let counted = requests.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let counted = counted.clone();
                std::thread::spawn(move || serve(stream, status, body, &counted));
            }
        });
        Self { addr, requests }
    }
}

/// Answers the requests of a connection until the client closes it.
fn serve(stream: TcpStream, status: u16, body: &str, requests: &AtomicUsize) -> Option<()> {
    let mut writer = stream.try_clone().ok()?;
    let mut reader = BufReader::new(stream);
    loop {
        let mut length = 0;
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok().filter(|bytes| *bytes > 0)?;
            let line = line.trim().to_ascii_lowercase();
            if let Some(value) = line.strip_prefix("content-length:") {
                length = value.trim().parse().ok()?;
            }
            if line.is_empty() {
                break;
            }
        }
        reader.read_exact(&mut vec![0; length]).ok()?;
        requests.fetch_add(1, Ordering::SeqCst);
        let head = format!("HTTP/1.1 {status} Odd\r\nContent-Length: {}\r\n\r\n", body.len());
        writer.write_all(format!("{head}{body}").as_bytes()).ok()?;
    }
}

/// An entry with the address of something that is no worker, or no worker of that boot, was called with
/// each pass of the placer, hundreds of times a second, or gave a log line with each call.
#[test]
fn address_that_answers_oddly_is_called_and_logged_at_a_bounded_rate() {
    let fleet = Fleet::spawn(1, 1);
    let nested = Box::leak(format!(r#"{{"clockMs":1,"running":{}"#, "[".repeat(NESTING)).into());
    let servers: Vec<OddServer> = [
        (200, "{}"),
        (200, r#"{"clockMs":1,"born":0}"#),
        (200, r#"{"clockMs":1e400,"born":1}"#),
        (200, r#"{"clockMs":1,"running":[["odd",1,"",0]]}"#),
        (200, nested),
        (404, r#"{"error":"no such call"}"#),
        (421, "{}"),
        (503, ""),
    ]
    .map(|(status, body)| OddServer::open(status, body))
    .into();
    for (number, server) in servers.iter().enumerate() {
        let entry = entry_with("address", &format!("\"{}\"", server.addr));
        fleet.emulator.write(&format!("servers/odd-{number}"), entry);
    }
    std::thread::sleep(WATCH_TIME);
    let requests = || servers.iter().map(|s| s.requests.load(Ordering::SeqCst));
    let (before, lines) = (requests().collect::<Vec<_>>(), fleet.daemons[0].log_lines());
    std::thread::sleep(WATCH_TIME);
    let seconds = WATCH_TIME.as_secs_f64();
    let rates: Vec<f64> = requests().zip(&before).map(|(n, b)| (n - b) as f64 / seconds).collect();
    assert!(before.iter().all(|calls| *calls > 0), "not called: {before:?}");
    assert!(rates.iter().all(|rate| *rate <= CALLS_PER_S), "calls a second: {rates:?}");
    let line_rate = (fleet.daemons[0].log_lines() - lines) as f64 / seconds;
    assert!(line_rate <= LINES_PER_S, "{line_rate} log lines a second");
    let job = JobText::new(50).step(8, false).text();
    assert_eq!(fleet.submit(0, &id(1), &job).status, 200);
    fleet.wait_state(0, &id(1), "completed");
}

/// Odd keys of the operators and among the daemons' own gave an error with each read of them, as did tenants
/// that can't be used.
#[test]
fn odd_keys_are_logged_at_a_bounded_rate() {
    let fleet = Fleet::spawn(1, 1);
    let text = fleet.emulator.value("op/config").expect("a configuration");
    let mut config: Value = serde_json::from_str(&text).expect("the configuration is JSON");
    let tenants = config["tenants"].as_array_mut().expect("the tenants are a list");
    tenants.push(json!({ "name": "no name", "apiKeys": [] }));
    fleet.emulator.write("op/config", config.to_string().into_bytes());
    for key in ["op/evacuate/", "op/evacuate/no zone", "op/evacuate/\u{e9}", "op/wave/x", "op/odd"]
    {
        fleet.emulator.write(key, vec![0xff, 0x00, 0x7b]);
    }
    for key in ["pending/replay/odd", "in/job/odd", "in/cancel/odd", "in/odd", "state/odd"] {
        fleet.emulator.write(&format!("bulrushlink/{key}"), vec![0xff, 0x00, 0x7b]);
    }
    std::thread::sleep(WATCH_TIME);
    let lines = fleet.daemons[0].log_lines();
    std::thread::sleep(WATCH_TIME);
    let line_rate = (fleet.daemons[0].log_lines() - lines) as f64 / WATCH_TIME.as_secs_f64();
    assert!(line_rate <= LINES_PER_S, "{line_rate} log lines a second");
    let job = JobText::new(50).step(8, false).text();
    assert_eq!(fleet.submit(0, &id(1), &job).status, 200);
    fleet.wait_state(0, &id(1), "completed");
}
