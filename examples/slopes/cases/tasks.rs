//! Deployments that differ in the number of running tasks.

use super::*;

/// Tasks of a job.
const GANG_TASKS: u16 = 16;
/// Slots of a worker.
const WORKER_SLOTS: u16 = 32;
/// Input of a task, whose run time is longer than any measurement.
const TASK_INPUT: &str = "sleep 36000000";
/// Windows of a measurement.
const TASK_WINDOWS: usize = 2;
/// Settling times to wait after the last start, until its reports have been delivered.
const SETTLE_TIMES: u32 = 3;

/// Time to wait instead with the settings of the target deployment: a round of renewals.
const RENEWAL_ROUND: Duration = Duration::from_secs(80);

/// Measures one deployment with an increasing number of running tasks.
///
/// # Errors
///
/// As of [`super::workers`].
pub(crate) fn tasks(scale: &Scale) -> Result<Vec<Row>, Error> {
    let plan = two_domains(scale.task_workers, WORKER_SLOTS, scale.target);
    let domains = plan.domains();
    let fleet = Fleet::open(&plan, &first_note(&domains, &domains[..1], FEW_WORKSPACES))?;
    let mut rows = Vec::new();
    let mut jobs = 0;
    for count in &scale.tasks {
        let target_jobs = count / usize::from(GANG_TASKS);
        for i in jobs..target_jobs {
            submit(&fleet, i, &domains[0])?;
        }
        jobs = target_jobs;
        let tasks = target_jobs * usize::from(GANG_TASKS);
        await_tasks(&fleet, tasks)?;
        sleep(if scale.target { RENEWAL_ROUND } else { scale.settle_time() * SETTLE_TIMES });
        // A window is long enough to hold whole periods of the full reports.
        let rates = fleet.measure(TASK_WINDOWS, scale.window() * 2)?;
        rows.extend(make_rows(&fleet, &plan, tasks, rates)?);
    }
    Ok(rows)
}

fn submit(fleet: &Fleet, i: usize, domain: &DomainId) -> Result<(), Error> {
    let body = SubmitBody {
        workspace: workspace_id(i % FEW_WORKSPACES),
        request: format!("job-{i}").parse()?,
        kind: "long".parse()?,
        shape: Shape { tasks: GANG_TASKS, accelerators: 0, adjacency: Default::default() },
        urgency: Urgency::Normal,
        declared: Span::from_secs(36_000),
        deadline: None,
        idempotent: true,
        checkpoint: false,
        domain: Some(domain.clone()),
        input: TASK_INPUT.to_string(),
        wait: None,
    };
    let url = fleet.daemons[i % fleet.daemons.len()].caller_url("/v1/jobs");
    poll(&format!("the acceptance of {}", body.spec().key), || {
        let reply = fleet.client().post(&url, &body)?;
        Ok(reply.status < 300)
    })
}

/// Waits until `tasks` tasks are running.
fn await_tasks(fleet: &Fleet, tasks: usize) -> Result<(), Error> {
    let url = fleet.workers_url("/admin/record");
    poll(&format!("{tasks} running tasks"), || {
        let page: bulrushlink_standin::RecordPage = fleet.client().get(&url)?.json()?;
        Ok(page.runs.iter().filter(|run| run.end.is_none()).count() >= tasks)
    })
}
