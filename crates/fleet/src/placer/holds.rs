//! Holds: the call that extends the leases of a worker's runs, fences it for this epoch, and tells
//! what runs there and what has ended.

use bulrushlink_core::{Moment, Span, WorkerId};

use crate::edge::{EndCause, EndReport, Fault, RunReport, WorkerOp, WorkerReply};
use crate::ids::{JobId, TaskId};
use crate::model::Resources;

use super::job::Effect;
use super::pace;
use super::worker::{Acquaintance, HeardEnd, HoldCall, Phase, Slot, Worker};
use super::{Placer, PlacerTag, Scene};

/// Longest wait of a hold for an end, the most that workers allow.
const HOLD_WAIT: Span = Span(2_000);
/// What a hold may take beyond its wait.
const HOLD_SLACK: Span = Span(500);
/// Pause after a hold that failed.
const HOLD_RETRY: Span = Span(250);
/// Time after which a hold is sent again though heard ends aren't recorded yet.
const HOLD_OVERDUE: Span = Span(1_200);
/// Pause between holds that wait for a stopped run to be gone.
const CLOSING_PAUSE: Span = Span(150);
/// First holds of an epoch under way at a time: a new placer on a weak host can't take in the answers
/// of hundreds of workers within their time. About an eighth of the workers of the grown sites.
const FIRST_MAX: usize = 48;
/// Holds to silent workers under way at a time, so that they don't keep the others waiting.
const SILENT_MAX: usize = 48;
/// Ends in one list at which it may be cut short.
const LIST_MAX: usize = 500;

impl Placer {
    pub(super) fn send_holds(&mut self, scene: &mut Scene<'_>) {
        let mut first = FIRST_MAX.saturating_sub(self.holds_under_way(Acquaintance::New));
        let mut silent = SILENT_MAX.saturating_sub(self.holds_under_way(Acquaintance::Silent));
        let mut turns = Vec::new();
        for at in 0..self.workers.len() {
            match self.workers[at].acquaintance() {
                Acquaintance::Known => {
                    self.send_hold(scene, at);
                }
                Acquaintance::New | Acquaintance::Silent => {
                    turns.push((self.workers[at].hold_next, at));
                }
            }
        }
        // Those that have waited longest go first, as not all can go at once.
        turns.sort_unstable();
        for (_, at) in turns {
            let left = match self.workers[at].acquaintance() {
                Acquaintance::Silent => &mut silent,
                Acquaintance::New | Acquaintance::Known => &mut first,
            };
            if *left > 0 && self.send_hold(scene, at) {
                *left -= 1;
            }
        }
    }

    fn holds_under_way(&self, of: Acquaintance) -> usize {
        self.workers.iter().filter(|w| w.hold.is_some() && w.acquaintance() == of).count()
    }

    /// Sends a hold to a worker if it needs one now.
    fn send_hold(&mut self, scene: &mut Scene<'_>, at: usize) -> bool {
        let ordinal = self.ordinal + 1;
        let worker = &mut self.workers[at];
        let Some(op) = next_hold(worker, scene.clock.now, scene.bounds.lease_max_ms) else {
            return false;
        };
        let WorkerOp::Hold { wait, acked, lease_end } = op else { return false };
        worker.promised = worker.promised.max(lease_end.unwrap_or(0));
        worker.hold = Some(HoldCall { ordinal, sent: scene.clock.now, acked });
        self.ordinal = ordinal;
        let Some(target) = self.workers[at].target() else { return false };
        let tag = PlacerTag::Hold(target.worker.clone(), ordinal);
        self.ask_worker(scene, target, tag, op, wait + HOLD_SLACK);
        true
    }

