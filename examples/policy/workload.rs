//! The seeded input of a run, so that every policy meets the same jobs, faults and withdrawals.

use bulrushlink_core::{
    Adjacency, DomainId, DomainSpec, Entries, Guarantee, JobKey, JobSpec, KindId, Moment, RackId,
    RegionId, ReleaseNote, Service, Shape, Span, Urgency, WorkerId, WorkerInfo, WorkspaceId,
    WorkspaceSpec,
};
use fastrand::Rng;

use crate::kinds::{Arrivals, Kind};

/// Entry hosts that route jobs, each by what it has heard.
pub(crate) const ENTRY_HOSTS: usize = 8;
/// Accelerators of each worker.
pub(crate) const WORKER_ACCELERATORS: u8 = 8;
const WORKER_SLOTS: u16 = 8;
const MINUTE_MS: u64 = 60_000;
/// Workers that are lost for a while, at most.
const LOSSES: usize = 6;
/// Time that a start and its notifications add to the occupancy of a guaranteed shape.
const START_MARGIN: Span = Span::from_secs(15);
/// Jobs that arrived within this time before a cancel wave may be in it.
const WAVE_REACH: Span = Span::from_secs(30 * 60);

/// One customer's hardware, guarantees and kinds of jobs.
#[derive(Clone, Debug)]
pub(crate) struct Deployment {
    pub(crate) name: &'static str,
    pub(crate) region: &'static str,
    /// Failure domains with the number of workers of each rack.
    pub(crate) domains: [(&'static str, &'static [u8]); 3],
    pub(crate) guarantees: &'static [(&'static str, &'static [(Shape, u16)])],
    pub(crate) kinds: &'static [Kind],
}

/// What makes a job end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Nature {
    /// Completes where it gets its run time.
    Sound,
    /// Fails wherever it starts.
    Faulty,
    /// No hardware of the deployment holds its shape.
    Unfit,
}

/// A job with the truth that no policy is told.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) spec: JobSpec,
    pub(crate) arrives: Moment,
    /// True run time at full speed.
    pub(crate) runs: Span,
    /// Entry host that routes it.
    pub(crate) entry: usize,
    pub(crate) nature: Nature,
    pub(crate) cancel: Option<Moment>,
    /// Urgent, and within its workspace's guarantee if all such jobs start at once.
    pub(crate) guaranteed: bool,
}

impl Job {
    /// Tells whether the completion time of the job is measured.
    pub(crate) fn counts(&self) -> bool {
        self.nature == Nature::Sound && self.cancel.is_none()
    }
}

/// A worker that goes and returns.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Loss {
    pub(crate) worker: usize,
    pub(crate) from: Moment,
    pub(crate) to: Moment,
}

/// Everything that happens to a policy from outside.
#[derive(Clone, Debug)]
pub(crate) struct Workload {
    /// Sorted by arrival.
    pub(crate) jobs: Vec<Job>,
    /// Sorted by worker; the index is the worker's number elsewhere.
    pub(crate) workers: Vec<WorkerInfo>,
    pub(crate) domains: Vec<DomainId>,
    pub(crate) losses: Vec<Loss>,
    /// A worker that fails all that it starts, and from when on.
    pub(crate) bad: (usize, Moment),
    /// The withdrawn domain, and the time for which it is out.
    pub(crate) out: (usize, Moment, Moment),
    /// Last arrival.
    pub(crate) until: Moment,
}

impl Workload {
    /// Makes the input for a seed; jobs arrive for `minutes`.
    pub(crate) fn generate(deployment: &Deployment, seed: u64, minutes: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let workers = deployment.workers();
        let from = minutes * rng.u64(40..50) / 100;
        let to = from + minutes * 20 / 100;
        let out = (rng.usize(..3), at_minute(from), at_minute(to));
        let bursts: Vec<u64> = (0..minutes / 20).map(|i| i * 20 + rng.u64(..20)).collect();
        let mut jobs = Vec::new();
        for kind in deployment.kinds {
            for arrives in arrivals(kind.arrivals, minutes, &bursts, &mut rng) {
                jobs.push(make_job(kind, arrives, &mut rng));
            }
        }
        jobs.sort_by_key(|job| job.arrives);
        for (i, job) in jobs.iter_mut().enumerate() {
            job.spec.key.request = parse(&format!("r{i}"));
        }
        let waves = [minutes * 20 / 100 + rng.u64(..10), minutes * 75 / 100 + rng.u64(..10)];
        for wave in waves {
            cancel_wave(&mut jobs, at_minute(wave), &mut rng);
        }
        deployment.mark_guaranteed(&mut jobs);
        let mut losses: Vec<Loss> =
            (0..LOSSES).map(|_| loss(workers.len(), minutes, &mut rng)).collect();
        losses.sort_by_key(|loss| loss.worker);
        losses.dedup_by_key(|loss| loss.worker);
        let bad = (rng.usize(..workers.len()), at_minute(minutes / 8));
        let domains = deployment.domains.iter().map(|(id, _)| parse(id)).collect();
        Self { jobs, workers, domains, losses, bad, out, until: at_minute(minutes) }
    }
}

