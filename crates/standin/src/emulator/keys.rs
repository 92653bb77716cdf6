//! A store of keys with revisions, leases, history and conditional changes.

use std::collections::BTreeMap;

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyValue {
    /// The key.
    pub key: String,
    /// The bytes.
    pub bytes: Vec<u8>,
    /// Revision of the latest change.
    pub rev: u64,
    /// Revision of the creation.
    pub created: u64,
    /// Lease that the key depends on.
    pub lease: Option<u64>,
}

/// A change: what was written, or the key and revision of a removal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyChange {
    /// Written.
    Written(KeyValue),
    /// Removed, at this revision.
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

/// Why a change was not made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitRefusal {
    /// A condition doesn't hold.
    Conflict,
    /// A lease has ended.
    NoLease,
}

struct Lease {
    id: u64,
    ends: u64,
    ttl: u64,
}

/// The store; times are in milliseconds of any steady clock.
#[derive(Default)]
pub struct KeyValues {
    rev: u64,
    values: BTreeMap<String, KeyValue>,
    leases: Vec<Lease>,
    history: Vec<KeyChange>,
    /// History up to this revision is gone.
    floor: u64,
}

impl KeyValues {
    /// Returns the revision of the store.
    pub fn rev(&self) -> u64 {
        self.rev
    }

    /// Returns a key's value.
    pub fn get(&self, key: &str) -> Option<&KeyValue> {
        self.values.get(key)
    }

    /// Returns up to `most` values under a prefix, after a key, and whether there are more.
    pub fn list(&self, prefix: &str, after: Option<&str>, most: usize) -> (Vec<KeyValue>, bool) {
        let inside =
            |v: &&KeyValue| v.key.starts_with(prefix) && after.is_none_or(|a| v.key.as_str() > a);
        let mut found: Vec<KeyValue> =
            self.values.values().filter(inside).take(most + 1).cloned().collect();
        let more = found.len() > most;
        found.truncate(most);
        (found, more)
    }

    /// Returns the changes under a prefix after a revision; nothing if that history is gone.
    pub fn changes(&self, prefix: &str, after: u64) -> Option<Vec<KeyChange>> {
        if after < self.floor {
            return None;
        }
        let inside = |c: &&KeyChange| c.rev() > after && c.key().starts_with(prefix);
        Some(self.history.iter().filter(inside).cloned().collect())
    }

    /// Writes a key without any condition.
    pub fn put(&mut self, key: &str, bytes: Vec<u8>) {
        self.rev += 1;
        self.write(key, bytes, None);
    }

    /// Removes a key without any condition.
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

    /// Changes several keys if all keys of `expect` have the revisions given, 0 for absent ones.
    ///
    /// # Errors
    ///
    /// Why nothing was changed.
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

    /// Opens a lease and returns its identifier.
    pub fn open_lease(&mut self, now: u64, ttl: u64) -> u64 {
        self.rev += 1;
        self.leases.push(Lease { id: self.rev, ends: now + ttl, ttl });
        self.rev
    }

    /// Renews a lease and returns its length, if it hasn't ended.
    pub fn renew_lease(&mut self, now: u64, id: u64) -> Option<u64> {
        let lease = self.leases.iter_mut().find(|l| l.id == id)?;
        lease.ends = now + lease.ttl;
        Some(lease.ttl)
    }

    /// Ends a lease; tells whether there was one.
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

    /// Ends the leases that have run out.
    pub fn expire(&mut self, now: u64) {
        let over: Vec<u64> = self.leases.iter().filter(|l| l.ends <= now).map(|l| l.id).collect();
        over.into_iter().for_each(|id| {
            self.end_lease(id);
        });
    }

    /// Lets every lease run out at once.
    pub fn lapse_all(&mut self) {
        let all: Vec<u64> = self.leases.iter().map(|l| l.id).collect();
        all.into_iter().for_each(|id| {
            self.end_lease(id);
        });
    }

    /// Drops the history, so that watches have to start anew.
    pub fn compact(&mut self) {
        self.history.clear();
        self.floor = self.rev;
    }
}
