//! What waits to be placed, and what is inside a workspace's guarantee.

use bulrushlink_core::WorkspaceId;

use crate::ids::{JobId, TaskId};
use crate::plan::{Rank, Request, rank};
use crate::record::RoundRecord;

use super::job::Job;
use super::worker::Phase;
use super::{Placer, Scene};

/// Tasks of a step that wait to be placed.
#[derive(Clone, Debug)]
pub(super) struct Unit {
    pub(super) rank: Rank,
    pub(super) job: JobId,
    pub(super) round: u32,
    pub(super) step: u16,
    pub(super) waiting: Vec<u32>,
    /// The job is inside its workspace's guarantee.
    pub(super) guaranteed: bool,
    pub(super) priority: u32,
    /// A run of the step has failed, so that doubtful workers are left out.
    pub(super) failed: bool,
}

impl Unit {
    pub(super) fn task(&self, index: u32) -> TaskId {
        TaskId { job: self.job, round: self.round, step: self.step, index }
    }
}

impl Placer {
    /// Returns the jobs inside their workspaces' guarantees, sorted: the oldest ones of priority 0
    /// that fit together.
    pub(super) fn guaranteed_jobs(&self, scene: &Scene<'_>) -> Vec<JobId> {
        let Some(catalog) = scene.catalog else { return Vec::new() };
        let mut left: Vec<(&WorkspaceId, u64)> =
            catalog.workspaces.iter().map(|w| (&w.name, w.guaranteed)).collect();
        let urgent = |j: &&Job| !j.is_over() && j.queue(scene.catalog).priority == 0;
        let mut jobs: Vec<&Job> = self.jobs.iter().filter(urgent).collect();
        jobs.sort_by_key(|j| (j.accepted, j.id));
        let mut kept = Vec::new();
        for job in jobs {
            let Some(workspace) = &job.state.workspace else { continue };
            let Ok(at) = left.binary_search_by(|(name, _)| (*name).cmp(workspace)) else {
                continue;
            };
            let need = accelerators(job);
            if need <= left[at].1 {
                left[at].1 -= need;
                kept.push(job.id);
            }
        }
        kept.sort();
        kept
    }

    /// Lists everything that waits and may start.
    pub(super) fn units(&self, scene: &Scene<'_>, guaranteed: &[JobId]) -> Vec<Unit> {
        let mut units = Vec::new();
        let strays = self.strays();
        for job in self.jobs.iter().filter(|j| !j.is_over() && scene.clock.now >= j.rest) {
            let kept = guaranteed.binary_search(&job.id).is_ok();
            for round in &job.state.rounds {
                let steps = 0..round.steps.len();
                units.extend(steps.filter_map(|n| unit(scene, job, round, n, kept, &strays)));
            }
        }
        units
    }

    /// Lists the tasks of which a worker still has a run that no record accounts for, sorted. Such a
    /// run has to be gone before the next one starts.
    pub(super) fn strays(&self) -> Vec<TaskId> {
        let mut strays = Vec::new();
        for worker in &self.workers {
            for slot in worker.slots.iter().filter(|s| matches!(s.phase, Phase::Closing { .. })) {
                let job = self.job_at(slot.task.job).ok().map(|j| &self.jobs[j]);
                let task = job.and_then(|j| j.task(&slot.task));
                if task.is_some_and(|t| t.place.is_none()) {
                    strays.push(slot.task);
                }
            }
        }
        strays.sort_unstable();
        strays
    }
}

/// Returns what waits of a step, if it may start.
fn unit(
    scene: &Scene<'_>,
    job: &Job,
    round: &RoundRecord,
    number: usize,
    kept: bool,
    strays: &[TaskId],
) -> Option<Unit> {
    let (step, record) = (&job.spec.steps[number], &round.steps[number]);
    if !step.after.iter().all(|s| round.steps[usize::from(*s)].is_done()) {
        return None;
    }
    let any = TaskId { job: job.id, round: round.round, step: number as u16, index: 0 };
    let waits = |index: &u32| {
        let task = &record.tasks[*index as usize];
        let stray = || strays.binary_search(&TaskId { index: *index, ..any }).is_ok();
        !task.done && task.place.is_none() && !stray()
    };
    let waiting: Vec<u32> = (0..step.tasks).filter(waits).collect();
    let whole = waiting.len() == step.tasks as usize;
    if waiting.is_empty() || (step.gang && !whole) {
        return None;
    }
    let queue = job.queue(scene.catalog);
    let request = Request {
        guaranteed: kept,
        priority: queue.priority,
        due: job.due(round.round, scene.clock),
        allowed: job.allowed(queue),
        needed: job.chain_from(number),
        cost: step.estimate.secs_f64() * (waiting.len() as u64 * step.need.accelerators) as f64,
    };
    Some(Unit {
        rank: rank(&request, scene.clock.now),
        job: job.id,
        round: round.round,
        step: number as u16,
        waiting,
        guaranteed: kept,
        priority: queue.priority,
        failed: record.failures > 0 || record.tasks.iter().any(|t| t.failures > 0),
    })
}

/// Returns the accelerators that a job takes at most.
fn accelerators(job: &Job) -> u64 {
    job.spec.steps.iter().map(|s| u64::from(s.tasks) * s.need.accelerators).sum()
}
