//! One worker: its allocations, and the room that is left under each view.

use serde::Serialize;

use crate::job::TASK_MAX_ACCELERATORS;
use crate::sched::event::WorkerInfo;
use crate::sched::health::Health;
use crate::sched::jobs::JobIx;
use crate::units::{AcceleratorSet, Moment, Span};

/// Number of task sizes for which room is counted, from no accelerator to the maximum.
pub(in crate::sched) const SIZES: usize = TASK_MAX_ACCELERATORS as usize + 1;
/// Number of [`View`] variants.
pub(in crate::sched) const VIEWS: usize = 4;
/// Time for which a release explains a report that still shows the accelerators busy.
pub(super) const RELEASE_TTL: Span = Span::from_secs(60);

/// Which capacity counts as available. The first three are ordered from the most capacity to the
/// least.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub(in crate::sched) enum View {
    /// For preemptible jobs with checkpoints: free, or in a draining block that is shared with
    /// them.
    #[serde(rename = "Lent")]
    Checkpointable,
    /// For preemptible jobs: free and not held for another job.
    #[serde(rename = "Soft")]
    Preemptible,
    /// For jobs that cannot be preempted: free, not held, and not reserved for a guarantee.
    #[serde(rename = "Hard")]
    NonPreemptible,
    /// For an unused guarantee: neither pinned nor reserved, though it may be borrowed.
    #[serde(rename = "Bind")]
    Bindable,
}

impl View {
    pub(super) const ALL: [Self; VIEWS] =
        [Self::Checkpointable, Self::Preemptible, Self::NonPreemptible, Self::Bindable];
}

/// Accelerators and a slot that one task uses.
#[derive(Clone, Copy, Debug, Serialize)]
pub(in crate::sched) struct Allocation {
    pub(in crate::sched) job: JobIx,
    pub(in crate::sched) task: u16,
    pub(in crate::sched) set: AcceleratorSet,
    /// Whether the task cannot be preempted for a guarantee.
    #[serde(rename = "firm")]
    pub(in crate::sched) pinned: bool,
}

/// Part of a block in which only its owner may start.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Hold {
    pub(super) owner: JobIx,
    pub(super) set: AcceleratorSet,
    pub(super) slots: u16,
    /// Whether jobs that can be stopped with a checkpoint may start there too.
    #[serde(rename = "lent")]
    pub(super) shared: bool,
}

/// Accelerators that were freed at a known time.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Release {
    pub(super) at: Moment,
    pub(super) set: AcceleratorSet,
}

/// One worker.
#[derive(Debug, Serialize)]
pub(in crate::sched) struct Worker {
    pub(in crate::sched) info: WorkerInfo,
    pub(in crate::sched) rack: u16,
    pub(in crate::sched) health: Health,
    /// Whether it was removed; another worker may then reuse its index.
    pub(super) gone: bool,
    /// End of the backoff after a failed start; zero if there is none.
    #[serde(rename = "shunned")]
    pub(in crate::sched) backoff_until: Moment,
    /// Union of the sets of all allocations, which are disjoint.
    pub(in crate::sched) busy: AcceleratorSet,
    /// The part of `busy` whose allocations are pinned; disjoint from `reserved`.
    #[serde(rename = "firm")]
    pub(in crate::sched) pinned: AcceleratorSet,
    /// Reserved for guarantees.
    pub(in crate::sched) reserved: AcceleratorSet,
    /// Union of the sets of all holds.
    #[serde(rename = "closed")]
    pub(in crate::sched) held: AcceleratorSet,
    /// Union of the sets of the holds that are not shared.
    #[serde(rename = "barred")]
    pub(super) exclusive: AcceleratorSet,
    /// Reported busy, though not allocated.
    pub(in crate::sched) foreign: AcceleratorSet,
    /// Time of the latest report or refused start that `foreign` is based on.
    pub(super) foreign_at: Moment,
    #[serde(rename = "firm_slots")]
    pub(super) pinned_slots: u16,
    /// Reserved for guarantees. If not zero, at most the worker's slots minus `pinned_slots`.
    pub(super) reserved_slots: u16,
    #[serde(rename = "closed_slots")]
    pub(super) held_slots: u16,
    #[serde(rename = "barred_slots")]
    pub(super) exclusive_slots: u16,
    #[serde(rename = "seats")]
    pub(in crate::sched) allocations: Vec<Allocation>,
    #[serde(rename = "closures")]
    pub(super) holds: Vec<Hold>,
    pub(super) releases: Vec<Release>,
    pub(super) room: [Room; VIEWS],
    /// Accelerators of a healthy worker, and how many of them are free; zero for any other.
    pub(super) healthy: (u32, u32),
}

