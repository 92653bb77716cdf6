//! Entries that look like those of workers and come from another writer.

use bulrushlink_core::Span;

use super::{Bench, accelerators, step, task};
use crate::edge::WorkerReply;

/// An entry with an absurd birth time under the key of a worker made all later entries of that worker count
/// as older: it got no runs until another daemon became the placer.
#[test]
fn worker_is_used_again_after_an_entry_of_a_later_boot_that_never_replied() {
    let mut bench = Bench::open(&[accelerators(8)]);
    bench.show(vec![(u64::MAX, accelerators(8))]);
    bench.now += Span(500);
    bench.show(vec![(1, accelerators(8))]);
    bench.report(0, bench.now, 1_000, Vec::new());
    bench.add_job(1, 1, step(1, false, 8));
    bench.pass();
    assert_eq!(bench.commit(), [task(1, 0)]);
}

/// Guards against a late write of an earlier boot's entry that takes a worker back to that boot.
#[test]
fn entry_of_an_earlier_boot_is_ignored_once_the_later_one_has_replied() {
    let mut bench = Bench::open(&[accelerators(8)]);
    bench.show(vec![(2, accelerators(8))]);
    let lists = WorkerReply::Lists { born: Some(2), running: Vec::new(), ended: Vec::new() };
    bench.answer_hold(0, bench.now, Some(50), lists);
    bench.show(vec![(1, accelerators(4))]);
    assert_eq!(bench.placer.workers[0].boot.born, 2);
    assert_eq!(bench.placer.workers[0].capacity(), accelerators(8));
}
