//! Placement, preemption and ordering on small fleets.

use bulrushlink_core::{Moment, RackId, Span};

use super::{Eviction, Packing, Racks, RankInput, Room, SpeedPreference, Victim, rank};
use crate::model::{Resources, Step};
use crate::policy::Widths;

fn need(accelerators: u64) -> Resources {
    Resources { cpu: 1_000, memory: 1_024, accelerators }
}

fn step(tasks: u32, accelerators: u64) -> Step {
    Step {
        tasks,
        need: need(accelerators),
        estimate: Span(2_000),
        after: Vec::new(),
        gang: true,
        one_rack: false,
        label: None,
        near: None,
        per_worker: None,
        saves: false,
        copies: false,
        endless: false,
    }
}

fn rack(number: usize) -> RackId {
    format!("r-{number}").parse().expect("valid rack name")
}

/// Returns a worker with 8 accelerators, `free` of them free; racks have two workers each.
fn worker(number: usize, free: u64) -> Room {
    let all = Resources { cpu: 32_000, memory: 131_072, accelerators: 8 };
    Room {
        free: Resources { accelerators: free, ..all },
        excess: Resources::default(),
        claimed: Resources::default(),
        capacity: all,
        rack: Some(rack(number / 2)),
        usable: true,
        siblings: 0,
        doubt: 0,
        settled: 0,
        nearness: 0,
        band: 0,
        victims: Vec::new(),
    }
}

fn workers(free: &[u64]) -> Vec<Room> {
    free.iter().enumerate().map(|(number, free)| worker(number, *free)).collect()
}

fn place_gang(workers: &[Room], step: &Step, count: usize) -> Option<Vec<usize>> {
    let choice = (SpeedPreference::Fastest, Packing::Fullest);
    super::place_gang(workers, &Racks::of(workers), step, count, false, choice)
}

fn place_singles(workers: &[Room], step: &Step, count: usize, anywhere: bool) -> Vec<usize> {
    let choice = (SpeedPreference::SpareFastest, Packing::Fullest);
    super::place_singles(workers, step, count, anywhere, choice)
}

fn evict(workers: &[Room], step: &Step, count: usize) -> Option<Eviction> {
    super::evict(workers, &Racks::of(workers), step, count)
}

fn victim(accelerators: u64, group: usize, cost: f64) -> Victim {
    Victim { need: need(accelerators), group, cost, shared: true }
}

/// Guards against fragmentation: small tasks on empty workers would leave no whole worker for a
/// task that needs one.
#[test]
fn small_tasks_fill_partly_used_workers_first() {
    let workers = workers(&[8, 3, 8, 2]);
    assert_eq!(place_gang(&workers, &step(5, 1), 5), Some(vec![3, 3, 1, 1, 1]));
}

/// Guards against a gang that is started in part and then holds workers while its members wait.
#[test]
fn gang_is_placed_whole_or_not_at_all() {
    let workers = workers(&[8, 4, 0, 4]);
    assert_eq!(place_gang(&workers, &step(2, 8), 2), None);
    assert_eq!(place_singles(&workers, &step(2, 8), 2, true), vec![0]);
}

/// Guards against a gang spread over racks, which slows it down, although a large enough rack will
/// become free. Without such a rack, the gang must be spread instead of waiting forever.
#[test]
fn one_rack_gang_waits_if_some_rack_is_large_enough() {
    let two_workers = Step { one_rack: true, ..step(2, 8) };
    assert_eq!(place_gang(&workers(&[8, 0, 8, 0]), &two_workers, 2), None);
    assert_eq!(place_gang(&workers(&[8, 0, 8, 8]), &two_workers, 2), Some(vec![2, 3]));
    // A rack has two workers, so no rack ever fits three tasks of a whole worker.
    let three_workers = Step { one_rack: true, ..step(3, 8) };
    assert_eq!(place_gang(&workers(&[8, 0, 8, 8]), &three_workers, 3), Some(vec![0, 2, 3]));
}

