//! Entries that look like those of workers and come from another writer.

use proptest::prelude::*;

use bulrushlink_core::Span;

use super::{Bench, accelerators, entry, step, task};
use crate::edge::{StartRefusal, StoreReply, WorkerEntry, WorkerReply, WorkerState};
use crate::model::Resources;
use crate::settings::Features;

/// Lets the placer read the entries of its workers and further ones.
fn show_with(bench: &mut Bench, odd: &[WorkerEntry]) {
    let known = bench.placer.workers.iter().filter_map(|w| w.entry.clone());
    let mut entries: Vec<WorkerEntry> = odd.iter().cloned().chain(known).collect();
    entries.sort_by(|a, b| a.id.cmp(&b.id));
    entries.dedup_by(|a, b| a.id == b.id);
    let now = bench.now;
    bench.placer.reading.under_way = Some((now.0, now));
    bench.with(|p, ctx| p.workers_read(ctx, now.0, Ok(StoreReply::Workers(entries, 0))));
}

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

/// Another worker replies at the address of an odd entry. Guards against a worker whose runs are given up
/// for an entry that has its address.
#[test]
fn entry_with_the_address_of_a_worker_leaves_its_runs() {
    let mut bench = Bench::open(&[accelerators(8)]);
    bench.features = Features { breaker: true, ..Features::default() };
    bench.add_job(1, 1, step(1, false, 8));
    bench.pass();
    assert_eq!(bench.commit(), [task(1, 0)]);
    show_with(&mut bench, &[entry(9, u64::MAX, accelerators(8))]);
    let other = WorkerReply::Refused(StartRefusal::OtherBoot);
    bench.answer_hold(1, bench.now, None, other);
    bench.pass();
    assert_eq!(bench.placer.workers[0].slots.len(), 1);
    assert!(bench.placer.workers[0].accepts_runs(bench.now));
    assert!(bench.placer.workers[1].replaced);
}

fn odd_entry() -> impl Strategy<Value = WorkerEntry> {
    let number = || prop_oneof![Just(0), Just(1), Just(u64::MAX), 0..u64::from(u32::MAX)];
    let born = prop_oneof![Just(0), Just(1), Just(u64::MAX), any::<u64>()];
    let notice = prop::option::of(prop_oneof![Just(0), Just(u64::MAX), any::<u64>()]);
    let endpoint = prop_oneof![Just("dispatch"), Just("other"), Just("")];
    // The numbers of the workers themselves are among them.
    (0..6_u64, born, (number(), number(), number()), notice, any::<bool>(), endpoint).prop_map(
        |(id, born, (cpu, memory, accelerators), notice, draining, endpoint)| WorkerEntry {
            state: if draining { WorkerState::Draining } else { WorkerState::Ready },
            notice: notice.map(Span).filter(|_| draining),
            endpoint: endpoint.to_string(),
            ..entry(id, born, Resources { cpu, memory, accelerators })
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    /// Guards against figures of an entry that end the process, checks for overflow being on in tests, or
    /// keep a worker that the placer had lost sight of from being used again.
    #[test]
    fn odd_entries_end_nothing_and_leave_the_workers_usable(
        rounds in prop::collection::vec(prop::collection::vec(odd_entry(), 0..4), 1..6)
    ) {
        let mut bench = Bench::open(&[accelerators(8), accelerators(8)]);
        bench.features = Features {
            learned_times: true, admission: true, breaker: true, timely_preemption: true,
        };
        bench.add_job(1, 1, step(20, false, 1));
        bench.add_job(2, 0, step(2, true, 8));
        for odd in &rounds {
            bench.now += Span(500);
            show_with(&mut bench, odd);
            bench.with(|p, ctx| p.review(ctx));
            bench.pass();
            bench.commit();
        }
        bench.now += Span(500);
        bench.show(vec![(1, accelerators(8)), (1, accelerators(8))]);
        for at in 0..2 {
            bench.report(at, bench.now, 100_000, Vec::new());
            let worker = &bench.placer.workers[at];
            prop_assert!(worker.accepts_runs(bench.now), "{worker:?}");
        }
    }
}
