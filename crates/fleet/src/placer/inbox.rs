//! What callers have stored: jobs and cancellations, as the placer learns of them.

use bulrushlink_core::Span;

use crate::edge::{Fault, StoreEvent, StoreOp, StoreReply};
use crate::ids::{JobId, Rev};
use crate::record::{Item, Outcome, keys};

use super::{Placer, PlacerTag, STORE_RETRY, Scene, Stage};

/// Longest wait for a change; a watch may fall silent, so that it is kept short.
const WATCH_WAIT: Span = Span(1_500);
/// What a watch may take beyond its wait.
const WATCH_SLACK: Span = Span(600);

impl Placer {
    pub(super) fn watch(&mut self, scene: &mut Scene<'_>) {
        if self.watching.under_way || scene.clock.now < self.watching.next {
            return;
        }
        self.watching.under_way = true;
        if self.watching.relist {
            self.watching.after = Rev::ABSENT;
            self.list_inbox(scene, None);
            return;
        }
        let op = StoreOp::Watch(keys::INBOX.to_string(), self.watching.after, WATCH_WAIT);
        self.ask_store(scene, PlacerTag::Watch(0), op, WATCH_WAIT + WATCH_SLACK);
    }

    pub(super) fn watched(&mut self, scene: &mut Scene<'_>, result: Result<StoreReply, Fault>) {
        self.watching.under_way = false;
        match result {
            Ok(StoreReply::Events(events, as_of)) => {
                for event in &events {
                    match event {
                        StoreEvent::Written(item) => self.take_inbox(scene, item),
                        // Just this placer removes keys here, after the job is forgotten.
                        StoreEvent::Removed(_) => {}
                    }
                }
                self.watching.after = self.watching.after.max(as_of);
            }
            Ok(StoreReply::HistoryGone) => {
                log::info!(event = "history_gone", after:% = self.watching.after; "inbox is read anew");
                self.watching.relist = true;
            }
            other => {
                log::info!(event = "watch_lost"; "the inbox can't be watched: {other:?}");
                self.watching.next = scene.clock.now + STORE_RETRY;
            }
        }
    }

    pub(super) fn take_inbox(&mut self, scene: &mut Scene<'_>, item: &Item) {
        let parse = |prefix: &str| item.key.strip_prefix(prefix).map(str::parse::<JobId>);
        if let Some(Ok(id)) = parse(keys::JOBS) {
            self.take_job(scene, id, item);
        } else if let Some(Ok(id)) = parse(keys::CANCELS) {
            self.cancel(scene, id);
        } else {
            log::error!(event = "bad_key", key:% = item.key; "this key names no job");
        }
    }

    /// Ends a job that its caller has cancelled.
    ///
    /// Keys are listed in order, and cancellations come before the jobs, so that one can precede
    /// its job here.
    pub(super) fn cancel(&mut self, scene: &mut Scene<'_>, id: JobId) {
        let known = self.job_at(id).ok().filter(|_| self.stage == Stage::Active);
        let Some(at) = known else {
            self.cancels.push(id);
            return;
        };
        if self.jobs[at].is_over() {
            return;
        }
        log::info!(event = "job_cancelled", job:% = id; "cancelled by its caller");
        self.jobs[at].finish(Outcome::Cancelled, scene.clock.wall);
        self.close_job(scene, id);
        self.stale = true;
    }

    /// Applies cancellations that were read before their jobs.
    pub(super) fn apply_cancels(&mut self, scene: &mut Scene<'_>) {
        for id in std::mem::take(&mut self.cancels) {
            if self.job_at(id).is_ok() {
                self.cancel(scene, id);
            }
        }
    }
}
