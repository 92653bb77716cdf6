//! The measurements, each of deployments that differ in a single size.

use bulrushlink_api::{ApplyAnswer, SubmitBody};
use bulrushlink_core::{Code, DomainId, Error, Shape, Span, Urgency};
use derive_more::Display;
use serde::Serialize;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::fleet::{Fleet, Plan, poll};
use crate::notes::{first_note, next_note, workspace_id};
use crate::sample::Rates;

mod notes;
mod tasks;

pub(crate) use notes::{HeadSize, notes};
pub(crate) use tasks::tasks;

/// Workspaces of a deployment in which the size of the notes isn't measured.
const FEW_WORKSPACES: usize = 4;

/// Role of a daemon in the measured deployment.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Role {
    /// Is the placer of a domain with workers, and keeps those assigned to it.
    #[display("placer")]
    Placer,
    /// Keeps the workers assigned to it.
    #[display("keeper")]
    Keeper,
    /// Is in a domain without workers.
    #[display("member")]
    Member,
}

/// Sizes of a deployment, and the resource use of one daemon over one window.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Row {
    /// Role of the daemon.
    pub(crate) role: Role,
    /// Workers in the host list.
    pub(crate) listed: f64,
    /// Workers that the daemon keeps.
    pub(crate) kept: f64,
    /// Running tasks in its failure domain.
    pub(crate) tasks: f64,
    /// Other daemons of its failure domain.
    pub(crate) mates: f64,
    /// Daemons of other failure domains.
    pub(crate) others: f64,
    /// Release notes per minute.
    pub(crate) notes: f64,
    /// Resource use of the daemon.
    pub(crate) rates: Rates,
}

/// Sizes and lengths of the measurements.
#[derive(Clone, Debug)]
pub(crate) struct Scale {
    /// Workers of each deployment.
    pub(crate) workers: Vec<u16>,
    /// Running tasks, in ascending order, as one deployment is used for all.
    pub(crate) tasks: Vec<usize>,
    /// Workers that run the tasks.
    pub(crate) task_workers: u16,
    /// Daemons and failure domains of each deployment.
    pub(crate) daemons: Vec<(usize, usize)>,
    /// Rates of release notes, per minute.
    pub(crate) notes: Vec<u32>,
    /// Windows in each measurement.
    pub(crate) windows: usize,
    /// Length of a window, in seconds.
    pub(crate) window_s: u64,
    /// Time for a deployment to settle before it is measured, in seconds.
    pub(crate) settle_s: u64,
    /// Whether the daemons have the settings of the target deployment.
    pub(crate) target: bool,
}

impl Scale {
    /// Returns the scale of the full measurement.
    pub(crate) fn full() -> Self {
        Self {
            workers: vec![50, 100, 200, 400, 800],
            tasks: vec![500, 1_000, 2_000, 4_000, 8_000],
            task_workers: 400,
            daemons: vec![(3, 3), (6, 3), (12, 3), (24, 3), (48, 6)],
            notes: vec![0, 6, 30, 60],
            windows: 3,
            window_s: 5,
            settle_s: 4,
            target: false,
        }
    }

    /// Returns the scale of a measurement that takes a minute and a half at most.
    pub(crate) fn quick() -> Self {
        Self {
            workers: vec![50, 200],
            tasks: vec![320, 960],
            task_workers: 100,
            daemons: vec![(3, 3), (9, 3)],
            notes: vec![0, 30],
            windows: 2,
            window_s: 2,
            settle_s: 2,
            target: false,
        }
    }

    /// Returns the scale with the settings of the target deployment. A round of renewals takes so
    /// long with them that only three numbers of tasks are measured.
    pub(crate) fn for_target(self) -> Self {
        let last = self.tasks.len() - 1;
        let tasks = vec![self.tasks[0], self.tasks[last / 2], self.tasks[last]];
        Self { tasks, target: true, ..self }
    }

    fn settle_time(&self) -> Duration {
        Duration::from_secs(self.settle_s)
    }

    fn window(&self) -> Duration {
        Duration::from_secs(self.window_s)
    }
}

/// Returns a plan with two daemons in a domain with `workers`, and two in one without any.
fn two_domains(workers: u16, slots: u16, target: bool) -> Plan {
    Plan { workers: vec![workers, 0], served: 2, daemons: 4, accelerators: 8, slots, target }
}

/// Measures deployments that differ in the number of workers.
///
/// # Errors
///
/// The error of a deployment that does not start or cannot be measured.
pub(crate) fn workers(scale: &Scale) -> Result<Vec<Row>, Error> {
    let mut rows = Vec::new();
    for count in &scale.workers {
        let plan = two_domains(*count, 8, scale.target);
        let domains = plan.domains();
        let fleet = Fleet::open(&plan, &first_note(&domains, &domains[..1], FEW_WORKSPACES))?;
        sleep(scale.settle_time());
        let rates = fleet.measure(scale.windows, scale.window())?;
        rows.extend(make_rows(&fleet, &plan, 0, rates)?);
    }
    Ok(rows)
}

/// Measures deployments that differ in the number of daemons and have no workers.
///
/// # Errors
///
/// As of [`workers`].
pub(crate) fn daemons(scale: &Scale) -> Result<Vec<Row>, Error> {
    let mut rows = Vec::new();
    for (count, domains) in &scale.daemons {
        let workers = vec![0; *domains];
        let plan = Plan {
            workers,
            served: *domains,
            daemons: *count,
            accelerators: 8,
            slots: 8,
            target: scale.target,
        };
        let names = plan.domains();
        let fleet = Fleet::open(&plan, &first_note(&names, &names, 0))?;
        sleep(scale.settle_time());
        let rates = fleet.measure(scale.windows, scale.window())?;
        rows.extend(make_rows(&fleet, &plan, 0, rates)?);
    }
    Ok(rows)
}

/// Returns a row for each window of each daemon.
fn make_rows(
    fleet: &Fleet,
    plan: &Plan,
    tasks: usize,
    rates: Vec<Vec<Rates>>,
) -> Result<Vec<Row>, Error> {
    let listed: usize = plan.workers.iter().map(|n| usize::from(*n)).sum();
    let mut rows = Vec::new();
    for (daemon, rates) in fleet.daemons.iter().zip(rates) {
        let domain = &daemon.member.domain;
        let kept = daemon.kept()?;
        let role = match kept {
            0 => Role::Member,
            _ if fleet.placer(domain)? == daemon.member.id => Role::Placer,
            _ => Role::Keeper,
        };
        let mates = fleet.daemons.iter().filter(|d| d.member.domain == *domain).count() - 1;
        let row = |rates| Row {
            role,
            listed: listed as f64,
            kept: kept as f64,
            tasks: tasks as f64,
            mates: mates as f64,
            others: (fleet.daemons.len() - 1 - mates) as f64,
            notes: 0.0,
            rates,
        };
        rows.extend(rates.into_iter().map(row));
    }
    Ok(rows)
}
