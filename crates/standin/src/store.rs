//! The platform's key-value store as a state machine, with compare-and-swap, leases, pages and rate
//! limits.

use bulrushlink_api::{Expect, Record, Revision, StoreReply, StoreRequest};
use bulrushlink_core::{Moment, Span};
use serde::{Deserialize, Serialize};

#[cfg(test)]
mod tests;

/// Largest value, in bytes.
pub const VALUE_MAX_BYTES: usize = 1024 * 1024;
/// Largest number of records in one page, even if the request allows more.
const PAGE_MAX_RECORDS: u32 = 1_000;
/// Length of the fixed window in which calls are counted against the rate limits, in milliseconds.
const RATE_WINDOW_MS: u64 = 1_000;

/// Rate limits in calls per second; calls over a limit are answered with [`StoreReply::Limited`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StoreRates {
    /// Limit of `Put`, `KeepAlive` and `Delete` together.
    pub writes: u32,
    /// Limit of `Get`, `List` and `Watch` together.
    pub reads: u32,
}

impl Default for StoreRates {
    fn default() -> Self {
        Self { writes: 500, reads: 2_000 }
    }
}

/// Number of calls since the start, by kind. A waiting watch counts as one call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Calls of `Get`.
    pub get: u64,
    /// Calls of `List`.
    pub list: u64,
    /// Calls of `Put`.
    pub put: u64,
    /// Calls of `KeepAlive`.
    pub keep_alive: u64,
    /// Calls of `Delete`.
    pub delete: u64,
    /// Calls of `Watch`.
    pub watch: u64,
    /// Calls of any kind that exceeded a rate limit; they also count under their kind.
    pub limited: u64,
}

impl CallCounts {
    /// Returns the number of writes.
    pub const fn writes(&self) -> u64 {
        self.put + self.keep_alive + self.delete
    }

    /// Returns the number of reads, including watches.
    pub const fn reads(&self) -> u64 {
        self.get + self.list + self.watch
    }
}

#[derive(Debug)]
struct Lease {
    length: Span,
    until: Moment,
}

#[derive(Debug)]
struct Entry {
    record: Record,
    lease: Option<Lease>,
}

#[derive(Debug, Default)]
struct Window {
    start: Moment,
    writes: u32,
    reads: u32,
}

/// The simulated store.
#[derive(Debug, Default)]
pub struct Store {
    /// Sorted by key.
    entries: Vec<Entry>,
    /// Revision of the latest change.
    revision: Revision,
    rates: StoreRates,
    window: Window,
    counts: CallCounts,
}

impl Store {
    /// Creates an empty store with the default rate limits.
    pub fn open() -> Self {
        Self::default()
    }

    /// Creates an empty store with the given rate limits.
    pub fn with_rates(rates: StoreRates) -> Self {
        Self { rates, ..Self::default() }
    }

    /// Carries out one call. A `Watch` is answered at once like a `Get`; the caller waits by means
    /// of [`Self::changed`].
    ///
    /// # Panics
    ///
    /// If the value of a `Put` is larger than [`VALUE_MAX_BYTES`], which no correct client sends.
    pub fn handle(&mut self, request: &StoreRequest, now: Moment) -> StoreReply {
        self.expire(now);
        self.count_call(request);
        if let Some(retry) = self.check_rate(request, now) {
            self.counts.limited += 1;
            return StoreReply::Limited { retry };
        }
        match request {
            StoreRequest::Get { key } | StoreRequest::Watch { key, .. } => self.found(key),
            StoreRequest::List { prefix, after, limit } => self.list(prefix, after, *limit),
            StoreRequest::Put { key, value, expect, lease } => {
                assert!(value.len() <= VALUE_MAX_BYTES, "value of {key} is over a megabyte");
                self.put((key, value), *expect, *lease, now)
            }
            StoreRequest::KeepAlive { key, at } => self.keep_alive(key, *at, now),
            StoreRequest::Delete { key, at } => self.delete(key, *at),
        }
    }

    /// Returns true if a watch that knows the revision `after` is to be answered: the key was
    /// written since, or no longer exists.
    pub fn changed(&self, key: &str, after: Revision) -> bool {
        match self.find(key) {
            Ok(i) => self.entries[i].record.at > after,
            Err(_) => after > Revision::default(),
        }
    }

    /// Removes the keys whose lease has expired.
    pub fn expire(&mut self, now: Moment) {
        let before = self.entries.len();
        self.entries.retain(|e| e.lease.as_ref().is_none_or(|lease| lease.until > now));
        self.revision.0 += (before - self.entries.len()) as u64;
    }

