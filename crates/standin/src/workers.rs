//! Simulated workers served at one HTTP address: `POST /workers/{id}/batch`, and test controls
//! under `/admin`.

use bulrushlink_api::{Client, Host, WorkerBatch};
use bulrushlink_core::{Code, Error, Moment, Span, WorkerId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use tiny_http::Method;

use crate::checkpoints::Checkpoints;
use crate::deployment::Deployment;
use crate::fault::Faults;
use crate::http::{HttpServer, Reply, Service, parse};
use crate::platform::{AdminHosts, AdminWorker};
use crate::record::{PartialGang, Record, Run};
use crate::worker::{WorkerMode, WorkerSim, WorkerTiming};

/// Threads that answer requests.
const THREADS: usize = 8;
/// Timeout of a call to the platform, such as a registration, in milliseconds.
const PLATFORM_TIMEOUT_MS: u64 = 5_000;

/// Body of `POST /admin/mode`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdminMode {
    /// The worker.
    pub worker: WorkerId,
    /// New behavior of the worker.
    pub mode: WorkerMode,
}

/// Body of the answer to `GET /admin/record`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordPage {
    /// All runs in the order in which their starts were recorded.
    pub runs: Vec<Run>,
    /// Periods in which gangs ran partially.
    pub partials: Vec<PartialGang>,
}

struct State {
    /// Sorted by worker.
    workers: Vec<Mutex<WorkerSim>>,
    /// Ids of `workers`, in the same order.
    ids: Vec<WorkerId>,
    faults: Mutex<Faults>,
    record: Record,
    platform: Option<String>,
    client: Client,
}

/// Running simulated workers.
pub struct Workers {
    server: HttpServer,
    state: Arc<State>,
}

impl Workers {
    /// Starts the workers of a deployment at one address, and registers them with the platform at
    /// the URL `platform`, if there is one. Port 0 binds a free port.
    ///
    /// # Errors
    ///
    /// [`Code::Unreachable`] if the address can't be bound or the platform can't be reached, and
    /// [`Code::BadAnswer`] if the platform rejects the registration.
    pub fn bind(
        addr: SocketAddr,
        deployment: &Deployment,
        platform: Option<&str>,
    ) -> Result<Self, Error> {
        Self::with_timing(addr, deployment, platform, WorkerTiming::default())
    }

    /// Starts workers with the given durations.
    ///
    /// # Errors
    ///
    /// As [`Self::bind`].
    pub fn with_timing(
        addr: SocketAddr,
        deployment: &Deployment,
        platform: Option<&str>,
        timing: WorkerTiming,
    ) -> Result<Self, Error> {
        let (checkpoints, record) = (Checkpoints::open(), Record::open());
        let mut hosts = deployment.hosts(addr);
        hosts.sort_by(|a, b| a.id.cmp(&b.id));
        let open = |(i, host): (usize, &Host)| {
            let worker = WorkerSim::open(host.clone(), &checkpoints, &record, i as u64);
            Mutex::new(worker.with_timing(timing))
        };
        let state = Arc::new(State {
            workers: hosts.iter().enumerate().map(open).collect(),
            ids: hosts.iter().map(|h| h.id.clone()).collect(),
            faults: Mutex::new(Faults::default()),
            record,
            platform: platform.map(str::to_string),
            client: Client::open(Span(PLATFORM_TIMEOUT_MS), None),
        });
        let server = HttpServer::bind(addr, THREADS, Box::new(WorkersService(state.clone())))?;
        for host in &mut hosts {
            host.addr = server.addr();
        }
        state.notify_platform("hosts", &AdminHosts { hosts })?;
        Ok(Self { server, state })
    }

    /// Returns the address that all workers share.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns the record of all runs.
    pub fn record(&self) -> &Record {
        &self.state.record
    }

    /// Returns the current time of the clock that the record uses.
    pub fn now(&self) -> Moment {
        self.server.now()
    }

    /// Changes the behavior of a worker.
    ///
    /// # Panics
    ///
    /// If there is no such worker.
    pub fn set_mode(&self, worker: &WorkerId, mode: WorkerMode) {
        let mut sim = self.state.worker(worker).expect("the worker belongs to the deployment");
        sim.set_mode(mode, self.now());
    }

