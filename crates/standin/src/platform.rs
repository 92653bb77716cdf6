//! Simulated platform served over HTTP: `POST /kv`, `GET /hosts`, and test controls under `/admin`.

use bulrushlink_api::{Host, Revision, StoreReply, StoreRequest};
use bulrushlink_core::{Error, Moment, Span, WorkerId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{SystemTime, UNIX_EPOCH};
use tiny_http::Method;

use crate::fault::Faults;
use crate::hosts::HostTable;
use crate::http::{HttpServer, Reply, Service, parse};
use crate::store::{CallCounts, Store, StoreRates, VALUE_MAX_BYTES};

/// Threads that answer requests.
const THREADS: usize = 8;

/// Options of a simulated platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlatformOptions {
    /// Rate limits of the store.
    pub rates: StoreRates,
    /// Delay after which a change appears in the host list.
    pub hosts_lag: Span,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        Self { rates: StoreRates::default(), hosts_lag: Span::from_secs(1) }
    }
}

/// Body of `POST /admin/hosts`: hosts to add or replace.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdminHosts {
    /// The hosts.
    pub hosts: Vec<Host>,
}

/// Body of `POST /admin/leave` and `POST /admin/remove`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdminWorker {
    /// Worker of the host that leaves or is removed.
    pub worker: WorkerId,
}

/// A waiting watch, in the form that [`Reply::Wait`] carries.
#[derive(Debug, Serialize, Deserialize)]
struct WaitingWatch {
    request: StoreRequest,
    until: Moment,
}

struct State {
    store: Store,
    hosts: HostTable,
    faults: Faults,
}

struct PlatformService {
    state: Arc<Mutex<State>>,
}

/// A running simulated platform.
pub struct Platform {
    server: HttpServer,
    state: Arc<Mutex<State>>,
}

impl Platform {
    /// Starts a platform with default options; port 0 binds a free port.
    ///
    /// # Errors
    ///
    /// [`bulrushlink_core::Code::Unreachable`] if the address can't be bound.
    pub fn bind(addr: SocketAddr) -> Result<Self, Error> {
        Self::with_options(addr, PlatformOptions::default())
    }

    /// Starts a platform with the given options.
    ///
    /// # Errors
    ///
    /// As [`Self::bind`].
    pub fn with_options(addr: SocketAddr, options: PlatformOptions) -> Result<Self, Error> {
        let state = Arc::new(Mutex::new(State {
            store: Store::with_rates(options.rates),
            hosts: HostTable::open_at(options.hosts_lag, first_revision()),
            faults: Faults::default(),
        }));
        let service = PlatformService { state: state.clone() };
        Ok(Self { server: HttpServer::bind(addr, THREADS, Box::new(service))?, state })
    }

    /// Returns the address that the platform listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns the URL of the store and of the host list.
    pub fn url(&self) -> String {
        format!("http://{}", self.addr())
    }

    /// Adds hosts to the list, or replaces those of the same worker.
    pub fn add_hosts(&self, hosts: Vec<Host>) {
        let now = self.server.now();
        let mut state = lock(&self.state);
        for host in hosts {
            state.hosts.add(host, now);
        }
    }

    /// Marks a host as about to leave.
    pub fn leave(&self, worker: &WorkerId) {
        lock(&self.state).hosts.leave(worker, self.server.now());
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: Faults) {
        lock(&self.state).faults = faults;
    }

    /// Returns the number of store calls by kind.
    pub fn counts(&self) -> CallCounts {
        lock(&self.state).store.counts()
    }

    /// Stops the platform; connections are refused from then on.
    pub fn stop(self) {
        self.server.stop();
    }
}

/// Returns the first revision of the host list: the wall clock in milliseconds, since a restarted
/// platform must not reuse the revisions of its predecessor's list.
fn first_revision() -> Revision {
    // A clock before 1970 counts as 0.
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Revision(wall.as_millis() as u64)
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().expect("no thread panics while holding the lock")
}

impl Service for PlatformService {
    fn handle(&self, method: &Method, path: &str, body: String, now: Moment) -> Reply {
        match (method, path) {
            (Method::Post, "/kv") => self.with_faults(now, || self.store(&body, now)),
            (Method::Get, path) if path == "/hosts" || path.starts_with("/hosts?") => {
                let after = path.strip_prefix("/hosts?after=").and_then(|text| text.parse().ok());
                let after = after.map(Revision);
                let list = || Reply::json(&lock(&self.state).hosts.handle_after(after, now));
                self.with_faults(now, list)
            }
            (Method::Get, "/admin/calls") => Reply::json(&lock(&self.state).store.counts()),
            (Method::Post, path) if path.starts_with("/admin/") => {
                self.admin(path, &body, now).unwrap_or_else(|reply| reply)
            }
            _ => Reply::error(404, "no such path"),
        }
    }

    fn retry(&self, body: &str, now: Moment) -> Reply {
        let watch: WaitingWatch =
            serde_json::from_str(body).expect("a waiting watch was serialized by this service");
        let StoreRequest::Watch { key, after, .. } = &watch.request else {
            unreachable!("only watches wait");
        };
        let mut state = lock(&self.state);
        state.store.expire(now);
        let down = state.faults.down || state.faults.mute;
        if down || (now < watch.until && !state.store.changed(key, *after)) {
            return Reply::Wait(body.to_string());
        }
        Reply::json(&state.store.answer_watch(key))
    }

    fn tick(&self, now: Moment) {
        lock(&self.state).store.expire(now);
    }
}

impl PlatformService {
    fn with_faults(&self, now: Moment, serve: impl FnOnce() -> Reply) -> Reply {
        let faults = lock(&self.state).faults;
        if faults.down {
            return Reply::error(503, "down");
        }
        if faults.loses_request() {
            return Reply::Lost;
        }
        let reply = serve();
        if faults.loses_reply() {
            return Reply::Lost;
        }
        reply.delayed((faults.slow_ms > 0).then(|| now + Span(faults.slow_ms)))
    }

    fn store(&self, body: &str, now: Moment) -> Reply {
        let request: StoreRequest = match parse(body) {
            Ok(request) => request,
            Err(reply) => return reply,
        };
        if let StoreRequest::Put { value, .. } = &request
            && value.len() > VALUE_MAX_BYTES
        {
            return Reply::error(413, "the value is over a megabyte");
        }
        let mut state = lock(&self.state);
        let reply = state.store.handle(&request, now);
        let StoreRequest::Watch { key, after, wait } = &request else { return Reply::json(&reply) };
        let limited = matches!(reply, StoreReply::Limited { .. });
        if limited || state.store.changed(key, *after) {
            return Reply::json(&reply);
        }
        let watch = WaitingWatch { until: now + *wait, request };
        Reply::Wait(serde_json::to_string(&watch).expect("watches serialize to JSON"))
    }

    fn admin(&self, path: &str, body: &str, now: Moment) -> Result<Reply, Reply> {
        let mut state = lock(&self.state);
        match path {
            "/admin/fault" => state.faults = parse(body)?,
            "/admin/hosts" => {
                let AdminHosts { hosts } = parse(body)?;
                hosts.into_iter().for_each(|host| state.hosts.add(host, now));
            }
            "/admin/leave" => {
                let AdminWorker { worker } = parse(body)?;
                state.hosts.leave(&worker, now);
            }
            "/admin/remove" => {
                let AdminWorker { worker } = parse(body)?;
                state.hosts.remove(&worker, now);
            }
            _ => return Err(Reply::error(404, "no such path")),
        }
        Ok(Reply::json(&serde_json::json!({ "done": true })))
    }
}
