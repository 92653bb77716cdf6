//! Memory and time that accepted jobs take as they progress.

use bulrushlink_core::Span;

use super::{Bench, accelerators, step, task};
use crate::edge::{Output, WorkerOp};
use crate::ids::{Boot, JobId, Rev, Run};
use crate::model::{JobSpec, Resources, Schedule, Step};
use crate::placer::job::Job;
use crate::placer::worker::{Phase, Slot};
use crate::record::{Item, Outcome, RoundRecord, StepRecord, TaskRecord, encode, keys};

/// Memory of jobs in these tests, in bytes. From half of it on, large jobs are refused, so rounds take less.
const JOB_MEMORY: u64 = 10_000_000;
/// Jobs a minute of the users' largest deployment, 18.4 a second.
const JOBS_PER_MIN: usize = 1_104;
/// Most rounds that a job may have.
const ROUNDS: u32 = 10_000;

/// Returns a job all of whose rounds are due.
fn overdue(step: Step) -> JobSpec {
    let schedule = Schedule { first: 0, every: Span(3_000), rounds: ROUNDS };
    JobSpec { text: String::new(), steps: vec![step], schedule: Some(schedule) }
}

/// Returns the memory of the open rounds, in bytes.
fn round_memory(bench: &Bench) -> u64 {
    let rounds = |j: &Job| j.state.rounds.len() as u64 * j.spec.round_memory();
    bench.placer.jobs.iter().map(rounds).sum()
}

/// The rounds of a few hundred jobs that were all due were opened at once, up to 4,096 tasks a job, and each placer in
/// turn was ended for its memory (review case 12).
#[test]
fn rounds_that_are_due_are_opened_as_far_as_there_is_memory() {
    for tasks in [1, 3, 500] {
        let mut bench = Bench::open(&[accelerators(8)]);
        bench.job_memory = JOB_MEMORY;
        for id in 1..=300 {
            bench.add_spec(id, 1, overdue(step(tasks, false, 1)));
        }
        for _ in 0..50 {
            bench.pass();
            bench.commit();
        }
        let first: u64 = bench.placer.jobs.iter().map(|j| j.spec.round_memory()).sum();
        assert!(round_memory(&bench) <= first + JOB_MEMORY / 2, "{tasks} tasks a round");
        // Each job has a round, and what the others take counts for the refusal of further jobs.
        assert!(bench.placer.jobs.iter().all(|j| !j.state.rounds.is_empty()));
        let counted = bench.placer.held_memory() - bench.placer.jobs.bytes();
        assert!(counted >= round_memory(&bench) - first, "{tasks} tasks a round");
    }
}

/// Rounds that have begun and wait for a step that no worker can run must not take all memory either.
#[test]
fn rounds_that_have_begun_are_counted() {
    let mut bench = Bench::open(&[accelerators(8)]);
    bench.job_memory = JOB_MEMORY;
    for id in 1..=300 {
        bench.add_spec(id, 1, overdue(step(1, false, 0)));
    }
    for _ in 0..300 {
        bench.pass();
        bench.commit();
        for worker in &mut bench.placer.workers {
            worker.slots.take();
        }
    }
    let first: u64 = bench.placer.jobs.iter().map(|j| j.spec.round_memory()).sum();
    assert!(round_memory(&bench) <= first + JOB_MEMORY / 2);
}

/// Rounds that wait must not be kept open in a number that hides a shortage, and those that are left must be opened
/// as earlier ones begin.
#[test]
fn rounds_are_opened_as_earlier_ones_begin() {
    let mut bench = Bench::open(&[accelerators(8); 20]);
    bench.add_spec(1, 1, overdue(step(1, false, 1)));
    for _ in 0..5 {
        bench.pass();
        bench.commit();
    }
    let runs: usize = bench.placer.workers.iter().map(|w| w.slots.len()).sum();
    assert_eq!(runs, 160);
}

/// A state that an earlier version stored, with thousands of open rounds, was loaded as it was by each placer.
#[test]
fn rounds_of_a_stored_state_that_have_not_begun_are_closed() {
    let mut bench = Bench::open(&[accelerators(8)]);
    bench.add_spec(1, 1, overdue(step(1, false, 1)));
    let mut job = bench.placer.jobs[0].clone();
    job.state.rounds = (0..4_096).map(|n| RoundRecord::new(n, &job.spec)).collect();
    let boot = Boot { worker: "i-00".parse().expect("valid name"), born: 1 };
    let begun = crate::ids::TaskId { round: 7, ..task(1, 0) };
    job.plan_start(&begun, Run(1), boot);
    let value = encode(&job.state).expect("the state can be encoded");
    let item = Item { key: keys::state(JobId(1)), value, rev: Rev(2) };
    bench.placer.load_state(&item);
    let open: Vec<u32> = bench.placer.jobs[0].state.rounds.iter().map(|r| r.round).collect();
    assert_eq!(open, (0..8).collect::<Vec<_>>());
    bench.pass();
    assert_eq!(bench.placer.jobs[0].state.rounds[7].steps[0].tasks[0].run, Run(1));
}

/// The rounds that are done are listed for as long as the job lasts, and weren't counted.
#[test]
fn rounds_that_are_done_are_counted() {
    let mut bench = Bench::open(&[accelerators(8)]);
    bench.add_spec(1, 1, overdue(step(1, false, 1)));
    let before = bench.placer.jobs[0].extra_memory();
    bench.placer.jobs[0].state.finished = (0..9_000).collect();
    assert!(bench.placer.jobs[0].extra_memory() >= before + 36_000);
}

