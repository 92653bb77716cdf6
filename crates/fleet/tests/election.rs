//! The election of the placer under failing store calls.

use bulrushlink_core::{Moment, Span};
use bulrushlink_fleet::{
    Clock, Commit, Fault, Input, Item, LeaseId, Node, Output, Rev, StoreOp, StoreReply, Tag,
};

use support::node;

mod support;

const LEADER: &str = "bulrushlink/leader";

/// A node whose election calls are answered by the test; its other calls get no reply.
struct Candidate {
    node: Node,
    now: u64,
    /// Calls of the election without a reply yet.
    calls: Vec<(Tag, StoreOp)>,
}

impl Candidate {
    fn open() -> Self {
        let mut candidate = Self { node: node(), now: 0, calls: Vec::new() };
        candidate.handle(Input::Tick);
        candidate
    }

    fn handle(&mut self, input: Input) {
        let clock = Clock { now: Moment(self.now), wall: 1_800_000_000_000 + self.now };
        for output in self.node.handle(clock, input) {
            if let Output::Store(tag @ Tag::Election(_), op, _) = output {
                self.calls.push((tag, op));
            }
        }
    }

    /// Lets time pass until the election makes a call, at most a second.
    fn next_call(&mut self) -> (Tag, StoreOp) {
        let end = self.now + 1_000;
        while self.calls.is_empty() && self.now < end {
            self.now += 10;
            self.handle(Input::Tick);
        }
        self.calls.remove(0)
    }

    /// Replies to the next call and returns it.
    fn reply(&mut self, result: Result<StoreReply, Fault>) -> StoreOp {
        let (tag, op) = self.next_call();
        self.now += 4;
        self.handle(Input::Store(tag, result));
        op
    }

    /// Replies to the read of the leader's key.
    fn reply_leader(&mut self, item: Option<Item>) {
        let op = self.reply(Ok(StoreReply::Item(item, Rev(9))));
        assert_eq!(op, StoreOp::Get(LEADER.to_string()));
    }
}

fn written_leases(commit: &Commit) -> Vec<Option<LeaseId>> {
    commit.writes.iter().map(|(_, _, lease)| *lease).collect()
}

/// Guards against a leader's key without a lease: if a daemon that holds such a key dies, no other
/// one is ever elected. The store refuses the lease at once, as it does while it is overloaded, and
/// answers the next calls.
#[test]
fn refused_lease_is_requested_again_before_the_key_is_created() {
    let mut candidate = Candidate::open();
    candidate.reply_leader(None);
    let op = candidate.reply(Err(Fault::NotDone("status 503".to_string())));
    assert!(matches!(op, StoreOp::OpenLease(_)), "{op:?}");
    candidate.reply_leader(None);
    let op = candidate.reply(Ok(StoreReply::Lease(LeaseId(7), Span(1_500))));
    assert!(matches!(op, StoreOp::OpenLease(_)), "{op:?}");
    let (_, op) = candidate.next_call();
    let StoreOp::Commit(commit) = op else { panic!("{op:?}") };
    assert_eq!(written_leases(&commit), [Some(LeaseId(7))]);
}

/// Guards against a daemon that leads while its key is under a lease that it doesn't renew: the
/// commit that created the key took effect seconds later, when the daemon had opened another lease.
/// Another daemon would be elected while this one still counts its own lease as valid.
#[test]
fn key_under_an_earlier_lease_is_not_taken_as_held() {
    let mut candidate = Candidate::open();
    candidate.reply_leader(None);
    candidate.reply(Ok(StoreReply::Lease(LeaseId(7), Span(1_500))));
    let (tag, op) = candidate.next_call();
    let StoreOp::Commit(commit) = op else { panic!("{op:?}") };
    candidate.now += 900;
    candidate.handle(Input::Store(tag, Err(Fault::Unknown("no answer in time".to_string()))));
    candidate.reply_leader(None);
    candidate.reply(Ok(StoreReply::Lease(LeaseId(8), Span(1_500))));
    // The first commit takes effect now, so that the second one finds the key.
    candidate.reply(Ok(StoreReply::Conflict(Vec::new(), None)));
    let value = commit.writes[0].1.clone();
    let late = Item { key: LEADER.to_string(), value, rev: Rev(8) };
    candidate.reply_leader(Some(late));
    assert!(!candidate.node.is_placer(), "leads under a lease that it does not renew");
}
