//! Owns the jobs of one failure domain: carries out the scheduler's decisions on the workers.
//!
//! Three powers are kept apart. Placing is by one daemon of the domain, chosen from live
//! membership; two of them for a while cost quality, not safety. Authority to start a job that
//! isn't idempotent comes with its record in the store alone. Renewal of leases starts nothing and
//! is the keeper's.

use bulrushlink_api::{EdgeFault, Host, StoreReply, WorkerReply};
use bulrushlink_core::{
    Action, DaemonId, DomainId, DomainShare, Event, JobKey, Load, Moment, Scheduler, Span,
    WorkerInfo,
};
use std::collections::VecDeque;

use crate::edge::{CallId, Context, Duty};
use crate::intake::World;
use crate::journal::{Journal, Owner};
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
pub use gang::{broken_gang_bound, partial_gang_bound};
use job::{Job, Place};
use records::Tag;
use recovery::Recovery;
use reports::Orphan;
use submits::Tombstone;

/// Pause before the scheduler hears of a failed start, at most; it keeps two that want the same
/// accelerators apart.
const BACK_OFF_MS: u64 = 200;

/// The placer's part of the daemon's rate of store calls.
const STORE_PERCENT: u64 = 80;

/// What a placer does.
#[derive(Debug)]
enum Standing {
    /// Another daemon places.
    Idle,
    /// Finds out what is open and what runs.
    Recovering,
    /// Places.
    Active,
}

/// An event that the scheduler hears of later.
#[derive(Debug)]
struct Delayed {
    due: Moment,
    event: Event,
}

/// Places and owns the jobs of the own failure domain while this daemon is its placer.
#[derive(Debug)]
pub(crate) struct Placer {
    own: Owner,
    domain: DomainId,
    scheduler: Scheduler,
    standing: Standing,
    recovery: Recovery,
    share: Option<DomainShare>,
    /// Workers of the domain, sorted.
    hosts: Vec<Host>,
    /// Workers that the list doesn't name any more, while tasks may run there.
    former: Vec<Host>,
    /// Sorted by key.
    jobs: Vec<Job>,
    journal: Journal<Tag>,
    /// Worker calls without an answer, sorted by call.
    calls: Vec<WorkerCall>,
    /// Tasks that belong to no attempt known here.
    orphans: Vec<Orphan>,
    /// Submissions that were refused, so that a repeat can't be taken.
    /// Sorted by daemon and submission.
    refused: Vec<Tombstone>,
    /// Events for the scheduler.
    events: VecDeque<Event>,
    delayed: Vec<Delayed>,
    /// Moment of the last look for room in other domains.
    looked: Moment,
    /// Last number given to a write.
    seq: u64,
    rng: fastrand::Rng,
}

impl Placer {
    pub(crate) fn open(settings: &Settings, now: Moment, incarnation: u64) -> Self {
        let own = Owner { daemon: settings.daemon.clone(), incarnation };
        Self {
            domain: settings.domain().clone(),
            scheduler: Scheduler::open(incarnation),
            standing: Standing::Idle,
            recovery: Recovery::open(now),
            share: None,
            hosts: Vec::new(),
            former: Vec::new(),
            jobs: Vec::new(),
            journal: Journal::open(Duty::Placer, STORE_PERCENT, now, incarnation),
            calls: Vec::new(),
            orphans: Vec::new(),
            refused: Vec::new(),
            events: VecDeque::new(),
            delayed: Vec::new(),
            looked: now,
            seq: 0,
            rng: fastrand::Rng::with_seed(incarnation),
            own,
        }
    }

    /// Takes up or lays down placing. Taking up begins with recovery: open jobs from the store,
    /// running tasks from the workers.
    pub(crate) fn set_active(&mut self, active: bool, cx: &mut Context<'_>) {
        if active == self.is_active() {
            return;
        }
        if active {
            self.take_up(cx);
        } else {
            self.lay_down(cx);
        }
        self.pump(cx);
    }

    /// Tells whether this daemon places, recovery included.
    pub(crate) const fn is_active(&self) -> bool {
        !matches!(self.standing, Standing::Idle)
    }

    /// Takes the share of the failure domain that came into force.
    pub(crate) fn on_share(&mut self, share: DomainShare, cx: &mut Context<'_>) {
        self.share = Some(share.clone());
        if self.is_active() {
            self.events.push_back(Event::Share(share));
            self.pump(cx);
        }
    }

    /// Takes the workers of the failure domain, sorted by worker, after a change.
    pub(crate) fn on_hosts(&mut self, hosts: &[Host], cx: &mut Context<'_>) {
        let old = std::mem::replace(&mut self.hosts, hosts.to_vec());
        if !self.is_active() {
            return;
        }
        for host in hosts {
            let known = old.binary_search_by(|h| h.id.cmp(&host.id)).map(|i| &old[i]);
            if known != Ok(host) {
                self.events.push_back(Event::Worker(worker_info(host)));
            }
            if known.is_err() {
                self.recovery.expect(&host.id);
                self.ask_worker(host.id.clone(), cx);
            }
        }
        self.former.retain(|f| hosts.binary_search_by(|h| h.id.cmp(&f.id)).is_err());
        for host in old {
            if hosts.binary_search_by(|h| h.id.cmp(&host.id)).is_err() {
                let info = WorkerInfo { leaving: true, ..worker_info(&host) };
                self.events.push_back(Event::Worker(info));
                self.former.push(host);
            }
        }
        self.pump(cx);
    }

