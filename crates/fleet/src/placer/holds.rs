//! Holds: the heartbeat calls to the workers. A hold extends the leases of a worker's runs, fences
//! the worker against earlier epochs, acknowledges ends that are recorded, and returns what runs on
//! the worker and what has ended there.

use bulrushlink_core::{Moment, Span, WorkerId};

use crate::edge::{EndCause, EndReport, Fault, RunReport, StartRefusal, WorkerOp, WorkerReply};
use crate::ids::{JobId, Run, TaskId};
use crate::model::Resources;

use super::job::Effect;
use super::pace;
use super::worker::{HeardEnd, HoldCall, Phase, Reachability, Slot, Worker};
use super::{Context, Placer, PlacerTag};

/// Longest time that a hold waits for an end at the worker, the most that workers allow.
const HOLD_WAIT: Span = Span(2_000);
/// The same while the placer's own lease may have expired, so that short leases don't end between two
/// holds.
const UNSURE_HOLD_WAIT: Span = Span(1_000);
/// Time that the reply to a hold may take beyond its wait.
const HOLD_TIMEOUT_MARGIN: Span = Span(500);
/// Delay before a failed hold is retried.
const HOLD_RETRY_DELAY: Span = Span(250);
/// Time after which a hold is sent although processed ends are not recorded yet.
const HOLD_DELAY_MAX: Span = Span(1_200);
/// Delay before the next hold if its acknowledgement was withheld: the worker repeats its ends at once.
const WITHHELD_HOLD_DELAY: Span = Span(50);
/// Time that a hold waits for an end while the worker still has to report whether a stopped or
/// unheard run is gone.
const CLOSING_HOLD_WAIT: Span = Span(150);
/// Most holds in flight to workers that this epoch has not heard yet, on a weak host: it can't
/// process the replies of hundreds of workers before they time out. This is about an eighth of the
/// workers in deployments of 350 workers.
const FIRST_HOLDS_MAX_WEAK: usize = 48;
/// The same on a strong host. With fewer in flight, the workers of a failure domain that is cut off
/// would occupy all of them until they time out, and keep the placer from the others for seconds.
const FIRST_HOLDS_MAX: usize = 400;
/// Most holds in flight to silent workers that have no leases to lose, so that they don't delay the
/// others.
const SILENT_HOLDS_MAX: usize = 48;
/// Number of ends at which a worker's list may be truncated.
const ENDS_LIST_MAX: usize = 500;

/// Limit on holds in flight that a worker without recent replies counts against.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HoldBudget {
    /// This epoch has not heard it yet.
    First,
    /// It is silent, and its runs may hold leases.
    Leased,
    /// It is silent and has nothing to lose.
    Silent,
}

impl Placer {
    /// Sends the holds that are due.
    ///
    /// Load pattern: contact with all of 1,100 workers is lost for a second or two, and with half of them
    /// for longer. Each hold to the latter takes until it times out, so those with runs have as many in
    /// flight as at a takeover: with fewer, the leases on workers that answer again would lapse before
    /// their turn.
    pub(super) fn send_holds(&mut self, ctx: &mut Context<'_>) {
        let first_max = if ctx.strong_host { FIRST_HOLDS_MAX } else { FIRST_HOLDS_MAX_WEAK };
        let (now, lease_max) = (ctx.clock.now, Span(ctx.bounds.lease_max_ms));
        let since = self.since;
        let budget_of = |w: &Worker| match w.reachability() {
            Reachability::Answering => None,
            Reachability::Unknown => Some(HoldBudget::First),
            Reachability::Silent
                if !w.slots.is_empty() && !w.has_expired_leases(now, since, lease_max) =>
            {
                Some(HoldBudget::Leased)
            }
            Reachability::Silent => Some(HoldBudget::Silent),
        };
        let mut left = [first_max, first_max, SILENT_HOLDS_MAX];
        for worker in self.workers.iter().filter(|w| w.hold.is_some()) {
            if let Some(budget) = budget_of(worker) {
                let left = &mut left[budget as usize];
                *left = left.saturating_sub(1);
            }
        }
        let mut waiting = Vec::new();
        for at in 0..self.workers.len() {
            match budget_of(&self.workers[at]) {
                None => {
                    self.send_hold(ctx, at);
                }
                Some(budget) => waiting.push((self.workers[at].hold_next, at, budget as usize)),
            }
        }
        // Not all can be sent at once; the workers that have waited longest go first.
        waiting.sort_unstable();
        for (_, at, budget) in waiting {
            if left[budget] > 0 && self.send_hold(ctx, at) {
                left[budget] -= 1;
            }
        }
    }

