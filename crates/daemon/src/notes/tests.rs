use bulrushlink_api::{
    EdgeFault, Expect, OperatorAnswer, OperatorCall, Record, Revision, StoreReply, StoreRequest,
};
use bulrushlink_core::{Code, Moment, NoteVersion, ReleaseNote, Span};

use super::{Head, Notes};
use crate::edge::{CallId, Context, Outbox, Output, Token};
use crate::members::Members;
use crate::node::tests::net::settings;
use crate::peer::PeerMessage;
use crate::settings::Settings;

const GRACE: Span = Span::from_secs(60);

struct Fixture {
    notes: Notes,
    members: Members,
    settings: Settings,
    now: Moment,
    out: Outbox,
}

impl Fixture {
    fn open() -> Self {
        let settings = settings("norte-0", &[("norte", 2)]);
        let now = Moment(10_000);
        let members = Members::open(&settings, now, 1);
        let notes = Notes::open(&settings, now, 1);
        Self { notes, members, settings, now, out: Outbox::default() }
    }

    fn with(
        &mut self,
        act: impl FnOnce(&mut Notes, &mut Members, &mut Context<'_>),
    ) -> Vec<Output> {
        let (now, settings) = (self.now, &self.settings);
        let mut cx = Context { now, wall: 0, may_start: true, settings, out: &mut self.out };
        act(&mut self.notes, &mut self.members, &mut cx);
        self.notes.answer_accepted(&self.members, &mut cx);
        cx.out.take()
    }

    /// Applies a note and returns the call that reads the head.
    fn apply(&mut self, token: u64, note: &ReleaseNote) -> CallId {
        let call = OperatorCall::Apply(note.clone());
        let outputs = self.with(|notes, _, cx| notes.on_operator(Token(token), call, &[], cx));
        store_calls(&outputs)[0].0
    }

    fn store(&mut self, call: CallId, result: Result<StoreReply, EdgeFault>) -> Vec<Output> {
        self.with(|notes, members, cx| notes.on_store(call, result, members, &[], cx))
    }

    /// Ticks for `span` and returns all outputs.
    fn run(&mut self, span: Span) -> Vec<Output> {
        let end = self.now + span;
        let mut all = Vec::new();
        while self.now < end {
            self.now += Span(100);
            all.extend(self.with(|notes, _, cx| notes.tick(cx)));
        }
        all
    }
}

fn store_calls(outputs: &[Output]) -> Vec<(CallId, StoreRequest)> {
    let call = |output: &Output| match output {
        Output::Store(call, request) => Some((*call, request.clone())),
        _ => None,
    };
    outputs.iter().filter_map(call).collect()
}

fn puts(outputs: &[Output]) -> Vec<(CallId, StoreRequest)> {
    let mut calls = store_calls(outputs);
    calls.retain(|(_, request)| matches!(request, StoreRequest::Put { .. }));
    calls
}

/// Returns the codes of the answers among `outputs`.
fn codes(outputs: &[Output]) -> Vec<Code> {
    let code = |output: &Output| match output {
        Output::Operator(_, OperatorAnswer::Apply(answer)) => Some(answer.code),
        Output::Operator(_, OperatorAnswer::Plain { code, .. }) => Some(*code),
        _ => None,
    };
    outputs.iter().filter_map(code).collect()
}

fn note(base: u64, id: &str, domain: &str) -> ReleaseNote {
    let domains = serde_json::json!([{ "id": domain, "region": "sierra" }]);
    let added = serde_json::json!({ "domains": domains });
    serde_json::from_value(serde_json::json!({ "base": base, "id": id, "added": added })).unwrap()
}

fn head(notes: &[ReleaseNote]) -> Head {
    notes.iter().fold(Head::default(), |head, note| head.try_apply(note, true).unwrap())
}

fn found(head: &Head, at: u64) -> Result<StoreReply, EdgeFault> {
    Ok(StoreReply::Found { record: Some(record(head, at)) })
}

fn record(head: &Head, at: u64) -> Record {
    Record { key: "note/head".to_string(), value: head.json(), at: Revision(at) }
}

/// Guards against a rollback by a lagging store or an outdated peer, and against such a store
/// permitting starts.
#[test]
fn lower_version_never_replaces_higher_one() {
    let (one, two) = (note(0, "one", "norte"), note(1, "two", "sur"));
    let mut fixture = Fixture::open();
    fixture.with(|notes, _, _| notes.on_note(head(&[one.clone(), two.clone()])));
    fixture.with(|notes, _, _| notes.on_note(head(std::slice::from_ref(&one))));
    let other = head(&[one.clone(), note(1, "other", "cuenca")]);
    fixture.with(|notes, _, _| notes.on_note(other));
    let expected = head(&[one.clone(), two]).state;
    assert_eq!(fixture.notes.state(), Some(&expected));

    let reads = store_calls(&fixture.run(Span(100)));
    fixture.store(reads[0].0, found(&head(&[one]), 1));
    assert_eq!(fixture.notes.state(), Some(&expected));
    assert!(
        !fixture.members.may_start(fixture.now, GRACE),
        "a read from a lagging store is no contact"
    );
}

/// Guards against a stale watch that permits starts on a version no longer in force.
#[test]
fn read_of_head_is_a_contact_but_watch_is_not() {
    let one = head(&[note(0, "one", "norte")]);
    let mut fixture = Fixture::open();
    let calls = store_calls(&fixture.run(Span(100)));
    let (reads, watches): (Vec<_>, Vec<_>) =
        calls.into_iter().partition(|(_, request)| matches!(request, StoreRequest::Get { .. }));
    fixture.store(watches[0].0, found(&one, 1));
    assert_eq!(fixture.notes.version(), NoteVersion(1));
    assert!(!fixture.members.may_start(fixture.now, GRACE), "a watch may be stale");
    fixture.store(reads[0].0, found(&one, 1));
    assert!(fixture.members.may_start(fixture.now, GRACE));
}

/// Guards against a lost reply that ends the periodic reads of the head.
#[test]
fn reads_continue_at_least_every_8_s_without_answers() {
    let mut fixture = Fixture::open();
    let gets = |outputs: &[Output]| {
        let calls = store_calls(outputs);
        calls.iter().filter(|(_, r)| matches!(r, StoreRequest::Get { .. })).count()
    };
    assert_eq!(gets(&fixture.run(Span(100))), 1);
    for _ in 0..5 {
        assert!(gets(&fixture.run(Span::from_secs(8))) >= 1);
    }
}

/// Guards against applying a note twice, or reporting the wrong outcome, after the reply to its
/// write was lost: the repeated write conflicts either with itself or with a rival note.
#[test]
fn lost_write_answer_is_resolved_by_repeated_write() {
    let (one, two) = (note(0, "one", "norte"), note(1, "two", "sur"));
    let base = head(std::slice::from_ref(&one));
    for (winner, code) in [("two", Code::NotePending), ("rival", Code::NoteConflict)] {
        let mut fixture = Fixture::open();
        let read = fixture.apply(1, &two);
        let writes = puts(&fixture.store(read, found(&base, 4)));
        let StoreRequest::Put { expect, .. } = &writes[0].1 else { unreachable!() };
        assert_eq!(*expect, Expect::At(Revision(4)));
        assert_eq!(codes(&fixture.store(writes[0].0, Err(EdgeFault::Silent))), vec![]);
        let repeated = puts(&fixture.run(Span::from_secs(1)));
        assert_eq!(repeated[0].1, writes[0].1);
        let next = head(&[one.clone(), note(1, winner, "sur")]);
        let conflict = StoreReply::Conflict { record: Some(record(&next, 5)) };
        assert_eq!(codes(&fixture.store(repeated[0].0, Ok(conflict))), vec![code]);
        assert_eq!(fixture.notes.version(), NoteVersion(2));
    }
}

/// Guards against telling an operator that nothing was written, when the reply to the first write
/// was lost and the store is unreachable afterwards.
#[test]
fn uncertain_write_is_reported_as_timed_out() {
    let mut fixture = Fixture::open();
    let read = fixture.apply(1, &note(0, "one", "norte"));
    let writes = puts(&fixture.store(read, Ok(StoreReply::Found { record: None })));
    fixture.store(writes[0].0, Err(EdgeFault::Silent));
    let mut answers = Vec::new();
    for _ in 0..20 {
        let outputs = fixture.run(Span(500));
        answers.extend(codes(&outputs));
        for (call, _) in puts(&outputs) {
            answers.extend(codes(&fixture.store(call, Err(EdgeFault::Unreachable))));
        }
    }
    assert_eq!(answers, vec![Code::TimedOut]);
}

/// Guards against reporting a note as accepted because a different one has the same id.
#[test]
fn different_note_with_same_id_is_invalid() {
    let mut fixture = Fixture::open();
    fixture.with(|notes, _, _| notes.on_note(head(&[note(0, "one", "norte")])));
    let same = OperatorCall::Apply(note(0, "one", "norte"));
    let outputs = fixture.with(|notes, _, cx| notes.on_operator(Token(1), same, &[], cx));
    assert_eq!(codes(&outputs), vec![Code::NotePending]);
    let other = OperatorCall::Apply(note(0, "one", "sur"));
    let outputs = fixture.with(|notes, _, cx| notes.on_operator(Token(2), other, &[], cx));
    assert_eq!(codes(&outputs), vec![Code::NoteInvalid]);
}

/// Guards against an error that does not show the operator which field of the note is wrong.
#[test]
fn invalid_note_error_has_path_of_field() {
    let mut fixture = Fixture::open();
    fixture.with(|notes, _, _| notes.on_note(head(&[note(0, "one", "norte")])));
    let check = OperatorCall::Check(note(1, "two", "norte"));
    let outputs = fixture.with(|notes, _, cx| notes.on_operator(Token(1), check, &[], cx));
    let Output::Operator(_, OperatorAnswer::Plain { code, field, .. }) = &outputs[0] else {
        panic!("{outputs:?}");
    };
    assert_eq!((*code, field.as_deref()), (Code::NoteInvalid, Some("/added/domains/0/id")));
}

/// Guards against unbounded memory when operators submit notes faster than the store replies.
#[test]
fn concurrent_applies_are_bounded() {
    let mut fixture = Fixture::open();
    for token in 0..16 {
        fixture.apply(token, &note(0, &format!("note-{token}"), "norte"));
    }
    let call = OperatorCall::Apply(note(0, "one-more", "norte"));
    let outputs = fixture.with(|notes, _, cx| notes.on_operator(Token(99), call, &[], cx));
    assert_eq!(codes(&outputs), vec![Code::Overloaded]);
}

/// Guards against a version that does not spread between daemons while the store is down.
#[test]
fn newer_version_is_requested_from_peer_and_sent() {
    let peer = "norte-1".parse().unwrap();
    let mut fixture = Fixture::open();
    let requests = fixture.with(|notes, _, cx| notes.on_version(&peer, NoteVersion(1), cx));
    let request = PeerMessage::NoteWanted { have: NoteVersion(0) };
    assert_eq!(requests, vec![Output::Peer(peer.clone(), request)]);
    let one = head(&[note(0, "one", "norte")]);
    fixture.with(|notes, _, _| notes.on_note(one.clone()));
    let replies = fixture.with(|notes, _, cx| notes.on_note_wanted(&peer, NoteVersion(0), cx));
    assert_eq!(replies, vec![Output::Peer(peer.clone(), PeerMessage::Note(one))]);
    assert_eq!(
        fixture.with(|notes, _, cx| notes.on_note_wanted(&peer, NoteVersion(1), cx)),
        vec![]
    );
}

/// Guards against a rollout reported as done too early, because a later note shortens the grace
/// that a daemon on an older version still uses.
#[test]
fn lapse_covers_every_version_that_may_be_in_use() {
    let mut long = note(0, "long", "norte");
    long.added.domains[0].grace = Span::from_secs(500);
    let mut short = note(1, "short", "norte");
    std::mem::swap(&mut short.added, &mut short.changed);
    short.changed.domains[0].grace = Span::from_secs(5);
    let one = Head::default().try_apply(&long, true).unwrap();
    let two = one.try_apply(&short, false).unwrap();
    let three = two.try_apply(&note(2, "three", "sur"), false).unwrap();
    let four = three.try_apply(&note(3, "four", "cuenca"), true).unwrap();
    let lapses = [one.lapse, two.lapse, three.lapse, four.lapse].map(Span::secs_f64);
    assert_eq!(lapses, [500.0, 500.0, 500.0, 60.0]);
}
