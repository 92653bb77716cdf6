//! Election of the placer: the holder of a leased key in the store.
//!
//! The revision at which the key was created is the epoch. Everything that the placer writes has
//! that revision among its conditions, so that a deposed one can't write.

use bulrushlink_core::{DaemonId, Moment, Span};

use crate::edge::{Commit, Fault, Output, StoreEvent, StoreOp, StoreReply, Subject, Tag};
use crate::ids::{Epoch, LeaseId, Rev};
use crate::record::keys;

/// Life of the key without renewal: long enough for the answers of a slow store (400 ms) and a
/// repeated renewal, short because nothing starts while it runs out.
const LEASE: Span = Span(1_500);
/// Period of renewal, so that two renewals can fail.
const RENEW_EVERY: Span = Span(400);
/// Time for an answer to a renewal.
const RENEW_TIMEOUT: Span = Span(550);
/// Time for an answer to a step of the election; see [`LEASE`].
const STEP_TIMEOUT: Span = Span(900);
/// Longest wait for the end of another placer; a watch may fall silent.
const WATCH_WAIT: Span = Span(4_000);
/// What a watch may take beyond its wait.
const WATCH_SLACK: Span = Span(700);
/// Shortest pause after a failed step.
const RETRY_MIN: Span = Span(100);
/// Random addition to the pause, so that the candidates don't meet again.
const RETRY_JITTER_MS: u64 = 200;
/// Time for which a weak host leaves the key to stronger ones: far more than the three answers of the
/// store that they need on a calm day. If the store is slow, a weak host may be first and hands over.
const WEAK_WAIT: Span = Span(250);
/// Period in which a weak placer looks whether a strong host asks for its place.
const HANDOVER_EVERY: Span = Span(1_000);
/// Time after a handover in which a weak host doesn't stand again: a strong one needs a fraction.
const HANDOVER_REST: Span = Span(1_000);
/// Ends the key's value when a weak host holds it.
const WEAK_MARK: &[u8] = b"/weak";
/// Time after the last renewal for which a placer that can't reach the store keeps the runs of its
/// workers alive. A successor waits as long before it gives up a worker that it can't reach.
pub(crate) const HOLD_ON: Span = Span(8_000);

/// A step of the election.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeadTag {
    /// Looks who leads.
    Look(u64),
    /// Waits until nobody leads.
    Watch(u64),
    /// Opens a lease.
    Open(u64),
    /// Claims the key.
    Claim(u64),
    /// Asks a weak host for the key.
    Ask(u64),
    /// Renews the lease.
    Renew(u64),
    /// Looks whether a strong host asks for the key.
    Handover,
    /// Ends the lease.
    End,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Waits until the given time before it looks again.
    Rest(Moment),
    /// Waits for the answer to a step with this ordinal.
    Step(u64),
    /// Leads under a lease.
    Leading {
        lease: LeaseId,
        epoch: Epoch,
        renewed: Moment,
        next: Moment,
        renewing: Option<Moment>,
    },
    /// Will not lead any more.
    Retired,
}

/// What has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Turn {
    /// This daemon leads now.
    Elected(Epoch),
    /// It doesn't any more.
    Deposed,
}

/// This daemon's part in the election.
#[derive(Debug)]
pub(crate) struct Lead {
    /// Value of the key when this process holds it.
    name: Vec<u8>,
    phase: Phase,
    ordinal: u64,
    /// Lease to claim with, and when it was asked for.
    lease: Option<(LeaseId, Moment)>,
    /// Stronger hosts go first.
    weak: bool,
    /// When the key was first seen to be free; none while somebody holds it.
    free_since: Option<Moment>,
    /// The epoch of a weak host that has been asked for the key.
    asked: Option<Rev>,
    /// When to look next whether the key is asked for.
    handover: Moment,
    random: fastrand::Rng,
}

impl Lead {
    pub(crate) fn open(daemon: &DaemonId, incarnation: u64, weak: bool) -> Self {
        let mut name = format!("{daemon}/{incarnation}").into_bytes();
        if weak {
            name.extend_from_slice(WEAK_MARK);
        }
        Self {
            name,
            phase: Phase::Rest(Moment::default()),
            ordinal: 0,
            lease: None,
            weak,
            free_since: None,
            asked: None,
            handover: Moment::default(),
            random: fastrand::Rng::with_seed(incarnation),
        }
    }

    /// Tells whether the lease surely runs, so that nobody else leads.
    pub(crate) fn is_sure(&self, now: Moment) -> bool {
        match self.phase {
            Phase::Leading { renewed, .. } => now.since(renewed) < LEASE,
            _ => false,
        }
    }

    pub(crate) fn due(&self) -> Option<Moment> {
        match self.phase {
            Phase::Rest(until) => Some(until),
            Phase::Leading { renewed, next, renewing: None, .. } => {
                Some(next.min(renewed + HOLD_ON))
            }
            Phase::Leading { renewed, .. } => Some(renewed + HOLD_ON),
            Phase::Step(_) | Phase::Retired => None,
        }
    }

