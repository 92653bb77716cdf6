//! One pass over the waiting jobs: who is next, and on what terms it may start.

use crate::sched::Scheduler;
use crate::sched::fit::{self, Place};
use crate::sched::fleet::View;
use crate::sched::guarantee::is_block;
use crate::sched::jobs::{JobIx, Phase, Reason};
use crate::sched::queue::{Class, Entry, LaneKey};
use crate::units::Span;

/// The most starts of one decision.
const STARTS_MAX: usize = 32;
/// The most lanes that one pass looks at.
const LANES_MAX: usize = 512;
/// Slack below which a deadline goes before the fair order.
const TIGHT_SLACK: Span = Span::from_secs(300);
/// Time by which a workspace that borrows all accelerators is set back.
const FAIR_SETBACK: Span = Span::from_secs(15 * 60);

/// Order of the lanes' heads; the smallest is next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    group: u8,
    key: i64,
    entry: Entry,
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
            self.try_borrowed(ix);
        }
    }

    fn pass_all(&mut self) {
        self.demote_late();
        let mut starts = STARTS_MAX;
        self.sweep(&mut starts, Self::try_guaranteed);
        self.sweep(&mut starts, Self::try_borrowed);
        self.unfinished = starts == 0;
    }

    /// Offers the heads of all lanes to `try_start`, best first; behind a head that was started
    /// comes the next of its lane.
    fn sweep(&mut self, starts: &mut usize, try_start: fn(&mut Self, JobIx) -> bool) {
        let lanes = self.queue.lanes().iter();
        let mut heads: Vec<_> =
            lanes.map(|lane| (self.rank(&lane.key, lane.entries[0]), lane.key)).collect();
        heads.sort_unstable_by(|a, b| b.cmp(a));
        for _ in 0..LANES_MAX {
            let Some((rank, lane)) = heads.pop() else { return };
            if *starts == 0 {
                return;
            }
            if self.queue.head(&lane) != Some(rank.entry) || !try_start(self, rank.entry.job) {
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
            Class::Plain => Rank { group: 2, key: entry.rank + self.fair_setback(lane), entry },
        }
    }

    fn fair_setback(&self, lane: &LaneKey) -> i64 {
        let borrowed = i64::from(self.spaces.get(lane.space).borrowed);
        let total = i64::from(self.fleet.total_accelerators().max(1));
        FAIR_SETBACK.0 as i64 * borrowed / total
    }

    /// Gives jobs whose deadline can't be met any more their place in the fair order.
    fn demote_late(&mut self) {
        let lanes = self.queue.lanes().iter().filter(|l| l.key.class == Class::Deadline);
        let heads: Vec<_> = lanes.map(|lane| lane.entries[0].job).collect();
        for ix in heads {
            if self.latest_start(ix).is_none() {
                let reason = self.jobs.get(ix).reason.clone();
                self.requeue(ix, reason);
            }
        }
    }

    /// Starts a waiting job outside of its workspace's guarantee.
    fn try_borrowed(&mut self, ix: JobIx) -> bool {
        let job = self.jobs.get(ix);
        let shape = job.spec.shape;
        let preemptible = job.preemptible();
        if self.try_probe(ix) {
            return true;
        }
        let job = self.jobs.get(ix);
        if let Some(places) = fit::find(&self.fleet, View::Hard, shape, &job.failed_on) {
            self.begin(ix, places, Reason::Unheld);
            return true;
        }
        if preemptible
            && let Some(places) = fit::find(&self.fleet, View::Soft, shape, &job.failed_on)
        {
            self.begin(ix, places, Reason::Borrowing);
            return true;
        }
        if self.try_backfill(ix) {
            return true;
        }
        self.explain_wait(ix);
        false
    }

    /// Takes a waiting job out of its lane and starts it without a guarantee.
    pub(super) fn begin(&mut self, ix: JobIx, places: Vec<Place>, reason: Reason) {
        self.unlist(ix);
        let job = self.jobs.get_mut(ix);
        job.firm = !job.preemptible();
        self.start(ix, places, reason);
    }

    fn explain_wait(&mut self, ix: JobIx) {
        let now = self.now;
        let job = self.jobs.get(ix);
        let shape = job.spec.shape;
        let view = if job.preemptible() { View::Soft } else { View::Hard };
        let room = self.fleet.fit(view, shape.accelerators);
        let soft = self.fleet.fit(View::Soft, shape.accelerators);
        let wanted = u32::from(shape.tasks);
        let reason = match job.reason {
            Reason::StartFailed(_) | Reason::Retry(_) | Reason::Stopped(_) => return,
            _ if room >= wanted && (is_block(shape) || shape.tasks > 1) => Reason::NotAdjacent,
            _ if soft >= wanted => Reason::HeldBack,
            _ => Reason::NoRoom { tasks: shape.tasks, size: shape.accelerators, room },
        };
        let job = self.jobs.get_mut(ix);
        if job.reason != reason {
            job.reason = reason;
            job.decided = now;
        }
    }
}
