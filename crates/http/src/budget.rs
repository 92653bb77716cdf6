//! The memory that the messages of a listener's connections share.
//!
//! Load pattern: hundreds of callers send bodies within the limit of one at the same time, and most of them
//! stop before the end. The limit on each connection allows all of them together more than the host has.

/// What a connection may hold and still count as small, in bytes: far more than an ordinary request takes.
const SMALL_BYTES: usize = 64 * 1024;
/// Large messages leave this fraction of the budget, as a divisor, to small ones.
const SMALL_SHARE_DIVISOR: usize = 4;
/// Memory that the handling of a request takes, as a multiple of its size: the decoded request, the record that is
/// made of it, and the call to the store that holds the record.
const SERVING_FACTOR: usize = 8;
/// Memory that the handling of a request without a body takes, in bytes.
const SERVING_BYTES: usize = 8 * 1024;

/// Returns what a request of the given size is charged while it is handled, in bytes.
pub(crate) const fn serving_charge(size: usize) -> usize {
    size.saturating_mul(SERVING_FACTOR).saturating_add(SERVING_BYTES)
}

/// Account of the memory of messages.
///
/// `held` is the sum of the charges of all connections, and `large` the number of those over [`SMALL_BYTES`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Budget {
    held: usize,
    large: usize,
}

impl Budget {
    /// Returns the sum of the charges.
    pub(crate) fn held(&self) -> usize {
        self.held
    }

    /// Replaces the charge of a connection.
    pub(crate) fn replace(&mut self, old: usize, new: usize) {
        self.held = self.held.saturating_sub(old).saturating_add(new);
        self.large -= usize::from(is_large(old));
        self.large += usize::from(is_large(new));
    }

    /// Returns true if a connection with charge `old` may have charge `new`, under a limit of so many bytes on all
    /// of them. The only large message always fits, so that a single request within its own limits is served.
    pub(crate) fn fits(&self, old: usize, new: usize, limit: usize) -> bool {
        let limit = if is_large(new) { limit - limit / SMALL_SHARE_DIVISOR } else { limit };
        let only_large = is_large(new) && self.large == usize::from(is_large(old));
        only_large || self.held.saturating_sub(old).saturating_add(new) <= limit
    }
}

const fn is_large(charge: usize) -> bool {
    charge > SMALL_BYTES
}
