//! The simulated workers: they carry out starts and stops after short delays, account for the work
//! done, and assert the invariants that hold for every policy.

mod check;
mod stretch;

use bulrushlink_core::{
    AcceleratorSet, Attempt, Event, Moment, Placement, Span, StartFault, UsageReport, WorkerId,
};
use fastrand::Rng;

use crate::agenda::{EventQueue, SimEvent};
use crate::workload::{Behaviour, Job, WORKER_ACCELERATORS, Workload};

use stretch::{FULL_SPEED, Segment};

/// Time that the start of a gang takes.
const START_DELAY: Span = Span(300);
/// Time until a policy learns that an attempt has ended.
const NOTICE_DELAY: Span = Span(100);
/// Time that a stop without a checkpoint takes.
const KILL_DELAY: Span = Span(200);
/// Time that a checkpoint takes.
const CHECKPOINT_MS: std::ops::Range<u64> = 1000..3000;
/// Run time of an attempt that fails.
const FAILURE_DELAY: Span = Span::from_secs(5);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Starting,
    Running,
    /// Has lost a worker: makes no progress and holds the remaining accelerators.
    Broken,
    /// Has ended or is being stopped: makes no progress, and the policy learns of it soon.
    Leaving,
}

/// An attempt that holds accelerators.
#[derive(Debug)]
struct LiveAttempt {
    job: usize,
    attempt: Attempt,
    domain: usize,
    /// Workers, each with the accelerators that the attempt still holds there.
    held: Vec<(usize, AcceleratorSet)>,
    phase: Phase,
    /// Closed segments of progress; their work is lost unless the attempt saves it or completes.
    segments: Vec<Segment>,
    /// Begin and speed of the open segment.
    segment_start: Moment,
    percent: u64,
    /// Incremented with each change of the scheduled end, so that a stale end event is ignored.
    generation: u32,
}

#[derive(Debug)]
struct WorkerState {
    up: bool,
    used: AcceleratorSet,
}

/// Progress and starts of a job over all attempts.
#[derive(Clone, Debug, Default)]
pub(crate) struct Record {
    /// Progress kept by checkpoints or the completion, as time at full speed.
    saved: Span,
    last_attempt: Attempt,
    /// Starts that succeeded.
    pub(crate) starts: u32,
    pub(crate) first_start: Option<Moment>,
}

/// The simulated workers of all domains.
#[derive(Debug)]
pub(crate) struct SimWorkers<'a> {
    workload: &'a Workload,
    workers: Vec<WorkerState>,
    live: Vec<LiveAttempt>,
    pub(crate) records: Vec<Record>,
    /// Whether each domain is in service, so that jobs may start.
    pub(crate) in_service: Vec<bool>,
    /// Useful accelerator-milliseconds, by domain and minute.
    pub(crate) useful: Vec<Vec<f64>>,
    /// Accelerator-milliseconds of work that was lost.
    pub(crate) wasted: f64,
    rng: Rng,
}

impl<'a> SimWorkers<'a> {
    pub(crate) fn open(workload: &'a Workload, seed: u64) -> Self {
        let idle = |_: &_| WorkerState { up: true, used: AcceleratorSet::EMPTY };
        Self {
            workload,
            workers: workload.workers.iter().map(idle).collect(),
            live: Vec::new(),
            records: vec![Record::default(); workload.jobs.len()],
            in_service: vec![true; workload.domains.len()],
            useful: vec![Vec::new(); workload.domains.len()],
            wasted: 0.0,
            rng: Rng::with_seed(seed),
        }
    }

