//! Store lookups of jobs that no placer knows, and pages of open jobs.

use bulrushlink_api::{JobList, Record, StoreRequest};
use bulrushlink_core::{Code, Error, Span, WorkspaceId};

use super::answers::{
    ended_answer, error_answer, lookup_failed_answer, record_answer, refusal_answer,
};
use super::hold::{Lookup, RequestKind};
use super::{DaemonView, Intake, no_such_job};
use crate::edge::{CallerAnswer, Context, Output, Token};
use crate::journal::{DoneRecord, JobRecord, Outcome, RetryPolicy};

/// How long the store has to answer a lookup.
const LOOKUP_TIMEOUT: Span = Span::from_secs(1);

/// Purpose of a store call of intake.
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
    /// Looks a job up in the store. The open record is read first: it is removed only after the
    /// end is written, so one of the two reads finds a job that exists.
    pub(super) fn look_up(&mut self, i: usize, cx: &mut Context<'_>) {
        let request = &mut self.requests[i];
        request.lookup = Lookup::Running;
        request.last_lookup = cx.now;
        let read = StoreRequest::Get { key: JobRecord::store_key(&request.key) };
        let until = RetryPolicy::Until(cx.now + LOOKUP_TIMEOUT);
        self.journal.call(Tag::Open(request.token), read, until, cx);
    }

    pub(super) fn on_outcome(
        &mut self,
        tag: Tag,
        outcome: Outcome,
        view: DaemonView<'_>,
        cx: &mut Context<'_>,
    ) {
        match tag {
            Tag::Open(token) => self.on_open(token, outcome, view, cx),
            Tag::Done(token) => self.on_done(token, outcome, cx),
            Tag::List(token, workspace) => self.on_page(token, &workspace, outcome, cx),
        }
    }

    fn on_open(
        &mut self,
        token: Token,
        outcome: Outcome,
        view: DaemonView<'_>,
        cx: &mut Context<'_>,
    ) {
        let Some(i) = self.find(token) else { return };
        match outcome {
            Outcome::Found(Some(record)) => self.on_record(i, &record, view, cx),
            Outcome::Found(None) => {
                let read = StoreRequest::Get { key: DoneRecord::store_key(&self.requests[i].key) };
                let until = RetryPolicy::Until(cx.now + LOOKUP_TIMEOUT);
                self.journal.call(Tag::Done(token), read, until, cx);
            }
            _ => self.on_lookup_failed(token, cx),
        }
    }

    /// Handles the record of an open job; from now on its placer is asked.
    fn on_record(&mut self, i: usize, record: &Record, view: DaemonView<'_>, cx: &mut Context<'_>) {
        let token = self.requests[i].token;
        let Some(record) = JobRecord::from_json(&record.value) else {
            let error = Error::new(Code::BadAnswer, "the store's record can't be read");
            let answer = error_answer(Some(self.requests[i].key.clone()), &error);
            return self.answer(token, answer, cx);
        };
        let request = &mut self.requests[i];
        request.domain = Some(record.domain);
        request.lookup = Lookup::Open;
        request.denied_by.clear();
        if let RequestKind::Submit(submission) = &mut request.kind {
            if submission.spec != record.spec {
                return self.answer_conflict(token, cx);
            }
            submission.refusal = None;
        }
        self.send_messages(i, view, cx);
    }

    fn on_done(&mut self, token: Token, outcome: Outcome, cx: &mut Context<'_>) {
        let Some(i) = self.find(token) else { return };
        let request = &mut self.requests[i];
        let key = request.key.clone();
        let done = match outcome {
            Outcome::Found(record) => {
                record.and_then(|record| DoneRecord::from_json(&record.value))
            }
            _ => return self.on_lookup_failed(token, cx),
        };
        let answer = match (&request.kind, done) {
            (RequestKind::Submit(submission), Some(done)) if submission.digest != done.digest => {
                return self.answer_conflict(token, cx);
            }
            (_, Some(done)) => ended_answer(&key, &done.ending),
            (RequestKind::Submit(submission), None) => match &submission.refusal {
                Some(refusal) => {
                    // An unreachable placer may have run the job without a record, for a caller
                    // who waits.
                    let may_have_run =
                        submission.spec.idempotent && is_placer_unreachable(refusal.code);
                    refusal_answer(Some(key), refusal, !may_have_run)
                }
                None => return,
            },
            (_, None) if request.status.is_some() => return,
            (_, None) => error_answer(Some(key.clone()), &no_such_job(&key)),
        };
        self.answer(token, answer, cx);
    }

    /// Handles a lookup that the store did not answer.
    fn on_lookup_failed(&mut self, token: Token, cx: &mut Context<'_>) {
        let Some(i) = self.find(token) else { return };
        let request = &mut self.requests[i];
        if request.status.is_some() {
            request.lookup = Lookup::Not;
            return;
        }
        let answer = match &request.kind {
            RequestKind::Submit(submission) => match &submission.refusal {
                Some(refusal) => refusal_answer(Some(request.key.clone()), refusal, false),
                None => return,
            },
            _ => lookup_failed_answer(&request.key),
        };
        self.answer(token, answer, cx);
    }

    pub(super) fn answer_conflict(&mut self, token: Token, cx: &mut Context<'_>) {
        let Some(i) = self.find(token) else { return };
        let text = "the request identifier was used before with another body";
        let error = Error::at(Code::RequestConflict, "/request", text);
        let answer = error_answer(Some(self.requests[i].key.clone()), &error);
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
                let read = |record: &Record| JobRecord::from_json(&record.value);
                let jobs = records.iter().filter_map(read).map(|r| record_answer(&r)).collect();
                JobList { jobs, more, complete: true }
            }
            _ => {
                let in_workspace =
                    self.requests.iter().filter(|request| request.key.workspace == *workspace);
                let mut jobs: Vec<_> =
                    in_workspace.map(|request| request.current_answer()).collect();
                jobs.sort_by(|a, b| a.key.cmp(&b.key));
                jobs.dedup_by(|a, b| a.key == b.key);
                JobList { jobs, more: false, complete: false }
            }
        };
        cx.out.push(Output::Caller(token, CallerAnswer::List(list)));
    }
}

/// Returns true if a refusal means that placers are unreachable.
const fn is_placer_unreachable(code: Code) -> bool {
    matches!(code, Code::NoDomain | Code::NoNote | Code::Stopping)
}
