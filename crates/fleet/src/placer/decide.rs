//! Placement: assigns waiting tasks to workers with free capacity.

use bulrushlink_core::Span;

use crate::activity::Part;
use crate::ids::{JobId, Run, TaskId};
use crate::model::Step;
use crate::plan::{Packing, Room, SpeedPreference, place_gang, place_singles};
use crate::policy::{BreakerState, Quotas, Risk, Shares, Tolerance, doubt};

use super::endpoints::Endpoints;
use super::field::{FleetSnapshot, Shape, WorkerView};
use super::held::RunBudget;
use super::job::Job;
use super::reserve::Stay;
use super::units::Unit;
use super::worker::{Phase, Slot};
use super::{Context, Placer};

/// A task waits for the rack of its data for this fraction of the time that it would lose on
/// another rack.
const RACK_WAIT_FRACTION: f64 = 0.25;
/// Time for which a gang waits for a rack that can hold it, or a job without runs for the rack of its data,
/// while the endpoint is mostly idle; a job may be without a run for 3 s then. Each rack may have a long
/// run on one of its workers, so that none becomes free as a whole for a long time.
const RACK_WAIT_MAX: Span = Span(2_000);

/// An urgent gang prefers stops of other runs to an open breaker for `reclaim_ms`, the time within which
/// a guaranteed gang must start, divided by this: about as long as a stop takes.
const STOPS_PREFERRED_DIVISOR: u64 = 4;

/// Index of each task in its step, with the position of the worker chosen for it.
pub(super) type Assignment = Vec<(u32, usize)>;

/// State of one placement.
pub(super) struct Placement {
    pub(super) fleet: FleetSnapshot,
    /// What the workspaces with ceilings occupy, with the claims.
    pub(super) quotas: Quotas,
    /// What the workspaces are entitled to, if the configuration gives weights.
    pub(super) shares: Shares,
    /// Jobs within the guarantees of their workspaces, sorted.
    pub(super) guaranteed: Vec<JobId>,
    /// Memory that is left for runs.
    pub(super) runs: RunBudget,
}

impl Placer {
    /// Returns true if a worker may get a new run now.
    pub(super) fn may_start(&self, ctx: &Context<'_>, at: usize) -> bool {
        let now = ctx.clock.now;
        let workers_fresh =
            self.reading.fresh.is_some_and(|f| now.since(f) <= ctx.bounds.workers_age_max());
        let worker = &self.workers[at];
        let domain = worker.entry.as_ref().map(|e| &e.domain);
        let not_evacuated = domain.is_some_and(|d| ctx.evacuated.binary_search(d).is_err());
        workers_fresh && not_evacuated && ctx.view_fresh && worker.accepts_runs(now)
    }

    /// Places the waiting units that fit; returns how many units were waiting.
    ///
    /// Load pattern: thousands of waiting tasks for which there is no room. Each placement looks at
    /// the workers once, and skips a unit if an equal or less demanding one has already found no
    /// room.
    pub(super) fn place_units(&mut self, ctx: &mut Context<'_>) -> usize {
        if !ctx.holds_lease || ctx.catalog.is_none() {
            return 0;
        }
        self.open_due_rounds(ctx);
        ctx.activity.enter(Part::Rank);
        self.withdraw_starts_over_ceilings(ctx);
        let guaranteed = self.guaranteed_jobs(ctx);
        let mut units = self.units(ctx, &guaranteed);
        self.update_standings(ctx, &units);
        if units.is_empty() && self.claims.is_empty() {
            self.waits.clear();
            return 0;
        }
        let mut fleet = std::mem::take(&mut self.field);
        let speeds = self.mean_speeds();
        let priorities = self.priorities(ctx);
        let view = |at| self.worker_view(ctx, at, &speeds, &priorities);
        fleet.start_placement((0..self.workers.len()).map(view));
        let (quotas, shares) = (self.quotas(ctx), Shares::default());
        let runs = self.run_budget(ctx);
        let mut placement = Placement { fleet, quotas, shares, guaranteed, runs };
        if self.start_claimed_gangs(ctx, &mut placement) {
            units = self.units(ctx, &placement.guaranteed);
        }
        units.sort_by(Unit::compare);
        ctx.activity.enter(Part::Place);
        if ctx.features.timely_preemption {
            self.observe_widths(ctx, &units);
            self.observe_urgent(ctx, &units, &placement.fleet);
        }
        let waiting = units.len();
        placement.shares = self.shares(ctx, &units);
        let waits = std::mem::take(&mut self.waits);
        if placement.shares.is_empty() {
            for unit in units {
                self.try_unit(ctx, unit, &mut placement);
            }
        } else {
            self.place_by_shares(ctx, units, &mut placement);
        }
        if !(placement.quotas.is_empty() && placement.shares.is_empty()) {
            self.update_waits(ctx, &waits);
        }
        self.field = placement.fleet;
        waiting
    }

