//! Checks the invariants of the fleet's scheduler under faults of the platform, in virtual time.

use bulrushlink_core::Span;
use bulrushlink_fleet::{JobId, JobSpec, Resources, ShownState, Step};
use bulrushlink_lab::{DeadlyTasks, FleetLab, FleetNoise, SubmitOutcome, Trouble};
use bulrushlink_telemetry::{Sink, open_log};

#[path = "fleet/admission.rs"]
mod admission;
#[path = "fleet/ceilings.rs"]
mod ceilings;
#[path = "fleet/deadly.rs"]
mod deadly;
#[path = "fleet/faulty.rs"]
mod faulty;
#[path = "fleet/large_jobs.rs"]
mod large_jobs;
#[path = "fleet/outage.rs"]
mod outage;
#[path = "fleet/overload.rs"]
mod overload;
#[path = "fleet/preemption.rs"]
mod preemption;
#[path = "fleet/shares.rs"]
mod shares;
#[path = "fleet/silence.rs"]
mod silence;
#[path = "fleet/times.rs"]
mod times;

fn step(tasks: u32, accelerators: u64, millis: u64, after: Vec<u16>) -> Step {
    Step {
        tasks,
        need: Resources { cpu: 3_000, memory: 8_192, accelerators },
        estimate: Span(millis),
        after,
        gang: true,
        one_rack: false,
        label: None,
        near: None,
        per_worker: None,
        saves: true,
        copies: false,
        endless: false,
    }
}

fn job(steps: Vec<Step>) -> JobSpec {
    JobSpec { text: "replay".to_string(), steps, schedule: None }
}

/// Time for the daemons to elect a placer and load their state.
const WARM_UP_MS: u64 = 1_000;

fn assert_no_violations(lab: &mut FleetLab) {
    lab.check_ends();
    assert_eq!(lab.violations(), []);
}

#[test]
fn gangs_steps_repeats_and_cancellations_work_without_faults() {
    let mut lab = FleetLab::open(3, 8, 1);
    lab.run(WARM_UP_MS);
    let [gang, steps, cancelled] = [JobId(1), JobId(2), JobId(3)];
    lab.submit(1_000, 0, gang, "replay", job(vec![step(12, 2, 3_000, vec![])]));
    lab.submit_again(1_400, 1, gang);
    let two = vec![step(3, 1, 1_000, vec![]), step(2, 1, 1_000, vec![0])];
    lab.submit(1_100, 1, steps, "roster", job(two));
    lab.submit(1_200, 2, cancelled, "batch", job(vec![step(2, 1, 30_000, vec![])]));
    lab.cancel(3_000, 0, cancelled);
    lab.run(12_000);
    assert_eq!(lab.state(gang), Some(ShownState::Completed));
    assert_eq!(lab.state(steps), Some(ShownState::Completed));
    assert_eq!(lab.state(cancelled), Some(ShownState::Cancelled));
    assert_eq!(lab.starts(), 12 + 5 + 2);
    assert_no_violations(&mut lab);
}

/// The placer must find new jobs after the store has dropped the history that its watch needs. It
/// once placed nothing any more when that happened under load (`fleetbench score`, second site, day
/// `scale-1`).
#[test]
fn placer_finds_new_jobs_after_compactions_under_load() {
    let mut lab = FleetLab::open(3, 8, 2);
    lab.run(WARM_UP_MS);
    lab.submit(1_000, 0, JobId(1), "batch", job(vec![step(8, 1, 20_000, vec![])]));
    lab.run(1_000);
    // Holds and commits continue while the placer lists the inbox again.
    for at in 0..40 {
        lab.plan(2_000 + at * 50, Trouble::Compact);
        lab.submit(
            2_000 + at * 50,
            1,
            JobId(10 + at),
            "roster",
            job(vec![step(1, 1, 300, vec![])]),
        );
    }
    lab.run(30_000);
    assert_no_violations(&mut lab);
}

