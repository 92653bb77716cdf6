//! Compares the core scheduler with two simple policies, in virtual time and on the same input.
//!
//! ```sh
//! cargo run --release --example policy -- --deployment guardavia --seed 1
//! cargo run --release --example policy -- --deployment tirta-kaca --seeds 1-5 --json
//! ```

mod agenda;
mod baseline;
mod fit;
mod kinds;
mod plot;
mod report;
mod run;
mod table;
#[cfg(test)]
mod tests;
mod workload;

use getopts::Options;
use std::ops::RangeInclusive;
use std::process::ExitCode;

use crate::report::Figures;
use crate::run::PolicyKind;
use crate::workload::{Deployment, Workload};

/// Virtual time over which jobs arrive.
const RUN_MINUTES: u64 = 240;

struct Args {
    deployment: &'static Deployment,
    seeds: RangeInclusive<u64>,
    policies: Vec<PolicyKind>,
    json: bool,
}

fn main() -> ExitCode {
    let args: Vec<_> = std::env::args().skip(1).collect();
    match parse(&args) {
        Ok(args) => {
            measure(&args);
            ExitCode::SUCCESS
        }
        Err(text) => {
            eprintln!("{text}");
            ExitCode::FAILURE
        }
    }
}

fn parse(args: &[String]) -> Result<Args, String> {
    let mut options = Options::new();
    options.reqopt("", "deployment", "what is measured", "guardavia|tirta-kaca");
    options.optopt("", "seed", "seed of the input", "N");
    options.optopt("", "seeds", "seeds to join", "A-B");
    options.optmulti("", "policy", "a policy to run, all without it", "core|first-fit|best-fit");
    options.optflag("", "json", "print JSON");
    let usage = |text: &str| format!("{text}\n{}", options.usage("usage: policy [options]"));
    let found = options.parse(args).map_err(|error| usage(&error.to_string()))?;
    let name = found.opt_str("deployment").unwrap_or_default();
    let deployment = kinds::deployment(&name).ok_or_else(|| usage("no such deployment"))?;
    let seeds = match (found.opt_str("seed"), found.opt_str("seeds")) {
        (Some(seed), None) => format!("{seed}-{seed}"),
        (None, Some(seeds)) => seeds,
        _ => return Err(usage("give either --seed or --seeds")),
    };
    let (first, last) = seeds.split_once('-').ok_or_else(|| usage("--seeds wants A-B"))?;
    let number = |text: &str| text.parse::<u64>().map_err(|_| usage("a seed is a number"));
    let seeds = number(first)?..=number(last)?;
    if seeds.is_empty() {
        return Err(usage("--seeds wants A-B with A not above B"));
    }
    let names = found.opt_strs("policy");
    let selected =
        |policy: &PolicyKind| names.is_empty() || names.iter().any(|n| n == policy.name());
    let policies: Vec<_> = PolicyKind::ALL.into_iter().filter(selected).collect();
    if policies.is_empty() {
        return Err(usage("no such policy"));
    }
    Ok(Args { deployment, seeds, policies, json: found.opt_present("json") })
}

fn measure(args: &Args) {
    let mut lists: Vec<Vec<Figures>> = vec![Vec::new(); args.policies.len()];
    let mut offered = 0.0;
    let mut floors = Vec::new();
    for seed in args.seeds.clone() {
        let workload = Workload::generate(args.deployment, seed, RUN_MINUTES);
        offered += workload.offered_load();
        floors.push(report::floor(&workload));
        for (policy, list) in args.policies.iter().zip(&mut lists) {
            let trace = run::run(args.deployment, &workload, *policy, seed);
            list.push(report::figures(policy.name(), &workload, &trace));
        }
        if args.seeds.clone().count() == 1 && !args.json {
            let single: Vec<_> = lists.iter().flatten().cloned().collect();
            println!("{}", plot::over_time(&workload, &single));
        }
    }
    let joined: Vec<_> = lists.iter().map(|list| report::join(list)).collect();
    if args.json {
        let all: Vec<_> = lists.iter().flatten().collect();
        println!("{}", serde_json::to_string(&all).expect("the figures serialise"));
        return;
    }
    let seeds = args.seeds.clone().count() as f64;
    let floor = report::mean_times(&floors.iter().collect::<Vec<_>>());
    println!("offered load {:.2} of the hardware", offered / seeds);
    println!("true run time mean {:.0} s, p95 {:.0} s", floor.mean, floor.p95);
    println!("{}", plot::table(&joined));
    if args.policies.len() == PolicyKind::ALL.len() {
        print!("{}", plot::targets(&joined));
    }
}
