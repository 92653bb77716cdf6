//! The input of a run, generated from a seed so that every policy gets the same jobs, faults and
//! withdrawals.

use bulrushlink_core::{
    Adjacency, DomainId, DomainSpec, Entries, Guarantee, JobKey, JobSpec, KindId, Moment, RackId,
    RegionId, ReleaseNote, Service, Shape, Span, Urgency, WorkerId, WorkerInfo, WorkspaceId,
    WorkspaceSpec,
};
use fastrand::Rng;

use crate::kinds::{Arrivals, Kind};

/// Entry hosts; each routes jobs by the loads that it knows.
pub(crate) const ENTRY_HOSTS: usize = 8;
/// Accelerators of each worker.
pub(crate) const WORKER_ACCELERATORS: u8 = 8;
const WORKER_SLOTS: u16 = 8;
const MINUTE_MS: u64 = 60_000;
/// Largest number of workers that are lost for a while.
const MAX_OUTAGES: usize = 6;
/// Time that a start and its notifications add to the time for which a guaranteed shape is in use.
const START_MARGIN: Span = Span::from_secs(15);
/// Jobs that arrived at most this long before a wave of cancellations may be cancelled by it.
const WAVE_MAX_AGE: Span = Span::from_secs(30 * 60);

/// The hardware, guarantees and kinds of jobs of one customer.
#[derive(Clone, Debug)]
pub(crate) struct Deployment {
    pub(crate) name: &'static str,
    pub(crate) region: &'static str,
    /// Failure domains, each with the number of workers in each rack.
    pub(crate) domains: [(&'static str, &'static [u8]); 3],
    pub(crate) guarantees: &'static [(&'static str, &'static [(Shape, u16)])],
    pub(crate) kinds: &'static [Kind],
}

/// How a job behaves when it is started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Behaviour {
    /// Completes once it has had its run time.
    Sound,
    /// Fails wherever it starts.
    Faulty,
    /// Is never started: no hardware of the deployment can hold its shape.
    Unfit,
}

/// A job, with properties that are hidden from the policies.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) spec: JobSpec,
    pub(crate) arrival: Moment,
    /// True run time at full speed.
    pub(crate) run_time: Span,
    /// Entry host that routes it.
    pub(crate) entry: usize,
    pub(crate) behaviour: Behaviour,
    pub(crate) cancel: Option<Moment>,
    /// Urgent, and within its workspace's guarantee provided that all such jobs start on arrival.
    pub(crate) guaranteed: bool,
}

impl Job {
    /// Returns true if the completion time of the job is measured.
    pub(crate) fn is_measured(&self) -> bool {
        self.behaviour == Behaviour::Sound && self.cancel.is_none()
    }
}

/// Time for which a worker is lost.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Outage {
    pub(crate) worker: usize,
    pub(crate) from: Moment,
    pub(crate) to: Moment,
}

/// The external input of a run.
#[derive(Clone, Debug)]
pub(crate) struct Workload {
    /// Sorted by arrival.
    pub(crate) jobs: Vec<Job>,
    /// Sorted by id; the index in this list identifies a worker in the simulation.
    pub(crate) workers: Vec<WorkerInfo>,
    pub(crate) domains: Vec<DomainId>,
    pub(crate) outages: Vec<Outage>,
    /// A worker on which all tasks fail, and since when.
    pub(crate) faulty_worker: (usize, Moment),
    /// The domain that is withdrawn from service, and the begin and end of that time.
    pub(crate) withdrawal: (usize, Moment, Moment),
    /// End of the time in which jobs arrive.
    pub(crate) arrivals_end: Moment,
}

