//! Sends starts and stops of runs, and handles their replies.

use bulrushlink_core::{Span, WorkerId};

use crate::edge::{Fault, StartRefusal, WorkerOp, WorkerReply};
use crate::ids::{JobId, Run, TaskId};

use super::slots::Slots;
use super::worker::{Phase, Slot};
use super::{Context, Placer, PlacerTag};

/// The timeout of a start or a stop is `gang_ms`, the time that members of a gang wait for each
/// other, divided by this: a gang with a member that does not reply is stopped well before the
/// others give up.
const CALL_TIMEOUT_DIVISOR: u64 = 4;
/// Delay before a failed stop is retried.
const STOP_RETRY_DELAY: Span = Span(100);
/// Least time without progress after which a run is taken to be stalled.
const STALL_TIMEOUT_MIN: Span = Span(3_000);
/// Least time without progress after which a run is taken to be stalled, as a fraction of the
/// caller's estimate, which can be far too low. The longer of the two applies.
const STALL_ESTIMATE_FRACTION: f64 = 0.5;
/// Backoff before the tasks of a job are placed again after a refused start.
const REFUSED_START_BACKOFF: Span = Span(100);

/// A start that is recorded and not sent: the position of its worker, the task and the run.
pub(super) type RecordedStart = (usize, TaskId, Run);

impl Placer {
    /// Sends the starts of a job that are recorded up to `version`. All that made its worker eligible is checked
    /// again, as the worker, its entry and the configuration may have changed since the start was planned. If a
    /// start is withheld that belongs to a gang, so are the starts of the other members.
    pub(super) fn send_starts(&mut self, ctx: &mut Context<'_>, id: JobId, version: u64) {
        for together in self.recorded_starts(id, version) {
            let why = self.find_obstacle(ctx, &together);
            for (at, task, run) in &together {
                match why {
                    Some(why) => self.withhold_start(*at, task, *run, why),
                    None => self.send_start(ctx, *at, task, *run),
                }
            }
        }
    }

