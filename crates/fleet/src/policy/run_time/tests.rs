//! Learned run times against runs with known distributions, without a network.

use bulrushlink_core::{Moment, Span, WorkspaceId};

use super::groups::{GROUPS_MAX, WORKSPACE_GROUPS_MAX};
use super::snapshot::BadTimes;
use super::{RunTimes, Sample, Shape, Source, StepKey, TimesRecord};
use crate::record::{decode, encode};

const SHAPE: Shape = Shape { need: 2, width: 0 };
const ESTIMATE: Span = Span(10_000);

fn name(text: &str) -> WorkspaceId {
    text.parse().expect("valid name")
}

fn key(workspace: &WorkspaceId) -> StepKey<'_> {
    StepKey { queue: "bulk", workspace: Some(workspace), shape: SHAPE }
}

impl RunTimes {
    /// Returns the work that is expected to remain of a run that has done `ran`; `None` unless it has been
    /// learned.
    fn remaining(&self, key: &StepKey<'_>, estimate: Span, ran: Span) -> Option<Span> {
        Some(self.model(key, estimate)?.remaining(estimate, ran))
    }
}

/// A task with a caller's estimate and its true work.
type Task = (Span, Span);

/// Learns finished runs one after the other, and returns the mean errors of the estimates and of the
/// forecasts that were made before each of them, as factors in logarithms.
fn learn(times: &mut RunTimes, key: &StepKey<'_>, tasks: impl Iterator<Item = Task>) -> (f64, f64) {
    let error = |span: Span, work: Span| (span.0.max(1) as f64 / work.0 as f64).ln().abs();
    let (mut estimated, mut forecast, mut count) = (0.0, 0.0, 0.0);
    for (estimate, work) in tasks {
        estimated += error(estimate, work);
        forecast += error(times.forecast(Moment(0), key, estimate).median, work);
        count += 1.0;
        times.observe(Moment(0), key, estimate, Sample::Finished(work));
    }
    (estimated / count, forecast / count)
}

/// Returns tasks whose true work is drawn from `work`, with estimates wrong by up to `wrong`.
fn tasks(
    seed: u64,
    count: usize,
    wrong: f64,
    mut work: impl FnMut(&mut fastrand::Rng) -> f64,
) -> impl Iterator<Item = Task> {
    let mut random = fastrand::Rng::with_seed(seed);
    std::iter::repeat_with(move || {
        let work = work(&mut random);
        let estimate = work * (1.0 + wrong * (2.0 * random.f64() - 1.0));
        (Span(estimate as u64), Span(work.max(1.0) as u64))
    })
    .take(count)
}

fn is_near(span: Span, expected: f64, tolerance: f64) -> bool {
    (span.0 as f64 / expected - 1.0).abs() <= tolerance
}

/// A step without any samples must be handled as before.
#[test]
fn estimate_is_used_without_samples() {
    let (times, north) = (RunTimes::default(), name("north"));
    for estimate in [Span::ZERO, Span(2_500), Span(365 * 86_400_000)] {
        let forecast = times.forecast(Moment(5), &key(&north), estimate);
        assert_eq!((forecast.median, forecast.high), (estimate, estimate));
        assert_eq!((forecast.age, forecast.samples, forecast.source), (None, 0, Source::Estimate));
        assert_eq!(times.remaining(&key(&north), estimate, Span(1_000)), None);
    }
}

/// Estimates that are too low by the same factor are corrected for jobs of any length.
#[test]
fn constant_factor_of_the_estimates_is_learned() {
    let (mut times, north) = (RunTimes::default(), name("north"));
    let mut random = fastrand::Rng::with_seed(1);
    let estimates = std::iter::repeat_with(|| 1_000 + random.u64(..60_000)).take(40);
    learn(&mut times, &key(&north), estimates.map(|e| (Span(e), Span(e * 3))));
    for estimate in [1_000, 10_000, 50_000] {
        let forecast = times.forecast(Moment(0), &key(&north), Span(estimate));
        assert!(is_near(forecast.median, estimate as f64 * 3.0, 0.2), "{estimate}: {forecast:?}");
        assert_eq!(forecast.source, Source::Learned);
    }
}

/// Estimates that are wrong by up to 90% say little if all tasks take about as long, as on deployments A
/// and C.
#[test]
fn work_is_learned_if_estimates_are_random() {
    let (mut times, north) = (RunTimes::default(), name("north"));
    let work = |r: &mut fastrand::Rng| 10_000.0 * (0.85 + 0.3 * r.f64());
    learn(&mut times, &key(&north), tasks(2, 50, 0.9, work));
    let (estimated, forecast) = learn(&mut times, &key(&north), tasks(3, 500, 0.9, work));
    assert!(forecast < 0.25 * estimated, "{forecast} against {estimated}");
}

