//! Simulates one policy on one workload, in virtual time.

mod act;
mod sample;

use bulrushlink_core::{
    Attempt, DesiredState, DomainId, DomainView, Ending, Entries, Event, JobKey, JobSpec, Load,
    Moment, ReleaseNote, Scheduler, Service, Span, reroute, route,
};

use serde::Serialize;

use crate::agenda::{EventQueue, SimEvent};
use crate::baseline::{self, Baseline, Policy, Rule};
use crate::table::SimWorkers;
use crate::workload::{Deployment, ENTRY_HOSTS, Workload};

pub(crate) use sample::{SAMPLE_INTERVAL, Sample};

/// Interval at which the domains publish their loads.
const LOAD_INTERVAL: Span = Span::from_secs(1);
/// Interval at which the workers report their usage.
const USAGE_INTERVAL: Span = Span::from_secs(10);
/// Age of a usage report when it reaches the policy.
const USAGE_AGE: Span = Span::from_secs(3);
/// Interval at which waiting jobs are offered to other domains.
const REBALANCE_INTERVAL: Span = Span::from_secs(5);
/// Waiting time after which a job is offered to other domains.
const REBALANCE_WAIT: Span = Span::from_secs(10);
/// Shortest time between two offers of one job to other domains.
const OFFER_INTERVAL: Span = Span::from_secs(180);
/// Largest number of jobs that a domain offers to others at a time.
const MAX_OFFERS: usize = 4;
/// Time until a policy learns of a lost worker.
const LOSS_DETECTION: Span = Span::from_secs(2);
/// Delay before a job that no domain takes is routed again.
const ROUTE_RETRY: Span = Span::from_secs(5);
/// Time after the end of arrivals within which all jobs must end.
const DRAIN_LIMIT: Span = Span::from_secs(24 * 3600);

/// The policy under measurement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PolicyKind {
    Core,
    FirstFit,
    BestFit,
}

impl PolicyKind {
    pub(crate) const ALL: [Self; 3] = [Self::Core, Self::FirstFit, Self::BestFit];

    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Core => "core",
            Self::FirstFit => "first-fit",
            Self::BestFit => "best-fit",
        }
    }

    /// Returns the domain for a job: by the router of the daemons for the core, by load for the
    /// baselines, whose figures are worse with that router.
    fn route(self, spec: &JobSpec, state: &DesiredState, views: &[DomainView]) -> Option<DomainId> {
        match self {
            Self::Core => route(spec, state, views).ok(),
            Self::FirstFit | Self::BestFit => baseline::route(spec, state, views),
        }
    }

    fn open(self, seed: u64) -> Box<dyn Policy> {
        match self {
            Self::Core => Box::new(Scheduler::open(seed)),
            Self::FirstFit => Box::new(Baseline::open(Rule::FirstFit)),
            Self::BestFit => Box::new(Baseline::open(Rule::BestFit)),
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum JobState {
    /// With the caller or between domains.
    Unassigned,
    /// Submitted to a domain.
    Assigned(usize),
    Ended,
}

/// Result of a job.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) first_start: Option<Moment>,
    pub(crate) end: Option<(Moment, Option<Ending>)>,
    /// Longest time for which the job held no accelerators, between arrival and end.
    pub(crate) longest_wait: Span,
    pub(crate) starts: u32,
}

/// Results of a run.
#[derive(Debug)]
pub(crate) struct Trace {
    pub(crate) outcomes: Vec<Outcome>,
    pub(crate) samples: Vec<Sample>,
    /// Useful accelerator-milliseconds, by domain and minute.
    pub(crate) useful: Vec<Vec<f64>>,
    pub(crate) stops: Stops,
    /// Accelerator-milliseconds of work that was lost.
    pub(crate) wasted: f64,
}

/// Stops that a policy requested, by reason.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct Stops {
    pub(crate) reclaimed: u32,
    pub(crate) moved: u32,
    pub(crate) left: u32,
    pub(crate) other: u32,
}

