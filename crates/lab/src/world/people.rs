//! Requests of callers and operators, who can use any daemon, and their answers.

use bulrushlink_api::OperatorAnswer;
use bulrushlink_core::Span;
use bulrushlink_daemon::{CallerAnswer, Input, Token};

use super::{Event, Lab};
use crate::callers::{ANSWER_TIMEOUT, CALLER_RETRY_DELAY, Turn, Waiting};
use crate::operators::{OPERATOR_DELAY, Operator};

/// Time after which an operator stops waiting for an answer.
const OPERATOR_TIMEOUT: Span = Span::from_secs(5);

impl Lab {
    pub(super) fn caller_turn(&mut self, caller: usize, turn: Turn) {
        if let Turn::GiveUp(token) = turn {
            return self.give_up(caller, token);
        }
        if self.callers[caller].done {
            return;
        }
        let Some(daemon) = self.draw_ready_daemon() else {
            self.timeline.schedule(CALLER_RETRY_DELAY, Event::Caller { caller, turn });
            return;
        };
        let now = self.timeline.now();
        let (call, wait) = self.callers[caller].request(turn, now);
        if turn == Turn::Submit && self.callers[caller].submits == 1 {
            self.watch_start(caller);
        }
        let token = self.next_token();
        self.add_trace(format!("{} hears {token:?} {call:?}", self.daemons[daemon].id()));
        self.waiting.push(Waiting { token, caller, turn, daemon, since: now });
        let input = Box::new(Input::Caller(token, call));
        let incarnation = Some(self.daemons[daemon].incarnation);
        self.timeline.schedule(Span(3), Event::Arrive { daemon, incarnation, input });
        let give_up = Event::Caller { caller, turn: Turn::GiveUp(token) };
        self.timeline.schedule(wait + ANSWER_TIMEOUT, give_up);
    }

    fn give_up(&mut self, caller: usize, token: Token) {
        let Some(i) = self.waiting.iter().position(|w| w.token == token) else { return };
        let waiting = self.waiting.swap_remove(i);
        self.check_answer(&waiting);
        let turn = waiting.turn;
        self.timeline.schedule(CALLER_RETRY_DELAY, Event::Caller { caller, turn });
    }

    /// Draws a daemon that was ready at the balancer's latest poll. Returns `None` if there is
    /// none, or if the daemon has died since and refuses the connection.
    fn draw_ready_daemon(&mut self) -> Option<usize> {
        if self.ready_daemons.is_empty() {
            return None;
        }
        let daemon = self.ready_daemons[self.rng.usize(0..self.ready_daemons.len())];
        self.daemons[daemon].is_up().then_some(daemon)
    }

    /// Issues the token of a new request.
    pub(super) fn next_token(&mut self) -> Token {
        self.last_token += 1;
        Token(self.last_token)
    }

    /// Delivers an answer to a caller. It is dropped if the caller has stopped waiting for it.
    pub(super) fn answer_caller(&mut self, token: Token, answer: CallerAnswer) {
        self.add_trace(format!("answer to {token:?}: {answer:?}"));
        assert!(token.0 <= self.last_token, "an answer to {token:?}, which was never issued");
        let Some(i) = self.waiting.iter().position(|w| w.token == token) else { return };
        let waiting = self.waiting.swap_remove(i);
        self.check_answer(&waiting);
        let caller = waiting.caller;
        let now = self.timeline.now();
        match self.callers[caller].process_answer(answer, waiting.since, now) {
            Ok(Some((delay, turn))) => {
                let turn = if waiting.turn == Turn::Cancel { Turn::Cancel } else { turn };
                self.timeline.schedule(delay, Event::Caller { caller, turn });
            }
            Ok(None) => {}
            Err(text) => self.add_violation(text),
        }
    }

    /// Draws the daemon that an operator chooses. Returns `None` if it is dead and refuses the
    /// connection.
    fn draw_daemon(&mut self) -> Option<usize> {
        let daemon = self.rng.usize(0..self.daemons.len());
        self.daemons[daemon].is_up().then_some(daemon)
    }

    /// Sends an operator's first pending note, unless its answer is still awaited.
    pub(super) fn operator_turn(&mut self, i: usize) {
        if self.operators[i].pending.first().is_none_or(|note| note.token.is_some()) {
            return;
        }
        let Some(daemon) = self.draw_daemon() else {
            self.timeline.schedule(OPERATOR_DELAY, Event::Operator(i));
            return;
        };
        let Some(call) = self.operators[i].request(self.timeline.now()) else { return };
        let token = self.next_token();
        self.operators[i].pending[0].token = Some(token);
        self.add_trace(format!("{} hears {token:?} {call:?}", self.daemons[daemon].id()));
        let input = Box::new(Input::Operator(token, call));
        let incarnation = Some(self.daemons[daemon].incarnation);
        self.timeline.schedule(Span(3), Event::Arrive { daemon, incarnation, input });
        self.timeline.schedule(OPERATOR_TIMEOUT, Event::OperatorGivesUp(i, token));
    }

    /// Sends an operator's note to another daemon if no answer has come in time.
    pub(super) fn operator_gives_up(&mut self, i: usize, token: Token) {
        let awaited =
            self.operators[i].pending.first().is_some_and(|note| note.token == Some(token));
        if awaited {
            self.operators[i].pending[0].token = None;
            self.operator_turn(i);
        }
    }

    /// Delivers an answer to an operator, who repeats the request until the note is in force.
    pub(super) fn answer_operator(&mut self, token: Token, answer: &OperatorAnswer) {
        self.add_trace(format!("answer to {token:?}: {answer:?}"));
        let awaits = |o: &Operator| o.pending.first().is_some_and(|note| note.token == Some(token));
        let Some(i) = self.operators.iter().position(awaits) else { return };
        self.operators[i].pending[0].token = None;
        self.operators[i].process_answer(answer, self.timeline.now());
        self.watch_notes();
        self.timeline.schedule(OPERATOR_DELAY, Event::Operator(i));
    }
}
