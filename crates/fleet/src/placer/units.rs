//! Lists what waits to be placed, and which jobs are within the guarantees of their workspaces.

use bulrushlink_core::{Span, WorkspaceId};
use std::cell::OnceCell;

use crate::ids::{JobId, Run, TaskId};
use crate::model::Step;
use crate::plan::{Rank, RankInput, rank};
use crate::record::RoundRecord;

use super::groups::Claimant;
use super::job::Job;
use super::worker::Phase;
use super::{Context, Placer};

/// Number of waiting units at which a placement looks at no further jobs, several times the backlog of
/// deployments of 350 workers on their worst days.
pub(super) const UNITS_MAX: usize = 4_000;
/// The same for units of guaranteed jobs, so that the others get their turn.
const GUARANTEED_UNITS_MAX: usize = 3_000;

/// The tasks of one step that wait to be placed.
#[derive(Clone, Debug)]
pub(super) struct Unit {
    pub(super) rank: Rank,
    /// What the rank was derived from.
    pub(super) input: RankInput,
    /// Expected run time of a task.
    pub(super) expected: Span,
    pub(super) job: JobId,
    pub(super) round: u32,
    pub(super) step: u16,
    /// Indices of the waiting tasks in their step.
    pub(super) waiting: Vec<u32>,
    /// The job is within its workspace's guarantee.
    pub(super) guaranteed: bool,
    pub(super) priority: u32,
    /// A run of the step has failed, so workers with recent faults are excluded.
    pub(super) has_failed: bool,
    /// Workers have crashed under these tasks, or under members of this gang.
    pub(super) suspects: bool,
}

impl Unit {
    /// Compares the order in which two units are placed.
    pub(super) fn compare(&self, other: &Self) -> std::cmp::Ordering {
        let key = |u: &Self| (u.job, u.round, u.step);
        self.rank.compare(&other.rank).then(key(self).cmp(&key(other)))
    }

    pub(super) fn task(&self, index: u32) -> TaskId {
        TaskId { job: self.job, round: self.round, step: self.step, index }
    }

    /// Returns true if the unit is guaranteed or of priority 0.
    pub(super) fn is_urgent(&self) -> bool {
        self.guaranteed || self.priority == 0
    }

    /// Returns on whose behalf runs would be stopped for the unit, apart from the shares of workspaces.
    pub(super) fn claimant(&self) -> Claimant {
        Claimant { guaranteed: self.guaranteed, priority: self.priority, reach: None }
    }
}

impl Placer {
    /// Returns the jobs within the guarantees of their workspaces, sorted: for each workspace the
    /// oldest jobs of priority 0 that together fit into its guarantee.
    pub(super) fn guaranteed_jobs(&self, ctx: &Context<'_>) -> Vec<JobId> {
        let Some(catalog) = ctx.catalog else { return Vec::new() };
        let mut remaining: Vec<(&WorkspaceId, u64)> =
            catalog.workspaces.iter().map(|w| (&w.name, w.guaranteed)).collect();
        let urgent = |j: &&Job| !j.is_over() && j.queue(ctx.catalog).priority == 0;
        let mut jobs: Vec<&Job> = self.jobs.iter().filter(urgent).collect();
        jobs.sort_by_key(|j| (j.accepted, j.id));
        let mut guaranteed = Vec::new();
        for job in jobs {
            let Some(workspace) = &job.state.workspace else { continue };
            let Ok(at) = remaining.binary_search_by(|(name, _)| (*name).cmp(workspace)) else {
                continue;
            };
            let need = max_accelerators(job);
            if need <= remaining[at].1 {
                remaining[at].1 -= need;
                guaranteed.push(job.id);
            }
        }
        guaranteed.sort();
        guaranteed
    }

    /// Lists the units that may start: all of them, or about [`UNITS_MAX`], of other jobs each time.
    ///
    /// Load pattern: as many small jobs wait as there is memory for. A placement that looks at all of them would
    /// take seconds on a weak host, and guaranteed jobs would wait beside idle workers.
    pub(super) fn units(&mut self, ctx: &Context<'_>, guaranteed: &[JobId]) -> Vec<Unit> {
        let postponed = self.postpone_suspects(ctx.clock.now);
        let orphaned_tasks = self.orphaned_tasks();
        let mut units = Vec::new();
        for (wanted, most) in [(true, GUARANTEED_UNITS_MAX), (false, UNITS_MAX)] {
            let mut cursor = self.cursors[usize::from(wanted)];
            let first = self.jobs.position(cursor).unwrap_or_else(|at| at);
            for at in (first..self.jobs.len()).chain(0..first) {
                let job = &self.jobs[at];
                if job.is_over()
                    || ctx.clock.now < job.rest
                    || guaranteed.binary_search(&job.id).is_ok() != wanted
                {
                    continue;
                }
                if units.len() >= most {
                    cursor = job.id;
                    break;
                }
                ctx.activity.work_on(job.id);
                let excluded = (&orphaned_tasks[..], postponed.contains(&job.id));
                self.list_units(ctx, job, wanted, excluded, &mut units);
            }
            self.cursors[usize::from(wanted)] = cursor;
        }
        units
    }

