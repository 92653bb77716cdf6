//! The clock and the leases of a worker.

use bulrushlink_core::{Moment, Span};

use super::Worker;
use crate::ids::Boot;
use crate::lead::{LEADER_LEASE_TTL, STORE_OUTAGE_MAX, UNSURE_LEASE};

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

/// Guards against a difference of clock readings that overflows: a worker that reports a clock of 2^63 or more, while its
/// lease is logged.
#[test]
fn difference_to_any_clock_reading_does_not_overflow() {
    for (clock, promised) in [(1 << 63, 0), (1 << 63, u64::MAX), (0, u64::MAX), (u64::MAX, 0)] {
        let boot = Boot { worker: "i-1".parse().expect("valid name"), born: 1 };
        let mut worker = Worker::new(boot, 1, None, Moment(0));
        worker.set_clock(Moment(10), clock);
        worker.promised = promised;
        let left = worker.lease_left_ms(Moment(10));
        assert_eq!(left > 0, promised > clock && clock < 1 << 63, "{clock} and {promised}: {left}");
    }
}

/// A successor waited 18.4 s before it gave up the runs of workers that had left during an outage of the
/// store: as long as an earlier placer may extend leases, and then for a lease of full length
/// (`fleetbench run`, 350 workers, `mix --seed 935359136894`). It has to wait for what the earlier placer
/// may have granted, and no longer.
#[test]
fn successor_waits_for_what_an_earlier_placer_may_have_granted() {
    for lease in [1_000, 3_000, 6_000, 10_000] {
        let boot = Boot { worker: "i-1".parse().expect("valid name"), born: 1 };
        let worker = Worker::new(boot, 1, None, Moment(0));
        let since = Moment(50_000);
        // The slowest clock takes 1/0.98 of a second for a second.
        let on_slow_clock = |ms: u64| Span((ms as f64 / 0.98).ceil() as u64);
        let sure = LEADER_LEASE_TTL + on_slow_clock(lease);
        let unsure = STORE_OUTAGE_MAX + on_slow_clock(lease.min(UNSURE_LEASE.millis()));
        let last = since + sure.max(unsure);
        assert!(!worker.has_expired_leases(last, since, Span(lease)), "lease {lease}");
        assert!(worker.has_expired_leases(last + Span(201), since, Span(lease)), "lease {lease}");
    }
}
