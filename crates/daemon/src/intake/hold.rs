//! One request that waits for its answer.

use bulrushlink_api::JobAnswer;
use bulrushlink_core::{Attempt, DaemonId, DomainId, JobKey, JobSpec, Moment, Refusal, Why, route};
use serde::Serialize;

use super::answers::{present_answer, refusal_answer, undelivered_answer};
use super::{FOLLOW_MS, Intake, REPEAT_MS, World};
use crate::edge::{Context, Token};
use crate::journal::SpecDigest;
use crate::peer::{JobStatus, PeerMessage};
use bulrushlink_core::Span;

/// A job that a caller submitted.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Submission {
    pub(super) spec: JobSpec,
    pub(super) digest: SpecDigest,
    /// Whether the caller waits for the end.
    pub(super) held: bool,
    /// Names the submission to placers.
    pub(super) seq: u64,
    /// Why no failure domain can be asked, if that is so.
    pub(super) refusal: Option<Refusal>,
}

/// What a caller wants.
#[derive(Clone, Debug, Serialize)]
pub(super) enum Ask {
    Submit(Box<Submission>),
    Status {
        /// Whether the caller waits for the end.
        waits: bool,
        /// Whether the reason is wanted.
        why: bool,
    },
    Cancel,
}

/// A daemon that was handed the job, and what it made of it.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Asked {
    pub(super) daemon: DaemonId,
    /// Whether it has refused the job for good.
    pub(super) refused: bool,
}

/// How far the store has been asked for a job that no placer knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub(super) enum Lookup {
    Not,
    Running,
    /// The record is there, so that the job is open.
    Open,
}

/// A request that waits.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Hold {
    #[serde(skip)]
    pub(super) token: Token,
    pub(super) key: JobKey,
    pub(super) ask: Ask,
    pub(super) since: Moment,
    /// Moment of the answer at the latest.
    pub(super) until: Moment,
    /// Moment of the next message.
    pub(super) due: Moment,
    /// Daemons that may have the job; sorted.
    pub(super) asked: Vec<Asked>,
    /// The domain that has the job, as far as known.
    pub(super) domain: Option<DomainId>,
    /// Domains whose placers don't know the job; sorted.
    pub(super) without: Vec<DomainId>,
    /// The last state heard.
    pub(super) status: Option<JobStatus>,
    /// Whether a state was ever heard: then the job may have run.
    pub(super) seen: bool,
    /// The last refusal heard, and whether it is certain for all submissions.
    pub(super) refusal: Option<(Refusal, bool)>,
    pub(super) why: Option<Why>,
    pub(super) lookup: Lookup,
    /// Moment of the last look into the store.
    pub(super) looked: Moment,
}

impl Hold {
    pub(super) const fn open(
        token: Token,
        key: JobKey,
        ask: Ask,
        until: Moment,
        now: Moment,
    ) -> Self {
        Self {
            token,
            key,
            ask,
            since: now,
            until,
            due: now,
            asked: Vec::new(),
            domain: None,
            without: Vec::new(),
            status: None,
            seen: false,
            refusal: None,
            why: None,
            lookup: Lookup::Not,
            looked: now,
        }
    }

    /// Tells whether the caller can come back for the job to any daemon.
    pub(super) fn is_durable(&self) -> bool {
        matches!(
            self.status,
            Some(JobStatus::Waiting { durable: true } | JobStatus::Running { durable: true })
        )
    }

    /// Returns what can be said truthfully without waiting any longer.
    pub(super) fn present(&self) -> JobAnswer {
        if let Some(status) = &self.status {
            return present_answer(&self.key, status, self.why.clone());
        }
        match (&self.ask, &self.refusal) {
            (Ask::Submit(_), Some((refusal, sure))) if self.is_refused() => {
                refusal_answer(Some(self.key.clone()), refusal, *sure)
            }
            (Ask::Submit(submission), _) if self.asked.is_empty() => match &submission.refusal {
                Some(refusal) => refusal_answer(Some(self.key.clone()), refusal, false),
                None => undelivered_answer(&self.key, "no placer could be reached", false),
            },
            (Ask::Submit(_), _) => {
                undelivered_answer(&self.key, "it is not known whether the job was accepted", true)
            }
            (Ask::Cancel, _) => {
                undelivered_answer(&self.key, "the cancellation could not be delivered", true)
            }
            (Ask::Status { .. }, _) if self.lookup == Lookup::Open => {
                present_answer(&self.key, &JobStatus::Waiting { durable: true }, None)
            }
            (Ask::Status { .. }, _) => {
                undelivered_answer(&self.key, "nobody who could know the job answered", true)
            }
        }
    }

    /// Tells whether all that were handed the job have refused it.
    pub(super) fn is_refused(&self) -> bool {
        !self.seen && self.asked.iter().all(|asked| asked.refused)
    }

