//! What is learned from the runs of a placer, and how it is used.

use bulrushlink_core::{RackId, Span};

use super::{Bench, accelerators, step};
use crate::edge::{EndCause, EndReport, WorkerReply};
use crate::ids::Run;
use crate::model::Step;
use crate::placer::pace::StepPace;
use crate::placer::worker::{HoldCall, Phase};
use crate::policy::{Shape, StepKey};
use crate::settings::Features;

/// A caller's estimate that is far too low: all runs of these tests do more work.
const ESTIMATE: Span = Span(2_000);

pub(super) fn short_step(tasks: u32, gang: bool) -> Step {
    Step { estimate: ESTIMATE, ..step(tasks, gang, 8) }
}

pub(super) fn learning_bench(workers: usize) -> Bench {
    let mut bench = Bench::open(&vec![accelerators(8); workers]);
    bench.features = Features { learned_times: true, ..Features::default() };
    bench
}

/// Returns the expected work of a step in milliseconds, and the number of samples.
pub(super) fn forecast(bench: &Bench, step: &Step) -> (u64, u32) {
    let workspace = &bench.catalog.workspaces[0].name;
    let key = StepKey { queue: "queue-1", workspace: Some(workspace), shape: Shape::of(step) };
    let forecast = bench.placer.times.forecast(bench.now, &key, step.estimate);
    (forecast.median.0, forecast.samples)
}

/// Lets the placer start what it can, and returns the workers that got a run each.
pub(super) fn start(bench: &mut Bench) -> Vec<usize> {
    let workers = bench.placer.workers.len();
    bench.show(vec![(1, accelerators(8)); workers]);
    bench.pass();
    bench.commit();
    (0..workers).filter(|at| !bench.placer.workers[*at].slots.is_empty()).collect()
}

/// Lets a worker report the end of its run.
pub(super) fn end(bench: &mut Bench, worker: usize, cause: EndCause, saved: &str) {
    let Some(slot) = bench.placer.workers[worker].slots.first() else { return };
    let (task, run, saved) = (slot.task, slot.run, saved.to_string());
    let number = bench.placer.workers[worker].heard + 1;
    let id = bench.placer.workers[worker].id().clone();
    let hold =
        HoldCall { ordinal: 1, sent: bench.now, wait: Span::ZERO, acked: 0, earlier: 0, grant: 0 };
    bench.placer.workers[worker].hold = Some(hold);
    let ended = vec![EndReport { number, task, run, cause, saved }];
    let lists = WorkerReply::Lists { born: Some(1), running: Vec::new(), ended };
    bench.with(|p, ctx| p.hold_answered(ctx, &id, 1, Some(0), Ok(lists)));
}

/// Runs a job of one task on the only worker that gets it, for the given time.
pub(super) fn run_job(
    bench: &mut Bench,
    id: u64,
    step: Step,
    ran: impl Fn(usize) -> u64,
    cause: EndCause,
) {
    bench.add_job(id, 1, step);
    for at in start(bench) {
        bench.now += Span(ran(at));
        end(bench, at, cause, "");
    }
}

/// Runs on workers of speeds 0.55, 1 and 1.2 do the same work in different times.
#[test]
fn worker_speeds_are_removed_from_what_is_learned() {
    let mut bench = learning_bench(3);
    let speeds = [0.55, 1.0, 1.2];
    for (worker, speed) in bench.placer.workers.iter_mut().zip(speeds) {
        // The rate of a worker of average speed is known exactly.
        let mut average = StepPace::default();
        average.learn(&mut Default::default(), 1.0);
        for _ in 0..50 {
            average.clone().learn(&mut worker.pace, speed);
        }
    }
    let mut used = [0; 3];
    for id in 1..=60 {
        // Each worker is the only one with room in turn.
        let only = id as usize % 3;
        for (at, worker) in bench.placer.workers.iter_mut().enumerate() {
            worker.shunned = if at == only { bench.now } else { bench.now + Span(100_000) };
        }
        used[only] += 1;
        run_job(
            &mut bench,
            id,
            short_step(1, false),
            |at| (10_000.0 / speeds[at]) as u64,
            EndCause::Done,
        );
    }
    assert_eq!(used, [20; 3]);
    let mean = speeds.iter().map(|s: &f64| s.ln()).sum::<f64>() / 3.0;
    let expected = 10_000.0 / mean.exp();
    let (median, _) = forecast(&bench, &short_step(1, false));
    assert!((median as f64 / expected - 1.0).abs() < 0.1, "{median}, expected {expected}");
}

/// A gang of eight counted as eight runs would outweigh single ones. Failed, lapsed and broken runs say
/// nothing about the work, and nothing is learned with the setting off.
#[test]
fn each_gang_gives_one_sample_and_a_broken_one_none() {
    let gang = short_step(4, true);
    for (cause, on, samples) in [
        (EndCause::Done, true, 1),
        (EndCause::Done, false, 0),
        (EndCause::Failed, true, 0),
        (EndCause::Lapsed, true, 0),
        (EndCause::Broken, true, 0),
    ] {
        let mut bench = learning_bench(4);
        bench.features.learned_times = on;
        bench.add_job(1, 1, gang.clone());
        let workers = start(&mut bench);
        assert_eq!(workers.len(), 4);
        bench.now += Span(10_000);
        workers.into_iter().for_each(|at| end(&mut bench, at, cause, ""));
        assert_eq!(forecast(&bench, &gang).1, samples, "{cause} {on}");
    }
}

