//! Bounds that the deployment sets and the figures that follow from them.

use bulrushlink_core::{Code, DaemonId, Error, Span};
use serde::Deserialize;

/// The bounds of a deployment that the decisions rest on.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Time within which a withdrawn key must stop working, in milliseconds.
    pub revoke_ms: u64,
    /// Time after which a draining worker must get nothing, in milliseconds.
    pub drain_ms: u64,
    /// Longest lease of a run, in milliseconds.
    pub lease_max_ms: u64,
    /// Time that a stop of a run takes at most, in milliseconds.
    pub stop_ms: u64,
    /// Time that a member of a gang waits for the others, in milliseconds.
    pub gang_ms: u64,
    /// Time between SIGTERM and SIGKILL, in seconds.
    pub grace_s: u64,
    /// Time that the state of an ended job can be asked for, in seconds.
    pub status_s: u64,
    /// How many times as long a task takes away from its rack.
    pub remote_factor: f64,
    /// Time within which a guaranteed job must begin, in milliseconds.
    pub reclaim_ms: u64,
}

/// The shortest bound that the periods of this program can keep, in milliseconds.
const BOUND_MIN_MS: u64 = 100;

/// Share of a core from which on a host places well. Placing for 350 workers under load takes 0.1 to
/// 0.2 of a core (the bench's grown sites).
const STRONG_CORES: f64 = 0.25;

/// What a host gives to its daemon.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostShare {
    /// Share of a core's time, more than 0.
    pub core_share: f64,
    /// How many times as fast as a usual core it is, more than 0.
    pub core_speed: f64,
}

impl HostShare {
    /// Tells whether the host can place for hundreds of workers.
    pub fn is_strong(&self) -> bool {
        self.core_share * self.core_speed >= STRONG_CORES
    }

    /// Checks that the figures make sense.
    ///
    /// # Errors
    ///
    /// [`Code::SettingsInvalid`] if one of them isn't positive.
    pub fn check(&self) -> Result<(), Error> {
        let figures =
            [("/host/core_share", self.core_share), ("/host/core_speed", self.core_speed)];
        match figures.into_iter().find(|(_, figure)| !figure.is_finite() || *figure <= 0.0) {
            Some((name, _)) => Err(Error::at(Code::SettingsInvalid, name, "must be positive")),
            None => Ok(()),
        }
    }
}

/// What a node has to know of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// Unique name of the process's host.
    pub daemon: DaemonId,
    /// What the host gives to the process.
    pub host: HostShare,
    /// Tells this process from earlier ones on the same host.
    pub incarnation: u64,
    /// The deployment's bounds.
    pub bounds: Bounds,
}

impl Bounds {
    /// Checks that the bounds can be kept.
    ///
    /// # Errors
    ///
    /// [`Code::SettingsInvalid`] for the first bound that can't.
    pub fn check(&self) -> Result<(), Error> {
        let spans = [
            ("/bounds/revoke_ms", self.revoke_ms),
            ("/bounds/drain_ms", self.drain_ms),
            ("/bounds/lease_max_ms", self.lease_max_ms),
            ("/bounds/gang_ms", self.gang_ms),
            ("/bounds/reclaim_ms", self.reclaim_ms),
        ];
        for (name, value) in spans {
            if value < BOUND_MIN_MS {
                return Err(Error::at(Code::SettingsInvalid, name, "less than 100 ms"));
            }
        }
        if self.grace_s == 0 {
            return Err(Error::at(Code::SettingsInvalid, "/bounds/grace_s", "must be at least 1"));
        }
        Ok(())
    }

    /// Age up to which a view of the configuration may be used to accept anything.
    ///
    /// Six tenths of the bound on withdrawn keys leave the rest for the answer itself.
    pub const fn view_max(&self) -> Span {
        Span(self.revoke_ms * 6 / 10)
    }

    /// Age up to which a view of the workers may be used to start something.
    ///
    /// The remainder is for the commit and the start that follow the decision.
    pub const fn workers_max(&self) -> Span {
        Span(self.drain_ms * 7 / 10)
    }
}
