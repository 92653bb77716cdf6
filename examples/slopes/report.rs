//! Lines through the measured rows, printed as a table or as JSON.

use serde::Serialize;

use crate::cases::{HeadSize, Role, Row};
use crate::line::{Line, Point};
use crate::target::{Figure, at_target};

/// What one kind of daemon uses for each unit of a size.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Slope {
    /// Which daemon.
    pub(crate) role: String,
    /// The unit of the size.
    pub(crate) per: String,
    /// What is used, with its unit.
    pub(crate) quantity: String,
    /// The line through all windows.
    pub(crate) line: Line,
    /// Windows measured.
    pub(crate) windows: usize,
}

/// Everything that a run gives.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Report {
    /// The lines.
    pub(crate) slopes: Vec<Slope>,
    /// What the lines give at the target; empty unless every size was measured, and for a quick
    /// run, whose errors are too large for it.
    pub(crate) figures: Vec<Figure>,
    /// Size of the head, if it was measured.
    pub(crate) head: Option<HeadSize>,
    /// Every window.
    pub(crate) rows: Vec<Row>,
}

/// A size or a use of a row.
type Read = fn(&Row) -> f64;

/// Quantities that every role has.
const PROCESS: [(&str, Read); 2] =
    [("% of a core", |r| r.rates.cpu), ("MB of memory", |r| r.rates.memory)];
/// Bytes by edge.
const BYTES: [(&str, Read); 4] = [
    ("B/s with peers", |r| r.rates.edges.peer.bytes()),
    ("B/s with workers", |r| r.rates.edges.worker.bytes()),
    ("B/s with the store", |r| r.rates.edges.store.bytes()),
    ("B/s of the host list", |r| r.rates.edges.hosts.bytes()),
];
/// Calls by edge.
const CALLS: [(&str, Read); 3] = [
    ("frames/s to peers", |r| r.rates.edges.peer.calls),
    ("calls/s to workers", |r| r.rates.edges.worker.calls),
    ("calls/s to the store", |r| r.rates.edges.store.calls),
];

/// Measured rows by what differs between them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Measured {
    /// Differ in workers.
    pub(crate) workers: Vec<Row>,
    /// Differ in tasks.
    pub(crate) tasks: Vec<Row>,
    /// Differ in daemons.
    pub(crate) daemons: Vec<Row>,
    /// Differ in release notes.
    pub(crate) notes: Vec<Row>,
}

impl Report {
    pub(crate) fn of(measured: Measured, head: Option<HeadSize>, extrapolates: bool) -> Self {
        let Measured { workers, tasks, daemons, notes } = measured;
        let mut slopes = Vec::new();
        for (quantity, read) in PROCESS.into_iter().chain(BYTES).chain(CALLS) {
            slopes.extend(of_workers(&workers, quantity, read));
            slopes.extend(of_tasks(&tasks, quantity, read));
            slopes.extend(of_daemons(&daemons, quantity, read));
            let name = ("any", "note a minute", quantity);
            slopes.extend(slope(name, notes.iter().map(|r| Point { x: r.notes, y: read(r) })));
        }
        slopes.sort_by(|a, b| (&a.per, &a.role).cmp(&(&b.per, &b.role)));
        let roles = [Role::Member, Role::Keeper, Role::Placer];
        let quantities =
            PROCESS.into_iter().chain(BYTES).chain(CALLS).map(|(quantity, _)| quantity);
        let figures = quantities
            .flat_map(|quantity| roles.map(|role| at_target(role, quantity, &slopes)))
            .flatten()
            .filter(|_| extrapolates)
            .collect();
        let rows = [workers, tasks, daemons, notes].concat();
        Self { slopes, figures, head, rows }
    }

