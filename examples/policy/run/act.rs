//! Carries out what a policy asks for, and asserts that it may.

use bulrushlink_core::{Action, Ending, Moment, Span, StopReason};

use super::{Run, State, index};
use crate::agenda::Happening;

impl Run<'_> {
    pub(super) fn act(&mut self, domain: usize, action: Action, now: Moment) {
        match action {
            Action::Start { key, attempt, placement } => {
                let job = index(&key);
                assert_eq!(self.jobs[job], State::Inside(domain), "{key} starts where it isn't");
                self.note_busy(job, now);
                self.last[job] = attempt;
                self.table.start(domain, job, attempt, &placement, now, &mut self.agenda);
            }
            Action::Stop { key, attempt, grace, reason } => {
                self.count_stop(reason);
                self.table.stop((index(&key), attempt), grace, now, &mut self.agenda);
            }
            Action::Throttle { key, attempt, percent } => {
                self.table.throttle((index(&key), attempt), percent, now, &mut self.agenda);
            }
            Action::Finish { key, ending } => self.finish(domain, index(&key), ending, now),
            Action::HandOver { key, attempt } => {
                let job = index(&key);
                assert_eq!(self.jobs[job], State::Inside(domain), "{key} isn't there");
                assert!(!self.table.holds(job), "{key} is handed over while it runs");
                assert!(attempt >= self.last[job], "{key} forgets an attempt");
                self.jobs[job] = State::Outside;
                self.idle[job].get_or_insert(now);
                self.agenda.add(now, Happening::Route(job));
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
        assert_eq!(self.jobs[job], State::Inside(domain), "{key} ends where it isn't");
        assert!(!self.table.holds(job), "{key} ends while it runs");
        self.check_truth(job, &ending);
        if let Ending::Refused(refusal) = &ending
            && let Some(retry) = refusal.retry
            && self.workload.jobs[job].cancel.is_none_or(|at| at > now)
        {
            self.jobs[job] = State::Outside;
            self.agenda.add(now + retry.max(Span(1)), Happening::Route(job));
            return;
        }
        self.end(job, Some(ending), now);
    }

    /// Asserts that what the caller is told agrees with what happened.
    fn check_truth(&self, job: usize, ending: &Ending) {
        let key = &self.workload.jobs[job].spec.key;
        let ran = self.table.records[job].starts > 0;
        match ending {
            Ending::Refused(_) => assert!(!ran, "{key} ran and is told that it didn't"),
            Ending::Completed { .. } => assert!(ran, "{key} completed and never ran"),
            Ending::Cancelled { ran: told } => assert!(*told || !ran, "{key} ran, told not run"),
            Ending::Failed { .. } | Ending::Unknown { .. } => {}
        }
    }

    pub(super) fn end(&mut self, job: usize, ending: Option<Ending>, now: Moment) {
        assert_ne!(self.jobs[job], State::Ended, "a job ends once");
        self.note_busy(job, now);
        self.jobs[job] = State::Ended;
        self.left -= 1;
        self.outcomes[job].end = Some((now, ending));
    }
}
