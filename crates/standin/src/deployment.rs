//! Description of the simulated workers, read from a small JSON file.

use bulrushlink_api::Host;
use bulrushlink_core::{Code, DomainId, Error, RackId, RegionId, WorkerId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The patrol-dispatch deployment.
const GUARDAVIA: &str = include_str!("../deployments/guardavia.json");
/// The etch-planner deployment.
const TIRTA_KACA: &str = include_str!("../deployments/tirta-kaca.json");

/// The workers of one failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeployedDomain {
    /// The failure domain.
    pub id: DomainId,
    /// Number of workers in the domain.
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
    /// Workers per rack, at least 1; the last rack of a domain may have fewer.
    pub rack_workers: u16,
    /// Accelerators per worker, at most 64.
    pub accelerators: u8,
    /// Largest number of tasks at the same time per worker.
    pub slots: u16,
}

impl Deployment {
    /// Returns the built-in deployment `guardavia` or `tirta-kaca`, or reads any other `name` as
    /// the path of a JSON file.
    ///
    /// # Errors
    ///
    /// [`Code::SettingsInvalid`] if the file can't be read or isn't a valid deployment.
    pub fn read(name: &str) -> Result<Self, Error> {
        match name {
            "guardavia" => Self::parse(GUARDAVIA),
            "tirta-kaca" => Self::parse(TIRTA_KACA),
            path => {
                let text = std::fs::read_to_string(path);
                let text = text.map_err(|e| Self::invalid(format!("{path}: {e}")))?;
                Self::parse(&text)
            }
        }
    }

    /// Parses a deployment from JSON.
    ///
    /// # Errors
    ///
    /// [`Code::SettingsInvalid`] if the text isn't a valid deployment.
    pub fn parse(text: &str) -> Result<Self, Error> {
        let parsed: Self = serde_json::from_str(text).map_err(|e| Self::invalid(e.to_string()))?;
        if parsed.rack_workers == 0 {
            return Err(Error::at(Code::SettingsInvalid, "/rack_workers", "must be at least 1"));
        }
        if parsed.accelerators > 64 {
            return Err(Error::at(Code::SettingsInvalid, "/accelerators", "must be at most 64"));
        }
        Ok(parsed)
    }

    /// Returns the host entries of all workers, each at `addr`.
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

    fn invalid(text: String) -> Error {
        Error::new(Code::SettingsInvalid, text)
    }
}
