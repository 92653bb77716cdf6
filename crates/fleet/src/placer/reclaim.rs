//! Preemption: stops runs to make room for a gang that may preempt them.
//!
//! Load pattern: bursts of urgent gangs on full workers. Runs are stopped for a gang, and a claim
//! reserves the capacity that they free until the gang starts.

use bulrushlink_core::{Moment, Span, WorkerId};

use crate::ids::{JobId, TaskId};
use crate::model::{Resources, Step};
use crate::plan::{Eviction, evict};
use crate::policy::{Demand, Model, Quotas, Shares, Stake, Verdict, is_in_time, judge};

use super::decide::{Assignment, Placement};
use super::endpoints::Endpoints;
use super::field::{FleetSnapshot, Shape};
use super::groups::{Claimant, Group, Preemptibility, Reach, RunKey};
use super::job::Job;
use super::units::Unit;
use super::worker::{Phase, Slot};
use super::{Context, Placer};

/// Cores that one accelerator counts as when the cost of a stop is estimated.
const CORES_PER_ACCELERATOR: f64 = 8.0;
/// Factor on the cost of stopping urgent work, which has no time to be repeated.
const URGENT_COST_FACTOR: f64 = 10.0;
/// Seconds of work that every stop costs: the stop itself, the wait and the restart.
const RESTART_COST_S: f64 = 0.5;
/// A run that is expected to end within this time is not stopped: a stop takes about as long.
pub(super) const NEAR_END_MAX: Span = Span(500);
/// Fraction of the time that a gang has to spare for which it waits before its workspace takes back room that
/// others use beyond their shares. Stops lose work, so they are left to gangs that would be late otherwise.
const RECLAIM_WAIT_FRACTION: f64 = 0.5;
/// Turns of waiting and of a reservation within the time that a gang has to spare, two of each.
const RESERVATION_TURNS: u64 = 4;
/// Time from the end of the stopped runs to the start of a gang: two placements at 800 waiting units,
/// the commit and the calls to the workers.
const RECORD_AND_START: Span = Span(100);
/// Interval between attempts to reserve workers, each of which takes milliseconds with 350 workers.
const RESERVE_INTERVAL: Span = Span(100);
/// A claim lasts for `reclaim_ms`, the time within which a guaranteed gang must start, divided by
/// this, which leaves time for a second attempt.
const CLAIM_LIFETIME_DIVISOR: u64 = 2;

/// Capacity reserved for a gang while the runs that occupy it are being stopped.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Claim {
    pub(super) job: JobId,
    round: u32,
    step: u16,
    /// Index of each task with the worker that it is to start on.
    tasks: Vec<(u32, WorkerId)>,
    made: Moment,
    lasts: Span,
    /// No runs are being stopped for it: it waits for runs to end by themselves.
    reserved: bool,
}

impl Claim {
    /// Returns true if the claim is for the step that `task` belongs to.
    pub(super) fn is_for(&self, task: &TaskId) -> bool {
        (self.job, self.round, self.step) == (task.job, task.round, task.step)
    }

    /// Returns the task of the claimed step with the given index.
    pub(super) fn task(&self, index: u32) -> TaskId {
        TaskId { job: self.job, round: self.round, step: self.step, index }
    }

    /// Returns the worker of each task.
    pub(super) fn workers(&self) -> impl Iterator<Item = &WorkerId> {
        self.tasks.iter().map(|(_, id)| id)
    }
}

