//! The platform on its wire: one address for the store and one for each worker.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bulrushlink_core::{Error, Moment, RackId, WorkerId};
use bulrushlink_fleet::{
    EndCause, FencingToken, Resources, Run, StartRefusal, TaskId, WorkerEntry, WorkerOp,
    WorkerReply, WorkerState,
};
use percent_encoding::percent_decode_str;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use tiny_http::Method;

use super::keys::{CommitRefusal, KeyChange, KeyValue, KeyValues};
use super::texts::configuration;
use super::worker::{FleetRun, FleetWorker, FleetWorkerBounds};
use crate::http::{HttpServer, Reply, Service};

/// Threads that answer requests at each address.
const THREADS: usize = 2;
/// Items in one page of the store.
const PAGE_ITEMS: usize = 500;
/// Start of the workers' first boots, in milliseconds since 1970.
const BORN: u64 = 1_800_000_000_000;
/// Time that a member of a gang waits for the others, in milliseconds.
const GANG_MS: u64 = 3_000;

/// What the emulator offers.
#[derive(Clone, Copy, Debug)]
pub struct EmulatorOptions {
    /// Number of workers.
    pub workers: usize,
    /// What each has.
    pub capacity: Resources,
    /// Bounds that they keep.
    pub bounds: FleetWorkerBounds,
}

struct World {
    keys: KeyValues,
    workers: Vec<FleetWorker>,
    bounds: FleetWorkerBounds,
    /// Runs of gangs of which a member has ended well.
    finished: Vec<(TaskId, Run)>,
    /// Every start that was carried out.
    starts: Vec<(TaskId, Run)>,
    /// Tasks of which a good end was acknowledged, sorted.
    noted: Vec<TaskId>,
    breaches: Vec<String>,
    /// Calls to the store are turned away.
    down: bool,
    /// The time up to which everything has gone on.
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
    at: usize,
}

impl Emulator {
    /// Starts the store and the workers on ports that the system picks.
    ///
    /// # Errors
    ///
    /// `Unreachable` when an address can't be bound.
    pub fn spawn(options: EmulatorOptions) -> Result<Self, Error> {
        let world = World {
            keys: KeyValues::default(),
            workers: Vec::new(),
            bounds: options.bounds,
            finished: Vec::new(),
            starts: Vec::new(),
            noted: Vec::new(),
            breaches: Vec::new(),
            down: false,
            now: 0,
        };
        let world = Arc::new(Mutex::new(world));
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        let store = HttpServer::bind(any, 4 * THREADS, Box::new(StoreService(world.clone())))?;
        let mut workers = Vec::new();
        for at in 0..options.workers {
            let service = WorkerService { world: world.clone(), at };
            let server = HttpServer::bind(any, THREADS, Box::new(service))?;
            let worker = FleetWorker::new(entry(at, server.addr(), options.capacity)?, 0, 1_000);
            world.lock().expect("no holder panics").workers.push(worker);
            workers.push(server);
        }
        let emulator = Self { world, store, workers };
        emulator.lock().publish();
        Ok(emulator)
    }

    /// Returns the store's address.
    pub fn store(&self) -> SocketAddr {
        self.store.addr()
    }

    /// Puts a configuration with one workspace and these keys of it in force, as operators do.
    pub fn configure(&self, version: u64, keys: &[&str]) {
        let text = configuration(version, keys).to_string();
        self.lock().keys.put("op/config", text.into_bytes());
    }

    /// Registers a worker by bytes that nobody can read.
    pub fn register_rubbish(&self) {
        self.lock().keys.put("servers/i-rubbish", vec![0xff, 0x00, 0x7b]);
    }

