//! Faults of a run, drawn from a seed or given by a test.

use bulrushlink_core::{DaemonId, DomainId, Span, WorkerId};
use fastrand::Rng;

use crate::layout::Layout;
use crate::platform::StoreMode;

/// A fault, or the end of one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Kills a daemon.
    Kill(DaemonId),
    /// Starts a daemon that is down.
    Start(DaemonId),
    /// Stops a daemon gracefully.
    Stop(DaemonId),
    /// Pauses a daemon together with its unsent outputs.
    Freeze(DaemonId),
    /// Resumes a paused daemon.
    Wake(DaemonId),
    /// Changes the behaviour of the store.
    Store(StoreMode),
    /// Cuts the daemons of a failure domain off from the platform's store and host list.
    CutPlatform(DomainId),
    /// Cuts the daemons and workers of a failure domain off from all other domains.
    CutDomain(DomainId),
    /// Drops messages from the first daemon to the second one.
    CutOneWay(DaemonId, DaemonId),
    /// Restores all cut links, and lets replies through again.
    Mend,
    /// Kills a worker.
    KillWorker(WorkerId),
    /// Makes a dead or failing worker work again, without any task.
    MendWorker(WorkerId),
    /// Makes a worker fail every task that it starts.
    SpoilWorker(WorkerId),
    /// Kills all daemons of a failure domain at once.
    KillDomain(DomainId),
    /// Starts all dead daemons of a failure domain and resumes all paused ones at once.
    StartDomain(DomainId),
    /// Pauses the daemon that places the jobs of a failure domain.
    FreezePlacer(DomainId),
    /// Kills the daemon that starts the next gang of a failure domain, at this point of the start.
    KillAt(DomainId, StartPoint),
    /// Pauses the daemon that starts the next gang of a failure domain, at this point of the start.
    FreezeAt(DomainId, StartPoint),
    /// Pauses several daemons at the same time.
    FreezeAll(Vec<DaemonId>),
    /// Resumes all paused daemons.
    WakeAll,
    /// Cuts a failure domain off from the other domains and from the platform.
    Isolate(DomainId),
    /// Loses the replies to a daemon's calls to the store; the calls take effect.
    MuteStore(DaemonId),
    /// Loses the replies to a daemon's calls to a worker; the calls take effect.
    MuteWorker(DaemonId, WorkerId),
    /// Submits this number of jobs within 200 ms.
    Burst(usize),
    /// Submits this number of jobs that fail or can never run, within 200 ms.
    BadWave(usize),
    /// Makes about half of the callers with an open job cancel it.
    CancelWave,
    /// Stops all daemons gracefully and starts them again, one after the other.
    StopEach,
    /// Makes two operators apply notes with the same base version, one of which takes the failure
    /// domain out of service.
    Race(DomainId),
    /// Announces that a worker leaves.
    LeaveWorker(WorkerId),
    /// Withdraws the announcement that a worker leaves.
    KeepWorker(WorkerId),
    /// Makes the operator take a failure domain out of service.
    TakeOut(DomainId),
    /// Makes the operator take a failure domain back into service.
    TakeBack(DomainId),
}

/// A point in the start of a gang.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartPoint {
    /// A worker has just reserved resources.
    Reserved,
    /// A worker has just started its tasks; other workers may not have yet.
    Committed,
    /// A worker has just got the full lease; other workers may not have yet.
    Confirmed,
}

/// Faults with their times, each of which is also cleared within the run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FaultPlan {
    /// Delays from the start of the plan, in ascending order.
    pub faults: Vec<(Span, Fault)>,
}

/// Mean time between two faults.
const FAULT_INTERVAL_MEAN_MS: u64 = 9_000;
/// Longest time until a fault is cleared.
const FAULT_LENGTH_MAX_MS: u64 = 25_000;

impl FaultPlan {
    /// Draws faults for a run of `length`. They may overlap, and one time in four two begin
    /// together.
    pub(crate) fn draw(layout: &Layout, length: Span, rng: &mut Rng) -> Self {
        let mut plan = Self::default();
        let mut at = 12_000;
        while at + FAULT_LENGTH_MAX_MS < length.millis() {
            let clear_at = at + rng.u64(500..FAULT_LENGTH_MAX_MS);
            let count = if rng.u8(0..4) == 0 { 2 } else { 1 };
            for _ in 0..count {
                let (fault, clear) = Self::draw_pair(layout, rng);
                plan.faults.push((Span(at), fault));
                plan.faults.extend(clear.map(|clear| (Span(clear_at), clear)));
            }
            at += rng.u64(0..2 * FAULT_INTERVAL_MEAN_MS);
        }
        plan.faults.sort_by_key(|(at, _)| *at);
        plan
    }

