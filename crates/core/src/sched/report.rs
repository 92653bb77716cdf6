//! Reports the scheduler's state: the reason for a job's state, the load, and a full dump.

use serde::Serialize;

use crate::ids::{Attempt, JobKey, KindId, RackId, WorkerId, WorkspaceId};
use crate::job::{Placement, Shape};
use crate::sched::Scheduler;
use crate::sched::event::{Load, Why};
use crate::sched::fleet::WorkerIx;
use crate::sched::jobs::Job;
use crate::sched::learn::Kind;
use crate::sched::share::required_hardware;
use crate::units::{AcceleratorSet, Span};

/// The whole state of a scheduler.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct State {
    /// Load that other daemons route by.
    pub load: Load,
    /// Sorted by worker.
    pub workers: Vec<WorkerState>,
    /// Sorted by job.
    pub jobs: Vec<JobState>,
    /// All workspaces that were ever named.
    pub workspaces: Vec<WorkspaceState>,
    /// Run times learned so far.
    pub kinds: Vec<KindState>,
    /// Guarantees that the healthy hardware cannot hold now.
    pub degraded: Vec<Shortfall>,
}

/// State of a worker.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct WorkerState {
    /// The worker.
    pub id: WorkerId,
    /// Its rack.
    pub rack: RackId,
    /// Whether it is about to leave: running tasks may complete, but it gets no new ones.
    pub leaving: bool,
    /// Whether it gets no work except probes.
    pub quarantined: bool,
    /// Time until the next probe of a quarantined worker.
    pub probe: Option<Span>,
    /// Number of failures of different jobs since a job last completed here.
    pub strikes: u32,
    /// Number of tasks running on it.
    pub tasks: u32,
    /// Accelerators in use.
    pub busy: AcceleratorSet,
    /// Accelerators reserved for guarantees.
    pub reserved: AcceleratorSet,
    /// Accelerators reported busy that the scheduler has not allocated.
    pub foreign: AcceleratorSet,
}

/// State of a job that has not ended.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct JobState {
    /// The job.
    pub key: JobKey,
    /// The latest attempt.
    pub attempt: Attempt,
    /// Number of failed attempts.
    pub failures: u8,
    /// Whether it runs within its workspace's guarantee.
    pub guaranteed: bool,
    /// Explanation of its state.
    pub why: Why,
}

/// A workspace's use of the failure domain.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct WorkspaceState {
    /// The workspace.
    pub id: WorkspaceId,
    /// Number of waiting jobs.
    pub waiting: u32,
    /// Accelerators in use outside of its guarantees.
    pub borrowed: u32,
    /// Number of guaranteed shapes.
    pub guarantees: u32,
    /// Number of guaranteed shapes in use.
    pub used: u32,
}

/// What was learned about a kind of job.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct KindState {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The kind.
    pub kind: KindId,
    /// Half of its jobs take less; `None` while too few run times are known.
    pub median: Option<Span>,
    /// Nine of ten of its jobs take less.
    pub high: Option<Span>,
}

/// A guarantee that the healthy hardware cannot hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Shortfall {
    /// The workspace.
    pub workspace: WorkspaceId,
    /// The guaranteed shape.
    pub shape: Shape,
    /// Description of the missing hardware.
    pub level: String,
}

impl Scheduler {
    /// Explains why a job waits or where it was placed. Returns `None` for an unknown job.
    pub fn why(&self, key: &JobKey) -> Option<Why> {
        self.jobs.find(key).map(|ix| self.explain(self.jobs.get(ix)))
    }

    fn explain(&self, job: &Job) -> Why {
        let placement = match job.phase.is_live() {
            true => job.placement(&self.fleet),
            false => Placement::new(),
        };
        Why {
            phase: job.phase.text().to_string(),
            text: self.current_reason(job).to_string(),
            placement,
            age: self.now.since(job.since),
            decided: job.decided,
        }
    }

    /// Returns the load that other daemons route by.
    pub fn load(&self) -> Load {
        let (total, free) = self.fleet.healthy();
        let racks = self.fleet.racks.iter().map(|rack| rack.healthy().1);
        let mut load = Load {
            total,
            free,
            queued: self.queued_accelerators,
            waiting: self.waiting,
            block: racks.max().unwrap_or_default(),
            ..Load::default()
        };
        self.jobs.iter().for_each(|(_, job)| load.count_urgent(&job.spec));
        load
    }

    /// Returns the whole state, for operators who diagnose a fault.
    pub fn dump(&self) -> State {
        State {
            load: self.load(),
            workers: self.workers(),
            jobs: self.jobs.iter().map(|(_, job)| self.job_state(job)).collect(),
            workspaces: self.workspaces(),
            kinds: self.kinds.iter().map(|kind| self.kind_state(kind)).collect(),
            degraded: self.degraded(),
        }
    }

    /// Returns the state of all workers, sorted.
    pub fn workers(&self) -> Vec<WorkerState> {
        self.fleet.present().map(|ix| self.worker_state(ix)).collect()
    }

    /// Returns the guarantees that the healthy hardware cannot hold now.
    pub fn degraded(&self) -> Vec<Shortfall> {
        let degraded = self.guarantees.iter().filter(|(_, guarantee)| !guarantee.is_bound());
        degraded
            .map(|(_, guarantee)| Shortfall {
                workspace: self.spaces.get(guarantee.space).id.clone(),
                shape: guarantee.shape,
                level: format!("no {}", required_hardware(guarantee.shape)),
            })
            .collect()
    }

    fn worker_state(&self, ix: WorkerIx) -> WorkerState {
        let worker = self.fleet.worker(ix);
        WorkerState {
            id: worker.info.id.clone(),
            rack: worker.info.rack.clone(),
            leaving: worker.info.leaving,
            quarantined: worker.health.is_quarantined(),
            probe: worker.health.quarantine().map(|q| q.probe.since(self.now)),
            strikes: worker.health.strikes.len() as u32,
            tasks: worker.allocations.len() as u32,
            busy: worker.busy,
            reserved: worker.reserved,
            foreign: worker.foreign,
        }
    }

    fn kind_state(&self, kind: &Kind) -> KindState {
        KindState {
            workspace: self.spaces.get(kind.space).id.clone(),
            kind: kind.id.clone(),
            median: kind.quantile(0.5),
            high: kind.quantile(0.9),
        }
    }

    fn job_state(&self, job: &Job) -> JobState {
        JobState {
            key: job.spec.key.clone(),
            attempt: job.attempt,
            failures: job.failures,
            guaranteed: job.guarantee.is_some(),
            why: self.explain(job),
        }
    }

    fn workspaces(&self) -> Vec<WorkspaceState> {
        let mut list: Vec<_> = self
            .spaces
            .iter()
            .map(|space| WorkspaceState {
                id: space.id.clone(),
                waiting: space.waiting,
                borrowed: space.borrowed,
                guarantees: 0,
                used: 0,
            })
            .collect();
        for (_, guarantee) in self.guarantees.iter() {
            let state = &mut list[guarantee.space.0 as usize];
            state.guarantees += 1;
            state.used += u32::from(!guarantee.is_unused());
        }
        list.sort_by(|a, b| a.id.cmp(&b.id));
        list
    }
}
