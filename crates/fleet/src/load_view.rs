//! The forecast for admission as this daemon knows it, with its age.
//!
//! The clocks of daemons differ, so the age is counted on the own clock: a forecast was written after the
//! latest read that didn't show it had begun. The first one that a daemon reads may be of any age.

use bulrushlink_core::{Moment, Span};

use crate::edge::{Fault, Output, StoreOp, StoreReply, Tag};
use crate::ids::Rev;
use crate::policy::admission::LoadForecast;
use crate::record::{Item, decode, keys};
use crate::view::READ_INTERVAL;

/// Timeout of a read, as for the configuration.
const READ_TIMEOUT: Span = Span(800);
/// Age from which a forecast is not used.
const AGE_MAX: Span = Span(3_000);

/// The latest forecast, read at the interval of the configuration.
#[derive(Debug, Default)]
pub(crate) struct LoadView {
    forecast: Option<LoadForecast>,
    /// Revision of the newest forecast seen, readable or not.
    rev: Rev,
    /// The forecast is known to have been written after this; `None` if it may be of any age.
    written_after: Option<Moment>,
    /// Start of the latest read that was answered.
    last_read: Option<Moment>,
    /// Ordinal and start of the read in flight.
    reading: Option<(u64, Moment)>,
    ordinal: u64,
    next: Moment,
}

impl LoadView {
    /// Returns the forecast if it is recent.
    pub(crate) fn forecast(&self, now: Moment) -> Option<&LoadForecast> {
        let recent = self.written_after.is_some_and(|at| now.since(at) <= AGE_MAX);
        self.forecast.as_ref().filter(|_| recent)
    }

    /// Starts a read if one is due.
    pub(crate) fn tick(&mut self, now: Moment, out: &mut Vec<Output>) {
        if self.reading.is_some() || now < self.next {
            return;
        }
        self.ordinal += 1;
        self.reading = Some((self.ordinal, now));
        self.next = now + READ_INTERVAL;
        let op = StoreOp::GetStale(keys::LOAD.to_string());
        out.push(Output::Store(Tag::Load(self.ordinal), op, READ_TIMEOUT));
    }

    /// Returns when the next read is due.
    pub(crate) fn due(&self) -> Option<Moment> {
        if self.reading.is_some() { None } else { Some(self.next) }
    }

    /// Processes the reply to a read.
    pub(crate) fn read_answered(&mut self, ordinal: u64, result: Result<StoreReply, Fault>) {
        let Some((_, began)) = self.reading.filter(|(current, _)| *current == ordinal) else {
            return;
        };
        self.reading = None;
        match result {
            Ok(StoreReply::Item(item, _)) => {
                if let Some(item) = item {
                    self.adopt(&item);
                }
                self.last_read = Some(began);
            }
            other => {
                log::debug!(event = "forecast_unread"; "reading the forecast failed; the one known ages: {other:?}");
            }
        }
    }

    /// Adopts a forecast that is newer than the one known. A read may be seconds old, and so go back.
    fn adopt(&mut self, item: &Item) {
        if item.rev <= self.rev {
            return;
        }
        self.rev = item.rev;
        self.written_after = self.last_read;
        self.forecast = match decode(&item.value) {
            Ok(forecast) => Some(forecast),
            Err(error) => {
                log::error!(event = "bad_record", key:% = item.key; "the forecast can't be decoded; nothing is refused by it: {error}");
                None
            }
        };
    }
}

#[cfg(test)]
mod tests;
