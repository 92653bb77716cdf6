//! Single invariants, each under the fault that is most likely to violate it.

use bulrushlink_api::{JobState, SubmitBody};
use bulrushlink_core::{Adjacency, Moment, Shape, Span, Urgency};
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
    JobPlan { body, cancel: None, resubmits: false }
}

/// Opens a deployment and lets its first release note come into force.
fn open_lab(seed: u64) -> Lab {
    let mut lab = Lab::open(Layout::small(), seed);
    lab.apply_first_note();
    lab.run(Span::from_secs(10));
    lab
}

#[track_caller]
fn assert_no_violations(lab: &Lab) {
    let report = lab.report();
    if !report.violations.is_empty() {
        for line in lab.trace() {
            eprintln!("{line}");
        }
    }
    assert!(report.violations.is_empty(), "{:#?}", report.violations);
}

/// An idempotent job whose caller waits for 20 s must complete although the store is
/// unavailable.
#[test]
fn waiting_callers_of_idempotent_jobs_are_served_during_a_store_outage() {
    for mode in [StoreMode::Down, StoreMode::Silent, StoreMode::LosesReplies] {
        for seed in 1..4 {
            let mut lab = open_lab(seed);
            lab.fault_after(Span::ZERO, Fault::Store(mode));
            for i in 0..6 {
                let wait = Some(Span::from_secs(20));
                let plan = plan(&format!("held-{i}"), 500, true, wait);
                lab.submit_after(Span(200 + 1_500 * i), plan);
            }
            lab.run(Span::from_secs(40));
            for i in 0..6 {
                let told = lab.answered_states(i);
                assert_eq!(
                    told.last(),
                    Some(&JobState::Completed),
                    "{mode:?}, seed {seed}, job {i}"
                );
            }
            assert_no_violations(&lab);
        }
    }
}

/// Opens a deployment and waits until the time bounds apply, 40 s after the start.
fn open_settled_lab(seed: u64) -> Lab {
    let mut lab = open_lab(seed);
    lab.run(Span::from_secs(45));
    lab
}

fn id<T: std::str::FromStr>(name: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    name.parse().expect("valid name")
}

/// A submission without a wait must be answered within its bound in every mode of the store.
#[test]
fn submissions_are_answered_in_time_in_every_store_mode() {
    let modes = [
        StoreMode::Up,
        StoreMode::Down,
        StoreMode::Silent,
        StoreMode::LosesReplies,
        StoreMode::Slow,
        StoreMode::StaleWatches,
    ];
    for mode in modes {
        let mut lab = open_settled_lab(1);
        lab.fault_after(Span::ZERO, Fault::Store(mode));
        for i in 0..8 {
            lab.submit_after(Span(100 + 900 * i), plan(&format!("new-{i}"), 300, i % 2 == 0, None));
        }
        lab.run(Span::from_secs(20));
        lab.clear_faults();
        lab.run(Span::from_secs(60));
        assert!(lab.report().prompt_answers >= 8, "{mode:?}: {:?}", lab.report());
        assert_no_violations(&lab);
    }
}

/// A job within its guarantee must start within its bound although batch jobs of another workspace
/// have borrowed the accelerators.
#[test]
fn guaranteed_jobs_start_in_time_despite_borrowers() {
    for seed in 1..3 {
        let mut lab = open_settled_lab(seed);
        for i in 0..40 {
            let mut borrower = plan(&format!("borrower-{i}"), 60_000, true, None);
            borrower.body.workspace = id("crossing-risk");
            borrower.body.shape.accelerators = 4;
            borrower.body.urgency = Urgency::Batch;
            borrower.body.checkpoint = true;
            borrower.resubmits = true;
            lab.submit_after(Span(i * 10), borrower);
        }
        lab.run(Span::from_secs(15));
        lab.submit_guaranteed(24, Span::from_secs(60));
        lab.run(Span::from_secs(300));
        let report = lab.report();
        assert!(report.prompt_starts >= 8, "seed {seed}: {report:?}");
        assert_no_violations(&lab);
    }
}

