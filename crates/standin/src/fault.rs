//! Faults that tests switch on in a stand-in behind HTTP.

use serde::{Deserialize, Serialize};

/// What a stand-in does wrong. All of it is off by default; a request that sets one sets all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Answers 503 to everything, without any effect.
    pub down: bool,
    /// Answers nothing, without any effect.
    pub mute: bool,
    /// Delay of each answer, after its effect, in milliseconds.
    pub slow_ms: u64,
    /// Percentage of the answers that are lost after their effect.
    pub lose_replies: u8,
    /// Percentage of the requests that are lost before their effect.
    pub lose_requests: u8,
}

impl Faults {
    /// Decides for one request whether it is lost before its effect.
    pub(crate) fn loses_request(&self) -> bool {
        self.mute || fastrand::u8(0..100) < self.lose_requests
    }

    /// Decides for one request whether its answer is lost.
    pub(crate) fn loses_reply(&self) -> bool {
        fastrand::u8(0..100) < self.lose_replies
    }
}
