//! One worker of the platform as a state machine: slots, accelerators, leases and reports.

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

/// Spread of the checkpoint's duration around its setting, in percent.
const CHECKPOINT_JITTER_PERCENT: u64 = 20;

/// How a worker behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerMode {
    /// As it should.
    #[default]
    Well,
    /// Fails every task that starts.
    FailsAll,
    /// Lost its tasks and answers nothing.
    Dead,
}

/// Times of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct WorkerTiming {
    /// Duration of a checkpoint, give or take a fifth.
    pub checkpoint: Span,
    /// Age of the observation of busy accelerators.
    pub busy_lag: Span,
}

impl Default for WorkerTiming {
    fn default() -> Self {
        Self { checkpoint: Span(800), busy_lag: Span::from_secs(3) }
    }
}

#[derive(Debug)]
struct Reader {
    daemon: DaemonId,
    /// Changes up to this ordinal were reported to it.
    seen: u64,
}

#[derive(Debug, Default)]
struct Observation {
    at: Moment,
    busy: AcceleratorSet,
}

/// One worker.
#[derive(Debug)]
pub struct WorkerSim {
    host: Host,
    timing: WorkerTiming,
    mode: WorkerMode,
    checkpoints: Checkpoints,
    record: Record,
    rng: fastrand::Rng,
    /// Sorted by id; the sets of those that haven't ended never overlap.
    tasks: Vec<SimTask>,
    /// Ordinal of the latest change of any task.
    change: u64,
    /// Sorted by daemon.
    readers: Vec<Reader>,
    /// Never empty, in the order of time; the first one is the one that is told.
    observations: VecDeque<Observation>,
}

impl WorkerSim {
    /// Opens a worker without tasks; checkpoints and record are shared with other workers.
    pub fn open(host: Host, checkpoints: &Checkpoints, record: &Record, seed: u64) -> Self {
        Self {
            host,
            timing: WorkerTiming::default(),
            mode: WorkerMode::Well,
            checkpoints: checkpoints.clone(),
            record: record.clone(),
            rng: fastrand::Rng::with_seed(seed),
            tasks: Vec::new(),
            change: 0,
            readers: Vec::new(),
            observations: VecDeque::from([Observation::default()]),
        }
    }

    /// Sets other times.
    #[must_use]
    pub fn with_timing(mut self, timing: WorkerTiming) -> Self {
        self.timing = timing;
        self
    }

    /// Returns the worker's facts.
    pub fn host(&self) -> &Host {
        &self.host
    }

    /// Tells how the worker behaves.
    pub fn mode(&self) -> WorkerMode {
        self.mode
    }

    /// Makes the worker behave otherwise. A worker that dies loses its tasks, and one that comes
    /// back has none.
    pub fn set_mode(&mut self, mode: WorkerMode, now: Moment) {
        self.advance(now);
        if mode == WorkerMode::Dead {
            self.lose_tasks(now);
        }
        self.mode = mode;
    }

    /// Takes back that the worker is about to leave.
    pub fn stay(&mut self) {
        self.host.leaving = false;
    }

    /// Marks the worker as about to leave; it says so in every reply.
    pub fn leave(&mut self) {
        self.host.leaving = true;
    }

    /// Carries out a batch and answers it.
    ///
    /// # Panics
    ///
    /// When the worker is dead: a dead worker gets no messages.
    pub fn handle(&mut self, batch: &WorkerBatch, now: Moment) -> WorkerReply {
        assert!(self.mode != WorkerMode::Dead, "{} is dead", self.host.id);
        self.advance(now);
        let results = batch.ops.iter().map(|op| self.carry_out(op, now)).collect();
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

    /// Lets time pass: tasks end, leases lapse, checkpoints are saved, in the order of time.
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

    /// Returns the moment of the next change by itself, if any task is open.
    pub fn next_change(&self) -> Option<Moment> {
        self.tasks.iter().filter_map(|t| t.next_step()).map(|(at, _)| at).min()
    }

    /// Returns the reports of all tasks, without counting as a report to anybody.
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
        let (key, ordinal) = (task.id.key.clone(), task.id.task);
        match step {
            Step::ReservationLapses => {
                self.tasks.remove(i);
            }
            Step::Completes => {
                let output = task.program.output(ordinal);
                self.checkpoints.drop_one(&key, ordinal);
                self.finish(i, at, TaskState::Completed { output }, RunEnd::Completed);
            }
            Step::Fails => {
                let reason = "the task failed".to_string();
                self.finish(i, at, TaskState::Failed { reason }, RunEnd::Failed);
            }
            Step::Saved => {
                let saved = task.program.saves;
                if saved {
                    self.checkpoints.save(&key, ordinal, task.left_at(at));
                }
                self.stop(i, at, saved, false);
            }
            Step::LeaseLapses => self.stop(i, at, false, true),
        }
    }

