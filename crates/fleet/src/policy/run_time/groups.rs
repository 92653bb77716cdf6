//! Groups of similar steps, and what the workspaces of a queue have in common.
//!
//! A workspace adds only to its own groups. What several workspaces have in common is the median over
//! their groups, so that one workspace can't move it beyond the others.

use bulrushlink_core::{Moment, WorkspaceId};
use serde::{Deserialize, Serialize};
use std::fmt;

use super::window::{Table, Window};
use super::{
    ADVANTAGE_FULL, ADVANTAGE_MIN, CERTAINTY_FULL, CERTAINTY_MIN, RunTimes, Shape, StepKey,
};

/// Most groups.
pub(super) const GROUPS_MAX: usize = 512;
/// Most groups of one workspace, so that one with jobs of many shapes doesn't displace the others.
pub(super) const WORKSPACE_GROUPS_MAX: usize = 64;
/// Least number of workspaces whose median counts for others: one of three can't move it.
const WORKSPACES_MIN: usize = 3;
/// Weight of the latest error in the mean of the errors.
const ERROR_WEIGHT: f32 = 1.0 / 32.0;
/// Largest error that counts, as a logarithm: a factor of 10. Beyond this an error tells of the tail.
const ERROR_MAX: f32 = 2.3;

/// Mean errors of recent forecasts, as absolute logarithms.
#[derive(Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub(crate) struct Errors {
    /// Of the callers' estimates.
    pub(crate) estimate: f32,
    /// Of the forecasts that were learned.
    pub(crate) learned: f32,
    /// Variance of the differences of the two.
    pub(crate) variance: f32,
    pub(crate) samples: u32,
}

/// In one line, as the groups.
impl fmt::Debug for Errors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { estimate, learned, variance, samples } = self;
        write!(f, "errors {estimate:.3} of estimates, {learned:.3} of forecasts, ")?;
        write!(f, "variance {variance:.4}, samples {samples}")
    }
}

impl Errors {
    fn add(&mut self, estimate: f32, learned: f32) {
        self.samples = self.samples.saturating_add(1);
        let weight = (1.0 / self.samples as f32).max(ERROR_WEIGHT);
        let (estimate, learned) = (estimate.abs().min(ERROR_MAX), learned.abs().min(ERROR_MAX));
        let surprise = (estimate - learned) - (self.estimate - self.learned);
        self.variance = (1.0 - weight) * (self.variance + weight * surprise * surprise);
        self.estimate += weight * (estimate - self.estimate);
        self.learned += weight * (learned - self.learned);
    }

    /// Returns true if the figures are in their ranges.
    pub(super) fn is_valid(&self) -> bool {
        let means = [self.estimate, self.learned].iter().all(|e| (0.0..=ERROR_MAX).contains(e));
        means && (0.0..=ERROR_MAX * ERROR_MAX).contains(&self.variance)
    }

    /// Returns how much the learned forecasts count against the estimates, from 0 to 1.
    pub(super) fn trust(&self) -> f32 {
        let gain = self.estimate - self.learned;
        if gain <= 0.0 {
            return 0.0;
        }
        // The number of samples that give a mean as certain as one with falling weights.
        let samples = (self.samples as f32).min(2.0 / ERROR_WEIGHT - 1.0);
        let certainty = gain / (self.variance / samples).sqrt().max(f32::MIN_POSITIVE);
        let rise = |value: f32, min: f32, full: f32| ((value - min) / (full - min)).clamp(0.0, 1.0);
        rise(gain / self.estimate, ADVANTAGE_MIN, ADVANTAGE_FULL).min(rise(
            certainty,
            CERTAINTY_MIN,
            CERTAINTY_FULL,
        ))
    }
}

/// Runs of one workspace in a queue: those of one shape, or all.
#[derive(Clone)]
pub(super) struct Group {
    pub(super) queue: String,
    /// `None` for the steps of all shapes.
    pub(super) shape: Option<Shape>,
    pub(super) workspace: Option<WorkspaceId>,
    /// Ratio of the work to the caller's estimate.
    pub(super) ratio: Window,
    /// Work in milliseconds.
    pub(super) work: Window,
    /// When the newest sample was taken.
    pub(super) newest: Moment,
    /// Only of groups of all shapes.
    pub(super) errors: Errors,
}

