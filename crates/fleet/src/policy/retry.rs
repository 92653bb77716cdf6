//! When and where the tasks of a job are started again.
//!
//! Load pattern: on full workers only those are free that fail all that they start, and a gang spends its
//! four attempts on them within 30 ms. After a crash of a sixth of the workers, hundreds of tasks wait to
//! be started again at once, and the urgent ones have the least time.

use bulrushlink_core::{DomainId, Moment, RackId, Span};

use crate::ids::{JobId, Run, TaskId};

/// Delay after the first failed run; each further one without a success between makes it this many times
/// as long.
const FAILED_DELAY: Span = Span(50);
const FAILED_DELAY_FACTOR: u64 = 4;
/// Longest delay. A job may be without a run for 3 s while there is room, and waits for workers without
/// doubt for up to 2 s of these.
const DELAY_MAX: Span = Span(1_000);
/// Delay after a lost run for each step of priority below the most urgent one, so that urgent work finds
/// the room first. As long as a few placements take.
const LOST_DELAY: Span = Span(100);
/// Most steps of priority that count for this delay.
const LOST_PRIORITY_MAX: u32 = 3;
/// Longest random part of the delay after a lost run, over which restarts are spread.
const LOST_JITTER: Span = Span(200);
/// Failed runs of a job in a second from which on its retries wait for the next second.
const BUDGET_MIN: u32 = 2;
/// In a job with many tasks that is one of this many of them.
const BUDGET_TASKS: u32 = 4;
/// Length of the period of a budget.
const BUDGET_PERIOD: Span = Span(1_000);
/// Most places that are kept, so that a retry goes elsewhere.
const PLACES_MAX: usize = 4;

/// Where a run failed or was lost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Place {
    pub(crate) domain: DomainId,
    pub(crate) rack: Option<RackId>,
}

/// A run that has ended without success.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LostWork {
    pub(crate) task: TaskId,
    pub(crate) run: Run,
    pub(crate) gang: bool,
    /// The run has failed, which counts as an attempt.
    pub(crate) failed: bool,
    /// Number of tasks of its step.
    pub(crate) tasks: u32,
    /// Priority of its queue; 0 is the most urgent.
    pub(crate) priority: u32,
}

/// Retries of the tasks of a job.
#[derive(Clone, Debug, Default)]
pub(crate) struct Retries {
    /// No task of the job is started again before this time; other tasks may start.
    next: Moment,
    /// Failed runs since the latest success.
    failures: u32,
    /// Beginning of the present budget's period, and the failed runs in it.
    budget: (Moment, u32),
    /// The latest run of a gang that was counted.
    counted: Option<(u32, u16, Run)>,
    /// Latest places of such runs.
    places: Vec<Place>,
}

impl Retries {
    /// Counts a run that failed or was lost. The members of a gang count once.
    pub(crate) fn record(&mut self, now: Moment, work: &LostWork, place: Option<Place>) {
        if let Some(place) = place.filter(|p| !self.places.contains(p)) {
            if self.places.len() == PLACES_MAX {
                self.places.remove(0);
            }
            self.places.push(place);
        }
        let key = (work.task.round, work.task.step, work.run);
        if work.gang && self.counted.replace(key) == Some(key) {
            return;
        }
        let mut random = jitter(work.task.job, work.run, self.failures);
        let delay = if work.failed {
            self.failures = self.failures.saturating_add(1);
            let factor = FAILED_DELAY_FACTOR.saturating_pow(self.failures - 1);
            let delay = FAILED_DELAY.millis().saturating_mul(factor).min(DELAY_MAX.millis());
            Span(random.u64(delay / 2..=delay))
        } else {
            let steps = u64::from(work.priority.min(LOST_PRIORITY_MAX));
            let spread = if steps == 0 { 0 } else { random.u64(0..=LOST_JITTER.millis()) };
            Span(LOST_DELAY.millis() * steps + spread)
        };
        self.next = self.next.max(now + delay);
        if work.failed && self.is_spent(now, work.tasks) {
            self.next = self.next.max(self.budget.0 + BUDGET_PERIOD);
        }
    }

    /// Takes a retry from the budget of the present second; returns true if the budget is spent.
    fn is_spent(&mut self, now: Moment, tasks: u32) -> bool {
        if now.since(self.budget.0) >= BUDGET_PERIOD {
            self.budget = (now, 0);
        }
        self.budget.1 += 1;
        self.budget.1 >= BUDGET_MIN.max(tasks / BUDGET_TASKS)
    }

    /// Counts a run that has succeeded.
    pub(crate) fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Returns true if a task that was started before has to wait.
    pub(crate) fn must_wait(&self, now: Moment) -> bool {
        now < self.next
    }

    /// Returns true if no run of the job has failed or was lost.
    pub(crate) fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Returns how near a worker is to the places where runs of the job failed or were lost: 2 on the
    /// same rack, 1 in the same failure domain, 0 elsewhere.
    pub(crate) fn nearness(&self, domain: &DomainId, rack: Option<&RackId>) -> u8 {
        let near = |place: &Place| match () {
            () if place.domain != *domain => 0,
            () if rack.is_some() && place.rack.as_ref() == rack => 2,
            () => 1,
        };
        self.places.iter().map(near).max().unwrap_or(0)
    }
}

/// Returns the source of the random part of a delay. It differs from run to run and is the same in each
/// replay.
fn jitter(job: JobId, run: Run, failures: u32) -> fastrand::Rng {
    let mut seeds = fastrand::Rng::with_seed(job.0 ^ u64::from(run.0) << 32 ^ u64::from(failures));
    seeds.fork()
}

#[cfg(test)]
mod tests;
