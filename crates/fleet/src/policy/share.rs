//! Shares of workspaces.
//!
//! Load pattern: the workers are full, and one workspace sends 4 to 11 times its usual load for some
//! seconds. Each workspace then gets capacity in proportion to its weight, by weighted max-min fairness
//! over the dominant resource (dominant resource fairness, DRF). What a workspace doesn't want goes to the
//! others, so that shares never keep room idle.
//!
//! Shares follow from what is in use and what waits at the moment of a placement. No debt is remembered:
//! jobs are of use for seconds only, so capacity that a workspace did without can't be made up for later.

use bulrushlink_core::WorkspaceId;

use crate::catalog::{Catalog, Ceiling};
use crate::model::Resources;

use super::Standing;

/// A workspace is over its share from this multiple of it on. Shares change a little with each job that
/// arrives or ends, which is no reason to stop runs.
const OVER_FACTOR: f64 = 1.1;
/// Weight of a workspace that has none while others have one, and of jobs without a workspace.
const DEFAULT_WEIGHT: f64 = 1.0;
/// Differences of fractions of the capacity below this are rounding errors.
const ROUNDING: f64 = 1e-9;

/// A workspace, or all jobs without one, on the workers of one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Owner(usize);

/// What each workspace uses, wants and is entitled to during one placement.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Shares {
    /// Empty without weights. In the order of the endpoints, and for each of them sorted by workspace, with
    /// an entry for jobs without one at the end.
    entries: Vec<Entry>,
    /// Sorted. Shares are those of an endpoint's workers: what a workspace leaves to others on one endpoint
    /// is of no use to those that wait on another.
    endpoints: Vec<String>,
}

#[derive(Clone, Debug, PartialEq)]
struct Entry {
    /// Resources of all workers of the endpoint.
    capacity: Resources,
    workspace: Option<WorkspaceId>,
    weight: f64,
    ceiling: Ceiling,
    /// What its runs occupy that aren't being stopped.
    used: Resources,
    /// What is claimed or reserved for its gangs. It doesn't make the workspace one whose runs may be
    /// stopped.
    claimed: Resources,
    /// What its waiting work needs.
    waiting: Resources,
    /// Its fair share: a fraction of the capacity, in its dominant resource.
    fair: f64,
}

impl Shares {
    /// Returns the weights of a configuration, with nothing in use or waiting. `capacities` are the
    /// resources of the workers of each endpoint.
    pub(crate) fn new(catalog: &Catalog, mut capacities: Vec<(String, Resources)>) -> Self {
        let allotment = |w: &crate::catalog::Workspace| w.allotment.unwrap_or_default();
        if catalog.workspaces.iter().all(|w| allotment(w).weight.is_none()) {
            return Self::default();
        }
        // Work whose endpoint is not known is counted apart.
        capacities.push((String::new(), Resources::default()));
        capacities.sort_by(|a, b| a.0.cmp(&b.0));
        capacities.dedup_by(|b, a| a.0 == b.0);
        let entry = |workspace, weight: Option<f64>, ceiling| Entry {
            capacity: Resources::default(),
            workspace,
            weight: weight.unwrap_or(DEFAULT_WEIGHT),
            ceiling,
            used: Resources::default(),
            claimed: Resources::default(),
            waiting: Resources::default(),
            fair: 0.0,
        };
        let known = catalog.workspaces.iter().map(|w| {
            let allotment = allotment(w);
            entry(Some(w.name.clone()), allotment.weight, allotment.ceiling)
        });
        let others = entry(None, None, Ceiling::default());
        let entries: Vec<Entry> = known.chain([others]).collect();
        let of_endpoint = |(_, capacity): &(String, Resources)| {
            let capacity = *capacity;
            entries.clone().into_iter().map(move |e| Entry { capacity, ..e })
        };
        let entries = capacities.iter().flat_map(of_endpoint).collect();
        Self { entries, endpoints: capacities.into_iter().map(|(name, _)| name).collect() }
    }

    /// Returns true if no workspace has a weight.
    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of entries of each endpoint.
    fn stride(&self) -> usize {
        self.entries.len() / self.endpoints.len().max(1)
    }

    /// Returns the owner of a job's work; unknown endpoints and workspaces count as none.
    pub(crate) fn owner(&self, endpoint: &str, workspace: Option<&WorkspaceId>) -> Owner {
        let stride = self.stride();
        let found = self.endpoints.binary_search_by(|name| name.as_str().cmp(endpoint));
        let first = found.unwrap_or(0) * stride;
        let others = first + stride.saturating_sub(1);
        let known = &self.entries[first..others];
        let found =
            workspace.map(|name| known.binary_search_by(|e| e.workspace.as_ref().cmp(&Some(name))));
        Owner(found.and_then(Result::ok).map_or(others, |at| first + at))
    }

    /// Returns what a workspace uses on all endpoints; a ceiling is for all of them.
    fn used_by(&self, workspace: Option<&WorkspaceId>) -> Resources {
        let own = self.entries.iter().filter(|e| e.workspace.as_ref() == workspace);
        own.fold(Resources::default(), |sum, e| sum.plus(&e.total()))
    }