    /// Sends a hold to a worker if it needs one now; returns true if it was sent.
    fn send_hold(&mut self, ctx: &mut Context<'_>, at: usize) -> bool {
        let ordinal = self.ordinal + 1;
        let worker = &mut self.workers[at];
        let lease = ctx.extends_leases.then(|| ctx.run_lease());
        let Some(op) = next_hold(worker, ctx.clock.now, lease, ctx.holds_lease) else {
            return false;
        };
        let WorkerOp::Hold { wait, acked, lease_end } = op else { return false };
        let earlier = worker.promised;
        let grant = worker.grant_lease(lease_end.unwrap_or(0));
        worker.hold = Some(HoldCall { ordinal, sent: ctx.clock.now, wait, acked, earlier, grant });
        self.ordinal = ordinal;
        let Some(target) = self.workers[at].target() else { return false };
        let tag = PlacerTag::Hold(target.worker.clone(), ordinal);
        self.call_worker(ctx, target, tag, op, wait + HOLD_TIMEOUT_MARGIN);
        true
    }

    pub(super) fn hold_answered(
        &mut self,
        ctx: &mut Context<'_>,
        id: &WorkerId,
        ordinal: u64,
        clock: Option<u64>,
        result: Result<WorkerReply, Fault>,
    ) {
        let now = ctx.clock.now;
        let Ok(at) = self.worker_index(id) else { return };
        let Some(call) = self.workers[at].hold.filter(|h| h.ordinal == ordinal) else { return };
        self.workers[at].hold = None;
        match result {
            Ok(WorkerReply::Lists { born, running, ended }) => {
                let known = self.workers[at].boot.born;
                let born = born.unwrap_or(known);
                if self.workers[at].is_disproved_by(born) {
                    log::info!(event = "boot_disproved", worker:% = id, recorded = known, present = born; "an earlier boot than the recorded one is registered and replies");
                    self.replace_boot(at, born, now);
                    return;
                }
                if born < known {
                    // Its lists say nothing about the boot that the entry names.
                    self.hold_unanswered(at, now, &Fault::NotDone(format!("boot {born} replies")));
                    return;
                }
                if born > known {
                    // The call had the fence of the earlier boot, so this one is not fenced yet, and starts
                    // may reach it after these lists. It reports again to a hold of its own.
                    self.handle_reboot(ctx, at, born);
                    return;
                }
                self.process_lists(ctx, at, call, clock, &running, &ended);
            }
            Ok(WorkerReply::Refused(refusal)) => {
                if self.workers[at].silent == 0 {
                    log::info!(event = "hold_refused", worker:% = id; "{refusal}");
                }
                self.workers[at].hold_next = now + HOLD_RETRY_DELAY;
                self.step_down_if_fenced(refusal);
                self.count_silence(at, now, true);
                if refusal == StartRefusal::OtherBoot {
                    self.handle_replaced(ctx, at);
                }
            }
            Ok(WorkerReply::Done) => {
                log::error!(event = "worker_answer", worker:% = id; "reply to a hold without lists")
            }
            Err(fault) => {
                if matches!(fault, Fault::NotDone(_)) {
                    self.workers[at].withdraw_lease(&call);
                }
                self.hold_unanswered(at, now, &fault);
            }
        }
        self.stale = true;
    }

