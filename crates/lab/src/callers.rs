//! Callers that submit, wait, ask again elsewhere, cancel, and remember all that they were told.

use bulrushlink_api::{JobAnswer, JobState, StatusQuery, SubmitBody};
use bulrushlink_core::{Adjacency, Code, JobKey, Moment, Shape, Span, Urgency};
use bulrushlink_daemon::{CallerCall, CallerReply, Token};
use fastrand::Rng;

use crate::layout::{WORKSPACES, guaranteed_shape};

/// Time on top of its wait after which a caller gives a connection up.
pub(crate) const ANSWER_TIMEOUT: Span = Span::from_secs(15);
/// How long a caller that asks for the state waits on the connection.
const ASK_WAIT: Span = Span::from_secs(8);
/// Pause of a caller before it tries another daemon.
pub(crate) const NEXT_DAEMON: Span = Span(300);
/// Time after which a caller cancels a job that can never run.
const IMPOSSIBLE_CANCEL: Span = Span::from_secs(60);
/// Submissions after which a refused caller gives up.
const SUBMIT_MAX: u32 = 8;

/// A job and what its caller does with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobPlan {
    /// What is submitted.
    pub body: SubmitBody,
    /// Time after the first submission at which the caller cancels.
    pub cancel: Option<Span>,
    /// Whether a refused caller submits again.
    pub insists: bool,
}

impl JobPlan {
    /// Returns a job of the shape that a workspace, by its index, has a guarantee for.
    pub fn guaranteed(index: usize, workspace: usize, urgency: Urgency, run: Span) -> Self {
        let body = SubmitBody {
            workspace: WORKSPACES[workspace].parse().expect("valid name"),
            request: format!("job-{index}").parse().expect("valid name"),
            kind: "guaranteed".parse().expect("valid name"),
            shape: guaranteed_shape(WORKSPACES[workspace]),
            urgency,
            declared: run,
            deadline: None,
            idempotent: index.is_multiple_of(2),
            checkpoint: false,
            domain: None,
            input: format!("sleep {} job {index}", run.millis()),
            wait: index.is_multiple_of(3).then_some(Span::from_secs(20)),
        };
        Self { body, cancel: None, insists: true }
    }

    /// Draws a job that fails, or that no worker can ever run.
    pub(crate) fn draw_bad(index: usize, rng: &mut Rng) -> Self {
        let mut plan = Self::draw(index, rng);
        if rng.bool() {
            plan.body.input = format!("sleep {} fail job {index}", rng.u64(50..500));
        } else {
            plan.body.shape.tasks = 40;
            plan.body.shape.accelerators = 8;
            plan.cancel = Some(IMPOSSIBLE_CANCEL);
        }
        plan
    }

    /// Tells whether this is of the shape that its workspace has a guarantee for.
    pub(crate) fn is_guaranteed(&self) -> bool {
        self.body.shape == guaranteed_shape(self.body.workspace.as_str())
    }

    /// Draws a job.
    pub(crate) fn draw(index: usize, rng: &mut Rng) -> Self {
        let sizes = [1, 1, 2, 2, 4, 4, 8];
        let accelerators = sizes[rng.usize(0..sizes.len())];
        let tasks = if rng.u8(0..4) == 0 { rng.u16(2..=4) } else { 1 };
        let run = rng.u64(200..8_000);
        let fails = rng.u8(0..20) == 0;
        let input = format!("sleep {run}{} job {index}", if fails { " fail" } else { "" });
        let off = [1, 2, 5, 10][rng.usize(0..4)];
        let declared = if rng.bool() { run * off } else { (run / off).max(1) };
        let urgency = [Urgency::Urgent, Urgency::Normal, Urgency::Batch][rng.usize(0..3)];
        let body = SubmitBody {
            workspace: WORKSPACES[rng.usize(0..4)].parse().expect("valid name"),
            request: format!("job-{index}").parse().expect("valid name"),
            kind: format!("kind-{}", rng.u8(0..3)).parse().expect("valid name"),
            shape: Shape { tasks, accelerators, adjacency: Adjacency::Domain },
            urgency,
            declared: Span(declared),
            deadline: rng.bool().then_some(Span(run * 4)),
            idempotent: rng.u8(0..3) != 0,
            checkpoint: rng.bool(),
            domain: None,
            input,
            wait: rng.bool().then_some(Span::from_secs(20)),
        };
        let cancel = (rng.u8(0..12) == 0).then(|| Span(rng.u64(0..6_000)));
        Self { body, cancel, insists: rng.u8(0..4) != 0 }
    }
}

