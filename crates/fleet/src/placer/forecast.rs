//! The forecast for admission: made of what waits and runs, written to the store, and compared with the
//! waits of the jobs that begin.

use bulrushlink_core::{Moment, Span, WorkspaceId};

use crate::catalog::{Catalog, Ceiling, Workspace};
use crate::edge::{Commit, Fault, StoreOp, StoreReply};
use crate::ids::JobId;
use crate::model::{Resources, Step};
use crate::plan::{Rank, RankInput, rank};
use crate::policy::admission::{
    Accuracy, COSTS, Demand, Entry, FleetSize, GUARANTEE_MARGIN, LoadForecast, NOTABLE_CHANGE_MS,
    Pool, Probe, ROWS_MAX, Row, Submission, Supply, forecast_wait, forecast_waits,
};
use crate::record::{encode, keys};

use super::job::Job;
use super::worker::{Phase, Slot};
use super::{Context, Placer, PlacerTag, STORE_TIMEOUT};

/// Shortest time between two forecasts, and so between two writes.
const FORECAST_INTERVAL: Span = Span(1_000);
/// Age up to which a forecast counts as the one by which a job was accepted.
const FORECAST_AGE_MAX: Span = Span(2_000);
/// Time after which a forecast is written although it hasn't changed. Daemons rely on one for 3 s, and
/// count its age from the last read that didn't show it.
const REWRITE_INTERVAL: Span = Span(1_500);
/// Longest time for which a task counts. A caller may state a year; the load swings within 15 s.
const RUN_TIME_MAX: Span = Span(15_000);
/// Time over which the jobs that have come stand for those yet to come; the load swings within 15 s.
const ARRIVALS_WINDOW: Span = Span(5_000);
/// Factor on the cost of jobs yet to come: a class of costs spans a factor of two, and half of the jobs of a
/// job's own class go after it.
const COMING_COST_FACTOR: f64 = std::f64::consts::SQRT_2;
/// Weight of the latest interval in the rate at which jobs begin.
const DRAIN_WEIGHT: f64 = 0.3;

/// State of the forecasts of one epoch.
#[derive(Debug, Default)]
pub(super) struct Forecaster {
    /// When the latest forecast was made.
    made: Option<Moment>,
    /// The latest forecast, without corrections.
    latest: LoadForecast,
    /// The forecast in the store, as far as known, and when it was written.
    written: Option<(LoadForecast, Moment)>,
    /// Ordinal and forecast of the write in flight.
    flight: Option<(u64, LoadForecast, Moment)>,
    pub(super) ordinal: u64,
    /// Sorted by queue.
    accuracy: Vec<(String, Accuracy)>,
    /// Sorted by queue and workspace.
    drains: Vec<Drain>,
}

/// Rate at which the jobs of a queue, or of a workspace in it, begin.
#[derive(Clone, Debug, Default)]
struct Drain {
    queue: String,
    workspace: Option<WorkspaceId>,
    /// Jobs that have begun since the latest forecast.
    begun: u32,
    /// Jobs per second.
    rate: f64,
}

impl Forecaster {
    #[cfg(test)]
    pub(super) fn latest(&self) -> &LoadForecast {
        &self.latest
    }

    pub(super) fn accuracy(&self, queue: &str) -> Accuracy {
        let at = self.accuracy.binary_search_by(|(name, _)| name.as_str().cmp(queue));
        at.map_or_else(|_| Accuracy::default(), |at| self.accuracy[at].1)
    }

    fn drain(&mut self, queue: &str, workspace: Option<&WorkspaceId>) -> &mut Drain {
        let key = (queue, workspace);
        let found =
            self.drains.binary_search_by(|d| (d.queue.as_str(), d.workspace.as_ref()).cmp(&key));
        let at = found.unwrap_or_else(|at| {
            let (queue, workspace) = (queue.to_string(), workspace.cloned());
            self.drains.insert(at, Drain { queue, workspace, ..Drain::default() });
            at
        });
        &mut self.drains[at]
    }

