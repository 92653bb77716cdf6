//! One attempt of a job: its tasks run together or not at all.
//!
//! [`Gang`] only tracks the known state of the members; the placer decides what to send.

use bulrushlink_api::{TaskId, TaskReport, TaskState};
use bulrushlink_core::{
    AcceleratorSet, Attempt, JobKey, Moment, Placement, Span, StartFault, StopReason, TaskPlace,
    WorkerId,
};
use serde::Serialize;

use crate::settings::Timing;

/// Known state of one gang member, which is a task of the gang. A later variant is never replaced
/// by an earlier one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(super) enum MemberState {
    /// Nothing is known.
    Unknown,
    /// Accelerators are reserved.
    Reserved,
    /// Runs on a short lease.
    Started,
    /// Runs on its full lease.
    Confirmed,
    /// Its lease has certainly expired; how it ended is unknown.
    Lost,
    /// The worker does not have the task and will never run it.
    Absent,
    /// The worker has reported its end.
    Ended(TaskState),
}

impl MemberState {
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

    /// Returns true if the task does not run and will not run.
    pub(super) const fn is_terminal(&self) -> bool {
        self.rank() >= 4
    }

    /// Returns true if the task runs or has completed.
    const fn is_up_or_completed(&self) -> bool {
        matches!(self, Self::Started | Self::Confirmed | Self::Ended(TaskState::Completed { .. }))
    }

    const fn is_completed(&self) -> bool {
        matches!(self, Self::Ended(TaskState::Completed { .. }))
    }

    /// Returns true if the task certainly did not complete.
    const fn did_not_complete(&self) -> bool {
        match self {
            Self::Absent => true,
            Self::Ended(state) => !matches!(state, TaskState::Completed { .. }),
            _ => false,
        }
    }
}

impl From<&TaskState> for MemberState {
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
pub(super) struct GangMember {
    /// The worker and accelerators assigned to the task.
    pub(super) place: TaskPlace,
    /// Its known state.
    pub(super) state: MemberState,
    /// When the worker was last known to have the task.
    pub(super) heard: Moment,
    /// Whether the task has certainly run.
    pub(super) ran: bool,
    /// When the last granted reservation was requested.
    pub(super) reserved: Moment,
}

/// Why an attempt is aborted.
#[derive(Clone, Debug, Serialize)]
pub(super) enum Cause {
    /// The start failed.
    Start(Option<WorkerId>, StartFault),
    /// A task failed on its own account.
    Member(WorkerId, String),
    /// A task was lost without a failure of its own.
    Lost(WorkerId, String),
    /// The scheduler requested the stop; tasks have until the given moment to write their
    /// checkpoints.
    Stop(StopReason, Moment),
}

/// Phase of an attempt.
#[derive(Clone, Debug, Serialize)]
pub(super) enum Phase {
    /// Accelerators are being reserved.
    Reserving,
    /// All are reserved; the authority to start is being recorded in the store.
    Recording,
    /// Commits have been sent and not all tasks have started.
    Committing,
    /// All tasks run on short leases; the confirmations that grant full leases are in flight.
    Confirming,
    /// All run on full leases.
    Running,
    /// Being stopped; lasts until no task can run.
    Failing(Cause),
}

/// The outcome of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum AttemptOutcome {
    /// All tasks completed; holds their outputs.
    Completed(Vec<String>),
    /// No task ran, or the job is idempotent so that it does not matter if one did.
    NotStarted(Option<WorkerId>, StartFault),
    /// It ran and did not complete.
    Failed(WorkerId, String),
    /// It was stopped on request.
    StopCompleted {
        /// Whether every task was stopped with a saved checkpoint.
        saved: bool,
    },
    /// Whether it completed cannot be determined.
    OutcomeUnknown,
}

/// The tasks of one attempt.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Gang {
    /// Number of the attempt.
    pub(super) attempt: Attempt,
    /// Sorted by task.
    #[serde(rename = "parts")]
    pub(super) members: Vec<GangMember>,
    /// Current phase.
    pub(super) phase: Phase,
    /// When the phase began.
    pub(super) since: Moment,
    /// Whether a commit was sent, here or by an earlier owner.
    pub(super) committed: bool,
    /// Whether the attempt was started by an earlier owner.
    #[serde(rename = "found")]
    pub(super) taken_over: bool,
    /// Whether the scheduler has been told that it runs.
    pub(super) announced: bool,
    /// When messages of this phase were last sent again, or when the phase began.
    #[serde(rename = "pressed")]
    pub(super) last_retry: Moment,
}

