//! Tells bad workers from bad jobs.
//!
//! A failure counts against its worker only while jobs of the same kind do not fail on other
//! workers too. It counts twice once the same job has completed on another worker. A wave of bad
//! jobs therefore does not affect good workers, and a worker that fails everything it starts is
//! found within a few starts. The cost is that two workers that turn bad at the same time hide each
//! other until a job has completed on a third one.

use serde::Serialize;

use crate::ids::KindId;
use crate::sched::jobs::JobIx;
use crate::sched::spaces::WorkspaceIx;
use crate::units::{Moment, Span};

/// Score at which a worker is quarantined.
pub(super) const QUARANTINE_SCORE: u32 = 3;
/// Maximum part of the score from kinds that have not completed on another worker. Less than
/// [`QUARANTINE_SCORE`], so such kinds on their own do not quarantine a worker.
const UNCONFIRMED_KINDS_MAX: usize = 2;
/// Maximum number of strikes kept for each worker.
const STRIKES_MAX: usize = 8;
/// Time until the first probe of a quarantined worker.
const PROBE_INTERVAL_MIN: Span = Span::from_secs(30);
/// Time for which a probe may be overdue before the worker is readmitted on trial.
const TRIAL_DELAY: Span = Span::from_secs(30);
/// Maximum interval between two probes.
const PROBE_INTERVAL_MAX: Span = Span::from_secs(900);

/// One failure that the worker may have caused.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Strike {
    /// The job, until it has ended.
    pub(super) job: Option<JobIx>,
    pub(super) space: WorkspaceIx,
    pub(super) kind: KindId,
    pub(super) weight: Weight,
}

/// How strongly a failure points to the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub(super) enum Weight {
    /// No job of the kind has completed on another worker since; all such failures of a kind count
    /// once.
    Alone,
    /// Another job of the kind has completed on another worker since.
    Kind,
    /// The same job has completed on another worker.
    Job,
}

/// Health record of a worker.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct Health {
    /// Failures of different jobs since a job last completed here.
    pub(super) strikes: Vec<Strike>,
    /// Consecutive starts that the worker did not answer.
    pub(super) misses: u8,
    quarantine: Option<Quarantine>,
    /// Probe interval of the quarantine that a trial ended, kept until a job completes here. The
    /// next quarantine begins with a longer one.
    trial: Option<Span>,
}

/// State of a quarantined worker.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Quarantine {
    pub(super) since: Moment,
    /// When the next probe is due.
    pub(super) probe: Moment,
    /// Time until the next probe, from the start of the quarantine or the end of a probe.
    interval: Span,
    /// The job that probes the worker now.
    pub(super) prober: Option<JobIx>,
}

impl Health {
    pub(super) const fn is_quarantined(&self) -> bool {
        self.quarantine.is_some()
    }

    pub(super) const fn quarantine(&self) -> Option<&Quarantine> {
        self.quarantine.as_ref()
    }

    /// Returns true if the worker may be readmitted on trial, because no job has come that could
    /// probe it.
    pub(super) fn is_probe_overdue(&self, now: Moment) -> bool {
        self.quarantine.is_some_and(|q| q.prober.is_none() && q.probe + TRIAL_DELAY <= now)
    }

    /// Returns true if a job has failed here since the worker was readmitted on trial.
    pub(super) const fn has_failed_trial(&self) -> bool {
        self.trial.is_some() && !self.strikes.is_empty()
    }

    /// Records a failure; each job counts once.
    pub(super) fn add_strike(&mut self, strike: Strike) {
        if strike.job.is_some() && self.strikes.iter().any(|s| s.job == strike.job) {
            return;
        }
        if self.strikes.len() == STRIKES_MAX {
            self.strikes.remove(0);
        }
        self.strikes.push(strike);
    }

    /// Records that a job of the kind has completed on another worker.
    pub(super) fn confirm(&mut self, space: WorkspaceIx, kind: &KindId) {
        let same_kind = self.strikes.iter_mut().filter(|s| s.space == space && s.kind == *kind);
        for strike in same_kind {
            strike.weight = strike.weight.max(Weight::Kind);
        }
    }

    /// Removes the reference to a job that has ended. Its failure still counts if `keep_strike`.
    pub(super) fn detach_job(&mut self, job: JobIx, keep_strike: bool) {
        self.strikes.retain(|s| keep_strike || s.job != Some(job));
        for strike in self.strikes.iter_mut().filter(|s| s.job == Some(job)) {
            strike.job = None;
        }
    }

    /// Returns the score. `is_isolated` returns true if a kind of job fails on no other worker.
    pub(super) fn score(&self, is_isolated: impl Fn(WorkspaceIx, &KindId) -> bool) -> u32 {
        let mut sum = 0;
        let mut unconfirmed: Vec<(WorkspaceIx, &KindId)> =
            Vec::with_capacity(UNCONFIRMED_KINDS_MAX);
        for strike in &self.strikes {
            let kind = (strike.space, &strike.kind);
            match strike.weight {
                Weight::Job => sum += 2,
                Weight::Kind => sum += 1,
                Weight::Alone if is_isolated(kind.0, kind.1) && !unconfirmed.contains(&kind) => {
                    unconfirmed.push(kind);
                }
                Weight::Alone => {}
            }
        }
        sum + unconfirmed.len().min(UNCONFIRMED_KINDS_MAX) as u32
    }

    pub(super) fn quarantine_from(&mut self, now: Moment) {
        let interval = self.trial.take().map_or(PROBE_INTERVAL_MIN, next_interval);
        let probe = now + interval;
        self.quarantine = Some(Quarantine { since: now, probe, interval, prober: None });
    }

    /// Ends the quarantine until the next failure.
    pub(super) fn readmit_on_trial(&mut self) {
        self.trial = self.quarantine.take().map(|q| q.interval);
        self.strikes.clear();
    }

    /// Ends quarantine and trial and removes all failures, because a job has completed.
    pub(super) fn reset(&mut self) {
        self.quarantine = None;
        self.trial = None;
        self.strikes.clear();
    }

    pub(super) fn begin_probe(&mut self, job: JobIx) {
        if let Some(quarantine) = &mut self.quarantine {
            quarantine.prober = Some(job);
        }
    }

    /// Ends a probe that did not succeed. If the worker failed it, the probe interval doubles.
    pub(super) fn end_probe(&mut self, worker_failed: bool, now: Moment) {
        if let Some(quarantine) = &mut self.quarantine {
            quarantine.prober = None;
            if worker_failed {
                quarantine.interval = next_interval(quarantine.interval);
            }
            quarantine.probe = now + quarantine.interval;
        }
    }
}

/// Returns the probe interval that follows a failure: twice as long, up to the maximum.
fn next_interval(interval: Span) -> Span {
    Span(interval.0 * 2).min(PROBE_INTERVAL_MAX)
}
