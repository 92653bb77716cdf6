//! HTTP server of the emulated platform: one address for the store and one for each worker.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bulrushlink_core::{Error, Moment, RackId, WorkerId};
use bulrushlink_fleet::{
    Allotment, EndCause, FencingToken, Resources, Run, StartRefusal, TaskId, WorkerEntry, WorkerOp,
    WorkerReply, WorkerState,
};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use tiny_http::Method;

use super::ceilings::{Addition, CeilingLog};
use super::crashes::Crashes;
use super::keys::{CommitRefusal, KeyChange, KeyValues};
use super::texts::{
    WORKSPACE, allotted_configuration, configuration, crash_delay, decode_op, entry_body,
    item_body, large_configuration, parse_spec, query_number, query_param, string_field,
};
use super::worker::{FleetRun, FleetWorker, FleetWorkerBounds};
use crate::http::{HttpServer, Reply, Service};

/// Threads that answer requests at the address of each worker; the store has four times as many.
const THREADS: usize = 2;
/// Largest number of items in one page of the store.
const PAGE_ITEMS: usize = 500;
/// Birth time of the workers' first boots, in milliseconds since 1970.
const FIRST_BORN_MS: u64 = 1_800_000_000_000;
/// Time for which a replaced configuration may still be in force: `revoke_ms` of the tests' settings.
const CONFIGURATION_GRACE_MS: u64 = 5_000;
/// Time for which a member of a gang waits for the others, in milliseconds.
const GANG_WAIT_MS: u64 = 3_000;

/// Options of the emulator.
#[derive(Clone, Copy, Debug)]
pub struct EmulatorOptions {
    /// Number of workers.
    pub workers: usize,
    /// Resources of each worker.
    pub capacity: Resources,
    /// Limits that the workers enforce.
    pub bounds: FleetWorkerBounds,
}

/// State of the whole emulated platform.
struct World {
    keys: KeyValues,
    workers: Vec<FleetWorker>,
    bounds: FleetWorkerBounds,
    /// Gang runs with a member that has ended as done; the other members then end as done too.
    done_gangs: Vec<(TaskId, Run)>,
    /// All starts that were carried out, in order.
    starts: Vec<(TaskId, Run)>,
    /// Tasks whose end as done was acknowledged, sorted.
    acked_done: Vec<TaskId>,
    /// Violations of the rules of starts, as text.
    violations: Vec<String>,
    crashes: Crashes,
    /// Ceilings of the only workspace.
    ceilings: CeilingLog,
    /// Whether the store answers every call with 503.
    down: bool,
    /// Time up to which the simulation has advanced.
    now: u64,
}

type Shared = Arc<Mutex<World>>;

/// A running emulator.
pub struct Emulator {
    world: Shared,
    store: HttpServer,
    workers: Vec<HttpServer>,
}

struct StoreService(Shared);

struct WorkerService {
    world: Shared,
    /// Index of the worker in `World::workers`.
    index: usize,
}

impl Emulator {
    /// Starts the store and the workers on ports that the operating system assigns.
    ///
    /// # Errors
    ///
    /// `Unreachable` if an address can't be bound.
    pub fn spawn(options: EmulatorOptions) -> Result<Self, Error> {
        let world = World {
            keys: KeyValues::default(),
            workers: Vec::new(),
            bounds: options.bounds,
            done_gangs: Vec::new(),
            starts: Vec::new(),
            acked_done: Vec::new(),
            violations: Vec::new(),
            crashes: Crashes::default(),
            ceilings: CeilingLog::default(),
            down: false,
            now: 0,
        };
        let world = Arc::new(Mutex::new(world));
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        let store = HttpServer::bind(any, 4 * THREADS, Box::new(StoreService(world.clone())))?;
        let mut emulator = Self { world, store, workers: Vec::new() };
        for _ in 0..options.workers {
            emulator.add_worker(options.capacity)?;
        }
        Ok(emulator)
    }