    /// Schedules the retry of a hold without a usable reply. Only the first one of a silence is logged: the
    /// entry may be another writer's, and then no hold to its address ever succeeds.
    fn hold_unanswered(&mut self, at: usize, now: Moment, fault: &Fault) {
        let worker = &mut self.workers[at];
        if worker.silent == 0 {
            log::info!(event = "worker_silent", worker:% = worker.id(), cause:% = fault; "no reply to a hold");
        }
        worker.hold_next = now + HOLD_RETRY_DELAY;
        self.count_unanswered(at, now, fault);
    }

    /// Processes the lists of runs and ends in the reply to a hold.
    fn process_lists(
        &mut self,
        ctx: &mut Context<'_>,
        at: usize,
        call: HoldCall,
        clock: Option<u64>,
        running: &[RunReport],
        ended: &[EndReport],
    ) {
        let now = ctx.clock.now;
        let lease_max = ctx.bounds.lease_max_ms;
        self.judge_loss(ctx, at, false);
        let worker = &mut self.workers[at];
        let out_of_contact = worker.silent > 0 || !worker.fenced;
        if worker.silent > 0 {
            log::info!(event = "worker_heard", worker:% = worker.id(); "the worker replies again");
        }
        worker.silent = 0;
        worker.loss = None;
        worker.told = worker.told.max(call.acked);
        let withheld = worker.acked > worker.told && worker.slots.has_unanswered_start();
        worker.hold_next = if withheld { now + WITHHELD_HOLD_DELAY } else { now };
        worker.reported_clock = clock.or(worker.reported_clock);
        if let Some(clock) = clock {
            worker.set_clock(now, clock);
            if !worker.fenced {
                worker.fenced = true;
                // An earlier placer may have extended the lease until just before this reply.
                worker.promised = worker.promised.max(clock.saturating_add(lease_max));
            }
        }
        if out_of_contact {
            let boot = self.workers[at].boot.clone();
            self.forget_lost(&boot);
        }
        // A reply that was held up on its way shows an earlier state.
        let prompt = now.since(call.sent) <= call.wait + HOLD_TIMEOUT_MARGIN;
        let mut ended_runs = self.workers[at].take_ended(ended);
        for end in ended {
            let key = (end.task, end.run);
            let found = ended_runs.binary_search_by_key(&key, |(key, _)| *key);
            let slot = found.ok().and_then(|n| ended_runs[n].1.take());
            self.process_end(ctx, at, end, slot, prompt && !out_of_contact);
        }
        for report in running {
            self.process_running(ctx, at, report, clock, prompt);
        }
        if ended.len() < ENDS_LIST_MAX {
            self.release_absent_runs(ctx, at, call.sent, running);
        }
    }

    /// Processes an end that a worker reports, with the slot that the run had. The report is `timely` if
    /// the run has ended just now.
    fn process_end(
        &mut self,
        ctx: &mut Context<'_>,
        at: usize,
        end: &EndReport,
        slot: Option<Slot>,
        timely: bool,
    ) {
        let worker = &mut self.workers[at];
        if end.number <= worker.heard {
            return;
        }
        worker.heard = end.number;
        let now = ctx.clock.now;
        let boot = worker.boot.clone();
        let mut needs = None;
        if let Some(slot) = &slot {
            self.learn_run_time(ctx, at, slot, end, timely);
        }
        if let Ok(j) = self.job_index(end.task.job) {
            let attempts = self.jobs[j].queue(ctx.catalog).attempts;
            let job = &mut self.jobs[j];
            job.confirm_run(now);
            let here = job.task(&end.task).is_some_and(|t| t.place.as_ref() == Some(&boot));
            let effect = if here {
                job.record_checkpoint(&end.task, end.run, &end.saved);
                job.apply_end(&end.task, end.run, end.cause, attempts, ctx.clock.wall)
            } else {
                job.apply_late_end(&end.task, end.run, end.cause, attempts, ctx.clock.wall)
            };
            needs = Some((job.id, job.version));
            let ran = slot.as_ref().map_or(-1, |s| now.since(s.started).millis() as i64);
            log::info!(
                event = "run_ended", task:% = end.task, run = end.run.0, worker:% = boot.worker,
                cause:% = end.cause, ran_ms = ran; "{effect:?}"
            );
            metrics::counter!("bulrushlink_ends_total", "cause" => end.cause.to_string())
                .increment(1);
            self.apply_effect(ctx, at, end, effect);
            if let Ok(j) = self.job_index(end.task.job) {
                self.jobs[j].waiting_since = now;
            }
            self.judge_end(ctx, at, end, slot.map_or(now, |s| s.started));
        }
        self.workers[at].ends.push(HeardEnd { number: end.number, needs });
        self.stale = true;
    }

