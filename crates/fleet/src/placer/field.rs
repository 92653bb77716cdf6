//! The workers as one pass of placement sees them.
//!
//! Room only shrinks during a pass, so that a shape of work for which there was none needn't be
//! tried again until the next pass.

use bulrushlink_core::RackId;

use crate::ids::{Run, TaskId};
use crate::model::{Resources, Step};
use crate::plan::{Racks, Room, Victim};

/// What decides whether there is room for a unit of work.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Shape {
    pub(super) endpoint: String,
    pub(super) step: Step,
    /// Just workers without recent faults will do.
    pub(super) trusted: bool,
    /// Single tasks may run away from their data.
    pub(super) anywhere: bool,
    /// Tasks that have to fit together.
    pub(super) count: usize,
}

impl Shape {
    fn is_free_of_racks(&self) -> bool {
        !self.step.one_rack && self.step.near.is_none()
    }

    /// Tells whether wherever `other` fits, this shape fits as well.
    fn is_easier(&self, other: &Self) -> bool {
        let (a, b) = (&self.step, &other.step);
        self.endpoint == other.endpoint
            && self.trusted == other.trusted
            && self.anywhere == other.anywhere
            && self.count <= other.count
            && other.step.need.holds(&self.step.need)
            && (a.gang, a.one_rack, &a.label, &a.near) == (b.gang, b.one_rack, &b.label, &b.near)
            // How many fit on a worker then depends on where the job's other tasks are.
            && a.per_worker.is_none()
            && b.per_worker.is_none()
            // Whether a rack could hold the work at all depends on all of this.
            && (self.is_free_of_racks() || (a.need == b.need && self.count == other.count))
    }
}

/// Who wants a run stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Claimant {
    /// Inside its workspace's guarantee.
    pub(super) guaranteed: bool,
    /// Priority of its queue; 0 is the most urgent.
    pub(super) priority: u32,
}

impl Claimant {
    /// Tells whether anything is ever stopped for it.
    pub(super) fn may_displace(self) -> bool {
        self.guaranteed || self.priority == 0
    }

    /// Tells whether nothing gives way to this one that doesn't to the other.
    fn is_weaker(self, other: Self) -> bool {
        (other.guaranteed || !self.guaranteed) && self.priority >= other.priority
    }
}

/// To whom a run gives way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Standing {
    /// To nobody.
    Kept,
    /// To guaranteed work, and to queues that are more urgent than this priority.
    Queue(u32),
}

impl Standing {
    fn yields(self, claimant: Claimant) -> bool {
        match self {
            Self::Kept => false,
            Self::Queue(priority) => claimant.guaranteed || claimant.priority < priority,
        }
    }
}

/// Runs that end together.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Group {
    key: (TaskId, Run),
    standing: Standing,
    /// Work that would be lost, in core-seconds.
    cost: f64,
    /// All of it will surely have ended by itself about as soon as if it were stopped.
    ending: bool,
    members: Vec<Member>,
}

/// A run of a group.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Member {
    worker: usize,
    /// What its end frees there.
    need: Resources,
    /// It is being stopped already.
    leaving: bool,
}

impl Group {
    pub(super) fn new(key: (TaskId, Run), standing: Standing, cost: f64) -> Self {
        Self { key, standing, cost, ending: true, members: Vec::new() }
    }

    pub(super) fn key(&self) -> (TaskId, Run) {
        self.key
    }

    /// Adds a member; `ending` tells whether it is about to end by itself.
    pub(super) fn add(&mut self, worker: usize, need: Resources, leaving: bool, ending: bool) {
        self.ending &= ending;
        self.members.push(Member { worker, need, leaving });
    }
}

/// A worker at the start of a pass.
pub(super) struct Place<'a> {
    pub(super) free: Resources,
    pub(super) capacity: Resources,
    pub(super) rack: Option<&'a RackId>,
    /// Recent faults.
    pub(super) doubt: u32,
    /// Band of its learned speed.
    pub(super) band: i8,
    /// It may get work.
    pub(super) open: bool,
}

/// The workers, and for what they have no room.
#[derive(Clone, Debug, Default)]
pub(super) struct Field {
    rooms: Vec<Room>,
    racks: Racks,
    /// Which of them may get work.
    open: Vec<bool>,
    /// What could be stopped, sorted by task and run, once it has been asked for.
    groups: Option<Vec<Group>>,
    full: Vec<Shape>,
    fixed: Vec<(Shape, Claimant)>,
}

