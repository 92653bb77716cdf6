//! A daemon on a small host, its crowd, and what the crowd makes it hold.

use bulrushlink_fleet::Resources;
use bulrushlink_standin::{Emulator, EmulatorOptions, FleetWorkerBounds, JobText};
use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use crate::fleet::{DaemonProcess, HostLimits, call, eventually};
use crate::proxy::Proxy;

/// Key of the only workspace.
pub(crate) const KEY: &str = "key-north";
/// Memory of the host in bytes, the bound on all that the daemon holds.
const MEMORY_BYTES: u64 = 64_000_000;
/// Descriptors of the host, the bound on those that the daemon has open.
const DESCRIPTORS: u64 = 1_024;
/// Time after which a caller of a crowd stops waiting for the daemon to read or to answer.
const CALLER_TIMEOUT: Duration = Duration::from_millis(500);

/// Held by the test that runs: crowds share the processor and the memory of the machine.
pub(crate) static TURN: Mutex<()> = Mutex::new(());

/// Limits of the configuration on callers' requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestLimits {
    /// Largest head in bytes.
    pub(crate) head: usize,
    /// Largest body in bytes.
    pub(crate) body: usize,
    /// Time for a request to arrive, and of an idle connection, in milliseconds.
    pub(crate) time: u64,
}

/// A daemon with a worker and a store behind a proxy.
pub(crate) struct Host {
    pub(crate) store: Proxy,
    pub(crate) daemon: DaemonProcess,
    limits: HostLimits,
    _emulator: Emulator,
    _turn: MutexGuard<'static, ()>,
}

impl Host {
    /// Starts a daemon on a host with the usual memory and descriptors of these tests.
    pub(crate) fn spawn(requests: RequestLimits) -> Self {
        Self::spawn_with(requests, DESCRIPTORS)
    }

    /// Starts a daemon on a host with so many descriptors.
    pub(crate) fn spawn_with(requests: RequestLimits, descriptors: u64) -> Self {
        // A test that failed has ended its processes, and leaves nothing to the next one.
        let turn = TURN.lock().unwrap_or_else(|e| e.into_inner());
        let emulator = Emulator::spawn(EmulatorOptions {
            workers: 1,
            capacity: Resources { cpu: 8_000, memory: 65_536, accelerators: 8 },
            bounds: FleetWorkerBounds { lease_max: 6_000, stop: 50 },
        })
        .expect("the emulator starts");
        emulator.configure(7, &[KEY]);
        let text = emulator.value("op/config").expect("a configuration");
        let mut config: Value = serde_json::from_str(&text).expect("the configuration is JSON");
        config["version"] = json!(8);
        config["limits"] = json!({
            "maxHeaderBytes": requests.head, "maxBodyBytes": requests.body,
            "headerTimeoutMs": requests.time, "idleTimeoutMs": requests.time,
        });
        emulator.write("op/config", config.to_string().into_bytes());
        let store = Proxy::open(emulator.store());
        let limits = HostLimits { memory_mb: MEMORY_BYTES / 1_000_000, descriptors };
        let addr = store.addr().to_string();
        let daemon = DaemonProcess::spawn_on("d0".to_string(), &addr, Some(limits));
        let host = Self { store, daemon, limits, _emulator: emulator, _turn: turn };
        eventually("the daemon is ready", || {
            let answer = call(&host.daemon.ready, "GET", "/api/ready", None, "")?;
            (answer.status == 200).then_some(())
        });
        host
    }

    /// Opens the connections of a crowd to the listener for callers.
    pub(crate) fn open_crowd(&self, connections: usize) -> Vec<TcpStream> {
        (0..connections).filter_map(|_| open(&self.daemon.callers)).collect()
    }

    /// Checks that the daemon lives within its host, and that it accepts an ordinary job while the crowd is
    /// still open.
    pub(crate) fn check(&mut self, crowd: &[TcpStream]) {
        self.check_usage();
        let job = JobText::new(50).step(1, false).text();
        let path = format!("/replay/{:016x}", u64::MAX);
        eventually("an ordinary request is answered", || {
            let answer = call(&self.daemon.callers, "POST", &path, Some(KEY), &job)?;
            (answer.status == 200).then_some(())
        });
        self.check_usage();
        assert!(!crowd.is_empty(), "the crowd was never there");
    }

    /// Checks that the daemon lives, and that its memory and descriptors stay within those of the host.
    pub(crate) fn check_usage(&mut self) {
        assert!(self.daemon.is_running(), "the daemon has ended");
        let resident = resident_bytes_max(self.daemon.pid());
        let queued = self.queued_bytes();
        println!("{resident} bytes resident at most, {queued} in its sockets");
        assert!(
            resident + queued <= MEMORY_BYTES,
            "{resident} bytes resident and {queued} in sockets, of {MEMORY_BYTES}"
        );
        let open = self.descriptors();
        assert!(
            open <= self.limits.descriptors,
            "{open} of {} descriptors",
            self.limits.descriptors
        );
    }

