//! The learned run times in the store. Nothing waits for them: until they are read, and if they can't be
//! used, callers' estimates are.

use bulrushlink_core::{Moment, Span};

use crate::edge::{Commit, Fault, StoreOp, StoreReply};
use crate::policy::TimesRecord;
use crate::record::{decode, encode, keys};

use super::{Context, Placer, PlacerTag, STORE_TIMEOUT, Stage};

/// Least time between two writes. Every call to the store has a price, and a successor lacks only the
/// samples since the latest write.
const WRITE_INTERVAL: Span = Span(5_000);
/// Delay before a failed read is repeated. Placing doesn't wait for it.
const READ_RETRY_DELAY: Span = Span(1_000);

/// State of the snapshot in the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct SnapshotState {
    /// The snapshot of the earlier placer has been read, or there is none.
    read: bool,
    /// A read or a write is in flight.
    under_way: bool,
    /// Earliest time of the next read or write.
    next: Moment,
    /// Version of the run times in the latest write.
    written: u64,
}

impl Placer {
    /// Reads the snapshot of the earlier placer, beside the loading of the records.
    pub(super) fn read_times(&mut self, ctx: &mut Context<'_>) {
        let SnapshotState { read, under_way, next, .. } = self.snapshot;
        if !ctx.features.learned_times || read || under_way || ctx.clock.now < next {
            return;
        }
        self.snapshot.under_way = true;
        let op = StoreOp::Get(keys::TIMES.to_string());
        self.call_store(ctx, PlacerTag::LoadTimes, op, STORE_TIMEOUT);
    }

    pub(super) fn times_read(&mut self, ctx: &mut Context<'_>, result: Result<StoreReply, Fault>) {
        let now = ctx.clock.now;
        self.snapshot.under_way = false;
        let item = match result {
            Ok(StoreReply::Item(item, _)) => item,
            other => {
                log::info!(event = "times_unread"; "reading the learned run times failed; estimates are used until it succeeds: {other:?}");
                self.snapshot.next = now + READ_RETRY_DELAY;
                return;
            }
        };
        self.snapshot.read = true;
        let Some(item) = item else {
            log::info!(event = "times_missing"; "no learned run times are stored; estimates are used");
            return;
        };
        let record = decode::<TimesRecord>(&item.value).map_err(|e| e.to_string());
        let restored = record.and_then(|record| {
            self.times.restore(record, now, ctx.clock.wall).map_err(|e| e.to_string())
        });
        match restored {
            Ok(groups) => {
                log::info!(event = "times_restored", groups = groups, bytes = item.value.len(); "learned run times of an earlier placer are used");
                self.stale = true;
            }
            Err(cause) => {
                log::warn!(event = "times_unusable", bytes = item.value.len(), cause:% = cause; "the stored run times are not used; estimates are used until new ones are learned");
            }
        }
    }

    /// Writes a snapshot if the run times have changed.
    pub(super) fn write_times(&mut self, ctx: &mut Context<'_>) {
        let SnapshotState { read, under_way, next, written } = self.snapshot;
        let (now, version) = (ctx.clock.now, self.times.version());
        let on = ctx.features.learned_times && self.stage == Stage::Active && ctx.holds_lease;
        if !on || !read || under_way || now < next || version == written {
            return;
        }
        self.snapshot.next = now + WRITE_INTERVAL;
        let value = match encode(&self.times.record(now, ctx.clock.wall)) {
            Ok(value) => value,
            Err(error) => {
                log::error!(event = "bad_record"; "the learned run times can't be encoded: {error}");
                return;
            }
        };
        self.snapshot.under_way = true;
        let writes = vec![(keys::TIMES.to_string(), value, None)];
        let commit = Commit { expect: vec![self.guard()], writes, ..Commit::default() };
        self.call_store(ctx, PlacerTag::SaveTimes(version), StoreOp::Commit(commit), STORE_TIMEOUT);
    }

    pub(super) fn times_written(
        &mut self,
        ctx: &mut Context<'_>,
        version: u64,
        result: Result<StoreReply, Fault>,
    ) {
        self.snapshot.under_way = false;
        match result {
            Ok(StoreReply::Committed(_)) => self.snapshot.written = version,
            Ok(StoreReply::Conflict(items, _)) => {
                self.step_down_if_replaced(&items);
            }
            other => {
                log::info!(event = "times_unwritten", retry_ms = self.snapshot.next.since(ctx.clock.now).millis(); "writing the learned run times failed; they are written again later: {other:?}");
            }
        }
    }
}
