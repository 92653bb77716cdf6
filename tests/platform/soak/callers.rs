//! Callers that submit, repeat, cancel and look, and remember what they were told.

use bulrushlink_standin::JobText;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time for an answer.
const TIMEOUT: Duration = Duration::from_secs(3);
/// Attempts of a submission, at different daemons.
const ATTEMPTS: usize = 5;
/// Longest pause between two jobs of a caller, in milliseconds.
const PAUSE_MS: u64 = 150;
/// Share of the jobs that are cancelled.
const CANCELLED: f64 = 0.1;
/// Time after the acceptance within which every daemon must know the job: the bound of the
/// deployments, 3 s.
const VISIBLE: Duration = Duration::from_secs(3);
/// The workspace's key.
pub(crate) const KEY: &str = "key-north";

/// What a caller knows of its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Told {
    /// Some attempt was accepted.
    Accepted,
    /// Every attempt was refused as not run.
    Refused,
    /// Some attempt has no answer, and none was accepted.
    Unknown,
}

/// A job and what became of it, as its caller sees it.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) id: u64,
    pub(crate) told: Told,
    /// A cancellation was sent.
    pub(crate) cancelled: bool,
}

/// What all callers share.
pub(crate) struct Shared {
    /// Addresses of the daemons now.
    pub(crate) daemons: Mutex<Vec<String>>,
    pub(crate) jobs: Mutex<Vec<Job>>,
    pub(crate) breaches: Mutex<Vec<String>>,
    pub(crate) stopped: AtomicBool,
}

/// A caller with connections that it keeps open.
pub(crate) struct Caller {
    agent: ureq::Agent,
    shared: Arc<Shared>,
    random: fastrand::Rng,
}

/// An answer to a call; nothing if there was none.
type Status = Option<(u16, String)>;

impl Caller {
    pub(crate) fn new(shared: Arc<Shared>, seed: u64) -> Self {
        let config =
            ureq::Agent::config_builder().http_status_as_error(false).timeout_global(Some(TIMEOUT));
        Self { agent: config.build().into(), shared, random: fastrand::Rng::with_seed(seed) }
    }

    fn any(&mut self) -> String {
        let daemons = self.shared.daemons.lock().expect("no holder panics");
        daemons[self.random.usize(..daemons.len())].clone()
    }

    fn call(&mut self, method: &str, id: u64, body: &str) -> Status {
        let addr = self.any();
        let request = ureq::http::Request::builder()
            .method(method)
            .uri(format!("http://{addr}/replay/{id:016x}"))
            .header("Host", "jobs.example")
            .header("Deadline-Ms", TIMEOUT.as_millis().to_string())
            .header("Authorization", format!("Token {KEY}"))
            .body(body.to_string())
            .expect("a valid request");
        let mut response = self.agent.run(request).ok()?;
        let status = response.status().as_u16();
        Some((status, response.body_mut().read_to_string().ok()?))
    }

    /// Returns the status and the body that some daemon shows of a job.
    pub(crate) fn look(&mut self, id: u64) -> Status {
        self.call("GET", id, "")
    }

    fn text(&mut self) -> String {
        let length = self.random.u64(50..900);
        match self.random.u8(..4) {
            0 => JobText::new(length).step(self.random.u64(1..4), false).text(),
            1 => JobText::new(length).step(2, false).step(2, false).after(0).text(),
            _ => JobText::new(length).step(self.random.u64(2..12), true).text(),
        }
    }

    fn submit(&mut self, id: u64) -> Told {
        let text = self.text();
        let mut told = Told::Refused;
        for _ in 0..ATTEMPTS {
            match self.call("POST", id, &text) {
                Some((200, _)) => return Told::Accepted,
                Some((503 | 429, _)) => {}
                // The daemon can't tell either whether the job was stored.
                Some((504, _)) => told = Told::Unknown,
                Some((status, body)) => {
                    self.breach(format!("{id:x} was answered with {status} {body}"));
                    return Told::Unknown;
                }
                None => told = Told::Unknown,
            }
            std::thread::sleep(Duration::from_millis(self.random.u64(20..300)));
        }
        told
    }

    fn breach(&self, text: String) {
        self.shared.breaches.lock().expect("no holder panics").push(text);
    }

    /// Looks at an accepted job until every daemon has to know it; none may deny it then.
    fn check_known(&mut self, id: u64, accepted: Instant) {
        let status = self.look(id).map(|(status, _)| status);
        if status == Some(410) && accepted.elapsed() > VISIBLE + TIMEOUT {
            self.breach(format!("{id:x} was accepted and isn't known"));
        }
    }

    /// Submits one job after the other until the end.
    pub(crate) fn run(mut self, first: u64) {
        let mut id = first;
        let mut accepted: Vec<(u64, Instant)> = Vec::new();
        while !self.shared.stopped.load(Ordering::SeqCst) {
            id += 1;
            let told = self.submit(id);
            let cancelled = told == Told::Accepted && self.random.f64() < CANCELLED;
            if cancelled {
                // It may run nevertheless if there is no answer.
                let _ = self.call("DELETE", id, "");
            }
            let job = Job { id, told, cancelled };
            self.shared.jobs.lock().expect("no holder panics").push(job);
            if told == Told::Accepted && !cancelled {
                accepted.push((id, Instant::now()));
            }
            if let Some((id, at)) = self.random.choice(&accepted).copied() {
                self.check_known(id, at);
            }
            std::thread::sleep(Duration::from_millis(self.random.u64(..PAUSE_MS)));
        }
    }
}
