//! The commit that creates a job.

use crate::edge::{Commit, StoreOp, Subject};
use crate::ids::{JobId, Rev};
use crate::record::{JobRecord, StateRecord, encode, keys};

use super::Stage;

/// Memory from which a job is large, in bytes; far above that of most jobs.
const LARGE_JOB_BYTES: u64 = 64 * 1024;

/// Returns the keys that must not exist for a job to be created: the placer writes them while the accepted jobs take too
/// much memory.
fn full_keys(record: &JobRecord) -> Vec<&'static str> {
    match record.spec.memory() > LARGE_JOB_BYTES {
        true => vec![keys::FULL, keys::FULL_LARGE],
        false => vec![keys::FULL],
    }
}

/// Returns the commit that creates a job.
pub(super) fn creation_commit(
    id: JobId,
    record: &JobRecord,
) -> Result<Commit, bulrushlink_core::Error> {
    let state = StateRecord::new(record.workspace.clone(), &record.queue);
    let mut writes =
        vec![(keys::job(id), encode(record)?, None), (keys::state(id), encode(&state)?, None)];
    if record.spec.schedule.is_none() {
        writes.push((keys::marker(&record.queue.name, id), Vec::new(), None));
    }
    let mut expect = vec![(Subject::Key(keys::job(id)), Rev::ABSENT)];
    let absent = |key: &str| (Subject::Key(key.to_string()), Rev::ABSENT);
    expect.extend(full_keys(record).into_iter().map(absent));
    Ok(Commit { expect, writes, removes: Vec::new() })
}

/// Makes the commit that creates a job conditional on the configuration that allowed it.
pub(super) fn require_catalog(op: StoreOp, rev: Rev, stage: &Stage) -> StoreOp {
    match (op, stage) {
        (StoreOp::Commit(mut commit), Stage::Submitting(_)) => {
            commit.expect.push((Subject::Catalog, rev));
            StoreOp::Commit(commit)
        }
        (op, _) => op,
    }
}
