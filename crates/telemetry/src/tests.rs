use crate::budget::Budget;

#[test]
fn a_flood_is_cut_and_counted() {
    let mut budget = Budget::default();
    let written = (0..5_000).filter(|_| budget.take(0).is_some()).count();
    assert_eq!(written, 1_000);
    // 100 ms earn 20 lines; the first of them tells what was dropped.
    assert_eq!(budget.take(100), Some(4_000));
    let more = (0..100).filter(|_| budget.take(100).is_some()).count();
    assert_eq!(more, 19);
}

#[test]
fn a_line_that_was_not_written_is_counted_with_the_next() {
    let mut budget = Budget::default();
    let dropped = budget.take(0).expect("the first line");
    budget.drop_line(dropped);
    assert_eq!(budget.take(0), Some(1));
}
