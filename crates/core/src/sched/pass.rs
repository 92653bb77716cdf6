//! One pass over the waiting jobs: in which order they are tried, and on which capacity each may
//! start.

use crate::job::{GANG_MAX_TASKS, Shape, Urgency};
use crate::sched::Scheduler;
use crate::sched::blame::PROBE_ACCELERATORS_MAX;
use crate::sched::fit::{self, Place};
use crate::sched::fleet::{SIZES, VIEWS, View};
use crate::sched::guarantee::can_contain;
use crate::sched::jobs::{Job, JobIx, Phase, Reason};
use crate::sched::queue::{Class, Entry, LaneKey};
use crate::sched::spaces::WorkspaceIx;
use crate::units::Span;

/// Maximum number of starts in one pass.
const STARTS_PER_PASS_MAX: usize = 32;
/// Maximum number of lane heads that one pass tries.
const LANES_PER_PASS_MAX: usize = 512;
/// Maximum number of jobs for which one pass tries a backfill in a draining block.
const BACKFILL_ATTEMPTS_MAX: usize = 32;
/// Preemptions after which a job is no longer preempted while it runs outside of all guarantees.
const PREEMPTIONS_MAX: u8 = 3;
/// Slack below which a job with a deadline goes before the jobs that are ordered by age and fair
/// share.
const TIGHT_SLACK: Span = Span::from_secs(900);
/// Rank penalty of a workspace that borrows all accelerators; a smaller share is charged in
/// proportion.
const FAIRNESS_PENALTY: Span = Span::from_secs(15 * 60);

/// Number of [`Adjacency`](crate::job::Adjacency) values.
const ADJACENCIES: usize = 3;
/// Rank bonus for each requested accelerator, so that large shapes go before small ones of the same
/// age.
const SIZE_BONUS_PER_ACCELERATOR: Span = Span::from_secs(20);

/// Sort key of a lane's head; the smallest is tried first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    /// 0 for urgent jobs, 1 for deadlines with little slack, 2 for the fair order of all others.
    group: u8,
    /// Milliseconds on the scheduler's clock, compared within a group: the submission or the latest
    /// start, corrected by penalties and bonus.
    key: i64,
    entry: Entry,
}

/// What one pass has found so far, so that it skips lanes that cannot start anything.
#[derive(Debug, Default)]
struct PassState {
    /// Guaranteed shapes with an instance that is unused and bound, sorted.
    unused: Vec<(WorkspaceIx, Shape)>,
    /// Guaranteed shapes with a binding that an urgent job may get, because it is free or used by
    /// batch work; sorted.
    for_urgent: Vec<(WorkspaceIx, Shape)>,
    /// The most accelerators that are free in one place of a draining block.
    draining_free: Option<u8>,
    /// Number of jobs for which a backfill was tried.
    backfills: usize,
    room: RoomCache,
    /// Whether a probe of a quarantined worker is due.
    probing: bool,
}

/// Caches whether there is room for a shape under a view; `None` where this was not computed yet.
#[derive(Debug)]
struct RoomCache(Vec<Option<bool>>);

impl Default for RoomCache {
    fn default() -> Self {
        Self(vec![None; VIEWS * ADJACENCIES * SIZES * usize::from(GANG_MAX_TASKS)])
    }
}

impl RoomCache {
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
    /// Starts the jobs that can start now.
    pub(super) fn run_pass(&mut self) {
        let new_job = self.new_job.take();
        let full = std::mem::take(&mut self.freed) || self.unfinished;
        self.unfinished = false;
        if !self.in_service() {
            return;
        }
        if full {
            self.enqueue_due();
            self.try_all_lanes();
        } else if let Some(ix) = new_job {
            self.try_new_job(ix);
        }
        // Starts and claims free nothing, but stopping a job or moving a guarantee may have set the
        // flag.
        self.freed = false;
    }

    /// Queues the delayed jobs that are due.
    fn enqueue_due(&mut self) {
        let due = self.delayed.partition_point(|(at, _)| *at <= self.now);
        for (_, ix) in self.delayed.drain(..due).collect::<Vec<_>>() {
            let job = self.jobs.get_mut(ix);
            let reason = job.reason.clone();
            // On no list until `enqueue` below.
            job.phase = Phase::Starting;
            self.count_waiting(ix, false);
            self.enqueue(ix, reason);
        }
    }

