//! Entries that other writers leave among those of the workers and the operators.

use bulrushlink_fleet::Resources;
use bulrushlink_standin::JobText;
use serde_json::{Value, json};
use std::time::Duration;

use crate::fleet::Fleet;

/// Levels of a deeply nested value, far beyond what a parser that recurses without a limit survives.
const NESTING: usize = 100_000;
/// Size of a value that fills a page of the store by itself.
const PAGE_BYTES: usize = 1_000_000;
/// Time after which an evacuation has to be obeyed, with a margin.
const EVACUATION_TIME: Duration = Duration::from_secs(3);
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
