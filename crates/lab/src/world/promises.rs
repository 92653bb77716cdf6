//! The promises that are checked while the run goes on, with the time that each may take.

use bulrushlink_core::{Moment, NoteVersion, Span};
use bulrushlink_daemon::Head;

use super::Lab;
use crate::callers::{Turn, Waiting};
use crate::checks::NO_START_AFTER;
use crate::platform::StoreMode;

/// Time within which a job within its guarantee starts while no fault is active.
const START_BOUND: Span = Span(8_300);
/// Time within which an accepted note is in force on all daemons while no fault is active.
const NOTE_BOUND: Span = Span::from_secs(8);
/// Time within which a submission without a wait is answered while all daemons are well,
/// whatever the store does: an acceptance takes two of its calls, each bounded by its time-out.
const ANSWER_BOUND: Span = Span::from_secs(4);
/// Time after a fault for which the bounds are not asked for: leases lapse, workers on trial prove
/// themselves, and what was interrupted is made up for.
const RECOVERY: Span = Span::from_secs(40);

/// A guaranteed job whose start is due.
#[derive(Clone, Copy, Debug)]
struct Due {
    caller: usize,
    since: Moment,
}

/// An accepted note that has to be in force everywhere.
#[derive(Clone, Copy, Debug)]
struct Spread {
    version: NoteVersion,
    since: Moment,
}

/// What is being watched, and how often a check had something to say.
#[derive(Debug)]
pub(super) struct Watcher {
    /// Latest moment at which any fault was active.
    disturbed: Moment,
    /// Latest moment at which a fault other than one of the store was active.
    unsteady: Moment,
    dues: Vec<Due>,
    spreads: Vec<Spread>,
    /// Names of notes that were applied on the same base.
    pub(super) raced: Vec<(String, String)>,
    pub(super) starts: usize,
    pub(super) notes: usize,
    pub(super) answers: usize,
}

impl Watcher {
    pub(super) const fn open(now: Moment) -> Self {
        Self {
            disturbed: now,
            unsteady: now,
            dues: Vec::new(),
            spreads: Vec::new(),
            raced: Vec::new(),
            starts: 0,
            notes: 0,
            answers: 0,
        }
    }
}

impl Lab {
    /// Checks each new start against the withdrawals and the workers that leave.
    pub(super) fn check_starts(&mut self) {
        let runs = self.record.runs_from(self.checked);
        self.checked += runs.len();
        for run in &runs {
            let domain = self.domain_of(&run.worker);
            let withdrawals = self.operators.iter().flat_map(|operator| &operator.withdrawals);
            let out = withdrawals.into_iter().find(|w| {
                let over = w.back.is_some_and(|back| back <= run.started);
                w.domain == domain && !over && run.started > w.told + NO_START_AFTER
            });
            if let Some(withdrawal) = out {
                let text = format!("{} started although {withdrawal:?}", run.task);
                self.violate(text);
            }
            let left = self
                .leavers
                .iter()
                .find(|l| l.worker == run.worker && run.started > l.since + NO_START_AFTER);
            if let Some(leaver) = left {
                let text = format!("{} started on {leaver:?}", run.task);
                self.violate(text);
            }
        }
    }

    /// Checks what is due within a bound.
    pub(super) fn check_bounds(&mut self) {
        let now = self.timeline.now();
        let steady = self.links.is_clean()
            && self.daemons.iter().all(|daemon| daemon.is_going() && daemon.version().0 > 0)
            && self.armed.is_empty();
        let well =
            |w: &bulrushlink_standin::WorkerSim| w.mode() == bulrushlink_standin::WorkerMode::Well;
        let calm = steady && self.store.mode == StoreMode::Up && self.workers.iter().all(well);
        if !steady {
            self.watcher.unsteady = now;
        }
        if !calm {
            self.watcher.disturbed = now;
        }
        self.check_dues(now);
        self.check_spreads(now);
    }

