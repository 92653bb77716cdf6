//! Single promises under the one failure that threatens them most.

use bulrushlink_api::{JobState, SubmitBody};
use bulrushlink_core::{Adjacency, Shape, Span, Urgency};
use bulrushlink_lab::{Fault, JobPlan, Lab, Layout, StoreMode};

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
