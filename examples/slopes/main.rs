//! Measures the resource use of a daemon per worker, task, daemon and release note: processor time,
//! memory, bytes and calls of real processes at several sizes, and the slopes fitted to them.
//!
//! `cargo run --release --example slopes [-- [--quick] [--target] [--json] [--only CASE]]`, where
//! `CASE` is `workers`, `tasks`, `daemons` or `notes`; the head of the release notes is measured
//! with `notes`. With `--target` the daemons have the settings of the target deployment instead of
//! the defaults.

use bulrushlink_core::{Code, Error};
use std::process::ExitCode;

mod cases;
mod fleet;
mod line;
mod notes;
mod report;
mod roles;
mod sample;
mod target;
#[cfg(test)]
mod tests;

use cases::Scale;
use report::{Measured, Report};

/// Parsed command line.
#[derive(Clone, Debug, Default)]
struct Args {
    quick: bool,
    target: bool,
    json: bool,
    only: Option<String>,
    role: Option<String>,
}

fn main() -> ExitCode {
    let result = parse_args().and_then(|args| match &args.role {
        Some(role) => roles::run(role),
        None => measure(&args),
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("slopes: {error}");
            ExitCode::FAILURE
        }
    }
}

fn parse_args() -> Result<Args, Error> {
    let usage = |text: String| Error::new(Code::Usage, text);
    let mut args = Args::default();
    let mut words = std::env::args().skip(1);
    while let Some(word) = words.next() {
        match word.as_str() {
            "--quick" => args.quick = true,
            "--target" => args.target = true,
            "--json" => args.json = true,
            "--only" => args.only = Some(words.next().ok_or_else(|| usage("no case".into()))?),
            "--role" => args.role = Some(words.next().ok_or_else(|| usage("no role".into()))?),
            _ => return Err(usage(format!("{word:?} is not expected"))),
        }
    }
    Ok(args)
}

fn measure(args: &Args) -> Result<(), Error> {
    let scale = if args.quick { Scale::quick() } else { Scale::full() };
    let scale = if args.target { scale.for_target() } else { scale };
    let is_selected = |case: &str| args.only.as_ref().is_none_or(|only| only == case);
    let mut measured = Measured::default();
    let mut head = None;
    if is_selected("workers") {
        measured.workers = cases::workers(&scale)?;
    }
    if is_selected("tasks") {
        measured.tasks = cases::tasks(&scale)?;
    }
    if is_selected("daemons") {
        measured.daemons = cases::daemons(&scale)?;
    }
    if is_selected("notes") {
        let (rows, size) = cases::notes(&scale)?;
        measured.notes = rows;
        head = Some(size);
    }
    let report = Report::of(measured, head, !args.quick);
    if args.json {
        println!("{}", serde_json::to_string_pretty(&report).expect("the report serialises"));
    } else {
        report.print();
    }
    Ok(())
}
