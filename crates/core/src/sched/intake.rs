//! Admits jobs: new ones, those found running after a change of the placer, and cancellations.

use crate::error::Code;
use crate::ids::{Attempt, JobKey};
use crate::job::{Ending, JobSpec, Placement, Refusal, Shape, Urgency};
use crate::sched::fit::{self, Place};
use crate::sched::fleet::Allocation;
use crate::sched::jobs::{Job, JobIx, Phase, Reason, refusal};
use crate::sched::queue::{Class, LaneKey};
use crate::sched::spaces::WorkspaceIx;
use crate::sched::{Scheduler, StopReason};
use crate::units::Span;

/// Maximum number of waiting jobs in one failure domain.
const WAITING_JOBS_MAX: u32 = 20_000;
/// Time for which a lost worker is expected to return before a shape that fits no other hardware is
/// refused.
const HARDWARE_RETURN_TIMEOUT: Span = Span::from_secs(600);
/// Expected run time above which the rank in a lane no longer grows.
const RANKED_RUN_TIME_MAX: Span = Span::from_secs(30 * 60);
/// Rank penalty of batch work.
const BATCH_PENALTY: Span = Span::from_secs(20 * 60);
/// Upper bound of the run time that the latest start allows for, as a multiple of the median.
const SLACK_RUN_TIMES_MAX: u64 = 3;

impl Scheduler {
    pub(super) fn on_submit(&mut self, spec: JobSpec, attempt: Attempt, used: Attempt, age: Span) {
        if self.jobs.find(&spec.key).is_some() {
            return;
        }
        let used = used.max(attempt);
        let unstarted = used == Attempt(0);
        let space = self.spaces.intern(&spec.key.workspace);
        let refused = if unstarted { self.check_admission(&spec, space) } else { None };
        let ran = attempt > Attempt(0);
        let unknown = ran && !spec.idempotent || !unstarted && spec.shape.check().is_err();
        let ix = self.add_job(spec, space, attempt, age);
        self.jobs.get_mut(ix).attempt = used;
        if let Some(refusal) = refused {
            self.finish(ix, Ending::Refused(refusal));
        } else if unknown {
            let reason = format!("attempt {attempt} was started and nothing tells its outcome");
            self.finish(ix, Ending::Unknown { reason });
        } else if self.out_of_service() {
            self.hand_over(ix);
        } else {
            self.enqueue(ix, Reason::Queued);
            self.new_job = Some(ix);
        }
    }

    /// Adds a job that is on no list yet, as [`Phase::Starting`].
    fn add_job(&mut self, spec: JobSpec, space: WorkspaceIx, attempt: Attempt, age: Span) -> JobIx {
        self.jobs.add(Job {
            spec,
            space,
            phase: Phase::Starting,
            attempt,
            ran_attempt: attempt,
            local: false,
            arrived: self.now,
            prior_age: age,
            since: self.now,
            decided: self.now,
            started: None,
            saved_time: Span::ZERO,
            failures: 0,
            start_failures: 0,
            preemptions: 0,
            failed_on: Vec::new(),
            avoid: Vec::new(),
            places: Vec::new(),
            unresolved: Vec::new(),
            pinned: false,
            guarantee: None,
            probe: false,
            position: None,
            reason: Reason::Queued,
        })
    }

    /// Returns the reason to refuse a new job, if there is one.
    fn check_admission(&mut self, spec: &JobSpec, space: WorkspaceIx) -> Option<Refusal> {
        if let Err(error) = spec.shape.check() {
            return Some(refusal(Code::NeverFits, error.to_string(), None));
        }
        let own = self.spaces.get(space);
        let retry = Some(own.retry_after(self.now));
        if self.share.is_some() && !own.known {
            let text = format!("workspace {} is not in the release note in force", own.id);
            return Some(refusal(Code::UnknownWorkspace, text, None));
        }
        if self.share.is_some() && own.waiting >= own.queue_limit {
            let text = format!("{} jobs of workspace {} wait already", own.waiting, own.id);
            return Some(refusal(Code::QueueFull, text, retry));
        }
        if self.waiting >= WAITING_JOBS_MAX {
            let text = format!("{} jobs wait in this failure domain already", self.waiting);
            return Some(refusal(Code::Overloaded, text, retry));
        }
        if !self.is_feasible(spec.shape) {
            let text = format!("no part of the hardware can hold {}", spec.shape);
            return Some(refusal(Code::NeverFits, text, None));
        }
        None
    }