/// Runs of a lost worker must be started elsewhere once its leases have expired. The placer once
/// extended the leases with each unanswered hold (`fleetbench hunt`, first site,
/// `trouble-3 --seed 468041022512`).
#[test]
fn runs_of_a_lost_worker_restart_elsewhere() {
    let mut lab = FleetLab::open(3, 4, 3);
    lab.run(WARM_UP_MS);
    lab.submit(1_000, 0, JobId(1), "batch", job(vec![step(2, 8, 8_000, vec![])]));
    lab.run(1_500);
    let places = lab.places(JobId(1));
    lab.plan(2_600, Trouble::Remove(places[0]));
    lab.run(20_000);
    assert_eq!(lab.state(JobId(1)), Some(ShownState::Completed));
    assert_no_violations(&mut lab);
}

/// A run that ended as done before its lease expired must count even if its worker is unreachable
/// until after the expiry (`fleetbench run`, second grown site, day `scale-1`).
#[test]
fn end_reported_after_the_lease_lapsed_still_counts() {
    for gang in [true, false] {
        let mut lab = FleetLab::open(3, 1, 4);
        lab.run(WARM_UP_MS);
        let steps = vec![Step { gang, ..step(2, 4, 5_000, vec![]) }];
        lab.submit(1_000, 0, JobId(1), "batch", job(steps));
        lab.plan(2_000, Trouble::CutWorker(0, 12_000));
        lab.run(20_000);
        assert_eq!(lab.state(JobId(1)), Some(ShownState::Completed), "gang {gang}");
        assert_eq!(lab.starts(), 2, "gang {gang}");
        assert_no_violations(&mut lab);
    }
}

/// As above, but the task has already been restarted on another worker: the late end must count,
/// and the superseded run must be stopped.
#[test]
fn late_end_stops_the_restarted_run() {
    for gang in [true, false] {
        let mut lab = FleetLab::open(3, 2, 4);
        lab.run(WARM_UP_MS);
        let steps = vec![Step { gang, ..step(1, 8, 5_000, vec![]) }];
        lab.submit(1_000, 0, JobId(1), "batch", job(steps));
        lab.run(1_000);
        let places = lab.places(JobId(1));
        lab.plan(2_100, Trouble::CutWorker(places[0], 9_500));
        lab.plan(2_100, Trouble::Slow(1 - places[0], 10));
        lab.run(12_500);
        assert_eq!(lab.starts(), 2, "gang {gang}");
        assert_eq!(lab.state(JobId(1)), Some(ShownState::Completed), "gang {gang}");
        assert_eq!(lab.places(JobId(1)), Vec::<usize>::new(), "gang {gang}");
        assert_no_violations(&mut lab);
    }
}

/// A start may reach the next boot of a worker before the placer knows of that boot. If the worker is out
/// of reach then, its lease must expire before the run counts as lost: the placer once released it
/// with the next review, as its epoch had begun long ago.
#[test]
fn run_on_an_unheard_boot_is_kept_until_its_lease_has_expired() {
    for delay in 0..20 {
        let mut lab = FleetLab::open(3, 3, 27);
        lab.run(15_000);
        let single = Step { gang: false, ..step(2, 8, 7_000, vec![]) };
        lab.submit(15_010 + delay * 25, 1, JobId(1), "roster", job(vec![single]));
        lab.plan(15_000 + delay * 25, Trouble::Reboot(0));
        lab.plan(15_030 + delay * 25, Trouble::CutWorker(0, 3_000));
        lab.run(20_000);
        assert_eq!(lab.state(JobId(1)), Some(ShownState::Completed), "delay {delay}");
        assert_no_violations(&mut lab);
    }
}

/// The placer must run on a strong host if there is one: the load of hundreds of workers exceeds
/// the weakest hosts of a deployment. A weak host takes over when the strong one stops.
#[test]
fn strong_host_becomes_placer_if_there_is_one() {
    for seed in 0..8 {
        let mut lab = FleetLab::open(4, 4, seed);
        (0..3).for_each(|daemon| lab.use_weak_host(daemon));
        lab.run(WARM_UP_MS);
        assert_eq!(lab.placer(), Some(3));
        lab.plan(1_500, Trouble::Restart(3));
        lab.run(3_000);
        assert_ne!(lab.placer(), Some(3));
        assert!(lab.placer().is_some());
    }
}

