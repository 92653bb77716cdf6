//! A request that waits for its answer.

use bulrushlink_api::JobAnswer;
use bulrushlink_core::{Attempt, DaemonId, DomainId, JobKey, JobSpec, Moment, Refusal, Why, route};
use serde::Serialize;

use super::answers::{open_answer, refusal_answer, timeout_answer};
use super::{DaemonView, FOLLOW_INTERVAL_MS, Intake, RETRY_INTERVAL_MS};
use crate::edge::{Context, Token};
use crate::journal::SpecDigest;
use crate::peer::{JobStatus, PeerMessage};
use bulrushlink_core::Span;

/// A job submitted by a caller.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Submission {
    pub(super) spec: JobSpec,
    pub(super) digest: SpecDigest,
    /// Whether the caller waits for the end of the job.
    pub(super) held: bool,
    /// Identifies the submission to placers.
    pub(super) seq: u64,
    /// Why the job cannot be routed to any failure domain, if so.
    pub(super) refusal: Option<Refusal>,
}

/// What the caller requests.
#[derive(Clone, Debug, Serialize)]
pub(super) enum RequestKind {
    Submit(Box<Submission>),
    Status {
        /// Whether the caller waits for the end of the job.
        waits: bool,
        /// Whether the caller asks for the reason of the job's state.
        why: bool,
    },
    Cancel,
}

/// A daemon that was handed the job.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Recipient {
    pub(super) daemon: DaemonId,
    /// Whether it has refused the job for good.
    pub(super) refused: bool,
}

/// Progress of the store lookup for a job that no placer knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub(super) enum Lookup {
    /// None is in progress.
    Not,
    /// The store has not answered yet.
    Running,
    /// The job's record exists, so the job is open.
    Open,
}

/// A request that waits for its answer.
#[derive(Clone, Debug, Serialize)]
pub(super) struct PendingRequest {
    #[serde(skip)]
    pub(super) token: Token,
    pub(super) key: JobKey,
    #[serde(rename = "ask")]
    pub(super) kind: RequestKind,
    pub(super) since: Moment,
    /// Latest time of the answer.
    pub(super) until: Moment,
    /// When messages are next sent.
    pub(super) due: Moment,
    /// Daemons that may have the job; sorted.
    #[serde(rename = "asked")]
    pub(super) recipients: Vec<Recipient>,
    /// The domain that has the job, as far as known.
    pub(super) domain: Option<DomainId>,
    /// Domains whose placers do not know the job; sorted.
    #[serde(rename = "without")]
    pub(super) denied_by: Vec<DomainId>,
    /// The last status received.
    pub(super) status: Option<JobStatus>,
    /// Whether the job may have run: it was reported running, or a placer has forgotten it.
    #[serde(rename = "seen")]
    pub(super) may_have_run: bool,
    /// The last refusal received, and whether no earlier submission of the request can have run.
    pub(super) refusal: Option<(Refusal, bool)>,
    pub(super) why: Option<Why>,
    pub(super) lookup: Lookup,
    /// Start of the last store lookup.
    #[serde(rename = "looked")]
    pub(super) last_lookup: Moment,
}

impl PendingRequest {
    pub(super) const fn new(
        token: Token,
        key: JobKey,
        kind: RequestKind,
        until: Moment,
        now: Moment,
    ) -> Self {
        Self {
            token,
            key,
            kind,
            since: now,
            until,
            due: now,
            recipients: Vec::new(),
            domain: None,
            denied_by: Vec::new(),
            status: None,
            may_have_run: false,
            refusal: None,
            why: None,
            lookup: Lookup::Not,
            last_lookup: now,
        }
    }

    /// Returns true if the caller can ask any daemon for the job later.
    pub(super) fn is_durable(&self) -> bool {
        matches!(
            self.status,
            Some(JobStatus::Waiting { durable: true } | JobStatus::Running { durable: true })
        )
    }

    /// Returns the answer that is certain at this moment.
    pub(super) fn current_answer(&self) -> JobAnswer {
        if let Some(status) = &self.status {
            return open_answer(&self.key, status, self.why.clone());
        }
        match (&self.kind, &self.refusal) {
            (RequestKind::Submit(_), Some((refusal, sure))) if self.is_refused_by_all() => {
                refusal_answer(Some(self.key.clone()), refusal, *sure)
            }
            (RequestKind::Submit(submission), _) if self.recipients.is_empty() => {
                match &submission.refusal {
                    Some(refusal) => refusal_answer(Some(self.key.clone()), refusal, false),
                    None => timeout_answer(&self.key, "no placer could be reached", false),
                }
            }
            (RequestKind::Submit(_), _) => {
                timeout_answer(&self.key, "it is not known whether the job was accepted", true)
            }
            (RequestKind::Cancel, _) => {
                timeout_answer(&self.key, "the cancellation could not be delivered", true)
            }
            (RequestKind::Status { .. }, _) if self.lookup == Lookup::Open => {
                open_answer(&self.key, &JobStatus::Waiting { durable: true }, None)
            }
            (RequestKind::Status { .. }, _) => {
                timeout_answer(&self.key, "nobody who could know the job answered", true)
            }
        }
    }

    /// Returns true if every daemon that was handed the job has refused it.
    pub(super) fn is_refused_by_all(&self) -> bool {
        !self.may_have_run && self.recipients.iter().all(|recipient| recipient.refused)
    }

