//! Follows the release note and the hardware: which guarantees are in force, and on which workers.

use crate::error::{Code, Error};
use crate::ids::WorkerId;
use crate::job::{Adjacency, Shape, TaskPlace};
use crate::note::{DomainShare, Service};
use crate::sched::Scheduler;
use crate::sched::event::{StopReason, UsageReport, WorkerInfo};
use crate::sched::fit::{self, Place};
use crate::sched::fleet::{Fleet, View, WorkerIx};
use crate::sched::guarantee::{Guarantees, InstanceIx, is_block};
use crate::sched::jobs::{JobIx, Phase};
use crate::sched::spaces::{SpaceIx, Spaces};
use crate::units::AcceleratorSet;

/// Broken guarantees that one decision tries to bind anew.
const REPAIRS_MAX: usize = 16;

impl Scheduler {
    pub(super) fn on_share(&mut self, share: DomainShare) {
        if self.share.as_ref().is_some_and(|old| old.version > share.version) {
            return;
        }
        for space in self.spaces.iter_mut() {
            space.known = false;
        }
        let mut wanted: Vec<(SpaceIx, Shape, u16)> = Vec::new();
        for workspace in &share.workspaces {
            let ix = self.spaces.intern(&workspace.id);
            let space = self.spaces.get_mut(ix);
            space.known = true;
            space.queue = workspace.queue;
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
        let was_out = self.is_out();
        let out = share.service == Service::Out;
        self.share = Some(share);
        self.freed = true;
        if out && !was_out {
            self.leave_all();
        }
    }

    /// Takes back guarantees beyond the wanted counts, those without a user first.
    fn withdraw(&mut self, wanted: &[(SpaceIx, Shape, u16)]) {
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
                self.guarantees.get(ix).cells.iter().filter_map(|c| c.user).collect();
            users.sort_unstable();
            users.dedup();
            for user in users {
                self.demote(user);
            }
            self.guarantees.remove(ix, &mut self.fleet);
        }
    }

    /// Adds guarantees up to the wanted counts, and binds the largest first.
    fn grant(&mut self, wanted: &[(SpaceIx, Shape, u16)]) {
        for (space, shape, count) in wanted {
            let have = self.guarantees.group(*space, *shape).map_or(0, |g| g.members.len());
            for _ in have..*count as usize {
                self.guarantees.add(*space, *shape);
            }
        }
        let broken = self.guarantees.broken.clone();
        bind_all(&mut self.guarantees, broken, &mut self.fleet);
    }

    /// Lets a job go on outside of its guarantee, which is unused then.
    pub(super) fn demote(&mut self, user: JobIx) {
        let job = self.jobs.get_mut(user);
        if job.phase == Phase::Claiming {
            let reason = job.reason.clone();
            return self.requeue(user, reason);
        }
        let Some(guarantee) = job.guarantee.take() else { return };
        let preemptible = job.preemptible();
        job.firm = !preemptible;
        let total = job.spec.shape.total();
        self.spaces.get_mut(job.space).borrowed += total;
        let mut workers: Vec<_> = job.places.iter().map(|p| p.worker).collect();
        workers.sort_unstable();
        workers.dedup();
        for worker in &workers {
            self.fleet.set_firm(*worker, user, false);
        }
        self.guarantees.end_use(guarantee, user, &mut self.fleet);
        if preemptible {
            return;
        }
        self.guarantees.unbind(guarantee, &mut self.fleet);
        for worker in &workers {
            self.fleet.set_firm(*worker, user, true);
        }
    }

    /// Binds broken guarantees on what has become free.
    pub(super) fn repair(&mut self) {
        for ix in self.guarantees.broken.iter().take(REPAIRS_MAX).copied().collect::<Vec<_>>() {
            if !self.guarantees.repair(ix, &mut self.fleet) {
                self.guarantees.broken.retain(|other| *other != ix);
                self.guarantees.broken.push(ix);
            }
        }
    }

