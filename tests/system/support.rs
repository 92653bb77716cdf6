//! Starts deployments of separate processes on loopback: stand-ins, daemons and the command line.

use bulrushlink::{LOCAL_TOKEN, LocalSettings};
use bulrushlink_api::{Client, HttpReply};
use bulrushlink_core::{DomainId, Span};
use serde::Deserialize;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Timeout of a wait in a test, long enough that only a defect of the daemons reaches it.
const STEP_TIMEOUT_S: u64 = 60;
/// Interval at which a test polls the condition that it waits for.
const POLL_INTERVAL_MS: u64 = 50;

/// A child process, killed on drop.
pub(crate) struct Process {
    child: Child,
}

impl Process {
    fn spawn(command: &mut Command) -> Self {
        Self { child: start(command) }
    }

    /// Sends the signal `name`, such as `TERM`.
    pub(crate) fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let mut kill = start(Command::new("kill").args([format!("-{name}"), pid]));
        assert!(kill.wait().expect("the child process can be awaited").success());
    }

    /// Waits until the process exits and returns its exit code; `None` if a signal ended it.
    pub(crate) fn wait(&mut self) -> Option<i32> {
        let child = &mut self.child;
        eventually("the process exits", || {
            child.try_wait().expect("the child process can be awaited")
        })
        .code()
    }

    /// Kills the process and reaps it. Errors are ignored: the process may have exited already.
    pub(crate) fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The line that a stand-in prints once it listens.
#[derive(Deserialize)]
struct Listening {
    addr: SocketAddr,
}

/// A daemon's process with its addresses.
pub(crate) struct DaemonProcess {
    pub(crate) process: Process,
    pub(crate) name: String,
    settings: PathBuf,
    pub(crate) callers: String,
    pub(crate) operators: String,
}

/// All processes of a deployment.
pub(crate) struct Processes {
    pub(crate) daemons: Vec<DaemonProcess>,
    pub(crate) platform: String,
    pub(crate) workers: String,
    directory: PathBuf,
    _standins: Vec<Process>,
}

impl Processes {
    /// Starts the stand-ins and `count` daemons; `test` names the directory of their settings.
    pub(crate) fn spawn(test: &str, count: usize) -> Self {
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test);
        std::fs::create_dir_all(&directory).expect("the build directory is writable");
        std::fs::write(directory.join("token"), LOCAL_TOKEN).expect("the directory is writable");
        let (platform, platform_addr) = spawn_standin(&["platform", "--listen", "127.0.0.1:0"]);
        let platform_url = format!("http://{platform_addr}");
        let args = ["workers", "--listen", "127.0.0.1:0", "--deployment", "guardavia"];
        let (workers, workers_addr) =
            spawn_standin(&[&args[..], &["--platform", &platform_url]].concat());
        let domains = ["cuenca", "quito-norte", "quito-sur"];
        let domains: Vec<DomainId> =
            domains.iter().map(|d| d.parse().expect("the name is valid")).collect();
        let local = {
            let _guard = spawn_lock();
            LocalSettings::choose(platform_url.clone(), &domains, count)
        };
        let daemons =
            local.members.iter().map(|m| DaemonProcess::spawn(&local, m, &directory)).collect();
        let processes = Self {
            daemons,
            platform: platform_url,
            workers: format!("http://{workers_addr}"),
            directory,
            _standins: vec![platform, workers],
        };
        for daemon in &processes.daemons {
            daemon.wait_alive();
        }
        processes
    }

    /// Runs the command line against these daemons and returns its output and exit code.
    pub(crate) fn cli(&self, args: &[&str]) -> CliOutput {
        let servers: Vec<_> = self.daemons.iter().map(|d| d.callers.clone()).collect();
        let mut command = Command::new(env!("CARGO_BIN_EXE_bulrushlink"));
        command
            .args(args)
            .env("BULRUSHLINK_SERVER", servers.join(","))
            .env("BULRUSHLINK_OPERATOR", &self.daemons[0].operators)
            .env("BULRUSHLINK_TOKEN", LOCAL_TOKEN)
            .current_dir(env!("CARGO_MANIFEST_DIR"))
            .stdout(Stdio::piped())
            .stderr(Stdio::piped());
        let output = start(&mut command).wait_with_output().expect("the command line exits");
        CliOutput {
            out: String::from_utf8(output.stdout).expect("the output is UTF-8"),
            err: String::from_utf8(output.stderr).expect("the output is UTF-8"),
            status: output.status.code(),
        }
    }

    /// Applies the example release note and waits until it is in force everywhere.
    pub(crate) fn apply_first_note(&self) {
        let note = "examples/deployments/guardavia/note.json";
        let output = self.cli(&["note", "apply", note]);
        assert_eq!(output.status, Some(0), "{output:?}");
    }

    /// Sends a POST request to a stand-in or a daemon.
    pub(crate) fn post<T: serde::Serialize>(&self, url: &str, body: &T) -> HttpReply {
        let client = Client::open(Span::from_secs(30), Some(LOCAL_TOKEN.to_string()));
        client.post(url, body).expect("the listener answers")
    }

    /// Sends a GET request to a stand-in or a daemon.
    pub(crate) fn get(&self, url: &str) -> HttpReply {
        let client = Client::open(Span::from_secs(30), Some(LOCAL_TOKEN.to_string()));
        client.get(url).expect("the listener answers")
    }

    /// Returns the index in `daemons` of the placer of a failure domain.
    pub(crate) fn placer(&self, domain: &str) -> Option<usize> {
        let body = self.get(&format!("{}/v1/domains", self.daemons[0].operators)).body;
        let answer: bulrushlink_api::DomainsAnswer = serde_json::from_str(&body).ok()?;
        let row = answer.domains.into_iter().find(|row| row.id.as_str() == domain)?;
        let name = row.placer?.to_string();
        self.daemons.iter().position(|daemon| daemon.name == name)
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }
}

