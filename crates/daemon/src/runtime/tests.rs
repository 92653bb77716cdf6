use super::*;
use crate::calls::tests::settings;
use crate::edge::Token;
use bulrushlink_api::{OperatorAnswer, OperatorCall};
use stakker::{ActorOwn, Stakker, actor, call, ret_panic};
use std::cell::RefCell;
use std::rc::Rc;

struct Fixture {
    stakker: Stakker,
    now: Instant,
    node: ActorOwn<NodeActor>,
    outputs: Rc<RefCell<Vec<Output>>>,
}

impl Fixture {
    fn open() -> Self {
        let now = Instant::now();
        let mut stakker = Stakker::new(now);
        let outputs = Rc::new(RefCell::new(Vec::new()));
        let collect = outputs.clone();
        let node = Node::open(settings("http://127.0.0.1:9"), Moment(0), 0, 1);
        let fwd = Fwd::new(move |output| collect.borrow_mut().push(output));
        let views = Fwd::new(|_| ());
        let node = actor!(
            stakker,
            NodeActor::init(node, now, fwd, views),
            ret_panic!("the node actor ended by itself")
        );
        Self { stakker, now, node, outputs }
    }

    /// Advances the virtual time in steps of 10 ms.
    fn advance(&mut self, span: Span) {
        for _ in 0..span.millis() / 10 {
            self.now += Duration::from_millis(10);
            self.stakker.run(self.now, false);
        }
    }

    fn count(&self, wanted: fn(&Output) -> bool) -> usize {
        self.outputs.borrow().iter().filter(|output| wanted(output)).count()
    }
}

/// Guards against a drained node that exits before the load balancer has had time to see that it is
/// no longer ready, or that asks for its exit more than once.
#[test]
fn drained_node_answers_lingers_and_exits_once() {
    let mut fixture = Fixture::open();
    fixture.advance(Span(500));
    assert_eq!(fixture.count(|output| *output == Output::Exit), 0);
    let node = &fixture.node;
    call!([node, fixture.stakker], input(Input::Operator(Token(7), OperatorCall::Drain)));
    fixture.advance(Span(500));
    let answered = |output: &Output| {
        matches!(output, Output::Operator(Token(7), OperatorAnswer::Plain { .. }))
    };
    assert_eq!(fixture.count(answered), 1);
    assert_eq!(
        fixture.count(|output| *output == Output::Exit),
        0,
        "exit before the end of the linger time"
    );
    fixture.advance(Span::from_secs(3));
    assert_eq!(fixture.count(|output| *output == Output::Exit), 1);
}

/// Guards against an underflow for an instant before the origin.
#[test]
fn moments_count_from_the_origin() {
    let origin = Instant::now();
    assert_eq!(moment(origin, origin + Duration::from_millis(1_500)), Moment(1_500));
    assert_eq!(moment(origin + Duration::from_secs(1), origin), Moment(0));
}
