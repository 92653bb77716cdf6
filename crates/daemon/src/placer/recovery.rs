//! Taking up and laying down: the store tells what is open, the workers tell what runs.

use bulrushlink_api::{Record, StoreRequest, TaskReport, TaskState};
use bulrushlink_core::{
    Attempt, Ending, Event, JobKey, Moment, Placement, Scheduler, Span, TaskPlace, WorkerId, route,
};

use super::gang::{Gang, Phase};
use super::job::{Claim, Job, Place};
use super::records::Tag;
use super::{Placer, Standing, worker_info};
use crate::edge::Context;
use crate::intake::World;
use crate::journal::{JobRecord, OPEN_PREFIX, Outcome, PAGE_RECORDS, Patience};
use crate::peer::{JobStatus, PeerMessage};

/// Time after which recovery goes on without workers and records that it hasn't heard of.
const RECOVERY_BOUND: Span = Span::from_secs(5);
/// Pause between two readings of all open jobs, and its growth with each record read: what they
/// cost in a second is bounded.
const SWEEP_PAUSE: Span = Span::from_secs(30);
/// Growth of the pause with each record, in milliseconds.
const SWEEP_RECORD_MS: u64 = 500;
/// Pause between two hints to a placer that a record was moved to it.
const MOVE_PAUSE: Span = Span::from_secs(5);

/// What is known at a change of the placer.
#[derive(Debug)]
pub(super) struct Recovery {
    /// Moment of the change.
    pub(super) since: Moment,
    /// Workers that haven't answered yet.
    asked: Vec<WorkerId>,
    /// Beginning of the last complete reading of all open jobs.
    pub(super) swept: Option<Moment>,
    /// Beginning of the reading that goes on.
    sweeping: Option<Moment>,
    /// Moment of the next reading.
    sweep_due: Moment,
    /// Records read so far in this reading.
    records: u64,
}

impl Recovery {
    pub(super) const fn open(now: Moment) -> Self {
        Self {
            since: now,
            asked: Vec::new(),
            swept: None,
            sweeping: None,
            sweep_due: now,
            records: 0,
        }
    }

    pub(super) fn expect(&mut self, worker: &WorkerId) {
        self.asked.push(worker.clone());
    }

    pub(super) fn on_answered(&mut self, worker: &WorkerId) {
        self.asked.retain(|asked| asked != worker);
    }
}

impl Placer {
    pub(super) fn take_up(&mut self, cx: &mut Context<'_>) {
        log::info!("takes up placing in {}", self.domain);
        for i in 0..self.jobs.len() {
            if !self.jobs[i].gone && self.jobs[i].end.is_none() {
                self.abandon(i, JobStatus::NotPlacing, cx);
            }
        }
        let sweeping = self.recovery.sweeping;
        self.recovery = Recovery { sweeping, ..Recovery::open(cx.now) };
        self.standing = Standing::Recovering;
        self.scheduler = Scheduler::open(self.own.incarnation);
        self.events.clear();
        self.delayed.clear();
        self.orphans.clear();
        self.events.extend(self.share.clone().map(Event::Share));
        for host in self.hosts.clone() {
            self.events.push_back(Event::Worker(worker_info(&host)));
            self.recovery.asked.push(host.id.clone());
            self.ask_worker(host.id, cx);
        }
        self.sweep(cx);
    }

    pub(super) fn lay_down(&mut self, cx: &mut Context<'_>) {
        log::info!("lays down placing in {}", self.domain);
        self.standing = Standing::Idle;
        for i in 0..self.jobs.len() {
            self.tick_laid_down(i, cx);
        }
    }

    /// Gives jobs up that nothing is under way for, so that the next placer finds them.
    pub(super) fn tick_laid_down(&mut self, i: usize, cx: &mut Context<'_>) {
        let job = &self.jobs[i];
        if job.gone || job.end.is_some() {
            return;
        }
        let settled = job.writing.is_none() && matches!(job.claim, Claim::Owned | Claim::Memory);
        let free = match &job.place {
            Place::Placed(gang) => matches!(gang.phase, Phase::Running) || !gang.committed,
            _ => true,
        };
        if free && (settled || job.is_light() || job.claim == Claim::Taking) {
            self.abandon(i, JobStatus::NotPlacing, cx);
        }
    }

    pub(super) fn tick_recovery(&mut self, cx: &mut Context<'_>) {
        if !self.is_active() {
            return;
        }
        if self.recovery.sweeping.is_none() && self.recovery.sweep_due <= cx.now {
            self.sweep(cx);
        }
        if matches!(self.standing, Standing::Recovering) && self.is_recovered(cx) {
            log::info!("places in {}", self.domain);
            self.standing = Standing::Active;
            let keys: Vec<_> = self.jobs.iter().map(|job| job.key().clone()).collect();
            for key in keys {
                self.enter(&key, cx);
            }
        }
    }

