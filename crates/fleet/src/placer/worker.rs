//! A worker as the placer knows it: its boot, its clock, its lease and the runs on it.

use bulrushlink_core::{Moment, Span, WorkerId};
use std::net::SocketAddr;

use crate::edge::{EndReport, RunReport, WorkerEntry, WorkerState};
use crate::ids::{Boot, JobId, Run, TaskId};
use crate::lead::{LEADER_LEASE_TTL, STORE_OUTAGE_MAX, UNSURE_LEASE};
use crate::model::Resources;
use crate::record::CrashEvidence;

use super::pace::WorkerPace;
use super::slots::Slots;

/// Largest fraction by which a worker's clock may run slower than the daemon's.
const CLOCK_DRIFT_MAX: f64 = 0.02;
/// Margin after the end of a lease before it counts as expired.
const LEASE_EXPIRY_MARGIN: Span = Span(200);
/// Time for which a worker's entry may be missing after an outage of the store.
const ENTRY_MISSING_MAX: Span = Span(2_500);
/// Progress in percent from which on the end of a run can be estimated.
const ESTIMATE_PERCENT_MIN: u32 = 30;
/// Time for which a fault counts against a worker, and for which a worker with too many of them is
/// quarantined.
const FAULT_WINDOW: Span = Span(10_000);
/// Number of jobs with recent faults on a worker at which it is quarantined.
const QUARANTINE_FAULTS: usize = 2;

/// State of a run on its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The start is being recorded, with this version of the job.
    Planned(u64),
    /// The start has been sent and got no reply yet.
    Starting,
    /// The worker has the run.
    Running,
    /// The run is being stopped. `sent` is the time of the stop in flight, `answered` the time at
    /// which the worker confirmed a stop, and `next` the earliest time for the next stop.
    Closing { sent: Option<Moment>, answered: Option<Moment>, next: Moment },
    /// An earlier placer recorded the run, or it was started before the worker rebooted. This boot
    /// has not reported yet whether it has the run.
    Unheard,
}

/// A run that occupies capacity of a worker.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Slot {
    pub(crate) task: TaskId,
    pub(crate) run: Run,
    pub(crate) need: Resources,
    pub(crate) phase: Phase,
    /// When the present phase began.
    pub(crate) since: Moment,
    /// When the run started, as far as known.
    pub(crate) started: Moment,
    /// When the checkpoint last changed.
    pub(crate) saved_at: Moment,
    /// The checkpoint that the worker last reported.
    pub(crate) saved: String,
    pub(crate) percent: u32,
    /// When the percentage last changed.
    pub(crate) moved: Moment,
    /// The worker's clock in the report in which the percentage last changed, in milliseconds;
    /// `None` before the first report.
    pub(crate) moved_clock: Option<u64>,
    /// This placer started the run, and not from a checkpoint.
    pub(crate) fresh: bool,
    /// The worker has confirmed the start. An earlier placer may have recorded a run and not sent its
    /// start.
    pub(crate) confirmed: bool,
    /// The run may still give a sample of its worker's speed; each run gives at most one.
    pub(crate) telling: bool,
    /// This placer has sent the start, so `started` is known.
    pub(crate) timed: bool,
    /// Work that the checkpoint had saved from which the run resumed; `None` if that isn't known.
    pub(crate) saved_work: Option<Span>,
    /// The boot that the run was started on has crashed. It counts once the present boot turns out not to have
    /// the run.
    pub(crate) crash: Option<CrashEvidence>,
}

/// An end that a worker has reported and repeats until it is acknowledged, which happens once it is
/// recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct HeardEnd {
    pub(crate) number: u64,
    /// The job, and the version of its state that contains the end; none if no record depends on
    /// it.
    pub(crate) needs: Option<(JobId, u64)>,
}

/// Address and fence for calls to one boot of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Target {
    pub(crate) worker: WorkerId,
    pub(crate) fence: u32,
    pub(crate) addr: SocketAddr,
}

