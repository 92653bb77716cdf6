//! The learned run times as a record in the store, from which the next placer starts.
//!
//! A group is kept as the quantiles of its values instead of its sketches: quantiles can be checked, and
//! their size is fixed.

use bulrushlink_core::{Moment, Span, WorkspaceId};
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::record::Stored;

use super::groups::{Errors, GROUPS_MAX, Group};
use super::window::{QUANTILES, Table, Window};
use super::{RunTimes, Shape};

/// Most bytes of the groups of a record. With the rest of the record they stay below 64 KiB.
const BYTES_MAX: usize = 60 * 1024;
/// Age at which a record is ignored. Behaviour may have changed several times since.
const AGE_MAX: Span = Span::from_secs(600);
/// Parts of a unit of a logarithm in which quantiles are recorded, an accuracy of 0.1%. The largest work
/// has a logarithm of 28.
const PARTS: f32 = 1_000.0;

/// Learned run times as recorded.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct TimesRecord {
    /// When the record was written, in milliseconds since 1970.
    written: u64,
    groups: Vec<GroupRecord>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct GroupRecord {
    queue: String,
    shape: Option<Shape>,
    workspace: Option<WorkspaceId>,
    /// Age of the newest sample, in milliseconds.
    age: u64,
    ratio: WindowRecord,
    work: WindowRecord,
    errors: Errors,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct WindowRecord {
    values: u32,
    quantiles: [i16; QUANTILES],
}

/// Why a record is not used.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum BadTimes {
    /// It is older than [`AGE_MAX`].
    #[display("written {_0} ago")]
    Old(Span),
    /// It contains figures that no placer writes.
    #[display("invalid figures")]
    Invalid,
}

impl Stored for TimesRecord {}

impl WindowRecord {
    fn of(window: &Window) -> Self {
        let quantiles = window.table().0.map(|q| (q * PARTS).round() as i16);
        Self { values: window.len(), quantiles }
    }

    fn window(&self) -> Result<Window, BadTimes> {
        let table = Table(self.quantiles.map(|q| f32::from(q) / PARTS));
        if !table.is_sorted() {
            return Err(BadTimes::Invalid);
        }
        Ok(Window::from_table(&table, self.values))
    }
}

impl GroupRecord {
    fn of(group: &Group, now: Moment) -> Self {
        Self {
            queue: group.queue.clone(),
            shape: group.shape,
            workspace: group.workspace.clone(),
            age: now.since(group.newest).millis(),
            ratio: WindowRecord::of(&group.ratio),
            work: WindowRecord::of(&group.work),
            errors: group.errors,
        }
    }

    fn group(self, written: Moment) -> Result<Group, BadTimes> {
        if !self.errors.is_valid() {
            return Err(BadTimes::Invalid);
        }
        Ok(Group {
            queue: self.queue,
            shape: self.shape,
            workspace: self.workspace,
            ratio: self.ratio.window()?,
            work: self.work.window()?,
            newest: written - Span(self.age),
            errors: self.errors,
        })
    }
}

impl RunTimes {
    /// Returns what is recorded at `wall`, in milliseconds since 1970: as many groups as there is room
    /// for, first those of whole queues, and then those with the newest samples.
    pub(crate) fn record(&self, now: Moment, wall: u64) -> TimesRecord {
        let mut groups: Vec<&Group> = self.groups.iter().collect();
        groups.sort_by_key(|g| (g.shape.is_some(), std::cmp::Reverse(g.newest)));
        let mut bytes = 0;
        let mut record = TimesRecord { written: wall, groups: Vec::new() };
        for group in groups {
            let group = GroupRecord::of(group, now);
            bytes += postcard::to_stdvec(&group).map_or(BYTES_MAX, |b| b.len());
            if bytes > BYTES_MAX {
                break;
            }
            record.groups.push(group);
        }
        record
    }

    /// Adds the recorded groups, without those that have as many samples already; returns how many were
    /// added.
    ///
    /// # Errors
    ///
    /// Why the record can't be used; then nothing is added.
    pub(crate) fn restore(
        &mut self,
        record: TimesRecord,
        now: Moment,
        wall: u64,
    ) -> Result<usize, BadTimes> {
        let age = Span(wall.saturating_sub(record.written));
        if age > AGE_MAX {
            return Err(BadTimes::Old(age));
        }
        if record.groups.len() > GROUPS_MAX {
            return Err(BadTimes::Invalid);
        }
        let groups = record.groups.into_iter().map(|g| g.group(now - age));
        let groups: Vec<Group> = groups.collect::<Result<_, _>>()?;
        Ok(groups.into_iter().map(|g| self.insert_new(g)).filter(|new| *new).count())
    }
}
