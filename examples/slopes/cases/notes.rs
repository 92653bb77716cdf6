//! One deployment that receives release notes at several rates.

use bulrushlink_api::{StoreReply, StoreRequest};

use super::*;

/// Failure domains, all of them declared and with workers.
const DOMAINS: usize = 9;
/// Failure domains that have daemons.
const SERVED_DOMAINS: usize = 2;
/// Workers of each failure domain.
const DOMAIN_WORKERS: u16 = 40;
/// Workspaces, as many as in the target deployment.
const WORKSPACES: usize = 210;
/// Key of the head of the release notes in the store.
const HEAD_KEY: &str = "note/head";

/// Size of the head with as many workspaces as in the target deployment.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct HeadSize {
    /// Workspaces.
    pub(crate) workspaces: usize,
    /// Failure domains.
    pub(crate) domains: usize,
    /// Bytes of the value in the store.
    pub(crate) bytes: usize,
}

/// Measures one deployment at each rate of notes.
///
/// # Errors
///
/// As of [`super::workers`].
pub(crate) fn notes(scale: &Scale) -> Result<(Vec<Row>, HeadSize), Error> {
    let workers = vec![DOMAIN_WORKERS; DOMAINS];
    let plan = Plan {
        workers,
        served: SERVED_DOMAINS,
        daemons: 4,
        accelerators: 8,
        slots: 8,
        target: scale.target,
    };
    let domains = plan.domains();
    let fleet = Fleet::open(&plan, &first_note(&domains, &domains, WORKSPACES))?;
    let mut version = 1;
    let mut rows = Vec::new();
    for rate in &scale.notes {
        sleep(scale.settle_time());
        // Long enough for one note at the lowest rate, and for several plain reads of the head.
        let window = scale.window() * 3;
        let stop = Instant::now() + window;
        let rates = std::thread::scope(|scope| {
            let measurement = scope.spawn(|| fleet.measure(1, window));
            let applied = apply_until(&fleet, &domains, version, *rate, stop);
            let rates = measurement.join().unwrap_or_else(|e| std::panic::resume_unwind(e))?;
            version = applied?;
            Ok::<_, Error>(rates)
        })?;
        let measured = make_rows(&fleet, &plan, 0, rates)?;
        rows.extend(measured.into_iter().map(|row| Row { notes: f64::from(*rate), ..row }));
    }
    let size = head_size(&fleet)?;
    Ok((rows, size))
}

/// Applies `rate` notes per minute until `stop`; returns the version after the last one.
fn apply_until(
    fleet: &Fleet,
    domains: &[DomainId],
    mut version: u64,
    rate: u32,
    stop: Instant,
) -> Result<u64, Error> {
    if rate == 0 {
        return Ok(version);
    }
    let period = Duration::from_secs(60) / rate;
    let mut due = Instant::now() + period / 2;
    while due < stop {
        sleep(due.saturating_duration_since(Instant::now()));
        let note = next_note(version, domains, WORKSPACES);
        let url = fleet.daemons[0].operator_url("/v1/note");
        let answer: ApplyAnswer = fleet.client().post(&url, &note)?.json()?;
        if !matches!(answer.code, Code::Done | Code::NotePending) {
            return Err(Error::new(answer.code, "a note of the measurement was refused"));
        }
        version = answer.version.0;
        due += period;
    }
    Ok(version)
}

fn head_size(fleet: &Fleet) -> Result<HeadSize, Error> {
    let request = StoreRequest::Get { key: HEAD_KEY.to_string() };
    let reply: StoreReply = fleet.client().post(&fleet.store_url(), &request)?.json()?;
    let StoreReply::Found { record: Some(record) } = reply else {
        return Err(Error::new(Code::BadAnswer, "no head in the store"));
    };
    Ok(HeadSize { workspaces: WORKSPACES, domains: DOMAINS, bytes: record.value.len() })
}
