//! The workers of this daemon's failure domain, as known from the platform's host list and from
//! the workers' own replies.
//!
//! The host list lags and is only a hint. A listed worker counts as lost once it has been silent
//! for so long that its leases have certainly expired. A worker that is no longer listed is kept
//! for as long as it replies.

#[cfg(test)]
mod tests;

use bulrushlink_api::{EdgeFault, Host, HostList, Revision, WorkerRow};
use bulrushlink_core::{DomainId, Moment, Span, WorkerId};

use crate::edge::{CallId, Context};
use crate::hash::rank;
use crate::settings::Settings;
use crate::timer::{RepeatedCall, jitter};

/// Silence beyond the lease after which a worker counts as lost; covers the interval between two
/// signs of life of a live worker.
const LOST_MARGIN: Span = Span::from_secs(15);
/// Maximum backoff after a failed read of the host list.
const BACKOFF_MAX: Span = Span::from_secs(8);
/// Time between two checks for workers that have become silent.
const SWEEP_INTERVAL: Span = Span::from_secs(1);

/// State of one worker of this daemon's failure domain.
#[derive(Debug)]
struct Entry {
    host: Host,
    /// Whether the latest host list contains it.
    listed: bool,
    /// Whether the worker itself last said that it is leaving.
    leaving: bool,
    /// Number of accelerators with a task, as last reported; `None` before the first report.
    busy: Option<u8>,
    /// Time of the last sign of life, or of the first listing if there was none yet.
    last_seen: Moment,
}

/// Workers as described by the host list and by their own replies.
#[derive(Debug)]
pub(crate) struct Hosts {
    domain: DomainId,
    /// Silence after which the leases of a worker have certainly expired.
    lost_after: Span,
    read: RepeatedCall,
    /// All workers of the latest host list, sorted by worker.
    all: Vec<Host>,
    /// Revision of the latest host list; `None` if the next read has to be a full one.
    revision: Option<Revision>,
    /// Number of hosts of the latest full list that can't be read.
    unreadable: usize,
    /// The workers of this daemon's failure domain, the lost ones included, sorted by worker.
    entries: Vec<Entry>,
    /// The hosts of `entries` without the lost ones, with the effective `leaving` flag.
    own: Vec<Host>,
    /// Increases with every change of `own`.
    generation: u64,
    /// Increases with every change of the set of `entries`.
    known_generation: u64,
    /// When the next check for silent workers is due.
    next_sweep: Moment,
    /// Whether this daemon receives the signs of life of all workers of the domain. Only then does
    /// silence show that a worker is lost.
    receives_all: bool,
    rng: fastrand::Rng,
}

