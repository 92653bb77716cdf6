//! Routing chooses the failure domain for a job; a pure function, so that every daemon agrees
//! when it has heard the same.

use crate::error::Code;
use crate::ids::DomainId;
use crate::job::{JobSpec, Refusal};
use crate::note::{DesiredState, Service};
use crate::sched::Load;
use crate::units::Span;

/// Time to come back when no failure domain can take a job.
const NO_DOMAIN_RETRY: Span = Span::from_secs(5);

/// A failure domain as a daemon hears of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DomainView {
    /// The domain.
    pub id: DomainId,
    /// Load that its placer announced last.
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
/// have the free accelerators, then by what waits there for each healthy accelerator.
fn rank(spec: &JobSpec, state: &DesiredState, view: &DomainView) -> (bool, bool, u64, DomainId) {
    let guaranteed = state.share(&view.id).is_some_and(|share| {
        let own = share.workspaces.iter().find(|w| w.id == spec.key.workspace);
        own.is_some_and(|w| w.guarantees.iter().any(|(shape, _)| *shape == spec.shape))
    });
    let free = view.load.free >= view.load.queued + spec.shape.total();
    let total = u64::from(view.load.total.max(1));
    let busy = u64::from(view.load.total - view.load.free.min(view.load.total));
    let pressure = (u64::from(view.load.queued) + busy) * 1000 / total;
    (!guaranteed, !free, pressure, view.id.clone())
}
