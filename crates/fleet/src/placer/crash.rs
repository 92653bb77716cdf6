//! Tasks that crash the workers that start them: workers' crashes are counted against the tasks
//! that ran there, suspected tasks run apart from others, and a task that goes on crashing workers
//! is given up with its job.

use bulrushlink_core::{Moment, Span};
use std::net::SocketAddr;

use crate::edge::{Fault, WorkerEntry, WorkerState};
use crate::ids::{Boot, JobId, Run, TaskId};
use crate::record::{CrashEvidence, CrashRecord, LostRun, Outcome, TaskRecord};

use super::job::Job;
use super::worker::{ContactLoss, Phase, Slot, Worker};
use super::{Context, Placer};

/// Age of a run up to which it is suspected when its worker crashes.
const SUSPECT_AGE_MAX: Span = Span(1_000);
/// Age of a run up to which hardly anything else explains a failure that showed at once.
const EXPLAINED_AGE_MAX: Span = Span(200);
/// Age of a run up to which a crash of its worker is counted at all.
const COUNTED_AGE_MAX: Span = Span(30_000);
/// Time for which a worker with a suspected run that has just started gets no other runs.
const ISOLATION_TIME: Span = Span(1_500);
/// Longest time for which a suspected task waits for a worker without other runs.
const ISOLATION_WAIT_MAX: Span = Span(2_000);
/// A worker that was listed as ready this long ago can't have left as planned, as departures are
/// announced at least 2 s ahead. As long as the entries may be used to start runs on the workers of
/// the smallest deployments.
const READY_AGE_MAX: Span = Span(1_400);
/// Two workers that fall silent within this time may have the same cause.
const SAME_CAUSE_WINDOW: Span = Span(500);
/// Number of other workers that fall silent in that time, each with other suspects, at which all
/// have the same cause.
const SAME_CAUSE_WORKERS: usize = 3;
/// Time for which the silences of workers are kept, longer than a worker takes to boot again.
const SILENCE_RETENTION: Span = Span(30_000);
/// Ages that differ by a factor of two and this have different causes.
const AGE_MARGIN: Span = Span(500);
/// A task that runs longer than twice the age at which its worker crashed, and this, is cleared.
const CLEARED_AGE_MIN: Span = Span(3_000);
/// Crashes at which a task is given up if one of them has no other explanation.
const UNAMBIGUOUS_CRASHES_MAX: u32 = 2;
/// Crashes at which a task is given up if the start of at least one was confirmed.
const CRASHES_MAX: u32 = 3;
/// Crashes at which a task is given up even if no start was confirmed.
const UNSURE_CRASHES_MAX: u32 = 4;
/// Most crashes that are kept of a task.
const CRASHES_KEPT_MAX: usize = 12;

/// How often workers have crashed under a task at about the same age of its runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct CrashCount {
    /// Crashes under runs whose start the worker had confirmed.
    pub(crate) crashes: u32,
    /// Crashes after starts that got no reply.
    pub(crate) unsure: u32,
    /// How many of `crashes` came soon after the start.
    pub(crate) early: u32,
    /// How many of `early` came while no run of another job had just started on the worker.
    pub(crate) unambiguous: u32,
}

/// The loss of contact with a worker, with the jobs whose runs there had just started.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Silence {
    at: Moment,
    /// Sorted.
    suspects: Vec<JobId>,
    /// The worker failed so soon after a start that another cause is unlikely.
    explained: bool,
}

impl CrashEvidence {
    /// Returns what is known of a crash that was found when the age of the run was no longer known.
    pub(super) fn of_unknown_age(confirmed: bool) -> Self {
        Self { confirmed, early: false, unambiguous: false, age: None }
    }

    /// Returns true if one task may have caused both crashes: it crashes its workers at about the
    /// same age.
    fn is_alike(&self, other: &Self) -> bool {
        let (Some(a), Some(b)) = (self.age, other.age) else { return true };
        let twice = |ms: u64| ms.saturating_mul(2).saturating_add(AGE_MARGIN.millis());
        a.0 <= twice(b.1) && b.0 <= twice(a.1)
    }
}

impl CrashCount {
    fn add(&mut self, crash: &CrashEvidence) {
        self.crashes += u32::from(crash.confirmed);
        self.unsure += u32::from(!crash.confirmed);
        self.early += u32::from(crash.confirmed && crash.early);
        self.unambiguous += u32::from(crash.confirmed && crash.unambiguous);
    }

