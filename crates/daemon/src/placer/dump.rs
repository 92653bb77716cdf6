//! The placer's state as JSON.

use bulrushlink_api::Revision;
use bulrushlink_core::{Load, Moment, State, Why};
use serde::Serialize;

use super::job::Job;
use super::reports::Orphan;
use super::{Placer, Standing};
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
    /// The last change of its record.
    at: Option<Revision>,
    /// Grows with each change of the record's owner.
    epoch: u64,
    /// The start that the record names.
    intent: Option<&'a Intent>,
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
        let row = |job| self.row(job);
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
            scheduler: self.scheduler.dump(),
            now,
        };
        serde_json::to_value(dump).unwrap_or_default()
    }

    fn row<'a>(&self, job: &'a Job) -> Row<'a> {
        let kept = job.kept.as_ref();
        Row {
            job,
            why: self.scheduler.why(job.key()),
            at: kept.map(|kept| kept.at),
            epoch: kept.map(|kept| kept.record.epoch).unwrap_or_default(),
            intent: kept.and_then(|kept| kept.record.intent.as_ref()),
        }
    }
}