impl Placer {
    /// Starts the gangs whose claimed capacity has become free and keeps the claims of the others;
    /// returns true if any gang was started.
    pub(super) fn start_claimed_gangs(
        &mut self,
        ctx: &mut Context<'_>,
        Placement { fleet, quotas, .. }: &mut Placement,
    ) -> bool {
        let mut started = false;
        let orphaned_tasks =
            if self.claims.is_empty() { Vec::new() } else { self.orphaned_tasks() };
        for claim in std::mem::take(&mut self.claims) {
            let Some(assignment) = self.claim_assignment(ctx, &claim, &orphaned_tasks) else {
                continue;
            };
            let Ok(j) = self.job_index(claim.job) else { continue };
            let need = self.jobs[j].spec.steps[usize::from(claim.step)].need;
            let workspace = self.jobs[j].state.workspace.as_ref();
            let tasks = assignment.len();
            if quotas.tasks_left_soon(workspace, &need) < tasks as u64 {
                // The workspace's ceiling has been lowered since.
                continue;
            }
            let allowed = quotas.tasks_left(workspace, &need) >= tasks as u64;
            self.count_tasks(quotas, claim.job, &need, tasks);
            if allowed && fleet.has_room(&assignment, &need) {
                fleet.take_room(&assignment, &need);
                self.plan_starts(
                    ctx,
                    &claim.task(0),
                    &assignment,
                    "preempted runs have freed the claimed capacity",
                );
                self.close_isolated(ctx, &assignment, fleet);
                started = true;
            } else {
                fleet.add_claim(assignment.iter().map(|(_, at)| *at), &need);
                self.claims.push(claim);
            }
        }
        started
    }

    /// Returns the assignment of a claim, or `None` if the claim can't be used any more.
    fn claim_assignment(
        &self,
        ctx: &Context<'_>,
        claim: &Claim,
        orphaned_tasks: &[TaskId],
    ) -> Option<Assignment> {
        let job = &self.jobs[self.job_index(claim.job).ok()?];
        let round = job.round(claim.round)?;
        let record = round.steps.get(usize::from(claim.step))?;
        let mut assignment = Vec::new();
        for (index, id) in &claim.tasks {
            let task = record.tasks.get(*index as usize)?;
            let at = self.worker_index(id).ok()?;
            let (job, round, step) = (claim.job, claim.round, claim.step);
            let orphaned =
                orphaned_tasks.binary_search(&TaskId { job, round, step, index: *index }).is_ok();
            if task.done || task.place.is_some() || orphaned || !self.may_start(ctx, at) {
                return None;
            }
            assignment.push((*index, at));
        }
        Some(assignment)
    }

    /// Drops claims that have expired.
    pub(super) fn drop_expired_claims(&mut self, ctx: &Context<'_>) {
        self.claims.retain(|c| ctx.clock.now.since(c.made) <= c.lasts);
    }

    /// Drops the claims for which nothing is stopped; returns true if there were any.
    pub(super) fn drop_reservations(
        &mut self,
        ctx: &Context<'_>,
        placement: &mut Placement,
    ) -> bool {
        let mut dropped = false;
        while let Some(at) = self.claims.iter().position(|c| c.reserved) {
            let (job, step) = (self.claims[at].job, self.claims[at].step);
            let tasks = self.claims[at].workers().count() as u64;
            let need = self.need_of(job, step).unwrap_or_default();
            let owner = self.owner_of(ctx, &placement.shares, job);
            placement.shares.remove_claim(owner, &need.times(tasks));
            self.drop_claim(at, &need, &mut placement.fleet, &mut placement.quotas);
            dropped = true;
        }
        dropped
    }

    /// Reserves workers whose runs end soon for a gang that finds no room and may not have runs stopped,
    /// while its workspace is under its share: otherwise narrow work would take what becomes free at once.
    ///
    /// The gang waits for a quarter of the time that it has to spare, then has a reservation for as long,
    /// and so on, so that it starts in time if it can, and room is idle for half of the time at most. There
    /// is one reservation for each workspace.
    pub(super) fn reserve_for(
        &mut self,
        ctx: &mut Context<'_>,
        unit: &Unit,
        shape: &Shape,
        placement: &mut Placement,
    ) {
        let Ok(j) = self.job_index(unit.job) else { return };
        let job = &self.jobs[j];
        let turn = Span((spare_time(ctx, job, unit).millis() / RESERVATION_TURNS).max(1));
        let waited = ctx.clock.now.since(job.accepted).millis();
        let shares = &placement.shares;
        let owner = self.owner_of(ctx, shares, unit.job);
        let all = shape.step.need.times(unit.waiting.len() as u64);
        let owns = |c: &Claim| c.reserved && self.owner_of(ctx, shares, c.job) == owner;
        if (waited / turn.millis()).is_multiple_of(2)
            || ctx.clock.now < self.reserve_next
            || shares.count_under(owner, &all, 1) == 0
            || self.claims.iter().any(owns)
        {
            return;
        }
        self.reserve_next = ctx.clock.now + RESERVE_INTERVAL;
        self.list_groups(ctx, placement);
        let fleet = &mut placement.fleet;
        let (rooms, racks) = fleet.rooms_with_ends(shape, turn, |at| self.is_eligible(at, shape));
        self.count_siblings(unit, &shape.step, rooms);
        let found = evict(rooms, racks, &shape.step, unit.waiting.len());
        let Some(Eviction { placed, .. }) = found else { return };
        log::info!(
            event = "room_reserved", job:% = unit.job, step = unit.step, tasks = placed.len(),
            lasts_ms = turn.millis(), waited_ms = waited;
            "reserving workers whose runs end soon for a gang of a workspace under its share"
        );
        self.claim(ctx, unit, shape, &placed, placement);
        if let Some(claim) = self.claims.last_mut() {
            (claim.lasts, claim.reserved) = (turn, true);
        }
    }

