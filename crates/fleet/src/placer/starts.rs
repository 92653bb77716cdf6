//! Starts and stops of runs, and what their answers prove.

use bulrushlink_core::{Span, WorkerId};

use crate::edge::{Fault, StartRefusal, WorkerOp, WorkerReply};
use crate::ids::{JobId, Run, TaskId};

use super::worker::{Phase, Slot};
use super::{Placer, PlacerTag, Scene};

/// Time for an answer to a start or a stop, as a part of the time that members of a gang wait for each
/// other: a gang with a silent member is broken off well before the others give up.
const ORDER_PART: u64 = 4;
/// Pause before a stop without an answer is repeated.
const STOP_RETRY: Span = Span(100);
/// Time for which a run may make no progress before it is taken to hang.
const STALL_MAX: Span = Span(3_000);
/// The same as a share of the caller's estimate, which can be far too low.
const STALL_SHARE: f64 = 0.5;
/// Pause before the tasks of a refused start are placed again.
const REFUSED_PAUSE: Span = Span(100);

impl Placer {
    /// Sends the starts that are recorded by now.
    pub(super) fn send_starts(&mut self, scene: &mut Scene<'_>, id: JobId, version: u64) {
        let planned =
            |s: &Slot| s.task.job == id && matches!(s.phase, Phase::Planned(v) if v <= version);
        let mut ready = Vec::new();
        for (at, worker) in self.workers.iter().enumerate() {
            ready.extend(worker.slots.iter().filter(|s| planned(s)).map(|s| (at, s.task, s.run)));
        }
        let open = |at: usize| self.may_start(scene, at);
        let closed: Vec<usize> = ready.iter().map(|r| r.0).filter(|at| !open(*at)).collect();
        let gang = |task: &TaskId| {
            self.job_at(id).is_ok_and(|j| self.jobs[j].step(task).is_some_and(|s| s.gang))
        };
        let spoilt: Vec<(TaskId, Run)> = ready
            .iter()
            .filter(|(at, task, _)| closed.contains(at) && gang(task))
            .map(|(_, task, run)| (*task, *run))
            .collect();
        for (at, task, run) in ready {
            let same =
                |(t, r): &(TaskId, Run)| t.round == task.round && t.step == task.step && *r == run;
            if closed.contains(&at) || spoilt.iter().any(same) {
                self.unplan(at, &task, run);
            } else {
                self.send_start(scene, at, &task, run);
            }
        }
    }

    /// Takes back a start that was recorded and not sent.
    fn unplan(&mut self, at: usize, task: &TaskId, run: Run) {
        log::info!(
            event = "start_withheld", task:% = task, run = run.0, worker:% = self.workers[at].id();
            "the worker may not get new work any more"
        );
        if let Some(s) = self.workers[at].slot(task, run) {
            self.workers[at].slots.remove(s);
        }
        if let Ok(j) = self.job_at(task.job) {
            self.jobs[j].unplace(task, run);
        }
        self.stale = true;
    }

    fn send_start(&mut self, scene: &mut Scene<'_>, at: usize, task: &TaskId, run: Run) {
        let now = scene.clock.now;
        let Ok(j) = self.job_at(task.job) else { return };
        let Some(saved) = self.jobs[j].task(task).map(|t| t.saved.clone()) else {
            log::error!(event = "start_without_task", task:% = task, run = run.0; "no record of it");
            return self.unplan(at, task, run);
        };
        let text = self.jobs[j].spec.text.clone();
        let worker = &mut self.workers[at];
        let Some(clock) = worker.clock_now(now) else { return };
        let Some(s) = worker.slot(task, run) else { return };
        let lease_end = clock + scene.bounds.lease_max_ms;
        worker.promised = worker.promised.max(lease_end);
        let slot = &mut worker.slots[s];
        slot.phase = Phase::Starting;
        (slot.since, slot.started, slot.saved_at, slot.moved) = (now, now, now, now);
        let op = WorkerOp::Start { task: *task, run, text, saved, lease_end };
        let Some(target) = worker.target() else { return };
        let tag = PlacerTag::Start(target.worker.clone(), target.fence, *task, run);
        let timeout = order_timeout(scene);
        self.ask_worker(scene, target, tag, op, timeout);
        metrics::counter!("bulrushlink_starts_total").increment(1);
    }