    /// Returns why starts that are to be sent together must be withheld, if there is a reason.
    fn find_obstacle(&self, ctx: &Context<'_>, starts: &[RecordedStart]) -> Option<&'static str> {
        let all = |holds: &dyn Fn(usize, &TaskId) -> bool| {
            starts.iter().all(|(at, task, _)| holds(*at, task))
        };
        match () {
            () if !ctx.extends_leases => Some("the leader's lease may have ended"),
            () if !all(&|at, _| self.may_start(ctx, at)) => {
                Some("a worker may get no new runs any more")
            }
            () if !all(&|at, task| self.is_still_eligible(ctx, at, task)) => {
                Some("a worker has another endpoint or lacks the required label")
            }
            () if !all(&|at, task| self.is_within_limit(at, task)) => {
                Some("a worker has more tasks of the step than may run there")
            }
            () if !self.starts_fit(starts) => Some("a worker has shrunk and has no room"),
            () => None,
        }
    }

    /// Returns true if a worker belongs to the endpoint of the task's queue and has the label that its step
    /// requires, by the present entry and configuration.
    fn is_still_eligible(&self, ctx: &Context<'_>, at: usize, task: &TaskId) -> bool {
        let Ok(j) = self.job_index(task.job) else { return false };
        let job = &self.jobs[j];
        let endpoint = &job.queue(ctx.catalog).endpoint;
        job.step(task).is_some_and(|step| self.serves(at, endpoint, step.label.as_ref()))
    }

    /// Returns true if the runs of the task's step on a worker, with those that are planned there, are no more than
    /// the step allows. The worker may have reported a run that no record names.
    fn is_within_limit(&self, at: usize, task: &TaskId) -> bool {
        let step = self.job_index(task.job).ok().and_then(|j| self.jobs[j].step(task));
        let Some(most) = step.and_then(|s| s.per_worker) else { return true };
        let same = |s: &&Slot| {
            (s.task.job, s.task.round, s.task.step) == (task.job, task.round, task.step)
        };
        self.workers[at].slots.iter().filter(same).count() as u64 <= u64::from(most)
    }

    /// Lists the starts of a job that are recorded up to `version` and not sent: the members of a
    /// gang together, and each other start by itself.
    fn recorded_starts(&self, id: JobId, version: u64) -> Vec<Vec<RecordedStart>> {
        let Ok(j) = self.job_index(id) else { return Vec::new() };
        let mut starts = Vec::new();
        for (task, run, boot) in self.jobs[j].state.placed_tasks(id) {
            let Ok(at) = self.worker_index(&boot.worker) else { continue };
            let worker = &self.workers[at];
            let Some(slot) = worker.slot_index(&task, run) else { continue };
            if matches!(worker.slots[slot].phase, Phase::Planned(v) if v <= version) {
                starts.push((at, task, run));
            }
        }
        starts.sort_unstable_by_key(|(_, task, run)| (task.round, task.step, *run, task.index));
        let same_gang = |(_, a, run): &RecordedStart, (_, b, other): &RecordedStart| {
            (a.round, a.step, run) == (b.round, b.step, other) && self.is_gang(a)
        };
        starts.chunk_by(same_gang).map(<[RecordedStart]>::to_vec).collect()
    }

    /// Withholds a start that was recorded and not sent: its task waits to be placed again.
    fn withhold_start(&mut self, at: usize, task: &TaskId, run: Run, why: &str) {
        log::info!(
            event = "start_withheld", task:% = task, run = run.0, worker:% = self.workers[at].id();
            "start not sent: {why}"
        );
        if let Some(s) = self.workers[at].slot_index(task, run) {
            self.workers[at].slots.remove(s);
        }
        if let Ok(j) = self.job_index(task.job) {
            self.jobs[j].clear_place(task, run);
        }
        self.stale = true;
    }

    fn send_start(&mut self, ctx: &mut Context<'_>, at: usize, task: &TaskId, run: Run) {
        let now = ctx.clock.now;
        let Ok(j) = self.job_index(task.job) else { return };
        let Some(saved) = self.jobs[j].checkpoint(task).map(str::to_string) else {
            log::error!(event = "start_without_task", task:% = task, run = run.0; "start not sent: the task has no record");
            return self.withhold_start(at, task, run, "the task has no record");
        };
        let text = self.jobs[j].spec.text.clone();
        let worker = &mut self.workers[at];
        let Some(clock) = worker.estimated_clock(now) else { return };
        let Some(s) = worker.slot_index(task, run) else { return };
        let lease_end = clock.saturating_add(ctx.run_lease().millis());
        worker.grant_lease(lease_end);
        let slot = &mut worker.slots[s];
        slot.phase = Phase::Starting;
        (slot.since, slot.started, slot.saved_at, slot.moved) = (now, now, now, now);
        let op = WorkerOp::Start { task: *task, run, text, saved, lease_end };
        let Some(target) = worker.target() else { return };
        let tag = PlacerTag::Start(target.worker.clone(), target.fence, *task, run);
        let timeout = call_timeout(ctx);
        self.call_worker(ctx, target, tag, op, timeout);
        self.isolate_suspect(at, task, now);
        metrics::counter!("bulrushlink_starts_total").increment(1);
    }

    /// Returns the worker and the slot that a start or stop was for. Returns `None` if the worker
    /// has rebooted since: a reply of an earlier boot says nothing about this one.
    fn called_slot(
        &self,
        id: &WorkerId,
        fence: u32,
        task: &TaskId,
        run: Run,
    ) -> Option<(usize, usize)> {
        let at = self.worker_index(id).ok()?;
        let worker = &self.workers[at];
        let slot = worker.slot_index(task, run).filter(|_| worker.fence == fence)?;
        Some((at, slot))
    }

    pub(super) fn start_answered(
        &mut self,
        ctx: &mut Context<'_>,
        (id, fence): (&WorkerId, u32),
        task: &TaskId,
        run: Run,
        result: Result<WorkerReply, Fault>,
    ) {
        let now = ctx.clock.now;
        let Some((at, s)) = self.called_slot(id, fence, task, run) else { return };
        let slot = &mut self.workers[at].slots[s];
        match result {
            Ok(WorkerReply::Refused(refusal)) => {
                self.start_refused(ctx, at, s, refusal);
            }
            Ok(_) => {
                slot.confirmed = true;
                if slot.phase == Phase::Starting {
                    slot.phase = Phase::Running;
                    slot.since = now;
                }
                if let Ok(j) = self.job_index(task.job) {
                    self.jobs[j].confirm_run(now);
                }
            }
            Err(Fault::NotDone(cause)) if slot.phase == Phase::Starting => {
                log::info!(event = "start_failed", task:% = task, run = run.0, worker:% = id, cause:% = cause; "the start was not sent");
                let slot = self.workers[at].slots.remove(s);
                self.count_silence(at, now, true);
                self.release_lost_run(ctx, at, &slot, "the start was not sent");
            }
            Err(fault) => {
                log::info!(event = "start_unknown", task:% = task, run = run.0, worker:% = id, cause:% = fault; "no reply to the start, which may have been carried out; stopping the run");
                if slot.phase == Phase::Starting {
                    slot.phase = Phase::Closing { sent: None, answered: None, next: now };
                    slot.since = now;
                }
                self.count_unanswered(at, now, &fault);
                if self.is_gang(task) {
                    self.stop_gang(ctx, task, run, "no reply to the start of a gang member");
                }
            }
        }
        self.stale = true;
    }

    /// Releases a run that the worker refused to start.
    fn start_refused(&mut self, ctx: &mut Context<'_>, at: usize, s: usize, refusal: StartRefusal) {
        let now = ctx.clock.now;
        let slot = self.workers[at].slots.remove(s);
        let worker = &mut self.workers[at];
        log::info!(
            event = "start_refused", task:% = slot.task, run = slot.run.0, worker:% = worker.id();
            "{refusal}"
        );
        metrics::counter!("bulrushlink_start_refusals_total", "reason" => refusal.to_string())
            .increment(1);
        match refusal {
            StartRefusal::Unhealthy | StartRefusal::NoRoom => {
                worker.record_fault(now, slot.task.job, !ctx.features.breaker);
            }
            StartRefusal::OtherBoot => self.count_silence(at, now, true),
            StartRefusal::LeaseOver | StartRefusal::OldRun | StartRefusal::BadCall => {}
            StartRefusal::Fenced => self.step_down_if_fenced(refusal),
        }
        if refusal == StartRefusal::Unhealthy {
            self.judge_refusal(ctx, at, slot.started);
        }
        if let Ok(j) = self.job_index(slot.task.job) {
            self.jobs[j].rest = now + REFUSED_START_BACKOFF;
        }
        self.release_lost_run(ctx, at, &slot, "the start was refused");
        if refusal == StartRefusal::OtherBoot {
            self.handle_replaced(ctx, at);
        }
    }

    /// Steps down if a worker has seen a higher epoch.
    pub(super) fn step_down_if_fenced(&mut self, refusal: StartRefusal) {
        if refusal == StartRefusal::Fenced {
            log::warn!(event = "deposed", epoch:% = self.epoch; "a worker has seen a higher epoch");
            self.deposed = true;
        }
    }

    pub(super) fn is_gang(&self, task: &TaskId) -> bool {
        self.job_index(task.job).is_ok_and(|j| self.jobs[j].step(task).is_some_and(|s| s.gang))
    }

    /// Stops all members of a run of a gang.
    ///
    /// Load pattern: all members of a gang end or are lost within a second, and each of them stops the
    /// others. Only the first one looks for them.
    pub(super) fn stop_gang(&mut self, ctx: &mut Context<'_>, task: &TaskId, run: Run, why: &str) {
        let first = match self.job_index(task.job) {
            Ok(j) => self.jobs[j].record_stopped(task, run),
            Err(_) => true,
        };
        if !first {
            return;
        }
        let member = |s: &Slot| {
            let t = &s.task;
            (t.job, t.round, t.step, s.run) == (task.job, task.round, task.step, run)
        };
        self.stop_runs_of(ctx, task.job, member, why);
    }

    /// Stops all runs of a job and drops its claims.
    pub(super) fn stop_job(&mut self, ctx: &mut Context<'_>, id: JobId) {
        self.claims.retain(|c| c.job != id);
        self.stop_runs_of(ctx, id, |_| true, "the job has ended");
    }

    /// Marks the matching runs for stopping; those whose start has not been sent are withdrawn.
    pub(super) fn stop_runs(
        &mut self,
        ctx: &mut Context<'_>,
        matches: impl Fn(&Slot) -> bool,
        why: &str,
    ) {
        self.stop_runs_on(ctx, |_| true, matches, why);
    }

    /// The same for the runs of one job.
    ///
    /// Load pattern: thousands of runs end in a second, hundreds of them as victims and members of gangs, and
    /// each such end or victim stops other runs. So only workers that may have runs of the job are looked at.
    pub(super) fn stop_runs_of(
        &mut self,
        ctx: &mut Context<'_>,
        job: JobId,
        matches: impl Fn(&Slot) -> bool,
        why: &str,
    ) {
        let of_job = |s: &Slot| s.task.job == job && matches(s);
        self.stop_runs_on(ctx, |slots| slots.may_have(job), of_job, why);
    }

    fn stop_runs_on(
        &mut self,
        ctx: &mut Context<'_>,
        may_match: impl Fn(&Slots) -> bool,
        matches: impl Fn(&Slot) -> bool,
        why: &str,
    ) {
        let now = ctx.clock.now;
        let (mut withdrawn, mut stopping) = (Vec::new(), Vec::new());
        for (at, worker) in self.workers.iter_mut().enumerate() {
            if !may_match(&worker.slots) || !worker.slots.iter().any(&matches) {
                continue;
            }
            for slot in worker.slots.iter_mut().filter(|s| matches(s)) {
                match slot.phase {
                    Phase::Planned(_) => withdrawn.push((at, slot.task, slot.run)),
                    Phase::Starting | Phase::Running | Phase::Unheard => {
                        slot.phase = Phase::Closing { sent: None, answered: None, next: now };
                        slot.since = now;
                        stopping.push((slot.task, slot.run, now.since(slot.started)));
                    }
                    Phase::Closing { .. } => {}
                }
            }
        }
        if let Some((task, run, ran)) = stopping.first() {
            log::info!(
                event = "runs_stopped", job:% = task.job, first:% = task, run = run.0,
                runs = stopping.len(), ran_ms = ran.millis(); "{why}"
            );
        }
        for (at, task, run) in withdrawn {
            if let Some(s) = self.workers[at].slot_index(&task, run) {
                self.workers[at].slots.remove(s);
            }
            if let Ok(j) = self.job_index(task.job) {
                self.jobs[j].clear_place(&task, run);
            }
        }
        self.stale = true;
    }

    /// Sends the stops that are due.
    pub(super) fn send_stops(&mut self, ctx: &mut Context<'_>) {
        let now = ctx.clock.now;
        for at in 0..self.workers.len() {
            let worker = &mut self.workers[at];
            if worker.entry.is_none() || !worker.slots.has_due_stop(now) {
                continue;
            }
            let mut stops = Vec::new();
            for slot in self.workers[at].slots.iter_mut() {
                if let Phase::Closing { sent: None, answered: None, next } = slot.phase
                    && now >= next
                {
                    slot.phase = Phase::Closing { sent: Some(now), answered: None, next };
                    stops.push((slot.task, slot.run));
                }
            }
            if stops.is_empty() {
                continue;
            }
            let Some(target) = self.workers[at].target() else { continue };
            let timeout = call_timeout(ctx);
            for (task, run) in stops {
                let tag = PlacerTag::Stop(target.worker.clone(), target.fence, task, run);
                let op = WorkerOp::Stop { task, run };
                self.call_worker(ctx, target.clone(), tag, op, timeout);
                metrics::counter!("bulrushlink_stops_total").increment(1);
            }
        }
    }

    pub(super) fn stop_answered(
        &mut self,
        ctx: &mut Context<'_>,
        (id, fence): (&WorkerId, u32),
        task: &TaskId,
        run: Run,
        result: Result<WorkerReply, Fault>,
    ) {
        let now = ctx.clock.now;
        let Some((at, s)) = self.called_slot(id, fence, task, run) else { return };
        let worker = &mut self.workers[at];
        let Phase::Closing { answered: None, .. } = worker.slots[s].phase else { return };
        let retry = Phase::Closing { sent: None, answered: None, next: now + STOP_RETRY_DELAY };
        match result {
            Ok(WorkerReply::Refused(refusal)) => {
                log::info!(event = "stop_refused", task:% = task, run = run.0, worker:% = id; "{refusal}");
                worker.slots[s].phase = retry;
                if refusal == StartRefusal::OtherBoot {
                    self.count_silence(at, now, true);
                    self.handle_replaced(ctx, at);
                }
                self.step_down_if_fenced(refusal);
            }
            Ok(_) => {
                worker.slots[s].phase =
                    Phase::Closing { sent: None, answered: Some(now), next: now };
            }
            Err(fault) => {
                log::debug!(event = "stop_unknown", task:% = task, worker:% = id, cause:% = fault; "no reply to the stop, which will be retried");
                worker.slots[s].phase = retry;
                self.count_unanswered(at, now, &fault);
            }
        }
    }

    /// Stops the runs that can't end before their worker is gone, so that their tasks are placed again
    /// at once.
    ///
    /// Load pattern: a sixth of the workers are taken away at a notice of 2 s, and nearly every wide
    /// gang has a member there. Once a worker is gone, its runs count as lost only when its lease has
    /// expired, and the checkpoint that a stop writes is lost too. A worker that drains in the usual
    /// way lets its runs end, so nothing is stopped there.
    pub(super) fn stop_runs_of_leaving_workers(&mut self, ctx: &mut Context<'_>) {
        let now = ctx.clock.now;
        let mut affected = Vec::new();
        let speeds = self.mean_speeds();
        for (at, worker) in self.workers.iter().enumerate() {
            let Some(leaves_at) = worker.leaves_at else { continue };
            let mean_log = speeds.get(worker.endpoint()).copied().unwrap_or_default();
            for slot in worker.slots.iter().filter(|s| s.phase == Phase::Running) {
                let Ok(j) = self.job_index(slot.task.job) else { continue };
                let Some(step) = self.jobs[j].step(&slot.task) else { continue };
                let estimated = (slot.started + step.estimate).since(now);
                let learned = || self.learned_remaining(ctx, at, slot, mean_log);
                let left = slot.remaining(now).or_else(learned).unwrap_or(estimated);
                if step.endless || left > leaves_at.since(now) {
                    affected.push((slot.task, slot.run, step.gang));
                }
            }
        }
        for (task, run, gang) in affected {
            let why = "the worker leaves before the run can end";
            if gang {
                self.stop_gang(ctx, &task, run, why);
            } else {
                self.stop_runs_of(ctx, task.job, |s| s.task == task && s.run == run, why);
            }
        }
    }

    /// Stops runs that make no progress, so that their tasks are placed again. Progress is judged up to
    /// the latest report of the worker: one that is cut off may go on with its runs.
    pub(super) fn stop_stalled_runs(&mut self, ctx: &mut Context<'_>) {
        let now = ctx.clock.now;
        let mut stalled = Vec::new();
        for (at, worker) in self.workers.iter().enumerate() {
            for slot in worker.slots.iter().filter(|s| s.phase == Phase::Running) {
                let Ok(j) = self.job_index(slot.task.job) else { continue };
                let Some(step) = self.jobs[j].step(&slot.task) else { continue };
                let from_estimate =
                    Span((step.estimate.millis() as f64 * STALL_ESTIMATE_FRACTION) as u64);
                let idle = slot.idle_time(worker.reported_clock);
                let no_progress = idle > STALL_TIMEOUT_MIN.max(from_estimate);
                // At 100% a member of a gang waits for slower ones.
                if no_progress && !step.endless && slot.percent < 100 {
                    stalled.push((at, slot.task, slot.run, slot.percent, slot.started));
                }
            }
        }
        for (at, task, run, percent, began) in stalled {
            let worker = &mut self.workers[at];
            log::info!(
                event = "run_stalled", task:% = task, run = run.0, worker:% = worker.id(),
                percent = percent; "the run makes no progress; stopping it"
            );
            worker.record_fault(now, task.job, !ctx.features.breaker);
            self.judge_failure(ctx, at, task.job, began);
            if self.is_gang(&task) {
                self.stop_gang(ctx, &task, run, "a gang member makes no progress");
            } else {
                self.stop_runs_of(
                    ctx,
                    task.job,
                    |s| s.task == task && s.run == run,
                    "the run makes no progress",
                );
            }
        }
    }
}

/// Returns the timeout of a start or a stop.
fn call_timeout(ctx: &Context<'_>) -> Span {
    Span(ctx.bounds.gang_ms / CALL_TIMEOUT_DIVISOR)
}
