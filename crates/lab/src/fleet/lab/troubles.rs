//! Effects of the planned faults.

use bulrushlink_core::Span;
use bulrushlink_fleet::{Input, Run, TaskId, WorkerState};

use super::{Daemon, Event, EventLoop, FleetLab, Trouble};

/// Time from a graceful stop of a daemon to its restart.
const RESTART_MS: u64 = 5_000;
/// Time before and after a trouble within which it counts as near: a takeover ends within it.
const TROUBLE_RANGE_MS: u64 = 3_000;

impl Trouble {
    /// Returns for how long it lasts, in milliseconds.
    pub(super) fn length(self) -> u64 {
        match self {
            Self::Freeze(_, millis)
            | Self::CutStore(_, millis)
            | Self::CutWorker(_, millis)
            | Self::Drain(_, millis)
            | Self::StoreDown(millis)
            | Self::StorePaused(millis)
            | Self::SlowStore(_, millis)
            | Self::SilenceWatches(millis) => millis,
            Self::Restart(_) => RESTART_MS,
            Self::Kill(_)
            | Self::KillPlacer
            | Self::Reboot(_)
            | Self::Remove(_)
            | Self::LapseLeases
            | Self::Compact
            | Self::Failing(..)
            | Self::Hanging(..)
            | Self::Slow(..)
            | Self::Resize(..)
            | Self::KillAll
            | Self::Allot(..) => 0,
        }
    }
}

impl FleetLab {
    /// Returns true if a trouble is near, or calls are lost or late.
    pub(super) fn is_troubled(&self) -> bool {
        let (from, until) =
            (self.now.saturating_sub(TROUBLE_RANGE_MS), self.now + TROUBLE_RANGE_MS);
        let near = |(began, ended): &(u64, u64)| *began <= until && *ended >= from;
        !self.quiet || self.troubles.iter().any(near)
    }

    pub(super) fn apply_trouble(&mut self, trouble: Trouble) {
        let now = self.now;
        self.record.add_trace(now, format!("trouble: {trouble:?}"));
        match trouble {
            Trouble::Kill(daemon) => self.restart(daemon),
            Trouble::KillPlacer => {
                if let Some(daemon) = self.placer() {
                    self.restart(daemon);
                }
            }
            Trouble::Restart(daemon) => {
                self.deliver(daemon, Input::Stop);
                self.schedule(now + RESTART_MS, Event::Trouble(Trouble::Kill(daemon)));
            }
            Trouble::Freeze(daemon, millis) => self.daemons[daemon].frozen_until = now + millis,
            Trouble::CutStore(daemon, millis) => self.daemons[daemon].cut_until = now + millis,
            Trouble::CutWorker(worker, millis) => self.cut_until[worker] = now + millis,
            Trouble::Reboot(worker) => {
                self.crash(worker);
                self.workers[worker].reboot(now);
                self.publish_workers();
            }
            Trouble::Remove(worker) => self.remove(worker),
            Trouble::Drain(worker, millis) => {
                self.workers[worker].entry.state = WorkerState::Draining;
                self.workers[worker].entry.notice = Some(Span(millis));
                self.publish_workers();
                let born = self.workers[worker].entry.born;
                self.schedule(now + millis, Event::Leave(worker, born));
            }
            Trouble::StoreDown(millis) => {
                self.down_until = now + millis;
                self.watches.clear();
            }
            Trouble::StorePaused(millis) => {
                self.store.keys.extend_all(millis);
                self.down_until = now + millis;
                self.watches.clear();
            }
            Trouble::LapseLeases => self.store.keys.expire_all(),
            Trouble::Compact => self.store.keys.compact(),
            Trouble::SlowStore(latency, millis) => self.store_latency = (latency, now + millis),
            Trouble::SilenceWatches(millis) => self.silent_until = now + millis,
            Trouble::Failing(worker, on) => self.workers[worker].failing = on,
            Trouble::Hanging(worker, on) => self.workers[worker].hanging = on,
            Trouble::Resize(worker, capacity) => self.workers[worker].resize(now, capacity),
            Trouble::Slow(worker, times) => self.workers[worker].slowness = times,
            Trouble::Allot(workspace, weight, accelerators) => {
                self.allot(workspace, weight, accelerators);
            }
            Trouble::KillAll => (0..self.daemons.len()).for_each(|daemon| self.restart(daemon)),
        }
    }

    pub(super) fn crash(&mut self, worker: usize) {
        self.record.record_crash(worker);
        self.lose_runs(worker);
    }

    /// Takes a worker away that has announced its departure, which is no crash of its tasks.
    pub(super) fn depart(&mut self, worker: usize) {
        if self.workers[worker].up {
            self.lose_runs(worker);
            self.workers[worker].up = false;
        }
    }

    fn lose_runs(&mut self, worker: usize) {
        let gangs: Vec<(TaskId, Run)> =
            self.workers[worker].runs.iter().filter(|r| r.gang).map(|r| (r.task, r.run)).collect();
        self.workers[worker].runs.clear();
        self.record.record_loss(self.now, worker);
        gangs.into_iter().for_each(|(task, run)| self.break_gang(task, run));
    }

    pub(super) fn remove(&mut self, worker: usize) {
        if !self.workers[worker].up {
            return;
        }
        self.crash(worker);
        self.workers[worker].up = false;
    }

    pub(super) fn restart(&mut self, daemon: usize) {
        let incarnation = self.daemons[daemon].incarnation + 1;
        let node = self.new_node(daemon, incarnation);
        let cut_until = self.daemons[daemon].cut_until;
        self.daemons[daemon] = Daemon {
            node,
            incarnation,
            frozen_until: 0,
            queued_inputs: Vec::new(),
            event_loop: EventLoop::default(),
            cut_until,
            exited: false,
        };
    }
}
