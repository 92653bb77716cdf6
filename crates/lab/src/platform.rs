//! The platform's services as the lab runs them: the store with its outages, and watches.

use bulrushlink_api::{Revision, StoreReply, StoreRequest};
use bulrushlink_core::Moment;
use bulrushlink_daemon::CallId;
use bulrushlink_standin::Store;

/// How the store behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreMode {
    /// As it should.
    #[default]
    Up,
    /// Takes no connections.
    Down,
    /// Takes connections and never answers; writes don't take effect.
    Silent,
    /// Carries everything out and loses all its answers.
    LosesReplies,
    /// Answers after several seconds.
    Slow,
}

/// A watch that waits.
#[derive(Clone, Debug)]
pub(crate) struct Watch {
    pub(crate) daemon: usize,
    pub(crate) incarnation: u64,
    pub(crate) call: CallId,
    pub(crate) key: String,
    pub(crate) after: Revision,
    pub(crate) until: Moment,
}

/// The store with the watches that wait at it.
#[derive(Debug)]
pub(crate) struct StoreHost {
    pub(crate) store: Store,
    pub(crate) mode: StoreMode,
    watches: Vec<Watch>,
}

impl StoreHost {
    pub(crate) fn open() -> Self {
        Self { store: Store::open(), mode: StoreMode::Up, watches: Vec::new() }
    }

    /// Carries a request out. A watch with nothing to hear yet is kept, and has no answer.
    pub(crate) fn handle(
        &mut self,
        request: &StoreRequest,
        watch: impl Fn(&str, Revision, Moment) -> Watch,
        now: Moment,
    ) -> Option<StoreReply> {
        let reply = self.store.handle(request, now);
        if let (StoreRequest::Watch { key, after, wait }, StoreReply::Found { .. }) =
            (request, &reply)
            && !self.store.changed(key, *after)
        {
            self.watches.push(watch(key, *after, now + *wait));
            return None;
        }
        Some(reply)
    }

    /// Takes the watches that have something to hear or are over, with their answers.
    pub(crate) fn due(&mut self, now: Moment) -> Vec<(Watch, StoreReply)> {
        let store = &mut self.store;
        let is_due = |w: &Watch| w.until <= now || store.changed(&w.key, w.after);
        let (due, kept) = std::mem::take(&mut self.watches).into_iter().partition(is_due);
        self.watches = kept;
        let answer = |w: Watch| {
            let record = store.records().find(|record| record.key == w.key).cloned();
            (w, StoreReply::Found { record })
        };
        Vec::into_iter(due).map(answer).collect()
    }
}
