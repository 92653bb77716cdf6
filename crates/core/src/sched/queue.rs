//! Waiting jobs, in lanes of jobs that are equal for placement.
//!
//! All jobs of a lane want the same shape for the same workspace on the same terms: if the first
//! finds no room, none of the others does. A decision therefore tries only the heads of the lanes,
//! however long the queue is. The cost is one lane for each combination in use.

use serde::Serialize;

use crate::job::Shape;
use crate::sched::fleet::View;
use crate::sched::jobs::JobIx;
use crate::sched::spaces::WorkspaceIx;

/// Priority class of a waiting job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub(super) enum Class {
    /// Must start within seconds.
    Urgent,
    /// Has a deadline that it can still meet.
    Deadline,
    /// Everything else, ordered by age and expected run time.
    Plain,
}

/// What the jobs of a lane have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub(super) struct LaneKey {
    pub(super) class: Class,
    pub(super) space: WorkspaceIx,
    pub(super) shape: Shape,
    /// The capacity that the jobs may start on.
    pub(super) view: View,
    /// Whether the jobs are batch work, whose rank has a penalty.
    pub(super) batch: bool,
    /// The job itself, if it avoids workers that it failed on: such a job has a lane of its own.
    pub(super) avoiding: Option<JobIx>,
}

/// Where a job is queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub(super) struct QueuePosition {
    pub(super) lane: LaneKey,
    pub(super) entry: Entry,
}

/// One waiting job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub(super) struct Entry {
    /// Milliseconds on the scheduler's clock; the smallest goes first. For [`Class::Deadline`] the
    /// latest start, for [`Class::Urgent`] the submission, for [`Class::Plain`] the submission plus
    /// the expected run time, and a penalty for batch work.
    pub(super) rank: i64,
    /// Sequence number; breaks ties in order of arrival.
    pub(super) seq: u64,
    pub(super) job: JobIx,
}

/// Jobs that are equal for placement.
#[derive(Debug, Serialize)]
pub(super) struct Lane {
    pub(super) key: LaneKey,
    /// Sorted and never empty.
    pub(super) entries: Vec<Entry>,
}

/// All waiting jobs.
#[derive(Debug, Default, Serialize)]
pub(super) struct Queue {
    /// Sorted by key.
    lanes: Vec<Lane>,
    seq: u64,
    len: usize,
}

impl Queue {
    /// Returns the number of jobs in all lanes.
    pub(super) fn len(&self) -> usize {
        self.len
    }

    pub(super) fn lanes(&self) -> &[Lane] {
        &self.lanes
    }

    fn search(&self, key: &LaneKey) -> Result<usize, usize> {
        self.lanes.binary_search_by(|lane| lane.key.cmp(key))
    }

    /// Adds a job to its lane.
    pub(super) fn push(&mut self, key: LaneKey, rank: i64, job: JobIx) -> QueuePosition {
        self.seq += 1;
        self.len += 1;
        let entry = Entry { rank, seq: self.seq, job };
        match self.search(&key) {
            Ok(i) => {
                let entries = &mut self.lanes[i].entries;
                let at = entries.partition_point(|other| *other < entry);
                entries.insert(at, entry);
            }
            Err(i) => self.lanes.insert(i, Lane { key, entries: vec![entry] }),
        }
        QueuePosition { lane: key, entry }
    }

    /// Removes a job from its lane.
    ///
    /// # Panics
    ///
    /// Panics if the job is not at `position`.
    pub(super) fn remove(&mut self, position: QueuePosition) {
        let i = self.search(&position.lane).expect("a queued job has a lane");
        let entries = &mut self.lanes[i].entries;
        let at =
            entries.binary_search(&position.entry).expect("a queued job has an entry in its lane");
        entries.remove(at);
        self.len -= 1;
        if self.lanes[i].entries.is_empty() {
            self.lanes.remove(i);
        }
    }

    /// Returns the first job of a lane.
    pub(super) fn head(&self, key: &LaneKey) -> Option<Entry> {
        self.search(key).ok().map(|i| self.lanes[i].entries[0])
    }
}