    /// Starts another worker, which registers itself.
    ///
    /// # Errors
    ///
    /// `Unreachable` if an address can't be bound.
    pub fn add_worker(&mut self, capacity: Resources) -> Result<(), Error> {
        let index = self.workers.len();
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        let service = WorkerService { world: self.world.clone(), index };
        let server = HttpServer::bind(any, THREADS, Box::new(service))?;
        let entry = worker_entry(index, server.addr(), capacity)?;
        let mut world = self.lock();
        let now = world.now;
        world.workers.push(FleetWorker::new(entry, now, 1_000));
        world.publish();
        drop(world);
        self.workers.push(server);
        Ok(())
    }

    /// Returns the store's address.
    pub fn store(&self) -> SocketAddr {
        self.store.addr()
    }

    /// Writes a configuration with one workspace and its API keys, as operators do.
    pub fn configure(&self, version: u64, keys: &[&str]) {
        self.lock().configure(&configuration(version, keys), Allotment::default());
    }

    /// Writes a configuration as [`Self::configure`] does, with a weight and a ceiling of the workspace.
    pub fn configure_allotment(&self, version: u64, keys: &[&str], allotment: Allotment) {
        let text = allotted_configuration(version, keys, &allotment);
        self.lock().configure(&text, allotment);
    }

    /// Writes a configuration as [`Self::configure`] does, with further queues that nobody uses;
    /// each takes about 250 bytes.
    pub fn configure_large(&self, version: u64, keys: &[&str], idle_queues: usize) {
        let text = large_configuration(version, keys, idle_queues);
        self.lock().configure(&text, Allotment::default());
    }

    /// Registers a worker whose entry can't be decoded.
    pub fn register_undecodable_worker(&self) {
        self.write("servers/i-rubbish", vec![0xff, 0x00, 0x7b]);
    }

    /// Writes a key of the store as a writer other than the daemons does.
    pub fn write(&self, key: &str, value: Vec<u8>) {
        self.lock().keys.put(key, value);
    }

    /// Removes a key of the store as a writer other than the daemons does.
    pub fn remove(&self, key: &str) {
        self.lock().keys.delete(key);
    }

    /// Sets whether the store rejects every call with 503.
    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
    }

    /// Registers another address for a worker, such as that of a proxy.
    pub fn advertise(&self, worker: usize, addr: SocketAddr) {
        let mut world = self.lock();
        world.workers[worker].entry.addr = addr;
        world.publish();
    }

    /// Returns the actual address of a worker.
    pub fn worker(&self, worker: usize) -> SocketAddr {
        self.workers[worker].addr()
    }

    /// Crashes a worker and restarts it under the same identifier.
    pub fn reboot(&self, worker: usize) {
        let mut world = self.lock();
        let now = world.now;
        let World { workers, crashes, .. } = &mut *world;
        crashes.record_crash(&workers[worker]);
        workers[worker].reboot(now);
        world.publish();
    }

    /// Changes the capacity of a worker, which its entry shows with the next heartbeat.
    pub fn resize(&self, worker: usize, capacity: Resources) {
        let mut world = self.lock();
        let now = world.now;
        world.workers[worker].resize(now, capacity);
    }

    /// Sets the rate of a worker's clock, in thousandths of real time. A reboot has to follow,
    /// since the clock jumps otherwise.
    pub fn set_clock_rate(&self, worker: usize, clock_rate: u64) {
        self.lock().workers[worker].clock_rate = clock_rate;
    }

    /// Expires all leases of the store at once.
    pub fn expire_leases(&self) {
        self.lock().keys.expire_all();
    }

    /// Drops the store's history, so that watches have to restart from a full read.
    pub fn compact(&self) {
        self.lock().keys.compact();
    }

    /// Returns every start that was carried out, in order.
    pub fn starts(&self) -> Vec<(TaskId, Run)> {
        self.lock().starts.clone()
    }

    /// Returns the violations of the rules of starts: a task that ran twice at a time, or again
    /// after its end was acknowledged, or that brought its worker over its capacity or its workspace
    /// over its ceiling.
    pub fn violations(&self) -> Vec<String> {
        self.lock().violations.clone()
    }

    /// Returns how many workers have crashed under a task of a job, for the task with the most.
    pub fn max_crashes(&self, job: u64) -> u32 {
        self.lock().crashes.max_count(job)
    }

    /// Returns the value of a key of the store as text, such as the holder of the leader key.
    pub fn value(&self, key: &str) -> Option<String> {
        let world = self.lock();
        world.keys.get(key).map(|v| String::from_utf8_lossy(&v.bytes).into_owned())
    }

    /// Stops all servers.
    pub fn stop(self) {
        self.store.stop();
        self.workers.into_iter().for_each(HttpServer::stop);
    }

    fn lock(&self) -> MutexGuard<'_, World> {
        self.world.lock().expect("no thread panics while holding the lock")
    }
}

