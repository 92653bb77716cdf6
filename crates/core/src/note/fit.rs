//! Tells whether the guarantees of a failure domain fit its healthy hardware, before a release
//! note promises them.
//!
//! The whole guarantees are placed at once, the largest blocks first, each into the tightest place
//! that holds it. For the usual sizes, which divide each other, that finds a placement whenever
//! there is one; odd sizes may be refused although a cleverer packing exists, which is the safe
//! side for a promise.

#[cfg(test)]
mod tests;

use super::{DomainShare, WorkspaceShare};
use crate::error::{Code, Error};
use crate::ids::{RackId, WorkspaceId};
use crate::job::{Adjacency, Shape};

/// Healthy accelerators of one rack.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RackStock {
    /// The rack.
    pub rack: RackId,
    /// Accelerators of each of its healthy workers.
    pub workers: Vec<u8>,
}

impl DomainShare {
    /// Checks that all guarantees of the share can be had at the same time on `racks`.
    ///
    /// # Errors
    ///
    /// [`Code::NoteUnfit`] with the level that falls short: the domain's total, a rack or a
    /// worker.
    pub fn fit(&self, racks: &[RackStock]) -> Result<(), Error> {
        let total: u64 = racks.iter().flat_map(|r| &r.workers).map(|n| u64::from(*n)).sum();
        let wanted: u64 = self.workspaces.iter().map(WorkspaceShare::accelerators).sum();
        if wanted > total {
            let text = format!("guarantees need {wanted} accelerators, {total} are healthy");
            return Err(self.unfit("domain", &text));
        }
        let mut racks = racks.to_vec();
        let mut gangs = self.gangs();
        gangs.sort_by_key(|gang| std::cmp::Reverse(gang.rank()));
        gangs.iter().try_for_each(|gang| self.place(gang, &mut racks))
    }

    fn gangs(&self) -> Vec<Gang<'_>> {
        let mut gangs = Vec::new();
        for workspace in &self.workspaces {
            for (shape, count) in workspace.guarantees.iter().filter(|(s, _)| s.total() > 0) {
                let gang = Gang { workspace: &workspace.id, shape: *shape };
                gangs.extend(std::iter::repeat_n(gang, usize::from(*count)));
            }
        }
        gangs
    }

    fn place(&self, gang: &Gang<'_>, racks: &mut [RackStock]) -> Result<(), Error> {
        let Shape { tasks, accelerators, adjacency } = gang.shape;
        let level = match adjacency {
            Adjacency::Rack if take_in_rack(racks, tasks, accelerators) => return Ok(()),
            Adjacency::Rack => "rack",
            Adjacency::Worker if take(racks, gang.shape.total()) => return Ok(()),
            Adjacency::Domain if (0..tasks).all(|_| take(racks, u32::from(accelerators))) => {
                return Ok(());
            }
            Adjacency::Worker | Adjacency::Domain => "worker",
        };
        let text = format!("no {level} is left for {} of {}", gang.shape, gang.workspace);
        Err(self.unfit(level, &text))
    }

    fn unfit(&self, level: &str, text: &str) -> Error {
        let path = format!("/domains/{}", self.domain);
        Error::at(Code::NoteUnfit, path, format!("level {level}: {text}"))
    }
}

impl WorkspaceShare {
    fn accelerators(&self) -> u64 {
        let of = |(shape, count): &(Shape, u16)| u64::from(shape.total()) * u64::from(*count);
        self.guarantees.iter().map(of).sum()
    }
}

#[derive(Clone, Copy)]
struct Gang<'a> {
    workspace: &'a WorkspaceId,
    shape: Shape,
}

impl Gang<'_> {
    /// Orders by what is hardest to place: whole racks, then the largest block on one worker.
    fn rank(&self) -> (bool, u32) {
        match self.shape.adjacency {
            Adjacency::Rack => (true, self.shape.total()),
            Adjacency::Worker => (false, self.shape.total()),
            Adjacency::Domain => (false, u32::from(self.shape.accelerators)),
        }
    }
}

/// Takes `tasks` blocks of `size` from the rack that can hold the fewest but enough.
fn take_in_rack(racks: &mut [RackStock], tasks: u16, size: u8) -> bool {
    let room = |rack: &RackStock| rack.workers.iter().map(|n| u32::from(n / size)).sum::<u32>();
    let enough = racks.iter_mut().filter(|rack| room(rack) >= u32::from(tasks));
    let Some(rack) = enough.min_by_key(|rack| room(rack)) else { return false };
    (0..tasks).all(|_| take(std::slice::from_mut(rack), u32::from(size)))
}

/// Takes a block of `size` from the worker with the fewest but enough accelerators left.
fn take(racks: &mut [RackStock], size: u32) -> bool {
    let workers = racks.iter_mut().flat_map(|rack| &mut rack.workers);
    let best = workers.filter(|free| u32::from(**free) >= size).min_by_key(|free| **free);
    let Some(free) = best else { return false };
    *free -= size as u8;
    true
}
