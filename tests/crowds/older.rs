//! A crowd at the daemon with an interface of its own, `bulrushlinkd` without `platform`.

use serde_json::json;
use std::io::{BufRead, BufReader};
use std::net::TcpListener;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use crate::fleet::eventually;
use crate::host::{TURN, open, resident_bytes_max, send};

/// Callers of the crowd.
const CROWD: usize = 300;
/// Size of their heads, which never end.
const HEAD_BYTES: usize = 1_000_000;
/// Memory of a daemon by the design target, in bytes.
const MEMORY_BYTES: u64 = 256_000_000;

/// Time within which the memory of a daemon that still reads grows.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// A process that is killed on drop.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have exited already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Returns a loopback address that is free.
fn free_addr() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address").to_string()
}

/// Guards against memory in proportion to heads that never end: the library that listens reads a head without a limit,
/// in a thread for each connection.
#[test]
fn endless_heads_at_the_older_daemon_stay_within_memory() {
    let _turn = TURN.lock().unwrap_or_else(|e| e.into_inner());
    let (callers, peer) = (free_addr(), free_addr());
    let settings = json!({
        "daemon": "qn-1", "callers": callers, "operators": free_addr(),
        "store": format!("http://{}", free_addr()), "hosts": format!("http://{}", free_addr()),
        "operator_token": "token", "peer_key": "0123456789abcdef",
        "members": [{ "id": "qn-1", "domain": "quito-norte", "addr": peer }],
    });
    let path = std::env::temp_dir().join(format!("bulrushlink-older-{}.json", std::process::id()));
    std::fs::write(&path, settings.to_string()).expect("the temporary directory is writable");
    let child = Command::new(env!("CARGO_BIN_EXE_bulrushlinkd"))
        .arg("--settings")
        .arg(&path)
        .stderr(Stdio::piped())
        .spawn()
        .expect("the daemon starts");
    let mut process = Process(child);
    let stderr = process.0.stderr.take().expect("stderr is piped");
    std::thread::spawn(move || BufReader::new(stderr).lines().map_while(Result::ok).for_each(drop));
    eventually("the daemon listens", || open(&callers));
    let crowd: Vec<_> = (0..CROWD).filter_map(|_| open(&callers)).collect();
    let head = format!("POST /v1/jobs HTTP/1.1\r\nX: {}", "x".repeat(HEAD_BYTES));
    crowd.iter().for_each(|stream| send(stream, head.as_bytes()));
    // A new connection is accepted after those of the crowd, whose bytes have been read by now or are refused.
    eventually("the daemon accepts another connection", || open(&callers));
    assert!(process.0.try_wait().expect("the process can be awaited").is_none(), "it has ended");
    let pid = process.0.id();
    let resident = eventually("the memory no longer grows", || {
        let before = resident_bytes_max(pid);
        std::thread::sleep(SETTLE_TIME);
        (resident_bytes_max(pid) == before).then_some(before)
    });
    std::fs::remove_file(&path).expect("the settings file can be removed");
    assert!(resident <= MEMORY_BYTES, "{resident} bytes resident of {MEMORY_BYTES}");
}
