//! A deployment of real processes: the platform, all workers in one, and one for each daemon.

use bulrushlink::{LOCAL_TOKEN, LocalSettings};
use bulrushlink_api::{ApplyAnswer, Client, DomainsAnswer, Dump};
use bulrushlink_core::{Code, DaemonId, DomainId, Error, ReleaseNote, Span};
use bulrushlink_daemon::Member;
use bulrushlink_standin::{DeployedDomain, Deployment};
use serde::Serialize;
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::roles::{Addresses, WorkersSetup};
use crate::sample::{Rates, Sample};

/// Time-out of one call.
const CALL_TIMEOUT: Span = Span::from_secs(20);
/// The longest time for a deployment to settle, in seconds.
const SETTLE_S: u64 = 60;
/// Pause between two questions, in milliseconds.
const PAUSE_MS: u64 = 200;
/// Bytes a second for renewals in the settings of the target.
const TARGET_CONTROL_RATE: u32 = 2_048;
/// Lease in the settings of the target.
const TARGET_LEASE: Span = Span::from_secs(280);
/// Time between two heartbeats in the settings of the target.
const TARGET_HEARTBEAT: Span = Span::from_secs(1);
/// Workers of a rack.
const RACK_WORKERS: u16 = 16;

/// What a deployment consists of.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    /// Workers of each failure domain.
    pub(crate) workers: Vec<u16>,
    /// The first so many failure domains have daemons.
    pub(crate) served: usize,
    /// Daemons in all.
    pub(crate) daemons: usize,
    /// Accelerators of a worker.
    pub(crate) accelerators: u8,
    /// Slots of a worker.
    pub(crate) slots: u16,
    /// Whether the daemons have the settings of the target.
    pub(crate) target: bool,
}

/// One process; it ends with this value.
struct Process {
    child: Child,
    listeners: Vec<SocketAddr>,
}

/// The process of a daemon.
pub(crate) struct DaemonProcess {
    /// Its name and failure domain.
    pub(crate) member: Member,
    process: Process,
    client: Client,
}

/// A running deployment.
pub(crate) struct Fleet {
    platform: Process,
    workers: Process,
    /// Sorted by name.
    pub(crate) daemons: Vec<DaemonProcess>,
    client: Client,
}

impl Plan {
    /// Names of the failure domains.
    pub(crate) fn domains(&self) -> Vec<DomainId> {
        let name = |i| format!("domain-{}", i + 1).parse().expect("a short name is valid");
        (0..self.workers.len()).map(name).collect()
    }

    fn deployment(&self) -> Deployment {
        let domains = self.domains().into_iter().zip(&self.workers);
        Deployment {
            region: "region-1".parse().expect("a short name is valid"),
            domains: domains.map(|(id, n)| DeployedDomain { id, workers: *n }).collect(),
            rack_workers: RACK_WORKERS,
            accelerators: self.accelerators,
            slots: self.slots,
        }
    }
}

impl Process {
    fn start<T: Serialize>(role: &str, setup: &T) -> Result<Self, Error> {
        let fault = |e: std::io::Error| Error::new(Code::Unreachable, format!("{role}: {e}"));
        let program = std::env::current_exe().map_err(fault)?;
        let mut command = Command::new(program);
        command.args(["--role", role]).stdin(Stdio::piped()).stdout(Stdio::piped());
        let mut child = command.spawn().map_err(fault)?;
        let line = serde_json::to_string(setup).expect("a set-up has a JSON form");
        let input = child.stdin.as_mut().expect("the input is piped");
        writeln!(input, "{line}").and_then(|()| input.flush()).map_err(fault)?;
        let output = child.stdout.take().expect("the output is piped");
        let mut told = String::new();
        BufReader::new(output).read_line(&mut told).map_err(fault)?;
        let told: Result<Addresses, _> = serde_json::from_str(&told);
        let told = told.map_err(|e| Error::new(Code::BadAnswer, format!("{role}: {e}")))?;
        Ok(Self { child, listeners: told.listeners })
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        drop(self.child.stdin.take());
        // A process whose input has ended ends by itself; one that can't be waited for has gone.
        let _ = self.child.wait();
    }
}

impl DaemonProcess {
    /// URL of a page for operators.
    pub(crate) fn page(&self, path: &str) -> String {
        format!("http://{}{path}", self.process.listeners[1])
    }

    /// URL of a page for callers.
    pub(crate) fn caller_page(&self, path: &str) -> String {
        format!("http://{}{path}", self.process.listeners[0])
    }

    fn sample(&self) -> Result<Sample, Error> {
        Sample::take(self.process.child.id(), &self.client, &self.page("/metrics"))
    }

    /// Returns how many workers this daemon keeps.
    ///
    /// # Errors
    ///
    /// [`Code::BadAnswer`] when its dump doesn't tell.
    pub(crate) fn kept(&self) -> Result<usize, Error> {
        let dump: Dump = self.client.get(&self.page("/v1/dump"))?.json()?;
        let keeper = dump.sections.iter().find(|s| s.name == "keeper");
        let assigned = keeper.and_then(|s| s.state["assigned"].as_array().map(Vec::len));
        assigned.ok_or_else(|| Error::new(Code::BadAnswer, "no keeper in the dump"))
    }
}

