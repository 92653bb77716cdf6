//! Table of saved checkpoints, shared by all workers so that a job can resume on any of them.

use bulrushlink_core::{JobKey, Span};
use std::sync::{Arc, Mutex, MutexGuard};

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TaskKey {
    key: JobKey,
    task: u16,
}

#[derive(Debug)]
struct Checkpoint {
    task: TaskKey,
    remaining: Span,
}

/// Remaining run time of each task with a checkpoint. Clones share one table.
#[derive(Clone, Debug, Default)]
pub struct Checkpoints {
    /// Sorted by `task`.
    table: Arc<Mutex<Vec<Checkpoint>>>,
}

impl Checkpoints {
    /// Creates an empty table.
    pub fn open() -> Self {
        Self::default()
    }

    /// Returns the remaining run time of a task, if it has a checkpoint.
    pub fn remaining(&self, key: &JobKey, task: u16) -> Option<Span> {
        let task_key = TaskKey { key: key.clone(), task };
        let table = self.lock();
        table.binary_search_by(|c| c.task.cmp(&task_key)).ok().map(|i| table[i].remaining)
    }

    /// Saves a checkpoint of a task, replacing an earlier one.
    pub(crate) fn save(&self, key: &JobKey, task: u16, remaining: Span) {
        let task_key = TaskKey { key: key.clone(), task };
        let mut table = self.lock();
        match table.binary_search_by(|s| s.task.cmp(&task_key)) {
            Ok(i) => table[i].remaining = remaining,
            Err(i) => table.insert(i, Checkpoint { task: task_key, remaining }),
        }
    }

    /// Removes the checkpoint of a task that has completed.
    pub(crate) fn remove(&self, key: &JobKey, task: u16) {
        let task_key = TaskKey { key: key.clone(), task };
        let mut table = self.lock();
        if let Ok(i) = table.binary_search_by(|s| s.task.cmp(&task_key)) {
            table.remove(i);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Checkpoint>> {
        self.table.lock().expect("no thread panics while holding the lock")
    }
}
