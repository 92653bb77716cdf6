use bulrushlink_core::{
    DesiredState, DomainId, DomainView, JobSpec, Load, Moment, ReleaseNote, route,
};

use super::{Recent, UNHEARD_SPAN};

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
    serde_json::from_str(&text).expect("a job")
}

fn view(name: &str, free: u32) -> DomainView {
    let load = Load { total: 160, free, block: free.min(64), ..Load::default() };
    DomainView { id: name.parse().expect("valid name"), load, reachable: true }
}

/// Routes a burst on the same news and counts the jobs that go to `name`.
fn burst_to(name: &str, recent: &mut Recent) -> usize {
    let note: ReleaseNote = serde_json::from_str(NOTE).expect("a note");
    let state = DesiredState::default().try_apply(&note).expect("a valid note");
    let id: DomainId = name.parse().expect("valid name");
    let choose = |index| {
        let mut views = [view("cuenca", 16), view("quito-norte", 80)];
        recent.add_to(&mut views, Moment(0));
        let domain = route(&spec(index), &state, &views).expect("a domain");
        recent.note(&domain, &spec(index), Moment(0));
        domain
    };
    (0..10).map(choose).filter(|domain| *domain == id).count()
}

#[test]
fn burst_fills_a_domain_only_as_far_as_it_has_room() {
    assert_eq!(burst_to("cuenca", &mut Recent::default()), 2);
}

#[test]
fn jobs_are_forgotten_once_they_are_part_of_the_load() {
    let mut recent = Recent::default();
    recent.note(&"cuenca".parse().expect("valid name"), &spec(0), Moment(0));
    let mut views = [view("cuenca", 16)];
    recent.add_to(&mut views, Moment(0) + UNHEARD_SPAN);
    assert_eq!(views[0].load.free, 16);
}
