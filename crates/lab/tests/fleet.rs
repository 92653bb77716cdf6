//! Nodes of the fleet's scheduler under the platform's faults, in virtual time.

use bulrushlink_core::Span;
use bulrushlink_fleet::{JobId, JobSpec, Resources, ShownState, Step};
use bulrushlink_lab::{FleetLab, FleetNoise, Told, Trouble};
use bulrushlink_telemetry::{Sink, open_log};

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

/// Time for the daemons to start, in milliseconds.
const WARM_UP: u64 = 1_000;

fn assert_kept(lab: &mut FleetLab) {
    lab.check_ends();
    assert_eq!(lab.breaches(), []);
}

#[test]
fn a_calm_day_serves_gangs_steps_repeats_and_cancellations() {
    let mut lab = FleetLab::open(3, 8, 1);
    lab.run(WARM_UP);
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
    assert_kept(&mut lab);
}

/// Found by `fleetbench score` on the second site, day `scale-1`: nothing was placed any more.
#[test]
fn jobs_are_learned_of_after_the_history_is_lost_under_load() {
    let mut lab = FleetLab::open(3, 8, 2);
    lab.run(WARM_UP);
    lab.submit(1_000, 0, JobId(1), "batch", job(vec![step(8, 1, 20_000, vec![])]));
    lab.run(1_000);
    // Holds and commits go on while the inbox is listed again.
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
    assert_kept(&mut lab);
}

/// Found by `fleetbench hunt` on the first site, `trouble-3 --seed 468041022512`: each unanswered
/// hold put off the end of the leases.
#[test]
fn the_runs_of_a_worker_that_has_left_start_elsewhere() {
    let mut lab = FleetLab::open(3, 4, 3);
    lab.run(WARM_UP);
    lab.submit(1_000, 0, JobId(1), "batch", job(vec![step(2, 8, 8_000, vec![])]));
    lab.run(1_500);
    let places = lab.places(JobId(1));
    lab.plan(2_600, Trouble::Remove(places[0]));
    lab.run(20_000);
    assert_eq!(lab.state(JobId(1)), Some(ShownState::Completed));
    assert_kept(&mut lab);
}

/// Found by `fleetbench run` on the second grown site, day `scale-1`: a run had ended well before its
/// lease was over, and its worker couldn't be heard until after that.
#[test]
fn an_end_that_is_heard_after_the_lease_still_counts() {
    for gang in [true, false] {
        let mut lab = FleetLab::open(3, 1, 4);
        lab.run(WARM_UP);
        let steps = vec![Step { gang, ..step(2, 4, 5_000, vec![]) }];
        lab.submit(1_000, 0, JobId(1), "batch", job(steps));
        lab.plan(2_000, Trouble::CutWorker(0, 12_000));
        lab.run(20_000);
        assert_eq!(lab.state(JobId(1)), Some(ShownState::Completed), "gang {gang}");
        assert_eq!(lab.starts(), 2, "gang {gang}");
        assert_kept(&mut lab);
    }
}

/// The same with a later run on another worker, which isn't needed any more.
#[test]
fn a_late_end_stops_the_run_that_replaced_it() {
    for gang in [true, false] {
        let mut lab = FleetLab::open(3, 2, 4);
        lab.run(WARM_UP);
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
        assert_kept(&mut lab);
    }
}

/// The load of hundreds of workers takes more than the weakest hosts of a deployment have.
#[test]
fn strong_hosts_place_where_there_are_any() {
    for seed in 0..8 {
        let mut lab = FleetLab::open(4, 4, seed);
        (0..3).for_each(|seat| lab.weaken(seat));
        lab.run(WARM_UP);
        assert_eq!(lab.placer(), Some(3));
        lab.plan(1_500, Trouble::Restart(3));
        lab.run(3_000);
        assert_ne!(lab.placer(), Some(3));
        assert!(lab.placer().is_some());
    }
}

/// A strong host that was cut off takes over again, and no run suffers.
#[test]
fn a_weak_placer_hands_over_to_a_strong_host() {
    let mut lab = FleetLab::open(3, 4, 7);
    (0..2).for_each(|seat| lab.weaken(seat));
    lab.run(WARM_UP);
    lab.submit(1_000, 0, JobId(1), "batch", job(vec![step(4, 4, 9_000, vec![])]));
    lab.plan(2_000, Trouble::CutStore(2, 4_000));
    lab.run(4_000);
    let weak = lab.placer();
    assert!(weak == Some(0) || weak == Some(1), "{weak:?}");
    lab.run(8_000);
    assert_eq!(lab.placer(), Some(2));
    lab.run(4_000);
    assert_eq!(lab.state(JobId(1)), Some(ShownState::Completed));
    assert_eq!(lab.starts(), 4);
    assert_kept(&mut lab);
}

