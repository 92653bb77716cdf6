mod faults;
pub(crate) mod net;

use bulrushlink_api::{ApplyAnswer, OperatorAnswer, OperatorCall};
use bulrushlink_core::{Code, DomainSpec, NoteVersion, ReleaseNote, Service, Span, WorkspaceSpec};

use crate::edge::Token;
use net::{Net, StoreMode, host};

/// Failure domains with their number of daemons; cuenca has daemons 0 and 1, norte 2 to 4, sur 5
/// and 6.
const THREE_DOMAINS: &[(&str, usize)] = &[("cuenca", 2), ("norte", 3), ("sur", 2)];
const GRACE: Span = Span::from_secs(20);

fn domain(id: &str, service: Service) -> DomainSpec {
    DomainSpec { id: id.parse().unwrap(), region: "sierra".parse().unwrap(), service, grace: GRACE }
}

fn note(base: u64, id: &str) -> ReleaseNote {
    serde_json::from_value(serde_json::json!({ "base": base, "id": id })).unwrap()
}

/// Returns the first note of a deployment: all domains of [`THREE_DOMAINS`] in service.
fn first_note() -> ReleaseNote {
    let mut note = note(0, "first");
    note.added.domains = THREE_DOMAINS.iter().map(|(id, _)| domain(id, Service::In)).collect();
    note
}

/// Returns a note on `base` that sets the service of domain `of`.
fn service_note(base: u64, id: &str, of: &str, service: Service) -> ReleaseNote {
    let mut note = note(base, id);
    note.changed.domains = vec![domain(of, service)];
    note
}

fn apply_answer(net: &Net, token: Token) -> Option<&ApplyAnswer> {
    match net.answer(token)? {
        OperatorAnswer::Apply(answer) => Some(answer),
        _ => None,
    }
}

fn answer_code(net: &Net, token: Token) -> Option<Code> {
    Some(match net.answer(token)? {
        OperatorAnswer::Apply(answer) => answer.code,
        OperatorAnswer::Plain { code, .. } => *code,
        other => panic!("unexpected answer {other:?}"),
    })
}

/// Returns a deployment with the first note in force on all daemons.
fn deployed(seed: u64) -> Net {
    let mut net = Net::open(THREE_DOMAINS, seed);
    net.run(Span::from_secs(2));
    let token = net.operator(0, OperatorCall::Apply(first_note()));
    net.run(Span::from_secs(8));
    assert_eq!(apply_answer(&net, token).map(|a| a.version), Some(NoteVersion(1)));
    for i in 0..net.nodes.len() {
        assert_eq!(net.node(i).version(), NoteVersion(1));
        assert!(net.may_start(i));
    }
    net
}

/// Applies the same note once a second until it is done or `span` is over; returns the last code.
fn apply_until_done(net: &mut Net, i: usize, note: &ReleaseNote, span: Span) -> Option<Code> {
    let end = net.now + span;
    loop {
        let token = net.operator(i, OperatorCall::Apply(note.clone()));
        net.run(Span::from_secs(1));
        let answer = answer_code(net, token);
        if answer == Some(Code::Done) || net.now >= end {
            return answer;
        }
    }
}

/// Guards against a daemon that keeps its permit to start work, or loses that of another domain,
/// after a note that took one domain out of service was reported as done.
#[test]
fn note_is_in_force_on_all_daemons_and_done_within_8_s() {
    let mut net = deployed(1);
    let out = service_note(1, "out", "sur", Service::Out);
    let answer = apply_until_done(&mut net, 3, &out, Span::from_secs(8));
    assert_eq!(answer, Some(Code::Done));
    assert!((5..7).all(|i| !net.may_start(i)));
    assert!((0..5).all(|i| net.may_start(i)));
}

/// Guards against a daemon that misses a note because one source is gone: watches report no change,
/// a domain has lost the store, or one daemon has lost all its peers.
#[test]
fn note_reaches_daemons_without_watches_store_or_peers_within_8_s() {
    let mut net = deployed(11);
    net.store.stale_watches = true;
    net.store.cut_nodes = vec![2, 3, 4];
    net.operator(0, OperatorCall::Apply(service_note(1, "out", "norte", Service::Out)));
    net.run(Span::from_secs(8));
    assert!((0..7).all(|i| net.node(i).version() == NoteVersion(2)));
    assert!((2..5).all(|i| !net.may_start(i)));
    net.cuts.clear();
    net.isolate(&[5]);
    net.operator(0, OperatorCall::Apply(service_note(2, "back", "norte", Service::In)));
    net.run(Span::from_secs(8));
    assert!(
        (0..7).all(|i| net.node(i).version() == NoteVersion(3)),
        "isolated daemon 5 did not read the note from the store"
    );
}

