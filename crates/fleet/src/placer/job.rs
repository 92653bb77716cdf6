//! A job as the placer keeps it: what the store has, and what it is to have.

use bulrushlink_core::{Moment, Span};

use crate::catalog::{Catalog, Queue};
use crate::edge::{Clock, EndCause};
use crate::ids::{Boot, JobId, Rev, Run, TaskId};
use crate::model::{JobSpec, Step};
use crate::record::{JobRecord, Outcome, RoundRecord, StateRecord, StepRecord, TaskRecord};

use super::pace::StepPace;

/// A job.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) id: JobId,
    pub(crate) spec: JobSpec,
    /// The queue when the job was accepted.
    pub(crate) accepted_queue: Queue,
    /// When this placer takes the job to have been accepted.
    pub(crate) accepted: Moment,
    pub(crate) state: StateRecord,
    /// Revision of the stored state.
    pub(crate) rev: Rev,
    /// Grows with each change of the state.
    pub(crate) version: u64,
    /// The version that the store has.
    pub(crate) stored: u64,
    /// The version that is on its way to the store.
    pub(crate) flight: Option<u64>,
    /// The marker of a job that hasn't begun is still there.
    pub(crate) marked: bool,
    /// The next commit starts something, and must fail if the job was cancelled.
    pub(crate) starts: bool,
    /// Nothing of the job is started before.
    pub(crate) rest: Moment,
    /// Rates of the steps' tasks, in order.
    pub(super) paces: Vec<StepPace>,
}

/// What the end of a run means for its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Effect {
    /// The run isn't the latest one of its task.
    Stale,
    /// The other members of the gang can't go on.
    GangOver,
    /// The task, or the whole gang, is done.
    Done,
    /// The same by a run that had been given up; a later one isn't needed.
    DoneLate,
    /// The task waits again.
    Again,
    /// The job has failed for good.
    JobFailed,
}

impl Job {
    pub(crate) fn new(
        id: JobId,
        record: JobRecord,
        state: StateRecord,
        rev: Rev,
        accepted: Moment,
    ) -> Self {
        let marked = !state.begun && record.spec.schedule.is_none();
        let paces = vec![StepPace::default(); record.spec.steps.len()];
        Self {
            id,
            spec: record.spec,
            accepted_queue: record.queue,
            accepted,
            state,
            rev,
            version: 0,
            stored: 0,
            flight: None,
            marked,
            starts: false,
            rest: Moment::default(),
            paces,
        }
    }

    /// Returns the job's queue: as it is configured now, or as it was if it has been removed.
    pub(crate) fn queue<'a>(&'a self, catalog: Option<&'a Catalog>) -> &'a Queue {
        let present = catalog.and_then(|c| c.queue(&self.accepted_queue.name));
        present.unwrap_or(&self.accepted_queue)
    }

    pub(crate) fn is_over(&self) -> bool {
        self.state.outcome.is_some()
    }

    /// Notes that the state has to be stored.
    pub(crate) fn touch(&mut self) {
        self.version += 1;
    }

    pub(crate) fn is_dirty(&self) -> bool {
        self.version > self.stored
    }

    pub(crate) fn round(&self, round: u32) -> Option<&RoundRecord> {
        let at = self.state.rounds.binary_search_by_key(&round, |r| r.round).ok()?;
        Some(&self.state.rounds[at])
    }

    fn round_mut(&mut self, round: u32) -> Option<&mut RoundRecord> {
        let at = self.state.rounds.binary_search_by_key(&round, |r| r.round).ok()?;
        Some(&mut self.state.rounds[at])
    }

    pub(crate) fn step(&self, task: &TaskId) -> Option<&Step> {
        self.spec.steps.get(usize::from(task.step))
    }

    pub(crate) fn step_record(&self, task: &TaskId) -> Option<&StepRecord> {
        self.round(task.round)?.steps.get(usize::from(task.step))
    }

    fn step_mut(&mut self, task: &TaskId) -> Option<&mut StepRecord> {
        self.round_mut(task.round)?.steps.get_mut(usize::from(task.step))
    }

    pub(crate) fn task(&self, task: &TaskId) -> Option<&TaskRecord> {
        self.step_record(task)?.tasks.get(task.index as usize)
    }

