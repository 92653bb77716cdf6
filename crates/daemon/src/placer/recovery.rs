//! Start and end of placing, and recovery: open jobs are read from the store, running tasks from
//! the workers.

use bulrushlink_api::{Record, StoreRequest, TaskReport, TaskState};
use bulrushlink_core::{
    Attempt, Ending, Event, JobKey, Moment, Placement, Scheduler, Span, TaskPlace, WorkerId, route,
};

use super::gang::{Gang, Phase};
use super::job::{Job, RecordState, Stage};
use super::records::Tag;
use super::{Mode, Placer, worker_info};
use crate::edge::Context;
use crate::intake::DaemonView;
use crate::journal::{JobRecord, OPEN_PREFIX, Outcome, PAGE_RECORDS, RetryPolicy};
use crate::peer::{JobStatus, PeerMessage};

/// Time after which recovery ends without the workers and records still missing.
const RECOVERY_TIMEOUT: Span = Span::from_secs(5);
/// Delay between the end of one sweep over all open jobs and the next sweep. It grows with each
/// record read, which bounds the store load per second.
const SWEEP_DELAY: Span = Span::from_secs(30);
/// Growth of the delay per record, in milliseconds.
const SWEEP_MS_PER_RECORD: u64 = 500;
/// Interval between two messages that tell a placer of a record moved to its domain.
const HANDOVER_RETRY_INTERVAL: Span = Span::from_secs(5);

/// Progress of recovery after a change of the placer.
#[derive(Debug)]
pub(super) struct Recovery {
    /// When this daemon became the placer.
    pub(super) since: Moment,
    /// Workers that have not reported yet.
    pending_workers: Vec<WorkerId>,
    /// Start of the last complete sweep.
    pub(super) last_sweep: Option<Moment>,
    /// Start of the sweep in progress.
    sweep_started: Option<Moment>,
    /// When the next sweep is due.
    sweep_due: Moment,
    /// Records read by the sweep in progress.
    records_read: u64,
}

impl Recovery {
    pub(super) const fn new(now: Moment) -> Self {
        Self {
            since: now,
            pending_workers: Vec::new(),
            last_sweep: None,
            sweep_started: None,
            sweep_due: now,
            records_read: 0,
        }
    }

    pub(super) fn expect_report(&mut self, worker: &WorkerId) {
        self.pending_workers.push(worker.clone());
    }

    pub(super) fn on_report(&mut self, worker: &WorkerId) {
        self.pending_workers.retain(|pending| pending != worker);
    }
}

impl Placer {
    pub(super) fn activate(&mut self, cx: &mut Context<'_>) {
        log::info!("started placing in domain {}; recovering", self.domain);
        for i in 0..self.jobs.len() {
            if !self.jobs[i].abandoned && self.jobs[i].end.is_none() {
                self.abandon(i, JobStatus::NotPlacing, cx);
            }
        }
        // A sweep from an earlier time as placer may have a page in flight. The new sweep starts
        // after that page has arrived and been ignored.
        let sweep_started = self.recovery.sweep_started;
        self.recovery = Recovery { sweep_started, ..Recovery::new(cx.now) };
        self.mode = Mode::Recovering;
        self.scheduler = Scheduler::open(self.owner.incarnation);
        self.events.clear();
        self.delayed.clear();
        self.orphans.clear();
        self.events.extend(self.share.clone().map(Event::Share));
        for host in self.hosts.clone() {
            self.events.push_back(Event::Worker(worker_info(&host)));
            self.recovery.pending_workers.push(host.id.clone());
            self.request_report(host.id, cx);
        }
        self.sweep(cx);
    }

    pub(super) fn deactivate(&mut self, cx: &mut Context<'_>) {
        log::info!("stopped placing in domain {}", self.domain);
        self.mode = Mode::Idle;
        for i in 0..self.jobs.len() {
            self.abandon_if_settled(i, cx);
        }
    }

