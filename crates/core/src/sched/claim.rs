//! Gives jobs the guaranteed block of their workspace: at once if it is free, otherwise by
//! preempting the jobs that borrow it.

use crate::job::Urgency;
use crate::sched::Scheduler;
use crate::sched::event::{Action, StopReason};
use crate::sched::fit::{self, Place, pick_run};
use crate::sched::fleet::{View, WorkerIx};
use crate::sched::guarantee::{GuaranteeIx, can_contain, is_single_worker};
use crate::sched::jobs::{Job, JobIx, Phase, Reason};
use crate::units::{AcceleratorSet, Moment, Span};

/// Time that a job gets for its checkpoint when it is preempted or moved out of the domain.
const CHECKPOINT_GRACE: Span = Span::from_secs(4);
/// Time after the grace period at which an unanswered stop is sent again.
const STOP_RETRY_DELAY: Span = Span::from_secs(3);
/// Maximum number of guarantees whose blocks are compared for one reclaim.
const SWAP_CANDIDATES_MAX: usize = 64;
/// Maximum number of larger guarantees that are compared for one job.
const LARGER_CANDIDATES_MAX: usize = 16;
/// Run time lost by a stop with a checkpoint, saving and resuming included.
const CHECKPOINT_COST: Span = Span::from_secs(20);

/// The bindings of a guarantee that a job is about to claim.
struct Selection {
    guarantee: GuaranteeIx,
    /// Indices of the bindings, sorted; one for each place.
    bindings: Vec<usize>,
    places: Vec<Place>,
}

impl Scheduler {
    /// Starts a waiting job within its workspace's guarantee, or claims a block for it.
    pub(super) fn try_guaranteed(&mut self, ix: JobIx) -> bool {
        if let Some(guarantee) = self.find_unused_guarantee(ix) {
            return self.claim_guarantee(ix, guarantee);
        }
        self.jobs.get(ix).is_urgent()
            && (self.try_larger_guarantee(ix) || self.displace_own_batch(ix))
    }

    /// Starts a waiting job in part of a larger guarantee of its workspace, or claims that part.
    pub(super) fn try_larger_guarantee(&mut self, ix: JobIx) -> bool {
        let selection = self.find_in_larger(ix);
        let found = selection.is_some();
        if let Some(selection) = selection {
            self.claim(ix, selection);
        }
        found
    }

    /// Returns an unused guarantee of exactly the job's shape, preferring one without workers that
    /// the job failed on, then one whose block is free.
    fn find_unused_guarantee(&self, ix: JobIx) -> Option<GuaranteeIx> {
        let job = self.jobs.get(ix);
        let group = self.guarantees.group(job.space, job.spec.shape)?;
        let is_candidate = |ix: &&GuaranteeIx| {
            let guarantee = self.guarantees.get(**ix);
            guarantee.is_unused() && guarantee.is_bound()
        };
        let rank = |ix: &&GuaranteeIx| (self.is_avoided(job, **ix), !self.is_free(**ix));
        group.members.iter().filter(is_candidate).min_by_key(rank).copied()
    }

    /// Returns true if a guarantee's block is on a worker that the job avoids.
    fn is_avoided(&self, job: &Job, ix: GuaranteeIx) -> bool {
        let places = self.guarantees.places(ix);
        places.iter().any(|place| job.avoid.contains(&place.worker))
    }

    /// Returns true if the job's workspace has an unused guarantee of exactly its shape.
    pub(super) fn has_unused_guarantee(&self, ix: JobIx) -> bool {
        self.find_unused_guarantee(ix).is_some()
    }

    /// Returns true if a guarantee's block is free and none of its workers is in backoff.
    fn is_free(&self, ix: GuaranteeIx) -> bool {
        self.guarantees.places(ix).iter().all(|place| self.is_ready(place))
    }

    /// Returns true if a place is free and its worker is not in backoff.
    pub(super) fn is_ready(&self, place: &Place) -> bool {
        let worker = self.fleet.worker(place.worker);
        worker.backoff_until == Moment(0) && worker.is_free(place.set, place.tasks)
    }