    pub(super) fn on_worker(&mut self, info: WorkerInfo) {
        let known = self.fleet.find(&info.id);
        if known.is_some_and(|ix| self.fleet.worker(ix).info == info) {
            return;
        }
        let moved = known.is_some_and(|ix| {
            let old = &self.fleet.worker(ix).info;
            old.rack != info.rack || old.accelerators != info.accelerators || old.slots > info.slots
        });
        if let Some(ix) = known.filter(|_| moved) {
            self.give_up(ix);
        }
        let leaving = info.leaving;
        let ix = self.fleet.put(info);
        if leaving {
            self.give_up(ix);
        }
        self.feasible.retain(|(_, fits)| *fits);
        self.freed = true;
        if known.is_none() {
            for job in std::mem::take(&mut self.adrift) {
                self.seat_adopted(job);
                self.protect(job);
            }
        }
    }

    /// Moves guarantees and claims off a worker that can't be counted on.
    pub(super) fn give_up(&mut self, ix: WorkerIx) {
        let claims = self.claims.iter().copied().chain(self.drains.iter().map(|d| d.owner));
        let hit: Vec<_> = claims
            .filter(|job| self.jobs.get(*job).places.iter().any(|p| p.worker == ix))
            .collect();
        for job in hit {
            let reason = self.jobs.get(job).reason.clone();
            self.requeue(job, reason);
        }
        self.guarantees.leave_worker(ix, &mut self.fleet);
        self.freed = true;
    }

    pub(super) fn on_worker_lost(&mut self, id: &WorkerId) {
        self.lose_adrift(id);
        let Some(ix) = self.fleet.find(id) else { return };
        self.fleet.set_leaving(ix);
        self.give_up(ix);
        let mut jobs: Vec<_> = self.fleet.worker(ix).seats.iter().map(|s| s.job).collect();
        jobs.sort_unstable();
        jobs.dedup();
        for job in jobs {
            self.lose_member(job, ix);
        }
        self.guarantees.leave_worker(ix, &mut self.fleet);
        self.fleet.remove(ix);
        self.feasible.retain(|(_, fits)| *fits);
        self.lost = Some(self.now);
        self.freed = true;
    }

    /// Handles adopted jobs with tasks on a worker that is lost before it was known.
    fn lose_adrift(&mut self, id: &WorkerId) {
        let on_it = |task: &TaskPlace| task.worker == *id;
        for ix in self.adrift.clone() {
            let job = self.jobs.get_mut(ix);
            if !job.unseated.iter().any(on_it) {
                continue;
            }
            let alone = job.places.is_empty() && job.unseated.iter().all(on_it);
            job.unseated.retain(|task| !on_it(task));
            self.lose_part(ix, alone);
        }
    }

    pub(super) fn on_usage(&mut self, reports: &[UsageReport]) {
        for report in reports {
            let Some(ix) = self.fleet.find(&report.worker) else { continue };
            let seen = self.now - report.age;
            self.freed |= self.fleet.observe(ix, report.busy, seen);
        }
    }

    /// Makes room in the guarantees for firm work that was found on `set`.
    pub(super) fn displace(&mut self, worker: WorkerIx, set: AcceleratorSet) {
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
        self.guarantees.displace(worker, set, &mut self.fleet);
        self.freed = true;
    }

