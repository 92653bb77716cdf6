//! What callers may make the process hold, derived from the memory and descriptors that it has.
//!
//! Each limit alone is easily met by a crowd whose members stay within the limits of a single
//! request, so the limits are shares of one sum: the memory of the process.

use bulrushlink_core::{Code, Error, Span};
use serde::Deserialize;

use crate::placer::RUNS_DIVISOR;

/// Least memory of a process, in megabytes: less doesn't hold the daemon's own state.
const MEMORY_MIN_MB: u64 = 32;
/// Largest memory of a process, in megabytes; sizes in bytes can't overflow.
const MEMORY_MAX_MB: u64 = 1 << 24;
/// Least number of descriptors: less doesn't hold the daemon's own connections.
const DESCRIPTORS_MIN: u64 = 64;
/// Largest number of descriptors, far above that of any process.
const DESCRIPTORS_MAX: u64 = 1 << 24;

/// Memory and descriptors that the host grants the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessLimits {
    /// Memory above which the process is ended, in megabytes of 1,000,000 bytes. Bytes in the buffers of
    /// its sockets count.
    pub memory_mb: u64,
    /// Largest number of open descriptors.
    pub descriptors: u64,
}

impl Default for ProcessLimits {
    fn default() -> Self {
        Self { memory_mb: 256, descriptors: 4_096 }
    }
}

impl ProcessLimits {
    /// Checks that a daemon can run within the limits.
    ///
    /// # Errors
    ///
    /// [`Code::SettingsInvalid`] for the first limit that is too low or too high.
    pub fn check(&self) -> Result<(), Error> {
        let figures = [
            ("/process/memory_mb", self.memory_mb, MEMORY_MIN_MB, MEMORY_MAX_MB),
            ("/process/descriptors", self.descriptors, DESCRIPTORS_MIN, DESCRIPTORS_MAX),
        ];
        for (name, figure, least, most) in figures {
            if figure < least || figure > most {
                let text = format!("{figure} is not between {least} and {most}");
                return Err(Error::at(Code::SettingsInvalid, name, text));
            }
        }
        Ok(())
    }
}

/// Share of the memory for connections and the buffers of their sockets, as a divisor.
const CONNECTIONS_DIVISOR: usize = 4;
/// Share of the memory for the messages of callers, as a divisor.
const MESSAGES_DIVISOR: usize = 4;
/// Share of the memory for the store calls of callers, as a divisor.
const STORE_CALLS_DIVISOR: usize = 5;
/// Share of the memory for the accepted jobs in the placer, as a divisor.
const JOBS_DIVISOR: usize = 6;
/// Share of the memory that is left for the rest of the daemon's state, as a divisor.
const OWN_DIVISOR: usize = 10;
/// Share of the descriptors for callers, in eighths; the rest is for workers, the store and files.
const DESCRIPTORS_EIGHTHS: usize = 3;
/// Share of the descriptors for the store calls of callers, as a divisor.
const STORE_DESCRIPTORS_DIVISOR: usize = 4;
/// Largest number of callers' connections by default.
const CONNECTIONS_MAX: usize = 1_500;
/// Largest number of open connections of the load balancer, and likewise of operators' tools.
const ADMIN_CONNECTIONS_MAX: usize = 50;
/// Memory of a connection besides the buffers of its socket, in bytes.
const CONNECTION_BYTES: usize = 2_048;
/// The system takes up to this many times the size of a buffer for its own account of it.
const BUFFER_FACTOR: usize = 2;
/// Size of a connection's receive buffer by default, in kilobytes.
const RECEIVE_KB: usize = 16;
/// Size of a connection's send buffer, in bytes: responses to callers are short.
const SEND_BYTES: usize = 4_096;
/// Memory of a store call with its reply, in bytes: the record of a job with the largest body, encoded.
const STORE_CALL_BYTES: usize = 500_000;
/// Least and largest number of store calls by default.
const STORE_CALLS: (usize, usize) = (8, 64);
/// Bytes of framing for each byte that a body may have, by default; chunks of one byte take 5.
const FRAMING_FACTOR: usize = 32;
/// Time for a whole body to arrive by default, in seconds.
const BODY_S: u64 = 60;
/// Longest time for which a request is held by default, 20 times what the users' callers wait.
pub(crate) const HOLD_MAX: Span = Span(60_000);
/// Largest value of a setting; sums and products can't overflow.
const SETTING_MAX: usize = 1 << 24;

/// Settings of the limits on callers; each that is missing follows from the memory and the descriptors.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct IntakeSettings {
    /// Largest number of open connections.
    pub connections: Option<usize>,
    /// Memory of the messages of all connections, in kilobytes.
    pub messages_kb: Option<usize>,
    /// Size of the receive buffer of a connection's socket, in kilobytes.
    pub receive_kb: Option<usize>,
    /// Largest number of store calls for callers at a time.
    pub store_calls: Option<usize>,
    /// Bytes of framing of a chunked body for each byte that a body may have.
    pub framing_factor: Option<usize>,
    /// Time for a whole body to arrive, in seconds.
    pub body_s: Option<usize>,
    /// Memory of the accepted jobs in the placer, in kilobytes.
    pub jobs_kb: Option<usize>,
    /// Longest time for which a request is held, in seconds.
    pub hold_s: Option<usize>,
}