    fn note_asked(&mut self, daemon: &DaemonId) {
        match self.asked.binary_search_by(|asked| asked.daemon.cmp(daemon)) {
            Ok(i) => self.asked[i].refused = false,
            Err(i) => {
                self.asked.insert(i, Asked { daemon: daemon.clone(), refused: false });
            }
        }
    }

    /// Returns the last attempt that may have started, as far as that can be known here.
    fn attempt(&self, to: &DaemonId) -> Attempt {
        let elsewhere = self.asked.iter().any(|a| a.daemon != *to && !a.refused);
        Attempt(u32::from(self.seen || elsewhere))
    }
}

impl Intake {
    /// Sends what a request needs to be sent now.
    pub(super) fn press(&mut self, i: usize, world: World<'_>, cx: &mut Context<'_>) {
        let known = self.holds[i].status.is_some();
        let pause = if known { FOLLOW_MS } else { REPEAT_MS };
        self.holds[i].due = cx.now + Span(pause + self.rng.u64(..pause / 4));
        match &self.holds[i].ask {
            Ask::Submit(submission) if submission.refusal.is_some() => {}
            Ask::Submit(_) if known => self.press_follow(i, false, world, cx),
            Ask::Submit(_) => self.press_submit(i, world, cx),
            Ask::Status { why, .. } => {
                let why = *why;
                self.press_follow(i, why, world, cx);
            }
            Ask::Cancel => self.press_cancel(i, world, cx),
        }
    }

    fn press_submit(&mut self, i: usize, world: World<'_>, cx: &mut Context<'_>) {
        let hold = &mut self.holds[i];
        let Ask::Submit(submission) = &hold.ask else { return };
        let Some(state) = world.state else { return };
        let mut views = world.members.views(cx.now);
        self.recent.add_to(&mut views, cx.now);
        let first = hold.domain.is_none();
        let domain = match &hold.domain {
            Some(domain) => domain.clone(),
            None => match route(&submission.spec, state, &views) {
                Ok(domain) => domain,
                Err(_) => return,
            },
        };
        let Some(placer) = world.members.placer(&domain, cx.now) else {
            return self.reroute(i);
        };
        if first {
            self.recent.note(&domain, &submission.spec, cx.now);
        }
        // The same domain as long as it can be reached, so that no second one takes the job too.
        hold.domain = Some(domain.clone());
        let message = PeerMessage::Submit {
            domain,
            spec: submission.spec.clone(),
            held: submission.held,
            attempt: if submission.spec.idempotent { hold.attempt(&placer) } else { Attempt(0) },
            age: cx.now.since(hold.since),
            seq: submission.seq,
        };
        hold.note_asked(&placer);
        cx.out.peer(&placer, message);
    }

    /// Looks for another domain next time, unless the job is known to be in this one.
    fn reroute(&mut self, i: usize) {
        let hold = &mut self.holds[i];
        if hold.lookup != Lookup::Open {
            hold.domain = None;
        }
    }

    fn press_follow(&mut self, i: usize, why: bool, world: World<'_>, cx: &mut Context<'_>) {
        let key = self.holds[i].key.clone();
        for domain in self.domains(i, world) {
            if let Some(placer) = world.members.placer(&domain, cx.now) {
                let key = key.clone();
                cx.out.peer(&placer, PeerMessage::Follow { domain, key, why });
            }
        }
        self.look_up_when_lost(i, world, cx);
    }

    fn press_cancel(&mut self, i: usize, world: World<'_>, cx: &mut Context<'_>) {
        let key = self.holds[i].key.clone();
        for domain in self.domains(i, world) {
            if let Some(placer) = world.members.placer(&domain, cx.now) {
                let key = key.clone();
                cx.out.peer(&placer, PeerMessage::Cancel { domain, key });
            }
        }
        self.look_up_when_lost(i, world, cx);
    }

    /// Lists the domains that may have the job.
    fn domains(&self, i: usize, world: World<'_>) -> Vec<DomainId> {
        if let Some(domain) = &self.holds[i].domain {
            return vec![domain.clone()];
        }
        let specs = world.state.map(|state| state.domains.as_slice()).unwrap_or_default();
        specs.iter().map(|spec| spec.id.clone()).collect()
    }

    /// Asks the store for a job once every placer that can be reached has denied it, or has had
    /// the time to.
    pub(super) fn look_up_when_lost(&mut self, i: usize, world: World<'_>, cx: &mut Context<'_>) {
        let hold = &mut self.holds[i];
        let stale = cx.now.since(hold.looked) >= Span(FOLLOW_MS);
        if hold.lookup == Lookup::Open && stale {
            hold.lookup = Lookup::Not;
        }
        let hold = &self.holds[i];
        let open = hold.lookup == Lookup::Not && hold.status.is_none();
        let denied = self.domains(i, world).iter().all(|domain| {
            hold.without.binary_search(domain).is_ok()
                || world.members.placer(domain, cx.now).is_none()
        });
        let late = cx.now.since(hold.since) >= Span(REPEAT_MS);
        if open && !matches!(hold.ask, Ask::Submit(_)) && (denied || late) {
            self.look_up(i, cx);
        }
    }
}