    pub(crate) fn print(&self) {
        println!(
            "{:<8} {:<22} {:<22} {:>11} {:>10} {:>11} {:>4}",
            "daemon", "per", "quantity", "slope", "+-", "at size 0", "n"
        );
        for s in self.slopes.iter().filter(|s| s.line.slope != 0.0 || s.line.base != 0.0) {
            println!(
                "{:<8} {:<22} {:<22} {:>11.5} {:>10.5} {:>11.3} {:>4}",
                s.role, s.per, s.quantity, s.line.slope, s.line.error, s.line.base, s.windows
            );
        }
        if !self.figures.is_empty() {
            println!(
                "\nat the target:\n{:<8} {:<22} {:>10} {:>10} {:>10} {:>10} {:>10} {:>10} {:>10} {:>10}",
                "daemon",
                "quantity",
                "sum",
                "base",
                "list",
                "daemons",
                "notes",
                "kept",
                "tasks",
                "placing"
            );
        }
        for f in &self.figures {
            let parts = [f.sum(), f.base, f.list, f.daemons, f.notes, f.kept, f.tasks, f.placing];
            let parts: Vec<_> = parts.iter().map(|part| format!("{part:>10.2}")).collect();
            println!("{:<8} {:<22} {}", f.role.to_string(), f.quantity, parts.join(" "));
        }
        let Some(HeadSize { workspaces, domains, bytes }) = self.head else { return };
        println!("head with {workspaces} workspaces and {domains} domains: {bytes} bytes");
    }
}

fn slope(
    (role, per, quantity): (&str, &str, &str),
    points: impl Iterator<Item = Point>,
) -> Option<Slope> {
    let points: Vec<_> = points.collect();
    let line = Line::fit(&points)?;
    let (role, per, quantity) = (role.to_string(), per.to_string(), quantity.to_string());
    Some(Slope { role, per, quantity, line, windows: points.len() })
}

fn of(rows: &[Row], role: Role) -> impl Iterator<Item = &Row> {
    rows.iter().filter(move |row| row.role == role)
}

/// A member bears the host list; a keeper its workers besides, a placer the others' reports too.
/// What an earlier line explains is taken off before the next one is laid.
fn of_workers(rows: &[Row], quantity: &str, read: Read) -> Vec<Slope> {
    let points = of(rows, Role::Member).map(|r| Point { x: r.listed, y: read(r) });
    let member = slope(("member", "listed worker", quantity), points);
    let listed = member.as_ref().map(|s| s.line.slope).unwrap_or_default();
    let points =
        of(rows, Role::Keeper).map(|r| Point { x: r.kept, y: read(r) - listed * r.listed });
    let keeper = slope(("keeper", "kept worker", quantity), points);
    let kept = keeper.as_ref().map(|s| s.line.slope).unwrap_or_default();
    let rest = |r: &Row| read(r) - listed * r.listed - kept * r.kept;
    let points = of(rows, Role::Placer).map(|r| Point { x: r.listed - r.kept, y: rest(r) });
    let placer = slope(("placer", "worker kept elsewhere", quantity), points);
    [member, keeper, placer].into_iter().flatten().collect()
}

/// The tasks of a keeper are those of its share of the workers.
fn of_tasks(rows: &[Row], quantity: &str, read: Read) -> Vec<Slope> {
    let share = |r: &Row| r.tasks * r.kept / r.listed;
    let points = of(rows, Role::Keeper).map(|r| Point { x: share(r), y: read(r) });
    let keeper = slope(("keeper", "kept task", quantity), points);
    let kept = keeper.as_ref().map(|s| s.line.slope).unwrap_or_default();
    let points = of(rows, Role::Placer).map(|r| Point { x: r.tasks, y: read(r) - kept * share(r) });
    let placer = slope(("placer", "task", quantity), points);
    [keeper, placer].into_iter().flatten().collect()
}

/// Deployments with equal domains show what a daemon of the own domain costs; the largest two,
/// what one of another domain does.
fn of_daemons(rows: &[Row], quantity: &str, read: Read) -> Vec<Slope> {
    let domains = |r: &Row| (r.others / (r.mates + 1.0)).round();
    let least = rows.iter().map(domains).fold(f64::INFINITY, f64::min);
    let same = rows.iter().filter(|r| domains(r) == least);
    let mates = slope(
        ("any", "daemon of the domain", quantity),
        same.map(|r| Point { x: r.mates, y: read(r) }),
    );
    let most = rows.iter().map(|r| r.mates).fold(0.0, f64::max);
    let large = rows.iter().filter(|r| r.mates == most);
    let others = slope(
        ("any", "daemon elsewhere", quantity),
        large.map(|r| Point { x: r.others, y: read(r) }),
    );
    [mates, others].into_iter().flatten().collect()
}
