//! The fake workers: carry out starts and stops with small delays, know which work really gets
//! done, and assert what must hold whatever the policy.

mod check;
mod stretch;

use bulrushlink_core::{
    AcceleratorSet, Attempt, Event, Moment, Placement, Span, StartFault, UsageReport, WorkerId,
};
use fastrand::Rng;

use crate::agenda::{Agenda, Happening};
use crate::workload::{Job, Nature, WORKER_ACCELERATORS, Workload};

use stretch::{FULL_SPEED, Stretch};

const START_DELAY: Span = Span(300);
const NOTICE_DELAY: Span = Span(100);
const KILL_DELAY: Span = Span(200);
const CHECKPOINT_MS: std::ops::Range<u64> = 1000..3000;
const FAULT_DELAY: Span = Span::from_secs(5);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Starting,
    Running,
    /// Lost a member: makes no progress, holds the accelerators that are left.
    Broken,
    /// No progress any more; the policy hears of the end soon.
    Leaving,
}

/// An attempt that holds accelerators.
#[derive(Debug)]
struct Live {
    job: usize,
    attempt: Attempt,
    domain: usize,
    /// Workers with the accelerators that are still held there.
    held: Vec<(usize, AcceleratorSet)>,
    phase: Phase,
    /// Stretches that are over; all of them are lost unless the attempt saves or completes.
    past: Vec<Stretch>,
    /// Begin and speed of the stretch that goes on.
    since: Moment,
    percent: u64,
    /// Counts changes, so that an outdated end can be told from the current one.
    change: u32,
}

#[derive(Debug)]
struct Host {
    up: bool,
    taken: AcceleratorSet,
}

/// What the table knows of a job.
#[derive(Clone, Debug, Default)]
pub(crate) struct Record {
    /// Progress at full speed that a checkpoint or the completion keeps.
    saved: Span,
    last: Attempt,
    /// Starts that came about.
    pub(crate) starts: u32,
    pub(crate) first_start: Option<Moment>,
}

/// The fake workers of all domains.
#[derive(Debug)]
pub(crate) struct Table<'a> {
    workload: &'a Workload,
    hosts: Vec<Host>,
    live: Vec<Live>,
    pub(crate) records: Vec<Record>,
    /// Whether work may start, by domain.
    pub(crate) open: Vec<bool>,
    /// Useful accelerator-milliseconds, by domain and minute.
    pub(crate) useful: Vec<Vec<f64>>,
    /// Accelerator-milliseconds that had to be done again.
    pub(crate) wasted: f64,
    rng: Rng,
}

