//! Measures what placement costs as the fleet grows.
//!
//! Plays the same load for each worker on fleets of growing size in the lab, and prints the
//! processor time of the daemons for each second and for each start. With `--crowded` there is four
//! times as much work as the workers can do:
//!
//! ```text
//! cargo run --release --example growth -- --crowded 48 350 2000
//! ```

use bulrushlink_core::Span;
use bulrushlink_fleet::{JobId, JobSpec, Resources, Step};
use bulrushlink_lab::FleetLab;
use getopts::Options;
use std::process::ExitCode;

/// Sizes without arguments: a deployment's usual size, a grown one, and the brief's.
const SIZES: [usize; 3] = [48, 350, 2_000];
/// Length of a play in milliseconds, several times that of a task.
const LENGTH: u64 = 20_000;
/// Time for the daemons to start, in milliseconds.
const WARM_UP: u64 = 1_000;
/// Jobs for each worker and second; nearly all of a worker's accelerators are busy then.
const JOB_RATE: f64 = 0.045;
/// How much more work there is if it is crowded.
const CROWD: f64 = 4.0;

/// A queue with the typical job of its users.
struct Kind {
    queue: &'static str,
    tasks: u32,
    accelerators: u64,
    cpu: u64,
    millis: u64,
    gang: bool,
}

const KINDS: [Kind; 3] = [
    Kind { queue: "roster", tasks: 5, accelerators: 3, cpu: 7_500, millis: 2_500, gang: true },
    Kind { queue: "replay", tasks: 8, accelerators: 4, cpu: 14_000, millis: 6_800, gang: true },
    Kind { queue: "batch", tasks: 30, accelerators: 1, cpu: 2_800, millis: 7_600, gang: false },
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
            estimate: Span(self.millis),
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

fn play(workers: usize, rate: f64) -> String {
    let mut lab = FleetLab::open(3, workers, 1);
    lab.run(WARM_UP);
    let jobs = (workers as f64 * rate * LENGTH as f64 / 1_000.0) as u64;
    for n in 0..jobs {
        // Two thirds of the jobs are urgent and small, as in the deployments.
        let kind = &KINDS[[0, 0, 0, 0, 1, 2][(n % 6) as usize]];
        let at = WARM_UP + n * LENGTH / jobs;
        lab.submit(at, (n % 3) as usize, JobId(n + 1), kind.queue, kind.job());
    }
    let before = lab.node_time();
    lab.run(LENGTH);
    let busy = (lab.node_time() - before).as_secs_f64();
    let starts = lab.starts();
    format!(
        "{workers:>8} {jobs:>8} {starts:>8} {:>12.4} {:>12.1}",
        busy * 1_000.0 / LENGTH as f64,
        busy * 1e6 / starts.max(1) as f64
    )
}

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optflag("", "crowded", "four times as much work as the workers can do");
    let parsed = options.parse(std::env::args().skip(1)).map_err(|e| e.to_string());
    let read = parsed.and_then(|matches| {
        let sizes: Result<Vec<usize>, _> = matches.free.iter().map(|a| a.parse()).collect();
        let rate = if matches.opt_present("crowded") { JOB_RATE * CROWD } else { JOB_RATE };
        sizes.map(|sizes| (sizes, rate)).map_err(|e| e.to_string())
    });
    let (sizes, rate) = match read {
        Ok(read) => read,
        Err(error) => {
            eprintln!("{error}\n{}", options.usage("usage: growth [--crowded] [WORKERS...]"));
            return ExitCode::FAILURE;
        }
    };
    println!(" workers     jobs   starts  cores, mean  us a start");
    for workers in if sizes.is_empty() { SIZES.to_vec() } else { sizes } {
        println!("{}", play(workers, rate));
    }
    ExitCode::SUCCESS
}