    /// Carries out what an end means for its worker and its job.
    fn apply_effect(&mut self, ctx: &mut Context<'_>, at: usize, end: &EndReport, effect: Effect) {
        let now = ctx.clock.now;
        let worker = &mut self.workers[at];
        match end.cause {
            EndCause::Failed if worker.record_fault(now, end.task.job, !ctx.features.breaker) => {
                log::warn!(event = "worker_shunned", worker:% = worker.id(); "recent faults with several jobs; the worker is quarantined");
            }
            EndCause::Done => {
                worker.faults.clear();
                worker.succeeded = Some(now);
            }
            _ => {}
        }
        match effect {
            Effect::GangOver => self.stop_gang(ctx, &end.task, end.run, "a gang member has ended"),
            Effect::JobFailed => {
                log::info!(event = "job_failed", job:% = end.task.job; "the job has used up its attempts");
                self.stop_job(ctx, end.task.job);
            }
            Effect::Done => self.log_if_completed(ctx, end.task.job),
            Effect::DoneLate => {
                self.stop_superseded_runs(ctx, &end.task);
                self.log_if_completed(ctx, end.task.job);
            }
            Effect::Stale | Effect::Again => {}
        }
    }

    /// Stops the later runs of a task, or of its whole gang.
    fn stop_superseded_runs(&mut self, ctx: &mut Context<'_>, task: &TaskId) {
        let gang = self.is_gang(task);
        let same = |s: &Slot| {
            let t = &s.task;
            let step = (t.job, t.round, t.step) == (task.job, task.round, task.step);
            step && (gang || t.index == task.index)
        };
        self.claims.retain(|c| !c.is_for(task));
        self.stop_runs_of(ctx, task.job, same, "an earlier run has completed the task");
    }

    fn log_if_completed(&self, ctx: &Context<'_>, id: JobId) {
        let Ok(at) = self.job_index(id) else { return };
        let job = &self.jobs[at];
        if job.is_over() {
            let took = ctx.clock.now.since(job.accepted).millis();
            log::info!(event = "job_completed", job:% = id, took_ms = took, queue:% = job.accepted_queue.name; "all tasks are done");
            metrics::histogram!("bulrushlink_job_ms").record(took as f64);
        }
    }

    /// Processes a run that a worker reported as running at `clock` on its clock. The report is
    /// `prompt` if it shows the present state.
    fn process_running(
        &mut self,
        ctx: &mut Context<'_>,
        at: usize,
        report: &RunReport,
        clock: Option<u64>,
        prompt: bool,
    ) {
        let now = ctx.clock.now;
        let boot = self.workers[at].boot.clone();
        if let Ok(j) = self.job_index(report.task.job) {
            let job = &mut self.jobs[j];
            job.confirm_run(now);
            let here = job.task(&report.task).is_some_and(|t| t.place.as_ref() == Some(&boot));
            if here {
                job.record_checkpoint(&report.task, report.run, &report.saved);
            }
        }
        match self.workers[at].slot_index(&report.task, report.run) {
            Some(s) => {
                let worked = self.estimate_worked(report);
                let slot = &mut self.workers[at].slots[s];
                if slot.phase == Phase::Unheard {
                    slot.started = now - worked;
                    slot.timed = false;
                }
                slot.apply_report(report, now, clock);
                if prompt {
                    self.learn_pace(at, s, report, now);
                }
            }
            None => self.stop_orphan(ctx, at, report),
        }
    }

