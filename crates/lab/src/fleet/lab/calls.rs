//! Calls of the nodes to the store and the workers: sent, handled, lost, delayed or left waiting.

use bulrushlink_core::Span;
use bulrushlink_fleet::{
    EndCause, Fault, Output, Resources, Rev, Run, StartRefusal, StoreOp, TaskId, WorkerCall,
    WorkerOp, WorkerReply,
};
use bulrushlink_standin::{FleetRun, FleetWorkerBounds};

use super::{CALL_DELAY_MAX_MS, CANCEL_GRACE_MS, Event, FleetLab, LATENCY_MS, PendingCall};

/// Factor that permutes the indices of tasks.
const SPREAD_FACTOR: u32 = 37;

impl FleetLab {
    pub(super) fn dispatch_output(&mut self, daemon: usize, incarnation: u64, output: Output) {
        let now = self.now;
        self.sequence += 1;
        let call = self.sequence;
        match output {
            Output::Store(tag, op, timeout) => {
                self.open_calls.push(call);
                let result = Err(Fault::Unknown("no answer in time".to_string()));
                let reply =
                    Event::StoreReply { daemon, incarnation, call, tag: tag.clone(), result };
                self.schedule(now + timeout.millis(), reply);
                let lost = self.random.f64() < self.noise.store_lost;
                let late = self.random.f64() < self.noise.store_late;
                let usual = now + self.store_latency();
                let at = if late { now + self.random.u64(1_000..6_000) } else { usual };
                if now >= self.daemons[daemon].cut_until && now >= self.down_until {
                    let lost = lost || late;
                    self.schedule(at, Event::Store { daemon, incarnation, call, tag, op, lost });
                }
            }
            Output::Worker(tag, request, timeout) => {
                self.open_calls.push(call);
                let result = Err(Fault::Unknown("no answer in time".to_string()));
                let clock = None;
                let reply = Event::WorkerReply {
                    daemon,
                    incarnation,
                    call,
                    tag: tag.clone(),
                    clock,
                    result,
                };
                self.schedule(now + timeout.millis(), reply);
                let lost = self.random.f64() < self.noise.worker_lost;
                let late = self.random.f64() < self.noise.worker_late;
                let at = if late {
                    now + self.random.u64(2_000..CALL_DELAY_MAX_MS)
                } else {
                    now + LATENCY_MS
                };
                let lost = lost || late;
                let sent = now;
                let event = Event::Worker { daemon, incarnation, call, tag, request, sent, lost };
                self.schedule(at, event);
            }
            Output::Answer(id, answer) => self.record_answer(id, &answer),
            Output::Exit => self.daemons[daemon].exited = true,
        }
    }

    /// Marks a call as finished. Returns false if it already was.
    pub(super) fn close_call(&mut self, call: u64) -> bool {
        match self.open_calls.iter().position(|c| *c == call) {
            Some(at) => {
                self.open_calls.swap_remove(at);
                true
            }
            None => false,
        }
    }

    pub(super) fn handle_store_call(&mut self, waiting: PendingCall, op: StoreOp, lost: bool) {
        let PendingCall { daemon, incarnation, call, tag, .. } = waiting;
        if let StoreOp::Watch(prefix, after, wait) = &op
            && (!self.store.has_events(prefix, after.0) || self.now < self.silent_until)
        {
            let until = self.now + wait.millis();
            let waiting = PendingCall { until, daemon, incarnation, call, tag };
            self.watches.push((waiting, prefix.clone(), after.0));
            return;
        }
        let reply = self.store.call(self.now, &op);
        if !lost && self.now >= self.daemons[daemon].cut_until {
            let result = Ok(reply);
            let reply = Event::StoreReply { daemon, incarnation, call, tag, result };
            self.schedule(self.now + self.store_latency(), reply);
        }
    }

