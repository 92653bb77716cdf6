//! The scheduler of one failure domain: a pure function from state, event and time to actions.
//!
//! It reads no clock and uses no socket or thread, so every decision can be replayed from a seed.
//! The caller carries out the actions and reports their results as events. Each submitted job gets
//! exactly one [`Action::Finish`] or one [`Action::HandOver`].

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
use spaces::Workspaces;

/// Interval between two ticks while a job waits.
const TICK_INTERVAL: Span = Span::from_secs(1);

/// Schedules the jobs of one failure domain.
#[derive(Debug, Default)]
pub struct Scheduler {
    /// Monotonic.
    now: Moment,
    share: Option<DomainShare>,
    fleet: Fleet,
    jobs: Jobs,
    spaces: Workspaces,
    queue: Queue,
    kinds: Kinds,
    guarantees: Guarantees,
    /// Jobs in [`Phase::Claiming`] that wait for a guaranteed block, the oldest claim first. Those
    /// that wait for a draining block are in `drains` alone.
    claims: Vec<JobIx>,
    /// Blocks being drained; their owners are in [`Phase::Claiming`] too.
    drains: Vec<Drain>,
    /// Jobs in [`Phase::Delayed`], sorted by the time at which they are queued again.
    delayed: Vec<(Moment, JobIx)>,
    /// Jobs in [`Phase::Stopping`].
    stopping: Vec<JobIx>,
    /// Adopted jobs with tasks on workers that are not known yet.
    unresolved: Vec<JobIx>,
    /// Accelerators requested by the jobs that `waiting` counts.
    queued_accelerators: u32,
    /// Number of jobs that are queued, delayed or claiming a block.
    waiting: u32,
    /// Requested shapes and whether the hardware could ever hold them, sorted. Only entries with
    /// `false` are computed again when the workers change: a shape that fitted once is expected to
    /// fit again when missing workers return.
    feasible: Vec<(Shape, bool)>,
    /// When a worker was last lost.
    last_loss: Option<Moment>,
    /// Whether capacity may have grown since the last pass.
    freed: bool,
    /// The job submitted last. If nothing was freed, the next pass tries only this one.
    new_job: Option<JobIx>,
    /// Whether the last pass stopped at its limit of starts.
    unfinished: bool,
    last_tick: Moment,
    /// When a block to drain was last searched for.
    last_plan: Moment,
    /// When batch work to preempt for an urgent job was last searched for.
    last_preemption: Moment,
    /// When the unused guarantees were last repacked.
    last_repack: Moment,
    rng: fastrand::Rng,
    actions: Vec<Action>,
}

impl Scheduler {
    /// Returns a scheduler that knows no worker and no share yet. `seed` seeds the jitter of
    /// retries.
    pub fn open(seed: u64) -> Self {
        Self { rng: fastrand::Rng::with_seed(seed), ..Self::default() }
    }

