//! Effects of faults on several parties at once, and of those that trigger during a gang start.

use bulrushlink_api::{WorkerBatch, WorkerOp};
use bulrushlink_core::{DomainId, ReleaseNote, Service, Span};
use bulrushlink_daemon::Input;

use super::{Armed, Event, Lab};
use crate::callers::{JobPlan, Turn};
use crate::faults::{Fault, StartPoint};
use crate::links::Party;

/// Time over which submissions or cancellations of a burst are spread.
const BURST_LENGTH: Span = Span(200);
/// Time between the stops of two daemons in a rolling restart.
const STOP_INTERVAL: Span = Span::from_secs(6);

impl Lab {
    pub(super) fn apply_group_fault(&mut self, fault: Fault) {
        match fault {
            Fault::KillDomain(domain) => self.for_each_daemon(&domain, Self::kill),
            Fault::StartDomain(domain) => {
                self.armed.retain(|armed| armed.domain != domain);
                self.for_each_daemon(&domain, Self::start);
                self.for_each_daemon(&domain, Self::resume);
            }
            Fault::FreezePlacer(domain) => {
                let placer = self.placers.iter().find(|(id, _)| *id == domain);
                let first = || self.daemons.iter().position(|d| *d.domain() == domain);
                if let Some(daemon) = placer.map(|(_, daemon)| *daemon).or_else(first) {
                    self.freeze(daemon);
                }
            }
            Fault::KillAt(domain, point) => {
                self.armed.push(Armed { domain, point, kills: true });
            }
            Fault::FreezeAt(domain, point) => {
                self.armed.push(Armed { domain, point, kills: false });
            }
            Fault::FreezeAll(daemons) => {
                for daemon in daemons.iter().filter_map(|id| self.daemon(id)).collect::<Vec<_>>() {
                    self.freeze(daemon);
                }
            }
            Fault::WakeAll => (0..self.daemons.len()).for_each(|daemon| self.resume(daemon)),
            Fault::Isolate(domain) => {
                self.cut_domain(&domain);
                self.cut_platform(&domain);
            }
            Fault::MuteStore(daemon) => {
                self.links.drop_replies(&Party::Daemon(daemon), &Party::Store)
            }
            Fault::MuteWorker(daemon, worker) => {
                self.links.drop_replies(&Party::Daemon(daemon), &Party::Worker(worker));
            }
            Fault::Burst(count) => self.submit_random(count, BURST_LENGTH),
            Fault::BadWave(count) => self.submit_bad_jobs(count),
            Fault::CancelWave => self.cancel_half(),
            Fault::StopEach => self.stop_next(0),
            Fault::Race(domain) => self.start_race(&domain),
            single => unreachable!("{single:?} affects a single party"),
        }
    }

    fn for_each_daemon(&mut self, domain: &DomainId, f: impl Fn(&mut Self, usize)) {
        for daemon in 0..self.daemons.len() {
            if self.daemons[daemon].domain() == domain {
                f(self, daemon);
            }
        }
    }

    /// Pauses a daemon if it is up.
    pub(super) fn freeze(&mut self, daemon: usize) {
        self.daemons[daemon].frozen = self.daemons[daemon].is_up();
    }

    /// Records the daemon as the placer of its failure domain if the batch is part of a gang start,
    /// and applies a fault that was armed for this point.
    pub(super) fn trigger_armed(&mut self, daemon: usize, batch: &WorkerBatch) {
        let Some(point) = batch.ops.iter().find_map(start_point) else { return };
        let domain = self.daemons[daemon].domain().clone();
        match self.placers.binary_search_by(|(id, _)| id.cmp(&domain)) {
            Ok(i) => self.placers[i].1 = daemon,
            Err(i) => self.placers.insert(i, (domain.clone(), daemon)),
        }
        let matches = |armed: &Armed| armed.domain == domain && armed.point == point;
        let Some(i) = self.armed.iter().position(matches) else { return };
        let armed = self.armed.swap_remove(i);
        self.add_trace(format!("STRIKE {armed:?} {}", self.daemons[daemon].id()));
        if armed.kills {
            self.kill(daemon);
        } else {
            self.freeze(daemon);
        }
    }

    fn submit_bad_jobs(&mut self, count: usize) {
        for _ in 0..count {
            let plan = JobPlan::draw_bad(self.callers.len(), &mut self.rng);
            let delay = Span(self.rng.u64(0..BURST_LENGTH.millis()));
            self.submit_after(delay, plan);
        }
    }

    fn cancel_half(&mut self) {
        for caller in 0..self.callers.len() {
            let open = !self.callers[caller].done && self.callers[caller].submits > 0;
            if open && self.rng.bool() {
                let delay = Span(self.rng.u64(0..BURST_LENGTH.millis()));
                self.timeline.schedule(delay, Event::Caller { caller, turn: Turn::Cancel });
            }
        }
    }

    /// Starts the previous daemon of a rolling restart again, and stops this one gracefully.
    pub(super) fn stop_next(&mut self, daemon: usize) {
        if daemon > 0 {
            self.start(daemon - 1);
        }
        if daemon < self.daemons.len() {
            self.deliver(daemon, Input::Stop);
            self.timeline.schedule(STOP_INTERVAL, Event::StopNext(daemon + 1));
        }
    }

    /// Makes two operators apply different notes with the same base version, unless an earlier note
    /// is still pending.
    fn start_race(&mut self, domain: &DomainId) {
        let now = self.timeline.now();
        if self.operators.iter().any(|operator| !operator.pending.is_empty()) {
            return;
        }
        let head = self.operators.iter().map(|operator| operator.head).max().unwrap_or_default();
        let mut out = self.service_note(domain, Service::Out);
        out.base = head;
        self.note_count += 1;
        let other = self.layout.workspace_note(head, format!("race-{}", self.note_count));
        self.watcher.race_notes.push((out.id.clone(), other.id.clone()));
        self.operators[0].enqueue_once(out, Some((domain.clone(), Service::Out)), now);
        self.operators[1].enqueue_once(other, None, now);
        let operator = usize::from(self.rng.bool());
        let delay = Span(self.rng.u64(1..6));
        self.timeline.schedule(delay, Event::Operator(operator));
        self.timeline.schedule(Span(3), Event::Operator(1 - operator));
    }

    /// Returns a new release note that takes a failure domain out of service or back.
    pub(super) fn service_note(&mut self, domain: &DomainId, service: Service) -> ReleaseNote {
        self.note_count += 1;
        let id = format!("note-{}-{domain}-{service}", self.note_count);
        let head = self.operators[0].head;
        self.layout.service_note(head, id, domain, service)
    }
}

const fn start_point(op: &WorkerOp) -> Option<StartPoint> {
    match op {
        WorkerOp::Reserve { .. } => Some(StartPoint::Reserved),
        WorkerOp::Commit { .. } => Some(StartPoint::Committed),
        WorkerOp::Confirm { .. } => Some(StartPoint::Confirmed),
        _ => None,
    }
}