    /// Updates the rates, and drops what belongs to no queue any more.
    fn advance(&mut self, catalog: &Catalog, now: Moment) {
        let since = self.made.map_or(FORECAST_INTERVAL, |made| now.since(made));
        self.drains.retain(|d| catalog.queue(&d.queue).is_some());
        self.accuracy.retain(|(queue, _)| catalog.queue(queue).is_some());
        for drain in &mut self.drains {
            let latest = f64::from(std::mem::take(&mut drain.begun)) / since.secs_f64().max(0.1);
            drain.rate += DRAIN_WEIGHT * (latest - drain.rate);
        }
        self.made = Some(now);
    }
}

impl Placer {
    /// Makes a forecast if one is due, and writes it if it has changed, or became old while work waits.
    pub(super) fn write_forecast(&mut self, ctx: &mut Context<'_>) {
        let now = ctx.clock.now;
        let due = self.forecaster.made.is_none_or(|made| now.since(made) >= FORECAST_INTERVAL);
        let Some(catalog) =
            ctx.catalog.filter(|_| ctx.features.admission && ctx.holds_lease && due)
        else {
            return;
        };
        self.forecaster.advance(catalog, now);
        let forecast = self.load_forecast(ctx, catalog);
        self.forecaster.latest = forecast.clone();
        let mut corrected = forecast;
        corrected.correct(|queue| self.forecaster.accuracy(queue));
        corrected.reduce();
        let in_use = corrected.oversize || !corrected.rows.is_empty();
        let write = match &self.forecaster.written {
            _ if self.forecaster.flight.is_some() => false,
            Some((written, at)) => {
                corrected.differs_notably(written) || (in_use && now.since(*at) >= REWRITE_INTERVAL)
            }
            None => in_use,
        };
        if write {
            self.send_forecast(ctx, corrected);
        }
    }

    fn send_forecast(&mut self, ctx: &mut Context<'_>, forecast: LoadForecast) {
        let value = match encode(&forecast) {
            Ok(value) => value,
            Err(error) => {
                log::error!(event = "bad_record"; "the forecast can't be encoded: {error}");
                return;
            }
        };
        let longest = forecast.rows.iter().flat_map(|r| &r.waits).max().copied().unwrap_or(0);
        log::info!(
            event = "forecast", rows = forecast.rows.len(), longest_ms = longest, bytes = value.len(),
            epoch:% = self.epoch; "writing the forecast for admission"
        );
        let expect = vec![self.guard()];
        let writes = vec![(keys::LOAD.to_string(), value, None)];
        let commit = Commit { expect, writes, ..Commit::default() };
        self.forecaster.ordinal += 1;
        let ordinal = self.forecaster.ordinal;
        self.forecaster.flight = Some((ordinal, forecast, ctx.clock.now));
        let op = StoreOp::Commit(commit);
        self.call_store(ctx, PlacerTag::Forecast(ordinal), op, STORE_TIMEOUT);
    }

    pub(super) fn forecast_answered(&mut self, ordinal: u64, result: Result<StoreReply, Fault>) {
        let Some((_, forecast, at)) = self.forecaster.flight.take_if(|f| f.0 == ordinal) else {
            return;
        };
        match result {
            Ok(StoreReply::Committed(_)) => self.forecaster.written = Some((forecast, at)),
            Ok(StoreReply::Conflict(..)) => {
                log::warn!(event = "deposed", epoch:% = self.epoch; "another daemon holds the leader's key");
                self.deposed = true;
            }
            other => {
                // Whatever the store has now, the next forecast replaces it.
                log::info!(event = "forecast_unwritten"; "writing the forecast failed; the next one follows: {other:?}");
                self.forecaster.written = Some((forecast, Moment::default()));
            }
        }
    }

