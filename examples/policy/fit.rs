//! Placement of gangs on the workers of a domain, for the baselines.

use bulrushlink_core::{
    AcceleratorSet, Adjacency, Moment, Placement, RackId, Shape, TaskPlace, WorkerId, WorkerInfo,
};

/// Which of several possible placements is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Choice {
    First,
    /// The one in the group with the fewest free accelerators.
    Tightest,
}

#[derive(Debug)]
struct WorkerState {
    info: WorkerInfo,
    up: bool,
    used: AcceleratorSet,
    /// Failures since the last success.
    failures: u32,
    avoid_until: Moment,
}

/// The workers of a domain.
#[derive(Debug, Default)]
pub(crate) struct WorkerPool {
    /// Sorted by worker id.
    workers: Vec<WorkerState>,
}

impl WorkerPool {
    fn state(&mut self, worker: &WorkerId) -> &mut WorkerState {
        let found = self.workers.binary_search_by(|state| state.info.id.cmp(worker));
        &mut self.workers[found.expect("the worker has joined")]
    }

    pub(crate) fn join(&mut self, info: WorkerInfo) {
        let used = AcceleratorSet::EMPTY;
        let state = WorkerState { info, up: true, used, failures: 0, avoid_until: Moment(0) };
        match self.workers.binary_search_by(|other| other.info.id.cmp(&state.info.id)) {
            Ok(i) => self.workers[i].up = true,
            Err(i) => self.workers.insert(i, state),
        }
    }

    pub(crate) fn lose(&mut self, worker: &WorkerId) {
        let state = self.state(worker);
        state.up = false;
        state.used = AcceleratorSet::EMPTY;
    }

    pub(crate) fn take(&mut self, placement: &Placement) {
        for place in placement {
            let state = self.state(&place.worker);
            assert!(
                !state.used.overlaps(place.set),
                "a baseline placed a task on accelerators in use"
            );
            state.used = state.used.union(place.set);
        }
    }

    pub(crate) fn release(&mut self, placement: &Placement) {
        for place in placement {
            let state = self.state(&place.worker);
            state.used = state.used.difference(place.set);
        }
    }

    pub(crate) fn avoid(&mut self, worker: &WorkerId, until: Moment) {
        self.state(worker).avoid_until = until;
    }

    /// Counts a failure; after `limit` in a row the worker is avoided until `until`.
    pub(crate) fn count_failure(&mut self, worker: &WorkerId, limit: u32, until: Moment) {
        let state = self.state(worker);
        state.failures += 1;
        if state.failures >= limit {
            state.avoid_until = until;
        }
    }

    pub(crate) fn count_success(&mut self, placement: &Placement) {
        for place in placement {
            self.state(&place.worker).failures = 0;
        }
    }

    /// Returns the accelerators of the workers that are up.
    pub(crate) fn total(&self) -> u32 {
        let up = self.workers.iter().filter(|state| state.up);
        up.map(|state| u32::from(state.info.accelerators)).sum()
    }

    pub(crate) fn free(&self) -> u32 {
        self.workers.iter().map(|state| state.free().len()).sum()
    }

    /// Returns the free accelerators of the rack that has most of them.
    pub(crate) fn largest_rack_free(&self) -> u32 {
        let racks = self.racks();
        let free = |rack: &[WorkerState]| rack.iter().map(|state| state.free().len()).sum();
        racks.into_iter().map(free).max().unwrap_or(0)
    }

    /// Returns the workers by rack. Sorted by id, they are sorted by rack too, as a worker's id
    /// begins with that of its rack.
    fn racks(&self) -> Vec<&[WorkerState]> {
        self.workers.chunk_by(|a, b| a.info.rack == b.info.rack).collect()
    }

    /// Returns true if the shape fits when all workers are up and free.
    pub(crate) fn fits_when_empty(&self, shape: Shape) -> bool {
        let empty = |state: &WorkerState| AcceleratorSet::contiguous(0, state.info.accelerators);
        self.groups(shape).into_iter().any(|group| {
            let mut free: Vec<_> = group.iter().map(empty).collect();
            pack(&mut free, shape, Choice::First).is_some()
        })
    }

    /// Returns the groups of workers of which a single one has to hold the whole gang.
    fn groups(&self, shape: Shape) -> Vec<&[WorkerState]> {
        match shape.adjacency {
            Adjacency::Domain => vec![&self.workers[..]],
            Adjacency::Rack => self.racks(),
            Adjacency::Worker => self.workers.chunks(1).collect(),
        }
    }
}