/// Guards against fragmentation of racks: a small gang on an empty rack would leave none for a gang
/// that needs a whole one.
#[test]
fn one_rack_gang_takes_the_best_fitting_rack() {
    let small = Step { one_rack: true, ..step(4, 1) };
    let placed = place_gang(&workers(&[8, 8, 2, 2]), &small, 4).expect("the gang fits");
    assert!(placed.iter().all(|at| *at >= 2), "{placed:?}");
}

/// Guards against tasks that run away from their data, where they are slower, as soon as the rack
/// of their data is full. The caller of the placement allows other racks only after some waiting.
#[test]
fn tasks_leave_the_rack_of_their_data_only_if_allowed() {
    let near_step = Step { near: Some(rack(1)), gang: false, ..step(3, 1) };
    let workers = workers(&[8, 8, 1, 0]);
    assert_eq!(place_singles(&workers, &near_step, 3, false), vec![2]);
    assert_eq!(place_singles(&workers, &near_step, 3, true), vec![2, 0, 0]);
}

/// Guards against placement on a worker that already has the step's maximum number of tasks, that
/// is unusable, or that had recent faults while another one fits.
#[test]
fn per_worker_limit_faults_and_usability_are_respected() {
    let limited = Step { per_worker: Some(1), ..step(2, 1) };
    let mut workers = workers(&[8, 8, 8]);
    workers[0].siblings = 1;
    assert_eq!(place_gang(&workers, &limited, 2), Some(vec![1, 2]));
    workers[1].doubt = 1;
    assert_eq!(place_gang(&workers, &step(1, 8), 1), Some(vec![0]));
    workers[0].usable = false;
    assert_eq!(place_gang(&workers, &step(1, 8), 1), Some(vec![2]));
}

/// Guards against gangs on workers of different speeds, which run as slowly as their slowest
/// member, and against less urgent work that takes the fast workers from urgent work.
#[test]
fn gang_members_get_workers_of_similar_speed() {
    let mut workers = workers(&[8, 8, 8, 8, 8, 8]);
    for (worker, band) in workers.iter_mut().zip([-1, 1, 0, 1, 0, -1]) {
        worker.band = band;
    }
    let racks = Racks::of(&workers);
    let place = |count, preference| {
        super::place_gang(
            &workers,
            &racks,
            &step(8, 8),
            count,
            false,
            (preference, Packing::Fullest),
        )
    };
    assert_eq!(place(2, SpeedPreference::Fastest), Some(vec![1, 3]));
    assert_eq!(place(2, SpeedPreference::SpareFastest), Some(vec![2, 4]));
    // The two fast workers don't fit four members; the slow ones are not used.
    assert_eq!(place(4, SpeedPreference::Fastest), Some(vec![1, 2, 3, 4]));
    assert_eq!(place(6, SpeedPreference::SpareFastest), Some(vec![0, 1, 2, 3, 4, 5]));
    let singles = place_singles(&workers, &step(3, 8), 3, true);
    assert_eq!(singles, vec![0, 5, 2]);
}

/// Guards against a choice by the cost of each victim instead of the sum: eight small victims are
/// each cheaper than the large one, but lose more work together.
#[test]
fn cheaper_single_victim_is_preferred_to_many() {
    let mut workers = workers(&[0, 0]);
    workers[0].victims = (0..8).map(|group| victim(1, group, 3.0)).collect();
    workers[1].victims = vec![victim(8, 8, 10.0)];
    let eviction = evict(&workers, &step(1, 8), 1).expect("preemption succeeds");
    assert_eq!((eviction.placed, eviction.groups, eviction.cost), (vec![1], vec![8], 10.0));
}

/// Guards against a gang that is slowed down by a slow worker just because its victim is cheaper.
#[test]
fn slow_workers_are_preempted_only_if_needed() {
    let mut workers = workers(&[0, 0]);
    workers[0].victims = vec![victim(8, 0, 1.0)];
    workers[1].victims = vec![victim(8, 1, 9.0)];
    workers[0].band = -1;
    assert_eq!(evict(&workers, &step(1, 8), 1).map(|e| e.placed), Some(vec![1]));
    assert_eq!(evict(&workers, &step(2, 8), 2).map(|e| e.placed), Some(vec![0, 1]));
}

