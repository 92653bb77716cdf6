//! Randomised fault injection: many nodes in virtual time, faults one at a time and in pairs, and
//! every guarantee checked against what the workers themselves recorded.
//!
//! `cargo run --release --example chaos -- --seed N --minutes M`

use bulrushlink_core::Span;
use bulrushlink_lab::{Fault, Lab, Layout, Noise};
use getopts::Options;
use std::process::ExitCode;

/// Time for the first release note to take effect.
const WARM_UP: Span = Span::from_secs(10);
/// Time after the last fault within which every job must end.
const SETTLE_TIME: Span = Span::from_secs(240);
/// Time after the drawn faults before guaranteed jobs must meet the bounds of a healthy deployment.
const RECOVERY_TIME: Span = Span::from_secs(60);
/// Time over which the guaranteed jobs arrive after the recovery.
const PROBE_TIME: Span = Span::from_secs(90);
/// Guaranteed jobs that arrive within [`PROBE_TIME`].
const PROBE_JOBS: usize = 24;
/// Jobs that arrive in each virtual minute.
const JOBS_PER_MINUTE: usize = 60;
/// Virtual minutes with faults of one deployment; a longer run opens several, one after another.
const EPISODE_MINUTES: u64 = 5;

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optopt("", "seed", "seed of the run", "N");
    options.optopt("", "minutes", "virtual minutes with faults", "M");
    let args: Vec<String> = std::env::args().skip(1).collect();
    let number = |matches: &getopts::Matches, name: &str, default: u64| {
        matches.opt_get_default(name, default).map_err(|error| error.to_string())
    };
    let parsed = options.parse(&args).map_err(|error| error.to_string());
    let numbers = parsed.and_then(|matches| {
        Ok((number(&matches, "seed", 1)?, number(&matches, "minutes", EPISODE_MINUTES)?))
    });
    let (seed, minutes) = match numbers {
        Ok(numbers) => numbers,
        Err(text) => {
            eprintln!("{text}\n{}", options.usage("chaos --seed N --minutes M"));
            return ExitCode::from(2);
        }
    };
    run(seed, minutes)
}

fn run(seed: u64, minutes: u64) -> ExitCode {
    let (mut events, mut jobs, mut violations) = (0, 0, 0);
    let mut left = minutes;
    let mut episode = 0;
    while left > 0 {
        let length = left.min(EPISODE_MINUTES);
        let report = run_episode(seed + episode * 1_000_000, length);
        events += report.events;
        jobs += report.jobs;
        violations += report.violations.len();
        left -= length;
        episode += 1;
    }
    println!("chaos: {events} events, {jobs} jobs, {violations} violations");
    ExitCode::from(u8::from(violations > 0))
}

fn run_episode(seed: u64, minutes: u64) -> bulrushlink_lab::Report {
    let length = Span::from_secs(60 * minutes);
    let mut lab = Lab::open(Layout::small(), seed);
    lab.apply_first_note();
    lab.run(WARM_UP);
    if seed.is_multiple_of(2) {
        lab.set_noise(Noise { lost: 10, repeated: 10, late: 10 });
    }
    lab.submit_random(JOBS_PER_MINUTE * minutes as usize, length);
    lab.schedule_random_faults(length);
    lab.run(length);
    lab.clear_faults();
    lab.run(RECOVERY_TIME);
    lab.submit_guaranteed(PROBE_JOBS, PROBE_TIME);
    let domain = || "cuenca".parse().expect("the name is valid");
    lab.fault_after(Span::from_secs(30), Fault::TakeOut(domain()));
    lab.fault_after(Span::from_secs(70), Fault::TakeBack(domain()));
    lab.run(PROBE_TIME);
    lab.submit_random(JOBS_PER_MINUTE, Span::from_secs(60));
    lab.fault_after(Span::from_secs(5), Fault::StopEach);
    lab.run(SETTLE_TIME);
    let report = lab.report();
    println!(
        "seed {seed}: {} jobs, {} completed, {} refused, {} unknown, {} restarted, partial {}; \
         checked {} starts, {} notes, {} answers, {} races; {} store calls",
        report.jobs,
        report.completed,
        report.refused,
        report.unknown,
        report.restarted,
        report.partial,
        report.prompt_starts,
        report.prompt_notes,
        report.prompt_answers,
        report.races,
        report.store_calls,
    );
    if !report.violations.is_empty() {
        lab.dump();
        for line in lab.trace() {
            eprintln!("{line}");
        }
        for violation in &report.violations {
            eprintln!("violation at {}: {}", violation.at, violation.text);
        }
    }
    report
}
