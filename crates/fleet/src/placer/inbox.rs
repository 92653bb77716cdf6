//! Reads what callers have stored: jobs and cancellations.

use bulrushlink_core::Span;

use crate::edge::{Fault, StoreEvent, StoreOp, StoreReply};
use crate::ids::{JobId, Rev};
use crate::record::{Item, Outcome, keys};

use super::{Context, Placer, PlacerTag, STORE_RETRY_DELAY, STORE_TIMEOUT, Stage};

/// Longest wait of a watch for a change; short, as a watch can silently stop reporting.
const WATCH_WAIT: Span = Span(1_500);
/// Time that the reply to a watch may take beyond its wait.
const WATCH_TIMEOUT_MARGIN: Span = Span(600);

/// Time without news from the watch after which the pending markers are read. A watch that has
/// silently stopped reporting is noticed only after its timeout, which is longer than an urgent job
/// may wait.
const PENDING_POLL_INTERVAL: Span = Span(250);

impl Placer {
    pub(super) fn watch(&mut self, ctx: &mut Context<'_>) {
        if self.watching.under_way || ctx.clock.now < self.watching.next {
            return;
        }
        self.watching.under_way = true;
        if self.watching.relist {
            self.watching.after = Rev::ABSENT;
            self.list_page(ctx, None);
            return;
        }
        self.watching.heard = ctx.clock.now;
        let op = StoreOp::Watch(keys::INBOX.to_string(), self.watching.after, WATCH_WAIT);
        self.call_store(ctx, PlacerTag::Watch(0), op, WATCH_WAIT + WATCH_TIMEOUT_MARGIN);
    }

    pub(super) fn watch_answered(
        &mut self,
        ctx: &mut Context<'_>,
        result: Result<StoreReply, Fault>,
    ) {
        self.watching.under_way = false;
        self.watching.heard = ctx.clock.now;
        match result {
            Ok(StoreReply::Events(events, as_of)) => {
                for event in &events {
                    match event {
                        StoreEvent::Written(item) => self.apply_inbox_item(ctx, item),
                        // Only this placer removes keys here, and it has forgotten the job by then.
                        StoreEvent::Removed(_) => {}
                    }
                }
                self.watching.after = self.watching.after.max(as_of);
            }
            Ok(StoreReply::HistoryGone) => {
                log::info!(event = "history_gone", after:% = self.watching.after; "the store no longer has the history of the inbox; listing it again");
                self.watching.relist = true;
            }
            other => {
                log::info!(event = "watch_lost"; "watch on the inbox failed: {other:?}");
                self.watching.next = ctx.clock.now + STORE_RETRY_DELAY;
            }
        }
    }

    /// Reads the pending markers if the watch has not reported anything for a while.
    ///
    /// Load pattern: a burst of urgent jobs while the watch is silent. The markers of the jobs that
    /// wait fit into a page or two, whereas the inbox holds all jobs.
    pub(super) fn poll_pending(&mut self, ctx: &mut Context<'_>) {
        let now = ctx.clock.now;
        if self.watching.polling || now.since(self.watching.heard) < PENDING_POLL_INTERVAL {
            return;
        }
        self.watching.heard = now;
        self.list_pending(ctx, None);
    }

    fn list_pending(&mut self, ctx: &mut Context<'_>, after: Option<String>) {
        self.watching.polling = true;
        let op = StoreOp::List(keys::PENDING.to_string(), after);
        self.call_store(ctx, PlacerTag::Pending, op, STORE_TIMEOUT);
    }

    /// Processes a page of the pending markers: reads the jobs that are not known yet.
    pub(super) fn pending_read(
        &mut self,
        ctx: &mut Context<'_>,
        result: Result<StoreReply, Fault>,
    ) {
        self.watching.polling = false;
        let (items, more) = match result {
            Ok(StoreReply::Page(items, more, _)) => (items, more),
            other => {
                log::info!(event = "pending_unread"; "reading the pending markers failed; the next poll repeats it: {other:?}");
                return;
            }
        };
        for item in &items {
            let Some(Ok(id)) = item.key.rsplit('/').next().map(str::parse::<JobId>) else {
                log::error!(event = "bad_key", key:% = item.key; "the key contains no valid job identifier");
                continue;
            };
            if self.job_index(id).is_err() {
                log::info!(event = "job_unreported", job:% = id; "the watch has not reported the job; reading it");
                let op = StoreOp::Get(keys::job(id));
                self.call_store(ctx, PlacerTag::LoadJob(id), op, STORE_TIMEOUT);
            }
        }
        if let Some(last) = items.last().filter(|_| more) {
            self.list_pending(ctx, Some(last.key.clone()));
        }
    }

    /// Adds a job that the watch has not reported.
    pub(super) fn job_read(
        &mut self,
        ctx: &mut Context<'_>,
        id: JobId,
        result: Result<StoreReply, Fault>,
    ) {
        match result {
            Ok(StoreReply::Item(Some(item), _)) => self.add_job(ctx, id, &item),
            Ok(StoreReply::Item(None, _)) => {
                log::error!(event = "marker_without_job", job:% = id; "a pending marker names a job that isn't stored");
            }
            other => {
                log::info!(event = "job_unread", job:% = id; "reading the job failed; the next poll repeats it: {other:?}");
            }
        }
    }

    pub(super) fn apply_inbox_item(&mut self, ctx: &mut Context<'_>, item: &Item) {
        let parse = |prefix: &str| item.key.strip_prefix(prefix).map(str::parse::<JobId>);
        if let Some(Ok(id)) = parse(keys::JOBS) {
            self.add_job(ctx, id, item);
        } else if let Some(Ok(id)) = parse(keys::CANCELS) {
            self.cancel_job(ctx, id);
        } else {
            log::error!(event = "bad_key", key:% = item.key; "the key contains no valid job identifier");
        }
    }

    /// Ends a job that its caller has cancelled.
    ///
    /// Keys are listed in order, and cancellations sort before jobs. A cancellation is kept until
    /// its job is known and the placer is active.
    pub(super) fn cancel_job(&mut self, ctx: &mut Context<'_>, id: JobId) {
        let known = self.job_index(id).ok().filter(|_| self.stage == Stage::Active);
        let Some(at) = known else {
            self.cancels.push(id);
            return;
        };
        if self.jobs[at].is_over() {
            return;
        }
        log::info!(event = "job_cancelled", job:% = id; "the caller has cancelled the job");
        self.jobs[at].finish(Outcome::Cancelled, ctx.clock.wall);
        self.stop_job(ctx, id);
        self.stale = true;
    }

    /// Applies the kept cancellations, and drops those whose job is still not known.
    pub(super) fn apply_pending_cancels(&mut self, ctx: &mut Context<'_>) {
        for id in std::mem::take(&mut self.cancels) {
            if self.job_index(id).is_ok() {
                self.cancel_job(ctx, id);
            }
        }
    }
}
