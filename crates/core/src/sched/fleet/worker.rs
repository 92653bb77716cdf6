//! One worker of the ledger: what it holds, and the room that is left under each view.

use serde::Serialize;

use crate::job::TASK_MAX_ACCELERATORS;
use crate::sched::event::WorkerInfo;
use crate::sched::health::Health;
use crate::sched::jobs::JobIx;
use crate::units::{AcceleratorSet, Moment, Span};

/// Sizes of tasks that capacity is counted for, from no accelerator to the most.
pub(in crate::sched) const SIZES: usize = TASK_MAX_ACCELERATORS as usize + 1;
/// Ways to look at the room of a worker.
pub(in crate::sched) const VIEWS: usize = 4;
/// Time for which a release explains a report that still shows the accelerators busy.
pub(super) const RELEASE_KEPT: Span = Span::from_secs(60);

/// What counts as room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub(in crate::sched) enum View {
    /// Free now, for work that can be stopped again with a checkpoint; blocks that drain are lent
    /// to it.
    Lent,
    /// Free now, for work that can be stopped again.
    Soft,
    /// Free now and held back for no guarantee, for work that can't be stopped.
    Hard,
    /// Neither firmly used nor held back: where an unused guarantee can be bound.
    Bind,
}

impl View {
    pub(super) const ALL: [Self; VIEWS] = [Self::Lent, Self::Soft, Self::Hard, Self::Bind];
}

/// One task on a worker.
#[derive(Clone, Copy, Debug, Serialize)]
pub(in crate::sched) struct Seat {
    pub(in crate::sched) job: JobIx,
    pub(in crate::sched) task: u16,
    pub(in crate::sched) set: AcceleratorSet,
    /// Whether the task can't be stopped for somebody's guarantee.
    pub(in crate::sched) firm: bool,
}

/// Part of a block that only its owner may start in.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Closure {
    pub(super) owner: JobIx,
    pub(super) set: AcceleratorSet,
    pub(super) slots: u16,
    /// Whether work may start there that can be stopped again with a checkpoint.
    pub(super) lent: bool,
}

/// Accelerators that were given free at a known moment.
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
    /// Whether it is gone; its place in the fleet is then free for another one.
    pub(super) gone: bool,
    /// No start before this moment, after one that went wrong here.
    pub(in crate::sched) shunned: Moment,
    /// Union of the sets of all seats, which are disjoint.
    pub(in crate::sched) busy: AcceleratorSet,
    /// The part of `busy` whose seats are firm; disjoint from `reserved`.
    pub(in crate::sched) firm: AcceleratorSet,
    /// Held back for guarantees.
    pub(in crate::sched) reserved: AcceleratorSet,
    /// Union of the sets of all closures.
    pub(in crate::sched) closed: AcceleratorSet,
    /// Union of the sets of the closures that aren't lent.
    pub(super) barred: AcceleratorSet,
    /// Reported busy, though the ledger holds it free.
    pub(in crate::sched) foreign: AcceleratorSet,
    pub(super) foreign_at: Moment,
    pub(super) firm_slots: u16,
    /// Firm and reserved slots together are at most the worker's slots.
    pub(super) reserved_slots: u16,
    pub(super) closed_slots: u16,
    pub(super) barred_slots: u16,
    pub(in crate::sched) seats: Vec<Seat>,
    pub(super) closures: Vec<Closure>,
    pub(super) releases: Vec<Release>,
    pub(super) room: [Room; VIEWS],
    /// Accelerators of a healthy worker, and those of them that are free; else zero.
    pub(super) healthy: (u32, u32),
}

/// Room of a worker under one view.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub(super) struct Room {
    /// Number of tasks of each size that fit at the same time.
    pub(super) tasks: [u16; SIZES],
    /// Longest run of accelerators; `None` without a slot.
    pub(super) run: Option<u8>,
}

impl Worker {
    pub(in crate::sched) fn total(&self) -> AcceleratorSet {
        AcceleratorSet::run(0, self.info.accelerators)
    }

    /// Tells whether it counts as healthy hardware.
    pub(in crate::sched) fn is_usable(&self) -> bool {
        !self.gone && !self.info.leaving && !self.health.is_quarantined()
    }

    pub(in crate::sched) fn is_gone(&self) -> bool {
        self.gone
    }

    /// Returns the accelerators that are room under `view`, on a healthy worker.
    pub(in crate::sched) fn mask(&self, view: View) -> AcceleratorSet {
        let total = self.total();
        match view {
            View::Lent => total.without(self.busy).without(self.barred).without(self.foreign),
            View::Soft => self.mask(View::Lent).without(self.closed),
            View::Hard => self.mask(View::Soft).without(self.reserved),
            View::Bind => total.without(self.firm).without(self.reserved),
        }
    }

