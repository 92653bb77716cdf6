//! The state of intake as JSON.

use serde::Serialize;

use super::Intake;
use super::hold::PendingRequest;

#[derive(Serialize)]
struct Dump<'a> {
    holds: &'a [PendingRequest],
    submissions: u64,
    store_down: bool,
    /// Tries of store calls since the process started.
    store_calls: u64,
}

impl Intake {
    /// Returns the state for a dump.
    pub(crate) fn dump(&self) -> serde_json::Value {
        let dump = Dump {
            holds: &self.requests,
            submissions: self.submissions,
            store_down: self.journal.is_down(),
            store_calls: self.journal.tries(),
        };
        serde_json::to_value(dump).unwrap_or_else(|error| {
            log::error!("state left out of the dump: {error}");
            serde_json::Value::Null
        })
    }
}
