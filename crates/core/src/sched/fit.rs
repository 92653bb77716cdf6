//! Finds room for a gang: for all of its tasks or for none.
//!
//! A run is a set of available accelerators with consecutive positions on one worker. Small work is
//! packed into the smallest run that holds it, and gangs into the rack that they leave the least
//! room in, so that whole workers and whole racks stay free for large shapes. The cost is that small
//! jobs share racks, and a rack that fails takes more of them down.

#[cfg(test)]
mod tests;

use crate::job::{Adjacency, Shape, TASK_MAX_ACCELERATORS};
use crate::sched::fleet::{Fleet, Rack, View, WorkerIx};
use crate::units::AcceleratorSet;

/// Maximum number of workers of one run length that are checked before the search goes on to longer
/// runs.
const WORKERS_PER_RUN_MAX: usize = 32;

/// Where a task, or a gang that needs one worker, is to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
pub(super) struct Place {
    pub(super) worker: WorkerIx,
    pub(super) set: AcceleratorSet,
    /// Tasks that share the set: one, or all of a gang that needs one worker.
    pub(super) tasks: u16,
}

/// Finds room for `shape` under `view`, on no worker of `avoid`.
pub(super) fn find(
    fleet: &Fleet,
    view: View,
    shape: Shape,
    avoid: &[WorkerIx],
) -> Option<Vec<Place>> {
    if fleet.task_capacity(view, shape.accelerators) < u32::from(shape.tasks) {
        return None;
    }
    if shape.tasks == 1 || shape.adjacency == Adjacency::Worker {
        return find_on_worker(fleet, view, shape, avoid).map(|place| vec![place]);
    }
    let size = shape.accelerators;
    let want = u32::from(shape.tasks);
    let capacity = |rack: &Rack| rack_capacity(fleet, rack, view, size, avoid);
    let fitting =
        fleet.racks.iter().filter(|r| r.task_capacity(view, size) >= want && capacity(r) >= want);
    if let Some(rack) = fitting.min_by_key(|r| capacity(r)) {
        let mut places = Vec::with_capacity(shape.tasks as usize);
        fill_rack(fleet, rack, view, size, shape.tasks, avoid, &mut places);
        return Some(places);
    }
    match shape.adjacency {
        Adjacency::Domain => find_across(fleet, view, shape, avoid),
        Adjacency::Rack | Adjacency::Worker => None,
    }
}

/// Finds room for `shape` like [`find`], but puts jobs with checkpoints into the last racks, all
/// other jobs and the guarantees into the first, so that a rack can be cleared for a large gang.
pub(super) fn find_segregated(
    fleet: &Fleet,
    view: View,
    shape: Shape,
    avoid: &[WorkerIx],
    checkpointable: bool,
) -> Option<Vec<Place>> {
    let size = shape.accelerators;
    if fleet.task_capacity(view, size) < u32::from(shape.tasks) {
        return None;
    }
    let single = shape.tasks == 1 || shape.adjacency == Adjacency::Worker;
    let count = fleet.racks.len();
    let want = u32::from(shape.tasks);
    for i in 0..count {
        let rack = &fleet.racks[if checkpointable { count - 1 - i } else { i }];
        if single {
            if let Some(place) = find_in_rack(fleet, rack, view, shape, avoid) {
                return Some(vec![place]);
            }
        } else if rack_capacity(fleet, rack, view, size, avoid) >= want {
            let mut places = Vec::with_capacity(shape.tasks as usize);
            fill_rack(fleet, rack, view, size, shape.tasks, avoid, &mut places);
            return Some(places);
        }
    }
    find(fleet, view, shape, avoid)
}

