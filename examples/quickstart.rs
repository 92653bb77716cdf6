//! Runs a deployment inside one process: stand-ins for the platform, three daemons, the example
//! release note and the example jobs.
//!
//! `cargo run --release --example quickstart [-- guardavia|tirta-kaca]`

use bulrushlink::{LOCAL_TOKEN, Local};
use bulrushlink_api::{ApplyAnswer, Client, JobAnswer, JobState, SubmitBody};
use bulrushlink_core::{Code, Error, JobKey, ReleaseNote, Span};
use bulrushlink_standin::{Deployment, Record};
use std::path::Path;
use std::process::ExitCode;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Timeout for the release note to take effect everywhere, and for all jobs to end.
const TIMEOUT_S: u64 = 25;
/// Interval at which a daemon is polled.
const POLL_INTERVAL_MS: u64 = 200;
/// Timeout of one call.
const CALL_TIMEOUT: Span = Span::from_secs(10);

fn main() -> ExitCode {
    let name = std::env::args().nth(1).unwrap_or_else(|| "guardavia".to_string());
    match run(&name) {
        Ok(passed) => ExitCode::from(u8::from(!passed)),
        Err(error) => {
            eprintln!("quickstart: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the example deployment `name`; returns true if no job was lost or started twice.
fn run(name: &str) -> Result<bool, Error> {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/deployments").join(name);
    let note: ReleaseNote = read(&directory.join("note.json"))?;
    let jobs: Vec<SubmitBody> = read(&directory.join("jobs.json"))?;
    let local = Local::spawn(&Deployment::read(name)?, 3)?;
    for daemon in &local.daemons {
        println!("daemon: callers {}, operators {}", daemon.callers(), daemon.operators());
    }
    apply(&local, &note)?;
    let keys = submit(&local, &jobs)?;
    let completed = wait(&local, &keys)?;
    let repeated = count_repeated(local.workers.record(), &keys);
    let lost = keys.len() - completed;
    println!(
        "quickstart: {} accepted, {completed} completed, {lost} lost, {repeated} repeated",
        keys.len()
    );
    local.stop()?;
    Ok(lost == 0 && repeated == 0)
}

/// Reads a file of JSON.
fn read<T: serde::de::DeserializeOwned>(path: &Path) -> Result<T, Error> {
    let bad = |text: String| Error::at(Code::Malformed, path.display().to_string(), text);
    let text = std::fs::read_to_string(path).map_err(|e| bad(e.to_string()))?;
    serde_json::from_str(&text).map_err(|e| bad(e.to_string()))
}

/// Applies the note and waits until it has taken effect on all daemons.
fn apply(local: &Local, note: &ReleaseNote) -> Result<(), Error> {
    let client = Client::open(CALL_TIMEOUT, Some(LOCAL_TOKEN.to_string()));
    let url = format!("http://{}/v1/note", local.daemons[0].operators());
    let end = Instant::now() + Duration::from_secs(TIMEOUT_S);
    loop {
        let reply = client.post(&url, note)?;
        let answer: ApplyAnswer = reply.json()?;
        if answer.code == Code::Done {
            println!("release note: version {} is in force everywhere", answer.version);
            return Ok(());
        }
        if Instant::now() > end {
            return Err(Error::new(Code::NotePending, format!("{:?}", answer.pending)));
        }
        sleep(Duration::from_millis(POLL_INTERVAL_MS));
    }
}

/// Submits the jobs to the daemons in turn and returns the keys of those that were accepted.
fn submit(local: &Local, jobs: &[SubmitBody]) -> Result<Vec<JobKey>, Error> {
    let client = Client::open(CALL_TIMEOUT, None);
    let mut keys = Vec::new();
    for (i, job) in jobs.iter().enumerate() {
        let daemon = &local.daemons[i % local.daemons.len()];
        let reply = client.post(&format!("http://{}/v1/jobs", daemon.callers()), job)?;
        let answer: JobAnswer = reply.json()?;
        match answer.state {
            JobState::Refused | JobState::Error => println!("{:?}: {answer:?}", answer.key),
            _ => keys.push(job.spec().key),
        }
    }
    Ok(keys)
}

/// Waits until the jobs end, polling another daemon than the one each was submitted to; returns how
/// many completed.
fn wait(local: &Local, keys: &[JobKey]) -> Result<usize, Error> {
    let client = Client::open(CALL_TIMEOUT, None);
    let end = Instant::now() + Duration::from_secs(TIMEOUT_S);
    let mut completed = 0;
    for (i, key) in keys.iter().enumerate() {
        let daemon = &local.daemons[(i + 1) % local.daemons.len()];
        let url = format!("http://{}/v1/jobs/{key}?wait=5s", daemon.callers());
        loop {
            let answer: JobAnswer = client.get(&url)?.json()?;
            let open = matches!(answer.state, JobState::Accepted | JobState::Running)
                || answer.retry.is_some();
            if !open || Instant::now() > end {
                println!("{key}: {} {}", answer.state, answer.output.join(" "));
                completed += usize::from(answer.state == JobState::Completed);
                break;
            }
            sleep(Duration::from_millis(POLL_INTERVAL_MS));
        }
    }
    Ok(completed)
}

/// Counts the jobs that the workers recorded more than one start of.
fn count_repeated(record: &Record, keys: &[JobKey]) -> usize {
    keys.iter().filter(|key| record.attempts(key).len() > 1).count()
}