    /// Turns calls to the store away, or serves them again.
    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
    }

    /// Lets others reach a worker at another address than its own, such as a proxy's.
    pub fn announce(&self, worker: usize, addr: SocketAddr) {
        let mut world = self.lock();
        world.workers[worker].entry.addr = addr;
        world.publish();
    }

    /// Returns the address of a worker itself.
    pub fn worker(&self, worker: usize) -> SocketAddr {
        self.workers[worker].addr()
    }

    /// Crashes a worker, and starts it again under the same identifier.
    pub fn reboot(&self, worker: usize) {
        let mut world = self.lock();
        let now = world.now;
        world.workers[worker].reboot(now);
        world.publish();
    }

    /// Lets a worker's clock run at so many thousandths of its usual speed from its next boot on.
    pub fn set_pace(&self, worker: usize, pace: u64) {
        self.lock().workers[worker].pace = pace;
    }

    /// Ends all leases of the store at once.
    pub fn lapse_leases(&self) {
        self.lock().keys.lapse_all();
    }

    /// Drops the store's history, so that watches have to begin again.
    pub fn compact(&self) {
        self.lock().keys.compact();
    }

    /// Returns every start that was carried out, in order.
    pub fn starts(&self) -> Vec<(TaskId, Run)> {
        self.lock().starts.clone()
    }

    /// Returns what broke the workers' rules.
    pub fn breaches(&self) -> Vec<String> {
        self.lock().breaches.clone()
    }

    /// Tells which daemon holds a key of the store.
    pub fn value(&self, key: &str) -> Option<String> {
        let world = self.lock();
        world.keys.get(key).map(|v| String::from_utf8_lossy(&v.bytes).into_owned())
    }

    /// Stops serving.
    pub fn stop(self) {
        self.store.stop();
        self.workers.into_iter().for_each(HttpServer::stop);
    }

    fn lock(&self) -> MutexGuard<'_, World> {
        self.world.lock().expect("no holder panics")
    }
}

fn entry(at: usize, addr: SocketAddr, capacity: Resources) -> Result<WorkerEntry, Error> {
    let rack = format!("r1-{}", at / 8);
    Ok(WorkerEntry {
        id: format!("i-{at:04}").parse::<WorkerId>()?,
        born: BORN,
        endpoint: "dispatch".to_string(),
        addr,
        domain: "east".parse()?,
        state: WorkerState::Ready,
        capacity,
        rack: rack.parse::<RackId>().ok(),
        labels: vec!["a".to_string(), rack],
    })
}

/// Length and gang of a run, told by the job's text: `ms=500 gang=4`.
fn shape(text: &str) -> (u64, u32) {
    let find = |name: &str| text.split(' ').find_map(|w| w.strip_prefix(name)?.parse().ok());
    (find("ms=").unwrap_or(100), find("gang=").unwrap_or(0) as u32)
}

impl World {
    fn publish(&mut self) {
        let entries: Vec<(String, Value)> = self
            .workers
            .iter()
            .map(|w| (format!("servers/{}", w.entry.id), entry_body(&w.entry)))
            .collect();
        for (key, value) in entries {
            self.keys.put(&key, value.to_string().into_bytes());
        }
    }

    /// Lets the runs go on until `now`.
    fn advance(&mut self, now: u64) {
        self.now = self.now.max(now);
        self.keys.expire(now);
        for at in 0..self.workers.len() {
            if self.workers[at].clock(now) > self.workers[at].lease_end {
                while !self.workers[at].runs.is_empty() {
                    self.end(at, 0, EndCause::Lapsed);
                }
            }
            let mut run = 0;
            while run < self.workers[at].runs.len() {
                match self.over(&self.workers[at].runs[run], now) {
                    Some(cause) => self.end(at, run, cause),
                    None => run += 1,
                }
            }
        }
    }

    fn over(&self, run: &FleetRun, now: u64) -> Option<EndCause> {
        if run.stops.is_some_and(|s| s <= now) {
            return Some(EndCause::Stopped);
        }
        let step = TaskId { index: 0, ..run.task };
        if run.gang && self.finished.contains(&(step, run.run)) {
            return Some(EndCause::Done);
        }
        let waits = run.gang && self.members(run) < run.worked;
        if waits {
            return (now > run.began + GANG_MS).then_some(EndCause::Alone);
        }
        (now >= run.began + run.length).then_some(EndCause::Done)
    }

    /// Counts the members of a gang's run. `worked` of a member holds how many there have to be.
    fn members(&self, run: &FleetRun) -> u64 {
        let step = |t: &TaskId| (t.job, t.round, t.step);
        let same = |r: &&FleetRun| step(&r.task) == step(&run.task) && r.run == run.run;
        self.workers.iter().map(|w| w.runs.iter().filter(same).count() as u64).sum()
    }

