//! Fair shares as pure arithmetic, and replays of load on full workers.

use bulrushlink_core::{Span, WorkspaceId};
use proptest::prelude::*;

use super::{Owner, Shares};
use crate::catalog::{Allotment, Catalog, Ceiling, Limits, Workspace};
use crate::ids::Rev;
use crate::model::Resources;

const ENDPOINT: &str = "dispatch";

fn accelerators(accelerators: u64) -> Resources {
    Resources { cpu: 1_000 * accelerators, memory: 0, accelerators }
}

/// Returns shares of `all` accelerators for workspaces with the given weights and ceilings.
fn open(all: u64, allotments: &[(f64, u64)]) -> Shares {
    let workspace = |(n, (weight, ceiling)): (usize, &(f64, u64))| Workspace {
        name: name(n),
        keys: Vec::new(),
        guaranteed: 0,
        allotment: Some(Allotment {
            weight: Some(*weight),
            ceiling: Ceiling(Resources { accelerators: *ceiling, ..Resources::default() }),
        }),
    };
    let workspaces = allotments.iter().enumerate().map(workspace).collect();
    let limits = Limits { head: 1, body: 1, head_time: Span(1), idle_time: Span(1) };
    let (queues, size) = (Vec::new(), 1);
    let catalog = Catalog { version: 1, rev: Rev(1), size, queues, workspaces, limits };
    Shares::new(&catalog, vec![(ENDPOINT.to_string(), accelerators(all))])
}

fn name(number: usize) -> WorkspaceId {
    format!("w-{number:02}").parse().expect("valid name")
}

fn owner(shares: &Shares, number: usize) -> Owner {
    shares.owner(ENDPOINT, Some(&name(number)))
}

fn fair(shares: &Shares, number: usize) -> f64 {
    shares.entries[owner(shares, number).0].fair
}

/// Guards against decisions by shares in deployments without weights.
#[test]
fn without_weights_there_are_no_shares() {
    let mut shares = open(8, &[(1.0, 0)]);
    assert!(!shares.is_empty());
    shares.entries.clear();
    let owner = shares.owner(ENDPOINT, Some(&name(0)));
    assert_eq!(shares.count_under(owner, &accelerators(1), 5), 5);
}

/// What a workspace doesn't want, or may not use because of its ceiling, goes to the others by weight.
#[test]
fn capacity_that_is_not_wanted_goes_to_the_others() {
    let mut shares = open(100, &[(1.0, 0), (3.0, 0), (1.0, 0), (5.0, 10)]);
    for (number, wanted) in [(0, 500), (1, 500), (2, 10), (3, 500)] {
        shares.add_waiting(owner(&shares, number), &accelerators(wanted));
    }
    shares.settle();
    let fair: Vec<f64> = (0..4).map(|n| (fair(&shares, n) * 100.0).round()).collect();
    assert_eq!(fair, [20.0, 60.0, 10.0, 10.0]);
}

/// A workspace is measured by the resource of which it takes the largest part.
#[test]
fn dominant_resource_decides() {
    let mut shares = open(100, &[(1.0, 0), (1.0, 0)]);
    // The first takes processor time only, the second both.
    shares.add_waiting(owner(&shares, 0), &Resources { cpu: 1_000_000, ..Resources::default() });
    let both = Resources { cpu: 250_000, memory: 0, accelerators: 1_000 };
    shares.add_waiting(owner(&shares, 1), &both);
    shares.settle();
    // 4/5 of the processor time against 4/5 of the accelerators with 1/5 of the processor time.
    assert!((fair(&shares, 0) - 0.8).abs() < 1e-6, "{}", fair(&shares, 0));
    assert!((fair(&shares, 1) - 0.8).abs() < 1e-6, "{}", fair(&shares, 1));
}

/// A gang that is wider than the share of its workspace starts while the workspace is under the share.
#[test]
fn wide_gang_starts_under_the_share() {
    let mut shares = open(100, &[(1.0, 0), (1.0, 0)]);
    shares.add(owner(&shares, 1), &accelerators(80));
    shares.add_waiting(owner(&shares, 1), &accelerators(500));
    shares.add_waiting(owner(&shares, 0), &accelerators(500));
    shares.settle();
    let narrow = owner(&shares, 1);
    let wide = owner(&shares, 0);
    assert_eq!(shares.count_under(wide, &accelerators(64), 1), 1);
    assert_eq!(shares.count_under(narrow, &accelerators(1), 9), 0);
}

/// A reservation keeps its workspace from another one, and is no reason to stop the runs that it has.
#[test]
fn claims_count_against_further_work_but_do_not_make_a_workspace_a_victim() {
    let mut shares = open(100, &[(1.0, 0), (1.0, 0)]);
    for number in 0..2 {
        shares.add_waiting(owner(&shares, number), &accelerators(500));
        shares.add(owner(&shares, number), &accelerators(45));
    }
    shares.settle();
    let first = owner(&shares, 0);
    assert!(shares.stays_under(first, &accelerators(5)));
    assert!(!shares.stays_under(first, &accelerators(6)));
    shares.add_claim(first, &accelerators(20));
    assert!(!shares.stays_under(first, &accelerators(1)));
    assert_eq!(shares.count_under(first, &accelerators(1), 1), 0);
    assert!(!shares.is_over(first, &accelerators(0)));
    shares.add(first, &accelerators(20));
    assert!(shares.is_over(first, &accelerators(0)) && !shares.is_over(first, &accelerators(10)));
    assert!(shares.keeps_share(first, &accelerators(15)));
    assert!(!shares.keeps_share(first, &accelerators(16)));
}

proptest! {
    /// Guards against shares that don't add up, whatever the weights and the needs.
    #[test]
    fn shares_fit_into_the_capacity(
        demands in prop::collection::vec((1e-3_f64..1e6, [0.0_f64..3.0, 0.0_f64..3.0, 0.0_f64..3.0]), 1..20),
    ) {
        let fair = super::fair_shares(&demands);
        let dominant = |d: &(f64, [f64; 3])| d.1.iter().copied().fold(0.0, f64::max);
        let part = |r: usize, demand: &(f64, [f64; 3]), share: &f64| match dominant(demand) {
            0.0 => 0.0,
            all => demand.1[r] * share / all,
        };
        let used = |r: usize| -> f64 { demands.iter().zip(&fair).map(|(d, f)| part(r, d, f)).sum() };
        (0..3).for_each(|r| assert!(used(r) <= 1.0 + 1e-6, "resource {r}: {}", used(r)));
        for (demand, share) in demands.iter().zip(&fair) {
            prop_assert!(*share >= 0.0 && *share <= dominant(demand) + 1e-9);
            let blocked = (0..3).any(|r| demand.1[r] > 0.0 && used(r) >= 1.0 - 1e-6);
            let met = *share >= dominant(demand) - 1e-6;
            prop_assert!(met || blocked, "less than wanted though nothing it needs is used up");
        }
    }
}