/// An earlier trial showed no gain with estimates that were off by 20%. Forecasts must not be worse than
/// such estimates, whether lengths differ widely or hardly, nor if the callers know what can't be learned.
#[test]
fn forecasts_are_not_worse_than_good_estimates() {
    let wide = |r: &mut fastrand::Rng| 1_000.0 * 60.0_f64.powf(r.f64());
    let narrow = |r: &mut fastrand::Rng| 10_000.0 * (0.7 + 0.6 * r.f64());
    let rarely_long = |r: &mut fastrand::Rng| if r.u8(..10) == 0 { 90_000.0 } else { 9_000.0 };
    type Work = fn(&mut fastrand::Rng) -> f64;
    let works: [(&str, Work); 3] =
        [("wide", wide), ("narrow", narrow), ("rarely long", rarely_long)];
    for (label, work) in works {
        for (seed, wrong) in (30..33).flat_map(|s| [(s, 0.02), (s, 0.2), (s, 0.5)]) {
            let (mut times, north) = (RunTimes::default(), name("north"));
            let tasks = tasks(seed, 1_000, wrong, work);
            let (estimated, forecast) = learn(&mut times, &key(&north), tasks);
            assert!(forecast <= estimated, "{label} {wrong} {seed}: {forecast} of {estimated}");
        }
    }
}

/// The callers' estimates stay as they are, and the tasks begin to take four times as long or a quarter:
/// some tens of runs later the forecast has followed.
#[test]
fn change_of_behaviour_is_followed_within_some_tens_of_runs() {
    for factor in [0.25, 4.0] {
        let (mut times, north) = (RunTimes::default(), name("north"));
        let work = |r: &mut fastrand::Rng| 20_000.0 * (0.9 + 0.2 * r.f64());
        let fixed = |(_, work): Task| (ESTIMATE, work);
        learn(&mut times, &key(&north), tasks(5, 500, 0.0, work).map(fixed));
        let work = move |r: &mut fastrand::Rng| 20_000.0 * factor * (0.9 + 0.2 * r.f64());
        learn(&mut times, &key(&north), tasks(6, 50, 0.0, work).map(fixed));
        let forecast = times.forecast(Moment(0), &key(&north), ESTIMATE);
        assert!(is_near(forecast.median, 20_000.0 * factor, 0.2), "{factor}: {forecast:?}");
    }
}

/// Half of the long runs are stopped before they end: without the lower bounds that these give, only the
/// short ones would count.
#[test]
fn stopped_runs_count_as_lower_bounds() {
    let (mut times, north) = (RunTimes::default(), name("north"));
    let mut random = fastrand::Rng::with_seed(7);
    for _ in 0..2_000 {
        let (work, limit) = (5_000 + random.u64(..20_000), 5_000 + random.u64(..40_000));
        let sample = match work <= limit {
            true => Sample::Finished(Span(work)),
            false => Sample::Stopped(Span(limit)),
        };
        times.observe(Moment(0), &key(&north), Span(4_000), sample);
    }
    let forecast = times.forecast(Moment(0), &key(&north), Span(4_000));
    assert!(is_near(forecast.median, 15_000.0, 0.25), "{forecast:?}");
    // All runs are stopped after 60 s from now on.
    for _ in 0..50 {
        times.observe(Moment(0), &key(&north), Span(4_000), Sample::Stopped(Span(60_000)));
    }
    let forecast = times.forecast(Moment(0), &key(&north), Span(4_000));
    assert!(forecast.median.0 >= 59_000, "{forecast:?}");
    // Early stops say next to nothing.
    let version = times.version();
    times.observe(Moment(0), &key(&north), Span(4_000), Sample::Stopped(Span(100)));
    assert_eq!(times.version(), version);
}

/// The tail of deployment B: 3% of the tasks take 7 times as long. It must not move the median, and a run
/// that has outlasted the others is taken for a long one.
#[test]
fn tail_is_kept_apart_from_the_median() {
    let (mut times, north) = (RunTimes::default(), name("north"));
    let work = |r: &mut fastrand::Rng| {
        let usual = 10_000.0 * (0.9 + 0.2 * r.f64());
        if r.u8(..100) < 3 { 7.0 * usual } else { usual }
    };
    let fixed = |(_, work): Task| (Span(4_000), work);
    learn(&mut times, &key(&north), tasks(8, 400, 0.0, work).map(fixed));
    let mut high_held = 0;
    for (estimate, work) in tasks(9, 1_000, 0.0, work).map(fixed) {
        let forecast = times.forecast(Moment(0), &key(&north), estimate);
        assert!(is_near(forecast.median, 10_000.0, 0.1), "{forecast:?}");
        high_held += usize::from(work <= forecast.high);
        times.observe(Moment(0), &key(&north), estimate, Sample::Finished(work));
    }
    assert!((850..=970).contains(&high_held), "{high_held}");
    let remaining =
        |ran| times.remaining(&key(&north), Span(4_000), Span(ran)).expect("it was learned");
    assert!(is_near(remaining(4_000), 6_000.0, 0.15), "{}", remaining(4_000));
    assert!(remaining(9_800).0 <= 2_000, "{}", remaining(9_800));
    assert!(remaining(14_000).0 >= 5_000, "{}", remaining(14_000));
}

