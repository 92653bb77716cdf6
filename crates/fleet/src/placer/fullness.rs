//! Refusal of further jobs while the accepted ones take as much memory as the placer may give them.
//!
//! Any daemon accepts jobs, but the placer holds them all. It writes keys whose absence the commits that create jobs
//! expect, under its lease: while there is no placer, or a new one is loading, none exists.
//!
//! Load pattern: a caller submits jobs of the largest size one after the other. Large jobs are refused first, so
//! that they can't keep small ones out.

use bulrushlink_core::{Moment, Span};

use crate::edge::{Commit, Fault, StoreOp, StoreReply};
use crate::record::keys;

use super::{Context, Placer, PlacerTag, STORE_RETRY_DELAY, STORE_TIMEOUT};

/// Share of the limit at which a refusal ends again, so that it doesn't change with each job.
const RESUME_SHARE: f64 = 0.9;

/// Jobs that are refused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Refused {
    #[default]
    None,
    /// Large jobs.
    Large,
    All,
}

/// What the keys in the store say, as far as this placer knows.
#[derive(Debug, Default)]
pub(super) struct Fullness {
    written: Refused,
    /// Ordinal and content of the write in flight.
    flight: Option<(u64, Refused)>,
    ordinal: u64,
    /// Earliest time of the next write.
    next: Moment,
}

/// Returns what has to be refused with jobs of so many bytes, of which at most `limit` are to be held.
pub(super) fn refused(held: u64, limit: u64, before: Refused) -> Refused {
    let resume = |limit: u64| (limit as f64 * RESUME_SHARE) as u64;
    let reached =
        |level: Refused, limit: u64| held >= if before >= level { resume(limit) } else { limit };
    match () {
        () if reached(Refused::All, limit) => Refused::All,
        () if reached(Refused::Large, limit / 2) => Refused::Large,
        () => Refused::None,
    }
}

impl Placer {
    /// Writes the keys if they have to change.
    pub(super) fn write_fullness(&mut self, ctx: &mut Context<'_>) {
        let (held, limit) = (self.held_memory(), ctx.job_memory);
        let wanted = refused(held, limit, self.fullness.written);
        let now = ctx.clock.now;
        let Some(lease) = ctx.lease else { return };
        if wanted == self.fullness.written
            || self.fullness.flight.is_some()
            || now < self.fullness.next
        {
            return;
        }
        let mut commit = Commit { expect: vec![self.guard()], ..Commit::default() };
        for (key, level) in [(keys::FULL_LARGE, Refused::Large), (keys::FULL, Refused::All)] {
            match wanted >= level {
                true => commit.writes.push((key.to_string(), Vec::new(), Some(lease))),
                false => commit.removes.push(key.to_string()),
            }
        }
        log::warn!(
            event = "jobs_full", refused:? = wanted, jobs = self.jobs.len(), job_bytes = held,
            job_bytes_max = limit, epoch:% = self.epoch;
            "the memory of accepted jobs decides which further ones are refused"
        );
        self.fullness.ordinal += 1;
        let ordinal = self.fullness.ordinal;
        self.fullness.flight = Some((ordinal, wanted));
        self.call_store(ctx, PlacerTag::Fullness(ordinal), StoreOp::Commit(commit), STORE_TIMEOUT);
    }

    pub(super) fn fullness_answered(
        &mut self,
        ctx: &Context<'_>,
        ordinal: u64,
        result: Result<StoreReply, Fault>,
    ) {
        let Some((_, wanted)) = self.fullness.flight.take_if(|f| f.0 == ordinal) else { return };
        match result {
            Ok(StoreReply::Committed(_)) => self.fullness.written = wanted,
            Ok(StoreReply::Conflict(items, _)) => {
                self.step_down_if_replaced(&items);
            }
            other => {
                // What the store has now is replaced by the next write.
                log::info!(event = "jobs_full_unwritten"; "writing what is refused failed; it will be retried: {other:?}");
            }
        }
        self.fullness.next = ctx.clock.now + STORE_RETRY_DELAY.max(Span(100));
    }
}

#[cfg(test)]
mod tests;