/// Limits on what callers make the process hold.
///
/// The memory of all connections, of messages, of store calls and of jobs leaves a tenth of that of the process at
/// least.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Intake {
    /// Largest number of open connections of callers.
    pub connections: usize,
    /// Largest number of open connections of the load balancer, and likewise of operators' tools.
    pub admin_connections: usize,
    /// Memory of the messages of all connections, in bytes.
    pub messages: usize,
    /// Size of the receive buffer of a connection's socket, in bytes.
    pub receive_buffer: usize,
    /// Size of the send buffer of a connection's socket, in bytes.
    pub send_buffer: usize,
    /// Largest number of store calls for callers at a time.
    pub store_calls: usize,
    /// Bytes of framing of a chunked body for each byte that a body may have.
    pub framing_factor: usize,
    /// Time for a whole body to arrive.
    pub body_timeout: Span,
    /// Longest time for which a request is held and its store calls are repeated.
    pub hold_max: Span,
    /// Memory that the jobs which callers have submitted may take in the placer, in bytes.
    pub jobs: u64,
}

impl IntakeSettings {
    /// Returns the limits for a process.
    ///
    /// # Errors
    ///
    /// [`Code::SettingsInvalid`] if a setting is 0 or too large, or if the limits together exceed the process's.
    pub fn derive(&self, process: &ProcessLimits) -> Result<Intake, Error> {
        let given = [
            ("connections", self.connections),
            ("messages_kb", self.messages_kb),
            ("receive_kb", self.receive_kb),
            ("store_calls", self.store_calls),
            ("framing_factor", self.framing_factor),
            ("body_s", self.body_s),
            ("jobs_kb", self.jobs_kb),
            ("hold_s", self.hold_s),
        ];
        for (name, value) in given {
            if value.is_some_and(|v| v == 0 || v > SETTING_MAX) {
                let text = format!("must be between 1 and {SETTING_MAX}");
                return Err(Error::at(Code::SettingsInvalid, format!("/intake/{name}"), text));
            }
        }
        // Checked to be far below the largest number.
        let (memory, descriptors) =
            (process.memory_mb as usize * 1_000_000, process.descriptors as usize);
        let receive_buffer = self.receive_kb.unwrap_or(RECEIVE_KB) * 1_024;
        let per_connection = BUFFER_FACTOR * (receive_buffer + SEND_BYTES) + CONNECTION_BYTES;
        let connections = (memory / CONNECTIONS_DIVISOR / per_connection)
            .min(descriptors * DESCRIPTORS_EIGHTHS / 8)
            .clamp(1, CONNECTIONS_MAX);
        let (least, most) = STORE_CALLS;
        let store_calls = (memory / STORE_CALLS_DIVISOR / STORE_CALL_BYTES)
            .clamp(least, most)
            .min(descriptors / STORE_DESCRIPTORS_DIVISOR);
        let intake = Intake {
            connections: self.connections.unwrap_or(connections),
            admin_connections: (descriptors / 16).clamp(1, ADMIN_CONNECTIONS_MAX),
            messages: self.messages_kb.map_or(memory / MESSAGES_DIVISOR, |kb| kb * 1_024),
            receive_buffer,
            send_buffer: SEND_BYTES,
            store_calls: self.store_calls.unwrap_or(store_calls),
            framing_factor: self.framing_factor.unwrap_or(FRAMING_FACTOR),
            body_timeout: Span::from_secs(self.body_s.map_or(BODY_S, |s| s as u64)),
            hold_max: self.hold_s.map_or(HOLD_MAX, |s| Span::from_secs(s as u64)),
            jobs: self.jobs_kb.map_or(memory / JOBS_DIVISOR, |kb| kb * 1_024) as u64,
        };
        let parts = [
            intake.connections.saturating_mul(per_connection),
            intake.messages,
            intake.store_calls.saturating_mul(STORE_CALL_BYTES),
            intake.jobs as usize,
            (intake.jobs / RUNS_DIVISOR) as usize,
        ];
        let sum = parts.into_iter().fold(0, usize::saturating_add);
        if sum > memory - memory / OWN_DIVISOR {
            let text = format!("callers may take {sum} of {memory} bytes, and leave too little");
            return Err(Error::at(Code::SettingsInvalid, "/intake", text));
        }
        let sockets = intake.connections + 2 * intake.admin_connections + intake.store_calls;
        if sockets > descriptors {
            let text = format!("callers may take {sockets} of {descriptors} descriptors");
            return Err(Error::at(Code::SettingsInvalid, "/intake", text));
        }
        Ok(intake)
    }
}

#[cfg(test)]
mod tests;
