use bulrushlink_core::Moment;

use super::View;
use crate::edge::{OperatorView, StoreReply};

/// Guards against a request that waits for a fresh view until the next regular read: it may arrive after the
/// last tick of a turn of the event loop, with an answer on the same connection (found in the review of
/// issue 34).
#[test]
fn wanted_read_is_due_at_once() {
    let (mut view, mut out) = (View::default(), Vec::new());
    view.tick(Moment(1_000), &mut out);
    assert_eq!((out.len(), view.due()), (1, None));
    let reply = StoreReply::Operator(OperatorView { catalog: None, evacuated: Vec::new() });
    view.read_answered(Moment(1_010), 1, Ok(reply), &mut out);
    assert_eq!(view.due(), Some(Moment(1_700)));
    view.request_read();
    assert!(view.due().is_some_and(|due| due <= Moment(1_020)), "{:?}", view.due());
    view.tick(Moment(1_020), &mut out);
    assert_eq!((out.len(), view.due()), (2, None));
}