    fn is_feasible(&mut self, shape: Shape) -> bool {
        let recent_loss =
            self.last_loss.is_some_and(|at| self.now.since(at) < HARDWARE_RETURN_TIMEOUT);
        if self.fleet.count() == 0 || recent_loss {
            return true;
        }
        match self.feasible.binary_search_by_key(&shape, |entry| entry.0) {
            Ok(i) => self.feasible[i].1,
            Err(i) => {
                let fits = fit::ever_fits(&self.fleet, shape, &[]);
                self.feasible.insert(i, (shape, fits));
                fits
            }
        }
    }

    /// Hands a job that still waits, and for which no block is held, over to another failure
    /// domain. A job that has run and is not idempotent stays: the next domain could not know that
    /// its checkpoint was saved.
    pub(super) fn on_reroute(&mut self, key: &JobKey) {
        let Some(ix) = self.jobs.find(key) else { return };
        let job = self.jobs.get(ix);
        let movable = job.retryable() || job.ran_attempt == Attempt(0);
        if job.phase == Phase::Waiting && job.spec.domain.is_none() && movable {
            self.hand_over(ix);
        }
    }

    /// Refuses or fails jobs that were admitted while hardware was missing and that no hardware can
    /// hold.
    pub(super) fn refuse_infeasible(&mut self) {
        let lanes = self.queue.lanes().iter();
        let old = |ix: &JobIx| self.jobs.get(*ix).age(self.now) >= HARDWARE_RETURN_TIMEOUT;
        let heads: Vec<_> = lanes.map(|lane| lane.entries[0].job).filter(old).collect();
        for ix in heads {
            let job = self.jobs.get(ix);
            let (shape, ran) = (job.spec.shape, job.ran_attempt > Attempt(0));
            if self.is_feasible(shape) {
                continue;
            }
            let text = format!("no part of the hardware can hold {shape}");
            let ending = match ran {
                true => Ending::Failed { reason: text },
                false => Ending::Refused(refusal(Code::NeverFits, text, None)),
            };
            self.finish(ix, ending);
        }
    }

    /// Puts a job that is on no list into its lane.
    pub(super) fn enqueue(&mut self, ix: JobIx, reason: Reason) {
        let now = self.now;
        let (lane, rank) = self.lane(ix);
        let position = self.queue.push(lane, rank, ix);
        let job = self.jobs.get_mut(ix);
        job.position = Some(position);
        job.set_phase(Phase::Waiting, reason, now);
        self.count_waiting(ix, true);
    }

    /// Returns the lane of a job and its rank there.
    fn lane(&self, ix: JobIx) -> (LaneKey, i64) {
        let job = self.jobs.get(ix);
        let spec = &job.spec;
        let estimate = self.kinds.estimate(job.space, &spec.kind, spec.declared);
        let submitted = job.submitted();
        let batch = spec.urgency == Urgency::Batch;
        let mut lane = LaneKey {
            class: Class::Plain,
            space: job.space,
            shape: spec.shape,
            view: job.view(),
            batch,
            avoiding: (!job.avoid.is_empty()).then_some(ix),
        };
        if job.is_urgent() {
            lane.class = Class::Urgent;
            return (lane, submitted);
        }
        if let Some(latest) = self.latest_start(ix) {
            lane.class = Class::Deadline;
            return (lane, latest);
        }
        let run = estimate.median.min(RANKED_RUN_TIME_MAX).millis() as i64;
        let penalty = if batch { BATCH_PENALTY.millis() as i64 } else { 0 };
        (lane, submitted + run + penalty)
    }