impl Gang {
    pub(super) fn new(attempt: Attempt, placement: Placement, now: Moment) -> Self {
        let member = |place| GangMember {
            place,
            state: MemberState::Unknown,
            heard: now,
            ran: false,
            reserved: now,
        };
        Self {
            attempt,
            members: placement.into_iter().map(member).collect(),
            phase: Phase::Reserving,
            since: now,
            committed: false,
            taken_over: false,
            announced: false,
            last_retry: now,
        }
    }

    /// Builds the gang of an earlier owner's attempt from the workers' reports.
    pub(super) fn from_reports(
        attempt: Attempt,
        placement: Placement,
        reports: &[(WorkerId, TaskReport)],
        now: Moment,
    ) -> Self {
        let mut gang = Self::new(attempt, placement, now);
        gang.committed = true;
        gang.taken_over = true;
        for (worker, report) in reports {
            gang.apply_report(worker, report, now);
        }
        gang
    }

    pub(super) fn enter_phase(&mut self, phase: Phase, now: Moment) {
        self.phase = phase;
        self.since = now;
        self.last_retry = now;
    }

    /// Applies a report; returns true if it is about one of the members.
    pub(super) fn apply_report(
        &mut self,
        worker: &WorkerId,
        report: &TaskReport,
        now: Moment,
    ) -> bool {
        if report.id.attempt != self.attempt {
            return false;
        }
        let Some(member) = self.member_mut(worker, report.id.task) else { return false };
        if member.place.set != report.set {
            return false;
        }
        member.heard = now;
        member.advance((&report.state).into());
        true
    }

    pub(super) fn member_mut(&mut self, worker: &WorkerId, task: u16) -> Option<&mut GangMember> {
        let i = self.members.binary_search_by_key(&task, |member| member.place.task).ok()?;
        Some(&mut self.members[i]).filter(|member| member.place.worker == *worker)
    }

    /// Returns when the oldest granted reservation was requested; that reservation may expire one
    /// reservation lease later.
    pub(super) fn oldest_reservation(&self) -> Moment {
        self.members.iter().map(|member| member.reserved).min().unwrap_or(self.since)
    }

    /// Lists the workers, sorted and without duplicates.
    pub(super) fn workers(&self) -> Vec<WorkerId> {
        let mut workers: Vec<_> = self.members.iter().map(|m| m.place.worker.clone()).collect();
        workers.sort();
        workers.dedup();
        workers
    }

    /// Returns true if a task of the attempt may run on a worker.
    pub(super) fn may_run_on(&self, worker: &WorkerId) -> bool {
        self.members
            .iter()
            .any(|member| member.place.worker == *worker && !member.state.is_terminal())
    }

    pub(super) fn placement(&self) -> Placement {
        self.members.iter().map(|member| member.place.clone()).collect()
    }

    pub(super) fn ids(&self, key: &JobKey) -> Vec<(WorkerId, TaskId)> {
        let id = |task| TaskId { key: key.clone(), attempt: self.attempt, task };
        self.members.iter().map(|m| (m.place.worker.clone(), id(m.place.task))).collect()
    }

    pub(super) fn all(&self, test: impl Fn(&MemberState) -> bool) -> bool {
        self.members.iter().all(|member| test(&member.state))
    }

    /// Returns true if every task runs or has completed.
    pub(super) fn is_up(&self) -> bool {
        self.all(MemberState::is_up_or_completed)
    }

    pub(super) fn is_completed(&self) -> bool {
        self.all(MemberState::is_completed)
    }

    pub(super) fn is_terminal(&self) -> bool {
        self.all(MemberState::is_terminal)
    }

    pub(super) fn is_confirmed(&self) -> bool {
        self.all(|state| state.rank() >= MemberState::Confirmed.rank())
    }

    /// Returns the cause and worker of the first member that ended without completing.
    pub(super) fn first_failure(&self) -> Option<Cause> {
        let member =
            self.members.iter().find(|m| m.state.is_terminal() && !m.state.is_completed())?;
        let worker = member.place.worker.clone();
        let reason = match &member.state {
            MemberState::Ended(TaskState::Failed { reason }) => {
                return Some(Cause::Member(worker, reason.clone()));
            }
            MemberState::Ended(TaskState::Stopped { lapsed: true, .. }) => "lease lapsed",
            MemberState::Ended(_) => "stopped by its worker",
            MemberState::Absent => "worker has lost the task",
            _ => "worker is silent",
        };
        Some(Cause::Lost(worker, reason.to_string()))
    }

