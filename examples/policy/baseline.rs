//! Two plain policies behind the same edge as the core, to compare it with.
//!
//! Both keep the queue in arrival order and start whatever fits, so that a large job at the head
//! holds nobody up. Both place whole gangs contiguously, retry idempotent jobs elsewhere, avoid a
//! worker that keeps failing, and hand waiting jobs over while their domain is out.

use bulrushlink_core::{
    Action, Adjacency, Attempt, Code, DesiredState, DomainId, DomainShare, DomainView, Ending,
    Event, JobKey, JobSpec, Load, Moment, Placement, Refusal, Service, Span, StopReason, WorkerId,
    WorkspaceId,
};

use crate::fit::{Bench, Choice, find};

const MAX_FAILURES: u32 = 4;
/// Failures in a row after which a worker is avoided for a while.
const AVOID_FAILURES: u32 = 3;
const AVOID: Span = Span::from_secs(600);
/// Time for which a worker is avoided that didn't answer a start.
const SILENT_AVOID: Span = Span::from_secs(10);

/// Decides for one failure domain.
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

/// Chooses the domain in service that has room for the job, then the least loaded one.
pub(crate) fn route(
    spec: &JobSpec,
    state: &DesiredState,
    views: &[DomainView],
) -> Option<DomainId> {
    let total = spec.shape.total();
    let open = |view: &&DomainView| state.domain(&view.id).map(|d| d.service) == Some(Service::In);
    let rank = |(i, view): &(usize, &DomainView)| {
        let load = &view.load;
        let near = spec.shape.adjacency == Adjacency::Domain || load.block >= total;
        let room = near && load.free >= load.queued + total;
        let busy = load.queued + load.total.saturating_sub(load.free);
        let spread = (spec.declared.0 as usize + i) % views.len();
        (!room, busy * 50 / load.total.max(1), spread)
    };
    let open = views.iter().filter(open).enumerate();
    open.min_by_key(rank).map(|(_, view)| view.id.clone())
}

/// How a baseline chooses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Rule {
    /// The first place that fits, no guarantees.
    FirstFit,
    /// The tightest place, each workspace within its guarantee plus what nobody is guaranteed.
    BestFit,
}

#[derive(Debug)]
struct Job {
    spec: JobSpec,
    submitted: Moment,
    attempt: Attempt,
    failures: u32,
    /// Worker on which it failed last; the next attempt goes elsewhere.
    failed: Option<WorkerId>,
    /// Empty while it waits.
    placement: Placement,
    /// Members that are gone or refused; the rest is being stopped.
    broken: bool,
    cancelled: bool,
    ran: bool,
}

/// A baseline for one failure domain.
#[derive(Debug)]
pub(crate) struct Baseline {
    rule: Rule,
    share: Option<DomainShare>,
    bench: Bench,
    /// Sorted by submission, then key.
    jobs: Vec<Job>,
}

impl Baseline {
    pub(crate) fn open(rule: Rule) -> Self {
        Self { rule, share: None, bench: Bench::default(), jobs: Vec::new() }
    }

    fn index(&self, key: &JobKey) -> Option<usize> {
        self.jobs.iter().position(|job| job.spec.key == *key)
    }

    fn current(&self, key: &JobKey, attempt: Attempt) -> Option<usize> {
        self.index(key).filter(|i| self.jobs[*i].attempt == attempt)
    }

