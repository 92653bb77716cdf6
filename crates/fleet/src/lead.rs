//! Election of the leader, which is the placer: the daemon that holds a leased key in the store.
//!
//! The revision at which the key was created is the epoch. Every commit of the placer requires the
//! key to have that revision, so a deposed placer can't write.

use bulrushlink_core::{DaemonId, Moment, Span};

use crate::edge::{Commit, Fault, Output, StoreEvent, StoreOp, StoreReply, Subject, Tag};
use crate::ids::{Epoch, LeaseId, Rev};
use crate::record::keys;

/// Time to live of the leader's lease: long enough for a slow store (400 ms a reply) and a
/// retried renewal, short because no run starts until the lease of a failed leader has expired.
pub(crate) const LEADER_LEASE_TTL: Span = Span(1_500);
/// Renewal interval; two renewals in a row can fail before the lease expires, unless both time out.
const RENEW_INTERVAL: Span = Span(400);
/// Timeout of a renewal.
const RENEW_TIMEOUT: Span = Span(550);
/// Timeout of the other store calls of the election; a slow store takes about 400 ms.
const STORE_TIMEOUT: Span = Span(900);
/// Longest wait of one watch of the leader's key; bounded because a watch can fail silently.
const WATCH_WAIT_MAX: Span = Span(4_000);
/// Time that a watch may take beyond its wait.
const WATCH_MARGIN: Span = Span(700);
/// Shortest delay after a failed call.
const RETRY_DELAY_MIN: Span = Span(100);
/// Upper limit of the random addition to the delay, which keeps candidates from colliding again.
const RETRY_JITTER_MS: u64 = 200;
/// Time for which a weak host leaves a free key to stronger hosts. They need three store replies,
/// which usually take far less. If the store is slow, a weak host may win and hands over later.
const WEAK_HOST_DELAY: Span = Span(250);
/// Interval at which a weak leader checks whether a stronger host has requested a handover.
const HANDOVER_CHECK_INTERVAL: Span = Span(1_000);
/// Time after a handover in which a weak host is no candidate; a strong one needs a fraction of it
/// to be elected.
const HANDOVER_BACKOFF: Span = Span(1_000);
/// Suffix of the key's value when a weak host holds the key.
const WEAK_SUFFIX: &[u8] = b"/weak";
/// Time after the last renewal for which a placer that can't reach the store keeps extending the
/// leases of runs. A successor waits as long before it gives up a worker that it can't reach.
pub(crate) const STORE_OUTAGE_MAX: Span = Span(8_000);
/// Length of the leases of runs that a placer grants while its own lease may have expired. A successor
/// waits until the last of them has expired before it gives up the runs of a worker that it can't
/// reach; with leases of full length it would wait up to 7 s longer. The runs keep going as long as
/// the holds, which are sent every second then, reach the worker.
pub(crate) const UNSURE_LEASE: Span = Span(3_000);

/// A store call of the election, with its ordinal where a late reply must be recognized.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ElectionTag {
    /// Reads the leader's key.
    ReadLeader(u64),
    /// Waits for a change of the leader's key.
    Watch(u64),
    /// Opens a lease.
    OpenLease(u64),
    /// Creates the leader's key under the lease.
    CreateKey(u64),
    /// Requests a handover from a leader on a weak host.
    RequestHandover(u64),
    /// Renews the lease.
    RenewLease(u64),
    /// Reads the handover request, which a stronger host may have written.
    CheckHandover,
    /// Ends the lease.
    EndLease,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Reads the leader's key at the given time.
    Waiting(Moment),
    /// Waits for the reply to the call with this ordinal.
    InFlight(u64),
    /// Leads under a lease.
    Leading {
        lease: LeaseId,
        epoch: Epoch,
        /// Start of the latest successful renewal.
        renewed: Moment,
        /// When the next renewal is due.
        next: Moment,
        /// Start of the renewal in flight.
        renewing: Option<Moment>,
    },
    /// Never leads again, as the process is stopping.
    Resigned,
}

/// A change of this daemon's leadership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LeaderChange {
    /// This daemon has become the leader.
    Elected(Epoch),
    /// This daemon is no longer the leader.
    Deposed,
}

