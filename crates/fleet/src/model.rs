//! Specification of a job: steps with dependencies, each made of identical tasks.

use bulrushlink_core::{RackId, Span};
use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Maximum number of tasks of a job over all its steps; bounds the memory that a job takes.
pub const JOB_TASKS_MAX: u64 = 4_096;
/// Maximum number of steps of a job; bounds the memory that a job takes.
pub const JOB_STEPS_MAX: usize = 256;
/// Memory of a job besides its steps and its text, in bytes.
const JOB_BYTES: u64 = 1_024;
/// Memory of a step besides its dependencies and its tasks, in bytes.
const STEP_BYTES: u64 = 400;
/// Memory of a round's progress besides its steps, in bytes.
const ROUND_BYTES: u64 = 64;
/// Memory of a step's progress besides its tasks, in bytes.
const STEP_RECORD_BYTES: u64 = 128;
/// Memory of a task's progress, in bytes.
const TASK_BYTES: u64 = 128;
/// Maximum length of a job's text in bytes; each start of a task sends it to a worker.
pub const JOB_TEXT_BYTES: usize = 4_000;
/// Maximum number of rounds of a job; the state of a job lists the rounds that are done.
pub const JOB_ROUNDS_MAX: u32 = 10_000;
/// Maximum amount of a resource that a task may request, and maximum estimate of its run time in
/// milliseconds (35 years). Sums and products of such values can't overflow.
pub const TASK_VALUE_MAX: u64 = 1 << 40;

/// An amount of each resource of a worker.
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
    /// Returns true if `need` fits into this amount.
    pub const fn fits(&self, need: &Self) -> bool {
        self.cpu >= need.cpu && self.memory >= need.memory && self.accelerators >= need.accelerators
    }

    /// Returns the difference, which is at least zero for each resource.
    #[must_use]
    pub const fn minus(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            memory: self.memory.saturating_sub(other.memory),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns the sum, at most the largest value for each resource.
    #[must_use]
    pub const fn plus(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_add(other.cpu),
            memory: self.memory.saturating_add(other.memory),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Returns a multiple, at most the largest value for each resource.
    #[must_use]
    pub const fn times(&self, times: u64) -> Self {
        Self {
            cpu: self.cpu.saturating_mul(times),
            memory: self.memory.saturating_mul(times),
            accelerators: self.accelerators.saturating_mul(times),
        }
    }

    /// Returns the smaller amount of each resource.
    #[must_use]
    pub(crate) fn smallest(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.min(other.cpu),
            memory: self.memory.min(other.memory),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// Returns how many times `need` fits into this amount.
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

/// Identical tasks that may run once the steps they depend on are done.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Step {
    /// Number of tasks, at least 1.
    pub tasks: u32,
    /// Resources that each task takes.
    pub need: Resources,
    /// The caller's rough estimate of a task's run time.
    pub estimate: Span,
    /// Numbers of the steps that must be done first, each lower than this step's own number.
    pub after: Vec<u16>,
    /// The tasks form a gang: they run only together, and end together.
    pub gang: bool,
    /// The tasks run slower if they are spread over several racks.
    pub one_rack: bool,
    /// Label that a worker must have to run the tasks.
    pub label: Option<String>,
    /// Rack that holds the step's data; the tasks run slower on other racks.
    pub near: Option<RackId>,
    /// Maximum number of the step's tasks on one worker.
    pub per_worker: Option<u32>,
    /// The tasks write checkpoints.
    pub saves: bool,
    /// The tasks are idempotent: several runs of one task do no harm.
    pub copies: bool,
    /// The tasks run until the job is cancelled.
    pub endless: bool,
}

/// Periodic rounds of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Due time of round 0, in milliseconds since 1970.
    pub first: u64,
    /// Time between the due times of two rounds.
    pub every: Span,
    /// Number of rounds, at least 1.
    pub rounds: u32,
}

impl Schedule {
    /// Returns the due time of a round, in milliseconds since 1970.
    pub const fn due(&self, round: u32) -> u64 {
        self.first.saturating_add(self.every.millis().saturating_mul(round as u64))
    }
}

/// A job as submitted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Text that is passed to each task.
    pub text: String,
    /// The steps in order; at least one.
    pub steps: Vec<Step>,
    /// Due times of the rounds; without a schedule the job runs once, as soon as possible.
    pub schedule: Option<Schedule>,
}

