use crate::run::{PolicyKind, run};
use crate::workload::Workload;
use crate::{kinds, report};

const MINUTES: u64 = 40;

/// Runs both deployments. The invariants of every policy are asserted within the run; here, each
/// measured job has completed or counts as lost.
fn check_policy(policy: PolicyKind) {
    for (name, seed) in [("guardavia", 7), ("tirta-kaca", 8)] {
        let deployment = kinds::deployment(name).expect("the deployment exists");
        let workload = Workload::generate(deployment, seed, MINUTES);
        let trace = run(deployment, &workload, policy, seed);
        let figures = report::figures(policy.name(), &workload, &trace);
        let counted = workload.jobs.iter().filter(|job| job.is_measured()).count();
        assert_eq!(figures.all.jobs + figures.lost, counted);
    }
}

/// Guards against a core scheduler that breaks an invariant of the simulation, such as two attempts
/// of one job, a start in a withdrawn domain, or a job that never ends.
#[test]
fn core_keeps_invariants() {
    check_policy(PolicyKind::Core);
}

/// Guards against a first-fit baseline that breaks an invariant, which would make the comparison
/// invalid.
#[test]
fn first_fit_keeps_invariants() {
    check_policy(PolicyKind::FirstFit);
}

/// Guards against a best-fit baseline that breaks an invariant, which would make the comparison
/// invalid.
#[test]
fn best_fit_keeps_invariants() {
    check_policy(PolicyKind::BestFit);
}

/// Guards against a run that depends on anything but its seed, so that figures could not be
/// reproduced.
#[test]
fn same_seed_gives_same_figures() {
    let deployment = kinds::deployment("guardavia").expect("the deployment exists");
    let figures = || {
        let workload = Workload::generate(deployment, 3, MINUTES);
        let trace = run(deployment, &workload, PolicyKind::BestFit, 3);
        let figures = report::figures("best-fit", &workload, &trace);
        serde_json::to_string(&figures).expect("the figures serialise")
    };
    assert_eq!(figures(), figures());
}
