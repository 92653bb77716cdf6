//! The platform's store with its faults, and the watches that wait at it.

use bulrushlink_api::{Record, Revision, StoreReply, StoreRequest};
use bulrushlink_core::Moment;
use bulrushlink_daemon::CallId;
use bulrushlink_standin::Store;

/// Behaviour of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreMode {
    /// Works normally.
    #[default]
    Up,
    /// Accepts no connections.
    Down,
    /// Accepts connections and never replies; writes don't take effect.
    Silent,
    /// Carries out all calls and loses all replies.
    LosesReplies,
    /// Replies 1.8 s late.
    Slow,
    /// Replies to watches with the records as they were when this mode began.
    StaleWatches,
}

/// A watch without a reply yet.
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
pub(crate) struct PlatformStore {
    pub(crate) store: Store,
    pub(crate) mode: StoreMode,
    watches: Vec<Watch>,
    /// Records that stale watches return, in the order of their keys.
    stale_records: Vec<Record>,
}

impl PlatformStore {
    pub(crate) fn open() -> Self {
        Self {
            store: Store::open(),
            mode: StoreMode::Up,
            watches: Vec::new(),
            stale_records: Vec::new(),
        }
    }

    /// Changes the behaviour of the store from now on.
    pub(crate) fn set_mode(&mut self, mode: StoreMode) {
        if mode == StoreMode::StaleWatches {
            self.stale_records = self.store.records().cloned().collect();
        }
        self.mode = mode;
    }

    /// Returns the number of reads and writes that the store has counted.
    pub(crate) fn calls(&self) -> u64 {
        self.store.counts().reads() + self.store.counts().writes()
    }

    /// Carries out a request. Keeps a watch without a change yet, and returns `None` for it.
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

    /// Removes the watches that have a change or have timed out, and returns them with their
    /// replies.
    pub(crate) fn take_due(&mut self, now: Moment) -> Vec<(Watch, StoreReply)> {
        let store = &mut self.store;
        let is_due = |w: &Watch| w.until <= now || store.changed(&w.key, w.after);
        let (due, kept): (Vec<Watch>, Vec<Watch>) =
            std::mem::take(&mut self.watches).into_iter().partition(is_due);
        self.watches = kept;
        if due.is_empty() {
            return Vec::new();
        }
        let shown = match self.mode {
            StoreMode::StaleWatches => self.stale_records.clone(),
            _ => store.records().cloned().collect(),
        };
        let reply = |w: Watch| {
            let record = shown.iter().find(|record| record.key == w.key).cloned();
            (w, StoreReply::Found { record })
        };
        due.into_iter().map(reply).collect()
    }
}
