//! The platform's key-value store as a state machine: compare-and-swap, leases, pages and a rate.

use bulrushlink_api::{Expect, Record, Revision, StoreReply, StoreRequest};
use bulrushlink_core::{Moment, Span};
use serde::{Deserialize, Serialize};

#[cfg(test)]
mod tests;

/// The largest value, in bytes.
pub const VALUE_MAX_BYTES: usize = 1024 * 1024;
/// The most records of one page, whatever the request asks for.
const PAGE_MAX_RECORDS: u32 = 1_000;
/// Length of the window over which calls are counted against the rate, in milliseconds.
const RATE_WINDOW_MS: u64 = 1_000;

/// Calls a second that the store answers; the others are [`StoreReply::Limited`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StoreRates {
    /// `Put`, `KeepAlive` and `Delete`.
    pub writes: u32,
    /// `Get`, `List` and `Watch`.
    pub reads: u32,
}

impl Default for StoreRates {
    fn default() -> Self {
        Self { writes: 500, reads: 2_000 }
    }
}

/// Calls since the start, by kind; a waiting watch counts as one.
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
    /// Calls of any kind that were over the rate; counted under their kind as well.
    pub limited: u64,
}

impl CallCounts {
    /// Returns the number of writes.
    pub const fn writes(&self) -> u64 {
        self.put + self.keep_alive + self.delete
    }

    /// Returns the number of reads, watches too.
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

/// The store.
#[derive(Debug, Default)]
pub struct Store {
    /// Sorted by key.
    entries: Vec<Entry>,
    /// Grows with every change.
    revision: Revision,
    rates: StoreRates,
    window: Window,
    counts: CallCounts,
}

impl Store {
    /// Opens an empty store with the default rates.
    pub fn open() -> Self {
        Self::default()
    }

    /// Opens an empty store with other rates.
    pub fn with_rates(rates: StoreRates) -> Self {
        Self { rates, ..Self::default() }
    }

    /// Carries out one call. A `Watch` answers at once, as a `Get`; see [`Self::changed`].
    ///
    /// # Panics
    ///
    /// When the value of a `Put` is larger than [`VALUE_MAX_BYTES`]: no correct client sends it.
    pub fn handle(&mut self, request: &StoreRequest, now: Moment) -> StoreReply {
        self.expire(now);
        self.count(request);
        if let Some(retry) = self.over_rate(request, now) {
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

    /// Tells whether a watch that knows `after` has something to hear: the key was written since,
    /// or is gone.
    pub fn changed(&self, key: &str, after: Revision) -> bool {
        match self.find(key) {
            Ok(i) => self.entries[i].record.at > after,
            Err(_) => after > Revision::default(),
        }
    }

    /// Removes the keys whose lease is over.
    pub fn expire(&mut self, now: Moment) {
        let before = self.entries.len();
        self.entries.retain(|e| e.lease.as_ref().is_none_or(|lease| lease.until > now));
        self.revision.0 += (before - self.entries.len()) as u64;
    }

    /// Answers what a watch that is over hears; its call was counted when it began.
    pub fn peek(&self, key: &str) -> StoreReply {
        self.found(key)
    }

    /// Returns the counters of calls.
    pub fn counts(&self) -> CallCounts {
        self.counts
    }

    /// Returns all records in the order of their keys, without counting a call.
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
        let place = self.find(key);
        let holds = match (expect, place) {
            (Expect::Absent, Err(_)) => true,
            (Expect::At(at), Ok(i)) => self.entries[i].record.at == at,
            _ => false,
        };
        if !holds {
            return StoreReply::Conflict { record: self.record(key) };
        }
        let at = self.next();
        let record = Record { key: key.to_string(), value: value.to_string(), at };
        let lease = lease.map(|length| Lease { length, until: now + length });
        let entry = Entry { record, lease };
        match place {
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
        StoreReply::Done { at: self.next() }
    }

    fn next(&mut self) -> Revision {
        self.revision.0 += 1;
        self.revision
    }

    fn count(&mut self, request: &StoreRequest) {
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

    fn over_rate(&mut self, request: &StoreRequest, now: Moment) -> Option<Span> {
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
