//! Applies the release note and the workers' descriptions: which guarantees are in force, and on
//! which workers they are bound.

use crate::error::{Code, Error};
use crate::ids::WorkerId;
use crate::job::{Adjacency, Shape, TaskPlace};
use crate::note::{DomainShare, Service};
use crate::sched::Scheduler;
use crate::sched::event::{StopReason, UsageReport, WorkerInfo};
use crate::sched::fit::{self, Place};
use crate::sched::fleet::{Fleet, View, WorkerIx};
use crate::sched::guarantee::{GuaranteeIx, Guarantees, is_single_worker};
use crate::sched::jobs::{JobIx, Phase};
use crate::sched::spaces::{WorkspaceIx, Workspaces};
use crate::units::AcceleratorSet;

/// Maximum number of degraded guarantees that one decision tries to bind.
const REPAIRS_PER_DECISION_MAX: usize = 16;

impl Scheduler {
    pub(super) fn on_share(&mut self, share: DomainShare) {
        if self.share.as_ref().is_some_and(|old| old.version > share.version) {
            return;
        }
        for space in self.spaces.iter_mut() {
            space.known = false;
        }
        let mut wanted: Vec<(WorkspaceIx, Shape, u16)> = Vec::new();
        for workspace in &share.workspaces {
            let ix = self.spaces.intern(&workspace.id);
            let space = self.spaces.get_mut(ix);
            space.known = true;
            space.queue_limit = workspace.queue;
            let valid = workspace.guarantees.iter().filter(|(shape, _)| shape.check().is_ok());
            for (shape, count) in valid {
                match wanted.iter_mut().find(|w| (w.0, w.1) == (ix, *shape)) {
                    Some(w) => w.2 += count,
                    None => wanted.push((ix, *shape, *count)),
                }
            }
        }
        wanted.sort_unstable();
        self.withdraw(&wanted);
        self.grant(&wanted);
        let was_out = self.out_of_service();
        let out = share.service == Service::Out;
        self.share = Some(share);
        self.freed = true;
        if out && !was_out {
            self.evacuate();
        }
    }

    /// Removes the guarantees beyond the wanted counts, unused ones first.
    fn withdraw(&mut self, wanted: &[(WorkspaceIx, Shape, u16)]) {
        let mut surplus = Vec::new();
        for group in &self.guarantees.groups {
            let found = wanted.binary_search_by_key(&(group.space, group.shape), |w| (w.0, w.1));
            let keep = found.map_or(0, |i| wanted[i].2 as usize);
            let mut members = group.members.clone();
            members.sort_by_key(|ix| self.guarantees.get(*ix).is_unused());
            surplus.extend(members.split_off(keep.min(members.len())));
        }
        for ix in surplus {
            let mut users: Vec<_> =
                self.guarantees.get(ix).bindings.iter().filter_map(|b| b.user).collect();
            users.sort_unstable();
            users.dedup();
            for user in users {
                self.demote_to_borrower(user);
            }
            self.guarantees.remove(ix, &mut self.fleet);
        }
    }

    /// Adds guarantees up to the wanted counts and binds the largest first.
    fn grant(&mut self, wanted: &[(WorkspaceIx, Shape, u16)]) {
        for (space, shape, count) in wanted {
            let existing = self.guarantees.group(*space, *shape).map_or(0, |g| g.members.len());
            for _ in existing..*count as usize {
                self.guarantees.add(*space, *shape);
            }
        }
        let degraded = self.guarantees.degraded.clone();
        bind_all(&mut self.guarantees, degraded, &mut self.fleet);
    }

    /// Lets a job continue outside of its guarantee, which becomes unused.
    pub(super) fn demote_to_borrower(&mut self, user: JobIx) {
        let job = self.jobs.get_mut(user);
        if job.phase == Phase::Claiming {
            let reason = job.reason.clone();
            return self.requeue(user, reason);
        }
        let Some(guarantee) = job.guarantee.take() else { return };
        let preemptible = job.preemptible();
        job.pinned = !preemptible;
        let total = job.spec.shape.total();
        self.spaces.get_mut(job.space).borrowed += total;
        let mut workers: Vec<_> = job.places.iter().map(|p| p.worker).collect();
        workers.sort_unstable();
        workers.dedup();
        for worker in &workers {
            self.fleet.set_pinned(*worker, user, false);
        }
        self.guarantees.end_use(guarantee, user, &mut self.fleet);
        if preemptible {
            return;
        }
        self.guarantees.unbind(guarantee, &mut self.fleet);
        for worker in &workers {
            self.fleet.set_pinned(*worker, user, true);
        }
    }

    /// Binds degraded guarantees to freed accelerators. One that still finds none moves to the end
    /// of the list, so that all get a turn.
    pub(super) fn repair(&mut self) {
        for ix in self
            .guarantees
            .degraded
            .iter()
            .take(REPAIRS_PER_DECISION_MAX)
            .copied()
            .collect::<Vec<_>>()
        {
            if !self.guarantees.repair(ix, &mut self.fleet) {
                self.guarantees.degraded.retain(|other| *other != ix);
                self.guarantees.degraded.push(ix);
            }
        }
    }