    pub(super) fn hold_answered(
        &mut self,
        scene: &mut Scene<'_>,
        id: &WorkerId,
        ordinal: u64,
        clock: Option<u64>,
        result: Result<WorkerReply, Fault>,
    ) {
        let now = scene.clock.now;
        let Ok(at) = self.worker_at(id) else { return };
        let Some(call) = self.workers[at].hold.filter(|h| h.ordinal == ordinal) else { return };
        self.workers[at].hold = None;
        match result {
            Ok(WorkerReply::Lists { born, running, ended }) => {
                if let Some(born) = born
                    && born > self.workers[at].boot.born
                {
                    self.reboot(at, born, now);
                } else if born.is_some_and(|b| b < self.workers[at].boot.born) {
                    return;
                }
                self.heard(scene, at, call, clock, &running, &ended);
            }
            Ok(WorkerReply::Refused(refusal)) => {
                log::info!(event = "hold_refused", worker:% = id; "{refusal}");
                self.suspect_fence(refusal);
                self.workers[at].hold_next = now + HOLD_RETRY;
                self.workers[at].silent += 1;
            }
            Ok(WorkerReply::Done) => {
                log::error!(event = "worker_answer", worker:% = id; "no lists")
            }
            Err(fault) => {
                let worker = &mut self.workers[at];
                if worker.silent == 0 {
                    log::info!(event = "worker_silent", worker:% = id, cause:% = fault; "no answer to a hold");
                }
                worker.silent += 1;
                worker.hold_next = now + HOLD_RETRY;
            }
        }
        self.stale = true;
    }

    /// Takes the lists of a worker.
    fn heard(
        &mut self,
        scene: &mut Scene<'_>,
        at: usize,
        call: HoldCall,
        clock: Option<u64>,
        running: &[RunReport],
        ended: &[EndReport],
    ) {
        let now = scene.clock.now;
        let lease_max = scene.bounds.lease_max_ms;
        let worker = &mut self.workers[at];
        if worker.silent > 0 {
            log::info!(event = "worker_heard", worker:% = worker.id(); "answers again");
        }
        worker.silent = 0;
        worker.hold_next = now;
        worker.told = worker.told.max(call.acked);
        if let Some(clock) = clock {
            worker.set_clock(now, clock);
            if !worker.fenced {
                worker.fenced = true;
                // An earlier placer may have extended the lease until just before this answer.
                worker.promised = worker.promised.max(clock + lease_max);
            }
        }
        for end in ended {
            self.take_end(scene, at, end);
        }
        for report in running {
            self.take_run(scene, at, report);
        }
        if ended.len() < LIST_MAX {
            self.drop_absent(scene, at, call.sent, running);
        }
    }

    /// Takes an end that a worker lists.
    fn take_end(&mut self, scene: &mut Scene<'_>, at: usize, end: &EndReport) {
        let worker = &mut self.workers[at];
        if end.number <= worker.heard {
            return;
        }
        worker.heard = end.number;
        let now = scene.clock.now;
        let slot = worker.slot(&end.task, end.run).map(|s| worker.slots.remove(s));
        let boot = worker.boot.clone();
        let mut needs = None;
        if let Ok(j) = self.job_at(end.task.job) {
            let attempts = self.jobs[j].queue(scene.catalog).attempts;
            let job = &mut self.jobs[j];
            let here = job.task(&end.task).is_some_and(|t| t.place.as_ref() == Some(&boot));
            let effect = if here {
                job.save(&end.task, end.run, &end.saved);
                job.end(&end.task, end.run, end.cause, attempts, scene.clock.wall)
            } else {
                job.late_end(&end.task, end.run, end.cause, attempts, scene.clock.wall)
            };
            needs = Some((job.id, job.version));
            let ran = slot.as_ref().map_or(-1, |s| now.since(s.started).millis() as i64);
            log::info!(
                event = "run_ended", task:% = end.task, run = end.run.0, worker:% = boot.worker,
                cause:% = end.cause, ran_ms = ran; "{effect:?}"
            );
            metrics::counter!("bulrushlink_ends_total", "cause" => end.cause.to_string())
                .increment(1);
            self.after_end(scene, at, end, effect);
        }
        self.workers[at].ends.push(HeardEnd { number: end.number, needs });
        self.stale = true;
    }

    /// Does what follows from an end.
    fn after_end(&mut self, scene: &mut Scene<'_>, at: usize, end: &EndReport, effect: Effect) {
        let now = scene.clock.now;
        let worker = &mut self.workers[at];
        match end.cause {
            EndCause::Failed if worker.fault(now, end.task.job) => {
                log::warn!(event = "worker_shunned", worker:% = worker.id(); "runs fail here");
            }
            EndCause::Done => worker.faults.clear(),
            _ => {}
        }
        match effect {
            Effect::GangOver => self.close_gang(scene, &end.task, end.run, "a member has ended"),
            Effect::JobFailed => {
                log::info!(event = "job_failed", job:% = end.task.job; "no attempts are left");
                self.close_job(scene, end.task.job);
            }
            Effect::Done => self.report_done(scene, end.task.job),
            Effect::DoneLate => {
                self.close_replaced(scene, &end.task);
                self.report_done(scene, end.task.job);
            }
            Effect::Stale | Effect::Again => {}
        }
    }

