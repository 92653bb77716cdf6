//! Invariants that are checked during the run, with their time bounds.

use bulrushlink_core::{Moment, NoteVersion, Span};
use bulrushlink_daemon::Head;

use super::Lab;
use crate::callers::{Turn, Waiting};
use crate::checks::NO_START_AFTER;
use crate::platform::StoreMode;

/// Time within which a job within its guarantee must start while no fault is active.
const START_BOUND: Span = Span(8_300);
/// Time within which an accepted release note must be in force on all daemons while no fault is
/// active.
const NOTE_BOUND: Span = Span::from_secs(8);
/// Time within which a submission without a wait must be answered in any mode of the store, while
/// no other fault is active: an acceptance takes two calls to the store, each bounded by its
/// timeout.
const ANSWER_BOUND: Span = Span::from_secs(4);
/// Time after a fault during which the bounds don't apply: leases expire, quarantined workers are
/// readmitted, and interrupted work is caught up.
const RECOVERY_TIME: Span = Span::from_secs(40);

/// A guaranteed job whose start is to be checked.
#[derive(Clone, Copy, Debug)]
struct PendingStart {
    caller: usize,
    since: Moment,
}

/// An accepted release note whose spread to all daemons is to be checked.
#[derive(Clone, Copy, Debug)]
struct PendingNote {
    version: NoteVersion,
    since: Moment,
}

/// Pending checks of the bounds, and the number of checks made of each kind.
#[derive(Debug)]
pub(super) struct Watcher {
    /// Latest time at which any fault was active.
    last_fault: Moment,
    /// Latest time at which a fault was active that is not one of the store or a worker.
    last_disruption: Moment,
    pending_starts: Vec<PendingStart>,
    pending_notes: Vec<PendingNote>,
    /// Identifiers of each two release notes that were applied with the same base version.
    pub(super) race_notes: Vec<(String, String)>,
    pub(super) starts: usize,
    pub(super) notes: usize,
    pub(super) answers: usize,
}

impl Watcher {
    pub(super) const fn open(now: Moment) -> Self {
        Self {
            last_fault: now,
            last_disruption: now,
            pending_starts: Vec::new(),
            pending_notes: Vec::new(),
            race_notes: Vec::new(),
            starts: 0,
            notes: 0,
            answers: 0,
        }
    }
}

impl Lab {
    /// Checks each new start against the withdrawn failure domains and the workers that leave.
    pub(super) fn check_starts(&mut self) {
        let runs = self.record.runs_from(self.checked_runs);
        self.checked_runs += runs.len();
        for run in &runs {
            let domain = self.domain_of(&run.worker);
            let withdrawals = self.operators.iter().flat_map(|operator| &operator.withdrawals);
            let out = withdrawals.into_iter().find(|w| {
                let over = w.back.is_some_and(|back| back <= run.started);
                w.domain == domain && !over && run.started > w.told + NO_START_AFTER
            });
            if let Some(withdrawal) = out {
                let text = format!("{} started although {withdrawal:?}", run.task);
                self.add_violation(text);
            }
            let left = self
                .leavers
                .iter()
                .find(|l| l.worker == run.worker && run.started > l.since + NO_START_AFTER);
            if let Some(leaver) = left {
                let text = format!("{} started on {leaver:?}", run.task);
                self.add_violation(text);
            }
        }
    }

    /// Updates the times of the latest faults and makes the checks of bounds that are due.
    pub(super) fn check_bounds(&mut self) {
        let now = self.timeline.now();
        let steady = self.links.is_clean()
            && self.daemons.iter().all(|daemon| daemon.is_running() && daemon.version().0 > 0)
            && self.armed.is_empty();
        let well =
            |w: &bulrushlink_standin::WorkerSim| w.mode() == bulrushlink_standin::WorkerMode::Well;
        let calm = steady && self.store.mode == StoreMode::Up && self.workers.iter().all(well);
        if !steady {
            self.watcher.last_disruption = now;
        }
        if !calm {
            self.watcher.last_fault = now;
        }
        self.check_pending_starts(now);
        self.check_pending_notes(now);
    }

    /// Schedules the check of a start, for a job of a guaranteed shape that is submitted for the
    /// first time while its workspace has no other open job.
    pub(super) fn watch_start(&mut self, caller: usize) {
        let since = self.timeline.now();
        let plan = &self.callers[caller].plan;
        let workspace = &plan.body.workspace;
        let open = |other: &crate::callers::Caller| {
            other.submits > 0 && !other.done && other.plan.body.workspace == *workspace
        };
        let others =
            self.callers.iter().enumerate().filter(|(i, other)| *i != caller && open(other));
        if others.count() == 0 && plan.is_guaranteed() && plan.cancel.is_none() {
            self.watcher.pending_starts.push(PendingStart { caller, since });
        }
    }

