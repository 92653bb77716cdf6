//! What callers may make the process hold, derived from the memory and descriptors that it has.
//!
//! Each limit alone is easily met by a crowd whose members stay within the limits of a single
//! request, so the limits are shares of one sum: the memory of the process.

use bulrushlink_core::{Code, Error};
use serde::Deserialize;

/// Least memory of a process, in megabytes: less doesn't hold the daemon's own state.
const MEMORY_MIN_MB: u64 = 32;
/// Largest memory of a process, in megabytes; sizes in bytes can't overflow.
const MEMORY_MAX_MB: u64 = 1 << 24;
/// Least number of descriptors: less doesn't hold the daemon's own connections.
const DESCRIPTORS_MIN: u64 = 64;
/// Largest number of descriptors, far above that of any process.
const DESCRIPTORS_MAX: u64 = 1 << 24;

/// Memory and descriptors that the host grants the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
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
