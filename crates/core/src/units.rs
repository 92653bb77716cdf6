//! Newtypes for times and sets of accelerators, so that the compiler keeps them apart.

use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::ops::{Add, AddAssign, Sub};
use std::str::FromStr;

use crate::error::{Code, Error};

/// A duration in milliseconds.
///
/// Its text form has a unit: `250ms`, `8s`, `15m` or `2h`.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Span(pub u64);

impl Span {
    /// The span of length zero.
    pub const ZERO: Self = Self(0);

    /// Creates a span of `secs` seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1000)
    }

    /// Returns the span in milliseconds.
    pub const fn millis(self) -> u64 {
        self.0
    }

    /// Returns the span in seconds.
    pub fn secs_f64(self) -> f64 {
        self.0 as f64 / 1000.0
    }
}

impl std::fmt::Display for Span {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.0 {
            ms if ms % 3_600_000 == 0 && ms > 0 => write!(f, "{}h", ms / 3_600_000),
            ms if ms % 60_000 == 0 && ms > 0 => write!(f, "{}m", ms / 60_000),
            ms if ms % 1000 == 0 => write!(f, "{}s", ms / 1000),
            ms => write!(f, "{ms}ms"),
        }
    }
}

impl FromStr for Span {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let invalid =
            || Error::new(Code::FieldInvalid, format!("{text:?} is not a time such as 8s"));
        let digits = text.trim_end_matches(|c: char| c.is_ascii_alphabetic());
        let count: u64 = digits.parse().map_err(|_| invalid())?;
        let unit = match &text[digits.len()..] {
            "ms" => 1,
            "s" => 1000,
            "m" => 60_000,
            "h" => 3_600_000,
            _ => return Err(invalid()),
        };
        count.checked_mul(unit).map(Self).ok_or_else(invalid)
    }
}

impl Add for Span {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

/// A reading of a monotonic clock, in milliseconds since an origin private to the process.
///
/// Moments of different processes can't be compared, so processes exchange [`Span`]s instead.
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
#[display("{_0}ms")]
pub struct Moment(pub u64);

impl Moment {
    /// Returns the time since `earlier`, or zero when `earlier` is later.
    pub const fn since(self, earlier: Self) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Span> for Moment {
    type Output = Self;

    fn add(self, span: Span) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

impl AddAssign<Span> for Moment {
    fn add_assign(&mut self, span: Span) {
        *self = *self + span;
    }
}

impl Sub<Span> for Moment {
    type Output = Self;

    fn sub(self, span: Span) -> Self {
        Self(self.0.saturating_sub(span.0))
    }
}

/// A set of accelerator positions within one worker, at most 64.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct AcceleratorSet(pub u64);

impl AcceleratorSet {
    /// The empty set.
    pub const EMPTY: Self = Self(0);

    /// Creates the set of `count` consecutive positions that begins at `first`.
    pub const fn contiguous(first: u8, count: u8) -> Self {
        let mask = if count >= 64 { u64::MAX } else { (1 << count) - 1 };
        Self(mask << first)
    }

    /// Returns the number of positions in the set.
    pub const fn len(self) -> u32 {
        self.0.count_ones()
    }

    /// Returns true if the set has no position.
    pub const fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// Returns true if every position of `other` is in this set.
    pub const fn contains(self, other: Self) -> bool {
        self.0 & other.0 == other.0
    }

    /// Returns true if the sets share a position.
    pub const fn overlaps(self, other: Self) -> bool {
        self.0 & other.0 != 0
    }

    /// Returns the union of the sets.
    #[must_use]
    pub const fn union(self, other: Self) -> Self {
        Self(self.0 | other.0)
    }

    /// Returns the positions of this set that are not in `other`.
    #[must_use]
    pub const fn difference(self, other: Self) -> Self {
        Self(self.0 & !other.0)
    }
}

impl std::fmt::Display for AcceleratorSet {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mut sep = "";
        for position in (0..64).filter(|p| self.0 >> p & 1 == 1) {
            write!(f, "{sep}{position}")?;
            sep = ",";
        }
        Ok(())
    }
}

impl FromStr for AcceleratorSet {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let invalid =
            || Error::new(Code::FieldInvalid, format!("{text:?} is not a list of positions"));
        let mut set = Self::EMPTY;
        for item in text.split(',').filter(|item| !item.is_empty()) {
            let position: u8 = item.parse().map_err(|_| invalid())?;
            if position >= 64 {
                return Err(invalid());
            }
            set = set.union(Self::contiguous(position, 1));
        }
        Ok(set)
    }
}
