//! A worker as the placer knows it: its boot, its clock, its lease and the runs on it.

use bulrushlink_core::{Moment, Span, WorkerId};
use std::net::SocketAddr;

use crate::edge::{RunReport, WorkerEntry, WorkerState};
use crate::ids::{Boot, JobId, Run, TaskId};
use crate::lead::HOLD_ON;
use crate::model::Resources;

use super::pace::WorkerPace;

/// How much slower than ours a worker's clock may run.
const CLOCK_DRIFT: f64 = 0.02;
/// Added to the end of a lease before it counts as lapsed.
const LAPSE_SLACK: Span = Span(200);
/// Time for which a worker's entry may be missing after an outage of the store.
const MISSING_MAX: Span = Span(2_500);
/// Progress from which on the end of a run can be told.
const PERCENT_MIN: u32 = 30;
/// Time for which a fault counts against a worker.
const FAULT_LIFE: Span = Span(10_000);
/// Faults with different jobs after which a worker gets nothing for a while.
const FAULTS_MAX: usize = 2;

/// How far a run has come on its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The start is being recorded as this version of the job.
    Planned(u64),
    /// The start has been sent and not answered.
    Starting,
    /// The worker has it.
    Running,
    /// It is to end. `sent` is the time of the stop under way, `answered` when one was answered.
    Closing { sent: Option<Moment>, answered: Option<Moment>, next: Moment },
    /// An earlier placer recorded it; the worker hasn't been heard since.
    Unheard,
}

/// A run that takes room on a worker.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Slot {
    pub(crate) task: TaskId,
    pub(crate) run: Run,
    pub(crate) need: Resources,
    pub(crate) phase: Phase,
    /// When the present phase began.
    pub(crate) since: Moment,
    /// When the run started, as far as known.
    pub(crate) started: Moment,
    /// When the saved progress last changed.
    pub(crate) saved_at: Moment,
    /// The saved progress that the worker last told.
    pub(crate) saved: String,
    pub(crate) percent: u32,
    /// When the percentage last changed.
    pub(crate) moved: Moment,
    /// The run was started by this placer and not from saved progress.
    pub(crate) fresh: bool,
    /// Nothing has been learned from it yet.
    pub(crate) telling: bool,
}

/// An end that the worker keeps until it is recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct HeardEnd {
    pub(crate) number: u64,
    /// The job and its version that holds the end; none if nothing depends on it.
    pub(crate) needs: Option<(JobId, u64)>,
}

/// Where calls to one boot of a worker go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Target {
    pub(crate) worker: WorkerId,
    pub(crate) fence: u32,
    pub(crate) addr: SocketAddr,
}

/// A hold under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct HoldCall {
    pub(crate) ordinal: u64,
    pub(crate) sent: Moment,
    pub(crate) acked: u64,
}

/// What the present epoch has heard of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Acquaintance {
    /// It answers.
    Known,
    /// It hasn't been asked, or hasn't answered yet.
    New,
    /// Its latest call has no answer.
    Silent,
}

/// A worker.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub(crate) boot: Boot,
    /// Fences orders to earlier boots, which can be carried out late. It rises with each boot.
    pub(crate) fence: u32,
    /// What it reports of itself; none if just a record names it.
    pub(crate) entry: Option<WorkerEntry>,
    /// Since when its entry has been missing.
    pub(crate) missing: Option<Moment>,
    /// This boot has answered a hold under the present epoch.
    pub(crate) fenced: bool,
    /// Its clock, and our time when we learned it. The clock was at least that far.
    pub(crate) clock: Option<(u64, Moment)>,
    /// No lease on it ends later, by its own clock.
    pub(crate) promised: u64,
    /// Ends up to this number are recorded.
    pub(crate) acked: u64,
    /// Ends up to this number have been acknowledged to the worker.
    pub(crate) told: u64,
    /// Ends up to this number have been taken in.
    pub(crate) heard: u64,
    /// Ends that are not recorded yet, sorted by number.
    pub(crate) ends: Vec<HeardEnd>,
    pub(crate) hold: Option<HoldCall>,
    pub(crate) hold_next: Moment,
    /// Sorted by task and run.
    pub(crate) slots: Vec<Slot>,
    /// When which job's runs failed here.
    pub(crate) faults: Vec<(Moment, JobId)>,
    /// It gets nothing until then.
    pub(crate) shunned: Moment,
    /// Calls without an answer since the latest hold that was answered.
    pub(crate) silent: u32,
    /// Its speed against the others.
    pub(super) pace: WorkerPace,
}

impl Slot {
    /// Estimates from its progress how long the run still takes, if it began from nothing.
    pub(crate) fn remaining(&self, now: Moment) -> Option<Span> {
        if !self.fresh || self.phase != Phase::Running || self.percent < PERCENT_MIN {
            return None;
        }
        let worked = self.moved.since(self.started).millis();
        let end = self.started + Span(worked * 100 / u64::from(self.percent));
        Some(end.since(now))
    }

    /// Takes what the worker tells of the run.
    pub(crate) fn take(&mut self, report: &RunReport, now: Moment) {
        if matches!(self.phase, Phase::Starting | Phase::Unheard) {
            self.phase = Phase::Running;
            self.since = now;
        }
        if report.percent != self.percent {
            self.percent = report.percent;
            self.moved = now;
        }
        if report.saved != self.saved {
            self.saved.clone_from(&report.saved);
            self.saved_at = now;
        }
    }
}