    /// Lets an adopted job use a guarantee of its workspace when one of its shape is unused.
    pub(super) fn protect(&mut self, ix: JobIx) {
        let job = self.jobs.get(ix);
        let shape = job.spec.shape;
        let total: u32 = job.places.iter().map(|p| p.set.len()).sum();
        let whole = job.unseated.is_empty()
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

    fn bind_adopted(&mut self, ix: JobIx, guarantee: InstanceIx) {
        let job = self.jobs.get(ix);
        let shape = job.spec.shape;
        let (firm, space) = (job.firm, job.space);
        let mut blocks = job.places.clone();
        if is_block(shape) {
            let set = blocks.iter().fold(AcceleratorSet::EMPTY, |sum, p| sum.with(p.set));
            if blocks.iter().any(|p| p.worker != blocks[0].worker) {
                return;
            }
            blocks = vec![Place { worker: blocks[0].worker, set, tasks: shape.tasks }];
        }
        self.guarantees.unbind(guarantee, &mut self.fleet);
        for block in &blocks {
            self.displace(block.worker, block.set);
            if firm {
                self.fleet.set_firm(block.worker, ix, false);
            }
        }
        self.guarantees.bind(guarantee, &blocks, &mut self.fleet);
        for (i, block) in blocks.iter().enumerate() {
            self.guarantees.get_mut(guarantee).cells[i].user = Some(ix);
            self.guarantees.begin_use(guarantee, i, block.set, block.tasks, &mut self.fleet);
        }
        for block in &blocks {
            self.fleet.set_firm(block.worker, ix, true);
        }
        let job = self.jobs.get_mut(ix);
        job.firm = true;
        job.guarantee = Some(guarantee);
        self.spaces.get_mut(space).borrowed -= shape.total();
    }

    /// Empties a failure domain that went out of service.
    fn leave_all(&mut self) {
        let jobs: Vec<_> = self.jobs.iter().map(|(ix, _)| ix).collect();
        for ix in jobs {
            self.leave(ix);
        }
    }

    /// Hands over a job that waits, and stops one that another domain can run again.
    pub(super) fn leave(&mut self, ix: JobIx) {
        let job = self.jobs.get(ix);
        match job.phase {
            Phase::Waiting | Phase::Delayed(_) | Phase::Claiming => {
                self.unlist(ix);
                self.vacate(ix);
                self.hand_over_listed(ix);
            }
            Phase::Starting | Phase::Running if job.repeatable() => {
                self.stop(ix, StopReason::DomainLeaves);
            }
            Phase::Starting | Phase::Running | Phase::Stopping(..) => {}
        }
    }

    /// Tells whether the hardware, with nothing running on it, holds all guarantees of `share`.
    ///
    /// # Errors
    ///
    /// [`Code::NoteUnfit`] with the guarantee and the level that falls short.
    pub fn fits(&self, share: &DomainShare) -> Result<(), Error> {
        let mut fleet = Fleet::default();
        for ix in self.fleet.present().filter(|ix| self.fleet.worker(*ix).is_usable()) {
            fleet.put(self.fleet.worker(ix).info.clone());
        }
        let mut guarantees = Guarantees::default();
        let mut spaces = Spaces::default();
        for workspace in &share.workspaces {
            let space = spaces.intern(&workspace.id);
            for (shape, count) in &workspace.guarantees {
                shape.check()?;
                for _ in 0..*count {
                    guarantees.add(space, *shape);
                }
            }
        }
        let broken = guarantees.broken.clone();
        bind_all(&mut guarantees, broken, &mut fleet);
        let Some(first) = guarantees.broken.first() else { return Ok(()) };
        let missing = guarantees.get(*first);
        let (shape, id) = (missing.shape, &spaces.get(missing.space).id);
        let group = guarantees.group(missing.space, shape).expect("each guarantee is in a group");
        let short = group.members.iter().filter(|ix| !guarantees.get(**ix).is_bound()).count();
        let text = format!(
            "{short} of {} shapes {shape} of workspace {id} find no {} in failure domain {}",
            group.members.len(),
            level(shape),
            share.domain,
        );
        Err(Error::new(Code::NoteUnfit, text))
    }
}

/// Names the level of the hardware that a shape asks for.
pub(super) fn level(shape: Shape) -> String {
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

/// Binds broken guarantees, those that ask for the most first.
pub(super) fn bind_all(
    guarantees: &mut Guarantees,
    mut broken: Vec<InstanceIx>,
    fleet: &mut Fleet,
) {
    broken.sort_by_key(|ix| {
        let shape = guarantees.get(*ix).shape;
        let block = if is_block(shape) { shape.total() } else { u32::from(shape.accelerators) };
        std::cmp::Reverse((shape.adjacency != Adjacency::Domain, block, shape.total()))
    });
    for ix in broken {
        if guarantees.get(ix).is_unused() {
            if let Some(places) =
                fit::find_apart(fleet, View::Bind, guarantees.get(ix).shape, &[], false)
            {
                guarantees.unbind(ix, fleet);
                guarantees.bind(ix, &places, fleet);
            }
        } else {
            guarantees.repair(ix, fleet);
        }
    }
}