    fn is_recovered(&self, cx: &Context<'_>) -> bool {
        let late = cx.now.since(self.recovery.since) > RECOVERY_BOUND;
        let workers = !self.hosts.is_empty() && self.recovery.asked.is_empty();
        let store = self.recovery.swept.is_some() || self.journal.is_down();
        late || workers && store
    }

    pub(super) fn on_no_report(&mut self, worker: &WorkerId, cx: &mut Context<'_>) {
        if matches!(self.standing, Standing::Recovering) && self.recovery.asked.contains(worker) {
            self.ask_worker(worker.clone(), cx);
        }
    }

    /// Reads all open jobs: records of this domain that nobody here knows are taken.
    fn sweep(&mut self, cx: &mut Context<'_>) {
        if self.recovery.sweeping.is_none() {
            self.recovery.sweeping = Some(cx.now);
            self.recovery.records = 0;
            self.read_page(String::new(), cx);
        }
    }

    fn read_page(&mut self, after: String, cx: &mut Context<'_>) {
        let prefix = OPEN_PREFIX.to_string();
        let request = StoreRequest::List { prefix, after, limit: PAGE_RECORDS };
        self.journal.call(Tag::Sweep, request, Patience::Endless, cx);
    }

    pub(super) fn on_page(&mut self, outcome: Outcome, cx: &mut Context<'_>) {
        let began = self.recovery.sweeping;
        let Outcome::Page { records, more } = outcome else { return };
        if !self.is_active() || began.is_some_and(|began| began < self.recovery.since) {
            self.recovery.sweeping = None;
            return;
        }
        self.recovery.records += records.len() as u64;
        let last = records.last().map(|record| record.key.clone());
        for found in records {
            self.take_found(&found, cx);
        }
        match last.filter(|_| more) {
            Some(after) => self.read_page(after, cx),
            None => {
                self.recovery.swept = began;
                self.recovery.sweeping = None;
                let pause = SWEEP_PAUSE.0 + SWEEP_RECORD_MS * self.recovery.records;
                let jitter = self.rng.u64(..pause / 4);
                self.recovery.sweep_due = cx.now + Span(pause + jitter);
            }
        }
    }

    /// Takes an open job of this domain that nobody here knows.
    pub(super) fn take_found(&mut self, found: &Record, cx: &mut Context<'_>) {
        let Some(record) = JobRecord::read(&found.value) else { return };
        if record.domain != self.domain {
            return;
        }
        match self.find(&record.spec.key) {
            Ok(i) => self.remove_again(i, found.at, cx),
            Err(i) => {
                let job = self.new_job(record.spec.clone(), record.age(cx.wall), false, cx);
                self.jobs.insert(i, job);
                self.take(i, found.at, record, cx);
            }
        }
    }

