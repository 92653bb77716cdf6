//! A simulation of workers under virtual time. It carries out the scheduler's actions, with the
//! delays and failures that a test sets, and checks every action against its own records.

#![allow(dead_code, unreachable_pub, missing_docs)]

use bulrushlink_core::{
    AcceleratorSet, Action, Adjacency, Attempt, DomainShare, Ending, Event, JobKey, JobSpec,
    Moment, NoteVersion, Placement, Scheduler, Service, Shape, Span, StartFault, StopReason,
    Urgency, UsageReport, WorkerId, WorkerInfo, WorkspaceShare,
};

/// Time from a requested start to its `Started` or `StartFailed` event.
pub const START_MS: u64 = 1_500;
/// Time that a stop takes after its grace period.
pub const STOP_MS: u64 = 800;

/// An attempt that occupies workers.
#[derive(Clone, Debug)]
pub struct LiveAttempt {
    pub key: JobKey,
    pub attempt: Attempt,
    pub placement: Placement,
    pub started: bool,
    pub started_at: Option<Moment>,
}

/// A job and its history, as recorded by the simulation.
#[derive(Clone, Debug)]
pub struct Record {
    pub spec: JobSpec,
    pub submitted_at: Moment,
    pub started_at: Option<Moment>,
    pub attempt: Attempt,
    /// Whether an attempt ran without a later checkpoint, so that another start would run it again.
    pub ran_unsaved: bool,
    pub ended: Option<Ending>,
    pub finished_at: Option<Moment>,
    pub handed_over: bool,
    /// Time that an attempt still has to run to complete the job.
    pub run_time: Span,
    /// Whether every attempt fails, on any worker.
    pub always_fails: bool,
}

/// Random faults that the simulation injects.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// One start in this many fails; 0 for none.
    pub start_fails: u32,
    /// One attempt in this many fails; 0 for none.
    pub run_fails: u32,
    /// One stop in this many is never answered; 0 for none.
    pub stop_lost: u32,
    /// One event in this many is delivered twice; 0 for none.
    pub duplicated: u32,
    /// Upper bound of the random delay of an event; 0 for none.
    pub delay_ms: u64,
}

/// One scheduler, its workers and jobs, and the events that are still to be delivered.
pub struct Simulation {
    pub sched: Scheduler,
    pub now: Moment,
    /// All workers, and whether each one is present.
    pub workers: Vec<(WorkerInfo, bool)>,
    pub quarantined: Vec<WorkerId>,
    /// Workers on which every attempt fails.
    pub broken: Vec<WorkerId>,
    pub live: Vec<LiveAttempt>,
    pub records: Vec<Record>,
    pub share: DomainShare,
    pub faults: Faults,
    pub starts: u64,
    /// Time, sequence number and event.
    events: Vec<(Moment, u64, Event)>,
    seq: u64,
    rng: fastrand::Rng,
    next_tick: Moment,
}

pub fn worker_id(i: usize) -> WorkerId {
    format!("w{i:03}").parse().unwrap()
}

pub fn shape(tasks: u16, accelerators: u8, adjacency: Adjacency) -> Shape {
    Shape { tasks, accelerators, adjacency }
}

pub fn spec(workspace: &str, request: &str, shape: Shape) -> JobSpec {
    JobSpec {
        key: JobKey { workspace: workspace.parse().unwrap(), request: request.parse().unwrap() },
        kind: "render".parse().unwrap(),
        shape,
        urgency: Urgency::Normal,
        declared: Span::from_secs(60),
        deadline: None,
        idempotent: true,
        checkpoint: false,
        domain: None,
        input: String::new(),
    }
}

pub fn workspace(id: &str, guarantees: &[(Shape, u16)]) -> WorkspaceShare {
    WorkspaceShare { id: id.parse().unwrap(), guarantees: guarantees.to_vec(), queue: 1000 }
}

