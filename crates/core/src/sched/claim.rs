//! Gives guaranteed jobs their block: at once where it is free, else by stopping borrowers.

use crate::job::Urgency;
use crate::sched::Scheduler;
use crate::sched::event::{Action, StopReason};
use crate::sched::fit::{self, Place, pick};
use crate::sched::fleet::{View, WorkerIx};
use crate::sched::guarantee::{InstanceIx, holds, is_block};
use crate::sched::jobs::{Job, JobIx, Phase, Reason};
use crate::units::{AcceleratorSet, Moment, Span};

/// Time that a job gets for its checkpoint when it is stopped for a guarantee.
const CHECKPOINT_GRACE: Span = Span::from_secs(4);
/// Time after the grace at which a stop is asked for again.
const STOP_AGAIN: Span = Span::from_secs(3);
/// Blocks of other guarantees that are weighed for one reclaim.
const SWAPS_MAX: usize = 64;
/// Parts of larger guarantees that are weighed for one job.
const CHOICES_MAX: usize = 16;
/// Run time that a stop with a checkpoint loses, saving and resuming included.
const CHECKPOINT_COST: Span = Span::from_secs(20);

/// Cells of a guarantee that a job is about to use.
struct Choice {
    guarantee: InstanceIx,
    /// Sorted; one for each place.
    cells: Vec<usize>,
    places: Vec<Place>,
}

impl Scheduler {
    /// Starts a waiting job within its workspace's guarantee, or claims a block for it.
    pub(super) fn try_guaranteed(&mut self, ix: JobIx) -> bool {
        if let Some(guarantee) = self.unused(ix) {
            return self.use_whole(ix, guarantee);
        }
        self.jobs.get(ix).is_urgent() && (self.try_part(ix) || self.oust_batch(ix))
    }

    /// Starts a waiting job in a part of a larger guarantee of its workspace, or claims it.
    pub(super) fn try_part(&mut self, ix: JobIx) -> bool {
        let choice = self.part_of_larger(ix);
        let found = choice.is_some();
        if let Some(choice) = choice {
            self.claim(ix, choice);
        }
        found
    }

    /// Finds an unused guarantee of exactly the job's shape, a free one first.
    fn unused(&self, ix: JobIx) -> Option<InstanceIx> {
        let job = self.jobs.get(ix);
        let group = self.guarantees.group(job.space, job.spec.shape)?;
        let open = |ix: &&InstanceIx| {
            let instance = self.guarantees.get(**ix);
            instance.is_unused() && instance.is_bound()
        };
        let rank = |ix: &&InstanceIx| (self.is_avoided(job, **ix), !self.is_free(**ix));
        group.members.iter().filter(open).min_by_key(rank).copied()
    }

    /// Tells whether a guarantee's block is on a worker that a job failed on.
    fn is_avoided(&self, job: &Job, ix: InstanceIx) -> bool {
        let places = self.guarantees.places(ix);
        places.iter().any(|place| job.avoid.contains(&place.worker))
    }

    /// Tells whether the job's workspace holds an unused guarantee of exactly its shape.
    pub(super) fn guarantee_is_open(&self, ix: JobIx) -> bool {
        self.unused(ix).is_some()
    }

    /// Tells whether a guarantee's block is free, on workers that starts are tried on now.
    fn is_free(&self, ix: InstanceIx) -> bool {
        self.guarantees.places(ix).iter().all(|place| self.is_ready(place))
    }

    pub(super) fn is_ready(&self, place: &Place) -> bool {
        let worker = self.fleet.worker(place.worker);
        worker.shunned == Moment(0) && worker.is_free(place.set, place.tasks)
    }

    fn use_whole(&mut self, ix: JobIx, guarantee: InstanceIx) -> bool {
        let mut guarantee = guarantee;
        let avoided = self.is_avoided(self.jobs.get(ix), guarantee);
        let good = !avoided && self.is_free(guarantee);
        if !good && !self.move_to_free(ix, guarantee) {
            guarantee = self.cheapest(ix, guarantee);
            self.move_to_cheaper(ix, guarantee);
        }
        let places = self.guarantees.places(guarantee);
        let cells = (0..places.len()).collect();
        self.claim(ix, Choice { guarantee, cells, places });
        true
    }

