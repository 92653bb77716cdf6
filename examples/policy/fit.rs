//! Places of gangs on a domain's workers, as the baselines choose them.

use bulrushlink_core::{
    AcceleratorSet, Adjacency, Moment, Placement, RackId, Shape, TaskPlace, WorkerId, WorkerInfo,
};

/// Which of several places is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Choice {
    First,
    /// Where the fewest accelerators stay free.
    Tightest,
}

#[derive(Debug)]
struct Seat {
    info: WorkerInfo,
    up: bool,
    taken: AcceleratorSet,
    /// Failures since the last success.
    failures: u32,
    avoid: Moment,
}

/// The workers of a domain.
#[derive(Debug, Default)]
pub(crate) struct Bench {
    /// Sorted by worker.
    seats: Vec<Seat>,
}

impl Bench {
    fn seat(&mut self, worker: &WorkerId) -> &mut Seat {
        let found = self.seats.binary_search_by(|seat| seat.info.id.cmp(worker));
        &mut self.seats[found.expect("only known workers are named")]
    }

    pub(crate) fn join(&mut self, info: WorkerInfo) {
        let taken = AcceleratorSet::EMPTY;
        let seat = Seat { info, up: true, taken, failures: 0, avoid: Moment(0) };
        match self.seats.binary_search_by(|probe| probe.info.id.cmp(&seat.info.id)) {
            Ok(i) => self.seats[i].up = true,
            Err(i) => self.seats.insert(i, seat),
        }
    }

    pub(crate) fn lose(&mut self, worker: &WorkerId) {
        let seat = self.seat(worker);
        seat.up = false;
        seat.taken = AcceleratorSet::EMPTY;
    }

    pub(crate) fn take(&mut self, placement: &Placement) {
        for place in placement {
            let seat = self.seat(&place.worker);
            assert!(!seat.taken.overlaps(place.set), "a baseline places on free accelerators");
            seat.taken = seat.taken.with(place.set);
        }
    }

    pub(crate) fn release(&mut self, placement: &Placement) {
        for place in placement {
            let seat = self.seat(&place.worker);
            seat.taken = seat.taken.without(place.set);
        }
    }

    pub(crate) fn avoid(&mut self, worker: &WorkerId, until: Moment) {
        self.seat(worker).avoid = until;
    }

    /// Counts a failure; after `most` in a row the worker is avoided until `until`.
    pub(crate) fn count_failure(&mut self, worker: &WorkerId, most: u32, until: Moment) {
        let seat = self.seat(worker);
        seat.failures += 1;
        if seat.failures >= most {
            seat.avoid = until;
        }
    }

    pub(crate) fn count_success(&mut self, placement: &Placement) {
        for place in placement {
            self.seat(&place.worker).failures = 0;
        }
    }

    pub(crate) fn total(&self) -> u32 {
        let up = self.seats.iter().filter(|seat| seat.up);
        up.map(|seat| u32::from(seat.info.accelerators)).sum()
    }

    pub(crate) fn free(&self) -> u32 {
        self.seats.iter().map(|seat| seat.free().len()).sum()
    }

    pub(crate) fn block(&self) -> u32 {
        let racks = self.racks();
        let free = |rack: &[Seat]| rack.iter().map(|seat| seat.free().len()).sum();
        racks.into_iter().map(free).max().unwrap_or(0)
    }

    /// Seats sorted by worker are sorted by rack too, as a worker's name begins with its rack's.
    fn racks(&self) -> Vec<&[Seat]> {
        self.seats.chunk_by(|a, b| a.info.rack == b.info.rack).collect()
    }

    /// Tells whether the shape fits when everything is up and free.
    pub(crate) fn can_ever(&self, shape: Shape) -> bool {
        let empty = |seat: &Seat| AcceleratorSet::run(0, seat.info.accelerators);
        self.groups(shape).into_iter().any(|group| {
            let mut free: Vec<_> = group.iter().map(empty).collect();
            pack(&mut free, shape, Choice::First).is_some()
        })
    }

    /// Groups of seats of which one has to hold the whole gang.
    fn groups(&self, shape: Shape) -> Vec<&[Seat]> {
        match shape.adjacency {
            Adjacency::Domain => vec![&self.seats[..]],
            Adjacency::Rack => self.racks(),
            Adjacency::Worker => self.seats.chunks(1).collect(),
        }
    }
}

impl Seat {
    fn free(&self) -> AcceleratorSet {
        let all = AcceleratorSet::run(0, self.info.accelerators);
        if self.up { all.without(self.taken) } else { AcceleratorSet::EMPTY }
    }
}

/// Finds a place for the whole gang, not on the `spurned` worker.
pub(crate) fn find(
    bench: &Bench,
    shape: Shape,
    spurned: Option<&WorkerId>,
    choice: Choice,
    now: Moment,
) -> Option<Placement> {
    let usable = |seat: &Seat| {
        let spurn = seat.avoid > now || spurned == Some(&seat.info.id);
        if spurn { AcceleratorSet::EMPTY } else { seat.free() }
    };
    let mut best: Option<(u32, Placement)> = None;
    for group in bench.groups(shape) {
        let mut free: Vec<_> = group.iter().map(usable).collect();
        let left: u32 = free.iter().map(|set| set.len()).sum();
        if left < shape.total() || best.as_ref().is_some_and(|(least, _)| *least <= left) {
            continue;
        }
        let Some(places) = pack(&mut free, shape, choice) else { continue };
        let place = |(task, (seat, set)): (usize, (usize, AcceleratorSet))| TaskPlace {
            task: task as u16,
            worker: group[seat].info.id.clone(),
            set,
        };
        best = Some((left, places.into_iter().enumerate().map(place).collect()));
        if choice == Choice::First {
            break;
        }
    }
    best.map(|(_, placement)| placement)
}

/// Packs all tasks into the free sets of one group, or none.
fn pack(
    free: &mut [AcceleratorSet],
    shape: Shape,
    choice: Choice,
) -> Option<Vec<(usize, AcceleratorSet)>> {
    let joined = shape.adjacency == Adjacency::Worker;
    let (tasks, size) =
        if joined { (1, shape.total()) } else { (shape.tasks, shape.accelerators.into()) };
    let mut places = Vec::new();
    for _ in 0..tasks {
        let fits = free.iter().enumerate().filter_map(|(i, set)| Some((i, gap(*set, size)?)));
        let (seat, set) = match choice {
            Choice::First => fits.min_by_key(|(i, _)| *i),
            Choice::Tightest => fits.min_by_key(|(i, _)| (free[*i].len(), *i)),
        }?;
        free[seat] = free[seat].without(set);
        places.push((seat, set));
    }
    if joined {
        let (seat, set) = places[0];
        return Some(split(set, shape).map(|part| (seat, part)).collect());
    }
    Some(places)
}

fn split(set: AcceleratorSet, shape: Shape) -> impl Iterator<Item = AcceleratorSet> {
    let first = set.0.trailing_zeros() as u8;
    let size = shape.accelerators;
    (0..shape.tasks as u8).map(move |task| AcceleratorSet::run(first + task * size, size))
}

/// Returns the lowest neighbouring positions of that number within the smallest gap that has them.
fn gap(set: AcceleratorSet, size: u32) -> Option<AcceleratorSet> {
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
    best.map(|(_, at)| AcceleratorSet::run(at as u8, size as u8))
}

/// Accelerators of the free sets of one domain that copies of a shape can use.
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
