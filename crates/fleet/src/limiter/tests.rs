use bulrushlink_core::Moment;

use super::CallLimiter;

/// Guards against a call in flight for each caller while the store doesn't reply, and against waiting calls that
/// are lost: all of a crowd start in order as others end, or are returned at their deadline.
#[test]
fn calls_of_a_crowd_start_in_order_a_few_at_a_time() {
    let mut limiter = CallLimiter::new(3);
    (0..100).for_each(|call| limiter.push(call, Moment(if call < 50 { 900 } else { 500 })));
    let started: Vec<i32> = std::iter::from_fn(|| limiter.start()).collect();
    assert_eq!((started, limiter.open(), limiter.waiting()), (vec![0, 1, 2], 3, 97));
    limiter.finish();
    assert_eq!((limiter.start(), limiter.start()), (Some(3), None));
    assert_eq!((limiter.expire(Moment(499)), limiter.due()), (Vec::new(), Some(Moment(500))));
    assert_eq!(limiter.expire(Moment(500)), (50..100).collect::<Vec<_>>());
    (0..3).for_each(|_| limiter.finish());
    let started: Vec<i32> = std::iter::from_fn(|| limiter.start()).collect();
    assert_eq!((started, limiter.waiting()), (vec![4, 5, 6], 43));
    assert_eq!(limiter.expire(Moment(900)).len(), 43);
    assert_eq!((limiter.due(), limiter.open()), (None, 3));
}