/// Load pattern: urgent work comes while what takes its room is about to end.
#[test]
fn a_run_that_is_about_to_end_is_not_stopped_for_urgent_work() {
    let mut lab = FleetLab::open(3, 1, 11);
    lab.run(WARM_UP);
    lab.submit(1_000, 0, JobId(1), "batch", job(vec![step(1, 8, 5_000, vec![])]));
    lab.submit(5_530, 1, JobId(2), "roster", job(vec![step(1, 8, 1_000, vec![])]));
    lab.run(8_000);
    assert_eq!(lab.state(JobId(1)), Some(ShownState::Completed));
    assert_eq!(lab.state(JobId(2)), Some(ShownState::Completed));
    assert_eq!(lab.starts(), 2);
    assert_kept(&mut lab);
}

#[test]
fn a_placer_killed_in_the_middle_of_a_gangs_start_leaves_no_part_of_it() {
    for delay in 0..14 {
        let mut lab = FleetLab::open(3, 8, 40 + delay);
        lab.run(WARM_UP);
        lab.submit(1_500, 1, JobId(7), "replay", job(vec![step(16, 4, 2_000, vec![])]));
        lab.plan(1_504 + delay, Trouble::KillPlacer);
        lab.run(25_000);
        assert_eq!(lab.state(JobId(7)), Some(ShownState::Completed), "delay {delay}");
        assert_kept(&mut lab);
    }
}

#[test]
fn a_worker_that_fails_everything_does_not_use_up_the_attempts() {
    let mut lab = FleetLab::open(3, 8, 5);
    lab.run(WARM_UP);
    lab.plan(1_000, Trouble::Failing(2, true));
    for n in 0..12 {
        lab.submit(1_100 + n * 400, 0, JobId(n), "replay", job(vec![step(4, 2, 1_500, vec![])]));
    }
    lab.run(40_000);
    for n in 0..12 {
        assert_eq!(lab.state(JobId(n)), Some(ShownState::Completed), "job {n}");
    }
    assert_kept(&mut lab);
}

#[test]
fn a_refusal_is_true_while_the_store_is_down_and_its_answers_are_lost() {
    let mut lab = FleetLab::open(3, 8, 6);
    lab.run(WARM_UP);
    lab.set_noise(FleetNoise { store_lost: 0.4, store_late: 0.2, ..FleetNoise::default() });
    lab.plan(4_000, Trouble::StoreDown(4_000));
    for n in 0..60 {
        let seat = (n % 3) as usize;
        lab.submit(1_000 + n * 150, seat, JobId(n), "roster", job(vec![step(1, 1, 500, vec![])]));
    }
    lab.run(20_000);
    lab.set_noise(FleetNoise::default());
    lab.run(30_000);
    let refused = (0..60).filter(|n| lab.told(JobId(*n)) == Some(Told::Refused)).count();
    assert!(refused > 0, "the store was down for 4 s");
    assert_kept(&mut lab);
}

/// Found by `fleetbench hunt` on the second site, `hunt-dd30-43`: two gangs counted on the same room.
#[test]
fn guaranteed_jobs_that_come_together_all_begin_in_time() {
    for seed in 0..10 {
        let mut lab = FleetLab::open(3, 8, seed);
        lab.run(WARM_UP);
        let mut filler = step(64, 1, 30_000, vec![]);
        filler.gang = false;
        lab.submit(1_000, 0, JobId(1), "batch", job(vec![filler]));
        lab.run(1_000);
        let shapes = [(1, 8), (2, 2), (1, 4), (4, 1), (2, 2)];
        for (n, (tasks, accelerators)) in (10..).zip(shapes) {
            let gang = step(tasks, accelerators, 6_000, vec![]);
            lab.submit(2_000 + (n - 10) * 20, 1, JobId(n), "roster", job(vec![gang]));
        }
        lab.run(80 + 3_400);
        for n in 10..15 {
            assert!(lab.has_started(JobId(n)), "seed {seed}: job {n} has not begun");
        }
        lab.run(60_000);
        assert_kept(&mut lab);
    }
}

/// Found by `fleetbench run` on the second site, `quiet-1`: whole gangs were stopped shortly before
/// their end because their fast members had nothing more to do.
#[test]
fn a_gang_that_waits_for_a_slow_member_is_not_stalled() {
    let mut lab = FleetLab::open(3, 4, 9);
    lab.run(WARM_UP);
    (1..4).for_each(|worker| lab.plan(900, Trouble::Slow(worker, 3)));
    lab.submit(1_000, 0, JobId(1), "replay", job(vec![step(4, 8, 3_000, vec![])]));
    lab.run(14_000);
    assert_eq!(lab.state(JobId(1)), Some(ShownState::Completed));
    assert_eq!(lab.starts(), 4);
}

