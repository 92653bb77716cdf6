//! The figures of a run, and their combination over several seeds.

use bulrushlink_core::{Ending, Moment, Span};
use serde::Serialize;

use crate::run::{SAMPLE_INTERVAL, Sample, Stops, Trace};
use crate::workload::{Behaviour, Job, Workload};

/// Time within which a guaranteed job must start.
const GUARANTEED_START_TIME: Span = Span(8300);
/// Accelerators from which on a gang counts as large.
const LARGE_GANG_ACCELERATORS: u32 = 16;
const MINUTE_MS: f64 = 60_000.0;

/// Completion times, in seconds.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Times {
    pub(crate) jobs: usize,
    pub(crate) mean: f64,
    pub(crate) p50: f64,
    pub(crate) p95: f64,
    pub(crate) p99: f64,
}

/// Completion times of one kind of job.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct KindTimes {
    pub(crate) kind: String,
    pub(crate) times: Times,
}

/// Useful work in one part of the run.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct Work {
    /// Useful accelerator-minutes in each minute.
    pub(crate) done: f64,
    /// The smaller of what the accelerators in service offered and what the jobs demanded.
    pub(crate) possible: f64,
    /// `done` as a fraction of `possible`.
    pub(crate) share: f64,
}

/// The figures of one policy.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct Figures {
    pub(crate) policy: String,
    pub(crate) all: Times,
    pub(crate) kinds: Vec<KindTimes>,
    /// Jobs with a deadline, and those that missed it.
    pub(crate) deadlines: usize,
    pub(crate) missed: usize,
    /// Guaranteed jobs, those that started too late, and the latest start, in seconds.
    pub(crate) guaranteed: usize,
    pub(crate) late: usize,
    pub(crate) worst_start: f64,
    /// Fraction of the free accelerators that the largest waiting shape can't use.
    pub(crate) fragmentation: f64,
    /// The same as a fraction of all accelerators in service.
    pub(crate) stranded: f64,
    /// Longest time for which a large gang held no accelerators, in seconds.
    pub(crate) gang_wait: f64,
    pub(crate) before: Work,
    pub(crate) out: Work,
    pub(crate) after: Work,
    /// Sound jobs that did not complete, and those of them that were refused.
    pub(crate) lost: usize,
    pub(crate) refused: usize,
    /// Stops that the policy requested.
    pub(crate) stops: Stops,
    /// Accelerator-minutes that had to be done again, in each minute.
    pub(crate) wasted: f64,
    /// Accelerators that did useful work and those that jobs waited for, in each minute.
    pub(crate) plot: Vec<(f64, f64)>,
}

/// Returns the figures of one run.
pub(crate) fn figures(policy: &str, workload: &Workload, trace: &Trace) -> Figures {
    let mut figures = Figures {
        policy: policy.to_string(),
        stops: trace.stops,
        wasted: trace.wasted / workload.arrivals_end.0 as f64,
        ..Default::default()
    };
    let mut all = Vec::new();
    let mut kinds: Vec<(String, Vec<f64>)> = Vec::new();
    for (job, outcome) in workload.jobs.iter().zip(&trace.outcomes) {
        let (end, ending) = outcome.end.as_ref().expect("every job has ended");
        figures.count_start(job, outcome.first_start, *end);
        if job.is_measured() {
            figures.count_ending(job, *end, ending.as_ref());
        }
        if job.behaviour == Behaviour::Sound && job.spec.shape.total() >= LARGE_GANG_ACCELERATORS {
            figures.gang_wait = figures.gang_wait.max(outcome.longest_wait.secs_f64());
        }
        if !job.is_measured() || !matches!(ending, Some(Ending::Completed { .. })) {
            continue;
        }
        let time = end.since(job.arrival).secs_f64();
        all.push(time);
        let name = job.spec.kind.as_str();
        match kinds.binary_search_by(|(kind, _)| kind.as_str().cmp(name)) {
            Ok(i) => kinds[i].1.push(time),
            Err(i) => kinds.insert(i, (name.to_string(), vec![time])),
        }
    }
    figures.all = times(all);
    let kind = |(kind, list)| KindTimes { kind, times: times(list) };
    figures.kinds = kinds.into_iter().map(kind).collect();
    figures.count_samples(workload, trace);
    figures.count_work(workload, trace);
    figures
}

/// Returns the completion times on unlimited hardware, which are the true run times.
pub(crate) fn floor(workload: &Workload) -> Times {
    let counted = workload.jobs.iter().filter(|job| job.is_measured());
    times(counted.map(|job| job.run_time.secs_f64()).collect())
}

fn times(mut list: Vec<f64>) -> Times {
    if list.is_empty() {
        return Times::default();
    }
    list.sort_by(f64::total_cmp);
    let at = |fraction: f64| list[((list.len() as f64 * fraction).ceil() as usize).max(1) - 1];
    Times {
        jobs: list.len(),
        mean: list.iter().sum::<f64>() / list.len() as f64,
        p50: at(0.5),
        p95: at(0.95),
        p99: at(0.99),
    }
}

impl Figures {
    fn count_start(&mut self, job: &Job, start: Option<Moment>, end: Moment) {
        if !job.guaranteed {
            return;
        }
        let wait = start.unwrap_or(end).since(job.arrival);
        self.guaranteed += 1;
        self.late += usize::from(wait > GUARANTEED_START_TIME || start.is_none());
        self.worst_start = self.worst_start.max(wait.secs_f64());
    }

    fn count_ending(&mut self, job: &Job, end: Moment, ending: Option<&Ending>) {
        let completed = matches!(ending, Some(Ending::Completed { .. }));
        self.refused += usize::from(matches!(ending, Some(Ending::Refused(_))));
        self.lost += usize::from(!completed);
        if let Some(deadline) = job.spec.deadline {
            self.deadlines += 1;
            self.missed += usize::from(!completed || end > job.arrival + deadline);
        }
    }

