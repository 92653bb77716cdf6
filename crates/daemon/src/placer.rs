//! Owns the jobs of one failure domain and carries out the scheduler's decisions on the workers.
//!
//! Three kinds of authority are separate. Placement is done by one daemon of the domain, chosen
//! from live membership; two placers at the same time cost placement quality, not safety. The
//! authority to start a job that is not idempotent comes only from the job's record in the store.
//! Lease renewal starts nothing and belongs to the keeper.

use bulrushlink_api::{EdgeFault, Host, StoreReply, WorkerReply};
use bulrushlink_core::{
    Action, DaemonId, DomainId, DomainShare, Event, JobKey, Load, Moment, Scheduler, Span,
    WorkerInfo,
};
use std::collections::VecDeque;

use crate::edge::{CallId, Component, Context};
use crate::intake::DaemonView;
use crate::journal::{Owner, StoreCalls};
use crate::peer::PeerMessage;
use crate::settings::Settings;

mod calls;
mod dump;
mod ending;
mod gang;
mod job;
mod moves;
mod records;
mod recovery;
mod reports;
mod starts;
mod submits;

#[cfg(test)]
mod tests;

use calls::WorkerCall;
use gang::Gang;
pub use gang::{broken_gang_time_max, partial_gang_time_max};
use job::{Job, Stage};
use records::Tag;
use recovery::Recovery;
use reports::Orphan;
use submits::RefusedSubmission;

/// Upper bound of the random delay before the scheduler is told of a failed start. The randomness
/// keeps two jobs that compete for the same accelerators from colliding again.
const START_BACKOFF_MAX_MS: u64 = 200;

/// The placer's percentage of the daemon's rate of store calls.
const STORE_RATE_PERCENT: u64 = 80;

/// Whether this daemon places jobs in the domain.
#[derive(Debug)]
enum Mode {
    /// Another daemon is the placer.
    Idle,
    /// Reads the open jobs from the store and the running tasks from the workers.
    Recovering,
    /// Places jobs.
    Active,
}

/// An event held back from the scheduler until `due`.
#[derive(Debug)]
struct Delayed {
    due: Moment,
    event: Event,
}

/// Places and owns the jobs of this daemon's failure domain while this daemon is its placer.
#[derive(Debug)]
pub(crate) struct Placer {
    owner: Owner,
    domain: DomainId,
    scheduler: Scheduler,
    mode: Mode,
    recovery: Recovery,
    share: Option<DomainShare>,
    /// Workers of the domain, sorted by id.
    hosts: Vec<Host>,
    /// Workers that have left the list of hosts but may still run tasks.
    removed_hosts: Vec<Host>,
    /// Sorted by key.
    jobs: Vec<Job>,
    journal: StoreCalls<Tag>,
    /// Worker calls in flight, sorted by call.
    calls: Vec<WorkerCall>,
    /// Tasks that belong to no attempt known here.
    orphans: Vec<Orphan>,
    /// Refused submissions, kept so that a repeated message cannot get the job accepted. Sorted by
    /// daemon and sequence number.
    refusals: Vec<RefusedSubmission>,
    /// Events not yet passed to the scheduler.
    events: VecDeque<Event>,
    delayed: Vec<Delayed>,
    /// When the last search for room in other domains was made.
    last_search: Moment,
    /// Sequence number of the last record write.
    seq: u64,
    rng: fastrand::Rng,
}

impl Placer {
    pub(crate) fn open(settings: &Settings, now: Moment, incarnation: u64) -> Self {
        let owner = Owner { daemon: settings.daemon.clone(), incarnation };
        Self {
            domain: settings.domain().clone(),
            scheduler: Scheduler::open(incarnation),
            mode: Mode::Idle,
            recovery: Recovery::new(now),
            share: None,
            hosts: Vec::new(),
            removed_hosts: Vec::new(),
            jobs: Vec::new(),
            journal: StoreCalls::open(Component::Placer, STORE_RATE_PERCENT, now, incarnation),
            calls: Vec::new(),
            orphans: Vec::new(),
            refusals: Vec::new(),
            events: VecDeque::new(),
            delayed: Vec::new(),
            last_search: now,
            seq: 0,
            rng: fastrand::Rng::with_seed(incarnation),
            owner,
        }
    }

