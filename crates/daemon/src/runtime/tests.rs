use super::*;
use crate::calls::tests::settings;
use crate::edge::Token;
use bulrushlink_api::{OperatorAnswer, OperatorCall};
use stakker::{ActorOwn, Stakker, actor, call, ret_panic};
use std::cell::RefCell;
use std::rc::Rc;

struct Bench {
    stakker: Stakker,
    now: Instant,
    node: ActorOwn<NodeActor>,
    outputs: Rc<RefCell<Vec<Output>>>,
}

impl Bench {
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
            ret_panic!("the node doesn't end by itself")
        );
        Self { stakker, now, node, outputs }
    }

    /// Lets virtual time pass.
    fn pass(&mut self, span: Span) {
        for _ in 0..span.millis() / 10 {
            self.now += Duration::from_millis(10);
            self.stakker.run(self.now, false);
        }
    }

    fn count(&self, wanted: fn(&Output) -> bool) -> usize {
        self.outputs.borrow().iter().filter(|output| wanted(output)).count()
    }
}

#[test]
fn a_drained_node_answers_and_then_exits_once() {
    let mut bench = Bench::open();
    bench.pass(Span(500));
    assert_eq!(bench.count(|output| *output == Output::Exit), 0);
    let node = &bench.node;
    call!([node, bench.stakker], input(Input::Operator(Token(7), OperatorCall::Drain)));
    bench.pass(Span(500));
    let answered = |output: &Output| {
        matches!(output, Output::Operator(Token(7), OperatorAnswer::Plain { .. }))
    };
    assert_eq!(bench.count(answered), 1);
    assert_eq!(bench.count(|output| *output == Output::Exit), 0, "the balancer hasn't seen it");
    bench.pass(Span::from_secs(3));
    assert_eq!(bench.count(|output| *output == Output::Exit), 1);
}

#[test]
fn moments_count_from_the_origin() {
    let origin = Instant::now();
    assert_eq!(moment(origin, origin + Duration::from_millis(1_500)), Moment(1_500));
    assert_eq!(moment(origin + Duration::from_secs(1), origin), Moment(0));
}
