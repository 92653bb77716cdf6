//! Writes an operator's release note to the store, and reports an outcome only if it is certain.
//!
//! A write whose reply was lost may still take effect later. To settle its outcome, the same write
//! is repeated under the same condition: the store applies it at most once, and a conflict shows
//! either that this note was accepted or that it certainly never will be.

use bulrushlink_api::{EdgeFault, Expect, Host, OperatorAnswer, Record, StoreReply, StoreRequest};
use bulrushlink_core::{Code, Error, Moment, NoteVersion, ReleaseNote, Span};

use super::answer::check_fit;
use super::{BACKOFF_MIN, HEAD_KEY, Head, Notes};
use crate::edge::{CallId, Component, Context, Output, Token};
use crate::members::Members;
use crate::timer::jitter;

/// Maximum number of notes being applied at the same time.
const APPLIES_MAX: usize = 16;
/// Time after which an operator whose note has no certain outcome gets an error.
const APPLY_TIMEOUT: Span = Span::from_secs(8);
/// Retry delay that an operator is given when the store is unavailable.
const STORE_RETRY: Span = Span::from_secs(2);

/// An accepted note whose operator is still to be answered.
#[derive(Debug)]
pub(super) struct AcceptedApply {
    pub(super) token: Token,
    pub(super) version: NoteVersion,
    pub(super) warning: Option<String>,
}

/// A conditional write of the head.
#[derive(Clone, Debug)]
struct Write {
    head: Head,
    expect: Expect,
    warning: Option<String>,
}

#[derive(Debug)]
enum Stage {
    /// Waits for the read of the head.
    Reading(CallId),
    /// Waits for the write of the next head.
    Writing(CallId, Write),
    /// Repeats the same write at the given moment.
    Waiting(Moment, Write),
}

/// An operator's note being applied.
#[derive(Debug)]
pub(super) struct Apply {
    token: Token,
    note: ReleaseNote,
    stage: Stage,
    deadline: Moment,
    /// Whether a write was sent that may or may not have taken effect.
    uncertain: bool,
}

impl Apply {
    fn waits_for(&self, call: CallId) -> bool {
        match &self.stage {
            Stage::Reading(id) | Stage::Writing(id, _) => *id == call,
            Stage::Waiting(..) => false,
        }
    }
}

impl Notes {
    /// Starts to apply a note. One that was accepted before is answered with its version again.
    pub(super) fn begin_apply(&mut self, token: Token, note: ReleaseNote, cx: &mut Context<'_>) {
        match self.head.as_ref().map_or(Ok(None), |head| head.find(&note)) {
            Ok(Some(version)) => return self.accept(token, version, None),
            Ok(None) => {}
            Err(error) => return refuse(token, &error, cx),
        }
        if self.applies.len() >= APPLIES_MAX {
            let text = format!("{APPLIES_MAX} notes are on their way; nothing was written");
            return answer_plain(token, Code::Overloaded, text, Some(STORE_RETRY), cx);
        }
        let call = cx.out.store(Component::Notes, StoreRequest::Get { key: HEAD_KEY.to_string() });
        let deadline = cx.now + APPLY_TIMEOUT;
        let stage = Stage::Reading(call);
        self.applies.push(Apply { token, note, stage, deadline, uncertain: false });
    }

    fn accept(&mut self, token: Token, version: NoteVersion, warning: Option<String>) {
        self.unanswered.push(AcceptedApply { token, version, warning });
    }

    /// Handles the store's reply to a call made for an operator's note.
    pub(super) fn on_apply(
        &mut self,
        call: CallId,
        result: Result<StoreReply, EdgeFault>,
        members: &Members,
        hosts: &[Host],
        cx: &mut Context<'_>,
    ) {
        let Some(i) = self.applies.iter().position(|apply| apply.waits_for(call)) else { return };
        let apply = self.applies.swap_remove(i);
        match apply.stage {
            Stage::Reading(_) => self.on_head(apply, result, members, hosts, cx),
            Stage::Writing(_, ref write) => {
                let write = write.clone();
                self.on_written(apply, write, result, cx);
            }
            Stage::Waiting(..) => {
                unreachable!("no call is in flight for a note that waits to be rewritten")
            }
        }
    }

    fn on_head(
        &mut self,
        apply: Apply,
        result: Result<StoreReply, EdgeFault>,
        members: &Members,
        hosts: &[Host],
        cx: &mut Context<'_>,
    ) {
        let record = match result {
            Ok(StoreReply::Found { record }) => record,
            Ok(StoreReply::Limited { retry }) => {
                let text = "the store's rate is reached; nothing was written".to_string();
                return answer_plain(apply.token, Code::StoreUnavailable, text, Some(retry), cx);
            }
            _ => {
                let text = "the store can't be read; nothing was written".to_string();
                return answer_plain(
                    apply.token,
                    Code::StoreUnavailable,
                    text,
                    Some(STORE_RETRY),
                    cx,
                );
            }
        };
        if !self.adopt_record(record.as_ref()) {
            let text = "the store doesn't show the version in force; nothing was written";
            return refuse(apply.token, &Error::new(Code::BadAnswer, text), cx);
        }
        match next_step(&apply.note, record.as_ref(), members, hosts, cx.now) {
            Ok(Step::Accepted(version)) => self.accept(apply.token, version, None),
            Ok(Step::Write(write)) => self.write(apply, write, cx),
            Err(error) => refuse(apply.token, &error, cx),
        }
    }