    /// Returns true if the task has to be given up.
    pub(crate) fn must_give_up(&self) -> bool {
        let all = self.crashes + self.unsure;
        (self.early >= UNAMBIGUOUS_CRASHES_MAX && self.unambiguous > 0)
            || (self.crashes > 0 && all >= CRASHES_MAX)
            || all >= UNSURE_CRASHES_MAX
    }
}

impl CrashRecord {
    fn task(&self, job: JobId) -> TaskId {
        TaskId { job, round: self.round, step: self.step, index: self.index }
    }

    /// Counts the crashes that are alike to one of them.
    fn count_alike(&self, crash: &CrashEvidence) -> CrashCount {
        let mut count = CrashCount::default();
        self.crashes.iter().filter(|c| c.is_alike(crash)).for_each(|c| count.add(c));
        count
    }

    /// Returns true if the task is to be isolated: a crash came soon after its start.
    fn is_suspect(&self) -> bool {
        self.crashes.iter().any(|c| c.early)
    }

    /// Returns the greatest age of a run at a crash.
    fn age_max(&self) -> Span {
        Span(self.crashes.iter().filter_map(|c| c.age).map(|(_, most)| most).max().unwrap_or(0))
    }
}

impl Job {
    fn crash_index(&self, task: &TaskId) -> Result<usize, usize> {
        let key = (task.round, task.step, task.index);
        self.state.crashes.binary_search_by_key(&key, |c| (c.round, c.step, c.index))
    }

    fn crash_record(&mut self, task: &TaskId) -> &mut CrashRecord {
        let at = self.crash_index(task).unwrap_or_else(|at| {
            let record = CrashRecord::new(task.round, task.step, task.index);
            self.state.crashes.insert(at, record);
            at
        });
        &mut self.state.crashes[at]
    }

    /// Returns true if a worker has crashed soon after it started the task, and the task isn't
    /// cleared since.
    pub(crate) fn is_suspect(&self, task: &TaskId) -> bool {
        self.crash_index(task).is_ok_and(|at| self.state.crashes[at].is_suspect())
    }

    /// Counts a crash of the worker of a run, and returns how often workers have crashed so. Returns
    /// `None` if the run is already counted, or no run of this task. A run that was `remembered` as
    /// lost may be older than the latest counted one.
    pub(crate) fn count_crash(
        &mut self,
        task: &TaskId,
        run: Run,
        evidence: &CrashEvidence,
        remembered: bool,
    ) -> Option<CrashCount> {
        if self.is_over() || self.task(task).is_none_or(|t| t.done || run > t.run) {
            return None;
        }
        let record = self.crash_record(task);
        if run <= record.counted && !remembered {
            return None;
        }
        record.counted = record.counted.max(run);
        record.lost.retain(|l| l.run != run);
        if record.crashes.len() == CRASHES_KEPT_MAX {
            record.crashes.remove(0);
        }
        record.crashes.push(*evidence);
        let count = record.count_alike(evidence);
        self.mark_dirty();
        Some(count)
    }

    /// Remembers a run that was lost with its lease, in case its worker turns out to have crashed.
    fn remember_lost(&mut self, task: &TaskId, lost: LostRun) {
        if self.is_over() || self.task(task).is_none_or(|t| t.done || t.run != lost.run) {
            return;
        }
        self.crash_record(task).lost.push(lost);
        self.mark_dirty();
    }

    /// Takes the lost runs that match, with their tasks.
    fn take_lost(&mut self, matches: impl Fn(&LostRun) -> bool) -> Vec<(TaskId, LostRun)> {
        let (id, mut taken) = (self.id, Vec::new());
        for record in &mut self.state.crashes {
            let (round, step, index) = (record.round, record.step, record.index);
            let lost = record.lost.extract_if(.., |l| matches(l));
            taken.extend(lost.map(|l| (TaskId { job: id, round, step, index }, l)));
        }
        if !taken.is_empty() {
            self.mark_dirty();
        }
        taken
    }

