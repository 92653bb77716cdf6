//! The placer: the one daemon that decides where tasks run, for one epoch.
//!
//! Every start is recorded before it is sent, under the condition that this epoch still holds the
//! leader's key. Every end is recorded before it is acknowledged to the worker. So the records and
//! the lists of the workers together always tell a successor what runs.

use bulrushlink_core::{DomainId, Moment, Span, WorkerId};

use crate::catalog::Catalog;
use crate::edge::{
    Clock, Fault, Output, StoreOp, StoreReply, Tag, WorkerCall, WorkerOp, WorkerReply,
};
use crate::ids::{Epoch, JobId, Rev, Run, TaskId};
use crate::settings::Bounds;
use field::Field;
use flush::Flight;
use job::Job;
use reclaim::Claim;
use worker::{Target, Worker};

mod decide;
mod field;
mod flush;
mod holds;
mod inbox;
mod job;
mod load;
mod pace;
mod reclaim;
mod starts;
mod units;
mod worker;

/// Period of reading the registered workers: with the commit and the start that follow, well under
/// the usual 2 s after which a draining worker must get nothing.
const WORKERS_EVERY: Span = Span(500);
/// Time for an answer of the store; a slow store takes about 400 ms.
const STORE_TIMEOUT: Span = Span(900);
/// Pause after a call to the store that failed.
const STORE_RETRY: Span = Span(120);
/// Shortest time between two passes over all workers: below the time that the store takes to record a
/// start.
const PASS_EVERY: Span = Span(3);
/// Units that wait for each millisecond more between two passes of placement: with the backlog of the
/// grown sites' worst days, about 800 units, there are 23 passes a second.
const UNITS_PER_MS: u64 = 20;
/// Time between two looks at everything that depends on time alone.
const REVIEW_EVERY: Span = Span(100);

/// The call that an answer belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlacerTag {
    /// A page of the jobs and cancellations.
    LoadInbox(u64),
    /// A page of the states.
    LoadStates(u64),
    /// Changes of the jobs and cancellations.
    Watch(u64),
    /// The registered workers.
    Workers(u64),
    /// A commit of states.
    Commit(u64),
    /// A removal of old records.
    Sweep,
    /// A start of a run, with the fence of the boot it was meant for.
    Start(WorkerId, u32, TaskId, Run),
    /// A stop of a run, with the fence of the boot it was meant for.
    Stop(WorkerId, u32, TaskId, Run),
    /// A hold, with its ordinal.
    Hold(WorkerId, u64),
}

/// What the rest of the node gives to the placer.
pub(crate) struct Scene<'a> {
    pub(crate) clock: Clock,
    pub(crate) bounds: &'a Bounds,
    pub(crate) catalog: Option<&'a Catalog>,
    /// Age of the configuration is within its bound.
    pub(crate) current: bool,
    /// Failure domains that must get no work, sorted.
    pub(crate) evacuated: &'a [DomainId],
    /// The leader's lease surely runs.
    pub(crate) sure: bool,
    pub(crate) out: &'a mut Vec<Output>,
}

/// The records have been read, or are being read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Inbox,
    States,
    Active,
}

/// The reading of the registered workers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Reading {
    under_way: Option<(u64, Moment)>,
    next: Moment,
    /// Start of the latest read that succeeded.
    fresh: Option<Moment>,
    /// Entries of that read that name no worker.
    unread: usize,
}

/// The watch of the inbox.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Watching {
    under_way: bool,
    after: Rev,
    next: Moment,
    /// The history was lost, so that everything has to be listed again.
    relist: bool,
}

/// The placer of one epoch.
#[derive(Debug)]
pub(crate) struct Placer {
    epoch: Epoch,
    since: Moment,
    stage: Stage,
    /// Sorted by identifier.
    jobs: Vec<Job>,
    /// Sorted by identifier.
    workers: Vec<Worker>,
    /// Cancellations that were read before their jobs.
    cancels: Vec<JobId>,
    claims: Vec<Claim>,
    /// What the latest pass of placement saw.
    field: Field,
    flights: Vec<Flight>,
    reading: Reading,
    watching: Watching,
    /// The latest fence of a worker's boot.
    fences: u32,
    /// Number of the latest commit or hold.
    ordinal: u64,
    /// Number of the latest page of records that was asked for.
    listing: u64,
    /// Something has changed that placement depends on.
    stale: bool,
    /// Something has happened since the latest pass.
    touched: bool,
    passed: Moment,
    /// No earlier pass of placement is due.
    decide_next: Moment,
    reviewed: Moment,
    flush_next: Moment,
    swept: Moment,
    /// An answer has shown that another daemon leads.
    pub(crate) deposed: bool,
}

impl Placer {
    pub(crate) fn open(epoch: Epoch, now: Moment) -> Self {
        Self {
            epoch,
            since: now,
            stage: Stage::Inbox,
            jobs: Vec::new(),
            workers: Vec::new(),
            cancels: Vec::new(),
            claims: Vec::new(),
            field: Field::default(),
            flights: Vec::new(),
            reading: Reading { next: now, ..Reading::default() },
            watching: Watching::default(),
            fences: 0,
            ordinal: 0,
            listing: 0,
            stale: true,
            touched: true,
            passed: Moment::default(),
            decide_next: Moment::default(),
            reviewed: now,
            flush_next: now,
            swept: now,
            deposed: false,
        }
    }

