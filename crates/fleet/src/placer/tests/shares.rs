//! Shares of workspaces on full workers.

use proptest::prelude::*;

use bulrushlink_core::Span;

use super::super::waits::WaitReason;
use super::{Bench, accelerators, queue, step};
use crate::catalog::{Allotment, Ceiling, Workspace};
use crate::ids::JobId;
use crate::model::{Resources, Step};

/// Opens a placer for two workspaces, `calm` and `hot`, with the given weights.
fn bench(workers: usize, weights: [f64; 2]) -> Bench {
    let mut bench = Bench::open(&vec![accelerators(8); workers]);
    let workspace = |(name, weight): (&str, f64)| Workspace {
        name: name.parse().expect("valid name"),
        keys: Vec::new(),
        guaranteed: 0,
        allotment: Some(Allotment { weight: Some(weight), ceiling: Ceiling::default() }),
    };
    bench.catalog.queues.push(queue(2));
    bench.catalog.workspaces = ["calm", "hot"].into_iter().zip(weights).map(workspace).collect();
    bench
}

fn add_job(bench: &mut Bench, workspace: &str, id: u64, priority: u32, step: Step) {
    bench.add_job(id, priority, step);
    let job = bench.placer.jobs.last_mut().expect("a job");
    job.state.workspace = Some(workspace.parse().expect("valid name"));
}

/// Returns the accelerators that the runs of a workspace occupy, without those that are being stopped.
fn used(bench: &Bench, workspace: &str) -> u64 {
    let of = |id: JobId| bench.placer.workspace_of(id).is_some_and(|w| w.as_str() == workspace);
    let slots = bench.placer.workers.iter().flat_map(|w| w.slots.iter());
    let stays = |s: &&super::Slot| !matches!(s.phase, super::Phase::Closing { .. });
    slots.filter(stays).filter(|s| of(s.task.job)).map(|s| s.need.accelerators).sum()
}

fn used_by_both(bench: &Bench) -> [u64; 2] {
    ["calm", "hot"].map(|workspace| used(bench, workspace))
}

/// A workspace with more urgent or older work took all workers.
#[test]
fn full_workers_are_divided_by_weight() {
    for (weights, expected) in [([1.0, 1.0], [16, 16]), ([3.0, 1.0], [24, 8])] {
        let mut bench = bench(4, weights);
        add_job(&mut bench, "hot", 1, 0, step(60, false, 1));
        add_job(&mut bench, "hot", 2, 1, step(60, false, 1));
        add_job(&mut bench, "calm", 3, 2, step(60, false, 1));
        bench.pass();
        assert_eq!(used_by_both(&bench), expected);
    }
}

/// Guards against shares of one endpoint that count the idle workers of another: a workspace took all workers
/// of its endpoint, which were few of all.
#[test]
fn idle_workers_of_another_endpoint_do_not_count_for_the_shares() {
    let mut bench = bench(16, [1.0, 1.0]);
    for worker in &mut bench.placer.workers[4..] {
        worker.entry.as_mut().expect("an entry").endpoint = "review".to_string();
    }
    add_job(&mut bench, "hot", 1, 0, step(60, false, 1));
    add_job(&mut bench, "calm", 2, 2, step(60, false, 1));
    bench.pass();
    assert_eq!(used_by_both(&bench), [16, 16]);
}

/// A worker that was registered with an absurd capacity, and never replied, made the shares of what is in use
/// vanish: no workspace was ever over its share.
#[test]
fn capacity_of_a_worker_that_never_replied_does_not_count_for_the_shares() {
    let mut bench = bench(4, [1.0, 1.0]);
    let most = crate::model::TASK_VALUE_MAX;
    let capacities = [accelerators(8); 4].map(|c| (1, c)).into_iter();
    let odd = Resources { cpu: most, memory: most, accelerators: most };
    bench.show(capacities.chain([(1, odd)]).collect());
    add_job(&mut bench, "hot", 1, 0, step(60, false, 1));
    add_job(&mut bench, "calm", 2, 2, step(60, false, 1));
    bench.pass();
    assert_eq!(used_by_both(&bench), [16, 16]);
}

