//! What goes wrong in a run, drawn from a seed or given by a test.

use bulrushlink_core::{DaemonId, DomainId, Span, WorkerId};
use fastrand::Rng;

use crate::layout::Layout;
use crate::platform::StoreMode;

/// Something that goes wrong, or is mended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A daemon dies.
    Kill(DaemonId),
    /// A dead daemon starts anew.
    Start(DaemonId),
    /// A daemon is stopped gracefully.
    Stop(DaemonId),
    /// A daemon is paused with all that it was about to do.
    Freeze(DaemonId),
    /// A paused daemon goes on.
    Wake(DaemonId),
    /// The store behaves otherwise.
    Store(StoreMode),
    /// A domain's daemons can't reach the platform's store and host list.
    CutPlatform(DomainId),
    /// A domain's daemons and workers are cut off from all other domains.
    CutDomain(DomainId),
    /// Messages from one daemon don't reach the other one.
    CutOneWay(DaemonId, DaemonId),
    /// All cuts are mended.
    Mend,
    /// A worker dies.
    KillWorker(WorkerId),
    /// A dead or failing worker works again, without any task.
    MendWorker(WorkerId),
    /// A worker fails whatever it starts.
    SpoilWorker(WorkerId),
    /// All daemons of a domain die at once.
    KillDomain(DomainId),
    /// All dead daemons of a domain start at once, and all paused ones go on.
    StartDomain(DomainId),
    /// The daemon that starts the work of a domain is paused.
    FreezePlacer(DomainId),
    /// The daemon that starts the next gang of a domain dies at that point of the start.
    KillAt(DomainId, StartPoint),
    /// The daemon that starts the next gang of a domain is paused at that point of the start.
    FreezeAt(DomainId, StartPoint),
    /// These daemons are paused at the same moment.
    FreezeAll(Vec<DaemonId>),
    /// All paused daemons go on.
    WakeAll,
    /// A domain is cut off from the other domains and from the platform.
    Isolate(DomainId),
    /// Calls of a daemon to the store take effect, and their answers are lost.
    MuteStore(DaemonId),
    /// Calls of a daemon to a worker take effect, and their answers are lost.
    MuteWorker(DaemonId, WorkerId),
    /// That many jobs are submitted at the same moment.
    Burst(usize),
    /// That many jobs that fail or can never run are submitted at the same moment.
    BadWave(usize),
    /// Half of the callers whose job is open cancel it.
    CancelWave,
    /// All daemons are stopped gracefully and started again, one after the other.
    StopEach,
    /// Two operators apply notes that are based on the same version, one of which takes the
    /// domain out of service.
    Race(DomainId),
    /// A worker is about to leave.
    LeaveWorker(WorkerId),
    /// A worker that was about to leave stays.
    KeepWorker(WorkerId),
    /// The operator takes a domain out of service.
    TakeOut(DomainId),
    /// The operator takes a domain back.
    TakeBack(DomainId),
}

/// A point in the start of a gang.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartPoint {
    /// A worker has just reserved.
    Reserved,
    /// A worker has just started its tasks; others may not have.
    Committed,
    /// A worker has just got the full lease; others may not have.
    Confirmed,
}

/// Faults with their times, each mended again within the run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FaultPlan {
    /// Times from the beginning, in order.
    pub faults: Vec<(Span, Fault)>,
}

/// Mean time between two faults, in milliseconds.
const FAULT_PERIOD_MS: u64 = 9_000;
/// Longest time until a fault is mended, in milliseconds.
const MEND_MAX_MS: u64 = 25_000;

impl FaultPlan {
    /// Draws faults for a run of `length`; some overlap, some strike twice.
    pub(crate) fn draw(layout: &Layout, length: Span, rng: &mut Rng) -> Self {
        let mut plan = Self::default();
        let mut at = 12_000;
        while at + MEND_MAX_MS < length.millis() {
            let mend = at + rng.u64(500..MEND_MAX_MS);
            let strikes = if rng.u8(0..4) == 0 { 2 } else { 1 };
            for _ in 0..strikes {
                let (fault, mended) = Self::pair(layout, rng);
                plan.faults.push((Span(at), fault));
                plan.faults.extend(mended.map(|mended| (Span(mend), mended)));
            }
            at += rng.u64(0..2 * FAULT_PERIOD_MS);
        }
        plan.faults.sort_by_key(|(at, _)| *at);
        plan
    }

    fn pair(layout: &Layout, rng: &mut Rng) -> (Fault, Option<Fault>) {
        if rng.bool() {
            return Self::aimed(layout, rng);
        }
        let daemon = any_daemon(layout, rng);
        let other = any_daemon(layout, rng);
        let worker = any_worker(layout, rng);
        let domain = any_domain(layout, rng);
        let modes = [
            StoreMode::Down,
            StoreMode::Silent,
            StoreMode::LosesReplies,
            StoreMode::Slow,
            StoreMode::StaleWatches,
        ];
        let mode = modes[rng.usize(0..modes.len())];
        let (fault, mended) = match rng.u8(0..12) {
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
        (fault, Some(mended))
    }

    /// Draws a fault that is aimed at what hurts most, or that strikes many at once.
    fn aimed(layout: &Layout, rng: &mut Rng) -> (Fault, Option<Fault>) {
        let daemon = any_daemon(layout, rng);
        let worker = any_worker(layout, rng);
        let domain = any_domain(layout, rng);
        let points = [StartPoint::Reserved, StartPoint::Committed, StartPoint::Confirmed];
        let point = points[rng.usize(0..points.len())];
        let mut daemons = vec![any_daemon(layout, rng), any_daemon(layout, rng), daemon.clone()];
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

fn any_daemon(layout: &Layout, rng: &mut Rng) -> DaemonId {
    let members = layout.members();
    members[rng.usize(0..members.len())].id.clone()
}

fn any_worker(layout: &Layout, rng: &mut Rng) -> WorkerId {
    let hosts = layout.hosts();
    hosts[rng.usize(0..hosts.len())].id.clone()
}

fn any_domain(layout: &Layout, rng: &mut Rng) -> DomainId {
    let domains = layout.domain_ids();
    domains[rng.usize(0..domains.len())].clone()
}