    /// Starts or stops placing. Starting begins with recovery: open jobs are read from the store,
    /// running tasks from the workers.
    pub(crate) fn set_placing(&mut self, placing: bool, cx: &mut Context<'_>) {
        if placing == self.is_placer() {
            return;
        }
        if placing {
            self.activate(cx);
        } else {
            self.deactivate(cx);
        }
        self.process_and_publish(cx);
    }

    /// Returns true if this daemon is the domain's placer, recovery included.
    pub(crate) const fn is_placer(&self) -> bool {
        !matches!(self.mode, Mode::Idle)
    }

    /// Handles a new desired state of this failure domain that has come into force.
    pub(crate) fn on_share(&mut self, share: DomainShare, cx: &mut Context<'_>) {
        self.share = Some(share.clone());
        if self.is_placer() {
            self.events.push_back(Event::Share(share));
            self.process_and_publish(cx);
        }
    }

    /// Replaces the list of the domain's workers, which is sorted by id.
    pub(crate) fn on_hosts(&mut self, hosts: &[Host], cx: &mut Context<'_>) {
        let previous = std::mem::replace(&mut self.hosts, hosts.to_vec());
        if !self.is_placer() {
            return;
        }
        for host in hosts {
            let known = previous.binary_search_by(|h| h.id.cmp(&host.id)).map(|i| &previous[i]);
            if known != Ok(host) {
                self.events.push_back(Event::Worker(worker_info(host)));
            }
            if known.is_err() {
                self.recovery.expect_report(&host.id);
                self.request_report(host.id.clone(), cx);
            }
        }
        self.removed_hosts.retain(|r| hosts.binary_search_by(|h| h.id.cmp(&r.id)).is_err());
        for host in previous {
            if hosts.binary_search_by(|h| h.id.cmp(&host.id)).is_err() {
                let info = WorkerInfo { leaving: true, ..worker_info(&host) };
                self.events.push_back(Event::Worker(info));
                self.removed_hosts.push(host);
            }
        }
        self.process_and_publish(cx);
    }

    /// Reports removed workers as lost once nothing can run on them. The list of hosts lags and
    /// may be wrong, so a worker's absence from it alone does not end what runs there.
    fn tick_removed_hosts(&mut self, cx: &Context<'_>) {
        let removed = std::mem::take(&mut self.removed_hosts);
        for host in removed {
            let busy = |job: &Job| match &job.stage {
                Stage::Placed(gang) => gang.may_run_on(&host.id),
                _ => false,
            };
            if self.jobs.iter().any(busy) {
                self.removed_hosts.push(host);
                continue;
            }
            log::info!(
                "worker {} left the domain and runs nothing; removed at {}",
                host.id,
                cx.now
            );
            self.events.push_back(Event::WorkerLost(host.id));
        }
    }

    /// Handles `Submit`, `Follow`, `Cancel` and `Reports`.
    pub(crate) fn on_message(
        &mut self,
        from: &DaemonId,
        message: PeerMessage,
        cx: &mut Context<'_>,
    ) {
        match message {
            PeerMessage::Submit { domain, spec, held, attempt, age, seq } => {
                let submit = submits::Submission { domain, spec, held, attempt, age, seq };
                self.on_submit(from, submit, cx);
            }
            PeerMessage::Follow { domain, key, why } => {
                self.on_follow(from, &domain, &key, why, cx);
            }
            PeerMessage::Cancel { domain, key } => self.on_cancel(from, &domain, &key, cx),
            PeerMessage::Reports { worker, all: _, tasks, seq } if self.is_placer() => {
                self.on_task_reports(&worker, &tasks, cx);
                cx.out.peer(from, PeerMessage::ReportsTaken { seq });
            }
            _ => {}
        }
        self.process_and_publish(cx);
    }

    /// Handles the result of a store call.
    pub(crate) fn on_store(
        &mut self,
        call: CallId,
        result: Result<StoreReply, EdgeFault>,
        cx: &mut Context<'_>,
    ) {
        if let Some((tag, outcome)) = self.journal.on_store(call, result, cx) {
            self.on_outcome(tag, outcome, cx);
        }
        self.process_and_publish(cx);
    }

    /// Handles the result of a worker call.
    pub(crate) fn on_worker(
        &mut self,
        call: CallId,
        result: Result<WorkerReply, EdgeFault>,
        cx: &mut Context<'_>,
    ) {
        self.on_call_result(call, result, cx);
        self.process_and_publish(cx);
    }

