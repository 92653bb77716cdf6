//! One simulated worker as a state machine, with slots, accelerators, leases and reports.

use bulrushlink_api::{
    Host, TaskId, TaskReport, TaskState, WorkerBatch, WorkerOp, WorkerReply, WorkerResult,
};
use bulrushlink_core::{AcceleratorSet, DaemonId, Moment, Span, WorkerId};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

use crate::checkpoints::Checkpoints;
use crate::record::{Record, Run, RunEnd};
use task::{SimTask, Step};

mod task;
#[cfg(test)]
mod tests;

/// Largest deviation of a checkpoint's duration from its setting, in percent.
const CHECKPOINT_JITTER_PERCENT: u64 = 20;

/// Behavior of a simulated worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerMode {
    /// Works correctly.
    #[default]
    Well,
    /// Fails every task that starts.
    FailsAll,
    /// Has lost its tasks and answers no request.
    Dead,
}

/// Durations that a simulated worker uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct WorkerTiming {
    /// Mean duration of a checkpoint, which varies by up to 20 percent.
    pub checkpoint: Span,
    /// Age of the observation of busy accelerators that the worker reports.
    pub busy_lag: Span,
}

impl Default for WorkerTiming {
    fn default() -> Self {
        Self { checkpoint: Span(800), busy_lag: Span::from_secs(3) }
    }
}

#[derive(Debug)]
struct ReportCursor {
    daemon: DaemonId,
    /// Changes up to this number were reported to the daemon.
    seen: u64,
}

#[derive(Debug, Default)]
struct Observation {
    at: Moment,
    busy: AcceleratorSet,
}

/// A simulated worker.
#[derive(Debug)]
pub struct WorkerSim {
    host: Host,
    timing: WorkerTiming,
    mode: WorkerMode,
    checkpoints: Checkpoints,
    record: Record,
    rng: fastrand::Rng,
    /// Sorted by id. The accelerator sets of tasks that haven't ended never overlap.
    tasks: Vec<SimTask>,
    /// Number of the latest change of any task.
    last_change: u64,
    /// Sorted by daemon.
    cursors: Vec<ReportCursor>,
    /// Never empty, sorted by time. The first one is reported.
    observations: VecDeque<Observation>,
}

impl WorkerSim {
    /// Creates a worker without tasks, which shares checkpoints and record with other workers.
    pub fn open(host: Host, checkpoints: &Checkpoints, record: &Record, seed: u64) -> Self {
        Self {
            host,
            timing: WorkerTiming::default(),
            mode: WorkerMode::Well,
            checkpoints: checkpoints.clone(),
            record: record.clone(),
            rng: fastrand::Rng::with_seed(seed),
            tasks: Vec::new(),
            last_change: 0,
            cursors: Vec::new(),
            observations: VecDeque::from([Observation::default()]),
        }
    }

    /// Replaces the default durations.
    #[must_use]
    pub fn with_timing(mut self, timing: WorkerTiming) -> Self {
        self.timing = timing;
        self
    }

    /// Returns the host entry of the worker.
    pub fn host(&self) -> &Host {
        &self.host
    }

    /// Returns the current behavior of the worker.
    pub fn mode(&self) -> WorkerMode {
        self.mode
    }

    /// Changes the behavior of the worker. A worker that dies loses its tasks, so that it has none
    /// when it recovers.
    pub fn set_mode(&mut self, mode: WorkerMode, now: Moment) {
        self.advance(now);
        if mode == WorkerMode::Dead {
            self.lose_tasks(now);
        }
        self.mode = mode;
    }

    /// Clears the mark that the worker is about to leave.
    pub fn cancel_leave(&mut self) {
        self.host.leaving = false;
    }

    /// Marks the worker as about to leave, which it reports in every reply.
    pub fn leave(&mut self) {
        self.host.leaving = true;
    }

    /// Carries out a batch and returns the reply.
    ///
    /// # Panics
    ///
    /// If the worker is dead: the caller must not deliver messages to a dead worker.
    pub fn handle(&mut self, batch: &WorkerBatch, now: Moment) -> WorkerReply {
        assert!(self.mode != WorkerMode::Dead, "{} is dead", self.host.id);
        self.advance(now);
        let results = batch.ops.iter().map(|op| self.execute(op, now)).collect();
        self.advance(now);
        let tasks = self.report(&batch.from, batch.all, now);
        let busy = self.observations.front().map(|o| o.busy).unwrap_or_default();
        WorkerReply {
            results,
            tasks,
            leaving: self.host.leaving,
            busy,
            busy_age: self.timing.busy_lag,
        }
    }

    /// Advances the worker to `now`: tasks end, leases expire and checkpoints are saved, in order
    /// of time.
    pub fn advance(&mut self, now: Moment) {
        while let Some(i) = self.next_due(now) {
            let (at, step) = self.tasks[i].next_step().expect("a due task has a next step");
            self.take_step(i, at, step);
        }
        let horizon = now - self.timing.busy_lag;
        while self.observations.get(1).is_some_and(|o| o.at <= horizon) {
            self.observations.pop_front();
        }
    }