/// No run may start on a worker that leaves, although the host list lags by 20 s.
#[test]
fn leaving_workers_get_no_new_runs() {
    for seed in 1..3 {
        let layout = Layout { lag: Span::from_secs(20), ..Layout::small() };
        let mut lab = Lab::open(layout, seed);
        lab.apply_first_note();
        lab.run(Span::from_secs(30));
        lab.submit_random(120, Span::from_secs(30));
        for (i, worker) in
            ["cuenca-r0-w0", "quito-norte-r1-w2", "quito-sur-r0-w1"].iter().enumerate()
        {
            lab.fault_after(Span(4_000 + 3_000 * i as u64), Fault::LeaveWorker(id(worker)));
        }
        // The worst case: the daemons of the failure domain restart while the host list still lags.
        lab.fault_after(Span(4_500), Fault::KillDomain(id("cuenca")));
        lab.fault_after(Span(5_500), Fault::StartDomain(id("cuenca")));
        lab.run(Span::from_secs(240));
        assert_no_violations(&lab);
    }
}

/// A failure domain whose daemons all restart while the store is down must get the accepted release
/// notes from the other domains.
#[test]
fn domain_restarted_during_a_store_outage_keeps_accepted_notes() {
    for seed in 1..4 {
        let mut lab = open_lab(seed);
        lab.fault_after(Span::ZERO, Fault::TakeOut(id("cuenca")));
        lab.run(Span::from_secs(45));
        lab.fault_after(Span::ZERO, Fault::Store(StoreMode::Down));
        lab.fault_after(Span(10), Fault::KillDomain(id("cuenca")));
        lab.fault_after(Span(1_000), Fault::StartDomain(id("cuenca")));
        lab.submit_random(30, Span::from_secs(20));
        lab.run(Span::from_secs(9));
        assert!(lab.versions().iter().all(|(_, version)| *version == 2), "{:?}", lab.versions());
        lab.run(Span::from_secs(20));
        assert_eq!(lab.settle_times().len(), 2, "seed {seed}: the withdrawal was not confirmed");
        lab.clear_faults();
        lab.run(Span::from_secs(200));
        assert_no_violations(&lab);
    }
}

/// A placer killed or frozen at any point of a gang start must leave no partial gang and must not
/// run a job twice.
#[test]
fn placer_lost_during_a_gang_start_leaves_no_partial_gang_and_runs_nothing_twice() {
    let mut strikes = 0;
    for point in [StartPoint::Reserved, StartPoint::Committed, StartPoint::Confirmed] {
        for kills in [true, false] {
            let mut lab = open_lab(7);
            for i in 0..12 {
                let mut gang = plan(&format!("gang-{i}"), 3_000, i % 2 == 0, None);
                gang.body.workspace = id("incident-replay");
                gang.body.shape = Shape { tasks: 4, accelerators: 4, ..gang.body.shape };
                gang.body.shape.adjacency = Adjacency::Domain;
                gang.resubmits = true;
                lab.submit_after(Span(500 * i), gang);
            }
            for (i, domain) in ["cuenca", "quito-norte", "quito-sur"].into_iter().enumerate() {
                let strike = if kills { Fault::KillAt } else { Fault::FreezeAt };
                lab.fault_after(Span(400 * i as u64), strike(id(domain), point));
                lab.fault_after(Span::from_secs(30), Fault::StartDomain(id(domain)));
            }
            lab.run(Span::from_secs(240));
            strikes += lab.trace().filter(|line| line.contains("STRIKE")).count();
            assert_no_violations(&lab);
        }
    }
    assert!(strikes >= 10, "only {strikes} faults during a gang start");
}

/// Of two release notes with the same base version only one may be accepted, in every mode of the
/// store that carries out writes.
#[test]
fn only_one_of_two_racing_operators_wins() {
    let mut races = 0;
    for mode in [StoreMode::Up, StoreMode::LosesReplies, StoreMode::Slow, StoreMode::StaleWatches] {
        for seed in 1..5 {
            let mut lab = open_lab(seed);
            lab.fault_after(Span::ZERO, Fault::Store(mode));
            lab.fault_after(Span(100), Fault::Race(id("cuenca")));
            lab.fault_after(Span::from_secs(12), Fault::Store(StoreMode::Up));
            lab.run(Span::from_secs(80));
            races += lab.report().races;
            assert_no_violations(&lab);
        }
    }
    assert!(races >= 12, "only {races} races had an outcome");
}

/// A rolling restart of all daemons must not interrupt, refuse or restart any job.
#[test]
fn rolling_restart_interrupts_and_refuses_nothing() {
    for seed in 1..4 {
        let mut lab = open_lab(seed);
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
        assert_no_violations(&lab);
    }
}

