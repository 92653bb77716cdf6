//! Records of jobs in the store, and their keys.
//!
//! A job has two records. The daemon that accepts the job creates both in one commit. After that,
//! [`JobRecord`] never changes and only the placer writes [`StateRecord`].

use bulrushlink_core::{Code, Error, WorkspaceId};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::net::SocketAddr;

use crate::catalog::Queue;
use crate::edge::WorkerEntry;
use crate::ids::{Boot, JobId, Rev, Run, TaskId};
use crate::model::JobSpec;
use crate::policy::admission::LoadForecast;

/// First byte of each record, which distinguishes it from records of later layouts.
const LAYOUT_VERSION: u8 = 1;

/// A job as accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct JobRecord {
    /// The job as submitted.
    pub(crate) spec: JobSpec,
    /// The queue at that time, as the job outlives a removal of its queue.
    pub(crate) queue: Queue,
    /// Workspace of the caller's key; `None` for an anonymous caller.
    pub(crate) workspace: Option<WorkspaceId>,
    /// When the job was accepted, in milliseconds since 1970.
    pub(crate) accepted: u64,
}

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Outcome {
    /// All tasks of all rounds are done.
    Completed,
    /// A task or gang has used up its attempts.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
}

/// Progress of a task. A run is recorded before its start is sent to the worker.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TaskRecord {
    /// The latest run; 0 before the first one.
    pub(crate) run: Run,
    /// A run has completed the task; no other run may start.
    pub(crate) done: bool,
    /// Number of failed runs; not used for members of gangs.
    pub(crate) failures: u32,
    /// The latest failed run; not used for members of gangs.
    pub(crate) failed_run: Run,
    /// The latest checkpoint; empty if there is none.
    pub(crate) saved: String,
    /// The worker boot of the latest run, until that run is known to have ended.
    pub(crate) place: Option<Boot>,
}

/// Number of leading items of a list that are known to be complete, so that they aren't looked at again. It
/// only grows, as what is complete stays so. It isn't stored, and all counts are equal.
#[derive(Clone, Debug, Default)]
pub(crate) struct Known(Cell<usize>);

impl Known {
    /// Returns true if all items are complete, and looks only at those after the known ones.
    fn covers<T>(&self, items: &[T], is_complete: impl Fn(&T) -> bool) -> bool {
        let known = self.0.get().min(items.len());
        let more = items[known..].iter().take_while(|item| is_complete(item)).count();
        self.0.set(known + more);
        known + more == items.len()
    }
}

impl PartialEq for Known {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl Eq for Known {}

/// Progress of a step.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StepRecord {
    /// Number of failed runs of the gang.
    pub(crate) failures: u32,
    /// The latest failed run of the gang.
    pub(crate) failed_run: Run,
    /// One record per task, in order.
    pub(crate) tasks: Vec<TaskRecord>,
    /// The gang's latest checkpoint, if the records of its members don't have it yet. They get it before
    /// they are stored: each member reports checkpoints, and the gang may have thousands.
    #[serde(skip)]
    pub(crate) shared: Option<String>,
    /// Tasks that are known to be done.
    #[serde(skip)]
    pub(crate) done: Known,
    /// Dependencies of the step that are known to be done.
    #[serde(skip)]
    pub(crate) met: Known,
}

impl StepRecord {
    /// Returns the latest checkpoint of a task; empty if there is none.
    pub(crate) fn checkpoint(&self, index: u32) -> Option<&str> {
        let task = self.tasks.get(index as usize)?;
        Some(self.shared.as_deref().unwrap_or(&task.saved))
    }

    /// Copies the gang's latest checkpoint into the records of its members.
    pub(crate) fn share_checkpoint(&mut self) {
        let Some(saved) = self.shared.take() else { return };
        self.tasks.iter_mut().for_each(|t| t.saved.clone_from(&saved));
    }

    /// Returns true if all tasks are done. All calls together go over the tasks once.
    pub(crate) fn is_done(&self) -> bool {
        self.done.covers(&self.tasks, |t| t.done)
    }
}

/// Progress of a round that is due and not done.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct RoundRecord {
    /// Number of the round.
    pub(crate) round: u32,
    /// One record per step, in order.
    pub(crate) steps: Vec<StepRecord>,
    /// Steps that are known to be done.
    #[serde(skip)]
    pub(crate) done: Known,
}

/// What is known of a worker's crash with regard to one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CrashEvidence {
    /// The worker has confirmed the start to the placer that counts the crash.
    pub(crate) confirmed: bool,
    /// The run had just started, and nothing suggests another cause.
    pub(crate) early: bool,
    /// As `early`, and no run of another job had just started.
    pub(crate) unambiguous: bool,
    /// Age of the run in milliseconds, at least and at most; `None` if it isn't known.
    pub(crate) age: Option<(u64, u64)>,
}

