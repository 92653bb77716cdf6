//! Callers that submit a job, wait, retry at other daemons, cancel, and record all answers.

use bulrushlink_api::{JobAnswer, JobState, StatusQuery, SubmitBody};
use bulrushlink_core::{Adjacency, Code, JobKey, Moment, Shape, Span, Urgency};
use bulrushlink_daemon::{CallerAnswer, CallerCall, Token};
use fastrand::Rng;

use crate::layout::{WORKSPACES, guaranteed_shape};

/// Time beyond the requested wait after which a caller drops a connection.
pub(crate) const ANSWER_TIMEOUT: Span = Span::from_secs(15);
/// Wait that a caller asks for when it polls the state.
const STATUS_WAIT: Span = Span::from_secs(8);
/// Delay before a caller tries another daemon.
pub(crate) const CALLER_RETRY_DELAY: Span = Span(300);
/// Time after which a caller cancels a job that no worker can run.
const IMPOSSIBLE_JOB_TIMEOUT: Span = Span::from_secs(60);
/// Submissions after which a refused caller gives up.
const SUBMITS_MAX: u32 = 8;

/// A job and the behaviour of its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobPlan {
    /// Body of the submission.
    pub body: SubmitBody,
    /// Time after the first submission at which the caller cancels.
    pub cancel: Option<Span>,
    /// True if the caller submits again after a refusal, up to eight times in all.
    pub resubmits: bool,
}

impl JobPlan {
    /// Returns a job of the shape that a workspace, given by its index, has guarantees for.
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
        Self { body, cancel: None, resubmits: true }
    }

    /// Draws a random job that fails, or that no worker can ever run.
    pub(crate) fn draw_bad(index: usize, rng: &mut Rng) -> Self {
        let mut plan = Self::draw(index, rng);
        if rng.bool() {
            plan.body.input = format!("sleep {} fail job {index}", rng.u64(50..500));
        } else {
            plan.body.shape.tasks = 40;
            plan.body.shape.accelerators = 8;
            plan.cancel = Some(IMPOSSIBLE_JOB_TIMEOUT);
        }
        plan
    }

    /// Returns true if the job has the shape that its workspace has guarantees for.
    pub(crate) fn is_guaranteed(&self) -> bool {
        self.body.shape == guaranteed_shape(self.body.workspace.as_str())
    }

    /// Draws a random job. The declared run time is off by a factor of up to 10 either way.
    pub(crate) fn draw(index: usize, rng: &mut Rng) -> Self {
        let sizes = [1, 1, 2, 2, 4, 4, 8];
        let accelerators = sizes[rng.usize(0..sizes.len())];
        let tasks = if rng.u8(0..4) == 0 { rng.u16(2..=4) } else { 1 };
        let run = rng.u64(200..8_000);
        let fails = rng.u8(0..20) == 0;
        let input = format!("sleep {run}{} job {index}", if fails { " fail" } else { "" });
        let error = [1, 2, 5, 10][rng.usize(0..4)];
        let declared = if rng.bool() { run * error } else { (run / error).max(1) };
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
        Self { body, cancel, resubmits: rng.u8(0..4) != 0 }
    }
}

/// An answer with the time at which the caller received it.
#[derive(Clone, Debug)]
pub(crate) struct ReceivedAnswer {
    pub(crate) at: Moment,
    pub(crate) answer: JobAnswer,
}

/// Next action of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Turn {
    /// Submit the job.
    Submit,
    /// Poll the state.
    Ask,
    /// Cancel the job.
    Cancel,
    /// Drop the connection with this token, whose answer did not come in time.
    GiveUp(Token),
}

/// A caller with its job.
#[derive(Debug)]
pub(crate) struct Caller {
    pub(crate) plan: JobPlan,
    pub(crate) answers: Vec<ReceivedAnswer>,
    /// Time of the first answer that the job is accepted or running.
    pub(crate) accepted: Option<Moment>,
    /// Submissions so far; each may have reached a daemon.
    pub(crate) submits: u32,
    /// Time of the latest submission.
    pub(crate) last_submit: Moment,
    /// True if the caller has a final answer or has given up after refusals.
    pub(crate) done: bool,
}

impl Caller {
    pub(crate) fn new(plan: JobPlan) -> Self {
        let last_submit = Moment::default();
        Self { plan, answers: Vec::new(), accepted: None, submits: 0, last_submit, done: false }
    }

    pub(crate) fn key(&self) -> JobKey {
        self.plan.body.spec().key
    }

    /// Returns the request of a turn, and the wait that it allows the daemon.
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
                let wait = Some(STATUS_WAIT);
                (CallerCall::Status(StatusQuery { key: self.key(), wait, why: false }), STATUS_WAIT)
            }
        }
    }

    /// Processes the answer to a request that was sent at `since`. Returns the next turn and its
    /// delay, or the text of the violation if the answer violates an invariant.
    pub(crate) fn process_answer(
        &mut self,
        answer: CallerAnswer,
        since: Moment,
        now: Moment,
    ) -> Result<Option<(Span, Turn)>, String> {
        let CallerAnswer::Job(answer) = answer else {
            return Err("a list came for a question about a job".to_string());
        };
        if answer.key.as_ref() != Some(&self.key()) {
            return Err(format!("{} got the answer of {:?}", self.key(), answer.key));
        }
        self.answers.push(ReceivedAnswer { at: now, answer: answer.clone() });
        let delay = answer.retry.unwrap_or(Span::from_secs(1));
        match answer.state {
            JobState::Accepted | JobState::Running => {
                self.accepted.get_or_insert(now);
                Ok(Some((Span(1_000), Turn::Ask)))
            }
            JobState::Refused if answer.not_run => Ok(self.after_refusal(delay)),
            JobState::Refused => Ok(Some((delay, Turn::Submit))),
            // A request sent before the acceptance was received may have been answered before the
            // acceptance.
            JobState::Error
                if answer.code == Code::NoSuchJob
                    && self.accepted.is_some_and(|at| at <= since) =>
            {
                Err(format!("{} was accepted and is not known any more", self.key()))
            }
            JobState::Error if answer.code == Code::NoSuchJob => Ok(Some((delay, Turn::Submit))),
            JobState::Error | JobState::Unknown if answer.retry.is_some() => {
                Ok(Some((delay, Turn::Ask)))
            }
            JobState::Error => Err(format!("{} got {answer:?}", self.key())),
            _ => {
                self.done = true;
                Ok(None)
            }
        }
    }

    fn after_refusal(&mut self, delay: Span) -> Option<(Span, Turn)> {
        if self.plan.resubmits && self.submits < SUBMITS_MAX {
            return Some((delay, Turn::Submit));
        }
        self.done = true;
        None
    }
}

/// A request without an answer yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Waiting {
    pub(crate) token: Token,
    pub(crate) caller: usize,
    pub(crate) turn: Turn,
    pub(crate) daemon: usize,
    pub(crate) since: Moment,
}
