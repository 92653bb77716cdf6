//! Changes of a worker's capacity while it runs.
//!
//! What already runs on a worker that has shrunk goes on: only a start could bring it over its
//! capacity. No start goes to it until its runs fit again in each resource.

use bulrushlink_core::{Moment, Span, WorkerId};

use crate::model::Resources;

use super::Placer;
use super::reclaim::{Claim, NEAR_END_MAX};
use super::starts::RecordedStart;
use super::worker::Phase;

/// A change of a worker's capacity.
pub(super) struct Resize {
    pub(super) worker: WorkerId,
    pub(super) before: Resources,
    pub(super) after: Resources,
}

impl Placer {
    /// Logs the changes that a read of the entries has shown, in one line, and drops the claims for
    /// which there is no room any more.
    pub(super) fn apply_resizes(&mut self, now: Moment, resizes: &[Resize]) {
        let Some(first) = resizes.first() else { return };
        let shrunk: Vec<&WorkerId> =
            resizes.iter().filter(|r| !r.after.fits(&r.before)).map(|r| &r.worker).collect();
        let over = self.workers.iter().filter(|w| w.entry.is_some() && w.is_over()).count();
        log::info!(
            event = "capacity_changed", workers = resizes.len(), shrunk = shrunk.len(),
            over = over, first:% = first.worker,
            cpu:% = format!("{}>{}", first.before.cpu, first.after.cpu),
            memory:% = format!("{}>{}", first.before.memory, first.after.memory),
            accelerators:% = format!("{}>{}", first.before.accelerators, first.after.accelerators);
            "capacity of workers has changed; no starts on those over it until their runs fit again"
        );
        if !shrunk.is_empty() {
            self.drop_claims_without_room(now, &shrunk);
        }
    }

    /// Drops the claims on workers that have shrunk below what stays on them and the claims together.
    /// The runs that were stopped for the claim are not enough, so the gang needs another place.
    fn drop_claims_without_room(&mut self, now: Moment, shrunk: &[&WorkerId]) {
        let mut kept: Vec<Claim> = Vec::new();
        for claim in std::mem::take(&mut self.claims) {
            let has_room =
                |id: &WorkerId| !shrunk.contains(&id) || self.has_room_for(now, id, &claim, &kept);
            let mut workers: Vec<&WorkerId> = claim.workers().collect();
            workers.sort_unstable();
            workers.dedup();
            let lacking = workers.into_iter().find(|id| !has_room(id)).cloned();
            match lacking {
                None => kept.push(claim),
                Some(id) => log::info!(
                    event = "claim_dropped", job:% = claim.job, worker:% = id;
                    "the worker has shrunk below what stays on it and the claims"
                ),
            }
        }
        self.claims = kept;
    }

    /// Returns true if a worker has room for a claim, besides earlier ones, once the runs that are
    /// being stopped or about to end are gone.
    fn has_room_for(&self, now: Moment, id: &WorkerId, claim: &Claim, earlier: &[Claim]) -> bool {
        let Ok(at) = self.worker_index(id) else { return false };
        let worker = &self.workers[at];
        let ends = |phase: Phase, left: Option<Span>| {
            matches!(phase, Phase::Closing { .. }) || left.is_some_and(|l| l <= NEAR_END_MAX)
        };
        let stays = worker.slots.iter().filter(|s| !ends(s.phase, s.remaining(now)));
        let used = stays.fold(Resources::default(), |sum, s| sum.plus(&s.need));
        let claims = earlier.iter().chain([claim]);
        let used = claims.fold(used, |sum, c| sum.plus(&self.claimed_on(c, id)));
        worker.capacity().fits(&used)
    }

    /// Returns what a claim takes on a worker.
    fn claimed_on(&self, claim: &Claim, id: &WorkerId) -> Resources {
        let step = self.job_index(claim.job).ok().and_then(|j| self.jobs[j].step(&claim.task(0)));
        let need = step.map_or(Resources::default(), |s| s.need);
        need.times(claim.workers().filter(|w| *w == id).count() as u64)
    }

    /// Returns true if all of these starts, each recorded and not sent, fit into what their workers
    /// have now. Starts that are recorded and wait for their own commit don't count: of several that
    /// fit only one by one, those whose commits succeed first are sent.
    pub(super) fn starts_fit(&self, starts: &[RecordedStart]) -> bool {
        let mut by_worker: Vec<&RecordedStart> = starts.iter().collect();
        by_worker.sort_unstable_by_key(|(at, ..)| *at);
        by_worker.chunk_by(|a, b| a.0 == b.0).all(|starts| {
            let worker = &self.workers[starts[0].0];
            let sent = worker.slots.iter().filter(|s| !matches!(s.phase, Phase::Planned(_)));
            let to_send = starts
                .iter()
                .filter_map(|(_, task, run)| Some(&worker.slots[worker.slot_index(task, *run)?]));
            let used = sent.chain(to_send).fold(Resources::default(), |sum, s| sum.plus(&s.need));
            worker.capacity().fits(&used)
        })
    }
}
