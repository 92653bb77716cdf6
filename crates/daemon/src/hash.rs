//! Rendezvous hashing that is stable across processes, so that all daemons agree without exchanging
//! messages on who has which role and which workers are assigned to whom.

use siphasher::sip::SipHasher13;
use std::hash::Hasher;

/// Returns the rank of `candidate` for `key` by rendezvous hashing: the candidate with the highest
/// rank gets the key, and the loss of a candidate moves only its own keys.
pub(crate) fn rank(key: &str, candidate: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(key.as_bytes());
    hasher.write_u8(0);
    hasher.write(candidate.as_bytes());
    hasher.finish()
}
