//! Checks that the guarantees of a failure domain fit its healthy hardware before a release note
//! with them is accepted.
//!
//! All guarantees are packed together by best fit decreasing: the largest blocks first, each into
//! the smallest space that is large enough. For the usual sizes, which divide each other, this
//! finds a packing whenever there is one. Other sizes may be refused although a packing exists;
//! that is the safe side, since no guarantee is accepted that can't be kept.

#[cfg(test)]
mod tests;

use super::{DomainShare, WorkspaceShare};
use crate::error::{Code, Error};
use crate::ids::{RackId, WorkspaceId};
use crate::job::{Adjacency, Shape};

/// Healthy workers of one rack and their accelerators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RackCapacity {
    /// The rack.
    pub rack: RackId,
    /// Number of accelerators of each healthy worker.
    pub workers: Vec<u8>,
}

impl DomainShare {
    /// Checks that `racks` can hold all guarantees of the share at the same time. Needs no scheduler,
    /// unlike [`Scheduler::fits`](crate::Scheduler::fits).
    ///
    /// # Errors
    ///
    /// [`Code::NoteUnfit`] with the level that lacks accelerators: the domain as a whole, a rack or
    /// a worker.
    pub fn check_fit(&self, racks: &[RackCapacity]) -> Result<(), Error> {
        let total: u64 = racks.iter().flat_map(|r| &r.workers).map(|n| u64::from(*n)).sum();
        let wanted: u64 = self.workspaces.iter().map(WorkspaceShare::guaranteed_accelerators).sum();
        if wanted > total {
            let text = format!("guarantees need {wanted} accelerators, {total} are healthy");
            return Err(self.unfit_error("domain", &text));
        }
        let mut racks = racks.to_vec();
        let mut gangs = self.guaranteed_gangs();
        gangs.sort_by_key(|gang| std::cmp::Reverse(gang.packing_order()));
        gangs.iter().try_for_each(|gang| self.place(gang, &mut racks))
    }

    fn guaranteed_gangs(&self) -> Vec<Gang<'_>> {
        let mut gangs = Vec::new();
        for workspace in &self.workspaces {
            for (shape, count) in workspace.guarantees.iter().filter(|(s, _)| s.total() > 0) {
                let gang = Gang { workspace: &workspace.id, shape: *shape };
                gangs.extend(std::iter::repeat_n(gang, usize::from(*count)));
            }
        }
        gangs
    }

    fn place(&self, gang: &Gang<'_>, racks: &mut [RackCapacity]) -> Result<(), Error> {
        let Shape { tasks, accelerators, adjacency } = gang.shape;
        let level = match adjacency {
            Adjacency::Rack if allocate_in_rack(racks, tasks, accelerators) => return Ok(()),
            Adjacency::Rack => "rack",
            Adjacency::Worker if allocate(racks, gang.shape.total()) => return Ok(()),
            Adjacency::Domain if (0..tasks).all(|_| allocate(racks, u32::from(accelerators))) => {
                return Ok(());
            }
            Adjacency::Worker | Adjacency::Domain => "worker",
        };
        let text = format!("no {level} is left for {} of {}", gang.shape, gang.workspace);
        Err(self.unfit_error(level, &text))
    }

    fn unfit_error(&self, level: &str, text: &str) -> Error {
        let path = format!("/domains/{}", self.domain);
        Error::at(Code::NoteUnfit, path, format!("level {level}: {text}"))
    }
}

impl WorkspaceShare {
    fn guaranteed_accelerators(&self) -> u64 {
        let needed = |(shape, count): &(Shape, u16)| u64::from(shape.total()) * u64::from(*count);
        self.guarantees.iter().map(needed).sum()
    }
}

#[derive(Clone, Copy)]
struct Gang<'a> {
    workspace: &'a WorkspaceId,
    shape: Shape,
}

impl Gang<'_> {
    /// Returns a key that is larger for gangs that are harder to place: gangs within one rack
    /// first, then by the size of the block that one worker has to provide.
    fn packing_order(&self) -> (bool, u32) {
        match self.shape.adjacency {
            Adjacency::Rack => (true, self.shape.total()),
            Adjacency::Worker => (false, self.shape.total()),
            Adjacency::Domain => (false, u32::from(self.shape.accelerators)),
        }
    }
}

/// Allocates `tasks` blocks of `size` accelerators in one rack: of those with room for all of them,
/// the one with room for the fewest. Returns false if no rack has room.
fn allocate_in_rack(racks: &mut [RackCapacity], tasks: u16, size: u8) -> bool {
    let blocks =
        |rack: &RackCapacity| rack.workers.iter().map(|n| u32::from(n / size)).sum::<u32>();
    let fitting = racks.iter_mut().filter(|rack| blocks(rack) >= u32::from(tasks));
    let Some(rack) = fitting.min_by_key(|rack| blocks(rack)) else { return false };
    (0..tasks).all(|_| allocate(std::slice::from_mut(rack), u32::from(size)))
}

/// Allocates a block of `size` accelerators on one worker: of those with enough accelerators left,
/// the one with the fewest. Returns false if no worker has enough.
fn allocate(racks: &mut [RackCapacity], size: u32) -> bool {
    let workers = racks.iter_mut().flat_map(|rack| &mut rack.workers);
    let best = workers.filter(|free| u32::from(**free) >= size).min_by_key(|free| **free);
    let Some(free) = best else { return false };
    *free -= size as u8;
    true
}
