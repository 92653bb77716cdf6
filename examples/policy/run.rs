//! One policy through one workload, in virtual time.

mod act;
mod sample;

use bulrushlink_core::{
    Attempt, DesiredState, DomainId, DomainView, Ending, Entries, Event, JobKey, JobSpec, Load,
    Moment, ReleaseNote, Scheduler, Service, Span, reroute, route,
};

use serde::Serialize;

use crate::agenda::{Agenda, Happening};
use crate::baseline::{self, Baseline, Policy, Rule};
use crate::table::Table;
use crate::workload::{Deployment, ENTRY_HOSTS, Workload};

pub(crate) use sample::{SAMPLE_EVERY, Sample};

const ANNOUNCE_EVERY: Span = Span::from_secs(1);
const OBSERVE_EVERY: Span = Span::from_secs(10);
const OBSERVE_AGE: Span = Span::from_secs(3);
const LOOK_EVERY: Span = Span::from_secs(5);
/// Wait after which another domain is looked for.
const LOOK_AFTER: Span = Span::from_secs(10);
/// Time between two moves of a job.
const MOVE_EVERY: Span = Span::from_secs(180);
/// The most jobs that a domain offers to others in one look.
const MOVES_MAX: usize = 4;
const LOSS_NOTICE: Span = Span::from_secs(2);
const ROUTE_RETRY: Span = Span::from_secs(5);
/// Time after the last arrival by which all jobs must have ended.
const DRAIN: Span = Span::from_secs(24 * 3600);

/// What decides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Contender {
    Core,
    FirstFit,
    BestFit,
}

impl Contender {
    pub(crate) const ALL: [Self; 3] = [Self::Core, Self::FirstFit, Self::BestFit];

    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Core => "core",
            Self::FirstFit => "first-fit",
            Self::BestFit => "best-fit",
        }
    }

    /// Chooses the domain of a job: the product's way for the core, the least loaded domain for the
    /// baselines, which do worse behind the product's router.
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
enum State {
    /// With the caller or between domains.
    Outside,
    /// In a domain.
    Inside(usize),
    Ended,
}

/// What became of a job.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) first_start: Option<Moment>,
    pub(crate) end: Option<(Moment, Option<Ending>)>,
    /// Longest time without accelerators, between arrival and end.
    pub(crate) longest_wait: Span,
    pub(crate) starts: u32,
}

/// What a run leaves behind.
#[derive(Debug)]
pub(crate) struct Trace {
    pub(crate) outcomes: Vec<Outcome>,
    pub(crate) samples: Vec<Sample>,
    /// Useful accelerator-milliseconds, by domain and minute.
    pub(crate) useful: Vec<Vec<f64>>,
    pub(crate) stops: Stops,
    /// Accelerator-milliseconds that had to be done again.
    pub(crate) wasted: f64,
}

/// Stops that a policy asked for, by reason.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct Stops {
    pub(crate) reclaimed: u32,
    pub(crate) moved: u32,
    pub(crate) left: u32,
    pub(crate) other: u32,
}

struct Run<'a> {
    deployment: &'a Deployment,
    contender: Contender,
    workload: &'a Workload,
    policies: Vec<Box<dyn Policy>>,
    /// Tick that is planned, by domain.
    ticks: Vec<Option<Moment>>,
    state: DesiredState,
    table: Table<'a>,
    agenda: Agenda,
    jobs: Vec<State>,
    last: Vec<Attempt>,
    /// Since when a job has had no accelerators.
    idle: Vec<Option<Moment>>,
    /// When a job was last offered to other domains.
    offered: Vec<Option<Moment>>,
    outcomes: Vec<Outcome>,
    /// Loads as each entry host knows them, by host and domain.
    heard: Vec<Vec<Load>>,
    samples: Vec<Sample>,
    left: usize,
    stops: Stops,
}

/// Runs the workload to its end.
///
/// # Panics
///
/// When the policy breaks a rule that holds for every policy.
pub(crate) fn run(
    deployment: &Deployment,
    workload: &Workload,
    contender: Contender,
    seed: u64,
) -> Trace {
    let domains = workload.domains.len();
    let count = workload.jobs.len();
    let mut run = Run {
        deployment,
        contender,
        workload,
        policies: (0..domains).map(|i| contender.open(seed + i as u64)).collect(),
        ticks: vec![None; domains],
        state: DesiredState::default(),
        table: Table::open(workload, seed),
        agenda: Agenda::default(),
        jobs: vec![State::Outside; count],
        last: vec![Attempt(0); count],
        idle: vec![None; count],
        offered: vec![None; count],
        outcomes: vec![Outcome::default(); count],
        heard: vec![vec![Load::default(); domains]; ENTRY_HOSTS],
        samples: Vec::new(),
        left: count,
        stops: Stops::default(),
    };
    run.open();
    run.go();
    run.close()
}

