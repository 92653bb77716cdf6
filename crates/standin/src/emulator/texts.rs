//! Texts of the platform's wire protocol: builders for tests, and bodies of entries and items.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bulrushlink_core::Span;
use bulrushlink_fleet::{Allotment, Resources, Run, TaskId, WorkerOp, WorkerState};
use percent_encoding::percent_decode_str;
use serde_json::{Value, json};

use super::keys::KeyValue;
use super::worker::FleetWorker;

/// Name of the only workspace.
pub(super) const WORKSPACE: &str = "north";
/// What each task needs.
const TASK_NEED: Resources = Resources { cpu: 1_000, memory: 1_024, accelerators: 1 };

/// Builder for the body of a job, whose tasks run for a fixed time on the emulator's workers.
#[derive(Clone, Debug)]
pub struct JobText {
    millis: u64,
    crash: Option<u64>,
    steps: Vec<Value>,
}

impl JobText {
    /// Creates a job without steps whose tasks run for `millis`.
    pub fn new(millis: u64) -> Self {
        Self { millis, crash: None, steps: Vec::new() }
    }

    /// Adds a step of `count` tasks with one accelerator each, as a gang if `gang` is set.
    #[must_use]
    pub fn step(mut self, count: u64, gang: bool) -> Self {
        self.steps.push(json!({
            "count": count, "cpu": TASK_NEED.cpu, "memMb": TASK_NEED.memory,
            "gpu": TASK_NEED.accelerators, "estRuntimeMs": 300,
            "gang": gang,
        }));
        self
    }

    /// Makes the latest step depend on the step of the given index, and on those of earlier calls.
    #[must_use]
    pub fn after(mut self, step: usize) -> Self {
        if let Some(last) = self.steps.last_mut() {
            match last["after"].as_array_mut() {
                Some(steps) => steps.push(json!(step)),
                None => last["after"] = json!([step]),
            }
        }
        self
    }

    /// Makes all tasks crash their workers after a time in milliseconds.
    #[must_use]
    pub fn crash(self, delay: u64) -> Self {
        Self { crash: Some(delay), ..self }
    }

    /// Returns the JSON text. The gang size of the first step applies to all tasks.
    pub fn text(&self) -> String {
        let first = self.steps.first();
        let gang =
            first.filter(|s| s["gang"] == json!(true)).map_or(json!(0), |s| s["count"].clone());
        let Resources { cpu, memory, accelerators } = TASK_NEED;
        let need = format!("cpu={cpu} mem={memory} gpu={accelerators}");
        let crash = self.crash.map(|delay| format!(" crash={delay}")).unwrap_or_default();
        let spec = format!("ms={} gang={gang} {need}{crash}", self.millis);
        json!({ "spec": spec, "steps": self.steps }).to_string()
    }
}

/// Parses the run time in milliseconds, the gang size and what a task needs from a job's spec, such
/// as `ms=500 gang=4 cpu=1000 mem=1024 gpu=1`; a gang size of 0 means no gang. A start says nothing
/// else of these.
pub(crate) fn parse_spec(spec: &str) -> (u64, u32, Resources) {
    let find = |name: &str| spec.split(' ').find_map(|w| w.strip_prefix(name)?.parse().ok());
    let amount = |name: &str| find(name).unwrap_or(0);
    let need =
        Resources { cpu: amount("cpu="), memory: amount("mem="), accelerators: amount("gpu=") };
    (find("ms=").unwrap_or(100), amount("gang=") as u32, need)
}

/// Returns the body of an answer with the state of a job.
pub fn state_text(state: &str) -> String {
    json!({ "state": state }).to_string()
}

/// Returns the body of an answer with the length of a queue.
pub fn pending_text(count: usize) -> String {
    json!({ "pending": count }).to_string()
}

/// Parses the time in milliseconds after which a task crashes its worker from a job's spec.
pub(super) fn crash_delay(spec: &str) -> Option<u64> {
    spec.split(' ').find_map(|w| w.strip_prefix("crash=")?.parse().ok())
}