/// The time from which an earlier placer's run is known says nothing about when it began.
#[test]
fn run_of_an_earlier_placer_gives_no_sample() {
    let mut bench = learning_bench(1);
    bench.add_job(1, 1, short_step(1, false));
    start(&mut bench);
    bench.placer.workers[0].slots[0].timed = false;
    bench.now += Span(10_000);
    end(&mut bench, 0, EndCause::Done, "");
    assert_eq!(forecast(&bench, &short_step(1, false)).1, 0);
}

/// Most of a task's work had been done before its last run, and what was saved counts as work. From a
/// checkpoint of unknown age, the run gives only a lower bound.
#[test]
fn saved_work_of_stopped_runs_is_added() {
    let mut bench = learning_bench(1);
    let saving = Step { saves: true, ..short_step(1, false) };
    for id in 1..=40 {
        bench.add_job(id, 1, saving.clone());
        start(&mut bench);
        bench.now += Span(9_000);
        let now = bench.now;
        bench.placer.workers[0].slots[0].moved = now;
        bench.with(|p, ctx| p.stop_runs(ctx, |_| true, "test"));
        end(&mut bench, 0, EndCause::Stopped, "nine");
        start(&mut bench);
        assert_eq!(bench.placer.workers[0].slots[0].run, Run(2));
        bench.now += Span(1_000);
        end(&mut bench, 0, EndCause::Done, "");
    }
    let (median, _) = forecast(&bench, &saving);
    assert!((9_500..=10_500).contains(&median), "{median}");
    // A checkpoint that an earlier placer's run has written.
    bench.add_job(41, 1, saving.clone());
    start(&mut bench);
    bench.with(|p, ctx| p.stop_runs(ctx, |_| true, "test"));
    end(&mut bench, 0, EndCause::Stopped, "some");
    let at = bench.placer.jobs.len() - 1;
    bench.placer.jobs[at].saved_work.clear();
    let before = bench.placer.times.version();
    start(&mut bench);
    bench.now += Span(100);
    end(&mut bench, 0, EndCause::Done, "");
    assert_eq!(bench.placer.times.version(), before, "a bound of 0.1 s says nothing");
}

/// Tasks away from their data take three times as long, which says nothing about their work.
#[test]
fn distance_from_the_data_is_removed() {
    let mut bench = learning_bench(1);
    let rack: RackId = "rack-1".parse().expect("valid name");
    let far = Step { near: Some(rack), ..short_step(1, false) };
    for id in 1..=40 {
        run_job(&mut bench, id, far.clone(), |_| 30_000, EndCause::Done);
    }
    let (median, _) = forecast(&bench, &far);
    assert!((9_500..=10_500).contains(&median), "{median}");
}

/// A run that had ended long before the placer heard of it seemed to have run until then.
#[test]
fn end_that_is_heard_late_gives_no_sample() {
    let mut bench = learning_bench(1);
    bench.add_job(1, 1, short_step(1, false));
    start(&mut bench);
    bench.placer.workers[0].silent = 1;
    bench.now += Span(10_000);
    end(&mut bench, 0, EndCause::Done, "");
    assert!(bench.placer.jobs[0].is_over());
    assert_eq!(forecast(&bench, &short_step(1, false)).1, 0);
}

/// Jobs of a caller whose estimates are ten times too low, and whose jobs take longer than others', went
/// first as the cheapest ones. With the setting off the order by estimates remains.
#[test]
fn cheapest_work_by_learned_times_goes_first() {
    for (on, first) in [(true, 102), (false, 101)] {
        let mut bench = learning_bench(1);
        bench.features.learned_times = on;
        let (short, long) = (short_step(1, false), Step { gang: true, ..short_step(1, false) });
        for id in (1..=80).step_by(2) {
            run_job(&mut bench, id, long.clone(), |_| 20_000, EndCause::Done);
            run_job(&mut bench, id + 1, short.clone(), |_| 4_000, EndCause::Done);
        }
        bench.add_job(101, 1, Step { estimate: Span(1_900), ..long });
        bench.add_job(102, 1, short);
        start(&mut bench);
        assert_eq!(bench.placer.workers[0].slots[0].task.job.0, first, "{on}");
    }
}

/// A run that would have ended within half a second was stopped for an urgent gang: before 30% of
/// progress, and for want of reports of it, nothing told that it was about to end.
#[test]
fn run_about_to_end_by_learned_times_is_not_stopped() {
    for (on, ran, stopped) in [(true, 9_800, 0), (true, 4_000, 1), (false, 9_800, 1)] {
        let mut bench = learning_bench(1);
        bench.features.learned_times = on;
        for id in 1..=40 {
            run_job(&mut bench, id, short_step(1, false), |_| 10_000, EndCause::Done);
        }
        bench.add_job(41, 1, short_step(1, false));
        start(&mut bench);
        let now = bench.now;
        let slot = &mut bench.placer.workers[0].slots[0];
        (slot.phase, slot.since) = (Phase::Running, now);
        bench.now += Span(ran);
        bench.add_job(50, 0, short_step(1, true));
        start(&mut bench);
        assert_eq!(bench.closing(), stopped, "{on} {ran}");
    }
}

/// What callers are owed depends on their own estimates, whatever has been learned.
#[test]
fn allowed_time_stays_on_the_estimate() {
    let mut bench = learning_bench(1);
    for id in 1..=40 {
        run_job(&mut bench, id, short_step(1, false), |_| 20_000, EndCause::Done);
    }
    assert!(forecast(&bench, &short_step(1, false)).0 > 15_000);
    bench.add_job(41, 1, short_step(1, false));
    let job = bench.placer.jobs.last().expect("the job was added");
    assert_eq!(job.allowed_time(&job.accepted_queue), Span(7_000));
}
