//! Each fault that a deployment must tolerate, alone and in pairs, from fixed seeds. The invariants
//! are checked against the record of the workers.

use bulrushlink_core::Span;
use bulrushlink_lab::{Fault, Lab, Layout, Noise, Report, StoreMode};

/// Number of jobs in a run.
const JOBS: usize = 60;
/// Time over which the jobs are submitted.
const LOAD_TIME: Span = Span::from_secs(40);
/// Time after the last submission within which each job must end.
const SETTLE_TIME: Span = Span::from_secs(240);

/// A fault, and the fault that ends it.
type FaultWithEnd = (Fault, Fault);

fn faults_with_ends() -> Vec<(&'static str, FaultWithEnd)> {
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
    lab.submit_random(JOBS, LOAD_TIME);
    for (at, fault) in faults {
        lab.fault_after(*at, fault.clone());
    }
    lab.run(LOAD_TIME);
    lab.clear_faults();
    lab.run(SETTLE_TIME);
    let report = lab.report();
    if !report.violations.is_empty() {
        for line in lab.trace() {
            eprintln!("{line}");
        }
    }
    report
}

fn assert_served(name: &str, seed: u64, report: &Report) {
    assert!(report.violations.is_empty(), "{name}, seed {seed}: {:#?}", report.violations);
    assert!(report.completed > JOBS / 2, "{name}, seed {seed}: {report:?}");
}

/// Without faults no job may be refused or end with an unknown outcome.
#[test]
fn run_without_faults_completes_every_job() {
    for seed in 1..4 {
        let mut lab = Lab::open(Layout::small(), seed);
        lab.apply_first_note();
        lab.run(Span::from_secs(8));
        assert!(lab.versions().iter().all(|(_, version)| *version == 1), "{:?}", lab.versions());
        lab.submit_random(JOBS, LOAD_TIME);
        lab.run(LOAD_TIME + SETTLE_TIME);
        let report = lab.report();
        assert_served("calm", seed, &report);
        assert_eq!(report.unknown, 0, "seed {seed}: {report:?}");
        assert_eq!(report.refused, 0, "seed {seed}: {report:?}");
    }
}

/// No invariant may be violated, and most jobs must complete, under a single fault of 16 s.
#[test]
fn invariants_hold_under_each_fault() {
    for (name, (begin, end)) in faults_with_ends() {
        for seed in 1..3 {
            let faults = [(Span::from_secs(6), begin.clone()), (Span::from_secs(22), end.clone())];
            assert_served(name, seed, &run(seed, &faults));
        }
    }
}

/// The same under two overlapping faults of 14 s and 17 s.
#[test]
fn invariants_hold_under_pairs_of_faults() {
    let all = faults_with_ends();
    for (i, (first, one)) in all.iter().enumerate() {
        let (second, other) = &all[(i * 4 + 7) % all.len()];
        let faults = [
            (Span::from_secs(6), one.0.clone()),
            (Span::from_secs(9), other.0.clone()),
            (Span::from_secs(20), one.1.clone()),
            (Span::from_secs(26), other.1.clone()),
        ];
        let seed = 100 + i as u64;
        assert_served(&format!("{first} and {second}"), seed, &run(seed, &faults));
    }
}