impl Hosts {
    pub(crate) fn open(settings: &Settings, now: Moment, incarnation: u64) -> Self {
        let seed = rank(settings.daemon.as_str(), "hosts") ^ incarnation;
        Self {
            domain: settings.domain().clone(),
            lost_after: settings.timing.lease + LOST_MARGIN,
            read: RepeatedCall::open(now),
            all: Vec::new(),
            revision: None,
            unreadable: 0,
            entries: Vec::new(),
            own: Vec::new(),
            generation: 0,
            known_generation: 0,
            next_sweep: now,
            receives_all: false,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Reads the host list and checks for silent workers when that is due.
    pub(crate) fn tick(&mut self, cx: &mut Context<'_>) {
        let timing = &cx.settings.timing;
        if self.read.is_due(cx.now, timing.store + timing.store) {
            let call = cx.out.hosts(self.revision);
            self.read.on_sent(call, cx.now);
        }
        if cx.now >= self.next_sweep {
            self.next_sweep = cx.now + SWEEP_INTERVAL;
            self.refresh(cx.now);
        }
    }

    /// Handles the result of a read of the host list. A fault leaves the last list in effect.
    pub(crate) fn on_hosts(
        &mut self,
        call: CallId,
        result: Result<HostList, EdgeFault>,
        cx: &mut Context<'_>,
    ) {
        if self.read.on_reply(call).is_none() {
            return;
        }
        let interval = cx.settings.timing.hosts;
        match result {
            Ok(list) => {
                self.read.schedule(jitter(interval, &mut self.rng), cx.now);
                self.apply_list(list, cx.now);
            }
            Err(_) => self.read.back_off((interval, BACKOFF_MAX), cx.now, &mut self.rng),
        }
    }

    fn apply_list(&mut self, mut list: HostList, now: Moment) {
        let unreadable = list.count.saturating_sub(list.hosts.len());
        if list.since.is_none() && unreadable != self.unreadable {
            log::warn!(event = "hosts_unread", hosts = unreadable; "number of unreadable hosts in the list has changed");
            self.unreadable = unreadable;
        }
        list.hosts.sort_by(|a, b| a.id.cmp(&b.id));
        list.hosts.dedup_by(|a, b| a.id == b.id);
        if list.since.is_some() {
            return self.apply_changes(list, now);
        }
        self.revision = list.at;
        for entry in &mut self.entries {
            entry.listed = false;
        }
        for host in &list.hosts {
            self.mark_listed(host, now);
        }
        self.all = list.hosts;
        self.refresh(now);
    }

    /// Applies the changes since the latest list. If they are relative to another list, or if the
    /// resulting number of workers is wrong, the next read requests the full list.
    fn apply_changes(&mut self, list: HostList, now: Moment) {
        if list.since != self.revision {
            self.revision = None;
            return;
        }
        for host in &list.hosts {
            match self.all.binary_search_by(|old| old.id.cmp(&host.id)) {
                Ok(i) => self.all[i] = host.clone(),
                Err(i) => self.all.insert(i, host.clone()),
            }
            self.mark_unlisted(&host.id);
            self.mark_listed(host, now);
        }
        for worker in &list.gone {
            if let Ok(i) = self.all.binary_search_by(|old| old.id.cmp(worker)) {
                self.all.remove(i);
            }
            self.mark_unlisted(worker);
        }
        self.revision = list.at.filter(|_| list.count == self.all.len());
        if !list.hosts.is_empty() || !list.gone.is_empty() {
            self.refresh(now);
        }
    }

    /// Records that the host list contains `host`; has no effect for one of another failure domain.
    fn mark_listed(&mut self, host: &Host, now: Moment) {
        if host.domain != self.domain {
            return;
        }
        let host = host.clone();
        match self.entries.binary_search_by(|entry| entry.host.id.cmp(&host.id)) {
            Ok(i) => {
                self.entries[i].host = host;
                self.entries[i].listed = true;
            }
            Err(i) => {
                let entry =
                    Entry { host, listed: true, leaving: false, busy: None, last_seen: now };
                self.entries.insert(i, entry);
                self.known_generation += 1;
            }
        }
    }

    /// Records that the host list no longer contains `worker`.
    fn mark_unlisted(&mut self, worker: &WorkerId) {
        if let Ok(i) = self.entries.binary_search_by(|entry| entry.host.id.cmp(worker)) {
            self.entries[i].listed = false;
        }
    }

    /// Records a reply of a worker, which is a sign of life and says whether the worker is leaving.
    /// No new work goes to a worker if either the worker or the host list says that it is leaving.
    pub(crate) fn on_worker_reply(&mut self, worker: &WorkerId, leaving: bool, now: Moment) {
        self.record_seen(worker, Some(leaving), now);
    }

    /// Records the number of a worker's accelerators with a task.
    pub(crate) fn on_worker_busy(&mut self, worker: &WorkerId, busy: u8) {
        if let Ok(i) = self.entries.binary_search_by(|entry| entry.host.id.cmp(worker)) {
            self.entries[i].busy = Some(busy);
        }
    }

    /// Records a sign of life of a worker that says nothing about leaving.
    pub(crate) fn on_worker_seen(&mut self, worker: &WorkerId, now: Moment) {
        self.record_seen(worker, None, now);
    }

    fn record_seen(&mut self, worker: &WorkerId, leaving: Option<bool>, now: Moment) {
        let found = self.entries.binary_search_by(|entry| entry.host.id.cmp(worker));
        let Some(entry) = found.ok().map(|i| &mut self.entries[i]) else { return };
        let was_silent = now.since(entry.last_seen) > self.lost_after;
        let changed = leaving.is_some_and(|leaving| entry.leaving != leaving);
        entry.last_seen = now;
        entry.leaving = leaving.unwrap_or(entry.leaving);
        if changed || was_silent {
            self.refresh(now);
        }
    }

    /// Sets whether this daemon receives the signs of life of all workers of the domain. Only then
    /// does silence show that a worker is lost; it is measured from the moment at which this
    /// became true.
    pub(crate) fn set_receives_all(&mut self, receives_all: bool, now: Moment) {
        if receives_all && !self.receives_all {
            for entry in &mut self.entries {
                entry.last_seen = now;
            }
        }
        self.receives_all = receives_all;
    }

    /// Drops silent workers that are not listed, and recomputes `own`.
    fn refresh(&mut self, now: Moment) {
        let (lost_after, receives_all) = (self.lost_after, self.receives_all);
        let silent = |entry: &Entry| now.since(entry.last_seen) > lost_after;
        let before = self.entries.len();
        self.entries.retain(|entry| entry.listed || !silent(entry));
        self.known_generation += (before - self.entries.len()) as u64;
        let present = self.entries.iter().filter(|entry| !(receives_all && silent(entry)));
        let own: Vec<_> = present.map(Entry::effective_host).collect();
        if own != self.own {
            self.own = own;
            self.generation += 1;
        }
    }

    /// Returns the workers of this daemon's failure domain that are not lost, sorted by worker.
    /// Their `leaving` flag is set if the worker or the host list says so.
    pub(crate) fn own(&self) -> &[Host] {
        &self.own
    }

    /// Returns all workers of this daemon's failure domain that are still to be called, the lost
    /// ones included, sorted by worker.
    pub(crate) fn known(&self) -> impl Iterator<Item = &Host> {
        self.entries.iter().map(|entry| &entry.host)
    }

    /// Returns the host of a worker of [`Self::known`].
    pub(crate) fn find(&self, worker: &WorkerId) -> Option<&Host> {
        let i = self.entries.binary_search_by(|entry| entry.host.id.cmp(worker)).ok()?;
        Some(&self.entries[i].host)
    }

    /// Returns a counter that increases with every change of the set of workers of
    /// [`Self::known`].
    pub(crate) fn known_generation(&self) -> u64 {
        self.known_generation
    }

    /// Returns the workers of all failure domains, as listed, sorted by worker.
    pub(crate) fn all(&self) -> &[Host] {
        &self.all
    }

    /// Returns a counter that increases with every change of [`Self::own`].
    pub(crate) fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the workers of a failure domain for operators, sorted by worker. Those of another
    /// domain are known from the host list only.
    pub(crate) fn rows(&self, domain: &DomainId, now: Moment) -> Vec<WorkerRow> {
        if *domain == self.domain {
            return self.entries.iter().map(|entry| self.own_row(entry, now)).collect();
        }
        let hosts = self.all.iter().filter(|host| host.domain == *domain);
        hosts.map(|host| row(host, if host.leaving { "leaving" } else { "live" }, None)).collect()
    }

    fn own_row(&self, entry: &Entry, now: Moment) -> WorkerRow {
        let state = match entry.effective_host().leaving {
            _ if self.receives_all && now.since(entry.last_seen) > self.lost_after => "lost",
            true => "leaving",
            false => "live",
        };
        row(&entry.host, state, entry.busy)
    }

    /// Returns the hosts section of the operators' state dump.
    pub(crate) fn dump(&self) -> serde_json::Value {
        let unlisted = self.entries.iter().filter(|entry| !entry.listed);
        serde_json::json!({
            "all": self.all.len(),
            "own": self.own,
            "unlisted": unlisted.map(|entry| &entry.host.id).collect::<Vec<_>>(),
            "faults": self.read.faults(),
            "generation": self.generation,
        })
    }
}

impl Entry {
    /// Returns the host with `leaving` set if the worker or the host list says so.
    fn effective_host(&self) -> Host {
        Host { leaving: self.leaving || self.host.leaving, ..self.host.clone() }
    }
}

fn row(host: &Host, state: &str, busy: Option<u8>) -> WorkerRow {
    WorkerRow {
        id: host.id.clone(),
        rack: host.rack.clone(),
        state: state.to_string(),
        accelerators: host.accelerators,
        busy,
    }
}