    /// Gives workers up that are in the list no more, once nothing can run there. The list lags
    /// and may be wrong, so that what runs there isn't lost by it alone.
    fn tick_former(&mut self, cx: &Context<'_>) {
        let former = std::mem::take(&mut self.former);
        for host in former {
            let busy = |job: &Job| match &job.place {
                Place::Placed(gang) => gang.uses(&host.id),
                _ => false,
            };
            if self.jobs.iter().any(busy) {
                self.former.push(host);
                continue;
            }
            log::info!("worker {} is gone at {}", host.id, cx.now);
            self.events.push_back(Event::WorkerLost(host.id));
        }
    }

    /// Takes `Submit`, `Follow`, `Cancel` or `Reports`.
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
            PeerMessage::Reports { worker, all: _, tasks, seq } if self.is_active() => {
                self.on_tasks(&worker, &tasks, cx);
                cx.out.peer(from, PeerMessage::ReportsTaken { seq });
            }
            _ => {}
        }
        self.pump(cx);
    }

    /// Takes a store's answer.
    pub(crate) fn on_store(
        &mut self,
        call: CallId,
        result: Result<StoreReply, EdgeFault>,
        cx: &mut Context<'_>,
    ) {
        if let Some((tag, outcome)) = self.journal.on_store(call, result, cx) {
            self.on_outcome(tag, outcome, cx);
        }
        self.pump(cx);
    }

    /// Takes a worker's answer.
    pub(crate) fn on_worker(
        &mut self,
        call: CallId,
        result: Result<WorkerReply, EdgeFault>,
        cx: &mut Context<'_>,
    ) {
        self.on_reply(call, result, cx);
        self.pump(cx);
    }

    /// Lets time pass. Jobs that can't run here any more are handed to a failure domain of
    /// `world`.
    pub(crate) fn tick(&mut self, world: World<'_>, cx: &mut Context<'_>) {
        for (tag, outcome) in self.journal.tick(cx) {
            self.on_outcome(tag, outcome, cx);
        }
        self.tick_store(cx);
        self.tick_refused(cx.now);
        self.take_delayed(cx);
        self.tick_recovery(cx);
        self.tick_former(cx);
        for i in 0..self.jobs.len() {
            self.tick_job(i, world, cx);
        }
        self.tick_orphans(cx);
        self.tick_moves(world, cx);
        if matches!(self.standing, Standing::Active)
            && self.scheduler.next_tick().is_some_and(|due| due <= cx.now)
        {
            self.events.push_back(Event::Tick);
        }
        self.pump(cx);
    }

    /// Returns the load to announce.
    pub(crate) fn load(&self) -> Load {
        if self.is_active() { self.scheduler.load() } else { Load::default() }
    }

    /// Tells whether laying down is complete: nothing is left that only this daemon knows.
    pub(crate) fn is_idle(&self) -> bool {
        !self.is_active() && self.jobs.iter().all(|job| job.is_light() && job.is_told())
    }

    fn find(&self, key: &JobKey) -> Result<usize, usize> {
        self.jobs.binary_search_by(|job| job.key().cmp(key))
    }

    /// Tells the scheduler what happened and does what it asks for, until nothing is left; then
    /// tells followers what has changed.
    fn pump(&mut self, cx: &mut Context<'_>) {
        self.drain(cx);
        self.publish(cx);
        self.drop_gone(cx);
    }

    fn drain(&mut self, cx: &mut Context<'_>) {
        if !self.is_active() {
            // The next placer finds out by itself.
            self.events.clear();
            self.delayed.clear();
        }
        while let Some(event) = self.events.pop_front() {
            for action in self.scheduler.decide(event, cx.now) {
                self.carry_out(action, cx);
            }
        }
    }

    fn carry_out(&mut self, action: Action, cx: &mut Context<'_>) {
        match action {
            Action::Start { key, attempt, placement } => {
                let gang = Gang::open(attempt, placement, cx.now);
                self.start(&key, gang, cx);
            }
            Action::Stop { key, attempt, grace, reason } => {
                self.stop(&key, attempt, grace, reason, cx);
            }
            Action::Throttle { key, attempt, percent } => {
                self.throttle(&key, attempt, percent, cx);
            }
            Action::Finish { key, ending } => self.finish(&key, ending, cx),
            Action::HandOver { key, attempt } => {
                if let Ok(i) = self.find(&key) {
                    self.jobs[i].attempt = self.jobs[i].attempt.max(attempt);
                    self.jobs[i].place = Place::Leaving(cx.now);
                }
            }
            Action::Quarantine(worker) => log::warn!("worker {worker} is quarantined"),
            Action::Readmit(worker) => log::info!("worker {worker} is trusted again"),
        }
    }

    /// Lets the scheduler hear of a failed start after a pause.
    fn delay(&mut self, event: Event, now: Moment) {
        let pause = Span(1 + self.rng.u64(..BACK_OFF_MS));
        self.delayed.push(Delayed { due: now + pause, event });
    }

    /// Lets the scheduler hear of a job's failed start without a pause.
    fn hasten(&mut self, key: &JobKey) {
        for delayed in std::mem::take(&mut self.delayed) {
            match &delayed.event {
                Event::StartFailed { key: own, .. } if own == key => {
                    self.events.push_back(delayed.event);
                }
                _ => self.delayed.push(delayed),
            }
        }
    }

    fn take_delayed(&mut self, cx: &Context<'_>) {
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