    /// Counts what is in use.
    pub(crate) fn add(&mut self, owner: Owner, need: &Resources) {
        if let Some(entry) = self.entries.get_mut(owner.0) {
            entry.used = entry.used.plus(need);
        }
    }

    /// Removes what is being stopped.
    pub(crate) fn remove(&mut self, owner: Owner, need: &Resources) {
        if let Some(entry) = self.entries.get_mut(owner.0) {
            entry.used = entry.used.minus(need);
        }
    }

    /// Counts what is claimed or reserved for gangs.
    pub(crate) fn add_claim(&mut self, owner: Owner, need: &Resources) {
        if let Some(entry) = self.entries.get_mut(owner.0) {
            entry.claimed = entry.claimed.plus(need);
        }
    }

    /// Removes a claim.
    pub(crate) fn remove_claim(&mut self, owner: Owner, need: &Resources) {
        if let Some(entry) = self.entries.get_mut(owner.0) {
            entry.claimed = entry.claimed.minus(need);
        }
    }

    /// Counts what waits.
    pub(crate) fn add_waiting(&mut self, owner: Owner, need: &Resources) {
        if let Some(entry) = self.entries.get_mut(owner.0) {
            entry.waiting = entry.waiting.plus(need);
        }
    }

    /// Determines the fair shares from what is in use and what waits. A workspace can't use what its
    /// ceiling forbids, so that counts as not wanted.
    pub(crate) fn settle(&mut self) {
        let demand = |entry: &Entry| {
            let (used, waiting) =
                (entry.fractions(&entry.total()), entry.fractions(&entry.waiting));
            let everywhere = self.used_by(entry.workspace.as_ref());
            let part = allowed_part(&entry.ceiling, &everywhere, &entry.waiting);
            (entry.weight, [0, 1, 2].map(|r| used[r] + part * waiting[r]))
        };
        let demands: Vec<(f64, [f64; 3])> = self.entries.iter().map(demand).collect();
        let shares = demands.chunks(self.stride().max(1)).flat_map(fair_shares);
        let shares: Vec<f64> = shares.collect();
        self.entries.iter_mut().zip(shares).for_each(|(entry, fair)| entry.fair = fair);
    }

    /// Returns true if a workspace uses more than its fair share, by more than the margin, once `less` is
    /// removed.
    pub(crate) fn is_over(&self, owner: Owner, less: &Resources) -> bool {
        let entry = self.entries.get(owner.0);
        let used = |e: &Entry| e.dominant(&e.used.minus(less));
        entry.is_some_and(|e| used(e) > e.fair * OVER_FACTOR + ROUNDING)
    }

    /// Returns true if a workspace uses no more than its fair share once `more` is added.
    pub(crate) fn stays_under(&self, owner: Owner, more: &Resources) -> bool {
        let entry = self.entries.get(owner.0);
        entry.is_some_and(|e| e.dominant(&e.total().plus(more)) <= e.fair + ROUNDING)
    }

    /// Returns true if a workspace still uses its fair share once `less` is removed.
    pub(crate) fn keeps_share(&self, owner: Owner, less: &Resources) -> bool {
        let entry = self.entries.get(owner.0);
        entry.is_some_and(|e| e.dominant(&e.used.minus(less)) >= e.fair - ROUNDING)
    }

    /// Returns how many of some equal tasks, or of gangs, may start one after the other while their
    /// workspace uses less than its fair share. The one that reaches the share counts: a gang that is
    /// wider than the share of its workspace would never start otherwise.
    pub(crate) fn count_under(&self, owner: Owner, need: &Resources, count: u64) -> u64 {
        let Some(entry) = self.entries.get(owner.0) else { return count };
        let (used, each) = (entry.fractions(&entry.total()), entry.fractions(need));
        if entry.dominant(&entry.total()) >= entry.fair - ROUNDING {
            return 0;
        }
        let needed = used.into_iter().zip(each).filter(|(_, each)| *each > 0.0);
        let steps = needed.map(|(used, each)| ((entry.fair - ROUNDING - used) / each).ceil());
        let most = steps.fold(f64::MAX, f64::min).max(1.0);
        if most >= count as f64 { count } else { most as u64 }
    }

    /// Returns the position of each owner among all, the one that is furthest over its share for its weight
    /// first.
    pub(crate) fn positions(&self) -> Vec<usize> {
        let excess = |e: &Entry| (e.dominant(&e.used) - e.fair) / e.weight;
        let mut order: Vec<usize> = (0..self.entries.len()).collect();
        order.sort_by(|a, b| excess(&self.entries[*b]).total_cmp(&excess(&self.entries[*a])));
        let mut positions = vec![0; order.len()];
        order.iter().enumerate().for_each(|(position, at)| positions[*at] = position);
        positions
    }

