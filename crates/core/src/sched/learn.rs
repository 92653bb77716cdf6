//! Learns run times from completed jobs, because declared ones are far off.

use serde::Serialize;

use crate::ids::KindId;
use crate::sched::fleet::WorkerIx;
use crate::sched::spaces::WorkspaceIx;
use crate::units::Span;

/// Maximum number of run times kept for each kind.
const SAMPLES_PER_KIND_MAX: usize = 32;
/// Minimum number of run times from which an estimate is made.
const SAMPLES_MIN: usize = 3;
/// Maximum number of kinds; the least recently used one is evicted.
const KINDS_MAX: usize = 4096;
/// Factor by which declared run times may be too small.
const DECLARED_ERROR_FACTOR: u64 = 10;

/// What was observed of one kind of job.
#[derive(Debug, Serialize)]
pub(super) struct Kind {
    pub(super) space: WorkspaceIx,
    pub(super) id: KindId,
    /// Ring buffer in the order of completion.
    samples: Vec<Span>,
    next: usize,
    /// The samples, sorted.
    sorted: Vec<Span>,
    /// Value of [`Kinds::uses`] when it was last used.
    used: u64,
    /// Workers that jobs of this kind failed on since one was last completed.
    pub(super) failing: Vec<WorkerIx>,
}

impl Kind {
    pub(super) fn quantile(&self, fraction: f64) -> Option<Span> {
        if self.sorted.len() < SAMPLES_MIN {
            return None;
        }
        let i = (fraction * (self.sorted.len() - 1) as f64).round() as usize;
        Some(self.sorted[i])
    }
}

/// Estimated run time of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub(super) struct Estimate {
    /// Half of such jobs take less.
    pub(super) median: Span,
    /// Nine of ten such jobs take less.
    pub(super) high: Span,
}

/// All kinds.
#[derive(Debug, Default)]
pub(super) struct Kinds {
    /// Sorted by workspace and kind.
    table: Vec<Kind>,
    /// Counts uses of all kinds, to find the least recently used one.
    uses: u64,
}

impl Kinds {
    fn search(&self, space: WorkspaceIx, id: &KindId) -> Result<usize, usize> {
        self.table.binary_search_by(|k| (k.space, &k.id).cmp(&(space, id)))
    }

    /// Returns a kind, adding it if it is new.
    pub(super) fn entry(&mut self, space: WorkspaceIx, id: &KindId) -> &mut Kind {
        self.uses += 1;
        let mut found = self.search(space, id);
        if found.is_err() && self.table.len() >= KINDS_MAX {
            let oldest = (0..self.table.len()).min_by_key(|i| self.table[*i].used);
            self.table.remove(oldest.expect("a full table has entries"));
            found = self.search(space, id);
        }
        let i = match found {
            Ok(i) => i,
            Err(i) => {
                let kind = Kind {
                    space,
                    id: id.clone(),
                    samples: Vec::new(),
                    next: 0,
                    sorted: Vec::new(),
                    used: 0,
                    failing: Vec::new(),
                };
                self.table.insert(i, kind);
                i
            }
        };
        let kind = &mut self.table[i];
        kind.used = self.uses;
        kind
    }

    pub(super) fn get(&self, space: WorkspaceIx, id: &KindId) -> Option<&Kind> {
        self.search(space, id).ok().map(|i| &self.table[i])
    }

    /// Records the run time of a completed job.
    pub(super) fn record_run_time(&mut self, space: WorkspaceIx, id: &KindId, time: Span) {
        let kind = self.entry(space, id);
        if kind.samples.len() < SAMPLES_PER_KIND_MAX {
            kind.samples.push(time);
        } else {
            kind.samples[kind.next] = time;
        }
        kind.next = (kind.next + 1) % SAMPLES_PER_KIND_MAX;
        kind.sorted.clone_from(&kind.samples);
        kind.sorted.sort_unstable();
    }

    /// Returns the estimated run time of a job, based on the declared one until enough samples are
    /// known.
    pub(super) fn estimate(&self, space: WorkspaceIx, id: &KindId, declared: Span) -> Estimate {
        let kind = self.get(space, id);
        let median = kind.and_then(|k| k.quantile(0.5));
        let high = kind.and_then(|k| k.quantile(0.9));
        Estimate {
            median: median.unwrap_or(declared),
            high: high.unwrap_or(Span(declared.0.saturating_mul(DECLARED_ERROR_FACTOR))),
        }
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Kind> {
        self.table.iter()
    }
}