    pub(super) fn on_worker(&mut self, info: WorkerInfo) {
        let known = self.fleet.find(&info.id);
        if known.is_some_and(|ix| self.fleet.worker(ix).info == info) {
            return;
        }
        let must_unbind = known.is_some_and(|ix| {
            let old = &self.fleet.worker(ix).info;
            old.rack != info.rack || old.accelerators != info.accelerators || old.slots > info.slots
        });
        if let Some(ix) = known.filter(|_| must_unbind) {
            self.unbind_worker(ix);
        }
        let leaving = info.leaving;
        let ix = self.fleet.upsert(info);
        if leaving {
            self.unbind_worker(ix);
        }
        self.feasible.retain(|(_, fits)| *fits);
        self.freed = true;
        if known.is_none() {
            for job in std::mem::take(&mut self.unresolved) {
                self.allocate_adopted(job);
                self.adopt_into_guarantee(job);
            }
        }
    }

    /// Moves guarantees and claims off a worker that is leaving, lost, changed, quarantined or not
    /// answering.
    pub(super) fn unbind_worker(&mut self, ix: WorkerIx) {
        let claims = self.claims.iter().copied().chain(self.drains.iter().map(|d| d.owner));
        let affected: Vec<_> = claims
            .filter(|job| self.jobs.get(*job).places.iter().any(|p| p.worker == ix))
            .collect();
        for job in affected {
            let reason = self.jobs.get(job).reason.clone();
            self.requeue(job, reason);
        }
        self.guarantees.unbind_worker(ix, &mut self.fleet);
        self.freed = true;
    }

    pub(super) fn on_worker_lost(&mut self, id: &WorkerId) {
        self.on_unresolved_worker_lost(id);
        let Some(ix) = self.fleet.find(id) else { return };
        self.fleet.set_leaving(ix);
        self.unbind_worker(ix);
        let mut jobs: Vec<_> = self.fleet.worker(ix).allocations.iter().map(|a| a.job).collect();
        jobs.sort_unstable();
        jobs.dedup();
        for job in jobs {
            self.handle_lost_worker(job, ix);
        }
        self.guarantees.unbind_worker(ix, &mut self.fleet);
        self.fleet.remove(ix);
        self.feasible.retain(|(_, fits)| *fits);
        self.last_loss = Some(self.now);
        self.freed = true;
    }

    /// Handles adopted jobs with tasks on a worker that was lost before its description arrived.
    fn on_unresolved_worker_lost(&mut self, id: &WorkerId) {
        let on_it = |task: &TaskPlace| task.worker == *id;
        for ix in self.unresolved.clone() {
            let job = self.jobs.get_mut(ix);
            if !job.unresolved.iter().any(on_it) {
                continue;
            }
            let all_lost = job.places.is_empty() && job.unresolved.iter().all(on_it);
            job.unresolved.retain(|task| !on_it(task));
            self.handle_lost_tasks(ix, all_lost);
        }
    }

    pub(super) fn on_usage(&mut self, reports: &[UsageReport]) {
        for report in reports {
            let Some(ix) = self.fleet.find(&report.worker) else { continue };
            let observed = self.now - report.age;
            self.freed |= self.fleet.apply_report(ix, report.busy, observed);
        }
    }

    /// Ends all claims on a worker and releases the bindings that overlap `set`, because adopted work
    /// that is pinned, or is about to be, was found there.
    pub(super) fn unbind_overlapping(&mut self, worker: WorkerIx, set: AcceleratorSet) {
        let claims: Vec<_> = self
            .claims
            .iter()
            .copied()
            .filter(|job| self.jobs.get(*job).places.iter().any(|p| p.worker == worker))
            .collect();
        for job in claims {
            let reason = self.jobs.get(job).reason.clone();
            self.requeue(job, reason);
        }
        self.guarantees.unbind_overlapping(worker, set, &mut self.fleet);
        self.freed = true;
    }

    /// Runs an adopted job within a guarantee of its workspace if one of its shape is unused.
    pub(super) fn adopt_into_guarantee(&mut self, ix: JobIx) {
        let job = self.jobs.get(ix);
        let shape = job.spec.shape;
        let total: u32 = job.places.iter().map(|p| p.set.len()).sum();
        let whole = job.unresolved.is_empty()
            && job.places.len() == usize::from(shape.tasks)
            && total == shape.total();
        if job.guarantee.is_some() || !whole {
            return;
        }
        let Some(group) = self.guarantees.group(job.space, shape) else { return };
        let unused = group.members.iter().find(|ix| self.guarantees.get(**ix).is_unused());
        let Some(guarantee) = unused.copied() else { return };
        self.bind_adopted(ix, guarantee);
    }

