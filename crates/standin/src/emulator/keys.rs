//! Key-value store with revisions, leases, history and conditional transactions.

use std::collections::BTreeMap;

/// Size of the values in bytes from which on a page of a listing ends.
const PAGE_MAX_BYTES: usize = 1_000_000;

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyValue {
    /// The key.
    pub key: String,
    /// The value.
    pub bytes: Vec<u8>,
    /// Revision of the latest change.
    pub rev: u64,
    /// Revision at which the key was created.
    pub created: u64,
    /// Lease with which the key is removed, if any.
    pub lease: Option<u64>,
}

/// A change in the history: the written value, or the key and revision of a removal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyChange {
    /// The key was written.
    Written(KeyValue),
    /// The key was removed at this revision.
    Removed(String, u64),
}

impl KeyChange {
    fn rev(&self) -> u64 {
        match self {
            Self::Written(item) => item.rev,
            Self::Removed(_, rev) => *rev,
        }
    }

    fn key(&self) -> &str {
        match self {
            Self::Written(item) => &item.key,
            Self::Removed(key, _) => key,
        }
    }
}

/// Why a transaction was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitRefusal {
    /// The revision of a key is not the expected one.
    Conflict,
    /// A lease doesn't exist or has ended.
    NoLease,
}

struct Lease {
    id: u64,
    expires: u64,
    ttl: u64,
}

/// The store. Times are in milliseconds of a monotonic clock.
#[derive(Default)]
pub struct KeyValues {
    rev: u64,
    values: BTreeMap<String, KeyValue>,
    leases: Vec<Lease>,
    history: Vec<KeyChange>,
    /// History up to this revision has been dropped.
    compacted_rev: u64,
}

impl KeyValues {
    /// Returns the current revision of the store.
    pub fn rev(&self) -> u64 {
        self.rev
    }

    /// Returns a key with its value.
    pub fn get(&self, key: &str) -> Option<&KeyValue> {
        self.values.get(key)
    }

    /// Returns a page of the keys with the prefix that sort after `after`, and whether more follow. It
    /// has up to `limit` keys, and fewer if their values are large, but at least one.
    pub fn list(&self, prefix: &str, after: Option<&str>, limit: usize) -> (Vec<KeyValue>, bool) {
        let matches =
            |v: &&KeyValue| v.key.starts_with(prefix) && after.is_none_or(|a| v.key.as_str() > a);
        let (mut found, mut bytes) = (Vec::new(), 0);
        for item in self.values.values().filter(matches) {
            if found.len() == limit || bytes >= PAGE_MAX_BYTES {
                return (found, true);
            }
            bytes += item.bytes.len();
            found.push(item.clone());
        }
        (found, false)
    }

    /// Returns the changes of keys with the prefix after a revision, or `None` if that history has
    /// been dropped.
    pub fn changes(&self, prefix: &str, after: u64) -> Option<Vec<KeyChange>> {
        if after < self.compacted_rev {
            return None;
        }
        let matches = |c: &&KeyChange| c.rev() > after && c.key().starts_with(prefix);
        Some(self.history.iter().filter(matches).cloned().collect())
    }

    /// Writes a key unconditionally.
    pub fn put(&mut self, key: &str, bytes: Vec<u8>) {
        self.rev += 1;
        self.write(key, bytes, None);
    }

    /// Removes a key unconditionally.
    pub fn delete(&mut self, key: &str) {
        self.rev += 1;
        self.remove(key);
    }

    fn write(&mut self, key: &str, bytes: Vec<u8>, lease: Option<u64>) {
        let created = self.values.get(key).map_or(self.rev, |v| v.created);
        let item = KeyValue { key: key.to_string(), bytes, rev: self.rev, created, lease };
        self.values.insert(key.to_string(), item.clone());
        self.history.push(KeyChange::Written(item));
    }

    fn remove(&mut self, key: &str) {
        if self.values.remove(key).is_some() {
            self.history.push(KeyChange::Removed(key.to_string(), self.rev));
        }
    }

    /// Carries out a transaction if every key in `expect` has the given revision (0 for an absent
    /// key), and returns the new revision. Each entry of `writes` is a key, its value and a lease.
    ///
    /// # Errors
    ///
    /// The reason for which nothing was changed.
    pub fn commit(
        &mut self,
        expect: &[(String, u64)],
        writes: &[(String, Vec<u8>, Option<u64>)],
        removes: &[String],
    ) -> Result<u64, CommitRefusal> {
        let current = |key: &str| self.values.get(key).map_or(0, |v| v.rev);
        if expect.iter().any(|(key, rev)| current(key) != *rev) {
            return Err(CommitRefusal::Conflict);
        }
        let alive = |id: u64| self.leases.iter().any(|l| l.id == id);
        if writes.iter().any(|(_, _, lease)| lease.is_some_and(|id| !alive(id))) {
            return Err(CommitRefusal::NoLease);
        }
        self.rev += 1;
        for (key, bytes, lease) in writes {
            self.write(key, bytes.clone(), *lease);
        }
        removes.iter().for_each(|key| self.remove(key));
        Ok(self.rev)
    }

    /// Creates a lease and returns its identifier.
    pub fn open_lease(&mut self, now: u64, ttl: u64) -> u64 {
        self.rev += 1;
        self.leases.push(Lease { id: self.rev, expires: now + ttl, ttl });
        self.rev
    }

    /// Renews a lease and returns its duration; `None` if it has ended.
    pub fn renew_lease(&mut self, now: u64, id: u64) -> Option<u64> {
        let lease = self.leases.iter_mut().find(|l| l.id == id)?;
        lease.expires = now + lease.ttl;
        Some(lease.ttl)
    }

    /// Ends a lease and removes its keys; returns true if the lease existed.
    pub fn end_lease(&mut self, id: u64) -> bool {
        let before = self.leases.len();
        self.leases.retain(|l| l.id != id);
        let leased = |v: &&KeyValue| v.lease == Some(id);
        let keys: Vec<String> =
            self.values.values().filter(leased).map(|v| v.key.clone()).collect();
        for key in keys {
            self.rev += 1;
            self.remove(&key);
        }
        self.leases.len() < before
    }

    /// Ends the leases that have expired.
    pub fn expire(&mut self, now: u64) {
        let expired: Vec<u64> =
            self.leases.iter().filter(|l| l.expires <= now).map(|l| l.id).collect();
        expired.into_iter().for_each(|id| {
            self.end_lease(id);
        });
    }

    /// Expires every lease at once.
    pub fn expire_all(&mut self) {
        let all: Vec<u64> = self.leases.iter().map(|l| l.id).collect();
        all.into_iter().for_each(|id| {
            self.end_lease(id);
        });
    }

    /// Extends every lease, as a store does whose leases pause while it is down.
    pub fn extend_all(&mut self, millis: u64) {
        self.leases.iter_mut().for_each(|l| l.expires += millis);
    }

    /// Drops the history, so that watches have to restart from a full read.
    pub fn compact(&mut self) {
        self.history.clear();
        self.compacted_rev = self.rev;
    }
}
