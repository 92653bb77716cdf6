//! A worker: runs under leases, gangs that work together, ends that are kept until acknowledged.

use bulrushlink_fleet::{
    EndCause, EndReport, FencingToken, Resources, Run, RunReport, StartRefusal, TaskId,
    WorkerEntry, WorkerOp, WorkerReply,
};

/// A run on a worker.
#[derive(Clone, Debug)]
pub struct FleetRun {
    /// The task.
    pub task: TaskId,
    /// The run.
    pub run: Run,
    /// What it takes.
    pub need: Resources,
    /// When it started.
    pub began: u64,
    /// Work done, in milliseconds.
    pub worked: u64,
    /// Work to be done, in milliseconds.
    pub length: u64,
    /// It is a member of a gang.
    pub gang: bool,
    /// When the stop under way is over.
    pub stops: Option<u64>,
}

/// A worker.
pub struct FleetWorker {
    /// What it reports of itself.
    pub entry: WorkerEntry,
    /// It runs.
    pub up: bool,
    /// When this boot began.
    pub booted: u64,
    /// Speed of its clock, in thousandths.
    pub pace: u64,
    /// The highest token that it has seen.
    pub token: FencingToken,
    /// End of the lease of all runs, by its own clock.
    pub lease_end: u64,
    /// What runs.
    pub runs: Vec<FleetRun>,
    /// Ends that haven't been acknowledged.
    pub ends: Vec<EndReport>,
    /// Number of the latest end.
    pub numbered: u64,
    /// Runs that can't start any more, by task.
    pub barred: Vec<(TaskId, Run)>,
    /// Everything that starts here fails.
    pub failing: bool,
    /// Nothing here makes progress.
    pub hanging: bool,
    /// Work takes so many times as long here.
    pub slowness: u64,
}

/// Bounds that workers keep.
#[derive(Clone, Copy, Debug)]
pub struct FleetWorkerBounds {
    /// Longest lease, in milliseconds.
    pub lease_max: u64,
    /// Time that a stop takes, in milliseconds.
    pub stop: u64,
}

impl FleetWorker {
    /// Starts a worker.
    pub fn new(entry: WorkerEntry, now: u64, pace: u64) -> Self {
        Self {
            entry,
            up: true,
            booted: now,
            pace,
            token: FencingToken(0),
            lease_end: 0,
            runs: Vec::new(),
            ends: Vec::new(),
            numbered: 0,
            barred: Vec::new(),
            failing: false,
            hanging: false,
            slowness: 1,
        }
    }

    /// Returns the worker's own clock.
    pub fn clock(&self, now: u64) -> u64 {
        now.saturating_sub(self.booted) * self.pace / 1_000
    }

    /// Ends this life and begins the next one under the same identifier.
    pub fn reboot(&mut self, now: u64) {
        let mut entry = self.entry.clone();
        entry.born = entry.born.max(now) + 1;
        *self = Self::new(entry, now, self.pace);
    }

    /// Returns what the runs take.
    pub fn used(&self) -> Resources {
        self.runs.iter().fold(Resources::default(), |sum, r| sum.plus(&r.need))
    }

    /// Ends a run.
    pub fn end(&mut self, at: usize, cause: EndCause) -> FleetRun {
        let run = self.runs.remove(at);
        self.numbered += 1;
        let saved = if run.worked > 0 { run.worked.to_string() } else { String::new() };
        self.ends.push(EndReport {
            number: self.numbered,
            task: run.task,
            run: run.run,
            cause,
            saved,
        });
        self.bar(run.task, run.run);
        run
    }

    fn bar(&mut self, task: TaskId, run: Run) {
        match self.barred.iter_mut().find(|(t, _)| *t == task) {
            Some(known) => known.1 = known.1.max(run),
            None => self.barred.push((task, run)),
        }
    }

    fn extend(&mut self, now: u64, lease_end: u64, bounds: &FleetWorkerBounds) {
        let most = self.clock(now) + bounds.lease_max;
        self.lease_end = self.lease_end.max(lease_end.min(most));
    }

    /// Carries out a call under a token; returns the answer and the run that it has started.
    pub fn call(
        &mut self,
        now: u64,
        token: FencingToken,
        op: &WorkerOp,
        run: impl FnOnce(TaskId, Run, &str) -> FleetRun,
        bounds: &FleetWorkerBounds,
    ) -> (WorkerReply, Option<(TaskId, Run)>) {
        let refused = |refusal| (WorkerReply::Refused(refusal), None);
        if token < self.token {
            return refused(StartRefusal::Fenced);
        }
        self.token = token;
        match op {
            WorkerOp::Start { task, run: number, saved, lease_end, .. } => {
                if self.runs.iter().any(|r| r.task == *task && r.run == *number) {
                    return (WorkerReply::Done, None);
                }
                if self.barred.iter().any(|(t, r)| t == task && number <= r) {
                    self.extend(now, *lease_end, bounds);
                    return refused(StartRefusal::Old);
                }
                if *lease_end <= self.clock(now) {
                    return refused(StartRefusal::Late);
                }
                self.extend(now, *lease_end, bounds);
                self.runs.push(run(*task, *number, saved));
                (WorkerReply::Done, Some((*task, *number)))
            }
            WorkerOp::Stop { task, run } => {
                match self.runs.iter_mut().find(|r| r.task == *task && r.run == *run) {
                    Some(live) => live.stops = live.stops.or(Some(now + bounds.stop)),
                    None => self.bar(*task, *run),
                }
                (WorkerReply::Done, None)
            }
            WorkerOp::Hold { lease_end, acked, .. } => {
                if let Some(end) = lease_end {
                    self.extend(now, *end, bounds);
                }
                self.ends.retain(|e| e.number > *acked);
                (self.lists(), None)
            }
        }
    }

    /// Lists what runs and what has ended.
    pub fn lists(&self) -> WorkerReply {
        let report = |r: &FleetRun| RunReport {
            task: r.task,
            run: r.run,
            saved: if r.worked > 0 { r.worked.to_string() } else { String::new() },
            percent: (r.worked * 100 / r.length.max(1)).min(100) as u32,
        };
        WorkerReply::Lists {
            born: Some(self.entry.born),
            running: self.runs.iter().map(report).collect(),
            ended: self.ends.clone(),
        }
    }
}