impl<'a> Table<'a> {
    pub(crate) fn open(workload: &'a Workload, seed: u64) -> Self {
        let host = |_: &_| Host { up: true, taken: AcceleratorSet::EMPTY };
        Self {
            workload,
            hosts: workload.workers.iter().map(host).collect(),
            live: Vec::new(),
            records: vec![Record::default(); workload.jobs.len()],
            open: vec![true; workload.domains.len()],
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
        found.expect("the policy knows only workers that exist")
    }

    fn find(&self, job: usize, attempt: Attempt) -> Option<usize> {
        self.live.iter().position(|live| live.job == job && live.attempt == attempt)
    }

    fn deliver(&self, at: Moment, domain: usize, event: Event, agenda: &mut Agenda) {
        agenda.add(at, Happening::Deliver(domain, Box::new(event)));
    }

    /// Begins a start; asserts that the policy may ask for it.
    pub(crate) fn start(
        &mut self,
        domain: usize,
        job: usize,
        attempt: Attempt,
        placement: &Placement,
        now: Moment,
        agenda: &mut Agenda,
    ) {
        let spec = &self.job(job).spec;
        let record = &self.records[job];
        assert!(self.open[domain], "{} starts in a withdrawn domain", spec.key);
        assert!(attempt > record.last, "{} reuses attempt {attempt}", spec.key);
        assert!(spec.idempotent || record.starts == 0, "{} runs twice", spec.key);
        assert!(self.live.iter().all(|live| live.job != job), "{} has two attempts", spec.key);
        self.check_shape(domain, spec.shape, placement);
        self.records[job].last = attempt;
        let held: Vec<_> = placement.iter().map(|p| (self.worker(&p.worker), p.set)).collect();
        if let Some((down, _)) = held.iter().find(|(worker, _)| !self.hosts[*worker].up) {
            let worker = Some(self.workload.workers[*down].id.clone());
            let key = spec.key.clone();
            let event = Event::StartFailed { key, attempt, worker, fault: StartFault::Silent };
            return self.deliver(now + START_DELAY, domain, event, agenda);
        }
        for (worker, set) in &held {
            let host = &mut self.hosts[*worker];
            assert!(!host.taken.overlaps(*set), "{} overlaps on worker {worker}", spec.key);
            host.taken = host.taken.with(*set);
        }
        self.live.push(Live {
            job,
            attempt,
            domain,
            held,
            phase: Phase::Starting,
            past: Vec::new(),
            since: now,
            percent: FULL_SPEED,
            change: 0,
        });
        agenda.add(now + START_DELAY, Happening::Begin(job, attempt));
    }

    /// All tasks of the attempt run now.
    pub(crate) fn begin(
        &mut self,
        job: usize,
        attempt: Attempt,
        now: Moment,
        agenda: &mut Agenda,
    ) -> Option<(usize, Event)> {
        let index = self.find(job, attempt).filter(|i| self.live[*i].phase == Phase::Starting)?;
        let record = &mut self.records[job];
        record.starts += 1;
        record.first_start.get_or_insert(now);
        let live = &mut self.live[index];
        live.phase = Phase::Running;
        live.since = now;
        let domain = live.domain;
        self.plan_end(index, now, agenda);
        Some((domain, Event::Started(self.job(job).spec.key.clone(), attempt)))
    }

    fn is_bad(&self, worker: usize, now: Moment) -> bool {
        worker == self.workload.bad.0 && now >= self.workload.bad.1
    }

    fn plan_end(&mut self, index: usize, now: Moment, agenda: &mut Agenda) {
        let live = &mut self.live[index];
        live.change += 1;
        let (job, attempt, change, percent) = (live.job, live.attempt, live.change, live.percent);
        let done = self.progress(index, now);
        let left = self.job(job).runs.0.saturating_sub(done);
        let held = &self.live[index].held;
        let faulty = self.job(job).nature == Nature::Faulty;
        let doomed = faulty || held.iter().any(|(worker, _)| self.is_bad(*worker, now));
        let after = if doomed { FAULT_DELAY } else { Span(left * FULL_SPEED / percent) };
        agenda.add(now + after, Happening::End { job, attempt, change, failed: doomed });
    }

    /// Progress at full speed, in milliseconds, kept from before and of this attempt.
    fn progress(&self, index: usize, now: Moment) -> u64 {
        let live = &self.live[index];
        let ahead = Stretch { from: live.since, to: now, percent: live.percent };
        let ahead = (live.phase == Phase::Running).then_some(ahead);
        let own: u64 = live.past.iter().chain(&ahead).map(Stretch::progress).sum();
        self.records[live.job].saved.0 + own
    }

    /// The attempt completes or fails on its own.
    pub(crate) fn end(
        &mut self,
        (job, attempt): (usize, Attempt),
        change: u32,
        failed: bool,
        now: Moment,
        agenda: &mut Agenda,
    ) {
        let Some(index) = self.find(job, attempt) else { return };
        if self.live[index].change != change || self.live[index].phase != Phase::Running {
            return;
        }
        let key = self.job(job).spec.key.clone();
        let live = &self.live[index];
        let event = if failed {
            let culprit = live.held.iter().find(|(worker, _)| self.is_bad(*worker, now));
            let worker = culprit.unwrap_or(&live.held[0]).0;
            let worker = self.workload.workers[worker].id.clone();
            Event::Failed { key, attempt, worker, reason: "task failed".to_string() }
        } else {
            let outputs = vec![String::new(); usize::from(self.job(job).spec.shape.tasks)];
            Event::Completed(key, attempt, outputs)
        };
        let domain = live.domain;
        self.finish(index, !failed, now);
        self.remove(index);
        self.deliver(now + NOTICE_DELAY, domain, event, agenda);
    }

    /// Closes the attempt's progress; `keep` makes it useful.
    fn finish(&mut self, index: usize, keep: bool, now: Moment) {
        self.close_stretch(index, now);
        let live = &mut self.live[index];
        live.phase = Phase::Leaving;
        let past = std::mem::take(&mut live.past);
        let total = f64::from(self.workload.jobs[live.job].spec.shape.total());
        if !keep {
            self.wasted += past.iter().map(Stretch::progress).sum::<u64>() as f64 * total;
            return;
        }
        self.records[live.job].saved.0 += past.iter().map(Stretch::progress).sum::<u64>();
        let minutes = &mut self.useful[live.domain];
        past.iter().for_each(|stretch| stretch.credit(total, minutes));
    }

    fn close_stretch(&mut self, index: usize, now: Moment) {
        let live = &mut self.live[index];
        if live.phase == Phase::Running {
            live.past.push(Stretch { from: live.since, to: now, percent: live.percent });
            live.since = now;
        }
    }

    fn remove(&mut self, index: usize) {
        let live = self.live.swap_remove(index);
        for (worker, set) in live.held {
            self.hosts[worker].taken = self.hosts[worker].taken.without(set);
        }
    }

    /// Begins to stop an attempt; an attempt that has just ended has its own event under way.
    pub(crate) fn stop(
        &mut self,
        (job, attempt): (usize, Attempt),
        grace: Span,
        now: Moment,
        agenda: &mut Agenda,
    ) {
        let Some(index) = self.find(job, attempt) else { return };
        if self.live[index].phase == Phase::Leaving {
            return;
        }
        let need = Span(self.rng.u64(CHECKPOINT_MS));
        let running = self.live[index].phase == Phase::Running;
        let can = self.job(job).spec.checkpoint && running;
        let saved = can && need <= grace;
        let cancelled = self.job(job).cancel.is_some_and(|at| at <= now);
        let take = if saved {
            need
        } else if can {
            grace + KILL_DELAY
        } else {
            KILL_DELAY
        };
        self.finish(index, saved || cancelled, now);
        agenda.add(now + take, Happening::Vacate { job, attempt, saved });
    }

    /// The stopped attempt is gone.
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
        Some((domain, Event::Vacated { key, attempt, saved }))
    }

