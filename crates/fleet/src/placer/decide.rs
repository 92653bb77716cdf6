//! From what waits and what is free to starts and stops.

use crate::ids::{JobId, Run, TaskId};
use crate::model::{Resources, Step};
use crate::plan::{Haste, Room, place_gang, place_singles};

use super::field::{Field, Place, Shape};
use super::pace::WorkerPace;
use super::units::Unit;
use super::worker::{Phase, Slot};
use super::{Placer, Scene};

/// Time for which a task waits for its data's rack, as a share of what it would lose elsewhere.
const RACK_PATIENCE: f64 = 0.25;

/// A worker chosen for each task.
pub(super) type Choice = Vec<(u32, usize)>;

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

    /// Chooses workers with free room; for a gang all of them or none.
    fn find_room(&self, unit: &Unit, shape: &Shape, field: &mut Field) -> Vec<usize> {
        let (rooms, racks) = field.rooms_for(shape, |at| self.fits(at, shape));
        self.count_siblings(unit, &shape.step, rooms);
        let count = unit.waiting.len();
        let urgent = unit.guaranteed || unit.priority == 0;
        let haste = if urgent { Haste::Urgent } else { Haste::Patient };
        if shape.step.gang {
            // No choice of workers is no room, which the caller sees by its length.
            place_gang(rooms, racks, &shape.step, count, haste).unwrap_or_default()
        } else {
            place_singles(rooms, &shape.step, count, shape.anywhere, haste)
        }
    }

    /// Counts the tasks of the same step on each worker, where the step limits them.
    pub(super) fn count_siblings(&self, unit: &Unit, step: &Step, rooms: &mut [Room]) {
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
    pub(super) fn fits(&self, at: usize, shape: &Shape) -> bool {
        self.workers[at].entry.as_ref().is_some_and(|entry| {
            let labelled = shape.step.label.as_ref().is_none_or(|l| entry.labels.contains(l));
            entry.endpoint == shape.endpoint && labelled
        })
    }

    /// Plans the starts of a choice as part of the next record of the job.
    pub(super) fn commit_choice(
        &mut self,
        scene: &Scene<'_>,
        any: &TaskId,
        choice: &Choice,
        why: &str,
    ) {
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