    /// Returns the answer to a watch that has waited; its call was counted when it arrived.
    pub fn answer_watch(&self, key: &str) -> StoreReply {
        self.found(key)
    }

    /// Returns the number of calls by kind.
    pub fn counts(&self) -> CallCounts {
        self.counts
    }

    /// Returns all records sorted by key, without counting a call.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.entries.iter().map(|entry| &entry.record)
    }

    fn find(&self, key: &str) -> Result<usize, usize> {
        self.entries.binary_search_by(|e| e.record.key.as_str().cmp(key))
    }

    fn record(&self, key: &str) -> Option<Record> {
        self.find(key).ok().map(|i| self.entries[i].record.clone())
    }

    fn found(&self, key: &str) -> StoreReply {
        StoreReply::Found { record: self.record(key) }
    }

    fn list(&self, prefix: &str, after: &str, limit: u32) -> StoreReply {
        let limit = limit.clamp(1, PAGE_MAX_RECORDS) as usize;
        let first = match self.find(after.max(prefix)) {
            Ok(i) if !after.is_empty() && self.entries[i].record.key == after => i + 1,
            Ok(i) | Err(i) => i,
        };
        let matching = self.entries[first..].iter().map(|e| &e.record);
        let mut matching = matching.take_while(|r| r.key.starts_with(prefix));
        let records = matching.by_ref().take(limit).cloned().collect();
        StoreReply::Page { records, more: matching.next().is_some() }
    }

    fn put(
        &mut self,
        (key, value): (&str, &str),
        expect: Expect,
        lease: Option<Span>,
        now: Moment,
    ) -> StoreReply {
        let position = self.find(key);
        let holds = match (expect, position) {
            (Expect::Absent, Err(_)) => true,
            (Expect::At(at), Ok(i)) => self.entries[i].record.at == at,
            _ => false,
        };
        if !holds {
            return StoreReply::Conflict { record: self.record(key) };
        }
        let at = self.next_revision();
        let record = Record { key: key.to_string(), value: value.to_string(), at };
        let lease = lease.map(|length| Lease { length, until: now + length });
        let entry = Entry { record, lease };
        match position {
            Ok(i) => self.entries[i] = entry,
            Err(i) => self.entries.insert(i, entry),
        }
        StoreReply::Done { at }
    }

    fn keep_alive(&mut self, key: &str, at: Revision, now: Moment) -> StoreReply {
        let Some(i) = self.find(key).ok().filter(|i| self.entries[*i].record.at == at) else {
            return StoreReply::Conflict { record: self.record(key) };
        };
        if let Some(lease) = &mut self.entries[i].lease {
            lease.until = now + lease.length;
        }
        StoreReply::Done { at }
    }

    fn delete(&mut self, key: &str, at: Revision) -> StoreReply {
        let Some(i) = self.find(key).ok().filter(|i| self.entries[*i].record.at == at) else {
            return StoreReply::Conflict { record: self.record(key) };
        };
        self.entries.remove(i);
        StoreReply::Done { at: self.next_revision() }
    }

    fn next_revision(&mut self) -> Revision {
        self.revision.0 += 1;
        self.revision
    }

    fn count_call(&mut self, request: &StoreRequest) {
        let counts = &mut self.counts;
        let counter = match request {
            StoreRequest::Get { .. } => &mut counts.get,
            StoreRequest::List { .. } => &mut counts.list,
            StoreRequest::Put { .. } => &mut counts.put,
            StoreRequest::KeepAlive { .. } => &mut counts.keep_alive,
            StoreRequest::Delete { .. } => &mut counts.delete,
            StoreRequest::Watch { .. } => &mut counts.watch,
        };
        *counter += 1;
    }

    fn check_rate(&mut self, request: &StoreRequest, now: Moment) -> Option<Span> {
        let start = Moment(now.0 - now.0 % RATE_WINDOW_MS);
        if self.window.start != start {
            self.window = Window { start, ..Window::default() };
        }
        let (used, rate) = match request {
            StoreRequest::Get { .. } | StoreRequest::List { .. } | StoreRequest::Watch { .. } => {
                (&mut self.window.reads, self.rates.reads)
            }
            _ => (&mut self.window.writes, self.rates.writes),
        };
        *used = used.saturating_add(1);
        (*used > rate).then(|| (start + Span(RATE_WINDOW_MS)).since(now))
    }
}