    /// Claims an unused guarantee, moved first to the best block for the job. Always returns true.
    fn claim_guarantee(&mut self, ix: JobIx, guarantee: GuaranteeIx) -> bool {
        let mut guarantee = guarantee;
        let avoided = self.is_avoided(self.jobs.get(ix), guarantee);
        let good = !avoided && self.is_free(guarantee);
        if !good && !self.move_to_free(ix, guarantee) {
            guarantee = self.swap_for_cheapest(ix, guarantee);
            self.move_to_cheaper(ix, guarantee);
        }
        let places = self.guarantees.places(guarantee);
        let bindings = (0..places.len()).collect();
        self.claim(ix, Selection { guarantee, bindings, places });
        true
    }

    /// Moves a guarantee to accelerators that are free and not held or reserved. Keeps its block if
    /// there are none.
    fn move_to_free(&mut self, ix: JobIx, guarantee: GuaranteeIx) -> bool {
        let shape = self.guarantees.get(guarantee).shape;
        let old = self.guarantees.places(guarantee);
        self.guarantees.unbind(guarantee, &mut self.fleet);
        let avoid = &self.jobs.get(ix).avoid;
        let found = fit::find_segregated(&self.fleet, View::NonPreemptible, shape, avoid, false);
        let moved = found.is_some();
        self.guarantees.bind(guarantee, &found.unwrap_or(old), &mut self.fleet);
        moved
    }

    /// Finds the unused guarantee of the job's shape, in any workspace, whose borrowers lose the least
    /// work when they are preempted. Returns it if it belongs to the job's workspace. Otherwise swaps
    /// its block with that of `own` and returns `own`.
    fn swap_for_cheapest(&mut self, ix: JobIx, own: GuaranteeIx) -> GuaranteeIx {
        let job = self.jobs.get(ix);
        let (space, shape) = (job.space, job.spec.shape);
        let avoid = &job.avoid;
        let same_shape = self.guarantees.groups.iter().filter(|g| g.shape == shape);
        let members = same_shape.flat_map(|g| g.members.iter().copied());
        let candidates = members.filter(|ix| {
            let guarantee = self.guarantees.get(*ix);
            guarantee.is_unused() && guarantee.is_bound()
        });
        let cost = |other: &GuaranteeIx| {
            let places = self.guarantees.places(*other);
            let avoided = places.iter().any(|p| avoid.contains(&p.worker));
            (avoided, self.preemption_cost(&places), *other != own)
        };
        let best = candidates.take(SWAP_CANDIDATES_MAX).min_by_key(cost).unwrap_or(own);
        if self.guarantees.get(best).space == space {
            return best;
        }
        self.guarantees.swap(own, best);
        own
    }

    /// Returns the work, in accelerator milliseconds, that is lost by preempting the borrowers of
    /// `places`. Each job's part is multiplied by one more than the number of its preemptions.
    pub(super) fn preemption_cost(&self, places: &[Place]) -> u64 {
        let victims = self.victims(places);
        victims.iter().map(|victim| self.stop_cost(*victim)).sum()
    }

    /// Returns the weighted work that is lost by stopping a job; nothing if it is stopping already.
    pub(super) fn stop_cost(&self, ix: JobIx) -> u64 {
        let job = self.jobs.get(ix);
        if matches!(job.phase, Phase::Stopping(..)) {
            return 0;
        }
        let lost = match job.spec.checkpoint {
            true => job.unsaved_time(self.now).min(CHECKPOINT_COST),
            false => job.unsaved_time(self.now),
        };
        let weight = u64::from(job.preemptions) + 1;
        (lost.0 + 1) * u64::from(job.spec.shape.total().max(1)) * weight
    }