impl Group {
    fn key(&self) -> (&str, Option<Shape>, Option<&WorkspaceId>) {
        (&self.queue, self.shape, self.workspace.as_ref())
    }
}

/// What the workspaces of a queue have in common, for one shape or for all.
#[derive(Clone)]
pub(super) struct Level {
    queue: String,
    shape: Option<Shape>,
    pub(super) ratio: Table,
    /// Number of samples of `ratio`.
    pub(super) ratios: u32,
    pub(super) work: Table,
    /// Number of samples of `work`.
    pub(super) samples: u32,
    pub(super) newest: Moment,
    /// Medians over the workspaces; only of levels of all shapes.
    pub(super) errors: Errors,
}

impl RunTimes {
    fn position(
        &self,
        queue: &str,
        shape: Option<Shape>,
        workspace: Option<&WorkspaceId>,
    ) -> Result<usize, usize> {
        self.groups.binary_search_by(|g| g.key().cmp(&(queue, shape, workspace)))
    }

    pub(super) fn group(
        &self,
        queue: &str,
        shape: Option<Shape>,
        workspace: Option<&WorkspaceId>,
    ) -> Option<&Group> {
        self.position(queue, shape, workspace).ok().map(|at| &self.groups[at])
    }

    fn level_position(&self, queue: &str, shape: Option<Shape>) -> Result<usize, usize> {
        self.levels.binary_search_by(|l| (l.queue.as_str(), l.shape).cmp(&(queue, shape)))
    }

    pub(super) fn level(&self, queue: &str, shape: Option<Shape>) -> Option<&Level> {
        self.level_position(queue, shape).ok().map(|at| &self.levels[at])
    }

    /// Adds the errors of the estimate and of the learned forecast for a run.
    pub(super) fn score(&mut self, key: &StepKey<'_>, (estimate, learned): (f32, f32)) {
        if let Ok(at) = self.position(key.queue, None, key.workspace) {
            self.groups[at].errors.add(estimate, learned);
        }
    }

    /// Adds a sample, given as logarithms, to one group.
    pub(super) fn add(
        &mut self,
        now: Moment,
        key: &StepKey<'_>,
        shape: Option<Shape>,
        ratio: Option<f32>,
        work: f32,
    ) {
        let at = match self.position(key.queue, shape, key.workspace) {
            Ok(at) => at,
            Err(_) => {
                self.make_room(key.workspace);
                self.insert(Group {
                    queue: key.queue.to_string(),
                    shape,
                    workspace: key.workspace.cloned(),
                    ratio: Window::default(),
                    work: Window::default(),
                    newest: now,
                    errors: Errors::default(),
                })
            }
        };
        let group = &mut self.groups[at];
        group.newest = now;
        group.work.add(f64::from(work).exp());
        if let Some(ratio) = ratio {
            group.ratio.add(f64::from(ratio).exp());
        }
        self.refresh_level(key.queue, shape);
    }

    /// Inserts a group that isn't there, and returns its position.
    pub(super) fn insert(&mut self, group: Group) -> usize {
        let at = self.groups.partition_point(|g| g.key() < group.key());
        self.groups.insert(at, group);
        at
    }

    /// Inserts a group, unless it is there already with as many values; returns true if it was inserted.
    pub(super) fn insert_new(&mut self, group: Group) -> bool {
        let (queue, shape) = (group.queue.clone(), group.shape);
        match self.position(&queue, shape, group.workspace.as_ref()) {
            Ok(at) if self.groups[at].work.len() >= group.work.len() => return false,
            Ok(at) => self.groups[at] = group,
            Err(at) if self.groups.len() < GROUPS_MAX => self.groups.insert(at, group),
            Err(_) => return false,
        }
        self.refresh_level(&queue, shape);
        true
    }