impl Simulation {
    /// Creates `count` workers with 8 accelerators each, `per_rack` of them in each rack.
    pub fn new(seed: u64, count: usize, per_rack: usize, workspaces: Vec<WorkspaceShare>) -> Self {
        let share = DomainShare {
            version: NoteVersion(1),
            domain: "cuenca".parse().unwrap(),
            service: Service::In,
            workspaces,
        };
        let mut sim = Self {
            sched: Scheduler::open(seed),
            now: Moment(1_000_000),
            workers: Vec::new(),
            quarantined: Vec::new(),
            broken: Vec::new(),
            live: Vec::new(),
            records: Vec::new(),
            share: share.clone(),
            faults: Faults::default(),
            starts: 0,
            events: Vec::new(),
            seq: 0,
            rng: fastrand::Rng::with_seed(seed),
            next_tick: Moment(0),
        };
        for i in 0..count {
            let info = WorkerInfo {
                id: worker_id(i),
                domain: share.domain.clone(),
                rack: format!("r{}", i / per_rack).parse().unwrap(),
                accelerators: 8,
                slots: 8,
                leaving: false,
            };
            sim.workers.push((info.clone(), true));
            sim.deliver(Event::Worker(info));
        }
        sim.deliver(Event::Share(share));
        sim
    }

    pub fn record(&mut self, key: &JobKey) -> &mut Record {
        self.records.iter_mut().find(|r| r.spec.key == *key).expect("the job was submitted")
    }

    pub fn by_request(&mut self, request: &str) -> &mut Record {
        self.records.iter_mut().find(|r| r.spec.key.request.as_str() == request).unwrap()
    }

    pub fn is_live(&self, key: &JobKey) -> bool {
        self.live.iter().any(|l| l.key == *key)
    }

    pub fn placement(&self, request: &str) -> Option<Placement> {
        let live = self.live.iter().find(|l| l.key.request.as_str() == request);
        live.map(|l| l.placement.clone())
    }

    pub fn submit(&mut self, spec: JobSpec, run_time: Span) {
        self.submit_with(spec, run_time, false);
    }

    pub fn submit_with(&mut self, spec: JobSpec, run_time: Span, always_fails: bool) {
        self.records.push(Record {
            spec: spec.clone(),
            submitted_at: self.now,
            started_at: None,
            attempt: Attempt(0),
            ran_unsaved: false,
            ended: None,
            finished_at: None,
            handed_over: false,
            run_time,
            always_fails,
        });
        self.deliver(Event::Submit {
            spec,
            attempt: Attempt(0),
            used: Attempt(0),
            age: Span::ZERO,
        });
    }

    /// Delivers the share in its next version, in or out of service.
    pub fn set_service(&mut self, service: Service) {
        self.share.service = service;
        self.share.version = self.share.version.next();
        self.deliver(Event::Share(self.share.clone()));
    }

    /// Removes a worker with all that runs on it.
    pub fn lose_worker(&mut self, i: usize) {
        let id = self.workers[i].0.id.clone();
        self.workers[i].1 = false;
        self.quarantined.retain(|q| *q != id);
        for live in &mut self.live {
            live.placement.retain(|p| p.worker != id);
        }
        let lost: Vec<_> = self.live.iter().filter(|l| l.placement.is_empty()).cloned().collect();
        self.live.retain(|l| !l.placement.is_empty());
        for live in lost {
            self.record(&live.key).ran_unsaved = true;
        }
        self.deliver(Event::WorkerLost(id));
    }

    /// Makes a worker present and ready for new work.
    pub fn join_worker(&mut self, i: usize) {
        self.workers[i].1 = true;
        self.workers[i].0.leaving = false;
        self.deliver(Event::Worker(self.workers[i].0.clone()));
    }

    /// Marks a worker as leaving, so that it gets no new work.
    pub fn leave_worker(&mut self, i: usize) {
        self.workers[i].0.leaving = true;
        self.deliver(Event::Worker(self.workers[i].0.clone()));
    }

    /// Replaces the scheduler by an empty one and delivers the workers, the share and the jobs to
    /// it in one of six orders, as after a change of the placer.
    pub fn replace_scheduler(&mut self, order: u8) {
        self.sched = Scheduler::open(u64::from(order));
        self.quarantined.clear();
        let orders = [[0, 1, 2], [0, 2, 1], [1, 0, 2], [1, 2, 0], [2, 0, 1], [2, 1, 0]];
        for input in orders[usize::from(order)] {
            match input {
                0 => self.deliver(Event::Share(self.share.clone())),
                1 => self.deliver_workers(),
                _ => self.deliver_jobs(),
            }
        }
    }

    fn deliver_workers(&mut self) {
        for (info, present) in self.workers.clone() {
            if present {
                self.deliver(Event::Worker(info));
            }
        }
    }

