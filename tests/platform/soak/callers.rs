//! Callers that submit, retry, cancel and read jobs, and record the answers.

use bulrushlink_standin::JobText;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Attempts to submit a job, each at a random daemon.
const MAX_ATTEMPTS: usize = 5;
/// Longest pause between two jobs of a caller, in milliseconds.
const MAX_PAUSE_MS: u64 = 150;
/// Fraction of the accepted jobs that are cancelled.
const CANCEL_FRACTION: f64 = 0.1;
/// Fraction of the jobs whose task crashes its worker.
const DEADLY_FRACTION: f64 = 0.02;
/// Time after which such a task crashes its worker, in milliseconds.
const CRASH_DELAY_MS: u64 = 20;
/// Time after acceptance within which every daemon must know the job: the bound of the
/// deployments.
const VISIBLE_WITHIN: Duration = Duration::from_secs(3);
/// Stages of a staged job, and steps of each.
const STAGES: usize = 4;
const STAGE_STEPS: usize = 3;
/// API key of the workspace.
pub(crate) const KEY: &str = "key-north";

/// Returns a job whose steps wait for all steps of the stage before.
fn staged_job(length: u64) -> String {
    let stage = |text: JobText, stage: usize| {
        (0..STAGE_STEPS).fold(text, |text, _| {
            let before = (stage * STAGE_STEPS).saturating_sub(STAGE_STEPS)..stage * STAGE_STEPS;
            before.fold(text.step(1, false), JobText::after)
        })
    };
    (0..STAGES).fold(JobText::new(length / STAGES as u64), stage).text()
}

/// Result of submitting a job, over all attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// An attempt was accepted.
    Accepted,
    /// Every attempt was refused as not run.
    Refused,
    /// At least one attempt has an unknown outcome, and none was accepted.
    Unknown,
}

/// A submitted job, as its caller knows it.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) id: u64,
    pub(crate) outcome: Outcome,
    /// A cancellation was sent, whether or not it was answered.
    pub(crate) cancelled: bool,
}

/// State that all callers share.
pub(crate) struct Shared {
    /// Current addresses of the daemons; a restart changes them.
    pub(crate) daemons: Mutex<Vec<String>>,
    pub(crate) jobs: Mutex<Vec<Job>>,
    pub(crate) violations: Mutex<Vec<String>>,
    pub(crate) stopped: AtomicBool,
}

/// A caller with persistent connections.
pub(crate) struct Caller {
    agent: ureq::Agent,
    shared: Arc<Shared>,
    random: fastrand::Rng,
}

/// Status and body of an answer; `None` if there was none.
type Reply = Option<(u16, String)>;

impl Caller {
    pub(crate) fn new(shared: Arc<Shared>, seed: u64) -> Self {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(CALL_TIMEOUT));
        Self { agent: config.build().into(), shared, random: fastrand::Rng::with_seed(seed) }
    }

    fn random_daemon(&mut self) -> String {
        let daemons = self.shared.daemons.lock().expect("the lock is not poisoned");
        daemons[self.random.usize(..daemons.len())].clone()
    }

    fn call(&mut self, method: &str, id: u64, body: &str) -> Reply {
        let addr = self.random_daemon();
        let request = ureq::http::Request::builder()
            .method(method)
            .uri(format!("http://{addr}/replay/{id:016x}"))
            .header("Host", "jobs.example")
            .header("Deadline-Ms", CALL_TIMEOUT.as_millis().to_string())
            .header("Authorization", format!("Token {KEY}"))
            .body(body.to_string())
            .expect("the request is valid");
        let mut response = self.agent.run(request).ok()?;
        let status = response.status().as_u16();
        Some((status, response.body_mut().read_to_string().ok()?))
    }

    /// Reads a job at a random daemon.
    pub(crate) fn read(&mut self, id: u64) -> Reply {
        self.call("GET", id, "")
    }

    fn random_job(&mut self) -> String {
        let length = self.random.u64(50..900);
        if self.random.f64() < DEADLY_FRACTION {
            return JobText::new(length).step(1, false).crash(CRASH_DELAY_MS).text();
        }
        match self.random.u8(..4) {
            0 => JobText::new(length).step(self.random.u64(1..4), false).text(),
            1 if length.is_multiple_of(2) => staged_job(length),
            1 => JobText::new(length).step(2, false).step(2, false).after(0).text(),
            _ => JobText::new(length).step(self.random.u64(2..12), true).text(),
        }
    }

    fn submit(&mut self, id: u64) -> Outcome {
        let text = self.random_job();
        let mut outcome = Outcome::Refused;
        for _ in 0..MAX_ATTEMPTS {
            match self.call("POST", id, &text) {
                Some((200, _)) => return Outcome::Accepted,
                Some((503 | 429, _)) => {}
                // The daemon doesn't know whether the job was stored.
                Some((504, _)) => outcome = Outcome::Unknown,
                Some((status, body)) => {
                    self.report_violation(format!(
                        "{id:x} got the unexpected answer {status} {body}"
                    ));
                    return Outcome::Unknown;
                }
                None => outcome = Outcome::Unknown,
            }
            std::thread::sleep(Duration::from_millis(self.random.u64(20..300)));
        }
        outcome
    }

    fn report_violation(&self, text: String) {
        self.shared.violations.lock().expect("the lock is not poisoned").push(text);
    }

    /// Reports a violation if a daemon answers 410 for an accepted job that it has to know by now.
    fn check_known(&mut self, id: u64, accepted: Instant) {
        let status = self.read(id).map(|(status, _)| status);
        if status == Some(410) && accepted.elapsed() > VISIBLE_WITHIN + CALL_TIMEOUT {
            self.report_violation(format!("{id:x} was accepted but a daemon answers 410"));
        }
    }

    /// Submits one job after the other until the test stops.
    pub(crate) fn run(mut self, first: u64) {
        let mut id = first;
        let mut accepted: Vec<(u64, Instant)> = Vec::new();
        while !self.shared.stopped.load(Ordering::SeqCst) {
            id += 1;
            let outcome = self.submit(id);
            let cancelled = outcome == Outcome::Accepted && self.random.f64() < CANCEL_FRACTION;
            if cancelled {
                // The answer is ignored: without one, the job may complete or be cancelled.
                let _ = self.call("DELETE", id, "");
            }
            let job = Job { id, outcome, cancelled };
            self.shared.jobs.lock().expect("the lock is not poisoned").push(job);
            if outcome == Outcome::Accepted && !cancelled {
                accepted.push((id, Instant::now()));
            }
            if let Some((id, at)) = self.random.choice(&accepted).copied() {
                self.check_known(id, at);
            }
            std::thread::sleep(Duration::from_millis(self.random.u64(..MAX_PAUSE_MS)));
        }
    }
}
