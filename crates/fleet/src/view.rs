//! The operators' configuration as this daemon knows it, with its age.
//!
//! The configuration is polled rather than watched: a silent watch may just be broken, while every
//! decision here needs an upper bound on the age of the view.

use bulrushlink_core::{DomainId, Moment, Span};

use crate::catalog::Catalog;
use crate::edge::{Fault, OperatorView, Output, StoreOp, StoreReply, Tag};
use crate::ids::Rev;

/// Poll interval; two of them and a reply fit into the usual 2 s for a change to apply.
const READ_INTERVAL: Span = Span(700);
/// Timeout of a read; the slowest replies of a slow store take about 400 ms.
const READ_TIMEOUT: Span = Span(800);
/// Delay before a failed read is retried.
const RETRY_DELAY: Span = Span(150);
/// Age of the view above which the daemon reports itself as not ready for new callers.
const READY_AGE_MAX: Span = Span(2_000);

/// The latest known configuration and the time as of which it was the latest.
#[derive(Debug, Default)]
pub(crate) struct View {
    catalog: Option<Catalog>,
    evacuated: Vec<DomainId>,
    /// Start of the latest successful read; the view holds everything written before it.
    last_read: Option<Moment>,
    /// Ordinal and start of the read in flight.
    reading: Option<(u64, Moment)>,
    /// When the next read is due.
    next: Moment,
    ordinal: u64,
    /// A request waits for a read that begins from now on.
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

    /// Returns true if the view holds everything written before `moment`.
    pub(crate) fn is_fresh_since(&self, moment: Moment) -> bool {
        self.last_read.is_some_and(|at| at >= moment)
    }

    /// Returns true if the view is at most `age` old.
    pub(crate) fn is_no_older_than(&self, now: Moment, age: Span) -> bool {
        self.last_read.is_some_and(|at| now.since(at) <= age)
    }

    /// Returns true if the daemon can serve new callers.
    pub(crate) fn is_ready(&self, now: Moment) -> bool {
        self.catalog.is_some() && !self.lost && self.is_no_older_than(now, READY_AGE_MAX)
    }

    /// Returns true if the latest read failed.
    pub(crate) fn is_store_lost(&self) -> bool {
        self.lost
    }

    /// Returns the age of the view, or `None` before the first successful read.
    pub(crate) fn age(&self, now: Moment) -> Option<Span> {
        self.last_read.map(|at| now.since(at))
    }

    /// Makes the next read due at once.
    pub(crate) fn request_read(&mut self) {
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

    /// Processes the reply to a read and returns the start of the read if it succeeded.
    pub(crate) fn read_answered(
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
                    log::info!(event = "store_regained"; "store reachable again");
                }
                self.lost = false;
                self.next = began + READ_INTERVAL;
                self.apply(view);
                self.last_read = Some(began);
                Some(began)
            }
            Ok(other) => {
                log::error!(event = "store_answer"; "unexpected store reply to a configuration read: {other:?}");
                self.next = now + RETRY_DELAY;
                None
            }
            Err(fault) => {
                if !self.lost {
                    log::warn!(event = "store_lost", cause:% = fault; "configuration read failed");
                }
                self.lost = true;
                self.next = now + RETRY_DELAY;
                None
            }
        }
    }

    fn apply(&mut self, view: OperatorView) {
        if view.evacuated != self.evacuated {
            log::info!(event = "evacuation"; "evacuated failure domains: {:?}", view.evacuated);
            self.evacuated = view.evacuated;
        }
        match view.catalog {
            Some(catalog) => self.adopt(catalog),
            None => log::warn!(event = "no_catalog"; "the store has no readable configuration"),
        }
    }

    /// Adopts a configuration unless the one in use is at least as new.
    pub(crate) fn adopt(&mut self, catalog: Catalog) {
        if self.rev() >= catalog.rev {
            return;
        }
        log::info!(event = "catalog", version = catalog.version, rev:% = catalog.rev, bytes = catalog.size; "configuration in use");
        self.catalog = Some(catalog);
    }
}
