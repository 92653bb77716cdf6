//! A soak of the real programs: daemons as processes, callers that keep their connections open, and
//! faults from outside, all drawn from a seed.
//!
//! `SOAK_SEEDS=1-50 SOAK_MS=8000 cargo test --release --test platform soak -- --nocapture` plays more
//! and longer ones.

use bulrushlink_fleet::Resources;
use bulrushlink_standin::{Emulator, EmulatorOptions, FleetWorkerBounds, state_text};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use crate::fleet::{DaemonProcess, call, eventually};
use callers::{Caller, Job, KEY, Shared, Told};
use proxy::{Mood, Proxy};
use troubles::Trouble;

mod callers;
mod proxy;
mod troubles;

/// Daemons of a soak.
const DAEMONS: usize = 4;
/// Workers of a soak.
const WORKERS: usize = 6;
/// Callers of a soak.
const CALLERS: u64 = 6;
/// Seeds that are always played; each that ever failed by a fault of the product joins them.
const SEEDS: [u64; 2] = [1, 2];
/// Length of the faults of a seed in milliseconds, unless `SOAK_MS` tells another.
const LENGTH_MS: u64 = 5_000;

/// Daemons, workers and a store, with the network between them.
pub(crate) struct Deployment {
    emulator: Emulator,
    /// The way of each daemon to the store.
    stores: Vec<Proxy>,
    /// The way to each worker.
    workers: Vec<Proxy>,
    daemons: Vec<DaemonProcess>,
    shared: Arc<Shared>,
    began: Instant,
}

impl Deployment {
    fn open() -> Self {
        let emulator = Emulator::spawn(EmulatorOptions {
            workers: WORKERS,
            capacity: Resources { cpu: 8_000, memory: 65_536, accelerators: 8 },
            bounds: FleetWorkerBounds { lease_max: 6_000, stop: 50 },
        })
        .expect("the emulator starts");
        emulator.configure(7, &[KEY]);
        let workers: Vec<Proxy> = (0..WORKERS).map(|w| Proxy::open(emulator.worker(w))).collect();
        for (number, proxy) in workers.iter().enumerate() {
            emulator.advertise(number, proxy.addr());
        }
        let stores: Vec<Proxy> = (0..DAEMONS).map(|_| Proxy::open(emulator.store())).collect();
        let spawn = |(n, store): (usize, &Proxy)| {
            DaemonProcess::spawn(format!("d{n}"), &store.addr().to_string())
        };
        let daemons: Vec<DaemonProcess> = stores.iter().enumerate().map(spawn).collect();
        let shared = Arc::new(Shared {
            daemons: Mutex::new(daemons.iter().map(|d| d.callers.clone()).collect()),
            jobs: Mutex::new(Vec::new()),
            breaches: Mutex::new(Vec::new()),
            stopped: AtomicBool::new(false),
        });
        let mut deployment =
            Self { emulator, stores, workers, daemons, shared, began: Instant::now() };
        deployment.wait_ready();
        deployment
    }

    /// Waits until all daemons want callers; those that are still stopping end first.
    fn wait_ready(&mut self) {
        for daemon in 0..self.daemons.len() {
            eventually(&format!("d{daemon} is ready"), || {
                self.revive();
                let ready = &self.daemons[daemon].ready;
                let answer = call(ready, "GET", "/api/ready", None, "")?;
                (answer.status == 200).then_some(())
            });
        }
    }