impl Workload {
    /// Returns the accelerator time of all sound jobs that nobody cancels, as a share of what the
    /// domains in service could give while jobs arrive.
    pub(crate) fn offered(&self) -> f64 {
        let sound = self.jobs.iter().filter(|job| job.counts());
        let asked: f64 =
            sound.map(|job| f64::from(job.spec.shape.total()) * job.runs.secs_f64()).sum();
        let give = |info: &WorkerInfo| {
            let (out, from, to) = self.out;
            let gone = if info.domain == self.domains[out] { to.since(from) } else { Span::ZERO };
            f64::from(info.accelerators)
                * (self.until.since(Moment(0)).secs_f64() - gone.secs_f64())
        };
        asked / self.workers.iter().map(give).sum::<f64>()
    }
}

fn at_minute(minute: u64) -> Moment {
    Moment(minute * MINUTE_MS)
}

/// Parses an identifier that is known to be valid.
pub(crate) fn parse<T: std::str::FromStr>(text: &str) -> T {
    text.parse().ok().expect("identifiers of the workload are valid")
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

fn make_job(kind: &Kind, arrives: Moment, rng: &mut Rng) -> Job {
    let secs = log_uniform(kind.secs.0, kind.secs.1, rng);
    let wrong = log_uniform(0.1, 10.0, rng);
    let mut nature = Nature::Sound;
    let mut shape = kind.shapes[rng.usize(..kind.shapes.len())];
    let dice = rng.u32(..1000);
    if kind.urgency != Urgency::Urgent && dice < 10 {
        nature = Nature::Faulty;
    } else if kind.urgency != Urgency::Urgent && dice < 14 {
        nature = Nature::Unfit;
        shape = Shape { tasks: 64, accelerators: 8, adjacency: Adjacency::Rack };
    }
    let spec = JobSpec {
        key: JobKey { workspace: parse(kind.workspace), request: parse("r") },
        kind: parse::<KindId>(kind.name),
        shape,
        urgency: kind.urgency,
        declared: Span(((secs * wrong * 1000.0) as u64).max(1000)),
        deadline: kind.deadline,
        idempotent: rng.u32(..100) < kind.idempotent_percent,
        checkpoint: kind.checkpoint,
        domain: None,
        input: String::new(),
    };
    let runs = Span((secs * 1000.0) as u64);
    let entry = rng.usize(..ENTRY_HOSTS);
    Job { spec, arrives, runs, entry, nature, cancel: None, guaranteed: false }
}

fn cancel_wave(jobs: &mut [Job], wave: Moment, rng: &mut Rng) {
    for job in jobs.iter_mut().filter(|job| job.spec.urgency != Urgency::Urgent) {
        let recent = job.arrives <= wave && wave.since(job.arrives) <= WAVE_REACH;
        if recent && rng.bool() {
            job.cancel = Some(wave);
        }
    }
}

fn loss(workers: usize, minutes: u64, rng: &mut Rng) -> Loss {
    let from = at_minute(rng.u64(5..minutes));
    Loss { worker: rng.usize(..workers), from, to: from + Span(rng.u64(10..30) * MINUTE_MS) }
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

    /// Returns a domain's declaration with the given service.
    pub(crate) fn domain(&self, id: &str, service: Service) -> DomainSpec {
        let region = parse::<RegionId>(self.region);
        DomainSpec { id: parse(id), region, service, grace: DomainSpec::GRACE }
    }

    /// Marks the urgent jobs that are within a guarantee, every one of them starting at once.
    fn mark_guaranteed(&self, jobs: &mut [Job]) {
        for (name, shapes) in self.guarantees {
            let name: WorkspaceId = parse(name);
            for (shape, count) in *shapes {
                let mut ends: Vec<Moment> = Vec::new();
                let own = |job: &&mut Job| {
                    job.spec.key.workspace == name
                        && job.spec.shape == *shape
                        && job.spec.urgency == Urgency::Urgent
                };
                for job in jobs.iter_mut().filter(own) {
                    ends.retain(|end| *end > job.arrives);
                    job.guaranteed = ends.len() < usize::from(*count);
                    ends.push(job.arrives + job.runs + START_MARGIN);
                }
            }
        }
    }
}

fn workspace(id: &str, shapes: &[(Shape, u16)]) -> WorkspaceSpec {
    let spread =
        |(shape, count): &(Shape, u16)| Guarantee { shape: *shape, count: *count, domain: None };
    let guarantees = shapes.iter().map(spread).collect();
    WorkspaceSpec { id: parse(id), guarantees, queue: WorkspaceSpec::QUEUE }
}