    /// Drops what is counted against tasks that are done or cleared.
    fn clear_suspects(&mut self, cleared: impl Fn(&TaskId, &CrashRecord) -> bool) {
        let (id, before) = (self.id, self.state.crashes.len());
        let mut crashes = std::mem::take(&mut self.state.crashes);
        crashes.retain(|c| {
            let task = TaskId { job: id, round: c.round, step: c.step, index: c.index };
            let done = self.task(&task).is_none_or(|t| t.done);
            !done && !cleared(&task, c)
        });
        self.state.crashes = crashes;
        if self.state.crashes.len() < before {
            self.mark_dirty();
        }
    }
}

impl Slot {
    /// Returns true if the run was on the worker when contact was lost, as far as known: a stop that
    /// the worker confirmed before may have ended it.
    fn was_running(&self, lost: Moment) -> bool {
        match self.phase {
            Phase::Planned(_) => false,
            // After the loss, only a later boot can have confirmed the stop.
            Phase::Closing { answered, .. } => answered.is_none_or(|at| at >= lost),
            Phase::Starting | Phase::Running | Phase::Unheard => true,
        }
    }
}

impl Worker {
    /// Returns when contact was lost. A worker that is known to have crashed and was never silent
    /// has been lost since its last reply.
    fn contact_loss(&self, now: Moment) -> ContactLoss {
        let heard = self.clock.map(|(_, at)| at);
        self.loss.unwrap_or_else(|| ContactLoss::new(now, heard, false))
    }

    /// Returns true if the worker can't have left as planned when contact was lost. A worker that
    /// was never listed in this epoch counts as ready.
    pub(super) fn was_ready(&self, lost: Moment) -> bool {
        let Some(entry) = &self.entry else { return true };
        // A call may take seconds to fail, while the entry is already gone.
        let listed_until = self.missing.map_or(lost, |m| m.min(lost));
        entry.state == WorkerState::Ready
            && self.ready.is_some_and(|at| listed_until.since(at) <= READY_AGE_MAX)
    }

    /// Returns true if a run had just started when contact was lost.
    fn is_early(slot: &Slot, loss: &ContactLoss) -> bool {
        slot.phase != Phase::Unheard
            && slot.was_running(loss.at)
            && slot.started >= loss.suspects_since
    }

    /// Lists, sorted, the jobs whose runs had just started when contact was lost.
    fn suspects(&self, loss: &ContactLoss) -> Vec<JobId> {
        let early = self.slots.iter().filter(|s| Self::is_early(s, loss));
        let mut jobs: Vec<JobId> = early.map(|s| s.task.job).collect();
        jobs.sort_unstable();
        jobs.dedup();
        jobs
    }

    /// Returns true if the worker must get no other runs because of a suspected one.
    pub(crate) fn is_isolated(&self, now: Moment) -> bool {
        now < self.closed_until && !self.slots.is_empty()
    }
}

impl ContactLoss {
    /// `heard` is when the worker last replied. If the failed call is `prompt`, it tells by itself
    /// that the worker has just failed.
    fn new(now: Moment, heard: Option<Moment>, prompt: bool) -> Self {
        let since = now - SUSPECT_AGE_MAX;
        let lag = heard.map_or(Span::ZERO, |h| now.since(h));
        let suspects_since = heard.filter(|_| !prompt).map_or(since, |h| h.min(since));
        Self { at: now, suspects_since, lag }
    }
}

impl Placer {
    /// Counts a call to a worker that got no reply.
    pub(super) fn count_unanswered(&mut self, at: usize, now: Moment, fault: &Fault) {
        // A refused connection shows at once that the worker has failed, a time-out doesn't.
        let prompt = matches!(fault, Fault::NotDone(_));
        self.count_silence(at, now, prompt);
    }

    /// Counts a call to a worker that puts the worker in doubt.
    pub(super) fn count_silence(&mut self, at: usize, now: Moment, prompt: bool) {
        self.workers[at].silent += 1;
        self.record_loss(at, now, prompt);
    }

