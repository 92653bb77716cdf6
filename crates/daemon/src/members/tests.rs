mod model;

use bulrushlink_core::{DaemonId, Moment, NoteVersion, Span};

use super::{Announcement, Members};
use crate::edge::{Context, Outbox, Output};
use crate::node::tests::net::{Net, StoreMode, settings};
use crate::peer::{Echo, Heartbeat, PeerMessage, Phase};

const FIVE: &[(&str, usize)] = &[("cuenca", 5)];
const GRACE: Span = Span::from_secs(10);
const LONGEST_GRACE: Span = Span::from_secs(10);

/// One `Members` that receives hand-made heartbeats.
struct Fixture {
    members: Members,
    settings: crate::settings::Settings,
    now: Moment,
}

impl Fixture {
    /// Opens `cuenca-0`, one of five daemons, with `version` in force.
    fn open(version: u64) -> Self {
        let settings = settings("cuenca-0", FIVE);
        let now = Moment(50_000);
        let mut fixture = Self { members: Members::open(&settings, now, 7), settings, now };
        fixture.announce(version);
        fixture
    }

    fn announce(&mut self, version: u64) {
        let announcement = Announcement {
            version: NoteVersion(version),
            phase: Phase::Ready,
            ..Announcement::default()
        };
        self.members.announce(announcement, self.now);
    }

    /// Delivers a heartbeat of daemon `i` that echoes the stamp of `echo` ms ago and carries a
    /// contact of `contact` ms ago.
    fn receive(&mut self, i: usize, version: u64, echo: u64, contact: Option<u64>) -> Vec<Output> {
        let stamp = self.now - Span(echo);
        let beat = Heartbeat {
            incarnation: 1,
            stamp: self.now,
            echo: Some(Echo { incarnation: 7, stamp }),
            ask: false,
            version: NoteVersion(version),
            phase: Phase::Ready,
            placing: false,
            placer: None,
            load: Default::default(),
            contact: contact.map(Span),
        };
        self.deliver(i, beat)
    }

    fn deliver(&mut self, i: usize, beat: Heartbeat) -> Vec<Output> {
        let from = id(i);
        self.with(|members, cx| members.on_heartbeat(&from, beat, cx))
    }

