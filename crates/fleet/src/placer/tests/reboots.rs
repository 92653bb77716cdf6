//! Workers that boot again under their identifiers: calls that were sent to an earlier boot and reach the next
//! one, and runs that a record places on another boot than the registered one.

use bulrushlink_core::{Moment, Span};

use super::{Bench, accelerators, entry, step, task};
use crate::edge::{EndCause, EndReport, Output, RunReport, StoreReply, WorkerOp, WorkerReply};
use crate::ids::{Boot, JobId, Rev, Run, TaskId};
use crate::model::Step;
use crate::placer::Stage;
use crate::placer::worker::{Phase, Slot};
use crate::record::{Item, encode, keys};

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

/// The worker had rebooted without the placer's knowledge and had started and ended a run. The next hold repeated the
/// acknowledgement of the earlier boot's ends, so the worker forgot the end, and the task ran again (soak, seed 12).
#[test]
fn acknowledgement_is_not_repeated() {
    let mut bench = bench_with_start();
    bench.placer.workers[0].slots.take();
    bench.add_job(2, 1, step(1, false, 8));
    bench.pass();
    bench.commit();
    bench.placer.workers[0].slots.iter_mut().for_each(|s| s.phase = Phase::Running);
    bench.placer.workers[0].hold = None;
    assert_eq!(send_hold(&mut bench), Some(0));
}

/// An acknowledgement that may have been lost must not be sent to a worker that has not replied since: its next boot
/// would take it for its own ends.
#[test]
fn acknowledgement_waits_until_a_silent_worker_has_replied() {
    let mut bench = bench_with_start();
    bench.placer.workers[0].slots.iter_mut().for_each(|s| s.phase = Phase::Running);
    bench.placer.workers[0].told = ENDS - 1;
    bench.placer.workers[0].silent = 1;
    assert_eq!(send_hold(&mut bench), Some(0));
    let running = RunReport { task: task(1, 0), run: Run(1), saved: String::new(), percent: 1 };
    answer(&mut bench, 1, vec![running], Vec::new());
    assert_eq!(send_hold(&mut bench), Some(ENDS));
}