fn worker_entry(at: usize, addr: SocketAddr, capacity: Resources) -> Result<WorkerEntry, Error> {
    let rack = format!("r1-{}", at / 8);
    Ok(WorkerEntry {
        id: format!("i-{at:04}").parse::<WorkerId>()?,
        born: FIRST_BORN_MS,
        endpoint: "dispatch".to_string(),
        addr,
        domain: "east".parse()?,
        state: WorkerState::Ready,
        notice: None,
        capacity,
        rack: rack.parse::<RackId>().ok(),
        labels: vec!["a".to_string(), rack],
    })
}

impl World {
    /// Writes a configuration, with what it allots to the workspace.
    fn configure(&mut self, text: &Value, allotment: Allotment) {
        self.keys.put("op/config", text.to_string().into_bytes());
        let workspace = WORKSPACE.parse().expect("a valid name");
        self.ceilings.record(self.now, vec![(workspace, allotment.ceiling)]);
    }

    /// Writes the entries of all workers to the store.
    fn publish(&mut self) {
        let entries: Vec<(String, Value)> = self
            .workers
            .iter()
            .enumerate()
            .filter(|(index, _)| !self.crashes.is_down(*index))
            .map(|(_, w)| (format!("servers/{}", w.entry.id), entry_body(w)))
            .collect();
        for (key, value) in entries {
            self.keys.put(&key, value.to_string().into_bytes());
        }
    }

    /// Advances the simulation to `now`: leases expire and runs end.
    fn advance(&mut self, now: u64) {
        self.now = self.now.max(now);
        self.keys.expire(now);
        let shown = self.workers.iter_mut().filter_map(|w| w.pass_heartbeat(now).then_some(()));
        let resized = shown.count() > 0;
        if self.crashes.advance(&mut self.workers, now) || resized {
            self.publish();
        }
        for index in 0..self.workers.len() {
            if self.workers[index].clock(now) > self.workers[index].lease_end {
                while !self.workers[index].runs.is_empty() {
                    self.end(index, 0, EndCause::Lapsed);
                }
            }
            let mut run = 0;
            while run < self.workers[index].runs.len() {
                match self.end_cause(&self.workers[index].runs[run], now) {
                    Some(cause) => self.end(index, run, cause),
                    None => run += 1,
                }
            }
        }
    }

    /// Returns why a run ends at `now`, or `None` if it goes on.
    fn end_cause(&self, run: &FleetRun, now: u64) -> Option<EndCause> {
        if run.stop_at.is_some_and(|s| s <= now) {
            return Some(EndCause::Stopped);
        }
        let step = TaskId { index: 0, ..run.task };
        if run.gang && self.done_gangs.contains(&(step, run.run)) {
            return Some(EndCause::Done);
        }
        let incomplete = run.gang && self.count_members(run) < run.worked;
        if incomplete {
            return (now > run.started + GANG_WAIT_MS).then_some(EndCause::Alone);
        }
        (now >= run.started + run.length).then_some(EndCause::Done)
    }

