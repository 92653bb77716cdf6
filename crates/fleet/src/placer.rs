//! The placer: decides where tasks run. One daemon at a time, the elected leader, has an active
//! placer, and each placer serves exactly one epoch.
//!
//! A start is recorded in the store before it is sent to the worker, and the commit fails unless
//! this epoch still holds the leader's key. An end is recorded before it is acknowledged to the
//! worker. A successor can therefore reconstruct everything that runs from the records and the
//! lists that the workers report.

use bulrushlink_core::{DomainId, Moment, Span, WorkerId};

use crate::activity::{Activity, Part};
use crate::catalog::Catalog;
use crate::edge::{
    Clock, Fault, Output, StoreOp, StoreReply, Tag, WorkerCall, WorkerOp, WorkerReply,
};
use crate::ids::{Epoch, JobId, LeaseId, Rev, Run, TaskId};
use crate::lead::UNSURE_LEASE;
use crate::policy::{Breakers, Reserve, RunTimes, Standing, Widths};
use crate::settings::{Bounds, Features};
use crash::Silence;
use endpoints::Endpoints;
use faulty::LogLimit;
use field::FleetSnapshot;
use flush::Flight;
use forecast::Forecaster;
use fullness::Fullness;
use job::Job;
use jobs::Jobs;
use reclaim::Claim;
use snapshot::SnapshotState;
use waits::Wait;
use worker::{Target, Worker};

pub(crate) use held::RUNS_DIVISOR;

mod crash;
mod decide;
mod endpoints;
mod faulty;
mod field;
mod flush;
mod forecast;
mod fullness;
mod groups;
mod held;
mod holds;
mod inbox;
mod job;
mod jobs;
mod load;
mod pace;
mod reclaim;
mod reserve;
mod resize;
mod shares;
mod slots;
mod snapshot;
mod starts;
#[cfg(test)]
mod tests;
mod times;
mod units;
mod usage;
mod waits;
mod worker;

/// Interval between reads of the registered workers. Together with the commit and the start that
/// follow a read, it stays well below the usual 2 s after which a draining worker must get no new
/// work.
const WORKERS_READ_INTERVAL: Span = Span(500);
/// Timeout of a call to the store; a slow store takes about 400 ms to reply.
const STORE_TIMEOUT: Span = Span(900);
/// Delay before a failed call to the store is retried.
const STORE_RETRY_DELAY: Span = Span(120);
/// Minimum time between two passes over all workers; shorter than the time that the store takes to
/// record a start.
const PASS_INTERVAL_MIN: Span = Span(3);
/// Waiting units that add one millisecond to the delay before the next placement. At about 800
/// waiting units, the backlog of deployments of 350 workers on their worst days, this gives 23
/// placements a second.
const DECIDE_UNITS_PER_MS: u64 = 20;
/// Longest of these delays: far below the time within which a guaranteed job has to start.
const DECIDE_DELAY_MAX: Span = Span(200);
/// Interval between reviews, the checks that depend on time alone.
const REVIEW_INTERVAL: Span = Span(100);

/// Identifies the call to the store or to a worker that a reply belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlacerTag {
    /// Read of one page of the jobs and cancellations, with the number of that read.
    LoadInbox(u64),
    /// Read of one page of the states, with the number of that read.
    LoadStates(u64),
    /// Watch for new jobs and cancellations; the number is always 0, as only one is in flight.
    Watch(u64),
    /// Read of one page of the pending markers.
    Pending,
    /// Read of a job whose marker was found, while the watch has not reported the job.
    LoadJob(JobId),
    /// Read of the registered workers, with its ordinal.
    Workers(u64),
    /// Commit of changed states, with its ordinal.
    Commit(u64),
    /// Removal of the records of jobs that ended long ago.
    Sweep,
    /// Read of the learned run times.
    LoadTimes,
    /// Write of the learned run times, with their version.
    SaveTimes(u64),
    /// Write of the forecast for admission, with its ordinal.
    Forecast(u64),
    /// Write of what is refused because of the memory of jobs, with its ordinal.
    Fullness(u64),
    /// Start of a run, with the fence of the worker boot that it was sent to.
    Start(WorkerId, u32, TaskId, Run),
    /// Stop of a run, with the fence of the worker boot that it was sent to.
    Stop(WorkerId, u32, TaskId, Run),
    /// Hold (heartbeat call) to a worker, with its ordinal.
    Hold(WorkerId, u64),
}

/// Number and size of a placer's passes, from which a simulation derives their processor time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PassStats {
    /// Number of passes since the election.
    pub passes: u64,
    /// Number of workers, runs and unfinished jobs that a pass goes over now.
    pub visits: u64,
}

