//! Injected faults, drawn from a seed.

use super::crowds::Crowd;
use super::{CAPACITY, Deployment};
use crate::proxy::{LinkState, NARROW_RATE};

/// Longest pause before the next fault; it is short so that most faults overlap.
const MAX_PAUSE_MS: u64 = 500;
/// Longest time that a fault lasts.
const MAX_FAULT_MS: u64 = 2_500;
/// Longest pause before the next crowd.
const MAX_CROWD_PAUSE_MS: u64 = 2_000;
/// Unused queues of a large configuration, which then takes 1 MB.
const LARGE_QUEUES: usize = 4_200;

/// An injected fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Kills a daemon and restarts it.
    Kill(usize),
    /// Sends `TERM` to a daemon and restarts it once it has exited.
    Terminate(usize),
    /// Suspends a daemon with `STOP` until the fault ends.
    Suspend(usize),
    /// Sends `HUP` to a daemon, which reloads its settings.
    Reload(usize),
    /// Disturbs the link from a daemon to the store.
    StoreLink(usize, LinkState),
    /// Silences the open connections from a daemon to the store.
    StoreSilent(usize),
    /// Disturbs the link from all daemons to a worker.
    WorkerLink(usize, LinkState),
    /// Silences the open connections to a worker.
    WorkerSilent(usize),
    /// Crashes a worker and restarts it with a clock that runs at so many thousandths of real time.
    RestartWorker(usize, u64),
    /// Changes the accelerators of a worker until the end of the faults.
    Resize(usize, u64),
    /// Writes a new configuration with so many unused queues.
    Configure(usize),
    /// Writes a new configuration with a weight, 0 for none, and a ceiling in accelerators.
    Allot(u32, u64),
    /// Makes the store refuse calls.
    StoreDown,
    /// Expires all leases of the store.
    ExpireLeases,
    /// Compacts the store, which drops its history.
    Compact,
    /// Kills all daemons and restarts them.
    KillAll,
}

/// An ongoing fault after the time of its end, in milliseconds from the start.
pub(crate) type Ongoing = (u64, Fault);

fn link_fault(random: &mut fastrand::Rng) -> LinkState {
    match random.u8(..5) {
        0 => LinkState::Slow(random.u64(5..400)),
        4 => LinkState::Narrow(NARROW_RATE),
        1 => LinkState::Reset,
        2 => LinkState::BlockedToServer,
        _ => LinkState::BlockedFromServer,
    }
}

/// Draws a random fault.
pub(crate) fn draw(random: &mut fastrand::Rng, daemons: usize, workers: usize) -> Fault {
    let (daemon, worker) = (random.usize(..daemons), random.usize(..workers));
    match random.u8(..38) {
        0..=2 => Fault::Kill(daemon),
        3..=4 => Fault::Terminate(daemon),
        5..=7 => Fault::Suspend(daemon),
        8 => Fault::Reload(daemon),
        9..=11 => Fault::StoreLink(daemon, link_fault(random)),
        12 => Fault::StoreSilent(daemon),
        13..=16 => Fault::WorkerLink(worker, link_fault(random)),
        17..=18 => Fault::WorkerSilent(worker),
        19..=20 => Fault::RestartWorker(worker, random.u64(980..=1_000)),
        21..=22 => Fault::StoreDown,
        23 => Fault::ExpireLeases,
        24 => Fault::Compact,
        25..=27 => Fault::Resize(worker, random.u64(..2 * CAPACITY.accelerators)),
        28..=29 => Fault::Configure(if random.bool() { LARGE_QUEUES } else { 0 }),
        // The ceiling holds the largest gang and the guarantee.
        30..=36 => Fault::Allot(random.u32(..4), random.u64(12..40)),
        _ => Fault::KillAll,
    }
}

/// Injects faults until `end`, in milliseconds from the start, and then reverts them all. Crowds of callers that don't
/// behave come beside them, drawn from another sequence.
pub(crate) fn inject_until(deployment: &mut Deployment, random: &mut fastrand::Rng, end: u64) {
    let mut crowd_random = random.clone();
    let (mut crowds, mut next_crowd) = (Vec::new(), crowd_random.u64(..MAX_CROWD_PAUSE_MS));
    let mut ongoing: Vec<Ongoing> = Vec::new();
    let mut next = random.u64(..MAX_PAUSE_MS);
    while deployment.elapsed_ms() < end {
        let now = deployment.elapsed_ms();
        let ended: Vec<Ongoing> = ongoing.extract_if(.., |(until, _)| *until <= now).collect();
        ended.into_iter().for_each(|(_, fault)| deployment.revert(fault));
        deployment.restart_exited();
        crowds.retain(|(until, _): &(u64, Crowd)| *until > now);
        if now >= next_crowd {
            let until = now + crowd_random.u64(50..MAX_FAULT_MS);
            crowds.push((
                until,
                Crowd::open(&deployment.random_daemon(&mut crowd_random), &mut crowd_random),
            ));
            next_crowd = now + crowd_random.u64(..MAX_CROWD_PAUSE_MS);
        }
        if now >= next {
            let fault = draw(random, deployment.daemons(), deployment.workers());
            println!("{now} {fault:?}");
            deployment.inject(fault);
            let ended = now + random.u64(50..MAX_FAULT_MS);
            // A smaller capacity counts after seconds, so it stays until the end or the next change.
            let lasts = matches!(fault, Fault::Resize(..));
            ongoing.push((if lasts { end } else { ended }, fault));
            next = now + random.u64(..MAX_PAUSE_MS);
        }
        std::thread::sleep(std::time::Duration::from_millis(10));
    }
    ongoing.into_iter().for_each(|(_, fault)| deployment.revert(fault));
}
