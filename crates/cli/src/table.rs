//! Formats answers as human-readable text. Results of `write!` are ignored, as writing to a `String`
//! can't fail.

use bulrushlink_api::{ApplyAnswer, DomainRow, DomainsAnswer, JobAnswer, WorkerRow};
use bulrushlink_core::{Code, DesiredState, Error};
use serde::Serialize;
use std::fmt::Write;

/// Formats an answer as one line of JSON.
pub(crate) fn json<T: Serialize>(answer: &T) -> Result<String, Error> {
    serde_json::to_string(answer).map_err(|e| Error::new(Code::BadAnswer, e.to_string()))
}

/// Formats an answer as indented JSON.
pub(crate) fn pretty<T: Serialize>(answer: &T) -> Result<String, Error> {
    serde_json::to_string_pretty(answer).map_err(|e| Error::new(Code::BadAnswer, e.to_string()))
}

/// Formats the answer about one job: its key, state, outputs and explanation.
pub(crate) fn job(answer: &JobAnswer) -> String {
    let mut text = String::new();
    if let Some(key) = &answer.key {
        let _ = write!(text, "{key}: ");
    }
    text.push_str(&job_line(answer));
    for (task, output) in answer.output.iter().enumerate() {
        let _ = write!(text, "\n  task {task}: {output}");
    }
    if let Some(why) = &answer.why {
        let _ = write!(text, "\n  {} for {}: {}", why.phase, why.age, why.text);
        for place in &why.placement {
            let _ = write!(text, "\n  task {}: {} [{}]", place.task, place.worker, place.set);
        }
    }
    text
}

/// Formats the state of one job as one line.
pub(crate) fn job_line(answer: &JobAnswer) -> String {
    let not_run = if answer.not_run { ", not run" } else { "" };
    let mut text = format!("{}{not_run} (code {})", answer.state, answer.code.number());
    if let Some(field) = &answer.field {
        let _ = write!(text, " at {field}");
    }
    if !answer.reason.is_empty() {
        let _ = write!(text, ": {}", answer.reason);
    }
    if let Some(retry) = answer.retry {
        let _ = write!(text, "; come back in {retry}");
    }
    text
}

/// Formats the progress of a release note as one line.
pub(crate) fn apply_progress(answer: &ApplyAnswer) -> String {
    let reached = answer.in_force.iter().filter(|row| row.version >= Some(answer.version)).count();
    let total = answer.in_force.len();
    let mut text = format!("version {}: in force on {reached} of {total} daemons", answer.version);
    if !answer.pending.is_empty() {
        let names: Vec<_> = answer.pending.iter().map(ToString::to_string).collect();
        let _ = write!(text, "; pending: {} not heard from", names.join(", "));
    }
    if let Some(settled) = answer.settled_in {
        let _ = write!(text, "; settled in {settled} at the latest");
    }
    text
}

/// Formats the desired state, one line for each item.
pub(crate) fn desired(state: &DesiredState) -> String {
    let mut text = format!("version {}", state.version);
    for domain in &state.domains {
        let _ = write!(
            text,
            "\nfailure domain {} in {}: {}, grace {}",
            domain.id, domain.region, domain.service, domain.grace
        );
    }
    for workspace in &state.workspaces {
        let _ = write!(text, "\nworkspace {}: queue {}", workspace.id, workspace.queue);
        for guarantee in &workspace.guarantees {
            let place = guarantee.domain.as_ref().map_or("any domain", |id| id.as_str());
            let _ = write!(text, "\n  {} x {} in {place}", guarantee.count, guarantee.shape);
        }
    }
    text
}

/// Formats the table of failure domains.
pub(crate) fn domains(answer: &DomainsAnswer) -> String {
    let mut text = format!("version {}\n", answer.version);
    for row in &answer.domains {
        domain(&mut text, row);
    }
    text
}

fn domain(text: &mut String, row: &DomainRow) {
    let placer = row.placer.as_ref().map_or("none", |id| id.as_str());
    let load = &row.load;
    let _ = writeln!(
        text,
        "\n{}  service {}  placer {placer}  accelerators {}/{} free  jobs waiting {}",
        row.id, row.service, load.free, load.total, load.waiting
    );
    for daemon in &row.daemons {
        let version = daemon.version.map_or("none".to_string(), |v| v.to_string());
        let heard = daemon.heard.map_or("never".to_string(), |age| format!("{age} ago"));
        let _ = writeln!(text, "  daemon {:<16} version {version:<6} heard {heard}", daemon.daemon);
    }
    for worker in &row.workers {
        let _ = writeln!(text, "  {}", worker_line(worker));
    }
}

fn worker_line(row: &WorkerRow) -> String {
    let (id, rack) = (row.id.as_str(), row.rack.as_str());
    let busy = row.busy.map_or("?".to_string(), |busy| busy.to_string());
    format!("worker {id:<20} rack {rack:<14} {:<12} {busy}/{} busy", row.state, row.accelerators)
}