/// A hold in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct HoldCall {
    pub(crate) ordinal: u64,
    pub(crate) sent: Moment,
    /// Longest time for which the worker delays its reply.
    pub(crate) wait: Span,
    pub(crate) acked: u64,
    /// Latest end of the leases that were granted before.
    pub(crate) earlier: u64,
    /// Number of the lease that the hold grants.
    pub(crate) grant: u64,
}

/// When contact with a worker was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ContactLoss {
    /// When the first call failed.
    pub(crate) at: Moment,
    /// Runs that started since then had just started when the worker failed, if it did.
    pub(crate) suspects_since: Moment,
    /// Time since the worker's last reply.
    pub(crate) lag: Span,
}

/// Whether a worker replies to calls of the present epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reachability {
    /// It replies.
    Answering,
    /// It has not been called, or has not replied yet.
    Unknown,
    /// Since its latest reply to a hold, a call got no reply, or a refusal that puts it in doubt.
    Silent,
}

/// What the placer knows of a worker.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub(crate) boot: Boot,
    /// Part of the fencing token of calls to this boot. It rises with each boot, so that late calls
    /// to an earlier boot are refused.
    pub(crate) fence: u32,
    /// What it has registered; none if only a record names the worker.
    pub(crate) entry: Option<WorkerEntry>,
    /// When it may be gone at the earliest, if it leaves at short notice.
    pub(crate) leaves_at: Option<Moment>,
    /// When its entry was first found missing.
    pub(crate) missing: Option<Moment>,
    /// This boot has replied to a hold of the present epoch, so it refuses calls of earlier epochs.
    pub(crate) fenced: bool,
    /// When this placer found that the boot has replaced an earlier one, if it did. Calls to the
    /// earlier boot may reach this one until it is fenced.
    pub(crate) rebooted: Option<Moment>,
    /// A reading of its clock, and the local time of the reply that carried it. At that time its
    /// clock had at least that value.
    pub(crate) clock: Option<(u64, Moment)>,
    /// Its clock in the latest report of its runs, in milliseconds; what has happened there since is
    /// unknown.
    pub(crate) reported_clock: Option<u64>,
    /// Latest end of any lease granted on it, on its own clock.
    pub(crate) promised: u64,
    /// Number of leases granted on it.
    pub(crate) grants: u64,
    /// Ends up to this number are recorded.
    pub(crate) acked: u64,
    /// Ends up to this number have been acknowledged to the worker.
    pub(crate) told: u64,
    /// Ends up to this number have been processed.
    pub(crate) heard: u64,
    /// Ends that are not recorded yet, sorted by number.
    pub(crate) ends: Vec<HeardEnd>,
    pub(crate) hold: Option<HoldCall>,
    pub(crate) hold_next: Moment,
    pub(crate) slots: Slots,
    /// Recent faults, at most one for each job: when, and with which job.
    pub(crate) faults: Vec<(Moment, JobId)>,
    /// When a run last ended as done there.
    pub(crate) succeeded: Option<Moment>,
    /// The worker is quarantined until this time.
    pub(crate) shunned: Moment,
    /// Calls that got no reply, or a refusal that puts the worker in doubt, since its latest reply
    /// to a hold.
    pub(crate) silent: u32,
    /// When the first of these calls failed.
    pub(crate) loss: Option<ContactLoss>,
    /// When the latest read that lists the worker as ready was sent.
    pub(crate) ready: Option<Moment>,
    /// Another boot replies at its address, so this one is gone.
    pub(crate) replaced: bool,
    /// It gets no runs until this time, or until it has none: a suspected run has just started.
    pub(crate) closed_until: Moment,
    /// Its learned speed relative to the others.
    pub(super) pace: WorkerPace,
}

impl Slot {
    /// Returns a slot whose run has made no progress yet.
    pub(crate) fn new(task: TaskId, run: Run, need: Resources, phase: Phase, now: Moment) -> Self {
        Self {
            task,
            run,
            need,
            phase,
            since: now,
            started: now,
            saved_at: now,
            saved: String::new(),
            percent: 0,
            moved: now,
            moved_clock: None,
            fresh: false,
            confirmed: false,
            telling: false,
            timed: false,
            saved_work: None,
            crash: None,
        }
    }

