//! Asserts that a placement is a whole gang in the shape that was asked for.

use bulrushlink_core::{AcceleratorSet, Adjacency, DomainId, Placement, Shape};

use super::Table;

impl Table<'_> {
    /// Asserts that the whole gang is placed, contiguously and within one domain.
    pub(super) fn check_shape(&self, domain: usize, shape: Shape, placement: &Placement) {
        assert_eq!(placement.len(), usize::from(shape.tasks), "a gang starts whole");
        let infos = || placement.iter().map(|p| &self.workload.workers[self.worker(&p.worker)]);
        let name: &DomainId = &self.workload.domains[domain];
        assert!(infos().all(|info| info.domain == *name), "a gang stays in its domain");
        for (i, place) in placement.iter().enumerate() {
            assert_eq!(usize::from(place.task), i, "tasks are in order");
            assert!(is_run(place.set, u32::from(shape.accelerators)), "a task is contiguous");
        }
        let first = infos().next().expect("a gang has a task");
        match shape.adjacency {
            Adjacency::Domain => {}
            Adjacency::Rack => assert!(infos().all(|info| info.rack == first.rack), "one rack"),
            Adjacency::Worker => {
                assert!(infos().all(|info| info.id == first.id), "one worker");
                let all = placement.iter().fold(AcceleratorSet::EMPTY, |all, p| all.with(p.set));
                assert!(is_run(all, shape.total()), "neighbouring accelerators");
            }
        }
    }
}

fn is_run(set: AcceleratorSet, len: u32) -> bool {
    let first = set.0.trailing_zeros() as u8;
    set.len() == len && (len == 0 || set == AcceleratorSet::run(first, len as u8))
}
