//! Calls workers from a fixed number of threads.
//!
//! A worker that doesn't reply blocks its thread for the whole timeout. Workers whose last call had
//! no reply count as slow and are called from a few separate threads, so that a dead rack doesn't
//! delay the lease renewals of healthy workers.

use bulrushlink_api::{Client, EdgeFault, JsonBody, WorkerBatch};
use bulrushlink_core::{Code, Span, WorkerId};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

use crate::calls::CallResults;
use crate::edge::{CallId, Input};
use crate::pool::Pool;
use crate::runtime::duration;
use crate::settings::Settings;

#[cfg(test)]
mod tests;

/// Most calls that wait for a thread, for each of the two pools.
const CALL_QUEUE_MAX: usize = 1_024;
/// Threads for workers that reply, per thread for workers that don't.
const THREADS_PER_SLOW_THREAD: usize = 4;

pub(crate) struct WorkerCall {
    pub(crate) call: CallId,
    pub(crate) worker: WorkerId,
    pub(crate) addr: SocketAddr,
    pub(crate) batch: WorkerBatch,
    /// Time after which the call must not be sent any more.
    pub(crate) deadline: Instant,
}

/// The workers whose last call had no reply, sorted by id.
#[derive(Clone, Debug, Default)]
struct SlowWorkers(Arc<Mutex<Vec<WorkerId>>>);

/// The client of the workers.
pub(crate) struct WorkerEdge {
    calls: Pool<WorkerCall>,
    slow_calls: Pool<WorkerCall>,
    slow: SlowWorkers,
    results: CallResults,
}

impl WorkerEdge {
    pub(crate) fn spawn(settings: &Settings, results: CallResults) -> Self {
        let slow = SlowWorkers::default();
        let threads = settings.limits.worker_calls;
        let client = Client::open(settings.timing.worker, None);
        let executor = || {
            let (client, slow, results) = (client.clone(), slow.clone(), results.clone());
            move |call: WorkerCall| Self::execute(&client, &slow, &results, call)
        };
        let slow_threads = threads.div_ceil(THREADS_PER_SLOW_THREAD);
        Self {
            calls: Pool::spawn("worker", threads, CALL_QUEUE_MAX, executor()),
            slow_calls: Pool::spawn("worker-slow", slow_threads, CALL_QUEUE_MAX, executor()),
            slow,
            results,
        }
    }

    /// Makes a call. With a full queue the call ends at once, unsent.
    pub(crate) fn call(&self, call: WorkerCall) {
        let slow = self.slow.contains(&call.worker);
        let pool = if slow { &self.slow_calls } else { &self.calls };
        if let Err(refused) = pool.submit(call) {
            self.results.send(Input::Worker(refused.call, Err(EdgeFault::Unreachable)));
        }
    }

    fn execute(client: &Client, slow: &SlowWorkers, results: &CallResults, call: WorkerCall) {
        if results.is_closed() {
            return;
        }
        let url = format!("http://{}/workers/{}/batch", call.addr, call.worker);
        let body = JsonBody::of(&call.batch);
        // Checked only now, since the call may have waited long for its thread.
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
    pub(crate) fn deadline(now: Instant, within: Span) -> Instant {
        now + duration(within)
    }
}

impl SlowWorkers {
    fn lock(&self) -> MutexGuard<'_, Vec<WorkerId>> {
        self.0.lock().expect("a thread panicked while it held the lock of the slow workers")
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
