//! Calls of the nodes: on their way, carried out, lost, late or waiting.

use bulrushlink_core::Span;
use bulrushlink_fleet::{
    EndCause, Fault, Output, Resources, Rev, Run, StoreOp, TaskId, WorkerCall, WorkerOp,
    WorkerReply,
};
use bulrushlink_standin::{FleetRun, FleetWorkerBounds};

use super::{CANCEL_GRACE, Event, FleetLab, LATENCY, Waiting};

impl FleetLab {
    pub(super) fn carry_out(&mut self, seat: usize, incarnation: u64, output: Output) {
        let now = self.now;
        self.ordinal += 1;
        let call = self.ordinal;
        match output {
            Output::Store(tag, op, timeout) => {
                self.open.push(call);
                let result = Err(Fault::Unknown("no answer in time".to_string()));
                let answer =
                    Event::StoreAnswer { seat, incarnation, call, tag: tag.clone(), result };
                self.push(now + timeout.millis(), answer);
                let lost = self.random.f64() < self.noise.store_lost;
                let late = self.random.f64() < self.noise.store_late;
                let at = if late { now + self.random.u64(1_000..6_000) } else { now + LATENCY };
                if now >= self.seats[seat].cut && now >= self.down {
                    let lost = lost || late;
                    self.push(at, Event::Store { seat, incarnation, call, tag, op, lost });
                }
            }
            Output::Worker(tag, order, timeout) => {
                self.open.push(call);
                let result = Err(Fault::Unknown("no answer in time".to_string()));
                let clock = None;
                let answer = Event::WorkerAnswer {
                    seat,
                    incarnation,
                    call,
                    tag: tag.clone(),
                    clock,
                    result,
                };
                self.push(now + timeout.millis(), answer);
                let lost = self.random.f64() < self.noise.worker_lost;
                let late = self.random.f64() < self.noise.worker_late;
                let at = if late { now + self.random.u64(2_000..12_000) } else { now + LATENCY };
                let lost = lost || late;
                self.push(at, Event::Worker { seat, incarnation, call, tag, order, lost });
            }
            Output::Answer(id, answer) => self.told_caller(id, &answer),
            Output::Exit => self.seats[seat].gone = true,
        }
    }

    pub(super) fn close(&mut self, call: u64) -> bool {
        match self.open.iter().position(|c| *c == call) {
            Some(at) => {
                self.open.swap_remove(at);
                true
            }
            None => false,
        }
    }

    pub(super) fn store_call(&mut self, waiting: Waiting, op: StoreOp, lost: bool) {
        let Waiting { seat, incarnation, call, tag, .. } = waiting;
        if let StoreOp::Watch(prefix, after, wait) = &op
            && !self.store.has_events(prefix, after.0)
        {
            let until = self.now + wait.millis();
            let waiting = Waiting { until, seat, incarnation, call, tag };
            self.watches.push((waiting, prefix.clone(), after.0));
            return;
        }
        let reply = self.store.call(self.now, &op);
        if !lost && self.now >= self.seats[seat].cut {
            let result = Ok(reply);
            let answer = Event::StoreAnswer { seat, incarnation, call, tag, result };
            self.push(self.now + LATENCY, answer);
        }
    }

