//! One pass over the waiting jobs: who is next, and on what terms it may start.

use crate::job::{GANG_MAX_TASKS, Shape, Urgency};
use crate::sched::Scheduler;
use crate::sched::blame::PROBE_ACCELERATORS_MAX;
use crate::sched::fit::{self, Place};
use crate::sched::fleet::{SIZES, VIEWS, View};
use crate::sched::guarantee::holds;
use crate::sched::jobs::{Job, JobIx, Phase, Reason};
use crate::sched::queue::{Class, Entry, LaneKey};
use crate::sched::spaces::SpaceIx;
use crate::units::Span;

/// The most starts of one decision.
const STARTS_MAX: usize = 32;
/// The most lanes that one pass looks at.
const LANES_MAX: usize = 512;
/// The most jobs that one pass offers a place in a block that drains.
const BACKFILLS_MAX: usize = 32;
/// Stops for others' sake after which a job isn't stopped again where it holds nobody's guarantee.
const STOPS_MAX: u8 = 3;
/// Slack below which a deadline goes before the fair order.
const TIGHT_SLACK: Span = Span::from_secs(900);
/// Time by which a workspace that borrows all accelerators is set back.
const FAIR_SETBACK: Span = Span::from_secs(15 * 60);

/// Kinds of adjacency.
const ADJACENCIES: usize = 3;
/// Time by which a job is put forward for each accelerator that it asks for.
const SIZE_BONUS: Span = Span::from_secs(20);

/// Order of the lanes' heads; the smallest is next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    group: u8,
    key: i64,
    entry: Entry,
}

/// What a pass has found out so far, so that no lane is tried in vain.
#[derive(Debug, Default)]
struct Outlook {
    /// Guaranteed shapes of which one is unused and bound; sorted.
    unused: Vec<(SpaceIx, Shape)>,
    /// Guaranteed shapes of which a cell is free, or in use by batch work; sorted.
    partial: Vec<(SpaceIx, Shape)>,
    /// The longest run of free accelerators in a block that drains.
    draining: Option<u8>,
    /// Jobs that were offered a place in such a block.
    backfills: usize,
    room: RoomTable,
    /// Whether a quarantined worker is due for a probe.
    probing: bool,
}

/// Whether there is room for a shape under a view, as far as it was looked for.
#[derive(Debug)]
struct RoomTable(Vec<Option<bool>>);

impl Default for RoomTable {
    fn default() -> Self {
        Self(vec![None; VIEWS * ADJACENCIES * SIZES * usize::from(GANG_MAX_TASKS)])
    }
}

impl RoomTable {
    fn index(view: View, shape: Shape) -> usize {
        let outer = view as usize * ADJACENCIES + shape.adjacency as usize;
        let tasks = usize::from(GANG_MAX_TASKS);
        (outer * SIZES + usize::from(shape.accelerators)) * tasks + usize::from(shape.tasks) - 1
    }

    fn get(&self, view: View, shape: Shape) -> Option<bool> {
        self.0[Self::index(view, shape)]
    }

    fn entry(&mut self, view: View, shape: Shape) -> &mut Option<bool> {
        &mut self.0[Self::index(view, shape)]
    }
}

impl Scheduler {
    /// Starts what can start now.
    pub(super) fn pass(&mut self) {
        let fresh = self.fresh.take();
        let full = std::mem::take(&mut self.freed) || self.unfinished;
        self.unfinished = false;
        if !self.is_in() {
            return;
        }
        if full {
            self.wake();
            self.pass_all();
        } else if let Some(ix) = fresh {
            self.pass_fresh(ix);
        }
        // Starts and claims free nothing, but a stop or a move of a guarantee may.
        self.freed = false;
    }

    /// Queues the delayed jobs that are due.
    fn wake(&mut self) {
        let due = self.delayed.partition_point(|(at, _)| *at <= self.now);
        for (_, ix) in self.delayed.drain(..due).collect::<Vec<_>>() {
            let job = self.jobs.get_mut(ix);
            let reason = job.reason.clone();
            job.phase = Phase::Starting;
            self.count_waiting(ix, false);
            self.enqueue(ix, reason);
        }
    }

    /// Tries a job that just came; the others of its lane were tried before it.
    fn pass_fresh(&mut self, ix: JobIx) {
        let Some(ticket) = self.jobs.get(ix).ticket else { return };
        if self.queue.head(&ticket.lane) != Some(ticket.entry) {
            return;
        }
        if !self.try_guaranteed(ix) {
            self.try_borrowed(ix, &mut Outlook::default());
        }
    }