    /// Returns the wait that the latest forecast states for a new job, as a sample of its error.
    pub(super) fn expected_wait(&self, ctx: &Context<'_>, job: &Job) -> Option<(Moment, Span)> {
        let made = self.forecaster.made.filter(|_| ctx.features.admission)?;
        let now = ctx.clock.now;
        if now.since(made) > FORECAST_AGE_MAX || job.spec.schedule.is_some() {
            return None;
        }
        let workspace = job.state.workspace.as_ref();
        let submission = Submission {
            id: job.id,
            spec: &job.spec,
            queue: job.queue(ctx.catalog),
            workspace: workspace.and_then(|w| ctx.catalog?.workspace(w)),
            age: Span::ZERO,
        };
        Some((now, forecast_wait(&submission, &self.forecaster.latest)?))
    }

    /// Compares the wait of a job that begins with the forecast.
    pub(super) fn compare_wait(&mut self, now: Moment, at: usize) {
        let job = &mut self.jobs[at];
        let Some((since, forecast)) = job.expected.take() else { return };
        let (waited, queue) = (now.since(since), job.accepted_queue.name.clone());
        let workspace = job.state.workspace.clone();
        let forecaster = &mut self.forecaster;
        forecaster.drain(&queue, None).begun += 1;
        if workspace.is_some() {
            forecaster.drain(&queue, workspace.as_ref()).begun += 1;
        }
        let found = forecaster.accuracy.binary_search_by(|(name, _)| name.cmp(&queue));
        let at = found.unwrap_or_else(|at| {
            forecaster.accuracy.insert(at, (queue.clone(), Accuracy::default()));
            at
        });
        let accuracy = &mut forecaster.accuracy[at].1;
        let trusted = accuracy.is_trusted();
        accuracy.record(forecast, waited);
        let error = accuracy.error_factor();
        metrics::histogram!("bulrushlink_forecast_error_ms")
            .record(waited.millis().abs_diff(forecast.millis()) as f64);
        metrics::gauge!("bulrushlink_forecast_error_factor", "queue" => queue.clone()).set(error);
        if accuracy.is_trusted() != trusted {
            log::info!(
                event = "forecast_trust", queue:% = queue, trusted = !trusted, error = error,
                forecast_ms = forecast.millis(), waited_ms = waited.millis();
                "the forecast of a queue is relied on only while it is about right"
            );
        }
    }

