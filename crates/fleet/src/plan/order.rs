//! Which work goes first.

use bulrushlink_core::Moment;

/// Position of a unit of work in the queue; the least goes first.
///
/// Guaranteed work comes before everything else, because its start is promised. Then the priority
/// of the queue decides, then the age of the job, so that nothing is passed over without end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    borrowed: bool,
    priority: u32,
    accepted: Moment,
}

/// Ranks a unit of work.
pub(crate) fn rank(guaranteed: bool, priority: u32, accepted: Moment) -> Rank {
    Rank { borrowed: !guaranteed, priority, accepted }
}