/// Room of a worker under one view.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub(super) struct Room {
    /// Number of tasks that fit at the same time, by size.
    pub(super) tasks: [u16; SIZES],
    /// Length of the longest run, that is, of consecutive accelerators; `None` if there is no free
    /// slot.
    pub(super) run: Option<u8>,
}

impl Worker {
    /// Returns the set of all accelerators, in use or not.
    pub(in crate::sched) fn all_accelerators(&self) -> AcceleratorSet {
        AcceleratorSet::contiguous(0, self.info.accelerators)
    }

    /// Returns true if it is present, not leaving and not quarantined.
    pub(in crate::sched) fn is_healthy(&self) -> bool {
        !self.gone && !self.info.leaving && !self.health.is_quarantined()
    }

    pub(in crate::sched) fn is_gone(&self) -> bool {
        self.gone
    }

    /// Returns the accelerators that are available under `view`, assuming that the worker is healthy.
    pub(in crate::sched) fn available(&self, view: View) -> AcceleratorSet {
        let total = self.all_accelerators();
        match view {
            View::Checkpointable => {
                total.difference(self.busy).difference(self.exclusive).difference(self.foreign)
            }
            View::Preemptible => self.available(View::Checkpointable).difference(self.held),
            View::NonPreemptible => self.available(View::Preemptible).difference(self.reserved),
            View::Bindable => total.difference(self.pinned).difference(self.reserved),
        }
    }

    /// Returns the number of slots that are available under `view`, assuming that the worker is
    /// healthy.
    pub(in crate::sched) fn available_slots(&self, view: View) -> u16 {
        let used = self.allocations.len() as u16;
        let checkpointable = self.info.slots.saturating_sub(used + self.exclusive_slots);
        let preemptible = self.info.slots.saturating_sub(used + self.held_slots);
        let bindable = self.info.slots.saturating_sub(self.pinned_slots + self.reserved_slots);
        match view {
            View::Checkpointable => checkpointable,
            View::Preemptible => preemptible,
            View::NonPreemptible => preemptible.min(bindable),
            View::Bindable => bindable,
        }
    }

    /// Returns true if nothing runs on `set` and there are `slots` free slots.
    pub(in crate::sched) fn is_free(&self, set: AcceleratorSet, slots: u16) -> bool {
        let used = self.allocations.len() as u16;
        !self.busy.union(self.foreign).overlaps(set) && used + slots <= self.info.slots
    }

    /// Returns the accelerators and slots that other jobs than `job` hold.
    pub(in crate::sched) fn held_by_others(&self, job: JobIx) -> (AcceleratorSet, u16) {
        let others = self.holds.iter().filter(|h| h.owner != job);
        others.fold((AcceleratorSet::EMPTY, 0), |sum, h| (sum.0.union(h.set), sum.1 + h.slots))
    }

    /// Returns the number of tasks of `size` accelerators that fit under `view`.
    pub(in crate::sched) fn task_capacity(&self, view: View, size: u8) -> u16 {
        self.room[view as usize].tasks[size as usize]
    }

    pub(super) fn count_room(&self, view: View) -> Room {
        if !self.is_healthy() || self.backoff_until > Moment(0) {
            return Room::default();
        }
        let slots = self.available_slots(view);
        let mut room = Room::default();
        if slots == 0 {
            return room;
        }
        let mut longest = 0;
        for len in run_lengths(self.available(view)) {
            longest = longest.max(len);
            for size in 1..SIZES {
                room.tasks[size] += u16::from(len) / size as u16;
            }
        }
        room.tasks[0] = slots;
        for tasks in &mut room.tasks {
            *tasks = (*tasks).min(slots);
        }
        room.run = Some(longest);
        room
    }
}

