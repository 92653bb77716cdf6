//! Writes changed job states to the store, and removes the records of jobs that ended long ago.

use bulrushlink_core::Span;

use crate::edge::{Commit, Fault, StoreOp, StoreReply, Subject};
use crate::ids::{JobId, Rev};
use crate::record::{Item, encode, keys};

use super::{Context, Placer, PlacerTag, STORE_RETRY_DELAY, STORE_TIMEOUT};

/// Most entries of one commit that the store accepts.
const COMMIT_ENTRIES_MAX: usize = 32;
/// Size of the states at which a commit gets no more of them, in bytes; far below the limit of a
/// call.
const COMMIT_BYTES_MAX: usize = 128 * 1024;
/// Most commits in flight at a time. A store that takes 360 ms to answer then still stores 600 states
/// a second, as many as change when 1,100 workers are busy.
const INFLIGHT_COMMITS_MAX: usize = 32;
/// Interval between removals of records that can't be asked for any more.
const SWEEP_INTERVAL: Span = Span(5_000);
/// The same while more is left to be removed than one commit takes: 28 jobs a second.
const SWEEP_INTERVAL_MIN: Span = Span(250);
/// Most jobs that one commit removes; at three keys each, with the leader's key, they stay below
/// `COMMIT_ENTRIES_MAX`.
const SWEEP_JOBS_MAX: usize = 7;
/// An ended job is kept for this many times `status_s`, the time for which its state can be asked
/// for.
const RETENTION_FACTOR: u64 = 2;

/// A commit in flight.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Flight {
    pub(super) ordinal: u64,
    /// The jobs in the commit.
    jobs: Vec<Stored>,
}

/// A job in a commit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Stored {
    id: JobId,
    /// Version of its state.
    version: u64,
    /// The state shows that the job has begun or is over, so the commit removes its marker.
    begun: bool,
}

impl Placer {
    /// Sends changed states to the store, in several commits if need be.
    pub(super) fn flush(&mut self, ctx: &mut Context<'_>) {
        if self.flights.len() >= INFLIGHT_COMMITS_MAX || ctx.clock.now < self.flush_next {
            return;
        }
        let mut due = self.jobs_to_store(ctx);
        while self.flights.len() < INFLIGHT_COMMITS_MAX {
            let ordinal = self.ordinal + 1;
            let Some((commit, jobs)) = self.next_commit(&mut due) else { return };
            self.ordinal = ordinal;
            for job in &jobs {
                if let Ok(at) = self.job_index(job.id) {
                    self.jobs[at].flight = Some(job.version);
                    self.jobs[at].committed = ordinal;
                }
            }
            self.flights.push(Flight { ordinal, jobs });
            self.call_store(
                ctx,
                PlacerTag::Commit(ordinal),
                StoreOp::Commit(commit),
                STORE_TIMEOUT,
            );
        }
    }

    /// Lists the positions of the jobs whose states have to be stored, the first one last.
    ///
    /// Load pattern: a slow store while hundreds of jobs change. Urgent jobs go first, as their starts
    /// wait for the commit. Among the others the least recently committed one goes first: in the order
    /// of the identifiers, jobs with low ones would always be ahead.
    fn jobs_to_store(&self, ctx: &Context<'_>) -> Vec<usize> {
        let now = ctx.clock.now;
        let waits = |at: &usize| self.jobs[*at].must_store(now) && self.jobs[*at].flight.is_none();
        let mut due: Vec<usize> = (0..self.jobs.len()).filter(waits).collect();
        due.sort_by_cached_key(|at| {
            let job = &self.jobs[*at];
            std::cmp::Reverse((job.queue(ctx.catalog).priority, job.committed))
        });
        due
    }

    /// Returns the next commit of the jobs in `due`, from which it takes them.
    fn next_commit(&mut self, due: &mut Vec<usize>) -> Option<(Commit, Vec<Stored>)> {
        let mut commit = Commit { expect: vec![self.guard()], ..Commit::default() };
        let (mut jobs, mut bytes) = (Vec::new(), 0);
        while let Some(at) = due.last() {
            let job = &mut self.jobs[*at];
            // A job adds up to four entries: its state, the expected revision, the expected absence
            // of a cancellation, and the removal of its marker.
            if commit.entries() + 4 > COMMIT_ENTRIES_MAX || bytes > COMMIT_BYTES_MAX {
                break;
            }
            due.pop();
            job.prepare_state();
            let value = match encode(&job.state) {
                Ok(value) => value,
                Err(error) => {
                    log::error!(event = "bad_record", job:% = job.id; "state of the job can't be encoded: {error}");
                    continue;
                }
            };
            bytes += value.len();
            commit.expect.push((Subject::Key(keys::state(job.id)), job.rev));
            commit.writes.push((keys::state(job.id), value, None));
            if job.starts && !job.is_over() {
                commit.expect.push((Subject::Key(keys::cancel(job.id)), Rev::ABSENT));
            }
            let begun = job.state.begun || job.is_over();
            if job.marked && begun {
                commit.removes.push(keys::marker(&job.accepted_queue.name, job.id));
            }
            jobs.push(Stored { id: job.id, version: job.version, begun });
        }
        (!jobs.is_empty()).then_some((commit, jobs))
    }

