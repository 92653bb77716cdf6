//! Operators who take failure domains out of service and back, sometimes in a race. They rely on
//! the answers alone.

use bulrushlink_api::{OperatorAnswer, OperatorCall};
use bulrushlink_core::{Code, DomainId, Moment, NoteVersion, ReleaseNote, Service, Span};
use bulrushlink_daemon::Token;

/// Delay before an operator sends the next request.
pub(crate) const OPERATOR_DELAY: Span = Span(500);

/// A withdrawal of a failure domain that was confirmed to the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Withdrawal {
    pub(crate) domain: DomainId,
    /// Time of the answer that it is in force everywhere.
    pub(crate) told: Moment,
    /// Time at which the operator began to take the failure domain back into service.
    pub(crate) back: Option<Moment>,
}

/// A release note that the operator has yet to get accepted and in force.
#[derive(Clone, Debug)]
pub(crate) struct QueuedNote {
    pub(crate) note: ReleaseNote,
    /// The failure domain and its new service state, for notes that change one.
    pub(crate) change: Option<(DomainId, Service)>,
    pub(crate) token: Option<Token>,
    /// True once the note was sent: its base version then stays the same until a conflict shows
    /// that the note was not accepted.
    pub(crate) sent: bool,
    pub(crate) since: Moment,
    /// True if the operator gives up on the note after a conflict.
    pub(crate) once: bool,
}

/// Outcome of a release note as an operator was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Verdict {
    pub(crate) id: String,
    /// Version that the note got; `None` if it was not accepted.
    pub(crate) version: Option<NoteVersion>,
    pub(crate) at: Moment,
}

/// An operator with the notes to apply and the outcomes of earlier ones.
#[derive(Debug, Default)]
pub(crate) struct Operator {
    /// Highest version that the operator knows of.
    pub(crate) head: NoteVersion,
    /// Notes to apply, in order; only the first one is sent.
    pub(crate) pending: Vec<QueuedNote>,
    pub(crate) withdrawals: Vec<Withdrawal>,
    /// Time that each note took to be in force.
    pub(crate) settle_times: Vec<Span>,
    /// First answer with each outcome of a note.
    pub(crate) verdicts: Vec<Verdict>,
}

impl Operator {
    /// Returns the request that applies the first pending note.
    pub(crate) fn request(&mut self, now: Moment) -> Option<OperatorCall> {
        let head = self.head;
        let queued = self.pending.first_mut()?;
        if !queued.sent {
            queued.note.base = head;
            queued.sent = true;
        }
        if let Some((domain, Service::In)) = &queued.change {
            let open = |w: &&mut Withdrawal| w.domain == *domain && w.back.is_none();
            for withdrawal in self.withdrawals.iter_mut().filter(open) {
                withdrawal.back = Some(now);
            }
        }
        Some(OperatorCall::Apply(queued.note.clone()))
    }

    /// Queues a note.
    pub(crate) fn enqueue(
        &mut self,
        note: ReleaseNote,
        change: Option<(DomainId, Service)>,
        now: Moment,
    ) {
        let (token, sent, once) = (None, false, false);
        self.pending.push(QueuedNote { note, change, token, sent, since: now, once });
    }

    /// Queues a note that keeps its base version and is given up after a conflict.
    pub(crate) fn enqueue_once(
        &mut self,
        note: ReleaseNote,
        change: Option<(DomainId, Service)>,
        now: Moment,
    ) {
        let (token, sent, once) = (None, true, true);
        self.pending.push(QueuedNote { note, change, token, sent, since: now, once });
    }

    /// Processes an answer about the first pending note.
    pub(crate) fn process_answer(&mut self, answer: &OperatorAnswer, now: Moment) {
        match answer {
            OperatorAnswer::Apply(apply) => {
                self.head = self.head.max(apply.version);
                self.record_verdict(Some(apply.version), now);
                if apply.code == Code::Done {
                    self.finish_first(now);
                }
            }
            OperatorAnswer::Plain { code: Code::NoteConflict, reason, .. } => {
                self.parse_head(reason);
                if self.pending.first().is_some_and(|note| note.once) {
                    self.record_verdict(None, now);
                    self.pending.remove(0);
                }
            }
            _ => {}
        }
    }

    /// Records the outcome of the first pending note, unless it is already known.
    fn record_verdict(&mut self, version: Option<NoteVersion>, now: Moment) {
        let Some(queued) = self.pending.first() else { return };
        let id = queued.note.id.clone();
        if !self.verdicts.iter().any(|v| v.id == id && v.version == version) {
            self.verdicts.push(Verdict { id, version, at: now });
        }
    }

    fn finish_first(&mut self, now: Moment) {
        if self.pending.is_empty() {
            return;
        }
        let note = self.pending.remove(0);
        self.settle_times.push(now.since(note.since));
        if let Some((domain, Service::Out)) = note.change {
            self.withdrawals.push(Withdrawal { domain, told: now, back: None });
        }
    }

    /// Reads the version of the head from the text of a conflict, as a human operator would.
    fn parse_head(&mut self, reason: &str) {
        let digits = reason.rsplit(|c: char| !c.is_ascii_digit()).find(|part| !part.is_empty());
        if let Some(head) = digits.and_then(|part| part.parse().ok()) {
            self.head = self.head.max(NoteVersion(head));
        }
        if let Some(queued) = self.pending.first_mut() {
            queued.sent = false;
        }
    }
}
