//! Shares of workspaces: what their runs use and their waiting work wants, and the order that follows.

use crate::ids::JobId;
use crate::model::{Resources, Step};
use crate::policy::{Owner, Shares};

use super::decide::Placement;
use super::endpoints::Endpoints;
use super::job::Job;
use super::units::Unit;
use super::worker::Phase;
use super::{Context, Placer};

/// The waiting units of a workspace, the next one last.
struct Queue {
    owner: Owner,
    units: Vec<Unit>,
    /// Number of tasks of the next unit that start while the workspace is under its share.
    under: usize,
}

impl Placer {
    /// Returns the shares of the workspaces; they are empty if the configuration gives no weights.
    pub(super) fn shares(&self, ctx: &Context<'_>, units: &[Unit]) -> Shares {
        // One that has not replied gets no runs, and its entry may be another writer's.
        let mut capacities: Endpoints<Resources> = Endpoints::default();
        for worker in self.workers.iter().filter(|w| w.fenced) {
            let all = capacities.entry(worker.endpoint());
            *all = all.plus(&worker.capacity());
        }
        let capacities =
            capacities.iter_mut().map(|(name, all)| (name.to_string(), *all)).collect();
        let mut shares = ctx.catalog.map_or_else(Shares::default, |c| Shares::new(c, capacities));
        if shares.is_empty() {
            return shares;
        }
        let of_job = |j: &Job| owner_of(ctx, &shares, j);
        let owners: Vec<Owner> = self.jobs.iter().map(of_job).collect();
        let nobody = shares.owner("", None);
        let owner = |id: JobId| self.job_index(id).map_or(nobody, |at| owners[at]);
        for slot in self.workers.iter().flat_map(|w| w.slots.iter()) {
            if !matches!(slot.phase, Phase::Closing { .. }) {
                shares.add(owner(slot.task.job), &slot.need);
            }
        }
        for claim in &self.claims {
            if let Some(need) = self.need_of(claim.job, claim.task(0).step) {
                let tasks = claim.workers().count() as u64;
                shares.add_claim(owner(claim.job), &need.times(tasks));
            }
        }
        for unit in units.iter().filter(|u| !self.is_claimed(u)) {
            if let Some(need) = self.need_of(unit.job, unit.step) {
                let tasks = unit.waiting.len() as u64;
                shares.add_waiting(owner(unit.job), &need.times(tasks));
            }
        }
        shares.settle();
        shares
    }

    /// Places units, which are sorted by rank, in the order of the shares: guaranteed work, work of
    /// workspaces that use less than their shares, and the rest. What a workspace uses is counted anew
    /// with each start, so that a gang without room doesn't hold up the other work of its workspace. Inside
    /// a workspace the order stays the same.
    pub(super) fn place_by_shares(
        &mut self,
        ctx: &mut Context<'_>,
        units: Vec<Unit>,
        placement: &mut Placement,
    ) {
        let mut queues: Vec<Queue> = Vec::new();
        for unit in units.into_iter().rev() {
            let owner = self.owner_of(ctx, &placement.shares, unit.job);
            match queues.iter_mut().find(|q| q.owner == owner) {
                Some(queue) => queue.units.push(unit),
                None => queues.push(Queue { owner, units: vec![unit], under: 0 }),
            }
        }
        queues.iter_mut().for_each(|q| self.look_at_head(q, &placement.shares));
        loop {
            let heads = queues.iter().enumerate().filter_map(|(at, q)| Some((at, q.units.last()?)));
            let Some((next, _)) = heads.min_by(|(_, a), (_, b)| a.compare(b)) else { return };
            let queue = &mut queues[next];
            let Some(mut unit) = queue.units.pop() else { return };
            // The tasks beyond the share go behind the work of other workspaces.
            let rest = match queue.under {
                0 => Vec::new(),
                under => unit.waiting.split_off(under.min(unit.waiting.len())),
            };
            let rest = (!rest.is_empty()).then(|| Unit { waiting: rest, ..unit.clone() });
            let (tasks, claims) = (unit.waiting.len(), self.claims.len());
            let placed = self.try_unit(ctx, unit, placement);
            queue.units.extend(rest.filter(|_| placed == tasks));
            if self.claims.len() == claims {
                self.look_at_head(queue, &placement.shares);
            } else {
                // Runs of other workspaces may have been stopped, or a reservation dropped.
                queues.iter_mut().for_each(|q| self.look_at_head(q, &placement.shares));
            }
        }
    }

    /// Determines how much of the next unit of a queue is under the share of the workspace.
    fn look_at_head(&self, queue: &mut Queue, shares: &Shares) {
        let Some(unit) = queue.units.last() else { return };
        queue.under = self.count_under(queue.owner, unit, shares);
        let over = queue.under == 0;
        queue.units.last_mut().into_iter().for_each(|unit| unit.rank.set_over_share(over));
    }

    /// Returns how many tasks of a unit may start while their workspace uses less than its share.
    fn count_under(&self, owner: Owner, unit: &Unit, shares: &Shares) -> usize {
        let tasks = unit.waiting.len();
        let Ok(j) = self.job_index(unit.job) else { return tasks };
        let step = &self.jobs[j].spec.steps[usize::from(unit.step)];
        match step.gang {
            _ if unit.guaranteed || self.is_claimed(unit) => tasks,
            true => shares.count_under(owner, &step.need.times(tasks as u64), 1) as usize * tasks,
            false => shares.count_under(owner, &step.need, tasks as u64) as usize,
        }
    }

    /// Returns on whose account the work of a job is.
    pub(super) fn owner_of(&self, ctx: &Context<'_>, shares: &Shares, job: JobId) -> Owner {
        let job = self.job_index(job).map(|at| &self.jobs[at]);
        job.map_or_else(|_| shares.owner("", None), |job| owner_of(ctx, shares, job))
    }

    /// Returns the step whose tasks a unit holds.
    pub(super) fn step_of(&self, unit: &Unit) -> Option<&Step> {
        let at = self.job_index(unit.job).ok()?;
        self.jobs[at].spec.steps.get(usize::from(unit.step))
    }

    pub(super) fn need_of(&self, job: JobId, step: u16) -> Option<Resources> {
        let at = self.job_index(job).ok()?;
        Some(self.jobs[at].spec.steps.get(usize::from(step))?.need)
    }

    fn is_claimed(&self, unit: &Unit) -> bool {
        self.claims.iter().any(|c| c.is_for(&unit.task(0)))
    }
}

fn owner_of(ctx: &Context<'_>, shares: &Shares, job: &Job) -> Owner {
    shares.owner(&job.queue(ctx.catalog).endpoint, job.state.workspace.as_ref())
}
