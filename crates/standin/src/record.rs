//! An independent record of what ran where and when, so that tests never trust the scheduler's own
//! account.

use bulrushlink_api::TaskId;
use bulrushlink_core::{AcceleratorSet, Attempt, JobKey, Moment, Span, WorkerId};
use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex, MutexGuard};

#[cfg(test)]
mod tests;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunEnd {
    /// Completed by itself.
    Completed,
    /// Failed by itself.
    Failed,
    /// Stopped on request or because its lease lapsed.
    Stopped {
        /// Whether a checkpoint was saved.
        saved: bool,
        /// Whether it was the lease.
        lapsed: bool,
    },
    /// Its worker died.
    Lost,
}

/// One task on one worker, from its start to its end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The worker.
    pub worker: WorkerId,
    /// Job, attempt and ordinal.
    pub task: TaskId,
    /// Number of tasks of the gang.
    pub gang: u16,
    /// The accelerators.
    pub set: AcceleratorSet,
    /// When it started.
    pub started: Moment,
    /// When it ended; `None` while it runs.
    pub ended: Option<Moment>,
    /// How it ended.
    pub end: Option<RunEnd>,
}

impl Run {
    fn runs_at(&self, at: Moment) -> bool {
        self.started <= at && self.ended.is_none_or(|ended| at < ended)
    }

    /// A task that has completed is no missing member of its gang.
    fn completed_at(&self, at: Moment) -> bool {
        self.end == Some(RunEnd::Completed) && self.ended.is_some_and(|ended| ended <= at)
    }
}

/// A time during which some but not all tasks of a gang ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartialGang {
    /// The job.
    pub key: JobKey,
    /// The attempt.
    pub attempt: Attempt,
    /// Tasks that ran or had completed at the beginning.
    pub present: u16,
    /// Number of tasks of the gang.
    pub gang: u16,
    /// Beginning.
    pub from: Moment,
    /// End.
    pub until: Moment,
}

impl PartialGang {
    /// Returns how long it was.
    pub const fn length(&self) -> Span {
        self.until.since(self.from)
    }
}

#[derive(Debug, Default)]
struct Runs {
    /// In the order in which the starts were told.
    runs: Vec<Run>,
    /// Indices into `runs`, sorted by the task.
    by_task: Vec<usize>,
    /// Indices into `runs` of those that haven't ended, sorted by the worker.
    open: Vec<usize>,
}

/// The record; clones share the same one.
#[derive(Clone, Debug, Default)]
pub struct Record {
    shared: Arc<Mutex<Runs>>,
}

impl Record {
    /// Opens an empty record.
    pub fn open() -> Self {
        Self::default()
    }

    /// Notes a start.
    ///
    /// # Panics
    ///
    /// When the accelerators are in use by another task of that worker, or the task runs already.
    pub(crate) fn start(&self, run: Run) {
        self.lock().start(run);
    }

    /// Notes an end.
    ///
    /// # Panics
    ///
    /// When the task doesn't run on that worker.
    pub(crate) fn end(&self, worker: &WorkerId, task: &TaskId, at: Moment, end: RunEnd) {
        self.lock().end(worker, task, at, end);
    }

    /// Returns all runs in the order in which the starts were told.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Returns the runs from the one of that index on, in the order in which the starts were told.
    pub fn runs_from(&self, first: usize) -> Vec<Run> {
        self.lock().runs.get(first..).unwrap_or_default().to_vec()
    }

    /// Returns all runs of a job, by attempt and task.
    pub fn runs_of(&self, key: &JobKey) -> Vec<Run> {
        let inner = self.lock();
        inner.of(key).iter().map(|i| inner.runs[*i].clone()).collect()
    }

    /// Returns the attempts of a job that started at least one task, in order.
    pub fn attempts(&self, key: &JobKey) -> Vec<Attempt> {
        let inner = self.lock();
        let mut attempts: Vec<Attempt> =
            inner.of(key).iter().map(|i| inner.runs[*i].task.attempt).collect();
        attempts.dedup();
        attempts
    }

    /// Returns the gangs that ran with some but not all of their tasks at `at`.
    pub fn partial_at(&self, at: Moment) -> Vec<PartialGang> {
        let spans = self.partials(at + Span(1));
        spans.into_iter().filter(|p| p.from <= at && at < p.until).collect()
    }

