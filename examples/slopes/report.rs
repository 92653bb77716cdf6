//! Lines fitted to the measured rows, printed as a table or as JSON.

use serde::Serialize;

use crate::cases::{HeadSize, Role, Row};
use crate::line::{Line, Point};
use crate::target::{Figure, at_target};

/// Resource use of one kind of daemon per unit of a size.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Slope {
    /// Role of the daemon, or `any`.
    pub(crate) role: String,
    /// The unit of the size.
    pub(crate) per: String,
    /// What is used, with its unit.
    pub(crate) quantity: String,
    /// The line fitted to all windows.
    pub(crate) line: Line,
    /// Number of windows measured.
    pub(crate) windows: usize,
}

/// Results of a run.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Report {
    /// The fitted lines.
    pub(crate) slopes: Vec<Slope>,
    /// Extrapolation of the lines to the target deployment; empty unless every size was measured,
    /// and for a quick run, whose errors are too large.
    pub(crate) figures: Vec<Figure>,
    /// Size of the head of the release notes, if it was measured.
    pub(crate) head: Option<HeadSize>,
    /// The measured windows.
    pub(crate) rows: Vec<Row>,
}

/// Returns a quantity of a row.
type Quantity = fn(&Row) -> f64;

/// Resources of the process.
const PROCESS: [(&str, Quantity); 2] =
    [("% of a core", |r| r.rates.cpu), ("MB of memory", |r| r.rates.memory)];
/// Bytes by edge.
const BYTES: [(&str, Quantity); 4] = [
    ("B/s with peers", |r| r.rates.edges.peer.bytes()),
    ("B/s with workers", |r| r.rates.edges.worker.bytes()),
    ("B/s with the store", |r| r.rates.edges.store.bytes()),
    ("B/s of the host list", |r| r.rates.edges.hosts.bytes()),
];
/// Calls by edge.
const CALLS: [(&str, Quantity); 3] = [
    ("frames/s to peers", |r| r.rates.edges.peer.calls),
    ("calls/s to workers", |r| r.rates.edges.worker.calls),
    ("calls/s to the store", |r| r.rates.edges.store.calls),
];

/// Measured rows, by the size that differs between them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Measured {
    /// Rows with different numbers of workers.
    pub(crate) workers: Vec<Row>,
    /// Rows with different numbers of tasks.
    pub(crate) tasks: Vec<Row>,
    /// Rows with different numbers of daemons.
    pub(crate) daemons: Vec<Row>,
    /// Rows with different rates of release notes.
    pub(crate) notes: Vec<Row>,
}

impl Report {
    pub(crate) fn of(measured: Measured, head: Option<HeadSize>, extrapolate: bool) -> Self {
        let Measured { workers, tasks, daemons, notes } = measured;
        let mut slopes = Vec::new();
        for (quantity, read) in PROCESS.into_iter().chain(BYTES).chain(CALLS) {
            slopes.extend(worker_slopes(&workers, quantity, read));
            slopes.extend(task_slopes(&tasks, quantity, read));
            slopes.extend(daemon_slopes(&daemons, quantity, read));
            let name = ("any", "note a minute", quantity);
            slopes.extend(fit_slope(name, notes.iter().map(|r| Point { x: r.notes, y: read(r) })));
        }
        slopes.sort_by(|a, b| (&a.per, &a.role).cmp(&(&b.per, &b.role)));
        let roles = [Role::Member, Role::Keeper, Role::Placer];
        let quantities =
            PROCESS.into_iter().chain(BYTES).chain(CALLS).map(|(quantity, _)| quantity);
        let figures = quantities
            .flat_map(|quantity| roles.map(|role| at_target(role, quantity, &slopes)))
            .flatten()
            .filter(|_| extrapolate)
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

fn fit_slope(
    (role, per, quantity): (&str, &str, &str),
    points: impl Iterator<Item = Point>,
) -> Option<Slope> {
    let points: Vec<_> = points.collect();
    let line = Line::fit(&points)?;
    let (role, per, quantity) = (role.to_string(), per.to_string(), quantity.to_string());
    Some(Slope { role, per, quantity, line, windows: points.len() })
}

fn rows_of(rows: &[Row], role: Role) -> impl Iterator<Item = &Row> {
    rows.iter().filter(move |row| row.role == role)
}

/// Fits the use per worker. A member pays for the host list, a keeper also for its own workers, and
/// a placer also for the reports on the other workers. The use that an earlier line explains is
/// subtracted before the next line is fitted.
fn worker_slopes(rows: &[Row], quantity: &str, read: Quantity) -> Vec<Slope> {
    let points = rows_of(rows, Role::Member).map(|r| Point { x: r.listed, y: read(r) });
    let member = fit_slope(("member", "listed worker", quantity), points);
    let listed = member.as_ref().map(|s| s.line.slope).unwrap_or_default();
    let points =
        rows_of(rows, Role::Keeper).map(|r| Point { x: r.kept, y: read(r) - listed * r.listed });
    let keeper = fit_slope(("keeper", "kept worker", quantity), points);
    let kept = keeper.as_ref().map(|s| s.line.slope).unwrap_or_default();
    let rest = |r: &Row| read(r) - listed * r.listed - kept * r.kept;
    let points = rows_of(rows, Role::Placer).map(|r| Point { x: r.listed - r.kept, y: rest(r) });
    let placer = fit_slope(("placer", "worker kept elsewhere", quantity), points);
    [member, keeper, placer].into_iter().flatten().collect()
}

/// Fits the use per task. The tasks of a keeper are those on the workers that it keeps.
fn task_slopes(rows: &[Row], quantity: &str, read: Quantity) -> Vec<Slope> {
    let kept_tasks = |r: &Row| r.tasks * r.kept / r.listed;
    let points = rows_of(rows, Role::Keeper).map(|r| Point { x: kept_tasks(r), y: read(r) });
    let keeper = fit_slope(("keeper", "kept task", quantity), points);
    let kept = keeper.as_ref().map(|s| s.line.slope).unwrap_or_default();
    let points = rows_of(rows, Role::Placer)
        .map(|r| Point { x: r.tasks, y: read(r) - kept * kept_tasks(r) });
    let placer = fit_slope(("placer", "task", quantity), points);
    [keeper, placer].into_iter().flatten().collect()
}

/// Fits the use per daemon. The deployments with the fewest domains differ in the daemons of each
/// domain, and give the cost of another daemon of the same domain. Those with the most daemons in
/// each domain differ in the number of domains, and give the cost of a daemon of another domain.
fn daemon_slopes(rows: &[Row], quantity: &str, read: Quantity) -> Vec<Slope> {
    let domains = |r: &Row| (r.others / (r.mates + 1.0)).round();
    let least = rows.iter().map(domains).fold(f64::INFINITY, f64::min);
    let same = rows.iter().filter(|r| domains(r) == least);
    let mates = fit_slope(
        ("any", "daemon of the domain", quantity),
        same.map(|r| Point { x: r.mates, y: read(r) }),
    );
    let most = rows.iter().map(|r| r.mates).fold(0.0, f64::max);
    let large = rows.iter().filter(|r| r.mates == most);
    let others = fit_slope(
        ("any", "daemon elsewhere", quantity),
        large.map(|r| Point { x: r.others, y: read(r) }),
    );
    [mates, others].into_iter().flatten().collect()
}
