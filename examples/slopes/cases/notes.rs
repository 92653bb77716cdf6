//! One deployment under release notes at several rates.

use bulrushlink_api::{StoreReply, StoreRequest};

use super::*;

/// Failure domains, all declared and with workers.
const DOMAINS: usize = 9;
/// Failure domains with daemons.
const SERVED: usize = 2;
/// Workers of a failure domain.
const WORKERS: u16 = 40;
/// Workspaces, as many as the target has.
const WORKSPACES: usize = 210;
/// Key of the head in the store.
const HEAD_KEY: &str = "note/head";

/// Size of the head with all workspaces of the target.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct HeadSize {
    /// Workspaces.
    pub(crate) workspaces: usize,
    /// Failure domains.
    pub(crate) domains: usize,
    /// Bytes of the value in the store.
    pub(crate) bytes: usize,
}

/// Measures one deployment under more and more notes.
///
/// # Errors
///
/// As of [`super::workers`].
pub(crate) fn notes(scale: &Scale) -> Result<(Vec<Row>, HeadSize), Error> {
    let workers = vec![WORKERS; DOMAINS];
    let plan = Plan {
        workers,
        served: SERVED,
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
        sleep(scale.rest());
        // Long enough for a note at the lowest rate, and for several plain reads.
        let window = scale.window() * 3;
        let stop = Instant::now() + window;
        let rates = std::thread::scope(|scope| {
            let measured = scope.spawn(|| fleet.measure(1, window));
            let applied = apply_until(&fleet, &domains, version, *rate, stop);
            let rates = measured.join().unwrap_or_else(|e| std::panic::resume_unwind(e))?;
            version = applied?;
            Ok::<_, Error>(rates)
        })?;
        let labelled = label(&fleet, &plan, 0, rates)?;
        rows.extend(labelled.into_iter().map(|row| Row { notes: f64::from(*rate), ..row }));
    }
    let size = head_size(&fleet)?;
    Ok((rows, size))
}

/// Applies notes at a steady rate and returns the version after the last one.
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
        let url = fleet.daemons[0].page("/v1/note");
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
    let reply: StoreReply = fleet.client().post(&fleet.store(), &request)?.json()?;
    let StoreReply::Found { record: Some(record) } = reply else {
        return Err(Error::new(Code::BadAnswer, "no head in the store"));
    };
    Ok(HeadSize { workspaces: WORKSPACES, domains: DOMAINS, bytes: record.value.len() })
}
