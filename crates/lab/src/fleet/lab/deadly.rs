//! Tasks that crash the workers that start them.

use bulrushlink_fleet::{JobId, TaskId};

use super::{Event, FleetLab};

/// Tasks of a job that crash each worker that starts them. The worker boots again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DeadlyTasks {
    /// The job.
    pub job: JobId,
    /// Index of the only such task in the job's first step; none if all of its tasks are deadly.
    pub index: Option<u32>,
    /// Time from a start to the crash, in milliseconds. The worker doesn't answer a start that
    /// crashes it at once.
    pub delay: u64,
    /// Time for which the worker is down, in milliseconds.
    pub downtime: u64,
    /// The worker boots under another identifier, at the same address.
    pub renamed: bool,
}

impl DeadlyTasks {
    pub(in crate::fleet) fn contains(&self, task: &TaskId) -> bool {
        self.job == task.job && task.step == 0 && self.index.is_none_or(|i| i == task.index)
    }
}

impl FleetLab {
    /// Makes tasks crash the workers that start them.
    pub fn add_deadly(&mut self, tasks: DeadlyTasks) {
        self.record.deadly.push(tasks);
    }

    /// Returns how many workers have crashed in all because they started a deadly task.
    pub fn deadly_crashes(&self) -> u64 {
        self.record.deadly_crashes
    }

    /// Schedules the crash of a worker that has started a task, if the task is deadly. Returns true
    /// if the worker crashes before it can answer.
    pub(super) fn schedule_crash(&mut self, worker: usize, task: &TaskId) -> bool {
        let Some(deadly) = self.record.deadly.iter().find(|d| d.contains(task)).copied() else {
            return false;
        };
        let born = self.workers[worker].entry.born;
        let event = Event::Crash { worker, born, task: *task, deadly };
        self.schedule(self.now + deadly.delay, event);
        deadly.delay == 0
    }

    /// Crashes the worker of a deadly task, if that still runs there.
    pub(super) fn crash_for(
        &mut self,
        worker: usize,
        born: u64,
        task: &TaskId,
        deadly: &DeadlyTasks,
    ) {
        let state = &self.workers[worker];
        if state.entry.born != born || !state.up || !state.runs.iter().any(|r| r.task == *task) {
            return;
        }
        self.record.add_trace(self.now, format!("{task} crashes worker {worker}"));
        self.record.deadly_crashes += 1;
        self.remove(worker);
        // Calls that are carried out late are lost with the worker. Under the same identifier, the
        // next boot would carry out a start that another boot has long confirmed as stopped.
        let id = self.workers[worker].entry.id.clone();
        self.events
            .retain(|_, e| !matches!(e, Event::Worker { request, .. } if request.worker == id));
        let event = Event::Boot { worker, born, renamed: deadly.renamed };
        self.schedule(self.now + deadly.downtime, event);
    }

    /// Boots a worker that has crashed.
    pub(super) fn boot(&mut self, worker: usize, born: u64, renamed: bool) {
        let state = &mut self.workers[worker];
        if state.entry.born != born || state.up {
            return;
        }
        state.reboot(self.now);
        if renamed {
            let id = format!("i-{worker:04}-{}", self.now);
            self.workers[worker].entry.id = id.parse().expect("a valid name");
        }
        self.publish_workers();
    }
}