    /// Hands a job to the scheduler: as running if the workers have the whole of it.
    pub(super) fn enter(&mut self, key: &JobKey, cx: &mut Context<'_>) {
        let Ok(i) = self.find(key) else { return };
        let job = &self.jobs[i];
        let open = !job.gone && job.end.is_none() && matches!(job.place, Place::Out);
        let claimed = matches!(job.claim, Claim::Owned | Claim::Memory | Claim::Creating)
            || job.is_light() && self.journal.is_down();
        if !open || !claimed || !matches!(self.standing, Standing::Active) {
            return;
        }
        let found = self.orphans_of(key);
        let job = &self.jobs[i];
        let intent = job.kept.as_ref().and_then(|kept| kept.record.intent.clone());
        let trusted = job.spec.idempotent || job.claim == Claim::Owned;
        let gang = match intent.filter(|_| job.committed) {
            Some(intent) => Some(Gang::adopt(intent.attempt, intent.placement, &found, cx.now)),
            None if trusted => whole_gang(job, &found, cx.now),
            None => None,
        };
        match gang {
            Some(gang) => self.adopt(i, gang, &found, cx),
            None => self.submit(i, &found, cx),
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
        let phase = if gang.is_up() { Phase::Confirming } else { Phase::Running };
        gang.enter(phase, cx.now);
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
        job.place = Place::Placed(Box::new(gang));
        self.orphans.retain(|o| o.report.id.key != key || o.report.id.attempt != attempt);
        for worker in workers {
            self.ask_worker(worker, cx);
        }
        self.press_cancel(i, cx);
        self.proceed(i, cx);
    }

    fn submit(&mut self, i: usize, found: &[(WorkerId, TaskReport)], cx: &mut Context<'_>) {
        let job = &mut self.jobs[i];
        let seen = found.iter().map(|(_, report)| report.id.attempt).max().unwrap_or_default();
        job.attempt = job.attempt.max(seen);
        // Without an intent in the store nothing of a job that isn't idempotent has run, or it
        // goes on from a checkpoint.
        let ran = if job.spec.idempotent { job.attempt } else { Attempt(0) };
        job.place = Place::Waiting;
        self.events.push_back(Event::Submit {
            spec: job.spec.clone(),
            attempt: ran,
            used: job.attempt,
            age: job.age(cx.now),
        });
        self.press_cancel(i, cx);
    }

    /// Lets time pass for a job.
    pub(super) fn tick_job(&mut self, i: usize, world: World<'_>, cx: &mut Context<'_>) {
        if self.jobs[i].gone {
            return;
        }
        let tag = Tag::Record(self.jobs[i].key().clone());
        self.jobs[i].doubtful = self.journal.is_uncertain(|other| *other == tag);
        self.tick_gang(i, cx);
        self.press_cancel(i, cx);
        if !self.is_active() {
            return self.tick_laid_down(i, cx);
        }
        if self.jobs[i].end.is_some() {
            return self.drive_end(i, cx);
        }
        match (&self.jobs[i].place, self.jobs[i].claim) {
            // The scheduler doesn't have the job any more, and can't cancel it.
            (Place::Leaving(_), _) if self.jobs[i].is_cancelled_here(&self.domain) => {
                let key = self.jobs[i].key().clone();
                self.finish(&key, Ending::Cancelled { ran: false }, cx);
            }
            (Place::Leaving(due), _) if *due <= cx.now => self.hand_over(i, world, cx),
            (Place::Leaving(_), _) => {}
            (Place::Out, _) => {
                let key = self.jobs[i].key().clone();
                self.enter(&key, cx);
            }
            (_, Claim::Memory) if !self.journal.is_down() => self.create(i, Patience::Endless, cx),
            _ => {}
        }
    }

    /// Gives a job to another failure domain, by its record if it has one.
    fn hand_over(&mut self, i: usize, world: World<'_>, cx: &mut Context<'_>) {
        let Some(state) = world.state else { return };
        let job = &self.jobs[i];
        let moved = job.kept.as_ref().map(|kept| kept.record.domain.clone());
        if let Some(domain) = moved.filter(|domain| *domain != self.domain) {
            return self.submit_to(i, domain, world, cx);
        }
        let key = job.key().clone();
        let views = world.members.views(cx.now);
        match route(&job.spec, state, &views) {
            Ok(domain) if domain == self.domain => {
                self.jobs[i].place = Place::Out;
                self.enter(&key, cx);
            }
            Ok(domain) if job.claim == Claim::Owned => {
                self.jobs[i].wanted.domain = domain;
                self.jobs[i].wanted.intent = None;
                self.sync(i, cx);
            }
            Ok(domain) if job.claim == Claim::Memory => {
                self.abandon(i, JobStatus::Elsewhere(domain), cx);
            }
            _ => {}
        }
    }

    /// Tells the other domain's placer of a job whose record has been moved to it, until the
    /// placer has taken the record.
    fn submit_to(
        &mut self,
        i: usize,
        domain: bulrushlink_core::DomainId,
        world: World<'_>,
        cx: &mut Context<'_>,
    ) {
        self.jobs[i].place = Place::Leaving(cx.now + MOVE_PAUSE);
        let job = &self.jobs[i];
        if let Some(placer) = world.members.placer(&domain, cx.now) {
            let message = PeerMessage::Submit {
                domain: domain.clone(),
                spec: job.spec.clone(),
                held: false,
                attempt: job.attempt,
                age: job.age(cx.now),
                seq: cx.wall << 20 | self.seq & 0xf_ffff,
            };
            cx.out.peer(&placer, message);
        }
        self.notify(i, &JobStatus::Elsewhere(domain), cx);
        self.verify(i, cx);
    }
}

/// Finds the latest attempt of which the workers have all tasks, running or completed.
fn whole_gang(job: &Job, found: &[(WorkerId, TaskReport)], now: Moment) -> Option<Gang> {
    let tasks = job.spec.shape.tasks;
    let fine = |report: &TaskReport| {
        matches!(
            report.state,
            TaskState::Started | TaskState::Confirmed | TaskState::Completed { .. }
        )
    };
    let mut attempts: Vec<_> = found.iter().map(|(_, report)| report.id.attempt).collect();
    attempts.sort();
    attempts.dedup();
    for attempt in attempts.into_iter().rev() {
        let own = found.iter().filter(|(_, r)| r.id.attempt == attempt && fine(r));
        let mut placement: Placement = own
            .map(|(worker, r)| TaskPlace { task: r.id.task, worker: worker.clone(), set: r.set })
            .collect();
        placement.sort();
        placement.dedup_by_key(|place| place.task);
        if placement.len() == usize::from(tasks) {
            return Some(Gang::adopt(attempt, placement, found, now));
        }
    }
    None
}