    /// Returns the jobs that must stop before `places` can be used.
    pub(super) fn victims(&self, places: &[Place]) -> Vec<JobIx> {
        let mut victims = Vec::new();
        for place in places {
            let worker = self.fleet.worker(place.worker);
            let overlapping = worker.allocations.iter().filter(|a| a.set.overlaps(place.set));
            victims.extend(overlapping.map(|a| a.job));
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

    /// Adds borrowers of a worker until it has slots for all of `places`: those of the fewest
    /// accelerators first, and of these the cheapest.
    fn add_slot_victims(&self, ix: WorkerIx, places: &[Place], victims: &mut Vec<JobIx>) {
        let worker = self.fleet.worker(ix);
        let wanted: u16 = places.iter().filter(|p| p.worker == ix).map(|p| p.tasks).sum();
        let remaining =
            worker.allocations.iter().filter(|a| !victims.contains(&a.job)).count() as u16;
        let mut missing = (remaining + wanted).saturating_sub(worker.info.slots);
        if missing == 0 {
            return;
        }
        let mut candidates: Vec<_> = worker
            .allocations
            .iter()
            .filter(|a| !a.pinned && !victims.contains(&a.job))
            .map(|a| (a.set.len(), self.stop_cost(a.job), a.job))
            .collect();
        candidates.sort_unstable();
        for (_, _, job) in candidates {
            if missing == 0 {
                return;
            }
            if !victims.contains(&job) {
                victims.push(job);
            }
            missing -= 1;
        }
    }

    /// Finds bindings in a larger guarantee of the workspace that the job can use.
    fn find_in_larger(&self, ix: JobIx) -> Option<Selection> {
        let job = self.jobs.get(ix);
        let shape = job.spec.shape;
        let groups = self.guarantees.of_workspace(job.space).iter();
        let mut groups: Vec<_> = groups.filter(|g| can_contain(g.shape, shape)).collect();
        groups.sort_by_key(|g| g.shape.total());
        let members = groups.iter().flat_map(|g| g.members.iter().copied());
        let selections =
            members.filter_map(|m| self.select_bindings(m, ix)).take(LARGER_CANDIDATES_MAX);
        selections.min_by_key(|s| self.preemption_cost(&s.places))
    }

    fn select_bindings(&self, guarantee: GuaranteeIx, ix: JobIx) -> Option<Selection> {
        let shape = self.jobs.get(ix).spec.shape;
        let single = is_single_worker(shape);
        let (count, tasks) = if single { (1, shape.tasks) } else { (shape.tasks as usize, 1) };
        let size = if single { shape.total() as u8 } else { shape.accelerators };
        let bindings = self.guarantees.get(guarantee).bindings.iter().enumerate();
        let mut candidates: Vec<_> =
            bindings.filter(|(_, b)| b.user.is_none() && b.worker.is_some()).collect();
        if candidates.len() < count {
            return None;
        }
        candidates.sort_by_key(|(_, b)| {
            let place = b.worker.map(|worker| Place { worker, set: b.set, tasks });
            place.is_none_or(|p| !self.is_ready(&p))
        });
        candidates.truncate(count);
        candidates.sort_by_key(|(i, _)| *i);
        let mut selection = Selection { guarantee, bindings: Vec::new(), places: Vec::new() };
        for (i, binding) in candidates {
            let worker = binding.worker?;
            let free = binding.set.difference(self.fleet.worker(worker).busy);
            let set = pick_run(free, size).or_else(|| pick_run(binding.set, size))?;
            selection.bindings.push(i);
            selection.places.push(Place { worker, set, tasks });
        }
        Some(selection)
    }

    /// Gives an urgent job the guarantee that batch work of its own workspace uses. That work
    /// continues as a borrower until its block is reclaimed.
    fn displace_own_batch(&mut self, ix: JobIx) -> bool {
        let job = self.jobs.get(ix);
        let Some(group) = self.guarantees.group(job.space, job.spec.shape) else { return false };
        let batch = |user: JobIx| {
            let user = self.jobs.get(user);
            let runs = matches!(user.phase, Phase::Starting | Phase::Running);
            runs && user.preemptible() && user.spec.urgency == Urgency::Batch
        };
        let found = group.members.iter().copied().find(|m| {
            let guarantee = self.guarantees.get(*m);
            guarantee.is_bound() && guarantee.bindings.iter().all(|b| b.user.is_none_or(batch))
        });
        let Some(guarantee) = found else { return false };
        let mut users: Vec<_> =
            self.guarantees.get(guarantee).bindings.iter().filter_map(|b| b.user).collect();
        users.dedup();
        for user in users {
            self.demote_to_borrower(user);
        }
        if !self.guarantees.get(guarantee).is_bound() {
            return false;
        }
        self.claim_guarantee(ix, guarantee)
    }

    /// Claims the bindings for the job, preempts the jobs on them, and starts the job once they are
    /// free.
    fn claim(&mut self, ix: JobIx, selection: Selection) {
        self.dequeue(ix);
        self.count_waiting(ix, true);
        for binding in &selection.bindings {
            self.guarantees.get_mut(selection.guarantee).bindings[*binding].user = Some(ix);
        }
        for place in &selection.places {
            self.fleet.hold(place, ix, false);
        }
        let victims = self.victims(&selection.places);
        let now = self.now;
        let job = self.jobs.get_mut(ix);
        job.guarantee = Some(selection.guarantee);
        job.places = selection.places;
        job.set_phase(Phase::Claiming, Reason::Reclaiming { victims: victims.len() }, now);
        self.claims.push(ix);
        for victim in victims {
            self.stop(victim, StopReason::Reclaimed);
        }
        self.try_start_claimed(ix);
    }

    /// Starts the jobs whose claimed blocks have become free.
    pub(super) fn start_claimed(&mut self) {
        for ix in self.claims.clone() {
            self.try_start_claimed(ix);
        }
    }

    fn try_start_claimed(&mut self, ix: JobIx) {
        if !self.in_service() {
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
        let guarantee = self.jobs.get(ix).guarantee.expect("each job in `claims` has a guarantee");
        self.claims.retain(|other| *other != ix);
        self.count_waiting(ix, false);
        for place in &places {
            self.fleet.release_hold(place.worker, ix);
        }
        let bindings = self.guarantees.get(guarantee).bindings.iter().enumerate();
        let own: Vec<_> = bindings.filter(|(_, b)| b.user == Some(ix)).map(|(i, _)| i).collect();
        for (binding, place) in own.into_iter().zip(&places) {
            self.guarantees.begin_use(guarantee, binding, place.set, place.tasks, &mut self.fleet);
        }
        self.jobs.get_mut(ix).pinned = true;
        self.start(ix, places, Reason::Guaranteed);
    }

    /// Releases what a job in [`Phase::Claiming`] has claimed, whether a guarantee or a draining
    /// block.
    pub(super) fn drop_claim(&mut self, ix: JobIx) {
        self.claims.retain(|other| *other != ix);
        self.drains.retain(|d| d.owner != ix);
        let job = self.jobs.get_mut(ix);
        let places = std::mem::take(&mut job.places);
        let guarantee = job.guarantee.take();
        for place in &places {
            self.fleet.release_hold(place.worker, ix);
        }
        if let Some(guarantee) = guarantee {
            self.guarantees.end_use(guarantee, ix, &mut self.fleet);
        }
        self.freed = true;
    }

    /// Requests the stop of a live attempt.
    pub(super) fn stop(&mut self, ix: JobIx, reason: StopReason) {
        let now = self.now;
        let job = self.jobs.get_mut(ix);
        let cancelled = matches!(job.phase, Phase::Stopping(StopReason::Cancelled, _));
        let stopping = matches!(job.phase, Phase::Stopping(..));
        if !job.phase.is_live() || cancelled || (stopping && reason != StopReason::Cancelled) {
            return;
        }
        let skip_checkpoint = matches!(reason, StopReason::Cancelled | StopReason::GangIncomplete);
        let grace =
            if job.spec.checkpoint && !skip_checkpoint { CHECKPOINT_GRACE } else { Span::ZERO };
        let retry_at = now + grace + STOP_RETRY_DELAY;
        job.set_phase(Phase::Stopping(reason, retry_at), Reason::Stopping(reason), now);
        let (key, attempt) = (job.spec.key.clone(), job.attempt);
        self.actions.push(Action::Stop { key, attempt, grace, reason });
        if !stopping {
            self.stopping.push(ix);
        }
    }

    /// Sends again the stops that were not answered in time.
    pub(super) fn retry_stops(&mut self) {
        for ix in self.stopping.clone() {
            let job = self.jobs.get_mut(ix);
            let Phase::Stopping(reason, retry_at) = job.phase else { continue };
            if retry_at > self.now {
                continue;
            }
            job.phase = Phase::Stopping(reason, self.now + STOP_RETRY_DELAY);
            let (key, attempt) = (job.spec.key.clone(), job.attempt);
            self.actions.push(Action::Stop { key, attempt, grace: Span::ZERO, reason });
        }
    }
}