    pub(crate) fn tick(&mut self, now: Moment, out: &mut Vec<Output>) -> Option<Turn> {
        if self.weak && matches!(self.phase, Phase::Leading { .. }) && now >= self.handover {
            self.handover = now + HANDOVER_EVERY;
            let op = StoreOp::Get(keys::HANDOVER.to_string());
            out.push(Output::Store(Tag::Lead(LeadTag::Handover), op, STEP_TIMEOUT));
        }
        match self.phase {
            Phase::Rest(until) if now >= until => {
                let op = StoreOp::Get(keys::LEADER.to_string());
                self.step(op, STEP_TIMEOUT, LeadTag::Look, out);
                None
            }
            Phase::Leading { renewed, .. } if now.since(renewed) >= HOLD_ON => {
                log::warn!(event = "deposed"; "no renewal for {}", now.since(renewed));
                self.rest(now);
                Some(Turn::Deposed)
            }
            Phase::Leading { lease, epoch, renewed, next, renewing: None } if now >= next => {
                self.ordinal += 1;
                let tag = Tag::Lead(LeadTag::Renew(self.ordinal));
                out.push(Output::Store(tag, StoreOp::RenewLease(lease), RENEW_TIMEOUT));
                let renewing = Some(now);
                self.phase = Phase::Leading { lease, epoch, renewed, next, renewing };
                None
            }
            _ => None,
        }
    }

    pub(crate) fn answered(
        &mut self,
        now: Moment,
        tag: LeadTag,
        result: Result<StoreReply, Fault>,
        out: &mut Vec<Output>,
    ) -> Option<Turn> {
        if let LeadTag::Renew(ordinal) = tag {
            return self.renewed(now, ordinal, result);
        }
        if tag == LeadTag::Handover {
            return self.hand_over(now, result, out);
        }
        let current = match tag {
            LeadTag::Look(n)
            | LeadTag::Watch(n)
            | LeadTag::Open(n)
            | LeadTag::Claim(n)
            | LeadTag::Ask(n) => n,
            LeadTag::Renew(_) | LeadTag::Handover | LeadTag::End => return None,
        };
        if self.phase != Phase::Step(current) {
            return None;
        }
        match (tag, result) {
            (LeadTag::Look(_), Ok(StoreReply::Item(item, as_of))) => {
                return self.looked(now, item.map(|i| (i.value, i.rev)), as_of, out);
            }
            (LeadTag::Watch(_), Ok(StoreReply::Events(events, as_of))) => {
                self.watched(now, &events, as_of, out);
            }
            (LeadTag::Open(_), Ok(StoreReply::Lease(lease, _))) => {
                let began = self.lease.map_or(now, |(_, began)| began);
                self.lease = Some((lease, began));
                self.claim(lease, out);
            }
            (LeadTag::Claim(_), Ok(StoreReply::Committed(rev))) => return self.elected(now, rev),
            // The look that follows finds the key free, or waits for that.
            (LeadTag::Ask(_), Ok(_)) => self.phase = Phase::Rest(now),
            (_, Ok(_)) => self.rest(now),
            (tag, Err(fault)) => {
                if matches!(tag, LeadTag::Ask(_)) {
                    self.asked = None;
                }
                log::debug!(event = "election_fault", cause:% = fault; "election step failed");
                self.rest(now);
            }
        }
        None
    }

    /// Gives the key up, so that another daemon leads at once.
    pub(crate) fn retire(&mut self, out: &mut Vec<Output>) {
        if let Phase::Leading { lease, .. } = self.phase {
            out.push(Output::Store(
                Tag::Lead(LeadTag::End),
                StoreOp::EndLease(lease),
                STEP_TIMEOUT,
            ));
            log::info!(event = "leader_resigned"; "the leader's key is given up");
        }
        self.phase = Phase::Retired;
    }

    /// Stops leading because a call has shown that another daemon does.
    pub(crate) fn depose(&mut self, now: Moment) {
        if matches!(self.phase, Phase::Leading { .. }) {
            self.rest(now);
        }
    }

    fn step(
        &mut self,
        op: StoreOp,
        timeout: Span,
        tag: impl Fn(u64) -> LeadTag,
        out: &mut Vec<Output>,
    ) {
        self.ordinal += 1;
        self.phase = Phase::Step(self.ordinal);
        out.push(Output::Store(Tag::Lead(tag(self.ordinal)), op, timeout));
    }

    fn rest(&mut self, now: Moment) {
        let jitter = Span(self.random.u64(..RETRY_JITTER_MS));
        self.phase = Phase::Rest(now + RETRY_MIN + jitter);
    }

    fn looked(
        &mut self,
        now: Moment,
        holder: Option<(Vec<u8>, Rev)>,
        as_of: Rev,
        out: &mut Vec<Output>,
    ) -> Option<Turn> {
        match holder {
            // An unanswered claim of this process was carried out.
            Some((value, rev)) if value == self.name => return self.elected(now, rev),
            Some((value, rev)) => {
                self.free_since = None;
                let weak = value.ends_with(WEAK_MARK);
                if weak && !self.weak && self.asked != Some(rev) {
                    self.ask(rev, out);
                } else {
                    self.watch(as_of, out);
                }
            }
            None => self.stand(now, out),
        }
        None
    }

