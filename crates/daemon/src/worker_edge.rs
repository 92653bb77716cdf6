//! Calls to workers from a bounded set of threads.
//!
//! A worker that doesn't answer holds its thread for the whole time-out. Workers whose last call
//! ended that way are called from a few threads of their own, so that a dead rack never delays the
//! renewals of live ones.

use bulrushlink_api::{Client, EdgeFault, JsonBody, WorkerBatch};
use bulrushlink_core::{Code, Span, WorkerId};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

use crate::calls::Results;
use crate::edge::{CallId, Input};
use crate::pool::Pool;
use crate::runtime::duration;
use crate::settings::Settings;

#[cfg(test)]
mod tests;

/// Calls that wait for a thread.
const QUEUE_CALLS: usize = 1_024;
/// One thread in this many is for workers that don't answer.
const SLOW_THREADS_SHARE: usize = 4;

pub(crate) struct WorkerCall {
    pub(crate) call: CallId,
    pub(crate) worker: WorkerId,
    pub(crate) addr: SocketAddr,
    pub(crate) batch: WorkerBatch,
    /// The call must not leave the process after it.
    pub(crate) deadline: Instant,
}

/// Sorted names of the workers whose last call had no answer.
#[derive(Clone, Debug, Default)]
struct Slow(Arc<Mutex<Vec<WorkerId>>>);

/// The edge to the workers.
pub(crate) struct WorkerEdge {
    calls: Pool<WorkerCall>,
    slow_calls: Pool<WorkerCall>,
    slow: Slow,
    results: Results,
}

impl WorkerEdge {
    pub(crate) fn spawn(settings: &Settings, results: Results) -> Self {
        let slow = Slow::default();
        let threads = settings.limits.worker_calls;
        let client = Client::open(settings.timing.worker, None);
        let worker = || {
            let (client, slow, results) = (client.clone(), slow.clone(), results.clone());
            move |call: WorkerCall| Self::carry_out(&client, &slow, &results, call)
        };
        let slow_threads = threads.div_ceil(SLOW_THREADS_SHARE);
        Self {
            calls: Pool::spawn("worker", threads, QUEUE_CALLS, worker()),
            slow_calls: Pool::spawn("worker-slow", slow_threads, QUEUE_CALLS, worker()),
            slow,
            results,
        }
    }

    /// Makes a call. With a full queue it ends at once, certainly unsent.
    pub(crate) fn call(&self, call: WorkerCall) {
        let slow = self.slow.contains(&call.worker);
        let pool = if slow { &self.slow_calls } else { &self.calls };
        if let Err(refused) = pool.submit(call) {
            self.results.send(Input::Worker(refused.call, Err(EdgeFault::Unreachable)));
        }
    }

    fn carry_out(client: &Client, slow: &Slow, results: &Results, call: WorkerCall) {
        if results.is_closed() {
            return;
        }
        let url = format!("http://{}/workers/{}/batch", call.addr, call.worker);
        let body = JsonBody::of(&call.batch);
        // Checked last, after the call has waited for its thread.
        let left = call.deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            results.send(Input::Worker(call.call, Err(EdgeFault::Unreachable)));
            return;
        }
        results.count_call("worker", body.size());
        let reply = client.post_within(&url, &body, Span(left.as_millis() as u64));
        let answered = !reply
            .as_ref()
            .is_err_and(|error| matches!(error.code(), Code::TimedOut | Code::Unreachable));
        slow.set(&call.worker, !answered);
        results.send(Input::Worker(call.call, results.parse_reply("worker", reply)));
    }
}

impl WorkerCall {
    pub(crate) fn deadline(decided: Instant, within: Span) -> Instant {
        decided + duration(within)
    }
}

impl Slow {
    fn lock(&self) -> MutexGuard<'_, Vec<WorkerId>> {
        self.0.lock().expect("no holder of the list panics")
    }

    fn contains(&self, worker: &WorkerId) -> bool {
        self.lock().binary_search(worker).is_ok()
    }

    fn set(&self, worker: &WorkerId, slow: bool) {
        let mut list = self.lock();
        match list.binary_search(worker) {
            Ok(i) if !slow => {
                list.remove(i);
            }
            Err(i) if slow => list.insert(i, worker.clone()),
            _ => {}
        }
    }
}