    pub(super) fn handle_worker_call(
        &mut self,
        waiting: PendingCall,
        (request, sent): (WorkerCall, u64),
        lost: bool,
    ) {
        let now = self.now;
        let by_addr = self.workers.iter().position(|w| w.entry.addr == request.addr);
        let Some(index) = by_addr else {
            return;
        };
        if now < self.cut_until[index] || !self.workers[index].up {
            return;
        }
        let limits = FleetWorkerBounds {
            lease_max: self.bounds.lease_max_ms,
            stop: self.bounds.stop_ms / 2,
        };
        if !matches!(request.op, WorkerOp::Hold { .. }) {
            let text = describe_call(index, &request, lost);
            self.record.add_trace(now, text);
        }
        let fenced = request.token < self.workers[index].token;
        if let (WorkerOp::Hold { acked, .. }, false) = (&request.op, fenced) {
            for end in self.workers[index].ends.iter().filter(|e| e.number <= *acked) {
                self.record.record_ack(end.task, index);
            }
        }
        let (jobs, spread) = (&self.record.jobs, self.length_spread);
        let make = |task: TaskId, run: Run, saved: &str| {
            let job = jobs.iter().find(|j| j.id == task.job);
            let step = job.map(|j| &j.spec.steps[usize::from(task.step)]);
            let estimate = step.map_or(1_000, |s| s.estimate.millis());
            // Multiplying by an odd number permutes the tasks, so that neighbours differ.
            let place = u64::from(task.index.wrapping_mul(SPREAD_FACTOR) % 101);
            let spread = 100 + (spread * place / 100) - spread / 2;
            let length = estimate * job.map_or(100, |j| j.length_percent) * spread / 10_000;
            let worked = saved.parse().unwrap_or(0);
            let (need, gang) = step.map_or((Resources::default(), false), |s| (s.need, s.gang));
            let saves = step.is_some_and(|s| s.saves);
            FleetRun { task, run, need, started: now, worked, length, gang, saves, stop_at: None }
        };
        let worker = &mut self.workers[index];
        if worker.entry.id != request.worker {
            if !lost {
                let PendingCall { daemon, incarnation, call, tag, .. } = waiting;
                let result = Ok(WorkerReply::Refused(StartRefusal::OtherBoot));
                let clock = Some(worker.clock(now));
                let reply = Event::WorkerReply { daemon, incarnation, call, tag, clock, result };
                self.schedule(now + LATENCY_MS, reply);
            }
            return;
        }
        let (reply, started) = worker.call(now, request.token, &request.op, make, &limits);
        let clock = Some(worker.clock(now));
        let mut crashes = false;
        if let Some((task, run)) = started {
            let used = worker.used();
            // A start that was carried out late counts by the time at which it was sent.
            if !worker.allowed_capacity(sent).fits(&used) {
                self.record.record_violation(
                    now,
                    format!("{task} brings worker {index} over its capacity"),
                );
            }
            self.record.record_start(now, (task, run, index), CANCEL_GRACE_MS);
            self.check_ceiling(&task, sent);
            self.register_gang_member(index, task, run);
            crashes = self.schedule_crash(index, &task);
            let fails = self.random.f64() < self.noise.run_fails;
            if fails || self.workers[index].failing {
                let last = self.workers[index].runs.len() - 1;
                self.end_run(index, last, EndCause::Failed);
            }
        }
        if lost || crashes {
            return;
        }
        let PendingCall { daemon, incarnation, call, tag, .. } = waiting;
        if let WorkerOp::Hold { wait, .. } = request.op
            && wait.millis() > 0
            && self.workers[index].ends.is_empty()
            && matches!(reply, WorkerReply::Lists { .. })
        {
            let until = now + wait.millis();
            let waiting = PendingCall { until, daemon, incarnation, call, tag };
            self.holds.push((waiting, index, self.workers[index].entry.born));
            return;
        }
        if matches!(reply, WorkerReply::Lists { .. }) {
            self.record_lists(index);
        }
        let result = Ok(reply);
        let reply = Event::WorkerReply { daemon, incarnation, call, tag, clock, result };
        self.schedule(now + LATENCY_MS, reply);
    }

    /// Records that a worker sends its lists, unless a trouble is near.
    fn record_lists(&mut self, worker: usize) {
        if !self.is_troubled() {
            self.record.record_listing(self.now, worker);
        }
    }

    pub(super) fn answer_waiting_calls(&mut self) {
        let now = self.now;
        let mut due_watches = Vec::new();
        let store = &self.store;
        let down = now < self.down_until || now < self.silent_until;
        self.watches.retain_mut(|(waiting, prefix, after)| {
            let due = !down && (store.has_events(prefix, *after) || now >= waiting.until);
            if due {
                let op = StoreOp::Watch(prefix.clone(), Rev(*after), Span::ZERO);
                due_watches.push((
                    waiting.daemon,
                    waiting.incarnation,
                    waiting.call,
                    waiting.tag.clone(),
                    op,
                ));
            }
            !due
        });
        for (daemon, incarnation, call, tag, op) in due_watches {
            if now >= self.daemons[daemon].cut_until {
                let result = Ok(self.store.call(now, &op));
                self.schedule(
                    now + self.store_latency(),
                    Event::StoreReply { daemon, incarnation, call, tag, result },
                );
            }
        }
        let mut due_holds = Vec::new();
        let workers = &self.workers;
        let cut_until = &self.cut_until;
        self.holds.retain(|(waiting, index, born)| {
            let worker = &workers[*index];
            let gone = worker.entry.born != *born || !worker.up || now < cut_until[*index];
            let due = !worker.ends.is_empty() || now >= waiting.until;
            if due && !gone {
                let (daemon, inc) = (waiting.daemon, waiting.incarnation);
                due_holds.push((daemon, inc, waiting.call, waiting.tag.clone(), *index));
            }
            !due && !gone
        });
        for (daemon, incarnation, call, tag, index) in due_holds {
            let clock = Some(self.workers[index].clock(now));
            let result = Ok(self.workers[index].lists());
            self.record_lists(index);
            self.schedule(
                now + LATENCY_MS,
                Event::WorkerReply { daemon, incarnation, call, tag, clock, result },
            );
        }
    }
}

fn describe_call(worker: usize, request: &WorkerCall, lost: bool) -> String {
    let what = match &request.op {
        WorkerOp::Start { task, run, lease_end, .. } => {
            format!("start of {task} run {run} until {lease_end}")
        }
        WorkerOp::Stop { task, run } => format!("stop of {task} run {run}"),
        WorkerOp::Hold { .. } => "hold".to_string(),
    };
    format!("{worker} gets a {what} of token {}, answer lost: {lost}", request.token)
}