impl WorkerState {
    fn free(&self) -> AcceleratorSet {
        let all = AcceleratorSet::contiguous(0, self.info.accelerators);
        if self.up { all.difference(self.used) } else { AcceleratorSet::EMPTY }
    }
}

/// Returns a placement of the whole gang that leaves out the `excluded` worker.
pub(crate) fn find(
    pool: &WorkerPool,
    shape: Shape,
    excluded: Option<&WorkerId>,
    choice: Choice,
    now: Moment,
) -> Option<Placement> {
    let usable = |state: &WorkerState| {
        let avoided = state.avoid_until > now || excluded == Some(&state.info.id);
        if avoided { AcceleratorSet::EMPTY } else { state.free() }
    };
    let mut best: Option<(u32, Placement)> = None;
    for group in pool.groups(shape) {
        let mut free: Vec<_> = group.iter().map(usable).collect();
        let group_free: u32 = free.iter().map(|set| set.len()).sum();
        if group_free < shape.total()
            || best.as_ref().is_some_and(|(least, _)| *least <= group_free)
        {
            continue;
        }
        let Some(places) = pack(&mut free, shape, choice) else { continue };
        let place = |(task, (index, set)): (usize, (usize, AcceleratorSet))| TaskPlace {
            task: task as u16,
            worker: group[index].info.id.clone(),
            set,
        };
        best = Some((group_free, places.into_iter().enumerate().map(place).collect()));
        if choice == Choice::First {
            break;
        }
    }
    best.map(|(_, placement)| placement)
}

/// Packs all tasks into the free sets of one group; `None` if they do not all fit.
fn pack(
    free: &mut [AcceleratorSet],
    shape: Shape,
    choice: Choice,
) -> Option<Vec<(usize, AcceleratorSet)>> {
    let contiguous = shape.adjacency == Adjacency::Worker;
    let (tasks, size) =
        if contiguous { (1, shape.total()) } else { (shape.tasks, shape.accelerators.into()) };
    let mut places = Vec::new();
    for _ in 0..tasks {
        let fits =
            free.iter().enumerate().filter_map(|(i, set)| Some((i, smallest_gap(*set, size)?)));
        let (index, set) = match choice {
            Choice::First => fits.min_by_key(|(i, _)| *i),
            Choice::Tightest => fits.min_by_key(|(i, _)| (free[*i].len(), *i)),
        }?;
        free[index] = free[index].difference(set);
        places.push((index, set));
    }
    if contiguous {
        let (index, set) = places[0];
        return Some(split(set, shape).map(|part| (index, part)).collect());
    }
    Some(places)
}

/// Splits the contiguous accelerators of a gang among its tasks.
fn split(set: AcceleratorSet, shape: Shape) -> impl Iterator<Item = AcceleratorSet> {
    let first = set.0.trailing_zeros() as u8;
    let size = shape.accelerators;
    (0..shape.tasks as u8).map(move |task| AcceleratorSet::contiguous(first + task * size, size))
}

/// Returns the lowest `size` contiguous positions of the smallest gap that holds them.
fn smallest_gap(set: AcceleratorSet, size: u32) -> Option<AcceleratorSet> {
    if size > 64 || set.len() < size {
        return None;
    }
    let mut best: Option<(u32, u32)> = None;
    let mut at = 0;
    while at < 64 {
        let len = (!(set.0 >> at)).trailing_zeros().min(64 - at);
        if len >= size && best.is_none_or(|(least, _)| len < least) {
            best = Some((len, at));
        }
        at += len.max(1);
    }
    best.map(|(_, at)| AcceleratorSet::contiguous(at as u8, size as u8))
}

/// Returns how many of the free accelerators of one domain copies of a shape can use.
pub(crate) fn usable(racks: &[(RackId, Vec<AcceleratorSet>)], shape: Shape) -> u32 {
    let mut count = 0;
    let mut all: Vec<Vec<AcceleratorSet>> = match shape.adjacency {
        Adjacency::Domain => vec![racks.iter().flat_map(|(_, free)| free.clone()).collect()],
        Adjacency::Rack => racks.iter().map(|(_, free)| free.clone()).collect(),
        Adjacency::Worker => racks.iter().flat_map(|(_, f)| f.iter().map(|s| vec![*s])).collect(),
    };
    for group in &mut all {
        while shape.total() > 0 && pack(group, shape, Choice::Tightest).is_some() {
            count += shape.total();
        }
    }
    count
}