    fn end(&mut self, at: usize, run: usize, cause: EndCause) {
        let ended = self.workers[at].end(run, cause);
        let step = TaskId { index: 0, ..ended.task };
        if cause == EndCause::Done && ended.gang {
            self.finished.push((step, ended.run));
        }
    }

    fn order(&mut self, at: usize, token: u64, op: &WorkerOp, now: u64) -> (u64, WorkerReply) {
        let bounds = self.bounds;
        let make = |task: TaskId, run: Run, _: &str| {
            let text = match op {
                WorkerOp::Start { text, .. } => text.as_str(),
                _ => "",
            };
            let (length, gang) = shape(text);
            let need = Resources::default();
            let worked = u64::from(gang);
            FleetRun { task, run, need, began: now, worked, length, gang: gang > 0, stops: None }
        };
        let listed = self.workers[at].ends.clone();
        let (reply, started) = self.workers[at].call(now, FencingToken(token), op, make, &bounds);
        let kept = &self.workers[at].ends;
        for end in listed.iter().filter(|e| e.cause == EndCause::Done && !kept.contains(e)) {
            if let Err(at) = self.noted.binary_search(&end.task) {
                self.noted.insert(at, end.task);
            }
        }
        if let Some((task, run)) = started {
            let elsewhere = |w: &FleetWorker| w.runs.iter().filter(|r| r.task == task).count();
            if self.workers.iter().map(elsewhere).sum::<usize>() > 1 {
                self.breaches.push(format!("{task} runs twice"));
            }
            if self.noted.binary_search(&task).is_ok() {
                self.breaches.push(format!("{task} runs though it is known to be done"));
            }
            self.starts.push((task, run));
        }
        (self.workers[at].clock(now), reply)
    }
}

fn entry_body(entry: &WorkerEntry) -> Value {
    json!({
        "service": entry.endpoint, "address": entry.addr.to_string(),
        "zone": entry.domain, "version": "v1", "slots": 8,
        "state": if entry.state == WorkerState::Ready { "ready" } else { "draining" },
        "coldRemainingMs": 0, "labels": entry.labels, "born": entry.born, "seq": 1,
        "capacity": {
            "cpu": entry.capacity.cpu, "memMb": entry.capacity.memory,
            "gpu": entry.capacity.accelerators,
        },
    })
}

fn item_body(item: &KeyValue) -> Value {
    json!({
        "key": item.key, "value": STANDARD.encode(&item.bytes), "rev": item.rev,
        "created": item.created, "lease": item.lease.unwrap_or(0),
    })
}

/// Takes a parameter out of a query.
fn param(path: &str, name: &str) -> Option<String> {
    let (_, query) = path.split_once('?')?;
    let value = query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('='))?;
    percent_decode_str(value).decode_utf8().ok().map(|v| v.into_owned())
}

fn number(path: &str, name: &str) -> u64 {
    param(path, name).and_then(|v| v.parse().ok()).unwrap_or(0)
}

fn text(value: &Value, name: &str) -> String {
    value[name].as_str().unwrap_or("").to_string()
}

fn bad(what: &str) -> Reply {
    Reply::error(400, what)
}

