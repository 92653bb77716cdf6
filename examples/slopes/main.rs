//! Measures what a daemon uses for each worker, task, daemon and release note: processor time,
//! memory, bytes and calls of real processes at several sizes, and the slopes between them.
//!
//! `cargo run --release --example slopes [-- [--quick] [--target] [--json] [--only CASE]]`, where
//! `CASE` is `workers`, `tasks`, `daemons` or `notes`; the head is measured with the notes. With
//! `--target` the daemons have the settings of the target instead of the defaults.

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

/// What the command line asks for.
#[derive(Clone, Debug, Default)]
struct Ask {
    quick: bool,
    target: bool,
    json: bool,
    only: Option<String>,
    role: Option<String>,
}

fn main() -> ExitCode {
    let done = ask().and_then(|ask| match &ask.role {
        Some(role) => roles::play(role),
        None => measure(&ask),
    });
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("slopes: {error}");
            ExitCode::FAILURE
        }
    }
}

fn ask() -> Result<Ask, Error> {
    let usage = |text: String| Error::new(Code::Usage, text);
    let mut ask = Ask::default();
    let mut words = std::env::args().skip(1);
    while let Some(word) = words.next() {
        match word.as_str() {
            "--quick" => ask.quick = true,
            "--target" => ask.target = true,
            "--json" => ask.json = true,
            "--only" => ask.only = Some(words.next().ok_or_else(|| usage("no case".into()))?),
            "--role" => ask.role = Some(words.next().ok_or_else(|| usage("no role".into()))?),
            _ => return Err(usage(format!("{word:?} is not expected"))),
        }
    }
    Ok(ask)
}

fn measure(ask: &Ask) -> Result<(), Error> {
    let scale = if ask.quick { Scale::quick() } else { Scale::whole() };
    let scale = if ask.target { scale.for_target() } else { scale };
    let wants = |case: &str| ask.only.as_ref().is_none_or(|only| only == case);
    let mut measured = Measured::default();
    let mut head = None;
    if wants("workers") {
        measured.workers = cases::workers(&scale)?;
    }
    if wants("tasks") {
        measured.tasks = cases::tasks(&scale)?;
    }
    if wants("daemons") {
        measured.daemons = cases::daemons(&scale)?;
    }
    if wants("notes") {
        let (rows, size) = cases::notes(&scale)?;
        measured.notes = rows;
        head = Some(size);
    }
    let report = Report::of(measured, head, !ask.quick);
    if ask.json {
        println!("{}", serde_json::to_string_pretty(&report).expect("a report has a JSON form"));
    } else {
        report.print();
    }
    Ok(())
}
