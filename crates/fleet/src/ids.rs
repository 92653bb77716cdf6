//! Identifiers and counters that must never be mixed up.

use bulrushlink_core::{Code, Error, WorkerId};
use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::str::FromStr;

/// Hexadecimal digits of a job's identifier.
const JOB_ID_DIGITS: usize = 16;

/// A job, named by its caller with 16 lower-case hexadecimal digits.
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

/// The term of a placer: the revision at which it became the placer.
///
/// Revisions only rise, so that a later placer always has a higher epoch.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Epoch(pub u64);

/// Fences of one epoch; more new workers and boots than that don't come in one epoch.
const FENCE_BITS: u32 = 20;

/// What workers compare: they do nothing for an order with a lower one than they have seen.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FencingToken(pub u64);

impl Epoch {
    /// Returns the token of a fence of this epoch; it is higher than all those of earlier epochs.
    ///
    /// # Panics
    ///
    /// If the fence is too large, as the next epoch's tokens would no longer be higher.
    pub fn token(self, fence: u32) -> FencingToken {
        assert!(fence < 1 << FENCE_BITS, "too many fences in one epoch");
        FencingToken((self.0 << FENCE_BITS) + u64::from(fence))
    }
}

/// A lease of the store.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaseId(pub u64);

/// Ordinal of a start of a task; the first start is run 1.
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

/// One life of a worker: an identifier can be used again after a crash.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{worker}@{born}")]
pub struct Boot {
    /// Identifier under which the worker is registered.
    pub worker: WorkerId,
    /// Start of this life in milliseconds since 1970, by the worker's time of day.
    pub born: u64,
}

/// A task of a job: one of the equal members of a step, in one round of the job.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[display("{job}.{round}.{step}.{index}")]
pub struct TaskId {
    /// Job that the task belongs to.
    pub job: JobId,
    /// Occurrence of a repeated job, counted from 0.
    pub round: u32,
    /// Step of the job, counted from 0.
    pub step: u16,
    /// Member of the step, counted from 0.
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
