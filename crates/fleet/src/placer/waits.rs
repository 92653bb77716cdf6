//! Why units wait and what each workspace uses, for the log, the metrics and the dump. Nothing is kept
//! without weights and ceilings.

use bulrushlink_core::{Moment, Span};

use crate::ids::JobId;
use crate::model::Resources;
use crate::policy::Standing;

use super::decide::Placement;
use super::units::Unit;
use super::{Context, Placer};

/// Interval between two updates of the workspaces' figures.
const STANDINGS_INTERVAL: Span = Span(1_000);
/// Workspaces with their own label in the metrics; the others are added up.
const LABELS_MAX: usize = 32;
/// Lines about waiting units that one placement may log; the dump lists all of them.
const LINES_MAX: usize = 4;
/// A unit is logged once it has waited for the same reason for this long.
const LOGGED_AFTER: Span = Span(1_000);

/// Why a unit waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WaitReason {
    /// Its workspace would occupy more than its ceiling.
    Ceiling,
    /// Its workspace uses its share, and there is no room beyond the others' work.
    Share,
    /// No workers have room for it.
    Room,
}

/// A waiting unit.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Wait {
    job: JobId,
    round: u32,
    step: u16,
    reason: WaitReason,
    since: Moment,
    logged: bool,
}

impl Wait {
    #[cfg(test)]
    pub(super) const fn reason(&self) -> WaitReason {
        self.reason
    }

    const fn key(&self) -> (JobId, u32, u16) {
        (self.job, self.round, self.step)
    }
}

impl WaitReason {
    const ALL: [Self; 3] = [Self::Ceiling, Self::Share, Self::Room];

    const fn label(self) -> &'static str {
        match self {
            Self::Ceiling => "ceiling",
            Self::Share => "share",
            Self::Room => "room",
        }
    }
}

impl Placer {
    /// Returns why tasks of a unit still wait after an attempt to place it; `tasks` waited before.
    pub(super) fn wait_reason(
        &self,
        unit: &Unit,
        tasks: usize,
        placement: &Placement,
    ) -> Option<WaitReason> {
        let at = self.job_index(unit.job).ok()?;
        let step = self.jobs[at].spec.steps.get(usize::from(unit.step))?;
        let wanted = if step.gang { tasks as u64 } else { 1 };
        let workspace = self.workspace_of(unit.job);
        Some(match () {
            () if placement.quotas.tasks_left(workspace, &step.need) < wanted => {
                WaitReason::Ceiling
            }
            () if unit.rank.is_over_share() => WaitReason::Share,
            () => WaitReason::Room,
        })
    }

    /// Records that a unit waits.
    pub(super) fn record_wait(&mut self, ctx: &Context<'_>, unit: &Unit, reason: WaitReason) {
        let (job, round, step) = (unit.job, unit.round, unit.step);
        let since = ctx.clock.now;
        self.waits.push(Wait { job, round, step, reason, since, logged: false });
    }

    /// Completes the list of waiting units with what was known before, and logs a few of those that have
    /// waited for some time.
    pub(super) fn update_waits(&mut self, ctx: &Context<'_>, before: &[Wait]) {
        // Of a step that is listed twice, the part that is over the share comes last.
        self.waits.reverse();
        self.waits.sort_by_key(Wait::key);
        self.waits.dedup_by_key(|w| w.key());
        for wait in &mut self.waits {
            let known = before.binary_search_by_key(&wait.key(), Wait::key).map(|at| &before[at]);
            if let Ok(known) = known
                && known.reason == wait.reason
            {
                (wait.since, wait.logged) = (known.since, known.logged);
            }
        }
        let now = ctx.clock.now;
        let due = |w: &&mut Wait| !w.logged && now.since(w.since) >= LOGGED_AFTER;
        for wait in self.waits.iter_mut().filter(due).take(LINES_MAX) {
            wait.logged = true;
            log::info!(
                event = "waits", job:% = wait.job, round = wait.round, step = wait.step,
                reason = wait.reason.label(), since_ms = now.since(wait.since).millis();
                "work waits for its workspace's ceiling or share, or for room"
            );
        }
        for reason in WaitReason::ALL {
            let count = self.waits.iter().filter(|w| w.reason == reason).count();
            metrics::gauge!("bulrushlink_waiting_units", "reason" => reason.label())
                .set(count as f64);
        }
    }

    /// Updates what the dump and the metrics show of the workspaces, at most once a second.
    pub(super) fn update_standings(&mut self, ctx: &Context<'_>, units: &[Unit]) {
        if ctx.clock.now.since(self.standings_at) < STANDINGS_INTERVAL {
            return;
        }
        self.standings_at = ctx.clock.now;
        let shares = self.shares(ctx, units);
        let standings =
            if shares.is_empty() { self.quotas(ctx).standings() } else { shares.standings() };
        self.standings = standings;
        for (label, standing) in bounded(&self.standings) {
            let set = |name: &'static str, value: f64| {
                metrics::gauge!(name, "workspace" => label.clone()).set(value);
            };
            let Standing { used, ceiling, share, debt, .. } = standing;
            set("bulrushlink_workspace_accelerators", used.accelerators as f64);
            set("bulrushlink_workspace_ceiling_accelerators", ceiling.0.accelerators as f64);
            set("bulrushlink_workspace_share", share);
            set("bulrushlink_workspace_debt", debt);
        }
    }
}

/// Returns the figures with their labels: the workspaces beyond the first ones are added up as `other`.
fn bounded(standings: &[Standing]) -> Vec<(String, Standing)> {
    let (own, rest) = standings.split_at(standings.len().min(LABELS_MAX));
    let label = |s: &Standing| s.workspace.as_ref().map_or("none".to_string(), |w| w.to_string());
    let mut all: Vec<(String, Standing)> = own.iter().map(|s| (label(s), s.clone())).collect();
    if let Some(first) = rest.first() {
        let add = |sum: Standing, s: &Standing| Standing {
            used: sum.used.plus(&s.used),
            share: sum.share + s.share,
            debt: sum.debt + s.debt,
            ..sum
        };
        let none = Standing {
            used: Resources::default(),
            ceiling: crate::catalog::Ceiling::default(),
            share: 0.0,
            debt: 0.0,
            ..first.clone()
        };
        all.push(("other".to_string(), rest.iter().fold(none, add)));
    }
    all
}

#[cfg(test)]
mod tests;
