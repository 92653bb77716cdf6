//! Status updates from placers, matched to the pending requests.
//!
//! Updates may arrive late or out of order: each names the digest of its job, and a refusal names
//! the refused submission.

use bulrushlink_core::{DaemonId, DomainId, Refusal, Span, Why};

use super::answers::{ended_answer, open_answer, refusal_answer};
use super::hold::{Lookup, PendingRequest, RequestKind};
use super::{DaemonView, Intake, RETRY_INTERVAL_MS};
use crate::edge::{Context, Token};
use crate::journal::SpecDigest;
use crate::peer::JobStatus;

/// A job status sent by a placer.
#[derive(Clone, Debug)]
pub(super) struct Update {
    pub(super) from: DaemonId,
    pub(super) domain: DomainId,
    pub(super) status: JobStatus,
    pub(super) why: Option<Why>,
    pub(super) digest: Option<SpecDigest>,
    pub(super) seq: Option<u64>,
}

impl Intake {
    pub(super) fn on_update(
        &mut self,
        token: Token,
        update: &Update,
        view: DaemonView<'_>,
        cx: &mut Context<'_>,
    ) {
        let Some(i) = self.find(token) else { return };
        if let RequestKind::Submit(submission) = &self.requests[i].kind {
            let addressed = update.seq == Some(submission.seq);
            // A refusal of another body leaves the request id free.
            let refusal = matches!(update.status, JobStatus::Refused(_) | JobStatus::Unsure(_));
            let other_body = !refusal
                && update.digest.as_ref().is_some_and(|digest| *digest != submission.digest);
            let conflict = update.status == JobStatus::Conflict && (addressed || !other_body);
            if other_body || conflict {
                return self.answer_conflict(token, cx);
            }
        }
        match &update.status {
            JobStatus::Waiting { .. } | JobStatus::Running { .. } | JobStatus::Undecided => {
                self.on_open_status(i, update, cx);
            }
            JobStatus::Ended(ending) => {
                let answer = ended_answer(&self.requests[i].key, ending);
                self.answer(token, answer, cx);
            }
            JobStatus::Refused(refusal) => self.on_refusal(i, update, refusal, true, cx),
            JobStatus::Unsure(refusal) => self.on_refusal(i, update, refusal, false, cx),
            JobStatus::Elsewhere(domain) => {
                self.requests[i].domain = Some(domain.clone());
                self.requests[i].status = None;
                self.requests[i].due = cx.now;
            }
            JobStatus::NotHere => self.on_not_here(i, update, view, cx),
            JobStatus::NotPlacing => self.on_not_placing(i, cx),
            JobStatus::Conflict => {}
        }
    }

    fn on_open_status(&mut self, i: usize, update: &Update, cx: &mut Context<'_>) {
        let request = &mut self.requests[i];
        request.status = Some(update.status.clone());
        request.may_have_run |= matches!(update.status, JobStatus::Running { .. });
        request.domain = Some(update.domain.clone());
        request.why = update.why.clone().or(request.why.take());
        let is_sufficient = match &request.kind {
            // An undecided write is reported as such; the caller asks for the status later.
            RequestKind::Submit(submission) => {
                let undecided = update.status == JobStatus::Undecided;
                !submission.held && (undecided || request.is_durable())
            }
            RequestKind::Status { waits, why } => !waits && (!why || request.why.is_some()),
            RequestKind::Cancel => false,
        };
        if is_sufficient {
            let answer = open_answer(&request.key, &update.status, request.why.clone());
            let token = request.token;
            self.answer(token, answer, cx);
        }
    }

    /// Handles a refusal. It applies only to the submission that it names, and is passed on once
    /// no other daemon can have the job.
    fn on_refusal(
        &mut self,
        i: usize,
        update: &Update,
        refusal: &Refusal,
        sure: bool,
        cx: &mut Context<'_>,
    ) {
        let request = &mut self.requests[i];
        let RequestKind::Submit(submission) = &request.kind else { return };
        if update.seq != Some(submission.seq) {
            return;
        }
        mark_refused(request, &update.from);
        request.refusal = Some((refusal.clone(), sure));
        if request.is_refused_by_all() {
            let answer = refusal_answer(Some(request.key.clone()), refusal, sure);
            let token = request.token;
            self.answer(token, answer, cx);
        }
    }

    /// Handles a daemon that is not the domain's placer; another one will be before long.
    fn on_not_placing(&mut self, i: usize, cx: &Context<'_>) {
        let request = &mut self.requests[i];
        request.status = None;
        request.due = request.due.min(cx.now + Span(RETRY_INTERVAL_MS));
    }

    fn on_not_here(
        &mut self,
        i: usize,
        update: &Update,
        view: DaemonView<'_>,
        cx: &mut Context<'_>,
    ) {
        let request = &mut self.requests[i];
        if let Err(at) = request.denied_by.binary_search(&update.domain) {
            request.denied_by.insert(at, update.domain.clone());
        }
        if request.domain.as_ref() == Some(&update.domain) && request.status.take().is_some() {
            // The placer has forgotten the job, and with it whether the job started.
            request.may_have_run = true;
            request.due = cx.now;
            request.domain = None;
            request.lookup = Lookup::Not;
        }
        self.look_up_if_unplaced(i, view, cx);
    }
}

fn mark_refused(request: &mut PendingRequest, daemon: &DaemonId) {
    for recipient in request.recipients.iter_mut().filter(|recipient| recipient.daemon == *daemon) {
        recipient.refused = true;
    }
}
