use super::*;

fn put(key: &str, value: &str, expect: Expect, lease: Option<Span>) -> StoreRequest {
    StoreRequest::Put { key: key.into(), value: value.into(), expect, lease }
}

fn get(key: &str) -> StoreRequest {
    StoreRequest::Get { key: key.into() }
}

fn done(reply: StoreReply) -> Revision {
    match reply {
        StoreReply::Done { at } => at,
        other => panic!("expected Done, got {other:?}"),
    }
}

/// Of two writers that read the same revision, only one may succeed; the other gets the new record.
#[test]
fn write_with_stale_revision_conflicts() {
    let mut store = Store::open();
    let now = Moment(0);
    let at = done(store.handle(&put("head", "1", Expect::Absent, None), now));
    let next = done(store.handle(&put("head", "2", Expect::At(at), None), now));
    assert!(next > at);
    for expect in [Expect::Absent, Expect::At(at)] {
        let StoreReply::Conflict { record } = store.handle(&put("head", "3", expect, None), now)
        else {
            panic!("a stale condition must not hold");
        };
        assert_eq!(record.map(|r| (r.value, r.at)), Some(("2".to_string(), next)));
    }
}

#[test]
fn lease_expires_unless_kept_alive() {
    let mut store = Store::open();
    let lease = Some(Span(100));
    let at = done(store.handle(&put("a", "x", Expect::Absent, lease), Moment(0)));
    done(store.handle(&StoreRequest::KeepAlive { key: "a".into(), at }, Moment(90)));
    let kept = store.handle(&get("a"), Moment(189));
    assert!(matches!(kept, StoreReply::Found { record: Some(_) }));
    assert_eq!(store.handle(&get("a"), Moment(190)), StoreReply::Found { record: None });
    let late = store.handle(&StoreRequest::KeepAlive { key: "a".into(), at }, Moment(190));
    assert_eq!(late, StoreReply::Conflict { record: None });
}

/// An off-by-one at a page boundary would repeat or skip a key, or leak keys of another prefix.
#[test]
fn pages_continue_after_the_last_key_and_keep_the_prefix() {
    let mut store = Store::open();
    for key in ["a/1", "a/2", "a/3", "b/1"] {
        done(store.handle(&put(key, "", Expect::Absent, None), Moment(0)));
    }
    let mut seen = Vec::new();
    let mut after = String::new();
    loop {
        let request = StoreRequest::List { prefix: "a/".into(), after: after.clone(), limit: 2 };
        let StoreReply::Page { records, more } = store.handle(&request, Moment(0)) else {
            panic!("a list is answered by a page");
        };
        seen.extend(records.iter().map(|r| r.key.clone()));
        after = seen.last().cloned().unwrap_or_default();
        if !more {
            break;
        }
    }
    assert_eq!(seen, ["a/1", "a/2", "a/3"]);
}

#[test]
fn writes_and_removals_count_as_changed() {
    let mut store = Store::open();
    assert!(!store.changed("k", Revision(0)));
    let at = done(store.handle(&put("k", "", Expect::Absent, None), Moment(0)));
    assert!(store.changed("k", Revision(0)));
    assert!(!store.changed("k", at));
    done(store.handle(&StoreRequest::Delete { key: "k".into(), at }, Moment(0)));
    assert!(store.changed("k", at));
}

#[test]
fn calls_over_the_rate_limit_have_no_effect_and_are_counted() {
    let mut store = Store::with_rates(StoreRates { writes: 1, reads: 1 });
    done(store.handle(&put("a", "", Expect::Absent, None), Moment(1_200)));
    let over = store.handle(&put("b", "", Expect::Absent, None), Moment(1_300));
    assert_eq!(over, StoreReply::Limited { retry: Span(700) });
    assert_eq!(store.handle(&get("b"), Moment(1_300)), StoreReply::Found { record: None });
    done(store.handle(&put("b", "", Expect::Absent, None), Moment(2_000)));
    let counts = store.counts();
    assert_eq!((counts.writes(), counts.reads(), counts.limited), (3, 1, 1));
}