    fn pass_all(&mut self) {
        if self.queue.lanes().is_empty() {
            return;
        }
        let mut outlook = self.outlook();
        let mut starts = STARTS_MAX;
        let promising = |lane: &LaneKey, outlook: &Outlook| outlook.may_hold(lane);
        self.sweep(&mut starts, &mut outlook, promising, |sched, ix, _| sched.try_guaranteed(ix));
        self.look_ahead(&mut outlook);
        outlook.probing = self.probe_due().is_some();
        let promising = |lane: &LaneKey, outlook: &Outlook| {
            let small = outlook.may_probe(lane) || outlook.may_backfill(lane);
            small || outlook.room.get(lane.view, lane.shape) == Some(true)
        };
        self.sweep(&mut starts, &mut outlook, promising, Self::try_borrowed);
        self.unfinished = starts == 0;
    }

    /// Finds out which of the shapes that wait find room at all.
    fn look_ahead(&self, outlook: &mut Outlook) {
        for lane in self.queue.lanes() {
            let view = lane.key.view;
            let room = outlook.room.entry(view, lane.key.shape);
            room.get_or_insert_with(|| fit::may_fit(&self.fleet, view, lane.key.shape));
        }
    }

    fn outlook(&self) -> Outlook {
        let mut outlook = Outlook { draining: self.draining_run(), ..Outlook::default() };
        for group in &self.guarantees.groups {
            let key = (group.space, group.shape);
            let mut members = group.members.iter().map(|ix| self.guarantees.get(*ix));
            if members.clone().any(|i| i.is_unused() && i.is_bound()) {
                outlook.unused.push(key);
            }
            let open = |user: JobIx| self.jobs.get(user).spec.urgency == Urgency::Batch;
            if members.any(|i| i.cells.iter().any(|c| c.user.is_none_or(open))) {
                outlook.partial.push(key);
            }
        }
        outlook
    }

    /// Offers the heads of promising lanes to `try_start`, best first; behind a head that was
    /// started comes the next of its lane.
    fn sweep(
        &mut self,
        starts: &mut usize,
        outlook: &mut Outlook,
        promising: impl Fn(&LaneKey, &Outlook) -> bool,
        try_start: fn(&mut Self, JobIx, &mut Outlook) -> bool,
    ) {
        let lanes = self.queue.lanes().iter().filter(|lane| promising(&lane.key, outlook));
        let mut heads: Vec<_> =
            lanes.map(|lane| (self.rank(&lane.key, lane.entries[0]), lane.key)).collect();
        heads.sort_unstable_by(|a, b| b.cmp(a));
        for _ in 0..LANES_MAX {
            let Some((rank, lane)) = heads.pop() else { return };
            if *starts == 0 {
                return;
            }
            let current = self.queue.head(&lane) == Some(rank.entry);
            if !current || !try_start(self, rank.entry.job, outlook) {
                continue;
            }
            *starts -= 1;
            if let Some(next) = self.queue.head(&lane) {
                let head = (self.rank(&lane, next), lane);
                let at = heads.partition_point(|other| *other > head);
                heads.insert(at, head);
            }
        }
    }

    fn rank(&self, lane: &LaneKey, entry: Entry) -> Rank {
        let slack = entry.rank - self.now.0 as i64;
        match lane.class {
            Class::Urgent => Rank { group: 0, key: entry.rank, entry },
            Class::Deadline if slack < TIGHT_SLACK.0 as i64 => {
                Rank { group: 1, key: entry.rank, entry }
            }
            Class::Deadline => {
                let submitted = self.jobs.get(entry.job).submitted();
                Rank { group: 2, key: submitted + self.fair_setback(lane), entry }
            }
            Class::Plain => {
                let bonus = i64::from(lane.shape.total()) * SIZE_BONUS.0 as i64;
                Rank { group: 2, key: entry.rank + self.fair_setback(lane) - bonus, entry }
            }
        }
    }

    fn fair_setback(&self, lane: &LaneKey) -> i64 {
        let borrowed = i64::from(self.spaces.get(lane.space).borrowed);
        let total = i64::from(self.fleet.total_accelerators().max(1));
        FAIR_SETBACK.0 as i64 * borrowed / total
    }