/// State of this daemon in the election.
#[derive(Debug)]
pub(crate) struct Election {
    /// Identifies this process: the daemon and its incarnation.
    identity: String,
    phase: Phase,
    ordinal: u64,
    /// Open lease for the leader's key, and when it was requested.
    lease: Option<(LeaseId, Moment)>,
    /// When a lease was last requested. A lease counts from then on, before the store opens it, so
    /// that it never counts as valid for too long.
    lease_requested: Moment,
    /// This host has little processor time, so stronger hosts have precedence.
    weak: bool,
    /// When the key was first seen to be free; `None` while a daemon holds it.
    free_since: Option<Moment>,
    /// Epoch of the weak leader from which a handover was requested.
    handover_requested: Option<Rev>,
    /// When the next check for a handover request is due.
    handover_check: Moment,
    random: fastrand::Rng,
}

impl Election {
    pub(crate) fn new(daemon: &DaemonId, incarnation: u64, weak: bool) -> Self {
        Self {
            identity: format!("{daemon}/{incarnation}"),
            phase: Phase::Waiting(Moment::default()),
            ordinal: 0,
            lease: None,
            lease_requested: Moment::default(),
            weak,
            free_since: None,
            handover_requested: None,
            handover_check: Moment::default(),
            random: fastrand::Rng::with_seed(incarnation),
        }
    }

    /// Returns true if the lease can't have expired yet, so that no other daemon leads.
    pub(crate) fn holds_lease(&self, now: Moment) -> bool {
        match self.phase {
            Phase::Leading { renewed, .. } => now.since(renewed) < LEADER_LEASE_TTL,
            _ => false,
        }
    }

    /// Returns true if this daemon may extend the leases of runs. It stays the leader after that: its lease
    /// may have been paused with the store, and then it knows of ends that no record has.
    pub(crate) fn extends_leases(&self, now: Moment) -> bool {
        match self.phase {
            Phase::Leading { renewed, .. } => now.since(renewed) < STORE_OUTAGE_MAX,
            _ => false,
        }
    }

    /// Returns the lease of the leader's key, while this daemon is the leader.
    pub(crate) fn leader_lease(&self) -> Option<LeaseId> {
        match self.phase {
            Phase::Leading { lease, .. } => Some(lease),
            _ => None,
        }
    }

    pub(crate) fn due(&self) -> Option<Moment> {
        match self.phase {
            Phase::Waiting(until) => Some(until),
            Phase::Leading { next, renewing: None, .. } => Some(next),
            Phase::Leading { .. } | Phase::InFlight(_) | Phase::Resigned => None,
        }
    }