    /// Gives a job up to the next placer, except while a committed attempt of it is being started
    /// or stopped, or while its record, if it needs one to run, is being read or written. A
    /// takeover in flight is no obstacle.
    pub(super) fn abandon_if_settled(&mut self, i: usize, cx: &mut Context<'_>) {
        let job = &self.jobs[i];
        if job.abandoned || job.end.is_some() {
            return;
        }
        let settled = job.writing.is_none()
            && matches!(job.record_state, RecordState::Owned | RecordState::Memory);
        let quiescent = match &job.stage {
            Stage::Placed(gang) => matches!(gang.phase, Phase::Running) || !gang.committed,
            _ => true,
        };
        if quiescent
            && (settled || job.may_run_unrecorded() || job.record_state == RecordState::Taking)
        {
            self.abandon(i, JobStatus::NotPlacing, cx);
        }
    }

    pub(super) fn tick_recovery(&mut self, cx: &mut Context<'_>) {
        if !self.is_placer() {
            return;
        }
        if self.recovery.sweep_started.is_none() && self.recovery.sweep_due <= cx.now {
            self.sweep(cx);
        }
        if matches!(self.mode, Mode::Recovering) && self.is_recovered(cx) {
            log::info!("recovery complete; placing in domain {}", self.domain);
            self.mode = Mode::Active;
            let keys: Vec<_> = self.jobs.iter().map(|job| job.key().clone()).collect();
            for key in keys {
                self.hand_to_scheduler(&key, cx);
            }
        }
    }

    fn is_recovered(&self, cx: &Context<'_>) -> bool {
        let late = cx.now.since(self.recovery.since) > RECOVERY_TIMEOUT;
        let workers_done = !self.hosts.is_empty() && self.recovery.pending_workers.is_empty();
        let store_done = self.recovery.last_sweep.is_some() || self.journal.is_down();
        late || workers_done && store_done
    }

    pub(super) fn on_report_failed(&mut self, worker: &WorkerId, cx: &mut Context<'_>) {
        if matches!(self.mode, Mode::Recovering) && self.recovery.pending_workers.contains(worker) {
            self.request_report(worker.clone(), cx);
        }
    }

    /// Reads all open jobs and takes over this domain's records that are unknown here.
    fn sweep(&mut self, cx: &mut Context<'_>) {
        if self.recovery.sweep_started.is_none() {
            self.recovery.sweep_started = Some(cx.now);
            self.recovery.records_read = 0;
            self.read_page(String::new(), cx);
        }
    }

    fn read_page(&mut self, after: String, cx: &mut Context<'_>) {
        let prefix = OPEN_PREFIX.to_string();
        let request = StoreRequest::List { prefix, after, limit: PAGE_RECORDS };
        self.journal.call(Tag::Sweep, request, RetryPolicy::Unlimited, cx);
    }

    pub(super) fn on_page(&mut self, outcome: Outcome, cx: &mut Context<'_>) {
        let began = self.recovery.sweep_started;
        let Outcome::Page { records, more } = outcome else { return };
        if !self.is_placer() || began.is_some_and(|began| began < self.recovery.since) {
            self.recovery.sweep_started = None;
            return;
        }
        self.recovery.records_read += records.len() as u64;
        let last = records.last().map(|record| record.key.clone());
        for found in records {
            self.take_over_record(&found, cx);
        }
        match last.filter(|_| more) {
            Some(after) => self.read_page(after, cx),
            None => {
                self.recovery.last_sweep = began;
                self.recovery.sweep_started = None;
                let pause = SWEEP_DELAY.0 + SWEEP_MS_PER_RECORD * self.recovery.records_read;
                let jitter = self.rng.u64(..pause / 4);
                self.recovery.sweep_due = cx.now + Span(pause + jitter);
            }
        }
    }

    /// Takes over an open job of this domain that is unknown here. The record of a job whose end is
    /// durable is removed.
    pub(super) fn take_over_record(&mut self, found: &Record, cx: &mut Context<'_>) {
        let Some(record) = JobRecord::from_json(&found.value) else { return };
        if record.domain != self.domain {
            return;
        }
        match self.find(&record.spec.key) {
            Ok(i) => self.remove_stale_record(i, found.at, cx),
            Err(i) => {
                let job = self.new_job(record.spec.clone(), record.age(cx.wall), false, cx);
                self.jobs.insert(i, job);
                self.take_over(i, found.at, record, cx);
            }
        }
    }

