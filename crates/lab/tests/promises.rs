//! Single promises under the one failure that threatens them most.

use bulrushlink_api::{JobState, SubmitBody};
use bulrushlink_core::{Adjacency, Shape, Span, Urgency};
use bulrushlink_lab::{Fault, JobPlan, Lab, Layout, StartPoint, StoreMode};

fn plan(name: &str, run_ms: u64, idempotent: bool, wait: Option<Span>) -> JobPlan {
    let body = SubmitBody {
        workspace: "rosters".parse().expect("valid name"),
        request: name.parse().expect("valid name"),
        kind: "roster".parse().expect("valid name"),
        shape: Shape { tasks: 1, accelerators: 2, adjacency: Adjacency::Worker },
        urgency: Urgency::Normal,
        declared: Span(run_ms),
        deadline: None,
        idempotent,
        checkpoint: false,
        domain: None,
        input: format!("sleep {run_ms}"),
        wait,
    };
    JobPlan { body, cancel: None, insists: false }
}

fn calm(seed: u64) -> Lab {
    let mut lab = Lab::open(Layout::small(), seed);
    lab.apply_first_note();
    lab.run(Span::from_secs(10));
    lab
}

#[track_caller]
fn assert_kept(lab: &Lab) {
    let report = lab.report();
    if !report.violations.is_empty() {
        for line in lab.trace() {
            eprintln!("{line}");
        }
    }
    assert!(report.violations.is_empty(), "{:#?}", report.violations);
}

#[test]
fn outage_of_the_store_serves_idempotent_callers_who_wait() {
    for mode in [StoreMode::Down, StoreMode::Silent, StoreMode::LosesReplies] {
        for seed in 1..4 {
            let mut lab = calm(seed);
            lab.fault_after(Span::ZERO, Fault::Store(mode));
            for i in 0..6 {
                let wait = Some(Span::from_secs(20));
                let plan = plan(&format!("held-{i}"), 500, true, wait);
                lab.submit_after(Span(200 + 1_500 * i), plan);
            }
            lab.run(Span::from_secs(40));
            for i in 0..6 {
                let told = lab.told(i);
                assert_eq!(
                    told.last(),
                    Some(&JobState::Completed),
                    "{mode:?}, seed {seed}, job {i}"
                );
            }
            assert_kept(&lab);
        }
    }
}

/// Opens a deployment for which the bounds of a calm one are asked for.
fn settled(seed: u64) -> Lab {
    let mut lab = calm(seed);
    lab.run(Span::from_secs(45));
    lab
}

fn id<T: std::str::FromStr>(name: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    name.parse().expect("valid name")
}

#[test]
fn submissions_are_answered_in_time_whatever_the_store_does() {
    let modes = [
        StoreMode::Up,
        StoreMode::Down,
        StoreMode::Silent,
        StoreMode::LosesReplies,
        StoreMode::Slow,
        StoreMode::StaleWatches,
    ];
    for mode in modes {
        let mut lab = settled(1);
        lab.fault_after(Span::ZERO, Fault::Store(mode));
        for i in 0..8 {
            lab.submit_after(Span(100 + 900 * i), plan(&format!("new-{i}"), 300, i % 2 == 0, None));
        }
        lab.run(Span::from_secs(20));
        lab.mend_all();
        lab.run(Span::from_secs(60));
        assert!(lab.report().prompt_answers >= 8, "{mode:?}: {:?}", lab.report());
        assert_kept(&lab);
    }
}

#[test]
fn guaranteed_jobs_start_in_time_beside_borrowers() {
    for seed in 1..3 {
        let mut lab = settled(seed);
        for i in 0..40 {
            let mut borrower = plan(&format!("borrower-{i}"), 60_000, true, None);
            borrower.body.workspace = id("crossing-risk");
            borrower.body.shape.accelerators = 4;
            borrower.body.urgency = Urgency::Batch;
            borrower.body.checkpoint = true;
            borrower.insists = true;
            lab.submit_after(Span(i * 10), borrower);
        }
        lab.run(Span::from_secs(15));
        lab.submit_guaranteed(24, Span::from_secs(60));
        lab.run(Span::from_secs(300));
        let report = lab.report();
        assert!(report.prompt_starts >= 8, "seed {seed}: {report:?}");
        assert_kept(&lab);
    }
}

