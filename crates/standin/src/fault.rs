//! Fault injection for the stand-ins that are served over HTTP.

use serde::{Deserialize, Serialize};

/// Faults of a stand-in, all off by default. A request that sets faults replaces all of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Whether every request is answered with 503, without any effect.
    pub down: bool,
    /// Whether no request is answered; requests have no effect.
    pub mute: bool,
    /// Delay of each answer after the request took effect, in milliseconds.
    pub slow_ms: u64,
    /// Percentage of requests that take effect but get no answer.
    pub lose_replies: u8,
    /// Percentage of requests that are lost without any effect.
    pub lose_requests: u8,
}

impl Faults {
    /// Decides whether the current request is lost before it takes effect.
    pub(crate) fn loses_request(&self) -> bool {
        self.mute || fastrand::u8(0..100) < self.lose_requests
    }

    /// Decides whether the answer to the current request is lost.
    pub(crate) fn loses_reply(&self) -> bool {
        fastrand::u8(0..100) < self.lose_replies
    }
}
