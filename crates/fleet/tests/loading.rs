//! Loading of the records by a new placer, under failing store calls.

use bulrushlink_core::{Moment, Span};
use bulrushlink_fleet::{
    Clock, Fault, Input, Item, LeaseId, Node, Output, Rev, StoreOp, StoreReply, Tag,
};

use support::node;

mod support;

const INBOX: &str = "bulrushlink/in/";

fn handle(node: &mut Node, now: u64, input: Input) -> Vec<(Tag, StoreOp)> {
    let clock = Clock { now: Moment(now), wall: 1_800_000_000_000 + now };
    let call = |output| match output {
        Output::Store(tag, op, _) => Some((tag, op)),
        _ => None,
    };
    node.handle(clock, input).into_iter().filter_map(call).collect()
}

/// Returns the call of the election among others, and drops those.
fn election_call(calls: Vec<(Tag, StoreOp)>) -> Tag {
    let found = calls.into_iter().find(|(tag, _)| matches!(tag, Tag::Election(_)));
    found.expect("a call of the election").0
}

/// Returns the listing of the inbox among other calls.
fn listing(calls: Vec<(Tag, StoreOp)>) -> Option<(Tag, Option<String>)> {
    calls.into_iter().find_map(|(tag, op)| match op {
        StoreOp::List(prefix, after) if prefix == INBOX => Some((tag, after)),
        _ => None,
    })
}

/// A new placer must go on at the page whose read has failed, after a delay. It once began again at the
/// first page at once: with many records behind a narrow link, it never had them all.
#[test]
fn listing_of_records_goes_on_at_the_failed_page() {
    let mut node = node();
    let calls = handle(&mut node, 0, Input::Tick);
    let free = Ok(StoreReply::Item(None, Rev(9)));
    let calls = handle(&mut node, 4, Input::Store(election_call(calls), free));
    let lease = Ok(StoreReply::Lease(LeaseId(7), Span(1_500)));
    let calls = handle(&mut node, 8, Input::Store(election_call(calls), lease));
    let elected = Ok(StoreReply::Committed(Rev(10)));
    let calls = handle(&mut node, 12, Input::Store(election_call(calls), elected));
    let (tag, after) = listing(calls).expect("a listing of the inbox");
    assert_eq!(after, None);

    let last = "bulrushlink/in/cancel/00000000000000aa".to_string();
    let item = Item { key: last.clone(), value: Vec::new(), rev: Rev(11) };
    let page = Ok(StoreReply::Page(vec![item], true, Rev(12)));
    let (tag, after) = listing(handle(&mut node, 16, Input::Store(tag, page))).expect("a page");
    assert_eq!(after.as_deref(), Some(last.as_str()));

    let fault = Err(Fault::NotDone("status 429".to_string()));
    assert_eq!(listing(handle(&mut node, 20, Input::Store(tag, fault))), None);
    let retried = (1..=50).find_map(|n| listing(handle(&mut node, 20 + n * 10, Input::Tick)));
    assert_eq!(retried.expect("a repeated read").1.as_deref(), Some(last.as_str()));
}
