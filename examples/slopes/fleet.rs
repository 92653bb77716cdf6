//! Starts a deployment of real processes: the platform, all workers in one process, and one process
//! for each daemon.

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

/// Timeout of one call.
const CALL_TIMEOUT: Span = Span::from_secs(20);
/// Timeout of a wait while a deployment starts or settles.
const SETTLE_TIMEOUT_S: u64 = 60;
/// Interval at which a condition is polled.
const POLL_INTERVAL_MS: u64 = 200;
/// Bytes per second for renewals, in the settings of the target deployment.
const TARGET_CONTROL_RATE: u32 = 2_048;
/// Lease in the settings of the target deployment.
const TARGET_LEASE: Span = Span::from_secs(280);
/// Heartbeat interval in the settings of the target deployment.
const TARGET_HEARTBEAT: Span = Span::from_secs(1);
/// Workers of a rack.
const RACK_WORKERS: u16 = 16;

/// Composition of a deployment.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    /// Workers of each failure domain.
    pub(crate) workers: Vec<u16>,
    /// Number of failure domains that have daemons, which are the first ones.
    pub(crate) served: usize,
    /// Daemons of all failure domains.
    pub(crate) daemons: usize,
    /// Accelerators of a worker.
    pub(crate) accelerators: u8,
    /// Slots of a worker.
    pub(crate) slots: u16,
    /// Whether the daemons have the settings of the target deployment.
    pub(crate) target: bool,
}

/// A child process; it exits when this value is dropped.
struct Process {
    child: Child,
    listeners: Vec<SocketAddr>,
}

/// A daemon in its own process.
pub(crate) struct DaemonProcess {
    /// Id and failure domain of the daemon.
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
    /// Returns the ids of the failure domains.
    pub(crate) fn domains(&self) -> Vec<DomainId> {
        let name = |i| format!("domain-{}", i + 1).parse().expect("the name is valid");
        (0..self.workers.len()).map(name).collect()
    }

    fn deployment(&self) -> Deployment {
        let domains = self.domains().into_iter().zip(&self.workers);
        Deployment {
            region: "region-1".parse().expect("the name is valid"),
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
        let line = serde_json::to_string(setup).expect("the set-up serialises");
        let input = child.stdin.as_mut().expect("stdin is piped");
        writeln!(input, "{line}").and_then(|()| input.flush()).map_err(fault)?;
        let output = child.stdout.take().expect("stdout is piped");
        let mut answer = String::new();
        BufReader::new(output).read_line(&mut answer).map_err(fault)?;
        let addresses: Result<Addresses, _> = serde_json::from_str(&answer);
        let addresses =
            addresses.map_err(|e| Error::new(Code::BadAnswer, format!("{role}: {e}")))?;
        Ok(Self { child, listeners: addresses.listeners })
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        drop(self.child.stdin.take());
        // The process exits once its stdin is closed; an error means that it has exited already.
        let _ = self.child.wait();
    }
}

impl DaemonProcess {
    /// Returns the URL of a path on the listener for operators.
    pub(crate) fn operator_url(&self, path: &str) -> String {
        format!("http://{}{path}", self.process.listeners[1])
    }

    /// Returns the URL of a path on the listener for callers.
    pub(crate) fn caller_url(&self, path: &str) -> String {
        format!("http://{}{path}", self.process.listeners[0])
    }

    fn sample(&self) -> Result<Sample, Error> {
        Sample::take(self.process.child.id(), &self.client, &self.operator_url("/metrics"))
    }

    /// Returns the number of workers that this daemon keeps.
    ///
    /// # Errors
    ///
    /// [`Code::BadAnswer`] when its dump does not hold the number.
    pub(crate) fn kept(&self) -> Result<usize, Error> {
        let dump: Dump = self.client.get(&self.operator_url("/v1/dump"))?.json()?;
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
    /// [`Code::Unreachable`] when a process does not start, and [`Code::TimedOut`] when the
    /// deployment does not settle.
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
    pub(crate) fn store_url(&self) -> String {
        format!("http://{}/kv", self.platform.listeners[0])
    }

    /// Returns the URL of a path on the listener of the workers.
    pub(crate) fn workers_url(&self, path: &str) -> String {
        format!("http://{}{path}", self.workers.listeners[0])
    }

    fn fetch_domains(&self) -> Result<DomainsAnswer, Error> {
        self.client.get(&self.daemons[0].operator_url("/v1/domains"))?.json()
    }

    /// Returns the placer of a failure domain.
    ///
    /// # Errors
    ///
    /// [`Code::BadAnswer`] when the domain has no placer.
    pub(crate) fn placer(&self, domain: &DomainId) -> Result<DaemonId, Error> {
        let answer = self.fetch_domains()?;
        let row = answer.domains.iter().find(|row| row.id == *domain);
        let placer = row.and_then(|row| row.placer.clone());
        placer.ok_or_else(|| Error::new(Code::BadAnswer, format!("nobody places in {domain}")))
    }

    /// Applies a note and waits until it is in force everywhere.
    ///
    /// # Errors
    ///
    /// The error with which the daemon refuses the note, and [`Code::TimedOut`] after
    /// [`SETTLE_TIMEOUT_S`] seconds.
    pub(crate) fn apply(&self, note: &ReleaseNote) -> Result<(), Error> {
        poll("the release note", || {
            let reply = self.client.post(&self.daemons[0].operator_url("/v1/note"), note)?;
            match reply.json::<ApplyAnswer>() {
                Ok(answer) => Ok(answer.code == Code::Done),
                Err(error) if reply.status < 500 => Err(error),
                Err(_) => Ok(false),
            }
        })
    }

    fn await_hosts(&self, plan: &Plan) -> Result<(), Error> {
        let expected: usize = plan.workers.iter().map(|n| usize::from(*n)).sum();
        poll("the host list", || {
            let reply = self.client.get(&self.daemons[0].operator_url("/v1/dump"))?;
            let dump: Dump = reply.json()?;
            let hosts = dump.sections.iter().find(|s| s.name == "hosts");
            Ok(hosts.is_some_and(|s| s.state["all"].as_u64() == Some(expected as u64)))
        })
    }

    fn await_placers(&self, served: &[DomainId]) -> Result<(), Error> {
        poll("a placer in each failure domain", || {
            let answer = self.fetch_domains()?;
            let rows = answer.domains.iter().filter(|row| served.contains(&row.id));
            Ok(rows.filter(|row| row.placer.is_some()).count() == served.len())
        })
    }

    /// Measures all daemons over `windows` windows; returns a list of rates for each daemon.
    ///
    /// # Errors
    ///
    /// [`Code::Unreachable`] when a process has exited.
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

/// Polls until `is_met` returns true.
///
/// # Errors
///
/// [`Code::TimedOut`] when it takes too long.
pub(crate) fn poll(
    what: &str,
    mut is_met: impl FnMut() -> Result<bool, Error>,
) -> Result<(), Error> {
    let end = Instant::now() + Duration::from_secs(SETTLE_TIMEOUT_S);
    while !is_met()? {
        if Instant::now() > end {
            return Err(Error::new(Code::TimedOut, format!("{what} didn't come")));
        }
        sleep(Duration::from_millis(POLL_INTERVAL_MS));
    }
    Ok(())
}
