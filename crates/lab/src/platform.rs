//! The platform's services as the lab runs them: the store with its outages, and watches.

use bulrushlink_api::{Record, Revision, StoreReply, StoreRequest};
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
    /// Answers watches with what was there when this began.
    StaleWatches,
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
    /// What stale watches show; in the order of the keys.
    stale: Vec<Record>,
}

impl StoreHost {
    pub(crate) fn open() -> Self {
        Self { store: Store::open(), mode: StoreMode::Up, watches: Vec::new(), stale: Vec::new() }
    }

    /// Lets the store behave otherwise from now on.
    pub(crate) fn set_mode(&mut self, mode: StoreMode) {
        if mode == StoreMode::StaleWatches {
            self.stale = self.store.records().cloned().collect();
        }
        self.mode = mode;
    }

    /// Returns the number of calls that were counted.
    pub(crate) fn calls(&self) -> u64 {
        self.store.counts().reads() + self.store.counts().writes()
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
        let (due, kept): (Vec<Watch>, Vec<Watch>) =
            std::mem::take(&mut self.watches).into_iter().partition(is_due);
        self.watches = kept;
        if due.is_empty() {
            return Vec::new();
        }
        let shown = match self.mode {
            StoreMode::StaleWatches => self.stale.clone(),
            _ => store.records().cloned().collect(),
        };
        let answer = |w: Watch| {
            let record = shown.iter().find(|record| record.key == w.key).cloned();
            (w, StoreReply::Found { record })
        };
        due.into_iter().map(answer).collect()
    }
}