    fn with(&mut self, act: impl FnOnce(&mut Members, &mut Context<'_>)) -> Vec<Output> {
        let mut out = Outbox::default();
        let (now, settings) = (self.now, &self.settings);
        let mut cx = Context { now, wall: 0, may_start: true, settings, out: &mut out };
        act(&mut self.members, &mut cx);
        out.take()
    }

    fn wait(&mut self, ms: u64) {
        self.now += Span(ms);
    }

    fn is_permitted(&self) -> bool {
        self.members.may_start(self.now, GRACE)
    }

    /// Returns whether the rollout of version 2 is done, and the daemons that it waits for.
    fn rollout(&self) -> (bool, Vec<DaemonId>) {
        let rollout = self.members.rollout(NoteVersion(2), LONGEST_GRACE, self.now);
        (rollout.done, rollout.pending)
    }
}

fn id(i: usize) -> DaemonId {
    format!("cuenca-{i}").parse().unwrap()
}

/// Age of a contact beyond the grace: the peer counts towards majorities, but its contact permits
/// nothing.
const EXPIRED_CONTACT: Option<u64> = Some(20_000);

/// Guards against starts on an outdated version after a restart: a restarted daemon that counts
/// itself towards the majority needs one confirmation less than is safe.
#[test]
fn restarted_daemon_needs_majority_of_others_or_store() {
    let mut fixture = Fixture::open(1);
    assert!(!fixture.is_permitted());
    fixture.receive(1, 1, 0, Some(0));
    fixture.receive(2, 1, 0, Some(0));
    assert!(!fixture.is_permitted(), "a restarted daemon counts towards no majority");
    fixture.receive(3, 1, 0, Some(0));
    assert!(fixture.is_permitted());

    let mut fixture = Fixture::open(1);
    fixture.members.on_store_contact(fixture.now);
    assert!(fixture.is_permitted());
}

/// Guards against a majority of restarted daemons that have lost a newer version which they had
/// confirmed.
#[test]
fn peer_without_contact_counts_towards_no_majority() {
    let mut fixture = Fixture::open(1);
    fixture.members.on_store_contact(fixture.now);
    fixture.wait(GRACE.millis() + 1);
    for i in 1..5 {
        fixture.receive(i, 1, 0, None);
    }
    assert!(!fixture.is_permitted());
    fixture.receive(1, 1, 0, EXPIRED_CONTACT);
    fixture.receive(2, 1, 0, EXPIRED_CONTACT);
    assert!(fixture.is_permitted());
}

/// Guards against a daemon on an old version that renews its permit by heartbeats of daemons that
/// already have a newer one.
#[test]
fn peer_with_higher_version_counts_towards_no_majority() {
    let mut fixture = Fixture::open(1);
    fixture.members.on_store_contact(fixture.now);
    fixture.wait(GRACE.millis() + 1);
    fixture.receive(1, 1, 0, EXPIRED_CONTACT);
    for i in 2..5 {
        fixture.receive(i, 2, 0, Some(0));
    }
    assert!(!fixture.is_permitted());
}

/// Guards against a delayed heartbeat that extends the permit or keeps its sender live beyond the
/// time at which its content was true.
#[test]
fn contact_is_dated_by_echoed_stamp_not_by_arrival() {
    let mut fixture = Fixture::open(1);
    fixture.members.on_store_contact(fixture.now);
    fixture.wait(GRACE.millis() + 1);
    for i in 1..5 {
        fixture.receive(i, 1, GRACE.millis() + 1, EXPIRED_CONTACT);
    }
    assert!(!fixture.is_permitted());
    assert_eq!(fixture.members.live(&"cuenca".parse().unwrap(), fixture.now), vec![id(0)]);
    for i in 1..5 {
        fixture.receive(i, 1, 4_000, EXPIRED_CONTACT);
    }
    assert!(fixture.is_permitted());
    fixture.wait(6_001);
    assert!(!fixture.is_permitted());
}

/// Guards against the contact of a peer that counts as fresh on receipt, although it was already
/// old when the peer passed it on.
#[test]
fn contact_of_peer_keeps_its_age() {
    let mut fixture = Fixture::open(1);
    fixture.receive(1, 1, 0, Some(0));
    assert!(!fixture.is_permitted(), "a restarted daemon does not adopt the contact of one peer");
    fixture.members.on_store_contact(fixture.now);
    fixture.wait(GRACE.millis() + 1);
    fixture.receive(1, 1, 1_000, Some(8_000));
    assert!(fixture.is_permitted());
    fixture.wait(1_001);
    assert!(!fixture.is_permitted());
}

/// Guards against a rollout that counts confirmations from different moments: a daemon may have
/// restarted and lost the version in between, so that there never was a majority.
#[test]
fn majority_must_have_version_simultaneously() {
    let mut fixture = Fixture::open(1);
    fixture.members.on_store_contact(fixture.now);
    fixture.announce(2);
    fixture.wait(1_000);
    fixture.receive(1, 2, 1_000, Some(0));
    fixture.wait(1_000);
    fixture.receive(2, 2, 0, Some(0));
    let rollout = fixture.members.rollout(NoteVersion(2), LONGEST_GRACE, fixture.now);
    assert_eq!(rollout.done_within, None, "daemon 1 may have restarted since");
    fixture.wait(1_000);
    fixture.receive(1, 2, 1_000, Some(0));
    let rollout = fixture.members.rollout(NoteVersion(2), LONGEST_GRACE, fixture.now);
    assert_eq!(rollout.done_within, Some(Span(11_000)));
    assert_eq!(rollout.pending, vec![id(3), id(4)]);
}

/// Guards against a confirmation from before the majority moment: its sender may have restarted
/// since, without the version.
#[test]
fn daemon_is_pending_until_it_confirms_after_majority() {
    let mut fixture = Fixture::open(1);
    fixture.members.on_store_contact(fixture.now);
    fixture.announce(2);
    fixture.wait(100);
    fixture.receive(3, 2, 50, Some(0));
    fixture.wait(1_000);
    fixture.receive(1, 2, 0, Some(0));
    fixture.receive(2, 2, 0, Some(0));
    fixture.receive(4, 2, 0, Some(0));
    assert_eq!(fixture.rollout(), (false, vec![id(3)]));
    fixture.receive(3, 2, 0, Some(0));
    assert_eq!(fixture.rollout(), (true, vec![]));
}

/// Guards against reporting a version as in force everywhere while an unreachable daemon can still
/// start work on an older version within its grace.
#[test]
fn silent_daemon_is_pending_until_its_grace_has_expired() {
    let mut fixture = Fixture::open(1);
    fixture.announce(2);
    fixture.receive(1, 2, 0, None);
    fixture.receive(2, 2, 0, None);
    assert_eq!(fixture.rollout(), (false, vec![id(3), id(4)]));
    fixture.wait(11_999);
    assert_eq!(fixture.rollout(), (false, vec![id(3), id(4)]));
    fixture.wait(1);
    assert_eq!(fixture.rollout(), (true, vec![]));
}

/// Guards against datagrams that arrive out of order or from an earlier incarnation and overwrite
/// newer state, and against keeping the state of a daemon that has restarted.
#[test]
fn outdated_heartbeats_are_ignored_and_new_incarnation_replaces_state() {
    let beat = |incarnation, stamp, version| Heartbeat {
        incarnation,
        stamp: Moment(stamp),
        echo: None,
        ask: true,
        version: NoteVersion(version),
        phase: Phase::Ready,
        placing: false,
        placer: None,
        load: Default::default(),
        contact: None,
    };
    let mut fixture = Fixture::open(1);
    let version_of_peer = |fixture: &Fixture| fixture.members.in_force(fixture.now)[1].version;
    assert_eq!(fixture.deliver(1, beat(2, 10, 3)).len(), 1);
    assert_eq!(fixture.deliver(1, beat(2, 9, 2)).len(), 0);
    assert_eq!(fixture.deliver(1, beat(1, 90, 9)).len(), 0);
    assert_eq!(version_of_peer(&fixture), Some(NoteVersion(3)));
    fixture.deliver(1, beat(3, 1, 0));
    assert_eq!(version_of_peer(&fixture), Some(NoteVersion(0)));
}

/// Guards against starts on an outdated version right after a pause of the process, during which
/// the other daemons may have completed a rollout.
#[test]
fn paused_daemon_withholds_starts_until_new_contact() {
    let mut fixture = Fixture::open(1);
    fixture.members.on_store_contact(fixture.now);
    fixture.wait(2_000);
    fixture.members.on_pause(Span(2_000), fixture.now);
    assert!(!fixture.is_permitted());
    fixture.members.on_store_contact(fixture.now - Span(1));
    assert!(!fixture.is_permitted(), "sent before the process resumed");
    fixture.members.on_store_contact(fixture.now);
    assert!(fixture.is_permitted());

    fixture.members.on_pause(Span(2_000), fixture.now + Span(2_000));
    fixture.wait(4_999);
    assert!(!fixture.is_permitted());
    fixture.wait(1);
    assert!(fixture.is_permitted(), "without any contact it continues within its grace");
}

/// Guards against a single daemon that stops starting work in an outage of the store, because no
/// peer exists that could confirm its version.
#[test]
fn single_daemon_is_its_own_majority() {
    let mut net = deployed(&[("cuenca", 1)]);
    net.store.mode = StoreMode::Down;
    net.run(Span::from_secs(90));
    assert!(net.may_start(0));
}

fn placers(net: &Net) -> Vec<Option<DaemonId>> {
    let running = (0..net.nodes.len()).filter(|i| net.is_running(*i));
    let cuenca = "cuenca".parse().unwrap();
    running.map(|i| net.members(i).placer(&cuenca, net.now)).collect()
}

/// Guards against two placers in one failure domain, and against none after the placer's death.
#[test]
fn daemons_agree_on_placer_and_replace_dead_one() {
    let mut net = deployed(FIVE);
    let before = placers(&net);
    assert!(before[0].is_some());
    assert!(before.iter().all(|placer| *placer == before[0]));
    let dead = (0..5).find(|i| Some(net.daemon_id(*i)) == before[0]).unwrap();
    net.kill(dead);
    net.run(Span::from_secs(5));
    let after = placers(&net);
    assert_ne!(after[0], before[0]);
    assert!(after.iter().all(|placer| *placer == after[0] && placer.is_some()));
}

/// Guards against a daemon of a higher rendezvous rank that takes the role from a live placer.
#[test]
fn current_placer_keeps_its_role() {
    let mut fixture = Fixture::open(1);
    let cuenca = "cuenca".parse().unwrap();
    let beat = |fixture: &Fixture, placing| Heartbeat {
        incarnation: 1,
        stamp: fixture.now,
        echo: Some(Echo { incarnation: 7, stamp: fixture.now }),
        ask: false,
        version: NoteVersion(1),
        phase: Phase::Ready,
        placing,
        placer: None,
        load: Default::default(),
        contact: Some(Span(0)),
    };
    fixture.members.on_store_contact(fixture.now);
    fixture.wait(2_000);
    for placing in 1..5 {
        for i in 1..5 {
            let beat = beat(&fixture, i == placing);
            fixture.deliver(i, beat);
        }
        assert_eq!(fixture.members.placer(&cuenca, fixture.now), Some(id(placing)));
        fixture.wait(1);
    }
}

/// Guards against a one-way loss of messages that leaves one side considering the other live, so
/// that the two disagree on the placer.
#[test]
fn one_way_partition_is_seen_by_both_sides() {
    let mut net = deployed(&[("cuenca", 2)]);
    net.cuts.push((0, 1));
    net.run(Span::from_secs(6));
    let cuenca = "cuenca".parse().unwrap();
    for i in 0..2 {
        assert_eq!(net.members(i).live(&cuenca, net.now), vec![net.daemon_id(i)]);
    }
}

fn deployed(domains: &[(&'static str, usize)]) -> Net {
    let mut net = Net::open(domains, 1);
    let text = r#"{ "base": 0, "id": "first", "added": { "domains":
        [{ "id": "cuenca", "region": "sierra" }] } }"#;
    net.run(Span::from_secs(1));
    let note = serde_json::from_str(text).unwrap();
    net.operator(0, bulrushlink_api::OperatorCall::Apply(note));
    net.run(Span::from_secs(8));
    net
}

/// Returns the highest number of messages and of bytes per second that any daemon sent, averaged
/// over ten seconds without work.
fn control_per_second(domains: &[(&'static str, usize)]) -> [u64; 2] {
    let mut net = deployed(domains);
    net.run(Span::from_secs(5));
    let before = [net.sent.clone(), net.bytes.clone()];
    net.run(Span::from_secs(10));
    let most = |after: &[u64], before: &[u64]| {
        let sent = after.iter().zip(before).map(|(after, before)| after - before);
        sent.max().unwrap().div_ceil(10)
    };
    [most(&net.sent, &before[0]), most(&net.bytes, &before[1])]
}

/// Guards against control traffic per daemon that grows with the number of failure domains.
#[test]
fn control_traffic_is_independent_of_deployment_size() {
    let names = ["cuenca", "norte", "sur", "a", "b", "c", "d", "e", "f"];
    let nine: Vec<_> = names.iter().map(|name| (*name, 8)).collect();
    let (small, large) = (control_per_second(&nine[..3]), control_per_second(&nine));
    println!("messages and bytes per second: {small:?} with 24 daemons, {large:?} with 72");
    // Seven peers and two remote daemons each half second, plus replies to those that ask.
    assert!(small[0] <= 24 && large[0] <= 24);
    assert!(small[1] <= 1500 && large[1] <= 1500);
}

/// Guards against daemons that start together answering each other's heartbeats in a burst.
#[test]
fn simultaneous_start_causes_no_message_storm() {
    let mut net = Net::open(&[("cuenca", 3), ("norte", 3), ("sur", 2)], 3);
    let mut steps = Vec::new();
    for _ in 0..40 {
        let before: u64 = net.sent.iter().sum();
        net.step();
        steps.push(net.sent.iter().sum::<u64>() - before);
    }
    let total: u64 = steps.iter().sum();
    println!("in 2 s: {total} messages, at most {} in 50 ms", steps.iter().max().unwrap());
    // In steady state the eight daemons send about 8 x 12 messages per second.
    assert!(total <= 300);
    assert!(steps.iter().all(|step| *step <= 40));
}

/// Guards against endless replies to replies: only a heartbeat that asks for one is answered.
#[test]
fn only_heartbeat_that_asks_is_answered() {
    let mut fixture = Fixture::open(1);
    let replies = fixture.receive(1, 1, 0, None);
    assert_eq!(replies, vec![]);
    fixture.wait(1);
    let sent = fixture.with(|members, cx| {
        cx.now += Span(1_000);
        members.tick(cx);
    });
    let asks = |output: &&Output| matches!(output, Output::Peer(_, PeerMessage::Heartbeat(beat)) if beat.ask);
    assert_eq!(sent.len(), 4);
    assert_eq!(sent.iter().filter(asks).count(), 4, "no peer has echoed a stamp for a second");
}
