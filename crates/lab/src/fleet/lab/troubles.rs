//! Faults as they happen.

use bulrushlink_fleet::{Input, Run, TaskId, WorkerState};

use super::{Event, FleetLab, Seat, Trouble};

impl FleetLab {
    pub(super) fn trouble(&mut self, trouble: Trouble) {
        let now = self.now;
        self.record.note(now, format!("trouble: {trouble:?}"));
        match trouble {
            Trouble::Kill(seat) => self.restart(seat),
            Trouble::KillPlacer => {
                if let Some(seat) = self.placer() {
                    self.restart(seat);
                }
            }
            Trouble::Restart(seat) => {
                self.give(seat, Input::Stop);
                self.push(now + 5_000, Event::Trouble(Trouble::Kill(seat)));
            }
            Trouble::Freeze(seat, millis) => self.seats[seat].frozen = now + millis,
            Trouble::CutStore(seat, millis) => self.seats[seat].cut = now + millis,
            Trouble::CutWorker(worker, millis) => self.cut[worker] = now + millis,
            Trouble::Reboot(worker) => {
                self.crash(worker);
                self.workers[worker].reboot(now);
                self.publish();
            }
            Trouble::Remove(worker) => self.remove(worker),
            Trouble::Drain(worker, millis) => {
                self.workers[worker].entry.state = WorkerState::Draining;
                self.publish();
                let born = self.workers[worker].entry.born;
                self.push(now + millis, Event::Leave(worker, born));
            }
            Trouble::StoreDown(millis) => {
                self.down = now + millis;
                self.watches.clear();
            }
            Trouble::LapseLeases => self.store.keys.expire_all(),
            Trouble::Compact => self.store.keys.compact(),
            Trouble::Failing(worker, on) => self.workers[worker].failing = on,
            Trouble::Hanging(worker, on) => self.workers[worker].hanging = on,
            Trouble::Slow(worker, times) => self.workers[worker].slowness = times,
            Trouble::KillAll => (0..self.seats.len()).for_each(|seat| self.restart(seat)),
        }
    }

    pub(super) fn crash(&mut self, worker: usize) {
        let gangs: Vec<(TaskId, Run)> =
            self.workers[worker].runs.iter().filter(|r| r.gang).map(|r| (r.task, r.run)).collect();
        self.workers[worker].runs.clear();
        self.record.crashed(worker);
        gangs.into_iter().for_each(|(task, run)| self.break_gang(task, run));
    }

    pub(super) fn remove(&mut self, worker: usize) {
        self.crash(worker);
        self.workers[worker].up = false;
    }

    pub(super) fn restart(&mut self, seat: usize) {
        let incarnation = self.seats[seat].incarnation + 1;
        let node = self.new_node(seat, incarnation);
        let cut = self.seats[seat].cut;
        self.seats[seat] =
            Seat { node, incarnation, frozen: 0, held: Vec::new(), cut, gone: false };
    }
}