    pub(crate) fn age(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub(crate) fn daemons(&self) -> usize {
        self.daemons.len()
    }

    pub(crate) fn workers(&self) -> usize {
        self.workers.len()
    }

    fn restart(&mut self, daemon: usize) {
        self.daemons[daemon].restart();
        let addr = self.daemons[daemon].callers.clone();
        self.shared.daemons.lock().expect("no holder panics")[daemon] = addr;
    }

    /// Starts daemons again that have ended.
    pub(crate) fn revive(&mut self) {
        for daemon in 0..self.daemons.len() {
            if !self.daemons[daemon].is_running() {
                self.restart(daemon);
            }
        }
    }

    pub(crate) fn inflict(&mut self, trouble: Trouble) {
        match trouble {
            Trouble::Kill(daemon) => self.restart(daemon),
            Trouble::KillAll => (0..self.daemons.len()).for_each(|d| self.restart(d)),
            Trouble::Terminate(daemon) => self.daemons[daemon].signal("TERM"),
            Trouble::Freeze(daemon) => self.daemons[daemon].signal("STOP"),
            Trouble::Reload(daemon) => self.daemons[daemon].signal("HUP"),
            Trouble::Store(daemon, mood) => self.stores[daemon].set(mood),
            Trouble::StoreSilent(daemon) => self.stores[daemon].silence(),
            Trouble::Worker(worker, mood) => self.workers[worker].set(mood),
            Trouble::WorkerSilent(worker) => self.workers[worker].silence(),
            Trouble::Reboot(worker, pace) => {
                self.emulator.set_clock_rate(worker, pace);
                self.emulator.reboot(worker);
            }
            Trouble::StoreDown => self.emulator.set_down(true),
            Trouble::LapseLeases => self.emulator.expire_leases(),
            Trouble::Compact => self.emulator.compact(),
        }
    }

    /// Ends a fault that lasts.
    pub(crate) fn heal(&mut self, trouble: Trouble) {
        match trouble {
            Trouble::Freeze(daemon) if self.daemons[daemon].is_running() => {
                self.daemons[daemon].signal("CONT");
            }
            Trouble::Store(daemon, _) => self.stores[daemon].set(Mood::Clear),
            Trouble::Worker(worker, _) => self.workers[worker].set(Mood::Clear),
            Trouble::StoreDown => self.emulator.set_down(false),
            _ => {}
        }
    }

    /// Waits until an accepted job has ended, and tells what is wrong with its end.
    fn end_of(&self, caller: &mut Caller, job: &Job) -> Option<String> {
        let ended = ["completed", "failed", "cancelled"].map(state_text);
        let shown = eventually(&format!("{:x} ends", job.id), || {
            let (status, body) = caller.look(job.id)?;
            (status == 410 || ended.contains(&body)).then_some((status, body))
        });
        let good =
            shown.0 == 200 && (shown.1 == ended[0] || (job.cancelled && shown.1 == ended[2]));
        (!good).then(|| format!("{:x} was accepted and is shown as {shown:?}", job.id))
    }

    /// Checks, after the last fault, what callers and workers have seen.
    fn check(&mut self, seed: u64) -> Vec<String> {
        self.wait_ready();
        let mut breaches = std::mem::take(&mut *self.shared.breaches.lock().expect("no panic"));
        let jobs = self.shared.jobs.lock().expect("no holder panics").clone();
        let mut caller = Caller::new(self.shared.clone(), seed);
        let accepted = jobs.iter().filter(|j| j.told == Told::Accepted);
        breaches.extend(accepted.filter_map(|j| self.end_of(&mut caller, j)));
        let starts = self.emulator.starts();
        for job in jobs.iter().filter(|j| j.told == Told::Refused) {
            if starts.iter().any(|(task, _)| task.job.0 == job.id) {
                breaches.push(format!("{:x} was refused as not run, and started", job.id));
            }
        }
        breaches.extend(self.emulator.breaches());
        println!("seed {seed}: {} jobs, {} starts", jobs.len(), starts.len());
        breaches
    }
}

/// Plays a seed and returns what was wrong.
fn soak(seed: u64, length: u64) -> Vec<String> {
    let mut deployment = Deployment::open();
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| {
            let caller = Caller::new(deployment.shared.clone(), seed * CALLERS + n);
            std::thread::spawn(move || caller.run((n + 1) << 32))
        })
        .collect();
    let mut random = fastrand::Rng::with_seed(seed);
    troubles::play(&mut deployment, &mut random, length);
    deployment.shared.stopped.store(true, Ordering::SeqCst);
    callers.into_iter().for_each(|c| c.join().expect("a caller doesn't panic"));
    deployment.check(seed)
}

fn number(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// The seeds to play: those that are always played, or the range in `SOAK_SEEDS`, such as `1-50`.
fn seeds() -> Vec<u64> {
    let text = std::env::var("SOAK_SEEDS").ok();
    let range = text.and_then(|t| {
        let (first, last) = t.split_once('-')?;
        Some((first.parse().ok()?, last.parse().ok()?))
    });
    range.map_or(SEEDS.to_vec(), |(first, last): (u64, u64)| (first..=last).collect())
}

#[test]
fn promises_hold_in_a_soak_of_processes() {
    let length = number("SOAK_MS").unwrap_or(LENGTH_MS);
    let wrong: Vec<(u64, Vec<String>)> = seeds()
        .into_iter()
        .map(|seed| (seed, soak(seed, length)))
        .filter(|(_, breaches)| !breaches.is_empty())
        .collect();
    assert_eq!(wrong, Vec::new());
}