/// Guards against room that is kept idle for a workspace that doesn't want it.
#[test]
fn room_that_a_workspace_does_not_want_is_used() {
    let mut bench = bench(4, [9.0, 1.0]);
    add_job(&mut bench, "calm", 1, 2, step(3, false, 1));
    add_job(&mut bench, "hot", 2, 1, step(60, false, 1));
    bench.pass();
    assert_eq!(used_by_both(&bench), [3, 29]);
}

/// Inside a workspace, the urgent jobs go before the others although the workspace is over its share.
#[test]
fn urgent_jobs_go_first_inside_a_workspace() {
    let mut bench = bench(4, [1.0, 1.0]);
    add_job(&mut bench, "hot", 1, 2, step(60, false, 1));
    add_job(&mut bench, "hot", 2, 0, step(20, false, 1));
    add_job(&mut bench, "calm", 3, 2, step(8, false, 1));
    bench.pass();
    assert_eq!(used_by_both(&bench), [8, 24]);
    let urgent = bench.placer.workers.iter().flat_map(|w| w.slots.iter());
    assert_eq!(urgent.filter(|s| s.task.job == JobId(2)).count(), 20);
}

/// Guards against work of which nobody can tell why it waits though workers are idle.
#[test]
fn reasons_of_waiting_work_are_kept_for_the_dump() {
    let mut bench = bench(4, [1.0, 1.0]);
    let ceiling = Ceiling(Resources { accelerators: 4, ..Resources::default() });
    bench.catalog.workspaces[0].allotment.as_mut().expect("an allotment").ceiling = ceiling;
    add_job(&mut bench, "calm", 1, 1, step(9, false, 1));
    add_job(&mut bench, "hot", 2, 1, step(4, true, 8));
    bench.pass();
    let reasons = |bench: &Bench| -> Vec<WaitReason> {
        bench.placer.waits.iter().map(|w| w.reason()).collect()
    };
    assert_eq!(reasons(&bench), [WaitReason::Ceiling, WaitReason::Room]);
    add_job(&mut bench, "hot", 3, 1, step(60, false, 1));
    bench.pass();
    // The gang was tried first, while its workspace was under its share.
    assert_eq!(reasons(&bench), [WaitReason::Ceiling, WaitReason::Room, WaitReason::Share]);
    bench.now += Span(1_000);
    bench.pass();
    let of = |name: &str| {
        let named =
            |s: &&crate::policy::Standing| s.workspace.as_ref().is_some_and(|w| w.as_str() == name);
        bench.placer.standings.iter().find(named).expect("a known workspace").clone()
    };
    assert_eq!(of("calm").ceiling, ceiling);
    assert!(of("hot").share > 0.8, "{:?}", bench.placer.standings);
}

/// Guards against a gang without room that counts as a start, so that the other work of its workspace
/// waits behind that of others.
#[test]
fn gang_without_room_does_not_hold_up_its_workspace() {
    let mut bench = bench(4, [1.0, 1.0]);
    add_job(&mut bench, "calm", 1, 1, step(5, true, 8));
    add_job(&mut bench, "calm", 2, 2, step(60, false, 1));
    add_job(&mut bench, "hot", 3, 1, step(60, false, 1));
    bench.pass();
    assert_eq!(used_by_both(&bench), [16, 16]);
}

/// A gang that is wider than the share of its workspace starts before the narrow work of a workspace that
/// uses its share already.
#[test]
fn wide_gang_is_not_held_up_by_narrow_work() {
    let mut bench = bench(4, [1.0, 1.0]);
    add_job(&mut bench, "hot", 1, 1, step(8, false, 1));
    bench.pass();
    bench.commit();
    bench.catalog.workspaces[1].allotment.as_mut().expect("an allotment").weight = Some(0.1);
    add_job(&mut bench, "hot", 2, 0, step(60, false, 1));
    add_job(&mut bench, "calm", 3, 2, step(3, true, 8));
    bench.pass();
    assert_eq!(used_by_both(&bench), [24, 8]);
}

