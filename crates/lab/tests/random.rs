//! Long random runs from fixed seeds, in which faults overlap or begin together and are cleared
//! again.

use bulrushlink_core::Span;
use bulrushlink_lab::{Lab, Layout, Noise};

/// No invariant may be violated under random faults with 1% lost, repeated and late messages each.
#[test]
fn invariants_hold_under_random_faults() {
    check_runs(&Layout::small(), 1..5);
}

/// The same with a control rate of 256, at which daemons renew leases as rarely as allowed.
#[test]
fn invariants_hold_when_leases_are_renewed_as_rarely_as_allowed() {
    let mut layout = Layout::small();
    layout.limits.control_rate = 256;
    check_runs(&layout, 11..15);
}

fn check_runs(layout: &Layout, seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let length = Span::from_secs(150);
        let mut lab = Lab::open(layout.clone(), seed);
        lab.apply_first_note();
        lab.run(Span::from_secs(10));
        lab.set_noise(Noise { lost: 10, repeated: 10, late: 10 });
        lab.submit_random(100, length);
        lab.schedule_random_faults(length);
        lab.run(length);
        lab.clear_faults();
        lab.run(Span::from_secs(240));
        let report = lab.report();
        if !report.violations.is_empty() {
            for line in lab.trace() {
                eprintln!("{line}");
            }
        }
        assert!(report.violations.is_empty(), "seed {seed}: {:#?}", report.violations);
    }
}

/// A run must be reproducible from its seed: same trace, same report.
#[test]
fn same_seed_gives_the_same_run() {
    let run = || {
        let length = Span::from_secs(60);
        let mut lab = Lab::open(Layout::small(), 42);
        lab.apply_first_note();
        lab.run(Span::from_secs(10));
        lab.submit_random(30, length);
        lab.schedule_random_faults(length);
        lab.run(length);
        let trace: Vec<_> = lab.trace().map(String::from).collect();
        (lab.report(), trace)
    };
    assert_eq!(run(), run());
}
