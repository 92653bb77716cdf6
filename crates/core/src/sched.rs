//! The scheduler of one failure domain: a pure function from state, event and time to actions.
//!
//! It has no clock, no socket and no thread, so that every decision can be replayed from a seed.
//! The caller carries out the actions and feeds what came of them back as events. A job that was
//! submitted gets exactly one [`Action::Finish`].

mod event;

pub use event::{Action, Event, Load, StartFault, StopReason, UsageReport, Why, WorkerInfo};

use crate::ids::JobKey;
use crate::units::Moment;

/// Decides for one failure domain.
#[derive(Debug, Default)]
pub struct Scheduler {}

impl Scheduler {
    /// Makes a scheduler that knows no worker and no share yet; `seed` breaks ties.
    pub fn open(_seed: u64) -> Self {
        Self::default()
    }

    /// Takes one event and returns what has to be done, in order.
    pub fn decide(&mut self, _event: Event, _now: Moment) -> Vec<Action> {
        Vec::new()
    }

    /// Tells why a job waits or where it was placed; `None` for a job it doesn't know.
    pub fn why(&self, _key: &JobKey) -> Option<Why> {
        None
    }

    /// Returns the load that other daemons route by.
    pub fn load(&self) -> Load {
        Load::default()
    }

    /// Returns the moment at which [`Event::Tick`] is wanted next, if at all.
    pub fn next_tick(&self) -> Option<Moment> {
        None
    }
}
