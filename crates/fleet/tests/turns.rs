//! Inputs that are handled together, with one tick after them.

use bulrushlink_core::{Moment, Span};
use bulrushlink_fleet::{
    Clock, Input, LeaseId, Output, Resources, Rev, StartRefusal, StoreOp, StoreReply, WorkerEntry,
    WorkerReply, WorkerState,
};

use support::node;

mod support;

fn clock(now: u64) -> Clock {
    Clock { now: Moment(now), wall: 1_800_000_000_000 + now }
}

fn worker() -> WorkerEntry {
    WorkerEntry {
        id: "i-1".parse().expect("a valid name"),
        born: 1,
        endpoint: "dispatch".to_string(),
        addr: "10.0.0.1:80".parse().expect("an address"),
        domain: "east".parse().expect("a valid name"),
        state: WorkerState::Ready,
        notice: None,
        capacity: Resources { cpu: 1_000, memory: 1_024, accelerators: 8 },
        labels: Vec::new(),
        rack: None,
    }
}

/// Replies of a store without jobs, in which this daemon is elected.
fn reply(op: &StoreOp) -> Option<StoreReply> {
    match op {
        StoreOp::Get(_) => Some(StoreReply::Item(None, Rev(9))),
        StoreOp::OpenLease(_) => Some(StoreReply::Lease(LeaseId(7), Span(1_500))),
        StoreOp::Commit(_) => Some(StoreReply::Committed(Rev(10))),
        StoreOp::List(..) => Some(StoreReply::Page(Vec::new(), false, Rev(11))),
        StoreOp::Workers => Some(StoreReply::Workers(vec![worker()], 0)),
        _ => None,
    }
}

/// Guards against a placer that goes on with the inputs behind the one that has shown that another daemon
/// is the leader: it would send starts that belong to the other's epoch.
#[test]
fn deposed_placer_acts_on_no_further_input_of_the_turn() {
    let mut node = node();
    let mut outputs = node.handle(clock(0), Input::Tick);
    let mut hold = None;
    for now in (5..2_000).step_by(5) {
        let mut next = node.handle(clock(now), Input::Tick);
        for output in std::mem::take(&mut outputs) {
            match output {
                Output::Store(tag, op, _) => {
                    if let Some(reply) = reply(&op) {
                        next.extend(node.handle(clock(now), Input::Store(tag, Ok(reply))));
                    }
                }
                Output::Worker(tag, ..) => hold = Some((tag, now)),
                _ => {}
            }
        }
        outputs = next;
        if hold.is_some() {
            break;
        }
    }
    let (tag, now) = hold.expect("a hold to the worker");
    assert!(node.is_placer());
    let fenced = Ok(WorkerReply::Refused(StartRefusal::Fenced));
    node.receive(clock(now + 5), Input::Worker(tag, Some(100), fenced));
    assert!(!node.is_placer());
}
