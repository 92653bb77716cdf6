//! Ceilings of workspaces: what their runs occupy, and what is stopped or withdrawn to stay below.
//!
//! Every run that occupies a slot of a worker counts, whatever its phase: it may be running, as each
//! start is recorded before it is sent.

use bulrushlink_core::{Span, WorkspaceId};

use crate::ids::JobId;
use crate::model::Resources;
use crate::policy::{Quotas, Verdict};

use super::decide::Placement;
use super::units::Unit;
use super::worker::{Phase, Slot};
use super::{Context, Placer};

impl Placer {
    pub(super) fn workspace_of(&self, job: JobId) -> Option<&WorkspaceId> {
        let at = self.job_index(job).ok()?;
        self.jobs[at].state.workspace.as_ref()
    }

    /// Returns what the workspaces with ceilings occupy.
    pub(super) fn quotas(&self, ctx: &Context<'_>) -> Quotas {
        let mut quotas = ctx.catalog.map_or_else(Quotas::default, Quotas::new);
        if quotas.is_empty() {
            return quotas;
        }
        for slot in self.workers.iter().flat_map(|w| w.slots.iter()) {
            let ending = matches!(slot.phase, Phase::Closing { .. });
            quotas.add(self.workspace_of(slot.task.job), &slot.need, ending);
        }
        quotas
    }

    /// Counts tasks of a job as started or claimed.
    pub(super) fn count_tasks(
        &self,
        quotas: &mut Quotas,
        job: JobId,
        need: &Resources,
        tasks: usize,
    ) {
        let workspace = self.workspace_of(job);
        (0..tasks).for_each(|_| quotas.add(workspace, need, false));
    }

    /// Reduces a unit to the tasks that the ceiling of its workspace allows to start now; returns false if
    /// there are none. A gang fits whole or not at all; one that may preempt gets room by stops of less
    /// urgent runs of the workspace.
    pub(super) fn fit_to_ceiling(
        &mut self,
        ctx: &mut Context<'_>,
        unit: &mut Unit,
        claim: Option<usize>,
        placement: &mut Placement,
    ) -> bool {
        if placement.quotas.is_empty() {
            return true;
        }
        let Ok(j) = self.job_index(unit.job) else { return false };
        let step = &self.jobs[j].spec.steps[usize::from(unit.step)];
        let (need, gang) = (step.need, step.gang);
        let claimed = claim.map_or(0, |c| self.claims[c].workers().count());
        let left = placement.quotas.tasks_left(self.workspace_of(unit.job), &need);
        let left = left.saturating_add(claimed as u64);
        if left >= unit.waiting.len() as u64 {
            return true;
        }
        if gang {
            self.stop_runs_over_ceiling(ctx, unit, &need, placement);
            return false;
        }
        unit.waiting.truncate(left as usize);
        left > 0
    }

    /// Stops less urgent runs of a gang's own workspace until its ceiling allows the gang, if that can be
    /// reached at all. Until the runs have ended, nothing else of the workspace takes what they free.
    ///
    /// Load pattern: a workspace at its ceiling has urgent gangs and hundreds of small tasks. If the gang
    /// finds no room on the workers in the end, the small tasks go on, and aren't stopped again for it
    /// before `reclaim_ms` has passed.
    fn stop_runs_over_ceiling(
        &mut self,
        ctx: &mut Context<'_>,
        unit: &Unit,
        need: &Resources,
        placement: &mut Placement,
    ) {
        let (claimant, tasks) = (unit.claimant(), unit.waiting.len() as u64);
        let workspace = self.workspace_of(unit.job).cloned();
        let left_soon = |quotas: &Quotas| quotas.tasks_left_soon(workspace.as_ref(), need);
        if !claimant.may_preempt() {
            return;
        }
        let now = ctx.clock.now;
        let Ok(j) = self.job_index(unit.job) else { return };
        let stopped_at = self.jobs[j].ceiling_stops;
        // A guaranteed gang has to start within `reclaim_ms`, also if another one takes what was freed for it.
        let interval = if unit.guaranteed { ctx.bounds.stop_ms } else { ctx.bounds.reclaim_ms };
        let stopped = stopped_at.is_some_and(|at| now.since(at) < Span(interval));
        let enough = left_soon(&placement.quotas) >= tasks;
        if stopped && (enough || unit.guaranteed) {
            return self.count_tasks(&mut placement.quotas, unit.job, need, unit.waiting.len());
        }
        if stopped || enough || unit.rank.is_expired() {
            return;
        }
        let demand = self.demand(ctx, unit);
        if self.is_too_late(ctx, unit, demand.as_ref()) {
            return;
        }
        self.list_groups(ctx, placement);
        let Placement { fleet, quotas, .. } = placement;
        // Stopped right after each start, a task that crashes its workers would be started again and again,
        // as a crash doesn't count once the stop is confirmed.
        let trials = self.jobs_on_trial(ctx.clock.now);
        let own = |job: JobId| {
            self.workspace_of(job) == workspace.as_ref() && trials.binary_search(&job).is_err()
        };
        let mut chosen = Vec::new();
        let mut trial = quotas.clone();
        for (group, freed) in fleet.cheapest_groups(claimant, |task| own(task.job)) {
            if left_soon(&trial) >= tasks {
                break;
            }
            trial.end(workspace.as_ref(), &freed);
            chosen.push(group);
        }
        if left_soon(&trial) < tasks {
            return;
        }
        if self.weigh(ctx, unit, demand.as_ref(), &chosen, fleet) != Verdict::Worth {
            return;
        }
        log::info!(
            event = "ceiling_reached", job:% = unit.job, step = unit.step, tasks = tasks,
            stops = chosen.len(), guaranteed = unit.guaranteed;
            "stopping runs of the same workspace, whose ceiling leaves no room for a gang"
        );
        self.jobs[j].ceiling_stops = Some(now);
        for group in chosen {
            self.stop_group(ctx, group, placement, "the workspace has more urgent work");
        }
        self.count_tasks(&mut placement.quotas, unit.job, need, unit.waiting.len());
    }

    /// Withdraws recorded starts that haven't been sent, if a new configuration has a lower ceiling for their
    /// workspace. What runs goes on.
    pub(super) fn withdraw_starts_over_ceilings(&mut self, ctx: &mut Context<'_>) {
        let Some(catalog) = ctx.catalog.filter(|c| c.rev != self.planned_by) else { return };
        self.planned_by = catalog.rev;
        let exceeded: Vec<WorkspaceId> = self.quotas(ctx).exceeded().cloned().collect();
        for workspace in exceeded {
            let jobs: Vec<JobId> = self
                .jobs
                .iter()
                .filter(|j| j.state.workspace.as_ref() == Some(&workspace))
                .map(|j| j.id)
                .collect();
            let planned = |s: &Slot| {
                matches!(s.phase, Phase::Planned(_)) && jobs.binary_search(&s.task.job).is_ok()
            };
            log::info!(
                event = "ceiling_lowered", workspace:% = workspace;
                "the workspace occupies more than its ceiling; starts that are not sent are withdrawn"
            );
            self.stop_runs(ctx, planned, "the ceiling of the workspace was lowered");
        }
    }
}
