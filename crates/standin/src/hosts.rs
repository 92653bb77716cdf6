//! The platform's list of hosts, which tells of every change with a lag.

use bulrushlink_api::{Host, HostList, Revision};
use bulrushlink_core::{Moment, Span, WorkerId};
use std::collections::VecDeque;

#[cfg(test)]
mod tests;

/// Changes that the list remembers.
const MEMORY_CHANGES: usize = 4_096;

#[derive(Debug)]
enum Change {
    Add(Host),
    Leave(WorkerId),
    Remove(WorkerId),
}

#[derive(Debug)]
struct Pending {
    visible: Moment,
    change: Change,
}

/// The list of hosts; a change becomes visible one lag after it was made.
#[derive(Debug)]
pub struct HostTable {
    lag: Span,
    /// What the list shows; sorted by worker.
    hosts: Vec<Host>,
    /// In the order in which they become visible.
    pending: VecDeque<Pending>,
    /// Grows with every visible change.
    at: Revision,
    /// The latest visible changes, in the order of their revisions.
    changed: VecDeque<(Revision, WorkerId)>,
}

impl HostTable {
    /// Opens a list without hosts.
    pub fn open(lag: Span) -> Self {
        Self::open_at(lag, Revision::default())
    }

    /// Opens a list without hosts that counts its changes from `at`: a list that takes the place
    /// of another one must not use its revisions again.
    pub fn open_at(lag: Span, at: Revision) -> Self {
        Self { lag, hosts: Vec::new(), pending: VecDeque::new(), at, changed: VecDeque::new() }
    }

    /// Answers what the list shows at `now`.
    pub fn handle(&mut self, now: Moment) -> HostList {
        while self.pending.front().is_some_and(|p| p.visible <= now) {
            let pending = self.pending.pop_front().expect("a front was seen");
            self.apply(pending.change);
        }
        HostList { at: Some(self.at), ..HostList::whole(self.hosts.clone()) }
    }

    /// Answers what has changed after the list `after`, or the whole list when that isn't known.
    pub fn handle_after(&mut self, after: Option<Revision>, now: Moment) -> HostList {
        let whole = self.handle(now);
        let oldest = self.changed.front().map_or(self.at, |(at, _)| Revision(at.0 - 1));
        let Some(after) = after.filter(|after| (oldest..=self.at).contains(after)) else {
            return whole;
        };
        let changed = self.changed.iter().filter(|(at, _)| *at > after);
        let mut names: Vec<_> = changed.map(|(_, id)| id.clone()).collect();
        names.sort();
        names.dedup();
        let find = |id: &WorkerId| whole.hosts.binary_search_by(|h| h.id.cmp(id)).ok();
        let hosts = names.iter().filter_map(find).map(|i| whole.hosts[i].clone()).collect();
        let gone = names.into_iter().filter(|id| find(id).is_none()).collect();
        HostList { hosts, at: whole.at, since: Some(after), gone, count: whole.count }
    }

    /// Adds a host, or replaces the one of that name.
    pub fn add(&mut self, host: Host, now: Moment) {
        self.push(Change::Add(host), now);
    }

    /// Marks a host as about to leave.
    pub fn leave(&mut self, worker: &WorkerId, now: Moment) {
        self.push(Change::Leave(worker.clone()), now);
    }

    /// Removes a host.
    pub fn remove(&mut self, worker: &WorkerId, now: Moment) {
        self.push(Change::Remove(worker.clone()), now);
    }

    fn push(&mut self, change: Change, now: Moment) {
        self.pending.push_back(Pending { visible: now + self.lag, change });
    }

    fn apply(&mut self, change: Change) {
        self.at.0 += 1;
        let name = match &change {
            Change::Add(host) => &host.id,
            Change::Leave(id) | Change::Remove(id) => id,
        };
        self.changed.push_back((self.at, name.clone()));
        if self.changed.len() > MEMORY_CHANGES {
            self.changed.pop_front();
        }
        let find = |hosts: &[Host], id: &WorkerId| hosts.binary_search_by(|h| h.id.cmp(id));
        match change {
            Change::Add(host) => match find(&self.hosts, &host.id) {
                Ok(i) => self.hosts[i] = host,
                Err(i) => self.hosts.insert(i, host),
            },
            Change::Leave(id) => {
                if let Ok(i) = find(&self.hosts, &id) {
                    self.hosts[i].leaving = true;
                }
            }
            Change::Remove(id) => {
                if let Ok(i) = find(&self.hosts, &id) {
                    self.hosts.remove(i);
                }
            }
        }
    }
}