/// Context of a call into the placer: the time, the settings and what the rest of the node knows.
pub(crate) struct Context<'a> {
    pub(crate) clock: Clock,
    pub(crate) bounds: &'a Bounds,
    pub(crate) features: Features,
    pub(crate) catalog: Option<&'a Catalog>,
    /// The configuration was read recently enough to place by it.
    pub(crate) view_fresh: bool,
    /// Failure domains that must get no new work, sorted.
    pub(crate) evacuated: &'a [DomainId],
    /// The leader's lease is certain to be still valid.
    pub(crate) holds_lease: bool,
    /// The leader's lease was renewed recently enough for the leases of runs to be extended.
    pub(crate) extends_leases: bool,
    /// The lease of the leader's key.
    pub(crate) lease: Option<LeaseId>,
    /// Memory that accepted jobs may take, in bytes.
    pub(crate) job_memory: u64,
    /// The host has the processor time that hundreds of workers need.
    pub(crate) strong_host: bool,
    /// Shows what the placer is doing.
    pub(crate) activity: &'a Activity,
    pub(crate) out: &'a mut Vec<Output>,
}

impl Context<'_> {
    /// Returns the length of the leases of runs that may be granted now.
    fn run_lease(&self) -> Span {
        let longest = Span(self.bounds.lease_max_ms);
        if self.holds_lease { longest } else { longest.min(UNSURE_LEASE) }
    }
}

/// What is being loaded, or `Active` once all records are loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Inbox,
    States,
    Active,
}

/// The page of records that was requested last.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
struct Listing {
    number: u64,
    /// Key after which the page begins; `None` for the first page.
    after: Option<String>,
    /// When the page is requested again; `None` unless a read of it has failed.
    retry: Option<Moment>,
}

/// State of the periodic read of the registered workers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Reading {
    /// Ordinal and start of the read in flight.
    under_way: Option<(u64, Moment)>,
    /// When the next read is due.
    next: Moment,
    /// When the latest successful read was sent.
    fresh: Option<Moment>,
    /// Entries in that read that could not be parsed.
    unread: usize,
}

/// State of the watch on the inbox, the prefix under which jobs and cancellations arrive.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Watching {
    under_way: bool,
    /// Revision up to which changes have been read.
    after: Rev,
    /// Earliest time of the next watch.
    next: Moment,
    /// When the watch was last sent or answered, or the pending markers were read.
    heard: Moment,
    /// A read of the pending markers is in flight.
    polling: bool,
    /// The store no longer has the history since `after`, so the inbox has to be listed again.
    relist: bool,
}

/// The placer of one epoch. Operators see its `Debug` text, with the names of its types, fields and
/// variants at any depth, in the daemon's dump.
#[derive(Debug)]
pub(crate) struct Placer {
    epoch: Epoch,
    /// When this daemon was elected, which began the epoch.
    since: Moment,
    stage: Stage,
    jobs: Jobs,
    /// Memory that the jobs take beyond what was counted when they were accepted, in bytes.
    extra_memory: u64,
    /// The jobs at which the next list of waiting units begins, of the others and of the guaranteed ones.
    cursors: [JobId; 2],
    /// Sorted by identifier.
    workers: Vec<Worker>,
    /// Cancellations that were read before their jobs, or before all records were loaded.
    cancels: Vec<JobId>,
    claims: Vec<Claim>,
    /// Widths of the tasks that have waited lately, for each endpoint.
    widths: Endpoints<Widths>,
    /// What urgent work has needed lately, for each endpoint.
    reserve: Endpoints<Reserve>,
    /// Recent losses of contact with workers that had runs.
    silences: Vec<Silence>,
    /// Circuit breakers of the workers; without effect unless the settings turn them on.
    breakers: Breakers,
    breaker_log: LogLimit,
    /// Workers as the latest placement saw them; kept to reuse its allocations.
    field: FleetSnapshot,
    /// Run times learned from finished and stopped runs.
    times: RunTimes,
    snapshot: SnapshotState,
    flights: Vec<Flight>,
    forecaster: Forecaster,
    fullness: Fullness,
    reading: Reading,
    watching: Watching,
    /// Fence given to the most recently learned worker boot.
    fences: u32,
    /// Ordinal of the latest commit or hold.
    ordinal: u64,
    listing: Listing,
    /// Something that placement depends on has changed since the latest placement.
    stale: bool,
    /// A reply has arrived since the latest pass.
    touched: bool,
    /// When the latest pass began.
    passed: Moment,
    /// Number of passes so far.
    passes: u64,
    /// Revision of the configuration by whose ceilings the starts that are not sent yet were planned.
    planned_by: Rev,
    /// Units that the latest placement left waiting, sorted; none without weights and ceilings.
    waits: Vec<Wait>,
    /// What the workspaces use and are entitled to, as of `standings_at`.
    standings: Vec<Standing>,
    standings_at: Moment,
    /// Earliest time of the next attempt to reserve workers for a gang.
    reserve_next: Moment,
    /// Earliest time of the next placement.
    decide_next: Moment,
    /// When the latest review began.
    reviewed: Moment,
    /// Earliest time of the next commit.
    flush_next: Moment,
    /// When old records were last looked for.
    swept: Moment,
    /// More old records were left at that time.
    sweeps_more: bool,
    /// A reply has shown that another daemon is the leader.
    pub(crate) deposed: bool,
}

