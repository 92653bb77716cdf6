//! Deployments that differ in the number of running tasks.

use super::*;

/// Tasks of a job.
const GANG: u16 = 16;
/// Slots of a worker.
const SLOTS: u16 = 32;
/// Run time of a task; none ends during the measurement.
const INPUT: &str = "sleep 36000000";
/// Windows of a measurement.
const TASK_WINDOWS: usize = 2;
/// Rests after the last start, for its reports to be over.
const RESTS: u32 = 3;

/// The same with the settings of the target: a round of renewals.
const ROUND: Duration = Duration::from_secs(80);

/// Measures one deployment with more and more running tasks.
///
/// # Errors
///
/// As of [`super::workers`].
pub(crate) fn tasks(scale: &Scale) -> Result<Vec<Row>, Error> {
    let plan = two_domains(scale.hosts, SLOTS, scale.target);
    let domains = plan.domains();
    let fleet = Fleet::open(&plan, &first_note(&domains, &domains[..1], FEW_WORKSPACES))?;
    let mut rows = Vec::new();
    let mut jobs = 0;
    for count in &scale.tasks {
        let wanted = count / usize::from(GANG);
        for i in jobs..wanted {
            submit(&fleet, i, &domains[0])?;
        }
        jobs = wanted;
        let tasks = wanted * usize::from(GANG);
        await_tasks(&fleet, tasks)?;
        sleep(if scale.target { ROUND } else { scale.rest() * RESTS });
        // A window holds whole periods of the full reports.
        let rates = fleet.measure(TASK_WINDOWS, scale.window() * 2)?;
        rows.extend(label(&fleet, &plan, tasks, rates)?);
    }
    Ok(rows)
}

fn submit(fleet: &Fleet, i: usize, domain: &DomainId) -> Result<(), Error> {
    let body = SubmitBody {
        workspace: workspace_id(i % FEW_WORKSPACES),
        request: format!("job-{i}").parse()?,
        kind: "long".parse()?,
        shape: Shape { tasks: GANG, accelerators: 0, adjacency: Default::default() },
        urgency: Urgency::Normal,
        declared: Span::from_secs(36_000),
        deadline: None,
        idempotent: true,
        checkpoint: false,
        domain: Some(domain.clone()),
        input: INPUT.to_string(),
        wait: None,
    };
    let url = fleet.daemons[i % fleet.daemons.len()].caller_page("/v1/jobs");
    poll(&format!("the acceptance of {}", body.spec().key), || {
        let reply = fleet.client().post(&url, &body)?;
        Ok(reply.status < 300)
    })
}

/// Waits until so many tasks have started.
fn await_tasks(fleet: &Fleet, tasks: usize) -> Result<(), Error> {
    let url = fleet.workers_page("/admin/record");
    poll(&format!("{tasks} running tasks"), || {
        let page: bulrushlink_standin::RecordPage = fleet.client().get(&url)?.json()?;
        Ok(page.runs.iter().filter(|run| run.end.is_none()).count() >= tasks)
    })
}
