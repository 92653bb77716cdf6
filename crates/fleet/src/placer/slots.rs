//! The runs on a worker.
//!
//! Each pass asks every worker for its free capacity and for the stops that are due. With hundreds
//! of workers, visiting every run for that would cost more than all other work of the pass, so the
//! answers are kept beside the list.

use bulrushlink_core::Moment;
use std::fmt;
use std::ops::{Deref, DerefMut};

use crate::ids::{JobId, Run, TaskId};
use crate::model::Resources;

use super::worker::{Phase, Slot};

/// Multiplier of a multiplicative hash: 2^64 divided by the golden ratio.
const JOB_HASH_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// The runs that occupy capacity of a worker, sorted by task and run.
#[derive(Clone, Default)]
pub(crate) struct Slots {
    list: Vec<Slot>,
    /// Sum of what the runs need.
    used: Resources,
    /// The bit of each job that has a run here; see [`job_bit`].
    jobs: u64,
    /// Runs may have changed since `next_stop`, `closing` and `starting` were determined.
    changed: bool,
    /// Earliest time at which a stop has to be sent; `None` if there is no such run.
    next_stop: Option<Moment>,
    /// At least one run is being stopped.
    closing: bool,
    /// The start of at least one run is planned or in flight.
    starting: bool,
}

impl Slots {
    /// Returns the resources that the runs occupy.
    pub(crate) fn used(&self) -> Resources {
        self.used
    }

    /// Returns the position of a run.
    pub(crate) fn position(&self, task: &TaskId, run: Run) -> Result<usize, usize> {
        self.list.binary_search_by_key(&(*task, run), |s| (s.task, s.run))
    }

    /// Returns false if no run of a job is here, in most cases without looking at the runs.
    pub(crate) fn may_have(&self, job: JobId) -> bool {
        self.jobs & job_bit(job) != 0
    }

    /// Adds a run, or replaces it if it is already there.
    pub(crate) fn insert(&mut self, slot: Slot) {
        self.changed = true;
        self.jobs |= job_bit(slot.task.job);
        match self.position(&slot.task, slot.run) {
            Ok(at) => {
                self.used = self.used.minus(&self.list[at].need).plus(&slot.need);
                self.list[at] = slot;
            }
            Err(at) => {
                self.used = self.used.plus(&slot.need);
                self.list.insert(at, slot);
            }
        }
    }

    /// Removes the run at a position.
    pub(crate) fn remove(&mut self, at: usize) -> Slot {
        let slot = self.list.remove(at);
        self.changed = true;
        self.used = self.used.minus(&slot.need);
        self.jobs = job_bits(&self.list);
        slot
    }

    /// Removes the runs that match, and returns them.
    pub(crate) fn extract(&mut self, matches: impl Fn(&Slot) -> bool) -> Vec<Slot> {
        let extracted: Vec<Slot> = self.list.extract_if(.., |s| matches(s)).collect();
        if !extracted.is_empty() {
            self.used = self.list.iter().fold(Resources::default(), |sum, s| sum.plus(&s.need));
            self.jobs = job_bits(&self.list);
            self.changed = true;
        }
        extracted
    }

    /// Removes all runs, and returns them.
    pub(crate) fn take(&mut self) -> Vec<Slot> {
        std::mem::take(self).list
    }

    /// Returns true if a stop has to be sent by now.
    pub(crate) fn has_due_stop(&mut self, now: Moment) -> bool {
        self.refresh();
        self.next_stop.is_some_and(|next| now >= next)
    }

    /// Returns true if a run may be in the course of being stopped.
    pub(crate) fn may_be_closing(&self) -> bool {
        self.changed || self.closing
    }

    /// Returns true if the start of a run is planned or in flight.
    pub(crate) fn may_be_starting(&mut self) -> bool {
        self.refresh();
        self.starting
    }

    /// Returns true if a start that was sent to the worker may still be carried out.
    pub(crate) fn has_unanswered_start(&self) -> bool {
        let unanswered = |s: &Slot| match s.phase {
            Phase::Starting | Phase::Unheard => true,
            Phase::Closing { answered, .. } => !s.confirmed && answered.is_none(),
            Phase::Planned(_) | Phase::Running => false,
        };
        self.list.iter().any(unanswered)
    }

    /// Determines `next_stop`, `closing` and `starting` anew if runs may have changed.
    fn refresh(&mut self) {
        if !std::mem::take(&mut self.changed) {
            return;
        }
        let is_closing = |s: &Slot| matches!(s.phase, Phase::Closing { .. });
        let unsent_stop = |s: &Slot| match s.phase {
            Phase::Closing { sent: None, answered: None, next } => Some(next),
            _ => None,
        };
        let is_starting = |s: &Slot| matches!(s.phase, Phase::Planned(_) | Phase::Starting);
        self.closing = self.list.iter().any(is_closing);
        self.starting = self.list.iter().any(is_starting);
        self.next_stop = self.list.iter().filter_map(unsent_stop).min();
    }
}

/// Returns the bit that stands for a job in a set of jobs, one of 64.
fn job_bit(job: JobId) -> u64 {
    // The upper bits of the product depend on all bits of the identifier.
    1 << (job.0.wrapping_mul(JOB_HASH_FACTOR) >> (u64::BITS - 6))
}

fn job_bits(slots: &[Slot]) -> u64 {
    slots.iter().fold(0, |bits, s| bits | job_bit(s.task.job))
}

impl Deref for Slots {
    type Target = [Slot];

    fn deref(&self) -> &[Slot] {
        &self.list
    }
}

/// Callers may change anything but the key and the need of a run.
impl DerefMut for Slots {
    fn deref_mut(&mut self) -> &mut [Slot] {
        self.changed = true;
        &mut self.list
    }
}

/// Operators see the bare list in the dump.
impl fmt::Debug for Slots {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_list().entries(&self.list).finish()
    }
}
