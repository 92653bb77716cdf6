//! Memory that accepted jobs take as they progress: rounds that are due, and runs on workers.
//!
//! What a job takes while it waits is counted when it is accepted. The rest is counted here as it grows. Rounds are
//! opened, and runs are planned, only as far as there is memory for them; a job always has one open round, so
//! none waits for good.

use crate::ids::JobId;
use crate::model::JobSpec;

use super::units::Unit;
use super::worker::Phase;
use super::{Context, Placer};

/// Memory of a run on a worker, in bytes.
const RUN_BYTES: u64 = 256;
/// Memory of a start in flight besides its text, in bytes: the call, its request and its connection.
const START_BYTES: u64 = 4_096;
/// A start in flight holds its text in the call and in the encoded request.
const TEXT_COPIES: u64 = 2;
/// Share of the memory of jobs that runs may take even if jobs take all of it, as a divisor.
pub(crate) const RUNS_DIVISOR: u64 = 8;
/// Share of the memory of jobs that only runs of guaranteed jobs may take, as a divisor.
const GUARANTEED_RUNS_DIVISOR: u64 = 32;
/// Share of the memory of jobs up to which rounds are opened beyond the first one of each job; below the share
/// from which on large jobs are refused, so that rounds don't keep other jobs out.
const ROUNDS_SHARE: f64 = 0.4;
/// The same for jobs of priority 0; below the share from which on all jobs are refused.
const URGENT_ROUNDS_SHARE: f64 = 0.8;

/// Memory that is left for runs in a placement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RunBudget {
    left: u64,
    /// The part of it that is kept for guaranteed jobs.
    reserved: u64,
    /// No start is in flight.
    idle: bool,
}

impl RunBudget {
    /// Returns how many of `wanted` starts of a unit may be planned. A gang starts as a whole; if only its runs, but not
    /// its starts in flight, fit into the memory that is left, it starts while no other start is in flight.
    pub(super) fn allowed(&self, spec: &JobSpec, unit: &Unit, wanted: usize) -> usize {
        let reserved = if unit.guaranteed { 0 } else { self.reserved };
        let left = self.left.saturating_sub(reserved);
        let fits = |bytes: u64| usize::try_from(left / bytes).unwrap_or(usize::MAX);
        let starts = fits(start_bytes(spec));
        let gang = spec.steps.get(usize::from(unit.step)).is_some_and(|s| s.gang);
        match gang {
            _ if starts >= wanted => wanted,
            true if self.idle && fits(RUN_BYTES) >= wanted => wanted,
            true => 0,
            false => starts,
        }
    }

    /// Takes the memory of starts that are planned.
    pub(super) fn take(&mut self, spec: &JobSpec, starts: usize) {
        self.left = self.left.saturating_sub(start_bytes(spec).saturating_mul(starts as u64));
        self.idle &= starts == 0;
    }
}

/// Returns the memory of a run of a job whose start is in flight, in bytes.
fn start_bytes(spec: &JobSpec) -> u64 {
    RUN_BYTES + START_BYTES + TEXT_COPIES * spec.text.len() as u64
}

impl Placer {
    /// Opens the rounds that are due.
    ///
    /// Load pattern: hundreds of jobs have thousands of rounds each that are all due.
    pub(super) fn open_due_rounds(&mut self, ctx: &Context<'_>) {
        let mut extra: u64 = self.jobs.iter().map(super::Job::extra_memory).sum();
        let base = self.jobs.bytes();
        for job in self.jobs.iter_mut().filter(|j| !j.is_over()) {
            let urgent = job.queue(ctx.catalog).priority == 0;
            let share = if urgent { URGENT_ROUNDS_SHARE } else { ROUNDS_SHARE };
            let room = ((ctx.job_memory as f64 * share) as u64).saturating_sub(base + extra);
            let before = job.extra_memory();
            job.open_rounds(ctx.clock.wall, room);
            extra = extra + job.extra_memory() - before;
        }
        self.extra_memory = extra;
    }

    /// Returns the memory of the accepted jobs and their runs, in bytes.
    pub(super) fn held_memory(&self) -> u64 {
        self.jobs.bytes() + self.extra_memory + self.run_count() * RUN_BYTES
    }

    fn run_count(&self) -> u64 {
        self.workers.iter().map(|w| w.slots.len() as u64).sum()
    }

    /// Returns the memory that is left for runs.
    ///
    /// Load pattern: jobs of thousands of tasks that need hardly anything, so that all of them fit at once.
    pub(super) fn run_budget(&mut self, ctx: &Context<'_>) -> RunBudget {
        let (mut in_flight, mut starts) = (0, 0);
        // The starts of one job are next to each other.
        let mut last: Option<(JobId, u64)> = None;
        for worker in &mut self.workers {
            if !worker.slots.may_be_starting() {
                continue;
            }
            for slot in worker.slots.iter() {
                if !matches!(slot.phase, Phase::Planned(_) | Phase::Starting) {
                    continue;
                }
                let bytes = match last {
                    Some((job, bytes)) if job == slot.task.job => bytes,
                    _ => self
                        .jobs
                        .position(slot.task.job)
                        .map_or(START_BYTES, |at| start_bytes(&self.jobs[at].spec) - RUN_BYTES),
                };
                last = Some((slot.task.job, bytes));
                in_flight += bytes;
                starts += 1;
            }
        }
        let runs = self.run_count() * RUN_BYTES + in_flight;
        let jobs = self.jobs.bytes() + self.extra_memory;
        let left = ctx.job_memory.saturating_sub(jobs + runs);
        let least = (ctx.job_memory / RUNS_DIVISOR).saturating_sub(runs);
        let reserved = ctx.job_memory / GUARANTEED_RUNS_DIVISOR;
        RunBudget { left: left.max(least), reserved, idle: starts == 0 }
    }
}