    /// Ends the later runs of a task, or of its whole gang.
    fn close_replaced(&mut self, scene: &mut Scene<'_>, task: &TaskId) {
        let gang = self.is_gang(task);
        let same = |s: &Slot| {
            let t = &s.task;
            let step = (t.job, t.round, t.step) == (task.job, task.round, task.step);
            step && (gang || t.index == task.index)
        };
        self.claims.retain(|c| !c.is_for(task));
        self.close(scene, same, "an earlier run has done the work");
    }

    fn report_done(&self, scene: &Scene<'_>, id: JobId) {
        let Ok(at) = self.job_at(id) else { return };
        let job = &self.jobs[at];
        if job.is_over() {
            let took = scene.clock.now.since(job.accepted).millis();
            log::info!(event = "job_completed", job:% = id, took_ms = took, queue:% = job.accepted_queue.name; "all tasks are done");
            metrics::histogram!("bulrushlink_job_ms").record(took as f64);
        }
    }

    /// Takes a run that a worker lists.
    fn take_run(&mut self, scene: &mut Scene<'_>, at: usize, report: &RunReport) {
        let now = scene.clock.now;
        let boot = self.workers[at].boot.clone();
        if let Ok(j) = self.job_at(report.task.job) {
            let job = &mut self.jobs[j];
            let here = job.task(&report.task).is_some_and(|t| t.place.as_ref() == Some(&boot));
            if here {
                job.save(&report.task, report.run, &report.saved);
            }
        }
        match self.workers[at].slot(&report.task, report.run) {
            Some(s) => {
                let worked = self.worked(report);
                let slot = &mut self.workers[at].slots[s];
                if slot.phase == Phase::Unheard {
                    slot.started = now - worked;
                }
                slot.take(report, now);
                self.learn_pace(at, s, report, now);
            }
            None => self.stop_stray(scene, at, report),
        }
    }

    /// Learns from a run how fast its worker is.
    fn learn_pace(&mut self, at: usize, s: usize, report: &RunReport, now: Moment) {
        let worker = &mut self.workers[at];
        let slot = &mut worker.slots[s];
        if !slot.telling || slot.phase != Phase::Running {
            return;
        }
        let elapsed = now.since(slot.started).secs_f64();
        let Some(rate) = pace::rate(report.percent, elapsed) else { return };
        let Ok(j) = self.jobs.binary_search_by_key(&report.task.job, |j| j.id) else { return };
        let Some(step) = self.jobs[j].paces.get_mut(usize::from(report.task.step)) else { return };
        slot.telling = false;
        step.learn(&mut worker.pace, rate);
    }

    /// Estimates how long a run has worked that an earlier placer started.
    fn worked(&self, report: &RunReport) -> Span {
        let job = self.job_at(report.task.job).ok().map(|j| &self.jobs[j]);
        let estimate = job.and_then(|j| j.step(&report.task)).map_or(Span::ZERO, |s| s.estimate);
        Span(estimate.millis() * u64::from(report.percent) / 100)
    }

    /// Stops a run that no record accounts for.
    fn stop_stray(&mut self, scene: &mut Scene<'_>, at: usize, report: &RunReport) {
        let now = scene.clock.now;
        let worker = &mut self.workers[at];
        let job = self.jobs.binary_search_by_key(&report.task.job, |j| j.id);
        let step = job.ok().and_then(|j| self.jobs[j].step(&report.task));
        let all = worker.entry.as_ref().map_or(Resources::default(), |e| e.capacity);
        log::info!(
            event = "stray_run", task:% = report.task, run = report.run.0, worker:% = worker.id();
            "not the recorded run of its task"
        );
        worker.add(Slot {
            task: report.task,
            run: report.run,
            need: step.map_or(all, |s| s.need),
            phase: Phase::Closing { sent: None, answered: None, next: now },
            since: now,
            started: now,
            saved_at: now,
            saved: String::new(),
            percent: report.percent,
            moved: now,
            fresh: false,
            telling: false,
        });
    }