    /// Claims workers for a gang.
    fn claim(
        &mut self,
        ctx: &Context<'_>,
        unit: &Unit,
        shape: &Shape,
        placed: &[usize],
        Placement { fleet, quotas, shares, .. }: &mut Placement,
    ) {
        let owner = self.owner_of(ctx, shares, unit.job);
        shares.add_claim(owner, &shape.step.need.times(placed.len() as u64));
        fleet.add_claim(placed.iter().copied(), &shape.step.need);
        self.count_tasks(quotas, unit.job, &shape.step.need, placed.len());
        let ids = placed.iter().map(|at| self.workers[*at].id().clone());
        let tasks = unit.waiting.iter().copied().zip(ids).collect();
        let (job, round, step) = (unit.job, unit.round, unit.step);
        let lasts = Span(ctx.bounds.reclaim_ms / CLAIM_LIFETIME_DIVISOR);
        let (made, reserved) = (ctx.clock.now, false);
        self.claims.push(Claim { job, round, step, tasks, made, lasts, reserved });
    }

    /// Drops the claim of a gang that has been placed elsewhere in the meantime.
    pub(super) fn drop_claim(
        &mut self,
        claim: usize,
        need: &Resources,
        fleet: &mut FleetSnapshot,
        quotas: &mut Quotas,
    ) {
        let claim = self.claims.remove(claim);
        let workspace = self.workspace_of(claim.job);
        claim.tasks.iter().for_each(|_| quotas.remove(workspace, need));
        let workers = claim.tasks.iter().filter_map(|(_, id)| self.worker_index(id).ok());
        fleet.release_claim(workers, need);
    }

    /// Returns on whose behalf runs would be stopped for a gang.
    fn claimant(&self, ctx: &Context<'_>, unit: &Unit, shape: &Shape, shares: &Shares) -> Claimant {
        let mut claimant = unit.claimant();
        if let (Ok(j), false) = (self.job_index(unit.job), shares.is_empty()) {
            let owner = self.owner_of(ctx, shares, unit.job);
            let job = &self.jobs[j];
            let waited = ctx.clock.now.since(job.accepted).millis() as f64;
            let turn = spare_time(ctx, job, unit).millis() as f64 * RECLAIM_WAIT_FRACTION;
            let under =
                shares.stays_under(owner, &shape.step.need.times(unit.waiting.len() as u64));
            claimant.reach = Some(Reach { owner, under, reclaims: waited >= turn });
        }
        claimant
    }