fn find_in_rack(
    fleet: &Fleet,
    rack: &Rack,
    view: View,
    shape: Shape,
    avoid: &[WorkerIx],
) -> Option<Place> {
    let size = shape.total().min(64) as u8;
    let candidates = rack.workers.iter().filter(|ix| !avoid.contains(ix));
    let fits = candidates.filter_map(|ix| {
        let worker = fleet.worker(*ix);
        // Capacity is counted for the sizes of tasks only; `pick_run` decides about larger blocks.
        let capacity = if size as usize <= TASK_MAX_ACCELERATORS as usize {
            worker.task_capacity(view, size)
        } else {
            1
        };
        if capacity == 0 || worker.available_slots(view) < shape.tasks {
            return None;
        }
        let mask = worker.available(view);
        Some((mask.len(), *ix, pick_run(mask, size)?))
    });
    let best = fits.min_by_key(|(left, ix, _)| (*left, *ix))?;
    Some(Place { worker: best.1, set: best.2, tasks: shape.tasks })
}

/// Returns true if [`find`] may find room when no worker is avoided.
pub(super) fn may_fit(fleet: &Fleet, view: View, shape: Shape) -> bool {
    let want = u32::from(shape.tasks);
    if fleet.task_capacity(view, shape.accelerators) < want {
        return false;
    }
    if shape.tasks == 1 || shape.adjacency == Adjacency::Worker {
        return find_on_worker(fleet, view, shape, &[]).is_some();
    }
    let domain = shape.adjacency == Adjacency::Domain;
    domain || fleet.racks.iter().any(|rack| rack.task_capacity(view, shape.accelerators) >= want)
}

/// Fills racks beginning with the one that has the most room, so that a gang spans few of them.
fn find_across(fleet: &Fleet, view: View, shape: Shape, avoid: &[WorkerIx]) -> Option<Vec<Place>> {
    let size = shape.accelerators;
    let mut racks: Vec<_> =
        fleet.racks.iter().filter(|r| r.task_capacity(view, size) > 0).collect();
    racks.sort_by_key(|r| std::cmp::Reverse(r.task_capacity(view, size)));
    let mut places = Vec::with_capacity(shape.tasks as usize);
    let mut left = shape.tasks;
    for rack in racks {
        left -= fill_rack(fleet, rack, view, size, left, avoid, &mut places);
        if left == 0 {
            return Some(places);
        }
    }
    None
}

fn rack_capacity(fleet: &Fleet, rack: &Rack, view: View, size: u8, avoid: &[WorkerIx]) -> u32 {
    let lost = avoid.iter().filter(|ix| rack.workers.binary_search(ix).is_ok());
    rack.task_capacity(view, size)
        - lost.map(|ix| u32::from(fleet.worker(*ix).task_capacity(view, size))).sum::<u32>()
}

/// Places up to `want` tasks in a rack and returns how many. Workers that are filled completely
/// come first, then the one that is left with the least room.
fn fill_rack(
    fleet: &Fleet,
    rack: &Rack,
    view: View,
    size: u8,
    want: u16,
    avoid: &[WorkerIx],
    places: &mut Vec<Place>,
) -> u16 {
    let mut candidates: Vec<_> = rack
        .workers
        .iter()
        .filter(|ix| !avoid.contains(ix))
        .map(|ix| (fleet.worker(*ix).task_capacity(view, size), *ix))
        .filter(|(capacity, _)| *capacity > 0)
        .collect();
    candidates.sort_unstable();
    let mut left = want;
    while left > 0 && !candidates.is_empty() {
        let fillable = candidates.partition_point(|(capacity, _)| *capacity <= left);
        let (capacity, ix) = candidates.remove(fillable.saturating_sub(1));
        let count = capacity.min(left);
        fill_worker(fleet, ix, view, size, count, places);
        left -= count;
    }
    want - left
}

fn fill_worker(
    fleet: &Fleet,
    ix: WorkerIx,
    view: View,
    size: u8,
    count: u16,
    places: &mut Vec<Place>,
) {
    let mut mask = fleet.worker(ix).available(view);
    for _ in 0..count {
        let set = pick_run(mask, size).expect("task_capacity counts the runs of the available set");
        mask = mask.difference(set);
        places.push(Place { worker: ix, set, tasks: 1 });
    }
}