    fn job(&self, job: usize) -> &'a Job {
        &self.workload.jobs[job]
    }

    fn worker(&self, id: &WorkerId) -> usize {
        let found = self.workload.workers.binary_search_by(|info| info.id.cmp(id));
        found.expect("the worker of the placement exists")
    }

    fn find(&self, job: usize, attempt: Attempt) -> Option<usize> {
        self.live.iter().position(|live| live.job == job && live.attempt == attempt)
    }

    fn deliver(&self, at: Moment, domain: usize, event: Event, events: &mut EventQueue) {
        events.schedule(at, SimEvent::Deliver(domain, Box::new(event)));
    }

    /// Begins to start an attempt; asserts that the start is allowed.
    pub(crate) fn start(
        &mut self,
        domain: usize,
        job: usize,
        attempt: Attempt,
        placement: &Placement,
        now: Moment,
        events: &mut EventQueue,
    ) {
        let spec = &self.job(job).spec;
        let record = &self.records[job];
        assert!(self.in_service[domain], "{} starts in a withdrawn domain", spec.key);
        assert!(attempt > record.last_attempt, "{} reuses attempt {attempt}", spec.key);
        assert!(
            spec.idempotent || record.starts == 0,
            "{} is started again though not idempotent",
            spec.key
        );
        assert!(
            self.live.iter().all(|live| live.job != job),
            "{} has two attempts at once",
            spec.key
        );
        self.check_shape(domain, spec.shape, placement);
        self.records[job].last_attempt = attempt;
        let held: Vec<_> = placement.iter().map(|p| (self.worker(&p.worker), p.set)).collect();
        if let Some((down, _)) = held.iter().find(|(worker, _)| !self.workers[*worker].up) {
            let worker = Some(self.workload.workers[*down].id.clone());
            let key = spec.key.clone();
            let event = Event::StartFailed { key, attempt, worker, fault: StartFault::Silent };
            return self.deliver(now + START_DELAY, domain, event, events);
        }
        for (worker, set) in &held {
            let state = &mut self.workers[*worker];
            assert!(
                !state.used.overlaps(*set),
                "{} is placed on accelerators in use on worker {worker}",
                spec.key
            );
            state.used = state.used.union(*set);
        }
        self.live.push(LiveAttempt {
            job,
            attempt,
            domain,
            held,
            phase: Phase::Starting,
            segments: Vec::new(),
            segment_start: now,
            percent: FULL_SPEED,
            generation: 0,
        });
        events.schedule(now + START_DELAY, SimEvent::Begin(job, attempt));
    }

    /// Marks the attempt as running, with all its tasks.
    pub(crate) fn begin(
        &mut self,
        job: usize,
        attempt: Attempt,
        now: Moment,
        events: &mut EventQueue,
    ) -> Option<(usize, Event)> {
        let index = self.find(job, attempt).filter(|i| self.live[*i].phase == Phase::Starting)?;
        let record = &mut self.records[job];
        record.starts += 1;
        record.first_start.get_or_insert(now);
        let live = &mut self.live[index];
        live.phase = Phase::Running;
        live.segment_start = now;
        let domain = live.domain;
        self.schedule_end(index, now, events);
        Some((domain, Event::Started(self.job(job).spec.key.clone(), attempt)))
    }

    fn is_faulty(&self, worker: usize, now: Moment) -> bool {
        worker == self.workload.faulty_worker.0 && now >= self.workload.faulty_worker.1
    }

    fn schedule_end(&mut self, index: usize, now: Moment, events: &mut EventQueue) {
        let live = &mut self.live[index];
        live.generation += 1;
        let (job, attempt, generation, percent) =
            (live.job, live.attempt, live.generation, live.percent);
        let done = self.progress(index, now);
        let remaining = self.job(job).run_time.0.saturating_sub(done);
        let held = &self.live[index].held;
        let faulty = self.job(job).behaviour == Behaviour::Faulty;
        let will_fail = faulty || held.iter().any(|(worker, _)| self.is_faulty(*worker, now));
        let after = if will_fail { FAILURE_DELAY } else { Span(remaining * FULL_SPEED / percent) };
        events.schedule(now + after, SimEvent::End { job, attempt, generation, failed: will_fail });
    }

    /// Returns the saved progress of the job plus that of this attempt, in milliseconds at full speed.
    fn progress(&self, index: usize, now: Moment) -> u64 {
        let live = &self.live[index];
        let open = Segment { from: live.segment_start, to: now, percent: live.percent };
        let open = (live.phase == Phase::Running).then_some(open);
        let own: u64 = live.segments.iter().chain(&open).map(Segment::progress).sum();
        self.records[live.job].saved.0 + own
    }

    /// Ends an attempt that completes or fails by itself; a stale event is ignored.
    pub(crate) fn end(
        &mut self,
        (job, attempt): (usize, Attempt),
        generation: u32,
        failed: bool,
        now: Moment,
        events: &mut EventQueue,
    ) {
        let Some(index) = self.find(job, attempt) else { return };
        if self.live[index].generation != generation || self.live[index].phase != Phase::Running {
            return;
        }
        let key = self.job(job).spec.key.clone();
        let live = &self.live[index];
        let event = if failed {
            let faulty = live.held.iter().find(|(worker, _)| self.is_faulty(*worker, now));
            let worker = faulty.unwrap_or(&live.held[0]).0;
            let worker = self.workload.workers[worker].id.clone();
            Event::Failed { key, attempt, worker, reason: "task failed".to_string() }
        } else {
            let outputs = vec![String::new(); usize::from(self.job(job).spec.shape.tasks)];
            Event::Completed(key, attempt, outputs)
        };
        let domain = live.domain;
        self.finish(index, !failed, now);
        self.remove(index);
        self.deliver(now + NOTICE_DELAY, domain, event, events);
    }

    /// Ends the progress of an attempt, which counts as useful if `keep` and as wasted otherwise.
    fn finish(&mut self, index: usize, keep: bool, now: Moment) {
        self.close_segment(index, now);
        let live = &mut self.live[index];
        live.phase = Phase::Leaving;
        let segments = std::mem::take(&mut live.segments);
        let total = f64::from(self.workload.jobs[live.job].spec.shape.total());
        if !keep {
            self.wasted += segments.iter().map(Segment::progress).sum::<u64>() as f64 * total;
            return;
        }
        self.records[live.job].saved.0 += segments.iter().map(Segment::progress).sum::<u64>();
        let minutes = &mut self.useful[live.domain];
        segments.iter().for_each(|segment| segment.credit(total, minutes));
    }

    fn close_segment(&mut self, index: usize, now: Moment) {
        let live = &mut self.live[index];
        if live.phase == Phase::Running {
            live.segments.push(Segment {
                from: live.segment_start,
                to: now,
                percent: live.percent,
            });
            live.segment_start = now;
        }
    }

    fn remove(&mut self, index: usize) {
        let live = self.live.swap_remove(index);
        for (worker, set) in live.held {
            self.workers[worker].used = self.workers[worker].used.difference(set);
        }
    }

    /// Begins to stop an attempt. Does nothing if it has ended or is being stopped already: the event
    /// that tells the policy is scheduled then.
    pub(crate) fn stop(
        &mut self,
        (job, attempt): (usize, Attempt),
        grace: Span,
        now: Moment,
        events: &mut EventQueue,
    ) {
        let Some(index) = self.find(job, attempt) else { return };
        if self.live[index].phase == Phase::Leaving {
            return;
        }
        let checkpoint_time = Span(self.rng.u64(CHECKPOINT_MS));
        let running = self.live[index].phase == Phase::Running;
        let can_save = self.job(job).spec.checkpoint && running;
        let saved = can_save && checkpoint_time <= grace;
        let cancelled = self.job(job).cancel.is_some_and(|at| at <= now);
        let delay = if saved {
            checkpoint_time
        } else if can_save {
            grace + KILL_DELAY
        } else {
            KILL_DELAY
        };
        self.finish(index, saved || cancelled, now);
        events.schedule(now + delay, SimEvent::Vacate { job, attempt, saved });
    }

    /// Removes a stopped attempt and returns the event for its domain.
    pub(crate) fn vacate(
        &mut self,
        job: usize,
        attempt: Attempt,
        saved: bool,
    ) -> Option<(usize, Event)> {
        let index = self.find(job, attempt)?;
        let domain = self.live[index].domain;
        self.remove(index);
        let key = self.job(job).spec.key.clone();
        Some((domain, Event::StopCompleted { key, attempt, saved }))
    }

    /// Changes the speed of a running attempt.
    pub(crate) fn throttle(
        &mut self,
        (job, attempt): (usize, Attempt),
        percent: u8,
        now: Moment,
        events: &mut EventQueue,
    ) {
        assert!((1..=100).contains(&percent), "throttle of {percent}% is out of range");
        let Some(index) = self.find(job, attempt) else { return };
        if self.live[index].phase == Phase::Running {
            self.close_segment(index, now);
            self.live[index].percent = u64::from(percent);
            self.schedule_end(index, now, events);
        }
    }

    /// Takes a worker and its tasks down; returns the jobs that hold no accelerators any more.
    pub(crate) fn lose_worker(&mut self, worker: usize, now: Moment) -> Vec<usize> {
        let mut idle_jobs = Vec::new();
        self.workers[worker].up = false;
        for index in (0..self.live.len()).rev() {
            if !self.live[index].held.iter().any(|(held, _)| *held == worker) {
                continue;
            }
            let phase = self.live[index].phase;
            self.finish(index, false, now);
            let live = &mut self.live[index];
            live.phase = if phase == Phase::Leaving { phase } else { Phase::Broken };
            live.held.retain(|(held, _)| *held != worker);
            if live.held.is_empty() {
                idle_jobs.push(live.job);
                self.live.swap_remove(index);
            }
        }
        self.workers[worker].used = AcceleratorSet::EMPTY;
        idle_jobs
    }

    /// Brings a worker back up, without tasks.
    pub(crate) fn restore_worker(&mut self, worker: usize) {
        self.workers[worker].up = true;
    }

    pub(crate) fn is_up(&self, worker: usize) -> bool {
        self.workers[worker].up
    }

    /// Returns the free accelerators of a worker; none while it is down.
    pub(crate) fn free(&self, worker: usize) -> AcceleratorSet {
        let all = AcceleratorSet::contiguous(0, WORKER_ACCELERATORS);
        if self.workers[worker].up {
            all.difference(self.workers[worker].used)
        } else {
            AcceleratorSet::EMPTY
        }
    }

    /// Returns true if the job holds accelerators.
    pub(crate) fn holds(&self, job: usize) -> bool {
        self.live.iter().any(|live| live.job == job)
    }

    /// Returns the number of accelerators of healthy workers in domains in service.
    pub(crate) fn capacity(&self, now: Moment) -> u32 {
        let healthy = |worker: &usize| {
            self.workers[*worker].up
                && !self.is_faulty(*worker, now)
                && self.in_service[self.domain(*worker)]
        };
        let count = (0..self.workers.len()).filter(healthy).count();
        count as u32 * u32::from(WORKER_ACCELERATORS)
    }

    /// Returns the index of the domain of a worker.
    pub(crate) fn domain(&self, worker: usize) -> usize {
        let name = &self.workload.workers[worker].domain;
        let found = self.workload.domains.iter().position(|id| id == name);
        found.expect("the domain of the worker exists")
    }

    /// Returns the usage reports of the workers of a domain.
    pub(crate) fn usage(&self, domain: usize, age: Span) -> Vec<UsageReport> {
        let up = |worker: &usize| self.workers[*worker].up && self.domain(*worker) == domain;
        let report = |worker: usize| UsageReport {
            worker: self.workload.workers[worker].id.clone(),
            busy: self.workers[worker].used,
            age,
        };
        (0..self.workers.len()).filter(up).map(report).collect()
    }
}