/// Crashes of workers under a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CrashRecord {
    /// Number of the task's round.
    pub(crate) round: u32,
    /// Number of the task's step.
    pub(crate) step: u16,
    /// Index of the task in its step.
    pub(crate) index: u32,
    /// The latest crashes, each under another run, in the order in which they were counted.
    pub(crate) crashes: Vec<CrashEvidence>,
    /// The latest counted run; a run counts once.
    pub(crate) counted: Run,
    /// Runs whose leases expired without an end. They count if their boot turns out to have crashed.
    pub(crate) lost: Vec<LostRun>,
}

/// A run whose lease expired without an end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct LostRun {
    pub(crate) run: Run,
    /// The boot that it was on.
    pub(crate) boot: Boot,
    /// Address of that boot; `None` if only a record names the worker.
    pub(crate) addr: Option<SocketAddr>,
    /// The worker had confirmed the start.
    pub(crate) confirmed: bool,
}

impl LostRun {
    /// Returns true if a registered worker is a later boot of the run's worker: one with its
    /// identifier, or with another one at its address.
    pub(crate) fn is_replaced_by(&self, entry: &WorkerEntry) -> bool {
        let same = self.boot.worker == entry.id || self.addr == Some(entry.addr);
        same && self.boot.born < entry.born
    }
}

impl CrashRecord {
    /// Returns the record of a task under which no worker has crashed.
    pub(crate) fn new(round: u32, step: u16, index: u32) -> Self {
        let (crashes, lost) = (Vec::new(), Vec::new());
        Self { round, step, index, crashes, counted: Run::default(), lost }
    }
}

/// The progress of a job.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StateRecord {
    /// Workspace, repeated from the job's record so that a read of the state alone can check the
    /// caller's key.
    pub(crate) workspace: Option<WorkspaceId>,
    /// How the job ended; `None` until then.
    pub(crate) outcome: Option<Outcome>,
    /// When the job ended, in milliseconds since 1970.
    pub(crate) ended: u64,
    /// At least one run has been recorded.
    pub(crate) begun: bool,
    /// Rounds that are due and not done, sorted by number.
    pub(crate) rounds: Vec<RoundRecord>,
    /// Numbers of the done rounds, sorted.
    pub(crate) finished: Vec<u32>,
    /// Crashes of workers under the job's tasks, sorted by round, step and index. Appended later:
    /// records without it are read as having none, and earlier versions don't read it.
    pub(crate) crashes: Vec<CrashRecord>,
    /// Name of the job's queue, repeated from the job's record so that a read of the state alone can tell whose job
    /// it is. Appended later: empty in records of earlier versions.
    pub(crate) queue: String,
}

impl StateRecord {
    /// Returns the state of a job that has just been accepted.
    pub(crate) fn new(workspace: Option<WorkspaceId>, queue: &Queue) -> Self {
        Self { workspace, queue: queue.name.clone(), ..Self::default() }
    }

    /// Returns true if the job belongs to a queue, as far as the record tells.
    pub(crate) fn is_of(&self, queue: &Queue) -> bool {
        self.queue.is_empty() || self.queue == queue.name
    }

    /// Lists the tasks of job `id` whose latest run is on a worker: the task, the run and the boot.
    pub(crate) fn placed_tasks(&self, id: JobId) -> impl Iterator<Item = (TaskId, Run, &Boot)> {
        self.rounds.iter().flat_map(move |round| {
            round.steps.iter().enumerate().flat_map(move |(step, record)| {
                record.tasks.iter().enumerate().filter_map(move |(index, task)| {
                    let (step, index) = (step as u16, index as u32);
                    let id = TaskId { job: id, round: round.round, step, index };
                    task.place.as_ref().map(|boot| (id, task.run, boot))
                })
            })
        })
    }
}

impl RoundRecord {
    /// Returns the record of a round without any runs.
    pub(crate) fn new(round: u32, spec: &JobSpec) -> Self {
        let step = |tasks: u32| StepRecord {
            tasks: vec![TaskRecord::default(); tasks as usize],
            ..StepRecord::default()
        };
        let steps = spec.steps.iter().map(|s| step(s.tasks)).collect();
        Self { round, steps, done: Known::default() }
    }

    /// Returns true if a run of the round has been recorded.
    pub(crate) fn has_runs(&self) -> bool {
        self.steps.iter().flat_map(|s| &s.tasks).any(|t| t.run > Run(0))
    }

