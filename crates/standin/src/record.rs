//! Record of all runs on the simulated workers. Tests check against it, so that they don't rely on
//! what the scheduler itself reports.

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
    /// Completed on its own.
    Completed,
    /// Failed on its own.
    Failed,
    /// Stopped on request or because its lease expired.
    Stopped {
        /// Whether a checkpoint was saved.
        saved: bool,
        /// Whether the task was stopped because its lease expired.
        lapsed: bool,
    },
    /// Lost because its worker died.
    Lost,
}

/// One run of a task on a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The worker.
    pub worker: WorkerId,
    /// Job, attempt and index of the task.
    pub task: TaskId,
    /// Number of tasks of the gang.
    pub gang: u16,
    /// Accelerators that the task uses.
    pub set: AcceleratorSet,
    /// Time of the start.
    pub started: Moment,
    /// Time of the end; `None` while the task runs.
    pub ended: Option<Moment>,
    /// How the run ended; `None` while the task runs.
    pub end: Option<RunEnd>,
}

impl Run {
    fn runs_at(&self, at: Moment) -> bool {
        self.started <= at && self.ended.is_none_or(|ended| at < ended)
    }

    /// Returns true if the task had completed at `at`: it then doesn't count as missing from its
    /// gang.
    fn completed_at(&self, at: Moment) -> bool {
        self.end == Some(RunEnd::Completed) && self.ended.is_some_and(|ended| ended <= at)
    }
}

/// Period in which some but not all tasks of a gang ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartialGang {
    /// The job.
    pub key: JobKey,
    /// The attempt.
    pub attempt: Attempt,
    /// Number of tasks that ran or had completed at the start of the period.
    pub present: u16,
    /// Number of tasks of the gang.
    pub gang: u16,
    /// Start of the period.
    pub from: Moment,
    /// End of the period.
    pub until: Moment,
}

impl PartialGang {
    /// Returns the length of the period.
    pub const fn length(&self) -> Span {
        self.until.since(self.from)
    }
}

#[derive(Debug, Default)]
struct Runs {
    /// In the order in which the starts were recorded.
    runs: Vec<Run>,
    /// Indices into `runs`, sorted by task.
    by_task: Vec<usize>,
    /// Indices into `runs` of the runs that haven't ended, sorted by worker.
    open: Vec<usize>,
}

/// Record of runs. Clones share one record.
#[derive(Clone, Debug, Default)]
pub struct Record {
    shared: Arc<Mutex<Runs>>,
}

impl Record {
    /// Creates an empty record.
    pub fn open() -> Self {
        Self::default()
    }

    /// Records a start.
    ///
    /// # Panics
    ///
    /// If another task of the worker uses one of the accelerators, or the task already runs there.
    pub(crate) fn start(&self, run: Run) {
        self.lock().start(run);
    }

    /// Records an end.
    ///
    /// # Panics
    ///
    /// If the task doesn't run on that worker.
    pub(crate) fn end(&self, worker: &WorkerId, task: &TaskId, at: Moment, end: RunEnd) {
        self.lock().end(worker, task, at, end);
    }

    /// Returns all runs in the order in which their starts were recorded.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Returns the runs from index `first` on, in the order in which their starts were recorded.
    pub fn runs_from(&self, first: usize) -> Vec<Run> {
        self.lock().runs.get(first..).unwrap_or_default().to_vec()
    }

    /// Returns all runs of a job, sorted by attempt and task.
    pub fn runs_of(&self, key: &JobKey) -> Vec<Run> {
        let inner = self.lock();
        inner.indices_of(key).iter().map(|i| inner.runs[*i].clone()).collect()
    }

    /// Returns the attempts of a job that started at least one task, in order.
    pub fn attempts(&self, key: &JobKey) -> Vec<Attempt> {
        let inner = self.lock();
        let mut attempts: Vec<Attempt> =
            inner.indices_of(key).iter().map(|i| inner.runs[*i].task.attempt).collect();
        attempts.dedup();
        attempts
    }

    /// Returns the gangs of which some but not all tasks ran at `at`.
    pub fn partial_at(&self, at: Moment) -> Vec<PartialGang> {
        let spans = self.partials(at + Span(1));
        spans.into_iter().filter(|p| p.from <= at && at < p.until).collect()
    }

    /// Returns every period until `now` in which a gang ran partially. A completed task doesn't
    /// count as missing; one that failed, was stopped or never started does.
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
        let open = inner.active_on(worker).iter().map(|i| inner.runs[*i].set);
        open.fold(AcceleratorSet::EMPTY, AcceleratorSet::union)
    }

    fn lock(&self) -> MutexGuard<'_, Runs> {
        self.shared.lock().expect("a thread panics with the lock only on a violated invariant")
    }
}

impl Runs {
    fn start(&mut self, run: Run) {
        for i in self.active_on(&run.worker) {
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
        let position = self.by_task.partition_point(|i| self.runs[*i].task <= run.task);
        self.by_task.insert(position, index);
        let position = self.open.partition_point(|i| self.runs[*i].worker <= run.worker);
        self.open.insert(position, index);
        self.runs.push(run);
    }

    fn end(&mut self, worker: &WorkerId, task: &TaskId, at: Moment, end: RunEnd) {
        let first = self.open.partition_point(|i| self.runs[*i].worker < *worker);
        let open = self.active_on(worker).iter().position(|i| self.runs[*i].task == *task);
        let position = first + open.unwrap_or_else(|| panic!("{task} does not run on {worker}"));
        let run = &mut self.runs[self.open.remove(position)];
        run.ended = Some(at);
        run.end = Some(end);
    }

    fn active_on(&self, worker: &WorkerId) -> &[usize] {
        let first = self.open.partition_point(|i| self.runs[*i].worker < *worker);
        let last = self.open.partition_point(|i| self.runs[*i].worker <= *worker);
        &self.open[first..last]
    }

    fn indices_of(&self, key: &JobKey) -> &[usize] {
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
