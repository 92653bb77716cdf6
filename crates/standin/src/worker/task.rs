//! One task of a simulated worker and its next step.

use bulrushlink_api::{TaskId, TaskReport, TaskState};
use bulrushlink_core::{AcceleratorSet, Moment, Span};

use crate::program::Program;

/// A step of a task that needs no request. The order of the variants decides which of two steps at
/// the same time comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Step {
    Completes,
    Fails,
    CheckpointSaved,
    LeaseExpires,
    ReservationExpires,
}

#[derive(Debug)]
pub(crate) struct SimTask {
    pub(crate) id: TaskId,
    pub(crate) set: AcceleratorSet,
    pub(crate) state: TaskState,
    pub(crate) program: Program,
    /// Expiry of the reservation or of the lease.
    pub(crate) expires: Moment,
    /// Number of the latest change of this task, counted per worker.
    pub(crate) change: u64,
    gang: u16,
    started: Moment,
    /// Valid only once the task has ended.
    ended: Moment,
    /// Remaining run time at full speed, as of `measured_at`.
    remaining: Span,
    measured_at: Moment,
    /// Speed in percent, 1 to 100.
    percent: u8,
    /// Time at which the requested checkpoint is saved.
    checkpoint_at: Option<Moment>,
}

impl SimTask {
    pub(crate) fn reserved(id: TaskId, set: AcceleratorSet, until: Moment, change: u64) -> Self {
        Self {
            id,
            set,
            state: TaskState::Reserved,
            program: Program::parse(""),
            expires: until,
            change,
            gang: 0,
            started: Moment::default(),
            ended: Moment::default(),
            remaining: Span::ZERO,
            measured_at: Moment::default(),
            percent: 100,
            checkpoint_at: None,
        }
    }

    pub(crate) fn start(
        &mut self,
        input: &str,
        gang: u16,
        now: Moment,
        until: Moment,
        remaining: Option<Span>,
    ) {
        self.program = Program::parse(input);
        self.state = TaskState::Started;
        self.expires = until;
        self.gang = gang;
        self.started = now;
        self.remaining = remaining.unwrap_or(self.program.run);
        self.measured_at = now;
    }

    pub(crate) fn fail_at_once(&mut self) {
        self.program.fails = true;
        self.remaining = Span::ZERO;
    }

    pub(crate) fn is_running(&self) -> bool {
        matches!(self.state, TaskState::Started | TaskState::Confirmed)
    }

    pub(crate) fn is_open(&self) -> bool {
        self.is_running() || self.state == TaskState::Reserved
    }

    pub(crate) fn start_checkpoint(&mut self, until: Moment) {
        if self.is_running() {
            self.checkpoint_at.get_or_insert(until);
        }
    }

    pub(crate) fn throttle(&mut self, percent: u8, now: Moment) {
        if self.is_running() {
            self.remaining = self.remaining_at(now);
            self.measured_at = now;
            self.percent = percent.clamp(1, 100);
        }
    }

    pub(crate) fn finish(&mut self, at: Moment, state: TaskState, change: u64) {
        self.state = state;
        self.ended = at;
        self.change = change;
    }

    pub(crate) fn remaining_at(&self, at: Moment) -> Span {
        let done = at.since(self.measured_at).0 * u64::from(self.percent) / 100;
        Span(self.remaining.0.saturating_sub(done))
    }

    pub(crate) fn next_step(&self) -> Option<(Moment, Step)> {
        if self.state == TaskState::Reserved {
            return Some((self.expires, Step::ReservationExpires));
        }
        if !self.is_running() {
            return None;
        }
        let run = Span((self.remaining.0 * 100).div_ceil(u64::from(self.percent)));
        let done = if self.program.fails { Step::Fails } else { Step::Completes };
        let steps = [
            Some((self.measured_at + run, done)),
            Some((self.expires, Step::LeaseExpires)),
            self.checkpoint_at.map(|at| (at, Step::CheckpointSaved)),
        ];
        steps.into_iter().flatten().min()
    }

    pub(crate) fn report(&self, now: Moment) -> TaskReport {
        let until = if self.is_running() { now } else { self.ended };
        TaskReport {
            id: self.id.clone(),
            set: self.set,
            gang: self.gang,
            state: self.state.clone(),
            ran: until.since(self.started),
        }
    }
}
