//! Circuit breakers of workers.
//!
//! Load pattern: bursts of gangs while some of the workers crash and boot again every second or two,
//! others fail all that they start, and many crash at once. A gang that gets one faulty worker is lost,
//! so faulty workers have to be known before the next burst. A worker isn't blamed for a cause that it
//! shares with many others of its failure domain, or for a job that fails wherever it runs.

use bulrushlink_core::{DomainId, Moment, Span};
use std::fmt;
use std::net::SocketAddr;

use crate::ids::JobId;

/// Time for which a breaker opens first. Faulty workers crash again after up to 1.6 s, so that the
/// second crash finds the breaker open.
const OPEN_MIN: Span = Span(2_000);
/// Longest time for which a breaker opens; each relapse doubles the time up to this. Workers crash again and
/// again for 7 s, and at 8 s they stayed idle for as long after that while other work waited.
const OPEN_MAX: Span = Span(4_000);
/// Time after its latest event, or after it became half open, for which an entry is kept.
const RETENTION: Span = Span(30_000);
/// Time within which failed runs of several jobs, or a second crash, open a breaker.
const FAULT_WINDOW: Span = Span(10_000);
/// Number of jobs with failed runs in that time at which a breaker opens: one alone may have failed by
/// its own fault.
const FAILED_JOBS: usize = 2;
/// Most failed jobs that are kept of a worker.
const FAILED_JOBS_KEPT: usize = 4;
/// Number of sound workers on which a job has failed from which on it is the job's own fault. A gang that
/// fails on several faulty workers tells nothing: on full workers only faulty ones are free.
const JOB_FAULT_WORKERS: usize = 3;
/// A job is at fault only if it has failed on one sound worker for at most this many of its tasks: a wide
/// job meets several workers by chance that have just become faulty.
const JOB_FAULT_TASKS: usize = 4;
/// Most workers that are kept of a job.
const JOB_WORKERS_KEPT: usize = 16;
/// Workers that are lost within this time may have crashed for the same cause.
const SAME_CRASH_WINDOW: Span = Span(500);
/// Workers whose contact is lost within this time may have been cut off together: a call to a worker
/// takes up to 2.5 s to time out.
const SAME_CUT_WINDOW: Span = Span(2_500);
/// Least number of other workers of the domain that are lost together for the same cause.
const SAME_CAUSE_WORKERS: usize = 3;
/// Least share of the domain's workers that are lost together for the same cause, as a divisor. About
/// 6% of the workers crash independently within the window while 8% crash every 1.3 s.
const SAME_CAUSE_DIVISOR: usize = 8;
/// Most workers that have an entry.
const ENTRIES_MAX: usize = 2_048;
/// Most jobs whose failures are kept.
const JOBS_MAX: usize = 64;
/// Most losses of contact that are kept.
const LOSSES_MAX: usize = 2_048;

/// State of a worker's breaker, in the order of doubt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum BreakerState {
    /// Nothing speaks against the worker.
    #[default]
    Closed,
    /// The worker gets single tasks as trials.
    HalfOpen,
    /// The worker is avoided.
    Open,
}

/// Why a breaker has changed its state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reason {
    Failures,
    Crash,
    LostContact,
    Refusal,
    TimeOver,
    Success,
    JobAtFault,
    Expired,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Failures => "runs of several jobs have failed",
            Self::Crash => "the worker has crashed",
            Self::LostContact => "contact with the worker was lost",
            Self::Refusal => "the worker has refused a start as unhealthy",
            Self::TimeOver => "the time of the open state is over",
            Self::Success => "a run has succeeded",
            Self::JobAtFault => "the failed job fails wherever it runs",
            Self::Expired => "no event within the retention period",
        })
    }
}

/// A change of a breaker's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Change {
    pub(crate) addr: SocketAddr,
    pub(crate) state: BreakerState,
    pub(crate) reason: Reason,
    /// Number of times that it has opened again.
    pub(crate) relapses: u32,
}

/// The loss of a worker, once it is known how it ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Incident<'a> {
    pub(crate) addr: SocketAddr,
    pub(crate) domain: &'a DomainId,
    /// When contact was lost.
    pub(crate) at: Moment,
    /// Another boot has replaced the lost one.
    pub(crate) crashed: bool,
    /// Number of workers of the domain whose loss would have been noticed.
    pub(crate) watched: usize,
}

#[derive(Clone, Debug)]
struct Entry {
    addr: SocketAddr,
    state: BreakerState,
    /// When it last opened; evidence from before is of the same incident.
    opened: Option<Moment>,
    /// End of the open state.
    until: Moment,
    relapses: u32,
    /// Latest event or change.
    touched: Moment,
    /// Latest crash, also one with a common cause.
    crashed: Option<Moment>,
    /// Recent failed runs, at most one for each job.
    failed: Vec<(Moment, JobId)>,
    /// It is open because of failed runs alone.
    by_failures: bool,
}