    /// Drops runs that the worker should list and doesn't.
    fn drop_absent(
        &mut self,
        scene: &mut Scene<'_>,
        at: usize,
        sent: Moment,
        running: &[RunReport],
    ) {
        let listed = |s: &Slot| running.iter().any(|r| r.task == s.task && r.run == s.run);
        let expected = |s: &Slot| match s.phase {
            Phase::Unheard => true,
            Phase::Running => s.since < sent,
            Phase::Closing { answered, .. } => answered.is_some_and(|a| a < sent),
            Phase::Planned(_) | Phase::Starting => false,
        };
        let worker = &mut self.workers[at];
        let absent: Vec<Slot> =
            worker.slots.iter().filter(|s| expected(s) && !listed(s)).cloned().collect();
        worker.slots.retain(|s| !expected(s) || listed(s));
        for slot in absent {
            self.lose(scene, &slot, "the worker doesn't have it");
        }
    }

    /// Gives up the runs of workers whose leases are surely over.
    pub(super) fn lose_lapsed(&mut self, scene: &mut Scene<'_>) {
        let now = scene.clock.now;
        let lease_max = Span(scene.bounds.lease_max_ms);
        for at in 0..self.workers.len() {
            let worker = &mut self.workers[at];
            let unheard = worker.silent > 0 || worker.missing.is_some() || !worker.fenced;
            if worker.slots.is_empty() || !unheard || !worker.is_lapsed(now, self.since, lease_max)
            {
                continue;
            }
            log::info!(
                event = "leases_lapsed", worker:% = worker.id(), runs = worker.slots.len();
                "no answer until the end of the leases"
            );
            // Whatever it lists later has to be heard before it gets anything new.
            worker.fenced = false;
            let slots = std::mem::take(&mut worker.slots);
            for slot in slots {
                self.lose(scene, &slot, "its lease is over");
            }
        }
    }

    /// Takes a run that is gone, and won't come, off its job.
    pub(super) fn lose(&mut self, scene: &mut Scene<'_>, slot: &Slot, why: &str) {
        self.stale = true;
        let Ok(at) = self.job_at(slot.task.job) else { return };
        let job = &mut self.jobs[at];
        let placed = job.unplace(&slot.task, slot.run);
        log::info!(event = "run_lost", task:% = slot.task, run = slot.run.0; "{why}");
        let done = job.task(&slot.task).is_some_and(|t| t.done);
        if placed && !done && job.step(&slot.task).is_some_and(|s| s.gang) {
            self.close_gang(scene, &slot.task, slot.run, "a member is lost");
        }
    }
}

/// Works out the next hold of a worker, if it needs one now.
fn next_hold(worker: &Worker, now: Moment, lease_max: u64) -> Option<WorkerOp> {
    if worker.hold.is_some() || now < worker.hold_next || worker.entry.is_none() {
        return None;
    }
    let untold = worker.acked > worker.told;
    let needed = !worker.slots.is_empty() || untold || !worker.fenced || worker.silent > 0;
    let overdue = now.since(worker.hold_next) >= HOLD_OVERDUE;
    // The ends would be listed again until they are recorded.
    if !needed || (!worker.ends.is_empty() && !untold && !overdue) {
        return None;
    }
    if worker.missing.is_some() && worker.slots.is_empty() && !untold {
        return None;
    }
    let closing = worker
        .slots
        .iter()
        .any(|s| matches!(s.phase, Phase::Closing { answered: Some(_), .. } | Phase::Unheard));
    let wait = match () {
        () if !worker.fenced || worker.silent > 0 || worker.slots.is_empty() => Span::ZERO,
        () if closing => CLOSING_PAUSE,
        () => HOLD_WAIT,
    };
    // A call without an answer may be carried out late, so that each extension puts off the time
    // at which the runs of a silent worker are surely over. Silent workers get none.
    let extend = worker.fenced && worker.silent == 0;
    let lease_end = worker.clock_now(now).filter(|_| extend).map(|c| c + lease_max);
    Some(WorkerOp::Hold { lease_end, acked: worker.acked, wait })
}
