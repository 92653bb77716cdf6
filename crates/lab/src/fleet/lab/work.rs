//! What goes on at the workers by itself.

use bulrushlink_fleet::{EndCause, Run, TaskId};
use bulrushlink_standin::FleetRun;

use super::{ENTRY_LIFE, FleetLab};

impl FleetLab {
    pub(super) fn end(&mut self, at: usize, run: usize, cause: EndCause) {
        let ended = self.workers[at].end(run, cause);
        self.record.ended(self.now, (ended.task, ended.run, at), cause);
        if cause != EndCause::Done && ended.gang {
            self.break_gang(ended.task, ended.run);
        }
    }

    pub(super) fn break_gang(&mut self, task: TaskId, run: Run) {
        let same = |r: &FleetRun| {
            (r.task.job, r.task.round, r.task.step, r.run) == (task.job, task.round, task.step, run)
        };
        for at in 0..self.workers.len() {
            while let Some(found) = self.workers[at].runs.iter().position(same) {
                let ended = self.workers[at].end(found, EndCause::Broken);
                let run = (ended.task, ended.run, at);
                self.record.ended(self.now, run, EndCause::Broken);
            }
        }
    }

    /// Tells how many members of a gang's run are present.
    pub(super) fn present(&self, task: TaskId, run: Run) -> u32 {
        let same = |r: &&FleetRun| {
            (r.task.job, r.task.round, r.task.step, r.run) == (task.job, task.round, task.step, run)
        };
        self.workers.iter().map(|w| w.runs.iter().filter(same).count() as u32).sum()
    }

    /// Lets the workers go on for a millisecond.
    pub(super) fn work(&mut self) {
        for at in 0..self.workers.len() {
            if !self.workers[at].up {
                continue;
            }
            if self.workers[at].clock(self.now) > self.workers[at].lease_end {
                self.record.lapsed(at);
                while !self.workers[at].runs.is_empty() {
                    self.end(at, 0, EndCause::Lapsed);
                }
            }
            let mut run = 0;
            while run < self.workers[at].runs.len() {
                match self.progress(at, run) {
                    Some(cause) => self.end(at, run, cause),
                    None => run += 1,
                }
            }
        }
        if self.now.is_multiple_of(500) {
            self.publish();
        }
    }

    /// Lets a run go on, and tells how it ends if it does.
    pub(super) fn progress(&mut self, at: usize, run: usize) -> Option<EndCause> {
        let live = self.workers[at].runs[run].clone();
        if live.stop_at.is_some_and(|s| s <= self.now) {
            return Some(EndCause::Stopped);
        }
        if live.gang {
            let members = self.record.jobs.iter().find(|j| j.id == live.task.job);
            let all = members.map_or(1, |j| j.spec.steps[usize::from(live.task.step)].tasks);
            let step = (TaskId { index: 0, ..live.task }, live.run);
            let others_done = self.record.finished.contains(&step);
            if others_done {
                return Some(EndCause::Done);
            }
            if self.present(live.task, live.run) < all {
                let waited = self.now - live.started;
                return (live.worked == 0 && waited > self.bounds.gang_ms)
                    .then_some(EndCause::Alone);
            }
        }
        let worker = &mut self.workers[at];
        let moves = !worker.hanging && self.now.is_multiple_of(worker.slowness);
        if moves && live.worked < live.length {
            worker.runs[run].worked += 1;
        }
        let done = worker.runs[run].worked >= live.length;
        (done && (!live.gang || self.all_worked(&live))).then_some(EndCause::Done)
    }

    /// Tells whether all members of a gang's run have done their work.
    pub(super) fn all_worked(&self, run: &FleetRun) -> bool {
        let step = |t: &TaskId| (t.job, t.round, t.step);
        let same = |r: &&FleetRun| step(&r.task) == step(&run.task) && r.run == run.run;
        self.workers.iter().flat_map(|w| &w.runs).filter(same).all(|r| r.worked >= r.length)
    }

    /// Tells the store which workers live.
    pub(super) fn publish(&mut self) {
        let now = self.now;
        if now < self.down {
            return;
        }
        let mut entries = Vec::new();
        for (at, worker) in self.workers.iter().enumerate() {
            if worker.up && now >= self.cut[at] {
                self.beaten[at] = now;
            }
            if now.saturating_sub(self.beaten[at]) < ENTRY_LIFE && worker.booted <= now {
                entries.push(worker.entry.clone());
            }
        }
        self.store.workers = entries;
    }
}
