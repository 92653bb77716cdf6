//! Ceilings of workspaces: which may be in force for a start, and whether the start keeps to them.

use bulrushlink_core::WorkspaceId;
use bulrushlink_fleet::{Ceiling, Resources};

/// The ceilings of all configurations so far.
#[derive(Clone, Debug, Default)]
pub struct CeilingLog {
    /// Time of each change, in order, with the ceilings from then on.
    changes: Vec<(u64, Vec<(WorkspaceId, Ceiling)>)>,
}

/// What a start adds to the runs of a workspace.
#[derive(Clone, Copy, Debug)]
pub struct Addition {
    /// When the start was sent, in milliseconds.
    pub sent: u64,
    /// What the task needs.
    pub need: Resources,
    /// What the workspace occupies over all workers, with the task.
    pub used: Resources,
}

impl CeilingLog {
    /// Records the ceilings of a new configuration.
    pub fn record(&mut self, now: u64, ceilings: Vec<(WorkspaceId, Ceiling)>) {
        // Nobody has read a configuration that is replaced at once.
        self.changes.retain(|(time, _)| *time < now);
        self.changes.push((now, ceilings));
    }

    /// Returns the highest ceiling of the configurations that may be in force for a start that was sent
    /// at a given time: a configuration may still be in force for `grace` after it was replaced.
    fn highest(&self, workspace: &WorkspaceId, sent: u64, grace: u64) -> Ceiling {
        let known = |ceilings: &[(WorkspaceId, Ceiling)]| {
            let found = ceilings.iter().find(|(name, _)| name == workspace);
            found.map(|(_, ceiling)| *ceiling).unwrap_or_default()
        };
        let replaced = |at: usize| self.changes.get(at + 1).map_or(u64::MAX, |(time, _)| *time);
        let counts = |at: &usize| sent <= replaced(*at).saturating_add(grace);
        let ceilings = (0..self.changes.len()).filter(counts).map(|at| known(&self.changes[at].1));
        // 0 means no limit.
        let higher = |a: u64, b: u64| if a == 0 || b == 0 { 0 } else { a.max(b) };
        ceilings
            .reduce(|a, b| {
                Ceiling(Resources {
                    cpu: higher(a.0.cpu, b.0.cpu),
                    memory: higher(a.0.memory, b.0.memory),
                    accelerators: higher(a.0.accelerators, b.0.accelerators),
                })
            })
            .unwrap_or_default()
    }

    /// Returns the ceiling that a start of a workspace breaks, if it does.
    pub fn broken(
        &self,
        workspace: &WorkspaceId,
        start: &Addition,
        grace: u64,
    ) -> Option<Resources> {
        let limit = self.highest(workspace, start.sent, grace).0;
        let over = |limit: u64, need: u64, used: u64| limit > 0 && need > 0 && used > limit;
        let Addition { need, used, .. } = start;
        let broken = over(limit.cpu, need.cpu, used.cpu)
            || over(limit.memory, need.memory, used.memory)
            || over(limit.accelerators, need.accelerators, used.accelerators);
        broken.then_some(limit)
    }
}

#[cfg(test)]
mod tests;