    /// Updates the learned speed of a worker with the progress of a run.
    fn learn_pace(&mut self, at: usize, s: usize, report: &RunReport, now: Moment) {
        let worker = &mut self.workers[at];
        let slot = &mut worker.slots[s];
        if !slot.telling || slot.phase != Phase::Running {
            return;
        }
        let elapsed = now.since(slot.started).secs_f64();
        let Some(rate) = pace::rate(report.percent, elapsed) else { return };
        let Ok(j) = self.jobs.position(report.task.job) else { return };
        let Some(step) = self.jobs[j].paces.get_mut(usize::from(report.task.step)) else { return };
        slot.telling = false;
        step.learn(&mut worker.pace, rate);
    }

    /// Estimates how long a run that an earlier placer started has worked.
    fn estimate_worked(&self, report: &RunReport) -> Span {
        let job = self.job_index(report.task.job).ok().map(|j| &self.jobs[j]);
        let estimate = job.and_then(|j| j.step(&report.task)).map_or(Span::ZERO, |s| s.estimate);
        Span(estimate.millis() * u64::from(report.percent) / 100)
    }

    /// Stops an orphaned run, which no record accounts for.
    fn stop_orphan(&mut self, ctx: &mut Context<'_>, at: usize, report: &RunReport) {
        let now = ctx.clock.now;
        let worker = &mut self.workers[at];
        let job = self.jobs.position(report.task.job);
        let step = job.ok().and_then(|j| self.jobs[j].step(&report.task));
        let all = worker.entry.as_ref().map_or(Resources::default(), |e| e.capacity);
        log::info!(
            event = "stray_run", task:% = report.task, run = report.run.0, worker:% = worker.id();
            "orphaned run: the record of its task names another run or none; stopping it"
        );
        let need = step.map_or(all, |s| s.need);
        let phase = Phase::Closing { sent: None, answered: None, next: now };
        let slot = Slot::new(report.task, report.run, need, phase, now);
        worker.insert_slot(Slot { percent: report.percent, confirmed: true, ..slot });
    }

    /// Releases the runs that the worker should report and doesn't.
    fn release_absent_runs(
        &mut self,
        ctx: &mut Context<'_>,
        at: usize,
        sent: Moment,
        running: &[RunReport],
    ) {
        let mut keys: Vec<(TaskId, Run)> = running.iter().map(|r| (r.task, r.run)).collect();
        keys.sort_unstable();
        let listed = |s: &Slot| keys.binary_search(&(s.task, s.run)).is_ok();
        // True for a run that the worker would have listed if it still had it.
        let would_list = |s: &Slot| match s.phase {
            Phase::Unheard => true,
            Phase::Running => s.since < sent,
            Phase::Closing { answered, .. } => answered.is_some_and(|a| a < sent),
            Phase::Planned(_) | Phase::Starting => false,
        };
        let worker = &mut self.workers[at];
        let absent = worker.slots.extract(|s| would_list(s) && !listed(s));
        for slot in absent {
            self.release_lost_run(ctx, at, &slot, "the worker does not have the run");
        }
    }

    /// Releases the runs of workers without contact whose leases have certainly expired.
    pub(super) fn release_expired_runs(&mut self, ctx: &mut Context<'_>) {
        let now = ctx.clock.now;
        let lease_max = Span(ctx.bounds.lease_max_ms);
        let mut remembered = false;
        for at in 0..self.workers.len() {
            let worker = &mut self.workers[at];
            let out_of_contact = worker.silent > 0 || worker.missing.is_some() || !worker.fenced;
            if worker.slots.is_empty()
                || !out_of_contact
                || !worker.has_expired_leases(now, self.since, lease_max)
            {
                continue;
            }
            log::info!(
                event = "leases_lapsed", worker:% = worker.id(), runs = worker.slots.len(),
                heard_ms = worker.heard_ms(now), fenced = worker.fenced,
                lease_left_ms = worker.lease_left_ms(now);
                "no reply from the worker until its leases lapsed"
            );
            self.judge_loss(ctx, at, false);
            let worker = &mut self.workers[at];
            let boot = worker.boot.clone();
            let slots = worker.slots.take();
            for slot in slots {
                self.remember_lost(at, &slot, &boot, now);
                self.release_lost_run(ctx, at, &slot, "its lease has expired");
                remembered = true;
            }
            // The worker has to report its runs before it gets a new one.
            self.workers[at].fenced = false;
        }
        if remembered {
            // The worker's next boot may be listed already.
            self.count_earlier_crashes(ctx);
        }
    }

