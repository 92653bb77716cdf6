//! What a node is doing, for an observer outside its event loop.
//!
//! While a turn of the event loop doesn't end, the daemon serves neither metrics nor the dump, and logs
//! nothing. The node therefore notes the part of its work, and the job that it works on, where another
//! thread can read them.

use derive_more::Display;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};

use crate::ids::JobId;

/// Part of a node's work.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
#[repr(u8)]
pub enum Part {
    /// None: the node isn't working, or does something that isn't listed here.
    #[default]
    #[display("other")]
    Other,
    /// Handling a request of a caller.
    #[display("request")]
    Request,
    /// Applying a reply of the store.
    #[display("store_reply")]
    StoreReply,
    /// Applying a reply of a worker.
    #[display("worker_reply")]
    WorkerReply,
    /// Starting to place, with the records of earlier placers.
    #[display("restore")]
    Restore,
    /// Checking leases, claims and stalled runs.
    #[display("review")]
    Review,
    /// Listing and ranking the work that waits.
    #[display("rank")]
    Rank,
    /// Choosing workers.
    #[display("place")]
    Place,
    /// Writing the states of jobs.
    #[display("commit")]
    Commit,
    /// Making the forecast for admission.
    #[display("forecast")]
    Forecast,
    /// Calling the workers.
    #[display("holds")]
    Holds,
}

impl Part {
    const ALL: [Self; 11] = [
        Self::Other,
        Self::Request,
        Self::StoreReply,
        Self::WorkerReply,
        Self::Restore,
        Self::Review,
        Self::Rank,
        Self::Place,
        Self::Commit,
        Self::Forecast,
        Self::Holds,
    ];
}

/// The present activity of a node; its clones show the same.
///
/// # Example
///
/// ```
/// use bulrushlink_fleet::{Activity, Part};
///
/// let activity = Activity::default();
/// let observer = activity.clone();
/// activity.enter(Part::Commit);
/// assert_eq!(observer.present(), (Part::Commit, None));
/// ```
#[derive(Clone, Debug, Default)]
pub struct Activity(Arc<Cells>);

#[derive(Debug, Default)]
struct Cells {
    part: AtomicU8,
    /// Identifier of the job; meaningless unless `has_job` is 1.
    job: AtomicU64,
    has_job: AtomicU8,
}

impl Activity {
    /// Notes that a part of the work begins.
    pub fn enter(&self, part: Part) {
        self.0.has_job.store(0, Ordering::Relaxed);
        self.0.part.store(part as u8, Ordering::Relaxed);
    }

    /// Notes the job that the present part works on.
    pub fn work_on(&self, job: JobId) {
        self.0.job.store(job.0, Ordering::Relaxed);
        self.0.has_job.store(1, Ordering::Relaxed);
    }

    /// Returns the part that is being worked on, with its job if it goes job by job. While it changes, the
    /// two may not belong together.
    pub fn present(&self) -> (Part, Option<JobId>) {
        let part = Part::ALL.get(usize::from(self.0.part.load(Ordering::Relaxed)));
        let has_job = self.0.has_job.load(Ordering::Relaxed) == 1;
        let job = JobId(self.0.job.load(Ordering::Relaxed));
        (part.copied().unwrap_or_default(), has_job.then_some(job))
    }
}

#[cfg(test)]
mod tests;
