//! One attempt of a job: all its tasks run together or none does.
//!
//! [`Gang`] only keeps what is known of the parts; what to send is decided by the placer.

use bulrushlink_api::{TaskId, TaskReport, TaskState};
use bulrushlink_core::{
    AcceleratorSet, Attempt, JobKey, Moment, Placement, Span, StartFault, StopReason, TaskPlace,
    WorkerId,
};
use serde::Serialize;

use crate::settings::Timing;

/// What is known of one task. Later variants never give way to earlier ones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(super) enum PartState {
    /// Nothing is known.
    Unknown,
    /// Accelerators are held.
    Reserved,
    /// Runs on a short lease.
    Started,
    /// Runs on its full lease.
    Confirmed,
    /// Its lease has surely lapsed; nothing is known of how it ended.
    Lost,
    /// The worker has no such task, and never will.
    Absent,
    /// Has ended.
    Ended(TaskState),
}

impl PartState {
    const fn rank(&self) -> u8 {
        match self {
            Self::Unknown => 0,
            Self::Reserved => 1,
            Self::Started => 2,
            Self::Confirmed => 3,
            Self::Lost => 4,
            Self::Absent => 5,
            Self::Ended(_) => 6,
        }
    }

    /// Tells whether nothing of the task runs or will run.
    pub(super) const fn is_quiet(&self) -> bool {
        self.rank() >= 4
    }

    /// Tells whether the task runs, or ended well.
    const fn is_fine(&self) -> bool {
        matches!(self, Self::Started | Self::Confirmed | Self::Ended(TaskState::Completed { .. }))
    }

    const fn is_completed(&self) -> bool {
        matches!(self, Self::Ended(TaskState::Completed { .. }))
    }

    /// Tells whether the task certainly didn't complete.
    const fn is_cut(&self) -> bool {
        match self {
            Self::Absent => true,
            Self::Ended(state) => !matches!(state, TaskState::Completed { .. }),
            _ => false,
        }
    }
}

impl From<&TaskState> for PartState {
    fn from(state: &TaskState) -> Self {
        match state {
            TaskState::Reserved => Self::Reserved,
            TaskState::Started => Self::Started,
            TaskState::Confirmed => Self::Confirmed,
            ended => Self::Ended(ended.clone()),
        }
    }
}

/// One task of a gang.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Part {
    /// Where the task runs.
    pub(super) place: TaskPlace,
    /// What is known of it.
    pub(super) state: PartState,
    /// Moment at which the worker was last known to have the task.
    pub(super) heard: Moment,
    /// Whether it is certain that the task has run.
    pub(super) ran: bool,
    /// Moment at which the last reservation that was granted was asked for.
    pub(super) reserved: Moment,
}

/// Why a gang is given up.
#[derive(Clone, Debug, Serialize)]
pub(super) enum Cause {
    /// The start failed.
    Start(Option<WorkerId>, StartFault),
    /// A task failed by itself.
    Member(WorkerId, String),
    /// A task is gone without any fault of its own.
    Lost(WorkerId, String),
    /// The scheduler wants it stopped; tasks get until the moment for their checkpoints.
    Stop(StopReason, Moment),
}

/// How far an attempt has come.
#[derive(Clone, Debug, Serialize)]
pub(super) enum Phase {
    /// Accelerators are being reserved.
    Reserving,
    /// All are reserved; the store has to settle the right to start.
    Recording,
    /// Starts are on their way.
    Committing,
    /// All run on short leases; full ones are on their way.
    Confirming,
    /// All run on full leases.
    Running,
    /// Is stopped, until nothing of it can run any more.
    Failing(Cause),
}

/// How a gang came to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// All tasks completed.
    Completed(Vec<String>),
    /// Nothing of it ran, or it doesn't matter that it did.
    NotStarted(Option<WorkerId>, StartFault),
    /// It ran and didn't complete.
    Failed(WorkerId, String),
    /// It was stopped on request.
    Vacated {
        /// Whether all tasks were saved.
        saved: bool,
    },
    /// Nothing can settle whether it completed.
    Unsettled,
}

/// The tasks of one attempt.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Gang {
    /// The attempt.
    pub(super) attempt: Attempt,
    /// Sorted by task.
    pub(super) parts: Vec<Part>,
    /// How far it is.
    pub(super) phase: Phase,
    /// Moment at which the phase began.
    pub(super) since: Moment,
    /// Whether any start was sent, here or by an earlier owner.
    pub(super) committed: bool,
    /// Whether it was found after a change of the owner.
    pub(super) found: bool,
    /// Whether the scheduler knows that it runs.
    pub(super) announced: bool,
    /// Moment of the last repeat in this phase.
    pub(super) pressed: Moment,
}

