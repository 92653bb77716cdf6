//! Sessions of a caller and an operator at the command line, compared with snapshots.

use crate::support::Processes;
use std::fmt::Write;

/// Runs the command lines of a session and returns its transcript. Progress messages
/// are left out, as they depend on timing.
fn session(processes: &Processes, lines: &[&[&str]]) -> String {
    let mut text = String::new();
    for line in lines {
        let run = processes.cli(line);
        let _ = writeln!(text, "$ bulrushlink {}", line.join(" "));
        text.push_str(&run.out);
        for error in run.err.lines().filter(|l| l.starts_with("bulrushlink:")) {
            let _ = writeln!(text, "{error}");
        }
        let _ = writeln!(text, "[exit {}]\n", run.status.expect("no signal ended the command"));
    }
    text
}

/// Guards against changes of what the command line prints for release notes, and of its exit codes:
/// shown, checked, applied, applied again, refused, and misused.
#[test]
fn operator_session() {
    let processes = Processes::spawn("operator-session", 3);
    let note = "examples/deployments/guardavia/note.json";
    let out = "examples/deployments/guardavia/quito-sur-out.json";
    let back = "examples/deployments/guardavia/quito-sur-back.json";
    let lines: &[&[&str]] = &[
        &["note", "show"],
        &["note", "check", note],
        &["note", "diff", note],
        &["note", "apply", note],
        &["note", "apply", note],
        &["note", "check", "tests/data/unknown-domain.json"],
        &["note", "apply", "tests/data/stale-base.json"],
        &["note", "apply", "tests/data/unknown-field.json"],
        &["note", "diff", out],
        &["note", "apply", out],
        &["note", "apply", back],
        &["note", "show"],
        &["note", "apply"],
        &["note", "abolish"],
    ];
    insta::assert_snapshot!(session(&processes, lines));
}

/// Guards against changes of what the command line prints for jobs, and of its exit codes: jobs
/// that complete, are repeated, conflict or are invalid, and unknown ones.
#[test]
fn caller_session() {
    let processes = Processes::spawn("caller-session", 3);
    processes.apply_first_note();
    let submit = |request, extra: &[&'static str]| {
        let mut line = vec!["submit", "-w", "rosters", "-r", request, "-k", "roster", "-a", "4"];
        line.extend(["--declared", "2s", "-i", "sleep 300"]);
        line.extend(extra);
        line
    };
    let lines = [
        submit("monday", &["--idempotent", "--wait", "30s"]),
        submit("monday", &["--idempotent", "--wait", "30s"]),
        submit("monday", &["--idempotent", "--wait", "30s", "--tasks", "2"]),
        submit("tuesday", &["--wait", "30s", "--tasks", "2", "--adjacency", "rack"]),
        submit("broken", &["--wait", "30s", "--tasks", "65"]),
        submit("huge", &["--wait", "30s", "--tasks", "64", "--adjacency", "worker"]),
        submit("nowhere", &["--wait", "30s", "-d", "atlantis"]),
        vec!["wait", "rosters/monday"],
        vec!["status", "rosters/tuesday"],
        vec!["status", "rosters/never"],
        vec!["cancel", "rosters/tuesday"],
        vec!["list", "rosters"],
        vec!["status", "rosters"],
        vec!["submit", "--file", "tests/data/bad-job.json"],
    ];
    let lines: Vec<&[&str]> = lines.iter().map(Vec::as_slice).collect();
    insta::assert_snapshot!(session(&processes, &lines));
}