    /// Places a unit if it fits, and records why it waits otherwise; returns how many of its tasks start.
    pub(super) fn try_unit(
        &mut self,
        ctx: &mut Context<'_>,
        unit: Unit,
        placement: &mut Placement,
    ) -> usize {
        if placement.quotas.is_empty() && placement.shares.is_empty() {
            return self.place_unit(ctx, unit, placement);
        }
        let (tasks, head) = (unit.waiting.len(), Unit { waiting: Vec::new(), ..unit.clone() });
        let placed = self.place_unit(ctx, unit, placement);
        if placed < tasks
            && let Some(reason) = self.wait_reason(&head, tasks, placement)
        {
            self.record_wait(ctx, &head, reason);
        }
        placed
    }

    /// Places a unit if it fits, and makes or reserves room for a gang that doesn't; returns how many of its
    /// tasks start.
    fn place_unit(
        &mut self,
        ctx: &mut Context<'_>,
        mut unit: Unit,
        placement: &mut Placement,
    ) -> usize {
        let claim = self.claims.iter().position(|c| c.is_for(&unit.task(0)));
        ctx.activity.work_on(unit.job);
        let Some(step) = self.step_of(&unit).cloned() else { return 0 };
        if !self.fit_to_ceiling(ctx, &mut unit, claim, placement)
            || !self.fit_to_reserve(ctx, &mut unit, &step, &mut placement.fleet)
        {
            return 0;
        }
        let unit = &unit;
        let tolerances = self.tolerances(ctx, unit, &step, &mut placement.fleet);
        let Some(mut shape) = self.shape(ctx, unit, step, &mut placement.fleet) else { return 0 };
        if shape.step.gang && !shape.anywhere {
            self.note_rack_wait(ctx, unit, &shape, &placement.fleet);
        }
        let makes_room = shape.step.gang && !shape.alone;
        let mut claimed = claim.is_some();
        for tolerance in tolerances {
            shape.tolerance = *tolerance;
            let placed = self.place_shape(ctx, unit, &shape, placement);
            if placed > 0 {
                return placed;
            }
            if unit.guaranteed && self.drop_reservations(ctx, placement) {
                return self.place_unit(ctx, unit.clone(), placement);
            }
            // On the way to a worker without doubt, free room on others goes before stops.
            let early = *tolerance == Tolerance::Clean && tolerances.last() != Some(tolerance);
            if makes_room && !claimed && !early {
                claimed = self.preempt_for(ctx, unit, &shape, placement);
            }
            if claimed && *tolerance == Tolerance::HalfOpen {
                return 0;
            }
        }
        if makes_room && !claimed && !placement.shares.is_empty() {
            self.reserve_for(ctx, unit, &shape, placement);
        }
        0
    }

    /// Returns what a unit requires of the workers.
    fn shape(
        &self,
        ctx: &Context<'_>,
        unit: &Unit,
        step: Step,
        fleet: &mut FleetSnapshot,
    ) -> Option<Shape> {
        let job = &self.jobs[self.job_index(unit.job).ok()?];
        let waited = ctx.clock.now.since(job.accepted);
        let away_cost_ms = step.estimate.millis() as f64 * (ctx.bounds.remote_factor - 1.0);
        let anywhere = match step.gang {
            true => {
                let on_rack = step.one_rack || step.near.is_some();
                on_rack && waited > RACK_WAIT_MAX && self.is_mostly_idle(ctx, job, &step, fleet)
            }
            false => {
                let idle_since = ctx.clock.now.since(job.waiting_since);
                let waits = step.near.is_some() && idle_since > RACK_WAIT_MAX;
                waited.millis() as f64 > away_cost_ms * RACK_WAIT_FRACTION
                    || (waits
                        && self.is_mostly_idle(ctx, job, &step, fleet)
                        && !self.has_runs(unit.job))
            }
        };
        Some(Shape {
            endpoint: job.queue(ctx.catalog).endpoint.clone(),
            trusted: unit.has_failed && !ctx.features.breaker,
            tolerance: Tolerance::Any,
            alone: unit.suspects && ctx.clock.now < job.isolate_until,
            anywhere,
            count: if step.gang { unit.waiting.len() } else { 1 },
            step,
        })
    }

