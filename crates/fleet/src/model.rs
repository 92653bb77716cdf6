//! What a job asks for: steps with dependencies, each of equal tasks.

use bulrushlink_core::{RackId, Span};
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// The most tasks of one job, over all of its steps; a limit against exhaustion of memory.
pub const JOB_TASKS_MAX: u64 = 4_096;
/// The most steps of one job; a limit against exhaustion of memory.
pub const JOB_STEPS_MAX: usize = 256;

/// An amount of everything that a worker has to give.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Resources {
    /// Processor time in thousandths of a core.
    pub cpu: u64,
    /// Memory in megabytes.
    pub memory: u64,
    /// Whole accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// Tells whether `need` fits in here.
    pub const fn holds(&self, need: &Self) -> bool {
        self.cpu >= need.cpu && self.memory >= need.memory && self.accelerators >= need.accelerators
    }

    /// Returns what is left without `other`, never below zero.
    #[must_use]
    pub const fn minus(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory: self.memory.saturating_sub(other.memory),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns the sum.
    #[must_use]
    pub const fn plus(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu + other.cpu,
            memory: self.memory + other.memory,
            accelerators: self.accelerators + other.accelerators,
        }
    }

    /// Returns how many times `need` fits in here.
    pub const fn count(&self, need: &Self) -> u64 {
        let mut most = u64::MAX;
        let parts = [
            (self.cpu, need.cpu),
            (self.memory, need.memory),
            (self.accelerators, need.accelerators),
        ];
        let mut i = 0;
        while i < parts.len() {
            if let Some(times) = parts[i].0.checked_div(parts[i].1)
                && times < most
            {
                most = times;
            }
            i += 1;
        }
        most
    }
}

/// Equal tasks that may run once the steps before them are done.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks, at least 1.
    pub tasks: u32,
    /// What each task takes.
    pub need: Resources,
    /// The caller's rough estimate of a task's run time.
    pub estimate: Span,
    /// Earlier steps that must be done first; each is less than this step's own number.
    pub after: Vec<u16>,
    /// The tasks work just together, and end together.
    pub gang: bool,
    /// The tasks are slowed down when they are spread over several racks.
    pub one_rack: bool,
    /// Label that the worker must have.
    pub label: Option<String>,
    /// Rack near the step's data; elsewhere the tasks are slowed down.
    pub near: Option<RackId>,
    /// The most tasks of the step on one worker.
    pub per_worker: Option<u32>,
    /// The tasks save their progress.
    pub saves: bool,
    /// Several runs of a task are harmless.
    pub copies: bool,
    /// The tasks run until the job is cancelled.
    pub endless: bool,
}

/// Rounds of a job at set times of the day.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Due time of round 0, in milliseconds since 1970.
    pub first: u64,
    /// Time between two rounds.
    pub every: Span,
    /// Number of rounds, at least 1.
    pub rounds: u32,
}

impl Schedule {
    /// Returns when a round is due, in milliseconds since 1970.
    pub const fn due(&self, round: u32) -> u64 {
        self.first.saturating_add(self.every.millis().saturating_mul(round as u64))
    }
}

/// A job as its caller submitted it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Text that each task gets.
    pub text: String,
    /// The steps in order; at least one.
    pub steps: Vec<Step>,
    /// Set times; without them the job runs once, as soon as it can.
    pub schedule: Option<Schedule>,
}

/// Why a job can't be accepted as it is written.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum BadSpec {
    /// There is nothing to run.
    #[display("the job has no steps or a step without tasks")]
    Empty,
    /// More steps or tasks than a job may have.
    #[display("the job has too many steps or tasks")]
    TooLarge,
    /// A step that waits for itself or for a later one.
    #[display("a step depends on itself or on a later step")]
    Order,
}

impl JobSpec {
    /// Checks what the types can't express.
    ///
    /// # Errors
    ///
    /// The first rule that is broken.
    pub fn check(&self) -> Result<(), BadSpec> {
        if self.steps.is_empty() || self.steps.iter().any(|s| s.tasks == 0) {
            return Err(BadSpec::Empty);
        }
        let tasks: u64 = self.steps.iter().map(|s| u64::from(s.tasks)).sum();
        if self.steps.len() > JOB_STEPS_MAX || tasks > JOB_TASKS_MAX {
            return Err(BadSpec::TooLarge);
        }
        let ordered =
            |(number, step): (usize, &Step)| step.after.iter().all(|a| usize::from(*a) < number);
        if self.steps.iter().enumerate().all(ordered) { Ok(()) } else { Err(BadSpec::Order) }
    }

    /// Returns the number of rounds.
    pub fn rounds(&self) -> u32 {
        self.schedule.map_or(1, |s| s.rounds)
    }

    /// Returns when a round is due, in milliseconds since 1970; 0 is at once.
    pub fn due(&self, round: u32) -> u64 {
        self.schedule.map_or(0, |s| s.due(round))
    }
}
