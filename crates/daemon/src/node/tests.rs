mod faults;
pub(crate) mod net;

use bulrushlink_api::{ApplyAnswer, OperatorAnswer, OperatorCall};
use bulrushlink_core::{Code, DomainSpec, NoteVersion, ReleaseNote, Service, Span, WorkspaceSpec};

use crate::edge::Token;
use net::{Net, StoreMode, host};

const THREE: &[(&str, usize)] = &[("cuenca", 2), ("norte", 3), ("sur", 2)];
const GRACE: Span = Span::from_secs(20);

fn domain(id: &str, service: Service) -> DomainSpec {
    DomainSpec { id: id.parse().unwrap(), region: "sierra".parse().unwrap(), service, grace: GRACE }
}

fn note(base: u64, id: &str) -> ReleaseNote {
    serde_json::from_value(serde_json::json!({ "base": base, "id": id })).unwrap()
}

/// The first note of a deployment: all domains of [`THREE`] in service.
fn first() -> ReleaseNote {
    let mut note = note(0, "first");
    note.added.domains = THREE.iter().map(|(id, _)| domain(id, Service::In)).collect();
    note
}

fn service(base: u64, id: &str, of: &str, service: Service) -> ReleaseNote {
    let mut note = note(base, id);
    note.changed.domains = vec![domain(of, service)];
    note
}

fn accepted(net: &Net, token: Token) -> Option<&ApplyAnswer> {
    match net.answer(token)? {
        OperatorAnswer::Apply(answer) => Some(answer),
        _ => None,
    }
}

fn code(net: &Net, token: Token) -> Option<Code> {
    Some(match net.answer(token)? {
        OperatorAnswer::Apply(answer) => answer.code,
        OperatorAnswer::Plain { code, .. } => *code,
        other => panic!("unexpected answer {other:?}"),
    })
}

/// A deployment with the first note in force everywhere.
fn deployed(seed: u64) -> Net {
    let mut net = Net::open(THREE, seed);
    net.run(Span::from_secs(2));
    let token = net.operator(0, OperatorCall::Apply(first()));
    net.run(Span::from_secs(8));
    assert_eq!(accepted(&net, token).map(|a| a.version), Some(NoteVersion(1)));
    for i in 0..net.nodes.len() {
        assert_eq!(net.node(i).version(), NoteVersion(1));
        assert!(net.may_start(i));
    }
    net
}

/// Applies the same note again until it is settled or `span` is over.
fn settle(net: &mut Net, i: usize, note: &ReleaseNote, span: Span) -> Option<Code> {
    let end = net.now + span;
    loop {
        let token = net.operator(i, OperatorCall::Apply(note.clone()));
        net.run(Span::from_secs(1));
        let answer = code(net, token);
        if answer == Some(Code::Done) || net.now >= end {
            return answer;
        }
    }
}

#[test]
fn a_note_is_in_force_and_accepted_everywhere_within_8_s() {
    let mut net = deployed(1);
    let out = service(1, "out", "sur", Service::Out);
    let answer = settle(&mut net, 3, &out, Span::from_secs(8));
    assert_eq!(answer, Some(Code::Done));
    assert!((5..7).all(|i| !net.may_start(i)));
    assert!((0..5).all(|i| net.may_start(i)));
}

#[test]
fn a_note_reaches_all_within_8_s_without_watches_and_without_the_store_on_some() {
    let mut net = deployed(11);
    net.store.stale = true;
    net.store.cut = vec![2, 3, 4];
    net.operator(0, OperatorCall::Apply(service(1, "out", "norte", Service::Out)));
    net.run(Span::from_secs(8));
    assert!((0..7).all(|i| net.node(i).version() == NoteVersion(2)));
    assert!((2..5).all(|i| !net.may_start(i)));
    net.cuts.clear();
    net.isolate(&[5]);
    net.operator(0, OperatorCall::Apply(service(2, "back", "norte", Service::In)));
    net.run(Span::from_secs(8));
    assert!((0..7).all(|i| net.node(i).version() == NoteVersion(3)), "daemon 5 reads the head");
}

#[test]
fn of_two_operators_who_race_one_wins_and_the_other_learns_it() {
    let mut net = deployed(2);
    let a = net.operator(0, OperatorCall::Apply(service(1, "a", "sur", Service::Out)));
    let b = net.operator(6, OperatorCall::Apply(service(1, "b", "norte", Service::Out)));
    net.run(Span::from_secs(3));
    let codes = [code(&net, a).unwrap(), code(&net, b).unwrap()];
    assert!(codes.contains(&Code::NoteConflict), "{codes:?}");
    assert!(codes.contains(&Code::NotePending), "{codes:?}");
    assert!((0..7).all(|i| net.node(i).version() == NoteVersion(2)));
}

#[test]
fn an_answer_lost_after_the_write_is_settled_by_writing_again() {
    let mut net = deployed(3);
    net.store.mode = StoreMode::Mute;
    let out = service(1, "out", "sur", Service::Out);
    let token = net.operator(0, OperatorCall::Apply(out.clone()));
    net.run(Span::from_secs(1));
    assert_eq!(net.answer(token), None);
    net.store.mode = StoreMode::Up;
    net.run(Span::from_secs(4));
    let lost = net.operator(0, OperatorCall::Apply(out.clone()));
    net.run(Span::from_secs(4));
    assert_eq!(code(&net, token), Some(Code::StoreUnavailable), "the read itself was mute");
    assert_eq!(accepted(&net, lost).map(|a| a.version), Some(NoteVersion(2)));
}

