//! Placements with a long backlog.

use bulrushlink_core::Span;

use super::{BOUNDS, Bench, accelerators, step, task};
use crate::model::{JobSpec, Step};
use crate::placer::units::UNITS_MAX;

/// Longest time for which a job may have nothing running beside idle workers, by the users' rule on lost jobs.
const IDLE_MAX: Span = Span(3_000);

/// Each 20 waiting units delayed the next placement by a millisecond, without an end: with 100 scheduled jobs idle
/// workers got nothing for 20 s (review case 12).
#[test]
fn waiting_units_do_not_keep_a_guaranteed_job_from_idle_workers() {
    let mut bench = Bench::open(&[accelerators(8)]);
    // No worker has the label, so none of these units is placed.
    let stuck = Step { label: Some("none".to_string()), ..step(1, false, 1) };
    for id in 1..=400 {
        let steps = vec![stuck.clone(); 200];
        bench.add_spec(id, 1, JobSpec { text: String::new(), steps, schedule: None });
    }
    bench.pass();
    let accepted = bench.now;
    bench.add_job(1_000, 0, step(2, true, 1));
    bench.now = bench.now.max(bench.placer.decide_next);
    bench.pass();
    assert_eq!(bench.commit().len(), 2);
    assert!(bench.now.since(accepted) <= Span(BOUNDS.reclaim_ms), "{:?}", bench.now);
}

/// A placement must look at a limited number of units, and all of them must get their turn: those that can't be placed
/// must not keep the others out, be they guaranteed or not.
#[test]
fn all_units_get_their_turn() {
    for (priority, accelerators_each) in [(1, 1), (0, 0)] {
        let mut bench = Bench::open(&[accelerators(8)]);
        let need = step(1, false, accelerators_each);
        let stuck = Step { label: Some("none".to_string()), ..need.clone() };
        for id in 1..=12_000 {
            bench.add_job(id, priority, stuck.clone());
        }
        bench.add_job(20_000, priority, need.clone());
        let (accepted, mut starts) = (bench.now, Vec::new());
        while starts.is_empty() && bench.now.since(accepted) <= IDLE_MAX {
            bench.now = bench.now.max(bench.placer.decide_next);
            bench.pass();
            starts = bench.commit();
            bench.show(vec![(1, accelerators(8))]);
        }
        assert_eq!(starts, [task(20_000, 0)], "priority {priority}");
    }
    let mut bench = Bench::open(&[accelerators(8)]);
    for id in 1..=12_000 {
        bench.add_job(id, 1, step(1, false, 1));
    }
    let units = bench.with(|p, ctx| {
        p.open_due_rounds(ctx);
        p.units(ctx, &[])
    });
    assert_eq!(units.len(), UNITS_MAX);
}