/// Finds room for all tasks on one worker: the smallest run that holds them, in the first rack.
fn find_on_worker(fleet: &Fleet, view: View, shape: Shape, avoid: &[WorkerIx]) -> Option<Place> {
    let size = shape.total();
    for run in size..=64 {
        let list = fleet.workers_with_run(view, run as usize);
        for entry in list.iter().take(WORKERS_PER_RUN_MAX + avoid.len()) {
            let worker = fleet.worker(entry.worker);
            if avoid.contains(&entry.worker) || worker.available_slots(view) < shape.tasks {
                continue;
            }
            let set = pick_run(worker.available(view), size as u8)?;
            return Some(Place { worker: entry.worker, set, tasks: shape.tasks });
        }
    }
    None
}

/// Picks `size` consecutive positions out of `mask`. Prefers, in this order, the shortest run that
/// holds them, positions whose use leaves as many sets of that size in the rest of the run as
/// possible, alignment as in a buddy allocator, and the edge of the run.
pub(super) fn pick_run(mask: AcceleratorSet, size: u8) -> Option<AcceleratorSet> {
    if size == 0 {
        return Some(AcceleratorSet::EMPTY);
    }
    let last = 64 - size;
    let fits = (0..=last).filter(|first| mask.contains(AcceleratorSet::contiguous(*first, size)));
    let best = fits.min_by_key(|first| {
        let below = (mask.0 << (63 - first) << 1).leading_ones();
        let below = if *first == 0 { 0 } else { below };
        let above = mask.0.checked_shr(u32::from(first + size)).unwrap_or(0).trailing_ones();
        let n = u32::from(size);
        let lost = (below + above) / n - below / n - above / n;
        (below + above, lost, !first.is_multiple_of(size), below.min(above), *first)
    })?;
    Some(AcceleratorSet::contiguous(best, size))
}

/// Returns true if the workers that are not in `avoid` could hold `shape` with nothing else
/// running. Workers that are temporarily unavailable count too.
pub(super) fn ever_fits(fleet: &Fleet, shape: Shape, avoid: &[WorkerIx]) -> bool {
    let size = shape.accelerators;
    if shape.tasks == 1 || shape.adjacency == Adjacency::Worker {
        let fits = |ix| {
            let info = &fleet.worker(ix).info;
            u32::from(info.accelerators) >= shape.total() && info.slots >= shape.tasks
        };
        return fleet.present().filter(|ix| !avoid.contains(ix)).any(fits);
    }
    let max_tasks = |ix: &WorkerIx| {
        let info = &fleet.worker(*ix).info;
        let by_size = info.accelerators.checked_div(size).map_or(info.slots, u16::from);
        u32::from(by_size.min(info.slots))
    };
    let sum = |rack: &Rack| {
        rack.workers.iter().filter(|ix| !avoid.contains(ix)).map(max_tasks).sum::<u32>()
    };
    let want = u32::from(shape.tasks);
    match shape.adjacency {
        Adjacency::Domain => fleet.racks.iter().map(sum).sum::<u32>() >= want,
        Adjacency::Rack | Adjacency::Worker => fleet.racks.iter().any(|r| sum(r) >= want),
    }
}

/// Finds room for one more task of a gang, within `rack` if one is given.
pub(super) fn find_one(fleet: &Fleet, view: View, size: u8, rack: Option<u16>) -> Option<Place> {
    let shape = Shape { tasks: 1, accelerators: size, adjacency: Adjacency::Domain };
    let Some(rack) = rack else { return find_on_worker(fleet, view, shape, &[]) };
    let rack = &fleet.racks[rack as usize];
    let mut places = Vec::new();
    fill_rack(fleet, rack, view, size, 1, &[], &mut places);
    places.pop()
}