    fn draw_pair(layout: &Layout, rng: &mut Rng) -> (Fault, Option<Fault>) {
        if rng.bool() {
            return Self::draw_targeted(layout, rng);
        }
        let daemon = draw_daemon(layout, rng);
        let other = draw_daemon(layout, rng);
        let worker = draw_worker(layout, rng);
        let domain = draw_domain(layout, rng);
        let modes = [
            StoreMode::Down,
            StoreMode::Silent,
            StoreMode::LosesReplies,
            StoreMode::Slow,
            StoreMode::StaleWatches,
        ];
        let mode = modes[rng.usize(0..modes.len())];
        let (fault, clear) = match rng.u8(0..12) {
            0 | 1 => (Fault::Kill(daemon.clone()), Fault::Start(daemon)),
            2 | 3 => (Fault::Freeze(daemon.clone()), Fault::Wake(daemon)),
            4 => (Fault::Stop(daemon.clone()), Fault::Start(daemon)),
            5 => (Fault::Store(mode), Fault::Store(StoreMode::Up)),
            6 => (Fault::CutPlatform(domain), Fault::Mend),
            7 => (Fault::CutDomain(domain), Fault::Mend),
            8 => (Fault::CutOneWay(daemon, other), Fault::Mend),
            9 => (Fault::KillWorker(worker.clone()), Fault::MendWorker(worker)),
            10 => (Fault::SpoilWorker(worker.clone()), Fault::MendWorker(worker)),
            _ => (Fault::TakeOut(domain.clone()), Fault::TakeBack(domain)),
        };
        (fault, Some(clear))
    }

    /// Draws a fault at a critical point, such as a gang start, or one that affects many parties.
    fn draw_targeted(layout: &Layout, rng: &mut Rng) -> (Fault, Option<Fault>) {
        let daemon = draw_daemon(layout, rng);
        let worker = draw_worker(layout, rng);
        let domain = draw_domain(layout, rng);
        let points = [StartPoint::Reserved, StartPoint::Committed, StartPoint::Confirmed];
        let point = points[rng.usize(0..points.len())];
        let mut daemons = vec![draw_daemon(layout, rng), draw_daemon(layout, rng), daemon.clone()];
        daemons.sort();
        daemons.dedup();
        let start = Fault::StartDomain(domain.clone());
        match rng.u8(0..16) {
            0 => (Fault::KillDomain(domain), Some(start)),
            1 => (Fault::FreezePlacer(domain), Some(start)),
            2 | 3 => (Fault::KillAt(domain, point), Some(start)),
            4 | 5 => (Fault::FreezeAt(domain, point), Some(start)),
            6 => (Fault::FreezeAll(daemons), Some(Fault::WakeAll)),
            7 => (Fault::Isolate(domain), Some(Fault::Mend)),
            8 => (Fault::MuteStore(daemon), Some(Fault::Mend)),
            9 => (Fault::MuteWorker(daemon, worker), Some(Fault::Mend)),
            10 => (Fault::Burst(rng.usize(10..40)), None),
            11 => (Fault::BadWave(rng.usize(5..15)), None),
            12 => (Fault::CancelWave, None),
            13 => (Fault::StopEach, None),
            14 => (Fault::Race(domain.clone()), Some(Fault::TakeBack(domain))),
            _ => (Fault::LeaveWorker(worker.clone()), Some(Fault::KeepWorker(worker))),
        }
    }
}

fn draw_daemon(layout: &Layout, rng: &mut Rng) -> DaemonId {
    let members = layout.members();
    members[rng.usize(0..members.len())].id.clone()
}

fn draw_worker(layout: &Layout, rng: &mut Rng) -> WorkerId {
    let hosts = layout.hosts();
    hosts[rng.usize(0..hosts.len())].id.clone()
}

fn draw_domain(layout: &Layout, rng: &mut Rng) -> DomainId {
    let domains = layout.domain_ids();
    domains[rng.usize(0..domains.len())].clone()
}