    /// Estimates from its progress how long the run still takes; `None` if it was resumed or is not
    /// far enough.
    pub(crate) fn remaining(&self, now: Moment) -> Option<Span> {
        if !self.fresh || self.phase != Phase::Running || self.percent < ESTIMATE_PERCENT_MIN {
            return None;
        }
        let worked = self.moved.since(self.started).millis();
        let end = self.started + Span(worked * 100 / u64::from(self.percent));
        Some(end.since(now))
    }

    /// Returns for how long the run is known to have made no progress, by the reports of its worker up
    /// to the one at `reported`. The time since then doesn't count: the worker may be cut off, and its
    /// runs go on.
    pub(crate) fn idle_time(&self, reported: Option<u64>) -> Span {
        match (reported, self.moved_clock) {
            (Some(reported), Some(moved)) => Span(reported.saturating_sub(moved)),
            _ => Span::ZERO,
        }
    }

    /// Applies the worker's report of the run, made at `clock` on the worker's clock.
    pub(crate) fn apply_report(&mut self, report: &RunReport, now: Moment, clock: Option<u64>) {
        (self.confirmed, self.crash) = (true, None);
        if matches!(self.phase, Phase::Starting | Phase::Unheard) {
            self.phase = Phase::Running;
            self.since = now;
        }
        if report.percent != self.percent {
            self.percent = report.percent;
            self.moved = now;
            self.moved_clock = clock;
        }
        self.moved_clock = self.moved_clock.or(clock);
        if report.saved != self.saved {
            self.saved.clone_from(&report.saved);
            self.saved_at = now;
        }
    }
}

impl Worker {
    pub(crate) fn new(boot: Boot, fence: u32, entry: Option<WorkerEntry>, now: Moment) -> Self {
        Self {
            boot,
            fence,
            leaves_at: None,
            missing: entry.is_none().then_some(now),
            entry,
            fenced: false,
            rebooted: None,
            clock: None,
            reported_clock: None,
            promised: 0,
            grants: 0,
            acked: 0,
            told: 0,
            heard: 0,
            ends: Vec::new(),
            hold: None,
            hold_next: now,
            slots: Slots::default(),
            faults: Vec::new(),
            succeeded: None,
            shunned: Moment::default(),
            silent: 0,
            loss: None,
            ready: None,
            replaced: false,
            closed_until: Moment::default(),
            pace: WorkerPace::default(),
        }
    }

    /// Returns where to send calls to this boot, or `None` if only a record names the worker.
    pub(crate) fn target(&self) -> Option<Target> {
        let addr = self.entry.as_ref()?.addr;
        Some(Target { worker: self.id().clone(), fence: self.fence, addr })
    }

    pub(crate) fn id(&self) -> &WorkerId {
        &self.boot.worker
    }

    /// Returns true if an entry with this birth time means that another boot has replaced this one. A later
    /// one has. An earlier one has if this boot is only named by an entry, which may have been another
    /// writer's, or by a record without runs: an entry older than a boot that has replied is a late write.
    pub(crate) fn gives_way_to(&self, born: u64) -> bool {
        let named = self.entry.as_ref().is_some_and(|e| e.born == self.boot.born);
        let unheard = self.clock.is_none() && (named || self.slots.is_empty());
        born > self.boot.born || (born < self.boot.born && unheard)
    }

    /// Returns true if a reply of this earlier boot shows that the present one, which only a record names, isn't
    /// there: an entry of another writer had named it, and the registered boot replies.
    pub(crate) fn is_disproved_by(&self, born: u64) -> bool {
        let registered = self.entry.as_ref().is_some_and(|e| e.born == born);
        born < self.boot.born && self.clock.is_none() && registered
    }

    pub(crate) fn reachability(&self) -> Reachability {
        match () {
            () if self.silent > 0 => Reachability::Silent,
            () if self.fenced => Reachability::Answering,
            () => Reachability::Unknown,
        }
    }

    /// Returns the position of a run in `slots`.
    pub(crate) fn slot_index(&self, task: &TaskId, run: Run) -> Option<usize> {
        self.slots.position(task, run).ok()
    }

