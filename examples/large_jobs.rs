//! Measures the time that the placer takes for jobs of the largest sizes, by the shape of the job.
//!
//! Simulates a fleet that gets jobs of a quarter, a half and the whole of the largest size, and prints the
//! processor time of the daemons for each step, dependency and task of the jobs, and the longest time for
//! one input. Time per element that grows with the size, beyond that of a fleet without work, means that
//! the work for a job grows faster than the job. With `--takeover` the placer is killed while the jobs run:
//!
//! ```text
//! cargo run --release --example large_jobs -- --jobs 20 --workers 350 --takeover
//! ```

use bulrushlink_core::Span;
use bulrushlink_fleet::{JOB_STEPS_MAX, JOB_TASKS_MAX, JobId, JobSpec, Resources, Schedule, Step};
use bulrushlink_lab::{FleetLab, Trouble};
use getopts::Options;
use std::process::ExitCode;
use std::str::FromStr;

/// Workers without arguments.
const WORKERS: usize = 48;
/// Virtual time for the daemons to start.
const WARM_UP_MS: u64 = 1_000;
/// Run time of a task.
const TASK_MS: u64 = 200;
/// Longest virtual time that is simulated for a row.
const LENGTH_MAX_MS: u64 = 240_000;
/// Virtual time between two looks at the jobs.
const LOOK_MS: u64 = 500;
/// Virtual time from the submissions to the loss of the placer.
const TAKEOVER_AFTER_MS: u64 = 1_500;
/// Quarters of the largest size that are measured.
const QUARTERS: [u64; 3] = [1, 2, 4];
/// Largest gang that is measured.
const GANG_MAX: u64 = 1_024;
/// Percentage of the estimate over which run times are spread, so that tasks end one by one.
const SPREAD_PERCENT: u64 = 80;
/// Entries of `after` in the body of the largest job that a caller can send, 256 KiB.
const ENTRIES_MAX: u64 = 120_000;

