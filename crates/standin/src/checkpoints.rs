//! Saved checkpoints, shared by all workers so that a job resumes on any of them.

use bulrushlink_core::{JobKey, Span};
use std::sync::{Arc, Mutex, MutexGuard};

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct TaskName {
    key: JobKey,
    task: u16,
}

#[derive(Debug)]
struct Saved {
    name: TaskName,
    left: Span,
}

/// The run time that is left of tasks with a checkpoint; clones share the same table.
#[derive(Clone, Debug, Default)]
pub struct Checkpoints {
    /// Sorted by name.
    table: Arc<Mutex<Vec<Saved>>>,
}

impl Checkpoints {
    /// Opens an empty table.
    pub fn open() -> Self {
        Self::default()
    }

    /// Returns the run time that is left of a task, if it has a checkpoint.
    pub fn left(&self, key: &JobKey, task: u16) -> Option<Span> {
        let name = TaskName { key: key.clone(), task };
        let table = self.lock();
        table.binary_search_by(|s| s.name.cmp(&name)).ok().map(|i| table[i].left)
    }

    /// Saves a checkpoint of a task.
    pub(crate) fn save(&self, key: &JobKey, task: u16, left: Span) {
        let name = TaskName { key: key.clone(), task };
        let mut table = self.lock();
        match table.binary_search_by(|s| s.name.cmp(&name)) {
            Ok(i) => table[i].left = left,
            Err(i) => table.insert(i, Saved { name, left }),
        }
    }

    /// Drops the checkpoint of a task that has completed.
    pub(crate) fn drop_one(&self, key: &JobKey, task: u16) {
        let name = TaskName { key: key.clone(), task };
        let mut table = self.lock();
        if let Ok(i) = table.binary_search_by(|s| s.name.cmp(&name)) {
            table.remove(i);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Saved>> {
        self.table.lock().expect("no holder of the table panics")
    }
}
