//! Periodic samples of all domains: capacity, demand, and the free accelerators that the waiting
//! jobs can't use.

use bulrushlink_core::{Moment, RackId, Shape, Span};

use super::{JobState, Run};
use crate::agenda::SimEvent;
use crate::fit;
use crate::workload::Behaviour;

/// Interval between samples.
pub(crate) const SAMPLE_INTERVAL: Span = Span::from_secs(10);

/// The state of all domains at one moment.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Sample {
    pub(crate) at: Moment,
    /// Accelerators of healthy workers in service.
    pub(crate) capacity: u32,
    /// Accelerators that unfinished sound jobs request, except those running in a withdrawn domain.
    pub(crate) demand: u32,
    /// Accelerators that waiting sound jobs request.
    pub(crate) waiting: u32,
    pub(crate) free: u32,
    /// Free accelerators that the largest waiting shape of their domain can't use.
    pub(crate) stranded: u32,
}

impl Run<'_> {
    pub(super) fn sample(&mut self, now: Moment) {
        let mut sample =
            Sample { at: now, capacity: self.workers.capacity(now), ..Sample::default() };
        let mut largest = vec![None; self.policies.len()];
        for (job, input) in self.workload.jobs.iter().enumerate() {
            if input.arrival > now {
                break;
            }
            if self.jobs[job] == JobState::Ended || !(input.behaviour == Behaviour::Sound) {
                continue;
            }
            let shape = input.spec.shape;
            let holds = self.workers.holds(job);
            let domain =
                if let JobState::Assigned(domain) = self.jobs[job] { Some(domain) } else { None };
            if !holds || domain.is_none_or(|domain| self.workers.in_service[domain]) {
                sample.demand += shape.total();
            }
            if holds {
                continue;
            }
            sample.waiting += shape.total();
            if let Some(domain) = domain {
                let current: &mut Option<Shape> = &mut largest[domain];
                let size = |shape: Shape| (shape.total(), shape.adjacency, shape.accelerators);
                if current.is_none_or(|current| size(current) < size(shape)) {
                    *current = Some(shape);
                }
            }
        }
        for (domain, largest) in largest.into_iter().enumerate() {
            self.sample_free(domain, largest, &mut sample);
        }
        self.samples.push(sample);
        self.events.schedule(now + SAMPLE_INTERVAL, SimEvent::Sample);
    }

    /// Adds the free and the stranded accelerators of a domain to the sample.
    fn sample_free(&self, domain: usize, largest: Option<Shape>, sample: &mut Sample) {
        if !self.workers.in_service[domain] {
            return;
        }
        let mut racks: Vec<(RackId, Vec<_>)> = Vec::new();
        for (worker, info) in self.workload.workers.iter().enumerate() {
            if self.workers.domain(worker) != domain || !self.workers.is_up(worker) {
                continue;
            }
            let free = self.workers.free(worker);
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
