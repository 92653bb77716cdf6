//! Takes jobs in: new ones, those found running after a change of the placer, and cancellations.

use crate::error::Code;
use crate::ids::{Attempt, JobKey};
use crate::job::{Ending, JobSpec, Placement, Refusal, Shape, Urgency};
use crate::sched::fit::{self, Place};
use crate::sched::fleet::Seat;
use crate::sched::jobs::{Job, JobIx, Phase, Reason, refusal};
use crate::sched::queue::{Class, LaneKey};
use crate::sched::spaces::SpaceIx;
use crate::sched::{Scheduler, StopReason};
use crate::units::Span;

/// The most jobs that wait in one failure domain.
const WAITING_MAX: u32 = 20_000;
/// Time for which lost workers are expected back before a shape counts as never fitting.
const HARDWARE_AWAITED: Span = Span::from_secs(600);
/// Expected run time beyond which a longer one doesn't set a job back further.
const RUN_WEIGHED_MAX: Span = Span::from_secs(30 * 60);
/// Time by which batch work is set back.
const BATCH_SETBACK: Span = Span::from_secs(20 * 60);
/// Factor on the median run time that the latest start allows for at most.
const SLACK_FACTOR: u64 = 3;

impl Scheduler {
    pub(super) fn on_submit(&mut self, spec: JobSpec, attempt: Attempt, used: Attempt, age: Span) {
        if self.jobs.find(&spec.key).is_some() {
            return;
        }
        let used = used.max(attempt);
        let fresh = used == Attempt(0);
        let space = self.spaces.intern(&spec.key.workspace);
        let refused = if fresh { self.refuse(&spec, space) } else { None };
        let ran = attempt > Attempt(0);
        let unknown = ran && !spec.idempotent || !fresh && spec.shape.check().is_err();
        let ix = self.add_job(spec, space, attempt, age);
        self.jobs.get_mut(ix).attempt = used;
        if let Some(refusal) = refused {
            self.finish(ix, Ending::Refused(refusal));
        } else if unknown {
            let reason = format!("attempt {attempt} was started and nothing tells its outcome");
            self.finish(ix, Ending::Unknown { reason });
        } else if self.is_out() {
            self.hand_over(ix);
        } else {
            self.enqueue(ix, Reason::Queued);
            self.fresh = Some(ix);
        }
    }

    /// Makes a job that is on no list yet.
    fn add_job(&mut self, spec: JobSpec, space: SpaceIx, attempt: Attempt, age: Span) -> JobIx {
        self.jobs.add(Job {
            spec,
            space,
            phase: Phase::Starting,
            attempt,
            ran: attempt,
            local: false,
            arrived: self.now,
            before: age,
            since: self.now,
            decided: self.now,
            started: None,
            saved: Span::ZERO,
            failures: 0,
            misstarts: 0,
            moves: 0,
            failed_on: Vec::new(),
            avoid: Vec::new(),
            places: Vec::new(),
            unseated: Vec::new(),
            firm: false,
            guarantee: None,
            probe: false,
            ticket: None,
            reason: Reason::Queued,
        })
    }

