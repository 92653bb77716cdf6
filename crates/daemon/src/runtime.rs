//! The node as a stakker actor: one queue of inputs, one clock, one tick.
//!
//! stakker passes the time in, so the same actor runs in the daemon and under virtual time.

use bulrushlink_core::{Moment, NoteVersion, Span};
use stakker::{CX, Fwd, after};
use std::time::{Duration, Instant};

use crate::edge::{Input, Outbox, Output};
use crate::node::Node;

#[cfg(test)]
mod tests;

/// Period of [`Input::Tick`], in milliseconds.
const TICK_MS: u64 = 100;

/// What the edges need to know of a node between its outputs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct NodeView {
    /// Whether the balancer may send new work here.
    pub ready: bool,
    /// Callers' requests that wait.
    pub held: usize,
    /// Version of the release notes in force, 0 for none.
    pub version: NoteVersion,
}

/// Owns a node and feeds it.
pub struct NodeActor {
    node: Node,
    out: Outbox,
    /// The instant of [`Moment`] 0.
    origin: Instant,
    outputs: Fwd<Output>,
    views: Fwd<NodeView>,
    /// The view that was passed on last.
    view: NodeView,
}

impl NodeActor {
    /// Starts the actor; `origin` is the instant of the node's [`Moment`] 0. Outputs go to
    /// `outputs` in order, and `views` hears of each change of the view.
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

    /// Passes one input to the node and its outputs on.
    pub fn input(&mut self, cx: CX![], input: Input) {
        let now = moment(self.origin, cx.now());
        self.node.handle(input, now, &mut self.out);
        for output in self.out.take() {
            self.outputs.fwd(output);
        }
        let view = NodeView {
            ready: self.node.is_ready(),
            held: self.node.held(),
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

/// Returns the moment of an instant.
pub fn moment(origin: Instant, at: Instant) -> Moment {
    Moment(at.saturating_duration_since(origin).as_millis() as u64)
}

/// Returns the standard library's form of a span.
pub(crate) fn duration(span: Span) -> Duration {
    Duration::from_millis(span.millis())
}
