mod model;

use bulrushlink_core::{DaemonId, Moment, NoteVersion, Span};

use super::{Announcement, Members};
use crate::edge::{Context, Outbox, Output};
use crate::node::tests::net::{Net, StoreMode, settings};
use crate::peer::{Echo, Heartbeat, PeerMessage, Phase};

const FIVE: &[(&str, usize)] = &[("cuenca", 5)];
const GRACE: Span = Span::from_secs(10);
const LAPSE: Span = Span::from_secs(10);

/// One `Members`, to which heartbeats are handed by hand.
struct Fixture {
    members: Members,
    settings: crate::settings::Settings,
    now: Moment,
}

impl Fixture {
    /// Opens `cuenca-0` of five with version `version` in force.
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

    /// Hands over a heartbeat of daemon `i` that echoes the stamp of `echo` ms ago and vouches
    /// with a contact of `contact` ms ago.
    fn hear(&mut self, i: usize, version: u64, echo: u64, contact: Option<u64>) -> Vec<Output> {
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
        self.beat(i, beat)
    }

    fn beat(&mut self, i: usize, beat: Heartbeat) -> Vec<Output> {
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

    fn permit(&self) -> bool {
        self.members.permit(self.now, GRACE)
    }

    fn pending(&self) -> (bool, Vec<DaemonId>) {
        let settlement = self.members.settlement(NoteVersion(2), LAPSE, self.now);
        (settlement.done, settlement.pending)
    }
}

fn id(i: usize) -> DaemonId {
    format!("cuenca-{i}").parse().unwrap()
}

/// A contact beyond the grace: it vouches, but is of no use to others.
const OLD: Option<u64> = Some(20_000);

#[test]
fn after_a_restart_only_a_majority_of_the_others_or_the_store_gives_a_permit() {
    let mut fixture = Fixture::open(1);
    assert!(!fixture.permit());
    fixture.hear(1, 1, 0, Some(0));
    fixture.hear(2, 1, 0, Some(0));
    assert!(!fixture.permit(), "this daemon has forgotten and counts for no majority");
    fixture.hear(3, 1, 0, Some(0));
    assert!(fixture.permit());

    let mut fixture = Fixture::open(1);
    fixture.members.on_store_contact(fixture.now);
    assert!(fixture.permit());
}

#[test]
fn a_peer_that_vouches_for_nothing_counts_for_no_majority() {
    let mut fixture = Fixture::open(1);
    fixture.members.on_store_contact(fixture.now);
    fixture.wait(GRACE.millis() + 1);
    for i in 1..5 {
        fixture.hear(i, 1, 0, None);
    }
    assert!(!fixture.permit());
    fixture.hear(1, 1, 0, OLD);
    fixture.hear(2, 1, 0, OLD);
    assert!(fixture.permit());
}

#[test]
fn a_peer_on_a_higher_version_counts_for_no_majority() {
    let mut fixture = Fixture::open(1);
    fixture.members.on_store_contact(fixture.now);
    fixture.wait(GRACE.millis() + 1);
    fixture.hear(1, 1, 0, OLD);
    for i in 2..5 {
        fixture.hear(i, 2, 0, Some(0));
    }
    assert!(!fixture.permit());
}

#[test]
fn a_contact_counts_from_the_stamp_that_was_echoed_and_not_from_its_arrival() {
    let mut fixture = Fixture::open(1);
    fixture.members.on_store_contact(fixture.now);
    fixture.wait(GRACE.millis() + 1);
    for i in 1..5 {
        fixture.hear(i, 1, GRACE.millis() + 1, OLD);
    }
    assert!(!fixture.permit());
    assert_eq!(fixture.members.live(&"cuenca".parse().unwrap(), fixture.now), vec![id(0)]);
    for i in 1..5 {
        fixture.hear(i, 1, 4_000, OLD);
    }
    assert!(fixture.permit());
    fixture.wait(6_001);
    assert!(!fixture.permit());
}

#[test]
fn a_peers_contact_is_taken_over_with_its_age() {
    let mut fixture = Fixture::open(1);
    fixture.hear(1, 1, 0, Some(0));
    assert!(!fixture.permit(), "a daemon that has forgotten takes no contact over");
    fixture.members.on_store_contact(fixture.now);
    fixture.wait(GRACE.millis() + 1);
    fixture.hear(1, 1, 1_000, Some(8_000));
    assert!(fixture.permit());
    fixture.wait(1_001);
    assert!(!fixture.permit());
}

#[test]
fn a_majority_counts_only_when_it_has_the_version_at_one_moment() {
    let mut fixture = Fixture::open(1);
    fixture.members.on_store_contact(fixture.now);
    fixture.announce(2);
    fixture.wait(1_000);
    fixture.hear(1, 2, 1_000, Some(0));
    fixture.wait(1_000);
    fixture.hear(2, 2, 0, Some(0));
    let settlement = fixture.members.settlement(NoteVersion(2), LAPSE, fixture.now);
    assert_eq!(settlement.within, None, "daemon 1 may have restarted since");
    fixture.wait(1_000);
    fixture.hear(1, 2, 1_000, Some(0));
    let settlement = fixture.members.settlement(NoteVersion(2), LAPSE, fixture.now);
    assert_eq!(settlement.within, Some(Span(11_000)));
    assert_eq!(settlement.pending, vec![id(3), id(4)]);
}

#[test]
fn a_daemon_is_pending_until_it_confirms_after_the_majority_had_the_version() {
    let mut fixture = Fixture::open(1);
    fixture.members.on_store_contact(fixture.now);
    fixture.announce(2);
    fixture.wait(100);
    fixture.hear(3, 2, 50, Some(0));
    fixture.wait(1_000);
    fixture.hear(1, 2, 0, Some(0));
    fixture.hear(2, 2, 0, Some(0));
    fixture.hear(4, 2, 0, Some(0));
    assert_eq!(fixture.pending(), (false, vec![id(3)]));
    fixture.hear(3, 2, 0, Some(0));
    assert_eq!(fixture.pending(), (true, vec![]));
}

#[test]
fn who_stays_silent_is_pending_until_its_grace_has_surely_lapsed() {
    let mut fixture = Fixture::open(1);
    fixture.announce(2);
    fixture.hear(1, 2, 0, None);
    fixture.hear(2, 2, 0, None);
    assert_eq!(fixture.pending(), (false, vec![id(3), id(4)]));
    fixture.wait(11_999);
    assert_eq!(fixture.pending(), (false, vec![id(3), id(4)]));
    fixture.wait(1);
    assert_eq!(fixture.pending(), (true, vec![]));
}

#[test]
fn late_repeated_and_older_heartbeats_change_nothing_and_a_new_incarnation_replaces() {
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
    let version = |fixture: &Fixture| fixture.members.in_force(fixture.now)[1].version;
    assert_eq!(fixture.beat(1, beat(2, 10, 3)).len(), 1);
    assert_eq!(fixture.beat(1, beat(2, 9, 2)).len(), 0);
    assert_eq!(fixture.beat(1, beat(1, 90, 9)).len(), 0);
    assert_eq!(version(&fixture), Some(NoteVersion(3)));
    fixture.beat(1, beat(3, 1, 0));
    assert_eq!(version(&fixture), Some(NoteVersion(0)));
}

#[test]
fn a_paused_daemon_holds_its_starts_until_a_contact_after_the_wake() {
    let mut fixture = Fixture::open(1);
    fixture.members.on_store_contact(fixture.now);
    fixture.wait(2_000);
    fixture.members.on_pause(Span(2_000), fixture.now);
    assert!(!fixture.permit());
    fixture.members.on_store_contact(fixture.now - Span(1));
    assert!(!fixture.permit(), "sent before the wake");
    fixture.members.on_store_contact(fixture.now);
    assert!(fixture.permit());

    fixture.members.on_pause(Span(2_000), fixture.now + Span(2_000));
    fixture.wait(4_999);
    assert!(!fixture.permit());
    fixture.wait(1);
    assert!(fixture.permit(), "cut off from all, it goes on within its grace");
}

#[test]
fn a_deployment_of_one_daemon_is_its_own_majority() {
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

#[test]
fn all_choose_the_same_placer_and_a_death_moves_it() {
    let mut net = deployed(FIVE);
    let first = placers(&net);
    assert!(first[0].is_some());
    assert!(first.iter().all(|placer| *placer == first[0]));
    let dead = (0..5).find(|i| Some(net.daemon_id(*i)) == first[0]).unwrap();
    net.kill(dead);
    net.run(Span::from_secs(5));
    let second = placers(&net);
    assert_ne!(second[0], first[0]);
    assert!(second.iter().all(|placer| *placer == second[0] && placer.is_some()));
}

#[test]
fn a_return_moves_no_placer() {
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
            fixture.beat(i, beat);
        }
        assert_eq!(fixture.members.placer(&cuenca, fixture.now), Some(id(placing)));
        fixture.wait(1);
    }
}