/// A daemon that is paused during its graceful stop must answer the requests that arrived in the
/// meantime.
#[test]
fn graceful_stop_after_a_pause_answers_requests_received_meanwhile() {
    for seed in 1..4 {
        let mut lab = open_lab(seed);
        for i in 0..80 {
            let wait = Some(Span::from_secs(20));
            lab.submit_after(Span(20 * i), plan(&format!("late-{i}"), 2_000, true, wait));
        }
        lab.fault_after(Span(100), Fault::Stop(id("quito-sur-1")));
        lab.fault_after(Span(101), Fault::Freeze(id("quito-sur-1")));
        lab.fault_after(Span(5_000), Fault::Wake(id("quito-sur-1")));
        lab.run(Span::from_secs(60));
        assert_no_violations(&lab);
    }
}

/// Without jobs a deployment may read the store 6 times a second and must not write. A burst of 300
/// jobs may take 10 writes per job and must not hit the store's rate limit.
#[test]
fn store_calls_are_bounded_at_rest_and_under_a_burst() {
    let mut lab = open_settled_lab(1);
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

/// A job that is not idempotent must not run twice if its start was ordered before the store had
/// the intent: the store is silent while all daemons and workers restart, so that no record of the
/// run remains.
#[test]
fn nothing_runs_before_its_intent_is_in_the_store() {
    for seed in 1..4 {
        let mut lab = open_lab(seed);
        for i in 0..200 {
            let mut queued = plan(&format!("queued-{i}"), 700, false, None);
            queued.body.workspace = id(["crossing-risk", "municipal-transit"][i % 2]);
            queued.body.shape.accelerators = 8;
            queued.resubmits = true;
            lab.submit_after(Span(5 * i as u64), queued);
        }
        lab.fault_after(Span(3_000), Fault::Store(StoreMode::Silent));
        for domain in ["cuenca", "quito-norte", "quito-sur"] {
            lab.fault_after(Span(4_600), Fault::KillDomain(id(domain)));
            lab.fault_after(Span(6_000), Fault::StartDomain(id(domain)));
            // The workers restart as well, so that they don't know what ran either.
            for worker in 0..8 {
                let name = format!("{domain}-r{}-w{}", worker / 4, worker % 4);
                lab.fault_after(Span(4_600), Fault::KillWorker(id(&name)));
                lab.fault_after(Span(5_500), Fault::MendWorker(id(&name)));
            }
        }
        lab.fault_after(Span(6_500), Fault::Store(StoreMode::Up));
        lab.run(Span::from_secs(300));
        assert_no_violations(&lab);
    }
}

/// A failure domain that is cut off from everything must start nothing once its withdrawal is
/// confirmed, but must serve its callers until then.
#[test]
fn isolated_domain_starts_nothing_after_its_withdrawal_is_confirmed() {
    for seed in 1..3 {
        let mut lab = open_lab(seed);
        lab.fault_after(Span::ZERO, Fault::Isolate(id("cuenca")));
        lab.fault_after(Span(1_000), Fault::TakeOut(id("cuenca")));
        for i in 0..160 {
            let wait = Some(Span::from_secs(5));
            lab.submit_after(Span(500 * i), plan(&format!("cut-{i}"), 300, true, wait));
        }
        lab.run(Span::from_secs(85));
        assert_eq!(lab.settle_times().len(), 2, "seed {seed}: the withdrawal was not confirmed");
        let runs = lab.record().runs();
        let inside = runs.iter().filter(|run| run.worker.as_str().starts_with("cuenca"));
        // From 8 s after the isolation, which begins 10 s after the start at 1000 s.
        let served = inside.filter(|run| run.started > Moment(1_018_000)).count();
        assert!(served > 5, "seed {seed}: only {served} starts in the isolated domain");
        lab.clear_faults();
        lab.run(Span::from_secs(120));
        assert_no_violations(&lab);
    }
}

/// A burst of 60 jobs that is shorter than a heartbeat interval must spread over all failure domains.
#[test]
fn burst_within_one_heartbeat_spreads_over_the_domains() {
    for seed in 1..4 {
        let mut lab = open_lab(seed);
        for i in 0..60 {
            let mut plan = plan(&format!("burst-{i}"), 4_000, true, None);
            plan.body.shape = Shape { tasks: 1, accelerators: 8, adjacency: Adjacency::Worker };
            plan.body.checkpoint = true;
            lab.submit_after(Span(10 + i), plan);
        }
        lab.run(Span::from_secs(3));
        let runs = lab.record().runs();
        let started = |domain: &str| {
            runs.iter().filter(|run| run.worker.as_str().starts_with(domain)).count()
        };
        for domain in ["cuenca", "quito-norte", "quito-sur"] {
            assert!(started(domain) >= 3, "seed {seed}: {domain} started only {}", started(domain));
        }
        lab.run(Span::from_secs(120));
        assert_no_violations(&lab);
    }
}