/// A strong host that was cut off from the store for 4 s must become the placer again, and the
/// handover must not restart any run.
#[test]
fn placer_on_a_weak_host_hands_over_to_a_strong_host() {
    let mut lab = FleetLab::open(3, 4, 7);
    (0..2).for_each(|daemon| lab.use_weak_host(daemon));
    lab.run(WARM_UP_MS);
    lab.submit(1_000, 0, JobId(1), "batch", job(vec![step(4, 4, 9_000, vec![])]));
    lab.plan(2_000, Trouble::CutStore(2, 4_000));
    lab.run(4_000);
    let placer = lab.placer();
    assert!(placer == Some(0) || placer == Some(1), "{placer:?}");
    lab.run(8_000);
    assert_eq!(lab.placer(), Some(2));
    lab.run(4_000);
    assert_eq!(lab.state(JobId(1)), Some(ShownState::Completed));
    assert_eq!(lab.starts(), 4);
    assert_no_violations(&mut lab);
}

/// A run must not be preempted for an urgent job if it ends soon anyway: the urgent job comes at
/// 5.53 s, and the run is due to end at about 6 s.
#[test]
fn run_that_is_about_to_end_is_not_preempted() {
    let mut lab = FleetLab::open(3, 1, 11);
    lab.run(WARM_UP_MS);
    lab.submit(1_000, 0, JobId(1), "batch", job(vec![step(1, 8, 5_000, vec![])]));
    lab.submit(5_530, 1, JobId(2), "roster", job(vec![step(1, 8, 1_000, vec![])]));
    lab.run(8_000);
    assert_eq!(lab.state(JobId(1)), Some(ShownState::Completed));
    assert_eq!(lab.state(JobId(2)), Some(ShownState::Completed));
    assert_eq!(lab.starts(), 2);
    assert_no_violations(&mut lab);
}

/// A placer killed while it starts a gang must leave no partial gang behind; it is killed
/// 4 to 17 ms after the submission.
#[test]
fn placer_killed_during_a_gang_start_leaves_no_partial_gang() {
    for delay in 0..14 {
        let mut lab = FleetLab::open(3, 8, 40 + delay);
        lab.run(WARM_UP_MS);
        lab.submit(1_500, 1, JobId(7), "replay", job(vec![step(16, 4, 2_000, vec![])]));
        lab.plan(1_504 + delay, Trouble::KillPlacer);
        lab.run(25_000);
        assert_eq!(lab.state(JobId(7)), Some(ShownState::Completed), "delay {delay}");
        assert_no_violations(&mut lab);
    }
}

/// Failures on a worker that fails every run must not use up the attempts of the jobs.
#[test]
fn worker_that_fails_every_run_does_not_exhaust_the_attempts() {
    let mut lab = FleetLab::open(3, 8, 5);
    lab.run(WARM_UP_MS);
    lab.plan(1_000, Trouble::Failing(2, true));
    for n in 0..12 {
        lab.submit(1_100 + n * 400, 0, JobId(n), "replay", job(vec![step(4, 2, 1_500, vec![])]));
    }
    lab.run(40_000);
    for n in 0..12 {
        assert_eq!(lab.state(JobId(n)), Some(ShownState::Completed), "job {n}");
    }
    assert_no_violations(&mut lab);
}

/// A job that was refused as not run must never start, although commits of submissions take effect
/// late or lose their replies and the store is down for 4 s.
#[test]
fn refused_jobs_never_start_despite_lost_answers_and_a_store_outage() {
    let mut lab = FleetLab::open(3, 8, 6);
    lab.run(WARM_UP_MS);
    lab.set_noise(FleetNoise { store_lost: 0.4, store_late: 0.2, ..FleetNoise::default() });
    lab.plan(4_000, Trouble::StoreDown(4_000));
    for n in 0..60 {
        let daemon = (n % 3) as usize;
        lab.submit(1_000 + n * 150, daemon, JobId(n), "roster", job(vec![step(1, 1, 500, vec![])]));
    }
    lab.run(20_000);
    lab.set_noise(FleetNoise::default());
    lab.run(30_000);
    let refused =
        (0..60).filter(|n| lab.submit_outcome(JobId(*n)) == Some(SubmitOutcome::Refused)).count();
    assert!(refused > 0, "no submission was refused although the store was down for 4 s");
    assert_no_violations(&mut lab);
}