impl Gang {
    pub(super) fn open(attempt: Attempt, placement: Placement, now: Moment) -> Self {
        let part = |place| Part {
            place,
            state: PartState::Unknown,
            heard: now,
            ran: false,
            reserved: now,
        };
        Self {
            attempt,
            parts: placement.into_iter().map(part).collect(),
            phase: Phase::Reserving,
            since: now,
            committed: false,
            found: false,
            announced: false,
            pressed: now,
        }
    }

    /// Makes a gang out of what workers report of an attempt of an earlier owner.
    pub(super) fn adopt(
        attempt: Attempt,
        placement: Placement,
        reports: &[(WorkerId, TaskReport)],
        now: Moment,
    ) -> Self {
        let mut gang = Self::open(attempt, placement, now);
        gang.committed = true;
        gang.found = true;
        for (worker, report) in reports {
            gang.absorb(worker, report, now);
        }
        gang
    }

    pub(super) fn enter(&mut self, phase: Phase, now: Moment) {
        self.phase = phase;
        self.since = now;
        self.pressed = now;
    }

    /// Takes a report; tells whether it is of one of the parts.
    pub(super) fn absorb(&mut self, worker: &WorkerId, report: &TaskReport, now: Moment) -> bool {
        if report.id.attempt != self.attempt {
            return false;
        }
        let Some(part) = self.part(worker, report.id.task) else { return false };
        if part.place.set != report.set {
            return false;
        }
        part.heard = now;
        part.raise((&report.state).into());
        true
    }

    pub(super) fn part(&mut self, worker: &WorkerId, task: u16) -> Option<&mut Part> {
        let i = self.parts.binary_search_by_key(&task, |part| part.place.task).ok()?;
        Some(&mut self.parts[i]).filter(|part| part.place.worker == *worker)
    }

    /// Returns the moment at which the oldest reservation was asked for; it may lapse a lease
    /// later.
    pub(super) fn reserved(&self) -> Moment {
        self.parts.iter().map(|part| part.reserved).min().unwrap_or(self.since)
    }

    /// Lists the workers, each once, sorted.
    pub(super) fn workers(&self) -> Vec<WorkerId> {
        let mut workers: Vec<_> = self.parts.iter().map(|p| p.place.worker.clone()).collect();
        workers.sort();
        workers.dedup();
        workers
    }

    /// Tells whether something of it may run on a worker.
    pub(super) fn uses(&self, worker: &WorkerId) -> bool {
        self.parts.iter().any(|part| part.place.worker == *worker && !part.state.is_quiet())
    }

    pub(super) fn placement(&self) -> Placement {
        self.parts.iter().map(|part| part.place.clone()).collect()
    }

    pub(super) fn ids(&self, key: &JobKey) -> Vec<(WorkerId, TaskId)> {
        let id = |task| TaskId { key: key.clone(), attempt: self.attempt, task };
        self.parts.iter().map(|p| (p.place.worker.clone(), id(p.place.task))).collect()
    }

    pub(super) fn all(&self, wanted: impl Fn(&PartState) -> bool) -> bool {
        self.parts.iter().all(|part| wanted(&part.state))
    }

    /// Tells whether all tasks run or have completed.
    pub(super) fn is_up(&self) -> bool {
        self.all(PartState::is_fine)
    }

    pub(super) fn is_completed(&self) -> bool {
        self.all(PartState::is_completed)
    }

    pub(super) fn is_quiet(&self) -> bool {
        self.all(PartState::is_quiet)
    }

    pub(super) fn is_confirmed(&self) -> bool {
        self.all(|state| state.rank() >= PartState::Confirmed.rank())
    }

    /// Names the part that ended without completing, with the reason.
    pub(super) fn broken(&self) -> Option<Cause> {
        let part = self.parts.iter().find(|p| p.state.is_quiet() && !p.state.is_completed())?;
        let worker = part.place.worker.clone();
        let reason = match &part.state {
            PartState::Ended(TaskState::Failed { reason }) => {
                return Some(Cause::Member(worker, reason.clone()));
            }
            PartState::Ended(TaskState::Stopped { lapsed: true, .. }) => "lease lapsed",
            PartState::Ended(_) => "stopped by its worker",
            PartState::Absent => "worker has lost the task",
            _ => "worker is silent",
        };
        Some(Cause::Lost(worker, reason.to_string()))
    }

