//! The placer's jobs.
//!
//! Each pass looks up the jobs of thousands of runs. Jobs are large, and a search among them would read
//! memory all over the list, so it goes by a list of the identifiers alone.

use std::fmt;
use std::ops::{Deref, DerefMut};

use crate::ids::JobId;

use super::job::Job;

/// Jobs, sorted by identifier.
#[derive(Clone, Default)]
pub(crate) struct Jobs {
    /// Identifiers of `list`, in its order.
    ids: Vec<JobId>,
    list: Vec<Job>,
    /// Sum of the memory of `list`, in bytes.
    bytes: u64,
}

impl Jobs {
    /// Returns the position of a job, or the one at which it belongs.
    pub(crate) fn position(&self, id: JobId) -> Result<usize, usize> {
        self.ids.binary_search(&id)
    }

    /// Inserts a job at the position at which it belongs.
    pub(crate) fn insert(&mut self, at: usize, job: Job) {
        self.ids.insert(at, job.id);
        self.bytes += job.bytes;
        self.list.insert(at, job);
    }

    /// Removes the job at a position.
    pub(crate) fn remove(&mut self, at: usize) -> Job {
        self.ids.remove(at);
        let job = self.list.remove(at);
        self.bytes -= job.bytes;
        job
    }

    /// Removes the jobs that don't match.
    pub(crate) fn retain(&mut self, matches: impl Fn(&Job) -> bool) {
        self.list.retain(matches);
        self.ids.clear();
        self.ids.extend(self.list.iter().map(|j| j.id));
        self.bytes = self.list.iter().map(|j| j.bytes).sum();
    }

    /// Returns the memory that the jobs take, in bytes.
    pub(crate) fn bytes(&self) -> u64 {
        self.bytes
    }
}

impl Deref for Jobs {
    type Target = [Job];

    fn deref(&self) -> &[Job] {
        &self.list
    }
}

/// Callers may change anything but the identifier of a job.
impl DerefMut for Jobs {
    fn deref_mut(&mut self) -> &mut [Job] {
        &mut self.list
    }
}

/// Operators see the bare list in the dump.
impl fmt::Debug for Jobs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_list().entries(&self.list).finish()
    }
}
