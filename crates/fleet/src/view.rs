//! The operators' configuration as this daemon knows it, with its age.
//!
//! The configuration is polled rather than watched: a silent watch may just be broken, while every
//! decision here needs an upper bound on the age of the view.
//!
//! A large configuration is transferred only when it has changed, or its transfers would take up
//! the link of a small host. Between changes, its revision is checked.

use bulrushlink_core::{DomainId, Moment, Span};

use crate::catalog::Catalog;
use crate::edge::{Fault, OperatorView, Output, StoreOp, StoreReply, Tag};
use crate::ids::Rev;

/// Poll interval; two of them and a reply fit into the usual 2 s for a change to apply.
pub(crate) const READ_INTERVAL: Span = Span(700);
/// Timeout of a read; the slowest replies of a slow store take about 400 ms.
const READ_TIMEOUT: Span = Span(800);
/// Delay before a failed read is retried.
const RETRY_DELAY: Span = Span(150);
/// Size in bytes from which a configuration is large. Reading a smaller one each [`READ_INTERVAL`]
/// takes up to 5% of a link of 10 Mbit/s.
const LARGE_CATALOG_BYTES: u64 = 32 * 1024;
/// Age of the view above which the daemon reports itself as not ready for new callers.
const READY_AGE_MAX: Span = Span(2_000);

/// What a reply means for the read that it belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadProgress {
    /// The read is complete; the view holds everything written before it began.
    Complete,
    /// Another call of the read is in flight.
    Unfinished,
    /// The read has failed and will be repeated.
    Failed,
}

/// The latest known configuration and the time as of which it was the latest.
#[derive(Debug, Default)]
pub(crate) struct View {
    catalog: Option<Catalog>,
    evacuated: Vec<DomainId>,
    /// Start of the latest successful read; the view holds everything written before it.
    last_read: Option<Moment>,
    /// Ordinal of the call in flight, and start of the read that it belongs to.
    reading: Option<(u64, Moment)>,
    /// When the next read is due.
    next: Moment,
    ordinal: u64,
    /// A request waits for a read that begins from now on.
    wanted: bool,
    /// The latest check of the revision failed, and is being repeated.
    rechecking: bool,
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

    /// Returns true if the configuration in use is large.
    pub(crate) fn is_large(&self) -> bool {
        self.catalog.as_ref().is_some_and(is_large)
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
        self.read(now, out);
    }

    /// Starts a read.
    fn read(&mut self, now: Moment, out: &mut Vec<Output>) {
        let op = match &self.catalog {
            Some(catalog) if is_large(catalog) => StoreOp::CheckCatalog(catalog.rev),
            _ => StoreOp::Catalog,
        };
        self.call_store(now, op, out);
    }

    /// Sends a call of the read that began at `began`.
    fn call_store(&mut self, began: Moment, op: StoreOp, out: &mut Vec<Output>) {
        self.ordinal += 1;
        self.reading = Some((self.ordinal, began));
        out.push(Output::Store(Tag::Catalog(self.ordinal), op, READ_TIMEOUT));
    }

    /// Returns when the next read is due.
    pub(crate) fn due(&self) -> Option<Moment> {
        match self.reading {
            Some(_) => None,
            None if self.wanted => Some(Moment::default()),
            None => Some(self.next),
        }
    }

    /// Processes the reply to a call of a read.
    pub(crate) fn read_answered(
        &mut self,
        now: Moment,
        ordinal: u64,
        result: Result<StoreReply, Fault>,
        out: &mut Vec<Output>,
    ) -> ReadProgress {
        let Some((_, began)) = self.reading.filter(|(current, _)| *current == ordinal) else {
            return ReadProgress::Unfinished;
        };
        self.reading = None;
        match result {
            Ok(StoreReply::Operator(OperatorView { catalog, evacuated })) => {
                self.adopt_read(catalog);
                // A page with a large configuration may end before the evacuations.
                if self.is_large() {
                    self.call_store(began, StoreOp::Evacuations, out);
                    return ReadProgress::Unfinished;
                }
                self.complete(began, evacuated)
            }
            Ok(StoreReply::Committed(_)) => {
                self.call_store(began, StoreOp::Evacuations, out);
                ReadProgress::Unfinished
            }
            Ok(StoreReply::Conflict(_, catalog)) => {
                self.adopt_read(catalog);
                self.call_store(began, StoreOp::Evacuations, out);
                ReadProgress::Unfinished
            }
            Ok(StoreReply::Evacuated(domains)) => self.complete(began, domains),
            Ok(other) => {
                log::error!(event = "store_answer"; "unexpected store reply to a configuration read: {other:?}");
                self.next = now + RETRY_DELAY;
                ReadProgress::Failed
            }
            // A check is a commit, whose reply may be lost although the store is there.
            Err(Fault::Unknown(_)) if self.is_large() && !self.rechecking && !self.lost => {
                self.rechecking = true;
                self.read(now, out);
                ReadProgress::Unfinished
            }
            Err(fault) => {
                self.rechecking = false;
                if !self.lost {
                    log::warn!(event = "store_lost", cause:% = fault; "configuration read failed");
                }
                self.lost = true;
                self.next = now + RETRY_DELAY;
                ReadProgress::Failed
            }
        }
    }

    /// Completes the read that began at `began`.
    fn complete(&mut self, began: Moment, evacuated: Vec<DomainId>) -> ReadProgress {
        if self.lost {
            log::info!(event = "store_regained"; "store reachable again");
        }
        (self.lost, self.rechecking) = (false, false);
        self.next = began + READ_INTERVAL;
        self.last_read = Some(began);
        if evacuated != self.evacuated {
            log::info!(event = "evacuation"; "evacuated failure domains: {evacuated:?}");
            self.evacuated = evacuated;
        }
        ReadProgress::Complete
    }

    fn adopt_read(&mut self, catalog: Option<Catalog>) {
        match catalog {
            Some(catalog) => self.adopt(catalog),
            None => log::warn!(event = "no_catalog"; "the store has no readable configuration"),
        }
    }

    /// Adopts a configuration unless the one in use is at least as new.
    pub(crate) fn adopt(&mut self, mut catalog: Catalog) {
        if self.rev() >= catalog.rev {
            return;
        }
        catalog.inherit_allotments(self.catalog.as_ref());
        log::info!(event = "catalog", version = catalog.version, rev:% = catalog.rev, bytes = catalog.size; "configuration in use");
        self.catalog = Some(catalog);
    }
}

fn is_large(catalog: &Catalog) -> bool {
    catalog.size >= LARGE_CATALOG_BYTES
}

#[cfg(test)]
mod tests;
