//! Refusals of submissions that can't end in time, before anything of the job is sent to the store.

use bulrushlink_core::Span;

use crate::catalog::Grant;
use crate::edge::{Answer, CallerVerb};
use crate::ids::JobId;
use crate::policy::admission::{Refusal, Submission, refusal};

use super::{Context, Request};

impl Request {
    /// Returns the refusal of a submission by the forecast. If a commit of the request may have taken effect,
    /// there is none: the job may run.
    pub(super) fn refusal(
        &self,
        ctx: &Context<'_>,
        grant: &Grant<'_>,
        id: JobId,
    ) -> Option<Refusal> {
        let load = ctx.load.filter(|_| !self.outcome_unknown)?;
        let CallerVerb::Submit(Ok(spec)) = &self.call.verb else { return None };
        let now = ctx.clock.now;
        let age = now.since(self.arrived);
        let Grant { queue, workspace, .. } = *grant;
        let submission = Submission { id, spec, queue, workspace, age };
        refusal(&submission, load.forecast(now))
    }

    /// Answers that a job, which isn't in the store, is refused.
    pub(super) fn refuse_job(
        &mut self,
        ctx: &mut Context<'_>,
        (id, queue): (JobId, String),
        refusal: Refusal,
    ) -> bool {
        let Refusal { reason, wait, useful, after } = refusal;
        log::info!(
            event = "job_refused", job:% = id, queue:% = queue, reason:% = reason,
            forecast_ms = wait.millis(), useful_ms = useful.millis(), retry_ms = after.millis();
            "the job is refused, as it can't be of use to its caller"
        );
        metrics::counter!("bulrushlink_refusals_total", "queue" => queue).increment(1);
        let answer = Answer::Refused(format!("{reason}; not accepted"), after.max(Span(1)));
        self.finish(ctx, answer, "refused by the forecast")
    }
}