/// Something that a caller was told.
#[derive(Clone, Debug)]
pub(crate) struct Told {
    pub(crate) at: Moment,
    pub(crate) answer: JobAnswer,
}

/// What a caller does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Turn {
    /// Submits.
    Submit,
    /// Asks for the state.
    Ask,
    /// Cancels.
    Cancel,
    /// Gives the connection of that token up.
    GiveUp(Token),
}

/// One caller with one job.
#[derive(Debug)]
pub(crate) struct Caller {
    pub(crate) plan: JobPlan,
    pub(crate) told: Vec<Told>,
    /// When it was first told that the job is accepted or runs.
    pub(crate) accepted: Option<Moment>,
    /// Submissions so far; at least one daemon may have got each.
    pub(crate) submits: u32,
    /// Moment of the latest submission.
    pub(crate) last_submit: Moment,
    /// Whether it knows the end.
    pub(crate) done: bool,
}

impl Caller {
    pub(crate) fn new(plan: JobPlan) -> Self {
        let last_submit = Moment::default();
        Self { plan, told: Vec::new(), accepted: None, submits: 0, last_submit, done: false }
    }

    pub(crate) fn key(&self) -> JobKey {
        self.plan.body.spec().key
    }

    /// Returns the request of a turn, and how long the daemon may take for it.
    pub(crate) fn request(&mut self, turn: Turn, now: Moment) -> (CallerCall, Span) {
        match turn {
            Turn::Submit => {
                self.submits += 1;
                self.last_submit = now;
                let wait = self.plan.body.wait.unwrap_or_default();
                (CallerCall::Submit(self.plan.body.clone()), wait)
            }
            Turn::Cancel => (CallerCall::Cancel(self.key()), Span::ZERO),
            _ => {
                let wait = Some(ASK_WAIT);
                (CallerCall::Status(StatusQuery { key: self.key(), wait, why: false }), ASK_WAIT)
            }
        }
    }

    /// Takes the answer to a request that was sent at `since`. Returns what to do next and when,
    /// or the rule that the answer breaks.
    pub(crate) fn hear(
        &mut self,
        reply: CallerReply,
        since: Moment,
        now: Moment,
    ) -> Result<Option<(Span, Turn)>, String> {
        let CallerReply::Job(answer) = reply else {
            return Err("a list came for a question about a job".to_string());
        };
        if answer.key.as_ref() != Some(&self.key()) {
            return Err(format!("{} got the answer of {:?}", self.key(), answer.key));
        }
        self.told.push(Told { at: now, answer: answer.clone() });
        let later = answer.retry.unwrap_or(Span::from_secs(1));
        match answer.state {
            JobState::Accepted | JobState::Running => {
                self.accepted.get_or_insert(now);
                Ok(Some((Span(1_000), Turn::Ask)))
            }
            JobState::Refused if answer.not_run => Ok(self.after_refusal(later)),
            JobState::Refused => Ok(Some((later, Turn::Submit))),
            // A question that was asked before the acceptance was told may be answered from before.
            JobState::Error
                if answer.code == Code::NoSuchJob
                    && self.accepted.is_some_and(|at| at <= since) =>
            {
                Err(format!("{} was accepted and is not known any more", self.key()))
            }
            JobState::Error if answer.code == Code::NoSuchJob => Ok(Some((later, Turn::Submit))),
            JobState::Error | JobState::Unknown if answer.retry.is_some() => {
                Ok(Some((later, Turn::Ask)))
            }
            JobState::Error => Err(format!("{} got {answer:?}", self.key())),
            _ => {
                self.done = true;
                Ok(None)
            }
        }
    }

    fn after_refusal(&mut self, later: Span) -> Option<(Span, Turn)> {
        if self.plan.insists && self.submits < SUBMIT_MAX {
            return Some((later, Turn::Submit));
        }
        self.done = true;
        None
    }
}

/// A request that waits for its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Waiting {
    pub(crate) token: Token,
    pub(crate) caller: usize,
    pub(crate) turn: Turn,
    pub(crate) daemon: usize,
    pub(crate) since: Moment,
}
