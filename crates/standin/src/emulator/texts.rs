//! Builders for JSON bodies of the platform's wire protocol, for tests.

use serde_json::{Value, json};

/// Builder for the body of a job, whose tasks run for a fixed time on the emulator's workers.
#[derive(Clone, Debug)]
pub struct JobText {
    millis: u64,
    steps: Vec<Value>,
}

impl JobText {
    /// Creates a job without steps whose tasks run for `millis`.
    pub fn new(millis: u64) -> Self {
        Self { millis, steps: Vec::new() }
    }

    /// Adds a step of `count` tasks with one accelerator each, as a gang if `gang` is set.
    #[must_use]
    pub fn step(mut self, count: u64, gang: bool) -> Self {
        self.steps.push(json!({
            "count": count, "cpu": 1000, "memMb": 1024, "gpu": 1, "estRuntimeMs": 300,
            "gang": gang,
        }));
        self
    }

    /// Makes the latest step depend on the step of the given index.
    #[must_use]
    pub fn after(mut self, step: usize) -> Self {
        if let Some(last) = self.steps.last_mut() {
            last["after"] = json!([step]);
        }
        self
    }

    /// Returns the JSON text. The gang size of the first step applies to all tasks.
    pub fn text(&self) -> String {
        let first = self.steps.first();
        let gang =
            first.filter(|s| s["gang"] == json!(true)).map_or(json!(0), |s| s["count"].clone());
        let spec = format!("ms={} gang={gang}", self.millis);
        json!({ "spec": spec, "steps": self.steps }).to_string()
    }
}

/// Returns the body of an answer with the state of a job.
pub fn state_text(state: &str) -> String {
    json!({ "state": state }).to_string()
}

/// Returns the body of an answer with the length of a queue.
pub fn pending_text(count: usize) -> String {
    json!({ "pending": count }).to_string()
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
        "tenants": [{ "name": "north", "apiKeys": keys, "priority": 1, "guaranteed": { "gpu": 8 } }],
    })
}