    pub(super) fn commit_answered(
        &mut self,
        ctx: &mut Context<'_>,
        ordinal: u64,
        result: Result<StoreReply, Fault>,
    ) {
        let Some(at) = self.flights.iter().position(|f| f.ordinal == ordinal) else { return };
        let flight = self.flights.remove(at);
        for job in &flight.jobs {
            if let Ok(at) = self.job_index(job.id) {
                self.jobs[at].flight = None;
            }
        }
        match result {
            Ok(StoreReply::Committed(rev)) => self.commit_succeeded(ctx, &flight, rev),
            Ok(StoreReply::Conflict(items, _)) => self.commit_conflicted(ctx, &flight, &items),
            Ok(other) => {
                log::error!(event = "store_answer"; "unexpected store reply to a commit: {other:?}");
                self.flush_next = ctx.clock.now + STORE_RETRY_DELAY;
            }
            Err(fault) => {
                log::info!(event = "commit_failed", jobs = flight.jobs.len(), cause:% = fault; "commit of job states failed; it will be retried");
                self.flush_next = ctx.clock.now + STORE_RETRY_DELAY;
            }
        }
    }

    fn commit_succeeded(&mut self, ctx: &mut Context<'_>, flight: &Flight, rev: Rev) {
        for Stored { id, version, begun } in flight.jobs.iter().copied() {
            let Ok(at) = self.job_index(id) else { continue };
            let job = &mut self.jobs[at];
            job.rev = rev;
            job.stored = version;
            let starts = job.starts;
            if job.version == version {
                job.starts = false;
            }
            // A run may have been confirmed while the commit was in flight.
            if begun {
                job.marked = false;
                job.confirmed = None;
            }
            if starts {
                self.send_starts(ctx, id, version);
            }
        }
    }

    /// Handles a refused commit: steps down if another daemon has the leader's key, and otherwise
    /// takes over revisions and cancellations from the reply.
    fn commit_conflicted(&mut self, ctx: &mut Context<'_>, flight: &Flight, items: &[Item]) {
        let find = |key: &str| items.iter().find(|i| i.key == key && i.rev != Rev::ABSENT);
        if self.step_down_if_replaced(items) {
            return;
        }
        for Stored { id, .. } in &flight.jobs {
            let cancelled = find(&keys::cancel(*id)).is_some();
            let rev = find(&keys::state(*id)).map(|i| i.rev);
            if let (Ok(at), Some(rev)) = (self.job_index(*id), rev) {
                // An earlier commit of this epoch took effect although its reply was lost.
                self.jobs[at].rev = rev;
            }
            if cancelled {
                self.cancel_job(ctx, *id);
            }
        }
    }

    /// Steps down if the leader's key, among the items of a refused commit, isn't this epoch's any more;
    /// returns true if so.
    pub(super) fn step_down_if_replaced(&mut self, items: &[Item]) -> bool {
        let own = |i: &Item| i.key == keys::LEADER && i.rev == Rev(self.epoch.0);
        if items.iter().any(own) {
            return false;
        }
        log::warn!(event = "deposed", epoch:% = self.epoch; "another daemon holds the leader's key");
        self.deposed = true;
        true
    }

    /// Returns the condition of each commit: this epoch still holds the leader's key.
    pub(super) fn guard(&self) -> (Subject, Rev) {
        (Subject::Key(keys::LEADER.to_string()), Rev(self.epoch.0))
    }

    /// Removes the records of jobs that ended long ago.
    pub(super) fn sweep(&mut self, ctx: &mut Context<'_>) {
        let now = ctx.clock.now;
        let interval = if self.sweeps_more { SWEEP_INTERVAL_MIN } else { SWEEP_INTERVAL };
        if now.since(self.swept) < interval || !ctx.holds_lease {
            return;
        }
        self.swept = now;
        let keep = ctx.bounds.status_s * RETENTION_FACTOR * 1000;
        let old =
            |j: &&super::Job| j.is_over() && !j.is_dirty() && j.state.ended + keep < ctx.clock.wall;
        let ids: Vec<JobId> =
            self.jobs.iter().filter(old).take(SWEEP_JOBS_MAX).map(|j| j.id).collect();
        self.sweeps_more = ids.len() == SWEEP_JOBS_MAX;
        if ids.is_empty() {
            return;
        }
        let mut commit = Commit { expect: vec![self.guard()], ..Commit::default() };
        for id in &ids {
            commit.removes.extend([keys::job(*id), keys::state(*id), keys::cancel(*id)]);
            self.jobs.retain(|j| j.id != *id);
        }
        log::info!(event = "sweep", jobs = ids.len(); "removing the records of jobs that ended long ago");
        self.call_store(ctx, PlacerTag::Sweep, StoreOp::Commit(commit), STORE_TIMEOUT);
    }
}
