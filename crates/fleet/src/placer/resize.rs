//! Changes of a worker's capacity while it runs.
//!
//! What already runs on a worker that has shrunk goes on: only a start could bring it over its
//! capacity. No start goes to it until its runs fit again in each resource.

use crate::model::Resources;

use super::Placer;
use super::starts::RecordedStart;
use super::worker::Phase;

impl Placer {
    /// Returns true if all of these starts, each recorded and not sent, fit into what their workers
    /// have now. Starts that are recorded and wait for their own commit don't count: of several that
    /// fit only one by one, those whose commits succeed first are sent.
    pub(super) fn starts_fit(&self, starts: &[RecordedStart]) -> bool {
        starts.iter().all(|(at, ..)| {
            let worker = &self.workers[*at];
            let sent = worker.slots.iter().filter(|s| !matches!(s.phase, Phase::Planned(_)));
            let to_send = starts
                .iter()
                .filter(|(other, ..)| other == at)
                .filter_map(|(_, task, run)| Some(&worker.slots[worker.slot_index(task, *run)?]));
            let used = sent.chain(to_send).fold(Resources::default(), |sum, s| sum.plus(&s.need));
            worker.capacity().fits(&used)
        })
    }
}
