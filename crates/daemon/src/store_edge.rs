//! Calls the platform's store from a fixed number of threads; watches have a separate thread.

use bulrushlink_api::{Client, EdgeFault, JsonBody, StoreReply, StoreRequest};
use bulrushlink_core::Span;
use std::time::{Duration, Instant};

use crate::calls::CallResults;
use crate::edge::{CallId, Input};
use crate::pool::Pool;
use crate::settings::Settings;

#[cfg(test)]
mod tests;

/// Most calls that wait for a thread.
const CALL_QUEUE_MAX: usize = 256;
/// Most watches that wait for their single thread.
const WATCH_QUEUE_MAX: usize = 2;
/// Length of the window of the rate limit.
const RATE_WINDOW_MS: u64 = 1_000;

struct StoreCall {
    call: CallId,
    request: StoreRequest,
}

/// Limits the daemon's calls per window, so that no single daemon can exhaust the rate that the
/// store grants to all of them.
#[derive(Debug)]
struct RateLimit {
    /// Calls allowed per window.
    limit: u32,
    window_start: Instant,
    /// Calls in the current window.
    used: u32,
}

/// The client of the store.
pub(crate) struct StoreEdge {
    calls: Pool<StoreCall>,
    watches: Pool<StoreCall>,
    results: CallResults,
    rate: RateLimit,
}

impl StoreEdge {
    pub(crate) fn spawn(settings: &Settings, results: CallResults, now: Instant) -> Self {
        let timing = &settings.timing;
        let url = format!("{}/kv", settings.store.trim_end_matches('/'));
        let executor = |timeout: Span| {
            let (client, url, results) =
                (Client::open(timeout, None), url.clone(), results.clone());
            move |call: StoreCall| Self::execute(&client, &url, &results, &call)
        };
        let threads = settings.limits.store_calls;
        Self {
            calls: Pool::spawn("store", threads, CALL_QUEUE_MAX, executor(timing.store)),
            watches: Pool::spawn(
                "watch",
                1,
                WATCH_QUEUE_MAX,
                executor(timing.watch + timing.store),
            ),
            results,
            rate: RateLimit { limit: settings.limits.store_rate, window_start: now, used: 0 },
        }
    }

    /// Makes a call. Over the rate limit or with a full queue the call ends at once, unsent.
    pub(crate) fn call(&mut self, call: CallId, request: StoreRequest, now: Instant) {
        if let Some(retry) = self.rate.count_call(now) {
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

    fn execute(client: &Client, url: &str, results: &CallResults, call: &StoreCall) {
        if results.is_closed() {
            return;
        }
        let body = JsonBody::of(&call.request);
        results.count_call("store", body.size());
        let reply = results.parse_reply("store", client.post_body(url, &body));
        results.send(Input::Store(call.call, reply));
    }
}

impl RateLimit {
    /// Counts a call; if it is over the limit, returns the time until the next window.
    fn count_call(&mut self, now: Instant) -> Option<Span> {
        let window = Duration::from_millis(RATE_WINDOW_MS);
        let age = now.saturating_duration_since(self.window_start);
        if age >= window {
            self.window_start = now;
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
