//! The platform's list of hosts, in which each change appears with a delay.

use bulrushlink_api::{Host, HostList, Revision};
use bulrushlink_core::{Moment, Span, WorkerId};
use std::collections::VecDeque;

#[cfg(test)]
mod tests;

/// Number of recent changes that the list keeps for queries of changes.
const MAX_RECENT_CHANGES: usize = 4_096;

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

/// The list of hosts. A change becomes visible `lag` after it was made.
#[derive(Debug)]
pub struct HostTable {
    lag: Span,
    /// Visible hosts, sorted by worker.
    hosts: Vec<Host>,
    /// Changes that aren't visible yet, in the order in which they become so.
    pending: VecDeque<Pending>,
    /// Revision of the visible list; grows with every visible change.
    at: Revision,
    /// Latest visible changes, sorted by revision.
    recent_changes: VecDeque<(Revision, WorkerId)>,
}

impl HostTable {
    /// Creates an empty list.
    pub fn open(lag: Span) -> Self {
        Self::open_at(lag, Revision::default())
    }

    /// Creates an empty list whose first revision is `at`. A list that replaces another one must
    /// not reuse its revisions.
    pub fn open_at(lag: Span, at: Revision) -> Self {
        Self {
            lag,
            hosts: Vec::new(),
            pending: VecDeque::new(),
            at,
            recent_changes: VecDeque::new(),
        }
    }

    /// Returns the full list that is visible at `now`.
    pub fn handle(&mut self, now: Moment) -> HostList {
        while self.pending.front().is_some_and(|p| p.visible <= now) {
            let pending = self.pending.pop_front().expect("the queue has a front");
            self.apply(pending.change);
        }
        HostList { at: Some(self.at), ..HostList::full(self.hosts.clone()) }
    }

    /// Returns the changes after the revision `after`, or the full list if `after` is `None`,
    /// unknown or too old.
    pub fn handle_after(&mut self, after: Option<Revision>, now: Moment) -> HostList {
        let full = self.handle(now);
        let oldest = self.recent_changes.front().map_or(self.at, |(at, _)| Revision(at.0 - 1));
        let Some(after) = after.filter(|after| (oldest..=self.at).contains(after)) else {
            return full;
        };
        let changed = self.recent_changes.iter().filter(|(at, _)| *at > after);
        let mut ids: Vec<_> = changed.map(|(_, id)| id.clone()).collect();
        ids.sort();
        ids.dedup();
        let find = |id: &WorkerId| full.hosts.binary_search_by(|h| h.id.cmp(id)).ok();
        let hosts = ids.iter().filter_map(find).map(|i| full.hosts[i].clone()).collect();
        let gone = ids.into_iter().filter(|id| find(id).is_none()).collect();
        HostList { hosts, at: full.at, since: Some(after), gone, count: full.count }
    }

    /// Adds a host, or replaces the one of the same worker.
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
        let id = match &change {
            Change::Add(host) => &host.id,
            Change::Leave(id) | Change::Remove(id) => id,
        };
        self.recent_changes.push_back((self.at, id.clone()));
        if self.recent_changes.len() > MAX_RECENT_CHANGES {
            self.recent_changes.pop_front();
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