/// A gang that belongs on one rack must not wait for a whole rack while most of the capacity is
/// idle: a long run on one worker of each rack would keep it waiting until they end. A job may be
/// without a run for 3 s while there is room for it.
#[test]
fn gang_spreads_over_racks_if_most_capacity_is_idle() {
    let mut lab = FleetLab::open(3, 16, 21);
    lab.run(WARM_UP_MS);
    for n in 0..4 {
        // Each fills a worker, and all four racks have four workers.
        let rack = format!("r1-{n}").parse().ok();
        let long = Step { gang: false, near: rack, ..step(1, 8, 40_000, vec![]) };
        lab.submit(1_000 + n, 0, JobId(n), "batch", job(vec![long]));
    }
    lab.run(500);
    let gang = Step { one_rack: true, ..step(4, 8, 3_000, vec![]) };
    lab.submit(1_500, 1, JobId(10), "replay", job(vec![gang]));
    lab.run(3_000);
    assert!(lab.has_started(JobId(10)), "the gang has not started after 3 s");
    lab.run(50_000);
    assert_no_violations(&mut lab);
}

/// An urgent job must start in time although the placer's watch of new jobs has silently stopped
/// reporting; it once waited for the timeout of the watch, 2.1 s (`fleetbench run` on hundreds of
/// workers, day `scale-2`, `platform_compact`).
#[test]
fn urgent_job_starts_in_time_while_the_watch_is_silent() {
    let mut lab = FleetLab::open(3, 4, 22);
    lab.run(WARM_UP_MS);
    lab.plan(1_400, Trouble::SilenceWatches(4_000));
    lab.submit(1_500, 1, JobId(1), "roster", job(vec![step(4, 4, 1_000, vec![])]));
    // Of the time allowed for such a job, 1.25 s are left for everything but the work.
    lab.run(600);
    assert!(lab.has_started(JobId(1)), "the job has not started after 0.5 s");
    lab.run(10_000);
    assert_eq!(lab.state(JobId(1)), Some(ShownState::Completed));
    assert_eq!(lab.starts(), 4);
    assert_no_violations(&mut lab);
}

/// An urgent job must start in time while the store takes 360 ms to answer and hundreds of jobs change
/// all the time. Commits were once made in the order of the identifiers, four at a time, so that
/// jobs with high ones waited for seconds (`fleetbench run` on hundreds of workers, day `scale-1`,
/// `platform_slow`).
#[test]
fn urgent_job_starts_in_time_while_the_store_is_slow() {
    let mut lab = FleetLab::open(3, 100, 25);
    lab.run(WARM_UP_MS);
    // 250 jobs that keep 750 of 800 accelerators busy, and whose states change with each short step.
    for n in 0..250 {
        let chain = |k: u16| Step {
            gang: false,
            ..step(3, 1, 300 + n % 7 * 50, (k > 0).then(|| k - 1).into_iter().collect())
        };
        lab.submit(1_000 + n * 2, 0, JobId(n), "batch", job((0..20).map(chain).collect()));
    }
    lab.plan(2_000, Trouble::SlowStore(180, 10_000));
    lab.run(2_000);
    for n in 0..5 {
        let urgent = job(vec![step(4, 1, 500, vec![])]);
        lab.submit(3_000 + n * 10, 1, JobId(u64::MAX - n), "roster", urgent);
    }
    // Three answers of the store: to the submission, to the watch, and to the commit of the start. A
    // quarter of that again for what waits in between.
    lab.run(40 + 3 * 360 + 270);
    for n in 0..5 {
        assert!(lab.has_started(JobId(u64::MAX - n)), "urgent job {n} has not started");
    }
    lab.run(5_000);
    assert_eq!(lab.violations(), []);
}