    /// Forecasts the wait of each queue, and of each workspace in it that has a weight or a ceiling.
    fn load_forecast(&mut self, ctx: &Context<'_>, catalog: &Catalog) -> LoadForecast {
        let guaranteed = self.guaranteed_jobs(ctx);
        let units = self.units(ctx, &guaranteed);
        if units.is_empty() {
            return LoadForecast::default();
        }
        let limited: Vec<&Workspace> =
            catalog.workspaces.iter().filter(|w| is_limited(w)).collect();
        let fleets = self.fleet_sizes();
        let mut forecast = LoadForecast {
            rows: self.empty_rows(ctx, catalog, &limited, &fleets),
            spare: self.spare_guarantees(ctx, catalog),
            fleets,
            oversize: false,
        };
        let pool = |endpoint: &str| {
            forecast.fleets.binary_search_by(|f| f.endpoint.as_str().cmp(endpoint)).ok()
        };
        let ceiling = |workspace: Option<&WorkspaceId>| {
            limited.iter().position(|w| Some(&w.name) == workspace && has_ceiling(w))
        };
        let now = ctx.clock.now;
        let mut entries: Vec<(Rank, bool, Entry)> = Vec::new();
        for unit in &units {
            let Ok(j) = self.job_index(unit.job) else { continue };
            let job = &self.jobs[j];
            let Some(pool) = pool(&job.queue(ctx.catalog).endpoint) else { continue };
            let step = &job.spec.steps[usize::from(unit.step)];
            let ceiling = ceiling(job.state.workspace.as_ref());
            let demand = demand(step, unit.expected, unit.waiting.len(), pool, ceiling);
            let group = if demand.gang { demand.tasks } else { 1 };
            forecast.oversize |= forecast.fleets[pool].total.count(&demand.need) < group;
            let urgent = unit.claimant().may_preempt();
            entries.push((unit.rank, urgent, Entry::Work(demand)));
        }
        for (number, row) in forecast.rows.iter().enumerate() {
            let Some(queue) = catalog.queue(&row.queue) else { continue };
            let Some(pool) = pool(&queue.endpoint) else { continue };
            for (class, cost) in COSTS.into_iter().enumerate() {
                let (ceiling, tag) =
                    (ceiling(row.workspace.as_ref()), number * COSTS.len() + class);
                let probe = Entry::Probe(Probe { pool, ceiling, tag });
                entries.push((new_rank(queue.priority, cost, now), queue.priority == 0, probe));
            }
        }
        let recent =
            |j: &&Job| now.since(j.accepted) < ARRIVALS_WINDOW && j.spec.schedule.is_none();
        for job in self.jobs.iter().filter(recent) {
            let queue = job.queue(ctx.catalog);
            let Some(pool) = pool(&queue.endpoint) else { continue };
            let ceiling = ceiling(job.state.workspace.as_ref());
            for step in job.spec.steps.iter().filter(|s| !s.endless) {
                let expected = self.expected_work(ctx, job, step);
                let demand = demand(step, expected, step.tasks as usize, pool, ceiling);
                let accelerators = u64::from(step.tasks) * step.need.accelerators;
                let cost = expected.secs_f64() * accelerators as f64 * COMING_COST_FACTOR;
                let coming = Entry::Coming(demand, 1.0 / ARRIVALS_WINDOW.secs_f64());
                let rank = new_rank(queue.priority, cost, now);
                entries.push((rank, queue.priority == 0, coming));
            }
        }
        entries.sort_by(|a, b| a.0.compare(&b.0));
        let [urgent, usual] = [true, false].map(|preempts| {
            let supply = self.supply(ctx, &forecast.fleets, &limited, &guaranteed, preempts);
            let entries = entries.iter();
            // Urgent work takes room from other work, which then waits; the probes of each come from one
            // of the two passes.
            let wanted = |(_, urgent, entry): &&(Rank, bool, Entry)| match entry {
                Entry::Work(_) | Entry::Coming(..) => *urgent || !preempts,
                Entry::Probe(_) => *urgent == preempts,
            };
            forecast_waits(supply, entries.filter(wanted).map(|(_, _, entry)| *entry))
        });
        forecast.set_waits(&[urgent, usual].concat());
        for wait in forecast.rows.iter_mut().flat_map(|r| &mut r.waits) {
            if *wait < NOTABLE_CHANGE_MS {
                *wait = 0;
            }
        }
        forecast
    }

    /// Returns the size of the fleet of each endpoint, by the registered workers. The usual size of a worker
    /// is that of those that have replied: the entries of others may be another writer's.
    fn fleet_sizes(&self) -> Vec<FleetSize> {
        let mut fleets: Vec<FleetSize> = Vec::new();
        let registered = self.workers.iter().filter_map(|w| Some((w.entry.as_ref()?, w.fenced)));
        for (entry, heard) in registered {
            let at = match fleets.binary_search_by(|f| f.endpoint.cmp(&entry.endpoint)) {
                Ok(at) => at,
                Err(at) => {
                    let (total, worker) = (Resources::default(), Resources::default());
                    let endpoint = entry.endpoint.clone();
                    fleets.insert(at, FleetSize { endpoint, total, worker });
                    at
                }
            };
            let fleet = &mut fleets[at];
            fleet.total = fleet.total.plus(&entry.capacity);
            if !heard {
                continue;
            }
            let Resources { cpu, memory, accelerators } = entry.capacity;
            fleet.worker.cpu = fleet.worker.cpu.max(cpu);
            fleet.worker.memory = fleet.worker.memory.max(memory);
            fleet.worker.accelerators = fleet.worker.accelerators.max(accelerators);
        }
        fleets
    }