impl StoreService {
    fn lock(&self) -> MutexGuard<'_, World> {
        self.0.lock().expect("no holder panics")
    }

    fn range(world: &World, path: &str) -> Reply {
        // Without a prefix everything is listed.
        let prefix = param(path, "prefix").unwrap_or_default();
        let after = param(path, "after");
        let (items, more) = world.keys.list(&prefix, after.as_deref(), PAGE_ITEMS);
        let items: Vec<Value> = items.iter().map(item_body).collect();
        Reply::json(&json!({ "items": items, "truncated": more, "asOf": world.keys.rev() }))
    }

    fn key(world: &World, path: &str) -> Reply {
        let key = param(path, "key").unwrap_or_default();
        let mut body = match world.keys.get(&key) {
            Some(item) => item_body(item),
            None => return Reply::Now(404, json!({ "asOf": world.keys.rev() }).to_string()),
        };
        body["asOf"] = json!(world.keys.rev());
        Reply::json(&body)
    }

    /// Answers a watch; `until` is when it is answered without a change.
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
        // A transaction may leave out any of its lists.
        let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let expect: Vec<(String, u64)> = rows("expect")
            .iter()
            .map(|r| (text(r, "key"), r["rev"].as_u64().unwrap_or(0)))
            .collect();
        let mut writes = Vec::new();
        for row in rows("writes") {
            let Ok(bytes) = STANDARD.decode(text(&row, "value")) else { return bad("base64") };
            let key = text(&row, "key");
            if key.starts_with("op/") || key.starts_with("servers/") {
                return Reply::error(403, "this key is not the system's");
            }
            writes.push((key, bytes, row["lease"].as_u64().filter(|l| *l > 0)));
        }
        let removes: Vec<String> =
            rows("remove").iter().filter_map(|k| k.as_str().map(str::to_string)).collect();
        if expect.len() + writes.len() + removes.len() > 32 {
            return bad("more than 32 entries");
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
        let plain = path.split('?').next().unwrap_or(path);
        let parsed = || serde_json::from_str::<Value>(&body);
        match (method, plain) {
            (Method::Get, "/api/kv-key") => Self::key(&world, path),
            (Method::Get, "/api/kv-range") => Self::range(&world, path),
            (Method::Get, "/api/kv-watch") => {
                let prefix = param(path, "prefix").unwrap_or_default();
                let until = now.0 + number(path, "waitMs");
                Self::watch(&world, &prefix, number(path, "after"), until, now.0)
            }
            (Method::Post, "/api/kv-txn") => match parsed() {
                Ok(body) => Self::commit(&mut world, &body),
                Err(_) => bad("not JSON"),
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
            return bad("a waiting watch that can't be read");
        };
        Self::watch(&world, &prefix, after, until, now.0)
    }

    fn tick(&self, now: Moment) {
        self.lock().advance(now.0);
    }
}

impl WorkerService {
    fn lock(&self) -> MutexGuard<'_, World> {
        self.world.lock().expect("no holder panics")
    }

    fn lists(world: &World, at: usize, now: u64) -> Reply {
        let WorkerReply::Lists { born, running, ended } = world.workers[at].lists() else {
            return bad("no lists");
        };
        let running: Vec<Value> = running
            .iter()
            .map(|r| json!([r.task.to_string(), r.run.0, r.saved, r.percent.min(100)]))
            .collect();
        let ended: Vec<Value> = ended
            .iter()
            .map(|e| json!([e.number, e.task.to_string(), e.run.0, e.cause.to_string(), e.saved]))
            .collect();
        let clock = world.workers[at].clock(now);
        Reply::json(&json!({
            "clockMs": clock, "born": born, "running": running, "finished": ended,
        }))
    }
}

fn decode_order(path: &str, body: &Value) -> Option<WorkerOp> {
    let task = || text(body, "task").parse::<TaskId>().ok();
    let run = || Some(Run(u32::try_from(body["run"].as_u64()?).ok()?));
    Some(match path {
        "/api/run-start" => WorkerOp::Start {
            task: task()?,
            run: run()?,
            text: text(body, "spec"),
            saved: text(body, "lastCheckpoint"),
            lease_end: body["deadlineMs"].as_u64()?,
        },
        "/api/run-stop" => WorkerOp::Stop { task: task()?, run: run()? },
        "/api/hold" => WorkerOp::Hold {
            lease_end: body["deadlineMs"].as_u64(),
            acked: body["lastSeen"].as_u64()?,
            wait: bulrushlink_core::Span(body["waitMs"].as_u64().unwrap_or(0)),
        },
        _ => return None,
    })
}

impl Service for WorkerService {
    fn handle(&self, _: &Method, path: &str, body: String, now: Moment) -> Reply {
        let mut world = self.lock();
        world.advance(now.0);
        let Ok(body) = serde_json::from_str::<Value>(&body) else { return bad("not JSON") };
        let Some(op) = decode_order(path, &body) else { return bad("no such order") };
        let token = body["fencingToken"].as_u64().unwrap_or(0);
        let (clock, reply) = world.order(self.at, token, &op, now.0);
        match (op, reply) {
            (_, WorkerReply::Refused(refusal)) => {
                let reason = match refusal {
                    StartRefusal::Fenced => "fence",
                    StartRefusal::Old => "old",
                    StartRefusal::Late => "late",
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
        if world.workers[self.at].ends.is_empty() && now.0 < until {
            return Reply::Wait(body.to_string());
        }
        Self::lists(&world, self.at, now.0)
    }

    fn tick(&self, _: Moment) {}
}
