//! The clock and the leases of a worker.

use bulrushlink_core::{Moment, Span};

use super::Worker;
use crate::ids::Boot;

/// Guards against a reply with a nonsensical clock that takes the placer down: sums with the clock
/// once overflowed.
#[test]
fn largest_clock_reading_does_not_overflow() {
    let boot = Boot { worker: "i-1".parse().expect("valid name"), born: 1 };
    let mut worker = Worker::new(boot, 1, None, Moment(0));
    worker.fenced = true;
    worker.set_clock(Moment(10), u64::MAX);
    worker.set_clock(Moment(20), u64::MAX - 1);
    worker.promised = u64::MAX;
    assert_eq!(worker.estimated_clock(Moment(1_000)), Some(u64::MAX));
    assert!(worker.has_expired_leases(Moment(9_000), Moment(0), Span(6_000)));
}
