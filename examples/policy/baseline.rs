//! Two simple policies with the interface of the core scheduler, to compare it with.
//!
//! Both keep the queue in arrival order and start whatever fits, so that a large job at its head
//! blocks no other. Both place whole gangs contiguously, retry idempotent jobs on other workers,
//! avoid a worker that fails repeatedly, and hand over waiting jobs while their domain is out of
//! service.

use bulrushlink_core::{
    Action, Adjacency, Attempt, Code, DesiredState, DomainId, DomainShare, DomainView, Ending,
    Event, JobKey, JobSpec, Load, Moment, Placement, Refusal, Service, Span, StopReason, WorkerId,
    WorkspaceId,
};

use crate::fit::{Choice, WorkerPool, find};

/// Failures after which a job ends as failed.
const MAX_FAILURES: u32 = 4;
/// Failures in a row after which a worker is avoided for [`AVOID_TIME`].
const AVOID_FAILURES: u32 = 3;
const AVOID_TIME: Span = Span::from_secs(600);
/// Time for which a worker is avoided after it did not answer a start.
const START_AVOID_TIME: Span = Span::from_secs(10);

/// Scheduling decisions for one failure domain.
pub(crate) trait Policy {
    fn decide(&mut self, event: Event, now: Moment) -> Vec<Action>;
    fn load(&self) -> Load;
    fn next_tick(&self) -> Option<Moment>;
    fn why(&self, key: &JobKey) -> String;
}

impl Policy for bulrushlink_core::Scheduler {
    fn decide(&mut self, event: Event, now: Moment) -> Vec<Action> {
        Self::decide(self, event, now)
    }

    fn load(&self) -> Load {
        Self::load(self)
    }

    fn next_tick(&self) -> Option<Moment> {
        Self::next_tick(self)
    }

    fn why(&self, key: &JobKey) -> String {
        Self::why(self, key).map(|why| why.text).unwrap_or_default()
    }
}

/// Returns the domain for a job among those in service: one with room is preferred, then the least
/// loaded.
pub(crate) fn route(
    spec: &JobSpec,
    state: &DesiredState,
    views: &[DomainView],
) -> Option<DomainId> {
    let total = spec.shape.total();
    let in_service =
        |view: &&DomainView| state.domain(&view.id).map(|d| d.service) == Some(Service::In);
    let sort_key = |(i, view): &(usize, &DomainView)| {
        let load = &view.load;
        let fits_block = spec.shape.adjacency == Adjacency::Domain || load.block >= total;
        let has_room = fits_block && load.free >= load.queued + total;
        let busy = load.queued + load.total.saturating_sub(load.free);
        let tie_break = (spec.declared.0 as usize + i) % views.len();
        (!has_room, busy * 50 / load.total.max(1), tie_break)
    };
    let candidates = views.iter().filter(in_service).enumerate();
    candidates.min_by_key(sort_key).map(|(_, view)| view.id.clone())
}

/// Placement rule of a baseline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Rule {
    /// The first placement that fits; guarantees are ignored.
    FirstFit,
    /// The tightest placement, each workspace within its guarantee plus the unguaranteed
    /// accelerators.
    BestFit,
}

#[derive(Debug)]
struct Job {
    spec: JobSpec,
    submitted: Moment,
    attempt: Attempt,
    failures: u32,
    /// Worker on which it failed last, excluded from the next attempt.
    failed_on: Option<WorkerId>,
    /// Empty while the job waits.
    placement: Placement,
    /// The gang has lost a task, and the others are being stopped.
    broken: bool,
    cancelled: bool,
    ran: bool,
}

/// A baseline for one failure domain.
#[derive(Debug)]
pub(crate) struct Baseline {
    rule: Rule,
    share: Option<DomainShare>,
    pool: WorkerPool,
    /// Sorted by submission, then key.
    jobs: Vec<Job>,
}

impl Baseline {
    pub(crate) fn open(rule: Rule) -> Self {
        Self { rule, share: None, pool: WorkerPool::default(), jobs: Vec::new() }
    }

    fn index(&self, key: &JobKey) -> Option<usize> {
        self.jobs.iter().position(|job| job.spec.key == *key)
    }

    fn current(&self, key: &JobKey, attempt: Attempt) -> Option<usize> {
        self.index(key).filter(|i| self.jobs[*i].attempt == attempt)
    }

    fn submit(&mut self, spec: JobSpec, attempt: Attempt, age: Span, now: Moment) -> Vec<Action> {
        if !self.pool.fits_when_empty(spec.shape) {
            let reason = "no rack is large enough".to_string();
            let refusal = Refusal { code: Code::NeverFits, reason, retry: None };
            return vec![Action::Finish { key: spec.key, ending: Ending::Refused(refusal) }];
        }
        let submitted = now - age;
        let order = |job: &Job| (job.submitted, &job.spec.key) <= (submitted, &spec.key);
        let at = self.jobs.partition_point(order);
        let job = Job {
            spec,
            submitted,
            attempt,
            failures: 0,
            failed_on: None,
            placement: Vec::new(),
            broken: false,
            cancelled: false,
            ran: attempt > Attempt(0),
        };
        self.jobs.insert(at, job);
        Vec::new()
    }

