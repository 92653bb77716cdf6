//! Changed states on their way to the store.

use bulrushlink_core::Span;

use crate::edge::{Commit, Fault, StoreOp, StoreReply, Subject};
use crate::ids::{JobId, Rev};
use crate::record::{Item, encode, keys};

use super::{Placer, PlacerTag, STORE_RETRY, STORE_TIMEOUT, Scene};

/// The most entries of one commit that the store takes.
const ENTRIES_MAX: usize = 32;
/// The most bytes of states in one commit, far below what a call may hold.
const BYTES_MAX: usize = 128 * 1024;
/// Commits under way at a time.
const FLIGHTS_MAX: usize = 4;
/// Period of looking for records that nobody can ask for any more.
const SWEEP_EVERY: Span = Span(5_000);
/// Jobs that are removed by one commit, four keys each.
const SWEEP_JOBS: usize = 7;
/// Ended jobs are kept for so many times as long as their state can be asked for.
const KEEP_FACTOR: u64 = 2;

/// A commit under way.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Flight {
    ordinal: u64,
    /// Jobs with the version that the commit holds.
    jobs: Vec<(JobId, u64)>,
}

impl Placer {
    /// Sends the changed states.
    pub(super) fn flush(&mut self, scene: &mut Scene<'_>) {
        while self.flights.len() < FLIGHTS_MAX && scene.clock.now >= self.flush_next {
            let ordinal = self.ordinal + 1;
            let Some((commit, jobs)) = self.next_commit() else { return };
            self.ordinal = ordinal;
            for (id, version) in &jobs {
                if let Ok(at) = self.job_at(*id) {
                    self.jobs[at].flight = Some(*version);
                }
            }
            self.flights.push(Flight { ordinal, jobs });
            self.ask_store(
                scene,
                PlacerTag::Commit(ordinal),
                StoreOp::Commit(commit),
                STORE_TIMEOUT,
            );
        }
    }

    fn next_commit(&self) -> Option<(Commit, Vec<(JobId, u64)>)> {
        let guard = (Subject::Key(keys::LEADER.to_string()), Rev(self.epoch.0));
        let mut commit = Commit { expect: vec![guard], ..Commit::default() };
        let (mut jobs, mut bytes) = (Vec::new(), 0);
        for job in self.jobs.iter().filter(|j| j.is_dirty() && j.flight.is_none()) {
            // The state, its condition, the cancellation's absence and the marker.
            if commit.entries() + 4 > ENTRIES_MAX || bytes > BYTES_MAX {
                break;
            }
            let value = match encode(&job.state) {
                Ok(value) => value,
                Err(error) => {
                    log::error!(event = "bad_record", job:% = job.id; "can't be stored: {error}");
                    continue;
                }
            };
            bytes += value.len();
            commit.expect.push((Subject::Key(keys::state(job.id)), job.rev));
            commit.writes.push((keys::state(job.id), value, None));
            if job.starts && !job.is_over() {
                commit.expect.push((Subject::Key(keys::cancel(job.id)), Rev::ABSENT));
            }
            if job.marked && (job.state.begun || job.is_over()) {
                commit.removes.push(keys::marker(&job.accepted_queue.name, job.id));
            }
            jobs.push((job.id, job.version));
        }
        (!jobs.is_empty()).then_some((commit, jobs))
    }

    pub(super) fn committed(
        &mut self,
        scene: &mut Scene<'_>,
        ordinal: u64,
        result: Result<StoreReply, Fault>,
    ) {
        let Some(at) = self.flights.iter().position(|f| f.ordinal == ordinal) else { return };
        let flight = self.flights.remove(at);
        for (id, _) in &flight.jobs {
            if let Ok(at) = self.job_at(*id) {
                self.jobs[at].flight = None;
            }
        }
        match result {
            Ok(StoreReply::Committed(rev)) => self.recorded(scene, &flight, rev),
            Ok(StoreReply::Conflict(items, _)) => self.conflicted(scene, &flight, &items),
            Ok(other) => {
                log::error!(event = "store_answer"; "unexpected answer to a commit: {other:?}");
                self.flush_next = scene.clock.now + STORE_RETRY;
            }
            Err(fault) => {
                log::info!(event = "commit_failed", jobs = flight.jobs.len(), cause:% = fault; "repeated");
                self.flush_next = scene.clock.now + STORE_RETRY;
            }
        }
    }

    fn recorded(&mut self, scene: &mut Scene<'_>, flight: &Flight, rev: Rev) {
        for (id, version) in &flight.jobs {
            let Ok(at) = self.job_at(*id) else { continue };
            let job = &mut self.jobs[at];
            job.rev = rev;
            job.stored = *version;
            if job.version == *version {
                job.starts = false;
            }
            if job.state.begun || job.is_over() {
                job.marked = false;
            }
            self.send_starts(scene, *id, *version);
        }
    }

    /// Learns from a commit that was refused what the store has.
    fn conflicted(&mut self, scene: &mut Scene<'_>, flight: &Flight, items: &[Item]) {
        let find = |key: &str| items.iter().find(|i| i.key == key && i.rev != Rev::ABSENT);
        if find(keys::LEADER).is_none_or(|i| i.rev != Rev(self.epoch.0)) {
            log::warn!(event = "deposed", epoch:% = self.epoch; "the leader's key is another's");
            self.deposed = true;
            return;
        }
        for (id, _) in &flight.jobs {
            let cancelled = find(&keys::cancel(*id)).is_some();
            let rev = find(&keys::state(*id)).map(|i| i.rev);
            if let (Ok(at), Some(rev)) = (self.job_at(*id), rev) {
                // An earlier commit of this epoch was carried out without an answer.
                self.jobs[at].rev = rev;
            }
            if cancelled {
                self.cancel(scene, *id);
            }
        }
    }

    /// Removes the records of jobs that ended long ago.
    pub(super) fn sweep(&mut self, scene: &mut Scene<'_>) {
        let now = scene.clock.now;
        if now.since(self.swept) < SWEEP_EVERY || !scene.sure {
            return;
        }
        self.swept = now;
        let keep = scene.bounds.status_s * KEEP_FACTOR * 1000;
        let old = |j: &&super::Job| {
            j.is_over() && !j.is_dirty() && j.state.ended + keep < scene.clock.wall
        };
        let ids: Vec<JobId> = self.jobs.iter().filter(old).take(SWEEP_JOBS).map(|j| j.id).collect();
        if ids.is_empty() {
            return;
        }
        let guard = (Subject::Key(keys::LEADER.to_string()), Rev(self.epoch.0));
        let mut commit = Commit { expect: vec![guard], ..Commit::default() };
        for id in &ids {
            commit.removes.extend([keys::job(*id), keys::state(*id), keys::cancel(*id)]);
            self.jobs.retain(|j| j.id != *id);
        }
        log::info!(event = "sweep", jobs = ids.len(); "records of ended jobs are removed");
        self.ask_store(scene, PlacerTag::Sweep, StoreOp::Commit(commit), STORE_TIMEOUT);
    }
}