/// One workspace sends absurd figures, also before others have any samples, and jobs of thousands of
/// shapes: the forecasts of others must be the same as without it within a few percent.
#[test]
fn hostile_workspace_does_not_distort_others() {
    let mut times = RunTimes::default();
    let names = ["east", "north", "south", "west"].map(name);
    let hostile = name("mallory");
    let mut random = fastrand::Rng::with_seed(10);
    let mut attack = |times: &mut RunTimes| {
        for _ in 0..2_000 {
            let shape = Shape { need: random.u8(..41), width: random.u8(..13) };
            let work = if random.bool() { 1 } else { 1 << 40 };
            let sample = Sample::Finished(Span(work));
            for shape in [shape, SHAPE] {
                let key = StepKey { shape, ..key(&hostile) };
                times.observe(Moment(0), &key, Span(random.u64(..1 << 40)), sample);
            }
        }
    };
    attack(&mut times);
    let before = times.forecast(Moment(0), &key(&names[0]), ESTIMATE);
    assert_eq!((before.median, before.source), (ESTIMATE, Source::Estimate));
    for (seed, workspace) in (20..).zip(&names[1..]) {
        let work = |r: &mut fastrand::Rng| 30_000.0 * (0.9 + 0.2 * r.f64());
        learn(&mut times, &key(workspace), tasks(seed, 60, 0.0, work).map(|(_, w)| (ESTIMATE, w)));
    }
    attack(&mut times);
    // The first one has no samples of its own: it gets what the honest ones have in common.
    for workspace in &names {
        let forecast = times.forecast(Moment(0), &key(workspace), ESTIMATE);
        assert!(is_near(forecast.median, 30_000.0, 0.1), "{workspace}: {forecast:?}");
    }
    let owned = times.groups.iter().filter(|g| g.workspace.as_ref() == Some(&hostile)).count();
    assert!(owned <= WORKSPACE_GROUPS_MAX, "{owned}");
}

/// Memory is bounded whatever the names of queues and workspaces are, and the oldest groups go first.
#[test]
fn number_of_groups_is_bounded() {
    let mut times = RunTimes::default();
    for n in 0..2_000 {
        let (queue, workspace) = (format!("queue-{}", n % 40), name(&format!("w-{}", n % 90)));
        let key = StepKey { queue: &queue, workspace: Some(&workspace), shape: SHAPE };
        times.observe(Moment(n), &key, ESTIMATE, Sample::Finished(ESTIMATE));
        assert!(times.groups.len() <= GROUPS_MAX && times.levels.len() <= GROUPS_MAX);
    }
    let oldest = times.groups.iter().map(|g| g.newest).min().unwrap_or_default();
    assert!(oldest >= Moment(1_000), "{oldest}");
}

/// Estimates of 0 and of a year say nothing about a job whose like have always taken 10 s, and neither
/// they nor such work lead to figures beyond all bounds.
#[test]
fn absurd_estimates_are_replaced() {
    let (mut times, north) = (RunTimes::default(), name("north"));
    let year = Span(365 * 86_400_000);
    let work = |r: &mut fastrand::Rng| 10_000.0 * (0.9 + 0.2 * r.f64());
    let absurd = |n: usize| if n.is_multiple_of(2) { Span::ZERO } else { year };
    let all = tasks(11, 60, 0.0, work).enumerate().map(|(n, (_, work))| (absurd(n), work));
    learn(&mut times, &key(&north), all);
    for estimate in [Span::ZERO, year] {
        let forecast = times.forecast(Moment(0), &key(&north), estimate);
        assert!(is_near(forecast.median, 10_000.0, 0.1), "{estimate}: {forecast:?}");
        assert!(forecast.high >= forecast.median && forecast.high.0 < 20_000, "{forecast:?}");
        let remaining = times.remaining(&key(&north), estimate, Span(4_000));
        let remaining = remaining.expect("it was learned");
        assert!(is_near(remaining, 6_000.0, 0.2), "{estimate}: {remaining}");
    }
    for work in [Span::ZERO, Span(u64::MAX)] {
        for _ in 0..60 {
            times.observe(Moment(0), &key(&north), Span(u64::MAX), Sample::Finished(work));
            times.observe(Moment(0), &key(&north), Span::ZERO, Sample::Stopped(work));
        }
        for estimate in [Span::ZERO, Span(u64::MAX)] {
            let forecast = times.forecast(Moment(0), &key(&north), estimate);
            assert!(forecast.median <= forecast.high, "{forecast:?}");
            times.remaining(&key(&north), estimate, work);
        }
    }
}