    fn end(&mut self, index: usize, ending: Ending) -> Action {
        let job = self.jobs.remove(index);
        self.pool.release(&job.placement);
        Action::Finish { key: job.spec.key, ending }
    }

    /// Releases an attempt that has ended without completing; the job waits again or ends.
    fn on_attempt_gone(&mut self, index: usize, reason: &str) -> Vec<Action> {
        let job = &mut self.jobs[index];
        let placement = std::mem::take(&mut job.placement);
        job.broken = false;
        self.pool.release(&placement);
        let job = &self.jobs[index];
        if job.cancelled {
            let ran = job.ran;
            return vec![self.end(index, Ending::Cancelled { ran })];
        }
        if job.ran && !job.spec.idempotent {
            let reason = reason.to_string();
            return vec![self.end(index, Ending::Unknown { reason })];
        }
        Vec::new()
    }

    fn on_failed(
        &mut self,
        index: usize,
        worker: WorkerId,
        reason: String,
        now: Moment,
    ) -> Option<Action> {
        self.pool.count_failure(&worker, AVOID_FAILURES, now + AVOID_TIME);
        let job = &mut self.jobs[index];
        job.failures += 1;
        job.failed_on = Some(worker);
        let exhausted = job.failures >= MAX_FAILURES || !job.spec.idempotent;
        if exhausted {
            return Some(self.end(index, Ending::Failed { reason }));
        }
        let placement = std::mem::take(&mut job.placement);
        self.pool.release(&placement);
        let job = &self.jobs[index];
        if job.cancelled {
            return Some(self.end(index, Ending::Cancelled { ran: true }));
        }
        None
    }

    fn on_lost(&mut self, worker: &WorkerId) -> Vec<Action> {
        self.pool.lose(worker);
        let mut actions = Vec::new();
        for index in (0..self.jobs.len()).rev() {
            let job = &mut self.jobs[index];
            let before = job.placement.len();
            job.placement.retain(|place| place.worker != *worker);
            if job.placement.len() == before {
                continue;
            }
            if job.placement.is_empty() {
                actions.extend(self.on_attempt_gone(index, "worker lost"));
            } else if !job.broken {
                job.broken = true;
                let stop = stop(job, StopReason::GangIncomplete);
                actions.push(stop);
            }
        }
        actions
    }

    fn on_reroute(&mut self, index: usize) -> Option<Action> {
        self.jobs[index].placement.is_empty().then(|| {
            let job = self.jobs.remove(index);
            Action::HandOver { key: job.spec.key, attempt: job.attempt }
        })
    }

    fn on_cancel(&mut self, index: usize) -> Option<Action> {
        let job = &mut self.jobs[index];
        if job.placement.is_empty() {
            let ran = job.ran;
            return Some(self.end(index, Ending::Cancelled { ran }));
        }
        let must_stop = !job.cancelled && !job.broken;
        job.cancelled = true;
        must_stop.then(|| stop(job, StopReason::Cancelled))
    }

    fn apply_event(&mut self, event: Event, now: Moment) -> Vec<Action> {
        match event {
            Event::Share(share) => self.share = Some(share),
            Event::Worker(info) => self.pool.join(info),
            Event::WorkerLost(worker) => return self.on_lost(&worker),
            Event::Submit { spec, attempt, age, .. } => {
                return self.submit(spec, attempt, age, now);
            }
            Event::Cancel(key) => {
                return self.index(&key).and_then(|i| self.on_cancel(i)).into_iter().collect();
            }
            Event::Reroute(key) => {
                return self.index(&key).and_then(|i| self.on_reroute(i)).into_iter().collect();
            }
            Event::Started(key, attempt) => {
                if let Some(index) = self.current(&key, attempt) {
                    self.jobs[index].ran = true;
                }
            }
            Event::StartFailed { key, attempt, worker, .. } => {
                if let Some(worker) = &worker {
                    self.pool.avoid(worker, now + START_AVOID_TIME);
                }
                if let Some(index) = self.current(&key, attempt) {
                    return self.on_attempt_gone(index, "start failed");
                }
            }
            Event::Completed(key, attempt, output) => {
                if let Some(index) = self.current(&key, attempt) {
                    self.pool.count_success(&self.jobs[index].placement);
                    return vec![self.end(index, Ending::Completed { output })];
                }
            }
            Event::Failed { key, attempt, worker, reason } => {
                if let Some(index) = self.current(&key, attempt) {
                    return self.on_failed(index, worker, reason, now).into_iter().collect();
                }
            }
            Event::StopCompleted { key, attempt, .. } => {
                if let Some(index) = self.current(&key, attempt) {
                    return self.on_attempt_gone(index, "gang incomplete");
                }
            }
            Event::Adopt { .. } | Event::OutcomeUnknown(..) | Event::Usage(_) | Event::Tick => {}
        }
        Vec::new()
    }

