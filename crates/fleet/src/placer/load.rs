//! Loads the records at the start of an epoch, and reads the registered workers.

use bulrushlink_core::{Moment, Span};

use crate::activity::Part;
use crate::edge::{Fault, StoreOp, StoreReply, WorkerEntry, WorkerState};
use crate::ids::{Boot, JobId, Rev};
use crate::record::{CrashEvidence, Item, JobRecord, RoundRecord, StateRecord, decode, keys};

use super::job::Job;
use super::resize::Resize;
use super::worker::{Phase, Slot, Worker};
use super::{
    Context, Listing, Placer, PlacerTag, STORE_RETRY_DELAY, STORE_TIMEOUT, Stage,
    WORKERS_READ_INTERVAL,
};

impl Placer {
    /// Requests a page of the states if these are being loaded, or else of the inbox.
    pub(super) fn list_page(&mut self, ctx: &mut Context<'_>, after: Option<String>) {
        let number = self.listing.number + 1;
        let (prefix, tag) = match self.stage {
            Stage::States => (keys::STATES, PlacerTag::LoadStates(number)),
            Stage::Inbox | Stage::Active => (keys::INBOX, PlacerTag::LoadInbox(number)),
        };
        let op = StoreOp::List(prefix.to_string(), after.clone());
        self.listing = Listing { number, after, retry: None };
        self.call_store(ctx, tag, op, STORE_TIMEOUT);
    }

    /// Requests the page again whose read has failed. The pages before it aren't read again: with
    /// many records and failing calls, the last page would hardly ever be reached.
    pub(super) fn retry_page(&mut self, ctx: &mut Context<'_>) {
        if self.listing.retry.is_some_and(|at| ctx.clock.now >= at) {
            let after = self.listing.after.take();
            self.list_page(ctx, after);
        }
    }

    fn page_failed(&mut self, ctx: &Context<'_>, result: &Result<StoreReply, Fault>) {
        log::warn!(
            event = "load_failed", page = self.listing.number;
            "reading a page of records failed; reading it again: {result:?}"
        );
        self.listing.retry = Some(ctx.clock.now + STORE_RETRY_DELAY);
    }

    /// Processes a page of the inbox.
    pub(super) fn inbox_page_read(
        &mut self,
        ctx: &mut Context<'_>,
        result: Result<StoreReply, Fault>,
    ) {
        let Ok(StoreReply::Page(items, more, as_of)) = result else {
            return self.page_failed(ctx, &result);
        };
        // The watch reports changes after the first page.
        if self.watching.after == Rev::ABSENT {
            self.watching.after = as_of;
        }
        for item in &items {
            self.apply_inbox_item(ctx, item);
        }
        match items.last() {
            Some(last) if more => self.list_page(ctx, Some(last.key.clone())),
            _ if self.stage == Stage::Inbox => {
                self.stage = Stage::States;
                self.list_page(ctx, None);
            }
            _ => {
                self.watching.relist = false;
                self.watching.under_way = false;
                self.apply_pending_cancels(ctx);
            }
        }
    }

    pub(super) fn states_page_read(
        &mut self,
        ctx: &mut Context<'_>,
        result: Result<StoreReply, Fault>,
    ) {
        let Ok(StoreReply::Page(items, more, _)) = result else {
            return self.page_failed(ctx, &result);
        };
        items.iter().for_each(|item| self.load_state(item));
        match items.last() {
            Some(last) if more => self.list_page(ctx, Some(last.key.clone())),
            _ => self.activate(ctx),
        }
    }

    pub(super) fn load_state(&mut self, item: &Item) {
        let id = item.key.strip_prefix(keys::STATES).map(str::parse::<JobId>);
        let Some(Ok(id)) = id else {
            log::error!(event = "bad_key", key:% = item.key; "the key contains no valid job identifier");
            return;
        };
        let Ok(at) = self.job_index(id) else { return };
        match decode::<StateRecord>(&item.value) {
            Ok(state) => {
                let job = &mut self.jobs[at];
                job.marked = !state.begun && job.spec.schedule.is_none();
                job.planned = state.begun || state.rounds.iter().any(RoundRecord::has_runs);
                job.state = state;
                // A state that an earlier version stored doesn't name the queue.
                job.state.queue.clone_from(&job.accepted_queue.name);
                job.close_unused_rounds();
                job.rev = item.rev;
            }
            Err(error) => {
                log::error!(event = "bad_record", job:% = id; "state of the job can't be decoded; ignoring the job: {error}");
                self.jobs.remove(at);
            }
        }
    }

    /// Adds a job unless it is already known.
    pub(super) fn add_job(&mut self, ctx: &Context<'_>, id: JobId, item: &Item) {
        let Err(at) = self.job_index(id) else { return };
        let record = match decode::<JobRecord>(&item.value) {
            Ok(record) => record,
            Err(error) => {
                log::error!(event = "bad_record", job:% = id; "the stored job can't be decoded; ignoring it: {error}");
                return;
            }
        };
        let age = Span(ctx.clock.wall.saturating_sub(record.accepted));
        let accepted = ctx.clock.now - age;
        // One commit creates both records, and only the placer changes the state, so a new job has
        // the default state at the revision of this item.
        let state = StateRecord::new(record.workspace.clone(), &record.queue);
        let mut job = Job::new(id, record, state, item.rev, accepted);
        job.expected = self.expected_wait(ctx, &job);
        self.jobs.insert(at, job);
        self.stale = true;
    }

