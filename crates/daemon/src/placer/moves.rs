//! Moves waiting jobs to a failure domain that now has room for them.
//!
//! A job is routed once, on loads that are a second old, and a gang can wait for long while
//! another domain has a free rack. So every few seconds the placer searches for room for the
//! jobs that have waited longest. It offers such a job for a move, that is, asks its scheduler to
//! give the job up; the scheduler keeps a job that it is about to start. A move costs one write of
//! the record and the job's position in the queue here.

use bulrushlink_core::{Event, JobKey, Moment, Span, reroute};

use crate::edge::Context;
use crate::journal::StoredRecord;
use crate::placer::job::{Job, RecordState, Stage};
use crate::placer::{DaemonView, Mode, Placer};

/// Interval between searches for room in other domains.
const SEARCH_INTERVAL: Span = Span::from_secs(5);
/// Minimum time that a job waits before it is offered.
const OFFER_MIN_WAIT: Span = Span::from_secs(10);
/// Minimum time between two offers of a job, and between its move and the next offer.
const OFFER_INTERVAL: Span = Span::from_secs(180);
/// Limit on the jobs offered by one search.
const OFFERS_MAX: usize = 4;
/// Limit on the jobs considered by one search.
const CANDIDATES_MAX: usize = 64;

impl Placer {
    /// Offers jobs that have waited long for a move if another domain has room for them.
    pub(super) fn tick_moves(&mut self, view: DaemonView<'_>, cx: &Context<'_>) {
        let due = cx.now.since(self.last_search) >= SEARCH_INTERVAL;
        if !due || !matches!(self.mode, Mode::Active) {
            return;
        }
        self.last_search = cx.now;
        let Some(state) = view.state else { return };
        let mut views = view.members.views(cx.now);
        let mut left = OFFERS_MAX;
        for i in self.movable_jobs(cx.now) {
            let job = &mut self.jobs[i];
            let Some(domain) = reroute(&job.spec, state, &views, &self.domain) else { continue };
            for view in views.iter_mut().filter(|view| view.id == domain) {
                view.load.add_waiting(&job.spec);
            }
            job.offered = Some(cx.now);
            left -= 1;
            let key: JobKey = job.key().clone();
            self.events.push_back(Event::Reroute(key));
            if left == 0 {
                return;
            }
        }
    }

    /// Lists the jobs that may be offered now, longest wait first.
    fn movable_jobs(&self, now: Moment) -> Vec<usize> {
        let mut list: Vec<_> =
            (0..self.jobs.len()).filter(|i| is_movable(&self.jobs[*i], now)).collect();
        list.sort_by_key(|i| {
            let job = &self.jobs[*i];
            job.submitted.0 as i64 - job.age.0 as i64
        });
        list.truncate(CANDIDATES_MAX);
        list
    }
}

/// Returns true if a job's record is settled and it has waited without an offer for long enough.
fn is_movable(job: &Job, now: Moment) -> bool {
    let settled = job.record_state == RecordState::Owned && job.writing.is_none() && !job.uncertain;
    let current =
        job.stored.as_ref().is_some_and(|StoredRecord { record, .. }| *record == job.desired);
    let open =
        job.end.is_none() && !job.abandoned && job.cancel.is_none() && !job.desired.cancelled;
    let waits = matches!(job.stage, Stage::Waiting) && now.since(job.submitted) >= OFFER_MIN_WAIT;
    // A job that was old when it arrived was already moved from another domain.
    let moved = (job.age >= OFFER_MIN_WAIT).then_some(job.submitted);
    let last = job.offered.or(moved);
    settled && current && open && waits && last.is_none_or(|at| now.since(at) >= OFFER_INTERVAL)
}
