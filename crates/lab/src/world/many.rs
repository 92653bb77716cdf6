//! Faults that strike many at once, or that are aimed at what a daemon is just doing.

use bulrushlink_api::{WorkerBatch, WorkerOp};
use bulrushlink_core::{DomainId, ReleaseNote, Service, Span};
use bulrushlink_daemon::Input;

use super::{Armed, Lab, Step};
use crate::callers::{JobPlan, Turn};
use crate::faults::{Fault, StartPoint};
use crate::links::Party;

/// Time over which a burst or a wave is spread.
const WAVE: Span = Span(200);
/// Time between the graceful stops of two daemons in a row.
const STOP_PERIOD: Span = Span::from_secs(6);

impl Lab {
    pub(super) fn strike_many(&mut self, fault: Fault) {
        match fault {
            Fault::KillDomain(domain) => self.each_of(&domain, Self::kill),
            Fault::StartDomain(domain) => {
                self.armed.retain(|armed| armed.domain != domain);
                self.each_of(&domain, Self::start);
                self.each_of(&domain, Self::wake);
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
            Fault::WakeAll => (0..self.daemons.len()).for_each(|daemon| self.wake(daemon)),
            Fault::Isolate(domain) => {
                self.cut_domain(&domain);
                self.cut_platform(&domain);
            }
            Fault::MuteStore(daemon) => self.links.mute(&Party::Daemon(daemon), &Party::Store),
            Fault::MuteWorker(daemon, worker) => {
                self.links.mute(&Party::Daemon(daemon), &Party::Worker(worker));
            }
            Fault::Burst(count) => self.submit_drawn(count, WAVE),
            Fault::BadWave(count) => self.submit_bad(count),
            Fault::CancelWave => self.cancel_half(),
            Fault::StopEach => self.stop_next(0),
            Fault::Race(domain) => self.race(&domain),
            single => unreachable!("{single:?} strikes one party"),
        }
    }

    fn each_of(&mut self, domain: &DomainId, f: impl Fn(&mut Self, usize)) {
        for daemon in 0..self.daemons.len() {
            if self.daemons[daemon].domain() == domain {
                f(self, daemon);
            }
        }
    }

    /// Pauses a daemon that is up.
    pub(super) fn freeze(&mut self, daemon: usize) {
        self.daemons[daemon].frozen = self.daemons[daemon].is_up();
    }

    /// Notes who starts work in a domain, and strikes there if that was waited for.
    pub(super) fn strike_armed(&mut self, daemon: usize, batch: &WorkerBatch) {
        let Some(point) = batch.ops.iter().find_map(point_of) else { return };
        let domain = self.daemons[daemon].domain().clone();
        match self.placers.binary_search_by(|(id, _)| id.cmp(&domain)) {
            Ok(i) => self.placers[i].1 = daemon,
            Err(i) => self.placers.insert(i, (domain.clone(), daemon)),
        }
        let waits = |armed: &Armed| armed.domain == domain && armed.point == point;
        let Some(i) = self.armed.iter().position(waits) else { return };
        let armed = self.armed.swap_remove(i);
        self.note(format!("STRIKE {armed:?} {}", self.daemons[daemon].id()));
        if armed.kills {
            self.kill(daemon);
        } else {
            self.freeze(daemon);
        }
    }

    fn submit_bad(&mut self, count: usize) {
        for _ in 0..count {
            let plan = JobPlan::draw_bad(self.callers.len(), &mut self.rng);
            let delay = Span(self.rng.u64(0..WAVE.millis()));
            self.submit_after(delay, plan);
        }
    }

    fn cancel_half(&mut self) {
        for caller in 0..self.callers.len() {
            let open = !self.callers[caller].done && self.callers[caller].submits > 0;
            if open && self.rng.bool() {
                let delay = Span(self.rng.u64(0..WAVE.millis()));
                self.timeline.after(delay, Step::Caller { caller, turn: Turn::Cancel });
            }
        }
    }

    /// Stops a daemon of a row gracefully, and starts it again before the next one stops.
    pub(super) fn stop_next(&mut self, daemon: usize) {
        if daemon > 0 {
            self.start(daemon - 1);
        }
        if daemon < self.daemons.len() {
            self.feed(daemon, Input::Stop);
            self.timeline.after(STOP_PERIOD, Step::StopNext(daemon + 1));
        }
    }

    /// Two operators want different notes on the same base; each believes its answer.
    fn race(&mut self, domain: &DomainId) {
        let now = self.timeline.now();
        if self.operators.iter().any(|operator| !operator.wanted.is_empty()) {
            return;
        }
        let head = self.operators.iter().map(|operator| operator.head).max().unwrap_or_default();
        let mut out = self.service_note(domain, Service::Out);
        out.base = head;
        self.notes += 1;
        let other = self.layout.workspace_note(head, format!("race-{}", self.notes));
        self.watcher.raced.push((out.id.clone(), other.id.clone()));
        self.operators[0].race(out, Some((domain.clone(), Service::Out)), now);
        self.operators[1].race(other, None, now);
        let order = usize::from(self.rng.bool());
        let lead = Span(self.rng.u64(1..6));
        self.timeline.after(lead, Step::Operator(order));
        self.timeline.after(Span(3), Step::Operator(1 - order));
    }

    /// Returns a new note that takes a domain out of service or back.
    pub(super) fn service_note(&mut self, domain: &DomainId, service: Service) -> ReleaseNote {
        self.notes += 1;
        let id = format!("note-{}-{domain}-{service}", self.notes);
        let head = self.operators[0].head;
        self.layout.service_note(head, id, domain, service)
    }
}

const fn point_of(op: &WorkerOp) -> Option<StartPoint> {
    match op {
        WorkerOp::Reserve { .. } => Some(StartPoint::Reserved),
        WorkerOp::Commit { .. } => Some(StartPoint::Committed),
        WorkerOp::Confirm { .. } => Some(StartPoint::Confirmed),
        _ => None,
    }
}