    /// Records when contact with a worker was lost, unless it already is.
    pub(super) fn record_loss(&mut self, at: usize, now: Moment, prompt: bool) {
        let worker = &mut self.workers[at];
        if worker.loss.is_some() {
            return;
        }
        let heard = worker.clock.map(|(_, at)| at);
        let loss = ContactLoss::new(now, heard, prompt);
        worker.loss = Some(loss);
        if let Some(entry) = &worker.entry {
            self.breakers.note_loss(now, entry.addr, &entry.domain);
        }
        if !worker.slots.is_empty() {
            let suspects = worker.suspects(&loss);
            let fresh = |s: &Slot| {
                Worker::is_early(s, &loss) && loss.at.since(s.started) <= EXPLAINED_AGE_MAX
            };
            let explained = prompt && worker.slots.iter().any(fresh);
            self.silences.retain(|s| now.since(s.at) <= SILENCE_RETENTION);
            self.silences.push(Silence { at: now, suspects, explained });
        }
    }

    /// Returns true if other workers fell silent at about the same time for another reason than the
    /// runs that had just started here: a worker on which none had, or too many workers with others.
    fn has_other_cause(&self, loss: &ContactLoss, suspects: &[JobId]) -> bool {
        let near = |s: &&Silence| {
            !s.explained
                && s.at.max(loss.at).since(s.at.min(loss.at)) <= SAME_CAUSE_WINDOW
                && !s.suspects.iter().any(|j| suspects.binary_search(j).is_ok())
        };
        let others: Vec<&Silence> = self.silences.iter().filter(near).collect();
        others.len() >= SAME_CAUSE_WORKERS || others.iter().any(|s| s.suspects.is_empty())
    }

    /// Handles the crash of a worker whose address now belongs to another boot: its runs are gone.
    pub(super) fn handle_replaced(&mut self, ctx: &mut Context<'_>, at: usize) {
        let worker = &mut self.workers[at];
        if std::mem::replace(&mut worker.replaced, true) {
            return;
        }
        log::info!(
            event = "worker_replaced", worker:% = worker.id(), runs = worker.slots.len();
            "another boot replies at the address of the worker, whose runs are lost"
        );
        self.count_worker_crash(ctx, at);
        if !self.workers[at].slots.is_empty() {
            self.judge_loss(ctx, at, true);
        }
        let slots = self.workers[at].slots.take();
        for slot in slots {
            self.release_lost_run(ctx, at, &slot, "its worker is replaced by another boot");
        }
    }

    /// Counts a worker's crash against the tasks that ran there, and gives up those that go on
    /// crashing workers.
    pub(super) fn count_worker_crash(&mut self, ctx: &mut Context<'_>, at: usize) {
        let runs = self.crash_evidence(at, ctx.clock.now);
        let boot = self.workers[at].boot.clone();
        self.count_crashes(ctx, &boot, &runs, false);
        self.count_lost(ctx, &boot, |l| l.boot == boot);
    }

    /// Counts the crash of the boot that a run was started on, once the present boot turns out not to have the run.
    pub(super) fn count_earlier_boot(&mut self, ctx: &mut Context<'_>, at: usize, slot: &Slot) {
        let Some(evidence) = slot.crash else { return };
        let boot = self.workers[at].boot.clone();
        self.count_crashes(ctx, &boot, &[(slot.task, slot.run, evidence)], false);
    }

    /// Returns what a worker's crash says of the runs there.
    pub(super) fn crash_evidence(
        &mut self,
        at: usize,
        now: Moment,
    ) -> Vec<(TaskId, Run, CrashEvidence)> {
        self.record_loss(at, now, false);
        let worker = &self.workers[at];
        let loss = worker.contact_loss(now);
        let mut runs = Vec::new();
        if worker.was_ready(loss.at) {
            let suspects = worker.suspects(&loss);
            let external = self.has_other_cause(&loss, &suspects);
            for slot in worker.slots.iter().filter(|s| s.was_running(loss.at)) {
                let age = loss.at.since(slot.started);
                let is_early = !external && Worker::is_early(slot, &loss);
                let unambiguous = is_early && suspects == [slot.task.job];
                let confirmed = slot.confirmed;
                let least = age.millis().saturating_sub(loss.lag.millis());
                // When an earlier placer started the run isn't known.
                let range = (slot.phase != Phase::Unheard).then_some((least, age.millis()));
                let evidence =
                    CrashEvidence { confirmed, early: is_early, unambiguous, age: range };
                let restored = slot.phase == Phase::Unheard;
                if age <= COUNTED_AGE_MAX && (confirmed || is_early || restored) {
                    runs.push((slot.task, slot.run, evidence));
                }
            }
        } else if !worker.slots.is_empty() {
            log::info!(
                event = "crash_uncounted", worker:% = worker.id(), runs = worker.slots.len();
                "the worker may have left as planned"
            );
        }
        runs
    }