/// Guards against two notes on the same base both taking effect when operators apply them through
/// different daemons at the same time.
#[test]
fn concurrent_notes_on_one_base_give_one_conflict() {
    let mut net = deployed(2);
    let a = net.operator(0, OperatorCall::Apply(service_note(1, "a", "sur", Service::Out)));
    let b = net.operator(6, OperatorCall::Apply(service_note(1, "b", "norte", Service::Out)));
    net.run(Span::from_secs(3));
    let codes = [answer_code(&net, a).unwrap(), answer_code(&net, b).unwrap()];
    assert!(codes.contains(&Code::NoteConflict), "{codes:?}");
    assert!(codes.contains(&Code::NotePending), "{codes:?}");
    assert!((0..7).all(|i| net.node(i).version() == NoteVersion(2)));
}

/// Guards against an operator's call that stays without an answer, or a note that can't be applied
/// again, after the store's reply to the read before the write was lost.
#[test]
fn note_fails_on_a_lost_store_read_and_succeeds_on_retry() {
    let mut net = deployed(3);
    net.store.mode = StoreMode::ReplyLost;
    let out = service_note(1, "out", "sur", Service::Out);
    let token = net.operator(0, OperatorCall::Apply(out.clone()));
    net.run(Span::from_secs(1));
    assert_eq!(net.answer(token), None);
    net.store.mode = StoreMode::Up;
    net.run(Span::from_secs(4));
    let lost = net.operator(0, OperatorCall::Apply(out.clone()));
    net.run(Span::from_secs(4));
    assert_eq!(
        answer_code(&net, token),
        Some(Code::StoreUnavailable),
        "the reply to the read was lost"
    );
    assert_eq!(apply_answer(&net, lost).map(|a| a.version), Some(NoteVersion(2)));
}

/// Guards against a note whose write took effect without a reply being reported as refused, or
/// being written a second time when an operator applies it again through another daemon.
#[test]
fn unknown_write_outcome_times_out_and_the_same_note_settles_it() {
    let mut net = deployed(4);
    net.store_delay = Span(600);
    let out = service_note(1, "out", "sur", Service::Out);
    let token = net.operator(0, OperatorCall::Apply(out.clone()));
    while net.store.records[0].at.0 == 1 {
        // The read gets its reply; the write takes effect, but its reply is lost.
        let written = net.is_writing(0);
        net.store.mode = if written { StoreMode::ReplyLost } else { StoreMode::Up };
        net.step();
    }
    net.run(Span::from_secs(9));
    assert_eq!(answer_code(&net, token), Some(Code::TimedOut));
    net.store.mode = StoreMode::Up;
    let again = net.operator(6, OperatorCall::Apply(out));
    net.run(Span::from_secs(6));
    assert_eq!(apply_answer(&net, again).map(|a| a.version), Some(NoteVersion(2)));
    assert_eq!(net.store.records[0].at.0, 2);
}

/// Guards against a note that was refused during a store outage and is written once the store is
/// back.
#[test]
fn note_is_refused_at_once_while_the_store_is_unreachable() {
    let mut net = deployed(5);
    net.store.mode = StoreMode::Down;
    let token = net.operator(0, OperatorCall::Apply(service_note(1, "out", "sur", Service::Out)));
    net.run(Span(200));
    assert_eq!(answer_code(&net, token), Some(Code::StoreUnavailable));
    net.store.mode = StoreMode::Up;
    net.run(Span::from_secs(8));
    assert!((0..7).all(|i| net.node(i).version() == NoteVersion(1)));
}

/// Guards against a whole domain that can't start work after a restart during a store outage: its
/// daemons have to learn the note in force from their peers.
#[test]
fn domain_restarted_during_a_store_outage_learns_the_note_from_peers() {
    let mut net = deployed(6);
    net.store.mode = StoreMode::Down;
    net.run(Span::from_secs(5));
    for i in 2..5 {
        net.start(i);
    }
    assert!((2..5).all(|i| !net.may_start(i)));
    net.run(Span::from_secs(8));
    for i in 2..5 {
        assert_eq!(net.node(i).version(), NoteVersion(1));
        assert!(net.node(i).is_ready());
        assert!(net.may_start(i));
    }
    // Without the store, a majority may start work for as long as its daemons hear each other.
    net.run(GRACE + GRACE);
    assert!((0..7).all(|i| net.may_start(i)));
}

