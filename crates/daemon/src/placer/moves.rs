//! Moves waiting jobs to a failure domain that has room for them now.
//!
//! A job is routed once, on loads that are a second old, and gangs wait for long where another
//! domain has a rack that is free. So every few seconds the placer offers the jobs that have waited
//! longest to the other domains. The scheduler has the last word: it keeps what it is about to
//! start. The cost of a move is one write of the record, and the job's place in the order here.

use bulrushlink_core::{Event, JobKey, Moment, Span, reroute};

use crate::edge::Context;
use crate::journal::Kept;
use crate::placer::job::{Claim, Job, Place};
use crate::placer::{Placer, Standing, World};

/// Time between two looks for room elsewhere.
const LOOK_EVERY: Span = Span::from_secs(5);
/// Wait after which a job is offered.
const OFFER_AFTER: Span = Span::from_secs(10);
/// Time between two offers of a job, and after its move before the next one.
const OFFER_EVERY: Span = Span::from_secs(180);
/// The most jobs that one look offers.
const OFFERS_MAX: usize = 4;
/// The most jobs that one look considers.
const LOOKS_MAX: usize = 64;

impl Placer {
    /// Offers jobs that have waited long to domains that have room for them.
    pub(super) fn tick_moves(&mut self, world: World<'_>, cx: &Context<'_>) {
        let due = cx.now.since(self.looked) >= LOOK_EVERY;
        if !due || !matches!(self.standing, Standing::Active) {
            return;
        }
        self.looked = cx.now;
        let Some(state) = world.state else { return };
        let mut views = world.members.views(cx.now);
        let mut left = OFFERS_MAX;
        for i in self.offerable(cx.now) {
            let job = &mut self.jobs[i];
            let Some(domain) = reroute(&job.spec, state, &views, &self.domain) else { continue };
            for view in views.iter_mut().filter(|view| view.id == domain) {
                view.load.add(&job.spec);
            }
            job.offered = Some(cx.now);
            left -= 1;
            let key: JobKey = job.key().clone();
            self.events.push_back(Event::Release(key));
            if left == 0 {
                return;
            }
        }
    }

    /// Lists the jobs that may be offered now, the longest wait first.
    fn offerable(&self, now: Moment) -> Vec<usize> {
        let mut list: Vec<_> =
            (0..self.jobs.len()).filter(|i| is_offerable(&self.jobs[*i], now)).collect();
        list.sort_by_key(|i| {
            let job = &self.jobs[*i];
            job.submitted.0 as i64 - job.age.0 as i64
        });
        list.truncate(LOOKS_MAX);
        list
    }
}

/// Tells whether a job's record is settled here, and it has waited and not moved for long enough.
fn is_offerable(job: &Job, now: Moment) -> bool {
    let settled = job.claim == Claim::Owned && job.writing.is_none() && !job.doubtful;
    let current = job.kept.as_ref().is_some_and(|Kept { record, .. }| *record == job.wanted);
    let open = job.end.is_none() && !job.gone && job.cancel.is_none() && !job.wanted.cancelled;
    let waits = matches!(job.place, Place::Waiting) && now.since(job.submitted) >= OFFER_AFTER;
    // A job that was old when it came has been elsewhere.
    let moved = (job.age >= OFFER_AFTER).then_some(job.submitted);
    let last = job.offered.or(moved);
    settled && current && open && waits && last.is_none_or(|at| now.since(at) >= OFFER_EVERY)
}
