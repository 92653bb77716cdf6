//! Progress and ends of runs on the workers, and the workers' entries in the store.

use bulrushlink_fleet::{EndCause, JobId, Run, TaskId, WorkerEntry};
use bulrushlink_standin::FleetRun;

use super::{ENTRY_TTL_MS, FleetLab, gang_key};

impl FleetLab {
    /// Makes the tasks of a job take another time than estimated, in percent of the estimate.
    pub fn set_length(&mut self, id: JobId, percent: u64) {
        if let Some(job) = self.record.job(id) {
            job.length_percent = percent;
        }
    }

    /// Spreads the run times of a step's tasks evenly over this percentage of the estimate, around the
    /// estimate.
    pub fn spread_lengths(&mut self, percent: u64) {
        self.length_spread = percent;
    }

    /// Returns true if all tasks of a job have ended as done.
    pub fn is_done(&self, id: JobId) -> bool {
        self.record.jobs.iter().any(|j| j.id == id && j.is_done())
    }

    /// Returns the work of runs that ended early without a checkpoint, in core-seconds; an accelerator
    /// counts as 8 cores.
    pub fn thrown_away(&self) -> f64 {
        self.record.thrown_away
    }

    fn count_thrown_away(&mut self, run: &FleetRun, cause: EndCause) {
        if cause != EndCause::Done && !run.saves {
            let cores = run.need.cpu as f64 / 1_000.0 + run.need.accelerators as f64 * 8.0;
            self.record.thrown_away += run.worked as f64 / 1_000.0 * cores;
        }
    }

    pub(super) fn end_run(&mut self, index: usize, run: usize, cause: EndCause) {
        let ended = self.workers[index].end(run, cause);
        self.record.record_end(self.now, (ended.task, ended.run, index), cause);
        self.count_thrown_away(&ended, cause);
        if ended.gang {
            // The members of a gang end as done together.
            let others = if cause == EndCause::Done { cause } else { EndCause::Broken };
            self.end_gang(ended.task, ended.run, others);
        }
    }

    /// Registers the worker of a run that has started, if the run belongs to a gang.
    pub(super) fn register_gang_member(&mut self, index: usize, task: TaskId, run: Run) {
        let job = self.record.jobs.iter().find(|j| j.id == task.job);
        let Some(step) = job.map(|j| &j.spec.steps[usize::from(task.step)]) else { return };
        if !step.gang {
            return;
        }
        let gang = self.gangs.entry(gang_key(task, run)).or_default();
        gang.size = step.tasks;
        if let Err(at) = gang.workers.binary_search(&index) {
            gang.workers.insert(at, index);
        }
    }

    /// Returns the workers that may have members of a gang's run, sorted.
    fn gang_workers(&self, task: TaskId, run: Run) -> &[usize] {
        self.gangs.get(&gang_key(task, run)).map_or(&[], |g| &g.workers)
    }

    pub(super) fn break_gang(&mut self, task: TaskId, run: Run) {
        self.end_gang(task, run, EndCause::Broken);
    }

    /// Ends the members of a gang's run that are left.
    fn end_gang(&mut self, task: TaskId, run: Run, cause: EndCause) {
        let key = gang_key(task, run);
        for index in self.gang_workers(task, run).to_vec() {
            let same = |r: &FleetRun| gang_key(r.task, r.run) == key;
            while let Some(found) = self.workers[index].runs.iter().position(same) {
                let ended = self.workers[index].end(found, cause);
                let run = (ended.task, ended.run, index);
                self.record.record_end(self.now, run, cause);
                self.count_thrown_away(&ended, cause);
            }
        }
    }

    /// Returns the live members of a gang's run.
    fn gang_members(&self, task: TaskId, run: Run) -> impl Iterator<Item = &FleetRun> {
        let key = gang_key(task, run);
        let runs = self.gang_workers(task, run).iter().flat_map(|w| &self.workers[*w].runs);
        runs.filter(move |r| gang_key(r.task, r.run) == key)
    }

    /// Advances all workers by a millisecond: ends runs whose lease has expired and lets the others
    /// progress.
    pub(super) fn advance_workers(&mut self) {
        for index in 0..self.workers.len() {
            if !self.workers[index].up {
                continue;
            }
            if self.workers[index].clock(self.now) > self.workers[index].lease_end {
                self.record.record_lapse(index);
                while !self.workers[index].runs.is_empty() {
                    self.end_run(index, 0, EndCause::Lapsed);
                }
            }
            let mut run = 0;
            while run < self.workers[index].runs.len() {
                match self.advance_run(index, run) {
                    Some(cause) => self.end_run(index, run, cause),
                    None => run += 1,
                }
            }
        }
        if self.now.is_multiple_of(500) {
            self.publish_workers();
        }
    }

    /// Advances a run by a millisecond and returns the cause of its end if it ends now. A member of
    /// a gang ends as done once another member has, and progresses only while all members are live.
    pub(super) fn advance_run(&mut self, index: usize, run: usize) -> Option<EndCause> {
        let live = self.workers[index].runs[run].clone();
        if live.stop_at.is_some_and(|s| s <= self.now) {
            return Some(EndCause::Stopped);
        }
        if live.gang {
            let key = gang_key(live.task, live.run);
            let all = self.gangs.get(&key).map_or(1, |g| g.size as usize);
            let member_done = self.record.finished.contains(&key);
            if member_done {
                return Some(EndCause::Done);
            }
            if self.gang_members(live.task, live.run).count() < all {
                let waited = self.now - live.started;
                return (live.worked == 0 && waited > self.bounds.gang_ms)
                    .then_some(EndCause::Alone);
            }
        }
        let worker = &mut self.workers[index];
        let progresses = !worker.hanging && self.now.is_multiple_of(worker.slowness);
        if progresses && live.worked < live.length {
            worker.runs[run].worked += 1;
        }
        let done = worker.runs[run].worked >= live.length;
        (done && (!live.gang || self.all_members_worked(&live))).then_some(EndCause::Done)
    }

    /// Returns true if all members of a gang's run have done their work.
    pub(super) fn all_members_worked(&self, run: &FleetRun) -> bool {
        self.gang_members(run.task, run.run).all(|r| r.worked >= r.length)
    }

    /// Writes the entries of the workers that were in contact within `ENTRY_TTL_MS` to the store.
    pub(super) fn publish_workers(&mut self) {
        let now = self.now;
        if now < self.down_until {
            return;
        }
        let mut entries = Vec::new();
        for index in 0..self.workers.len() {
            let in_contact = self.workers[index].up && now >= self.cut_until[index];
            if in_contact {
                self.last_contact[index] = now;
                self.workers[index].pass_heartbeat(now);
            }
            let worker = &self.workers[index];
            if now.saturating_sub(self.last_contact[index]) < ENTRY_TTL_MS && worker.booted <= now {
                let capacity = worker.shown_capacity();
                entries.push(WorkerEntry { capacity, ..worker.entry.clone() });
            }
        }
        self.store.workers = entries;
    }
}