    /// Returns the slots that are room under `view`, on a healthy worker.
    pub(in crate::sched) fn slots(&self, view: View) -> u16 {
        let used = self.seats.len() as u16;
        let lent = self.info.slots.saturating_sub(used + self.barred_slots);
        let soft = self.info.slots.saturating_sub(used + self.closed_slots);
        let bind = self.info.slots.saturating_sub(self.firm_slots + self.reserved_slots);
        match view {
            View::Lent => lent,
            View::Soft => soft,
            View::Hard => soft.min(bind),
            View::Bind => bind,
        }
    }

    /// Tells whether nothing runs on `set` and `slots` more tasks may start there.
    pub(in crate::sched) fn is_free(&self, set: AcceleratorSet, slots: u16) -> bool {
        let used = self.seats.len() as u16;
        !self.busy.with(self.foreign).overlaps(set) && used + slots <= self.info.slots
    }

    /// Returns the accelerators and slots that are closed to a job, by closures of others.
    pub(in crate::sched) fn closed_to(&self, job: JobIx) -> (AcceleratorSet, u16) {
        let others = self.closures.iter().filter(|c| c.owner != job);
        others.fold((AcceleratorSet::EMPTY, 0), |sum, c| (sum.0.with(c.set), sum.1 + c.slots))
    }

    /// Number of tasks of `size` accelerators that fit under `view`.
    pub(in crate::sched) fn fit(&self, view: View, size: u8) -> u16 {
        self.room[view as usize].tasks[size as usize]
    }

    pub(super) fn count_room(&self, view: View) -> Room {
        if !self.is_usable() || self.shunned > Moment(0) {
            return Room::default();
        }
        let slots = self.slots(view);
        let mut room = Room::default();
        if slots == 0 {
            return room;
        }
        let mut longest = 0;
        for len in run_lengths(self.mask(view)) {
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
        rest &= !AcceleratorSet::run(first as u8, len as u8).0;
        Some(len as u8)
    })
}

impl Worker {
    pub(super) fn open(info: WorkerInfo, rack: u16) -> Self {
        Self {
            info,
            rack,
            health: Health::default(),
            gone: false,
            shunned: Moment(0),
            busy: AcceleratorSet::EMPTY,
            firm: AcceleratorSet::EMPTY,
            reserved: AcceleratorSet::EMPTY,
            closed: AcceleratorSet::EMPTY,
            barred: AcceleratorSet::EMPTY,
            foreign: AcceleratorSet::EMPTY,
            foreign_at: Moment(0),
            firm_slots: 0,
            reserved_slots: 0,
            closed_slots: 0,
            barred_slots: 0,
            seats: Vec::new(),
            closures: Vec::new(),
            releases: Vec::new(),
            room: Default::default(),
            healthy: (0, 0),
        }
    }

    pub(super) fn hold_firm(&mut self, set: AcceleratorSet) {
        assert!(!self.reserved.overlaps(set), "{}: {set} is held back", self.info.id);
        self.firm = self.firm.with(set);
        self.firm_slots += 1;
    }

    pub(super) fn sum_closures(&mut self) {
        self.closed = self.closures.iter().fold(AcceleratorSet::EMPTY, |sum, c| sum.with(c.set));
        self.closed_slots = self.closures.iter().map(|c| c.slots).sum();
        let barred = self.closures.iter().filter(|c| !c.lent);
        self.barred = barred.clone().fold(AcceleratorSet::EMPTY, |sum, c| sum.with(c.set));
        self.barred_slots = barred.map(|c| c.slots).sum();
    }

    /// Checks the sums of one worker.
    ///
    /// # Panics
    ///
    /// Panics when the ledger contradicts itself.
    pub(in crate::sched) fn check(&self) {
        let id = &self.info.id;
        let mut busy = AcceleratorSet::EMPTY;
        let mut firm = AcceleratorSet::EMPTY;
        for seat in &self.seats {
            assert!(!busy.overlaps(seat.set), "{id}: two tasks on {}", seat.set);
            busy = busy.with(seat.set);
            if seat.firm {
                firm = firm.with(seat.set);
            }
        }
        assert_eq!((busy, firm), (self.busy, self.firm), "{id}: sums of seats");
        assert!(!self.firm.overlaps(self.reserved), "{id}: firm work on a guarantee");
        let firm_slots = self.seats.iter().filter(|s| s.firm).count();
        assert_eq!(firm_slots, self.firm_slots as usize, "{id}: firm slots");
        let held = self.held_slots() <= self.info.slots;
        assert!(held || self.reserved_slots == 0, "{id}: firm work on a guarantee's slots");
    }

    /// Slots that firm work and guarantees hold together.
    pub(in crate::sched) fn held_slots(&self) -> u16 {
        self.firm_slots + self.reserved_slots
    }
}
