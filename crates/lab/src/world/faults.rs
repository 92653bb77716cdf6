//! How faults strike and are mended.

use bulrushlink_core::{DomainId, Service, Span};
use bulrushlink_daemon::Input;
use bulrushlink_standin::WorkerMode;

use super::{Lab, Leaver, Step, TICK};
use crate::callers::NEXT_DAEMON;
use crate::faults::Fault;
use crate::links::Party;

impl Lab {
    /// Lets a fault strike now. A fault that makes no sense now, such as the death of a dead
    /// daemon, does nothing.
    pub(super) fn strike(&mut self, fault: Fault) {
        self.note(format!("FAULT {fault:?}"));
        let now = self.timeline.now();
        match fault {
            Fault::Kill(id) => self.with_daemon(&id, Self::kill),
            Fault::Start(id) => self.with_daemon(&id, Self::start),
            Fault::Stop(id) => self.with_daemon(&id, |lab, daemon| lab.feed(daemon, Input::Stop)),
            Fault::Freeze(id) => self.with_daemon(&id, |lab, daemon| {
                lab.freeze(daemon);
            }),
            Fault::Wake(id) => self.with_daemon(&id, Self::wake),
            Fault::Store(mode) => self.store.set_mode(mode),
            Fault::CutPlatform(domain) => self.cut_platform(&domain),
            Fault::CutDomain(domain) => self.cut_domain(&domain),
            Fault::CutOneWay(from, to) => {
                self.links.cut(&Party::Daemon(from), &Party::Daemon(to));
            }
            Fault::Mend => self.links.mend(),

            Fault::KillWorker(id) => self.set_worker(&id, WorkerMode::Dead),
            Fault::MendWorker(id) => self.set_worker(&id, WorkerMode::Well),
            Fault::SpoilWorker(id) => self.set_worker(&id, WorkerMode::FailsAll),
            Fault::LeaveWorker(id) => {
                let worker = self.worker(&id).expect("faults name known workers");
                self.workers[worker].leave();
                self.hosts.leave(&id, now);
                if !self.leavers.iter().any(|leaver| leaver.worker == id) {
                    self.leavers.push(Leaver { worker: id, since: now });
                }
            }
            Fault::KeepWorker(id) => {
                let worker = self.worker(&id).expect("faults name known workers");
                if self.leavers.iter().any(|leaver| leaver.worker == id) {
                    self.workers[worker].cancel_leave();
                    self.hosts.add(self.workers[worker].host().clone(), now);
                    self.leavers.retain(|leaver| leaver.worker != id);
                }
            }
            Fault::TakeOut(domain) => self.change_service(&domain, Service::Out),
            Fault::TakeBack(domain) => self.change_service(&domain, Service::In),
            other => self.strike_many(other),
        }
    }

    fn with_daemon(&mut self, id: &bulrushlink_core::DaemonId, f: impl FnOnce(&mut Self, usize)) {
        let daemon = self.daemon(id).expect("faults name known daemons");
        f(self, daemon);
    }

    /// Starts a daemon that is dead.
    pub(super) fn start(&mut self, daemon: usize) {
        if self.daemons[daemon].is_up() {
            return;
        }
        self.daemons[daemon].start(self.timeline.now());
        let incarnation = self.daemons[daemon].incarnation;
        let delay = Span(self.rng.u64(0..TICK.millis()));
        self.timeline.after(delay, Step::Tick { daemon, incarnation });
    }

    /// Ends a daemon's process; the connections of its callers break.
    pub(super) fn kill(&mut self, daemon: usize) {
        self.daemons[daemon].kill();
        let broken = self.waiting.extract_if(.., |w| w.daemon == daemon).collect::<Vec<_>>();
        for waiting in broken {
            let caller = waiting.caller;
            // The caller asks again with the same request identifier.
            let turn = waiting.turn;
            self.timeline.after(NEXT_DAEMON, Step::Caller { caller, turn });
        }
    }

    pub(super) fn wake(&mut self, daemon: usize) {
        if !self.daemons[daemon].frozen {
            return;
        }
        let arrived = self.daemons[daemon].wake();
        let incarnation = self.daemons[daemon].incarnation;
        let now = self.timeline.now();
        for unsent in std::mem::take(&mut self.daemons[daemon].unsent) {
            // Half of the sends were frozen after the check of their age, half before it.
            let since = if self.rng.bool() { now } else { unsent.since };
            let output = Box::new(unsent.output);
            self.timeline.after(Span(1), Step::Send { daemon, incarnation, output, since });
        }
        for input in arrived {
            self.feed(daemon, input);
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
        let worker = self.worker(id).expect("faults name known workers");
        if self.workers[worker].mode() != mode {
            self.workers[worker].set_mode(mode, now);
        }
    }

    fn change_service(&mut self, domain: &DomainId, service: Service) {
        let note = self.service_note(domain, service);
        let change = Some((domain.clone(), service));
        self.operators[0].want(note, change, self.timeline.now());
        self.timeline.after(Span(1), Step::Operator(0));
    }
}
