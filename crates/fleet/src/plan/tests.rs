//! The decisions on the load patterns that they answer.

use bulrushlink_core::{Moment, RackId, Span};

use super::{Eviction, Haste, Racks, Request, Room, Victim, rank};
use crate::model::{Resources, Step};

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
    format!("r-{number}").parse().expect("a valid name")
}

/// A worker of 8 accelerators with so many of them free, in racks of two.
fn room(number: usize, free: u64) -> Room {
    let all = Resources { cpu: 32_000, memory: 131_072, accelerators: 8 };
    Room {
        free: Resources { accelerators: free, ..all },
        claimed: Resources::default(),
        capacity: all,
        rack: Some(rack(number / 2)),
        usable: true,
        siblings: 0,
        doubt: 0,
        band: 0,
        victims: Vec::new(),
    }
}

fn rooms(free: &[u64]) -> Vec<Room> {
    free.iter().enumerate().map(|(number, free)| room(number, *free)).collect()
}

fn place_gang(rooms: &[Room], step: &Step, count: usize) -> Option<Vec<usize>> {
    super::place_gang(rooms, &Racks::of(rooms), step, count, Haste::Urgent)
}

fn place_singles(rooms: &[Room], step: &Step, count: usize, anywhere: bool) -> Vec<usize> {
    super::place_singles(rooms, step, count, anywhere, Haste::Patient)
}

fn evict(rooms: &[Room], step: &Step, count: usize) -> Option<Eviction> {
    super::evict(rooms, &Racks::of(rooms), step, count)
}

fn victim(accelerators: u64, group: usize, cost: f64) -> Victim {
    Victim { need: need(accelerators), group, cost }
}

#[test]
fn small_tasks_leave_whole_workers_free() {
    let rooms = rooms(&[8, 3, 8, 2]);
    assert_eq!(place_gang(&rooms, &step(5, 1), 5), Some(vec![3, 3, 1, 1, 1]));
}

#[test]
fn a_gang_is_placed_whole_or_not_at_all() {
    let rooms = rooms(&[8, 4, 0, 4]);
    assert_eq!(place_gang(&rooms, &step(2, 8), 2), None);
    assert_eq!(place_singles(&rooms, &step(2, 8), 2, true), vec![0]);
}

#[test]
fn a_gang_for_one_rack_waits_for_a_rack_that_could_hold_it() {
    let wanted = Step { one_rack: true, ..step(2, 8) };
    assert_eq!(place_gang(&rooms(&[8, 0, 8, 0]), &wanted, 2), None);
    assert_eq!(place_gang(&rooms(&[8, 0, 8, 8]), &wanted, 2), Some(vec![2, 3]));
    // No rack of two workers can ever hold three of them.
    let wide = Step { one_rack: true, ..step(3, 8) };
    assert_eq!(place_gang(&rooms(&[8, 0, 8, 8]), &wide, 3), Some(vec![0, 2, 3]));
}

#[test]
fn a_gang_for_one_rack_takes_the_rack_with_the_least_to_spare() {
    let wanted = Step { one_rack: true, ..step(4, 1) };
    let placed = place_gang(&rooms(&[8, 8, 2, 2]), &wanted, 4).expect("room");
    assert!(placed.iter().all(|at| *at >= 2), "{placed:?}");
}

#[test]
fn tasks_near_their_data_go_elsewhere_only_after_waiting() {
    let wanted = Step { near: Some(rack(1)), gang: false, ..step(3, 1) };
    let rooms = rooms(&[8, 8, 1, 0]);
    assert_eq!(place_singles(&rooms, &wanted, 3, false), vec![2]);
    assert_eq!(place_singles(&rooms, &wanted, 3, true), vec![2, 0, 0]);
}

#[test]
fn limits_of_a_worker_and_doubts_are_minded() {
    let limited = Step { per_worker: Some(1), ..step(2, 1) };
    let mut rooms = rooms(&[8, 8, 8]);
    rooms[0].siblings = 1;
    assert_eq!(place_gang(&rooms, &limited, 2), Some(vec![1, 2]));
    rooms[1].doubt = 1;
    assert_eq!(place_gang(&rooms, &step(1, 8), 1), Some(vec![0]));
    rooms[0].usable = false;
    assert_eq!(place_gang(&rooms, &step(1, 8), 1), Some(vec![2]));
}

