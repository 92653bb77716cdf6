//! What the scheduler keeps for each workspace: its queue's bound, its use and its retry budget.

use serde::Serialize;

use crate::ids::WorkspaceId;
use crate::units::{Moment, Span};

/// The most failures of a workspace's jobs that are retried in a burst.
const RETRY_TOKENS_MAX: f64 = 50.0;
/// Retries that one completed job earns.
const RETRY_TOKENS_EARNED: f64 = 0.2;
/// Weight of the latest interval between two starts in their average.
const PACE_WEIGHT: f64 = 0.2;
/// Interval between two starts before any was seen, in milliseconds.
const PACE_FIRST_MS: f64 = 1000.0;
/// The shortest time to come back.
const RETRY_AFTER_MIN: Span = Span::from_secs(1);
/// The longest time to come back.
const RETRY_AFTER_MAX: Span = Span::from_secs(300);
/// Part of the queue that should have drained before a caller comes back.
const RETRY_AFTER_PART: f64 = 0.1;

/// Place of a workspace in the table; never used for another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub(super) struct SpaceIx(pub(super) u16);

/// One workspace.
#[derive(Debug, Serialize)]
pub(super) struct Space {
    pub(super) id: WorkspaceId,
    /// Whether the share in force names it.
    pub(super) known: bool,
    /// The most jobs that may wait.
    pub(super) queue: u32,
    /// Jobs that wait now.
    pub(super) waiting: u32,
    /// Accelerators that its jobs hold outside of its guarantees.
    pub(super) borrowed: u32,
    tokens: f64,
    pace_ms: f64,
    last_start: Option<Moment>,
}

impl Space {
    /// Takes one retry from the budget if there is one left.
    pub(super) fn take_token(&mut self) -> bool {
        let left = self.tokens >= 1.0;
        if left {
            self.tokens -= 1.0;
        }
        left
    }

    /// Earns a part of a retry.
    pub(super) fn earn_token(&mut self) {
        self.tokens = (self.tokens + RETRY_TOKENS_EARNED).min(RETRY_TOKENS_MAX);
    }

    /// Notes a start, for the pace at which the queue drains.
    pub(super) fn note_start(&mut self, now: Moment) {
        if let Some(last) = self.last_start {
            let interval = now.since(last).millis() as f64;
            self.pace_ms += PACE_WEIGHT * (interval - self.pace_ms);
        }
        self.last_start = Some(now);
    }

    /// Returns the time in which a tenth of the queue drains at the present pace.
    pub(super) fn retry_after(&self, now: Moment) -> Span {
        let idle = self.last_start.map_or(0.0, |last| now.since(last).millis() as f64);
        let time = self.pace_ms.max(idle) * f64::from(self.waiting) * RETRY_AFTER_PART;
        Span(time as u64).clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
    }
}

/// All workspaces that were ever named.
#[derive(Debug, Default)]
pub(super) struct Spaces {
    table: Vec<Space>,
    /// Sorted by identifier.
    names: Vec<SpaceIx>,
}

impl Spaces {
    pub(super) fn get(&self, ix: SpaceIx) -> &Space {
        &self.table[ix.0 as usize]
    }

    pub(super) fn get_mut(&mut self, ix: SpaceIx) -> &mut Space {
        &mut self.table[ix.0 as usize]
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Space> {
        self.table.iter()
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Space> {
        self.table.iter_mut()
    }

    /// Returns the workspace, and makes it if it wasn't named before.
    pub(super) fn intern(&mut self, id: &WorkspaceId) -> SpaceIx {
        match self.names.binary_search_by(|ix| self.get(*ix).id.cmp(id)) {
            Ok(i) => self.names[i],
            Err(i) => {
                let ix = SpaceIx(self.table.len() as u16);
                self.names.insert(i, ix);
                self.table.push(Space {
                    id: id.clone(),
                    known: false,
                    queue: 0,
                    waiting: 0,
                    borrowed: 0,
                    tokens: RETRY_TOKENS_MAX,
                    pace_ms: PACE_FIRST_MS,
                    last_start: None,
                });
                ix
            }
        }
    }
}