impl Placer {
    pub(crate) fn open(epoch: Epoch, now: Moment) -> Self {
        Self {
            epoch,
            since: now,
            stage: Stage::Inbox,
            jobs: Jobs::default(),
            extra_memory: 0,
            cursors: [JobId(0); 2],
            workers: Vec::new(),
            cancels: Vec::new(),
            claims: Vec::new(),
            widths: Endpoints::default(),
            reserve: Endpoints::default(),
            silences: Vec::new(),
            breakers: Breakers::default(),
            breaker_log: LogLimit::default(),
            field: FleetSnapshot::default(),
            times: RunTimes::default(),
            snapshot: SnapshotState::default(),
            flights: Vec::new(),
            forecaster: Forecaster::default(),
            fullness: Fullness::default(),
            reading: Reading { next: now, ..Reading::default() },
            watching: Watching::default(),
            fences: 0,
            ordinal: 0,
            listing: Listing::default(),
            stale: true,
            touched: true,
            passed: Moment::default(),
            passes: 0,
            planned_by: Rev::ABSENT,
            waits: Vec::new(),
            standings: Vec::new(),
            standings_at: Moment::default(),
            reserve_next: Moment::default(),
            decide_next: Moment::default(),
            reviewed: now,
            flush_next: now,
            swept: now,
            sweeps_more: false,
            deposed: false,
        }
    }

    pub(crate) fn epoch(&self) -> Epoch {
        self.epoch
    }

    pub(crate) fn pass_stats(&self) -> PassStats {
        let runs: usize = self.workers.iter().map(|w| w.slots.len()).sum();
        let jobs = self.jobs.iter().filter(|j| !j.is_over()).count();
        PassStats { passes: self.passes, visits: (self.workers.len() + runs + jobs) as u64 }
    }

    /// Starts loading the records.
    pub(crate) fn start_loading(&mut self, ctx: &mut Context<'_>) {
        self.list_page(ctx, None);
    }

    /// Runs everything that is due.
    pub(crate) fn tick(&mut self, ctx: &mut Context<'_>) {
        self.read_workers(ctx);
        self.retry_page(ctx);
        self.read_times(ctx);
        if self.stage != Stage::Active {
            return;
        }
        self.watch(ctx);
        self.poll_pending(ctx);
        if ctx.clock.now.since(self.reviewed) >= REVIEW_INTERVAL && ctx.extends_leases {
            ctx.activity.enter(Part::Review);
            self.reviewed = ctx.clock.now;
            self.review(ctx);
            self.stale = true;
        }
        if ctx.clock.now.since(self.passed) >= PASS_INTERVAL_MIN {
            self.pass(ctx);
        }
    }

    /// Goes over all workers and sends what is due: stops, commits, holds and, if something
    /// changed, new placements.
    fn pass(&mut self, ctx: &mut Context<'_>) {
        let now = ctx.clock.now;
        self.passed = now;
        self.passes += 1;
        self.touched = false;
        self.advance_acks();
        // A placer that may have a successor gives no orders. It goes on collecting ends, and records
        // them if its lease turns out to be valid.
        ctx.activity.enter(Part::Holds);
        if ctx.extends_leases {
            self.send_stops(ctx);
        }
        if self.stale && now >= self.decide_next {
            self.stale = false;
            let units = self.place_units(ctx) as u64;
            self.decide_next = now + Span(units / DECIDE_UNITS_PER_MS).min(DECIDE_DELAY_MAX);
        }
        ctx.activity.enter(Part::Commit);
        self.flush(ctx);
        ctx.activity.enter(Part::Forecast);
        self.write_forecast(ctx);
        self.write_fullness(ctx);
        ctx.activity.enter(Part::Holds);
        self.send_holds(ctx);
        self.sweep(ctx);
        self.write_times(ctx);
    }

