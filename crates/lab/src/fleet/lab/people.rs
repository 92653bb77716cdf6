//! Callers, and what they were told.

use bulrushlink_core::Span;
use bulrushlink_fleet::{Answer, CallerCall, CallerVerb, Input, JobId, RequestId, ShownState};

use super::FleetLab;
use crate::fleet::record::Told;

impl FleetLab {
    pub(super) fn call_caller(&mut self, seat: usize, id: JobId, cancels: bool) {
        self.ordinal += 1;
        let request = RequestId(self.ordinal);
        let Some(job) = self.record.job(id) else { return };
        let verb = if cancels {
            job.unwanted = true;
            CallerVerb::Cancel
        } else {
            job.open += 1;
            CallerVerb::Submit(Ok(job.spec.clone()))
        };
        let call = caller(&job.queue, id, verb);
        self.requests.push((request, id, cancels));
        self.give(seat, Input::Caller(request, call));
    }

    /// Asks some daemon for the state of a job.
    pub(super) fn ask(&mut self, id: JobId) {
        self.ordinal += 1;
        let request = RequestId(self.ordinal);
        let Some(job) = self.record.job(id) else { return };
        job.shown = None;
        let call = caller(&job.queue, id, CallerVerb::Look);
        self.requests.push((request, id, false));
        let seat = self.seats.iter().position(|s| !s.gone).unwrap_or(0);
        self.give(seat, Input::Caller(request, call));
    }

    pub(super) fn told_caller(&mut self, request: RequestId, answer: &Answer) {
        let Some(at) = self.requests.iter().position(|r| r.0 == request) else { return };
        let (_, id, cancels) = self.requests.remove(at);
        let now = self.now;
        let Some(job) = self.record.job(id) else { return };
        match answer {
            Answer::Accepted => {
                job.told = Told::Accepted;
            }
            Answer::State(state) => job.shown = Some(*state),
            Answer::Cancelled if cancels => job.cancelled = job.cancelled.or(Some(now)),
            Answer::Unavailable(..) | Answer::Busy(_) if !cancels => {
                job.open -= 1;
                if job.told == Told::Nothing {
                    job.told = Told::Refused;
                }
            }
            _ => {}
        }
    }

    /// Checks, long after the last fault, that every accepted job has ended.
    pub fn check_ends(&mut self) {
        let ids: Vec<JobId> = self.record.jobs.iter().map(|j| j.id).collect();
        for id in ids {
            let shown = self.state(id);
            let now = self.now;
            let Some(job) = self.record.job(id) else { continue };
            let cancelled = job.unwanted;
            let ended = matches!(shown, Some(ShownState::Completed | ShownState::Failed))
                || (cancelled && shown == Some(ShownState::Cancelled));
            let text = match (job.told, shown) {
                (Told::Accepted, _) if !ended => {
                    format!("{id} was accepted and is shown as {shown:?}")
                }
                (_, Some(ShownState::Completed)) if !job.is_done() => {
                    format!("{id} is shown as completed, and a task is not done")
                }
                _ => continue,
            };
            self.record.breach(now, text);
        }
    }
}

/// Makes the call of a caller of the workspace `north`.
fn caller(queue: &str, id: JobId, verb: CallerVerb) -> CallerCall {
    CallerCall {
        host: "jobs.example".to_string(),
        path: format!("/{queue}/{id}"),
        key: Some("key-north".to_string()),
        patience: Some(Span(3_000)),
        verb,
    }
}