    /// Returns the time of the next change that needs no request, if any task is open.
    pub fn next_change(&self) -> Option<Moment> {
        self.tasks.iter().filter_map(|t| t.next_step()).map(|(at, _)| at).min()
    }

    /// Returns reports of all tasks, without marking changes as reported to a daemon.
    pub fn tasks(&self, now: Moment) -> Vec<TaskReport> {
        self.tasks.iter().map(|t| t.report(now)).collect()
    }

    fn next_due(&self, now: Moment) -> Option<usize> {
        let due = self.tasks.iter().enumerate();
        let due = due.filter_map(|(i, t)| t.next_step().map(|(at, _)| (at, i)));
        due.filter(|(at, _)| *at <= now).min().map(|(_, i)| i)
    }

    fn take_step(&mut self, i: usize, at: Moment, step: Step) {
        let task = &mut self.tasks[i];
        let (key, index) = (task.id.key.clone(), task.id.task);
        match step {
            Step::ReservationExpires => {
                self.tasks.remove(i);
            }
            Step::Completes => {
                let output = task.program.output(index);
                self.checkpoints.remove(&key, index);
                self.finish(i, at, TaskState::Completed { output }, RunEnd::Completed);
            }
            Step::Fails => {
                let reason = "the task failed".to_string();
                self.finish(i, at, TaskState::Failed { reason }, RunEnd::Failed);
            }
            Step::CheckpointSaved => {
                let saved = task.program.saves;
                if saved {
                    self.checkpoints.save(&key, index, task.remaining_at(at));
                }
                self.stop_task(i, at, saved, false);
            }
            Step::LeaseExpires => self.stop_task(i, at, false, true),
        }
    }

    fn stop_task(&mut self, i: usize, at: Moment, saved: bool, lapsed: bool) {
        let state = TaskState::Stopped { saved, lapsed };
        self.finish(i, at, state, RunEnd::Stopped { saved, lapsed });
    }

    fn finish(&mut self, i: usize, at: Moment, state: TaskState, end: RunEnd) {
        self.last_change += 1;
        let task = &mut self.tasks[i];
        task.finish(at, state, self.last_change);
        self.record.end(&self.host.id, &task.id, at, end);
        self.observe(at);
    }

    fn lose_tasks(&mut self, now: Moment) {
        for task in self.tasks.iter().filter(|t| t.is_running()) {
            self.record.end(&self.host.id, &task.id, now, RunEnd::Lost);
        }
        self.tasks.clear();
        self.cursors.clear();
        self.observe(now);
    }

    fn observe(&mut self, at: Moment) {
        let running = self.tasks.iter().filter(|t| t.is_running()).map(|t| t.set);
        let busy = running.fold(AcceleratorSet::EMPTY, AcceleratorSet::union);
        self.observations.push_back(Observation { at, busy });
    }

    fn execute(&mut self, op: &WorkerOp, now: Moment) -> WorkerResult {
        match op {
            WorkerOp::Reserve { id, set, lease } => self.reserve(id, *set, now + *lease),
            WorkerOp::Commit { id, input, kind: _, gang, lease } => {
                self.commit(id, input, *gang, now, *lease)
            }
            WorkerOp::Confirm { id, lease } => self.confirm(id, now + *lease),
            WorkerOp::RenewAll { lease } => self.renew_all(now + *lease),
            WorkerOp::Release { id } => self.release(id),
            WorkerOp::Checkpoint { id } => self.checkpoint(id, now),
            WorkerOp::Throttle { id, percent } => self.throttle(id, *percent, now),
            WorkerOp::Stop { id } => self.stop_or_drop(id, now),
            WorkerOp::Forget { id } => self.forget(id),
        }
    }

    fn reserve(&mut self, id: &TaskId, set: AcceleratorSet, until: Moment) -> WorkerResult {
        let position = self.find(id);
        if let Ok(i) = position {
            let task = &mut self.tasks[i];
            return match task.state {
                TaskState::Reserved if task.set == set => {
                    task.expires = until;
                    WorkerResult::Done
                }
                TaskState::Reserved => WorkerResult::Busy,
                _ if task.is_running() => WorkerResult::Done,
                _ => WorkerResult::Lapsed,
            };
        }
        let open = || self.tasks.iter().filter(|t| t.is_open());
        let positions = AcceleratorSet::contiguous(0, self.host.accelerators);
        let full = open().count() >= usize::from(self.host.slots);
        let taken = open().any(|t| t.set.overlaps(set));
        if full || taken || !positions.contains(set) {
            return WorkerResult::Busy;
        }
        self.last_change += 1;
        let task = SimTask::reserved(id.clone(), set, until, self.last_change);
        self.tasks.insert(position.expect_err("the task does not exist yet"), task);
        WorkerResult::Done
    }

