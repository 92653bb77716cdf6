//! Stable hashing, so that all daemons agree on shares and roles without talking about them.

use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// Returns the rank of `candidate` for `key` by rendezvous hashing: whoever ranks highest has it,
/// and a death moves just the keys of the dead.
pub(crate) fn rank(key: &str, candidate: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(key.as_bytes());
    hasher.write_u8(0);
    hasher.write(candidate.as_bytes());
    hasher.finish()
}