#[test]
fn an_unknown_outcome_is_called_unknown_and_the_same_note_settles_it() {
    let mut net = deployed(4);
    net.store_delay = Span(600);
    let out = service(1, "out", "sur", Service::Out);
    let token = net.operator(0, OperatorCall::Apply(out.clone()));
    while net.store.records[0].at.0 == 1 {
        // The read is answered, and the write takes effect without an answer.
        let written = net.writing(0);
        net.store.mode = if written { StoreMode::Mute } else { StoreMode::Up };
        net.step();
    }
    net.run(Span::from_secs(9));
    assert_eq!(code(&net, token), Some(Code::TimedOut));
    net.store.mode = StoreMode::Up;
    let again = net.operator(6, OperatorCall::Apply(out));
    net.run(Span::from_secs(6));
    assert_eq!(accepted(&net, again).map(|a| a.version), Some(NoteVersion(2)));
    assert_eq!(net.store.records[0].at.0, 2);
}

#[test]
fn without_the_store_a_note_is_refused_at_once_and_nothing_is_written() {
    let mut net = deployed(5);
    net.store.mode = StoreMode::Down;
    let token = net.operator(0, OperatorCall::Apply(service(1, "out", "sur", Service::Out)));
    net.run(Span(200));
    assert_eq!(code(&net, token), Some(Code::StoreUnavailable));
    net.store.mode = StoreMode::Up;
    net.run(Span::from_secs(8));
    assert!((0..7).all(|i| net.node(i).version() == NoteVersion(1)));
}

#[test]
fn a_domain_that_restarts_in_an_outage_learns_the_note_and_may_start() {
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
    // The majority goes on for as long as it hears itself.
    net.run(GRACE + GRACE);
    assert!((0..7).all(|i| net.may_start(i)));
}

#[test]
fn a_cut_off_domain_starts_for_its_grace_and_the_answer_is_pending_for_as_long() {
    let mut net = deployed(7);
    net.isolate(&[5, 6]);
    net.store.cut = vec![5, 6];
    net.run(Span::from_secs(5));
    assert!(net.may_start(5) && net.may_start(6), "a cut alone stops nothing at once");
    let out = service(1, "out", "sur", Service::Out);
    let token = net.operator(0, OperatorCall::Apply(out.clone()));
    net.run(Span::from_secs(4));
    let again = net.operator(0, OperatorCall::Apply(out.clone()));
    net.run(Span::from_secs(1));
    assert_eq!(code(&net, token), Some(Code::NotePending));
    let answer = accepted(&net, again).unwrap();
    assert_eq!(answer.code, Code::NotePending);
    assert_eq!(answer.pending, vec![net.id(5), net.id(6)]);
    let within = answer.settled_in.unwrap();
    assert!(within <= GRACE + Span::from_secs(2));
    net.run(within);
    assert_eq!(settle(&mut net, 0, &out, Span::from_secs(2)), Some(Code::Done));
    assert!(!net.may_start(5) && !net.may_start(6));
    assert_eq!(net.node(5).version(), NoteVersion(1));
    net.cuts.clear();
    net.store.cut.clear();
    net.run(Span::from_secs(5));
    assert_eq!(net.node(5).version(), NoteVersion(2));
}

#[test]
fn a_frozen_daemon_starts_nothing_before_it_has_heard_anew() {
    let mut net = deployed(8);
    net.freeze(5, true);
    net.run(Span::from_secs(4));
    let out = service(1, "out", "sur", Service::Out);
    net.operator(0, OperatorCall::Apply(out));
    net.run(Span::from_secs(4));
    net.freeze(5, false);
    for _ in 0..40 {
        net.step();
        assert!(!net.may_start(5));
    }
    assert_eq!(net.node(5).version(), NoteVersion(2));
}

#[test]
fn an_unfit_guarantee_is_refused_with_its_level_and_an_emergency_is_not() {
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
    assert_eq!(code(&net, check), Some(Code::NoteUnfit));
    spec.guarantees[0].count = 3;
    wide.added.workspaces = vec![spec];
    assert_eq!(settle(&mut net, 0, &wide, Span::from_secs(8)), Some(Code::Done));
    let token = net.operator(0, OperatorCall::Apply(service(2, "out", "sur", Service::Out)));
    net.run(Span::from_secs(1));
    let warning = accepted(&net, token).unwrap().warning.clone();
    assert!(warning.unwrap().contains("level domain"));
}

#[test]
fn shares_of_workers_move_when_a_daemon_dies() {
    let mut net = deployed(10);
    net.hosts = (10..40).map(|i| host(&format!("w{i}"), "norte", "r1")).collect();
    net.run(Span::from_secs(5));
    let dead = net.id(2);
    net.calls.clear();
    net.run(Span::from_secs(2));
    assert!(net.calls.iter().any(|(_, from, ..)| *from == dead));
    net.kill(2);
    net.run(Span::from_secs(6));
    let from = net.now;
    net.run(Span::from_secs(3));
    let renewed = |worker| net.calls.iter().any(|(at, _, w, _)| *at > from && w == worker);
    assert!(net.hosts.iter().all(|host| renewed(&host.id)));
    let keepers =
        |i: usize| net.calls.iter().filter(|(at, f, ..)| *at > from && *f == net.id(i)).count();
    assert!(keepers(3) > 0 && keepers(4) > 0 && keepers(0) == 0);
}
