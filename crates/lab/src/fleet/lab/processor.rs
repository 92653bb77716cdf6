//! The processor time of the daemons: while a daemon handles an input, the others wait unread.
//!
//! It follows the event loop of the daemon's program (`platform/src/edges.rs`): all messages that have
//! arrived are read, then calls time out by the clock, then the node handles the messages and does what is
//! due. Replies that arrive meanwhile lie unread, and what the node returns is sent once it has been handled.

use bulrushlink_core::Moment;
use bulrushlink_fleet::Input;
use std::collections::VecDeque;

use super::{Event, FleetLab};

/// Microseconds of virtual time in a step of the simulation.
const STEP_US: u64 = 1_000;
/// Processor time in microseconds to read, decode and handle a message, on half a core; little beside a pass.
const INPUT_COST_US: u64 = 50;
/// Processor time in nanoseconds for each worker, run and job in a pass, on half a core: 12 ms with 1,100
/// workers, 3,300 runs and 400 jobs, about the time between two events of a leader that fell behind.
const VISIT_COST_NS: u64 = 2_500;

/// Processor of a daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Processor {
    /// Time in microseconds to handle an input, without the passes.
    pub input_us: u64,
    /// Time in nanoseconds for each worker, run and job in a pass.
    pub visit_ns: u64,
}

impl Processor {
    /// Half a core.
    pub const HALF_CORE: Self = Self { input_us: INPUT_COST_US, visit_ns: VISIT_COST_NS };
}

/// State of a daemon's event loop.
#[derive(Default)]
pub(super) struct EventLoop {
    /// Time in microseconds until which the processor is busy.
    busy_until: u64,
    /// Messages that have arrived and are not read yet; replies with their calls.
    unread: VecDeque<(Option<u64>, Input)>,
    /// Time-outs that are due, with their calls.
    timeouts: Vec<(u64, Input)>,
    /// Inputs that the node handles next.
    inputs: VecDeque<Input>,
    /// Earliest time of the next wake-up by the timer.
    wake_next: u64,
}

impl EventLoop {
    /// Adds a message that is no reply.
    pub(super) fn push_request(&mut self, input: Input) {
        self.unread.push_back((None, input));
    }

    /// Adds the reply to a call, or its time-out.
    pub(super) fn push_reply(&mut self, call: u64, input: Input) {
        match input {
            Input::Store(_, Err(_)) | Input::Worker(_, _, Err(_)) => {
                self.timeouts.push((call, input));
            }
            _ => self.unread.push_back((Some(call), input)),
        }
    }
}

impl FleetLab {
    /// Lets a daemon handle inputs until its processor is busy beyond the present step.
    pub(super) fn run_event_loop(&mut self, daemon: usize) {
        let Some(processor) = self.processor else { return };
        let step_end = (self.now + 1) * STEP_US;
        loop {
            let state = &self.daemons[daemon];
            let halted = state.exited || self.now < state.frozen_until;
            if halted || state.event_loop.busy_until >= step_end {
                return;
            }
            if state.event_loop.inputs.is_empty() {
                self.read_messages(daemon);
            }
            let Some(input) = self.daemons[daemon].event_loop.inputs.pop_front() else { return };
            self.handle_at_cost(daemon, input, processor);
        }
    }

    /// Reads messages, expires calls, and ends with a tick; does nothing if there is no cause to wake.
    fn read_messages(&mut self, daemon: usize) {
        let mut inputs = VecDeque::new();
        while let Some((call, input)) = self.daemons[daemon].event_loop.unread.pop_front() {
            // The reply to a call that has timed out finds its connection closed.
            if call.is_none_or(|c| self.close_call(c)) {
                inputs.push_back(input);
            }
        }
        let state = &self.daemons[daemon];
        let due = state.node.due(Moment(self.now)).0 <= self.now;
        let timer = due || !state.event_loop.timeouts.is_empty();
        if inputs.is_empty() && !(timer && self.now >= state.event_loop.wake_next) {
            return;
        }
        for (call, input) in std::mem::take(&mut self.daemons[daemon].event_loop.timeouts) {
            if self.close_call(call) {
                inputs.push_back(input);
            }
        }
        inputs.push_back(Input::Tick);
        let state = &mut self.daemons[daemon].event_loop;
        state.inputs = inputs;
        state.wake_next = self.now + 1;
    }

    /// Handles an input and sends what the node returns after the time that this takes.
    fn handle_at_cost(&mut self, daemon: usize, input: Input, processor: Processor) {
        let before = self.daemons[daemon].node.pass_stats();
        let outputs = self.handle_input(daemon, input);
        let state = &mut self.daemons[daemon];
        let after = state.node.pass_stats();
        let passes = after.passes.saturating_sub(before.passes);
        let cost = processor.input_us + passes * after.visits * processor.visit_ns / 1_000;
        let busy_until = state.event_loop.busy_until.max(self.now * STEP_US) + cost;
        state.event_loop.busy_until = busy_until;
        let incarnation = state.incarnation;
        for output in outputs {
            if busy_until / STEP_US <= self.now {
                self.dispatch_output(daemon, incarnation, output);
            } else {
                let event = Event::Output { daemon, incarnation, output };
                self.schedule(busy_until / STEP_US, event);
            }
        }
    }
}