    pub(crate) fn insert_slot(&mut self, slot: Slot) {
        self.slots.insert(slot);
    }

    /// Removes the runs whose ends are reported and not processed yet, and returns them sorted by task and
    /// run.
    ///
    /// Load pattern: thousands of small tasks on one worker, which reports 500 ends at a time.
    pub(super) fn take_ended(&mut self, ended: &[EndReport]) -> Vec<((TaskId, Run), Option<Slot>)> {
        let new = ended.iter().filter(|e| e.number > self.heard);
        let mut keys: Vec<(TaskId, Run)> = new.map(|e| (e.task, e.run)).collect();
        if keys.is_empty() {
            return Vec::new();
        }
        keys.sort_unstable();
        let slots = self.slots.extract(|s| keys.binary_search(&(s.task, s.run)).is_ok());
        slots.into_iter().map(|s| ((s.task, s.run), Some(s))).collect()
    }

    /// Returns the endpoint that its entry names; empty if only a record names the worker.
    pub(crate) fn endpoint(&self) -> &str {
        self.entry.as_ref().map_or("", |e| &e.endpoint)
    }

    /// Returns the capacity that its entry shows.
    pub(crate) fn capacity(&self) -> Resources {
        self.entry.as_ref().map_or(Resources::default(), |e| e.capacity)
    }

    /// Returns the capacity that the runs leave free.
    pub(crate) fn free(&self) -> Resources {
        self.capacity().minus(&self.slots.used())
    }

    /// Returns what the runs take beyond the capacity, which may have shrunk since they started.
    pub(crate) fn excess(&self) -> Resources {
        self.slots.used().minus(&self.capacity())
    }

    /// Returns true if the runs take more than the capacity of at least one resource.
    pub(crate) fn is_over(&self) -> bool {
        !self.capacity().fits(&self.slots.used())
    }

    /// Estimates the worker's clock; the true value may be up to 2% of the elapsed time lower.
    pub(crate) fn estimated_clock(&self, now: Moment) -> Option<u64> {
        self.clock.map(|(clock, at)| clock.saturating_add(now.since(at).millis()))
    }

    /// Returns the time since the reply with the latest clock reading in milliseconds, for the log; -1 if
    /// this placer has had none.
    pub(crate) fn heard_ms(&self, now: Moment) -> i64 {
        self.clock.map_or(-1, |(_, at)| now.since(at).millis() as i64)
    }

    /// Returns by how much the end of the latest lease is ahead of the estimated clock in milliseconds, for
    /// the log; 0 without a clock reading.
    pub(crate) fn lease_left_ms(&self, now: Moment) -> i64 {
        let signed = |reading: u64| i64::try_from(reading).unwrap_or(i64::MAX);
        self.estimated_clock(now)
            .map_or(0, |clock| signed(self.promised).saturating_sub(signed(clock)))
    }

    /// Stores the clock reading that came with a reply.
    pub(crate) fn set_clock(&mut self, now: Moment, clock: u64) {
        let elapsed = |at| min_elapsed_ms(now.since(at));
        let least = self.clock.map_or(0, |(clock, at)| clock.saturating_add(elapsed(at)));
        // Replies can overtake each other: an older reading says less than is already known.
        if clock >= least {
            self.clock = Some((clock, now));
        }
    }

    /// Counts a lease that ends at `end` on the worker's clock as granted; returns its number.
    pub(crate) fn grant_lease(&mut self, end: u64) -> u64 {
        self.promised = self.promised.max(end);
        self.grants += 1;
        self.grants
    }

    /// Takes back the lease of a hold that was certainly not carried out, unless one was granted after it.
    pub(crate) fn withdraw_lease(&mut self, call: &HoldCall) {
        if self.grants == call.grant {
            self.promised = call.earlier;
        }
    }