impl Field {
    /// Begins a pass; what the last one has allocated is used again.
    pub(super) fn begin<'a>(&mut self, places: impl Iterator<Item = Place<'a>>) {
        self.groups = None;
        self.full.clear();
        self.fixed.clear();
        self.open.clear();
        let (mut count, mut moved) = (0, false);
        for place in places {
            if self.rooms.len() == count {
                self.rooms.push(Room::default());
                moved = true;
            }
            let room = &mut self.rooms[count];
            room.free = place.free;
            room.claimed = Resources::default();
            room.capacity = place.capacity;
            if room.rack.as_ref() != place.rack {
                room.rack = place.rack.cloned();
                moved = true;
            }
            room.doubt = place.doubt;
            room.band = place.band;
            self.open.push(place.open);
            count += 1;
        }
        if moved || self.rooms.len() > count {
            self.rooms.truncate(count);
            self.racks = Racks::of(&self.rooms);
        }
    }

    /// Tells whether a choice fits into room that nobody has claimed.
    pub(super) fn has_room(&self, choice: &[(u32, usize)], need: &Resources) -> bool {
        choice.iter().all(|(_, at)| {
            let tasks = choice.iter().filter(|(_, other)| other == at).count() as u64;
            let room = &self.rooms[*at];
            room.free.minus(&room.claimed).count(need) >= tasks
        })
    }

    /// Takes the room of a choice.
    pub(super) fn use_room(&mut self, choice: &[(u32, usize)], need: &Resources) {
        for (_, at) in choice {
            self.rooms[*at].free = self.rooms[*at].free.minus(need);
        }
    }

    /// Keeps room that becomes free for somebody.
    pub(super) fn claim(&mut self, workers: impl Iterator<Item = usize>, need: &Resources) {
        for at in workers {
            self.rooms[at].claimed = self.rooms[at].claimed.plus(need);
        }
    }

    /// Takes a claim back.
    pub(super) fn release(&mut self, workers: impl Iterator<Item = usize>, need: &Resources) {
        for at in workers {
            self.rooms[at].claimed = self.rooms[at].claimed.minus(need);
        }
        // There may be room again.
        self.full.clear();
        self.fixed.clear();
    }

    /// Tells whether there surely is no free room for a shape.
    pub(super) fn is_full(&self, shape: &Shape) -> bool {
        self.full.iter().any(|f| f.is_easier(shape))
    }

    /// Notes that there is no free room for a shape.
    pub(super) fn note_full(&mut self, shape: &Shape) {
        self.full.push(shape.clone());
    }

    /// Tells whether there surely is no room to be made for a shape.
    pub(super) fn is_fixed(&self, shape: &Shape, claimant: Claimant) -> bool {
        self.fixed.iter().any(|(f, c)| claimant.is_weaker(*c) && f.is_easier(shape))
    }

    /// Notes that no room can be made for a shape.
    pub(super) fn note_fixed(&mut self, shape: &Shape, claimant: Claimant) {
        self.fixed.push((shape.clone(), claimant));
    }

    /// Tells whether it is known what could be stopped.
    pub(super) fn has_groups(&self) -> bool {
        self.groups.is_some()
    }

    /// Takes what could be stopped, sorted by task and run.
    pub(super) fn set_groups(&mut self, groups: Vec<Group>) {
        self.groups = Some(groups);
    }

    /// Gives a group up, and tells what has to be stopped, if anything. It goes on taking room until
    /// it has ended.
    pub(super) fn give_up(&mut self, group: usize) -> Option<(TaskId, Run)> {
        let group = &mut self.groups.get_or_insert_default()[group];
        if group.ending {
            return None;
        }
        group.members.iter_mut().for_each(|m| m.leaving = true);
        Some(group.key)
    }

    /// Shows the workers with those marked that a shape may use; `fits` tells whether a worker has
    /// the endpoint and the label that it wants.
    pub(super) fn rooms_for(
        &mut self,
        shape: &Shape,
        fits: impl Fn(usize) -> bool,
    ) -> (&mut [Room], &Racks) {
        for (at, room) in self.rooms.iter_mut().enumerate() {
            let trusted = !shape.trusted || room.doubt == 0;
            room.usable = self.open[at] && trusted && fits(at);
            room.siblings = 0;
            room.victims.clear();
        }
        (&mut self.rooms, &self.racks)
    }

    /// Shows the workers with what may be stopped there for a shape.
    pub(super) fn rooms_to_make(
        &mut self,
        shape: &Shape,
        claimant: Claimant,
        fits: impl Fn(usize) -> bool,
    ) -> (&mut [Room], &Racks) {
        self.rooms_for(shape, fits);
        for (number, group) in self.groups.iter().flatten().enumerate() {
            let yields = group.standing.yields(claimant);
            for member in &group.members {
                let leaving = member.leaving || group.ending;
                let cost = if leaving { 0.0 } else { group.cost };
                if yields || leaving {
                    let victim = Victim { need: member.need, group: number, cost };
                    self.rooms[member.worker].victims.push(victim);
                }
            }
        }
        (&mut self.rooms, &self.racks)
    }
}