    /// Preempts runs for a unit that may preempt them, and claims what they free; returns true if there
    /// are such runs and stopping them is worth it.
    pub(super) fn preempt_for(
        &mut self,
        ctx: &mut Context<'_>,
        unit: &Unit,
        shape: &Shape,
        placement: &mut Placement,
    ) -> bool {
        let claimant = self.claimant(ctx, unit, shape, &placement.shares);
        if !claimant.may_preempt() || placement.fleet.lacks_eviction(shape, claimant) {
            return false;
        }
        let demand = self.demand(ctx, unit);
        if self.is_too_late(ctx, unit, demand.as_ref())
            || (demand.is_some() && placement.fleet.is_too_costly(shape, unit.expected))
        {
            return false;
        }
        self.list_groups(ctx, placement);
        let Placement { fleet, shares, .. } = placement;
        let (rooms, racks) =
            fleet.rooms_with_victims(shape, claimant, |at| self.is_eligible(at, shape));
        self.count_siblings(unit, &shape.step, rooms);
        let Some(Eviction { placed, groups: chosen, .. }) =
            evict(rooms, racks, &shape.step, unit.waiting.len())
        else {
            fleet.record_no_eviction(shape, claimant);
            return false;
        };
        match self.weigh(ctx, unit, demand.as_ref(), &chosen, fleet) {
            Verdict::Worth => {}
            verdict => {
                if verdict == Verdict::TooCostly {
                    fleet.record_too_costly(shape, unit.expected);
                }
                return false;
            }
        }
        log::info!(
            event = "room_wanted", job:% = unit.job, step = unit.step, tasks = placed.len(),
            stops = chosen.len(), lost_core_s = fleet.cost_of(&chosen), guaranteed = unit.guaranteed,
            priority = unit.priority;
            "stopping runs to make room for a gang"
        );
        let why = match shares.is_empty() {
            true => "preempted by more urgent work",
            false => "preempted by more urgent work, or for the share of another workspace",
        };
        for group in chosen {
            self.stop_group(ctx, group, placement, why);
        }
        self.claim(ctx, unit, shape, &placed, placement);
        true
    }

    /// Stops a group of runs, unless it is about to end by itself.
    pub(super) fn stop_group(
        &mut self,
        ctx: &mut Context<'_>,
        group: usize,
        Placement { fleet, quotas, shares, .. }: &mut Placement,
        why: &str,
    ) {
        let lost: f64 = fleet.stakes(&[group]).map(|s| s.lost).sum();
        let Some(((task, run), needs)) = fleet.mark_stopping(group) else { return };
        let owner = self.owner_of(ctx, shares, task.job);
        needs.iter().for_each(|need| shares.remove(owner, need));
        needs.iter().for_each(|need| quotas.end(self.workspace_of(task.job), need));
        metrics::counter!("bulrushlink_preempted_core_seconds_total").increment(lost as u64);
        if self.is_gang(&task) {
            if let Ok(j) = self.job_index(task.job) {
                self.jobs[j].record_preempted(&task);
            }
            self.stop_gang(ctx, &task, run, why);
        } else {
            self.stop_runs_of(ctx, task.job, |s| s.task == task && s.run == run, why);
        }
    }

    /// Lists the groups that could be stopped, once in a placement.
    pub(super) fn list_groups(&self, ctx: &Context<'_>, placement: &mut Placement) {
        let Placement { fleet, shares, guaranteed, .. } = placement;
        if fleet.has_groups() {
            return;
        }
        fleet.set_groups(self.preemptible_groups(ctx, guaranteed));
        if !shares.is_empty() {
            fleet.mark_owners(shares, |task| self.owner_of(ctx, shares, task.job));
        }
    }

    /// Returns what a unit gains by stops of other runs, if these have to be worth it.
    pub(super) fn demand(&self, ctx: &Context<'_>, unit: &Unit) -> Option<Demand> {
        if !ctx.features.timely_preemption || unit.guaranteed || unit.priority > 0 {
            return None;
        }
        let job = &self.jobs[self.job_index(unit.job).ok()?];
        let step = &job.spec.steps[usize::from(unit.step)];
        let input = &unit.input;
        let tasks = unit.waiting.len() as f64;
        Some(Demand {
            left: (input.due + input.allowed).since(ctx.clock.now),
            needed: input.needed,
            work: unit.expected.secs_f64() * cores(&step.need) * tasks,
            leeway: job.leeway(job.queue(ctx.catalog)),
        })
    }

    /// Returns true if a unit ends too late whichever runs are stopped for it.
    pub(super) fn is_too_late(
        &mut self,
        ctx: &Context<'_>,
        unit: &Unit,
        demand: Option<&Demand>,
    ) -> bool {
        let late = demand.is_some_and(|d| !is_in_time(d, start_delay(ctx)));
        if late {
            self.note_refusal(unit, Verdict::TooLate, 0.0);
        }
        late
    }