    /// Counts the crash of an earlier boot of a worker, or at its address, against the tasks that
    /// were lost with it.
    fn count_earlier_crash(&mut self, ctx: &mut Context<'_>, entry: &WorkerEntry) {
        let boot = Boot { worker: entry.id.clone(), born: entry.born };
        self.count_lost(ctx, &boot, |l| l.is_replaced_by(entry));
    }

    /// Counts the crashes of earlier boots of all registered workers.
    ///
    /// Load pattern: a failure domain is cut off, and thousands of runs are lost within a second. After a
    /// takeover, or when it is back, hundreds of workers register at once.
    pub(super) fn count_earlier_crashes(&mut self, ctx: &mut Context<'_>) {
        let records = self.jobs.iter().flat_map(|j| &j.state.crashes);
        let mut lost: Vec<&LostRun> = records.flat_map(|c| &c.lost).collect();
        if lost.is_empty() {
            return;
        }
        lost.sort_unstable_by(|a, b| (&a.boot, a.addr).cmp(&(&b.boot, b.addr)));
        lost.dedup_by(|a, b| (&a.boot, a.addr) == (&b.boot, b.addr));
        let mut by_addr: Vec<(SocketAddr, &WorkerEntry)> =
            self.workers.iter().filter_map(|w| w.entry.as_ref()).map(|e| (e.addr, e)).collect();
        by_addr.sort_unstable_by_key(|(addr, _)| *addr);
        let mut replacing = Vec::new();
        for run in lost {
            let same_id = self.worker_index(&run.boot.worker).ok();
            let same_id = same_id.and_then(|at| self.workers[at].entry.as_ref());
            let first = by_addr.partition_point(|(addr, _)| Some(*addr) < run.addr);
            let there = by_addr[first..].iter().take_while(|(addr, _)| Some(*addr) == run.addr);
            let mut entries = there.map(|(_, entry)| *entry).chain(same_id);
            replacing.extend(entries.find(|entry| run.is_replaced_by(entry)).cloned());
        }
        replacing.iter().for_each(|entry| self.count_earlier_crash(ctx, entry));
    }

    /// Counts a crash against the tasks that are remembered as lost, where the runs match.
    pub(super) fn count_lost(
        &mut self,
        ctx: &mut Context<'_>,
        boot: &Boot,
        matches: impl Fn(&LostRun) -> bool,
    ) {
        let mut runs = Vec::new();
        for job in self.jobs.iter_mut().filter(|j| !j.state.crashes.is_empty()) {
            let lost = job.take_lost(&matches);
            runs.extend(
                lost.into_iter()
                    .map(|(t, l)| (t, l.run, CrashEvidence::of_unknown_age(l.confirmed))),
            );
        }
        self.count_crashes(ctx, boot, &runs, true);
    }

    fn count_crashes(
        &mut self,
        ctx: &mut Context<'_>,
        boot: &Boot,
        runs: &[(TaskId, Run, CrashEvidence)],
        remembered: bool,
    ) {
        for (task, run, evidence) in runs {
            let Ok(j) = self.job_index(task.job) else { continue };
            self.jobs[j].isolate_until = ctx.clock.now + ISOLATION_WAIT_MAX;
            let counted = self.jobs[j].count_crash(task, *run, evidence, remembered);
            let Some(count) = counted else { continue };
            log::info!(
                event = "crash_counted", task:% = task, run = run.0, worker:% = boot.worker,
                crashes = count.crashes, unsure = count.unsure, early = count.early, unambiguous = count.unambiguous,
                suspects = runs.len(), age_ms = evidence.age.map_or(-1, |(_, most)| most as i64); "the worker has crashed under the run"
            );
            if count.must_give_up() {
                log::warn!(
                    event = "job_given_up", job:% = task.job, task:% = task, crashes = count.crashes,
                    unsure = count.unsure; "the task goes on crashing its workers; the job has failed"
                );
                metrics::counter!("bulrushlink_jobs_given_up_total").increment(1);
                self.jobs[j].finish(Outcome::Failed, ctx.clock.wall);
                self.stop_job(ctx, task.job);
            }
        }
        self.stale |= !runs.is_empty();
    }

