//! What the store knows of a job that no placer knows, and pages of open jobs.

use bulrushlink_api::{JobList, Record, StoreRequest};
use bulrushlink_core::{Code, Error, Span, WorkspaceId};

use super::answers::{ended_answer, error_answer, record_answer, refusal_answer, unread_answer};
use super::hold::{Ask, Lookup};
use super::{Intake, World, no_such_job};
use crate::edge::{CallerReply, Context, Output, Token};
use crate::journal::{DoneRecord, JobRecord, Outcome, Patience};

/// Time that the store has to tell of a job.
const LOOKUP_BOUND: Span = Span::from_secs(1);

/// What a store call of intake is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Tag {
    /// Reads whether a job is open.
    Open(Token),
    /// Reads whether a job has ended.
    Done(Token),
    /// Lists open jobs.
    List(Token, WorkspaceId),
}

impl Intake {
    /// Asks the store for a job. The open record is read first: it is removed only after the end
    /// is written, so that a job that exists is found by one of the two.
    pub(super) fn look_up(&mut self, i: usize, cx: &mut Context<'_>) {
        let hold = &mut self.holds[i];
        hold.lookup = Lookup::Running;
        hold.looked = cx.now;
        let request = StoreRequest::Get { key: JobRecord::path(&hold.key) };
        let until = Patience::Until(cx.now + LOOKUP_BOUND);
        self.journal.call(Tag::Open(hold.token), request, until, cx);
    }

    pub(super) fn on_outcome(
        &mut self,
        tag: Tag,
        outcome: Outcome,
        world: World<'_>,
        cx: &mut Context<'_>,
    ) {
        match tag {
            Tag::Open(token) => self.on_open(token, outcome, world, cx),
            Tag::Done(token) => self.on_done(token, outcome, cx),
            Tag::List(token, workspace) => self.on_page(token, &workspace, outcome, cx),
        }
    }

    fn on_open(&mut self, token: Token, outcome: Outcome, world: World<'_>, cx: &mut Context<'_>) {
        let Some(i) = self.find(token) else { return };
        match outcome {
            Outcome::Found(Some(record)) => self.on_record(i, &record, world, cx),
            Outcome::Found(None) => {
                let request = StoreRequest::Get { key: DoneRecord::path(&self.holds[i].key) };
                let until = Patience::Until(cx.now + LOOKUP_BOUND);
                self.journal.call(Tag::Done(token), request, until, cx);
            }
            _ => self.on_unread(token, cx),
        }
    }

    /// The job is open: its placer is asked from now on.
    fn on_record(&mut self, i: usize, record: &Record, world: World<'_>, cx: &mut Context<'_>) {
        let token = self.holds[i].token;
        let Some(record) = JobRecord::read(&record.value) else {
            let error = Error::new(Code::BadAnswer, "the store's record can't be read");
            let answer = error_answer(Some(self.holds[i].key.clone()), &error);
            return self.answer(token, answer, cx);
        };
        let hold = &mut self.holds[i];
        hold.domain = Some(record.domain);
        hold.lookup = Lookup::Open;
        hold.without.clear();
        if let Ask::Submit(submission) = &mut hold.ask {
            if submission.spec != record.spec {
                return self.answer_conflict(token, cx);
            }
            submission.refusal = None;
        }
        self.press(i, world, cx);
    }

    fn on_done(&mut self, token: Token, outcome: Outcome, cx: &mut Context<'_>) {
        let Some(i) = self.find(token) else { return };
        let hold = &mut self.holds[i];
        let key = hold.key.clone();
        let done = match outcome {
            Outcome::Found(record) => record.and_then(|record| DoneRecord::read(&record.value)),
            _ => return self.on_unread(token, cx),
        };
        let answer = match (&hold.ask, done) {
            (Ask::Submit(submission), Some(done)) if submission.digest != done.digest => {
                return self.answer_conflict(token, cx);
            }
            (_, Some(done)) => ended_answer(&key, &done.ending),
            (Ask::Submit(submission), None) => match &submission.refusal {
                Some(refusal) => {
                    // Out of reach, a placer may have run it for a caller who waits, without a
                    // record.
                    let hidden = submission.spec.idempotent && is_blind(refusal.code);
                    refusal_answer(Some(key), refusal, !hidden)
                }
                None => return,
            },
            (_, None) if hold.status.is_some() => return,
            (_, None) => error_answer(Some(key.clone()), &no_such_job(&key)),
        };
        self.answer(token, answer, cx);
    }

    /// The store didn't tell.
    fn on_unread(&mut self, token: Token, cx: &mut Context<'_>) {
        let Some(i) = self.find(token) else { return };
        let hold = &mut self.holds[i];
        if hold.status.is_some() {
            hold.lookup = Lookup::Not;
            return;
        }
        let answer = match &hold.ask {
            Ask::Submit(submission) => match &submission.refusal {
                Some(refusal) => refusal_answer(Some(hold.key.clone()), refusal, false),
                None => return,
            },
            _ => unread_answer(&hold.key),
        };
        self.answer(token, answer, cx);
    }

    pub(super) fn answer_conflict(&mut self, token: Token, cx: &mut Context<'_>) {
        let Some(i) = self.find(token) else { return };
        let text = "the request identifier was used before with another body";
        let error = Error::at(Code::RequestConflict, "/request", text);
        let answer = error_answer(Some(self.holds[i].key.clone()), &error);
        self.answer(token, answer, cx);
    }

    fn on_page(
        &mut self,
        token: Token,
        workspace: &WorkspaceId,
        outcome: Outcome,
        cx: &mut Context<'_>,
    ) {
        let list = match outcome {
            Outcome::Page { records, more } => {
                let read = |record: &Record| JobRecord::read(&record.value);
                let jobs = records.iter().filter_map(read).map(|r| record_answer(&r)).collect();
                JobList { jobs, more, complete: true }
            }
            _ => {
                let own = self.holds.iter().filter(|hold| hold.key.workspace == *workspace);
                let mut jobs: Vec<_> = own.map(|hold| hold.present()).collect();
                jobs.sort_by(|a, b| a.key.cmp(&b.key));
                jobs.dedup_by(|a, b| a.key == b.key);
                JobList { jobs, more: false, complete: false }
            }
        };
        cx.out.push(Output::Caller(token, CallerReply::List(list)));
    }
}

/// Tells whether a refusal shows that placers are out of reach.
const fn is_blind(code: Code) -> bool {
    matches!(code, Code::NoDomain | Code::NoNote | Code::Stopping)
}