impl Workload {
    /// Generates the input from a seed; jobs arrive for `minutes`.
    pub(crate) fn generate(deployment: &Deployment, seed: u64, minutes: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let workers = deployment.workers();
        let from = minutes * rng.u64(40..50) / 100;
        let to = from + minutes * 20 / 100;
        let withdrawal = (rng.usize(..3), at_minute(from), at_minute(to));
        let bursts: Vec<u64> = (0..minutes / 20).map(|i| i * 20 + rng.u64(..20)).collect();
        let mut jobs = Vec::new();
        for kind in deployment.kinds {
            for arrival in arrivals(kind.arrivals, minutes, &bursts, &mut rng) {
                jobs.push(random_job(kind, arrival, &mut rng));
            }
        }
        jobs.sort_by_key(|job| job.arrival);
        for (i, job) in jobs.iter_mut().enumerate() {
            job.spec.key.request = parse(&format!("r{i}"));
        }
        let waves = [minutes * 20 / 100 + rng.u64(..10), minutes * 75 / 100 + rng.u64(..10)];
        for wave in waves {
            cancel_wave(&mut jobs, at_minute(wave), &mut rng);
        }
        deployment.mark_guaranteed(&mut jobs);
        let mut outages: Vec<Outage> =
            (0..MAX_OUTAGES).map(|_| random_outage(workers.len(), minutes, &mut rng)).collect();
        outages.sort_by_key(|outage| outage.worker);
        outages.dedup_by_key(|outage| outage.worker);
        let faulty_worker = (rng.usize(..workers.len()), at_minute(minutes / 8));
        let domains = deployment.domains.iter().map(|(id, _)| parse(id)).collect();
        Self {
            jobs,
            workers,
            domains,
            outages,
            faulty_worker,
            withdrawal,
            arrivals_end: at_minute(minutes),
        }
    }
}

impl Workload {
    /// Returns the accelerator time of all sound jobs that are not cancelled, as a fraction of what
    /// the domains in service offer while jobs arrive.
    pub(crate) fn offered_load(&self) -> f64 {
        let sound = self.jobs.iter().filter(|job| job.is_measured());
        let demand: f64 =
            sound.map(|job| f64::from(job.spec.shape.total()) * job.run_time.secs_f64()).sum();
        let supply = |info: &WorkerInfo| {
            let (domain, from, to) = self.withdrawal;
            let withdrawn =
                if info.domain == self.domains[domain] { to.since(from) } else { Span::ZERO };
            f64::from(info.accelerators)
                * (self.arrivals_end.since(Moment(0)).secs_f64() - withdrawn.secs_f64())
        };
        demand / self.workers.iter().map(supply).sum::<f64>()
    }
}

fn at_minute(minute: u64) -> Moment {
    Moment(minute * MINUTE_MS)
}

/// Parses an identifier that is known to be valid.
pub(crate) fn parse<T: std::str::FromStr>(text: &str) -> T {
    text.parse().ok().expect("the identifier is valid")
}

fn arrivals(plan: Arrivals, minutes: u64, bursts: &[u64], rng: &mut Rng) -> Vec<Moment> {
    let mut all = Vec::new();
    match plan {
        Arrivals::Steady { hourly } => {
            for _ in 0..hourly * minutes / 60 {
                all.push(Moment(rng.u64(..minutes * MINUTE_MS)));
            }
        }
        Arrivals::Rush { percent, within, count } => {
            for _ in 0..count {
                let offset = rng.u64(..within * MINUTE_MS);
                all.push(at_minute(minutes * percent / 100) + Span(offset));
            }
        }
        Arrivals::Bursts { size, within } => {
            for burst in bursts {
                for _ in 0..rng.u64(size / 2..=size) {
                    all.push(at_minute(*burst) + Span(rng.u64(..within.0)));
                }
            }
        }
    }
    all
}

fn log_uniform(low: f64, high: f64, rng: &mut Rng) -> f64 {
    (low.ln() + rng.f64() * (high.ln() - low.ln())).exp()
}

fn random_job(kind: &Kind, arrival: Moment, rng: &mut Rng) -> Job {
    let secs = log_uniform(kind.run_secs.0, kind.run_secs.1, rng);
    let estimate_error = log_uniform(0.1, 10.0, rng);
    let mut behaviour = Behaviour::Sound;
    let mut shape = kind.shapes[rng.usize(..kind.shapes.len())];
    let draw = rng.u32(..1000);
    if kind.urgency != Urgency::Urgent && draw < 10 {
        behaviour = Behaviour::Faulty;
    } else if kind.urgency != Urgency::Urgent && draw < 14 {
        behaviour = Behaviour::Unfit;
        shape = Shape { tasks: 64, accelerators: 8, adjacency: Adjacency::Rack };
    }
    let spec = JobSpec {
        key: JobKey { workspace: parse(kind.workspace), request: parse("r") },
        kind: parse::<KindId>(kind.name),
        shape,
        urgency: kind.urgency,
        declared: Span(((secs * estimate_error * 1000.0) as u64).max(1000)),
        deadline: kind.deadline,
        idempotent: rng.u32(..100) < kind.idempotent_percent,
        checkpoint: kind.checkpoint,
        domain: None,
        input: String::new(),
    };
    let run_time = Span((secs * 1000.0) as u64);
    let entry = rng.usize(..ENTRY_HOSTS);
    Job { spec, arrival, run_time, entry, behaviour, cancel: None, guaranteed: false }
}

