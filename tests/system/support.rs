//! A deployment of separate processes on loopback: stand-ins, daemons and the command line.

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

/// Longest time that a step of a test may take; only a fault of the product reaches it.
const STEP_LIMIT_S: u64 = 60;
/// Pause between two looks at what a test waits for, in milliseconds.
const LOOK_PAUSE_MS: u64 = 50;

/// One process, ended with the test.
pub(crate) struct Process {
    child: Child,
}

impl Process {
    fn spawn(command: &mut Command) -> Self {
        Self { child: start(command) }
    }

    /// Sends a signal by its name.
    pub(crate) fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let mut kill = start(Command::new("kill").args([format!("-{name}"), pid]));
        assert!(kill.wait().expect("a child can be waited for").success());
    }

    /// Waits for the end and returns the exit status.
    pub(crate) fn wait(&mut self) -> Option<i32> {
        let child = &mut self.child;
        eventually("the process ends", || child.try_wait().expect("a child can be waited for"))
            .code()
    }

    /// Ends the process at once.
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

/// What a stand-in prints once it listens.
#[derive(Deserialize)]
struct Listening {
    addr: SocketAddr,
}

/// A daemon with its addresses.
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
    folder: PathBuf,
    _standins: Vec<Process>,
}

impl Processes {
    /// Starts the stand-ins and `count` daemons; `test` names the folder of the settings.
    pub(crate) fn spawn(test: &str, count: usize) -> Self {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test);
        std::fs::create_dir_all(&folder).expect("the build folder is writable");
        std::fs::write(folder.join("token"), LOCAL_TOKEN).expect("the folder is writable");
        let (platform, platform_addr) = standin(&["platform", "--listen", "127.0.0.1:0"]);
        let platform_url = format!("http://{platform_addr}");
        let args = ["workers", "--listen", "127.0.0.1:0", "--deployment", "guardavia"];
        let (workers, workers_addr) =
            standin(&[&args[..], &["--platform", &platform_url]].concat());
        let domains = ["cuenca", "quito-norte", "quito-sur"];
        let domains: Vec<DomainId> = domains.iter().map(|d| d.parse().expect("valid")).collect();
        let local = {
            let _alone = alone();
            LocalSettings::choose(platform_url.clone(), &domains, count)
        };
        let daemons =
            local.members.iter().map(|m| DaemonProcess::choose(&local, m, &folder)).collect();
        let processes = Self {
            daemons,
            platform: platform_url,
            workers: format!("http://{workers_addr}"),
            folder,
            _standins: vec![platform, workers],
        };
        for daemon in &processes.daemons {
            daemon.wait_alive();
        }
        processes
    }

    /// Runs the command line against these daemons and returns what it prints and its status.
    pub(crate) fn cli(&self, args: &[&str]) -> Session {
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
        let output = start(&mut command).wait_with_output().expect("the command line ends");
        Session {
            out: String::from_utf8(output.stdout).expect("text"),
            err: String::from_utf8(output.stderr).expect("text"),
            status: output.status.code(),
        }
    }

    /// Applies the example release note and waits until it is in force everywhere.
    pub(crate) fn apply_first_note(&self) {
        let note = "examples/deployments/guardavia/note.json";
        let session = self.cli(&["note", "apply", note]);
        assert_eq!(session.status, Some(0), "{session:?}");
    }

    /// Posts to a stand-in or a daemon.
    pub(crate) fn post<T: serde::Serialize>(&self, url: &str, body: &T) -> HttpReply {
        let client = Client::open(Span::from_secs(30), Some(LOCAL_TOKEN.to_string()));
        client.post(url, body).expect("the listener answers")
    }

    /// Gets from a stand-in or a daemon.
    pub(crate) fn get(&self, url: &str) -> HttpReply {
        let client = Client::open(Span::from_secs(30), Some(LOCAL_TOKEN.to_string()));
        client.get(url).expect("the listener answers")
    }

    /// Returns the daemon that places in a failure domain, by its place in `daemons`.
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
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

impl DaemonProcess {
    fn choose(local: &LocalSettings, member: &bulrushlink_daemon::Member, folder: &Path) -> Self {
        let settings = local.of(&member.id);
        let path = folder.join(format!("{}.json", member.id));
        let text = serde_json::to_string_pretty(&settings).expect("settings serialise");
        std::fs::write(&path, text).expect("the folder is writable");
        let process = Self::run(&path);
        Self {
            process,
            name: member.id.to_string(),
            settings: path,
            callers: format!("http://{}", settings.callers),
            operators: format!("http://{}", settings.operators),
        }
    }

    /// Starts the daemon's program anew, after its end.
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
        let log = std::fs::File::create(settings.with_extension("log")).expect("writable");
        Process::spawn(command.arg("--settings").arg(settings).stderr(log))
    }
}

/// What a run of the command line printed.
#[derive(Debug)]
pub(crate) struct Session {
    pub(crate) out: String,
    pub(crate) err: String,
    pub(crate) status: Option<i32>,
}

/// Keeps starts of programs and choices of ports apart. A program inherits the open sockets of the
/// tests for the moment between its fork and its start, and with them a port that was just chosen,
/// so that the daemon it was chosen for can't bind it.
fn alone() -> MutexGuard<'static, ()> {
    static ALONE: Mutex<()> = Mutex::new(());
    ALONE.lock().unwrap_or_else(PoisonError::into_inner)
}

fn start(command: &mut Command) -> Child {
    let _alone = alone();
    command.spawn().expect("the program starts")
}

/// Looks again and again until there is something.
pub(crate) fn eventually<T>(what: &str, mut look: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + Duration::from_secs(STEP_LIMIT_S);
    loop {
        if let Some(found) = look() {
            return found;
        }
        assert!(Instant::now() < end, "not seen within {STEP_LIMIT_S} s: {what}");
        std::thread::sleep(Duration::from_millis(LOOK_PAUSE_MS));
    }
}

fn standin(args: &[&str]) -> (Process, SocketAddr) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_bulrushlink-standin"));
    let mut process = Process::spawn(command.args(args).stdout(Stdio::piped()));
    let stdout = process.child.stdout.take().expect("piped");
    let mut line = String::new();
    BufReader::new(stdout).read_line(&mut line).expect("the stand-in prints its address");
    let listening: Listening = serde_json::from_str(&line).expect("one line of JSON");
    (process, listening.addr)
}