    /// Changes the speed of a running attempt.
    pub(crate) fn throttle(
        &mut self,
        (job, attempt): (usize, Attempt),
        percent: u8,
        now: Moment,
        agenda: &mut Agenda,
    ) {
        assert!((1..=100).contains(&percent), "throttled to {percent}%");
        let Some(index) = self.find(job, attempt) else { return };
        if self.live[index].phase == Phase::Running {
            self.close_stretch(index, now);
            self.live[index].percent = u64::from(percent);
            self.plan_end(index, now, agenda);
        }
    }

    /// The worker and all that runs there is gone; returns the jobs that hold nothing any more.
    pub(crate) fn lose(&mut self, worker: usize, now: Moment) -> Vec<usize> {
        let mut gone = Vec::new();
        self.hosts[worker].up = false;
        for index in (0..self.live.len()).rev() {
            if !self.live[index].held.iter().any(|(held, _)| *held == worker) {
                continue;
            }
            let was = self.live[index].phase;
            self.finish(index, false, now);
            let live = &mut self.live[index];
            live.phase = if was == Phase::Leaving { was } else { Phase::Broken };
            live.held.retain(|(held, _)| *held != worker);
            if live.held.is_empty() {
                gone.push(live.job);
                self.live.swap_remove(index);
            }
        }
        self.hosts[worker].taken = AcceleratorSet::EMPTY;
        gone
    }

    /// The worker is back, empty.
    pub(crate) fn restore(&mut self, worker: usize) {
        self.hosts[worker].up = true;
    }

    pub(crate) fn is_up(&self, worker: usize) -> bool {
        self.hosts[worker].up
    }

    /// Returns the free positions of a worker; none while it is down.
    pub(crate) fn free(&self, worker: usize) -> AcceleratorSet {
        let all = AcceleratorSet::run(0, WORKER_ACCELERATORS);
        if self.hosts[worker].up {
            all.without(self.hosts[worker].taken)
        } else {
            AcceleratorSet::EMPTY
        }
    }

    /// Tells whether the job holds accelerators.
    pub(crate) fn holds(&self, job: usize) -> bool {
        self.live.iter().any(|live| live.job == job)
    }

    /// Returns the accelerators that healthy workers of domains in service can give.
    pub(crate) fn capacity(&self, now: Moment) -> u32 {
        let good = |worker: &usize| {
            self.hosts[*worker].up && !self.is_bad(*worker, now) && self.open[self.domain(*worker)]
        };
        let count = (0..self.hosts.len()).filter(good).count();
        count as u32 * u32::from(WORKER_ACCELERATORS)
    }

    /// Returns the number of a worker's domain.
    pub(crate) fn domain(&self, worker: usize) -> usize {
        let name = &self.workload.workers[worker].domain;
        let found = self.workload.domains.iter().position(|id| id == name);
        found.expect("every worker is in a domain")
    }

    /// Returns what the workers of a domain report about themselves.
    pub(crate) fn usage(&self, domain: usize, age: Span) -> Vec<UsageReport> {
        let up = |worker: &usize| self.hosts[*worker].up && self.domain(*worker) == domain;
        let report = |worker: usize| UsageReport {
            worker: self.workload.workers[worker].id.clone(),
            busy: self.hosts[worker].taken,
            age,
        };
        (0..self.hosts.len()).filter(up).map(report).collect()
    }
}
