//! Extrapolation of the slopes to the size of the target deployment, for each role of a daemon.

use serde::Serialize;

use crate::cases::Role;
use crate::line::Line;
use crate::report::Slope;

/// Workers of all failure domains.
const WORKERS: f64 = 18_000.0;
/// Running tasks of all failure domains.
const TASKS: f64 = 170_000.0;
/// Failure domains.
const DOMAINS: f64 = 9.0;
/// Daemons of a failure domain.
const DAEMONS: f64 = 8.0;
/// Release notes per day.
const NOTES_PER_DAY: f64 = 14_000.0;
/// Minutes per day.
const DAY_MINUTES: f64 = 1_440.0;
/// Workers in the host list of the deployment in which notes are measured.
const NOTES_LISTED: f64 = 360.0;
/// Workers that a daemon of that deployment keeps.
const NOTES_KEPT: f64 = 20.0;
/// Standard errors by which a slope must differ from 0 to count.
const MIN_SLOPE_ERRORS: f64 = 2.0;
/// Other daemons of the domain in the deployments with different numbers of workers.
const MATES_MEASURED: f64 = 1.0;

/// Extrapolated use of one quantity by one role, by cause.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Figure {
    /// The role.
    pub(crate) role: Role,
    /// The quantity, with its unit.
    pub(crate) quantity: String,
    /// Use of a daemon without workers, tasks and notes, with one other daemon in its domain.
    pub(crate) base: f64,
    /// Use for the host list.
    pub(crate) list: f64,
    /// Use for the other daemons of the domain.
    pub(crate) daemons: f64,
    /// Use for the release notes, including plain reads of the head.
    pub(crate) notes: f64,
    /// Use for the workers that the daemon keeps.
    pub(crate) kept: f64,
    /// Use for the tasks on those workers.
    pub(crate) tasks: f64,
    /// Use for the other workers of the domain and all its tasks.
    pub(crate) placing: f64,
}

impl Figure {
    /// Returns the sum of all parts.
    pub(crate) fn sum(&self) -> f64 {
        let Self { base, list, daemons, notes, kept, tasks, placing, .. } = self;
        base + list + daemons + notes + kept + tasks + placing
    }
}

/// Replaces a slope that does not differ significantly from 0 by 0: at the sizes of the target its
/// error would become the largest part of the result.
fn drop_insignificant(line: Line) -> Line {
    let slope = if line.slope.abs() < MIN_SLOPE_ERRORS * line.error { 0.0 } else { line.slope };
    Line { slope, ..line }
}

/// Extrapolates a quantity to the target deployment; `None` unless every size was measured.
pub(crate) fn at_target(role: Role, quantity: &str, slopes: &[Slope]) -> Option<Figure> {
    let line = |role: &str, per: &str| -> Option<Line> {
        let matches = |s: &&Slope| s.role == role && s.per == per && s.quantity == quantity;
        slopes.iter().find(matches).map(|s| drop_insignificant(s.line))
    };
    let list = line("member", "listed worker")?;
    let mates = line("any", "daemon of the domain")?;
    let notes = line("any", "note a minute")?;
    let kept = line("keeper", "kept worker")?;
    let kept_tasks = line("keeper", "kept task")?;
    let elsewhere = line("placer", "worker kept elsewhere")?;
    let tasks = line("placer", "task")?;
    let workers = WORKERS / DOMAINS;
    let is_keeper = role != Role::Member;
    let is_placer = role == Role::Placer;
    let if_true = |condition: bool, value: f64| if condition { value } else { 0.0 };
    let kept_workers = workers / DAEMONS;
    let keeper_base = kept.at(0.0) - list.at(0.0);
    // The deployment with notes has 360 listed workers, a large head, and domains with and without
    // daemons; what its base holds beyond the listed and kept workers is the cost of the head.
    let large_head = notes.base - list.at(NOTES_LISTED) - kept.slope * NOTES_KEPT;
    Some(Figure {
        role,
        quantity: quantity.to_string(),
        base: list.base,
        list: list.slope * WORKERS,
        daemons: mates.slope * (DAEMONS - 1.0 - MATES_MEASURED),
        notes: notes.slope * NOTES_PER_DAY / DAY_MINUTES + large_head.max(0.0),
        kept: if_true(is_keeper, kept.slope * kept_workers + keeper_base),
        tasks: if_true(is_keeper, kept_tasks.slope * TASKS / DOMAINS / DAEMONS),
        placing: if_true(
            is_placer,
            elsewhere.slope * (workers - kept_workers) + tasks.slope * TASKS / DOMAINS,
        ),
    })
}