impl DaemonProcess {
    fn spawn(local: &LocalSettings, member: &bulrushlink_daemon::Member, directory: &Path) -> Self {
        let settings = local.of(&member.id);
        let path = directory.join(format!("{}.json", member.id));
        let text = serde_json::to_string_pretty(&settings).expect("the settings serialise");
        std::fs::write(&path, text).expect("the directory is writable");
        let process = Self::run(&path);
        Self {
            process,
            name: member.id.to_string(),
            settings: path,
            callers: format!("http://{}", settings.callers),
            operators: format!("http://{}", settings.operators),
        }
    }

    /// Restarts the daemon, killing its process if it still runs.
    pub(crate) fn restart(&mut self) {
        self.process.kill();
        self.process = Self::run(&self.settings);
        self.wait_alive();
    }

    /// Waits until both listeners answer.
    fn wait_alive(&self) {
        let client = Client::open(Span::from_secs(5), Some(LOCAL_TOKEN.to_string()));
        for listener in [&self.callers, &self.operators] {
            let what = format!("{} listens on {listener}", self.name);
            eventually(&what, || client.get(&format!("{listener}/alive")).ok());
        }
    }

    fn run(settings: &Path) -> Process {
        let mut command = Command::new(env!("CARGO_BIN_EXE_bulrushlinkd"));
        let log = std::fs::File::create(settings.with_extension("log"))
            .expect("the directory is writable");
        Process::spawn(command.arg("--settings").arg(settings).stderr(log))
    }
}

/// Output and exit code of a run of the command line.
#[derive(Debug)]
pub(crate) struct CliOutput {
    pub(crate) out: String,
    pub(crate) err: String,
    pub(crate) status: Option<i32>,
}

/// Serialises starting programs and choosing ports. Between fork and exec a child process inherits
/// the open sockets of the tests, and with them a port that was just chosen, so that the daemon for
/// which it was chosen can't bind it.
fn spawn_lock() -> MutexGuard<'static, ()> {
    static LOCK: Mutex<()> = Mutex::new(());
    LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

fn start(command: &mut Command) -> Child {
    let _guard = spawn_lock();
    command.spawn().expect("the program starts")
}

/// Polls until `poll` returns a value; panics after [`STEP_TIMEOUT_S`] seconds.
pub(crate) fn eventually<T>(what: &str, mut poll: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + Duration::from_secs(STEP_TIMEOUT_S);
    loop {
        if let Some(found) = poll() {
            return found;
        }
        assert!(Instant::now() < end, "timed out after {STEP_TIMEOUT_S} s: {what}");
        std::thread::sleep(Duration::from_millis(POLL_INTERVAL_MS));
    }
}

/// Starts a stand-in and returns its process and address.
fn spawn_standin(args: &[&str]) -> (Process, SocketAddr) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_bulrushlink-standin"));
    let mut process = Process::spawn(command.args(args).stdout(Stdio::piped()));
    let stdout = process.child.stdout.take().expect("stdout is piped");
    let mut line = String::new();
    BufReader::new(stdout).read_line(&mut line).expect("the stand-in prints its address");
    let listening: Listening =
        serde_json::from_str(&line).expect("the stand-in prints a line of JSON");
    (process, listening.addr)
}