    /// Decides whether groups are stopped for a unit.
    pub(super) fn weigh(
        &mut self,
        ctx: &Context<'_>,
        unit: &Unit,
        demand: Option<&Demand>,
        chosen: &[usize],
        fleet: &FleetSnapshot,
    ) -> Verdict {
        let Some(demand) = demand else { return Verdict::Worth };
        let verdict = judge(demand, fleet.stakes(chosen), start_delay(ctx));
        if verdict != Verdict::Worth {
            self.note_refusal(unit, verdict, fleet.cost_of(chosen));
        }
        verdict
    }

    /// Logs and counts why no runs are stopped for a unit, unless the same was logged for its job last.
    fn note_refusal(&mut self, unit: &Unit, verdict: Verdict, cost: f64) {
        let Ok(j) = self.job_index(unit.job) else { return };
        if self.jobs[j].refusal.replace(verdict) == Some(verdict) {
            return;
        }
        log::info!(
            event = "not_preempting", job:% = unit.job, step = unit.step, tasks = unit.waiting.len(),
            needed_ms = unit.input.needed.millis(), allowed_ms = unit.input.allowed.millis(),
            lost_core_s = cost, verdict = verdict.label();
            "no runs are stopped for the gang"
        );
        metrics::counter!("bulrushlink_preemptions_avoided_total", "reason" => verdict.label())
            .increment(1);
    }

    /// Lists the runs that could be stopped; the members of a gang form one group, as they end
    /// together.
    fn preemptible_groups(&self, ctx: &Context<'_>, guaranteed: &[JobId]) -> Vec<Group> {
        let mut runs: Vec<(RunKey, usize, usize)> = Vec::new();
        for (at, worker) in self.workers.iter().enumerate() {
            for (s, slot) in worker.slots.iter().enumerate() {
                if !matches!(slot.phase, Phase::Planned(_)) {
                    let index = if self.is_gang(&slot.task) { 0 } else { slot.task.index };
                    runs.push(((TaskId { index, ..slot.task }, slot.run), at, s));
                }
            }
        }
        runs.sort_unstable();
        let speeds = self.mean_speeds();
        let same_step = |((a, _), ..): &(RunKey, usize, usize), ((b, _), ..): &(RunKey, _, _)| {
            (a.job, a.step) == (b.job, b.step)
        };
        let mut groups = Vec::new();
        for runs in runs.chunk_by(same_step) {
            let facts = self.step_facts(ctx, &runs[0].0.0, guaranteed);
            let members = runs.chunk_by(|a, b| a.0 == b.0);
            groups.extend(members.map(|m| self.group(ctx, m, &facts, &speeds)));
        }
        groups
    }

    /// Returns the group of some runs, which are those of one gang or a single one.
    fn group(
        &self,
        ctx: &Context<'_>,
        members: &[(RunKey, usize, usize)],
        facts: &StepFacts<'_>,
        speeds: &Endpoints<f64>,
    ) -> Group {
        let now = ctx.clock.now;
        let (key, at, s) = members[0];
        let first = &self.workers[at].slots[s];
        let cost = facts.cost(ctx, first);
        let mut group = Group::new(key, facts.preemptibility(ctx, &first.task), cost);
        // The members of a gang end together.
        let known = facts.job.zip(facts.step).zip(facts.model.as_ref());
        let mean_log = speeds.get(self.workers[at].endpoint()).copied().unwrap_or_default();
        let learned = known.and_then(|((job, step), model)| {
            self.remaining_by(ctx, (at, mean_log), (job, step, model), first)
        });
        if let Some(stake) = facts.stake(first, cost, now, learned) {
            group.set_stake(stake);
        }
        group.set_saves(facts.step.is_some_and(|s| s.saves));
        let estimate = facts.step.map_or(0, |step| step.estimate.millis());
        for (_, at, s) in members {
            let slot = &self.workers[*at].slots[*s];
            let leaving = matches!(slot.phase, Phase::Closing { .. });
            let left = slot.remaining(now).or(learned);
            let ending = left.is_some_and(|left| left <= NEAR_END_MAX);
            group.add(*at, slot.need, leaving, ending);
            // By its caller's estimate, if it hasn't progressed enough to tell.
            let estimated = || Span(estimate.saturating_sub(now.since(slot.started).millis()));
            let left = left.unwrap_or_else(estimated);
            group.expect_end(if leaving { Span::ZERO } else { left });
        }
        group
    }

