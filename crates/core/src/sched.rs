//! The scheduler of one failure domain: a pure function from state, event and time to actions.
//!
//! It has no clock, no socket and no thread, so that every decision can be replayed from a seed.
//! The caller carries out the actions and feeds what came of them back as events. A job that was
//! submitted gets exactly one [`Action::Finish`] or one [`Action::HandOver`].

mod blame;
mod check;
mod claim;
mod drain;
mod event;
mod fit;
mod fleet;
mod guarantee;
mod health;
mod intake;
mod jobs;
mod learn;
mod outcome;
mod pass;
mod queue;
mod rebind;
mod repack;
mod report;
mod share;
mod spaces;

pub use event::{
    Action, Event, Load, StartFault, StopReason, URGENT_BUCKETS, UsageReport, Why, WorkerInfo,
};
pub use report::{JobState, KindState, Shortfall, State, WorkerState, WorkspaceState};

use crate::ids::JobKey;
use crate::job::{Ending, Shape};
use crate::note::{DomainShare, Service};
use crate::units::{Moment, Span};
use drain::Drain;
use fleet::Fleet;
use guarantee::Guarantees;
use jobs::{JobIx, Jobs, Phase, Reason};
use learn::Kinds;
use queue::Queue;
use spaces::Spaces;

/// Time between two ticks while a job waits.
const TICK_INTERVAL: Span = Span::from_secs(1);

/// Decides for one failure domain.
#[derive(Debug, Default)]
pub struct Scheduler {
    /// Never goes back.
    now: Moment,
    share: Option<DomainShare>,
    fleet: Fleet,
    jobs: Jobs,
    spaces: Spaces,
    queue: Queue,
    kinds: Kinds,
    guarantees: Guarantees,
    /// Jobs in [`Phase::Claiming`], the oldest claim first.
    claims: Vec<JobIx>,
    /// Blocks that drain; their owners are in [`Phase::Claiming`] too.
    drains: Vec<Drain>,
    /// Jobs in [`Phase::Delayed`], sorted by the moment.
    delayed: Vec<(Moment, JobIx)>,
    /// Jobs in [`Phase::Stopping`].
    stopping: Vec<JobIx>,
    /// Jobs with tasks on workers that aren't known yet.
    adrift: Vec<JobIx>,
    /// Accelerators that jobs without a block ask for.
    queued: u32,
    /// Jobs without a block.
    waiting: u32,
    /// Shapes that were asked for and whether the hardware could ever hold them; sorted. What was
    /// held once is expected to be held again, so only refusals are looked at anew.
    feasible: Vec<(Shape, bool)>,
    /// Moment at which a worker was lost last.
    lost: Option<Moment>,
    /// Whether room may have grown since the last pass.
    freed: bool,
    /// The job that came last; only its lane is new to the next pass.
    fresh: Option<JobIx>,
    /// Whether the last pass ended at its bound.
    unfinished: bool,
    ticked: Moment,
    /// Moment of the last search for a block to drain.
    planned: Moment,
    /// Moment of the last search for batch work that leaves for an urgent job.
    ousted: Moment,
    /// Moment of the last packing of all guarantees.
    repacked: Moment,
    rng: fastrand::Rng,
    actions: Vec<Action>,
}

impl Scheduler {
    /// Makes a scheduler that knows no worker and no share yet; `seed` breaks ties.
    pub fn open(seed: u64) -> Self {
        Self { rng: fastrand::Rng::with_seed(seed), ..Self::default() }
    }

    /// Takes one event and returns what has to be done, in order.
    ///
    /// # Panics
    ///
    /// Panics when the decision would break an invariant.
    pub fn decide(&mut self, event: Event, now: Moment) -> Vec<Action> {
        self.now = self.now.max(now);
        self.freed |= self.fleet.expire(self.now);
        self.dispatch(event);
        self.settle();
        self.check_touched();
        #[cfg(any(test, debug_assertions))]
        self.check();
        std::mem::take(&mut self.actions)
    }

    fn dispatch(&mut self, event: Event) {
        match event {
            Event::Share(share) => self.on_share(share),
            Event::Worker(info) => self.on_worker(info),
            Event::WorkerLost(id) => self.on_worker_lost(&id),
            Event::Submit { spec, attempt, used, age } => {
                self.on_submit(spec, attempt, used, age);
            }
            Event::Adopt { spec, attempt, placement, age, ran } => {
                self.on_adopt(spec, attempt, placement, age, ran);
            }
            Event::Cancel(key) => self.on_cancel(&key),
            Event::Release(key) => self.on_release(&key),
            Event::Started(key, attempt) => self.on_started(&key, attempt),
            Event::StartFailed { key, attempt, worker, fault } => {
                self.on_start_failed(&key, attempt, worker.as_ref(), fault);
            }
            Event::Completed(key, attempt, output) => self.on_completed(&key, attempt, output),
            Event::Failed { key, attempt, worker, reason } => {
                self.on_failed(&key, attempt, &worker, reason);
            }
            Event::Vacated { key, attempt, saved } => self.on_vacated(&key, attempt, saved),
            Event::Unsettled(key, attempt) => self.on_unsettled(&key, attempt),
            Event::Usage(reports) => self.on_usage(&reports),
            Event::Tick => self.on_tick(),
        }
    }

    /// Uses what the event left free.
    fn settle(&mut self) {
        if self.freed {
            self.repair();
            self.settle_claims();
            self.settle_drains();
        }
        self.pass();
    }