/// A successor must forecast as its predecessor did, also for steps of which it has seen no run.
#[test]
fn restored_times_give_the_same_forecasts() {
    let (mut times, names) = (RunTimes::default(), ["north", "south", "west"].map(name));
    for (seed, workspace) in (40..).zip(&names) {
        let work = |r: &mut fastrand::Rng| 30_000.0 * (0.8 + 0.4 * r.f64());
        learn(&mut times, &key(workspace), tasks(seed, 60, 0.0, work).map(|(_, w)| (ESTIMATE, w)));
    }
    let bytes = encode(&times.record(Moment(0), 1_000_000)).expect("encodable");
    let mut restored = RunTimes::default();
    let record: TimesRecord = decode(&bytes).expect("readable");
    assert_eq!(restored.restore(record.clone(), Moment(9_000), 1_005_000), Ok(6));
    for workspace in names.iter().chain([&name("newcomer")]) {
        let key = key(workspace);
        let before = times.forecast(Moment(0), &key, ESTIMATE);
        let after = restored.forecast(Moment(9_000), &key, ESTIMATE);
        assert!(is_near(after.median, before.median.0 as f64, 0.03), "{before:?} {after:?}");
        assert!(is_near(after.high, before.high.0 as f64, 0.05), "{before:?} {after:?}");
        assert_eq!((after.source, after.age), (Source::Learned, Some(Span(5_000))));
    }
    let old = Err(BadTimes::Old(Span(601_000)));
    assert_eq!(RunTimes::default().restore(record, Moment(0), 1_601_000), old);
}

/// The record must stay below the bound with the most groups and the longest names.
#[test]
fn record_is_bounded() {
    let mut times = RunTimes::default();
    let (queue, long) = ("q".repeat(200), "w".repeat(60));
    for n in 0..2_000 {
        let workspace = name(&format!("{long}{}", n % 90));
        let shape = Shape { need: (n % 7) as u8, width: (n % 11) as u8 };
        let key = StepKey { queue: &queue, workspace: Some(&workspace), shape };
        times.observe(Moment(n), &key, ESTIMATE, Sample::Finished(Span(n << 20)));
    }
    let bytes = encode(&times.record(Moment(2_000), 0)).expect("encodable");
    assert!((32 * 1024..=64 * 1024).contains(&bytes.len()), "{}", bytes.len());
}

/// Any damage must be noticed, or lead to figures that can be used, without a panic.
#[test]
fn damaged_record_does_no_harm() {
    let (mut times, north) = (RunTimes::default(), name("north"));
    let work = |r: &mut fastrand::Rng| 30_000.0 * (0.8 + 0.4 * r.f64());
    learn(&mut times, &key(&north), tasks(50, 60, 0.9, work));
    let bytes = encode(&times.record(Moment(0), 0)).expect("encodable");
    let mut random = fastrand::Rng::with_seed(51);
    let (mut used, mut unused) = (0, 0);
    for _ in 0..3_000 {
        let mut damaged = bytes.clone();
        for _ in 0..random.usize(1..4) {
            let at = random.usize(..damaged.len());
            damaged[at] = random.u8(..);
        }
        damaged.truncate(random.usize(1..2 * bytes.len()));
        let mut restored = RunTimes::default();
        let record = decode::<TimesRecord>(&damaged).ok();
        match record.map(|r| restored.restore(r, Moment(0), 0)) {
            Some(Ok(_)) => used += 1,
            _ => unused += 1,
        }
        for estimate in [Span::ZERO, ESTIMATE] {
            let forecast = restored.forecast(Moment(0), &key(&north), estimate);
            assert!(forecast.median <= forecast.high, "{forecast:?}");
            restored.remaining(&key(&north), estimate, Span(9_000));
            restored.observe(Moment(0), &key(&north), estimate, Sample::Finished(ESTIMATE));
        }
    }
    assert!(used > 100 && unused > 100, "{used} {unused}");
}

/// A few lucky forecasts of each workspace must not count for others: the variance of one difference of
/// errors is 0, which looked like certainty.
#[test]
fn few_common_comparisons_do_not_count() {
    let (mut times, names) = (RunTimes::default(), ["north", "south", "west"].map(name));
    let newcomer = name("newcomer");
    for (runs, source) in [(2, Source::Estimate), (3, Source::Estimate), (20, Source::Learned)] {
        for workspace in &names {
            let all = std::iter::repeat_n((ESTIMATE, Span(30_000)), runs);
            learn(&mut times, &key(workspace), all);
        }
        let forecast = times.forecast(Moment(0), &key(&newcomer), ESTIMATE);
        assert_eq!(forecast.source, source, "{runs}");
    }
}
