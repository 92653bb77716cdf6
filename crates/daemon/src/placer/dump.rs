//! The placer's state as JSON.

use bulrushlink_core::{Load, Moment, Why};
use serde::Serialize;

use super::job::Job;
use super::reports::Orphan;
use super::{Placer, Standing};

#[derive(Serialize)]
struct Dump<'a> {
    standing: &'static str,
    load: Load,
    jobs: Vec<Row<'a>>,
    orphans: &'a [Orphan],
    refused: usize,
    worker_calls: usize,
    store: StoreRow,
    now: Moment,
}

#[derive(Serialize)]
struct Row<'a> {
    #[serde(flatten)]
    job: &'a Job,
    why: Option<Why>,
}

#[derive(Serialize)]
struct StoreRow {
    down: bool,
    /// Calls since the start of the process.
    calls: u64,
    /// Calls without an outcome.
    open: usize,
}

impl Placer {
    /// Returns the state for a dump.
    pub(crate) fn dump(&self, now: Moment) -> serde_json::Value {
        let standing = match self.standing {
            Standing::Idle => "idle",
            Standing::Recovering => "recovering",
            Standing::Active => "active",
        };
        let row = |job| Row { job, why: self.scheduler.why(job.key()) };
        let dump = Dump {
            standing,
            load: self.scheduler.load(),
            jobs: self.jobs.iter().map(row).collect(),
            orphans: &self.orphans,
            refused: self.refused.len(),
            worker_calls: self.calls.len(),
            store: StoreRow {
                down: self.journal.is_down(),
                calls: self.journal.calls(),
                open: self.journal.open_calls(),
            },
            now,
        };
        serde_json::to_value(dump).unwrap_or_default()
    }
}