    fn on_tick(&mut self) {
        self.ticked = self.now;
        self.fleet.forget_foreign(self.now);
        self.repack_broken();
        self.make_way();
        self.stop_again();
        self.try_out_overdue();
        self.demote_late();
        self.refuse_unfit();
        self.tend_drains();
        self.freed |= self.waiting > 0;
    }

    /// Returns the moment at which [`Event::Tick`] is wanted next, if at all.
    pub fn next_tick(&self) -> Option<Moment> {
        if self.unfinished {
            return Some(self.now);
        }
        let degraded = !self.guarantees.broken.is_empty();
        let busy = self.waiting > 0 || !self.stopping.is_empty() || degraded;
        let regular = busy.then(|| self.ticked.max(self.now - TICK_INTERVAL) + TICK_INTERVAL);
        let delayed = self.delayed.first().map(|(at, _)| *at);
        [regular, delayed].into_iter().flatten().min()
    }

    fn is_in(&self) -> bool {
        self.share.as_ref().is_some_and(|share| share.service == Service::In)
    }

    fn is_out(&self) -> bool {
        self.share.as_ref().is_some_and(|share| share.service == Service::Out)
    }

    /// Counts a job that has no block, or no longer.
    fn count_waiting(&mut self, ix: JobIx, more: bool) {
        let job = self.jobs.get(ix);
        let space = self.spaces.get_mut(job.space);
        let total = job.spec.shape.total();
        if more {
            space.waiting += 1;
            self.waiting += 1;
            self.queued += total;
        } else {
            space.waiting -= 1;
            self.waiting -= 1;
            self.queued -= total;
        }
    }

    /// Takes a job that waits off every list that it waits on.
    fn unlist(&mut self, ix: JobIx) {
        match self.jobs.get(ix).phase {
            Phase::Waiting => {
                let ticket = self.jobs.get_mut(ix).ticket.take();
                self.queue.remove(ticket.expect("a waiting job has a ticket"));
            }
            Phase::Delayed(_) => self.delayed.retain(|(_, other)| *other != ix),
            Phase::Claiming => self.drop_claim(ix),
            Phase::Starting | Phase::Running => return,
            Phase::Stopping(..) => {
                self.stopping.retain(|other| *other != ix);
                return;
            }
        }
        self.count_waiting(ix, false);
    }

    /// Ends a job and forgets it.
    fn finish(&mut self, ix: JobIx, ending: Ending) {
        let key = self.forget(ix);
        self.actions.push(Action::Finish { key, ending });
    }

    /// Gives a job that runs nowhere to another failure domain and forgets it.
    fn hand_over(&mut self, ix: JobIx) {
        let job = self.jobs.get(ix);
        let attempt = if job.repeatable() { job.attempt } else { job.ran };
        let key = self.forget(ix);
        self.actions.push(Action::HandOver { key, attempt });
    }

    fn forget(&mut self, ix: JobIx) -> JobKey {
        self.unlist(ix);
        self.vacate(ix);
        self.let_go(ix);
        self.adrift.retain(|other| *other != ix);
        if self.fresh == Some(ix) {
            self.fresh = None;
        }
        self.jobs.remove(ix).spec.key
    }

    /// Takes the block of a job back.
    fn vacate(&mut self, ix: JobIx) {
        let job = self.jobs.get_mut(ix);
        job.unseated.clear();
        let places = std::mem::take(&mut job.places);
        let guarantee = job.guarantee.take();
        let (space, total) = (job.space, job.spec.shape.total());
        let probe = std::mem::take(&mut job.probe);
        if places.is_empty() {
            return;
        }
        let mut workers: Vec<_> = places.iter().map(|p| p.worker).collect();
        workers.sort_unstable();
        workers.dedup();
        for worker in &workers {
            self.fleet.unseat(*worker, ix, self.now);
        }
        match guarantee {
            Some(guarantee) => self.guarantees.end_use(guarantee, ix, &mut self.fleet),
            None => self.spaces.get_mut(space).borrowed -= total,
        }
        if probe {
            self.fleet.health_mut(workers[0]).end_probe(false, self.now);
        }
        self.freed = true;
    }

    /// Puts a job that runs nowhere back into its lane, or hands it over when its domain is out.
    fn requeue(&mut self, ix: JobIx, reason: Reason) {
        self.unlist(ix);
        self.vacate(ix);
        self.jobs.get_mut(ix).started = None;
        if self.is_out() {
            self.hand_over_listed(ix);
        } else {
            self.enqueue(ix, reason);
        }
    }

    fn hand_over_listed(&mut self, ix: JobIx) {
        let now = self.now;
        self.jobs.get_mut(ix).enter(Phase::Starting, Reason::DomainOut, now);
        self.hand_over(ix);
    }

    /// Queues a job again at a later moment, with jitter against another placer's tries.
    fn delay(&mut self, ix: JobIx, wait: Span, reason: Reason) {
        self.unlist(ix);
        self.vacate(ix);
        if self.is_out() {
            return self.hand_over_listed(ix);
        }
        let jitter = Span(self.rng.u64(0..=wait.0 / 4));
        let until = self.now + wait + jitter;
        let now = self.now;
        self.jobs.get_mut(ix).enter(Phase::Delayed(until), reason, now);
        self.count_waiting(ix, true);
        let at = self.delayed.partition_point(|entry| *entry < (until, ix));
        self.delayed.insert(at, (until, ix));
    }
}
