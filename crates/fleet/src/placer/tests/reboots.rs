//! Holds that were sent to an earlier boot of a worker and are answered by the next one.

use bulrushlink_core::Span;

use super::{Bench, accelerators, step, task};
use crate::edge::{EndCause, EndReport, Output, RunReport, WorkerOp, WorkerReply};
use crate::ids::Run;
use crate::placer::worker::{Phase, Slot};

/// Number of ends that the first boot has reported.
const ENDS: u64 = 40;

/// Opens a placer that has sent a start, to a worker with 40 acknowledged ends.
fn bench_with_start() -> Bench {
    let mut bench = Bench::open(&[accelerators(8)]);
    bench.add_job(1, 1, step(1, false, 8));
    bench.pass();
    assert_eq!(bench.commit(), [task(1, 0)]);
    bench.placer.fences = bench.placer.workers[0].fence;
    let worker = &mut bench.placer.workers[0];
    (worker.acked, worker.told, worker.heard) = (ENDS, ENDS, ENDS);
    (worker.hold, worker.hold_next) = (None, bench.now);
    bench
}

/// Sends the next hold and returns the acknowledgement in it, if one was sent.
fn send_hold(bench: &mut Bench) -> Option<u64> {
    bench.out.clear();
    bench.with(|p, ctx| p.send_holds(ctx));
    sent_ack(bench)
}

/// Returns the acknowledgement in the hold that was sent, if any.
fn sent_ack(bench: &Bench) -> Option<u64> {
    bench.out.iter().find_map(|output| match output {
        Output::Worker(_, call, _) => match call.op {
            WorkerOp::Hold { acked, .. } => Some(acked),
            _ => None,
        },
        _ => None,
    })
}

/// Lets a boot of the worker answer the hold in flight.
fn answer(bench: &mut Bench, born: u64, running: Vec<RunReport>, ended: Vec<EndReport>) {
    let id = bench.placer.workers[0].id().clone();
    let ordinal = bench.placer.workers[0].hold.expect("a hold in flight").ordinal;
    let lists = WorkerReply::Lists { born: Some(born), running, ended };
    bench.with(|p, ctx| p.hold_answered(ctx, &id, ordinal, Some(5), Ok(lists)));
}

/// The hold has the fence of the earlier boot, so a start to that boot which is still under way may reach the
/// new one after the reply. The run was released, and its task started elsewhere.
#[test]
fn reply_of_a_new_boot_to_an_earlier_hold_neither_fences_it_nor_releases_runs() {
    let mut bench = bench_with_start();
    assert!(send_hold(&mut bench).is_some());
    answer(&mut bench, 2, Vec::new(), Vec::new());
    let worker = &bench.placer.workers[0];
    assert!(!worker.fenced);
    assert_eq!(worker.slots.iter().map(|s| s.phase).collect::<Vec<_>>(), [Phase::Unheard]);
    // The next hold has the new fence. The run did not start before it, and can't start after it.
    assert_eq!(send_hold(&mut bench), Some(0));
    answer(&mut bench, 2, Vec::new(), Vec::new());
    let worker = &bench.placer.workers[0];
    assert!(worker.fenced && worker.slots.is_empty());
}

/// A worker numbers its ends from 1 in each boot. The acknowledgement of the earlier boot's ends was taken to
/// cover those of the new one, which stayed unacknowledged until there were as many.
#[test]
fn ends_of_a_new_boot_are_acknowledged() {
    let mut bench = bench_with_start();
    send_hold(&mut bench);
    answer(&mut bench, 2, Vec::new(), Vec::new());
    assert_eq!(bench.placer.workers[0].told, 0);
    send_hold(&mut bench);
    let end = EndReport {
        number: 1,
        task: task(1, 0),
        run: Run(1),
        cause: EndCause::Done,
        saved: String::new(),
    };
    answer(&mut bench, 2, Vec::new(), vec![end]);
    bench.pass();
    bench.commit();
    bench.pass();
    assert_eq!(sent_ack(&bench), Some(1));
}

/// A stop that the earlier boot has answered says nothing about the next one, which a late start may reach: the
/// run must be kept until the new boot has answered a stop that has its own fence.
#[test]
fn stop_of_an_earlier_boot_does_not_release_the_run_on_the_next_one() {
    let mut bench = bench_with_start();
    let (now, fence) = (bench.now, bench.placer.workers[0].fence);
    let closing = |answered| Phase::Closing { sent: None, answered, next: now };
    bench.placer.workers[0].slots.iter_mut().for_each(|s| s.phase = closing(Some(now)));
    bench.now += Span(10);
    send_hold(&mut bench);
    answer(&mut bench, 2, Vec::new(), Vec::new());
    send_hold(&mut bench);
    answer(&mut bench, 2, Vec::new(), Vec::new());
    let worker = &bench.placer.workers[0];
    assert!(worker.fence > fence && worker.fenced);
    let unanswered = |s: &Slot| matches!(s.phase, Phase::Closing { answered: None, .. });
    assert_eq!(worker.slots.iter().filter(|s| unanswered(s)).count(), 1);
}
