//! Room that is made for work which may displace other work.
//!
//! Load pattern: bursts of urgent gangs on full workers. Runs are stopped for a gang, and a claim keeps
//! what they leave until the gang starts.

use bulrushlink_core::{Moment, Span, WorkerId};

use crate::ids::{JobId, TaskId};
use crate::model::Resources;
use crate::plan::{Eviction, evict};

use super::decide::Choice;
use super::field::{Claimant, Field, Group, Shape, Standing};
use super::units::Unit;
use super::worker::{Phase, Slot};
use super::{Placer, Scene};

/// Accelerators are this many times as dear as cores when the loss of a stop is weighed.
const ACCELERATOR_CORES: f64 = 8.0;
/// How much dearer the loss of urgent work is, which has no time to be done over.
const URGENT_LOSS: f64 = 10.0;
/// Work that any stop costs, in seconds: the stop itself, the wait and the restart.
const RESTART_LOSS_S: f64 = 0.5;
/// A run that is expected to end within this time isn't stopped: a stop takes about as long.
const ENDING_MAX: Span = Span(500);
/// Time for which room is kept for a gang, as a part of the time within which a guaranteed one must
/// begin, so that there is time for another try.
const CLAIM_PART: u64 = 2;

/// Room that runs are being stopped for.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Claim {
    pub(super) job: JobId,
    round: u32,
    step: u16,
    /// Tasks with the worker that each is to go to.
    tasks: Vec<(u32, WorkerId)>,
    made: Moment,
}

impl Claim {
    /// Tells whether the claim is for the step of a task.
    pub(super) fn is_for(&self, task: &TaskId) -> bool {
        (self.job, self.round, self.step) == (task.job, task.round, task.step)
    }
}

impl Placer {
    /// Starts gangs whose room has become free, and keeps the room of the others; tells whether any
    /// has been started.
    pub(super) fn use_claims(&mut self, scene: &mut Scene<'_>, field: &mut Field) -> bool {
        let mut started = false;
        let strays = if self.claims.is_empty() { Vec::new() } else { self.strays() };
        for claim in std::mem::take(&mut self.claims) {
            let Some(choice) = self.claimed(scene, &claim, &strays) else { continue };
            let Ok(j) = self.job_at(claim.job) else { continue };
            let need = self.jobs[j].spec.steps[usize::from(claim.step)].need;
            if field.has_room(&choice, &need) {
                field.use_room(&choice, &need);
                let task =
                    TaskId { job: claim.job, round: claim.round, step: claim.step, index: 0 };
                self.commit_choice(scene, &task, &choice, "room made");
                started = true;
            } else {
                field.claim(choice.iter().map(|(_, at)| *at), &need);
                self.claims.push(claim);
            }
        }
        started
    }

    /// Returns the workers of a claim if it can still be used.
    fn claimed(&self, scene: &Scene<'_>, claim: &Claim, strays: &[TaskId]) -> Option<Choice> {
        let job = &self.jobs[self.job_at(claim.job).ok()?];
        let round = job.round(claim.round)?;
        let record = round.steps.get(usize::from(claim.step))?;
        let mut choice = Vec::new();
        for (index, id) in &claim.tasks {
            let task = record.tasks.get(*index as usize)?;
            let at = self.worker_at(id).ok()?;
            let (job, round, step) = (claim.job, claim.round, claim.step);
            let stray = strays.binary_search(&TaskId { job, round, step, index: *index }).is_ok();
            if task.done || task.place.is_some() || stray || !self.may_start(scene, at) {
                return None;
            }
            choice.push((*index, at));
        }
        Some(choice)
    }

    /// Gives up claims that have taken too long.
    pub(super) fn drop_claims(&mut self, scene: &Scene<'_>) {
        let longest = Span(scene.bounds.reclaim_ms / CLAIM_PART);
        self.claims.retain(|c| scene.clock.now.since(c.made) <= longest);
    }

    /// Gives up the room that is being made for a gang which has found other room meanwhile.
    pub(super) fn drop_claim(&mut self, claim: usize, need: &Resources, field: &mut Field) {
        let claim = self.claims.remove(claim);
        let workers = claim.tasks.iter().filter_map(|(_, id)| self.worker_at(id).ok());
        field.release(workers, need);
    }

