//! The workers that a stand-in plays, described by a small JSON file.

use bulrushlink_api::Host;
use bulrushlink_core::{Code, DomainId, Error, RackId, RegionId, WorkerId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Workers of the patrol-dispatch deployment.
const GUARDAVIA: &str = include_str!("../deployments/guardavia.json");
/// Workers of the etch-planner deployment.
const TIRTA_KACA: &str = include_str!("../deployments/tirta-kaca.json");

/// The workers of one failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeployedDomain {
    /// The failure domain.
    pub id: DomainId,
    /// Number of its workers.
    pub workers: u16,
}

/// The workers of one deployment.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Region of all failure domains.
    pub region: RegionId,
    /// The failure domains.
    pub domains: Vec<DeployedDomain>,
    /// Workers of a full rack, at least 1.
    pub rack_workers: u16,
    /// Accelerators of a worker, at most 64.
    pub accelerators: u8,
    /// The most tasks of a worker at the same time.
    pub slots: u16,
}

impl Deployment {
    /// Reads a deployment by its name, `guardavia` or `tirta-kaca`, or else from the file of that
    /// name.
    ///
    /// # Errors
    ///
    /// [`Code::SettingsInvalid`] when there is no such file or it isn't a deployment.
    pub fn read(name: &str) -> Result<Self, Error> {
        match name {
            "guardavia" => Self::parse(GUARDAVIA),
            "tirta-kaca" => Self::parse(TIRTA_KACA),
            path => {
                let text = std::fs::read_to_string(path);
                let text = text.map_err(|e| Self::fault(format!("{path}: {e}")))?;
                Self::parse(&text)
            }
        }
    }

    /// Reads a deployment from JSON.
    ///
    /// # Errors
    ///
    /// [`Code::SettingsInvalid`] when it isn't a deployment.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let parsed: Self = serde_json::from_str(text).map_err(|e| Self::fault(e.to_string()))?;
        if parsed.rack_workers == 0 {
            return Err(Error::at(Code::SettingsInvalid, "/rack_workers", "must be at least 1"));
        }
        if parsed.accelerators > 64 {
            return Err(Error::at(Code::SettingsInvalid, "/accelerators", "must be at most 64"));
        }
        Ok(parsed)
    }

    /// Returns the facts of all workers, each at `addr`.
    pub fn hosts(&self, addr: SocketAddr) -> Vec<Host> {
        let domains = self.domains.iter();
        domains.flat_map(|d| (0..d.workers).map(|i| self.host(&d.id, i, addr))).collect()
    }

    fn host(&self, domain: &DomainId, index: u16, addr: SocketAddr) -> Host {
        let rack = index / self.rack_workers + 1;
        let place = index % self.rack_workers + 1;
        let rack: RackId = format!("{domain}-r{rack}").parse().expect("a short name is valid");
        let id: WorkerId = format!("{rack}-w{place}").parse().expect("a short name is valid");
        Host {
            id,
            region: self.region.clone(),
            domain: domain.clone(),
            rack,
            addr,
            accelerators: self.accelerators,
            slots: self.slots,
            leaving: false,
        }
    }

    fn fault(text: String) -> Error {
        Error::new(Code::SettingsInvalid, text)
    }
}
