//! Faults from outside the daemons, drawn from a seed.

use super::Deployment;
use super::proxy::Mood;

/// Longest pause before the next fault, in milliseconds; most faults overlap with the next ones.
const PAUSE_MS: u64 = 500;
/// Longest time that a fault lasts, in milliseconds.
const LENGTH_MS: u64 = 2_500;

/// A fault, and what ends it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Trouble {
    /// A daemon is killed and starts again.
    Kill(usize),
    /// A daemon stops gracefully and starts again.
    Terminate(usize),
    /// A daemon stands still.
    Freeze(usize),
    /// A daemon reads its settings again.
    Reload(usize),
    /// The way of a daemon to the store misbehaves.
    Store(usize, Mood),
    /// A daemon's connections to the store fall silent.
    StoreSilent(usize),
    /// The way of all daemons to a worker misbehaves.
    Worker(usize, Mood),
    /// The connections to a worker fall silent.
    WorkerSilent(usize),
    /// A worker crashes and starts again, with a clock that runs at so many thousandths.
    Reboot(usize, u64),
    /// The store turns calls away.
    StoreDown,
    /// All leases of the store end.
    LapseLeases,
    /// The store drops its history.
    Compact,
    /// Every daemon is killed and starts again.
    KillAll,
}

/// A fault that goes on, and when it ends, in milliseconds from the start.
pub(crate) type Ongoing = (u64, Trouble);

fn mood(random: &mut fastrand::Rng) -> Mood {
    match random.u8(..4) {
        0 => Mood::Slow(random.u64(5..400)),
        1 => Mood::Reset,
        2 => Mood::CutTo,
        _ => Mood::CutFrom,
    }
}

/// Draws a fault.
pub(crate) fn draw(random: &mut fastrand::Rng, daemons: usize, workers: usize) -> Trouble {
    let (daemon, worker) = (random.usize(..daemons), random.usize(..workers));
    match random.u8(..26) {
        0..=2 => Trouble::Kill(daemon),
        3..=4 => Trouble::Terminate(daemon),
        5..=7 => Trouble::Freeze(daemon),
        8 => Trouble::Reload(daemon),
        9..=11 => Trouble::Store(daemon, mood(random)),
        12 => Trouble::StoreSilent(daemon),
        13..=16 => Trouble::Worker(worker, mood(random)),
        17..=18 => Trouble::WorkerSilent(worker),
        19..=20 => Trouble::Reboot(worker, random.u64(980..=1_000)),
        21..=22 => Trouble::StoreDown,
        23 => Trouble::LapseLeases,
        24 => Trouble::Compact,
        _ => Trouble::KillAll,
    }
}

/// Plays faults until `end`, in milliseconds from the start, and ends them all then.
pub(crate) fn play(deployment: &mut Deployment, random: &mut fastrand::Rng, end: u64) {
    let mut ongoing: Vec<Ongoing> = Vec::new();
    let mut next = random.u64(..PAUSE_MS);
    while deployment.age() < end {
        let now = deployment.age();
        let over: Vec<Ongoing> = ongoing.extract_if(.., |(until, _)| *until <= now).collect();
        over.into_iter().for_each(|(_, trouble)| deployment.heal(trouble));
        deployment.revive();
        if now >= next {
            let trouble = draw(random, deployment.daemons(), deployment.workers());
            println!("{now} {trouble:?}");
            deployment.inflict(trouble);
            ongoing.push((now + random.u64(50..LENGTH_MS), trouble));
            next = now + random.u64(..PAUSE_MS);
        }
        std::thread::sleep(std::time::Duration::from_millis(10));
    }
    ongoing.into_iter().for_each(|(_, trouble)| deployment.heal(trouble));
}