    /// Applies one event and returns the resulting actions, in order.
    ///
    /// # Panics
    ///
    /// Panics if the decision would break an invariant.
    pub fn decide(&mut self, event: Event, now: Moment) -> Vec<Action> {
        self.now = self.now.max(now);
        self.freed |= self.fleet.end_backoffs(self.now);
        self.dispatch(event);
        self.reschedule();
        self.check_dirty();
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
            Event::Reroute(key) => self.on_reroute(&key),
            Event::Started(key, attempt) => self.on_started(&key, attempt),
            Event::StartFailed { key, attempt, worker, fault } => {
                self.on_start_failed(&key, attempt, worker.as_ref(), fault);
            }
            Event::Completed(key, attempt, output) => self.on_completed(&key, attempt, output),
            Event::Failed { key, attempt, worker, reason } => {
                self.on_failed(&key, attempt, &worker, reason);
            }
            Event::StopCompleted { key, attempt, saved } => {
                self.on_stop_completed(&key, attempt, saved)
            }
            Event::OutcomeUnknown(key, attempt) => self.on_outcome_unknown(&key, attempt),
            Event::Usage(reports) => self.on_usage(&reports),
            Event::Tick => self.on_tick(),
        }
    }

    /// Starts jobs on the capacity that the event freed, then runs a pass over the waiting jobs.
    fn reschedule(&mut self) {
        if self.freed {
            self.repair();
            self.start_claimed();
            self.start_drained();
        }
        self.run_pass();
    }

    fn on_tick(&mut self) {
        self.last_tick = self.now;
        self.fleet.expire_foreign(self.now);
        self.repack_degraded();
        self.repack_for_waiting();
        self.retry_stops();
        self.readmit_overdue();
        self.demote_missed_deadlines();
        self.refuse_infeasible();
        self.update_drains();
        self.freed |= self.waiting > 0;
    }

    /// Returns the time at which the next [`Event::Tick`] is due, or `None` if none is needed.
    pub fn next_tick(&self) -> Option<Moment> {
        if self.unfinished {
            return Some(self.now);
        }
        let degraded = !self.guarantees.degraded.is_empty();
        let busy = self.waiting > 0 || !self.stopping.is_empty() || degraded;
        let regular = busy.then(|| self.last_tick.max(self.now - TICK_INTERVAL) + TICK_INTERVAL);
        let delayed = self.delayed.first().map(|(at, _)| *at);
        [regular, delayed].into_iter().flatten().min()
    }

    fn in_service(&self) -> bool {
        self.share.as_ref().is_some_and(|share| share.service == Service::In)
    }

    fn out_of_service(&self) -> bool {
        self.share.as_ref().is_some_and(|share| share.service == Service::Out)
    }

    /// Adds a job that begins to wait to the counts of waiting jobs, or subtracts one that no longer
    /// waits.
    fn count_waiting(&mut self, ix: JobIx, added: bool) {
        let job = self.jobs.get(ix);
        let space = self.spaces.get_mut(job.space);
        let total = job.spec.shape.total();
        if added {
            space.waiting += 1;
            self.waiting += 1;
            self.queued_accelerators += total;
        } else {
            space.waiting -= 1;
            self.waiting -= 1;
            self.queued_accelerators -= total;
        }
    }

    /// Removes a job from the list that its phase puts it on. A starting or running job is on none.
    fn dequeue(&mut self, ix: JobIx) {
        match self.jobs.get(ix).phase {
            Phase::Waiting => {
                let position = self.jobs.get_mut(ix).position.take();
                self.queue.remove(position.expect("a waiting job has a queue position"));
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

    /// Ends a job and removes it.
    fn finish(&mut self, ix: JobIx, ending: Ending) {
        let key = self.remove_job(ix);
        self.actions.push(Action::Finish { key, ending });
    }

    /// Gives a job that runs nowhere to another failure domain and removes it. Of a job that is not
    /// idempotent, only an attempt that may have run is reported.
    fn hand_over(&mut self, ix: JobIx) {
        let job = self.jobs.get(ix);
        let attempt = if job.retryable() { job.attempt } else { job.ran_attempt };
        let key = self.remove_job(ix);
        self.actions.push(Action::HandOver { key, attempt });
    }

    fn remove_job(&mut self, ix: JobIx) -> JobKey {
        self.dequeue(ix);
        self.release_block(ix);
        self.detach_strikes(ix);
        self.unresolved.retain(|other| *other != ix);
        if self.new_job == Some(ix) {
            self.new_job = None;
        }
        self.jobs.remove(ix).spec.key
    }

    /// Frees the block of a job.
    fn release_block(&mut self, ix: JobIx) {
        let job = self.jobs.get_mut(ix);
        job.unresolved.clear();
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
            self.fleet.deallocate(*worker, ix, self.now);
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

    /// Puts a job that runs nowhere back into its lane, or hands it over if its domain is out of
    /// service.
    fn requeue(&mut self, ix: JobIx, reason: Reason) {
        self.dequeue(ix);
        self.release_block(ix);
        self.jobs.get_mut(ix).started = None;
        if self.out_of_service() {
            self.hand_over_dequeued(ix);
        } else {
            self.enqueue(ix, reason);
        }
    }

    fn hand_over_dequeued(&mut self, ix: JobIx) {
        let now = self.now;
        // A starting job is on no list, so there is nothing left to dequeue.
        self.jobs.get_mut(ix).set_phase(Phase::Starting, Reason::DomainOut, now);
        self.hand_over(ix);
    }

    /// Queues a job again after `wait` and a jitter of up to a quarter of it, so that its retries
    /// do not coincide with those of another domain's placer.
    fn delay(&mut self, ix: JobIx, wait: Span, reason: Reason) {
        self.dequeue(ix);
        self.release_block(ix);
        if self.out_of_service() {
            return self.hand_over_dequeued(ix);
        }
        let jitter = Span(self.rng.u64(0..=wait.0 / 4));
        let until = self.now + wait + jitter;
        let now = self.now;
        self.jobs.get_mut(ix).set_phase(Phase::Delayed(until), reason, now);
        self.count_waiting(ix, true);
        let at = self.delayed.partition_point(|entry| *entry < (until, ix));
        self.delayed.insert(at, (until, ix));
    }
}