/// Guards against needless stops: the cheap victims are chosen first and become unnecessary once a
/// larger one is added.
#[test]
fn unneeded_victims_are_spared() {
    let mut workers = workers(&[0]);
    workers[0].victims = vec![victim(1, 0, 1.0), victim(2, 1, 2.0), victim(8, 2, 4.0)];
    let eviction = evict(&workers, &step(1, 8), 1).expect("preemption succeeds");
    assert_eq!(eviction.groups, vec![2]);
}

/// Guards against an inflated cost: a gang on two workers is a victim on both, but its work is lost
/// only once.
#[test]
fn cost_of_an_evicted_gang_is_counted_once() {
    let mut workers = workers(&[0, 0]);
    workers[0].victims = vec![victim(8, 5, 6.0)];
    workers[1].victims = vec![victim(8, 5, 6.0)];
    let eviction = evict(&workers, &step(2, 8), 2).expect("preemption succeeds");
    assert_eq!((eviction.groups, eviction.cost), (vec![5], 6.0));
}

/// Guards against two gangs that wait for the same victim: what its end frees is already claimed by
/// the first one.
#[test]
fn claimed_resources_are_not_planned_twice() {
    let mut workers = workers(&[0]);
    workers[0].victims = vec![victim(4, 0, 0.0)];
    workers[0].claimed = need(4);
    assert_eq!(evict(&workers, &step(1, 4), 1), None);
    workers[0].victims.push(victim(4, 1, 1.0));
    let eviction = evict(&workers, &step(1, 4), 1).expect("preemption succeeds");
    assert_eq!(eviction.groups, vec![0, 1]);
}

fn rank_input(due: u64, allowed: u64, needed: u64, cost: f64) -> RankInput {
    RankInput {
        guaranteed: false,
        priority: 1,
        due: Moment(due),
        allowed: Span(allowed),
        needed: Span(needed),
        cost,
    }
}

/// Guards against an overload that makes every job late: in order of arrival, late and expired jobs
/// would take the capacity from those that can still be on time. Guaranteed work always goes first.
#[test]
fn on_time_jobs_go_first_and_expired_ones_last() {
    let now = Moment(100_000);
    let on_time = rank(&rank_input(99_000, 6_000, 2_000, 9.0), now);
    let cheap = rank(&rank_input(99_500, 6_000, 2_000, 1.0), now);
    let late = rank(&rank_input(92_000, 6_000, 2_000, 1.0), now);
    let expired = rank(&RankInput { priority: 0, ..rank_input(10_000, 6_000, 2_000, 1.0) }, now);
    let guaranteed_expired =
        rank(&RankInput { guaranteed: true, ..rank_input(10_000, 6_000, 2_000, 99.0) }, now);
    let mut order = [expired, late, on_time, cheap, guaranteed_expired];
    order.sort_by(|a, b| a.compare(b));
    assert_eq!(order, [guaranteed_expired, cheap, on_time, late, expired]);
}

/// Guards against an order by cost across priorities, in which cheap work would delay urgent work.
#[test]
fn higher_priority_goes_before_lower_cost() {
    let now = Moment(100_000);
    let urgent = rank(&RankInput { priority: 0, ..rank_input(99_000, 6_000, 2_000, 50.0) }, now);
    let cheap = rank(&rank_input(90_000, 60_000, 2_000, 1.0), now);
    assert!(urgent.compare(&cheap).is_lt());
}

/// Guards against a gang that needs no resources and takes the placer down: it fits any number of
/// times on each worker of a rack, and the sum must not overflow.
#[test]
fn gang_that_needs_nothing_is_placed() {
    let workers = workers(&[8, 8]);
    let nothing = Step { need: Resources::default(), one_rack: true, ..step(3, 0) };
    assert_eq!(place_gang(&workers, &nothing, 3), Some(vec![0, 0, 0]));
}

