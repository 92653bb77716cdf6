//! The reserve for urgent work: what occupies the accelerators, and how much long work may take.

use bulrushlink_core::Span;

use crate::model::Step;
use crate::policy::Usage;

use super::endpoints::Endpoints;
use super::field::FleetSnapshot;
use super::units::Unit;
use super::worker::{Phase, Slot, Worker};
use super::{Context, Placer};

/// How a task or a run counts for the reserve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stay {
    /// It is urgent.
    Urgent,
    /// It can be stopped cheaply, or ends soon.
    Lent,
    /// It is long, and a stop loses its work.
    Settled,
}

impl Placer {
    /// Returns the priorities of the jobs' queues, in the order of the jobs; none if the setting is off.
    pub(super) fn priorities(&self, ctx: &Context<'_>) -> Vec<u32> {
        if !ctx.features.timely_preemption {
            return Vec::new();
        }
        self.jobs.iter().map(|j| j.queue(ctx.catalog).priority).collect()
    }

    /// Returns what the runs on a worker occupy, and the accelerators of those that can't be stopped
    /// cheaply; `priorities` are those of the jobs.
    pub(super) fn usage(
        &self,
        ctx: &Context<'_>,
        worker: &Worker,
        priorities: &[u32],
    ) -> (Usage, u64) {
        let mut usage = Usage::default();
        let mut settled = 0;
        if !ctx.features.timely_preemption {
            return (usage, settled);
        }
        for slot in worker.slots.iter() {
            let accelerators = slot.need.accelerators;
            match self.stay_of_run(ctx, worker, slot, priorities) {
                Some(Stay::Urgent) => usage.urgent += accelerators,
                Some(Stay::Lent) => usage.lent += accelerators,
                Some(Stay::Settled) => settled += accelerators,
                None => {}
            }
        }
        (usage, settled)
    }

    /// Returns how a run counts; `None` if it is being stopped.
    fn stay_of_run(
        &self,
        ctx: &Context<'_>,
        worker: &Worker,
        slot: &Slot,
        priorities: &[u32],
    ) -> Option<Stay> {
        if matches!(slot.phase, Phase::Closing { .. }) {
            return None;
        }
        let at = self.job_index(slot.task.job).ok()?;
        let step = self.jobs[at].step(&slot.task)?;
        let left = slot.remaining(ctx.clock.now).unwrap_or(step.estimate);
        Some(self.stay(worker.endpoint(), priorities[at], step, left))
    }

    fn stay(&self, endpoint: &str, priority: u32, step: &Step, left: Span) -> Stay {
        let short = || self.reserve.get(endpoint).is_some_and(|r| r.is_short(left));
        match () {
            () if priority == 0 => Stay::Urgent,
            () if step.saves || short() => Stay::Lent,
            () => Stay::Settled,
        }
    }

    /// Returns how the tasks of a unit count; all are urgent if the setting is off.
    pub(super) fn stay_of_unit(&self, ctx: &Context<'_>, unit: &Unit, step: &Step) -> Stay {
        let urgent = unit.guaranteed || !ctx.features.timely_preemption;
        let job = self.job_index(unit.job).map(|j| &self.jobs[j]);
        let endpoint = job.map_or("", |j| &j.queue(ctx.catalog).endpoint);
        self.stay(endpoint, if urgent { 0 } else { unit.priority }, step, unit.expected)
    }

    /// Updates what urgent work has needed lately.
    pub(super) fn observe_urgent(
        &mut self,
        ctx: &Context<'_>,
        units: &[Unit],
        fleet: &FleetSnapshot,
    ) {
        let endpoints = ctx.catalog.into_iter().flat_map(|c| &c.queues).map(|q| &q.endpoint);
        let mut wanted: Endpoints<u64> = Endpoints::default();
        for endpoint in endpoints {
            *wanted.entry(endpoint) = fleet.usage(endpoint).urgent;
        }
        for unit in units.iter().filter(|u| u.priority == 0) {
            let Ok(j) = self.job_index(unit.job) else { continue };
            let (job, step) = (&self.jobs[j], usize::from(unit.step));
            let endpoint = &job.queue(ctx.catalog).endpoint;
            let need = job.spec.steps[step].need.accelerators;
            let sum = wanted.entry(endpoint);
            *sum = sum.saturating_add(need.saturating_mul(unit.waiting.len() as u64));
            let delay = unit.input.allowed.millis().saturating_sub(unit.input.needed.millis());
            // A job with an absurd estimate must not make all work count as short.
            let delay = Span(delay.min(ctx.bounds.reclaim_ms));
            self.reserve.entry(endpoint).observe_delay(delay);
        }
        for (endpoint, wanted) in wanted.iter_mut() {
            self.reserve.entry(endpoint).observe(ctx.clock.now, *wanted);
        }
    }

    /// Reduces a unit to the tasks that leave the reserve for urgent work; returns false if there are none.
    /// A gang fits whole or not at all.
    pub(super) fn fit_to_reserve(
        &self,
        ctx: &Context<'_>,
        unit: &mut Unit,
        step: &Step,
        fleet: &mut FleetSnapshot,
    ) -> bool {
        if step.need.accelerators == 0 || self.stay_of_unit(ctx, unit, step) != Stay::Settled {
            return true;
        }
        let Ok(j) = self.job_index(unit.job) else { return false };
        if self.is_mostly_idle(ctx, &self.jobs[j], step, fleet) {
            return true;
        }
        let waited = ctx.clock.now.since(self.jobs[j].accepted);
        let endpoint = self.jobs[j].queue(ctx.catalog).endpoint.as_str();
        let reserve = self.reserve.get(endpoint).copied().unwrap_or_default();
        let tasks = reserve.left(&fleet.usage(endpoint), waited) / step.need.accelerators;
        if step.gang {
            return tasks >= unit.waiting.len() as u64;
        }
        unit.waiting.truncate(usize::try_from(tasks).unwrap_or(usize::MAX));
        !unit.waiting.is_empty()
    }
}