    /// Returns what each workspace uses and is entitled to. Of several endpoints, each counts by its part of
    /// the accelerators.
    pub(crate) fn standings(&self) -> Vec<Standing> {
        let stride = self.stride();
        let first_of_each = self.entries.chunks(stride.max(1)).map(|entries| &entries[0]);
        let all: u64 = first_of_each.map(|e| e.capacity.accelerators).sum();
        let part = |e: &Entry| match all {
            0 => 1.0 / self.endpoints.len() as f64,
            _ => e.capacity.accelerators as f64 / all as f64,
        };
        let standing = |at: usize| {
            let own = || self.entries.iter().skip(at).step_by(stride);
            let sum = |value: fn(&Entry) -> f64| own().map(|e| value(e) * part(e)).sum();
            let Entry { workspace, ceiling, .. } = &self.entries[at];
            Standing {
                workspace: workspace.clone(),
                used: own().fold(Resources::default(), |sum, e| sum.plus(&e.used)),
                ceiling: *ceiling,
                share: sum(|e| e.fair),
                debt: sum(|e| e.fair - e.dominant(&e.used)),
            }
        };
        (0..stride).map(standing).collect()
    }
}

impl Entry {
    /// Returns what is in use, claimed or reserved.
    fn total(&self) -> Resources {
        self.used.plus(&self.claimed)
    }

    fn fractions(&self, amount: &Resources) -> [f64; 3] {
        let part = |amount: u64, all: u64| if all == 0 { 0.0 } else { amount as f64 / all as f64 };
        [
            part(amount.cpu, self.capacity.cpu),
            part(amount.memory, self.capacity.memory),
            part(amount.accelerators, self.capacity.accelerators),
        ]
    }

    /// Returns the largest fraction of any resource that an amount takes.
    fn dominant(&self, amount: &Resources) -> f64 {
        self.fractions(amount).into_iter().fold(0.0, f64::max)
    }
}

impl Owner {
    /// Returns the index of the owner in [`Shares::positions`].
    pub(crate) fn index(self) -> usize {
        self.0
    }
}

/// Returns the part of the waiting work that a ceiling allows beside what is in use.
fn allowed_part(ceiling: &Ceiling, used: &Resources, waiting: &Resources) -> f64 {
    let part = |limit: u64, used: u64, waiting: u64| match limit {
        1.. if waiting > 0 => limit.saturating_sub(used) as f64 / waiting as f64,
        _ => 1.0,
    };
    let limit = &ceiling.0;
    let parts = [
        part(limit.cpu, used.cpu, waiting.cpu),
        part(limit.memory, used.memory, waiting.memory),
        part(limit.accelerators, used.accelerators, waiting.accelerators),
    ];
    parts.into_iter().fold(1.0, f64::min)
}

/// Returns the fair shares of some demands: each has a weight and the fraction of each resource that is
/// wanted. Shares grow in proportion to the weights until a demand is met, or a resource that it needs is
/// used up (progressive filling).
fn fair_shares(demands: &[(f64, [f64; 3])]) -> Vec<f64> {
    let dominant: Vec<f64> =
        demands.iter().map(|(_, parts)| parts.iter().copied().fold(0.0, f64::max)).collect();
    let level_met = |at: usize| dominant[at] / demands[at].0;
    let mut order: Vec<usize> = (0..demands.len()).filter(|at| dominant[*at] > 0.0).collect();
    order.sort_by(|a, b| level_met(*a).total_cmp(&level_met(*b)));
    let (mut fair, mut left, mut level) = (vec![0.0; demands.len()], [1.0_f64; 3], 0.0_f64);
    // The demands that grow are `order`; each turn meets one of them or uses up a resource.
    let rate = |at: &usize, r: usize| demands[*at].0 * demands[*at].1[r] / dominant[*at];
    let mut met = 0;
    let rates =
        |order: &[usize]| [0, 1, 2].map(|r| order.iter().map(|at| rate(at, r)).sum::<f64>());
    let mut total = rates(&order);
    while let Some(next) = order.get(met).copied() {
        let ends = [0, 1, 2].map(|r| match total[r] > 0.0 {
            true => level + left[r].max(0.0) / total[r],
            false => f64::INFINITY,
        });
        let first = if ends[1] < ends[0] { 1 } else { 0 };
        let first = if ends[2] < ends[first] { 2 } else { first };
        let reached = level_met(next).min(ends[first]);
        (0..3).for_each(|r| left[r] -= total[r] * (reached - level));
        level = reached;
        if level_met(next) <= ends[first] {
            fair[next] = dominant[next];
            met += 1;
            (0..3).for_each(|r| total[r] -= rate(&next, r));
        } else {
            left[first] = 0.0;
            let grows = order.split_off(met);
            let (stopped, growing): (Vec<usize>, Vec<usize>) =
                grows.into_iter().partition(|at| demands[*at].1[first] > 0.0);
            stopped.iter().for_each(|at| fair[*at] = demands[*at].0 * level);
            total = rates(&growing);
            (order, met) = (growing, 0);
        }
    }
    fair
}

#[cfg(test)]
mod tests;