    /// Marks members as lost that have not been reported for so long that their leases have
    /// certainly expired.
    ///
    /// A granted reservation expires at most one reservation lease after its reply arrived. A
    /// delayed commit can take effect until then, and its task runs for one short lease, which is
    /// as long: hence twice the reservation lease.
    pub(super) fn expire_leases(&mut self, timing: &Timing, now: Moment) {
        let confirmed = self.announced && !matches!(self.phase, Phase::Confirming);
        for member in &mut self.members {
            let lease = match member.state {
                MemberState::Confirmed => timing.lease,
                _ if self.taken_over || confirmed => timing.lease,
                _ => Span(timing.reserve.0 * 2),
            };
            if !member.state.is_terminal() && now.since(member.heard) > lease + LEASE_EXPIRY_MARGIN
            {
                member.state = MemberState::Lost;
            }
        }
    }

    /// Returns the outcome of an attempt whose tasks have all stopped.
    ///
    /// After a commit was sent, an attempt counts as not started only if the job is idempotent or
    /// certainly no worker has any of its tasks. An attempt of a job that is not idempotent counts
    /// as failed, or as stopped on request, only if it certainly ran and certainly did not
    /// complete. Otherwise its outcome is unknown, as is that of an idempotent job that has lost a
    /// task.
    pub(super) fn outcome(&self, cause: &Cause, idempotent: bool) -> AttemptOutcome {
        if self.is_completed() {
            return AttemptOutcome::Completed(self.outputs());
        }
        if !self.committed {
            return match cause {
                Cause::Start(worker, fault) => AttemptOutcome::NotStarted(worker.clone(), *fault),
                _ => AttemptOutcome::NotStarted(None, StartFault::Busy),
            };
        }
        let ran = self.members.iter().any(|member| member.ran);
        let absent = self.all(|state| *state == MemberState::Absent);
        let never_started = !self.taken_over && !ran && absent;
        let incomplete = self.members.iter().find(|member| member.state.did_not_complete());
        match (cause, incomplete) {
            (Cause::Start(worker, fault), _) if idempotent || never_started => {
                AttemptOutcome::NotStarted(worker.clone(), *fault)
            }
            (Cause::Stop(..), _) if never_started => {
                AttemptOutcome::NotStarted(None, StartFault::Busy)
            }
            (Cause::Stop(..), _) if idempotent || ran && incomplete.is_some() => {
                self.stopped_outcome()
            }
            (Cause::Member(worker, reason), _) if idempotent => {
                AttemptOutcome::Failed(worker.clone(), reason.clone())
            }
            (Cause::Lost(..), _) if idempotent => AttemptOutcome::OutcomeUnknown,
            (Cause::Member(worker, reason) | Cause::Lost(worker, reason), Some(_)) if ran => {
                AttemptOutcome::Failed(worker.clone(), reason.clone())
            }
            (Cause::Start(..), Some(member)) if ran => {
                let reason = "not all tasks could be started".to_string();
                AttemptOutcome::Failed(member.place.worker.clone(), reason)
            }
            _ => AttemptOutcome::OutcomeUnknown,
        }
    }

    fn stopped_outcome(&self) -> AttemptOutcome {
        let failed = self.members.iter().find_map(|member| match &member.state {
            MemberState::Ended(TaskState::Failed { reason }) => {
                Some(AttemptOutcome::Failed(member.place.worker.clone(), reason.clone()))
            }
            _ => None,
        });
        // A completed task cannot resume from a checkpoint; it would run again.
        let is_saved = |state: &MemberState| {
            matches!(state, MemberState::Ended(TaskState::Stopped { saved: true, .. }))
        };
        failed.unwrap_or_else(|| AttemptOutcome::StopCompleted { saved: self.all(is_saved) })
    }

    fn outputs(&self) -> Vec<String> {
        let output = |member: &GangMember| match &member.state {
            MemberState::Ended(TaskState::Completed { output }) => Some(output.clone()),
            _ => None,
        };
        self.members.iter().filter_map(output).collect()
    }
}

impl GangMember {
    pub(super) fn advance(&mut self, state: MemberState) {
        self.ran |=
            matches!(state, MemberState::Started | MemberState::Confirmed | MemberState::Ended(_));
        if state.rank() > self.state.rank() {
            self.state = state;
        }
    }

    pub(super) const fn set(&self) -> AcceleratorSet {
        self.place.set
    }
}

/// Allowance for a worker clock that runs slow and for replies in transit.
const LEASE_EXPIRY_MARGIN: Span = Span::from_secs(2);

/// Returns the time after which no task of a partially started gang runs, whatever happens to its
/// placer: one reservation lease, one short lease of a started task, and a margin.
pub fn partial_gang_time_max(timing: &Timing) -> Span {
    Span(timing.reserve.0 * 2) + LEASE_EXPIRY_MARGIN
}

/// Returns the time within which the rest of a gang that has lost a task is stopped while a placer
/// of the domain reaches its workers; without a placer the leases expire within the same time.
pub fn broken_gang_time_max(timing: &Timing) -> Span {
    timing.lease + timing.suspect + partial_gang_time_max(timing)
}