#[test]
fn workers_that_leave_get_nothing_new() {
    for seed in 1..3 {
        let layout = Layout { lag: Span::from_secs(20), ..Layout::small() };
        let mut lab = Lab::open(layout, seed);
        lab.apply_first_note();
        lab.run(Span::from_secs(30));
        lab.submit_drawn(120, Span::from_secs(30));
        for (i, worker) in
            ["cuenca-r0-w0", "quito-norte-r1-w2", "quito-sur-r0-w1"].iter().enumerate()
        {
            lab.fault_after(Span(4_000 + 3_000 * i as u64), Fault::LeaveWorker(id(worker)));
        }
        // The worst case: the domain's daemons come anew while the list still lags.
        lab.fault_after(Span(4_500), Fault::KillDomain(id("cuenca")));
        lab.fault_after(Span(5_500), Fault::StartDomain(id("cuenca")));
        lab.run(Span::from_secs(240));
        assert_kept(&lab);
    }
}

#[test]
fn a_domain_restarted_whole_in_an_outage_keeps_the_accepted_notes() {
    for seed in 1..4 {
        let mut lab = calm(seed);
        lab.fault_after(Span::ZERO, Fault::TakeOut(id("cuenca")));
        lab.run(Span::from_secs(45));
        lab.fault_after(Span::ZERO, Fault::Store(StoreMode::Down));
        lab.fault_after(Span(10), Fault::KillDomain(id("cuenca")));
        lab.fault_after(Span(1_000), Fault::StartDomain(id("cuenca")));
        lab.submit_drawn(30, Span::from_secs(20));
        lab.run(Span::from_secs(9));
        assert!(lab.versions().iter().all(|(_, version)| *version == 2), "{:?}", lab.versions());
        lab.run(Span::from_secs(20));
        assert_eq!(lab.settled().len(), 2, "seed {seed}: the domain was told to be out everywhere");
        lab.mend_all();
        lab.run(Span::from_secs(200));
        assert_kept(&lab);
    }
}

#[test]
fn a_placer_struck_in_a_start_leaves_no_partial_gang_and_runs_nothing_twice() {
    let mut struck = 0;
    for point in [StartPoint::Reserved, StartPoint::Committed, StartPoint::Confirmed] {
        for kills in [true, false] {
            let mut lab = calm(7);
            for i in 0..12 {
                let mut gang = plan(&format!("gang-{i}"), 3_000, i % 2 == 0, None);
                gang.body.workspace = id("incident-replay");
                gang.body.shape = Shape { tasks: 4, accelerators: 4, ..gang.body.shape };
                gang.body.shape.adjacency = Adjacency::Domain;
                gang.insists = true;
                lab.submit_after(Span(500 * i), gang);
            }
            for (i, domain) in ["cuenca", "quito-norte", "quito-sur"].into_iter().enumerate() {
                let strike = if kills { Fault::KillAt } else { Fault::FreezeAt };
                lab.fault_after(Span(400 * i as u64), strike(id(domain), point));
                lab.fault_after(Span::from_secs(30), Fault::StartDomain(id(domain)));
            }
            lab.run(Span::from_secs(240));
            struck += lab.trace().filter(|line| line.contains("STRIKE")).count();
            assert_kept(&lab);
        }
    }
    assert!(struck >= 10, "{struck} strikes");
}

#[test]
fn of_two_operators_that_race_one_wins() {
    let mut races = 0;
    for mode in [StoreMode::Up, StoreMode::LosesReplies, StoreMode::Slow, StoreMode::StaleWatches] {
        for seed in 1..5 {
            let mut lab = calm(seed);
            lab.fault_after(Span::ZERO, Fault::Store(mode));
            lab.fault_after(Span(100), Fault::Race(id("cuenca")));
            lab.fault_after(Span::from_secs(12), Fault::Store(StoreMode::Up));
            lab.run(Span::from_secs(80));
            races += lab.report().races;
            assert_kept(&lab);
        }
    }
    assert!(races >= 12, "{races} races had an outcome");
}