    /// Moves a guarantee to accelerators that are free and that nobody holds.
    fn move_to_free(&mut self, ix: JobIx, guarantee: InstanceIx) -> bool {
        let shape = self.guarantees.get(guarantee).shape;
        let old = self.guarantees.places(guarantee);
        self.guarantees.unbind(guarantee, &mut self.fleet);
        let avoid = &self.jobs.get(ix).avoid;
        let found = fit::find_apart(&self.fleet, View::Hard, shape, avoid, false);
        let moved = found.is_some();
        self.guarantees.bind(guarantee, &found.unwrap_or(old), &mut self.fleet);
        moved
    }

    /// Gives the guarantee the block that loses the least work when its borrowers are stopped,
    /// by a swap with another unused guarantee of the shape where that one has it.
    fn cheapest(&mut self, ix: JobIx, own: InstanceIx) -> InstanceIx {
        let job = self.jobs.get(ix);
        let (space, shape) = (job.space, job.spec.shape);
        let avoid = &job.avoid;
        let alike = self.guarantees.groups.iter().filter(|g| g.shape == shape);
        let members = alike.flat_map(|g| g.members.iter().copied());
        let open = members.filter(|ix| {
            let instance = self.guarantees.get(*ix);
            instance.is_unused() && instance.is_bound()
        });
        let cost = |other: &InstanceIx| {
            let places = self.guarantees.places(*other);
            let avoided = places.iter().any(|p| avoid.contains(&p.worker));
            (avoided, self.cost(&places), *other != own)
        };
        let best = open.take(SWAPS_MAX).min_by_key(cost).unwrap_or(own);
        if self.guarantees.get(best).space == space {
            return best;
        }
        self.guarantees.swap(own, best);
        own
    }

    /// Returns the work in accelerator milliseconds that stopping the borrowers of `places` loses,
    /// weighed by how often each was stopped before.
    pub(super) fn cost(&self, places: &[Place]) -> u64 {
        let victims = self.victims(places);
        victims.iter().map(|victim| self.stop_cost(*victim)).sum()
    }

    pub(super) fn stop_cost(&self, ix: JobIx) -> u64 {
        let job = self.jobs.get(ix);
        if matches!(job.phase, Phase::Stopping(..)) {
            return 0;
        }
        let lost = match job.spec.checkpoint {
            true => job.unsaved(self.now).min(CHECKPOINT_COST),
            false => job.unsaved(self.now),
        };
        let before = u64::from(job.moves) + 1;
        (lost.0 + 1) * u64::from(job.spec.shape.total().max(1)) * before
    }

    /// Returns the jobs that have to go before `places` can be used.
    pub(super) fn victims(&self, places: &[Place]) -> Vec<JobIx> {
        let mut victims = Vec::new();
        for place in places {
            let worker = self.fleet.worker(place.worker);
            let hit = worker.seats.iter().filter(|s| s.set.overlaps(place.set));
            victims.extend(hit.map(|s| s.job));
        }
        victims.sort_unstable();
        victims.dedup();
        let mut workers: Vec<_> = places.iter().map(|p| p.worker).collect();
        workers.sort_unstable();
        workers.dedup();
        for worker in workers {
            self.add_slot_victims(worker, places, &mut victims);
        }
        victims
    }

    /// Adds the cheapest borrowers of a worker until it has slots for all of `places`.
    fn add_slot_victims(&self, ix: WorkerIx, places: &[Place], victims: &mut Vec<JobIx>) {
        let worker = self.fleet.worker(ix);
        let wanted: u16 = places.iter().filter(|p| p.worker == ix).map(|p| p.tasks).sum();
        let stay = worker.seats.iter().filter(|s| !victims.contains(&s.job)).count() as u16;
        let mut short = (stay + wanted).saturating_sub(worker.info.slots);
        if short == 0 {
            return;
        }
        let mut open: Vec<_> = worker
            .seats
            .iter()
            .filter(|s| !s.firm && !victims.contains(&s.job))
            .map(|s| (s.set.len(), self.stop_cost(s.job), s.job))
            .collect();
        open.sort_unstable();
        for (_, _, job) in open {
            if short == 0 {
                return;
            }
            if !victims.contains(&job) {
                victims.push(job);
            }
            short -= 1;
        }
    }