    /// Tries the job submitted last. Every other waiting job was tried before, and nothing was
    /// freed since.
    fn try_new_job(&mut self, ix: JobIx) {
        let Some(position) = self.jobs.get(ix).position else { return };
        if self.queue.head(&position.lane) != Some(position.entry) {
            return;
        }
        if !self.try_guaranteed(ix) {
            self.try_borrowed(ix, &mut PassState::default());
        }
    }

    fn try_all_lanes(&mut self) {
        if self.queue.lanes().is_empty() {
            return;
        }
        let mut state = self.begin_pass();
        let mut starts = STARTS_PER_PASS_MAX;
        let eligible = |lane: &LaneKey, state: &PassState| state.may_use_guarantee(lane);
        self.try_lanes(&mut starts, &mut state, eligible, |sched, ix, _| sched.try_guaranteed(ix));
        self.fill_room_cache(&mut state);
        state.probing = self.probe_due().is_some();
        let eligible = |lane: &LaneKey, state: &PassState| {
            let small = state.may_probe(lane) || state.may_backfill(lane);
            small || state.room.get(lane.view, lane.shape) == Some(true)
        };
        self.try_lanes(&mut starts, &mut state, eligible, Self::try_borrowed);
        self.unfinished = starts == 0;
    }

    /// Computes for each waiting shape whether there is room for it at all.
    fn fill_room_cache(&self, state: &mut PassState) {
        for lane in self.queue.lanes() {
            let view = lane.key.view;
            let room = state.room.entry(view, lane.key.shape);
            room.get_or_insert_with(|| fit::may_fit(&self.fleet, view, lane.key.shape));
        }
    }

    fn begin_pass(&self) -> PassState {
        let mut state =
            PassState { draining_free: self.max_draining_free(), ..PassState::default() };
        for group in &self.guarantees.groups {
            let key = (group.space, group.shape);
            let mut members = group.members.iter().map(|ix| self.guarantees.get(*ix));
            if members.clone().any(|g| g.is_unused() && g.is_bound()) {
                state.unused.push(key);
            }
            let is_batch = |user: JobIx| self.jobs.get(user).spec.urgency == Urgency::Batch;
            if members.any(|g| g.bindings.iter().any(|b| b.user.is_none_or(is_batch))) {
                state.for_urgent.push(key);
            }
        }
        state
    }

    /// Calls `try_start` for the heads of eligible lanes, best first. When a head was started, the
    /// next job of its lane becomes a candidate.
    fn try_lanes(
        &mut self,
        starts: &mut usize,
        state: &mut PassState,
        eligible: impl Fn(&LaneKey, &PassState) -> bool,
        try_start: fn(&mut Self, JobIx, &mut PassState) -> bool,
    ) {
        let lanes = self.queue.lanes().iter().filter(|lane| eligible(&lane.key, state));
        let mut heads: Vec<_> =
            lanes.map(|lane| (self.rank(&lane.key, lane.entries[0]), lane.key)).collect();
        heads.sort_unstable_by(|a, b| b.cmp(a));
        for _ in 0..LANES_PER_PASS_MAX {
            let Some((rank, lane)) = heads.pop() else { return };
            if *starts == 0 {
                return;
            }
            let current = self.queue.head(&lane) == Some(rank.entry);
            if !current || !try_start(self, rank.entry.job, state) {
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
                Rank { group: 2, key: submitted + self.fairness_penalty(lane), entry }
            }
            Class::Plain => {
                let bonus = i64::from(lane.shape.total()) * SIZE_BONUS_PER_ACCELERATOR.0 as i64;
                Rank { group: 2, key: entry.rank + self.fairness_penalty(lane) - bonus, entry }
            }
        }
    }

    fn fairness_penalty(&self, lane: &LaneKey) -> i64 {
        let borrowed = i64::from(self.spaces.get(lane.space).borrowed);
        let total = i64::from(self.fleet.total_accelerators().max(1));
        FAIRNESS_PENALTY.0 as i64 * borrowed / total
    }

    /// Requeues jobs that can no longer meet their deadline; they go by the fair order from then on.
    pub(super) fn demote_missed_deadlines(&mut self) {
        let now = self.now.0 as i64;
        let lanes = self.queue.lanes().iter().filter(|l| l.key.class == Class::Deadline);
        let heads = lanes.map(|lane| lane.entries[0]).filter(|entry| entry.rank < now);
        for entry in heads.take(LANES_PER_PASS_MAX).collect::<Vec<_>>() {
            if self.latest_start(entry.job).is_none() {
                let reason = self.jobs.get(entry.job).reason.clone();
                self.requeue(entry.job, reason);
            }
        }
    }