    /// Returns the bytes in the buffers of the sockets of all listeners on the daemon's side.
    fn queued_bytes(&self) -> u64 {
        let port = |addr: &String| {
            let (_, port) = addr.rsplit_once(':').expect("an address with a port");
            format!(":{:04X}", port.parse::<u16>().expect("a port"))
        };
        let ports = [&self.daemon.callers, &self.daemon.ready, &self.daemon.metrics].map(port);
        let table = std::fs::read_to_string("/proc/net/tcp").expect("the table of sockets");
        let queues = table.lines().filter_map(|line| {
            let mut fields = line.split_whitespace().skip(1);
            let local = fields.next()?;
            let queues = fields.nth(2)?;
            ports.iter().any(|p| local.ends_with(p)).then_some(queues)
        });
        queues
            .flat_map(|q| q.split(':'))
            .map(|bytes| u64::from_str_radix(bytes, 16).expect("a number of bytes"))
            .sum()
    }

    /// Returns the number of open descriptors of the daemon.
    pub(crate) fn descriptors(&self) -> u64 {
        let folder = std::fs::read_dir(format!("/proc/{}/fd", self.daemon.pid()));
        folder.expect("the daemon's descriptors can be listed").count() as u64
    }
}

/// Returns the largest resident memory of a process so far, in bytes.
pub(crate) fn resident_bytes_max(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status"));
    let status = status.expect("the status of the process can be read");
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).expect("a peak");
    let kilobytes = line.trim().trim_end_matches(" kB").parse::<u64>();
    kilobytes.expect("a number of kilobytes") * 1_024
}

/// Opens a connection of a caller; `None` if the daemon refuses it.
pub(crate) fn open(addr: &str) -> Option<TcpStream> {
    let addr = addr.parse().expect("an address");
    let stream = TcpStream::connect_timeout(&addr, CALLER_TIMEOUT).ok()?;
    stream.set_write_timeout(Some(CALLER_TIMEOUT)).expect("a valid timeout");
    stream.set_read_timeout(Some(Duration::from_secs(30))).expect("a valid timeout");
    stream.set_nodelay(true).expect("a socket option");
    Some(stream)
}

/// Sends bytes; the daemon may refuse them, as it may refuse any caller of a crowd.
pub(crate) fn send(mut stream: &TcpStream, bytes: &[u8]) {
    // A connection that the daemon has closed stays in the crowd without effect.
    let _ = stream.write_all(bytes);
}

/// Reads an answer and returns its status; `None` if the connection ends first.
pub(crate) fn read_status(mut stream: &TcpStream) -> Option<u16> {
    let mut answer = Vec::new();
    while !answer.windows(4).any(|w| w == b"\r\n\r\n") {
        let mut bytes = [0; 1_024];
        let length = stream.read(&mut bytes).ok().filter(|length| *length > 0)?;
        answer.extend_from_slice(&bytes[..length]);
    }
    let text = String::from_utf8_lossy(&answer);
    text.split(' ').nth(1)?.parse().ok()
}

/// Returns the head of a submission with the given key and headers; an empty key stands for none.
pub(crate) fn head(job: u64, key: &str, headers: &str) -> String {
    let key =
        if key.is_empty() { String::new() } else { format!("Authorization: Token {key}\r\n") };
    format!(
        "POST /replay/{job:016x} HTTP/1.1\r\nHost: jobs.example\r\nDeadline-Ms: 30000\r\n{key}{headers}\r\n"
    )
}

/// Returns a valid job of the given size that isn't due for decades: as many steps as a job may have, each
/// after all before it, and spaces.
pub(crate) fn large_job(bytes: usize) -> Vec<u8> {
    let step =
        |number: usize| json!({ "count": 1, "cpu": 1, "after": (0..number).collect::<Vec<_>>() });
    let steps: Vec<Value> = (0..256).map(step).collect();
    let job = json!({
        "spec": "x".repeat(4_000), "steps": steps, "repeatCount": 1, "intervalMs": 1_000,
        "firstRunMs": 4_102_444_800_000_u64,
    });
    let mut text = job.to_string().into_bytes();
    assert!(text.len() <= bytes, "{} bytes", text.len());
    text.resize(bytes, b' ');
    text
}

/// Encodes a body in chunks of the given size, without the last chunk that ends it.
pub(crate) fn chunks(body: &[u8], size: usize) -> Vec<u8> {
    let mut bytes = Vec::new();
    for chunk in body.chunks(size) {
        bytes.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        bytes.extend_from_slice(chunk);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes
}
