//! Long randomised runs from fixed seeds: faults overlap, strike twice, and are mended again.

use bulrushlink_core::Span;
use bulrushlink_lab::{Lab, Layout, Noise};

#[test]
fn promises_hold_under_drawn_faults() {
    run(&Layout::small(), 1..5);
}

#[test]
fn promises_hold_when_leases_are_renewed_as_rarely_as_they_may() {
    let mut layout = Layout::small();
    layout.limits.control_rate = 256;
    run(&layout, 11..15);
}

fn run(layout: &Layout, seeds: std::ops::Range<u64>) {
    for seed in seeds {
        let length = Span::from_secs(150);
        let mut lab = Lab::open(layout.clone(), seed);
        lab.apply_first_note();
        lab.run(Span::from_secs(10));
        lab.set_noise(Noise { lost: 10, repeated: 10, late: 10 });
        lab.submit_drawn(100, length);
        lab.draw_faults(length);
        lab.run(length);
        lab.mend_all();
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

#[test]
fn a_seed_gives_the_same_run_twice() {
    let run = || {
        let length = Span::from_secs(60);
        let mut lab = Lab::open(Layout::small(), 42);
        lab.apply_first_note();
        lab.run(Span::from_secs(10));
        lab.submit_drawn(30, length);
        lab.draw_faults(length);
        lab.run(length);
        let trace: Vec<_> = lab.trace().map(String::from).collect();
        (lab.report(), trace)
    };
    assert_eq!(run(), run());
}