    /// Hands a job to the scheduler, as running if the workers have all its tasks.
    pub(super) fn hand_to_scheduler(&mut self, key: &JobKey, cx: &mut Context<'_>) {
        let Ok(i) = self.find(key) else { return };
        let job = &self.jobs[i];
        let open = !job.abandoned && job.end.is_none() && matches!(job.stage, Stage::Out);
        let eligible = matches!(
            job.record_state,
            RecordState::Owned | RecordState::Memory | RecordState::Creating
        ) || job.may_run_unrecorded() && self.journal.is_down();
        if !open || !eligible || !matches!(self.mode, Mode::Active) {
            return;
        }
        let found = self.orphans_of(key);
        let job = &self.jobs[i];
        let intent = job.stored.as_ref().and_then(|stored| stored.record.intent.clone());
        let trusted = job.spec.idempotent || job.record_state == RecordState::Owned;
        let gang = match intent.filter(|_| job.committed) {
            Some(intent) => {
                Some(Gang::from_reports(intent.attempt, intent.placement, &found, cx.now))
            }
            None if trusted => find_complete_gang(job, &found, cx.now),
            None => None,
        };
        match gang {
            Some(gang) => self.adopt(i, gang, &found, cx),
            None => self.submit_to_scheduler(i, &found, cx),
        }
    }

    fn adopt(
        &mut self,
        i: usize,
        mut gang: Gang,
        found: &[(WorkerId, TaskReport)],
        cx: &mut Context<'_>,
    ) {
        gang.announced = true;
        // `Confirming` only repeats confirmations; gang members of unknown state are polled in
        // `Running`.
        let phase = if gang.is_up() { Phase::Confirming } else { Phase::Running };
        gang.enter_phase(phase, cx.now);
        let job = &mut self.jobs[i];
        let ran = found.iter().map(|(_, report)| report.ran).max().unwrap_or_default();
        job.attempt = job.attempt.max(gang.attempt);
        job.committed = true;
        self.events.push_back(Event::Adopt {
            spec: job.spec.clone(),
            attempt: gang.attempt,
            placement: gang.placement(),
            age: job.age(cx.now),
            ran,
        });
        let (key, attempt) = (job.key().clone(), gang.attempt);
        let workers = gang.workers();
        job.stage = Stage::Placed(Box::new(gang));
        self.orphans.retain(|o| o.report.id.key != key || o.report.id.attempt != attempt);
        for worker in workers {
            self.request_report(worker, cx);
        }
        self.forward_cancel(i, cx);
        self.advance_attempt(i, cx);
    }

    fn submit_to_scheduler(
        &mut self,
        i: usize,
        found: &[(WorkerId, TaskReport)],
        cx: &mut Context<'_>,
    ) {
        let job = &mut self.jobs[i];
        let seen = found.iter().map(|(_, report)| report.id.attempt).max().unwrap_or_default();
        job.attempt = job.attempt.max(seen);
        // Without an intent in the store, a job that is not idempotent has not run, or it resumes
        // from a checkpoint.
        let last_run = if job.spec.idempotent { job.attempt } else { Attempt(0) };
        job.stage = Stage::Waiting;
        self.events.push_back(Event::Submit {
            spec: job.spec.clone(),
            attempt: last_run,
            used: job.attempt,
            age: job.age(cx.now),
        });
        self.forward_cancel(i, cx);
    }