/// A new placer must reach the workers that it can although a fifth of them, a failure domain, is
/// cut off: holds to unreachable workers once kept it from the others for seconds.
#[test]
fn new_placer_reaches_its_workers_while_a_fifth_is_cut_off() {
    let mut lab = FleetLab::open(3, 1_000, 23);
    lab.run(WARM_UP_MS);
    (0..200).for_each(|n| lab.plan(1_400, Trouble::CutWorker(n * 5, 20_000)));
    lab.plan(1_500, Trouble::KillPlacer);
    lab.run(700);
    let wide = Step { gang: false, ..step(700, 8, 1_000, vec![]) };
    lab.submit(1_600, 1, JobId(1), "roster", job(vec![wide]));
    while lab.placer().is_none() && lab.now() < 5_000 {
        lab.run(10);
    }
    // Holds to unreachable workers time out after 500 ms, for which the others need not wait.
    lab.run(400);
    assert!(lab.starts() >= 700, "{} of 700 tasks have started", lab.starts());
}

/// A gang with a member on a worker that leaves at short notice must start elsewhere before the worker
/// is gone. It once waited until the worker's lease had expired, 6 s after the worker had left
/// (`fleetbench run` on hundreds of workers, day `scale-2`: 645 runs lost with their workers).
#[test]
fn gang_leaves_a_worker_that_is_taken_away_at_short_notice() {
    let mut lab = FleetLab::open(3, 4, 24);
    lab.run(WARM_UP_MS);
    let gang = Step { saves: false, ..step(2, 8, 8_000, vec![]) };
    lab.submit(1_000, 0, JobId(1), "replay", job(vec![gang]));
    lab.run(1_500);
    let places = lab.places(JobId(1));
    lab.plan(2_600, Trouble::Drain(places[0], 1_800));
    // The notice, less half a second for reading the entries and the time that stops take.
    lab.run(1_500);
    assert_eq!(lab.starts(), 4);
    assert!(!lab.places(JobId(1)).contains(&places[0]));
    lab.run(10_000);
    assert_eq!(lab.state(JobId(1)), Some(ShownState::Completed));
    assert_no_violations(&mut lab);
}

/// Guaranteed jobs that arrive at the same time must all start within the bound. Two gangs were
/// once planned on the same resources (`fleetbench hunt`, second site, `hunt-dd30-43`).
#[test]
fn concurrent_guaranteed_jobs_all_start_in_time() {
    for seed in 0..10 {
        let mut lab = FleetLab::open(3, 8, seed);
        lab.run(WARM_UP_MS);
        let mut filler = step(64, 1, 30_000, vec![]);
        filler.gang = false;
        lab.submit(1_000, 0, JobId(1), "batch", job(vec![filler]));
        lab.run(1_000);
        let shapes = [(1, 8), (2, 2), (1, 4), (4, 1), (2, 2)];
        for (n, (tasks, accelerators)) in (10..).zip(shapes) {
            let gang = step(tasks, accelerators, 6_000, vec![]);
            lab.submit(2_000 + (n - 10) * 20, 1, JobId(n), "roster", job(vec![gang]));
        }
        // The last job arrives after 80 ms; the bound is `reclaim_ms` of the simulated daemons.
        lab.run(80 + 3_400);
        for n in 10..15 {
            assert!(lab.has_started(JobId(n)), "seed {seed}: job {n} has not started");
        }
        lab.run(60_000);
        assert_no_violations(&mut lab);
    }
}

/// A gang whose fast members have finished and wait for a slow one must not count as stalled. Whole
/// gangs were once stopped for that shortly before their end (`fleetbench run`, second site,
/// `quiet-1`).
#[test]
fn gang_that_waits_for_a_slow_member_is_not_stalled() {
    let mut lab = FleetLab::open(3, 4, 9);
    lab.run(WARM_UP_MS);
    (1..4).for_each(|worker| lab.plan(900, Trouble::Slow(worker, 3)));
    lab.submit(1_000, 0, JobId(1), "replay", job(vec![step(4, 8, 3_000, vec![])]));
    lab.run(14_000);
    assert_eq!(lab.state(JobId(1)), Some(ShownState::Completed));
    assert_eq!(lab.starts(), 4);
}

/// An accepted job must be kept and must run even if its queue is removed from the configuration
/// while it waits.
#[test]
fn accepted_job_survives_removal_of_its_queue() {
    let mut lab = FleetLab::open(3, 2, 10);
    lab.run(WARM_UP_MS);
    lab.submit(1_000, 0, JobId(1), "roster", job(vec![step(2, 8, 2_000, vec![])]));
    lab.submit(1_100, 0, JobId(2), "batch", job(vec![step(2, 8, 1_000, vec![])]));
    lab.run(1_000);
    let mut removed = None;
    lab.change_catalog(|c| removed = Some(c.queues.remove(0)));
    lab.run(5_000);
    assert!(lab.has_started(JobId(2)));
    lab.change_catalog(|c| c.queues.insert(0, removed.take().expect("a queue")));
    lab.run(5_000);
    assert_no_violations(&mut lab);
}

