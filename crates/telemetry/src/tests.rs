use crate::budget::Budget;

/// Without the count in the next line, a reader couldn't tell that lines are missing.
#[test]
fn lines_over_the_limit_are_dropped_and_counted() {
    let mut budget = Budget::default();
    let written = (0..5_000).filter(|_| budget.take(0).is_some()).count();
    assert_eq!(written, 1_000);
    // 100 ms refill 20 lines; the first one reports the dropped lines.
    assert_eq!(budget.take(100), Some(4_000));
    let more = (0..100).filter(|_| budget.take(100).is_some()).count();
    assert_eq!(more, 19);
}

/// A non-blocking write fails if the reader is slow; that line must not vanish from the count.
#[test]
fn failed_write_is_counted_as_dropped() {
    let mut budget = Budget::default();
    let dropped = budget.take(0).expect("the first line");
    budget.drop_line(dropped);
    assert_eq!(budget.take(0), Some(1));
}