    /// Starts placing. Recorded runs occupy their workers until the workers have reported.
    fn activate(&mut self, ctx: &mut Context<'_>) {
        self.stage = Stage::Active;
        ctx.activity.enter(Part::Restore);
        let mut runs = Vec::new();
        for job in self.jobs.iter() {
            for (task, run, boot) in job.state.placed_tasks(job.id) {
                let need = job.spec.steps[usize::from(task.step)].need;
                runs.push((boot.clone(), task, run, need));
            }
        }
        let now = ctx.clock.now;
        log::info!(
            event = "placer_active", epoch:% = self.epoch, jobs = self.jobs.len(),
            runs = runs.len(), took_ms = now.since(self.since).millis(),
            features:? = ctx.features; "all records are loaded; placing starts"
        );
        for (boot, task, run, need) in runs {
            self.restore_run(&boot, Slot::new(task, run, need, Phase::Unheard, now), now);
        }
        self.count_earlier_crashes(ctx);
        self.apply_pending_cancels(ctx);
    }

    /// Puts a recorded run on its worker, where it stays until the worker's present boot has reported. That may be
    /// a later boot than the recorded one: the former leader sends starts to the identifier, and a boot that it
    /// doesn't know of yet accepts them. It may also be an earlier one, if the entry of the recorded boot isn't in
    /// the store yet.
    fn restore_run(&mut self, boot: &Boot, mut slot: Slot, now: Moment) {
        let at = self.worker_index(&boot.worker).unwrap_or_else(|at| {
            self.fences += 1;
            self.workers.insert(at, Worker::new(boot.clone(), self.fences, None, now));
            at
        });
        if self.workers[at].boot.born < boot.born {
            self.replace_boot(at, boot.born, now);
        }
        let worker = &mut self.workers[at];
        if worker.boot.born > boot.born {
            log::info!(
                event = "run_moved", task:% = slot.task, run = slot.run.0, worker:% = worker.id(),
                recorded = boot.born, present = worker.boot.born;
                "the run is recorded on an earlier boot; the present one has to report whether it has it"
            );
            // Leases of late starts begin when they reach the present boot.
            worker.rebooted = Some(now);
            slot.crash = Some(CrashEvidence::of_unknown_age(false));
            if let Ok(j) = self.jobs.position(slot.task.job) {
                self.jobs[j].move_to_boot(&slot.task, slot.run, &worker.boot);
            }
        }
        worker.insert_slot(slot);
    }

    pub(super) fn read_workers(&mut self, ctx: &mut Context<'_>) {
        let now = ctx.clock.now;
        if self.reading.under_way.is_some() || now < self.reading.next {
            return;
        }
        // The time serves as the ordinal, since `ordinal` and `listing` number other calls.
        let ordinal = now.0;
        self.reading.under_way = Some((ordinal, now));
        self.call_store(ctx, PlacerTag::Workers(ordinal), StoreOp::Workers, STORE_TIMEOUT);
    }

    pub(super) fn workers_read(
        &mut self,
        ctx: &mut Context<'_>,
        ordinal: u64,
        result: Result<StoreReply, Fault>,
    ) {
        let Some((current, began)) = self.reading.under_way else { return };
        if current != ordinal {
            return;
        }
        self.reading.under_way = None;
        let now = ctx.clock.now;
        match result {
            Ok(StoreReply::Workers(entries, unreadable)) => {
                if unreadable != self.reading.unread {
                    log::warn!(event = "entries_unread", entries = unreadable; "number of unreadable worker entries has changed");
                    self.reading.unread = unreadable;
                }
                self.reading.next = began + WORKERS_READ_INTERVAL;
                self.reading.fresh = Some(began);
                self.update_workers(ctx, entries);
            }
            other => {
                log::info!(event = "workers_unread"; "reading the registered workers failed: {other:?}");
                self.reading.next = now + STORE_RETRY_DELAY;
            }
        }
    }

