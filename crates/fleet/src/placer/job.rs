//! A job as the placer keeps it: the state that the store has, and the state that it is to have.

use bulrushlink_core::{Moment, Span};

use crate::catalog::{Catalog, Queue};
use crate::edge::{Clock, EndCause};
use crate::ids::{Boot, JobId, Rev, Run, TaskId};
use crate::model::{JOB_TASKS_MAX, JobSpec, Step};
use crate::policy::{Verdict, leeway};
use crate::record::{JobRecord, Outcome, RoundRecord, StateRecord, StepRecord, TaskRecord};

use crate::policy::Retries;

use super::pace::StepPace;
use super::times::SavedWork;

/// Longest time for which the confirmation of a job's first run waits to be stored with another change. The number of
/// pending jobs may be 2 s old.
const BEGUN_STORE_DELAY: Span = Span(500);
/// Tasks in open rounds without runs at which no further round of a job is opened. Each placement may start all of
/// them, so a fleet fills up within a few placements.
const WAITING_TASKS_MAX: u64 = 64;

/// A job with its state in memory, which may be newer than the stored one.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) id: JobId,
    pub(crate) spec: JobSpec,
    /// Memory that the job takes, in bytes; it doesn't change.
    pub(crate) bytes: u64,
    /// The job's queue as it was when the job was accepted.
    pub(crate) accepted_queue: Queue,
    /// When the job was accepted, converted to this process's clock.
    pub(crate) accepted: Moment,
    pub(crate) state: StateRecord,
    /// Revision of the stored state.
    pub(crate) rev: Rev,
    /// Version of `state`; grows with each change.
    pub(crate) version: u64,
    /// The version that the store has.
    pub(crate) stored: u64,
    /// The version in the commit in flight.
    pub(crate) flight: Option<u64>,
    /// Ordinal of the latest commit that contained the job; 0 if there is none.
    pub(crate) committed: u64,
    /// The store still has the marker that counts the job as pending.
    pub(crate) marked: bool,
    /// A start of the job has been recorded, or is to be.
    pub(crate) planned: bool,
    /// When a worker first confirmed a run of the job, while the stored state doesn't show it.
    pub(crate) confirmed: Option<Moment>,
    /// The next commit records a start, so it must fail if the job has been cancelled.
    pub(crate) starts: bool,
    /// When it was accepted, or a run of it has last ended.
    pub(crate) waiting_since: Moment,
    /// Failed and lost runs; empty unless the settings turn breakers on.
    pub(crate) retries: Retries,
    /// No task of the job is started before this time.
    pub(crate) rest: Moment,
    /// The job's suspected tasks, under which workers have crashed, wait until this time for
    /// workers without other runs.
    pub(crate) isolate_until: Moment,
    /// When this placer learned of the job, and the wait that was forecast then; `None` if there was no
    /// forecast, or once the job has begun.
    pub(super) expected: Option<(Moment, Span)>,
    /// When runs of the job's workspace were last stopped for it because of the workspace's ceiling.
    pub(crate) ceiling_stops: Option<Moment>,
    /// Duration of the longest chain that begins with each step, by the caller's estimates.
    pub(super) chains: Vec<Span>,
    /// The longest of them.
    longest_chain: Span,
    /// Learned rates of the steps' tasks, in order of the steps.
    pub(super) paces: Vec<StepPace>,
    /// Rounds and steps whose gangs were stopped for more urgent work in this epoch.
    pub(super) preempted: Vec<(u32, u16)>,
    /// The latest run of each gang, by round and step, that was stopped in this epoch. None of its members
    /// starts after that. Sorted.
    stopped: Vec<((u32, u16), Run)>,
    /// That a gang of the job waits for its rack has been logged.
    pub(super) rack_logged: bool,
    /// Why no runs were stopped for the job, as logged last.
    pub(super) refusal: Option<Verdict>,
    /// Work in the checkpoints of runs that this placer has stopped, sorted by task.
    pub(super) saved_work: Vec<SavedWork>,
}