#[test]
fn a_one_way_cut_makes_both_sides_silent_to_each_other() {
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

/// Returns the most messages and the most bytes that a daemon sent in a second, over ten seconds
/// at rest.
fn control_a_second(domains: &[(&'static str, usize)]) -> [u64; 2] {
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

#[test]
fn control_messages_depend_on_the_own_domain_and_not_on_the_deployment() {
    let names = ["cuenca", "norte", "sur", "a", "b", "c", "d", "e", "f"];
    let nine: Vec<_> = names.iter().map(|name| (*name, 8)).collect();
    let (small, large) = (control_a_second(&nine[..3]), control_a_second(&nine));
    println!("messages and bytes a second: {small:?} of 24 daemons, {large:?} of 72");
    // Seven peers and two others each half second, and the answers to others who ask.
    assert!(small[0] <= 24 && large[0] <= 24);
    assert!(small[1] <= 1500 && large[1] <= 1500);
}

#[test]
fn eight_that_start_at_once_raise_no_storm() {
    let mut net = Net::open(&[("cuenca", 3), ("norte", 3), ("sur", 2)], 3);
    let mut steps = Vec::new();
    for _ in 0..40 {
        let before: u64 = net.sent.iter().sum();
        net.step();
        steps.push(net.sent.iter().sum::<u64>() - before);
    }
    let total: u64 = steps.iter().sum();
    println!("in 2 s: {total} messages, at most {} in 50 ms", steps.iter().max().unwrap());
    // At rest the eight send about 8 x 12 messages a second.
    assert!(total <= 300);
    assert!(steps.iter().all(|step| *step <= 40));
}

#[test]
fn a_heartbeat_that_asks_is_answered_at_once_and_an_answer_is_not() {
    let mut fixture = Fixture::open(1);
    let silent = fixture.hear(1, 1, 0, None);
    assert_eq!(silent, vec![]);
    fixture.wait(1);
    let rounds = fixture.with(|members, cx| {
        cx.now += Span(1_000);
        members.tick(cx);
    });
    let asks = |output: &&Output| matches!(output, Output::Peer(_, PeerMessage::Heartbeat(beat)) if beat.ask);
    assert_eq!(rounds.len(), 4);
    assert_eq!(rounds.iter().filter(asks).count(), 4, "none has echoed for a second");
}