    /// Returns the latest start that meets the deadline, in milliseconds on the scheduler's clock, or
    /// `None` if there is no deadline or it can no longer be met.
    pub(super) fn latest_start(&self, ix: JobIx) -> Option<i64> {
        let job = self.jobs.get(ix);
        let spec = &job.spec;
        let due = job.submitted() + spec.deadline?.millis() as i64;
        let estimate = self.kinds.estimate(job.space, &spec.kind, spec.declared);
        let median = estimate.median.millis() as i64;
        if due - median < self.now.0 as i64 {
            return None;
        }
        let high = estimate.high.0.min(estimate.median.0.saturating_mul(SLACK_RUN_TIMES_MAX));
        Some(due - high as i64)
    }

    pub(super) fn on_cancel(&mut self, key: &JobKey) {
        let Some(ix) = self.jobs.find(key) else { return };
        let job = self.jobs.get(ix);
        if job.phase.is_live() {
            self.stop(ix, StopReason::Cancelled);
        } else {
            let ran = job.ran_attempt > Attempt(0);
            self.finish(ix, Ending::Cancelled { ran });
        }
    }

    pub(super) fn on_adopt(
        &mut self,
        spec: JobSpec,
        attempt: Attempt,
        placement: Placement,
        age: Span,
        ran: Span,
    ) {
        if spec.shape.check().is_err() {
            return;
        }
        let ix = match self.jobs.find(&spec.key) {
            Some(ix) => {
                let job = self.jobs.get(ix);
                let newer = attempt > job.attempt || (attempt == job.attempt && !job.local);
                if job.phase.is_live() || !newer {
                    return;
                }
                self.dequeue(ix);
                ix
            }
            None => {
                let space = self.spaces.intern(&spec.key.workspace);
                self.add_job(spec, space, attempt, age)
            }
        };
        let now = self.now;
        let job = self.jobs.get_mut(ix);
        job.attempt = attempt;
        job.ran_attempt = attempt;
        job.started = Some(now - ran);
        job.unresolved = placement;
        job.set_phase(Phase::Running, Reason::Adopted, now);
        job.pinned = !job.preemptible();
        let whole = job.unresolved.len() == usize::from(job.spec.shape.tasks);
        self.allocate_adopted(ix);
        if !whole {
            return self.stop(ix, StopReason::GangIncomplete);
        }
        self.adopt_into_guarantee(ix);
        if self.out_of_service() {
            self.evacuate_job(ix);
        }
    }

    /// Allocates what an adopted job uses on known workers. Accelerators that are allocated to
    /// another job are left out, since the workers decide who gets them.
    pub(super) fn allocate_adopted(&mut self, ix: JobIx) {
        let job = self.jobs.get_mut(ix);
        let pinned = job.pinned;
        let was_empty = job.places.is_empty();
        let tasks = std::mem::take(&mut job.unresolved);
        for task in tasks {
            let Some(worker) = self.fleet.find(&task.worker) else {
                self.jobs.get_mut(ix).unresolved.push(task);
                continue;
            };
            let set = task.set.difference(self.fleet.worker(worker).busy);
            if pinned {
                self.unbind_overlapping(worker, set);
            }
            self.fleet.allocate(worker, Allocation { job: ix, task: task.task, set, pinned });
            self.jobs.get_mut(ix).places.push(Place { worker, set, tasks: 1 });
        }
        let job = self.jobs.get(ix);
        if was_empty && !job.places.is_empty() && job.guarantee.is_none() {
            self.spaces.get_mut(job.space).borrowed += job.spec.shape.total();
        }
        let unresolved = !self.jobs.get(ix).unresolved.is_empty();
        self.unresolved.retain(|other| *other != ix);
        if unresolved {
            self.unresolved.push(ix);
        }
    }
}
