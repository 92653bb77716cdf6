//! Asserts that a placement holds a whole gang in the requested shape.

use bulrushlink_core::{AcceleratorSet, Adjacency, DomainId, Placement, Shape};

use super::SimWorkers;

impl SimWorkers<'_> {
    /// Asserts that the whole gang is placed within the domain and with the adjacency of its shape,
    /// each task on contiguous accelerators.
    pub(super) fn check_shape(&self, domain: usize, shape: Shape, placement: &Placement) {
        assert_eq!(
            placement.len(),
            usize::from(shape.tasks),
            "the placement covers the whole gang"
        );
        let infos = || placement.iter().map(|p| &self.workload.workers[self.worker(&p.worker)]);
        let name: &DomainId = &self.workload.domains[domain];
        assert!(infos().all(|info| info.domain == *name), "all tasks are placed in the domain");
        for (i, place) in placement.iter().enumerate() {
            assert_eq!(usize::from(place.task), i, "the tasks are in order");
            assert!(
                is_contiguous(place.set, u32::from(shape.accelerators)),
                "a task has contiguous accelerators"
            );
        }
        let first = infos().next().expect("a gang has at least one task");
        match shape.adjacency {
            Adjacency::Domain => {}
            Adjacency::Rack => {
                assert!(infos().all(|info| info.rack == first.rack), "all tasks are in one rack")
            }
            Adjacency::Worker => {
                assert!(infos().all(|info| info.id == first.id), "all tasks are on one worker");
                let all = placement.iter().fold(AcceleratorSet::EMPTY, |all, p| all.union(p.set));
                assert!(is_contiguous(all, shape.total()), "the gang has contiguous accelerators");
            }
        }
    }
}

fn is_contiguous(set: AcceleratorSet, len: u32) -> bool {
    let first = set.0.trailing_zeros() as u8;
    set.len() == len && (len == 0 || set == AcceleratorSet::contiguous(first, len as u8))
}
