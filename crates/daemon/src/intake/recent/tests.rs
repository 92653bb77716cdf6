use bulrushlink_core::{
    DesiredState, DomainId, DomainView, JobSpec, Load, Moment, ReleaseNote, route,
};

use super::{LOAD_REPORT_DELAY, RecentSubmissions};

const NOTE: &str = r#"{
    "base": 0,
    "id": "first",
    "added": {
        "domains": [
            { "id": "cuenca", "region": "ec-sierra" },
            { "id": "quito-norte", "region": "ec-sierra" }
        ],
        "workspaces": [{ "id": "rosters" }]
    }
}"#;

fn spec(index: u32) -> JobSpec {
    let text = format!(
        r#"{{
            "key": {{ "workspace": "rosters", "request": "job-{index}" }},
            "kind": "roster",
            "shape": {{ "tasks": 1, "accelerators": 8 }},
            "declared": 1000,
            "idempotent": true,
            "checkpoint": true
        }}"#
    );
    serde_json::from_str(&text).expect("valid job specification")
}

fn view(name: &str, free: u32) -> DomainView {
    let load = Load { total: 160, free, block: free.min(64), ..Load::default() };
    DomainView { id: name.parse().expect("valid name"), load, reachable: true }
}

/// Routes a burst of ten jobs on the same reported loads and counts the jobs sent to `name`.
fn count_burst_to(name: &str, recent: &mut RecentSubmissions) -> usize {
    let note: ReleaseNote = serde_json::from_str(NOTE).expect("valid release note");
    let state = DesiredState::default().try_apply(&note).expect("note applies to the empty state");
    let id: DomainId = name.parse().expect("valid name");
    let choose = |index| {
        let mut views = [view("cuenca", 16), view("quito-norte", 80)];
        recent.add_to_loads(&mut views, Moment(0));
        let domain = route(&spec(index), &state, &views).expect("job fits a domain");
        recent.record(&domain, &spec(index), Moment(0));
        domain
    };
    (0..10).map(choose).filter(|domain| *domain == id).count()
}

/// Guards against a burst that goes to one domain as a whole, because its reported load does not
/// yet include the jobs just sent. `cuenca` has room for two of them.
#[test]
fn burst_is_spread_over_domains_with_room() {
    assert_eq!(count_burst_to("cuenca", &mut RecentSubmissions::default()), 2);
}

/// Guards against sent jobs being counted twice: in the reported load and in the recent
/// submissions.
#[test]
fn sent_jobs_are_not_counted_once_the_reported_load_includes_them() {
    let mut recent = RecentSubmissions::default();
    recent.record(&"cuenca".parse().expect("valid name"), &spec(0), Moment(0));
    let mut views = [view("cuenca", 16)];
    recent.add_to_loads(&mut views, Moment(0) + LOAD_REPORT_DELAY);
    assert_eq!(views[0].load.free, 16);
}
