//! Weights and ceilings of workspaces, and the check that each start keeps to the ceilings.

use bulrushlink_core::WorkspaceId;
use bulrushlink_fleet::{Allotment, Catalog, Ceiling, Resources, TaskId};
use bulrushlink_standin::Addition;

use super::FleetLab;

impl FleetLab {
    /// Changes the configuration now.
    pub fn change_catalog(&mut self, change: impl FnOnce(&mut Catalog)) {
        let mut catalog = self.store.catalog().clone();
        change(&mut catalog);
        let ceiling = |a: &Option<Allotment>| a.unwrap_or_default().ceiling;
        let ceilings = catalog.workspaces.iter().map(|w| (w.name.clone(), ceiling(&w.allotment)));
        self.ceilings.record(self.now, ceilings.collect());
        self.store.set_catalog(catalog);
    }

    /// Sets the weight and the ceiling in accelerators of a workspace now; 0 means none.
    pub fn allot(&mut self, workspace: &str, weight: u32, accelerators: u64) {
        let ceiling = Ceiling(Resources { accelerators, ..Resources::default() });
        let weight = (weight > 0).then_some(f64::from(weight));
        self.change_catalog(|catalog| {
            let named = |w: &&mut bulrushlink_fleet::Workspace| w.name.as_str() == workspace;
            let found = catalog.workspaces.iter_mut().find(named).expect("a known workspace");
            found.allotment = Some(Allotment { weight, ceiling });
        });
    }

    /// Returns the accelerators that the live runs of a workspace occupy.
    pub fn accelerators_of(&self, workspace: &str) -> u64 {
        let name: WorkspaceId = workspace.parse().expect("a valid name");
        self.record.used_by(&name).accelerators
    }

    /// Records a violation if a start that was just carried out has brought its workspace over the
    /// highest ceiling that may be in force.
    pub(super) fn check_ceiling(&mut self, task: &TaskId, sent: u64) {
        let Some(job) = self.record.jobs.iter().find(|j| j.id == task.job) else { return };
        let need = job.spec.steps[usize::from(task.step)].need;
        let start = Addition { sent, need, used: self.record.used_by(&job.workspace) };
        let grace = self.bounds.revoke_ms;
        if let Some(ceiling) = self.ceilings.broken(&job.workspace, &start, grace) {
            let (workspace, used) = (&job.workspace, start.used);
            let text = format!("{task} brings {workspace} to {used:?}, over {ceiling:?}");
            self.record.record_violation(self.now, text);
        }
    }
}
