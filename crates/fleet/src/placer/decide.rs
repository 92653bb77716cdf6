//! From what waits and what is free to starts and stops.

use bulrushlink_core::{Moment, Span, WorkerId, WorkspaceId};

use crate::ids::{JobId, Run, TaskId};
use crate::model::{Resources, Step};
use crate::plan::{Eviction, Haste, Rank, Request, Room, evict, place_gang, place_singles, rank};

use super::field::{Claimant, Field, Group, Place, Shape, Standing};
use super::job::Job;
use super::pace::WorkerPace;
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
/// Time for which a task waits for its data's rack, as a share of what it would lose elsewhere.
const RACK_PATIENCE: f64 = 0.25;

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

/// Tasks of a step that wait to be placed.
#[derive(Clone, Debug)]
struct Unit {
    rank: Rank,
    job: JobId,
    round: u32,
    step: u16,
    waiting: Vec<u32>,
    /// The job is inside its workspace's guarantee.
    guaranteed: bool,
    priority: u32,
    /// A run of the step has failed, so that doubtful workers are left out.
    failed: bool,
}

impl Unit {
    fn task(&self, index: u32) -> TaskId {
        TaskId { job: self.job, round: self.round, step: self.step, index }
    }
}

/// A worker chosen for each task.
type Choice = Vec<(u32, usize)>;

impl Placer {
    /// Tells whether a worker may get a new run now.
    pub(super) fn may_start(&self, scene: &Scene<'_>, at: usize) -> bool {
        let now = scene.clock.now;
        let seen = self.reading.fresh.is_some_and(|f| now.since(f) <= scene.bounds.workers_max());
        let worker = &self.workers[at];
        let domain = worker.entry.as_ref().map(|e| &e.domain);
        let served = domain.is_some_and(|d| scene.evacuated.binary_search(d).is_err());
        seen && served && scene.current && worker.is_open(now)
    }

    /// Places what can be placed; returns how many units waited.
    ///
    /// Load pattern: thousands of tasks wait that there is no room for. Each pass looks at the workers
    /// once, and doesn't try again what a like unit has found no room for.
    pub(super) fn decide(&mut self, scene: &mut Scene<'_>) -> usize {
        if !scene.sure || scene.catalog.is_none() {
            return 0;
        }
        for job in self.jobs.iter_mut().filter(|j| !j.is_over()) {
            job.open_rounds(scene.clock.wall);
        }
        let guaranteed = self.guaranteed_jobs(scene);
        let mut units = self.units(scene, &guaranteed);
        if units.is_empty() && self.claims.is_empty() {
            return 0;
        }
        let mut field = std::mem::take(&mut self.field);
        let usual = WorkerPace::usual(self.workers.iter().map(|w| &w.pace));
        field.begin((0..self.workers.len()).map(|at| self.place(scene, at, usual)));
        if self.use_claims(scene, &mut field) {
            units = self.units(scene, &guaranteed);
        }
        let name = |u: &Unit| (u.job, u.round, u.step);
        units.sort_by(|a, b| a.rank.order(&b.rank).then(name(a).cmp(&name(b))));
        for unit in &units {
            self.place_unit(scene, unit, &guaranteed, &mut field);
        }
        self.field = field;
        units.len()
    }

