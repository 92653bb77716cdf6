use crate::run::{Contender, run};
use crate::workload::Workload;
use crate::{kinds, report};

const MINUTES: u64 = 40;

/// The rules that hold for every policy are asserted within the run.
fn check(contender: Contender) {
    for (name, seed) in [("guardavia", 7), ("tirta-kaca", 8)] {
        let deployment = kinds::deployment(name).expect("it is a known deployment");
        let workload = Workload::generate(deployment, seed, MINUTES);
        let trace = run(deployment, &workload, contender, seed);
        let figures = report::figures(contender.name(), &workload, &trace);
        let counted = workload.jobs.iter().filter(|job| job.counts()).count();
        assert_eq!(figures.all.jobs + figures.lost, counted);
    }
}

#[test]
fn the_core_keeps_the_rules() {
    check(Contender::Core);
}

#[test]
fn first_fit_keeps_the_rules() {
    check(Contender::FirstFit);
}

#[test]
fn best_fit_keeps_the_rules() {
    check(Contender::BestFit);
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let deployment = kinds::deployment("guardavia").expect("it is a known deployment");
    let figures = || {
        let workload = Workload::generate(deployment, 3, MINUTES);
        let trace = run(deployment, &workload, Contender::BestFit, 3);
        let figures = report::figures("best-fit", &workload, &trace);
        serde_json::to_string(&figures).expect("figures always serialise")
    };
    assert_eq!(figures(), figures());
}