    /// Starts a waiting job outside of its workspace's guarantee. Tries, in this order, a probe,
    /// capacity that is reserved for no guarantee, borrowed capacity, a backfill in a draining
    /// block, and the preemption of batch work.
    fn try_borrowed(&mut self, ix: JobIx, state: &mut PassState) -> bool {
        if self.try_probe(ix) {
            return true;
        }
        let job = self.jobs.get(ix);
        let (widest, protected) = (job.view(), job.preemptions >= PREEMPTIONS_MAX);
        for view in [View::NonPreemptible, View::Preemptible, View::Checkpointable]
            .into_iter()
            .filter(|v| *v >= widest)
        {
            let Some(places) = self.find_room(ix, view, state) else { continue };
            let reason = match view {
                View::NonPreemptible if protected => Reason::Protected,
                View::NonPreemptible => Reason::Unheld,
                View::Preemptible | View::Checkpointable | View::Bindable => Reason::Borrowing,
            };
            self.dequeue_and_start(ix, places, reason);
            return true;
        }
        state.backfills += 1;
        let filled = state.backfills <= BACKFILL_ATTEMPTS_MAX && self.try_backfill(ix);
        filled || self.try_preempt_batch(ix)
    }

    /// Finds room for a job, unless this pass found none for its shape before.
    fn find_room(&self, ix: JobIx, view: View, state: &mut PassState) -> Option<Vec<Place>> {
        let job = self.jobs.get(ix);
        let shape = job.spec.shape;
        if state.room.get(view, shape) == Some(false) {
            return None;
        }
        let found = fit::find_segregated(&self.fleet, view, shape, &job.avoid, job.spec.checkpoint);
        if found.is_none() && job.avoid.is_empty() {
            *state.room.entry(view, shape) = Some(false);
        }
        found
    }

    /// Takes a waiting job out of its lane and starts it without a guarantee.
    pub(super) fn dequeue_and_start(&mut self, ix: JobIx, places: Vec<Place>, reason: Reason) {
        self.dequeue(ix);
        let job = self.jobs.get_mut(ix);
        job.pinned = !job.preemptible() || reason == Reason::Protected;
        self.start(ix, places, reason);
    }

    /// Returns the reason why a job waits now.
    pub(super) fn current_reason(&self, job: &Job) -> Reason {
        let shape = job.spec.shape;
        if job.phase != Phase::Waiting || job.reason != Reason::Queued {
            return job.reason.clone();
        }
        let room = self.fleet.task_capacity(job.view(), shape.accelerators);
        let preemptible = self.fleet.task_capacity(View::Preemptible, shape.accelerators);
        let wanted = u32::from(shape.tasks);
        if room >= wanted && shape.tasks > 1 {
            Reason::NotAdjacent
        } else if room >= wanted {
            Reason::Queued
        } else if preemptible >= wanted {
            Reason::HeldBack
        } else {
            Reason::NoRoom { tasks: shape.tasks, size: shape.accelerators, room }
        }
    }
}

impl PassState {
    /// Returns true if the first job of a lane may run in a guarantee.
    fn may_use_guarantee(&self, lane: &LaneKey) -> bool {
        let unused = self.unused.binary_search(&(lane.space, lane.shape)).is_ok();
        let first = self.for_urgent.partition_point(|g| g.0 < lane.space);
        let own = self.for_urgent[first..].iter().take_while(|g| g.0 == lane.space);
        unused
            || lane.class == Class::Urgent && own.into_iter().any(|g| can_contain(g.1, lane.shape))
    }

    /// Returns true if the first job of a lane may probe a quarantined worker.
    fn may_probe(&self, lane: &LaneKey) -> bool {
        let small = lane.shape.tasks == 1 && lane.shape.total() <= PROBE_ACCELERATORS_MAX;
        self.probing && small && lane.view != View::NonPreemptible && lane.class != Class::Urgent
    }

    /// Returns true if the first job of a lane may run in a draining block.
    fn may_backfill(&self, lane: &LaneKey) -> bool {
        let shape = lane.shape;
        let room = self.draining_free.unwrap_or_default();
        lane.view != View::NonPreemptible
            && shape.tasks == 1
            && (1..=room).contains(&shape.accelerators)
    }
}