    fn commit(
        &mut self,
        id: &TaskId,
        input: &str,
        gang: u16,
        now: Moment,
        lease: Span,
    ) -> WorkerResult {
        let Ok(i) = self.find(id) else { return WorkerResult::Lapsed };
        if self.tasks[i].state != TaskState::Reserved {
            return WorkerResult::Done;
        }
        self.last_change += 1;
        let remaining = self.checkpoints.remaining(&id.key, id.task);
        let task = &mut self.tasks[i];
        task.start(input, gang, now, now + lease, remaining);
        task.change = self.last_change;
        if self.mode == WorkerMode::FailsAll {
            task.fail_at_once();
        }
        self.record.start(Run {
            worker: self.host.id.clone(),
            task: id.clone(),
            gang,
            set: self.tasks[i].set,
            started: now,
            ended: None,
            end: None,
        });
        self.observe(now);
        WorkerResult::Done
    }

    fn confirm(&mut self, id: &TaskId, until: Moment) -> WorkerResult {
        let Ok(i) = self.find(id) else { return WorkerResult::Unknown };
        let task = &mut self.tasks[i];
        match task.state {
            TaskState::Reserved => WorkerResult::Lapsed,
            TaskState::Started => {
                self.last_change += 1;
                task.state = TaskState::Confirmed;
                task.change = self.last_change;
                task.expires = until;
                WorkerResult::Done
            }
            TaskState::Confirmed => {
                task.expires = until;
                WorkerResult::Done
            }
            _ => WorkerResult::Done,
        }
    }

    fn renew_all(&mut self, until: Moment) -> WorkerResult {
        for task in self.tasks.iter_mut().filter(|t| t.state == TaskState::Confirmed) {
            task.expires = until;
        }
        WorkerResult::Done
    }

    fn release(&mut self, id: &TaskId) -> WorkerResult {
        if let Ok(i) = self.find(id)
            && self.tasks[i].state == TaskState::Reserved
        {
            self.tasks.remove(i);
        }
        WorkerResult::Done
    }

    fn checkpoint(&mut self, id: &TaskId, now: Moment) -> WorkerResult {
        let Ok(i) = self.find(id) else { return WorkerResult::Unknown };
        if self.tasks[i].state == TaskState::Reserved {
            self.tasks.remove(i);
            return WorkerResult::Done;
        }
        let jitter = self.rng.u64(0..=2 * CHECKPOINT_JITTER_PERCENT);
        let percent = 100 - CHECKPOINT_JITTER_PERCENT + jitter;
        let duration = Span(self.timing.checkpoint.0 * percent / 100);
        self.tasks[i].start_checkpoint(now + duration);
        WorkerResult::Done
    }

    fn throttle(&mut self, id: &TaskId, percent: u8, now: Moment) -> WorkerResult {
        let Ok(i) = self.find(id) else { return WorkerResult::Unknown };
        self.tasks[i].throttle(percent, now);
        WorkerResult::Done
    }

    fn stop_or_drop(&mut self, id: &TaskId, now: Moment) -> WorkerResult {
        let Ok(i) = self.find(id) else { return WorkerResult::Unknown };
        if self.tasks[i].state == TaskState::Reserved {
            self.tasks.remove(i);
        } else if self.tasks[i].is_running() {
            self.stop_task(i, now, false, false);
        }
        WorkerResult::Done
    }

    fn forget(&mut self, id: &TaskId) -> WorkerResult {
        if let Ok(i) = self.find(id)
            && !self.tasks[i].is_open()
        {
            self.tasks.remove(i);
        }
        WorkerResult::Done
    }

    /// Returns the reports for a daemon. Ended tasks are included until they are forgotten, since a
    /// reply may be lost.
    fn report(&mut self, daemon: &DaemonId, all: bool, now: Moment) -> Vec<TaskReport> {
        let seen = self.advance_cursor(daemon);
        let included = |t: &&SimTask| all || t.change > seen || !t.is_open();
        self.tasks.iter().filter(included).map(|t| t.report(now)).collect()
    }

    fn advance_cursor(&mut self, daemon: &DaemonId) -> u64 {
        let seen = self.last_change;
        match self.cursors.binary_search_by(|r| r.daemon.cmp(daemon)) {
            Ok(i) => std::mem::replace(&mut self.cursors[i].seen, seen),
            Err(i) => {
                self.cursors.insert(i, ReportCursor { daemon: daemon.clone(), seen });
                0
            }
        }
    }

    fn find(&self, id: &TaskId) -> Result<usize, usize> {
        self.tasks.binary_search_by(|t| t.id.cmp(id))
    }

    /// Returns the id of the worker.
    pub fn id(&self) -> &WorkerId {
        &self.host.id
    }
}