    fn deliver_jobs(&mut self) {
        for live in self.live.clone() {
            let (attempt, placement) = (live.attempt, live.placement);
            let record = self.record(&live.key).clone();
            let (spec, age) = (record.spec, self.now.since(record.submitted_at));
            let ran = record.started_at.map(|at| self.now.since(at)).unwrap_or_default();
            self.deliver(Event::Adopt { spec, attempt, placement, age, ran });
        }
        for i in 0..self.records.len() {
            let record = self.records[i].clone();
            let (spec, age) = (record.spec, self.now.since(record.submitted_at));
            if record.ended.is_some() || record.handed_over || self.is_live(&spec.key) {
                continue;
            }
            let report_attempt = spec.idempotent || record.ran_unsaved;
            let attempt = if report_attempt { record.attempt } else { Attempt(0) };
            let used = self.records[i].attempt;
            self.deliver(Event::Submit { spec, attempt, used, age });
        }
    }

    /// Reports the positions in use on a worker and the `extra` ones as an observation of age
    /// `age`; the content is the present state, whatever the age.
    pub fn report_usage(&mut self, i: usize, extra: AcceleratorSet, age: Span) {
        let id = self.workers[i].0.id.clone();
        let places = self.live.iter().flat_map(|l| &l.placement).filter(|p| p.worker == id);
        let busy = places.fold(extra, |sum, p| sum.union(p.set));
        self.deliver(Event::Usage(vec![UsageReport { worker: id, busy, age }]));
    }

    /// Delivers an event to the scheduler now and carries out its actions.
    pub fn deliver(&mut self, event: Event) {
        let actions = self.sched.decide(event, self.now);
        for action in actions {
            self.carry_out(action);
        }
        if let Some(at) = self.sched.next_tick() {
            self.next_tick = self.next_tick.max(self.now).min(at.max(self.now));
        }
    }

    /// Schedules the delivery of an event after `wait_ms` and a random delay of up to
    /// `faults.delay_ms`. One in `faults.duplicated` events is delivered a second time, later.
    pub fn schedule(&mut self, wait_ms: u64, event: Event) {
        let delay =
            if self.faults.delay_ms == 0 { 0 } else { self.rng.u64(0..self.faults.delay_ms) };
        self.seq += 1;
        self.events.push((Moment(self.now.0 + wait_ms + delay), self.seq, event.clone()));
        if self.chance(self.faults.duplicated) {
            self.seq += 1;
            let second = self.now.0 + wait_ms + delay + self.rng.u64(0..20_000);
            self.events.push((Moment(second), self.seq, event));
        }
    }

    fn chance(&mut self, one_in: u32) -> bool {
        one_in > 0 && self.rng.u32(0..one_in) == 0
    }

    /// Advances the time by `span`, with all events and ticks that come due.
    pub fn advance(&mut self, span: Span) {
        let end = self.now + span;
        loop {
            let event = self.events.iter().map(|(at, seq, _)| (*at, *seq)).min();
            let tick = self.sched.next_tick().map(|at| at.max(Moment(self.now.0 + 1)));
            let at = match (event, tick) {
                (Some((at, _)), Some(tick)) => at.min(tick),
                (Some((at, _)), None) => at,
                (None, Some(tick)) => tick,
                (None, None) => break,
            };
            if at > end {
                break;
            }
            self.now = self.now.max(at);
            match event.filter(|(due, _)| *due <= at) {
                Some((_, seq)) => {
                    let i = self.events.iter().position(|e| e.1 == seq).unwrap();
                    let (_, _, event) = self.events.swap_remove(i);
                    self.apply_event(event);
                }
                None => self.deliver(Event::Tick),
            }
        }
        self.now = end;
    }