    /// Returns the latest time by which `tick` has to be called again.
    pub(crate) fn due(&self) -> Moment {
        let review = self.reviewed + REVIEW_INTERVAL;
        let pass = self.passed + PASS_INTERVAL_MIN;
        match () {
            () if self.stage != Stage::Active => {
                let read =
                    if self.reading.under_way.is_some() { None } else { Some(self.reading.next) };
                [read, self.listing.retry].into_iter().flatten().min().unwrap_or(Moment(u64::MAX))
            }
            () if self.touched => review.min(pass),
            () if self.stale => review.min(pass.max(self.decide_next)),
            () => review,
        }
    }

    pub(crate) fn store_answered(
        &mut self,
        ctx: &mut Context<'_>,
        tag: PlacerTag,
        result: Result<StoreReply, Fault>,
    ) {
        self.touched = true;
        match tag {
            PlacerTag::LoadInbox(n) if n == self.listing.number => {
                self.inbox_page_read(ctx, result)
            }
            PlacerTag::LoadStates(n) if n == self.listing.number => {
                self.states_page_read(ctx, result)
            }
            PlacerTag::Watch(_) => self.watch_answered(ctx, result),
            PlacerTag::Pending => self.pending_read(ctx, result),
            PlacerTag::LoadJob(id) => self.job_read(ctx, id, result),
            PlacerTag::Workers(n) => self.workers_read(ctx, n, result),
            PlacerTag::Commit(n) => self.commit_answered(ctx, n, result),
            PlacerTag::Forecast(n) => self.forecast_answered(n, result),
            PlacerTag::Fullness(n) => self.fullness_answered(ctx, n, result),
            PlacerTag::Sweep => {
                if let Err(fault) = result {
                    log::info!(event = "sweep_failed", cause:% = fault; "removal of old records failed; the next placer removes any that remain");
                }
            }
            PlacerTag::LoadTimes => self.times_read(ctx, result),
            PlacerTag::SaveTimes(version) => self.times_written(ctx, version, result),
            other => {
                log::debug!(event = "late_answer"; "ignoring the reply to a superseded call: {other:?}")
            }
        }
    }

    pub(crate) fn worker_answered(
        &mut self,
        ctx: &mut Context<'_>,
        tag: PlacerTag,
        clock: Option<u64>,
        result: Result<WorkerReply, Fault>,
    ) {
        self.touched = true;
        match tag {
            PlacerTag::Start(worker, fence, task, run) => {
                self.start_answered(ctx, (&worker, fence), &task, run, result);
            }
            PlacerTag::Stop(worker, fence, task, run) => {
                self.stop_answered(ctx, (&worker, fence), &task, run, result);
            }
            PlacerTag::Hold(worker, ordinal) => {
                self.hold_answered(ctx, &worker, ordinal, clock, result);
            }
            other => {
                log::error!(event = "worker_answer"; "worker reply to a call that is not sent to workers: {other:?}")
            }
        }
    }

    fn call_store(&self, ctx: &mut Context<'_>, tag: PlacerTag, op: StoreOp, timeout: Span) {
        ctx.out.push(Output::Store(Tag::Placer(self.epoch, tag), op, timeout));
    }

    fn call_worker(
        &self,
        ctx: &mut Context<'_>,
        target: Target,
        tag: PlacerTag,
        op: WorkerOp,
        timeout: Span,
    ) {
        let token = self.epoch.token(target.fence);
        let call = WorkerCall { worker: target.worker, addr: target.addr, token, op };
        ctx.out.push(Output::Worker(Tag::Placer(self.epoch, tag), call, timeout));
    }

    fn job_index(&self, id: JobId) -> Result<usize, usize> {
        self.jobs.position(id)
    }

    fn worker_index(&self, id: &WorkerId) -> Result<usize, usize> {
        self.workers.binary_search_by(|w| w.id().cmp(id))
    }

    /// Advances, for each worker, the number up to which its ends are recorded and can be
    /// acknowledged.
    fn advance_acks(&mut self) {
        let jobs = &self.jobs;
        let stored = |id: JobId| {
            let at = jobs.position(id).ok()?;
            Some(jobs[at].stored)
        };
        for worker in &mut self.workers {
            worker.advance_acked(stored);
        }
    }

    /// Runs the checks that depend on time alone: expired leases, expired claims, stalled
    /// runs and suspected tasks.
    fn review(&mut self, ctx: &mut Context<'_>) {
        self.release_expired_runs(ctx);
        self.drop_expired_claims(ctx);
        self.stop_stalled_runs(ctx);
        self.clear_suspects();
        self.show_times(ctx);
        self.review_breakers(ctx);
        metrics::gauge!("bulrushlink_jobs")
            .set(self.jobs.iter().filter(|j| !j.is_over()).count() as f64);
        metrics::gauge!("bulrushlink_runs")
            .set(self.workers.iter().map(|w| w.slots.len()).sum::<usize>() as f64);
    }
}
