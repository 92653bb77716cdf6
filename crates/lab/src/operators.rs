//! Operators who take failure domains out of service and back, race each other, and believe only
//! the answers.

use bulrushlink_api::{OperatorAnswer, OperatorCall};
use bulrushlink_core::{Code, DomainId, Moment, NoteVersion, ReleaseNote, Service, Span};
use bulrushlink_daemon::Token;

/// Time after which an operator asks again.
pub(crate) const OPERATOR_PAUSE: Span = Span(500);

/// A withdrawal of a failure domain as the operator was told of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Withdrawal {
    pub(crate) domain: DomainId,
    /// When the daemon said that it is in force everywhere.
    pub(crate) told: Moment,
    /// When the operator began to take the domain back.
    pub(crate) back: Option<Moment>,
}

/// A note that the operator wants accepted.
#[derive(Clone, Debug)]
pub(crate) struct Wanted {
    pub(crate) note: ReleaseNote,
    /// Set for notes about one domain.
    pub(crate) change: Option<(DomainId, Service)>,
    pub(crate) token: Option<Token>,
    /// Whether it was ever sent; from then on it is based on the same version, unless a
    /// conflict says that it was not accepted.
    pub(crate) sent: bool,
    pub(crate) since: Moment,
    /// Whether the operator gives the note up when it is told of a conflict.
    pub(crate) once: bool,
}

/// What an operator was told of a note.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Verdict {
    pub(crate) id: String,
    /// The version that it got; `None` when the operator was told that it was not accepted.
    pub(crate) version: Option<NoteVersion>,
    pub(crate) at: Moment,
}

/// One operator.
#[derive(Debug, Default)]
pub(crate) struct Operator {
    /// Highest version that the operator was told of.
    pub(crate) head: NoteVersion,
    /// Notes that are wanted, in order; only the first one is applied.
    pub(crate) wanted: Vec<Wanted>,
    pub(crate) withdrawals: Vec<Withdrawal>,
    /// Notes that were accepted, with the time that took.
    pub(crate) settled: Vec<Span>,
    /// What was told of each note for the first time.
    pub(crate) verdicts: Vec<Verdict>,
}

impl Operator {
    /// Returns the request for the first wanted note.
    pub(crate) fn request(&mut self, now: Moment) -> Option<OperatorCall> {
        let head = self.head;
        let wanted = self.wanted.first_mut()?;
        if !wanted.sent {
            wanted.note.base = head;
            wanted.sent = true;
        }
        if let Some((domain, Service::In)) = &wanted.change {
            let open = |w: &&mut Withdrawal| w.domain == *domain && w.back.is_none();
            for withdrawal in self.withdrawals.iter_mut().filter(open) {
                withdrawal.back = Some(now);
            }
        }
        Some(OperatorCall::Apply(wanted.note.clone()))
    }

    /// Begins to want a note.
    pub(crate) fn want(
        &mut self,
        note: ReleaseNote,
        change: Option<(DomainId, Service)>,
        now: Moment,
    ) {
        let (token, sent, once) = (None, false, false);
        self.wanted.push(Wanted { note, change, token, sent, since: now, once });
    }

    /// Begins to want a note on the base that it has, before all others, and only this once.
    pub(crate) fn race(
        &mut self,
        note: ReleaseNote,
        change: Option<(DomainId, Service)>,
        now: Moment,
    ) {
        let (token, sent, once) = (None, true, true);
        self.wanted.push(Wanted { note, change, token, sent, since: now, once });
    }

    /// Takes an answer for the first wanted note.
    pub(crate) fn hear(&mut self, answer: &OperatorAnswer, now: Moment) {
        match answer {
            OperatorAnswer::Apply(apply) => {
                self.head = self.head.max(apply.version);
                self.rule(Some(apply.version), now);
                if apply.code == Code::Done {
                    self.settle(now);
                }
            }
            OperatorAnswer::Plain { code: Code::NoteConflict, reason, .. } => {
                self.learn_head(reason);
                if self.wanted.first().is_some_and(|wanted| wanted.once) {
                    self.rule(None, now);
                    self.wanted.remove(0);
                }
            }
            _ => {}
        }
    }

    /// Notes what was told of the first wanted note.
    fn rule(&mut self, version: Option<NoteVersion>, now: Moment) {
        let Some(wanted) = self.wanted.first() else { return };
        let id = wanted.note.id.clone();
        if !self.verdicts.iter().any(|v| v.id == id && v.version == version) {
            self.verdicts.push(Verdict { id, version, at: now });
        }
    }

    fn settle(&mut self, now: Moment) {
        if self.wanted.is_empty() {
            return;
        }
        let wanted = self.wanted.remove(0);
        self.settled.push(now.since(wanted.since));
        if let Some((domain, Service::Out)) = wanted.change {
            self.withdrawals.push(Withdrawal { domain, told: now, back: None });
        }
    }

    /// Reads the head's version from a conflict's text, as a person would.
    fn learn_head(&mut self, reason: &str) {
        let digits = reason.rsplit(|c: char| !c.is_ascii_digit()).find(|part| !part.is_empty());
        if let Some(head) = digits.and_then(|part| part.parse().ok()) {
            self.head = self.head.max(NoteVersion(head));
        }
        if let Some(wanted) = self.wanted.first_mut() {
            wanted.sent = false;
        }
    }
}