    /// Runs the timers of a job.
    pub(super) fn tick_job(&mut self, i: usize, view: DaemonView<'_>, cx: &mut Context<'_>) {
        if self.jobs[i].abandoned {
            return;
        }
        let tag = Tag::Record(self.jobs[i].key().clone());
        self.jobs[i].uncertain = self.journal.is_uncertain(|other| *other == tag);
        self.tick_gang(i, cx);
        self.forward_cancel(i, cx);
        if !self.is_placer() {
            return self.abandon_if_settled(i, cx);
        }
        if self.jobs[i].end.is_some() {
            return self.advance_end(i, cx);
        }
        match (&self.jobs[i].stage, self.jobs[i].record_state) {
            // The scheduler no longer has the job and cannot cancel it.
            (Stage::Leaving(_), _) if self.jobs[i].is_cancelled_here(&self.domain) => {
                let key = self.jobs[i].key().clone();
                self.finish(&key, Ending::Cancelled { ran: false }, cx);
            }
            (Stage::Leaving(due), _) if *due <= cx.now => self.hand_over(i, view, cx),
            (Stage::Leaving(_), _) => {}
            (Stage::Out, _) => {
                let key = self.jobs[i].key().clone();
                self.hand_to_scheduler(&key, cx);
            }
            (_, RecordState::Memory) if !self.journal.is_down() => {
                self.create_record(i, RetryPolicy::Unlimited, cx)
            }
            _ => {}
        }
    }

    /// Hands a job over to another failure domain, through its record if it has one.
    fn hand_over(&mut self, i: usize, view: DaemonView<'_>, cx: &mut Context<'_>) {
        let Some(state) = view.state else { return };
        let job = &self.jobs[i];
        let moved = job.stored.as_ref().map(|stored| stored.record.domain.clone());
        if let Some(domain) = moved.filter(|domain| *domain != self.domain) {
            return self.notify_new_placer(i, domain, view, cx);
        }
        let key = job.key().clone();
        let views = view.members.views(cx.now);
        match route(&job.spec, state, &views) {
            Ok(domain) if domain == self.domain => {
                self.jobs[i].stage = Stage::Out;
                self.hand_to_scheduler(&key, cx);
            }
            Ok(domain) if job.record_state == RecordState::Owned => {
                self.jobs[i].desired.domain = domain;
                self.jobs[i].desired.intent = None;
                self.sync_record(i, cx);
            }
            Ok(domain) if job.record_state == RecordState::Memory => {
                self.abandon(i, JobStatus::Elsewhere(domain), cx);
            }
            _ => {}
        }
    }

    /// Sends a job whose record has moved to another domain to that domain's placer; repeated
    /// until that placer has taken the record over.
    fn notify_new_placer(
        &mut self,
        i: usize,
        domain: bulrushlink_core::DomainId,
        view: DaemonView<'_>,
        cx: &mut Context<'_>,
    ) {
        self.jobs[i].stage = Stage::Leaving(cx.now + HANDOVER_RETRY_INTERVAL);
        let job = &self.jobs[i];
        if let Some(placer) = view.members.placer(&domain, cx.now) {
            let message = PeerMessage::Submit {
                domain: domain.clone(),
                spec: job.spec.clone(),
                held: false,
                attempt: job.attempt,
                age: job.age(cx.now),
                // The wall clock keeps a restarted daemon from repeating a number.
                seq: cx.wall << 20 | self.seq & 0xf_ffff,
            };
            cx.out.peer(&placer, message);
        }
        self.notify_followers(i, &JobStatus::Elsewhere(domain), cx);
        self.verify_ownership(i, cx);
    }
}

/// Returns the latest attempt whose tasks are all on the workers, running or completed.
fn find_complete_gang(job: &Job, found: &[(WorkerId, TaskReport)], now: Moment) -> Option<Gang> {
    let tasks = job.spec.shape.tasks;
    let runs_or_completed = |report: &TaskReport| {
        matches!(
            report.state,
            TaskState::Started | TaskState::Confirmed | TaskState::Completed { .. }
        )
    };
    let mut attempts: Vec<_> = found.iter().map(|(_, report)| report.id.attempt).collect();
    attempts.sort();
    attempts.dedup();
    for attempt in attempts.into_iter().rev() {
        let attempt_reports =
            found.iter().filter(|(_, r)| r.id.attempt == attempt && runs_or_completed(r));
        let mut placement: Placement = attempt_reports
            .map(|(worker, r)| TaskPlace { task: r.id.task, worker: worker.clone(), set: r.set })
            .collect();
        placement.sort();
        placement.dedup_by_key(|place| place.task);
        if placement.len() == usize::from(tasks) {
            return Some(Gang::from_reports(attempt, placement, found, now));
        }
    }
    None
}
