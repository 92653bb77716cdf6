//! The operators' table of failure domains, assembled from the state of several components.

use bulrushlink_api::{DomainRow, DomainsAnswer};
use bulrushlink_core::{Code, DomainSpec, Moment};

use super::Node;

impl Node {
    pub(super) fn domains(&self, now: Moment) -> DomainsAnswer {
        let specs = self.notes.state().map(|state| state.domains.as_slice()).unwrap_or_default();
        DomainsAnswer {
            code: Code::Done,
            version: self.notes.version(),
            domains: specs.iter().map(|spec| self.domain_row(spec, now)).collect(),
        }
    }

    fn domain_row(&self, spec: &DomainSpec, now: Moment) -> DomainRow {
        let view = self.members.views(now).into_iter().find(|view| view.id == spec.id);
        DomainRow {
            id: spec.id.clone(),
            service: spec.service,
            placer: self.members.placer(&spec.id, now),
            load: view.map(|view| view.load).unwrap_or_default(),
            daemons: self
                .members
                .in_force(now)
                .into_iter()
                .filter(|row| row.domain == spec.id)
                .collect(),
            workers: self.hosts.rows(&spec.id, now),
        }
    }
}