/// The records of ended jobs were removed at 1.4 jobs a second, slower than the users' jobs come. They grew until they
/// took all memory of accepted jobs, and further ones were refused.
#[test]
fn ended_jobs_are_removed_as_fast_as_jobs_come() {
    let mut bench = Bench::open(&[accelerators(8)]);
    for id in 1..=2_000 {
        bench.add_job(id, 1, step(1, false, 1));
    }
    for job in bench.placer.jobs.iter_mut() {
        job.finish(Outcome::Completed, 1);
        job.stored = job.version;
    }
    let began = bench.now;
    while bench.now.since(began) < Span(60_000) {
        bench.now += Span(100);
        bench.with(|p, ctx| p.sweep(ctx));
    }
    let removed = 2_000 - bench.placer.jobs.len();
    assert!(removed >= JOBS_PER_MIN, "{removed} jobs in a minute");
}

/// Returns the number of starts that were sent, and the bytes of their texts.
fn sent(bench: &Bench) -> (usize, usize) {
    let texts = bench.out.iter().filter_map(|output| match output {
        Output::Worker(_, call, _) => match &call.op {
            WorkerOp::Start { text, .. } => Some(text.len()),
            _ => None,
        },
        _ => None,
    });
    texts.fold((0, 0), |(starts, bytes), text| (starts + 1, bytes + text))
}

/// Thousands of tasks that need nothing fit on a worker at once. Their starts, each with the job's text, and their runs
/// took memory that was counted nowhere.
#[test]
fn starts_and_runs_of_small_tasks_are_counted() {
    let mut bench = Bench::open(&[accelerators(8)]);
    bench.job_memory = JOB_MEMORY;
    let nothing = Step { need: Resources::default(), ..step(4_096, false, 0) };
    for id in 1..=10 {
        let spec =
            JobSpec { text: "x".repeat(4_000), steps: vec![nothing.clone()], schedule: None };
        bench.add_spec(id, 1, spec);
    }
    let mut started = 0;
    for _ in 0..600 {
        // The list of workers must not become too old.
        bench.show(vec![(1, accelerators(8))]);
        bench.pass();
        bench.commit();
        let (starts, bytes) = sent(&bench);
        assert!(bytes as u64 <= JOB_MEMORY, "{bytes} bytes of texts in flight");
        started += starts;
        // The workers answer all of them, and the runs go on.
        let now = bench.now;
        for slot in bench.placer.workers[0].slots.iter_mut() {
            slot.phase = Phase::Running;
            slot.since = now;
            slot.moved = now;
        }
        assert!(bench.placer.held_memory() <= JOB_MEMORY + JOB_MEMORY / 8);
    }
    // Runs are planned until no further start fits beside the reserve for guaranteed jobs.
    let start = 256 + 4_096 + 2 * 4_000;
    let left = JOB_MEMORY - bench.placer.jobs.bytes() - JOB_MEMORY / 32 - start;
    assert!(started as u64 >= left / 256, "{started}");
}

/// Runs of other jobs that take all memory for runs must not hold back a guaranteed job beside idle accelerators.
#[test]
fn runs_of_other_jobs_leave_memory_for_guaranteed_ones() {
    let mut bench = Bench::open(&[accelerators(8)]);
    bench.job_memory = JOB_MEMORY;
    let nothing = Step { need: Resources::default(), ..step(4_096, false, 0) };
    for id in 1..=20 {
        bench.add_job(id, 1, nothing.clone());
    }
    for _ in 0..100 {
        bench.pass();
        bench.commit();
        bench.placer.workers[0].slots.iter_mut().for_each(|s| s.phase = Phase::Running);
    }
    let runs = bench.placer.workers[0].slots.len();
    bench.pass();
    assert_eq!((bench.commit(), bench.placer.workers[0].slots.len()), (vec![], runs));
    bench.add_job(100, 0, step(2, true, 1));
    bench.pass();
    assert_eq!(bench.commit(), [task(100, 0), task(100, 1)]);
}

/// A gang that is larger than the memory left for starts must start nevertheless, as a whole.
#[test]
fn large_gang_starts_while_no_other_start_is_in_flight() {
    let mut bench = Bench::open(&[accelerators(8)]);
    bench.job_memory = 4_000_000;
    let gang = Step { need: Resources::default(), ..step(4_096, true, 0) };
    for id in 1..=2 {
        let spec = JobSpec { text: "x".repeat(4_000), steps: vec![gang.clone()], schedule: None };
        bench.add_spec(id, 1, spec);
    }
    bench.pass();
    assert_eq!(bench.commit().len(), 4_096);
    bench.pass();
    assert_eq!(bench.commit().len(), 0);
}

/// The figures by which memory is counted must not fall behind the records.
#[test]
fn records_take_no_more_than_is_counted() {
    let spec = overdue(step(1, false, 1));
    let pointers = 4 * size_of::<usize>();
    let round = size_of::<RoundRecord>() + size_of::<StepRecord>() + size_of::<TaskRecord>();
    assert!(spec.round_memory() >= (round + pointers) as u64);
    assert!(size_of::<Slot>() <= 256, "{}", size_of::<Slot>());
}
