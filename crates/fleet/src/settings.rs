//! Settings of the deployment and of the host, and the limits derived from them.

use bulrushlink_core::{Code, DaemonId, Error, Span};
use serde::Deserialize;

/// Bounds of a deployment that scheduling decisions must respect.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Time within which a withdrawn key must stop working, in milliseconds.
    pub revoke_ms: u64,
    /// Time after which a draining worker must get no new tasks, in milliseconds.
    pub drain_ms: u64,
    /// Longest lease of a run, in milliseconds.
    pub lease_max_ms: u64,
    /// Longest time that stopping a run takes, in milliseconds.
    pub stop_ms: u64,
    /// Longest time that a member of a gang waits for the others, in milliseconds.
    pub gang_ms: u64,
    /// Time between SIGTERM and SIGKILL, in seconds.
    pub grace_s: u64,
    /// Retention time of the state of an ended job, in seconds.
    pub status_s: u64,
    /// Slowdown of a task that runs outside its preferred rack, as a factor of its run time.
    pub remote_factor: f64,
    /// Time within which a guaranteed job must begin, in milliseconds.
    pub reclaim_ms: u64,
}

/// Optional behaviour of a daemon; off unless the settings turn it on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Features {
    /// Run times are learned from finished runs, and used beside the callers' estimates.
    pub learned_times: bool,
    /// Jobs that can't end in time to be of use are refused.
    pub admission: bool,
    /// Workers that crash or fail runs get new ones only after a while, and a few at first.
    pub breaker: bool,
    /// Runs are stopped for an urgent gang only if it then ends in time.
    pub timely_preemption: bool,
}

/// Smallest bound that can be kept with the polling intervals of this program, in milliseconds.
const BOUND_MIN_MS: u64 = 100;

/// Processor time, in usual cores, from which a host counts as strong. Placement under load
/// takes 0.1 to 0.2 of a core in deployments of 350 workers.
const STRONG_HOST_CORES_MIN: f64 = 0.25;

/// Processor time that a host grants its daemon.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostShare {
    /// Share of one core's time, more than 0.
    pub core_share: f64,
    /// Speed of the core relative to a usual one, more than 0.
    pub core_speed: f64,
}

impl HostShare {
    /// Returns true if the host can run placement for hundreds of workers.
    pub fn is_strong(&self) -> bool {
        self.core_share * self.core_speed >= STRONG_HOST_CORES_MIN
    }

    /// Checks that both values are positive and finite.
    ///
    /// # Errors
    ///
    /// [`Code::SettingsInvalid`] for the first value that isn't.
    pub fn check(&self) -> Result<(), Error> {
        let figures =
            [("/host/core_share", self.core_share), ("/host/core_speed", self.core_speed)];
        match figures.into_iter().find(|(_, figure)| !figure.is_finite() || *figure <= 0.0) {
            Some((name, _)) => Err(Error::at(Code::SettingsInvalid, name, "must be positive")),
            None => Ok(()),
        }
    }
}

/// Identity and settings of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct NodeSettings {
    /// Unique name of the daemon; there is one daemon per host.
    pub daemon: DaemonId,
    /// Processor time that the host grants the daemon.
    pub host: HostShare,
    /// Distinguishes this process from earlier ones on the same host.
    pub incarnation: u64,
    /// The deployment's bounds.
    pub bounds: Bounds,
    /// Optional behaviour.
    pub features: Features,
}

impl Bounds {
    /// Checks that no bound is too short to be kept.
    ///
    /// # Errors
    ///
    /// [`Code::SettingsInvalid`] for the first bound that is too short.
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

    /// Returns the age up to which a view of the configuration may be used to accept requests.
    ///
    /// This is 60 % of the bound on withdrawn keys; the rest is left for the answer itself.
    pub const fn view_age_max(&self) -> Span {
        Span(self.revoke_ms * 6 / 10)
    }

    /// Returns the age up to which a view of the workers may be used to start runs.
    ///
    /// This is 70 % of the bound on draining workers; the rest is left for the commit and the start
    /// call that follow the decision.
    pub const fn workers_age_max(&self) -> Span {
        Span(self.drain_ms * 7 / 10)
    }
}
