//! Identifiers and counters, each with its own type so that they can't be mixed up.

use bulrushlink_core::{Code, Error, WorkerId};
use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::str::FromStr;

/// Hexadecimal digits of a job's identifier.
const JOB_ID_DIGITS: usize = 16;

/// Identifier of a job, chosen by its caller and written as 16 lower-case hexadecimal digits.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
pub struct JobId(pub u64);

impl FromStr for JobId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let bad = || Error::new(Code::FieldInvalid, format!("{text:?} is not a job identifier"));
        let digit = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        if text.len() != JOB_ID_DIGITS || !text.bytes().all(digit) {
            return Err(bad());
        }
        u64::from_str_radix(text, 16).map(Self).map_err(|_| bad())
    }
}

/// A revision of the store; 0 stands for a key that doesn't exist.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
pub struct Rev(pub u64);

impl Rev {
    /// The revision of a key that doesn't exist.
    pub const ABSENT: Self = Self(0);
}

/// The term of a placer: the revision at which it created the leader's key.
///
/// Revisions only increase, so a later placer always has a higher epoch.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Epoch(pub u64);

/// Number of low bits of a token that hold the fence, the number that a placer gives to each worker
/// boot that it learns of, counted within its epoch. An epoch sees far fewer than 2^20 of them.
const FENCE_BITS: u32 = 20;

/// Fencing token of a call to a worker. A worker refuses calls with a lower token than it has seen.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FencingToken(pub u64);

impl Epoch {
    /// Returns the token for a fence of this epoch, which is higher than all tokens of earlier
    /// epochs.
    ///
    /// # Panics
    ///
    /// Panics if the fence is 2^20 or more, as the token could then exceed those of the next epoch.
    pub fn token(self, fence: u32) -> FencingToken {
        assert!(fence < 1 << FENCE_BITS, "fence {fence} exceeds the limit of {FENCE_BITS} bits");
        FencingToken((self.0 << FENCE_BITS) + u64::from(fence))
    }
}

/// Identifier of a lease of the store.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseId(pub u64);

/// Number of a run of a task, counted from 1; each start of the task is a new run.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
)]
pub struct Run(pub u32);

/// One boot of a worker: the identifier alone may be reused after a crash.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{worker}@{born}")]
pub struct Boot {
    /// Identifier under which the worker is registered.
    pub worker: WorkerId,
    /// Start of this boot in milliseconds since 1970, by the worker's clock.
    pub born: u64,
}

/// Identifier of a task: one of the identical tasks of a step, in one round of the job.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{job}.{round}.{step}.{index}")]
pub struct TaskId {
    /// Job that the task belongs to.
    pub job: JobId,
    /// Number of the round of a periodic job, counted from 0.
    pub round: u32,
    /// Number of the step, counted from 0.
    pub step: u16,
    /// Index of the task within its step, counted from 0.
    pub index: u32,
}

impl FromStr for TaskId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let bad = || Error::new(Code::FieldInvalid, format!("{text:?} is not a task name"));
        let mut parts = text.split('.');
        let mut next = || parts.next().ok_or_else(bad);
        let task = Self {
            job: next()?.parse()?,
            round: next()?.parse().map_err(|_| bad())?,
            step: next()?.parse().map_err(|_| bad())?,
            index: next()?.parse().map_err(|_| bad())?,
        };
        if parts.next().is_some() { Err(bad()) } else { Ok(task) }
    }
}