    /// Returns true if all steps are done.
    pub(crate) fn is_done(&self) -> bool {
        self.done.covers(&self.steps, StepRecord::is_done)
    }

    /// Returns true if all steps that a step depends on, those in `after`, are done. All calls together go
    /// over the dependencies once.
    pub(crate) fn is_open(&self, step: usize, after: &[u16]) -> bool {
        let is_done = |a: &u16| self.steps.get(usize::from(*a)).is_some_and(StepRecord::is_done);
        self.steps[step].met.covers(after, is_done)
    }
}

/// A record that is kept in the store.
pub(crate) trait Stored: Serialize + DeserializeOwned {
    /// Number of fields appended since the first version of the layout. Each is empty if it is
    /// missing.
    const APPENDED: usize = 0;
}

impl Stored for JobRecord {}

impl Stored for LoadForecast {}

impl Stored for StateRecord {
    const APPENDED: usize = 2;
}

/// Encodes a record.
///
/// # Errors
///
/// [`Code::FieldInvalid`] if the record can't be encoded, which doesn't happen for the records of
/// this module.
pub(crate) fn encode<T: Stored>(record: &T) -> Result<Vec<u8>, Error> {
    let start = vec![LAYOUT_VERSION];
    postcard::to_extend(record, start).map_err(|e| Error::new(Code::FieldInvalid, e.to_string()))
}

/// Decodes a record.
///
/// # Errors
///
/// [`Code::FieldInvalid`] if the bytes are no record of this type and layout.
pub(crate) fn decode<T: Stored>(bytes: &[u8]) -> Result<T, Error> {
    let bad = |text: String| Error::new(Code::FieldInvalid, text);
    match bytes.split_first() {
        Some((&LAYOUT_VERSION, rest)) => {
            // An empty list is encoded as a zero; what follows the last field is not read.
            let mut padded = rest.to_vec();
            padded.resize(rest.len() + T::APPENDED, 0);
            postcard::from_bytes(&padded).map_err(|e| bad(e.to_string()))
        }
        Some((other, _)) => Err(bad(format!("unknown layout {other} of a record"))),
        None => Err(bad("empty record".to_string())),
    }
}

/// Keys of the records.
pub(crate) mod keys {
    use super::JobId;

    /// Key held by the leader under its lease.
    pub(crate) const LEADER: &str = "bulrushlink/leader";
    /// Key written by a strong host to request a handover from a leader on a weak host.
    pub(crate) const HANDOVER: &str = "bulrushlink/handover";
    /// Run times that the placer has learned.
    pub(crate) const TIMES: &str = "bulrushlink/times";
    /// Key of the forecast for admission, which only the placer writes.
    pub(crate) const LOAD: &str = "bulrushlink/load";
    /// Key that exists while no further jobs are accepted.
    pub(crate) const FULL: &str = "bulrushlink/full/all";
    /// Key that exists while no further large jobs are accepted.
    pub(crate) const FULL_LARGE: &str = "bulrushlink/full/large";
    /// Prefix of the callers' requests to the placer: jobs and cancellations.
    pub(crate) const INBOX: &str = "bulrushlink/in/";
    /// Prefix of the accepted jobs.
    pub(crate) const JOBS: &str = "bulrushlink/in/job/";
    /// Prefix of the cancellations.
    pub(crate) const CANCELS: &str = "bulrushlink/in/cancel/";
    /// Prefix of the jobs' states.
    pub(crate) const STATES: &str = "bulrushlink/state/";
    /// Prefix of the pending markers: empty records that make the pending jobs of a queue
    /// countable.
    pub(crate) const PENDING: &str = "bulrushlink/pending/";

    /// Returns the key of an accepted job.
    pub(crate) fn job(id: JobId) -> String {
        format!("{JOBS}{id}")
    }

    /// Returns the key of a cancellation.
    pub(crate) fn cancel(id: JobId) -> String {
        format!("{CANCELS}{id}")
    }

    /// Returns the key of a job's state.
    pub(crate) fn state(id: JobId) -> String {
        format!("{STATES}{id}")
    }

    /// Returns the prefix of the pending markers of a queue.
    pub(crate) fn pending(queue: &str) -> String {
        format!("{PENDING}{queue}/")
    }

    /// Returns the key of the pending marker of a job, which is removed once the job begins or
    /// ends.
    pub(crate) fn marker(queue: &str, id: JobId) -> String {
        format!("{PENDING}{queue}/{id}")
    }
}

/// A key of the daemons in the store, with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Full key, including its prefix.
    pub key: String,
    /// Encoded record.
    pub value: Vec<u8>,
    /// Revision of the latest write.
    pub rev: Rev,
}

#[cfg(test)]
mod tests;