    fn write(&mut self, mut apply: Apply, write: Write, cx: &mut Context<'_>) {
        let request = StoreRequest::Put {
            key: HEAD_KEY.to_string(),
            value: write.head.json(),
            expect: write.expect,
            lease: None,
        };
        let call = cx.out.store(Component::Notes, request);
        apply.stage = Stage::Writing(call, write);
        self.applies.push(apply);
    }

    fn on_written(
        &mut self,
        mut apply: Apply,
        write: Write,
        result: Result<StoreReply, EdgeFault>,
        cx: &mut Context<'_>,
    ) {
        let delay = match result {
            Ok(StoreReply::Done { at }) => {
                self.revision = self.revision.max(at);
                self.accept(apply.token, write.head.state.version, write.warning);
                return self.adopt(write.head);
            }
            Ok(StoreReply::Conflict { record }) => return self.on_conflict(apply, record, cx),
            Ok(StoreReply::Limited { retry }) => retry,
            Err(EdgeFault::Unreachable) if !apply.uncertain => {
                let text = "the store can't be reached; nothing was written".to_string();
                return answer_plain(
                    apply.token,
                    Code::StoreUnavailable,
                    text,
                    Some(STORE_RETRY),
                    cx,
                );
            }
            Err(EdgeFault::Unreachable) => BACKOFF_MIN,
            _ => {
                apply.uncertain = true;
                BACKOFF_MIN
            }
        };
        let due = cx.now + jitter(delay, &mut self.rng);
        apply.stage = Stage::Waiting(due, write);
        self.applies.push(apply);
    }

    fn on_conflict(&mut self, apply: Apply, record: Option<Record>, cx: &mut Context<'_>) {
        self.adopt_record(record.as_ref());
        match record.as_ref().map(Head::try_from).transpose() {
            Ok(head) => match head.unwrap_or_default().resolve_conflict(&apply.note) {
                Ok(version) => self.accept(apply.token, version, None),
                Err(error) => refuse(apply.token, &error, cx),
            },
            Err(error) => refuse(apply.token, &error, cx),
        }
    }

    /// Repeats the writes that are due, and answers operators whose deadline has passed.
    pub(super) fn tick_applies(&mut self, cx: &mut Context<'_>) {
        for apply in std::mem::take(&mut self.applies) {
            match apply.stage {
                _ if cx.now >= apply.deadline => time_out(&apply, cx),
                Stage::Waiting(due, ref write) if cx.now >= due => {
                    let write = write.clone();
                    self.write(apply, write, cx);
                }
                _ => self.applies.push(apply),
            }
        }
    }
}

impl Head {
    /// Returns the outcome of a note whose write conflicted with this head: the version that it
    /// produced, or an error if it certainly was not and will not be accepted.
    fn resolve_conflict(&self, note: &ReleaseNote) -> Result<NoteVersion, Error> {
        match self.find(note)? {
            Some(version) => Ok(version),
            None => {
                let text = format!("based on {}, head is {}", note.base, self.state.version);
                Err(Error::at(Code::NoteConflict, "/base", text))
            }
        }
    }
}

/// What to do with a note once the head has been read.
enum Step {
    Accepted(NoteVersion),
    Write(Write),
}

/// Returns the next step for `note`, given the `record` of the head.
fn next_step(
    note: &ReleaseNote,
    record: Option<&Record>,
    members: &Members,
    hosts: &[Host],
    now: Moment,
) -> Result<Step, Error> {
    let expect = record.map_or(Expect::Absent, |record| Expect::At(record.at));
    let head = record.map(Head::try_from).transpose()?.unwrap_or_default();
    if let Some(version) = head.find(note)? {
        return Ok(Step::Accepted(version));
    }
    let done = members.rollout(head.state.version, head.lapse, now).done;
    let next = head.try_apply(note, done)?;
    let warning = check_fit(note, &next.state, hosts)?;
    Ok(Step::Write(Write { head: next, expect, warning }))
}

/// Answers an operator whose deadline has passed, saying only what is certain.
fn time_out(apply: &Apply, cx: &mut Context<'_>) {
    if apply.uncertain {
        let text = "not known whether the note was accepted; show what is in force, or apply the \
                    same note again";
        return answer_plain(apply.token, Code::TimedOut, text.to_string(), Some(STORE_RETRY), cx);
    }
    // The write in flight may still take effect.
    if matches!(apply.stage, Stage::Writing(..)) {
        let text = "the store hasn't answered; apply the same note again to learn the outcome";
        return answer_plain(apply.token, Code::TimedOut, text.to_string(), Some(STORE_RETRY), cx);
    }
    let text = "the store doesn't answer; nothing was written".to_string();
    answer_plain(apply.token, Code::StoreUnavailable, text, Some(STORE_RETRY), cx);
}

/// Answers an operator with `error`.
pub(super) fn refuse(token: Token, error: &Error, cx: &mut Context<'_>) {
    let answer = OperatorAnswer::Plain {
        code: error.code(),
        reason: error.text().to_string(),
        field: error.field().map(str::to_string),
        retry: None,
    };
    cx.out.push(Output::Operator(token, answer));
}

/// Answers an operator with an outcome that concerns no field of the note.
fn answer_plain(
    token: Token,
    code: Code,
    reason: String,
    retry: Option<Span>,
    cx: &mut Context<'_>,
) {
    let answer = OperatorAnswer::Plain { code, reason, field: None, retry };
    cx.out.push(Output::Operator(token, answer));
}