pub(super) fn entry_body(worker: &FleetWorker) -> Value {
    let (entry, capacity) = (&worker.entry, worker.shown_capacity());
    json!({
        "service": entry.endpoint, "address": entry.addr.to_string(),
        "zone": entry.domain, "version": "v1", "slots": 8,
        "state": if entry.state == WorkerState::Ready { "ready" } else { "draining" },
        "coldRemainingMs": 0, "labels": entry.labels, "born": entry.born, "seq": 1,
        "capacity": {
            "cpu": capacity.cpu, "memMb": capacity.memory, "gpu": capacity.accelerators,
        },
    })
}

pub(super) fn item_body(item: &KeyValue) -> Value {
    json!({
        "key": item.key, "value": STANDARD.encode(&item.bytes), "rev": item.rev,
        "created": item.created, "lease": item.lease.unwrap_or(0),
    })
}

/// Returns a configuration with one queue, `/replay/` at `jobs.example`, and one workspace with the
/// given API keys.
pub(crate) fn configuration(version: u64, keys: &[&str]) -> Value {
    json!({
        "version": version,
        "routes": [{
            "name": "replay", "host": "jobs.example", "prefix": "/replay/", "type": "unsafe",
            "timeoutMs": 3000, "targetDurationMs": 1000, "priority": 1, "service": "dispatch",
            "attempts": 2, "stretch": 3.0, "allowAnonymous": false,
        }],
        "services": [{ "name": "dispatch" }],
        "limits": {
            "maxHeaderBytes": 4096, "maxBodyBytes": 65536, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{ "name": WORKSPACE, "apiKeys": keys, "priority": 1, "guaranteed": { "gpu": 8 } }],
    })
}

/// Returns a configuration as [`configuration`] does, with a weight and a ceiling.
pub(super) fn allotted_configuration(version: u64, keys: &[&str], allotment: &Allotment) -> Value {
    let mut text = configuration(version, keys);
    let Resources { cpu, memory, accelerators } = allotment.ceiling.0;
    text["tenants"][0]["weight"] = json!(allotment.weight);
    text["tenants"][0]["maxCount"] = json!({ "cpu": cpu, "memMb": memory, "gpu": accelerators });
    text
}

/// Returns a configuration as [`configuration`] does, with further queues that nobody uses.
pub(crate) fn large_configuration(version: u64, keys: &[&str], idle_queues: usize) -> Value {
    let mut text = configuration(version, keys);
    let queue = text["routes"][0].clone();
    let idle = |n| {
        let mut idle = queue.clone();
        idle["name"] = json!(format!("idle-{n:06}"));
        idle["prefix"] = json!(format!("/idle-{n:06}/"));
        idle
    };
    let routes = text["routes"].as_array_mut().expect("the routes are a list");
    routes.extend((0..idle_queues).map(idle));
    text
}

/// Returns a field that holds text, or an empty text.
pub(super) fn string_field(value: &Value, name: &str) -> String {
    value[name].as_str().unwrap_or("").to_string()
}

/// Decodes a call to a worker.
pub(super) fn decode_op(path: &str, body: &Value) -> Option<WorkerOp> {
    let task = || string_field(body, "task").parse::<TaskId>().ok();
    let run = || Some(Run(u32::try_from(body["run"].as_u64()?).ok()?));
    Some(match path {
        "/api/run-start" => WorkerOp::Start {
            task: task()?,
            run: run()?,
            text: string_field(body, "spec"),
            saved: string_field(body, "lastCheckpoint"),
            lease_end: body["deadlineMs"].as_u64()?,
        },
        "/api/run-stop" => WorkerOp::Stop { task: task()?, run: run()? },
        "/api/hold" => WorkerOp::Hold {
            lease_end: body["deadlineMs"].as_u64(),
            acked: body["lastSeen"].as_u64()?,
            wait: Span(body["waitMs"].as_u64().unwrap_or(0)),
        },
        _ => return None,
    })
}

/// Returns a percent-decoded query parameter.
pub(super) fn query_param(path: &str, name: &str) -> Option<String> {
    let (_, query) = path.split_once('?')?;
    let value = query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('='))?;
    percent_decode_str(value).decode_utf8().ok().map(|v| v.into_owned())
}

/// Returns a query parameter that is a number, or 0.
pub(super) fn query_number(path: &str, name: &str) -> u64 {
    query_param(path, name).and_then(|v| v.parse().ok()).unwrap_or(0)
}