    pub(crate) fn tick(&mut self, now: Moment, out: &mut Vec<Output>) -> Option<LeaderChange> {
        if self.weak && matches!(self.phase, Phase::Leading { .. }) && now >= self.handover_check {
            self.handover_check = now + HANDOVER_CHECK_INTERVAL;
            let op = StoreOp::Get(keys::HANDOVER.to_string());
            out.push(Output::Store(Tag::Election(ElectionTag::CheckHandover), op, STORE_TIMEOUT));
        }
        match self.phase {
            Phase::Waiting(until) if now >= until => {
                let op = StoreOp::Get(keys::LEADER.to_string());
                self.call_store(op, STORE_TIMEOUT, ElectionTag::ReadLeader, out);
                None
            }
            Phase::Leading { lease, epoch, renewed, next, renewing: None } if now >= next => {
                self.ordinal += 1;
                let tag = Tag::Election(ElectionTag::RenewLease(self.ordinal));
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
        tag: ElectionTag,
        result: Result<StoreReply, Fault>,
        out: &mut Vec<Output>,
    ) -> Option<LeaderChange> {
        if let ElectionTag::RenewLease(ordinal) = tag {
            return self.renewal_answered(now, ordinal, result);
        }
        if tag == ElectionTag::CheckHandover {
            return self.handover_read(now, result, out);
        }
        let current = match tag {
            ElectionTag::ReadLeader(n)
            | ElectionTag::Watch(n)
            | ElectionTag::OpenLease(n)
            | ElectionTag::CreateKey(n)
            | ElectionTag::RequestHandover(n) => n,
            ElectionTag::RenewLease(_) | ElectionTag::CheckHandover | ElectionTag::EndLease => {
                return None;
            }
        };
        if self.phase != Phase::InFlight(current) {
            return None;
        }
        match (tag, result) {
            (ElectionTag::ReadLeader(_), Ok(StoreReply::Item(item, as_of))) => {
                return self.leader_read(now, item.map(|i| (i.value, i.rev)), as_of, out);
            }
            (ElectionTag::Watch(_), Ok(StoreReply::Events(events, as_of))) => {
                self.watch_answered(now, &events, as_of, out);
            }
            (ElectionTag::OpenLease(_), Ok(StoreReply::Lease(lease, _))) => {
                self.lease = Some((lease, self.lease_requested));
                self.create_key(lease, out);
            }
            (ElectionTag::CreateKey(_), Ok(StoreReply::Committed(rev))) => {
                return self.elected(now, rev);
            }
            // The next read finds the key free or leads to a watch of it.
            (ElectionTag::RequestHandover(_), Ok(_)) => self.phase = Phase::Waiting(now),
            (_, Ok(_)) => self.back_off(now),
            (tag, Err(fault)) => {
                if matches!(tag, ElectionTag::RequestHandover(_)) {
                    self.handover_requested = None;
                }
                log::debug!(event = "election_fault", cause:% = fault; "store call of the election failed");
                self.back_off(now);
            }
        }
        None
    }

    /// Gives up the leadership for good and frees the key, so that another daemon is elected at
    /// once.
    pub(crate) fn resign(&mut self, out: &mut Vec<Output>) {
        if let Phase::Leading { lease, .. } = self.phase {
            self.end_lease(lease, out);
            log::info!(event = "leader_resigned"; "leader's lease ended before the process stops");
        }
        self.phase = Phase::Resigned;
    }

    /// Stops leading after a store call has shown that another daemon holds the key.
    pub(crate) fn step_down(&mut self, now: Moment) {
        if matches!(self.phase, Phase::Leading { .. }) {
            self.back_off(now);
        }
    }

    fn end_lease(&self, lease: LeaseId, out: &mut Vec<Output>) {
        let op = StoreOp::EndLease(lease);
        out.push(Output::Store(Tag::Election(ElectionTag::EndLease), op, STORE_TIMEOUT));
    }

    fn call_store(
        &mut self,
        op: StoreOp,
        timeout: Span,
        tag: impl Fn(u64) -> ElectionTag,
        out: &mut Vec<Output>,
    ) {
        self.ordinal += 1;
        self.phase = Phase::InFlight(self.ordinal);
        out.push(Output::Store(Tag::Election(tag(self.ordinal)), op, timeout));
    }

    fn back_off(&mut self, now: Moment) {
        let jitter = Span(self.random.u64(..RETRY_JITTER_MS));
        self.phase = Phase::Waiting(now + RETRY_DELAY_MIN + jitter);
    }

    fn leader_read(
        &mut self,
        now: Moment,
        holder: Option<(Vec<u8>, Rev)>,
        as_of: Rev,
        out: &mut Vec<Output>,
    ) -> Option<LeaderChange> {
        match holder {
            // A commit of this process whose reply was lost has created the key. A key under an
            // earlier lease, which is no longer renewed, is left to expire.
            Some((value, rev)) if self.lease.is_some_and(|(l, _)| value == self.key_value(l)) => {
                match self.lease {
                    Some((lease, began)) if now.since(began) >= LEADER_LEASE_TTL => {
                        // The lease can't be trusted any more, but may exist for a while.
                        self.lease = None;
                        self.end_lease(lease, out);
                        self.back_off(now);
                    }
                    _ => return self.elected(now, rev),
                }
            }
            Some((value, rev)) => {
                self.free_since = None;
                let weak = value.ends_with(WEAK_SUFFIX);
                if weak && !self.weak && self.handover_requested != Some(rev) {
                    self.request_handover(rev, out);
                } else {
                    self.watch_leader(as_of, out);
                }
            }
            None => self.campaign(now, out),
        }
        None
    }

    /// Requests a handover from the weak leader of `epoch`.
    fn request_handover(&mut self, epoch: Rev, out: &mut Vec<Output>) {
        self.handover_requested = Some(epoch);
        let commit = Commit {
            expect: vec![(Subject::Key(keys::LEADER.to_string()), epoch)],
            writes: vec![(keys::HANDOVER.to_string(), self.identity.clone().into_bytes(), None)],
            removes: Vec::new(),
        };
        self.call_store(StoreOp::Commit(commit), STORE_TIMEOUT, ElectionTag::RequestHandover, out);
    }

    /// Gives up the key if a handover was requested in the current epoch.
    fn handover_read(
        &mut self,
        now: Moment,
        result: Result<StoreReply, Fault>,
        out: &mut Vec<Output>,
    ) -> Option<LeaderChange> {
        let Phase::Leading { lease, epoch, .. } = self.phase else { return None };
        match result {
            Ok(StoreReply::Item(Some(item), _)) if item.rev.0 > epoch.0 => {
                let asked_by = String::from_utf8_lossy(&item.value).into_owned();
                log::info!(event = "leader_resigned", epoch:% = epoch, asked_by:% = asked_by; "handing over to a stronger host");
                self.end_lease(lease, out);
                self.phase = Phase::Waiting(now + HANDOVER_BACKOFF);
                Some(LeaderChange::Deposed)
            }
            Ok(_) => None,
            Err(fault) => {
                log::debug!(event = "election_fault", cause:% = fault; "handover request not read");
                None
            }
        }
    }

    /// Tries to create the free key; a weak host first waits to let stronger ones create it.
    fn campaign(&mut self, now: Moment, out: &mut Vec<Output>) {
        let since = *self.free_since.get_or_insert(now);
        if self.weak && now.since(since) < WEAK_HOST_DELAY {
            self.phase = Phase::Waiting(since + WEAK_HOST_DELAY);
            return;
        }
        // A lease that an earlier attempt requested within the renewal interval is used again.
        match self.lease {
            Some((lease, began)) if now.since(began) < RENEW_INTERVAL => {
                self.create_key(lease, out)
            }
            _ => {
                self.lease = None;
                self.lease_requested = now;
                self.call_store(
                    StoreOp::OpenLease(LEADER_LEASE_TTL),
                    STORE_TIMEOUT,
                    ElectionTag::OpenLease,
                    out,
                );
            }
        }
    }

    /// Returns the value that this process writes to the leader's key under a lease.
    fn key_value(&self, lease: LeaseId) -> Vec<u8> {
        let mut value = format!("{}/{lease}", self.identity).into_bytes();
        if self.weak {
            value.extend_from_slice(WEAK_SUFFIX);
        }
        value
    }

    fn watch_leader(&mut self, after: Rev, out: &mut Vec<Output>) {
        let op = StoreOp::Watch(keys::LEADER.to_string(), after, WATCH_WAIT_MAX);
        self.call_store(op, WATCH_WAIT_MAX + WATCH_MARGIN, ElectionTag::Watch, out);
    }

    fn watch_answered(
        &mut self,
        now: Moment,
        events: &[StoreEvent],
        as_of: Rev,
        out: &mut Vec<Output>,
    ) {
        match events.last() {
            Some(StoreEvent::Written(_)) => self.watch_leader(as_of, out),
            Some(StoreEvent::Removed(_)) => self.phase = Phase::Waiting(now),
            // A silent watch may be broken, so the key is read again.
            None => self.phase = Phase::Waiting(now),
        }
    }

    fn create_key(&mut self, lease: LeaseId, out: &mut Vec<Output>) {
        let key = keys::LEADER.to_string();
        let commit = Commit {
            expect: vec![(Subject::Key(key.clone()), Rev::ABSENT)],
            writes: vec![(key, self.key_value(lease), Some(lease))],
            removes: Vec::new(),
        };
        self.call_store(StoreOp::Commit(commit), STORE_TIMEOUT, ElectionTag::CreateKey, out);
    }

    fn elected(&mut self, now: Moment, rev: Rev) -> Option<LeaderChange> {
        let Some((lease, began)) = self.lease else {
            self.back_off(now);
            return None;
        };
        let epoch = Epoch(rev.0);
        self.free_since = None;
        self.phase = Phase::Leading {
            lease,
            epoch,
            renewed: began,
            next: began + RENEW_INTERVAL,
            renewing: None,
        };
        log::info!(event = "elected", epoch:% = epoch; "elected as leader; loading the records");
        Some(LeaderChange::Elected(epoch))
    }

    fn renewal_answered(
        &mut self,
        now: Moment,
        ordinal: u64,
        result: Result<StoreReply, Fault>,
    ) -> Option<LeaderChange> {
        let Phase::Leading { lease, epoch, renewed, renewing: Some(began), .. } = self.phase else {
            return None;
        };
        if ordinal != self.ordinal {
            return None;
        }
        let (renewed, next) = match result {
            Ok(StoreReply::Lease(..)) => (began, began + RENEW_INTERVAL),
            Ok(_) => {
                log::warn!(event = "deposed", epoch:% = epoch; "leader's lease has expired");
                self.back_off(now);
                return Some(LeaderChange::Deposed);
            }
            Err(fault) => {
                log::warn!(event = "renewal_failed", cause:% = fault; "leader's lease not renewed; retrying");
                (renewed, now + RETRY_DELAY_MIN)
            }
        };
        self.phase = Phase::Leading { lease, epoch, renewed, next, renewing: None };
        None
    }
}
