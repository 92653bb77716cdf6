//! Release notes of the measured deployments.

use bulrushlink_core::{
    Adjacency, DomainId, DomainSpec, Entries, Guarantee, NoteVersion, ReleaseNote, Removals,
    Service, Shape, WorkspaceId, WorkspaceSpec,
};

/// Guarantees of each workspace.
const GUARANTEES: u16 = 2;
/// Limit of the jobs that wait in a workspace.
const QUEUE_LIMIT: u32 = 10_000;

/// Returns the id of workspace number `i`.
pub(crate) fn workspace_id(i: usize) -> WorkspaceId {
    format!("workspace-{i:03}").parse().expect("the name is valid")
}

/// Returns the first note: all `domains` in service, and `workspaces` workspaces with guarantees in
/// one of the domains `guarantors` each, in turn.
pub(crate) fn first_note(
    domains: &[DomainId],
    guarantors: &[DomainId],
    workspaces: usize,
) -> ReleaseNote {
    let domain = |id: &DomainId| DomainSpec {
        id: id.clone(),
        region: "region-1".parse().expect("the name is valid"),
        service: Service::In,
        grace: DomainSpec::DEFAULT_GRACE,
    };
    let added = Entries {
        domains: domains.iter().map(domain).collect(),
        workspaces: (0..workspaces).map(|i| workspace(i, guarantors, QUEUE_LIMIT)).collect(),
    };
    ReleaseNote {
        base: NoteVersion::default(),
        id: "first".to_string(),
        added,
        changed: Entries::default(),
        withdrawn: Removals::default(),
    }
}

/// Returns a note based on version `base` that changes one workspace.
pub(crate) fn next_note(base: u64, guarantors: &[DomainId], workspaces: usize) -> ReleaseNote {
    let i = base as usize % workspaces;
    let queue = QUEUE_LIMIT + base as u32;
    let workspaces = vec![workspace(i, guarantors, queue)];
    ReleaseNote {
        base: NoteVersion(base),
        id: format!("change-{base}"),
        added: Entries::default(),
        changed: Entries { domains: Vec::new(), workspaces },
        withdrawn: Removals::default(),
    }
}

fn workspace(i: usize, guarantors: &[DomainId], queue: u32) -> WorkspaceSpec {
    let guarantee = |g: u16| Guarantee {
        shape: Shape { tasks: 1, accelerators: 1 + g as u8, adjacency: Adjacency::Worker },
        count: 1,
        domain: Some(guarantors[i % guarantors.len()].clone()),
    };
    let guarantees = (0..GUARANTEES).map(guarantee).collect();
    WorkspaceSpec { id: workspace_id(i), guarantees, queue }
}