struct Run<'a> {
    deployment: &'a Deployment,
    policy_kind: PolicyKind,
    workload: &'a Workload,
    policies: Vec<Box<dyn Policy>>,
    /// Time of the scheduled tick, by domain.
    ticks: Vec<Option<Moment>>,
    state: DesiredState,
    workers: SimWorkers<'a>,
    events: EventQueue,
    jobs: Vec<JobState>,
    /// Latest attempt of each job.
    last_attempts: Vec<Attempt>,
    /// Time since which each unfinished job has held no accelerators.
    idle_since: Vec<Option<Moment>>,
    /// Time at which each job was last offered to other domains.
    offered_at: Vec<Option<Moment>>,
    outcomes: Vec<Outcome>,
    /// Loads known to the entry hosts, by host and domain.
    known_loads: Vec<Vec<Load>>,
    samples: Vec<Sample>,
    /// Jobs that have not ended.
    unfinished: usize,
    stops: Stops,
}

/// Simulates the workload until every job has ended.
///
/// # Panics
///
/// When the policy breaks an invariant that holds for every policy.
pub(crate) fn run(
    deployment: &Deployment,
    workload: &Workload,
    policy_kind: PolicyKind,
    seed: u64,
) -> Trace {
    let domains = workload.domains.len();
    let count = workload.jobs.len();
    let mut run = Run {
        deployment,
        policy_kind,
        workload,
        policies: (0..domains).map(|i| policy_kind.open(seed + i as u64)).collect(),
        ticks: vec![None; domains],
        state: DesiredState::default(),
        workers: SimWorkers::open(workload, seed),
        events: EventQueue::default(),
        jobs: vec![JobState::Unassigned; count],
        last_attempts: vec![Attempt(0); count],
        idle_since: vec![None; count],
        offered_at: vec![None; count],
        outcomes: vec![Outcome::default(); count],
        known_loads: vec![vec![Load::default(); domains]; ENTRY_HOSTS],
        samples: Vec::new(),
        unfinished: count,
        stops: Stops::default(),
    };
    run.schedule_inputs();
    run.run_events();
    run.into_trace()
}