/// What the end of a run means for its job. The log prints the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Effect {
    /// Nothing changes for the placement: the run is superseded or unknown, or its failure has only
    /// been counted.
    Stale,
    /// The other members of the gang have to be stopped.
    GangOver,
    /// The task, or the whole gang, is done.
    Done,
    /// Done by a run that had been given up; later runs of the task or gang are not needed.
    DoneLate,
    /// The task waits to be placed again.
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
        let planned = state.begun || state.rounds.iter().any(RoundRecord::has_runs);
        let chains = record.spec.chains(|s| s.estimate);
        let longest_chain = chains.iter().copied().max().unwrap_or_default();
        let paces = vec![StepPace::default(); record.spec.steps.len()];
        Self {
            id,
            bytes: record.spec.memory(),
            spec: record.spec,
            accepted_queue: record.queue,
            accepted,
            state,
            rev,
            version: 0,
            stored: 0,
            flight: None,
            committed: 0,
            marked,
            planned,
            confirmed: None,
            starts: false,
            waiting_since: accepted,
            retries: Retries::default(),
            rest: Moment::default(),
            isolate_until: Moment::default(),
            expected: None,
            ceiling_stops: None,
            chains,
            longest_chain,
            paces,
            preempted: Vec::new(),
            stopped: Vec::new(),
            rack_logged: false,
            refusal: None,
            saved_work: Vec::new(),
        }
    }

    /// Returns the job's queue: as it is configured now, or, if it has been removed, as it was when
    /// the job was accepted.
    pub(crate) fn queue<'a>(&'a self, catalog: Option<&'a Catalog>) -> &'a Queue {
        let present = catalog.and_then(|c| c.queue(&self.accepted_queue.name));
        present.unwrap_or(&self.accepted_queue)
    }

    pub(crate) fn is_over(&self) -> bool {
        self.state.outcome.is_some()
    }

    /// Marks the state as changed, so that it is stored.
    pub(crate) fn mark_dirty(&mut self) {
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

    /// Opens the rounds that are due at `wall`, in milliseconds since the Unix epoch, a few at a time: with a short
    /// interval, all rounds of a job may be due at once. While open rounds wait for their first run, further ones
    /// would only take memory. One round is always open; others are opened while their progress fits into `room`
    /// bytes.
    pub(crate) fn open_rounds(&mut self, wall: u64, mut room: u64) {
        // Rounds are opened in their order, and are in one of the two lists from then on.
        let opened = self.opened_rounds();
        if opened >= self.spec.rounds() || self.spec.due(opened) > wall {
            return;
        }
        let (tasks, bytes) = (self.spec.tasks().max(1), self.spec.round_memory());
        let open_max = (JOB_TASKS_MAX / tasks).max(1) as usize;
        let waiting_max = (WAITING_TASKS_MAX / tasks).max(1) as usize;
        let unused = self.state.rounds.iter().filter(|r| !r.has_runs());
        let mut waiting = unused.take(waiting_max).count();
        for round in opened..self.spec.rounds() {
            let is_first = self.state.rounds.is_empty();
            if self.spec.due(round) > wall
                || waiting >= waiting_max
                || self.state.rounds.len() >= open_max
                || (!is_first && room < bytes)
            {
                break;
            }
            let is_finished = self.state.finished.binary_search(&round).is_ok();
            if is_finished || self.round(round).is_some() {
                continue;
            }
            if !is_first {
                room -= bytes;
            }
            let record = RoundRecord::new(round, &self.spec);
            let at = self.state.rounds.partition_point(|r| r.round < round);
            self.state.rounds.insert(at, record);
            waiting += 1;
        }
    }

    /// Returns the number of rounds that have been opened, which are the first ones.
    fn opened_rounds(&self) -> u32 {
        (self.state.finished.len() + self.state.rounds.len()) as u32
    }

    /// Closes the latest rounds that have no runs; they are opened again later. A state that an earlier version stored
    /// may have thousands.
    pub(crate) fn close_unused_rounds(&mut self) {
        while let Some(last) = self.state.rounds.last()
            && last.round + 1 == self.opened_rounds()
            && !last.has_runs()
        {
            self.state.rounds.pop();
        }
        self.state.rounds.shrink_to_fit();
    }

    /// Returns the memory that the job takes beyond what was counted when it was accepted, in bytes.
    pub(crate) fn extra_memory(&self) -> u64 {
        let rounds = self.state.rounds.len().saturating_sub(1) as u64 * self.spec.round_memory();
        rounds + (self.state.finished.capacity() * size_of::<u32>()) as u64
    }

    /// Returns when a round was due, on the monotonic clock.
    pub(crate) fn due(&self, round: u32, clock: Clock) -> Moment {
        match self.spec.schedule {
            Some(schedule) => clock.now - Span(clock.wall.saturating_sub(schedule.due(round))),
            None => self.accepted,
        }
    }

    /// Returns how much delay the job's queue allows for each second of its estimated run time.
    pub(crate) fn leeway(&self, queue: &Queue) -> f64 {
        leeway(self.allowed_time(queue), self.longest_chain)
    }

    /// Records that a gang was stopped for other work.
    pub(super) fn record_preempted(&mut self, task: &TaskId) {
        let step = (task.round, task.step);
        if let Err(at) = self.preempted.binary_search(&step) {
            self.preempted.insert(at, step);
        }
    }

    /// Records that a run of a gang is stopped. Returns false if that was recorded before.
    pub(super) fn record_stopped(&mut self, task: &TaskId, run: Run) -> bool {
        let key = (task.round, task.step);
        match self.stopped.binary_search_by_key(&key, |(step, _)| *step) {
            Ok(at) => std::mem::replace(&mut self.stopped[at].1, run) != run,
            Err(at) => {
                self.stopped.insert(at, (key, run));
                true
            }
        }
    }

    /// Returns true if a gang was stopped for other work in this epoch.
    pub(super) fn was_preempted(&self, task: &TaskId) -> bool {
        self.preempted.binary_search(&(task.round, task.step)).is_ok()
    }

    /// Returns the time that the job may take under its queue, which its caller's estimates determine.
    pub(crate) fn allowed_time(&self, queue: &Queue) -> Span {
        Span((self.longest_chain.millis() as f64 * queue.stretch) as u64) + queue.target
    }

    /// Returns the run number that follows those of all earlier runs of the gang's members.
    pub(crate) fn next_gang_run(&self, task: &TaskId) -> Run {
        let last = self.step_record(task).into_iter().flat_map(|s| &s.tasks).map(|t| t.run).max();
        Run(last.map_or(1, |r| r.0 + 1))
    }

    /// Adds a start to the state; the next commit records it.
    pub(crate) fn plan_start(&mut self, task: &TaskId, run: Run, boot: Boot) {
        if let Some(record) = self.task_mut(task) {
            record.run = run;
            record.place = Some(boot);
        }
        self.planned = true;
        self.starts = true;
    }

    /// Records that a worker has confirmed a run of the job, by a reply to its start or by a list of its runs or
    /// ends: from then on the job isn't pending. A start that is only recorded may be refused, withheld or lost.
    pub(crate) fn confirm_run(&mut self, now: Moment) {
        if !self.state.begun {
            self.state.begun = true;
            self.confirmed = Some(now);
        }
    }

    /// Returns true if the state has to be stored: it has changed, or a run was confirmed a while ago. What follows
    /// a confirmation within that time is stored with it.
    pub(crate) fn must_store(&self, now: Moment) -> bool {
        self.is_dirty() || self.confirmed.is_some_and(|at| now.since(at) >= BEGUN_STORE_DELAY)
    }

    /// Returns the latest checkpoint of a task; empty if there is none.
    pub(crate) fn checkpoint(&self, task: &TaskId) -> Option<&str> {
        self.step_record(task)?.checkpoint(task.index)
    }

    /// Brings the state into the form in which it is stored.
    pub(crate) fn prepare_state(&mut self) {
        let steps = self.state.rounds.iter_mut().flat_map(|r| &mut r.steps);
        steps.for_each(StepRecord::share_checkpoint);
    }

    /// Stores the latest checkpoint in the state; the members of a gang share it.
    pub(crate) fn record_checkpoint(&mut self, task: &TaskId, run: Run, saved: &str) {
        let current = self.task(task).is_some_and(|t| t.run == run);
        if saved.is_empty() || !current || self.checkpoint(task) == Some(saved) {
            return;
        }
        let gang = self.step(task).is_some_and(|s| s.gang);
        let Some(step) = self.step_mut(task) else { return };
        if gang {
            step.shared = Some(saved.to_string());
        } else if let Some(record) = step.tasks.get_mut(task.index as usize) {
            record.saved = saved.to_string();
        }
    }

    /// Clears the place of a run that is known neither to run nor to start later. Returns false if
    /// the record names another run or no place.
    pub(crate) fn clear_place(&mut self, task: &TaskId, run: Run) -> bool {
        let Some(record) = self.task_mut(task) else { return false };
        if record.run != run || record.place.is_none() {
            return false;
        }
        record.place = None;
        self.mark_dirty();
        true
    }

    /// Records that a run, if it exists at all, is on a later boot of its worker.
    pub(crate) fn move_to_boot(&mut self, task: &TaskId, run: Run, boot: &Boot) {
        let Some(record) = self.task_mut(task) else { return };
        if record.run == run && record.place.as_ref().is_some_and(|p| p.worker == boot.worker) {
            record.place = Some(boot.clone());
            self.mark_dirty();
        }
    }

    /// Applies the end of a run whose record names the worker that reported it.
    pub(crate) fn apply_end(
        &mut self,
        task: &TaskId,
        run: Run,
        cause: EndCause,
        attempts: u32,
        wall: u64,
    ) -> Effect {
        let Some((gang, endless)) = self.step(task).map(|s| (s.gang, s.endless)) else {
            return Effect::Stale;
        };
        if self.task(task).is_none_or(|t| t.run != run || t.place.is_none()) {
            return Effect::Stale;
        }
        let known = self.task(task).is_some_and(|t| t.done);
        if let Some(record) = self.task_mut(task) {
            record.place = None;
        }
        self.mark_dirty();
        match cause {
            // The first member of a gang that is done has marked all others.
            EndCause::Done if !endless && known => Effect::Done,
            EndCause::Done if !endless => {
                self.mark_done(task, gang, run);
                self.close_round(task.round, wall);
                Effect::Done
            }
            EndCause::Failed if !endless => {
                if self.count_failure(task, gang, run) >= attempts {
                    self.finish(Outcome::Failed, wall);
                    return Effect::JobFailed;
                }
                if gang { Effect::GangOver } else { Effect::Again }
            }
            _ if gang && !self.task(task).is_some_and(|t| t.done) => Effect::GangOver,
            _ => Effect::Again,
        }
    }

    /// Applies the end of a run that had been given up because its worker did not reply.
    ///
    /// Work that such a run has done counts as done, and a failure counts as an attempt.
    pub(crate) fn apply_late_end(
        &mut self,
        task: &TaskId,
        run: Run,
        cause: EndCause,
        attempts: u32,
        wall: u64,
    ) -> Effect {
        let Some((gang, endless)) = self.step(task).map(|s| (s.gang, s.endless)) else {
            return Effect::Stale;
        };
        let counts = |t: &TaskRecord| !t.done && run <= t.run;
        if self.is_over() || endless || !self.task(task).is_some_and(counts) {
            return Effect::Stale;
        }
        match cause {
            EndCause::Done => {
                self.mark_dirty();
                self.mark_done_late(task, gang);
                self.close_round(task.round, wall);
                Effect::DoneLate
            }
            EndCause::Failed => {
                self.mark_dirty();
                if self.count_failure(task, gang, run) < attempts {
                    return Effect::Stale;
                }
                self.finish(Outcome::Failed, wall);
                Effect::JobFailed
            }
            _ => Effect::Stale,
        }
    }

    fn mark_done_late(&mut self, task: &TaskId, gang: bool) {
        let Some(step) = self.step_mut(task) else { return };
        let ended = |t: &mut TaskRecord| (t.done, t.place) = (true, None);
        if gang {
            step.tasks.iter_mut().for_each(ended);
        } else if let Some(record) = step.tasks.get_mut(task.index as usize) {
            ended(record);
        }
    }

    fn mark_done(&mut self, task: &TaskId, gang: bool, run: Run) {
        let Some(step) = self.step_mut(task) else { return };
        if gang {
            step.tasks.iter_mut().filter(|t| t.run == run).for_each(|t| t.done = true);
        } else if let Some(record) = step.tasks.get_mut(task.index as usize) {
            record.done = true;
        }
    }

    /// Counts a failure and returns the number of failures. A run counts once, and so does the run
    /// of a gang, however many of its members fail.
    fn count_failure(&mut self, task: &TaskId, gang: bool, run: Run) -> u32 {
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

    /// Closes a round if all of its steps are done, and the job with its last round.
    fn close_round(&mut self, round: u32, wall: u64) {
        let done = self.round(round).is_some_and(RoundRecord::is_done);
        if !done {
            return;
        }
        if let Ok(at) = self.state.rounds.binary_search_by_key(&round, |r| r.round) {
            self.state.rounds.remove(at);
        }
        let at = self.state.finished.partition_point(|r| *r < round);
        self.state.finished.insert(at, round);
        self.preempted.retain(|(r, _)| *r != round);
        self.stopped.retain(|((r, _), _)| *r != round);
        if self.state.finished.len() as u32 == self.spec.rounds() {
            self.finish(Outcome::Completed, wall);
        }
    }

    /// Ends the job with an outcome.
    pub(crate) fn finish(&mut self, outcome: Outcome, wall: u64) {
        self.state.outcome = Some(outcome);
        self.state.ended = wall;
        self.state.rounds.clear();
        self.state.crashes.clear();
        self.saved_work.clear();
        self.mark_dirty();
    }
}

#[cfg(test)]
mod tests;