    /// Returns the rows without their waits, sorted by queue and workspace.
    fn empty_rows(
        &mut self,
        ctx: &Context<'_>,
        catalog: &Catalog,
        limited: &[&Workspace],
        fleets: &[FleetSize],
    ) -> Vec<Row> {
        let idle: Vec<Resources> = fleets.iter().map(|f| self.idle_room(ctx, f)).collect();
        let quotas = self.quotas(ctx);
        let mut rows: Vec<Row> = Vec::new();
        let waiting: Vec<(&str, Option<&WorkspaceId>)> = self
            .jobs
            .iter()
            .filter(|j| !j.is_over() && !j.planned)
            .map(|j| (j.accepted_queue.name.as_str(), j.state.workspace.as_ref()))
            .collect();
        let owners = |queue: &str| {
            let count = |w: Option<&WorkspaceId>| {
                let counts = |(q, owner): &&(&str, Option<&WorkspaceId>)| {
                    *q == queue && (w.is_none() || *owner == w)
                };
                waiting.iter().filter(counts).count() as u32
            };
            let all = std::iter::once(None).chain(limited.iter().map(|w| Some(&w.name)));
            all.map(|w| (w, count(w))).collect::<Vec<_>>()
        };
        for queue in &catalog.queues {
            let Ok(at) = fleets.binary_search_by(|f| f.endpoint.cmp(&queue.endpoint)) else {
                continue;
            };
            for (workspace, waiting) in owners(&queue.name) {
                let room = quotas.room(workspace);
                let idle = idle[at].smallest(&room);
                let drained = self.forecaster.drain(&queue.name, workspace).rate * 1_000.0;
                rows.push(Row {
                    queue: queue.name.clone(),
                    workspace: workspace.cloned(),
                    idle,
                    waiting,
                    drained: drained as u32,
                    waits: Vec::new(),
                });
            }
        }
        if rows.len() > ROWS_MAX {
            rows.retain(|r| r.workspace.is_none());
            rows.truncate(ROWS_MAX);
        }
        rows
    }

    /// Returns the room on the workers of an endpoint that accept runs.
    fn idle_room(&self, ctx: &Context<'_>, fleet: &FleetSize) -> Resources {
        let open = self.open_workers(ctx, &fleet.endpoint);
        let free = open.fold(Resources::default(), |sum, at| sum.plus(&self.workers[at].free()));
        self.claims.iter().fold(free, |free, claim| {
            let Ok(j) = self.job_index(claim.job) else { return free };
            let job = &self.jobs[j];
            match job.step(&claim.task(0)) {
                Some(step) if job.queue(ctx.catalog).endpoint == fleet.endpoint => {
                    claim.workers().fold(free, |free, _| free.minus(&step.need))
                }
                _ => free,
            }
        })
    }

    fn is_of(&self, at: usize, endpoint: &str) -> bool {
        self.workers[at].entry.as_ref().is_some_and(|e| e.endpoint == endpoint)
    }