impl Entry {
    fn open(&mut self, now: Moment, reason: Reason) -> Change {
        if self.opened.is_some() {
            self.relapses = self.relapses.saturating_add(1);
        }
        let doubled = OPEN_MIN.millis().saturating_mul(1 << self.relapses.min(16));
        self.until = now + Span(doubled).min(OPEN_MAX);
        self.opened = Some(now);
        self.by_failures = reason == Reason::Failures;
        self.change(now, BreakerState::Open, reason)
    }

    fn change(&mut self, now: Moment, state: BreakerState, reason: Reason) -> Change {
        (self.state, self.touched) = (state, now);
        Change { addr: self.addr, state, reason, relapses: self.relapses }
    }

    /// Returns true if something that began at `began` belongs to the incident that opened it.
    fn is_known(&self, began: Moment) -> bool {
        self.opened.is_some_and(|opened| began <= opened)
    }
}

/// A run that has failed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FailedRun {
    pub(crate) job: JobId,
    /// Number of tasks of the job's widest step.
    pub(crate) tasks: u32,
    /// When it started.
    pub(crate) began: Moment,
    /// The worker has had a recent success, and has failed no other job since.
    pub(crate) on_sound: bool,
}

/// Failures of a job on several workers.
#[derive(Clone, Debug)]
struct FailedJob {
    job: JobId,
    touched: Moment,
    workers: Vec<SocketAddr>,
    /// Number of them that were sound.
    sound: usize,
}

#[derive(Clone, Debug)]
struct Loss {
    at: Moment,
    addr: SocketAddr,
    domain: DomainId,
}

/// The breakers of all workers, by address: a worker that boots under another identifier keeps its
/// breaker. Memory is bounded; workers without recent faults have no entry.
#[derive(Clone, Debug, Default)]
pub(crate) struct Breakers {
    /// Sorted by address.
    entries: Vec<Entry>,
    jobs: Vec<FailedJob>,
    /// In the order of time.
    losses: Vec<Loss>,
}

