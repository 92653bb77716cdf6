use super::*;

#[test]
fn the_rate_refuses_until_its_window_is_over() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut rate = Rate { limit: 2, start, used: 0 };
    assert_eq!(rate.over(at(0)), None);
    assert_eq!(rate.over(at(300)), None);
    assert_eq!(rate.over(at(400)), Some(Span(600)));
    assert_eq!(rate.over(at(1_000)), None);
}