/// Runs were stopped on a worker that had shrunk, although what they freed was less than what the
/// runs took beyond its capacity.
#[test]
fn excess_on_a_worker_that_has_shrunk_is_not_freed() {
    let victim = |group| Victim { need: need(4), group, cost: 1.0, shared: true };
    let mut shrunk = Room { excess: need(4), ..worker(0, 0) };
    shrunk.victims = vec![victim(0), victim(1)];
    let groups = |room: &Room, accelerators| {
        let rooms = [room.clone()];
        let found = super::evict(&rooms, &Racks::of(&rooms), &step(1, accelerators), 1);
        found.map(|e: Eviction| e.groups)
    };
    assert_eq!(groups(&shrunk, 4), Some(vec![0, 1]));
    assert_eq!(groups(&shrunk, 5), None);
    assert_eq!(place_gang(&[shrunk.clone()], &step(1, 0), 1), None);
    assert_eq!(place_singles(&[shrunk.clone()], &step(1, 0), 1, true), Vec::<usize>::new());
    shrunk.excess = Resources::default();
    assert_eq!(groups(&shrunk, 4).map(|g| g.len()), Some(1));
}

/// Runs tasks of 1, 2, 4 and 8 accelerators that come and go on workers of 8; returns how many tasks of
/// each width could start at the end, summed over time.
fn usable_over_time(packs_by_width: bool, seed: u64) -> [u64; 4] {
    const WIDTHS: [u64; 4] = [1, 2, 4, 8];
    let mut random = fastrand::Rng::with_seed(seed);
    let mut rooms = workers(&[8; 40]);
    let mut running: Vec<(u64, usize, u64)> = Vec::new();
    let mut widths = Widths::default();
    let mut usable = [0; 4];
    for now in 0..4_000 {
        let width = WIDTHS[random.usize(..4)];
        widths.observe(Moment(now * 50), [(width, random.usize(1..4))].into_iter());
        let packing = if packs_by_width { Packing::Usable(widths) } else { Packing::Fullest };
        let choice = (SpeedPreference::SpareFastest, packing);
        // About two thirds of the accelerators are in use.
        let lasts = random.u64(20..80) + if random.u8(..20) == 0 { 150 } else { 0 };
        for at in super::place_singles(&rooms, &step(1, width), 1, true, choice) {
            rooms[at].free.accelerators -= width;
            running.push((now + lasts, at, width));
        }
        for (_, at, width) in running.extract_if(.., |(end, ..)| *end <= now) {
            rooms[at].free.accelerators += width;
        }
        for (n, width) in WIDTHS.iter().enumerate() {
            usable[n] += rooms.iter().map(|r| r.free.accelerators / width).sum::<u64>();
        }
    }
    usable
}

/// Guards against fragmentation when runs end in any order: the widest gang that could start must not be
/// narrower, at any width, than if the fullest workers are filled first.
#[test]
fn whole_workers_stay_whole_as_runs_come_and_go() {
    let (mut fullest, mut by_width) = ([0; 4], [0; 4]);
    for seed in 0..5 {
        let (before, after) = (usable_over_time(false, seed), usable_over_time(true, seed));
        println!("seed {seed}: widest gang {before:?}, by width {after:?}");
        for n in 0..4 {
            fullest[n] += before[n];
            by_width[n] += after[n];
        }
    }
    assert!((1..4).all(|n| by_width[n] >= fullest[n]), "{by_width:?}, {fullest:?}");
}

/// Long runs without checkpoints were spread over all workers, so that none could be cleared for urgent
/// work. They share workers even if another one is fuller.
#[test]
fn long_runs_gather_on_the_same_workers() {
    let mut workers = workers(&[8, 2, 6]);
    workers[2].settled = 2;
    let place = |packing| {
        let choice = (SpeedPreference::SpareFastest, packing);
        super::place_gang(&workers, &Racks::of(&workers), &step(1, 2), 1, false, choice)
    };
    assert_eq!(place(Packing::Fullest), Some(vec![1]));
    assert_eq!(place(Packing::Usable(Widths::default())), Some(vec![1]));
    assert_eq!(place(Packing::Gathered(Widths::default())), Some(vec![2]));
}