/// A kind of job; the function returns one of that many quarters of the largest size.
type Shape = (&'static str, fn(u64) -> JobSpec);

const SHAPES: [Shape; 11] = [
    ("chain", |q| steps(q, 1, |n, _| n.checked_sub(1).into_iter().collect())),
    ("stages of 4", |q| steps(q, 1, |n, _| stage_before(n, 4))),
    ("stages of 16", |q| steps(q, 1, |n, _| stage_before(n, 16))),
    ("after all", |q| steps(q, 1, |n, _| (0..n).collect())),
    ("after all, full", |q| steps(q, 16, |n, _| (0..n).collect())),
    ("repeated", |q| {
        let entries = ENTRIES_MAX * q / 4 / (JOB_STEPS_MAX as u64 - 1);
        let mut job = steps(4, 1, |n, _| vec![0; if n == 0 { 0 } else { entries as usize }]);
        job.steps[0].tasks = ((JOB_TASKS_MAX - JOB_STEPS_MAX as u64) * q / 4) as u32;
        job
    }),
    ("one step", |q| one_step(q, false, false)),
    ("one step, saves", |q| one_step(q, false, true)),
    ("one gang", |q| one_step(q, true, false)),
    ("one gang, saves", |q| one_step(q, true, true)),
    ("rounds", |q| {
        let rounds = (JOB_TASKS_MAX * q / 4 / JOB_STEPS_MAX as u64) as u32;
        let schedule = Schedule { first: 0, every: Span(1), rounds };
        JobSpec { schedule: Some(schedule), ..steps(4, 1, |n, _| stage_before(n, 16)) }
    }),
];

/// Returns what step `n` waits for if steps are in stages of `width`, each of which waits for all of the
/// stage before.
fn stage_before(n: u16, width: u16) -> Vec<u16> {
    let first = n / width * width;
    (first.saturating_sub(width)..first).collect()
}

/// Returns a job of up to the largest number of steps.
fn steps(quarters: u64, tasks: u32, after: impl Fn(u16, u16) -> Vec<u16>) -> JobSpec {
    let count = (JOB_STEPS_MAX as u64 * quarters / 4) as u16;
    let steps = (0..count).map(|n| Step { after: after(n, count), ..step(tasks, false, false) });
    JobSpec { text: "large".to_string(), steps: steps.collect(), schedule: None }
}

fn one_step(quarters: u64, gang: bool, saves: bool) -> JobSpec {
    // The simulation itself takes time in proportion to the square of a gang.
    let most = if gang { GANG_MAX } else { JOB_TASKS_MAX };
    let tasks = (most * quarters / 4) as u32;
    // Long enough for several checkpoints.
    let estimate = Span(if saves { 4_000 } else { TASK_MS });
    let steps = vec![Step { estimate, ..step(tasks, gang, saves) }];
    JobSpec { text: "large".to_string(), steps, schedule: None }
}

fn step(tasks: u32, gang: bool, saves: bool) -> Step {
    Step {
        tasks,
        need: Resources { cpu: 100, memory: 16, accelerators: 0 },
        estimate: Span(TASK_MS),
        after: Vec::new(),
        gang,
        one_rack: false,
        label: None,
        near: None,
        per_worker: None,
        saves,
        copies: false,
        endless: false,
    }
}

/// What is simulated.
struct Plan {
    workers: usize,
    jobs: u64,
    takeover: bool,
    /// Only shapes whose names contain this.
    only: String,
}

/// Simulates the jobs of one shape and size. Returns the line of the table.
fn simulate(plan: &Plan, name: &str, spec: &JobSpec) -> String {
    let mut lab = FleetLab::open(3, plan.workers, 1);
    lab.spread_lengths(SPREAD_PERCENT);
    lab.run(WARM_UP_MS);
    for n in 0..plan.jobs {
        lab.submit(WARM_UP_MS, (n % 3) as usize, JobId(n + 1), "batch", spec.clone());
    }
    if plan.takeover {
        lab.plan(WARM_UP_MS + TAKEOVER_AFTER_MS, Trouble::KillPlacer);
    }
    let before = lab.node_time();
    let finished = |lab: &FleetLab| (0..plan.jobs).all(|n| lab.finished_at(JobId(n + 1)).is_some());
    while !finished(&lab) && lab.now() < LENGTH_MAX_MS {
        lab.run(LOOK_MS);
    }
    let ended = if finished(&lab) { lab.now().to_string() } else { "never".to_string() };
    let busy = lab.node_time() - before;
    let rounds = u64::from(spec.rounds());
    let dependencies: u64 = spec.steps.iter().map(|s| s.after.len() as u64).sum();
    let tasks: u64 = spec.steps.iter().map(|s| u64::from(s.tasks)).sum::<u64>() * rounds;
    let elements = plan.jobs * (spec.steps.len() as u64 * rounds + dependencies + tasks);
    format!(
        "{name:<16} {:>5} {dependencies:>7} {tasks:>6} {ended:>8} {:>9.0} {:>11.2} {:>10.1} {:>8}",
        spec.steps.len(),
        busy.as_secs_f64() * 1e3,
        busy.as_secs_f64() * 1e6 / elements as f64,
        lab.longest_input().as_secs_f64() * 1e3,
        lab.violations().len()
    )
}

fn number<T: FromStr>(text: Option<String>, default: T) -> Result<T, String> {
    let parse = |t: String| t.parse().map_err(|_| format!("{t} is not a number"));
    text.map_or(Ok(default), parse)
}

fn parse(options: &Options) -> Result<Plan, String> {
    let matches = options.parse(std::env::args().skip(1)).map_err(|e| e.to_string())?;
    Ok(Plan {
        workers: number(matches.opt_str("workers"), WORKERS)?,
        jobs: number(matches.opt_str("jobs"), 1)?,
        takeover: matches.opt_present("takeover"),
        only: matches.free.join(" "),
    })
}

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optopt("", "workers", "number of workers", "N");
    options.optopt("", "jobs", "number of jobs that come at once", "N");
    options.optflag("", "takeover", "kill the placer while the jobs run");
    let plan = match parse(&options) {
        Ok(plan) => plan,
        Err(error) => {
            eprintln!("{error}\n{}", options.usage("usage: large_jobs [OPTIONS] [SHAPE]"));
            return ExitCode::FAILURE;
        }
    };
    println!(
        "{:<16} {:>5} {:>7} {:>6} {:>8} {:>9} {:>11} {:>10} {:>8}",
        "shape",
        "steps",
        "after",
        "tasks",
        "ended ms",
        "busy ms",
        "us/element",
        "longest ms",
        "breaches"
    );
    for (name, spec) in SHAPES.iter().filter(|(name, _)| name.contains(&plan.only)) {
        for quarters in QUARTERS {
            println!("{}", simulate(&plan, name, &spec(quarters)));
        }
    }
    ExitCode::SUCCESS
}
