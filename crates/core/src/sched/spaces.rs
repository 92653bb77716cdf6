//! What the scheduler keeps for each workspace: its queue limit, its usage and its retry budget.

use serde::Serialize;

use crate::ids::WorkspaceId;
use crate::units::{Moment, Span};

/// Maximum number of retries that a workspace can save up.
const RETRY_TOKENS_MAX: f64 = 50.0;
/// Retries added to the budget by one completed job.
const RETRY_TOKENS_EARNED: f64 = 0.2;
/// Weight of the latest interval between two starts in their moving average.
const START_INTERVAL_WEIGHT: f64 = 0.2;
/// Assumed interval between two starts before any was observed.
const START_INTERVAL_INITIAL_MS: f64 = 1000.0;
/// Lower bound of the retry delay given to a refused caller.
const RETRY_AFTER_MIN: Span = Span::from_secs(1);
/// Upper bound of the retry delay given to a refused caller.
const RETRY_AFTER_MAX: Span = Span::from_secs(300);
/// Fraction of the queue that should have drained before a refused caller retries.
const RETRY_AFTER_QUEUE_FRACTION: f64 = 0.1;

/// Index of a workspace in the table; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub(super) struct WorkspaceIx(pub(super) u16);

/// One workspace.
#[derive(Debug, Serialize)]
pub(super) struct Workspace {
    pub(super) id: WorkspaceId,
    /// Whether the share in force names it.
    pub(super) known: bool,
    /// Maximum number of waiting jobs.
    #[serde(rename = "queue")]
    pub(super) queue_limit: u32,
    /// Number of waiting jobs.
    pub(super) waiting: u32,
    /// Accelerators that its jobs use outside of its guarantees.
    pub(super) borrowed: u32,
    /// Retries left in the budget.
    tokens: f64,
    /// Moving average of the interval between two starts.
    pace_ms: f64,
    last_start: Option<Moment>,
}

impl Workspace {
    /// Takes one retry from the budget. Returns false if none is left.
    pub(super) fn take_token(&mut self) -> bool {
        let left = self.tokens >= 1.0;
        if left {
            self.tokens -= 1.0;
        }
        left
    }

    /// Adds the retries of one completed job to the budget.
    pub(super) fn earn_token(&mut self) {
        self.tokens = (self.tokens + RETRY_TOKENS_EARNED).min(RETRY_TOKENS_MAX);
    }

    /// Records a start, to estimate how fast the queue drains.
    pub(super) fn record_start(&mut self, now: Moment) {
        if let Some(last) = self.last_start {
            let interval = now.since(last).millis() as f64;
            self.pace_ms += START_INTERVAL_WEIGHT * (interval - self.pace_ms);
        }
        self.last_start = Some(now);
    }

    /// Returns the time in which [`RETRY_AFTER_QUEUE_FRACTION`] of the queue drains at the present
    /// rate.
    pub(super) fn retry_after(&self, now: Moment) -> Span {
        let idle = self.last_start.map_or(0.0, |last| now.since(last).millis() as f64);
        let time = self.pace_ms.max(idle) * f64::from(self.waiting) * RETRY_AFTER_QUEUE_FRACTION;
        Span(time as u64).clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
    }
}

/// All workspaces that were ever named.
#[derive(Debug, Default)]
pub(super) struct Workspaces {
    table: Vec<Workspace>,
    /// Sorted by identifier.
    by_id: Vec<WorkspaceIx>,
}

impl Workspaces {
    pub(super) fn get(&self, ix: WorkspaceIx) -> &Workspace {
        &self.table[ix.0 as usize]
    }

    pub(super) fn get_mut(&mut self, ix: WorkspaceIx) -> &mut Workspace {
        &mut self.table[ix.0 as usize]
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Workspace> {
        self.table.iter()
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Workspace> {
        self.table.iter_mut()
    }

    /// Returns the index of a workspace, adding it if it is new.
    pub(super) fn intern(&mut self, id: &WorkspaceId) -> WorkspaceIx {
        match self.by_id.binary_search_by(|ix| self.get(*ix).id.cmp(id)) {
            Ok(i) => self.by_id[i],
            Err(i) => {
                let ix = WorkspaceIx(self.table.len() as u16);
                self.by_id.insert(i, ix);
                self.table.push(Workspace {
                    id: id.clone(),
                    known: false,
                    queue_limit: 0,
                    waiting: 0,
                    borrowed: 0,
                    tokens: RETRY_TOKENS_MAX,
                    pace_ms: START_INTERVAL_INITIAL_MS,
                    last_start: None,
                });
                ix
            }
        }
    }
}
