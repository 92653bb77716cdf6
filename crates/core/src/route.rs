//! Routing chooses the failure domain for a job; a pure function, so that every daemon agrees
//! when it has heard the same.

#[cfg(test)]
mod tests;

use crate::error::Code;
use crate::ids::DomainId;
use crate::job::{Adjacency, JobSpec, Refusal, Urgency};
use crate::note::{DesiredState, Service};
use crate::sched::Load;
use crate::units::Span;
use siphasher::sip::SipHasher13;
use std::hash::{Hash, Hasher};

/// Time to come back when no failure domain can take a job.
const NO_DOMAIN_RETRY: Span = Span::from_secs(5);

/// Differences in pressure below this many thousandths don't count.
const PRESSURE_STEP: u64 = 20;
/// Differences in free accelerators below this many don't count.
const ROOM_STEP: u64 = 4;

/// A failure domain as a daemon hears of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DomainView {
    /// The domain.
    pub id: DomainId,
    /// Load that its placer announced last, with the jobs that this daemon has sent there since,
    /// see [`Load::add`].
    pub load: Load,
    /// Whether its placer can be reached.
    pub reachable: bool,
}

/// Chooses the domain that takes the job.
///
/// # Errors
///
/// A refusal when the workspace is unknown or no domain in service is reachable.
pub fn route(
    spec: &JobSpec,
    state: &DesiredState,
    views: &[DomainView],
) -> Result<DomainId, Refusal> {
    let workspace = &spec.key.workspace;
    if state.workspace(workspace).is_none() {
        return Err(Refusal {
            code: Code::UnknownWorkspace,
            reason: format!("workspace {workspace} is not in release note {}", state.version),
            retry: None,
        });
    }
    let open = |view: &&DomainView| {
        let named = spec.domain.as_ref().is_none_or(|id| *id == view.id);
        let service = state.domain(&view.id).map(|d| d.service);
        named && view.reachable && service == Some(Service::In)
    };
    let best = views.iter().filter(open).min_by_key(|view| rank(spec, state, view));
    best.map(|view| view.id.clone()).ok_or_else(|| no_domain(spec, state))
}

/// Chooses a domain other than `own` for a job that waits there: one that has room for it now and
/// where its workspace isn't guaranteed less. Jobs that can't borrow stay, since a load doesn't
/// tell what of its free accelerators is held back.
pub fn reroute(
    spec: &JobSpec,
    state: &DesiredState,
    views: &[DomainView],
    own: &DomainId,
) -> Option<DomainId> {
    if spec.domain.is_some() || !can_borrow(spec) {
        return None;
    }
    let here = views.iter().find(|view| view.id == *own)?;
    let held = guaranteed(spec, state, here);
    let open = |view: &&DomainView| {
        let service = state.domain(&view.id).map(|d| d.service);
        let roomy = room(spec, &view.load).is_some();
        let kept = guaranteed(spec, state, view) >= held;
        view.id != *own && view.reachable && service == Some(Service::In) && roomy && kept
    };
    let best = views.iter().filter(open).min_by_key(|view| rank(spec, state, view));
    best.map(|view| view.id.clone())
}

/// Says why no domain can take the job, and whether that may change without a release note.
fn no_domain(spec: &JobSpec, state: &DesiredState) -> Refusal {
    let refuse = |reason, retry| Refusal { code: Code::NoDomain, reason, retry };
    let Some(id) = &spec.domain else {
        let reason = "no failure domain in service can be reached".to_string();
        return refuse(reason, Some(NO_DOMAIN_RETRY));
    };
    match state.domain(id).map(|domain| domain.service) {
        None => {
            let version = state.version;
            refuse(format!("failure domain {id} is not in release note {version}"), None)
        }
        Some(Service::Out) => {
            refuse(format!("failure domain {id} is out of service"), Some(NO_DOMAIN_RETRY))
        }
        Some(Service::In) => {
            refuse(format!("failure domain {id} can't be reached"), Some(NO_DOMAIN_RETRY))
        }
    }
}

/// Order of the domains for one job; the smallest is chosen.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// Whether the workspace holds no guarantee of the job's shape there.
    unguaranteed: bool,
    /// For an urgent job the share of these guarantees that is in use, per thousand.
    used: u64,
    /// Whether the job has to wait.
    full: bool,
    /// The room that is left, or the load.
    order: u64,
    /// Tells equals apart by the job's key, so that a burst that many daemons route on the same
    /// news spreads over the domains instead of meeting in the first one by name.
    spread: u64,
}

/// Orders domains: first those where the workspace holds a matching guarantee, for urgent jobs the
/// least used one, then those that have room now, the tightest first, then by what is busy or
/// waits there for each healthy accelerator.
///
/// A job goes where it leaves the least room, so that whole racks stay free in some domain.
fn rank(spec: &JobSpec, state: &DesiredState, view: &DomainView) -> Rank {
    let load = &view.load;
    let count = guaranteed(spec, state, view);
    let urgent = u64::from(load.urgent[Load::bucket(spec)]);
    let used = match spec.urgency {
        Urgency::Urgent if count > 0 => urgent * 1000 / u64::from(count),
        _ => 0,
    };
    let room = room(spec, load);
    let order = match room {
        Some(room) if can_borrow(spec) => u64::from(room) / ROOM_STEP,
        _ => pressure(load),
    };
    let spread = spread(spec, view);
    Rank { unguaranteed: count == 0, used, full: room.is_none(), order, spread }
}

/// Number of guarantees of the job's shape that its workspace holds in the domain.
fn guaranteed(spec: &JobSpec, state: &DesiredState, view: &DomainView) -> u16 {
    let Some(share) = state.share(&view.id) else { return 0 };
    let own = share.workspaces.iter().filter(|w| w.id == spec.key.workspace);
    let alike = own.flat_map(|w| &w.guarantees).filter(|(shape, _)| *shape == spec.shape);
    alike.map(|(_, count)| *count).sum()
}

/// Tells whether the job may start on any free accelerators. Urgent ones shouldn't have to wait for
/// a guarantee to be reclaimed, and what can't be stopped gets none that a guarantee holds back.
fn can_borrow(spec: &JobSpec) -> bool {
    spec.urgency != Urgency::Urgent && (spec.idempotent || spec.checkpoint)
}

/// Returns the free accelerators of which the job would take some, if it could start now as far
/// as the load tells.
fn room(spec: &JobSpec, load: &Load) -> Option<u32> {
    let total = spec.shape.total();
    let near = spec.shape.tasks > 1 && spec.shape.adjacency != Adjacency::Domain;
    let room = if near { load.block } else { load.free };
    (room >= total).then_some(room)
}

/// Accelerators that are busy or asked for, in coarse steps per thousand healthy ones.
fn pressure(load: &Load) -> u64 {
    let total = u64::from(load.total.max(1));
    let busy = u64::from(load.total.saturating_sub(load.free));
    (u64::from(load.queued) + busy) * 1000 / total / PRESSURE_STEP
}

fn spread(spec: &JobSpec, view: &DomainView) -> u64 {
    let mut hasher = SipHasher13::new();
    (&spec.key, &view.id).hash(&mut hasher);
    hasher.finish()
}