/// Guards against a note reported as done while daemons behind a network partition, which can't
/// learn of it, may still start work under the old version until their grace has expired.
#[test]
fn note_stays_pending_until_the_grace_of_a_partitioned_domain_expires() {
    let mut net = deployed(7);
    net.isolate(&[5, 6]);
    net.store.cut_nodes = vec![5, 6];
    net.run(Span::from_secs(5));
    assert!(
        net.may_start(5) && net.may_start(6),
        "a partition must not stop starts before the grace is over"
    );
    let out = service_note(1, "out", "sur", Service::Out);
    let token = net.operator(0, OperatorCall::Apply(out.clone()));
    net.run(Span::from_secs(4));
    let again = net.operator(0, OperatorCall::Apply(out.clone()));
    net.run(Span::from_secs(1));
    assert_eq!(answer_code(&net, token), Some(Code::NotePending));
    let answer = apply_answer(&net, again).unwrap();
    assert_eq!(answer.code, Code::NotePending);
    assert_eq!(answer.pending, vec![net.daemon_id(5), net.daemon_id(6)]);
    let within = answer.settled_in.unwrap();
    assert!(within <= GRACE + Span::from_secs(2));
    net.run(within);
    assert_eq!(apply_until_done(&mut net, 0, &out, Span::from_secs(2)), Some(Code::Done));
    assert!(!net.may_start(5) && !net.may_start(6));
    assert_eq!(net.node(5).version(), NoteVersion(1));
    net.cuts.clear();
    net.store.cut_nodes.clear();
    net.run(Span::from_secs(5));
    assert_eq!(net.node(5).version(), NoteVersion(2));
}

/// Guards against a daemon that, resumed after a suspension, starts work under the version from
/// before: the heartbeats it had received no longer prove that its view is current.
#[test]
fn resumed_daemon_starts_nothing_on_an_outdated_note() {
    let mut net = deployed(8);
    net.freeze(5, true);
    net.run(Span::from_secs(4));
    let out = service_note(1, "out", "sur", Service::Out);
    net.operator(0, OperatorCall::Apply(out));
    net.run(Span::from_secs(4));
    net.freeze(5, false);
    for _ in 0..40 {
        net.step();
        assert!(!net.may_start(5));
    }
    assert_eq!(net.node(5).version(), NoteVersion(2));
}

/// Guards against a new guarantee that the workers can't satisfy, and against the same check
/// blocking an operator who has to take a domain out of service: that only gives a warning.
#[test]
fn unfit_guarantee_is_refused_but_taking_a_domain_out_only_warns() {
    let mut net = deployed(9);
    net.hosts =
        vec![host("w1", "cuenca", "r1"), host("w2", "norte", "r2"), host("w3", "sur", "r3")];
    net.run(Span::from_secs(3));
    let mut wide = note(1, "wide");
    let text = r#"{ "id": "rosters", "guarantees": [
        { "shape": { "tasks": 1, "accelerators": 8, "adjacency": "worker" }, "count": 4 }] }"#;
    let mut spec: WorkspaceSpec = serde_json::from_str(text).unwrap();
    wide.added.workspaces = vec![spec.clone()];
    let check = net.operator(0, OperatorCall::Check(wide.clone()));
    assert_eq!(answer_code(&net, check), Some(Code::NoteUnfit));
    spec.guarantees[0].count = 3;
    wide.added.workspaces = vec![spec];
    assert_eq!(apply_until_done(&mut net, 0, &wide, Span::from_secs(8)), Some(Code::Done));
    let token = net.operator(0, OperatorCall::Apply(service_note(2, "out", "sur", Service::Out)));
    net.run(Span::from_secs(1));
    let warning = apply_answer(&net, token).unwrap().warning.clone();
    assert!(warning.unwrap().contains("level domain"));
}

/// Guards against leases that expire after a daemon died because nobody in its domain took over the
/// renewals of the workers assigned to it.
#[test]
fn workers_of_a_dead_daemon_are_renewed_by_its_domain() {
    let mut net = deployed(10);
    net.hosts = (10..40).map(|i| host(&format!("w{i}"), "norte", "r1")).collect();
    net.run(Span::from_secs(5));
    let dead = net.daemon_id(2);
    net.worker_calls.clear();
    net.run(Span::from_secs(2));
    assert!(net.worker_calls.iter().any(|(_, from, ..)| *from == dead));
    net.kill(2);
    net.run(Span::from_secs(6));
    let from = net.now;
    net.run(Span::from_secs(3));
    let renewed = |worker| net.worker_calls.iter().any(|(at, _, w, _)| *at > from && w == worker);
    assert!(net.hosts.iter().all(|host| renewed(&host.id)));
    let renewals = |i: usize| {
        net.worker_calls.iter().filter(|(at, f, ..)| *at > from && *f == net.daemon_id(i)).count()
    };
    assert!(renewals(3) > 0 && renewals(4) > 0 && renewals(0) == 0);
}