    /// Finds the run that an order was for, unless the worker has booted again since: an order to an
    /// earlier boot says nothing of this one.
    fn ordered(
        &self,
        id: &WorkerId,
        fence: u32,
        task: &TaskId,
        run: Run,
    ) -> Option<(usize, usize)> {
        let at = self.worker_at(id).ok()?;
        let worker = &self.workers[at];
        let slot = worker.slot(task, run).filter(|_| worker.fence == fence)?;
        Some((at, slot))
    }

    pub(super) fn start_answered(
        &mut self,
        scene: &mut Scene<'_>,
        (id, fence): (&WorkerId, u32),
        task: &TaskId,
        run: Run,
        result: Result<WorkerReply, Fault>,
    ) {
        let now = scene.clock.now;
        let Some((at, s)) = self.ordered(id, fence, task, run) else { return };
        let slot = &mut self.workers[at].slots[s];
        match result {
            Ok(WorkerReply::Refused(refusal)) => {
                self.refused(scene, at, s, refusal);
            }
            Ok(_) => {
                if slot.phase == Phase::Starting {
                    slot.phase = Phase::Running;
                    slot.since = now;
                }
            }
            Err(Fault::NotDone(cause)) if slot.phase == Phase::Starting => {
                log::info!(event = "start_failed", task:% = task, run = run.0, worker:% = id, cause:% = cause; "not sent");
                let slot = self.workers[at].slots.remove(s);
                self.workers[at].silent += 1;
                self.lose(scene, &slot, "the start was not sent");
            }
            Err(fault) => {
                log::info!(event = "start_unknown", task:% = task, run = run.0, worker:% = id, cause:% = fault; "closed by a stop");
                if slot.phase == Phase::Starting {
                    slot.phase = Phase::Closing { sent: None, answered: None, next: now };
                    slot.since = now;
                }
                self.workers[at].silent += 1;
                if self.is_gang(task) {
                    self.close_gang(scene, task, run, "a member's start has no answer");
                }
            }
        }
        self.stale = true;
    }

    /// Takes back a run that the worker has refused.
    fn refused(&mut self, scene: &mut Scene<'_>, at: usize, s: usize, refusal: StartRefusal) {
        let now = scene.clock.now;
        let slot = self.workers[at].slots.remove(s);
        let worker = &mut self.workers[at];
        log::info!(
            event = "start_refused", task:% = slot.task, run = slot.run.0, worker:% = worker.id();
            "{refusal}"
        );
        metrics::counter!("bulrushlink_start_refusals_total", "reason" => refusal.to_string())
            .increment(1);
        match refusal {
            StartRefusal::Unhealthy | StartRefusal::Room => {
                worker.fault(now, slot.task.job);
            }
            StartRefusal::OtherBoot => worker.silent += 1,
            StartRefusal::Late | StartRefusal::Old | StartRefusal::Bad => {}
            StartRefusal::Fenced => self.suspect_fence(refusal),
        }
        if let Ok(j) = self.job_at(slot.task.job) {
            self.jobs[j].rest = now + REFUSED_PAUSE;
        }
        self.lose(scene, &slot, "the start was refused");
    }

    /// Steps down if a worker has seen a higher epoch.
    pub(super) fn suspect_fence(&mut self, refusal: StartRefusal) {
        if refusal == StartRefusal::Fenced {
            log::warn!(event = "deposed", epoch:% = self.epoch; "a worker has seen a higher epoch");
            self.deposed = true;
        }
    }

    pub(super) fn is_gang(&self, task: &TaskId) -> bool {
        self.job_at(task.job).is_ok_and(|j| self.jobs[j].step(task).is_some_and(|s| s.gang))
    }

    /// Ends all runs of a gang.
    pub(super) fn close_gang(&mut self, scene: &mut Scene<'_>, task: &TaskId, run: Run, why: &str) {
        let member = |s: &Slot| {
            let t = &s.task;
            (t.job, t.round, t.step, s.run) == (task.job, task.round, task.step, run)
        };
        self.close(scene, member, why);
    }

    /// Ends all runs of a job.
    pub(super) fn close_job(&mut self, scene: &mut Scene<'_>, id: JobId) {
        self.claims.retain(|c| c.job != id);
        self.close(scene, |s| s.task.job == id, "the job has ended");
    }

