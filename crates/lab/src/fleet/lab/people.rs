//! Requests of callers, and the answers that they get.

use bulrushlink_core::Span;
use bulrushlink_fleet::{
    Answer, CallerCall, CallerVerb, Input, JobId, JobSpec, RequestId, ShownState,
};

use super::{Event, FleetLab, WORKSPACES};
use crate::fleet::record::{JobTrack, SubmitOutcome};

impl FleetLab {
    /// Schedules the submission of a job to a daemon.
    pub fn submit(&mut self, at: u64, daemon: usize, id: JobId, queue: &str, spec: JobSpec) {
        let workspace = WORKSPACES[0].parse().expect("a valid name");
        self.record.jobs.push(JobTrack::new(id, queue, workspace, spec));
        self.schedule(at, Event::Submit(daemon, id));
    }

    /// Schedules a repeat of a submission, usually to another daemon.
    pub fn submit_again(&mut self, at: u64, daemon: usize, id: JobId) {
        self.schedule(at, Event::Submit(daemon, id));
    }

    /// Schedules the cancellation of a job at a daemon.
    pub fn cancel(&mut self, at: u64, daemon: usize, id: JobId) {
        self.schedule(at, Event::Cancel(daemon, id));
    }

    /// Assigns a job to another workspace, before it is submitted.
    pub fn assign(&mut self, id: JobId, workspace: &str) {
        if let Some(job) = self.record.job(id) {
            job.workspace = workspace.parse().expect("a valid name");
        }
    }

    pub(super) fn send_request(&mut self, daemon: usize, id: JobId, cancels: bool) {
        self.sequence += 1;
        let request = RequestId(self.sequence);
        let Some(job) = self.record.job(id) else { return };
        let verb = if cancels {
            job.cancel_requested = true;
            CallerVerb::Cancel
        } else {
            job.open_submits += 1;
            CallerVerb::Submit(Ok(job.spec.clone()))
        };
        let call = caller_call(job, verb);
        self.requests.push((request, id, cancels));
        self.deliver(daemon, Input::Caller(request, call));
    }

    /// Sends a request for the state of a job to the first daemon that has not exited.
    pub(super) fn request_state(&mut self, id: JobId) {
        self.sequence += 1;
        let request = RequestId(self.sequence);
        let Some(job) = self.record.job(id) else { return };
        job.shown_state = None;
        let call = caller_call(job, CallerVerb::Get);
        self.requests.push((request, id, false));
        let daemon = self.daemons.iter().position(|s| !s.exited).unwrap_or(0);
        self.deliver(daemon, Input::Caller(request, call));
    }

    pub(super) fn record_answer(&mut self, request: RequestId, answer: &Answer) {
        let Some(at) = self.requests.iter().position(|r| r.0 == request) else { return };
        let (_, id, cancels) = self.requests.remove(at);
        let now = self.now;
        let Some(job) = self.record.job(id) else { return };
        match answer {
            Answer::Accepted => {
                job.outcome = SubmitOutcome::Accepted;
            }
            Answer::State(state) => job.shown_state = Some(*state),
            Answer::Cancelled if cancels => job.cancelled = job.cancelled.or(Some(now)),
            Answer::Unavailable(..) | Answer::Busy(_) | Answer::Refused(..) if !cancels => {
                job.open_submits -= 1;
                if job.outcome == SubmitOutcome::Pending {
                    job.outcome = SubmitOutcome::Refused;
                }
                if let Answer::Refused(_, after) = answer {
                    self.record.refusals.push((now, id, after.millis()));
                }
            }
            _ => {}
        }
    }

    /// Takes the submissions that were refused as they can't be served in time: when, which job, and the time
    /// to come back in milliseconds.
    pub fn take_refusals(&mut self) -> Vec<(u64, JobId, u64)> {
        std::mem::take(&mut self.record.refusals)
    }

    /// Records a violation for each accepted job that has not ended and for each job that is shown
    /// as completed with a task that is not done, or as failed without cause. To be called long
    /// after the last fault.
    pub fn check_ends(&mut self) {
        let ids: Vec<JobId> = self.record.jobs.iter().map(|j| j.id).collect();
        for id in ids {
            let shown = self.state(id);
            let now = self.now;
            let queues = &self.store.catalog().queues;
            let Some(job) = self.record.jobs.iter().find(|j| j.id == id) else { continue };
            let attempts = queues.iter().find(|q| q.name == job.queue).map_or(1, |q| q.attempts);
            let cancelled = job.cancel_requested;
            let ended = matches!(shown, Some(ShownState::Completed | ShownState::Failed))
                || (cancelled && shown == Some(ShownState::Cancelled));
            let text = match (job.outcome, shown) {
                (SubmitOutcome::Accepted, _) if !ended => {
                    format!("{id} was accepted and is shown as {shown:?}")
                }
                (_, Some(ShownState::Completed)) if !job.is_done() => {
                    format!("{id} is shown as completed, and a task is not done")
                }
                (_, Some(ShownState::Failed)) if !self.record.may_fail(job, attempts) => {
                    format!("{id} is shown as failed without cause")
                }
                _ => continue,
            };
            self.record.record_violation(now, text);
        }
    }
}

/// Returns a call with the key of the job's workspace.
fn caller_call(job: &JobTrack, verb: CallerVerb) -> CallerCall {
    CallerCall {
        host: "jobs.example".to_string(),
        path: format!("/{}/{}", job.queue, job.id),
        key: Some(format!("key-{}", job.workspace)),
        timeout: Some(Span(3_000)),
        verb,
    }
}