    /// Applies a scheduled event to the simulated workers, then delivers it to the scheduler.
    fn apply_event(&mut self, event: Event) {
        match &event {
            Event::Started(key, attempt) => {
                let now = self.now;
                if let Some(live) = self.find_live(key, *attempt) {
                    live.started = true;
                    live.started_at.get_or_insert(now);
                    let record = self.record(key);
                    record.started_at.get_or_insert(now);
                    record.ran_unsaved = true;
                }
            }
            Event::Completed(key, attempt, _)
            | Event::Failed { key, attempt, .. }
            | Event::OutcomeUnknown(key, attempt) => {
                let on_workers =
                    self.find_live(key, *attempt).is_some_and(|l| !l.placement.is_empty());
                let tasks = self.record(key).spec.shape.tasks as usize;
                if !on_workers || self.find_live(key, *attempt).unwrap().placement.len() < tasks {
                    if self.find_live(key, *attempt).is_none() {
                        self.deliver(event);
                    }
                    return;
                }
                self.record(key).ran_unsaved = true;
                self.live.retain(|l| l.key != *key);
            }
            Event::StopCompleted { key, attempt, saved }
                if self.find_live(key, *attempt).is_some() =>
            {
                let now = self.now;
                let started_at = self.find_live(key, *attempt).and_then(|l| l.started_at);
                let record = self.record(key);
                record.ran_unsaved = !saved;
                if let Some(started_at) = started_at.filter(|_| *saved) {
                    record.run_time =
                        Span(record.run_time.0.saturating_sub(now.since(started_at).0));
                }
                self.live.retain(|l| l.key != *key);
            }
            Event::StartFailed { key, attempt, .. } => {
                if self.find_live(key, *attempt).is_some_and(|l| !l.started) {
                    self.live.retain(|l| l.key != *key);
                } else {
                    return;
                }
            }
            _ => {}
        }
        self.deliver(event);
    }