/// Lets half of the time pass that a job of one step has to spare: its estimate is 60 s, and it is allowed
/// three times that and 1 s.
fn wait_half_of_spare_time(bench: &mut Bench) {
    bench.now += Span(60_500);
    bench.show(vec![(1, accelerators(8)); bench.placer.workers.len()]);
}

/// Fills four workers with tasks of two accelerators of `hot`, then adds a gang of `calm` that has waited.
fn bench_with_gang(weights: [f64; 2], gang: Step, priority: u32) -> Bench {
    let mut bench = bench(4, weights);
    add_job(&mut bench, "hot", 1, 1, Step { saves: true, ..step(16, false, 2) });
    bench.pass();
    assert_eq!(bench.commit().len(), 16);
    add_job(&mut bench, "calm", 2, priority, gang);
    wait_half_of_spare_time(&mut bench);
    bench.pass();
    bench
}

/// Guards against a workspace that gets its share only once the runs of another end by themselves, and
/// against stops beyond what the gang needs.
#[test]
fn gang_takes_back_what_another_workspace_uses_beyond_its_share() {
    let bench = bench_with_gang([1.0, 1.0], step(4, true, 4), 1);
    assert_eq!((bench.closing(), used(&bench, "hot")), (8, 16));
    assert_eq!(bench.placer.claims.len(), 1);
}

/// A gang that isn't urgent must lose others no work: on a day with weights, such stops threw away more than
/// the shares gained.
#[test]
fn gang_takes_nothing_back_from_runs_without_checkpoints() {
    let mut bench = bench(4, [1.0, 1.0]);
    add_job(&mut bench, "hot", 1, 1, step(16, false, 2));
    bench.pass();
    bench.commit();
    add_job(&mut bench, "calm", 2, 1, step(4, true, 4));
    wait_half_of_spare_time(&mut bench);
    bench.pass();
    assert_eq!(bench.closing(), 0);
}

/// Guards against stops for a gang with which its workspace would be over its share: the other workspace
/// could take the room back, to and fro. The more urgent runs of another workspace stay as well.
#[test]
fn gang_stops_nothing_beyond_its_share() {
    let cases = [
        (([1.0, 1.0], step(5, true, 4), 1), "a gang beyond the share"),
        (([1.0, 1.0], step(5, true, 4), 0), "an urgent gang beyond the share"),
        (([1.0, 1.0], step(4, true, 4), 2), "a gang that is less urgent than the runs"),
        (([1.0, 9.0], step(4, true, 1), 1), "a gang beyond a small share"),
    ];
    for ((weights, gang, priority), what) in cases {
        let bench = bench_with_gang(weights, gang, priority);
        assert_eq!((bench.closing(), bench.placer.claims.len()), (0, 0), "{what}");
    }
}

/// Guards against stops that take a workspace far below its own share: only the run is stopped that it
/// uses beyond its share.
#[test]
fn workspace_keeps_its_share() {
    let mut bench = bench(4, [1.0, 1.0]);
    add_job(&mut bench, "hot", 1, 1, Step { saves: true, ..step(1, true, 7) });
    add_job(&mut bench, "hot", 2, 1, Step { saves: true, ..step(3, true, 8) });
    bench.pass();
    assert_eq!(bench.commit().len(), 4);
    add_job(&mut bench, "calm", 3, 1, step(1, true, 8));
    wait_half_of_spare_time(&mut bench);
    bench.pass();
    // Without the wide gang, its workspace would use less than its share.
    let stopped = bench.placer.workers.iter().flat_map(|w| w.slots.iter());
    let stopped = stopped.filter(|s| matches!(s.phase, super::Phase::Closing { .. }));
    assert!(stopped.map(|s| s.task.job).all(|id| id == JobId(1)));
}

