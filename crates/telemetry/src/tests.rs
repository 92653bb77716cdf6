use crate::budget::Budget;
use crate::repeats::Repeats;

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

/// An entry that can't be decoded gave the same error with each read, one or more a second.
#[test]
fn same_error_is_written_once_in_an_interval() {
    let mut repeats = Repeats::default();
    let written: Vec<u64> =
        (0..30_000).step_by(500).filter(|now| !repeats.is_repeated(7, *now)).collect();
    assert_eq!(written, [0, 10_000, 20_000]);
    assert!(!repeats.is_repeated(8, 29_999));
}

/// Guards against memory that grows with the number of different errors.
#[test]
fn remembered_errors_are_bounded() {
    let mut repeats = Repeats::default();
    assert!((0..1_000).all(|hash| !repeats.is_repeated(hash, 0)));
    assert!(repeats.is_repeated(999, 1));
    assert!(!repeats.is_repeated(0, 1));
}
