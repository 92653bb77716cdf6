//! Carries out the actions of a policy, and asserts that they are allowed.

use bulrushlink_core::{Action, Ending, Moment, Span, StopReason};

use super::{JobState, Run, job_index};
use crate::agenda::SimEvent;

impl Run<'_> {
    pub(super) fn act(&mut self, domain: usize, action: Action, now: Moment) {
        match action {
            Action::Start { key, attempt, placement } => {
                let job = job_index(&key);
                assert_eq!(
                    self.jobs[job],
                    JobState::Assigned(domain),
                    "{key} starts in a domain that does not hold it"
                );
                self.end_idle(job, now);
                self.last_attempts[job] = attempt;
                self.workers.start(domain, job, attempt, &placement, now, &mut self.events);
            }
            Action::Stop { key, attempt, grace, reason } => {
                self.count_stop(reason);
                self.workers.stop((job_index(&key), attempt), grace, now, &mut self.events);
            }
            Action::Throttle { key, attempt, percent } => {
                self.workers.throttle((job_index(&key), attempt), percent, now, &mut self.events);
            }
            Action::Finish { key, ending } => self.finish(domain, job_index(&key), ending, now),
            Action::HandOver { key, attempt } => {
                let job = job_index(&key);
                assert_eq!(
                    self.jobs[job],
                    JobState::Assigned(domain),
                    "{key} is handed over by a domain that does not hold it"
                );
                assert!(
                    !self.workers.holds(job),
                    "{key} is handed over while it holds accelerators"
                );
                assert!(
                    attempt >= self.last_attempts[job],
                    "{key} is handed over with an outdated attempt"
                );
                self.jobs[job] = JobState::Unassigned;
                self.idle_since[job].get_or_insert(now);
                self.events.schedule(now, SimEvent::Route(job));
            }
            Action::Quarantine(_) | Action::Readmit(_) => {}
        }
    }

    fn count_stop(&mut self, reason: StopReason) {
        let count = match reason {
            StopReason::Reclaimed => &mut self.stops.reclaimed,
            StopReason::Defragmented => &mut self.stops.moved,
            StopReason::DomainLeaves => &mut self.stops.left,
            StopReason::Cancelled | StopReason::GangIncomplete => &mut self.stops.other,
        };
        *count += 1;
    }

    fn finish(&mut self, domain: usize, job: usize, ending: Ending, now: Moment) {
        let key = &self.workload.jobs[job].spec.key;
        assert_eq!(
            self.jobs[job],
            JobState::Assigned(domain),
            "{key} ends in a domain that does not hold it"
        );
        assert!(!self.workers.holds(job), "{key} ends while it holds accelerators");
        self.check_ending(job, &ending);
        if let Ending::Refused(refusal) = &ending
            && let Some(retry) = refusal.retry
            && self.workload.jobs[job].cancel.is_none_or(|at| at > now)
        {
            self.jobs[job] = JobState::Unassigned;
            self.events.schedule(now + retry.max(Span(1)), SimEvent::Route(job));
            return;
        }
        self.end(job, Some(ending), now);
    }

    /// Asserts that the ending reported to the caller agrees with what happened.
    fn check_ending(&self, job: usize, ending: &Ending) {
        let key = &self.workload.jobs[job].spec.key;
        let ran = self.workers.records[job].starts > 0;
        match ending {
            Ending::Refused(_) => assert!(!ran, "{key} is reported as refused but ran"),
            Ending::Completed { .. } => {
                assert!(ran, "{key} is reported as completed but never ran")
            }
            Ending::Cancelled { ran: reported } => {
                assert!(*reported || !ran, "{key} is reported as not run but ran")
            }
            Ending::Failed { .. } | Ending::Unknown { .. } => {}
        }
    }

    pub(super) fn end(&mut self, job: usize, ending: Option<Ending>, now: Moment) {
        assert_ne!(self.jobs[job], JobState::Ended, "a job ended twice");
        self.end_idle(job, now);
        self.jobs[job] = JobState::Ended;
        self.unfinished -= 1;
        self.outcomes[job].end = Some((now, ending));
    }
}