    /// Logs once for each job that a gang goes on waiting for a rack that has room for all of it.
    fn note_rack_wait(
        &mut self,
        ctx: &Context<'_>,
        unit: &Unit,
        shape: &Shape,
        fleet: &FleetSnapshot,
    ) {
        let on_rack = shape.step.one_rack || shape.step.near.is_some();
        let Ok(j) = self.job_index(unit.job) else { return };
        let job = &mut self.jobs[j];
        let waited = ctx.clock.now.since(job.accepted);
        if !on_rack || waited <= RACK_WAIT_MAX || std::mem::replace(&mut job.rack_logged, true) {
            return;
        }
        let (free, accelerators) = fleet.accelerators(&shape.endpoint);
        log::info!(
            event = "rack_awaited", job:% = unit.job, step = unit.step, tasks = unit.waiting.len(),
            endpoint:% = shape.endpoint, waited_ms = waited.millis(), free = free,
            accelerators = accelerators;
            "the gang waits for a rack with room for all of it, as too many accelerators are in use"
        );
    }

    /// Returns the tolerances with which a unit is placed, in their order.
    fn tolerances(
        &self,
        ctx: &Context<'_>,
        unit: &Unit,
        step: &Step,
        fleet: &mut FleetSnapshot,
    ) -> &'static [Tolerance] {
        let Ok(j) = self.job_index(unit.job) else { return &[] };
        if !ctx.features.breaker || !fleet.is_doubtful() {
            return &[Tolerance::Any];
        }
        let risk = Risk {
            urgent: unit.is_urgent(),
            guaranteed: unit.guaranteed,
            gang: step.gang,
            tasks: unit.waiting.len(),
            estimate: unit.expected,
            saves: step.saves,
            failed: unit.has_failed,
        };
        let waited = ctx.clock.now.since(self.jobs[j].waiting_since);
        let stops_for = Span(ctx.bounds.reclaim_ms / STOPS_PREFERRED_DIVISOR);
        let idle = self.is_mostly_idle(ctx, &self.jobs[j], step, fleet);
        risk.tolerances(waited, stops_for, idle)
    }

    /// Returns true if a run of the job occupies a worker.
    fn has_runs(&self, job: JobId) -> bool {
        let with_job = self.workers.iter().filter(|w| w.slots.may_have(job));
        with_job.flat_map(|w| w.slots.iter()).any(|s| s.task.job == job)
    }

    /// Returns true if the workers of a job's endpoint, or those that may run the step, are mostly idle.
    pub(super) fn is_mostly_idle(
        &self,
        ctx: &Context<'_>,
        job: &Job,
        step: &Step,
        fleet: &mut FleetSnapshot,
    ) -> bool {
        let endpoint = job.queue(ctx.catalog).endpoint.as_str();
        let label = step.label.as_ref();
        fleet.is_mostly_idle(endpoint, step, |at| self.serves(at, endpoint, label))
    }

    /// Places a unit into free capacity, if there is any for its shape; returns how many of its tasks start.
    fn place_shape(
        &mut self,
        ctx: &mut Context<'_>,
        unit: &Unit,
        shape: &Shape,
        placement: &mut Placement,
    ) -> usize {
        let fleet = &mut placement.fleet;
        if fleet.lacks_room(shape) {
            return 0;
        }
        let mut placed = self.find_room(ctx, unit, shape, fleet);
        if placed.len() < unit.waiting.len() {
            fleet.record_no_room(shape);
        }
        if shape.alone && !shape.step.gang {
            // The first worker tells whether the job goes on crashing workers.
            let first = placed.first().copied();
            placed.retain(|at| Some(*at) == first);
        }
        fleet.limit_trials(shape, &mut placed);
        if let Ok(j) = self.job_index(unit.job) {
            let spec = &self.jobs[j].spec;
            placed.truncate(placement.runs.allowed(spec, unit, placed.len()));
            placement.runs.take(spec, placed.len());
        }
        if placed.is_empty() {
            return 0;
        }
        self.start_unit(ctx, unit, shape, placed, placement)
    }

    /// Plans the starts of a unit's tasks on the workers chosen for them; returns how many there are.
    fn start_unit(
        &mut self,
        ctx: &mut Context<'_>,
        unit: &Unit,
        shape: &Shape,
        placed: Vec<usize>,
        Placement { fleet, quotas, shares, .. }: &mut Placement,
    ) -> usize {
        let need = &shape.step.need;
        let owner = self.owner_of(ctx, shares, unit.job);
        if let Some(claim) = self.claims.iter().position(|c| c.is_for(&unit.task(0))) {
            let tasks = self.claims[claim].workers().count() as u64;
            shares.remove_claim(owner, &need.times(tasks));
            self.drop_claim(claim, need, fleet, quotas);
        }
        let assignment: Assignment = unit.waiting.iter().copied().zip(placed).collect();
        fleet.take_room(&assignment, need);
        let taken = assignment.len() as u64 * need.accelerators;
        let stay = self.stay_of_unit(ctx, unit, &shape.step);
        fleet.count_use(&shape.endpoint, stay, taken);
        self.count_tasks(quotas, unit.job, need, assignment.len());
        self.plan_starts(ctx, &unit.task(0), &assignment, "placed into free capacity");
        self.close_isolated(ctx, &assignment, fleet);
        shares.add(owner, &need.times(assignment.len() as u64));
        assignment.len()
    }

    /// Closes the workers of an assignment that must get no other runs, for the rest of a placement.
    pub(super) fn close_isolated(
        &self,
        ctx: &Context<'_>,
        assignment: &Assignment,
        fleet: &mut FleetSnapshot,
    ) {
        for (_, at) in assignment {
            if self.workers[*at].is_isolated(ctx.clock.now) {
                fleet.close(*at);
            }
        }
    }

    /// Chooses workers with free capacity: for a gang, workers for all of its tasks or none.
    fn find_room(
        &self,
        ctx: &Context<'_>,
        unit: &Unit,
        shape: &Shape,
        fleet: &mut FleetSnapshot,
    ) -> Vec<usize> {
        let (rooms, racks) = fleet.rooms_for(shape, |at| self.is_eligible(at, shape));
        self.count_siblings(unit, &shape.step, rooms);
        self.mark_failed_places(unit.job, rooms);
        let count = unit.waiting.len();
        let preference =
            if unit.is_urgent() { SpeedPreference::Fastest } else { SpeedPreference::SpareFastest };
        let widths = self.widths.get(&shape.endpoint).copied().unwrap_or_default();
        let packing = match self.stay_of_unit(ctx, unit, &shape.step) {
            _ if !ctx.features.timely_preemption => Packing::Fullest,
            Stay::Settled => Packing::Gathered(widths),
            Stay::Urgent | Stay::Lent => Packing::Usable(widths),
        };
        let choice = (preference, packing);
        if shape.step.gang {
            // An empty result means no room; the caller compares lengths.
            place_gang(rooms, racks, &shape.step, count, shape.anywhere, choice).unwrap_or_default()
        } else {
            place_singles(rooms, &shape.step, count, shape.anywhere, choice)
        }
    }

    fn observe_widths(&mut self, ctx: &Context<'_>, units: &[Unit]) {
        let mut waiting: Endpoints<Vec<(u64, usize)>> = Endpoints::default();
        // What is known of the others decays.
        for (endpoint, _) in self.widths.iter_mut() {
            waiting.entry(endpoint);
        }
        for unit in units {
            let Ok(at) = self.jobs.position(unit.job) else { continue };
            let (job, step) = (&self.jobs[at], usize::from(unit.step));
            let wanted = (job.spec.steps[step].need.accelerators, unit.waiting.len());
            waiting.entry(&job.queue(ctx.catalog).endpoint).push(wanted);
        }
        for (endpoint, wanted) in waiting.iter_mut() {
            self.widths.entry(endpoint).observe(ctx.clock.now, wanted.drain(..));
        }
    }

    /// Counts the tasks of the same step on each worker, if the step limits them.
    pub(super) fn count_siblings(&self, unit: &Unit, step: &Step, rooms: &mut [Room]) {
        if step.per_worker.is_none() {
            return;
        }
        let same = |s: &&Slot| {
            let t = &s.task;
            (t.job, t.round, t.step) == (unit.job, unit.round, unit.step)
        };
        let with_job =
            rooms.iter_mut().zip(&self.workers).filter(|(_, w)| w.slots.may_have(unit.job));
        for (room, worker) in with_job {
            room.siblings = worker.slots.iter().filter(same).count() as u32;
        }
    }

    /// Returns the state of a worker at the start of a placement; `speeds` are the means of the logarithms
    /// of the learned speeds, and `priorities` are those of the jobs.
    pub(super) fn worker_view(
        &self,
        ctx: &Context<'_>,
        at: usize,
        speeds: &Endpoints<f64>,
        priorities: &[u32],
    ) -> WorkerView<'_> {
        let worker = &self.workers[at];
        let entry = worker.entry.as_ref();
        let breaker = entry.filter(|_| ctx.features.breaker);
        let breaker =
            breaker.map_or(BreakerState::Closed, |e| self.breakers.state(e.addr, ctx.clock.now));
        WorkerView {
            free: worker.free(),
            excess: worker.excess(),
            capacity: worker.capacity(),
            endpoint: worker.endpoint(),
            rack: entry.and_then(|e| e.rack.as_ref()),
            usage: self.usage(ctx, worker, priorities),
            doubt: doubt(breaker, worker.recent_faults(ctx.clock.now)),
            band: worker.pace.band(speeds.get(worker.endpoint()).copied().unwrap_or_default()),
            open: self.may_start(ctx, at) && !worker.is_isolated(ctx.clock.now),
        }
    }

    /// Returns true if a worker belongs to the endpoint and has the label that a shape requires.
    pub(super) fn is_eligible(&self, at: usize, shape: &Shape) -> bool {
        self.serves(at, &shape.endpoint, shape.step.label.as_ref())
    }

    /// Returns true if a worker belongs to an endpoint and has a label, if one is given.
    pub(super) fn serves(&self, at: usize, endpoint: &str, label: Option<&String>) -> bool {
        self.workers[at].entry.as_ref().is_some_and(|entry| {
            entry.endpoint == endpoint && label.is_none_or(|l| entry.labels.contains(l))
        })
    }

    /// Adds the starts of an assignment to the job's state, which the next commit records.
    pub(super) fn plan_starts(
        &mut self,
        ctx: &Context<'_>,
        any_task: &TaskId,
        assignment: &Assignment,
        why: &str,
    ) {
        let now = ctx.clock.now;
        let Ok(j) = self.job_index(any_task.job) else { return };
        let Some(step) = self.jobs[j].step(any_task).cloned() else { return };
        let gang_run = self.jobs[j].next_gang_run(any_task);
        self.compare_wait(now, j);
        self.jobs[j].mark_dirty();
        let version = self.jobs[j].version;
        let mut places = Vec::new();
        for (index, at) in assignment {
            let task = TaskId { index: *index, ..*any_task };
            let next_run = self.jobs[j].task(&task).map_or(Run(1), |t| Run(t.run.0 + 1));
            let run = if step.gang { gang_run } else { next_run };
            let worker = &mut self.workers[*at];
            // Capacity is not checked again after this point, so an overcommitted assignment must
            // fail here.
            assert!(worker.free().fits(&step.need), "{} has no room for {task}", worker.boot);
            // The percentage of a run that resumes from a checkpoint says nothing about its rate.
            let fresh = self.jobs[j].checkpoint(&task).is_some_and(str::is_empty);
            self.jobs[j].plan_start(&task, run, worker.boot.clone());
            let phase = Phase::Planned(version);
            let slot = Slot::new(task, run, step.need, phase, now);
            let saved_work = self.jobs[j].saved_work(&task);
            worker.insert_slot(Slot { fresh, telling: fresh, timed: true, saved_work, ..slot });
            self.isolate_suspect(*at, &task, now);
            places.push(format!("{index}:{}", self.workers[*at].id()));
        }
        let job = &self.jobs[j];
        let forecast = self.forecast(ctx, job, &step);
        metrics::counter!("bulrushlink_placements_total", "by" => forecast.source.to_string())
            .increment(1);
        log::info!(
            event = "placed", job:% = any_task.job, queue:% = job.accepted_queue.name, round = any_task.round, step = any_task.step,
            run = if step.gang { gang_run.0 } else { 0 }, waited_ms = now.since(job.accepted).millis(),
            expected_ms = forecast.median.millis(), expected_by:% = forecast.source, samples = forecast.samples,
            epoch:% = self.epoch(), catalog = ctx.catalog.map_or(0, |c| c.version),
            workers_age_ms = self.reading.fresh.map_or(0, |f| now.since(f).millis()), places:% = places.join(","); "{why}"
        );
    }
}