    /// Begins to watch a job of a guaranteed shape that is submitted for the first time while its
    /// workspace has no other open job.
    pub(super) fn watch_caller(&mut self, caller: usize) {
        let since = self.timeline.now();
        let plan = &self.callers[caller].plan;
        let workspace = &plan.body.workspace;
        let open = |other: &crate::callers::Caller| {
            other.submits > 0 && !other.done && other.plan.body.workspace == *workspace
        };
        let others =
            self.callers.iter().enumerate().filter(|(i, other)| *i != caller && open(other));
        if others.count() == 0 && plan.is_guaranteed() && plan.cancel.is_none() {
            self.watcher.dues.push(Due { caller, since });
        }
    }

    fn check_dues(&mut self, now: Moment) {
        let over = |due: &Due| now > due.since + START_BOUND;
        let due: Vec<_> = self.watcher.dues.extract_if(.., |due| over(due)).collect();
        for due in due {
            if due.since < self.watcher.disturbed + RECOVERY {
                continue;
            }
            self.watcher.starts += 1;
            let key = self.callers[due.caller].key();
            let runs = self.record.runs_of(&key);
            if !runs.iter().any(|run| run.started <= due.since + START_BOUND) {
                let text = format!("{key} is within its guarantee and did not start in time");
                self.violate(text);
            }
        }
    }

    /// Begins to watch the notes that operators were told to be accepted.
    pub(super) fn watch_notes(&mut self) {
        let since = self.timeline.now();
        let told = self.operators.iter().flat_map(|operator| &operator.verdicts);
        let fresh = told.filter(|verdict| verdict.at == since).filter_map(|v| v.version);
        let fresh: Vec<_> = fresh.map(|version| Spread { version, since }).collect();
        self.watcher.spreads.extend(fresh);
    }

    /// A note has to be in force a bound after its acceptance, or after the last fault.
    fn check_spreads(&mut self, now: Moment) {
        let disturbed = self.watcher.disturbed;
        let over = |s: &mut Spread| now > s.since.max(disturbed) + NOTE_BOUND;
        let due: Vec<_> = self.watcher.spreads.extract_if(.., over).collect();
        for spread in due {
            self.watcher.notes += 1;
            let behind = self.daemons.iter().find(|daemon| daemon.version() < spread.version);
            if let Some(daemon) = behind {
                let text = format!("{} is not in force on {}", spread.version, daemon.id());
                self.violate(text);
            }
        }
    }

    /// Checks that a submission without a wait was answered in time.
    pub(super) fn check_answer(&mut self, waiting: &Waiting) {
        let now = self.timeline.now();
        let waits = self.callers[waiting.caller].plan.body.wait.is_some();
        let steady = self.watcher.unsteady + RECOVERY < waiting.since;
        if waiting.turn != Turn::Submit || waits || !steady {
            return;
        }
        self.watcher.answers += 1;
        let took = now.since(waiting.since);
        if took > ANSWER_BOUND {
            let key = self.callers[waiting.caller].key();
            self.violate(format!("{key} was answered after {took}"));
        }
    }

    /// Checks what operators were told against the head in the store.
    pub(super) fn check_notes(&self) -> Vec<String> {
        let verdicts = || self.operators.iter().flat_map(|operator| &operator.verdicts);
        let mut broken = Vec::new();
        for verdict in verdicts() {
            let same = |v: &&crate::operators::Verdict| {
                v.id == verdict.id && v.version != verdict.version
                    || v.id != verdict.id && v.version.is_some() && v.version == verdict.version
            };
            if let Some(other) = verdicts().find(same) {
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
        for (first, second) in &self.watcher.raced {
            let won = |id: &str| verdicts().any(|v| v.id == id && v.version.is_some());
            if won(first) && won(second) {
                broken.push(format!("both {first} and {second} were accepted on one base"));
            }
        }
        broken
    }

    /// Returns the number of races that have an outcome for both operators.
    pub(super) fn races(&self) -> usize {
        let told = |id: &str| {
            self.operators.iter().flat_map(|operator| &operator.verdicts).any(|v| v.id == id)
        };
        self.watcher.raced.iter().filter(|(first, second)| told(first) && told(second)).count()
    }

    fn head(&self) -> Option<Head> {
        let record = self.store.store.records().find(|record| record.key == "note/head")?;
        serde_json::from_str(&record.value).ok()
    }
}