    fn find_live(&mut self, key: &JobKey, attempt: Attempt) -> Option<&mut LiveAttempt> {
        self.live.iter_mut().find(|l| l.key == *key && l.attempt == attempt)
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Start { key, attempt, placement } => self.start(key, attempt, placement),
            Action::Stop { key, attempt, grace, reason } => self.stop(key, attempt, grace, reason),
            Action::Finish { key, ending } => {
                assert!(!self.is_live(&key), "{key} is finished while an attempt runs: {ending:?}");
                let now = self.now;
                let record = self.record(&key);
                assert!(
                    record.ended.is_none() && !record.handed_over,
                    "{key} is finished or handed over twice"
                );
                let never_ran =
                    matches!(ending, Ending::Refused(_) | Ending::Cancelled { ran: false });
                assert!(
                    !never_ran || !record.ran_unsaved,
                    "{key} ran, but is reported as never started: {ending:?}"
                );
                record.ended = Some(ending);
                record.finished_at = Some(now);
            }
            Action::HandOver { key, .. } => {
                assert!(!self.is_live(&key), "{key} is handed over while an attempt runs");
                let record = self.record(&key);
                assert!(
                    record.ended.is_none() && !record.handed_over,
                    "{key} is finished or handed over twice"
                );
                assert!(
                    record.spec.idempotent || !record.ran_unsaved,
                    "{key} is handed over and might run twice"
                );
                record.handed_over = true;
            }
            Action::Quarantine(id) => self.quarantined.push(id),
            Action::Readmit(id) => self.quarantined.retain(|q| *q != id),
            Action::Throttle { .. } => {}
        }
    }

    fn start(&mut self, key: JobKey, attempt: Attempt, placement: Placement) {
        self.starts += 1;
        assert_eq!(
            self.share.service,
            Service::In,
            "{key} starts while its domain is out of service"
        );
        assert!(!self.is_live(&key), "{key} starts while an attempt runs");
        self.check_placement(&key, &placement);
        let record = self.record(&key);
        assert!(
            record.ended.is_none() && !record.handed_over,
            "{key} starts after it was finished or handed over"
        );
        assert!(
            record.spec.idempotent || !record.ran_unsaved,
            "{key} is not idempotent and starts again after a run"
        );
        assert!(attempt > record.attempt, "{key}: attempt number is not larger than the last one");
        record.attempt = attempt;
        let (run_time, always_fails) = (record.run_time, record.always_fails);
        let broken = placement.iter().find(|p| self.broken.contains(&p.worker));
        let fails = always_fails || broken.is_some();
        let worker = broken.unwrap_or(&placement[0]).worker.clone();
        self.live.push(LiveAttempt {
            key: key.clone(),
            attempt,
            placement,
            started: false,
            started_at: None,
        });
        if self.chance(self.faults.start_fails) {
            let fault = [
                StartFault::Busy,
                StartFault::Silent,
                StartFault::Unrecorded,
                StartFault::NotPermitted,
            ][self.rng.usize(0..4)];
            let event = Event::StartFailed { key, attempt, worker: Some(worker), fault };
            return self.schedule(START_MS, event);
        }
        self.schedule(START_MS, Event::Started(key.clone(), attempt));
        let end = START_MS + run_time.0.max(1);
        if fails || self.chance(self.faults.run_fails) {
            let reason = "exit status 1".to_string();
            let end = START_MS + (run_time.0 / 10).max(1);
            self.schedule(end, Event::Failed { key, attempt, worker, reason });
        } else {
            self.schedule(end, Event::Completed(key, attempt, vec!["done".to_string()]));
        }
    }

    fn check_placement(&mut self, key: &JobKey, placement: &Placement) {
        let shape = self.record(key).spec.shape;
        assert_eq!(
            placement.len(),
            shape.tasks as usize,
            "{key}: placement lacks tasks or has too many"
        );
        for (i, place) in placement.iter().enumerate() {
            let name = &place.worker;
            let found = self.workers.iter().find(|(info, _)| info.id == *name);
            let (info, present) = found.expect("placement names an unknown worker");
            assert!(*present, "{key} starts on {name}, which is lost");
            assert!(!info.leaving, "{key} starts on {name}, which is leaving");
            assert_eq!(usize::from(place.task), i, "{key}: tasks are out of order");
            assert_eq!(
                place.set.len(),
                u32::from(shape.accelerators),
                "{key}: task {i} has the wrong number of accelerators"
            );
            let first = place.set.0.trailing_zeros() as u8;
            let consecutive = AcceleratorSet::contiguous(first.min(63), shape.accelerators);
            assert!(
                place.set.is_empty() || place.set == consecutive,
                "{key}: gaps in {}",
                place.set
            );
            assert!(
                AcceleratorSet::contiguous(0, info.accelerators).contains(place.set),
                "{key}: {name} does not have all of the accelerators {}",
                place.set
            );
            let others = placement[..i].iter().chain(self.live.iter().flat_map(|l| &l.placement));
            for other in others.filter(|o| o.worker == *name) {
                assert!(
                    !other.set.overlaps(place.set),
                    "{key}: accelerators of {name} are in use already"
                );
            }
            let tasks = self.live.iter().flat_map(|l| &l.placement).filter(|p| p.worker == *name);
            let own = placement.iter().filter(|p| p.worker == *name).count();
            assert!(tasks.count() + own <= info.slots as usize, "{key}: {name} has too few slots");
            if self.quarantined.contains(name) {
                let probe = shape.tasks == 1 && shape.accelerators <= 2;
                assert!(
                    probe && self.record(key).spec.idempotent,
                    "{key} is no probe, but starts on quarantined {name}"
                );
            }
        }
        self.check_adjacency(key, shape, placement);
    }

    fn check_adjacency(&self, key: &JobKey, shape: Shape, placement: &Placement) {
        let rack = |id: &WorkerId| {
            self.workers.iter().find(|(info, _)| info.id == *id).map(|(info, _)| info.rack.clone())
        };
        let first = &placement[0].worker;
        let adjacent = match shape.adjacency {
            Adjacency::Domain => true,
            Adjacency::Rack => placement.iter().all(|p| rack(&p.worker) == rack(first)),
            Adjacency::Worker => placement.iter().all(|p| p.worker == *first),
        };
        assert!(adjacent, "{key}: tasks are farther apart than {}", shape.adjacency);
    }

    fn stop(&mut self, key: JobKey, attempt: Attempt, grace: Span, reason: StopReason) {
        assert!(grace <= Span::from_secs(4), "{key}: grace of {grace} for {reason} exceeds 4s");
        assert!(
            self.find_live(&key, attempt).is_some(),
            "{key} is stopped, but attempt {attempt} doesn't run"
        );
        let unstoppable = !self.record(&key).spec.idempotent && !self.record(&key).spec.checkpoint;
        let forced = matches!(reason, StopReason::Cancelled | StopReason::GangIncomplete);
        assert!(forced || !unstoppable, "{key} must not be stopped: {reason}");
        if self.chance(self.faults.stop_lost) {
            return;
        }
        let placed = self.find_live(&key, attempt).unwrap().placement.len();
        let tasks = self.record(&key).spec.shape.tasks as usize;
        let saved = self.record(&key).spec.checkpoint && grace > Span::ZERO && placed == tasks;
        self.schedule(grace.0 + STOP_MS, Event::StopCompleted { key, attempt, saved });
    }
}
