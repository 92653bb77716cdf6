//! Learns run times from completed jobs, since declared ones are far off.

use serde::Serialize;

use crate::ids::KindId;
use crate::sched::fleet::WorkerIx;
use crate::sched::spaces::SpaceIx;
use crate::units::Span;

/// Run times kept for each kind.
const SAMPLES_MAX: usize = 32;
/// Fewer run times than this are not trusted.
const SAMPLES_MIN: usize = 3;
/// Kinds kept; the one unused for longest makes room.
const KINDS_MAX: usize = 4096;
/// Factor by which declared run times may be too small.
const DECLARED_ERROR: u64 = 10;

/// What was seen of one kind of job.
#[derive(Debug, Serialize)]
pub(super) struct Kind {
    pub(super) space: SpaceIx,
    pub(super) id: KindId,
    /// In the order of their ends; a ring.
    samples: Vec<Span>,
    next: usize,
    /// The samples, sorted.
    sorted: Vec<Span>,
    used: u64,
    /// Workers that failed jobs of this kind since one was completed elsewhere.
    pub(super) failing: Vec<WorkerIx>,
}

impl Kind {
    pub(super) fn quantile(&self, part: f64) -> Option<Span> {
        if self.sorted.len() < SAMPLES_MIN {
            return None;
        }
        let i = (part * (self.sorted.len() - 1) as f64).round() as usize;
        Some(self.sorted[i])
    }
}

/// Expected run times of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub(super) struct Expected {
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
    clock: u64,
}

impl Kinds {
    fn search(&self, space: SpaceIx, id: &KindId) -> Result<usize, usize> {
        self.table.binary_search_by(|k| (k.space, &k.id).cmp(&(space, id)))
    }

    /// Returns the kind, and makes it if it is new.
    pub(super) fn entry(&mut self, space: SpaceIx, id: &KindId) -> &mut Kind {
        self.clock += 1;
        let mut found = self.search(space, id);
        if found.is_err() && self.table.len() >= KINDS_MAX {
            let oldest = (0..self.table.len()).min_by_key(|i| self.table[*i].used);
            self.table.remove(oldest.expect("the table is full"));
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
        kind.used = self.clock;
        kind
    }

    pub(super) fn get(&self, space: SpaceIx, id: &KindId) -> Option<&Kind> {
        self.search(space, id).ok().map(|i| &self.table[i])
    }

    /// Notes the run time of a completed job.
    pub(super) fn learn(&mut self, space: SpaceIx, id: &KindId, time: Span) {
        let kind = self.entry(space, id);
        if kind.samples.len() < SAMPLES_MAX {
            kind.samples.push(time);
        } else {
            kind.samples[kind.next] = time;
        }
        kind.next = (kind.next + 1) % SAMPLES_MAX;
        kind.sorted.clone_from(&kind.samples);
        kind.sorted.sort_unstable();
    }

    /// Returns what to expect of a job; the declared time counts only while nothing is learned.
    pub(super) fn expect(&self, space: SpaceIx, id: &KindId, declared: Span) -> Expected {
        let kind = self.get(space, id);
        let median = kind.and_then(|k| k.quantile(0.5));
        let high = kind.and_then(|k| k.quantile(0.9));
        Expected {
            median: median.unwrap_or(declared),
            high: high.unwrap_or(Span(declared.0.saturating_mul(DECLARED_ERROR))),
        }
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Kind> {
        self.table.iter()
    }
}