impl Fleet {
    /// Starts all processes and waits until the release note is in force and every failure domain
    /// with daemons has a placer.
    ///
    /// # Errors
    ///
    /// [`Code::Unreachable`] when a process doesn't start or settle.
    pub(crate) fn open(plan: &Plan, note: &ReleaseNote) -> Result<Self, Error> {
        let platform = Process::start("platform", &())?;
        let url = format!("http://{}", platform.listeners[0]);
        let setup = WorkersSetup { platform: url.clone(), deployment: plan.deployment() };
        let workers = Process::start("workers", &setup)?;
        let served = &plan.domains()[..plan.served];
        let mut local = LocalSettings::choose(url, served, plan.daemons);
        if plan.target {
            local.limits.control_rate = TARGET_CONTROL_RATE;
            local.timing.lease = TARGET_LEASE;
            local.timing.heartbeat = TARGET_HEARTBEAT;
        }
        let token = Some(LOCAL_TOKEN.to_string());
        let mut daemons = Vec::new();
        for member in &local.members {
            let process = Process::start("daemon", &local.of(&member.id))?;
            let client = Client::open(CALL_TIMEOUT, token.clone());
            daemons.push(DaemonProcess { member: member.clone(), process, client });
        }
        let fleet = Self { platform, workers, daemons, client: Client::open(CALL_TIMEOUT, token) };
        fleet.await_hosts(plan)?;
        fleet.apply(note)?;
        fleet.await_placers(served)?;
        Ok(fleet)
    }

    /// Returns the client for operators and callers.
    pub(crate) fn client(&self) -> &Client {
        &self.client
    }

    /// Returns the URL of the store.
    pub(crate) fn store(&self) -> String {
        format!("http://{}/kv", self.platform.listeners[0])
    }

    /// Returns the URL of a page of the workers.
    pub(crate) fn workers_page(&self, path: &str) -> String {
        format!("http://{}{path}", self.workers.listeners[0])
    }

    fn domains(&self) -> Result<DomainsAnswer, Error> {
        self.client.get(&self.daemons[0].page("/v1/domains"))?.json()
    }

    /// Returns the placer of a failure domain.
    ///
    /// # Errors
    ///
    /// [`Code::BadAnswer`] when nobody places there.
    pub(crate) fn placer(&self, domain: &DomainId) -> Result<DaemonId, Error> {
        let answer = self.domains()?;
        let row = answer.domains.iter().find(|row| row.id == *domain);
        let placer = row.and_then(|row| row.placer.clone());
        placer.ok_or_else(|| Error::new(Code::BadAnswer, format!("nobody places in {domain}")))
    }

    /// Applies a note and waits until it is in force everywhere.
    ///
    /// # Errors
    ///
    /// What the daemon refuses, and [`Code::NotePending`] when it takes too long.
    pub(crate) fn apply(&self, note: &ReleaseNote) -> Result<(), Error> {
        poll("the release note", || {
            let reply = self.client.post(&self.daemons[0].page("/v1/note"), note)?;
            match reply.json::<ApplyAnswer>() {
                Ok(answer) => Ok(answer.code == Code::Done),
                Err(error) if reply.status < 500 => Err(error),
                Err(_) => Ok(false),
            }
        })
    }

    fn await_hosts(&self, plan: &Plan) -> Result<(), Error> {
        let wanted: usize = plan.workers.iter().map(|n| usize::from(*n)).sum();
        poll("the host list", || {
            let reply = self.client.get(&self.daemons[0].page("/v1/dump"))?;
            let dump: Dump = reply.json()?;
            let hosts = dump.sections.iter().find(|s| s.name == "hosts");
            Ok(hosts.is_some_and(|s| s.state["all"].as_u64() == Some(wanted as u64)))
        })
    }

    fn await_placers(&self, served: &[DomainId]) -> Result<(), Error> {
        poll("a placer in each failure domain", || {
            let answer = self.domains()?;
            let rows = answer.domains.iter().filter(|row| served.contains(&row.id));
            Ok(rows.filter(|row| row.placer.is_some()).count() == served.len())
        })
    }

    /// Measures all daemons over `windows` windows, one list of rates a daemon.
    ///
    /// # Errors
    ///
    /// [`Code::Unreachable`] when a process has gone.
    pub(crate) fn measure(
        &self,
        windows: usize,
        window: Duration,
    ) -> Result<Vec<Vec<Rates>>, Error> {
        let sample =
            || self.daemons.iter().map(DaemonProcess::sample).collect::<Result<Vec<_>, _>>();
        let mut rates = vec![Vec::new(); self.daemons.len()];
        let mut before = sample()?;
        for _ in 0..windows {
            sleep(window);
            let now = sample()?;
            for (i, (now, before)) in now.iter().zip(&before).enumerate() {
                rates[i].push(now.since(before, self.daemons[i].process.child.id())?);
            }
            before = now;
        }
        Ok(rates)
    }
}

/// Asks until the answer is yes.
///
/// # Errors
///
/// [`Code::TimedOut`] when it takes too long.
pub(crate) fn poll(what: &str, mut ask: impl FnMut() -> Result<bool, Error>) -> Result<(), Error> {
    let end = Instant::now() + Duration::from_secs(SETTLE_S);
    while !ask()? {
        if Instant::now() > end {
            return Err(Error::new(Code::TimedOut, format!("{what} didn't come")));
        }
        sleep(Duration::from_millis(PAUSE_MS));
    }
    Ok(())
}