impl Run<'_> {
    fn open(&mut self) {
        for info in &self.workload.workers {
            let domain = self.workload.domains.iter().position(|id| *id == info.domain);
            let domain = domain.expect("every worker is in a domain");
            self.decide(domain, Event::Worker(info.clone()), Moment(0));
        }
        self.accept(&self.deployment.first_note(), Moment(0));
        self.announce(Moment(0));
        let (domain, from, to) = self.workload.out;
        self.agenda.add(from, Happening::Serve(domain, false));
        self.agenda.add(to, Happening::Serve(domain, true));
        for loss in &self.workload.losses {
            self.agenda.add(loss.from, Happening::Lose(loss.worker));
            self.agenda.add(loss.to, Happening::Restore(loss.worker));
        }
        for (i, job) in self.workload.jobs.iter().enumerate() {
            self.agenda.add(job.arrives, Happening::Arrive(i));
            if let Some(cancel) = job.cancel {
                self.agenda.add(cancel, Happening::Cancel(i));
            }
        }
        self.agenda.add(Moment(0), Happening::Observe);
        self.agenda.add(Moment(0), Happening::Look);
        self.agenda.add(Moment(0), Happening::Sample);
    }

    fn go(&mut self) {
        while self.left > 0 {
            let (now, what) = self.agenda.next().expect("announcements go on");
            let late = self.workload.until + DRAIN;
            assert!(now < late, "{} jobs never end, e.g. {}", self.left, self.stuck());
            self.happen(what, now);
        }
    }

    /// Describes a job that hasn't ended.
    fn stuck(&self) -> String {
        let job = self.jobs.iter().position(|state| *state != State::Ended);
        let Some(job) = job else { return String::new() };
        let spec = &self.workload.jobs[job].spec;
        let State::Inside(domain) = self.jobs[job] else { return format!("{} outside", spec.key) };
        let why = self.policies[domain].why(&spec.key);
        format!("{} {} {} in {domain}: {why}", spec.key, spec.kind, spec.shape)
    }

    fn happen(&mut self, what: Happening, now: Moment) {
        match what {
            Happening::Arrive(job) => {
                self.idle[job] = Some(now);
                self.route(job, now);
            }
            Happening::Route(job) => self.route(job, now),
            Happening::Cancel(job) => self.cancel(job, now),
            Happening::Serve(domain, open) => self.serve(domain, open, now),
            Happening::Lose(worker) => self.lose(worker, now),
            Happening::Restore(worker) => self.restore(worker, now),
            Happening::Begin(job, attempt) => {
                let told = self.table.begin(job, attempt, now, &mut self.agenda);
                self.tell(told, now);
            }
            Happening::End { job, attempt, change, failed } => {
                self.table.end((job, attempt), change, failed, now, &mut self.agenda);
                self.note_idle(job, now);
            }
            Happening::Vacate { job, attempt, saved } => {
                let told = self.table.vacate(job, attempt, saved);
                self.note_idle(job, now);
                self.tell(told, now);
            }
            Happening::Deliver(domain, event) => self.decide(domain, *event, now),
            Happening::Tick(domain) if self.ticks[domain] == Some(now) => {
                self.ticks[domain] = None;
                self.decide(domain, Event::Tick, now);
            }
            Happening::Tick(_) => {}
            Happening::Announce => self.announce(now),
            Happening::Observe => self.observe(now),
            Happening::Look => self.look(now),
            Happening::Sample => self.sample(now),
        }
    }

    fn tell(&mut self, told: Option<(usize, Event)>, now: Moment) {
        if let Some((domain, event)) = told {
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
            self.agenda.add(at, Happening::Tick(domain));
        }
    }

    fn note_busy(&mut self, job: usize, now: Moment) {
        if let Some(since) = self.idle[job].take() {
            let longest = &mut self.outcomes[job].longest_wait;
            *longest = (*longest).max(now.since(since));
        }
    }

    fn note_idle(&mut self, job: usize, now: Moment) {
        if self.jobs[job] != State::Ended && !self.table.holds(job) {
            self.idle[job].get_or_insert(now);
        }
    }

    fn route(&mut self, job: usize, now: Moment) {
        if self.jobs[job] != State::Outside {
            return;
        }
        let truth = &self.workload.jobs[job];
        let views = self.views(truth.entry);
        let Some(chosen) = self.contender.route(&truth.spec, &self.state, &views) else {
            self.agenda.add(now + ROUTE_RETRY, Happening::Route(job));
            return;
        };
        let domain = self.workload.domains.iter().position(|id| *id == chosen);
        let domain = domain.expect("the router chooses among the domains");
        self.heard[truth.entry][domain].add(&truth.spec);
        self.jobs[job] = State::Inside(domain);
        let (spec, attempt) = (truth.spec.clone(), self.last[job]);
        let event = Event::Submit { spec, attempt, used: attempt, age: now.since(truth.arrives) };
        self.decide(domain, event, now);
    }

    fn cancel(&mut self, job: usize, now: Moment) {
        match self.jobs[job] {
            State::Outside => self.end(job, None, now),
            State::Inside(domain) => {
                let key = self.workload.jobs[job].spec.key.clone();
                self.decide(domain, Event::Cancel(key), now);
            }
            State::Ended => {}
        }
    }

    fn serve(&mut self, domain: usize, open: bool, now: Moment) {
        let service = if open { Service::In } else { Service::Out };
        let spec = self.deployment.domain(self.workload.domains[domain].as_str(), service);
        let note = ReleaseNote {
            base: self.state.version,
            id: format!("serve-{open}"),
            added: Entries::default(),
            changed: Entries { domains: vec![spec], workspaces: Vec::new() },
            withdrawn: Default::default(),
        };
        self.table.open[domain] = open;
        self.accept(&note, now);
    }

    fn accept(&mut self, note: &ReleaseNote, now: Moment) {
        self.state = self.state.try_apply(note).expect("notes of the run are valid");
        let shares: Vec<_> = self.workload.domains.iter().map(|id| self.state.share(id)).collect();
        for (domain, share) in shares.into_iter().enumerate() {
            let share = share.expect("no domain is ever removed");
            self.decide(domain, Event::Share(share), now);
        }
    }

    fn lose(&mut self, worker: usize, now: Moment) {
        for job in self.table.lose(worker, now) {
            self.note_idle(job, now);
        }
        let event = Event::WorkerLost(self.workload.workers[worker].id.clone());
        let happening = Happening::Deliver(self.table.domain(worker), Box::new(event));
        self.agenda.add(now + LOSS_NOTICE, happening);
    }

    fn restore(&mut self, worker: usize, now: Moment) {
        self.table.restore(worker);
        let event = Event::Worker(self.workload.workers[worker].clone());
        self.decide(self.table.domain(worker), event, now);
    }

    fn announce(&mut self, now: Moment) {
        let loads: Vec<_> = self.policies.iter().map(|policy| policy.load()).collect();
        self.heard = vec![loads; ENTRY_HOSTS];
        self.agenda.add(now + ANNOUNCE_EVERY, Happening::Announce);
    }

    fn observe(&mut self, now: Moment) {
        for domain in 0..self.policies.len() {
            let event = Event::Usage(self.table.usage(domain, OBSERVE_AGE));
            let happening = Happening::Deliver(domain, Box::new(event));
            self.agenda.add(now + OBSERVE_AGE, happening);
        }
        self.agenda.add(now + OBSERVE_EVERY, Happening::Observe);
    }

    /// Offers jobs that have waited to a domain that has room for them now, as the product's placers
    /// do; the longest wait goes first. Any policy gains by it, so all of them get it.
    fn look(&mut self, now: Moment) {
        self.agenda.add(now + LOOK_EVERY, Happening::Look);
        let mut waits: Vec<_> = (0..self.jobs.len())
            .filter_map(|job| self.idle[job].map(|since| (since, job)))
            .filter(|(since, job)| {
                let offered = self.offered[*job].is_none_or(|at| now.since(at) >= MOVE_EVERY);
                now.since(*since) >= LOOK_AFTER && offered
            })
            .collect();
        waits.sort_unstable();
        let mut moves = vec![0; self.policies.len()];
        for (_, job) in waits {
            let State::Inside(domain) = self.jobs[job] else { continue };
            if moves[domain] == MOVES_MAX || !self.has_room_elsewhere(job, domain) {
                continue;
            }
            moves[domain] += 1;
            self.offered[job] = Some(now);
            let key = self.workload.jobs[job].spec.key.clone();
            self.decide(domain, Event::Release(key), now);
        }
    }

    fn has_room_elsewhere(&self, job: usize, domain: usize) -> bool {
        let truth = &self.workload.jobs[job];
        let views = self.views(truth.entry);
        reroute(&truth.spec, &self.state, &views, &self.workload.domains[domain]).is_some()
    }

    fn views(&self, entry: usize) -> Vec<DomainView> {
        let heard = &self.heard[entry];
        let view = |i: usize| DomainView {
            id: self.workload.domains[i].clone(),
            load: heard[i],
            reachable: true,
        };
        (0..heard.len()).map(view).collect()
    }

    fn close(mut self) -> Trace {
        assert!(self.jobs.iter().all(|state| *state == State::Ended), "every job ends");
        for (outcome, record) in self.outcomes.iter_mut().zip(&self.table.records) {
            outcome.first_start = record.first_start;
            outcome.starts = record.starts;
        }
        Trace {
            outcomes: self.outcomes,
            samples: self.samples,
            useful: self.table.useful,
            stops: self.stops,
            wasted: self.table.wasted,
        }
    }
}

/// Requests are named by the number of their job.
fn index(key: &JobKey) -> usize {
    key.request.as_str()[1..].parse().expect("requests are numbered")
}