impl Worker {
    pub(crate) fn new(boot: Boot, fence: u32, entry: Option<WorkerEntry>, now: Moment) -> Self {
        Self {
            boot,
            fence,
            missing: entry.is_none().then_some(now),
            entry,
            fenced: false,
            clock: None,
            promised: 0,
            acked: 0,
            told: 0,
            heard: 0,
            ends: Vec::new(),
            hold: None,
            hold_next: now,
            slots: Vec::new(),
            faults: Vec::new(),
            shunned: Moment::default(),
            silent: 0,
            pace: WorkerPace::default(),
        }
    }

    /// Returns where calls to this boot go; nothing if just a record names the worker.
    pub(crate) fn target(&self) -> Option<Target> {
        let addr = self.entry.as_ref()?.addr;
        Some(Target { worker: self.id().clone(), fence: self.fence, addr })
    }

    pub(crate) fn id(&self) -> &WorkerId {
        &self.boot.worker
    }

    pub(crate) fn acquaintance(&self) -> Acquaintance {
        match () {
            () if self.silent > 0 => Acquaintance::Silent,
            () if self.fenced => Acquaintance::Known,
            () => Acquaintance::New,
        }
    }

    /// Returns the position of a run.
    pub(crate) fn slot(&self, task: &TaskId, run: Run) -> Option<usize> {
        self.slots.binary_search_by_key(&(*task, run), |s| (s.task, s.run)).ok()
    }

    pub(crate) fn add(&mut self, slot: Slot) {
        match self.slots.binary_search_by_key(&(slot.task, slot.run), |s| (s.task, s.run)) {
            Ok(at) => self.slots[at] = slot,
            Err(at) => self.slots.insert(at, slot),
        }
    }

    /// Returns what the runs leave free.
    pub(crate) fn free(&self) -> Resources {
        let capacity = self.entry.as_ref().map_or(Resources::default(), |e| e.capacity);
        let used = |sum: Resources, slot: &Slot| sum.plus(&slot.need);
        capacity.minus(&self.slots.iter().fold(Resources::default(), used))
    }

    /// Estimates the worker's clock; it may be up to 2% less.
    pub(crate) fn clock_now(&self, now: Moment) -> Option<u64> {
        self.clock.map(|(clock, at)| clock + now.since(at).millis())
    }

    /// Takes the clock that came with an answer.
    pub(crate) fn set_clock(&mut self, now: Moment, clock: u64) {
        let least = self.clock.map_or(0, |(c, at)| c + sure_elapsed(now.since(at)));
        // Answers overtake each other: an older one tells less than is known.
        if clock >= least {
            self.clock = Some((clock, now));
        }
    }

    /// Tells whether every lease on this boot is over, even if all calls so far were carried out.
    ///
    /// `since` is when the present epoch began, before which another placer extended leases.
    pub(crate) fn is_lapsed(&self, now: Moment, since: Moment, lease_max: Span) -> bool {
        match self.clock {
            Some((clock, at)) if self.fenced => {
                let elapsed = sure_elapsed(now.since(at + LAPSE_SLACK));
                clock + elapsed >= self.promised
            }
            _ => {
                let longest = Span((lease_max.millis() as f64 / (1.0 - CLOCK_DRIFT)) as u64);
                now >= since + HOLD_ON + longest + LAPSE_SLACK
            }
        }
    }

    /// Tells whether the worker may get new runs, as far as it is concerned.
    pub(crate) fn is_open(&self, now: Moment) -> bool {
        let ready = self.entry.as_ref().is_some_and(|e| e.state == WorkerState::Ready);
        ready && self.fenced && self.silent == 0 && self.missing.is_none() && now >= self.shunned
    }

    /// Tells whether the entry has been missing for longer than an outage explains.
    pub(crate) fn is_gone(&self, now: Moment) -> bool {
        self.missing.is_some_and(|m| now.since(m) > MISSING_MAX)
    }

    /// Returns how many recent faults speak against the worker.
    pub(crate) fn doubt(&self, now: Moment) -> u32 {
        self.faults.iter().filter(|(at, _)| now.since(*at) < FAULT_LIFE).count() as u32
    }

    /// Counts a fault; tells whether the worker is shunned from now on.
    pub(crate) fn fault(&mut self, now: Moment, job: JobId) -> bool {
        self.faults.retain(|(at, _)| now.since(*at) < FAULT_LIFE);
        if !self.faults.iter().any(|(_, j)| *j == job) {
            self.faults.push((now, job));
        }
        if self.faults.len() < FAULTS_MAX || now < self.shunned {
            return false;
        }
        self.shunned = now + FAULT_LIFE;
        true
    }

    /// Moves the recorded ends on; `stored` tells the recorded version of a job.
    pub(crate) fn settle(&mut self, stored: impl Fn(JobId) -> Option<u64>) {
        while let Some(end) = self.ends.first() {
            let recorded = match end.needs {
                Some((job, version)) => stored(job).is_none_or(|s| s >= version),
                None => true,
            };
            if !recorded {
                break;
            }
            self.acked = end.number;
            self.ends.remove(0);
        }
    }
}

/// Returns how far a slow clock has gone at least.
fn sure_elapsed(span: Span) -> u64 {
    (span.millis() as f64 * (1.0 - CLOCK_DRIFT)) as u64
}