    fn submit(&mut self, spec: JobSpec, attempt: Attempt, age: Span, now: Moment) -> Vec<Action> {
        if !self.bench.can_ever(spec.shape) {
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
            failed: None,
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
        self.bench.release(&job.placement);
        Action::Finish { key: job.spec.key, ending }
    }

    /// The attempt is gone without completion.
    fn back(&mut self, index: usize, reason: &str) -> Vec<Action> {
        let job = &mut self.jobs[index];
        let placement = std::mem::take(&mut job.placement);
        job.broken = false;
        self.bench.release(&placement);
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
        self.bench.count_failure(&worker, AVOID_FAILURES, now + AVOID);
        let job = &mut self.jobs[index];
        job.failures += 1;
        job.failed = Some(worker);
        let spent = job.failures >= MAX_FAILURES || !job.spec.idempotent;
        if spent {
            return Some(self.end(index, Ending::Failed { reason }));
        }
        let placement = std::mem::take(&mut job.placement);
        self.bench.release(&placement);
        let job = &self.jobs[index];
        if job.cancelled {
            return Some(self.end(index, Ending::Cancelled { ran: true }));
        }
        None
    }

    fn on_lost(&mut self, worker: &WorkerId) -> Vec<Action> {
        self.bench.lose(worker);
        let mut actions = Vec::new();
        for index in (0..self.jobs.len()).rev() {
            let job = &mut self.jobs[index];
            let before = job.placement.len();
            job.placement.retain(|place| place.worker != *worker);
            if job.placement.len() == before {
                continue;
            }
            if job.placement.is_empty() {
                actions.extend(self.back(index, "worker lost"));
            } else if !job.broken {
                job.broken = true;
                let stop = stop(job, StopReason::GangIncomplete);
                actions.push(stop);
            }
        }
        actions
    }

    fn on_release(&mut self, index: usize) -> Option<Action> {
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
        let first = !job.cancelled && !job.broken;
        job.cancelled = true;
        first.then(|| stop(job, StopReason::Cancelled))
    }

    fn react(&mut self, event: Event, now: Moment) -> Vec<Action> {
        match event {
            Event::Share(share) => self.share = Some(share),
            Event::Worker(info) => self.bench.join(info),
            Event::WorkerLost(worker) => return self.on_lost(&worker),
            Event::Submit { spec, attempt, age, .. } => {
                return self.submit(spec, attempt, age, now);
            }
            Event::Cancel(key) => {
                return self.index(&key).and_then(|i| self.on_cancel(i)).into_iter().collect();
            }
            Event::Release(key) => {
                return self.index(&key).and_then(|i| self.on_release(i)).into_iter().collect();
            }
            Event::Started(key, attempt) => {
                if let Some(index) = self.current(&key, attempt) {
                    self.jobs[index].ran = true;
                }
            }
            Event::StartFailed { key, attempt, worker, .. } => {
                if let Some(worker) = &worker {
                    self.bench.avoid(worker, now + SILENT_AVOID);
                }
                if let Some(index) = self.current(&key, attempt) {
                    return self.back(index, "start failed");
                }
            }
            Event::Completed(key, attempt, output) => {
                if let Some(index) = self.current(&key, attempt) {
                    self.bench.count_success(&self.jobs[index].placement);
                    return vec![self.end(index, Ending::Completed { output })];
                }
            }
            Event::Failed { key, attempt, worker, reason } => {
                if let Some(index) = self.current(&key, attempt) {
                    return self.on_failed(index, worker, reason, now).into_iter().collect();
                }
            }
            Event::Vacated { key, attempt, .. } => {
                if let Some(index) = self.current(&key, attempt) {
                    return self.back(index, "gang incomplete");
                }
            }
            Event::Adopt { .. } | Event::Unsettled(..) | Event::Usage(_) | Event::Tick => {}
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
        let mut quota = Quota::of(share, self.bench.total(), &self.jobs);
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
            let Some(placement) = find(&self.bench, shape, job.failed.as_ref(), choice, now) else {
                if job.failed.is_none() {
                    unfit.push(shape);
                }
                continue;
            };
            quota.add(workspace, shape.total());
            self.bench.take(&placement);
            job.attempt = job.attempt.next();
            job.placement = placement.clone();
            let key = job.spec.key.clone();
            actions.push(Action::Start { key, attempt: job.attempt, placement });
        }
        actions
    }

    fn hand_over(&mut self) -> Vec<Action> {
        let waiting = |job: &mut Job| job.placement.is_empty();
        let gone: Vec<_> = self.jobs.extract_if(.., waiting).collect();
        let action = |job: Job| Action::HandOver { key: job.spec.key, attempt: job.attempt };
        gone.into_iter().map(action).collect()
    }
}

fn stop(job: &Job, reason: StopReason) -> Action {
    let (key, attempt) = (job.spec.key.clone(), job.attempt);
    Action::Stop { key, attempt, grace: Span::ZERO, reason }
}

impl Policy for Baseline {
    fn decide(&mut self, event: Event, now: Moment) -> Vec<Action> {
        let mut actions = self.react(event, now);
        actions.extend(self.place(now));
        actions
    }

    fn load(&self) -> Load {
        let waiting = || self.jobs.iter().filter(|job| job.placement.is_empty());
        Load {
            total: self.bench.total(),
            free: self.bench.free(),
            queued: waiting().map(|job| job.spec.shape.total()).sum(),
            waiting: waiting().count() as u32,
            block: self.bench.block(),
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

/// Accelerators in use beyond the guarantees, against those that nobody is guaranteed.
struct Quota {
    /// Workspace, its guarantee and its use.
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
        own.expect("jobs are routed only for known workspaces").2 += more;
    }
}