    /// Returns the jobs inside their workspaces' guarantees, sorted: the oldest ones of priority 0
    /// that fit together.
    fn guaranteed_jobs(&self, scene: &Scene<'_>) -> Vec<JobId> {
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
    fn units(&self, scene: &Scene<'_>, guaranteed: &[JobId]) -> Vec<Unit> {
        let mut units = Vec::new();
        let strays = self.strays();
        for job in self.jobs.iter().filter(|j| !j.is_over() && scene.clock.now >= j.rest) {
            let queue = job.queue(scene.catalog);
            let kept = guaranteed.binary_search(&job.id).is_ok();
            for round in &job.state.rounds {
                for (number, record) in round.steps.iter().enumerate() {
                    let step = &job.spec.steps[number];
                    let after = |s: &u16| round.steps[usize::from(*s)].is_done();
                    if !step.after.iter().all(after) {
                        continue;
                    }
                    let any =
                        TaskId { job: job.id, round: round.round, step: number as u16, index: 0 };
                    let stray = |index| strays.binary_search(&TaskId { index, ..any }).is_ok();
                    let waits = |index: &u32| {
                        let task = &record.tasks[*index as usize];
                        !task.done && task.place.is_none() && !stray(*index)
                    };
                    let waiting: Vec<u32> = (0..step.tasks).filter(waits).collect();
                    let whole = waiting.len() == step.tasks as usize;
                    if waiting.is_empty() || (step.gang && !whole) {
                        continue;
                    }
                    let request = Request {
                        guaranteed: kept,
                        priority: queue.priority,
                        due: job.due(round.round, scene.clock),
                        allowed: job.allowed(queue),
                        needed: job.chain_from(number),
                        cost: step.estimate.secs_f64()
                            * (waiting.len() as u64 * step.need.accelerators) as f64,
                    };
                    units.push(Unit {
                        rank: rank(&request, scene.clock.now),
                        job: job.id,
                        round: round.round,
                        step: number as u16,
                        waiting,
                        guaranteed: kept,
                        priority: queue.priority,
                        failed: record.failures > 0 || record.tasks.iter().any(|t| t.failures > 0),
                    });
                }
            }
        }
        units
    }

    /// Lists the tasks of which a worker still has a run that no record accounts for, sorted. Such a
    /// run has to be gone before the next one starts.
    fn strays(&self) -> Vec<TaskId> {
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

    /// Starts gangs whose room has become free, and keeps the room of the others; tells whether any
    /// has been started.
    fn use_claims(&mut self, scene: &mut Scene<'_>, field: &mut Field) -> bool {
        let mut started = false;
        for claim in std::mem::take(&mut self.claims) {
            let Some(choice) = self.claimed(scene, &claim) else { continue };
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
    fn claimed(&self, scene: &Scene<'_>, claim: &Claim) -> Option<Choice> {
        let job = &self.jobs[self.job_at(claim.job).ok()?];
        let round = job.round(claim.round)?;
        let record = round.steps.get(usize::from(claim.step))?;
        let mut choice = Vec::new();
        for (index, id) in &claim.tasks {
            let task = record.tasks.get(*index as usize)?;
            let at = self.worker_at(id).ok()?;
            if task.done || task.place.is_some() || !self.may_start(scene, at) {
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

    fn place_unit(
        &mut self,
        scene: &mut Scene<'_>,
        unit: &Unit,
        guaranteed: &[JobId],
        field: &mut Field,
    ) {
        let claim = self.claims.iter().position(|c| c.is_for(&unit.task(0)));
        let Ok(j) = self.job_at(unit.job) else { return };
        let job = &self.jobs[j];
        let step = job.spec.steps[usize::from(unit.step)].clone();
        let waited = scene.clock.now.since(job.accepted).millis() as f64;
        let lost = step.estimate.millis() as f64 * (scene.bounds.remote_factor - 1.0);
        let shape = Shape {
            endpoint: job.queue(scene.catalog).endpoint.clone(),
            trusted: unit.failed,
            anywhere: waited > lost * RACK_PATIENCE,
            count: if step.gang { unit.waiting.len() } else { 1 },
            step,
        };
        if !field.is_full(&shape) {
            let placed = self.find_room(unit, &shape, field);
            if placed.len() < unit.waiting.len() {
                field.note_full(&shape);
            }
            if !placed.is_empty() {
                if let Some(claim) = claim {
                    self.drop_claim(claim, &shape.step.need, field);
                }
                let choice: Choice = unit.waiting.iter().copied().zip(placed).collect();
                field.use_room(&choice, &shape.step.need);
                self.commit_choice(scene, &unit.task(0), &choice, "free room");
                return;
            }
        }
        if shape.step.gang && claim.is_none() {
            self.make_room(scene, unit, &shape, guaranteed, field);
        }
    }

    /// Gives up the room that is being made for a gang which has found other room meanwhile.
    fn drop_claim(&mut self, claim: usize, need: &Resources, field: &mut Field) {
        let claim = self.claims.remove(claim);
        let workers = claim.tasks.iter().filter_map(|(_, id)| self.worker_at(id).ok());
        field.release(workers, need);
    }

    /// Chooses workers with free room; for a gang all of them or none.
    fn find_room(&self, unit: &Unit, shape: &Shape, field: &mut Field) -> Vec<usize> {
        let (rooms, racks) = field.rooms_for(shape, |at| self.fits(at, shape));
        self.count_siblings(unit, &shape.step, rooms);
        let count = unit.waiting.len();
        let urgent = unit.guaranteed || unit.priority == 0;
        let haste = if urgent { Haste::Urgent } else { Haste::Patient };
        if shape.step.gang {
            place_gang(rooms, racks, &shape.step, count, haste).unwrap_or_default()
        } else {
            place_singles(rooms, &shape.step, count, shape.anywhere, haste)
        }
    }

    /// Counts the tasks of the same step on each worker, where the step limits them.
    fn count_siblings(&self, unit: &Unit, step: &Step, rooms: &mut [Room]) {
        if step.per_worker.is_none() {
            return;
        }
        let same = |s: &&Slot| {
            let t = &s.task;
            (t.job, t.round, t.step) == (unit.job, unit.round, unit.step)
        };
        for (room, worker) in rooms.iter_mut().zip(&self.workers) {
            room.siblings = worker.slots.iter().filter(same).count() as u32;
        }
    }

    /// Stops other work for a unit that may displace it.
    fn make_room(
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

    /// Shows a worker as it is before anything is decided.
    fn place(&self, scene: &Scene<'_>, at: usize, usual: f64) -> Place<'_> {
        let worker = &self.workers[at];
        let entry = worker.entry.as_ref();
        Place {
            free: worker.free(),
            capacity: entry.map_or(Resources::default(), |e| e.capacity),
            rack: entry.and_then(|e| e.rack.as_ref()),
            doubt: worker.doubt(scene.clock.now),
            band: worker.pace.band(usual),
            open: self.may_start(scene, at),
        }
    }

    /// Tells whether a worker has the endpoint and the label that a shape wants.
    fn fits(&self, at: usize, shape: &Shape) -> bool {
        self.workers[at].entry.as_ref().is_some_and(|entry| {
            let labelled = shape.step.label.as_ref().is_none_or(|l| entry.labels.contains(l));
            entry.endpoint == shape.endpoint && labelled
        })
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

    /// Plans the starts of a choice as part of the next record of the job.
    fn commit_choice(&mut self, scene: &Scene<'_>, any: &TaskId, choice: &Choice, why: &str) {
        let now = scene.clock.now;
        let Ok(j) = self.job_at(any.job) else { return };
        let Some(step) = self.jobs[j].step(any).cloned() else { return };
        let gang_run = self.jobs[j].next_gang_run(any);
        self.jobs[j].touch();
        let version = self.jobs[j].version;
        let mut places = Vec::new();
        for (index, at) in choice {
            let task = TaskId { index: *index, ..*any };
            let own = self.jobs[j].task(&task).map_or(Run(1), |t| Run(t.run.0 + 1));
            let run = if step.gang { gang_run } else { own };
            let worker = &mut self.workers[*at];
            // Nothing later looks at the room again, so that a wrong plan must end here.
            assert!(worker.free().holds(&step.need), "{} has no room for {task}", worker.boot);
            // The percentage of a run that goes on from saved progress tells nothing of its rate.
            let fresh = self.jobs[j].task(&task).is_some_and(|t| t.saved.is_empty());
            self.jobs[j].plan(&task, run, worker.boot.clone());
            worker.add(Slot {
                task,
                run,
                need: step.need,
                phase: Phase::Planned(version),
                since: now,
                started: now,
                saved_at: now,
                saved: String::new(),
                percent: 0,
                moved: now,
                fresh,
                telling: fresh,
            });
            places.push(format!("{index}:{}", worker.id()));
        }
        let job = &self.jobs[j];
        log::info!(
            event = "placed", job:% = any.job, queue:% = job.accepted_queue.name, round = any.round, step = any.step,
            run = if step.gang { gang_run.0 } else { 0 }, waited_ms = now.since(job.accepted).millis(),
            epoch:% = self.epoch(), catalog = scene.catalog.map_or(0, |c| c.version),
            workers_age_ms = self.reading.fresh.map_or(0, |f| now.since(f).millis()), places:% = places.join(","); "{why}"
        );
    }
}

/// Returns the accelerators that a job takes at most.
fn accelerators(job: &Job) -> u64 {
    job.spec.steps.iter().map(|s| u64::from(s.tasks) * s.need.accelerators).sum()
}
