//! Answers operators from what is in force on this daemon.

use bulrushlink_api::{ApplyAnswer, CheckAnswer, Host, OperatorAnswer, OperatorCall, PlanAnswer};
use bulrushlink_core::{
    Code, DesiredState, DomainId, Error, NoteVersion, RackCapacity, ReleaseNote, Service,
};

use super::Notes;
use super::apply::refuse;
use crate::edge::{Context, Output, Token};
use crate::members::Members;

impl Notes {
    /// Handles `Check`, `Diff`, `Apply` and `Show`. All but `Apply` use the desired state in force
    /// here, which may lag behind the head while a note propagates.
    pub(crate) fn on_operator(
        &mut self,
        token: Token,
        call: OperatorCall,
        hosts: &[Host],
        cx: &mut Context<'_>,
    ) {
        let answer = match call {
            OperatorCall::Apply(note) => return self.begin_apply(token, note, cx),
            OperatorCall::Check(note) => self.check(&note, hosts),
            OperatorCall::Diff(note) => self.diff(&note),
            _ => Ok(self.show()),
        };
        match answer {
            Ok(answer) => cx.out.push(Output::Operator(token, answer)),
            Err(error) => refuse(token, &error, cx),
        }
    }

    fn check(&self, note: &ReleaseNote, hosts: &[Host]) -> Result<OperatorAnswer, Error> {
        let next = self.base().try_apply(note)?;
        let warning = check_fit(note, &next, hosts)?;
        let check = CheckAnswer { code: Code::Done, would_be: next.version, warning };
        Ok(OperatorAnswer::Check(check))
    }

    fn diff(&self, note: &ReleaseNote) -> Result<OperatorAnswer, Error> {
        let base = self.base();
        let desired = base.try_apply(note)?;
        let changes = base.diff(&desired);
        Ok(OperatorAnswer::Plan(PlanAnswer { code: Code::Done, desired, changes }))
    }

    fn show(&self) -> OperatorAnswer {
        let plan = PlanAnswer { code: Code::Done, desired: self.base(), changes: Vec::new() };
        OperatorAnswer::Plan(plan)
    }

    fn base(&self) -> DesiredState {
        self.state().cloned().unwrap_or_default()
    }

    /// Answers the operators of accepted notes with the progress of the rollout.
    pub(crate) fn answer_accepted(&mut self, members: &Members, cx: &mut Context<'_>) {
        for accepted in std::mem::take(&mut self.unanswered) {
            let answer = self.apply_answer(accepted.version, accepted.warning, members, cx);
            cx.out.push(Output::Operator(accepted.token, OperatorAnswer::Apply(answer)));
        }
    }

    fn apply_answer(
        &self,
        version: NoteVersion,
        warning: Option<String>,
        members: &Members,
        cx: &Context<'_>,
    ) -> ApplyAnswer {
        let lapse = self.head.as_ref().map(|head| head.lapse).unwrap_or_default();
        let rollout = members.rollout(version, lapse, cx.now);
        ApplyAnswer {
            code: if rollout.done { Code::Done } else { Code::NotePending },
            version,
            in_force: members.in_force(cx.now),
            pending: rollout.pending,
            settled_in: rollout.done_within,
            warning,
        }
    }
}

/// Checks that the guarantees of `next` fit the hardware, and returns an error if they do not. A
/// note that adds or changes no workspace only gets a warning: in an emergency an operator must be
/// able to take a failure domain out of service although the rest cannot meet all guarantees.
pub(super) fn check_fit(
    note: &ReleaseNote,
    next: &DesiredState,
    hosts: &[Host],
) -> Result<Option<String>, Error> {
    if hosts.is_empty() {
        let text = "no host list yet: the guarantees were not compared with the hardware";
        return Ok(Some(text.to_string()));
    }
    let shares = next.domains.iter().filter(|spec| spec.service == Service::In);
    let mut shares = shares.filter_map(|spec| next.share(&spec.id));
    let fit = shares.try_for_each(|share| share.check_fit(&rack_capacity(&share.domain, hosts)));
    let Err(error) = fit else { return Ok(None) };
    if note.added.workspaces.is_empty() && note.changed.workspaces.is_empty() {
        return Ok(Some(error.to_string()));
    }
    Err(error)
}

/// Returns the accelerators of a failure domain's workers that are not leaving, by rack.
fn rack_capacity(domain: &DomainId, hosts: &[Host]) -> Vec<RackCapacity> {
    let mut racks: Vec<RackCapacity> = Vec::new();
    for host in hosts.iter().filter(|host| host.domain == *domain && !host.leaving) {
        match racks.binary_search_by(|entry| entry.rack.cmp(&host.rack)) {
            Ok(i) => racks[i].workers.push(host.accelerators),
            Err(i) => {
                let workers = vec![host.accelerators];
                racks.insert(i, RackCapacity { rack: host.rack.clone(), workers });
            }
        }
    }
    racks
}