    fn count_samples(&mut self, workload: &Workload, trace: &Trace) {
        let within = |sample: &&Sample| sample.at <= workload.arrivals_end;
        let samples: Vec<_> = trace.samples.iter().filter(within).collect();
        let count = samples.len().max(1) as f64;
        let fraction = |part: u32, whole: u32| f64::from(part) / f64::from(whole.max(1));
        let fragmentation = samples.iter().map(|s| fraction(s.stranded, s.free)).sum::<f64>();
        let stranded = samples.iter().map(|s| fraction(s.stranded, s.capacity)).sum::<f64>();
        self.fragmentation = fragmentation / count;
        self.stranded = stranded / count;
    }

    fn count_work(&mut self, workload: &Workload, trace: &Trace) {
        let (domain, from, to) = workload.withdrawal;
        self.before = work(trace, None, Moment(0), from);
        self.out = work(trace, Some(domain), from, to);
        self.after = work(trace, None, to, workload.arrivals_end);
        let minutes = (workload.arrivals_end.0 as f64 / MINUTE_MS) as usize;
        let per_minute = MINUTE_MS as usize / SAMPLE_INTERVAL.0 as usize;
        for minute in 0..minutes {
            let useful = useful(trace, None, minute);
            let waiting = trace.samples.get(minute * per_minute).map_or(0, |s| s.waiting);
            self.plot.push((useful, f64::from(waiting)));
        }
    }
}

/// Returns the useful accelerator-minutes of one minute, without those of the domain `out`.
fn useful(trace: &Trace, out: Option<usize>, minute: usize) -> f64 {
    let domains = trace.useful.iter().enumerate().filter(|(i, _)| Some(*i) != out);
    let sum: f64 = domains.filter_map(|(_, minutes)| minutes.get(minute)).sum();
    sum / MINUTE_MS
}

fn work(trace: &Trace, out: Option<usize>, from: Moment, to: Moment) -> Work {
    let minutes = (from.0 / MINUTE_MS as u64) as usize..(to.0 / MINUTE_MS as u64) as usize;
    let count = minutes.len().max(1) as f64;
    let done = minutes.map(|minute| useful(trace, out, minute)).sum::<f64>() / count;
    let within = |sample: &&Sample| sample.at >= from && sample.at < to;
    let samples: Vec<_> = trace.samples.iter().filter(within).collect();
    let possible = samples.iter().map(|s| f64::from(s.capacity.min(s.demand))).sum::<f64>();
    let possible = possible / samples.len().max(1) as f64;
    Work { done, possible, share: done / possible.max(f64::MIN_POSITIVE) }
}

/// Combines the figures of one policy over several seeds: sums of counts, maxima of worst cases and
/// means of the rest.
pub(crate) fn join(list: &[Figures]) -> Figures {
    let mean = |get: fn(&Figures) -> f64| list.iter().map(get).sum::<f64>() / list.len() as f64;
    let count = |get: fn(&Figures) -> usize| list.iter().map(get).sum::<usize>();
    let worst = |get: fn(&Figures) -> f64| list.iter().map(get).fold(0.0, f64::max);
    let joined = |get: fn(&Figures) -> &Work| {
        let done = list.iter().map(|f| get(f).done).sum::<f64>() / list.len() as f64;
        let possible = list.iter().map(|f| get(f).possible).sum::<f64>() / list.len() as f64;
        Work { done, possible, share: done / possible.max(f64::MIN_POSITIVE) }
    };
    let kinds = list.iter().flat_map(|f| &f.kinds).map(|k| k.kind.clone());
    let mut kinds: Vec<_> = kinds.collect();
    kinds.sort();
    kinds.dedup();
    let kind_times = |kind: String| {
        let of = list.iter().flat_map(|f| &f.kinds).filter(|k| k.kind == kind);
        KindTimes { times: mean_times(&of.map(|k| &k.times).collect::<Vec<_>>()), kind }
    };
    Figures {
        policy: list[0].policy.clone(),
        all: mean_times(&list.iter().map(|f| &f.all).collect::<Vec<_>>()),
        kinds: kinds.into_iter().map(kind_times).collect(),
        deadlines: count(|f| f.deadlines),
        missed: count(|f| f.missed),
        guaranteed: count(|f| f.guaranteed),
        late: count(|f| f.late),
        worst_start: worst(|f| f.worst_start),
        fragmentation: mean(|f| f.fragmentation),
        stranded: mean(|f| f.stranded),
        gang_wait: worst(|f| f.gang_wait),
        before: joined(|f| &f.before),
        out: joined(|f| &f.out),
        after: joined(|f| &f.after),
        lost: count(|f| f.lost),
        refused: count(|f| f.refused),
        stops: join_stops(list),
        wasted: mean(|f| f.wasted),
        plot: Vec::new(),
    }
}

fn join_stops(list: &[Figures]) -> Stops {
    let sum = |get: fn(&Stops) -> u32| list.iter().map(|f| get(&f.stops)).sum();
    Stops {
        reclaimed: sum(|s| s.reclaimed),
        moved: sum(|s| s.moved),
        left: sum(|s| s.left),
        other: sum(|s| s.other),
    }
}

pub(crate) fn mean_times(list: &[&Times]) -> Times {
    let mean = |get: fn(&Times) -> f64| {
        list.iter().map(|times| get(times)).sum::<f64>() / list.len() as f64
    };
    Times {
        jobs: list.iter().map(|times| times.jobs).sum(),
        mean: mean(|t| t.mean),
        p50: mean(|t| t.p50),
        p95: mean(|t| t.p95),
        p99: mean(|t| t.p99),
    }
}