    /// Ends all runs that fit.
    pub(super) fn close(&mut self, scene: &mut Scene<'_>, fits: impl Fn(&Slot) -> bool, why: &str) {
        let now = scene.clock.now;
        let (mut unplanned, mut closed) = (Vec::new(), Vec::new());
        for (at, worker) in self.workers.iter_mut().enumerate() {
            for slot in worker.slots.iter_mut().filter(|s| fits(s)) {
                match slot.phase {
                    Phase::Planned(_) => unplanned.push((at, slot.task, slot.run)),
                    Phase::Starting | Phase::Running | Phase::Unheard => {
                        slot.phase = Phase::Closing { sent: None, answered: None, next: now };
                        slot.since = now;
                        closed.push((slot.task, slot.run, now.since(slot.started)));
                    }
                    Phase::Closing { .. } => {}
                }
            }
        }
        if let Some((task, run, ran)) = closed.first() {
            log::info!(
                event = "runs_stopped", job:% = task.job, first:% = task, run = run.0,
                runs = closed.len(), ran_ms = ran.millis(); "{why}"
            );
        }
        for (at, task, run) in unplanned {
            if let Some(s) = self.workers[at].slot(&task, run) {
                self.workers[at].slots.remove(s);
            }
            if let Ok(j) = self.job_at(task.job) {
                self.jobs[j].unplace(&task, run);
            }
        }
        self.stale = true;
    }

    /// Sends the stops that are due.
    pub(super) fn send_stops(&mut self, scene: &mut Scene<'_>) {
        let now = scene.clock.now;
        for at in 0..self.workers.len() {
            if self.workers[at].entry.is_none() {
                continue;
            }
            let mut stops = Vec::new();
            for slot in &mut self.workers[at].slots {
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
            let timeout = order_timeout(scene);
            for (task, run) in stops {
                let tag = PlacerTag::Stop(target.worker.clone(), target.fence, task, run);
                let op = WorkerOp::Stop { task, run };
                self.ask_worker(scene, target.clone(), tag, op, timeout);
                metrics::counter!("bulrushlink_stops_total").increment(1);
            }
        }
    }

    pub(super) fn stop_answered(
        &mut self,
        scene: &mut Scene<'_>,
        (id, fence): (&WorkerId, u32),
        task: &TaskId,
        run: Run,
        result: Result<WorkerReply, Fault>,
    ) {
        let now = scene.clock.now;
        let Some((at, s)) = self.ordered(id, fence, task, run) else { return };
        let worker = &mut self.workers[at];
        let Phase::Closing { answered: None, .. } = worker.slots[s].phase else { return };
        let repeat = Phase::Closing { sent: None, answered: None, next: now + STOP_RETRY };
        match result {
            Ok(WorkerReply::Refused(refusal)) => {
                log::info!(event = "stop_refused", task:% = task, run = run.0, worker:% = id; "{refusal}");
                worker.slots[s].phase = repeat;
                if refusal == StartRefusal::OtherBoot {
                    worker.silent += 1;
                }
                self.suspect_fence(refusal);
            }
            Ok(_) => {
                worker.slots[s].phase =
                    Phase::Closing { sent: None, answered: Some(now), next: now };
            }
            Err(fault) => {
                log::debug!(event = "stop_unknown", task:% = task, worker:% = id, cause:% = fault; "repeated");
                worker.slots[s].phase = repeat;
                worker.silent += 1;
            }
        }
    }

    /// Stops runs that make no progress, so that they go on elsewhere.
    pub(super) fn stop_stalled(&mut self, scene: &mut Scene<'_>) {
        let now = scene.clock.now;
        let mut stalled = Vec::new();
        for (at, worker) in self.workers.iter().enumerate() {
            for slot in worker.slots.iter().filter(|s| s.phase == Phase::Running) {
                let Ok(j) = self.job_at(slot.task.job) else { continue };
                let Some(step) = self.jobs[j].step(&slot.task) else { continue };
                let share = Span((step.estimate.millis() as f64 * STALL_SHARE) as u64);
                let still = now.since(slot.moved) > STALL_MAX.max(share) && worker.silent == 0;
                // At 100% a member of a gang waits for slower ones.
                if still && !step.endless && slot.percent < 100 {
                    stalled.push((at, slot.task, slot.run, slot.percent));
                }
            }
        }
        for (at, task, run, percent) in stalled {
            let worker = &mut self.workers[at];
            log::info!(
                event = "run_stalled", task:% = task, run = run.0, worker:% = worker.id(),
                percent = percent; "no progress"
            );
            worker.fault(now, task.job);
            if self.is_gang(&task) {
                self.close_gang(scene, &task, run, "a member makes no progress");
            } else {
                self.close(scene, |s| s.task == task && s.run == run, "no progress");
            }
        }
    }
}

/// Returns the time for an answer to a start or a stop.
fn order_timeout(scene: &Scene<'_>) -> Span {
    Span(scene.bounds.gang_ms / ORDER_PART)
}