    /// Counts the active members of a gang run. `worked` of each member holds the gang size.
    fn count_members(&self, run: &FleetRun) -> u64 {
        let step = |t: &TaskId| (t.job, t.round, t.step);
        let same = |r: &&FleetRun| step(&r.task) == step(&run.task) && r.run == run.run;
        self.workers.iter().map(|w| w.runs.iter().filter(same).count() as u64).sum()
    }

    fn end(&mut self, index: usize, run: usize, cause: EndCause) {
        let ended = self.workers[index].end(run, cause);
        let step = TaskId { index: 0, ..ended.task };
        if cause == EndCause::Done && ended.gang {
            self.done_gangs.push((step, ended.run));
        }
    }

    /// Carries out a call to a worker; returns the worker's clock and its reply.
    fn execute(&mut self, index: usize, token: u64, op: &WorkerOp, now: u64) -> (u64, WorkerReply) {
        let bounds = self.bounds;
        let new_run = |task: TaskId, run: Run, _: &str| {
            let spec = match op {
                WorkerOp::Start { text, .. } => text.as_str(),
                _ => "",
            };
            let (length, gang, need) = parse_spec(spec);
            let worked = u64::from(gang);
            FleetRun {
                task,
                run,
                need,
                started: now,
                worked,
                length,
                gang: gang > 0,
                saves: true,
                stop_at: None,
            }
        };
        let before = self.workers[index].ends.clone();
        let (reply, started) =
            self.workers[index].call(now, FencingToken(token), op, new_run, &bounds);
        let unacked = &self.workers[index].ends;
        for end in before.iter().filter(|e| e.cause == EndCause::Done && !unacked.contains(e)) {
            if let Err(position) = self.acked_done.binary_search(&end.task) {
                self.acked_done.insert(position, end.task);
            }
        }
        if let Some((task, run)) = started {
            let active_runs = |w: &FleetWorker| w.runs.iter().filter(|r| r.task == task).count();
            if self.workers.iter().map(active_runs).sum::<usize>() > 1 {
                self.violations.push(format!("{task} runs twice"));
            }
            if self.acked_done.binary_search(&task).is_ok() {
                self.violations.push(format!("{task} runs though it is known to be done"));
            }
            if let Some(used) = self.workers[index].excessive_use(now, op, &bounds) {
                let text = format!("{task} brings worker {index} over its capacity: {used:?}");
                self.violations.push(text);
            }
            let sent = self.workers[index].sent_at(now, op, &bounds);
            let used = self.workers.iter().fold(Resources::default(), |s, w| s.plus(&w.used()));
            let need = self.workers[index].runs.last().map_or(Resources::default(), |r| r.need);
            let start = Addition { sent, need, used };
            let workspace = WORKSPACE.parse().expect("a valid name");
            if let Some(ceiling) = self.ceilings.broken(&workspace, &start, CONFIGURATION_GRACE_MS)
            {
                let text = format!("{task} brings {workspace} to {used:?}, over {ceiling:?}");
                self.violations.push(text);
            }
            self.starts.push((task, run));
            let crash = match op {
                WorkerOp::Start { text, .. } => crash_delay(text),
                _ => None,
            };
            let born = self.workers[index].entry.born;
            self.violations.extend(self.crashes.record_start(task, index, born, now, crash));
        }
        (self.workers[index].clock(now), reply)
    }
}

fn bad_request(what: &str) -> Reply {
    Reply::error(400, what)
}