    /// Stops other work for a unit that may displace it.
    pub(super) fn make_room(
        &mut self,
        scene: &mut Scene<'_>,
        unit: &Unit,
        shape: &Shape,
        guaranteed: &[JobId],
        field: &mut Field,
    ) {
        let claimant = Claimant { guaranteed: unit.guaranteed, priority: unit.priority };
        if !claimant.may_displace() || field.is_fixed(shape, claimant) {
            return;
        }
        if !field.has_groups() {
            let groups = self.groups(scene, guaranteed);
            field.set_groups(groups);
        }
        let (rooms, racks) = field.rooms_to_make(shape, claimant, |at| self.fits(at, shape));
        self.count_siblings(unit, &shape.step, rooms);
        let Some(Eviction { placed, groups: chosen, cost }) =
            evict(rooms, racks, &shape.step, unit.waiting.len())
        else {
            field.note_fixed(shape, claimant);
            return;
        };
        log::info!(
            event = "room_wanted", job:% = unit.job, step = unit.step, tasks = placed.len(),
            stops = chosen.len(), lost_core_s = cost, guaranteed = unit.guaranteed;
            "other work is stopped"
        );
        for group in chosen {
            let Some((task, run)) = field.give_up(group) else { continue };
            if self.is_gang(&task) {
                self.close_gang(scene, &task, run, "room is made for more urgent work");
            } else {
                self.close(
                    scene,
                    |s| s.task == task && s.run == run,
                    "room is made for more urgent work",
                );
            }
        }
        field.claim(placed.iter().copied(), &shape.step.need);
        let ids = placed.iter().map(|at| self.workers[*at].id().clone());
        let tasks = unit.waiting.iter().copied().zip(ids).collect();
        let (job, round, step) = (unit.job, unit.round, unit.step);
        self.claims.push(Claim { job, round, step, tasks, made: scene.clock.now });
    }

    /// Lists the runs that could be stopped, those of a gang together.
    fn groups(&self, scene: &Scene<'_>, guaranteed: &[JobId]) -> Vec<Group> {
        let now = scene.clock.now;
        let mut groups: Vec<Group> = Vec::new();
        for (at, worker) in self.workers.iter().enumerate() {
            for slot in &worker.slots {
                if matches!(slot.phase, Phase::Planned(_)) {
                    continue;
                }
                let whole = self.is_gang(&slot.task);
                let index = if whole { 0 } else { slot.task.index };
                let key = (TaskId { index, ..slot.task }, slot.run);
                let leaving = matches!(slot.phase, Phase::Closing { .. });
                let found = groups.binary_search_by_key(&key, Group::key);
                let group = match found {
                    Ok(group) => &mut groups[group],
                    Err(group) => {
                        let standing = self.standing(scene, slot, guaranteed);
                        let cost = self.loss(scene, slot, whole);
                        groups.insert(group, Group::new(key, standing, cost));
                        &mut groups[group]
                    }
                };
                let ending = slot.remaining(now).is_some_and(|left| left <= ENDING_MAX);
                group.add(at, slot.need, leaving, ending);
            }
        }
        groups
    }

    /// Tells to whom a run gives way.
    fn standing(&self, scene: &Scene<'_>, slot: &Slot, guaranteed: &[JobId]) -> Standing {
        match self.job_at(slot.task.job) {
            Ok(_) if guaranteed.binary_search(&slot.task.job).is_ok() => Standing::Kept,
            Ok(j) => Standing::Queue(self.jobs[j].queue(scene.catalog).priority),
            Err(_) => Standing::Kept,
        }
    }

    fn is_urgent(&self, scene: &Scene<'_>, id: JobId) -> bool {
        self.job_at(id).is_ok_and(|j| self.jobs[j].queue(scene.catalog).priority == 0)
    }

    /// Estimates the work that is lost if a run is stopped, in core-seconds.
    fn loss(&self, scene: &Scene<'_>, slot: &Slot, whole: bool) -> f64 {
        let now = scene.clock.now;
        let Ok(j) = self.job_at(slot.task.job) else { return 0.0 };
        let Some(step) = self.jobs[j].step(&slot.task) else { return 0.0 };
        let tasks = if whole { step.tasks } else { 1 };
        // A run that saves its progress does so once more when it is stopped.
        let lost = if step.saves { 0.0 } else { now.since(slot.started).secs_f64() };
        let cores = slot.need.cpu as f64 / 1000.0;
        let weight = cores + slot.need.accelerators as f64 * ACCELERATOR_CORES;
        let weight =
            if self.is_urgent(scene, slot.task.job) { weight * URGENT_LOSS } else { weight };
        (lost + RESTART_LOSS_S) * weight * f64::from(tasks)
    }
}