    fn place(&mut self, now: Moment) -> Vec<Action> {
        let Some(share) = &self.share else { return Vec::new() };
        if share.service == Service::Out {
            return self.hand_over();
        }
        let mut actions = Vec::new();
        let mut unfit = Vec::new();
        let mut quota = Quota::of(share, self.pool.total(), &self.jobs);
        for job in self.jobs.iter_mut().filter(|job| job.placement.is_empty()) {
            let shape = job.spec.shape;
            if unfit.contains(&shape) {
                continue;
            }
            let workspace = &job.spec.key.workspace;
            if self.rule == Rule::BestFit && !quota.allows(workspace, shape.total()) {
                continue;
            }
            let choice = if self.rule == Rule::BestFit { Choice::Tightest } else { Choice::First };
            let Some(placement) = find(&self.pool, shape, job.failed_on.as_ref(), choice, now)
            else {
                if job.failed_on.is_none() {
                    unfit.push(shape);
                }
                continue;
            };
            quota.add(workspace, shape.total());
            self.pool.take(&placement);
            job.attempt = job.attempt.next();
            job.placement = placement.clone();
            let key = job.spec.key.clone();
            actions.push(Action::Start { key, attempt: job.attempt, placement });
        }
        actions
    }

    fn hand_over(&mut self) -> Vec<Action> {
        let waiting = |job: &mut Job| job.placement.is_empty();
        let released: Vec<_> = self.jobs.extract_if(.., waiting).collect();
        let action = |job: Job| Action::HandOver { key: job.spec.key, attempt: job.attempt };
        released.into_iter().map(action).collect()
    }
}

fn stop(job: &Job, reason: StopReason) -> Action {
    let (key, attempt) = (job.spec.key.clone(), job.attempt);
    Action::Stop { key, attempt, grace: Span::ZERO, reason }
}

impl Policy for Baseline {
    fn decide(&mut self, event: Event, now: Moment) -> Vec<Action> {
        let mut actions = self.apply_event(event, now);
        actions.extend(self.place(now));
        actions
    }

    fn load(&self) -> Load {
        let waiting = || self.jobs.iter().filter(|job| job.placement.is_empty());
        Load {
            total: self.pool.total(),
            free: self.pool.free(),
            queued: waiting().map(|job| job.spec.shape.total()).sum(),
            waiting: waiting().count() as u32,
            block: self.pool.largest_rack_free(),
            ..Load::default()
        }
    }

    fn next_tick(&self) -> Option<Moment> {
        None
    }

    fn why(&self, key: &JobKey) -> String {
        let waits = self.index(key).map(|i| self.jobs[i].placement.is_empty());
        waits.map(|waits| if waits { "waits" } else { "runs" }).unwrap_or_default().to_string()
    }
}

/// Limits what the workspaces use beyond their guarantees, in sum, to the accelerators that are
/// guaranteed to none.
struct Quota {
    /// Each workspace with its guaranteed and its used accelerators.
    rows: Vec<(WorkspaceId, u32, u32)>,
    spare: u32,
}

impl Quota {
    fn of(share: &DomainShare, total: u32, jobs: &[Job]) -> Self {
        let mut rows = Vec::new();
        for own in &share.workspaces {
            let guarantee: u32 =
                own.guarantees.iter().map(|(s, n)| s.total() * u32::from(*n)).sum();
            let used = jobs.iter().filter(|job| job.spec.key.workspace == own.id);
            let used = used.filter(|job| !job.placement.is_empty());
            rows.push((own.id.clone(), guarantee, used.map(|job| job.spec.shape.total()).sum()));
        }
        let guaranteed: u32 = rows.iter().map(|(_, guarantee, _)| *guarantee).sum();
        Self { rows, spare: total.saturating_sub(guaranteed) }
    }

    fn allows(&self, workspace: &WorkspaceId, more: u32) -> bool {
        let over = |(id, guarantee, used): &(WorkspaceId, u32, u32)| {
            let used = if id == workspace { *used + more } else { *used };
            used.saturating_sub(*guarantee)
        };
        self.rows.iter().map(over).sum::<u32>() <= self.spare
    }

    fn add(&mut self, workspace: &WorkspaceId, more: u32) {
        let own = self.rows.iter_mut().find(|(id, ..)| id == workspace);
        own.expect("the workspace of a job is declared").2 += more;
    }
}