impl StoreService {
    fn lock(&self) -> MutexGuard<'_, World> {
        self.0.lock().expect("no thread panics while holding the lock")
    }

    fn range(world: &World, path: &str) -> Reply {
        // Without a prefix, all keys are listed.
        let prefix = query_param(path, "prefix").unwrap_or_default();
        let after = query_param(path, "after");
        let (items, more) = world.keys.list(&prefix, after.as_deref(), PAGE_ITEMS);
        let items: Vec<Value> = items.iter().map(item_body).collect();
        Reply::json(&json!({ "items": items, "truncated": more, "asOf": world.keys.rev() }))
    }

    fn key(world: &World, path: &str) -> Reply {
        let key = query_param(path, "key").unwrap_or_default();
        let mut body = match world.keys.get(&key) {
            Some(item) => item_body(item),
            None => return Reply::Now(404, json!({ "asOf": world.keys.rev() }).to_string()),
        };
        body["asOf"] = json!(world.keys.rev());
        Reply::json(&body)
    }

    /// Answers a watch, or lets it wait for a change until the time `until`.
    fn watch(world: &World, prefix: &str, after: u64, until: u64, now: u64) -> Reply {
        let Some(changes) = world.keys.changes(prefix, after) else {
            return Reply::error(410, "this history is gone");
        };
        if changes.is_empty() && now < until {
            return Reply::Wait(json!([prefix, after, until]).to_string());
        }
        let event = |change: &KeyChange| match change {
            KeyChange::Written(item) => item_body(item),
            KeyChange::Removed(key, rev) => json!({ "key": key, "rev": rev, "deleted": true }),
        };
        let events: Vec<Value> = changes.iter().map(event).collect();
        Reply::json(&json!({ "events": events, "asOf": world.keys.rev() }))
    }

    fn commit(world: &mut World, body: &Value) -> Reply {
        // Each list of a transaction may be absent.
        let entries = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let expect: Vec<(String, u64)> = entries("expect")
            .iter()
            .map(|r| (string_field(r, "key"), r["rev"].as_u64().unwrap_or(0)))
            .collect();
        let mut writes = Vec::new();
        for row in entries("writes") {
            let Ok(bytes) = STANDARD.decode(string_field(&row, "value")) else {
                return bad_request("base64");
            };
            let key = string_field(&row, "key");
            if key.starts_with("op/") || key.starts_with("servers/") {
                return Reply::error(403, "this key is not the system's");
            }
            writes.push((key, bytes, row["lease"].as_u64().filter(|l| *l > 0)));
        }
        let removes: Vec<String> =
            entries("remove").iter().filter_map(|k| k.as_str().map(str::to_string)).collect();
        if expect.len() + writes.len() + removes.len() > 32 {
            return bad_request("more than 32 entries");
        }
        match world.keys.commit(&expect, &writes, &removes) {
            Ok(rev) => Reply::json(&json!({ "rev": rev })),
            Err(CommitRefusal::NoLease) => Reply::error(404, "no such lease"),
            Err(CommitRefusal::Conflict) => {
                let known = expect.iter().filter_map(|(key, _)| world.keys.get(key));
                let items: Vec<Value> = known.map(item_body).collect();
                Reply::Now(412, json!({ "items": items }).to_string())
            }
        }
    }
}

impl Service for StoreService {
    fn handle(&self, method: &Method, path: &str, body: String, now: Moment) -> Reply {
        let mut world = self.lock();
        world.advance(now.0);
        if world.down {
            return Reply::error(503, "the store is down");
        }
        let path_only = path.split('?').next().unwrap_or(path);
        let parsed = || serde_json::from_str::<Value>(&body);
        match (method, path_only) {
            (Method::Get, "/api/kv-key") => Self::key(&world, path),
            (Method::Get, "/api/kv-range") => Self::range(&world, path),
            (Method::Get, "/api/kv-watch") => {
                let prefix = query_param(path, "prefix").unwrap_or_default();
                let until = now.0 + query_number(path, "waitMs");
                Self::watch(&world, &prefix, query_number(path, "after"), until, now.0)
            }
            (Method::Post, "/api/kv-txn") => match parsed() {
                Ok(body) => Self::commit(&mut world, &body),
                Err(_) => bad_request("not JSON"),
            },
            (Method::Post, "/api/kv-lease") => {
                let ttl = parsed().ok().and_then(|b| b["ttlMs"].as_u64()).unwrap_or(1_000);
                let id = world.keys.open_lease(now.0, ttl);
                Reply::json(&json!({ "lease": id, "ttlMs": ttl }))
            }
            (Method::Post, other) if other.starts_with("/api/kv-keep/") => {
                let id = other.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
                match world.keys.renew_lease(now.0, id) {
                    Some(ttl) => Reply::json(&json!({ "ttlMs": ttl })),
                    None => Reply::error(404, "no such lease"),
                }
            }
            (Method::Delete, other) if other.starts_with("/api/kv-lease-end/") => {
                let id = other.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
                world.keys.end_lease(id);
                Reply::json(&json!({}))
            }
            _ => Reply::error(404, "no such call"),
        }
    }

