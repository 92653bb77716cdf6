use super::{DomainView, route};
use crate::error::Code;
use crate::job::{Adjacency, JobSpec, Shape, Urgency};
use crate::note::{
    DesiredState, DomainSpec, Entries, Guarantee, ReleaseNote, Service, WorkspaceSpec,
};
use crate::sched::Load;
use crate::units::Span;

const GANG: Shape = Shape { tasks: 4, accelerators: 8, adjacency: Adjacency::Rack };
const SMALL: Shape = Shape { tasks: 1, accelerators: 2, adjacency: Adjacency::Domain };

fn state(out: &[&str], guarantee: Option<(Shape, &str)>) -> DesiredState {
    let domain = |id: &str| DomainSpec {
        id: id.parse().unwrap(),
        region: "ec-sierra".parse().unwrap(),
        service: if out.contains(&id) { Service::Out } else { Service::In },
        grace: DomainSpec::DEFAULT_GRACE,
    };
    let guarantees = guarantee.map(|(shape, domain)| Guarantee {
        shape,
        count: 1,
        domain: Some(domain.parse().unwrap()),
    });
    let workspace = WorkspaceSpec {
        id: "review".parse().unwrap(),
        guarantees: guarantees.into_iter().collect(),
        queue: WorkspaceSpec::DEFAULT_QUEUE,
    };
    let added =
        Entries { domains: ["a", "b", "c"].map(domain).to_vec(), workspaces: vec![workspace] };
    let note = ReleaseNote {
        base: Default::default(),
        id: "first".to_string(),
        added,
        changed: Entries::default(),
        withdrawn: Default::default(),
    };
    DesiredState::default().try_apply(&note).unwrap()
}

fn views(loads: [(u32, u32, u32); 3]) -> Vec<DomainView> {
    let view = |(id, (free, block, queued)): (&str, (u32, u32, u32))| DomainView {
        id: id.parse().unwrap(),
        load: Load { total: 128, free, queued, waiting: queued / 8, block, ..Load::default() },
        reachable: true,
    };
    ["a", "b", "c"].into_iter().zip(loads).map(view).collect()
}

fn job(request: usize, shape: Shape) -> JobSpec {
    JobSpec {
        key: format!("review/r{request}").parse().unwrap(),
        kind: "footage".parse().unwrap(),
        shape,
        urgency: Urgency::Normal,
        declared: Span::from_secs(60),
        deadline: None,
        idempotent: true,
        checkpoint: true,
        domain: None,
        input: String::new(),
    }
}

fn routed(job: &JobSpec, state: &DesiredState, views: &[DomainView]) -> String {
    route(job, state, views).unwrap().to_string()
}

/// A gang that is sent to the domain with the most room breaks up free racks that a larger gang may
/// need.
#[test]
fn a_rack_gang_goes_to_the_smallest_free_block_that_fits_it() {
    let views = views([(100, 24, 0), (90, 64, 0), (40, 32, 0)]);
    assert_eq!(routed(&job(1, GANG), &state(&[], None), &views), "c");
}

#[test]
fn a_small_job_goes_to_the_domain_with_the_least_room_regardless_of_its_queue() {
    let views = views([(100, 64, 0), (1, 1, 0), (12, 8, 64)]);
    assert_eq!(routed(&job(1, SMALL), &state(&[], None), &views), "c");
}

#[test]
fn without_room_the_domain_with_the_least_pressure_is_chosen() {
    let views = views([(16, 16, 300), (16, 16, 100), (16, 16, 200)]);
    assert_eq!(routed(&job(1, GANG), &state(&[], None), &views), "b");
}

#[test]
fn a_domain_with_a_matching_guarantee_is_preferred() {
    let views = views([(128, 64, 0), (0, 0, 500), (128, 64, 0)]);
    assert_eq!(routed(&job(1, GANG), &state(&[], Some((GANG, "b"))), &views), "b");
}

/// A load counts the urgent jobs sent since its announcement. If the router ignored them, a burst
/// of urgent jobs would queue for one domain while the guarantees of the others stay idle.
#[test]
fn an_urgent_job_goes_where_its_guarantee_is_used_least() {
    let mut views = views([(128, 64, 0), (128, 64, 0), (0, 0, 500)]);
    let urgent = JobSpec { urgency: Urgency::Urgent, ..job(1, GANG) };
    let mut state = state(&[], None);
    state.workspaces[0].guarantees = vec![Guarantee { shape: GANG, count: 3, domain: None }];
    views[0].load.add_waiting(&urgent);
    views[1].load.add_waiting(&urgent);
    assert_eq!(routed(&urgent, &state, &views), "c");
}

/// Many daemons route on the same announced loads until the next announcement. Without a tie-break
/// per job, all of their jobs would go to the first of several equal domains.
#[test]
fn a_burst_routed_on_the_same_loads_spreads_over_equal_domains() {
    let views = views([(128, 64, 0); 3]);
    let state = state(&[], None);
    let mut counts = [0; 3];
    for request in 0..300 {
        let id = routed(&job(request, SMALL), &state, &views);
        counts[["a", "b", "c"].iter().position(|other| *other == id).unwrap()] += 1;
    }
    assert!(counts.iter().all(|count| (70..=130).contains(count)), "{counts:?}");
}

#[test]
fn a_domain_that_is_out_or_unreachable_is_not_chosen() {
    let mut views = views([(128, 64, 0), (128, 64, 0), (128, 64, 0)]);
    views[1].reachable = false;
    let state = state(&["c"], None);
    assert_eq!(routed(&job(1, SMALL), &state, &views), "a");
    let named = JobSpec { domain: Some("c".parse().unwrap()), ..job(1, SMALL) };
    let refusal = route(&named, &state, &views).unwrap_err();
    assert_eq!(refusal.code, Code::NoDomain);
    assert!(refusal.retry.is_some());
}

#[test]
fn an_unknown_workspace_is_refused_without_retry() {
    let mut spec = job(1, SMALL);
    spec.key.workspace = "stranger".parse().unwrap();
    let refusal = route(&spec, &state(&[], None), &views([(128, 64, 0); 3])).unwrap_err();
    assert_eq!((refusal.code, refusal.retry), (Code::UnknownWorkspace, None));
}