    /// Remembers a run that is lost with its lease, unless its worker may have left as planned.
    pub(super) fn remember_lost(&mut self, at: usize, slot: &Slot, boot: &Boot, now: Moment) {
        let loss = self.workers[at].contact_loss(now);
        let counts = (slot.confirmed || slot.phase == Phase::Unheard)
            && slot.was_running(loss.at)
            && loss.at.since(slot.started) <= COUNTED_AGE_MAX
            && self.workers[at].was_ready(loss.at);
        if counts && let Ok(j) = self.job_index(slot.task.job) {
            let addr = self.workers[at].entry.as_ref().map(|e| e.addr);
            let (run, confirmed) = (slot.run, slot.confirmed);
            let lost = LostRun { run, boot: boot.clone(), addr, confirmed };
            self.jobs[j].remember_lost(&slot.task, lost);
        }
    }

    /// Drops the lost runs of a boot that turns out to be alive.
    pub(super) fn forget_lost(&mut self, boot: &Boot) {
        for job in self.jobs.iter_mut().filter(|j| !j.state.crashes.is_empty()) {
            job.take_lost(|l| l.boot == *boot);
        }
    }

    /// Clears the tasks that are done, or that run well past the age at which their workers crashed.
    pub(super) fn clear_suspects(&mut self) {
        let workers = &self.workers;
        for job in self.jobs.iter_mut().filter(|j| !j.state.crashes.is_empty()) {
            let state = &job.state;
            let mut cleared = Vec::new();
            for record in &state.crashes {
                let task = record.task(job.id);
                let Some(TaskRecord { run, place: Some(boot), .. }) = job.task(&task) else {
                    continue;
                };
                let age = record.age_max();
                let past = CLEARED_AGE_MIN + age + age;
                let Ok(w) = workers.binary_search_by(|w| w.id().cmp(&boot.worker)) else {
                    continue;
                };
                let Some(s) = workers[w].slot_index(&task, *run) else { continue };
                let slot = &workers[w].slots[s];
                // The worker may have crashed since its latest report.
                let reported = workers[w].clock.map_or(slot.since, |(_, at)| at);
                if slot.phase == Phase::Running && reported.since(slot.since) > past {
                    cleared.push(task);
                }
            }
            // Listed in the order of the records, so it is sorted.
            job.clear_suspects(|task, _| cleared.binary_search(task).is_ok());
        }
    }

    /// Postpones the suspected tasks of a job while one of them runs on a worker that may be about
    /// to crash or has crashed. Returns the jobs whose suspected tasks have to wait.
    pub(super) fn postpone_suspects(&mut self, now: Moment) -> Vec<JobId> {
        let workers = &self.workers;
        let mut postponed = Vec::new();
        for job in self.jobs.iter_mut().filter(|j| !j.state.crashes.is_empty() && !j.is_over()) {
            let at_risk = |record: &CrashRecord| {
                let place = job.task(&record.task(job.id)).and_then(|t| t.place.as_ref());
                let worker = place.map(|b| workers.binary_search_by(|w| w.id().cmp(&b.worker)));
                matches!(worker, Some(Ok(w)) if workers[w].silent > 0 || now < workers[w].closed_until)
            };
            let mut suspects = job.state.crashes.iter().filter(|r| r.is_suspect());
            if suspects.any(at_risk) {
                job.isolate_until = now + ISOLATION_WAIT_MAX;
                postponed.push(job.id);
            }
        }
        postponed
    }

    /// Returns the jobs with runs on workers that are kept for suspected runs that have just started, sorted.
    pub(super) fn jobs_on_trial(&self, now: Moment) -> Vec<JobId> {
        let isolated = self.workers.iter().filter(|w| w.is_isolated(now));
        let mut jobs: Vec<JobId> =
            isolated.flat_map(|w| w.slots.iter()).map(|s| s.task.job).collect();
        jobs.sort_unstable();
        jobs
    }

    /// Keeps other runs away from a worker that gets a run of a suspected task.
    pub(super) fn isolate_suspect(&mut self, at: usize, task: &TaskId, now: Moment) {
        let suspect = self.job_index(task.job).is_ok_and(|j| self.jobs[j].is_suspect(task));
        if suspect {
            self.workers[at].closed_until = now + ISOLATION_TIME;
        }
    }
}