    pub(super) fn worker_call(&mut self, waiting: Waiting, order: WorkerCall, lost: bool) {
        let now = self.now;
        let Some(at) = self.workers.iter().position(|w| w.entry.id == order.worker) else { return };
        if now < self.cut[at] || !self.workers[at].up {
            return;
        }
        let limits = FleetWorkerBounds {
            lease_max: self.bounds.lease_max_ms,
            stop: self.bounds.stop_ms / 2,
        };
        if !matches!(order.op, WorkerOp::Hold { .. }) {
            let text = describe(at, &order, lost);
            self.record.note(now, text);
        }
        let fenced = order.token < self.workers[at].token;
        if let (WorkerOp::Hold { acked, .. }, false) = (&order.op, fenced) {
            for end in self.workers[at].ends.iter().filter(|e| e.number <= *acked) {
                self.record.noted(end.task, at);
            }
        }
        let jobs = &self.record.jobs;
        let make = |task: TaskId, run: Run, saved: &str| {
            let job = jobs.iter().find(|j| j.id == task.job);
            let step = job.map(|j| &j.spec.steps[usize::from(task.step)]);
            let length = step.map_or(1_000, |s| s.estimate.millis());
            let worked = saved.parse().unwrap_or(0);
            let (need, gang) = step.map_or((Resources::default(), false), |s| (s.need, s.gang));
            FleetRun { task, run, need, started: now, worked, length, gang, stop_at: None }
        };
        let worker = &mut self.workers[at];
        let (reply, started) = worker.call(now, order.token, &order.op, make, &limits);
        let clock = Some(worker.clock(now));
        if let Some((task, run)) = started {
            let capacity = worker.entry.capacity;
            if !capacity.holds(&worker.used()) {
                self.record.breach(now, format!("{task} brings worker {at} over its capacity"));
            }
            self.record.started(now, (task, run, at), CANCEL_GRACE);
            let fails = self.random.f64() < self.noise.run_fails;
            if fails || self.workers[at].failing {
                let last = self.workers[at].runs.len() - 1;
                self.end(at, last, EndCause::Failed);
            }
        }
        if lost {
            return;
        }
        let Waiting { seat, incarnation, call, tag, .. } = waiting;
        if let WorkerOp::Hold { wait, .. } = order.op
            && wait.millis() > 0
            && self.workers[at].ends.is_empty()
            && matches!(reply, WorkerReply::Lists { .. })
        {
            let until = now + wait.millis();
            let waiting = Waiting { until, seat, incarnation, call, tag };
            self.holds.push((waiting, at, self.workers[at].entry.born));
            return;
        }
        let result = Ok(reply);
        let answer = Event::WorkerAnswer { seat, incarnation, call, tag, clock, result };
        self.push(now + LATENCY, answer);
    }

    pub(super) fn answer_waiting(&mut self) {
        let now = self.now;
        let mut ready = Vec::new();
        let store = &self.store;
        let down = now < self.down;
        self.watches.retain_mut(|(waiting, prefix, after)| {
            let due = !down && (store.has_events(prefix, *after) || now >= waiting.until);
            if due {
                let op = StoreOp::Watch(prefix.clone(), Rev(*after), Span::ZERO);
                ready.push((
                    waiting.seat,
                    waiting.incarnation,
                    waiting.call,
                    waiting.tag.clone(),
                    op,
                ));
            }
            !due
        });
        for (seat, incarnation, call, tag, op) in ready {
            if now >= self.seats[seat].cut {
                let result = Ok(self.store.call(now, &op));
                self.push(
                    now + LATENCY,
                    Event::StoreAnswer { seat, incarnation, call, tag, result },
                );
            }
        }
        let mut heard = Vec::new();
        let workers = &self.workers;
        let cut = &self.cut;
        self.holds.retain(|(waiting, at, born)| {
            let worker = &workers[*at];
            let gone = worker.entry.born != *born || !worker.up || now < cut[*at];
            let due = !worker.ends.is_empty() || now >= waiting.until;
            if due && !gone {
                let (seat, inc) = (waiting.seat, waiting.incarnation);
                heard.push((seat, inc, waiting.call, waiting.tag.clone(), *at));
            }
            !due && !gone
        });
        for (seat, incarnation, call, tag, at) in heard {
            let clock = Some(self.workers[at].clock(now));
            let result = Ok(self.workers[at].lists());
            self.push(
                now + LATENCY,
                Event::WorkerAnswer { seat, incarnation, call, tag, clock, result },
            );
        }
    }
}

fn describe(worker: usize, order: &WorkerCall, lost: bool) -> String {
    let what = match &order.op {
        WorkerOp::Start { task, run, lease_end, .. } => {
            format!("start of {task} run {run} until {lease_end}")
        }
        WorkerOp::Stop { task, run } => format!("stop of {task} run {run}"),
        WorkerOp::Hold { .. } => "hold".to_string(),
    };
    format!("{worker} gets a {what} of token {}, answer lost: {lost}", order.token)
}
