//! Effects of faults on single parties, and their ends.

use bulrushlink_core::{DomainId, Service, Span};
use bulrushlink_daemon::Input;
use bulrushlink_standin::WorkerMode;

use super::{Event, Lab, Leaver, TICK_INTERVAL};
use crate::callers::CALLER_RETRY_DELAY;
use crate::faults::Fault;
use crate::links::Party;

impl Lab {
    /// Applies a fault now. A fault that has no meaning in the present state, such as a kill of a
    /// dead daemon, does nothing.
    pub(super) fn apply_fault(&mut self, fault: Fault) {
        self.add_trace(format!("FAULT {fault:?}"));
        let now = self.timeline.now();
        match fault {
            Fault::Kill(id) => self.with_daemon(&id, Self::kill),
            Fault::Start(id) => self.with_daemon(&id, Self::start),
            Fault::Stop(id) => {
                self.with_daemon(&id, |lab, daemon| lab.deliver(daemon, Input::Stop))
            }
            Fault::Freeze(id) => self.with_daemon(&id, |lab, daemon| {
                lab.freeze(daemon);
            }),
            Fault::Wake(id) => self.with_daemon(&id, Self::resume),
            Fault::Store(mode) => self.store.set_mode(mode),
            Fault::CutPlatform(domain) => self.cut_platform(&domain),
            Fault::CutDomain(domain) => self.cut_domain(&domain),
            Fault::CutOneWay(from, to) => {
                self.links.cut(&Party::Daemon(from), &Party::Daemon(to));
            }
            Fault::Mend => self.links.restore(),

            Fault::KillWorker(id) => self.set_worker(&id, WorkerMode::Dead),
            Fault::MendWorker(id) => self.set_worker(&id, WorkerMode::Well),
            Fault::SpoilWorker(id) => self.set_worker(&id, WorkerMode::FailsAll),
            Fault::LeaveWorker(id) => {
                let worker = self.worker(&id).expect("faults name workers of the layout");
                self.workers[worker].leave();
                self.hosts.leave(&id, now);
                if !self.leavers.iter().any(|leaver| leaver.worker == id) {
                    self.leavers.push(Leaver { worker: id, since: now });
                }
            }
            Fault::KeepWorker(id) => {
                let worker = self.worker(&id).expect("faults name workers of the layout");
                if self.leavers.iter().any(|leaver| leaver.worker == id) {
                    self.workers[worker].cancel_leave();
                    self.hosts.add(self.workers[worker].host().clone(), now);
                    self.leavers.retain(|leaver| leaver.worker != id);
                }
            }
            Fault::TakeOut(domain) => self.change_service(&domain, Service::Out),
            Fault::TakeBack(domain) => self.change_service(&domain, Service::In),
            other => self.apply_group_fault(other),
        }
    }

    fn with_daemon(&mut self, id: &bulrushlink_core::DaemonId, f: impl FnOnce(&mut Self, usize)) {
        let daemon = self.daemon(id).expect("faults name daemons of the layout");
        f(self, daemon);
    }

    /// Starts a daemon unless it is up.
    pub(super) fn start(&mut self, daemon: usize) {
        if self.daemons[daemon].is_up() {
            return;
        }
        self.daemons[daemon].start(self.timeline.now());
        let incarnation = self.daemons[daemon].incarnation;
        let delay = Span(self.rng.u64(0..TICK_INTERVAL.millis()));
        self.timeline.schedule(delay, Event::Tick { daemon, incarnation });
    }

    /// Kills a daemon's process, which breaks the connections of its callers.
    pub(super) fn kill(&mut self, daemon: usize) {
        self.daemons[daemon].kill();
        let broken = self.waiting.extract_if(.., |w| w.daemon == daemon).collect::<Vec<_>>();
        for waiting in broken {
            let caller = waiting.caller;
            // The caller retries with the same request identifier.
            let turn = waiting.turn;
            self.timeline.schedule(CALLER_RETRY_DELAY, Event::Caller { caller, turn });
        }
    }

    pub(super) fn resume(&mut self, daemon: usize) {
        if !self.daemons[daemon].frozen {
            return;
        }
        let inputs = self.daemons[daemon].resume();
        let incarnation = self.daemons[daemon].incarnation;
        let now = self.timeline.now();
        for unsent in std::mem::take(&mut self.daemons[daemon].unsent) {
            // Half of the outputs were frozen after the check of their age, the others before it.
            let since = if self.rng.bool() { now } else { unsent.since };
            let output = Box::new(unsent.output);
            self.timeline.schedule(Span(1), Event::Send { daemon, incarnation, output, since });
        }
        for input in inputs {
            self.deliver(daemon, input);
        }
    }

    pub(super) fn cut_platform(&mut self, domain: &DomainId) {
        for daemon in self.parties(domain, false) {
            for service in [Party::Store, Party::Hosts] {
                self.links.cut(&daemon, &service);
                self.links.cut(&service, &daemon);
            }
        }
    }

    pub(super) fn cut_domain(&mut self, domain: &DomainId) {
        let inside = self.parties(domain, true);
        let mut outside = Vec::new();
        for other in self.layout.domain_ids() {
            if other != *domain {
                outside.extend(self.parties(&other, true));
            }
        }
        for a in &inside {
            for b in &outside {
                self.links.cut(a, b);
                self.links.cut(b, a);
            }
        }
    }

    fn parties(&self, domain: &DomainId, with_workers: bool) -> Vec<Party> {
        let daemons = self.daemons.iter().filter(|d| d.domain() == domain);
        let mut parties: Vec<_> = daemons.map(|d| Party::Daemon(d.id().clone())).collect();
        if with_workers {
            let workers = self.workers.iter().filter(|w| w.host().domain == *domain);
            parties.extend(workers.map(|w| Party::Worker(w.id().clone())));
        }
        parties
    }

    fn set_worker(&mut self, id: &bulrushlink_core::WorkerId, mode: WorkerMode) {
        let now = self.timeline.now();
        let worker = self.worker(id).expect("faults name workers of the layout");
        if self.workers[worker].mode() != mode {
            self.workers[worker].set_mode(mode, now);
        }
    }

    fn change_service(&mut self, domain: &DomainId, service: Service) {
        let note = self.service_note(domain, service);
        let change = Some((domain.clone(), service));
        self.operators[0].enqueue(note, change, self.timeline.now());
        self.timeline.schedule(Span(1), Event::Operator(0));
    }
}
