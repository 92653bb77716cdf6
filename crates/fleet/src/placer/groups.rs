//! Groups of runs that end together, and on whose behalf they may be stopped.

use bulrushlink_core::Span;
use std::fmt;

use crate::ids::{Run, TaskId};
use crate::model::Resources;
use crate::policy::{Owner, Stake};

/// On whose behalf runs may be stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Claimant {
    /// The job is within the guarantee of its workspace.
    pub(super) guaranteed: bool,
    /// Priority of its queue; 0 is the most urgent.
    pub(super) priority: u32,
    /// What the shares of the workspaces allow; `None` without weights.
    pub(super) reach: Option<Reach>,
}

/// Whose runs may be stopped for a gang according to the shares of the workspaces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Reach {
    pub(super) owner: Owner,
    /// Its workspace stays under its share with the gang, so runs of others may be stopped for it.
    pub(super) under: bool,
    /// It has waited so long that it may take back what others use beyond their shares.
    pub(super) reclaims: bool,
}

impl Claimant {
    /// Returns true if runs may be stopped for it at all.
    pub(super) fn may_preempt(self) -> bool {
        let reclaims = |r: Reach| r.under && r.reclaims;
        self.guaranteed || self.priority == 0 || self.reach.is_some_and(reclaims)
    }

    /// Returns true if every run that may be stopped for this one may also be stopped for `other`.
    pub(super) fn preempts_no_more_than(self, other: Self) -> bool {
        (other.guaranteed || !self.guaranteed)
            && self.priority >= other.priority
            && self.reach == other.reach
    }
}

/// For whom a run may be stopped. The placer's dump shows the variants as `Kept`, `Guaranteed` and `Queue`.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Preemptibility {
    /// For nobody.
    Never,
    /// For guaranteed work only.
    ForGuaranteed,
    /// For guaranteed work, and for queues that are more urgent than this priority.
    ForMoreUrgent(u32),
}

impl fmt::Debug for Preemptibility {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Never => f.write_str("Kept"),
            Self::ForGuaranteed => f.write_str("Guaranteed"),
            Self::ForMoreUrgent(priority) => f.debug_tuple("Queue").field(priority).finish(),
        }
    }
}

impl Preemptibility {
    pub(super) fn yields_to(self, claimant: Claimant) -> bool {
        match self {
            Self::Never => false,
            Self::ForGuaranteed => claimant.guaranteed,
            Self::ForMoreUrgent(priority) => claimant.guaranteed || claimant.priority < priority,
        }
    }
}

/// The task and run of a group; of a gang, the task with index 0.
pub(super) type RunKey = (TaskId, Run);

/// Runs that end together: the members of a gang, or a single run. The placer's dump shows
/// `preemptibility` as `standing`.
#[derive(Clone, PartialEq)]
pub(super) struct Group {
    pub(super) key: RunKey,
    pub(super) preemptibility: Preemptibility,
    /// Work that would be lost, in core-seconds.
    pub(super) cost: f64,
    /// What is weighed against the gain; `None` if the job is unknown.
    pub(super) stake: Option<Stake>,
    /// All of its runs are expected to end by themselves about as soon as if they were stopped.
    pub(super) ending: bool,
    pub(super) members: Vec<Member>,
    /// Workspace of the runs; unused without weights, like the next two.
    pub(super) owner: Owner,
    /// Position of that workspace, the one that is furthest over its share first.
    pub(super) position: usize,
    /// It may be stopped for gangs of workspaces that are under their shares.
    pub(super) spare: bool,
    /// Time until all of its runs have ended, as far as known.
    pub(super) ends_in: Span,
    /// Its runs write checkpoints, so that a stop loses little work.
    pub(super) saves: bool,
}

/// A run of a group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Member {
    pub(super) worker: usize,
    /// Capacity that its end frees on the worker.
    pub(super) need: Resources,
    /// It is already being stopped.
    pub(super) leaving: bool,
}

impl fmt::Debug for Group {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Group")
            .field("key", &self.key)
            .field("standing", &self.preemptibility)
            .field("cost", &self.cost)
            .field("ending", &self.ending)
            .field("members", &self.members)
            .finish()
    }
}

impl Group {
    pub(super) fn new(key: RunKey, preemptibility: Preemptibility, cost: f64) -> Self {
        let (members, owner, ends_in) = (Vec::new(), Owner::default(), Span::ZERO);
        let (ending, position, spare, stake) = (true, 0, false, None);
        let saves = false;
        Self {
            key,
            preemptibility,
            cost,
            stake,
            ending,
            members,
            owner,
            position,
            spare,
            ends_in,
            saves,
        }
    }

    /// Sets what is at stake if the group is stopped.
    pub(super) fn set_stake(&mut self, stake: Stake) {
        self.stake = Some(stake);
    }

    /// Records that the runs write checkpoints.
    pub(super) fn set_saves(&mut self, saves: bool) {
        self.saves = saves;
    }

    /// Records when a member is expected to end.
    pub(super) fn expect_end(&mut self, ends_in: Span) {
        self.ends_in = self.ends_in.max(ends_in);
    }

    /// Returns true if the group may be stopped for a claimant.
    pub(super) fn yields_to(&self, claimant: Claimant) -> bool {
        let less_urgent = self.preemptibility.yields_to(claimant);
        let Preemptibility::ForMoreUrgent(priority) = self.preemptibility else {
            return less_urgent;
        };
        match claimant.reach {
            Some(reach) if reach.owner != self.owner && !claimant.guaranteed => {
                let reclaimed = reach.reclaims && self.spare && claimant.priority <= priority;
                reach.under && (less_urgent || reclaimed)
            }
            _ => less_urgent,
        }
    }

    /// Returns what the members occupy that aren't being stopped.
    pub(super) fn staying(&self) -> Resources {
        let staying = self.members.iter().filter(|m| !m.leaving);
        staying.fold(Resources::default(), |sum, m| sum.plus(&m.need))
    }

    /// Adds a member; `ending` is true if it is about to end by itself.
    pub(super) fn add(&mut self, worker: usize, need: Resources, leaving: bool, ending: bool) {
        self.ending &= ending;
        self.members.push(Member { worker, need, leaving });
    }
}