/// Cancels about half of the recent jobs that are not urgent.
fn cancel_wave(jobs: &mut [Job], wave: Moment, rng: &mut Rng) {
    for job in jobs.iter_mut().filter(|job| job.spec.urgency != Urgency::Urgent) {
        let recent = job.arrival <= wave && wave.since(job.arrival) <= WAVE_MAX_AGE;
        if recent && rng.bool() {
            job.cancel = Some(wave);
        }
    }
}

fn random_outage(workers: usize, minutes: u64, rng: &mut Rng) -> Outage {
    let from = at_minute(rng.u64(5..minutes));
    Outage { worker: rng.usize(..workers), from, to: from + Span(rng.u64(10..30) * MINUTE_MS) }
}

impl Deployment {
    fn workers(&self) -> Vec<WorkerInfo> {
        let mut all = Vec::new();
        for (domain, racks) in self.domains {
            for (rack, workers) in racks.iter().enumerate() {
                for worker in 0..*workers {
                    all.push(WorkerInfo {
                        id: parse::<WorkerId>(&format!("{domain}-{rack}-{worker}")),
                        domain: parse(domain),
                        rack: parse::<RackId>(&format!("{domain}-{rack}")),
                        accelerators: WORKER_ACCELERATORS,
                        slots: WORKER_SLOTS,
                        leaving: false,
                    });
                }
            }
        }
        all.sort_by(|a, b| a.id.cmp(&b.id));
        all
    }

    /// Returns the first release note: all domains in service, all guarantees.
    pub(crate) fn first_note(&self) -> ReleaseNote {
        let domains = self.domains.iter().map(|(id, _)| self.domain(id, Service::In)).collect();
        let workspaces = self.guarantees.iter().map(|(id, shapes)| workspace(id, shapes)).collect();
        ReleaseNote {
            base: Default::default(),
            id: "first".to_string(),
            added: Entries { domains, workspaces },
            changed: Entries::default(),
            withdrawn: Default::default(),
        }
    }

    /// Returns the declaration of a domain with the given service.
    pub(crate) fn domain(&self, id: &str, service: Service) -> DomainSpec {
        let region = parse::<RegionId>(self.region);
        DomainSpec { id: parse(id), region, service, grace: DomainSpec::DEFAULT_GRACE }
    }

    /// Marks the urgent jobs that are within a guarantee if all of them start on arrival.
    fn mark_guaranteed(&self, jobs: &mut [Job]) {
        for (name, shapes) in self.guarantees {
            let name: WorkspaceId = parse(name);
            for (shape, count) in *shapes {
                let mut ends: Vec<Moment> = Vec::new();
                let covered = |job: &&mut Job| {
                    job.spec.key.workspace == name
                        && job.spec.shape == *shape
                        && job.spec.urgency == Urgency::Urgent
                };
                for job in jobs.iter_mut().filter(covered) {
                    ends.retain(|end| *end > job.arrival);
                    job.guaranteed = ends.len() < usize::from(*count);
                    ends.push(job.arrival + job.run_time + START_MARGIN);
                }
            }
        }
    }
}

fn workspace(id: &str, shapes: &[(Shape, u16)]) -> WorkspaceSpec {
    let guarantee =
        |(shape, count): &(Shape, u16)| Guarantee { shape: *shape, count: *count, domain: None };
    let guarantees = shapes.iter().map(guarantee).collect();
    WorkspaceSpec { id: parse(id), guarantees, queue: WorkspaceSpec::DEFAULT_QUEUE }
}