    fn update_workers(&mut self, ctx: &mut Context<'_>, entries: Vec<WorkerEntry>) {
        let now = ctx.clock.now;
        for worker in &mut self.workers {
            let there = entries.binary_search_by(|e| e.id.cmp(worker.id())).is_ok();
            if there {
                worker.missing = None;
            } else if worker.missing.is_none() {
                log::info!(event = "worker_missing", worker:% = worker.id(); "the entry of the worker is missing");
                worker.missing = Some(now);
            }
        }
        // Workers that have crashed together are compared with each other.
        for entry in &entries {
            if let Ok(at) = self.worker_index(&entry.id)
                && self.workers[at].gives_way_to(entry.born)
            {
                self.record_loss(at, now, false);
            }
        }
        let (mut short_notice, mut resizes) = (false, Vec::new());
        let known_workers = self.workers.len();
        for entry in entries {
            let known =
                self.worker_index(&entry.id).ok().filter(|at| self.workers[*at].entry.is_some());
            let before = known.map(|at| self.workers[at].capacity());
            short_notice |= self.update_worker(ctx, entry);
            if let (Some(at), Some(before)) = (known, before) {
                let (worker, after) = (self.workers[at].id(), self.workers[at].capacity());
                if after != before {
                    resizes.push(Resize { worker: worker.clone(), before, after });
                }
            }
        }
        if self.workers.len() > known_workers {
            self.count_earlier_crashes(ctx);
        }
        self.apply_resizes(now, &resizes);
        if short_notice {
            self.stop_runs_of_leaving_workers(ctx);
        }
        self.workers.retain(|w| !(w.is_gone(now) && w.slots.is_empty()));
        self.stale = true;
    }

    /// Applies the entry of a worker. Returns true if it shows that the worker, which was ready until
    /// now, leaves at short notice.
    fn update_worker(&mut self, ctx: &mut Context<'_>, entry: WorkerEntry) -> bool {
        let now = ctx.clock.now;
        let listed = self.reading.fresh.filter(|_| entry.state == WorkerState::Ready);
        let boot = Boot { worker: entry.id.clone(), born: entry.born };
        match self.worker_index(&entry.id) {
            Err(at) => {
                self.fences += 1;
                let mut worker = Worker::new(boot, self.fences, Some(entry), now);
                worker.ready = listed;
                self.workers.insert(at, worker);
                false
            }
            Ok(at) if self.workers[at].gives_way_to(boot.born) => {
                self.handle_reboot(ctx, at, boot.born);
                self.workers[at].entry = Some(entry);
                self.workers[at].ready = listed;
                false
            }
            Ok(at) if self.workers[at].boot.born == boot.born => {
                let worker = &mut self.workers[at];
                let known = worker.entry.as_ref().map(|e| e.state);
                // At a takeover the entries of all workers are new; their lines would displace those of
                // the placements.
                if known.is_some_and(|k| k != entry.state) {
                    log::info!(
                        event = "worker_state", worker:% = entry.id;
                        "state changed to {:?}; notice {:?}", entry.state, entry.notice
                    );
                }
                // The time that is left shrinks in any drain, so only the first notice tells.
                let short = entry.notice.filter(|n| n.millis() < ctx.bounds.drain_ms);
                let leaves_at =
                    short.filter(|_| known == Some(WorkerState::Ready)).map(|notice| now + notice);
                worker.leaves_at = worker.leaves_at.or(leaves_at);
                worker.ready = listed.or(worker.ready);
                worker.entry = Some(entry);
                leaves_at.is_some()
            }
            // The entry is older than the boot that the worker itself has reported.
            Ok(_) => false,
        }
    }

    /// Handles a new boot under a known identifier. Runs of the earlier boot are lost, but starts
    /// sent in the meantime may have reached the new boot. The new fence makes it refuse those that
    /// arrive later.
    pub(super) fn handle_reboot(&mut self, ctx: &mut Context<'_>, at: usize, born: u64) {
        let now = ctx.clock.now;
        let runs = self.crash_evidence(at, now);
        let worker = &mut self.workers[at];
        for (task, run, evidence) in runs {
            if let Some(s) = worker.slot_index(&task, run) {
                let slot = &mut worker.slots[s];
                slot.crash = slot.crash.or(Some(evidence));
            }
        }
        let earlier = worker.boot.clone();
        self.count_lost(ctx, &earlier, |l| l.boot == earlier);
        self.judge_loss(ctx, at, true);
        let worker = &mut self.workers[at];
        log::info!(
            event = "worker_reborn", worker:% = worker.id(), born = born,
            runs = worker.slots.len(); "the worker has rebooted under the same identifier"
        );
        self.replace_boot(at, born, now);
    }

    /// Replaces a boot by another one. What was on the earlier one may be on the other one, until that has
    /// reported.
    pub(super) fn replace_boot(&mut self, at: usize, born: u64, now: Moment) {
        let worker = &mut self.workers[at];
        let boot = Boot { worker: worker.id().clone(), born };
        self.fences += 1;
        let mut rebooted = Worker::new(boot.clone(), self.fences, worker.entry.clone(), now);
        rebooted.rebooted = Some(now);
        rebooted.faults = std::mem::take(&mut worker.faults);
        for slot in worker.slots.take() {
            let phase = match slot.phase {
                Phase::Planned(_) => slot.phase,
                Phase::Closing { .. } => Phase::Closing { sent: None, answered: None, next: now },
                // The first report of the new boot tells whether it has the run.
                Phase::Starting | Phase::Running | Phase::Unheard => Phase::Unheard,
            };
            if let Ok(j) = self.jobs.position(slot.task.job) {
                self.jobs[j].move_to_boot(&slot.task, slot.run, &boot);
            }
            let moved_clock = None;
            rebooted.insert_slot(Slot { phase, since: now, confirmed: false, moved_clock, ..slot });
        }
        self.workers[at] = rebooted;
        self.stale = true;
    }
}
