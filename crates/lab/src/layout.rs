//! The simulated deployment: failure domains, daemons, workers and the first release note.

use bulrushlink_api::Host;
use bulrushlink_core::{
    DaemonId, DomainId, DomainSpec, Entries, Guarantee, NoteVersion, ReleaseNote, Removals,
    Service, Shape, Span, WorkspaceSpec,
};
use bulrushlink_daemon::{Limits, Member, Settings, Timing};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Region of all failure domains.
const REGION: &str = "ec-sierra";
/// The workspaces of the first release note.
pub(crate) const WORKSPACES: [&str; 4] =
    ["crossing-risk", "incident-replay", "municipal-transit", "rosters"];

/// Sizes of a deployment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Layout {
    /// Names of the failure domains, sorted.
    pub domains: Vec<String>,
    /// Number of daemons in each failure domain.
    pub daemons: u16,
    /// Number of racks in each failure domain.
    pub racks: u16,
    /// Number of workers in each rack.
    pub workers: u16,
    /// Number of accelerators of each worker.
    pub accelerators: u8,
    /// Grace period of each failure domain, as its entry in the release notes states it.
    pub grace: Span,
    /// Time by which the host list lags behind changes.
    pub lag: Span,
    /// Periods and timeouts of the daemons.
    pub timing: Timing,
    /// Limits of the daemons.
    pub limits: Limits,
}

impl Layout {
    /// Returns three failure domains with two daemons and eight workers each.
    pub fn small() -> Self {
        Self {
            domains: ["cuenca", "quito-norte", "quito-sur"].map(String::from).to_vec(),
            daemons: 2,
            racks: 2,
            workers: 4,
            accelerators: 8,
            grace: Span::from_secs(30),
            lag: Span::from_secs(3),
            timing: Timing::default(),
            limits: Limits::default(),
        }
    }

    pub(crate) fn domain_ids(&self) -> Vec<DomainId> {
        self.domains.iter().map(|name| name.parse().expect("layouts have valid names")).collect()
    }

    pub(crate) fn members(&self) -> Vec<Member> {
        let mut members = Vec::new();
        for domain in self.domain_ids() {
            for i in 0..self.daemons {
                let port = 7000 + members.len() as u16;
                members.push(Member {
                    id: format!("{domain}-{i}").parse().expect("valid name"),
                    domain: domain.clone(),
                    addr: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port),
                });
            }
        }
        members.sort_by(|a, b| a.id.cmp(&b.id));
        members
    }

    pub(crate) fn settings(&self, daemon: &DaemonId) -> Settings {
        Settings {
            daemon: daemon.clone(),
            callers: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 1),
            operators: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 2),
            store: "http://127.0.0.1:3".to_string(),
            hosts: "http://127.0.0.1:4".to_string(),
            operator_token: "token".to_string(),
            peer_key: "key".to_string(),
            members: self.members(),
            limits: self.limits,
            timing: self.timing,
            log: "info".to_string(),
        }
    }

    pub(crate) fn hosts(&self) -> Vec<Host> {
        let mut hosts = Vec::new();
        for domain in self.domain_ids() {
            for rack in 0..self.racks {
                for worker in 0..self.workers {
                    hosts.push(self.host(&domain, rack, worker, hosts.len() as u16));
                }
            }
        }
        hosts
    }

    fn host(&self, domain: &DomainId, rack: u16, worker: u16, index: u16) -> Host {
        Host {
            id: format!("{domain}-r{rack}-w{worker}").parse().expect("valid name"),
            region: REGION.parse().expect("valid name"),
            domain: domain.clone(),
            rack: format!("{domain}-r{rack}").parse().expect("valid name"),
            addr: SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 8000 + index),
            accelerators: self.accelerators,
            slots: 8,
            leaving: false,
        }
    }

    pub(crate) fn domain_spec(&self, id: &DomainId, service: Service) -> DomainSpec {
        let region = REGION.parse().expect("valid name");
        DomainSpec { id: id.clone(), region, service, grace: self.grace }
    }

    /// Returns the release note with all failure domains and workspaces.
    pub(crate) fn first_note(&self) -> ReleaseNote {
        let domains = self.domain_ids();
        ReleaseNote {
            base: NoteVersion(0),
            id: "first".to_string(),
            added: Entries {
                domains: domains.iter().map(|id| self.domain_spec(id, Service::In)).collect(),
                workspaces: WORKSPACES.iter().map(|name| workspace(name)).collect(),
            },
            changed: Entries::default(),
            withdrawn: Removals::default(),
        }
    }

    /// Returns a release note that adds a workspace without guarantees.
    pub(crate) fn workspace_note(&self, base: NoteVersion, id: String) -> ReleaseNote {
        let spec = WorkspaceSpec {
            id: id.parse().expect("valid name"),
            guarantees: Vec::new(),
            queue: WorkspaceSpec::DEFAULT_QUEUE,
        };
        let workspaces = vec![spec];
        ReleaseNote {
            base,
            id,
            added: Entries { domains: Vec::new(), workspaces },
            changed: Entries::default(),
            withdrawn: Removals::default(),
        }
    }

    /// Returns a release note that takes a failure domain out of service or back.
    pub(crate) fn service_note(
        &self,
        base: NoteVersion,
        id: String,
        domain: &DomainId,
        service: Service,
    ) -> ReleaseNote {
        let domains = vec![self.domain_spec(domain, service)];
        ReleaseNote {
            base,
            id,
            added: Entries::default(),
            changed: Entries { domains, workspaces: Vec::new() },
            withdrawn: Removals::default(),
        }
    }
}

/// Returns the shape that a workspace of the first release note has guarantees for.
pub(crate) fn guaranteed_shape(workspace: &str) -> Shape {
    let tasks = if workspace == "incident-replay" { 4 } else { 1 };
    let accelerators = if workspace == "rosters" { 8 } else { 4 };
    Shape { tasks, accelerators, adjacency: Default::default() }
}

fn workspace(name: &str) -> WorkspaceSpec {
    let shape = guaranteed_shape(name);
    WorkspaceSpec {
        id: name.parse().expect("valid name"),
        guarantees: vec![Guarantee { shape, count: 3, domain: None }],
        queue: WorkspaceSpec::DEFAULT_QUEUE,
    }
}