    /// Asks the weak host that leads under an epoch to hand the key over.
    fn ask(&mut self, epoch: Rev, out: &mut Vec<Output>) {
        self.asked = Some(epoch);
        let commit = Commit {
            expect: vec![(Subject::Key(keys::LEADER.to_string()), epoch)],
            writes: vec![(keys::HANDOVER.to_string(), self.name.clone(), None)],
            removes: Vec::new(),
        };
        self.step(StoreOp::Commit(commit), STEP_TIMEOUT, LeadTag::Ask, out);
    }

    /// Gives the key up if it has been asked for under the present epoch.
    fn hand_over(
        &mut self,
        now: Moment,
        result: Result<StoreReply, Fault>,
        out: &mut Vec<Output>,
    ) -> Option<Turn> {
        let Phase::Leading { lease, epoch, .. } = self.phase else { return None };
        match result {
            Ok(StoreReply::Item(Some(item), _)) if item.rev.0 > epoch.0 => {
                let name = String::from_utf8_lossy(&item.value).into_owned();
                log::info!(event = "leader_resigned", epoch:% = epoch, asked_by:% = name; "a stronger host takes over");
                let op = StoreOp::EndLease(lease);
                out.push(Output::Store(Tag::Lead(LeadTag::End), op, STEP_TIMEOUT));
                self.phase = Phase::Rest(now + HANDOVER_REST);
                Some(Turn::Deposed)
            }
            Ok(_) => None,
            Err(fault) => {
                log::debug!(event = "election_fault", cause:% = fault; "no look at the handover");
                None
            }
        }
    }

    /// Goes for the free key, after the stronger hosts.
    fn stand(&mut self, now: Moment, out: &mut Vec<Output>) {
        let since = *self.free_since.get_or_insert(now);
        if self.weak && now.since(since) < WEAK_WAIT {
            self.phase = Phase::Rest(since + WEAK_WAIT);
            return;
        }
        match self.lease {
            Some((lease, began)) if now.since(began) < RENEW_EVERY => self.claim(lease, out),
            _ => {
                self.lease = Some((LeaseId(0), now));
                self.step(StoreOp::OpenLease(LEASE), STEP_TIMEOUT, LeadTag::Open, out);
            }
        }
    }

    fn watch(&mut self, after: Rev, out: &mut Vec<Output>) {
        let op = StoreOp::Watch(keys::LEADER.to_string(), after, WATCH_WAIT);
        self.step(op, WATCH_WAIT + WATCH_SLACK, LeadTag::Watch, out);
    }

    fn watched(&mut self, now: Moment, events: &[StoreEvent], as_of: Rev, out: &mut Vec<Output>) {
        match events.last() {
            Some(StoreEvent::Written(_)) => self.watch(as_of, out),
            Some(StoreEvent::Removed(_)) => self.phase = Phase::Rest(now),
            // Silence proves nothing, so that the key is looked at again.
            None => self.phase = Phase::Rest(now),
        }
    }

    fn claim(&mut self, lease: LeaseId, out: &mut Vec<Output>) {
        let key = keys::LEADER.to_string();
        let commit = Commit {
            expect: vec![(Subject::Key(key.clone()), Rev::ABSENT)],
            writes: vec![(key, self.name.clone(), Some(lease))],
            removes: Vec::new(),
        };
        self.step(StoreOp::Commit(commit), STEP_TIMEOUT, LeadTag::Claim, out);
    }

    fn elected(&mut self, now: Moment, rev: Rev) -> Option<Turn> {
        let Some((lease, began)) = self.lease else {
            self.rest(now);
            return None;
        };
        let epoch = Epoch(rev.0);
        self.free_since = None;
        self.phase = Phase::Leading {
            lease,
            epoch,
            renewed: began,
            next: began + RENEW_EVERY,
            renewing: None,
        };
        log::info!(event = "elected", epoch:% = epoch; "this daemon places from now on");
        Some(Turn::Elected(epoch))
    }

    fn renewed(
        &mut self,
        now: Moment,
        ordinal: u64,
        result: Result<StoreReply, Fault>,
    ) -> Option<Turn> {
        let Phase::Leading { lease, epoch, renewed, renewing: Some(began), .. } = self.phase else {
            return None;
        };
        if ordinal != self.ordinal {
            return None;
        }
        let (renewed, next) = match result {
            Ok(StoreReply::Lease(..)) => (began, began + RENEW_EVERY),
            Ok(_) => {
                log::warn!(event = "deposed", epoch:% = epoch; "the lease has ended");
                self.rest(now);
                return Some(Turn::Deposed);
            }
            Err(fault) => {
                log::warn!(event = "renewal_failed", cause:% = fault; "lease not renewed");
                (renewed, now + RETRY_MIN)
            }
        };
        self.phase = Phase::Leading { lease, epoch, renewed, next, renewing: None };
        None
    }
}