    fn check_pending_starts(&mut self, now: Moment) {
        let over = |due: &PendingStart| now > due.since + START_BOUND;
        let due: Vec<_> = self.watcher.pending_starts.extract_if(.., |due| over(due)).collect();
        for due in due {
            if due.since < self.watcher.last_fault + RECOVERY_TIME {
                continue;
            }
            self.watcher.starts += 1;
            let key = self.callers[due.caller].key();
            let runs = self.record.runs_of(&key);
            if !runs.iter().any(|run| run.started <= due.since + START_BOUND) {
                let text = format!("{key} is within its guarantee and did not start in time");
                self.add_violation(text);
            }
        }
    }

    /// Schedules the checks of the release notes whose acceptance was just answered to operators.
    pub(super) fn watch_notes(&mut self) {
        let since = self.timeline.now();
        let told = self.operators.iter().flat_map(|operator| &operator.verdicts);
        let fresh = told.filter(|verdict| verdict.at == since).filter_map(|v| v.version);
        let fresh: Vec<_> = fresh.map(|version| PendingNote { version, since }).collect();
        self.watcher.pending_notes.extend(fresh);
    }

    /// Checks that release notes are in force on all daemons within the bound after their
    /// acceptance, or after the last fault if that is later.
    fn check_pending_notes(&mut self, now: Moment) {
        let last_fault = self.watcher.last_fault;
        let over = |s: &mut PendingNote| now > s.since.max(last_fault) + NOTE_BOUND;
        let due: Vec<_> = self.watcher.pending_notes.extract_if(.., over).collect();
        for note in due {
            self.watcher.notes += 1;
            let behind = self.daemons.iter().find(|daemon| daemon.version() < note.version);
            if let Some(daemon) = behind {
                let text = format!("{} is not in force on {}", note.version, daemon.id());
                self.add_violation(text);
            }
        }
    }

    /// Checks that a submission without a wait was answered within the bound.
    pub(super) fn check_answer(&mut self, waiting: &Waiting) {
        let now = self.timeline.now();
        let waits = self.callers[waiting.caller].plan.body.wait.is_some();
        let steady = self.watcher.last_disruption + RECOVERY_TIME < waiting.since;
        if waiting.turn != Turn::Submit || waits || !steady {
            return;
        }
        self.watcher.answers += 1;
        let took = now.since(waiting.since);
        if took > ANSWER_BOUND {
            let key = self.callers[waiting.caller].key();
            self.add_violation(format!("{key} was answered after {took}"));
        }
    }

    /// Returns the violations in the answers to operators, judged by the head in the store.
    pub(super) fn check_notes(&self) -> Vec<String> {
        let verdicts = || self.operators.iter().flat_map(|operator| &operator.verdicts);
        let mut broken = Vec::new();
        for verdict in verdicts() {
            let contradicts = |v: &&crate::operators::Verdict| {
                v.id == verdict.id && v.version != verdict.version
                    || v.id != verdict.id && v.version.is_some() && v.version == verdict.version
            };
            if let Some(other) = verdicts().find(contradicts) {
                broken.push(format!("operators were told {verdict:?} and {other:?}"));
            }
        }
        let Some(head) = self.head() else { return broken };
        let has = |id: &str| head.state.workspaces.iter().any(|spec| spec.id.as_str() == id);
        for verdict in verdicts().filter(|verdict| verdict.id.starts_with("race-")) {
            if has(&verdict.id) != verdict.version.is_some() {
                broken.push(format!("{verdict:?} was told, and the head is {:?}", head.state));
            }
        }
        let highest = verdicts().filter_map(|verdict| verdict.version).max().unwrap_or_default();
        if highest > head.state.version {
            broken.push(format!("{highest} was accepted, and the head is {}", head.state.version));
        }
        for (first, second) in &self.watcher.race_notes {
            let won = |id: &str| verdicts().any(|v| v.id == id && v.version.is_some());
            if won(first) && won(second) {
                broken.push(format!("both {first} and {second} were accepted on one base"));
            }
        }
        broken
    }

    /// Returns the number of races in which both operators got an outcome.
    pub(super) fn races(&self) -> usize {
        let told = |id: &str| {
            self.operators.iter().flat_map(|operator| &operator.verdicts).any(|v| v.id == id)
        };
        self.watcher.race_notes.iter().filter(|(first, second)| told(first) && told(second)).count()
    }

    fn head(&self) -> Option<Head> {
        let record = self.store.store.records().find(|record| record.key == "note/head")?;
        serde_json::from_str(&record.value).ok()
    }
}