/// A job that was accepted is kept whatever becomes of its queue.
#[test]
fn a_job_runs_though_its_queue_is_removed_meanwhile() {
    let mut lab = FleetLab::open(3, 2, 10);
    lab.run(WARM_UP);
    lab.submit(1_000, 0, JobId(1), "roster", job(vec![step(2, 8, 2_000, vec![])]));
    lab.submit(1_100, 0, JobId(2), "batch", job(vec![step(2, 8, 1_000, vec![])]));
    lab.run(1_000);
    let mut removed = None;
    lab.change_catalog(|c| removed = Some(c.queues.remove(0)));
    lab.run(5_000);
    assert!(lab.has_started(JobId(2)));
    lab.change_catalog(|c| c.queues.insert(0, removed.take().expect("a queue")));
    lab.run(5_000);
    assert_kept(&mut lab);
}

#[test]
fn a_run_that_hangs_goes_on_elsewhere() {
    let mut lab = FleetLab::open(3, 4, 9);
    lab.run(WARM_UP);
    lab.submit(1_000, 0, JobId(1), "replay", job(vec![step(1, 8, 3_000, vec![])]));
    lab.run(1_500);
    let places = lab.places(JobId(1));
    lab.plan(2_600, Trouble::Hanging(places[0], true));
    lab.run(12_000);
    assert_eq!(lab.state(JobId(1)), Some(ShownState::Completed));
    assert_kept(&mut lab);
}

/// Plans troubles of every kind at random moments, and a stream of jobs meanwhile.
fn storm(seed: u64) -> FleetLab {
    let (daemons, workers) = (4, 10);
    let mut random = fastrand::Rng::with_seed(seed);
    let mut lab = FleetLab::open(daemons, workers, seed);
    lab.run(WARM_UP);
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
        let (at, seat) = (1_000 + random.u64(..30_000), random.usize(..daemons));
        let tasks = [1, 2, 3, 5, 8][random.usize(..5)];
        // What is left of the workers can always hold the largest gang.
        let accelerators = [1, 1, 2, 4, 8][random.usize(..5)].min(24 / u64::from(tasks));
        let mut first = step(tasks, accelerators, random.u64(200..4_000), vec![]);
        first.gang = random.bool();
        first.one_rack = random.bool();
        let mut steps = vec![first];
        if random.u8(..4) == 0 {
            steps.push(step(2, 1, 500, vec![0]));
        }
        lab.submit(at, seat, JobId(n), queues[random.usize(..3)], job(steps));
        if random.u8(..4) == 0 {
            lab.submit_again(at + random.u64(..5_000), random.usize(..daemons), JobId(n));
        }
        if random.u8(..8) == 0 {
            lab.cancel(at + random.u64(200..6_000), random.usize(..daemons), JobId(n));
        }
    }
    for _ in 0..random.usize(2..9) {
        let at = random.u64(2_000..30_000);
        let (seat, worker) = (random.usize(..daemons), random.usize(..workers));
        let time = random.u64(300..7_000);
        let trouble = match random.u8(..14) {
            0 => Trouble::Kill(seat),
            1 | 2 => Trouble::KillPlacer,
            3 => Trouble::Restart(seat),
            4 => Trouble::Freeze(seat, time),
            5 => Trouble::CutStore(seat, time),
            6 | 7 => Trouble::CutWorker(worker, time),
            8 => Trouble::Reboot(worker),
            9 => Trouble::StoreDown(time),
            10 => Trouble::LapseLeases,
            11 => Trouble::Compact,
            12 => Trouble::Remove(worker),
            _ => Trouble::KillAll,
        };
        lab.plan(at, trouble);
    }
    lab.run(33_000);
    lab.set_noise(FleetNoise::default());
    lab.run(60_000);
    lab.check_ends();
    lab
}

/// Plays one storm with the daemons' log: `LAB_SEED=1022 cargo test -p bulrushlink-lab --test fleet
/// one_storm -- --nocapture`.
#[test]
fn one_storm() {
    let seed = std::env::var("LAB_SEED").ok().and_then(|s| s.parse().ok());
    if seed.is_some() {
        let daemon = "lab".parse().expect("a valid name");
        open_log("debug", &daemon, Sink::Stderr).expect("no other logger");
    }
    let lab = storm(seed.unwrap_or(999));
    println!("{}", lab.trace("").join("\n"));
    assert_eq!(lab.breaches(), []);
}

#[test]
fn promises_hold_in_storms() {
    let mut broken = Vec::new();
    let count = std::env::var("LAB_STORMS").ok().and_then(|s| s.parse().ok()).unwrap_or(40);
    for seed in 1_000..1_000 + count {
        let lab = storm(seed);
        if let Some(first) = lab.breaches().first() {
            let task = first.text.split(' ').next().unwrap_or("");
            println!("seed {seed}: {first:?}\n{}", lab.trace(task).join("\n"));
            broken.push((seed, lab.breaches().len(), first.clone()));
        }
    }
    assert_eq!(broken, []);
}