    /// Replaces the injected faults of all workers.
    pub fn set_faults(&self, faults: Faults) {
        *self.state.faults.lock().expect("no thread panics while holding the lock") = faults;
    }

    /// Stops all workers; connections are refused from then on.
    pub fn stop(self) {
        self.server.stop();
    }
}

impl State {
    fn worker(&self, id: &WorkerId) -> Option<MutexGuard<'_, WorkerSim>> {
        let i = self.ids.binary_search(id).ok()?;
        Some(self.workers[i].lock().expect("a worker panics only on a violated invariant"))
    }

    fn notify_platform<T: Serialize>(&self, page: &str, body: &T) -> Result<(), Error> {
        let Some(platform) = &self.platform else { return Ok(()) };
        let reply = self.client.post(&format!("{platform}/admin/{page}"), body)?;
        if reply.status == 200 {
            return Ok(());
        }
        Err(Error::new(Code::BadAnswer, format!("status {}: {}", reply.status, reply.body)))
    }
}

struct WorkersService(Arc<State>);

impl Service for WorkersService {
    fn handle(&self, method: &Method, path: &str, body: String, now: Moment) -> Reply {
        let worker = path.strip_prefix("/workers/").and_then(|rest| rest.strip_suffix("/batch"));
        let reply = match (method, path, worker) {
            (Method::Post, _, Some(worker)) => self.batch(worker, &body, now),
            (Method::Get, "/admin/record", _) => Ok(self.record(now)),
            (Method::Post, path, _) => self.admin(path, &body, now),
            _ => Err(Reply::error(404, "no such path")),
        };
        reply.unwrap_or_else(|reply| reply)
    }

    fn retry(&self, _body: &str, _now: Moment) -> Reply {
        unreachable!("no request of a worker waits")
    }

    fn tick(&self, now: Moment) {
        for worker in &self.0.workers {
            worker.lock().expect("a worker panics only on a violated invariant").advance(now);
        }
    }
}

impl WorkersService {
    fn batch(&self, worker: &str, body: &str, now: Moment) -> Result<Reply, Reply> {
        let faults = *self.0.faults.lock().expect("no thread panics while holding the lock");
        if faults.down {
            return Err(Reply::error(503, "down"));
        }
        let batch: WorkerBatch = parse(body)?;
        let id: WorkerId = worker.parse().map_err(|e: Error| Reply::error(404, e))?;
        let Some(mut worker) = self.0.worker(&id) else {
            return Err(Reply::error(404, "no such worker"));
        };
        if worker.mode() == WorkerMode::Dead || faults.loses_request() {
            return Ok(Reply::Lost);
        }
        let reply = Reply::json(&worker.handle(&batch, now));
        if faults.loses_reply() {
            return Ok(Reply::Lost);
        }
        Ok(reply.delayed((faults.slow_ms > 0).then(|| now + Span(faults.slow_ms))))
    }

    fn record(&self, now: Moment) -> Reply {
        let record = &self.0.record;
        Reply::json(&RecordPage { runs: record.runs(), partials: record.partials(now) })
    }

    fn admin(&self, path: &str, body: &str, now: Moment) -> Result<Reply, Reply> {
        let unknown = || Reply::error(404, "no such worker");
        match path {
            "/admin/fault" => {
                let faults: Faults = parse(body)?;
                *self.0.faults.lock().expect("no thread panics while holding the lock") = faults;
            }
            "/admin/mode" => {
                let AdminMode { worker, mode } = parse(body)?;
                self.0.worker(&worker).ok_or_else(unknown)?.set_mode(mode, now);
            }
            "/admin/leave" => {
                let leave: AdminWorker = parse(body)?;
                self.0.worker(&leave.worker).ok_or_else(unknown)?.leave();
                self.0.notify_platform("leave", &leave).map_err(|e| Reply::error(502, e))?;
            }
            _ => return Err(Reply::error(404, "no such path")),
        }
        Ok(Reply::json(&serde_json::json!({ "done": true })))
    }
}
