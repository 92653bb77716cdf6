//! Runs the node as a stakker actor with one input queue, one clock and one tick.
//!
//! stakker supplies the time, so the same actor runs in the daemon and under virtual time.

use bulrushlink_core::{Moment, NoteVersion, Span};
use stakker::{CX, Fwd, after};
use std::time::{Duration, Instant};

use crate::edge::{Input, Outbox, Output};
use crate::node::Node;

#[cfg(test)]
mod tests;

/// Period of [`Input::Tick`], in milliseconds.
const TICK_MS: u64 = 100;

/// Summary of a node's state for readiness checks and metrics, published whenever it changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeView {
    /// Whether the load balancer may send new work here.
    pub ready: bool,
    /// Number of pending requests of callers: those that wait for their answer.
    pub waiting_requests: usize,
    /// Version of the release notes in force, 0 for none.
    pub version: NoteVersion,
}

/// Owns a node, feeds it inputs and ticks, and forwards its outputs.
pub struct NodeActor {
    node: Node,
    out: Outbox,
    /// The instant of [`Moment`] 0.
    origin: Instant,
    outputs: Fwd<Output>,
    views: Fwd<NodeView>,
    /// The view that was published last.
    view: NodeView,
}

impl NodeActor {
    /// Starts the actor; `origin` is the instant of the node's [`Moment`] 0. Outputs are forwarded
    /// to `outputs` in order, and each changed view to `views`.
    pub fn init(
        cx: CX![],
        node: Node,
        origin: Instant,
        outputs: Fwd<Output>,
        views: Fwd<NodeView>,
    ) -> Option<Self> {
        let out = Outbox::default();
        let mut this = Self { node, out, origin, outputs, views, view: NodeView::default() };
        this.tick(cx);
        Some(this)
    }

    /// Passes one input to the node, then forwards its outputs and the view if it changed.
    pub fn input(&mut self, cx: CX![], input: Input) {
        let now = moment(self.origin, cx.now());
        self.node.handle(input, now, &mut self.out);
        for output in self.out.take() {
            self.outputs.fwd(output);
        }
        let view = NodeView {
            ready: self.node.is_ready(),
            waiting_requests: self.node.waiting_requests(),
            version: self.node.version(),
        };
        if view != self.view {
            self.view = view;
            self.views.fwd(view);
        }
    }

    fn tick(&mut self, cx: CX![]) {
        self.input(cx, Input::Tick);
        after!(Duration::from_millis(TICK_MS), [cx], tick());
    }
}

/// Returns `at` in milliseconds since `origin`; an earlier instant gives 0.
pub fn moment(origin: Instant, at: Instant) -> Moment {
    Moment(at.saturating_duration_since(origin).as_millis() as u64)
}

/// Converts a span to a [`Duration`].
pub(crate) fn duration(span: Span) -> Duration {
    Duration::from_millis(span.millis())
}