    /// Evicts the group without samples for the longest time if there are too many: one of the same
    /// workspace if that has too many, or one of the workspace that has the most.
    fn make_room(&mut self, workspace: Option<&WorkspaceId>) {
        let count = |w| self.groups.iter().filter(|g| g.workspace.as_ref() == w).count();
        let owner = if count(workspace) >= WORKSPACE_GROUPS_MAX {
            workspace
        } else if self.groups.len() >= GROUPS_MAX {
            let owners = self.groups.iter().map(|g| g.workspace.as_ref());
            owners.max_by_key(|w| count(*w)).flatten()
        } else {
            return;
        };
        let owned = |(_, g): &(usize, &Group)| g.workspace.as_ref() == owner;
        let oldest = self.groups.iter().enumerate().filter(owned).min_by_key(|(_, g)| g.newest);
        if let Some((at, _)) = oldest {
            let evicted = self.groups.remove(at);
            self.refresh_level(&evicted.queue, evicted.shape);
        }
    }

    /// Determines anew what the workspaces of a queue have in common.
    pub(super) fn refresh_level(&mut self, queue: &str, shape: Option<Shape>) {
        let first = self.groups.partition_point(|g| (g.queue.as_str(), g.shape) < (queue, shape));
        let same = |g: &&Group| g.queue == queue && g.shape == shape;
        let members: Vec<&Group> = self.groups[first..].iter().take_while(same).collect();
        let at = self.level_position(queue, shape);
        if members.len() < WORKSPACES_MIN {
            if let Ok(at) = at {
                self.levels.remove(at);
            }
            return;
        }
        let level = Level::of(queue, shape, &members);
        match at {
            Ok(at) => self.levels[at] = level,
            Err(at) => self.levels.insert(at, level),
        }
    }
}

impl Level {
    fn of(queue: &str, shape: Option<Shape>, members: &[&Group]) -> Self {
        let tables = |window: fn(&Group) -> &Window| -> (Table, u32) {
            let windows = || members.iter().map(|g| window(g)).filter(|w| w.len() > 0);
            if windows().count() < WORKSPACES_MIN {
                return (Table::default(), 0);
            }
            let tables: Vec<Table> = windows().map(|w| *w.table()).collect();
            // One workspace must not make the others' common figures count for more.
            (Table::median_of(&tables), median(windows().map(|w| w.len() as f32)) as u32)
        };
        let (ratio, ratios) = tables(|g| &g.ratio);
        let (work, samples) = tables(|g| &g.work);
        Self {
            queue: queue.to_string(),
            shape,
            ratio,
            ratios,
            work,
            samples,
            newest: members.iter().map(|g| g.newest).max().unwrap_or_default(),
            errors: Errors {
                estimate: median(members.iter().map(|g| g.errors.estimate)),
                learned: median(members.iter().map(|g| g.errors.learned)),
                variance: median(members.iter().map(|g| g.errors.variance)),
                samples: median(members.iter().map(|g| g.errors.samples as f32)) as u32,
            },
        }
    }
}

/// The dump shows a group in one line; there may be hundreds.
impl fmt::Debug for Group {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { queue, shape, workspace, ratio, work, newest, errors } = self;
        let shape = shape.map_or("all shapes".to_string(), |s| s.to_string());
        let workspace = workspace.as_ref().map_or("none", |w| w.as_str());
        write!(f, "Group {{ {queue}, {workspace}, {shape}, ratio {ratio:?}, ")?;
        write!(f, "work_ms {work:?}, newest {newest}, {errors:?} }}")
    }
}

/// In one line, as the groups.
impl fmt::Debug for Level {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { queue, samples, errors, .. } = self;
        let shape = self.shape.map_or("all shapes".to_string(), |s| s.to_string());
        let (ratio, work) = (self.ratio.median().exp(), self.work.median().exp());
        write!(f, "Level {{ {queue}, {shape}, samples {samples}, ")?;
        write!(f, "ratio {ratio:.3}, work_ms {work:.0}, {errors:?} }}")
    }
}

/// Returns the lower median of some numbers; 0 if there are none.
fn median(values: impl Iterator<Item = f32>) -> f32 {
    let mut values: Vec<f32> = values.collect();
    values.sort_by(f32::total_cmp);
    values.get(values.len().saturating_sub(1) / 2).copied().unwrap_or(0.0)
}
