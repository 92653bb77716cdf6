//! A worker: runs under leases, gangs that work together, ends that are kept until acknowledged.

use bulrushlink_fleet::{
    EndCause, EndReport, FencingToken, Resources, Run, RunReport, StartRefusal, TaskId,
    WorkerEntry, WorkerOp, WorkerReply,
};

/// A run on a worker.
#[derive(Clone, Debug)]
pub(super) struct SimRun {
    pub(super) task: TaskId,
    pub(super) run: Run,
    pub(super) need: Resources,
    pub(super) began: u64,
    /// Work done and to be done, in milliseconds.
    pub(super) worked: u64,
    pub(super) length: u64,
    pub(super) gang: bool,
    /// When the stop under way is over.
    pub(super) stops: Option<u64>,
}

/// A worker.
pub(super) struct SimWorker {
    pub(super) entry: WorkerEntry,
    pub(super) up: bool,
    /// When this boot began.
    pub(super) booted: u64,
    /// Speed of its clock, in thousandths.
    pub(super) pace: u64,
    pub(super) token: FencingToken,
    pub(super) lease_end: u64,
    pub(super) runs: Vec<SimRun>,
    pub(super) ends: Vec<EndReport>,
    pub(super) numbered: u64,
    /// Runs that can't start any more, by task.
    pub(super) barred: Vec<(TaskId, Run)>,
    /// Everything that starts here fails.
    pub(super) failing: bool,
    /// Nothing here makes progress.
    pub(super) hanging: bool,
}

/// What a call did, for the record.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Done {
    Nothing,
    Started(TaskId, Run),
}

/// Bounds that workers keep.
#[derive(Clone, Copy, Debug)]
pub(super) struct WorkerBounds {
    pub(super) lease_max: u64,
    pub(super) stop: u64,
}

impl SimWorker {
    pub(super) fn new(entry: WorkerEntry, now: u64, pace: u64) -> Self {
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
        }
    }

    /// Returns the worker's own clock.
    pub(super) fn clock(&self, now: u64) -> u64 {
        now.saturating_sub(self.booted) * self.pace / 1_000
    }

    /// Ends this life and begins the next one under the same identifier.
    pub(super) fn reboot(&mut self, now: u64) {
        let mut entry = self.entry.clone();
        entry.born = entry.born.max(now) + 1;
        *self = Self::new(entry, now, self.pace);
    }

    pub(super) fn used(&self) -> Resources {
        self.runs.iter().fold(Resources::default(), |sum, r| sum.plus(&r.need))
    }

    pub(super) fn end(&mut self, at: usize, cause: EndCause) -> SimRun {
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

    fn extend(&mut self, now: u64, lease_end: u64, bounds: &WorkerBounds) {
        let most = self.clock(now) + bounds.lease_max;
        self.lease_end = self.lease_end.max(lease_end.min(most));
    }

    /// Carries out a call under a token.
    pub(super) fn call(
        &mut self,
        now: u64,
        token: FencingToken,
        op: &WorkerOp,
        run: impl FnOnce(TaskId, Run, &str) -> SimRun,
        bounds: &WorkerBounds,
    ) -> (WorkerReply, Done) {
        let refused = |refusal| (WorkerReply::Refused(refusal), Done::Nothing);
        if token < self.token {
            return refused(StartRefusal::Fenced);
        }
        self.token = token;
        match op {
            WorkerOp::Start { task, run: number, saved, lease_end, .. } => {
                if self.runs.iter().any(|r| r.task == *task && r.run == *number) {
                    return (WorkerReply::Done, Done::Nothing);
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
                (WorkerReply::Done, Done::Started(*task, *number))
            }
            WorkerOp::Stop { task, run } => {
                match self.runs.iter_mut().find(|r| r.task == *task && r.run == *run) {
                    Some(live) => live.stops = live.stops.or(Some(now + bounds.stop)),
                    None => self.bar(*task, *run),
                }
                (WorkerReply::Done, Done::Nothing)
            }
            WorkerOp::Hold { lease_end, acked, .. } => {
                if let Some(end) = lease_end {
                    self.extend(now, *end, bounds);
                }
                self.ends.retain(|e| e.number > *acked);
                (self.lists(), Done::Nothing)
            }
        }
    }

    pub(super) fn lists(&self) -> WorkerReply {
        let report = |r: &SimRun| RunReport {
            task: r.task,
            run: r.run,
            saved: if r.worked > 0 { r.worked.to_string() } else { String::new() },
            percent: (r.worked * 100 / r.length.max(1)) as u32,
        };
        WorkerReply::Lists {
            born: Some(self.entry.born),
            running: self.runs.iter().map(report).collect(),
            ended: self.ends.clone(),
        }
    }
}
