//! What placers say of jobs, matched to the requests that wait.
//!
//! Updates may be late or crossed: each names the digest of the job it is of, and a refusal names
//! the submission that is refused.

use bulrushlink_core::{DaemonId, DomainId, Refusal, Span, Why};

use super::answers::{ended_answer, present_answer, refusal_answer};
use super::hold::{Ask, Hold, Lookup};
use super::{Intake, REPEAT_MS, World};
use crate::edge::{Context, Token};
use crate::journal::SpecDigest;
use crate::peer::JobStatus;

/// A state of a job, as a placer tells it.
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
        world: World<'_>,
        cx: &mut Context<'_>,
    ) {
        let Some(i) = self.find(token) else { return };
        if let Ask::Submit(submission) = &self.holds[i].ask {
            let named = update.seq == Some(submission.seq);
            // A refusal of another body leaves the identifier free.
            let refusal = matches!(update.status, JobStatus::Refused(_) | JobStatus::Unsure(_));
            let other = !refusal
                && update.digest.as_ref().is_some_and(|digest| *digest != submission.digest);
            let conflict = update.status == JobStatus::Conflict && (named || !other);
            if other || conflict {
                return self.answer_conflict(token, cx);
            }
        }
        match &update.status {
            JobStatus::Waiting { .. } | JobStatus::Running { .. } | JobStatus::Undecided => {
                self.on_open_status(i, update, cx);
            }
            JobStatus::Ended(ending) => {
                let answer = ended_answer(&self.holds[i].key, ending);
                self.answer(token, answer, cx);
            }
            JobStatus::Refused(refusal) => self.on_refusal(i, update, refusal, true, cx),
            JobStatus::Unsure(refusal) => self.on_refusal(i, update, refusal, false, cx),
            JobStatus::Elsewhere(domain) => {
                self.holds[i].domain = Some(domain.clone());
                self.holds[i].status = None;
                self.holds[i].due = cx.now;
            }
            JobStatus::NotHere => self.on_not_here(i, update, world, cx),
            JobStatus::NotPlacing => self.on_not_placing(i, cx),
            JobStatus::Conflict => {}
        }
    }

    fn on_open_status(&mut self, i: usize, update: &Update, cx: &mut Context<'_>) {
        let hold = &mut self.holds[i];
        hold.status = Some(update.status.clone());
        hold.seen |= matches!(update.status, JobStatus::Running { .. });
        hold.domain = Some(update.domain.clone());
        hold.why = update.why.clone().or(hold.why.take());
        let enough = match &hold.ask {
            // What the store leaves open is told as such: the caller asks again for the state.
            Ask::Submit(submission) => {
                let undecided = update.status == JobStatus::Undecided;
                !submission.held && (undecided || hold.is_durable())
            }
            Ask::Status { waits, why } => !waits && (!why || hold.why.is_some()),
            Ask::Cancel => false,
        };
        if enough {
            let answer = present_answer(&hold.key, &update.status, hold.why.clone());
            let token = hold.token;
            self.answer(token, answer, cx);
        }
    }

    /// A refusal counts for the submission it names alone, and is passed on once nobody else can
    /// have the job.
    fn on_refusal(
        &mut self,
        i: usize,
        update: &Update,
        refusal: &Refusal,
        sure: bool,
        cx: &mut Context<'_>,
    ) {
        let hold = &mut self.holds[i];
        let Ask::Submit(submission) = &hold.ask else { return };
        if update.seq != Some(submission.seq) {
            return;
        }
        mark_refused(hold, &update.from);
        hold.refusal = Some((refusal.clone(), sure));
        if hold.is_refused() {
            let answer = refusal_answer(Some(hold.key.clone()), refusal, sure);
            let token = hold.token;
            self.answer(token, answer, cx);
        }
    }

    /// Another daemon will place in the domain before long.
    fn on_not_placing(&mut self, i: usize, cx: &Context<'_>) {
        let hold = &mut self.holds[i];
        hold.status = None;
        hold.due = hold.due.min(cx.now + Span(REPEAT_MS));
    }

    fn on_not_here(&mut self, i: usize, update: &Update, world: World<'_>, cx: &mut Context<'_>) {
        let hold = &mut self.holds[i];
        if let Err(at) = hold.without.binary_search(&update.domain) {
            hold.without.insert(at, update.domain.clone());
        }
        if hold.domain.as_ref() == Some(&update.domain) && hold.status.take().is_some() {
            // The placer has forgotten the job, and with it whether it started.
            hold.seen = true;
            hold.due = cx.now;
            hold.domain = None;
            hold.lookup = Lookup::Not;
        }
        self.look_up_when_lost(i, world, cx);
    }
}

fn mark_refused(hold: &mut Hold, daemon: &DaemonId) {
    for asked in hold.asked.iter_mut().filter(|asked| asked.daemon == *daemon) {
        asked.refused = true;
    }
}