    /// Releases a run that its worker has lost and will not start later, and stops the rest of its gang.
    pub(super) fn release_lost_run(
        &mut self,
        ctx: &mut Context<'_>,
        worker: usize,
        slot: &Slot,
        why: &str,
    ) {
        self.stale = true;
        let now = ctx.clock.now;
        self.count_earlier_boot(ctx, worker, slot);
        let Ok(at) = self.job_index(slot.task.job) else { return };
        let job = &mut self.jobs[at];
        let before = job.task(&slot.task).filter(|t| t.run == slot.run);
        let boot = before.and_then(|t| t.place.clone());
        let placed = job.clear_place(&slot.task, slot.run);
        // When the worker was lost isn't known here; the present phase of the run began before.
        job.waiting_since = job.waiting_since.max(slot.since);
        let worker = &self.workers[worker];
        log::info!(
            event = "run_lost", task:% = slot.task, run = slot.run.0, worker:% = worker.id(),
            heard_ms = worker.heard_ms(now), fenced = worker.fenced,
            lease_left_ms = worker.lease_left_ms(now); "{why}"
        );
        let done = job.task(&slot.task).is_some_and(|t| t.done);
        let gang = job.step(&slot.task).is_some_and(|s| s.gang);
        if let Some(boot) = boot.filter(|_| placed && !done) {
            self.record_retry(ctx, (&slot.task, slot.run), &boot, false);
        }
        if placed && !done && gang {
            self.stop_gang(ctx, &slot.task, slot.run, "a gang member is lost");
        }
    }
}

/// Returns the next hold of a worker, if it needs one now.
///
/// `lease` is the length of the leases that it grants, if any. Without the placer's own lease that is
/// short, so the hold waits for a shorter time.
fn next_hold(
    worker: &Worker,
    now: Moment,
    lease: Option<Span>,
    holds_lease: bool,
) -> Option<WorkerOp> {
    if worker.hold.is_some() || now < worker.hold_next || worker.entry.is_none() || worker.replaced
    {
        return None;
    }
    let unacked = worker.acked > worker.told;
    // The worker may have rebooted since, and its next boot numbers its ends from 1 again: an acknowledgement that was
    // meant for the earlier boot makes it forget the end of a late start. So an acknowledgement isn't repeated, and is
    // sent only to a worker that has replied since a call to it failed, and while no start to it is unanswered.
    let withheld = unacked && worker.slots.has_unanswered_start();
    let acked = if unacked && !withheld && worker.silent == 0 { worker.acked } else { 0 };
    let needed = !worker.slots.is_empty() || unacked || !worker.fenced || worker.silent > 0;
    let overdue = now.since(worker.hold_next) >= HOLD_DELAY_MAX;
    // The worker repeats ends until they are acknowledged, which they can't be before they are
    // recorded.
    if !needed || (!worker.ends.is_empty() && !unacked && !overdue) {
        return None;
    }
    if worker.missing.is_some() && worker.slots.is_empty() && !unacked {
        return None;
    }
    let closing = worker
        .slots
        .iter()
        .any(|s| matches!(s.phase, Phase::Closing { answered: Some(_), .. } | Phase::Unheard));
    let wait = match () {
        () if !worker.fenced || worker.silent > 0 || worker.slots.is_empty() => Span::ZERO,
        () if closing => CLOSING_HOLD_WAIT,
        () if !holds_lease => UNSURE_HOLD_WAIT,
        () => HOLD_WAIT,
    };
    // A call without a reply may be carried out late, so each extension delays the time at which
    // the runs of a silent worker have certainly ended. Silent workers get none.
    let extend = worker.fenced && worker.silent == 0;
    let lease_end = lease
        .filter(|_| extend)
        .zip(worker.estimated_clock(now))
        .map(|(l, c)| c.saturating_add(l.millis()));
    Some(WorkerOp::Hold { lease_end, acked, wait })
}
