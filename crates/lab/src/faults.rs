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
    /// A worker is about to leave.
    LeaveWorker(WorkerId),
    /// The operator takes a domain out of service.
    TakeOut(DomainId),
    /// The operator takes a domain back.
    TakeBack(DomainId),
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
            let (fault, mended) = Self::pair(layout, rng);
            plan.faults.push((Span(at), fault));
            plan.faults.push((Span(mend), mended));
            at += rng.u64(0..2 * FAULT_PERIOD_MS);
        }
        plan.faults.sort_by_key(|(at, _)| *at);
        plan
    }

    fn pair(layout: &Layout, rng: &mut Rng) -> (Fault, Fault) {
        let members = layout.members();
        let hosts = layout.hosts();
        let daemon = members[rng.usize(0..members.len())].id.clone();
        let other = members[rng.usize(0..members.len())].id.clone();
        let worker = hosts[rng.usize(0..hosts.len())].id.clone();
        let domains = layout.domain_ids();
        let domain = domains[rng.usize(0..domains.len())].clone();
        let modes = [StoreMode::Down, StoreMode::Silent, StoreMode::LosesReplies, StoreMode::Slow];
        let mode = modes[rng.usize(0..modes.len())];
        match rng.u8(0..12) {
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
        }
    }
}
