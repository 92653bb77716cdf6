//! Tasks that crash the workers that start them.

use bulrushlink_fleet::TaskId;

use super::worker::FleetWorker;

/// Time for which a crashed worker is down, in milliseconds.
const DOWNTIME_MS: u64 = 1_500;
/// Crashes under a task after which it may be started only `STARTS_LEFT` times.
const CRASHES_MAX: u32 = 3;
const STARTS_LEFT: u32 = 2;

/// A worker that is about to crash.
struct Due {
    at: u64,
    worker: usize,
    born: u64,
}

/// What is known of a task under which workers have crashed.
struct Count {
    task: TaskId,
    crashes: u32,
    /// Starts since there were `CRASHES_MAX` crashes.
    starts: u32,
}

/// Crashes of workers that are due or have happened.
#[derive(Default)]
pub(super) struct Crashes {
    due: Vec<Due>,
    /// Workers that are down, each with the time of its boot.
    down: Vec<(usize, u64)>,
    /// Sorted by task.
    counts: Vec<Count>,
}

impl Crashes {
    pub(super) fn is_down(&self, worker: usize) -> bool {
        self.down.iter().any(|(w, _)| *w == worker)
    }

    /// Returns how many workers have crashed under a task of a job, for the task with the most.
    pub(super) fn max_count(&self, job: u64) -> u32 {
        let of_job = self.counts.iter().filter(|c| c.task.job.0 == job);
        of_job.map(|c| c.crashes).max().unwrap_or(0)
    }

    /// Records a start, which crashes the worker after `delay` if that is set; returns a violation if
    /// the task is started too often.
    pub(super) fn record_start(
        &mut self,
        task: TaskId,
        worker: usize,
        born: u64,
        now: u64,
        delay: Option<u64>,
    ) -> Option<String> {
        self.due.push(Due { at: now + delay?, worker, born });
        let at = self.counts.binary_search_by_key(&task, |c| c.task).ok()?;
        let count = &mut self.counts[at];
        count.starts += u32::from(count.crashes >= CRASHES_MAX);
        (count.starts > STARTS_LEFT)
            .then(|| format!("{task} is started again after {} crashes", count.crashes))
    }

    /// Records a crash against the tasks that run on a worker.
    pub(super) fn record_crash(&mut self, worker: &FleetWorker) {
        record_crash(&mut self.counts, worker);
    }

    /// Crashes and boots the workers for which it is time; returns true if one has booted.
    pub(super) fn advance(&mut self, workers: &mut [FleetWorker], now: u64) -> bool {
        for due in self.due.extract_if(.., |d| d.at <= now) {
            let worker = &mut workers[due.worker];
            if worker.entry.born != due.born {
                continue;
            }
            record_crash(&mut self.counts, worker);
            worker.reboot(now);
            self.down.push((due.worker, now + DOWNTIME_MS));
        }
        let before = self.down.len();
        self.down.retain(|(_, boots)| *boots > now);
        self.down.len() < before
    }
}

fn record_crash(counts: &mut Vec<Count>, worker: &FleetWorker) {
    for run in &worker.runs {
        match counts.binary_search_by_key(&run.task, |c| c.task) {
            Ok(at) => counts[at].crashes += 1,
            Err(at) => counts.insert(at, Count { task: run.task, crashes: 1, starts: 0 }),
        }
    }
}
