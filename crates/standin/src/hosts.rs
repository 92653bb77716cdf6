//! The platform's list of hosts, which tells of every change with a lag.

use bulrushlink_api::{Host, HostList};
use bulrushlink_core::{Moment, Span, WorkerId};
use std::collections::VecDeque;

#[cfg(test)]
mod tests;

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
}

impl HostTable {
    /// Opens a list without hosts.
    pub fn open(lag: Span) -> Self {
        Self { lag, hosts: Vec::new(), pending: VecDeque::new() }
    }

    /// Answers what the list shows at `now`.
    pub fn handle(&mut self, now: Moment) -> HostList {
        while self.pending.front().is_some_and(|p| p.visible <= now) {
            let pending = self.pending.pop_front().expect("a front was seen");
            self.apply(pending.change);
        }
        HostList { hosts: self.hosts.clone() }
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
