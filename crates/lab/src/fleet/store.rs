//! The simulated store: carries out the nodes' typed calls on a plain key-value store.

use bulrushlink_core::{DomainId, Span};
use bulrushlink_fleet::{
    Catalog, Commit, Item, LeaseId, OperatorView, Rev, StoreEvent, StoreOp, StoreReply, Subject,
    WorkerEntry,
};
use bulrushlink_standin::{CommitRefusal, KeyChange, KeyValue, KeyValues};

/// Items in one page of a list.
const PAGE_ITEMS: usize = 20;
/// Size in bytes of a configuration beside which a page has no room for other keys.
const PAGE_BYTES: u64 = 1_000_000;
/// Key whose revision is that of the configuration; its value stays empty.
const CATALOG_KEY: &str = "catalog";

/// The store, with the configuration and the workers that its services would hold.
pub(super) struct SimStore {
    pub(super) keys: KeyValues,
    catalog: Catalog,
    pub(super) workers: Vec<WorkerEntry>,
    pub(super) evacuated: Vec<DomainId>,
}

fn item(value: &KeyValue) -> Item {
    Item { key: value.key.clone(), value: value.bytes.clone(), rev: Rev(value.rev) }
}

impl SimStore {
    pub(super) fn new(catalog: Catalog) -> Self {
        let keys = KeyValues::default();
        let mut store = Self { keys, catalog, workers: Vec::new(), evacuated: Vec::new() };
        store.set_catalog(store.catalog.clone());
        store
    }

    pub(super) fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// Replaces the configuration and advances its version and revision.
    pub(super) fn set_catalog(&mut self, catalog: Catalog) {
        self.keys.put(CATALOG_KEY, Vec::new());
        let version = self.catalog.version + 1;
        self.catalog = Catalog { version, rev: Rev(self.keys.rev()), ..catalog };
    }

    /// Carries out a call. A watch without a change returns no events.
    pub(super) fn call(&mut self, now: u64, op: &StoreOp) -> StoreReply {
        let rev = Rev(self.keys.rev());
        match op {
            StoreOp::Catalog => StoreReply::Operator(OperatorView {
                catalog: Some(self.catalog.clone()),
                evacuated: match self.catalog.size {
                    PAGE_BYTES.. => Vec::new(),
                    _ => self.evacuated.clone(),
                },
            }),
            StoreOp::CheckCatalog(rev) => {
                let expect = vec![(Subject::Catalog, *rev)];
                self.commit(&Commit { expect, ..Commit::default() })
            }
            StoreOp::Evacuations => StoreReply::Evacuated(self.evacuated.clone()),
            StoreOp::Workers => StoreReply::Workers(self.workers.clone(), 0),
            StoreOp::Get(key) | StoreOp::GetStale(key) => {
                StoreReply::Item(self.keys.get(key).map(item), rev)
            }
            StoreOp::List(prefix, after) => {
                let (values, more) = self.keys.list(prefix, after.as_deref(), PAGE_ITEMS);
                StoreReply::Page(values.iter().map(item).collect(), more, rev)
            }
            StoreOp::Watch(prefix, after, _) => self.events(prefix, after.0),
            StoreOp::Commit(commit) => self.commit(commit),
            StoreOp::OpenLease(ttl) => {
                let id = self.keys.open_lease(now, ttl.millis());
                StoreReply::Lease(LeaseId(id), *ttl)
            }
            StoreOp::RenewLease(id) => match self.keys.renew_lease(now, id.0) {
                Some(ttl) => StoreReply::Lease(*id, Span(ttl)),
                None => StoreReply::LeaseGone,
            },
            StoreOp::EndLease(id) => {
                self.keys.end_lease(id.0);
                StoreReply::LeaseGone
            }
        }
    }

    /// Returns true if a watch has events, or if the history that it asks for is gone.
    pub(super) fn has_events(&self, prefix: &str, after: u64) -> bool {
        self.keys.changes(prefix, after).is_none_or(|c| !c.is_empty())
    }

    fn events(&self, prefix: &str, after: u64) -> StoreReply {
        let Some(changes) = self.keys.changes(prefix, after) else {
            return StoreReply::HistoryGone;
        };
        let event = |change: &KeyChange| match change {
            KeyChange::Written(value) => StoreEvent::Written(item(value)),
            KeyChange::Removed(key, _) => StoreEvent::Removed(key.clone()),
        };
        StoreReply::Events(changes.iter().map(event).collect(), Rev(self.keys.rev()))
    }

    fn commit(&mut self, commit: &Commit) -> StoreReply {
        assert!(
            commit.entries() <= 32,
            "the store allows 32 entries in a commit, got {}",
            commit.entries()
        );
        let key = |subject: &Subject| match subject {
            Subject::Key(key) => key.clone(),
            Subject::Catalog => CATALOG_KEY.to_string(),
        };
        let expect: Vec<(String, u64)> =
            commit.expect.iter().map(|(s, rev)| (key(s), rev.0)).collect();
        let writes: Vec<(String, Vec<u8>, Option<u64>)> = commit
            .writes
            .iter()
            .map(|(key, bytes, lease)| (key.clone(), bytes.clone(), lease.map(|l| l.0)))
            .collect();
        match self.keys.commit(&expect, &writes, &commit.removes) {
            Ok(rev) => StoreReply::Committed(Rev(rev)),
            Err(CommitRefusal::NoLease) => StoreReply::LeaseGone,
            Err(CommitRefusal::Conflict) => {
                let catalog = expect.iter().any(|(key, _)| key == CATALOG_KEY);
                let keys = expect.iter().filter(|(key, _)| key != CATALOG_KEY);
                let items = keys.filter_map(|(key, _)| self.keys.get(key).map(item)).collect();
                StoreReply::Conflict(items, catalog.then(|| self.catalog.clone()))
            }
        }
    }
}
