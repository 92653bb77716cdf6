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
    /// Load that its placer announced last. A daemon that has sent jobs there since takes their
    /// accelerators off `free` and `block`, and adds them to `queued`.
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
    best.map(|view| view.id.clone()).ok_or_else(|| Refusal {
        code: Code::NoDomain,
        reason: "no failure domain in service can be reached".to_string(),
        retry: Some(NO_DOMAIN_RETRY),
    })
}

/// Orders domains: first those where the workspace holds a matching guarantee, then those that
/// have room now, the tightest first, then by what is busy or waits there for each healthy
/// accelerator.
///
/// A job goes where it leaves the least room, so that whole racks stay free in some domain. Equals
/// are told apart by the job's key, so that a burst that many daemons route on the same news
/// spreads over the domains instead of meeting in the first one by name.
fn rank(spec: &JobSpec, state: &DesiredState, view: &DomainView) -> (bool, bool, u64, u64) {
    let guaranteed = state.share(&view.id).is_some_and(|share| {
        let own = share.workspaces.iter().find(|w| w.id == spec.key.workspace);
        own.is_some_and(|w| w.guarantees.iter().any(|(shape, _)| *shape == spec.shape))
    });
    let load = &view.load;
    let order = match room(spec, load) {
        Some(room) if can_borrow(spec) => u64::from(room) / ROOM_STEP,
        _ => pressure(load),
    };
    (!guaranteed, room(spec, load).is_none(), order, spread(spec, view))
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