    pub(crate) fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Starts the work of this epoch.
    pub(crate) fn begin(&mut self, scene: &mut Scene<'_>) {
        self.list_inbox(scene, None);
    }

    /// Does what is due.
    pub(crate) fn tick(&mut self, scene: &mut Scene<'_>) {
        self.read_workers(scene);
        if self.stage != Stage::Active {
            return;
        }
        self.watch(scene);
        if scene.clock.now.since(self.reviewed) >= REVIEW_EVERY {
            self.reviewed = scene.clock.now;
            self.review(scene);
            self.stale = true;
        }
        if scene.clock.now.since(self.passed) >= PASS_EVERY {
            self.pass(scene);
        }
    }

    /// Looks at all workers for what is to be done now.
    fn pass(&mut self, scene: &mut Scene<'_>) {
        let now = scene.clock.now;
        self.passed = now;
        self.touched = false;
        self.settle();
        self.send_stops(scene);
        if self.stale && now >= self.decide_next {
            self.stale = false;
            let units = self.decide(scene) as u64;
            self.decide_next = now + Span(units / UNITS_PER_MS);
        }
        self.flush(scene);
        self.send_holds(scene);
        self.sweep(scene);
    }

    /// Returns when the next tick is needed at the latest.
    pub(crate) fn due(&self) -> Moment {
        let review = self.reviewed + REVIEW_EVERY;
        let pass = self.passed + PASS_EVERY;
        match () {
            () if self.stage != Stage::Active => review,
            () if self.touched => review.min(pass),
            () if self.stale => review.min(pass.max(self.decide_next)),
            () => review,
        }
    }

    pub(crate) fn store_answered(
        &mut self,
        scene: &mut Scene<'_>,
        tag: PlacerTag,
        result: Result<StoreReply, Fault>,
    ) {
        self.touched = true;
        match tag {
            PlacerTag::LoadInbox(n) if n == self.listing => self.inbox_page(scene, result),
            PlacerTag::LoadStates(n) if n == self.listing => self.states_page(scene, result),
            PlacerTag::Watch(_) => self.watched(scene, result),
            PlacerTag::Workers(n) => self.workers_read(scene, n, result),
            PlacerTag::Commit(n) => self.committed(scene, n, result),
            PlacerTag::Sweep => {
                if let Err(fault) = result {
                    log::info!(event = "sweep_failed", cause:% = fault; "old records stay for now");
                }
            }
            other => log::debug!(event = "late_answer"; "answer to an older call: {other:?}"),
        }
    }

    pub(crate) fn worker_answered(
        &mut self,
        scene: &mut Scene<'_>,
        tag: PlacerTag,
        clock: Option<u64>,
        result: Result<WorkerReply, Fault>,
    ) {
        self.touched = true;
        match tag {
            PlacerTag::Start(worker, fence, task, run) => {
                self.start_answered(scene, (&worker, fence), &task, run, result);
            }
            PlacerTag::Stop(worker, fence, task, run) => {
                self.stop_answered(scene, (&worker, fence), &task, run, result);
            }
            PlacerTag::Hold(worker, ordinal) => {
                self.hold_answered(scene, &worker, ordinal, clock, result);
            }
            other => log::error!(event = "worker_answer"; "answer of a worker to {other:?}"),
        }
    }

    fn next_listing(&mut self) -> u64 {
        self.listing += 1;
        self.listing
    }

    fn ask_store(&self, scene: &mut Scene<'_>, tag: PlacerTag, op: StoreOp, timeout: Span) {
        scene.out.push(Output::Store(Tag::Placer(self.epoch, tag), op, timeout));
    }

    fn ask_worker(
        &self,
        scene: &mut Scene<'_>,
        target: Target,
        tag: PlacerTag,
        op: WorkerOp,
        timeout: Span,
    ) {
        let token = self.epoch.token(target.fence);
        let call = WorkerCall { worker: target.worker, addr: target.addr, token, op };
        scene.out.push(Output::Worker(Tag::Placer(self.epoch, tag), call, timeout));
    }

    fn job_at(&self, id: JobId) -> Result<usize, usize> {
        self.jobs.binary_search_by_key(&id, |j| j.id)
    }

    fn worker_at(&self, id: &WorkerId) -> Result<usize, usize> {
        self.workers.binary_search_by(|w| w.id().cmp(id))
    }

    /// Takes recorded ends off the lists of what can't be acknowledged yet.
    fn settle(&mut self) {
        let jobs = &self.jobs;
        let stored = |id: JobId| {
            let at = jobs.binary_search_by_key(&id, |j| j.id).ok()?;
            Some(jobs[at].stored)
        };
        for worker in &mut self.workers {
            worker.settle(stored);
        }
    }

    /// Looks at everything that depends on time alone.
    fn review(&mut self, scene: &mut Scene<'_>) {
        self.lose_lapsed(scene);
        self.drop_claims(scene);
        self.stop_stalled(scene);
        metrics::gauge!("bulrushlink_jobs")
            .set(self.jobs.iter().filter(|j| !j.is_over()).count() as f64);
        metrics::gauge!("bulrushlink_runs")
            .set(self.workers.iter().map(|w| w.slots.len()).sum::<usize>() as f64);
    }
}
