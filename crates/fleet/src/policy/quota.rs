//! Ceilings of workspaces.
//!
//! Load pattern: a workspace sends many times its usual load and would occupy all workers. Its runs may
//! occupy no more than its ceiling, counted over all workers.

use bulrushlink_core::WorkspaceId;

use crate::catalog::{Catalog, Ceiling};
use crate::model::Resources;

use super::Standing;

/// What each workspace with a ceiling occupies during one placement.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Quotas {
    /// Sorted by workspace; without those that have no ceiling.
    entries: Vec<Entry>,
}

#[derive(Clone, Debug, PartialEq)]
struct Entry {
    workspace: WorkspaceId,
    ceiling: Ceiling,
    /// What its runs occupy, and what is claimed for its gangs.
    used: Resources,
    /// The part of `used` whose runs are being stopped.
    ending: Resources,
}

impl Quotas {
    /// Returns the ceilings of a configuration, with nothing in use.
    pub(crate) fn new(catalog: &Catalog) -> Self {
        let limited = catalog.workspaces.iter().filter_map(|w| {
            let ceiling = w.allotment.unwrap_or_default().ceiling;
            let (used, ending) = (Resources::default(), Resources::default());
            let entry = Entry { workspace: w.name.clone(), ceiling, used, ending };
            (ceiling != Ceiling::default()).then_some(entry)
        });
        Self { entries: limited.collect() }
    }

    /// Returns true if no workspace has a ceiling.
    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn index(&self, workspace: Option<&WorkspaceId>) -> Option<usize> {
        let workspace = workspace?;
        self.entries.binary_search_by(|e| e.workspace.cmp(workspace)).ok()
    }

    /// Counts a run, or a task for which capacity is claimed.
    pub(crate) fn add(&mut self, workspace: Option<&WorkspaceId>, need: &Resources, ending: bool) {
        let Some(at) = self.index(workspace) else { return };
        let entry = &mut self.entries[at];
        entry.used = entry.used.plus(need);
        if ending {
            entry.ending = entry.ending.plus(need);
        }
    }

    /// Counts a run as being stopped that was counted before.
    pub(crate) fn end(&mut self, workspace: Option<&WorkspaceId>, need: &Resources) {
        if let Some(at) = self.index(workspace) {
            self.entries[at].ending = self.entries[at].ending.plus(need);
        }
    }

    /// Removes what was counted for a task.
    pub(crate) fn remove(&mut self, workspace: Option<&WorkspaceId>, need: &Resources) {
        if let Some(at) = self.index(workspace) {
            self.entries[at].used = self.entries[at].used.minus(need);
        }
    }

    /// Returns how many tasks of a workspace may start now.
    pub(crate) fn tasks_left(&self, workspace: Option<&WorkspaceId>, need: &Resources) -> u64 {
        let Some(at) = self.index(workspace) else { return u64::MAX };
        let entry = &self.entries[at];
        entry.ceiling.room(&entry.used).map_or(0, |room| room.count(need))
    }

    /// Returns how many tasks may start once the runs that are being stopped have ended.
    pub(crate) fn tasks_left_soon(&self, workspace: Option<&WorkspaceId>, need: &Resources) -> u64 {
        let Some(at) = self.index(workspace) else { return u64::MAX };
        let entry = &self.entries[at];
        let stays = entry.used.minus(&entry.ending);
        entry.ceiling.room(&stays).map_or(0, |room| room.count(need))
    }

    /// Returns what each workspace with a ceiling occupies.
    pub(crate) fn standings(&self) -> Vec<Standing> {
        let standing = |e: &Entry| Standing {
            workspace: Some(e.workspace.clone()),
            used: e.used,
            ceiling: e.ceiling,
            share: 0.0,
            debt: 0.0,
        };
        self.entries.iter().map(standing).collect()
    }

    /// Returns what a workspace may start now in addition.
    pub(crate) fn room(&self, workspace: Option<&WorkspaceId>) -> Resources {
        const ALL: Resources =
            Resources { cpu: u64::MAX, memory: u64::MAX, accelerators: u64::MAX };
        let Some(at) = self.index(workspace) else { return ALL };
        self.entries[at].ceiling.room(&self.entries[at].used).unwrap_or_default()
    }

    /// Returns the workspaces that occupy more than their ceilings.
    pub(crate) fn exceeded(&self) -> impl Iterator<Item = &WorkspaceId> {
        let over = |e: &&Entry| e.ceiling.room(&e.used).is_none();
        self.entries.iter().filter(over).map(|e| &e.workspace)
    }
}

#[cfg(test)]
mod tests;
