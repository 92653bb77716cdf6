//! Soak test of the real programs: daemons as processes, callers with persistent connections, and
//! injected faults, all drawn from a seed.
//!
//! With `SOAK_LOGS=DIR` the logs of the daemons are written to that directory.
//!
//! `SOAK_SEEDS=1-50 SOAK_MS=8000 cargo test --release --test platform soak -- --nocapture` runs
//! more seeds, each for longer.

use bulrushlink_fleet::{Allotment, Ceiling, Resources};
use bulrushlink_standin::{Emulator, EmulatorOptions, FleetWorkerBounds, state_text};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use crate::fleet::{DaemonProcess, HostLimits, call, eventually};
use crate::proxy::{LinkState, Proxy};
use callers::{Caller, Job, KEY, Outcome, Shared};
use troubles::Fault;

mod callers;
mod crowds;
mod troubles;

/// Daemons of a soak.
const DAEMONS: usize = 4;
/// Workers of a soak.
const WORKERS: usize = 6;
/// Capacity of a worker, unless a fault has changed it.
const CAPACITY: Resources = Resources { cpu: 16_000, memory: 65_536, accelerators: 8 };
/// Memory and descriptors of a daemon's host, few enough that crowds of callers meet the limits.
const HOST: HostLimits = HostLimits { memory_mb: 48, descriptors: 512 };
/// Callers of a soak.
const CALLERS: u64 = 6;
/// Version of the first configuration.
const CONFIGURATION_VERSION: u64 = 7;
/// Seeds of a run without `SOAK_SEEDS`; a seed that fails because of a defect is added to them.
const SEEDS: [u64; 2] = [1, 2];
/// Time for which faults are injected with each seed, unless `SOAK_MS` sets another.
const FAULTS_MS: u64 = 5_000;

/// Daemons, workers and a store, connected through proxies that inject network faults.
pub(crate) struct Deployment {
    emulator: Emulator,
    /// Proxy between each daemon and the store.
    stores: Vec<Proxy>,
    /// Proxy in front of each worker.
    workers: Vec<Proxy>,
    daemons: Vec<DaemonProcess>,
    shared: Arc<Shared>,
    started: Instant,
}

impl Deployment {
    fn open() -> Self {
        let emulator = Emulator::spawn(EmulatorOptions {
            workers: WORKERS,
            capacity: CAPACITY,
            bounds: FleetWorkerBounds { lease_max: 6_000, stop: 50 },
        })
        .expect("the emulator starts");
        emulator.configure(CONFIGURATION_VERSION, &[KEY]);
        let workers: Vec<Proxy> = (0..WORKERS).map(|w| Proxy::open(emulator.worker(w))).collect();
        for (number, proxy) in workers.iter().enumerate() {
            emulator.advertise(number, proxy.addr());
        }
        let stores: Vec<Proxy> = (0..DAEMONS).map(|_| Proxy::open(emulator.store())).collect();
        let spawn = |(n, store): (usize, &Proxy)| {
            DaemonProcess::spawn_on(format!("d{n}"), &store.addr().to_string(), Some(HOST))
        };
        let daemons: Vec<DaemonProcess> = stores.iter().enumerate().map(spawn).collect();
        let shared = Arc::new(Shared {
            daemons: Mutex::new(daemons.iter().map(|d| d.callers.clone()).collect()),
            jobs: Mutex::new(Vec::new()),
            violations: Mutex::new(Vec::new()),
            stopped: AtomicBool::new(false),
        });
        let mut deployment =
            Self { emulator, stores, workers, daemons, shared, started: Instant::now() };
        deployment.wait_ready();
        deployment
    }

    /// Waits until all daemons are ready, restarting those that exit meanwhile.
    fn wait_ready(&mut self) {
        for daemon in 0..self.daemons.len() {
            eventually(&format!("d{daemon} is ready"), || {
                self.restart_exited();
                let ready = &self.daemons[daemon].ready;
                let answer = call(ready, "GET", "/api/ready", None, "")?;
                (answer.status == 200).then_some(())
            });
        }
    }

    pub(crate) fn elapsed_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub(crate) fn daemons(&self) -> usize {
        self.daemons.len()
    }

    pub(crate) fn workers(&self) -> usize {
        self.workers.len()
    }

    /// Returns the address for callers of a random daemon.
    pub(crate) fn random_daemon(&self, random: &mut fastrand::Rng) -> String {
        self.daemons[random.usize(..self.daemons.len())].callers.clone()
    }

    fn restart(&mut self, daemon: usize) {
        self.daemons[daemon].restart();
        let addr = self.daemons[daemon].callers.clone();
        self.shared.daemons.lock().expect("the lock is not poisoned")[daemon] = addr;
    }

    /// Restarts the daemons that have exited.
    pub(crate) fn restart_exited(&mut self) {
        for daemon in 0..self.daemons.len() {
            if !self.daemons[daemon].is_running() {
                self.restart(daemon);
            }
        }
    }

