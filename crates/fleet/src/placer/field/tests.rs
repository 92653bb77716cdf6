//! The snapshot of the workers at the start of a placement.

use bulrushlink_core::Span;

use super::{FleetSnapshot, WorkerView};
use crate::model::{Resources, Step};
use crate::policy::Usage;

fn step() -> Step {
    Step {
        tasks: 1,
        need: Resources { cpu: 1, memory: 1, accelerators: 1 },
        estimate: Span(1_000),
        after: Vec::new(),
        gang: true,
        one_rack: true,
        label: None,
        near: None,
        per_worker: None,
        saves: false,
        copies: false,
        endless: false,
    }
}

/// Guards against entries of workers with nonsensical capacities that take the placer down: their sum
/// must not overflow.
#[test]
fn largest_capacities_do_not_overflow() {
    let all = Resources { cpu: u64::MAX, memory: u64::MAX, accelerators: u64::MAX };
    let view = || WorkerView {
        free: all,
        excess: Resources::default(),
        capacity: all,
        endpoint: "dispatch",
        rack: None,
        usage: (Usage::default(), 0),
        doubt: 0,
        band: 0,
        open: true,
    };
    let mut fleet = FleetSnapshot::default();
    fleet.start_placement([view(), view()].into_iter());
    assert!(fleet.is_mostly_idle("dispatch", &step(), |_| true));
}
