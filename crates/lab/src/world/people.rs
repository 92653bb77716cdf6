//! Callers and the operator, who reach the deployment through any daemon.

use bulrushlink_api::OperatorAnswer;
use bulrushlink_core::Span;
use bulrushlink_daemon::{CallerReply, Input, Token};

use super::{Lab, Step};
use crate::callers::{ANSWER_TIMEOUT, NEXT_DAEMON, Turn, Waiting};
use crate::operators::{OPERATOR_PAUSE, Operator};

/// Time after which the operator gives an answer up.
const OPERATOR_TIMEOUT: Span = Span::from_secs(5);

impl Lab {
    pub(super) fn caller_turn(&mut self, caller: usize, turn: Turn) {
        if let Turn::GiveUp(token) = turn {
            return self.give_up(caller, token);
        }
        if self.callers[caller].done {
            return;
        }
        let Some(daemon) = self.balance() else {
            self.timeline.after(NEXT_DAEMON, Step::Caller { caller, turn });
            return;
        };
        let now = self.timeline.now();
        let (call, wait) = self.callers[caller].request(turn, now);
        if turn == Turn::Submit && self.callers[caller].submits == 1 {
            self.watch_caller(caller);
        }
        let token = self.token();
        self.note(format!("{} hears {token:?} {call:?}", self.daemons[daemon].id()));
        self.waiting.push(Waiting { token, caller, turn, daemon, since: now });
        let input = Box::new(Input::Caller(token, call));
        let incarnation = Some(self.daemons[daemon].incarnation);
        self.timeline.after(Span(3), Step::Arrive { daemon, incarnation, input });
        let give_up = Step::Caller { caller, turn: Turn::GiveUp(token) };
        self.timeline.after(wait + ANSWER_TIMEOUT, give_up);
    }

    fn give_up(&mut self, caller: usize, token: Token) {
        let Some(i) = self.waiting.iter().position(|w| w.token == token) else { return };
        let waiting = self.waiting.swap_remove(i);
        self.check_answer(&waiting);
        let turn = waiting.turn;
        self.timeline.after(NEXT_DAEMON, Step::Caller { caller, turn });
    }

    /// The platform's balancer sends to a daemon that was ready at its latest look. One that has
    /// died since refuses the connection.
    fn balance(&mut self) -> Option<usize> {
        if self.balanced.is_empty() {
            return None;
        }
        let daemon = self.balanced[self.rng.usize(0..self.balanced.len())];
        self.daemons[daemon].is_up().then_some(daemon)
    }

    pub(super) fn token(&mut self) -> Token {
        self.tokens += 1;
        Token(self.tokens)
    }

    /// Takes a daemon's answer to a caller. One that the caller has given up is not heard.
    pub(super) fn answer_caller(&mut self, token: Token, reply: CallerReply) {
        self.note(format!("answer to {token:?}: {reply:?}"));
        assert!(token.0 <= self.tokens, "{token:?} was never given out");
        let Some(i) = self.waiting.iter().position(|w| w.token == token) else { return };
        let waiting = self.waiting.swap_remove(i);
        self.check_answer(&waiting);
        let caller = waiting.caller;
        let now = self.timeline.now();
        match self.callers[caller].hear(reply, waiting.since, now) {
            Ok(Some((delay, turn))) => {
                let turn = if waiting.turn == Turn::Cancel { Turn::Cancel } else { turn };
                self.timeline.after(delay, Step::Caller { caller, turn });
            }
            Ok(None) => {}
            Err(text) => self.violate(text),
        }
    }

    /// Operators choose a daemon by hand; one that is dead refuses the connection.
    fn any_daemon(&mut self) -> Option<usize> {
        let daemon = self.rng.usize(0..self.daemons.len());
        self.daemons[daemon].is_up().then_some(daemon)
    }

    /// An operator asks for the first wanted note, unless an answer is still awaited.
    pub(super) fn operator_turn(&mut self, i: usize) {
        if self.operators[i].wanted.first().is_none_or(|wanted| wanted.token.is_some()) {
            return;
        }
        let Some(daemon) = self.any_daemon() else {
            self.timeline.after(OPERATOR_PAUSE, Step::Operator(i));
            return;
        };
        let Some(call) = self.operators[i].request(self.timeline.now()) else { return };
        let token = self.token();
        self.operators[i].wanted[0].token = Some(token);
        self.note(format!("{} hears {token:?} {call:?}", self.daemons[daemon].id()));
        let input = Box::new(Input::Operator(token, call));
        let incarnation = Some(self.daemons[daemon].incarnation);
        self.timeline.after(Span(3), Step::Arrive { daemon, incarnation, input });
        self.timeline.after(OPERATOR_TIMEOUT, Step::OperatorGivesUp(i, token));
    }

    /// An operator asks another daemon when an answer doesn't come.
    pub(super) fn operator_gives_up(&mut self, i: usize, token: Token) {
        let awaited = self.operators[i].wanted.first().is_some_and(|w| w.token == Some(token));
        if awaited {
            self.operators[i].wanted[0].token = None;
            self.operator_turn(i);
        }
    }

    /// Takes a daemon's answer to an operator, who goes on until the note is in force.
    pub(super) fn answer_operator(&mut self, token: Token, answer: &OperatorAnswer) {
        self.note(format!("answer to {token:?}: {answer:?}"));
        let awaits = |o: &Operator| o.wanted.first().is_some_and(|w| w.token == Some(token));
        let Some(i) = self.operators.iter().position(awaits) else { return };
        self.operators[i].wanted[0].token = None;
        self.operators[i].hear(answer, self.timeline.now());
        self.watch_notes();
        self.timeline.after(OPERATOR_PAUSE, Step::Operator(i));
    }
}
