//! The operators' configuration as this daemon knows it, with its age.
//!
//! The view is read again and again instead of being watched: a watch that is silent proves
//! nothing, and each decision here needs a proof of how old the view can be.

use bulrushlink_core::{DomainId, Moment, Span};

use crate::catalog::Catalog;
use crate::edge::{Fault, OperatorView, Output, StoreOp, StoreReply, Tag};
use crate::ids::Rev;

/// Period of reading; two of them and an answer fit into the usual 2 s for a change to apply.
const READ_EVERY: Span = Span(700);
/// Time for an answer; the slowest answers of a slow store take about 400 ms.
const READ_TIMEOUT: Span = Span(800);
/// Pause after a read that failed.
const RETRY_AFTER: Span = Span(150);
/// Age of the view at which the daemon stops asking for new callers.
const READY_MAX: Span = Span(2_000);

/// The latest configuration and when it was known to be the latest.
#[derive(Debug, Default)]
pub(crate) struct View {
    catalog: Option<Catalog>,
    evacuated: Vec<DomainId>,
    /// Start of the latest read that was answered; the view is at least that fresh.
    fresh: Option<Moment>,
    /// Ordinal and start of the read under way.
    reading: Option<(u64, Moment)>,
    next: Moment,
    ordinal: u64,
    /// A caller's answer waits for a read that begins now or later.
    wanted: bool,
    /// The latest read failed.
    lost: bool,
}

impl View {
    pub(crate) fn catalog(&self) -> Option<&Catalog> {
        self.catalog.as_ref()
    }

    /// Returns the evacuated failure domains, sorted.
    pub(crate) fn evacuated(&self) -> &[DomainId] {
        &self.evacuated
    }

    /// Returns the revision of the configuration in use.
    pub(crate) fn rev(&self) -> Rev {
        self.catalog.as_ref().map_or(Rev::ABSENT, |c| c.rev)
    }

    /// Tells whether the view holds everything written before `moment`.
    pub(crate) fn is_fresh_since(&self, moment: Moment) -> bool {
        self.fresh.is_some_and(|f| f >= moment)
    }

    /// Tells whether the view is at most this old.
    pub(crate) fn is_within(&self, now: Moment, age: Span) -> bool {
        self.fresh.is_some_and(|f| now.since(f) <= age)
    }

    /// Tells whether the daemon can serve new callers.
    pub(crate) fn is_ready(&self, now: Moment) -> bool {
        self.catalog.is_some() && !self.lost && self.is_within(now, READY_MAX)
    }

    /// Tells whether the latest read had no answer.
    pub(crate) fn is_lost(&self) -> bool {
        self.lost
    }

    /// Returns the age of the view in milliseconds.
    pub(crate) fn age(&self, now: Moment) -> Option<Span> {
        self.fresh.map(|f| now.since(f))
    }

    /// Asks for a read that begins at once.
    pub(crate) fn want(&mut self) {
        self.wanted = true;
    }

    /// Starts a read if one is due.
    pub(crate) fn tick(&mut self, now: Moment, out: &mut Vec<Output>) {
        if self.reading.is_some() || (now < self.next && !self.wanted) {
            return;
        }
        self.wanted = false;
        self.ordinal += 1;
        self.reading = Some((self.ordinal, now));
        out.push(Output::Store(Tag::Catalog(self.ordinal), StoreOp::Catalog, READ_TIMEOUT));
    }

    /// Returns when the next read is due.
    pub(crate) fn due(&self) -> Option<Moment> {
        if self.reading.is_some() { None } else { Some(self.next) }
    }

    /// Takes the answer to a read; tells the start of the read if it succeeded.
    pub(crate) fn answered(
        &mut self,
        now: Moment,
        ordinal: u64,
        result: Result<StoreReply, Fault>,
    ) -> Option<Moment> {
        let (current, began) = self.reading?;
        if current != ordinal {
            return None;
        }
        self.reading = None;
        match result {
            Ok(StoreReply::Operator(view)) => {
                if self.lost {
                    log::info!(event = "store_regained"; "the store answers again");
                }
                self.lost = false;
                self.next = began + READ_EVERY;
                self.take(view);
                self.fresh = Some(began);
                Some(began)
            }
            Ok(other) => {
                log::error!(event = "store_answer"; "unexpected answer to a read: {other:?}");
                self.next = now + RETRY_AFTER;
                None
            }
            Err(fault) => {
                if !self.lost {
                    log::warn!(event = "store_lost", cause:% = fault; "no answer of the store");
                }
                self.lost = true;
                self.next = now + RETRY_AFTER;
                None
            }
        }
    }

    fn take(&mut self, view: OperatorView) {
        if view.evacuated != self.evacuated {
            log::info!(event = "evacuation"; "evacuated failure domains: {:?}", view.evacuated);
            self.evacuated = view.evacuated;
        }
        match view.catalog {
            Some(catalog) => self.adopt(catalog),
            None => log::warn!(event = "no_catalog"; "the store has no readable configuration"),
        }
    }

    /// Adopts a configuration unless a newer one is in use.
    pub(crate) fn adopt(&mut self, catalog: Catalog) {
        if self.rev() >= catalog.rev {
            return;
        }
        log::info!(event = "catalog", version = catalog.version, rev:% = catalog.rev; "configuration in use");
        self.catalog = Some(catalog);
    }
}
