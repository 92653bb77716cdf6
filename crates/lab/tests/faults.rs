//! Each failure that the deployment has to bear, alone and in pairs, from fixed seeds. Every
//! promise is checked against the workers' record.

use bulrushlink_core::Span;
use bulrushlink_lab::{Fault, Lab, Layout, Noise, Report, StoreMode};

/// Jobs of one run.
const JOBS: usize = 60;
/// Time over which they are submitted.
const LOAD: Span = Span::from_secs(40);
/// Time after the load within which every job has to have its end.
const SETTLE: Span = Span::from_secs(240);

/// A failure with its beginning and its end.
type Failure = (Fault, Fault);

fn failures() -> Vec<(&'static str, Failure)> {
    let daemon = |name: &str| name.parse().expect("valid name");
    let domain = |name: &str| name.parse().expect("valid name");
    let worker = |name: &str| name.parse().expect("valid name");
    let up = Fault::Store(StoreMode::Up);
    vec![
        ("kill", (Fault::Kill(daemon("cuenca-0")), Fault::Start(daemon("cuenca-0")))),
        ("kill-other", (Fault::Kill(daemon("cuenca-1")), Fault::Start(daemon("cuenca-1")))),
        ("freeze", (Fault::Freeze(daemon("cuenca-0")), Fault::Wake(daemon("cuenca-0")))),
        ("freeze-other", (Fault::Freeze(daemon("cuenca-1")), Fault::Wake(daemon("cuenca-1")))),
        ("stop", (Fault::Stop(daemon("quito-sur-0")), Fault::Start(daemon("quito-sur-0")))),
        ("store-down", (Fault::Store(StoreMode::Down), up.clone())),
        ("store-silent", (Fault::Store(StoreMode::Silent), up.clone())),
        ("store-loses-replies", (Fault::Store(StoreMode::LosesReplies), up.clone())),
        ("store-slow", (Fault::Store(StoreMode::Slow), up)),
        ("cut-platform", (Fault::CutPlatform(domain("cuenca")), Fault::Mend)),
        ("cut-domain", (Fault::CutDomain(domain("cuenca")), Fault::Mend)),
        ("cut-one-way", (Fault::CutOneWay(daemon("cuenca-0"), daemon("cuenca-1")), Fault::Mend)),
        (
            "worker-dies",
            (Fault::KillWorker(worker("cuenca-r0-w0")), Fault::MendWorker(worker("cuenca-r0-w0"))),
        ),
        (
            "worker-fails-all",
            (
                Fault::SpoilWorker(worker("quito-sur-r0-w1")),
                Fault::MendWorker(worker("quito-sur-r0-w1")),
            ),
        ),
        ("domain-out", (Fault::TakeOut(domain("cuenca")), Fault::TakeBack(domain("cuenca")))),
    ]
}

fn run(seed: u64, faults: &[(Span, Fault)]) -> Report {
    let mut lab = Lab::open(Layout::small(), seed);
    lab.apply_first_note();
    lab.run(Span::from_secs(8));
    lab.set_noise(Noise { lost: 5, repeated: 5, late: 5 });
    lab.submit_drawn(JOBS, LOAD);
    for (at, fault) in faults {
        lab.fault_after(*at, fault.clone());
    }
    lab.run(LOAD);
    lab.mend_all();
    lab.run(SETTLE);
    let report = lab.report();
    if !report.violations.is_empty() {
        for line in lab.trace() {
            eprintln!("{line}");
        }
    }
    report
}

fn assert_kept(name: &str, seed: u64, report: &Report) {
    assert!(report.violations.is_empty(), "{name}, seed {seed}: {:#?}", report.violations);
    assert!(report.completed > JOBS / 2, "{name}, seed {seed}: {report:?}");
}

#[test]
fn calm_run_completes_every_job() {
    for seed in 1..4 {
        let mut lab = Lab::open(Layout::small(), seed);
        lab.apply_first_note();
        lab.run(Span::from_secs(8));
        assert!(lab.versions().iter().all(|(_, version)| *version == 1), "{:?}", lab.versions());
        lab.submit_drawn(JOBS, LOAD);
        lab.run(LOAD + SETTLE);
        let report = lab.report();
        assert_kept("calm", seed, &report);
        assert_eq!(report.unknown, 0, "seed {seed}: {report:?}");
        assert_eq!(report.refused, 0, "seed {seed}: {report:?}");
    }
}

#[test]
fn promises_hold_under_each_failure() {
    for (name, (begin, end)) in failures() {
        for seed in 1..3 {
            let faults = [(Span::from_secs(6), begin.clone()), (Span::from_secs(22), end.clone())];
            assert_kept(name, seed, &run(seed, &faults));
        }
    }
}

#[test]
fn promises_hold_under_pairs_of_failures() {
    let failures = failures();
    for (i, (first, one)) in failures.iter().enumerate() {
        let (second, other) = &failures[(i * 4 + 7) % failures.len()];
        let faults = [
            (Span::from_secs(6), one.0.clone()),
            (Span::from_secs(9), other.0.clone()),
            (Span::from_secs(20), one.1.clone()),
            (Span::from_secs(26), other.1.clone()),
        ];
        let seed = 100 + i as u64;
        assert_kept(&format!("{first} and {second}"), seed, &run(seed, &faults));
    }
}