    fn record_recipient(&mut self, daemon: &DaemonId) {
        match self.recipients.binary_search_by(|recipient| recipient.daemon.cmp(daemon)) {
            Ok(i) => self.recipients[i].refused = false,
            Err(i) => {
                self.recipients.insert(i, Recipient { daemon: daemon.clone(), refused: false });
            }
        }
    }

    /// Returns the number of attempts that `to` has to reckon with: 1 if the job may have run or
    /// may be with another daemon, else 0.
    fn min_attempt(&self, to: &DaemonId) -> Attempt {
        let elsewhere = self.recipients.iter().any(|r| r.daemon != *to && !r.refused);
        Attempt(u32::from(self.may_have_run || elsewhere))
    }
}

impl Intake {
    /// Sends the messages that a request needs now and schedules the next ones.
    pub(super) fn send_messages(&mut self, i: usize, view: DaemonView<'_>, cx: &mut Context<'_>) {
        let known = self.requests[i].status.is_some();
        let pause = if known { FOLLOW_INTERVAL_MS } else { RETRY_INTERVAL_MS };
        self.requests[i].due = cx.now + Span(pause + self.rng.u64(..pause / 4));
        match &self.requests[i].kind {
            RequestKind::Submit(submission) if submission.refusal.is_some() => {}
            RequestKind::Submit(_) if known => self.send_follow(i, false, view, cx),
            RequestKind::Submit(_) => self.send_submit(i, view, cx),
            RequestKind::Status { why, .. } => {
                let why = *why;
                self.send_follow(i, why, view, cx);
            }
            RequestKind::Cancel => self.send_cancel(i, view, cx),
        }
    }

    fn send_submit(&mut self, i: usize, view: DaemonView<'_>, cx: &mut Context<'_>) {
        let request = &mut self.requests[i];
        let RequestKind::Submit(submission) = &request.kind else { return };
        let Some(state) = view.state else { return };
        let mut views = view.members.views(cx.now);
        self.recent.add_to_loads(&mut views, cx.now);
        let first = request.domain.is_none();
        let domain = match &request.domain {
            Some(domain) => domain.clone(),
            None => match route(&submission.spec, state, &views) {
                Ok(domain) => domain,
                Err(_) => return,
            },
        };
        let Some(placer) = view.members.placer(&domain, cx.now) else {
            return self.clear_domain(i);
        };
        if first {
            self.recent.record(&domain, &submission.spec, cx.now);
        }
        // The domain stays the same as long as it can be reached, so that no second domain also
        // accepts the job.
        request.domain = Some(domain.clone());
        let message = PeerMessage::Submit {
            domain,
            spec: submission.spec.clone(),
            held: submission.held,
            attempt: if submission.spec.idempotent {
                request.min_attempt(&placer)
            } else {
                Attempt(0)
            },
            age: cx.now.since(request.since),
            seq: submission.seq,
        };
        request.record_recipient(&placer);
        cx.out.peer(&placer, message);
    }

    /// Lets the next submission choose another domain, unless the job is known to be in this one.
    fn clear_domain(&mut self, i: usize) {
        let request = &mut self.requests[i];
        if request.lookup != Lookup::Open {
            request.domain = None;
        }
    }

    fn send_follow(&mut self, i: usize, why: bool, view: DaemonView<'_>, cx: &mut Context<'_>) {
        let key = self.requests[i].key.clone();
        for domain in self.candidate_domains(i, view) {
            if let Some(placer) = view.members.placer(&domain, cx.now) {
                let key = key.clone();
                cx.out.peer(&placer, PeerMessage::Follow { domain, key, why });
            }
        }
        self.look_up_if_unplaced(i, view, cx);
    }

    fn send_cancel(&mut self, i: usize, view: DaemonView<'_>, cx: &mut Context<'_>) {
        let key = self.requests[i].key.clone();
        for domain in self.candidate_domains(i, view) {
            if let Some(placer) = view.members.placer(&domain, cx.now) {
                let key = key.clone();
                cx.out.peer(&placer, PeerMessage::Cancel { domain, key });
            }
        }
        self.look_up_if_unplaced(i, view, cx);
    }

    /// Lists the domains that may have the job.
    fn candidate_domains(&self, i: usize, view: DaemonView<'_>) -> Vec<DomainId> {
        if let Some(domain) = &self.requests[i].domain {
            return vec![domain.clone()];
        }
        let specs = view.state.map(|state| state.domains.as_slice()).unwrap_or_default();
        specs.iter().map(|spec| spec.id.clone()).collect()
    }

    /// Looks a job up in the store once every reachable placer has denied it or has had time to do
    /// so.
    pub(super) fn look_up_if_unplaced(
        &mut self,
        i: usize,
        view: DaemonView<'_>,
        cx: &mut Context<'_>,
    ) {
        let request = &mut self.requests[i];
        let stale = cx.now.since(request.last_lookup) >= Span(FOLLOW_INTERVAL_MS);
        if request.lookup == Lookup::Open && stale {
            request.lookup = Lookup::Not;
        }
        let request = &self.requests[i];
        let open = request.lookup == Lookup::Not && request.status.is_none();
        let denied = self.candidate_domains(i, view).iter().all(|domain| {
            request.denied_by.binary_search(domain).is_ok()
                || view.members.placer(domain, cx.now).is_none()
        });
        let late = cx.now.since(request.since) >= Span(RETRY_INTERVAL_MS);
        if open && !matches!(request.kind, RequestKind::Submit(_)) && (denied || late) {
            self.look_up(i, cx);
        }
    }
}