    pub(crate) fn task_mut(&mut self, task: &TaskId) -> Option<&mut TaskRecord> {
        self.step_mut(task)?.tasks.get_mut(task.index as usize)
    }

    /// Opens the rounds that are due.
    pub(crate) fn open_rounds(&mut self, wall: u64) {
        for round in 0..self.spec.rounds() {
            if self.spec.due(round) > wall {
                break;
            }
            let known = self.state.finished.binary_search(&round).is_ok();
            if known || self.round(round).is_some() {
                continue;
            }
            let record = RoundRecord::new(round, &self.spec);
            let at = self.state.rounds.partition_point(|r| r.round < round);
            self.state.rounds.insert(at, record);
        }
    }

    /// Returns when a round was due, by the clock of this process.
    pub(crate) fn due(&self, round: u32, clock: Clock) -> Moment {
        match self.spec.schedule {
            Some(schedule) => clock.now - Span(clock.wall.saturating_sub(schedule.due(round))),
            None => self.accepted,
        }
    }

    /// Estimates the longest chain of work that begins with a step.
    pub(crate) fn chain_from(&self, step: usize) -> Span {
        let steps = &self.spec.steps;
        let follows = |s: &Step| s.after.iter().any(|a| usize::from(*a) == step);
        let later = (step + 1..steps.len()).filter(|n| follows(&steps[*n]));
        let rest = later.map(|n| self.chain_from(n)).max().unwrap_or(Span::ZERO);
        steps[step].estimate + rest
    }

    /// Returns the time that the job is allowed under its queue.
    pub(crate) fn allowed(&self, queue: &Queue) -> Span {
        let free = |s: &usize| self.spec.steps[*s].after.is_empty();
        let starts = (0..self.spec.steps.len()).filter(free);
        let chain = starts.map(|s| self.chain_from(s)).max().unwrap_or(Span::ZERO);
        Span((chain.millis() as f64 * queue.stretch) as u64) + queue.target
    }

    /// Returns the run that follows all earlier runs of a gang's members.
    pub(crate) fn next_gang_run(&self, task: &TaskId) -> Run {
        let last = self.step_record(task).into_iter().flat_map(|s| &s.tasks).map(|t| t.run).max();
        Run(last.map_or(1, |r| r.0 + 1))
    }

    /// Notes a start that is about to be recorded.
    pub(crate) fn plan(&mut self, task: &TaskId, run: Run, boot: Boot) {
        if let Some(record) = self.task_mut(task) {
            record.run = run;
            record.place = Some(boot);
        }
        self.state.begun = true;
        self.starts = true;
    }

    /// Notes the latest progress; the members of a gang share it.
    pub(crate) fn save(&mut self, task: &TaskId, run: Run, saved: &str) {
        if saved.is_empty() || self.task(task).is_none_or(|t| t.run != run || t.saved == saved) {
            return;
        }
        let gang = self.step(task).is_some_and(|s| s.gang);
        let Some(step) = self.step_mut(task) else { return };
        if gang {
            step.tasks.iter_mut().for_each(|t| t.saved = saved.to_string());
        } else if let Some(record) = step.tasks.get_mut(task.index as usize) {
            record.saved = saved.to_string();
        }
    }

    /// Frees the place of a run that is known not to run and not to start any more.
    pub(crate) fn unplace(&mut self, task: &TaskId, run: Run) -> bool {
        let Some(record) = self.task_mut(task) else { return false };
        if record.run != run || record.place.is_none() {
            return false;
        }
        record.place = None;
        self.touch();
        true
    }

    /// Notes that a run, if it is anywhere, is on another boot of its worker.
    pub(crate) fn move_boot(&mut self, task: &TaskId, run: Run, boot: &Boot) {
        let Some(record) = self.task_mut(task) else { return };
        if record.run == run && record.place.as_ref().is_some_and(|p| p.worker == boot.worker) {
            record.place = Some(boot.clone());
            self.touch();
        }
    }

