//! Routing: chooses the failure domain for a job. The choice is a pure function of its arguments,
//! so that daemons with the same information choose the same domain.

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

/// Retry time given to a caller when no failure domain can take the job.
const NO_DOMAIN_RETRY: Span = Span::from_secs(5);

/// Step in which pressure is compared; smaller differences are ignored.
const PRESSURE_STEP_PERMILLE: u64 = 20;
/// Step in which free accelerators are compared; smaller differences are ignored.
const FREE_STEP_ACCELERATORS: u64 = 4;

/// What a daemon knows about a failure domain.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DomainView {
    /// The domain.
    pub id: DomainId,
    /// Load last announced by the domain's placer, plus the jobs that this daemon has sent there
    /// since, see [`Load::add_waiting`].
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
    let eligible = |view: &&DomainView| {
        let allowed = spec.domain.as_ref().is_none_or(|id| *id == view.id);
        let service = state.domain(&view.id).map(|d| d.service);
        allowed && view.reachable && service == Some(Service::In)
    };
    let best = views.iter().filter(eligible).min_by_key(|view| rank(spec, state, view));
    best.map(|view| view.id.clone()).ok_or_else(|| no_domain(spec, state))
}

/// Chooses a domain other than `own` for a job that waits in `own`: one that has room for the job
/// now and guarantees its workspace at least as many of the job's shape. Jobs that can't borrow
/// stay, since a load doesn't show how many of its free accelerators are reserved for guarantees.
pub fn reroute(
    spec: &JobSpec,
    state: &DesiredState,
    views: &[DomainView],
    own: &DomainId,
) -> Option<DomainId> {
    if spec.domain.is_some() || !can_borrow(spec) {
        return None;
    }
    let current = views.iter().find(|view| view.id == *own)?;
    let current_count = guarantee_count(spec, state, current);
    let eligible = |view: &&DomainView| {
        let service = state.domain(&view.id).map(|d| d.service);
        let has_room = usable_free(spec, &view.load).is_some();
        let guaranteed = guarantee_count(spec, state, view) >= current_count;
        view.id != *own && view.reachable && service == Some(Service::In) && has_room && guaranteed
    };
    let best = views.iter().filter(eligible).min_by_key(|view| rank(spec, state, view));
    best.map(|view| view.id.clone())
}

/// Returns the refusal of a job that no domain can take, with a retry time if that may change
/// without a release note.
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

/// Sort key of a domain for one job; the domain with the smallest key is chosen.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// Whether the workspace has no guarantee of the job's shape in the domain.
    unguaranteed: bool,
    /// For an urgent job, the share of these guarantees in use by urgent jobs, in thousandths.
    used_permille: u64,
    /// Whether the domain has no room for the job now.
    full: bool,
    /// Free accelerators if the job can borrow and has room, else the pressure; both in steps.
    fill: u64,
    /// Hash of the job's key and the domain. It spreads a burst that many daemons route on the same
    /// loads over equal domains, where the identifier would send all of it to the first one.
    tie_break: u64,
}

/// Returns the sort key of a domain. Domains where the workspace has a matching guarantee come
/// first (for urgent jobs, those whose guarantees are used least), then those with room now. A job
/// that can borrow goes to the domain with the fewest free accelerators; all others go by pressure,
/// the busy and queued accelerators per healthy one.
///
/// Choosing the domain with the least room keeps whole racks free in other domains.
fn rank(spec: &JobSpec, state: &DesiredState, view: &DomainView) -> Rank {
    let load = &view.load;
    let count = guarantee_count(spec, state, view);
    let urgent = u64::from(load.urgent[Load::bucket(spec)]);
    let used_permille = match spec.urgency {
        Urgency::Urgent if count > 0 => urgent * 1000 / u64::from(count),
        _ => 0,
    };
    let free = usable_free(spec, load);
    let fill = match free {
        Some(free) if can_borrow(spec) => u64::from(free) / FREE_STEP_ACCELERATORS,
        _ => pressure(load),
    };
    let tie_break = tie_break(spec, view);
    Rank { unguaranteed: count == 0, used_permille, full: free.is_none(), fill, tie_break }
}

/// Returns the number of guarantees of the job's shape that its workspace has in the domain.
fn guarantee_count(spec: &JobSpec, state: &DesiredState, view: &DomainView) -> u16 {
    let Some(share) = state.share(&view.id) else { return 0 };
    let own = share.workspaces.iter().filter(|w| w.id == spec.key.workspace);
    let matching = own.flat_map(|w| &w.guarantees).filter(|(shape, _)| *shape == spec.shape);
    matching.map(|(_, count)| *count).sum()
}

/// Returns true if the job may start on any free accelerators. Urgent jobs can't, as they shouldn't
/// have to wait for a guarantee to be reclaimed; neither can jobs that can't be stopped, as they
/// get no accelerators that are reserved for a guarantee.
fn can_borrow(spec: &JobSpec) -> bool {
    spec.urgency != Urgency::Urgent && (spec.idempotent || spec.checkpoint)
}

/// Returns the free accelerators that the job can choose from, those of one rack if its tasks have
/// to be adjacent; `None` if the load shows too few for it to start now.
fn usable_free(spec: &JobSpec, load: &Load) -> Option<u32> {
    let total = spec.shape.total();
    let adjacent = spec.shape.tasks > 1 && spec.shape.adjacency != Adjacency::Domain;
    let free = if adjacent { load.block } else { load.free };
    (free >= total).then_some(free)
}

/// Returns the busy and queued accelerators per thousand healthy ones, in steps of
/// [`PRESSURE_STEP_PERMILLE`].
fn pressure(load: &Load) -> u64 {
    let total = u64::from(load.total.max(1));
    let busy = u64::from(load.total.saturating_sub(load.free));
    (u64::from(load.queued) + busy) * 1000 / total / PRESSURE_STEP_PERMILLE
}

fn tie_break(spec: &JobSpec, view: &DomainView) -> u64 {
    let mut hasher = SipHasher13::new();
    (&spec.key, &view.id).hash(&mut hasher);
    hasher.finish()
}