impl Breakers {
    fn index(&self, addr: SocketAddr) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&addr, |e| e.addr)
    }

    /// Returns the entry of a worker. The oldest one makes room for a new one.
    fn entry(&mut self, addr: SocketAddr, now: Moment) -> &mut Entry {
        if self.index(addr).is_err() && self.entries.len() >= ENTRIES_MAX {
            let oldest = self.entries.iter().enumerate().min_by_key(|(_, e)| e.touched);
            if let Some(at) = oldest.map(|(at, _)| at) {
                self.entries.remove(at);
            }
        }
        let at = self.index(addr).unwrap_or_else(|at| {
            let entry = Entry {
                addr,
                state: BreakerState::Closed,
                opened: None,
                until: now,
                relapses: 0,
                touched: now,
                crashed: None,
                failed: Vec::new(),
                by_failures: false,
            };
            self.entries.insert(at, entry);
            at
        });
        let entry = &mut self.entries[at];
        entry.touched = entry.touched.max(now);
        entry
    }

    /// Returns the state of a worker's breaker.
    pub(crate) fn state(&self, addr: SocketAddr, now: Moment) -> BreakerState {
        let Ok(at) = self.index(addr) else { return BreakerState::Closed };
        let entry = &self.entries[at];
        match entry.state {
            BreakerState::Open if now >= entry.until => BreakerState::HalfOpen,
            state => state,
        }
    }

    /// Returns the numbers of open and of half open breakers, as of the latest review.
    pub(crate) fn counts(&self) -> (usize, usize) {
        let count = |state| self.entries.iter().filter(|e| e.state == state).count();
        (count(BreakerState::Open), count(BreakerState::HalfOpen))
    }

    /// Remembers that contact with a worker was lost, which tells common causes from faulty workers.
    pub(crate) fn note_loss(&mut self, at: Moment, addr: SocketAddr, domain: &DomainId) {
        self.losses.retain(|l| at.since(l.at) <= RETENTION);
        if self.losses.len() >= LOSSES_MAX {
            self.losses.remove(0);
        }
        self.losses.push(Loss { at, addr, domain: domain.clone() });
    }

    /// Returns true if so many other workers of the domain were lost at the same time that the cause
    /// isn't the worker.
    fn has_common_cause(&self, incident: &Incident<'_>) -> bool {
        let window = if incident.crashed { SAME_CRASH_WINDOW } else { SAME_CUT_WINDOW };
        let near = |l: &&Loss| {
            let apart = l.at.max(incident.at).since(l.at.min(incident.at));
            apart <= window && l.addr != incident.addr && l.domain == *incident.domain
        };
        let others = self.losses.iter().filter(near).count();
        // While few workers have runs, the cut of a domain is noticed on these only.
        let all_cut = !incident.crashed && others > 0 && others + 1 >= incident.watched;
        all_cut || others >= SAME_CAUSE_WORKERS.max(incident.watched / SAME_CAUSE_DIVISOR)
    }

    /// Counts the loss of a worker. A second crash counts even if it has a common cause.
    pub(crate) fn record_loss(&mut self, now: Moment, incident: &Incident<'_>) -> Option<Change> {
        let common = self.has_common_cause(incident);
        if common && !incident.crashed {
            return None;
        }
        let entry = self.entry(incident.addr, now);
        if entry.is_known(incident.at) {
            return None;
        }
        if !incident.crashed {
            return Some(entry.open(now, Reason::LostContact));
        }
        let before = entry.crashed.replace(now);
        let repeated = before.is_some_and(|at| now.since(at) <= FAULT_WINDOW);
        (!common || repeated).then(|| entry.open(now, Reason::Crash))
    }

    /// Counts a start at `began` that the worker has refused as unhealthy.
    pub(crate) fn record_refusal(
        &mut self,
        now: Moment,
        addr: SocketAddr,
        began: Moment,
    ) -> Option<Change> {
        let entry = self.entry(addr, now);
        (!entry.is_known(began)).then(|| entry.open(now, Reason::Refusal))
    }

    /// Counts a run that has failed. Returns the changes: if the job turns out to be at fault, the
    /// breakers that it opened close again.
    pub(crate) fn record_failure(
        &mut self,
        now: Moment,
        addr: SocketAddr,
        run: &FailedRun,
    ) -> Vec<Change> {
        if self.is_job_at_fault(now, addr, run) {
            return self.forgive(now, run.job);
        }
        let entry = self.entry(addr, now);
        if entry.is_known(run.began) {
            return Vec::new();
        }
        // A trial that fails is a relapse, whichever job it belongs to.
        let relapse = entry.state != BreakerState::Closed;
        entry.failed.retain(|(at, j)| now.since(*at) < FAULT_WINDOW && *j != run.job);
        if entry.failed.len() == FAILED_JOBS_KEPT {
            entry.failed.remove(0);
        }
        entry.failed.push((now, run.job));
        if relapse || entry.failed.len() >= FAILED_JOBS {
            return vec![entry.open(now, Reason::Failures)];
        }
        Vec::new()
    }

    /// Returns true if a job that has just failed on a worker fails wherever it runs.
    fn is_job_at_fault(&mut self, now: Moment, addr: SocketAddr, run: &FailedRun) -> bool {
        self.jobs.retain(|j| now.since(j.touched) <= RETENTION);
        let at = self.jobs.iter().position(|j| j.job == run.job).unwrap_or_else(|| {
            if self.jobs.len() >= JOBS_MAX {
                self.jobs.remove(0);
            }
            self.jobs.push(FailedJob { job: run.job, touched: now, workers: Vec::new(), sound: 0 });
            self.jobs.len() - 1
        });
        let failed = &mut self.jobs[at];
        failed.touched = now;
        if !failed.workers.contains(&addr) && failed.workers.len() < JOB_WORKERS_KEPT {
            failed.workers.push(addr);
            failed.sound += usize::from(run.on_sound);
        }
        failed.workers.len() == JOB_WORKERS_KEPT
            || (failed.sound >= JOB_FAULT_WORKERS
                && failed.sound * JOB_FAULT_TASKS >= run.tasks as usize)
    }

    /// Drops the failures of a job that is at fault itself.
    fn forgive(&mut self, now: Moment, job: JobId) -> Vec<Change> {
        let mut changes = Vec::new();
        for entry in &mut self.entries {
            let before = entry.failed.len();
            entry.failed.retain(|(_, j)| *j != job);
            let fewer = entry.failed.len() < before && entry.failed.len() < FAILED_JOBS;
            let blamed = fewer && entry.by_failures && entry.relapses == 0;
            if blamed && entry.state != BreakerState::Closed {
                changes.push(entry.change(now, BreakerState::Closed, Reason::JobAtFault));
            }
        }
        changes
    }

    /// Counts a run that has succeeded. It closes the breaker if the run started after it opened.
    pub(crate) fn record_success(
        &mut self,
        now: Moment,
        addr: SocketAddr,
        began: Moment,
    ) -> Option<Change> {
        let at = self.index(addr).ok()?;
        let entry = &mut self.entries[at];
        if entry.is_known(began) {
            return None;
        }
        entry.failed.clear();
        let trial = entry.state != BreakerState::Closed;
        trial.then(|| entry.change(now, BreakerState::Closed, Reason::Success))
    }

    /// Makes the breakers half open whose time is over, and drops entries without recent events.
    pub(crate) fn review(&mut self, now: Moment) -> Vec<Change> {
        let mut changes = Vec::new();
        self.entries.retain_mut(|entry| {
            if entry.state == BreakerState::Open && now >= entry.until {
                changes.push(entry.change(now, BreakerState::HalfOpen, Reason::TimeOver));
            }
            let expired = now.since(entry.touched) > RETENTION;
            if expired && entry.state != BreakerState::Closed {
                changes.push(entry.change(now, BreakerState::Closed, Reason::Expired));
            }
            !expired
        });
        self.jobs.retain(|j| now.since(j.touched) <= RETENTION);
        self.losses.retain(|l| now.since(l.at) <= RETENTION);
        changes
    }
}

#[cfg(test)]
mod tests;
