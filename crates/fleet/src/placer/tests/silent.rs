//! Runs on workers that are cut off: what is known of them ends with the worker's latest report.

use bulrushlink_core::Span;

use super::{Bench, accelerators, step, task};
use crate::edge::{Fault, Output, RunReport, WorkerOp};
use crate::ids::Run;

/// Opens a placer with a run of ten seconds on one worker, which has just reported that it is at 10%.
fn bench_with_run() -> Bench {
    let mut bench = Bench::open(&[accelerators(8)]);
    bench.add_job(1, 1, crate::Step { estimate: Span(4_000), ..step(1, false, 8) });
    bench.pass();
    assert_eq!(bench.commit(), [task(1, 0)]);
    report(&mut bench, 1_000, 10);
    bench
}

fn report(bench: &mut Bench, clock: u64, percent: u32) {
    let run = RunReport { task: task(1, 0), run: Run(1), saved: String::new(), percent };
    bench.report(0, bench.now, clock, vec![run]);
}

/// Runs of a failure domain that had been cut off for 2 s were stopped as stalled, up to 92% done: their
/// progress was judged against the present time while no call to the workers had timed out
/// (`fleetbench run`, 350 workers, day `scale-1`: 78 runs).
#[test]
fn run_is_not_stalled_while_its_worker_is_unheard() {
    let mut bench = bench_with_run();
    bench.now += Span(20_000);
    bench.pass();
    bench.with(|p, ctx| p.stop_stalled_runs(ctx));
    assert_eq!(bench.closing(), 0);
    assert!(bench.placer.workers[0].faults.is_empty());
}

/// The state in a reply that was held up on its way, or read late by a daemon that was suspended, is as
/// old as the worker's clock in it shows.
#[test]
fn run_is_not_stalled_by_a_late_reply() {
    let mut bench = bench_with_run();
    bench.now += Span(20_000);
    report(&mut bench, 1_400, 10);
    bench.with(|p, ctx| p.stop_stalled_runs(ctx));
    assert_eq!(bench.closing(), 0);
}

/// A run that its worker reports at the same percentage for 3 s must still be stopped.
#[test]
fn run_without_progress_is_stalled_by_the_reports_of_its_worker() {
    let mut bench = bench_with_run();
    bench.now += Span(3_100);
    report(&mut bench, 4_100, 10);
    bench.with(|p, ctx| p.stop_stalled_runs(ctx));
    assert_eq!(bench.closing(), 1);
}

/// A reply that is read late must not make its worker look slow.
#[test]
fn late_reply_gives_no_sample_of_the_speed() {
    let mut bench = bench_with_run();
    let sent = bench.now;
    bench.now += Span(5_000);
    let run = RunReport { task: task(1, 0), run: Run(1), saved: String::new(), percent: 20 };
    bench.report(0, sent, 1_400, vec![run.clone()]);
    assert!(bench.placer.workers[0].slots[0].telling);
    bench.report(0, bench.now, 6_000, vec![run]);
    assert!(!bench.placer.workers[0].slots[0].telling);
}

/// Crashes of workers that were counted against a task were forgotten while the worker of its next run was
/// unheard: the run seemed to last longer than those before (storm 1012 of the lab: six starts of a task that
/// crashes its workers).
#[test]
fn crashes_are_remembered_while_the_worker_is_unheard() {
    let mut bench = bench_with_run();
    bench.placer.jobs[0].state.crashes = vec![super::crash_record(&[20], true)];
    bench.now += Span(20_000);
    bench.placer.clear_suspects();
    assert_eq!(bench.placer.jobs[0].state.crashes.len(), 1);
    report(&mut bench, 21_000, 60);
    bench.placer.clear_suspects();
    assert!(bench.placer.jobs[0].state.crashes.is_empty());
}

/// While its own lease may have expired, a placer must not grant leases that a successor would have to
/// wait for longer than for its own outage.
#[test]
fn placer_without_its_lease_grants_short_leases() {
    for (holds_lease, length) in [(true, 6_000), (false, 3_000)] {
        let mut bench = bench_with_run();
        bench.out.clear();
        bench.now += Span(500);
        bench.with(|p, ctx| {
            ctx.holds_lease = holds_lease;
            p.send_holds(ctx);
        });
        let granted = bench.out.iter().find_map(|output| match output {
            Output::Worker(_, call, _) => match call.op {
                WorkerOp::Hold { lease_end, .. } => lease_end,
                _ => None,
            },
            _ => None,
        });
        assert_eq!(granted, Some(1_500 + length), "holds its lease: {holds_lease}");
    }
}

/// The runs of a worker that had left were given up 8 s late: the end of the lease counted that was in a
/// hold to it which was never sent, as the connection could not be opened (known red: LOST on the day `mix`,
/// seed 935359136894, with leases of 10 s).
#[test]
fn lease_of_a_hold_that_was_not_sent_is_not_waited_for() {
    for (fault, waits) in [
        (Fault::NotDone("not sent".to_string()), false),
        (Fault::Unknown("no answer".to_string()), true),
    ] {
        let mut bench = bench_with_run();
        let granted = bench.placer.workers[0].promised;
        bench.now += Span(1_000);
        bench.pass();
        let call = bench.placer.workers[0].hold.expect("a hold in flight");
        assert!(bench.placer.workers[0].promised > granted);
        let id = bench.placer.workers[0].id().clone();
        bench.with(|p, ctx| p.hold_answered(ctx, &id, call.ordinal, None, Err(fault)));
        assert_eq!(bench.placer.workers[0].promised > granted, waits);
    }
}