#[test]
fn planned_stops_of_all_daemons_in_a_row_cut_and_refuse_nothing() {
    for seed in 1..4 {
        let mut lab = calm(seed);
        for i in 0..80 {
            let run_ms = 300 + 70 * i;
            let wait = (i % 3 == 0).then_some(Span::from_secs(20));
            lab.submit_after(Span(500 * i), plan(&format!("row-{i}"), run_ms, i % 2 == 0, wait));
        }
        lab.fault_after(Span::from_secs(2), Fault::StopEach);
        lab.run(Span::from_secs(240));
        let report = lab.report();
        assert_eq!((report.refused, report.unknown), (0, 0), "seed {seed}: {report:?}");
        assert_eq!((report.completed, report.restarted), (80, 0), "seed {seed}: {report:?}");
        assert_kept(&lab);
    }
}

#[test]
fn a_planned_stop_that_is_paused_answers_what_arrived_meanwhile() {
    for seed in 1..4 {
        let mut lab = calm(seed);
        for i in 0..40 {
            lab.submit_after(Span(50 * i), plan(&format!("late-{i}"), 300, true, None));
        }
        lab.fault_after(Span(500), Fault::Stop(id("quito-sur-1")));
        lab.fault_after(Span(600), Fault::Freeze(id("quito-sur-1")));
        lab.fault_after(Span(5_000), Fault::Wake(id("quito-sur-1")));
        lab.run(Span::from_secs(60));
        assert_kept(&lab);
    }
}

#[test]
fn a_deployment_at_rest_and_under_a_burst_calls_the_store_little() {
    let mut lab = settled(1);
    let before = lab.store_counts();
    lab.run(Span::from_secs(60));
    let rest = lab.store_counts();
    let reads = rest.reads() - before.reads();
    let writes = rest.writes() - before.writes();
    println!("at rest: {reads} reads and {writes} writes in 60 s");
    assert!(reads <= 60 * 6 && writes == 0, "{reads} reads and {writes} writes in 60 s");
    lab.fault_after(Span::ZERO, Fault::Burst(300));
    lab.run(Span::from_secs(10));
    let burst = lab.store_counts();
    let (reads, writes) = (burst.reads() - rest.reads(), burst.writes() - rest.writes());
    println!("burst of 300 jobs: {reads} reads and {writes} writes in 10 s");
    assert!(writes <= 300 * 10 && burst.limited == 0, "{burst:?}");
}

#[test]
fn nothing_runs_on_an_intent_that_the_store_never_heard_of() {
    for seed in 1..4 {
        let mut lab = calm(seed);
        for i in 0..200 {
            let mut queued = plan(&format!("queued-{i}"), 700, false, None);
            queued.body.workspace = id(["crossing-risk", "municipal-transit"][i % 2]);
            queued.body.shape.accelerators = 8;
            queued.insists = true;
            lab.submit_after(Span(5 * i as u64), queued);
        }
        lab.fault_after(Span(3_000), Fault::Store(StoreMode::Silent));
        for domain in ["cuenca", "quito-norte", "quito-sur"] {
            lab.fault_after(Span(4_600), Fault::KillDomain(id(domain)));
            lab.fault_after(Span(6_000), Fault::StartDomain(id(domain)));
        }
        lab.fault_after(Span(6_500), Fault::Store(StoreMode::Up));
        lab.run(Span::from_secs(300));
        assert_kept(&lab);
    }
}

#[test]
fn a_domain_cut_off_from_all_starts_nothing_once_its_withdrawal_is_told() {
    for seed in 1..3 {
        let mut lab = calm(seed);
        lab.fault_after(Span::ZERO, Fault::Isolate(id("cuenca")));
        lab.fault_after(Span(1_000), Fault::TakeOut(id("cuenca")));
        for i in 0..160 {
            let wait = Some(Span::from_secs(5));
            lab.submit_after(Span(500 * i), plan(&format!("cut-{i}"), 300, true, wait));
        }
        lab.run(Span::from_secs(85));
        assert_eq!(lab.settled().len(), 2, "seed {seed}: the withdrawal was told");
        lab.mend_all();
        lab.run(Span::from_secs(120));
        assert_kept(&lab);
    }
}