/// Returns the lengths of the maximal runs of `set`.
fn run_lengths(set: AcceleratorSet) -> impl Iterator<Item = u8> {
    let mut rest = set.0;
    std::iter::from_fn(move || {
        if rest == 0 {
            return None;
        }
        let first = rest.trailing_zeros();
        let len = (rest >> first).trailing_ones();
        rest &= !AcceleratorSet::contiguous(first as u8, len as u8).0;
        Some(len as u8)
    })
}

impl Worker {
    pub(super) fn new(info: WorkerInfo, rack: u16) -> Self {
        Self {
            info,
            rack,
            health: Health::default(),
            gone: false,
            backoff_until: Moment(0),
            busy: AcceleratorSet::EMPTY,
            pinned: AcceleratorSet::EMPTY,
            reserved: AcceleratorSet::EMPTY,
            held: AcceleratorSet::EMPTY,
            exclusive: AcceleratorSet::EMPTY,
            foreign: AcceleratorSet::EMPTY,
            foreign_at: Moment(0),
            pinned_slots: 0,
            reserved_slots: 0,
            held_slots: 0,
            exclusive_slots: 0,
            allocations: Vec::new(),
            holds: Vec::new(),
            releases: Vec::new(),
            room: Default::default(),
            healthy: (0, 0),
        }
    }

    pub(super) fn pin(&mut self, set: AcceleratorSet) {
        assert!(
            !self.reserved.overlaps(set),
            "{}: {set} is reserved for a guarantee",
            self.info.id
        );
        self.pinned = self.pinned.union(set);
        self.pinned_slots += 1;
    }

    pub(super) fn update_hold_sums(&mut self) {
        self.held = self.holds.iter().fold(AcceleratorSet::EMPTY, |sum, h| sum.union(h.set));
        self.held_slots = self.holds.iter().map(|h| h.slots).sum();
        let exclusive = self.holds.iter().filter(|h| !h.shared);
        self.exclusive = exclusive.clone().fold(AcceleratorSet::EMPTY, |sum, h| sum.union(h.set));
        self.exclusive_slots = exclusive.map(|h| h.slots).sum();
    }

    /// Checks the sums of one worker.
    ///
    /// # Panics
    ///
    /// Panics if they contradict its allocations.
    pub(in crate::sched) fn check(&self) {
        let id = &self.info.id;
        let mut busy = AcceleratorSet::EMPTY;
        let mut pinned = AcceleratorSet::EMPTY;
        for allocation in &self.allocations {
            assert!(!busy.overlaps(allocation.set), "{id}: two tasks use {}", allocation.set);
            busy = busy.union(allocation.set);
            if allocation.pinned {
                pinned = pinned.union(allocation.set);
            }
        }
        assert_eq!(
            (busy, pinned),
            (self.busy, self.pinned),
            "{id}: busy or pinned set differs from the allocations"
        );
        assert!(
            !self.pinned.overlaps(self.reserved),
            "{id}: pinned {} and reserved {} overlap",
            self.pinned,
            self.reserved
        );
        let pinned_slots = self.allocations.iter().filter(|a| a.pinned).count();
        assert_eq!(
            pinned_slots, self.pinned_slots as usize,
            "{id}: pinned_slots differs from the allocations"
        );
        let within = self.committed_slots() <= self.info.slots;
        assert!(
            within || self.reserved_slots == 0,
            "{id}: {} slots pinned and {} reserved, but only {} exist",
            self.pinned_slots,
            self.reserved_slots,
            self.info.slots
        );
    }

    /// Returns the slots that pinned work and guarantees take together.
    pub(in crate::sched) fn committed_slots(&self) -> u16 {
        self.pinned_slots + self.reserved_slots
    }
}