impl Run<'_> {
    /// Announces the workers, applies the first release note and schedules the external input.
    fn schedule_inputs(&mut self) {
        for info in &self.workload.workers {
            let domain = self.workload.domains.iter().position(|id| *id == info.domain);
            let domain = domain.expect("the domain of the worker exists");
            self.decide(domain, Event::Worker(info.clone()), Moment(0));
        }
        self.apply_note(&self.deployment.first_note(), Moment(0));
        self.publish_loads(Moment(0));
        let (domain, from, to) = self.workload.withdrawal;
        self.events.schedule(from, SimEvent::SetService(domain, false));
        self.events.schedule(to, SimEvent::SetService(domain, true));
        for outage in &self.workload.outages {
            self.events.schedule(outage.from, SimEvent::LoseWorker(outage.worker));
            self.events.schedule(outage.to, SimEvent::RestoreWorker(outage.worker));
        }
        for (i, job) in self.workload.jobs.iter().enumerate() {
            self.events.schedule(job.arrival, SimEvent::Arrive(i));
            if let Some(cancel) = job.cancel {
                self.events.schedule(cancel, SimEvent::Cancel(i));
            }
        }
        self.events.schedule(Moment(0), SimEvent::ReportUsage);
        self.events.schedule(Moment(0), SimEvent::Rebalance);
        self.events.schedule(Moment(0), SimEvent::Sample);
    }

    fn run_events(&mut self) {
        while self.unfinished > 0 {
            let (now, event) = self.events.next().expect("periodic events are always scheduled");
            let limit = self.workload.arrivals_end + DRAIN_LIMIT;
            assert!(
                now < limit,
                "{} jobs have not ended, such as {}",
                self.unfinished,
                self.describe_unfinished()
            );
            self.handle(event, now);
        }
    }

    /// Describes a job that hasn't ended.
    fn describe_unfinished(&self) -> String {
        let job = self.jobs.iter().position(|state| *state != JobState::Ended);
        let Some(job) = job else { return String::new() };
        let spec = &self.workload.jobs[job].spec;
        let JobState::Assigned(domain) = self.jobs[job] else {
            return format!("{} is not in a domain", spec.key);
        };
        let why = self.policies[domain].why(&spec.key);
        format!("{} {} {} in {domain}: {why}", spec.key, spec.kind, spec.shape)
    }

    fn handle(&mut self, event: SimEvent, now: Moment) {
        match event {
            SimEvent::Arrive(job) => {
                self.idle_since[job] = Some(now);
                self.route(job, now);
            }
            SimEvent::Route(job) => self.route(job, now),
            SimEvent::Cancel(job) => self.cancel(job, now),
            SimEvent::SetService(domain, open) => self.set_service(domain, open, now),
            SimEvent::LoseWorker(worker) => self.lose_worker(worker, now),
            SimEvent::RestoreWorker(worker) => self.restore_worker(worker, now),
            SimEvent::Begin(job, attempt) => {
                let event = self.workers.begin(job, attempt, now, &mut self.events);
                self.decide_some(event, now);
            }
            SimEvent::End { job, attempt, generation, failed } => {
                self.workers.end((job, attempt), generation, failed, now, &mut self.events);
                self.begin_idle(job, now);
            }
            SimEvent::Vacate { job, attempt, saved } => {
                let event = self.workers.vacate(job, attempt, saved);
                self.begin_idle(job, now);
                self.decide_some(event, now);
            }
            SimEvent::Deliver(domain, event) => self.decide(domain, *event, now),
            SimEvent::Tick(domain) if self.ticks[domain] == Some(now) => {
                self.ticks[domain] = None;
                self.decide(domain, Event::Tick, now);
            }
            SimEvent::Tick(_) => {}
            SimEvent::PublishLoads => self.publish_loads(now),
            SimEvent::ReportUsage => self.report_usage(now),
            SimEvent::Rebalance => self.rebalance(now),
            SimEvent::Sample => self.sample(now),
        }
    }

    fn decide_some(&mut self, event: Option<(usize, Event)>, now: Moment) {
        if let Some((domain, event)) = event {
            self.decide(domain, event, now);
        }
    }

    fn decide(&mut self, domain: usize, event: Event, now: Moment) {
        let actions = self.policies[domain].decide(event, now);
        for action in actions {
            self.act(domain, action, now);
        }
        let next = self.policies[domain].next_tick().map(|at| at.max(now + Span(1)));
        if let Some(at) = next.filter(|_| next != self.ticks[domain]) {
            self.ticks[domain] = next;
            self.events.schedule(at, SimEvent::Tick(domain));
        }
    }

    fn end_idle(&mut self, job: usize, now: Moment) {
        if let Some(since) = self.idle_since[job].take() {
            let longest = &mut self.outcomes[job].longest_wait;
            *longest = (*longest).max(now.since(since));
        }
    }

    fn begin_idle(&mut self, job: usize, now: Moment) {
        if self.jobs[job] != JobState::Ended && !self.workers.holds(job) {
            self.idle_since[job].get_or_insert(now);
        }
    }

    fn route(&mut self, job: usize, now: Moment) {
        if self.jobs[job] != JobState::Unassigned {
            return;
        }
        let input = &self.workload.jobs[job];
        let views = self.views(input.entry);
        let Some(chosen) = self.policy_kind.route(&input.spec, &self.state, &views) else {
            self.events.schedule(now + ROUTE_RETRY, SimEvent::Route(job));
            return;
        };
        let domain = self.workload.domains.iter().position(|id| *id == chosen);
        let domain = domain.expect("the router returns an existing domain");
        self.known_loads[input.entry][domain].add_waiting(&input.spec);
        self.jobs[job] = JobState::Assigned(domain);
        let (spec, attempt) = (input.spec.clone(), self.last_attempts[job]);
        let event = Event::Submit { spec, attempt, used: attempt, age: now.since(input.arrival) };
        self.decide(domain, event, now);
    }

    fn cancel(&mut self, job: usize, now: Moment) {
        match self.jobs[job] {
            JobState::Unassigned => self.end(job, None, now),
            JobState::Assigned(domain) => {
                let key = self.workload.jobs[job].spec.key.clone();
                self.decide(domain, Event::Cancel(key), now);
            }
            JobState::Ended => {}
        }
    }

    fn set_service(&mut self, domain: usize, open: bool, now: Moment) {
        let service = if open { Service::In } else { Service::Out };
        let spec = self.deployment.domain(self.workload.domains[domain].as_str(), service);
        let note = ReleaseNote {
            base: self.state.version,
            id: format!("serve-{open}"),
            added: Entries::default(),
            changed: Entries { domains: vec![spec], workspaces: Vec::new() },
            withdrawn: Default::default(),
        };
        self.workers.in_service[domain] = open;
        self.apply_note(&note, now);
    }

    fn apply_note(&mut self, note: &ReleaseNote, now: Moment) {
        self.state = self.state.try_apply(note).expect("the note is valid");
        let shares: Vec<_> = self.workload.domains.iter().map(|id| self.state.share(id)).collect();
        for (domain, share) in shares.into_iter().enumerate() {
            let share = share.expect("no note removes a domain");
            self.decide(domain, Event::Share(share), now);
        }
    }

    fn lose_worker(&mut self, worker: usize, now: Moment) {
        for job in self.workers.lose_worker(worker, now) {
            self.begin_idle(job, now);
        }
        let event = Event::WorkerLost(self.workload.workers[worker].id.clone());
        let delivery = SimEvent::Deliver(self.workers.domain(worker), Box::new(event));
        self.events.schedule(now + LOSS_DETECTION, delivery);
    }

    fn restore_worker(&mut self, worker: usize, now: Moment) {
        self.workers.restore_worker(worker);
        let event = Event::Worker(self.workload.workers[worker].clone());
        self.decide(self.workers.domain(worker), event, now);
    }

    fn publish_loads(&mut self, now: Moment) {
        let loads: Vec<_> = self.policies.iter().map(|policy| policy.load()).collect();
        self.known_loads = vec![loads; ENTRY_HOSTS];
        self.events.schedule(now + LOAD_INTERVAL, SimEvent::PublishLoads);
    }

    fn report_usage(&mut self, now: Moment) {
        for domain in 0..self.policies.len() {
            let event = Event::Usage(self.workers.usage(domain, USAGE_AGE));
            let delivery = SimEvent::Deliver(domain, Box::new(event));
            self.events.schedule(now + USAGE_AGE, delivery);
        }
        self.events.schedule(now + USAGE_INTERVAL, SimEvent::ReportUsage);
    }

    /// Offers waiting jobs to domains that have room for them now, as the daemons do; the longest
    /// wait goes first. It improves every policy, so it is applied to all of them.
    fn rebalance(&mut self, now: Moment) {
        self.events.schedule(now + REBALANCE_INTERVAL, SimEvent::Rebalance);
        let mut candidates: Vec<_> = (0..self.jobs.len())
            .filter_map(|job| self.idle_since[job].map(|since| (since, job)))
            .filter(|(since, job)| {
                let may_offer =
                    self.offered_at[*job].is_none_or(|at| now.since(at) >= OFFER_INTERVAL);
                now.since(*since) >= REBALANCE_WAIT && may_offer
            })
            .collect();
        candidates.sort_unstable();
        let mut offers = vec![0; self.policies.len()];
        for (_, job) in candidates {
            let JobState::Assigned(domain) = self.jobs[job] else { continue };
            if offers[domain] == MAX_OFFERS || !self.has_room_elsewhere(job, domain) {
                continue;
            }
            offers[domain] += 1;
            self.offered_at[job] = Some(now);
            let key = self.workload.jobs[job].spec.key.clone();
            self.decide(domain, Event::Reroute(key), now);
        }
    }

    fn has_room_elsewhere(&self, job: usize, domain: usize) -> bool {
        let input = &self.workload.jobs[job];
        let views = self.views(input.entry);
        reroute(&input.spec, &self.state, &views, &self.workload.domains[domain]).is_some()
    }

    fn views(&self, entry: usize) -> Vec<DomainView> {
        let loads = &self.known_loads[entry];
        let view = |i: usize| DomainView {
            id: self.workload.domains[i].clone(),
            load: loads[i],
            reachable: true,
        };
        (0..loads.len()).map(view).collect()
    }

    fn into_trace(mut self) -> Trace {
        assert!(self.jobs.iter().all(|state| *state == JobState::Ended), "every job has ended");
        for (outcome, record) in self.outcomes.iter_mut().zip(&self.workers.records) {
            outcome.first_start = record.first_start;
            outcome.starts = record.starts;
        }
        Trace {
            outcomes: self.outcomes,
            samples: self.samples,
            useful: self.workers.useful,
            stops: self.stops,
            wasted: self.workers.wasted,
        }
    }
}

/// Returns the index of a job, which its request is named by.
fn job_index(key: &JobKey) -> usize {
    key.request.as_str()[1..].parse().expect("the request holds the index of its job")
}