    /// Takes the end of a run that is on record at the worker that tells of it.
    pub(crate) fn end(
        &mut self,
        task: &TaskId,
        run: Run,
        cause: EndCause,
        attempts: u32,
        wall: u64,
    ) -> Effect {
        let Some(step) = self.step(task).cloned() else { return Effect::Stale };
        if self.task(task).is_none_or(|t| t.run != run || t.place.is_none()) {
            return Effect::Stale;
        }
        if let Some(record) = self.task_mut(task) {
            record.place = None;
        }
        self.touch();
        match cause {
            EndCause::Done if !step.endless => {
                self.done(task, step.gang, run);
                self.close_round(task.round, wall);
                Effect::Done
            }
            EndCause::Failed if !step.endless => {
                if self.failed(task, step.gang, run) >= attempts {
                    self.finish(Outcome::Failed, wall);
                    return Effect::JobFailed;
                }
                if step.gang { Effect::GangOver } else { Effect::Again }
            }
            _ if step.gang && !self.task(task).is_some_and(|t| t.done) => Effect::GangOver,
            _ => Effect::Again,
        }
    }

    /// Takes the end of a run that had been given up, since its worker couldn't be heard.
    ///
    /// What it has done is done all the same, and what it has failed counts as an attempt.
    pub(crate) fn late_end(
        &mut self,
        task: &TaskId,
        run: Run,
        cause: EndCause,
        attempts: u32,
        wall: u64,
    ) -> Effect {
        let Some(step) = self.step(task).cloned() else { return Effect::Stale };
        let known = |t: &TaskRecord| !t.done && run <= t.run;
        if self.is_over() || step.endless || !self.task(task).is_some_and(known) {
            return Effect::Stale;
        }
        match cause {
            EndCause::Done => {
                self.touch();
                self.done_late(task, step.gang);
                self.close_round(task.round, wall);
                Effect::DoneLate
            }
            EndCause::Failed => {
                self.touch();
                if self.failed(task, step.gang, run) < attempts {
                    return Effect::Stale;
                }
                self.finish(Outcome::Failed, wall);
                Effect::JobFailed
            }
            _ => Effect::Stale,
        }
    }

    fn done_late(&mut self, task: &TaskId, gang: bool) {
        let Some(step) = self.step_mut(task) else { return };
        let ended = |t: &mut TaskRecord| (t.done, t.place) = (true, None);
        if gang {
            step.tasks.iter_mut().for_each(ended);
        } else if let Some(record) = step.tasks.get_mut(task.index as usize) {
            ended(record);
        }
    }

    fn done(&mut self, task: &TaskId, gang: bool, run: Run) {
        let Some(step) = self.step_mut(task) else { return };
        if gang {
            step.tasks.iter_mut().filter(|t| t.run == run).for_each(|t| t.done = true);
        } else if let Some(record) = step.tasks.get_mut(task.index as usize) {
            record.done = true;
        }
    }

    /// Counts a failure and returns how many there are; a run fails once, that of a gang too.
    fn failed(&mut self, task: &TaskId, gang: bool, run: Run) -> u32 {
        let Some(step) = self.step_mut(task) else { return 0 };
        if gang {
            if step.failed_run < run {
                step.failed_run = run;
                step.failures += 1;
            }
            return step.failures;
        }
        let Some(record) = step.tasks.get_mut(task.index as usize) else { return 0 };
        if record.failed_run < run {
            record.failed_run = run;
            record.failures += 1;
        }
        record.failures
    }

    /// Closes a round whose steps are all done, and the job with its last round.
    fn close_round(&mut self, round: u32, wall: u64) {
        let done = self.round(round).is_some_and(|r| r.steps.iter().all(StepRecord::is_done));
        if !done {
            return;
        }
        self.state.rounds.retain(|r| r.round != round);
        let at = self.state.finished.partition_point(|r| *r < round);
        self.state.finished.insert(at, round);
        if self.state.finished.len() as u32 == self.spec.rounds() {
            self.finish(Outcome::Completed, wall);
        }
    }

    /// Ends the job.
    pub(crate) fn finish(&mut self, outcome: Outcome, wall: u64) {
        self.state.outcome = Some(outcome);
        self.state.ended = wall;
        self.state.rounds.clear();
        self.touch();
    }
}

#[cfg(test)]
mod tests;
