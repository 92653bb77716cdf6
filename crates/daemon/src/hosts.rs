//! The workers of the own failure domain, from the platform's lagging list and from themselves.
//!
//! The list is a hint. A worker that the list shows is taken for gone once it has been silent for
//! so long that its leases have surely lapsed, and one that the list shows no more stays for as
//! long as it answers.

#[cfg(test)]
mod tests;

use bulrushlink_api::{EdgeFault, Host, HostList, Revision, WorkerRow};
use bulrushlink_core::{DomainId, Moment, Span, WorkerId};

use crate::edge::{CallId, Context};
use crate::hash::rank;
use crate::settings::Settings;
use crate::timer::{Repeat, jitter};

/// Allowance beyond the lease before a silent worker is taken for lost: the time between two
/// signs of life of a worker that lives.
const LOST_MARGIN: Span = Span::from_secs(15);
/// The longest wait after a fault of reading the list.
const FAULT_WAIT_MAX: Span = Span::from_secs(8);
/// Time between two searches for workers that have become silent.
const SWEEP_PERIOD: Span = Span::from_secs(1);

/// What is known of one worker of the own failure domain.
#[derive(Debug)]
struct Entry {
    host: Host,
    /// Whether the latest list has it.
    listed: bool,
    /// Its own word that it leaves.
    leaving: bool,
    /// Accelerators with a task, when this daemon was told last.
    busy: Option<u8>,
    /// When it was heard from last, or taken up.
    seen: Moment,
}

/// Workers as the platform and they themselves describe them.
#[derive(Debug)]
pub(crate) struct Hosts {
    domain: DomainId,
    /// Silence after which the leases of a worker have surely lapsed.
    lapse: Span,
    read: Repeat,
    /// All workers of the latest list, sorted by worker.
    all: Vec<Host>,
    /// The latest list, if its changes can be asked for.
    at: Option<Revision>,
    /// The workers of the own failure domain, sorted by worker; those too that are lost.
    entries: Vec<Entry>,
    /// What `entries` show to others; lost workers are not in it.
    own: Vec<Host>,
    generation: u64,
    /// Grows with every change of the set of `entries`.
    known_generation: u64,
    /// When the next search for silent workers is due.
    sweep: Moment,
    /// Whether this daemon hears of all workers of the domain, and so may take one for lost.
    hears_all: bool,
    rng: fastrand::Rng,
}

impl Hosts {
    pub(crate) fn open(settings: &Settings, now: Moment, incarnation: u64) -> Self {
        let seed = rank(settings.daemon.as_str(), "hosts") ^ incarnation;
        Self {
            domain: settings.domain().clone(),
            lapse: settings.timing.lease + LOST_MARGIN,
            read: Repeat::open(now),
            all: Vec::new(),
            at: None,
            entries: Vec::new(),
            own: Vec::new(),
            generation: 0,
            known_generation: 0,
            sweep: now,
            hears_all: false,
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Reads the list when that is due.
    pub(crate) fn tick(&mut self, cx: &mut Context<'_>) {
        let timing = &cx.settings.timing;
        if self.read.is_due(cx.now, timing.store + timing.store) {
            let call = cx.out.hosts(self.at);
            self.read.sent(call, cx.now);
        }
        if cx.now >= self.sweep {
            self.sweep = cx.now + SWEEP_PERIOD;
            self.refresh(cx.now);
        }
    }

    /// Takes a list. A fault changes nothing: the last list goes on.
    pub(crate) fn on_hosts(
        &mut self,
        call: CallId,
        result: Result<HostList, EdgeFault>,
        cx: &mut Context<'_>,
    ) {
        if self.read.answered(call).is_none() {
            return;
        }
        let period = cx.settings.timing.hosts;
        match result {
            Ok(list) => {
                self.read.after(jitter(period, &mut self.rng), cx.now);
                self.take(list, cx.now);
            }
            Err(_) => self.read.back_off((period, FAULT_WAIT_MAX), cx.now, &mut self.rng),
        }
    }

    fn take(&mut self, mut list: HostList, now: Moment) {
        list.hosts.sort_by(|a, b| a.id.cmp(&b.id));
        list.hosts.dedup_by(|a, b| a.id == b.id);
        if list.since.is_some() {
            return self.take_changes(list, now);
        }
        self.at = list.at;
        for entry in &mut self.entries {
            entry.listed = false;
        }
        for host in &list.hosts {
            self.list(host, now);
        }
        self.all = list.hosts;
        self.refresh(now);
    }

    /// Takes what has changed since the latest list. Changes of another list, or a number of
    /// workers that doesn't come out, make the next reading a whole one.
    fn take_changes(&mut self, list: HostList, now: Moment) {
        if list.since != self.at {
            self.at = None;
            return;
        }
        for host in &list.hosts {
            match self.all.binary_search_by(|old| old.id.cmp(&host.id)) {
                Ok(i) => self.all[i] = host.clone(),
                Err(i) => self.all.insert(i, host.clone()),
            }
            self.unlist(&host.id);
            self.list(host, now);
        }
        for worker in &list.gone {
            if let Ok(i) = self.all.binary_search_by(|old| old.id.cmp(worker)) {
                self.all.remove(i);
            }
            self.unlist(worker);
        }
        self.at = list.at.filter(|_| list.count == self.all.len());
        if !list.hosts.is_empty() || !list.gone.is_empty() {
            self.refresh(now);
        }
    }

    /// Notes that the list shows a worker; one of another failure domain doesn't matter.
    fn list(&mut self, host: &Host, now: Moment) {
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
                let entry = Entry { host, listed: true, leaving: false, busy: None, seen: now };
                self.entries.insert(i, entry);
                self.known_generation += 1;
            }
        }
    }