    /// Runs timers and retries. Jobs that can no longer run here are handed over to a failure
    /// domain of `view`.
    pub(crate) fn tick(&mut self, view: DaemonView<'_>, cx: &mut Context<'_>) {
        for (tag, outcome) in self.journal.tick(cx) {
            self.on_outcome(tag, outcome, cx);
        }
        self.tick_store(cx);
        self.tick_refusals(cx.now);
        self.release_delayed(cx);
        self.tick_recovery(cx);
        self.tick_removed_hosts(cx);
        for i in 0..self.jobs.len() {
            self.tick_job(i, view, cx);
        }
        self.tick_orphans(cx);
        self.tick_moves(view, cx);
        if matches!(self.mode, Mode::Active)
            && self.scheduler.next_tick().is_some_and(|due| due <= cx.now)
        {
            self.events.push_back(Event::Tick);
        }
        self.process_and_publish(cx);
    }

    /// Returns the load to announce; zero unless this daemon is the placer.
    pub(crate) fn load(&self) -> Load {
        if self.is_placer() { self.scheduler.load() } else { Load::default() }
    }

    /// Returns true once this daemon has stopped placing and no job is left here that only this
    /// process can finish. A job that may run without a record no longer counts once its end
    /// is published.
    pub(crate) fn has_released_jobs(&self) -> bool {
        !self.is_placer()
            && self.jobs.iter().all(|job| job.may_run_unrecorded() && job.is_end_published())
    }

    fn find(&self, key: &JobKey) -> Result<usize, usize> {
        self.jobs.binary_search_by(|job| job.key().cmp(key))
    }

    /// Passes pending events to the scheduler and applies its actions until none are left, then
    /// sends changed states to followers.
    fn process_and_publish(&mut self, cx: &mut Context<'_>) {
        self.process_events(cx);
        self.publish(cx);
        self.drop_finished_jobs(cx);
    }

    fn process_events(&mut self, cx: &mut Context<'_>) {
        if !self.is_placer() {
            // The next placer rebuilds this state in its own recovery.
            self.events.clear();
            self.delayed.clear();
        }
        while let Some(event) = self.events.pop_front() {
            for action in self.scheduler.decide(event, cx.now) {
                self.apply_action(action, cx);
            }
        }
    }

    fn apply_action(&mut self, action: Action, cx: &mut Context<'_>) {
        match action {
            Action::Start { key, attempt, placement } => {
                let gang = Gang::new(attempt, placement, cx.now);
                self.start_attempt(&key, gang, cx);
            }
            Action::Stop { key, attempt, grace, reason } => {
                self.stop_attempt(&key, attempt, grace, reason, cx);
            }
            Action::Throttle { key, attempt, percent } => {
                self.throttle(&key, attempt, percent, cx);
            }
            Action::Finish { key, ending } => self.finish(&key, ending, cx),
            Action::HandOver { key, attempt } => {
                if let Ok(i) = self.find(&key) {
                    self.jobs[i].attempt = self.jobs[i].attempt.max(attempt);
                    self.jobs[i].stage = Stage::Leaving(cx.now);
                }
            }
            Action::Quarantine(worker) => log::warn!("worker {worker} quarantined"),
            Action::Readmit(worker) => log::info!("worker {worker} released from quarantine"),
        }
    }

    /// Passes a failed start to the scheduler after a random delay.
    fn delay_event(&mut self, event: Event, now: Moment) {
        let pause = Span(1 + self.rng.u64(..START_BACKOFF_MAX_MS));
        self.delayed.push(Delayed { due: now + pause, event });
    }

    /// Queues a job's delayed failed start for the scheduler at once.
    fn flush_delayed(&mut self, key: &JobKey) {
        for delayed in std::mem::take(&mut self.delayed) {
            match &delayed.event {
                Event::StartFailed { key: event_key, .. } if event_key == key => {
                    self.events.push_back(delayed.event);
                }
                _ => self.delayed.push(delayed),
            }
        }
    }

    fn release_delayed(&mut self, cx: &Context<'_>) {
        for delayed in std::mem::take(&mut self.delayed) {
            if delayed.due <= cx.now {
                self.events.push_back(delayed.event);
            } else {
                self.delayed.push(delayed);
            }
        }
    }
}

fn worker_info(host: &Host) -> WorkerInfo {
    WorkerInfo {
        id: host.id.clone(),
        domain: host.domain.clone(),
        rack: host.rack.clone(),
        accelerators: host.accelerators,
        slots: host.slots,
        leaving: host.leaving,
    }
}
