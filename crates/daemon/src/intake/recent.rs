//! Jobs that were sent to a failure domain since its load was last reported.
//!
//! Loads are reported every few hundred milliseconds. Without this count, a burst of jobs within
//! that time would all go to the domain that had the best load at its beginning.

use bulrushlink_core::{DomainId, DomainView, JobSpec, Moment, Span};

#[cfg(test)]
mod tests;

/// Time after which a sent job is included in the reported load.
const LOAD_REPORT_DELAY: Span = Span::from_secs(1);
/// Limit on the jobs that are counted; more jobs in so short a time are refused elsewhere.
const RECENT_MAX: usize = 1_000;

#[derive(Debug)]
struct Sent {
    domain: DomainId,
    spec: JobSpec,
    at: Moment,
}

/// Jobs sent within the last [`LOAD_REPORT_DELAY`], oldest first.
#[derive(Debug, Default)]
pub(super) struct RecentSubmissions {
    sent: Vec<Sent>,
}

impl RecentSubmissions {
    /// Records a job that is sent to a domain for the first time.
    pub(super) fn record(&mut self, domain: &DomainId, spec: &JobSpec, now: Moment) {
        let reported = self.sent.partition_point(|sent| now.since(sent.at) >= LOAD_REPORT_DELAY);
        let excess = (self.sent.len() + 1).saturating_sub(RECENT_MAX);
        self.sent.drain(..reported.max(excess));
        self.sent.push(Sent { domain: domain.clone(), spec: spec.clone(), at: now });
    }

    /// Adds the sent jobs to the reported loads.
    pub(super) fn add_to_loads(&self, views: &mut [DomainView], now: Moment) {
        for sent in self.sent.iter().filter(|sent| now.since(sent.at) < LOAD_REPORT_DELAY) {
            if let Some(view) = views.iter_mut().find(|view| view.id == sent.domain) {
                view.load.add_waiting(&sent.spec);
            }
        }
    }
}