    /// Gives jobs whose deadline can't be met any more their place in the fair order.
    pub(super) fn demote_late(&mut self) {
        let now = self.now.0 as i64;
        let lanes = self.queue.lanes().iter().filter(|l| l.key.class == Class::Deadline);
        let heads = lanes.map(|lane| lane.entries[0]).filter(|entry| entry.rank < now);
        for entry in heads.take(LANES_MAX).collect::<Vec<_>>() {
            if self.latest_start(entry.job).is_none() {
                let reason = self.jobs.get(entry.job).reason.clone();
                self.requeue(entry.job, reason);
            }
        }
    }

    /// Starts a waiting job outside of its workspace's guarantee.
    fn try_borrowed(&mut self, ix: JobIx, outlook: &mut Outlook) -> bool {
        if self.try_probe(ix) {
            return true;
        }
        let job = self.jobs.get(ix);
        let (last, often) = (job.view(), job.moves >= STOPS_MAX);
        for view in [View::Hard, View::Soft, View::Lent].into_iter().filter(|v| *v >= last) {
            let Some(places) = self.look(ix, view, outlook) else { continue };
            let reason = match view {
                View::Hard if often => Reason::Protected,
                View::Hard => Reason::Unheld,
                View::Soft | View::Lent | View::Bind => Reason::Borrowing,
            };
            self.begin(ix, places, reason);
            return true;
        }
        outlook.backfills += 1;
        let filled = outlook.backfills <= BACKFILLS_MAX && self.try_backfill(ix);
        filled || self.try_oust(ix)
    }

    /// Finds room for a job, unless none was found for its shape in this pass.
    fn look(&self, ix: JobIx, view: View, outlook: &mut Outlook) -> Option<Vec<Place>> {
        let job = self.jobs.get(ix);
        let shape = job.spec.shape;
        if outlook.room.get(view, shape) == Some(false) {
            return None;
        }
        let found = fit::find_apart(&self.fleet, view, shape, &job.avoid, job.spec.checkpoint);
        if found.is_none() && job.avoid.is_empty() {
            *outlook.room.entry(view, shape) = Some(false);
        }
        found
    }

    /// Takes a waiting job out of its lane and starts it without a guarantee.
    pub(super) fn begin(&mut self, ix: JobIx, places: Vec<Place>, reason: Reason) {
        self.unlist(ix);
        let job = self.jobs.get_mut(ix);
        job.firm = !job.preemptible() || reason == Reason::Protected;
        self.start(ix, places, reason);
    }

    /// Returns the reason for which a job waits now.
    pub(super) fn reason(&self, job: &Job) -> Reason {
        let shape = job.spec.shape;
        if job.phase != Phase::Waiting || job.reason != Reason::Queued {
            return job.reason.clone();
        }
        let room = self.fleet.fit(job.view(), shape.accelerators);
        let soft = self.fleet.fit(View::Soft, shape.accelerators);
        let wanted = u32::from(shape.tasks);
        if room >= wanted && shape.tasks > 1 {
            Reason::NotAdjacent
        } else if room >= wanted {
            Reason::Queued
        } else if soft >= wanted {
            Reason::HeldBack
        } else {
            Reason::NoRoom { tasks: shape.tasks, size: shape.accelerators, room }
        }
    }
}

impl Outlook {
    /// Tells whether a guarantee may hold the first job of a lane.
    fn may_hold(&self, lane: &LaneKey) -> bool {
        let unused = self.unused.binary_search(&(lane.space, lane.shape)).is_ok();
        let first = self.partial.partition_point(|open| open.0 < lane.space);
        let own = self.partial[first..].iter().take_while(|open| open.0 == lane.space);
        unused || lane.class == Class::Urgent && own.into_iter().any(|g| holds(g.1, lane.shape))
    }

    /// Tells whether the first job of a lane may probe a quarantined worker.
    fn may_probe(&self, lane: &LaneKey) -> bool {
        let small = lane.shape.tasks == 1 && lane.shape.total() <= PROBE_ACCELERATORS_MAX;
        self.probing && small && lane.view != View::Hard && lane.class != Class::Urgent
    }

    /// Tells whether the first job of a lane may run in a block that drains.
    fn may_backfill(&self, lane: &LaneKey) -> bool {
        let shape = lane.shape;
        let room = self.draining.unwrap_or_default();
        lane.view != View::Hard && shape.tasks == 1 && (1..=room).contains(&shape.accelerators)
    }
}
