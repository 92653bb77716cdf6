//! Which stored job a request means, and whether its caller may see it: the table of
//! `docs/design/job-identity.md`.

use bulrushlink_core::WorkspaceId;

use crate::catalog::{Catalog, Grant};
use crate::edge::{Answer, CallerVerb};
use crate::ids::JobId;
use crate::record::{Item, JobRecord, StateRecord, decode};

use super::{Context, Request};

impl Request {
    /// Answers a submission of a job that is in the store.
    pub(super) fn job_exists(&mut self, ctx: &mut Context<'_>, id: JobId, item: &Item) -> bool {
        let CallerVerb::Submit(Ok(spec)) = &self.call.verb else { return false };
        match decode::<JobRecord>(&item.value) {
            Ok(record) => {
                let Some(grant) = self.grant(ctx.view.catalog()) else {
                    // The configuration has changed since; the request is judged by the present one.
                    return self.begin(ctx);
                };
                if record.queue.name != grant.queue.name {
                    return self.finish(
                        ctx,
                        Answer::Taken,
                        "a job of another queue has this identifier",
                    );
                }
                if !is_open_to(&grant, record.workspace.as_ref()) {
                    return self.finish(
                        ctx,
                        Answer::Taken,
                        "a job of another workspace has this identifier",
                    );
                }
                if record.spec != *spec {
                    return self.finish(ctx, Answer::Taken, "another job has this identifier");
                }
                self.finish(ctx, Answer::Accepted, "the same job is already stored")
            }
            Err(error) => {
                log::error!(event = "bad_record", job:% = id; "the stored job can't be decoded: {error}");
                self.finish(ctx, Answer::Taken, "an unreadable job has this identifier")
            }
        }
    }

    /// Decodes the state of a job that the caller may access; otherwise answers the request.
    pub(super) fn accessible_state(
        &mut self,
        ctx: &mut Context<'_>,
        item: Option<Item>,
    ) -> Option<StateRecord> {
        let Some(item) = item else {
            self.finish(ctx, Answer::NoJob, "the store has no such job");
            return None;
        };
        let state = match decode::<StateRecord>(&item.value) {
            Ok(state) => state,
            Err(error) => {
                log::error!(event = "bad_record", key:% = item.key; "state of the job can't be decoded: {error}");
                self.refuse(ctx, "the state can't be read");
                return None;
            }
        };
        let grant = self.grant(ctx.view.catalog());
        let elsewhere = grant.as_ref().is_some_and(|g| !state.is_of(g.queue));
        let open = match &grant {
            Some(grant) => is_open_to(grant, state.workspace.as_ref()),
            None => state.workspace.is_none(),
        };
        if elsewhere {
            self.finish(ctx, Answer::NoJob, "the job belongs to another queue");
            return None;
        }
        if !open {
            self.finish(ctx, Answer::OtherWorkspace, "the job belongs to another workspace");
            return None;
        }
        Some(state)
    }

    /// Returns what the configuration grants the caller. Why it denies a request is answered when the request begins.
    fn grant<'a>(&'a self, catalog: Option<&'a Catalog>) -> Option<Grant<'a>> {
        let key = self.call.key.as_deref();
        catalog?.authorize(&self.call.host, &self.call.path, key).ok()
    }
}

/// Returns true if a caller with this grant has access to the jobs of a workspace in its queue.
fn is_open_to(grant: &Grant<'_>, owner: Option<&WorkspaceId>) -> bool {
    let Some(owner) = owner else { return true };
    grant.queue.anonymous || grant.workspace.is_some_and(|w| w.name == *owner)
}
