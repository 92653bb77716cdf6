//! The forecast for admission, from the placer's state to its writes.

use bulrushlink_core::Span;

use super::{Bench, accelerators, queue, step};
use crate::edge::{Commit, Fault, Output, StoreOp, StoreReply, Subject};
use crate::ids::{JobId, Rev};
use crate::model::JobSpec;
use crate::policy::admission::{Accuracy, LoadForecast, Submission, forecast_wait};
use crate::record::{Item, JobRecord, decode, encode, keys};
use crate::settings::Features;

/// Opens a placer with two workers that are full for a minute, and a gang that waits for them.
fn bench_with_backlog(admission: bool) -> Bench {
    let mut bench = Bench::open(&[accelerators(8), accelerators(8)]);
    bench.features = Features { admission, ..Features::default() };
    bench.add_job(1, 1, step(16, false, 1));
    bench.pass();
    bench.commit();
    bench.add_job(2, 1, step(2, true, 8));
    bench
}

/// Lets some time pass, with a read of the workers in each 100 ms, and returns the writes of the forecast.
fn writes(bench: &mut Bench, millis: u64, answer: Option<StoreReply>) -> Vec<(Commit, u64)> {
    let capacities = vec![(1, accelerators(8)); bench.placer.workers.len()];
    let mut found = Vec::new();
    for _ in 0..millis / 100 {
        bench.now += Span(90);
        bench.show(capacities.clone());
        bench.out.clear();
        bench.pass();
        let mut sent = bench.out.iter().filter_map(|o| match o {
            Output::Store(_, StoreOp::Commit(commit), _) => Some(commit.clone()),
            _ => None,
        });
        let load = sent.rfind(|c| c.writes.iter().any(|w| w.0 == keys::LOAD));
        if let Some(commit) = load {
            found.push((commit, bench.now.0));
            let ordinal = bench.placer.forecaster.ordinal;
            let lost = Fault::Unknown("no answer in time".to_string());
            let reply = answer.clone().ok_or(lost);
            bench.placer.forecast_answered(ordinal, reply);
        }
    }
    found
}

fn committed() -> Option<StoreReply> {
    Some(StoreReply::Committed(Rev(9)))
}

/// Guards against writes that another placer's epoch doesn't stop, against more than one a second, and against a
/// forecast that is not renewed before the daemons stop to rely on it, or outlasts the work.
#[test]
fn forecast_is_written_while_work_waits_and_once_more_when_none_does() {
    let mut bench = bench_with_backlog(true);
    let found = writes(&mut bench, 6_000, committed());
    let times: Vec<u64> = found.iter().map(|(_, at)| *at).collect();
    assert!(times.len() >= 3, "{times:?}");
    assert!(times.windows(2).all(|w| (1_000..=2_100).contains(&(w[1] - w[0]))), "{times:?}");
    for (commit, _) in &found {
        assert_eq!(commit.expect, [(Subject::Key(keys::LEADER.to_string()), Rev(5))]);
        let forecast: LoadForecast = decode(&commit.writes[0].1).expect("readable");
        assert!(forecast.rows.iter().any(|r| r.queue == "queue-1"), "{forecast:?}");
    }
    bench.with(|p, ctx| p.cancel_job(ctx, JobId(2)));
    let after = writes(&mut bench, 4_000, committed());
    assert_eq!(after.len(), 1);
    assert_eq!(decode::<LoadForecast>(&after[0].0.writes[0].1).expect("readable").rows, []);
}

/// Guards against an all clear that is lost with the reply of the store.
#[test]
fn forecast_whose_write_failed_is_written_again() {
    let mut bench = bench_with_backlog(true);
    assert!(writes(&mut bench, 4_000, None).len() >= 3);
    let deposed = Some(StoreReply::Conflict(Vec::new(), None));
    writes(&mut bench, 2_000, deposed);
    assert!(bench.placer.deposed);
}

/// Guards against calls and changed decisions with the setting off.
#[test]
fn nothing_is_forecast_without_the_setting() {
    let mut bench = bench_with_backlog(false);
    assert_eq!(writes(&mut bench, 5_000, committed()), []);
    assert!(bench.placer.jobs.iter().all(|j| j.expected.is_none()));
}

/// Guards against a forecast that leaves out what runs: the workers are full for a minute, of which 15 s
/// count, as callers may state any time.
#[test]
fn forecast_counts_what_runs_and_waits() {
    let mut bench = bench_with_backlog(true);
    let found = writes(&mut bench, 1_000, committed());
    let forecast: LoadForecast = decode(&found[0].0.writes[0].1).expect("readable");
    let job = bench.placer.jobs[1].clone();
    let queue = job.queue(Some(&bench.catalog));
    let (id, spec) = (job.id, &job.spec);
    let age = Span::ZERO;
    let submission = Submission { id, spec, queue, workspace: None, age };
    let wait = forecast_wait(&submission, &forecast).expect("not guaranteed");
    assert!(wait >= Span(15_000), "{wait}");
}

/// Guards against an error of the forecast that is measured across the clocks of two daemons: the wait counts from
/// when the placer learned of the job.
#[test]
fn error_of_the_forecast_does_not_depend_on_the_clock_of_the_accepting_daemon() {
    const HOUR_MS: u64 = 3_600_000;
    let errors = [0, HOUR_MS, 2 * HOUR_MS].map(|skew| {
        let mut bench = bench_with_backlog(true);
        writes(&mut bench, 1_000, committed());
        bench.placer.workers[0].slots.take();
        assert_eq!(bench.placer.forecaster.accuracy("queue-1"), Accuracy::default());
        let wall = 1_800_000_000_000 + bench.now.0 + skew - HOUR_MS;
        let spec = JobSpec { text: String::new(), steps: vec![step(1, false, 1)], schedule: None };
        let record = JobRecord { spec, queue: queue(1), workspace: None, accepted: wall };
        let value = encode(&record).expect("encodable");
        let item = Item { key: keys::job(JobId(3)), value, rev: Rev(3) };
        bench.with(|p, ctx| p.add_job(ctx, JobId(3), &item));
        let expected = bench.placer.jobs[2].expected;
        assert_eq!(expected.map(|(since, _)| since), Some(bench.now));
        writes(&mut bench, 1_000, committed());
        assert!(bench.placer.jobs[2].expected.is_none(), "it has begun");
        bench.placer.forecaster.accuracy("queue-1")
    });
    assert_ne!(errors[0], Accuracy::default());
    assert!(errors.iter().all(|e| *e == errors[0]), "{errors:?}");
}

/// A worker that was registered with an absurd capacity, and never replied, counted as the usual size of a
/// worker: all tasks seemed to take the same, the least share of one.
#[test]
fn capacity_of_a_worker_that_never_replied_does_not_count_for_the_forecast() {
    let forecast = |odd: bool| {
        let mut bench = bench_with_backlog(true);
        let most = crate::model::TASK_VALUE_MAX;
        let largest = crate::Resources { cpu: most, memory: most, accelerators: most };
        let capacities = [accelerators(8), accelerators(8), largest].map(|c| (1, c));
        bench.show(capacities[..if odd { 3 } else { 2 }].to_vec());
        bench.now += Span(1_000);
        bench.pass();
        bench.placer.forecaster.latest().clone()
    };
    let waits = |f: &LoadForecast| f.rows.iter().map(|r| r.waits.clone()).collect::<Vec<_>>();
    let (usual, odd) = (forecast(false), forecast(true));
    assert!(!usual.rows.is_empty());
    assert_eq!(waits(&usual), waits(&odd));
    assert_eq!(usual.fleets[0].worker, odd.fleets[0].worker);
}