/// Runs are stopped first in the workspace that is furthest over its share, although others lose less.
#[test]
fn workspace_furthest_over_its_share_loses_runs_first() {
    let mut bench = bench(4, [1.0, 1.0]);
    let far = Workspace {
        name: "far".parse().expect("valid name"),
        ..bench.catalog.workspaces[1].clone()
    };
    bench.catalog.workspaces.insert(1, far);
    add_job(&mut bench, "far", 1, 1, Step { saves: true, ..step(9, false, 2) });
    bench.pass();
    assert_eq!(bench.commit().len(), 9);
    bench.now += Span(5_000);
    bench.show(vec![(1, accelerators(8)); 4]);
    add_job(&mut bench, "hot", 2, 1, Step { saves: true, ..step(7, false, 2) });
    bench.pass();
    assert_eq!(bench.commit().len(), 7);
    // All of them want more than a third.
    for (n, workspace) in ["far", "hot", "calm"].into_iter().enumerate() {
        add_job(&mut bench, workspace, 10 + n as u64, 2, step(30, false, 2));
    }
    add_job(&mut bench, "calm", 20, 1, step(1, true, 2));
    wait_half_of_spare_time(&mut bench);
    bench.pass();
    assert_eq!((used(&bench, "far"), used(&bench, "hot"), bench.closing()), (16, 14, 1));
}

/// Returns the max-min shares of `all` accelerators for workspaces with weights and what they can use.
fn max_min(all: f64, wants: &[(f64, f64)]) -> Vec<f64> {
    let mut shares = vec![0.0; wants.len()];
    // Small steps of the level, as the result is compared up to one task.
    let step = all / 20_000.0;
    while shares.iter().sum::<f64>() < all - step {
        let growing: Vec<usize> = (0..wants.len()).filter(|n| shares[*n] < wants[*n].1).collect();
        let weights: f64 = growing.iter().map(|n| wants[*n].0).sum();
        if growing.is_empty() {
            break;
        }
        growing.iter().for_each(|n| shares[*n] += step * wants[*n].0 / weights);
    }
    shares
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Guards against room that stays idle while work waits that may use it, a ceiling that is passed, and
    /// a workspace that stays under its share while it has work that fits.
    #[test]
    fn full_workers_are_shared_out(
        workers in 1_usize..6,
        loads in prop::collection::vec((1_u32..50, prop_oneof![Just(0), 1_u64..40], 0_u32..60, 0_u32..3), 1..6),
    ) {
        let mut bench = bench(workers, [1.0, 1.0]);
        let template = bench.catalog.workspaces[0].clone();
        let workspace = |(n, (weight, ceiling, ..)): (usize, &(u32, u64, u32, u32))| Workspace {
            name: format!("w-{n}").parse().expect("valid name"),
            allotment: Some(Allotment {
                weight: Some(f64::from(*weight) / 10.0),
                ceiling: Ceiling(Resources { accelerators: *ceiling, ..Resources::default() }),
            }),
            ..template.clone()
        };
        bench.catalog.workspaces = loads.iter().enumerate().map(workspace).collect();
        for (n, (_, _, tasks, priority)) in loads.iter().enumerate().filter(|(_, l)| l.2 > 0) {
            add_job(&mut bench, &format!("w-{n}"), n as u64, *priority, step(*tasks, false, 1));
        }
        bench.pass();
        let all = workers as u64 * 8;
        let used: Vec<u64> = (0..loads.len()).map(|n| used(&bench, &format!("w-{n}"))).collect();
        let usable = |(_, ceiling, tasks, _): &(u32, u64, u32, u32)| match ceiling {
            0 => u64::from(*tasks),
            _ => u64::from(*tasks).min(*ceiling),
        };
        let wanted: u64 = loads.iter().map(usable).sum();
        prop_assert_eq!(used.iter().sum::<u64>(), all.min(wanted));
        let wants: Vec<(f64, f64)> =
            loads.iter().map(|l| (f64::from(l.0), usable(l) as f64)).collect();
        for (n, share) in max_min(all as f64, &wants).into_iter().enumerate() {
            prop_assert!(used[n] <= usable(&loads[n]), "ceiling of {}: {:?}", n, used);
            // Each of the others may have a task that reaches beyond its share.
            let others = loads.len() as f64 - 1.0;
            prop_assert!(used[n] as f64 > share - others - 0.1, "{}: {:?} of {}", n, used, share);
        }
    }
}
