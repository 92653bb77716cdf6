use bulrushlink_core::Moment;

use super::Gate;

/// Guards against a call in flight for each caller while the store doesn't reply, and against waiting calls that
/// are lost: all of a crowd start in order as others end, or are returned at their deadline.
#[test]
fn calls_of_a_crowd_start_in_order_a_few_at_a_time() {
    let mut gate = Gate::new(3);
    (0..100).for_each(|call| gate.push(call, Moment(if call < 50 { 900 } else { 500 })));
    let started: Vec<i32> = std::iter::from_fn(|| gate.start()).collect();
    assert_eq!((started, gate.open(), gate.waiting()), (vec![0, 1, 2], 3, 97));
    gate.leave();
    assert_eq!((gate.start(), gate.start()), (Some(3), None));
    assert_eq!((gate.expire(Moment(499)), gate.due()), (Vec::new(), Some(Moment(500))));
    assert_eq!(gate.expire(Moment(500)), (50..100).collect::<Vec<_>>());
    (0..3).for_each(|_| gate.leave());
    let started: Vec<i32> = std::iter::from_fn(|| gate.start()).collect();
    assert_eq!((started, gate.waiting()), (vec![4, 5, 6], 43));
    assert_eq!(gate.expire(Moment(900)).len(), 43);
    assert_eq!((gate.due(), gate.open()), (None, 3));
}
