//! Load under which a pass of the placer takes longer than the shortest time between two passes (issue 34).

use bulrushlink_core::Span;
use bulrushlink_fleet::{JobId, JobSpec, Resources, Step};
use bulrushlink_lab::{FleetLab, Processor, Trouble};

use super::{job, step};

const WORKERS: usize = 1_100;
/// Time until a placer has heard all workers.
const SETTLE_MS: u64 = 4_000;
/// Time during which jobs arrive.
const LOAD_MS: u64 = 8_000;
/// Time from one job to the next; the jobs occupy under half of the workers that stay.
const JOB_INTERVAL_MS: u64 = 33;
/// Jobs that arrive at once.
const BURST_JOBS: u64 = 100;
/// One of so many workers leaves, at a notice.
const LEAVING_DIVISOR: usize = 6;
/// Longer than the runs of the small gangs, whose allowed time is too short for a lost lease.
const NOTICE_MS: u64 = 4_000;

/// Returns the queue and the job with a number; two thirds are small gangs.
fn kind(number: u64) -> (&'static str, JobSpec) {
    let work = |tasks, accelerators: u64, cores: u64, millis, gang| {
        let need = Resources { cpu: cores * 1_000, memory: 8_192 * accelerators, accelerators };
        job(vec![Step { need, gang, ..step(tasks, accelerators, millis, vec![]) }])
    };
    match number % 6 {
        4 => ("replay", work(8, 4, 14, 6_800, true)),
        5 => ("batch", work(30, 1, 3, 7_600, false)),
        _ => ("roster", work(5, 3, 7, 2_500, true)),
    }
}

/// Time within which a job of one step is to be done: its estimate times the stretch of the queue, and the
/// queue's target.
fn allowed(spec: &JobSpec) -> u64 {
    spec.steps[0].estimate.millis() * 3 + Span(1_000).millis()
}

/// A submitted job, with its time of submission and its allowed time in milliseconds.
struct Submitted {
    id: JobId,
    at: u64,
    allowed: u64,
}

/// Submits jobs for `LOAD_MS`, and a burst of them after a quarter of that time.
fn submit_jobs(lab: &mut FleetLab) -> Vec<Submitted> {
    let steady = (0..LOAD_MS / JOB_INTERVAL_MS).map(|n| SETTLE_MS + n * JOB_INTERVAL_MS);
    let burst = (0..BURST_JOBS).map(|_| SETTLE_MS + LOAD_MS / 4);
    let mut jobs = Vec::new();
    for (n, at) in (0..).zip(steady.chain(burst)) {
        let (queue, spec) = kind(n);
        jobs.push(Submitted { id: JobId(n + 1), at, allowed: allowed(&spec) });
        lab.submit(at, (n % 3) as usize, JobId(n + 1), queue, spec);
    }
    jobs
}

/// Runs the load on daemons with the given processor, and asserts that all jobs are done in time, that no
/// worker that answers loses its lease, and that the placer stays.
fn assert_served(processor: Option<Processor>) {
    let mut lab = FleetLab::open(3, WORKERS, 400);
    processor.into_iter().for_each(|p| lab.use_processor(p));
    let jobs = submit_jobs(&mut lab);
    let leaving = |worker: usize| worker.is_multiple_of(LEAVING_DIVISOR);
    let leave_at = SETTLE_MS + LOAD_MS / 4 + 500;
    let left = (0..WORKERS).filter(|w| leaving(*w));
    left.for_each(|w| lab.plan(leave_at, Trouble::Drain(w, NOTICE_MS)));
    lab.run(SETTLE_MS);
    let placer = lab.placer();
    assert!(placer.is_some(), "no placer before the load");
    let mut replaced = Vec::new();
    let end = jobs.iter().map(|j| j.at + j.allowed).max().expect("jobs");
    while lab.now() < end && !jobs.iter().all(|j| lab.is_done(j.id)) {
        lab.run(100);
        if lab.placer() != placer {
            replaced.push(lab.now());
        }
    }
    let done = |j: &Submitted| lab.finished_at(j.id).filter(|_| lab.is_done(j.id));
    let in_time = |j: &&Submitted| done(j).is_some_and(|at| at <= j.at + j.allowed);
    let late = jobs.len() - jobs.iter().filter(in_time).count();
    let undone = jobs.iter().filter(|j| done(j).is_none()).count();
    let lapsed = |line: &&String| {
        let worker = line.split(" on ").nth(1).and_then(|rest| rest.split(':').next());
        let worker = worker.and_then(|w| w.parse().ok());
        line.ends_with(": lapsed") && worker.is_some_and(|w| !leaving(w))
    };
    let lapses = lab.trace(" ends on ").iter().filter(lapsed).count();
    let label = format!(
        "{late} of {} jobs not in time, {undone} of them not at all; {lapses} runs ended with the leases of \
         workers that answer; no placer or another one at {:?} ms",
        jobs.len(),
        replaced.first()
    );
    assert!(late == 0 && lapses == 0 && replaced.is_empty(), "{label}");
    assert_eq!(lab.violations(), []);
}

/// Guards against a placer that handles each reply with a pass of its own: once a pass takes longer than the
/// shortest time between two passes, replies lie unread until their calls have timed out, workers that answer
/// are given up and the leader loses its lease, which adds to the load. On 1,100 workers, with half a core for
/// each daemon, a deployment stopped serving for good (issue 34).
#[test]
fn placer_keeps_up_with_replies_when_passes_are_slow() {
    assert_served(Some(Processor::HALF_CORE));
}

/// The load above fits if no input takes any time.
#[test]
fn load_of_the_slow_passes_fits_the_workers() {
    assert_served(None);
}

/// Returns a processor on which everything takes this fraction of the time on half a core, in percent.
fn scaled(percent: u64) -> Processor {
    let p = Processor::HALF_CORE;
    Processor { input_us: p.input_us * percent / 100, visit_ns: p.visit_ns * percent / 100 }
}

/// Guards against a task that is started again after its worker has listed the end of its run: a placer on a host
/// that was slowed down kept its own lease but read no reply to a hold in time, released the runs of workers that
/// answered all the time once their leases had expired, and started the tasks again (issue 34).
#[test]
fn run_is_not_started_again_after_its_worker_has_listed_its_end() {
    let mut lab = FleetLab::open(3, 300, 400);
    lab.use_processor(scaled(30));
    let steady = (0..80).map(|n| SETTLE_MS + n * 100);
    let burst = (0..20).map(|_| SETTLE_MS + LOAD_MS / 4);
    let mut jobs = Vec::new();
    for (n, at) in (0..).zip(steady.chain(burst)) {
        let (queue, spec) = kind(n);
        jobs.push(JobId(n + 1));
        lab.submit(at, (n % 3) as usize, JobId(n + 1), queue, spec);
    }
    lab.run(SETTLE_MS + 3_000);
    let placer = lab.placer();
    assert!(placer.is_some(), "no placer before the overload");
    lab.use_processor(scaled(360));
    lab.run(8_000);
    lab.use_processor(scaled(30));
    lab.run(20_000);
    let breaches = lab.violations();
    assert_eq!(breaches.len(), 0, "first: {:?}", breaches.first());
    assert_eq!(lab.placer(), placer, "the placer was replaced");
    let undone = jobs.iter().filter(|j| !lab.is_done(**j)).count();
    assert_eq!(undone, 0, "jobs that are not done");
}
