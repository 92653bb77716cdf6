//! Jobs that were sent to a failure domain since its load was last heard.
//!
//! Loads are heard every few hundred milliseconds. Without this, a burst of jobs within that time
//! would all go to the domain that looked best at its beginning.

use bulrushlink_core::{DomainId, DomainView, JobSpec, Moment, Span};

#[cfg(test)]
mod tests;

/// Time after which a job that was sent is part of the load that is heard.
const UNHEARD_SPAN: Span = Span::from_secs(1);
/// The most jobs that are counted; more of them in so short a time are refused elsewhere.
const UNHEARD_MAX: usize = 1_000;

#[derive(Debug)]
struct Sent {
    domain: DomainId,
    spec: JobSpec,
    at: Moment,
}

/// Jobs sent within the last [`UNHEARD_SPAN`], in the order of time.
#[derive(Debug, Default)]
pub(super) struct Recent {
    sent: Vec<Sent>,
}

impl Recent {
    /// Notes a job that is sent to a domain for the first time.
    pub(super) fn note(&mut self, domain: &DomainId, spec: &JobSpec, now: Moment) {
        let heard = self.sent.partition_point(|sent| now.since(sent.at) >= UNHEARD_SPAN);
        let over = (self.sent.len() + 1).saturating_sub(UNHEARD_MAX);
        self.sent.drain(..heard.max(over));
        self.sent.push(Sent { domain: domain.clone(), spec: spec.clone(), at: now });
    }

    /// Adds what was sent to the loads that were heard.
    pub(super) fn add_to(&self, views: &mut [DomainView], now: Moment) {
        for sent in self.sent.iter().filter(|sent| now.since(sent.at) < UNHEARD_SPAN) {
            if let Some(view) = views.iter_mut().find(|view| view.id == sent.domain) {
                view.load.add(&sent.spec);
            }
        }
    }
}