    fn bind_adopted(&mut self, ix: JobIx, guarantee: GuaranteeIx) {
        let job = self.jobs.get(ix);
        let shape = job.spec.shape;
        let (pinned, space) = (job.pinned, job.space);
        let mut blocks = job.places.clone();
        if is_single_worker(shape) {
            let set = blocks.iter().fold(AcceleratorSet::EMPTY, |sum, p| sum.union(p.set));
            if blocks.iter().any(|p| p.worker != blocks[0].worker) {
                return;
            }
            blocks = vec![Place { worker: blocks[0].worker, set, tasks: shape.tasks }];
        }
        self.guarantees.unbind(guarantee, &mut self.fleet);
        for block in &blocks {
            self.unbind_overlapping(block.worker, block.set);
            if pinned {
                self.fleet.set_pinned(block.worker, ix, false);
            }
        }
        self.guarantees.bind(guarantee, &blocks, &mut self.fleet);
        for (i, block) in blocks.iter().enumerate() {
            self.guarantees.get_mut(guarantee).bindings[i].user = Some(ix);
            self.guarantees.begin_use(guarantee, i, block.set, block.tasks, &mut self.fleet);
        }
        for block in &blocks {
            self.fleet.set_pinned(block.worker, ix, true);
        }
        let job = self.jobs.get_mut(ix);
        job.pinned = true;
        job.guarantee = Some(guarantee);
        self.spaces.get_mut(space).borrowed -= shape.total();
    }

    /// Moves all jobs out of a failure domain that has gone out of service.
    fn evacuate(&mut self) {
        let jobs: Vec<_> = self.jobs.iter().map(|(ix, _)| ix).collect();
        for ix in jobs {
            self.evacuate_job(ix);
        }
    }

    /// Hands over a waiting job, and stops a running one if another domain may run it again.
    pub(super) fn evacuate_job(&mut self, ix: JobIx) {
        let job = self.jobs.get(ix);
        match job.phase {
            Phase::Waiting | Phase::Delayed(_) | Phase::Claiming => {
                self.dequeue(ix);
                self.release_block(ix);
                self.hand_over_dequeued(ix);
            }
            Phase::Starting | Phase::Running if job.retryable() => {
                self.stop(ix, StopReason::DomainLeaves);
            }
            Phase::Starting | Phase::Running | Phase::Stopping(..) => {}
        }
    }

    /// Checks that the hardware, with nothing running on it, can hold all guarantees of `share`.
    /// Binds them with the scheduler's own search; [`DomainShare::check_fit`] answers the same
    /// question without a scheduler.
    ///
    /// # Errors
    ///
    /// [`Code::NoteUnfit`] with the guarantee that does not fit and the hardware that it lacks.
    pub fn fits(&self, share: &DomainShare) -> Result<(), Error> {
        let mut fleet = Fleet::default();
        for ix in self.fleet.present().filter(|ix| self.fleet.worker(*ix).is_healthy()) {
            fleet.upsert(self.fleet.worker(ix).info.clone());
        }
        let mut guarantees = Guarantees::default();
        let mut spaces = Workspaces::default();
        for workspace in &share.workspaces {
            let space = spaces.intern(&workspace.id);
            for (shape, count) in &workspace.guarantees {
                shape.check()?;
                for _ in 0..*count {
                    guarantees.add(space, *shape);
                }
            }
        }
        let degraded = guarantees.degraded.clone();
        bind_all(&mut guarantees, degraded, &mut fleet);
        let Some(first) = guarantees.degraded.first() else { return Ok(()) };
        let missing = guarantees.get(*first);
        let (shape, id) = (missing.shape, &spaces.get(missing.space).id);
        let group = guarantees.group(missing.space, shape).expect("each guarantee is in a group");
        let unbound = group.members.iter().filter(|ix| !guarantees.get(**ix).is_bound()).count();
        let text = format!(
            "{unbound} of {} shapes {shape} of workspace {id} find no {} in failure domain {}",
            group.members.len(),
            required_hardware(shape),
            share.domain,
        );
        Err(Error::new(Code::NoteUnfit, text))
    }
}

/// Describes the hardware that a shape needs.
pub(super) fn required_hardware(shape: Shape) -> String {
    match shape.adjacency {
        Adjacency::Rack if shape.tasks > 1 => {
            format!("rack with {} free blocks of {}", shape.tasks, shape.accelerators)
        }
        Adjacency::Worker => format!("worker with a free block of {}", shape.total()),
        Adjacency::Rack | Adjacency::Domain => {
            format!("{} free blocks of {}", shape.tasks, shape.accelerators)
        }
    }
}

/// Binds degraded guarantees, the most demanding first.
pub(super) fn bind_all(
    guarantees: &mut Guarantees,
    mut degraded: Vec<GuaranteeIx>,
    fleet: &mut Fleet,
) {
    degraded.sort_by_key(|ix| {
        let shape = guarantees.get(*ix).shape;
        let block =
            if is_single_worker(shape) { shape.total() } else { u32::from(shape.accelerators) };
        std::cmp::Reverse((shape.adjacency != Adjacency::Domain, block, shape.total()))
    });
    for ix in degraded {
        if guarantees.get(ix).is_unused() {
            if let Some(places) =
                fit::find_segregated(fleet, View::Bindable, guarantees.get(ix).shape, &[], false)
            {
                guarantees.unbind(ix, fleet);
                guarantees.bind(ix, &places, fleet);
            }
        } else {
            guarantees.repair(ix, fleet);
        }
    }
}