    /// Returns true if every lease on this boot has certainly expired: unanswered calls count as
    /// carried out, and the worker's clock as slow as permitted.
    ///
    /// `since` is when the present epoch began, and an earlier placer has last renewed its own lease
    /// before. Until the worker is fenced, that placer may grant the longest leases for
    /// [`LEADER_LEASE_TTL`] after `since`, and short ones for [`STORE_OUTAGE_MAX`]. The same times
    /// apply to a boot that has replaced an earlier one: it carries out calls to the earlier boot,
    /// with leases that begin when they arrive.
    pub(crate) fn has_expired_leases(&self, now: Moment, since: Moment, lease_max: Span) -> bool {
        match self.clock {
            Some((clock, at)) if self.fenced => {
                let elapsed = min_elapsed_ms(now.since(at + LEASE_EXPIRY_MARGIN));
                clock.saturating_add(elapsed) >= self.promised
            }
            _ => {
                let since = self.rebooted.map_or(since, |at| since.max(at));
                let sure = LEADER_LEASE_TTL + max_elapsed(lease_max);
                let unsure = STORE_OUTAGE_MAX + max_elapsed(lease_max.min(UNSURE_LEASE));
                now >= since + sure.max(unsure) + LEASE_EXPIRY_MARGIN
            }
        }
    }

    /// Returns true if nothing known of the worker itself speaks against new runs on it.
    pub(crate) fn accepts_runs(&self, now: Moment) -> bool {
        // The entry of an earlier boot says nothing about the capacity and the labels of this one.
        let this_boot = |e: &WorkerEntry| e.born == self.boot.born;
        let ready =
            self.entry.as_ref().is_some_and(|e| e.state == WorkerState::Ready && this_boot(e));
        ready && self.fenced && self.silent == 0 && self.missing.is_none() && now >= self.shunned
    }

    /// Returns true if the entry has been missing for longer than an outage of the store explains.
    pub(crate) fn is_gone(&self, now: Moment) -> bool {
        self.missing.is_some_and(|m| now.since(m) > ENTRY_MISSING_MAX)
    }

    /// Returns the number of recent faults on the worker.
    pub(crate) fn recent_faults(&self, now: Moment) -> u32 {
        self.faults.iter().filter(|(at, _)| now.since(*at) < FAULT_WINDOW).count() as u32
    }

    /// Returns true if a run has succeeded on the worker recently, and no other job than this one has
    /// failed there since.
    pub(crate) fn is_sound(&self, now: Moment, job: JobId) -> bool {
        self.succeeded.is_some_and(|at| now.since(at) < FAULT_WINDOW)
            && self.faults.iter().all(|(_, j)| *j == job)
    }

    /// Records a fault; returns true if it puts the worker into quarantine, unless a breaker does that.
    pub(crate) fn record_fault(&mut self, now: Moment, job: JobId, quarantines: bool) -> bool {
        self.faults.retain(|(at, _)| now.since(*at) < FAULT_WINDOW);
        if !self.faults.iter().any(|(_, j)| *j == job) {
            self.faults.push((now, job));
        }
        if !quarantines || self.faults.len() < QUARANTINE_FAULTS || now < self.shunned {
            return false;
        }
        self.shunned = now + FAULT_WINDOW;
        true
    }

    /// Advances `acked` over the ends that are recorded; `stored` returns the recorded version of a
    /// job.
    pub(crate) fn advance_acked(&mut self, stored: impl Fn(JobId) -> Option<u64>) {
        let is_recorded = |end: &&HeardEnd| match end.needs {
            Some((job, version)) => stored(job).is_none_or(|s| s >= version),
            None => true,
        };
        let recorded = self.ends.iter().take_while(is_recorded).count();
        if let Some(end) = self.ends.drain(..recorded).next_back() {
            self.acked = end.number;
        }
    }
}

/// Returns the time that a lease lasts on the slowest permitted clock.
fn max_elapsed(lease: Span) -> Span {
    Span((lease.millis() as f64 / (1.0 - CLOCK_DRIFT_MAX)).ceil() as u64)
}

/// Returns the least time by which the slowest permitted clock has advanced, in milliseconds.
fn min_elapsed_ms(span: Span) -> u64 {
    (span.millis() as f64 * (1.0 - CLOCK_DRIFT_MAX)) as u64
}

#[cfg(test)]
mod tests;
