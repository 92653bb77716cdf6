//! The placer's state as JSON.

use bulrushlink_api::Revision;
use bulrushlink_core::{Load, Moment, State, Why};
use serde::Serialize;

use super::job::Job;
use super::reports::Orphan;
use super::{Mode, Placer};
use crate::journal::Intent;

#[derive(Serialize)]
struct Dump<'a> {
    standing: &'static str,
    load: Load,
    jobs: Vec<Row<'a>>,
    orphans: &'a [Orphan],
    refused: usize,
    worker_calls: usize,
    store: StoreRow,
    scheduler: State,
    now: Moment,
}

#[derive(Serialize)]
struct Row<'a> {
    #[serde(flatten)]
    job: &'a Job,
    why: Option<Why>,
    /// Revision of the record's last change.
    at: Option<Revision>,
    /// Incremented with each change of the record's owner.
    epoch: u64,
    /// The start intent in the record.
    intent: Option<&'a Intent>,
}

#[derive(Serialize)]
struct StoreRow {
    down: bool,
    /// Tries of calls since the process started.
    calls: u64,
    /// Pending calls.
    open: usize,
}

impl Placer {
    /// Returns the state for a dump.
    pub(crate) fn dump(&self, now: Moment) -> serde_json::Value {
        let standing = match self.mode {
            Mode::Idle => "idle",
            Mode::Recovering => "recovering",
            Mode::Active => "active",
        };
        let row = |job| self.row(job);
        let dump = Dump {
            standing,
            load: self.scheduler.load(),
            jobs: self.jobs.iter().map(row).collect(),
            orphans: &self.orphans,
            refused: self.refusals.len(),
            worker_calls: self.calls.len(),
            store: StoreRow {
                down: self.journal.is_down(),
                calls: self.journal.tries(),
                open: self.journal.pending_calls(),
            },
            scheduler: self.scheduler.dump(),
            now,
        };
        serde_json::to_value(dump).unwrap_or_else(|error| {
            log::error!("state left out of the dump: {error}");
            serde_json::Value::Null
        })
    }

    fn row<'a>(&self, job: &'a Job) -> Row<'a> {
        let stored = job.stored.as_ref();
        Row {
            job,
            why: self.scheduler.why(job.key()),
            at: stored.map(|stored| stored.at),
            epoch: stored.map(|stored| stored.record.epoch).unwrap_or_default(),
            intent: stored.and_then(|stored| stored.record.intent.as_ref()),
        }
    }
}