/// Beside a configuration of 1 MB, a page of the operators' keys has no room for the evacuations: work
/// was started in evacuated failure domains.
#[test]
fn evacuation_is_noticed_beside_a_large_configuration() {
    let mut lab = FleetLab::open(3, 4, 26);
    lab.change_catalog(|c| c.size = 1_000_000);
    lab.run(WARM_UP_MS);
    lab.evacuate("east");
    lab.run(2_000);
    let wide = Step { gang: false, ..step(4, 8, 3_000, vec![]) };
    lab.submit(3_100, 0, JobId(1), "roster", job(vec![wide]));
    lab.run(1_500);
    // Workers with even numbers are in the evacuated failure domain.
    assert_eq!(lab.places(JobId(1)), [1, 3]);
    lab.run(10_000);
    assert_eq!(lab.state(JobId(1)), Some(ShownState::Completed));
    assert_no_violations(&mut lab);
}

/// A run that makes no progress must be stopped and started on another worker.
#[test]
fn stalled_run_restarts_elsewhere() {
    let mut lab = FleetLab::open(3, 4, 9);
    lab.run(WARM_UP_MS);
    lab.submit(1_000, 0, JobId(1), "replay", job(vec![step(1, 8, 3_000, vec![])]));
    lab.run(1_500);
    let places = lab.places(JobId(1));
    lab.plan(2_600, Trouble::Hanging(places[0], true));
    lab.run(12_000);
    assert_eq!(lab.state(JobId(1)), Some(ShownState::Completed));
    assert_no_violations(&mut lab);
}

/// Runs a random mix of jobs with 2 to 8 faults, lost and late calls, and up to two jobs that crash
/// workers, all drawn from the seed.
fn storm(seed: u64, prepare: impl FnOnce(&mut FleetLab)) -> FleetLab {
    let (daemons, workers) = (4, 10);
    let mut random = fastrand::Rng::with_seed(seed);
    let mut lab = FleetLab::open(daemons, workers, seed);
    prepare(&mut lab);
    if seed.is_multiple_of(2) {
        lab.change_catalog(|c| c.size = 1_000_000);
    }
    lab.run(WARM_UP_MS);
    let chance = |r: &mut fastrand::Rng| if r.bool() { r.f64() * 0.08 } else { 0.0 };
    lab.set_noise(FleetNoise {
        store_lost: chance(&mut random),
        store_late: chance(&mut random),
        worker_lost: chance(&mut random),
        worker_late: chance(&mut random),
        run_fails: 0.01,
    });
    let queues = ["roster", "replay", "batch"];
    for n in 0..70 {
        let (at, daemon) = (1_000 + random.u64(..30_000), random.usize(..daemons));
        let tasks = [1, 2, 3, 5, 8][random.usize(..5)];
        // The workers that are left after the faults can always hold the largest gang.
        let accelerators = [1, 1, 2, 4, 8][random.usize(..5)].min(24 / u64::from(tasks));
        let mut first = step(tasks, accelerators, random.u64(200..4_000), vec![]);
        first.gang = random.bool();
        first.one_rack = random.bool();
        let mut steps = vec![first];
        if random.u8(..4) == 0 {
            steps.push(step(2, 1, 500, vec![0]));
        }
        lab.submit(at, daemon, JobId(n), queues[random.usize(..3)], job(steps));
        if random.u8(..4) == 0 {
            lab.submit_again(at + random.u64(..5_000), random.usize(..daemons), JobId(n));
        }
        if random.u8(..8) == 0 {
            lab.cancel(at + random.u64(200..6_000), random.usize(..daemons), JobId(n));
        }
    }
    for _ in 0..random.usize(2..9) {
        let at = random.u64(2_000..30_000);
        let (daemon, worker) = (random.usize(..daemons), random.usize(..workers));
        let time = random.u64(300..7_000);
        let trouble = match random.u8(..17) {
            0 => Trouble::Kill(daemon),
            1 | 2 => Trouble::KillPlacer,
            3 => Trouble::Restart(daemon),
            4 => Trouble::Freeze(daemon, time),
            5 => Trouble::CutStore(daemon, time),
            6 | 7 => Trouble::CutWorker(worker, time),
            8 => Trouble::Reboot(worker),
            9 if time.is_multiple_of(2) => Trouble::StoreDown(time),
            9 => Trouble::StorePaused(time),
            10 => Trouble::LapseLeases,
            11 => Trouble::Compact,
            12 => Trouble::Remove(worker),
            13..=15 => {
                let full = lab.capacity(worker);
                let part = random.u64(..16);
                let capacity = Resources {
                    cpu: if random.bool() { full.cpu } else { random.u64(..2 * full.cpu) },
                    accelerators: part,
                    ..full
                };
                // The capacity returns, so that the largest gang fits in the end.
                lab.plan(at + time, Trouble::Resize(worker, full));
                Trouble::Resize(worker, capacity)
            }
            _ => Trouble::KillAll,
        };
        lab.plan(at, trouble);
    }
    for _ in 0..random.usize(..3) {
        lab.add_deadly(DeadlyTasks {
            job: JobId(random.u64(..70)),
            index: random.bool().then_some(0),
            delay: random.u64(..800),
            downtime: random.u64(500..8_000),
            renamed: random.bool(),
        });
    }
    if seed.is_multiple_of(3) {
        plan_allotments(&mut lab, seed);
    }
    lab.run(33_000);
    lab.set_noise(FleetNoise::default());
    lab.run(60_000);
    lab.check_ends();
    lab
}