    fn retry(&self, body: &str, now: Moment) -> Reply {
        let world = self.lock();
        if world.down {
            return Reply::error(503, "the store is down");
        }
        let Ok((prefix, after, until)) = serde_json::from_str::<(String, u64, u64)>(body) else {
            return bad_request("a waiting watch that can't be read");
        };
        Self::watch(&world, &prefix, after, until, now.0)
    }

    fn tick(&self, now: Moment) {
        self.lock().advance(now.0);
    }
}

impl WorkerService {
    fn lock(&self) -> MutexGuard<'_, World> {
        self.world.lock().expect("no thread panics while holding the lock")
    }

    fn lists(world: &World, index: usize, now: u64) -> Reply {
        let WorkerReply::Lists { born, running, ended } = world.workers[index].lists() else {
            return bad_request("no lists");
        };
        let running: Vec<Value> = running
            .iter()
            .map(|r| json!([r.task.to_string(), r.run.0, r.saved, r.percent.min(100)]))
            .collect();
        let ended: Vec<Value> = ended
            .iter()
            .map(|e| json!([e.number, e.task.to_string(), e.run.0, e.cause.to_string(), e.saved]))
            .collect();
        let clock = world.workers[index].clock(now);
        Reply::json(&json!({
            "clockMs": clock, "born": born, "running": running, "finished": ended,
        }))
    }
}

impl Service for WorkerService {
    fn handle(&self, _: &Method, path: &str, body: String, now: Moment) -> Reply {
        let mut world = self.lock();
        world.advance(now.0);
        if world.crashes.is_down(self.index) {
            return Reply::Lost;
        }
        let Ok(body) = serde_json::from_str::<Value>(&body) else { return bad_request("not JSON") };
        let Some(op) = decode_op(path, &body) else { return bad_request("no such order") };
        let token = body["fencingToken"].as_u64().unwrap_or(0);
        let (clock, reply) = world.execute(self.index, token, &op, now.0);
        match (op, reply) {
            (_, WorkerReply::Refused(refusal)) => {
                let reason = match refusal {
                    StartRefusal::Fenced => "fence",
                    StartRefusal::OldRun => "old",
                    StartRefusal::LeaseOver => "late",
                    _ => "room",
                };
                Reply::Now(409, json!({ "clockMs": clock, "reason": reason }).to_string())
            }
            (WorkerOp::Hold { wait, .. }, _) => {
                let until = now.0 + wait.millis();
                drop(world);
                self.retry(&until.to_string(), now)
            }
            _ => Reply::json(&json!({ "clockMs": clock })),
        }
    }

    fn retry(&self, body: &str, now: Moment) -> Reply {
        let world = self.lock();
        let until: u64 = body.parse().unwrap_or(0);
        if world.crashes.is_down(self.index) {
            return Reply::Lost;
        }
        if world.workers[self.index].ends.is_empty() && now.0 < until {
            return Reply::Wait(body.to_string());
        }
        Self::lists(&world, self.index, now.0)
    }

    fn tick(&self, _: Moment) {}
}