    /// Returns what the runs of a step have in common.
    fn step_facts(&self, ctx: &Context<'_>, task: &TaskId, guaranteed: &[JobId]) -> StepFacts<'_> {
        let job = self.job_index(task.job).ok().map(|j| &self.jobs[j]);
        let step = job.and_then(|j| j.step(task));
        let priority = job.map(|j| j.queue(ctx.catalog).priority);
        let leeway = job.map_or(0.0, |j| j.leeway(j.queue(ctx.catalog)));
        let guaranteed = guaranteed.binary_search(&task.job).is_ok();
        let model = job.zip(step).and_then(|(job, step)| self.learned_work(ctx, job, step));
        StepFacts { job, step, priority, leeway, guaranteed, model }
    }
}

/// What the runs of a step have in common that decides whether they are stopped.
///
/// Load pattern: thousands of runs of a few hundred steps, listed in each placement with an urgent gang that
/// finds no room.
struct StepFacts<'a> {
    /// `None` if the job is unknown.
    job: Option<&'a Job>,
    step: Option<&'a Step>,
    /// Priority of the job's queue.
    priority: Option<u32>,
    leeway: f64,
    /// The job is within its workspace's guarantee.
    guaranteed: bool,
    /// The learned distribution of the step's work.
    model: Option<Model>,
}

impl StepFacts<'_> {
    fn is_urgent(&self) -> bool {
        self.priority == Some(0)
    }

    /// Returns for whom a run may be stopped.
    fn preemptibility(&self, ctx: &Context<'_>, task: &TaskId) -> Preemptibility {
        let (Some(job), Some(priority)) = (self.job, self.priority) else {
            return Preemptibility::Never;
        };
        match () {
            () if self.guaranteed => Preemptibility::Never,
            // A gang that was stopped once has little time left to be repeated again.
            () if ctx.features.timely_preemption && job.was_preempted(task) => {
                Preemptibility::ForGuaranteed
            }
            () => Preemptibility::ForMoreUrgent(priority),
        }
    }

    /// Estimates the work that is lost if a run, or its whole gang, is stopped, in core-seconds.
    fn cost(&self, ctx: &Context<'_>, slot: &Slot) -> f64 {
        let Some(step) = self.step else { return 0.0 };
        let tasks = if step.gang { step.tasks } else { 1 };
        // A run that writes checkpoints writes one more when it is stopped.
        let since = match slot.saved.is_empty() || !ctx.features.timely_preemption {
            true => slot.started,
            false => slot.saved_at,
        };
        let lost = if step.saves { 0.0 } else { ctx.clock.now.since(since).secs_f64() };
        let weight = cores(&slot.need);
        let weight = if self.is_urgent() { weight * URGENT_COST_FACTOR } else { weight };
        (lost + RESTART_COST_S) * weight * f64::from(tasks)
    }

    /// Returns what is at stake if a run, or its whole gang, is stopped at `cost`; `learned` is the time for
    /// which it goes on by the learned run times.
    fn stake(&self, slot: &Slot, cost: f64, now: Moment, learned: Option<Span>) -> Option<Stake> {
        let step = self.step?;
        let ran = now.since(slot.started);
        // A run that has taken longer than estimated may take as long again.
        let estimated =
            if ran < step.estimate { (slot.started + step.estimate).since(now) } else { ran };
        Some(Stake {
            lost: if self.is_urgent() { cost / URGENT_COST_FACTOR } else { cost },
            leeway: self.leeway,
            left: slot.remaining(now).or(learned).unwrap_or(estimated),
        })
    }
}

/// Returns the longest time from a decision to stop runs to the start of the gang.
fn start_delay(ctx: &Context<'_>) -> Span {
    Span(ctx.bounds.stop_ms) + RECORD_AND_START
}

/// Returns the cores that a task's resources count as.
fn cores(need: &Resources) -> f64 {
    need.cpu as f64 / 1000.0 + need.accelerators as f64 * CORES_PER_ACCELERATOR
}

/// Returns how long the job of a unit may wait without being late.
fn spare_time(ctx: &Context<'_>, job: &Job, unit: &Unit) -> Span {
    let allowed = job.allowed_time(job.queue(ctx.catalog)).millis();
    Span(allowed.saturating_sub(unit.input.needed.millis()))
}