    fn unlist(&mut self, worker: &WorkerId) {
        if let Ok(i) = self.entries.binary_search_by(|entry| entry.host.id.cmp(worker)) {
            self.entries[i].listed = false;
        }
    }

    /// Takes a worker's own word that it leaves or not; it goes before the list's, but for a
    /// list that says that it leaves: new work stays away from a worker of which either says so.
    pub(crate) fn on_leaving(&mut self, worker: &WorkerId, leaving: bool, now: Moment) {
        self.hear(worker, Some(leaving), now);
    }

    /// Takes the number of accelerators with a task.
    pub(crate) fn on_busy(&mut self, worker: &WorkerId, busy: u8) {
        if let Ok(i) = self.entries.binary_search_by(|entry| entry.host.id.cmp(worker)) {
            self.entries[i].busy = Some(busy);
        }
    }

    /// Notes a sign of life of a worker that says nothing about leaving.
    pub(crate) fn on_alive(&mut self, worker: &WorkerId, now: Moment) {
        self.hear(worker, None, now);
    }

    fn hear(&mut self, worker: &WorkerId, leaving: Option<bool>, now: Moment) {
        let found = self.entries.binary_search_by(|entry| entry.host.id.cmp(worker));
        let Some(entry) = found.ok().map(|i| &mut self.entries[i]) else { return };
        let back = now.since(entry.seen) > self.lapse;
        let news = leaving.is_some_and(|leaving| entry.leaving != leaving);
        entry.seen = now;
        entry.leaving = leaving.unwrap_or(entry.leaving);
        if news || back {
            self.refresh(now);
        }
    }

    /// Tells whether this daemon is the one that hears of all workers of the domain. Only then
    /// does silence say anything, counted from the moment at which that began.
    pub(crate) fn set_hears_all(&mut self, hears_all: bool, now: Moment) {
        if hears_all && !self.hears_all {
            for entry in &mut self.entries {
                entry.seen = now;
            }
        }
        self.hears_all = hears_all;
    }

    fn refresh(&mut self, now: Moment) {
        let (lapse, hears) = (self.lapse, self.hears_all);
        let silent = |entry: &Entry| now.since(entry.seen) > lapse;
        let before = self.entries.len();
        self.entries.retain(|entry| entry.listed || !silent(entry));
        self.known_generation += (before - self.entries.len()) as u64;
        let shown = self.entries.iter().filter(|entry| !(hears && silent(entry)));
        let own: Vec<_> = shown.map(Entry::shown).collect();
        if own != self.own {
            self.own = own;
            self.generation += 1;
        }
    }

    /// Lists the workers of the own failure domain, sorted by worker, with `leaving` as known.
    pub(crate) fn own(&self) -> &[Host] {
        &self.own
    }

    /// Lists the workers of the own failure domain to talk to, the lost ones too, sorted.
    pub(crate) fn known(&self) -> impl Iterator<Item = &Host> {
        self.entries.iter().map(|entry| &entry.host)
    }

    /// Returns a worker that [`Self::known`] lists.
    pub(crate) fn find(&self, worker: &WorkerId) -> Option<&Host> {
        let i = self.entries.binary_search_by(|entry| entry.host.id.cmp(worker)).ok()?;
        Some(&self.entries[i].host)
    }

    /// Grows with every change of the set of workers that [`Self::known`] lists.
    pub(crate) fn known_generation(&self) -> u64 {
        self.known_generation
    }

    /// Lists the workers of all failure domains, sorted by worker.
    pub(crate) fn all(&self) -> &[Host] {
        &self.all
    }

    /// Grows with every change of what [`Self::own`] returns.
    pub(crate) fn generation(&self) -> u64 {
        self.generation
    }

    /// Lists the workers of a failure domain for operators, sorted by worker. Of another domain's
    /// workers just the list is known.
    pub(crate) fn rows(&self, domain: &DomainId, now: Moment) -> Vec<WorkerRow> {
        if *domain == self.domain {
            return self.entries.iter().map(|entry| self.own_row(entry, now)).collect();
        }
        let hosts = self.all.iter().filter(|host| host.domain == *domain);
        hosts.map(|host| row(host, if host.leaving { "leaving" } else { "live" }, None)).collect()
    }

    fn own_row(&self, entry: &Entry, now: Moment) -> WorkerRow {
        let state = match entry.shown().leaving {
            _ if self.hears_all && now.since(entry.seen) > self.lapse => "lost",
            true => "leaving",
            false => "live",
        };
        row(&entry.host, state, entry.busy)
    }

    /// Returns the state for a dump.
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
    fn shown(&self) -> Host {
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
