//! Tells bad workers from bad jobs.
//!
//! A worker's failure counts against it only while jobs of the same kind don't fail elsewhere too;
//! it counts twice once the same job has completed elsewhere. A wave of bad jobs therefore leaves
//! good workers alone, and a worker that fails all it starts is found within a few starts. The
//! cost is that two workers that turn bad at the same time cover for each other until one job has
//! completed somewhere else.

use serde::Serialize;

use crate::ids::KindId;
use crate::sched::jobs::JobIx;
use crate::sched::spaces::SpaceIx;
use crate::units::{Moment, Span};

/// Score at which a worker is quarantined.
pub(super) const SCORE_MAX: u32 = 3;
/// Kinds of jobs that count though nothing of them has completed elsewhere; less than the score
/// at which a worker is quarantined.
const ALONE_MAX: usize = 2;
/// Strikes kept for each worker.
const STRIKES_MAX: usize = 8;
/// Time until the first probe of a quarantined worker.
const PROBE_FIRST: Span = Span::from_secs(30);
/// Time that a probe may be overdue before the worker is readmitted on trial.
const TRIAL_AFTER: Span = Span::from_secs(30);
/// The longest time between two probes.
const PROBE_MAX: Span = Span::from_secs(900);

/// One failure that may be the worker's fault.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Strike {
    /// The job, until it has ended.
    pub(super) job: Option<JobIx>,
    pub(super) space: SpaceIx,
    pub(super) kind: KindId,
    pub(super) weight: Weight,
}

/// How much a failure says about the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub(super) enum Weight {
    /// Nothing of the kind has completed since; all such failures of a kind count once.
    Alone,
    /// Another job of the kind has completed on another worker since.
    Kind,
    /// The same job has completed on another worker.
    Job,
}

/// What is known of a worker's health.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct Health {
    /// Failures of different jobs since the last job that it completed.
    pub(super) strikes: Vec<Strike>,
    /// Starts in a row that the worker didn't answer.
    pub(super) misses: u8,
    quarantine: Option<Quarantine>,
    /// Time between probes in the quarantine that a trial ended; until a job completes here.
    trial: Option<Span>,
}

/// State of a quarantined worker.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Quarantine {
    pub(super) since: Moment,
    /// The next probe is due then.
    pub(super) probe: Moment,
    interval: Span,
    /// The job that probes it now.
    pub(super) prober: Option<JobIx>,
}

impl Health {
    pub(super) const fn is_quarantined(&self) -> bool {
        self.quarantine.is_some()
    }

    pub(super) const fn quarantine(&self) -> Option<&Quarantine> {
        self.quarantine.as_ref()
    }

    /// Tells whether the worker may be readmitted on trial, as nothing came that could probe it.
    pub(super) fn is_overdue(&self, now: Moment) -> bool {
        self.quarantine.is_some_and(|q| q.prober.is_none() && q.probe + TRIAL_AFTER <= now)
    }

    /// Tells whether a job has failed here since the worker was readmitted on trial.
    pub(super) const fn has_relapsed(&self) -> bool {
        self.trial.is_some() && !self.strikes.is_empty()
    }

    /// Notes a failure; one job counts once.
    pub(super) fn strike(&mut self, strike: Strike) {
        if strike.job.is_some() && self.strikes.iter().any(|s| s.job == strike.job) {
            return;
        }
        if self.strikes.len() == STRIKES_MAX {
            self.strikes.remove(0);
        }
        self.strikes.push(strike);
    }

    /// Notes that a job of the kind has completed elsewhere.
    pub(super) fn confirm(&mut self, space: SpaceIx, kind: &KindId) {
        let alike = self.strikes.iter_mut().filter(|s| s.space == space && s.kind == *kind);
        for strike in alike {
            strike.weight = strike.weight.max(Weight::Kind);
        }
    }

    /// Lets go of a job that has ended; unless the worker is to blame, its failure is forgotten.
    pub(super) fn release(&mut self, job: JobIx, blame: bool) {
        self.strikes.retain(|s| blame || s.job != Some(job));
        for strike in self.strikes.iter_mut().filter(|s| s.job == Some(job)) {
            strike.job = None;
        }
    }

    /// Adds up the failures; `lone` tells whether a kind of job fails on no other worker.
    pub(super) fn score(&self, lone: impl Fn(SpaceIx, &KindId) -> bool) -> u32 {
        let mut sum = 0;
        let mut alone: Vec<(SpaceIx, &KindId)> = Vec::with_capacity(ALONE_MAX);
        for strike in &self.strikes {
            let kind = (strike.space, &strike.kind);
            match strike.weight {
                Weight::Job => sum += 2,
                Weight::Kind => sum += 1,
                Weight::Alone if lone(kind.0, kind.1) && !alone.contains(&kind) => {
                    alone.push(kind);
                }
                Weight::Alone => {}
            }
        }
        sum + alone.len().min(ALONE_MAX) as u32
    }

    pub(super) fn enter(&mut self, now: Moment) {
        let interval = self.trial.take().map_or(PROBE_FIRST, longer);
        let probe = now + interval;
        self.quarantine = Some(Quarantine { since: now, probe, interval, prober: None });
    }

    /// Ends the quarantine until the next failure.
    pub(super) fn try_out(&mut self) {
        self.trial = self.quarantine.take().map(|q| q.interval);
        self.strikes.clear();
    }

    /// Forgets all failures, as a job has completed.
    pub(super) fn trust(&mut self) {
        self.quarantine = None;
        self.trial = None;
        self.strikes.clear();
    }

    pub(super) fn begin_probe(&mut self, job: JobIx) {
        if let Some(quarantine) = &mut self.quarantine {
            quarantine.prober = Some(job);
        }
    }

    /// Ends a probe that didn't succeed; the next one comes after twice the time if the worker is
    /// to blame.
    pub(super) fn end_probe(&mut self, blame: bool, now: Moment) {
        if let Some(quarantine) = &mut self.quarantine {
            quarantine.prober = None;
            if blame {
                quarantine.interval = longer(quarantine.interval);
            }
            quarantine.probe = now + quarantine.interval;
        }
    }
}

/// Returns the time until the next probe after one that failed.
fn longer(interval: Span) -> Span {
    Span(interval.0 * 2).min(PROBE_MAX)
}
