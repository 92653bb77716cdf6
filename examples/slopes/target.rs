//! What the slopes give at the size of the target, for each role of a daemon.

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
/// Release notes a day.
const NOTES: f64 = 14_000.0;
/// Minutes of a day.
const DAY_MINUTES: f64 = 1_440.0;
/// Workers in the list of the deployment with notes.
const NOTES_LISTED: f64 = 360.0;
/// Workers that a daemon keeps there.
const NOTES_KEPT: f64 = 20.0;
/// Standard errors that a slope has to differ by from none.
const SURE_ERRORS: f64 = 2.0;
/// Other daemons of the domain in the deployments that differ in workers.
const MATES_MEASURED: f64 = 1.0;

/// One quantity of one role at the target.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Figure {
    /// The role.
    pub(crate) role: Role,
    /// What is used, with its unit.
    pub(crate) quantity: String,
    /// Of a daemon without workers, tasks and notes, with one other daemon in its domain.
    pub(crate) base: f64,
    /// Of the host list.
    pub(crate) list: f64,
    /// Of the other daemons of the domain.
    pub(crate) daemons: f64,
    /// Of the release notes, their plain readings too.
    pub(crate) notes: f64,
    /// Of its share of the workers.
    pub(crate) kept: f64,
    /// Of the tasks of its share.
    pub(crate) tasks: f64,
    /// Of the domain's other workers and all its tasks.
    pub(crate) placing: f64,
}

impl Figure {
    /// Returns the sum of all parts.
    pub(crate) fn sum(&self) -> f64 {
        let Self { base, list, daemons, notes, kept, tasks, placing, .. } = self;
        base + list + daemons + notes + kept + tasks + placing
    }
}

/// Takes a slope that can't be told from none for none: the sizes of the target would turn its
/// error into the largest part.
fn sure(line: Line) -> Line {
    let slope = if line.slope.abs() < SURE_ERRORS * line.error { 0.0 } else { line.slope };
    Line { slope, ..line }
}

/// Extrapolates a quantity; `None` unless every size was measured.
pub(crate) fn at_target(role: Role, quantity: &str, slopes: &[Slope]) -> Option<Figure> {
    let line = |role: &str, per: &str| -> Option<Line> {
        let is_it = |s: &&Slope| s.role == role && s.per == per && s.quantity == quantity;
        slopes.iter().find(is_it).map(|s| sure(s.line))
    };
    let list = line("member", "listed worker")?;
    let mates = line("any", "daemon of the domain")?;
    let notes = line("any", "note a minute")?;
    let kept = line("keeper", "kept worker")?;
    let kept_tasks = line("keeper", "kept task")?;
    let elsewhere = line("placer", "worker kept elsewhere")?;
    let tasks = line("placer", "task")?;
    let workers = WORKERS / DOMAINS;
    let keeps = role != Role::Member;
    let places = role == Role::Placer;
    let only = |wanted: bool, value: f64| if wanted { value } else { 0.0 };
    let share = workers / DAEMONS;
    let idle = kept.at(0.0) - list.at(0.0);
    // The deployment with notes has 360 workers, a large head, and both kinds of domains.
    let large_head = notes.base - list.at(NOTES_LISTED) - kept.slope * NOTES_KEPT;
    Some(Figure {
        role,
        quantity: quantity.to_string(),
        base: list.base,
        list: list.slope * WORKERS,
        daemons: mates.slope * (DAEMONS - 1.0 - MATES_MEASURED),
        notes: notes.slope * NOTES / DAY_MINUTES + large_head.max(0.0),
        kept: only(keeps, kept.slope * share + idle),
        tasks: only(keeps, kept_tasks.slope * TASKS / DOMAINS / DAEMONS),
        placing: only(places, elsewhere.slope * (workers - share) + tasks.slope * TASKS / DOMAINS),
    })
}
