//! Starts daemons as child processes against an emulator of the platform that runs in the test.

use bulrushlink_fleet::Resources;
use bulrushlink_standin::{Emulator, EmulatorOptions, FleetWorkerBounds, state_text};
use serde_json::{Value, json};
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Timeout of a wait in a test, long enough that only a defect of the daemons reaches it.
const STEP_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which a test polls the condition that it waits for.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A daemon's process, killed on drop.
pub(crate) struct DaemonProcess {
    child: Child,
    settings: PathBuf,
    limits: Option<HostLimits>,
    /// Log lines of the present process, without the first one.
    lines: Arc<AtomicUsize>,
    pub(crate) name: String,
    pub(crate) callers: String,
    pub(crate) ready: String,
    pub(crate) metrics: String,
}

/// Daemons and the emulated platform that they use.
pub(crate) struct Fleet {
    pub(crate) emulator: Emulator,
    pub(crate) daemons: Vec<DaemonProcess>,
}

/// Memory and descriptors of a daemon's process.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HostLimits {
    pub(crate) memory_mb: u64,
    pub(crate) descriptors: u64,
}

/// An HTTP answer; `retry_after` is its `Retry-After` header.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) body: String,
    pub(crate) retry_after: Option<String>,
}

/// Next number in the names of the settings files, which are unique within this process.
static NEXT_FILE: AtomicUsize = AtomicUsize::new(0);

