//! Samples of all domains at regular moments: what they could give, what waits, and which free
//! accelerators are of no use to it.

use bulrushlink_core::{Moment, RackId, Shape, Span};

use super::{Run, State};
use crate::agenda::Happening;
use crate::fit;
use crate::workload::Nature;

/// Time between two samples.
pub(crate) const SAMPLE_EVERY: Span = Span::from_secs(10);

/// The state of all domains at one moment.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Sample {
    pub(crate) at: Moment,
    /// Accelerators of good workers in service.
    pub(crate) capacity: u32,
    /// Accelerators that unfinished sound jobs ask for, but for those that run in a domain out.
    pub(crate) demand: u32,
    pub(crate) waiting: u32,
    pub(crate) free: u32,
    /// Free accelerators that the largest waiting shape of their domain can't use.
    pub(crate) stranded: u32,
}

impl Run<'_> {
    pub(super) fn sample(&mut self, now: Moment) {
        let mut sample =
            Sample { at: now, capacity: self.table.capacity(now), ..Sample::default() };
        let mut largest = vec![None; self.policies.len()];
        for (job, truth) in self.workload.jobs.iter().enumerate() {
            if truth.arrives > now {
                break;
            }
            if self.jobs[job] == State::Ended || !(truth.nature == Nature::Sound) {
                continue;
            }
            let shape = truth.spec.shape;
            let runs = self.table.holds(job);
            let domain =
                if let State::Inside(domain) = self.jobs[job] { Some(domain) } else { None };
            if !runs || domain.is_none_or(|domain| self.table.open[domain]) {
                sample.demand += shape.total();
            }
            if runs {
                continue;
            }
            sample.waiting += shape.total();
            if let Some(domain) = domain {
                let old: &mut Option<Shape> = &mut largest[domain];
                let size = |shape: Shape| (shape.total(), shape.adjacency, shape.accelerators);
                if old.is_none_or(|old| size(old) < size(shape)) {
                    *old = Some(shape);
                }
            }
        }
        for (domain, largest) in largest.into_iter().enumerate() {
            self.sample_free(domain, largest, &mut sample);
        }
        self.samples.push(sample);
        self.agenda.add(now + SAMPLE_EVERY, Happening::Sample);
    }

    fn sample_free(&self, domain: usize, largest: Option<Shape>, sample: &mut Sample) {
        if !self.table.open[domain] {
            return;
        }
        let mut racks: Vec<(RackId, Vec<_>)> = Vec::new();
        for (worker, info) in self.workload.workers.iter().enumerate() {
            if self.table.domain(worker) != domain || !self.table.is_up(worker) {
                continue;
            }
            let free = self.table.free(worker);
            match racks.last_mut().filter(|(rack, _)| *rack == info.rack) {
                Some((_, all)) => all.push(free),
                None => racks.push((info.rack.clone(), vec![free])),
            }
        }
        let free: u32 = racks.iter().flat_map(|(_, all)| all).map(|set| set.len()).sum();
        sample.free += free;
        if let Some(shape) = largest {
            sample.stranded += free - fit::usable(&racks, shape);
        }
    }
}