/// Load pattern: workers of different speeds, and gangs that are as slow as their slowest member.
#[test]
fn members_of_a_gang_get_workers_alike_and_urgent_ones_the_fastest() {
    let mut rooms = rooms(&[8, 8, 8, 8, 8, 8]);
    for (room, band) in rooms.iter_mut().zip([-1, 1, 0, 1, 0, -1]) {
        room.band = band;
    }
    let racks = Racks::of(&rooms);
    let place = |count, haste| super::place_gang(&rooms, &racks, &step(8, 8), count, haste);
    assert_eq!(place(2, Haste::Urgent), Some(vec![1, 3]));
    assert_eq!(place(2, Haste::Patient), Some(vec![2, 4]));
    // Four don't fit onto the fast ones; the slow ones stay out.
    assert_eq!(place(4, Haste::Urgent), Some(vec![1, 2, 3, 4]));
    assert_eq!(place(6, Haste::Patient), Some(vec![0, 1, 2, 3, 4, 5]));
    let singles = super::place_singles(&rooms, &step(3, 8), 3, true, Haste::Patient);
    assert_eq!(singles, vec![0, 5, 2]);
}

#[test]
fn one_large_victim_goes_before_many_that_lose_more() {
    let mut rooms = rooms(&[0, 0]);
    rooms[0].victims = (0..8).map(|group| victim(1, group, 3.0)).collect();
    rooms[1].victims = vec![victim(8, 8, 10.0)];
    let found = evict(&rooms, &step(1, 8), 1).expect("room can be made");
    assert_eq!((found.placed, found.groups, found.cost), (vec![1], vec![8], 10.0));
}

#[test]
fn room_is_made_on_slow_workers_only_if_it_must_be() {
    let mut rooms = rooms(&[0, 0]);
    rooms[0].victims = vec![victim(8, 0, 1.0)];
    rooms[1].victims = vec![victim(8, 1, 9.0)];
    rooms[0].band = -1;
    assert_eq!(evict(&rooms, &step(1, 8), 1).map(|e| e.placed), Some(vec![1]));
    assert_eq!(evict(&rooms, &step(2, 8), 2).map(|e| e.placed), Some(vec![0, 1]));
}

#[test]
fn victims_that_are_not_needed_after_all_stay() {
    let mut rooms = rooms(&[0]);
    rooms[0].victims = vec![victim(1, 0, 1.0), victim(2, 1, 2.0), victim(8, 2, 4.0)];
    let found = evict(&rooms, &step(1, 8), 1).expect("room can be made");
    assert_eq!(found.groups, vec![2]);
}

#[test]
fn the_room_of_a_gang_that_ends_is_counted_once_for_all_its_members() {
    let mut rooms = rooms(&[0, 0]);
    rooms[0].victims = vec![victim(8, 5, 6.0)];
    rooms[1].victims = vec![victim(8, 5, 6.0)];
    let found = evict(&rooms, &step(2, 8), 2).expect("room can be made");
    assert_eq!((found.groups, found.cost), (vec![5], 6.0));
}

/// Two gangs must not count on the same room: the first has claimed what the end of a run frees.
#[test]
fn claimed_room_is_not_offered_again() {
    let mut rooms = rooms(&[0]);
    rooms[0].victims = vec![victim(4, 0, 0.0)];
    rooms[0].claimed = need(4);
    assert_eq!(evict(&rooms, &step(1, 4), 1), None);
    rooms[0].victims.push(victim(4, 1, 1.0));
    let found = evict(&rooms, &step(1, 4), 1).expect("room can be made");
    assert_eq!(found.groups, vec![0, 1]);
}

fn request(due: u64, allowed: u64, needed: u64, cost: f64) -> Request {
    Request {
        guaranteed: false,
        priority: 1,
        due: Moment(due),
        allowed: Span(allowed),
        needed: Span(needed),
        cost,
    }
}

#[test]
fn under_overload_jobs_that_can_be_in_time_go_first_and_useless_ones_last() {
    let now = Moment(100_000);
    let in_time = rank(&request(99_000, 6_000, 2_000, 9.0), now);
    let cheap = rank(&request(99_500, 6_000, 2_000, 1.0), now);
    let late = rank(&request(92_000, 6_000, 2_000, 1.0), now);
    let useless = rank(&Request { priority: 0, ..request(10_000, 6_000, 2_000, 1.0) }, now);
    let promised = rank(&Request { guaranteed: true, ..request(10_000, 6_000, 2_000, 99.0) }, now);
    let mut order = [useless, late, in_time, cheap, promised];
    order.sort_by(|a, b| a.order(b));
    assert_eq!(order, [promised, cheap, in_time, late, useless]);
}

#[test]
fn urgent_work_goes_before_cheap_work() {
    let now = Moment(100_000);
    let urgent = rank(&Request { priority: 0, ..request(99_000, 6_000, 2_000, 50.0) }, now);
    let cheap = rank(&request(90_000, 60_000, 2_000, 1.0), now);
    assert!(urgent.order(&cheap).is_lt());
}