    fn open_workers<'a>(
        &'a self,
        ctx: &'a Context<'_>,
        endpoint: &'a str,
    ) -> impl Iterator<Item = usize> + 'a {
        let all = 0..self.workers.len();
        all.filter(move |at| self.is_of(*at, endpoint) && self.may_start(ctx, *at))
    }

    /// Returns what is free and becomes free. If the claimants preempt, the runs of less urgent work are
    /// gone once they have been stopped.
    fn supply(
        &self,
        ctx: &Context<'_>,
        fleets: &[FleetSize],
        limited: &[&Workspace],
        guaranteed: &[JobId],
        preempts: bool,
    ) -> Supply {
        let stop = Span(ctx.bounds.stop_ms);
        let left = |slot: &Slot| {
            let remaining = self.remaining(ctx, slot);
            let kept = guaranteed.binary_search(&slot.task.job).is_ok()
                || self
                    .job_index(slot.task.job)
                    .is_ok_and(|j| self.jobs[j].queue(ctx.catalog).priority == 0);
            if preempts && !kept { remaining.min(stop) } else { remaining }
        };
        let pool = |fleet: &FleetSize| {
            let mut pool = Pool::workers(fleet.worker);
            for at in self.open_workers(ctx, &fleet.endpoint) {
                pool.add(&self.workers[at].capacity());
                for slot in self.workers[at].slots.iter() {
                    pool.occupy(&slot.need, left(slot));
                }
            }
            pool
        };
        let pools = fleets.iter().map(pool).collect();
        let mut ceilings: Vec<Pool> =
            limited.iter().map(|w| Pool::ceiling(ceiling_of(w).0)).collect();
        for slot in self.workers.iter().flat_map(|w| w.slots.iter()) {
            let owner = self.workspace_of(slot.task.job);
            if let Some(at) = limited.iter().position(|w| Some(&w.name) == owner) {
                ceilings[at].occupy(&slot.need, left(slot));
            }
        }
        Supply { pools, ceilings }
    }

    /// Returns how long a run goes on, by its progress or else by the forecast run time.
    fn remaining(&self, ctx: &Context<'_>, slot: &Slot) -> Span {
        let now = ctx.clock.now;
        if matches!(slot.phase, Phase::Closing { .. }) {
            return Span(ctx.bounds.stop_ms);
        }
        let by_estimate = || {
            let job = self.job_index(slot.task.job).ok().map(|j| &self.jobs[j]);
            let step = job.and_then(|j| Some((j, j.step(&slot.task)?)));
            let length = step.map_or(Span::ZERO, |(job, step)| self.expected_work(ctx, job, step));
            Span(length.millis().saturating_sub(now.since(slot.started).millis()))
        };
        slot.remaining(now).unwrap_or_else(by_estimate).min(RUN_TIME_MAX)
    }

    /// Returns the accelerators that the urgent jobs of each workspace with a guarantee may still use.
    fn spare_guarantees(&self, ctx: &Context<'_>, catalog: &Catalog) -> Vec<(WorkspaceId, u64)> {
        let guaranteed = catalog.workspaces.iter().filter(|w| w.guaranteed > 0);
        let mut spare: Vec<(WorkspaceId, u64)> =
            guaranteed.map(|w| (w.name.clone(), w.guaranteed * GUARANTEE_MARGIN)).collect();
        for job in self.jobs.iter().filter(|j| !j.is_over()) {
            let Some(workspace) = &job.state.workspace else { continue };
            if job.queue(ctx.catalog).priority == 0
                && let Ok(at) = spare.binary_search_by(|(name, _)| name.cmp(workspace))
            {
                let need = super::units::max_accelerators(job);
                spare[at].1 = spare[at].1.saturating_sub(need);
            }
        }
        spare
    }
}

fn demand(
    step: &Step,
    expected: Span,
    tasks: usize,
    pool: usize,
    ceiling: Option<usize>,
) -> Demand {
    let length = expected.min(RUN_TIME_MAX);
    Demand { pool, ceiling, need: step.need, tasks: tasks as u64, gang: step.gang, length }
}

/// Returns the place in the order of a step that comes in now and is in time.
fn new_rank(priority: u32, cost: f64, now: Moment) -> Rank {
    let (allowed, needed) = (Span::ZERO, Span::ZERO);
    let input = RankInput { guaranteed: false, priority, due: now, allowed, needed, cost };
    rank(&input, now)
}

fn ceiling_of(workspace: &Workspace) -> Ceiling {
    workspace.allotment.unwrap_or_default().ceiling
}

fn has_ceiling(workspace: &Workspace) -> bool {
    ceiling_of(workspace) != Ceiling::default()
}

/// Returns true if the configuration gives the workspace a weight or a ceiling.
fn is_limited(workspace: &Workspace) -> bool {
    has_ceiling(workspace) || workspace.allotment.is_some_and(|a| a.weight.is_some())
}
