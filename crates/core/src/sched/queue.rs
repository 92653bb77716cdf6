//! Waiting jobs, in lanes of jobs that are alike for placing.
//!
//! All jobs of a lane want the same shape for the same workspace on the same terms: when the first
//! finds no room, none of the others does. A decision therefore looks at the heads of the lanes
//! only, however long the queue is. The cost is a lane for each combination in use.

use serde::Serialize;

use crate::job::Shape;
use crate::sched::fleet::View;
use crate::sched::jobs::JobIx;
use crate::sched::spaces::SpaceIx;

/// Order of importance among waiting jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub(super) enum Class {
    /// Has to start within seconds.
    Urgent,
    /// Has a deadline that can still be met.
    Deadline,
    /// Everything else, by age and expected run time.
    Plain,
}

/// What the jobs of a lane have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub(super) struct LaneKey {
    pub(super) class: Class,
    pub(super) space: SpaceIx,
    pub(super) shape: Shape,
    /// The room that the jobs may start in.
    pub(super) view: View,
    /// Whether the jobs give way to the workspace's other jobs.
    pub(super) batch: bool,
    /// Whether the jobs avoid workers that they failed on; such jobs stand alone.
    pub(super) avoiding: Option<JobIx>,
}

/// Where a job stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub(super) struct Ticket {
    pub(super) lane: LaneKey,
    pub(super) entry: Entry,
}

/// One waiting job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub(super) struct Entry {
    /// Milliseconds; the smallest is first.
    pub(super) rank: i64,
    /// Ordinal of the entry; ties go to the first that came.
    pub(super) seq: u64,
    pub(super) job: JobIx,
}

/// Jobs that are alike for placing.
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
    /// Number of jobs in all lanes.
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
    pub(super) fn push(&mut self, key: LaneKey, rank: i64, job: JobIx) -> Ticket {
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
        Ticket { lane: key, entry }
    }

    /// Takes a job out of its lane.
    ///
    /// # Panics
    ///
    /// Panics when the job isn't where its ticket says.
    pub(super) fn remove(&mut self, ticket: Ticket) {
        let i = self.search(&ticket.lane).expect("a ticket names a lane");
        let entries = &mut self.lanes[i].entries;
        let at = entries.binary_search(&ticket.entry).expect("a ticket names an entry");
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