    /// Returns every time until `now` at which a gang ran partially, with its length. A task
    /// that has completed isn't missing; one that failed, stopped or never started is.
    pub fn partials(&self, now: Moment) -> Vec<PartialGang> {
        let inner = self.lock();
        let same = |a: &usize, b: &usize| {
            let (a, b) = (&inner.runs[*a].task, &inner.runs[*b].task);
            a.key == b.key && a.attempt == b.attempt
        };
        inner.by_task.chunk_by(same).flat_map(|gang| inner.partials(gang, now)).collect()
    }

    /// Returns the accelerators of a worker that run tasks.
    pub fn busy(&self, worker: &WorkerId) -> AcceleratorSet {
        let inner = self.lock();
        let open = inner.open_on(worker).iter().map(|i| inner.runs[*i].set);
        open.fold(AcceleratorSet::EMPTY, AcceleratorSet::with)
    }

    fn lock(&self) -> MutexGuard<'_, Runs> {
        self.shared.lock().expect("no holder of the record panics but on a broken invariant")
    }
}

impl Runs {
    fn start(&mut self, run: Run) {
        for i in self.open_on(&run.worker) {
            let other = &self.runs[*i];
            assert!(other.task != run.task, "{} runs twice on {}", run.task, run.worker);
            assert!(
                !other.set.overlaps(run.set),
                "{} and {} share accelerators of {}",
                other.task,
                run.task,
                run.worker,
            );
        }
        let index = self.runs.len();
        let place = self.by_task.partition_point(|i| self.runs[*i].task <= run.task);
        self.by_task.insert(place, index);
        let place = self.open.partition_point(|i| self.runs[*i].worker <= run.worker);
        self.open.insert(place, index);
        self.runs.push(run);
    }

    fn end(&mut self, worker: &WorkerId, task: &TaskId, at: Moment, end: RunEnd) {
        let first = self.open.partition_point(|i| self.runs[*i].worker < *worker);
        let open = self.open_on(worker).iter().position(|i| self.runs[*i].task == *task);
        let place = first + open.unwrap_or_else(|| panic!("{task} does not run on {worker}"));
        let run = &mut self.runs[self.open.remove(place)];
        run.ended = Some(at);
        run.end = Some(end);
    }

    fn open_on(&self, worker: &WorkerId) -> &[usize] {
        let first = self.open.partition_point(|i| self.runs[*i].worker < *worker);
        let last = self.open.partition_point(|i| self.runs[*i].worker <= *worker);
        &self.open[first..last]
    }

    fn of(&self, key: &JobKey) -> &[usize] {
        let first = self.by_task.partition_point(|i| self.runs[*i].task.key < *key);
        let last = self.by_task.partition_point(|i| self.runs[*i].task.key <= *key);
        &self.by_task[first..last]
    }

    fn partials(&self, gang: &[usize], now: Moment) -> Vec<PartialGang> {
        let runs: Vec<&Run> = gang.iter().map(|i| &self.runs[*i]).collect();
        let mut times: Vec<Moment> =
            runs.iter().flat_map(|r| [Some(r.started), r.ended]).flatten().collect();
        times.push(now);
        times.retain(|at| *at <= now);
        times.sort_unstable();
        times.dedup();
        let mut partials: Vec<PartialGang> = Vec::new();
        for pair in times.windows(2) {
            let Some(found) = Self::partial(&runs, pair[0], pair[1]) else { continue };
            match partials.last_mut().filter(|last| last.until == found.from) {
                Some(last) => last.until = found.until,
                None => partials.push(found),
            }
        }
        partials
    }

    fn partial(runs: &[&Run], from: Moment, until: Moment) -> Option<PartialGang> {
        let running = runs.iter().filter(|r| r.runs_at(from)).count() as u16;
        let completed = runs.iter().filter(|r| r.completed_at(from)).count() as u16;
        let present = running + completed;
        let first = runs[0];
        (running > 0 && present < first.gang).then(|| PartialGang {
            key: first.task.key.clone(),
            attempt: first.task.attempt,
            present,
            gang: first.gang,
            from,
            until,
        })
    }
}