    /// Marks parts whose leases have surely lapsed, for want of any sign of them.
    ///
    /// A reservation that was granted before its answer lapses a lease after the answer at the
    /// latest, so a late start takes effect before that and runs for one more short lease.
    pub(super) fn lapse(&mut self, timing: &Timing, now: Moment) {
        let confirmed = self.announced && !matches!(self.phase, Phase::Confirming);
        for part in &mut self.parts {
            let lease = match part.state {
                PartState::Confirmed => timing.lease,
                _ if self.found || confirmed => timing.lease,
                _ => Span(timing.reserve.0 * 2),
            };
            if !part.state.is_quiet() && now.since(part.heard) > lease + LAPSE_MARGIN {
                part.state = PartState::Lost;
            }
        }
    }

    /// Decides what a gang of which nothing runs any more came to.
    ///
    /// Once a start was sent, only a job whose second run does no harm may be said not to have
    /// started, unless no worker has any of it. The others failed if it is certain that they ran
    /// and that they didn't complete.
    pub(super) fn verdict(&self, cause: &Cause, idempotent: bool) -> Verdict {
        if self.is_completed() {
            return Verdict::Completed(self.outputs());
        }
        if !self.committed {
            return match cause {
                Cause::Start(worker, fault) => Verdict::NotStarted(worker.clone(), *fault),
                _ => Verdict::NotStarted(None, StartFault::Busy),
            };
        }
        let ran = self.parts.iter().any(|part| part.ran);
        let absent = self.all(|state| *state == PartState::Absent);
        let never = !self.found && !ran && absent;
        let cut = self.parts.iter().find(|part| part.state.is_cut());
        match (cause, cut) {
            (Cause::Start(worker, fault), _) if idempotent || never => {
                Verdict::NotStarted(worker.clone(), *fault)
            }
            (Cause::Stop(..), _) if never => Verdict::NotStarted(None, StartFault::Busy),
            (Cause::Stop(..), _) if idempotent || ran && cut.is_some() => self.vacated(),
            (Cause::Member(worker, reason), _) if idempotent => {
                Verdict::Failed(worker.clone(), reason.clone())
            }
            (Cause::Lost(..), _) if idempotent => Verdict::Unsettled,
            (Cause::Member(worker, reason) | Cause::Lost(worker, reason), Some(_)) if ran => {
                Verdict::Failed(worker.clone(), reason.clone())
            }
            (Cause::Start(..), Some(part)) if ran => {
                let reason = "not all tasks could be started".to_string();
                Verdict::Failed(part.place.worker.clone(), reason)
            }
            _ => Verdict::Unsettled,
        }
    }

    fn vacated(&self) -> Verdict {
        let failed = self.parts.iter().find_map(|part| match &part.state {
            PartState::Ended(TaskState::Failed { reason }) => {
                Some(Verdict::Failed(part.place.worker.clone(), reason.clone()))
            }
            _ => None,
        });
        // A task that has completed can't go on from a checkpoint: it would run again.
        let is_saved = |state: &PartState| {
            matches!(state, PartState::Ended(TaskState::Stopped { saved: true, .. }))
        };
        failed.unwrap_or_else(|| Verdict::Vacated { saved: self.all(is_saved) })
    }

    fn outputs(&self) -> Vec<String> {
        let output = |part: &Part| match &part.state {
            PartState::Ended(TaskState::Completed { output }) => Some(output.clone()),
            _ => None,
        };
        self.parts.iter().filter_map(output).collect()
    }
}

impl Part {
    pub(super) fn raise(&mut self, state: PartState) {
        self.ran |=
            matches!(state, PartState::Started | PartState::Confirmed | PartState::Ended(_));
        if state.rank() > self.state.rank() {
            self.state = state;
        }
    }

    pub(super) const fn set(&self) -> AcceleratorSet {
        self.place.set
    }
}

/// Allowance for a clock that runs slower on a worker, and for answers under way.
const LAPSE_MARGIN: Span = Span::from_secs(2);

/// Returns the time after which no part of a gang runs that was never whole, whatever becomes of
/// its placer: a reservation, then the short lease of a started task, and a margin.
pub fn partial_gang_bound(timing: &Timing) -> Span {
    Span(timing.reserve.0 * 2) + LAPSE_MARGIN
}

/// Returns the time after which the rest of a gang that has lost a task is stopped while a placer
/// of the domain reaches its workers; without any placer the leases lapse within the same time.
pub fn broken_gang_bound(timing: &Timing) -> Span {
    timing.lease + timing.suspect + partial_gang_bound(timing)
}
