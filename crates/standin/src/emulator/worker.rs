//! Simulated worker: runs under a lease, gangs, and end reports that are kept until acknowledged.

use bulrushlink_fleet::{
    EndCause, EndReport, FencingToken, Resources, Run, RunReport, StartRefusal, TaskId,
    WorkerEntry, WorkerOp, WorkerReply,
};

use super::rooms::EarlierRoom;

/// A run of a task on a worker.
#[derive(Clone, Debug)]
pub struct FleetRun {
    /// The task.
    pub task: TaskId,
    /// Number of the run of that task.
    pub run: Run,
    /// Resources that the run occupies.
    pub need: Resources,
    /// Time of the start, in milliseconds.
    pub started: u64,
    /// Work done, in milliseconds; [`Emulator`](super::Emulator) stores the gang size here.
    pub worked: u64,
    /// Total work, in milliseconds.
    pub length: u64,
    /// Whether the run belongs to a gang.
    pub gang: bool,
    /// Whether the task writes checkpoints.
    pub saves: bool,
    /// Time at which a requested stop takes effect.
    pub stop_at: Option<u64>,
}

/// A simulated worker.
pub struct FleetWorker {
    /// Entry under which the worker is registered.
    pub entry: WorkerEntry,
    /// Whether the worker is up.
    pub up: bool,
    /// Time of the latest boot.
    pub booted: u64,
    /// Rate of its clock, in thousandths of real time.
    pub clock_rate: u64,
    /// Highest fencing token seen so far.
    pub token: FencingToken,
    /// End of the lease that covers all runs, by the worker's clock.
    pub lease_end: u64,
    /// Active runs.
    pub runs: Vec<FleetRun>,
    /// End reports that haven't been acknowledged.
    pub ends: Vec<EndReport>,
    /// Number of the latest end report.
    pub last_end: u64,
    /// For each task the latest run that ended or was stopped: it and earlier runs must not start.
    pub blocked_runs: Vec<(TaskId, Run)>,
    /// Capacities that the worker had before, in order.
    pub(crate) earlier_rooms: Vec<EarlierRoom>,
    /// Whether every task that starts here fails.
    pub failing: bool,
    /// Whether the runs make no progress.
    pub hanging: bool,
    /// Factor by which work takes longer here.
    pub slowness: u64,
}

/// Limits that workers enforce.
#[derive(Clone, Copy, Debug)]
pub struct FleetWorkerBounds {
    /// Longest duration of a lease, in milliseconds.
    pub lease_max: u64,
    /// Time that it takes to stop a run, in milliseconds.
    pub stop: u64,
}

impl FleetWorker {
    /// Creates a worker that boots at `now`.
    pub fn new(entry: WorkerEntry, now: u64, clock_rate: u64) -> Self {
        Self {
            entry,
            up: true,
            booted: now,
            clock_rate,
            token: FencingToken(0),
            lease_end: 0,
            runs: Vec::new(),
            ends: Vec::new(),
            last_end: 0,
            blocked_runs: Vec::new(),
            earlier_rooms: Vec::new(),
            failing: false,
            hanging: false,
            slowness: 1,
        }
    }

    /// Returns the time since boot by the worker's own clock.
    pub fn clock(&self, now: u64) -> u64 {
        now.saturating_sub(self.booted) * self.clock_rate / 1_000
    }

    /// Reboots the worker: it keeps its identifier, gets a new birth time and loses its runs and
    /// reports.
    pub fn reboot(&mut self, now: u64) {
        let mut entry = self.entry.clone();
        entry.born = entry.born.max(now) + 1;
        let earlier_rooms = self.rooms_after_boot(now);
        *self = Self { earlier_rooms, ..Self::new(entry, now, self.clock_rate) };
    }

    /// Returns the resources that the active runs occupy.
    pub fn used(&self) -> Resources {
        self.runs.iter().fold(Resources::default(), |sum, r| sum.plus(&r.need))
    }

    /// Ends a run: adds its end report and returns it.
    pub fn end(&mut self, index: usize, cause: EndCause) -> FleetRun {
        let run = self.runs.remove(index);
        self.last_end += 1;
        let saved =
            if run.saves && run.worked > 0 { run.worked.to_string() } else { String::new() };
        self.ends.push(EndReport {
            number: self.last_end,
            task: run.task,
            run: run.run,
            cause,
            saved,
        });
        self.block_run(run.task, run.run);
        run
    }

    fn block_run(&mut self, task: TaskId, run: Run) {
        match self.blocked_runs.iter_mut().find(|(t, _)| *t == task) {
            Some(known) => known.1 = known.1.max(run),
            None => self.blocked_runs.push((task, run)),
        }
    }

    fn extend_lease(&mut self, now: u64, lease_end: u64, bounds: &FleetWorkerBounds) {
        let limit = self.clock(now) + bounds.lease_max;
        self.lease_end = self.lease_end.max(lease_end.min(limit));
    }

    /// Carries out a call under a fencing token; returns the reply, and the run if it started one.
    /// `new_run` creates the state of a run that continues from the checkpoint in its last argument.
    pub fn call(
        &mut self,
        now: u64,
        token: FencingToken,
        op: &WorkerOp,
        new_run: impl FnOnce(TaskId, Run, &str) -> FleetRun,
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
                if self.blocked_runs.iter().any(|(t, r)| t == task && number <= r) {
                    self.extend_lease(now, *lease_end, bounds);
                    return refused(StartRefusal::OldRun);
                }
                if *lease_end <= self.clock(now) {
                    return refused(StartRefusal::LeaseOver);
                }
                self.extend_lease(now, *lease_end, bounds);
                self.runs.push(new_run(*task, *number, saved));
                (WorkerReply::Done, Some((*task, *number)))
            }
            WorkerOp::Stop { task, run } => {
                match self.runs.iter_mut().find(|r| r.task == *task && r.run == *run) {
                    Some(active) => active.stop_at = active.stop_at.or(Some(now + bounds.stop)),
                    None => self.block_run(*task, *run),
                }
                (WorkerReply::Done, None)
            }
            WorkerOp::Hold { lease_end, acked, .. } => {
                if let Some(end) = lease_end {
                    self.extend_lease(now, *end, bounds);
                }
                self.ends.retain(|e| e.number > *acked);
                (self.lists(), None)
            }
        }
    }

    /// Returns a report of the active runs and the unacknowledged ends.
    pub fn lists(&self) -> WorkerReply {
        let report = |r: &FleetRun| RunReport {
            task: r.task,
            run: r.run,
            saved: if r.saves && r.worked > 0 { r.worked.to_string() } else { String::new() },
            percent: (r.worked * 100 / r.length.max(1)).min(100) as u32,
        };
        WorkerReply::Lists {
            born: Some(self.entry.born),
            running: self.runs.iter().map(report).collect(),
            ended: self.ends.clone(),
        }
    }
}
