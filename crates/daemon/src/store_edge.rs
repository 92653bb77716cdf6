//! Calls to the platform's store from a bounded set of threads; watches have a thread of their own.

use bulrushlink_api::{Client, EdgeFault, JsonBody, StoreReply, StoreRequest};
use bulrushlink_core::Span;
use std::time::{Duration, Instant};

use crate::calls::Results;
use crate::edge::{CallId, Input};
use crate::pool::Pool;
use crate::settings::Settings;

#[cfg(test)]
mod tests;

/// Calls that wait for a thread.
const QUEUE_CALLS: usize = 256;
/// Watches that wait for the one thread.
const QUEUE_WATCHES: usize = 2;
/// Length of the window over which calls are counted, in milliseconds.
const RATE_WINDOW_MS: u64 = 1_000;

struct StoreCall {
    call: CallId,
    request: StoreRequest,
}

/// Counts the calls of a window against the daemon's own rate, so that one daemon alone can never
/// use up what the store gives to all.
#[derive(Debug)]
struct Rate {
    limit: u32,
    start: Instant,
    used: u32,
}

/// The edge to the store.
pub(crate) struct StoreEdge {
    calls: Pool<StoreCall>,
    watches: Pool<StoreCall>,
    results: Results,
    rate: Rate,
}

impl StoreEdge {
    pub(crate) fn spawn(settings: &Settings, results: Results, now: Instant) -> Self {
        let timing = &settings.timing;
        let url = format!("{}/kv", settings.store.trim_end_matches('/'));
        let worker = |timeout: Span| {
            let (client, url, results) =
                (Client::open(timeout, None), url.clone(), results.clone());
            move |call: StoreCall| Self::carry_out(&client, &url, &results, &call)
        };
        let threads = settings.limits.store_calls;
        Self {
            calls: Pool::spawn("store", threads, QUEUE_CALLS, worker(timing.store)),
            watches: Pool::spawn("watch", 1, QUEUE_WATCHES, worker(timing.watch + timing.store)),
            results,
            rate: Rate { limit: settings.limits.store_rate, start: now, used: 0 },
        }
    }

    /// Makes a call. Over the rate or with a full queue it ends at once, certainly unsent.
    pub(crate) fn call(&mut self, call: CallId, request: StoreRequest, now: Instant) {
        if let Some(retry) = self.rate.over(now) {
            let limited = StoreReply::Limited { retry };
            self.results.send(Input::Store(call, Ok(limited)));
            return;
        }
        let watch = matches!(request, StoreRequest::Watch { .. });
        let pool = if watch { &self.watches } else { &self.calls };
        if let Err(refused) = pool.submit(StoreCall { call, request }) {
            let fault = Err(EdgeFault::Unreachable);
            self.results.send(Input::Store(refused.call, fault));
        }
    }

    fn carry_out(client: &Client, url: &str, results: &Results, call: &StoreCall) {
        if results.is_closed() {
            return;
        }
        let body = JsonBody::of(&call.request);
        results.count_call("store", body.size());
        let reply = results.parse_reply("store", client.post_body(url, &body));
        results.send(Input::Store(call.call, reply));
    }
}

impl Rate {
    /// Counts a call, and returns the time to wait when it is over the rate.
    fn over(&mut self, now: Instant) -> Option<Span> {
        let window = Duration::from_millis(RATE_WINDOW_MS);
        let age = now.saturating_duration_since(self.start);
        if age >= window {
            self.start = now;
            self.used = 0;
        }
        self.used += 1;
        if self.used <= self.limit {
            return None;
        }
        let left = window.saturating_sub(age);
        Some(Span((left.as_millis() as u64).max(1)))
    }
}