    pub(crate) fn inject(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(daemon) => self.restart(daemon),
            Fault::KillAll => (0..self.daemons.len()).for_each(|d| self.restart(d)),
            Fault::Terminate(daemon) => self.daemons[daemon].signal("TERM"),
            Fault::Suspend(daemon) => self.daemons[daemon].signal("STOP"),
            Fault::Reload(daemon) => self.daemons[daemon].signal("HUP"),
            Fault::StoreLink(daemon, state) => self.stores[daemon].set(state),
            Fault::StoreSilent(daemon) => self.stores[daemon].silence_open(),
            Fault::WorkerLink(worker, state) => self.workers[worker].set(state),
            Fault::WorkerSilent(worker) => self.workers[worker].silence_open(),
            Fault::RestartWorker(worker, clock_rate) => {
                self.emulator.set_clock_rate(worker, clock_rate);
                self.emulator.reboot(worker);
            }
            Fault::Configure(queues) => {
                let version = CONFIGURATION_VERSION + 1 + self.elapsed_ms();
                self.emulator.configure_large(version, &[KEY], queues);
            }
            Fault::Allot(weight, accelerators) => {
                let version = CONFIGURATION_VERSION + 1 + self.elapsed_ms();
                let ceiling = Ceiling(Resources { accelerators, ..Resources::default() });
                let weight = (weight > 0).then_some(f64::from(weight));
                let allotment = Allotment { weight, ceiling };
                self.emulator.configure_allotment(version, &[KEY], allotment);
            }
            Fault::Resize(worker, accelerators) => {
                self.emulator.resize(worker, Resources { accelerators, ..CAPACITY });
            }
            Fault::StoreDown => self.emulator.set_down(true),
            Fault::ExpireLeases => self.emulator.expire_leases(),
            Fault::Compact => self.emulator.compact(),
        }
    }

    /// Reverts a fault that lasts; the others need no repair.
    pub(crate) fn revert(&mut self, fault: Fault) {
        match fault {
            Fault::Suspend(daemon) if self.daemons[daemon].is_running() => {
                self.daemons[daemon].signal("CONT");
            }
            Fault::StoreLink(daemon, _) => self.stores[daemon].set(LinkState::Open),
            Fault::WorkerLink(worker, _) => self.workers[worker].set(LinkState::Open),
            Fault::Resize(worker, _) => self.emulator.resize(worker, CAPACITY),
            Fault::StoreDown => self.emulator.set_down(false),
            _ => {}
        }
    }

    /// Waits until an accepted job has ended; returns a description if it ended wrongly.
    fn check_end(&self, caller: &mut Caller, job: &Job) -> Option<String> {
        let ended = ["completed", "failed", "cancelled"].map(state_text);
        let seen = eventually(&format!("{:x} ends", job.id), || {
            let (status, body) = caller.read(job.id)?;
            (status == 410 || ended.contains(&body)).then_some((status, body))
        });
        // A task under which two workers have crashed may be given up.
        let may_fail = self.emulator.max_crashes(job.id) >= 2;
        let expected = seen.0 == 200
            && (seen.1 == ended[0]
                || (may_fail && seen.1 == ended[1])
                || (job.cancelled && seen.1 == ended[2]));
        (!expected).then(|| format!("{:x} was accepted but ended as {seen:?}", job.id))
    }

    /// Checks, after the last fault, the answers to the callers against the starts on the workers.
    fn check(&mut self, seed: u64) -> Vec<String> {
        self.wait_ready();
        let mut violations =
            std::mem::take(&mut *self.shared.violations.lock().expect("the lock is not poisoned"));
        let jobs = self.shared.jobs.lock().expect("the lock is not poisoned").clone();
        let mut caller = Caller::new(self.shared.clone(), seed);
        let accepted = jobs.iter().filter(|j| j.outcome == Outcome::Accepted);
        violations.extend(accepted.filter_map(|j| self.check_end(&mut caller, j)));
        let starts = self.emulator.starts();
        for job in jobs.iter().filter(|j| j.outcome == Outcome::Refused) {
            if starts.iter().any(|(task, _)| task.job.0 == job.id) {
                violations.push(format!("{:x} was refused as not run but started", job.id));
            }
        }
        violations.extend(self.emulator.violations());
        println!("seed {seed}: {} jobs, {} starts", jobs.len(), starts.len());
        violations
    }
}

/// Runs one seed and returns the violations.
fn run_seed(seed: u64, length: u64) -> Vec<String> {
    let mut deployment = Deployment::open();
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| {
            let caller = Caller::new(deployment.shared.clone(), seed * CALLERS + n);
            std::thread::spawn(move || caller.run((n + 1) << 32))
        })
        .collect();
    let mut random = fastrand::Rng::with_seed(seed);
    troubles::inject_until(&mut deployment, &mut random, length);
    deployment.shared.stopped.store(true, Ordering::SeqCst);
    callers.into_iter().for_each(|c| c.join().expect("the caller thread does not panic"));
    deployment.check(seed)
}

fn env_number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// Returns the range in `SOAK_SEEDS`, such as `1-50`, or else [`SEEDS`].
fn seeds() -> Vec<u64> {
    let text = std::env::var("SOAK_SEEDS").ok();
    let range = text.and_then(|t| {
        let (first, last) = t.split_once('-')?;
        Some((first.parse().ok()?, last.parse().ok()?))
    });
    range.map_or(SEEDS.to_vec(), |(first, last): (u64, u64)| (first..=last).collect())
}

/// Guards against accepted jobs that are lost, denied or run twice, and refused jobs that start:
/// faults of processes, network, store and clocks overlap while callers submit, retry and cancel
/// jobs.
#[test]
fn invariants_hold_under_injected_faults() {
    let length = env_number("SOAK_MS").unwrap_or(FAULTS_MS);
    let failed: Vec<(u64, Vec<String>)> = seeds()
        .into_iter()
        .map(|seed| (seed, run_seed(seed, length)))
        .filter(|(_, violations)| !violations.is_empty())
        .collect();
    assert_eq!(failed, Vec::new());
}