    /// Lists the units of a job that may start, without the suspected ones if these are postponed.
    fn list_units(
        &self,
        ctx: &Context<'_>,
        job: &Job,
        guaranteed: bool,
        (orphaned_tasks, postponed): (&[TaskId], bool),
        units: &mut Vec<Unit>,
    ) {
        let chains = OnceCell::new();
        for round in &job.state.rounds {
            let steps = 0..round.steps.len();
            let waiting = steps.filter_map(|n| {
                let expected = || self.expected_times(ctx, job, &chains, n);
                waiting_unit(ctx, job, (round, n), guaranteed, orphaned_tasks, expected)
            });
            if job.state.crashes.is_empty() {
                units.extend(waiting);
            } else {
                let parts = waiting.flat_map(|unit| split_suspects(job, unit));
                units.extend(parts.filter(|u| !(u.suspects && postponed)));
            }
        }
    }

    /// Returns the expected run time of a step's tasks, and that of the longest chain that begins with the
    /// step. The chains of the job are computed once, in `chains`.
    fn expected_times(
        &self,
        ctx: &Context<'_>,
        job: &Job,
        chains: &OnceCell<Vec<Span>>,
        number: usize,
    ) -> (Span, Span) {
        let expected = |s: &Step| self.expected_work(ctx, job, s);
        let own = expected(&job.spec.steps[number]);
        let chain = match job.spec.steps.len() {
            1 => own,
            _ if !ctx.features.learned_times => job.chains[number],
            _ => chains.get_or_init(|| job.spec.chains(expected))[number],
        };
        (own, chain)
    }

    /// Lists, sorted, the tasks of which a worker still has an orphaned run: one that is being
    /// stopped, while the task's record names no worker. It has to be gone before the next run of
    /// the task starts.
    pub(super) fn orphaned_tasks(&self) -> Vec<TaskId> {
        let mut orphaned_tasks = Vec::new();
        for worker in self.workers.iter().filter(|w| w.slots.may_be_closing()) {
            for slot in worker.slots.iter().filter(|s| matches!(s.phase, Phase::Closing { .. })) {
                let job = self.job_index(slot.task.job).ok().map(|j| &self.jobs[j]);
                let task = job.and_then(|j| j.task(&slot.task));
                if task.is_some_and(|t| t.place.is_none()) {
                    orphaned_tasks.push(slot.task);
                }
            }
        }
        orphaned_tasks.sort_unstable();
        orphaned_tasks
    }
}

/// Returns the waiting tasks of a step, if the step may start; `expected` returns the expected run time
/// of the step's tasks, and that of the longest chain that begins with the step.
fn waiting_unit(
    ctx: &Context<'_>,
    job: &Job,
    (round, number): (&RoundRecord, usize),
    guaranteed: bool,
    orphaned_tasks: &[TaskId],
    expected: impl Fn() -> (Span, Span),
) -> Option<Unit> {
    let (step, record) = (&job.spec.steps[number], &round.steps[number]);
    if record.is_done() || !round.is_open(number, &step.after) {
        return None;
    }
    let any_task = TaskId { job: job.id, round: round.round, step: number as u16, index: 0 };
    let waits = |index: &u32| {
        let task = &record.tasks[*index as usize];
        let orphaned =
            || orphaned_tasks.binary_search(&TaskId { index: *index, ..any_task }).is_ok();
        let early = task.run > Run(0) && job.retries.must_wait(ctx.clock.now);
        !task.done && task.place.is_none() && !early && !orphaned()
    };
    let waiting: Vec<u32> = (0..step.tasks).filter(waits).collect();
    let complete = waiting.len() == step.tasks as usize;
    if waiting.is_empty() || (step.gang && !complete) {
        return None;
    }
    let queue = job.queue(ctx.catalog);
    let (own, needed) = expected();
    let input = RankInput {
        guaranteed,
        priority: queue.priority,
        due: job.due(round.round, ctx.clock),
        allowed: job.allowed_time(queue),
        needed,
        cost: own.secs_f64() * (waiting.len() as u64 * step.need.accelerators) as f64,
    };
    Some(Unit {
        rank: rank(&input, ctx.clock.now),
        input,
        expected: own,
        job: job.id,
        round: round.round,
        step: number as u16,
        waiting,
        guaranteed,
        priority: queue.priority,
        has_failed: record.failures > 0 || record.tasks.iter().any(|t| t.failures > 0),
        suspects: false,
    })
}

/// Separates the suspected tasks of a unit from the others; a gang stays together.
fn split_suspects(job: &Job, unit: Unit) -> Vec<Unit> {
    let gang = job.step(&unit.task(0)).is_some_and(|s| s.gang);
    let (suspects, others): (Vec<u32>, Vec<u32>) =
        unit.waiting.iter().partition(|index| job.is_suspect(&unit.task(**index)));
    if suspects.is_empty() || others.is_empty() || gang {
        return vec![Unit { suspects: !suspects.is_empty(), ..unit }];
    }
    let first = Unit { waiting: suspects, suspects: true, ..unit.clone() };
    vec![first, Unit { waiting: others, ..unit }]
}

/// Returns an upper bound on the accelerators that a job uses at once: the sum over its steps.
pub(super) fn max_accelerators(job: &Job) -> u64 {
    job.spec.steps.iter().map(|s| u64::from(s.tasks) * s.need.accelerators).sum()
}
