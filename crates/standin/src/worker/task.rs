//! One task of a stand-in worker and what happens to it next.

use bulrushlink_api::{TaskId, TaskReport, TaskState};
use bulrushlink_core::{AcceleratorSet, Moment, Span};

use crate::program::Program;

/// What happens to a task by itself. The order decides between steps of the same moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Step {
    Completes,
    Fails,
    Saved,
    LeaseLapses,
    ReservationLapses,
}

#[derive(Debug)]
pub(crate) struct SimTask {
    pub(crate) id: TaskId,
    pub(crate) set: AcceleratorSet,
    pub(crate) state: TaskState,
    pub(crate) program: Program,
    /// End of the reservation or of the lease.
    pub(crate) lease: Moment,
    /// Ordinal of the latest change, within the worker.
    pub(crate) change: u64,
    gang: u16,
    started: Moment,
    /// Meaningful once the task has ended.
    ended: Moment,
    /// Run time at full speed that was left at `measured`.
    left: Span,
    measured: Moment,
    /// 1 to 100.
    percent: u8,
    /// Moment at which the checkpoint that was asked for is saved.
    saving: Option<Moment>,
}

impl SimTask {
    pub(crate) fn reserved(id: TaskId, set: AcceleratorSet, until: Moment, change: u64) -> Self {
        Self {
            id,
            set,
            state: TaskState::Reserved,
            program: Program::parse(""),
            lease: until,
            change,
            gang: 0,
            started: Moment::default(),
            ended: Moment::default(),
            left: Span::ZERO,
            measured: Moment::default(),
            percent: 100,
            saving: None,
        }
    }

    pub(crate) fn start(
        &mut self,
        input: &str,
        gang: u16,
        now: Moment,
        until: Moment,
        left: Option<Span>,
    ) {
        self.program = Program::parse(input);
        self.state = TaskState::Started;
        self.lease = until;
        self.gang = gang;
        self.started = now;
        self.left = left.unwrap_or(self.program.run);
        self.measured = now;
    }

    pub(crate) fn break_at_once(&mut self) {
        self.program.fails = true;
        self.left = Span::ZERO;
    }

    pub(crate) fn is_running(&self) -> bool {
        matches!(self.state, TaskState::Started | TaskState::Confirmed)
    }

    pub(crate) fn is_open(&self) -> bool {
        self.is_running() || self.state == TaskState::Reserved
    }

    pub(crate) fn begin_saving(&mut self, until: Moment) {
        if self.is_running() {
            self.saving.get_or_insert(until);
        }
    }

    pub(crate) fn throttle(&mut self, percent: u8, now: Moment) {
        if self.is_running() {
            self.left = self.left_at(now);
            self.measured = now;
            self.percent = percent.clamp(1, 100);
        }
    }

    pub(crate) fn finish(&mut self, at: Moment, state: TaskState, change: u64) {
        self.state = state;
        self.ended = at;
        self.change = change;
    }

    pub(crate) fn left_at(&self, at: Moment) -> Span {
        let done = at.since(self.measured).0 * u64::from(self.percent) / 100;
        Span(self.left.0.saturating_sub(done))
    }

    pub(crate) fn next_step(&self) -> Option<(Moment, Step)> {
        if self.state == TaskState::Reserved {
            return Some((self.lease, Step::ReservationLapses));
        }
        if !self.is_running() {
            return None;
        }
        let run = Span((self.left.0 * 100).div_ceil(u64::from(self.percent)));
        let done = if self.program.fails { Step::Fails } else { Step::Completes };
        let steps = [
            Some((self.measured + run, done)),
            Some((self.lease, Step::LeaseLapses)),
            self.saving.map(|at| (at, Step::Saved)),
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
