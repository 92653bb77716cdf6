//! Measures the cost of placement as the fleet grows.
//!
//! Simulates fleets of growing size under the same load per worker, and prints the processor time
//! of the daemons per second and per start. With `--crowded` there is four times as much work as
//! the workers can do:
//!
//! ```text
//! cargo run --release --example growth -- --crowded 48 350 2000
//! ```

use bulrushlink_core::Span;
use bulrushlink_fleet::{JobId, JobSpec, Resources, Step};
use bulrushlink_lab::FleetLab;
use getopts::Options;
use std::process::ExitCode;

/// Numbers of workers without arguments: the usual size of a deployment, a grown one, and the size
/// that the scheduler is specified for.
const DEFAULT_SIZES: [usize; 3] = [48, 350, 2_000];
/// Virtual length of a simulation, several times that of a task.
const LENGTH_MS: u64 = 20_000;
/// Virtual time for the daemons to start.
const WARM_UP_MS: u64 = 1_000;
/// Jobs per worker and second; nearly all accelerators are busy at this rate.
const JOB_RATE: f64 = 0.045;
/// Factor by which `--crowded` multiplies the rate of jobs.
const CROWD_FACTOR: f64 = 4.0;

/// A queue and the typical job in it.
struct Kind {
    queue: &'static str,
    tasks: u32,
    accelerators: u64,
    cpu: u64,
    task_ms: u64,
    gang: bool,
}

const KINDS: [Kind; 3] = [
    Kind { queue: "roster", tasks: 5, accelerators: 3, cpu: 7_500, task_ms: 2_500, gang: true },
    Kind { queue: "replay", tasks: 8, accelerators: 4, cpu: 14_000, task_ms: 6_800, gang: true },
    Kind { queue: "batch", tasks: 30, accelerators: 1, cpu: 2_800, task_ms: 7_600, gang: false },
];

impl Kind {
    fn job(&self) -> JobSpec {
        let step = Step {
            tasks: self.tasks,
            need: Resources {
                cpu: self.cpu,
                memory: 8_192 * self.accelerators,
                accelerators: self.accelerators,
            },
            estimate: Span(self.task_ms),
            after: Vec::new(),
            gang: self.gang,
            one_rack: false,
            label: None,
            near: None,
            per_worker: None,
            saves: true,
            copies: false,
            endless: false,
        };
        JobSpec { text: "growth".to_string(), steps: vec![step], schedule: None }
    }
}

/// Simulates a fleet and returns its row of the table.
fn simulate(workers: usize, rate: f64) -> String {
    let mut lab = FleetLab::open(3, workers, 1);
    lab.run(WARM_UP_MS);
    let jobs = (workers as f64 * rate * LENGTH_MS as f64 / 1_000.0) as u64;
    for n in 0..jobs {
        // Two thirds of the jobs are small and urgent, as in the deployments.
        let kind = &KINDS[[0, 0, 0, 0, 1, 2][(n % 6) as usize]];
        let at = WARM_UP_MS + n * LENGTH_MS / jobs;
        lab.submit(at, (n % 3) as usize, JobId(n + 1), kind.queue, kind.job());
    }
    let busy_before = lab.node_time();
    lab.run(LENGTH_MS);
    let busy = (lab.node_time() - busy_before).as_secs_f64();
    let starts = lab.starts();
    format!(
        "{workers:>8} {jobs:>8} {starts:>8} {:>12.4} {:>12.1}",
        busy * 1_000.0 / LENGTH_MS as f64,
        busy * 1e6 / starts.max(1) as f64
    )
}

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optflag("", "crowded", "four times as much work as the workers can do");
    let parsed = options.parse(std::env::args().skip(1)).map_err(|e| e.to_string());
    let arguments = parsed.and_then(|matches| {
        let sizes: Result<Vec<usize>, _> = matches.free.iter().map(|a| a.parse()).collect();
        let rate = if matches.opt_present("crowded") { JOB_RATE * CROWD_FACTOR } else { JOB_RATE };
        sizes.map(|sizes| (sizes, rate)).map_err(|e| e.to_string())
    });
    let (sizes, rate) = match arguments {
        Ok(arguments) => arguments,
        Err(error) => {
            eprintln!("{error}\n{}", options.usage("usage: growth [--crowded] [WORKERS...]"));
            return ExitCode::FAILURE;
        }
    };
    println!(" workers     jobs   starts  cores, mean  us a start");
    for workers in if sizes.is_empty() { DEFAULT_SIZES.to_vec() } else { sizes } {
        println!("{}", simulate(workers, rate));
    }
    ExitCode::SUCCESS
}