    /// Finds cells of a larger guarantee of the workspace for the job.
    fn part_of_larger(&self, ix: JobIx) -> Option<Choice> {
        let job = self.jobs.get(ix);
        let shape = job.spec.shape;
        let groups = self.guarantees.of_space(job.space).iter();
        let mut groups: Vec<_> = groups.filter(|g| holds(g.shape, shape)).collect();
        groups.sort_by_key(|g| g.shape.total());
        let members = groups.iter().flat_map(|g| g.members.iter().copied());
        let choices = members.filter_map(|m| self.choose_cells(m, ix)).take(CHOICES_MAX);
        choices.min_by_key(|c| self.cost(&c.places))
    }

    fn choose_cells(&self, guarantee: InstanceIx, ix: JobIx) -> Option<Choice> {
        let shape = self.jobs.get(ix).spec.shape;
        let block = is_block(shape);
        let (count, tasks) = if block { (1, shape.tasks) } else { (shape.tasks as usize, 1) };
        let size = if block { shape.total() as u8 } else { shape.accelerators };
        let cells = self.guarantees.get(guarantee).cells.iter().enumerate();
        let mut open: Vec<_> =
            cells.filter(|(_, c)| c.user.is_none() && c.worker.is_some()).collect();
        if open.len() < count {
            return None;
        }
        open.sort_by_key(|(_, c)| {
            let place = c.worker.map(|worker| Place { worker, set: c.set, tasks });
            place.is_none_or(|p| !self.is_ready(&p))
        });
        open.truncate(count);
        open.sort_by_key(|(i, _)| *i);
        let mut choice = Choice { guarantee, cells: Vec::new(), places: Vec::new() };
        for (i, cell) in open {
            let worker = cell.worker?;
            let free = cell.set.without(self.fleet.worker(worker).busy);
            let set = pick(free, size).or_else(|| pick(cell.set, size))?;
            choice.cells.push(i);
            choice.places.push(Place { worker, set, tasks });
        }
        Some(choice)
    }

    /// Lets an urgent job have the guarantee that batch work of its own workspace uses; that work
    /// goes on as a borrower until its block is wanted.
    fn oust_batch(&mut self, ix: JobIx) -> bool {
        let job = self.jobs.get(ix);
        let Some(group) = self.guarantees.group(job.space, job.spec.shape) else { return false };
        let batch = |user: JobIx| {
            let user = self.jobs.get(user);
            let runs = matches!(user.phase, Phase::Starting | Phase::Running);
            runs && user.preemptible() && user.spec.urgency == Urgency::Batch
        };
        let found = group.members.iter().copied().find(|m| {
            let instance = self.guarantees.get(*m);
            instance.is_bound() && instance.cells.iter().all(|c| c.user.is_none_or(batch))
        });
        let Some(guarantee) = found else { return false };
        let mut users: Vec<_> =
            self.guarantees.get(guarantee).cells.iter().filter_map(|c| c.user).collect();
        users.dedup();
        for user in users {
            self.demote(user);
        }
        if !self.guarantees.get(guarantee).is_bound() {
            return false;
        }
        self.use_whole(ix, guarantee)
    }

    /// Claims the cells for the job, stops who is in the way, and starts it once they are free.
    fn claim(&mut self, ix: JobIx, choice: Choice) {
        self.unlist(ix);
        self.count_waiting(ix, true);
        for cell in &choice.cells {
            self.guarantees.get_mut(choice.guarantee).cells[*cell].user = Some(ix);
        }
        for place in &choice.places {
            self.fleet.close(place, ix, false);
        }
        let victims = self.victims(&choice.places);
        let now = self.now;
        let job = self.jobs.get_mut(ix);
        job.guarantee = Some(choice.guarantee);
        job.places = choice.places;
        job.enter(Phase::Claiming, Reason::Reclaiming { victims: victims.len() }, now);
        self.claims.push(ix);
        for victim in victims {
            self.stop(victim, StopReason::Reclaimed);
        }
        self.settle_claim(ix);
    }