    fn stop(&mut self, i: usize, at: Moment, saved: bool, lapsed: bool) {
        let state = TaskState::Stopped { saved, lapsed };
        self.finish(i, at, state, RunEnd::Stopped { saved, lapsed });
    }

    fn finish(&mut self, i: usize, at: Moment, state: TaskState, end: RunEnd) {
        self.change += 1;
        let task = &mut self.tasks[i];
        task.finish(at, state, self.change);
        self.record.end(&self.host.id, &task.id, at, end);
        self.observe(at);
    }

    fn lose_tasks(&mut self, now: Moment) {
        for task in self.tasks.iter().filter(|t| t.is_running()) {
            self.record.end(&self.host.id, &task.id, now, RunEnd::Lost);
        }
        self.tasks.clear();
        self.readers.clear();
        self.observe(now);
    }

    fn observe(&mut self, at: Moment) {
        let running = self.tasks.iter().filter(|t| t.is_running()).map(|t| t.set);
        let busy = running.fold(AcceleratorSet::EMPTY, AcceleratorSet::with);
        self.observations.push_back(Observation { at, busy });
    }

    fn carry_out(&mut self, op: &WorkerOp, now: Moment) -> WorkerResult {
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
            WorkerOp::Stop { id } => self.stop_now(id, now),
            WorkerOp::Forget { id } => self.forget(id),
        }
    }

    fn reserve(&mut self, id: &TaskId, set: AcceleratorSet, until: Moment) -> WorkerResult {
        let place = self.find(id);
        if let Ok(i) = place {
            let task = &mut self.tasks[i];
            return match task.state {
                TaskState::Reserved if task.set == set => {
                    task.lease = until;
                    WorkerResult::Done
                }
                TaskState::Reserved => WorkerResult::Busy,
                _ if task.is_running() => WorkerResult::Done,
                _ => WorkerResult::Lapsed,
            };
        }
        let open = || self.tasks.iter().filter(|t| t.is_open());
        let positions = AcceleratorSet::run(0, self.host.accelerators);
        let full = open().count() >= usize::from(self.host.slots);
        let taken = open().any(|t| t.set.overlaps(set));
        if full || taken || !positions.contains(set) {
            return WorkerResult::Busy;
        }
        self.change += 1;
        let task = SimTask::reserved(id.clone(), set, until, self.change);
        self.tasks.insert(place.expect_err("the task is not there"), task);
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
        self.change += 1;
        let left = self.checkpoints.left(&id.key, id.task);
        let task = &mut self.tasks[i];
        task.start(input, gang, now, now + lease, left);
        task.change = self.change;
        if self.mode == WorkerMode::FailsAll {
            task.break_at_once();
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
                self.change += 1;
                task.state = TaskState::Confirmed;
                task.change = self.change;
                task.lease = until;
                WorkerResult::Done
            }
            TaskState::Confirmed => {
                task.lease = until;
                WorkerResult::Done
            }
            _ => WorkerResult::Done,
        }
    }

    fn renew_all(&mut self, until: Moment) -> WorkerResult {
        for task in self.tasks.iter_mut().filter(|t| t.state == TaskState::Confirmed) {
            task.lease = until;
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
        self.tasks[i].begin_saving(now + duration);
        WorkerResult::Done
    }

    fn throttle(&mut self, id: &TaskId, percent: u8, now: Moment) -> WorkerResult {
        let Ok(i) = self.find(id) else { return WorkerResult::Unknown };
        self.tasks[i].throttle(percent, now);
        WorkerResult::Done
    }

    fn stop_now(&mut self, id: &TaskId, now: Moment) -> WorkerResult {
        let Ok(i) = self.find(id) else { return WorkerResult::Unknown };
        if self.tasks[i].state == TaskState::Reserved {
            self.tasks.remove(i);
        } else if self.tasks[i].is_running() {
            self.stop(i, now, false, false);
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

    /// Ended tasks are reported each time until they are forgotten, since a reply may be lost.
    fn report(&mut self, daemon: &DaemonId, all: bool, now: Moment) -> Vec<TaskReport> {
        let seen = self.swap_seen(daemon);
        let told = |t: &&SimTask| all || t.change > seen || !t.is_open();
        self.tasks.iter().filter(told).map(|t| t.report(now)).collect()
    }

    fn swap_seen(&mut self, daemon: &DaemonId) -> u64 {
        let seen = self.change;
        match self.readers.binary_search_by(|r| r.daemon.cmp(daemon)) {
            Ok(i) => std::mem::replace(&mut self.readers[i].seen, seen),
            Err(i) => {
                self.readers.insert(i, Reader { daemon: daemon.clone(), seen });
                0
            }
        }
    }

    fn find(&self, id: &TaskId) -> Result<usize, usize> {
        self.tasks.binary_search_by(|t| t.id.cmp(id))
    }

    /// Returns the worker's name.
    pub fn id(&self) -> &WorkerId {
        &self.host.id
    }
}