    fn refuse(&mut self, spec: &JobSpec, space: SpaceIx) -> Option<Refusal> {
        if let Err(error) = spec.shape.check() {
            return Some(refusal(Code::NeverFits, error.to_string(), None));
        }
        let own = self.spaces.get(space);
        let retry = Some(own.retry_after(self.now));
        if self.share.is_some() && !own.known {
            let text = format!("workspace {} is not in the release note in force", own.id);
            return Some(refusal(Code::UnknownWorkspace, text, None));
        }
        if self.share.is_some() && own.waiting >= own.queue {
            let text = format!("{} jobs of workspace {} wait already", own.waiting, own.id);
            return Some(refusal(Code::QueueFull, text, retry));
        }
        if self.waiting >= WAITING_MAX {
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
        let lost = self.lost.is_some_and(|at| self.now.since(at) < HARDWARE_AWAITED);
        if self.fleet.count() == 0 || lost {
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

    /// Lets another failure domain have a job that still waits and for which nothing is kept free.
    /// One that has run and isn't idempotent stays: the next domain couldn't tell that its
    /// checkpoint was saved.
    pub(super) fn on_release(&mut self, key: &JobKey) {
        let Some(ix) = self.jobs.find(key) else { return };
        let job = self.jobs.get(ix);
        let movable = job.repeatable() || job.ran == Attempt(0);
        if job.phase == Phase::Waiting && job.spec.domain.is_none() && movable {
            self.hand_over(ix);
        }
    }

    /// Refuses jobs that were let in while hardware was missing and that no hardware can hold.
    pub(super) fn refuse_unfit(&mut self) {
        let lanes = self.queue.lanes().iter();
        let old = |ix: &JobIx| self.jobs.get(*ix).age(self.now) >= HARDWARE_AWAITED;
        let heads: Vec<_> = lanes.map(|lane| lane.entries[0].job).filter(old).collect();
        for ix in heads {
            let job = self.jobs.get(ix);
            let (shape, ran) = (job.spec.shape, job.ran > Attempt(0));
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
        let ticket = self.queue.push(lane, rank, ix);
        let job = self.jobs.get_mut(ix);
        job.ticket = Some(ticket);
        job.enter(Phase::Waiting, reason, now);
        self.count_waiting(ix, true);
    }

    /// Returns the lane of a job and its rank there.
    fn lane(&self, ix: JobIx) -> (LaneKey, i64) {
        let job = self.jobs.get(ix);
        let spec = &job.spec;
        let expected = self.kinds.expect(job.space, &spec.kind, spec.declared);
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
        let run = expected.median.min(RUN_WEIGHED_MAX).millis() as i64;
        let setback = if batch { BATCH_SETBACK.millis() as i64 } else { 0 };
        (lane, submitted + run + setback)
    }

    /// Returns the latest start that meets the deadline, if there is one that still can be met.
    pub(super) fn latest_start(&self, ix: JobIx) -> Option<i64> {
        let job = self.jobs.get(ix);
        let spec = &job.spec;
        let due = job.submitted() + spec.deadline?.millis() as i64;
        let expected = self.kinds.expect(job.space, &spec.kind, spec.declared);
        let median = expected.median.millis() as i64;
        if due - median < self.now.0 as i64 {
            return None;
        }
        let high = expected.high.0.min(expected.median.0.saturating_mul(SLACK_FACTOR));
        Some(due - high as i64)
    }

    pub(super) fn on_cancel(&mut self, key: &JobKey) {
        let Some(ix) = self.jobs.find(key) else { return };
        let job = self.jobs.get(ix);
        if job.phase.is_live() {
            self.stop(ix, StopReason::Cancelled);
        } else {
            let ran = job.ran > Attempt(0);
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
                self.unlist(ix);
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
        job.ran = attempt;
        job.started = Some(now - ran);
        job.unseated = placement;
        job.enter(Phase::Running, Reason::Adopted, now);
        job.firm = !job.preemptible();
        let whole = job.unseated.len() == usize::from(job.spec.shape.tasks);
        self.seat_adopted(ix);
        if !whole {
            return self.stop(ix, StopReason::GangIncomplete);
        }
        self.protect(ix);
        if self.is_out() {
            self.leave(ix);
        }
    }

    /// Takes what an adopted job holds on known workers into the ledger. What the ledger gave to
    /// somebody else is left out: the workers arbitrate.
    pub(super) fn seat_adopted(&mut self, ix: JobIx) {
        let job = self.jobs.get_mut(ix);
        let firm = job.firm;
        let was_empty = job.places.is_empty();
        let tasks = std::mem::take(&mut job.unseated);
        for task in tasks {
            let Some(worker) = self.fleet.find(&task.worker) else {
                self.jobs.get_mut(ix).unseated.push(task);
                continue;
            };
            let set = task.set.without(self.fleet.worker(worker).busy);
            if firm {
                self.displace(worker, set);
            }
            self.fleet.seat(worker, Seat { job: ix, task: task.task, set, firm });
            self.jobs.get_mut(ix).places.push(Place { worker, set, tasks: 1 });
        }
        let job = self.jobs.get(ix);
        if was_empty && !job.places.is_empty() && job.guarantee.is_none() {
            self.spaces.get_mut(job.space).borrowed += job.spec.shape.total();
        }
        let adrift = !self.jobs.get(ix).unseated.is_empty();
        self.adrift.retain(|other| *other != ix);
        if adrift {
            self.adrift.push(ix);
        }
    }
}