/// Moves jobs to a second workspace and changes the ceilings, for some seeds also the weights, while
/// work runs. The ceilings always hold the largest gang.
fn plan_allotments(lab: &mut FleetLab, seed: u64) {
    let mut random = fastrand::Rng::with_seed(!seed);
    (0..70).filter(|_| random.bool()).for_each(|n| lab.assign(JobId(n), "south"));
    for workspace in ["north", "south"] {
        let mut at = 0;
        while at < 30_000 {
            let weight = if seed.is_multiple_of(2) { random.u32(..4) } else { 0 };
            let ceiling = if random.u8(..5) == 0 { 0 } else { random.u64(24..64) };
            lab.plan(at, Trouble::Allot(workspace, weight, ceiling));
            at += random.u64(2_000..9_000);
        }
    }
}

/// Runs a single storm and prints its trace. With a seed, the daemons' log goes to standard error:
/// `LAB_SEED=1022 cargo test -p bulrushlink-lab --test fleet one_storm -- --nocapture`.
#[test]
fn one_storm() {
    let seed = std::env::var("LAB_SEED").ok().and_then(|s| s.parse().ok());
    if seed.is_some() {
        let daemon = "lab".parse().expect("a valid name");
        open_log("debug", &daemon, Sink::Stderr).expect("no other logger");
    }
    let lab = storm(seed.unwrap_or(999), |_| {});
    println!("{}", lab.trace("").join("\n"));
    assert_eq!(lab.violations(), []);
}

/// Runs storms with the seeds from 1000 on, `LAB_STORMS` of them or 40, and asserts that they violate no
/// invariant.
fn assert_storms(prepare: impl Fn(&mut FleetLab)) {
    let mut broken = Vec::new();
    let count = std::env::var("LAB_STORMS").ok().and_then(|s| s.parse().ok()).unwrap_or(40);
    for seed in 1_000..1_000 + count {
        let lab = storm(seed, &prepare);
        if let Some(first) = lab.violations().first() {
            let task = first.text.split(' ').next().unwrap_or("");
            println!("seed {seed}: {first:?}\n{}", lab.trace(task).join("\n"));
            broken.push((seed, lab.violations().len(), first.clone()));
        }
    }
    assert_eq!(broken, []);
}

/// No invariant may be violated under random faults. `LAB_STORMS` sets the number of seeds, from
/// 1000.
#[test]
fn promises_hold_in_storms() {
    assert_storms(|_| {});
}
