use super::{Refused, refused};

/// Guards against jobs that are accepted without a bound, against large ones that keep small ones out, and against
/// a refusal that changes with each job around the limit.
#[test]
fn large_jobs_are_refused_before_small_ones() {
    let mut level = Refused::None;
    let mut steps = Vec::new();
    for held in (0..=1_200).chain((0..1_200).rev()) {
        let next = refused(held, 1_000, level);
        if next != level {
            steps.push((held, next));
        }
        level = next;
    }
    let expected =
        [(500, Refused::Large), (1_000, Refused::All), (899, Refused::Large), (449, Refused::None)];
    assert_eq!(steps, expected);
    assert_eq!(refused(u64::MAX, u64::MAX - 1, Refused::None), Refused::All);
}