/// Why a job specification is invalid.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum BadSpec {
    /// No steps, or a step without tasks.
    #[display("the job has no steps or a step without tasks")]
    Empty,
    /// More than [`JOB_STEPS_MAX`] steps, [`JOB_TASKS_MAX`] tasks or [`JOB_ROUNDS_MAX`] rounds.
    #[display("the job has too many steps, tasks or rounds")]
    TooLarge,
    /// A text of more than [`JOB_TEXT_BYTES`], or a label as long.
    #[display("the job's text or a label is too long")]
    TooLong,
    /// A task requests more than [`TASK_VALUE_MAX`] of a resource, or is estimated to take longer.
    #[display("a task requests more than any worker has, or its estimate is too long")]
    Excessive,
    /// A step depends on itself or on a later step.
    #[display("a step depends on itself or on a later step")]
    Order,
}

impl JobSpec {
    /// Checks the rules that the types can't express.
    ///
    /// # Errors
    ///
    /// The first rule that the job violates.
    pub fn check(&self) -> Result<(), BadSpec> {
        if self.steps.is_empty() || self.steps.iter().any(|s| s.tasks == 0) {
            return Err(BadSpec::Empty);
        }
        if self.steps.len() > JOB_STEPS_MAX
            || self.tasks() > JOB_TASKS_MAX
            || self.rounds() > JOB_ROUNDS_MAX
        {
            return Err(BadSpec::TooLarge);
        }
        let labels = self.steps.iter().filter_map(|s| s.label.as_ref());
        if labels.chain([&self.text]).any(|text| text.len() > JOB_TEXT_BYTES) {
            return Err(BadSpec::TooLong);
        }
        let excessive = |step: &Step| {
            let Resources { cpu, memory, accelerators } = step.need;
            let values = [cpu, memory, accelerators, step.estimate.millis()];
            values.into_iter().any(|value| value > TASK_VALUE_MAX)
        };
        if self.steps.iter().any(excessive) {
            return Err(BadSpec::Excessive);
        }
        let ordered =
            |(number, step): (usize, &Step)| step.after.iter().all(|a| usize::from(*a) < number);
        if self.steps.iter().enumerate().all(ordered) { Ok(()) } else { Err(BadSpec::Order) }
    }

    /// Returns, for each step, the duration of the longest chain of steps that begins with it, given the
    /// duration of each step. Takes time in proportion to the steps and their dependencies.
    pub(crate) fn chains(&self, duration: impl Fn(&Step) -> Span) -> Vec<Span> {
        let mut chains = vec![Span::ZERO; self.steps.len()];
        for (number, step) in self.steps.iter().enumerate().rev() {
            // Steps depend on earlier ones only, so the longest chain after this step is known by now.
            let chain = chains[number] + duration(step);
            chains[number] = chain;
            for before in &step.after {
                if let Some(known) = chains.get_mut(usize::from(*before)) {
                    *known = chain.max(*known);
                }
            }
        }
        chains
    }

    /// Returns the duration of the longest chain of steps, given the duration of each step.
    pub(crate) fn longest_chain(&self, duration: impl Fn(&Step) -> Span) -> Span {
        self.chains(duration).into_iter().max().unwrap_or_default()
    }

    /// Returns about how much memory a placer needs for the job, in bytes: for its specification, and for the
    /// progress of each task of a round.
    pub(crate) fn memory(&self) -> u64 {
        let step = |step: &Step| {
            STEP_BYTES
                + step.label.as_ref().map_or(0, String::len) as u64
                + step.near.as_ref().map_or(0, |rack| rack.as_str().len()) as u64
                + step.after.len() as u64 * size_of::<u16>() as u64
                + u64::from(step.tasks) * TASK_BYTES
        };
        JOB_BYTES + self.text.len() as u64 + self.steps.iter().map(step).sum::<u64>()
    }

    /// Returns about how much memory a placer needs for the progress of one round, in bytes. That of the first
    /// one is part of [`memory`](Self::memory).
    pub(crate) fn round_memory(&self) -> u64 {
        ROUND_BYTES + self.steps.len() as u64 * STEP_RECORD_BYTES + self.tasks() * TASK_BYTES
    }

    /// Returns the number of tasks of a round.
    pub(crate) fn tasks(&self) -> u64 {
        self.steps.iter().map(|s| u64::from(s.tasks)).sum()
    }

    /// Returns the number of rounds.
    pub fn rounds(&self) -> u32 {
        self.schedule.map_or(1, |s| s.rounds)
    }

    /// Returns the due time of a round, in milliseconds since 1970; 0 means at once.
    pub fn due(&self, round: u32) -> u64 {
        self.schedule.map_or(0, |s| s.due(round))
    }
}

#[cfg(test)]
mod tests;