    /// Starts the jobs whose claimed blocks have become free.
    pub(super) fn settle_claims(&mut self) {
        for ix in self.claims.clone() {
            self.settle_claim(ix);
        }
    }

    fn settle_claim(&mut self, ix: JobIx) {
        if !self.is_in() {
            return;
        }
        let places = self.jobs.get(ix).places.clone();
        let mut free = places.iter().all(|place| self.is_ready(place));
        for place in &places {
            let wanted = places.iter().filter(|p| p.worker == place.worker).map(|p| p.tasks).sum();
            free &= self.fleet.worker(place.worker).is_free(AcceleratorSet::EMPTY, wanted);
        }
        if !free {
            return;
        }
        let guarantee = self.jobs.get(ix).guarantee.expect("a claim is on a guarantee");
        self.claims.retain(|other| *other != ix);
        self.count_waiting(ix, false);
        for place in &places {
            self.fleet.reopen(place.worker, ix);
        }
        let cells = self.guarantees.get(guarantee).cells.iter().enumerate();
        let own: Vec<_> = cells.filter(|(_, c)| c.user == Some(ix)).map(|(i, _)| i).collect();
        for (cell, place) in own.into_iter().zip(&places) {
            self.guarantees.begin_use(guarantee, cell, place.set, place.tasks, &mut self.fleet);
        }
        self.jobs.get_mut(ix).firm = true;
        self.start(ix, places, Reason::Guaranteed);
    }

    /// Gives up what a job in [`Phase::Claiming`] waits for.
    pub(super) fn drop_claim(&mut self, ix: JobIx) {
        self.claims.retain(|other| *other != ix);
        self.drains.retain(|d| d.owner != ix);
        let job = self.jobs.get_mut(ix);
        let places = std::mem::take(&mut job.places);
        let guarantee = job.guarantee.take();
        for place in &places {
            self.fleet.reopen(place.worker, ix);
        }
        if let Some(guarantee) = guarantee {
            self.guarantees.end_use(guarantee, ix, &mut self.fleet);
        }
        self.freed = true;
    }

    /// Asks for the stop of a live attempt.
    pub(super) fn stop(&mut self, ix: JobIx, reason: StopReason) {
        let now = self.now;
        let job = self.jobs.get_mut(ix);
        let cancelled = matches!(job.phase, Phase::Stopping(StopReason::Cancelled, _));
        let stopping = matches!(job.phase, Phase::Stopping(..));
        if !job.phase.is_live() || cancelled || (stopping && reason != StopReason::Cancelled) {
            return;
        }
        let hurry = matches!(reason, StopReason::Cancelled | StopReason::GangIncomplete);
        let grace = if job.spec.checkpoint && !hurry { CHECKPOINT_GRACE } else { Span::ZERO };
        let until = now + grace + STOP_AGAIN;
        job.enter(Phase::Stopping(reason, until), Reason::Stopping(reason), now);
        let (key, attempt) = (job.spec.key.clone(), job.attempt);
        self.actions.push(Action::Stop { key, attempt, grace, reason });
        if !stopping {
            self.stopping.push(ix);
        }
    }

    /// Repeats stops that nobody has answered for too long.
    pub(super) fn stop_again(&mut self) {
        for ix in self.stopping.clone() {
            let job = self.jobs.get_mut(ix);
            let Phase::Stopping(reason, until) = job.phase else { continue };
            if until > self.now {
                continue;
            }
            job.phase = Phase::Stopping(reason, self.now + STOP_AGAIN);
            let (key, attempt) = (job.spec.key.clone(), job.attempt);
            self.actions.push(Action::Stop { key, attempt, grace: Span::ZERO, reason });
        }
    }
}