/// A start under way may be carried out by the next boot, and its end be forgotten by an acknowledgement that arrives
/// after it (soak, seed 12). The worker repeats its ends at once, so the holds in the meantime are spaced out.
#[test]
fn acknowledgement_waits_for_starts_under_way() {
    let mut bench = bench_with_start();
    bench.placer.workers[0].told = ENDS - 1;
    assert_eq!(send_hold(&mut bench), Some(0));
    answer(&mut bench, 1, Vec::new(), Vec::new());
    assert_eq!(send_hold(&mut bench), None);
    bench.now += Span(50);
    assert_eq!(send_hold(&mut bench), Some(0));
    bench.placer.workers[0].hold = None;
    let closing = |answered| Phase::Closing { sent: None, answered, next: Moment(0) };
    bench.placer.workers[0].slots.iter_mut().for_each(|s| s.phase = closing(None));
    assert_eq!(send_hold(&mut bench), Some(0));
    bench.placer.workers[0].hold = None;
    bench.placer.workers[0].slots.iter_mut().for_each(|s| s.phase = closing(Some(Moment(0))));
    assert_eq!(send_hold(&mut bench), Some(ENDS));
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

/// Opens a placer that takes over. The store lists each worker with the given boot, or not at all, and the state
/// of job 1 places its tasks on the given workers and boots.
fn takeover(step: Step, listed: &[Option<u64>], placed: &[(u64, u64)]) -> Bench {
    let mut bench = Bench::open(&vec![accelerators(8); listed.len()]);
    bench.placer.workers.clear();
    bench.placer.stage = Stage::States;
    let entries = (0..).zip(listed);
    let entries = entries.filter_map(|(n, born)| Some(entry(n, (*born)?, accelerators(8))));
    bench.list(entries.collect());
    bench.add_job(1, 1, step);
    let mut job = bench.placer.jobs[0].clone();
    job.open_rounds(1_800_000_000_000, u64::MAX);
    for (index, (worker, born)) in (0..).zip(placed) {
        let boot = Boot { worker: entry(*worker, 1, accelerators(8)).id, born: *born };
        job.plan_start(&task(1, index), Run(1), boot);
    }
    let value = encode(&job.state).expect("the state can be encoded");
    let item = Item { key: keys::state(JobId(1)), value, rev: Rev(2) };
    bench.with(|p, ctx| p.states_page_read(ctx, Ok(StoreReply::Page(vec![item], false, Rev(2)))));
    bench
}

/// Lets the placer send its holds, and a worker answer the one that it got as the given boot.
fn hear(bench: &mut Bench, at: usize, born: u64, running: &[TaskId]) {
    bench.placer.workers[at].hold = None;
    bench.placer.workers[at].hold_next = bench.now;
    bench.with(|p, ctx| p.send_holds(ctx));
    let id = bench.placer.workers[at].id().clone();
    let ordinal = bench.placer.workers[at].hold.expect("a hold in flight").ordinal;
    let report =
        |task: &TaskId| RunReport { task: *task, run: Run(1), saved: String::new(), percent: 10 };
    let running = running.iter().map(report).collect();
    let lists = WorkerReply::Lists { born: Some(born), running, ended: Vec::new() };
    bench.with(|p, ctx| p.hold_answered(ctx, &id, ordinal, Some(5), Ok(lists)));
}

/// Returns the phases of the runs on a worker.
fn phases(bench: &Bench, at: usize) -> Vec<Phase> {
    bench.placer.workers[at].slots.iter().map(|s| s.phase).collect()
}

/// The leader had not read the entry of a worker's next boot when it sent a start there, and ended. Its successor
/// took the run for lost with the recorded boot and started the task elsewhere, while the run was at work on the
/// next boot (review case 11).
#[test]
fn run_recorded_on_an_earlier_boot_is_kept_until_the_next_boot_has_reported() {
    let mut bench = takeover(step(1, false, 8), &[Some(2), Some(1)], &[(0, 1)]);
    hear(&mut bench, 1, 1, &[]);
    bench.pass();
    assert_eq!(bench.commit(), []);
    assert_eq!(phases(&bench, 0), [Phase::Unheard]);
    hear(&mut bench, 0, 2, &[task(1, 0)]);
    bench.pass();
    assert_eq!((bench.commit(), bench.closing()), (vec![], 0));
    assert_eq!(phases(&bench, 0), [Phase::Running]);
    // Its end counts, and the task isn't started again.
    bench.placer.workers[0].hold = None;
    bench.placer.workers[0].hold_next = bench.now;
    bench.with(|p, ctx| p.send_holds(ctx));
    let (task, run, cause) = (task(1, 0), Run(1), EndCause::Done);
    let end = EndReport { number: 1, task, run, cause, saved: String::new() };
    answer(&mut bench, 2, Vec::new(), vec![end]);
    assert!(bench.placer.jobs[0].is_over());
}

/// A run that the next boot doesn't have must be placed again as soon as that boot has reported.
#[test]
fn run_recorded_on_an_earlier_boot_is_placed_again_once_the_next_boot_reports_without_it() {
    let mut bench = takeover(step(1, false, 8), &[Some(2)], &[(0, 1)]);
    hear(&mut bench, 0, 2, &[]);
    bench.pass();
    assert_eq!(bench.commit(), [task(1, 0)]);
}

/// The former leader had learned of the next boot from its reply, and had recorded the run there, before the entry
/// of that boot was in the store. The successor, which saw the earlier entry, took the run for lost.
#[test]
fn run_recorded_on_a_boot_that_is_not_registered_yet_is_kept() {
    let mut bench = takeover(step(1, false, 8), &[Some(1), Some(1)], &[(0, 2)]);
    hear(&mut bench, 1, 1, &[]);
    bench.pass();
    assert_eq!(bench.commit(), []);
    // The entry of the earlier boot doesn't open the worker.
    hear(&mut bench, 0, 2, &[task(1, 0)]);
    assert!(!bench.placer.workers[0].accepts_runs(bench.now));
    bench.show(vec![(2, accelerators(8)), (1, accelerators(8))]);
    bench.pass();
    assert_eq!((bench.commit(), bench.closing()), (vec![], 0));
    assert_eq!(phases(&bench, 0), [Phase::Running]);
}

/// Two records named different boots of a worker without an entry: the run on the other one was taken for lost.
#[test]
fn runs_recorded_on_two_boots_of_a_worker_without_an_entry_are_kept() {
    for placed in [[(0, 1), (0, 2)], [(0, 2), (0, 1)]] {
        let mut bench = takeover(step(2, false, 4), &[None, Some(1)], &placed);
        hear(&mut bench, 1, 1, &[]);
        bench.pass();
        assert_eq!(bench.commit(), []);
        assert_eq!(phases(&bench, 0), [Phase::Unheard; 2]);
    }
}

/// A gang with one member on a boot that has been replaced was stopped and started again, while all of its members
/// were at work.
#[test]
fn gang_with_a_member_on_an_earlier_boot_is_kept() {
    let mut bench = takeover(step(2, true, 8), &[Some(2), Some(1)], &[(0, 1), (1, 1)]);
    hear(&mut bench, 0, 2, &[task(1, 0)]);
    hear(&mut bench, 1, 1, &[task(1, 1)]);
    bench.pass();
    assert_eq!((bench.commit(), bench.closing()), (vec![], 0));
    // Without the member it is stopped.
    let mut bench = takeover(step(2, true, 8), &[Some(2), Some(1)], &[(0, 1), (1, 1)]);
    hear(&mut bench, 0, 2, &[]);
    hear(&mut bench, 1, 1, &[task(1, 1)]);
    assert_eq!(bench.closing(), 1);
}

/// The crash of the earlier boot was counted against a run that was at work on the next one, or had ended there as done,
/// and a job whose tasks were sound was given up (soak, seed 6).
#[test]
fn crash_is_not_counted_against_a_run_that_the_next_boot_has() {
    for (is_there, is_taken_over) in [(true, true), (true, false), (false, true), (false, false)] {
        let mut bench = if is_taken_over {
            takeover(step(1, false, 8), &[Some(2)], &[(0, 1)])
        } else {
            let mut bench = takeover(step(1, false, 8), &[Some(1)], &[(0, 1)]);
            hear(&mut bench, 0, 1, &[task(1, 0)]);
            bench.show(vec![(2, accelerators(8))]);
            bench
        };
        assert_eq!(bench.placer.jobs[0].state.crashes.len(), 0);
        let running = if is_there { vec![task(1, 0)] } else { Vec::new() };
        hear(&mut bench, 0, 2, &running);
        let counted = bench.placer.jobs[0].state.crashes.len();
        assert_eq!(counted, usize::from(!is_there), "{is_there} {is_taken_over}");
    }
}

/// A run on a next boot that never replies must count as lost only after the leases that begin on that boot when
/// a start arrives there.
#[test]
fn run_recorded_on_an_earlier_boot_is_released_after_the_longest_lease() {
    let mut bench = takeover(step(1, false, 8), &[Some(2), Some(1)], &[(0, 1)]);
    hear(&mut bench, 1, 1, &[]);
    let restored = bench.now;
    while bench.now.since(restored) < Span(11_000) {
        bench.now += Span(500);
        bench.show(vec![(2, accelerators(8)), (1, accelerators(8))]);
        bench.with(|p, ctx| p.review(ctx));
        assert_eq!(phases(&bench, 0), [Phase::Unheard]);
    }
    bench.now += Span(1_000);
    bench.with(|p, ctx| p.review(ctx));
    assert_eq!(phases(&bench, 0), []);
}

/// An entry of another writer had named a later boot than the one that replies, and the runs had been recorded
/// there: the successor ignored all replies of the worker.
#[test]
fn registered_boot_that_replies_gives_the_recorded_one_up() {
    let mut bench = takeover(step(1, false, 8), &[Some(1)], &[(0, 9)]);
    hear(&mut bench, 0, 1, &[task(1, 0)]);
    hear(&mut bench, 0, 1, &[task(1, 0)]);
    assert_eq!(phases(&bench, 0), [Phase::Running]);
    assert_eq!(bench.placer.workers[0].boot.born, 1);
}
