//! Capacity of a worker that changes while it is used.

use bulrushlink_fleet::{Resources, WorkerOp};

use super::{FleetWorker, FleetWorkerBounds};

/// Interval between heartbeats of a worker; its entry shows a new capacity with the next one.
const HEARTBEAT_MS: u64 = 1_500;
/// Time for which starts still count by the capacity that the entry showed before: `stableWindowMs`
/// of the smallest site.
const STABLE_WINDOW_MS: u64 = 3_000;

/// A capacity that a worker had before.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EarlierRoom {
    capacity: Resources,
    replaced: u64,
    /// When the worker's entry first showed a later capacity.
    hidden: Option<u64>,
}

impl FleetWorker {
    /// Changes the capacity; what runs goes on.
    pub fn resize(&mut self, now: u64, capacity: Resources) {
        let earlier = EarlierRoom { capacity: self.entry.capacity, replaced: now, hidden: None };
        self.earlier_rooms.push(earlier);
        self.entry.capacity = capacity;
    }

    /// Lets the entry show the changes that are a heartbeat old; returns true if there are any.
    pub fn pass_heartbeat(&mut self, now: u64) -> bool {
        let due = |r: &&mut EarlierRoom| r.hidden.is_none() && now >= r.replaced + HEARTBEAT_MS;
        let due = self.earlier_rooms.iter_mut().filter(due);
        due.map(|r| r.hidden = Some(now)).count() > 0
    }

    /// Returns the earlier capacities after a boot, which shows the present one at once.
    pub(crate) fn rooms_after_boot(&self, now: u64) -> Vec<EarlierRoom> {
        let hide = |r: &EarlierRoom| EarlierRoom { hidden: r.hidden.or(Some(now)), ..*r };
        self.earlier_rooms.iter().map(hide).collect()
    }

    /// Returns the capacity that the entry shows.
    pub fn shown_capacity(&self) -> Resources {
        let shown = self.earlier_rooms.iter().find(|r| r.hidden.is_none());
        shown.map_or(self.entry.capacity, |r| r.capacity)
    }

    /// Returns when a start was sent, as far as its lease tells.
    pub(crate) fn sent_at(&self, now: u64, op: &WorkerOp, bounds: &FleetWorkerBounds) -> u64 {
        let WorkerOp::Start { lease_end, .. } = op else { return now };
        let latest_end = self.clock(now) + bounds.lease_max;
        now.saturating_sub(latest_end.saturating_sub(*lease_end))
    }

    /// Returns what the runs take if the start that was just carried out has brought the worker over
    /// its capacity. A start that was carried out late counts by the time at which it was sent, which
    /// its lease tells.
    pub(crate) fn excessive_use(
        &self,
        now: u64,
        op: &WorkerOp,
        bounds: &FleetWorkerBounds,
    ) -> Option<Resources> {
        let sent = self.sent_at(now, op, bounds);
        let used = self.used();
        (!self.allowed_capacity(sent).fits(&used)).then_some(used)
    }

    /// Returns the most that may run here after a start that was sent at a given time: the present
    /// capacity, or an earlier one that still counts.
    pub fn allowed_capacity(&self, sent: u64) -> Resources {
        let counts =
            |r: &&EarlierRoom| r.hidden.is_none_or(|hidden| sent < hidden + STABLE_WINDOW_MS);
        let counted = self.earlier_rooms.iter().filter(counts);
        counted.fold(self.entry.capacity, |most, room| Resources {
            cpu: most.cpu.max(room.capacity.cpu),
            memory: most.memory.max(room.capacity.memory),
            accelerators: most.accelerators.max(room.capacity.accelerators),
        })
    }
}

#[cfg(test)]
mod tests;
