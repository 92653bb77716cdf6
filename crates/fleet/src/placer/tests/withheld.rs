//! Starts whose worker, queue or lease changes while their commit is in flight.

use bulrushlink_core::Span;

use super::{Bench, accelerators, entry, step, task};
use crate::edge::{RunReport, WorkerEntry, WorkerState};
use crate::ids::{Rev, Run};
use crate::model::Step;

/// Returns an entry with labels.
fn labelled(number: u64, born: u64, labels: &[&str]) -> WorkerEntry {
    let labels = labels.iter().map(ToString::to_string).collect();
    WorkerEntry { labels, ..entry(number, born, accelerators(8)) }
}

/// Opens a placer with one worker, which has the label `a`, and plans the starts of a job.
fn planned(step: Step) -> Bench {
    let mut bench = Bench::open(&[accelerators(8)]);
    bench.list(vec![labelled(0, 1, &["a"])]);
    bench.add_job(1, 1, step);
    bench.pass();
    assert_eq!(bench.sent_commits(), 1);
    bench
}

/// Lets the worker come back as another boot with this entry, and report to a hold of its own that nothing runs
/// there. The entry is read before the first report, or after it.
fn reboot(bench: &mut Bench, entry: WorkerEntry, entry_first: bool) {
    if entry_first {
        bench.list(vec![entry.clone()]);
    }
    let born = entry.born;
    bench.with(|p, ctx| {
        if p.workers[0].boot.born != born {
            p.handle_reboot(ctx, 0, born);
        }
    });
    bench.placer.workers[0].fenced = true;
    bench.placer.workers[0].clock = Some((0, bench.now));
    bench.list(vec![entry]);
}

fn requiring(label: &str, step: Step) -> Step {
    Step { label: Some(label.to_string()), ..step }
}

/// A planned start that requires a label was sent to the worker's next boot, which lacks the label, after the placer
/// had read its entry and heard from it (review case 14).
#[test]
fn start_is_withheld_from_a_boot_without_the_required_label() {
    for (gang, entry_first) in [(false, false), (false, true), (true, false), (true, true)] {
        let mut bench = planned(requiring("a", step(1, gang, 1)));
        reboot(&mut bench, labelled(0, 2, &["b"]), entry_first);
        assert_eq!(bench.commit(), []);
        assert_eq!(bench.placer.workers[0].slots.len(), 0);
        // It starts once a worker has the label.
        bench.list(vec![labelled(0, 2, &["a", "b"])]);
        bench.pass();
        assert_eq!(bench.commit(), [task(1, 0)]);
    }
}

/// A start must go to the next boot if that boot is eligible as well.
#[test]
fn start_is_sent_to_a_boot_with_the_required_label() {
    let mut bench = planned(requiring("a", step(1, false, 1)));
    reboot(&mut bench, labelled(0, 2, &["a"]), false);
    assert_eq!(bench.commit(), [task(1, 0)]);
}

/// The worker loses the label, or moves to another endpoint, without a reboot.
#[test]
fn start_is_withheld_if_the_entry_of_the_same_boot_has_changed() {
    let moved = WorkerEntry { endpoint: "review".to_string(), ..labelled(0, 1, &["a"]) };
    for entry in [labelled(0, 1, &["b"]), moved] {
        let mut bench = planned(requiring("a", step(1, false, 1)));
        bench.list(vec![entry]);
        assert_eq!(bench.commit(), []);
    }
}

/// A planned start was sent to the worker's next boot although that serves another endpoint, or is too small.
#[test]
fn start_is_withheld_from_a_boot_of_another_endpoint_or_capacity() {
    let other = WorkerEntry { endpoint: "review".to_string(), ..entry(0, 2, accelerators(8)) };
    let draining = WorkerEntry { state: WorkerState::Draining, ..entry(0, 2, accelerators(8)) };
    for entry in [other, draining, entry(0, 2, accelerators(3))] {
        let mut bench = planned(step(1, false, 4));
        reboot(&mut bench, entry, false);
        assert_eq!(bench.commit(), []);
    }
}

/// All members of a gang must be withheld if the worker of one of them has lost the label.
#[test]
fn gang_is_withheld_if_the_worker_of_one_member_has_lost_the_label() {
    let mut bench = Bench::open(&[accelerators(8), accelerators(8)]);
    bench.list(vec![labelled(0, 1, &["a"]), labelled(1, 1, &["a"])]);
    bench.add_job(1, 1, requiring("a", step(2, true, 8)));
    bench.pass();
    bench.list(vec![labelled(0, 1, &["a"]), labelled(1, 1, &["b"])]);
    assert_eq!(bench.commit(), []);
    assert!(bench.placer.workers.iter().all(|w| w.slots.is_empty()));
}

/// The configuration moved the queue to another endpoint between the decision and the start, which was sent to a
/// worker of the former one.
#[test]
fn start_is_withheld_if_its_queue_has_moved_to_another_endpoint() {
    let mut bench = planned(step(1, false, 1));
    bench.catalog.queues[1].endpoint = "review".to_string();
    bench.catalog.rev = Rev(2);
    assert_eq!(bench.commit(), []);
}

/// The next boot reported a run of the same step that no record names: with the planned start, more tasks of the step
/// than allowed would have run on the worker.
#[test]
fn start_is_withheld_if_the_worker_has_another_run_of_its_step() {
    let mut bench = planned(Step { per_worker: Some(1), ..step(1, false, 1) });
    let now = bench.now;
    let late = RunReport { task: task(1, 0), run: Run(9), saved: String::new(), percent: 0 };
    bench.report(0, now, 10, vec![late]);
    assert_eq!(bench.commit(), []);
}

/// A leader that had been frozen sent the starts whose commit had been answered meanwhile, when its successor could
/// count their leases as ended.
#[test]
fn start_is_withheld_once_leases_may_not_be_extended() {
    let mut bench = planned(step(1, false, 1));
    bench.extends_leases = false;
    assert_eq!(bench.commit(), []);
    bench.extends_leases = true;
    bench.now += Span(10);
    bench.pass();
    assert_eq!(bench.commit(), [task(1, 0)]);
}