impl Drop for DaemonProcess {
    fn drop(&mut self) {
        // Errors are ignored: the process may have exited already, and no check needs the file.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

impl DaemonProcess {
    pub(crate) fn spawn(name: String, store: &str) -> Self {
        Self::spawn_on(name, store, None)
    }

    /// Starts a daemon on a host with the given limits: they are in its settings, and the operating system
    /// enforces that on descriptors.
    pub(crate) fn spawn_on(name: String, store: &str, limits: Option<HostLimits>) -> Self {
        let any_port = "127.0.0.1:0";
        let mut text = json!({
            "daemon": name, "domain": "east", "log": "info", "callers": any_port, "ready": any_port,
            "metrics": any_port, "store": store,
            "host": { "core_share": 1, "core_speed": 1 },
            "bounds": {
                "revoke_ms": 5000, "drain_ms": 2000, "lease_max_ms": 6000, "stop_ms": 900,
                "gang_ms": 3000, "grace_s": 6, "status_s": 120, "remote_factor": 3,
                "reclaim_ms": 3400,
            },
        });
        if let Some(HostLimits { memory_mb, descriptors }) = limits {
            text["process"] = json!({ "memory_mb": memory_mb, "descriptors": descriptors });
        }
        let number = NEXT_FILE.fetch_add(1, Ordering::SeqCst);
        let file = format!("bulrushlink-{}-{number}.json", std::process::id());
        let settings = std::env::temp_dir().join(file);
        std::fs::write(&settings, text.to_string()).expect("the temporary directory is writable");
        let (child, line, lines) = start(&settings, limits);
        let addr = |field: &str| {
            line[field].as_str().expect("the first log line holds the address").to_string()
        };
        let (callers, ready, metrics) = (addr("callers"), addr("ready"), addr("metrics"));
        Self { child, settings, limits, lines, name, callers, ready, metrics }
    }

    /// Kills the process and starts it again with the same settings; its ports change.
    pub(crate) fn restart(&mut self) {
        self.child.kill().expect("the child process can be killed");
        self.child.wait().expect("the child process can be awaited");
        let (child, line, lines) = start(&self.settings, self.limits);
        (self.child, self.lines) = (child, lines);
        let addr = |field: &str| {
            line[field].as_str().expect("the first log line holds the address").to_string()
        };
        (self.callers, self.ready, self.metrics) =
            (addr("callers"), addr("ready"), addr("metrics"));
    }

    /// Returns the identifier of the process.
    pub(crate) fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends the signal `name`, such as `TERM`.
    pub(crate) fn signal(&self, name: &str) {
        let pid = self.pid().to_string();
        let status = Command::new("kill").args([format!("-{name}"), pid]).status();
        assert!(status.expect("kill runs").success());
    }

    /// Waits until the process exits and returns true if it did so with status 0.
    pub(crate) fn wait(&mut self) -> bool {
        let child = &mut self.child;
        eventually("the process exits", || {
            child.try_wait().expect("the child process can be awaited")
        })
        .success()
    }

    /// Returns the number of log lines that the present process has written.
    pub(crate) fn log_lines(&self) -> usize {
        self.lines.load(Ordering::SeqCst)
    }

    pub(crate) fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("the child process can be awaited").is_none()
    }
}

/// Starts a daemon and returns its first log line, which holds its addresses, and the number of lines
/// after it.
fn start(settings: &Path, limits: Option<HostLimits>) -> (Child, Value, Arc<AtomicUsize>) {
    let program = env!("CARGO_BIN_EXE_bulrushlinkd");
    let mut command = match limits {
        // `exec` keeps the process that is killed on drop.
        Some(HostLimits { descriptors, .. }) => {
            let mut command = Command::new("sh");
            command.args(["-c", &format!("ulimit -n {descriptors}; exec \"$0\" \"$@\""), program]);
            command
        }
        None => Command::new(program),
    };
    let mut child = command
        .args(["platform", "--settings"])
        .arg(settings)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the daemon starts");
    let mut lines = BufReader::new(child.stdout.take().expect("stdout is piped")).lines();
    let first = lines.next().expect("the daemon logs a line").expect("the log is UTF-8");
    let first: Value = serde_json::from_str(&first).expect("a log line is JSON");
    assert_eq!(first["event"], "start");
    // Drains the log: the daemon never blocks on it but drops lines once the pipe is full.
    let mut file = log_file(&first, child.id());
    let count = Arc::new(AtomicUsize::new(0));
    let counted = count.clone();
    std::thread::spawn(move || {
        for line in lines.map_while(Result::ok) {
            counted.fetch_add(1, Ordering::SeqCst);
            if let Some(file) = &mut file {
                writeln!(file, "{line}").expect("the log file can be written");
            }
        }
    });
    (child, first, count)
}

/// Opens a file for the log of a daemon in the directory that `SOAK_LOGS` names, if it is set.
fn log_file(first: &Value, process: u32) -> Option<File> {
    let folder = std::env::var_os("SOAK_LOGS")?;
    let daemon = first["daemon"].as_str().unwrap_or("daemon");
    let path = Path::new(&folder).join(format!("{daemon}-{process}.log"));
    Some(File::create(path).expect("the log file can be created"))
}

/// Polls until `poll` returns a value; panics after [`STEP_TIMEOUT`].
pub(crate) fn eventually<T>(what: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let began = Instant::now();
    loop {
        if let Some(found) = poll() {
            return found;
        }
        assert!(began.elapsed() < STEP_TIMEOUT, "timed out after {STEP_TIMEOUT:?}: {what}");
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// Calls a daemon; `None` if the connection fails.
pub(crate) fn call(
    addr: &str,
    method: &str,
    path: &str,
    key: Option<&str>,
    body: &str,
) -> Option<Answer> {
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(Duration::from_secs(10)));
    let agent: ureq::Agent = config.build().into();
    let mut request = ureq::http::Request::builder()
        .method(method)
        .uri(format!("http://{addr}{path}"))
        .header("Host", "jobs.example")
        .header("Deadline-Ms", "5000");
    if let Some(key) = key {
        request = request.header("Authorization", format!("Token {key}"));
    }
    let request = request.body(body.to_string()).expect("the request is valid");
    let mut response = agent.run(request).ok()?;
    let status = response.status().as_u16();
    let header = response.headers().get("retry-after");
    let retry_after = header.and_then(|h| h.to_str().ok()).map(str::to_string);
    let body = response.body_mut().read_to_string().ok()?;
    Some(Answer { status, body, retry_after })
}

impl Fleet {
    /// Starts daemons and workers, configures them and waits until the daemons are ready.
    pub(crate) fn spawn(daemons: usize, workers: usize) -> Self {
        let emulator = Emulator::spawn(EmulatorOptions {
            workers,
            capacity: Resources { cpu: 8_000, memory: 65_536, accelerators: 8 },
            bounds: FleetWorkerBounds { lease_max: 6_000, stop: 50 },
        })
        .expect("the emulator starts");
        emulator.configure(7, &["key-north"]);
        emulator.register_undecodable_worker();
        let store = emulator.store().to_string();
        let spawn = |n| DaemonProcess::spawn(format!("d{n}"), &store);
        let daemons = (0..daemons).map(spawn).collect();
        let fleet = Self { emulator, daemons };
        fleet.wait_ready();
        fleet
    }

    /// Waits until all daemons are ready.
    pub(crate) fn wait_ready(&self) {
        for daemon in &self.daemons {
            eventually("the daemon is ready", || {
                let answer = call(&daemon.ready, "GET", "/api/ready", None, "")?;
                (answer.status == 200).then_some(())
            });
        }
    }

    /// Submits a job, retrying while the connection fails.
    pub(crate) fn submit(&self, daemon: usize, id: &str, body: &str) -> Answer {
        let path = format!("/replay/{id}");
        eventually("the submission is answered", || {
            call(&self.daemons[daemon].callers, "POST", &path, Some("key-north"), body)
        })
    }

    /// Waits until a daemon shows the job in the given state.
    pub(crate) fn wait_state(&self, daemon: usize, id: &str, state: &str) {
        let path = format!("/replay/{id}");
        let expected = state_text(state);
        eventually(&format!("{id} is {state}"), || {
            let answer = call(&self.daemons[daemon].callers, "GET", &path, Some("key-north"), "")?;
            (answer.status == 200 && answer.body == expected).then_some(())
        });
    }

    /// Waits until a daemon is the placer and returns its index.
    pub(crate) fn placer(&self) -> usize {
        eventually("a daemon is the placer", || {
            let leader = self.emulator.value("bulrushlink/leader")?;
            let (name, _) = leader.split_once('/')?;
            self.daemons.iter().position(|d| d.name == name)
        })
    }
}
